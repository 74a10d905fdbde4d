package pg

import (
	"fmt"
	"strings"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/session"
)

// disposition is the result of processing a message from a client that has no server connection.
type disposition uint8

const (
	messageAnswered  disposition = iota // the pooler answered it
	messageWaiting                      // it waits for a server connection
	messageMalformed                    // it can't be parsed
	messageLinked                       // the client has a server connection now
)

// handleMessage processes one message and appends to out what goes to the server. wait: the message stays in
// the input until an operation that is under way is done.
func (c *sessionClient) handleMessage(out []byte, kind byte, body, message []byte) (_ []byte, wait bool, _ gnet.Action) {
	if strings.IndexByte(clientKinds, kind) < 0 {
		out = c.writeServer(out)
		return out, false, c.closeWithError(sqlStateProtocolViolation, fmt.Sprintf("message %q is unknown", kind), "")
	}
	if kind == clientTerminate {
		c.writeServer(out)
		return out[:0], false, gnet.Close
	}
	if c.server != nil && mayBeginTransaction(kind) && !c.sendsAheadUnchecked() {
		var next disposition
		var action gnet.Action
		switch out, next, action = c.prepareLinked(out, kind, body); next {
		case messageAnswered:
			return out, false, action
		case messageMalformed:
			return out, false, c.closeMalformed(kind)
		case messageWaiting:
			return out, true, gnet.None
		}
	}
	if c.server == nil {
		switch c.handleUnlinked(kind, body) {
		case messageAnswered:
			return out, false, gnet.None
		case messageMalformed:
			return out, false, c.closeMalformed(kind)
		case messageWaiting:
			return out, true, gnet.None
		}
	}
	// RESET gave the connection the values of its own startup. The session's are restored before anything
	// else runs.
	if c.pipeline.NeedsRestore() && kind != clientSync && kind != clientFlush && c.pipeline.ExpectedReplies() == 0 && !c.pipeline.CopyIn() {
		if out = c.writeServer(out); c.server != nil { // otherwise the write failed, and the loss was already handled
			c.restoreSettings(c.server)
		}
		return out, true, gnet.None
	}
	if c.record.active {
		c.recordMessage(kind, body, message)
	}
	return c.relayMessage(out, kind, body, message)
}

// relayMessage appends a message of a linked client in the form in which it goes to the server, and sends the
// replies that are the pooler's to give.
func (c *sessionClient) relayMessage(out []byte, kind byte, body, message []byte) (_ []byte, wait bool, _ gnet.Action) {
	c.input.flushed = false
	before := len(out)
	out, ok := c.forwardMessage(out, kind, body, message)
	if !ok {
		out = c.writeServer(out[:before])
		return out, false, c.closeMalformed(kind)
	}
	for k := c.pipeline.NextLocalReply(); k != 0; k = c.pipeline.NextLocalReply() {
		c.writeClient(appendEmpty(nil, k))
	}
	return out, false, gnet.None
}

// mayBeginTransaction reports whether a message of this kind begins a transaction if none is open.
func mayBeginTransaction(kind byte) bool {
	switch kind {
	case clientSync, clientFlush, clientCopyData, clientCopyDone, clientCopyFail, clientPassword:
		return false
	}
	return true
}

// prepareLinked decides whether a message of a linked client may go to the server connection. A message of which it
// is not certain that it belongs to the open transaction waits until the replies say so: each transaction is routed
// by itself. A transaction that begins on a connection which the session keeps is checked first.
func (c *sessionClient) prepareLinked(out []byte, kind byte, body []byte) ([]byte, disposition, gnet.Action) {
	switch c.pipeline.NextTurn() {
	case session.TurnUnknown:
		c.input.blocked = true
		return c.writeServer(out), messageWaiting, gnet.None
	case session.TurnNeedsSync:
		c.pipeline.SyncBoundary()
		c.input.blocked = true
		return c.writeServer(appendEmpty(out, clientSync)), messageWaiting, gnet.None
	case session.TurnBegins:
		if c.routing.call == nil {
			out = c.writeServer(out)
			next, action := c.beginOnKeptServer(kind, body)
			c.routing.decided = c.routing.decided || next == messageLinked
			return out, next, action
		}
	}
	return out, messageLinked, gnet.None
}

// disableAheadGuarantee sends transactions ahead of answers without a decision; see SessionFront.DisableGuarantee.
const disableAheadGuarantee = "ahead"

// sendsAheadUnchecked reports whether the guarantee that each transaction is routed by itself is disabled.
func (c *sessionClient) sendsAheadUnchecked() bool {
	return c.front.disabledGuarantee.Load() == disableAheadGuarantee && c.pipeline.ExpectedReplies() > 0
}

// beginOnKeptServer handles the first message of a transaction that would begin on the connection which the session
// keeps. It returns messageLinked if the transaction proceeds, on this connection or on another one.
func (c *sessionClient) beginOnKeptServer(kind byte, body []byte) (disposition, gnet.Action) {
	if !c.isHostListed(c.server) {
		c.abandonDrainingHost(c.server) // a new transaction must not begin on a draining host
		return messageLinked, gnet.None
	}
	if c.tenancy.tenant != nil && !c.retention.transactionBegun {
		next, action := c.checkRetainedServer(kind)
		c.retention.transactionBegun = next == messageLinked && c.server != nil
		if next != messageLinked || c.server == nil {
			return next, action
		}
	}
	return c.routeOnKeptServer(kind, body), gnet.None
}

// closeMalformed disconnects a client that sent a malformed message of a known kind.
func (c *sessionClient) closeMalformed(kind byte) gnet.Action {
	return c.closeWithError(sqlStateProtocolViolation, fmt.Sprintf("message %q is not in its form", kind), "")
}

// handleUnlinked processes a message of a client that has no server connection.
func (c *sessionClient) handleUnlinked(kind byte, body []byte) disposition {
	switch kind {
	case clientSync:
		c.pipeline.SyncLocally()
		c.writeReady()
		return messageAnswered
	case clientFlush, clientCopyData, clientCopyDone, clientCopyFail, clientPassword:
		return messageAnswered
	}
	if c.pipeline.Skipping() {
		return messageAnswered
	}
	if c.pipeline.BlockLost() || c.recovery.pendingError != nil {
		return c.handleLostBlock(kind, body)
	}
	query, result := c.queryToRoute(kind, body)
	if query == nil {
		return result
	}
	c.input.routingPending = true
	c.routeTransaction(query, kind)
	c.input.routingPending = false
	switch {
	case c.server != nil && c.phase == phaseLinked:
		return messageLinked
	case c.disconnected || c.phase == phaseUnlinked: // the transaction was rejected at once
		return messageAnswered
	}
	return messageWaiting
}

// queryToRoute returns the query by which the transaction that a message begins is routed. It returns nil if
// the message needs no server or can't be parsed; the second result says which.
func (c *sessionClient) queryToRoute(kind byte, body []byte) (*session.Query, disposition) {
	query := &session.Query{}
	switch kind {
	case clientQuery:
		text, rest, ok := cutString(body)
		if !ok || len(rest) > 0 {
			return nil, messageMalformed
		}
		*query = session.ParseQuery(text)
		if c.answerLocally(query) {
			return nil, messageAnswered
		}
	case clientParse:
		_, text, _, ok := cutTwoStrings(body)
		if !ok {
			return nil, messageMalformed
		}
		*query = session.ParseQuery(text)
	case clientBind:
		_, name, _, ok := cutTwoStrings(body)
		if !ok {
			return nil, messageMalformed
		}
		if p := c.pipeline.Find(name); p != nil {
			query = &p.Query
		}
	case clientDescribe:
		if len(body) < 2 {
			return nil, messageMalformed
		}
		if p := c.statementNamed(body); p != nil {
			query = &p.Query
		}
	case clientClose:
		if len(body) < 2 {
			return nil, messageMalformed
		}
		if name, _, ok := cutString(body[1:]); ok && body[0] == targetStatement {
			c.pipeline.Request(name, nil)
			c.pipeline.Confirm()
		}
		c.writeClient(appendEmpty(nil, serverCloseComplete))
		return nil, messageAnswered
	}
	return query, messageWaiting
}

// statementNamed returns the statement that a Describe names, or nil if it names a portal or an unknown
// statement.
func (c *sessionClient) statementNamed(body []byte) *session.PreparedStatement {
	name, _, ok := cutString(body[1:])
	if !ok || body[0] != targetStatement {
		return nil
	}
	return c.pipeline.Find(name)
}

// answerLocally answers a query that needs no server, and reports whether it did.
func (c *sessionClient) answerLocally(query *session.Query) bool {
	var out []byte
	switch {
	case len(query.Statements) == 0:
		out = appendEmpty(out, serverEmptyQuery)
	case len(query.Statements) > 1:
		return false
	default:
		switch s := &query.Statements[0]; {
		case s.Kind == session.Deallocate && c.pipeline.Find(s.Name) != nil:
			c.pipeline.Deallocate(s.Name, false)
			out = appendCommandComplete(out, "DEALLOCATE")
		case s.Kind == session.DeallocateAll:
			c.pipeline.Deallocate("", true)
			out = appendCommandComplete(out, "DEALLOCATE ALL")
		case s.Kind == session.DiscardAll:
			c.pipeline.DiscardAll()
			out = appendCommandComplete(out, "DISCARD ALL")
		default:
			return false
		}
	}
	c.writeClient(appendReady(out))
	return true
}

// writeReady sends the client a ReadyForQuery with its transaction status.
func (c *sessionClient) writeReady() { c.writeClient(appendReadyForQuery(nil, c.pipeline.Status())) }
