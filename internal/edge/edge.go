// Package edge is the core of the pooler. It takes a request from any front, asks dispatch for its next attempt or final
// answer, and exchanges each attempt with a host over a Backend. It knows no wire protocol and imports no network package.
//
// A request runs on the goroutine that calls Edge.Do, which returns exactly one final answer. Nothing is written to a host
// unless a gate was passed just before: the time for an answer has not run out, the client is still connected, and dispatch
// still permits the host.
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

// Edge is the core. It is safe for concurrent use.
type Edge struct {
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	backend    Backend
	observer   Observer // nil: attempts are not observed

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
	return &Edge{dispatcher: dispatcher, clock: c, backend: backend, openIDs: map[string]struct{}{}, drained: make(chan struct{})}
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
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limits.StatementBytes > 0 && e.statementBytes+len(s.Text) > e.limits.StatementBytes {
		return &Result{
			Verdict: Rejected, RetryAfterMillis: e.limits.RetryAfterMillis,
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

// Do brings a request from its arrival to its final answer. ctx ends when the client disconnects.
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
	return e.attemptUntilFinal(ctx, call, s)
}

// attemptUntilFinal makes the attempts that dispatch chooses until one is served or dispatch ends the request.
func (e *Edge) attemptUntilFinal(ctx context.Context, call *dispatch.Call, s *sqlcomment.Statement) Result {
	failure := Result{Verdict: TimedOut, Detail: "no host answered in time"}
	for {
		decision := call.Pick()
		switch decision.Verdict {
		case dispatch.Reject:
			return Result{Verdict: Rejected, RetryAfterMillis: decision.RetryAfter, Detail: "no host can serve this now"}
		case dispatch.Fail:
			return failure
		case dispatch.ClientGone:
			return Result{Verdict: Disconnected}
		}
		reply := e.attempt(ctx, call, decision, s)
		if ctx.Err() != nil { // before the report, which would choose a further attempt for nobody
			call.Abandon()
		}
		if call.Report(reply.Outcome) == dispatch.OK {
			return Result{Verdict: Served, Answer: reply.Answer}
		}
		failure.record(&reply)
	}
}

// record notes why an attempt failed, for the final answer.
func (r *Result) record(reply *Reply) {
	r.Verdict = Failed
	if reply.Code == dispatch.NoAnswer {
		r.Verdict = TimedOut
	}
	switch {
	case reply.Code == dispatch.OK: // dispatch did not accept the answer
		r.Detail = "the host's data was older than the class permits"
	case reply.Detail != "":
		r.Detail = reply.Detail
	}
}

// attempt sends a request to a host, unless its time has run out once a connection is open, and notifies the observer.
func (e *Edge) attempt(ctx context.Context, call *dispatch.Call, decision dispatch.Decision, s *sqlcomment.Statement) Reply {
	if e.observer == nil {
		return e.exchange(ctx, call, decision, s, nil)
	}
	attempt := Attempt{Statement: s, Host: decision.Host, ConcurrentAttempts: e.observer.AttemptStarted(decision.Host)}
	startedAt, written := e.clock.Now(), new(atomic.Uint64)
	reply := e.exchange(ctx, call, decision, s, written)
	attempt.FinishedAtMillis, attempt.Outcome, attempt.ResponseBytes = e.clock.Now(), reply.Outcome, len(reply.Answer.Value)
	attempt.AcquireMillis = attempt.FinishedAtMillis - startedAt
	if writtenAt := math.Float64frombits(written.Load()); writtenAt > 0 {
		attempt.AcquireMillis, attempt.ExecuteMillis = writtenAt-startedAt, attempt.FinishedAtMillis-writtenAt
	}
	e.observer.AttemptFinished(attempt)
	return reply
}

// exchange acquires a connection and exchanges the request over it. written, unless nil, becomes the bits of the time of the
// last write; it is atomic since a backend may call its gate on another goroutine.
func (e *Edge) exchange(ctx context.Context, call *dispatch.Call, decision dispatch.Decision, s *sqlcomment.Statement, written *atomic.Uint64) Reply {
	left := decision.Deadline - e.clock.Now()
	if left <= 0 || ctx.Err() != nil {
		return NotSent()
	}
	client := ctx
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(left))
	defer cancel()
	conn, err := e.backend.Acquire(ctx, decision.Host)
	if err != nil {
		return acquireFailed(ctx, err)
	}
	return conn.Exchange(ctx, s, func() (float64, bool) {
		// The age of a host's data and its draining count at the write: what held when the host was chosen may not hold
		// after a dial.
		now := e.clock.Now()
		if written != nil {
			written.Store(math.Float64bits(now))
		}
		left := decision.Deadline - now
		// The client's context ends before dispatch is notified of it, which takes a goroutine's turn.
		return left, left > 0 && client.Err() == nil && call.Revalidate()
	})
}

// acquireFailed is the reply where no connection was acquired.
func acquireFailed(ctx context.Context, err error) Reply {
	switch {
	case errors.Is(err, ErrHostRejected), errors.Is(err, ErrPoolExhausted):
		return Reply{Outcome: dispatch.Outcome{Code: dispatch.Rejected}, Detail: err.Error()}
	case errors.Is(err, ErrUnlisted):
		return NotSent()
	case ctx.Err() != nil: // the client disconnected or the attempt timed out: no evidence against the host
		return NotSent()
	default:
		return Reply{Outcome: dispatch.Outcome{Code: dispatch.NoConnection}, Detail: err.Error()}
	}
}
