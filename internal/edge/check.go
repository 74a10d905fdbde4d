package edge

import (
	"context"
	"errors"
	"log/slog"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/sqlcomment"
	"ashstand/routing"
)

// positionRounding is by how much the stamp of an answer may be below the position of its data, and the position that a read
// asks for above its own, in milliseconds.
const positionRounding = 2.0

// check counts the rules that an attempt broke, by what is known once it has ended.
func (a *attempt) check(reply *Reply) {
	if reply.WrittenAt == 0 {
		return
	}
	for _, rule := range lifecycle.CheckWritten(lifecycle.Written{
		At:             reply.WrittenAt,
		TimeoutMillis:  a.timeout.load(),
		ClientDeadline: a.deadline,
		DisconnectedAt: disconnectedAt(a.client),
		CutAt:          a.edge.cutAt.load(),
		InactiveSince:  a.edge.dispatcher.InactiveSince(a.decision.Host),
	}) {
		a.violation(rule)
	}
}

// disconnectedAt is when the front read the client's end; 0: it did not, or that is not known.
func disconnectedAt(client context.Context) float64 {
	var gone *DisconnectedError
	if errors.As(context.Cause(client), &gone) {
		return gone.AtMillis
	}
	return 0
}

func (a *attempt) violation(rule lifecycle.Rule) {
	a.edge.metrics.Violation(rule, "request", a.statement.ID, "host", a.decision.Host, "attempt", a.decision.Attempt)
}

// checkFreshness counts an answer that was served though its own stamp says that its data was too old for the class or the
// session. A primary stands at the present.
func (a *attempt) checkFreshness(reply *Reply) {
	position := reply.Answer.Position
	class, ok := a.edge.dispatcher.Class(a.statement.Class)
	if !ok || reply.Role != dispatch.Replica || position <= 0 {
		return
	}
	isStale := false
	switch class.Access {
	case routing.BoundedRead:
		oldest := reply.WrittenAt - clock.Millis(class.StalenessBound) - lifecycle.StallGraceMillis
		isStale = reply.WrittenAt > 0 && position+positionRounding < oldest
	case routing.SessionRead:
		isStale = position+positionRounding < a.statement.MinPosition
	case routing.EventualRead, routing.StrongRead, routing.Write:
	}
	if isStale {
		a.violation(lifecycle.StaleRead)
	}
}

// attemptHistory is what the attempts of one request did, for the check of its repeats.
type attemptHistory struct {
	edge       *Edge
	statement  *sqlcomment.Statement
	firstRunAt float64 // when the first attempt that may have run was written; 0: none was, or that is not known
	mayHaveRun bool
	lastCode   dispatch.Code
	count      int
}

// resultAtEnd is the final answer of a request whose last attempt failed as the process ended.
func (h *attemptHistory) resultAtEnd() Result {
	if h.mayHaveRun {
		return Result{Verdict: Failed, Detail: "the pooler restarts; the request may have run"}
	}
	h.edge.metrics.Rejected(metrics.RejectCutting)
	return Result{Verdict: Rejected, Detail: "the pooler restarts"}
}

// add takes an attempt that has ended, and counts the rules that it broke as a repeat.
func (h *attemptHistory) add(a *attempt, reply *Reply) {
	if h.count > 0 {
		h.edge.metrics.Retried(h.lastCode.String())
	}
	h.count++
	h.lastCode = reply.Code
	h.mayHaveRun = h.mayHaveRun || !reply.Code.NeverRan()
	if debugEnabled(a.client) {
		slog.DebugContext(a.client, "request: an attempt has ended", "request", h.statement.ID, "host", a.decision.Host, "attempt", a.decision.Attempt, "reason", reply.Code.String())
	}
	if reply.WrittenAt == 0 {
		return
	}
	if h.firstRunAt > 0 {
		h.checkRepeat(a, reply.WrittenAt)
	} else if !reply.Code.NeverRan() {
		h.firstRunAt = reply.WrittenAt
	}
}

func (h *attemptHistory) checkRepeat(a *attempt, writtenAt float64) {
	class, ok := h.edge.dispatcher.Class(h.statement.Class)
	if !ok {
		return
	}
	for _, rule := range lifecycle.CheckRepeat(lifecycle.Repeat{
		At: writtenAt, FirstAt: h.firstRunAt, AtMostOnce: class.Idempotency == routing.AtMostOnce,
		Deduplicated: class.Idempotency == routing.Deduplicated, WindowMillis: clock.Millis(class.DedupWindow),
	}) {
		a.violation(rule)
	}
}
