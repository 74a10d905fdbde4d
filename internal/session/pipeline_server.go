package session

import "slices"

// The type bytes of the server's messages.
const (
	serverParseComplete        byte = '1'
	serverBindComplete         byte = '2'
	serverCloseComplete        byte = '3'
	serverNotification         byte = 'A'
	serverCommandComplete      byte = 'C'
	serverDataRow              byte = 'D'
	serverError                byte = 'E'
	serverCopyInResponse       byte = 'G'
	serverCopyOutResponse      byte = 'H'
	serverEmptyQuery           byte = 'I'
	serverNotice               byte = 'N'
	serverParameterStatus      byte = 'S'
	serverRowDescription       byte = 'T'
	serverFunctionCallResponse byte = 'V'
	serverCopyBothResponse     byte = 'W'
	serverReadyForQuery        byte = 'Z'
	serverCopyDone             byte = 'c'
	serverCopyData             byte = 'd'
	serverNoData               byte = 'n'
	serverPortalSuspended      byte = 's'
	serverParameterDescription byte = 't'
)

// SQLSTATE values with which the server reports that a prepared statement has to be prepared again.
const (
	sqlStateResultChanged    = "0A000" // cached plan must not change result type
	sqlStateStatementUnknown = "26000"
)

// NextLocalReply returns the type byte of the next reply that the pooler has to send before any further reply
// of the server; 0 if there is none.
func (p *Pipeline) NextLocalReply() byte {
	e := p.front()
	if e == nil || !e.local {
		return 0
	}
	kind := byte('1')
	if e.kind == replyClose {
		kind = '3'
	}
	p.finish(e)
	return kind
}

// finish removes an expected reply whose request succeeded.
func (p *Pipeline) finish(e *expectedReply) {
	if e.changesNames {
		p.Confirm()
	}
	p.pop()
}

// HandleServerMessage handles a message of the server. kind is its type byte; detail is the tag of a
// CommandComplete, the SQLSTATE of an ErrorResponse or the status of a ReadyForQuery.
func (p *Pipeline) HandleServerMessage(kind byte, detail string) (out ServerAction) {
	switch kind {
	case serverNotice, serverNotification, serverParameterStatus: // asynchronous: these may come at any time
		return ServerAction{}
	case serverError:
		return p.handleError(p.front(), detail)
	}
	e := p.front()
	if e == nil {
		return ServerAction{Unexpected: true}
	}
	out.Drop = e.hidden
	switch kind {
	case serverReadyForQuery:
		return p.handleReadyForQuery(e, detail)
	case serverParseComplete:
		out.Unexpected = e.kind != replyParse
	case serverBindComplete:
		out.Unexpected = e.kind != replyBind
	case serverCloseComplete:
		out.Unexpected = e.kind != replyClose
	case serverParameterDescription:
		out.Unexpected = e.kind != replyDescribe
		return out
	case serverRowDescription, serverNoData:
		if e.kind != replyDescribe {
			out.Unexpected = e.kind != replyQuery && e.kind != replySettings
			return out
		}
	case serverFunctionCallResponse:
		p.inImplicitTransaction = p.inImplicitTransaction || !p.inBlock
		return out
	case serverDataRow, serverCopyData, serverCopyDone, serverCopyBothResponse, serverCopyOutResponse:
		return out
	case serverCopyInResponse:
		p.beginCopyIn(e)
		return out
	case serverCommandComplete, serverEmptyQuery, serverPortalSuspended:
		p.handleCommandEnd(e, kind, detail)
		if e.kind == replyQuery || e.kind == replySettings {
			return out
		}
		out.Unexpected = e.kind != replyExecute
	default:
		return ServerAction{Unexpected: true}
	}
	if !out.Unexpected {
		p.finish(e)
	}
	return out
}

// beginCopyIn handles the server's request for COPY data.
func (p *Pipeline) beginCopyIn(e *expectedReply) {
	p.copyIn = true
	p.boundary.copiesBegun++
	if e.kind != replyExecute {
		return
	}
	// Syncs that were sent before the end of the data are not answered, because the server reads them as part of
	// the COPY.
	for p.head+1 < len(p.expected) && p.expected[p.head+1].kind == replySync && p.expected[p.head+1].copyEndsSent < p.boundary.copiesBegun {
		p.forget(&p.expected[p.head+1])
		p.expected = slices.Delete(p.expected, p.head+1, p.head+2)
	}
}

// handleCommandEnd handles the end of a statement: it completed, was empty, or its portal was suspended.
func (p *Pipeline) handleCommandEnd(e *expectedReply, kind byte, tag string) {
	p.copyIn = false
	switch {
	case kind == serverCommandComplete && e.nextStatement < len(e.statements):
		p.handleCompletedStatement(e, &e.statements[e.nextStatement], tag)
	case kind != serverEmptyQuery:
		p.inImplicitTransaction, p.wrote = p.inImplicitTransaction || !p.inBlock, true
	}
	isWholeQuery := e.kind == replyQuery || e.kind == replySettings
	if kind != serverPortalSuspended || isWholeQuery {
		e.nextStatement++
	}
}

// handleCompletedStatement handles a statement that the server completed with this tag.
func (p *Pipeline) handleCompletedStatement(e *expectedReply, statement *Statement, tag string) {
	wasInBlock := p.inBlock
	p.Completed(statement, tag)
	switch statement.Kind {
	case Other, Select, Execute, MakesSticky:
		p.inImplicitTransaction = p.inImplicitTransaction || !wasInBlock
		p.wrote = p.wrote || statement.Kind != Select
	case Commit:
		p.commitSeen = p.commitSeen || tag != "ROLLBACK"
	}
	switch statement.Kind {
	case Savepoint: // those of its query count among the transaction's from now on
		p.pendingSavepointBytes -= e.savepointBytes
		e.savepointBytes = 0
	case MakesSticky:
		if p.stickyCause == "" {
			p.stickyCause = statement.Cause
		}
	case Deallocate:
		// The DEALLOCATE ran with the server's name of the statement.
		if prepared := p.Find(statement.Name); prepared != nil && p.server != nil {
			p.server.Remove(prepared.Key)
		}
		p.Deallocate(statement.Name, false)
	case DeallocateAll, DiscardAll:
		if statement.Kind == DiscardAll || p.stickyCause == CausePrepare {
			p.stickyCause = ""
		}
		p.Deallocate("", true)
		if p.server != nil {
			p.server.Clear()
		}
	}
}

// handleReadyForQuery handles a ReadyForQuery.
func (p *Pipeline) handleReadyForQuery(e *expectedReply, status string) ServerAction {
	if status == "" {
		return ServerAction{Unexpected: true}
	}
	switch e.kind {
	case replySettings:
		failed := p.failed
		p.failed = false
		p.pop()
		return ServerAction{Drop: true, SettingsApplied: true, Failed: failed}
	case replySync:
		if e.hidden && !e.isBoundary {
			p.pop()
			return ServerAction{Drop: true}
		}
	case replyQuery, replyFunction:
	default:
		return ServerAction{Unexpected: true}
	}
	isBoundary, isEmpty := e.isBoundary, e.isEmpty
	p.pop()
	p.copyIn, p.inImplicitTransaction, p.commitSeen = false, false, false
	p.status = status[0]
	p.Ready(p.status)
	if p.status == 'I' {
		p.portals.clear(p.catalogue)
		p.boundary.copyEndsSent, p.boundary.copiesBegun = 0, 0
	}
	return ServerAction{Ready: true, Drop: isBoundary, Empty: isEmpty}
}

// handleError handles an ErrorResponse. In a pipeline the server skips everything up to Sync, so that the
// skipped statements were never prepared.
func (p *Pipeline) handleError(e *expectedReply, code string) ServerAction {
	if e == nil {
		return ServerAction{}
	}
	p.Failed()
	p.copyIn = false
	out := ServerAction{Replacement: e.replacement}
	switch e.kind {
	case replySettings:
		return ServerAction{Drop: true, Failed: true}
	case replyQuery, replyFunction, replySync:
		return out
	}
	p.invalidateStale(e, code)
	// Names that were requested after the Sync, in later pipelines, stay.
	p.discardFirst(p.discardUntilSync())
	next := p.front()
	if next == nil || next.isBoundary { // the client has not sent its Sync
		p.skipping = true
		return out
	}
	if next.kind == replySync && next.hidden {
		// The pooler sent this Sync before a query with an EXECUTE. That query fails by itself.
		p.failed = false
		return ServerAction{Drop: true}
	}
	return out
}

// invalidateStale makes sure that a statement is prepared again if the type of its result has changed since
// it was prepared, or if the server no longer has it.
func (p *Pipeline) invalidateStale(e *expectedReply, code string) {
	if code != sqlStateResultChanged && code != sqlStateStatementUnknown {
		return
	}
	if e.prepared == nil || e.kind == replyParse || p.server == nil || !p.server.Has(e.prepared.Key) {
		return
	}
	p.server.Remove(e.prepared.Key)
	if code == sqlStateResultChanged {
		if p.staleStatements == nil {
			p.staleStatements = map[Key]bool{}
		}
		p.staleStatements[e.prepared.Key] = true
	}
}

// discardUntilSync removes the expected replies up to Sync, and returns how many of them were changes of
// statement names.
func (p *Pipeline) discardUntilSync() (changes int) {
	for p.head < len(p.expected) && p.expected[p.head].kind != replySync {
		skipped := &p.expected[p.head]
		if skipped.changesNames {
			changes++
		}
		if p.server != nil && skipped.kind == replyClose && skipped.hidden { // the Close was skipped
			p.server.Restore(skipped.closedKey)
		}
		if p.server != nil && skipped.kind == replyParse && !skipped.local {
			p.server.Remove(skipped.prepared.Key)
			if p.server.Unnamed == skipped.prepared.Key {
				p.server.HasUnnamed = false
			}
		}
		p.pop()
	}
	return changes
}

// discardFirst discards the first count name changes that were requested.
func (p *Pipeline) discardFirst(count int) {
	for i := 0; i < count && len(p.requested) > 0; i++ {
		p.catalogue.releaseNamed(p.requested[0].name, p.requested[0].prepared)
		p.requested = p.requested[1:]
	}
	if len(p.requested) == 0 {
		p.requested = nil
	}
}
