package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Without an endpoint list that names the primary, one write at a time searches for it, and strong reads wait until it
// is found.
func TestOneWriteSearchesForThePrimary(t *testing.T) {
	s := settings()
	s.ListNamesPrimary = false
	g := startHarness(t, s, testGroup()...)
	_, actions := g.request(strongRead, RequestArrived{})
	if sent, _ := actionsOf(ActSend, actions); len(sent) != 0 {
		t.Fatalf("a strong read was sent with no primary known: %v", actions)
	}
	id, actions := g.request(atMostOnceWrite, RequestArrived{})
	_, first := actionsOf(ActSend, actions)
	_, actions = g.request(atMostOnceWrite, RequestArrived{})
	if sent, _ := actionsOf(ActSend, actions); len(sent) != 0 {
		t.Errorf("a second write searched too: %v", actions)
	}
	seen := map[string]bool{first: true}
	for i := range 3 {
		_, host := actionsOf(ActSend, g.outcome(id, i, Misdirected, Replica))
		seen[host] = true
	}
	if len(seen) != 4 {
		t.Errorf("a round of the search went to %v", seen)
	}
	if sent, _ := actionsOf(ActSend, g.outcome(id, 3, Misdirected, Replica)); len(sent) != 0 {
		t.Errorf("after a round that found no primary the write was sent again: %v", sent)
	}
	g.now += 20 * ms
	sent, host := actionsOf(ActSend, g.reportPositions(Primary, 0, "b"))
	if len(sent) != 3 || host != "b" {
		t.Errorf("the primary was named, sent %v", sent)
	}
}

// A primary that often fails is still the only member that can take writes, so it gets all of them and not just
// occasional trials like other outliers.
func TestOutlierPrimaryGetsWrites(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	for range 10 {
		g.now += 100 * ms
		id, _ := g.request(atMostOnceWrite, RequestArrived{})
		g.outcome(id, 0, ServerError, Primary)
	}
	if g.router.isHealthy(g.router.members["p"]) {
		t.Fatal("ten errors in a row do not make the primary an outlier")
	}
	_, actions := g.request(atMostOnceWrite, RequestArrived{})
	if _, host := actionsOf(ActSend, actions); host != "p" {
		t.Errorf("a write led to %v", actions)
	}
}

// The endpoint list names a new primary: a router that sees a write of a group only every few seconds would need that
// long to find it by search. An entry may be old when it arrives, so it does not override evidence seen since.
func TestTheListNamesANewPrimary(t *testing.T) {
	named := []Target{{Host: "a", Group: 1, Primary: true}}
	g := startHarness(t, settings(), testGroup()...)
	id, _ := g.request(atMostOnceWrite, RequestArrived{})
	g.outcome(id, 0, OK, Primary)
	g.now += 20 * second
	g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Primary: true, Draining: true}}})
	require.Nil(t, g.router.groups[1].primary())
	g.step(TargetsChanged{Targets: named})
	_, actions := g.request(atMostOnceWrite, RequestArrived{})
	require.Equal(t, "a", actions[0].Host)

	g = startHarness(t, settings(), testGroup()...)
	g.now += 20 * second
	g.reportPositions(Replica, 0, "a")
	g.now += maxListDelay - second
	g.step(TargetsChanged{Targets: named})
	require.Equal(t, "p", g.router.groups[1].primary().host, "a was seen as a replica since")
	g.now += 20 * second // an entry that named it before is no new evidence when it is sent again
	g.reportPositions(Replica, 0, "a")
	g.now += 20 * second
	g.step(TargetsChanged{Targets: named})
	require.Equal(t, "p", g.router.groups[1].primary().host)
}

// An entry of the endpoint list may be seconds old, and the host that it names may have lost the role again. A host
// that has reported itself a replica is probed before a read relies on the entry; a write finds out by itself.
func TestAReplicaNamedPrimaryIsProbedBeforeStrongReads(t *testing.T) {
	for _, then := range []Role{Primary, Replica} {
		g := startHarness(t, settings(), testGroup()...)
		g.reportPositions(Replica, 0, "a")
		g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Removed: true}}})
		g.now += 20 * time.Second
		g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Primary: true}}})
		id, actions := g.request(strongRead, RequestArrived{})
		sends, _ := actionsOf(ActSend, actions)
		require.Empty(t, sends, "a read relied on an unconfirmed entry of the endpoint list")
		probes, host := actionsOf(ActProbe, actions)
		require.NotEmpty(t, probes)
		require.Contains(t, []string{"a", "b", "c"}, host)
		actions = g.reportPositions(then, 0, "a")
		sends, host = actionsOf(ActSend, actions)
		if then == Primary {
			require.Equal(t, "a", host)
			require.Equal(t, id, sends[0].ID)
		} else {
			require.Empty(t, sends)
		}
	}
	g := startHarness(t, settings(), testGroup()...)
	g.reportPositions(Replica, 0, "a")
	g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Removed: true}}})
	g.now += 20 * time.Second
	g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Primary: true}}})
	_, actions := g.request(atMostOnceWrite, RequestArrived{})
	_, host := actionsOf(ActSend, actions)
	require.Equal(t, "a", host)
	_, actions = g.request(boundedRead, RequestArrived{}) // reads that fall back on the primary do not rely on the entry either
	sends, _ := actionsOf(ActSend, actions)
	require.Empty(t, sends)
}

// A read is not written to a host that lost the primary role while the attempt waited for its connection.
func TestRevalidateChecksTheRole(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	ids := g.sentToPrimary(2)
	require.True(t, g.router.Revalidate(g.now, ids[1], 0))
	g.answer(ids[0], OK, Replica, g.now-time.Second)
	require.False(t, g.router.Revalidate(g.now, ids[1], 0))
}
