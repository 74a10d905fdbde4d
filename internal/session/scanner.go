package session

import "strings"

// token is a word, a quoted identifier, a literal or a single character of a statement.
type token struct {
	// text is the token as written.
	text string
	// folded is the text in lower case; for a quoted identifier it is the name itself, and for a literal it
	// is empty.
	folded string
	// from and to are the token's byte offsets in the query string.
	from, to   int
	literal    bool
	identifier bool
}

// maxTokens limits how many tokens of a statement are retained for its classification. What follows is taken
// to be data, which does not affect the session: a statement with a relevant call beyond this point is longer
// than any that people write.
const maxTokens = 4096

// scanner splits a query string into statements, and those into tokens.
type scanner struct {
	text     string
	position int
}

// readLeadingComment sets the query's comment if the query string begins with one.
func (s *scanner) readLeadingComment(q *Query) {
	trimmed := strings.TrimLeft(s.text, " \t\r\n")
	if body, ok := strings.CutPrefix(trimmed, "/*"); ok {
		if end := strings.Index(body, "*/"); end >= 0 {
			q.Comment = body[:end]
		}
	}
}

// nextStatement returns the tokens up to the next semicolon. more is set if the statement ends with a
// semicolon. ok is false if a comment or a literal is not terminated.
func (s *scanner) nextStatement() (tokens []token, more, ok bool) {
	for {
		if !s.skipBlank() {
			return nil, false, false
		}
		if s.position >= len(s.text) {
			return tokens, false, true
		}
		if s.text[s.position] == ';' {
			s.position++
			return tokens, true, true
		}
		t, ok := s.nextToken()
		if !ok {
			return nil, false, false
		}
		tokens = s.appendToken(tokens, t)
	}
}

// skipBlank skips white space and comments. It returns false if a comment is not terminated.
func (s *scanner) skipBlank() bool {
	for s.position < len(s.text) {
		rest := s.text[s.position:]
		switch {
		case rest[0] <= ' ':
			s.position++
		case strings.HasPrefix(rest, "--"):
			if n := strings.IndexByte(rest, '\n'); n >= 0 {
				s.position += n
			} else {
				s.position = len(s.text)
			}
		case strings.HasPrefix(rest, "/*"):
			if !s.skipComment() {
				return false
			}
		default:
			return true
		}
	}
	return true
}

// nextToken reads the token at the position, which is not blank. ok is false if a quoted token is not
// terminated.
func (s *scanner) nextToken() (t token, ok bool) {
	from := s.position
	switch c := s.text[from]; {
	case c == '\'':
		ok = s.skipQuoted('\'', false)
		return token{from: from, literal: true}, ok
	case c == '"':
		if !s.skipQuoted('"', false) {
			return token{}, false
		}
		name := strings.ReplaceAll(s.text[from+1:s.position-1], `""`, `"`)
		return token{from: from, folded: name, identifier: true}, true
	case c == '$':
		if s.skipDollarQuoted() {
			return token{from: from, literal: true}, true
		}
		s.position++
		for s.position < len(s.text) && s.text[s.position] >= '0' && s.text[s.position] <= '9' {
			s.position++
		}
	case isIdentifierByte(c):
		return s.nextIdentifier()
	default:
		s.position++
	}
	return token{from: from, folded: s.text[from:s.position]}, true
}

// nextIdentifier reads a word, or a literal or quoted identifier with a prefix: E'...', B'...', X'...',
// N'...', U&'...', U&"...".
func (s *scanner) nextIdentifier() (t token, ok bool) {
	from := s.position
	for s.position < len(s.text) && (isIdentifierByte(s.text[s.position]) || s.text[s.position] == '$') {
		s.position++
	}
	word := strings.ToLower(s.text[from:s.position])
	rest := s.text[s.position:]
	switch {
	case strings.HasPrefix(rest, "'") && (word == "e" || word == "b" || word == "x" || word == "n"):
		ok = s.skipQuoted('\'', word == "e")
		return token{from: from, literal: true}, ok
	case word == "u" && (strings.HasPrefix(rest, "&'") || strings.HasPrefix(rest, `&"`)):
		s.position++
		quote := s.text[s.position]
		if !s.skipQuoted(quote, false) {
			return token{}, false
		}
		isLiteral := quote == '\''
		return token{from: from, literal: isLiteral, folded: s.text[from:s.position], identifier: !isLiteral}, true
	}
	return token{from: from, folded: word, identifier: true}, true
}

func (s *scanner) appendToken(tokens []token, t token) []token {
	t.to = s.position
	t.text = s.text[t.from:t.to]
	if len(tokens) >= maxTokens {
		// The last token is always retained, since it marks where the statement ends.
		tokens[maxTokens-1] = t
		return tokens
	}
	return append(tokens, t)
}

// isIdentifierByte reports whether a byte may be part of a word. All bytes of non-ASCII characters may.
func isIdentifierByte(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c >= 0x80
}

// skipComment skips a comment, which may contain nested comments. It returns false if the comment is not
// terminated.
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

// skipQuoted skips a quoted text, in which a doubled quote stands for one. escapes is set for E'...', in
// which a backslash escapes the next character. It returns false if the text is not terminated.
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

// skipDollarQuoted skips a literal $tag$...$tag$. If the text is no such literal, it returns false and leaves
// the position as it is.
func (s *scanner) skipDollarQuoted() bool {
	end := s.position + 1
	for end < len(s.text) && isIdentifierByte(s.text[end]) {
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
