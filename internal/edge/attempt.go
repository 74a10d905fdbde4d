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

// DisconnectedError is the cause with which a front cancels the context of a client that has disconnected.
type DisconnectedError struct {
	AtMillis float64 // when the front read the end of the client's stream
}

// Error implements error.
func (e *DisconnectedError) Error() string { return "the client has disconnected" }

// ErrProcessEnding is the cause with which a front cancels the context of a request that is still open at the
// end of a shutdown. Its client is still connected and must get an answer.
var ErrProcessEnding = errors.New("the process is shutting down")

// atomicMillis is a number of milliseconds that goroutines share; its zero value is 0.
type atomicMillis struct{ bits atomic.Uint64 }

func (a *atomicMillis) store(ms float64) { a.bits.Store(math.Float64bits(ms)) }
func (a *atomicMillis) load() float64    { return math.Float64frombits(a.bits.Load()) }

// attempt is one attempt of a request in progress. Its gate may be called on another goroutine.
type attempt struct {
	edge         *Edge
	call         *dispatch.Call
	decision     dispatch.Decision
	statement    *sqlcomment.Statement
	client       context.Context // ends when the client disconnects
	deadline     float64         // until when the client waits, in Unix milliseconds
	gateOpenedAt atomicMillis    // when the gate last permitted the write; 0: it never did
	hostTimeout  atomicMillis    // timeout that the host was given then
}

// gate is the attempt's Gate. It checks the host again just before the write: a host that was eligible when
// it was chosen may have started to drain, or its data may have become too old, during a dial. It also checks
// the client's context, because dispatch is notified of a disconnect only after another goroutine has been
// scheduled.
func (a *attempt) gate() (wait float64, ok bool) {
	now := a.edge.clock.Now()
	decision := lifecycle.MaySend(lifecycle.SendFacts{
		Phase: a.edge.Phase(), ClientDisconnected: a.client.Err() != nil, Now: now, Deadline: a.decision.Deadline, Eligible: a.call.Revalidate(),
	})
	wait = a.decision.Deadline - now
	if decision.OK() {
		a.gateOpenedAt.store(now)
		a.hostTimeout.store(wait)
	} else if debugEnabled(a.client) {
		slog.DebugContext(a.client, "request: an attempt was not sent", "request", a.statement.ID, "host", a.decision.Host, "attempt", a.decision.Attempt, "reason", decision.Reason.String())
	}
	return wait, decision.OK()
}

func debugEnabled(ctx context.Context) bool { return slog.Default().Enabled(ctx, slog.LevelDebug) }

// attemptUntilFinal makes the attempts that dispatch chooses until one is served or dispatch ends the
// request. The client waits until deadline, in Unix milliseconds.
func (e *Edge) attemptUntilFinal(ctx context.Context, call *dispatch.Call, s *sqlcomment.Statement, deadline float64) Result {
	history := newHistory(e, s, deadline)
	for {
		decision := call.Pick()
		switch decision.Verdict {
		case dispatch.Reject:
			return history.reject(metrics.RejectNoHost, decision.RetryAfter, "no host can serve this now", decision.Reason)
		case dispatch.Fail:
			return history.fail(decision.Reason)
		case dispatch.ClientDisconnected:
			if errors.Is(context.Cause(ctx), ErrProcessEnding) {
				return history.resultAtShutdown()
			}
			return Result{Verdict: Disconnected}
		case dispatch.Send:
		}
		if !history.mayRepeat(decision.Host) {
			call.Finish(dispatch.NotBegunOutcome(dispatch.NotSent))
			return history.fail(decision.Reason)
		}
		a := &attempt{edge: e, call: call, decision: decision, statement: s, client: ctx, deadline: deadline}
		reply := a.run(ctx)
		a.checkRules(&reply)
		history.add(a, &reply)
		retry := lifecycle.MayRetry(lifecycle.RetryFacts{Phase: e.Phase(), ClientDisconnected: ctx.Err() != nil})
		if !retry.OK() { // before Report, which would otherwise let the router choose an attempt that is never made
			call.Abandon()
		}
		code := call.Report(reply.Outcome)
		if code == dispatch.OK {
			a.checkFreshness(&reply)
			return Result{Verdict: Served, Answer: reply.Answer}
		}
		history.addUnserved(a, &reply, code)
		if retry.Reason == lifecycle.ProcessTerminating {
			return history.resultAtShutdown()
		}
	}
}

// recordFailure records why an attempt failed, for the final answer.
func (r *Result) recordFailure(reply *Reply) {
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

// run exchanges the request with the host, and notifies the observer before and after.
func (a *attempt) run(ctx context.Context) Reply {
	e := a.edge
	if e.observer == nil {
		return a.exchange(ctx)
	}
	observed := Attempt{Statement: a.statement, Host: a.decision.Host, ConcurrentAttempts: e.observer.AttemptStarted(a.decision.Host)}
	startedAt := e.clock.Now()
	reply := Reply{Outcome: dispatch.Outcome{Code: dispatch.ServerError, Execution: dispatch.MayHaveRun}} // unless exchange returns
	defer func() { a.notifyFinished(observed, startedAt, &reply) }()
	reply = a.exchange(ctx)
	return reply
}

// notifyFinished notifies the observer of the attempt's end.
func (a *attempt) notifyFinished(observed Attempt, startedAt float64, reply *Reply) {
	e := a.edge
	observed.FinishedAtMillis, observed.Outcome, observed.ResponseBytes = e.clock.Now(), reply.Outcome, len(reply.Answer.Value)
	observed.AcquireMillis = observed.FinishedAtMillis - startedAt
	if writeAllowedAt := a.gateOpenedAt.load(); writeAllowedAt > 0 {
		observed.AcquireMillis, observed.ExecuteMillis = writeAllowedAt-startedAt, observed.FinishedAtMillis-writeAllowedAt
	}
	e.observer.AttemptFinished(observed)
}

// exchange acquires a connection and exchanges the request over it, unless the attempt's time is over.
func (a *attempt) exchange(ctx context.Context) Reply {
	remaining := a.decision.Deadline - a.edge.clock.Now()
	if remaining <= 0 || ctx.Err() != nil {
		return NotSentReply()
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(remaining))
	defer cancel()
	conn, err := a.edge.backend.Acquire(ctx, a.decision.Host)
	if err != nil {
		return acquireFailureReply(ctx, err)
	}
	return conn.Exchange(ctx, a.statement, a.gate)
}

// acquireFailureReply returns the reply of an attempt that got no connection, so that no byte of the request
// was written.
func acquireFailureReply(ctx context.Context, err error) Reply {
	switch {
	case errors.Is(err, ErrHostRejected), errors.Is(err, ErrPoolExhausted):
		return NotBegunReply(dispatch.Rejected, err.Error())
	case errors.Is(err, ErrUnlisted):
		return NotSentReply()
	case ctx.Err() != nil: // the client disconnected or the attempt timed out, which is no evidence against the host
		return NotSentReply()
	default:
		return NotBegunReply(dispatch.NoConnection, err.Error())
	}
}
