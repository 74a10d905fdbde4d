package migration

import (
	"encoding/json"
	"fmt"

	"ashstand/internal/cluster/jobs"
)

// LSN is a log sequence number: a position in a group's write-ahead log, in bytes.
type LSN uint64

// String formats the position as PostgreSQL does.
func (l LSN) String() string { return fmt.Sprintf("%X/%X", uint64(l)>>32, uint32(l)) }

// LeaseTime is a time by the clock of the lease holder that has the token. Only this lease holder can tell how long ago it
// was, since the clocks of different processes are never compared.
type LeaseTime struct {
	At    float64           `json:"at"` // milliseconds
	Token jobs.FencingToken `json:"token"`
}

// elapsed returns how many milliseconds ago the time was. known is false if the time is by another lease holder's clock.
func (l LeaseTime) elapsed(now float64, token jobs.FencingToken) (millis float64, known bool) {
	return now - l.At, l.Token == token
}

// State is the recorded state of a migration in the replicated log. Its lists are truncated so that it stays below the
// log's size limit for a job, whatever a tenant contains. The JSON keys are fixed, since states are stored in the log.
type State struct {
	Phase Phase `json:"phase"`
	// Reverse is set during a pause that moves the tenant back from the plan's To to its From.
	Reverse bool `json:"reverse,omitempty"`
	// RollbackReason is why the migration is rolled back; empty if it is not.
	RollbackReason string `json:"back,omitempty"`
	// HoldReason is why the migration waits for an operator to resume it or roll it back; empty if it does not.
	HoldReason string `json:"held,omitempty"`

	CheckResults     CheckResults      `json:"findings,omitempty"`
	Differences      []Difference      `json:"differ,omitempty"`
	BlockingSessions []BlockingSession `json:"stragglers,omitempty"`
	// LostCommits describe, as far as known, the commits that failovers lost.
	LostCommits []string `json:"lost,omitempty"`
	// Notes are the latest events.
	Notes []string `json:"notes,omitempty"`

	Published  bool                 `json:"published,omitempty"`
	Copy       CopyCheckpoint       `json:"copy"`
	Comparison ComparisonCheckpoint `json:"compare"`
	// Timelines are the ones on which the copy and the tracking of changed ranges started.
	Timelines Timelines `json:"lines"`
	// FailedOver is set if a group failed over since the copy started; a difference is then expected.
	FailedOver bool `json:"doubt,omitempty"`
	// RecopyRequired is set if the copy has to be restarted.
	RecopyRequired bool   `json:"again,omitempty"`
	Pause          *Pause `json:"pause,omitempty"` // nil if no pause is under way
	// AbortedPauses counts the pauses that ended without a switch since the last switch or resume.
	AbortedPauses int       `json:"tries,omitempty"`
	LastAbort     LeaseTime `json:"rested"`
	// ReverseReplicating is set once the plan's From has a subscription to its To.
	ReverseReplicating bool `json:"fed,omitempty"`
}

// Timelines are the timelines of the group that serves the tenant (source) and of the one that follows it (target). After
// a switch the two groups exchange roles.
type Timelines struct {
	Source int `json:"home,omitempty"`
	Target int `json:"other,omitempty"`
}

// CopyCheckpoint records the progress of the initial copy.
type CopyCheckpoint struct {
	LastTable    string    `json:"after,omitempty"` // last table that was added, in the order of names
	Complete     bool      `json:"all,omitempty"`   // no table follows
	BatchRows    float64   `json:"rows,omitempty"`  // rows of the tables in the latest batch
	BatchStarted LeaseTime `json:"begun"`           // when the latest batch was announced
	Restarts     int       `json:"again,omitempty"`
}

// ComparisonCheckpoint records the progress of the comparison before the pause.
type ComparisonCheckpoint struct {
	LastRange     string    `json:"after,omitempty"`
	Complete      bool      `json:"all,omitempty"`
	EqualRanges   int       `json:"ranges,omitempty"`
	ChangedRanges int       `json:"hot,omitempty"` // changed while they were read, so the verification compares them
	Started       LeaseTime `json:"begun"`
}

// Pause is a pause of the tenant's writes that is under way.
type Pause struct {
	// Started is when the pause was announced, which is before any client was rejected.
	Started LeaseTime `json:"begun"`
	// RulesVersion is the version of the rules that pauses the tenant.
	RulesVersion  int `json:"version"`
	FenceAttempts int `json:"closes,omitempty"`
	// Fence is where the source is fenced; nil if it is not fenced yet.
	Fence           *FencePoint `json:"closed,omitempty"`
	Verified        bool        `json:"verified,omitempty"`
	RangesRead      int         `json:"ranges,omitempty"`
	QueriesReplayed int         `json:"reads,omitempty"`
}

// FencePoint is the timeline and log position at which a group was fenced.
type FencePoint struct {
	Timeline int `json:"line"`     // a primary on another one may lack the fence
	LSN      LSN `json:"position"` // position past the tenant's last write
}

// DecodeState reads the state of a job. A job without a state is in PhasePlanned.
func DecodeState(job *jobs.Job) (State, error) {
	state := State{Phase: PhasePlanned}
	if len(job.State) == 0 {
		return state, nil
	}
	err := json.Unmarshal(job.State, &state)
	return state, err
}

// groups returns the group that serves the tenant until the next switch (source), and the group that would serve it
// afterwards (target).
func (s *State) groups(plan *Plan) (source, target Group) {
	if s.Reverse || s.Phase == PhaseSwitched || s.Phase == PhaseAccepted || s.Phase == PhaseCompleted {
		return plan.To, plan.From
	}
	return plan.From, plan.To
}

// addNote adds a note and keeps only the latest maxListed notes.
func (s *State) addNote(format string, args ...any) {
	s.Notes = retainLatest(append(s.Notes, sanitize(fmt.Sprintf(format, args...))))
}

// resetComparison discards what depends on an earlier copy when a new copy starts.
func (s *State) resetComparison(timelines Timelines) {
	s.Timelines = timelines
	s.FailedOver = false
	s.RecopyRequired = false
	s.Differences = nil
	s.Comparison = ComparisonCheckpoint{}
}

// recordDifferences records the differences that a comparison found. If a failover explains them, the copy has to be
// restarted; otherwise the migration is held for an operator.
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
