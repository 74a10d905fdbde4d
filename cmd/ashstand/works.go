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

// works are this pooler's part in what one owner does for all.
type works struct {
	log    *agreedLog
	doer   *executor.Doer
	client *fencing.Client
	kinds  map[string]jobs.Kind
	clock  clock.Clock
	stop   context.CancelFunc
	done   sync.WaitGroup
	mover  *migration.Mover

	mu     sync.Mutex
	reach  map[uint64]float64 // when a group's primary answered last
	phases phases
}

// agreedLog is the log as doing wants it.
type agreedLog struct{ *runner.Runner }

// Works is doing.Log's.
func (l agreedLog) Works() (map[string]jobs.Work, float64) {
	g := l.Grip()
	return g.Works, g.Until
}

// Enter is doing.Log's.
func (l agreedLog) Enter(ctx context.Context, e jobs.Entry) error {
	_, err := l.Runner.Enter(ctx, e, nil)
	return err
}

// Times of the watch on groups: how often a primary is asked, and for how long its answer counts.
const (
	reachEvery = time.Second
	reachFor   = 3000.0
	wordTime   = 8 * time.Second // that an operator's word may take to come into the log
)

// work begins; nothing of it is started without its block.
func (f *fellows) work(n *node, cfg *config, now clock.Clock) {
	if f == nil || f.agreed == nil || cfg.operator.Cluster.Agree.Works == nil {
		return
	}
	o := cfg.operator.Cluster.Agree.Works
	w := &works{log: &agreedLog{f.agreed}, clock: now, reach: map[uint64]float64{}, phases: phases{}}
	w.client = &fencing.Client{User: o.User, Unsafe: f.broken, Hosts: func(group uint64) (out []fencing.Host) {
		for _, e := range *n.list.Load() {
			if e.Group == group && e.Status == discovery.Active {
				out = append(out, fencing.Host{Name: e.Name, Address: e.Address, Group: e.Group, Primary: e.Part == pg.Platform.Primary})
			}
		}
		slices.SortFunc(out, func(a, b fencing.Host) int { return strings.Compare(a.Name, b.Name) })
		return out
	}}
	w.mover = f.moves(w, cfg, f.config, now)
	w.kinds = map[string]jobs.Kind{noop.Name: &noop.Kind{Client: w.client, Now: now.Now, Unsafe: f.broken}}
	if f.trace != nil { // of its faults on real processes too little has been played for service: see docs/moves.md
		w.kinds[kindMove] = w.mover
	}
	opts := executor.Options{Name: f.name, Instance: f.instance, Zone: cfg.operator.Cluster.Zone, Kinds: w.kinds, Log: w.log, Clock: now,
		Pace: clock.Millis(o.Pace), Deed: clock.Millis(o.Deed), Reach: w.reached, Sound: f.agreed.Sound}
	if f.trace != nil {
		opts.Deaf = true
		opts.Trace = func(event string, of jobs.Work) {
			deed := ""
			if of.Deed != nil {
				deed = of.Deed.Name
			}
			f.trace.line(map[string]any{"event": "work", "work": of.Name, "token": of.Token, "text": event, "deed": deed, "step": of.Step})
			f.trace.trap(event, deed)
		}
	}
	var ctx context.Context
	ctx, w.stop = context.WithCancel(context.Background())
	w.done.Go(func() { every(ctx, reachEvery, func() { w.look(ctx) }) })
	w.doer = executor.Start(opts)
	f.works = w
}

// look asks the primaries of the groups that open works need whether they answer.
func (w *works) look(ctx context.Context) {
	of, _ := w.log.Works()
	w.mu.Lock()
	w.phases.see(w.ledger(), w.clock.Now())
	w.mu.Unlock()
	groups := map[uint64]string{}
	for _, x := range of {
		if !x.Ended {
			var spec struct{ Database, Tenant string }
			_ = json.Unmarshal(x.Spec, &spec)
			for _, g := range x.Needs {
				groups[g] = cmp.Or(spec.Database, spec.Tenant)
			}
		}
	}
	var all sync.WaitGroup
	for g, database := range groups {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reachEvery)
			defer cancel()
			conn, _, err := w.client.Primary(ctx, g, database)
			if err != nil {
				return
			}
			fencing.Close(conn)
			w.mu.Lock()
			w.reach[g] = w.clock.Now()
			w.mu.Unlock()
		})
	}
	all.Wait()
	w.mu.Lock()
	maps.DeleteFunc(w.reach, func(_ uint64, at float64) bool { return w.clock.Now()-at > reachFor })
	w.mu.Unlock()
}

func (w *works) reached() (reach, near []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for g, at := range w.reach {
		if w.clock.Now()-at <= reachFor {
			reach = append(reach, g)
		}
	}
	slices.Sort(reach)
	return reach, nil
}

// leave gives every work back, so that another goes on without a lease's wait.
func (w *works) leave(within time.Duration) {
	if w == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	w.doer.Leave(ctx)
}

func (w *works) end() {
	if w == nil {
		return
	}
	w.stop()
	w.doer.Stop()
	w.done.Wait()
}

// workView is what operators see of one work.
type workView struct {
	jobs.Work
	Here *executor.View `json:"here,omitempty"` // of the owner alone
}

type worksView struct {
	On    bool       `json:"on"`
	Works []workView `json:"works"`
}

// view is what operators see of all works.
func (f *fellows) workViews() any {
	if f == nil || f.works == nil {
		return worksView{}
	}
	v := worksView{On: true, Works: []workView{}}
	of, _ := f.works.log.Works()
	here := f.works.doer.Views()
	for _, name := range slices.Sorted(maps.Keys(of)) {
		x := workView{Work: of[name]}
		if h, ok := here[name]; ok {
			x.Here = &h
		}
		v.Works = append(v.Works, x)
	}
	return v
}

// noWorks is asked of a pooler whose file says nothing of works.
type noWorks struct{}

func (noWorks) Error() string { return "this pooler's file has no works block in cluster.agreement" }

// Code is the reason in a word.
func (noWorks) Code() string { return "works_off" }

// Advice says what an operator can do.
func (noWorks) Advice() string { return "ask a pooler that has one, or add the block and restart" }

// movesOff is asked of a pooler in service.
type movesOff struct{}

func (movesOff) Error() string { return "tenants are not moved in service yet" }

// Code is the reason in a word.
func (movesOff) Code() string { return "moves_off" }

// Advice says what an operator can do.
func (movesOff) Advice() string {
	return "try them in the laboratory (testbed cluster move); docs/moves.md says what has not been proven with faults"
}

// enter is what operators bring into the log about works.
func (n *node) enter(ctx context.Context, body []byte) (any, error) {
	if n.others == nil || n.others.works == nil {
		return nil, noWorks{}
	}
	var e jobs.Entry
	if err := json.Unmarshal(body, &e); err != nil {
		return nil, &jobs.Refusal{Reason: jobs.Malformed, Detail: err.Error()}
	}
	if e.Op != jobs.Create && e.Op != jobs.Say {
		return nil, &jobs.Refusal{Reason: jobs.Malformed, Work: e.Work, Detail: "operators create works and give words; the rest is their owner's"}
	}
	if e.Op == jobs.Create && e.Kind == kindMove && n.others.works.kinds[kindMove] == nil {
		return nil, movesOff{}
	}
	if e.Op == jobs.Create && n.others.works.kinds[e.Kind] == nil {
		return nil, &jobs.Refusal{Reason: jobs.Malformed, Work: e.Work, Detail: "there is no kind " + strconv.Quote(e.Kind)}
	}
	if e.Op == jobs.Create && e.Kind == noop.Name {
		var s noop.Spec
		if err := json.Unmarshal(e.Spec, &s); err != nil {
			return nil, &jobs.Refusal{Reason: jobs.Malformed, Work: e.Work, Detail: err.Error()}
		}
		if err := s.Check(); err != nil {
			return nil, err
		}
		e.Needs = s.Groups
	}
	if e.Op == jobs.Create && e.Kind == kindMove {
		if err := n.others.works.ordered(&e); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wordTime)
	defer cancel()
	_, err := n.others.agreed.Enter(ctx, e, nil)
	return map[string]string{"work": e.Work}, err
}

// workCommands show works and bring words in.
func workCommands(ask func(*cobra.Command) *cobra.Command, view func(string, any, func(io.Writer)) func(*cobra.Command, []string) error,
	address func() (string, error)) *cobra.Command {
	var v worksView
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
		return admin.Do(a, "work", body, &out)
	}
	var s noop.Spec
	var groups []uint
	drills := &cobra.Command{Use: "drill NAME", Short: "have one owner at a time write rows behind the fence of each group, to see that works get done", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, g := range groups {
				s.Groups = append(s.Groups, uint64(g))
			}
			if err := s.Check(); err != nil {
				return err
			}
			spec, err := json.Marshal(s)
			if err != nil {
				return err
			}
			if err := bring(jobs.Entry{Op: jobs.Create, Work: args[0], Kind: noop.Name, Spec: spec}); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "the drill %s is in the log; ashstand works list shows it\n", args[0])
			return nil
		}}
	drills.Flags().StringVar(&s.Database, "database", "", "whose fence rows are taken; the schema ashstand is made there")
	drills.Flags().UintSliceVar(&groups, "groups", nil, "of db hosts")
	drills.Flags().IntVar(&s.Deeds, "deeds", 20, "rows to write")
	drills.Flags().Float64Var(&s.Every, "every-ms", 500, "from one to the next")
	var step uint64
	say := &cobra.Command{Use: "say NAME WORD", Short: "give a word for the step that works list shows", Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		if !c.Flags().Changed("step") {
			return errors.New("--step names the step that the word is given for, as ashstand works list shows it")
		}
		return bring(jobs.Entry{Op: jobs.Say, Work: args[0], Word: &jobs.Word{Say: args[1], By: os.Getenv("USER"), Step: step, Lasting: args[1] == "stop" || args[1] == "rollback"}})
	}}
	say.Flags().Uint64Var(&step, "step", 0, "that the word is given for")
	root.AddCommand(ask(drills), ask(say), ask(&cobra.Command{Use: "list", Short: "list works with their owners, tokens and what they wait for", Args: cobra.NoArgs,
		RunE: view("works", &v, func(w io.Writer) { workTable(w, &v) })}))
	return root
}

func workTable(w io.Writer, v *worksView) {
	if !v.On {
		fmt.Fprintln(w, noWorks{}.Error())
		return
	}
	fmt.Fprintln(w, "NAME\tKIND\tOWNER\tTOKEN\tSTEP\tDEED\tOWNERS\tWAITS FOR")
	for _, x := range v.Works {
		deed, wait, by := "", x.Why, x.Owner
		if x.Deed != nil {
			deed = x.Deed.Name
		}
		if h := x.Here; h != nil {
			if wait = h.Wait; h.Err != "" {
				wait = h.Err
			}
			var words []string
			for _, s := range h.Says {
				words = append(words, s.Say+": "+s.Does)
			}
			if len(words) > 0 {
				wait += " [" + strings.Join(words, "; ") + "]"
			}
		}
		if by == "" {
			by = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%s\n", x.Name, x.Kind, by, x.Token, x.Step, deed, x.Owners, wait)
	}
}

// desk are the times by which owners are watched.
func desk(cfg *config) jobs.DeskConfig {
	a := cfg.operator.Cluster.Agree
	if a.Works == nil {
		return jobs.DeskConfig{}
	}
	w := a.Works
	return jobs.DeskConfig{Stall: clock.Millis(w.Stall), Tenure: clock.Millis(w.Tenure), Back: clock.Millis(w.Back), Young: 10 * clock.Millis(a.Lease),
		Again: clock.Millis(a.Election)}
}
