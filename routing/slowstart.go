package routing

import (
	"math"
	"slices"
	"time"

	"ashstand/internal/faulthook"
)

// slowStartBudget is what a warming member may still be sent by this router. It is earned over time, at
// the rate that the member surely bears, and what is not used within an overload window is lost:
// nothing is saved up. The budgets of all routers add up to what the member bears, whatever is asked
// and whoever leaves the group.
type slowStartBudget struct {
	requests float64
	earnedAt time.Duration
	asked    float64         // how often it was drawn on lately, smoothed over askedSpan
	heldBack SlowStartCounts // requests that were not granted
}

// slowStartGrant is a request's answer from the budget of a member. It is drawn once for each sample of
// the request.
type slowStartGrant struct {
	member    *member
	startedAt time.Duration // of the member's process
	granted   bool
	cost      float64 // what a request that is sent takes of the budget
}

// isWarming reports whether a member's capacity is not complete yet.
func (r *Router) isWarming(m *member) bool {
	return m.startedAt != 0 && r.age(m) < r.cfg.SlowStart.Duration
}

// slowStartRatio is how many times what a warm member bears one may get: while it warms up, some of the
// overload that it stands at the capacity which it surely had one overload window ago.
func (r *Router) slowStartRatio(m *member) float64 {
	if !r.isWarming(m) {
		return math.Inf(1)
	}
	s := &r.cfg.SlowStart
	capacity := s.Floor + (1-s.Floor)*float64(max(0, r.age(m)-s.OverloadWindow))/float64(s.Duration)
	return slowStartSafety * max(1, s.OverloadFactor) * capacity
}

// overloadWindow is the time within which a host must not be sent too much.
func (r *Router) overloadWindow() time.Duration {
	return max(r.cfg.SlowStart.OverloadWindow, minOverloadWindow)
}

// slowStartRate is how many requests a second this router may send to a warming member, and for how
// long what it earns is kept: for an overload window, or until it makes up one request, but not for
// more than a few windows. Where requests come seldom, a part of the budget is lost between two of
// them, so it is earned faster by as much; where they come close together that adds nothing, and a
// surge gets no more than what came before it.
func (r *Router) slowStartRate(m *member) (perSecond float64, kept time.Duration) {
	bears := r.slowStartRatio(m) * r.bearableRate(m)
	window := r.overloadWindow().Seconds()
	keptSeconds := min(max(window, 1/max(bears, minUsedFraction)), keptWindows*window)
	fraction := 1 - r.writeFraction
	if m == m.group.primary() {
		fraction = r.writeFraction
	}
	asks := max(m.group.history.requestsPerSecond()*fraction, m.budget.asked/askedSpan.Seconds())
	expected := asks * keptSeconds
	used := max(1-math.Exp(-expected), minUsedFraction)
	return bears / used, time.Duration(keptSeconds * float64(time.Second))
}

// earn adds to a budget what the member bore since it was drawn on last.
func (r *Router) earn(m *member) {
	passed := r.now - m.budget.earnedAt
	m.budget.asked = m.budget.asked*math.Exp(-passed.Seconds()/askedSpan.Seconds()) + 1
	perSecond, kept := r.slowStartRate(m)
	earned := perSecond * passed.Seconds()
	m.budget.requests = min(m.budget.requests+earned, perSecond*kept.Seconds())
	m.budget.earnedAt = r.now
}

// passesSlowStart reports whether a request may go to a member now. A warming member gets what its
// budget has; whoever asks, for a read, a write or the search for the primary, draws on the same one.
func (r *Router) passesSlowStart(m *member, req *request) bool {
	if !r.isWarming(m) || faulthook.Active(faulthook.IgnoreSlowStart) {
		return true
	}
	known := slices.IndexFunc(req.grants, func(g slowStartGrant) bool {
		return g.member == m && g.startedAt == m.startedAt
	})
	if known >= 0 {
		return req.grants[known].granted
	}
	grant := slowStartGrant{member: m, startedAt: m.startedAt, cost: m.slowStartCost(req.class)}
	if req.sample < 1 || r.slowStartRatio(m) >= 1 {
		grant.granted = r.drawGrant(m, req, grant.cost)
	}
	req.grants = append(req.grants, grant)
	return grant.granted
}

// slowStartCost is what a request takes of a member's budget: a write, or a strong read, at the primary
// counts more.
func (m *member) slowStartCost(k *class) float64 {
	if k.needsPrimary() && m == m.group.primary() {
		return writeCost
	}
	return 1
}

// refund gives a member back what was granted and not sent.
func (r *Router) refund(m *member, cost float64) {
	if r.isWarming(m) {
		perSecond, kept := r.slowStartRate(m)
		m.budget.requests = min(m.budget.requests+cost, perSecond*kept.Seconds())
	}
}

// settleGrants gives back what a request was granted by members that it is not sent to.
func (r *Router) settleGrants(req *request, sentTo *member) {
	for i := range req.grants {
		if g := &req.grants[i]; g.granted && g.member != sentTo {
			g.granted = false
			r.refund(g.member, g.cost)
		}
	}
}

// drawGrant takes from a member's budget the chance that a request gets a grant. The far digits of the
// request's sample name one replica of the group, so that of several that warm up mostly one is
// granted. Reads at the primary leave the writes their part.
func (r *Router) drawGrant(m *member, req *request, cost float64) bool {
	r.earn(m)
	sample := req.sample
	if sample >= 1 { // used up; one that draws again must not do so with what has failed
		sample = r.rng.Float64()
	}
	chance, place := min(1, m.budget.requests/cost), sample
	switch isPrimary := m == m.group.primary(); {
	case !isPrimary:
		place = m.placeAmongReplicas(sample)
	case !req.class.needsPrimary():
		part := 1 / float64(m.group.history.replicaCount())
		chance = min(chance, max(0, r.slowStartRatio(m)*(part-r.writeFraction)))
	}
	m.budget.requests -= chance * cost
	if place >= chance {
		m.budget.heldBack[m.slowStartPath(req.class)]++
		return false
	}
	return true
}

// placeAmongReplicas is a sample as one replica of its group sees it: even from 0 to 1 for each, and each at
// another part of it.
func (m *member) placeAmongReplicas(sample float64) float64 {
	primary := m.group.primary()
	count, index := 0, 0
	for _, o := range m.group.members {
		if o == m {
			index = count
		}
		if o.active && o != primary { // removed members are retained for a while
			count++
		}
	}
	count = max(1, count)
	named := int(sample * math.MaxInt32)
	return (float64((named+index)%count) + sample) / float64(count)
}

// redraw gives a request another sample; what was granted to the one before is void.
func (req *request) redraw(sample float64) {
	req.sample = sample
	req.grants = req.grants[:0]
}

// useUpSample leaves a request nothing to draw with until it gets another sample.
func (req *request) useUpSample() { req.redraw(1 + math.Mod(req.sample, 1)) }

// mayStillBeWritten reports whether an attempt that was chosen a while ago keeps to slow start. What
// was chosen before the member started, or too long ago, draws anew: connections that come up slowly
// must not bring a fleet's requests all at one time.
func (r *Router) mayStillBeWritten(a *attempt, req *request) bool {
	m := a.member
	isRecent := r.now-a.grantedAt <= r.overloadWindow()/grantsPerWindow
	if !r.isWarming(m) || a.startedAt == m.startedAt && isRecent {
		return true
	}
	req.redraw(r.rng.Float64())
	if !r.passesSlowStart(m, req) {
		return false
	}
	req.useUpSample()
	a.startedAt, a.grantedAt = m.startedAt, r.now
	return true
}
