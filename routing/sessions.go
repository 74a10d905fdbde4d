package routing

import "time"

// sessionCommit is the position of a session's commit.
type sessionCommit struct {
	session uint64
	at      time.Duration
}

// recordCommit remembers a session's last commit, for its reads. Old commits are folded into the group's
// commit floor, which holds for all sessions without a remembered commit.
func (r *Router) recordCommit(g *group, session uint64, at time.Duration) {
	g.commits[session] = max(g.commits[session], at)
	g.commitOrder = append(g.commitOrder, sessionCommit{session, at})
	for len(g.commitOrder) > 0 {
		oldest := g.commitOrder[0]
		if len(g.commitOrder) <= maxCommits && oldest.at > r.now-commitRetention {
			return
		}
		g.commitOrder = g.commitOrder[1:]
		if g.commits[oldest.session] <= oldest.at { // else a later commit of the session follows
			g.commitFloor = max(g.commitFloor, oldest.at)
			delete(g.commits, oldest.session)
		}
	}
}

// requiredPosition returns the position that a replica must have to serve a read now; 0: any will do.
func (r *Router) requiredPosition(req *request) time.Duration {
	switch req.class.Access {
	case BoundedRead:
		return max(1, r.groupNow(req.group)-req.class.StalenessBound+positionMargin)
	case StrongRead:
		return req.arrivedAt + req.group.clock.lead
	}
	return req.minPosition
}

// provesPosition reports whether a member has proven the position that a read needs.
func (r *Router) provesPosition(m *member, req *request) bool {
	return !req.class.needsPrimary() && m.position >= r.requiredPosition(req)
}

// mayCatchUp reports whether a member that checks positions itself may have the one that a read needs, or may
// reach it soon.
func (r *Router) mayCatchUp(m *member, req *request) bool {
	return r.cfg.StalenessCheck != CheckNone && (m.position == 0 ||
		m.position+(r.now-m.positionAt)+r.cfg.CatchUpWait/2 >= r.requiredPosition(req))
}
