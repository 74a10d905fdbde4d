package migration

import (
	"encoding/json"
	"fmt"
	"strings"

	"ashstand/internal/cluster/jobs"
)

// Phase is where a move stands.
type Phase string

// The phases, in order; the last two are of a move that is taken back.
const (
	Planned    Phase = "planned"
	Checked    Phase = "checked"
	Copying    Phase = "copying"
	CatchingUp Phase = "catching up"
	Closing    Phase = "closing"   // paused in the agreed rules; running writers end
	Verifying  Phase = "verifying" // the home is fenced; the other one has to have and to show all of it
	Switched   Phase = "switched"  // and fed back to the old home
	Accepted   Phase = "accepted"
	Done       Phase = "done"
	Clearing   Phase = "clearing" // taken back: what was built is removed
	TakenBack  Phase = "taken back"
)

// Phases are all of them.
var Phases = []Phase{Planned, Checked, Copying, CatchingUp, Closing, Verifying, Switched, Accepted, Done, Clearing, TakenBack}

// Back says for each phase what taking the move back means there. Operators are shown it.
var Back = map[Phase]string{
	Planned:    "nothing was begun: the move ends",
	Checked:    "nothing was changed: the move ends",
	Copying:    "the subscription, its slot and the publication are dropped and the copy at the new home is emptied; clients notice nothing",
	CatchingUp: "the subscription, its slots and the publications are dropped and the copy at the new home is emptied; clients notice nothing",
	Closing:    "the old home opens again and the pause ends; then as from catching up",
	Verifying:  "the old home opens again and the pause ends; then as from catching up",
	Switched: "the tenant is paused once more, the old home takes in the new one's last write, both are held against each other, and the old " +
		"home opens: no commit is lost",
	Accepted:  "there is no way back by this move: the old home is fed no longer; order a move the other way",
	Done:      "there is no way back by this move: order a move the other way",
	Clearing:  "it is being taken back already",
	TakenBack: "it was taken back",
}

// Position is a place in a group's write-ahead log, in bytes.
type Position uint64

func (p Position) String() string { return fmt.Sprintf("%X/%X", uint64(p)>>32, uint32(p)) }

// Begun is a moment by the clock of the owner that holds Token. No other owner can tell how long ago it was.
type Begun struct {
	At    float64           `json:"at"`
	Token jobs.FencingToken `json:"token"`
}

// since is how long ago it was; false: another owner's clock said it.
func (b Begun) since(now float64, t jobs.FencingToken) (float64, bool) {
	return now - b.At, b.Token == t
}

// State is what proven deeds have left. It stays below the ledger's bound whatever a tenant holds: lists are cut.
type State struct {
	Phase   Phase  `json:"phase"`
	Reverse bool   `json:"reverse,omitempty"` // the pause takes the tenant from the new home to the old one
	Back    string `json:"back,omitempty"`    // why it is taken back; "": it isn't
	Held    string `json:"held,omitempty"`    // why it waits for resume or rollback

	Findings   Findings     `json:"findings,omitempty"`
	Differ     []Difference `json:"differ,omitempty"`
	Stragglers []Straggler  `json:"stragglers,omitempty"`
	Lost       []string     `json:"lost,omitempty"`  // commits that a failover left behind, as far as it is known
	Notes      []string     `json:"notes,omitempty"` // the latest

	Published bool    `json:"published,omitempty"`
	Copy      Copy    `json:"copy"`
	Compare   Compare `json:"compare"`
	Lines     Lines   `json:"lines"`           // that the copy and the marks of touched ranges rest on
	Doubt     bool    `json:"doubt,omitempty"` // a home failed over since it was copied: a difference would not surprise
	Again     bool    `json:"again,omitempty"` // it has to be copied anew
	Pause     *Pause  `json:"pause,omitempty"`
	Tries     int     `json:"tries,omitempty"` // pauses that were taken back since an operator spoke
	Rested    Begun   `json:"rested"`          // when the last one was
	Fed       bool    `json:"fed,omitempty"`   // the old home has its subscription to the new one
}

// Lines are timelines: of the home, and of the other one.
type Lines struct {
	Home  int `json:"home,omitempty"`
	Other int `json:"other,omitempty"`
}

// Copy is how far the first copy is.
type Copy struct {
	After string  `json:"after,omitempty"` // the last table that was handed over, in the order of names
	All   bool    `json:"all,omitempty"`   // no table follows
	Rows  float64 `json:"rows,omitempty"`  // that were handed over last
	Begun Begun   `json:"begun"`           // then
	Again int     `json:"again,omitempty"` // times that it was begun anew
}

// Compare is how far the comparison before the pause is.
type Compare struct {
	After  string `json:"after,omitempty"` // the last range
	All    bool   `json:"all,omitempty"`
	Ranges int    `json:"ranges,omitempty"` // found equal
	Hot    int    `json:"hot,omitempty"`    // that changed while they were read: left for the pause
	Begun  Begun  `json:"begun"`
}

// Pause is a pause that is under way.
type Pause struct {
	Begun    Begun   `json:"begun"` // when it was decided on, before anybody was refused
	Version  int     `json:"version"`
	Closes   int     `json:"closes,omitempty"` // tries at closing
	Closed   *Closed `json:"closed,omitempty"`
	Verified bool    `json:"verified,omitempty"`
	Ranges   int     `json:"ranges,omitempty"` // read again in the pause
	Reads    int     `json:"reads,omitempty"`
}

// Closed is a home that is fenced.
type Closed struct {
	Line     int      `json:"line"`     // its timeline: another one may lack the fence
	Position Position `json:"position"` // past its last write
}

const (
	mostNamed  = 8   // findings, differences, stragglers, losses, notes that a state holds
	mostText   = 100 // bytes of each of their texts
	mostCursor = 600 // bytes of a place to go on from: two names and a key, quoted
)

func stateOf(w *jobs.Job) (s State, err error) {
	s.Phase = Planned
	if len(w.State) > 0 {
		err = json.Unmarshal(w.State, &s)
	}
	return s, err
}

// StateOf reads a work's state.
func StateOf(w *jobs.Job) (State, error) { return stateOf(w) }

func (s *State) note(format string, args ...any) {
	s.Notes = keep(append(s.Notes, clip(fmt.Sprintf(format, args...))))
}

// keep leaves the latest of a list.
func keep[T any](all []T) []T { return all[max(0, len(all)-mostNamed):] }

// clip shortens a text for the log, and leaves in it only what takes one byte there.
func clip(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' || strings.ContainsRune("<>&\"\\", r) {
			return '?'
		}
		return r
	}, s)
	return s[:min(len(s), mostText)]
}

// home is the group that serves the tenant while a pause is under way or none, and other the one that it would go to.
func (s State) home(p Plan) (home, other Group) {
	if s.Reverse || s.Phase == Switched || s.Phase == Accepted || s.Phase == Done {
		return p.To, p.From
	}
	return p.From, p.To
}
