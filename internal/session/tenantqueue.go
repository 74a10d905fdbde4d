package session

import (
	"container/heap"
	"container/list"
	"fmt"
)

// RejectReason is why a transaction of a tenant is rejected. Its values are the codes that clients and operators get.
type RejectReason string

// The reasons.
const (
	// RejectPaused: the pause lasts longer than the transaction may wait.
	RejectPaused RejectReason = "tenant_paused"
	// RejectUndecided: no group is agreed on.
	RejectUndecided RejectReason = "tenant_fenced"
	// RejectTooMany: as many transactions wait as may.
	RejectTooMany RejectReason = "tenant_held_many"
	// RejectTooManyBytes: what waits takes as much memory as it may.
	RejectTooManyBytes RejectReason = "tenant_held_bytes"
	// RejectFenced: the tenant is fenced at its host, and the rules have not changed since.
	RejectFenced RejectReason = "tenant_closed"
)

// rejectText is what clients and operators are told of a reason.
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

// TenantError rejects a transaction before any of it was executed.
type TenantError struct {
	Database string
	Reason   RejectReason
}

// Error names the database and the reason.
func (e *TenantError) Error() string {
	return "database " + fmt.Sprintf("%q", e.Database) + rejectTexts[e.Reason].message
}

// Code is the reason.
func (e *TenantError) Code() string { return string(e.Reason) }

// Advice says what can be done.
func (e *TenantError) Advice() string { return rejectTexts[e.Reason].advice }

// TenantQueueLimits bound what may wait for tenants.
type TenantQueueLimits struct {
	PerTenant, Total           int // transactions
	BytesPerTenant, TotalBytes int // that these have sent so far
	// MaxPauseMillis is how long after a pause began nothing waits for it any more.
	MaxPauseMillis float64
}

// QueuedTransaction is a transaction that waits for its tenant, or would. A session has one at the most.
type QueuedTransaction struct {
	Owner       any     // the session
	Deadline    float64 // clock milliseconds; then it is rejected
	Bytes       int     // that it has sent so far
	MaxInFlight int     // how many released transactions may be on their way at once when it is its turn

	tenant    *Tenant
	reason    RejectReason // if it is rejected at the end of its wait
	waitUntil float64
	order     uint64     // of its arrival; 0: it was never queued
	queue     *list.List // nil: it does not wait
	element   *list.Element
	heapIndex int
	released  bool
	// rejectedByHost is set if a host rejected it before it was executed, since the tenant is fenced there; rejectedUnder
	// is the assignment then.
	rejectedByHost bool
	rejectedUnder  Assignment
}

// IsQueued reports whether it waits.
func (q *QueuedTransaction) IsQueued() bool { return q.queue != nil }

// MarkRejected records that a host rejected the transaction before it was executed, since the tenant is fenced there,
// while the rules said assignment.
func (q *QueuedTransaction) MarkRejected(assignment Assignment) {
	q.rejectedByHost, q.rejectedUnder = true, assignment
}

// IsReleased reports whether it was released and has not reached its host.
func (q *QueuedTransaction) IsReleased() bool { return q.released }

// Reset makes it ready for another transaction.
func (q *QueuedTransaction) Reset() { q.order, q.rejectedByHost = 0, false }

// Tenant is a database that has sessions here, with its transactions that wait.
type Tenant struct {
	Database string
	Rejected uint64 // transactions, for a reason of the tenant's
	Released uint64 // transactions that had waited

	sessions      int
	waiting       list.List // of *QueuedTransaction, in the order of arrival
	awaitingRules list.List // rejected by a host, until the rules change
	inFlight      int       // released, and not at a host yet
	bytes         int
}

// Queued is how many of its transactions wait.
func (t *Tenant) Queued() int { return t.waiting.Len() + t.awaitingRules.Len() }

// InFlight is how many were released and are not at a host yet.
func (t *Tenant) InFlight() int { return t.inFlight }

// Sessions is how many sessions it has.
func (t *Tenant) Sessions() int { return t.sessions }

func (t *Tenant) reject(reason RejectReason) *TenantError {
	t.Rejected++
	return &TenantError{Database: t.Database, Reason: reason}
}

// Tenants are the databases that have sessions here. It is not safe for concurrent use: one event loop owns it.
type Tenants struct {
	byDatabase map[string]*Tenant
	deadlines  deadlineHeap // of all that wait
	bytes      int
	lastOrder  uint64
}

// NewTenants returns an empty set.
func NewTenants() *Tenants { return &Tenants{byDatabase: map[string]*Tenant{}} }

// AddSession counts a session of a database.
func (ts *Tenants) AddSession(database string) *Tenant {
	tenant := ts.byDatabase[database]
	if tenant == nil {
		tenant = &Tenant{Database: database}
		ts.byDatabase[database] = tenant
	}
	tenant.sessions++
	return tenant
}

// RemoveSession forgets a tenant with its last session.
func (ts *Tenants) RemoveSession(tenant *Tenant) {
	tenant.sessions--
	if tenant.sessions == 0 {
		delete(ts.byDatabase, tenant.Database)
	}
}

// All returns the tenants, in no order.
func (ts *Tenants) All() (out []*Tenant) {
	for _, tenant := range ts.byDatabase {
		out = append(out, tenant)
	}
	return out
}

// Queued is how many transactions of all tenants wait.
func (ts *Tenants) Queued() int { return len(ts.deadlines) }

// Admit decides on a transaction under the present assignment: it goes on, is queued, or is rejected with an error. One
// that waited before keeps its place before all that arrived after it.
func (ts *Tenants) Admit(now float64, tenant *Tenant, assignment Assignment, q *QueuedTransaction, limits TenantQueueLimits) (queued bool, err *TenantError) {
	rulesUnchanged := q.rejectedByHost && q.rejectedUnder.Equal(assignment)
	switch {
	case assignment.Paused: // a group that changes is undecided while it is paused: that is no reason to reject
	case assignment.Undecided:
		return false, tenant.reject(RejectUndecided)
	case rulesUnchanged:
	case tenant.waiting.Len() == 0 || q.released: // one that was released does not wait for those behind it
		return false, nil
	}
	q.reason, q.waitUntil = RejectPaused, q.Deadline
	if assignment.Paused {
		q.waitUntil = min(q.waitUntil, assignment.PausedSince+limits.MaxPauseMillis)
	} else if rulesUnchanged {
		q.reason = RejectFenced
	}
	if reason := ts.exceeded(now, tenant, q, limits); reason != "" {
		return false, tenant.reject(reason)
	}
	ts.Complete(tenant, q)
	q.rejectedByHost = q.rejectedByHost && !assignment.Paused // the rules have changed since
	q.tenant = tenant
	tenant.bytes += q.Bytes
	ts.bytes += q.Bytes
	if rulesUnchanged && !assignment.Paused {
		ts.insert(q, &tenant.awaitingRules)
	} else {
		ts.insert(q, &tenant.waiting)
	}
	heap.Push(&ts.deadlines, q)
	return true, nil
}

// exceeded returns which limit keeps a transaction from waiting; empty: none.
func (ts *Tenants) exceeded(now float64, tenant *Tenant, q *QueuedTransaction, limits TenantQueueLimits) RejectReason {
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

// insert puts a transaction behind all that arrived before it.
func (ts *Tenants) insert(q *QueuedTransaction, queue *list.List) {
	q.queue = queue
	if q.order == 0 {
		ts.lastOrder++
		q.order = ts.lastOrder
		q.element = queue.PushBack(q)
		return
	}
	for e := queue.Front(); e != nil; e = e.Next() { // it is among those that arrived first
		if e.Value.(*QueuedTransaction).order > q.order {
			q.element = queue.InsertBefore(q, e)
			return
		}
	}
	q.element = queue.PushBack(q)
}

// Grow records that a transaction that waits sent more. It returns false if what waits exceeds its limits, and no more of
// it should be read.
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

// Remove takes a transaction out, wherever it is: its client is gone, or it was rejected.
func (ts *Tenants) Remove(tenant *Tenant, q *QueuedTransaction) {
	ts.Complete(tenant, q)
	ts.remove(q)
}

func (ts *Tenants) remove(q *QueuedTransaction) {
	if !q.IsQueued() {
		return
	}
	q.queue.Remove(q.element)
	q.queue, q.element = nil, nil
	q.tenant.bytes -= q.Bytes
	ts.bytes -= q.Bytes
	heap.Remove(&ts.deadlines, q.heapIndex)
}

// Next releases the transaction of a tenant that is to go on now, which is then to be admitted again; nil: none is. Its
// MaxInFlight bounds how many are on their way at once, so that a host that has not served this database yet is not
// reached by all of them.
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
	ts.remove(q)
	q.released = true
	tenant.inFlight++
	tenant.Released++
	return q
}

// requeueChanged has those that a host rejected wait with the others once the rules have changed.
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
		ts.insert(q, &tenant.waiting)
	}
}

// Complete records that a released transaction reached its host, or ended. more is set if others wait behind it.
func (ts *Tenants) Complete(tenant *Tenant, q *QueuedTransaction) (more bool) {
	if !q.released {
		return false
	}
	q.released = false
	tenant.inFlight--
	return tenant.waiting.Len() > 0
}

// NextExpired takes out a transaction whose wait is over, with why it is rejected; nil: there is none.
func (ts *Tenants) NextExpired(now float64) (*QueuedTransaction, *TenantError) {
	if len(ts.deadlines) == 0 || ts.deadlines[0].waitUntil > now {
		return nil, nil
	}
	q := ts.deadlines[0]
	ts.remove(q)
	return q, q.tenant.reject(q.reason)
}

// NextDeadline is when the next wait is over; ok is false if nothing waits.
func (ts *Tenants) NextDeadline() (at float64, ok bool) {
	if len(ts.deadlines) == 0 {
		return 0, false
	}
	return ts.deadlines[0].waitUntil, true
}

// deadlineHeap is a container/heap of all that wait, by the end of their wait.
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
