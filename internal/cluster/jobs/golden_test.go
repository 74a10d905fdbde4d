package jobs

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew")

// goldenValues returns one value of each type that is stored in the replicated log or sent between processes, with every
// field set. The key is the name of the golden file.
func goldenValues() map[string]any {
	usedApproval := Approval{Action: "rollback", By: "ann", Step: 3, Persistent: true}
	announced := Operation{Number: 6, Name: "switch", Token: 17, Data: json.RawMessage(`{"rows":12,"until":"b <&> c"}`), Approval: &usedApproval}
	unusedApproval := Approval{Action: "go", By: "ben", Step: 4, Persistent: true}
	open := Job{
		Name: "orders-to-2", Kind: "move", Spec: json.RawMessage(`{"tenant":"orders","from":1,"to":2}`), RequiredGroups: []uint64{1, 2}, Holder: "n1",
		Incarnation: 9007199254740993, Token: 17, Step: 4, State: json.RawMessage(`{"phase":"copying"}`), Operation: &announced, Approval: &unusedApproval, HolderCount: 5, AbortedOperations: 2,
		Revision: 41,
	}
	finished := Job{
		Name: "d1", Kind: "drill", Spec: json.RawMessage(`{"database":"works"}`), RequiredGroups: []uint64{3}, Incarnation: 8, Token: 12, Step: 20,
		State: json.RawMessage(`{"done":20}`), HolderCount: 1, AbortedOperations: 1, Finished: true, Reason: "all deeds are done", Revision: 40,
	}
	allFields := finished // no real job has all of these fields; this covers every key
	allFields.Holder, allFields.Operation, allFields.Approval = "n2", &announced, &unusedApproval
	entry := Entry{
		Job: "orders-to-2", Token: 17, Holder: "n2", Incarnation: 9007199254740995, JobKind: "move", Spec: json.RawMessage(`{"tenant":"orders"}`),
		RequiredGroups: []uint64{1, 2}, Step: 4, Operation: &announced, State: json.RawMessage(`{"phase":"done"}`), Approval: &usedApproval, Finished: true, Reason: "accepted",
	}
	full := entry
	full.Type = EntryCreate
	return map[string]any{
		"state":      StateMachine{HighestToken: 17, Jobs: map[string]*Job{"orders-to-2": &open, "d1": &finished}, Revision: 41, ReuseTokens: true},
		"job":        allFields,
		"operation":  announced,
		"approval":   usedApproval,
		"option":     ApprovalOption{Action: "rollback", Effect: "the old one opens", Persistent: true},
		"token":      FencingToken(1<<63 + 1),
		"entry-full": full,
		"entry-create": Entry{
			Type: EntryCreate, Job: "d1", JobKind: "drill", Spec: json.RawMessage(`{"database":"works"}`), RequiredGroups: []uint64{3},
			State: json.RawMessage(`{"done":0}`),
		},
		"entry-assign":       Entry{Type: EntryAssign, Job: "d1", Token: 12, Holder: "n1", Incarnation: 8},
		"entry-release":      Entry{Type: EntryRelease, Job: "d1", Token: 12},
		"entry-announce":     Entry{Type: EntryAnnounce, Job: "d1", Token: 12, Step: 3, Operation: &Operation{Number: 5, Name: "write", Data: json.RawMessage(`{"n":1}`)}, Approval: &usedApproval},
		"entry-confirm":      Entry{Type: EntryConfirm, Job: "d1", Token: 12, Operation: &Operation{Number: 5, Name: "write"}, State: json.RawMessage(`{"done":4}`), Finished: true, Reason: "stopped"},
		"entry-abort":        Entry{Type: EntryAbort, Job: "d1", Token: 12, Operation: &Operation{Number: 5, Name: "write"}},
		"entry-approve":      Entry{Type: EntryApprove, Job: "d1", Approval: &usedApproval},
		"entry-raise-token":  Entry{Type: EntryRaiseToken, Job: "d1", Token: 70},
		"entry-authorize":    Entry{Type: EntryAuthorize, Job: "d1", Token: 12, Operation: &Operation{Number: 5, Name: "switch"}},
		"rejection":          RejectedError{Reason: RejectAlreadyApproved, Job: "d1", Presented: 3, Current: 4, Detail: "go by ben"},
		"rejection-by-token": reject(RejectStaleToken, "d1", 3, 4),
		"report": Report{
			Kinds: []string{"drill", "move"}, AcceptsJobs: true, Healthy: true, Zone: "z1", UptimeMillis: 1234.5, Load: 0.25, ReachableGroups: []uint64{1, 2}, LocalGroups: []uint64{2},
			Progress: map[string]uint64{"d1": 7, "d2": 8}, HighestToken: 17,
		},
	}
}

func goldenFile(t *testing.T, name string, got []byte) []byte {
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, append(got, '\n'), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	return want
}

// Stored and sent values keep their encoding byte for byte, and earlier encodings survive decoding and encoding unchanged.
func TestGoldenEncodings(t *testing.T) {
	for name, value := range goldenValues() {
		t.Run(name, func(t *testing.T) {
			got, err := json.Marshal(value)
			require.NoError(t, err)
			want := goldenFile(t, name+".json", got)
			require.Equal(t, string(want), string(got)+"\n")
			kind := reflect.TypeOf(value)
			if kind.Kind() == reflect.Pointer {
				kind = kind.Elem()
			}
			read := reflect.New(kind)
			require.NoError(t, json.Unmarshal(want, read.Interface()))
			again, err := json.Marshal(read.Interface())
			require.NoError(t, err)
			require.Equal(t, string(want), string(again)+"\n")
		})
	}
	files, err := filepath.Glob(filepath.Join("testdata", "golden", "*.json"))
	require.NoError(t, err)
	require.Len(t, files, len(goldenValues()), "one file a value")
}

// The codes of entries and rejections in the log and in messages stay the same.
func TestGoldenCodes(t *testing.T) {
	var got []byte
	for _, op := range []EntryType{EntryCreate, EntryAssign, EntryRelease, EntryAnnounce, EntryConfirm, EntryAbort, EntryApprove, EntryRaiseToken, EntryAuthorize} {
		got = append(got, "entry "+string(op)+"\n"...)
	}
	for _, c := range []RejectCode{RejectStaleToken, RejectNotHolder, RejectUnknownJob, RejectJobExists, RejectOperationOpen, RejectOperationNotOpen, RejectWrongStep, RejectAlreadyApproved, RejectJobFinished, RejectLimitExceeded, RejectMalformed} {
		got = append(got, "rejection "+string(c)+"\n"...)
	}
	got = append(got, (&FencedError{Target: "db1", Presented: 3, Current: 4}).Code()...)
	got = append(got, "\n"+operation(7).ID("d1")...)
	require.Equal(t, string(goldenFile(t, "codes.txt", got)), string(got)+"\n")
}

// A log with at least one entry of each type leads to the same state, byte for byte.
func TestGoldenStateOfALog(t *testing.T) {
	approval := &Approval{Action: "go", By: "ann", Step: 1}
	machine := applyAll(t, Entry{Type: EntryCreate, Job: "d1", JobKind: "drill", Spec: json.RawMessage(`{"database":"works"}`), RequiredGroups: []uint64{1}},
		Entry{Type: EntryAssign, Job: "d1", Holder: "n1", Incarnation: 8},
		Entry{Type: EntryAnnounce, Job: "d1", Token: 1, Operation: operation(1)},
		Entry{Type: EntryAuthorize, Job: "d1", Token: 1, Operation: operation(1)},
		Entry{Type: EntryConfirm, Job: "d1", Token: 1, Operation: operation(1), State: json.RawMessage(`{"done":1}`)},
		Entry{Type: EntryApprove, Job: "d1", Approval: approval},
		Entry{Type: EntryAnnounce, Job: "d1", Token: 1, Step: 1, Operation: operation(2), Approval: approval},
		Entry{Type: EntryAbort, Job: "d1", Token: 1, Operation: operation(2)},
		Entry{Type: EntryRelease, Job: "d1", Token: 1},
		Entry{Type: EntryCreate, Job: "d2", JobKind: "drill"},
		Entry{Type: EntryAssign, Job: "d2", Holder: "n1", Incarnation: 8},
		Entry{Type: EntryRaiseToken, Job: "d2", Token: 9},
		Entry{Type: EntryAssign, Job: "d2", Token: 2, Holder: "n2", Incarnation: 9},
		Entry{Type: EntryAnnounce, Job: "d2", Token: 10, Operation: operation(1)},
		Entry{Type: EntryConfirm, Job: "d2", Token: 10, Operation: operation(1), Finished: true, Reason: "all deeds are done"},
		Entry{Type: EntryAssign, Job: "d1", Token: 1, Holder: "n2", Incarnation: 9},
		Entry{Type: EntryAnnounce, Job: "d1", Token: 11, Step: 1, Operation: operation(3), Approval: approval})
	got, err := json.MarshalIndent(machine, "", "  ")
	require.NoError(t, err)
	want := goldenFile(t, "log-applied.txt", got)
	require.Equal(t, string(want), string(got)+"\n")
	var read StateMachine
	require.NoError(t, json.Unmarshal(want, &read))
	again, err := json.MarshalIndent(read, "", "  ")
	require.NoError(t, err)
	require.Equal(t, string(want), string(again)+"\n")
}
