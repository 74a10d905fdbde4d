package consensus

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ashstand/internal/cluster/jobs"
)

var updateGolden = flag.Bool("update-golden", false, "write testdata/golden anew from this program")

// golden compares bytes with those of a committed file and returns the file's content.
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

// goldenRules returns rules with values of each type.
func goldenRules() Rules {
	return Rules{"tries": 3.0, "class.browse.bound_ms": 250.5, "class.browse.repeat": false, "host.s-1.x.closed": true, "database.orders.group": 7.0}
}

func goldenVersion(number int) Version {
	return Version{Number: number, Rules: goldenRules(), ProposedBy: "pooler-a", Format: 1}
}

func goldenVersions() VersionState {
	pending := goldenVersion(5)
	return VersionState{Active: goldenVersion(4), Pending: &pending, HighestToken: 9}
}

func goldenApproval(action string) *jobs.Approval {
	return &jobs.Approval{Action: action, By: "op", Step: 2, Persistent: true}
}

func goldenOperation() *jobs.Operation {
	return &jobs.Operation{Number: 3, Name: "copy", Token: 9, Data: json.RawMessage(`{"from":1}`), Approval: goldenApproval("go")}
}

// goldenJobEntry returns an entry in which no field has its zero value.
func goldenJobEntry() *jobs.Entry {
	return &jobs.Entry{
		Type: jobs.EntryAnnounce, Job: "move-orders", Token: 9, Holder: "pooler-b", Incarnation: 1 << 63, JobKind: "move", Spec: json.RawMessage(`{"to":2}`),
		RequiredGroups: []uint64{1, 2}, Step: 2, Operation: goldenOperation(), State: json.RawMessage(`{"phase":"copy"}`), Approval: goldenApproval("go"),
		Finished: true, Reason: "finished",
	}
}

func goldenJob(name, approved string) *jobs.Job {
	return &jobs.Job{
		Name: name, Kind: "move", Spec: json.RawMessage(`{"to":2}`), RequiredGroups: []uint64{1, 2}, Holder: "pooler-b", Incarnation: 1<<63 + 1, Token: 9, Step: 2,
		State: json.RawMessage(`{"phase":"copy"}`), Operation: goldenOperation(), Approval: goldenApproval(approved), HolderCount: 4, AbortedOperations: 1, Finished: true,
		Reason: "finished", Revision: 11,
	}
}

func goldenRejection() *jobs.RejectedError {
	return &jobs.RejectedError{Reason: jobs.RejectStaleToken, Job: "move-orders", Presented: 8, Current: 9, Detail: "late"}
}

func goldenState() replicatedState {
	return replicatedState{
		LastVersion: 5,
		Versions:    goldenVersions(),
		History:     []Version{goldenVersion(4), goldenVersion(5)},
		Names:       map[uint64]string{3: "pooler-a", 1<<63 + 5: "pooler-b"},
		Outcomes: []proposalOutcome{
			{ID: 1 << 62, VersionNumber: 4},
			{ID: 18, Reason: "version 4 came first and is not in force yet"},
			{ID: 19, VersionNumber: 5, Reason: "why", IsJobEntry: true, Job: "move-orders", Rejected: goldenRejection()},
		},
		JobsEpoch: 77,
		Jobs: jobs.StateMachine{
			HighestToken: 9, Revision: 12,
			Jobs: map[string]*jobs.Job{"move-orders": goldenJob("move-orders", "hold"), "a": goldenJob("a", "hold")},
		},
	}
}

// Voters store log entries and send them to each other. Entries that an earlier program version wrote are
// decoded, and encoded to the same bytes.
func TestGoldenLogEntries(t *testing.T) {
	for name, c := range map[string]command{
		"propose":       proposeVersion{ID: 1<<63 + 3, Version: goldenVersion(4)},
		"force":         activateVersion{Number: 4},
		"work":          applyJobEntry{ID: 1<<63 + 4, Entry: goldenJobEntry()},
		"work-change":   applyJobEntry{ID: 1<<63 + 5, Entry: goldenJobEntry(), Change: Rules{"tries": 2.0, "class.a.repeat": nil}},
		"work-raise":    applyJobEntry{ID: 6, Entry: &jobs.Entry{Type: jobs.EntryRaiseToken, Token: 70}},
		"propose-empty": proposeVersion{ID: 7},
	} {
		data, err := encodeCommand(c)
		require.NoError(t, err)
		stored := golden(t, filepath.Join("entries", name+".json"), data)
		read, err := decodeCommand(stored)
		require.NoError(t, err)
		require.Equal(t, c, read, name)
		again, err := encodeCommand(read)
		require.NoError(t, err)
		require.Equal(t, string(stored), string(again), name)
	}
}

// A snapshot restores the replicated state, which is encoded to the same bytes.
func TestGoldenSnapshot(t *testing.T) {
	data, err := json.Marshal(goldenState())
	require.NoError(t, err)
	stored := golden(t, "snapshot.json", data)
	persisted := InitialState("pooler-a", []string{"pooler-a"})
	persisted.Snapshot.Data = stored
	n, err := New(Config{Name: "pooler-a", Voters: []string{"pooler-a"}, LeaseMillis: 200, RenewIntervalMillis: 30, ElectionTimeoutMillis: 50}, persisted, 0)
	require.NoError(t, err)
	require.Equal(t, goldenState(), n.replica.state)
	again, err := json.Marshal(n.replica.state)
	require.NoError(t, err)
	require.Equal(t, string(stored), string(again))

	first, err := json.Marshal(replicatedState{Names: map[uint64]string{1: "n1"}})
	require.NoError(t, err)
	golden(t, "snapshot-first.json", first)
}

// The initial snapshot and the identities in it depend only on the names of the voters, so that all voters of
// a cluster start with the same ones.
func TestGoldenFirstState(t *testing.T) {
	first := InitialState("n2", []string{"n3", "n1", "n2"})
	text, err := json.Marshal(map[string]any{
		"id": first.ID, "voters": first.Snapshot.Metadata.GetConfState().GetVoters(), "state": string(first.Snapshot.GetData()),
		"term": first.HardState.GetTerm(), "commit": first.HardState.GetCommit(), "index": first.Snapshot.Metadata.GetIndex(), "snapshot_term": first.Snapshot.Metadata.GetTerm(),
	})
	require.NoError(t, err)
	golden(t, "first.json", text)
}

func goldenReport() *jobs.Report {
	return &jobs.Report{
		Kinds: []string{"move"}, AcceptsJobs: true, Healthy: true, Zone: "a", UptimeMillis: 1500.5, Load: 0.25, ReachableGroups: []uint64{1, 2}, LocalGroups: []uint64{1},
		Progress: map[string]uint64{"move-orders": 4, "a": 5}, HighestToken: 9,
	}
}

func goldenRaft() *pb.Message {
	term, typ, index := uint64(3), pb.EntryType_EntryNormal, uint64(42)
	entry := &pb.Entry{Term: &term, Index: &index, Type: &typ, Data: []byte(`{"force":4}`)}
	snapshotIndex, snapshotTerm := uint64(40), uint64(2)
	snapshot := &pb.Snapshot{Data: []byte(`{"last":5}`), Metadata: &pb.SnapshotMetadata{
		Index: &snapshotIndex, Term: &snapshotTerm,
		ConfState: &pb.ConfState{Voters: []uint64{3, 5}, Learners: []uint64{7}},
	}}
	messageType, reject := pb.MessageType_MsgApp, true
	to, from, messageTerm, logTerm, logIndex, commit, vote, hint := uint64(5), uint64(3), uint64(4), uint64(3), uint64(41), uint64(40), uint64(6), uint64(39)
	return &pb.Message{
		Type: &messageType, To: &to, From: &from, Term: &messageTerm, LogTerm: &logTerm, Index: &logIndex, Entries: []*pb.Entry{entry}, Commit: &commit,
		Vote: &vote, Snapshot: snapshot, Reject: &reject, RejectHint: &hint, Context: []byte("context"),
	}
}

// goldenPayloads returns payloads of every kind, with all fields of the kind set, and some with few fields set.
func goldenPayloads() map[string]Payload {
	const nonce, id, epoch = 1<<63 + 1, 1<<63 + 2, 1<<63 + 4
	list := []jobs.Job{*goldenJob("move-orders", "go")}
	return map[string]Payload{
		"raft":  RaftMessage{Raft: goldenRaft()},
		"hello": VoterHello{ID: id},
		"renew": LeaseRequest{Nonce: nonce, NewestVersion: 4, Format: 1, Report: goldenReport(), JobsEpoch: epoch, JobsRevision: 12},
		"grant": LeaseGrant{Nonce: nonce, DurationMillis: 200.5, Versions: goldenVersions(), JobsEpoch: epoch, JobsRevision: 12, Jobs: list},
		// A grant without jobs and versions.
		"grant-empty":           LeaseGrant{Nonce: nonce, DurationMillis: 200.5},
		"propose-version":       VersionProposal{ID: id, Version: goldenVersion(0)},
		"propose-entry":         JobProposal{ID: id, Entry: goldenJobEntry()},
		"propose-change":        JobProposal{ID: id, Entry: goldenJobEntry(), Change: Rules{"tries": 2.0, "class.a.repeat": nil}, Format: 1},
		"answer-version":        ProposalResult{ID: id, Accepted: true, VersionNumber: 5},
		"answer-refused":        ProposalResult{ID: id, Reason: "version 4 is not in force yet"},
		"answer-entry":          ProposalResult{ID: id, Accepted: true, VersionNumber: 5, Versions: goldenVersions(), JobsEpoch: epoch, Jobs: list},
		"answer-entry-refused":  ProposalResult{ID: id, Reason: goldenRejection().Error(), Rejected: goldenRejection(), Versions: goldenVersions(), JobsEpoch: epoch, Jobs: list},
		"no-leader":             LeaderRedirect{Leader: "pooler-c"},
		"no-leader-unknown":     LeaderRedirect{},
		"works":                 JobUpdate{JobsEpoch: epoch, Versions: goldenVersions(), Jobs: []jobs.Job{list[0], list[0]}},
		"renew-without-a-count": LeaseRequest{Nonce: nonce, Report: &jobs.Report{}},
	}
}

// Messages of an earlier program version are decoded, and encoded to the same bytes.
func TestGoldenMessages(t *testing.T) {
	kinds := map[MessageKind]bool{}
	for name, payload := range goldenPayloads() {
		m := Message{From: "pooler-a", To: "pooler-b", Incarnation: 1<<63 + 3, Payload: payload}
		text, err := EncodeMessage(m)
		require.NoError(t, err)
		sent := golden(t, filepath.Join("messages", name+".json"), text)
		read, err := DecodeMessage(sent)
		require.NoError(t, err, name)
		again, err := EncodeMessage(read)
		require.NoError(t, err)
		require.Equal(t, string(sent), string(again), name)
		if raft, ok := payload.(RaftMessage); ok {
			require.True(t, proto.Equal(raft.Raft, read.Payload.(RaftMessage).Raft))
			m.Payload, read.Payload = nil, nil
		}
		require.Equal(t, m, read, name)
		kinds[payload.Kind()] = true
	}
	require.Len(t, kinds, 8, "every kind")
}
