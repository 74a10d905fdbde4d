// Package cost measures internal/cost against truth that a generator knows.
package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"ashstand/internal/cost"
)

const (
	hour = 3600e3
	span = 6 * hour // of the evidence, and of the truth's wandering
)

// world is the truth: what work statements bring on hosts, how long they wait there, and how both change. It is not the
// model: runs have heavy tails, hosts of a kind differ, and statements grow with size each in its own way.
type world struct {
	r       *rand.Rand
	kinds   []string
	kind    map[string]float64
	wait    map[string]float64 // ms for each other request at the host
	classes []string
	class   map[string]float64
	noise   map[string]float64
	growth  float64
	crowd   float64
	cold    float64
	stmts   []statement
	hosts   []host
	popular []float64 // cumulative
}

type statement struct {
	print  cost.Fingerprint
	class  string
	effect float64
	slope  float64
	pair   map[string]float64
	path   map[string][]float64 // how its work wandered, a step each twelfth of a span
	never  string               // a kind on which it is never seen; "": none
	home   int                  // the one pooler that sees it; -1: all do
}

type host struct {
	cost.Host
	effect float64
}

const stepsASpan = 12

func newWorld(seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 0xc057))
	n := func(sd float64) float64 { return r.NormFloat64() * sd }
	w := &world{
		r: r, kinds: []string{"spinning", "flash", "arm"}, kind: map[string]float64{}, wait: map[string]float64{}, class: map[string]float64{},
		classes: []string{"point", "report", "scan"}, noise: map[string]float64{}, growth: 0.6 + n(0.1), crowd: 0.25 + 0.2*r.Float64(), cold: 0.4 + 0.3*r.Float64(),
	}
	for _, k := range w.kinds {
		w.kind[k], w.wait[k] = n(0.5), 1+3*r.Float64()
	}
	for i, c := range w.classes {
		w.class[c], w.noise[c] = 0.5+float64(i)*0.8+n(0.2), 0.15+0.2*r.Float64()
	}
	sum := 0.0
	for i := range 48 {
		s := statement{
			print: cost.NewFingerprint(fmt.Sprintf("select c%d from t%d where k = $1", i, seed)), class: w.classes[i%3], effect: n(0.6), slope: n(0.06),
			pair: map[string]float64{}, path: map[string][]float64{},
		}
		if s.home = -1; i%2 == 0 {
			s.never = w.kinds[r.IntN(3)]
		} else if i%6 == 1 {
			s.home = r.IntN(poolers)
		}
		for _, k := range w.kinds {
			s.pair[k] = n(0.15)
			at := 0.0
			for range 6 * stepsASpan {
				s.path[k] = append(s.path[k], at)
				at += n(0.2 / math.Sqrt(stepsASpan))
			}
		}
		w.stmts = append(w.stmts, s)
		sum += 1 / float64(i+3)
		w.popular = append(w.popular, sum)
	}
	for i := range 36 {
		w.hosts = append(w.hosts, host{
			Host:   cost.Host{Name: fmt.Sprint("h", i), Kind: w.kinds[(i+i/3)%3], Group: uint64(i / 3), Primary: i%3 == 0, Capacity: 8},
			effect: n(0.06),
		})
	}
	return w
}

func (w *world) popularStatement() int {
	return sort.SearchFloat64s(w.popular, w.r.Float64()*w.popular[len(w.popular)-1])
}

// logWork is the truth's mean of log work, at a time.
func (w *world) logWork(s *statement, h *host, rows float64, inflight int, cold bool, at float64) float64 {
	i := min(int(at/span*stepsASpan), len(s.path[h.Kind])-1)
	x := w.class[s.class] + s.effect + w.kind[h.Kind] + s.pair[h.Kind] + s.path[h.Kind][i] + h.effect +
		(w.growth+s.slope)*math.Log1p(rows) + w.crowd*math.Log1p(float64(inflight))
	if cold {
		x += w.cold
	}
	return x
}

// run draws what one run takes.
func (w *world) run(s *statement, h *host, rows float64, inflight int, cold bool, at float64) (work, wait float64) {
	noise := w.noise[s.class]
	if w.r.IntN(20) == 0 { // a heavy tail
		noise *= 2
	}
	work = math.Exp(w.logWork(s, h, rows, inflight, cold, at) + w.r.NormFloat64()*noise)
	if inflight > 0 {
		wait = w.wait[h.Kind] * float64(inflight) * w.r.ExpFloat64()
	}
	return work, wait
}

func (w *world) rows() float64 { return math.Round(math.Exp(w.r.Float64() * 6)) }

// poolers are what so many poolers saw in one span.
func (w *world) poolers(n, requests int, broken string) []*cost.Model {
	var out []*cost.Model
	for i := range n {
		out = append(out, cost.NewModel(cost.Options{Source: fmt.Sprint("pooler-", i), Incarnation: 1, Span: span, Drift: 0.2, DisabledGuarantee: broken}))
	}
	for i := range requests {
		at := float64(i) / float64(requests) * span
		s := &w.stmts[w.popularStatement()]
		h := &w.hosts[w.r.IntN(len(w.hosts))]
		if s.never == h.Kind {
			continue
		}
		inflight, cold, rows := w.r.IntN(7), w.r.IntN(12) == 0, w.rows()
		work, wait := w.run(s, h, rows, inflight, cold, at)
		by := w.r.IntN(n)
		if s.home >= 0 {
			by = s.home
		}
		out[by].Observe(cost.Observation{
			Statement: s.print, Class: s.class, Tenant: "t", Host: h.Name, Kind: h.Kind, Group: h.Group, Rows: rows,
			Work: work, Wait: wait, Inflight: inflight, Primary: h.Primary, WarmingUp: cold, At: at,
		})
	}
	return out
}

// fleet is how the hosts stand now.
func (w *world) fleet(at float64) cost.Fleet {
	f := cost.Fleet{WarmUpMillis: 60e3}
	for i := range w.hosts {
		h := &w.hosts[i]
		h.Inflight, h.StartedAt = w.r.IntN(7), 0
		h.Load = float64(h.Inflight) * 0.8
		if w.r.IntN(12) == 0 {
			h.StartedAt = at - 1e3
		}
		if !h.Primary {
			h.LagMillis = 20 * w.r.Float64()
		}
		f.Hosts = append(f.Hosts, h.Host)
	}
	return f
}

// plan draws a plan: so many steps, some of them at all groups, some after others.
func (w *world) plan(name string) cost.Plan {
	p := cost.Plan{Name: name}
	for i := range 1 + w.r.IntN(4) {
		s := w.stmts[w.popularStatement()]
		step := cost.Step{
			Name: fmt.Sprint("s", i), Statement: s.print, Class: s.class, Tenant: "t", Group: uint64(w.r.IntN(12)), Rows: w.rows(),
			AllGroups: w.r.IntN(3) == 0, Freshness: []string{"fresh", "any", "any"}[w.r.IntN(3)],
		}
		for j := range i {
			if w.r.IntN(2) == 0 {
				step.After = append(step.After, fmt.Sprint("s", j))
			}
		}
		p.Steps = append(p.Steps, step)
	}
	return p
}

// play runs a plan in the truth and returns how long it took.
func (w *world) play(p *cost.Plan, f *cost.Fleet, at float64) float64 {
	finish := map[string]float64{}
	total := 0.0
	for i := range p.Steps { // a step waits for earlier ones only
		step := &p.Steps[i]
		begin, slowest := 0.0, 0.0
		for _, a := range step.After {
			begin = max(begin, finish[a])
		}
		n := slices.IndexFunc(w.stmts, func(s statement) bool { return s.print == step.Statement })
		for g := range uint64(12) {
			if !step.AllGroups && g != step.Group {
				continue
			}
			h := &w.hosts[g*3]
			if step.Freshness == "any" { // the less busy of two draws from two replicas
				a, b := &w.hosts[g*3+1], &w.hosts[g*3+2]
				if b.Inflight < a.Inflight {
					a, b = b, a
				}
				if h = a; w.r.IntN(4) == 0 {
					h = b
				}
			}
			work, wait := w.run(&w.stmts[n], h, step.Rows, h.Inflight, h.StartedAt > 0 && at-h.StartedAt < f.WarmUpMillis, at)
			slowest = max(slowest, work+wait)
		}
		finish[step.Name] = begin + slowest
		total = max(total, finish[step.Name])
	}
	return total
}

// usual is the baseline: the mean by class, whatever the statement, size and host.
type usual map[string][2]float64

func (u usual) add(class string, took float64) {
	x := u[class]
	u[class] = [2]float64{x[0] + took, x[1] + 1}
}

func (u usual) plan(p *cost.Plan) float64 {
	finish := map[string]float64{}
	total := 0.0
	for i := range p.Steps {
		begin := 0.0
		for _, a := range p.Steps[i].After {
			begin = max(begin, finish[a])
		}
		x := u[p.Steps[i].Class]
		finish[p.Steps[i].Name] = begin + x[0]/max(1, x[1])
		total = max(total, finish[p.Steps[i].Name])
	}
	return total
}
