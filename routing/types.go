package routing

import "time"

// Access is what a request does with the data and, for a read, how consistent its answer must be.
type Access uint8

// The kinds of access. The order counts: from StrongRead on only the primary serves them.
const (
	EventualRead Access = iota // any replica
	BoundedRead                // a replica that is no staler than the class allows
	SessionRead                // a replica that has the writes of the client's session
	StrongRead                 // the primary
	Write                      // the primary
)

var accessNames = [...]string{"eventual_read", "bounded_read", "session_read", "strong_read", "write"}

// String names the access as logs do.
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
	Deduplicated                    // hosts discard repeats by their idempotency key, in a scope and for a time
	AtMostOnce                      // it must not be repeated
)

var idempotencyNames = [...]string{"idempotent", "deduplicated", "at_most_once"}

// String names the idempotency as logs do.
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

// StalenessCheck is what a replica does with a read for which it lags too far.
type StalenessCheck uint8

// The checks of a replica.
const (
	CheckNone    StalenessCheck = iota // it answers from what it has
	CheckRejects                       // it rejects the read
	CheckWaits                         // it waits for its log, and rejects the read after that
)

// Class describes one request class.
type Class struct {
	Name             string
	Access           Access
	StalenessBound   time.Duration // of a BoundedRead
	Idempotency      Idempotency
	Scope            DedupScope    // of a Deduplicated class
	DedupWindow      time.Duration // how long repeats of a Deduplicated class are discarded
	LatencyObjective time.Duration
	Deadline         time.Duration // how long clients wait
	PriorityWeight   float64
	LateFraction     float64 // of the weight that an answer after the latency objective has
}

// Tenant is one customer and the requests a second, of all routers together, that count in full.
type Tenant struct {
	Name  string
	Quota float64
}

// Settings is what one router is configured with. Positions, like all times, are on the routers' clock.
type Settings struct {
	Classes           []Class
	Tenants           []Tenant
	OverQuotaFraction float64 // of the weight that a request beyond its tenant's quota has
	RouterIndex       int
	RouterCount       int
	StalenessCheck    StalenessCheck
	CatchUpWait       time.Duration // of a replica with CheckWaits
	TracksCommits     bool          // this router remembers the commits of sessions; else requests carry a token
	ListNamesPrimary  bool          // the endpoint list names the primary, as of some time
	MustSubscribe     bool          // discovery has to be asked for its list
	IgnoresRemoval    bool          // only a draining entry ends the use of a host, not its removal from the list
	Probing           Probing
	CancelAllowed     bool
	ConnIdleTimeout   time.Duration // idle connections close after it
	MaxRetryAfter     time.Duration // 0: clients get no advice when to come back
	MaxAttempts       int           // of one request
	SlowStart         SlowStart
	WorstClassWeight  float64       // of the worst-served class in the result, as a fraction of all classes'
	MinTickInterval   time.Duration // between two steps
}

// Probing says what probes may do and what hosts report of themselves.
type Probing struct {
	Allowed         bool
	Cost            float64 // of one probe a request, as a fraction of the result
	ReportsPosition bool
	ReportsRole     bool
}

func (p *Probing) findsPosition() bool { return p.Allowed && p.ReportsPosition }

func (p *Probing) findsRole() bool { return p.Allowed && p.ReportsRole }

// SlowStart says what a host bears while it warms up after its start.
type SlowStart struct {
	Floor          float64       // its capacity at the start, as a fraction
	Duration       time.Duration // until its capacity is complete
	OverloadFactor float64       // beyond this multiple of its capacity,
	OverloadWindow time.Duration // sent within this time, it fails
}

// Code is how an attempt or a probe ended.
type Code uint8

// The endings. Whether the request ran is not theirs to say: see Execution.
const (
	OK Code = iota
	ServerError
	Rejected // the host is full
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

// String names the ending as logs and counters do.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}

// isMisplaced reports whether the host is sound, but not the one for the request: it is not the primary, or lags too far.
func (c Code) isMisplaced() bool { return c == Misdirected || c == StaleAnswer }

// Role is what an answer, a load report or the endpoint list says of a host.
type Role uint8

// The roles; Unknown is that of a host which did not report any.
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

// Report is what a host reports of itself; zero fields were not given.
type Report struct {
	Position time.Duration
	Role     Role
}

// ActionKind tells the actions apart.
type ActionKind uint8

// The actions of a router.
const (
	ActSend      ActionKind = iota // one attempt of a request to a host
	ActCancel                      // an attempt
	ActReject                      // the final answer: a retry is harmless
	ActFail                        // the final answer: it may have run
	ActTimer                       // an EventTimer at a time
	ActProbe                       // a host
	ActSubscribe                   // to discovery
	ActCloseIdle                   // the idle connections to a host
	ActFetch                       // the endpoint list, once
)

// EndReason is why a request gets its final answer without having been served.
type EndReason uint8

// The reasons.
const (
	EndUnstated      EndReason = iota
	EndUnknownGroup            // no list has named its group
	EndShed                    // it was shed on arrival
	EndTooLate                 // its time is over, or too short for an answer that is worth anything
	EndAttemptsUsed            // it had as many attempts as a request may have
	EndNotRepeatable           // it may have run, and can't be repeated without harm
	EndRetryBudget             // there is no retry budget left
	endReasonCount
)

var endReasonNames = [endReasonCount]string{
	"unstated", "unknown_group", "shed", "too_late", "attempts_used", "not_repeatable", "retry_budget",
}

// String names the reason as logs do.
func (r EndReason) String() string {
	if r < endReasonCount {
		return endReasonNames[r]
	}
	return "unknown"
}

// Action is one thing to do; Kind says which fields count.
type Action struct {
	Kind        ActionKind
	ID          string // of the request
	Host        string
	Attempt     int
	Timeout     time.Duration // ActSend; 0: until the client gives up
	RetryAfter  time.Duration // ActReject: advice to stay away
	Reason      EndReason     // ActReject, ActFail
	At          time.Duration // ActTimer
	MinPosition time.Duration // ActSend, of a read: that the data of its answer must have; 0: any
	Timer       uint64
}
