package consensus

import (
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// assignJobs proposes the entries that the scheduler wants: who is to hold the lease of which job. A new leader does not
// know who holds leases until those of the leader before have ended.
func (n *Node) assignJobs() {
	l, state := &n.leadership, &n.replica.state
	if state.JobsEpoch == 0 && l.scheduler.HighestToken == 0 || n.replica.confState == nil {
		return
	}
	if n.now-l.scheduledAt < n.cfg.RenewIntervalMillis/4 && state.Jobs.Revision == l.scheduledRev {
		return
	}
	l.scheduledAt, l.scheduledRev = n.now, state.Jobs.Revision
	for _, entry := range l.scheduler.Tick(n.now, &state.Jobs, l.candidates(), n.now < l.leasesEndedAt) {
		_ = n.append(applyJobEntry{ID: n.random.Uint64(), Entry: &entry}) // one that is lost is proposed again
	}
}

// candidates are the poolers whose lease may still run, in a fixed order.
func (l *leadership) candidates() []jobs.Candidate {
	candidates := make([]jobs.Candidate, 0, len(l.holders))
	for _, key := range slices.Sorted(maps.Keys(l.holders)) {
		h := l.holders[key]
		candidates = append(candidates, jobs.Candidate{Name: h.name, Incarnation: h.incarnation, LeaseUntil: h.until, Report: h.report})
	}
	return candidates
}

// notifyHolder tells a job's new lease holder at once, rather than with its next lease.
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
