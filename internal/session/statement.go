package session

// StatementKind is the effect of a statement on the session that runs it.
type StatementKind uint8

// The kinds of statements. Other and Select do not change the session.
const (
	Other StatementKind = iota
	Select
	Begin
	Commit
	Rollback
	Savepoint
	RollbackTo
	Release
	Set
	SetLocal
	Reset
	ResetAll
	DiscardAll
	Deallocate
	DeallocateAll
	Execute
	// MakesSticky binds the session to its connection from then on. Statement.Cause says why.
	MakesSticky
)

// Statement is one statement of a query string.
type Statement struct {
	Kind StatementKind
	// Name is the name of a setting (in lower case), a savepoint or a prepared statement.
	Name string
	// Rendering is, for Set, the SQL text that sets the same value on another connection.
	Rendering string
	// ReadOnly is set for a Begin with READ ONLY.
	ReadOnly bool
	// Writable is set for a Begin with READ WRITE.
	Writable bool
	// Cause is, for MakesSticky, why the session is bound to its connection.
	Cause StickyCause
	// from and to are, for Execute and Deallocate, the byte offsets of the name in the query string.
	from, to int
}

// StickyCause is why a session cannot be moved to another server connection.
type StickyCause string

// The causes. Each is counted separately.
const (
	CauseTemporary  StickyCause = "temporary_table"
	CauseListen     StickyCause = "listen"
	CauseLock       StickyCause = "advisory_lock"
	CauseCursor     StickyCause = "held_cursor"
	CausePrepare    StickyCause = "sql_prepare"
	CauseLoad       StickyCause = "load"
	CauseUnreadable StickyCause = "unreadable"
)

// Causes lists every cause, in the order in which they are reported.
var Causes = []StickyCause{CauseTemporary, CauseListen, CauseLock, CauseCursor, CausePrepare, CauseLoad, CauseUnreadable}

// unreadable returns a statement whose effect on the session is unknown.
func unreadable() Statement { return Statement{Kind: MakesSticky, Cause: CauseUnreadable} }

// Query is a parsed query string.
type Query struct {
	Statements []Statement
	// Comment is the text of the comment /* ... */ with which the query begins, if it does.
	Comment string
	// TooMany is set if the query has more than MaxStatements statements, of which only so many were parsed.
	TooMany bool
}

// EndsBlock reports whether the first statement of a query is a COMMIT or ROLLBACK.
func (q *Query) EndsBlock() bool {
	return len(q.Statements) > 0 && (q.Statements[0].Kind == Commit || q.Statements[0].Kind == Rollback)
}

// ChangesSessionAlone reports whether a query outside of a block reads and writes nothing but the state of the session, on whatever
// host that is.
func (q *Query) ChangesSessionAlone() bool {
	for i := range q.Statements {
		switch q.Statements[i].Kind {
		case Set, SetLocal, Reset, ResetAll, DiscardAll, Deallocate, DeallocateAll, Commit, Rollback:
		default:
			return false
		}
	}
	return true
}

// MayRunInFailedBlock reports whether a query may run in a failed block: it ends the block, rolls back to a
// savepoint, or is empty.
func (q *Query) MayRunInFailedBlock() bool {
	return len(q.Statements) == 0 || q.EndsBlock() || q.Statements[0].Kind == RollbackTo
}

// ParseQuery parses a query string. It never fails: for a text that it cannot parse, it returns a statement that
// makes the session sticky, since the effect of the text is unknown. The result does not hold the text.
func ParseQuery(text string) Query {
	q := parseQuery(text)
	q.detach()
	return q
}

// parseQuery is ParseQuery with a result that refers to the text.
func parseQuery(text string) Query {
	var q Query
	s := scanner{text: text}
	s.readLeadingComment(&q)
	for {
		tokens, more, ok := s.nextStatement()
		if !ok {
			q.Statements = append(q.Statements, unreadable())
			return q
		}
		if len(tokens) > 0 && len(q.Statements) == MaxStatements {
			q.TooMany = true
			return q
		}
		if len(tokens) > 0 {
			q.Statements = append(q.Statements, classify(text, tokens))
		}
		if !more {
			return q
		}
	}
}
