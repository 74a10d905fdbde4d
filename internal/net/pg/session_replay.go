package pg

import (
	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// statementRecord is a copy of a transaction's first statement. It is replayed if the host rejects the
// statement because the tenant is fenced there. The event loop owns it.
type statementRecord struct {
	active     bool   // the first statement is being recorded
	unanswered bool   // nothing was sent to the client since the recording began
	messages   []byte // the recorded messages
	statements int    // recorded messages that execute a statement
	replay     []byte // messages that a host rejected; they are processed before any other input
}

const maxRetainedRecordBytes = 4 << 10 // most statements are shorter; larger buffers are not retained

// recordMessage adds a message of a transaction's first statement to the record. It discards the record if
// the statement can't be replayed: the messages hold more than one statement, prepare a named one, are of
// another kind, or exceed a limit.
func (c *sessionClient) recordMessage(kind byte, body, message []byte) {
	f := c.front
	isRecordable := true
	switch kind {
	case clientQuery, clientExecute:
		c.record.statements++
	case clientParse:
		isRecordable = len(body) > 0 && body[0] == 0
	case clientBind, clientDescribe, clientSync:
	default:
		isRecordable = false
	}
	if !isRecordable || c.record.statements > 1 || len(c.record.messages)+len(message) > maxBufferedMessageBytes || f.tenancy.recordedBytes+len(message) > f.limits.Load().MaxBytes/4 {
		c.discardRecorded()
		return
	}
	if len(c.record.messages) == 0 {
		c.record.unanswered = true
	}
	c.record.messages = append(c.record.messages, message...)
	f.tenancy.recordedBytes += len(message)
}

// discardRecorded drops the record.
func (c *sessionClient) discardRecorded() {
	c.front.tenancy.recordedBytes -= len(c.record.messages)
	if c.record.messages, c.record.statements, c.record.active = c.record.messages[:0], 0, false; cap(c.record.messages) > maxRetainedRecordBytes { // most statements are shorter
		c.record.messages = nil
	}
}

// isTenantClosedError reports whether an error is the fencing trigger's rejection of a statement that may be
// replayed: it was raised before anything was written, the statement is a transaction of its own, and the
// client has received nothing of it.
func (c *sessionClient) isTenantClosedError(state, text string) bool {
	return c.record.active && c.record.unanswered && c.routing.call != nil && state == sqlStateTenantClosed && text == tenantClosedMessage && c.pipeline.Status() == statusIdle && !c.pipeline.InBlock() &&
		c.isReplayable()
}

// isReplayable reports whether the recorded statement takes effect completely or not at all.
func (c *sessionClient) isReplayable() bool {
	for b := c.record.messages; len(b) > 0; {
		kind, body, rest, ok, err := nextMessage(b, maxBufferedMessageBytes)
		if err != nil || !ok {
			return false
		}
		switch kind {
		case clientQuery:
			s, _, ok := cutString(body)
			return ok && session.IsRetryable(s)
		case clientBind:
			_, name, _, ok := cutTwoStrings(body)
			p := c.pipeline.Find(name)
			return ok && p != nil && session.IsRetryable(p.Text)
		}
		b = rest
	}
	return false
}

// replayElsewhere returns a transaction that a host rejected to its state before a host was chosen. It is
// then routed by the present assignment, or waits until that changes. s is nil if the connection was lost.
func (c *sessionClient) replayElsewhere(s *serverConn) {
	f := c.front
	call := c.routing.call
	c.routing.call = nil
	call.Finish(dispatch.Outcome{Code: dispatch.NotSent, Execution: dispatch.RejectedUnexecuted})
	c.finishRelease()
	c.tenancy.entry.MarkRejected(c.tenancy.assignment)
	f.stats.RejectedByHost++
	f.tenancy.recordedBytes -= len(c.record.messages)
	c.record.replay, c.record.messages, c.record.active, c.record.statements = c.record.messages, nil, false, 0
	c.phase = phaseUnlinked
	if s != nil {
		c.unlinkServer(s)
		s.returnToPool()
	}
	if c.routing.cancelRequested { // the cancel request came before the host's ReadyForQuery
		c.routing.cancelRequested, c.input.pendingKind = false, c.record.replay[0]
		c.rejectCancelled()
	}
	c.resume()
}
