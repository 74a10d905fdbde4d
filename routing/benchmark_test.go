package routing

import (
	"fmt"
	"testing"
	"time"
)

// largeHarness returns a router that knows the given number of hosts, in groups of four, and its endpoint list.
func largeHarness(b testing.TB, hosts int) (*harness, []Target) {
	s := settings()
	s.RouterCount = 80
	var targets []Target
	for i := range hosts {
		targets = append(targets, Target{Host: fmt.Sprint("h", i), Group: uint64(i / 4), Primary: i%4 == 0})
	}
	return startHarness(b, s, targets...), targets
}

// BenchmarkDecision measures one read from its arrival to its answer. Its cost must not depend on the number of hosts
// outside its group.
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

// BenchmarkTick measures a tick with ten queued requests that no member can serve.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{12, 120, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g, targets := largeHarness(b, hosts)
			for i := 4; i < 8; i++ { // group 1
				targets[i].Draining = true
			}
			g.step(TargetsChanged{Targets: targets[4:8]})
			for range 10 {
				g.request(atMostOnceWrite, RequestArrived{TimeRemaining: 10000 * time.Hour})
			}
			for b.Loop() {
				g.advance(5 * ms)
			}
		})
	}
}

// BenchmarkListUpdate measures an update of the endpoint list that changes one host.
func BenchmarkListUpdate(b *testing.B) {
	for _, hosts := range []int{12, 120, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g, targets := largeHarness(b, hosts)
			for b.Loop() {
				g.now += ms
				targets[1].Draining = !targets[1].Draining
				g.step(TargetsChanged{Targets: targets[1:2]})
			}
		})
	}
}
