package membership

import (
	"cmp"
	"math"
	"slices"
)

// millisPerSecond converts Unix milliseconds to seconds.
const millisPerSecond = 1e3

const (
	// maxNameConflicts bounds the conflicts that a table remembers; the oldest are dropped first.
	maxNameConflicts = 16
	// notifyIntervalMillis is the minimum time between two notifications about one conflict.
	notifyIntervalMillis = 1000
)

// NameConflict is a member name that two incarnations claim.
type NameConflict struct {
	Name       string  `json:"name"`
	Holder     Info    `json:"kept"`    // the incarnation that owns the name
	Rejected   Info    `json:"refused"` // the incarnation that has to give up the name
	LastSeen   float64 `json:"at"`      // Unix milliseconds
	notifiedAt float64 // Unix milliseconds; minus infinity if no notification was sent
}

// Admit decides whether an incarnation may use its member name. A name belongs to the incarnation that
// started first, for as long as that incarnation is alive. An incarnation at the address of the known one
// takes over at once, since two processes cannot listen at one address. If the start times are equal, the
// smaller incarnation number wins, so that all members decide alike. The errors are *NameConflictError and
// *TableFullError.
func (t *Table) Admit(info Info, now float64) error {
	known := t.members[info.Name]
	if known == nil {
		return t.admitNew(now)
	}
	if known.Incarnation == info.Incarnation || t.allowNameConflicts {
		return nil
	}
	// An incarnation at the known address is a restart, or, for this member's own name, gossip about the
	// process that listened at its address before.
	if known.Address == info.Address || known.State == Dead {
		return nil
	}
	holder, rejected := known.Info, info
	if startedBefore(info, known.Info) {
		holder, rejected = info, known.Info
	}
	t.recordConflict(holder, rejected, now)
	return &NameConflictError{Known: known.Info, Claimed: info}
}

// admitNew makes room for a member that is not in the table, or returns a *TableFullError.
func (t *Table) admitNew(now float64) error {
	t.evictLongestDead(now)
	if len(t.members) >= t.maxMembers {
		return &TableFullError{MaxMembers: t.maxMembers}
	}
	return nil
}

// startedBefore orders incarnations of one name by start time, then by incarnation number. The first of them
// owns the name.
func startedBefore(a, b Info) bool {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Incarnation, b.Incarnation)) < 0
}

func (t *Table) recordConflict(holder, rejected Info, now float64) {
	for i := range t.conflicts {
		c := &t.conflicts[i]
		if c.Holder.Incarnation == holder.Incarnation && c.Rejected.Incarnation == rejected.Incarnation {
			c.LastSeen = now
			return
		}
	}
	t.conflicts = append(t.conflicts, NameConflict{
		Name:       holder.Name,
		Holder:     holder,
		Rejected:   rejected,
		LastSeen:   now,
		notifiedAt: math.Inf(-1),
	})
	if len(t.conflicts) > maxNameConflicts {
		t.conflicts = t.conflicts[1:]
	}
}

// ShouldNotify reports whether the incarnations of a name that conflict at the time now are due for a
// notification, and whether it is the first one. It marks the conflict as notified, so that the next
// notification is due only after notifyIntervalMillis.
func (t *Table) ShouldNotify(name string, now float64) (due, first bool) {
	for i := range t.conflicts {
		c := &t.conflicts[i]
		if c.Name != name || c.LastSeen != now || now-c.notifiedAt < notifyIntervalMillis {
			continue
		}
		due = true
		first = first || math.IsInf(c.notifiedAt, -1)
		c.notifiedAt = now
	}
	return due, first
}

// NameConflicts returns the recorded conflicts, oldest first.
func (t *Table) NameConflicts() []NameConflict { return slices.Clone(t.conflicts) }

// NameHolder returns the incarnation to which this one has to give up its name. lost is false if this
// incarnation owns the name.
func (t *Table) NameHolder() (holder Info, lost bool) {
	for _, c := range t.conflicts {
		if c.Rejected.Incarnation == t.self.Incarnation {
			return c.Holder, true
		}
	}
	return Info{}, false
}
