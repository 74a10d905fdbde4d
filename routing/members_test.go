package routing

import (
	"testing"
	"time"
)

// An old report must not undo what an answer has shown since.
func TestOldReportDoesNotDemote(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	g.now += time.Second
	id, _ := g.request(atMostOnceWrite, RequestArrived{})
	g.outcome(id, 0, OK, Primary)
	g.reportPositions(Replica, 200*ms, "p")
	if _, actions := g.request(atMostOnceWrite, RequestArrived{}); len(actions) != 1 || actions[0].Host != "p" {
		t.Errorf("after an old report a write led to %v", actions)
	}
}

func TestDrainingHostsGetNothing(t *testing.T) {
	for _, event := range []Event{
		TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Draining: true}}},
		TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Removed: true}}},
		TargetsChanged{Full: true, Targets: append(testGroup()[:1:1], testGroup()[2:]...)},
	} {
		g := startHarness(t, settings(), testGroup()...)
		g.step(event)
		for range 20 {
			_, actions := g.request(eventualRead, RequestArrived{})
			if _, host := actionsOf(ActSend, actions); host == "a" {
				t.Errorf("after %+v a read went to a", event)
			}
		}
	}
}

// With IgnoresRemoval only a draining entry ends the use of a host. One that is removed from the list stays in use.
func TestRemovedHostStaysInUseWhereRemovalIsIgnored(t *testing.T) {
	s := settings()
	s.IgnoresRemoval = true
	g := startHarness(t, s, testGroup()[:2]...)
	g.step(TargetsChanged{Full: true, Targets: testGroup()[:1]})
	g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Removed: true}}})
	if _, actions := g.request(eventualRead, RequestArrived{}); actions[0].Host != "a" {
		t.Errorf("a read led to %v", actions)
	}
	g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Draining: true}}})
	if _, actions := g.request(eventualRead, RequestArrived{}); actions[0].Host != "p" {
		t.Errorf("after the draining listing a read led to %v", actions)
	}
}

// A removed member is forgotten after a while, together with its group if that is empty. A host may come back, move to
// another group or start again.
func TestEndpointListChanges(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	gone := testGroup()
	for i := range gone {
		gone[i].Removed = true
	}
	g.step(TargetsChanged{Targets: gone})
	g.step(TargetsChanged{Targets: testGroup()}) // back at once: the members are kept
	if len(g.router.members) != 4 || g.router.groups[1].primary() != nil {
		t.Errorf("%d members, primary %v: a drained primary must not count until there is new evidence", len(g.router.members), g.router.groups[1].primary())
	}
	g.step(TargetsChanged{Targets: gone})
	g.now += memberRetention + time.Second
	g.step(TargetsChanged{Targets: []Target{{Host: "x", Group: 2, StartedAt: g.now + time.Hour}}})
	if len(g.router.members) != 1 || len(g.router.groups) != 1 {
		t.Errorf("%d members in %d groups are left", len(g.router.members), len(g.router.groups))
	}
	x := g.router.members["x"]
	if x.startedAt > g.now || g.router.slowStartRatio(x) >= 1 {
		t.Errorf("a start in the future: %v, slow-start ratio %v", x.startedAt-g.now, g.router.slowStartRatio(x))
	}
	was := x.startedAt
	g.now += time.Second
	g.step(TargetsChanged{Targets: []Target{{Host: "x", Group: 2, StartedAt: was - time.Minute}}})
	if x.startedAt != was {
		t.Error("a start went back")
	}
	g.step(TargetsChanged{Targets: []Target{{Host: "x", Group: 3}}})
	actions := g.step(RequestArrived{ID: "q", Class: eventualRead, Group: 2, TimeRemaining: time.Second})
	if found, _ := actionsOf(ActSend, actions); len(found) != 0 || g.router.groups[2] != nil {
		t.Errorf("after x went to group 3, group 2 led to %v", actions)
	}
	actions = g.step(RequestArrived{ID: "s", Class: eventualRead, Group: 3, TimeRemaining: time.Second})
	if _, host := actionsOf(ActSend, actions); host != "x" {
		t.Errorf("group 3 led to %v", actions)
	}
}
