package routing

import (
	"fmt"
	"testing"
	"time"
)

// largeHarness is a router that knows so many hosts, in groups of four, with all positions known.
func largeHarness(b testing.TB, hosts int) (*harness, []Target) {
	s := settings()
	s.RouterCount = 80
	var list []Target
	for i := range hosts {
		list = append(list, Target{Host: fmt.Sprint("h", i), Group: uint64(i / 4), Primary: i%4 == 0})
	}
	return startHarness(b, s, list...), list
}

// One read from its arrival to its answer costs the same however many hosts there are beside its group.
func BenchmarkDecision(b *testing.B) {
	for _, hosts := range []int{12, 120, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g, _ := largeHarness(b, hosts)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				g.now += 400 * ms
				id := fmt.Sprint(i)
				g.step(RequestArrived{ID: id, Class: eventualRead, Group: uint64(i % (hosts / 4)), TimeRemaining: second})
				g.step(AttemptEnded{ID: id, Code: OK, Role: Replica, Final: true, Elapsed: 50 * ms})
			}
		})
	}
}

// One round of upkeep with ten requests held, for want of anybody to serve them.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{12, 120, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g, list := largeHarness(b, hosts)
			for i := 4; i < 8; i++ { // group 1
				list[i].Draining = true
			}
			g.step(TargetsChanged{Targets: list[4:8]})
			for range 10 {
				g.request(atMostOnceWrite, RequestArrived{TimeRemaining: 10000 * time.Hour})
			}
			for b.Loop() {
				g.advance(5 * ms)
			}
		})
	}
}

// One update of the list that changes one host.
func BenchmarkListUpdate(b *testing.B) {
	for _, hosts := range []int{12, 120, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g, list := largeHarness(b, hosts)
			for b.Loop() {
				g.now += ms
				list[1].Draining = !list[1].Draining
				g.step(TargetsChanged{Targets: list[1:2]})
			}
		})
	}
}
