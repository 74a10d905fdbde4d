package consensus

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"ashstand/internal/cluster/jobs"
)

// Message is a message from one pooler to another. Poolers are addressed by name.
type Message struct {
	From, To    string
	Incarnation uint64 // that of the sender's process
	Payload     Payload
}

// MessageKind is the number of a payload's type on the wire.
type MessageKind uint8

// The message kinds. Their numbers are part of the wire format.
const (
	KindRaft MessageKind = iota
	KindVoterHello
	KindLeaseRequest
	KindLeaseGrant
	KindProposal
	KindProposalResult
	KindLeaderRedirect
	KindJobUpdate

	maxKind = KindJobUpdate
)

// Payload is the content of a message. Its implementations are in this file.
type Payload interface {
	// Kind is the payload's number on the wire.
	Kind() MessageKind
	// fill writes the payload's fields to the message's wire form.
	fill(*wireMessage) error
}

// RaftMessage carries a message of the raft library between voters and learners.
type RaftMessage struct{ Raft *pb.Message }

// VoterHello is sent by a voter whose identity is not among the voters in the log. It requests that the
// voter's name gets the new identity.
type VoterHello struct{ ID uint64 }

// LeaseRequest asks the leader for a lease and reports the pooler's state.
type LeaseRequest struct {
	Nonce         uint64 // identifies the request; the grant repeats it
	NewestVersion int    // the newest version that the pooler acts on, alone or beside an older one
	Format        int    // the newest format of rules that its program reads
	Report        *jobs.Report
	JobsEpoch     uint64 // epoch of the jobs that the pooler knows
	JobsRevision  uint64 // the pooler knows all changes of jobs up to this revision
}

// LeaseGrant answers a LeaseRequest. The lease begins when the request was sent.
type LeaseGrant struct {
	Nonce          uint64
	DurationMillis float64
	Versions       VersionState
	JobsEpoch      uint64
	JobsRevision   uint64     // with this grant, the pooler knows all changes up to this revision
	Jobs           []jobs.Job // jobs that changed since the revision of the request
}

// VersionProposal is the message by which a pooler asks the leader to append a version. The leader puts it into
// the log as a proposeVersion command. The ID makes the proposal idempotent.
type VersionProposal struct {
	ID      uint64
	Version Version
}

// JobProposal is the message by which a pooler asks the leader to append an entry about a job. The leader puts it
// into the log as an applyJobEntry command. If Change is not nil, the job's lease holder also changes some of the
// active rules.
type JobProposal struct {
	ID     uint64
	Entry  *jobs.Entry
	Change Rules // nil: none; a nil value removes a rule
	Format int   // format of the changed rules
}

// ProposalResult is the outcome of a proposal.
type ProposalResult struct {
	ID            uint64
	Accepted      bool
	VersionNumber int // number of the version that the proposal created; 0: none
	Reason        string
	Rejected      *jobs.RejectedError // rejection by the jobs' state machine; nil: none
	// Versions, JobsEpoch and Jobs are the state after an entry about a job. Other proposals leave them zero.
	Versions  VersionState
	JobsEpoch uint64
	Jobs      []jobs.Job
}

// LeaderRedirect answers a request that only a leader can serve, from a node that does not lead.
type LeaderRedirect struct {
	Leader string // as far as the sender knows; "": unknown
}

// JobUpdate notifies a job's new lease holder, without a request.
type JobUpdate struct {
	Versions  VersionState
	JobsEpoch uint64
	Jobs      []jobs.Job
}

// Kind implements Payload.
func (RaftMessage) Kind() MessageKind { return KindRaft }

// Kind implements Payload.
func (VoterHello) Kind() MessageKind { return KindVoterHello }

// Kind implements Payload.
func (LeaseRequest) Kind() MessageKind { return KindLeaseRequest }

// Kind implements Payload.
func (LeaseGrant) Kind() MessageKind { return KindLeaseGrant }

// Kind implements Payload.
func (VersionProposal) Kind() MessageKind { return KindProposal }

// Kind implements Payload.
func (JobProposal) Kind() MessageKind { return KindProposal }

// Kind implements Payload.
func (ProposalResult) Kind() MessageKind { return KindProposalResult }

// Kind implements Payload.
func (LeaderRedirect) Kind() MessageKind { return KindLeaderRedirect }

// Kind implements Payload.
func (JobUpdate) Kind() MessageKind { return KindJobUpdate }
