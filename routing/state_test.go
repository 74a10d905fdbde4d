package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listedRouter returns a router that knows p, the listed primary, and replicas a and b, started long ago.
func listedRouter(t *testing.T, now time.Duration, s *RouterState) *Router {
	c, err := New(Settings{
		Classes: []Class{
			{Name: "read", Access: BoundedRead, StalenessBound: 200 * time.Millisecond, LatencyObjective: second, Deadline: 2 * second, PriorityWeight: 1},
			{Name: "write", Access: Write, Idempotency: AtMostOnce, LatencyObjective: second, Deadline: 2 * second, PriorityWeight: 1},
		}, RouterCount: 1, MaxAttempts: 8, ListNamesPrimary: true,
		Probing:   Probing{Allowed: true, ReportsPosition: true, ReportsRole: true},
		SlowStart: SlowStart{Floor: 0.24, Duration: 15 * second, OverloadFactor: 3},
	}, 7)
	require.NoError(t, err)
	if s != nil {
		c.ImportState(now, *s)
	}
	c.Step(now, []Event{TargetsChanged{Full: true, Targets: []Target{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}, {Host: "b", Group: 1}}}})
	return c
}

// Restored facts that call for more care apply at once. The others need new proof first.
func TestRestoredCautionAppliesAtOnceTheRestNeedsProof(t *testing.T) {
	now := 1000 * second
	old := listedRouter(t, now, nil)
	for i, m := range []string{"p", "a", "b"} {
		old.members[m].limit = []float64{40, 1.5, 20}[i]
	}
	old.recordEvidence(old.members["a"], now-3*second, Replica, now)
	old.recordEvidence(old.members["p"], now, Primary, now)
	old.members["a"].score, old.members["a"].scoredAt = 2.5, now
	old.members["b"].startedAt = now - second // a start that the list does not give
	s := old.ExportState(now + second)
	require.Equal(t, 3*second, s.Hosts[0].Lag)
	require.Equal(t, second, s.Hosts[0].LagAge)
	require.True(t, s.Hosts[2].WasPrimary)
	require.Equal(t, second, s.Hosts[2].RoleAge)
	require.Negative(t, s.Hosts[1].Lag, "b has reported no position")
	require.Equal(t, []string{"read", "write"}, []string{s.Classes[0].Name, s.Classes[1].Name})

	c := listedRouter(t, now+5*second, &s)
	a, b, p := c.members["a"], c.members["b"], c.members["p"]
	require.Equal(t, 1.5, a.limit, "a low limit applies at once")
	require.Equal(t, 2.5, a.score)
	require.Equal(t, now-second, b.startedAt, "the start that was seen is restored")
	require.EqualValues(t, initialLimit, p.limit, "a high limit does not apply at once")
	require.Zero(t, a.position)
	require.Zero(t, p.position)
	require.Nil(t, func() any {
		for _, m := range []*member{a, b} {
			if c.provesPosition(m, &request{class: &c.classes[0], group: a.group}) {
				return m.host
			}
		}
		return nil
	}(), "a restored lag proves no position")
	for i, want := range []float64{6.2, 12.6, 25.4, 40, 40.1} { // each timely answer doubles it, up to the restored limit
		c.adjustLimit(p, limitIncrease)
		require.InDelta(t, want, p.limit, 0.01, i)
	}
	c.adjustLimit(b, -limitDecrease)
	c.adjustLimit(b, limitIncrease)
	require.Less(t, b.limit, 3.0, "a member that fails at its restored limit is not raised to it again")
	bounded := &request{group: a.group, class: &class{Class: Class{Access: BoundedRead, StalenessBound: 100 * ms}}}
	require.Less(t, c.probeRank(b, bounded), c.probeRank(a, bounded), "the member that lagged is not probed first")
	c.Step(now+6*second, []Event{TargetsChanged{Full: true, Targets: []Target{{Host: "p", Group: 1}, {Host: "a", Group: 1}, {Host: "b", Group: 1}}}})
	require.NotEqual(t, 1.0, a.limit)
}

// Restored facts are discarded if the host has started again since, or belongs to another group now.
func TestRestoredFactsOfAnotherHostAreDiscarded(t *testing.T) {
	now := 1000 * second
	s := RouterState{Hosts: []HostState{{Host: "a", Group: 1, Started: 500 * second, Limit: 1, Score: 3, Lag: second, WasPrimary: true}, {Host: "b", Group: 2, Limit: 1, Score: 3}}}
	c, err := New(Settings{Classes: []Class{{Name: "read", LatencyObjective: second, Deadline: second}}, RouterCount: 1, MaxAttempts: 1}, 1)
	require.NoError(t, err)
	c.ImportState(now, s)
	c.Step(now, []Event{TargetsChanged{Full: true, Targets: []Target{{Host: "a", Group: 1, StartedAt: 900 * second}, {Host: "b", Group: 1}}}})
	for _, name := range []string{"a", "b"} { // a started again, b holds other data
		m := c.members[name]
		require.EqualValues(t, initialLimit, m.limit, name)
		require.Zero(t, m.score+m.restoredLimit, name)
		require.False(t, m.wasPrimary, name)
	}
	require.Equal(t, 900*second, c.members["a"].startedAt)
	// The search for a primary tries the former primary first, and relies only on its answer.
	c, _ = New(Settings{Classes: []Class{{Name: "write", Access: Write, Idempotency: AtMostOnce, LatencyObjective: second, Deadline: 2 * second}}, RouterCount: 1, MaxAttempts: 4}, 1)
	c.ImportState(now, RouterState{Hosts: []HostState{{Host: "c", Group: 1, Limit: 3, WasPrimary: true, Lag: -1}}})
	c.Step(now, []Event{TargetsChanged{Full: true, Targets: []Target{{Host: "a", Group: 1}, {Host: "b", Group: 1}, {Host: "c", Group: 1}}}})
	require.Nil(t, c.groups[1].primary())
	out := c.Step(now, []Event{RequestArrived{ID: "w", Group: 1, TimeRemaining: 2 * second}})
	require.Equal(t, "c", out[0].Host)
	out = c.Step(now+time.Millisecond, []Event{AttemptEnded{ID: "w", Host: "c", Code: Misdirected, Execution: RejectedUnexecuted, Role: Replica}})
	require.NotEqual(t, "c", out[0].Host)
}
