package cost

import "strings"

// Normalize returns the text that a fingerprint is made of: without comments, every literal as ?, lists of them as one,
// white space as one space where it separates words, letters in lower case outside of quoted names. It has at most
// MaxNormalizedBytes.
func Normalize(text string) string { return string(normalize(nil, text)) }

func isWordByte(c byte) bool {
	return c == '_' || c == '$' || c >= 0x80 || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isStringPrefix says whether a letter before a quote makes it a literal of another form.
func isStringPrefix(c byte) bool { return strings.IndexByte("eEbBxXnN", c) >= 0 }

// normalizer reads a statement and writes its normalized text.
type normalizer struct {
	in    string
	at    int // where the next token begins
	out   []byte
	space bool // white space or a comment came before the token
}

// normalize appends the normalized text to out, which must be empty.
func normalize(out []byte, text string) []byte {
	n := &normalizer{in: text, out: out}
	for n.at < len(n.in) && len(n.out) < MaxNormalizedBytes {
		if !n.skipSpace() && !n.readLiteral() {
			n.readWord()
		}
	}
	for len(n.out) > 0 && n.out[len(n.out)-1] == ';' {
		n.out = n.out[:len(n.out)-1]
	}
	return n.out[:min(len(n.out), MaxNormalizedBytes)]
}

// skipSpace skips white space or a comment, if there is any.
func (n *normalizer) skipSpace() bool {
	rest := n.in[n.at:]
	switch {
	case strings.IndexByte(" \t\n\r\f\v", rest[0]) >= 0:
		n.at++
	case strings.HasPrefix(rest, "--"):
		if end := strings.IndexByte(rest, '\n'); end >= 0 {
			n.at += end
		} else {
			n.at = len(n.in)
		}
	case strings.HasPrefix(rest, "/*"):
		n.at = endOfComment(n.in, n.at)
	default:
		return false
	}
	n.space = true
	return true
}

// readLiteral reads a literal or parameter, if there is one.
func (n *normalizer) readLiteral() bool {
	s, i := n.in, n.at
	c := s[i]
	followedBy := func(is func(byte) bool) bool { return i+1 < len(s) && is(s[i+1]) }
	switch {
	case c == '\'':
		n.at = endOfQuoted(s, i, '\'', false)
	case isStringPrefix(c) && i+1 < len(s) && s[i+1] == '\'':
		n.at = endOfQuoted(s, i+1, '\'', c == 'e' || c == 'E')
	case c == '$' && endOfDollarTag(s, i) > 0:
		n.at = endOfDollarQuoted(s, i)
	case isDigit(c), c == '.' && followedBy(isDigit):
		n.at = endOfNumber(s, i)
	case c == '$' && followedBy(isDigit):
		for n.at++; n.at < len(s) && isDigit(s[n.at]); {
			n.at++
		}
	default:
		return false
	}
	n.writeLiteral()
	return true
}

// readWord reads a word, a quoted name, or any other character.
func (n *normalizer) readWord() {
	from := n.at
	switch c := n.in[n.at]; {
	case c == '"':
		n.at = endOfQuoted(n.in, n.at, '"', false)
		n.write(n.in[from:n.at], false)
	case isWordByte(c):
		for n.at < len(n.in) && isWordByte(n.in[n.at]) {
			n.at++
		}
		n.write(n.in[from:n.at], true)
	default:
		n.at++
		n.write(n.in[from:n.at], false)
	}
}

// write appends a token, with a space before it where it would run into the one before.
func (n *normalizer) write(token string, lower bool) {
	if n.space && len(n.out) > 0 && isWordByte(n.out[len(n.out)-1]) && (isWordByte(token[0]) || token[0] == '?') {
		n.out = append(n.out, ' ')
	}
	n.space = false
	for i := range len(token) {
		c := token[i]
		if lower && c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		n.out = append(n.out, c)
	}
}

// writeLiteral appends a literal. A list of literals counts as one: "?,?" becomes "?". So does a sign before one.
func (n *normalizer) writeLiteral() {
	b := n.out
	if last := len(b); last >= 2 && b[last-1] == ',' && b[last-2] == '?' {
		n.out, n.space = b[:last-1], false
		return
	}
	if last := len(b); last >= 2 && b[last-1] == '-' && strings.IndexByte("(,=<>+-*/", b[last-2]) >= 0 {
		n.out = b[:last-1]
		if last >= 3 && b[last-2] == ',' && b[last-3] == '?' {
			n.out, n.space = b[:last-2], false
			return
		}
	}
	n.write("?", false)
}

// endOfComment returns where a comment ends that begins at i. PostgreSQL's comments nest.
func endOfComment(s string, i int) int {
	for depth := 0; i < len(s); {
		switch {
		case strings.HasPrefix(s[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(s[i:], "*/"):
			depth--
			if i += 2; depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return i
}

// endOfNumber returns where a number ends that begins at i.
func endOfNumber(s string, i int) int {
	isExponentSign := func(i int) bool {
		return (s[i] == '+' || s[i] == '-') && (s[i-1] == 'e' || s[i-1] == 'E')
	}
	for i < len(s) && (isWordByte(s[i]) || s[i] == '.' || isExponentSign(i)) {
		i++
	}
	return i
}

// endOfQuoted returns where a text ends that begins with a quote at i.
func endOfQuoted(s string, i int, quote byte, escapes bool) int {
	for i++; i < len(s); i++ {
		if escapes && s[i] == '\\' {
			i++
		} else if s[i] == quote {
			if i+1 >= len(s) || s[i+1] != quote {
				return i + 1
			}
			i++
		}
	}
	return len(s)
}

// endOfDollarQuoted returns where a dollar-quoted literal ends that begins at i.
func endOfDollarQuoted(s string, i int) int {
	tag := s[i:endOfDollarTag(s, i)]
	end := strings.Index(s[i+len(tag):], tag)
	if end < 0 {
		return len(s)
	}
	return i + end + 2*len(tag)
}

// endOfDollarTag returns where the tag of a dollar-quoted literal ends; 0: none begins at i.
func endOfDollarTag(s string, i int) int {
	for j := i + 1; j < len(s); j++ {
		if s[j] == '$' {
			return j + 1
		}
		if !isWordByte(s[j]) || j == i+1 && isDigit(s[j]) {
			return 0
		}
	}
	return 0
}
