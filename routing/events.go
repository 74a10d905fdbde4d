package routing

import "time"

// Event is one thing that happened to a router: a value of one of the types in this file. Times that an event does not give
// are 0.
type Event interface{ isEvent() }

// TargetsChanged brings the endpoint list, or changes to it.
type TargetsChanged struct {
	Full    bool // the complete list
	Targets []Target
}

// TargetsFailed says that discovery could not be asked.
type TargetsFailed struct{}

// RequestArrived is a new request of a client.
type RequestArrived struct {
	ID            string
	Class         int // place in the settings' classes
	Tenant        int // place in the settings' tenants, from 1; 0: none
	SessionKey    uint64
	HasSessionKey bool
	IsRetry       bool // the client marks it as a retry of its own
	Group         uint64
	TimeRemaining time.Duration // that the client will wait
	CommitAge     time.Duration // of the session's last commit; below 0: ahead of this clock; 0: none
}

// AttemptEnded is the end of one attempt of a request.
type AttemptEnded struct {
	ID      string // of the request
	Attempt int
	Host    string
	Code    Code
	// Execution is what is proven of whether the request ran. Only what never ran is rejected, or repeated where that does harm.
	Execution Execution
	Elapsed   time.Duration
	Final     bool // the request has its final answer with it
	Role      Role
	Position  time.Duration // of the answer's data or, for a write, its commit; 0: not given
	Report    Report
}

// FirstByte says that an answer begins.
type FirstByte struct {
	ID string // of the request
}

// ClientGone says that the client of a request has disconnected.
type ClientGone struct {
	ID string // of the request
}

// TimerFired says that a timer is due.
type TimerFired struct{}

// ProbeEnded is the end of a probe.
type ProbeEnded struct {
	Host    string
	Code    Code
	Elapsed time.Duration
	Report  Report
}

// LateAnswer is what a host answered to an attempt that was given up.
type LateAnswer struct {
	Host     string
	Role     Role
	Position time.Duration // of the answer's data; 0: not given
	Elapsed  time.Duration // since the attempt was sent
}

// PeerMessage says that another router sent something.
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
