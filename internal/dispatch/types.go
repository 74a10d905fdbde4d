package dispatch

import (
	"errors"

	"ashstand/routing"
)

// Code says how an attempt or a probe ended; the names are those of package routing.
type Code = routing.Code

// The codes that network code reports.
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

// Execution says what the end of an attempt proves about whether the request ran; the names are those of
// package routing.
type Execution = routing.Execution

// The values of Execution.
const (
	MayHaveRun         = routing.MayHaveRun
	Ran                = routing.Ran
	NotBegun           = routing.NotBegun
	NotWritten         = routing.NotWritten
	RejectedUnexecuted = routing.RejectedUnexecuted
)

// EndReason is why a request gets its final answer without having been served.
type EndReason = routing.EndReason

// Role is the replication role that a host reports.
type Role = routing.Role

// The roles.
const (
	Unknown = routing.Unknown
	Primary = routing.Primary
	Replica = routing.Replica
)

// ErrUnknownClass is returned for a request class that the settings do not name.
var ErrUnknownClass = errors.New("the settings name no such class")

// Request holds the properties of a request that routing needs. Times are in milliseconds.
type Request struct {
	Class         string
	Group         uint64
	Session       string // name of the session; "": none
	IsRetry       bool   // its client marks it as a retry
	Arrived       float64
	TimeRemaining float64 // how long after Arrived the client waits for the answer
	MinPosition   float64 // minimum position of the data that a read returns; 0: none
	// Host is the host that the session keeps a connection to; "": none. The request goes there if the host may serve it, and with
	// HostRequired nowhere else.
	Host         string
	HostRequired bool
}

// Verdict says what happens next with a request.
type Verdict uint8

// The verdicts. All but Send are final.
const (
	Send               Verdict = iota
	Reject                     // the request is rejected: a retry is harmless
	Fail                       // the request fails: it may have run
	ClientDisconnected         // the request needs no answer: its client has disconnected, or Finish ended the call
)

// Decision is a verdict with its parameters. Times are in milliseconds.
type Decision struct {
	Verdict    Verdict
	Host       string
	Attempt    int
	Deadline   float64   // Send: when to stop waiting for the answer
	RetryAfter float64   // Reject: how long the client is advised to wait before a retry; 0: no advice
	Reason     EndReason // Reject and Fail
}

// Outcome is the result of an attempt or a probe. Positions are Unix milliseconds; 0 if the host gave none.
//
// Execution states a fact that only the network code that ran the exchange knows; no later step changes it.
// Code says how the exchange ended, and whether its answer is of use.
type Outcome struct {
	Code      Code
	Execution Execution // the zero value means that the request may have run
	Role      Role
	Position  float64 // position of the data or, for a write that succeeded, of its commit
	Report    Report
}

// NotBegunOutcome returns the outcome of an attempt of which no byte was written.
func NotBegunOutcome(code Code) Outcome { return Outcome{Code: code, Execution: NotBegun} }

// Report is the role and position from a load report.
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
	StartedAt float64 // when the host's process started, in Unix milliseconds; 0: long ago
}
