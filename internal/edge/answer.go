package edge

import (
	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
)

// Answer is the answer of a database host: one value, and what the host reported with it.
type Answer struct {
	Column     string // name of the value's column
	Type       uint32 // PostgreSQL object id of the column's type; every front supports bytea and text
	Binary     bool   // the format of Value
	Null       bool
	Value      []byte
	Tag        string  // the command tag, such as "SELECT 1"
	Role       string  // as the host spells it; empty if not reported
	Position   float64 // Unix milliseconds; 0 if not reported
	LoadReport string  // see ParseLoadReport; empty if there was none
}

// Reply is the result of one exchange with a host. It holds an answer if its code is OK.
type Reply struct {
	dispatch.Outcome
	Answer Answer
	Detail string // text for the client if the request fails
	// WrittenAt is when the last byte of the request was handed to the kernel, in Unix milliseconds. It is 0
	// if that byte was not written, or if the time is not known.
	WrittenAt float64
}

// NotBegunReply returns the reply of an attempt that ended before any byte of the request was written.
func NotBegunReply(code dispatch.Code, detail string) Reply {
	return Reply{Outcome: dispatch.NotBegunOutcome(code), Detail: detail}
}

// NotSentReply returns the reply of an attempt that its Gate did not permit.
func NotSentReply() Reply { return NotBegunReply(dispatch.NotSent, "") }

// Result is the one final answer to a request.
type Result struct {
	Verdict          Verdict
	Answer           Answer
	RetryAfterMillis float64 // Rejected: how long the client is advised to wait before a retry; 0: no advice
	Detail           string
	// Permit permits the verdict Rejected. A front encodes a rejection without a granted permit as a failure.
	Permit lifecycle.RejectionPermit
}

// IsRejection reports whether the client may be told that a retry is harmless.
func (r *Result) IsRejection() bool { return r.Verdict == Rejected && r.Permit.IsGranted() }

// Verdict is the kind of a final answer.
type Verdict uint8

// The kinds of final answers.
const (
	Served       Verdict = iota
	Rejected             // the request did not run, or may run again: a retry is harmless
	TimedOut             // no answer came in time; the request may have run
	Failed               // the request may have run
	Invalid              // nothing was attempted, because the request itself is invalid
	Disconnected         // the client has disconnected: no answer is sent
	verdictCount
)

var verdictNames = [verdictCount]string{"served", "rejected", "timed_out", "failed", "invalid", "disconnected"}

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	if v < verdictCount {
		return verdictNames[v]
	}
	return "unknown"
}
