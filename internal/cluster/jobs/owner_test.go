package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// ledger applies entries and requires that none is refused.
func ledger(t *testing.T, entries ...Entry) *Ledger {
	l := &Ledger{}
	for _, e := range entries {
		require.Nil(t, l.Apply(e), "%+v", e)
	}
	return l
}

func deed(n uint64) *Deed { return &Deed{Number: n, Name: fmt.Sprint("d", n)} }

func TestWhatTheLogRefuses(t *testing.T) {
	and := func(before []Entry, e Entry) []Entry { return append(slices.Clone(before), e) }
	owned := []Entry{{Op: Create, Work: "w", Kind: "k"}, {Op: Assign, Work: "w", To: "n1", Instance: 1}}
	open := and(owned, Entry{Op: Announce, Work: "w", Token: 1, Deed: deed(1)})
	second := and(open, Entry{Op: Assign, Work: "w", Token: 1, To: "n2", Instance: 2})
	worded := and(owned, Entry{Op: Say, Work: "w", Word: &Word{Say: "go", By: "ann"}})
	ended := and(open, Entry{Op: Prove, Work: "w", Token: 1, Deed: deed(1), Ended: true})
	for _, c := range []struct {
		name   string
		before []Entry
		e      Entry
		want   Code
	}{
		{"none of that name", nil, Entry{Op: Resign, Work: "w"}, NoWork},
		{"one is there", owned, Entry{Op: Create, Work: "w", Kind: "k"}, Exists},
		{"two owners named at once", owned, Entry{Op: Assign, Work: "w", Token: 0, To: "n2"}, TokenOld},
		{"an old owner announces", second, Entry{Op: Announce, Work: "w", Token: 1, Deed: deed(2)}, TokenOld},
		{"an old owner proves", second, Entry{Op: Prove, Work: "w", Token: 1, Deed: deed(1)}, TokenOld},
		{"an old owner gives it back", second, Entry{Op: Resign, Work: "w", Token: 1}, TokenOld},
		{"an old owner acts on the log", second, Entry{Op: Act, Work: "w", Token: 1}, TokenOld},
		{"a token that nobody was given", owned, Entry{Op: Announce, Work: "w", Token: 9, Deed: deed(1)}, NotOwner},
		{"nobody owns it", owned[:1], Entry{Op: Announce, Work: "w", Deed: deed(1)}, NotOwner},
		{"a second deed", open, Entry{Op: Announce, Work: "w", Token: 1, Deed: deed(2)}, DeedOpen},
		{"a deed's number is skipped", owned, Entry{Op: Announce, Work: "w", Token: 1, Deed: deed(2)}, NoDeed},
		{"a deed announced for an earlier step", and(open, Entry{Op: Prove, Work: "w", Token: 1, Deed: deed(1)}), Entry{Op: Announce, Work: "w", Token: 1, Deed: deed(1)}, StepPassed},
		{"a proof of nothing", owned, Entry{Op: Prove, Work: "w", Token: 1, Deed: deed(1)}, NoDeed},
		{"a proof of another deed", open, Entry{Op: Prove, Work: "w", Token: 1, Deed: &Deed{Number: 1, Name: "x"}}, NoDeed},
		{"a word for a step that has passed", and(open, Entry{Op: Prove, Work: "w", Token: 1, Deed: deed(1)}), Entry{Op: Say, Work: "w", Word: &Word{Say: "go"}}, StepPassed},
		{"two operators at one step", worded, Entry{Op: Say, Work: "w", Word: &Word{Say: "rollback"}}, WordThere},
		{"a deed takes up a word that is not there", owned, Entry{Op: Announce, Work: "w", Token: 1, Deed: deed(1), Word: &Word{Say: "go"}}, StepPassed},
		{"it has ended", ended, Entry{Op: Assign, Work: "w", Token: 1, To: "n2"}, HasEnded},
		{"no op", nil, Entry{Op: "x", Work: "w"}, Malformed},
		{"no name", nil, Entry{Op: Create, Kind: "k"}, Malformed},
		{"a spec that is no JSON", nil, Entry{Op: Create, Work: "w", Kind: "k", Spec: []byte("{")}, Malformed},
		{"a spec too long", nil, Entry{Op: Create, Work: "w", Kind: "k", Spec: make([]byte, mostBytes+1)}, TooMuch},
	} {
		l := ledger(t, c.before...)
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

func TestWords(t *testing.T) {
	l := ledger(t, Entry{Op: Create, Work: "w", Kind: "k"}, Entry{Op: Assign, Work: "w", To: "n1"}, Entry{Op: Say, Work: "w", Word: &Word{Say: "go"}})
	// A deed takes the word up, is found not done, and the word is there again; proven, it is gone.
	take := Entry{Op: Announce, Work: "w", Token: 1, Deed: deed(1), Word: &Word{Say: "go"}}
	require.Nil(t, l.Apply(take))
	require.Nil(t, l.Works["w"].Word)
	require.Nil(t, l.Apply(Entry{Op: Void, Work: "w", Token: 1, Deed: deed(1)}))
	require.Equal(t, "go", l.Works["w"].Word.Say)
	take.Deed = deed(2) // each announced deed has a number of its own
	require.Nil(t, l.Apply(take))
	// Rollback ordered while go is carried out: it is for the step before, and still counts after it.
	require.Nil(t, l.Apply(Entry{Op: Say, Work: "w", Word: &Word{Say: "rollback", Lasting: true}}))
	require.Nil(t, l.Apply(Entry{Op: Prove, Work: "w", Token: 1, Deed: deed(2), State: []byte(`{}`)}))
	require.Equal(t, uint64(1), l.Works["w"].Step)
	require.Equal(t, "rollback", l.Works["w"].Word.Say)
	require.Equal(t, WordThere, l.Apply(Entry{Op: Say, Work: "w", Word: &Word{Say: "go", Step: 1}}).Reason)
	// A go that was given while a deed of the step was under way does not count for the next.
	l = ledger(t, Entry{Op: Create, Work: "w", Kind: "k"}, Entry{Op: Assign, Work: "w", To: "n1"}, Entry{Op: Announce, Work: "w", Token: 1, Deed: deed(1)},
		Entry{Op: Say, Work: "w", Word: &Word{Say: "go"}}, Entry{Op: Prove, Work: "w", Token: 1, Deed: deed(1)})
	require.Nil(t, l.Works["w"].Word)
}

func TestBoundsOfTheLedger(t *testing.T) {
	l := &Ledger{}
	for i := range mostOpen {
		require.Nil(t, l.Apply(Entry{Op: Create, Work: fmt.Sprint("w", i), Kind: "k"}))
	}
	require.Equal(t, TooMuch, l.Apply(Entry{Op: Create, Work: "more", Kind: "k"}).Reason)
	for i := range 3 * mostEnded {
		name := fmt.Sprint("w", i%mostOpen)
		if i >= mostOpen {
			name = fmt.Sprint("x", i)
			require.Nil(t, l.Apply(Entry{Op: Create, Work: name, Kind: "k"}))
		}
		require.Nil(t, l.Apply(Entry{Op: Assign, Work: name, To: "n1"}))
		w := l.Works[name]
		require.Nil(t, l.Apply(Entry{Op: Announce, Work: name, Token: w.Token, Deed: deed(1)}))
		require.Nil(t, l.Apply(Entry{Op: Prove, Work: name, Token: w.Token, Deed: deed(1), Ended: true}))
		require.LessOrEqual(t, len(l.Works), mostOpen+mostEnded)
	}
}

// Whatever comes in, in whatever order: tokens rise, a work's last token is the highest that was ever proven by, and each
// number is proven once.
func TestTokensNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Ledger{}
		tokens, proven := map[string]Token{}, map[string]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "entries") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "work")
			n := uint64(rapid.IntRange(0, 4).Draw(t, "number"))
			e := Entry{Op: rapid.SampledFrom([]Op{Create, Assign, Assign, Resign, Announce, Announce, Prove, Void, Say, Raise, Act}).Draw(t, "op"), Work: name, Kind: "k", To: "n1",
				Token: Token(rapid.IntRange(0, 9).Draw(t, "token")), Step: uint64(rapid.IntRange(0, 4).Draw(t, "step")), Word: nil}
			if w := l.Works[name]; w != nil && rapid.Bool().Draw(t, "apt") { // else hardly anything is taken
				e.Token, e.Step, n = w.Token, w.Step, w.Next()
				if w.Deed != nil {
					n = w.Deed.Number
				}
			}
			if e.Deed = deed(n); e.Op == Say {
				e.Word = &Word{Say: "go", Step: e.Step}
			}
			high := l.High
			var was Token
			if w := l.Works[name]; w != nil {
				was = w.Token
			}
			r := l.Apply(e)
			require.GreaterOrEqual(t, l.High, high)
			if r != nil {
				continue
			}
			switch e.Op {
			case Assign:
				require.Greater(t, l.Works[name].Token, high)
				for _, o := range tokens {
					require.Greater(t, l.Works[name].Token, o)
				}
				tokens[fmt.Sprint(i)] = l.Works[name].Token
			case Announce, Prove, Void, Resign, Act:
				require.Equal(t, was, e.Token)
			}
			if e.Op == Prove {
				k := e.Deed.ID(name)
				require.False(t, proven[k], k)
				proven[k] = true
			}
		}
	})
}

func TestWhoBecomesOwner(t *testing.T) {
	cfg := DeskConfig{Stall: 1000, Tenure: 200, Back: 2000, Young: 500, Again: 50}
	fine := Report{Kinds: []string{"k"}, Willing: true, Sound: true, Reach: []uint64{1, 2}, Up: 1000}
	with := func(name string, change func(*Report)) Candidate {
		r := fine
		if change != nil {
			change(&r)
		}
		return Candidate{Name: name, Instance: uint64(name[1]), Until: 1e9, Report: r}
	}
	work := []Entry{{Op: Create, Work: "w", Kind: "k", Needs: []uint64{1, 2}}}
	for _, c := range []struct {
		name  string
		cands []Candidate
		want  string
	}{
		{"the first of equals", []Candidate{with("n2", nil), with("n1", nil)}, "n1"},
		{"whoever reaches more", []Candidate{with("n1", func(r *Report) { r.Reach = []uint64{1} }), with("n2", nil)}, "n2"},
		{"reach before soundness", []Candidate{with("n1", func(r *Report) { r.Sound = false }), with("n2", func(r *Report) { r.Reach = nil })}, "n1"},
		{"a sound one", []Candidate{with("n1", func(r *Report) { r.Sound = false }), with("n2", nil)}, "n2"},
		{"no one that is about to end", []Candidate{with("n1", func(r *Report) { r.Willing = false }), with("n2", nil)}, "n2"},
		{"no one whose program can't", []Candidate{with("n1", func(r *Report) { r.Kinds = nil }), with("n2", nil)}, "n2"},
		{"no one whose lease ran out", []Candidate{{Name: "n1", Until: 50, Report: fine}, with("n2", nil)}, "n2"},
		{"a settled one", []Candidate{with("n1", func(r *Report) { r.Up = 10 }), with("n2", nil)}, "n2"},
		{"one that is near", []Candidate{with("n1", nil), with("n2", func(r *Report) { r.Near = []uint64{2} })}, "n2"},
		{"the less loaded", []Candidate{with("n1", func(r *Report) { r.Load = 0.9 }), with("n2", nil)}, "n2"},
		{"a young one rather than none", []Candidate{with("n1", func(r *Report) { r.Up, r.Sound, r.Reach = 0, false, nil })}, "n1"},
		{"nobody", nil, ""},
	} {
		l := ledger(t, work...)
		out := NewDesk(cfg).Tick(100, l, c.cands, false)
		if c.want == "" {
			require.Empty(t, out, c.name)
			continue
		}
		require.Len(t, out, 1, c.name)
		require.Equal(t, c.want, out[0].To, c.name)
	}
	// Works are spread.
	l := ledger(t, append(work, Entry{Op: Create, Work: "x", Kind: "k"})...)
	out := NewDesk(cfg).Tick(100, l, []Candidate{with("n1", nil), with("n2", nil)}, false)
	require.Len(t, out, 2)
	require.NotEqual(t, out[0].To, out[1].To)
}

func TestOwnersAreWatched(t *testing.T) {
	cfg := DeskConfig{Stall: 1000, Tenure: 200, Back: 2000, Young: 0, Again: 50}
	l := ledger(t, Entry{Op: Create, Work: "w", Kind: "k"})
	d := NewDesk(cfg)
	cands := []Candidate{{Name: "n1", Instance: 1, Until: 1e9}, {Name: "n2", Instance: 2, Until: 1e9}}
	progress := map[string]uint64{}
	now := 0.0
	turn := func(to float64, moves bool) {
		for ; now < to; now += 10 {
			if w := l.Works["w"]; moves && w.Owner != "" {
				progress[w.Owner]++
			}
			for i := range cands {
				cands[i].Report = Report{Kinds: []string{"k"}, Willing: true, Sound: true, Progress: map[string]uint64{"w": progress[cands[i].Name]}}
			}
			for _, e := range d.Tick(now, l, cands, false) {
				require.Nil(t, l.Apply(e))
			}
		}
	}
	turn(5000, true)
	w := *l.Works["w"]
	require.Equal(t, 1, w.Owners, "one that gets on stays")
	require.Equal(t, "n1", w.Owner)
	// It holds its lease and gets nothing done: after the stated time another is named, and the first is passed over.
	stalled := now
	for l.Works["w"].Owner == "n1" {
		turn(now+10, false)
	}
	require.InDelta(t, cfg.Stall, now-stalled, 40)
	require.Equal(t, "n2", l.Works["w"].Owner)
	turn(now+4000, true)
	require.Equal(t, 2, l.Works["w"].Owners, "the second gets on")
	// Its process ends: the work goes back, though the first failed before. A new leader waits until it knows who is there.
	cands = cands[:1]
	require.Empty(t, d.Tick(now, l, cands, true))
	turn(now+100, true)
	require.Equal(t, "n1", l.Works["w"].Owner)
	// Alone, it stays, whatever it gets done.
	turn(now+5000, false)
	require.Equal(t, 3, l.Works["w"].Owners)
	// It gives the work back, since its process ends: it is not asked again, though it has not said so with a lease yet; its
	// next process is.
	w = *l.Works["w"]
	require.Nil(t, l.Apply(Entry{Op: Resign, Work: "w", Token: w.Token}))
	turn(now+300, true)
	require.Empty(t, l.Works["w"].Owner)
	cands[0].Instance = 3
	turn(now+100, true)
	require.Equal(t, "n1", l.Works["w"].Owner)
	// A place that has seen a higher token: the work is given out again above it.
	require.Nil(t, l.Apply(Entry{Op: Raise, Work: "w", Token: 70}))
	require.Empty(t, l.Works["w"].Owner)
	turn(now+100, true)
	require.Equal(t, Token(71), l.Works["w"].Token)
}
