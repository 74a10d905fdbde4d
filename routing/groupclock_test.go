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

// Positions are compared on the clock of the group's primary. A replica that lags too far on that clock does
// not qualify, one that doesn't lag so far does, and the primary is still known as such by its own report.
func TestPositionsAreComparedOnTheGroupClock(t *testing.T) {
	for _, behind := range []time.Duration{0, 100 * ms, 2 * time.Second, time.Hour} {
		g := startHarness(t, settings(), testGroup()...)
		for range clockReports {
			g.reportAhead("p", Primary, behind, 0)
		}
		g.reportAhead("a", Replica, behind, 310*ms) // the class permits 300
		g.reportAhead("b", Replica, behind, 200*ms)
		for range 20 {
			_, actions := g.request(boundedRead, RequestArrived{})
			_, to := actionsOf(ActSend, actions)
			require.NotEqual(t, "a", to, "%v behind", behind)
		}
		require.Equal(t, "p", g.router.groups[1].primary().host)
		req := &request{group: g.router.groups[1], class: &g.router.classes[boundedRead]}
		require.True(t, g.router.provesPosition(g.router.members["b"], req), "%v behind", behind)
		require.False(t, g.router.provesPosition(g.router.members["a"], req), "%v behind", behind)
	}
}

// A single garbled report makes reads stricter for a moment at most, and reports of replicas don't change the
// clock.
func TestSingleWrongReportDoesNotShiftTheClock(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	clock := &g.router.groups[1].clock
	for range clockReports {
		g.reportAhead("p", Primary, 0, 0)
	}
	g.reportAhead("p", Primary, time.Hour, 0)
	require.Zero(t, clock.lead, "the median of three reports counts")
	for range 20 {
		g.reportAhead("a", Replica, time.Hour, 0)
		g.reportAhead("b", Primary, time.Hour, 0)
	}
	require.Zero(t, clock.lead, "only reports of the primary count")
	require.Zero(t, g.router.members["a"].position)
	require.Equal(t, "p", g.router.groups[1].primary().host)

	g = startHarness(t, settings(), testGroup()...)
	clock = &g.router.groups[1].clock
	g.reportAhead("p", Primary, time.Hour, 0)
	require.Equal(t, time.Hour, clock.lead, "one report raises the lead at once")
	require.Zero(t, clock.provenLead)
	for range 2 {
		g.reportAhead("p", Primary, 0, 0)
	}
	require.Zero(t, clock.lead)
}

// A session token with a position ahead of the router's clock is not lowered to the router's present.
func TestSessionTokenAheadOfTheClockIsNotLowered(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	for range clockReports {
		g.reportAhead("p", Primary, time.Minute, 0)
	}
	g.reportAhead("a", Replica, time.Minute, 50*ms)
	_, actions := g.request(sessionRead, RequestArrived{CommitAge: -time.Minute + 40*ms})
	_, to := actionsOf(ActSend, actions)
	require.NotEqual(t, "a", to, "it lacks that commit")
	_, actions = g.request(sessionRead, RequestArrived{CommitAge: -time.Minute + 80*ms})
	_, to = actionsOf(ActSend, actions)
	require.Equal(t, "a", to)
}

// A router whose clock is ahead does not take a host that has just started for a warm one.
func TestClockAheadDoesNotEndSlowStart(t *testing.T) {
	for _, ahead := range []time.Duration{0, 2 * time.Second, 50 * time.Minute} {
		g := startHarness(t, settings(), testGroup()...)
		for range clockReports {
			g.reportAhead("p", Primary, -ahead, 0)
		}
		g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, StartedAt: g.now - ahead}}})
		a := g.router.members["a"]
		require.InDelta(t, settings().SlowStart.Floor*slowStartSafety, g.router.slowStartRatio(a), 0.01, "%v ahead: it has just started", ahead)
		g.advance(5 * second)
		half := g.router.slowStartRatio(a)
		require.Less(t, half, 1.0, "%v ahead", ahead)
		require.Greater(t, half, 2*settings().SlowStart.Floor*slowStartSafety, "%v ahead", ahead)
		g.advance(5 * second)
		require.True(t, math.IsInf(g.router.slowStartRatio(a), 1), "%v ahead: it is warm", ahead)
	}
}

// Old reports of a primary can't make slow start last longer than its duration from when the list told of the
// start.
func TestOldReportsDoNotProlongSlowStart(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, StartedAt: g.now}}})
	for range clockReports {
		g.reportAhead("p", Primary, -time.Minute, 0)
	}
	g.advance(settings().SlowStart.Duration)
	require.True(t, math.IsInf(g.router.slowStartRatio(g.router.members["a"]), 1))
}

// Reports that arrive late, as from a busy machine, make the group's clock look less far ahead. Reads must
// not get older data because of that.
func TestLateReportsDoNotLowerTheLead(t *testing.T) {
	const behind, late = 300 * ms, 60 * ms
	g := startHarness(t, settings(), testGroup()...)
	clock := &g.router.groups[1].clock
	for range clockReports {
		g.reportAhead("p", Primary, behind, 0)
	}
	for range 5 * clockReports {
		g.reportAhead("p", Primary, behind-late, 0)
	}
	g.reportAhead("a", Replica, behind, 320*ms) // the class permits 300
	req := &request{group: g.router.groups[1], class: &g.router.classes[boundedRead]}
	require.False(t, g.router.provesPosition(g.router.members["a"], req))
	require.Equal(t, behind, clock.lead)
	for range clockReports { // these arrive in time again and confirm the lead
		g.reportAhead("p", Primary, behind, 0)
	}
	for confirmed := g.now; g.now < confirmed+leadRetention; {
		g.reportAhead("p", Primary, behind-late, 0)
	}
	require.Equal(t, behind, clock.lead)
	for range 2 { // until now the last timely report was among the three
		g.reportAhead("p", Primary, behind-late, 0)
	}
	require.Equal(t, behind-late, clock.lead, "not confirmed for leadRetention: the clock was set")
	g.reportAhead("p", Primary, behind, 0)
	g.reportAhead("p", Primary, behind, 0)
	require.Equal(t, behind, clock.lead, "a greater lead counts at once")
}
