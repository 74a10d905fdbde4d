package pg

import (
	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/lifecycle"
)

// rejectionState is an SQLSTATE by which a client learns that nothing ran, and that a retry is harmless. It is a type of its own
// so that appendError does not take it: a rejection is encoded here alone, from a permit.
type rejectionState string

// The states.
const (
	stateTooManyConnections rejectionState = "53300" // there is no capacity: come again later; a host says it too
	stateCannotConnectNow   rejectionState = "57P03" // the pooler can't serve yet, or will not any more
)

// appendRejection appends an ErrorResponse that rejects. Without a permit the request may have run, and the client is told that it
// failed.
func appendRejection(b []byte, permit lifecycle.RejectionPermit, severity string, state rejectionState, text, detail string) []byte {
	if !permit.IsGranted() {
		return appendError(b, severity, sqlStateConnectionFailure, text, "")
	}
	return appendError(b, severity, string(state), text, detail)
}

// encodeUntried encodes an ErrorResponse that rejects what no attempt was made for.
func encodeUntried(severity string, state rejectionState, text, detail string) []byte {
	return appendRejection(nil, lifecycle.PermitUntried(), severity, state, text, detail)
}

// closeWithRejection is closeWithError for a connection of which what has no answer yet was not handed to the core.
func (h *client) closeWithRejection(c gnet.Conn, reason lifecycle.CloseReason, state rejectionState, text, detail string) gnet.Action {
	return h.closeWithError(c, reason, string(state), text, detail)
}

// rejectUntried gives an error to the message under way, of which nothing was sent to a host.
func (c *sessionClient) rejectUntried(state rejectionState, text, detail string) {
	c.reject(string(state), text, detail)
}

// closeWithRejection is closeWithError for a session of which nothing was sent to a host.
func (c *sessionClient) closeWithRejection(state rejectionState, text, detail string) gnet.Action {
	return c.closeWithError(string(state), text, detail)
}
