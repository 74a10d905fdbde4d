package routing

import "time"

// Access says how fresh the data behind a request must be.
type Access uint8

// The read kinds; Write marks what only the primary takes.
const (
	EventualRead Access = iota
	BoundedRead
	SessionRead
	StrongRead
	Write
)

// Idempotency says whether a request may be repeated.
type Idempotency uint8

// Idempotent requests repeat freely, Keyed ones within a group and window, Unsafe ones never once they may have run.
const (
	Idempotent Idempotency = iota
	Deduplicated
	AtMostOnce
)

// DedupScope is the set of hosts that discards repeats of a keyed request.
type DedupScope uint8

// The scopes of keyed requests.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// StalenessCheck says what a replica does with a read for which it lags too far.
type StalenessCheck uint8

// A replica answers from what it has, refuses, or waits and then refuses.
const (
	CheckNone StalenessCheck = iota
	CheckRejects
	CheckWaits
)

// Class describes one request class.
type Class struct {
	Name                       string
	Access                     Access
	StalenessBound             time.Duration // staleness bound of a Bounded class
	Idempotency                Idempotency
	Scope                      DedupScope
	DedupWindow                time.Duration // how long repeats of a Keyed class are discarded
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
	LateFraction               float64 // share of the worth left after the aim
}

// Tenant is one customer and the requests a second, of all routers together, that count in full.
type Tenant struct {
	Name  string
	Quota float64
}

// Settings is what one router is told at its start. Positions, like all times, are on the routers' clock.
type Settings struct {
	Classes                      []Class
	Tenants                      []Tenant
	OverQuotaFraction            float64 // what a request beyond its tenant's quota is worth, as a share
	RouterIndex, RouterCount     int
	StalenessCheck               StalenessCheck
	CatchUpWait                  time.Duration // how long a replica that Waits waits
	TracksCommits                bool          // sessions: this router remembers commits; otherwise requests carry a token
	ListNamesPrimary             bool          // the list names the primary, as of some time
	ReportsPosition, ReportsRole bool          // probes (and inline reports) give position and role
	MustSubscribe                bool          // discovery has to be asked for
	ProbesAllowed                bool
	CancelAllowed                bool
	ConnIdleTimeout              time.Duration // idle connections close after it
	MaxRetryAfter                time.Duration // 0: clients are told nothing of when to come back
	MaxAttempts                  int
	IgnoresRemoval               bool // only a Terminating listing binds
	SlowStartFloor               float64
	SlowStartDuration            time.Duration
	OverloadFactor               float64       // a cold member falls over beyond this multiple of its capacity,
	OverloadWindow               time.Duration // sent to it in so long
	ProbeCost                    float64       // cost of one probe a request, as a share of the result
	WorstClassWeight             float64       // weight of the worst-served class in the result, as a share of the whole's
	MinTickInterval              time.Duration // shortest time between two steps
}

// EventKind tells the events apart.
type EventKind uint8

// The events of a router.
const (
	EventTargets EventKind = iota
	EventTargetsFailed
	EventRequest
	EventOutcome
	EventFirstByte
	EventClientGone
	EventTimer
	EventProbeResult
	EventPeerMessage
	EventLateAnswer // what a host says in an answer whose attempt was given up
)

// Code is how an attempt or a probe ended.
type Code uint8

// The endings; Full, NoConnection, NotSent and Miss prove that nothing ran.
const (
	OK Code = iota
	ServerError
	Rejected
	NoAnswer
	NoConnection
	ConnectionLost
	Cancelled
	NotSent
	Misdirected
	Malformed // an answer came that can't be read: it ran
)

// NeverRan says whether the ending proves that nothing ran.
func (c Code) NeverRan() bool {
	return c == Rejected || c == NoConnection || c == NotSent || c == Misdirected
}

// Role is what an answer, report or list says of a member.
type Role uint8

// Unknown is the role of a member that nothing was heard of.
const (
	Unknown Role = iota
	Primary
	Replica
)

// Target is one entry of the list of hosts.
type Target struct {
	Host      string
	Group     uint64
	Draining  bool
	Removed   bool
	Primary   bool
	StartedAt time.Duration // 0: long ago
}

// Event is one thing that happened; Kind says which fields count.
type Event struct {
	Kind          EventKind
	Full          bool // EventTargets: the complete list
	Targets       []Target
	ID            string
	Class         int
	Tenant        int // place in the settings' tenants, from 1; 0: none
	SessionKey    uint64
	HasSessionKey bool
	IsRetry       bool // the client marks it as a repeat of its own
	Group         uint64
	TimeRemaining time.Duration
	CommitAge     time.Duration // age of the session's last commit; 0: none
	Attempt       int
	Host          string
	Code          Code
	Elapsed       time.Duration
	Final         bool
	Role          Role
	Position      time.Duration // of an answer or, for a write, its commit; 0: not given
	Report        Report
	Timer         uint64
}

// Report is what a host says of itself; zero fields were not given.
type Report struct {
	Position time.Duration
	Role     Role
}

// ActionKind tells the actions apart.
type ActionKind uint8

// The actions of a router.
const (
	ActSend ActionKind = iota
	ActCancel
	ActReject
	ActFail
	ActTimer
	ActProbe
	ActSubscribe
	ActCloseIdle // the idle connections to a host
	ActFetch
)

// Action is one thing to do; Kind says which fields count.
type Action struct {
	Kind        ActionKind
	ID          string
	Host        string
	Attempt     int
	Timeout     time.Duration // ActSend; 0: until the client gives up
	RetryAfter  time.Duration // ActReject: advice to stay away
	At          time.Duration // ActTimer
	MinPosition time.Duration // ActSend, of a read: the least position that its answer's data may have; 0: any
	Timer       uint64
}
