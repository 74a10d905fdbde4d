package consensus

import (
	"math"
	"math/rand/v2"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Output is the work that a node requests from its caller. Save comes first: messages and results may go out
// only once the state is saved.
type Output struct {
	Save     *PersistentState // nil: nothing changed
	Messages []Message
	Results  []ProposalResult // results of proposals that were made at this node
}

// Node is one pooler's part in the consensus. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	now    float64 // the latest time that a caller passed, in milliseconds
	random *rand.Rand
	out    Output

	versions  VersionState // the versions that this pooler acts on
	persisted PersistentState
	dirty     bool // persisted has to be saved before the next messages are sent

	client     leaseClient
	replica    *replica // nil: the node does not vote
	leadership leadership
}

// New returns a pooler's node. persisted is the value of its last Output.Save; nil: there is none, or it is
// not certain that the state is the original one of this pooler.
func New(cfg Config, persisted *PersistentState, now float64) (*Node, error) {
	n := &Node{
		cfg:        cfg,
		now:        now,
		random:     rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		client:     newLeaseClient(now),
		leadership: newLeadership(cfg.Scheduler),
	}
	if persisted != nil {
		n.persisted = *persisted
		n.versions = persisted.Versions
	}
	n.client.nonce = n.random.Uint64()
	if !slices.Contains(cfg.Voters, cfg.Name) {
		return n, nil
	}
	if n.persisted.ID == 0 {
		// a new identity, since a voter of this name may have voted before
		n.persisted = PersistentState{ID: n.random.Uint64() | 1, Versions: n.persisted.Versions}
		n.dirty = true
	}
	var err error
	if n.replica, err = newReplica(&n.persisted, cfg.ElectionTimeoutMillis, now); err != nil {
		return nil, err
	}
	n.randomizeCampaignDelay()
	n.advanceRaft()
	return n, nil
}

// Receive processes a message.
func (n *Node) Receive(now float64, m Message) {
	n.advanceTime(now)
	switch p := m.Payload.(type) {
	case RaftMessage:
		n.receiveRaft(m.From, p.Raft)
	case VoterHello:
		n.receiveHello(m.From, p)
	case LeaseRequest:
		n.receiveLeaseRequest(renewal{from: m.From, incarnation: m.Incarnation, request: p})
	case LeaseGrant:
		n.receiveGrant(m.From, p)
	case VersionProposal:
		n.receiveProposal(m.From, p.ID, func() (command, error) { return n.prepareVersion(p) })
	case JobProposal:
		n.receiveProposal(m.From, p.ID, func() (command, error) { return n.prepareJobEntry(m.From, p) })
	case ProposalResult:
		n.receiveResult(p)
	case LeaderRedirect:
		n.receiveRedirect(m.From, p)
	case JobUpdate:
		n.observe(p.Versions, p.JobsEpoch, p.Jobs, 0)
	}
	n.advanceRaft()
}

// Tick performs the actions that are due.
func (n *Node) Tick(now float64) {
	n.advanceTime(now)
	if n.replica != nil {
		n.tickReplica()
	}
	n.tickClient()
	n.advanceRaft()
}

// Output returns the work that was requested since the last call.
func (n *Node) Output() Output {
	if n.dirty {
		n.updatePersisted()
		n.dirty = false
		save := n.persisted
		n.out.Save = &save
	}
	out := n.out
	n.out = Output{}
	return out
}

// advanceTime sets the node's time to that of a call. It never goes back.
func (n *Node) advanceTime(now float64) { n.now = max(n.now, now) }

// send queues a message. A message to the node itself is queued, too; the caller passes it back to Receive.
func (n *Node) send(to string, p Payload) {
	if to != "" {
		n.out.Messages = append(n.out.Messages, Message{From: n.cfg.Name, To: to, Incarnation: n.cfg.Incarnation, Payload: p})
	}
}

// RecordSaveDuration records how long it took to save the state of an Output, in milliseconds. The election
// timeout grows with it, since a leader is silent while it saves and must not be replaced for that.
func (n *Node) RecordSaveDuration(millis float64) {
	if r := n.replica; r != nil {
		// decays by 1/8 per save, so an outlier fades within some tens of saves
		r.slowestSaveMillis = max(millis, r.slowestSaveMillis-r.slowestSaveMillis/8)
	}
}

// SetReport sets the report that this pooler sends with its lease requests.
func (n *Node) SetReport(r jobs.Report) { n.client.report = r }

// Lease returns the current lease. A caller may act on it once the state of the latest Output is saved.
func (n *Node) Lease() Lease {
	return Lease{
		Versions:          n.versions,
		ExpiresAt:         n.client.expiresAt,
		Jobs:              n.client.jobs.byName,
		limits:            n.cfg.Limits,
		disabledGuarantee: n.cfg.DisabledGuarantee,
	}
}

// Effective returns the effective rules of the current lease at a given time.
func (n *Node) Effective(now float64) EffectiveRules {
	lease := n.Lease()
	return lease.Effective(now)
}

// LeaseExpired reports whether the current lease has expired at a given time.
func (n *Node) LeaseExpired(now float64) bool {
	lease := n.Lease()
	return lease.Expired(now)
}

// IsLeader reports whether this node believes that it is the leader.
func (n *Node) IsLeader() bool { return n.leadership.active }

// Voters returns the names of voters and learners by identity, as far as this node has the log. Callers must
// not modify it.
func (n *Node) Voters() map[uint64]string {
	if n.replica == nil {
		return nil
	}
	return n.replica.state.Names
}

// Versions returns the newest versions of the log, as far as this node has it. Callers must not modify them.
func (n *Node) Versions() []Version {
	if n.replica == nil {
		return nil
	}
	return n.replica.state.History
}

// longAgo is earlier than every other time.
var longAgo = math.Inf(-1)
