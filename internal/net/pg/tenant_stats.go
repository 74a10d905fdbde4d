package pg

import (
	"slices"
	"strings"
	"time"

	"ashstand/internal/session"
)

// stickyBySessionMode is the cause reported for a session that is sticky because of its pool's mode.
const stickyBySessionMode = "session mode"

// TenantStats are the statistics of one database that has sessions at this pooler.
type TenantStats struct {
	Database    string        `json:"database"`
	Group       *uint64       `json:"home,omitempty"` // nil if each pool's own group applies, or if no group is agreed on
	Fenced      bool          `json:"fenced,omitempty"`
	State       string        `json:"state"` // open, paused or fenced
	PausedSince float64       `json:"paused_since,omitempty"`
	Sessions    int           `json:"sessions"`
	Running     int           `json:"running"` // running transactions
	Queued      int           `json:"held"`
	InFlight    int           `json:"going"` // released transactions that have not reached a host yet
	Released    uint64        `json:"let_go"`
	Rejected    uint64        `json:"refused"`
	Sticky      []StickyStats `json:"bound,omitempty"`
}

// StickyStats counts the sessions of a pool that are sticky to connections of one host for the same cause.
type StickyStats struct {
	Pool     string `json:"pool"`
	Host     string `json:"host"`
	Cause    string `json:"cause"`
	Sessions int    `json:"sessions"`
}

// Describe sets the fields of s that follow from the database's assignment: State, PausedSince if the tenant is
// paused, Fenced, and Group if the rules name one that is not undecided.
func (s *TenantStats) Describe(assignment session.Assignment) {
	if s.State = "open"; assignment.Paused {
		s.State, s.PausedSince = "paused", assignment.PausedSince
	} else if assignment.Undecided {
		s.State = "fenced" // the group is undecided: Tenants.Admit rejects new transactions
	}
	if s.Fenced = assignment.Undecided; assignment.HasGroup && !assignment.Undecided {
		s.Group = &assignment.Group
	}
}

// TenantStats returns the statistics of all databases that have sessions at this pooler. It returns nil if
// there are no assignments, or if the event loop does not respond within a second.
func (f *SessionFront) TenantStats() []TenantStats {
	if f.tenancy.assignments == nil || f.eventLoop.Load() == nil {
		return nil
	}
	out := make(chan []TenantStats, 1)
	f.onLoop(func() { out <- f.collectTenantStats() })
	select {
	case all := <-out:
		return all
	case <-time.After(time.Second):
		return nil
	}
}

// collectTenantStats returns the statistics of all tenants in order of their databases. It runs on the event loop.
func (f *SessionFront) collectTenantStats() (stats []TenantStats) {
	now := f.clock.Now()
	for _, t := range f.tenancy.tenants.All() {
		s := TenantStats{
			Database: t.Database,
			Sessions: t.Sessions(),
			Queued:   t.Queued(),
			InFlight: t.InFlight(),
			Released: t.Released,
			Rejected: t.Rejected,
		}
		s.Describe(f.tenancy.assignments.Assignment(t.Database, now))
		stats = append(stats, s)
	}
	slices.SortFunc(stats, func(a, b TenantStats) int { return strings.Compare(a.Database, b.Database) })
	index := map[string]int{}
	for i := range stats {
		index[stats[i].Database] = i
	}
	for c := range f.clients.all {
		if c.tenancy.tenant != nil && c.server != nil {
			stats[index[c.tenancy.tenant.Database]].addLinked(c)
		}
	}
	for i := range stats {
		slices.SortFunc(stats[i].Sticky, func(a, b StickyStats) int {
			return strings.Compare(a.Pool+"\x00"+a.Host+"\x00"+a.Cause, b.Pool+"\x00"+b.Host+"\x00"+b.Cause)
		})
	}
	return stats
}

// addLinked adds a client that is linked to a server connection to the statistics.
func (s *TenantStats) addLinked(c *sessionClient) {
	if c.routing.call != nil || !c.pipeline.Idle() {
		s.Running++
	}
	if !c.retention.counted {
		return
	}
	sticky := StickyStats{Pool: c.pool.Name, Host: c.server.pool.host.name, Cause: string(c.pipeline.StickyCause())}
	if sticky.Cause == "" {
		sticky.Cause = stickyBySessionMode
	}
	same := func(o StickyStats) bool { o.Sessions = 0; return o == sticky }
	if i := slices.IndexFunc(s.Sticky, same); i >= 0 {
		s.Sticky[i].Sessions++
		return
	}
	sticky.Sessions = 1
	s.Sticky = append(s.Sticky, sticky)
}
