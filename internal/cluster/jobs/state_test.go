package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// applyAll applies entries and requires that none is rejected.
func applyAll(t *testing.T, entries ...Entry) *StateMachine {
	m := &StateMachine{}
	for _, e := range entries {
		require.Nil(t, m.Apply(e), "%+v", e)
	}
	return m
}

func operation(n uint64) *Operation { return &Operation{Number: n, Name: fmt.Sprint("d", n)} }

func TestApplyRejects(t *testing.T) {
	with := func(before []Entry, e Entry) []Entry { return append(slices.Clone(before), e) }
	assigned := []Entry{{Type: EntryCreate, Job: "w", JobKind: "k"}, {Type: EntryAssign, Job: "w", Holder: "n1", Incarnation: 1}}
	open := with(assigned, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1)})
	second := with(open, Entry{Type: EntryAssign, Job: "w", Token: 1, Holder: "n2", Incarnation: 2})
	approved := with(assigned, Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go", By: "ann"}})
	finished := with(open, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1), Finished: true})
	for _, c := range []struct {
		name   string
		before []Entry
		e      Entry
		want   RejectCode
	}{
		{"unknown job", nil, Entry{Type: EntryRelease, Job: "w"}, RejectUnknownJob},
		{"job exists", assigned, Entry{Type: EntryCreate, Job: "w", JobKind: "k"}, RejectJobExists},
		{"two concurrent assignments", assigned, Entry{Type: EntryAssign, Job: "w", Token: 0, Holder: "n2"}, RejectStaleToken},
		{"stale holder announces", second, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(2)}, RejectStaleToken},
		{"stale holder confirms", second, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)}, RejectStaleToken},
		{"stale holder releases", second, Entry{Type: EntryRelease, Job: "w", Token: 1}, RejectStaleToken},
		{"stale holder is not authorized", second, Entry{Type: EntryAuthorize, Job: "w", Token: 1}, RejectStaleToken},
		{"token never assigned", assigned, Entry{Type: EntryAnnounce, Job: "w", Token: 9, Operation: operation(1)}, RejectNotHolder},
		{"no holder", assigned[:1], Entry{Type: EntryAnnounce, Job: "w", Operation: operation(1)}, RejectNotHolder},
		{"second operation", open, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(2)}, RejectOperationOpen},
		{"operation number skipped", assigned, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(2)}, RejectOperationNotOpen},
		{"operation for an earlier step", with(open, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)}), Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1)}, RejectWrongStep},
		{"confirms nothing", assigned, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)}, RejectOperationNotOpen},
		{"confirms another operation", open, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "x"}}, RejectOperationNotOpen},
		{"approval for an earlier step", with(open, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)}), Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go"}}, RejectWrongStep},
		{"two approvals for one step", approved, Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "rollback"}}, RejectAlreadyApproved},
		{"operation uses a missing approval", assigned, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1), Approval: &Approval{Action: "go"}}, RejectWrongStep},
		{"job finished", finished, Entry{Type: EntryAssign, Job: "w", Token: 1, Holder: "n2"}, RejectJobFinished},
		{"unknown type", nil, Entry{Type: "x", Job: "w"}, RejectMalformed},
		{"no name", nil, Entry{Type: EntryCreate, JobKind: "k"}, RejectMalformed},
		{"spec is not JSON", nil, Entry{Type: EntryCreate, Job: "w", JobKind: "k", Spec: []byte("{")}, RejectMalformed},
		{"spec too long", nil, Entry{Type: EntryCreate, Job: "w", JobKind: "k", Spec: make([]byte, maxPayloadBytes+1)}, RejectLimitExceeded},
	} {
		m := applyAll(t, c.before...)
		stateBefore, _ := json.Marshal(m)
		r := m.Apply(c.e)
		require.NotNil(t, r, c.name)
		require.Equal(t, c.want, r.Reason, c.name)
		require.NotEmpty(t, r.Advice(), c.name)
		require.NotContains(t, r.Error(), "%!", c.name)
		stateAfter, _ := json.Marshal(m)
		require.Equal(t, string(stateBefore), string(stateAfter), "%s: a rejected entry changes nothing", c.name)
	}
}

func TestApprovals(t *testing.T) {
	m := applyAll(t, Entry{Type: EntryCreate, Job: "w", JobKind: "k"}, Entry{Type: EntryAssign, Job: "w", Holder: "n1"}, Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go"}})
	// An operation uses the approval and is aborted: the job gets the approval back. Once an operation is confirmed, the
	// approval is gone.
	announce := Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1), Approval: &Approval{Action: "go"}}
	require.Nil(t, m.Apply(announce))
	require.Nil(t, m.Jobs["w"].Approval)
	require.Nil(t, m.Apply(Entry{Type: EntryAbort, Job: "w", Token: 1, Operation: operation(1)}))
	require.Equal(t, "go", m.Jobs["w"].Approval.Action)
	announce.Operation = operation(2) // each announced operation has a number of its own
	require.Nil(t, m.Apply(announce))
	// A rollback is approved while the operation is executed. The approval names the earlier step and remains valid after it.
	require.Nil(t, m.Apply(Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "rollback", Persistent: true}}))
	require.Nil(t, m.Apply(Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(2), State: []byte(`{}`)}))
	require.Equal(t, uint64(1), m.Jobs["w"].Step)
	require.Equal(t, "rollback", m.Jobs["w"].Approval.Action)
	require.Equal(t, RejectAlreadyApproved, m.Apply(Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go", Step: 1}}).Reason)
	// A "go" that was approved while an operation of the step was open is not valid for the next step.
	m = applyAll(t, Entry{Type: EntryCreate, Job: "w", JobKind: "k"}, Entry{Type: EntryAssign, Job: "w", Holder: "n1"}, Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: operation(1)},
		Entry{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go"}}, Entry{Type: EntryConfirm, Job: "w", Token: 1, Operation: operation(1)})
	require.Nil(t, m.Jobs["w"].Approval)
}

func TestStateMachineLimits(t *testing.T) {
	m := &StateMachine{}
	for i := range maxOpenJobs {
		require.Nil(t, m.Apply(Entry{Type: EntryCreate, Job: fmt.Sprint("w", i), JobKind: "k"}))
	}
	require.Equal(t, RejectLimitExceeded, m.Apply(Entry{Type: EntryCreate, Job: "more", JobKind: "k"}).Reason)
	for i := range 3 * maxFinishedJobs {
		name := fmt.Sprint("w", i%maxOpenJobs)
		if i >= maxOpenJobs {
			name = fmt.Sprint("x", i)
			require.Nil(t, m.Apply(Entry{Type: EntryCreate, Job: name, JobKind: "k"}))
		}
		require.Nil(t, m.Apply(Entry{Type: EntryAssign, Job: name, Holder: "n1"}))
		w := m.Jobs[name]
		require.Nil(t, m.Apply(Entry{Type: EntryAnnounce, Job: name, Token: w.Token, Operation: operation(1)}))
		require.Nil(t, m.Apply(Entry{Type: EntryConfirm, Job: name, Token: w.Token, Operation: operation(1), Finished: true}))
		require.LessOrEqual(t, len(m.Jobs), maxOpenJobs+maxFinishedJobs)
	}
}

// For any sequence of entries: tokens never decrease, only entries of the current holder are accepted, and each operation
// number is confirmed at most once.
func TestTokensNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &StateMachine{}
		tokens, confirmed := map[string]FencingToken{}, map[string]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "entries") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
			n := uint64(rapid.IntRange(0, 4).Draw(t, "number"))
			e := Entry{
				Type: rapid.SampledFrom([]EntryType{EntryCreate, EntryAssign, EntryAssign, EntryRelease, EntryAnnounce, EntryAnnounce, EntryConfirm, EntryAbort, EntryApprove, EntryRaiseToken, EntryAuthorize}).Draw(t, "op"), Job: name, JobKind: "k", Holder: "n1",
				Token: FencingToken(rapid.IntRange(0, 9).Draw(t, "token")), Step: uint64(rapid.IntRange(0, 4).Draw(t, "step")), Approval: nil,
			}
			if w := m.Jobs[name]; w != nil && rapid.Bool().Draw(t, "apt") { // random values alone would hardly ever be accepted
				e.Token, e.Step, n = w.Token, w.Step, w.NextOperationNumber()
				if w.Operation != nil {
					n = w.Operation.Number
				}
			}
			if e.Operation = operation(n); e.Type == EntryApprove {
				e.Approval = &Approval{Action: "go", Step: e.Step}
			}
			highestBefore := m.HighestToken
			var tokenBefore FencingToken
			if w := m.Jobs[name]; w != nil {
				tokenBefore = w.Token
			}
			r := m.Apply(e)
			require.GreaterOrEqual(t, m.HighestToken, highestBefore)
			if r != nil {
				continue
			}
			switch e.Type {
			case EntryAssign:
				require.Greater(t, m.Jobs[name].Token, highestBefore)
				for _, o := range tokens {
					require.Greater(t, m.Jobs[name].Token, o)
				}
				tokens[fmt.Sprint(i)] = m.Jobs[name].Token
			case EntryAnnounce, EntryConfirm, EntryAbort, EntryRelease, EntryAuthorize:
				require.Equal(t, tokenBefore, e.Token)
			}
			if e.Type == EntryConfirm {
				k := e.Operation.ID(name)
				require.False(t, confirmed[k], k)
				confirmed[k] = true
			}
		}
	})
}

// If an operation that used a rollback approval is aborted, the job gets that approval back, even if another one was given in
// the meantime.
func TestPersistentApprovalSurvivesAbort(t *testing.T) {
	var m StateMachine
	for _, e := range []Entry{
		{Type: EntryCreate, Job: "w", JobKind: "k"},
		{Type: EntryAssign, Job: "w", Holder: "n"},
		{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "rollback", Persistent: true}},
		{Type: EntryAnnounce, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "clear"}, Approval: &Approval{Action: "rollback", Persistent: true}},
		{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go"}},
		{Type: EntryAbort, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "clear"}},
	} {
		require.Nil(t, m.Apply(e))
	}
	require.Equal(t, &Approval{Action: "rollback", Persistent: true}, m.Jobs["w"].Approval)
}

// A change that arrives after its operation was aborted is rejected, even if the holder is still the same.
func TestAuthorizeNeedsOpenOperation(t *testing.T) {
	var m StateMachine
	authorize := Entry{Type: EntryAuthorize, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "switch"}}
	for _, e := range []Entry{
		{Type: EntryCreate, Job: "w", JobKind: "k"},
		{Type: EntryAssign, Job: "w", Holder: "n"},
		{Type: EntryAnnounce, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "switch"}},
		authorize,
		{Type: EntryAbort, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "switch"}},
	} {
		require.Nil(t, m.Apply(e))
	}
	require.Equal(t, RejectOperationNotOpen, m.Apply(authorize).Reason)
	require.Nil(t, m.Apply(Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: &Operation{Number: 2, Name: "reopen"}}))
	require.Equal(t, RejectOperationNotOpen, m.Apply(authorize).Reason)
	require.Nil(t, m.Apply(Entry{Type: EntryAuthorize, Job: "w", Token: 1}), "without an operation")
}
