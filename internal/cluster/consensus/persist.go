package consensus

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// PersistentState is the state that a node must not lose. The node's caller saves and syncs it as a whole
// before it sends any message of the same Output and before it acts on anything that depends on the state. A
// copy must never be passed to New: two processes that vote under one identity, or a process that lost the
// record of its vote, can revert committed entries. A caller without the original passes nil to New.
type PersistentState struct {
	ID        uint64 // the voter's identity; 0: the node never voted
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // log entries after the snapshot
	Versions  VersionState
}

// maxLogEntries is how many applied entries are kept before they are compacted into a snapshot.
const maxLogEntries = 256

// InitialState returns the state of a voter before the first start of a cluster. It is called once per voter,
// with the same names for all voters.
func InitialState(name string, voters []string) *PersistentState {
	state := replicatedState{Names: map[uint64]string{}}
	confState := &pb.ConfState{}
	for _, voter := range slices.Sorted(slices.Values(voters)) {
		id := initialID(voter)
		state.Names[id] = voter
		confState.Voters = append(confState.Voters, id)
	}
	data, err := json.Marshal(state)
	if err != nil {
		panic(err) // names and numbers always have a JSON form
	}
	one := uint64(1)
	return &PersistentState{
		ID:        initialID(name),
		HardState: &pb.HardState{Term: &one, Commit: &one, Vote: new(uint64)},
		Snapshot:  &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: confState, Index: &one, Term: &one}},
	}
}

// initialID returns the identity that a voter's name has in a new cluster.
func initialID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name)) // never fails
	return h.Sum64() | 1
}

// updatePersisted updates the state to be saved, and compacts old entries into a snapshot.
func (n *Node) updatePersisted() {
	n.persisted.Versions = n.versions
	if n.replica == nil {
		return
	}
	storage := n.replica.storage
	first, _ := storage.FirstIndex() // a MemoryStorage's indexes never fail
	last, _ := storage.LastIndex()
	if n.replica.applied >= first+maxLogEntries {
		n.compact()
		first = n.replica.applied + 1
	}
	n.persisted.Entries = nil
	if last >= first {
		n.persisted.Entries, _ = storage.Entries(first, last+1, math.MaxUint64)
	}
}

// compact replaces the applied entries of the log by a snapshot.
func (n *Node) compact() {
	r := n.replica
	data, err := json.Marshal(r.state)
	if err != nil || r.confState == nil {
		return
	}
	snapshot, err := r.storage.CreateSnapshot(r.applied, r.confState, data)
	if err != nil {
		return // a snapshot of this index exists already
	}
	n.persisted.Snapshot, n.dirty = snapshot, true // a restart must not fall back to voters that were removed since
	_ = r.storage.Compact(r.applied)               // fails if there is nothing to compact
}
