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
	PhasePlanned    Phase = "planned"
	PhaseChecked    Phase = "checked"
	PhaseCopying    Phase = "copying"
	PhaseCatchingUp Phase = "catching up"
	PhaseFencing    Phase = "closing"   // paused in the agreed rules; running writers end
	PhaseVerifying  Phase = "verifying" // the home is fenced; the other one has to have and to show all of it
	PhaseSwitched   Phase = "switched"  // and fed back to the old home
	PhaseAccepted   Phase = "accepted"
	PhaseCompleted  Phase = "done"
	PhaseCleaningUp Phase = "clearing" // taken back: what was built is removed
	PhaseRolledBack Phase = "taken back"
)

// Phases are all of them.
var Phases = []Phase{PhasePlanned, PhaseChecked, PhaseCopying, PhaseCatchingUp, PhaseFencing, PhaseVerifying, PhaseSwitched, PhaseAccepted, PhaseCompleted, PhaseCleaningUp, PhaseRolledBack}

// RollbackEffects says for each phase what taking the move back means there. Operators are shown it.
var RollbackEffects = map[Phase]string{
	PhasePlanned:    "nothing was begun: the move ends",
	PhaseChecked:    "nothing was changed: the move ends",
	PhaseCopying:    "the subscription, its slot and the publication are dropped and the copy at the new home is emptied; clients notice nothing",
	PhaseCatchingUp: "the subscription, its slots and the publications are dropped and the copy at the new home is emptied; clients notice nothing",
	PhaseFencing:    "the old home opens again and the pause ends; then as from catching up",
	PhaseVerifying:  "the old home opens again and the pause ends; then as from catching up",
	PhaseSwitched: "the tenant is paused once more, the old home takes in the new one's last write, both are held against each other, and the old " +
		"home opens: no commit is lost",
	PhaseAccepted:   "there is no way back by this move: the old home is fed no longer; order a move the other way",
	PhaseCompleted:  "there is no way back by this move: order a move the other way",
	PhaseCleaningUp: "it is being taken back already",
	PhaseRolledBack: "it was taken back",
}

// LSN is a place in a group's write-ahead log, in bytes.
type LSN uint64

func (p LSN) String() string { return fmt.Sprintf("%X/%X", uint64(p)>>32, uint32(p)) }

// LeaseTime is a moment by the clock of the owner that holds Token. No other owner can tell how long ago it was.
type LeaseTime struct {
	At    float64           `json:"at"`
	Token jobs.FencingToken `json:"token"`
}

// elapsed is how long ago it was; false: another owner's clock said it.
func (b LeaseTime) elapsed(now float64, t jobs.FencingToken) (float64, bool) {
	return now - b.At, b.Token == t
}

// State is what proven deeds have left. It stays below the ledger's bound whatever a tenant holds: lists are cut.
type State struct {
	Phase          Phase  `json:"phase"`
	Reverse        bool   `json:"reverse,omitempty"` // the pause takes the tenant from the new home to the old one
	RollbackReason string `json:"back,omitempty"`    // why it is taken back; "": it isn't
	HoldReason     string `json:"held,omitempty"`    // why it waits for resume or rollback

	CheckResults     CheckResults      `json:"findings,omitempty"`
	Differences      []Difference      `json:"differ,omitempty"`
	BlockingSessions []BlockingSession `json:"stragglers,omitempty"`
	LostCommits      []string          `json:"lost,omitempty"`  // commits that a failover left behind, as far as it is known
	Notes            []string          `json:"notes,omitempty"` // the latest

	Published          bool                 `json:"published,omitempty"`
	Copy               CopyCheckpoint       `json:"copy"`
	Comparison         ComparisonCheckpoint `json:"compare"`
	Timelines          Timelines            `json:"lines"`           // that the copy and the marks of touched ranges rest on
	FailedOver         bool                 `json:"doubt,omitempty"` // a home failed over since it was copied: a difference would not surprise
	RecopyRequired     bool                 `json:"again,omitempty"` // it has to be copied anew
	Pause              *Pause               `json:"pause,omitempty"`
	AbortedPauses      int                  `json:"tries,omitempty"` // pauses that were taken back since an operator spoke
	LastAbort          LeaseTime            `json:"rested"`          // when the last one was
	ReverseReplicating bool                 `json:"fed,omitempty"`   // the old home has its subscription to the new one
}

// Timelines are timelines: of the home, and of the other one.
type Timelines struct {
	Source int `json:"home,omitempty"`
	Target int `json:"other,omitempty"`
}

// CopyCheckpoint is how far the first copy is.
type CopyCheckpoint struct {
	LastTable    string    `json:"after,omitempty"` // the last table that was handed over, in the order of names
	Complete     bool      `json:"all,omitempty"`   // no table follows
	BatchRows    float64   `json:"rows,omitempty"`  // that were handed over last
	BatchStarted LeaseTime `json:"begun"`           // then
	Restarts     int       `json:"again,omitempty"` // times that it was begun anew
}

// ComparisonCheckpoint is how far the comparison before the pause is.
type ComparisonCheckpoint struct {
	LastRange     string    `json:"after,omitempty"` // the last range
	Complete      bool      `json:"all,omitempty"`
	EqualRanges   int       `json:"ranges,omitempty"` // found equal
	ChangedRanges int       `json:"hot,omitempty"`    // that changed while they were read: left for the pause
	Started       LeaseTime `json:"begun"`
}

// Pause is a pause that is under way.
type Pause struct {
	Started         LeaseTime   `json:"begun"` // when it was decided on, before anybody was refused
	RulesVersion    int         `json:"version"`
	FenceAttempts   int         `json:"closes,omitempty"` // tries at closing
	Fence           *FencePoint `json:"closed,omitempty"`
	Verified        bool        `json:"verified,omitempty"`
	RangesRead      int         `json:"ranges,omitempty"` // read again in the pause
	QueriesReplayed int         `json:"reads,omitempty"`
}

// FencePoint is a home that is fenced.
type FencePoint struct {
	Timeline int `json:"line"`     // its timeline: another one may lack the fence
	LSN      LSN `json:"position"` // past its last write
}

const (
	maxListed      = 8   // findings, differences, stragglers, losses, notes that a state holds
	maxTextBytes   = 100 // bytes of each of their texts
	maxCursorBytes = 600 // bytes of a place to go on from: two names and a key, quoted
)

func decodeState(w *jobs.Job) (s State, err error) {
	s.Phase = PhasePlanned
	if len(w.State) > 0 {
		err = json.Unmarshal(w.State, &s)
	}
	return s, err
}

// DecodeState reads a work's state.
func DecodeState(w *jobs.Job) (State, error) { return decodeState(w) }

func (s *State) addNote(format string, args ...any) {
	s.Notes = retainLatest(append(s.Notes, sanitize(fmt.Sprintf(format, args...))))
}

// retainLatest leaves the latest of a list.
func retainLatest[T any](all []T) []T { return all[max(0, len(all)-maxListed):] }

// sanitize shortens a text for the log, and leaves in it only what takes one byte there.
func sanitize(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' || strings.ContainsRune("<>&\"\\", r) {
			return '?'
		}
		return r
	}, s)
	return s[:min(len(s), maxTextBytes)]
}

// groups is the group that serves the tenant while a pause is under way or none, and other the one that it would go to.
func (s State) groups(p Plan) (home, other Group) {
	if s.Reverse || s.Phase == PhaseSwitched || s.Phase == PhaseAccepted || s.Phase == PhaseCompleted {
		return p.To, p.From
	}
	return p.From, p.To
}
