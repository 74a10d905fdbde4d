package pg

import (
	"context"
	"errors"

	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/sqlcomment"
)

// Exchange is described at edge.Conn.
func (c *conn) Exchange(ctx context.Context, s *sqlcomment.Statement, gate edge.Gate) edge.Reply {
	reply, writtenAt := c.exchange(ctx, s, gate)
	reply.WrittenAt = writtenAt
	return reply
}

// exchange is Exchange. writtenAt is when the last byte of the request was handed to the kernel; 0: it was not, or is not known.
func (c *conn) exchange(ctx context.Context, s *sqlcomment.Statement, gate edge.Gate) (reply edge.Reply, writtenAt float64) {
	begun, sent, write := c.pool.clock.Now(), 0.0, s.IsWrite
	result, written := c.roundTrip(ctx, func() []byte {
		wait, ok := gate()
		if !ok {
			return nil
		}
		sent = c.pool.clock.Now()
		return appendQuery(make([]byte, 0, len(s.Text)+16), func(b []byte) []byte { return s.AppendWithTimeout(b, wait) })
	}, func(r *response) {
		if late := c.pool.onLateAnswer; late != nil && outcome(r) != dispatch.Malformed {
			late(c.name, sent, write, c.pool.outcomeOf(r))
		}
	})
	if errors.Is(result.err, errGateClosed) {
		c.release()
		return edge.NotSent(), 0
	}
	c.mu.Lock()
	writtenAt = c.writtenAt
	c.mu.Unlock()
	if c.reused && written {
		isReset := result.err != nil && !errors.Is(result.err, errMalformed) && ctx.Err() == nil
		c.pool.mu.Lock()
		c.pool.staleness.record(begun, begun-c.idleSince, isReset)
		c.pool.mu.Unlock()
	}
	if result.err != nil {
		code := c.failureCode(result.err, written)
		return edge.Reply{Outcome: dispatch.Outcome{Code: code}, Detail: result.err.Error()}, writtenAt
	}
	r := &result.response
	if outcome(r) == dispatch.Malformed { // it teaches nothing, its position least of all
		c.close()
		return edge.Reply{Outcome: dispatch.Outcome{Code: dispatch.Malformed}, Detail: errUnexpectedMessage.Error()}, writtenAt
	}
	reply = edge.Reply{Outcome: c.pool.outcomeOf(r), Answer: r.answer}
	if reply.Code != dispatch.OK {
		reply.Detail = r.sqlState + " " + r.errorText
	}
	c.release()
	return reply, writtenAt
}

// failureCode is what an exchange that brought no answer says of its host. written: the host may have got all of the request.
func (c *conn) failureCode(err error, written bool) dispatch.Code {
	switch {
	case !written && c.reused: // it was closed while it lay in the pool, which says nothing against the host
		return dispatch.NotSent
	case !written:
		return dispatch.NoConnection
	case errors.Is(err, errMalformed):
		return dispatch.Malformed
	case errors.Is(err, context.DeadlineExceeded):
		return dispatch.NoAnswer
	case errors.Is(err, context.Canceled):
		return dispatch.Cancelled
	}
	return dispatch.ConnectionLost
}

// outcomeOf is what a response says.
func (p *Pool) outcomeOf(r *response) dispatch.Outcome {
	return dispatch.Outcome{
		Code: outcome(r), Role: p.role(r.answer.Role), Position: r.answer.Position,
		Report: edge.ParseLoadReport(r.answer.LoadReport),
	}
}

func outcome(r *response) dispatch.Code {
	switch {
	case r.sqlState == sqlStateReadOnlyTransaction || r.sqlState == sqlStateReplicaBehind:
		return dispatch.Misdirected
	case r.sqlState == sqlStateTooManyConnections:
		return dispatch.Rejected
	case r.sqlState != "":
		return dispatch.ServerError
	case !r.completed || r.rows != 1:
		return dispatch.Malformed
	}
	return dispatch.OK
}

func (p *Pool) role(value string) dispatch.Role {
	switch value {
	case p.names.Primary:
		return dispatch.Primary
	case p.names.Replica:
		return dispatch.Replica
	}
	return dispatch.Unknown
}

// Probe asks a host for its load report and gives what came of it. listed is asked again before the write:
// nothing goes to a host that drains or was removed.
func (p *Pool) Probe(ctx context.Context, name string, listed func(name string) bool) dispatch.Outcome {
	if !listed(name) {
		return dispatch.Outcome{Code: dispatch.NotSent}
	}
	c, err := p.acquire(ctx, name)
	if errors.Is(err, edge.ErrPoolExhausted) {
		return dispatch.Outcome{Code: dispatch.NotSent}
	} else if err != nil {
		return dispatch.Outcome{Code: dispatch.NoConnection}
	}
	e, _ := c.roundTrip(ctx, func() []byte {
		if !listed(name) {
			return nil
		}
		return appendQuery(nil, func(b []byte) []byte { return append(append(b, "SHOW "...), p.names.Gauges...) })
	}, nil)
	if errors.Is(e.err, errGateClosed) {
		c.release()
		return dispatch.Outcome{Code: dispatch.NotSent}
	}
	if e.err != nil {
		return dispatch.Outcome{Code: dispatch.NoAnswer}
	}
	code := outcome(&e.response)
	if code == dispatch.Malformed {
		c.close()
		return dispatch.Outcome{Code: code}
	}
	c.release()
	if code != dispatch.OK {
		p.probeRejectionLog.Printf("probe of %s: %s %s", name, e.response.sqlState, e.response.errorText)
		return dispatch.Outcome{Code: code}
	}
	return dispatch.Outcome{Code: dispatch.OK, Report: edge.ParseLoadReport(string(e.response.answer.Value))}
}
