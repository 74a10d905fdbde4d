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

var testTiming = Timing{LogEntryMillis: 10, RulesInForceMillis: 100, FailoverMillis: 500, DatabaseCallMillis: 20}

const testPlan = `{"tenant": "orders", "from": 1, "to": 2, "pause_ms": 4000, "lock_ms": 200, "rest_ms": 1000}`

func TestParsePlanReportsAllErrors(t *testing.T) {
	p, err := ParsePlan([]byte(testPlan), testTiming)
	require.NoError(t, err)
	require.Equal(t, checkpoints, p.Checkpoints)
	require.Equal(t, "wait", p.BlockingSessions)
	for text, want := range map[string][]string{
		`{"tenant": "a/b", "from": 1, "to": 1, "pause_ms": 100, "checkpoints": ["closing", "closing", "x"], "stragglers": "kill", "pace": -1}`: {
			"tenant", "to", "pause_ms", "checkpoints", "checkpoints", "checkpoints", "stragglers", "pace",
		},
		`{"tenant": "a", "from": "1"}`: {"from"}, `{"tenant": "a", "form": 1}`: {"form"}, `[]`: {"plan"}, `{} {}`: {"plan"},
		`{"tenant": "a", "from": 1, "to": 2, "pause_ms": 4000, "checkpoints": []}`: {"checkpoints"},
	} {
		_, err := ParsePlan([]byte(text), testTiming)
		require.Error(t, err, text)
		all := []error{err}
		if many, ok := err.(interface{ Unwrap() []error }); ok {
			all = many.Unwrap()
		}
		var keys []string
		for _, e := range all {
			var f *PlanError
			require.ErrorAs(t, e, &f)
			require.NotEmpty(t, f.Advice())
			keys = append(keys, f.Key)
		}
		require.ElementsMatch(t, want, keys, text)
	}
}

func TestPhasesAndCheckReasonsAreDescribed(t *testing.T) {
	for _, p := range Phases {
		require.NotEmpty(t, p.RollbackEffect(), p)
	}
	require.Len(t, rollbackEffects, len(Phases))
	for _, code := range []CheckReason{CheckNoReplicaIdentity, CheckUnloggedTable, CheckLargeObjects, CheckPreparedTransaction, CheckExtensionMissing, CheckNoCapacity, CheckSchemaDiffers, CheckTargetNotEmpty, CheckSequence, CheckAssignmentDiffers, CheckLimitsMissing, CheckNoSlots} {
		f := &CheckResult{Reason: code, Name: "public.a"}
		require.NotEmpty(t, f.Advice(), code)
		require.NotEqual(t, "public.a: "+string(code), f.Error())
		require.Equal(t, string(code), f.Code())
	}
	require.Len(t, checkTexts, 12)
}

// A state that is as full as it gets is kept by the ledger.
func TestFullStateFitsTheLog(t *testing.T) {
	long := strings.Repeat("\x00<é", 1000)
	a := Request{Operation: OperationVerify, State: State{Phase: PhaseVerifying, Pause: &Pause{Fence: &FencePoint{Timeline: 1}}, Copy: CopyCheckpoint{LastTable: strings.Repeat("x", maxCursorBytes)}}}
	var r outcome
	for range 100 {
		r.checkResults = append(r.checkResults, CheckResult{Reason: CheckNoReplicaIdentity, Name: long, Detail: long})
		r.verification.Differences = append(r.verification.Differences, Difference{long, long, long, long, long})
		r.blocking = append(r.blocking, BlockingSession{1 << 40, long, long, long})
		a.State.LostCommits = retainLatest(append(a.State.LostCommits, sanitize(long)))
		a.State.addNote("%s", long)
	}
	a.State.CheckResults, a.State.BlockingSessions = r.checkResults.truncated(), sanitizeSessions(r.blocking)
	r.verification.Timelines.Source = 1
	p, err := applyOutcome(a, r)
	require.NoError(t, err)
	l := jobs.StateMachine{}
	require.Nil(t, l.Apply(jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "move", State: p.State}))
	require.Greater(t, len(p.State), 8<<10, "it is full")
	a.Operation = OperationCopy
	r.Copied.LastTable = strings.Repeat("x", maxCursorBytes+1)
	_, err = applyOutcome(a, r)
	var u *UnreadableJobError
	require.ErrorAs(t, err, &u)
}

var one = Timelines{1, 1}

// at is a work in a state, owned under token 5 at step 9.
func at(t *testing.T, s State, w *jobs.Approval) *jobs.Job {
	b, err := json.Marshal(s)
	require.NoError(t, err)
	return &jobs.Job{Name: "w", Kind: "move", Spec: json.RawMessage(testPlan), Token: 5, Step: 9, State: b, Approval: w}
}

func said(word string) *jobs.Approval {
	return &jobs.Approval{Action: word, Step: 9, Persistent: word == ActionRollback}
}

// good is what is seen when all is well.
func good() *Observation {
	return &Observation{
		Step: 9, Version: 3, InForce: true, Paused: true, Group: 1, MayStart: true, RowsPerSecond: 1000,
		ReplicationStatus: ReplicationStatus{Reachable: true, Timelines: one, SourceLSN: 500, AppliedLSN: 500, TablesCopied: true},
	}
}

func pausing(at float64, token jobs.FencingToken) *Pause {
	return &Pause{Started: LeaseTime{at, token}, RulesVersion: 3}
}

func closed(p *Pause, verified bool) *Pause {
	p.Fence, p.Verified = &FencePoint{Timeline: 1, LSN: 500}, verified
	return p
}

func TestNextDecision(t *testing.T) {
	m := &Migrator{Timing: testTiming}
	cutoff := testTiming.CutoffMillis(Plan{MaxPauseMillis: 4000})
	all := ComparisonCheckpoint{Complete: true}
	for name, c := range map[string]struct {
		s    State
		word *jobs.Approval
		see  func(*Observation)
		deed Operation // empty: it waits, and why
		why  string
	}{
		"not its turn":              {s: State{Phase: PhasePlanned}, see: func(s *Observation) { s.MayStart, s.WaitReason = false, "group 2 has its moves" }, why: "group 2 has its moves"},
		"its turn":                  {s: State{Phase: PhasePlanned}, deed: OperationCheck},
		"refused by the check":      {s: State{Phase: PhasePlanned, HoldReason: "the check refuses"}, why: "held"},
		"checked again":             {s: State{Phase: PhasePlanned, HoldReason: "the check refuses"}, word: said(ActionResume), deed: OperationResume},
		"checked waits":             {s: State{Phase: PhaseChecked}, why: "waits for go"},
		"checked goes":              {s: State{Phase: PhaseChecked}, word: said(ActionGo), deed: OperationPublish},
		"a word of another step":    {s: State{Phase: PhaseChecked}, word: &jobs.Approval{Action: ActionGo, Step: 8}, why: "waits for go"},
		"a word that is none":       {s: State{Phase: PhaseChecked}, word: said("og"), deed: OperationDiscardApproval},
		"rollback said again":       {s: State{Phase: PhaseSwitched, Timelines: one, ReverseReplicating: true, Comparison: all, RollbackReason: "x", HoldReason: "y"}, word: said(ActionRollback), deed: OperationDiscardApproval},
		"published":                 {s: State{Phase: PhaseChecked, Published: true}, deed: OperationSubscribe},
		"copies":                    {s: State{Phase: PhaseCopying, Timelines: one}, deed: OperationCopy},
		"paced":                     {s: State{Phase: PhaseCopying, Timelines: one, Copy: CopyCheckpoint{BatchRows: 5000, BatchStarted: LeaseTime{999_000, 5}}}, why: "paced"},
		"another's clock":           {s: State{Phase: PhaseCopying, Timelines: one, Copy: CopyCheckpoint{BatchRows: 5000, BatchStarted: LeaseTime{999_000, 4}}}, deed: OperationCopy},
		"tables under way":          {s: State{Phase: PhaseCopying, Timelines: one}, see: func(s *Observation) { s.TablesCopied = false }, why: "being copied"},
		"loaded":                    {s: State{Phase: PhaseCopying, Timelines: one}, see: func(s *Observation) { s.RowsPerSecond = 0 }, why: "loaded"},
		"target drains":             {s: State{Phase: PhaseCopying, Timelines: one}, see: func(s *Observation) { s.UnfitReason = "draining" }, why: "draining"},
		"slot died":                 {s: State{Phase: PhaseCopying, Timelines: one}, see: func(s *Observation) { s.SlotLost = true }, deed: OperationSubscribe},
		"all copied":                {s: State{Phase: PhaseCopying, Timelines: one, Copy: CopyCheckpoint{Complete: true}}, deed: OperationTrack},
		"compares":                  {s: State{Phase: PhaseCatchingUp, Timelines: one}, deed: OperationCompare},
		"home failed over":          {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all}, see: func(s *Observation) { s.Timelines.Source = 2 }, deed: OperationTrack},
		"target failed over":        {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all}, see: func(s *Observation) { s.Timelines.Target = 2 }, deed: OperationTrack},
		"target is ahead":           {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all}, see: func(s *Observation) { s.Timelines.Source, s.TargetAhead = 2, true }, deed: OperationSubscribe},
		"explained difference":      {s: State{Phase: PhaseCatchingUp, Timelines: one, RecopyRequired: true}, deed: OperationSubscribe},
		"waits to close":            {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all}, why: "waits for go"},
		"closes":                    {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all}, word: said(ActionGo), deed: OperationPause},
		"too far behind":            {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all}, word: said(ActionGo), see: func(s *Observation) { s.LagMillis = cutoff }, why: "would need"},
		"too much touched":          {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all}, word: said(ActionGo), see: func(s *Observation) { s.VerifyMillis = cutoff }, deed: OperationTrack},
		"target cold":               {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all}, word: said(ActionGo), see: func(s *Observation) { s.UnfitReason = "cold" }, why: "cold"},
		"rests":                     {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all, AbortedPauses: 1, LastAbort: LeaseTime{999_500, 5}}, word: said(ActionGo), why: "rests"},
		"not in force":              {s: State{Phase: PhaseFencing, Timelines: one, Pause: pausing(1e6, 5)}, see: func(s *Observation) { s.InForce = false }, why: "every pooler"},
		"an older version in force": {s: State{Phase: PhaseFencing, Timelines: one, Pause: pausing(1e6, 5)}, see: func(s *Observation) { s.Version = 2 }, why: "every pooler"},
		"fences":                    {s: State{Phase: PhaseFencing, Timelines: one, Pause: pausing(1e6, 5)}, deed: OperationFence},
		"time is up":                {s: State{Phase: PhaseFencing, Timelines: one, Pause: pausing(1e6-cutoff, 5)}, deed: OperationReopen},
		"time is nearly up":         {s: State{Phase: PhaseFencing, Timelines: one, Pause: pausing(1e6-cutoff+1, 5)}, deed: OperationFence},
		"another owner's pause":     {s: State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 4), true)}, word: said(ActionGo), deed: OperationReopen},
		"drains":                    {s: State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), false)}, see: func(s *Observation) { s.AppliedLSN = 499 }, why: "taken in"},
		"verifies":                  {s: State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), false)}, deed: OperationVerify},
		"home failed over, paused":  {s: State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), false)}, see: func(s *Observation) { s.Timelines.Source = 2 }, deed: OperationFence},
		"slot died, paused":         {s: State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), false)}, see: func(s *Observation) { s.SlotLost = true }, deed: OperationReopen},
		"differs": {
			s:    State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), false), Differences: []Difference{{Table: "a"}}},
			deed: OperationReopen,
		},
		"waits to switch":       {s: State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), true)}, why: "waits for go"},
		"switches":              {s: State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), true)}, word: said(ActionGo), deed: OperationSwitch},
		"switches back at once": {s: State{Phase: PhaseVerifying, Timelines: one, Reverse: true, RollbackReason: "x", Pause: closed(pausing(1e6, 5), true)}, deed: OperationSwitch},
		"held in a pause":       {s: State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), true)}, word: said(ActionPause), deed: OperationReopen},
		"feeds":                 {s: State{Phase: PhaseSwitched}, deed: OperationReplicateBack},
		"old home's fence":      {s: State{Phase: PhaseSwitched, Timelines: one, ReverseReplicating: true, Comparison: all}, see: func(s *Observation) { s.TargetUnfenced = true }, deed: OperationReplicateBack},
		"new home failed over":  {s: State{Phase: PhaseSwitched, Timelines: one, ReverseReplicating: true, Comparison: all}, see: func(s *Observation) { s.Timelines.Source = 2 }, deed: OperationTrack},
		"its slot died":         {s: State{Phase: PhaseSwitched, Timelines: one, ReverseReplicating: true, Comparison: all}, see: func(s *Observation) { s.Timelines.Source, s.SlotLost = 2, true }, deed: OperationReplicateBack},
		"waits for acceptance":  {s: State{Phase: PhaseSwitched, Timelines: one, ReverseReplicating: true, Comparison: all}, why: "accept or rollback"},
		"accepts":               {s: State{Phase: PhaseSwitched, Timelines: one, ReverseReplicating: true, Comparison: all}, word: said(ActionAccept), deed: OperationAccept},
		"go does not accept":    {s: State{Phase: PhaseSwitched, Timelines: one, ReverseReplicating: true, Comparison: all}, word: said(ActionGo), deed: OperationDiscardApproval},
		"goes back":             {s: State{Phase: PhaseSwitched, Timelines: one, ReverseReplicating: true, Comparison: all, RollbackReason: "x"}, deed: OperationPause},
		"back waits for copy":   {s: State{Phase: PhaseSwitched, Timelines: one, ReverseReplicating: true, RollbackReason: "x"}, see: func(s *Observation) { s.TablesCopied = false }, why: "copied"},
		"accepted":              {s: State{Phase: PhaseAccepted}, deed: OperationFinish},
		"clears":                {s: State{Phase: PhaseCleaningUp, RollbackReason: "x"}, deed: OperationCleanUp},

		"back from planned":     {s: State{Phase: PhasePlanned, HoldReason: "the check refuses"}, word: said(ActionRollback), deed: OperationCancel},
		"back from checked":     {s: State{Phase: PhaseChecked}, word: said(ActionRollback), deed: OperationCancel},
		"back from published":   {s: State{Phase: PhaseChecked, Published: true}, word: said(ActionRollback), deed: OperationCleanUp},
		"back from copying":     {s: State{Phase: PhaseCopying, HoldReason: "x"}, word: said(ActionRollback), deed: OperationCleanUp},
		"back from catching up": {s: State{Phase: PhaseCatchingUp, Timelines: one, Comparison: all}, word: said(ActionRollback), deed: OperationCleanUp},
		"back from closing":     {s: State{Phase: PhaseFencing, Pause: pausing(1e6, 5)}, word: said(ActionRollback), deed: OperationReopen},
		"back from verifying":   {s: State{Phase: PhaseVerifying, Pause: closed(pausing(1e6, 5), true)}, word: said(ActionRollback), deed: OperationReopen},
		"back from switched":    {s: State{Phase: PhaseSwitched}, word: &jobs.Approval{Action: ActionRollback, Step: 3, Persistent: true}, deed: OperationRollBack},
		"no back once accepted": {s: State{Phase: PhaseAccepted}, word: said(ActionRollback), deed: OperationFinish},
	} {
		see := good()
		if c.see != nil {
			c.see(see)
		}
		w := at(t, c.s, c.word)
		step := m.Next(1e6, w, see)
		require.Equal(t, string(c.deed), step.OperationName, "%s: %s", name, step.Reason)
		require.Contains(t, step.Reason, c.why, name)
		if c.deed != "" {
			require.True(t, c.deed.AllowedIn(c.s.Phase), name)
			require.True(t, json.Valid(step.Data), name)
		} else {
			require.Nil(t, step.Approval, name)
		}
		if c.word != nil && c.deed != "" && c.s.Phase != PhaseAccepted {
			require.Equal(t, c.word.Action == ActionGo || step.Approval != nil, true, name)
		}
		see.Step = 8
		if stale := m.Next(1e6, w, see); stale.OperationName != step.OperationName && stale.OperationName != string(OperationDiscardApproval) {
			require.Empty(t, stale.OperationName, "%s: what was seen before the last deed counts for nothing", name)
		}
		require.NotPanics(t, func() { m.Next(1e6, w, nil) })
	}
}

func TestOptionsMatchAcceptedApprovals(t *testing.T) {
	m := &Migrator{Timing: testTiming}
	pauses := func(p Phase) *Pause {
		switch p {
		case PhaseFencing:
			return pausing(1e6, 5)
		case PhaseVerifying:
			return closed(pausing(1e6, 5), true)
		}
		return nil
	}
	for _, held := range []string{"", "x"} {
		for _, phase := range Phases {
			s := State{Phase: phase, HoldReason: held, Timelines: one, ReverseReplicating: true, Comparison: ComparisonCheckpoint{Complete: true}, Pause: pauses(phase)}
			if held != "" && pauses(phase) != nil {
				continue // it is never held there
			}
			offered := map[string]bool{}
			for _, o := range m.Next(1e6, at(t, s, nil), good()).Options {
				offered[o.Action] = true
				require.NotEmpty(t, o.Effect)
				require.Equal(t, o.Action == ActionRollback, o.Persistent)
			}
			for _, word := range []string{ActionGo, ActionPause, ActionResume, ActionRollback, ActionAccept} {
				step := m.Next(1e6, at(t, s, said(word)), good())
				require.Equal(t, offered[word], step.Approval != nil && step.OperationName != string(OperationDiscardApproval), "%s %q in %s", word, held, phase)
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

func (f *fakeRules) Current() (map[string]any, int, bool) { return f.rules, 7, true }
func (f *fakeRules) HasLimit(string) bool                 { return true }
func (f *fakeRules) Change(_ context.Context, _ string, _ jobs.FencingToken, _ *jobs.Operation, c map[string]any) (int, error) {
	if f.calls++; f.err != nil {
		return 0, f.err
	}
	for k, v := range c {
		f.rules[k] = v
	}
	return 7, nil
}

type fakeDatabases struct {
	Databases
	opened []Group
	closed bool
	line   int
	err    error
}

func (f *fakeDatabases) Unfence(_ context.Context, _ Request, at Group) error {
	f.opened = append(f.opened, at)
	return f.err
}

func (f *fakeDatabases) FenceStatus(context.Context, Request, Group) (bool, int, error) {
	return f.closed, f.line, f.err
}

func TestLogDecidesBetweenSwitchAndReopen(t *testing.T) {
	s := State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), true)}
	rules := &fakeRules{rules: map[string]any{"database.orders.group": 1.0, "database.orders.paused": true}}
	places := &fakeDatabases{closed: true, line: 1}
	m := &Migrator{Databases: places, Rules: rules, Timing: testTiming}
	w := at(t, s, nil)
	deed := func(name Operation) *jobs.Operation {
		return &jobs.Operation{Number: 10, Name: string(name), Token: 5, Data: json.RawMessage(`{"at": 1000000}`)}
	}

	done, _, err := m.Recover(context.Background(), w, deed(OperationSwitch))
	require.NoError(t, err)
	require.False(t, done, "no version says so")
	require.Empty(t, places.opened)

	places.closed = false // the home failed over and its new primary lacks the fence
	p, err := m.Execute(context.Background(), w, deed(OperationSwitch))
	require.NoError(t, err)
	require.Zero(t, rules.calls)
	require.Contains(t, string(p.State), `"phase":"closing"`)

	places.closed = true
	rules.err = &jobs.RejectedError{Reason: jobs.RejectStaleToken}
	_, err = m.Execute(context.Background(), w, deed(OperationSwitch))
	var r *jobs.RejectedError
	require.True(t, errors.As(err, &r))
	require.Empty(t, places.opened, "an owner that was replaced opens nothing")

	rules.err, places.closed = nil, true
	_, err = m.Execute(context.Background(), w, deed(OperationSwitch))
	require.NoError(t, err)
	require.Equal(t, []Group{2}, places.opened)

	places.opened = nil // whoever comes next finds the version in the log and goes on
	done, p, err = m.Recover(context.Background(), w, deed(OperationSwitch))
	require.NoError(t, err)
	require.True(t, done)
	require.Contains(t, string(p.State), `"phase":"switched"`)
	require.Equal(t, []Group{2}, places.opened)
	done, _, err = m.Recover(context.Background(), at(t, s, nil), deed(OperationPause))
	require.NoError(t, err)
	require.False(t, done)
}

func TestDocumentationIsComplete(t *testing.T) {
	b, err := os.ReadFile("../../../docs/moves.md")
	require.NoError(t, err)
	page := string(b)
	for _, p := range Phases {
		require.Contains(t, page, string(p))
		require.Contains(t, page, p.RollbackEffect())
	}
	for code := range checkTexts {
		require.Contains(t, page, "`"+string(code)+"`")
	}
	for _, word := range []string{ActionGo, ActionPause, ActionResume, ActionRollback, ActionAccept} {
		require.Contains(t, page, "| "+word+" | ")
	}
}

// Whatever a state and what is seen come to, a decision is one: no panic, data that can be read back, and a word that was given
// for this step.
func TestNextOnArbitraryStates(t *testing.T) {
	m := &Migrator{Timing: testTiming}
	rapid.Check(t, func(t *rapid.T) {
		yes := func(what string) bool { return rapid.Bool().Draw(t, what) }
		n := func(what string, most int) int { return rapid.IntRange(0, most).Draw(t, what) }
		s := State{
			Phase: rapid.SampledFrom(Phases).Draw(t, "phase"), Published: yes("published"), ReverseReplicating: yes("fed"), RecopyRequired: yes("again"), FailedOver: yes("doubt"),
			Timelines: Timelines{n("line", 2), n("other line", 2)}, Comparison: ComparisonCheckpoint{Complete: yes("compared")}, Copy: CopyCheckpoint{Complete: yes("copied")}, AbortedPauses: n("tries", 3),
		}
		if yes("back") {
			s.RollbackReason = "x"
		}
		if s.Phase == PhaseFencing || s.Phase == PhaseVerifying {
			s.Reverse, s.Pause = yes("reverse"), &Pause{Started: LeaseTime{1e6 - float64(n("ago", 4000)), jobs.FencingToken(4 + n("token", 1))}, RulesVersion: 3}
			if s.Phase == PhaseVerifying {
				closed(s.Pause, yes("verified"))
			}
		} else if yes("held") {
			s.HoldReason = "x"
		}
		var w *jobs.Approval
		if yes("word") {
			w = &jobs.Approval{Action: rapid.SampledFrom([]string{ActionGo, ActionPause, ActionResume, ActionRollback, ActionAccept, "other"}).Draw(t, "says"), Step: uint64(8 + n("step", 1)), Persistent: yes("lasting")}
		}
		var seen any
		if yes("seen") {
			seen = &Observation{
				Step: uint64(8 + n("seen at", 1)), Version: n("version", 4), InForce: yes("in force"), Paused: yes("paused"), MayStart: yes("turn"), RowsPerSecond: float64(n("pace", 2)),
				ReplicationStatus: ReplicationStatus{
					Reachable: yes("reached"), Timelines: Timelines{n("l", 2), n("o", 2)}, AppliedLSN: LSN(499 + n("applied", 1)), TablesCopied: yes("ready"),
					SlotLost: yes("slot"), TargetAhead: yes("ahead"), TrackingLost: yes("unmarked"), TargetUnfenced: yes("fence"), LagMillis: float64(n("behind", 5000)), VerifyMillis: float64(n("verify", 5000)),
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
		var d OperationData
		require.NoError(t, json.Unmarshal(step.Data, &d))
		require.Equal(t, 1e6, d.At)
		if step.Approval != nil {
			require.Equal(t, w, step.Approval)
			require.True(t, w.Step == 9 || w.Persistent)
		}
		if s.Pause != nil && (s.Pause.Started.Token != 5 || 1e6-s.Pause.Started.At >= testTiming.CutoffMillis(Plan{MaxPauseMillis: 4000})) {
			require.Equal(t, string(OperationReopen), step.OperationName, "no pause goes on past its cutoff, nor another owner's")
		}
		if step.OperationName == string(OperationSwitch) {
			require.True(t, s.Pause.Verified)
		}
	})
}

func TestApplyOutcome(t *testing.T) {
	left := func(s State, name Operation, d OperationData, r outcome) (out State) {
		p, err := applyOutcome(Request{Operation: name, State: s, Data: d, AnnouncedToken: 3, Token: 5, Plan: Plan{MaxAbortedPauses: 2}}, r)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(p.State, &out))
		require.True(t, name.LeadsTo(out.Phase), "%s leaves %s", name, out.Phase)
		return out
	}
	v := State{Phase: PhaseVerifying, Timelines: one, Pause: closed(pausing(1e6, 5), false)}
	require.Equal(t, LeaseTime{7, 3}, left(State{Phase: PhaseCatchingUp}, OperationPause, OperationData{At: 7}, outcome{rulesVersion: 4}).Pause.Started, "by the clock of who announced it")
	s := left(State{Phase: PhaseChecked}, OperationPublish, OperationData{}, outcome{locked: &TenantLockedError{"orders", "other"}})
	require.False(t, s.Published)
	require.Contains(t, s.HoldReason, "moved by other")
	s = left(State{Phase: PhasePlanned}, OperationCheck, OperationData{}, outcome{checkResults: CheckResults{{Reason: CheckSequence, Name: "s", Informational: true}}})
	require.Equal(t, PhaseChecked, s.Phase)
	s = left(State{Phase: PhasePlanned}, OperationCheck, OperationData{}, outcome{checkResults: CheckResults{{Reason: CheckUnloggedTable, Name: "t"}}})
	require.Equal(t, PhasePlanned, s.Phase)
	require.NotEmpty(t, s.HoldReason)

	s = left(v, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: Timelines{2, 1}}})
	require.Equal(t, PhaseFencing, s.Phase, "another primary may lack the fence")
	require.Nil(t, s.Pause.Fence)
	require.False(t, left(v, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: one, TimedOut: true}}).Pause.Verified)
	require.True(t, left(v, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: one}}).Pause.Verified)
	require.False(t, v.Pause.Verified, "the state before is left as it was")
	different := []Difference{{Kind: "rows", Table: "t", Range: "1 to 2"}}
	s = left(v, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: one, Differences: different}})
	s = left(s, OperationReopen, OperationData{Reason: "x"}, outcome{})
	require.Equal(t, PhaseCatchingUp, s.Phase)
	require.Contains(t, s.HoldReason, "rows of t 1 to 2 differ", "somebody has to look")
	require.True(t, left(s, OperationResume, OperationData{}, outcome{}).RecopyRequired)
	s = left(v, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: Timelines{1, 2}, Differences: different}})
	s = left(s, OperationReopen, OperationData{Reason: "x"}, outcome{})
	require.Empty(t, s.HoldReason, "a failover explains it")
	require.True(t, s.RecopyRequired)

	s = left(v, OperationReopen, OperationData{Reason: "x"}, outcome{})
	require.Empty(t, s.HoldReason)
	require.NotEmpty(t, left(s, OperationReopen, OperationData{Reason: "x"}, outcome{}).HoldReason, "as often as the plan allows")
	require.Equal(t, PhaseCleaningUp, left(v, OperationReopen, OperationData{Reason: "x", RollbackReason: "x"}, outcome{}).Phase)
	v.Reverse, v.RollbackReason = true, "x"
	require.Equal(t, PhaseSwitched, left(v, OperationReopen, OperationData{Reason: "x"}, outcome{}).Phase)
	require.Equal(t, PhaseCleaningUp, left(v, OperationSwitch, OperationData{}, outcome{}).Phase)
}
