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

// A state with all lists and texts at their bounds must not exceed the job log's size limit.
func TestFullStateFitsTheLog(t *testing.T) {
	long := strings.Repeat("\x00<é", 1000)
	request := Request{Operation: OperationVerify, State: State{Phase: PhaseVerifying, Pause: &Pause{Fence: &FencePoint{Timeline: 1}}, Copy: CopyCheckpoint{LastTable: strings.Repeat("x", maxCursorBytes)}}}
	var result outcome
	for range 100 {
		result.checkResults = append(result.checkResults, CheckResult{Reason: CheckNoReplicaIdentity, Name: long, Detail: long})
		result.verification.Differences = append(result.verification.Differences, Difference{long, long, long, long, long})
		result.blocking = append(result.blocking, BlockingSession{1 << 40, long, long, long})
		request.State.LostCommits = retainLatest(append(request.State.LostCommits, sanitize(long)))
		request.State.addNote("%s", long)
	}
	request.State.CheckResults, request.State.BlockingSessions = result.checkResults.truncated(), sanitizeSessions(result.blocking)
	result.verification.Timelines.Source = 1
	applied, err := applyOutcome(request, result)
	require.NoError(t, err)
	log := jobs.StateMachine{}
	require.Nil(t, log.Apply(jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "move", State: applied.State}))
	require.Greater(t, len(applied.State), 8<<10, "it is full")
	request.Operation = OperationCopy
	result.Copied.LastTable = strings.Repeat("x", maxCursorBytes+1)
	_, err = applyOutcome(request, result)
	var unreadable *UnreadableJobError
	require.ErrorAs(t, err, &unreadable)
}

var initialTimelines = Timelines{1, 1}

// newJob returns a job in a state, with token 5 and at step 9.
func newJob(t *testing.T, state State, approval *jobs.Approval) *jobs.Job {
	b, err := json.Marshal(state)
	require.NoError(t, err)
	return &jobs.Job{Name: "w", Kind: "move", Spec: json.RawMessage(testPlan), Token: 5, Step: 9, State: b, Approval: approval}
}

func approvalOf(action string) *jobs.Approval {
	return &jobs.Approval{Action: action, Step: 9, Persistent: action == ActionRollback}
}

// healthyObservation returns an observation in which nothing prevents a migration from continuing.
func healthyObservation() *Observation {
	return &Observation{
		Step: 9, Version: 3, InForce: true, Paused: true, Group: 1, MayStart: true, RowsPerSecond: 1000,
		ReplicationStatus: ReplicationStatus{Reachable: true, Timelines: initialTimelines, SourceLSN: 500, AppliedLSN: 500, TablesCopied: true},
	}
}

func pauseStarted(at float64, token jobs.FencingToken) *Pause {
	return &Pause{Started: LeaseTime{at, token}, RulesVersion: 3}
}

func withFence(pause *Pause, verified bool) *Pause {
	pause.Fence, pause.Verified = &FencePoint{Timeline: 1, LSN: 500}, verified
	return pause
}

func TestNextDecision(t *testing.T) {
	m := &Migrator{Timing: testTiming}
	cutoff := testTiming.CutoffMillis(Plan{MaxPauseMillis: 4000})
	all := ComparisonCheckpoint{Complete: true}
	for name, c := range map[string]struct {
		recorded  State
		approval  *jobs.Approval
		observe   func(*Observation)
		operation Operation // empty: the decision is to wait, for the reason
		reason    string
	}{
		"not its turn":              {recorded: State{Phase: PhasePlanned}, observe: func(s *Observation) { s.MayStart, s.WaitReason = false, "group 2 has its moves" }, reason: "group 2 has its moves"},
		"its turn":                  {recorded: State{Phase: PhasePlanned}, operation: OperationCheck},
		"refused by the check":      {recorded: State{Phase: PhasePlanned, HoldReason: "the check refuses"}, reason: "held"},
		"checked again":             {recorded: State{Phase: PhasePlanned, HoldReason: "the check refuses"}, approval: approvalOf(ActionResume), operation: OperationResume},
		"checked waits":             {recorded: State{Phase: PhaseChecked}, reason: "waits for go"},
		"checked goes":              {recorded: State{Phase: PhaseChecked}, approval: approvalOf(ActionGo), operation: OperationPublish},
		"a word of another step":    {recorded: State{Phase: PhaseChecked}, approval: &jobs.Approval{Action: ActionGo, Step: 8}, reason: "waits for go"},
		"a word that is none":       {recorded: State{Phase: PhaseChecked}, approval: approvalOf("og"), operation: OperationDiscardApproval},
		"rollback said again":       {recorded: State{Phase: PhaseSwitched, Timelines: initialTimelines, ReverseReplicating: true, Comparison: all, RollbackReason: "x", HoldReason: "y"}, approval: approvalOf(ActionRollback), operation: OperationDiscardApproval},
		"published":                 {recorded: State{Phase: PhaseChecked, Published: true}, operation: OperationSubscribe},
		"copies":                    {recorded: State{Phase: PhaseCopying, Timelines: initialTimelines}, operation: OperationCopy},
		"paced":                     {recorded: State{Phase: PhaseCopying, Timelines: initialTimelines, Copy: CopyCheckpoint{BatchRows: 5000, BatchStarted: LeaseTime{999_000, 5}}}, reason: "paced"},
		"another's clock":           {recorded: State{Phase: PhaseCopying, Timelines: initialTimelines, Copy: CopyCheckpoint{BatchRows: 5000, BatchStarted: LeaseTime{999_000, 4}}}, operation: OperationCopy},
		"tables under way":          {recorded: State{Phase: PhaseCopying, Timelines: initialTimelines}, observe: func(s *Observation) { s.TablesCopied = false }, reason: "being copied"},
		"loaded":                    {recorded: State{Phase: PhaseCopying, Timelines: initialTimelines}, observe: func(s *Observation) { s.RowsPerSecond = 0 }, reason: "loaded"},
		"target drains":             {recorded: State{Phase: PhaseCopying, Timelines: initialTimelines}, observe: func(s *Observation) { s.UnfitReason = "draining" }, reason: "draining"},
		"slot died":                 {recorded: State{Phase: PhaseCopying, Timelines: initialTimelines}, observe: func(s *Observation) { s.SlotLost = true }, operation: OperationSubscribe},
		"all copied":                {recorded: State{Phase: PhaseCopying, Timelines: initialTimelines, Copy: CopyCheckpoint{Complete: true}}, operation: OperationTrack},
		"compares":                  {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines}, operation: OperationCompare},
		"home failed over":          {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all}, observe: func(s *Observation) { s.Timelines.Source = 2 }, operation: OperationTrack},
		"target failed over":        {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all}, observe: func(s *Observation) { s.Timelines.Target = 2 }, operation: OperationTrack},
		"target is ahead":           {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all}, observe: func(s *Observation) { s.Timelines.Source, s.TargetAhead = 2, true }, operation: OperationSubscribe},
		"explained difference":      {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, RecopyRequired: true}, operation: OperationSubscribe},
		"waits to close":            {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all}, reason: "waits for go"},
		"closes":                    {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all}, approval: approvalOf(ActionGo), operation: OperationPause},
		"too far behind":            {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all}, approval: approvalOf(ActionGo), observe: func(s *Observation) { s.LagMillis = cutoff }, reason: "would need"},
		"too much touched":          {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all}, approval: approvalOf(ActionGo), observe: func(s *Observation) { s.VerifyMillis = cutoff }, operation: OperationTrack},
		"target cold":               {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all}, approval: approvalOf(ActionGo), observe: func(s *Observation) { s.UnfitReason = "cold" }, reason: "cold"},
		"rests":                     {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all, AbortedPauses: 1, LastAbort: LeaseTime{999_500, 5}}, approval: approvalOf(ActionGo), reason: "rests"},
		"not in force":              {recorded: State{Phase: PhaseFencing, Timelines: initialTimelines, Pause: pauseStarted(1e6, 5)}, observe: func(s *Observation) { s.InForce = false }, reason: "every pooler"},
		"an older version in force": {recorded: State{Phase: PhaseFencing, Timelines: initialTimelines, Pause: pauseStarted(1e6, 5)}, observe: func(s *Observation) { s.Version = 2 }, reason: "every pooler"},
		"fences":                    {recorded: State{Phase: PhaseFencing, Timelines: initialTimelines, Pause: pauseStarted(1e6, 5)}, operation: OperationFence},
		"time is up":                {recorded: State{Phase: PhaseFencing, Timelines: initialTimelines, Pause: pauseStarted(1e6-cutoff, 5)}, operation: OperationReopen},
		"time is nearly up":         {recorded: State{Phase: PhaseFencing, Timelines: initialTimelines, Pause: pauseStarted(1e6-cutoff+1, 5)}, operation: OperationFence},
		"another owner's pause":     {recorded: State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 4), true)}, approval: approvalOf(ActionGo), operation: OperationReopen},
		"drains":                    {recorded: State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), false)}, observe: func(s *Observation) { s.AppliedLSN = 499 }, reason: "taken in"},
		"verifies":                  {recorded: State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), false)}, operation: OperationVerify},
		"home failed over, paused":  {recorded: State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), false)}, observe: func(s *Observation) { s.Timelines.Source = 2 }, operation: OperationFence},
		"slot died, paused":         {recorded: State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), false)}, observe: func(s *Observation) { s.SlotLost = true }, operation: OperationReopen},
		"differs": {
			recorded:  State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), false), Differences: []Difference{{Table: "a"}}},
			operation: OperationReopen,
		},
		"waits to switch":       {recorded: State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), true)}, reason: "waits for go"},
		"switches":              {recorded: State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), true)}, approval: approvalOf(ActionGo), operation: OperationSwitch},
		"switches back at once": {recorded: State{Phase: PhaseVerifying, Timelines: initialTimelines, Reverse: true, RollbackReason: "x", Pause: withFence(pauseStarted(1e6, 5), true)}, operation: OperationSwitch},
		"held in a pause":       {recorded: State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), true)}, approval: approvalOf(ActionPause), operation: OperationReopen},
		"feeds":                 {recorded: State{Phase: PhaseSwitched}, operation: OperationReplicateBack},
		"old home's fence":      {recorded: State{Phase: PhaseSwitched, Timelines: initialTimelines, ReverseReplicating: true, Comparison: all}, observe: func(s *Observation) { s.TargetUnfenced = true }, operation: OperationReplicateBack},
		"new home failed over":  {recorded: State{Phase: PhaseSwitched, Timelines: initialTimelines, ReverseReplicating: true, Comparison: all}, observe: func(s *Observation) { s.Timelines.Source = 2 }, operation: OperationTrack},
		"its slot died":         {recorded: State{Phase: PhaseSwitched, Timelines: initialTimelines, ReverseReplicating: true, Comparison: all}, observe: func(s *Observation) { s.Timelines.Source, s.SlotLost = 2, true }, operation: OperationReplicateBack},
		"waits for acceptance":  {recorded: State{Phase: PhaseSwitched, Timelines: initialTimelines, ReverseReplicating: true, Comparison: all}, reason: "accept or rollback"},
		"accepts":               {recorded: State{Phase: PhaseSwitched, Timelines: initialTimelines, ReverseReplicating: true, Comparison: all}, approval: approvalOf(ActionAccept), operation: OperationAccept},
		"go does not accept":    {recorded: State{Phase: PhaseSwitched, Timelines: initialTimelines, ReverseReplicating: true, Comparison: all}, approval: approvalOf(ActionGo), operation: OperationDiscardApproval},
		"goes back":             {recorded: State{Phase: PhaseSwitched, Timelines: initialTimelines, ReverseReplicating: true, Comparison: all, RollbackReason: "x"}, operation: OperationPause},
		"back waits for copy":   {recorded: State{Phase: PhaseSwitched, Timelines: initialTimelines, ReverseReplicating: true, RollbackReason: "x"}, observe: func(s *Observation) { s.TablesCopied = false }, reason: "copied"},
		"accepted":              {recorded: State{Phase: PhaseAccepted}, operation: OperationFinish},
		"clears":                {recorded: State{Phase: PhaseCleaningUp, RollbackReason: "x"}, operation: OperationCleanUp},

		"back from planned":     {recorded: State{Phase: PhasePlanned, HoldReason: "the check refuses"}, approval: approvalOf(ActionRollback), operation: OperationCancel},
		"back from checked":     {recorded: State{Phase: PhaseChecked}, approval: approvalOf(ActionRollback), operation: OperationCancel},
		"back from published":   {recorded: State{Phase: PhaseChecked, Published: true}, approval: approvalOf(ActionRollback), operation: OperationCleanUp},
		"back from copying":     {recorded: State{Phase: PhaseCopying, HoldReason: "x"}, approval: approvalOf(ActionRollback), operation: OperationCleanUp},
		"back from catching up": {recorded: State{Phase: PhaseCatchingUp, Timelines: initialTimelines, Comparison: all}, approval: approvalOf(ActionRollback), operation: OperationCleanUp},
		"back from closing":     {recorded: State{Phase: PhaseFencing, Pause: pauseStarted(1e6, 5)}, approval: approvalOf(ActionRollback), operation: OperationReopen},
		"back from verifying":   {recorded: State{Phase: PhaseVerifying, Pause: withFence(pauseStarted(1e6, 5), true)}, approval: approvalOf(ActionRollback), operation: OperationReopen},
		"back from switched":    {recorded: State{Phase: PhaseSwitched}, approval: &jobs.Approval{Action: ActionRollback, Step: 3, Persistent: true}, operation: OperationRollBack},
		"no back once accepted": {recorded: State{Phase: PhaseAccepted}, approval: approvalOf(ActionRollback), operation: OperationFinish},
	} {
		observed := healthyObservation()
		if c.observe != nil {
			c.observe(observed)
		}
		job := newJob(t, c.recorded, c.approval)
		decision := m.Next(1e6, job, observed)
		require.Equal(t, string(c.operation), decision.OperationName, "%s: %s", name, decision.Reason)
		require.Contains(t, decision.Reason, c.reason, name)
		if c.operation != "" {
			require.True(t, c.operation.AllowedIn(c.recorded.Phase), name)
			require.True(t, json.Valid(decision.Data), name)
		} else {
			require.Nil(t, decision.Approval, name)
		}
		if c.approval != nil && c.operation != "" && c.recorded.Phase != PhaseAccepted {
			require.Equal(t, c.approval.Action == ActionGo || decision.Approval != nil, true, name)
		}
		observed.Step = 8
		if stale := m.Next(1e6, job, observed); stale.OperationName != decision.OperationName && stale.OperationName != string(OperationDiscardApproval) {
			require.Empty(t, stale.OperationName, "%s: what was seen before the last deed counts for nothing", name)
		}
		require.NotPanics(t, func() { m.Next(1e6, job, nil) })
	}
}

func TestOptionsMatchAcceptedApprovals(t *testing.T) {
	m := &Migrator{Timing: testTiming}
	pauses := func(p Phase) *Pause {
		switch p {
		case PhaseFencing:
			return pauseStarted(1e6, 5)
		case PhaseVerifying:
			return withFence(pauseStarted(1e6, 5), true)
		}
		return nil
	}
	for _, held := range []string{"", "x"} {
		for _, phase := range Phases {
			s := State{Phase: phase, HoldReason: held, Timelines: initialTimelines, ReverseReplicating: true, Comparison: ComparisonCheckpoint{Complete: true}, Pause: pauses(phase)}
			if held != "" && pauses(phase) != nil {
				continue // a paused migration is never held
			}
			offered := map[string]bool{}
			for _, o := range m.Next(1e6, newJob(t, s, nil), healthyObservation()).Options {
				offered[o.Action] = true
				require.NotEmpty(t, o.Effect)
				require.Equal(t, o.Action == ActionRollback, o.Persistent)
			}
			for _, word := range []string{ActionGo, ActionPause, ActionResume, ActionRollback, ActionAccept} {
				decision := m.Next(1e6, newJob(t, s, approvalOf(word)), healthyObservation())
				require.Equal(t, offered[word], decision.Approval != nil && decision.OperationName != string(OperationDiscardApproval), "%s %q in %s", word, held, phase)
			}
		}
	}
}

// fakeRules is an in-memory implementation of Rules that returns the configured error.
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
	unfenced []Group
	fenced   bool
	timeline int
	err      error
}

func (f *fakeDatabases) Unfence(_ context.Context, _ Request, at Group) error {
	f.unfenced = append(f.unfenced, at)
	return f.err
}

func (f *fakeDatabases) FenceStatus(context.Context, Request, Group) (bool, int, error) {
	return f.fenced, f.timeline, f.err
}

func TestLogDecidesBetweenSwitchAndReopen(t *testing.T) {
	s := State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), true)}
	rules := &fakeRules{rules: map[string]any{"database.orders.group": 1.0, "database.orders.paused": true}}
	databases := &fakeDatabases{fenced: true, timeline: 1}
	m := &Migrator{Databases: databases, Rules: rules, Timing: testTiming}
	job := newJob(t, s, nil)
	operation := func(name Operation) *jobs.Operation {
		return &jobs.Operation{Number: 10, Name: string(name), Token: 5, Data: json.RawMessage(`{"at": 1000000}`)}
	}

	done, _, err := m.Recover(context.Background(), job, operation(OperationSwitch))
	require.NoError(t, err)
	require.False(t, done, "no version says so")
	require.Empty(t, databases.unfenced)

	databases.fenced = false // the source failed over, and its new primary lacks the fence
	p, err := m.Execute(context.Background(), job, operation(OperationSwitch))
	require.NoError(t, err)
	require.Zero(t, rules.calls)
	require.Contains(t, string(p.State), `"phase":"closing"`)

	databases.fenced = true
	rules.err = &jobs.RejectedError{Reason: jobs.RejectStaleToken}
	_, err = m.Execute(context.Background(), job, operation(OperationSwitch))
	var rejected *jobs.RejectedError
	require.True(t, errors.As(err, &rejected))
	require.Empty(t, databases.unfenced, "an owner that was replaced opens nothing")

	rules.err, databases.fenced = nil, true
	_, err = m.Execute(context.Background(), job, operation(OperationSwitch))
	require.NoError(t, err)
	require.Equal(t, []Group{2}, databases.unfenced)

	databases.unfenced = nil // the next lease holder finds the version in the log and completes the operation
	done, p, err = m.Recover(context.Background(), job, operation(OperationSwitch))
	require.NoError(t, err)
	require.True(t, done)
	require.Contains(t, string(p.State), `"phase":"switched"`)
	require.Equal(t, []Group{2}, databases.unfenced)
	done, _, err = m.Recover(context.Background(), newJob(t, s, nil), operation(OperationPause))
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

// For arbitrary states and observations, Next must not panic, must return data that can be decoded, and must only use an
// approval that is valid for this step.
func TestNextOnArbitraryStates(t *testing.T) {
	m := &Migrator{Timing: testTiming}
	rapid.Check(t, func(t *rapid.T) {
		drawBool := func(what string) bool { return rapid.Bool().Draw(t, what) }
		drawInt := func(what string, most int) int { return rapid.IntRange(0, most).Draw(t, what) }
		s := State{
			Phase: rapid.SampledFrom(Phases).Draw(t, "phase"), Published: drawBool("published"), ReverseReplicating: drawBool("fed"), RecopyRequired: drawBool("again"), FailedOver: drawBool("doubt"),
			Timelines: Timelines{drawInt("line", 2), drawInt("other line", 2)}, Comparison: ComparisonCheckpoint{Complete: drawBool("compared")}, Copy: CopyCheckpoint{Complete: drawBool("copied")}, AbortedPauses: drawInt("tries", 3),
		}
		if drawBool("back") {
			s.RollbackReason = "x"
		}
		if s.Phase == PhaseFencing || s.Phase == PhaseVerifying {
			s.Reverse, s.Pause = drawBool("reverse"), &Pause{Started: LeaseTime{1e6 - float64(drawInt("ago", 4000)), jobs.FencingToken(4 + drawInt("token", 1))}, RulesVersion: 3}
			if s.Phase == PhaseVerifying {
				withFence(s.Pause, drawBool("verified"))
			}
		} else if drawBool("held") {
			s.HoldReason = "x"
		}
		var approval *jobs.Approval
		if drawBool("word") {
			approval = &jobs.Approval{Action: rapid.SampledFrom([]string{ActionGo, ActionPause, ActionResume, ActionRollback, ActionAccept, "other"}).Draw(t, "says"), Step: uint64(8 + drawInt("step", 1)), Persistent: drawBool("lasting")}
		}
		var observation any
		if drawBool("seen") {
			observation = &Observation{
				Step: uint64(8 + drawInt("seen at", 1)), Version: drawInt("version", 4), InForce: drawBool("in force"), Paused: drawBool("paused"), MayStart: drawBool("turn"), RowsPerSecond: float64(drawInt("pace", 2)),
				ReplicationStatus: ReplicationStatus{
					Reachable: drawBool("reached"), Timelines: Timelines{drawInt("l", 2), drawInt("o", 2)}, AppliedLSN: LSN(499 + drawInt("applied", 1)), TablesCopied: drawBool("ready"),
					SlotLost: drawBool("slot"), TargetAhead: drawBool("ahead"), TrackingLost: drawBool("unmarked"), TargetUnfenced: drawBool("fence"), LagMillis: float64(drawInt("behind", 5000)), VerifyMillis: float64(drawInt("verify", 5000)),
				},
			}
		}
		b, err := json.Marshal(s)
		require.NoError(t, err)
		job := &jobs.Job{Name: "w", Kind: "move", Spec: json.RawMessage(testPlan), Token: 5, Step: 9, State: b, Approval: approval}
		decision := m.Next(1e6, job, observation)
		if decision.OperationName == "" {
			require.Nil(t, decision.Approval)
			require.NotEmpty(t, decision.Reason)
			require.GreaterOrEqual(t, decision.RetryAfterMillis, 0.0)
			return
		}
		var d OperationData
		require.NoError(t, json.Unmarshal(decision.Data, &d))
		require.Equal(t, 1e6, d.At)
		if decision.Approval != nil {
			require.Equal(t, approval, decision.Approval)
			require.True(t, approval.Step == 9 || approval.Persistent)
		}
		if s.Pause != nil && (s.Pause.Started.Token != 5 || 1e6-s.Pause.Started.At >= testTiming.CutoffMillis(Plan{MaxPauseMillis: 4000})) {
			require.Equal(t, string(OperationReopen), decision.OperationName, "no pause goes on past its cutoff, nor another owner's")
		}
		if decision.OperationName == string(OperationSwitch) {
			require.True(t, s.Pause.Verified)
		}
	})
}

func TestApplyOutcome(t *testing.T) {
	apply := func(s State, name Operation, d OperationData, r outcome) (out State) {
		p, err := applyOutcome(Request{Operation: name, State: s, Data: d, AnnouncedToken: 3, Token: 5, Plan: Plan{MaxAbortedPauses: 2}}, r)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(p.State, &out))
		require.True(t, name.LeadsTo(out.Phase), "%s leaves %s", name, out.Phase)
		return out
	}
	verifying := State{Phase: PhaseVerifying, Timelines: initialTimelines, Pause: withFence(pauseStarted(1e6, 5), false)}
	require.Equal(t, LeaseTime{7, 3}, apply(State{Phase: PhaseCatchingUp}, OperationPause, OperationData{At: 7}, outcome{rulesVersion: 4}).Pause.Started, "by the clock of who announced it")
	s := apply(State{Phase: PhaseChecked}, OperationPublish, OperationData{}, outcome{locked: &TenantLockedError{"orders", "other"}})
	require.False(t, s.Published)
	require.Contains(t, s.HoldReason, "moved by other")
	s = apply(State{Phase: PhasePlanned}, OperationCheck, OperationData{}, outcome{checkResults: CheckResults{{Reason: CheckSequence, Name: "s", Informational: true}}})
	require.Equal(t, PhaseChecked, s.Phase)
	s = apply(State{Phase: PhasePlanned}, OperationCheck, OperationData{}, outcome{checkResults: CheckResults{{Reason: CheckUnloggedTable, Name: "t"}}})
	require.Equal(t, PhasePlanned, s.Phase)
	require.NotEmpty(t, s.HoldReason)

	s = apply(verifying, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: Timelines{2, 1}}})
	require.Equal(t, PhaseFencing, s.Phase, "another primary may lack the fence")
	require.Nil(t, s.Pause.Fence)
	require.False(t, apply(verifying, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: initialTimelines, TimedOut: true}}).Pause.Verified)
	require.True(t, apply(verifying, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: initialTimelines}}).Pause.Verified)
	require.False(t, verifying.Pause.Verified, "the state before is left as it was")
	different := []Difference{{Kind: "rows", Table: "t", Range: "1 to 2"}}
	s = apply(verifying, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: initialTimelines, Differences: different}})
	s = apply(s, OperationReopen, OperationData{Reason: "x"}, outcome{})
	require.Equal(t, PhaseCatchingUp, s.Phase)
	require.Contains(t, s.HoldReason, "rows of t 1 to 2 differ", "somebody has to look")
	require.True(t, apply(s, OperationResume, OperationData{}, outcome{}).RecopyRequired)
	s = apply(verifying, OperationVerify, OperationData{}, outcome{verification: VerificationResult{Timelines: Timelines{1, 2}, Differences: different}})
	s = apply(s, OperationReopen, OperationData{Reason: "x"}, outcome{})
	require.Empty(t, s.HoldReason, "a failover explains it")
	require.True(t, s.RecopyRequired)

	s = apply(verifying, OperationReopen, OperationData{Reason: "x"}, outcome{})
	require.Empty(t, s.HoldReason)
	require.NotEmpty(t, apply(s, OperationReopen, OperationData{Reason: "x"}, outcome{}).HoldReason, "as often as the plan allows")
	require.Equal(t, PhaseCleaningUp, apply(verifying, OperationReopen, OperationData{Reason: "x", RollbackReason: "x"}, outcome{}).Phase)
	verifying.Reverse, verifying.RollbackReason = true, "x"
	require.Equal(t, PhaseSwitched, apply(verifying, OperationReopen, OperationData{Reason: "x"}, outcome{}).Phase)
	require.Equal(t, PhaseCleaningUp, apply(verifying, OperationSwitch, OperationData{}, outcome{}).Phase)
}
