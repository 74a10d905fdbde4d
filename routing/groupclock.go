package routing

import (
	"slices"
	"time"
)

// groupClock relates the clock on which a group's positions are given, that of its primary, to the router's.
// A position is a time on that clock: a host at a position has the commits up to that time.
//
// The router's machine may have started with a wall clock that was behind. The present time that a primary
// reports is then ahead of the router's, and data that is far too old would look fresh.
//
// Only reports of the primary count or, while there is none, those of a member that claims the role, so a
// replica with a wrong report changes nothing. The median of the last reports counts, so a single report that
// is garbled or old changes nothing for long either. A lead makes reads need later positions, never earlier
// ones: a clock that is ahead does not let a read get older data. A lag makes slow start more careful: a host
// that has just started is not taken for a warm one.
type groupClock struct {
	source       *member         // the member that sent the reports
	reports      []time.Duration // how far each was ahead of the router's clock; negative: behind
	lead         time.Duration   // how far ahead of the router's clock reads take the group's to be
	provenLead   time.Duration   // the lead on which enough reports agree; a position beyond it is garbled
	leadProvenAt time.Duration   // when enough reports last agreed on that lead, or on a greater one
	lag          time.Duration   // how far behind the router's slow start takes it to be; 0 if it leads
}

// groupNow returns the present time on the clock on which a group's positions are given.
func (r *Router) groupNow(g *group) time.Duration { return r.now + g.clock.lead }

// isAheadOfGroupClock reports whether a position is ahead of the group's clock, so that no host can have it.
func (r *Router) isAheadOfGroupClock(g *group, position time.Duration) bool {
	latest := r.now + g.clock.provenLead
	if g.clock.provenLead > 0 {
		latest += clockTolerance // the median report took a little longer to arrive than the fastest
	}
	return position > latest
}

// observeClock records the present time as the group's primary reports it. While the group has no primary,
// the report of any member that claims the role counts. When the reporting member changes, its predecessor's
// reports are discarded.
func (r *Router) observeClock(m *member, position time.Duration) {
	c := &m.group.clock
	if primary := m.group.primary(); primary != nil && primary != m {
		return
	}
	if c.source != m {
		c.source, c.reports = m, c.reports[:0]
	}
	if c.reports = append(c.reports, position-r.now); len(c.reports) > clockReports {
		c.reports = slices.Delete(c.reports, 0, 1)
	}
	sorted := slices.Sorted(slices.Values(c.reports))
	greatest := sorted[len(sorted)-1]
	if len(sorted) < clockReports { // until there are enough, they can only raise the lead
		c.lead = max(c.lead, zeroWithin(greatest, clockTolerance))
		return
	}
	c.updateLead(r.now, zeroWithin(sorted[len(sorted)/2], clockTolerance))
	c.lag = zeroWithin(-greatest, startTolerance) // reports may be late, never early
}

// updateLead takes a lead on which enough reports agree. Reports may be late, and then show too small a lead,
// but are never early. So a smaller lead counts only when the greater one was not confirmed for a while.
func (c *groupClock) updateLead(now, lead time.Duration) {
	switch {
	case lead >= c.provenLead-clockTolerance:
		c.provenLead, c.leadProvenAt = max(c.provenLead, lead), now
	case now-c.leadProvenAt > leadRetention:
		c.provenLead, c.leadProvenAt = lead, now
	}
	c.lead = c.provenLead
}

// zeroWithin returns d if it is greater than a tolerance, else 0.
func zeroWithin(d, tolerance time.Duration) time.Duration {
	if d <= tolerance {
		return 0
	}
	return d
}

// uptime returns for how long a member has run: by its group's clock, but no less than the time since this
// router was told of its start.
func (r *Router) uptime(m *member) time.Duration {
	return max(r.now-m.group.clock.lag-m.startedAt, r.now-m.startLearnedAt)
}
