package routing

import (
	"cmp"
	"slices"
	"time"
)

// HostState is what a router hands to its next start about one host. Ages count back from the time of the
// call to ExportState or ImportState.
type HostState struct {
	Host       string
	Group      uint64
	Started    time.Duration // start of the process that the rest was observed of; 0: long ago
	Limit      float64       // in-flight limit that its answers had led to
	Score      float64       // outlier score
	Lag        time.Duration // how far behind it was when its position was last confirmed; below 0: not known
	LagAge     time.Duration
	WasPrimary bool          // the last evidence of its role was that of a primary
	RoleAge    time.Duration // age of that evidence
}

// ClassState holds the usual latency and service time of a class.
type ClassState struct {
	Name                 string
	Latency, ServiceTime time.Duration
}

// RouterState is what a router can hand to its next start.
type RouterState struct {
	Hosts          []HostState
	Classes        []ClassState
	TrustPositions bool // take positions as proven; only to see that the checker of stale reads fails then
}

// restoredState is what ImportState was given for hosts that are not listed yet.
type restoredState struct {
	hosts          map[string]HostState
	trustPositions bool
}

// restoredFacts are what ImportState was given about a member. They prove nothing; see ImportState.
type restoredFacts struct {
	restoredLimit float64
	restoredLag   time.Duration
	wasPrimary    bool
}

// ExportState returns what the next start can use, sorted by host. Clients, sessions and positions are not
// part of it.
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

// ImportState takes facts that the caller has weighted by their age. Facts that call for more care apply as
// soon as their host is listed: a low limit, failures, a start that was seen. The others only prepare for new
// proof: a high limit is restored as timely answers come, the former primary is the first member that a write
// tries, and a lag ranks the member for probes. A position is never restored, except with TrustPositions.
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
				k.work.answerTime, k.work.answers = saved.Latency, minWorkAnswers-1 // one answer confirms it
			}
		}
	}
}

// restore gives a member, once, what was kept about its host. What was kept is discarded if the host has
// started again since, or holds other data.
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
