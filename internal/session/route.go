package session

import (
	"strconv"
	"strings"
)

// Route says how to route a transaction. It is determined once, from the transaction's first query.
type Route struct {
	// Class is the request class.
	Class string
	Group uint64
	// HasGroup is set if the comment names the group, and HasClass if it names the class.
	HasGroup, HasClass bool
	// WaitMillis is how long the client waits for a server connection, in milliseconds; 0: not specified.
	WaitMillis float64
	// MinPosition is the minimum position, in Unix milliseconds, that a read must see; 0: not specified.
	MinPosition float64
	SessionKey  string
	// ReadOnly is set if the transaction is taken to be read-only: it was begun as read-only, so that a
	// server refuses writes in it, or it consists of SELECTs and SelectsAsRead is set.
	ReadOnly bool
}

// RouteDefaults are the operator's routing settings for transactions whose comment does not specify them.
type RouteDefaults struct {
	// ReadOnly is the class of read-only transactions.
	ReadOnly string
	// ReadWrite is the class of all other transactions.
	ReadWrite string
	// SelectsAsRead is set if a query outside a block that consists of SELECTs counts as read-only.
	SelectsAsRead bool
	Group         uint64
}

// Route determines the route of a transaction from the query's comment and, for what the comment does not
// specify, from the defaults. defaultReadOnly is whether the session has default_transaction_read_only on. An
// invalid value in the comment is a *CommentError; it is not replaced by a default.
func (d *RouteDefaults) Route(q *Query, defaultReadOnly bool) (r Route, err error) {
	r.Group = d.Group
	r.ReadOnly = d.isReadOnly(q, defaultReadOnly)
	if r.Class = d.ReadWrite; r.ReadOnly {
		r.Class = d.ReadOnly
	}
	if !strings.Contains(q.Comment, "=") {
		return r, nil
	}
	for _, item := range strings.Split(q.Comment, ",") {
		name, value, ok := strings.Cut(item, "=")
		if !ok {
			continue // an ordinary comment, not a routing option
		}
		value = strings.TrimSpace(value)
		switch strings.TrimSpace(name) {
		case "c":
			r.Class = strings.Clone(value) // the route outlives the query's text
			r.HasClass = true
		case "cluster":
			r.Group, err = strconv.ParseUint(value, 10, 64)
			r.HasGroup = true
		case "d":
			r.WaitMillis, err = parseMillis(value)
		case "after":
			r.MinPosition, err = parseMillis(value)
		case "k":
			r.SessionKey = strings.Clone(value)
		}
		if err != nil {
			return r, &CommentError{Name: strings.TrimSpace(name), Value: value}
		}
	}
	return r, nil
}

// CommentError reports a routing option in a comment whose value is invalid.
type CommentError struct{ Name, Value string }

// Error returns a message that names the option and its value.
func (e *CommentError) Error() string {
	return "the comment's " + e.Name + " is " + strconv.Quote(e.Value) + ", which is no number that fits"
}

// parseMillis parses a number of milliseconds from 0 to less than 1<<52. It returns strconv.ErrRange for any
// invalid text, also for one that is no number.
func parseMillis(s string) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0 && x < 1<<52) {
		return 0, strconv.ErrRange
	}
	return x, nil
}

func (d *RouteDefaults) isReadOnly(q *Query, defaultReadOnly bool) bool {
	if len(q.Statements) == 0 {
		return defaultReadOnly
	}
	switch s := &q.Statements[0]; {
	case s.Kind == Begin && s.ReadOnly:
		return true
	case s.Kind == Begin && s.Writable:
		return false
	case defaultReadOnly:
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
