package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSchedulerSelectsHolder(t *testing.T) {
	cfg := SchedulerConfig{StallMillis: 1000, MinTenureMillis: 200, BackoffMillis: 2000, SettledMillis: 500, RetryMillis: 50}
	healthy := Report{Kinds: []string{"k"}, AcceptsJobs: true, Healthy: true, ReachableGroups: []uint64{1, 2}, UptimeMillis: 1000}
	with := func(name string, change func(*Report)) Candidate {
		r := healthy
		if change != nil {
			change(&r)
		}
		return Candidate{Name: name, Incarnation: uint64(name[1]), LeaseUntil: 1e9, Report: r}
	}
	create := []Entry{{Type: EntryCreate, Job: "w", JobKind: "k", RequiredGroups: []uint64{1, 2}}}
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       string
	}{
		{"first of equals", []Candidate{with("n2", nil), with("n1", nil)}, "n1"},
		{"reaches more groups", []Candidate{with("n1", func(r *Report) { r.ReachableGroups = []uint64{1} }), with("n2", nil)}, "n2"},
		{"reach before health", []Candidate{with("n1", func(r *Report) { r.Healthy = false }), with("n2", func(r *Report) { r.ReachableGroups = nil })}, "n1"},
		{"healthy", []Candidate{with("n1", func(r *Report) { r.Healthy = false }), with("n2", nil)}, "n2"},
		{"not shutting down", []Candidate{with("n1", func(r *Report) { r.AcceptsJobs = false }), with("n2", nil)}, "n2"},
		{"implements the kind", []Candidate{with("n1", func(r *Report) { r.Kinds = nil }), with("n2", nil)}, "n2"},
		{"lease runs", []Candidate{{Name: "n1", LeaseUntil: 50, Report: healthy}, with("n2", nil)}, "n2"},
		{"settled", []Candidate{with("n1", func(r *Report) { r.UptimeMillis = 10 }), with("n2", nil)}, "n2"},
		{"local", []Candidate{with("n1", nil), with("n2", func(r *Report) { r.LocalGroups = []uint64{2} })}, "n2"},
		{"less loaded", []Candidate{with("n1", func(r *Report) { r.Load = 0.9 }), with("n2", nil)}, "n2"},
		{"unsettled rather than none", []Candidate{with("n1", func(r *Report) { r.UptimeMillis, r.Healthy, r.ReachableGroups = 0, false, nil })}, "n1"},
		{"no candidate", nil, ""},
	} {
		m := applyAll(t, create...)
		out := NewScheduler(cfg).Tick(100, m, c.candidates, false)
		if c.want == "" {
			require.Empty(t, out, c.name)
			continue
		}
		require.Len(t, out, 1, c.name)
		require.Equal(t, c.want, out[0].Holder, c.name)
	}
	// Jobs are spread over the candidates.
	m := applyAll(t, append(create, Entry{Type: EntryCreate, Job: "x", JobKind: "k"})...)
	out := NewScheduler(cfg).Tick(100, m, []Candidate{with("n1", nil), with("n2", nil)}, false)
	require.Len(t, out, 2)
	require.NotEqual(t, out[0].Holder, out[1].Holder)
}

func TestSchedulerReplacesHolder(t *testing.T) {
	cfg := SchedulerConfig{StallMillis: 1000, MinTenureMillis: 200, BackoffMillis: 2000, SettledMillis: 0, RetryMillis: 50}
	m := applyAll(t, Entry{Type: EntryCreate, Job: "w", JobKind: "k"})
	scheduler := NewScheduler(cfg)
	candidates := []Candidate{{Name: "n1", Incarnation: 1, LeaseUntil: 1e9}, {Name: "n2", Incarnation: 2, LeaseUntil: 1e9}}
	progress := map[string]uint64{}
	now := 0.0
	tick := func(to float64, progresses bool) {
		for ; now < to; now += 10 {
			if w := m.Jobs["w"]; progresses && w.Holder != "" {
				progress[w.Holder]++
			}
			for i := range candidates {
				candidates[i].Report = Report{Kinds: []string{"k"}, AcceptsJobs: true, Healthy: true, Progress: map[string]uint64{"w": progress[candidates[i].Name]}}
			}
			for _, e := range scheduler.Tick(now, m, candidates, false) {
				require.Nil(t, m.Apply(e))
			}
		}
	}
	tick(5000, true)
	job := *m.Jobs["w"]
	require.Equal(t, 1, job.HolderCount, "a holder with progress stays")
	require.Equal(t, "n1", job.Holder)
	// The holder keeps its lease but makes no progress: after StallMillis the job is assigned to another candidate, and the
	// first one is not eligible for a while.
	stalled := now
	for m.Jobs["w"].Holder == "n1" {
		tick(now+10, false)
	}
	require.InDelta(t, cfg.StallMillis, now-stalled, 40)
	require.Equal(t, "n2", m.Jobs["w"].Holder)
	tick(now+4000, true)
	require.Equal(t, 2, m.Jobs["w"].HolderCount, "the second one makes progress")
	// The second holder's process ends: the job goes back to the first, although it stalled before. A new leader waits until
	// it knows the leases.
	candidates = candidates[:1]
	require.Empty(t, scheduler.Tick(now, m, candidates, true))
	tick(now+100, true)
	require.Equal(t, "n1", m.Jobs["w"].Holder)
	// The only candidate keeps the job even without progress.
	tick(now+5000, false)
	require.Equal(t, 3, m.Jobs["w"].HolderCount)
	// The holder releases the job because its process ends. It is not assigned the job again, although its report still says
	// that it accepts jobs; the next process of the same name is.
	job = *m.Jobs["w"]
	require.Nil(t, m.Apply(Entry{Type: EntryRelease, Job: "w", Token: job.Token}))
	tick(now+300, true)
	require.Empty(t, m.Jobs["w"].Holder)
	candidates[0].Incarnation = 3
	tick(now+100, true)
	require.Equal(t, "n1", m.Jobs["w"].Holder)
	// A host has seen a higher token: the job is assigned again with a token above that.
	require.Nil(t, m.Apply(Entry{Type: EntryRaiseToken, Job: "w", Token: 70}))
	require.Empty(t, m.Jobs["w"].Holder)
	tick(now+100, true)
	require.Equal(t, FencingToken(71), m.Jobs["w"].Token)
}
