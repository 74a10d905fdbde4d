package consensus

import (
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// assignJobs proposes the scheduler's entries, which assign the leases of jobs to poolers. A new leader does
// not know all lease holders until the leases that the previous leader granted have expired.
func (n *Node) assignJobs() {
	l, state := &n.leadership, &n.replica.state
	if state.JobsEpoch == 0 && l.scheduler.HighestToken == 0 || n.replica.confState == nil {
		return
	}
	if n.now-l.scheduledAt < n.cfg.RenewIntervalMillis/4 && state.Jobs.Revision == l.scheduledRevision {
		return
	}
	l.scheduledAt, l.scheduledRevision = n.now, state.Jobs.Revision
	for _, entry := range l.scheduler.Tick(n.now, &state.Jobs, l.candidates(), n.now < l.leasesEndedAt) {
		_ = n.append(applyJobEntry{ID: n.random.Uint64(), Entry: &entry}) // the scheduler repeats a lost entry
	}
}

// candidates returns the poolers whose lease may not have expired yet, in a fixed order.
func (l *leadership) candidates() []jobs.Candidate {
	candidates := make([]jobs.Candidate, 0, len(l.holders))
	for _, key := range slices.Sorted(maps.Keys(l.holders)) {
		h := l.holders[key]
		candidates = append(candidates, jobs.Candidate{Name: h.name, Incarnation: h.incarnation, LeaseUntil: h.expiresAt, Report: h.report})
	}
	return candidates
}

// notifyHolder notifies a job's new lease holder at once, rather than with its next lease grant.
func (n *Node) notifyHolder(e *jobs.Entry) {
	if !n.leadership.active || e.Type != jobs.EntryAssign {
		return
	}
	state := &n.replica.state
	job := state.Jobs.Jobs[e.Job]
	if job != nil && job.Holder == e.Holder && job.Incarnation == e.Incarnation {
		n.send(e.Holder, JobUpdate{JobsEpoch: state.JobsEpoch, Versions: state.Versions, Jobs: []jobs.Job{*job}})
	}
}
