package consensus

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"

	"ashstand/internal/cluster/jobs"
)

// Only one version is pending at a time, and a proposal takes effect once, however often it was committed.
func TestStateAppliesOneVersionAtATime(t *testing.T) {
	var s replicatedState
	first := s.apply(proposeVersion{ID: 1, Version: Version{Rules: Rules{"tries": 3.0}}}, false)
	require.Equal(t, &proposalOutcome{ID: 1, VersionNumber: 1}, first)
	require.Nil(t, s.apply(proposeVersion{ID: 1, Version: Version{Rules: Rules{"tries": 4.0}}}, false), "committed twice")
	second := s.apply(proposeVersion{ID: 2, Version: Version{Rules: Rules{"tries": 5.0}}}, false)
	require.False(t, second.accepted())
	require.Equal(t, "version 1 came first and is not in force yet", second.Reason)

	require.Nil(t, s.apply(activateVersion{Number: 7}, false))
	require.Equal(t, 1, s.Versions.Pending.Number, "another version's activation changes nothing")
	require.Nil(t, s.apply(activateVersion{Number: 1}, false))
	require.Nil(t, s.Versions.Pending)
	require.Equal(t, Rules{"tries": 3.0}, s.Versions.Active.Rules)
	require.Equal(t, 2, s.apply(proposeVersion{ID: 3, Version: Version{Rules: Rules{"tries": 6.0}}}, false).VersionNumber)
	require.Len(t, s.History, 2)
}

// A job can change rules only under its current token. The change is applied to the active rules.
func TestStateAppliesRuleChangesOfJobs(t *testing.T) {
	s := replicatedState{Versions: VersionState{Active: Version{Rules: Rules{"tries": 3.0, "class.a.repeat": true}}}}
	for id, e := range []jobs.Entry{{Type: jobs.EntryCreate, Job: "j", JobKind: "k"}, {Type: jobs.EntryAssign, Job: "j", Holder: "n1", Incarnation: 1}} {
		require.True(t, s.apply(applyJobEntry{ID: uint64(id + 1), Entry: &e}, false).accepted())
	}
	require.Equal(t, uint64(1), s.JobsEpoch)
	token := s.Jobs.Jobs["j"].Token

	misplaced := s.apply(applyJobEntry{ID: 10, Entry: &jobs.Entry{Type: jobs.EntryRelease, Job: "j", Token: token}, Change: Rules{"tries": 1.0}}, false)
	require.Equal(t, jobs.RejectMalformed, misplaced.Rejected.Reason)
	authorize := &jobs.Entry{Type: jobs.EntryAuthorize, Job: "j", Token: token}
	changed := s.apply(applyJobEntry{ID: 11, Entry: authorize, Change: Rules{"tries": 2.0, "class.a.repeat": nil}}, false)
	require.Equal(t, 1, changed.VersionNumber)
	require.Equal(t, Rules{"tries": 2.0}, s.Versions.Pending.Rules)
	require.Equal(t, "j", s.Versions.Pending.ProposedBy)
	require.False(t, s.apply(applyJobEntry{ID: 12, Entry: authorize, Change: Rules{"tries": 1.0}}, false).accepted(), "one is pending")

	stale := &jobs.Entry{Type: jobs.EntryAuthorize, Job: "j", Token: token - 1}
	outcome := s.apply(applyJobEntry{ID: 13, Entry: stale, Change: Rules{"tries": 1.0}}, false)
	require.Equal(t, jobs.RejectStaleToken, outcome.Rejected.Reason)
	result := s.result(outcome)
	require.Equal(t, outcome.Rejected.Error(), result.Reason)
	require.Equal(t, "j", result.Jobs[0].Name, "the proposer gets the current state")
}

// The state keeps a bounded number of outcomes and versions.
func TestStateIsBounded(t *testing.T) {
	var s replicatedState
	for i := range 2 * maxOutcomes {
		s.apply(proposeVersion{ID: uint64(i + 1)}, false)
		s.apply(activateVersion{Number: s.LastVersion}, false)
	}
	require.Len(t, s.Outcomes, maxOutcomes)
	require.Len(t, s.History, maxVersionHistory)
	require.Nil(t, s.outcome(1))
	require.NotNil(t, s.outcome(2*maxOutcomes))
}

// State that was restored from a snapshot applies further commands with the same results as the original.
func TestStateFromSnapshotAppliesAlike(t *testing.T) {
	original := goldenState()
	data, err := json.Marshal(original)
	require.NoError(t, err)
	r := &replica{}
	require.Error(t, r.loadSnapshot(snapshotOf([]byte("["))))
	require.NoError(t, r.loadSnapshot(snapshotOf(data)))
	for _, c := range []command{activateVersion{Number: 5}, proposeVersion{ID: 40, Version: goldenVersion(0)}, proposeVersion{ID: 18}} {
		require.Equal(t, original.apply(c, false), r.state.apply(c, false))
	}
	require.Equal(t, original, r.state)
}

// Entries without a command are skipped, and malformed ones are errors, so that all replicas treat them the
// same.
func TestDecodeCommand(t *testing.T) {
	for _, empty := range []string{"", "{}", `{"id":3}`, `{"force":-1}`} {
		c, err := decodeCommand([]byte(empty))
		require.NoError(t, err)
		require.Nil(t, c, empty)
	}
	_, err := decodeCommand([]byte(`{"force":"x"}`))
	require.Error(t, err)
}

func snapshotOf(data []byte) *pb.Snapshot {
	index, term := uint64(4), uint64(2)
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: []uint64{3}}}}
}
