package session

// StatementKind is what a statement means to the session that runs it.
type StatementKind uint8

// The kinds of statements. What is none of them leaves the session as it was.
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
	MakesSticky // Cause says why the session can't leave its connection from here on
)

// Statement is one statement of a query string.
type Statement struct {
	Kind     StatementKind
	Name     string      // of a setting (folded), a savepoint or a prepared statement
	Render   string      // Set: the text that makes the same setting again on another connection
	ReadOnly bool        // Begin: READ ONLY was asked for
	Writable bool        // Begin: READ WRITE was asked for
	Cause    StickyCause // Pins
	from, to int         // Execute: where the name stands in the query string
}

// StickyCause is why a session can't be moved to another server connection.
type StickyCause string

// The causes; each is counted by itself.
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

// unreadable is a statement of which nobody knows what it does to the session.
func unreadable() Statement { return Statement{Kind: MakesSticky, Cause: CauseUnreadable} }

// Query is a query string, read.
type Query struct {
	Statements []Statement
	Comment    string // what stands between the first /* and */, if the query begins with it
}

// EndsBlock reports whether a query begins with the end of a block.
func (q *Query) EndsBlock() bool {
	return len(q.Statements) > 0 && (q.Statements[0].Kind == Commit || q.Statements[0].Kind == Rollback)
}

// MayFollowError reports whether a query may run in a failed block: it ends the block, heals it, or is empty.
func (q *Query) MayFollowError() bool {
	return len(q.Statements) == 0 || q.EndsBlock() || q.Statements[0].Kind == RollbackTo
}

// Scan reads a query string. It never fails: a text that can't be read has a statement that makes the session sticky, since
// nobody knows what it does.
func Scan(text string) Query {
	var q Query
	s := scanner{text: text}
	s.readLeadingComment(&q)
	for {
		tokens, more, ok := s.nextStatement()
		if !ok {
			q.Statements = append(q.Statements, unreadable())
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
