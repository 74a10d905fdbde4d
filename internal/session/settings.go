package session

import (
	"maps"
	"slices"
	"strings"
)

// Settings are settings by name, each as the text that makes it. A Values is never changed once it is shared: sessions
// and connections hold the same one, and comparing two of them mostly ends at the pointer.
type Settings struct {
	renderings map[string]string
	size       int
}

// NoSettings are the settings of a connection that nobody changed.
var NoSettings = &Settings{}

// Rendering returns the text that makes a setting; "" where the connection's own default holds.
func (v *Settings) Rendering(name string) string { return v.renderings[name] }

// Equal reports whether nothing has to be changed between the two.
func (v *Settings) Equal(o *Settings) bool {
	return v == o || v.size == o.size && maps.Equal(v.renderings, o.renderings)
}

// With returns the settings with one changed; "" takes it out.
func (v *Settings) With(name, render string) *Settings {
	if v.renderings[name] == render {
		return v
	}
	of := maps.Clone(v.renderings)
	if of == nil {
		of = map[string]string{}
	}
	if render == "" {
		delete(of, name)
	} else {
		of[name] = render
	}
	if len(of) == 0 {
		return NoSettings
	}
	size := 0
	for n, r := range of {
		size += len(n) + len(r)
	}
	return &Settings{renderings: of, size: size}
}

// unknownRendering is the text of a setting whose value on a connection nobody knows: it equals none that a session has.
const unknownRendering = "\x00"

// RestoreQuery is the query that brings a connection from have to want, all in one round trip; "" where nothing differs.
// Who the session acts as comes last when it is taken on and first when it is given back.
func RestoreQuery(have, want *Settings) string {
	if have.Equal(want) {
		return ""
	}
	var resets, sets []string
	for name := range have.renderings {
		if want.renderings[name] == "" {
			resets = append(resets, name)
		}
	}
	for name, render := range want.renderings {
		if have.renderings[name] != render {
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
		out.WriteString(want.renderings[name] + ";")
	}
	return out.String()
}

// quoteName quotes a setting's name so that any character in it is taken as it is.
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

// QuoteLiteral quotes a value so that any text in it is taken as it is, whatever standard_conforming_strings says.
func QuoteLiteral(value string) string {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	if !strings.Contains(value, `\`) {
		return quoted
	}
	return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
}

// StartupRendering is the text that makes a setting from a startup parameter, whose value is a list where the setting is one.
func StartupRendering(name, value string) string {
	return "SELECT pg_catalog.set_config(" + QuoteLiteral(name) + ", " + QuoteLiteral(value) + ", false)"
}

// savepoint is a transaction's begin or a savepoint: the settings at that point.
type savepoint struct {
	name   string
	values *Settings
}

// Tracker follows one session's settings through its transactions. Its zero value is no session; see NewTracker.
//
// Statements outside a transaction block that travel together (a query string, a pipeline up to its Sync) are one
// implicit transaction, as they are to a server: an error in the last takes back a SET in the first.
type Tracker struct {
	startup      *Settings // what the client asked for when it connected; RESET goes back to it
	current      *Settings
	atBegin      *Settings   // at the transaction's begin
	savepoints   []savepoint // savepoints
	inBlock      bool        // in a block
	failed       bool        // an error came since the last ReadyForQuery
	stateUnknown bool        // the server's status is not what the statements seen account for
	// resets are the settings that RESET gave back to the connection's default while the session has another of its
	// own: on the connection they stand at a value that is not the session's.
	resetNames []string
}

// NewTracker returns the tracker of a session that connected with these settings.
func NewTracker(startup *Settings) Tracker {
	return Tracker{startup: startup, current: startup, atBegin: startup}
}

// Settings is what holds in the session at this moment.
func (t *Tracker) Settings() *Settings { return t.current }

// InBlock reports whether the session is in a transaction block.
func (t *Tracker) InBlock() bool { return t.inBlock }

// StateUnknown reports whether the server is in a state that the statements seen do not account for. What holds on its
// connection is then unknown.
func (t *Tracker) StateUnknown() bool { return t.stateUnknown }

// SettingsOnServer is what holds on the connection that ran the session's statements.
func (t *Tracker) SettingsOnServer() *Settings {
	v := t.current
	for _, name := range t.resetNames {
		v = v.With(name, unknownRendering)
	}
	return v
}

// Restored says that the connection has been brought to what holds in the session.
func (t *Tracker) Restored() { t.resetNames = t.resetNames[:0] }

// Completed takes a statement that a server completed with this tag.
func (t *Tracker) Completed(s *Statement, tag string) {
	switch s.Kind {
	case Begin:
		t.inBlock = true
	case Commit, Rollback:
		// COMMIT of a failed transaction is answered with ROLLBACK; AND CHAIN shows in the status that follows.
		t.end(s.Kind == Commit && tag != "ROLLBACK")
	case Savepoint:
		t.savepoints = append(t.savepoints, savepoint{s.Name, t.current})
	case RollbackTo:
		if i := t.findSavepoint(s.Name); i >= 0 {
			t.current = t.savepoints[i].values
			t.savepoints = t.savepoints[:i+1]
			t.failed = false
		} else {
			t.stateUnknown = true
		}
	case Release:
		if i := t.findSavepoint(s.Name); i >= 0 {
			t.savepoints = t.savepoints[:i]
		} else {
			t.stateUnknown = true
		}
	case Set:
		t.current = t.current.With(s.Name, s.Render)
	case Reset:
		t.reset(s.Name)
	case ResetAll:
		t.resetAll()
	case DiscardAll: // and who the session acts as
		t.current = t.current.With("role", "").With("session_authorization", "")
		t.resetAll()
	}
}

func (t *Tracker) reset(name string) {
	render := t.startup.Rendering(name)
	t.current = t.current.With(name, render)
	if render != "" && !slices.Contains(t.resetNames, name) {
		t.resetNames = append(t.resetNames, name)
	}
}

func (t *Tracker) resetAll() {
	role, authorization := t.current.Rendering("role"), t.current.Rendering("session_authorization") // RESET ALL leaves both
	t.current = t.startup
	t.current = t.current.With("role", role).With("session_authorization", authorization)
	t.resetNames = t.resetNames[:0]
	for name := range t.startup.renderings {
		t.resetNames = append(t.resetNames, name)
	}
}

// findSavepoint is the place of the latest savepoint of that name, or -1.
func (t *Tracker) findSavepoint(name string) int {
	for i := len(t.savepoints) - 1; i >= 0; i-- {
		if t.savepoints[i].name == name {
			return i
		}
	}
	return -1
}

func (t *Tracker) end(commit bool) {
	if !commit {
		t.current = t.atBegin
	}
	t.atBegin, t.savepoints, t.inBlock = t.current, t.savepoints[:0], false
}

// Failed takes an error of the server.
func (t *Tracker) Failed() { t.failed = true }

// Ready takes the status of a ReadyForQuery: 'I' idle, 'T' in a transaction block, 'E' in a failed one.
func (t *Tracker) Ready(status byte) {
	switch status {
	case 'I':
		if t.inBlock { // it ended by means that no statement showed
			t.stateUnknown = true
		}
		t.end(!t.failed && !t.inBlock)
	default:
		if !t.inBlock { // COMMIT AND CHAIN, or a block that no statement showed: what came before is in
			t.atBegin, t.inBlock = t.current, true
		}
	}
	t.failed = false
}

// Lost takes the loss of the server connection, and with it of whatever was not committed.
func (t *Tracker) Lost() {
	t.end(false)
	t.failed, t.stateUnknown = false, false
	t.resetNames = t.resetNames[:0]
}
