package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request on a connection that a session keeps being sent to its host whatever the host has. One
// that must go there waits, and is rejected at the end of its time; any other goes elsewhere.
func TestRequestOfAKeptConnectionNeedsTheRoleAndThePosition(t *testing.T) {
	for _, required := range []bool{false, true} {
		g := startHarness(t, settings(), testGroup()...)
		g.reportPositions(Primary, 0, "p")
		g.reportPositions(Replica, 0, "a", "b")
		kept := RequestArrived{Host: "a", HostRequired: required}
		for _, class := range []int{eventualRead, boundedRead, sessionRead} {
			_, actions := g.request(class, kept)
			_, host := actionsOf(ActSend, actions)
			require.Equal(t, "a", host, "a sound replica is left by class %d", class)
		}
		for _, class := range []int{atMostOnceWrite, strongRead} {
			id, actions := g.request(class, kept)
			_, host := actionsOf(ActSend, actions)
			if !required {
				require.Equal(t, "p", host)
				continue
			}
			require.Empty(t, host, "class %d went to %s", class, host)
			rejected := false
			for range 1000 {
				for _, a := range g.advance(10 * ms) {
					rejected = rejected || a.Kind == ActReject && a.ID == id
					require.False(t, a.Kind == ActSend && a.ID == id)
				}
			}
			require.True(t, rejected, "class %d has no answer", class)
		}
	}
}

// Guards against a stale read at a replica that lags, and against one that is rejected where a probe shows that the
// replica has caught up.
func TestReadOfAKeptConnectionWaitsForItsPosition(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	g.reportPositions(Replica, 500*ms, "a")
	id, actions := g.request(sessionRead, RequestArrived{Host: "a", HostRequired: true, CommitAge: 100 * ms})
	sent, _ := actionsOf(ActSend, actions)
	require.Empty(t, sent, "a replica half a second behind")
	probes := 0
	for range 5 {
		if found, host := actionsOf(ActProbe, actions); len(found) > 0 {
			require.Equal(t, "a", host)
			sent, _ = actionsOf(ActSend, g.reportPositions(Replica, time.Second, "a"))
			require.Empty(t, sent)
			probes++
		}
		actions = g.advance(reprobeAfter)
	}
	require.Greater(t, probes, maxProbesPerRead, "it has no other way to learn that it may go")
	sent, host := actionsOf(ActSend, g.reportPositions(Replica, 0, "a"))
	require.Len(t, sent, 1)
	require.Equal(t, "a", host)
	require.Equal(t, id, sent[0].ID)
	require.False(t, g.router.Revalidate(g.now, "none", 0))
	g.step(TargetsChanged{Targets: []Target{{Host: "a", Group: 1, Draining: true}}})
	require.False(t, g.router.Revalidate(g.now, id, 0), "it drains before the write")
}
