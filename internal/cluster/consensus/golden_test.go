package consensus

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/jobs"
)

var updateGolden = flag.Bool("update-golden", false, "write testdata/golden anew from this program")

// golden compares bytes with those of a committed file and returns the latter.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), path)
	return want
}

// goldenRules hold a value of each type.
func goldenRules() Rules {
	return Rules{"tries": 3.0, "class.browse.bound_ms": 250.5, "class.browse.repeat": false, "host.s-1.x.closed": true, "database.orders.group": 7.0}
}

func goldenVersion(n int) Version {
	return Version{Number: n, Rules: goldenRules(), ProposedBy: "pooler-a", Format: 1}
}

func goldenDeed() *jobs.Operation {
	return &jobs.Operation{Number: 3, Name: "copy", Token: 9, Data: json.RawMessage(`{"from":1}`), Approval: &jobs.Approval{Action: "go", By: "op", Step: 2, Persistent: true}}
}

// goldenOperation has no field of its zero value.
func goldenOperation() *jobs.Entry {
	return &jobs.Entry{
		Type: jobs.EntryAnnounce, Job: "move-orders", Token: 9, Holder: "pooler-b", Incarnation: 1 << 63, JobKind: "move", Spec: json.RawMessage(`{"to":2}`),
		RequiredGroups: []uint64{1, 2}, Step: 2, Operation: goldenDeed(), State: json.RawMessage(`{"phase":"copy"}`), Approval: &jobs.Approval{Action: "go", By: "op", Step: 2, Persistent: true},
		Finished: true, Reason: "finished",
	}
}

func goldenJob(name string) *jobs.Job {
	return &jobs.Job{
		Name: name, Kind: "move", Spec: json.RawMessage(`{"to":2}`), RequiredGroups: []uint64{1, 2}, Holder: "pooler-b", Incarnation: 1<<63 + 1, Token: 9, Step: 2,
		State: json.RawMessage(`{"phase":"copy"}`), Operation: goldenDeed(), Approval: &jobs.Approval{Action: "hold", By: "op", Step: 2, Persistent: true}, HolderCount: 4, AbortedOperations: 1, Finished: true,
		Reason: "finished", Revision: 11,
	}
}

func goldenState() replicatedState {
	pending := goldenVersion(5)
	return replicatedState{
		Last: 5, Held: VersionState{Active: goldenVersion(4), Pending: &pending, HighestToken: 9}, Versions: []Version{goldenVersion(4), goldenVersion(5)},
		Names: map[uint64]string{3: "pooler-a", 1<<63 + 5: "pooler-b"},
		Done: []proposalOutcome{
			{ID: 1 << 62, N: 4},
			{ID: 18, Why: "version 4 came first and is not in force yet"},
			{ID: 19, N: 5, Why: "why", Work: true, Name: "move-orders", Refused: &jobs.RejectedError{Reason: jobs.RejectStaleToken, Job: "move-orders", Presented: 8, Current: 9, Detail: "late"}},
		},
		Epoch: 77, Ledger: jobs.StateMachine{HighestToken: 9, Jobs: map[string]*jobs.Job{"move-orders": goldenJob("move-orders"), "a": goldenJob("a")}, Revision: 12},
	}
}

// Entries of the log are stored by voters and sent between them: what an earlier program wrote is read, and written alike.
func TestGoldenLogEntries(t *testing.T) {
	version := goldenVersion(4)
	for name, x := range map[string]logEntry{
		"propose":       {Propose: &version, ID: 1<<63 + 3},
		"force":         {Force: 4},
		"work":          {ID: 1<<63 + 4, Work: goldenOperation()},
		"work-change":   {ID: 1<<63 + 5, Work: goldenOperation(), Change: Rules{"tries": 2.0, "class.a.repeat": nil}},
		"work-raise":    {ID: 6, Work: &jobs.Entry{Type: jobs.EntryRaiseToken, Token: 70}},
		"propose-empty": {Propose: &Version{}, ID: 7},
	} {
		b, err := json.Marshal(x)
		require.NoError(t, err)
		stored := golden(t, filepath.Join("entries", name+".json"), b)
		var read logEntry
		require.NoError(t, json.Unmarshal(stored, &read))
		require.Equal(t, x, read, name)
		again, err := json.Marshal(read)
		require.NoError(t, err)
		require.Equal(t, string(stored), string(again), name)
	}
}

// A snapshot holds what the log came to.
func TestGoldenSnapshot(t *testing.T) {
	b, err := json.Marshal(goldenState())
	require.NoError(t, err)
	stored := golden(t, "snapshot.json", b)
	disk := InitialState("pooler-a", []string{"pooler-a"})
	disk.Snapshot.Data = stored
	n, err := New(Config{Name: "pooler-a", Voters: []string{"pooler-a"}, LeaseMillis: 200, RenewIntervalMillis: 30, ElectionTimeoutMillis: 50}, disk, 0)
	require.NoError(t, err)
	require.Equal(t, goldenState(), n.st)
	again, err := json.Marshal(n.st)
	require.NoError(t, err)
	require.Equal(t, string(stored), string(again))

	first, err := json.Marshal(replicatedState{Names: map[uint64]string{1: "n1"}})
	require.NoError(t, err)
	golden(t, "snapshot-first.json", first)
}

// The first snapshot of a voter, and the identities that it gives, are alike for all voters of a cluster.
func TestGoldenFirstState(t *testing.T) {
	disk := InitialState("n2", []string{"n3", "n1", "n2"})
	text, err := json.Marshal(map[string]any{
		"id": disk.ID, "voters": disk.Snapshot.Metadata.GetConfState().GetVoters(), "state": string(disk.Snapshot.GetData()),
		"term": disk.HardState.GetTerm(), "commit": disk.HardState.GetCommit(), "index": disk.Snapshot.Metadata.GetIndex(), "snapshot_term": disk.Snapshot.Metadata.GetTerm(),
	})
	require.NoError(t, err)
	golden(t, "first.json", text)
}
