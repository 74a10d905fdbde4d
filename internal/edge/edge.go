// Package edge is the core of the pooler: it takes a request from any front, asks the decisions where it goes,
// and exchanges it over any backend. It knows no wire.
package edge

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/sqlcomment"
)

// Answer is what a host served: one value, with what the host said beside it.
type Answer struct {
	Column     string // name of the value's column
	Type       uint32 // PostgreSQL's object id of the column's type; every front knows bytea and text
	Binary     bool   // the form of Value
	Null       bool
	Value      []byte
	Tag        string  // what the command did, such as "SELECT 1"
	Role       string  // as the host words it; "": not said
	Position   float64 // Unix milliseconds; 0: not said
	LoadReport string  // load report; "": none
}

// Reply is what came of one exchange. With OK it holds an answer.
type Reply struct {
	dispatch.Outcome
	Answer Answer
	Detail string // for the client, where the request fails
}

// Backend reaches hosts over one wire.
type Backend interface {
	// Acquire returns a connection that is up, from its pool or by dialling. An error proves that nothing ran.
	Acquire(ctx context.Context, host string) (Conn, error)
	// CloseIdle closes the connections to a host on which nothing is due.
	CloseIdle(host string)
	// SetAddress tells where a host is. "" forgets it.
	SetAddress(host, address string)
	// Probe asks a host for its load report. listed is asked again just before the write: nothing new goes to a
	// host that drains or is gone.
	Probe(ctx context.Context, host string, listed func(host string) bool) dispatch.Outcome
}

// Gate is asked just before a request is written, as often as there was a wait since: how long may the host
// take, in milliseconds, and may the request go out at all?
type Gate func() (wait float64, ok bool)

// Conn is a connection that one request owns until the exchange ends.
type Conn interface {
	// Exchange writes a request once, if the gate lets it, and waits for the whole answer, or until ctx ends.
	// The connection goes back to its pool, or is closed where an answer is still due.
	Exchange(ctx context.Context, s *sqlcomment.Statement, gate Gate) Reply
}

// NotSent is the reply where the gate did not open.
func NotSent() Reply { return Reply{Outcome: dispatch.Outcome{Code: dispatch.NotSent}} }

// ErrHostRejected is what Acquire returns where the host itself turned the connection away: it is full, not dead.
var ErrHostRejected = errors.New("the host turns connections away")

// ErrPoolExhausted is what Acquire returns where this process's own bounds allow no connection more. It says nothing against
// the host, and a while has to pass before the next try, as with a host that is full.
var ErrPoolExhausted = errors.New("all connections that this pooler may hold are in use")

// ErrUnlisted is what Acquire returns where the host has begun to drain, or is gone, since it was chosen: nothing was
// sent, and another host is to be chosen.
var ErrUnlisted = errors.New("the host takes nothing new")

// Result is the one final answer to a request.
type Result struct {
	Verdict          Verdict
	Answer           Answer
	RetryAfterMillis float64 // Refused: come again after so many milliseconds; 0: no advice
	Detail           string
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The kinds.
const (
	Served       Verdict = iota
	Rejected             // nothing that matters ran: trying again is harmless
	TimedOut             // failed since no answer came in time; it may have run
	Failed               // it may have run
	Invalid              // nothing was tried: the request itself is at fault
	Disconnected         // the client has gone: nobody to answer
)

// Observer is told of every request that goes to a host, once before and once after. It must not block.
type Observer interface {
	// Sent returns how many others of this pooler are at the host.
	AttemptStarted(host string) (others int)
	AttemptFinished(Attempt)
}

// Attempt is what an observer learns of an attempt. Times are in milliseconds.
type Attempt struct {
	Statement          *sqlcomment.Statement // not to be kept
	Host               string
	ConcurrentAttempts int // at the host when it went out
	Outcome            dispatch.Outcome
	ResponseBytes      int     // of the answer's value
	AcquireMillis      float64 // for a connection, until it was written
	ExecuteMillis      float64 // from then until the answer; 0: it was not written
	FinishedAtMillis   float64
}

// Edge is the core.
type Edge struct {
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	backend    Backend
	observer   Observer // nil: nobody looks

	mu             sync.Mutex
	limits         Limits
	statementBytes int // bytes of the statements that are open
	openRequests   int
	openIDs        map[string]struct{} // of the requests that are open
	draining       bool
	drained        chan struct{} // closed when draining and nothing is open
}

// Limits bound what all fronts together may have under way.
type Limits struct {
	StatementBytes   int     // of statements; 0: no bound
	RetryAfterMillis float64 // what is refused over it may come again after so many milliseconds; 0: no advice
}

// SetLimits takes bounds for the requests to come.
func (e *Edge) SetLimits(limits Limits) {
	e.mu.Lock()
	e.limits = limits
	e.mu.Unlock()
}

// New returns a core that asks facade and sends over backend.
func New(facade *dispatch.Dispatcher, c clock.Clock, backend Backend) *Edge {
	return &Edge{dispatcher: facade, clock: c, backend: backend, openIDs: map[string]struct{}{}, drained: make(chan struct{})}
}

// Observe has o told of what goes to hosts. It is to be set before the first request.
func (e *Edge) Observe(o Observer) { e.observer = o }

// Ready says whether requests can be taken: a list of hosts is held.
func (e *Edge) Ready() bool { return e.dispatcher.Ready() }

// Now is the time that requests are dated by.
func (e *Edge) Now() float64 { return e.clock.Now() }

// Writes says whether a class is one of writes.
func (e *Edge) Writes(class string) bool { return e.dispatcher.IsWrite(class) }

// Drain returns a channel that is closed once no request is open; later ones are still served.
func (e *Edge) Drain() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.draining {
		e.draining = true
		if e.openRequests == 0 {
			close(e.drained)
		}
	}
	return e.drained
}

// Begin counts a request from the moment it is read until End says that its answer is out. Where the statements that
// are open leave no memory for it, it gives the final answer instead.
func (e *Edge) Begin(s *sqlcomment.Statement) (refused *Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limits.StatementBytes > 0 && e.statementBytes+len(s.Text) > e.limits.StatementBytes {
		return &Result{Verdict: Rejected, RetryAfterMillis: e.limits.RetryAfterMillis, Detail: "the statements under way leave no memory for one more"}
	}
	e.openRequests++
	e.statementBytes += len(s.Text)
	return nil
}

// End says that the answer of a request that was begun is out.
func (e *Edge) End(s *sqlcomment.Statement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statementBytes -= len(s.Text)
	e.openRequests--
	if e.draining && e.openRequests == 0 {
		select {
		case <-e.drained:
		default:
			close(e.drained)
		}
	}
}

// registerID notes a request's id. An id that is open belongs to another request, whoever sends it: a host would take
// the two for one.
func (e *Edge) registerID(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, open := e.openIDs[id]
	e.openIDs[id] = struct{}{}
	return !open
}

func (e *Edge) releaseID(id string) {
	e.mu.Lock()
	delete(e.openIDs, id)
	e.mu.Unlock()
}

// Do brings a request from its arrival to its final answer. ctx ends when the client goes away.
func (e *Edge) Do(ctx context.Context, s *sqlcomment.Statement, arrived float64) Result {
	if !e.registerID(s.ID) {
		return Result{Verdict: Invalid, Detail: "id " + s.ID + " is that of a request that is open"}
	}
	defer e.releaseID(s.ID)
	call, err := e.dispatcher.Begin(dispatch.Request{
		Class: s.Class, Group: s.Group, Session: s.SessionKey, IsRetry: s.IsRetry,
		Arrived: arrived, TimeRemaining: s.TimeoutMillis, MinPosition: s.MinPosition,
	})
	if err != nil {
		return Result{Verdict: Invalid, Detail: "class " + s.Class + ": " + err.Error()}
	}
	defer context.AfterFunc(ctx, call.Abandon)()
	s.IsWrite = e.dispatcher.IsWrite(s.Class)
	detail, verdict := "no host answered in time", TimedOut
	for {
		next := call.Pick()
		switch next.Verdict {
		case dispatch.Reject:
			return Result{Verdict: Rejected, RetryAfterMillis: next.RetryAfter, Detail: "no host can serve this now"}
		case dispatch.Fail:
			return Result{Verdict: verdict, Detail: detail}
		case dispatch.ClientGone:
			return Result{Verdict: Disconnected}
		}
		reply := e.attempt(ctx, call, next, s)
		if ctx.Err() != nil { // before the report, which would choose a further attempt for nobody
			call.Abandon()
		}
		counts := call.Report(reply.Outcome)
		if counts == dispatch.OK {
			return Result{Verdict: Served, Answer: reply.Answer}
		}
		verdict = Failed
		if reply.Code == dispatch.NoAnswer {
			verdict = TimedOut
		}
		if reply.Code == dispatch.OK { // whose answer does not count
			detail = "the host's data was older than the class permits"
		} else if reply.Detail != "" {
			detail = reply.Detail
		}
	}
}

// attempt sends a request to a host, unless it is too late for that once a connection is there.
func (e *Edge) attempt(ctx context.Context, call *dispatch.Call, next dispatch.Decision, s *sqlcomment.Statement) Reply {
	if e.observer == nil {
		return e.exchange(ctx, call, next, s, nil)
	}
	seen := Attempt{Statement: s, Host: next.Host, ConcurrentAttempts: e.observer.AttemptStarted(next.Host)}
	begun, at := e.clock.Now(), new(atomic.Uint64)
	reply := e.exchange(ctx, call, next, s, at)
	seen.FinishedAtMillis, seen.Outcome, seen.ResponseBytes = e.clock.Now(), reply.Outcome, len(reply.Answer.Value)
	seen.AcquireMillis = seen.FinishedAtMillis - begun
	if written := math.Float64frombits(at.Load()); written > 0 {
		seen.AcquireMillis, seen.ExecuteMillis = written-begun, seen.FinishedAtMillis-written
	}
	e.observer.AttemptFinished(seen)
	return reply
}

// exchange is an attempt; written, unless nil, becomes the bits of the time at which it was written last. A backend may ask
// its gate on another goroutine.
func (e *Edge) exchange(ctx context.Context, call *dispatch.Call, next dispatch.Decision, s *sqlcomment.Statement, written *atomic.Uint64) Reply {
	left := next.Deadline - e.clock.Now()
	if left <= 0 || ctx.Err() != nil {
		return NotSent()
	}
	client := ctx
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(left))
	defer cancel()
	conn, err := e.backend.Acquire(ctx, next.Host)
	switch {
	case err == nil:
	case errors.Is(err, ErrHostRejected), errors.Is(err, ErrPoolExhausted):
		return Reply{Outcome: dispatch.Outcome{Code: dispatch.Rejected}, Detail: err.Error()}
	case errors.Is(err, ErrUnlisted):
		return NotSent()
	case ctx.Err() != nil: // the client left or this attempt's time ran out: no evidence against the host
		return NotSent()
	default:
		return Reply{Outcome: dispatch.Outcome{Code: dispatch.NoConnection}, Detail: err.Error()}
	}
	return conn.Exchange(ctx, s, func() (float64, bool) {
		// Data age and drains count at the write: what held when the host was chosen may not hold after a dial.
		now := e.clock.Now()
		if written != nil {
			written.Store(math.Float64bits(now))
		}
		left := next.Deadline - now
		// That the client has gone stands in its context before the decisions hear of it, which takes a goroutine's turn.
		return left, left > 0 && client.Err() == nil && call.Revalidate()
	})
}

// BackendMux reaches each host over the wire that it speaks.
type BackendMux struct {
	mu       sync.Mutex
	backends map[string]Backend
}

// Route says over which backend a host is reached, and where. A host that was reached over another is forgotten
// there.
func (s *BackendMux) Route(host string, b Backend, address string) {
	s.mu.Lock()
	if s.backends == nil {
		s.backends = map[string]Backend{}
	}
	old := s.backends[host]
	s.backends[host] = b
	s.mu.Unlock()
	if old != nil && old != b {
		old.SetAddress(host, "")
	}
	b.SetAddress(host, address)
}

func (s *BackendMux) backendOf(host string) Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backends[host]
}

var errNoBackend = errors.New("discovery has given no address for this host")

// Acquire is Backend's.
func (s *BackendMux) Acquire(ctx context.Context, host string) (Conn, error) {
	if b := s.backendOf(host); b != nil {
		return b.Acquire(ctx, host)
	}
	return nil, errNoBackend
}

// CloseIdle is Backend's.
func (s *BackendMux) CloseIdle(host string) {
	if b := s.backendOf(host); b != nil {
		b.CloseIdle(host)
	}
}

// SetAddress is Backend's: it moves a host that is known, or forgets it.
func (s *BackendMux) SetAddress(host, address string) {
	if b := s.backendOf(host); b != nil {
		b.SetAddress(host, address)
	}
	if address == "" {
		s.mu.Lock()
		delete(s.backends, host)
		s.mu.Unlock()
	}
}

// Probe is Backend's.
func (s *BackendMux) Probe(ctx context.Context, host string, listed func(string) bool) dispatch.Outcome {
	if b := s.backendOf(host); b != nil {
		return b.Probe(ctx, host, listed)
	}
	return dispatch.Outcome{Code: dispatch.NoConnection}
}
