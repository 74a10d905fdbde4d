package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The power of two choices prefers the replica with fewer of this router's requests in flight.
func TestPowerOfTwoChoicesPrefersLessBusy(t *testing.T) {
	g := startHarness(t, settings(), testGroup()[:3]...)
	count := map[string]int{}
	for range 2 * initialLimit {
		_, actions := g.request(eventualRead, RequestArrived{})
		_, host := actionsOf(ActSend, actions)
		count[host]++
	}
	if count["a"] != initialLimit || count["b"] != initialLimit {
		t.Errorf("%d reads were spread %v", 2*initialLimit, count)
	}
}

// Queued requests must not be sent to a member that refuses connections while the healthy ones are at capacity.
func TestQueuedReadsAvoidOutliers(t *testing.T) {
	g := startHarness(t, settings(), testGroup()[:3]...)
	for { // until a has refused a connection, and is an outlier
		id, actions := g.request(eventualRead, RequestArrived{})
		if _, host := actionsOf(ActSend, actions); host == "a" {
			g.outcome(id, 0, NoConnection, Unknown)
			break
		}
		g.outcome(id, 0, OK, Replica)
	}
	sends := 0
	for range 14 { // for less time than it takes the other to count as silent
		_, actions := g.request(eventualRead, RequestArrived{})
		for _, a := range append(actions, g.advance(10*ms)...) {
			if a.Kind == ActSend && a.Host == "a" {
				sends++
			}
		}
	}
	if sends > 0 {
		t.Errorf("an outlier got %d of 14 reads", sends)
	}
}

// If replicas check the position of reads themselves, one without a proven position is tried once. If it rejects the
// read, the read goes to the primary.
func TestReplicasThatCheck(t *testing.T) {
	for _, checks := range []StalenessCheck{CheckRejects, CheckWaits} {
		s := settings()
		s.StalenessCheck = checks
		g := startHarness(t, s, testGroup()...)
		id, actions := g.request(boundedRead, RequestArrived{})
		if _, host := actionsOf(ActSend, actions); host == "p" || host == "" {
			t.Errorf("checks %d: a read with no position known led to %v", checks, actions)
		}
		if _, host := actionsOf(ActSend, g.outcome(id, 0, Misdirected, Replica)); host != "p" {
			t.Errorf("checks %d: a read that the replica rejected went to %q", checks, host)
		}
	}
}

// Guards against long queries that stop log replay on every replica. They go to the replica that is furthest behind, so
// that the others catch up, and to all replicas while none lags.
func TestEventualReadsSpareCurrentReplicas(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	went := func() map[string]int {
		hosts := map[string]int{}
		for range 40 {
			id, actions := g.request(eventualRead, RequestArrived{})
			_, host := actionsOf(ActSend, actions)
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
	for range initialLimit { // c is at its limit: the others serve
		g.request(eventualRead, RequestArrived{})
	}
	if _, actions := g.request(eventualRead, RequestArrived{}); len(actions) == 0 || actions[0].Kind != ActSend || actions[0].Host == "c" {
		t.Errorf("c is at its limit: %v", actions)
	}
}

// Guards against rejecting reads while the primary has capacity. Reads may take most of its limit, but not all.
func TestReadsMayTakeMostOfThePrimary(t *testing.T) {
	g := startHarness(t, settings(), Target{Host: "p", Group: 1, Primary: true})
	g.router.members["p"].limit = 20
	for range 30 {
		g.request(sessionRead, RequestArrived{CommitAge: ms})
	}
	if n := g.router.members["p"].inFlight; n != 18 {
		t.Errorf("%d reads are in flight at the primary, want 18 of 20", n)
	}
	if _, actions := g.request(atMostOnceWrite, RequestArrived{}); len(actions) == 0 || actions[0].Kind != ActSend {
		t.Errorf("the primary has no capacity left for a write: %v", actions)
	}
}

// In a large fleet one lost request makes the primary an outlier for each router, and a router's few requests take long
// to change that. Reads that no replica can serve still go to the primary, as writes do, unless it is silent.
func TestReadsGoToAnOutlierPrimaryWhereNobodyElseCanServe(t *testing.T) {
	s := settings()
	s.RouterCount, s.Probing.Allowed = 80, false
	g := startHarness(t, s, testGroup()...)
	id, _ := g.request(atMostOnceWrite, RequestArrived{})
	g.outcome(id, 0, OK, Primary)
	for range 4 {
		g.now += second
		id, _ = g.request(atMostOnceWrite, RequestArrived{})
		g.outcome(id, 0, ServerError, Primary)
	}
	p := g.router.members["p"]
	require.False(t, g.router.isHealthy(p))
	id, actions := g.request(boundedRead, RequestArrived{})
	require.Equal(t, ActSend, actions[0].Kind)
	require.Equal(t, "p", actions[0].Host)
	g.now += 10 * second
	_, actions = g.request(boundedRead, RequestArrived{})
	require.True(t, g.router.isSilent(p))
	for _, a := range actions {
		require.NotEqual(t, ActSend, a.Kind, "a silent primary")
	}
	g.outcome(id, 0, OK, Primary)

	g.reportPositions(Replica, 0, "a") // a replica that qualifies is preferred
	id, actions = g.request(boundedRead, RequestArrived{})
	require.Equal(t, "a", actions[0].Host, id)
}
