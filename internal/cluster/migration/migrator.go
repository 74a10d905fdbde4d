package migration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ashstand/internal/cluster/jobs"
)

// Request is what a deed at the homes is done under. Token and Number only rise: each place refuses, in the same transaction as
// what it is asked to do, a token that is lower than one it has seen for the work, with an *owner.Fenced, and under the same
// token a lower number. The number is for what its own owner has given up and what arrives all the same.
type Request struct {
	Plan  Plan
	Job   string
	Token jobs.FencingToken
	// Number is the deed's.
	Number         uint64
	OperationID    string            // its identity, see owner.Deed.ID
	Operation      string            // of the deed
	AnnouncedToken jobs.FencingToken // under which it was announced
	State          State             // before it
	Data           OperationData
}

// Databases are the tenant's two homes. Each method is a deed; each may be done again after it was done in part or whole, by
// whoever holds a higher token, and comes out the same. What acts on a group acts on its present primary. Data.Within
// bounds how long a place may take: as lock_timeout or statement_timeout. The fence is the work's row in ashstand.fence (see
// package place), in the tenant's database: the triggers take it FOR SHARE and refuse with 55000, tenant is closed, while it is.
type Databases interface {
	// Check looks for all that is in the way, at both homes, and changes nothing.
	Check(ctx context.Context, a Request) (CheckResults, error)
	// Publish makes the fence with its triggers at both homes, open at From and closed at To, and a publication without
	// tables at From. Where another work's fence is there and not given up, it returns *Taken; those given up are opened.
	Publish(ctx context.Context, a Request) error
	// Subscribe makes the subscription at To, with a slot that outlives a failover where the release has these, origin =
	// none. With Data.Again what is there is dropped and To's tables are emptied first.
	Subscribe(ctx context.Context, a Request) (Timelines, error)
	// Copy hands over the tables that follow State.Copy.After in the order of names, one at least, up to about Data.Rows
	// rows, and has the subscription begin their initial copy.
	Copy(ctx context.Context, a Request) (CopyResult, error)
	// Mark begins to note which ranges are touched, at both homes, and makes the slot at other from which home can be fed
	// after a switch. What was noted before is forgotten; other's fence is closed.
	Track(ctx context.Context, a Request, home, other Group) (Timelines, error)
	// Compare holds the ranges that follow State.Compare.After against each other, some at a time, each at a position
	// of home that other has reached.
	Compare(ctx context.Context, a Request, home, other Group) (ComparisonResult, error)
	// Close closes the fence at the group that serves the tenant, waiting Data.Within for running writers, and returns
	// that primary's timeline and the position past the last write; or, not closed, who held it up.
	Fence(ctx context.Context, a Request, at Group) (closed *FencePoint, held []BlockingSession, err error)
	// Fenced says whether the fence of a group is closed at its present primary, under this token, and its timeline.
	FenceStatus(ctx context.Context, a Request, at Group) (closed bool, line int, err error)
	// Verify sets the sequences at other as they stand at home, and holds all that was touched since it was found equal,
	// counts, sequences and a sample of reads against each other. Both are still; home is fenced. All counts as touched
	// where the notes are gone or the timelines are not State.Lines. It returns once what it set is on those of other's
	// standbys that may take over, or Late.
	Verify(ctx context.Context, a Request, home, other Group) (VerificationResult, error)
	// Open opens the fence of a group. Until then each write there is refused. A subscription by which the group followed
	// the other one ends first: what is changed by hand where the tenant is no longer served must not come over.
	Unfence(ctx context.Context, a Request, at Group) error
	// Feed ends To's subscription and gives From one to To, from the slot that Mark made, origin = none, with From
	// fenced; nothing counts as noted until Mark. With Data.Again, or if that slot is gone or was made on another timeline,
	// From's tables are emptied and copied anew.
	ReplicateBack(ctx context.Context, a Request) (Timelines, error)
	// Clear removes what the move built at both homes and empties To's tables. The rows of the fences stay, From's open,
	// so that who comes late with an old token or number is refused; the tenant's next move takes them over.
	CleanUp(ctx context.Context, a Request) error
	// Finish removes what the move built at both homes but for the tables, with From fenced for good; with Plan.Old =
	// drop From's tables go too.
	Finish(ctx context.Context, a Request) error
	// Look raises the token at each place that the deed acts on, and the number past the deed's, so that neither an earlier
	// owner's act counts there any more nor one of this deed that is still on its way, and says whether the deed was done,
	// with what it returned. What is left of one that was not is cleared.
	Recover(ctx context.Context, a Request) (Recovery, error)
	// Progress changes nothing.
	ReplicationStatus(ctx context.Context, a Request, home, other Group) (ReplicationStatus, error)
}

// CopyResult is what was handed over.
type CopyResult struct {
	LastTable string  `json:"after"`
	Rows      float64 `json:"rows"`
	Complete  bool    `json:"all"`
}

// ComparisonResult is what a comparison before the pause came to.
type ComparisonResult struct {
	LastRange     string       `json:"after"`
	Complete      bool         `json:"all"`
	EqualRanges   int          `json:"equal"`
	ChangedRanges int          `json:"hot"`
	Differences   []Difference `json:"differ,omitempty"`
}

// VerificationResult is what a comparison in the pause came to.
type VerificationResult struct {
	RangesRead      int          `json:"ranges"` // that were read
	QueriesReplayed int          `json:"reads"`  // that were played at both
	Differences     []Difference `json:"differ,omitempty"`
	Timelines       Timelines    `json:"lines"` // throughout; one that changed meanwhile is 0
	TimedOut        bool         `json:"late"`  // it was not through in its time
}

// Recovery is what Look found.
type Recovery struct {
	Done      bool
	Timelines Timelines
	Copied    CopyResult
	Compared  ComparisonResult
	Fence     *FencePoint
}

// Rules are the agreed rules, as far as a move needs them.
type Rules interface {
	// Now are the newest rules in the log: as far as the caller's own assignment at least. inForce: every pooler whose
	// lease may still run acts on them alone.
	Current() (rules map[string]any, version int, inForce bool)
	// Change brings keys in, in one version, by the log, which refuses it if the work has a later token by then, or if the
	// deed is not open: it was looked for and found not done. It returns when that is in the log. While another version is
	// not in force yet it waits. Costs count one such wait: it takes that changes which wait come in together, or that
	// nothing else changes the rules.
	Change(ctx context.Context, work string, token jobs.FencingToken, deed *jobs.Operation, change map[string]any) (version int, err error)
	// Limited says whether the limits name a key: then a pooler without a lease keeps to it.
	HasLimit(key string) bool
}

// RateLimiter says how many rows a second both groups have room for, by their load and aims; 0: none now.
type RateLimiter interface {
	RowsPerSecond(from, to Group) float64
}

// TargetHealth says why a group should not be gone to now, "" if it may: cold, draining, slow.
type TargetHealth interface {
	UnfitReason(to Group, tenant string) string
}

// Scheduler says which planned moves may start; see May.
type Scheduler interface {
	MayStart(work string) (may bool, why string)
}

// Migrator is the kind of work that a move is.
type Migrator struct {
	Databases         Databases
	Rules             Rules
	RateLimiter       RateLimiter  // nil: no bound but the plan's
	Health            TargetHealth // nil: any group is fit
	Scheduler         Scheduler    // nil: any may start
	Timing            Timing
	DisabledGuarantee string // what is switched off to see a checker fail; "": nothing
}

// Guarantees are the words of Mover.Break.
var Guarantees = []string{"fence", "verify", "pause", "back", "word"}

func (m *Migrator) request(w *jobs.Job, d *jobs.Operation) (Request, error) {
	p, err := decodePlan(w.Spec)
	if err != nil {
		return Request{}, err
	}
	s, err := decodeState(w)
	if err != nil {
		return Request{}, &UnreadableJobError{Job: w.Name, Err: err}
	}
	a := Request{Plan: p, Job: w.Name, Token: w.Token, State: s}
	if d != nil {
		a.OperationID, a.Operation, a.AnnouncedToken, a.Number = d.ID(w.Name), d.Name, d.Token, d.Number
		if err := json.Unmarshal(d.Data, &a.Data); len(d.Data) > 0 && err != nil {
			return a, &UnreadableJobError{Job: w.Name, Err: err}
		}
	}
	return a, nil
}

// Observe looks at the rules and, as far as the phase calls for it, at both homes.
func (m *Migrator) Observe(ctx context.Context, w *jobs.Job) (any, error) {
	a, err := m.request(w, nil)
	if err != nil {
		return nil, err
	}
	see := &Observation{Step: w.Step, MayStart: true, RowsPerSecond: 1e9}
	rules, version, inForce := m.Rules.Current()
	see.Version, see.InForce = version, inForce
	see.Paused, _ = rules[a.Plan.pausedKey()].(bool)
	if g, ok := rules[a.Plan.groupKey()].(float64); ok {
		see.Group = Group(g)
	}
	switch a.State.Phase {
	case PhasePlanned:
		if m.Scheduler != nil {
			see.MayStart, see.WaitReason = m.Scheduler.MayStart(w.Name)
		}
	case PhaseCopying, PhaseCatchingUp, PhaseFencing, PhaseVerifying, PhaseSwitched:
		home, other := a.State.groups(a.Plan)
		if m.RateLimiter != nil {
			see.RowsPerSecond = m.RateLimiter.RowsPerSecond(home, other)
		}
		if m.Health != nil && !a.State.Reverse && a.State.Phase != PhaseSwitched {
			see.UnfitReason = m.Health.UnfitReason(other, a.Plan.Tenant)
		}
		p, err := m.Databases.ReplicationStatus(ctx, a, home, other)
		if err != nil {
			if a.State.Phase == PhaseFencing || a.State.Phase == PhaseVerifying { // what the rules say counts without them
				return see, nil
			}
			return nil, err
		}
		unfit := see.UnfitReason
		if see.ReplicationStatus = p; unfit != "" {
			see.UnfitReason = unfit
		}
	}
	return see, nil
}

// Execute does a deed that was announced.
func (m *Migrator) Execute(ctx context.Context, w *jobs.Job, d *jobs.Operation) (jobs.Result, error) {
	a, err := m.request(w, d)
	if err != nil {
		return jobs.Result{}, err
	}
	r, err := m.execute(ctx, a)
	if err != nil {
		return jobs.Result{}, err
	}
	return after(a, r)
}

// execute does it.
func (m *Migrator) execute(ctx context.Context, a Request) (r operationResult, err error) {
	home, other := a.State.groups(a.Plan)
	switch a.Operation {
	case OperationCheck:
		if r.checkResults, err = m.Databases.Check(ctx, a); err == nil {
			r.checkResults = append(m.checkRules(a.Plan), r.checkResults...)
		}
	case OperationPublish:
		var by *TenantLockedError
		if err = m.Databases.Publish(ctx, a); errors.As(err, &by) {
			r.locked, err = by, nil
		}
	case OperationSubscribe:
		r.Timelines, err = m.Databases.Subscribe(ctx, a)
	case OperationCopy:
		r.Copied, err = m.Databases.Copy(ctx, a)
	case OperationTrack:
		r.Timelines, err = m.Databases.Track(ctx, a, home, other)
	case OperationCompare:
		r.Compared, err = m.Databases.Compare(ctx, a, home, other)
	case OperationPause:
		r.version, err = m.Rules.Change(ctx, a.Job, a.Token, &jobs.Operation{Number: a.Number, Name: a.Operation}, map[string]any{a.Plan.pausedKey(): true})
	case OperationFence:
		r.Fence, r.blocking, err = m.Databases.Fence(ctx, a, home)
	case OperationVerify:
		if r.verified, err = m.Databases.Verify(ctx, a, home, other); m.DisabledGuarantee == "verify" {
			r.verified.Differences = nil
		}
	case OperationSwitch: // the log decides; until the fence opens, writes there are refused
		closed, line, err := m.Databases.FenceStatus(ctx, a, home)
		if err != nil {
			return r, err
		}
		if m.DisabledGuarantee != "fence" && (!closed || line != a.State.Pause.Fence.Timeline) {
			r.unfenced = true
			return r, nil
		}
		if r.version, err = m.Rules.Change(ctx, a.Job, a.Token, &jobs.Operation{Number: a.Number, Name: a.Operation}, m.servingRules(a, other)); err != nil {
			return r, err
		}
		return r, m.Databases.Unfence(ctx, a, other)
	case OperationReopen:
		if r.version, err = m.Rules.Change(ctx, a.Job, a.Token, &jobs.Operation{Number: a.Number, Name: a.Operation}, m.servingRules(a, home)); err != nil {
			return r, err
		}
		err = m.Databases.Unfence(ctx, a, home)
	case OperationReplicateBack:
		r.Timelines, err = m.Databases.ReplicateBack(ctx, a)
	case OperationFinish:
		err = m.Databases.Finish(ctx, a)
	case OperationCleanUp:
		err = m.Databases.CleanUp(ctx, a)
	}
	return r, err
}

// servingRules are the keys by which a group serves the tenant.
func (m *Migrator) servingRules(a Request, by Group) map[string]any {
	return map[string]any{a.Plan.groupKey(): float64(by), a.Plan.pausedKey(): false}
}

// checkRules are the findings of the agreed rules.
func (m *Migrator) checkRules(p Plan) (out CheckResults) {
	rules, _, _ := m.Rules.Current()
	if rules[p.groupKey()] != float64(p.From) {
		out = append(out, CheckResult{Reason: CheckAssignmentDiffers, Name: p.groupKey(), Detail: fmt.Sprintf("%v", rules[p.groupKey()])})
	}
	for _, key := range []string{p.groupKey(), p.pausedKey()} {
		if !m.Rules.HasLimit(key) {
			out = append(out, CheckResult{Reason: CheckLimitsMissing, Name: key})
		}
	}
	return out
}

// Recover finds out whether a deed that is in doubt was done. What the log has decided is carried on.
func (m *Migrator) Recover(ctx context.Context, w *jobs.Job, d *jobs.Operation) (bool, jobs.Result, error) {
	a, err := m.request(w, d)
	if err != nil {
		return false, jobs.Result{}, err
	}
	var r operationResult
	home, other := a.State.groups(a.Plan)
	rules, version, _ := m.Rules.Current()
	paused, group := rules[a.Plan.pausedKey()] == true, rules[a.Plan.groupKey()]
	r.version = version
	done := true
	switch d.Name {
	case OperationPause:
		done = paused
	case OperationSwitch:
		if done = !paused && group == float64(other); done {
			err = m.Databases.Unfence(ctx, a, other)
		}
	case OperationReopen:
		if done = !paused; done {
			err = m.Databases.Unfence(ctx, a, home)
		}
	case OperationAccept, OperationCancel, OperationHold, OperationResume, OperationRollBack, OperationDiscardApproval: // they are what the log says of them
	case OperationCheck, OperationVerify: // done again: nothing rests on them but their proof
		done = false
	default:
		r.Recovery, err = m.Databases.Recover(ctx, a)
		done = r.Done
	}
	if err != nil || !done {
		return false, jobs.Result{}, err
	}
	p, err := after(a, r)
	return err == nil, p, err
}

// TenantLockedError is a tenant that another work moves.
type TenantLockedError struct {
	Tenant string
	Job    string // the other work
}

func (t *TenantLockedError) Error() string {
	return "tenant " + t.Tenant + " is being moved by " + t.Job
}

// Code is the reason in a word.
func (t *TenantLockedError) Code() string { return "tenant_taken" }

// Advice says what an operator can do.
func (t *TenantLockedError) Advice() string {
	return "let " + t.Job + " end, or take it back; then resume or order this one anew"
}

// UnreadableJobError is a work whose spec, state or data this program can't read: a newer one wrote it.
type UnreadableJobError struct {
	Job string
	Err error
}

func (u *UnreadableJobError) Error() string {
	return "work " + u.Job + " can't be read: " + u.Err.Error()
}
func (u *UnreadableJobError) Unwrap() error { return u.Err }

// Code is the reason in a word.
func (u *UnreadableJobError) Code() string { return "work_unreadable" }

// Advice says what an operator can do.
func (u *UnreadableJobError) Advice() string { return "run the program that began it, or a newer one" }
