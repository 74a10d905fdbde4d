package routing

import (
	"cmp"
	"slices"
	"time"
)

// SlowStartPath classifies the work that reaches a warming host.
type SlowStartPath uint8

// The paths by which work reaches a warming host.
const (
	PathReplicaRead SlowStartPath = iota
	PathPrimaryRead               // a read at the primary, strong reads included
	PathWrite                     // a write at the primary
	PathSearch                    // a write that searches for the primary, at a host not known to be it
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

// SlowStartCounts holds one count for each path.
type SlowStartCounts [slowStartPathCount]int

// SlowStartStatus describes a warming host as one router sees it.
type SlowStartStatus struct {
	Host          string
	Group         uint64
	StartedAt     time.Duration // start of its process, as the endpoint list states it
	NotifiedAt    time.Duration // when the router was told of that start
	IsPrimary     bool
	Members       int             // number of active members of its group
	Ratio         float64         // load it may get, as a multiple of what it bears when it is warm
	RatePerSecond float64         // requests of mean work that this router may send it
	HeldBack      SlowStartCounts // requests that its budget has not granted since its start
}

// SlowStart returns the status of a warming host; ok is false for a host that is warm or not known.
func (r *Router) SlowStart(now time.Duration, host string) (status SlowStartStatus, ok bool) {
	r.now = max(now, r.now)
	m := r.members[host]
	if m == nil || !r.isWarming(m) {
		return SlowStartStatus{}, false
	}
	return r.slowStartStatus(m), true
}

// WarmingHosts returns the status of all active warming hosts, sorted by name.
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
		Host: m.host, Group: m.group.id, StartedAt: m.startedAt, NotifiedAt: m.startLearnedAt,
		IsPrimary: m == m.group.primary(), Members: m.group.activeCount(),
		Ratio: r.slowStartRatio(m), RatePerSecond: perSecond, HeldBack: m.budget.heldBack,
	}
}

// slowStartPath returns the path by which a request of a class would reach a member now.
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

// SlowStartPathOf returns the path by which an attempt of a request reaches its host, and how many tokens
// it took from the host's slow start budget or, where it took none, what it costs. A token stands for one
// request of mean work. ok is false for an attempt that has ended.
func (r *Router) SlowStartPathOf(id string, attempt int) (path SlowStartPath, cost float64, ok bool) {
	req := r.requests[id]
	if req == nil || attempt < 0 || attempt >= len(req.attempts) || !req.attempts[attempt].pending {
		return 0, 0, false
	}
	a := &req.attempts[attempt]
	return a.member.slowStartPath(req.class), cmp.Or(a.cost, r.highestCost(req.class)), true
}

// ClassCost is what a router takes a request of a class to cost a host.
type ClassCost struct {
	Class      string
	Cost       float64       // in requests of mean work
	AnswerTime time.Duration // mean time of answers by warm members
	IsKnown    bool          // enough answers have shown the work
}

// ClassCosts returns the costs of all classes, in the order of Settings.Classes.
func (r *Router) ClassCosts() (all []ClassCost) {
	for i := range r.classes {
		k := &r.classes[i]
		all = append(all, ClassCost{k.Name, r.highestCost(k), k.work.answerTime, k.work.isKnown()})
	}
	return all
}
