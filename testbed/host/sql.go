package host

import (
	"fmt"
	"strconv"
	"strings"
)

// fault is an error as a server words it.
type fault struct{ state, text string }

func (f *fault) Error() string { return f.state + ": " + f.text }

func syntax(format string, args ...any) *fault { return &fault{"42601", fmt.Sprintf(format, args...)} }

// lexeme is a word, a literal, a parameter or a sign.
type lexeme struct {
	kind byte // 'w' word, 'q' quoted identifier, 's' string, 'n' number, 'p' parameter, or the sign itself
	text string
	from int
	to   int
}

// read cuts a text into statements of lexemes, and gives each one's own text.
func read(text string) (statements [][]lexeme, texts []string, err *fault) {
	var now []lexeme
	begin := 0
	flush := func(end int) {
		if len(now) > 0 {
			statements = append(statements, now)
			texts = append(texts, strings.TrimSpace(text[begin:end]))
		}
		now = nil
	}
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
			i++
		case c == ';':
			flush(i)
			i++
			begin = i
		case c == '-' && i+1 < len(text) && text[i+1] == '-':
			for i < len(text) && text[i] != '\n' {
				i++
			}
		case c == '/' && i+1 < len(text) && text[i+1] == '*':
			depth := 0
			for ; i < len(text); i++ {
				if strings.HasPrefix(text[i:], "/*") {
					depth++
					i++
				} else if strings.HasPrefix(text[i:], "*/") {
					depth--
					i++
					if depth == 0 {
						break
					}
				}
			}
			if depth != 0 {
				return nil, nil, syntax("unterminated /* comment")
			}
			i++
		case c == '\'' || (c == 'E' || c == 'e') && i+1 < len(text) && text[i+1] == '\'':
			from, escape := i, c != '\''
			if escape {
				i++
			}
			var b strings.Builder
			for i++; ; i++ {
				if i >= len(text) {
					return nil, nil, syntax("unterminated quoted string")
				}
				if escape && text[i] == '\\' && i+1 < len(text) {
					i++
					switch text[i] {
					case 'n':
						b.WriteByte('\n')
					case 't':
						b.WriteByte('\t')
					default:
						b.WriteByte(text[i])
					}
					continue
				}
				if text[i] == '\'' {
					if i+1 < len(text) && text[i+1] == '\'' {
						b.WriteByte('\'')
						i++
						continue
					}
					i++
					break
				}
				b.WriteByte(text[i])
			}
			now = append(now, lexeme{'s', b.String(), from, i})
		case c == '"':
			from := i
			var b strings.Builder
			for i++; ; i++ {
				if i >= len(text) {
					return nil, nil, syntax("unterminated quoted identifier")
				}
				if text[i] == '"' {
					if i+1 < len(text) && text[i+1] == '"' {
						i++
					} else {
						i++
						break
					}
				}
				b.WriteByte(text[i])
			}
			now = append(now, lexeme{'q', b.String(), from, i})
		case c == '$' && i+1 < len(text) && text[i+1] >= '0' && text[i+1] <= '9':
			from := i
			for i++; i < len(text) && text[i] >= '0' && text[i] <= '9'; i++ {
			}
			now = append(now, lexeme{'p', text[from+1 : i], from, i})
		case c == '$':
			end := strings.IndexByte(text[i+1:], '$')
			if end < 0 {
				return nil, nil, syntax("stray $")
			}
			tag := text[i : i+end+2]
			stop := strings.Index(text[i+len(tag):], tag)
			if stop < 0 {
				return nil, nil, syntax("unterminated dollar-quoted string")
			}
			from := i
			body := text[i+len(tag) : i+len(tag)+stop]
			i += 2*len(tag) + stop
			now = append(now, lexeme{'s', body, from, i})
		case c >= '0' && c <= '9':
			from := i
			for i < len(text) && (text[i] >= '0' && text[i] <= '9' || text[i] == '.') {
				i++
			}
			now = append(now, lexeme{'n', text[from:i], from, i})
		case letter(c):
			from := i
			for i < len(text) && (letter(text[i]) || text[i] >= '0' && text[i] <= '9' || text[i] == '$') {
				i++
			}
			now = append(now, lexeme{'w', strings.ToLower(text[from:i]), from, i})
		default:
			now = append(now, lexeme{c, string(c), i, i + 1})
			i++
		}
	}
	flush(len(text))
	return statements, texts, nil
}

func letter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// words is a reader of one statement.
type words struct {
	of []lexeme
	at int
}

func (w *words) more() bool { return w.at < len(w.of) }

func (w *words) peek() lexeme {
	if w.more() {
		return w.of[w.at]
	}
	return lexeme{}
}

// take reads the words given, if they come next.
func (w *words) take(list ...string) bool {
	for i, s := range list {
		if w.at+i >= len(w.of) {
			return false
		}
		l := w.of[w.at+i]
		if l.text != s || l.kind == 's' || l.kind == 'q' {
			return false
		}
	}
	w.at += len(list)
	return true
}

func (w *words) identifier() (string, bool) {
	if l := w.peek(); l.kind == 'w' || l.kind == 'q' {
		w.at++
		return l.text, true
	}
	return "", false
}

// value is a literal, a number or a parameter.
func (w *words) value(params []param) (s string, null bool, err *fault) {
	l := w.peek()
	switch l.kind {
	case 's', 'n':
		w.at++
		w.cast()
		return l.text, false, nil
	case 'p':
		w.at++
		w.cast()
		n, _ := strconv.Atoi(l.text)
		if n < 1 || n > len(params) {
			return "", false, &fault{"42P02", "there is no parameter $" + l.text}
		}
		return params[n-1].text, params[n-1].null, nil
	case '-':
		w.at++
		if n := w.peek(); n.kind == 'n' {
			w.at++
			return "-" + n.text, false, nil
		}
	case 'w':
		switch l.text {
		case "null":
			w.at++
			return "", true, nil
		case "true", "false", "on", "off":
			w.at++
			return l.text, false, nil
		}
	}
	return "", false, syntax("syntax error at or near %q", l.text)
}

// cast passes over ::type.
func (w *words) cast() {
	if w.at+2 < len(w.of)+0 && w.peek().text == ":" && w.of[w.at+1].text == ":" {
		w.at += 2
		w.identifier()
	}
}

// param is a value that Bind gave.
type param struct {
	text string
	null bool
}

// parameters counts the highest $n.
func parameters(s []lexeme) int {
	n := 0
	for _, l := range s {
		if l.kind == 'p' {
			k, _ := strconv.Atoi(l.text)
			n = max(n, k)
		}
	}
	return n
}
