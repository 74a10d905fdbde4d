package consensus

import (
	"encoding/binary"
	"encoding/json"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Bounds of what a replica holds and sends.
const (
	maxRaftMessageBytes     = 64 << 10
	maxInflightRaftMessages = 64
	maxUncommittedBytes     = 4 << 20
	maxPeerNames            = 4096
)

// savesPerElection is how many of the slowest saves an election timeout covers at least.
const savesPerElection = 4

// replica is a voter's copy of the log and of the state that it amounts to.
type replica struct {
	id        uint64
	storage   *raft.MemoryStorage
	raw       *raft.RawNode
	state     replicatedState
	applied   uint64        // index of the last entry that the state contains
	confState *pb.ConfState // nil: no snapshot was received yet
	peerNames map[uint64]string

	tickedAt       float64
	leaderSeenAt   float64 // when a leader's message came last
	campaignAfter  float64 // of a leader's silence
	slowestSave    float64 // of late, in milliseconds
	electionMillis float64 // Config.ElectionTimeoutMillis
}

// newReplica restores a replica from persisted state.
func newReplica(persisted *PersistentState, electionMillis, now float64) (*replica, error) {
	r := &replica{id: persisted.ID, storage: raft.NewMemoryStorage(), peerNames: map[uint64]string{}, tickedAt: now, leaderSeenAt: now, electionMillis: electionMillis}
	if persisted.Snapshot != nil {
		if err := r.storage.ApplySnapshot(persisted.Snapshot); err != nil {
			return nil, &StateError{Err: err}
		}
		if err := r.load(persisted.Snapshot); err != nil {
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

// load replaces the state by a snapshot's.
func (r *replica) load(snapshot *pb.Snapshot) error {
	r.state = replicatedState{}
	if err := json.Unmarshal(snapshot.GetData(), &r.state); err != nil {
		return &StateError{Err: err}
	}
	r.applied, r.confState = snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetConfState()
	return nil
}

// electionTimeout is how long a leader may be silent. A voter sends nothing while it saves, so no leader is replaced for
// having been silent that long.
func (r *replica) electionTimeout() float64 {
	return max(r.electionMillis, savesPerElection*r.slowestSave)
}

// drawCampaignDelay draws how long a silent leader is waited for. The library's own draw can't be repeated from a seed, so
// the library is never asked to campaign by itself.
func (n *Node) drawCampaignDelay() {
	n.replica.campaignAfter = n.replica.electionTimeout() * (1 + n.random.Float64())
}

// tickReplica passes the time to the library, and campaigns when the leader has been silent for too long.
func (n *Node) tickReplica() {
	r := n.replica
	timeout := r.electionTimeout()
	step := timeout / electionTicks
	if n.now-r.tickedAt > timeout { // the process was stopped: those ticks did not happen
		r.tickedAt = n.now - step
	}
	for ; r.tickedAt+step <= n.now; r.tickedAt += step {
		if n.leadership.active {
			r.raw.Tick()
		} else {
			r.raw.TickQuiesced()
		}
	}
	if !n.leadership.active && n.now-r.leaderSeenAt > r.campaignAfter && r.isVoter() {
		r.leaderSeenAt = n.now
		n.drawCampaignDelay()
		_ = r.raw.Campaign() // one that can't be held now is held after the next delay
	}
}

// receiveRaft takes a message of another voter.
func (n *Node) receiveRaft(from string, message *pb.Message) {
	r := n.replica
	if r == nil || message == nil || message.GetTo() != r.id {
		return // for an earlier identity
	}
	switch message.GetType() {
	case pb.MessageType_MsgApp, pb.MessageType_MsgHeartbeat, pb.MessageType_MsgSnap:
		r.leaderSeenAt = n.now
	case pb.MessageType_MsgProp, pb.MessageType_MsgReadIndex, pb.MessageType_MsgTransferLeader:
		return // voters forward nothing of the kind
	}
	if len(r.peerNames) < maxPeerNames {
		r.peerNames[message.GetFrom()] = from
	}
	_ = r.raw.Step(message) // what it rejects is out of date, and as if it were lost
}

// advanceRaft does the leader's work and what the library asks for, until neither has more to do.
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
		n.store(&ready)
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

// store keeps what the library wants kept. It is saved with the next Output.
func (n *Node) store(ready *raft.Ready) {
	r := n.replica
	// The errors of a MemoryStorage are of snapshots and entries older than what it holds, which change nothing.
	if !raft.IsEmptySnap(ready.Snapshot) {
		_ = r.storage.ApplySnapshot(ready.Snapshot)
		_ = r.load(ready.Snapshot)
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
			n.replica.raw.ReportSnapshot(message.GetTo(), raft.SnapshotFinish) // one that is lost is sent again
		}
	}
}

// applyEntry applies a committed entry of the log. One that can't be read changes nothing, on any replica.
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

// applyCommand changes the replicated state, and sends what follows from that.
func (n *Node) applyCommand(c command) {
	outcome := n.replica.state.apply(c, n.cfg.Break == breakToken)
	if outcome == nil {
		return
	}
	if c, ok := c.(applyJobEntry); ok && c.Change == nil {
		n.notifyHolder(c.Entry)
	}
	n.sendResult(outcome)
}
