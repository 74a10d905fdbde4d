package lifecycle

// Reason says why something may be done, or may not.
type Reason uint8

// The reasons.
const (
	Allowed            Reason = iota
	NotReady                  // no list of hosts is held
	ProcessCutting            // the process is about to end
	ClientDisconnected        // the client has closed its connection or cancelled the request
	TimeIsUp                  // nothing is left of the client's time
	HostNotEligible           // the host drains, was removed, lost the role or fell behind since it was chosen
	RequestInFlight           // a request of the connection has no answer yet
	CommandsWait              // commands were read and have no answer yet
	PartOfMessageRead         // a message has begun to arrive
	BytesUnread               // bytes lie in the kernel: closed over them, the connection would be reset
	BytesUnsent               // a part of an answer is not with the kernel yet
	RequestMayHaveRun         // some attempt of the request may have run, and its class must not be repeated
)

var reasonNames = [...]string{
	"allowed", "not_ready", "process_cutting", "client_disconnected", "time_is_up", "host_not_eligible", "request_in_flight",
	"commands_wait", "part_of_message_read", "bytes_unread", "bytes_unsent",
	"request_may_have_run",
}

// String names the reason as logs and counters do.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is the answer to "may this be done now?".
type Decision struct{ Reason Reason }

// OK reports whether it may.
func (d Decision) OK() bool { return d.Reason == Allowed }

// StartFacts are what MayStart rests on.
type StartFacts struct {
	Phase              Phase
	Ready              bool // a whole list of hosts is held; a process may be told to end before it has one
	ClientDisconnected bool // the client's end has come, if only to the kernel
}

// MayStart decides whether a request that was read may begin.
func MayStart(f StartFacts) Decision {
	switch {
	case f.ClientDisconnected:
		return Decision{ClientDisconnected}
	case f.Phase >= Cutting:
		return Decision{ProcessCutting}
	case !f.Ready:
		return Decision{NotReady}
	}
	return Decision{Allowed}
}

// SendFacts are what MaySend rests on. They are gathered just before the write, in the same visit to the event loop.
type SendFacts struct {
	Phase              Phase
	ClientDisconnected bool
	Now                float64
	Deadline           float64 // until which the attempt may take
	Eligible           bool    // routing still permits the host
}

// MaySend decides whether an attempt that was chosen may be written to its host.
func MaySend(f SendFacts) Decision {
	switch {
	case f.Phase >= Cutting:
		return Decision{ProcessCutting}
	case f.ClientDisconnected:
		return Decision{ClientDisconnected}
	case f.Deadline-f.Now <= 0:
		return Decision{TimeIsUp}
	case !f.Eligible:
		return Decision{HostNotEligible}
	}
	return Decision{Allowed}
}

// RetryFacts are what MayRetry rests on. Whether a retry can do harm, and where it goes, is routing's decision.
type RetryFacts struct {
	Phase              Phase
	ClientDisconnected bool
}

// MayRetry decides whether routing is to be asked for a further attempt.
func MayRetry(f RetryFacts) Decision {
	switch {
	case f.Phase >= Cutting:
		return Decision{ProcessCutting}
	case f.ClientDisconnected:
		return Decision{ClientDisconnected}
	}
	return Decision{Allowed}
}

// CloseFacts are what MayClose rests on: what a client's connection holds.
type CloseFacts struct {
	RequestInFlight bool // or an answer that the client has not taken
	CommandsWait    bool
	BufferedBytes   int  // of a message that is not complete
	BytesUnsent     bool // of answers, in our buffer
	BytesUnread     bool // in the kernel
}

// MayClose decides whether a client's connection may be closed without a word: only between requests.
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
