// Package edge is the core of the pooler. It takes a request from any front, asks dispatch for its next
// attempt or final answer, and exchanges each attempt with a host over a Backend. It knows no wire protocol
// and imports no network package.
//
// A request runs on the goroutine that calls Edge.Do, which returns exactly one final answer. Just before an
// attempt is written to a host, a Gate checks that the time for an answer has not run out, that the client is
// still connected, and that dispatch still permits the host.
package edge

import (
	"context"
	"sync"
	"sync/atomic"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/panics"
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
	cutAt      atomicMillis  // when the phase became lifecycle.Terminating; 0: it has not

	mu             sync.Mutex // guards the fields below
	limits         Limits
	statementBytes int // total length of the open requests' statements
	openRequests   int
	openIDs        map[string]struct{}
	draining       bool
	drained        chan struct{} // closed when draining and no request is open
}

// Limits bound the open requests of all fronts together.
type Limits struct {
	StatementBytes   int     // total length of their statements; 0: no bound
	RetryAfterMillis float64 // how long a client rejected for lack of memory is advised to wait; 0: no advice
}

// New returns a core that asks dispatcher for decisions and sends over backend.
func New(dispatcher *dispatch.Dispatcher, c clock.Clock, backend Backend) *Edge {
	return &Edge{
		dispatcher: dispatcher, clock: c, backend: backend, metrics: metrics.New(), requestLog: newRequestLog(),
		openIDs: map[string]struct{}{}, drained: make(chan struct{}),
	}
}

// SetMetrics sets the metrics registry. It must be called before the first request.
func (e *Edge) SetMetrics(m *metrics.Metrics) { e.metrics = m }

// Metrics returns the metrics registry, which the fronts use too.
func (e *Edge) Metrics() *metrics.Metrics { return e.metrics }

// Phase returns the phase that the process is in. The first complete endpoint list ends the phase Starting.
func (e *Edge) Phase() lifecycle.Phase {
	phase := lifecycle.Phase(e.phase.Load())
	if phase == lifecycle.Starting && e.dispatcher.Ready() {
		return e.Advance(lifecycle.EndpointListReceived)
	}
	return phase
}

// Advance applies an event of the process's lifecycle and returns the phase after it.
func (e *Edge) Advance(event lifecycle.PhaseEvent) lifecycle.Phase {
	for {
		from := lifecycle.Phase(e.phase.Load())
		to := from.Next(event)
		if to == from {
			return to
		}
		if to == lifecycle.Terminating {
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

// Ready reports whether requests can be accepted: a complete endpoint list has been received.
func (e *Edge) Ready() bool { return e.dispatcher.Ready() }

// Now returns the current time of the clock by which requests are timed, in Unix milliseconds.
func (e *Edge) Now() float64 { return e.clock.Now() }

// IsWrite reports whether the requests of a class are writes.
func (e *Edge) IsWrite(class string) bool { return e.dispatcher.IsWrite(class) }

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

// Begin counts a request as open once it has been read, until End is called after its answer was sent. If the
// limits leave no memory for its statement, Begin returns a rejection as the final answer, and End must not
// be called.
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

// End counts a request that was passed to Begin as answered.
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

// registerID marks a request's id as in use and reports whether it was free. Two open requests must not share
// an id, even if different clients sent them: a host would take the two for one request.
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

// invalidResult logs an invalid request and returns the final answer to it.
func (e *Edge) invalidResult(s *sqlcomment.Statement, detail string) Result {
	e.logInvalid(s, detail)
	return Result{Verdict: Invalid, Detail: detail}
}

// PanickedResult is the final answer to a request that a panic ended.
var PanickedResult = Result{Verdict: Failed, Detail: "internal error; the request may have run"}

// Do runs a request, which arrived at the given time, until it has its final answer. ctx ends when the client
// disconnects. A panic on the way ends the request alone, and it may have run.
func (e *Edge) Do(ctx context.Context, s *sqlcomment.Statement, arrived float64) (result Result) {
	defer func() {
		if value := recover(); value != nil {
			panics.Check(value)
			e.metrics.PanicRecovered("edge.Do", value)
			result = PanickedResult
		}
	}()
	if !e.registerID(s.ID) {
		return e.invalidResult(s, "id "+s.ID+" is that of a request that is open")
	}
	defer e.releaseID(s.ID)
	call, err := e.dispatcher.Begin(dispatch.Request{
		Class: s.Class, Group: s.Group, Session: s.SessionKey, IsRetry: s.IsRetry,
		Arrived: arrived, TimeRemaining: s.TimeoutMillis, MinPosition: s.MinPosition,
	})
	if err != nil {
		return e.invalidResult(s, "class "+s.Class+": "+err.Error())
	}
	hasEnded := false
	defer func() {
		if !hasEnded { // by a panic: nothing else would give back the attempt in flight
			call.Finish(dispatch.Outcome{Code: dispatch.ServerError, Execution: dispatch.MayHaveRun})
		}
	}()
	defer context.AfterFunc(ctx, call.Abandon)()
	s.IsWrite = e.dispatcher.IsWrite(s.Class)
	result = e.attemptUntilFinal(ctx, call, s, arrived+s.TimeoutMillis)
	hasEnded = true
	return result
}
