package routing

import "time"

// Access is what a request does with the data and, for a read, how consistent its answer must be.
type Access uint8

// The kinds of access. Their order matters: StrongRead and all that follow are served by the primary alone.
const (
	EventualRead Access = iota // any replica
	BoundedRead                // a replica that is no staler than the class allows
	SessionRead                // a replica that has the writes of the client's session
	StrongRead                 // the primary
	Write                      // the primary
)

var accessNames = [...]string{"eventual_read", "bounded_read", "session_read", "strong_read", "write"}

// String returns the name of the access as in logs.
func (a Access) String() string {
	if int(a) < len(accessNames) {
		return accessNames[a]
	}
	return "unknown"
}

// Idempotency says whether a request may be repeated once it may have run.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent   Idempotency = iota // it may be repeated freely
	Deduplicated                    // hosts discard repeats by their idempotency key, in a DedupScope and for a time
	AtMostOnce                      // it must not be repeated
)

var idempotencyNames = [...]string{"idempotent", "deduplicated", "at_most_once"}

// String returns the name of the idempotency as in logs.
func (i Idempotency) String() string {
	if int(i) < len(idempotencyNames) {
		return idempotencyNames[i]
	}
	return "unknown"
}

// DedupScope is the set of hosts that discards repeats of a Deduplicated request.
type DedupScope uint8

// The scopes of deduplication.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// StalenessCheck is what a replica does with a read that it lags too far behind to serve.
type StalenessCheck uint8

// The kinds of staleness check.
const (
	CheckNone    StalenessCheck = iota // it answers from what it has
	CheckRejects                       // it rejects the read
	CheckWaits                         // it waits to catch up, and rejects the read if it doesn't
)

// Class describes one request class.
type Class struct {
	Name             string
	Access           Access
	StalenessBound   time.Duration // greatest staleness of a BoundedRead
	Idempotency      Idempotency
	Scope            DedupScope    // of a Deduplicated class
	DedupWindow      time.Duration // how long repeats of a Deduplicated class are discarded
	LatencyObjective time.Duration
	Deadline         time.Duration // how long clients wait for an answer
	PriorityWeight   float64
	LateFraction     float64 // fraction of the weight that an answer after the latency objective is worth
}

// Tenant is one customer. Quota is the number of its requests per second, over all routers, that have full weight.
type Tenant struct {
	Name  string
	Quota float64
}

// Settings configures one router. Positions, like all times, are on the routers' clock.
type Settings struct {
	Classes           []Class
	Tenants           []Tenant
	OverQuotaFraction float64 // fraction of its weight that a request beyond its tenant's quota keeps
	RouterIndex       int
	RouterCount       int
	StalenessCheck    StalenessCheck
	CatchUpWait       time.Duration // how long a replica with CheckWaits waits
	TracksCommits     bool          // this router remembers the commits of sessions; otherwise requests carry a token
	ListNamesPrimary  bool          // the endpoint list names the primary, as of some earlier time
	MustSubscribe     bool          // discovery has to be asked for its list
	IgnoresRemoval    bool          // only a draining entry ends the use of a host, not its removal from the list
	Probing           Probing
	CancelAllowed     bool
	ConnIdleTimeout   time.Duration // idle connections are closed after this time
	MaxRetryAfter     time.Duration // greatest Retry-After of a rejection; 0: clients get none
	MaxAttempts       int           // per request
	SlowStart         SlowStart
	WorstClassWeight  float64       // weight of the worst-served class in the overall result, relative to all classes together
	MinTickInterval   time.Duration // least time between two ticks
}

// Probing says whether hosts may be probed, and what they report about themselves.
type Probing struct {
	Allowed         bool
	Cost            float64 // of one probe per request, as a fraction of the overall result
	ReportsPosition bool
	ReportsRole     bool
}

func (p *Probing) findsPosition() bool { return p.Allowed && p.ReportsPosition }

func (p *Probing) findsRole() bool { return p.Allowed && p.ReportsRole }

// SlowStart says how much load a host can take while it warms up after its start.
type SlowStart struct {
	Floor          float64       // its capacity at the start, as a fraction of its full capacity
	Duration       time.Duration // from its start until it has its full capacity
	OverloadFactor float64       // multiple of its current capacity beyond which it fails
	OverloadWindow time.Duration // time over which the load is measured for OverloadFactor
}

// Code is how an attempt or a probe ended.
type Code uint8

// The codes. They don't tell whether the request ran: see Execution.
const (
	OK Code = iota
	ServerError
	Rejected // the host is at capacity
	NoAnswer
	NoConnection
	ConnectionLost
	Cancelled
	NotSent
	Misdirected // the host is not the primary, or lags too far
	Malformed   // an answer came that can't be read
	StaleAnswer // an answer came whose data is older than the request permits
)

var codeNames = [...]string{
	"ok", "server_error", "rejected", "no_answer", "no_connection", "connection_lost", "cancelled", "not_sent", "misdirected", "malformed",
	"stale_answer",
}

// String returns the name of the code as in logs and counters.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}

// isMisrouted reports whether the host is healthy but the wrong one for the request: it is not the primary, or lags too
// far.
func (c Code) isMisrouted() bool { return c == Misdirected || c == StaleAnswer }

// Role is the role of a host according to an answer, a load report or the endpoint list.
type Role uint8

// The roles. Unknown stands for a role that was not reported.
const (
	Unknown Role = iota
	Primary
	Replica
)

// Target is one entry of the endpoint list.
type Target struct {
	Host      string
	Group     uint64
	Draining  bool
	Removed   bool
	Primary   bool
	StartedAt time.Duration // 0: long ago
}

// Report is a host's load report. Fields that it does not give are zero.
type Report struct {
	Position time.Duration
	Role     Role
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions of a router.
const (
	ActSend      ActionKind = iota // send one attempt of a request to a host
	ActCancel                      // cancel an attempt
	ActReject                      // give the final answer: a retry is harmless
	ActFail                        // give the final answer: the request may have run
	ActTimer                       // give a TimerFired event at a time
	ActProbe                       // probe a host
	ActSubscribe                   // subscribe to discovery
	ActCloseIdle                   // close the idle connections to a host
	ActFetch                       // fetch the endpoint list once
)

// EndReason is why a request gets its final answer without having been served.
type EndReason uint8

// The reasons.
const (
	EndUnstated      EndReason = iota // the router gave none: the shutdown ended the request
	EndUnknownGroup                   // no endpoint list has named its group
	EndShed                           // it was shed on arrival
	EndTooLate                        // its time is over, or too short for an answer of any value
	EndAttemptsUsed                   // it had Settings.MaxAttempts attempts
	EndNotRepeatable                  // it may have run, and can't be repeated without harm
	EndRetryBudget                    // there is no retry budget left
	endReasonCount
)

var endReasonNames = [endReasonCount]string{
	"unstated", "unknown_group", "shed", "too_late", "attempts_used", "not_repeatable", "retry_budget",
}

// String returns the name of the reason as in logs.
func (r EndReason) String() string {
	if r < endReasonCount {
		return endReasonNames[r]
	}
	return "unknown"
}

// Action is one thing to do. Kind tells which fields are used.
type Action struct {
	Kind        ActionKind
	ID          string // of the request
	Host        string
	Attempt     int
	Timeout     time.Duration // ActSend; 0: until the client gives up
	RetryAfter  time.Duration // ActReject: how long the client should wait before a retry
	Reason      EndReason     // ActReject, ActFail
	At          time.Duration // ActTimer
	MinPosition time.Duration // ActSend, of a read: position that the data of its answer must have; 0: any
	Timer       uint64
}
