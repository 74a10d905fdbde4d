package routing

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What each of 300 poolers does is harmless; what all do at once has to be, too. 120 hosts, a start of all poolers, six
// in ten hosts replaced, a third of the groups lost and back cold, lists that come to each pooler at another time.
func TestFleetStaysWithinItsBounds(t *testing.T) {
	w := newFleetSimulation(t)
	from := w.now
	w.play(6 * time.Second)
	w.requireBounds("all start at once", from, 0, true)

	var change []Target
	for g := range simulatedGroups {
		for i := 1; i < 4; i++ {
			if (g*3+i)%10 < 8 { // of the replicas, six of ten hosts in all
				change = append(change, Target{Host: fmt.Sprintf("h%d-%d", g, i), Group: uint64(g + 1), Removed: true},
					Target{Host: fmt.Sprintf("n%d-%d", g, i), Group: uint64(g + 1), StartedAt: w.now})
			}
		}
	}
	from = w.now
	w.announce(change...)
	w.play(6 * time.Second)
	w.requireBounds("six in ten replaced", from, len(change)/2, false)
	require.Positive(t, w.peak("cold", from), "cold hosts take their part")

	w.play(6 * time.Second) // they are warm
	w.requireCapacity("six in ten replaced", from)
	lose := func(third uint64) (back []Target) {
		for h, e := range w.list {
			if e.Group%3 == third && !e.Removed {
				w.down[h] = true
				back = append(back, e)
			}
		}
		slices.SortFunc(back, func(a, b Target) int { return cmp.Compare(a.Host, b.Host) })
		w.play(5 * time.Second)
		return back
	}
	comes := func(back []Target) {
		clear(w.down)
		for i := range back {
			back[i].StartedAt = w.now
		}
		from = w.now
		w.announce(back...)
		w.play(6 * time.Second)
	}
	from = w.now
	back := lose(0)
	w.requireBounds("a third is lost", from, 0, false)
	comes(back)
	w.requireBounds("it is back", from, len(back), false)
	w.requireCapacity("it is back", from)
	require.Less(t, w.rejected, w.arrived/10)

	back = lose(1)
	w.rate, w.baseRate = w.rate*1.5, w.baseRate*1.5
	comes(back)
	w.requireCapacity("another is back in a burst", from)
}

// slowStartScenario is what happens to cold hosts of every group at once, and to the fleet meanwhile.
type slowStartScenario struct {
	name     string
	replicas int // of each group; 0: the usual number
	run      func(w *fleetSimulation)
}

var slowStartScenarios = []slowStartScenario{
	{"one replica", 0, func(w *fleetSimulation) { w.bounce(time.Second, w.hosts(1)...) }},
	{"two replicas", 0, func(w *fleetSimulation) { w.bounce(time.Second, w.hosts(1, 2)...) }},
	{"all replicas", 0, func(w *fleetSimulation) { w.bounce(time.Second, w.hosts(1, 2, 3)...) }},
	{"the primary", 0, func(w *fleetSimulation) { w.bounce(time.Second, w.hosts(0)...) }},
	{"the whole group", 0, func(w *fleetSimulation) { w.bounce(4*time.Second, w.hosts(0, 1, 2, 3)...) }},
	{"one by one", 0, func(w *fleetSimulation) {
		for i := range 4 {
			w.start(atOnce, w.hosts(3-i)...)
			w.play(1500 * ms)
		}
	}},
	{"one, and the others are slow", 0, func(w *fleetSimulation) {
		for _, h := range w.hosts(0, 2, 3) {
			w.answerTimes[h] = 350 * ms
		}
		w.play(time.Second)
		w.start(atOnce, w.hosts(1)...)
	}},
	{"one, and the others can't be reached", 0, func(w *fleetSimulation) {
		w.bounce(time.Second, w.hosts(1)...)
		w.play(500 * ms)
		for _, h := range w.hosts(2, 3) {
			w.broken[h] = true
		}
	}},
	{"the whole group, clients mark their repeats", 0, func(w *fleetSimulation) {
		w.clientRetries, w.marksRetries = 2, true
		w.bounce(4*time.Second, w.hosts(0, 1, 2, 3)...)
	}},
	// Only what was refused comes again, so no more is sent than clients want; at the full load that is twice N.
	{"the whole group at six tenths of the load, clients come again unmarked", 0, func(w *fleetSimulation) {
		w.rate, w.clientRetries = w.rate*0.6, 2
		w.bounce(4*time.Second, w.hosts(0, 1, 2, 3)...)
	}},
	{"the whole group, replicas behind", 0, func(w *fleetSimulation) {
		w.lagBehind(w.hosts(1, 2, 3)...)
		w.bounce(4*time.Second, w.hosts(0, 1, 2, 3)...)
	}},
	{"the whole group, replicas behind, three writes in ten", 0, func(w *fleetSimulation) {
		w.mix = []float64{eventualRead: 3, boundedRead: 4, atMostOnceWrite: 3}
		w.lagBehind(w.hosts(1, 2, 3)...)
		w.bounce(4*time.Second, w.hosts(0, 1, 2, 3)...)
	}},
	{"the whole group, replicas behind, two writes and two fresh reads in ten", 0, func(w *fleetSimulation) {
		w.mix = []float64{eventualRead: 3, boundedRead: 3, strongRead: 2, atMostOnceWrite: 2}
		w.lagBehind(w.hosts(1, 2, 3)...)
		w.bounce(4*time.Second, w.hosts(0, 1, 2, 3)...)
	}},
	// A replica's part is half then, and was a third: the load has to be one that two can bear.
	{"a cold replica becomes primary at three quarters of the load", 0, func(w *fleetSimulation) {
		w.rate *= 0.75
		w.bounce(time.Second, w.hosts(1, 2, 3)...)
		w.play(500 * ms)
		var change []Target
		for g := range w.groups {
			old, next := w.list[fmt.Sprintf("h%d-0", g)], w.list[fmt.Sprintf("h%d-1", g)]
			old.Removed, old.Primary, next.Primary = true, false, true
			change = append(change, old, next)
		}
		w.announce(change...)
	}},
	{"routers restart one by one", 0, func(w *fleetSimulation) {
		w.bounce(time.Second, w.hosts(1, 2, 3)...)
		for i := range w.routers {
			w.play(3 * time.Second / time.Duration(len(w.routers)))
			w.restart(i, nil)
		}
	}},
	// All that they held comes again at that moment, unmarked.
	{"seven in ten routers restart at once at three quarters of the load", 0, func(w *fleetSimulation) {
		w.rate *= 0.75
		w.bounce(4*time.Second, w.hosts(0, 1, 2, 3)...)
		w.play(200 * ms)
		for i := range w.routers {
			if i%10 < 7 {
				w.restart(i, nil)
			}
		}
	}},
	{"a tenth of the routers are told late", 0, func(w *fleetSimulation) {
		w.start(func(i int) time.Duration { return time.Duration(i%10/9) * 3 * time.Second }, w.hosts(1, 2, 3)...)
	}},
	{"a third of the routers are told late", 0, func(w *fleetSimulation) {
		w.start(func(i int) time.Duration { return time.Duration(i%3/2) * 3 * time.Second }, w.hosts(1, 2, 3)...)
	}},
	{"a tenth of the routers restart with an old list", 0, func(w *fleetSimulation) {
		old := w.entries()
		w.start(atOnce, w.hosts(1, 2, 3)...)
		for i := range w.routers {
			if w.play(3 * time.Second / time.Duration(len(w.routers))); i%10 == 9 {
				w.restart(i, old)
				w.later(2*time.Second, i, TargetsChanged{Full: true, Targets: w.entries()})
			}
		}
	}},
}

// surge has more come from now on; what warm hosts bear stays.
func surge(w *fleetSimulation, factor float64) { w.rate *= factor }

// memberScenarios are what changes around one warming replica of each group, at a part of the full load.
var memberScenarios = []struct {
	name     string
	replicas int
	load     float64
	speed    float64 // of the warming host, as a part of the others'
	change   func(w *fleetSimulation)
}{
	{"nothing changes", 3, 1, 1, func(*fleetSimulation) {}},
	{"two others drain", 3, 0.75, 1, func(w *fleetSimulation) { w.drain(w.hosts(2, 3)...) }},
	{"two others drain", 3, 1, 1, func(w *fleetSimulation) { w.drain(w.hosts(2, 3)...) }},
	{"two others drain one after the other", 3, 0.75, 1, func(w *fleetSimulation) {
		w.drain(w.hosts(2)...)
		w.play(1500 * ms)
		w.drain(w.hosts(3)...)
	}},
	{"two others drain, and others come 2 s later", 3, 0.75, 1, func(w *fleetSimulation) {
		w.drain(w.hosts(2, 3)...)
		w.play(2 * time.Second)
		w.add(w.hosts(2, 3)...)
	}},
	{"two others drain, and a surge", 3, 0.36, 1, func(w *fleetSimulation) {
		w.drain(w.hosts(2, 3)...)
		surge(w, 2.5)
	}},
	{"one other drains, and a surge", 3, 0.9, 1, func(w *fleetSimulation) {
		w.drain(w.hosts(2)...)
		surge(w, 2.5)
	}},
	{"a surge to three times the full load", 3, 1, 1, func(w *fleetSimulation) { surge(w, 3) }},
	{"it becomes the primary, and the old one drains", 3, 1, 1, func(w *fleetSimulation) {
		w.promote(w.hosts(1)...)
		w.drain(w.hosts(0)...)
	}},
	{"it becomes the primary, and all others drain", 3, 0.5, 1, promoteAndDrainAll},
	{"it becomes the primary, and all others drain", 3, 0.75, 1, promoteAndDrainAll},
	{"it becomes the primary, and all others drain", 3, 1, 1, promoteAndDrainAll},
	{"a tenth of the routers restart, and two others drain", 3, 0.75, 1, func(w *fleetSimulation) {
		w.drain(w.hosts(2, 3)...)
		for i := range w.routers {
			if i%10 == 0 {
				w.restart(i, nil)
			}
		}
	}},
	{"a slow host, two others drain", 3, 0.5, 0.57, func(w *fleetSimulation) { w.drain(w.hosts(2, 3)...) }},
	{"the other drains", 2, 1, 1, func(w *fleetSimulation) { w.drain(w.hosts(2)...) }},
	{"the other drains, and a surge", 2, 0.36, 1, drainOtherInSurge},
	{"the other drains, and a surge", 2, 0.5, 1, drainOtherInSurge},
	{"the other drains, and a surge", 2, 0.75, 1, drainOtherInSurge},
	{"the other drains, and a surge", 2, 1, 1, drainOtherInSurge},
	{"a slow host, the other drains, and a surge", 2, 0.36, 0.57, drainOtherInSurge},
	{"the old primary drains, the other takes its place", 2, 0.75, 1, func(w *fleetSimulation) {
		w.promote(w.hosts(2)...)
		w.drain(w.hosts(0)...)
	}},
	// As in the operators' second run: it is the primary of one group in steps, each 4.29 s, that replace all others.
	{"a release by steps", 3, 0.5, 1, func(w *fleetSimulation) {
		for _, i := range []int{2, 3} {
			w.drain(w.hosts(i)...)
			w.play(2150 * ms)
			w.add(w.hosts(i)...)
			w.play(2140 * ms)
		}
		w.promote(w.hosts(1)...)
		w.drain(w.hosts(0)...)
	}},
}

func promoteAndDrainAll(w *fleetSimulation) {
	w.promote(w.hosts(1)...)
	w.drain(w.hosts(0, 2, 3)...)
}

func drainOtherInSurge(w *fleetSimulation) {
	w.drain(w.hosts(2)...)
	surge(w, 2.5)
}

// changesAround plays each of memberScenarios some time after the start of the warming replica.
func changesAround() (all []slowStartScenario) {
	for _, k := range memberScenarios {
		for _, after := range []time.Duration{1500 * ms, 4500 * ms} {
			all = append(all, slowStartScenario{
				fmt.Sprintf("%s, %v after a start, %d replicas, load %v, speed %v", k.name, after, k.replicas, k.load, k.speed), k.replicas,
				func(w *fleetSimulation) {
					w.rate *= k.load
					w.slow(k.speed, w.hosts(1)...)
					w.play(4 * time.Second) // what is usual at this load
					w.bounce(time.Second, w.hosts(1)...)
					w.play(after)
					k.change(w)
				},
			})
		}
	}
	return all
}

func uneven(i int) float64 { return 1 + 4*float64(i%5/4) } // one in five sees five times what the others do

// In two pre-production runs a host that had started 7.3 and 8.6 s before, in the middle of its slow start, fell under the load of
// 219 and 176 poolers of which each kept to its part. The part was one of as many as the list held replicas at that moment: while
// a release drained the others and a hot key raised what the group was asked, it grew at once, and what the host bears did not.
// Played here, 219 routers sent such a host 1.2 to 2.6 times what it stands, where nothing else changed 0.4 to 0.8 of it.
//
// A cold host falls under the sum of what all routers send it. Probes, repeats and what it turns away count.
func TestWarmingHostsBearWhatAllRoutersSend(t *testing.T) {
	for _, k := range []struct {
		routers int
		share   func(int) float64
		known   float64 // how many routers the settings say there are, for each that there is
	}{{1, nil, 1}, {3, nil, 1}, {5, uneven, 1}, {20, nil, 1}, {30, uneven, 1}, {30, nil, 0.5}, {30, nil, 1.5}, {300, nil, 1}, {300, uneven, 1}} {
		for _, r := range slices.Concat(slowStartScenarios, changesAround()) {
			t.Run(fmt.Sprintf("%d routers, even %v, known as %v: %s", k.routers, k.share == nil, k.known, r.name), func(t *testing.T) {
				t.Parallel()
				w := newFleetSimulationWith(t, k.routers, 6, cmp.Or(r.replicas, usualReplicas), 9, k.share)
				for i, c := range w.routers {
					s := w.cfg
					s.RouterIndex, s.RouterCount = 0, int(math.Ceil(k.known*float64(k.routers)))
					require.NoError(t, c.Configure(s), i)
				}
				w.play(2 * time.Second)
				from := w.now
				r.run(w)
				w.play(5 * time.Second)
				w.requireCapacity(r.name, from)
			})
		}
	}
}
