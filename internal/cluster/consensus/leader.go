package consensus

import (
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Limits of the leader's bookkeeping.
const (
	maxHolders        = 4096 // lease holders
	maxAwaitedResults = 1024
)

// leadership is the state that a node holds as the leader. None of it is replicated: a new leader starts
// without it.
type leadership struct {
	active bool
	// leasesEndedAt is the time from which on all leases of earlier leaders have expired.
	leasesEndedAt     float64
	holders           map[string]*leaseHolder // by name and incarnation
	renewals          renewalQueue
	activatedAt       float64           // when an activation was last proposed
	hellos            map[string]uint64 // identities of voters that request admission, by name
	proposers         map[uint64]string // poolers that await a proposal's result, by the proposal's ID
	scheduler         *jobs.Scheduler
	scheduledAt       float64
	scheduledRevision uint64 // the jobs' revision at scheduledAt
}

func newLeadership(cfg jobs.SchedulerConfig) leadership {
	return leadership{holders: map[string]*leaseHolder{}, hellos: map[string]uint64{}, proposers: map[uint64]string{}, scheduler: jobs.NewScheduler(cfg)}
}

// reset discards the state of an earlier term.
func (l *leadership) reset() {
	clear(l.holders)
	clear(l.hellos)
	clear(l.proposers)
	l.scheduler.Reset()
	l.scheduledAt = longAgo
	l.renewals.reset()
}

// setLeading records whether this node leads.
func (n *Node) setLeading(leads bool) {
	l := &n.leadership
	if leads && !l.active {
		// Leases of earlier leaders were requested before a majority elected this one, so all of them have
		// expired after one lease duration.
		l.leasesEndedAt = n.now + n.maxLeaseMillis()
		l.activatedAt = longAgo
	}
	if leads != l.active {
		l.reset()
	}
	if l.active = leads; leads {
		n.client.leader = n.cfg.Name
	}
}

// maxLeaseMillis returns the maximum duration of a lease by this node's clock.
func (n *Node) maxLeaseMillis() float64 { return n.cfg.LeaseMillis * n.cfg.driftFactor() }

// lead performs the leader's duties: it grants leases, activates versions, admits voters and assigns jobs.
func (n *Node) lead() {
	if !n.leadership.active {
		return
	}
	n.grantLeases()
	maps.DeleteFunc(n.leadership.holders, func(_ string, h *leaseHolder) bool { return h.expiresAt <= n.now })
	n.activatePending()
	n.admitVoters()
	n.assignJobs()
}

// activatePending proposes to activate the pending version once it is confirmed, and repeats the proposal
// until it is committed.
func (n *Node) activatePending() {
	pending := n.replica.state.Versions.Pending
	if pending == nil || n.now-n.leadership.activatedAt <= n.replica.electionTimeout() || !n.isConfirmed(pending.Number) {
		return
	}
	if n.append(activateVersion{Number: pending.Number}) == nil {
		n.leadership.activatedAt = n.now
	}
}

// isConfirmed reports whether every pooler whose lease may not have expired yet acts on a version already.
func (n *Node) isConfirmed(version int) bool {
	if n.cfg.DisabledGuarantee == breakQuorum {
		return true
	}
	if n.now < n.leadership.leasesEndedAt {
		return false
	}
	for _, h := range n.leadership.holders {
		if h.confirmedVersion < version {
			return false
		}
	}
	return true
}

// append proposes a command for the log. The command takes effect only when its entry is committed and applied.
func (n *Node) append(c command) error {
	data, err := encodeCommand(c)
	if err != nil {
		return err
	}
	return n.replica.raw.Propose(data)
}

// leaderName returns the name of the leader as far as this node knows it; "": unknown.
func (n *Node) leaderName() string {
	if n.replica == nil {
		return n.client.leader
	}
	return n.replica.state.Names[n.replica.raw.BasicStatus().Lead]
}

// redirect tells a pooler that this node does not lead.
func (n *Node) redirect(to string) { n.send(to, LeaderRedirect{Leader: n.leaderName()}) }

// receiveProposal appends a proposal to the log. It answers at once if the proposal was committed before or
// can't be accepted now. prepare checks the proposal and returns its command.
func (n *Node) receiveProposal(from string, id uint64, prepare func() (command, error)) {
	if !n.leadership.active {
		n.redirect(from)
		return
	}
	state := &n.replica.state
	if outcome := state.outcome(id); outcome != nil {
		n.send(from, state.result(outcome))
		return
	}
	c, err := prepare()
	if err == nil {
		err = n.append(c)
	}
	if err != nil {
		n.send(from, ProposalResult{ID: id, Reason: err.Error()})
		return
	}
	// else the proposer gets the result when it repeats the proposal
	if proposers := n.leadership.proposers; len(proposers) < maxAwaitedResults {
		proposers[id] = from
	}
}

// sendResult sends the outcome of a proposal to its proposer.
func (n *Node) sendResult(outcome *proposalOutcome) {
	to, ok := n.leadership.proposers[outcome.ID]
	if !ok || !n.leadership.active {
		return
	}
	delete(n.leadership.proposers, outcome.ID)
	n.send(to, n.replica.state.result(outcome))
}

func (n *Node) prepareVersion(p VersionProposal) (command, error) {
	if err := n.checkVersion(&p.Version); err != nil {
		return nil, err
	}
	return proposeVersion(p), nil
}

func (n *Node) prepareJobEntry(from string, p JobProposal) (command, error) {
	if p.Change != nil {
		if p.Entry == nil || p.Entry.Type != jobs.EntryAuthorize {
			return nil, &RuleChangeError{}
		}
		changed := Version{Rules: p.Change.appliedTo(nil), ProposedBy: from, Format: p.Format}
		if err := n.checkVersion(&changed); err != nil {
			return nil, err
		}
	}
	return applyJobEntry{ID: p.ID, Entry: p.Entry, Change: p.Change}, nil
}

// checkVersion returns the reason why a version can't be activated on this fleet now; nil: it can.
func (n *Node) checkVersion(v *Version) error {
	if pending := n.replica.state.Versions.Pending; pending != nil {
		return &PendingError{Pending: pending.Number}
	}
	if err := v.Rules.Validate(); err != nil {
		return err
	}
	if err := n.checkLimits(v.Rules); err != nil {
		return err
	}
	return n.checkFormat(v.Format)
}

// checkLimits rejects rules that a pooler without a lease, which acts on its limits, would violate.
func (n *Node) checkLimits(rules Rules) error {
	for _, name := range slices.Sorted(maps.Keys(rules)) {
		key, _ := findRuleKey(name) // validated before
		limit, ok := n.cfg.Limits[name]
		if !ok || key.order != unordered && key.stricter(limit, rules[name]) != limit {
			return &LimitsError{Rule: name}
		}
	}
	return nil
}

// checkFormat rejects a format that the program of a lease holder can't read.
func (n *Node) checkFormat(format int) error {
	var incompatible []string
	for _, h := range n.leadership.holders {
		if h.expiresAt > n.now && h.format < format {
			incompatible = append(incompatible, h.name)
		}
	}
	if len(incompatible) == 0 {
		return nil
	}
	slices.Sort(incompatible)
	return &FormatError{Poolers: slices.Compact(incompatible), Format: format}
}
