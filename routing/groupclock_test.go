package routing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reportAhead has a host report a position by a clock that is ahead of the router's.
func (g *harness) reportAhead(host string, role Role, ahead, lag time.Duration) {
	g.now += 10 * ms
	g.step(ProbeEnded{Host: host, Report: Report{Position: g.now + ahead - lag, Role: role}})
}

// Positions are compared on the clock of the group's primary: a replica that lags too far there proves nothing, one that does not
// serves, and the primary's own word on its role counts.
func TestAClockThatIsBehindIsReckonedWith(t *testing.T) {
	for _, behind := range []time.Duration{0, 100 * ms, 2 * time.Second, time.Hour} {
		g := startHarness(t, settings(), shard()...)
		for range clockReports {
			g.reportAhead("p", Primary, behind, 0)
		}
		g.reportAhead("a", Replica, behind, 310*ms) // the class permits 300
		g.reportAhead("b", Replica, behind, 200*ms)
		for range 20 {
			_, as := g.request(boundedRead, RequestArrived{})
			_, to := actionsOf(ActSend, as)
			require.NotEqual(t, "a", to, "%v behind", behind)
		}
		require.Equal(t, "p", g.c.groups[1].primary().host)
		req := &request{group: g.c.groups[1], class: &g.c.classes[boundedRead]}
		require.True(t, g.c.provesPosition(g.c.members["b"], req), "%v behind", behind)
		require.False(t, g.c.provesPosition(g.c.members["a"], req), "%v behind", behind)
	}
}

// One report that is garbled makes reads careful for a moment, and proves nothing; a replica that lies shifts nothing.
func TestOneReportShiftsNoClock(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	clock := &g.c.groups[1].clock
	for range clockReports {
		g.reportAhead("p", Primary, 0, 0)
	}
	g.reportAhead("p", Primary, time.Hour, 0)
	require.Zero(t, clock.lead, "the middle one of three counts")
	for range 20 {
		g.reportAhead("a", Replica, time.Hour, 0)
		g.reportAhead("b", Primary, time.Hour, 0)
	}
	require.Zero(t, clock.lead, "only the primary is believed")
	require.Zero(t, g.c.members["a"].position)
	require.Equal(t, "p", g.c.groups[1].primary().host)

	g = startHarness(t, settings(), shard()...)
	clock = &g.c.groups[1].clock
	g.reportAhead("p", Primary, time.Hour, 0)
	require.Equal(t, time.Hour, clock.lead, "careful at once")
	require.Zero(t, clock.proven)
	for range 2 {
		g.reportAhead("p", Primary, 0, 0)
	}
	require.Zero(t, clock.lead)
}

// A session's token from a clock that is ahead is taken as it is.
func TestATokenAheadOfTheClockIsNotCut(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	for range clockReports {
		g.reportAhead("p", Primary, time.Minute, 0)
	}
	g.reportAhead("a", Replica, time.Minute, 50*ms)
	_, as := g.request(sessionRead, RequestArrived{CommitAge: -time.Minute + 40*ms})
	_, to := actionsOf(ActSend, as)
	require.NotEqual(t, "a", to, "it lacks that commit")
	_, as = g.request(sessionRead, RequestArrived{CommitAge: -time.Minute + 80*ms})
	_, to = actionsOf(ActSend, as)
	require.Equal(t, "a", to)
}

// A router whose clock is ahead when it starts takes no host that has just started for one that is warm.
func TestAClockThatIsAheadEndsNoSlowStart(t *testing.T) {
	for _, ahead := range []time.Duration{0, 2 * time.Second, 50 * time.Minute} {
		g := startHarness(t, settings(), shard()...)
		for range clockReports {
			g.reportAhead("p", Primary, -ahead, 0)
		}
		g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, StartedAt: g.now - ahead}}})
		a := g.c.members["a"]
		require.InDelta(t, settings().SlowStart.Floor*slowStartSafety, g.c.slowStartRatio(a), 0.01, "%v ahead: it has just started", ahead)
		g.advance(5 * second)
		half := g.c.slowStartRatio(a)
		require.Less(t, half, 1.0, "%v ahead", ahead)
		require.Greater(t, half, 2*settings().SlowStart.Floor*slowStartSafety, "%v ahead", ahead)
		g.advance(5 * second)
		require.True(t, math.IsInf(g.c.slowStartRatio(a), 1), "%v ahead: it is warm", ahead)
	}
}

// A primary whose reports are old makes a start no later than the list told it.
func TestOldReportsProlongNoSlowStart(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, StartedAt: g.now}}})
	for range clockReports {
		g.reportAhead("p", Primary, -time.Minute, 0)
	}
	g.advance(settings().SlowStart.Duration)
	require.True(t, math.IsInf(g.c.slowStartRatio(g.c.members["a"]), 1))
}

// Reports that come late, as from a busy machine, seem to be of a clock that is less far ahead. No read gains by that.
func TestLateReportsLowerNoLead(t *testing.T) {
	const behind, late = 300 * ms, 60 * ms
	g := startHarness(t, settings(), shard()...)
	clock := &g.c.groups[1].clock
	for range clockReports {
		g.reportAhead("p", Primary, behind, 0)
	}
	for range 5 * clockReports {
		g.reportAhead("p", Primary, behind-late, 0)
	}
	g.reportAhead("a", Replica, behind, 320*ms) // the class permits 300
	req := &request{group: g.c.groups[1], class: &g.c.classes[boundedRead]}
	require.False(t, g.c.provesPosition(g.c.members["a"], req))
	require.Equal(t, behind, clock.lead)
	for range clockReports { // in time again: confirmed
		g.reportAhead("p", Primary, behind, 0)
	}
	for confirmed := g.now; g.now < confirmed+leadRetention; {
		g.reportAhead("p", Primary, behind-late, 0)
	}
	require.Equal(t, behind, clock.lead)
	for range 2 { // of three, the last one in time was the middle one once more
		g.reportAhead("p", Primary, behind-late, 0)
	}
	require.Equal(t, behind-late, clock.lead, "nothing has confirmed it for so long: the clock was set")
	g.reportAhead("p", Primary, behind, 0)
	g.reportAhead("p", Primary, behind, 0)
	require.Equal(t, behind, clock.lead, "a greater lead counts at once")
}
