package lifecycle

// Rule is a promise that is checked at run time, by facts after the act.
type Rule uint8

// The rules. The comment says what breaks each.
const (
	AttemptAfterDisconnect Rule = iota // an attempt was written more than DisconnectGraceMillis after its client's end was read
	AttemptAfterCut                    // an attempt was written after the process gave the final answers
	AttemptToDraining                  // an attempt was written to a host that was draining or removed before it was chosen
	DeadlineExceeded                   // a host was told of more time than its client has left
	RetryNotIdempotent                 // a request that must run once was written again though it may have run
	RetryOutsideWindow                 // a request was written again after hosts had stopped discarding repeats
	AnsweredTwice                      // a second final answer was written for a request
	ClosedWithoutAnswer                // a connection was closed while a request that was read had no answer
	ClosedWithUnreadBytes              // a connection was closed over bytes that were not read
	AnswerLate                         // a final answer was written after its time and LateGraceMillis
	StartedUnready                     // a request began while no list of hosts was held
	StaleRead                          // a read was answered from data older than its class or its session permits
	BoundExceeded                      // more was retained than the limits allow
	RejectedAfterRun                   // a rejection was decided for a request that may have run; its client was told that it failed
	RepeatAfterRun                     // a further attempt was decided for a request that may have run; it was not made
	SlowStartOverrun                   // a warming host was sent more than the rate at which this process may send to it
	ruleCount
)

var ruleNames = [ruleCount]string{
	"attempt_after_client_gone", "attempt_after_cut", "attempt_to_draining", "deadline_exceeded_to_host", "retry_not_idempotent",
	"retry_outside_window", "answered_twice", "closed_without_answer", "closed_with_unread_bytes", "answer_late",
	"started_unready", "stale_read", "bound_exceeded", "rejected_after_run", "repeat_after_run",
	"slow_start_overrun",
}

// String names the rule as logs and counters do.
func (r Rule) String() string {
	if r < ruleCount {
		return ruleNames[r]
	}
	return "unknown"
}

// Rules returns all rules.
func Rules() []Rule { return enumerate(ruleCount) }

// Graces that the checks allow for, in milliseconds.
const (
	DisconnectGraceMillis = 100 // from a client's end to the last write for it
	StallGraceMillis      = 150 // that a process may be held up between reading its clock and writing
	LateGraceMillis       = 500 // past a request's time, up to which its answer is worthless but not lost
)

// Written is what is known of an attempt once its last byte was handed to the kernel.
type Written struct {
	At             float64 // when the last byte was written
	TimeoutMillis  float64 // that the host was told
	ClientDeadline float64 // until which the client waits
	DisconnectedAt float64 // when its end was read; 0: it was not
	CutAt          float64 // when the process gave the final answers; 0: it did not
	InactiveSince  float64 // when the host was seen to drain, or as removed; 0: it is active
}

// CheckWritten returns the rules that an attempt broke.
func CheckWritten(w Written) (broken []Rule) {
	if w.DisconnectedAt > 0 && w.At > w.DisconnectedAt+DisconnectGraceMillis {
		broken = append(broken, AttemptAfterDisconnect)
	}
	if w.CutAt > 0 && w.At > w.CutAt+StallGraceMillis {
		broken = append(broken, AttemptAfterCut)
	}
	if w.InactiveSince > 0 && w.At > w.InactiveSince+StallGraceMillis {
		broken = append(broken, AttemptToDraining)
	}
	if w.At+w.TimeoutMillis > w.ClientDeadline+StallGraceMillis {
		broken = append(broken, DeadlineExceeded)
	}
	return broken
}

// Repeat is what is known of an attempt that was written though an earlier one of its request may have run.
type Repeat struct {
	At           float64 // when it was written
	FirstAt      float64 // when the first attempt that may have run was written
	AtMostOnce   bool    // the request's class must not be repeated
	Deduplicated bool    // hosts discard repeats
	WindowMillis float64 // for so long after FirstAt
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
