package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ashstand/internal/admin"
	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/consensus/runner"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
	movesql "ashstand/internal/cluster/migration/sql"
)

// kindMigration is the name of that kind of work.
const kindMigration = "move"

// maxConcurrentMigrations is how many may run in the fleet: then a change of the rules waits for one other's at the most, which is what
// the bound of a pause has room for (move.Costs).
const maxConcurrentMigrations = 2

// migrationRules are the agreed rules as moves need them.
type migrationRules struct {
	agreed *runner.Runner
	clock  clock.Clock
	limits consensus.Rules
}

// Current is move.Rules'.
func (r *migrationRules) Current() (rules map[string]any, version int, inForce bool) {
	g := r.agreed.Lease()
	if p := g.Versions.Pending; p != nil {
		return p.Rules, p.Number, false
	}
	return g.Versions.Active.Rules, g.Versions.Active.Number, !g.Expired(r.clock.Now())
}

// Change is move.Rules'. An answer that says that another version is not in force yet is no refusal: it is asked again.
func (r *migrationRules) Change(ctx context.Context, work string, token jobs.FencingToken, deed *jobs.Operation, change map[string]any) (int, error) {
	for {
		n, err := r.agreed.ProposeJobEntry(ctx, jobs.Entry{Type: jobs.EntryAuthorize, Job: work, Token: token, Operation: deed}, consensus.Rules(change))
		var refused *consensus.RejectedError
		if err == nil || !errors.As(err, &refused) {
			return n, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(rulesRetryInterval):
		}
	}
}

// rulesRetryInterval is short against the time in which a version comes into force, and long against a line of the log.
const rulesRetryInterval = 20 * time.Millisecond

// HasLimit is move.Rules'. A pause that the limits don't set would not hold for a pooler without a lease.
func (r *migrationRules) HasLimit(key string) bool {
	v, named := r.limits[key]
	return named && (!strings.HasSuffix(key, ".paused") || v == true)
}

// migrationScheduler say which planned moves may start, by this pooler's copy of the ledger. Two owners whose copies differ may start
// one too many; nothing but the bound's margin rests on that.
type migrationScheduler struct{ w *jobService }

// MayStart is move.Turns'.
func (t migrationScheduler) MayStart(work string) (bool, string) {
	l := t.w.stateMachine()
	why, waits := migration.Schedule(migration.Candidates(l, kindMigration, func(migration.Group) (hosts, zones []string) { return nil, nil }), migration.ConcurrencyLimits{Total: maxConcurrentMigrations})[work]
	return waits && why == "", why
}

// stateMachine is this pooler's copy.
func (w *jobService) stateMachine() *jobs.StateMachine {
	of, _ := w.log.Jobs()
	l := &jobs.StateMachine{Jobs: map[string]*jobs.Job{}}
	for name, x := range of {
		l.Jobs[name] = &x
	}
	return l
}

// newMigrator makes the kind of work that moves are.
func (f *fellows) newMigrator(w *jobService, cfg *config, c consensus.Config, now clock.Clock) *migration.Migrator {
	deed := cfg.operator.Cluster.Agreement.Jobs.OperationTimeout
	_, force := c.ActivationBoundMillis()
	_, takeover := c.TakeoverBoundMillis() // whoever dies may have led the log as well
	m := &migration.Migrator{
		Databases: &movesql.Databases{Client: w.client, Timeout: deed}, Rules: &migrationRules{f.agreed, now, c.Limits}, Scheduler: migrationScheduler{w},
		// A line of the log takes two round trips and two savings: less than a heartbeat each, or the leader would be taken for gone.
		Timing: migration.Timing{LogEntryMillis: c.ElectionTimeoutMillis / 5, RulesInForceMillis: force, FailoverMillis: takeover, DatabaseCallMillis: clock.Millis(deed)},
	}
	if slices.Contains(migration.Guarantees, f.broken) {
		m.DisabledGuarantee = f.broken
	}
	return m
}

// validateMigration checks a move whole before it goes into the log.
func (w *jobService) validateMigration(e *jobs.Entry) error {
	p, err := migration.ParsePlan(e.Spec, w.migrator.Timing)
	if err != nil {
		return err
	}
	for _, x := range w.stateMachine().Jobs {
		if other, err := migration.ParsePlan(x.Spec, w.migrator.Timing); x.Kind == kindMigration && !x.Finished && x.Name != e.Job && err == nil && other.Tenant == p.Tenant {
			return &migration.TenantLockedError{Tenant: p.Tenant, Job: x.Name}
		}
	}
	e.RequiredGroups = []uint64{p.From, p.To}
	return nil
}

// migrationPlanView is what a plan comes to where it would run. Times are in milliseconds.
type migrationPlanView struct {
	Plan           migration.Plan         `json:"plan"`
	MinPauseMillis float64                `json:"least_pause_ms"`  // that could be asked for
	CutoffMillis   float64                `json:"cutoff_ms"`       // a pause that has lasted so long without its switch is taken back
	CheckResults   migration.CheckResults `json:"found,omitempty"` // in the agreed rules and at both homes
}

// planMigration checks a move, as its first deed would, and enters nothing.
func (n *node) planMigration(ctx context.Context, body []byte) (any, error) {
	if n.others == nil || n.others.jobs == nil {
		return nil, jobsDisabledError{}
	}
	w := n.others.jobs
	p, err := migration.ParsePlan(body, w.migrator.Timing)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	proof, err := w.migrator.Execute(ctx, &jobs.Job{Spec: body}, &jobs.Operation{Number: 1, Name: string(migration.OperationCheck)})
	if err != nil {
		return nil, err
	}
	s, err := migration.DecodeState(&jobs.Job{State: proof.State})
	return migrationPlanView{Plan: p, MinPauseMillis: w.migrator.Timing.MinPauseMillis(p.FenceWaitMillis), CutoffMillis: w.migrator.Timing.CutoffMillis(p), CheckResults: s.CheckResults}, err
}

// migrationView is what operators see of one move.
type migrationView struct {
	Name           string                `json:"name"`
	Plan           migration.Plan        `json:"plan"`
	State          migration.State       `json:"state"`
	Step           uint64                `json:"step"` // what a word is given for
	SinceMillis    float64               `json:"since_ms"`
	Operation      string                `json:"deed,omitempty"` // announced and not settled
	Owner          string                `json:"owner,omitempty"`
	Token          jobs.FencingToken     `json:"token"`
	Owners         int                   `json:"owners"`
	WaitsFor       string                `json:"waits_for,omitempty"`
	Options        []jobs.ApprovalOption `json:"words,omitempty"`
	Approval       *jobs.Approval        `json:"word,omitempty"` // and not taken up
	RollbackEffect string                `json:"back"`           // what taking it back means now
	Ended          bool                  `json:"ended,omitempty"`
	EndReason      string                `json:"why,omitempty"`
	Code           string                `json:"code,omitempty"` // of what goes wrong
	Message        string                `json:"message,omitempty"`
	Advice         string                `json:"advice,omitempty"`
}

type migrationsView struct {
	On         bool            `json:"on"`
	Migrations []migrationView `json:"moves"`
}

// phaseTimes are since when this pooler has seen each move in its state.
type phaseTimes map[string]phaseTime

type phaseTime struct {
	phase migration.Phase
	at    float64
}

// update brings phases up to date.
func (p phaseTimes) update(l *jobs.StateMachine, now float64) {
	for name, w := range l.Jobs {
		s, err := migration.DecodeState(w)
		if was, known := p[name]; err == nil && w.Kind == kindMigration && (!known || was.phase != s.Phase) {
			p[name] = phaseTime{s.Phase, now}
		}
	}
	maps.DeleteFunc(p, func(name string, _ phaseTime) bool { return l.Jobs[name] == nil })
}

// migrationViews are what operators see of all moves.
func (f *fellows) migrationViews() any {
	if f == nil || f.jobs == nil {
		return migrationsView{}
	}
	w := f.jobs
	v := migrationsView{On: true, Migrations: []migrationView{}}
	l, now, here := w.stateMachine(), w.clock.Now(), w.executor.Statuses()
	w.mu.Lock()
	w.phaseTimes.update(l, now)
	since := maps.Clone(w.phaseTimes)
	w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(l.Jobs)) {
		x := l.Jobs[name]
		if x.Kind != kindMigration {
			continue
		}
		m := migrationView{Name: name, Step: x.Step, SinceMillis: since[name].at, Owner: x.Holder, Token: x.Token, Owners: x.HolderCount, Approval: x.Approval, Ended: x.Finished, EndReason: x.Reason}
		m.Plan, _ = migration.ParsePlan(x.Spec, w.migrator.Timing) // it was judged when it came in
		var err error
		if m.State, err = migration.DecodeState(x); err != nil {
			m.Code, m.Message, m.Advice = "work_unreadable", err.Error(), (&migration.UnreadableJobError{}).Advice()
		}
		if m.RollbackEffect = m.State.Phase.RollbackEffect(); x.Operation != nil {
			m.Operation = x.Operation.Name
		}
		if h, own := here[name]; own {
			m.WaitsFor, m.Options, m.Code, m.Message, m.Advice = h.WaitingFor, h.Options, h.Code, h.Message, h.Advice
		} else if !x.Finished {
			// The words hang on what is proven alone; what is waited for only its owner knows.
			m.Options = w.migrator.Next(now, x, nil).Options
			m.WaitsFor = "ask " + cmp.Or(x.Holder, "again: it has no owner yet")
		}
		for _, finding := range m.State.CheckResults.Blocking() {
			if m.Code == "" {
				m.Code, m.Message, m.Advice = finding.Code(), finding.Error(), finding.Advice()
			}
		}
		if len(m.State.Differences) > 0 && m.Code == "" {
			d := &m.State.Differences[0]
			m.Code, m.Message, m.Advice = d.Code(), d.Error(), d.Advice()
		}
		v.Migrations = append(v.Migrations, m)
	}
	return v
}

// migrateCommands order moves, show them and bring words in.
func migrateCommands(ask func(*cobra.Command) *cobra.Command, asJSON func() bool, address func() (string, error)) *cobra.Command {
	root := &cobra.Command{Use: "move", Short: "take a database from one group of db hosts to another while it is in use"}
	do := func(c *cobra.Command, what string, body []byte, out any, table func(io.Writer)) error {
		a, err := address()
		if err != nil {
			return err
		}
		if err := admin.Invoke(a, what, body, out); err != nil {
			return err
		}
		if asJSON() {
			return printJSON(c.OutOrStdout(), out)
		}
		table(c.OutOrStdout())
		return nil
	}
	enter := func(c *cobra.Command, e jobs.Entry, say string) error {
		body, err := json.Marshal(e)
		if err != nil {
			return err
		}
		out := struct {
			Work string `json:"work"`
		}{}
		return do(c, "work", body, &out, func(w io.Writer) { fmt.Fprintln(w, say) })
	}
	root.AddCommand(ask(&cobra.Command{
		Use: "plan FILE", Short: "say whether a plan can be kept here, and what is wrong with it; nothing is begun", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var v migrationPlanView
			return do(c, "move-plan", text, &v, func(w io.Writer) { writePlanTable(w, &v) })
		},
	}))
	var name string
	start := &cobra.Command{Use: "start FILE", Short: "order the move of a plan", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		called := name
		if called == "" {
			var p migration.Plan
			_ = json.Unmarshal(text, &p) // what is wrong with it is said by who checks it
			called = fmt.Sprintf("%s-to-%d", p.Tenant, p.To)
		}
		return enter(c, jobs.Entry{Type: jobs.EntryCreate, Job: called, JobKind: kindMigration, Spec: text}, "the move "+called+" is in the log; ashstand move status "+called+" shows it")
	}}
	start.Flags().StringVar(&name, "name", "", "of the move (default: TENANT-to-GROUP)")
	root.AddCommand(ask(start))
	root.AddCommand(ask(&cobra.Command{
		Use: "status [NAME]", Short: "show moves: their state, what each waits for, and what each word would do", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			a, err := address()
			if err != nil {
				return err
			}
			var v migrationsView
			if err := admin.Get(a, "moves", &v); err != nil {
				return err
			}
			if !v.On {
				return jobsDisabledError{}
			}
			if len(args) > 0 {
				if v.Migrations = slices.DeleteFunc(v.Migrations, func(m migrationView) bool { return m.Name != args[0] }); len(v.Migrations) == 0 {
					return &jobs.RejectedError{Reason: jobs.RejectUnknownJob, Job: args[0]}
				}
			}
			if asJSON() {
				return printJSON(c.OutOrStdout(), &v)
			}
			writeMigrationTable(c.OutOrStdout(), &v)
			return nil
		},
	}))
	for _, w := range []struct{ say, short string }{
		{migration.ActionGo, "let a move pass the checkpoint that it waits at"},
		{migration.ActionPause, "begin nothing further until resume; a tenant that is paused opens where it was"},
		{migration.ActionResume, "go on with a move that is held"},
		{migration.ActionRollback, "take a move back"},
		{migration.ActionAccept, "end the way back of a move that has switched"},
	} {
		var step uint64
		word := &cobra.Command{Use: w.say + " NAME --step N", Short: w.short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			if !c.Flags().Changed("step") {
				return errors.New("--step names the step that the word is given for, as ashstand move status shows it")
			}
			return enter(c, jobs.Entry{Type: jobs.EntryApprove, Job: args[0], Approval: &jobs.Approval{Action: w.say, By: os.Getenv("USER"), Step: step, Persistent: w.say == migration.ActionRollback}},
				"the word is in the log; ashstand move status "+args[0]+" shows what becomes of it")
		}}
		word.Flags().Uint64Var(&step, "step", 0, "that the word is given for")
		root.AddCommand(ask(word))
	}
	return root
}

func writePlanTable(w io.Writer, v *migrationPlanView) {
	p := v.Plan
	fmt.Fprintf(w, "tenant %s from group %d to group %d\n", p.Tenant, p.From, p.To)
	fmt.Fprintf(w, "no pause is longer than %.0f ms; here %.0f could be kept at the least; one without its switch after %.0f ms is taken back\n", p.MaxPauseMillis, v.MinPauseMillis, v.CutoffMillis)
	fmt.Fprintf(w, "writers are waited for %.0f ms, then they %s; %d pauses may be taken back, %.0f ms apart\n", p.FenceWaitMillis, map[string]string{"end": "are ended", "wait": "are waited for again"}[p.BlockingSessions],
		p.MaxAbortedPauses, p.BackoffMillis)
	fmt.Fprintf(w, "waits for a word at: %s; the old copy: %s\n", joinCheckpoints(p.Checkpoints), p.OldCopy)
	for i := range v.CheckResults {
		how := "in the way"
		if v.CheckResults[i].Informational {
			how = "to be known"
		}
		fmt.Fprintf(w, "%s: %s; what to do: %s\n", how, v.CheckResults[i].Error(), v.CheckResults[i].Advice())
	}
}

func writeMigrationTable(w io.Writer, v *migrationsView) {
	if len(v.Migrations) == 0 {
		fmt.Fprintln(w, "there are no moves")
	}
	for i := range v.Migrations {
		m := &v.Migrations[i]
		s := m.State
		fmt.Fprintf(w, "%s: tenant %s from group %d to group %d\n", m.Name, m.Plan.Tenant, m.Plan.From, m.Plan.To)
		fmt.Fprintf(w, "  state    %s", s.Phase)
		if s.Reverse {
			fmt.Fprint(w, ", on the way back")
		}
		if s.HoldReason != "" {
			fmt.Fprintf(w, ", held: %s", s.HoldReason)
		}
		fmt.Fprintf(w, "; seen here since %s\n", time.UnixMilli(int64(m.SinceMillis)).UTC().Format(time.DateTime))
		fmt.Fprintf(w, "  step     %d", m.Step)
		if m.Operation != "" {
			fmt.Fprintf(w, ", %s under way", m.Operation)
		}
		fmt.Fprintf(w, "; owner %s under token %d, the %d. so far\n", cmp.Or(m.Owner, "-"), m.Token, m.Owners)
		for _, line := range stateLines(s) {
			fmt.Fprintf(w, "  shown    %s\n", line)
		}
		if m.Ended {
			fmt.Fprintf(w, "  ended    %s\n", cmp.Or(m.EndReason, string(s.Phase)))
			continue
		}
		if m.WaitsFor != "" {
			fmt.Fprintf(w, "  waits    %s\n", m.WaitsFor)
		}
		if m.Message != "" {
			fmt.Fprintf(w, "  trouble  %s (%s); what to do: %s\n", m.Message, m.Code, m.Advice)
		}
		if m.Approval != nil {
			fmt.Fprintf(w, "  given    %s by %s for step %d\n", m.Approval.Action, cmp.Or(m.Approval.By, "-"), m.Approval.Step)
		}
		for _, o := range m.Options {
			fmt.Fprintf(w, "  word     %s: %s\n", o.Action, o.Effect)
		}
		fmt.Fprintf(w, "  back     %s\n", m.RollbackEffect)
	}
}

// stateLines says what a state rests on.
func stateLines(s migration.State) (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if s.Published {
		all := ""
		if s.Copy.Complete {
			all = ", all tables"
		}
		add("copied up to %q%s; begun anew %d times", s.Copy.LastTable, all, s.Copy.Restarts)
	}
	if s.Comparison.EqualRanges+s.Comparison.ChangedRanges > 0 {
		add("%d ranges found equal, %d left for the pause since they changed meanwhile", s.Comparison.EqualRanges, s.Comparison.ChangedRanges)
	}
	if p := s.Pause; p != nil {
		if p.Fence != nil {
			add("the home is fenced on timeline %d at %v", p.Fence.Timeline, p.Fence.LSN)
		}
		if p.Verified {
			add("%d ranges and %d reads held against each other in the pause: equal", p.RangesRead, p.QueriesReplayed)
		}
	}
	for i := range s.BlockingSessions {
		add("%s", s.BlockingSessions[i].Error())
	}
	for i := range s.Differences {
		add("%s", s.Differences[i].Error())
	}
	for _, x := range s.LostCommits {
		add("lost: %s", x)
	}
	for _, x := range s.Notes {
		add("%s", x)
	}
	if s.ReverseReplicating {
		add("the old home is fed from the new one")
	}
	if s.RollbackReason != "" {
		add("taken back: %s", s.RollbackReason)
	}
	return out
}

// joinCheckpoints lists the names of checkpoints.
func joinCheckpoints(checkpoints []migration.Checkpoint) string {
	names := make([]string, 0, len(checkpoints))
	for _, checkpoint := range checkpoints {
		names = append(names, string(checkpoint))
	}
	return strings.Join(names, ", ")
}
