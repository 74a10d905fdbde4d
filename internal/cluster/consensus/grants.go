package consensus

import (
	"encoding/binary"
	"fmt"

	"ashstand/internal/cluster/jobs"
)

const (
	// maxGrantJobBytes is the approximate maximum size of the jobs in one grant. Later grants
	// contain the others.
	maxGrantJobBytes = 48 << 10
	// jobOverheadBytes is the approximate size of a job without its payloads.
	jobOverheadBytes = 256
)

// leaseHolder is a pooler whose lease may not have expired yet.
type leaseHolder struct {
	name             string
	incarnation      uint64
	expiresAt        float64 // by the leader's clock, with an allowance for clock drift
	confirmedVersion int     // the newest version that the holder acts on
	format           int     // newest format of rules that the holder's program reads
	report           jobs.Report
	allJobsSentAt    float64 // when the changes of all jobs were last sent to it
}

// renewal is a lease request and its sender.
type renewal struct {
	from        string
	incarnation uint64
	request     LeaseRequest
}

// renewalQueue holds lease requests until a majority has confirmed, after the requests arrived, that this
// node still leads. The requests are confirmed in batches, one batch at a time.
type renewalQueue struct {
	waiting    []renewal
	confirming []renewal // the current batch; nil: none
	// confirmationRequestedAt is when the confirmation of the current batch was requested.
	confirmationRequestedAt float64
	batch                   uint64 // number of the current batch
	confirmed               uint64 // number of the last batch that a majority confirmed
	// readIndex is the log index up to which entries have to be applied before the confirmed batch is answered.
	readIndex uint64
}

func (q *renewalQueue) reset() { q.waiting, q.confirming, q.batch = nil, nil, q.batch+1 }

// confirm records that a majority confirmed a batch.
func (q *renewalQueue) confirm(batch, index uint64) { q.confirmed, q.readIndex = batch, index }

// isReady reports whether the current batch may be answered.
func (q *renewalQueue) isReady(applied uint64) bool {
	return q.confirming != nil && q.confirmed == q.batch && applied >= q.readIndex
}

// startBatch makes the waiting requests the current batch.
func (q *renewalQueue) startBatch(now float64) {
	q.confirming, q.waiting, q.confirmationRequestedAt = q.waiting, nil, now
	q.batch++
}

// finishBatch ends the current batch and returns it.
func (q *renewalQueue) finishBatch() []renewal {
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

// grantLeases answers the current batch if a majority has confirmed it, and requests the confirmation of the
// next.
func (n *Node) grantLeases() {
	q := &n.leadership.renewals
	if q.isReady(n.replica.applied) {
		n.grantAll(q.finishBatch())
	}
	if q.confirming != nil && n.now-q.confirmationRequestedAt > n.replica.electionTimeout() {
		q.finishBatch() // the confirmation was lost; the senders repeat their requests
	}
	if q.confirming != nil || len(q.waiting) == 0 {
		return
	}
	q.startBatch(n.now)
	if n.cfg.DisabledGuarantee == breakQuorum {
		q.confirm(q.batch, 0)
		n.grantAll(q.finishBatch())
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
	holder.expiresAt = max(holder.expiresAt, n.now+n.maxLeaseMillis())
	grant := LeaseGrant{Nonce: r.request.Nonce, DurationMillis: n.cfg.LeaseMillis, Versions: n.replica.state.Versions}
	n.addJobs(&grant, r, holder)
	n.send(r.from, grant)
}

// holder returns the lease holder that sent a request, and adds it if it is new. It returns nil if there are
// too many.
func (n *Node) holder(r renewal) *leaseHolder {
	holders := n.leadership.holders
	key := fmt.Sprintf("%s/%x", r.from, r.incarnation)
	if holders[key] == nil {
		if len(holders) >= maxHolders {
			return nil
		}
		holders[key] = &leaseHolder{name: r.from, incarnation: r.incarnation, expiresAt: longAgo, allJobsSentAt: longAgo}
	}
	return holders[key]
}

// addJobs adds the jobs that changed since a request's revision to its grant. Every grant includes
// those whose lease the pooler holds. The others are sent at most once per half lease, unless the pooler knows
// no jobs yet, since nothing waits for them and a busy job changes with each operation.
func (n *Node) addJobs(grant *LeaseGrant, r renewal, holder *leaseHolder) {
	state := &n.replica.state
	if grant.JobsEpoch = state.JobsEpoch; grant.JobsEpoch == 0 {
		return // there are no jobs
	}
	since := r.request.JobsRevision
	if r.request.JobsEpoch != state.JobsEpoch {
		since = 0
	}
	changed := state.Jobs.ChangedSince(since)
	grant.JobsRevision = since
	if n.now-holder.allJobsSentAt < n.cfg.LeaseMillis/2 && since > 0 {
		grant.Jobs = jobsHeldBySender(changed, r)
		return
	}
	holder.allJobsSentAt = n.now
	size := 0
	for _, job := range changed {
		if size += jobBytes(&job); size > maxGrantJobBytes && len(grant.Jobs) > 0 {
			return
		}
		grant.Jobs, grant.JobsRevision = append(grant.Jobs, job), job.Revision
	}
	grant.JobsRevision = state.Jobs.Revision
}

// jobsHeldBySender returns the jobs whose lease the sender of a request holds.
func jobsHeldBySender(list []jobs.Job, r renewal) (own []jobs.Job) {
	for _, job := range list {
		if job.Holder == r.from && job.Incarnation == r.incarnation {
			own = append(own, job)
		}
	}
	return own
}

// jobBytes returns the approximate size of a job in a message.
func jobBytes(job *jobs.Job) int {
	size := jobOverheadBytes + len(job.Spec) + len(job.State)
	if job.Operation != nil {
		size += len(job.Operation.Data)
	}
	return size
}
