package routing

import (
	"testing"
	"time"
)

// An old report must not undo what an answer has shown since.
func TestOldReportDoesNotDemote(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	g.now += time.Second
	id, _ := g.request(atMostOnceWrite, RequestArrived{})
	g.outcome(id, 0, OK, Primary)
	g.reportPositions(Replica, 200*ms, "p")
	if _, as := g.request(atMostOnceWrite, RequestArrived{}); len(as) != 1 || as[0].Host != "p" {
		t.Errorf("after an old report a write led to %v", as)
	}
}

func TestDrainingHostsGetNothing(t *testing.T) {
	for _, k := range []Event{
		TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Draining: true}}},
		TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Removed: true}}},
		TargetsChanged{Full: true, Targets: append(shard()[:1:1], shard()[2:]...)},
	} {
		g := startHarness(t, settings(), shard()...)
		g.step(k)
		for range 20 {
			_, as := g.request(eventualRead, RequestArrived{})
			if _, host := actionsOf(ActSend, as); host == "a" {
				t.Errorf("after %+v a read went to a", k)
			}
		}
	}
}

// Where only a Terminating listing binds, a host that merely vanishes from the list goes on being used.
func TestRemovedHostStaysInUseWhereRemovalIsIgnored(t *testing.T) {
	s := settings()
	s.IgnoresRemoval = true
	g := startHarness(t, s, shard()[:2]...)
	g.step(TargetsChanged{Full: true, Targets: shard()[:1]})
	g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Removed: true}}})
	if _, as := g.request(eventualRead, RequestArrived{}); as[0].Host != "a" {
		t.Errorf("a read led to %v", as)
	}
	g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Draining: true}}})
	if _, as := g.request(eventualRead, RequestArrived{}); as[0].Host != "p" {
		t.Errorf("after the draining listing a read led to %v", as)
	}
}

// What has left is released with all that refers to it; a host may come back, change its group or its start.
func TestEndpointListChanges(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	gone := shard()
	for i := range gone {
		gone[i].Removed = true
	}
	g.step(TargetsChanged{Targets: gone})
	g.step(TargetsChanged{Targets: shard()}) // back at once: what was known still counts
	if len(g.c.members) != 4 || g.c.groups[1].primary() != nil {
		t.Errorf("%d members, primary %v: a drained one is none until it shows again", len(g.c.members), g.c.groups[1].primary())
	}
	g.step(TargetsChanged{Targets: gone})
	g.now += memberRetention + time.Second
	g.step(TargetsChanged{Targets: []Target{{Host: "x", Group: 2, StartedAt: g.now + time.Hour}}})
	if len(g.c.members) != 1 || len(g.c.groups) != 1 {
		t.Errorf("%d members in %d groups are left", len(g.c.members), len(g.c.groups))
	}
	x := g.c.members["x"]
	if x.startedAt > g.now || g.c.slowStartRatio(x) >= 1 {
		t.Errorf("a start in the future: %v, ration %v", x.startedAt-g.now, g.c.slowStartRatio(x))
	}
	was := x.startedAt
	g.now += time.Second
	g.step(TargetsChanged{Targets: []Target{{Host: "x", Group: 2, StartedAt: was - time.Minute}}})
	if x.startedAt != was {
		t.Error("a start went back")
	}
	g.step(TargetsChanged{Targets: []Target{{Host: "x", Group: 3}}})
	as := g.step(RequestArrived{ID: "q", Class: eventualRead, Group: 2, TimeRemaining: time.Second})
	if found, _ := actionsOf(ActSend, as); len(found) != 0 || g.c.groups[2] != nil {
		t.Errorf("after x went to group 3, group 2 led to %v", as)
	}
	as = g.step(RequestArrived{ID: "s", Class: eventualRead, Group: 3, TimeRemaining: time.Second})
	if _, host := actionsOf(ActSend, as); host != "x" {
		t.Errorf("group 3 led to %v", as)
	}
}
