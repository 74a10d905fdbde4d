package routing

import (
	"slices"
	"time"
)

// groupClock relates the clock by which a group's positions are given, that of its primary, to the router's.
// The router's machine may have started with a wall clock that was behind: then the present, which a primary
// reports, lies ahead of it, and data that is far too old would look fresh.
//
// Only the primary is believed, or who claims the role while there is none: a lying replica shifts nothing.
// Of the last reports the middle one counts, so one that is garbled, or old, shifts nothing for long either.
// A lead makes reads need later positions, never earlier ones: no read gains by a clock that is ahead.
// A lag makes slow start more careful: a host that has just started is not taken for a warm one.
type groupClock struct {
	member  *member         // whose reports these are
	reports []time.Duration // how far they were ahead of the router's clock; negative: behind
	lead    time.Duration   // of the group's clock, as reads reckon with it
	proven  time.Duration   // as enough reports agree on it; what no clock shows is garbled
	agreed  time.Duration   // when enough reports last agreed on proven, or on more
	lag     time.Duration   // of the group's clock, as slow start reckons with it; 0 where there is a lead
}

// present is the time now on the clock by which a group's positions are given.
func (r *Router) present(g *group) time.Duration { return r.now + g.clock.lead }

// isFromTheFuture reports whether a position is one that no host of the group can have.
func (r *Router) isFromTheFuture(g *group, position time.Duration) bool {
	latest := r.now + g.clock.proven
	if g.clock.proven > 0 {
		latest += clockTolerance // the middle report came a little later than the fastest
	}
	return position > latest
}

// observeClock takes the present as a primary reports it.
func (r *Router) observeClock(m *member, position time.Duration) {
	c := &m.group.clock
	if primary := m.group.primary(); primary != nil && primary != m {
		return
	}
	if c.member != m {
		c.member, c.reports = m, c.reports[:0]
	}
	if c.reports = append(c.reports, position-r.now); len(c.reports) > clockReports {
		c.reports = slices.Delete(c.reports, 0, 1)
	}
	sorted := slices.Sorted(slices.Values(c.reports))
	newest := sorted[len(sorted)-1]
	if len(sorted) < clockReports { // until there are enough, what makes more careful
		c.lead = max(c.lead, beyond(newest, clockTolerance))
		return
	}
	c.settle(r.now, beyond(sorted[len(sorted)/2], clockTolerance))
	c.lag = beyond(-newest, startTolerance) // a report may be old, none is from the future
}

// settle takes a lead on which enough reports agree. Reports may be late, and then show too little; none is
// early. So a lesser lead counts once nothing has confirmed the greater one for a while.
func (c *groupClock) settle(now, lead time.Duration) {
	switch {
	case lead >= c.proven-clockTolerance:
		c.proven, c.agreed = max(c.proven, lead), now
	case now-c.agreed > leadRetention:
		c.proven, c.agreed = lead, now
	}
	c.lead = c.proven
}

// beyond returns d where it is more than a tolerance, else 0.
func beyond(d, tolerance time.Duration) time.Duration {
	if d <= tolerance {
		return 0
	}
	return d
}

// age is for how long a member has run, by its group's clock, and at least since its start was told.
func (r *Router) age(m *member) time.Duration {
	return max(r.now-m.group.clock.lag-m.startedAt, r.now-m.startToldAt)
}
