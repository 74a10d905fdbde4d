package pg

import (
	"strconv"

	"ashstand/internal/session"
)

// handleLostBlock takes a message where the connection was lost in a block, or with state that can't be carried: the first
// statement learns of it, and a block has failed until its end.
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

// failInLostBlock gives the client the error that is pending, else that the block has failed.
func (c *sessionClient) failInLostBlock() {
	reply := c.recovery.pendingError
	if c.recovery.pendingError = nil; reply == nil {
		reply = errorInFailedBlock()
	}
	c.writeClient(appendError(nil, severityError, reply.SQLState, reply.Text, ""))
}

// errorInFailedBlock is what a server answers to a statement in a block that has failed.
func errorInFailedBlock() *session.ErrorReply {
	return &session.ErrorReply{
		SQLState: session.SQLStateInFailedBlock,
		Text:     "current transaction is aborted, commands ignored until end of transaction block",
	}
}

func (c *sessionClient) queryInLostBlock(body []byte) disposition {
	text, _, ok := cutString(body)
	if !ok {
		return messageMalformed
	}
	query := session.Scan(text)
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

// parseInLostBlock prepares a statement that a failed block may run. false: it may not, or there is no memory for it.
func (c *sessionClient) parseInLostBlock(name, text string, types []byte) bool {
	query := session.Scan(text)
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

// mayRunInLostBlock reports whether a failed block may run a prepared statement: it ends the block, or is empty.
func (c *sessionClient) mayRunInLostBlock(prepared *session.Prepared) bool {
	return c.pipeline.BlockLost() && (prepared.Query.EndsBlock() || len(prepared.Query.Statements) == 0)
}

// rejectMissingStatement answers a message that names a statement which does not exist.
func (c *sessionClient) rejectMissingStatement(name string) {
	text := "prepared statement " + strconv.Quote(name) + " does not exist"
	c.writeClient(appendError(nil, severityError, sqlStateInvalidStatementName, text, ""))
	c.pipeline.SkipUntilSync()
}

// findForLostBlock returns a prepared statement that a failed block may run, else nil. isAnswered: the client has been told that there
// is no such statement; otherwise the block's error is the answer.
func (c *sessionClient) findForLostBlock(name string) (prepared *session.Prepared, isAnswered bool) {
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

// describeInLostBlock describes what a failed block may run, which takes no parameters and gives no rows. A server looks up
// nothing else in a failed block; false: the block's error is the answer.
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

// bindInLostBlock answers a Bind of a statement that does not exist, or that a failed block may run.
func (c *sessionClient) bindInLostBlock(portal, name string) bool {
	prepared, isAnswered := c.findForLostBlock(name)
	if prepared == nil {
		return isAnswered
	}
	c.recovery.lostPortals = map[string]bool{portal: prepared.Query.EndsBlock()}
	c.writeClient(appendEmpty(nil, serverBindComplete))
	return true
}

// closeInLostBlock closes a statement or a portal, which a failed block may do.
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

// executeInLostBlock runs a portal that bindInLostBlock made.
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
