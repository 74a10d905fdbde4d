package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The draw of two prefers the replica with fewer of this router's requests in flight.
func TestDrawPrefersLessBusy(t *testing.T) {
	g := startHarness(t, settings(), shard()[:3]...)
	count := map[string]int{}
	for range 2 * initialLimit {
		_, as := g.request(eventualRead, RequestArrived{})
		_, host := actionsOf(ActSend, as)
		count[host]++
	}
	if count["a"] != initialLimit || count["b"] != initialLimit {
		t.Errorf("%d reads were spread %v", 2*initialLimit, count)
	}
}

// Held requests must not be sprayed at a member that refuses connects while good ones have no room.
func TestQueuedReadsAvoidOutliers(t *testing.T) {
	g := startHarness(t, settings(), shard()[:3]...)
	for { // a refuses until it is a suspect
		id, as := g.request(eventualRead, RequestArrived{})
		if _, host := actionsOf(ActSend, as); host == "a" {
			g.outcome(id, 0, NoConnection, Unknown)
			break
		}
		g.outcome(id, 0, OK, Replica)
	}
	sends := 0
	for range 14 { // less than it takes for the other to look silent
		_, as := g.request(eventualRead, RequestArrived{})
		for _, a := range append(as, g.advance(10*ms)...) {
			if a.Kind == ActSend && a.Host == "a" {
				sends++
			}
		}
	}
	if sends > 0 {
		t.Errorf("a suspect got %d of 14 reads", sends)
	}
}

// Where replicas check reads an unproven one is tried once; its refusal sends the read to the primary.
func TestReplicasThatCheck(t *testing.T) {
	for _, checks := range []StalenessCheck{CheckRejects, CheckWaits} {
		s := settings()
		s.StalenessCheck = checks
		g := startHarness(t, s, shard()...)
		id, as := g.request(boundedRead, RequestArrived{})
		if _, host := actionsOf(ActSend, as); host == "p" || host == "" {
			t.Errorf("checks %d: a read with no position known led to %v", checks, as)
		}
		if _, host := actionsOf(ActSend, g.outcome(id, 0, Misdirected, Replica)); host != "p" {
			t.Errorf("checks %d: a refused read went to %q", checks, host)
		}
	}
}

// Guards against long queries that stop the log on every replica: they go to the one that is furthest behind, so that
// others catch up, and to all while no replica lags.
func TestEventualReadsSpareCurrentReplicas(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	went := func() map[string]int {
		hosts := map[string]int{}
		for range 40 {
			id, as := g.request(eventualRead, RequestArrived{})
			_, host := actionsOf(ActSend, as)
			hosts[host]++
			g.outcome(id, 0, OK, Unknown)
		}
		return hosts
	}
	g.reportPositions(Replica, 10*ms, "a", "b", "c")
	if hosts := went(); len(hosts) != 3 || hosts["p"] > 0 {
		t.Errorf("none lags: %v", hosts)
	}
	g.now += time.Second
	g.reportPositions(Replica, 10*ms, "a")
	g.reportPositions(Replica, 500*ms, "b")
	g.reportPositions(Replica, 900*ms, "c")
	if hosts := went(); hosts["c"] != 40 {
		t.Errorf("c is furthest behind: %v", hosts)
	}
	for range initialLimit { // it has no room: the others serve
		g.request(eventualRead, RequestArrived{})
	}
	if _, as := g.request(eventualRead, RequestArrived{}); len(as) == 0 || as[0].Kind != ActSend || as[0].Host == "c" {
		t.Errorf("c is full: %v", as)
	}
}

// Guards against reads that are refused beside a primary with room: they may take most of it, not all.
func TestReadsMayTakeMostOfThePrimary(t *testing.T) {
	g := startHarness(t, settings(), Target{Host: "p", Group: 1, Primary: true})
	g.c.members["p"].limit = 20
	for range 30 {
		g.request(sessionRead, RequestArrived{CommitAge: ms})
	}
	if n := g.c.members["p"].inFlight; n != 18 {
		t.Errorf("%d reads are there, 18 of 20 may be", n)
	}
	if _, as := g.request(atMostOnceWrite, RequestArrived{}); len(as) == 0 || as[0].Kind != ActSend {
		t.Errorf("a write finds no room: %v", as)
	}
}

// One lost request leads each router of a large fleet to a suspicion that its few requests take long to clear. Reads
// that no replica can serve still go to the primary, unless it is silent, as writes do.
func TestReadsGoToAnOutlierPrimaryWhereNobodyElseCanServe(t *testing.T) {
	s := settings()
	s.RouterCount, s.Probing.Allowed = 80, false
	g := startHarness(t, s, shard()...)
	id, _ := g.request(atMostOnceWrite, RequestArrived{})
	g.outcome(id, 0, OK, Primary)
	for range 4 {
		g.now += second
		id, _ = g.request(atMostOnceWrite, RequestArrived{})
		g.outcome(id, 0, ServerError, Primary)
	}
	p := g.c.members["p"]
	require.False(t, g.c.isHealthy(p))
	id, as := g.request(boundedRead, RequestArrived{})
	require.Equal(t, ActSend, as[0].Kind)
	require.Equal(t, "p", as[0].Host)
	g.now += 10 * second
	_, as = g.request(boundedRead, RequestArrived{})
	require.True(t, g.c.isSilent(p))
	for _, a := range as {
		require.NotEqual(t, ActSend, a.Kind, "a silent primary")
	}
	g.outcome(id, 0, OK, Primary)

	g.reportPositions(Replica, 0, "a") // a replica that qualifies is not passed over
	id, as = g.request(boundedRead, RequestArrived{})
	require.Equal(t, "a", as[0].Host, id)
}
