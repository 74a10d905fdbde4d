package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Every command is decoded from the entry that it encodes, and no two types share an entry's type.
func TestCommandsRoundTrip(t *testing.T) {
	approval := &Approval{Action: "go", By: "ann", Step: 3, Persistent: true}
	named := Operation{Number: 5, Name: "write"}
	seen := map[EntryType]bool{}
	for _, command := range []Command{
		Create{Job: "w", Kind: "k", Spec: []byte(`{"a":1}`), RequiredGroups: []uint64{1, 2}, State: []byte(`{}`)},
		Assign{Job: "w", Replaces: 4, Holder: "n1", Incarnation: 9},
		Release{Job: "w", Token: 4},
		Announce{Job: "w", Token: 4, Step: 3, Operation: Operation{Number: 5, Name: "write", Data: []byte(`1`)}, Approval: approval},
		Confirm{Job: "w", Token: 4, Operation: named, Result: Result{State: []byte(`{"b":2}`), Finished: true, Reason: "stopped"}},
		Abort{Job: "w", Token: 4, Operation: named},
		Approve{Job: "w", Approval: *approval},
		RaiseToken{Job: "w", Token: 70},
		Authorize{Job: "w", Token: 4, Operation: &named},
	} {
		entry := command.Entry()
		require.False(t, seen[entry.Type], "%s", entry.Type)
		seen[entry.Type] = true
		decoded, rejected := entry.Command()
		require.Nil(t, rejected, "%s", entry.Type)
		require.Equal(t, command, decoded)
	}
	require.Len(t, seen, 9, "one command for each type of entry")
}

// Entries that lack what their type needs are rejected before they are applied.
func TestValidateRejectsIncompleteEntries(t *testing.T) {
	for _, e := range []Entry{
		{Type: EntryCreate, Job: "w"},
		{Type: EntryAssign, Job: "w"},
		{Type: EntryAnnounce, Job: "w"},
		{Type: EntryConfirm, Job: "w", Operation: &Operation{Name: "write"}},
		{Type: EntryAbort, Job: "w", Operation: &Operation{Number: 1}},
		{Type: EntryApprove, Job: "w"},
		{Type: EntryAnnounce, Job: "w", Operation: &Operation{Number: 1, Name: "write", Data: []byte("{")}},
		{Type: EntryRelease, Job: "a/b"},
	} {
		rejected := e.Validate()
		require.NotNil(t, rejected, "%+v", e)
		require.Equal(t, RejectMalformed, rejected.Reason, "%+v", e)
	}
	require.Nil(t, (&Entry{Type: EntryRaiseToken, Token: 1}).Validate(), "needs no job")
	require.Nil(t, (&Entry{Type: EntryRelease, Job: "w"}).Validate())
}
