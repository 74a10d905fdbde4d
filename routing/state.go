package routing

import (
	"cmp"
	"slices"
	"time"
)

// HostState is what is worth keeping of one member when its router ends. Ages count back from the moment of Export, or from
// now where it is given to Import.
type HostState struct {
	Host       string
	Group      uint64
	Started    time.Duration // of the process that all of this was seen of; 0: long ago
	Limit      float64       // in-flight limit that answers had led to
	Score      float64       // what attempts took, in aims of their class
	Lag        time.Duration // how far behind it was when it was heard last; below 0: not known
	LagAge     time.Duration // age of that
	WasPrimary bool          // the last proof of its role was that of a primary
	RoleAge    time.Duration // age of that proof
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

// restoredState is what Import left for a member that is not listed yet, and what an old fact still does to one that is.
type restoredState struct {
	hosts          map[string]HostState
	trustPositions bool
}

// ExportState returns what is worth keeping, hosts in order. Clients, sessions and positions are not part of it.
func (c *Router) ExportState(now time.Duration) (s RouterState) {
	c.now = max(now, c.now)
	for _, m := range c.members {
		if !m.active {
			continue
		}
		k := HostState{
			Host: m.host, Group: m.group.id, Started: m.startedAt, Limit: m.limit, Score: m.score, Lag: -1,
			WasPrimary: m.primaryAt > m.notPrimaryAt, RoleAge: c.now - max(m.primaryAt, m.notPrimaryAt),
		}
		if m.position > 0 && !k.WasPrimary {
			k.Lag, k.LagAge = max(0, m.positionAt-m.position), c.now-m.positionAt
		}
		s.Hosts = append(s.Hosts, k)
	}
	slices.SortFunc(s.Hosts, func(a, b HostState) int { return cmp.Compare(a.Host, b.Host) })
	for i := range c.classes {
		k := &c.classes[i]
		s.Classes = append(s.Classes, ClassState{k.Name, k.latency, k.serviceTime})
	}
	return s
}

// ImportState takes facts that have been weighed by their age. They make the router more careful at once, as members come to
// be listed: a low limit, failures, a start that was seen. Less careful it gets by proof alone: a high limit is taken up
// again as timely answers come, a primary is only the first to be asked with a write, and a lag says whom to probe; a
// position is never taken from here.
func (c *Router) ImportState(now time.Duration, s RouterState) {
	c.now = max(now, c.now)
	c.restored = restoredState{hosts: map[string]HostState{}, trustPositions: s.TrustPositions}
	for _, k := range s.Hosts {
		c.restored.hosts[k.Host] = k
		if m := c.members[k.Host]; m != nil {
			c.restore(m)
		}
	}
	for _, k := range s.Classes {
		for i := range c.classes {
			if o := &c.classes[i]; o.Name == k.Name && o.latency == 0 {
				o.latency, o.serviceTime = k.Latency, k.ServiceTime
			}
		}
	}
}

// restore gives a member what is kept of it, once: a host that started again since, or holds other data, is another.
func (c *Router) restore(m *member) {
	k, ok := c.restored.hosts[m.host]
	if !ok {
		return
	}
	delete(c.restored.hosts, m.host)
	if k.Group != m.group.id || m.startedAt > k.Started {
		return
	}
	m.startedAt = max(m.startedAt, min(k.Started, c.now))
	if k.Score > 0 && c.now-m.scoredAt > time.Second {
		m.score, m.scoredAt = k.Score, c.now
	}
	m.restoredLimit = k.Limit
	m.limit = max(1, min(m.limit, k.Limit))
	m.restoredLag = k.Lag
	m.wasPrimary = k.WasPrimary
	if c.restored.trustPositions && k.Lag >= 0 {
		m.position, m.positionAt = c.now-k.Lag, c.now
	}
}
