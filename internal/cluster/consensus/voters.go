package consensus

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	maxHellos = 64
	// maxLearnerLag is the maximum number of entries that a learner may lack when it becomes a voter.
	maxLearnerLag = 2
)

// voterIdentity is the context of a configuration change: the identity that it admits and the voter's name.
// Its JSON form is part of the log.
type voterIdentity struct {
	ID   uint64
	Name string
}

// isVoter reports whether this replica's identity is among the voters in the log.
func (r *replica) isVoter() bool {
	return r.confState != nil && (slices.Contains(r.confState.GetVoters(), r.id) || slices.Contains(r.confState.GetVotersOutgoing(), r.id))
}

// nameOf returns the name of an identity; "": unknown. A learner that has not received the log yet knows
// names only from messages.
func (r *replica) nameOf(id uint64) string {
	if name, ok := r.state.Names[id]; ok {
		return name
	}
	return r.peerNames[id]
}

// sendHello asks the other voters to admit this node under its current identity.
func (n *Node) sendHello() {
	for _, voter := range n.cfg.Voters {
		if voter != n.cfg.Name {
			n.send(voter, VoterHello{ID: n.replica.id})
		}
	}
}

func (n *Node) receiveHello(from string, hello VoterHello) {
	hellos := n.leadership.hellos
	if n.leadership.active && slices.Contains(n.cfg.Voters, from) && len(hellos) < maxHellos {
		hellos[from] = hello.ID
	}
}

// admitVoters admits a voter that lost its state under its new identity: first as a learner, which receives
// the log, then in place of its old identity, in one joint change that the majorities before and after agree
// to.
func (n *Node) admitVoters() {
	confState := n.replica.confState
	if confState == nil || len(confState.GetVotersOutgoing()) > 0 {
		return // a joint change is in progress
	}
	hellos := n.leadership.hellos
	for _, name := range slices.Sorted(maps.Keys(hellos)) {
		id := hellos[name]
		if slices.Contains(confState.GetVoters(), id) {
			delete(hellos, name)
			continue
		}
		changes := n.admission(name, id)
		if changes == nil {
			continue
		}
		context, err := json.Marshal(voterIdentity{ID: id, Name: name})
		if err != nil {
			panic(err) // a name and a number always have a JSON form
		}
		// after a rejection, the next hello leads to a new proposal
		_ = n.replica.raw.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: context})
		delete(hellos, name)
		return
	}
}

// admission returns the next step of admitting a voter. The first step adds the node as a learner. The second
// makes the learner a voter and removes all other IDs of the same name. The result is nil if there is no
// progress entry for the learner, or if it has to receive more of the log first.
func (n *Node) admission(name string, id uint64) []*pb.ConfChangeSingle {
	if !slices.Contains(n.replica.confState.GetLearners(), id) {
		return []*pb.ConfChangeSingle{confChange(pb.ConfChangeType_ConfChangeAddLearnerNode, id)}
	}
	progress, ok := n.replica.raw.Status().Progress[id]
	if !ok || progress.Match+maxLearnerLag < n.replica.applied {
		return nil
	}
	changes := []*pb.ConfChangeSingle{confChange(pb.ConfChangeType_ConfChangeAddNode, id)}
	for oldID, oldName := range n.replica.state.Names {
		if oldName == name && oldID != id {
			changes = append(changes, confChange(pb.ConfChangeType_ConfChangeRemoveNode, oldID))
		}
	}
	slices.SortFunc(changes, func(a, b *pb.ConfChangeSingle) int { return cmp.Compare(a.GetNodeId(), b.GetNodeId()) })
	return changes
}

func confChange(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: &kind, NodeId: &id}
}

// applyConfChange applies a committed configuration change.
func (n *Node) applyConfChange(change *pb.ConfChangeV2) {
	r := n.replica
	r.confState = r.raw.ApplyConfChange(change)
	var identity voterIdentity
	// the entry that leaves a joint configuration has no context
	if json.Unmarshal(change.GetContext(), &identity) == nil && identity.ID != 0 {
		r.state.Names[identity.ID] = identity.Name
	}
	members := slices.Concat(r.confState.GetVoters(), r.confState.GetVotersOutgoing(), r.confState.GetLearners(), r.confState.GetLearnersNext())
	maps.DeleteFunc(r.state.Names, func(id uint64, _ string) bool { return !slices.Contains(members, id) })
	// the library rejects a snapshot that lacks its own node as a member, so a new learner needs one made
	// after this change
	n.compact()
}
