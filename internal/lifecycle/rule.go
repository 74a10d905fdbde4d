package lifecycle

// Rule is an invariant that is checked at run time, by facts that are known after the operation.
type Rule uint8

// The rules. Each comment says what breaks the rule.
const (
	AttemptAfterDisconnect  Rule = iota // an attempt was written over DisconnectGraceMillis after its client disconnected
	AttemptAfterTermination             // an attempt was written after the process gave the final answers
	AttemptToDraining                   // an attempt was written to a host that was already draining or removed
	DeadlineExceeded                    // a host was given a timeout that ends after the client's deadline
	RetryNotIdempotent                  // a request that must run at most once was written again though it may have run
	RetryOutsideWindow                  // a request was written again after hosts had stopped discarding repeats
	AnsweredTwice                       // a second final answer was written for a request
	ClosedWithoutAnswer                 // a connection was closed while a request that had been read had no answer
	ClosedWithUnreadBytes               // a connection was closed while it held unread bytes
	AnswerLate                          // a final answer was written later than LateGraceMillis after the request's deadline
	StartedUnready                      // a request started before a complete endpoint list was received
	StaleRead                           // a read was answered from data older than its class or its session permits
	BoundExceeded                       // more was retained than the limits allow
	RejectedAfterRun                    // routing rejected a request that may have run; its client was told that it failed
	RepeatAfterRun                      // routing chose another attempt for a request that may have run; it was not made
	TransactionUnrouted                 // a session's transaction ran on a connection without a routing decision of its own
	ClosedUnconfirmed                   // a connection was closed for good over answers that its client had not confirmed
	SlowStartOverrun                    // this process sent a warming host more than slow start permits
	TurnExceeded                        // the event loop handled more messages of clients than their shares permit while an answer waited
	PanicRecovered                      // a panic ended a request, a call or a connection
	ruleCount
)

var ruleNames = [ruleCount]string{
	"attempt_after_client_gone", "attempt_after_cut", "attempt_to_draining", "deadline_exceeded_to_host", "retry_not_idempotent",
	"retry_outside_window", "answered_twice", "closed_without_answer", "closed_with_unread_bytes", "answer_late",
	"started_unready", "stale_read", "bound_exceeded", "rejected_after_run", "repeat_after_run",
	"transaction_unrouted", "closed_unconfirmed", "slow_start_overrun", "turn_exceeded", "panic_recovered",
}

// String returns the rule's name in logs and metrics.
func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return "unknown"
}

// Rules returns all rules.
func Rules() []Rule { return enumerate(ruleCount) }

// Grace periods of the checks, in milliseconds.
const (
	DisconnectGraceMillis = 100 // a write for a client is tolerated this long after its disconnect
	StallGraceMillis      = 150 // the process may be stalled this long between reading its clock and writing
	LateGraceMillis       = 500 // an answer is worthless, but breaks no rule, this long after its request's deadline
)

// Written describes an attempt whose last byte was handed to the kernel.
type Written struct {
	At             float64 // when the last byte was written
	TimeoutMillis  float64 // timeout that the host was given
	ClientDeadline float64 // until when the client waits
	DisconnectedAt float64 // when the end of the client's stream was read; 0: it was not
	TerminatedAt   float64 // when the process began to give the final answers; 0: it has not
	InactiveSince  float64 // since when the host is known to drain or to be removed; 0: it is active
}

// CheckWritten returns the rules that an attempt broke.
func CheckWritten(w Written) (broken []Rule) {
	if w.DisconnectedAt > 0 && w.At > w.DisconnectedAt+DisconnectGraceMillis {
		broken = append(broken, AttemptAfterDisconnect)
	}
	if w.TerminatedAt > 0 && w.At > w.TerminatedAt+StallGraceMillis {
		broken = append(broken, AttemptAfterTermination)
	}
	if w.InactiveSince > 0 && w.At > w.InactiveSince+StallGraceMillis {
		broken = append(broken, AttemptToDraining)
	}
	if w.At+w.TimeoutMillis > w.ClientDeadline+StallGraceMillis {
		broken = append(broken, DeadlineExceeded)
	}
	return broken
}

// Repeat describes an attempt that was written although an earlier attempt of the same request may have run.
type Repeat struct {
	At           float64 // when it was written
	FirstAt      float64 // when the first attempt that may have run was written
	AtMostOnce   bool    // requests of the class must not be repeated
	Deduplicated bool    // hosts discard repeats
	WindowMillis float64 // how long after FirstAt hosts discard repeats
}

// CheckRepeat returns the rules that a repeat broke.
func CheckRepeat(r Repeat) (broken []Rule) {
	if r.AtMostOnce {
		broken = append(broken, RetryNotIdempotent)
	}
	if r.Deduplicated && r.At > r.FirstAt+r.WindowMillis+StallGraceMillis {
		broken = append(broken, RetryOutsideWindow)
	}
	return broken
}
