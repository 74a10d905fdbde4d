package routing

import (
	"math"
	"time"
)

// demonstratedLoad is what members in one role have borne.
type demonstratedLoad struct {
	answers float64 // that came in time
	seconds float64 // of all members in the role, added up
}

// perSecond is what one such member has borne.
func (d *demonstratedLoad) perSecond() float64 {
	return d.answers / max(d.seconds, minHistory.Seconds())
}

// advance forgets a part of what was seen, and adds the time in which the next is seen.
func (d *demonstratedLoad) advance(keep, seconds float64) {
	d.answers *= keep
	d.seconds = d.seconds*keep + seconds
}

// loadHistory is what one router knows of the load of a group, smoothed over about one slow start. What
// a host can bear is a property of that host. It is inferred from what members have borne while the
// group was settled, and from nothing else: neither what is asked at the moment, nor how few members
// are left, nor what the others bear in their place shows that a host can bear more.
type loadHistory struct {
	replicas, primary demonstratedLoad
	requests          float64       // of this router, for the group
	seconds           float64       // in which they came
	memberCount       int           // the largest lately, see usualMembers
	memberCountAt     time.Duration // when it was last so large
	updatedAt         time.Duration
}

// requestsPerSecond is how often this router is asked for the group.
func (h *loadHistory) requestsPerSecond() float64 {
	return h.requests / max(h.seconds, minHistory.Seconds())
}

// replicaCount is how many replicas the group has when it is complete.
func (h *loadHistory) replicaCount() int { return max(1, h.memberCount-1) }

// usualMembers is how many members a group has by its list: those that are active, or those that were
// there before it began to change, if they are more.
func (r *Router) usualMembers(g *group) int {
	before := 0
	for _, m := range g.members {
		if m.listed && !r.isWarming(m) {
			before++
		}
	}
	return max(g.activeCount(), before)
}

// isSettled reports whether nothing changes in a group of so many members: all are there and warm.
func (r *Router) isSettled(g *group, memberCount int) bool {
	for _, m := range g.members {
		if m.active && r.isWarming(m) {
			return false
		}
	}
	return g.activeCount() == memberCount && g.primary() != nil
}

// activeCount is how many members of the group take new work.
func (g *group) activeCount() (n int) {
	for _, m := range g.members {
		if m.active {
			n++
		}
	}
	return n
}

// historySpan is how far a loadHistory looks back.
func (r *Router) historySpan() time.Duration { return max(r.cfg.SlowStart.Duration, minHistory) }

// advanceHistory brings the history of a group to the present. Before a member changes it has to be
// called, so that the time so far is counted with those that were there.
func (r *Router) advanceHistory(g *group) *loadHistory {
	h := &g.history
	if r.now == h.updatedAt { // a list that is half applied tells nothing of the group
		return h
	}
	if h.updatedAt == 0 {
		h.updatedAt = r.now
	}
	if n := r.usualMembers(g); n >= h.memberCount || r.now-h.memberCountAt > r.historySpan() {
		h.memberCount, h.memberCountAt = n, r.now
	}
	span := r.historySpan()
	keep := math.Exp(-(r.now - h.updatedAt).Seconds() / span.Seconds())
	passed := span.Seconds() * (1 - keep)
	h.updatedAt = r.now
	h.requests *= keep
	h.seconds = h.seconds*keep + passed
	if r.isSettled(g, h.memberCount) {
		h.primary.advance(keep, passed)
		h.replicas.advance(keep, passed*float64(h.memberCount-1))
	}
	return h
}

// recordBorne notes an answer that a member gave in time.
func (r *Router) recordBorne(m *member) {
	h := r.advanceHistory(m.group)
	switch {
	case !r.isSettled(m.group, h.memberCount):
	case m == m.group.primary():
		h.primary.answers++
	default:
		h.replicas.answers++
	}
}

// bearableRate is how many requests a second, of those that come to this router, a member can surely
// bear once it is warm: an even part of what its role is asked in the complete group, and no more than
// members have borne. A router that has just started has not seen the latter.
func (r *Router) bearableRate(m *member) float64 {
	h := r.advanceHistory(m.group)
	part := r.evenPart(m, max(h.replicaCount(), m.group.activeCount()-1))
	borne := max(h.replicas.perSecond(), h.primary.perSecond())
	seen := min(1, (h.replicas.seconds+h.primary.seconds)/learningSeconds)
	return min(part, seen*borne+(1-seen)*part)
}

// evenPart is what comes to this router for a member in its role: the reads are spread over so many
// replicas, and the primary has the rest, and stands no less than a replica.
func (r *Router) evenPart(m *member, replicas int) float64 {
	fraction := (1 - r.writeFraction) / float64(max(1, replicas))
	if m == m.group.primary() {
		fraction = max(fraction, r.writeFraction)
	}
	return m.group.history.requestsPerSecond() * fraction
}
