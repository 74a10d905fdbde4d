package cost

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Step is one request of a plan, at the hosts of one group or of all.
type Step struct {
	Name      string      `json:"name"`
	Statement Fingerprint `json:"statement"`
	Class     string      `json:"class"`
	Tenant    string      `json:"tenant,omitempty"`
	Group     uint64      `json:"group"`
	All       bool        `json:"all,omitempty"` // every group: it ends with the slowest
	Rows      float64     `json:"rows"`          // of each part
	Bytes     float64     `json:"bytes"`
	Fresh     string      `json:"fresh"` // write, fresh, session, bounded or any
	Bound     float64     `json:"bound"` // bounded: how old its data may be, in milliseconds
	After     []string    `json:"after"` // names of the steps that end before it begins
}

// Plan is a query plan, with others that bring the same.
type Plan struct {
	Name         string  `json:"name"`
	Aim          float64 `json:"aim"` // milliseconds; 0: none
	Steps        []Step  `json:"steps"`
	Alternatives []Plan  `json:"alternatives,omitempty"`
}

// Host is a db host as it stands.
type Host struct {
	Name     string  `json:"name"`
	Kind     string  `json:"kind"` // of hardware
	Group    uint64  `json:"group"`
	Primary  bool    `json:"primary"`
	Capacity float64 `json:"capacity"` // requests that it works on at once
	Inflight int     `json:"inflight"`
	Load     float64 `json:"load"`    // of capacity that is taken
	Started  float64 `json:"started"` // 0: long ago
	Lag      float64 `json:"lag"`     // milliseconds behind its primary
}

// Class is a class of requests that the fleet serves.
type Class struct {
	Name  string  `json:"name"`
	Aim   float64 `json:"aim"`   // milliseconds
	Worth float64 `json:"worth"` // of one
	Rate  float64 `json:"rate"`  // requests a second, over all hosts
	Work  float64 `json:"work"`  // milliseconds each
}

// Fleet is where plans would run.
type Fleet struct {
	Hosts   []Host  `json:"hosts"`
	Classes []Class `json:"classes"`
	Ramp    float64 `json:"ramp"` // milliseconds after its start for which a host is cold
}

// Figure is an estimate with its 95 % interval, and the fact on which its width hinges.
type Figure struct {
	Mid   float64 `json:"mid"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	Hinge string  `json:"hinge"`
}

// PlanAnswer is what one plan costs. Times and work are in milliseconds.
type PlanAnswer struct {
	Name      string            `json:"name"`
	Cant      *CantTell         `json:"cant_tell,omitempty"` // then nothing else counts
	Time      Figure            `json:"time"`                // of one run: an interval for what will be seen
	P50       Figure            `json:"p50"`                 // intervals for the quantiles themselves
	P95       Figure            `json:"p95"`
	P99       Figure            `json:"p99"`
	Work      map[string]Figure `json:"work"`            // by kind of host
	Primary   Figure            `json:"primary"`         // share of what the primaries that it uses can do meanwhile
	Displaced Figure            `json:"displaced"`       // worth of others' requests that its work pushes out
	Meets     *Figure           `json:"meets,omitempty"` // chance to be within the plan's aim
	Stale     Figure            `json:"stale"`           // how old the oldest data that it reads are when it ends
	Moved     float64           `json:"moved"`           // the most that one source's false evidence can have moved log work; -1: no bound, under three sources
	Age       float64           `json:"age"`             // of the evidence
	medians   []float64
}

// Answer compares a plan and its alternatives.
type Answer struct {
	Token  uint64       `json:"token"` // of the evidence
	Plans  []PlanAnswer `json:"plans"`
	Order  []int        `json:"order"`  // the quickest first; those that can't be told are left out
	Faster [][]float64  `json:"faster"` // [a][b]: how sure it is that a is quicker than b in the median
}

// Sure is from where on the answer says which of two plans is quicker; below it can't tell.
const Sure = 0.75 // three to one

// The draws of an estimate: of what is not known, of runs for each, and of which replica serves a part. With 200 the ends
// of a 95 % interval are the mean of the fifth draws from either end.
const (
	unknowns = 200
	runs     = 100
	drawings = 4
)

// The words of Step.Fresh.
var freshWords = []string{"write", "fresh", "session", "bounded", "any"}

// Estimator estimates from one version. It never changes, so many may use it at once.
type Estimator struct {
	v      Version // without its cells
	full   *fit
	blocks []*fit
	waits  []map[string]line // of all, then of each block
	err    error
	robust bool
}

// Load makes an estimator of a version. One whose digest does not match can't tell anything.
func Load(v Version, now float64) *Estimator {
	e := &Estimator{v: v}
	e.v.Cells, e.v.Waits = nil, nil
	if e.err = v.Check(); e.err != nil {
		return e
	}
	if now < v.At {
		e.v.At = now
	}
	e.waits = append(e.waits, lines(v.Waits, -1))
	if e.robust = v.Blocks >= 3; e.robust {
		for b := range v.Blocks {
			var cells []Cell
			for _, c := range v.Cells {
				if c.Block == b {
					cells = append(cells, c)
				}
			}
			e.blocks = append(e.blocks, newFit(cells, v.broken, nil))
			e.waits = append(e.waits, lines(v.Waits, b))
		}
	}
	e.full = newFit(v.Cells, v.broken, e.blocks)
	return e
}

// Version names the evidence that the estimator holds.
func (e *Estimator) Version() (token uint64, digest [32]byte) { return e.v.Token, e.v.Digest }

// Estimate answers from what the model holds now. The fit is made anew once an eighth more was seen.
func (m *Model) Estimate(now float64, p Plan, f Fleet) (Answer, error) {
	return m.Estimator(now).Estimate(now, p, f)
}

// Estimator returns one of what the model holds now, at most an eighth of the evidence behind.
func (m *Model) Estimator(now float64) *Estimator {
	if m.fitted == nil || m.seen-m.fittedAt > max(16, m.fittedAt/8) || now-m.fitted.v.At > m.o.Span/8 {
		m.fitted, m.fittedAt = Load(m.Publish(m.sequence, now), now), m.seen
	}
	return m.fitted
}

// line is how waiting grows with what is at a host: mean and, of that, the square of the relative spread.
type line struct {
	from, by, spread, n float64
}

func (l line) mean(inflight float64) float64 { return max(0, l.from+l.by*inflight) }

// lines fits waiting by kind, of one block or (below 0) all; "" is all kinds together.
func lines(waits []Wait, block int) map[string]line {
	sums := map[string][6]float64{}
	for _, w := range waits {
		if block >= 0 && w.Block != block {
			continue
		}
		for _, k := range []string{w.Kind, ""} {
			s := sums[k]
			for i := range s {
				s[i] += w.Sums[i]
			}
			sums[k] = s
		}
	}
	out := map[string]line{}
	for k, s := range sums {
		n, x, xx, y, xy, yy := s[0], s[1], s[2], s[3], s[4], s[5]
		if n <= 0 {
			continue
		}
		l := line{from: y / n, n: n}
		if d := xx - x*x/n; d > 1e-9 {
			l.by = max(0, (xy-x*y/n)/(d+1)) // one more observation that says nothing of growth
			l.from = (y - l.by*x) / n
		}
		square := l.from*l.from*n + 2*l.from*l.by*x + l.by*l.by*xx
		if rest := yy - 2*l.from*y - 2*l.by*xy + square; square > 1e-9 {
			l.spread = max(0, rest) / square
		}
		out[k] = l
	}
	return out
}

// wait returns what is known of waiting before a kind of host; from three blocks on their middle, so one source moves it
// no further than to the next one's.
func (e *Estimator) wait(kind string, inflight float64) (mean, spread, n float64) {
	of := func(ls map[string]line) (line, bool) {
		l, ok := ls[kind]
		if !ok {
			l, ok = ls[""]
		}
		return l, ok
	}
	l, ok := of(e.waits[0])
	if !ok {
		return 0, 0, 0
	}
	mean, spread, n = l.mean(inflight), l.spread, l.n
	if e.robust {
		var means, spreads []float64
		for _, ls := range e.waits[1:] {
			if l, ok := of(ls); ok {
				means, spreads = append(means, l.mean(inflight)), append(spreads, l.spread)
			}
		}
		if len(means) > 2 {
			slices.Sort(means)
			slices.Sort(spreads)
			mean, spread = means[len(means)/2], spreads[len(spreads)/2]
		}
	}
	return mean, min(spread, 100), n
}

// share is some hosts that are alike to a step: of one kind, about as busy, all cold or none.
type share struct {
	kind     string
	kindAt   int
	primary  bool
	cold     bool
	bucket   int
	inflight float64 // mean
	free     float64 // mean capacity that is not taken
	capacity float64
	lag      float64 // the most
	hosts    int
	counts   [drawings]int // parts of the step there, in each drawing of replicas
}

// stage is a step with where it runs.
type stage struct {
	step   *Step
	class  int
	x      float64 // its size
	shares []share
	wait   []int
}

// check says whether a plan can be: names, words, numbers, and no cycle. It returns the steps in an order to run in.
func (p *Plan) check() ([]int, error) {
	at := map[string]int{}
	bad := func(step, key, value, allowed string) error { return &BadPlan{p.Name, step, key, value, allowed} }
	if len(p.Steps) == 0 || len(p.Steps) > 1000 {
		return nil, bad("", "steps", fmt.Sprint(len(p.Steps), " steps"), "1 to 1000 steps")
	}
	for i, s := range p.Steps {
		if _, twice := at[s.Name]; twice || s.Name == "" {
			return nil, bad(s.Name, "name", s.Name, "a name that no other step has")
		}
		at[s.Name] = i
		if !slices.Contains(freshWords, s.Fresh) {
			return nil, bad(s.Name, "fresh", s.Fresh, strings.Join(freshWords, ", "))
		}
		for _, n := range []struct {
			key string
			x   float64
		}{{"rows", s.Rows}, {"bytes", s.Bytes}, {"bound", s.Bound}} {
			if !(n.x >= 0 && n.x < 1e15) {
				return nil, bad(s.Name, n.key, fmt.Sprint(n.x), "a number from 0 to 1e15")
			}
		}
	}
	if !(p.Aim >= 0 && p.Aim < 1e15) {
		return nil, bad("", "aim", fmt.Sprint(p.Aim), "milliseconds from 0 to 1e15")
	}
	waits, next := make([]int, len(p.Steps)), make([][]int, len(p.Steps))
	for i, s := range p.Steps {
		for _, a := range s.After {
			j, ok := at[a]
			if !ok {
				return nil, bad(s.Name, "after", a, "the name of another step")
			}
			waits[i]++
			next[j] = append(next[j], i)
		}
	}
	var order []int
	for i, n := range waits {
		if n == 0 {
			order = append(order, i)
		}
	}
	for k := 0; k < len(order); k++ {
		for _, j := range next[order[k]] {
			if waits[j]--; waits[j] == 0 {
				order = append(order, j)
			}
		}
	}
	if len(order) < len(p.Steps) {
		c := &Cycle{Plan: p.Name}
		for i, s := range p.Steps {
			if waits[i] > 0 {
				c.Steps = append(c.Steps, s.Name)
			}
		}
		return nil, c
	}
	return order, nil
}

// Check says whether a plan and its alternatives can be.
func (p *Plan) Check() error {
	if _, err := p.check(); err != nil {
		return err
	}
	for i := range p.Alternatives {
		if err := p.Alternatives[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// stages places the steps on hosts. It fails where a step has no host, or nothing is known of its class or a kind.
func (e *Estimator) stages(now float64, p *Plan, f *Fleet, src *rand.Rand) ([]stage, error) {
	groups := map[uint64][]*Host{}
	var ids []uint64
	for i := range f.Hosts {
		h := &f.Hosts[i]
		if groups[h.Group] == nil {
			ids = append(ids, h.Group)
		}
		groups[h.Group] = append(groups[h.Group], h)
	}
	slices.Sort(ids)
	at := map[string]int{}
	var out []stage
	for i := range p.Steps {
		s := &p.Steps[i]
		at[s.Name] = i
		st := stage{step: s, x: sizeOf(s.Rows, s.Bytes)}
		class, ok := e.full.classes[s.Class]
		if !ok {
			err := &UnknownStatement{s.Statement, s.Class}
			return nil, &CantTell{err.Error(), err}
		}
		st.class = class
		of := []uint64{s.Group}
		if s.All {
			of = ids
		}
		if len(of) == 0 {
			return nil, &CantTell{Reason: "the fleet has no hosts"}
		}
		for _, g := range of {
			hosts := able(s, groups[g])
			if len(hosts) == 0 {
				return nil, &CantTell{Reason: fmt.Sprintf("step %q: group %d has no host that may serve it", s.Name, g)}
			}
			for draw := range drawings {
				h := pick(hosts, src)
				if _, ok := e.full.kinds[h.Kind]; !ok {
					return nil, &CantTell{Reason: fmt.Sprintf("step %q: no evidence of kind %q, that of host %s", s.Name, h.Kind, h.Name)}
				}
				st.put(h, now, f.Ramp, draw)
			}
		}
		out = append(out, st)
	}
	for i := range out {
		for _, a := range out[i].step.After {
			out[i].wait = append(out[i].wait, at[a])
		}
	}
	return out, nil
}

// able returns the hosts that may serve a step, the least busy first.
func able(s *Step, of []*Host) []*Host {
	var primaries, replicas []*Host
	for _, h := range of {
		switch {
		case h.Primary:
			primaries = append(primaries, h)
		case s.Fresh == "bounded" && s.Bound > 0 && h.Lag > s.Bound:
		default:
			replicas = append(replicas, h)
		}
	}
	if s.Fresh == "write" || s.Fresh == "fresh" || len(replicas) == 0 {
		return primaries
	}
	slices.SortFunc(replicas, func(a, b *Host) int { return cmp.Or(cmp.Compare(a.Inflight, b.Inflight), cmp.Compare(a.Name, b.Name)) })
	return replicas
}

// pick draws two hosts and takes the less busy, as the pooler does.
func pick(hosts []*Host, src *rand.Rand) *Host {
	return hosts[min(src.IntN(len(hosts)), src.IntN(len(hosts)))]
}

func (s *stage) put(h *Host, now, ramp float64, draw int) {
	isCold := h.Started > 0 && now-h.Started < ramp
	bucket := int(math.Log2(float64(h.Inflight) + 1))
	i := slices.IndexFunc(s.shares, func(o share) bool {
		return o.kind == h.Kind && o.primary == h.Primary && o.cold == isCold && o.bucket == bucket
	})
	if i < 0 {
		i = len(s.shares)
		s.shares = append(s.shares, share{kind: h.Kind, primary: h.Primary, cold: isCold, bucket: bucket})
	}
	o := &s.shares[i]
	n := float64(o.hosts)
	o.inflight = (o.inflight*n + float64(h.Inflight)) / (n + 1)
	o.capacity = (o.capacity*n + h.Capacity) / (n + 1)
	o.free = (o.free*n + max(0, h.Capacity-h.Load)) / (n + 1)
	o.lag = max(o.lag, h.Lag)
	o.hosts++
	o.counts[draw]++
}

type pairKey struct {
	class, kind int
	statement   Fingerprint
}

// drawn is what is not known, drawn from what the evidence leaves open, the same for all plans of an answer.
type drawn struct {
	e       *Estimator
	age     float64
	src     *rand.Rand
	common  [unknowns][]float64
	noise   [][unknowns]float64 // variance by class
	own     map[stmt]*[unknowns][2]float64
	parts   map[stmt]*[unknowns][]float64 // of its pairs
	pairs   map[pairKey]*[unknowns]float64
	effects map[pairKey]*effect // of the whole fit
	byBlock map[pairKey][]effect
}

func (e *Estimator) draw(now float64, seed uint64) *drawn {
	d := &drawn{
		e: e, age: max(0, now-e.v.At), src: rand.New(rand.NewPCG(seed, binary.LittleEndian.Uint64(e.v.Digest[:8]))),
		own: map[stmt]*[unknowns][2]float64{}, parts: map[stmt]*[unknowns][]float64{}, pairs: map[pairKey]*[unknowns]float64{},
		effects: map[pairKey]*effect{}, byBlock: map[pairKey][]effect{},
	}
	f := e.full
	var root mat.TriDense // of the precision: its inverse brings the covariance
	f.chol.UTo(&root)
	z, x := mat.NewVecDense(f.dim, nil), mat.NewVecDense(f.dim, nil)
	lots := d.lots(f.dim)
	for p := range unknowns {
		for i := range f.dim {
			z.SetVec(i, lots[i][p])
		}
		_ = x.SolveVec(&root, z) // an error warns of a poor condition alone
		d.common[p] = make([]float64, f.dim)
		for i := range f.dim {
			d.common[p][i] = f.mean[i] + x.AtVec(i)
		}
	}
	d.noise = make([][unknowns]float64, len(f.noise))
	for c := range f.noise {
		chi := distuv.ChiSquared{K: f.freedom[c], Src: d.src}
		for p := range unknowns {
			d.noise[c][p] = f.noise[c] * f.freedom[c] / max(chi.Rand(), 1e-3*f.freedom[c])
		}
	}
	return d
}

// levels cut the normal distribution into as many parts of the same weight as there are draws.
var levels = func() (l [unknowns]float64) {
	for p := range l {
		l[p] = distuv.UnitNormal.Quantile((float64(p) + 0.5) / unknowns)
	}
	return l
}()

// lots returns draws from n normal distributions. Each has one in every part (a Latin hypercube), so what one of them does
// to an interval is exact.
func (d *drawn) lots(n int) [][unknowns]float64 {
	out := make([][unknowns]float64, n)
	for i := range out {
		out[i] = levels
		d.src.Shuffle(unknowns, func(a, b int) { out[i][a], out[i][b] = out[i][b], out[i][a] })
	}
	return out
}

// statement draws a statement's own effects, given what is common.
func (d *drawn) statement(s stmt) (*[unknowns][2]float64, *[unknowns][]float64) {
	if o := d.own[s]; o != nil {
		return o, d.parts[s]
	}
	f, o, parts := d.e.full, new([unknowns][2]float64), new([unknowns][]float64)
	d.own[s], d.parts[s] = o, parts
	it := f.items[s]
	if it == nil || it.only {
		lots := d.lots(2)
		for p := range unknowns {
			o[p] = [2]float64{lots[0][p] * math.Sqrt(f.statement), lots[1][p] * math.Sqrt(f.slope)}
		}
		return o, parts
	}
	l, cols := &it.local, f.columnsOf(it)
	n := 2 + len(it.parts)
	var u mat.TriDense
	l.chol.UTo(&u)
	z, x := mat.NewVecDense(n, nil), mat.NewVecDense(n, nil)
	lots := d.lots(n)
	for p := range unknowns {
		for i := range n {
			z.SetVec(i, lots[i][p])
		}
		_ = x.SolveVec(&u, z)
		row := make([]float64, n)
		for i := range n {
			row[i] = l.own.AtVec(i) + x.AtVec(i)
			for j, c := range cols {
				row[i] -= l.lean.At(i, j) * d.common[p][c]
			}
		}
		o[p] = [2]float64{row[0], row[1]}
		parts[p] = row[2:]
	}
	return o, parts
}

// pair draws a statement's extra on a kind, with what the evidence's age leaves open.
func (d *drawn) pair(k pairKey) *[unknowns]float64 {
	if o := d.pairs[k]; o != nil {
		return o
	}
	f, o := d.e.full, new([unknowns]float64)
	d.pairs[k] = o
	_, parts := d.statement(stmt{k.class, k.statement})
	it := f.items[stmt{k.class, k.statement}]
	at := -1
	if it != nil && !it.only {
		at = slices.IndexFunc(it.parts, func(p part) bool { return p.kind == k.kind })
	}
	open := d.e.Widening(d.age)
	if at < 0 {
		open += f.pair
	}
	for p, z := range d.lots(1)[0] {
		o[p] = z * math.Sqrt(open)
		if at >= 0 {
			o[p] += parts[p][at]
		}
	}
	return o
}

// Widening is the variance that evidence of an age, in milliseconds, adds to that of log work: the work of a statement
// wanders, so what is known of it is off by Drift (one standard deviation) after one Span, growing with the root of time.
func (e *Estimator) Widening(age float64) float64 {
	if e.v.broken == "age" {
		return 0
	}
	return e.v.Drift * e.v.Drift * max(0, age) / e.v.Span
}

func (d *drawn) effect(k pairKey) *effect {
	if x := d.effects[k]; x != nil {
		return x
	}
	x := d.e.full.effectOf(k)
	d.effects[k] = &x
	return &x
}

func (f *fit) effectOf(k pairKey) effect {
	it := f.items[stmt{k.class, k.statement}]
	if it == nil || it.only {
		it = &item{class: k.class}
	}
	return f.effects(it, k.kind)
}

func (e *effect) at(x [4]float64) (mean, variance float64) {
	for i := range 4 {
		mean += x[i] * e.mean[i]
		for j := range 4 {
			variance += x[i] * x[j] * e.cover[i][j]
		}
	}
	return mean, variance
}

// leastRoom is how far the estimate from all evidence may be from the middle of the blocks' in any case, in log work:
// what a block's own noise moves its estimate by where it knows a statement well.
const leastRoom = 0.05

// hold says by how much the estimate from all evidence moves to be held near the middle of what the blocks say, what that
// leaves open (one standard deviation: the interval then reaches back to what all evidence said, where a block alone may
// err so far), and how far any one source can have moved what comes out; -1: no bound. docs/cost.md derives it.
func (d *drawn) hold(k pairKey, class, kind string, x [4]float64) (shift, open, moved float64) {
	e := d.e
	if !e.robust {
		return 0, 0, -1
	}
	effects, ok := d.byBlock[k]
	if !ok {
		for _, f := range e.blocks {
			if f == nil {
				continue
			}
			if c, kk, ok := f.known(class, kind); ok {
				effects = append(effects, f.effectOf(pairKey{c, kk, k.statement}))
			}
		}
		d.byBlock[k] = effects
	}
	if len(effects) < len(e.blocks) {
		return 0, 0, -1
	}
	means, spreads := make([]float64, len(effects)), make([]float64, len(effects))
	i := 0
	for _, f := range e.blocks {
		y := x
		y[size] -= f.centre
		var v float64
		means[i], v = effects[i].at(y)
		spreads[i] = math.Sqrt(max(0, v))
		i++
	}
	slices.Sort(means)
	slices.Sort(spreads)
	mid := len(means) / 2
	// The middle of n blocks is off by 1.25 / sqrt(n) of one's spread; twice that is room for 95 %.
	wide := 2 * 1.2533 / math.Sqrt(float64(len(means)))
	room := func(sd float64) float64 { return max(leastRoom, wide*sd) }
	moved = max(means[mid+1]-means[mid], means[mid]-means[mid-1]) + room(spreads[mid]) + room(spreads[mid+1])
	y := x
	y[size] -= e.full.centre
	all, _ := d.effect(k).at(y)
	r := room(spreads[mid])
	if e.v.broken == "false" {
		return 0, 0, moved
	}
	shift = min(max(all, means[mid]-r), means[mid]+r) - all
	return shift, min(math.Abs(shift), 2*spreads[mid]) / 1.96, moved
}

// Estimate answers for a plan and its alternatives. The error is a *Cycle or *BadPlan where a plan can't be, *BadEvidence
// where the version can't, *CantTell where no plan can be told.
func (e *Estimator) Estimate(now float64, p Plan, f Fleet) (Answer, error) {
	if e.err != nil {
		return Answer{}, e.err
	}
	if err := p.Check(); err != nil {
		return Answer{}, err
	}
	if e.full == nil {
		return Answer{}, &CantTell{Reason: "there is no evidence at all"}
	}
	if now < e.v.At-1 { // its evidence is of the future
		now = e.v.At
	}
	d := e.draw(now, uint64(len(f.Hosts)))
	a := Answer{Token: e.v.Token}
	for _, q := range append([]Plan{p}, p.Alternatives...) {
		a.Plans = append(a.Plans, d.plan(now, &q, &f))
	}
	for i := range a.Plans {
		if a.Plans[i].Cant == nil {
			a.Order = append(a.Order, i)
		}
	}
	if len(a.Order) == 0 {
		return a, a.Plans[0].Cant
	}
	slices.SortStableFunc(a.Order, func(i, j int) int { return cmp.Compare(a.Plans[i].P50.Mid, a.Plans[j].P50.Mid) })
	a.Faster = make([][]float64, len(a.Plans))
	for i := range a.Plans {
		a.Faster[i] = make([]float64, len(a.Plans))
		for j := range a.Plans {
			x, y := a.Plans[i].medians, a.Plans[j].medians
			if x == nil || y == nil {
				continue
			}
			for p := range x {
				if x[p] < y[p] {
					a.Faster[i][j] += 1.0 / unknowns
				} else if x[p] == y[p] {
					a.Faster[i][j] += 0.5 / unknowns
				}
			}
		}
	}
	return a, nil
}

// figure takes the ends of the middle 95 % of sorted draws.
func figure(sorted []float64, hinge string) Figure {
	return Figure{quantile(sorted, 0.5), quantile(sorted, 0.025), quantile(sorted, 0.975), hinge}
}

func quantile(sorted []float64, p float64) float64 {
	x := p*float64(len(sorted)) - 0.5
	i := int(math.Floor(x))
	switch {
	case i < 0:
		return sorted[0]
	case i+1 >= len(sorted):
		return sorted[len(sorted)-1]
	}
	w := x - float64(i)
	return sorted[i]*(1-w) + sorted[i+1]*w
}

// plan answers for one plan.
func (d *drawn) plan(now float64, p *Plan, f *Fleet) PlanAnswer {
	e := d.e
	out := PlanAnswer{Name: p.Name, Work: map[string]Figure{}, Age: d.age}
	order, _ := p.check()
	place := rand.New(rand.NewPCG(1, uint64(len(f.Hosts)))) // alike for all plans: what they share is drawn once
	stages, err := e.stages(now, p, f, place)
	if err != nil {
		c := new(CantTell)
		*c = *err.(*CantTell)
		out.Cant = c
		return out
	}
	// What each share of a step brings: log work, and time as one log-normal of work and waiting.
	type load struct {
		k           pairKey
		x           [4]float64
		shift, open float64
		wait        float64
		spread      float64
		waitN       float64
		z           [drawings][]float64 // by drawing and run: the slowest of its parts, in standard deviations
		mean, sigma float64             // of log time, of the draw under way
		quiet       float64             // work alone
	}
	loads := make([][]load, len(stages))
	hinge := hinges{}
	for i := range stages {
		st := &stages[i]
		for j := range st.shares {
			sh := &st.shares[j]
			sh.kindAt = e.full.kinds[sh.kind]
			l := load{k: pairKey{st.class, sh.kindAt, st.step.Statement}, x: [4]float64{1, st.x, math.Log1p(sh.inflight), 0}}
			if sh.cold {
				l.x[cold] = 1
			}
			var moved float64
			l.shift, l.open, moved = d.hold(l.k, st.step.Class, sh.kind, l.x)
			if moved < 0 || out.Moved < 0 {
				out.Moved = -1
			} else {
				out.Moved = max(out.Moved, moved)
			}
			l.wait, l.spread, l.waitN = e.wait(sh.kind, sh.inflight)
			for a := range drawings {
				if n := sh.counts[a]; n > 0 {
					l.z[a] = make([]float64, runs)
					for r := range runs {
						l.z[a][r] = distuv.UnitNormal.Quantile(math.Pow((d.src.Float64()*0.9999)+0.00005, 1/float64(n)))
					}
				}
			}
			d.pair(l.k)
			hinge.add(d, st, sh, l.k, l.x, l.wait, l.waitN)
			loads[i] = append(loads[i], l)
		}
	}
	var all []float64
	var p50, p95, p99, meets, stale, primary, displaced []float64
	work := map[string][]float64{}
	finish, length := make([]float64, len(stages)), make([]float64, len(stages))
	times := make([]float64, runs)
	lots := d.lots(2)
	waits, doubts := &lots[0], &lots[1]
	for u := range unknowns {
		draw := u % drawings
		common, c := d.common[u], len(e.full.classes)+len(e.full.kinds)
		byKind := map[string]float64{}
		onPrimary, primaryRoom, age := 0.0, 0.0, 0.0
		for i := range stages {
			st := &stages[i]
			own, _ := d.statement(stmt{st.class, st.step.Statement})
			noise := d.noise[st.class][u]
			for j := range loads[i] {
				l, sh := &loads[i][j], &st.shares[j]
				quiet := common[st.class] + common[len(e.full.classes)+sh.kindAt] + own[u][0] + d.pairs[l.k][u] +
					(common[c]+own[u][1])*(st.x-e.full.centre) + l.shift + l.open*doubts[u]
				busy := quiet + common[c+1]*l.x[crowd] + common[c+2]*l.x[cold]
				l.mean, l.sigma = busy, math.Sqrt(noise)
				if l.wait > 0 {
					w := l.wait * math.Exp(waits[u]*math.Sqrt(l.spread/max(1, l.waitN)))
					m := math.Exp(busy + noise/2)
					v := m*m*math.Expm1(noise) + l.spread*w*w
					s := math.Log1p(v / ((m + w) * (m + w)))
					l.mean, l.sigma = math.Log(m+w)-s/2, math.Sqrt(s)
				}
				l.quiet = math.Exp(min(quiet+noise/2, 600))
				if n := float64(sh.counts[draw]); n > 0 {
					s := math.Log1p(math.Expm1(noise) / n)
					w := n * l.quiet * math.Exp(d.src.NormFloat64()*math.Sqrt(s)-s/2)
					byKind[sh.kind] += w
					if sh.primary {
						onPrimary += w
						primaryRoom += n * sh.capacity
					}
				}
			}
		}
		for r := range runs {
			total := 0.0
			for _, i := range order {
				begin := 0.0
				for _, j := range stages[i].wait {
					begin = max(begin, finish[j])
				}
				slowest := math.Inf(-1)
				for j := range loads[i] {
					if l := &loads[i][j]; l.z[draw] != nil {
						slowest = max(slowest, l.mean+l.sigma*l.z[draw][r])
					}
				}
				took := math.Exp(min(slowest, 600))
				if length[i] = took; r == 0 || r == runs/2 {
					for _, sh := range stages[i].shares {
						if !sh.primary && sh.counts[draw] > 0 {
							age = max(age, sh.lag+took)
						}
					}
				}
				finish[i] = begin + took
				total = max(total, finish[i])
			}
			times[r] = total
		}
		all = append(all, times...)
		slices.Sort(times)
		p50, p95, p99 = append(p50, quantile(times, 0.5)), append(p95, quantile(times, 0.95)), append(p99, quantile(times, 0.99))
		within, _ := slices.BinarySearch(times, math.Nextafter(p.Aim, math.Inf(1)))
		meets = append(meets, float64(within)/runs)
		stale = append(stale, age)
		window := quantile(times, 0.5)
		if primaryRoom > 0 {
			primary = append(primary, onPrimary/(primaryRoom*window))
		} else {
			primary = append(primary, 0)
		}
		lost := 0.0
		for i := range stages {
			for j := range loads[i] {
				if sh := &stages[i].shares[j]; sh.counts[draw] > 0 {
					lost += float64(sh.counts[draw]) * f.displaced(loads[i][j].quiet-sh.free*window, window)
				}
			}
		}
		displaced = append(displaced, lost)
		for _, k := range e.v.kinds(stages) {
			work[k] = append(work[k], byKind[k])
		}
	}
	out.medians = slices.Clone(p50)
	for _, xs := range [][]float64{all, p50, p95, p99, meets, stale, primary, displaced} {
		slices.Sort(xs)
	}
	why := hinge.time()
	out.Time, out.P50, out.P95, out.P99 = figure(all, hinge.run()), figure(p50, why), figure(p95, why), figure(p99, why)
	for k, xs := range work {
		slices.Sort(xs)
		out.Work[k] = figure(xs, hinge.kind(k))
	}
	out.Primary, out.Displaced = figure(primary, hinge.primary()), figure(displaced, hinge.room(stages))
	out.Stale = figure(stale, hinge.stale(stages))
	if p.Aim > 0 {
		m := figure(meets, why)
		out.Meets = &m
	}
	return out
}

// kinds are those that stages use.
func (*Version) kinds(stages []stage) (out []string) {
	for i := range stages {
		for j := range stages[i].shares {
			if k := stages[i].shares[j].kind; !slices.Contains(out, k) {
				out = append(out, k)
			}
		}
	}
	return out
}

// displaced is the worth of what work beyond a host's room pushes out there, in a window of milliseconds: those first of
// which a second of work brings least, as held requests are served.
func (f *Fleet) displaced(excess, window float64) (worth float64) {
	if excess <= 0 || len(f.Hosts) == 0 {
		return 0
	}
	classes := slices.Clone(f.Classes)
	slices.SortFunc(classes, func(a, b Class) int { return cmp.Compare(a.Worth*b.Work, b.Worth*a.Work) })
	for _, c := range classes {
		if c.Work <= 0 {
			continue
		}
		there := c.Rate / 1e3 * window / float64(len(f.Hosts)) // requests
		n := min(there, excess/c.Work)
		worth += n * c.Worth
		if excess -= n * c.Work; excess <= 0 {
			break
		}
	}
	return worth
}

// fact is what the width of an estimate may hinge on.
type fact struct {
	step, kind, word string
	primary          bool
	open, noise      float64 // variances of log work: what is not known, and from run to run
	weight           float64 // expected time
	wait             float64 // share of it
	waitN            float64
}

type hinges []fact

func (h *hinges) add(d *drawn, st *stage, sh *share, k pairKey, x [4]float64, wait, waitN float64) {
	x[size] -= d.e.full.centre
	mean, open := d.effect(k).at(x)
	pair, all := d.e.full.weight(k.class, k.kind, k.statement)
	name := st.step.Statement.String()[:8]
	f := fact{step: st.step.Name, kind: sh.kind, primary: sh.primary, open: open + d.e.Widening(d.age), noise: d.e.full.noise[k.class], waitN: waitN}
	took := math.Exp(mean + f.noise/2)
	f.weight, f.wait = took+wait, wait/(took+wait)
	switch {
	case d.e.Widening(d.age) > open:
		f.word = fmt.Sprintf("the evidence is %.0f s old", d.age/1e3)
	case all < 0.5:
		f.word = fmt.Sprintf("no evidence of statement %s; its class %q stands for it", name, st.step.Class)
	case pair < 0.5:
		f.word = fmt.Sprintf("no evidence of statement %s on kind %q", name, sh.kind)
	default:
		f.word = fmt.Sprintf("%.0f observations of statement %s on kind %q", pair, name, sh.kind)
	}
	*h = append(*h, f)
}

// most returns the fact that widens most, of those that count.
func (h hinges) most(counts func(*fact) bool) *fact {
	var out *fact
	for i := range h {
		f := &h[i]
		if counts(f) && (out == nil || f.open*f.weight*f.weight > out.open*out.weight*out.weight) {
			out = f
		}
	}
	return out
}

func (h hinges) word(counts func(*fact) bool) string {
	if f := h.most(counts); f != nil {
		if f.wait > 0.5 {
			return fmt.Sprintf("step %q: waiting before kind %q, from %.0f observations", f.step, f.kind, f.waitN)
		}
		return fmt.Sprintf("step %q: %s", f.step, f.word)
	}
	return "nothing of it is used"
}

func (h hinges) time() string { return h.word(func(*fact) bool { return true }) }

func (h hinges) run() string {
	if f := h.most(func(*fact) bool { return true }); f != nil && f.noise > f.open {
		return fmt.Sprintf("step %q: it varies from run to run by a factor of %.2f", f.step, math.Exp(math.Sqrt(f.noise)))
	}
	return h.time()
}

func (h hinges) kind(k string) string { return h.word(func(f *fact) bool { return f.kind == k }) }

func (h hinges) primary() string {
	if h.most(func(f *fact) bool { return f.primary }) == nil {
		return "no step runs at a primary"
	}
	return h.word(func(f *fact) bool { return f.primary })
}

func (h hinges) room(stages []stage) string {
	least, kind := math.Inf(1), ""
	for i := range stages {
		for _, s := range stages[i].shares {
			if s.free < least {
				least, kind = s.free, s.kind
			}
		}
	}
	return fmt.Sprintf("hosts of kind %q have room for %.2f requests at once", kind, least)
}

func (h hinges) stale(stages []stage) string {
	most, kind := -1.0, ""
	for i := range stages {
		for _, s := range stages[i].shares {
			if !s.primary && s.lag > most {
				most, kind = s.lag, s.kind
			}
		}
	}
	if most < 0 {
		return "no step reads at a replica"
	}
	return fmt.Sprintf("a replica of kind %q is %.0f ms behind, and applies nothing while it reads", kind, most)
}
