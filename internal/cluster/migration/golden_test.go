package migration

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/jobs"
)

// The files under testdata/golden were written by the version before the renaming of issue 33. Later versions have to
// write and read the same bytes, since they stand in the agreed log and in voters' folders.
var updateGolden = flag.Bool("update-golden", false, "write the files under testdata/golden anew")

// requireGolden compares bytes with a committed file.
func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), name)
}

// requireGoldenJSON compares a value's encoding with a committed file, then decodes the file and encodes it again.
func requireGoldenJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	got, err := json.Marshal(value)
	require.NoError(t, err)
	got = append(got, '\n')
	requireGolden(t, name, got)
	var decoded T
	decoder := json.NewDecoder(bytes.NewReader(got))
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(&decoded), name)
	again, err := json.Marshal(decoded)
	require.NoError(t, err)
	require.Equal(t, string(got), string(again)+"\n", name)
}

// requireFilled fails if any field is zero.
func requireFilled(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		require.False(t, v.IsNil(), path)
		requireFilled(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			requireFilled(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		require.NotZero(t, v.Len(), path)
		for i := range v.Len() {
			requireFilled(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	default:
		require.False(t, v.IsZero(), path)
	}
}

func filledPlan() Plan {
	return Plan{
		Tenant: "orders", From: 1, To: 2, Pause: 4000, Lock: 200, Tries: 3, Rest: 1000, Checkpoints: []string{AtChecked, AtClosing, AtSwitching, AtAccepting},
		Stragglers: "end", Pace: 1234.5, Reads: 7, Old: "drop", Need: 2.5,
	}
}

func filledState(phase Phase) State {
	return State{
		Phase: phase, Reverse: true, Back: "an operator said rollback", Held: "the copy differs",
		Findings:   Findings{{Reason: NoIdentity, Name: "public.a", Detail: "no key", Told: true}},
		Differ:     []Difference{{Kind: "rows", Table: "public.a", Range: "1 to 2", Home: "1 rows, aa", Other: "2 rows, bb"}},
		Stragglers: []Straggler{{PID: 17, User: "app", Kind: "writing", Age: "3s"}},
		Lost:       []string{"group 1 failed over from timeline 1 to 2"}, Notes: []string{"the pause was taken back: its time was up"},
		Published: true, Copy: Copy{After: "public.a", All: true, Rows: 500, Begun: Begun{At: 1000.5, Token: 3}, Again: 2},
		Compare: Compare{After: "public.a 5", All: true, Ranges: 11, Hot: 2, Begun: Begun{At: 2000.25, Token: 4}},
		Lines:   Lines{Home: 1, Other: 2}, Doubt: true, Again: true,
		Pause: &Pause{Begun: Begun{At: 3000, Token: 5}, Version: 7, Closes: 2, Closed: &Closed{Line: 1, Position: 0x1_0000_0500}, Verified: true, Ranges: 4, Reads: 6},
		Tries: 2, Rested: Begun{At: 4000, Token: 5}, Fed: true,
	}
}

func filledData() Data {
	return Data{
		At: 1e6, Within: 150.5, Rows: 2000, End: true, Again: true, Reverse: true, Back: "an operator said rollback", Held: "an operator said pause",
		Why: "its time was up", Doubt: true, Lost: "group 1 failed over from timeline 1 to 2",
	}
}

// operations are the names of all of them.
var operations = []string{
	DeedCheck, DeedPublish, DeedSubscribe, DeedCopy, DeedMark, DeedCompare, DeedPause, DeedClose, DeedVerify, DeedSwitch, DeedFeed, DeedReopen,
	DeedAccept, DeedFinish, DeedClear, DeedEnd, DeedHold, DeedResume, DeedBack, DeedDrop,
}

func TestGoldenPlan(t *testing.T) {
	requireFilled(t, "plan", reflect.ValueOf(filledPlan()))
	requireGoldenJSON(t, "plan.json", filledPlan())
}

func TestGoldenStates(t *testing.T) {
	for _, phase := range Phases {
		t.Run(string(phase), func(t *testing.T) {
			requireFilled(t, "state", reflect.ValueOf(filledState(phase)))
			requireGoldenJSON(t, "state-"+string(phase)+".json", filledState(phase))
		})
	}
}

// Each operation: its data as announced, and the state and the end as its proof says.
func TestGoldenOperations(t *testing.T) {
	r := result{
		Found: Found{
			Done: true, Lines: Lines{3, 4}, Copied: Copied{After: "public.b", Rows: 400, All: true},
			Compared: Compared{After: "public.b 9", All: true, Equal: 3, Hot: 1, Differ: []Difference{{Kind: "rows", Table: "public.b", Range: "9 to the end", Home: "1 rows, aa", Other: "0 rows, 00"}}},
			Closed:   &Closed{Line: 1, Position: 900},
		}, findings: Findings{{Reason: Sequences, Name: "public.s", Detail: "at 5", Told: true}},
		held: []Straggler{{PID: 18, User: "batch", Kind: "writing", Age: "9s"}}, verified: Verified{Ranges: 5, Reads: 6, Lines: Lines{1, 4}}, version: 8,
	}
	for _, name := range operations {
		t.Run(name, func(t *testing.T) {
			data, err := json.Marshal(filledData())
			require.NoError(t, err)
			proof, err := after(Act{Plan: filledPlan(), Work: "orders-to-2", Token: 6, Number: 21, Name: name, Told: 5, State: filledState(Verifying), Data: filledData()}, r)
			require.NoError(t, err)
			var state State
			require.NoError(t, json.Unmarshal(proof.State, &state))
			again, err := json.Marshal(state)
			require.NoError(t, err)
			require.Equal(t, string(proof.State), string(again))
			requireGoldenJSON(t, "operation-"+name+".json", struct {
				Data  json.RawMessage `json:"data"`
				State json.RawMessage `json:"state"`
				Ended bool            `json:"ended"`
				Why   string          `json:"why"`
			}{data, proof.State, proof.Finished, proof.Reason})
		})
	}
}

// What the database hosts return, where a copy and a comparison go on, and what is found there.
func TestGoldenResults(t *testing.T) {
	s := filledState(Verifying)
	requireGoldenJSON(t, "checkpoint-copy.json", s.Copy)
	requireGoldenJSON(t, "checkpoint-compare.json", s.Compare)
	requireGoldenJSON(t, "checkpoint-pause.json", s.Pause)
	requireGoldenJSON(t, "copied.json", Copied{After: "public.a", Rows: 12, All: true})
	requireGoldenJSON(t, "compared.json", Compared{After: "public.a 5", All: true, Equal: 2, Hot: 1, Differ: s.Differ})
	requireGoldenJSON(t, "verified.json", Verified{Ranges: 2, Reads: 3, Differ: s.Differ, Lines: Lines{1, 2}, Late: true})
}

func TestGoldenDigest(t *testing.T) {
	var sum, more Sum
	sum.Row([]byte("1"), []byte("x"), nil)
	more.Row([]byte("1"), []byte("x"), nil)
	more.Row([]byte("2"), []byte(""), []byte("y"))
	table := Range{Table: "public.a", From: "", To: "5"}
	rest := Range{Table: "public.a", From: "5", To: ""}
	var out bytes.Buffer
	for _, s := range []Sum{sum, more} {
		fmt.Fprintf(&out, "%s %d %016x\n", s, s.Rows, s.Digest)
	}
	for _, d := range Differ(map[Range]Sum{table: sum, rest: more}, map[Range]Sum{table: more}) {
		fmt.Fprintf(&out, "%s\n", d.Error())
	}
	requireGolden(t, "digest.txt", out.Bytes())
}

// goldenCases is how many decisions stand in decisions.jsonl.
const goldenCases = 600

// What is decided in states drawn from a fixed seed, with what is waited for and what each approval would do.
func TestGoldenDecisions(t *testing.T) {
	random := rand.New(rand.NewPCG(33, 1))
	yes := func() bool { return random.IntN(2) == 0 }
	var out bytes.Buffer
	for range goldenCases {
		s := State{
			Phase: Phases[random.IntN(len(Phases))], Published: yes(), Fed: yes(), Again: random.IntN(8) == 0, Doubt: yes(), Lines: Lines{1 + random.IntN(2), 1},
			Compare: Compare{All: yes(), Begun: Begun{999_000, 5}}, Copy: Copy{All: yes(), Rows: 3000, Begun: Begun{998_000, jobs.FencingToken(4 + random.IntN(2))}}, Tries: random.IntN(3), Rested: Begun{999_500, 5},
		}
		if random.IntN(4) == 0 {
			s.Back = "an operator said rollback"
		}
		if s.Phase == Closing || s.Phase == Verifying {
			s.Reverse, s.Pause = yes(), &Pause{Begun: Begun{1e6 - float64(random.IntN(4000)), jobs.FencingToken(4 + min(1, random.IntN(4)))}, Version: 3, Closes: random.IntN(2)}
			if s.Phase == Verifying {
				s.Pause.Closed, s.Pause.Verified = &Closed{Line: 1, Position: 500}, yes()
			}
			if random.IntN(4) == 0 {
				s.Differ = filledState(Verifying).Differ
			}
			if yes() {
				s.Stragglers = filledState(Verifying).Stragglers
			}
		} else if random.IntN(4) == 0 {
			s.Held = "the check refuses"
		}
		var word *jobs.Approval
		if yes() {
			say := []string{Go, Hold, Resume, Rollback, Accept, "other"}[random.IntN(6)]
			word = &jobs.Approval{Action: say, By: "op", Step: uint64(8 + random.IntN(2)), Persistent: say == Rollback}
		}
		var seen any
		if random.IntN(8) > 0 {
			seen = &Seen{
				Step: 9, Version: 2 + random.IntN(3), InForce: random.IntN(4) > 0, Paused: random.IntN(4) > 0, Turn: yes(), Turns: "group 2 has 2 of 2 moves", Pace: float64(random.IntN(3) * 500),
				Progress: Progress{
					Reached: random.IntN(8) > 0, Lines: Lines{1 + random.IntN(2), 1}, Applied: Position(499 + random.IntN(2)), Ready: random.IntN(4) > 0,
					SlotLost: random.IntN(8) == 0, Ahead: random.IntN(8) == 0, Unmarked: random.IntN(8) == 0, FenceOff: random.IntN(4) == 0,
					Behind: float64(random.IntN(5000)), Verify: float64(random.IntN(5000)), Unfit: []string{"", "", "cold", "draining"}[random.IntN(4)],
				},
			}
		}
		state, err := json.Marshal(s)
		require.NoError(t, err)
		m := &Mover{Costs: testCosts}
		step := m.Next(1e6, &jobs.Job{Name: "w", Kind: Name, Spec: json.RawMessage(testPlan), Token: 5, Step: 9, State: state, Approval: word}, seen)
		line, err := json.Marshal(struct {
			Operation string                `json:"operation"`
			Data      json.RawMessage       `json:"data"`
			Word      *jobs.Approval        `json:"word"`
			Wait      float64               `json:"wait"`
			Why       string                `json:"why"`
			Says      []jobs.ApprovalOption `json:"says"`
		}{step.OperationName, step.Data, step.Approval, step.RetryAfterMillis, step.Reason, step.Options})
		require.NoError(t, err)
		out.Write(append(line, '\n'))
	}
	requireGolden(t, "decisions.jsonl", out.Bytes())
}
