package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A rollback that a deed had taken up is still there when that deed is found not done, whatever was said meanwhile.
func TestPersistentApprovalSurvivesAbort(t *testing.T) {
	var l StateMachine
	for _, e := range []Entry{
		{Type: EntryCreate, Job: "w", JobKind: "k"},
		{Type: EntryAssign, Job: "w", Holder: "n"},
		{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "rollback", Persistent: true}},
		{Type: EntryAnnounce, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "clear"}, Approval: &Approval{Action: "rollback", Persistent: true}},
		{Type: EntryApprove, Job: "w", Approval: &Approval{Action: "go"}},
		{Type: EntryAbort, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "clear"}},
	} {
		require.Nil(t, l.Apply(e))
	}
	require.Equal(t, &Approval{Action: "rollback", Persistent: true}, l.Jobs["w"].Approval)
}

// A change that arrives after its deed was found not done changes nothing, though its owner is still the owner.
func TestAuthorizeNeedsOpenOperation(t *testing.T) {
	var l StateMachine
	act := Entry{Type: EntryAuthorize, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "switch"}}
	for _, e := range []Entry{
		{Type: EntryCreate, Job: "w", JobKind: "k"},
		{Type: EntryAssign, Job: "w", Holder: "n"},
		{Type: EntryAnnounce, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "switch"}},
		act,
		{Type: EntryAbort, Job: "w", Token: 1, Operation: &Operation{Number: 1, Name: "switch"}},
	} {
		require.Nil(t, l.Apply(e))
	}
	require.Equal(t, RejectOperationNotOpen, l.Apply(act).Reason)
	require.Nil(t, l.Apply(Entry{Type: EntryAnnounce, Job: "w", Token: 1, Operation: &Operation{Number: 2, Name: "reopen"}}))
	require.Equal(t, RejectOperationNotOpen, l.Apply(act).Reason)
	require.Nil(t, l.Apply(Entry{Type: EntryAuthorize, Job: "w", Token: 1}), "one that names no deed")
}
