package session

// Kinds of the messages of a server, by their first byte.
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

// Errors of a server that say that a prepared statement has to be prepared anew.
const (
	sqlStateResultChanged    = "0A000" // cached plan must not change result type
	sqlStateStatementUnknown = "26000"
)

// NextLocalReply gives the next answer that is ours to give before any more of the server's; 0: none is.
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

// finish ends an entry that succeeded.
func (p *Pipeline) finish(e *expectedReply) {
	if e.changesNames {
		p.Confirm()
	}
	p.pop()
}

// HandleServerMessage takes a message of the server by its kind, with the tag of a CommandComplete, the SQLSTATE of an
// ErrorResponse or the status of a ReadyForQuery.
func (p *Pipeline) HandleServerMessage(kind byte, detail string) (out ServerAction) {
	switch kind {
	case serverNotice, serverNotification, serverParameterStatus: // at any time
		return ServerAction{}
	case serverError:
		return p.fail(p.front(), detail)
	}
	e := p.front()
	if e == nil {
		return ServerAction{Unexpected: true}
	}
	out.Drop = e.hidden
	switch kind {
	case serverReadyForQuery:
		return p.ready(e, detail)
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
		p.implicitWork = p.implicitWork || !p.inBlock
		return out
	case serverDataRow, serverCopyData, serverCopyDone, serverCopyBothResponse, serverCopyOutResponse:
		return out
	case serverCopyInResponse:
		p.beginCopyIn(e)
		return out
	case serverCommandComplete, serverEmptyQuery, serverPortalSuspended:
		p.commandEnded(e, kind, detail)
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

// beginCopyIn takes the server's request for COPY data.
func (p *Pipeline) beginCopyIn(e *expectedReply) {
	p.copyIn = true
	if e.kind != replyExecute {
		return
	}
	// Syncs that were sent ahead of the data are not answered: the server reads them as part of it.
	for p.head+1 < len(p.expected) && p.expected[p.head+1].kind == replySync {
		p.expected = append(p.expected[:p.head+1], p.expected[p.head+2:]...)
	}
}

// commandEnded takes the end of a statement: it completed, was empty, or its portal is suspended.
func (p *Pipeline) commandEnded(e *expectedReply, kind byte, tag string) {
	p.copyIn = false
	switch {
	case kind == serverCommandComplete && e.nextStatement < len(e.statements):
		p.completed(&e.statements[e.nextStatement], tag)
	case kind != serverEmptyQuery:
		p.implicitWork, p.wrote = p.implicitWork || !p.inBlock, true
	}
	isWholeQuery := e.kind == replyQuery || e.kind == replySettings
	if kind != serverPortalSuspended || isWholeQuery {
		e.nextStatement++
	}
}

// completed takes a statement that the server ran.
func (p *Pipeline) completed(s *Statement, tag string) {
	block := p.inBlock
	p.Completed(s, tag)
	switch s.Kind {
	case Other, Select, Execute, MakesSticky:
		p.implicitWork = p.implicitWork || !block
		p.wrote = p.wrote || s.Kind != Select
	case Commit:
		p.commitSeen = p.commitSeen || tag != "ROLLBACK"
	}
	switch s.Kind {
	case MakesSticky:
		if p.stickyCause == "" {
			p.stickyCause = s.Cause
		}
	case Deallocate:
		if held := p.Find(s.Name); held != nil && p.server != nil { // it was run under the server's name
			p.server.Remove(held.Key)
		}
		p.Deallocate(s.Name, false)
	case DeallocateAll, DiscardAll:
		if s.Kind == DiscardAll || p.stickyCause == CausePrepare {
			p.stickyCause = ""
		}
		p.Deallocate("", true)
		if p.server != nil {
			p.server.Clear()
		}
	}
}

// ready takes a ReadyForQuery.
func (p *Pipeline) ready(e *expectedReply, status string) ServerAction {
	if status == "" {
		return ServerAction{Unexpected: true}
	}
	switch e.kind {
	case replySettings:
		failed := p.failed
		p.failed = false
		p.pop()
		return ServerAction{Drop: true, Injected: true, Failed: failed}
	case replySync:
		if e.hidden {
			p.pop()
			return ServerAction{Drop: true}
		}
	case replyQuery, replyFunction:
	default:
		return ServerAction{Unexpected: true}
	}
	p.pop()
	p.copyIn, p.implicitWork, p.commitSeen = false, false, false
	p.status = status[0]
	p.Ready(p.status)
	if p.status == 'I' {
		clear(p.portals)
	}
	return ServerAction{Ready: true}
}

// fail takes an ErrorResponse. In a pipeline it skips all up to Sync, and what was skipped was never prepared.
func (p *Pipeline) fail(e *expectedReply, code string) ServerAction {
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
	p.forgetStale(e, code)
	// What was asked for behind the Sync, in pipelines to come, stays.
	p.discardFirst(p.skipPipeline())
	if p.head == len(p.expected) {
		p.skipping = true
	}
	if f := p.front(); f != nil && f.kind == replySync && f.hidden {
		p.failed = false // of the pooler's, before a query that runs EXECUTE, which will fail by itself
		return ServerAction{Drop: true}
	}
	return out
}

// forgetStale has a statement prepared anew whose result is not what it was when it was prepared, or that the server has no
// more.
func (p *Pipeline) forgetStale(e *expectedReply, code string) {
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

// skipPipeline takes out all that is expected up to Sync, and returns how many changes of names were among it.
func (p *Pipeline) skipPipeline() (changes int) {
	for p.head < len(p.expected) && p.expected[p.head].kind != replySync {
		skipped := &p.expected[p.head]
		if skipped.changesNames {
			changes++
		}
		if p.server != nil && skipped.kind == replyClose && skipped.hidden { // it was not closed
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

// discardFirst takes back the first k that were asked for.
func (p *Pipeline) discardFirst(k int) {
	for i := 0; i < k && len(p.requested) > 0; i++ {
		p.catalogue.Release(p.requested[0].prepared)
		p.requested = p.requested[1:]
	}
	if len(p.requested) == 0 {
		p.requested = nil
	}
}
