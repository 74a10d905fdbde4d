package soak

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/testbed/report"
)

// A seed draws one schedule, faults of a group overlap, and the end is quiet.
func TestSchedulesOverlap(t *testing.T) {
	p := Draw(7, 30, time.Minute, nil)
	require.Equal(t, p, Draw(7, 30, time.Minute, nil))
	require.NotEqual(t, p.Faults, Draw(8, 30, time.Minute, nil).Faults)
	require.Greater(t, len(p.Faults), 80)
	groups := map[Millis]int{}
	for _, f := range p.Faults {
		group := (f.At - 1000) / groupInterval
		groups[group]++
		require.Less(t, f.At-1000-group*groupInterval, Millis(groupSpread))
		require.Less(t, f.At, p.Length-idleEnd+groupSpread)
	}
	for _, n := range groups {
		require.GreaterOrEqual(t, n, 2)
	}
	for _, f := range Draw(7, 3, 20*time.Second, []Kind{Halt}).Faults {
		require.Equal(t, Halt, f.Kind)
	}
}

func TestASchedulesFileIsChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	want := Draw(3, 4, 20*time.Second, nil)
	require.NoError(t, WriteSchedule(want, path))
	got, err := LoadPlan(path)
	require.NoError(t, err)
	require.Equal(t, want, got)
	want.Faults[1].Pooler = 4
	require.NoError(t, WriteSchedule(want, path))
	_, err = LoadPlan(path)
	require.ErrorContains(t, err, "faults[1]")
}

// What a schedule fails by is left, and nothing else.
func TestShrinkLeavesWhatFails(t *testing.T) {
	p := Draw(5, 4, time.Minute, nil)
	p.Faults[10].Kind, p.Faults[31].Kind = "one", "other"
	has := func(p Plan, k Kind) bool {
		for _, f := range p.Faults {
			if f.Kind == k {
				return true
			}
		}
		return false
	}
	got, err := Shrink(p, func(p Plan) (bool, error) { return has(p, "one") && has(p, "other"), nil })
	require.NoError(t, err)
	require.Len(t, got.Faults, 2)
	_, err = Shrink(p, func(Plan) (bool, error) { return false, errors.New("it could not run") })
	require.Error(t, err)
}

// Each check of the judge, at its bound and past it.
func TestTheJudgeFindsEachBreak(t *testing.T) {
	now := time.Now()
	for _, k := range []struct {
		name   string
		broken string // "": none
		play   func(j *judge, r *request)
	}{
		{"in time", "", func(j *judge, r *request) { j.answered(r, "served") }},
		{"late", late, func(j *judge, r *request) {
			r.dueFrom = now.Add(-r.deadline - lateGrace - machineSlack - time.Second)
			j.answered(r, "served")
		}},
		{"crossed a close", "", func(j *judge, r *request) { j.closed([]*request{r}, errors.New("closed")) }},
		{"a host had it", unanswered, func(j *judge, r *request) {
			j.sighted("h", "/* id=r,c=browse */", now)
			j.closed([]*request{r}, errors.New("closed"))
		}},
		{"it lay there", unanswered, func(j *judge, r *request) {
			r.writtenAt = now.Add(-unreadGrace - time.Second)
			j.closed([]*request{r}, errors.New("closed"))
		}},
		{"its pooler was killed", "", func(j *judge, r *request) {
			j.sighted("h", "/* id=r,c=browse */", now)
			j.kill("n1")
			j.closed([]*request{r}, errors.New("closed"))
		}},
		{"written twice", duplicateWrite, func(_ *judge, r *request) { r.ref = "two" }},
		{"acknowledged and gone", lostCommit, func(j *judge, r *request) {
			r.ref = "none"
			j.answered(r, "served")
		}},
		{"rejected and gone", "", func(j *judge, r *request) {
			r.ref = "none"
			j.answered(r, "53300")
		}},
		{"after its client", sentAfterDisconnect, func(j *judge, r *request) {
			r.disconnectedAt = now
			j.sighted("h", "/* id=r,c=browse */", now.Add(disconnectGrace+machineSlack+time.Millisecond))
		}},
		{"after its client, over a link that held it", "", func(j *judge, r *request) {
			r.disconnectedAt = now
			defer j.troubled("n1>h")()
			j.sighted("h", "/* id=r,c=browse */", now.Add(time.Second))
		}},
		{"an older payload than was written", missedOwnWrite, func(j *judge, r *request) { j.read(r, "2", "3") }},
		{"a write that was given up came later", "", func(j *judge, r *request) { j.read(r, "4", "3") }},
		{"draining", sentToDraining, func(j *judge, _ *request) {
			j.drains["h"] = []interval{{from: now}}
			j.sighted("h", "/* id=r,c=browse */", now.Add(drainGrace+machineSlack+time.Millisecond))
		}},
		{"draining, and discovery was silent", "", func(j *judge, _ *request) {
			j.drains["h"] = []interval{{from: now}}
			j.troubles["n1>discovery"] = []interval{{from: now, till: now.Add(time.Second)}}
			j.sighted("h", "/* id=r,c=browse */", now.Add(5*time.Second))
		}},
	} {
		t.Run(k.name, func(t *testing.T) {
			g := report.New("soak", 1)
			j := newJudge(g, machineSlack)
			j.payloads = func(string) []string { return []string{"1", "2", "3", "4"} }
			r := &request{id: "r", class: "browse", pooler: "n1", deadline: time.Second, writtenAt: now, dueFrom: now}
			j.began(r)
			k.play(j, r)
			j.finish(func(ref string) int { return map[string]int{"two": 2}[ref] })
			want := map[string]int{}
			if k.broken != "" {
				want[k.broken] = 1
			}
			require.Equal(t, want, g.Result(1).Broken)
		})
	}
}

// Every schedule of the corpus, on a few real processes. One that fails somewhere is shrunk and put beside them.
func TestTheCorpusHolds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ashstand")
	out, err := exec.Command("go", "build", "-o", program, "ashstand/cmd/ashstand").CombinedOutput()
	require.NoError(t, err, "%s", out)
	entries, err := os.ReadDir("testdata")
	require.NoError(t, err)
	require.NotEmpty(t, entries)
	for _, e := range entries {
		t.Run(e.Name(), func(t *testing.T) {
			p, err := LoadPlan(filepath.Join("testdata", e.Name()))
			require.NoError(t, err)
			r, err := Run(context.Background(), Options{Plan: p, Clients: 5, Pooler: program, Slack: 3 * time.Second})
			require.NoError(t, err)
			require.Greater(t, r.Requests.Served, 100)
			require.True(t, r.Passed(), "%v\n%v", r.Broken, r.Notes)
		})
	}
}
