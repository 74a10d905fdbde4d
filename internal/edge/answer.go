package edge

import (
	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
)

// Answer is what a database host served: one value, with what the host reported beside it.
type Answer struct {
	Column     string // name of the value's column
	Type       uint32 // PostgreSQL's object id of the column's type; every front knows bytea and text
	Binary     bool   // the format of Value
	Null       bool
	Value      []byte
	Tag        string  // the command tag, such as "SELECT 1"
	Role       string  // as the host words it; empty if not reported
	Position   float64 // Unix milliseconds; 0 if not reported
	LoadReport string  // see ParseLoadReport; empty if there was none
}

// Reply is the result of one exchange with a host. With the code OK it holds an answer.
type Reply struct {
	dispatch.Outcome
	Answer    Answer
	Detail    string  // for the client, where the request fails
	WrittenAt float64 // when the last byte of the request was handed to the kernel, in Unix milliseconds; 0: it was not, or is not known
}

// NotBegun is the reply of an attempt that ended before a byte of the request was written.
func NotBegun(code dispatch.Code, detail string) Reply {
	return Reply{Outcome: dispatch.NeverBegun(code), Detail: detail}
}

// NotSent is the reply where the gate did not open.
func NotSent() Reply { return NotBegun(dispatch.NotSent, "") }

// Result is the one final answer to a request.
type Result struct {
	Verdict          Verdict
	Answer           Answer
	RetryAfterMillis float64 // of Rejected: when the client may try again; 0: no advice
	Detail           string
	// Permit is that of Rejected. A front encodes a rejection without one as a failure.
	Permit lifecycle.RejectionPermit
}

// IsRejection reports whether the client may be told that a retry is harmless.
func (r *Result) IsRejection() bool { return r.Verdict == Rejected && r.Permit.IsGranted() }

// Verdict is the kind of a final answer.
type Verdict uint8

// The kinds of final answers.
const (
	Served       Verdict = iota
	Rejected             // nothing that matters ran: a retry is harmless
	TimedOut             // no answer came in time; the request may have run
	Failed               // the request may have run
	Invalid              // nothing was attempted: the request itself is at fault
	Disconnected         // the client has closed its connection: there is nobody to answer
	verdictCount
)

var verdictNames = [verdictCount]string{"served", "rejected", "timed_out", "failed", "invalid", "disconnected"}

// String names the verdict as logs do.
func (v Verdict) String() string {
	if v < verdictCount {
		return verdictNames[v]
	}
	return "unknown"
}
