package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// lister returns a router that knows p, the listed primary, and replicas a and b, started long ago.
func lister(t *testing.T, now time.Duration, s *State) *Choice {
	c, err := New(Settings{Classes: []Class{{Name: "read", Read: Bounded, Bound: 200 * time.Millisecond, Aim: second, Deadline: 2 * second, Worth: 1},
		{Name: "write", Read: Write, Effect: Unsafe, Aim: second, Deadline: 2 * second, Worth: 1}}, Routers: 1, MaxAttempts: 8, ListRole: true,
		Probes: true, ReportX0: true, ReportX1: true, ColdFrom: 0.24, ColdRamp: 15 * second, FallFactor: 3}, 7)
	require.NoError(t, err)
	if s != nil {
		c.Import(now, *s)
	}
	c.Step(now, []Event{{Kind: EvTargets, Full: true, Targets: []Target{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}, {Host: "b", Group: 1}}}})
	return c
}

func TestKeptFactsMakeCarefulAtOnceAndBoldByProof(t *testing.T) {
	now := 1000 * second
	old := lister(t, now, nil)
	for i, m := range []string{"p", "a", "b"} {
		old.members[m].limit = []float64{40, 1.5, 20}[i]
	}
	old.learn(old.members["a"], now-3*second, Replica, now)
	old.learn(old.members["p"], now, Primary, now)
	old.members["a"].took, old.members["a"].tookAt = 2.5, now
	old.members["b"].started = now - second // a start that the list does not tell
	s := old.Export(now + second)
	require.Equal(t, 3*second, s.Members[0].Lag)
	require.Equal(t, second, s.Members[0].Heard)
	require.True(t, s.Members[2].Primary)
	require.Equal(t, second, s.Members[2].Proof)
	require.Negative(t, s.Members[1].Lag, "nothing was heard of b")
	require.Equal(t, []string{"read", "write"}, []string{s.Classes[0].Name, s.Classes[1].Name})

	c := lister(t, now+5*second, &s)
	a, b, p := c.members["a"], c.members["b"], c.members["p"]
	require.Equal(t, 1.5, a.limit, "careful at once")
	require.Equal(t, 2.5, a.took)
	require.Equal(t, now-second, b.started, "cold, as it was seen")
	require.EqualValues(t, limitStart, p.limit, "not bold")
	require.Zero(t, a.position)
	require.Zero(t, p.position)
	require.Nil(t, func() any {
		for _, m := range []*member{a, b} {
			if c.fresh(m, &request{class: &c.classes[0], group: a.group}) {
				return m.host
			}
		}
		return nil
	}(), "a kept position qualifies nobody")
	for i, want := range []float64{6.2, 12.6, 25.4, 40, 40.1} { // each timely answer doubles it, up to what held
		c.adjust(p, limitStep)
		require.InDelta(t, want, p.limit, 0.01, i)
	}
	c.adjust(b, -limitCut)
	c.adjust(b, limitStep)
	require.Less(t, b.limit, 3.0, "one that does not stand it any more is not pushed")
	bounded := &request{class: &class{Class: Class{Read: Bounded, Bound: 100 * ms}}}
	require.Less(t, c.behind(b, bounded), c.behind(a, bounded), "the one that lagged is not probed first")
	c.Step(now+6*second, []Event{{Kind: EvTargets, Full: true, Targets: []Target{{Host: "p", Group: 1}, {Host: "a", Group: 1}, {Host: "b", Group: 1}}}})
	require.NotEqual(t, 1.0, a.limit)
}

func TestKeptFactsOfAnotherAreVoid(t *testing.T) {
	now := 1000 * second
	s := State{Members: []Kept{{Host: "a", Group: 1, Started: 500 * second, Limit: 1, Took: 3, Lag: second, Primary: true}, {Host: "b", Group: 2, Limit: 1, Took: 3}}}
	c, err := New(Settings{Classes: []Class{{Name: "read", Aim: second, Deadline: second}}, Routers: 1, MaxAttempts: 1}, 1)
	require.NoError(t, err)
	c.Import(now, s)
	c.Step(now, []Event{{Kind: EvTargets, Full: true, Targets: []Target{{Host: "a", Group: 1, Started: 900 * second}, {Host: "b", Group: 1}}}})
	for _, name := range []string{"a", "b"} { // a started again, b holds other data
		m := c.members[name]
		require.EqualValues(t, limitStart, m.limit, name)
		require.Zero(t, m.took+m.hope, name)
		require.False(t, m.wasPrimary, name)
	}
	require.Equal(t, 900*second, c.members["a"].started)
	// The search for a primary asks the one that was it first, and believes only its answer.
	c, _ = New(Settings{Classes: []Class{{Name: "write", Read: Write, Effect: Unsafe, Aim: second, Deadline: 2 * second}}, Routers: 1, MaxAttempts: 4}, 1)
	c.Import(now, State{Members: []Kept{{Host: "c", Group: 1, Limit: 3, Primary: true, Lag: -1}}})
	c.Step(now, []Event{{Kind: EvTargets, Full: true, Targets: []Target{{Host: "a", Group: 1}, {Host: "b", Group: 1}, {Host: "c", Group: 1}}}})
	require.Nil(t, c.groups[1].primary())
	out := c.Step(now, []Event{{Kind: EvRequest, ID: "w", Group: 1, TimeLeft: 2 * second}})
	require.Equal(t, "c", out[0].Host)
	out = c.Step(now+time.Millisecond, []Event{{Kind: EvOutcome, ID: "w", Host: "c", Code: Miss, Role: Replica}})
	require.NotEqual(t, "c", out[0].Host)
}
