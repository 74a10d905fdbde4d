package routing

import (
	"cmp"
	"time"
)

// recordOutcome updates a member's role, position, load report and health by how an attempt ended.
func (r *Router) recordOutcome(a *attempt, req *request, e *AttemptEnded) {
	m, isWrite := a.member, req.class.Access == Write
	if e.Role != Unknown {
		position := e.Position
		if isWrite && e.Code == OK { // a commit's position is rounded up, so it is not proven
			if r.cfg.TracksCommits && req.hasSessionKey && e.Position > 0 {
				r.recordCommit(req.group, req.sessionKey, e.Position)
			}
			position = 0
		}
		r.recordAnswer(m, &LateAnswer{Role: e.Role, Position: e.Position, Elapsed: e.Elapsed}, position)
	}
	if e.Code == StaleAnswer && e.Position > 0 { // its data is older than it had reported
		m.position = min(m.position, e.Position)
	}
	r.recordReport(m, e.Report)
	r.updateHealth(m, a, req, e)
	if e.Code == NoConnection || e.Code == Misdirected && isWrite {
		m.notPrimaryAt = r.now
	}
}

// updateHealth updates the connection state, score and limit of a member by how an attempt ended.
func (r *Router) updateHealth(m *member, a *attempt, req *request, e *AttemptEnded) {
	// Many immediate connect failures show that hosts are out of connections: most routers close idle ones.
	m.connected = m.connected || e.Code == OK || e.Code.isMisrouted()
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
	case ConnectionLost: // if the host is down, the next attempt will not even connect
		score, m.connected = transientFaultScore, false
	case Malformed:
		score, m.answeredAt = transientFaultScore, r.now
	case NoAnswer:
		// A single one may be due to a costly request, at a slow host often; a host that is down stays
		// silent, or refuses the next connection.
		if score = max(1, score); m.answeredAt <= a.sentAt { // else it answered others meanwhile: it is busy
			score = transientFaultScore
		}
		r.recordLost(m, req)
	case Rejected: // a rejection costs the host work too: back off for one to two mean latencies
		m.backoffUntil = r.now + time.Duration((1+r.rng.Float64())*float64(max(r.meanLatency, minLatency)))
		r.adjustLimit(m, -limitDecrease)
		r.raiseShedding(req.admission(m), 0.5)
		return
	default:
		return
	}
	if !e.Code.isMisrouted() {
		r.recordScore(m, score)
	}
	if e.Code == OK {
		r.recordLatency(m, req, e.Elapsed)
		r.recordWork(m, req.class, cmp.Or(e.SinceWrite, e.Elapsed))
	}
}

// recordLatency applies an answer's latency: slow answers lower the limit and shed more, fast ones undo that.
func (r *Router) recordLatency(m *member, req *request, elapsed time.Duration) {
	k, a, inTime := req.class, req.admission(m), 0.0
	r.meanLatency = smoothLatency(r.meanLatency, elapsed)
	k.latency = smoothLatency(k.latency, elapsed)
	k.serviceTime = min(elapsed, k.serviceTime+max(k.serviceTime/64, time.Millisecond))
	if elapsed <= k.LatencyObjective {
		r.recordTimelyAnswer(m, k)
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
