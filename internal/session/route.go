package session

import (
	"strconv"
	"strings"
)

// Route is how a transaction is to be routed: once, when its first statement comes.
type Route struct {
	Class       string
	Group       uint64
	HasGroup    bool    // the comment names it
	WaitMillis  float64 // milliseconds that the client waits for a server connection; 0: not said
	MinPosition float64 // Unix milliseconds that a read must see; 0: not said
	SessionKey  string
	ReadOnly    bool // the transaction was begun so: a server refuses writes in it
}

// Defaults are what the operator's file says of transactions that do not say it themselves.
type Defaults struct {
	ReadOnly      string // class of read-only transactions
	ReadWrite     string // class of all others
	SelectsAsRead bool   // a single SELECT outside a block counts as read-only
	Group         uint64
}

// Route routes a transaction by its comment where it has one, else by the defaults. defaultReadOnly is whether the
// session has default_transaction_read_only on. A comment that can't be read is an error, not a guess.
func (d *Defaults) Route(q *Query, defaultReadOnly bool) (r Route, err error) {
	r.Group = d.Group
	r.ReadOnly = d.readOnly(q, defaultReadOnly)
	if r.Class = d.ReadWrite; r.ReadOnly {
		r.Class = d.ReadOnly
	}
	if !strings.Contains(q.Comment, "=") {
		return r, nil
	}
	for _, item := range strings.Split(q.Comment, ",") {
		name, value, ok := strings.Cut(item, "=")
		if !ok {
			continue // a comment of people's
		}
		value = strings.TrimSpace(value)
		switch strings.TrimSpace(name) {
		case "c":
			r.Class = value
		case "cluster":
			r.Group, err = strconv.ParseUint(value, 10, 64)
			r.HasGroup = true
		case "d":
			r.WaitMillis, err = millis(value)
		case "after":
			r.MinPosition, err = millis(value)
		case "k":
			r.SessionKey = value
		}
		if err != nil {
			return r, &CommentError{Name: strings.TrimSpace(name), Value: value}
		}
	}
	return r, nil
}

// CommentError names what can't be read in a comment.
type CommentError struct{ Name, Value string }

// Error names the item and its value.
func (e *CommentError) Error() string {
	return "the comment's " + e.Name + " is " + strconv.Quote(e.Value) + ", which is no number that fits"
}

func millis(s string) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0 && x < 1<<52) {
		return 0, strconv.ErrRange
	}
	return x, nil
}

func (d *Defaults) readOnly(q *Query, byDefault bool) bool {
	if len(q.Statements) == 0 {
		return byDefault
	}
	switch s := &q.Statements[0]; {
	case s.Kind == Begin && s.ReadOnly:
		return true
	case s.Kind == Begin && s.Writable:
		return false
	case byDefault:
		return true
	case d.SelectsAsRead && s.Kind == Select:
		for i := range q.Statements {
			if q.Statements[i].Kind != Select {
				return false
			}
		}
		return true
	}
	return false
}
