package pg

import (
	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// statementRecord is a copy of a transaction's first statement, for the case that its host rejects it since the tenant is
// closed there. The event loop owns it.
type statementRecord struct {
	active     bool   // the first statement is being recorded
	unanswered bool   // and the client was told nothing of it
	messages   []byte // what is recorded
	statements int    // that run in it
	replay     []byte // what a host rejected, to be taken before anything else
}

const maxRetainedRecordBytes = 4 << 10 // most statements are shorter: a larger buffer is not retained

// recordMessage copies a message of a transaction's first statement, for the case that the host rejects the transaction
// since the tenant is closed there.
func (c *sessionClient) recordMessage(kind byte, body, message []byte) {
	f := c.front
	ok := true
	switch kind {
	case clientQuery, clientExecute:
		c.record.statements++
	case clientParse:
		ok = len(body) > 0 && body[0] == 0
	case clientBind, clientDescribe, clientSync:
	default:
		ok = false
	}
	if !ok || c.record.statements > 1 || len(c.record.messages)+len(message) > maxBufferedMessageBytes || f.tenancy.recordedBytes+len(message) > f.limits.Load().Bytes/4 {
		c.discardRecorded()
		return
	}
	if len(c.record.messages) == 0 {
		c.record.unanswered = true
	}
	c.record.messages = append(c.record.messages, message...)
	f.tenancy.recordedBytes += len(message)
}

// discardRecorded drops the copy.
func (c *sessionClient) discardRecorded() {
	c.front.tenancy.recordedBytes -= len(c.record.messages)
	if c.record.messages, c.record.statements, c.record.active = c.record.messages[:0], 0, false; cap(c.record.messages) > maxRetainedRecordBytes { // most statements are shorter
		c.record.messages = nil
	}
}

// isTenantClosedError reports whether an error is the guard's rejection of a statement that may be run again: it was raised before
// anything was written, the statement's transaction is its own, and the client was sent nothing of it.
func (c *sessionClient) isTenantClosedError(state, text string) bool {
	return c.record.active && c.record.unanswered && c.routing.call != nil && state == sqlStateTenantClosed && text == tenantClosedMessage && c.pipeline.Status() == statusIdle && !c.pipeline.InBlock() &&
		c.isReplayable()
}

// isReplayable reports whether what was recorded runs completely or not at all.
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

// replayElsewhere brings a transaction that a host rejected back to where it was before a host was chosen: it is routed by the
// assignment that holds by now, or waits for another one. s is nil where the connection is lost.
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
	if c.routing.cancelRequested { // it was cancelled before its host had said all
		c.routing.cancelRequested, c.input.pendingKind = false, c.record.replay[0]
		c.rejectCancelled()
	}
	c.resume()
}
