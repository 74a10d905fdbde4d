package routing

import (
	"cmp"
	"slices"
)

// candidates are the replicas that a read has not been sent to yet:
//   - proven: healthy, and the position that the read needs is proven
//   - catchUp: healthy, checks the position itself and may be about to reach it
//   - outliers: not healthy, but the position is proven
//   - unproven: healthy, and a probe may prove the position
//   - doubtful: all others
type candidates struct {
	proven, catchUp, outliers, unproven, doubtful []*member
	provenIsFull                                  bool // a healthy, proven one has no capacity
}

// chooseReplica returns the member for a read: the best replica, else the primary, else an outlier. It
// returns nil if the read has to wait.
func (r *Router) chooseReplica(req *request) *member {
	primary := req.group.primary()
	if primary != nil && primary.unconfirmedPrimary {
		primary = nil // no read relies on it; it may be probed, and a write finds out by itself
	}
	found := r.candidates(req, primary)
	for _, members := range [][]*member{found.proven, found.catchUp} {
		if m := r.pickOfTwo(r.allowedBySlowStart(members, req)); m != nil {
			return m
		}
	}
	primaryHealthy := primary != nil && r.isHealthy(primary)
	if r.awaitProbe(req, r.allowedBySlowStart(found.unproven, req)) {
		return nil
	}
	outliers := r.allowedBySlowStart(found.outliers, req)
	if !primaryHealthy && len(outliers) == 0 && r.awaitProbe(req, r.allowedBySlowStart(found.doubtful, req)) {
		return nil
	}
	outlier := r.pickOfTwo(outliers)
	if primary != nil && !r.isSilent(primary) && r.passesSlowStart(primary, req) &&
		float64(primary.inFlight) < primaryReadFraction*primary.limit && !req.attempted(primary) &&
		(primaryHealthy || outlier == nil && !found.provenIsFull) { // an outlier too: there may be no other
		return primary
	} else if primaryHealthy || found.provenIsFull {
		return nil // stays queued: outliers are used only if no member is healthy
	}
	return outlier
}

// candidates divides the replicas of a request's group into classes by how well they qualify for it.
func (r *Router) candidates(req *request, primary *member) (found candidates) {
	for _, m := range req.group.members {
		if !m.active || m == primary || req.attempted(m) {
			continue
		}
		isHealthy, isProven := r.isHealthy(m), r.provesPosition(m, req)
		switch {
		case !r.hasCapacity(m):
			found.provenIsFull = found.provenIsFull || isHealthy && isProven
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
	if r.isHeavy(req.class) {
		found.proven, found.catchUp = r.preferWarm(found.proven), r.preferWarm(found.catchUp)
	}
	// A long query stops a replica's log replay. An eventual read may be one, so it runs where that costs
	// least: on the replica furthest behind, if that one lags by the tightest staleness bound or more.
	if req.class.Access == EventualRead {
		hosts := found.proven
		slices.SortStableFunc(hosts, func(a, b *member) int { return cmp.Compare(a.position, b.position) })
		if len(hosts) > 0 && hosts[0].positionAt+req.group.clock.lead-hosts[0].position >= r.tightestBound {
			found.proven = hosts[:1] // the one furthest behind
		}
	}
	return found
}

// preferWarm returns the members that are not warming or, if there are none, all of them.
func (r *Router) preferWarm(members []*member) []*member {
	if !slices.ContainsFunc(members, func(m *member) bool { return !r.isWarming(m) }) {
		return members
	}
	return slices.DeleteFunc(members, r.isWarming)
}

// allowedBySlowStart returns the members that slow start lets a request go to. It draws on the budgets of
// warming members, so it is called only for members among which the request's member is chosen now.
func (r *Router) allowedBySlowStart(members []*member, req *request) []*member {
	return slices.DeleteFunc(members, func(m *member) bool { return !r.passesSlowStart(m, req) })
}

// pickOfTwo draws two of the members and returns the one with fewer of this router's requests in flight
// (power of two choices). No host can afford a connection to each of many routers, so most draws are among
// the members that this router has a connection to.
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

// isPreferredWhileWarming reports whether a warming member whose budget granted a request is preferred for
// it. It draws this with a probability that gives the member an even part of the requests. The rest of what
// its budget grants is for requests that other members can't take.
func (r *Router) isPreferredWhileWarming(m *member) bool {
	return r.isWarming(m) && r.rng.Float64()*r.slowStartRatio(m) < 1
}
