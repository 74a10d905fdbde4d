package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heavyMixes are mixes of traffic with a class of few heavy requests. The first has the shares and ratios of a
// known deployment; in the second, the latency objective does not show that the class is heavy.
var heavyMixes = []trafficMix{
	{name: "heavy, constant", heavyShare: 0.03, heavyRatio: 25.6, writeRatio: 2.8, heavyObjective: 7500 * ms},
	{name: "heavy", heavyShare: 0.03, heavyRatio: 25.6, writeRatio: 2.8, spread: exponentialWork, heavyObjective: 7500 * ms},
	{name: "heavy, unknown", heavyShare: 0.03, heavyRatio: 25.6, writeRatio: 2.8, spread: exponentialWork, heavyObjective: 300 * ms},
	{name: "very heavy", heavyShare: 0.01, heavyRatio: 60, writeRatio: 2, spread: exponentialWork, heavyObjective: 3 * time.Second},
	{name: "five times", heavyShare: 0.1, heavyRatio: 5, writeRatio: 2, spread: lognormalWork, heavyObjective: 600 * ms},
}

var workScenarios = []workScenario{
	{name: "nothing else happens"},
	{name: "half as much again is asked", change: func(w *fleetSimulation) { surge(w, 1.5) }},
	{name: "a tenth of the routers restart", change: func(w *fleetSimulation) { restartRouters(w, 10) }},
	{name: "a tenth of the routers is new at any time", before: func(w *fleetSimulation) { w.turnover = 3 * time.Second }},
	{name: "it lags", before: func(w *fleetSimulation) { w.lagBehind(w.hosts(1)...) }},
	{name: "another replica lags", before: func(w *fleetSimulation) { w.lagBehind(w.hosts(2)...) }},
	{name: "it is a slow host", before: func(w *fleetSimulation) { w.setSpeed(0.57, w.hosts(1)...) }},
	{name: "handshakes cost half a request", before: func(w *fleetSimulation) { w.work.handshakeWork = 0.5 }},
	{name: "the class becomes heavy only then", before: func(w *fleetSimulation) {
		w.heavyWork = w.work.mean[eventualRead]
		w.work.mean[eventualRead] = w.work.mean[boundedRead]
	}, change: func(w *fleetSimulation) { w.work.mean[eventualRead] = w.heavyWork }},
	{name: "all heavy requests are for one group", before: func(w *fleetSimulation) { w.oneGroupClass = eventualRead + 1 }},
	{name: "clients retry", before: func(w *fleetSimulation) { w.clientRetries = 2 }},
	{name: "requests wait at hosts for half of the mean work", before: func(w *fleetSimulation) { w.work.queueTime = meanWorkTime / 2 }},
	{name: "two others drain", change: func(w *fleetSimulation) { w.drain(w.hosts(2, 3)...) }},
	{name: "all routers restart, and twice as much is asked", change: func(w *fleetSimulation) {
		surge(w, 2)
		restartRouters(w, 1)
	}},
	{name: "all replicas restart", restarts: []int{1, 2, 3}},
	{name: "the whole group restarts", restarts: []int{0, 1, 2, 3}},
}

// restartRouters restarts one in so many routers at once.
func restartRouters(w *fleetSimulation, oneIn int) {
	for i := range w.routers {
		if i%oneIn == 0 {
			w.restartRouter(i, nil)
		}
	}
}

// Hosts fell 5 to 6 s after their start under a budget that counted each request as 1.
func TestHeavyRequestsDoNotOverloadAWarmingHost(t *testing.T) {
	for _, mix := range heavyMixes {
		for _, scenario := range workScenarios {
			t.Run(mix.name+": "+scenario.name, func(t *testing.T) {
				t.Parallel()
				requireWorkWithinBound(t, mix, scenario)
			})
		}
	}
}

// Where all requests cost the same, the same plays keep the bound: a control for the test above.
func TestLikeRequestsDoNotOverloadAWarmingHost(t *testing.T) {
	mix := trafficMix{name: "like", heavyShare: 0.03, heavyRatio: 1, writeRatio: 1, heavyObjective: 300 * ms}
	for _, scenario := range workScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			requireWorkWithinBound(t, mix, scenario)
		})
	}
}

// Budgets that are full when more is asked let a burst pass, and what they earn meanwhile behind it.
func TestFullBudgetsDoNotAddUpToAnOverload(t *testing.T) {
	mix := trafficMix{name: "like", heavyShare: 0.03, heavyRatio: 1, writeRatio: 1, heavyObjective: 300 * ms}
	late := func(w *fleetSimulation) { // 7 s after the start
		w.play(5500 * ms)
		w.drain(w.hosts(2, 3)...)
	}
	for _, scenario := range []workScenario{
		{name: "the others drain late", change: late},
		{name: "the others drain late, and a surge", change: func(w *fleetSimulation) {
			late(w)
			surge(w, 2)
		}},
		{name: "the others drain early, and a surge", change: func(w *fleetSimulation) {
			w.drain(w.hosts(2, 3)...)
			surge(w, 2)
		}},
	} {
		for _, routers := range []int{1, 3, 60, 219} {
			for seed := range uint64(8) {
				t.Run(fmt.Sprintf("%s, %d routers, seed %d", scenario.name, routers, seed), func(t *testing.T) {
					t.Parallel()
					p := workPlay{mix: mix, scenario: scenario, routers: routers, hostRate: 50, load: 1, seed: seed}
					worst, _ := p.run(t)
					t.Logf("at most %.0f%%", 100*worst)
					require.LessOrEqual(t, worst, 1.0)
				})
			}
		}
	}
}

// requireWorkWithinBound plays a scenario in small and large fleets, at small and large hosts.
func requireWorkWithinBound(t *testing.T, mix trafficMix, scenario workScenario) {
	over, plays, worstOfAll, refusedOfAll := 0, 0, 0.0, 0.0
	for _, routers := range []int{3, 52, 219} {
		for _, hostRate := range []float64{17, 60, 140} {
			for _, load := range []float64{0.36, 0.75} {
				plays++
				p := workPlay{mix: mix, scenario: scenario, routers: routers, hostRate: hostRate, load: load, seed: uint64(plays)}
				worst, refused := p.run(t)
				worstOfAll, refusedOfAll = max(worstOfAll, worst), refusedOfAll+refused
				if worst > 1 {
					over++
				}
			}
		}
	}
	t.Logf("%s (%v), %s: %d of %d plays over the bound; the worst %.2f of what a host withstands; refused %.1f%%",
		mix.name, mix.spread, scenario.name, over, plays, worstOfAll, 100*refusedOfAll/float64(plays))
	require.Zero(t, over, "plays over the bound")
}
