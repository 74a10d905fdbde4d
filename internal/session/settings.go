package session

import (
	"maps"
	"slices"
	"strings"
)

// Settings holds settings by name, each as the SQL text that sets it. Settings are immutable: sessions and
// connections share them, and most comparisons find that two pointers are equal.
type Settings struct {
	renderings map[string]string
	// size is the total length of all names and renderings. Equal compares it first.
	size int
}

// NoSettings are the settings of a connection on which every setting has its default.
var NoSettings = &Settings{}

// Bytes returns the approximate memory that the settings use.
func (s *Settings) Bytes() int { return s.size + len(s.renderings)*settingOverheadBytes }

// settingOverheadBytes is the memory that a setting takes beside its name and its rendering.
const settingOverheadBytes = 128

// Rendering returns the SQL text that sets a setting; "" if it has the connection's default.
func (s *Settings) Rendering(name string) string { return s.renderings[name] }

// Equal reports whether both have the same settings.
func (s *Settings) Equal(other *Settings) bool {
	return s == other || s.size == other.size && maps.Equal(s.renderings, other.renderings)
}

// With returns the settings with one of them changed; the rendering "" removes it.
func (s *Settings) With(name, rendering string) *Settings {
	if s.renderings[name] == rendering {
		return s
	}
	renderings := maps.Clone(s.renderings)
	if renderings == nil {
		renderings = map[string]string{}
	}
	if rendering == "" {
		delete(renderings, name)
	} else {
		renderings[name] = rendering
	}
	if len(renderings) == 0 {
		return NoSettings
	}
	size := 0
	for n, r := range renderings {
		size += len(n) + len(r)
	}
	return &Settings{renderings: renderings, size: size}
}

// unknownRendering stands for a setting whose value on a connection is unknown. It differs from every
// rendering that a session can have.
const unknownRendering = "\x00"

// RestoreQuery returns the query that changes a connection's settings from current to target in one round
// trip; "" if they are equal. The role and the session authorization are reset before all other settings, and
// set after them.
func RestoreQuery(current, target *Settings) string {
	if current.Equal(target) {
		return ""
	}
	var resets, sets []string
	for name := range current.renderings {
		if target.renderings[name] == "" {
			resets = append(resets, name)
		}
	}
	for name, rendering := range target.renderings {
		if current.renderings[name] != rendering {
			sets = append(sets, name)
		}
	}
	identityRank := func(name string) int {
		switch name {
		case "session_authorization":
			return 1
		case "role":
			return 2
		}
		return 0
	}
	slices.SortFunc(resets, func(a, b string) int {
		if d := identityRank(b) - identityRank(a); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	slices.SortFunc(sets, func(a, b string) int {
		if d := identityRank(a) - identityRank(b); d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	var out strings.Builder
	for _, name := range resets {
		out.WriteString("RESET " + quoteName(name) + ";")
	}
	for _, name := range sets {
		out.WriteString(target.renderings[name] + ";")
	}
	return out.String()
}

// quoteName quotes a setting's name, so that it may contain any character. For two settings it returns the SQL
// keywords that stand for them in RESET instead, unquoted.
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

// QuoteLiteral quotes a value as a string literal that means the same with standard_conforming_strings on and
// off.
func QuoteLiteral(value string) string {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	if !strings.Contains(value, `\`) {
		return quoted
	}
	return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
}

// StartupRendering returns the SQL text that sets a setting to the value of a startup parameter. If the
// setting takes a list, the value is the whole list.
func StartupRendering(name, value string) string {
	return "SELECT pg_catalog.set_config(" + QuoteLiteral(name) + ", " + QuoteLiteral(value) + ", false)"
}

// savepoint holds the settings at the time of a SAVEPOINT.
type savepoint struct {
	name     string
	settings *Settings
	bytes    int // that SettingsTracker.savepointBytes includes for it
}

// SettingsTracker tracks the settings of one session through its transactions. Its zero value is not usable; see
// NewSettingsTracker.
//
// Statements outside a transaction block that are sent together (a query string, or a pipeline up to its
// Sync) are one implicit transaction, as on the server: an error in the last one undoes a SET in the first.
type SettingsTracker struct {
	// startup are the settings that the client requested when it connected. RESET returns to them.
	startup *Settings
	current *Settings
	// atBegin are the settings at the beginning of the transaction.
	atBegin    *Settings
	savepoints []savepoint
	// savepointBytes is the approximate memory of the savepoints and of the settings that they remember.
	savepointBytes int
	inBlock        bool
	// failed is set if an error came after the last ReadyForQuery.
	failed bool
	// stateUnknown is set if the statements seen do not explain the server's status.
	stateUnknown bool
	// resetNames are the settings that RESET set to the connection's default although the session's startup
	// value is another. On the connection their value differs from the session's.
	resetNames []string
}

// NewSettingsTracker returns the tracker of a session that connected with the settings startup.
func NewSettingsTracker(startup *Settings) SettingsTracker {
	return SettingsTracker{startup: startup, current: startup, atBegin: startup}
}

// Settings returns the session's current settings.
func (t *SettingsTracker) Settings() *Settings { return t.current }

// InBlock reports whether the session is in a transaction block.
func (t *SettingsTracker) InBlock() bool { return t.inBlock }

// StateUnknown reports whether the server is in a state that the statements seen do not explain. The settings
// on its connection are then unknown.
func (t *SettingsTracker) StateUnknown() bool { return t.stateUnknown }

// SettingsOnServer returns the settings of the connection that ran the session's statements.
func (t *SettingsTracker) SettingsOnServer() *Settings {
	settings := t.current
	for _, name := range t.resetNames {
		settings = settings.With(name, unknownRendering)
	}
	return settings
}

// Restored records that the session's settings have been applied to the connection.
func (t *SettingsTracker) Restored() { t.resetNames = t.resetNames[:0] }

// Completed records a statement that the server completed with this tag.
func (t *SettingsTracker) Completed(s *Statement, tag string) {
	switch s.Kind {
	case Begin:
		t.inBlock = true
	case Commit, Rollback:
		// The server answers the COMMIT of a failed transaction with the tag ROLLBACK. AND CHAIN shows in the
		// status that follows.
		t.endTransaction(s.Kind == Commit && tag != "ROLLBACK")
	case Savepoint:
		t.addSavepoint(s.Name)
	case RollbackTo:
		if i := t.findSavepoint(s.Name); i >= 0 {
			t.current = t.savepoints[i].settings
			t.keepSavepoints(i + 1)
			t.failed = false
		} else {
			t.stateUnknown = true
		}
	case Release:
		if i := t.findSavepoint(s.Name); i >= 0 {
			t.keepSavepoints(i)
		} else {
			t.stateUnknown = true
		}
	case Set:
		t.current = t.current.With(s.Name, s.Rendering)
	case Reset:
		t.reset(s.Name)
	case ResetAll:
		t.resetAll()
	// DISCARD ALL also resets the role and the session authorization, which RESET ALL does not.
	case DiscardAll:
		t.current = t.current.With("role", "").With("session_authorization", "")
		t.resetAll()
	}
}

func (t *SettingsTracker) reset(name string) {
	rendering := t.startup.Rendering(name)
	t.current = t.current.With(name, rendering)
	if rendering != "" && !slices.Contains(t.resetNames, name) {
		t.resetNames = append(t.resetNames, name)
	}
}

func (t *SettingsTracker) resetAll() {
	// RESET ALL leaves the role and the session authorization as they are.
	role, authorization := t.current.Rendering("role"), t.current.Rendering("session_authorization")
	t.current = t.startup
	t.current = t.current.With("role", role).With("session_authorization", authorization)
	t.resetNames = t.resetNames[:0]
	for name := range t.startup.renderings {
		t.resetNames = append(t.resetNames, name)
	}
}

// Savepoints returns how many savepoints the transaction has.
func (t *SettingsTracker) Savepoints() int { return len(t.savepoints) }

// maxIdleSavepoints is for how many savepoints room is kept between transactions.
const maxIdleSavepoints = 16

// remembered returns the settings to which the latest savepoint or, without one, the whole transaction rolls back.
func (t *SettingsTracker) remembered() *Settings {
	if n := len(t.savepoints); n > 0 {
		return t.savepoints[n-1].settings
	}
	return t.atBegin
}

// addSavepoint adds a savepoint. The settings count for it unless what came before it remembers them too.
func (t *SettingsTracker) addSavepoint(name string) {
	remembered := t.remembered()
	added := savepoint{name: name, settings: t.current, bytes: savepointOverheadBytes + len(name)}
	if t.current != remembered {
		added.bytes += t.current.Bytes()
	}
	t.savepoints = append(t.savepoints, added)
	t.savepointBytes += added.bytes
}

// keepSavepoints forgets all savepoints but the first n.
func (t *SettingsTracker) keepSavepoints(n int) {
	for i := n; i < len(t.savepoints); i++ {
		t.savepointBytes -= t.savepoints[i].bytes
	}
	clear(t.savepoints[n:])
	if t.savepoints = t.savepoints[:n]; n == 0 && cap(t.savepoints) > maxIdleSavepoints {
		t.savepoints = nil
	}
}

// findSavepoint returns the index of the latest savepoint of that name, or -1.
func (t *SettingsTracker) findSavepoint(name string) int {
	for i := len(t.savepoints) - 1; i >= 0; i-- {
		if t.savepoints[i].name == name {
			return i
		}
	}
	return -1
}

// endTransaction ends the transaction. Unless it committed, the settings return to those at its beginning.
func (t *SettingsTracker) endTransaction(commit bool) {
	if !commit {
		t.current = t.atBegin
	}
	t.keepSavepoints(0)
	t.atBegin, t.inBlock = t.current, false
}

// Failed records an error of the server.
func (t *SettingsTracker) Failed() { t.failed = true }

// Ready records the status of a ReadyForQuery: 'I' idle, 'T' in a transaction block, 'E' in a failed block.
func (t *SettingsTracker) Ready(status byte) {
	switch status {
	case 'I':
		if t.inBlock { // the block ended without a statement that ends it
			t.stateUnknown = true
		}
		t.endTransaction(!t.failed && !t.inBlock)
	default:
		// This is COMMIT AND CHAIN, or a block that no statement seen began. What came before it is taken as
		// committed.
		if !t.inBlock {
			t.atBegin, t.inBlock = t.current, true
		}
	}
	t.failed = false
}

// DiscardUncommitted records the loss of the server connection, which rolls back everything that was not committed.
func (t *SettingsTracker) DiscardUncommitted() {
	t.endTransaction(false)
	t.failed, t.stateUnknown = false, false
	t.resetNames = t.resetNames[:0]
}
