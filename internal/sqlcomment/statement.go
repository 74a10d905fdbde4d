// Package statement reads the form that a request has on every wire: one SQL statement behind a comment of
// names and values. Only the comment's d is the pooler's to change; all else passes on byte for byte.
package sqlcomment

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxLength bounds a statement: a value of 64 KiB in hex digits, and room for the rest.
const MaxLength = 160 << 10

const maxComment = 4 << 10

// Statement is a request as its client worded it.
type Statement struct {
	Text          string
	ID            string // names the request among those that are open
	Class         string
	Group         uint64
	TimeoutMillis float64 // d: milliseconds that the client will wait
	MinPosition   float64 // position that the read must see; 0: none
	IsRetry       bool
	IsWrite       bool   // its class writes; the core says so, not the text
	SessionKey    string // the first quoted literal, which names the session; "": none
	timeoutStart  int    // where the value of d stands in Text
	timeoutEnd    int
}

// ErrNoComment is returned for a statement that does not begin with a request's comment.
var ErrNoComment = errors.New("the statement does not begin with a whole comment /* id=…,c=…,d=… */")

// Parse reads a statement. The result shares the text's memory.
func Parse(text string) (Statement, error) {
	s := Statement{Text: text}
	if len(text) > MaxLength {
		return s, fmt.Errorf("the statement has %d bytes, %d are allowed", len(text), MaxLength)
	}
	if strings.IndexByte(text, 0) >= 0 {
		return s, errors.New("the statement holds a zero byte")
	}
	open := len(text) - len(strings.TrimLeft(text, " \t\r\n"))
	if !strings.HasPrefix(text[open:], "/*") {
		return s, ErrNoComment
	}
	end := strings.Index(text[open:], "*/")
	if end < 0 || end > maxComment {
		return s, ErrNoComment
	}
	end += open
	class, wait := false, false
	for at := open + 2; at < end; {
		stop := at + strings.IndexByte(text[at:end]+",", ',')
		item := text[at:stop]
		name, value, ok := strings.Cut(item, "=")
		if !ok {
			return s, fmt.Errorf("the comment holds %q, which is not name=value", strings.TrimSpace(item))
		}
		from := stop - len(value)
		from += len(value) - len(strings.TrimLeft(value, " "))
		value = strings.TrimSpace(value)
		var err error
		switch strings.TrimSpace(name) {
		case "id":
			s.ID = value
		case "c":
			s.Class, class = value, true
		case "d":
			if wait {
				return s, errors.New("the comment names d twice")
			}
			s.TimeoutMillis, err = number(value)
			s.timeoutStart, s.timeoutEnd, wait = from, from+len(value), true
		case "cluster":
			s.Group, err = strconv.ParseUint(value, 10, 64)
		case "after":
			s.MinPosition, err = number(value)
		case "r":
			s.IsRetry = value == "1"
		}
		if err != nil {
			return s, fmt.Errorf("the comment's %s is %q, which is no number that fits", strings.TrimSpace(name), value)
		}
		at = stop + 1
	}
	if !class || !wait || s.ID == "" {
		return s, ErrNoComment
	}
	s.SessionKey = literal(text[end+2:])
	return s, nil
}

// number takes what can be a time in milliseconds; more digits than a float64 holds are no time.
func number(s string) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err == nil && !(x >= 0 && x < 1<<52) || strings.ContainsAny(s, "xXpP_") || math.IsNaN(x) {
		err = strconv.ErrRange
	}
	return x, err
}

// literal returns what stands in the first single quotes; a doubled quote stands for one.
func literal(s string) string {
	_, s, ok := strings.Cut(s, "'")
	if !ok {
		return ""
	}
	for i := 0; i < len(s); i++ {
		if s[i] != '\'' {
			continue
		}
		if i+1 < len(s) && s[i+1] == '\'' {
			i++
			continue
		}
		return strings.ReplaceAll(s[:i], "''", "'")
	}
	return ""
}

// AppendWithTimeout appends the statement to b with d set to how long the pooler will wait, in whole milliseconds.
func (s *Statement) AppendWithTimeout(b []byte, ms float64) []byte {
	b = append(b, s.Text[:s.timeoutStart]...)
	b = strconv.AppendInt(b, int64(max(1, ms)), 10)
	return append(b, s.Text[s.timeoutEnd:]...)
}
