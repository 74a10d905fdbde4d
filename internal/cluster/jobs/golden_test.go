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

// goldenValues has one value of each kind that is stored in the agreed log or sent between processes, with every field set.
// The name is that of the golden file.
func goldenValues() map[string]any {
	word := Word{Say: "rollback", By: "ann", Step: 3, Lasting: true}
	deed := Deed{Number: 6, Name: "switch", Token: 17, Data: json.RawMessage(`{"rows":12,"until":"b <&> c"}`), Word: &word}
	other := Word{Say: "go", By: "ben", Step: 4, Lasting: true}
	open := Work{Name: "orders-to-2", Kind: "move", Spec: json.RawMessage(`{"tenant":"orders","from":1,"to":2}`), Needs: []uint64{1, 2}, Owner: "n1",
		Instance: 9007199254740993, Token: 17, Step: 4, State: json.RawMessage(`{"phase":"copying"}`), Deed: &deed, Word: &other, Owners: 5, Voided: 2,
		Changed: 41}
	ended := Work{Name: "d1", Kind: "drill", Spec: json.RawMessage(`{"database":"works"}`), Needs: []uint64{3}, Instance: 8, Token: 12, Step: 20,
		State: json.RawMessage(`{"done":20}`), Owners: 1, Voided: 1, Ended: true, Why: "all deeds are done", Changed: 40}
	all := ended // which no work ever is: for the sake of every key
	all.Owner, all.Deed, all.Word = "n2", &deed, &other
	entry := Entry{Work: "orders-to-2", Token: 17, To: "n2", Instance: 9007199254740995, Kind: "move", Spec: json.RawMessage(`{"tenant":"orders"}`),
		Needs: []uint64{1, 2}, Step: 4, Deed: &deed, State: json.RawMessage(`{"phase":"done"}`), Word: &word, Ended: true, Why: "accepted"}
	full := entry
	full.Op = Create
	return map[string]any{
		"state":      Ledger{High: 17, Works: map[string]*Work{"orders-to-2": &open, "d1": &ended}, Count: 41, Loose: true},
		"job":        all,
		"operation":  deed,
		"approval":   word,
		"option":     Option{Say: "rollback", Does: "the old one opens", Lasting: true},
		"token":      Token(1<<63 + 1),
		"entry-full": full,
		"entry-create": Entry{Op: Create, Work: "d1", Kind: "drill", Spec: json.RawMessage(`{"database":"works"}`), Needs: []uint64{3},
			State: json.RawMessage(`{"done":0}`)},
		"entry-assign":       Entry{Op: Assign, Work: "d1", Token: 12, To: "n1", Instance: 8},
		"entry-release":      Entry{Op: Resign, Work: "d1", Token: 12},
		"entry-announce":     Entry{Op: Announce, Work: "d1", Token: 12, Step: 3, Deed: &Deed{Number: 5, Name: "write", Data: json.RawMessage(`{"n":1}`)}, Word: &word},
		"entry-confirm":      Entry{Op: Prove, Work: "d1", Token: 12, Deed: &Deed{Number: 5, Name: "write"}, State: json.RawMessage(`{"done":4}`), Ended: true, Why: "stopped"},
		"entry-abort":        Entry{Op: Void, Work: "d1", Token: 12, Deed: &Deed{Number: 5, Name: "write"}},
		"entry-approve":      Entry{Op: Say, Work: "d1", Word: &word},
		"entry-raise-token":  Entry{Op: Raise, Work: "d1", Token: 70},
		"entry-authorize":    Entry{Op: Act, Work: "d1", Token: 12, Deed: &Deed{Number: 5, Name: "switch"}},
		"rejection":          Refusal{Reason: WordThere, Work: "d1", Given: 3, Holds: 4, Detail: "go by ben"},
		"rejection-by-token": refuse(TokenOld, "d1", 3, 4),
		"report": Report{Kinds: []string{"drill", "move"}, Willing: true, Sound: true, Zone: "z1", Up: 1234.5, Load: 0.25, Reach: []uint64{1, 2}, Near: []uint64{2},
			Progress: map[string]uint64{"d1": 7, "d2": 8}, Seen: 17},
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

// What is stored and sent keeps its bytes, and what was stored or sent before is read and written again alike.
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

// The words by which entries and rejections are told apart in the log and in messages.
func TestGoldenCodes(t *testing.T) {
	var got []byte
	for _, op := range []Op{Create, Assign, Resign, Announce, Prove, Void, Say, Raise, Act} {
		got = append(got, "entry "+string(op)+"\n"...)
	}
	for _, c := range []Code{TokenOld, NotOwner, NoWork, Exists, DeedOpen, NoDeed, StepPassed, WordThere, HasEnded, TooMuch, Malformed} {
		got = append(got, "rejection "+string(c)+"\n"...)
	}
	got = append(got, (&Fenced{Place: "db1", Given: 3, Holds: 4}).Code()...)
	got = append(got, "\n"+deed(7).ID("d1")...)
	require.Equal(t, string(goldenFile(t, "codes.txt", got)), string(got)+"\n")
}

// A log of one entry of each kind comes to the same state, byte for byte.
func TestGoldenStateOfALog(t *testing.T) {
	word := &Word{Say: "go", By: "ann", Step: 1}
	l := ledger(t, Entry{Op: Create, Work: "d1", Kind: "drill", Spec: json.RawMessage(`{"database":"works"}`), Needs: []uint64{1}},
		Entry{Op: Assign, Work: "d1", To: "n1", Instance: 8},
		Entry{Op: Announce, Work: "d1", Token: 1, Deed: deed(1)},
		Entry{Op: Act, Work: "d1", Token: 1, Deed: deed(1)},
		Entry{Op: Prove, Work: "d1", Token: 1, Deed: deed(1), State: json.RawMessage(`{"done":1}`)},
		Entry{Op: Say, Work: "d1", Word: word},
		Entry{Op: Announce, Work: "d1", Token: 1, Step: 1, Deed: deed(2), Word: word},
		Entry{Op: Void, Work: "d1", Token: 1, Deed: deed(2)},
		Entry{Op: Resign, Work: "d1", Token: 1},
		Entry{Op: Create, Work: "d2", Kind: "drill"},
		Entry{Op: Assign, Work: "d2", To: "n1", Instance: 8},
		Entry{Op: Raise, Work: "d2", Token: 9},
		Entry{Op: Assign, Work: "d2", Token: 2, To: "n2", Instance: 9},
		Entry{Op: Announce, Work: "d2", Token: 10, Deed: deed(1)},
		Entry{Op: Prove, Work: "d2", Token: 10, Deed: deed(1), Ended: true, Why: "all deeds are done"},
		Entry{Op: Assign, Work: "d1", Token: 1, To: "n2", Instance: 9},
		Entry{Op: Announce, Work: "d1", Token: 11, Step: 1, Deed: deed(3), Word: word})
	got, err := json.MarshalIndent(l, "", "  ")
	require.NoError(t, err)
	want := goldenFile(t, "log-applied.txt", got)
	require.Equal(t, string(want), string(got)+"\n")
	var read Ledger
	require.NoError(t, json.Unmarshal(want, &read))
	again, err := json.MarshalIndent(read, "", "  ")
	require.NoError(t, err)
	require.Equal(t, string(want), string(again)+"\n")
}
