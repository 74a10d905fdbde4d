package session

import "strings"

// leadingKeywordCount is the number of leading words of a statement that determine its kind.
const leadingKeywordCount = 6

// leadingKeywords returns the first words of a statement, folded to lower case. A literal is returned as "".
func leadingKeywords(tokens []token) (keywords [leadingKeywordCount]string) {
	for i := 0; i < len(keywords) && i < len(tokens); i++ {
		if !tokens[i].literal {
			keywords[i] = tokens[i].folded
		}
	}
	return keywords
}

// classify determines the effect of a statement on the session that runs it. tokens are the statement's
// tokens in text.
func classify(text string, tokens []token) Statement {
	keywords := leadingKeywords(tokens)
	switch keywords[0] {
	case "select", "values", "table":
		return classifyCalls(tokens, Statement{Kind: Select})
	}
	if s, ok := classifyTransaction(tokens, &keywords); ok {
		return s
	}
	if s, ok := classifySettings(text, tokens, &keywords); ok {
		return s
	}
	if s, ok := classifySessionObjects(tokens, &keywords); ok {
		return s
	}
	return classifyCalls(tokens, Statement{})
}

// classifyTransaction classifies statements that begin or end a transaction or that use savepoints.
func classifyTransaction(tokens []token, keywords *[leadingKeywordCount]string) (s Statement, ok bool) {
	switch keywords[0] {
	case "begin":
		return parseBegin(tokens), true
	case "start":
		if keywords[1] == "transaction" {
			return parseBegin(tokens), true
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
		return parseRollback(tokens), true
	case "savepoint":
		return namedStatement(Savepoint, tokens, 1), true
	case "release":
		if keywords[1] == "savepoint" && len(tokens) > 2 {
			return namedStatement(Release, tokens, 2), true
		}
		return namedStatement(Release, tokens, 1), true
	}
	return Statement{}, false
}

// classifySettings classifies statements that change settings.
func classifySettings(text string, tokens []token, keywords *[leadingKeywordCount]string) (s Statement, ok bool) {
	switch keywords[0] {
	case "set":
		return parseSet(text, tokens), true
	case "reset":
		return parseReset(tokens), true
	case "discard":
		if keywords[1] == "all" {
			return Statement{Kind: DiscardAll}, true
		}
		return Statement{}, true
	}
	return Statement{}, false
}

// classifySessionObjects classifies statements that create, use or drop named objects of a session, such as
// prepared statements, and statements that bind the session to its connection.
func classifySessionObjects(tokens []token, keywords *[leadingKeywordCount]string) (s Statement, ok bool) {
	switch keywords[0] {
	case "prepare":
		if keywords[1] == "transaction" {
			return Statement{Kind: Commit}, true // it ends the session's transaction, as COMMIT does
		}
		return Statement{Kind: MakesSticky, Cause: CausePrepare}, true
	case "execute":
		return namedStatement(Execute, tokens, 1), true
	case "deallocate":
		return parseDeallocate(tokens, keywords), true
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
		if declaresCursorWithHold(tokens) {
			return Statement{Kind: MakesSticky, Cause: CauseCursor}, true
		}
	}
	return Statement{}, false
}

// declaresCursorWithHold reports whether a DECLARE has WITH HOLD before its query.
func declaresCursorWithHold(tokens []token) bool {
	for i := 2; i+1 < len(tokens); i++ {
		if tokens[i].folded == "with" && tokens[i+1].folded == "hold" {
			return true
		}
		if tokens[i].folded == "for" {
			break
		}
	}
	return false
}

// classifyCalls looks inside a statement for function calls and clauses that change the session, and for
// clauses that require a primary. It returns s, changed accordingly.
func classifyCalls(tokens []token, s Statement) Statement {
	for i := range tokens {
		if tokens[i].literal || i+1 >= len(tokens) {
			continue
		}
		next := tokens[i+1].text
		switch word := tokens[i].folded; {
		case next == "(" && word == "set_config":
			if !isLocalConfig(tokens[i+2:]) {
				return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
			}
		case next == "(" && strings.HasPrefix(word, "pg_") && strings.Contains(word, "advisory_lock") && !strings.Contains(word, "xact"):
			return Statement{Kind: MakesSticky, Cause: CauseLock}
		case word == "into" && (tokens[i+1].folded == "temp" || tokens[i+1].folded == "temporary") && s.Kind == Select:
			return Statement{Kind: MakesSticky, Cause: CauseTemporary}
		case word == "into" || word == "for" && (tokens[i+1].folded == "update" || tokens[i+1].folded == "share" || tokens[i+1].folded == "no" || tokens[i+1].folded == "key"):
			// The statement writes or takes row locks, which a replica cannot do.
			s.Kind = Other
		}
	}
	return s
}

// isLocalConfig reports whether the last argument of a set_config call is true, so that the setting ends with
// the transaction. tokens begin with the first argument.
func isLocalConfig(tokens []token) bool {
	depth := 1
	for i := range tokens {
		switch tokens[i].text {
		case "(":
			depth++
		case ")":
			if depth--; depth == 0 {
				return i > 0 && tokens[i-1].folded == "true"
			}
		}
	}
	return false
}

// namedStatement returns a statement of this kind whose name is the token at nameIndex. Without an identifier
// there, the effect of the statement is unknown.
func namedStatement(kind StatementKind, tokens []token, nameIndex int) Statement {
	if nameIndex >= len(tokens) || !tokens[nameIndex].identifier {
		return Statement{Kind: MakesSticky, Cause: CauseUnreadable}
	}
	return Statement{Kind: kind, Name: tokens[nameIndex].folded, from: tokens[nameIndex].from, to: tokens[nameIndex].to}
}

func parseBegin(tokens []token) Statement {
	s := Statement{Kind: Begin}
	for i := 1; i+1 < len(tokens); i++ {
		if tokens[i].folded == "read" {
			s.ReadOnly, s.Writable = tokens[i+1].folded == "only", tokens[i+1].folded == "write"
		}
	}
	return s
}

// parseRollback parses ROLLBACK and ROLLBACK TO SAVEPOINT.
func parseRollback(tokens []token) Statement {
	for i := 1; i < len(tokens) && i < 4; i++ {
		if tokens[i].folded == "to" && !tokens[i].literal {
			i++
			if i < len(tokens)-1 && tokens[i].folded == "savepoint" {
				i++
			}
			return namedStatement(RollbackTo, tokens, i)
		}
	}
	return Statement{Kind: Rollback}
}

func parseDeallocate(tokens []token, keywords *[leadingKeywordCount]string) Statement {
	i := 1
	if keywords[1] == "prepare" && len(tokens) > 2 {
		i = 2
	}
	if i < len(tokens) && tokens[i].folded == "all" && tokens[i].text != `"all"` {
		return Statement{Kind: DeallocateAll}
	}
	return namedStatement(Deallocate, tokens, i)
}
