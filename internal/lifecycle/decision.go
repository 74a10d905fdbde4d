package lifecycle

// Reason says why an operation is allowed or not.
type Reason uint8

// The reasons.
const (
	Allowed             Reason = iota
	NotReady                   // no complete endpoint list has been received
	ProcessTerminating         // the process is giving the final answers or is about to exit
	ClientDisconnected         // the client has closed its connection or cancelled the request
	TimeIsUp                   // the deadline has passed
	HostNotEligible            // since it was chosen, the host began to drain, was removed, lost the role or fell behind
	RequestInFlight            // a request of the connection has no answer yet
	CommandsWait               // commands were read and have no answer yet
	PartOfMessageRead          // a part of a message has been read
	BytesUnread                // the kernel holds unread bytes, so that a close would reset the connection
	BytesUnsent                // a part of an answer has not been handed to the kernel yet
	AnswerUndeliverable        // the process ends, and the client takes its answers too slowly to receive another one
	RequestMayHaveRun          // some attempt of the request may have run, and its class must not be repeated
)

var reasonNames = [...]string{
	"allowed", "not_ready", "process_cutting", "client_disconnected", "time_is_up", "host_not_eligible", "request_in_flight",
	"commands_wait", "part_of_message_read", "bytes_unread", "bytes_unsent",
	"answer_undeliverable", "request_may_have_run",
}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision says whether an operation is allowed now, and why not.
type Decision struct{ Reason Reason }

// OK reports whether the operation is allowed.
func (d Decision) OK() bool { return d.Reason == Allowed }

// StartFacts are the inputs of MayStart.
type StartFacts struct {
	Phase              Phase
	Ready              bool // a complete endpoint list has been received; the process may start to drain without one
	ClientDisconnected bool // the end of the client's stream has arrived, at least in the kernel
	SlowReaderDrained  bool // the process closes connections of slow readers, and this client is one
}

// MayStart decides whether a request that has been read may start.
func MayStart(f StartFacts) Decision {
	switch {
	case f.ClientDisconnected:
		return Decision{ClientDisconnected}
	case f.Phase >= Terminating:
		return Decision{ProcessTerminating}
	case f.SlowReaderDrained:
		return Decision{AnswerUndeliverable}
	case !f.Ready:
		return Decision{NotReady}
	}
	return Decision{Allowed}
}

// SendFacts are the inputs of MaySend. They are collected just before the write, in the same run of the event
// loop.
type SendFacts struct {
	Phase              Phase
	ClientDisconnected bool
	Now                float64
	Deadline           float64 // when the attempt must have ended
	Eligible           bool    // routing still permits the host
}

// MaySend decides whether an attempt that was chosen may be written to its host.
func MaySend(f SendFacts) Decision {
	switch {
	case f.Phase >= Terminating:
		return Decision{ProcessTerminating}
	case f.ClientDisconnected:
		return Decision{ClientDisconnected}
	case f.Deadline-f.Now <= 0:
		return Decision{TimeIsUp}
	case !f.Eligible:
		return Decision{HostNotEligible}
	}
	return Decision{Allowed}
}

// RetryFacts are the inputs of MayRetry. Package routing decides whether a retry is harmless, and to which
// host it goes.
type RetryFacts struct {
	Phase              Phase
	ClientDisconnected bool
}

// MayRetry decides whether routing may be asked for a further attempt.
func MayRetry(f RetryFacts) Decision {
	switch {
	case f.Phase >= Terminating:
		return Decision{ProcessTerminating}
	case f.ClientDisconnected:
		return Decision{ClientDisconnected}
	}
	return Decision{Allowed}
}

// CloseFacts are the inputs of MayClose: the state of a client connection.
type CloseFacts struct {
	RequestInFlight bool // a request, or an answer that the client has not read, is open
	CommandsWait    bool // commands were read and have no answer yet
	BufferedBytes   int  // bytes of an incomplete message
	BytesUnsent     bool // the output buffer holds bytes of answers
	BytesUnread     bool // the kernel holds bytes from the client
}

// MayClose decides whether a client connection may be closed without an error message, which is so only
// between requests.
func MayClose(f CloseFacts) Decision {
	switch {
	case f.RequestInFlight:
		return Decision{RequestInFlight}
	case f.CommandsWait:
		return Decision{CommandsWait}
	case f.BufferedBytes > 0:
		return Decision{PartOfMessageRead}
	case f.BytesUnsent:
		return Decision{BytesUnsent}
	case f.BytesUnread:
		return Decision{BytesUnread}
	}
	return Decision{Allowed}
}
