package pg

import (
	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/lifecycle"
)

// rejectionState is an SQLSTATE that tells a client that nothing ran and that a retry is harmless. It is a
// distinct type so that appendError does not accept it: only this file encodes rejections, and it requires a
// permit for each.
type rejectionState string

// SQLSTATEs of rejections.
const (
	stateTooManyConnections rejectionState = "53300" // no capacity: the client may retry later; database hosts send it too
	stateCannotConnectNow   rejectionState = "57P03" // the pooler can't serve requests yet, or no longer does
)

// appendRejection appends an ErrorResponse that rejects a request. If the permit is not granted, the request
// may have run, and the client gets a connection failure instead.
func appendRejection(b []byte, permit lifecycle.RejectionPermit, severity string, state rejectionState, text, detail string) []byte {
	if !permit.IsGranted() {
		return appendError(b, severity, sqlStateConnectionFailure, text, "")
	}
	return appendError(b, severity, string(state), text, detail)
}

// encodeUntried encodes an ErrorResponse that rejects a request for which no attempt was made.
func encodeUntried(severity string, state rejectionState, text, detail string) []byte {
	return appendRejection(nil, lifecycle.PermitUntried(), severity, state, text, detail)
}

// closeWithRejection is closeWithError with a rejection. Requests of the connection that have no answer yet
// must not have been passed to the edge.
func (h *client) closeWithRejection(c gnet.Conn, reason lifecycle.CloseReason, state rejectionState, text, detail string) gnet.Action {
	return h.closeWithError(c, reason, string(state), text, detail)
}

// rejectUntried answers the current message with a rejection. Nothing of the message may have been sent to a
// host.
func (c *sessionClient) rejectUntried(state rejectionState, text, detail string) {
	c.reject(string(state), text, detail)
}

// closeWithRejection is closeWithError with a rejection. Nothing of the session's current request may have been
// sent to a host.
func (c *sessionClient) closeWithRejection(state rejectionState, text, detail string) gnet.Action {
	return c.closeWithError(string(state), text, detail)
}
