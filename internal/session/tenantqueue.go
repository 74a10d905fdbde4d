package session

import (
	"container/heap"
	"container/list"
	"fmt"
)

// Assignment is what the rules that count at a moment say of a database as clients name it, a tenant. Its zero value says
// nothing: the pool's own group counts.
type Assignment struct {
	Group       uint64
	HasGroup    bool    // the rules name the group
	Undecided   bool    // which group it is is not known for now
	Paused      bool    // new transactions wait
	PausedSince float64 // Paused: clock milliseconds at which this pooler heard of it
}

// Equal says whether both mean the same for a transaction.
func (h Assignment) Equal(o Assignment) bool {
	h.PausedSince, o.PausedSince = 0, 0
	return h == o
}

// GroupFor is the group to which a transaction goes that was routed by r. A comment that names another group than the rules
// do is a *GroupMismatchError: it would write where the database is not.
func (h Assignment) GroupFor(database string, r *Route) (group uint64, err error) {
	if !h.HasGroup || h.Undecided {
		return r.Group, nil
	}
	if r.HasGroup && r.Group != h.Group {
		return 0, &GroupMismatchError{Database: database, Assigned: h.Group, Requested: r.Group}
	}
	return h.Group, nil
}

// GroupMismatchError says that a comment names another group than the one that holds the database.
type GroupMismatchError struct {
	Database            string
	Assigned, Requested uint64
}

func (e *GroupMismatchError) Error() string {
	return fmt.Sprintf("the comment's cluster is %d, but database %q is at %d", e.Requested, e.Database, e.Assigned)
}

// Code is the reason in a word.
func (e *GroupMismatchError) Code() string { return "home_contradicted" }

// Advice says what can be done.
func (e *GroupMismatchError) Advice() string {
	return "leave cluster= out of the comment: the pooler knows where the database is"
}

// IsRetryable says whether a text is one statement that is undone as a whole by its error and leaves nothing on its
// connection, so that it can be run again elsewhere. A procedure or a DO block may have committed a part of its own.
func IsRetryable(text string) bool {
	s := scanner{text: text}
	tokens, more, ok := s.nextStatement()
	if !ok || len(tokens) == 0 || tokens[0].literal {
		return false
	}
	if more && len(Scan(text[s.position:]).Statements) > 0 {
		return false
	}
	switch tokens[0].folded {
	case "insert", "update", "delete", "merge", "with", "select":
		return classify(text, tokens).Kind != MakesSticky
	}
	return false
}

// RejectReason is the reason for which a transaction of a tenant is not let through.
type RejectReason string

// The reasons.
const (
	RejectPaused       RejectReason = "tenant_paused"     // for longer than may be waited
	RejectUndecided    RejectReason = "tenant_fenced"     // nobody can say where it is
	RejectTooMany      RejectReason = "tenant_held_many"  // as many wait as may
	RejectTooManyBytes RejectReason = "tenant_held_bytes" // what waits takes as much memory as it may
	RejectFenced       RejectReason = "tenant_closed"     // its host takes no writes of it, and the rules have said nothing since
)

// TenantError refuses a transaction before anything of it ran.
type TenantError struct {
	Database string
	Reason   RejectReason
}

func (e *TenantError) Error() string {
	return "database " + fmt.Sprintf("%q", e.Database) + map[RejectReason]string{
		RejectPaused:       " is paused for longer than this can wait",
		RejectUndecided:    " has no home that is agreed on for now",
		RejectTooMany:      " is paused, and as many transactions wait as may",
		RejectTooManyBytes: " is paused, and what waits takes as much memory as it may",
		RejectFenced:       " is closed at its host, and no other home was named in time",
	}[e.Reason]
}

// Code is the reason in a word.
func (e *TenantError) Code() string { return string(e.Reason) }

// Advice says what can be done.
func (e *TenantError) Advice() string {
	switch e.Reason {
	case RejectUndecided:
		return "look at ashstand cluster versions: two versions meet, or this pooler has no lease"
	case RejectTooMany, RejectTooManyBytes:
		return "end the pause, or raise the pool's held or the sessions' held"
	case RejectFenced:
		return "name the new home, or open the database at its host again"
	}
	return "end the pause"
}

// TenantQueueLimits are what may be held.
type TenantQueueLimits struct {
	PerTenant, Total           int     // transactions of one database, and of all
	BytesPerTenant, TotalBytes int     // that these sent so far
	MaxPauseMillis             float64 // milliseconds after a pause began from which on nothing waits for it
}

// QueuedTransaction is a transaction that waits for its tenant, or would. A session has one at the most.
type QueuedTransaction struct {
	Owner       any     // whose it is
	Deadline    float64 // clock milliseconds; then it is refused
	Bytes       int     // that it sent so far
	MaxInFlight int     // how many that were held may be on their way at once when it is its turn

	tenant         *Tenant
	reason         RejectReason
	waitUntil      float64
	order          uint64 // of its coming, 0: it was never held
	queue          *list.List
	element        *list.Element
	heapIndex      int // in the heap
	released       bool
	rejectedByHost bool       // a host turned it away
	rejectedUnder  Assignment // what the rules said then
}

// IsQueued says whether it is held.
func (x *QueuedTransaction) IsQueued() bool { return x.queue != nil }

// MarkRejected notes that a host turned the transaction away unrun, since the tenant is closed there, while the rules said h.
func (x *QueuedTransaction) MarkRejected(h Assignment) { x.rejectedByHost, x.rejectedUnder = true, h }

// IsReleased says whether it was let go and has not landed.
func (x *QueuedTransaction) IsReleased() bool { return x.released }

// Reset makes it ready for another transaction.
func (x *QueuedTransaction) Reset() { x.order, x.rejectedByHost = 0, false }

// Tenant is a database that has sessions here, with what is held of it.
type Tenant struct {
	Database string
	Rejected uint64 // transactions, for a reason of the tenant's
	Released uint64 // held and let go

	sessions      int
	waiting       list.List // in the order of coming
	awaitingRules list.List // turned away, until the rules say something else
	inFlight      int       // let go, and not at a host yet
	bytes         int
}

// Queued is how many of its transactions wait.
func (t *Tenant) Queued() int { return t.waiting.Len() + t.awaitingRules.Len() }

// InFlight is how many were let go and are not at a host yet.
func (t *Tenant) InFlight() int { return t.inFlight }

// Sessions is how many sessions it has.
func (t *Tenant) Sessions() int { return t.sessions }

// Tenants are the databases that have sessions here. There is one for each database of a session, and none else.
type Tenants struct {
	byDatabase map[string]*Tenant
	deadlines  deadlineHeap
	bytes      int
	lastOrder  uint64
}

// NewTenants returns none.
func NewTenants() *Tenants { return &Tenants{byDatabase: map[string]*Tenant{}} }

// AddSession takes a session of a database in.
func (ts *Tenants) AddSession(database string) *Tenant {
	t := ts.byDatabase[database]
	if t == nil {
		t = &Tenant{Database: database}
		ts.byDatabase[database] = t
	}
	t.sessions++
	return t
}

// RemoveSession says that a session of it is gone.
func (ts *Tenants) RemoveSession(t *Tenant) {
	if t.sessions--; t.sessions == 0 {
		delete(ts.byDatabase, t.Database)
	}
}

// All are they, in no order.
func (ts *Tenants) All() (out []*Tenant) {
	for _, t := range ts.byDatabase {
		out = append(out, t)
	}
	return out
}

// Queued is how many transactions of all wait.
func (ts *Tenants) Queued() int { return len(ts.deadlines) }

// Admit says what becomes of a transaction of a tenant under what the rules say now: it goes on, it is held, or it is
// refused for err. One that was held keeps its place before all that came after it.
func (ts *Tenants) Admit(now float64, t *Tenant, h Assignment, x *QueuedTransaction, b TenantQueueLimits) (held bool, err *TenantError) {
	away := x.rejectedByHost && x.rejectedUnder.Equal(h)
	switch {
	case h.Paused: // a home that changes is fenced while it is paused: that is no reason to refuse
	case h.Undecided:
		return false, t.reject(RejectUndecided)
	case away: // the rules have not said it yet
	case t.waiting.Len() == 0 || x.released: // who was let go does not wait for those behind
		return false, nil
	}
	x.reason, x.waitUntil = RejectPaused, x.Deadline
	if h.Paused {
		x.waitUntil = min(x.waitUntil, h.PausedSince+b.MaxPauseMillis)
	} else if away {
		x.reason = RejectFenced
	}
	switch {
	case now >= x.waitUntil:
		return false, t.reject(x.reason)
	case t.Queued() >= b.PerTenant || len(ts.deadlines) >= b.Total:
		return false, t.reject(RejectTooMany)
	case t.bytes+x.Bytes > b.BytesPerTenant || ts.bytes+x.Bytes > b.TotalBytes:
		return false, t.reject(RejectTooManyBytes)
	}
	ts.Complete(t, x)
	x.rejectedByHost = x.rejectedByHost && !h.Paused // the rules have said something since
	x.tenant = t
	t.bytes += x.Bytes
	ts.bytes += x.Bytes
	if away && !h.Paused {
		ts.insert(x, &t.awaitingRules)
	} else {
		ts.insert(x, &t.waiting)
	}
	heap.Push(&ts.deadlines, x)
	return true, nil
}

func (t *Tenant) reject(why RejectReason) *TenantError {
	t.Rejected++
	return &TenantError{t.Database, why}
}

// insert puts it behind all that came before it.
func (ts *Tenants) insert(x *QueuedTransaction, l *list.List) {
	x.queue = l
	if x.order == 0 {
		ts.lastOrder++
		x.order = ts.lastOrder
		x.element = l.PushBack(x)
		return
	}
	for e := l.Front(); e != nil; e = e.Next() { // it is among those that came first
		if e.Value.(*QueuedTransaction).order > x.order {
			x.element = l.InsertBefore(x, e)
			return
		}
	}
	x.element = l.PushBack(x)
}

// Grow notes that a transaction that is held sent more. false: what waits takes more than it may, and no more of it
// should be read.
func (ts *Tenants) Grow(x *QueuedTransaction, bytes int, b TenantQueueLimits) bool {
	if !x.IsQueued() {
		return true
	}
	more := bytes - x.Bytes
	x.Bytes = bytes
	x.tenant.bytes += more
	ts.bytes += more
	return x.tenant.bytes <= b.BytesPerTenant && ts.bytes <= b.TotalBytes
}

// Remove takes a transaction out, wherever it is: its client is gone, or it was refused.
func (ts *Tenants) Remove(t *Tenant, x *QueuedTransaction) {
	ts.Complete(t, x)
	ts.remove(x)
}

func (ts *Tenants) remove(x *QueuedTransaction) {
	if !x.IsQueued() {
		return
	}
	x.queue.Remove(x.element)
	x.queue, x.element = nil, nil
	x.tenant.bytes -= x.Bytes
	ts.bytes -= x.Bytes
	heap.Remove(&ts.deadlines, x.heapIndex)
}

// Next takes the transaction of a tenant that is to go on now and be decided anew; nil: none is. As many as its window
// says are on their way at once, so that a host that has not served this database yet is not met by all of them.
func (ts *Tenants) Next(t *Tenant, h Assignment) *QueuedTransaction {
	for e := t.awaitingRules.Front(); e != nil; {
		x, next := e.Value.(*QueuedTransaction), e.Next()
		if h.Paused || !x.rejectedUnder.Equal(h) {
			x.queue.Remove(x.element)
			x.rejectedByHost = false
			ts.insert(x, &t.waiting)
		}
		e = next
	}
	e := t.waiting.Front()
	if e == nil || h.Paused {
		return nil
	}
	x := e.Value.(*QueuedTransaction)
	if !h.Undecided && t.inFlight >= max(1, x.MaxInFlight) {
		return nil
	}
	ts.remove(x)
	x.released = true
	t.inFlight++
	t.Released++
	return x
}

// Complete says that a transaction that was let go is at its host, or over. more: others wait behind it.
func (ts *Tenants) Complete(t *Tenant, x *QueuedTransaction) (more bool) {
	if !x.released {
		return false
	}
	x.released = false
	t.inFlight--
	return t.waiting.Len() > 0
}

// NextExpired takes out a transaction whose time is over, with why; nil: there is none.
func (ts *Tenants) NextExpired(now float64) (*QueuedTransaction, *TenantError) {
	if len(ts.deadlines) == 0 || ts.deadlines[0].waitUntil > now {
		return nil, nil
	}
	x := ts.deadlines[0]
	ts.remove(x)
	return x, x.tenant.reject(x.reason)
}

// NextDeadline is when the next one's time is over; ok is false where nothing is held.
func (ts *Tenants) NextDeadline() (at float64, ok bool) {
	if len(ts.deadlines) == 0 {
		return 0, false
	}
	return ts.deadlines[0].waitUntil, true
}

// deadlineHeap are all that are held, the one whose time is over first at the front.
type deadlineHeap []*QueuedTransaction

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return d[i].waitUntil < d[j].waitUntil }
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d *deadlineHeap) Push(x any) {
	x.(*QueuedTransaction).heapIndex = len(*d)
	*d = append(*d, x.(*QueuedTransaction))
}

func (d *deadlineHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return x
}
