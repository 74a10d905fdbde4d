package routing

import (
	"cmp"
	"slices"
	"time"
)

// Kept is what is worth keeping of one member when its router ends. Ages count back from the moment of Export, or from
// now where it is given to Import.
type Kept struct {
	Host    string
	Group   uint64
	Started time.Duration // of the process that all of this was seen of; 0: long ago
	Limit   float64       // in-flight limit that answers had led to
	Took    float64       // what attempts took, in aims of their class
	Lag     time.Duration // how far behind it was when it was heard last; below 0: not known
	Heard   time.Duration // age of that
	Primary bool          // the last proof of its role was that of a primary
	Proof   time.Duration // age of that proof
}

// KeptClass is what is usual for a class.
type KeptClass struct {
	Name          string
	Latency, Work time.Duration
}

// State is what a router can give to its next start.
type State struct {
	Members []Kept
	Classes []KeptClass
	Unsafe  bool // only for seeing the checker of stale reads fail: take positions as proven
}

// recall is what Import left for a member that is not listed yet, and what an old fact still does to one that is.
type recall struct {
	kept  map[string]Kept
	wrong bool
}

// Export returns what is worth keeping, hosts in order. Clients, sessions and positions are not part of it.
func (c *Choice) Export(now time.Duration) (s State) {
	c.now = max(now, c.now)
	for _, m := range c.members {
		if !m.listed {
			continue
		}
		k := Kept{Host: m.host, Group: m.group.id, Started: m.started, Limit: m.limit, Took: m.took, Lag: -1,
			Primary: m.primaryAt > m.otherAt, Proof: c.now - max(m.primaryAt, m.otherAt)}
		if m.position > 0 && !k.Primary {
			k.Lag, k.Heard = max(0, m.heard-m.position), c.now-m.heard
		}
		s.Members = append(s.Members, k)
	}
	slices.SortFunc(s.Members, func(a, b Kept) int { return cmp.Compare(a.Host, b.Host) })
	for i := range c.classes {
		k := &c.classes[i]
		s.Classes = append(s.Classes, KeptClass{k.Name, k.latency, k.work})
	}
	return s
}

// Import takes facts that have been weighed by their age. They make the router more careful at once, as members come to
// be listed: a low limit, failures, a start that was seen. Less careful it gets by proof alone: a high limit is taken up
// again as timely answers come, a primary is only the first to be asked with a write, and a lag says whom to probe; a
// position is never taken from here.
func (c *Choice) Import(now time.Duration, s State) {
	c.now = max(now, c.now)
	c.past = recall{kept: map[string]Kept{}, wrong: s.Unsafe}
	for _, k := range s.Members {
		c.past.kept[k.Host] = k
		if m := c.members[k.Host]; m != nil {
			c.recall(m)
		}
	}
	for _, k := range s.Classes {
		for i := range c.classes {
			if o := &c.classes[i]; o.Name == k.Name && o.latency == 0 {
				o.latency, o.work = k.Latency, k.Work
			}
		}
	}
}

// recall gives a member what is kept of it, once: a host that started again since, or holds other data, is another.
func (c *Choice) recall(m *member) {
	k, ok := c.past.kept[m.host]
	if !ok {
		return
	}
	delete(c.past.kept, m.host)
	if k.Group != m.group.id || m.started > k.Started {
		return
	}
	m.started = max(m.started, min(k.Started, c.now))
	if k.Took > 0 && c.now-m.tookAt > time.Second {
		m.took, m.tookAt = k.Took, c.now
	}
	m.hope = k.Limit
	m.limit = max(1, min(m.limit, k.Limit))
	m.lagged = k.Lag
	m.wasPrimary = k.Primary
	if c.past.wrong && k.Lag >= 0 {
		m.position, m.heard = c.now-k.Lag, c.now
	}
}
