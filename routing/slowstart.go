package routing

import (
	"math"
	"slices"
	"time"

	"ashstand/internal/faulthook"
)

// slowStartBudget is a token bucket that limits the requests which this router sends to one warming member.
// A token stands for one request of mean work. The budget refills at the rate that the member can surely
// bear. The burst capacity is what it earns within a part of an overload window, or in a few windows at a
// low rate, so tokens that are not used by then are lost. The budgets of all routers add up to what the
// member bears, however many requests arrive and whichever members leave.
type slowStartBudget struct {
	tokens      float64
	refilledAt  time.Duration
	recentDraws float64         // number of recent draws, decaying over demandSpan
	heldBack    SlowStartCounts // requests that got no grant
}

// slowStartGrant records whether the budget of a member granted a request. A request draws on a member's
// budget once for each of its samples.
type slowStartGrant struct {
	member    *member
	startedAt time.Duration // start of the member's process
	granted   bool
	cost      float64 // in tokens
}

// isWarming reports whether a member is in slow start: its capacity is not complete yet.
func (r *Router) isWarming(m *member) bool {
	return m.startedAt != 0 && r.uptime(m) < r.cfg.SlowStart.Duration
}

// slowStartRatio returns the load that a member may get, as a multiple of what it bears when it is warm. A
// warming member may get the fraction slowStartSafety of the overload that it withstands, reckoned from the
// capacity that it surely had one overload window ago. A warm member has no limit.
func (r *Router) slowStartRatio(m *member) float64 {
	if !r.isWarming(m) {
		return math.Inf(1)
	}
	s := &r.cfg.SlowStart
	capacity := s.Floor + (1-s.Floor)*float64(max(0, r.uptime(m)-s.OverloadWindow))/float64(s.Duration)
	return slowStartSafety * max(1, s.OverloadFactor) * capacity
}

// overloadWindow returns the period over which the load of a host counts: a host fails if it is sent more
// than a multiple of its capacity within it.
func (r *Router) overloadWindow() time.Duration {
	return max(r.cfg.SlowStart.OverloadWindow, minOverloadWindow)
}

// slowStartRate returns the refill rate of a warming member's budget, in tokens a second, and its burst
// window: the budget holds at most what it earns in that time. The burst window is a part of an overload
// window, since the requests of one overload window may take what the budget holds and what it earns
// meanwhile. It is the time to earn one token if that is longer, but at most maxBurstWindows overload
// windows.
//
// With few requests the budget is often full between two of them, and what it would earn then is lost. The
// refill rate is raised to make up for that: it is divided by the fraction of the tokens that is expected
// to be used. With many requests this fraction is close to 1, so the correction adds nothing, and a surge
// of requests gets no more than the requests before it.
func (r *Router) slowStartRate(m *member) (perSecond float64, burstWindow time.Duration) {
	allowedRate := r.slowStartRatio(m) * r.sustainableRate(m)
	window := r.overloadWindow().Seconds()
	secondsPerToken := 1 / max(allowedRate, minUsedFraction)
	burstSeconds := min(max(burstFraction*window, secondsPerToken), maxBurstWindows*window)
	fraction := 1 - r.writeFraction
	if m == m.group.primary() {
		fraction = r.writeFraction
	}
	requestRate := m.group.history.requests.perSecond() * fraction
	drawRate := m.budget.recentDraws / demandSpan.Seconds()
	expectedRequests := max(requestRate, drawRate) * burstSeconds
	usedFraction := max(1-math.Exp(-expectedRequests), minUsedFraction)
	return allowedRate / usedFraction, time.Duration(burstSeconds * float64(time.Second))
}

// refill adds to a member's budget what it earned since the last draw, up to the burst capacity, and counts
// a new draw.
func (r *Router) refill(m *member) {
	elapsed := r.now - m.budget.refilledAt
	m.budget.recentDraws = m.budget.recentDraws*math.Exp(-elapsed.Seconds()/demandSpan.Seconds()) + 1
	perSecond, burstWindow := r.slowStartRate(m)
	refilled := perSecond * elapsed.Seconds()
	m.budget.tokens = min(m.budget.tokens+refilled, perSecond*burstWindow.Seconds())
	m.budget.refilledAt = r.now
}

// passesSlowStart reports whether a request may go to a member now. A warm member always passes, a warming
// one if its budget grants the request. Reads, writes and the search for the primary share that budget.
func (r *Router) passesSlowStart(m *member, req *request) bool {
	if !r.isWarming(m) || faulthook.Active(faulthook.IgnoreSlowStart) {
		return true
	}
	grantIndex := slices.IndexFunc(req.grants, func(g slowStartGrant) bool {
		return g.member == m && g.startedAt == m.startedAt
	})
	if grantIndex >= 0 {
		return req.grants[grantIndex].granted
	}
	grant := slowStartGrant{member: m, startedAt: m.startedAt, cost: r.slowStartCost(m, req.class)}
	if req.sample < 1 || r.slowStartRatio(m) >= 1 {
		grant.granted = r.drawGrant(m, req, grant.cost)
	}
	req.grants = append(req.grants, grant)
	return grant.granted
}

// slowStartCost returns how many tokens a request takes from a member's budget: what it costs a host or,
// for a write or a strong read at the primary, at least writeCost. Heavy requests take more than they cost,
// because the load that few of them make varies much. The result is infinite for a class of which a few
// requests might be too much for the member.
func (r *Router) slowStartCost(m *member, k *class) float64 {
	cost := max(leastCost, r.highestCost(k))
	if k.needsPrimary() && m == m.group.primary() {
		cost = max(cost, writeCost)
	}
	if cost <= ordinaryCost {
		return cost
	}
	excess, limit := cost-ordinaryCost, r.overloadMargin(m)/heavyRequestsInMargin
	if excess >= limit {
		return math.Inf(1)
	}
	return cost / (1 - excess/limit)
}

// overloadMargin returns how much more work than their budgets permit all routers together may send a warming
// member within one overload window. The rule on cold hosts tolerates twice the root of what it allows, for
// chance.
func (r *Router) overloadMargin(m *member) float64 {
	perSecond := r.slowStartRatio(m) * r.sustainableRate(m) * float64(r.cfg.RouterCount)
	budget := perSecond * r.overloadWindow().Seconds()
	allowed := budget / slowStartSafety
	return allowed - budget + 2*math.Sqrt(allowed) + 2
}

// refund returns the tokens of a request that was granted but not sent to a member's budget, up to the
// burst capacity.
func (r *Router) refund(m *member, cost float64) {
	if r.isWarming(m) {
		perSecond, burstWindow := r.slowStartRate(m)
		m.budget.tokens = min(m.budget.tokens+cost, perSecond*burstWindow.Seconds())
	}
}

// refundUnusedGrants refunds the grants of a request by members other than the one that it is sent to.
func (r *Router) refundUnusedGrants(req *request, sentTo *member) {
	for i := range req.grants {
		if g := &req.grants[i]; g.granted && g.member != sentTo {
			g.granted = false
			r.refund(g.member, g.cost)
		}
	}
}

// drawGrant decides by a request's sample whether a member's budget grants the request. In either case it
// takes the expected cost from the budget: the chance of a grant times the cost. The low-order digits of the
// sample select one replica of the group, so that of several warming replicas mostly one grants the request.
// Reads at the primary leave the writes their share.
func (r *Router) drawGrant(m *member, req *request, cost float64) bool {
	if math.IsInf(cost, 1) {
		m.budget.heldBack[m.slowStartPath(req.class)]++
		return false
	}
	r.refill(m)
	sample := req.sample
	if sample >= 1 { // used up: a further draw needs a new sample, not the one that has failed
		sample = r.rng.Float64()
	}
	chance, draw := min(1, m.budget.tokens/cost), sample
	switch isPrimary := m == m.group.primary(); {
	case !isPrimary:
		draw = m.sampleForReplica(sample)
	case !req.class.needsPrimary():
		share := 1 / float64(m.group.history.replicaCount())
		chance = min(chance, max(0, r.slowStartRatio(m)*(share-r.writeFraction)))
	}
	m.budget.tokens -= chance * cost
	if draw >= chance {
		m.budget.heldBack[m.slowStartPath(req.class)]++
		return false
	}
	return true
}

// sampleForReplica maps a request's sample, its random number between 0 and 1, to the one that counts for
// this replica, so that the replicas do not all grant or all refuse the same request. For each replica the
// result is uniform between 0 and 1. For the same sample, each replica of the group gets a result in a
// different part of that range. The factor MaxInt32 turns the sample into an integer whose remainder, which
// selects that part, depends on the low-order digits; the sample itself gives the place within the part.
func (m *member) sampleForReplica(sample float64) float64 {
	primary := m.group.primary()
	count, index := 0, 0
	for _, other := range m.group.members {
		if other == m {
			index = count
		}
		if other.active && other != primary { // removed members stay in the group for a while
			count++
		}
	}
	count = max(1, count)
	offset := int(sample * math.MaxInt32)
	return (float64((offset+index)%count) + sample) / float64(count)
}

// grantedCost returns the tokens that the grant of a member took; 0 if there is none.
func (req *request) grantedCost(m *member) float64 {
	for _, g := range req.grants {
		if g.member == m && g.granted {
			return g.cost
		}
	}
	return 0
}

// redraw gives a request a new sample and discards the grants of the previous one without a refund.
func (req *request) redraw(sample float64) {
	req.sample = sample
	req.grants = req.grants[:0]
}

// useUpSample marks a request's sample as used. Until the request gets a new one, no member whose slow
// start ratio is below 1 grants it.
func (req *request) useUpSample() { req.redraw(1 + math.Mod(req.sample, 1)) }

// renewGrant reports whether slow start permits an attempt that was chosen a while ago. If the member
// has started again since, or the grant is too old, the request draws again with a new sample: otherwise
// connections that take long to open could deliver the requests of all routers at the same time.
func (r *Router) renewGrant(a *attempt, req *request) bool {
	m := a.member
	isRecent := r.now-a.grantedAt <= r.overloadWindow()/grantsPerWindow
	if !r.isWarming(m) || a.memberStartedAt == m.startedAt && isRecent {
		return true
	}
	req.redraw(r.rng.Float64())
	if !r.passesSlowStart(m, req) {
		return false
	}
	a.memberStartedAt, a.grantedAt, a.cost = m.startedAt, r.now, req.grantedCost(m)
	req.useUpSample()
	return true
}
