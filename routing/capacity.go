package routing

import (
	"math"
	"time"
)

// eventRate counts events of each class, exponentially smoothed, and the time in which they came.
type eventRate struct {
	events  []float64 // by the index of the class, decayed
	seconds float64   // observed time, decayed
}

// advance decays what was observed so far and adds observed time.
func (e *eventRate) advance(decay, seconds float64) {
	for class := range e.events {
		e.events[class] *= decay
	}
	e.seconds = e.seconds*decay + seconds
}

// perSecond returns the number of events a second.
func (e *eventRate) perSecond() (sum float64) {
	for _, events := range e.events {
		sum += events
	}
	return sum / max(e.seconds, minHistory.Seconds())
}

// workPerSecond returns the work a second of the requests that the events are about, as far as it is sure.
// The cost of a class is the present one, so that a budget in work permits as many requests of that class
// as there were, whatever its cost is believed to be.
func (r *Router) workPerSecond(e *eventRate) (sum float64) {
	for class, events := range e.events {
		if events > 0 {
			sum += events * r.sureCost(&r.classes[class])
		}
	}
	return sum / max(e.seconds, minHistory.Seconds())
}

// loadHistory is what one router knows of the load of a group, exponentially smoothed over about the duration
// of one slow start. What a host can bear is a property of that host. It is inferred only from what members
// have served while the group was settled: neither the present request rate, nor a small number of remaining
// members, nor the load that the other members take over shows that a host can bear more.
type loadHistory struct {
	replicas, primary eventRate     // timely answers; the time is added up over all members in the role
	requests          eventRate     // requests of this router for the group
	memberCount       int           // the largest recent value of usualMemberCount
	memberCountAt     time.Duration // when the group last had that many members
	updatedAt         time.Duration
}

// init prepares a history for requests of so many classes.
func (h *loadHistory) init(classes int) {
	for _, rate := range []*eventRate{&h.replicas, &h.primary, &h.requests} {
		rate.events = make([]float64, classes)
	}
}

// replicaCount returns the number of replicas of the complete group.
func (h *loadHistory) replicaCount() int { return max(1, h.memberCount-1) }

// usualMemberCount returns the number of members of a group: those that are active or, if they are more,
// those that were there before the group began to change (listed, perhaps draining, and not warming).
func (r *Router) usualMemberCount(g *group) int {
	established := 0
	for _, m := range g.members {
		if m.listed && !r.isWarming(m) {
			established++
		}
	}
	return max(g.activeCount(), established)
}

// isSettled reports whether a group is complete and unchanging: it has memberCount active members, all of
// them warm, and a known primary.
func (r *Router) isSettled(g *group, memberCount int) bool {
	for _, m := range g.members {
		if m.active && r.isWarming(m) {
			return false
		}
	}
	return g.activeCount() == memberCount && g.primary() != nil
}

// activeCount returns the number of members of the group that take new work.
func (g *group) activeCount() (n int) {
	for _, m := range g.members {
		if m.active {
			n++
		}
	}
	return n
}

// historySpan returns the time constant of a loadHistory.
func (r *Router) historySpan() time.Duration { return max(r.cfg.SlowStart.Duration, minHistory) }

// advanceHistory brings the history of a group up to the present. It has to be called before a member
// changes, so that the time until then is counted for the members of that time.
func (r *Router) advanceHistory(g *group) *loadHistory {
	h := &g.history
	if r.now == h.updatedAt { // while an endpoint list is only half applied, the group's state means nothing
		return h
	}
	if h.updatedAt == 0 {
		h.updatedAt = r.now
	}
	if n := r.usualMemberCount(g); n >= h.memberCount || r.now-h.memberCountAt > r.historySpan() {
		h.memberCount, h.memberCountAt = n, r.now
	}
	span := r.historySpan()
	decay := math.Exp(-(r.now - h.updatedAt).Seconds() / span.Seconds())
	effectiveSeconds := span.Seconds() * (1 - decay)
	h.updatedAt = r.now
	h.requests.advance(decay, effectiveSeconds)
	if r.isSettled(g, h.memberCount) {
		h.primary.advance(decay, effectiveSeconds)
		h.replicas.advance(decay, effectiveSeconds*float64(h.memberCount-1))
	}
	return h
}

// recordTimelyAnswer counts a timely answer of a member, if its group is settled.
func (r *Router) recordTimelyAnswer(m *member, k *class) {
	h := r.advanceHistory(m.group)
	switch {
	case !r.isSettled(m.group, h.memberCount):
	case m == m.group.primary():
		h.primary.events[k.index]++
	default:
		h.replicas.events[k.index]++
	}
}

// sustainableRate returns how much work a second, of what arrives at this router, a member can surely bear
// once it is warm. This is an even share of the work for its role in the complete group, but no more than
// members were seen to serve. A router that has just started has not observed the latter, so it counts in
// full only after learningSeconds of observation.
func (r *Router) sustainableRate(m *member) float64 {
	h := r.advanceHistory(m.group)
	share := r.evenShare(m, max(h.replicaCount(), m.group.activeCount()-1))
	observedRate := max(r.workPerSecond(&h.replicas), r.workPerSecond(&h.primary))
	confidence := min(1, (h.replicas.seconds+h.primary.seconds)/learningSeconds)
	return min(share, confidence*observedRate+(1-confidence)*share)
}

// evenShare returns the work a second of this router's requests for a member in its role. The reads are
// spread evenly over the given number of replicas. The primary gets the other requests, and is taken to
// bear at least as much as a replica.
func (r *Router) evenShare(m *member, replicas int) float64 {
	fraction := (1 - r.writeFraction) / float64(max(1, replicas))
	if m == m.group.primary() {
		fraction = max(fraction, r.writeFraction)
	}
	return r.workPerSecond(&m.group.history.requests) * fraction
}
