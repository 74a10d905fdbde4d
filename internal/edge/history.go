package edge

import (
	"fmt"
	"strings"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/faulthook"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/sqlcomment"
	"ashstand/routing"
)

// attemptHistory is what the attempts of one request did, as the network code reported it. It only grows: that an answer turned
// out to be of no use takes nothing back. It judges what routing decides, so it rests on no decision of routing's.
type attemptHistory struct {
	edge       *Edge
	statement  *sqlcomment.Statement
	startedAt  float64
	deadline   float64 // until which the client waits
	firstRunAt float64 // when the first attempt that may have run was written; 0: none was, or that is not known
	mayHaveRun bool
	lastCode   dispatch.Code
	count      int
	unserved   []unservedAttempt
	failure    Result // the final answer, should no attempt follow
}

// unservedAttempt is an attempt whose answer, if there was one, did not go to the client.
type unservedAttempt struct {
	host           string
	number         int
	code           dispatch.Code
	execution      dispatch.Execution
	writtenAt      float64
	position       float64 // that the host reported
	neededPosition float64 // that the request needed
}

// String shows the attempt in a log line.
func (u unservedAttempt) String() string {
	return fmt.Sprintf("%d at %s: %s, %s, written %.3f, position %.3f, needed %.3f", u.number, u.host, u.code, u.execution, u.writtenAt, u.position, u.neededPosition)
}

// newHistory begins the history of a request.
func newHistory(e *Edge, s *sqlcomment.Statement, deadline float64) attemptHistory {
	return attemptHistory{
		edge: e, statement: s, startedAt: e.clock.Now(), deadline: deadline,
		failure: Result{Verdict: TimedOut, Detail: "no host answered in time"},
	}
}

// class returns the request's class.
func (h *attemptHistory) class() routing.Class {
	class, _ := h.edge.dispatcher.Class(h.statement.Class)
	return class
}

// add takes the facts of an attempt that has ended, and counts the rules that it broke as a repeat.
func (h *attemptHistory) add(a *attempt, reply *Reply) {
	if h.count > 0 {
		h.edge.metrics.Retried(h.lastCode.String())
	}
	h.count++
	h.lastCode = reply.Code
	neverRan := reply.Execution.NeverRan()
	h.mayHaveRun = h.mayHaveRun || !neverRan
	if reply.WrittenAt == 0 {
		return
	}
	if h.firstRunAt > 0 {
		h.checkRepeat(a, reply.WrittenAt)
	} else if !neverRan {
		h.firstRunAt = reply.WrittenAt
	}
}

// addUnserved notes an attempt whose answer is not the request's. code is what dispatch made of it.
func (h *attemptHistory) addUnserved(a *attempt, reply *Reply, code dispatch.Code) {
	h.lastCode = code
	u := unservedAttempt{
		host: a.decision.Host, number: a.decision.Attempt, code: code, execution: reply.Execution,
		writtenAt: reply.WrittenAt, position: reply.Position, neededPosition: a.call.RequiredPosition(),
	}
	h.unserved = append(h.unserved, u)
	h.failure.record(reply)
	h.logAttempt(&u, reply)
}

func (h *attemptHistory) checkRepeat(a *attempt, writtenAt float64) {
	class := h.class()
	for _, rule := range lifecycle.CheckRepeat(lifecycle.Repeat{
		At: writtenAt, FirstAt: h.firstRunAt, AtMostOnce: class.Idempotency == routing.AtMostOnce,
		Deduplicated: class.Idempotency == routing.Deduplicated, WindowMillis: clock.Millis(class.DedupWindow),
	}) {
		a.violation(rule)
	}
}

// mayRepeat reports whether the attempt that was decided may be made. One that must not be is a fault of the decision, which is
// counted; the request fails instead.
func (h *attemptHistory) mayRepeat(host string) bool {
	if !h.mayHaveRun {
		return true
	}
	class := h.class()
	may := lifecycle.MayRepeat(lifecycle.RepeatFacts{MayHaveRun: true, AtMostOnce: class.Idempotency == routing.AtMostOnce})
	if !may.OK() {
		h.violation(lifecycle.RepeatAfterRun, &class, "next_host", host)
	}
	return may.OK() || faulthook.Active(faulthook.CarryOut)
}

// reject is the final answer for a rejection that was decided. Where the request may have run the decision is wrong: that is
// counted, and the client is told that the request failed.
func (h *attemptHistory) reject(reason metrics.RejectReason, retryAfter float64, detail string, cause routing.EndReason) Result {
	class := h.class()
	permit, may := lifecycle.MayReject(lifecycle.RejectionFacts{
		MayHaveRun: h.mayHaveRun, RetryIsHarmless: class.PermitsRejection(true),
	})
	if !may.OK() {
		h.violation(lifecycle.RejectedAfterRun, &class, "decided", cause.String())
		if !faulthook.Active(faulthook.CarryOut) {
			return h.fail(cause)
		}
		permit = lifecycle.PermitUntried()
	}
	result := Result{Verdict: Rejected, RetryAfterMillis: retryAfter, Detail: detail, Permit: permit}
	h.edge.metrics.Rejected(reason)
	h.logFinal(&result, reason.String(), cause)
	return result
}

// fail is the final answer for a failure that was decided.
func (h *attemptHistory) fail(cause routing.EndReason) Result {
	result := h.failure
	h.logFinal(&result, result.Detail, cause)
	return result
}

// resultAtEnd is the final answer of a request whose last attempt failed as the process ended.
func (h *attemptHistory) resultAtEnd() Result {
	if h.mayHaveRun {
		result := Result{Verdict: Failed, Detail: "the pooler restarts; the request may have run"}
		h.logFinal(&result, result.Detail, routing.EndUnstated)
		return result
	}
	return h.reject(metrics.RejectCutting, 0, "the pooler restarts", routing.EndUnstated)
}

// violation counts a rule that a decision broke, with all that is known of the request.
func (h *attemptHistory) violation(rule lifecycle.Rule, class *routing.Class, more ...any) {
	attempts := make([]string, len(h.unserved))
	for i, u := range h.unserved {
		attempts[i] = u.String()
	}
	h.edge.metrics.Violation(rule, append([]any{
		"request", h.statement.ID, "class", h.statement.Class, "effect", class.Idempotency.String(), "attempts", strings.Join(attempts, "; "),
	}, more...)...)
}
