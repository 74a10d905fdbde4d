package session

// Loss is the effect of a lost server connection on its session.
type Loss struct {
	// SQLState is the SQLSTATE of the error for the client.
	SQLState string
	// Text is the message of that error.
	Text string
	// PendingReadyForQuery is the number of ReadyForQuery messages that the client waits for; each follows an error.
	PendingReadyForQuery int
	// Silent is set if no request was in progress and no block was open, so that the client need not be told.
	Silent bool
}

// The SQLSTATE values that a client gets after a loss.
const (
	SQLStateSafeToRetry   = "40001" // the transaction was rolled back or never ran
	SQLStateInDoubt       = "08007" // the transaction may have been committed
	SQLStateInFailedBlock = "25P02"
)

// HandleConnectionLoss handles the loss of the server connection. Work that was not committed is rolled back; if a commit was
// in progress, its outcome is unknown. sent is whether any of the unanswered requests was written to the
// connection.
func (p *Pipeline) HandleConnectionLoss(sent bool) Loss {
	inDoubt, inBlock := p.mayHaveCommitted()
	loss := Loss{
		SQLState: SQLStateSafeToRetry,
		Text:     "the connection to the db host was lost before anything was committed; it is safe to run the transaction again",
	}
	if inDoubt && sent {
		loss.SQLState = SQLStateInDoubt
		loss.Text = "the connection to the db host was lost while a commit was under way; it may have been committed"
	}
	var open bool
	loss.PendingReadyForQuery, open = p.expectedCycles()
	open = open || p.boundary.pipelineOpen
	loss.Silent = loss.PendingReadyForQuery == 0 && !open && !inBlock && !p.skipping
	p.DiscardLast(len(p.requested))
	p.inImplicitTransaction, p.commitSeen, p.wrote = false, false, false
	p.expected, p.head, p.server = nil, 0, nil
	p.aheadBytes, p.pendingSettingBytes, p.pendingSavepointBytes = 0, 0, 0
	p.portals.clear(p.catalogue)
	p.copyIn, p.staleStatements, p.stickyCause = false, nil, ""
	p.boundary = boundaryState{}
	p.skipping = open || p.skipping
	p.DiscardUncommitted()
	if p.status = 'I'; inBlock {
		p.status, p.blockLost = 'E', true
	}
	return loss
}

// mayHaveCommitted returns in inDoubt whether a transaction may have been committed without the client having
// its answer, and in inBlock whether the client is in a block after everything that it has sent.
func (p *Pipeline) mayHaveCommitted() (inDoubt, inBlock bool) {
	inDoubt, inBlock = p.commitSeen && !p.readOnly, p.inBlock
	// Statements ran, and an outstanding request ends their implicit transaction.
	if p.inImplicitTransaction && !p.readOnly {
		for i := p.head; i < len(p.expected); i++ {
			inDoubt = inDoubt || !p.expected[i].hidden && p.expected[i].endsCycle()
		}
	}
	for i := p.head; i < len(p.expected); i++ {
		e := &p.expected[i]
		if e.hidden {
			continue
		}
		commits := p.endsImplicitTransaction(i)
		if e.kind == replyFunction || e.kind == replyExecute && e.prepared == nil {
			inDoubt = inDoubt || !inBlock && commits && !p.readOnly
		}
		for n := min(e.nextStatement, len(e.statements)); n < len(e.statements); n++ {
			switch e.statements[n].Kind {
			case Begin:
				inBlock = true
			case Commit:
				inDoubt = inDoubt || !p.readOnly
				inBlock = false
			case Rollback:
				inBlock = false
			case Other, MakesSticky, Execute, Select:
				inDoubt = inDoubt || !inBlock && commits && !p.readOnly
			}
		}
	}
	return inDoubt, inBlock
}

// endsImplicitTransaction reports whether the implicit transaction of an expected reply, if it is not in a
// block, ends with that reply or with a later one.
func (p *Pipeline) endsImplicitTransaction(index int) bool {
	switch p.expected[index].kind {
	case replyQuery, replyFunction:
		return true
	case replyExecute:
		for i := index + 1; i < len(p.expected); i++ {
			if p.expected[i].kind == replySync {
				return true
			}
		}
	}
	return false
}

// endsCycle reports whether the server ends the reply with a ReadyForQuery.
func (e *expectedReply) endsCycle() bool {
	return e.kind == replySync || e.kind == replyQuery || e.kind == replyFunction
}

// PendingCycles returns how many ReadyForQuery messages the client waits for.
func (p *Pipeline) PendingCycles() int {
	cycles, _ := p.expectedCycles()
	return cycles
}

// expectedCycles counts the ReadyForQuery messages that the client waits for. open is set if the client has
// sent messages of a pipeline whose Sync has not come.
func (p *Pipeline) expectedCycles() (cycles int, open bool) {
	for i := p.head; i < len(p.expected); i++ {
		switch e := &p.expected[i]; {
		case e.hidden:
		case e.endsCycle():
			cycles++
			open = false
		default:
			open = true
		}
	}
	return cycles, open
}
