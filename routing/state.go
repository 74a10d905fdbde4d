package routing

import (
	"cmp"
	"slices"
	"time"
)

// HostState is what is worth keeping of one host when its router ends. Ages count back from the moment of
// ExportState, or from now where it is given to ImportState.
type HostState struct {
	Host       string
	Group      uint64
	Started    time.Duration // of the process that all of this was seen of; 0: long ago
	Limit      float64       // in-flight limit that answers had led to
	Score      float64       // outlier score
	Lag        time.Duration // how far behind it was when its position was last confirmed; below 0: not known
	LagAge     time.Duration
	WasPrimary bool          // the last evidence of its role was that of a primary
	RoleAge    time.Duration // of that evidence
}

// ClassState is what is usual for a class.
type ClassState struct {
	Name                 string
	Latency, ServiceTime time.Duration
}

// RouterState is what a router can give to its next start.
type RouterState struct {
	Hosts          []HostState
	Classes        []ClassState
	TrustPositions bool // only for seeing the checker of stale reads fail: take positions as proven
}

// restoredState is what ImportState left for hosts that are not listed yet.
type restoredState struct {
	hosts          map[string]HostState
	trustPositions bool
}

// restoredFacts are what ImportState left for a member. They prove nothing; see ImportState.
type restoredFacts struct {
	restoredLimit float64
	restoredLag   time.Duration
	wasPrimary    bool
}

// ExportState returns what is worth keeping, hosts in order. Clients, sessions and positions are not part of it.
func (r *Router) ExportState(now time.Duration) (s RouterState) {
	r.now = max(now, r.now)
	for _, m := range r.members {
		if !m.active {
			continue
		}
		h := HostState{
			Host: m.host, Group: m.group.id, Started: m.startedAt, Limit: m.limit, Score: m.score, Lag: -1,
			WasPrimary: m.primaryAt > m.notPrimaryAt, RoleAge: r.now - max(m.primaryAt, m.notPrimaryAt),
		}
		if m.position > 0 && !h.WasPrimary {
			h.Lag, h.LagAge = max(0, m.positionAt-m.position), r.now-m.positionAt
		}
		s.Hosts = append(s.Hosts, h)
	}
	slices.SortFunc(s.Hosts, func(a, b HostState) int { return cmp.Compare(a.Host, b.Host) })
	for i := range r.classes {
		k := &r.classes[i]
		s.Classes = append(s.Classes, ClassState{k.Name, k.latency, k.serviceTime})
	}
	return s
}

// ImportState takes facts that have been weighed by their age. They make the router more careful at once, as hosts come
// to be listed: a low limit, failures, a start that was seen. It becomes less careful by proof alone: a high limit is
// taken up again as timely answers come, a primary is only the first to be asked with a write, and a lag says whom to
// probe; a position is never taken from here.
func (r *Router) ImportState(now time.Duration, s RouterState) {
	r.now = max(now, r.now)
	r.restored = restoredState{hosts: map[string]HostState{}, trustPositions: s.TrustPositions}
	for _, h := range s.Hosts {
		r.restored.hosts[h.Host] = h
		if m := r.members[h.Host]; m != nil {
			r.restore(m)
		}
	}
	for _, saved := range s.Classes {
		for i := range r.classes {
			if k := &r.classes[i]; k.Name == saved.Name && k.latency == 0 {
				k.latency, k.serviceTime = saved.Latency, saved.ServiceTime
			}
		}
	}
}

// restore gives a member what was kept of it, once: a host that started again since, or holds other data, is another.
func (r *Router) restore(m *member) {
	h, ok := r.restored.hosts[m.host]
	if !ok {
		return
	}
	delete(r.restored.hosts, m.host)
	if h.Group != m.group.id || m.startedAt > h.Started {
		return
	}
	m.setStart(min(h.Started, r.now), r.now)
	if h.Score > 0 && r.now-m.scoredAt > time.Second {
		m.score, m.scoredAt = h.Score, r.now
	}
	m.limit = max(1, min(m.limit, h.Limit))
	m.restoredFacts = restoredFacts{restoredLimit: h.Limit, restoredLag: h.Lag, wasPrimary: h.WasPrimary}
	if r.restored.trustPositions && h.Lag >= 0 {
		m.position, m.positionAt = r.now-h.Lag, r.now
	}
}
