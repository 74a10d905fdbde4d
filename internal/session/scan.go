// Package session decides what a client's session is and how it is carried from one server connection to the next:
// which settings it has, which statements it prepared, which transaction it is in, where that transaction may run and
// what it means when a connection is lost. It does no I/O and reads no clock; a front feeds it what was sent and what
// came back, and the server's tags and status are the truth.
package session

import (
	"strings"
)

// Kind is what a statement means to the session that runs it.
type Kind uint8

// The kinds. What is none of them leaves the session as it was.
const (
	Other Kind = iota
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
	Pins // Cause says why the session can't leave its connection from here on
)

// Statement is one statement of a query string.
type Statement struct {
	Kind     Kind
	Name     string // of a setting (folded), a savepoint or a prepared statement
	Render   string // Set: the text that makes the same setting again on another connection
	ReadOnly bool   // Begin: READ ONLY was asked for
	Writable bool   // Begin: READ WRITE was asked for
	Cause    Cause  // Pins
	from, to int    // Execute: where the name stands in the query string
}

// Cause is why a session can't be moved to another server connection.
type Cause string

// The causes; each is counted by itself.
const (
	CauseTemporary  Cause = "temporary_table"
	CauseListen     Cause = "listen"
	CauseLock       Cause = "advisory_lock"
	CauseCursor     Cause = "held_cursor"
	CausePrepare    Cause = "sql_prepare"
	CauseLoad       Cause = "load"
	CauseUnreadable Cause = "unreadable"
)

// Causes lists every cause, in the order in which they are reported.
var Causes = []Cause{CauseTemporary, CauseListen, CauseLock, CauseCursor, CausePrepare, CauseLoad, CauseUnreadable}

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
	word       string // folded to lower case; of a quoted identifier, what it names
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
	s.leadingComment(&q)
	for {
		tokens, more, ok := s.statement()
		if !ok {
			q.Statements = append(q.Statements, Statement{Kind: Pins, Cause: CauseUnreadable})
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
	text string
	at   int
}

func (s *scanner) leadingComment(q *Query) {
	t := strings.TrimLeft(s.text, " \t\r\n")
	if body, ok := strings.CutPrefix(t, "/*"); ok {
		if end := strings.Index(body, "*/"); end >= 0 {
			q.Comment = body[:end]
		}
	}
}

// statement returns the tokens up to the next semicolon. more: the text goes on behind it.
func (s *scanner) statement() (tokens []token, more, ok bool) {
	for s.at < len(s.text) {
		c := s.text[s.at]
		from := s.at
		switch {
		case c == ';':
			s.at++
			return tokens, true, true
		case c <= ' ':
			s.at++
			continue
		case strings.HasPrefix(s.text[s.at:], "--"):
			if n := strings.IndexByte(s.text[s.at:], '\n'); n >= 0 {
				s.at += n
			} else {
				s.at = len(s.text)
			}
			continue
		case strings.HasPrefix(s.text[s.at:], "/*"):
			if !s.comment() {
				return nil, false, false
			}
			continue
		case c == '\'':
			if !s.quoted('\'', false) {
				return nil, false, false
			}
			tokens = s.add(tokens, token{from: from, literal: true})
			continue
		case c == '"':
			if !s.quoted('"', false) {
				return nil, false, false
			}
			name := strings.ReplaceAll(s.text[from+1:s.at-1], `""`, `"`)
			tokens = s.add(tokens, token{from: from, word: name, identifier: true})
			continue
		case c == '$':
			if s.dollar() {
				tokens = s.add(tokens, token{from: from, literal: true})
				continue
			}
			s.at++
			for s.at < len(s.text) && s.text[s.at] >= '0' && s.text[s.at] <= '9' {
				s.at++
			}
		case isWord(c):
			for s.at < len(s.text) && (isWord(s.text[s.at]) || s.text[s.at] == '$') {
				s.at++
			}
			word := strings.ToLower(s.text[from:s.at])
			if s.at < len(s.text) && s.text[s.at] == '\'' && (word == "e" || word == "b" || word == "x" || word == "n") {
				if !s.quoted('\'', word == "e") {
					return nil, false, false
				}
				tokens = s.add(tokens, token{from: from, literal: true})
				continue
			}
			if word == "u" && strings.HasPrefix(s.text[s.at:], "&'") || word == "u" && strings.HasPrefix(s.text[s.at:], `&"`) {
				s.at++
				literal := s.text[s.at] == '\''
				if !s.quoted(s.text[s.at], false) {
					return nil, false, false
				}
				tokens = s.add(tokens, token{from: from, literal: literal, word: s.text[from:s.at], identifier: !literal})
				continue
			}
			tokens = s.add(tokens, token{from: from, word: word, identifier: true})
			continue
		default:
			s.at++
		}
		tokens = s.add(tokens, token{from: from, word: s.text[from:s.at]})
	}
	return tokens, false, true
}

func (s *scanner) add(tokens []token, t token) []token {
	t.to = s.at
	t.text = s.text[t.from:t.to]
	if len(tokens) >= maxTokens {
		tokens[maxTokens-1] = t // the end of a statement counts, and where it stands
		return tokens
	}
	return append(tokens, t)
}

// isWord: letters of other scripts are parts of words too.
func isWord(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c >= 0x80
}

// comment passes over a comment, which may hold others.
func (s *scanner) comment() bool {
	depth := 0
	for s.at+1 < len(s.text) {
		switch s.text[s.at : s.at+2] {
		case "/*":
			depth++
			s.at += 2
		case "*/":
			depth--
			s.at += 2
			if depth == 0 {
				return true
			}
		default:
			s.at++
		}
	}
	return false
}

// quoted passes over what stands in quotes; a doubled quote stands for one, a backslash escapes in E'...'.
func (s *scanner) quoted(quote byte, escapes bool) bool {
	for s.at++; s.at < len(s.text); s.at++ {
		switch c := s.text[s.at]; {
		case escapes && c == '\\':
			s.at++
		case c == quote && s.at+1 < len(s.text) && s.text[s.at+1] == quote:
			s.at++
		case c == quote:
			s.at++
			return true
		}
	}
	return false
}

// dollar passes over $tag$...$tag$; a text that is no such literal is left where it is.
func (s *scanner) dollar() bool {
	end := s.at + 1
	for end < len(s.text) && isWord(s.text[end]) {
		end++
	}
	if end >= len(s.text) || s.text[end] != '$' || end > s.at+1 && s.text[s.at+1] >= '0' && s.text[s.at+1] <= '9' {
		return false
	}
	tag := s.text[s.at : end+1]
	n := strings.Index(s.text[end+1:], tag)
	if n < 0 {
		return false
	}
	s.at = end + 1 + n + len(tag)
	return true
}

// words gives the first folded words of a statement; a literal counts as "".
func words(t []token) (w [6]string) {
	for i := 0; i < len(w) && i < len(t); i++ {
		if !t[i].literal {
			w[i] = t[i].word
		}
	}
	return w
}

func classify(text string, t []token) Statement {
	w := words(t)
	switch w[0] {
	case "select", "values", "table":
		return called(t, Statement{Kind: Select})
	case "with":
		return called(t, Statement{})
	case "begin":
		return begin(t)
	case "start":
		if w[1] == "transaction" {
			return begin(t)
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
			if t[i].word == "to" && !t[i].literal {
				i++
				if i < len(t)-1 && t[i].word == "savepoint" {
					i++
				}
				return named(RollbackTo, t, i)
			}
		}
		return Statement{Kind: Rollback}
	case "savepoint":
		return named(Savepoint, t, 1)
	case "release":
		if w[1] == "savepoint" && len(t) > 2 {
			return named(Release, t, 2)
		}
		return named(Release, t, 1)
	case "set":
		return set(text, t)
	case "reset":
		return reset(t)
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
		return Statement{Kind: Pins, Cause: CausePrepare}
	case "execute":
		return named(Execute, t, 1)
	case "deallocate":
		i := 1
		if w[1] == "prepare" && len(t) > 2 {
			i = 2
		}
		if i < len(t) && t[i].word == "all" && t[i].text != `"all"` {
			return Statement{Kind: DeallocateAll}
		}
		return named(Deallocate, t, i)
	case "listen":
		return Statement{Kind: Pins, Cause: CauseListen}
	case "load":
		return Statement{Kind: Pins, Cause: CauseLoad}
	case "create":
		for i := 1; i < 4; i++ {
			if w[i] == "temp" || w[i] == "temporary" {
				return Statement{Kind: Pins, Cause: CauseTemporary}
			}
		}
	case "declare":
		for i := 2; i+1 < len(t); i++ {
			if t[i].word == "with" && t[i+1].word == "hold" {
				return Statement{Kind: Pins, Cause: CauseCursor}
			}
			if t[i].word == "for" {
				break
			}
		}
	}
	return called(t, Statement{})
}

// called looks for functions that change the session from inside another statement.
func called(t []token, s Statement) Statement {
	for i := range t {
		if t[i].literal || i+1 >= len(t) {
			continue
		}
		next := t[i+1].text
		switch w := t[i].word; {
		case next == "(" && w == "set_config":
			if !localConfig(t[i+2:]) {
				return Statement{Kind: Pins, Cause: CauseUnreadable}
			}
		case next == "(" && strings.HasPrefix(w, "pg_") && strings.Contains(w, "advisory_lock") && !strings.Contains(w, "xact"):
			return Statement{Kind: Pins, Cause: CauseLock}
		case w == "into" && (t[i+1].word == "temp" || t[i+1].word == "temporary") && s.Kind == Select:
			return Statement{Kind: Pins, Cause: CauseTemporary}
		case w == "into" || w == "for" && (t[i+1].word == "update" || t[i+1].word == "share" || t[i+1].word == "no" || t[i+1].word == "key"):
			s.Kind = Other // it writes, or locks, which a replica does not do
		}
	}
	return s
}

// localConfig says whether the arguments of set_config end in true: the setting ends with the transaction.
func localConfig(t []token) bool {
	depth := 1
	for i := range t {
		switch t[i].text {
		case "(":
			depth++
		case ")":
			if depth--; depth == 0 {
				return i > 0 && t[i-1].word == "true"
			}
		}
	}
	return false
}

func named(k Kind, t []token, i int) Statement {
	if i >= len(t) || !t[i].identifier {
		return Statement{Kind: Pins, Cause: CauseUnreadable}
	}
	return Statement{Kind: k, Name: t[i].word, from: t[i].from, to: t[i].to}
}

func begin(t []token) Statement {
	s := Statement{Kind: Begin}
	for i := 1; i+1 < len(t); i++ {
		if t[i].word == "read" {
			s.ReadOnly, s.Writable = t[i+1].word == "only", t[i+1].word == "write"
		}
	}
	return s
}

func reset(t []token) Statement {
	name, next := settingName(t, 1)
	switch {
	case name == "" || next < len(t):
		return Statement{Kind: Pins, Cause: CauseUnreadable}
	case name == "all":
		return Statement{Kind: ResetAll}
	}
	return Statement{Kind: Reset, Name: name}
}

// settingName reads the name of a setting, which may have a prefix, and the forms that have words of their own.
func settingName(t []token, i int) (name string, next int) {
	if i >= len(t) || !t[i].identifier {
		return "", i
	}
	switch {
	case t[i].word == "time" && i+1 < len(t) && t[i+1].word == "zone":
		return "timezone", i + 2
	case t[i].word == "session" && i+1 < len(t) && t[i+1].word == "authorization":
		return "session_authorization", i + 2
	}
	name = strings.ToLower(t[i].word)
	for i++; i+1 < len(t) && t[i].text == "." && t[i+1].identifier; i += 2 {
		name += "." + strings.ToLower(t[i+1].word)
	}
	return name, i
}

// set reads SET in all of its forms. What is kept is the client's own text, which a server has taken once.
func set(text string, t []token) Statement {
	i, kind := 1, Set
	unreadable := Statement{Kind: Pins, Cause: CauseUnreadable}
	if len(t) < 3 {
		return unreadable
	}
	switch t[1].word {
	case "local":
		i, kind = 2, SetLocal
	case "session":
		switch t[2].word {
		case "characteristics":
			return characteristics(t)
		case "authorization":
		default:
			i = 2
		}
	case "transaction", "constraints":
		return Statement{Kind: SetLocal} // of this transaction alone
	}
	own := i < len(t) && (t[i].word == "time" || t[i].word == "role" || t[i].word == "names" || t[i].word == "session")
	name, next := settingName(t, i)
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
	if t[next].word == "to" || t[next].text == "=" {
		value = next + 1
	} else if !own {
		return unreadable
	}
	if value >= len(t) || t[value].word == "from" && !t[value].literal {
		return unreadable
	}
	if kind == SetLocal {
		return Statement{Kind: SetLocal, Name: name}
	}
	if last := t[value]; value == len(t)-1 && !last.literal {
		if last.word == "default" && last.text != `"default"` || last.text != `"none"` && last.word == "none" && name == "role" ||
			name == "timezone" && last.word == "local" {
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

// characteristics reads SET SESSION CHARACTERISTICS AS TRANSACTION, which sets the defaults of later transactions.
func characteristics(t []token) Statement {
	if len(t) == 7 && t[5].word == "read" {
		switch t[6].word {
		case "only":
			return Statement{Kind: Set, Name: "default_transaction_read_only", Render: "SET default_transaction_read_only TO on"}
		case "write":
			return Statement{Kind: Set, Name: "default_transaction_read_only", Render: "SET default_transaction_read_only TO off"}
		}
	}
	return Statement{Kind: Pins, Cause: CauseUnreadable}
}
