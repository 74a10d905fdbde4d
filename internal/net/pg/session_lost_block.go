package pg

// A lost block is a transaction block whose server connection was lost. The pooler answers the client's messages
// in place of a server until the client ends the block, as a server answers them in a failed block, that is, a
// transaction block that can only be rolled back after an error.

import (
	"strconv"

	"ashstand/internal/session"
)

// handleLostBlock processes a message after the server connection was lost in a transaction block, or with
// state that can't be moved to another connection. The first statement gets the pending error, and a block
// counts as failed until it ends.
func (c *sessionClient) handleLostBlock(kind byte, body []byte) disposition {
	switch kind {
	case clientQuery:
		return c.queryInLostBlock(body)
	case clientParse:
		name, text, types, ok := cutTwoStrings(body)
		if !ok {
			return messageMalformed
		}
		if c.parseInLostBlock(name, text, types) {
			return messageAnswered
		}
	case clientBind:
		portal, name, _, ok := cutTwoStrings(body)
		if !ok {
			return messageMalformed
		}
		if c.bindInLostBlock(portal, name) {
			return messageAnswered
		}
	case clientDescribe:
		target, name, ok := cutTarget(body)
		if !ok {
			return messageMalformed
		}
		if c.describeInLostBlock(target, name) {
			return messageAnswered
		}
	case clientExecute:
		if c.executeInLostBlock(body) {
			return messageAnswered
		}
	case clientClose:
		return c.closeInLostBlock(body)
	}
	c.failInLostBlock()
	if kind != clientFunctionCall {
		c.pipeline.SkipUntilSync()
	} else {
		c.writeReady()
	}
	return messageAnswered
}

// failInLostBlock sends the client the pending error, if any, and otherwise the error of a failed block.
func (c *sessionClient) failInLostBlock() {
	reply := c.recovery.pendingError
	if c.recovery.pendingError = nil; reply == nil {
		reply = errorInFailedBlock()
	}
	c.writeClient(appendError(nil, severityError, reply.SQLState, reply.Text, ""))
}

// errorInFailedBlock is the error with which a server answers a statement in a failed block.
func errorInFailedBlock() *session.ErrorReply {
	return &session.ErrorReply{
		SQLState: session.SQLStateInFailedBlock,
		Text:     "current transaction is aborted, commands ignored until end of transaction block",
	}
}

// queryInLostBlock answers a simple query: an empty one and one that ends the block succeed, all others fail.
func (c *sessionClient) queryInLostBlock(body []byte) disposition {
	text, _, ok := cutString(body)
	if !ok {
		return messageMalformed
	}
	query := session.ParseQuery(text)
	if len(query.Statements) == 0 {
		c.writeClient(appendReadyForQuery(appendEmpty(nil, serverEmptyQuery), c.pipeline.Status()))
		return messageAnswered
	}
	if c.pipeline.BlockLost() && query.EndsBlock() {
		c.recovery.pendingError = nil
		c.pipeline.EndLostBlock()
		c.writeClient(appendReady(appendCommandComplete(nil, "ROLLBACK")))
		return messageAnswered
	}
	c.failInLostBlock()
	c.writeReady()
	return messageAnswered
}

// parseInLostBlock prepares a statement that a failed block may run. It returns false if the block may not
// run the statement, or if there is no memory for it.
func (c *sessionClient) parseInLostBlock(name, text string, types []byte) bool {
	query := session.ParseQuery(text)
	if !c.pipeline.BlockLost() || !query.EndsBlock() && len(query.Statements) > 0 {
		return false
	}
	prepared := c.front.catalogue.Acquire(text, types, c.pipeline.Settings())
	if prepared == nil {
		return false
	}
	c.pipeline.Request(name, prepared)
	c.pipeline.Confirm()
	c.writeClient(appendEmpty(nil, serverParseComplete))
	return true
}

// mayRunInLostBlock reports whether a failed block may run a prepared statement: one that ends the block or
// is empty.
func (c *sessionClient) mayRunInLostBlock(prepared *session.PreparedStatement) bool {
	return c.pipeline.BlockLost() && (prepared.Query.EndsBlock() || len(prepared.Query.Statements) == 0)
}

// rejectMissingStatement answers a message that names a prepared statement which does not exist.
func (c *sessionClient) rejectMissingStatement(name string) {
	text := "prepared statement " + strconv.Quote(name) + " does not exist"
	c.writeClient(appendError(nil, severityError, sqlStateInvalidStatementName, text, ""))
	c.pipeline.SkipUntilSync()
}

// findForLostBlock returns a prepared statement that a failed block may run, or nil. If it is nil, isAnswered
// reports whether the client has been told that there is no such statement; if not, the caller has to send the
// error of the block.
func (c *sessionClient) findForLostBlock(name string) (prepared *session.PreparedStatement, isAnswered bool) {
	prepared = c.pipeline.Find(name)
	if prepared == nil {
		c.rejectMissingStatement(name)
		return nil, true
	}
	if !c.mayRunInLostBlock(prepared) {
		return nil, false
	}
	return prepared, false
}

// describeInLostBlock describes a statement or portal that a failed block may run, which has no parameters
// and returns no rows. A server describes nothing else in a failed block. It returns false if the block's
// error remains to be sent.
func (c *sessionClient) describeInLostBlock(target byte, name string) bool {
	if target == targetStatement {
		prepared, isAnswered := c.findForLostBlock(name)
		if prepared == nil {
			return isAnswered
		}
		c.writeClient(appendMessage(nil, serverParameterDescription, func(b []byte) []byte { return append(b, 0, 0) }))
	} else if _, isBound := c.recovery.lostPortals[name]; !isBound {
		return false
	}
	c.writeClient(appendEmpty(nil, serverNoData))
	return true
}

// bindInLostBlock answers a Bind of a statement that does not exist, or that a failed block may run. It
// returns false if the block's error remains to be sent.
func (c *sessionClient) bindInLostBlock(portal, name string) bool {
	prepared, isAnswered := c.findForLostBlock(name)
	if prepared == nil {
		return isAnswered
	}
	c.recovery.lostPortals = map[string]bool{portal: prepared.Query.EndsBlock()}
	c.writeClient(appendEmpty(nil, serverBindComplete))
	return true
}

// closeInLostBlock closes a statement or a portal, which is allowed in a failed block.
func (c *sessionClient) closeInLostBlock(body []byte) disposition {
	target, name, ok := cutTarget(body)
	if !ok {
		return messageMalformed
	}
	if target == targetStatement {
		c.pipeline.Request(name, nil)
		c.pipeline.Confirm()
	} else {
		delete(c.recovery.lostPortals, name)
	}
	c.writeClient(appendEmpty(nil, serverCloseComplete))
	return messageAnswered
}

// executeInLostBlock executes a portal that bindInLostBlock created. It returns false if there is none of
// that name.
func (c *sessionClient) executeInLostBlock(body []byte) bool {
	portal, _, ok := cutString(body)
	endsBlock, bound := c.recovery.lostPortals[portal]
	switch {
	case ok && bound && !endsBlock:
		c.writeClient(appendEmpty(nil, serverEmptyQuery))
	case ok && endsBlock:
		c.recovery.lostPortals, c.recovery.pendingError = nil, nil
		c.pipeline.EndLostBlock()
		c.writeClient(appendCommandComplete(nil, "ROLLBACK"))
	default:
		return false
	}
	return true
}
