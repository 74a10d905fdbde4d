package pg

import (
	"slices"
	"strings"
	"time"

	"ashstand/internal/session"
)

// statsTimeout bounds how long Stats waits for the event loop.
const statsTimeout = time.Second

// SessionStats are the present state of a session front and its counters since the process started.
type SessionStats struct {
	Clients              int                         `json:"clients"`
	Linked               int                         `json:"linked"`
	Waiting              int                         `json:"waiting"`
	Servers              int                         `json:"servers"`
	ServersIdle          int                         `json:"servers_idle"`
	Transactions         uint64                      `json:"transactions"`
	SettingsRestored     uint64                      `json:"settings_restored"`
	StatementsReprepared uint64                      `json:"statements_prepared_again"`
	Rejected             uint64                      `json:"refused"`
	LostSafe             uint64                      `json:"lost_safe"`
	LostInDoubt          uint64                      `json:"lost_in_doubt"`
	LostUnnoticed        uint64                      `json:"lost_unnoticed"`
	Cancels              uint64                      `json:"cancels"`
	ReadsPaused          uint64                      `json:"paused"`
	IdleInTransaction    uint64                      `json:"idle_in_transaction"`
	ServersDiscarded     uint64                      `json:"servers_discarded"`
	PausedTransactions   int                         `json:"held"`
	RejectedByHost       uint64                      `json:"turned_away"`
	Sticky               map[session.StickyCause]int `json:"pinned"`
	Statements           int                         `json:"statements"`
	StatementBytes       int                         `json:"statement_bytes"`
	Hosts                []HostStats                 `json:"hosts"`
}

// HostStats are the server connections to one host for one database and user.
type HostStats struct {
	Host     string `json:"host"`
	Database string `json:"database"`
	User     string `json:"user"`
	Open     int    `json:"open"`
	Idle     int    `json:"idle"`
	Waiting  int    `json:"waiting"`
}

// Stats returns the front's statistics, or empty ones if the event loop does not answer within statsTimeout.
func (f *SessionFront) Stats() SessionStats {
	out := make(chan SessionStats, 1)
	if f.eventLoop.Load() == nil {
		return SessionStats{Sticky: map[session.StickyCause]int{}}
	}
	f.onLoop(func() { out <- f.collectStats() })
	select {
	case s := <-out:
		return s
	case <-time.After(statsTimeout):
		return SessionStats{Sticky: map[session.StickyCause]int{}}
	}
}

// collectStats implements Stats on the event loop.
func (f *SessionFront) collectStats() SessionStats {
	s := f.stats
	s.Clients, s.Servers = len(f.clients.all), f.servers.count
	s.Sticky = map[session.StickyCause]int{}
	for cause, n := range f.clients.stickyCounts {
		s.Sticky[cause] = n
	}
	for c := range f.clients.all {
		if c.server != nil {
			s.Linked++
		}
	}
	for _, h := range f.servers.hosts {
		for key, p := range h.pools {
			s.Waiting += p.queue.Len()
			s.ServersIdle += len(p.idle)
			s.Hosts = append(s.Hosts, HostStats{
				Host:     h.name,
				Database: key.database,
				User:     key.user,
				Open:     p.open,
				Idle:     len(p.idle),
				Waiting:  p.queue.Len(),
			})
		}
	}
	slices.SortFunc(s.Hosts, func(a, b HostStats) int {
		if a.Host != b.Host {
			return strings.Compare(a.Host, b.Host)
		}
		return strings.Compare(a.Database+"\x00"+a.User, b.Database+"\x00"+b.User)
	})
	if f.tenancy.assignments != nil {
		s.PausedTransactions = f.tenancy.tenants.Queued()
	}
	s.Statements, s.StatementBytes = f.catalogue.Len(), f.catalogue.Bytes()
	return s
}
