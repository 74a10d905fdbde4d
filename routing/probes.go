package routing

// The ranks of members, by how likely a probe proves that one qualifies: confirmed lately and near; unknown;
// far behind before this start; too far behind to have caught up since.
const onPace, unknownPace, wasLagging, unreachable = 0, 1, 2, 3

// paceOf ranks a member for a read. One that catches up is taken to apply the log at twice its pace.
func (r *Router) paceOf(m *member, req *request) int {
	since, need := r.now-m.positionAt, r.requiredPosition(req)
	switch {
	case m.position == 0 && m.restoredLag > r.tightestBound:
		return wasLagging
	case m.position > 0 && m.position+2*since < need:
		return unreachable
	case m.position > 0 && since < paceRetention && m.position+since >= need:
		return onPace
	}
	return unknownPace
}

// awaitProbe lets a read for which no replica is known to qualify wait for the probe of one that may.
func (r *Router) awaitProbe(req *request, members []*member) bool {
	if req.probed != nil && req.probed.probePending && r.now < req.probedAt+probeAnswerWait {
		return true
	}
	if !r.cfg.Probing.findsPosition() || r.cfg.StalenessCheck != CheckNone ||
		req.probeCount >= maxProbesPerRead {
		return false
	}
	var ranks [unreachable + 1][]*member
	for _, m := range members {
		if m != req.probed && (m.probePending || r.now-m.probedAt >= reprobeAfter) {
			k := r.paceOf(m, req)
			ranks[k] = append(ranks[k], m)
		}
	}
	likely := ranks[onPace]
	if r.rng.Float64() < exploreFraction { // else those that are known would keep the others unknown
		likely = append(likely, ranks[unknownPace]...)
	}
	primary := req.group.primary() // with none to fall back on, a read that waits costs more than a probe
	for k := unknownPace; len(likely) == 0 && k <= unreachable && (k < unreachable || primary == nil); k++ {
		likely = ranks[k]
	}
	m := r.pickOfTwo(likely)
	if m == nil || !m.probePending && r.probeBudget < 1 && primary != nil && r.isHealthy(primary) {
		return false
	}
	req.probeCount, req.probed, req.probedAt = req.probeCount+1, m, r.now
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

// handleProbeResult takes the end of a probe; reads of the group may wait for it.
func (r *Router) handleProbeResult(m *member, e *ProbeEnded) {
	m.probePending = false
	if e.Code == OK {
		r.recordReport(m, e.Report)
	} else if e.Code != NotSent { // which says nothing of the host
		r.recordScore(m, faultScore)
	}
	for _, req := range r.queue {
		if req.group == m.group && !req.finished && req.inFlight == 0 {
			r.dispatch(req)
		}
	}
}
