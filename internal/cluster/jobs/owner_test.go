package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// applyAll applies entries and requires that none is refused.
func applyAll(t *testing.T, entries ...Entry) *StateMachine {
	l := &StateMachine{}
	for _, e := range entries {
		require.Nil(t, l.Apply(e), "%+v", e)
	}
	return l
}

func operation(n uint64) *Operation { return &Operation{Number: n, Name: fmt.Sprint("d", n)} }

func TestApplyRejects(t *testing.T) {
	and := func(before []Entry, e Entry) []Entry { return append(slices.Clone(before), e) }
	owned := []Entry{{Type: EntryCreate, Job: "w", JobKind: "k"}, {Type: EntryAssign, Job: "w", Holder: "n1", Incarnation: 1}}
	open := and(owned, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1)})
	second := and(open, Entry{Type: EntryAssign, Job: "w", Token: 1, Holder: "n2", Incarnation: 2})
	worded := and(owned, Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go", By: "ann"}})
	ended := and(open, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1), Finished: true})
	for _, c := range []struct {
		name   string
		before []Entry
		e      Entry
		want   RejectCode
	}{
		{"none of that name", nil, Entry{Type: EntryRelease, Job: "w"}, RejectUnknownJob},
		{"one is there", owned, Entry{Type: EntryCreate, Job: "w", JobKind: "k"}, RejectJobExists},
		{"two owners named at once", owned, Entry{Type: EntryAssign, Job: "w", Token: 0, Holder: "n2"}, RejectStaleToken},
		{"an old owner announces", second, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(2)}, RejectStaleToken},
		{"an old owner proves", second, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)}, RejectStaleToken},
		{"an old owner gives it back", second, Entry{Type: EntryRelease, Job: "w", Token: 1}, RejectStaleToken},
		{"an old owner acts on the log", second, Entry{Type: EntryAuthorize, Job: "w", Token: 1}, RejectStaleToken},
		{"a token that nobody was given", owned, Entry{Type: EntryAnnounce, Job: "w", Token: 9, Operation: operation(1)}, RejectNotHolder},
		{"nobody owns it", owned[:1], Entry{Type: EntryAnnounce, Job: "w", Operation: operation(1)}, RejectNotHolder},
		{"a second deed", open, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(2)}, RejectOperationOpen},
		{"a deed's number is skipped", owned, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(2)}, RejectOperationNotOpen},
		{"a deed announced for an earlier step", and(open, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)}), Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1)}, RejectWrongStep},
		{"a proof of nothing", owned, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)}, RejectOperationNotOpen},
		{"a proof of another deed", open, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "x"}}, RejectOperationNotOpen},
		{"a word for a step that has passed", and(open, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)}), Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go"}}, RejectWrongStep},
		{"two operators at one step", worded, Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "rollback"}}, RejectAlreadyApproved},
		{"a deed takes up a word that is not there", owned, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1), Approval: &Approval{Action: "go"}}, RejectWrongStep},
		{"it has ended", ended, Entry{Type: EntryAssign, Job: "w", Token: 1, Holder: "n2"}, RejectJobFinished},
		{"no op", nil, Entry{Type: "x", Job: "w"}, RejectMalformed},
		{"no name", nil, Entry{Type: EntryCreate, JobKind: "k"}, RejectMalformed},
		{"a spec that is no JSON", nil, Entry{Type: EntryCreate, Job: "w", JobKind: "k", Spec: []byte("{")}, RejectMalformed},
		{"a spec too long", nil, Entry{Type: EntryCreate, Job: "w", JobKind: "k", Spec: make([]byte, maxPayloadBytes+1)}, RejectLimitExceeded},
	} {
		l := applyAll(t, c.before...)
		was, _ := json.Marshal(l)
		r := l.Apply(c.e)
		require.NotNil(t, r, c.name)
		require.Equal(t, c.want, r.Reason, c.name)
		require.NotEmpty(t, r.Advice(), c.name)
		require.NotContains(t, r.Error(), "%!", c.name)
		now, _ := json.Marshal(l)
		require.Equal(t, string(was), string(now), "%s: what is refused changes nothing", c.name)
	}
}

func TestApprovals(t *testing.T) {
	l := applyAll(t, Entry{Type: EntryCreate, Job: "w", JobKind: "k"}, Entry{Type: EntryAssign, Job: "w", Holder: "n1"}, Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go"}})
	// A deed takes the word up, is found not done, and the word is there again; proven, it is gone.
	take := Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1), Approval: &Approval{Action: "go"}}
	require.Nil(t, l.Apply(take))
	require.Nil(t, l.Jobs["w"].Approval)
	require.Nil(t, l.Apply(Entry{Type: EntryAbort, Job: "w", Token: 1, Operation: operation(1)}))
	require.Equal(t, "go", l.Jobs["w"].Approval.Action)
	take.Operation = operation(2) // each announced deed has a number of its own
	require.Nil(t, l.Apply(take))
	// Rollback ordered while go is carried out: it is for the step before, and still counts after it.
	require.Nil(t, l.Apply(Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "rollback", Persistent: true}}))
	require.Nil(t, l.Apply(Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(2), State: []byte(`{}`)}))
	require.Equal(t, uint64(1), l.Jobs["w"].Step)
	require.Equal(t, "rollback", l.Jobs["w"].Approval.Action)
	require.Equal(t, RejectAlreadyApproved, l.Apply(Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go", Step: 1}}).Reason)
	// A go that was given while a deed of the step was under way does not count for the next.
	l = applyAll(t, Entry{Type: EntryCreate, Job: "w", JobKind: "k"}, Entry{Type: EntryAssign, Job: "w", Holder: "n1"}, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1)},
		Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go"}}, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)})
	require.Nil(t, l.Jobs["w"].Approval)
}

func TestStateMachineLimits(t *testing.T) {
	l := &StateMachine{}
	for i := range maxOpenJobs {
		require.Nil(t, l.Apply(Entry{Type: EntryCreate, Job: fmt.Sprint("w", i), JobKind: "k"}))
	}
	require.Equal(t, RejectLimitExceeded, l.Apply(Entry{Type: EntryCreate, Job: "more", JobKind: "k"}).Reason)
	for i := range 3 * maxFinishedJobs {
		name := fmt.Sprint("w", i%maxOpenJobs)
		if i >= maxOpenJobs {
			name = fmt.Sprint("x", i)
			require.Nil(t, l.Apply(Entry{Type: EntryCreate, Job: name, JobKind: "k"}))
		}
		require.Nil(t, l.Apply(Entry{Type: EntryAssign, Job: name, Holder: "n1"}))
		w := l.Jobs[name]
		require.Nil(t, l.Apply(Entry{Type: EntryAnnounce, Job: name, Token: w.Token, Operation: operation(1)}))
		require.Nil(t, l.Apply(Entry{Type: EntryConfirm, Job: name, Token: w.Token, Operation: operation(1), Finished: true}))
		require.LessOrEqual(t, len(l.Jobs), maxOpenJobs+maxFinishedJobs)
	}
}

// Whatever comes in, in whatever order: tokens rise, a work's last token is the highest that was ever proven by, and each
// number is proven once.
func TestTokensNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &StateMachine{}
		tokens, proven := map[string]FencingToken{}, map[string]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "entries") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "work")
			n := uint64(rapid.IntRange(0, 4).Draw(t, "number"))
			e := Entry{
				Type: rapid.SampledFrom([]EntryType{EntryCreate, EntryAssign, EntryAssign, EntryRelease, EntryAnnounce, EntryAnnounce, EntryConfirm, EntryAbort, EntryApprove, EntryRaiseToken, EntryAuthorize}).Draw(t, "op"), Job: name, JobKind: "k", Holder: "n1",
				Token: FencingToken(rapid.IntRange(0, 9).Draw(t, "token")), Step: uint64(rapid.IntRange(0, 4).Draw(t, "step")), Approval: nil,
			}
			if w := l.Jobs[name]; w != nil && rapid.Bool().Draw(t, "apt") { // else hardly anything is taken
				e.Token, e.Step, n = w.Token, w.Step, w.NextOperationNumber()
				if w.Operation != nil {
					n = w.Operation.Number
				}
			}
			if e.Operation = operation(n); e.Type == EntryApprove {
				e.Approval = &Approval{Action: "go", Step: e.Step}
			}
			high := l.HighestToken
			var was FencingToken
			if w := l.Jobs[name]; w != nil {
				was = w.Token
			}
			r := l.Apply(e)
			require.GreaterOrEqual(t, l.HighestToken, high)
			if r != nil {
				continue
			}
			switch e.Type {
			case EntryAssign:
				require.Greater(t, l.Jobs[name].Token, high)
				for _, o := range tokens {
					require.Greater(t, l.Jobs[name].Token, o)
				}
				tokens[fmt.Sprint(i)] = l.Jobs[name].Token
			case EntryAnnounce, EntryConfirm, EntryAbort, EntryRelease, EntryAuthorize:
				require.Equal(t, was, e.Token)
			}
			if e.Type == EntryConfirm {
				k := e.Operation.ID(name)
				require.False(t, proven[k], k)
				proven[k] = true
			}
		}
	})
}

func TestSchedulerSelectsHolder(t *testing.T) {
	cfg := SchedulerConfig{StallMillis: 1000, MinTenureMillis: 200, BackoffMillis: 2000, SettledMillis: 500, RetryMillis: 50}
	fine := Report{Kinds: []string{"k"}, AcceptsJobs: true, Healthy: true, ReachableGroups: []uint64{1, 2}, UptimeMillis: 1000}
	with := func(name string, change func(*Report)) Candidate {
		r := fine
		if change != nil {
			change(&r)
		}
		return Candidate{Name: name, Incarnation: uint64(name[1]), LeaseUntil: 1e9, Report: r}
	}
	work := []Entry{{Type: EntryCreate, Job: "w", JobKind: "k", RequiredGroups: []uint64{1, 2}}}
	for _, c := range []struct {
		name  string
		cands []Candidate
		want  string
	}{
		{"the first of equals", []Candidate{with("n2", nil), with("n1", nil)}, "n1"},
		{"whoever reaches more", []Candidate{with("n1", func(r *Report) { r.ReachableGroups = []uint64{1} }), with("n2", nil)}, "n2"},
		{"reach before soundness", []Candidate{with("n1", func(r *Report) { r.Healthy = false }), with("n2", func(r *Report) { r.ReachableGroups = nil })}, "n1"},
		{"a sound one", []Candidate{with("n1", func(r *Report) { r.Healthy = false }), with("n2", nil)}, "n2"},
		{"no one that is about to end", []Candidate{with("n1", func(r *Report) { r.AcceptsJobs = false }), with("n2", nil)}, "n2"},
		{"no one whose program can't", []Candidate{with("n1", func(r *Report) { r.Kinds = nil }), with("n2", nil)}, "n2"},
		{"no one whose lease ran out", []Candidate{{Name: "n1", LeaseUntil: 50, Report: fine}, with("n2", nil)}, "n2"},
		{"a settled one", []Candidate{with("n1", func(r *Report) { r.UptimeMillis = 10 }), with("n2", nil)}, "n2"},
		{"one that is near", []Candidate{with("n1", nil), with("n2", func(r *Report) { r.LocalGroups = []uint64{2} })}, "n2"},
		{"the less loaded", []Candidate{with("n1", func(r *Report) { r.Load = 0.9 }), with("n2", nil)}, "n2"},
		{"a young one rather than none", []Candidate{with("n1", func(r *Report) { r.UptimeMillis, r.Healthy, r.ReachableGroups = 0, false, nil })}, "n1"},
		{"nobody", nil, ""},
	} {
		l := applyAll(t, work...)
		out := NewScheduler(cfg).Tick(100, l, c.cands, false)
		if c.want == "" {
			require.Empty(t, out, c.name)
			continue
		}
		require.Len(t, out, 1, c.name)
		require.Equal(t, c.want, out[0].Holder, c.name)
	}
	// Works are spread.
	l := applyAll(t, append(work, Entry{Type: EntryCreate, Job: "x", JobKind: "k"})...)
	out := NewScheduler(cfg).Tick(100, l, []Candidate{with("n1", nil), with("n2", nil)}, false)
	require.Len(t, out, 2)
	require.NotEqual(t, out[0].Holder, out[1].Holder)
}

func TestSchedulerReplacesHolder(t *testing.T) {
	cfg := SchedulerConfig{StallMillis: 1000, MinTenureMillis: 200, BackoffMillis: 2000, SettledMillis: 0, RetryMillis: 50}
	l := applyAll(t, Entry{Type: EntryCreate, Job: "w", JobKind: "k"})
	d := NewScheduler(cfg)
	cands := []Candidate{{Name: "n1", Incarnation: 1, LeaseUntil: 1e9}, {Name: "n2", Incarnation: 2, LeaseUntil: 1e9}}
	progress := map[string]uint64{}
	now := 0.0
	turn := func(to float64, moves bool) {
		for ; now < to; now += 10 {
			if w := l.Jobs["w"]; moves && w.Holder != "" {
				progress[w.Holder]++
			}
			for i := range cands {
				cands[i].Report = Report{Kinds: []string{"k"}, AcceptsJobs: true, Healthy: true, Progress: map[string]uint64{"w": progress[cands[i].Name]}}
			}
			for _, e := range d.Tick(now, l, cands, false) {
				require.Nil(t, l.Apply(e))
			}
		}
	}
	turn(5000, true)
	w := *l.Jobs["w"]
	require.Equal(t, 1, w.HolderCount, "one that gets on stays")
	require.Equal(t, "n1", w.Holder)
	// It holds its lease and gets nothing done: after the stated time another is named, and the first is passed over.
	stalled := now
	for l.Jobs["w"].Holder == "n1" {
		turn(now+10, false)
	}
	require.InDelta(t, cfg.StallMillis, now-stalled, 40)
	require.Equal(t, "n2", l.Jobs["w"].Holder)
	turn(now+4000, true)
	require.Equal(t, 2, l.Jobs["w"].HolderCount, "the second gets on")
	// Its process ends: the work goes back, though the first failed before. A new leader waits until it knows who is there.
	cands = cands[:1]
	require.Empty(t, d.Tick(now, l, cands, true))
	turn(now+100, true)
	require.Equal(t, "n1", l.Jobs["w"].Holder)
	// Alone, it stays, whatever it gets done.
	turn(now+5000, false)
	require.Equal(t, 3, l.Jobs["w"].HolderCount)
	// It gives the work back, since its process ends: it is not asked again, though it has not said so with a lease yet; its
	// next process is.
	w = *l.Jobs["w"]
	require.Nil(t, l.Apply(Entry{Type: EntryRelease, Job: "w", Token: w.Token}))
	turn(now+300, true)
	require.Empty(t, l.Jobs["w"].Holder)
	cands[0].Incarnation = 3
	turn(now+100, true)
	require.Equal(t, "n1", l.Jobs["w"].Holder)
	// A place that has seen a higher token: the work is given out again above it.
	require.Nil(t, l.Apply(Entry{Type: EntryRaiseToken, Job: "w", Token: 70}))
	require.Empty(t, l.Jobs["w"].Holder)
	turn(now+100, true)
	require.Equal(t, FencingToken(71), l.Jobs["w"].Token)
}
