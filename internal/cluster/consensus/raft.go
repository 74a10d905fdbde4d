package consensus

import (
	"encoding/binary"
	"encoding/json"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Limits of a replica's memory and messages.
const (
	maxRaftMessageBytes     = 64 << 10
	maxInflightRaftMessages = 64
	maxUncommittedBytes     = 4 << 20
	maxPeerNames            = 4096
)

// savesPerElection is the minimum ratio of the election timeout to the duration of the slowest recent save.
const savesPerElection = 4

// replica is a voter's copy of the log and of the state that results from its entries.
type replica struct {
	id        uint64
	storage   *raft.MemoryStorage
	raw       *raft.RawNode
	state     replicatedState
	applied   uint64        // index of the last applied entry
	confState *pb.ConfState // nil: no snapshot was received yet
	peerNames map[uint64]string

	tickedAt          float64
	leaderHeardAt     float64 // when a leader's message last arrived
	campaignDelay     float64 // how long a leader may be silent before this replica campaigns
	slowestSaveMillis float64 // slowest recent save; decays
	electionMillis    float64 // Config.ElectionTimeoutMillis
}

// newReplica restores a replica from persisted state.
func newReplica(persisted *PersistentState, electionMillis, now float64) (*replica, error) {
	r := &replica{id: persisted.ID, storage: raft.NewMemoryStorage(), peerNames: map[uint64]string{}, tickedAt: now, leaderHeardAt: now, electionMillis: electionMillis}
	if persisted.Snapshot != nil {
		if err := r.storage.ApplySnapshot(persisted.Snapshot); err != nil {
			return nil, &StateError{Err: err}
		}
		if err := r.loadSnapshot(persisted.Snapshot); err != nil {
			return nil, err
		}
	}
	if persisted.HardState != nil {
		if err := r.storage.SetHardState(persisted.HardState); err != nil {
			return nil, &StateError{Err: err}
		}
	}
	if err := r.storage.Append(persisted.Entries); err != nil {
		return nil, &StateError{Err: err}
	}
	var err error
	r.raw, err = raft.NewRawNode(&raft.Config{
		ID:                        persisted.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   r.storage,
		Applied:                   r.applied,
		MaxSizePerMsg:             maxRaftMessageBytes,
		MaxInflightMsgs:           maxInflightRaftMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		StepDownOnRemoval:         true,
		Logger:                    raftLogger{},
	})
	if err != nil {
		return nil, &StateError{Err: err}
	}
	return r, nil
}

// loadSnapshot replaces the state by that of a snapshot.
func (r *replica) loadSnapshot(snapshot *pb.Snapshot) error {
	r.state = replicatedState{}
	if err := json.Unmarshal(snapshot.GetData(), &r.state); err != nil {
		return &StateError{Err: err}
	}
	r.applied, r.confState = snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetConfState()
	return nil
}

// electionTimeout returns how long a leader may be silent. A voter sends nothing while it saves, so the
// timeout is always longer than the slowest recent save.
func (r *replica) electionTimeout() float64 {
	return max(r.electionMillis, savesPerElection*r.slowestSaveMillis)
}

// randomizeCampaignDelay sets a random delay between a leader's last message and this replica's campaign. The
// library's own random timeout can't be reproduced from a seed, so the library never starts a campaign by
// itself.
func (n *Node) randomizeCampaignDelay() {
	n.replica.campaignDelay = n.replica.electionTimeout() * (1 + n.random.Float64())
}

// tickReplica passes the time to the library, and campaigns when the leader has been silent for too long.
func (n *Node) tickReplica() {
	r := n.replica
	timeout := r.electionTimeout()
	step := timeout / electionTicks
	if n.now-r.tickedAt > timeout { // the process was suspended, so the missed ticks are skipped
		r.tickedAt = n.now - step
	}
	for ; r.tickedAt+step <= n.now; r.tickedAt += step {
		if n.leadership.active {
			r.raw.Tick()
		} else {
			r.raw.TickQuiesced()
		}
	}
	if !n.leadership.active && n.now-r.leaderHeardAt > r.campaignDelay && r.isVoter() {
		r.leaderHeardAt = n.now
		n.randomizeCampaignDelay()
		_ = r.raw.Campaign() // if the library rejects it now, the next attempt follows after the next delay
	}
}

// receiveRaft processes a message of another voter.
func (n *Node) receiveRaft(from string, message *pb.Message) {
	r := n.replica
	if r == nil || message == nil || message.GetTo() != r.id {
		return // the message is for an earlier identity
	}
	switch message.GetType() {
	case pb.MessageType_MsgApp, pb.MessageType_MsgHeartbeat, pb.MessageType_MsgSnap:
		r.leaderHeardAt = n.now
	case pb.MessageType_MsgProp, pb.MessageType_MsgReadIndex, pb.MessageType_MsgTransferLeader:
		return // voters don't forward these to the leader
	}
	if len(r.peerNames) < maxPeerNames {
		r.peerNames[message.GetFrom()] = from
	}
	_ = r.raw.Step(message) // a rejected message is out of date and counts as lost
}

// advanceRaft performs the leader's duties and the work that the library requests, until neither has more to
// do.
func (n *Node) advanceRaft() {
	if n.replica == nil {
		return
	}
	for {
		n.lead()
		if !n.replica.raw.HasReady() {
			return
		}
		ready := n.replica.raw.Ready()
		if ready.SoftState != nil {
			n.setLeading(ready.RaftState == raft.StateLeader)
		}
		n.storeReady(&ready)
		n.sendRaft(ready.Messages)
		for _, s := range ready.ReadStates {
			if len(s.RequestCtx) == 8 {
				n.leadership.renewals.confirm(binary.BigEndian.Uint64(s.RequestCtx), s.Index)
			}
		}
		for _, entry := range ready.CommittedEntries {
			n.applyEntry(entry)
		}
		n.replica.raw.Advance(ready)
	}
}

// storeReady stores the snapshot, entries and hard state of a Ready. They are saved with the next Output.
func (n *Node) storeReady(ready *raft.Ready) {
	r := n.replica
	// A MemoryStorage fails only for snapshots and entries older than its own, which change nothing.
	if !raft.IsEmptySnap(ready.Snapshot) {
		_ = r.storage.ApplySnapshot(ready.Snapshot)
		_ = r.loadSnapshot(ready.Snapshot)
		n.persisted.Snapshot, n.persisted.Entries, n.dirty = ready.Snapshot, nil, true
	}
	if len(ready.Entries) > 0 {
		_ = r.storage.Append(ready.Entries)
		n.dirty = true
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		_ = r.storage.SetHardState(ready.HardState)
		n.persisted.HardState = ready.HardState
		n.dirty = n.dirty || ready.MustSync // a commit index alone need not be durable: the leader sends it again
	}
}

func (n *Node) sendRaft(messages []*pb.Message) {
	for _, message := range messages {
		n.send(n.replica.nameOf(message.GetTo()), RaftMessage{Raft: message})
		if message.GetType() == pb.MessageType_MsgSnap {
			// the library sends a lost snapshot again
			n.replica.raw.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
		}
	}
}

// applyEntry applies a committed log entry. An entry that can't be decoded changes nothing, on any replica.
func (n *Node) applyEntry(entry *pb.Entry) {
	n.replica.applied = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryType_EntryNormal:
		if c, err := decodeCommand(entry.GetData()); err == nil {
			n.applyCommand(c)
		}
	case pb.EntryType_EntryConfChangeV2:
		change := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(entry.GetData(), change); err == nil {
			n.applyConfChange(change)
		}
	}
}

// applyCommand applies a command to the replicated state, and sends the notification and the result that
// follow from it.
func (n *Node) applyCommand(c command) {
	outcome := n.replica.state.apply(c, n.cfg.DisabledGuarantee == breakToken)
	if outcome == nil {
		return
	}
	if c, ok := c.(applyJobEntry); ok && c.Change == nil {
		n.notifyHolder(c.Entry)
	}
	n.sendResult(outcome)
}
