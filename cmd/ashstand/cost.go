package main

import (
	"cmp"
	"context"
	stdjson "encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ashstand/internal/admin"
	"ashstand/internal/clock"
	"ashstand/internal/cost"
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/net/discovery"
)

// servedSpan is over how many milliseconds requests are counted for their rate: a minute, in which load changes little.
const servedSpan = 60e3

// estimates is what the pooler observes of what statements cost. It is an edge.Observer.
type estimates struct {
	node  *node
	clock clock.Clock
	span  float64
	drift float64

	mu     sync.Mutex
	model  *cost.Model
	inside map[string]int   // requests of this pooler, by host; without those that have none
	served map[string]*rate // by class; the settings bound them
}

// rate is what was served lately: counts fade over servedSpan.
type rate struct{ n, work, at float64 }

// estimate starts to observe; nil where the operator's file has no cost block: then nothing of it is allocated.
func estimate(cfg *config, n *node, now clock.Clock) *estimates {
	o := cfg.operator.Cost
	if o == nil {
		return nil
	}
	return &estimates{
		node: n, clock: now, span: clock.Millis(o.Span), drift: o.Drift, inside: map[string]int{}, served: map[string]*rate{},
		model: cost.NewModel(cost.Options{Bytes: o.Memory, Source: cmp.Or(cfg.Name, "pooler"), Incarnation: uint64(now.Now()), Span: clock.Millis(o.Span), Drift: o.Drift}),
	}
}

// AttemptStarted is edge.Observer's.
func (e *estimates) AttemptStarted(host string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inside[host]++
	return e.inside[host] - 1
}

// AttemptFinished is edge.Observer's.
func (e *estimates) AttemptFinished(s edge.Attempt) {
	entry := (*e.node.list.Load())[s.Host]
	kind := e.kind(&entry, s.Host)
	ok := s.Outcome.Code == dispatch.OK && s.ExecuteMillis > 0
	var print cost.Fingerprint
	if ok {
		print = cost.NewFingerprint(s.Statement.Text)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inside[s.Host]--; e.inside[s.Host] <= 0 {
		delete(e.inside, s.Host)
	}
	if !ok {
		return
	}
	e.model.Observe(cost.Observation{
		Statement: print, Class: s.Statement.Class, Host: s.Host, Kind: kind, Group: entry.Group, Rows: 1, Bytes: float64(s.ResponseBytes),
		Work: s.ExecuteMillis, Wait: s.AcquireMillis, Inflight: s.ConcurrentAttempts, Primary: s.Outcome.Role == dispatch.Primary, WarmingUp: e.cold(&entry, s.FinishedAtMillis), At: s.FinishedAtMillis,
	})
	c := e.served[s.Statement.Class]
	if c == nil {
		c = &rate{at: s.FinishedAtMillis}
		e.served[strings.Clone(s.Statement.Class)] = c
	}
	f := math.Exp(-max(0, s.FinishedAtMillis-c.at) / servedSpan)
	c.n, c.work, c.at = c.n*f+1, c.work*f+s.ExecuteMillis, max(c.at, s.FinishedAtMillis)
}

// kind is a host's hardware: as the operator's file says, else its type in discovery's list.
func (e *estimates) kind(entry *discovery.Endpoint, host string) string {
	if k := e.node.cfg.Load().operator.Cost; k != nil && k.Kinds[host] != "" {
		return k.Kinds[host]
	}
	return cmp.Or(entry.Type, "any")
}

func (e *estimates) cold(entry *discovery.Endpoint, now float64) bool {
	return entry.SinceMS > 0 && now-entry.SinceMS < clock.Millis(e.node.cfg.Load().site.SlowStart.Duration)
}

// fleet is how the hosts stand, as this pooler sees it.
func (e *estimates) fleet(now float64) cost.Fleet {
	cfg, kept := e.node.cfg.Load(), e.node.facade.ExportState()
	f := cost.Fleet{WarmUpMillis: clock.Millis(cfg.site.SlowStart.Duration)}
	list := *e.node.list.Load()
	e.mu.Lock()
	inside := maps.Clone(e.inside)
	for _, k := range cfg.site.Settings.Classes {
		c := cost.Class{Name: k.Name, ObjectiveMillis: clock.Millis(k.LatencyObjective), Weight: k.PriorityWeight}
		if s := e.served[k.Name]; s != nil && s.n > 0 {
			c.RequestsPerSecond, c.WorkMillis = s.n*math.Exp(-max(0, now-s.at)/servedSpan)/servedSpan*1e3, s.work/s.n
		}
		f.Classes = append(f.Classes, c)
	}
	e.mu.Unlock()
	for _, m := range kept.Hosts {
		entry, ok := list[m.Host]
		if !ok || entry.Status != discovery.Active {
			continue
		}
		h := cost.Host{
			Name: m.Host, Kind: e.kind(&entry, m.Host), Group: m.Group, Primary: m.WasPrimary, Capacity: m.Limit, Inflight: inside[m.Host],
			Load: float64(inside[m.Host]), StartedAt: entry.SinceMS, LagMillis: max(0, clock.Millis(m.Lag)),
		}
		if c := cfg.operator.Cost; c != nil && c.Capacity > 0 {
			h.Capacity = float64(c.Capacity)
		}
		f.Hosts = append(f.Hosts, h)
	}
	return f
}

// evidence is what a pooler has observed and how it sees the hosts: all that an estimate needs.
type evidence struct {
	At      float64      `json:"at"`
	Span    float64      `json:"span"`
	Drift   float64      `json:"drift"`
	Summary cost.Summary `json:"summary"`
	Fleet   cost.Fleet   `json:"fleet"`
}

func (e *estimates) evidence() evidence {
	now := e.clock.Now()
	out := evidence{At: now, Span: e.span, Drift: e.drift, Fleet: e.fleet(now)}
	e.mu.Lock()
	out.Summary = e.model.Evidence()
	e.mu.Unlock()
	return out
}

// answer estimates a plan that came as JSON. The fit is made beside the requests: only the copy of the sums holds them up.
func (e *estimates) answer(_ context.Context, body []byte) (any, error) {
	if e == nil {
		return nil, fmt.Errorf("this pooler's file has no cost block, so it observes nothing")
	}
	p, err := cost.ParsePlan("plan", body)
	if err != nil {
		return nil, err
	}
	now := e.clock.Now()
	f := e.fleet(now)
	e.mu.Lock()
	v := e.model.Publish(0, now)
	e.mu.Unlock()
	return cost.NewEstimator(v, now).Estimate(now, p, f) // the admin socket says what can be done about an error
}

// worded puts what can be done behind an error.
func worded(err error) error {
	if a, ok := err.(interface{ Advice() string }); ok {
		return fmt.Errorf("%w (%s)", err, a.Advice())
	}
	return err
}

// fromFiles estimates from saved evidence, each file another pooler's, as the last of them saw the hosts.
func fromFiles(p cost.Plan, paths []string, now float64) (cost.PlanComparison, error) {
	var m *cost.Model
	var f cost.Fleet
	last := 0.0
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return cost.PlanComparison{}, err
		}
		var e evidence
		if err := stdjson.Unmarshal(b, &e); err != nil {
			return cost.PlanComparison{}, fmt.Errorf("%s: %w", path, err)
		}
		if m == nil {
			m = cost.NewModel(cost.Options{Bytes: 64 << 20, Span: e.Span, Drift: e.Drift})
		}
		if err := m.Merge(e.Summary); err != nil {
			return cost.PlanComparison{}, fmt.Errorf("%s: %w", path, worded(err))
		}
		if e.At >= last {
			last, f = e.At, e.Fleet
		}
	}
	// The version is of when the evidence was saved: what has passed since widens the intervals.
	a, err := cost.NewEstimator(m.Publish(0, last), now).Estimate(now, p, f)
	return a, worded(err)
}

// costCommands ask what plans cost.
func costCommands(ask func(*cobra.Command) *cobra.Command, asJSON func() bool, address func() (string, error)) *cobra.Command {
	var files []string
	c := ask(&cobra.Command{
		Use: "cost PLAN", Short: "estimate what a query plan and its alternatives cost, with 95 % intervals", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			p, err := cost.ParsePlan(args[0], text)
			if err != nil {
				return err
			}
			var a cost.PlanComparison
			if len(files) > 0 {
				a, err = fromFiles(p, files, clock.System().Now())
			} else {
				var at string
				if at, err = address(); err == nil {
					err = admin.Invoke(at, "cost", text, &a)
				}
			}
			if err != nil {
				return err
			}
			if asJSON() {
				return printJSON(c.OutOrStdout(), a)
			}
			return costTable(c.OutOrStdout(), &a)
		},
	})
	c.Flags().StringArrayVar(&files, "evidence", nil, "estimate from this saved evidence instead of a pooler that runs; once for each pooler's file")
	c.AddCommand(ask(&cobra.Command{
		Use: "evidence", Short: "print what the pooler has observed, for cost --evidence", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			at, err := address()
			if err != nil {
				return err
			}
			var raw []byte
			if err := admin.Get(at, "evidence", &raw); err != nil {
				return err
			}
			var refused struct{ Error string }
			if err := stdjson.Unmarshal(raw, &refused); err != nil || refused.Error != "" {
				return fmt.Errorf("%s: %s", at, cmp.Or(refused.Error, "it answers something else"))
			}
			_, err = c.OutOrStdout().Write(raw)
			return err
		},
	}),
		&cobra.Command{
			Use: "fingerprint SQL", Short: "print a statement's fingerprint and the text that it stands for", Args: cobra.ExactArgs(1),
			Run: func(c *cobra.Command, args []string) {
				fmt.Fprintf(c.OutOrStdout(), "%v  %s\n", cost.NewFingerprint(args[0]), cost.Normalize(args[0]))
			},
		})
	return c
}

func costTable(out io.Writer, a *cost.PlanComparison) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	order := slices.Clone(a.Order)
	for i := range a.Plans {
		if a.Plans[i].Unavailable != nil {
			order = append(order, i)
		}
	}
	for place, i := range order {
		p := &a.Plans[i]
		if p.Unavailable != nil {
			fmt.Fprintf(w, "plan %q: %v\n", p.Name, p.Unavailable)
			continue
		}
		fmt.Fprintf(w, "plan %q", p.Name)
		if place > 0 {
			if sure := a.FasterProbability[order[place-1]][i]; sure >= cost.ConfidenceThreshold {
				fmt.Fprintf(w, ": slower than the one above (%.0f %% sure)", 100*sure)
			} else {
				fmt.Fprintf(w, ": can't tell whether it is slower than the one above (%.0f %%)", 100*sure)
			}
		}
		fmt.Fprintln(w, "\nFIGURE\tESTIMATE\t95 % FROM\tTO\tHINGES ON")
		row := func(name, format string, f cost.Interval) {
			fmt.Fprintf(w, "%s\t"+format+"\t"+format+"\t"+format+"\t%s\n", name, f.Mid, f.Low, f.High, f.DominantFactor)
		}
		row("one run, ms", "%.1f", p.Time)
		row("p50, ms", "%.1f", p.P50)
		row("p95, ms", "%.1f", p.P95)
		row("p99, ms", "%.1f", p.P99)
		for _, k := range slices.Sorted(maps.Keys(p.Work)) {
			row("work on "+k+", ms", "%.1f", p.Work[k])
		}
		row("share of the primary", "%.3f", p.Primary)
		row("worth displaced", "%.2f", p.DisplacedWeight)
		if p.WithinObjective != nil {
			row("chance to meet its aim", "%.2f", *p.WithinObjective)
		}
		row("oldest data, ms", "%.1f", p.StalenessMillis)
		if p.MaxShift >= 0 {
			fmt.Fprintf(w, "one source's false evidence moves work by a factor of %.2f at most\n", math.Exp(p.MaxShift))
		} else {
			fmt.Fprintln(w, "fewer than three sources know of it: a false one would not be noticed")
		}
	}
	return w.Flush()
}
