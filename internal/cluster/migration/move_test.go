package migration

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ashstand/internal/cluster/jobs"
)

var testCosts = Costs{Log: 10, InForce: 100, Owner: 500, Place: 20}

const testPlan = `{"tenant": "orders", "from": 1, "to": 2, "pause_ms": 4000, "lock_ms": 200, "rest_ms": 1000}`

func TestPlansAreCheckedWhole(t *testing.T) {
	p, err := Parse([]byte(testPlan), testCosts)
	require.NoError(t, err)
	require.Equal(t, checkpoints, p.Checkpoints)
	require.Equal(t, "wait", p.Stragglers)
	for text, want := range map[string][]string{
		`{"tenant": "a/b", "from": 1, "to": 1, "pause_ms": 100, "checkpoints": ["closing", "closing", "x"], "stragglers": "kill", "pace": -1}`: {
			"tenant", "to", "pause_ms", "checkpoints", "checkpoints", "checkpoints", "stragglers", "pace",
		},
		`{"tenant": "a", "from": "1"}`: {"from"}, `{"tenant": "a", "form": 1}`: {"form"}, `[]`: {"plan"}, `{} {}`: {"plan"},
		`{"tenant": "a", "from": 1, "to": 2, "pause_ms": 4000, "checkpoints": []}`: {"checkpoints"},
	} {
		_, err := Parse([]byte(text), testCosts)
		require.Error(t, err, text)
		all := []error{err}
		if many, ok := err.(interface{ Unwrap() []error }); ok {
			all = many.Unwrap()
		}
		var keys []string
		for _, e := range all {
			var f *PlanFault
			require.ErrorAs(t, e, &f)
			require.NotEmpty(t, f.Advice())
			keys = append(keys, f.Key)
		}
		require.ElementsMatch(t, want, keys, text)
	}
}

func TestEachPhaseHasAWayBackAndEachFindingItsAdvice(t *testing.T) {
	for _, p := range Phases {
		require.NotEmpty(t, Back[p], p)
	}
	require.Len(t, Back, len(Phases))
	for _, code := range []string{NoIdentity, Unlogged, LargeObjects, Prepared, NoExtension, NoRoom, SchemaDiffers, NotEmpty, Sequences, HomeDiffers, NotLimited, NoSlots} {
		f := &Finding{Reason: code, Name: "public.a"}
		require.NotEmpty(t, f.Advice(), code)
		require.NotEqual(t, "public.a: "+code, f.Error())
		require.Equal(t, code, f.Code())
	}
	require.Len(t, findings, 12)
}

// A state that is as full as it gets is kept by the ledger.
func TestAStateFitsIntoTheLog(t *testing.T) {
	long := strings.Repeat("\x00<é", 1000)
	a := Act{Name: DeedVerify, State: State{Phase: Verifying, Pause: &Pause{Closed: &Closed{Line: 1}}, Copy: Copy{After: strings.Repeat("x", mostCursor)}}}
	var r result
	for range 100 {
		r.findings = append(r.findings, Finding{Reason: NoIdentity, Name: long, Detail: long})
		r.verified.Differ = append(r.verified.Differ, Difference{long, long, long, long, long})
		r.held = append(r.held, Straggler{1 << 40, long, long, long})
		a.State.Lost = keep(append(a.State.Lost, clip(long)))
		a.State.note("%s", long)
	}
	a.State.Findings, a.State.Stragglers = r.findings.bounded(), straggling(r.held)
	r.verified.Lines.Home = 1
	p, err := after(a, r)
	require.NoError(t, err)
	l := jobs.StateMachine{}
	require.Nil(t, l.Apply(jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "move", State: p.State}))
	require.Greater(t, len(p.State), 8<<10, "it is full")
	a.Name = DeedCopy
	r.Copied.After = strings.Repeat("x", mostCursor+1)
	_, err = after(a, r)
	var u *Unreadable
	require.ErrorAs(t, err, &u)
}

var one = Lines{1, 1}

// at is a work in a state, owned under token 5 at step 9.
func at(t *testing.T, s State, w *jobs.Approval) *jobs.Job {
	b, err := json.Marshal(s)
	require.NoError(t, err)
	return &jobs.Job{Name: "w", Kind: "move", Spec: json.RawMessage(testPlan), Token: 5, Step: 9, State: b, Approval: w}
}

func said(word string) *jobs.Approval {
	return &jobs.Approval{Action: word, Step: 9, Persistent: word == Rollback}
}

// good is what is seen when all is well.
func good() *Seen {
	return &Seen{
		Step: 9, Version: 3, InForce: true, Paused: true, Group: 1, Turn: true, Pace: 1000,
		Progress: Progress{Reached: true, Lines: one, HomePos: 500, Applied: 500, Ready: true},
	}
}

func pausing(at float64, token jobs.FencingToken) *Pause {
	return &Pause{Begun: Begun{at, token}, Version: 3}
}

func closed(p *Pause, verified bool) *Pause {
	p.Closed, p.Verified = &Closed{Line: 1, Position: 500}, verified
	return p
}

func TestWhatComesNext(t *testing.T) {
	m := &Mover{Costs: testCosts}
	cutoff := testCosts.Cutoff(Plan{Pause: 4000})
	all := Compare{All: true}
	for name, c := range map[string]struct {
		s    State
		word *jobs.Approval
		see  func(*Seen)
		deed string // or "", and why
		why  string
	}{
		"not its turn":              {s: State{Phase: Planned}, see: func(s *Seen) { s.Turn, s.Turns = false, "group 2 has its moves" }, why: "group 2 has its moves"},
		"its turn":                  {s: State{Phase: Planned}, deed: DeedCheck},
		"refused by the check":      {s: State{Phase: Planned, Held: "the check refuses"}, why: "held"},
		"checked again":             {s: State{Phase: Planned, Held: "the check refuses"}, word: said(Resume), deed: DeedResume},
		"checked waits":             {s: State{Phase: Checked}, why: "waits for go"},
		"checked goes":              {s: State{Phase: Checked}, word: said(Go), deed: DeedPublish},
		"a word of another step":    {s: State{Phase: Checked}, word: &jobs.Approval{Action: Go, Step: 8}, why: "waits for go"},
		"a word that is none":       {s: State{Phase: Checked}, word: said("og"), deed: DeedDrop},
		"rollback said again":       {s: State{Phase: Switched, Lines: one, Fed: true, Compare: all, Back: "x", Held: "y"}, word: said(Rollback), deed: DeedDrop},
		"published":                 {s: State{Phase: Checked, Published: true}, deed: DeedSubscribe},
		"copies":                    {s: State{Phase: Copying, Lines: one}, deed: DeedCopy},
		"paced":                     {s: State{Phase: Copying, Lines: one, Copy: Copy{Rows: 5000, Begun: Begun{999_000, 5}}}, why: "paced"},
		"another's clock":           {s: State{Phase: Copying, Lines: one, Copy: Copy{Rows: 5000, Begun: Begun{999_000, 4}}}, deed: DeedCopy},
		"tables under way":          {s: State{Phase: Copying, Lines: one}, see: func(s *Seen) { s.Ready = false }, why: "being copied"},
		"loaded":                    {s: State{Phase: Copying, Lines: one}, see: func(s *Seen) { s.Pace = 0 }, why: "loaded"},
		"target drains":             {s: State{Phase: Copying, Lines: one}, see: func(s *Seen) { s.Unfit = "draining" }, why: "draining"},
		"slot died":                 {s: State{Phase: Copying, Lines: one}, see: func(s *Seen) { s.SlotLost = true }, deed: DeedSubscribe},
		"all copied":                {s: State{Phase: Copying, Lines: one, Copy: Copy{All: true}}, deed: DeedMark},
		"compares":                  {s: State{Phase: CatchingUp, Lines: one}, deed: DeedCompare},
		"home failed over":          {s: State{Phase: CatchingUp, Lines: one, Compare: all}, see: func(s *Seen) { s.Lines.Home = 2 }, deed: DeedMark},
		"target failed over":        {s: State{Phase: CatchingUp, Lines: one, Compare: all}, see: func(s *Seen) { s.Lines.Other = 2 }, deed: DeedMark},
		"target is ahead":           {s: State{Phase: CatchingUp, Lines: one, Compare: all}, see: func(s *Seen) { s.Lines.Home, s.Ahead = 2, true }, deed: DeedSubscribe},
		"explained difference":      {s: State{Phase: CatchingUp, Lines: one, Again: true}, deed: DeedSubscribe},
		"waits to close":            {s: State{Phase: CatchingUp, Lines: one, Compare: all}, why: "waits for go"},
		"closes":                    {s: State{Phase: CatchingUp, Lines: one, Compare: all}, word: said(Go), deed: DeedPause},
		"too far behind":            {s: State{Phase: CatchingUp, Lines: one, Compare: all}, word: said(Go), see: func(s *Seen) { s.Behind = cutoff }, why: "would need"},
		"too much touched":          {s: State{Phase: CatchingUp, Lines: one, Compare: all}, word: said(Go), see: func(s *Seen) { s.Verify = cutoff }, deed: DeedMark},
		"target cold":               {s: State{Phase: CatchingUp, Lines: one, Compare: all}, word: said(Go), see: func(s *Seen) { s.Unfit = "cold" }, why: "cold"},
		"rests":                     {s: State{Phase: CatchingUp, Lines: one, Compare: all, Tries: 1, Rested: Begun{999_500, 5}}, word: said(Go), why: "rests"},
		"not in force":              {s: State{Phase: Closing, Lines: one, Pause: pausing(1e6, 5)}, see: func(s *Seen) { s.InForce = false }, why: "every pooler"},
		"an older version in force": {s: State{Phase: Closing, Lines: one, Pause: pausing(1e6, 5)}, see: func(s *Seen) { s.Version = 2 }, why: "every pooler"},
		"fences":                    {s: State{Phase: Closing, Lines: one, Pause: pausing(1e6, 5)}, deed: DeedClose},
		"time is up":                {s: State{Phase: Closing, Lines: one, Pause: pausing(1e6-cutoff, 5)}, deed: DeedReopen},
		"time is nearly up":         {s: State{Phase: Closing, Lines: one, Pause: pausing(1e6-cutoff+1, 5)}, deed: DeedClose},
		"another owner's pause":     {s: State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 4), true)}, word: said(Go), deed: DeedReopen},
		"drains":                    {s: State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), false)}, see: func(s *Seen) { s.Applied = 499 }, why: "taken in"},
		"verifies":                  {s: State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), false)}, deed: DeedVerify},
		"home failed over, paused":  {s: State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), false)}, see: func(s *Seen) { s.Lines.Home = 2 }, deed: DeedClose},
		"slot died, paused":         {s: State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), false)}, see: func(s *Seen) { s.SlotLost = true }, deed: DeedReopen},
		"differs": {
			s:    State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), false), Differ: []Difference{{Table: "a"}}},
			deed: DeedReopen,
		},
		"waits to switch":       {s: State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), true)}, why: "waits for go"},
		"switches":              {s: State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), true)}, word: said(Go), deed: DeedSwitch},
		"switches back at once": {s: State{Phase: Verifying, Lines: one, Reverse: true, Back: "x", Pause: closed(pausing(1e6, 5), true)}, deed: DeedSwitch},
		"held in a pause":       {s: State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), true)}, word: said(Hold), deed: DeedReopen},
		"feeds":                 {s: State{Phase: Switched}, deed: DeedFeed},
		"old home's fence":      {s: State{Phase: Switched, Lines: one, Fed: true, Compare: all}, see: func(s *Seen) { s.FenceOff = true }, deed: DeedFeed},
		"new home failed over":  {s: State{Phase: Switched, Lines: one, Fed: true, Compare: all}, see: func(s *Seen) { s.Lines.Home = 2 }, deed: DeedMark},
		"its slot died":         {s: State{Phase: Switched, Lines: one, Fed: true, Compare: all}, see: func(s *Seen) { s.Lines.Home, s.SlotLost = 2, true }, deed: DeedFeed},
		"waits for acceptance":  {s: State{Phase: Switched, Lines: one, Fed: true, Compare: all}, why: "accept or rollback"},
		"accepts":               {s: State{Phase: Switched, Lines: one, Fed: true, Compare: all}, word: said(Accept), deed: DeedAccept},
		"go does not accept":    {s: State{Phase: Switched, Lines: one, Fed: true, Compare: all}, word: said(Go), deed: DeedDrop},
		"goes back":             {s: State{Phase: Switched, Lines: one, Fed: true, Compare: all, Back: "x"}, deed: DeedPause},
		"back waits for copy":   {s: State{Phase: Switched, Lines: one, Fed: true, Back: "x"}, see: func(s *Seen) { s.Ready = false }, why: "copied"},
		"accepted":              {s: State{Phase: Accepted}, deed: DeedFinish},
		"clears":                {s: State{Phase: Clearing, Back: "x"}, deed: DeedClear},

		"back from planned":     {s: State{Phase: Planned, Held: "the check refuses"}, word: said(Rollback), deed: DeedEnd},
		"back from checked":     {s: State{Phase: Checked}, word: said(Rollback), deed: DeedEnd},
		"back from published":   {s: State{Phase: Checked, Published: true}, word: said(Rollback), deed: DeedClear},
		"back from copying":     {s: State{Phase: Copying, Held: "x"}, word: said(Rollback), deed: DeedClear},
		"back from catching up": {s: State{Phase: CatchingUp, Lines: one, Compare: all}, word: said(Rollback), deed: DeedClear},
		"back from closing":     {s: State{Phase: Closing, Pause: pausing(1e6, 5)}, word: said(Rollback), deed: DeedReopen},
		"back from verifying":   {s: State{Phase: Verifying, Pause: closed(pausing(1e6, 5), true)}, word: said(Rollback), deed: DeedReopen},
		"back from switched":    {s: State{Phase: Switched}, word: &jobs.Approval{Action: Rollback, Step: 3, Persistent: true}, deed: DeedBack},
		"no back once accepted": {s: State{Phase: Accepted}, word: said(Rollback), deed: DeedFinish},
	} {
		see := good()
		if c.see != nil {
			c.see(see)
		}
		w := at(t, c.s, c.word)
		step := m.Next(1e6, w, see)
		require.Equal(t, c.deed, step.OperationName, "%s: %s", name, step.Reason)
		require.Contains(t, step.Reason, c.why, name)
		if c.deed != "" {
			require.True(t, json.Valid(step.Data), name)
		} else {
			require.Nil(t, step.Approval, name)
		}
		if c.word != nil && c.deed != "" && c.s.Phase != Accepted {
			require.Equal(t, c.word.Action == Go || step.Approval != nil, true, name)
		}
		see.Step = 8
		if stale := m.Next(1e6, w, see); stale.OperationName != step.OperationName && stale.OperationName != DeedDrop {
			require.Empty(t, stale.OperationName, "%s: what was seen before the last deed counts for nothing", name)
		}
		require.NotPanics(t, func() { m.Next(1e6, w, nil) })
	}
}

func TestWordsAreOfferedWhereTheyAreTaken(t *testing.T) {
	m := &Mover{Costs: testCosts}
	pauses := func(p Phase) *Pause {
		switch p {
		case Closing:
			return pausing(1e6, 5)
		case Verifying:
			return closed(pausing(1e6, 5), true)
		}
		return nil
	}
	for _, held := range []string{"", "x"} {
		for _, phase := range Phases {
			s := State{Phase: phase, Held: held, Lines: one, Fed: true, Compare: Compare{All: true}, Pause: pauses(phase)}
			if held != "" && pauses(phase) != nil {
				continue // it is never held there
			}
			offered := map[string]bool{}
			for _, o := range m.Next(1e6, at(t, s, nil), good()).Options {
				offered[o.Action] = true
				require.NotEmpty(t, o.Effect)
				require.Equal(t, o.Action == Rollback, o.Persistent)
			}
			for _, word := range []string{Go, Hold, Resume, Rollback, Accept} {
				step := m.Next(1e6, at(t, s, said(word)), good())
				require.Equal(t, offered[word], step.Approval != nil && step.OperationName != DeedDrop, "%s %q in %s", word, held, phase)
			}
		}
	}
}

// fakes answer as they are told.
type fakeRules struct {
	rules map[string]any
	err   error
	calls int
}

func (f *fakeRules) Now() (map[string]any, int, bool) { return f.rules, 7, true }
func (f *fakeRules) Limited(string) bool              { return true }
func (f *fakeRules) Change(_ context.Context, _ string, _ jobs.FencingToken, _ *jobs.Operation, c map[string]any) (int, error) {
	if f.calls++; f.err != nil {
		return 0, f.err
	}
	for k, v := range c {
		f.rules[k] = v
	}
	return 7, nil
}

type fakePlaces struct {
	Places
	opened []Group
	closed bool
	line   int
	err    error
}

func (f *fakePlaces) Open(_ context.Context, _ Act, at Group) error {
	f.opened = append(f.opened, at)
	return f.err
}

func (f *fakePlaces) Fenced(context.Context, Act, Group) (bool, int, error) {
	return f.closed, f.line, f.err
}

func TestTheLogDecidesBetweenSwitchAndReopening(t *testing.T) {
	s := State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), true)}
	rules := &fakeRules{rules: map[string]any{"database.orders.group": 1.0, "database.orders.paused": true}}
	places := &fakePlaces{closed: true, line: 1}
	m := &Mover{Places: places, Rules: rules, Costs: testCosts}
	w := at(t, s, nil)
	deed := func(name string) *jobs.Operation {
		return &jobs.Operation{Number: 10, Name: name, Token: 5, Data: json.RawMessage(`{"at": 1000000}`)}
	}

	done, _, err := m.Recover(context.Background(), w, deed(DeedSwitch))
	require.NoError(t, err)
	require.False(t, done, "no version says so")
	require.Empty(t, places.opened)

	places.closed = false // the home failed over and its new primary lacks the fence
	p, err := m.Execute(context.Background(), w, deed(DeedSwitch))
	require.NoError(t, err)
	require.Zero(t, rules.calls)
	require.Contains(t, string(p.State), `"phase":"closing"`)

	places.closed = true
	rules.err = &jobs.RejectedError{Reason: jobs.RejectStaleToken}
	_, err = m.Execute(context.Background(), w, deed(DeedSwitch))
	var r *jobs.RejectedError
	require.True(t, errors.As(err, &r))
	require.Empty(t, places.opened, "an owner that was replaced opens nothing")

	rules.err, places.closed = nil, true
	_, err = m.Execute(context.Background(), w, deed(DeedSwitch))
	require.NoError(t, err)
	require.Equal(t, []Group{2}, places.opened)

	places.opened = nil // whoever comes next finds the version in the log and goes on
	done, p, err = m.Recover(context.Background(), w, deed(DeedSwitch))
	require.NoError(t, err)
	require.True(t, done)
	require.Contains(t, string(p.State), `"phase":"switched"`)
	require.Equal(t, []Group{2}, places.opened)
	done, _, err = m.Recover(context.Background(), at(t, s, nil), deed(DeedPause))
	require.NoError(t, err)
	require.False(t, done)
}

func TestThePageSaysAllOfIt(t *testing.T) {
	b, err := os.ReadFile("../../../docs/moves.md")
	require.NoError(t, err)
	page := string(b)
	for _, p := range Phases {
		require.Contains(t, page, string(p))
		require.Contains(t, page, Back[p])
	}
	for code := range findings {
		require.Contains(t, page, "`"+code+"`")
	}
	for _, word := range []string{Go, Hold, Resume, Rollback, Accept} {
		require.Contains(t, page, "| "+word+" | ")
	}
}

// Whatever a state and what is seen come to, a decision is one: no panic, data that can be read back, and a word that was given
// for this step.
func TestAnyStateHasANext(t *testing.T) {
	m := &Mover{Costs: testCosts}
	rapid.Check(t, func(t *rapid.T) {
		yes := func(what string) bool { return rapid.Bool().Draw(t, what) }
		n := func(what string, most int) int { return rapid.IntRange(0, most).Draw(t, what) }
		s := State{
			Phase: rapid.SampledFrom(Phases).Draw(t, "phase"), Published: yes("published"), Fed: yes("fed"), Again: yes("again"), Doubt: yes("doubt"),
			Lines: Lines{n("line", 2), n("other line", 2)}, Compare: Compare{All: yes("compared")}, Copy: Copy{All: yes("copied")}, Tries: n("tries", 3),
		}
		if yes("back") {
			s.Back = "x"
		}
		if s.Phase == Closing || s.Phase == Verifying {
			s.Reverse, s.Pause = yes("reverse"), &Pause{Begun: Begun{1e6 - float64(n("ago", 4000)), jobs.FencingToken(4 + n("token", 1))}, Version: 3}
			if s.Phase == Verifying {
				closed(s.Pause, yes("verified"))
			}
		} else if yes("held") {
			s.Held = "x"
		}
		var w *jobs.Approval
		if yes("word") {
			w = &jobs.Approval{Action: rapid.SampledFrom([]string{Go, Hold, Resume, Rollback, Accept, "other"}).Draw(t, "says"), Step: uint64(8 + n("step", 1)), Persistent: yes("lasting")}
		}
		var seen any
		if yes("seen") {
			seen = &Seen{
				Step: uint64(8 + n("seen at", 1)), Version: n("version", 4), InForce: yes("in force"), Paused: yes("paused"), Turn: yes("turn"), Pace: float64(n("pace", 2)),
				Progress: Progress{
					Reached: yes("reached"), Lines: Lines{n("l", 2), n("o", 2)}, Applied: Position(499 + n("applied", 1)), Ready: yes("ready"),
					SlotLost: yes("slot"), Ahead: yes("ahead"), Unmarked: yes("unmarked"), FenceOff: yes("fence"), Behind: float64(n("behind", 5000)), Verify: float64(n("verify", 5000)),
				},
			}
		}
		b, err := json.Marshal(s)
		require.NoError(t, err)
		work := &jobs.Job{Name: "w", Kind: "move", Spec: json.RawMessage(testPlan), Token: 5, Step: 9, State: b, Approval: w}
		step := m.Next(1e6, work, seen)
		if step.OperationName == "" {
			require.Nil(t, step.Approval)
			require.NotEmpty(t, step.Reason)
			require.GreaterOrEqual(t, step.RetryAfterMillis, 0.0)
			return
		}
		var d Data
		require.NoError(t, json.Unmarshal(step.Data, &d))
		require.Equal(t, 1e6, d.At)
		if step.Approval != nil {
			require.Equal(t, w, step.Approval)
			require.True(t, w.Step == 9 || w.Persistent)
		}
		if s.Pause != nil && (s.Pause.Begun.Token != 5 || 1e6-s.Pause.Begun.At >= testCosts.Cutoff(Plan{Pause: 4000})) {
			require.Equal(t, DeedReopen, step.OperationName, "no pause goes on past its cutoff, nor another owner's")
		}
		if step.OperationName == DeedSwitch {
			require.True(t, s.Pause.Verified)
		}
	})
}

func TestWhatADeedLeaves(t *testing.T) {
	left := func(s State, name string, d Data, r result) (out State) {
		p, err := after(Act{Name: name, State: s, Data: d, Told: 3, Token: 5, Plan: Plan{Tries: 2}}, r)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(p.State, &out))
		return out
	}
	v := State{Phase: Verifying, Lines: one, Pause: closed(pausing(1e6, 5), false)}
	require.Equal(t, Begun{7, 3}, left(State{Phase: CatchingUp}, DeedPause, Data{At: 7}, result{version: 4}).Pause.Begun, "by the clock of who announced it")
	s := left(State{Phase: Checked}, DeedPublish, Data{}, result{taken: &Taken{"orders", "other"}})
	require.False(t, s.Published)
	require.Contains(t, s.Held, "moved by other")
	s = left(State{Phase: Planned}, DeedCheck, Data{}, result{findings: Findings{{Reason: Sequences, Name: "s", Told: true}}})
	require.Equal(t, Checked, s.Phase)
	s = left(State{Phase: Planned}, DeedCheck, Data{}, result{findings: Findings{{Reason: Unlogged, Name: "t"}}})
	require.Equal(t, Planned, s.Phase)
	require.NotEmpty(t, s.Held)

	s = left(v, DeedVerify, Data{}, result{verified: Verified{Lines: Lines{2, 1}}})
	require.Equal(t, Closing, s.Phase, "another primary may lack the fence")
	require.Nil(t, s.Pause.Closed)
	require.False(t, left(v, DeedVerify, Data{}, result{verified: Verified{Lines: one, Late: true}}).Pause.Verified)
	require.True(t, left(v, DeedVerify, Data{}, result{verified: Verified{Lines: one}}).Pause.Verified)
	require.False(t, v.Pause.Verified, "the state before is left as it was")
	different := []Difference{{Kind: "rows", Table: "t", Range: "1 to 2"}}
	s = left(v, DeedVerify, Data{}, result{verified: Verified{Lines: one, Differ: different}})
	s = left(s, DeedReopen, Data{Why: "x"}, result{})
	require.Equal(t, CatchingUp, s.Phase)
	require.Contains(t, s.Held, "rows of t 1 to 2 differ", "somebody has to look")
	require.True(t, left(s, DeedResume, Data{}, result{}).Again)
	s = left(v, DeedVerify, Data{}, result{verified: Verified{Lines: Lines{1, 2}, Differ: different}})
	s = left(s, DeedReopen, Data{Why: "x"}, result{})
	require.Empty(t, s.Held, "a failover explains it")
	require.True(t, s.Again)

	s = left(v, DeedReopen, Data{Why: "x"}, result{})
	require.Empty(t, s.Held)
	require.NotEmpty(t, left(s, DeedReopen, Data{Why: "x"}, result{}).Held, "as often as the plan allows")
	require.Equal(t, Clearing, left(v, DeedReopen, Data{Why: "x", Back: "x"}, result{}).Phase)
	v.Reverse, v.Back = true, "x"
	require.Equal(t, Switched, left(v, DeedReopen, Data{Why: "x"}, result{}).Phase)
	require.Equal(t, Clearing, left(v, DeedSwitch, Data{}, result{}).Phase)
}
