package routing

import "time"

// Event is something that happened to a router: a value of one of the types in this file. A time that an
// event does not give is 0.
type Event interface{ isEvent() }

// TargetsChanged carries the endpoint list, or changes to it.
type TargetsChanged struct {
	Full    bool // Targets is the complete list
	Targets []Target
}

// TargetsFailed reports that discovery could not be asked for the endpoint list.
type TargetsFailed struct{}

// RequestArrived is a new request of a client.
type RequestArrived struct {
	ID            string
	Class         int // index into Settings.Classes
	Tenant        int // index into Settings.Tenants plus 1; 0: none
	SessionKey    uint64
	HasSessionKey bool
	IsRetry       bool // the client marks it as a retry
	Group         uint64
	TimeRemaining time.Duration // for which the client still waits
	CommitAge     time.Duration // of the session's last commit; negative: ahead of this clock; 0: none
	// Host is the host that the request's session keeps a connection to; "": none. The request goes there if the host may serve it,
	// and with HostRequired nowhere else.
	Host         string
	HostRequired bool
}

// AttemptEnded is the end of one attempt of a request.
type AttemptEnded struct {
	ID      string // of the request
	Attempt int    // index among the request's attempts, from 0
	Host    string
	Code    Code
	// Execution is what is proven about whether the request ran. Where a repeat would do harm, only a request
	// that never ran is rejected or repeated.
	Execution Execution
	Elapsed   time.Duration
	// SinceWrite is the part of Elapsed since the request was written to the host, without the time that its
	// connection took; 0: not known.
	SinceWrite time.Duration
	Final      bool // the request gets its final answer with this
	Role       Role
	Position   time.Duration // of the answer's data or, for a write, of its commit; 0: not given
	Report     Report
}

// FirstByte reports that an answer has begun.
type FirstByte struct {
	ID string // of the request
}

// ClientGone reports that the client of a request has disconnected.
type ClientGone struct {
	ID string // of the request
}

// TimerFired reports that a timer is due.
type TimerFired struct{}

// ProbeEnded is the end of a probe.
type ProbeEnded struct {
	Host    string
	Code    Code
	Elapsed time.Duration
	Report  Report
}

// LateAnswer is a host's answer to an attempt that had already been given up.
type LateAnswer struct {
	Host     string
	Role     Role
	Position time.Duration // of the answer's data; 0: not given
	Elapsed  time.Duration // since the attempt was sent
}

// PeerMessage reports that another router sent a message.
type PeerMessage struct{}

func (TargetsChanged) isEvent() {}
func (TargetsFailed) isEvent()  {}
func (RequestArrived) isEvent() {}
func (AttemptEnded) isEvent()   {}
func (FirstByte) isEvent()      {}
func (ClientGone) isEvent()     {}
func (TimerFired) isEvent()     {}
func (ProbeEnded) isEvent()     {}
func (LateAnswer) isEvent()     {}
func (PeerMessage) isEvent()    {}
