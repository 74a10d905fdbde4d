package migration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// JobKind names migrations among the kinds of jobs. It is stored in the replicated log.
const JobKind = "move"

// Group is a group of database hosts, by its number in the agreed rules.
type Group = uint64

// Plan is a migration as an operator asked for it. The JSON keys are those of the first release.
type Plan struct {
	Tenant string `json:"tenant"`
	From   Group  `json:"from"`
	To     Group  `json:"to"`
	// MaxPauseMillis bounds each pause of the tenant's writes.
	MaxPauseMillis float64 `json:"pause_ms"`
	// FenceWaitMillis is for how long one attempt to fence waits for running writers.
	FenceWaitMillis float64 `json:"lock_ms,omitempty"`
	// MaxAbortedPauses is how many pauses may be aborted before an operator has to resume.
	MaxAbortedPauses int `json:"tries,omitempty"`
	// BackoffMillis is the least time between two pauses.
	BackoffMillis float64 `json:"rest_ms,omitempty"`
	// Checkpoints are where the migration waits for an operator's approval.
	Checkpoints []Checkpoint `json:"checkpoints,omitempty"`
	// BlockingSessions is BlockingSessionsWait or BlockingSessionsEnd.
	BlockingSessions string `json:"stragglers,omitempty"`
	// MaxRowsPerSecond bounds the copy; 0: the cost model's figure alone does.
	MaxRowsPerSecond float64 `json:"pace,omitempty"`
	// SampledQueries is how many of the tenant's own queries are replayed at both groups before the switch.
	SampledQueries int `json:"reads,omitempty"`
	// OldCopy is OldCopyKeep or OldCopyDrop.
	OldCopy string `json:"old,omitempty"`
	// Priority orders planned migrations: the greater starts first.
	Priority float64 `json:"need,omitempty"`
}

// Checkpoint is a place in a migration where it waits for an operator's approval, if its plan says so.
type Checkpoint string

// The checkpoints. CheckpointAccepting is part of every plan: only an operator ends the way back.
const (
	// CheckpointChecked comes before anything is built.
	CheckpointChecked Checkpoint = "checked"
	// CheckpointFencing comes before the tenant is paused.
	CheckpointFencing Checkpoint = "closing"
	// CheckpointSwitching comes before the target serves the tenant.
	CheckpointSwitching Checkpoint = "switching"
	// CheckpointAccepting comes before the way back ends.
	CheckpointAccepting Checkpoint = "accepting"
)

var checkpoints = []Checkpoint{CheckpointChecked, CheckpointFencing, CheckpointSwitching, CheckpointAccepting}

// What a fence does about sessions that hold it up.
const (
	BlockingSessionsWait = "wait" // waits for them again
	BlockingSessionsEnd  = "end"  // terminates them after the first attempt
)

// What becomes of the copy that served the tenant before, once the migration is accepted.
const (
	OldCopyKeep = "keep" // stays, fenced
	OldCopyDrop = "drop"
)

// Actions that operators approve; see jobs.Approval.
const (
	// ActionGo lets a migration pass the checkpoint that it waits at.
	ActionGo = "go"
	// ActionPause holds the migration, not the tenant.
	ActionPause = "pause"
	// ActionResume ends a hold.
	ActionResume = "resume"
	// ActionRollback takes the migration back.
	ActionRollback = "rollback"
	// ActionAccept ends the way back.
	ActionAccept = "accept"
)

// Defaults and bounds of a plan's values.
const (
	defaultMaxAbortedPauses = 3
	// defaultFenceWaitShare is FenceWaitMillis as a part of MaxPauseMillis.
	defaultFenceWaitShare = 10
	// defaultBackoffFactor is BackoffMillis in multiples of MaxPauseMillis, so that a tenant that is paused again and
	// again is paused a tenth of the time at most.
	defaultBackoffFactor = 10

	maxPauseMillis   = 10 * 60 * 1000 // who can wait longer needs no migration under load
	maxTenantBytes   = 63             // of a database's name in PostgreSQL
	maxAbortedPauses = 100
	maxRate          = 1e9 // of rows/s, queries and priority
)

// ParsePlan reads a plan, sets the defaults and reports all that is wrong with it, each as a *PlanError.
func ParsePlan(text []byte, timing Timing) (Plan, error) {
	plan, err := decodePlan(text)
	if err != nil {
		return plan, err
	}
	return plan, plan.validate(timing)
}

// decodePlan reads a plan without validating it: one in the log was validated when it got there.
func decodePlan(text []byte) (plan Plan, err error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return plan, &PlanError{Key: malformedKey(err), Detail: err.Error()}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return plan, &PlanError{Key: wholePlan, Detail: "something follows it"}
	}
	plan.setDefaults()
	return plan, nil
}

// wholePlan stands for the key where no single one is at fault.
const wholePlan = "plan"

// malformedKey returns the key that a decoding error is about.
func malformedKey(err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return mismatch.Field
	}
	// encoding/json has no type for this error.
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return strings.Trim(name, `"`)
	}
	return wholePlan
}

func (p *Plan) setDefaults() {
	if p.FenceWaitMillis == 0 {
		p.FenceWaitMillis = p.MaxPauseMillis / defaultFenceWaitShare
	}
	if p.MaxAbortedPauses == 0 {
		p.MaxAbortedPauses = defaultMaxAbortedPauses
	}
	if p.BackoffMillis == 0 {
		p.BackoffMillis = defaultBackoffFactor * p.MaxPauseMillis
	}
	if p.Checkpoints == nil {
		p.Checkpoints = checkpoints
	}
	if p.BlockingSessions == "" {
		p.BlockingSessions = BlockingSessionsWait
	}
	if p.OldCopy == "" {
		p.OldCopy = OldCopyKeep
	}
}

// planErrors collects what is wrong with a plan.
type planErrors []error

func (e *planErrors) add(key string, value any, detail string, args ...any) {
	*e = append(*e, &PlanError{Key: key, Value: value, Detail: fmt.Sprintf(detail, args...)})
}

// validate reports all that is wrong, in alphabetical order.
func (p *Plan) validate(timing Timing) error {
	var found planErrors
	p.validateGroups(&found)
	p.validateTimes(&found, timing)
	p.validateCheckpoints(&found)
	if p.BlockingSessions != BlockingSessionsWait && p.BlockingSessions != BlockingSessionsEnd {
		found.add("stragglers", p.BlockingSessions, "wait or end")
	}
	if p.OldCopy != OldCopyKeep && p.OldCopy != OldCopyDrop {
		found.add("old", p.OldCopy, "keep or drop")
	}
	for key, value := range map[string]float64{"pace": p.MaxRowsPerSecond, "need": p.Priority, "reads": float64(p.SampledQueries)} {
		if value < 0 || value > maxRate {
			found.add(key, value, "from 0 to 1e9")
		}
	}
	slices.SortFunc(found, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(found...)
}

func (p *Plan) validateGroups(found *planErrors) {
	if p.Tenant == "" || len(p.Tenant) > maxTenantBytes || strings.ContainsAny(p.Tenant, "/\x00'\"") {
		found.add("tenant", p.Tenant, "a database's name has 1 to 63 bytes and none of / ' \"")
	}
	if p.From == 0 {
		found.add("from", nil, "the group that holds the tenant")
	}
	if p.To == 0 || p.To == p.From {
		found.add("to", p.To, "another group than from")
	}
}

func (p *Plan) validateTimes(found *planErrors, timing Timing) {
	if least := timing.MinPauseMillis(p.FenceWaitMillis); p.MaxPauseMillis < least {
		found.add("pause_ms", p.MaxPauseMillis, "with this agreement, change of owner and lock_ms a pause needs %.0f at least", least)
	}
	if p.MaxPauseMillis > maxPauseMillis {
		found.add("pause_ms", p.MaxPauseMillis, "at most %d", maxPauseMillis)
	}
	if p.FenceWaitMillis < 0 || p.FenceWaitMillis > p.MaxPauseMillis {
		found.add("lock_ms", p.FenceWaitMillis, "from 0 to pause_ms")
	}
	if p.MaxAbortedPauses < 0 || p.MaxAbortedPauses > maxAbortedPauses {
		found.add("tries", p.MaxAbortedPauses, "from 1 to 100")
	}
	if p.BackoffMillis < 0 {
		found.add("rest_ms", p.BackoffMillis, "not below 0")
	}
}

func (p *Plan) validateCheckpoints(found *planErrors) {
	for i, checkpoint := range p.Checkpoints {
		if !slices.Contains(checkpoints, checkpoint) {
			found.add("checkpoints", checkpoint, "one of %s", joinCheckpoints(checkpoints))
		} else if slices.Contains(p.Checkpoints[:i], checkpoint) {
			found.add("checkpoints", checkpoint, "named twice")
		}
	}
	if !p.waitsAt(CheckpointAccepting) {
		found.add("checkpoints", p.Checkpoints, "accepting can't be left out: only an operator ends the way back")
	}
}

func joinCheckpoints(all []Checkpoint) string {
	names := make([]string, 0, len(all))
	for _, checkpoint := range all {
		names = append(names, string(checkpoint))
	}
	return strings.Join(names, ", ")
}

// waitsAt reports whether the plan waits for an approval at a checkpoint.
func (p *Plan) waitsAt(checkpoint Checkpoint) bool { return slices.Contains(p.Checkpoints, checkpoint) }

// groupKey and pausedKey are the keys of the agreed rules that a migration changes, and nothing else does while it is
// open.
func (p *Plan) groupKey() string  { return "database." + p.Tenant + ".group" }
func (p *Plan) pausedKey() string { return "database." + p.Tenant + ".paused" }
