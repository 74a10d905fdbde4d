package edge

import (
	"context"
	"errors"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
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
	if a.call.Written(reply.WrittenAt) {
		a.violation(lifecycle.SlowStartOverrun)
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
