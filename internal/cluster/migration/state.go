package migration

import (
	"encoding/json"
	"fmt"

	"ashstand/internal/cluster/jobs"
)

// LSN is a position in a group's write-ahead log, in bytes.
type LSN uint64

// String formats the position as PostgreSQL does.
func (l LSN) String() string { return fmt.Sprintf("%X/%X", uint64(l)>>32, uint32(l)) }

// LeaseTime is a moment by the clock of the lease holder with a token. No other one can tell how long ago it was, since
// clocks are never compared.
type LeaseTime struct {
	At    float64           `json:"at"` // milliseconds
	Token jobs.FencingToken `json:"token"`
}

// elapsed returns for how many milliseconds the moment has passed. known is false if another lease holder's clock said
// when it was.
func (l LeaseTime) elapsed(now float64, token jobs.FencingToken) (millis float64, known bool) {
	return now - l.At, l.Token == token
}

// State is what executed operations have left, as the replicated log holds it. Its lists are cut so that it stays below
// the log's bound for a job, whatever a tenant contains. The JSON keys are those of the first release.
type State struct {
	Phase Phase `json:"phase"`
	// Reverse is set while a pause takes the tenant back from the plan's To to its From.
	Reverse bool `json:"reverse,omitempty"`
	// RollbackReason is why the migration is rolled back; empty: it is not.
	RollbackReason string `json:"back,omitempty"`
	// HoldReason is why it waits for an operator to resume or roll back; empty: it does not.
	HoldReason string `json:"held,omitempty"`

	CheckResults     CheckResults      `json:"findings,omitempty"`
	Differences      []Difference      `json:"differ,omitempty"`
	BlockingSessions []BlockingSession `json:"stragglers,omitempty"`
	// LostCommits describe, as far as it is known, what failovers left behind.
	LostCommits []string `json:"lost,omitempty"`
	// Notes are the latest events.
	Notes []string `json:"notes,omitempty"`

	Published  bool                 `json:"published,omitempty"`
	Copy       CopyCheckpoint       `json:"copy"`
	Comparison ComparisonCheckpoint `json:"compare"`
	// Timelines are those that the copy and the tracking of changed ranges rest on.
	Timelines Timelines `json:"lines"`
	// FailedOver is set if a group failed over since it was copied: a difference is then expected.
	FailedOver bool `json:"doubt,omitempty"`
	// RecopyRequired is set if the copy has to be begun anew.
	RecopyRequired bool   `json:"again,omitempty"`
	Pause          *Pause `json:"pause,omitempty"` // nil: none is under way
	// AbortedPauses counts pauses that ended without a switch since an operator resumed.
	AbortedPauses int       `json:"tries,omitempty"`
	LastAbort     LeaseTime `json:"rested"`
	// ReverseReplicating is set once the plan's From has a subscription to its To.
	ReverseReplicating bool `json:"fed,omitempty"`
}

// Timelines are those of the group that serves the tenant (source) and of the one that follows it (target). On the way
// back from a switch the two change roles.
type Timelines struct {
	Source int `json:"home,omitempty"`
	Target int `json:"other,omitempty"`
}

// CopyCheckpoint is how far the initial copy is.
type CopyCheckpoint struct {
	LastTable    string    `json:"after,omitempty"` // that was handed over, in the order of names
	Complete     bool      `json:"all,omitempty"`   // no table follows
	BatchRows    float64   `json:"rows,omitempty"`  // of the tables that were handed over last
	BatchStarted LeaseTime `json:"begun"`           // when they were
	Restarts     int       `json:"again,omitempty"`
}

// ComparisonCheckpoint is how far the comparison before the pause is.
type ComparisonCheckpoint struct {
	LastRange     string    `json:"after,omitempty"`
	Complete      bool      `json:"all,omitempty"`
	EqualRanges   int       `json:"ranges,omitempty"`
	ChangedRanges int       `json:"hot,omitempty"` // changed while they were read: left for the verification
	Started       LeaseTime `json:"begun"`
}

// Pause is a pause of the tenant's writes that is under way.
type Pause struct {
	// Started is when the pause was decided on, which is before any client was rejected.
	Started LeaseTime `json:"begun"`
	// RulesVersion is the version of the rules that pauses the tenant.
	RulesVersion  int `json:"version"`
	FenceAttempts int `json:"closes,omitempty"`
	// Fence is where the source is fenced; nil: it is not yet.
	Fence           *FencePoint `json:"closed,omitempty"`
	Verified        bool        `json:"verified,omitempty"`
	RangesRead      int         `json:"ranges,omitempty"`
	QueriesReplayed int         `json:"reads,omitempty"`
}

// FencePoint is where a group was fenced.
type FencePoint struct {
	Timeline int `json:"line"`     // a primary on another one may lack the fence
	LSN      LSN `json:"position"` // past the tenant's last write
}

// DecodeState reads the state of a job; a new job is planned.
func DecodeState(job *jobs.Job) (State, error) {
	state := State{Phase: PhasePlanned}
	if len(job.State) == 0 {
		return state, nil
	}
	err := json.Unmarshal(job.State, &state)
	return state, err
}

// groups returns the group that serves the tenant while no pause has ended in a switch, and the one that it would go to.
func (s *State) groups(plan *Plan) (source, target Group) {
	if s.Reverse || s.Phase == PhaseSwitched || s.Phase == PhaseAccepted || s.Phase == PhaseCompleted {
		return plan.To, plan.From
	}
	return plan.From, plan.To
}

// addNote keeps the latest notes.
func (s *State) addNote(format string, args ...any) {
	s.Notes = retainLatest(append(s.Notes, sanitize(fmt.Sprintf(format, args...))))
}

// resetComparison forgets what rested on an earlier copy, when one begins.
func (s *State) resetComparison(timelines Timelines) {
	s.Timelines = timelines
	s.FailedOver = false
	s.RecopyRequired = false
	s.Differences = nil
	s.Comparison = ComparisonCheckpoint{}
}

// recordDifferences takes up what a comparison found. A failover explains differences, and the copy is begun anew;
// otherwise an operator has to look.
func (s *State) recordDifferences(found []Difference) {
	if len(found) == 0 {
		return
	}
	s.Differences = sanitizeDifferences(found)
	if s.FailedOver {
		s.RecopyRequired = true
		return
	}
	s.HoldReason = "the copy differs: " + sanitize(found[0].Error())
}
