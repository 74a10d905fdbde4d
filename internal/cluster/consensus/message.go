package consensus

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"ashstand/internal/cluster/jobs"
)

// Message goes from one pooler to another, by name.
type Message struct {
	From, To    string
	Incarnation uint64 // of the sender's process
	Payload     Payload
}

// MessageKind is the number of a payload's type on the wire.
type MessageKind uint8

// The kinds. Their numbers are part of the wire format.
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

// Payload is what a message says: one of the types of this file that have a Kind.
type Payload interface {
	// Kind is the payload's number on the wire.
	Kind() MessageKind
	// fill writes the payload's fields to the message's wire form.
	fill(*wireMessage) error
}

// RaftMessage goes between voters.
type RaftMessage struct{ Raft *pb.Message }

// VoterHello is sent by a voter whose identity is not part of the log: its name is to get the new identity.
type VoterHello struct{ ID uint64 }

// LeaseRequest asks the leader for a lease. It reports the pooler's state, too.
type LeaseRequest struct {
	Nonce         uint64 // of this request; the grant repeats it
	NewestVersion int    // the newest version that the pooler acts on, alone or beside an older one
	Format        int    // the newest format of rules that its program reads
	Report        *jobs.Report
	JobsEpoch     uint64 // of the jobs that it knows
	JobsRevision  uint64 // up to which it knows them
}

// LeaseGrant answers a LeaseRequest. The lease begins when the request was sent.
type LeaseGrant struct {
	Nonce          uint64
	DurationMillis float64
	Versions       VersionState
	JobsEpoch      uint64
	JobsRevision   uint64     // up to which the pooler knows the jobs from now on
	Jobs           []jobs.Job // that changed since the revision of the request
}

// VersionProposal asks the leader to append a version. The ID makes a proposal that is sent again count once.
type VersionProposal struct {
	ID      uint64
	Version Version
}

// JobProposal asks the leader to append an entry about a job. With a change, the job's lease holder changes some of the
// active rules with it.
type JobProposal struct {
	ID     uint64
	Entry  *jobs.Entry
	Change Rules // nil: none; a nil value removes a rule
	Format int   // of the changed rules
}

// ProposalResult is what became of a proposal.
type ProposalResult struct {
	ID            uint64
	Accepted      bool
	VersionNumber int // of the version that it made; 0: none
	Reason        string
	Rejected      *jobs.RejectedError // by the jobs' state machine
	Versions      VersionState        // with the next two, for an entry about a job: the state that it led to
	JobsEpoch     uint64
	Jobs          []jobs.Job
}

// LeaderRedirect answers what only a leader can: the sender is none.
type LeaderRedirect struct {
	Leader string // as far as the sender knows; "": unknown
}

// JobUpdate notifies a job's new lease holder, without a request.
type JobUpdate struct {
	Versions  VersionState
	JobsEpoch uint64
	Jobs      []jobs.Job
}

// Kind is Payload's.
func (RaftMessage) Kind() MessageKind { return KindRaft }

// Kind is Payload's.
func (VoterHello) Kind() MessageKind { return KindVoterHello }

// Kind is Payload's.
func (LeaseRequest) Kind() MessageKind { return KindLeaseRequest }

// Kind is Payload's.
func (LeaseGrant) Kind() MessageKind { return KindLeaseGrant }

// Kind is Payload's.
func (VersionProposal) Kind() MessageKind { return KindProposal }

// Kind is Payload's.
func (JobProposal) Kind() MessageKind { return KindProposal }

// Kind is Payload's.
func (ProposalResult) Kind() MessageKind { return KindProposalResult }

// Kind is Payload's.
func (LeaderRedirect) Kind() MessageKind { return KindLeaderRedirect }

// Kind is Payload's.
func (JobUpdate) Kind() MessageKind { return KindJobUpdate }
