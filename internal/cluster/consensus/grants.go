package consensus

import (
	"encoding/binary"
	"fmt"

	"ashstand/internal/cluster/jobs"
)

// maxGrantJobBytes bounds the jobs of one grant, about; what is left out comes with the next. jobOverheadBytes is the size
// of a job without its payloads, about.
const (
	maxGrantJobBytes = 48 << 10
	jobOverheadBytes = 256
)

// leaseHolder is a pooler whose lease may still run.
type leaseHolder struct {
	name             string
	incarnation      uint64
	until            float64 // by the leader's clock, the other's drift included
	confirmedVersion int     // the newest version that it acts on
	format           int     // of rules that its program reads
	report           jobs.Report
	allJobsAt        float64 // when it was sent the changes of all jobs
}

// renewal is a lease request and who sent it.
type renewal struct {
	from        string
	incarnation uint64
	request     LeaseRequest
}

// renewalQueue holds lease requests until a majority has confirmed, after they came, that this node still leads. They are
// confirmed in batches, one at a time.
type renewalQueue struct {
	waiting    []renewal
	confirming []renewal // nil: no batch is being confirmed
	since      float64   // when its confirmation was asked for
	batch      uint64    // its number
	confirmed  uint64    // the last batch that was confirmed
	index      uint64    // which may be answered once the log is applied up to here
}

func (q *renewalQueue) reset() { q.waiting, q.confirming, q.batch = nil, nil, q.batch+1 }

// confirm notes that a majority confirmed a batch.
func (q *renewalQueue) confirm(batch, index uint64) { q.confirmed, q.index = batch, index }

// isReady says whether the batch may be answered.
func (q *renewalQueue) isReady(applied uint64) bool {
	return q.confirming != nil && q.confirmed == q.batch && applied >= q.index
}

// next begins with a batch of what waits.
func (q *renewalQueue) next(now float64) {
	q.confirming, q.waiting, q.since = q.waiting, nil, now
	q.batch++
}

// take ends the batch and returns it.
func (q *renewalQueue) take() []renewal {
	batch := q.confirming
	q.confirming = nil
	return batch
}

func (n *Node) receiveLeaseRequest(r renewal) {
	if !n.leadership.active {
		n.redirect(r.from)
		return
	}
	if q := &n.leadership.renewals; len(q.waiting) < maxHolders {
		q.waiting = append(q.waiting, r)
	}
}

// grantLeases answers the batch that a majority confirmed, and begins with the next.
func (n *Node) grantLeases() {
	q := &n.leadership.renewals
	if q.isReady(n.replica.applied) {
		n.grantAll(q.take())
	}
	if q.confirming != nil && n.now-q.since > n.replica.electionTimeout() {
		q.take() // the confirmation was lost: whoever waited asks again
	}
	if q.confirming != nil || len(q.waiting) == 0 {
		return
	}
	q.next(n.now)
	if n.cfg.Break == breakQuorum {
		q.confirm(q.batch, 0)
		n.grantAll(q.take())
		return
	}
	n.replica.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, q.batch))
}

func (n *Node) grantAll(batch []renewal) {
	for _, r := range batch {
		n.grant(r)
	}
}

func (n *Node) grant(r renewal) {
	holder := n.holder(r)
	if holder == nil {
		return
	}
	holder.confirmedVersion = max(holder.confirmedVersion, r.request.NewestVersion)
	holder.format = r.request.Format
	if r.request.Report != nil {
		holder.report = *r.request.Report
		n.leadership.scheduler.ObserveReport(holder.report)
	}
	holder.until = max(holder.until, n.now+n.maxLeaseMillis())
	grant := LeaseGrant{Nonce: r.request.Nonce, DurationMillis: n.cfg.LeaseMillis, Versions: n.replica.state.Versions}
	n.addJobs(&grant, r, holder)
	n.send(r.from, grant)
}

// holder finds who sent a request, or adds it. nil: there are too many.
func (n *Node) holder(r renewal) *leaseHolder {
	holders := n.leadership.holders
	key := fmt.Sprintf("%s/%x", r.from, r.incarnation)
	if holders[key] == nil {
		if len(holders) >= maxHolders {
			return nil
		}
		holders[key] = &leaseHolder{name: r.from, incarnation: r.incarnation, until: longAgo, allJobsAt: longAgo}
	}
	return holders[key]
}

// addJobs adds the jobs that changed since a request's revision to its grant: at once those whose lease the pooler holds,
// the others at a slower pace, since nothing waits for them and a busy job changes with each operation.
func (n *Node) addJobs(grant *LeaseGrant, r renewal, holder *leaseHolder) {
	state := &n.replica.state
	if grant.JobsEpoch = state.JobsEpoch; grant.JobsEpoch == 0 {
		return // there are none
	}
	since := r.request.JobsRevision
	if r.request.JobsEpoch != state.JobsEpoch {
		since = 0
	}
	changed := state.Jobs.ChangedSince(since)
	grant.JobsRevision = since
	if n.now-holder.allJobsAt < n.cfg.LeaseMillis/2 && since > 0 {
		grant.Jobs = jobsOf(changed, r)
		return
	}
	holder.allJobsAt = n.now
	size := 0
	for _, job := range changed {
		if size += jobBytes(&job); size > maxGrantJobBytes && len(grant.Jobs) > 0 {
			return
		}
		grant.Jobs, grant.JobsRevision = append(grant.Jobs, job), job.Revision
	}
	grant.JobsRevision = state.Jobs.Revision
}

// jobsOf are the jobs whose lease the sender of a request holds.
func jobsOf(list []jobs.Job, r renewal) (own []jobs.Job) {
	for _, job := range list {
		if job.Holder == r.from && job.Incarnation == r.incarnation {
			own = append(own, job)
		}
	}
	return own
}

// jobBytes is the size of a job in a message, about.
func jobBytes(job *jobs.Job) int {
	size := jobOverheadBytes + len(job.Spec) + len(job.State)
	if job.Operation != nil {
		size += len(job.Operation.Data)
	}
	return size
}
