package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Without a list that names the primary one write at a time searches; fresh reads wait for what it finds.
func TestSearchAndHold(t *testing.T) {
	s := settings()
	s.ListNamesPrimary = false
	g := startHarness(t, s, shard()...)
	_, as := g.request(strongRead, RequestArrived{})
	if sent, _ := actionsOf(ActSend, as); len(sent) != 0 {
		t.Fatalf("fresh read with no primary known: %v", as)
	}
	id, as := g.request(atMostOnceWrite, RequestArrived{})
	_, first := actionsOf(ActSend, as)
	_, as = g.request(atMostOnceWrite, RequestArrived{})
	if sent, _ := actionsOf(ActSend, as); len(sent) != 0 {
		t.Errorf("a second write searched too: %v", as)
	}
	seen := map[string]bool{first: true}
	for i := range 3 {
		_, host := actionsOf(ActSend, g.outcome(id, i, Misdirected, Replica))
		seen[host] = true
	}
	if len(seen) != 4 {
		t.Errorf("a round of misses went to %v", seen)
	}
	if sent, _ := actionsOf(ActSend, g.outcome(id, 3, Misdirected, Replica)); len(sent) != 0 {
		t.Errorf("after a round of misses the write was sent on: %v", sent)
	}
	g.now += 20 * ms
	sent, host := actionsOf(ActSend, g.reportPositions(Primary, 0, "b"))
	if len(sent) != 3 || host != "b" {
		t.Errorf("the primary was named, sent %v", sent)
	}
}

// A primary that errs often is still the only one to take writes; it is not starved to rare trials.
func TestOutlierPrimaryGetsWrites(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	for range 10 {
		g.now += 100 * ms
		id, _ := g.request(atMostOnceWrite, RequestArrived{})
		g.outcome(id, 0, ServerError, Primary)
	}
	if g.c.isHealthy(g.c.members["p"]) {
		t.Fatal("ten errors in a row leave no suspicion")
	}
	_, as := g.request(atMostOnceWrite, RequestArrived{})
	if _, host := actionsOf(ActSend, as); host != "p" {
		t.Errorf("a write led to %v", as)
	}
}

// A router that sees a write of a group every few seconds would search for its new primary for as long. The list's
// word is older than it comes: it goes before nothing that was seen in the meantime.
func TestTheListNamesANewPrimary(t *testing.T) {
	named := []Target{{Host: "a", Group: 1, Primary: true}}
	g := startHarness(t, settings(), shard()...)
	id, _ := g.request(atMostOnceWrite, RequestArrived{})
	g.outcome(id, 0, OK, Primary)
	g.now += 20 * second
	g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Primary: true, Draining: true}}})
	require.Nil(t, g.c.groups[1].primary())
	g.step(TargetsChanged{Targets: named})
	_, as := g.request(atMostOnceWrite, RequestArrived{})
	require.Equal(t, "a", as[0].Host)

	g = startHarness(t, settings(), shard()...)
	g.now += 20 * second
	g.reportPositions(Replica, 0, "a")
	g.now += maxListDelay - second
	g.step(TargetsChanged{Targets: named})
	require.Equal(t, "p", g.c.groups[1].primary().host, "a was seen as a replica since")
	g.now += 20 * second // nor does the same word count as new when the entry changes for another reason
	g.reportPositions(Replica, 0, "a")
	g.now += 20 * second
	g.step(TargetsChanged{Targets: named})
	require.Equal(t, "p", g.c.groups[1].primary().host)
}

// The list's word is seconds old: a host that it names may have lost the role again. One that said itself that it is a
// replica is asked before a read rests on that word; a write finds out by itself.
func TestAReplicaNamedPrimaryIsProbedBeforeStrongReads(t *testing.T) {
	for _, then := range []Role{Primary, Replica} {
		g := startHarness(t, settings(), shard()...)
		g.reportPositions(Replica, 0, "a")
		g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Removed: true}}})
		g.now += 20 * time.Second
		g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Primary: true}}})
		id, as := g.request(strongRead, RequestArrived{})
		sends, _ := actionsOf(ActSend, as)
		require.Empty(t, sends, "a read on hearsay")
		probes, host := actionsOf(ActProbe, as)
		require.NotEmpty(t, probes)
		require.Contains(t, []string{"a", "b", "c"}, host)
		as = g.reportPositions(then, 0, "a")
		sends, host = actionsOf(ActSend, as)
		if then == Primary {
			require.Equal(t, "a", host)
			require.Equal(t, id, sends[0].ID)
		} else {
			require.Empty(t, sends)
		}
	}
	g := startHarness(t, settings(), shard()...)
	g.reportPositions(Replica, 0, "a")
	g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Removed: true}}})
	g.now += 20 * time.Second
	g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Primary: true}}})
	_, as := g.request(atMostOnceWrite, RequestArrived{})
	_, host := actionsOf(ActSend, as)
	require.Equal(t, "a", host)
	_, as = g.request(boundedRead, RequestArrived{}) // nor do reads that fall back on the primary
	sends, _ := actionsOf(ActSend, as)
	require.Empty(t, sends)
}

// A read whose host lost the role while the attempt waited for its connection.
func TestRevalidateChecksTheRole(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	ids := g.sentToPrimary(2)
	require.True(t, g.c.Revalidate(g.now, ids[1], 0))
	g.answer(ids[0], OK, Replica, g.now-time.Second)
	require.False(t, g.c.Revalidate(g.now, ids[1], 0))
}
