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

// kindMove is the name of that kind of work.
const kindMove = "move"

// movesAtOnce is how many may run in the fleet: then a change of the rules waits for one other's at the most, which is what
// the bound of a pause has room for (move.Costs).
const movesAtOnce = 2

// movesRules are the agreed rules as moves need them.
type movesRules struct {
	agreed *runner.Runner
	clock  clock.Clock
	limits consensus.Rules
}

// Now is move.Rules'.
func (r *movesRules) Now() (rules map[string]any, version int, inForce bool) {
	g := r.agreed.Lease()
	if p := g.Versions.Pending; p != nil {
		return p.Rules, p.Number, false
	}
	return g.Versions.Active.Rules, g.Versions.Active.Number, !g.Expired(r.clock.Now())
}

// Change is move.Rules'. An answer that says that another version is not in force yet is no refusal: it is asked again.
func (r *movesRules) Change(ctx context.Context, work string, token jobs.FencingToken, deed *jobs.Operation, change map[string]any) (int, error) {
	for {
		n, err := r.agreed.ProposeJobEntry(ctx, jobs.Entry{Type: jobs.EntryAuthorize, Job: work, Token: token, Operation: deed}, consensus.Rules(change))
		var refused *consensus.RejectedError
		if err == nil || !errors.As(err, &refused) {
			return n, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(changeAgain):
		}
	}
}

// changeAgain is short against the time in which a version comes into force, and long against a line of the log.
const changeAgain = 20 * time.Millisecond

// Limited is move.Rules'. A pause that the limits don't set would not hold for a pooler without a lease.
func (r *movesRules) Limited(key string) bool {
	v, named := r.limits[key]
	return named && (!strings.HasSuffix(key, ".paused") || v == true)
}

// turns say which planned moves may start, by this pooler's copy of the ledger. Two owners whose copies differ may start
// one too many; nothing but the bound's margin rests on that.
type turns struct{ w *jobService }

// Turn is move.Turns'.
func (t turns) Turn(work string) (bool, string) {
	l := t.w.stateMachine()
	why, waits := migration.May(migration.Candidates(l, kindMove, func(migration.Group) (hosts, zones []string) { return nil, nil }), migration.Limits{All: movesAtOnce})[work]
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

// moves makes the kind of work that moves are.
func (f *fellows) moves(w *jobService, cfg *config, c consensus.Config, now clock.Clock) *migration.Mover {
	deed := cfg.operator.Cluster.Agreement.Jobs.OperationTimeout
	_, force := c.ActivationBoundMillis()
	_, takeover := c.TakeoverBoundMillis() // whoever dies may have led the log as well
	m := &migration.Mover{
		Places: &movesql.Databases{Client: w.client, Timeout: deed}, Rules: &movesRules{f.agreed, now, c.Limits}, Turns: turns{w},
		// A line of the log takes two round trips and two savings: less than a heartbeat each, or the leader would be taken for gone.
		Costs: migration.Costs{Log: c.ElectionTimeoutMillis / 5, InForce: force, Owner: takeover, Place: clock.Millis(deed)},
	}
	if slices.Contains(migration.Breakable, f.broken) {
		m.Break = f.broken
	}
	return m
}

// ordered checks a move whole before it goes into the log.
func (w *jobService) ordered(e *jobs.Entry) error {
	p, err := migration.Parse(e.Spec, w.mover.Costs)
	if err != nil {
		return err
	}
	for _, x := range w.stateMachine().Jobs {
		if other, err := migration.Parse(x.Spec, w.mover.Costs); x.Kind == kindMove && !x.Finished && x.Name != e.Job && err == nil && other.Tenant == p.Tenant {
			return &migration.Taken{Tenant: p.Tenant, By: x.Name}
		}
	}
	e.RequiredGroups = []uint64{p.From, p.To}
	return nil
}

// planView is what a plan comes to where it would run. Times are in milliseconds.
type planView struct {
	Plan   migration.Plan     `json:"plan"`
	Least  float64            `json:"least_pause_ms"`  // that could be asked for
	Cutoff float64            `json:"cutoff_ms"`       // a pause that has lasted so long without its switch is taken back
	Found  migration.Findings `json:"found,omitempty"` // in the agreed rules and at both homes
}

// plan checks a move, as its first deed would, and enters nothing.
func (n *node) plan(ctx context.Context, body []byte) (any, error) {
	if n.others == nil || n.others.jobs == nil {
		return nil, jobsDisabledError{}
	}
	w := n.others.jobs
	p, err := migration.Parse(body, w.mover.Costs)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	proof, err := w.mover.Execute(ctx, &jobs.Job{Spec: body}, &jobs.Operation{Number: 1, Name: migration.DeedCheck})
	if err != nil {
		return nil, err
	}
	s, err := migration.StateOf(&jobs.Job{State: proof.State})
	return planView{Plan: p, Least: w.mover.Costs.Least(p.Lock), Cutoff: w.mover.Costs.Cutoff(p), Found: s.Findings}, err
}

// moveView is what operators see of one move.
type moveView struct {
	Name    string                `json:"name"`
	Plan    migration.Plan        `json:"plan"`
	State   migration.State       `json:"state"`
	Step    uint64                `json:"step"` // what a word is given for
	Since   float64               `json:"since_ms"`
	Deed    string                `json:"deed,omitempty"` // announced and not settled
	Owner   string                `json:"owner,omitempty"`
	Token   jobs.FencingToken     `json:"token"`
	Owners  int                   `json:"owners"`
	Wait    string                `json:"waits_for,omitempty"`
	Words   []jobs.ApprovalOption `json:"words,omitempty"`
	Given   *jobs.Approval        `json:"word,omitempty"` // and not taken up
	Back    string                `json:"back"`           // what taking it back means now
	Ended   bool                  `json:"ended,omitempty"`
	Why     string                `json:"why,omitempty"`
	Code    string                `json:"code,omitempty"` // of what goes wrong
	Message string                `json:"message,omitempty"`
	Advice  string                `json:"advice,omitempty"`
}

type movesView struct {
	On    bool       `json:"on"`
	Moves []moveView `json:"moves"`
}

// phases are since when this pooler has seen each move in its state.
type phases map[string]phaseSeen

type phaseSeen struct {
	phase migration.Phase
	at    float64
}

// see brings phases up to date.
func (p phases) see(l *jobs.StateMachine, now float64) {
	for name, w := range l.Jobs {
		s, err := migration.StateOf(w)
		if was, known := p[name]; err == nil && w.Kind == kindMove && (!known || was.phase != s.Phase) {
			p[name] = phaseSeen{s.Phase, now}
		}
	}
	maps.DeleteFunc(p, func(name string, _ phaseSeen) bool { return l.Jobs[name] == nil })
}

// moveViews are what operators see of all moves.
func (f *fellows) moveViews() any {
	if f == nil || f.jobs == nil {
		return movesView{}
	}
	w := f.jobs
	v := movesView{On: true, Moves: []moveView{}}
	l, now, here := w.stateMachine(), w.clock.Now(), w.executor.Statuses()
	w.mu.Lock()
	w.phases.see(l, now)
	since := maps.Clone(w.phases)
	w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(l.Jobs)) {
		x := l.Jobs[name]
		if x.Kind != kindMove {
			continue
		}
		m := moveView{Name: name, Step: x.Step, Since: since[name].at, Owner: x.Holder, Token: x.Token, Owners: x.HolderCount, Given: x.Approval, Ended: x.Finished, Why: x.Reason}
		m.Plan, _ = migration.Parse(x.Spec, w.mover.Costs) // it was judged when it came in
		var err error
		if m.State, err = migration.StateOf(x); err != nil {
			m.Code, m.Message, m.Advice = "work_unreadable", err.Error(), (&migration.Unreadable{}).Advice()
		}
		if m.Back = migration.Back[m.State.Phase]; x.Operation != nil {
			m.Deed = x.Operation.Name
		}
		if h, own := here[name]; own {
			m.Wait, m.Words, m.Code, m.Message, m.Advice = h.WaitingFor, h.Options, h.Code, h.Message, h.Advice
		} else if !x.Finished {
			// The words hang on what is proven alone; what is waited for only its owner knows.
			m.Words = w.mover.Next(now, x, nil).Options
			m.Wait = "ask " + cmp.Or(x.Holder, "again: it has no owner yet")
		}
		for _, finding := range m.State.Findings.Refusing() {
			if m.Code == "" {
				m.Code, m.Message, m.Advice = finding.Code(), finding.Error(), finding.Advice()
			}
		}
		if len(m.State.Differ) > 0 && m.Code == "" {
			d := &m.State.Differ[0]
			m.Code, m.Message, m.Advice = d.Code(), d.Error(), d.Advice()
		}
		v.Moves = append(v.Moves, m)
	}
	return v
}

// moveCommands order moves, show them and bring words in.
func moveCommands(ask func(*cobra.Command) *cobra.Command, asJSON func() bool, address func() (string, error)) *cobra.Command {
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
			var v planView
			return do(c, "move-plan", text, &v, func(w io.Writer) { planTable(w, &v) })
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
		return enter(c, jobs.Entry{Type: jobs.EntryCreate, Job: called, JobKind: kindMove, Spec: text}, "the move "+called+" is in the log; ashstand move status "+called+" shows it")
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
			var v movesView
			if err := admin.Get(a, "moves", &v); err != nil {
				return err
			}
			if !v.On {
				return jobsDisabledError{}
			}
			if len(args) > 0 {
				if v.Moves = slices.DeleteFunc(v.Moves, func(m moveView) bool { return m.Name != args[0] }); len(v.Moves) == 0 {
					return &jobs.RejectedError{Reason: jobs.RejectUnknownJob, Job: args[0]}
				}
			}
			if asJSON() {
				return printJSON(c.OutOrStdout(), &v)
			}
			moveTable(c.OutOrStdout(), &v)
			return nil
		},
	}))
	for _, w := range []struct{ say, short string }{
		{migration.Go, "let a move pass the checkpoint that it waits at"},
		{migration.Hold, "begin nothing further until resume; a tenant that is paused opens where it was"},
		{migration.Resume, "go on with a move that is held"},
		{migration.Rollback, "take a move back"},
		{migration.Accept, "end the way back of a move that has switched"},
	} {
		var step uint64
		word := &cobra.Command{Use: w.say + " NAME --step N", Short: w.short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			if !c.Flags().Changed("step") {
				return errors.New("--step names the step that the word is given for, as ashstand move status shows it")
			}
			return enter(c, jobs.Entry{Type: jobs.EntryApprove, Job: args[0], Approval: &jobs.Approval{Action: w.say, By: os.Getenv("USER"), Step: step, Persistent: w.say == migration.Rollback}},
				"the word is in the log; ashstand move status "+args[0]+" shows what becomes of it")
		}}
		word.Flags().Uint64Var(&step, "step", 0, "that the word is given for")
		root.AddCommand(ask(word))
	}
	return root
}

func planTable(w io.Writer, v *planView) {
	p := v.Plan
	fmt.Fprintf(w, "tenant %s from group %d to group %d\n", p.Tenant, p.From, p.To)
	fmt.Fprintf(w, "no pause is longer than %.0f ms; here %.0f could be kept at the least; one without its switch after %.0f ms is taken back\n", p.Pause, v.Least, v.Cutoff)
	fmt.Fprintf(w, "writers are waited for %.0f ms, then they %s; %d pauses may be taken back, %.0f ms apart\n", p.Lock, map[string]string{"end": "are ended", "wait": "are waited for again"}[p.Stragglers],
		p.Tries, p.Rest)
	fmt.Fprintf(w, "waits for a word at: %s; the old copy: %s\n", strings.Join(p.Checkpoints, ", "), p.Old)
	for i := range v.Found {
		how := "in the way"
		if v.Found[i].Told {
			how = "to be known"
		}
		fmt.Fprintf(w, "%s: %s; what to do: %s\n", how, v.Found[i].Error(), v.Found[i].Advice())
	}
}

func moveTable(w io.Writer, v *movesView) {
	if len(v.Moves) == 0 {
		fmt.Fprintln(w, "there are no moves")
	}
	for i := range v.Moves {
		m := &v.Moves[i]
		s := m.State
		fmt.Fprintf(w, "%s: tenant %s from group %d to group %d\n", m.Name, m.Plan.Tenant, m.Plan.From, m.Plan.To)
		fmt.Fprintf(w, "  state    %s", s.Phase)
		if s.Reverse {
			fmt.Fprint(w, ", on the way back")
		}
		if s.Held != "" {
			fmt.Fprintf(w, ", held: %s", s.Held)
		}
		fmt.Fprintf(w, "; seen here since %s\n", time.UnixMilli(int64(m.Since)).UTC().Format(time.DateTime))
		fmt.Fprintf(w, "  step     %d", m.Step)
		if m.Deed != "" {
			fmt.Fprintf(w, ", %s under way", m.Deed)
		}
		fmt.Fprintf(w, "; owner %s under token %d, the %d. so far\n", cmp.Or(m.Owner, "-"), m.Token, m.Owners)
		for _, line := range shown(s) {
			fmt.Fprintf(w, "  shown    %s\n", line)
		}
		if m.Ended {
			fmt.Fprintf(w, "  ended    %s\n", cmp.Or(m.Why, string(s.Phase)))
			continue
		}
		if m.Wait != "" {
			fmt.Fprintf(w, "  waits    %s\n", m.Wait)
		}
		if m.Message != "" {
			fmt.Fprintf(w, "  trouble  %s (%s); what to do: %s\n", m.Message, m.Code, m.Advice)
		}
		if m.Given != nil {
			fmt.Fprintf(w, "  given    %s by %s for step %d\n", m.Given.Action, cmp.Or(m.Given.By, "-"), m.Given.Step)
		}
		for _, o := range m.Words {
			fmt.Fprintf(w, "  word     %s: %s\n", o.Action, o.Effect)
		}
		fmt.Fprintf(w, "  back     %s\n", m.Back)
	}
}

// shown says what a state rests on.
func shown(s migration.State) (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if s.Published {
		all := ""
		if s.Copy.All {
			all = ", all tables"
		}
		add("copied up to %q%s; begun anew %d times", s.Copy.After, all, s.Copy.Again)
	}
	if s.Compare.Ranges+s.Compare.Hot > 0 {
		add("%d ranges found equal, %d left for the pause since they changed meanwhile", s.Compare.Ranges, s.Compare.Hot)
	}
	if p := s.Pause; p != nil {
		if p.Closed != nil {
			add("the home is fenced on timeline %d at %v", p.Closed.Line, p.Closed.Position)
		}
		if p.Verified {
			add("%d ranges and %d reads held against each other in the pause: equal", p.Ranges, p.Reads)
		}
	}
	for i := range s.Stragglers {
		add("%s", s.Stragglers[i].Error())
	}
	for i := range s.Differ {
		add("%s", s.Differ[i].Error())
	}
	for _, x := range s.Lost {
		add("lost: %s", x)
	}
	for _, x := range s.Notes {
		add("%s", x)
	}
	if s.Fed {
		add("the old home is fed from the new one")
	}
	if s.Back != "" {
		add("taken back: %s", s.Back)
	}
	return out
}
