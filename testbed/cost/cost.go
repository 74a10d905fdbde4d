package cost

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"ashstand/internal/cost"
	"ashstand/testbed/report"
)

// Breakable are the guarantees that can be switched off, each to see its checker go red.
var Breakable = []string{"wait", "shrink", "age", "false", "merge"}

// Options are those of the measurement.
type Options struct {
	Seed    uint64
	Seeds   int
	Break   string
	Cores   int
	Sockets bool // run a part over loopback sockets, on hosts that really take the time
}

// The bounds that the measurement holds the estimates to.
const (
	leastCoverage = 0.90
	mostCoverage  = 0.99
	leastJudged   = 200  // intervals of a set; with fewer, chance alone puts one in a hundred sets outside
	mostWrong     = 0.05 // of the plans that differ by more than
	differ        = 0.10
)

// tally is what seeds count together.
type tally struct {
	in, of   map[string]float64 // intervals that held the truth, by set
	ours     float64            // sums of absolute errors of log time
	theirs   float64
	errors   float64
	lost     float64 // time lost by what is ranked first, against the best, as shares
	lostBase float64
	choices  float64
	right    float64
	wrong    float64
	cant     float64
	forced   float64 // of all of these, right where it had to say one
	moves    []float64
	moved    float64 // the most that a lie moved an estimate, as a share of what is stated
	stated   []float64
	requests int
}

func (t *tally) cover(set string, f cost.Interval, truth float64) {
	t.of[set]++
	if f.Low <= truth && truth <= f.High {
		t.in[set]++
	}
}

// Run measures.
func Run(ctx context.Context, o Options) (*report.Result, error) {
	if o.Seeds < 1 || o.Cores < 1 {
		return nil, errors.New("seeds and cores take at least 1")
	}
	g := report.New("cost", o.Seed, "coverage", "ranked_wrong", "false_evidence", "merge_differs")
	begun := time.Now()
	t := &tally{in: map[string]float64{}, of: map[string]float64{}}
	each := make([]tally, o.Seeds)
	var wait sync.WaitGroup
	free := make(chan struct{}, o.Cores)
	for i := range o.Seeds {
		wait.Add(1)
		free <- struct{}{}
		go func() {
			defer func() { <-free; wait.Done() }()
			if ctx.Err() == nil {
				each[i] = *one(g, o.Seed+uint64(i), o.Break)
			}
		}()
	}
	wait.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for i := range each { // in the order of seeds: sums are the same each time
		t.plus(&each[i])
	}
	g.Do(func(r *report.Result) {
		r.Requests.Taken, r.Requests.Served = t.requests, t.requests
		r.Notes = append(r.Notes, "observations and plans run on a simulated clock; what is named sockets took its time on loopback hosts")
	})
	for _, set := range []string{"known", "unseen", "alone", "old", "plans"} {
		t.judge(g, set, "coverage."+set)
	}
	told := t.right + t.wrong
	if all := told + t.cant; t.forced < (1-mostWrong)*all {
		g.Break("ranked_wrong", "%.0f of %.0f plans that differ by over 10 %% stand in the wrong order", all-t.forced, all)
	}
	g.Do(func(r *report.Result) {
		all, in := 0.0, 0.0
		for _, set := range []string{"known", "unseen", "alone"} {
			all, in = all+t.of[set], in+t.in[set]
		}
		put := func(name string, value, base float64) { r.Ratio[name], r.Baseline[name] = value/base, base }
		put("coverage", in/all, 1)
		put("error", t.ours/t.errors, t.theirs/t.errors)
		put("regret", t.lost/t.choices, t.lostBase/t.choices)
		put("ranked_right", t.right/told, 1)
		put("ranked_right.forced", t.forced/(told+t.cant), 1)
		put("cant_tell", t.cant/(told+t.cant), 1)
		put("false_evidence_of_stated", t.moved, 1)
		slices.Sort(t.stated)
		slices.Sort(t.moves)
		if n := len(t.stated); n > 0 {
			r.Notes = append(r.Notes, fmt.Sprintf("one source's false evidence moves log work by at most (stated): median %.2f, 95 of 100 %.2f, all %.2f; seen: %.2f, %.2f, %.2f",
				t.stated[n/2], t.stated[n*95/100], t.stated[n-1], t.moves[n/2], t.moves[n*95/100], t.moves[n-1]))
		}
		r.Notes = append(r.Notes, fmt.Sprintf("%.0f pairs of plans that differ by over 10 %%: %.0f ranked right, %.0f wrong, %.0f can't tell", told+t.cant, t.right, t.wrong, t.cant))
	})
	if o.Sockets {
		if err := sockets(ctx, g, o); err != nil {
			return nil, err
		}
	}
	if o.Break == "" {
		expense(g)
	}
	return g.Result(time.Since(begun).Seconds()), nil
}

// judge compares the coverage of a set with its bounds.
func (t *tally) judge(g *report.Collector, set, name string) {
	if t.of[set] == 0 {
		return
	}
	c := t.in[set] / t.of[set]
	g.Do(func(r *report.Result) {
		r.Ratio[name], r.Baseline[name] = c, 1
		r.Notes = append(r.Notes, fmt.Sprintf("%s: %.0f of %.0f stated 95 %% intervals held the truth", name, t.in[set], t.of[set]))
	})
	if t.of[set] < leastJudged {
		return
	}
	if c < leastCoverage || c > mostCoverage {
		g.Break("coverage", "%s is %.3f, allowed is %.2f to %.2f", name, c, leastCoverage, mostCoverage)
	}
}

func (t *tally) plus(o *tally) {
	for set := range o.of {
		t.in[set] += o.in[set]
		t.of[set] += o.of[set]
	}
	t.ours, t.theirs, t.errors = t.ours+o.ours, t.theirs+o.theirs, t.errors+o.errors
	t.lost, t.lostBase, t.choices = t.lost+o.lost, t.lostBase+o.lostBase, t.choices+o.choices
	t.right, t.wrong, t.cant, t.forced = t.right+o.right, t.wrong+o.wrong, t.cant+o.cant, t.forced+o.forced
	t.moved, t.stated, t.moves, t.requests = max(t.moved, o.moved), append(t.stated, o.stated...), append(t.moves, o.moves...), t.requests+o.requests
}

// poolers and requests of one seed: some statements are then seen hundreds of times, some never or once.
const (
	poolers  = 7
	requests = 6000
	singles  = 150 // of one statement on one host
	choices  = 25  // of three plans each
	plays    = 300 // of each plan, for its true mean
)

// one seed.
func one(g *report.Collector, seed uint64, broken string) *tally {
	t := &tally{in: map[string]float64{}, of: map[string]float64{}, requests: requests}
	w := newWorld(seed)
	models := w.poolers(poolers, requests, broken)
	var all []cost.Summary
	for _, m := range models {
		all = append(all, m.Evidence())
	}
	merge := func(order []cost.Summary) cost.Snapshot {
		m := cost.NewModel(cost.Options{Source: "reader", Span: span, Drift: 0.2, DisabledGuarantee: broken})
		for _, s := range order {
			if err := m.Merge(s); err != nil {
				g.Break("merge_differs", "seed %d: %v", seed, err)
			}
		}
		return m.Publish(1, span)
	}
	version := merge(all)
	again := append(slices.Clone(all), all...)
	w.r.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
	if merge(again).Digest != version.Digest {
		g.Break("merge_differs", "seed %d: in another order and twice, the evidence makes another version", seed)
	}
	e := cost.NewEstimator(version, span)
	t.single(g, w, e, seed)
	t.plans(g, w, e, seed)
	t.lies(g, w, e, all, merge, seed)
	return t
}

// single asks for one statement on one host, then runs it once.
func (t *tally) single(g *report.Collector, w *world, e *cost.Estimator, seed uint64) {
	for i := range singles {
		set, at := "known", float64(span)
		if i%5 == 4 {
			set, at = "old", span*(1+float64(1+w.r.IntN(4))) // up to a day later
		}
		f := w.fleet(at)
		s := &w.stmts[w.r.IntN(len(w.stmts))]
		n := w.r.IntN(len(w.hosts))
		h := &w.hosts[n]
		if s.never == h.Kind && set == "known" {
			set = "unseen"
		} else if s.home >= 0 && set == "known" {
			set = "alone" // one source's word
		}
		rows := w.rows()
		one := f
		one.Hosts = []cost.Host{f.Hosts[n]}
		one.Hosts[0].Primary = true
		a, err := e.Estimate(at, cost.Plan{Steps: []cost.Step{{Name: "s", Statement: s.print, Class: s.class, Group: h.Group, Rows: rows, Freshness: "fresh"}}}, one)
		if err != nil {
			g.Break("coverage", "seed %d: %v", seed, err)
			continue
		}
		work, wait := w.run(s, h, rows, h.Inflight, h.StartedAt > 0, at)
		t.cover(set, a.Plans[0].Time, work+wait)
	}
}

// plans asks for three plans that would bring the same, and compares with how long each takes.
func (t *tally) plans(g *report.Collector, w *world, e *cost.Estimator, seed uint64) {
	base := usual{}
	for range 2000 { // the baseline has seen the same traffic
		s, h := &w.stmts[w.popularStatement()], &w.hosts[w.r.IntN(len(w.hosts))]
		work, wait := w.run(s, h, w.rows(), w.r.IntN(7), false, span)
		base.add(s.class, work+wait)
	}
	for range choices {
		f := w.fleet(span)
		p := w.plan("a")
		p.Alternatives = []cost.Plan{w.plan("b"), w.plan("c")}
		a, err := e.Estimate(span, p, f)
		if err != nil {
			g.Break("coverage", "seed %d: %v", seed, err)
			continue
		}
		var truth, guess [3]float64
		for i, q := range append([]cost.Plan{p}, p.Alternatives...) {
			t.cover("plans", a.Plans[i].Time, w.play(&q, &f, span))
			for range plays {
				truth[i] += w.play(&q, &f, span) / plays
			}
			guess[i] = base.plan(&q)
			t.ours += math.Abs(math.Log(a.Plans[i].Time.Mid / truth[i]))
			t.theirs += math.Abs(math.Log(guess[i] / truth[i]))
			t.errors++
		}
		best := slices.Min(truth[:])
		t.lost += truth[a.Order[0]]/best - 1
		t.lostBase += truth[slices.Index(guess[:], slices.Min(guess[:]))]/best - 1
		t.choices++
		for i := range 3 {
			for j := range i {
				quick, slow := i, j
				if truth[i] > truth[j] {
					quick, slow = j, i
				}
				if truth[slow] < truth[quick]*(1+differ) {
					continue
				}
				if a.FasterProbability[quick][slow] > 0.5 {
					t.forced++
				}
				switch sure := a.FasterProbability[quick][slow]; {
				case sure >= cost.ConfidenceThreshold:
					t.right++
				case sure <= 1-cost.ConfidenceThreshold:
					t.wrong++
				default:
					t.cant++
				}
			}
		}
	}
}

// lies replaces what one source says by something else and looks how far estimates move.
func (t *tally) lies(g *report.Collector, w *world, honest *cost.Estimator, all []cost.Summary, merge func([]cost.Summary) cost.Snapshot, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0x11e))
	liar := cost.NewModel(cost.Options{Source: all[seed%poolers].Source, Incarnation: 2, Span: span})
	bias := 2 + 3*r.Float64()
	if r.IntN(2) == 0 {
		bias = -bias
	}
	for i := range w.stmts {
		for _, k := range w.kinds {
			for range 300 {
				liar.Observe(cost.Observation{
					Statement: w.stmts[i].print, Class: w.stmts[i].class, Kind: k, Rows: w.rows(), Inflight: r.IntN(7), At: span,
					Work: math.Exp(2 + bias + r.NormFloat64()),
				})
			}
		}
	}
	lied := slices.Clone(all)
	lied[seed%poolers] = liar.Evidence()
	e := cost.NewEstimator(merge(lied), span)
	for i := range w.stmts {
		s := &w.stmts[i]
		for _, k := range w.kinds {
			x, stated, err := honest.MeanWork(span, s.class, k, s.print, 50, 0, 3)
			y, after, err2 := e.MeanWork(span, s.class, k, s.print, 50, 0, 3)
			if err != nil || err2 != nil {
				g.Break("false_evidence", "seed %d: %v", seed, errors.Join(err, err2))
				continue
			}
			if stated < 0 && after < 0 { // it claims no bound: then there must be too few sources, which there are not
				g.Break("false_evidence", "seed %d: no bound is stated for statement %d on %s with %d sources", seed, i, k, poolers)
				continue
			}
			t.stated = append(t.stated, max(stated, after))
			log := func(f cost.Interval, e *cost.Estimator) float64 {
				n := e.Noise(s.class)
				return math.Log(f.Mid) - n*n/2
			}
			moved := math.Abs(log(x, honest) - log(y, e))
			t.moves = append(t.moves, moved)
			t.moved = max(t.moved, moved/max(stated, after))
			if moved > max(stated, after) {
				g.Break("false_evidence", "seed %d: statement %d on %s moved by %.2f, stated are %.2f", seed, i, k, moved, max(stated, after))
			}
		}
	}
}

// expense measures what the model costs in itself.
func expense(g *report.Collector) {
	r := rand.New(rand.NewPCG(1, 1))
	kinds := []string{"spinning", "flash", "arm"}
	prints := make([]cost.Fingerprint, 1000)
	for i := range prints {
		prints[i] = cost.NewFingerprint(fmt.Sprintf("select c%d from t", i))
	}
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	m := cost.NewModel(cost.Options{Source: "one"})
	seen := func(i int) cost.Observation {
		return cost.Observation{Statement: prints[i%1000], Class: "report", Kind: kinds[(i/1000)%3], Rows: float64(i % 50), Inflight: i % 7, Work: math.Exp(r.NormFloat64()), Wait: 1, At: float64(i)}
	}
	for i := range 3000 {
		m.Observe(seen(i))
	}
	memory := (heap() - before) / (1 << 20)
	const n = 300000
	os := make([]cost.Observation, 3000)
	for i := range os {
		os[i] = seen(i)
	}
	begun := time.Now()
	for i := range n {
		o := &os[i%len(os)]
		o.At = float64(3000 + i)
		m.Observe(*o)
	}
	observe := float64(time.Since(begun).Nanoseconds()) / n
	begun = time.Now()
	text := "select a, b, c from t where k = 12345 and v in (1,2,3,4) order by z limit 10"
	for range 20000 {
		cost.NewFingerprint(text)
	}
	printed := float64(time.Since(begun).Nanoseconds()) / 20000
	begun = time.Now()
	e := cost.NewEstimator(m.Publish(1, n), n)
	load := time.Since(begun)
	var f cost.Fleet
	for i := range 120 {
		f.Hosts = append(f.Hosts, cost.Host{Name: fmt.Sprint("h", i), Kind: kinds[(i+i/3)%3], Group: uint64(i / 3), Primary: i%3 == 0, Capacity: 8, Inflight: i % 7})
	}
	p := cost.Plan{Name: "ten"}
	for i := range 10 {
		s := cost.Step{Name: fmt.Sprint("s", i), Statement: prints[i], Class: "report", Rows: 10, AllGroups: true, Freshness: "any"}
		if i > 0 {
			s.After = []string{fmt.Sprint("s", i-1)}
		}
		p.Steps = append(p.Steps, s)
	}
	begun = time.Now()
	const estimates = 20
	for range estimates {
		if _, err := e.Estimate(n, p, f); err != nil {
			g.Break("coverage", "ten steps over 120 hosts: %v", err)
		}
	}
	estimate := float64(time.Since(begun).Microseconds()) / estimates
	g.Do(func(r *report.Result) {
		r.Memory.ByPurpose["1000 fingerprints on 3 kinds"] = memory
		r.Baseline["observe_ns"], r.Baseline["fingerprint_ns"], r.Baseline["estimate_us"], r.Baseline["load_ms"] = observe, printed, estimate, float64(load.Milliseconds())
		r.Notes = append(r.Notes, fmt.Sprintf("to observe %.0f ns a request, a fingerprint of %d bytes %.0f ns, an estimate of ten steps over 120 hosts %.0f us, a fit of 1,000 statements on 3 kinds %v, they take %.2f MB",
			observe, len(text), printed, estimate, load.Round(time.Millisecond), memory))
	})
}
