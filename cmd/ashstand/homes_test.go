package main

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/agree"
	"ashstand/internal/cluster/agree/runner"
	"ashstand/internal/net/pg"
	"ashstand/internal/session"
)

func TestHomesFollowTheRules(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "agreed")
	require.NoError(t, runner.Found(folder, "n1", []string{"n1"}))
	limits := agree.Rules{"database.orders.group": 1.0, "database.orders.paused": true, "database.a.b.group": 1.0, "tries": 1.0}
	r, err := runner.Start(runner.Options{Config: agree.Config{Name: "n1", Instance: 1, Voters: []string{"n1"}, Lease: 600, Drift: 0.01, Pace: 40,
		Election: 50, Limits: limits, Format: 1, Seed: 1}, Folder: folder, Clock: clock.System(), Send: func(string, []byte) {}})
	require.NoError(t, err)
	defer r.Stop()
	h := &homes{agreed: r}
	now := func() float64 { return clock.System().Now() }
	propose := func(text string) {
		t.Helper()
		rules, err := agree.Parse([]byte(text))
		require.NoError(t, err)
		var n int
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			n, err = r.Propose(ctx, rules)
			return err == nil
		}, 10*time.Second, 10*time.Millisecond)
		require.Eventually(t, func() bool { a := r.Acting(); return len(a.Versions) == 1 && a.Versions[0] == n && !a.Lapsed }, 10*time.Second, time.Millisecond)
	}
	propose(`{"database.orders.group": 1, "database.a.b.group": 3}`)
	require.Equal(t, session.Home{Named: true, Group: 1}, h.Home("orders", now()))
	require.Equal(t, session.Home{Named: true, Group: 3}, h.Home("a.b", now()))
	require.Equal(t, session.Home{}, h.Home("stock", now()))
	propose(`{"database.orders.group": 1, "database.orders.paused": true}`)
	began := h.Home("orders", now())
	require.True(t, began.Paused)
	require.InDelta(t, now(), began.Since, 2000)
	propose(`{"database.orders.group": 2, "database.orders.paused": true, "tries": 3}`)
	require.Equal(t, session.Home{Named: true, Group: 2, Paused: true, Since: began.Since}, h.Home("orders", now()), "the pause is the same one")
	require.Zero(t, testing.AllocsPerRun(100, func() { h.Home("orders", r.Grip().Until-1) }))
	// Without a lease: the limits, by which nobody knows where a database is that they name.
	require.Equal(t, session.Home{Fenced: true}, h.Home("a.b", r.Grip().Until+1e6))
	propose(`{"database.orders.group": 2}`)
	require.Equal(t, session.Home{Named: true, Group: 2}, h.Home("orders", now()))
	// Two versions that name different groups.
	one, two := agree.Rules{"database.orders.group": 1.0}, agree.Rules{"database.orders.group": 2.0, "database.orders.paused": true}
	require.Equal(t, map[string]session.Home{"orders": {Fenced: true, Paused: true}}, homesOf(agree.Meet(one, two)))
}

func TestHomesAreShown(t *testing.T) {
	n, others := &node{clock: clock.System()}, &fellows{}
	require.Equal(t, homesView{}, n.homesView())
	n.others = others
	require.Equal(t, homesView{}, n.homesView())
	s := pg.HomeStats{Database: "orders", Sessions: 3, Held: 2, Refused: 1, Bound: []pg.BoundStats{{Pool: "main", Host: "a", Cause: "LISTEN", Sessions: 1}}}
	s.Describe(session.Home{Named: true, Group: 7, Paused: true, Since: clock.System().Now() - 1500})
	f := pg.HomeStats{Database: "stock"}
	f.Describe(session.Home{Fenced: true})
	var out strings.Builder
	homesTable(&out, &homesView{On: true, Homes: []pg.HomeStats{s, f, {Database: "web", State: "open"}}})
	for _, want := range []string{"orders\t7\tpaused", "(1.5s)", "3\t0\t2\t0\t1\t1 of pool main at a: LISTEN", "stock\tnot agreed\tfenced", "web\tthe pool's\topen"} {
		require.Contains(t, out.String(), want)
	}
}
