package consensus

import (
	"math"
	"math/rand/v2"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Output is what a node wants done: to save first, then the rest.
type Output struct {
	Save     *PersistentState // nil: nothing changed
	Messages []Message
	Results  []ProposalResult // of proposals that were made at this node
}

// Node is one pooler's part in the consensus. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	now    float64 // the latest time that was given, in milliseconds
	random *rand.Rand
	out    Output

	versions  VersionState // that this pooler acts on
	persisted PersistentState
	dirty     bool // persisted is to be saved before the next messages are sent

	client     leaseClient
	replica    *replica // nil: the node does not vote
	leadership leadership
}

// New returns a pooler's node. persisted is what its last Output.Save held; nil: nothing, or nothing that is certainly its
// own.
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
		n.persisted = PersistentState{ID: n.random.Uint64() | 1, Versions: n.persisted.Versions} // a new identity: this name may have voted before
		n.dirty = true
	}
	var err error
	if n.replica, err = newReplica(&n.persisted, cfg.ElectionTimeoutMillis, now); err != nil {
		return nil, err
	}
	n.drawCampaignDelay()
	n.advanceRaft()
	return n, nil
}

// Receive takes a message.
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

// Tick does what is due.
func (n *Node) Tick(now float64) {
	n.advanceTime(now)
	if n.replica != nil {
		n.tickReplica()
	}
	n.tickClient()
	n.advanceRaft()
}

// Output hands over what is to be done.
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

// advanceTime takes the time of a call. It never runs backwards.
func (n *Node) advanceTime(now float64) { n.now = max(n.now, now) }

// send queues a message. One to the node itself is queued, too: whoever carries messages brings it back.
func (n *Node) send(to string, p Payload) {
	if to != "" {
		n.out.Messages = append(n.out.Messages, Message{From: n.cfg.Name, To: to, Incarnation: n.cfg.Incarnation, Payload: p})
	}
}

// RecordSaveDuration tells how long it took to save what an Output wanted saved, in milliseconds. Nobody may be replaced
// as leader for being silent for as long as that.
func (n *Node) RecordSaveDuration(millis float64) {
	if r := n.replica; r != nil {
		r.slowestSave = max(millis, r.slowestSave-r.slowestSave/8) // an outlier fades within some tens of saves
	}
}

// SetReport sets what this pooler reports of itself from now on.
func (n *Node) SetReport(r jobs.Report) { n.client.report = r }

// Lease returns the present lease. It may be acted on once what Output wanted saved is.
func (n *Node) Lease() Lease {
	return Lease{
		Versions:  n.versions,
		ExpiresAt: n.client.expiresAt,
		Jobs:      n.client.jobs.byName,
		limits:    n.cfg.Limits,
		broken:    n.cfg.Break,
	}
}

// Effective returns the rules of the present lease at a moment.
func (n *Node) Effective(now float64) EffectiveRules {
	lease := n.Lease()
	return lease.Effective(now)
}

// LeaseExpired says whether the present lease has expired at a moment.
func (n *Node) LeaseExpired(now float64) bool {
	lease := n.Lease()
	return lease.Expired(now)
}

// IsLeader says whether this node believes to lead.
func (n *Node) IsLeader() bool { return n.leadership.active }

// Voters returns the names in the log by identity, as far as this node has the log. It is not to be changed.
func (n *Node) Voters() map[uint64]string {
	if n.replica == nil {
		return nil
	}
	return n.replica.state.Names
}

// Versions returns the newest versions of the log, as far as this node has it. They are not to be changed.
func (n *Node) Versions() []Version {
	if n.replica == nil {
		return nil
	}
	return n.replica.state.History
}

// longAgo is a time before all others.
var longAgo = math.Inf(-1)
