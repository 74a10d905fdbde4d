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

// JobKind is the kind of a migration's job. It is stored in the replicated log.
const JobKind = "move"

// Group is a group of database hosts, by its number in the agreed rules.
type Group = uint64

// Plan is a migration as an operator ordered it. The JSON keys are fixed, since plans are stored in the replicated log.
type Plan struct {
	Tenant string `json:"tenant"`
	From   Group  `json:"from"`
	To     Group  `json:"to"`
	// MaxPauseMillis bounds each pause of the tenant's writes.
	MaxPauseMillis float64 `json:"pause_ms"`
	// FenceWaitMillis is how long one attempt to fence waits for running writers.
	FenceWaitMillis float64 `json:"lock_ms,omitempty"`
	// MaxAbortedPauses is the number of aborted pauses after which an operator has to resume the migration.
	MaxAbortedPauses int `json:"tries,omitempty"`
	// BackoffMillis is the minimum time between two pauses.
	BackoffMillis float64 `json:"rest_ms,omitempty"`
	// Checkpoints are the places where the migration waits for an operator's approval.
	Checkpoints []Checkpoint `json:"checkpoints,omitempty"`
	// BlockingSessions is BlockingSessionsWait or BlockingSessionsEnd.
	BlockingSessions string `json:"stragglers,omitempty"`
	// MaxRowsPerSecond bounds the rate of the copy; 0 if only the RateLimiter does.
	MaxRowsPerSecond float64 `json:"pace,omitempty"`
	// SampledQueries is how many of the tenant's own queries are replayed at both groups before the switch.
	SampledQueries int `json:"reads,omitempty"`
	// OldCopy is OldCopyKeep or OldCopyDrop.
	OldCopy string `json:"old,omitempty"`
	// Priority orders planned migrations: the one with the greatest priority starts first.
	Priority float64 `json:"need,omitempty"`
}

// Checkpoint is a place in a migration where it waits for an operator's approval, if its plan says so.
type Checkpoint string

// The checkpoints. CheckpointAccepting is part of every plan, because only an operator ends the replication back.
const (
	// CheckpointChecked comes before the migration creates anything.
	CheckpointChecked Checkpoint = "checked"
	// CheckpointFencing comes before the tenant is paused.
	CheckpointFencing Checkpoint = "closing"
	// CheckpointSwitching comes before the target serves the tenant.
	CheckpointSwitching Checkpoint = "switching"
	// CheckpointAccepting comes before the replication back ends.
	CheckpointAccepting Checkpoint = "accepting"
)

var checkpoints = []Checkpoint{CheckpointChecked, CheckpointFencing, CheckpointSwitching, CheckpointAccepting}

// What a fence does about sessions that block it.
const (
	BlockingSessionsWait = "wait" // waits for the sessions to end
	BlockingSessionsEnd  = "end"  // terminates the sessions after the first attempt
)

// What happens to the previous group's copy of the tenant once the migration is accepted.
const (
	OldCopyKeep = "keep" // the copy stays and remains fenced
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
	// ActionRollback rolls the migration back.
	ActionRollback = "rollback"
	// ActionAccept ends the replication back, after which the migration can't be rolled back.
	ActionAccept = "accept"
)

// Defaults and bounds of a plan's values.
const (
	defaultMaxAbortedPauses = 3
	// defaultFenceWaitShare divides MaxPauseMillis to give the default of FenceWaitMillis.
	defaultFenceWaitShare = 10
	// defaultBackoffFactor is the default of BackoffMillis in multiples of MaxPauseMillis. With 10, a tenant that is paused
	// repeatedly is paused for at most a tenth of the time.
	defaultBackoffFactor = 10

	maxPauseMillis   = 10 * 60 * 1000 // a tenant that can be paused for longer needs no migration under load
	maxTenantBytes   = 63             // the longest database name in PostgreSQL
	maxAbortedPauses = 100
	maxRate          = 1e9 // bounds the rows per second, the sampled queries and the priority
)

// ParsePlan reads a plan, sets the defaults and reports every error in it, each as a *PlanError.
func ParsePlan(text []byte, timing Timing) (Plan, error) {
	plan, err := decodePlan(text)
	if err != nil {
		return plan, err
	}
	return plan, plan.validate(timing)
}

// decodePlan reads a plan without validating it. A plan in the log was validated before it was stored.
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

// wholePlan stands for the key in errors that concern no single key.
const wholePlan = "plan"

// malformedKey returns the key that a decoding error concerns.
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

// planErrors collects the errors in a plan.
type planErrors []error

func (e *planErrors) add(key string, value any, detail string, args ...any) {
	*e = append(*e, &PlanError{Key: key, Value: value, Detail: fmt.Sprintf(detail, args...)})
}

// validate reports every error in the plan, sorted by text.
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

// groupKey and pausedKey return the keys of the agreed rules that a migration changes. Nothing else changes these keys
// while the migration is open.
func (p *Plan) groupKey() string  { return "database." + p.Tenant + ".group" }
func (p *Plan) pausedKey() string { return "database." + p.Tenant + ".paused" }
