// Package edge is the core of the pooler. It takes a request from any front, asks dispatch for its next attempt or final
// answer, and exchanges each attempt with a host over a Backend. It knows no wire protocol and imports no network package.
//
// A request runs on the goroutine that calls Edge.Do, which returns exactly one final answer. Nothing is written to a host
// unless a gate was passed just before: the time for an answer has not run out, the client is still connected, and dispatch
// still permits the host.
package edge

import (
	"context"
	"sync"
	"sync/atomic"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/sqlcomment"
)

// Edge is the core. It is safe for concurrent use.
type Edge struct {
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	backend    Backend
	observer   Observer // nil: attempts are not observed
	metrics    *metrics.Metrics
	requestLog *requestLog
	phase      atomic.Uint32 // lifecycle.Phase
	cutAt      atomicMillis  // when the phase became lifecycle.Cutting; 0: it did not

	mu             sync.Mutex // guards what follows
	limits         Limits
	statementBytes int // total length of the open requests' statements
	openRequests   int
	openIDs        map[string]struct{}
	draining       bool
	drained        chan struct{} // closed when draining and no request is open
}

// Limits bound what all fronts together may have open.
type Limits struct {
	StatementBytes   int     // total length of statements; 0: no bound
	RetryAfterMillis float64 // advice for a client that is rejected because of it; 0: none
}

// New returns a core that asks dispatcher for decisions and sends over backend.
func New(dispatcher *dispatch.Dispatcher, c clock.Clock, backend Backend) *Edge {
	return &Edge{
		dispatcher: dispatcher, clock: c, backend: backend, metrics: metrics.New(), requestLog: newRequestLog(),
		openIDs: map[string]struct{}{}, drained: make(chan struct{}),
	}
}

// SetMetrics sets the registry that counts what happens to requests. It must be called before the first request.
func (e *Edge) SetMetrics(m *metrics.Metrics) { e.metrics = m }

// Metrics returns the registry, in which fronts count what they do.
func (e *Edge) Metrics() *metrics.Metrics { return e.metrics }

// Phase returns what the process does with requests now.
func (e *Edge) Phase() lifecycle.Phase {
	phase := lifecycle.Phase(e.phase.Load())
	if phase == lifecycle.Starting && e.dispatcher.Ready() {
		return e.Advance(lifecycle.ListReceived)
	}
	return phase
}

// Advance takes an event of the process's life, and returns the phase behind it.
func (e *Edge) Advance(event lifecycle.PhaseEvent) lifecycle.Phase {
	for {
		from := lifecycle.Phase(e.phase.Load())
		to := from.Next(event)
		if to == from {
			return to
		}
		if to == lifecycle.Cutting {
			e.cutAt.store(e.clock.Now())
		}
		if e.phase.CompareAndSwap(uint32(from), uint32(to)) {
			e.metrics.Transition(from, to)
			return to
		}
	}
}

// OpenRequests returns how many requests have begun and have no answer yet.
func (e *Edge) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openRequests
}

// SetLimits sets the limits for requests that begin from now on.
func (e *Edge) SetLimits(limits Limits) {
	e.mu.Lock()
	e.limits = limits
	e.mu.Unlock()
}

// Observe sets the observer of attempts. It must be called before the first request.
func (e *Edge) Observe(o Observer) { e.observer = o }

// Ready reports whether requests can be taken: there is a list of hosts.
func (e *Edge) Ready() bool { return e.dispatcher.Ready() }

// Now returns the time by which requests are dated, in Unix milliseconds.
func (e *Edge) Now() float64 { return e.clock.Now() }

// Writes reports whether a class is one of writes.
func (e *Edge) Writes(class string) bool { return e.dispatcher.IsWrite(class) }

// Drain returns a channel that is closed once no request is open. Requests that come later are still served.
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

// Begin counts a request as open, from the moment at which it was read until End is called because its answer is out. If the
// limits leave no memory for its statement, Begin returns the final answer instead, and End must not be called.
func (e *Edge) Begin(s *sqlcomment.Statement) (rejected *Result) {
	if !e.Ready() {
		e.metrics.Violation(lifecycle.StartedUnready, "request", s.ID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limits.StatementBytes > 0 && e.statementBytes+len(s.Text) > e.limits.StatementBytes {
		e.RecordRejection(metrics.RejectStatementMemory, "request", s.ID, "class", s.Class)
		return &Result{
			Verdict: Rejected, RetryAfterMillis: e.limits.RetryAfterMillis, Permit: lifecycle.PermitUntried(),
			Detail: "the statements under way leave no memory for one more",
		}
	}
	e.openRequests++
	e.statementBytes += len(s.Text)
	return nil
}

// End counts a request that was begun as answered.
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

// registerID records a request's id as open and reports whether it was not open before. An open id belongs to another
// request, whoever sent it: a host would take the two for one.
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

// invalid is the final answer to a request that makes no sense.
func (e *Edge) invalid(s *sqlcomment.Statement, detail string) Result {
	e.logInvalid(s, detail)
	return Result{Verdict: Invalid, Detail: detail}
}

// Do brings a request from its arrival to its final answer. ctx ends when the client disconnects.
func (e *Edge) Do(ctx context.Context, s *sqlcomment.Statement, arrived float64) Result {
	if !e.registerID(s.ID) {
		return e.invalid(s, "id "+s.ID+" is that of a request that is open")
	}
	defer e.releaseID(s.ID)
	call, err := e.dispatcher.Begin(dispatch.Request{
		Class: s.Class, Group: s.Group, Session: s.SessionKey, IsRetry: s.IsRetry,
		Arrived: arrived, TimeRemaining: s.TimeoutMillis, MinPosition: s.MinPosition,
	})
	if err != nil {
		return e.invalid(s, "class "+s.Class+": "+err.Error())
	}
	defer context.AfterFunc(ctx, call.Abandon)()
	s.IsWrite = e.dispatcher.IsWrite(s.Class)
	return e.attemptUntilFinal(ctx, call, s, arrived+s.TimeoutMillis)
}
