package session

import (
	"maps"
	"slices"
	"strings"
)

// Values are settings by name, each as the text that makes it. A Values is never changed once it is shared: sessions
// and connections hold the same one, and comparing two of them mostly ends at the pointer.
type Values struct {
	of   map[string]string
	size int
}

// None are the settings of a connection that nobody changed.
var None = &Values{}

// Of returns the text that makes a setting; "" where the connection's own default holds.
func (v *Values) Of(name string) string { return v.of[name] }

// Same says whether nothing has to be changed between the two.
func (v *Values) Same(o *Values) bool {
	return v == o || v.size == o.size && maps.Equal(v.of, o.of)
}

// With returns the settings with one changed; "" takes it out.
func (v *Values) With(name, render string) *Values {
	if v.of[name] == render {
		return v
	}
	of := maps.Clone(v.of)
	if of == nil {
		of = map[string]string{}
	}
	if render == "" {
		delete(of, name)
	} else {
		of[name] = render
	}
	if len(of) == 0 {
		return None
	}
	size := 0
	for n, r := range of {
		size += len(n) + len(r)
	}
	return &Values{of: of, size: size}
}

// unknown is the text of a setting whose value on a connection nobody knows: it equals none that a session has.
const unknown = "\x00"

// Changes is the query that brings a connection from have to want, all in one round trip; "" where nothing differs.
// Who the session acts as comes last when it is taken on and first when it is given back.
func Changes(have, want *Values) string {
	if have.Same(want) {
		return ""
	}
	var resets, sets []string
	for name := range have.of {
		if want.of[name] == "" {
			resets = append(resets, name)
		}
	}
	for name, render := range want.of {
		if have.of[name] != render {
			sets = append(sets, name)
		}
	}
	identity := func(name string) int {
		switch name {
		case "session_authorization":
			return 1
		case "role":
			return 2
		}
		return 0
	}
	slices.SortFunc(resets, func(a, b string) int {
		if d := identity(b) - identity(a); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	slices.SortFunc(sets, func(a, b string) int {
		if d := identity(a) - identity(b); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	var out strings.Builder
	for _, name := range resets {
		out.WriteString("RESET " + quoteName(name) + ";")
	}
	for _, name := range sets {
		out.WriteString(want.of[name] + ";")
	}
	return out.String()
}

// quoteName words a setting's name so that any character in it is taken as it is.
func quoteName(name string) string {
	switch name {
	case "session_authorization":
		return "SESSION AUTHORIZATION"
	case "timezone":
		return "TIME ZONE"
	}
	parts := strings.Split(name, ".")
	for i, p := range parts {
		parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}

// Literal words a value so that any text in it is taken as it is, whatever standard_conforming_strings says.
func Literal(value string) string {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	if !strings.Contains(value, `\`) {
		return quoted
	}
	return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
}

// Startup is the text that makes a setting from a startup parameter, whose value is a list where the setting is one.
func Startup(name, value string) string {
	return "SELECT pg_catalog.set_config(" + Literal(name) + ", " + Literal(value) + ", false)"
}

// mark is a transaction's begin or a savepoint: what held then.
type mark struct {
	name   string
	values *Values
}

// Tracker follows one session's settings through its transactions. Its zero value is no session; see NewTracker.
//
// Statements outside a transaction block that travel together (a query string, a pipeline up to its Sync) are one
// implicit transaction, as they are to a server: an error in the last takes back a SET in the first.
type Tracker struct {
	startup  *Values // what the client asked for when it connected; RESET goes back to it
	now      *Values
	base     *Values // at the transaction's begin
	marks    []mark  // savepoints
	explicit bool    // in a block
	failed   bool    // an error came since the last ReadyForQuery
	strange  bool    // the server's status is not what the statements seen account for
	// resets are the settings that RESET gave back to the connection's default while the session has another of its
	// own: on the connection they stand at a value that is not the session's.
	resets []string
}

// NewTracker returns the tracker of a session that connected with these settings.
func NewTracker(startup *Values) Tracker {
	return Tracker{startup: startup, now: startup, base: startup}
}

// Now is what holds in the session at this moment.
func (t *Tracker) Now() *Values { return t.now }

// Explicit says whether the session is in a transaction block.
func (t *Tracker) Explicit() bool { return t.explicit }

// Strange says whether the server is in a state that the statements seen do not account for. What holds on its
// connection is then unknown.
func (t *Tracker) Strange() bool { return t.strange }

// OnServer is what holds on the connection that ran the session's statements.
func (t *Tracker) OnServer() *Values {
	v := t.now
	for _, name := range t.resets {
		v = v.With(name, unknown)
	}
	return v
}

// Restored says that the connection has been brought to what holds in the session.
func (t *Tracker) Restored() { t.resets = t.resets[:0] }

// Done takes a statement that a server completed with this tag.
func (t *Tracker) Done(s *Statement, tag string) {
	switch s.Kind {
	case Begin:
		t.explicit = true
	case Commit, Rollback:
		// COMMIT of a failed transaction is answered with ROLLBACK; AND CHAIN shows in the status that follows.
		t.end(s.Kind == Commit && tag != "ROLLBACK")
	case Savepoint:
		t.marks = append(t.marks, mark{s.Name, t.now})
	case RollbackTo:
		if i := t.find(s.Name); i >= 0 {
			t.now = t.marks[i].values
			t.marks = t.marks[:i+1]
			t.failed = false
		} else {
			t.strange = true
		}
	case Release:
		if i := t.find(s.Name); i >= 0 {
			t.marks = t.marks[:i]
		} else {
			t.strange = true
		}
	case Set:
		t.now = t.now.With(s.Name, s.Render)
	case Reset:
		t.reset(s.Name)
	case ResetAll:
		t.resetAll()
	case DiscardAll: // and who the session acts as
		t.now = t.now.With("role", "").With("session_authorization", "")
		t.resetAll()
	}
}

func (t *Tracker) reset(name string) {
	render := t.startup.Of(name)
	t.now = t.now.With(name, render)
	if render != "" && !slices.Contains(t.resets, name) {
		t.resets = append(t.resets, name)
	}
}

func (t *Tracker) resetAll() {
	role, authorization := t.now.Of("role"), t.now.Of("session_authorization") // RESET ALL leaves both
	t.now = t.startup
	t.now = t.now.With("role", role).With("session_authorization", authorization)
	t.resets = t.resets[:0]
	for name := range t.startup.of {
		t.resets = append(t.resets, name)
	}
}

// find is the place of the latest savepoint of that name, or -1.
func (t *Tracker) find(name string) int {
	for i := len(t.marks) - 1; i >= 0; i-- {
		if t.marks[i].name == name {
			return i
		}
	}
	return -1
}

func (t *Tracker) end(commit bool) {
	if !commit {
		t.now = t.base
	}
	t.base, t.marks, t.explicit = t.now, t.marks[:0], false
}

// Failed takes an error of the server.
func (t *Tracker) Failed() { t.failed = true }

// Ready takes the status of a ReadyForQuery: 'I' idle, 'T' in a transaction block, 'E' in a failed one.
func (t *Tracker) Ready(status byte) {
	switch status {
	case 'I':
		if t.explicit { // it ended by means that no statement showed
			t.strange = true
		}
		t.end(!t.failed && !t.explicit)
	default:
		if !t.explicit { // COMMIT AND CHAIN, or a block that no statement showed: what came before is in
			t.base, t.explicit = t.now, true
		}
	}
	t.failed = false
}

// Lost says that the server connection is gone, and with it whatever was not committed.
func (t *Tracker) Lost() {
	t.end(false)
	t.failed, t.strange = false, false
	t.resets = t.resets[:0]
}
