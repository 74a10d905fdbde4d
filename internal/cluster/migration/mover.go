package migration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ashstand/internal/cluster/jobs"
)

// Act is what a deed at the homes is done under. Token and Number only rise: each place refuses, in the same transaction as
// what it is asked to do, a token that is lower than one it has seen for the work, with an *owner.Fenced, and under the same
// token a lower number. The number is for what its own owner has given up and what arrives all the same.
type Act struct {
	Plan  Plan
	Work  string
	Token jobs.FencingToken
	// Number is the deed's.
	Number uint64
	Deed   string            // its identity, see owner.Deed.ID
	Name   string            // of the deed
	Told   jobs.FencingToken // under which it was announced
	State  State             // before it
	Data   Data
}

// Places are the tenant's two homes. Each method is a deed; each may be done again after it was done in part or whole, by
// whoever holds a higher token, and comes out the same. What acts on a group acts on its present primary. Data.Within
// bounds how long a place may take: as lock_timeout or statement_timeout. The fence is the work's row in ashstand.fence (see
// package place), in the tenant's database: the triggers take it FOR SHARE and refuse with 55000, tenant is closed, while it is.
type Places interface {
	// Check looks for all that is in the way, at both homes, and changes nothing.
	Check(ctx context.Context, a Act) (Findings, error)
	// Publish makes the fence with its triggers at both homes, open at From and closed at To, and a publication without
	// tables at From. Where another work's fence is there and not given up, it returns *Taken; those given up are opened.
	Publish(ctx context.Context, a Act) error
	// Subscribe makes the subscription at To, with a slot that outlives a failover where the release has these, origin =
	// none. With Data.Again what is there is dropped and To's tables are emptied first.
	Subscribe(ctx context.Context, a Act) (Lines, error)
	// Copy hands over the tables that follow State.Copy.After in the order of names, one at least, up to about Data.Rows
	// rows, and has the subscription begin their initial copy.
	Copy(ctx context.Context, a Act) (Copied, error)
	// Mark begins to note which ranges are touched, at both homes, and makes the slot at other from which home can be fed
	// after a switch. What was noted before is forgotten; other's fence is closed.
	Mark(ctx context.Context, a Act, home, other Group) (Lines, error)
	// Compare holds the ranges that follow State.Compare.After against each other, some at a time, each at a position
	// of home that other has reached.
	Compare(ctx context.Context, a Act, home, other Group) (Compared, error)
	// Close closes the fence at the group that serves the tenant, waiting Data.Within for running writers, and returns
	// that primary's timeline and the position past the last write; or, not closed, who held it up.
	Close(ctx context.Context, a Act, at Group) (closed *Closed, held []Straggler, err error)
	// Fenced says whether the fence of a group is closed at its present primary, under this token, and its timeline.
	Fenced(ctx context.Context, a Act, at Group) (closed bool, line int, err error)
	// Verify sets the sequences at other as they stand at home, and holds all that was touched since it was found equal,
	// counts, sequences and a sample of reads against each other. Both are still; home is fenced. All counts as touched
	// where the notes are gone or the timelines are not State.Lines. It returns once what it set is on those of other's
	// standbys that may take over, or Late.
	Verify(ctx context.Context, a Act, home, other Group) (Verified, error)
	// Open opens the fence of a group. Until then each write there is refused. A subscription by which the group followed
	// the other one ends first: what is changed by hand where the tenant is no longer served must not come over.
	Open(ctx context.Context, a Act, at Group) error
	// Feed ends To's subscription and gives From one to To, from the slot that Mark made, origin = none, with From
	// fenced; nothing counts as noted until Mark. With Data.Again, or if that slot is gone or was made on another timeline,
	// From's tables are emptied and copied anew.
	Feed(ctx context.Context, a Act) (Lines, error)
	// Clear removes what the move built at both homes and empties To's tables. The rows of the fences stay, From's open,
	// so that who comes late with an old token or number is refused; the tenant's next move takes them over.
	Clear(ctx context.Context, a Act) error
	// Finish removes what the move built at both homes but for the tables, with From fenced for good; with Plan.Old =
	// drop From's tables go too.
	Finish(ctx context.Context, a Act) error
	// Look raises the token at each place that the deed acts on, and the number past the deed's, so that neither an earlier
	// owner's act counts there any more nor one of this deed that is still on its way, and says whether the deed was done,
	// with what it returned. What is left of one that was not is cleared.
	Look(ctx context.Context, a Act) (Found, error)
	// Progress changes nothing.
	Progress(ctx context.Context, a Act, home, other Group) (Progress, error)
}

// Copied is what was handed over.
type Copied struct {
	After string  `json:"after"`
	Rows  float64 `json:"rows"`
	All   bool    `json:"all"`
}

// Compared is what a comparison before the pause came to.
type Compared struct {
	After  string       `json:"after"`
	All    bool         `json:"all"`
	Equal  int          `json:"equal"`
	Hot    int          `json:"hot"`
	Differ []Difference `json:"differ,omitempty"`
}

// Verified is what a comparison in the pause came to.
type Verified struct {
	Ranges int          `json:"ranges"` // that were read
	Reads  int          `json:"reads"`  // that were played at both
	Differ []Difference `json:"differ,omitempty"`
	Lines  Lines        `json:"lines"` // throughout; one that changed meanwhile is 0
	Late   bool         `json:"late"`  // it was not through in its time
}

// Found is what Look found.
type Found struct {
	Done     bool
	Lines    Lines
	Copied   Copied
	Compared Compared
	Closed   *Closed
}

// Rules are the agreed rules, as far as a move needs them.
type Rules interface {
	// Now are the newest rules in the log: as far as the caller's own assignment at least. inForce: every pooler whose
	// lease may still run acts on them alone.
	Now() (rules map[string]any, version int, inForce bool)
	// Change brings keys in, in one version, by the log, which refuses it if the work has a later token by then, or if the
	// deed is not open: it was looked for and found not done. It returns when that is in the log. While another version is
	// not in force yet it waits. Costs count one such wait: it takes that changes which wait come in together, or that
	// nothing else changes the rules.
	Change(ctx context.Context, work string, token jobs.FencingToken, deed *jobs.Operation, change map[string]any) (version int, err error)
	// Limited says whether the limits name a key: then a pooler without a lease keeps to it.
	Limited(key string) bool
}

// Pacer says how many rows a second both groups have room for, by their load and aims; 0: none now.
type Pacer interface {
	Pace(from, to Group) float64
}

// Fitness says why a group should not be gone to now, "" if it may: cold, draining, slow.
type Fitness interface {
	Unfit(to Group, tenant string) string
}

// Turns says which planned moves may start; see May.
type Turns interface {
	Turn(work string) (may bool, why string)
}

// Mover is the kind of work that a move is.
type Mover struct {
	Places  Places
	Rules   Rules
	Pacer   Pacer   // nil: no bound but the plan's
	Fitness Fitness // nil: any group is fit
	Turns   Turns   // nil: any may start
	Costs   Costs
	Break   string // what is switched off to see a checker fail; "": nothing
}

// Breakable are the words of Mover.Break.
var Breakable = []string{"fence", "verify", "pause", "back", "word"}

func (m *Mover) act(w *jobs.Job, d *jobs.Operation) (Act, error) {
	p, err := read(w.Spec)
	if err != nil {
		return Act{}, err
	}
	s, err := stateOf(w)
	if err != nil {
		return Act{}, &Unreadable{Work: w.Name, Err: err}
	}
	a := Act{Plan: p, Work: w.Name, Token: w.Token, State: s}
	if d != nil {
		a.Deed, a.Name, a.Told, a.Number = d.ID(w.Name), d.Name, d.Token, d.Number
		if err := json.Unmarshal(d.Data, &a.Data); len(d.Data) > 0 && err != nil {
			return a, &Unreadable{Work: w.Name, Err: err}
		}
	}
	return a, nil
}

// Observe looks at the rules and, as far as the phase calls for it, at both homes.
func (m *Mover) Observe(ctx context.Context, w *jobs.Job) (any, error) {
	a, err := m.act(w, nil)
	if err != nil {
		return nil, err
	}
	see := &Seen{Step: w.Step, Turn: true, Pace: 1e9}
	rules, version, inForce := m.Rules.Now()
	see.Version, see.InForce = version, inForce
	see.Paused, _ = rules[a.Plan.pausedKey()].(bool)
	if g, ok := rules[a.Plan.groupKey()].(float64); ok {
		see.Group = Group(g)
	}
	switch a.State.Phase {
	case Planned:
		if m.Turns != nil {
			see.Turn, see.Turns = m.Turns.Turn(w.Name)
		}
	case Copying, CatchingUp, Closing, Verifying, Switched:
		home, other := a.State.home(a.Plan)
		if m.Pacer != nil {
			see.Pace = m.Pacer.Pace(home, other)
		}
		if m.Fitness != nil && !a.State.Reverse && a.State.Phase != Switched {
			see.Unfit = m.Fitness.Unfit(other, a.Plan.Tenant)
		}
		p, err := m.Places.Progress(ctx, a, home, other)
		if err != nil {
			if a.State.Phase == Closing || a.State.Phase == Verifying { // what the rules say counts without them
				return see, nil
			}
			return nil, err
		}
		unfit := see.Unfit
		if see.Progress = p; unfit != "" {
			see.Unfit = unfit
		}
	}
	return see, nil
}

// Execute does a deed that was announced.
func (m *Mover) Execute(ctx context.Context, w *jobs.Job, d *jobs.Operation) (jobs.Result, error) {
	a, err := m.act(w, d)
	if err != nil {
		return jobs.Result{}, err
	}
	r, err := m.deed(ctx, a)
	if err != nil {
		return jobs.Result{}, err
	}
	return after(a, r)
}

// deed does it.
func (m *Mover) deed(ctx context.Context, a Act) (r result, err error) {
	home, other := a.State.home(a.Plan)
	switch a.Name {
	case DeedCheck:
		if r.findings, err = m.Places.Check(ctx, a); err == nil {
			r.findings = append(m.ruled(a.Plan), r.findings...)
		}
	case DeedPublish:
		var by *Taken
		if err = m.Places.Publish(ctx, a); errors.As(err, &by) {
			r.taken, err = by, nil
		}
	case DeedSubscribe:
		r.Lines, err = m.Places.Subscribe(ctx, a)
	case DeedCopy:
		r.Copied, err = m.Places.Copy(ctx, a)
	case DeedMark:
		r.Lines, err = m.Places.Mark(ctx, a, home, other)
	case DeedCompare:
		r.Compared, err = m.Places.Compare(ctx, a, home, other)
	case DeedPause:
		r.version, err = m.Rules.Change(ctx, a.Work, a.Token, &jobs.Operation{Number: a.Number, Name: a.Name}, map[string]any{a.Plan.pausedKey(): true})
	case DeedClose:
		r.Closed, r.held, err = m.Places.Close(ctx, a, home)
	case DeedVerify:
		if r.verified, err = m.Places.Verify(ctx, a, home, other); m.Break == "verify" {
			r.verified.Differ = nil
		}
	case DeedSwitch: // the log decides; until the fence opens, writes there are refused
		closed, line, err := m.Places.Fenced(ctx, a, home)
		if err != nil {
			return r, err
		}
		if m.Break != "fence" && (!closed || line != a.State.Pause.Closed.Line) {
			r.unfenced = true
			return r, nil
		}
		if r.version, err = m.Rules.Change(ctx, a.Work, a.Token, &jobs.Operation{Number: a.Number, Name: a.Name}, m.served(a, other)); err != nil {
			return r, err
		}
		return r, m.Places.Open(ctx, a, other)
	case DeedReopen:
		if r.version, err = m.Rules.Change(ctx, a.Work, a.Token, &jobs.Operation{Number: a.Number, Name: a.Name}, m.served(a, home)); err != nil {
			return r, err
		}
		err = m.Places.Open(ctx, a, home)
	case DeedFeed:
		r.Lines, err = m.Places.Feed(ctx, a)
	case DeedFinish:
		err = m.Places.Finish(ctx, a)
	case DeedClear:
		err = m.Places.Clear(ctx, a)
	}
	return r, err
}

// served are the keys by which a group serves the tenant.
func (m *Mover) served(a Act, by Group) map[string]any {
	return map[string]any{a.Plan.groupKey(): float64(by), a.Plan.pausedKey(): false}
}

// ruled are the findings of the agreed rules.
func (m *Mover) ruled(p Plan) (out Findings) {
	rules, _, _ := m.Rules.Now()
	if rules[p.groupKey()] != float64(p.From) {
		out = append(out, Finding{Reason: HomeDiffers, Name: p.groupKey(), Detail: fmt.Sprintf("%v", rules[p.groupKey()])})
	}
	for _, key := range []string{p.groupKey(), p.pausedKey()} {
		if !m.Rules.Limited(key) {
			out = append(out, Finding{Reason: NotLimited, Name: key})
		}
	}
	return out
}

// Recover finds out whether a deed that is in doubt was done. What the log has decided is carried on.
func (m *Mover) Recover(ctx context.Context, w *jobs.Job, d *jobs.Operation) (bool, jobs.Result, error) {
	a, err := m.act(w, d)
	if err != nil {
		return false, jobs.Result{}, err
	}
	var r result
	home, other := a.State.home(a.Plan)
	rules, version, _ := m.Rules.Now()
	paused, group := rules[a.Plan.pausedKey()] == true, rules[a.Plan.groupKey()]
	r.version = version
	done := true
	switch d.Name {
	case DeedPause:
		done = paused
	case DeedSwitch:
		if done = !paused && group == float64(other); done {
			err = m.Places.Open(ctx, a, other)
		}
	case DeedReopen:
		if done = !paused; done {
			err = m.Places.Open(ctx, a, home)
		}
	case DeedAccept, DeedEnd, DeedHold, DeedResume, DeedBack, DeedDrop: // they are what the log says of them
	case DeedCheck, DeedVerify: // done again: nothing rests on them but their proof
		done = false
	default:
		r.Found, err = m.Places.Look(ctx, a)
		done = r.Done
	}
	if err != nil || !done {
		return false, jobs.Result{}, err
	}
	p, err := after(a, r)
	return err == nil, p, err
}

// Taken is a tenant that another work moves.
type Taken struct {
	Tenant string
	By     string // the other work
}

func (t *Taken) Error() string { return "tenant " + t.Tenant + " is being moved by " + t.By }

// Code is the reason in a word.
func (t *Taken) Code() string { return "tenant_taken" }

// Advice says what an operator can do.
func (t *Taken) Advice() string {
	return "let " + t.By + " end, or take it back; then resume or order this one anew"
}

// Unreadable is a work whose spec, state or data this program can't read: a newer one wrote it.
type Unreadable struct {
	Work string
	Err  error
}

func (u *Unreadable) Error() string { return "work " + u.Work + " can't be read: " + u.Err.Error() }
func (u *Unreadable) Unwrap() error { return u.Err }

// Code is the reason in a word.
func (u *Unreadable) Code() string { return "work_unreadable" }

// Advice says what an operator can do.
func (u *Unreadable) Advice() string { return "run the program that began it, or a newer one" }
