// Package sqlcomment reads the form that a request has on every wire: one SQL statement behind a comment of names and
// values, such as
//
//	/* id=9b1f,c=basket,d=480,cluster=2 */ SELECT payload FROM entries WHERE ref = 'k'
//
// The pooler changes the value of d only; every other byte passes through as the client sent it.
package sqlcomment

import (
	"strconv"
	"strings"
)

const (
	// MaxLength is the longest statement in bytes: a value of 64 KiB in hexadecimal digits, and space for the rest.
	MaxLength = 160 << 10
	// maxCommentBytes is the longest comment.
	maxCommentBytes = 4 << 10
	// maxNumber bounds times in milliseconds: a float64 holds all integers below it.
	maxNumber = 1 << 52
)

// The names in the comment.
const (
	fieldID          = "id"
	fieldClass       = "c"
	fieldTimeout     = "d"
	fieldGroup       = "cluster"
	fieldMinPosition = "after"
	fieldRetry       = "r"
)

const (
	commentOpen  = "/*"
	commentClose = "*/"
	blanks       = " \t\r\n"
)

// hexFloatMarks are what strconv accepts in a number and a decimal one does not have.
const hexFloatMarks = "xXpP_"

// Statement is a request as its client sent it.
type Statement struct {
	Text          string
	ID            string // of the request, among those that are in flight
	Class         string
	Group         uint64
	TimeoutMillis float64 // how long the client waits for the answer
	MinPosition   float64 // position that a read has to include; 0: none
	IsRetry       bool    // the client marks it as a repeat of an earlier request
	IsWrite       bool    // its class writes; set by the core, not by Parse
	SessionKey    string  // the first quoted literal, which identifies the session; "": none

	timeoutStart int // position in Text of the value of d
	timeoutEnd   int
}

// Parse reads a statement. The result shares the memory of text; after an error it holds what was read before.
func Parse(text string) (Statement, error) {
	s := Statement{Text: text}
	if len(text) > MaxLength {
		return s, &LengthError{Bytes: len(text), Limit: MaxLength}
	}
	if strings.IndexByte(text, 0) >= 0 {
		return s, ErrZeroByte
	}
	start, end, ok := findComment(text)
	if !ok {
		return s, ErrNoComment
	}
	p := commentParser{statement: &s}
	if err := p.parse(start, end); err != nil {
		return s, err
	}
	if !p.hasClass || !p.hasTimeout || s.ID == "" {
		return s, ErrNoComment
	}
	s.SessionKey = firstLiteral(text[end+len(commentClose):])
	return s, nil
}

// findComment returns where the content of the comment in front of a statement starts and ends.
func findComment(text string) (start, end int, ok bool) {
	open := len(text) - len(strings.TrimLeft(text, blanks))
	if !strings.HasPrefix(text[open:], commentOpen) {
		return 0, 0, false
	}
	length := strings.Index(text[open:], commentClose)
	if length < 0 || length > maxCommentBytes {
		return 0, 0, false
	}
	return open + len(commentOpen), open + length, true
}

// commentParser fills a statement from its comment.
type commentParser struct {
	statement  *Statement
	hasClass   bool
	hasTimeout bool
}

// parse reads the fields between two positions of the text.
func (p *commentParser) parse(start, end int) error {
	text := p.statement.Text
	for start < end {
		stop := start + strings.IndexByte(text[start:end]+",", ',')
		field := text[start:stop]
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return &FieldError{Field: strings.TrimSpace(field)}
		}
		name = strings.TrimSpace(name)
		if name == fieldTimeout && p.hasTimeout {
			return ErrDuplicateTimeout
		}
		valueStart := stop - len(strings.TrimLeft(value, " "))
		value = strings.TrimSpace(value)
		if err := p.set(name, value, valueStart); err != nil {
			return &ValueError{Name: name, Value: value, Err: err}
		}
		start = stop + 1
	}
	return nil
}

// set stores the value of one field, which starts at a position of the text. Unknown fields are ignored.
func (p *commentParser) set(name, value string, position int) (err error) {
	s := p.statement
	switch name {
	case fieldID:
		s.ID = value
	case fieldClass:
		s.Class, p.hasClass = value, true
	case fieldTimeout:
		s.TimeoutMillis, err = parseMillis(value)
		s.timeoutStart, s.timeoutEnd, p.hasTimeout = position, position+len(value), true
	case fieldGroup:
		s.Group, err = strconv.ParseUint(value, 10, 64)
	case fieldMinPosition:
		s.MinPosition, err = parseMillis(value)
	case fieldRetry:
		s.IsRetry = value == "1"
	}
	return err
}

// parseMillis reads a time in milliseconds in decimal digits.
func parseMillis(text string) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return x, err
	}
	isTime := x >= 0 && x < maxNumber // false for NaN
	if !isTime || strings.ContainsAny(text, hexFloatMarks) {
		return x, strconv.ErrRange
	}
	return x, nil
}

// firstLiteral returns the content of the first single quotes, in which a doubled quote stands for one.
func firstLiteral(text string) string {
	_, text, ok := strings.Cut(text, "'")
	if !ok {
		return ""
	}
	for i := 0; i < len(text); i++ {
		if text[i] != '\'' {
			continue
		}
		if i+1 < len(text) && text[i+1] == '\'' {
			i++
			continue
		}
		return strings.ReplaceAll(text[:i], "''", "'")
	}
	return ""
}

// AppendWithTimeout appends the statement to b, with d set to how long the pooler waits, in whole milliseconds.
func (s *Statement) AppendWithTimeout(b []byte, millis float64) []byte {
	b = append(b, s.Text[:s.timeoutStart]...)
	b = strconv.AppendInt(b, int64(max(1, millis)), 10)
	return append(b, s.Text[s.timeoutEnd:]...)
}
