package routing

// chooseKept returns the member that the request's session keeps a connection to if that one may serve
// the request now. Otherwise waits tells whether the request waits for it: always if it must go there, else
// while a probe may show that the member has the position that a read needs.
func (r *Router) chooseKept(req *request) (m *member, waits bool) {
	m = r.members[req.host]
	if m == nil || m.group != req.group || !m.active {
		return nil, req.hostRequired
	}
	if !req.hostRequired && req.attempted(m) {
		return nil, false
	}
	switch {
	case !r.isKeptEligible(m, req):
		return nil, r.awaitKept(m, req)
	case !r.canTake(m, req):
		return nil, req.hostRequired
	}
	return m, false
}

// isKeptEligible reports whether a member has the role or the position that a request needs. Unlike
// isEligible, it does not let a write search for the primary on a connection that a session keeps.
func (r *Router) isKeptEligible(m *member, req *request) bool {
	if req.class.Access == Write {
		return m == req.group.primary()
	}
	return r.isEligible(m, req)
}

// awaitKept reports whether a request waits until a member has the role or the position that it needs, and
// probes the member. A request that must go there has no other way to learn that it may, so its probes are
// limited in rate alone.
func (r *Router) awaitKept(m *member, req *request) bool {
	if !req.hostRequired {
		return !req.class.needsPrimary() && r.awaitProbe(req, []*member{m})
	}
	if r.cfg.Probing.Allowed && r.now-m.probedAt >= reprobeAfter {
		r.probe(m)
	}
	return true
}
