package routing

import "time"

type sessionCommit struct {
	session uint64
	at      time.Duration
}

// recordCommit remembers a session's last commit, for its reads. Old ones become a floor for all sessions.
func (r *Router) recordCommit(g *group, session uint64, at time.Duration) {
	g.commits[session] = max(g.commits[session], at)
	g.commitOrder = append(g.commitOrder, sessionCommit{session, at})
	for len(g.commitOrder) > 0 {
		oldest := g.commitOrder[0]
		if len(g.commitOrder) <= maxCommits && oldest.at > r.now-commitRetention {
			return
		}
		g.commitOrder = g.commitOrder[1:]
		if g.commits[oldest.session] <= oldest.at { // else a later commit of the session stands further back
			g.commitFloor = max(g.commitFloor, oldest.at)
			delete(g.commits, oldest.session)
		}
	}
}

// requiredPosition is the position that a read wants of a replica now; 0: any will do.
func (r *Router) requiredPosition(req *request) time.Duration {
	switch req.class.Access {
	case BoundedRead:
		return max(1, r.present(req.group)-req.class.StalenessBound+positionMargin)
	case StrongRead:
		return req.arrivedAt + req.group.clock.lead
	}
	return req.minPosition
}

// provesPosition reports whether a member has proven the position that a read needs.
func (r *Router) provesPosition(m *member, req *request) bool {
	return !req.class.needsPrimary() && m.position >= r.requiredPosition(req)
}

// mayCatchUp reports whether a member that checks positions itself may have that of a read, or have it soon.
func (r *Router) mayCatchUp(m *member, req *request) bool {
	return r.cfg.StalenessCheck != CheckNone && (m.position == 0 ||
		m.position+(r.now-m.positionAt)+r.cfg.CatchUpWait/2 >= r.requiredPosition(req))
}
