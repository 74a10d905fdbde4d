package main

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/consensus/runner"
	"ashstand/internal/net/pg"
	"ashstand/internal/session"
	"ashstand/internal/vfs"
	lab "ashstand/testbed/host"
)

func TestAssignmentsFollowRules(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "agreed")
	require.NoError(t, runner.Bootstrap(vfs.OS{}, folder, "n1", []string{"n1"}))
	limits := consensus.Rules{"database.orders.group": 1.0, "database.orders.paused": true, "database.a.b.group": 1.0, "tries": 1.0}
	r, err := runner.Start(runner.Options{Config: consensus.Config{
		Name: "n1", Incarnation: 1, Voters: []string{"n1"}, LeaseMillis: 600, ClockDrift: 0.01, RenewIntervalMillis: 40,
		ElectionTimeoutMillis: 50, Limits: limits, Format: 1, Seed: 1,
	}, Directory: folder, Clock: clock.System(), Send: func(string, []byte) {}})
	require.NoError(t, err)
	defer r.Stop()
	h := &assignments{consensus: r}
	now := func() float64 { return clock.System().Now() }
	propose := func(text string) {
		t.Helper()
		rules, err := consensus.ParseRules([]byte(text))
		require.NoError(t, err)
		var n int
		require.Eventually(t, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			n, err = r.Propose(ctx, rules)
			return err == nil
		}, 10*time.Second, 10*time.Millisecond)
		require.Eventually(t, func() bool { a := r.Effective(); return len(a.Versions) == 1 && a.Versions[0] == n && !a.LeaseExpired }, 10*time.Second, time.Millisecond)
	}
	propose(`{"database.orders.group": 1, "database.a.b.group": 3}`)
	require.Equal(t, session.Assignment{HasGroup: true, Group: 1}, h.Assignment("orders", now()))
	require.Equal(t, session.Assignment{HasGroup: true, Group: 3}, h.Assignment("a.b", now()))
	require.Equal(t, session.Assignment{}, h.Assignment("stock", now()))
	propose(`{"database.orders.group": 1, "database.orders.paused": true}`)
	began := h.Assignment("orders", now())
	require.True(t, began.Paused)
	require.InDelta(t, now(), began.PausedSince, 2000)
	propose(`{"database.orders.group": 2, "database.orders.paused": true, "tries": 3}`)
	require.Equal(t, session.Assignment{HasGroup: true, Group: 2, Paused: true, PausedSince: began.PausedSince}, h.Assignment("orders", now()), "the pause is the same one")
	require.Zero(t, testing.AllocsPerRun(100, func() { h.Assignment("orders", r.Lease().ExpiresAt-1) }))
	// Without a lease: the limits, by which nobody knows where a database is that they name.
	require.Equal(t, session.Assignment{Undecided: true}, h.Assignment("a.b", r.Lease().ExpiresAt+1e6))
	propose(`{"database.orders.group": 2}`)
	require.Equal(t, session.Assignment{HasGroup: true, Group: 2}, h.Assignment("orders", now()))
	// Two versions that name different groups.
	one, two := consensus.Rules{"database.orders.group": 1.0}, consensus.Rules{"database.orders.group": 2.0, "database.orders.paused": true}
	require.Equal(t, map[string]session.Assignment{"orders": {Undecided: true, Paused: true}}, assignmentsFromRules(consensus.Strictest(one, two)))
}

func TestAssignmentsView(t *testing.T) {
	n, others := &node{clock: clock.System()}, &fellows{}
	require.Equal(t, assignmentsView{}, n.assignmentsView())
	n.others = others
	require.Equal(t, assignmentsView{}, n.assignmentsView())
	s := pg.TenantStats{Database: "orders", Sessions: 3, Queued: 2, Rejected: 1, Sticky: []pg.StickyStats{{Pool: "main", Host: "a", Cause: "LISTEN", Sessions: 1}}}
	s.Describe(session.Assignment{HasGroup: true, Group: 7, Paused: true, PausedSince: clock.System().Now() - 1500})
	f := pg.TenantStats{Database: "stock"}
	f.Describe(session.Assignment{Undecided: true})
	var out strings.Builder
	w := bufio.NewWriter(&out)
	writeAssignmentTable(w, &assignmentsView{On: true, Assignments: []pg.TenantStats{s, f, {Database: "web", State: "open"}}})
	require.NoError(t, w.Flush())
	for _, want := range []string{"orders\t7\tpaused", "(1.5s)", "3\t0\t2\t0\t1\t1 of pool main at a: LISTEN", "stock\tnot agreed\tfenced", "web\tthe pool's\topen"} {
		require.Contains(t, out.String(), want)
	}
}

// The whole program: a database is paused, moved and opened by what its poolers agree on, and its clients see a wait.
func TestProgramReassignsDatabase(t *testing.T) {
	var hosts []*lab.Host
	var clusters []*lab.Cluster
	var entries []string
	for group := uint64(1); group <= 2; group++ {
		c := lab.NewCluster(group, group)
		h, err := c.Add(fmt.Sprint("h", group), "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(h.Stop)
		hosts, clusters = append(hosts, h), append(clusters, c)
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"postgresql","group":%d,"status":"active","weight":1,"since_ms":0,"part":"master"}`, h.Name, h.Address, group))
	}
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	program := filepath.Join(dir, "ashstand")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	require.NoError(t, runner.Bootstrap(vfs.OS{}, filepath.Join(dir, "agreed"), "n1", []string{"n1"}))
	discovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	pooled, admin := free(t), "unix:"+filepath.Join(dir, "admin.sock")
	file := write("ashstand.hcl", fmt.Sprintf(`admin { listen = %q }
sessions {
  listen = %q
  pool "main" {
    read_only  = "my-library"
    read_write = "donate"
    group      = 1
    hold       = "30s"
    patience   = "30s"
  }
}
cluster {
  name   = "n1"
  listen = %q
  keys   = %q
  agreement {
    voters = ["n1"]
    folder = %q
    limits = %q
    lease  = "600ms"
    renew  = "50ms"
  }
}`, admin, pooled, free(t), write("keys", base64.StdEncoding.EncodeToString(make([]byte, 32))+"\n"), filepath.Join(dir, "agreed"),
		write("limits.json", `{"database.orders.group": 1, "database.orders.paused": true}`)))
	cmd, logged := exec.Command(program, "serve", "--file", file), new(record)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+write("config.json", fmt.Sprintf(configuration, free(t), discovery.Listener.Addr().String(),
		fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ",")), site)))
	cmd.Stderr = logged
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		if t.Failed() {
			t.Log(logged.String())
		}
	})
	run := func(words ...string) (string, error) {
		out, err := exec.Command(program, append(words, "--admin", admin)...).CombinedOutput()
		return string(out), err
	}
	propose := func(text string) {
		t.Helper()
		path := write("rules.json", text)
		last := ""
		require.Eventually(t, func() bool {
			var err error
			last, err = run("cluster", "propose", path)
			return err == nil
		}, 20*time.Second, 20*time.Millisecond, "%s", &last)
	}
	var seen assignmentsView
	shows := func(what string, is func(h pg.TenantStats) bool) {
		t.Helper()
		require.Eventually(t, func() bool {
			out, err := run("cluster", "assignments", "--json")
			seen = assignmentsView{}
			return err == nil && json.Unmarshal([]byte(out), &seen) == nil && len(seen.Assignments) > 0 && is(seen.Assignments[0])
		}, 20*time.Second, 10*time.Millisecond, what)
	}
	propose(`{"database.orders.group": 1}`)
	shows("at 1", func(h pg.TenantStats) bool { return h.State == "open" && h.Group != nil && *h.Group == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var c *pgx.Conn
	require.Eventually(t, func() bool {
		c, err = pgx.Connect(ctx, "postgres://web@"+pooled+"/orders?sslmode=disable")
		return err == nil
	}, 20*time.Second, 20*time.Millisecond)
	insert := func(ref string) error {
		_, err := c.Exec(ctx, "INSERT INTO entries (ref, payload) VALUES ('"+ref+"', '1')")
		return err
	}
	require.NoError(t, insert("before"))
	propose(`{"database.orders.group": 1, "database.orders.paused": true}`)
	shows("paused", func(h pg.TenantStats) bool { return h.State == "paused" && h.PausedSince > 0 })
	done := make(chan error, 1)
	go func() { done <- insert("moved") }()
	shows("held", func(h pg.TenantStats) bool { return h.Queued == 1 && h.Sessions == 1 })
	propose(`{"database.orders.group": 2, "database.orders.paused": true}`)
	shows("moved, and still held", func(h pg.TenantStats) bool { return h.Queued == 1 && h.Group != nil && *h.Group == 2 })
	propose(`{"database.orders.group": 2}`)
	require.NoError(t, <-done)
	table, err := run("cluster", "assignments")
	require.NoError(t, err)
	require.Regexp(t, `orders +2 +open +- +1 +0 +0 +1 +0 +-`, table)
	for i, want := range [][2]int{{1, 0}, {0, 1}} {
		require.Equal(t, want, [2]int{clusters[i].Versions("public", "entries", "before"), clusters[i].Versions("public", "entries", "moved")}, hosts[i].Name)
	}
}

// A look into the table, and what a change of the rules costs once: the meeting of two versions with 1000 databases each.
func BenchmarkHomes(b *testing.B) {
	r, err := runner.Start(runner.Options{Config: consensus.Config{
		Name: "n4", Incarnation: 1, Voters: []string{"n1"}, LeaseMillis: 600, ClockDrift: 0.01, RenewIntervalMillis: 40, ElectionTimeoutMillis: 50,
		Format: 1, Seed: 1,
	}, Clock: clock.System(), Send: func(string, []byte) {}})
	require.NoError(b, err)
	defer r.Stop()
	h := &assignments{consensus: r}
	b.Run("look", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			h.Assignment("orders", 1)
		}
	})
	one, two := consensus.Rules{}, consensus.Rules{}
	for i := range 1000 {
		one[fmt.Sprintf("database.d%d.group", i)], two[fmt.Sprintf("database.d%d.group", i)] = 1.0, 1.0
		two[fmt.Sprintf("database.d%d.paused", i)] = true
	}
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			if len(assignmentsFromRules(consensus.Strictest(one, two))) != 1000 {
				b.Fatal("databases are missing")
			}
		}
	})
}
