package routing

import (
	"slices"
	"time"
)

// request is a client's request, kept until it has its final answer and all its attempts have ended.
type request struct {
	id                               string
	class                            *class
	group                            *group
	sessionKey                       uint64
	hasSessionKey, isRetry           bool   // isRetry: the client marks it as a retry
	host                             string // that its session keeps a connection to; "": none
	hostRequired                     bool
	arrivedAt, objectiveAt, deadline time.Duration
	minPosition                      time.Duration // least log position that a member must have; 0: none
	attempts                         []attempt
	inFlight, probeCount             int           // attempts in flight; probes that it has waited for
	mayHaveRun                       bool          // at least one attempt may have run
	dedupDeadline                    time.Duration // the last time at which a retry is still deduplicated
	finished, queued                 bool
	weight                           float64 // priority weight, reduced over quota and for retries
	sample                           float64 // random input of slow start's drawGrant; from 1 on: used up
	grants                           []slowStartGrant
	lastProbed                       *member // member whose probe it waited for last
	probedAt                         time.Duration
}

// attempt is one attempt of a request at a member.
type attempt struct {
	member          *member
	sentAt          time.Duration
	memberStartedAt time.Duration // when the member's process started, as known at grantedAt
	grantedAt       time.Duration // when slow start allowed the attempt
	cost            float64       // tokens that it took from the member's slow start budget
	pending         bool
}

func (req *request) attempted(m *member) bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.member == m })
}

// dispatch sends a request to a member, queues it for the next tick, or gives it up.
func (r *Router) dispatch(req *request) {
	k := req.class
	// Too late: near the deadline, or the answer is expected after the objective and then has no value.
	// For this the expected latency counts for at most three quarters of the time up to the objective.
	tooLate := r.now >= req.deadline-answerMargin ||
		k.LateFraction == 0 && r.now+min(k.latency, (req.objectiveAt-req.arrivedAt)*3/4) >= req.objectiveAt
	// So it is for a read not sent within half of its time: the client can use the rest to retry elsewhere.
	halfwayAt := req.arrivedAt + (req.deadline-req.arrivedAt)/2 - answerMargin
	tooLate = tooLate || k.Access != Write && len(req.attempts) == 0 && r.now >= halfwayAt
	switch {
	case tooLate:
		r.giveUp(req, EndTooLate)
		return
	case len(req.attempts) >= r.cfg.MaxAttempts:
		r.giveUp(req, EndAttemptsUsed)
		return
	case !r.canRetry(req):
		r.giveUp(req, EndNotRepeatable)
		return
	}
	if m := r.chooseMember(req); m != nil {
		r.send(req, m)
	}
	if req.inFlight == 0 && !req.queued {
		req.queued = true
		r.queue = append(r.queue, req)
	}
}

// chooseMember returns the member that a request is sent to now, or nil if the request has to wait.
func (r *Router) chooseMember(req *request) *member {
	if req.host != "" {
		if m, waits := r.chooseKept(req); m != nil || waits {
			return m
		}
	}
	primary, isWrite := req.group.primary(), req.class.Access == Write
	switch {
	case !req.class.needsPrimary():
		return r.chooseReplica(req)
	case primary == nil && isWrite:
		return r.searchPrimary(req)
	case primary == nil || primary.unconfirmedPrimary && !isWrite:
		for _, m := range req.group.members { // a strong read waits for the primary: probe for it
			if r.cfg.Probing.findsRole() && m.active && r.now-m.probedAt >= retryBackoff/2 {
				r.probe(m)
			}
		}
	case r.canTake(primary, req):
		return primary
	}
	return nil
}

// send records an attempt of a request at a member and emits the action that sends it.
func (r *Router) send(req *request, m *member) {
	var timeout time.Duration
	if req.class.LateFraction == 0 {
		timeout = max(req.objectiveAt-r.now-answerMargin, answerMargin)
	}
	if req.class.Idempotency == Deduplicated { // after the timeout, the host must not run it from its queue
		timeout = min(max(8*r.meanLatency, req.class.LatencyObjective), req.dedupDeadline-r.now)
	}
	if m.inFlight == 0 {
		m.waitingSince = r.now
	}
	m.sentAt = r.now
	m.inFlight++
	m.inFlightByClass[req.class.index]++
	req.attempts = append(req.attempts, attempt{
		member: m, sentAt: r.now, memberStartedAt: m.startedAt, grantedAt: r.now, cost: req.grantedCost(m),
		pending: true,
	})
	r.refundUnusedGrants(req, m)
	if r.isWarming(m) { // the sample covers one attempt: a retry draws no grant with it
		req.useUpSample()
	}
	req.inFlight++
	minPosition := r.requiredPosition(req)
	r.emit(Action{Kind: ActSend, ID: req.id, Host: m.host, Timeout: timeout, MinPosition: minPosition})
}

// canRetry reports whether another attempt is safe, so that the request cannot take effect twice.
func (r *Router) canRetry(req *request) bool {
	k := req.class
	return !req.mayHaveRun || k.Idempotency == Idempotent || k.Idempotency == Deduplicated &&
		k.Scope != ScopeZone && r.now+max(k.latency, minLatency) < req.dedupDeadline
}

// handleOutcome records what the end of an attempt shows of its member, then retries or ends the request.
func (r *Router) handleOutcome(e *AttemptEnded) {
	req := r.requests[e.ID]
	if req == nil || e.Attempt < 0 || e.Attempt >= len(req.attempts) || !req.attempts[e.Attempt].pending {
		return
	}
	a := &req.attempts[e.Attempt]
	a.pending = false
	req.inFlight--
	a.member.inFlight--
	a.member.inFlightByClass[req.class.index]--
	a.member.waitingSince = r.now
	r.recordOutcome(a, req, e)
	if e.Execution == NotBegun && a.memberStartedAt == a.member.startedAt { // nothing was written to the host
		r.refund(a.member, a.cost)
		req.redraw(r.rng.Float64())
	}
	neverRan := e.Execution.NeverRan()
	if !neverRan && !req.mayHaveRun {
		req.mayHaveRun, req.dedupDeadline = true, a.sentAt+req.class.DedupWindow-answerMargin
	}
	if e.Final {
		r.finish(req, e.Code == OK && r.now <= req.objectiveAt)
	}
	if req.inFlight > 0 {
		return
	} else if req.finished {
		delete(r.requests, req.id)
		return
	}
	// A retry costs more the longer the last attempt took: quick failures are cheap, slow ones add load.
	cost := min(1, minRetryCost+2*e.Elapsed.Seconds()/req.class.LatencyObjective.Seconds())
	// Free: the host was healthy but the wrong one, the attempt was not sent in time, or a write never ran.
	if e.Code.isMisrouted() || e.Code == NotSent || req.class.Access == Write && neverRan {
		cost = 0
	}
	switch {
	case !r.canRetry(req):
		r.giveUp(req, EndNotRepeatable)
		return
	case r.retryBudget < cost:
		r.giveUp(req, EndRetryBudget)
		return
	}
	r.retryBudget -= cost
	r.dispatch(req)
}

// handleClientGone ends a request whose client is gone. Pending attempts count as lost: they took too long.
func (r *Router) handleClientGone(id string) {
	req := r.requests[id]
	if req == nil || req.finished {
		return
	}
	for _, a := range req.attempts {
		if a.pending {
			r.recordLost(a.member, req)
		}
	}
	r.finish(req, false)
}

// finish ends a request. With CancelAllowed, it cancels the attempts of an idempotent one still in flight.
func (r *Router) finish(req *request, inTime bool) {
	if k := req.class; !req.isRetry && !req.finished {
		k.samples = min(k.samples+1, maxSamples)
		k.inTimeFraction -= k.inTimeFraction / k.samples
		if inTime {
			k.inTimeFraction += 1 / k.samples
		} else if r.worstClass == nil || k.inTimeFraction < r.worstClass.inTimeFraction {
			r.worstClass = k
		}
	}
	req.finished = true
	for i, a := range req.attempts {
		if a.pending && r.cfg.CancelAllowed && req.class.Idempotency == Idempotent {
			r.emit(Action{Kind: ActCancel, ID: req.id, Attempt: i})
		}
	}
	if req.inFlight == 0 {
		delete(r.requests, req.id)
	}
}

// giveUp ends a request now: with a rejection if a retry by the client is harmless, else with a failure.
// Retry-After is short only if a late answer has value and, where the primary is needed, there is one.
func (r *Router) giveUp(req *request, reason EndReason) {
	k := req.class
	answer := Action{Kind: ActFail, ID: req.id, Reason: reason}
	if k.PermitsRejection(req.mayHaveRun || req.inFlight > 0) {
		answer.Kind, answer.RetryAfter = ActReject, r.cfg.MaxRetryAfter
		if k.LateFraction != 0 && (!k.needsPrimary() || req.group.primary() != nil) { // the queue may drain
			answer.RetryAfter = min(2*max(r.meanLatency, minLatency), r.cfg.MaxRetryAfter)
		}
	}
	r.emit(answer)
	r.finish(req, false)
}
