package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// When all members are outliers, bounded reads still probe for positions and are sent to a member that
// reports one.
func TestPositionsAreProbedThoughAllAreOutliers(t *testing.T) {
	s := settings()
	s.RouterCount = 300
	g := startHarness(t, s, testGroup()...)
	for _, m := range g.router.members {
		g.router.recordScore(m, faultScore)
		g.router.recordScore(m, faultScore)
	}
	_, actions := g.request(boundedRead, RequestArrived{})
	found, host := actionsOf(ActProbe, actions)
	if len(found) == 0 {
		t.Fatalf("with all members outliers a bounded read led to %v", actions)
	}
	if sent, to := actionsOf(ActSend, g.reportPositions(Replica, 0, host)); len(sent) != 1 || to != host {
		t.Errorf("after %s showed its position: %v", host, sent)
	}
}

// Where the primary can serve a read, probes are limited by a budget, because they cost something. Where the
// primary is unknown or suspect, a read that waits in vain costs more, and the probes' answers find the new
// primary.
func TestReadsProbePastTheBudgetWithoutAPrimary(t *testing.T) {
	s := settings()
	s.RouterCount, s.Probing.Cost = 80, 0.04
	g := startHarness(t, s, testGroup()...)
	g.router.probeBudget = 0
	_, actions := g.request(boundedRead, RequestArrived{})
	require.Equal(t, ActSend, actions[0].Kind, "the primary serves the read")
	g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Draining: true}}})
	g.router.probeBudget = 0
	id, actions := g.request(boundedRead, RequestArrived{})
	require.Equal(t, ActProbe, actions[0].Kind)
	actions = g.reportPositions(Primary, 0, actions[0].Host)
	sends, host := actionsOf(ActSend, actions)
	require.Len(t, sends, 1)
	require.Equal(t, id, sends[0].ID)
	require.Equal(t, g.router.groups[1].primary().host, host)
}

// A replica that was seconds behind a moment ago is not probed, because it can't qualify: the probe goes to
// one that kept pace, or the primary serves the read at once. A replica that may have caught up is probed
// again, and so is any if there is no primary to fall back on.
func TestReplicasThatCannotHaveCaughtUpAreNotProbed(t *testing.T) {
	s := settings()
	s.RouterCount = 80
	probed := func(g *harness) (hosts []string) {
		g.router.probeBudget = 10
		_, actions := g.request(boundedRead, RequestArrived{})
		for _, a := range actions {
			if a.Kind == ActProbe {
				hosts = append(hosts, a.Host)
			}
		}
		return hosts
	}
	g := startHarness(t, s, testGroup()...)
	g.reportPositions(Replica, 5*second, "a", "b", "c")
	g.now += second
	require.Empty(t, probed(g), "all were 5 s behind a second ago")
	g.now += 5 * second
	require.Len(t, probed(g), 1, "at twice the pace they may have caught up")

	g = startHarness(t, s, testGroup()...)
	asked := map[string]int{}
	for range 200 {
		g.now += 10 * second
		g.reportPositions(Replica, 5*second, "a")
		g.reportPositions(Replica, 0, "b")
		g.router.members["c"].position = 0
		g.now += second
		for _, h := range probed(g) {
			asked[h]++
		}
	}
	require.Zero(t, asked["a"], "it was 5 s behind")
	require.Greater(t, asked["b"], 160, "it kept pace")
	require.Greater(t, asked["c"], 5, "its position is unknown: probed now and then, or it would stay unknown")
	g = startHarness(t, s, testGroup()...)
	g.reportPositions(Replica, 5*second, "a", "b", "c")
	g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Draining: true}}})
	g.now += second
	require.Len(t, probed(g), 1, "no primary: any answer may help to find it")
}

// A probe that this router could not send for lack of a connection doesn't change a host's score; one that
// the host failed raises it.
func TestUnsentProbeIsNoEvidence(t *testing.T) {
	for code, counts := range map[Code]bool{NotSent: false, NoConnection: true, NoAnswer: true, ServerError: true} {
		g := startHarness(t, settings(), testGroup()...)
		m := g.router.members["a"]
		before := g.router.outlierScore(m)
		g.step(ProbeEnded{Host: "a", Code: code})
		require.Equal(t, counts, g.router.outlierScore(m) > before, "%v", code)
	}
}
