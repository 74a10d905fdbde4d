package routing

import (
	"cmp"
	"slices"
)

// candidates are the replicas that a read was not sent to: healthy, with a proven position; healthy, checking
// it and about to catch up; outliers with a proven one; healthy ones that a probe may prove; the others.
type candidates struct {
	proven, catchUp, outliers, unproven, doubtful []*member
	isBusy                                        bool // one that qualifies has no capacity
}

// chooseReplica returns the member for a read: the best candidate, the primary before an outlier, or nil.
func (r *Router) chooseReplica(req *request) *member {
	primary := req.group.primary()
	if primary != nil && primary.unconfirmedPrimary {
		primary = nil // no read rests on that; it may be probed, and a write finds out by itself
	}
	found := r.candidates(req, primary)
	for _, members := range [][]*member{found.proven, found.catchUp} {
		if m := r.pickOfTwo(r.passing(members, req)); m != nil {
			return m
		}
	}
	isHealthy := primary != nil && r.isHealthy(primary)
	if r.awaitProbe(req, r.passing(found.unproven, req)) {
		return nil
	}
	outliers := r.passing(found.outliers, req)
	if !isHealthy && len(outliers) == 0 && r.awaitProbe(req, r.passing(found.doubtful, req)) {
		return nil
	}
	outlier := r.pickOfTwo(outliers)
	if primary != nil && !r.isSilent(primary) && r.passesSlowStart(primary, req) &&
		float64(primary.inFlight) < primaryReadFraction*primary.limit && !req.attempted(primary) &&
		(isHealthy || outlier == nil && !found.isBusy) { // outlier or not: there may be no other
		return primary
	} else if isHealthy || found.isBusy {
		return nil // queued: an outlier is for when all look bad
	}
	return outlier
}

func (r *Router) candidates(req *request, primary *member) (found candidates) {
	for _, m := range req.group.members {
		if !m.active || m == primary || req.attempted(m) {
			continue
		}
		isHealthy, isProven := r.isHealthy(m), r.provesPosition(m, req)
		switch {
		case !r.hasCapacity(m):
			found.isBusy = found.isBusy || isHealthy && isProven
		case isProven && isHealthy:
			found.proven = append(found.proven, m)
		case isProven:
			found.outliers = append(found.outliers, m)
		case isHealthy && r.mayCatchUp(m, req) && len(req.attempts) == 0:
			found.catchUp = append(found.catchUp, m)
		case isHealthy:
			found.unproven = append(found.unproven, m)
		default:
			found.doubtful = append(found.doubtful, m)
		}
	}
	if req.class.Access == EventualRead { // a long query stops the log: run it where that costs least
		ms := found.proven
		slices.SortStableFunc(ms, func(a, b *member) int { return cmp.Compare(a.position, b.position) })
		if len(ms) > 0 && ms[0].positionAt+req.group.clock.lead-ms[0].position >= r.tightestBound {
			found.proven = ms[:1] // the furthest behind
		}
	}
	return found
}

// passing leaves the members that slow start lets a request go to. It draws on the budgets of those that warm
// up, so it is asked only of members among which the request's is chosen now.
func (r *Router) passing(members []*member, req *request) []*member {
	return slices.DeleteFunc(members, func(m *member) bool { return !r.passesSlowStart(m, req) })
}

// pickOfTwo draws two of the members and returns the one with fewer of this router's requests in flight. No
// host can afford a connection to each of many routers, so most draws are among members with one.
func (r *Router) pickOfTwo(members []*member) *member {
	if r.cfg.RouterCount > shedMinRouters && r.rng.Float64() >= exploreFraction {
		connected := slices.DeleteFunc(slices.Clone(members), func(m *member) bool {
			return !r.isWarming(m) && (!m.connected || r.now-m.sentAt >= r.cfg.ConnIdleTimeout)
		})
		if len(connected) > 0 {
			members = connected
		}
	}
	if len(members) < 2 {
		return append(members, nil)[0]
	}
	i, j := r.rng.IntN(len(members)), r.rng.IntN(len(members)-1)
	if k := slices.IndexFunc(members, r.isPreferredWhileWarming); k >= 0 {
		i = k
	}
	if j >= i {
		j++
	}
	m, other := members[i], members[j]
	if other.inFlight < m.inFlight ||
		other.inFlight == m.inFlight && r.outlierScore(other) < r.outlierScore(m)-scoreMargin {
		return other
	}
	return m
}

// isPreferredWhileWarming reports whether a member that granted a request a part of its budget is to
// have it: as often as makes up an even part of the requests. What else its budget grants is there for
// when others can't.
func (r *Router) isPreferredWhileWarming(m *member) bool {
	return r.isWarming(m) && r.rng.Float64()*r.slowStartRatio(m) < 1
}
