package session

// Loss is what a lost server connection means to its session.
type Loss struct {
	SQLState string // SQLSTATE
	Text     string
	Cycles   int // ReadyForQuery that are owed, each behind an error
	// Silent: nothing was under way and no block open; the client need not know.
	Silent bool
}

// The codes of a loss.
const (
	SQLStateSafeToRetry   = "40001" // rolled back or never run: safe to run again
	SQLStateInDoubt       = "08007" // it may have been committed
	SQLStateInFailedBlock = "25P02"
)

// Lose takes the loss of the server connection: what was not committed is rolled back, and where a commit may have
// happened nobody can tell. sent says whether anything that is due reached the connection.
func (p *Pipeline) Lose(sent bool) Loss {
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
	loss.Cycles, open = p.expectedCycles()
	loss.Silent = loss.Cycles == 0 && !open && !inBlock && !p.skipping
	p.DiscardLast(len(p.requested))
	p.implicitWork, p.commitSeen, p.wrote = false, false, false
	p.expected, p.head, p.portals, p.server = nil, 0, nil, nil
	p.copyIn, p.staleStatements, p.stickyCause = false, nil, ""
	p.skipping = open || p.skipping
	p.Lost()
	if p.status = 'I'; inBlock {
		p.status, p.blockLost = 'E', true
	}
	return loss
}

// mayHaveCommitted reports whether a transaction may have been committed of which no answer came, and whether the client is in a
// block after all that it sent.
func (p *Pipeline) mayHaveCommitted() (inDoubt, inBlock bool) {
	inDoubt, inBlock = p.commitSeen && !p.readOnly, p.inBlock
	if p.implicitWork && !p.readOnly { // it ran, and the end of its implicit transaction was asked for
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

// endsImplicitTransaction reports whether an implicit transaction ends with an expected reply, or behind it, unless it is in
// a block.
func (p *Pipeline) endsImplicitTransaction(at int) bool {
	switch p.expected[at].kind {
	case replyQuery, replyFunction:
		return true
	case replyExecute:
		for i := at + 1; i < len(p.expected); i++ {
			if p.expected[i].kind == replySync {
				return true
			}
		}
	}
	return false
}

// endsCycle reports whether a reply ends with a ReadyForQuery.
func (e *expectedReply) endsCycle() bool {
	return e.kind == replySync || e.kind == replyQuery || e.kind == replyFunction
}

// expectedCycles counts the ReadyForQuery that the client waits for. open: messages came whose Sync did not.
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
