package routing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// costHarness returns a router with 52 routers of four members, of which "a" started one second ago.
func costHarness(t *testing.T) *harness {
	t.Helper()
	s := settings()
	s.RouterCount = 52
	s.SlowStart = SlowStart{Floor: 0.24, Duration: 15 * time.Second, OverloadFactor: 3, OverloadWindow: 1500 * ms}
	s.Classes[eventualRead].LatencyObjective, s.Classes[eventualRead].Deadline = 7500*ms, 15*time.Second
	g := startHarness(t, s, testGroup()...)
	return g
}

// serve has a class's requests answered after a time.
func (g *harness) serve(class, requests int, elapsed time.Duration) {
	for range requests {
		g.advance(50 * ms)
		id, actions := g.request(class, RequestArrived{})
		_, host := actionsOf(ActSend, actions)
		role := Replica
		if host == "p" {
			role = Primary
		}
		g.now += elapsed
		g.step(AttemptEnded{ID: id, Host: host, Code: OK, Role: role, Position: g.now, Final: true, Elapsed: elapsed})
	}
}

// Answer times show what classes cost; before that, the latency objectives and the shares do.
func TestClassCostIsLearned(t *testing.T) {
	g := costHarness(t)
	r := g.router
	cost := func(class int) float64 { return r.highestCost(&r.classes[class]) }
	require.True(t, r.isHeavy(&r.classes[eventualRead]), "its objective is far above the others")
	for range 100 {
		g.serve(sessionRead, 1, 5*ms)
	}
	require.InDelta(t, 1, cost(sessionRead), 0.2)
	require.Greater(t, cost(eventualRead), 12.0)
	require.Greater(t, cost(boundedRead), 12.0, "none has come yet, and they may make up all the work")
	g.serve(strongRead, 10, 5*ms)
	require.InDelta(t, 1, cost(strongRead), 0.2)
	g.serve(eventualRead, minWorkAnswers, 128*ms)
	require.InDelta(t, 16, cost(eventualRead), 3, "four of 114 requests, 25.6 times as heavy as the others")
	g.serve(eventualRead, 40, 5*ms)
	require.Less(t, cost(eventualRead), 3.0, "it has become light")
	g.serve(strongRead, 20, 128*ms)
	require.True(t, r.isHeavy(&r.classes[strongRead]), "it has become heavy")
}

// Where hosts are slow for a while, the costs of classes stay as they are beside each other.
func TestSlowHostsDoNotChangeClassCosts(t *testing.T) {
	g := costHarness(t)
	light, other := &g.router.classes[sessionRead], &g.router.classes[strongRead]
	for range 200 {
		g.serve(sessionRead, 4, 20*ms)
		g.serve(strongRead, 1, 20*ms)
	}
	for range 10 {
		g.serve(sessionRead, 4, 350*ms)
		g.serve(strongRead, 1, 350*ms)
		require.InDelta(t, 1, g.router.classCost(light)/g.router.classCost(other), 0.2)
	}
}

// A slow connection or host does not make a class heavy.
func TestOutliersDoNotMakeAClassHeavy(t *testing.T) {
	g := costHarness(t)
	g.serve(strongRead, 20, 5*ms)
	g.serve(sessionRead, 20, 5*ms)
	g.serve(sessionRead, 1, 400*ms)
	require.Less(t, g.router.classCost(&g.router.classes[sessionRead]), ordinaryCost)
}

// A warm member gets the heavy requests as long as there is one, and a warming member none of which a few
// would be too much for it.
func TestHeavyRequestsPreferWarmMembers(t *testing.T) {
	g := costHarness(t)
	r := g.router
	g.serve(sessionRead, 200, 5*ms)
	g.serve(eventualRead, 8, 128*ms)
	start := func(hosts ...string) {
		for _, host := range hosts {
			g.step(TargetsChanged{Targets: []Target{{Host: host, Group: 1, StartedAt: g.now}}})
		}
	}
	start("a")
	g.advance(5 * time.Second)
	for range 50 {
		id, actions := g.request(eventualRead, RequestArrived{})
		_, host := actionsOf(ActSend, actions)
		require.NotEqual(t, "a", host)
		g.step(AttemptEnded{ID: id, Host: host, Code: OK, Role: Replica, Final: true, Elapsed: 128 * ms})
	}
	a := r.members["a"]
	require.InDelta(t, max(leastCost, r.classCost(&r.classes[sessionRead])), r.slowStartCost(a, &r.classes[sessionRead]), 0)
	heavy := r.slowStartCost(a, &r.classes[eventualRead])
	require.Greater(t, heavy, r.classCost(&r.classes[eventualRead]))
	r.cfg.RouterCount = 1 // its load is too small for a heavy request
	require.True(t, math.IsInf(r.slowStartCost(a, &r.classes[eventualRead]), 1))
}

// The next process starts with the answer times of the last one, which one answer of its own confirms.
func TestClassCostOutlivesTheProcess(t *testing.T) {
	g := costHarness(t)
	g.serve(sessionRead, 50, 5*ms)
	g.serve(eventualRead, 20, 128*ms)
	next := costHarness(t)
	next.router.ImportState(next.now, g.router.ExportState(g.now))
	require.False(t, next.router.classes[sessionRead].work.isKnown())
	next.serve(sessionRead, 1, 5*ms)
	require.True(t, next.router.classes[sessionRead].work.isKnown())
	require.Greater(t, next.router.classCost(&next.router.classes[eventualRead]), 12.0)
}
