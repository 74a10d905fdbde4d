// Package session decides what a client's session is and how it is carried from one server connection to the next:
// which settings it has, which statements it prepared, which transaction it is in, where that transaction may run and
// what it means when a connection is lost. It does no I/O and reads no clock; a front feeds it what was sent and what
// came back, and the server's tags and status are the truth.
package session

import (
	"strings"
)

// StatementKind is what a statement means to the session that runs it.
type StatementKind uint8

// The kinds. What is none of them leaves the session as it was.
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

// Query is a query string, read.
type Query struct {
	Statements []Statement
	Comment    string // what stands between the first /* and */, if the query begins with it
}

// EndsBlock says whether a query begins with the end of a block.
func (q *Query) EndsBlock() bool {
	return len(q.Statements) > 0 && (q.Statements[0].Kind == Commit || q.Statements[0].Kind == Rollback)
}

// MayFollowError says whether a query may run in a failed block: it ends the block, heals it, or is empty.
func (q *Query) MayFollowError() bool {
	return len(q.Statements) == 0 || q.EndsBlock() || q.Statements[0].Kind == RollbackTo
}

// token is a word, a quoted identifier, a literal or a single character of a statement.
type token struct {
	text       string // as it stands
	folded     string // folded to lower case; of a quoted identifier, what it names
	from, to   int
	literal    bool
	identifier bool
}

// maxTokens bounds how far into a statement the scanner looks for what it knows. Data behind that is no concern of the
// session; a statement that hides a call there is longer than any that people write.
const maxTokens = 4096

// Scan reads a query string. It never fails: a text that can't be read has a statement that pins, since nobody knows
// what it does to the session.
func Scan(text string) Query {
	var q Query
	s := scanner{text: text}
	s.readLeadingComment(&q)
	for {
		tokens, more, ok := s.nextStatement()
		if !ok {
			q.Statements = append(q.Statements, Statement{Kind: MakesSticky, Cause: CauseUnreadable})
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

type scanner struct {
	text     string
	position int
}

func (s *scanner) readLeadingComment(q *Query) {
	t := strings.TrimLeft(s.text, " \t\r\n")
	if body, ok := strings.CutPrefix(t, "/*"); ok {
		if end := strings.Index(body, "*/"); end >= 0 {
			q.Comment = body[:end]
		}
	}
}

// nextStatement returns the tokens up to the next semicolon. more: the text goes on behind it.
func (s *scanner) nextStatement() (tokens []token, more, ok bool) {
	for s.position < len(s.text) {
		c := s.text[s.position]
		from := s.position
		switch {
		case c == ';':
			s.position++
			return tokens, true, true
		case c <= ' ':
			s.position++
			continue
		case strings.HasPrefix(s.text[s.position:], "--"):
			if n := strings.IndexByte(s.text[s.position:], '\n'); n >= 0 {
				s.position += n
			} else {
				s.position = len(s.text)
			}
			continue
		case strings.HasPrefix(s.text[s.position:], "/*"):
			if !s.skipComment() {
				return nil, false, false
			}
			continue
		case c == '\'':
			if !s.skipQuoted('\'', false) {
				return nil, false, false
			}
			tokens = s.appendToken(tokens, token{from: from, literal: true})
			continue
		case c == '"':
			if !s.skipQuoted('"', false) {
				return nil, false, false
			}
			name := strings.ReplaceAll(s.text[from+1:s.position-1], `""`, `"`)
			tokens = s.appendToken(tokens, token{from: from, folded: name, identifier: true})
			continue
		case c == '$':
			if s.skipDollarQuoted() {
				tokens = s.appendToken(tokens, token{from: from, literal: true})
				continue
			}
			s.position++
			for s.position < len(s.text) && s.text[s.position] >= '0' && s.text[s.position] <= '9' {
				s.position++
			}
		case isWordByte(c):
			for s.position < len(s.text) && (isWordByte(s.text[s.position]) || s.text[s.position] == '$') {
				s.position++
			}
			word := strings.ToLower(s.text[from:s.position])
			if s.position < len(s.text) && s.text[s.position] == '\'' && (word == "e" || word == "b" || word == "x" || word == "n") {
				if !s.skipQuoted('\'', word == "e") {
					return nil, false, false
				}
				tokens = s.appendToken(tokens, token{from: from, literal: true})
				continue
			}
			if word == "u" && strings.HasPrefix(s.text[s.position:], "&'") || word == "u" && strings.HasPrefix(s.text[s.position:], `&"`) {
				s.position++
				literal := s.text[s.position] == '\''
				if !s.skipQuoted(s.text[s.position], false) {
					return nil, false, false
				}
				tokens = s.appendToken(tokens, token{from: from, literal: literal, folded: s.text[from:s.position], identifier: !literal})
				continue
			}
			tokens = s.appendToken(tokens, token{from: from, folded: word, identifier: true})
			continue
		default:
			s.position++
		}
		tokens = s.appendToken(tokens, token{from: from, folded: s.text[from:s.position]})
	}
	return tokens, false, true
}

func (s *scanner) appendToken(tokens []token, t token) []token {
	t.to = s.position
	t.text = s.text[t.from:t.to]
	if len(tokens) >= maxTokens {
		tokens[maxTokens-1] = t // the end of a statement counts, and where it stands
		return tokens
	}
	return append(tokens, t)
}

// isWordByte: letters of other scripts are parts of words too.
func isWordByte(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c >= 0x80
}

// skipComment passes over a comment, which may hold others.
func (s *scanner) skipComment() bool {
	depth := 0
	for s.position+1 < len(s.text) {
		switch s.text[s.position : s.position+2] {
		case "/*":
			depth++
			s.position += 2
		case "*/":
			depth--
			s.position += 2
			if depth == 0 {
				return true
			}
		default:
			s.position++
		}
	}
	return false
}

// skipQuoted passes over what stands in quotes; a doubled quote stands for one, a backslash escapes in E'...'.
func (s *scanner) skipQuoted(quote byte, escapes bool) bool {
	for s.position++; s.position < len(s.text); s.position++ {
		switch c := s.text[s.position]; {
		case escapes && c == '\\':
			s.position++
		case c == quote && s.position+1 < len(s.text) && s.text[s.position+1] == quote:
			s.position++
		case c == quote:
			s.position++
			return true
		}
	}
	return false
}

// skipDollarQuoted passes over $tag$...$tag$; a text that is no such literal is left where it is.
func (s *scanner) skipDollarQuoted() bool {
	end := s.position + 1
	for end < len(s.text) && isWordByte(s.text[end]) {
		end++
	}
	if end >= len(s.text) || s.text[end] != '$' || end > s.position+1 && s.text[s.position+1] >= '0' && s.text[s.position+1] <= '9' {
		return false
	}
	tag := s.text[s.position : end+1]
	n := strings.Index(s.text[end+1:], tag)
	if n < 0 {
		return false
	}
	s.position = end + 1 + n + len(tag)
	return true
}

// leadingWords gives the first folded words of a statement; a literal counts as "".
func leadingWords(t []token) (w [6]string) {
	for i := 0; i < len(w) && i < len(t); i++ {
		if !t[i].literal {
			w[i] = t[i].folded
		}
	}
	return w
}

func classify(text string, t []token) Statement {
	w := leadingWords(t)
	switch w[0] {
	case "select", "values", "table":
		return classifyCalls(t, Statement{Kind: Select})
	case "with":
		return classifyCalls(t, Statement{})
	case "begin":
		return parseBegin(t)
	case "start":
		if w[1] == "transaction" {
			return parseBegin(t)
		}
	case "commit", "end":
		if w[1] == "prepared" {
			return Statement{}
		}
		return Statement{Kind: Commit}
	case "abort":
		return Statement{Kind: Rollback}
	case "rollback":
		if w[1] == "prepared" {
			return Statement{}
		}
		for i := 1; i < len(t) && i < 4; i++ {
			if t[i].folded == "to" && !t[i].literal {
				i++
				if i < len(t)-1 && t[i].folded == "savepoint" {
					i++
				}
				return namedStatement(RollbackTo, t, i)
			}
		}
		return Statement{Kind: Rollback}
	case "savepoint":
		return namedStatement(Savepoint, t, 1)
	case "release":
		if w[1] == "savepoint" && len(t) > 2 {
			return namedStatement(Release, t, 2)
		}
		return namedStatement(Release, t, 1)
	case "set":
		return parseSet(text, t)
	case "reset":
		return parseReset(t)
	case "discard":
		switch w[1] {
		case "all":
			return Statement{Kind: DiscardAll}
		case "temp", "temporary":
			return Statement{}
		}
		return Statement{}
	case "prepare":
		if w[1] == "transaction" {
			return Statement{Kind: Commit} // the session's transaction ends
		}
		return Statement{Kind: MakesSticky, Cause: CausePrepare}
	case "execute":
		return namedStatement(Execute, t, 1)
	case "deallocate":
		i := 1
		if w[1] == "prepare" && len(t) > 2 {
			i = 2
		}
		if i < len(t) && t[i].folded == "all" && t[i].text != `"all"` {
			return Statement{Kind: DeallocateAll}
		}
		return namedStatement(Deallocate, t, i)
	case "listen":
		return Statement{Kind: MakesSticky, Cause: CauseListen}
	case "load":
		return Statement{Kind: MakesSticky, Cause: CauseLoad}
	case "create":
		for i := 1; i < 4; i++ {
			if w[i] == "temp" || w[i] == "temporary" {
				return Statement{Kind: MakesSticky, Cause: CauseTemporary}
			}
		}
	case "declare":
		for i := 2; i+1 < len(t); i++ {
			if t[i].folded == "with" && t[i+1].folded == "hold" {
				return Statement{Kind: MakesSticky, Cause: CauseCursor}
			}
			if t[i].folded == "for" {
				break
			}
		}
	}
	return classifyCalls(t, Statement{})
}

// classifyCalls looks for functions that change the session from inside another statement.
func classifyCalls(t []token, s Statement) Statement {
	for i := range t {
		if t[i].literal || i+1 >= len(t) {
			continue
		}
		next := t[i+1].text
		switch w := t[i].folded; {
		case next == "(" && w == "set_config":
			if !isLocalConfig(t[i+2:]) {
				return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
			}
		case next == "(" && strings.HasPrefix(w, "pg_") && strings.Contains(w, "advisory_lock") && !strings.Contains(w, "xact"):
			return Statement{Kind: MakesSticky, Cause: CauseLock}
		case w == "into" && (t[i+1].folded == "temp" || t[i+1].folded == "temporary") && s.Kind == Select:
			return Statement{Kind: MakesSticky, Cause: CauseTemporary}
		case w == "into" || w == "for" && (t[i+1].folded == "update" || t[i+1].folded == "share" || t[i+1].folded == "no" || t[i+1].folded == "key"):
			s.Kind = Other // it writes, or locks, which a replica does not do
		}
	}
	return s
}

// isLocalConfig says whether the arguments of set_config end in true: the setting ends with the transaction.
func isLocalConfig(t []token) bool {
	depth := 1
	for i := range t {
		switch t[i].text {
		case "(":
			depth++
		case ")":
			if depth--; depth == 0 {
				return i > 0 && t[i-1].folded == "true"
			}
		}
	}
	return false
}

func namedStatement(k StatementKind, t []token, i int) Statement {
	if i >= len(t) || !t[i].identifier {
		return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
	}
	return Statement{Kind: k, Name: t[i].folded, from: t[i].from, to: t[i].to}
}

func parseBegin(t []token) Statement {
	s := Statement{Kind: Begin}
	for i := 1; i+1 < len(t); i++ {
		if t[i].folded == "read" {
			s.ReadOnly, s.Writable = t[i+1].folded == "only", t[i+1].folded == "write"
		}
	}
	return s
}

func parseReset(t []token) Statement {
	name, next := parseSettingName(t, 1)
	switch {
	case name == "" || next < len(t):
		return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
	case name == "all":
		return Statement{Kind: ResetAll}
	}
	return Statement{Kind: Reset, Name: name}
}

// parseSettingName reads the name of a setting, which may have a prefix, and the forms that have words of their own.
func parseSettingName(t []token, i int) (name string, next int) {
	if i >= len(t) || !t[i].identifier {
		return "", i
	}
	switch {
	case t[i].folded == "time" && i+1 < len(t) && t[i+1].folded == "zone":
		return "timezone", i + 2
	case t[i].folded == "session" && i+1 < len(t) && t[i+1].folded == "authorization":
		return "session_authorization", i + 2
	}
	name = strings.ToLower(t[i].folded)
	for i++; i+1 < len(t) && t[i].text == "." && t[i+1].identifier; i += 2 {
		name += "." + strings.ToLower(t[i+1].folded)
	}
	return name, i
}

// parseSet reads SET in all of its forms. What is kept is the client's own text, which a server has taken once.
func parseSet(text string, t []token) Statement {
	i, kind := 1, Set
	unreadable := Statement{Kind: MakesSticky, Cause: CauseUnreadable}
	if len(t) < 3 {
		return unreadable
	}
	switch t[1].folded {
	case "local":
		i, kind = 2, SetLocal
	case "session":
		switch t[2].folded {
		case "characteristics":
			return parseCharacteristics(t)
		case "authorization":
		default:
			i = 2
		}
	case "transaction", "constraints":
		return Statement{Kind: SetLocal} // of this transaction alone
	}
	own := i < len(t) && (t[i].folded == "time" || t[i].folded == "role" || t[i].folded == "names" || t[i].folded == "session")
	name, next := parseSettingName(t, i)
	switch name {
	case "names":
		name = "client_encoding"
	case "xml":
		return unreadable
	}
	if name == "" || next >= len(t) {
		return unreadable
	}
	value := next
	if t[next].folded == "to" || t[next].text == "=" {
		value = next + 1
	} else if !own {
		return unreadable
	}
	if value >= len(t) || t[value].folded == "from" && !t[value].literal {
		return unreadable
	}
	if kind == SetLocal {
		return Statement{Kind: SetLocal, Name: name}
	}
	if last := t[value]; value == len(t)-1 && !last.literal {
		if last.folded == "default" && last.text != `"default"` || last.text != `"none"` && last.folded == "none" && name == "role" ||
			name == "timezone" && last.folded == "local" {
			return Statement{Kind: Reset, Name: name}
		}
	}
	head, join := name, " TO "
	if own {
		head, join = text[t[i].from:t[next-1].to], " "
		if value > next {
			join = " TO "
		}
	} else {
		head = text[t[i].from:t[next-1].to]
	}
	return Statement{Kind: Set, Name: name, Render: "SET " + head + join + text[t[value].from:t[len(t)-1].to]}
}

// parseCharacteristics reads SET SESSION CHARACTERISTICS AS TRANSACTION, which sets the defaults of later transactions.
func parseCharacteristics(t []token) Statement {
	if len(t) == 7 && t[5].folded == "read" {
		switch t[6].folded {
		case "only":
			return Statement{Kind: Set, Name: "default_transaction_read_only", Render: "SET default_transaction_read_only TO on"}
		case "write":
			return Statement{Kind: Set, Name: "default_transaction_read_only", Render: "SET default_transaction_read_only TO off"}
		}
	}
	return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
}
