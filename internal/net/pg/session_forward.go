package pg

import (
	"encoding/binary"
	"strconv"

	"ashstand/internal/session"
)

// forwardMessage processes a message of a client that is linked to a server and appends to out what goes to
// the server. ok is false if the message is malformed.
func (c *sessionClient) forwardMessage(out []byte, kind byte, body, message []byte) (_ []byte, ok bool) {
	if kind != clientQuery {
		c.routing.query = nil
	}
	switch kind {
	case clientCopyDone, clientCopyFail:
		c.pipeline.CopyEnd()
		return append(out, message...), true
	case clientCopyData, clientFlush: // a server ignores COPY data that comes after its error
		return append(out, message...), true
	case clientPassword:
		return out, true
	case clientSync:
		c.pipeline.Sync()
		return append(out, message...), true
	case clientQuery:
		return c.forwardQuery(out, body, message)
	case clientParse:
		return c.forwardParse(out, body, message)
	case clientBind:
		return c.forwardBind(out, body, message)
	case clientDescribe, clientClose:
		return c.forwardTarget(out, kind, body, message)
	case clientExecute:
		portal, rest, ok := cutString(body)
		if !ok || len(rest) != 4 {
			return out, false
		}
		if reply := c.checkSavepoints(c.pipeline.PortalStatements(portal)); reply != nil {
			return c.rejectOnServer(out, reply), true
		}
		return appendUnlessDropped(out, c.pipeline.Execute(portal), message), true
	case clientFunctionCall:
		return appendUnlessDropped(out, c.pipeline.FunctionCall(), message), true
	}
	return out, false
}

// appendUnlessDropped appends a message unchanged, unless the action drops it.
func appendUnlessDropped(out []byte, action session.ClientAction, message []byte) []byte {
	if action.Drop {
		return out
	}
	return append(out, message...)
}

// forwardQuery processes a simple query. It returns out with what goes to the server in place of the message: the
// injected messages followed by the query, which may be replaced, or nothing if the pipeline drops it. ok is false
// if the message is malformed. If the query is rejected, the server is sent a failing query in its place, so that
// a transaction fails there too; its error is replaced by the rejection (see session.ErrorReply).
func (c *sessionClient) forwardQuery(out, body, message []byte) (_ []byte, ok bool) {
	text, rest, ok := cutString(body)
	if !ok || len(rest) > 0 {
		return out, false
	}
	var query session.Query
	if c.routing.query != nil { // it was scanned when the transaction was routed
		query, c.routing.query = *c.routing.query, nil
	} else {
		query = session.ParseQuery(text)
	}
	if reply := c.checkQuery(&query); reply != nil {
		if !c.pipeline.Reject(true, *reply) {
			out = appendQuery(out, func(b []byte) []byte { return append(b, session.FailingQuery...) })
		}
		return out, true
	}
	action := c.pipeline.Query(text, query)
	if action.Drop {
		return out, true
	}
	out = c.appendInjections(out, action.Before)
	if len(action.Before) > 0 {
		out = appendEmpty(out, clientSync)
	}
	if action.Text != "" {
		return appendQuery(out, func(b []byte) []byte { return append(b, action.Text...) }), true
	}
	return append(out, message...), true
}

// forwardBind processes a Bind, and substitutes the name that the statement has on the server.
func (c *sessionClient) forwardBind(out, body, message []byte) (_ []byte, ok bool) {
	portal, name, tail, ok := cutTwoStrings(body)
	if !ok || !isValidBindTail(tail) {
		return out, false
	}
	if reply := c.checkPortal(portal); reply != nil {
		return c.rejectOnServer(out, reply), true
	}
	action := c.pipeline.Bind(portal, name)
	if action.Drop {
		return out, true
	}
	out = c.appendInjections(out, action.Before)
	if action.Rename == "" {
		return append(out, message...), true
	}
	return appendMessage(out, clientBind, func(b []byte) []byte {
		return append(appendCString(appendCString(b, portal), action.Rename), tail...)
	}), true
}

// forwardTarget processes a Describe or a Close of a statement or a portal.
func (c *sessionClient) forwardTarget(out []byte, kind byte, body, message []byte) (_ []byte, ok bool) {
	target, name, ok := cutTarget(body)
	if !ok {
		return out, false
	}
	var action session.ClientAction
	switch {
	case kind == clientDescribe && target == targetStatement:
		action = c.pipeline.DescribeStatement(name)
	case kind == clientDescribe:
		action = c.pipeline.DescribePortal(name)
	case target == targetStatement:
		action = c.pipeline.CloseStatement(name)
	default:
		action = c.pipeline.ClosePortal(name)
	}
	if action.Drop {
		return out, true
	}
	out = c.appendInjections(out, action.Before)
	if action.Rename == "" {
		return append(out, message...), true
	}
	return appendMessage(out, clientDescribe, func(b []byte) []byte {
		return appendCString(append(b, targetStatement), action.Rename)
	}), true
}

// isValidBindTail reports whether the part of a Bind after its names is well formed. With a wrong length the
// server would wait for bytes that never come, on a connection that other sessions share.
func isValidBindTail(b []byte) bool {
	skipFormatCodes := func() bool {
		if len(b) < 2 {
			return false
		}
		n := int(binary.BigEndian.Uint16(b))
		if len(b) < 2+2*n {
			return false
		}
		b = b[2+2*n:]
		return true
	}
	if !skipFormatCodes() || len(b) < 2 {
		return false
	}
	n := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	for range n {
		if len(b) < 4 {
			return false
		}
		size := int(int32(binary.BigEndian.Uint32(b)))
		if size < -1 || size > len(b)-4 {
			return false
		}
		b = b[4+max(0, size):]
	}
	return skipFormatCodes() && len(b) == 0
}

// forwardParse processes a Parse. A statement that must not be prepared is replaced by a message that fails
// on the server, so that the server's transaction fails too.
func (c *sessionClient) forwardParse(out, body, message []byte) (_ []byte, ok bool) {
	name, text, types, ok := cutTwoStrings(body)
	if !ok || len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return out, false
	}
	p := c.pipeline
	if p.Skipping() {
		return out, true
	}
	prepared := c.front.catalogue.Acquire(text, types, p.Settings())
	if reply := c.checkPrepared(name, prepared); reply != nil {
		c.front.catalogue.Release(prepared)
		return c.rejectOnServer(out, reply), true
	}
	action := p.Parse(name, prepared)
	if action.Drop {
		return out, true
	}
	out = c.appendInjections(out, action.Before)
	if action.Rename == "" {
		return append(out, message...), true
	}
	return appendParse(out, action.Rename, prepared), true
}

// rejectOnServer appends a message that fails on the server in place of one that is rejected, so that the server's transaction fails
// too.
func (c *sessionClient) rejectOnServer(out []byte, reply *session.ErrorReply) []byte {
	if c.pipeline.Reject(false, *reply) {
		return out
	}
	return appendMessage(out, clientBind, func(b []byte) []byte {
		return append(appendCString(appendCString(b, ""), session.FailingStatement), 0, 0, 0, 0, 0, 0)
	})
}

// checkPrepared returns the error with which a Parse under this name is rejected, or nil. prepared is nil if
// there is no memory for the statement.
func (c *sessionClient) checkPrepared(name string, prepared *session.PreparedStatement) *session.ErrorReply {
	p := c.pipeline
	switch {
	// The failed block is reported even if a statement of this name is already prepared.
	case prepared != nil && !prepared.Query.MayRunInFailedBlock() && p.Status() == statusFailed && p.ExpectedReplies() == 0:
		return errorInFailedBlock()
	case name != "" && p.Find(name) != nil:
		return &session.ErrorReply{SQLState: sqlStateDuplicateStatement, Text: "prepared statement " + strconv.Quote(name) + " already exists"}
	case prepared == nil, !c.front.catalogue.HasRoomForName(name):
		return &session.ErrorReply{SQLState: sqlStateOutOfMemory, Text: "there is no memory for one more prepared statement"}
	}
	return c.checkQuery(&prepared.Query)
}

// checkQuery returns the error with which a query is rejected because of what the session would keep of it, or nil.
func (c *sessionClient) checkQuery(q *session.Query) *session.ErrorReply {
	if reply := c.checkRetained(q); reply != nil {
		return reply
	}
	return c.checkSticky(q)
}

// countSettings updates the memory of the session's settings in the front's total.
func (c *sessionClient) countSettings() {
	bytes := c.pipeline.Settings().Bytes()
	c.front.clients.settingsBytes += bytes - c.settingsBytes
	c.settingsBytes = bytes
}

// appendParse appends a Parse of the statement under this name.
func appendParse(out []byte, name string, p *session.PreparedStatement) []byte {
	return appendMessage(out, clientParse, func(b []byte) []byte {
		return append(appendCString(appendCString(b, name), p.Text), p.Params...)
	})
}

// appendInjections appends the pooler's own messages that precede a client's message.
func (c *sessionClient) appendInjections(out []byte, injections []session.Injection) []byte {
	for _, i := range injections {
		switch {
		case i.Parse == nil:
			closed := session.PreparedStatement{Key: i.Close}
			out = appendMessage(out, clientClose, func(b []byte) []byte { return appendCString(append(b, targetStatement), closed.Name()) })
		case i.Unnamed:
			c.front.stats.StatementsReprepared++
			out = appendParse(out, "", i.Parse)
		default:
			c.front.stats.StatementsReprepared++
			out = appendParse(out, i.Parse.Name(), i.Parse)
		}
	}
	return out
}

// checkSticky returns the error with which a query is rejected that would make the session sticky, or nil:
// the pool allows no sticky sessions, or as many as it allows exist.
func (c *sessionClient) checkSticky(q *session.Query) *session.ErrorReply {
	if c.pipeline.StickyCause() != "" || c.pool.Mode == SessionMode {
		return nil
	}
	for i := range q.Statements {
		s := &q.Statements[i]
		if s.Kind != session.MakesSticky {
			continue
		}
		total := 0
		for _, n := range c.front.clients.stickyCounts {
			total += n
		}
		switch {
		case c.pool.MaxSticky == 0:
			return &session.ErrorReply{SQLState: sqlStateFeatureNotSupported, Text: "in transaction mode no session may be bound to its server connection, which this would do: " + string(s.Cause)}
		case total >= c.pool.MaxSticky:
			return &session.ErrorReply{SQLState: string(stateTooManyConnections), Text: "as many sessions are bound to their server connections as may be; this would bind one more: " + string(s.Cause)}
		}
	}
	return nil
}
