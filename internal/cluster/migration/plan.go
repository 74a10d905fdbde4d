// Package move is a tenant's move from one group of db hosts to another, as a kind of work with one owner: its states,
// checkpoints and ways back. A tenant is a database as clients name it when they connect; its home is a group. The package
// has no I/O, clock, goroutine or logger: next.go says what comes next, after.go what a deed leaves, mover.go joins both to
// the places and the agreed rules behind interfaces. docs/moves.md derives the bound of a pause.
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

// JobKind is the kind's.
const JobKind = "move"

// Group is a group of db hosts, by its number in the agreed rules.
type Group = uint64

// Plan is a move as it was asked for. Times are in milliseconds.
type Plan struct {
	Tenant           string   `json:"tenant"`
	From             Group    `json:"from"`
	To               Group    `json:"to"`
	MaxPauseMillis   float64  `json:"pause_ms"`              // no pause is longer
	FenceWaitMillis  float64  `json:"lock_ms,omitempty"`     // for so long the closing waits for running writers
	MaxAbortedPauses int      `json:"tries,omitempty"`       // pauses that may be taken back before an operator is asked
	BackoffMillis    float64  `json:"rest_ms,omitempty"`     // between two of them
	Checkpoints      []string `json:"checkpoints,omitempty"` // where it waits for a word
	BlockingSessions string   `json:"stragglers,omitempty"`  // wait or end: sessions that hold the closing up
	MaxRowsPerSecond float64  `json:"pace,omitempty"`        // rows/s at most, 0: as the cost model says
	SampledQueries   int      `json:"reads,omitempty"`       // of the tenant's own that are played at both homes
	OldCopy          string   `json:"old,omitempty"`         // keep or drop: the old copy, once it was accepted
	Priority         float64  `json:"need,omitempty"`        // the greater goes first
}

// Checkpoints of a plan. The last can't be left out: only an operator ends the way back.
const (
	CheckpointChecked   = "checked"
	CheckpointFencing   = "closing"
	CheckpointSwitching = "switching"
	CheckpointAccepting = "accepting"
)

var checkpoints = []string{CheckpointChecked, CheckpointFencing, CheckpointSwitching, CheckpointAccepting}

// Words that operators say.
const (
	ActionGo       = "go"
	ActionPause    = "pause" // the work, not the tenant
	ActionResume   = "resume"
	ActionRollback = "rollback"
	ActionAccept   = "accept"
)

// PlanError is one thing that is wrong with a plan.
type PlanError struct {
	Key    string
	Value  any
	Detail string
}

func (f *PlanError) Error() string {
	if f.Value == nil {
		return f.Key + ": " + f.Detail
	}
	return fmt.Sprintf("%s is %v: %s", f.Key, f.Value, f.Detail)
}

// Code is the reason in a word.
func (f *PlanError) Code() string { return "plan_malformed" }

// Advice says what an operator can do.
func (f *PlanError) Advice() string {
	return "correct " + f.Key + " and order the move again; nothing was begun"
}

// ParsePlan reads a plan, sets what it leaves out and names all that is wrong with it.
func ParsePlan(text []byte, c Timing) (Plan, error) {
	p, err := decodePlan(text)
	if err != nil {
		return p, err
	}
	return p, p.validate(c)
}

// decodePlan is Parse without the judgement: what stands in the log was judged when it got there.
func decodePlan(text []byte) (p Plan, err error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		key := "plan"
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			key = wrong.Field
		} else if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
			key = strings.Trim(name, `"`)
		}
		return p, &PlanError{Key: key, Detail: err.Error()}
	}
	if _, err := dec.Token(); err != io.EOF {
		return p, &PlanError{Key: "plan", Detail: "something follows it"}
	}
	if p.FenceWaitMillis == 0 {
		p.FenceWaitMillis = p.MaxPauseMillis / 10
	}
	if p.MaxAbortedPauses == 0 {
		p.MaxAbortedPauses = 3
	}
	if p.BackoffMillis == 0 {
		p.BackoffMillis = 10 * p.MaxPauseMillis // so that a tenant that is tried again and again is closed a tenth of the time at most
	}
	if p.Checkpoints == nil {
		p.Checkpoints = checkpoints
	}
	if p.BlockingSessions == "" {
		p.BlockingSessions = "wait"
	}
	if p.OldCopy == "" {
		p.OldCopy = "keep"
	}
	return p, nil
}

func (p Plan) validate(c Timing) error {
	var faults []error
	bad := func(key string, given any, detail string, args ...any) {
		faults = append(faults, &PlanError{Key: key, Value: given, Detail: fmt.Sprintf(detail, args...)})
	}
	if p.Tenant == "" || len(p.Tenant) > 63 || strings.ContainsAny(p.Tenant, "/\x00'\"") {
		bad("tenant", p.Tenant, "a database's name has 1 to 63 bytes and none of / ' \"")
	}
	if p.From == 0 {
		bad("from", nil, "the group that holds the tenant")
	}
	if p.To == 0 || p.To == p.From {
		bad("to", p.To, "another group than from")
	}
	if least := c.MinPauseMillis(p.FenceWaitMillis); p.MaxPauseMillis < least {
		bad("pause_ms", p.MaxPauseMillis, "with this agreement, change of owner and lock_ms a pause needs %.0f at least", least)
	}
	if p.MaxPauseMillis > maxPauseMillis {
		bad("pause_ms", p.MaxPauseMillis, "at most %d", maxPauseMillis)
	}
	if p.FenceWaitMillis < 0 || p.FenceWaitMillis > p.MaxPauseMillis {
		bad("lock_ms", p.FenceWaitMillis, "from 0 to pause_ms")
	}
	if p.MaxAbortedPauses < 0 || p.MaxAbortedPauses > 100 {
		bad("tries", p.MaxAbortedPauses, "from 1 to 100")
	}
	if p.BackoffMillis < 0 {
		bad("rest_ms", p.BackoffMillis, "not below 0")
	}
	for i, name := range p.Checkpoints {
		if !slices.Contains(checkpoints, name) {
			bad("checkpoints", name, "one of %s", strings.Join(checkpoints, ", "))
		} else if slices.Contains(p.Checkpoints[:i], name) {
			bad("checkpoints", name, "named twice")
		}
	}
	if !slices.Contains(p.Checkpoints, CheckpointAccepting) {
		bad("checkpoints", p.Checkpoints, "accepting can't be left out: only an operator ends the way back")
	}
	if p.BlockingSessions != "wait" && p.BlockingSessions != "end" {
		bad("stragglers", p.BlockingSessions, "wait or end")
	}
	if p.OldCopy != "keep" && p.OldCopy != "drop" {
		bad("old", p.OldCopy, "keep or drop")
	}
	for key, v := range map[string]float64{"pace": p.MaxRowsPerSecond, "need": p.Priority, "reads": float64(p.SampledQueries)} {
		if v < 0 || v > 1e9 {
			bad(key, v, "from 0 to 1e9")
		}
	}
	slices.SortFunc(faults, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(faults...)
}

// waitsAt says whether the plan waits for a word there.
func (p Plan) waitsAt(checkpoint string) bool { return slices.Contains(p.Checkpoints, checkpoint) }

// Keys of the agreed rules that a move changes, and nothing else does while it is open.
func (p Plan) groupKey() string  { return "database." + p.Tenant + ".group" }
func (p Plan) pausedKey() string { return "database." + p.Tenant + ".paused" }

const maxPauseMillis = 10 * 60 * 1000 // ms; who can wait longer needs no move under load

// Timing are what an installation's own settings make a pause last, in milliseconds.
type Timing struct {
	LogEntryMillis     float64 // a line of the log, from when it is sent until who sent it has it back
	RulesInForceMillis float64 // a version, from the log until every pooler with a lease acts on it alone: the agreement's stated time
	FailoverMillis     float64 // from an owner's death until the next one looks: the work's stated time
	DatabaseCallMillis float64 // one act at a db host that answers
}

// ReopenMillis is how long it takes to open a tenant again: an open deed is looked for and voided, the reopening announced and
// logged, the fence opened, and the version has to be in force; before it is logged, another's version may have to be.
func (c Timing) ReopenMillis() float64 {
	return 3*c.LogEntryMillis + 2*c.DatabaseCallMillis + 2*c.RulesInForceMillis
}

// ForwardMillis is the least that a pause takes until the switch can be announced: the pause announced, logged once another's
// version is in force, proven and in force; the closing announced, done and proven; the same for the verification.
func (c Timing) ForwardMillis(lock float64) float64 {
	return 7*c.LogEntryMillis + 2*c.RulesInForceMillis + lock + 2*c.DatabaseCallMillis
}

// settleMillis is the longest that a deed which was announced in time holds a reopening up: it is logged, ends where it acts,
// its proof is logged, and the homes are looked at once more.
func (c Timing) settleMillis() float64 { return 2*c.LogEntryMillis + 2*c.DatabaseCallMillis }

// MinPauseMillis is the shortest bound that can be kept whatever moment an owner dies at, and that leaves time to switch.
func (c Timing) MinPauseMillis(lock float64) float64 {
	return c.ForwardMillis(lock) + c.settleMillis() + c.FailoverMillis + c.ReopenMillis()
}

// CutoffMillis is how long after its beginning a pause may still go on: whoever dies then is replaced, and the next one has
// opened the tenant by the bound.
func (c Timing) CutoffMillis(p Plan) float64 {
	return p.MaxPauseMillis - c.settleMillis() - c.FailoverMillis - c.ReopenMillis()
}
