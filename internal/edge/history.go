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

// attemptHistory records the attempts of one request as the network code reported them. Facts are only added:
// an answer that turns out to be unusable does not undo that the request ran. The history serves to check the
// decisions of package routing, so it contains none of them.
type attemptHistory struct {
	edge         *Edge
	statement    *sqlcomment.Statement
	startedAt    float64
	deadline     float64 // until when the client waits, in Unix milliseconds
	firstRunAt   float64 // when the first attempt that may have run was written; 0: none was, or the time is not known
	mayHaveRun   bool    // whether any attempt so far may have run
	lastCode     dispatch.Code
	attemptCount int
	unserved     []unservedAttempt
	failure      Result // the final answer if no attempt follows
}

// unservedAttempt is an attempt that got no answer, or whose answer was not sent to the client.
type unservedAttempt struct {
	host           string
	number         int
	code           dispatch.Code
	execution      dispatch.Execution
	writtenAt      float64
	position       float64 // position that the host reported
	neededPosition float64 // position that the request needed
}

// String formats the attempt for a log line.
func (u unservedAttempt) String() string {
	return fmt.Sprintf("%d at %s: %s, %s, written %.3f, position %.3f, needed %.3f", u.number, u.host, u.code, u.execution, u.writtenAt, u.position, u.neededPosition)
}

// newHistory returns the empty history of a request.
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

// add records an attempt that has ended, and counts the rules that it broke as a repeat of an earlier attempt.
func (h *attemptHistory) add(a *attempt, reply *Reply) {
	if h.attemptCount > 0 {
		h.edge.metrics.Retried(h.lastCode.String())
	}
	h.attemptCount++
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

// addUnserved records and logs an attempt that did not serve the request. code is the effective code that
// dispatch returned.
func (h *attemptHistory) addUnserved(a *attempt, reply *Reply, code dispatch.Code) {
	h.lastCode = code
	u := unservedAttempt{
		host: a.decision.Host, number: a.decision.Attempt, code: code, execution: reply.Execution,
		writtenAt: reply.WrittenAt, position: reply.Position, neededPosition: a.call.RequiredPosition(),
	}
	h.unserved = append(h.unserved, u)
	h.failure.recordFailure(reply)
	h.logAttempt(&u, reply)
}

func (h *attemptHistory) checkRepeat(a *attempt, writtenAt float64) {
	class := h.class()
	for _, rule := range lifecycle.CheckRepeat(lifecycle.Repeat{
		At: writtenAt, FirstAt: h.firstRunAt, AtMostOnce: class.Idempotency == routing.AtMostOnce,
		Deduplicated: class.Idempotency == routing.Deduplicated, WindowMillis: clock.Millis(class.DedupWindow),
	}) {
		a.recordViolation(rule)
	}
}

// mayRepeat reports whether the attempt that routing chose may be made, given the attempts before it. If not,
// routing has made a wrong decision: that is counted as a rule violation, and the caller fails the request. With
// the fault hook CarryOutInvalidDecisions, the violation is counted but the attempt is permitted all the same.
func (h *attemptHistory) mayRepeat(host string) bool {
	if !h.mayHaveRun {
		return true
	}
	class := h.class()
	decision := lifecycle.MayRepeat(lifecycle.RepeatFacts{MayHaveRun: true, AtMostOnce: class.Idempotency == routing.AtMostOnce})
	if !decision.OK() {
		h.recordViolation(lifecycle.RepeatAfterRun, &class, "next_host", host)
	}
	return decision.OK() || faulthook.Active(faulthook.CarryOutInvalidDecisions)
}

// reject returns the final answer for a request that is to be rejected. If the request may have run, and its
// class does not make a retry harmless, the rejection is wrong: that is counted as a rule violation, and the
// client is told that the request failed. With the fault hook CarryOutInvalidDecisions, the violation is counted
// but the request is rejected all the same.
func (h *attemptHistory) reject(reason metrics.RejectReason, retryAfter float64, detail string, cause routing.EndReason) Result {
	class := h.class()
	permit, decision := lifecycle.MayReject(lifecycle.RejectionFacts{
		MayHaveRun: h.mayHaveRun, RetryIsHarmless: class.PermitsRejection(true),
	})
	if !decision.OK() {
		h.recordViolation(lifecycle.RejectedAfterRun, &class, "decided", cause.String())
		if !faulthook.Active(faulthook.CarryOutInvalidDecisions) {
			return h.fail(cause)
		}
		permit = lifecycle.PermitUntried()
	}
	result := Result{Verdict: Rejected, RetryAfterMillis: retryAfter, Detail: detail, Permit: permit}
	h.edge.metrics.Rejected(reason)
	h.logFinal(&result, reason.String(), cause)
	return result
}

// fail logs and returns the final answer for a request that is to fail.
func (h *attemptHistory) fail(cause routing.EndReason) Result {
	result := h.failure
	h.logFinal(&result, result.Detail, cause)
	return result
}

// resultAtShutdown returns the final answer of a request that is still unserved when the shutdown ends it.
func (h *attemptHistory) resultAtShutdown() Result {
	if h.mayHaveRun {
		result := Result{Verdict: Failed, Detail: "the pooler restarts; the request may have run"}
		h.logFinal(&result, result.Detail, routing.EndUnstated)
		return result
	}
	return h.reject(metrics.RejectCutting, 0, "the pooler restarts", routing.EndUnstated)
}

// recordViolation counts and logs a rule that a decision broke, with the request's attempts so far.
func (h *attemptHistory) recordViolation(rule lifecycle.Rule, class *routing.Class, attributes ...any) {
	attempts := make([]string, len(h.unserved))
	for i, u := range h.unserved {
		attempts[i] = u.String()
	}
	h.edge.metrics.Violation(rule, append([]any{
		"request", h.statement.ID, "class", h.statement.Class, "effect", class.Idempotency.String(), "attempts", strings.Join(attempts, "; "),
	}, attributes...)...)
}
