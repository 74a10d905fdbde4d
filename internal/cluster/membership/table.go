// Package member knows who the poolers of a fleet are. The table in this file decides what is believed of each and takes
// the time as an argument; gossip.go carries it over hashicorp/memberlist and is the only user of that library.
package membership

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// State is what is believed of a member. The first three are the member's own word, the others are judged.
type State string

// The states of a member.
const (
	Starting State = "starting" // it runs and holds no list of db hosts yet
	Serving  State = "serving"
	Draining State = "draining" // it was told to end
	Suspect  State = "suspect"  // it did not answer; it may still be there
	Dead     State = "gone"     // it left, or was suspect for as long as a member that is there needs to object
)

// Info is what a member tells of itself.
type Info struct {
	Name         string  `json:"name"`
	Address      string  `json:"address"`  // where it says that it listens; another member may reach it elsewhere
	Incarnation  uint64  `json:"instance"` // drawn at the start of its process
	StartedAt    float64 `json:"started"`  // of that, Unix milliseconds by its own clock
	Version      string  `json:"version"`  // of the program
	OldestFormat int     `json:"oldest"`   // formats between poolers that it reads: from this one
	NewestFormat int     `json:"newest"`   // to this one, which it writes
	Zone         string  `json:"zone"`
	State        State   `json:"state"`
}

// encodedInfo is Info as it travels: short keys, since gossip has room for 512 bytes. What the carrier knows is left out.
type encodedInfo struct {
	Instance string  `json:"i"`
	Started  float64 `json:"t"`
	Version  string  `json:"v,omitempty"`
	Oldest   int     `json:"o"`
	Newest   int     `json:"n"`
	Zone     string  `json:"z,omitempty"`
	State    State   `json:"s"`
}

// The bounds of what a member may say of itself, in bytes.
const (
	MaxNameBytes    = 64
	maxVersionBytes = 80
	maxZoneBytes    = 64
)

// Encode returns what travels of a member's own word, in at most limit bytes.
func (i Info) Encode(limit int) ([]byte, error) {
	m := encodedInfo{
		fmt.Sprintf("%016x", i.Incarnation), i.StartedAt, i.Version[:min(len(i.Version), maxVersionBytes)], i.OldestFormat, i.NewestFormat,
		i.Zone[:min(len(i.Zone), maxZoneBytes)], i.State,
	}
	b, err := json.Marshal(m)
	if err == nil && len(b) > limit {
		err = fmt.Errorf("what the member says of itself takes %d bytes, %d are the most", len(b), limit)
	}
	return b, err
}

// ErrMalformedInfo is a member's word that makes no sense.
var ErrMalformedInfo = errors.New("a member's word that can't be read")

// DecodeInfo reads it. Anything that a member may not say of itself is an error.
func DecodeInfo(name, address string, b []byte) (Info, error) {
	var m encodedInfo
	if err := json.Unmarshal(b, &m); err != nil {
		return Info{}, fmt.Errorf("%w: %w", ErrMalformedInfo, err)
	}
	i := Info{
		Name: name, Address: address, StartedAt: m.Started, Version: m.Version, OldestFormat: m.Oldest, NewestFormat: m.Newest, Zone: m.Zone,
		State: m.State,
	}
	_, err := fmt.Sscanf(m.Instance, "%016x", &i.Incarnation)
	switch {
	case err != nil || i.Incarnation == 0:
		return Info{}, fmt.Errorf("%w: instance %q", ErrMalformedInfo, m.Instance)
	case name == "" || len(name) > MaxNameBytes:
		return Info{}, fmt.Errorf("%w: a name of %d bytes", ErrMalformedInfo, len(name))
	case i.State != Starting && i.State != Serving && i.State != Draining:
		return Info{}, fmt.Errorf("%w: state %q", ErrMalformedInfo, m.State)
	case i.OldestFormat < 1 || i.NewestFormat < i.OldestFormat:
		return Info{}, fmt.Errorf("%w: formats %d to %d", ErrMalformedInfo, i.OldestFormat, i.NewestFormat)
	}
	return i, nil
}

// Member is a line of the table.
type Member struct {
	Info
	Since float64 `json:"since"` // when it came into this state, Unix milliseconds by the clock of the table's owner
}

// NameConflict is a name that came twice.
type NameConflict struct {
	Name       string  `json:"name"`
	Holder     Info    `json:"kept"` // the one that the table goes on with
	Rejected   Info    `json:"refused"`
	LastSeen   float64 `json:"at"` // when it was met last
	notifiedAt float64
}

// Change is one line of a table's history.
type Change struct {
	At                  float64 `json:"at"`
	Name                string  `json:"name"`
	From                State   `json:"from"` // "": it was not there
	To                  State   `json:"to"`   // "": it was forgotten
	PreviousIncarnation uint64  `json:"before"`
	Incarnation         uint64  `json:"now"` // instances
}

// The bounds of a table.
const (
	// deadRetentionMillis is how long a member that is gone stays in sight, in milliseconds: operators look for it there.
	deadRetentionMillis = 10 * 60 * 1000
	// maxNameConflicts is how many names that came twice are told; the oldest go first.
	maxNameConflicts = 16
)

// Errors of Claim.
var (
	ErrNameConflict = errors.New("the name is held by another instance")
	ErrTableFull    = errors.New("there are as many members as may be")
)

// Table is what one pooler believes of all, itself included. It is not safe for concurrent use.
type Table struct {
	self    Info
	most    int
	members map[string]*Member
	twins   []NameConflict
	history []Change // since Changes was called last
	loose   bool     // lets a name come twice: only to see a checker fail
}

// NewTable returns the table of self, for so many members at the most.
func NewTable(self Info, most int, now float64) *Table {
	t := &Table{self: self, most: max(1, most), members: map[string]*Member{}}
	t.put(self, self.State, now)
	return t
}

// SetState changes the table's own word.
func (t *Table) SetState(s State, now float64) {
	t.self.State = s
	t.put(t.self, s, now)
}

// Admit says whether an instance may be believed to be the member of its name. A name belongs to the instance that
// started first for as long as that one is there; an instance that starts again at the same address takes over at once,
// since two can't listen there. Equal starts are settled by the smaller number, alike at all.
func (t *Table) Admit(i Info, now float64) error {
	m := t.members[i.Name]
	if m == nil {
		if t.room(now); len(t.members) >= t.most {
			return fmt.Errorf("%w: %d", ErrTableFull, t.most)
		}
		return nil
	}
	if m.Incarnation == i.Incarnation || t.loose {
		return nil
	}
	if m.Address == i.Address || m.State == Dead { // of the own name: what is still told of the process before this one
		return nil
	}
	kept, sent := m.Info, i
	if first(i, m.Info) {
		kept, sent = i, m.Info
	}
	t.twin(kept, sent, now)
	return fmt.Errorf("%w: %q started %.3f at %s is instance %016x, and %.3f at %s is %016x", ErrNameConflict, i.Name, m.StartedAt/1e3, m.Address, m.Incarnation,
		i.StartedAt/1e3, i.Address, i.Incarnation)
}

// first says whether a holds a name that b has too.
func first(a, b Info) bool {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Incarnation, b.Incarnation)) < 0
}

func (t *Table) twin(kept, sent Info, now float64) {
	for i := range t.twins {
		if w := &t.twins[i]; w.Holder.Incarnation == kept.Incarnation && w.Rejected.Incarnation == sent.Incarnation {
			w.LastSeen = now
			return
		}
	}
	t.twins = append(t.twins, NameConflict{Name: kept.Name, Holder: kept, Rejected: sent, LastSeen: now, notifiedAt: math.Inf(-1)})
	if len(t.twins) > maxNameConflicts {
		t.twins = t.twins[1:]
	}
}

// notifyIntervalMillis is how long after a word on two instances of a name the next one is due, in milliseconds.
const notifyIntervalMillis = 1000

// ShouldNotify says whether somebody has to be told now of a name that came twice, and whether it is the first time.
func (t *Table) ShouldNotify(name string, now float64) (due, first bool) {
	for i := range t.twins {
		if w := &t.twins[i]; w.Name == name && w.LastSeen == now && now-w.notifiedAt >= notifyIntervalMillis {
			due, first = true, first || math.IsInf(w.notifiedAt, -1)
			w.notifiedAt = now
		}
	}
	return due, first
}

// NameConflicts are the names that came twice, the oldest first.
func (t *Table) NameConflicts() []NameConflict { return slices.Clone(t.twins) }

// NameHolder says whether this instance has to give its name up, and to whom.
func (t *Table) NameHolder() (holder Info, refused bool) {
	for _, w := range t.twins {
		if w.Rejected.Incarnation == t.self.Incarnation {
			return w.Holder, true
		}
	}
	return Info{}, false
}

// Observe takes a member's own word that Claim has let pass. alive is false once the carrier has given it up or it has
// left; doubt says that it does not answer.
func (t *Table) Observe(i Info, alive, doubt bool, now float64) {
	if i.Name == t.self.Name {
		return
	}
	s := i.State
	if m := t.members[i.Name]; m != nil && !alive && m.Incarnation != i.Incarnation {
		return // news of an earlier instance
	}
	switch {
	case !alive:
		s = Dead
	case doubt:
		s = Suspect
	}
	if t.members[i.Name] == nil && len(t.members) >= t.most {
		return // Claim says so to whoever asks
	}
	t.put(i, s, now)
}

func (t *Table) put(i Info, s State, now float64) {
	m := t.members[i.Name]
	if m == nil {
		m = &Member{}
		t.members[i.Name] = m
		t.note(now, i.Name, "", s, 0, i.Incarnation)
		m.Since = now
	} else if m.State != s || m.Incarnation != i.Incarnation {
		t.note(now, i.Name, m.State, s, m.Incarnation, i.Incarnation)
		m.Since = now
	}
	m.Info = i
	m.State = s
}

// maxPendingChanges bounds what Changes returns; whoever asks seldom loses the oldest.
const maxPendingChanges = 4096

func (t *Table) note(at float64, name string, from, to State, before, now uint64) {
	if len(t.history) >= maxPendingChanges {
		t.history = t.history[1:]
	}
	t.history = append(t.history, Change{at, name, from, to, before, now})
}

// Tick forgets members that have been gone for long.
func (t *Table) Tick(now float64) {
	for name, m := range t.members {
		if m.State == Dead && now-m.Since > deadRetentionMillis {
			t.forget(name, m, now)
		}
	}
}

// room makes some by forgetting the member that has been gone for longest.
func (t *Table) room(now float64) {
	if len(t.members) < t.most {
		return
	}
	var oldest *Member
	for _, m := range t.members {
		if m.State == Dead && (oldest == nil || cmp.Or(cmp.Compare(m.Since, oldest.Since), cmp.Compare(m.Name, oldest.Name)) < 0) {
			oldest = m
		}
	}
	if oldest != nil {
		t.forget(oldest.Name, oldest, now)
	}
}

func (t *Table) forget(name string, m *Member, now float64) {
	t.note(now, name, m.State, "", m.Incarnation, 0)
	delete(t.members, name)
}

// TakeChanges returns what has changed since it was called last.
func (t *Table) TakeChanges() []Change {
	h := t.history
	t.history = nil
	return h
}

// Members are all lines by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// CommonFormats is the range of formats that all members which are not gone can read: what is written has to lie in it. ok is
// false where there is none, and the members that stand apart are named.
func (t *Table) CommonFormats() (oldest, newest int, apart []string) {
	oldest, newest = t.self.OldestFormat, t.self.NewestFormat
	for _, m := range t.Members() {
		if m.State == Dead {
			continue
		}
		if m.OldestFormat > newest || m.NewestFormat < oldest {
			apart = append(apart, m.Name)
			continue
		}
		oldest, newest = max(oldest, m.OldestFormat), min(newest, m.NewestFormat)
	}
	return oldest, newest, apart
}
