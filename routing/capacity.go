package routing

import (
	"math"
	"time"
)

// demonstratedLoad is the load that the members in one role have served in time.
type demonstratedLoad struct {
	answers float64 // number of timely answers, decayed
	seconds float64 // observed time, decayed, added up over all members in the role
}

// perSecond returns the rate at which one such member has answered in time.
func (d *demonstratedLoad) perSecond() float64 {
	return d.answers / max(d.seconds, minHistory.Seconds())
}

// advance decays what was observed so far and adds observed time.
func (d *demonstratedLoad) advance(decay, seconds float64) {
	d.answers *= decay
	d.seconds = d.seconds*decay + seconds
}

// loadHistory is what one router knows of the load of a group, exponentially smoothed over about the duration
// of one slow start. What a host can bear is a property of that host. It is inferred only from what members
// have served while the group was settled: neither the present request rate, nor a small number of remaining
// members, nor the load that the other members take over shows that a host can bear more.
type loadHistory struct {
	replicas, primary demonstratedLoad
	requests          float64       // requests of this router for the group, decayed
	seconds           float64       // time in which they arrived, decayed
	memberCount       int           // the largest recent value of usualMemberCount
	memberCountAt     time.Duration // when the group last had that many members
	updatedAt         time.Duration
}

// requestsPerSecond returns the rate of this router's requests for the group.
func (h *loadHistory) requestsPerSecond() float64 {
	return h.requests / max(h.seconds, minHistory.Seconds())
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
	h.requests *= decay
	h.seconds = h.seconds*decay + effectiveSeconds
	if r.isSettled(g, h.memberCount) {
		h.primary.advance(decay, effectiveSeconds)
		h.replicas.advance(decay, effectiveSeconds*float64(h.memberCount-1))
	}
	return h
}

// recordTimelyAnswer counts a timely answer of a member, if its group is settled.
func (r *Router) recordTimelyAnswer(m *member) {
	h := r.advanceHistory(m.group)
	switch {
	case !r.isSettled(m.group, h.memberCount):
	case m == m.group.primary():
		h.primary.answers++
	default:
		h.replicas.answers++
	}
}

// sustainableRate returns how many requests a second, of those that arrive at this router, a member can
// surely bear once it is warm. This is an even share of the requests for its role in the complete group, but
// no more than members were seen to serve. A router that has just started has not observed the latter, so it
// counts in full only after learningSeconds of observation.
func (r *Router) sustainableRate(m *member) float64 {
	h := r.advanceHistory(m.group)
	share := r.evenShare(m, max(h.replicaCount(), m.group.activeCount()-1))
	observedRate := max(h.replicas.perSecond(), h.primary.perSecond())
	confidence := min(1, (h.replicas.seconds+h.primary.seconds)/learningSeconds)
	return min(share, confidence*observedRate+(1-confidence)*share)
}

// evenShare returns the rate of this router's requests for a member in its role. The reads are spread evenly
// over the given number of replicas. The primary gets the other requests, and is taken to bear at least as
// much as a replica.
func (r *Router) evenShare(m *member, replicas int) float64 {
	fraction := (1 - r.writeFraction) / float64(max(1, replicas))
	if m == m.group.primary() {
		fraction = max(fraction, r.writeFraction)
	}
	return m.group.history.requestsPerSecond() * fraction
}
