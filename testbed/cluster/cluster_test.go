package cluster

import (
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/membership"
)

// echo answers streams and datagrams with what it gets.
func echo(t *testing.T) (address string, got chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u, err := net.ListenPacket("udp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { l.Close(); _ = u.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	got = make(chan string, 1000)
	go func() {
		b := make([]byte, 1000)
		for {
			n, _, err := u.ReadFrom(b)
			if err != nil {
				return
			}
			got <- string(b[:n])
		}
	}()
	return l.Addr().String(), got
}

func TestALinkHasItsTroubles(t *testing.T) {
	to, got := echo(t)
	l, err := NewLink("a", "b", func() string { return to }, true, 1)
	require.NoError(t, err)
	defer l.Close()
	m := NewMesh()
	m.Add(l)
	c, err := net.Dial("tcp", l.Address)
	require.NoError(t, err)
	u, err := net.Dial("udp", l.Address)
	require.NoError(t, err)
	ask := func(within time.Duration) (took time.Duration, ok bool) {
		begun := time.Now()
		_ = c.SetDeadline(begun.Add(within))
		if _, err := c.Write([]byte("x")); err != nil {
			return 0, false
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return time.Since(begun), err == nil
	}
	heard := func(n int) (out []string) {
		for range n {
			_, _ = u.Write([]byte{byte('a' + len(out)%26)})
			select {
			case s := <-got:
				out = append(out, s)
			case <-time.After(100 * time.Millisecond):
			}
		}
		return out
	}
	_, ok := ask(time.Second)
	require.True(t, ok)
	require.Len(t, heard(3), 3)

	lift := m.Impair("a", "b", LinkFault{Delay: 50 * time.Millisecond})
	took, ok := ask(time.Second)
	require.True(t, ok)
	require.GreaterOrEqual(t, took, 50*time.Millisecond)
	lift()
	lift = m.Impair("a", "b", LinkFault{Loss: 1})
	require.Empty(t, heard(2))
	lift()
	lift = m.Impair("a", "b", LinkFault{Double: 1})
	require.Len(t, heard(1), 1)
	require.Equal(t, "a", <-got, "the second copy")
	lift()
	lift = m.Impair("a", "b", LinkFault{Drop: true})
	m.ImpairBoth("a", "b", LinkFault{Drop: true})() // another that ends sooner takes nothing away
	require.Empty(t, heard(1))
	_, ok = ask(100 * time.Millisecond)
	require.False(t, ok)
	lift()
	_, err = io.ReadFull(c, make([]byte, 1))
	require.Error(t, err, "its deadline is over")
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = io.ReadFull(c, make([]byte, 1))
	require.NoError(t, err, "a stream goes on where it stood")

	lift = m.Impair("a", "b", LinkFault{Stall: true})
	require.Empty(t, heard(2))
	lift()
	require.Equal(t, []string{"a", "a"}, []string{<-got, <-got}, "let go again")
	lift = m.Impair("b", "a", LinkFault{Drop: true}) // the way back
	_, ok = ask(100 * time.Millisecond)
	require.False(t, ok)
	require.Len(t, heard(1), 1, "the way forth is as it was")
	lift()
	m.Reset("a", "b")
	require.Eventually(t, func() bool { _, ok := ask(50 * time.Millisecond); return !ok }, time.Second, time.Millisecond)
}

func TestPlans(t *testing.T) {
	rest := 10 * time.Second
	p := Draw(7, 5, time.Minute, 100*time.Millisecond, rest, AllKinds(true))
	require.Equal(t, p, Draw(7, 5, time.Minute, 100*time.Millisecond, rest, AllKinds(true)), "the same seed, the same plan")
	require.NotEqual(t, p.Faults, Draw(8, 5, time.Minute, 100*time.Millisecond, rest, AllKinds(true)).Faults)
	seen := map[string]bool{}
	for _, f := range p.Faults {
		seen[f.Kind] = true
		require.True(t, f.harmless() || f.At.D()+f.For.D() <= time.Minute-rest+time.Second, "the end is quiet")
	}
	aimed := 0 // at owners: they are no part of a drawn plan
	for _, needs := range Kinds {
		if needs == "owner" {
			aimed++
		}
	}
	require.Len(t, seen, len(Kinds)-aimed)
	at := map[string]int{}
	for i, k := range spread(AllKinds(true)) {
		at[k] = i
	}
	for _, pair := range [][2]string{{"all killed", "lost folder"}, {"lost folder", "old folder"}, {"all killed", "old folder"}} {
		require.Greater(t, max(at[pair[0]], at[pair[1]])-min(at[pair[0]], at[pair[1]]), 6, "%v are healed one after the other", pair)
	}
	path := filepath.Join(t.TempDir(), "p.json")
	require.NoError(t, p.Save(path))
	again, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, p, again)
	for text, want := range map[string]string{
		`{"poolers":1}`: "poolers: 1", `{`: "p.json", `{"poolers":3,"faults":[{"kind":"rain"}]}`: `faults[0]: kind "rain" is unknown`,
		`{"poolers":3,"faults":[{"kind":"cut","a":"n1","b":"n9"}]}`: "cut takes two poolers", `{"poolers":3,"faults":[{"kind":"kill"}]}`: "kill takes a pooler",
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(path)
		require.ErrorContains(t, err, want)
	}
	require.True(t, apart([][]string{{"a", "b"}, {"b", "c"}}, "a", "c"))
	require.False(t, apart([][]string{{"a", "b"}, {"b", "c"}}, "b", "c"))
}

// A plan that fails for two of its faults shrinks to these.
func TestShrink(t *testing.T) {
	p := Draw(3, 5, time.Minute, 100*time.Millisecond, 10*time.Second, AllKinds(true))
	tries := 0
	small, err := Shrink(p, 200, func(q Plan) (bool, error) {
		tries++
		has := func(k string) bool { return slices.ContainsFunc(q.Faults, func(f Fault) bool { return f.Kind == k }) }
		return has("kill") && has("partition"), nil
	})
	require.NoError(t, err)
	require.Len(t, small.Faults, 2)
	require.Less(t, tries, 100)
}

// Real processes with faults between them; the same with a guarantee switched off turns red.
func TestThreePoolersThroughFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ashstand")
	out, err := exec.Command("go", "build", "-o", program, "ashstand/cmd/ashstand").CombinedOutput()
	require.NoError(t, err, "%s", out)
	const probe = 50 * time.Millisecond
	rest := time.Duration(membership.ConvergenceBoundMillis(3, probe)*1e6) + 3*time.Second
	for _, broken := range []string{"", "rejoin"} {
		t.Run("break "+broken, func(t *testing.T) {
			t.Parallel()
			p := Draw(5, 3, 12*time.Second+rest, probe, rest, nil)
			p.Break = broken
			p.Faults = []Fault{
				{At: 300, For: 8000, Kind: "partition", Parts: [][]string{{"n1"}, {"n2", "n3"}}},
				{At: 9000, For: 1500, Kind: "kill", A: "n2"},
				{At: 9000, For: 100, Kind: "garbage", A: "n3"},
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			o, err := RunMembership(ctx, Options{Plan: p, Pooler: program, Clients: 1})
			require.NoError(t, err)
			require.Len(t, o.Result.Faults, 3)
			if broken == "" {
				require.True(t, o.Result.Passed(), "%v\n%v", o.Result.Broken, o.Result.Notes)
				require.Positive(t, o.Result.Requests.Served)
				page := filepath.Join(t.TempDir(), "p.html")
				require.NoError(t, o.Page(page))
				text, err := os.ReadFile(page)
				require.NoError(t, err)
				require.Contains(t, string(text), "partition [n1] [n2 n3]")
				var b strings.Builder
				require.NoError(t, o.Print(&b))
				require.Contains(t, b.String(), "n2 gone, it was")
			} else {
				require.Positive(t, o.Result.Broken["wrong_view"])
			}
		})
	}
}

// Drawn schedules of messages, crashes and clocks hold every guarantee, a seed is the same twice, and each guarantee that
// is switched off is seen to be missing.
func TestAgreementInSimulation(t *testing.T) {
	for _, broken := range append([]string{""}, consensus.BreakableGuarantees...) {
		schedules := 300
		if broken != "" {
			schedules = 30
		}
		r := SimulateMany(context.Background(), 1, schedules, 3500, broken, runtime.NumCPU())
		if broken != "" {
			require.False(t, r.Passed(), "without %s", broken)
			continue
		}
		require.True(t, r.Passed(), "%v\n%s", r.Broken, strings.Join(r.Notes, "\n"))
		require.Greater(t, r.Baseline["versions in force"], float64(2*schedules))
		for _, f := range []string{"killed", "killed, folder lost", "killed before a save", "killed after a save", "stopped", "partition", "cut one way", "loss", "gone for good"} {
			require.Positive(t, r.Faults[f], f)
		}
	}
	// A change of voters that was applied and not kept: two of three started again between the old voters and the new, and the
	// one whose word both majorities needed had lost its folder since.
	require.Zero(t, Simulate(48470, 3, 3500, "").Broken["stuck"])
	require.Equal(t, Simulate(4, 5, 3500, ""), Simulate(4, 5, 3500, ""))
	require.NotEqual(t, Simulate(4, 5, 3500, "").Trace, Simulate(5, 5, 3500, "").Trace)
}
