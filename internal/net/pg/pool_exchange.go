package pg

import (
	"context"
	"errors"

	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/panics"
	"ashstand/internal/sqlcomment"
)

// Exchange implements edge.Conn. A panic here ends the process: it would leave the pool locked, or the connection counted as open.
func (c *conn) Exchange(ctx context.Context, s *sqlcomment.Statement, gate edge.Gate) edge.Reply {
	defer panics.Escalate()
	reply, writtenAt := c.exchange(ctx, s, gate)
	reply.WrittenAt = writtenAt
	return reply
}

// exchange does the work of Exchange. writtenAt is when the last byte of the request was handed to the
// kernel; 0 if it was not, or if the time is unknown.
func (c *conn) exchange(ctx context.Context, s *sqlcomment.Statement, gate edge.Gate) (reply edge.Reply, writtenAt float64) {
	startedAt, sentAt, write := c.pool.clock.Now(), 0.0, s.IsWrite
	result := c.roundTrip(ctx, func() []byte {
		wait, ok := gate()
		if !ok {
			return nil
		}
		sentAt = c.pool.clock.Now()
		return appendQuery(make([]byte, 0, len(s.Text)+16), func(b []byte) []byte { return s.AppendWithTimeout(b, wait) })
	}, func(r *response) {
		if onLateAnswer := c.pool.onLateAnswer; onLateAnswer != nil && r.code() != dispatch.Malformed {
			onLateAnswer(c.name, sentAt, write, c.pool.outcomeOf(r, write))
		}
	})
	if errors.Is(result.err, errGateClosed) {
		c.release()
		return edge.NotSentReply(), 0
	}
	c.mu.Lock()
	writtenAt = c.writtenAt
	c.mu.Unlock()
	if c.reused && !result.execution.NeverRan() {
		isReset := result.err != nil && !errors.Is(result.err, errMalformed) && ctx.Err() == nil
		c.pool.mu.Lock()
		c.pool.staleness.record(startedAt, startedAt-c.idleSince, isReset)
		c.pool.mu.Unlock()
	}
	if result.err != nil {
		code := c.failureCode(&result)
		return edge.Reply{Outcome: dispatch.Outcome{Code: code, Execution: result.execution}, Detail: result.err.Error()}, writtenAt
	}
	r := &result.response
	if r.code() == dispatch.Malformed { // nothing in the response can be trusted, least of all its position
		c.close()
		return edge.Reply{Outcome: dispatch.Outcome{Code: dispatch.Malformed, Execution: r.execution(s.IsWrite)}, Detail: errUnexpectedMessage.Error()}, writtenAt
	}
	reply = edge.Reply{Outcome: c.pool.outcomeOf(r, s.IsWrite), Answer: r.answer}
	if reply.Code != dispatch.OK {
		reply.Detail = r.sqlState + " " + r.errorText
	}
	c.release()
	return reply, writtenAt
}

// failureCode classifies an exchange that got no response.
func (c *conn) failureCode(e *exchangeResult) dispatch.Code {
	isAbandoned := errors.Is(e.err, context.DeadlineExceeded) || errors.Is(e.err, context.Canceled)
	switch {
	// The connection was closed while idle in the pool, or the attempt was abandoned; neither counts against
	// the host.
	case e.execution.NeverRan() && (c.reused || isAbandoned):
		return dispatch.NotSent
	case e.execution.NeverRan():
		return dispatch.NoConnection
	case errors.Is(e.err, errMalformed):
		return dispatch.Malformed
	case errors.Is(e.err, context.DeadlineExceeded):
		return dispatch.NoAnswer
	case errors.Is(e.err, context.Canceled):
		return dispatch.Cancelled
	}
	return dispatch.ConnectionLost
}

// outcomeOf converts a response to an outcome.
func (p *Pool) outcomeOf(r *response, isWrite bool) dispatch.Outcome {
	return dispatch.Outcome{
		Code: r.code(), Execution: r.execution(isWrite), Role: p.role(r.answer.Role), Position: r.answer.Position,
		Report: edge.ParseLoadReport(r.answer.LoadReport),
	}
}

// code classifies the response.
func (r *response) code() dispatch.Code {
	switch {
	case r.sqlState != "" && r.hasBegun(): // the statement ran, so the error is not a rejection
		return dispatch.ServerError
	case r.sqlState == sqlStateReadOnlyTransaction || r.sqlState == sqlStateReplicaBehind:
		return dispatch.Misdirected
	case r.sqlState == string(stateTooManyConnections):
		return dispatch.Rejected
	case r.sqlState != "":
		return dispatch.ServerError
	// The answer holds one value, so a successful response has one row. Its one column is checked by
	// parseRowDescription.
	case !r.completed || r.rows != 1:
		return dispatch.Malformed
	}
	return dispatch.OK
}

// hasBegun reports whether a part of a result arrived. If so, the statement ran, whatever came after that part.
func (r *response) hasBegun() bool { return r.described || r.rows > 0 || r.completed }

// execution returns what the response proves about whether the statement ran. A host rejects a write because
// it is not the primary, a read because its data is too old, and either for lack of capacity. Any other
// combination, such as a read rejected for not being on the primary, is contradictory and proves nothing.
func (r *response) execution(isWrite bool) dispatch.Execution {
	switch {
	case r.hasBegun():
		return dispatch.Ran
	case r.sqlState == string(stateTooManyConnections),
		r.sqlState == sqlStateReadOnlyTransaction && isWrite,
		r.sqlState == sqlStateReplicaBehind && !isWrite:
		return dispatch.RejectedUnexecuted
	}
	return dispatch.MayHaveRun
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

// Probe requests a load report from a host and returns the outcome. listed is checked again right before the
// write, because nothing may be sent to a host that is draining or was removed.
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
	e := c.roundTrip(ctx, func() []byte {
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
	code := e.response.code()
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
