package edge

import (
	"context"
	"errors"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
	"ashstand/routing"
)

// positionRounding is the rounding error of positions in milliseconds: the position stamped on an answer may
// be lower than that of its data by this much, and the position that a read requires may be higher than the
// one it asked for.
const positionRounding = 2.0

// checkRules counts the rules that an attempt broke, as far as that is known when the attempt has ended.
func (a *attempt) checkRules(reply *Reply) {
	if reply.WrittenAt == 0 {
		return
	}
	for _, rule := range lifecycle.CheckWritten(lifecycle.Written{
		At:             reply.WrittenAt,
		TimeoutMillis:  a.hostTimeout.load(),
		ClientDeadline: a.deadline,
		DisconnectedAt: disconnectedAt(a.client),
		TerminatedAt:   a.edge.cutAt.load(),
		InactiveSince:  a.edge.dispatcher.InactiveSince(a.decision.Host),
	}) {
		a.recordViolation(rule)
	}
	if a.call.RecordWrite(reply.WrittenAt) {
		a.recordViolation(lifecycle.SlowStartOverrun)
	}
}

// disconnectedAt returns when the front read the end of the client's stream; 0 if it did not, or if the time
// is not known.
func disconnectedAt(client context.Context) float64 {
	var disconnected *DisconnectedError
	if errors.As(context.Cause(client), &disconnected) {
		return disconnected.AtMillis
	}
	return 0
}

func (a *attempt) recordViolation(rule lifecycle.Rule) {
	a.edge.metrics.Violation(rule, "request", a.statement.ID, "host", a.decision.Host, "attempt", a.decision.Attempt)
}

// checkFreshness counts a served answer whose stamped position shows that its data was too old for the class
// or the session. The data of a primary is always current.
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
		a.recordViolation(lifecycle.StaleRead)
	}
}
