package edge

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"sync/atomic"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/sqlcomment"
)

// DisconnectedError is the cause with which a front ends the context of a client that has gone.
type DisconnectedError struct {
	AtMillis float64 // when the front read the client's end
}

// Error says that there is nobody to answer.
func (e *DisconnectedError) Error() string { return "the client has gone" }

// ErrProcessEnding is the cause with which a front ends the context of a request that is open when the process is about to end. Its
// client is there still, and has an answer coming.
var ErrProcessEnding = errors.New("the process is about to end")

// atomicMillis is a time in Unix milliseconds that goroutines share; its zero value is 0.
type atomicMillis struct{ bits atomic.Uint64 }

func (a *atomicMillis) store(ms float64) { a.bits.Store(math.Float64bits(ms)) }
func (a *atomicMillis) load() float64    { return math.Float64frombits(a.bits.Load()) }

// attempt is one attempt of a request while it is made. Its gate may be called on another goroutine.
type attempt struct {
	edge      *Edge
	call      *dispatch.Call
	decision  dispatch.Decision
	statement *sqlcomment.Statement
	client    context.Context // ends when the client disconnects
	deadline  float64         // until which the client waits
	openedAt  atomicMillis    // when the gate opened last; 0: it did not
	timeout   atomicMillis    // that the host was told then
}

// open is the gate: it is called just before the write. The age of a host's data and its draining count there: what held when
// the host was chosen may not hold after a dial. The client's context ends before dispatch is notified of it, which takes a
// goroutine's turn.
func (a *attempt) open() (wait float64, ok bool) {
	now := a.edge.clock.Now()
	may := lifecycle.MaySend(lifecycle.SendFacts{
		Phase: a.edge.Phase(), ClientDisconnected: a.client.Err() != nil, Now: now, Deadline: a.decision.Deadline, Eligible: a.call.Revalidate(),
	})
	wait = a.decision.Deadline - now
	if may.OK() {
		a.openedAt.store(now)
		a.timeout.store(wait)
	} else if debugEnabled(a.client) {
		slog.DebugContext(a.client, "request: an attempt was not sent", "request", a.statement.ID, "host", a.decision.Host, "attempt", a.decision.Attempt, "reason", may.Reason.String())
	}
	return wait, may.OK()
}

func debugEnabled(ctx context.Context) bool { return slog.Default().Enabled(ctx, slog.LevelDebug) }

// attemptUntilFinal makes the attempts that dispatch chooses until one is served or dispatch ends the request. deadline is until
// when the client waits.
func (e *Edge) attemptUntilFinal(ctx context.Context, call *dispatch.Call, s *sqlcomment.Statement, deadline float64) Result {
	history := newHistory(e, s, deadline)
	for {
		decision := call.Pick()
		switch decision.Verdict {
		case dispatch.Reject:
			return history.reject(metrics.RejectNoHost, decision.RetryAfter, "no host can serve this now", decision.Reason)
		case dispatch.Fail:
			return history.fail(decision.Reason)
		case dispatch.ClientGone:
			if errors.Is(context.Cause(ctx), ErrProcessEnding) {
				return history.resultAtEnd()
			}
			return Result{Verdict: Disconnected}
		case dispatch.Send:
		}
		if !history.mayRepeat(decision.Host) {
			call.Finish(dispatch.NeverBegun(dispatch.NotSent))
			return history.fail(decision.Reason)
		}
		a := &attempt{edge: e, call: call, decision: decision, statement: s, client: ctx, deadline: deadline}
		reply := a.run(ctx)
		a.check(&reply)
		history.add(a, &reply)
		may := lifecycle.MayRetry(lifecycle.RetryFacts{Phase: e.Phase(), ClientDisconnected: ctx.Err() != nil})
		if !may.OK() { // before the report, which would choose a further attempt for nobody
			call.Abandon()
		}
		code := call.Report(reply.Outcome)
		if code == dispatch.OK {
			a.checkFreshness(&reply)
			return Result{Verdict: Served, Answer: reply.Answer}
		}
		history.addUnserved(a, &reply, code)
		if may.Reason == lifecycle.ProcessCutting {
			return history.resultAtEnd()
		}
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

// run sends a request to a host, unless its time has run out once a connection is open, and notifies the observer.
func (a *attempt) run(ctx context.Context) Reply {
	e := a.edge
	if e.observer == nil {
		return a.exchange(ctx)
	}
	seen := Attempt{Statement: a.statement, Host: a.decision.Host, ConcurrentAttempts: e.observer.AttemptStarted(a.decision.Host)}
	startedAt := e.clock.Now()
	reply := a.exchange(ctx)
	seen.FinishedAtMillis, seen.Outcome, seen.ResponseBytes = e.clock.Now(), reply.Outcome, len(reply.Answer.Value)
	seen.AcquireMillis = seen.FinishedAtMillis - startedAt
	if openedAt := a.openedAt.load(); openedAt > 0 {
		seen.AcquireMillis, seen.ExecuteMillis = openedAt-startedAt, seen.FinishedAtMillis-openedAt
	}
	e.observer.AttemptFinished(seen)
	return reply
}

// exchange acquires a connection and exchanges the request over it.
func (a *attempt) exchange(ctx context.Context) Reply {
	left := a.decision.Deadline - a.edge.clock.Now()
	if left <= 0 || ctx.Err() != nil {
		return NotSent()
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(left))
	defer cancel()
	conn, err := a.edge.backend.Acquire(ctx, a.decision.Host)
	if err != nil {
		return acquireFailed(ctx, err)
	}
	return conn.Exchange(ctx, a.statement, a.open)
}

// acquireFailed is the reply where no connection was acquired, and so no byte of the request was written.
func acquireFailed(ctx context.Context, err error) Reply {
	switch {
	case errors.Is(err, ErrHostRejected), errors.Is(err, ErrPoolExhausted):
		return NotBegun(dispatch.Rejected, err.Error())
	case errors.Is(err, ErrUnlisted):
		return NotSent()
	case ctx.Err() != nil: // the client disconnected or the attempt timed out: no evidence against the host
		return NotSent()
	default:
		return NotBegun(dispatch.NoConnection, err.Error())
	}
}
