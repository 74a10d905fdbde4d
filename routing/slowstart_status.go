package routing

import (
	"cmp"
	"slices"
	"time"
)

// SlowStartPath is the way by which work comes to a warming host.
type SlowStartPath uint8

// The paths.
const (
	PathReplicaRead SlowStartPath = iota
	PathPrimaryRead               // a read at the primary, strong ones included
	PathWrite                     // a write at the primary
	PathSearch                    // a write at a host that may be the primary
	PathProbe
	PathHandshake
	slowStartPathCount
)

var slowStartPathNames = [slowStartPathCount]string{
	"replica_read", "primary_read", "write", "search", "probe", "handshake",
}

// String names the path as logs and counters do.
func (p SlowStartPath) String() string {
	if p < slowStartPathCount {
		return slowStartPathNames[p]
	}
	return "unknown"
}

// SlowStartPaths returns all paths.
func SlowStartPaths() (all []SlowStartPath) {
	for p := range slowStartPathCount {
		all = append(all, p)
	}
	return all
}

// SlowStartCounts counts what came by each path.
type SlowStartCounts [slowStartPathCount]int

// SlowStartStatus is what a router knows of a host that warms up.
type SlowStartStatus struct {
	Host          string
	Group         uint64
	StartedAt     time.Duration // as the endpoint list has it
	NotifiedAt    time.Duration // when that came
	IsPrimary     bool
	Members       int             // of its group, that are active
	Ratio         float64         // how many times what a warm member bears it may get
	RatePerSecond float64         // that this router may send it
	HeldBack      SlowStartCounts // requests that its budget did not grant, since its start
}

// SlowStart returns the status of a host; ok is false for one that does not warm up.
func (r *Router) SlowStart(now time.Duration, host string) (status SlowStartStatus, ok bool) {
	r.now = max(now, r.now)
	m := r.members[host]
	if m == nil || !r.isWarming(m) {
		return SlowStartStatus{}, false
	}
	return r.slowStartStatus(m), true
}

// WarmingHosts returns the status of all active hosts that warm up, by name.
func (r *Router) WarmingHosts(now time.Duration) (all []SlowStartStatus) {
	r.now = max(now, r.now)
	for _, m := range r.members {
		if m.active && r.isWarming(m) {
			all = append(all, r.slowStartStatus(m))
		}
	}
	slices.SortFunc(all, func(a, b SlowStartStatus) int { return cmp.Compare(a.Host, b.Host) })
	return all
}

func (r *Router) slowStartStatus(m *member) SlowStartStatus {
	perSecond, _ := r.slowStartRate(m)
	return SlowStartStatus{
		Host: m.host, Group: m.group.id, StartedAt: m.startedAt, NotifiedAt: m.startToldAt,
		IsPrimary: m == m.group.primary(), Members: m.group.activeCount(),
		Ratio: r.slowStartRatio(m), RatePerSecond: perSecond, HeldBack: m.budget.heldBack,
	}
}

// slowStartPath is the way by which a request comes to a member now.
func (m *member) slowStartPath(k *class) SlowStartPath {
	switch isPrimary := m == m.group.primary(); {
	case k.Access == Write && isPrimary:
		return PathWrite
	case k.Access == Write:
		return PathSearch
	case isPrimary:
		return PathPrimaryRead
	}
	return PathReplicaRead
}

// SlowStartPathOf returns the way by which a request of a class comes to a host now, and what it takes of the
// host's budget, in requests.
func (r *Router) SlowStartPathOf(host string, class int) (path SlowStartPath, cost float64) {
	m := r.members[host]
	if m == nil || class < 0 || class >= len(r.classes) {
		return PathReplicaRead, 1
	}
	return m.slowStartPath(&r.classes[class]), m.slowStartCost(&r.classes[class])
}
