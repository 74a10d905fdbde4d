package session

import "strings"

// leadingKeywordCount is how many words of a statement are looked at for its kind.
const leadingKeywordCount = 6

// leadingKeywords gives the first folded words of a statement; a literal counts as "".
func leadingKeywords(t []token) (keywords [leadingKeywordCount]string) {
	for i := 0; i < len(keywords) && i < len(t); i++ {
		if !t[i].literal {
			keywords[i] = t[i].folded
		}
	}
	return keywords
}

// classify says what a statement of text means to the session that runs it.
func classify(text string, t []token) Statement {
	keywords := leadingKeywords(t)
	switch keywords[0] {
	case "select", "values", "table":
		return classifyCalls(t, Statement{Kind: Select})
	}
	if s, ok := classifyTransaction(t, &keywords); ok {
		return s
	}
	if s, ok := classifySettings(text, t, &keywords); ok {
		return s
	}
	if s, ok := classifyNamed(t, &keywords); ok {
		return s
	}
	return classifyCalls(t, Statement{})
}

// classifyTransaction reads statements that begin, end or divide a transaction.
func classifyTransaction(t []token, keywords *[leadingKeywordCount]string) (s Statement, ok bool) {
	switch keywords[0] {
	case "begin":
		return parseBegin(t), true
	case "start":
		if keywords[1] == "transaction" {
			return parseBegin(t), true
		}
	case "commit", "end":
		if keywords[1] == "prepared" {
			return Statement{}, true
		}
		return Statement{Kind: Commit}, true
	case "abort":
		return Statement{Kind: Rollback}, true
	case "rollback":
		if keywords[1] == "prepared" {
			return Statement{}, true
		}
		return parseRollback(t), true
	case "savepoint":
		return namedStatement(Savepoint, t, 1), true
	case "release":
		if keywords[1] == "savepoint" && len(t) > 2 {
			return namedStatement(Release, t, 2), true
		}
		return namedStatement(Release, t, 1), true
	}
	return Statement{}, false
}

// classifySettings reads statements that change settings.
func classifySettings(text string, t []token, keywords *[leadingKeywordCount]string) (s Statement, ok bool) {
	switch keywords[0] {
	case "set":
		return parseSet(text, t), true
	case "reset":
		return parseReset(t), true
	case "discard":
		if keywords[1] == "all" {
			return Statement{Kind: DiscardAll}, true
		}
		return Statement{}, true
	}
	return Statement{}, false
}

// classifyNamed reads statements that make, use or drop what a session has by name, and is bound by.
func classifyNamed(t []token, keywords *[leadingKeywordCount]string) (s Statement, ok bool) {
	switch keywords[0] {
	case "prepare":
		if keywords[1] == "transaction" {
			return Statement{Kind: Commit}, true // the session's transaction ends
		}
		return Statement{Kind: MakesSticky, Cause: CausePrepare}, true
	case "execute":
		return namedStatement(Execute, t, 1), true
	case "deallocate":
		return parseDeallocate(t, keywords), true
	case "listen":
		return Statement{Kind: MakesSticky, Cause: CauseListen}, true
	case "load":
		return Statement{Kind: MakesSticky, Cause: CauseLoad}, true
	case "create":
		for i := 1; i < 4; i++ {
			if keywords[i] == "temp" || keywords[i] == "temporary" {
				return Statement{Kind: MakesSticky, Cause: CauseTemporary}, true
			}
		}
	case "declare":
		if declaresCursorWithHold(t) {
			return Statement{Kind: MakesSticky, Cause: CauseCursor}, true
		}
	}
	return Statement{}, false
}

// declaresCursorWithHold reports whether a DECLARE has WITH HOLD, in front of its query.
func declaresCursorWithHold(t []token) bool {
	for i := 2; i+1 < len(t); i++ {
		if t[i].folded == "with" && t[i+1].folded == "hold" {
			return true
		}
		if t[i].folded == "for" {
			break
		}
	}
	return false
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

// isLocalConfig reports whether the arguments of set_config end in true: the setting ends with the transaction.
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

// parseRollback reads ROLLBACK, and ROLLBACK TO a savepoint.
func parseRollback(t []token) Statement {
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
}

func parseDeallocate(t []token, keywords *[leadingKeywordCount]string) Statement {
	i := 1
	if keywords[1] == "prepare" && len(t) > 2 {
		i = 2
	}
	if i < len(t) && t[i].folded == "all" && t[i].text != `"all"` {
		return Statement{Kind: DeallocateAll}
	}
	return namedStatement(Deallocate, t, i)
}
