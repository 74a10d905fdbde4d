package routing

import (
	"slices"
	"time"
)

// request is a client's request, until its final answer was given and all its attempts have ended.
type request struct {
	id                               string
	class                            *class
	group                            *group
	sessionKey                       uint64
	hasSessionKey, isRetry           bool // isRetry: its client marks it as a retry
	arrivedAt, objectiveAt, deadline time.Duration
	minPosition                      time.Duration // least position a member must have; 0: none
	attempts                         []attempt
	inFlight, probeCount             int           // attempts; probes that it has waited for
	mayHaveRun                       bool          // some attempt
	dedupDeadline                    time.Duration // of the first such: when a retry must have ended
	finished, queued                 bool
	weight                           float64 // with what its tenant's quota leaves of it
	sample                           float64 // random, see drawGrant; from 1 on: used up
	grants                           []slowStartGrant
	probed                           *member // by the last probe
	probedAt                         time.Duration
}

type attempt struct {
	member    *member
	sentAt    time.Duration
	startedAt time.Duration // of the member's process, and
	grantedAt time.Duration // when slow start let it pass
	pending   bool
}

func (req *request) attempted(m *member) bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.member == m })
}

// dispatch sends a request to a member, or leaves it queued for the next tick, or ends it.
func (r *Router) dispatch(req *request) {
	k := req.class
	tooLate := r.now >= req.deadline-answerMargin || // or not to be had in time, and worth nothing late:
		k.LateFraction == 0 && r.now+min(k.latency, (req.objectiveAt-req.arrivedAt)*3/4) >= req.objectiveAt
	// So is a read that was never sent by half of its time: its client has the rest for elsewhere.
	half := req.arrivedAt + (req.deadline-req.arrivedAt)/2 - answerMargin
	tooLate = tooLate || k.Access != Write && len(req.attempts) == 0 && r.now >= half
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

// chooseMember returns where a request goes now, or nil if it has to wait.
func (r *Router) chooseMember(req *request) *member {
	primary, isWrite := req.group.primary(), req.class.Access == Write
	switch {
	case !req.class.needsPrimary():
		return r.chooseReplica(req)
	case primary == nil && isWrite:
		return r.searchPrimary(req)
	case primary == nil || primary.unconfirmedPrimary && !isWrite:
		for _, m := range req.group.members { // a strong read waits for the primary: ask who it is
			if r.cfg.Probing.findsRole() && m.active && r.now-m.probedAt >= retryBackoff/2 {
				r.probe(m)
			}
		}
	case r.canTake(primary, req):
		return primary
	}
	return nil
}

func (r *Router) send(req *request, m *member) {
	var timeout time.Duration
	if req.class.LateFraction == 0 {
		timeout = max(req.objectiveAt-r.now-answerMargin, answerMargin)
	}
	if req.class.Idempotency == Deduplicated { // what is still queued at the host then must not run
		timeout = min(max(8*r.meanLatency, req.class.LatencyObjective), req.dedupDeadline-r.now)
	}
	if m.inFlight == 0 {
		m.waitingSince = r.now
	}
	m.sentAt = r.now
	m.inFlight++
	m.inFlightByClass[req.class.index]++
	req.attempts = append(req.attempts, attempt{
		member: m, sentAt: r.now, startedAt: m.startedAt, grantedAt: r.now, pending: true,
	})
	r.settleGrants(req, m)
	if r.isWarming(m) { // a further attempt adds nothing to what the sample stands for
		req.useUpSample()
	}
	req.inFlight++
	need := r.requiredPosition(req)
	r.emit(Action{Kind: ActSend, ID: req.id, Host: m.host, Timeout: timeout, MinPosition: need})
}

// canRetry reports whether one more attempt can do no harm.
func (r *Router) canRetry(req *request) bool {
	k := req.class
	return !req.mayHaveRun || k.Idempotency == Idempotent || k.Idempotency == Deduplicated &&
		k.Scope != ScopeZone && r.now+max(k.latency, minLatency) < req.dedupDeadline
}

// handleOutcome takes the end of an attempt: its evidence first, then what becomes of the request.
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
	if e.Execution == NotBegun && a.startedAt == a.member.startedAt { // the host has seen nothing of it
		r.refund(a.member, a.member.slowStartCost(req.class))
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
	// A retry costs what the last attempt took: quick failures are cheap, late ones add to an overload.
	cost := min(1, minRetryCost+2*e.Elapsed.Seconds()/req.class.LatencyObjective.Seconds())
	// Its host is sound, though no primary or behind; and what came too late to be sent is chosen for anew.
	if e.Code.isMisplaced() || e.Code == NotSent || req.class.Access == Write && neverRan {
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

// recordOutcome takes what an attempt shows of its member.
func (r *Router) recordOutcome(a *attempt, req *request, e *AttemptEnded) {
	m, isWrite := a.member, req.class.Access == Write
	if e.Role != Unknown {
		position := e.Position
		if isWrite && e.Code == OK { // a commit, rounded up: not yet a proven position
			if r.cfg.TracksCommits && req.hasSessionKey && e.Position > 0 {
				r.recordCommit(req.group, req.sessionKey, e.Position)
			}
			position = 0
		}
		r.recordAnswer(m, &LateAnswer{Role: e.Role, Position: e.Position, Elapsed: e.Elapsed}, position)
	}
	if e.Code == StaleAnswer && e.Position > 0 { // its data went back behind what it had reported
		m.position = min(m.position, e.Position)
	}
	r.recordReport(m, e.Report)
	r.judgeAttempt(m, a, req, e)
	if e.Code == NoConnection || e.Code == Misdirected && isWrite {
		m.notPrimaryAt = r.now
	}
}

// judgeAttempt updates the connection, score and limit of a member by how an attempt ended.
func (r *Router) judgeAttempt(m *member, a *attempt, req *request, e *AttemptEnded) {
	// While many attempts fail to connect at once, hosts are out of connections: most routers close theirs.
	m.connected = m.connected || e.Code == OK || e.Code.isMisplaced()
	r.connectFailures -= r.connectFailures / connectSpan
	if e.Code == NoConnection && e.Elapsed < minLatency {
		r.connectFailures += 1.0 / connectSpan
	}
	if m.connected && m.inFlight == 0 && r.connectFailures > connectFailureThreshold &&
		r.rng.Float64() > maxIdleConns/float64(r.cfg.RouterCount) {
		m.connected = false
		r.emit(Action{Kind: ActCloseIdle, Host: m.host})
	}
	score := e.Elapsed.Seconds() / req.class.LatencyObjective.Seconds()
	switch e.Code {
	case OK, Misdirected, StaleAnswer:
		m.answeredAt = r.now
	case ServerError, NoConnection:
		score, m.connected = faultScore, e.Code == ServerError
	case ConnectionLost: // if the host is dead, the next will not even connect
		score, m.connected = transientFaultScore, false
	case Malformed:
		score, m.answeredAt = transientFaultScore, r.now
	case NoAnswer:
		// One alone may be a costly request, at a slow host often; a dead one is silent, or refuses the next.
		if score = max(1, score); m.answeredAt <= a.sentAt { // else it answered others meanwhile: busy
			score = transientFaultScore
		}
		r.recordLost(m, req)
	case Rejected: // even the answer cost it something: leave it alone for about an answer's time
		m.backoffUntil = r.now + time.Duration((1+r.rng.Float64())*float64(max(r.meanLatency, minLatency)))
		r.adjustLimit(m, -limitDecrease)
		r.raiseShedding(req.admission(m), 0.5)
		return
	default:
		return
	}
	if !e.Code.isMisplaced() {
		r.recordScore(m, score)
	}
	if e.Code == OK {
		r.recordLatency(m, req, e.Elapsed)
	}
}

// recordLatency takes an answer's latency: late ones close the member's limit and shed, timely ones open it.
func (r *Router) recordLatency(m *member, req *request, elapsed time.Duration) {
	k, a, inTime := req.class, req.admission(m), 0.0
	r.meanLatency = smoothLatency(r.meanLatency, elapsed)
	k.latency = smoothLatency(k.latency, elapsed)
	k.serviceTime = min(elapsed, k.serviceTime+max(k.serviceTime/64, time.Millisecond))
	if elapsed <= k.LatencyObjective {
		r.recordBorne(m)
	}
	if elapsed > k.LatencyObjective*3/4 {
		r.raiseShedding(a, 0.5)
	} else {
		inTime = 1
		a.shedFraction = max(0, a.shedFraction-shedDecrease)
	}
	smooth(&a.inTimeFraction, inTime, inTimeSpan)
	if elapsed > k.LatencyObjective/2 {
		r.adjustLimit(m, -limitDecrease)
	} else if float64(m.inFlight+1) >= m.limit/2 {
		r.adjustLimit(m, limitIncrease)
	}
}

// handleClientGone: a client that left has found the queues of its members too long.
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

// finish ends a request and cancels the attempts that are still in flight.
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

// giveUp gives the final answer at once: a rejection where a client's retry is harmless, else a failure.
func (r *Router) giveUp(req *request, reason EndReason) {
	k := req.class
	answer := Action{Kind: ActFail, ID: req.id, Reason: reason}
	if k.PermitsRejection(req.mayHaveRun || req.inFlight > 0) {
		answer.Kind, answer.RetryAfter = ActReject, r.cfg.MaxRetryAfter
		if k.LateFraction != 0 && (!k.needsPrimary() || req.group.primary() != nil) { // its queue may clear
			answer.RetryAfter = min(2*max(r.meanLatency, minLatency), r.cfg.MaxRetryAfter)
		}
	}
	r.emit(answer)
	r.finish(req, false)
}
