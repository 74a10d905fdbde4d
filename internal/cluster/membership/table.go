package membership

import (
	"cmp"
	"slices"
)

const (
	// deadRetentionMillis is how long a dead member stays in the table, so that operators can see it.
	deadRetentionMillis = 10 * 60 * 1000
	// maxPendingChanges bounds the changes that TakeChanges returns. If the caller takes them too seldom, the
	// oldest are lost.
	maxPendingChanges = 4096
)

// Member is an entry of the table.
type Member struct {
	Info
	Since float64 `json:"since"` // when it entered its state, Unix milliseconds by the clock of the table's owner
}

// Change is a change of one member's state or incarnation.
type Change struct {
	At                  float64 `json:"at"` // Unix milliseconds
	Name                string  `json:"name"`
	From                State   `json:"from"` // empty if the member was not in the table
	To                  State   `json:"to"`   // empty if the member was removed from the table
	PreviousIncarnation uint64  `json:"before"`
	Incarnation         uint64  `json:"now"`
}

// Liveness is what failure detection reports about a member.
type Liveness int

// The values of Liveness.
const (
	LivenessAlive   Liveness = iota
	LivenessSuspect          // the member does not answer probes
	LivenessDead             // the member left, or did not refute the suspicion in time
)

// Table is one pooler's view of all members, including itself. It is not safe for concurrent use.
type Table struct {
	self       Info
	maxMembers int
	members    map[string]*Member // by name
	conflicts  []NameConflict
	changes    []Change // since the last TakeChanges

	// allowNameConflicts admits every incarnation of a name, so that a test can see the checker of name
	// ownership fail.
	allowNameConflicts bool
}

// NewTable returns a table that contains self and holds at most maxMembers members, self included.
func NewTable(self Info, maxMembers int, now float64) *Table {
	t := &Table{self: self, maxMembers: max(1, maxMembers), members: map[string]*Member{}}
	t.put(self, self.State, now)
	return t
}

// SetState changes the state that the table's owner reports about itself.
func (t *Table) SetState(state State, now float64) {
	t.self.State = state
	t.put(t.self, state, now)
}

// Observe records what an admitted member reports about itself and its liveness according to failure
// detection. It ignores observations of the table's owner.
func (t *Table) Observe(info Info, liveness Liveness, now float64) {
	if info.Name == t.self.Name {
		return
	}
	known := t.members[info.Name]
	if known == nil && len(t.members) >= t.maxMembers {
		return // Admit reports the full table
	}
	if known != nil && liveness == LivenessDead && known.Incarnation != info.Incarnation {
		return // an earlier incarnation died, not the present one
	}
	state := info.State
	switch liveness {
	case LivenessAlive:
	case LivenessSuspect:
		state = Suspect
	case LivenessDead:
		state = Dead
	}
	t.put(info, state, now)
}

func (t *Table) put(info Info, state State, now float64) {
	m := t.members[info.Name]
	if m == nil {
		m = &Member{Since: now}
		t.members[info.Name] = m
		t.recordChange(Change{At: now, Name: info.Name, To: state, Incarnation: info.Incarnation})
	} else if m.State != state || m.Incarnation != info.Incarnation {
		t.recordChange(Change{
			At:                  now,
			Name:                info.Name,
			From:                m.State,
			To:                  state,
			PreviousIncarnation: m.Incarnation,
			Incarnation:         info.Incarnation,
		})
		m.Since = now
	}
	m.Info = info
	m.State = state
}

func (t *Table) recordChange(c Change) {
	if len(t.changes) >= maxPendingChanges {
		t.changes = t.changes[1:]
	}
	t.changes = append(t.changes, c)
}

// RemoveExpired removes the members that have been dead for longer than deadRetentionMillis.
func (t *Table) RemoveExpired(now float64) {
	for _, m := range t.members {
		if m.State == Dead && now-m.Since > deadRetentionMillis {
			t.remove(m, now)
		}
	}
}

// evictLongestDead removes the member that has been dead for longest, if the table is full.
func (t *Table) evictLongestDead(now float64) {
	if len(t.members) < t.maxMembers {
		return
	}
	var oldest *Member
	for _, m := range t.members {
		if m.State != Dead {
			continue
		}
		if oldest == nil || cmp.Or(cmp.Compare(m.Since, oldest.Since), cmp.Compare(m.Name, oldest.Name)) < 0 {
			oldest = m
		}
	}
	if oldest != nil {
		t.remove(oldest, now)
	}
}

func (t *Table) remove(m *Member, now float64) {
	t.recordChange(Change{At: now, Name: m.Name, From: m.State, PreviousIncarnation: m.Incarnation})
	delete(t.members, m.Name)
}

// TakeChanges returns the changes since its last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Members returns all members, sorted by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// CommonFormats returns the range of message formats common to this pooler and the members that are not dead. It
// starts with this pooler's own range and narrows it by each member in order of name. A member that reads none of
// the range so far is returned as incompatible and does not narrow it.
func (t *Table) CommonFormats() (oldest, newest int, incompatible []string) {
	oldest, newest = t.self.OldestFormat, t.self.NewestFormat
	for _, m := range t.Members() {
		if m.State == Dead {
			continue
		}
		if m.OldestFormat > newest || m.NewestFormat < oldest {
			incompatible = append(incompatible, m.Name)
			continue
		}
		oldest, newest = max(oldest, m.OldestFormat), min(newest, m.NewestFormat)
	}
	return oldest, newest, incompatible
}
