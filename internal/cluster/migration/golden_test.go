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

// The files under testdata/golden were written by the version before the renaming of issue 33. Every version has to write
// and read the same bytes, since they are stored in the replicated log and in the voters' data directories.
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
		Tenant: "orders", From: 1, To: 2, MaxPauseMillis: 4000, FenceWaitMillis: 200, MaxAbortedPauses: 3, BackoffMillis: 1000, Checkpoints: []Checkpoint{CheckpointChecked, CheckpointFencing, CheckpointSwitching, CheckpointAccepting},
		BlockingSessions: "end", MaxRowsPerSecond: 1234.5, SampledQueries: 7, OldCopy: "drop", Priority: 2.5,
	}
}

func filledState(phase Phase) State {
	return State{
		Phase: phase, Reverse: true, RollbackReason: "an operator said rollback", HoldReason: "the copy differs",
		CheckResults:     CheckResults{{Reason: CheckNoReplicaIdentity, Name: "public.a", Detail: "no key", Informational: true}},
		Differences:      []Difference{{Kind: "rows", Table: "public.a", Range: "1 to 2", Source: "1 rows, aa", Target: "2 rows, bb"}},
		BlockingSessions: []BlockingSession{{PID: 17, User: "app", Kind: "writing", Age: "3s"}},
		LostCommits:      []string{"group 1 failed over from timeline 1 to 2"}, Notes: []string{"the pause was taken back: its time was up"},
		Published: true, Copy: CopyCheckpoint{LastTable: "public.a", Complete: true, BatchRows: 500, BatchStarted: LeaseTime{At: 1000.5, Token: 3}, Restarts: 2},
		Comparison: ComparisonCheckpoint{LastRange: "public.a 5", Complete: true, EqualRanges: 11, ChangedRanges: 2, Started: LeaseTime{At: 2000.25, Token: 4}},
		Timelines:  Timelines{Source: 1, Target: 2}, FailedOver: true, RecopyRequired: true,
		Pause:         &Pause{Started: LeaseTime{At: 3000, Token: 5}, RulesVersion: 7, FenceAttempts: 2, Fence: &FencePoint{Timeline: 1, LSN: 0x1_0000_0500}, Verified: true, RangesRead: 4, QueriesReplayed: 6},
		AbortedPauses: 2, LastAbort: LeaseTime{At: 4000, Token: 5}, ReverseReplicating: true,
	}
}

func filledData() OperationData {
	return OperationData{
		At: 1e6, TimeoutMillis: 150.5, Rows: 2000, EndBlockingSessions: true, Recopy: true, Reverse: true, RollbackReason: "an operator said rollback", HoldReason: "an operator said pause",
		Reason: "its time was up", FailedOver: true, LostCommits: "group 1 failed over from timeline 1 to 2",
	}
}

// operations lists all operations.
var operations = []Operation{
	OperationCheck, OperationPublish, OperationSubscribe, OperationCopy, OperationTrack, OperationCompare, OperationPause, OperationFence, OperationVerify, OperationSwitch, OperationReplicateBack, OperationReopen,
	OperationAccept, OperationFinish, OperationCleanUp, OperationCancel, OperationHold, OperationResume, OperationRollBack, OperationDiscardApproval,
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

// For each operation, compares its announced data and its result: the new state, and whether and why the job finished.
func TestGoldenOperations(t *testing.T) {
	result := outcome{
		Recovery: Recovery{
			Done: true, Timelines: Timelines{3, 4}, Copied: CopyResult{LastTable: "public.b", Rows: 400, Complete: true},
			Compared: ComparisonResult{LastRange: "public.b 9", Complete: true, EqualRanges: 3, ChangedRanges: 1, Differences: []Difference{{Kind: "rows", Table: "public.b", Range: "9 to the end", Source: "1 rows, aa", Target: "0 rows, 00"}}},
			Fence:    &FencePoint{Timeline: 1, LSN: 900},
		}, checkResults: CheckResults{{Reason: CheckSequence, Name: "public.s", Detail: "at 5", Informational: true}},
		blocking: []BlockingSession{{PID: 18, User: "batch", Kind: "writing", Age: "9s"}}, verification: VerificationResult{RangesRead: 5, QueriesReplayed: 6, Timelines: Timelines{1, 4}}, rulesVersion: 8,
	}
	for _, name := range operations {
		t.Run(string(name), func(t *testing.T) {
			data, err := json.Marshal(filledData())
			require.NoError(t, err)
			applied, err := applyOutcome(Request{Plan: filledPlan(), Job: "orders-to-2", Token: 6, Number: 21, Operation: name, AnnouncedToken: 5, State: filledState(PhaseVerifying), Data: filledData()}, result)
			require.NoError(t, err)
			var state State
			require.NoError(t, json.Unmarshal(applied.State, &state))
			again, err := json.Marshal(state)
			require.NoError(t, err)
			require.Equal(t, string(applied.State), string(again))
			requireGoldenJSON(t, "operation-"+string(name)+".json", struct {
				Data         json.RawMessage `json:"data"`
				State        json.RawMessage `json:"state"`
				Ended        bool            `json:"ended"`
				FinishReason string          `json:"why"`
			}{data, applied.State, applied.Finished, applied.Reason})
		})
	}
}

// Compares the encoding of the checkpoints in a state and of the results that the database hosts return.
func TestGoldenResults(t *testing.T) {
	s := filledState(PhaseVerifying)
	requireGoldenJSON(t, "checkpoint-copy.json", s.Copy)
	requireGoldenJSON(t, "checkpoint-compare.json", s.Comparison)
	requireGoldenJSON(t, "checkpoint-pause.json", s.Pause)
	requireGoldenJSON(t, "copied.json", CopyResult{LastTable: "public.a", Rows: 12, Complete: true})
	requireGoldenJSON(t, "compared.json", ComparisonResult{LastRange: "public.a 5", Complete: true, EqualRanges: 2, ChangedRanges: 1, Differences: s.Differences})
	requireGoldenJSON(t, "verified.json", VerificationResult{RangesRead: 2, QueriesReplayed: 3, Differences: s.Differences, Timelines: Timelines{1, 2}, TimedOut: true})
}

func TestGoldenDigest(t *testing.T) {
	var sum, more RangeDigest
	sum.AddRow([]byte("1"), []byte("x"), nil)
	more.AddRow([]byte("1"), []byte("x"), nil)
	more.AddRow([]byte("2"), []byte(""), []byte("y"))
	table := Range{Table: "public.a", From: "", To: "5"}
	rest := Range{Table: "public.a", From: "5", To: ""}
	var out bytes.Buffer
	for _, s := range []RangeDigest{sum, more} {
		fmt.Fprintf(&out, "%s %d %016x\n", s, s.Rows, s.Sum)
	}
	for _, d := range CompareRanges(map[Range]RangeDigest{table: sum, rest: more}, map[Range]RangeDigest{table: more}) {
		fmt.Fprintf(&out, "%s\n", d.Error())
	}
	requireGolden(t, "digest.txt", out.Bytes())
}

// goldenCases is the number of decisions in decisions.jsonl.
const goldenCases = 600

// Compares the decisions in random states from a fixed seed, including wait reasons and the effect of each approval.
func TestGoldenDecisions(t *testing.T) {
	random := rand.New(rand.NewPCG(33, 1))
	randomBool := func() bool { return random.IntN(2) == 0 }
	var out bytes.Buffer
	for range goldenCases {
		s := State{
			Phase: Phases[random.IntN(len(Phases))], Published: randomBool(), ReverseReplicating: randomBool(), RecopyRequired: random.IntN(8) == 0, FailedOver: randomBool(), Timelines: Timelines{1 + random.IntN(2), 1},
			Comparison: ComparisonCheckpoint{Complete: randomBool(), Started: LeaseTime{999_000, 5}}, Copy: CopyCheckpoint{Complete: randomBool(), BatchRows: 3000, BatchStarted: LeaseTime{998_000, jobs.FencingToken(4 + random.IntN(2))}}, AbortedPauses: random.IntN(3), LastAbort: LeaseTime{999_500, 5},
		}
		if random.IntN(4) == 0 {
			s.RollbackReason = "an operator said rollback"
		}
		if s.Phase == PhaseFencing || s.Phase == PhaseVerifying {
			s.Reverse, s.Pause = randomBool(), &Pause{Started: LeaseTime{1e6 - float64(random.IntN(4000)), jobs.FencingToken(4 + min(1, random.IntN(4)))}, RulesVersion: 3, FenceAttempts: random.IntN(2)}
			if s.Phase == PhaseVerifying {
				s.Pause.Fence, s.Pause.Verified = &FencePoint{Timeline: 1, LSN: 500}, randomBool()
			}
			if random.IntN(4) == 0 {
				s.Differences = filledState(PhaseVerifying).Differences
			}
			if randomBool() {
				s.BlockingSessions = filledState(PhaseVerifying).BlockingSessions
			}
		} else if random.IntN(4) == 0 {
			s.HoldReason = "the check refuses"
		}
		var approval *jobs.Approval
		if randomBool() {
			action := []string{ActionGo, ActionPause, ActionResume, ActionRollback, ActionAccept, "other"}[random.IntN(6)]
			approval = &jobs.Approval{Action: action, By: "op", Step: uint64(8 + random.IntN(2)), Persistent: action == ActionRollback}
		}
		var observation any
		if random.IntN(8) > 0 {
			observation = &Observation{
				Step: 9, Version: 2 + random.IntN(3), InForce: random.IntN(4) > 0, Paused: random.IntN(4) > 0, MayStart: randomBool(), WaitReason: "group 2 has 2 of 2 moves", RowsPerSecond: float64(random.IntN(3) * 500),
				ReplicationStatus: ReplicationStatus{
					Reachable: random.IntN(8) > 0, Timelines: Timelines{1 + random.IntN(2), 1}, AppliedLSN: LSN(499 + random.IntN(2)), TablesCopied: random.IntN(4) > 0,
					SlotLost: random.IntN(8) == 0, TargetAhead: random.IntN(8) == 0, TrackingLost: random.IntN(8) == 0, TargetUnfenced: random.IntN(4) == 0,
					LagMillis: float64(random.IntN(5000)), VerifyMillis: float64(random.IntN(5000)), UnfitReason: []string{"", "", "cold", "draining"}[random.IntN(4)],
				},
			}
		}
		state, err := json.Marshal(s)
		require.NoError(t, err)
		m := &Migrator{Timing: testTiming}
		decision := m.Next(1e6, &jobs.Job{Name: "w", Kind: JobKind, Spec: json.RawMessage(testPlan), Token: 5, Step: 9, State: state, Approval: approval}, observation)
		line, err := json.Marshal(struct {
			Operation  string                `json:"operation"`
			Data       json.RawMessage       `json:"data"`
			Approval   *jobs.Approval        `json:"word"`
			Wait       float64               `json:"wait"`
			WaitReason string                `json:"why"`
			Options    []jobs.ApprovalOption `json:"says"`
		}{decision.OperationName, decision.Data, decision.Approval, decision.RetryAfterMillis, decision.Reason, decision.Options})
		require.NoError(t, err)
		out.Write(append(line, '\n'))
	}
	requireGolden(t, "decisions.jsonl", out.Bytes())
}
