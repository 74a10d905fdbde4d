package sql

import (
	"cmp"
	"time"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

const (
	defaultTimeout     = 10 * time.Second
	defaultIdleTimeout = 2 * time.Second
	defaultRangeRows   = 1000
	// maxDefaultLockWait bounds waits for locks where the plan sets no shorter bound.
	maxDefaultLockWait = time.Second
)

// Databases are the databases of tenants in all groups. Its fields are set before first use and not changed afterwards; its
// methods may be called concurrently.
type Databases struct {
	// Client connects to the primaries.
	Client *fencing.Client
	// Timeout bounds an operation whose data set no timeout; 0: 10 s.
	Timeout time.Duration
	// IdleTimeout is after how long a host ends a transaction whose client is silent; 0: 2 s.
	IdleTimeout time.Duration
	// RangeRows is how many rows a compared range has at most; 0: 1000.
	RangeRows int
	// FreeBytes returns the free storage of a group, ok = false where it is not known: SQL can't tell. It may be nil.
	FreeBytes func(group migration.Group) (bytes float64, ok bool)
	// SampleQueries returns read-only statements of a tenant, which are replayed at both groups. It may be nil.
	SampleQueries func(tenant string, n int) []string

	throughputs throughputs
}

var _ migration.Databases = (*Databases)(nil)

// operation is one request that is executed at the databases of its tenant.
type operation struct {
	databases *Databases
	request   migration.Request
}

func (d *Databases) operation(request migration.Request) *operation {
	return &operation{databases: d, request: request}
}

// timeout bounds the waits of the operation.
func (o *operation) timeout() time.Duration {
	if o.request.Data.TimeoutMillis > 0 {
		return fromMillis(o.request.Data.TimeoutMillis)
	}
	if o.databases.Timeout > 0 {
		return o.databases.Timeout
	}
	return defaultTimeout
}

// timeouts are what a host enforces for a transaction of the operation. A session that waits for a table lock blocks all
// later ones, so it waits no longer than the plan allows for the closing of the gate.
func (o *operation) timeouts() fencing.Timeouts {
	timeouts := fencing.Timeouts{
		Lock:              fromMillis(o.request.Plan.FenceWaitMillis),
		Statement:         o.timeout(),
		IdleInTransaction: o.databases.IdleTimeout,
	}
	if timeouts.Lock <= 0 || timeouts.Lock > timeouts.Statement {
		timeouts.Lock = min(maxDefaultLockWait, timeouts.Statement)
	}
	if timeouts.IdleInTransaction <= 0 {
		timeouts.IdleInTransaction = defaultIdleTimeout
	}
	return timeouts
}

func (o *operation) rangeRows() int {
	return cmp.Or(o.databases.RangeRows, defaultRangeRows)
}

// planGroups returns the groups of the plan, the tenant's group before the migration first.
func (o *operation) planGroups() []migration.Group {
	return []migration.Group{o.request.Plan.From, o.request.Plan.To}
}

// currentGroups returns the group that serves the tenant and the other one, by the state of the migration.
func (o *operation) currentGroups() (source, target migration.Group) {
	plan, state := o.request.Plan, o.request.State
	switch state.Phase {
	case migration.PhaseSwitched, migration.PhaseAccepted, migration.PhaseCompleted:
		return plan.To, plan.From
	}
	if state.Reverse {
		return plan.To, plan.From
	}
	return plan.From, plan.To
}

func fromMillis(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}

func toMillis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1e3
}
