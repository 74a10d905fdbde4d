package operator

import (
	"fmt"
	"strings"
)

// Problem is one fault of an operator's file.
type Problem struct {
	Path    string
	Line    int    // 0: not known
	Block   string // such as cluster.agreement; empty where the text is no HCL or has another schema
	Key     string
	Value   string // that the key has, quoted where it is text
	Allowed string // what the key may have
	Detail  string // without a block: what is wrong
}

// String returns file, line, block and key, with what is allowed there.
func (p Problem) String() string {
	at := p.Path
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d", p.Path, p.Line)
	}
	if p.Block == "" {
		return at + ": " + p.Detail
	}
	return fmt.Sprintf("%s: %s: %s is %s; allowed is %s", at, p.Block, p.Key, p.Value, p.Allowed)
}

// InvalidFileError lists all faults of an operator's file.
type InvalidFileError struct{ Problems []Problem }

// Error returns a line for each fault.
func (e *InvalidFileError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// ClassError is returned for a pool of sessions whose class does not fit the platform's settings.
type ClassError struct {
	Path        string
	Pool        string
	Key         string // read_only or read_write
	Class       string
	Unknown     bool // the settings do not name the class
	WantsWrites bool // the key takes a class of writes, which this one is not; else the reverse
}

// Error names file, pool, key and class, and says why the class does not fit.
func (e *ClassError) Error() string {
	reason := "it takes a class of reads"
	switch {
	case e.Unknown:
		reason = "the settings name no such class"
	case e.WantsWrites:
		reason = "it takes a class of writes, which the primary serves"
	}
	return fmt.Sprintf("%s: sessions.pool %q: %s = %q: %s", e.Path, e.Pool, e.Key, e.Class, reason)
}
