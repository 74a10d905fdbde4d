package consensus

import (
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// rulesFormat is the format of the rules that this program writes.
const rulesFormat = 1

const (
	maxNonces = 32 // lease requests whose grant is still taken
	// redirectAfter is after how many requests without a lease the leader is looked for anew.
	redirectAfter = 3
)

// leaseClient is a pooler's side of leases and proposals, whether it votes or not.
type leaseClient struct {
	expiresAt float64            // of the lease
	sentAt    map[uint64]float64 // of the latest lease requests, by nonce
	nonce     uint64             // of the latest; each request has the next number
	renewAt   float64
	leader    string             // "": unknown
	nextVoter int                // to be asked while the leader is unknown, an index of Config.Voters
	proposals map[uint64]Payload // without a result, by ID
	jobs      jobCache
	report    jobs.Report
}

func newLeaseClient(now float64) leaseClient {
	return leaseClient{expiresAt: longAgo, sentAt: map[uint64]float64{}, renewAt: now, proposals: map[uint64]Payload{}}
}

// Propose asks for a version with these rules. The result is part of some later Output. A proposal that is made again under
// the same ID counts once.
func (n *Node) Propose(now float64, id uint64, rules Rules) error {
	n.advanceTime(now)
	if err := rules.Validate(); err != nil {
		return err
	}
	n.submit(id, VersionProposal{ID: id, Version: Version{Rules: rules, ProposedBy: n.cfg.Name, Format: rulesFormat}})
	return nil
}

// ProposeJobEntry asks for an entry about a job. The result is part of some later Output. With a change, the entry's job,
// under its token, makes a version of the active rules with that change.
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

// Abandon forgets a proposal whose result nobody waits for any more. It may still be committed.
func (n *Node) Abandon(id uint64) { delete(n.client.proposals, id) }

func (n *Node) submit(id uint64, proposal Payload) {
	n.client.proposals[id] = proposal
	n.sendToLeader(proposal)
	n.advanceRaft()
}

// sendToLeader sends to the leader, as far as that is known, else to each voter in turn.
func (n *Node) sendToLeader(p Payload) {
	to := n.client.leader
	if to == "" && len(n.cfg.Voters) > 0 {
		to = n.cfg.Voters[n.client.nextVoter%len(n.cfg.Voters)]
		n.client.nextVoter++
	}
	n.send(to, p)
}

// tickClient renews the lease when that is due, and repeats what had no answer.
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
	if n.now >= c.expiresAt && c.nonce%redirectAfter == 0 {
		c.leader = "" // whoever was taken for the leader does not answer
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

// receiveGrant takes a lease. It runs from when it was requested, by this node's clock.
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
		c.leader = "" // it led when it was last asked, and does not now
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

// observe takes the versions and jobs of a message. What was acted on before is never taken back: what a message says of
// jobs is no newer than its versions. revision is up to which the jobs are known from now on; 0: as before.
func (n *Node) observe(versions VersionState, epoch uint64, list []jobs.Job, revision uint64) {
	for _, job := range list {
		if job.Token > n.versions.HighestToken {
			n.versions.HighestToken, n.dirty = job.Token, true
		}
	}
	if next := n.versions.advancedTo(versions); !next.sameVersions(&n.versions) {
		n.versions, n.dirty = next, true
		n.client.renewAt = n.now // to confirm at once
	}
	n.client.jobs.merge(epoch, list, revision)
}
