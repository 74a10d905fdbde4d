package consensus

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"

	"ashstand/internal/cluster/jobs"
)

func TestDecodeRejectsMalformedMessages(t *testing.T) {
	text, err := EncodeMessage(Message{From: "n1", To: "n2", Payload: LeaseRequest{Nonce: 1<<63 + 1, NewestVersion: 3}})
	require.NoError(t, err)
	m, err := DecodeMessage(text)
	require.NoError(t, err)
	require.Equal(t, uint64(1<<63+1), m.Payload.(LeaseRequest).Nonce)
	for i, malformed := range []string{
		"", "{}", `{"From":"n1","Kind":0}`, `{"From":"n1","Kind":99}`, `{"From":"n1","Kind":3,"Raft":"AAAA"}`,
		`{"From":"n1","Kind":3,"Held":{"force":{"n":1,"rules":{"tries":"fenced"}}}}`, `{"From":"n1","Kind":3,"Held":{"force":{"n":1,"rules":{"x":1}}}}`,
		fmt.Sprintf(`{"From":"n1","Kind":2,"Why":%q}`, make([]byte, maxMessageBytes)),
	} {
		_, err := DecodeMessage([]byte(malformed))
		require.Error(t, err, i)
		var typed *MessageError
		require.ErrorAs(t, err, &typed, i)
	}
}

// A payload of every kind is decoded to the value that was encoded.
func TestEveryMessageKindRoundTrips(t *testing.T) {
	to := uint64(3)
	kinds := map[MessageKind]bool{}
	for _, payload := range []Payload{
		RaftMessage{Raft: &pb.Message{To: &to}},
		VoterHello{},
		LeaseRequest{},
		LeaseGrant{},
		VersionProposal{},
		JobProposal{Entry: &jobs.Entry{Type: jobs.EntryRaiseToken}},
		ProposalResult{},
		LeaderRedirect{},
		JobUpdate{JobsEpoch: 3, Jobs: []jobs.Job{{Name: "w", Kind: "k", Holder: "b", Token: 7}}},
	} {
		text, err := EncodeMessage(Message{From: "a", To: "b", Payload: payload})
		require.NoError(t, err)
		got, err := DecodeMessage(text)
		require.NoError(t, err, "kind %d", payload.Kind())
		require.Equal(t, payload.Kind(), got.Payload.Kind())
		if payload.Kind() != KindRaft {
			require.Equal(t, payload, got.Payload)
		}
		kinds[payload.Kind()] = true
	}
	require.Len(t, kinds, int(maxKind)+1, "every kind")
}
