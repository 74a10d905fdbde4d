package routing

// The ranks of members for a probe, the most likely to qualify first.
//   - rankKeepsPace: its position was confirmed lately, and qualifies if the member has kept pace since.
//   - rankUnknown: nothing recent is known of its position.
//   - rankLaggedBefore: it was far behind before this router's start, and nothing is known since.
//   - rankTooFarBehind: it is too far behind to have caught up since its position was confirmed.
const rankKeepsPace, rankUnknown, rankLaggedBefore, rankTooFarBehind = 0, 1, 2, 3

// probeRank ranks a member for a read. A member that catches up is taken to apply the log at twice real time.
func (r *Router) probeRank(m *member, req *request) int {
	elapsed, required := r.now-m.positionAt, r.requiredPosition(req)
	switch {
	case m.position == 0 && m.restoredLag > r.tightestBound:
		return rankLaggedBefore
	case m.position > 0 && m.position+2*elapsed < required:
		return rankTooFarBehind
	case m.position > 0 && elapsed < paceRetention && m.position+elapsed >= required:
		return rankKeepsPace
	}
	return rankUnknown
}

// awaitProbe lets a read for which no replica is known to qualify wait for the probe of one that may. It
// reports whether the read waits.
func (r *Router) awaitProbe(req *request, members []*member) bool {
	if req.lastProbed != nil && req.lastProbed.probePending && r.now < req.probedAt+probeAnswerWait {
		return true
	}
	if !r.cfg.Probing.findsPosition() || r.cfg.StalenessCheck != CheckNone ||
		req.probeCount >= maxProbesPerRead {
		return false
	}
	var ranks [rankTooFarBehind + 1][]*member
	for _, m := range members {
		if m != req.lastProbed && (m.probePending || r.now-m.probedAt >= reprobeAfter) {
			rank := r.probeRank(m, req)
			ranks[rank] = append(ranks[rank], m)
		}
	}
	likely := ranks[rankKeepsPace]
	if r.rng.Float64() < exploreFraction { // else members of unknown position would never be probed
		likely = append(likely, ranks[rankUnknown]...)
	}
	primary := req.group.primary() // without one, a read that waits costs more than a probe
	for rank := rankUnknown; len(likely) == 0 && rank <= rankTooFarBehind &&
		(rank < rankTooFarBehind || primary == nil); rank++ {
		likely = ranks[rank]
	}
	m := r.pickOfTwo(likely)
	if m == nil || !m.probePending && r.probeBudget < 1 && primary != nil && r.isHealthy(primary) {
		return false
	}
	req.probeCount, req.lastProbed, req.probedAt = req.probeCount+1, m, r.now
	r.probe(m)
	return true
}

func (r *Router) probe(m *member) {
	if !m.probePending || r.now-m.probedAt >= probeTimeout {
		r.probeBudget = max(0, r.probeBudget-1)
		m.probedAt, m.probePending = r.now, true
		r.emit(Action{Kind: ActProbe, Host: m.host})
	}
}

// handleProbeResult records the end of a probe and dispatches queued reads, which may wait for it.
func (r *Router) handleProbeResult(m *member, e *ProbeEnded) {
	m.probePending = false
	if e.Code == OK {
		r.recordReport(m, e.Report)
	} else if e.Code != NotSent { // a probe that was not sent shows nothing about the host
		r.recordScore(m, faultScore)
	}
	for _, req := range r.queue {
		if req.group == m.group && !req.finished && req.inFlight == 0 {
			r.dispatch(req)
		}
	}
}
