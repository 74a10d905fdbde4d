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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"ashstand/internal/admin"
	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus/runner"
	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/jobs/executor"
	"ashstand/internal/cluster/jobs/noop"
	"ashstand/internal/cluster/migration"
	"ashstand/internal/net/discovery"
	"ashstand/internal/net/pg"
)

// jobService are this pooler's part in what one owner does for all.
type jobService struct {
	log        *agreedLog
	executor   *executor.Executor
	client     *fencing.Client
	handlers   map[string]jobs.Handler
	clock      clock.Clock
	cancel     context.CancelFunc
	background sync.WaitGroup
	migrator   *migration.Migrator

	mu         sync.Mutex
	reachedAt  map[uint64]float64 // when a group's primary answered last
	phaseTimes phaseTimes
}

// agreedLog is the log as doing wants it.
type agreedLog struct{ *runner.Runner }

// Jobs is doing.Log's.
func (l agreedLog) Jobs() (map[string]jobs.Job, float64) {
	g := l.Lease()
	return g.Jobs, g.ExpiresAt
}

// Propose is doing.Log's.
func (l agreedLog) Propose(ctx context.Context, e jobs.Entry) error {
	_, err := l.Runner.ProposeJobEntry(ctx, e, nil)
	return err
}

// Times of the watch on groups: how often a primary is asked, and for how long its answer counts.
const (
	probeInterval   = time.Second
	reachableMillis = 3000.0
	commitTimeout   = 8 * time.Second // that an operator's word may take to come into the log
)

// startJobs begins; nothing of it is started without its block.
func (f *fellows) startJobs(n *node, cfg *config, now clock.Clock) {
	if f == nil || f.agreed == nil || cfg.operator.Cluster.Agreement.Jobs == nil {
		return
	}
	o := cfg.operator.Cluster.Agreement.Jobs
	w := &jobService{log: &agreedLog{f.agreed}, clock: now, reachedAt: map[uint64]float64{}, phaseTimes: phaseTimes{}}
	w.client = &fencing.Client{User: o.User, DisabledGuarantee: f.broken, Hosts: func(group uint64) (out []fencing.Host) {
		for _, e := range *n.list.Load() {
			if e.Group == group && e.Status == discovery.Active {
				out = append(out, fencing.Host{Name: e.Name, Address: e.Address, Group: e.Group, Primary: e.Role == pg.Platform.Primary})
			}
		}
		slices.SortFunc(out, func(a, b fencing.Host) int { return strings.Compare(a.Name, b.Name) })
		return out
	}}
	w.migrator = f.newMigrator(w, cfg, f.config, now)
	w.handlers = map[string]jobs.Handler{noop.KindName: &noop.Handler{Client: w.client, Now: now.Now, DisabledGuarantee: f.broken}}
	if f.trace != nil { // of its faults on real processes too little has been played for service: see docs/moves.md
		w.handlers[kindMigration] = w.migrator
	}
	opts := executor.Options{
		Name: f.name, Incarnation: f.instance, Zone: cfg.operator.Cluster.Zone, Handlers: w.handlers, Log: w.log, Clock: now,
		PollMillis: clock.Millis(o.PollInterval), OperationMillis: clock.Millis(o.OperationTimeout), Reachable: w.reachable, Healthy: f.agreed.IsStorageHealthy,
	}
	if f.trace != nil {
		opts.IgnoreLeaseEnd = true
		opts.Trace = func(event string, of jobs.Job) {
			deed := ""
			if of.Operation != nil {
				deed = of.Operation.Name
			}
			f.trace.line(map[string]any{"event": "work", "work": of.Name, "token": of.Token, "text": event, "deed": deed, "step": of.Step})
			f.trace.trap(event, deed)
		}
	}
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(context.Background())
	w.background.Go(func() { every(ctx, probeInterval, func() { w.probeGroups(ctx) }) })
	w.executor = executor.Start(opts)
	f.jobs = w
}

// probeGroups asks the primaries of the groups that open works need whether they answer.
func (w *jobService) probeGroups(ctx context.Context) {
	of, _ := w.log.Jobs()
	w.mu.Lock()
	w.phaseTimes.update(w.stateMachine(), w.clock.Now())
	w.mu.Unlock()
	groups := map[uint64]string{}
	for _, x := range of {
		if !x.Finished {
			var spec struct{ Database, Tenant string }
			_ = json.Unmarshal(x.Spec, &spec)
			for _, g := range x.RequiredGroups {
				groups[g] = cmp.Or(spec.Database, spec.Tenant)
			}
		}
	}
	var all sync.WaitGroup
	for g, database := range groups {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeInterval)
			defer cancel()
			conn, _, err := w.client.ConnectPrimary(ctx, g, database)
			if err != nil {
				return
			}
			fencing.Close(conn)
			w.mu.Lock()
			w.reachedAt[g] = w.clock.Now()
			w.mu.Unlock()
		})
	}
	all.Wait()
	w.mu.Lock()
	maps.DeleteFunc(w.reachedAt, func(_ uint64, at float64) bool { return w.clock.Now()-at > reachableMillis })
	w.mu.Unlock()
}

func (w *jobService) reachable() (reach, near []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for g, at := range w.reachedAt {
		if w.clock.Now()-at <= reachableMillis {
			reach = append(reach, g)
		}
	}
	slices.Sort(reach)
	return reach, nil
}

// drain gives every work back, so that another goes on without a lease's wait.
func (w *jobService) drain(within time.Duration) {
	if w == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	w.executor.Drain(ctx)
}

func (w *jobService) stop() {
	if w == nil {
		return
	}
	w.cancel()
	w.executor.Stop()
	w.background.Wait()
}

// jobView is what operators see of one work.
type jobView struct {
	jobs.Job
	Here *executor.Status `json:"here,omitempty"` // of the owner alone
}

type jobsView struct {
	On   bool      `json:"on"`
	Jobs []jobView `json:"works"`
}

// view is what operators see of all works.
func (f *fellows) jobViews() any {
	if f == nil || f.jobs == nil {
		return jobsView{}
	}
	v := jobsView{On: true, Jobs: []jobView{}}
	of, _ := f.jobs.log.Jobs()
	here := f.jobs.executor.Statuses()
	for _, name := range slices.Sorted(maps.Keys(of)) {
		x := jobView{Job: of[name]}
		if h, ok := here[name]; ok {
			x.Here = &h
		}
		v.Jobs = append(v.Jobs, x)
	}
	return v
}

// jobsDisabledError is asked of a pooler whose file says nothing of works.
type jobsDisabledError struct{}

func (jobsDisabledError) Error() string {
	return "this pooler's file has no works block in cluster.agreement"
}

// Code is the reason in a word.
func (jobsDisabledError) Code() string { return "works_off" }

// Advice says what an operator can do.
func (jobsDisabledError) Advice() string {
	return "ask a pooler that has one, or add the block and restart"
}

// migrationsOffError is asked of a pooler in service.
type migrationsOffError struct{}

func (migrationsOffError) Error() string { return "tenants are not moved in service yet" }

// Code is the reason in a word.
func (migrationsOffError) Code() string { return "moves_off" }

// Advice says what an operator can do.
func (migrationsOffError) Advice() string {
	return "try them in the laboratory (testbed cluster move); docs/moves.md says what has not been proven with faults"
}

// enterJob is what operators bring into the log about works.
func (n *node) enterJob(ctx context.Context, body []byte) (any, error) {
	if n.others == nil || n.others.jobs == nil {
		return nil, jobsDisabledError{}
	}
	var e jobs.Entry
	if err := json.Unmarshal(body, &e); err != nil {
		return nil, &jobs.RejectedError{Reason: jobs.RejectMalformed, Detail: err.Error()}
	}
	if e.Type != jobs.EntryCreate && e.Type != jobs.EntryApprove {
		return nil, &jobs.RejectedError{Reason: jobs.RejectMalformed, Job: e.Job, Detail: "operators create works and give words; the rest is their owner's"}
	}
	if e.Type == jobs.EntryCreate && e.JobKind == kindMigration && n.others.jobs.handlers[kindMigration] == nil {
		return nil, migrationsOffError{}
	}
	if e.Type == jobs.EntryCreate && n.others.jobs.handlers[e.JobKind] == nil {
		return nil, &jobs.RejectedError{Reason: jobs.RejectMalformed, Job: e.Job, Detail: "there is no kind " + strconv.Quote(e.JobKind)}
	}
	if e.Type == jobs.EntryCreate && e.JobKind == noop.KindName {
		var s noop.Spec
		if err := json.Unmarshal(e.Spec, &s); err != nil {
			return nil, &jobs.RejectedError{Reason: jobs.RejectMalformed, Job: e.Job, Detail: err.Error()}
		}
		if err := s.Validate(); err != nil {
			return nil, err
		}
		e.RequiredGroups = s.Groups
	}
	if e.Type == jobs.EntryCreate && e.JobKind == kindMigration {
		if err := n.others.jobs.validateMigration(&e); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := n.others.agreed.ProposeJobEntry(ctx, e, nil)
	return map[string]string{"work": e.Job}, err
}

// jobCommands show works and bring words in.
func jobCommands(ask func(*cobra.Command) *cobra.Command, view func(string, any, func(io.Writer)) func(*cobra.Command, []string) error,
	address func() (string, error),
) *cobra.Command {
	var v jobsView
	root := &cobra.Command{Use: "works", Short: "what one pooler at a time does for all"}
	bring := func(e jobs.Entry) error {
		a, err := address()
		if err != nil {
			return err
		}
		body, err := json.Marshal(e)
		if err != nil {
			return err
		}
		var out struct{ Work string }
		return admin.Invoke(a, "work", body, &out)
	}
	var s noop.Spec
	var groups []uint
	drills := &cobra.Command{
		Use: "drill NAME", Short: "have one owner at a time write rows behind the fence of each group, to see that works get done", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, g := range groups {
				s.Groups = append(s.Groups, uint64(g))
			}
			if err := s.Validate(); err != nil {
				return err
			}
			spec, err := json.Marshal(s)
			if err != nil {
				return err
			}
			if err := bring(jobs.Entry{Type: jobs.EntryCreate, Job: args[0], JobKind: noop.KindName, Spec: spec}); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "the drill %s is in the log; ashstand works list shows it\n", args[0])
			return nil
		},
	}
	drills.Flags().StringVar(&s.Database, "database", "", "whose fence rows are taken; the schema ashstand is made there")
	drills.Flags().UintSliceVar(&groups, "groups", nil, "of db hosts")
	drills.Flags().IntVar(&s.Operations, "deeds", 20, "rows to write")
	drills.Flags().Float64Var(&s.IntervalMillis, "every-ms", 500, "from one to the next")
	var step uint64
	say := &cobra.Command{Use: "say NAME WORD", Short: "give a word for the step that works list shows", Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		if !c.Flags().Changed("step") {
			return errors.New("--step names the step that the word is given for, as ashstand works list shows it")
		}
		return bring(jobs.Entry{Type: jobs.EntryApprove, Job: args[0], Approval: &jobs.Approval{Action: args[1], By: os.Getenv("USER"), Step: step, Persistent: args[1] == "stop" || args[1] == "rollback"}})
	}}
	say.Flags().Uint64Var(&step, "step", 0, "that the word is given for")
	root.AddCommand(ask(drills), ask(say), ask(&cobra.Command{
		Use: "list", Short: "list works with their owners, tokens and what they wait for", Args: cobra.NoArgs,
		RunE: view("works", &v, func(w io.Writer) { jobTable(w, &v) }),
	}))
	return root
}

func jobTable(w io.Writer, v *jobsView) {
	if !v.On {
		fmt.Fprintln(w, jobsDisabledError{}.Error())
		return
	}
	fmt.Fprintln(w, "NAME\tKIND\tOWNER\tTOKEN\tSTEP\tDEED\tOWNERS\tWAITS FOR")
	for _, x := range v.Jobs {
		deed, wait, by := "", x.Reason, x.Holder
		if x.Operation != nil {
			deed = x.Operation.Name
		}
		if h := x.Here; h != nil {
			if wait = h.WaitingFor; h.Message != "" {
				wait = h.Message
			}
			var words []string
			for _, s := range h.Options {
				words = append(words, s.Action+": "+s.Effect)
			}
			if len(words) > 0 {
				wait += " [" + strings.Join(words, "; ") + "]"
			}
		}
		if by == "" {
			by = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%s\n", x.Name, x.Kind, by, x.Token, x.Step, deed, x.HolderCount, wait)
	}
}

// schedulerConfig are the times by which owners are watched.
func schedulerConfig(cfg *config) jobs.SchedulerConfig {
	a := cfg.operator.Cluster.Agreement
	if a.Jobs == nil {
		return jobs.SchedulerConfig{}
	}
	w := a.Jobs
	return jobs.SchedulerConfig{
		StallMillis: clock.Millis(w.StallTimeout), MinTenureMillis: clock.Millis(w.MinTenure), BackoffMillis: clock.Millis(w.Backoff), SettledMillis: 10 * clock.Millis(a.Lease),
		RetryMillis: clock.Millis(a.Election),
	}
}
