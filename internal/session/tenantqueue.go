package session

import (
	"container/heap"
	"container/list"
	"fmt"
)

// RejectReason is why a transaction of a tenant is rejected. Its values are the codes that clients and
// operators see.
type RejectReason string

// The reasons for a rejection.
const (
	// RejectPaused means that the pause lasts longer than the transaction may wait.
	RejectPaused RejectReason = "tenant_paused"
	// RejectUndecided means that no group is agreed on for the tenant.
	RejectUndecided RejectReason = "tenant_fenced"
	// RejectTooMany means that the maximum number of transactions is already waiting.
	RejectTooMany RejectReason = "tenant_held_many"
	// RejectTooManyBytes means that the waiting transactions would use more memory than allowed.
	RejectTooManyBytes RejectReason = "tenant_held_bytes"
	// RejectFenced means that the tenant is fenced at its host, and that the rules have not changed since.
	RejectFenced RejectReason = "tenant_closed"
)

// rejectText holds the message and the advice that clients and operators get for a reason.
type rejectText struct {
	message string
	advice  string
}

var rejectTexts = map[RejectReason]rejectText{
	RejectPaused: {
		" is paused for longer than this can wait",
		"end the pause",
	},
	RejectUndecided: {
		" has no home that is agreed on for now",
		"look at ashstand cluster versions: two versions meet, or this pooler has no lease",
	},
	RejectTooMany: {
		" is paused, and as many transactions wait as may",
		"end the pause, or raise the pool's held or the sessions' held",
	},
	RejectTooManyBytes: {
		" is paused, and what waits takes as much memory as it may",
		"end the pause, or raise the pool's held or the sessions' held",
	},
	RejectFenced: {
		" is closed at its host, and no other home was named in time",
		"name the new home, or open the database at its host again",
	},
}

// TenantError reports that a transaction was rejected before any part of it was executed.
type TenantError struct {
	Database string
	Reason   RejectReason
}

// Error returns a message that names the database and the reason.
func (e *TenantError) Error() string {
	return "database " + fmt.Sprintf("%q", e.Database) + rejectTexts[e.Reason].message
}

// Code returns the reason as the stable identifier of the error.
func (e *TenantError) Code() string { return string(e.Reason) }

// Advice tells the user how to resolve the error.
func (e *TenantError) Advice() string { return rejectTexts[e.Reason].advice }

// TenantQueueLimits limits the transactions that may wait for their tenants.
type TenantQueueLimits struct {
	// PerTenant and Total limit the number of transactions.
	PerTenant, Total int
	// BytesPerTenant and TotalBytes limit the bytes that these transactions have sent so far.
	BytesPerTenant, TotalBytes int
	// MaxPauseMillis is how long after the beginning of a pause transactions may wait for its end.
	MaxPauseMillis float64
}

// QueuedTransaction is a transaction that is waiting for its tenant, or that may have to. A session has at
// most one.
type QueuedTransaction struct {
	// Owner is the session.
	Owner any
	// Deadline is the time at which the transaction is rejected, in clock milliseconds.
	Deadline float64
	// Bytes is the number of bytes that the transaction has sent so far.
	Bytes int
	// MaxInFlight limits how many released transactions of the tenant may be in flight for this one to be
	// released.
	MaxInFlight int

	tenant *Tenant
	// reason is why the transaction is rejected if its wait ends.
	reason RejectReason
	// waitUntil is the time at which its wait ends, in clock milliseconds.
	waitUntil float64
	// arrivalNumber is its place in the order of arrival; 0: it was never queued.
	arrivalNumber uint64
	// queue is the list of its tenant in which it waits; nil: it does not wait.
	queue     *list.List
	element   *list.Element
	heapIndex int
	released  bool
	// rejectedByHost is set if a host rejected the transaction before it was executed, because the tenant is
	// fenced there. rejectedUnder is the assignment at that time.
	rejectedByHost bool
	rejectedUnder  Assignment
}

// IsQueued reports whether the transaction is waiting.
func (q *QueuedTransaction) IsQueued() bool { return q.queue != nil }

// MarkRejected records that a host rejected the transaction before it was executed, because the tenant is
// fenced there. assignment is what the rules said at that time.
func (q *QueuedTransaction) MarkRejected(assignment Assignment) {
	q.rejectedByHost, q.rejectedUnder = true, assignment
}

// IsReleased reports whether the transaction was released and has not reached its host yet.
func (q *QueuedTransaction) IsReleased() bool { return q.released }

// Reset prepares q for the session's next transaction.
func (q *QueuedTransaction) Reset() { q.arrivalNumber, q.rejectedByHost = 0, false }

// Tenant is a database that has sessions at this pooler, with its waiting transactions.
type Tenant struct {
	Database string
	// Rejected counts the transactions that were rejected with a TenantError.
	Rejected uint64
	// Released counts the transactions that were released after they had waited.
	Released uint64

	sessions int
	// waiting holds each waiting *QueuedTransaction in the order of arrival.
	waiting list.List
	// awaitingRules holds those that a host rejected and that wait until the rules change.
	awaitingRules list.List
	// inFlight counts the transactions that were released and have not reached a host yet.
	inFlight int
	// bytes is the sum of Bytes over the waiting transactions.
	bytes int
}

// Queued returns the number of waiting transactions.
func (t *Tenant) Queued() int { return t.waiting.Len() + t.awaitingRules.Len() }

// InFlight returns the number of transactions that were released and have not reached a host yet.
func (t *Tenant) InFlight() int { return t.inFlight }

// Sessions returns the number of the tenant's sessions.
func (t *Tenant) Sessions() int { return t.sessions }

func (t *Tenant) reject(reason RejectReason) *TenantError {
	t.Rejected++
	return &TenantError{Database: t.Database, Reason: reason}
}

// Tenants holds the databases that have sessions at this pooler. It is not safe for concurrent use: one event
// loop owns it.
type Tenants struct {
	byDatabase map[string]*Tenant
	// deadlines holds the waiting transactions of all tenants.
	deadlines         deadlineHeap
	bytes             int
	lastArrivalNumber uint64
}

// NewTenants returns an empty set of tenants.
func NewTenants() *Tenants { return &Tenants{byDatabase: map[string]*Tenant{}} }

// AddSession counts a new session of a database and returns its tenant.
func (ts *Tenants) AddSession(database string) *Tenant {
	tenant := ts.byDatabase[database]
	if tenant == nil {
		tenant = &Tenant{Database: database}
		ts.byDatabase[database] = tenant
	}
	tenant.sessions++
	return tenant
}

// RemoveSession counts the end of a session, and removes the tenant with its last session.
func (ts *Tenants) RemoveSession(tenant *Tenant) {
	tenant.sessions--
	if tenant.sessions == 0 {
		delete(ts.byDatabase, tenant.Database)
	}
}

// All returns the tenants in no particular order.
func (ts *Tenants) All() (out []*Tenant) {
	for _, tenant := range ts.byDatabase {
		out = append(out, tenant)
	}
	return out
}

// Queued returns the number of waiting transactions of all tenants.
func (ts *Tenants) Queued() int { return len(ts.deadlines) }

// Admit decides on a transaction under the current assignment: it proceeds, is queued, or is rejected with an
// error. A transaction that has waited before keeps its place ahead of all that arrived after it.
func (ts *Tenants) Admit(now float64, tenant *Tenant, assignment Assignment, q *QueuedTransaction, limits TenantQueueLimits) (queued bool, err *TenantError) {
	rulesUnchanged := q.rejectedByHost && q.rejectedUnder.Equal(assignment)
	switch {
	// While the group of a paused tenant changes, it is undecided. That is no reason to reject the
	// transaction.
	case assignment.Paused:
	case assignment.Undecided:
		return false, tenant.reject(RejectUndecided)
	case rulesUnchanged:
	// A transaction that was released does not wait for those that arrived after it.
	case tenant.waiting.Len() == 0 || q.released:
		return false, nil
	}
	q.reason, q.waitUntil = RejectPaused, q.Deadline
	if assignment.Paused {
		q.waitUntil = min(q.waitUntil, assignment.PausedSince+limits.MaxPauseMillis)
	} else if rulesUnchanged {
		q.reason = RejectFenced
	}
	if reason := ts.exceededLimit(now, tenant, q, limits); reason != "" {
		return false, tenant.reject(reason)
	}
	ts.Complete(tenant, q)
	q.rejectedByHost = q.rejectedByHost && !assignment.Paused // if paused, the rules have changed since
	q.tenant = tenant
	tenant.bytes += q.Bytes
	ts.bytes += q.Bytes
	if rulesUnchanged && !assignment.Paused {
		ts.enqueue(q, &tenant.awaitingRules)
	} else {
		ts.enqueue(q, &tenant.waiting)
	}
	heap.Push(&ts.deadlines, q)
	return true, nil
}

// exceededLimit returns why a transaction may not wait: its time is over, or a limit is reached. It returns
// "" if it may.
func (ts *Tenants) exceededLimit(now float64, tenant *Tenant, q *QueuedTransaction, limits TenantQueueLimits) RejectReason {
	switch {
	case now >= q.waitUntil:
		return q.reason
	case tenant.Queued() >= limits.PerTenant || len(ts.deadlines) >= limits.Total:
		return RejectTooMany
	case tenant.bytes+q.Bytes > limits.BytesPerTenant || ts.bytes+q.Bytes > limits.TotalBytes:
		return RejectTooManyBytes
	}
	return ""
}

// enqueue inserts a transaction after all that arrived before it.
func (ts *Tenants) enqueue(q *QueuedTransaction, queue *list.List) {
	q.queue = queue
	if q.arrivalNumber == 0 {
		ts.lastArrivalNumber++
		q.arrivalNumber = ts.lastArrivalNumber
		q.element = queue.PushBack(q)
		return
	}
	// The scan is short, because the transaction is one of the first that arrived.
	for e := queue.Front(); e != nil; e = e.Next() {
		if e.Value.(*QueuedTransaction).arrivalNumber > q.arrivalNumber {
			q.element = queue.InsertBefore(q, e)
			return
		}
	}
	q.element = queue.PushBack(q)
}

// Grow records how many bytes a waiting transaction has sent. It returns false if the waiting transactions
// exceed their limits, and the caller should read no more from the session.
func (ts *Tenants) Grow(q *QueuedTransaction, bytes int, limits TenantQueueLimits) bool {
	if !q.IsQueued() {
		return true
	}
	more := bytes - q.Bytes
	q.Bytes = bytes
	q.tenant.bytes += more
	ts.bytes += more
	return q.tenant.bytes <= limits.BytesPerTenant && ts.bytes <= limits.TotalBytes
}

// Remove removes a transaction, waiting or released, because its client is gone or because it was rejected.
func (ts *Tenants) Remove(tenant *Tenant, q *QueuedTransaction) {
	ts.Complete(tenant, q)
	ts.dequeue(q)
}

func (ts *Tenants) dequeue(q *QueuedTransaction) {
	if !q.IsQueued() {
		return
	}
	q.queue.Remove(q.element)
	q.queue, q.element = nil, nil
	q.tenant.bytes -= q.Bytes
	ts.bytes -= q.Bytes
	heap.Remove(&ts.deadlines, q.heapIndex)
}

// Next releases the next transaction of a tenant, if there is one that may proceed now; the caller then has
// to admit it again. Its MaxInFlight limits how many are in flight at once, so that a host that has not
// served this database yet does not receive all of them together.
func (ts *Tenants) Next(tenant *Tenant, assignment Assignment) *QueuedTransaction {
	ts.requeueChanged(tenant, assignment)
	front := tenant.waiting.Front()
	if front == nil || assignment.Paused {
		return nil
	}
	q := front.Value.(*QueuedTransaction)
	if !assignment.Undecided && tenant.inFlight >= max(1, q.MaxInFlight) {
		return nil
	}
	ts.dequeue(q)
	q.released = true
	tenant.inFlight++
	tenant.Released++
	return q
}

// requeueChanged moves the transactions that a host rejected to the other waiting ones if the rules have
// changed since.
func (ts *Tenants) requeueChanged(tenant *Tenant, assignment Assignment) {
	var next *list.Element
	for e := tenant.awaitingRules.Front(); e != nil; e = next {
		next = e.Next()
		q := e.Value.(*QueuedTransaction)
		if !assignment.Paused && q.rejectedUnder.Equal(assignment) {
			continue
		}
		q.queue.Remove(q.element)
		q.rejectedByHost = false
		ts.enqueue(q, &tenant.waiting)
	}
}

// Complete records that a released transaction reached its host, or ended. more is set if others are still
// waiting.
func (ts *Tenants) Complete(tenant *Tenant, q *QueuedTransaction) (more bool) {
	if !q.released {
		return false
	}
	q.released = false
	tenant.inFlight--
	return tenant.waiting.Len() > 0
}

// NextExpired removes and returns a transaction whose wait is over, with the error to reject it; nil if there
// is none.
func (ts *Tenants) NextExpired(now float64) (*QueuedTransaction, *TenantError) {
	if len(ts.deadlines) == 0 || ts.deadlines[0].waitUntil > now {
		return nil, nil
	}
	q := ts.deadlines[0]
	ts.dequeue(q)
	return q, q.tenant.reject(q.reason)
}

// NextDeadline returns the time at which the next wait ends; ok is false if no transaction is waiting.
func (ts *Tenants) NextDeadline() (at float64, ok bool) {
	if len(ts.deadlines) == 0 {
		return 0, false
	}
	return ts.deadlines[0].waitUntil, true
}

// deadlineHeap is a container/heap of the waiting transactions, ordered by the end of their wait.
type deadlineHeap []*QueuedTransaction

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].waitUntil < h[j].waitUntil }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	q := x.(*QueuedTransaction)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
