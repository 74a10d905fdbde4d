package session

// Turn says how the client's next message relates to the transactions that the client sent before it.
type Turn uint8

// The turns.
const (
	// TurnContinues: the message belongs to the transaction that is open on the server connection, or it is skipped.
	TurnContinues Turn = iota
	// TurnBegins: the message begins a transaction. No reply is outstanding and no transaction is open.
	TurnBegins
	// TurnUnknown: outstanding replies decide whether the message begins a transaction.
	TurnUnknown
	// TurnNeedsSync: the message may begin a transaction behind a COMMIT or ROLLBACK in a pipeline that has no Sync
	// yet. The server tells the status only after a Sync; see SyncBoundary.
	TurnNeedsSync
)

// boundaryState is what the pipeline knows, before the replies arrive, about where transactions end in what it sent.
type boundaryState struct {
	// pipelineOpen is set if messages of the extended protocol were sent since the last Sync.
	pipelineOpen bool
	// pipelineEnds is set if one of them executes a statement that may end the transaction.
	pipelineEnds bool
	// rejected is set if one of them was rejected: the server skips what follows it, up to Sync.
	rejected bool
	// copyEndsSent counts the CopyDone and CopyFail messages that were sent since the connection was last idle.
	copyEndsSent int
	// copiesBegun counts the server's requests for COPY data since then.
	copiesBegun int
}

// NextTurn reports how the client's next message relates to what was sent before. It is not for Sync, Flush and the
// messages of COPY, which never begin a transaction.
//
// A message may be sent ahead of a reply only if it is certain that it belongs to the open transaction: in the
// pipeline that the last Sync has not ended, or in a block that the server confirmed and that nothing outstanding can
// end. It never waits for a reply that the server sends only after a further message of the client.
func (p *Pipeline) NextTurn() Turn {
	switch {
	case p.skipping, p.awaitsCopyData():
		return TurnContinues
	case p.boundary.pipelineOpen && p.boundary.pipelineEnds:
		return TurnNeedsSync
	case p.boundary.pipelineOpen:
		return TurnContinues
	case p.ExpectedReplies() == 0 && p.status == 'I':
		return TurnBegins
	case p.ExpectedReplies() == 0, p.staysInBlock():
		return TurnContinues
	}
	return TurnUnknown
}

// staysInBlock reports whether the server has confirmed a block that none of the outstanding requests can end.
func (p *Pipeline) staysInBlock() bool {
	if p.status == 'I' || !p.inBlock {
		return false
	}
	for i := p.head; i < len(p.expected); i++ {
		e := &p.expected[i]
		for n := min(e.nextStatement, len(e.statements)); n < len(e.statements); n++ {
			if e.statements[n].mayEndTransaction() {
				return false
			}
		}
	}
	return true
}

// mayEndTransaction reports whether a statement ends the transaction in which it runs, or might.
func (s *Statement) mayEndTransaction() bool {
	return s.Kind == Commit || s.Kind == Rollback || s.Kind == MakesSticky && s.Cause == CauseUnreadable
}

// SyncBoundary records a Sync that the pooler sends by itself after TurnNeedsSync. Its ReadyForQuery is not passed on.
func (p *Pipeline) SyncBoundary() {
	p.push(expectedReply{kind: replySync, hidden: true, isBoundary: true})
	p.endPipeline()
}

// CopyEnd records a CopyDone or CopyFail of the client. Outside of a COPY the server ignores them.
func (p *Pipeline) CopyEnd() {
	if p.copyIn || p.ExpectedReplies() > 0 {
		p.boundary.copyEndsSent++
	}
}

// awaitsCopyData reports whether the server waits for COPY data whose end the client has not sent. It takes whatever
// comes next as a part of the COPY.
func (p *Pipeline) awaitsCopyData() bool {
	return p.copyIn && p.boundary.copyEndsSent < p.boundary.copiesBegun
}

// extendPipeline records a message of the extended protocol. statements are those that it executes.
func (p *Pipeline) extendPipeline(statements []Statement) {
	p.boundary.pipelineOpen = true
	for i := range statements {
		p.boundary.pipelineEnds = p.boundary.pipelineEnds || statements[i].mayEndTransaction()
	}
}

// endPipeline records a Sync, or a message that the server ends with a ReadyForQuery as it does a Sync.
func (p *Pipeline) endPipeline() {
	p.boundary.pipelineOpen, p.boundary.pipelineEnds, p.boundary.rejected = false, false, false
}
