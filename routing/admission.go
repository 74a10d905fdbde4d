package routing

import (
	"cmp"
	"math"
	"time"
)

// admission is the load shedding state of one part of a group's requests, see forReplicas and forPrimary.
type admission struct {
	// shedFraction is the fraction of the requests that is rejected on arrival.
	shedFraction float64
	// inTimeFraction is the smoothed fraction of the attempts that were answered well within their latency
	// objective.
	inTimeFraction float64
}

// The parts of a group's requests: reads that replicas serve, and requests that the primary serves.
const forReplicas, forPrimary = 0, 1

func (k *class) needsPrimary() bool { return k.servingRole == forPrimary }

func (req *request) admission(m *member) *admission {
	if m == req.group.primary() {
		return &req.group.admissions[forPrimary]
	}
	return &req.group.admissions[req.class.servingRole]
}

type tenant struct {
	rate      float64 // requests a second at this router, smoothed
	updatedAt time.Duration
}

// quotaFraction counts a request of a tenant and returns the factor for its weight. The part of the tenant's
// rate that is within its quota counts in full, the rest by OverQuotaFraction. The tenant's rate is estimated
// as if every router saw as many of its requests as this one.
func (r *Router) quotaFraction(i int) float64 {
	t := &r.tenants[i]
	t.rate = t.rate*math.Exp(-(r.now-t.updatedAt).Seconds()/tenantRateSpan) + 1.0/tenantRateSpan
	t.updatedAt = r.now
	withinQuota := min(1, r.cfg.Tenants[i].Quota/max(t.rate*float64(r.cfg.RouterCount), 1e-9))
	return withinQuota + r.cfg.OverQuotaFraction*(1-withinQuota)
}

// handleRequest admits a new request or rejects it. Requests of low weight are shed first.
func (r *Router) handleRequest(e *RequestArrived) {
	if r.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(r.cfg.Classes) {
		return
	}
	k, g := &r.classes[e.Class], r.groups[e.Group]
	if g == nil { // no endpoint list has named this group, so no known host can serve it
		retryAfter := min(retryBackoff, r.cfg.MaxRetryAfter)
		r.emit(Action{Kind: ActReject, ID: e.ID, RetryAfter: retryAfter, Reason: EndUnknownGroup})
		return
	}
	req := &request{id: e.ID, class: k, group: g, sessionKey: e.SessionKey, hasSessionKey: e.HasSessionKey}
	req.host, req.hostRequired = e.Host, e.HostRequired
	req.arrivedAt, req.deadline, req.dedupDeadline = r.now, r.now+e.TimeRemaining, math.MaxInt64
	req.objectiveAt = r.now + min(k.LatencyObjective, e.TimeRemaining)
	req.sample, req.weight, req.isRetry = r.rng.Float64(), k.PriorityWeight, e.IsRetry
	if k.Access == SessionRead && r.cfg.TracksCommits {
		req.minPosition = max(g.commits[e.SessionKey], g.commitFloor)
	} else if k.Access == SessionRead && e.CommitAge != 0 {
		req.minPosition = r.now - e.CommitAge + positionMargin
	}
	r.requests[req.id] = req
	if e.Tenant > 0 && e.Tenant <= len(r.tenants) {
		req.weight *= r.quotaFraction(e.Tenant - 1)
	}
	if req.isRetry { // its latency objective has passed; under overload retries crowd out timely requests
		req.weight *= k.LateFraction
	} else {
		k.offeredWeight += k.PriorityWeight
		r.offeredWeight += k.PriorityWeight
	}
	smooth(&r.writeFraction, float64(k.servingRole), writeFractionSpan)
	r.recordRequest(k)
	r.advanceHistory(g).requests.events[k.index]++
	mean := &r.meanWeight[k.servingRole]
	*mean = cmp.Or(*mean, k.PriorityWeight)
	smooth(mean, req.weight, weightSpan)
	r.retryBudget = min(max(1, retryBudgetCap/float64(r.cfg.RouterCount)), r.retryBudget+retryBudgetRatio)
	earnedProbes := probeCostFraction / max(r.cfg.Probing.Cost, probeCostFraction/2)
	r.probeBudget = min(probeBudgetCap, r.probeBudget+earnedProbes)
	if req.sample > 1-g.admissions[k.servingRole].shedFraction**mean/max(req.weight, 1e-9) {
		r.giveUp(req, EndShed)
		return
	} else if req.isRetry { // the original request has already drawn on slow start's budgets
		req.useUpSample()
	}
	r.dispatch(req)
}

// raiseShedding sheds more of a group's requests when answers are late, or are lost while others are slow,
// which shows an overload and not a host that hangs. With up to shedMinRouters routers it sheds nothing. It
// can do harm where only one member is slow, because the whole group is shed.
func (r *Router) raiseShedding(a *admission, weight float64) {
	weight *= max(0, 1-shedMinRouters/float64(r.cfg.RouterCount))
	a.shedFraction = min(maxShedFraction, a.shedFraction+weight*shedIncrease*(1-a.shedFraction))
}

// recordLost records an attempt at a member that brought no answer in time.
func (r *Router) recordLost(m *member, req *request) {
	r.adjustLimit(m, -limitDecrease)
	a := req.admission(m)
	smooth(&a.inTimeFraction, 0, inTimeSpan)
	r.raiseShedding(a, (1-a.inTimeFraction)*(1-a.inTimeFraction))
}

func (r *Router) hasCapacity(m *member) bool {
	return float64(m.inFlight) < m.limit && r.now >= m.backoffUntil
}

// canTake reports whether the only member that can serve a request may get it now. It may be an outlier,
// because there is no other choice.
func (r *Router) canTake(m *member, req *request) bool {
	return !r.isSilent(m) && r.hasCapacity(m) && r.passesSlowStart(m, req)
}

// adjustLimit changes a member's in-flight limit. By its callers' steps, the limit settles where one in six
// answers takes more than half of its latency objective, so that requests queue at the routers and not at
// the member. It can do harm to a class whose work alone takes that long.
func (r *Router) adjustLimit(m *member, delta float64) {
	m.limit = max(1, m.limit+delta, m.limit*(1+min(0, delta)))
	m.restoredLimit *= max(0, 1+min(0, 2*delta))
	if delta > 0 { // timely answers restore the limit from before this router's start
		m.limit = max(m.limit, min(m.restoredLimit, 2*m.limit))
	}
}
