package migration

import (
	"fmt"
	"strings"
)

// Difference is a part of a tenant that differs between the groups. It is an error with a code and advice.
type Difference struct {
	Kind   string `json:"kind"` // rows, count, sequence or read (a sampled query)
	Table  string `json:"table,omitempty"`
	Range  string `json:"range,omitempty"` // of keys
	Source string `json:"home,omitempty"`  // digest, count or value at the source
	Target string `json:"other,omitempty"`
}

// Error names the part that differs and its value at each group.
func (d *Difference) Error() string {
	return fmt.Sprintf("%s of %s %s differ: %s at the home, %s at the other", d.Kind, d.Table, d.Range, d.Source, d.Target)
}

// Code returns the error code.
func (d *Difference) Code() string { return "verify_differs" }

// Advice describes what an operator can do.
func (d *Difference) Advice() string {
	return "find out who wrote at the other home, then resume: it is copied anew; or rollback"
}

// BlockingSession is a session that blocks a fence, or that has state bound to its connection which a switch would lose.
// It is an error with a code and advice.
type BlockingSession struct {
	PID  int    `json:"pid"`
	User string `json:"user,omitempty"`
	Kind string `json:"kind"` // writing, temporary tables, advisory lock, listen, prepared
	Age  string `json:"age,omitempty"`
}

// Error names the session.
func (s *BlockingSession) Error() string {
	return fmt.Sprintf("session %d of %s holds the closing up: %s, for %s", s.PID, s.User, s.Kind, s.Age)
}

// Code returns the error code.
func (s *BlockingSession) Code() string { return "straggler" }

// Advice describes what an operator can do.
func (s *BlockingSession) Advice() string {
	return "wait for it, end it with pg_terminate_backend, or order the move with stragglers = end"
}

// joinErrors joins the texts of errors into one line.
func joinErrors[E error](all []E) string {
	texts := make([]string, 0, len(all))
	for _, err := range all {
		texts = append(texts, err.Error())
	}
	return strings.Join(texts, "; ")
}

// pointers returns pointers to the elements of a slice, whose methods have pointer receivers.
func pointers[T any](all []T) []*T {
	out := make([]*T, len(all))
	for i := range all {
		out[i] = &all[i]
	}
	return out
}
