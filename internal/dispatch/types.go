package dispatch

import (
	"errors"

	"ashstand/routing"
)

// Code is how an attempt or a probe ended; the names are those of package routing.
type Code = routing.Code

// The endings that a network can tell apart.
const (
	OK             = routing.OK
	ServerError    = routing.ServerError
	Rejected       = routing.Rejected
	NoAnswer       = routing.NoAnswer
	NoConnection   = routing.NoConnection
	ConnectionLost = routing.ConnectionLost
	Cancelled      = routing.Cancelled
	NotSent        = routing.NotSent
	Misdirected    = routing.Misdirected
	Malformed      = routing.Malformed
	StaleAnswer    = routing.StaleAnswer
)

// Execution is what the end of an attempt proves of whether the request ran; the names are those of package routing.
type Execution = routing.Execution

// The proofs.
const (
	MayHaveRun         = routing.MayHaveRun
	Ran                = routing.Ran
	NotBegun           = routing.NotBegun
	NotWritten         = routing.NotWritten
	RejectedUnexecuted = routing.RejectedUnexecuted
)

// EndReason is why a request gets its final answer without having been served.
type EndReason = routing.EndReason

// Role is what a host reports of itself.
type Role = routing.Role

// The roles.
const (
	Unknown = routing.Unknown
	Primary = routing.Primary
	Replica = routing.Replica
)

// ErrUnknownClass is returned for a request class that the settings do not name.
var ErrUnknownClass = errors.New("the settings name no such class")

// Request is what routing has to know of a request. Times are in milliseconds.
type Request struct {
	Class         string
	Group         uint64
	Session       string // names the session; "": none
	IsRetry       bool   // marked as a retry by its client
	Arrived       float64
	TimeRemaining float64 // from Arrived, that the client will wait
	MinPosition   float64 // that the data of a read must have; 0: none
}

// Verdict is what a request has to do next.
type Verdict uint8

// The verdicts. All but Send are final.
const (
	Send       Verdict = iota
	Reject             // a retry is harmless
	Fail               // it may have run, or can't be shown not to have
	ClientGone         // nobody waits for an answer
)

// Decision is a verdict with what it needs. Times are in milliseconds.
type Decision struct {
	Verdict    Verdict
	Host       string
	Attempt    int
	Deadline   float64   // Send: when to stop waiting for the answer
	RetryAfter float64   // Reject: advice to stay away for so long; 0: none
	Reason     EndReason // Reject and Fail
}

// Outcome is what came of an attempt or a probe. Positions are Unix milliseconds, 0 where none was given.
//
// Execution is a fact, which only the network code that saw the exchange can state; nothing behind it changes it. Code says how
// the exchange ended, and of what use that is.
type Outcome struct {
	Code      Code
	Execution Execution // zero: it may have run
	Role      Role
	Position  float64 // of the data or, for a write that succeeded, of its commit
	Report    Report
}

// NeverBegun is the outcome of an attempt of which no byte was written.
func NeverBegun(code Code) Outcome { return Outcome{Code: code, Execution: NotBegun} }

// Report is what a load report says of role and position.
type Report struct {
	Role     Role
	Position float64
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Host      string
	Group     uint64
	Draining  bool
	Removed   bool
	Primary   bool
	StartedAt float64 // Unix milliseconds; 0: long ago
}
