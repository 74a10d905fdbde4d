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
	Gone     State = "gone"     // it left, or was suspect for as long as a member that is there needs to object
)

// Info is what a member tells of itself.
type Info struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"`  // where it says that it listens; another member may reach it elsewhere
	Instance uint64  `json:"instance"` // drawn at the start of its process
	Started  float64 `json:"started"`  // of that, Unix milliseconds by its own clock
	Version  string  `json:"version"`  // of the program
	Oldest   int     `json:"oldest"`   // formats between poolers that it reads: from this one
	Newest   int     `json:"newest"`   // to this one, which it writes
	Zone     string  `json:"zone"`
	State    State   `json:"state"`
}

// meta is Info as it travels: short keys, since gossip has room for 512 bytes. What the carrier knows is left out.
type meta struct {
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
	MaxName    = 64
	maxVersion = 80
	maxZone    = 64
)

// Encode returns what travels of a member's own word, in at most limit bytes.
func (i Info) Encode(limit int) ([]byte, error) {
	m := meta{
		fmt.Sprintf("%016x", i.Instance), i.Started, i.Version[:min(len(i.Version), maxVersion)], i.Oldest, i.Newest,
		i.Zone[:min(len(i.Zone), maxZone)], i.State,
	}
	b, err := json.Marshal(m)
	if err == nil && len(b) > limit {
		err = fmt.Errorf("what the member says of itself takes %d bytes, %d are the most", len(b), limit)
	}
	return b, err
}

// errWord is a member's word that makes no sense.
var errWord = errors.New("a member's word that can't be read")

// Decode reads it. Anything that a member may not say of itself is an error.
func Decode(name, address string, b []byte) (Info, error) {
	var m meta
	if err := json.Unmarshal(b, &m); err != nil {
		return Info{}, fmt.Errorf("%w: %w", errWord, err)
	}
	i := Info{
		Name: name, Address: address, Started: m.Started, Version: m.Version, Oldest: m.Oldest, Newest: m.Newest, Zone: m.Zone,
		State: m.State,
	}
	_, err := fmt.Sscanf(m.Instance, "%016x", &i.Instance)
	switch {
	case err != nil || i.Instance == 0:
		return Info{}, fmt.Errorf("%w: instance %q", errWord, m.Instance)
	case name == "" || len(name) > MaxName:
		return Info{}, fmt.Errorf("%w: a name of %d bytes", errWord, len(name))
	case i.State != Starting && i.State != Serving && i.State != Draining:
		return Info{}, fmt.Errorf("%w: state %q", errWord, m.State)
	case i.Oldest < 1 || i.Newest < i.Oldest:
		return Info{}, fmt.Errorf("%w: formats %d to %d", errWord, i.Oldest, i.Newest)
	}
	return i, nil
}

// Member is a line of the table.
type Member struct {
	Info
	Since float64 `json:"since"` // when it came into this state, Unix milliseconds by the clock of the table's owner
}

// Twin is a name that came twice.
type Twin struct {
	Name string  `json:"name"`
	Kept Info    `json:"kept"` // the one that the table goes on with
	Sent Info    `json:"refused"`
	At   float64 `json:"at"` // when it was met last
	told float64
}

// Change is one line of a table's history.
type Change struct {
	At     float64 `json:"at"`
	Name   string  `json:"name"`
	From   State   `json:"from"` // "": it was not there
	To     State   `json:"to"`   // "": it was forgotten
	Before uint64  `json:"before"`
	Now    uint64  `json:"now"` // instances
}

// The bounds of a table.
const (
	// forgetAfter is how long a member that is gone stays in sight, in milliseconds: operators look for it there.
	forgetAfter = 10 * 60 * 1000
	// twinsKept is how many names that came twice are told; the oldest go first.
	twinsKept = 16
)

// Errors of Claim.
var (
	ErrTwin = errors.New("the name is held by another instance")
	ErrFull = errors.New("there are as many members as may be")
)

// Table is what one pooler believes of all, itself included. It is not safe for concurrent use.
type Table struct {
	self    Info
	most    int
	members map[string]*Member
	twins   []Twin
	history []Change // since Changes was called last
	loose   bool     // lets a name come twice: only to see a checker fail
}

// NewTable returns the table of self, for so many members at the most.
func NewTable(self Info, most int, now float64) *Table {
	t := &Table{self: self, most: max(1, most), members: map[string]*Member{}}
	t.put(self, self.State, now)
	return t
}

// Self changes the table's own word.
func (t *Table) Self(s State, now float64) {
	t.self.State = s
	t.put(t.self, s, now)
}

// Claim says whether an instance may be believed to be the member of its name. A name belongs to the instance that
// started first for as long as that one is there; an instance that starts again at the same address takes over at once,
// since two can't listen there. Equal starts are settled by the smaller number, alike at all.
func (t *Table) Claim(i Info, now float64) error {
	m := t.members[i.Name]
	if m == nil {
		if t.room(now); len(t.members) >= t.most {
			return fmt.Errorf("%w: %d", ErrFull, t.most)
		}
		return nil
	}
	if m.Instance == i.Instance || t.loose {
		return nil
	}
	if m.Address == i.Address || m.State == Gone { // of the own name: what is still told of the process before this one
		return nil
	}
	kept, sent := m.Info, i
	if first(i, m.Info) {
		kept, sent = i, m.Info
	}
	t.twin(kept, sent, now)
	return fmt.Errorf("%w: %q started %.3f at %s is instance %016x, and %.3f at %s is %016x", ErrTwin, i.Name, m.Started/1e3, m.Address, m.Instance,
		i.Started/1e3, i.Address, i.Instance)
}

// first says whether a holds a name that b has too.
func first(a, b Info) bool {
	return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Instance, b.Instance)) < 0
}

func (t *Table) twin(kept, sent Info, now float64) {
	for i := range t.twins {
		if w := &t.twins[i]; w.Kept.Instance == kept.Instance && w.Sent.Instance == sent.Instance {
			w.At = now
			return
		}
	}
	t.twins = append(t.twins, Twin{Name: kept.Name, Kept: kept, Sent: sent, At: now, told: math.Inf(-1)})
	if len(t.twins) > twinsKept {
		t.twins = t.twins[1:]
	}
}

// tellAgain is how long after a word on two instances of a name the next one is due, in milliseconds.
const tellAgain = 1000

// Tell says whether somebody has to be told now of a name that came twice, and whether it is the first time.
func (t *Table) Tell(name string, now float64) (due, first bool) {
	for i := range t.twins {
		if w := &t.twins[i]; w.Name == name && w.At == now && now-w.told >= tellAgain {
			due, first = true, first || math.IsInf(w.told, -1)
			w.told = now
		}
	}
	return due, first
}

// Twins are the names that came twice, the oldest first.
func (t *Table) Twins() []Twin { return slices.Clone(t.twins) }

// Refused says whether this instance has to give its name up, and to whom.
func (t *Table) Refused() (holder Info, refused bool) {
	for _, w := range t.twins {
		if w.Sent.Instance == t.self.Instance {
			return w.Kept, true
		}
	}
	return Info{}, false
}

// Hear takes a member's own word that Claim has let pass. alive is false once the carrier has given it up or it has
// left; doubt says that it does not answer.
func (t *Table) Hear(i Info, alive, doubt bool, now float64) {
	if i.Name == t.self.Name {
		return
	}
	s := i.State
	if m := t.members[i.Name]; m != nil && !alive && m.Instance != i.Instance {
		return // news of an earlier instance
	}
	switch {
	case !alive:
		s = Gone
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
		t.note(now, i.Name, "", s, 0, i.Instance)
		m.Since = now
	} else if m.State != s || m.Instance != i.Instance {
		t.note(now, i.Name, m.State, s, m.Instance, i.Instance)
		m.Since = now
	}
	m.Info = i
	m.State = s
}

// historyKept bounds what Changes returns; whoever asks seldom loses the oldest.
const historyKept = 4096

func (t *Table) note(at float64, name string, from, to State, before, now uint64) {
	if len(t.history) >= historyKept {
		t.history = t.history[1:]
	}
	t.history = append(t.history, Change{at, name, from, to, before, now})
}

// Tick forgets members that have been gone for long.
func (t *Table) Tick(now float64) {
	for name, m := range t.members {
		if m.State == Gone && now-m.Since > forgetAfter {
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
		if m.State == Gone && (oldest == nil || cmp.Or(cmp.Compare(m.Since, oldest.Since), cmp.Compare(m.Name, oldest.Name)) < 0) {
			oldest = m
		}
	}
	if oldest != nil {
		t.forget(oldest.Name, oldest, now)
	}
}

func (t *Table) forget(name string, m *Member, now float64) {
	t.note(now, name, m.State, "", m.Instance, 0)
	delete(t.members, name)
}

// Changes returns what has changed since it was called last.
func (t *Table) Changes() []Change {
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

// Common is the range of formats that all members which are not gone can read: what is written has to lie in it. ok is
// false where there is none, and the members that stand apart are named.
func (t *Table) Common() (oldest, newest int, apart []string) {
	oldest, newest = t.self.Oldest, t.self.Newest
	for _, m := range t.Members() {
		if m.State == Gone {
			continue
		}
		if m.Oldest > newest || m.Newest < oldest {
			apart = append(apart, m.Name)
			continue
		}
		oldest, newest = max(oldest, m.Oldest), min(newest, m.Newest)
	}
	return oldest, newest, apart
}
