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

// Name is the kind's.
const Name = "move"

// Group is a group of db hosts, by its number in the agreed rules.
type Group = uint64

// Plan is a move as it was asked for. Times are in milliseconds.
type Plan struct {
	Tenant      string   `json:"tenant"`
	From        Group    `json:"from"`
	To          Group    `json:"to"`
	Pause       float64  `json:"pause_ms"`              // no pause is longer
	Lock        float64  `json:"lock_ms,omitempty"`     // for so long the closing waits for running writers
	Tries       int      `json:"tries,omitempty"`       // pauses that may be taken back before an operator is asked
	Rest        float64  `json:"rest_ms,omitempty"`     // between two of them
	Checkpoints []string `json:"checkpoints,omitempty"` // where it waits for a word
	Stragglers  string   `json:"stragglers,omitempty"`  // wait or end: sessions that hold the closing up
	Pace        float64  `json:"pace,omitempty"`        // rows/s at most, 0: as the cost model says
	Reads       int      `json:"reads,omitempty"`       // of the tenant's own that are played at both homes
	Old         string   `json:"old,omitempty"`         // keep or drop: the old copy, once it was accepted
	Need        float64  `json:"need,omitempty"`        // the greater goes first
}

// Checkpoints of a plan. The last can't be left out: only an operator ends the way back.
const (
	AtChecked   = "checked"
	AtClosing   = "closing"
	AtSwitching = "switching"
	AtAccepting = "accepting"
)

var checkpoints = []string{AtChecked, AtClosing, AtSwitching, AtAccepting}

// Words that operators say.
const (
	Go       = "go"
	Hold     = "pause" // the work, not the tenant
	Resume   = "resume"
	Rollback = "rollback"
	Accept   = "accept"
)

// PlanFault is one thing that is wrong with a plan.
type PlanFault struct {
	Key    string
	Given  any
	Detail string
}

func (f *PlanFault) Error() string {
	if f.Given == nil {
		return f.Key + ": " + f.Detail
	}
	return fmt.Sprintf("%s is %v: %s", f.Key, f.Given, f.Detail)
}

// Code is the reason in a word.
func (f *PlanFault) Code() string { return "plan_malformed" }

// Advice says what an operator can do.
func (f *PlanFault) Advice() string {
	return "correct " + f.Key + " and order the move again; nothing was begun"
}

// Parse reads a plan, sets what it leaves out and names all that is wrong with it.
func Parse(text []byte, c Costs) (Plan, error) {
	p, err := read(text)
	if err != nil {
		return p, err
	}
	return p, p.check(c)
}

// read is Parse without the judgement: what stands in the log was judged when it got there.
func read(text []byte) (p Plan, err error) {
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
		return p, &PlanFault{Key: key, Detail: err.Error()}
	}
	if _, err := dec.Token(); err != io.EOF {
		return p, &PlanFault{Key: "plan", Detail: "something follows it"}
	}
	if p.Lock == 0 {
		p.Lock = p.Pause / 10
	}
	if p.Tries == 0 {
		p.Tries = 3
	}
	if p.Rest == 0 {
		p.Rest = 10 * p.Pause // so that a tenant that is tried again and again is closed a tenth of the time at most
	}
	if p.Checkpoints == nil {
		p.Checkpoints = checkpoints
	}
	if p.Stragglers == "" {
		p.Stragglers = "wait"
	}
	if p.Old == "" {
		p.Old = "keep"
	}
	return p, nil
}

func (p Plan) check(c Costs) error {
	var faults []error
	bad := func(key string, given any, detail string, args ...any) {
		faults = append(faults, &PlanFault{Key: key, Given: given, Detail: fmt.Sprintf(detail, args...)})
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
	if least := c.Least(p.Lock); p.Pause < least {
		bad("pause_ms", p.Pause, "with this agreement, change of owner and lock_ms a pause needs %.0f at least", least)
	}
	if p.Pause > mostPause {
		bad("pause_ms", p.Pause, "at most %d", mostPause)
	}
	if p.Lock < 0 || p.Lock > p.Pause {
		bad("lock_ms", p.Lock, "from 0 to pause_ms")
	}
	if p.Tries < 0 || p.Tries > 100 {
		bad("tries", p.Tries, "from 1 to 100")
	}
	if p.Rest < 0 {
		bad("rest_ms", p.Rest, "not below 0")
	}
	for i, name := range p.Checkpoints {
		if !slices.Contains(checkpoints, name) {
			bad("checkpoints", name, "one of %s", strings.Join(checkpoints, ", "))
		} else if slices.Contains(p.Checkpoints[:i], name) {
			bad("checkpoints", name, "named twice")
		}
	}
	if !slices.Contains(p.Checkpoints, AtAccepting) {
		bad("checkpoints", p.Checkpoints, "accepting can't be left out: only an operator ends the way back")
	}
	if p.Stragglers != "wait" && p.Stragglers != "end" {
		bad("stragglers", p.Stragglers, "wait or end")
	}
	if p.Old != "keep" && p.Old != "drop" {
		bad("old", p.Old, "keep or drop")
	}
	for key, v := range map[string]float64{"pace": p.Pace, "need": p.Need, "reads": float64(p.Reads)} {
		if v < 0 || v > 1e9 {
			bad(key, v, "from 0 to 1e9")
		}
	}
	slices.SortFunc(faults, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(faults...)
}

// at says whether the plan waits for a word there.
func (p Plan) at(checkpoint string) bool { return slices.Contains(p.Checkpoints, checkpoint) }

// Keys of the agreed rules that a move changes, and nothing else does while it is open.
func (p Plan) groupKey() string  { return "database." + p.Tenant + ".group" }
func (p Plan) pausedKey() string { return "database." + p.Tenant + ".paused" }

const mostPause = 10 * 60 * 1000 // ms; who can wait longer needs no move under load

// Costs are what an installation's own settings make a pause last, in milliseconds.
type Costs struct {
	Log     float64 // a line of the log, from when it is sent until who sent it has it back
	InForce float64 // a version, from the log until every pooler with a lease acts on it alone: the agreement's stated time
	Owner   float64 // from an owner's death until the next one looks: the work's stated time
	Place   float64 // one act at a db host that answers
}

// Reopen is how long it takes to open a tenant again: an open deed is looked for and voided, the reopening announced and
// logged, the fence opened, and the version has to be in force; before it is logged, another's version may have to be.
func (c Costs) Reopen() float64 { return 3*c.Log + 2*c.Place + 2*c.InForce }

// Forward is the least that a pause takes until the switch can be announced: the pause announced, logged once another's
// version is in force, proven and in force; the closing announced, done and proven; the same for the verification.
func (c Costs) Forward(lock float64) float64 { return 7*c.Log + 2*c.InForce + lock + 2*c.Place }

// settle is the longest that a deed which was announced in time holds a reopening up: it is logged, ends where it acts,
// its proof is logged, and the homes are looked at once more.
func (c Costs) settle() float64 { return 2*c.Log + 2*c.Place }

// Least is the shortest bound that can be kept whatever moment an owner dies at, and that leaves time to switch.
func (c Costs) Least(lock float64) float64 {
	return c.Forward(lock) + c.settle() + c.Owner + c.Reopen()
}

// Cutoff is how long after its beginning a pause may still go on: whoever dies then is replaced, and the next one has
// opened the tenant by the bound.
func (c Costs) Cutoff(p Plan) float64 { return p.Pause - c.settle() - c.Owner - c.Reopen() }
