package consensus

import (
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// rulesFormat is the version of the rules format that this program writes.
const rulesFormat = 1

const (
	// maxNonces is the number of latest lease requests whose grants are still accepted.
	maxNonces = 32
	// requestsBeforeLeaderSearch is the number of requests without a lease after which the client looks for
	// the leader again.
	requestsBeforeLeaderSearch = 3
)

// leaseClient is the part of a node that requests leases and makes proposals. Voters and other poolers have
// one.
type leaseClient struct {
	// expiresAt is when the lease expires.
	expiresAt float64
	// sentAt holds the times at which the latest lease requests were sent, by nonce.
	sentAt map[uint64]float64
	// nonce is that of the latest lease request. Each request increments it.
	nonce   uint64
	renewAt float64
	leader  string // "": unknown
	// nextVoter is the index in Config.Voters of the voter to ask next while the leader is unknown.
	nextVoter int
	// proposals holds the proposals without a result, by ID.
	proposals map[uint64]Payload
	jobs      jobCache
	report    jobs.Report
}

func newLeaseClient(now float64) leaseClient {
	return leaseClient{expiresAt: longAgo, sentAt: map[uint64]float64{}, renewAt: now, proposals: map[uint64]Payload{}}
}

// Propose proposes a version with these rules. A later Output contains the result. Proposals are idempotent:
// one that is repeated under the same ID takes effect once.
func (n *Node) Propose(now float64, id uint64, rules Rules) error {
	n.advanceTime(now)
	if err := rules.Validate(); err != nil {
		return err
	}
	n.submit(id, VersionProposal{ID: id, Version: Version{Rules: rules, ProposedBy: n.cfg.Name, Format: rulesFormat}})
	return nil
}

// ProposeJobEntry proposes an entry about a job. A later Output contains the result. If change is not nil,
// the job, under its fencing token, also creates a version: the active rules with that change applied.
func (n *Node) ProposeJobEntry(now float64, id uint64, e jobs.Entry, change Rules) error {
	n.advanceTime(now)
	if rejected := e.Validate(); rejected != nil {
		return rejected
	}
	proposal := JobProposal{ID: id, Entry: &e, Change: change}
	if change != nil {
		proposal.Format = rulesFormat
	}
	n.submit(id, proposal)
	return nil
}

// Abandon removes a proposal whose result is no longer awaited. The proposal may still be committed.
func (n *Node) Abandon(id uint64) { delete(n.client.proposals, id) }

func (n *Node) submit(id uint64, proposal Payload) {
	n.client.proposals[id] = proposal
	n.sendToLeader(proposal)
	n.advanceRaft()
}

// sendToLeader sends a payload to the leader if it is known, else to the voters in turn, one per call.
func (n *Node) sendToLeader(p Payload) {
	to := n.client.leader
	if to == "" && len(n.cfg.Voters) > 0 {
		to = n.cfg.Voters[n.client.nextVoter%len(n.cfg.Voters)]
		n.client.nextVoter++
	}
	n.send(to, p)
}

// tickClient, when a renewal is due, requests a lease and repeats the proposals without a result.
func (n *Node) tickClient() {
	if n.now < n.client.renewAt {
		return
	}
	n.client.renewAt = n.now + n.cfg.RenewIntervalMillis*(0.9+0.2*n.random.Float64())
	n.requestLease()
	for _, id := range slices.Sorted(maps.Keys(n.client.proposals)) {
		n.sendToLeader(n.client.proposals[id])
	}
	if n.replica != nil && !n.replica.isVoter() {
		n.sendHello()
	}
}

func (n *Node) requestLease() {
	c := &n.client
	c.nonce++
	c.sentAt[c.nonce] = n.now
	delete(c.sentAt, c.nonce-maxNonces)
	if n.now >= c.expiresAt && c.nonce%requestsBeforeLeaderSearch == 0 {
		c.leader = "" // the supposed leader does not answer
	}
	report := c.report
	report.HighestToken = n.versions.HighestToken
	n.sendToLeader(LeaseRequest{
		Nonce:         c.nonce,
		NewestVersion: n.versions.newest(),
		Format:        n.cfg.Format,
		Report:        &report,
		JobsEpoch:     c.jobs.epoch,
		JobsRevision:  c.jobs.revision,
	})
}

// receiveGrant accepts a lease. Its duration counts from when the request was sent, by this node's clock.
func (n *Node) receiveGrant(from string, grant LeaseGrant) {
	sentAt, ok := n.client.sentAt[grant.Nonce]
	if !ok {
		return
	}
	n.client.leader = from
	n.client.expiresAt = max(n.client.expiresAt, sentAt+grant.DurationMillis)
	n.observe(grant.Versions, grant.JobsEpoch, grant.Jobs, grant.JobsRevision)
}

func (n *Node) receiveRedirect(from string, redirect LeaderRedirect) {
	c := &n.client
	if c.leader != from && c.leader != "" {
		return
	}
	c.leader = redirect.Leader
	if c.leader == from {
		c.leader = "" // the sender was the leader at the last request, and no longer is
	}
}

func (n *Node) receiveResult(result ProposalResult) {
	if _, ok := n.client.proposals[result.ID]; !ok {
		return
	}
	delete(n.client.proposals, result.ID)
	n.observe(result.Versions, result.JobsEpoch, result.Jobs, 0)
	n.out.Results = append(n.out.Results, result)
}

// observe merges the versions and jobs of a message. The versions that the node acts on never go back to
// earlier ones. The jobs in a message are no newer than its versions. After the merge, all changes of jobs up
// to revision are known; 0 leaves the known revision as it is.
func (n *Node) observe(versions VersionState, epoch uint64, list []jobs.Job, revision uint64) {
	for _, job := range list {
		if job.Token > n.versions.HighestToken {
			n.versions.HighestToken, n.dirty = job.Token, true
		}
	}
	if next := n.versions.advancedTo(versions); !next.sameVersions(&n.versions) {
		n.versions, n.dirty = next, true
		n.client.renewAt = n.now // so that the leader gets the confirmation at once
	}
	n.client.jobs.merge(epoch, list, revision)
}
