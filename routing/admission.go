package routing

import (
	"cmp"
	"math"
	"time"
)

// admission is the load shedding of one part of a group's requests.
type admission struct {
	shedFraction   float64 // of its requests that is rejected on arrival
	inTimeFraction float64 // smoothed, of the attempts that were answered well inside their latency objective
}

// The parts: reads that replicas serve, and what the primary serves.
const forReplicas, forPrimary = 0, 1

func (k *class) needsPrimary() bool { return k.part == forPrimary }

func (req *request) admission(m *member) *admission {
	if m == req.group.primary() {
		return &req.group.admissions[forPrimary]
	}
	return &req.group.admissions[req.class.part]
}

type tenant struct {
	rate      float64 // of its requests at this router, a second
	updatedAt time.Duration
}

// quotaFraction is what a tenant's request counts for, if all routers see as much of the tenant as this one.
func (r *Router) quotaFraction(i int) float64 {
	t := &r.tenants[i]
	t.rate = t.rate*math.Exp(-(r.now-t.updatedAt).Seconds()/tenantRateSpan) + 1.0/tenantRateSpan
	t.updatedAt = r.now
	within := min(1, r.cfg.Tenants[i].Quota/max(t.rate*float64(r.cfg.RouterCount), 1e-9))
	return within + r.cfg.OverQuotaFraction*(1-within)
}

// handleRequest admits a new request or rejects it. Light requests are shed first.
func (r *Router) handleRequest(e *RequestArrived) {
	if r.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(r.cfg.Classes) {
		return
	}
	k, g := &r.classes[e.Class], r.groups[e.Group]
	if g == nil { // no list has named this group: nothing can serve it
		advice := min(retryBackoff, r.cfg.MaxRetryAfter)
		r.emit(Action{Kind: ActReject, ID: e.ID, RetryAfter: advice, Reason: EndUnknownGroup})
		return
	}
	req := &request{id: e.ID, class: k, group: g, sessionKey: e.SessionKey, hasSessionKey: e.HasSessionKey}
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
	if req.isRetry { // its objective has passed; under overload retries crowd out the requests that count
		req.weight *= k.LateFraction
	} else {
		k.offeredWeight += k.PriorityWeight
		r.offeredWeight += k.PriorityWeight
	}
	smooth(&r.writeFraction, float64(k.part), writeFractionSpan)
	r.advanceHistory(g).requests++
	mean := &r.meanWeight[k.part]
	*mean = cmp.Or(*mean, k.PriorityWeight)
	smooth(mean, req.weight, weightSpan)
	r.retryBudget = min(max(1, retryBudgetCap/float64(r.cfg.RouterCount)), r.retryBudget+retryBudgetRatio)
	probes := probeCostFraction / max(r.cfg.Probing.Cost, probeCostFraction/2)
	r.probeBudget = min(probeBudgetCap, r.probeBudget+probes)
	if req.sample > 1-g.admissions[k.part].shedFraction**mean/max(req.weight, 1e-9) {
		r.giveUp(req, EndShed)
		return
	} else if req.isRetry { // its first attempt had a sample
		req.useUpSample()
	}
	r.dispatch(req)
}

// raiseShedding sheds more of a group when answers are late, or lost while others are slow: an overload, not
// a hang. Could harm where slowness is one member's.
func (r *Router) raiseShedding(a *admission, weight float64) {
	weight *= max(0, 1-shedMinRouters/float64(r.cfg.RouterCount))
	a.shedFraction = min(maxShedFraction, a.shedFraction+weight*shedIncrease*(1-a.shedFraction))
}

// recordLost notes an attempt at a member that brought no answer in time.
func (r *Router) recordLost(m *member, req *request) {
	r.adjustLimit(m, -limitDecrease)
	a := req.admission(m)
	smooth(&a.inTimeFraction, 0, inTimeSpan)
	r.raiseShedding(a, (1-a.inTimeFraction)*(1-a.inTimeFraction))
}

func (r *Router) hasCapacity(m *member) bool {
	return float64(m.inFlight) < m.limit && r.now >= m.backoffUntil
}

// canTake reports whether the only member that can serve a request may get it now, outlier or not.
func (r *Router) canTake(m *member, req *request) bool {
	return !r.isSilent(m) && r.hasCapacity(m) && r.passesSlowStart(m, req)
}

// adjustLimit moves a member's in-flight limit. It settles where a sixth of the answers take over half
// of their objective, so queues stay with the routers. Could harm a class whose work alone takes as long.
func (r *Router) adjustLimit(m *member, by float64) {
	m.limit = max(1, m.limit+by, m.limit*(1+min(0, by)))
	m.restoredLimit *= max(0, 1+min(0, 2*by))
	if by > 0 { // what held before the start is taken up again by proof
		m.limit = max(m.limit, min(m.restoredLimit, 2*m.limit))
	}
}
