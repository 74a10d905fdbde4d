package routing

import "time"

// primary returns the member with the newest evidence of being primary, or nil.
func (g *group) primary() *member {
	var primary *member
	for _, m := range g.members {
		if m.active && m.primaryAt > m.notPrimaryAt && (primary == nil || m.primaryAt > primary.primaryAt) {
			primary = m
		}
	}
	return primary
}

// searchPrimary returns the member that a write tries in search of the primary, or nil. One write at a time
// tries the members of a group; a replica's answer to such an attempt proves that nothing ran. The member
// that was proven a replica longest ago comes first. Among equals, the one that was primary before this
// router's restart goes first, else a random one, so that routers search in different orders.
func (r *Router) searchPrimary(req *request) *member {
	g := req.group
	// A write searches until its attempt is answered, or is in flight at a member that has fallen silent.
	s := g.searcher
	isSearching := s != nil && s.inFlight > 0 && !r.isSilent(s.attempts[len(s.attempts)-1].member)
	if isSearching || r.now < g.searchAfter {
		return nil
	}
	var next *member
	for _, i := range r.rng.Perm(len(g.members)) {
		m := g.members[i]
		isEarlier := next == nil || m.notPrimaryAt < next.notPrimaryAt ||
			m.notPrimaryAt == next.notPrimaryAt && m.wasPrimary
		if m.active && isEarlier && r.canTake(m, req) {
			next = m
		}
	}
	// The round is over if the member that comes next has already answered as a replica in it.
	if next != nil && next.notPrimaryAt > 0 && next.notPrimaryAt >= g.searchStartedAt {
		g.searchStartedAt, g.searchAfter = r.now+searchBackoff, r.now+searchBackoff
		return nil
	} else if next != nil {
		g.searcher = req
	}
	return next
}

// Revalidate reports whether an attempt that was chosen a while ago may still be written to its host now. If
// not, the attempt ends as NotSent.
func (r *Router) Revalidate(now time.Duration, id string, attempt int) bool {
	r.now = max(now, r.now)
	req := r.requests[id]
	if req == nil || req.finished || r.now >= req.deadline-answerMargin || attempt < 0 ||
		attempt >= len(req.attempts) {
		return false
	}
	a := &req.attempts[attempt]
	return a.member.active && r.canRetry(req) && r.isEligible(a.member, req) && r.renewGrant(a, req)
}

// isEligible reports whether a member has the role or the position that a request needs.
func (r *Router) isEligible(m *member, req *request) bool {
	primary := req.group.primary()
	if req.class.Access == Write {
		return m == primary || primary == nil // a write may search for the primary, a read may not
	}
	return m == primary && !primary.unconfirmedPrimary ||
		req.class.Access != StrongRead && (r.provesPosition(m, req) || r.mayCatchUp(m, req))
}
