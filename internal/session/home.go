package session

import (
	"container/heap"
	"container/list"
	"fmt"
)

// Home is what the rules that count at a moment say of a database as clients name it, a tenant. Its zero value says
// nothing: the pool's own group counts.
type Home struct {
	Group  uint64
	Named  bool    // the rules name the group
	Fenced bool    // which group it is is not known for now
	Paused bool    // new transactions wait
	Since  float64 // Paused: clock milliseconds at which this pooler heard of it
}

// Same says whether both mean the same for a transaction.
func (h Home) Same(o Home) bool {
	h.Since, o.Since = 0, 0
	return h == o
}

// Place is the group to which a transaction goes that was routed by r. A comment that names another group than the rules
// do is a *HomeError: it would write where the database is not.
func (h Home) Place(database string, r *Route) (group uint64, err error) {
	if !h.Named || h.Fenced {
		return r.Group, nil
	}
	if r.HasGroup && r.Group != h.Group {
		return 0, &HomeError{Database: database, Home: h.Group, Asked: r.Group}
	}
	return h.Group, nil
}

// HomeError says that a comment names another group than the one that holds the database.
type HomeError struct {
	Database    string
	Home, Asked uint64
}

func (e *HomeError) Error() string {
	return fmt.Sprintf("the comment's cluster is %d, but database %q is at %d", e.Asked, e.Database, e.Home)
}

// Code is the reason in a word.
func (e *HomeError) Code() string { return "home_contradicted" }

// Advice says what can be done.
func (e *HomeError) Advice() string {
	return "leave cluster= out of the comment: the pooler knows where the database is"
}

// Rerunnable says whether a text is one statement that is undone as a whole by its error and leaves nothing on its
// connection, so that it can be run again elsewhere. A procedure or a DO block may have committed a part of its own.
func Rerunnable(text string) bool {
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

// Why is the reason for which a transaction of a tenant is not let through.
type Why string

// The reasons.
const (
	WhyPaused Why = "tenant_paused"     // for longer than may be waited
	WhyFenced Why = "tenant_fenced"     // nobody can say where it is
	WhyMany   Why = "tenant_held_many"  // as many wait as may
	WhyBytes  Why = "tenant_held_bytes" // what waits takes as much memory as it may
	WhyClosed Why = "tenant_closed"     // its host takes no writes of it, and the rules have said nothing since
)

// TenantError refuses a transaction before anything of it ran.
type TenantError struct {
	Database string
	Why      Why
}

func (e *TenantError) Error() string {
	return "database " + fmt.Sprintf("%q", e.Database) + map[Why]string{
		WhyPaused: " is paused for longer than this can wait",
		WhyFenced: " has no home that is agreed on for now",
		WhyMany:   " is paused, and as many transactions wait as may",
		WhyBytes:  " is paused, and what waits takes as much memory as it may",
		WhyClosed: " is closed at its host, and no other home was named in time",
	}[e.Why]
}

// Code is the reason in a word.
func (e *TenantError) Code() string { return string(e.Why) }

// Advice says what can be done.
func (e *TenantError) Advice() string {
	switch e.Why {
	case WhyFenced:
		return "look at ashstand cluster versions: two versions meet, or this pooler has no lease"
	case WhyMany, WhyBytes:
		return "end the pause, or raise the pool's held or the sessions' held"
	case WhyClosed:
		return "name the new home, or open the database at its host again"
	}
	return "end the pause"
}

// HoldBounds are what may be held.
type HoldBounds struct {
	Most, All       int     // transactions of one database, and of all
	Bytes, AllBytes int     // that these sent so far
	Longest         float64 // milliseconds after a pause began from which on nothing waits for it
}

// Held is a transaction that waits for its tenant, or would. A session has one at the most.
type Held struct {
	Of       any     // whose it is
	Deadline float64 // clock milliseconds; then it is refused
	Bytes    int     // that it sent so far
	Window   int     // how many that were held may be on their way at once when it is its turn

	tenant *Tenant
	why    Why
	until  float64
	order  uint64 // of its coming, 0: it was never held
	in     *list.List
	place  *list.Element
	at     int // in the heap
	flying bool
	turned bool // a host turned it away
	from   Home // what the rules said then
}

// Waiting says whether it is held.
func (x *Held) Waiting() bool { return x.in != nil }

// Turned notes that a host turned the transaction away unrun, since the tenant is closed there, while the rules said h.
func (x *Held) Turned(h Home) { x.turned, x.from = true, h }

// Passed says whether it was let go and has not landed.
func (x *Held) Passed() bool { return x.flying }

// Fresh makes it ready for another transaction.
func (x *Held) Fresh() { x.order, x.turned = 0, false }

// Tenant is a database that has sessions here, with what is held of it.
type Tenant struct {
	Database string
	Refused  uint64 // transactions, for a reason of the tenant's
	Passed   uint64 // held and let go

	sessions int
	queue    list.List // in the order of coming
	closed   list.List // turned away, until the rules say something else
	flying   int       // let go, and not at a host yet
	bytes    int
}

// Held is how many of its transactions wait.
func (t *Tenant) Held() int { return t.queue.Len() + t.closed.Len() }

// Going is how many were let go and are not at a host yet.
func (t *Tenant) Going() int { return t.flying }

// Sessions is how many sessions it has.
func (t *Tenant) Sessions() int { return t.sessions }

// Tenants are the databases that have sessions here. There is one for each database of a session, and none else.
type Tenants struct {
	of    map[string]*Tenant
	dues  dues
	bytes int
	last  uint64
}

// NewTenants returns none.
func NewTenants() *Tenants { return &Tenants{of: map[string]*Tenant{}} }

// Come takes a session of a database in.
func (ts *Tenants) Come(database string) *Tenant {
	t := ts.of[database]
	if t == nil {
		t = &Tenant{Database: database}
		ts.of[database] = t
	}
	t.sessions++
	return t
}

// Gone says that a session of it is gone.
func (ts *Tenants) Gone(t *Tenant) {
	if t.sessions--; t.sessions == 0 {
		delete(ts.of, t.Database)
	}
}

// All are they, in no order.
func (ts *Tenants) All() (out []*Tenant) {
	for _, t := range ts.of {
		out = append(out, t)
	}
	return out
}

// Held is how many transactions of all wait.
func (ts *Tenants) Held() int { return len(ts.dues) }

// Decide says what becomes of a transaction of a tenant under what the rules say now: it goes on, it is held, or it is
// refused for err. One that was held keeps its place before all that came after it.
func (ts *Tenants) Decide(now float64, t *Tenant, h Home, x *Held, b HoldBounds) (held bool, err *TenantError) {
	away := x.turned && x.from.Same(h)
	switch {
	case h.Paused: // a home that changes is fenced while it is paused: that is no reason to refuse
	case h.Fenced:
		return false, t.refuse(WhyFenced)
	case away: // the rules have not said it yet
	case t.queue.Len() == 0 || x.flying: // who was let go does not wait for those behind
		return false, nil
	}
	x.why, x.until = WhyPaused, x.Deadline
	if h.Paused {
		x.until = min(x.until, h.Since+b.Longest)
	} else if away {
		x.why = WhyClosed
	}
	switch {
	case now >= x.until:
		return false, t.refuse(x.why)
	case t.Held() >= b.Most || len(ts.dues) >= b.All:
		return false, t.refuse(WhyMany)
	case t.bytes+x.Bytes > b.Bytes || ts.bytes+x.Bytes > b.AllBytes:
		return false, t.refuse(WhyBytes)
	}
	ts.Land(t, x)
	x.turned = x.turned && !h.Paused // the rules have said something since
	x.tenant = t
	t.bytes += x.Bytes
	ts.bytes += x.Bytes
	if away && !h.Paused {
		ts.place(x, &t.closed)
	} else {
		ts.place(x, &t.queue)
	}
	heap.Push(&ts.dues, x)
	return true, nil
}

func (t *Tenant) refuse(why Why) *TenantError {
	t.Refused++
	return &TenantError{t.Database, why}
}

// place puts it behind all that came before it.
func (ts *Tenants) place(x *Held, l *list.List) {
	x.in = l
	if x.order == 0 {
		ts.last++
		x.order = ts.last
		x.place = l.PushBack(x)
		return
	}
	for e := l.Front(); e != nil; e = e.Next() { // it is among those that came first
		if e.Value.(*Held).order > x.order {
			x.place = l.InsertBefore(x, e)
			return
		}
	}
	x.place = l.PushBack(x)
}

// Grow notes that a transaction that is held sent more. false: what waits takes more than it may, and no more of it
// should be read.
func (ts *Tenants) Grow(x *Held, bytes int, b HoldBounds) bool {
	if !x.Waiting() {
		return true
	}
	more := bytes - x.Bytes
	x.Bytes = bytes
	x.tenant.bytes += more
	ts.bytes += more
	return x.tenant.bytes <= b.Bytes && ts.bytes <= b.AllBytes
}

// Leave takes a transaction out, wherever it is: its client is gone, or it was refused.
func (ts *Tenants) Leave(t *Tenant, x *Held) {
	ts.Land(t, x)
	ts.take(x)
}

func (ts *Tenants) take(x *Held) {
	if !x.Waiting() {
		return
	}
	x.in.Remove(x.place)
	x.in, x.place = nil, nil
	x.tenant.bytes -= x.Bytes
	ts.bytes -= x.Bytes
	heap.Remove(&ts.dues, x.at)
}

// Next takes the transaction of a tenant that is to go on now and be decided anew; nil: none is. As many as its window
// says are on their way at once, so that a host that has not served this database yet is not met by all of them.
func (ts *Tenants) Next(t *Tenant, h Home) *Held {
	for e := t.closed.Front(); e != nil; {
		x, next := e.Value.(*Held), e.Next()
		if h.Paused || !x.from.Same(h) {
			x.in.Remove(x.place)
			x.turned = false
			ts.place(x, &t.queue)
		}
		e = next
	}
	e := t.queue.Front()
	if e == nil || h.Paused {
		return nil
	}
	x := e.Value.(*Held)
	if !h.Fenced && t.flying >= max(1, x.Window) {
		return nil
	}
	ts.take(x)
	x.flying = true
	t.flying++
	t.Passed++
	return x
}

// Land says that a transaction that was let go is at its host, or over. more: others wait behind it.
func (ts *Tenants) Land(t *Tenant, x *Held) (more bool) {
	if !x.flying {
		return false
	}
	x.flying = false
	t.flying--
	return t.queue.Len() > 0
}

// Late takes out a transaction whose time is over, with why; nil: there is none.
func (ts *Tenants) Late(now float64) (*Held, *TenantError) {
	if len(ts.dues) == 0 || ts.dues[0].until > now {
		return nil, nil
	}
	x := ts.dues[0]
	ts.take(x)
	return x, x.tenant.refuse(x.why)
}

// Due is when the next one's time is over; ok is false where nothing is held.
func (ts *Tenants) Due() (at float64, ok bool) {
	if len(ts.dues) == 0 {
		return 0, false
	}
	return ts.dues[0].until, true
}

// dues are all that are held, the one whose time is over first at the front.
type dues []*Held

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].until < d[j].until }
func (d dues) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].at, d[j].at = i, j
}

func (d *dues) Push(x any) {
	x.(*Held).at = len(*d)
	*d = append(*d, x.(*Held))
}

func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return x
}
