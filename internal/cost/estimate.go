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
	Name               string      `json:"name"`
	Statement          Fingerprint `json:"statement"`
	Class              string      `json:"class"`
	Tenant             string      `json:"tenant,omitempty"`
	Group              uint64      `json:"group"`
	AllGroups          bool        `json:"all,omitempty"` // every group: it ends with the slowest
	Rows               float64     `json:"rows"`          // of each part
	Bytes              float64     `json:"bytes"`
	Freshness          string      `json:"fresh"` // write, fresh, session, bounded or any
	MaxStalenessMillis float64     `json:"bound"` // bounded: how old its data may be, in milliseconds
	After              []string    `json:"after"` // names of the steps that end before it begins
}

// Plan is a query plan, with others that bring the same.
type Plan struct {
	Name            string  `json:"name"`
	ObjectiveMillis float64 `json:"aim"` // milliseconds; 0: none
	Steps           []Step  `json:"steps"`
	Alternatives    []Plan  `json:"alternatives,omitempty"`
}

// Host is a db host as it stands.
type Host struct {
	Name      string  `json:"name"`
	Kind      string  `json:"kind"` // of hardware
	Group     uint64  `json:"group"`
	Primary   bool    `json:"primary"`
	Capacity  float64 `json:"capacity"` // requests that it works on at once
	Inflight  int     `json:"inflight"`
	Load      float64 `json:"load"`    // of capacity that is taken
	StartedAt float64 `json:"started"` // 0: long ago
	LagMillis float64 `json:"lag"`     // milliseconds behind its primary
}

// Class is a class of requests that the fleet serves.
type Class struct {
	Name              string  `json:"name"`
	ObjectiveMillis   float64 `json:"aim"`   // milliseconds
	Weight            float64 `json:"worth"` // of one
	RequestsPerSecond float64 `json:"rate"`  // requests a second, over all hosts
	WorkMillis        float64 `json:"work"`  // milliseconds each
}

// Fleet is where plans would run.
type Fleet struct {
	Hosts        []Host  `json:"hosts"`
	Classes      []Class `json:"classes"`
	WarmUpMillis float64 `json:"ramp"` // milliseconds after its start for which a host is cold
}

// Interval is an estimate with its 95 % interval, and the fact on which its width hinges.
type Interval struct {
	Mid            float64 `json:"mid"`
	Low            float64 `json:"low"`
	High           float64 `json:"high"`
	DominantFactor string  `json:"hinge"`
}

// PlanEstimate is what one plan costs. Times and work are in milliseconds.
type PlanEstimate struct {
	Name            string              `json:"name"`
	Unavailable     *NoEstimateError    `json:"cant_tell,omitempty"` // then nothing else counts
	Time            Interval            `json:"time"`                // of one run: an interval for what will be seen
	P50             Interval            `json:"p50"`                 // intervals for the quantiles themselves
	P95             Interval            `json:"p95"`
	P99             Interval            `json:"p99"`
	Work            map[string]Interval `json:"work"`            // by kind of host
	Primary         Interval            `json:"primary"`         // share of what the primaries that it uses can do meanwhile
	DisplacedWeight Interval            `json:"displaced"`       // worth of others' requests that its work pushes out
	WithinObjective *Interval           `json:"meets,omitempty"` // chance to be within the plan's aim
	StalenessMillis Interval            `json:"stale"`           // how old the oldest data that it reads are when it ends
	MaxShift        float64             `json:"moved"`           // the most that one source's false evidence can have moved log work; -1: no bound, under three sources
	AgeMillis       float64             `json:"age"`             // of the evidence
	medians         []float64
}

// PlanComparison compares a plan and its alternatives.
type PlanComparison struct {
	Token             uint64         `json:"token"` // of the evidence
	Plans             []PlanEstimate `json:"plans"`
	Order             []int          `json:"order"`  // the quickest first; those that can't be told are left out
	FasterProbability [][]float64    `json:"faster"` // [a][b]: how sure it is that a is quicker than b in the median
}

// ConfidenceThreshold is from where on the answer says which of two plans is quicker; below it can't tell.
const ConfidenceThreshold = 0.75 // three to one

// The draws of an estimate: of what is not known, of runs for each, and of which replica serves a part. With 200 the ends
// of a 95 % interval are the mean of the fifth draws from either end.
const (
	parameterDraws = 200
	runDraws       = 100
	replicaDraws   = 4
)

// The words of Step.Fresh.
var freshnessValues = []string{"write", "fresh", "session", "bounded", "any"}

// Estimator estimates from one version. It never changes, so many may use it at once.
type Estimator struct {
	snapshot Snapshot // without its cells
	full     *fit
	blocks   []*fit
	waits    []map[string]waitModel // of all, then of each block
	err      error
	robust   bool
}

// NewEstimator makes an estimator of a version. One whose digest does not match can't tell anything.
func NewEstimator(v Snapshot, now float64) *Estimator {
	e := &Estimator{snapshot: v}
	e.snapshot.Cells, e.snapshot.Waits = nil, nil
	if e.err = v.Validate(); e.err != nil {
		return e
	}
	if now < v.At {
		e.snapshot.At = now
	}
	e.waits = append(e.waits, fitWaits(v.Waits, -1))
	if e.robust = v.Blocks >= 3; e.robust {
		for b := range v.Blocks {
			var cells []Cell
			for _, c := range v.Cells {
				if c.Block == b {
					cells = append(cells, c)
				}
			}
			e.blocks = append(e.blocks, newFit(cells, v.disabledGuarantee, nil))
			e.waits = append(e.waits, fitWaits(v.Waits, b))
		}
	}
	e.full = newFit(v.Cells, v.disabledGuarantee, e.blocks)
	return e
}

// Version names the evidence that the estimator holds.
func (e *Estimator) Version() (token uint64, digest [32]byte) {
	return e.snapshot.Token, e.snapshot.Digest
}

// Estimate answers from what the model holds now. The fit is made anew once an eighth more was seen.
func (m *Model) Estimate(now float64, p Plan, f Fleet) (PlanComparison, error) {
	return m.Estimator(now).Estimate(now, p, f)
}

// Estimator returns one of what the model holds now, at most an eighth of the evidence behind.
func (m *Model) Estimator(now float64) *Estimator {
	if m.estimator == nil || m.changes-m.estimatorChanges > max(16, m.estimatorChanges/8) || now-m.estimator.snapshot.At > m.options.Span/8 {
		m.estimator, m.estimatorChanges = NewEstimator(m.Publish(m.sequence, now), now), m.changes
	}
	return m.estimator
}

// waitModel is how waiting grows with what is at a host: mean and, of that, the square of the relative spread.
type waitModel struct {
	base, perRequest, spread, observations float64
}

func (l waitModel) mean(inflight float64) float64 { return max(0, l.base+l.perRequest*inflight) }

// fitWaits fits waiting by kind, of one block or (below 0) all; "" is all kinds together.
func fitWaits(waits []Wait, block int) map[string]waitModel {
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
	out := map[string]waitModel{}
	for k, s := range sums {
		n, x, xx, y, xy, yy := s[0], s[1], s[2], s[3], s[4], s[5]
		if n <= 0 {
			continue
		}
		l := waitModel{base: y / n, observations: n}
		if d := xx - x*x/n; d > 1e-9 {
			l.perRequest = max(0, (xy-x*y/n)/(d+1)) // one more observation that says nothing of growth
			l.base = (y - l.perRequest*x) / n
		}
		square := l.base*l.base*n + 2*l.base*l.perRequest*x + l.perRequest*l.perRequest*xx
		if rest := yy - 2*l.base*y - 2*l.perRequest*xy + square; square > 1e-9 {
			l.spread = max(0, rest) / square
		}
		out[k] = l
	}
	return out
}

// estimateWait returns what is known of waiting before a kind of host; from three blocks on their middle, so one source moves it
// no further than to the next one's.
func (e *Estimator) estimateWait(kind string, inflight float64) (mean, spread, n float64) {
	of := func(ls map[string]waitModel) (waitModel, bool) {
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
	mean, spread, n = l.mean(inflight), l.spread, l.observations
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

// hostShare is some hosts that are alike to a step: of one kind, about as busy, all cold or none.
type hostShare struct {
	kind         string
	kindIndex    int
	primary      bool
	warmingUp    bool
	busyBucket   int
	inflight     float64 // mean
	freeCapacity float64 // mean capacity that is not taken
	capacity     float64
	maxLagMillis float64 // the most
	hosts        int
	parts        [replicaDraws]int // parts of the step there, in each drawing of replicas
}

// placedStep is a step with where it runs.
type placedStep struct {
	step     *Step
	class    int
	logSize  float64 // its size
	shares   []hostShare
	waitsFor []int
}

// check says whether a plan can be: names, words, numbers, and no cycle. It returns the steps in an order to run in.
func (p *Plan) check() ([]int, error) {
	at := map[string]int{}
	bad := func(step, key, value, allowed string) error {
		return &InvalidPlanError{p.Name, step, key, value, allowed}
	}
	if len(p.Steps) == 0 || len(p.Steps) > 1000 {
		return nil, bad("", "steps", fmt.Sprint(len(p.Steps), " steps"), "1 to 1000 steps")
	}
	for i, s := range p.Steps {
		if _, twice := at[s.Name]; twice || s.Name == "" {
			return nil, bad(s.Name, "name", s.Name, "a name that no other step has")
		}
		at[s.Name] = i
		if !slices.Contains(freshnessValues, s.Freshness) {
			return nil, bad(s.Name, "fresh", s.Freshness, strings.Join(freshnessValues, ", "))
		}
		for _, n := range []struct {
			key string
			x   float64
		}{{"rows", s.Rows}, {"bytes", s.Bytes}, {"bound", s.MaxStalenessMillis}} {
			if !(n.x >= 0 && n.x < 1e15) {
				return nil, bad(s.Name, n.key, fmt.Sprint(n.x), "a number from 0 to 1e15")
			}
		}
	}
	if !(p.ObjectiveMillis >= 0 && p.ObjectiveMillis < 1e15) {
		return nil, bad("", "aim", fmt.Sprint(p.ObjectiveMillis), "milliseconds from 0 to 1e15")
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
		c := &CycleError{Plan: p.Name}
		for i, s := range p.Steps {
			if waits[i] > 0 {
				c.Steps = append(c.Steps, s.Name)
			}
		}
		return nil, c
	}
	return order, nil
}

// Validate says whether a plan and its alternatives can be.
func (p *Plan) Validate() error {
	if _, err := p.check(); err != nil {
		return err
	}
	for i := range p.Alternatives {
		if err := p.Alternatives[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// placeSteps places the steps on hosts. It fails where a step has no host, or nothing is known of its class or a kind.
func (e *Estimator) placeSteps(now float64, p *Plan, f *Fleet, src *rand.Rand) ([]placedStep, error) {
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
	var out []placedStep
	for i := range p.Steps {
		s := &p.Steps[i]
		at[s.Name] = i
		st := placedStep{step: s, logSize: logSize(s.Rows, s.Bytes)}
		class, ok := e.full.classes[s.Class]
		if !ok {
			err := &UnknownStatementError{s.Statement, s.Class}
			return nil, &NoEstimateError{err.Error(), err}
		}
		st.class = class
		of := []uint64{s.Group}
		if s.AllGroups {
			of = ids
		}
		if len(of) == 0 {
			return nil, &NoEstimateError{Reason: "the fleet has no hosts"}
		}
		for _, g := range of {
			hosts := eligibleHosts(s, groups[g])
			if len(hosts) == 0 {
				return nil, &NoEstimateError{Reason: fmt.Sprintf("step %q: group %d has no host that may serve it", s.Name, g)}
			}
			for draw := range replicaDraws {
				h := pickLessBusy(hosts, src)
				if _, ok := e.full.kinds[h.Kind]; !ok {
					return nil, &NoEstimateError{Reason: fmt.Sprintf("step %q: no evidence of kind %q, that of host %s", s.Name, h.Kind, h.Name)}
				}
				st.addHost(h, now, f.WarmUpMillis, draw)
			}
		}
		out = append(out, st)
	}
	for i := range out {
		for _, a := range out[i].step.After {
			out[i].waitsFor = append(out[i].waitsFor, at[a])
		}
	}
	return out, nil
}

// eligibleHosts returns the hosts that may serve a step, the least busy first.
func eligibleHosts(s *Step, of []*Host) []*Host {
	var primaries, replicas []*Host
	for _, h := range of {
		switch {
		case h.Primary:
			primaries = append(primaries, h)
		case s.Freshness == "bounded" && s.MaxStalenessMillis > 0 && h.LagMillis > s.MaxStalenessMillis:
		default:
			replicas = append(replicas, h)
		}
	}
	if s.Freshness == "write" || s.Freshness == "fresh" || len(replicas) == 0 {
		return primaries
	}
	slices.SortFunc(replicas, func(a, b *Host) int { return cmp.Or(cmp.Compare(a.Inflight, b.Inflight), cmp.Compare(a.Name, b.Name)) })
	return replicas
}

// pickLessBusy draws two hosts and takes the less busy, as the pooler does.
func pickLessBusy(hosts []*Host, src *rand.Rand) *Host {
	return hosts[min(src.IntN(len(hosts)), src.IntN(len(hosts)))]
}

func (s *placedStep) addHost(h *Host, now, ramp float64, draw int) {
	isCold := h.StartedAt > 0 && now-h.StartedAt < ramp
	bucket := int(math.Log2(float64(h.Inflight) + 1))
	i := slices.IndexFunc(s.shares, func(o hostShare) bool {
		return o.kind == h.Kind && o.primary == h.Primary && o.warmingUp == isCold && o.busyBucket == bucket
	})
	if i < 0 {
		i = len(s.shares)
		s.shares = append(s.shares, hostShare{kind: h.Kind, primary: h.Primary, warmingUp: isCold, busyBucket: bucket})
	}
	o := &s.shares[i]
	n := float64(o.hosts)
	o.inflight = (o.inflight*n + float64(h.Inflight)) / (n + 1)
	o.capacity = (o.capacity*n + h.Capacity) / (n + 1)
	o.freeCapacity = (o.freeCapacity*n + max(0, h.Capacity-h.Load)) / (n + 1)
	o.maxLagMillis = max(o.maxLagMillis, h.LagMillis)
	o.hosts++
	o.parts[draw]++
}

type effectKey struct {
	class, kind int
	statement   Fingerprint
}

// draws is what is not known, drawn from what the evidence leaves open, the same for all plans of an answer.
type draws struct {
	estimator      *Estimator
	age            float64
	random         *rand.Rand
	common         [parameterDraws][]float64
	noise          [][parameterDraws]float64 // variance by class
	statementDraws map[statementKey]*[parameterDraws][2]float64
	cellDraws      map[statementKey]*[parameterDraws][]float64 // of its pairs
	pairDraws      map[effectKey]*[parameterDraws]float64
	effects        map[effectKey]*effect // of the whole fit
	blockEffects   map[effectKey][]effect
}

func (e *Estimator) draw(now float64, seed uint64) *draws {
	d := &draws{
		estimator: e, age: max(0, now-e.snapshot.At), random: rand.New(rand.NewPCG(seed, binary.LittleEndian.Uint64(e.snapshot.Digest[:8]))),
		statementDraws: map[statementKey]*[parameterDraws][2]float64{}, cellDraws: map[statementKey]*[parameterDraws][]float64{}, pairDraws: map[effectKey]*[parameterDraws]float64{},
		effects: map[effectKey]*effect{}, blockEffects: map[effectKey][]effect{},
	}
	f := e.full
	var root mat.TriDense // of the precision: its inverse brings the covariance
	f.chol.UTo(&root)
	z, x := mat.NewVecDense(f.dim, nil), mat.NewVecDense(f.dim, nil)
	lots := d.stratifiedNormals(f.dim)
	for p := range parameterDraws {
		for i := range f.dim {
			z.SetVec(i, lots[i][p])
		}
		_ = x.SolveVec(&root, z) // an error warns of a poor condition alone
		d.common[p] = make([]float64, f.dim)
		for i := range f.dim {
			d.common[p][i] = f.mean[i] + x.AtVec(i)
		}
	}
	d.noise = make([][parameterDraws]float64, len(f.noise))
	for c := range f.noise {
		chi := distuv.ChiSquared{K: f.degreesOfFreedom[c], Src: d.random}
		for p := range parameterDraws {
			d.noise[c][p] = f.noise[c] * f.degreesOfFreedom[c] / max(chi.Rand(), 1e-3*f.degreesOfFreedom[c])
		}
	}
	return d
}

// normalStrata cut the normal distribution into as many parts of the same weight as there are draws.
var normalStrata = func() (l [parameterDraws]float64) {
	for p := range l {
		l[p] = distuv.UnitNormal.Quantile((float64(p) + 0.5) / parameterDraws)
	}
	return l
}()

// stratifiedNormals returns draws from n normal distributions. Each has one in every part (a Latin hypercube), so what one of them does
// to an interval is exact.
func (d *draws) stratifiedNormals(n int) [][parameterDraws]float64 {
	out := make([][parameterDraws]float64, n)
	for i := range out {
		out[i] = normalStrata
		d.random.Shuffle(parameterDraws, func(a, b int) { out[i][a], out[i][b] = out[i][b], out[i][a] })
	}
	return out
}

// drawStatement draws a statement's own effects, given what is common.
func (d *draws) drawStatement(s statementKey) (*[parameterDraws][2]float64, *[parameterDraws][]float64) {
	if o := d.statementDraws[s]; o != nil {
		return o, d.cellDraws[s]
	}
	f, o, parts := d.estimator.full, new([parameterDraws][2]float64), new([parameterDraws][]float64)
	d.statementDraws[s], d.cellDraws[s] = o, parts
	it := f.statements[s]
	if it == nil || it.folded {
		lots := d.stratifiedNormals(2)
		for p := range parameterDraws {
			o[p] = [2]float64{lots[0][p] * math.Sqrt(f.statementVariance), lots[1][p] * math.Sqrt(f.slopeVariance)}
		}
		return o, parts
	}
	l, cols := &it.local, f.columns(it)
	n := 2 + len(it.cells)
	var u mat.TriDense
	l.chol.UTo(&u)
	z, x := mat.NewVecDense(n, nil), mat.NewVecDense(n, nil)
	lots := d.stratifiedNormals(n)
	for p := range parameterDraws {
		for i := range n {
			z.SetVec(i, lots[i][p])
		}
		_ = x.SolveVec(&u, z)
		row := make([]float64, n)
		for i := range n {
			row[i] = l.mean.AtVec(i) + x.AtVec(i)
			for j, c := range cols {
				row[i] -= l.dependence.At(i, j) * d.common[p][c]
			}
		}
		o[p] = [2]float64{row[0], row[1]}
		parts[p] = row[2:]
	}
	return o, parts
}

// drawPair draws a statement's extra on a kind, with what the evidence's age leaves open.
func (d *draws) drawPair(k effectKey) *[parameterDraws]float64 {
	if o := d.pairDraws[k]; o != nil {
		return o
	}
	f, o := d.estimator.full, new([parameterDraws]float64)
	d.pairDraws[k] = o
	_, parts := d.drawStatement(statementKey{k.class, k.statement})
	it := f.statements[statementKey{k.class, k.statement}]
	at := -1
	if it != nil && !it.folded {
		at = slices.IndexFunc(it.cells, func(p cellFit) bool { return p.kind == k.kind })
	}
	open := d.estimator.Widening(d.age)
	if at < 0 {
		open += f.pairVariance
	}
	for p, z := range d.stratifiedNormals(1)[0] {
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
	if e.snapshot.disabledGuarantee == "age" {
		return 0
	}
	return e.snapshot.Drift * e.snapshot.Drift * max(0, age) / e.snapshot.Span
}

func (d *draws) effect(k effectKey) *effect {
	if x := d.effects[k]; x != nil {
		return x
	}
	x := d.estimator.full.effectOf(k)
	d.effects[k] = &x
	return &x
}

func (f *fit) effectOf(k effectKey) effect {
	it := f.statements[statementKey{k.class, k.statement}]
	if it == nil || it.folded {
		it = &statementFit{class: k.class}
	}
	return f.effects(it, k.kind)
}

func (e *effect) evaluate(x [4]float64) (mean, variance float64) {
	for i := range 4 {
		mean += x[i] * e.mean[i]
		for j := range 4 {
			variance += x[i] * x[j] * e.covariance[i][j]
		}
	}
	return mean, variance
}

// minTolerance is how far the estimate from all evidence may be from the middle of the blocks' in any case, in log work:
// what a block's own noise moves its estimate by where it knows a statement well.
const minTolerance = 0.05

// robustShift says by how much the estimate from all evidence moves to be held near the middle of what the blocks say, what that
// leaves open (one standard deviation: the interval then reaches back to what all evidence said, where a block alone may
// err so far), and how far any one source can have moved what comes out; -1: no bound. docs/cost.md derives it.
func (d *draws) robustShift(k effectKey, class, kind string, x [4]float64) (shift, open, moved float64) {
	e := d.estimator
	if !e.robust {
		return 0, 0, -1
	}
	effects, ok := d.blockEffects[k]
	if !ok {
		for _, f := range e.blocks {
			if f == nil {
				continue
			}
			if c, kk, ok := f.known(class, kind); ok {
				effects = append(effects, f.effectOf(effectKey{c, kk, k.statement}))
			}
		}
		d.blockEffects[k] = effects
	}
	if len(effects) < len(e.blocks) {
		return 0, 0, -1
	}
	means, spreads := make([]float64, len(effects)), make([]float64, len(effects))
	i := 0
	for _, f := range e.blocks {
		y := x
		y[termSize] -= f.centreSize
		var v float64
		means[i], v = effects[i].evaluate(y)
		spreads[i] = math.Sqrt(max(0, v))
		i++
	}
	slices.Sort(means)
	slices.Sort(spreads)
	mid := len(means) / 2
	// The middle of n blocks is off by 1.25 / sqrt(n) of one's spread; twice that is room for 95 %.
	wide := 2 * 1.2533 / math.Sqrt(float64(len(means)))
	room := func(sd float64) float64 { return max(minTolerance, wide*sd) }
	moved = max(means[mid+1]-means[mid], means[mid]-means[mid-1]) + room(spreads[mid]) + room(spreads[mid+1])
	y := x
	y[termSize] -= e.full.centreSize
	all, _ := d.effect(k).evaluate(y)
	r := room(spreads[mid])
	if e.snapshot.disabledGuarantee == "false" {
		return 0, 0, moved
	}
	shift = min(max(all, means[mid]-r), means[mid]+r) - all
	return shift, min(math.Abs(shift), 2*spreads[mid]) / 1.96, moved
}

// Estimate answers for a plan and its alternatives. The error is a *Cycle or *InvalidPlanError where a plan can't be, *InvalidEvidenceError
// where the version can't, *NoEstimateError where no plan can be told.
func (e *Estimator) Estimate(now float64, p Plan, f Fleet) (PlanComparison, error) {
	if e.err != nil {
		return PlanComparison{}, e.err
	}
	if err := p.Validate(); err != nil {
		return PlanComparison{}, err
	}
	if e.full == nil {
		return PlanComparison{}, &NoEstimateError{Reason: "there is no evidence at all"}
	}
	if now < e.snapshot.At-1 { // its evidence is of the future
		now = e.snapshot.At
	}
	d := e.draw(now, uint64(len(f.Hosts)))
	a := PlanComparison{Token: e.snapshot.Token}
	for _, q := range append([]Plan{p}, p.Alternatives...) {
		a.Plans = append(a.Plans, d.estimatePlan(now, &q, &f))
	}
	for i := range a.Plans {
		if a.Plans[i].Unavailable == nil {
			a.Order = append(a.Order, i)
		}
	}
	if len(a.Order) == 0 {
		return a, a.Plans[0].Unavailable
	}
	slices.SortStableFunc(a.Order, func(i, j int) int { return cmp.Compare(a.Plans[i].P50.Mid, a.Plans[j].P50.Mid) })
	a.FasterProbability = make([][]float64, len(a.Plans))
	for i := range a.Plans {
		a.FasterProbability[i] = make([]float64, len(a.Plans))
		for j := range a.Plans {
			x, y := a.Plans[i].medians, a.Plans[j].medians
			if x == nil || y == nil {
				continue
			}
			for p := range x {
				if x[p] < y[p] {
					a.FasterProbability[i][j] += 1.0 / parameterDraws
				} else if x[p] == y[p] {
					a.FasterProbability[i][j] += 0.5 / parameterDraws
				}
			}
		}
	}
	return a, nil
}

// intervalOf takes the ends of the middle 95 % of sorted draws.
func intervalOf(sorted []float64, hinge string) Interval {
	return Interval{quantile(sorted, 0.5), quantile(sorted, 0.025), quantile(sorted, 0.975), hinge}
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

// estimatePlan answers for one plan.
func (d *draws) estimatePlan(now float64, p *Plan, f *Fleet) PlanEstimate {
	e := d.estimator
	out := PlanEstimate{Name: p.Name, Work: map[string]Interval{}, AgeMillis: d.age}
	order, _ := p.check()
	place := rand.New(rand.NewPCG(1, uint64(len(f.Hosts)))) // alike for all plans: what they share is drawn once
	stages, err := e.placeSteps(now, p, f, place)
	if err != nil {
		c := new(NoEstimateError)
		*c = *err.(*NoEstimateError)
		out.Unavailable = c
		return out
	}
	// What each share of a step brings: log work, and time as one log-normal of work and waiting.
	type load struct {
		k           effectKey
		x           [4]float64
		shift, open float64
		wait        float64
		spread      float64
		waitN       float64
		z           [replicaDraws][]float64 // by drawing and run: the slowest of its parts, in standard deviations
		mean, sigma float64                 // of log time, of the draw under way
		quiet       float64                 // work alone
	}
	loads := make([][]load, len(stages))
	hinge := factors{}
	for i := range stages {
		st := &stages[i]
		for j := range st.shares {
			sh := &st.shares[j]
			sh.kindIndex = e.full.kinds[sh.kind]
			l := load{k: effectKey{st.class, sh.kindIndex, st.step.Statement}, x: [4]float64{1, st.logSize, math.Log1p(sh.inflight), 0}}
			if sh.warmingUp {
				l.x[termWarmUp] = 1
			}
			var moved float64
			l.shift, l.open, moved = d.robustShift(l.k, st.step.Class, sh.kind, l.x)
			if moved < 0 || out.MaxShift < 0 {
				out.MaxShift = -1
			} else {
				out.MaxShift = max(out.MaxShift, moved)
			}
			l.wait, l.spread, l.waitN = e.estimateWait(sh.kind, sh.inflight)
			for a := range replicaDraws {
				if n := sh.parts[a]; n > 0 {
					l.z[a] = make([]float64, runDraws)
					for r := range runDraws {
						l.z[a][r] = distuv.UnitNormal.Quantile(math.Pow((d.random.Float64()*0.9999)+0.00005, 1/float64(n)))
					}
				}
			}
			d.drawPair(l.k)
			hinge.add(d, st, sh, l.k, l.x, l.wait, l.waitN)
			loads[i] = append(loads[i], l)
		}
	}
	var all []float64
	var p50, p95, p99, meets, stale, primary, displaced []float64
	work := map[string][]float64{}
	finish, length := make([]float64, len(stages)), make([]float64, len(stages))
	times := make([]float64, runDraws)
	lots := d.stratifiedNormals(2)
	waits, doubts := &lots[0], &lots[1]
	for u := range parameterDraws {
		draw := u % replicaDraws
		common, c := d.common[u], len(e.full.classes)+len(e.full.kinds)
		byKind := map[string]float64{}
		onPrimary, primaryRoom, age := 0.0, 0.0, 0.0
		for i := range stages {
			st := &stages[i]
			own, _ := d.drawStatement(statementKey{st.class, st.step.Statement})
			noise := d.noise[st.class][u]
			for j := range loads[i] {
				l, sh := &loads[i][j], &st.shares[j]
				quiet := common[st.class] + common[len(e.full.classes)+sh.kindIndex] + own[u][0] + d.pairDraws[l.k][u] +
					(common[c]+own[u][1])*(st.logSize-e.full.centreSize) + l.shift + l.open*doubts[u]
				busy := quiet + common[c+1]*l.x[termConcurrency] + common[c+2]*l.x[termWarmUp]
				l.mean, l.sigma = busy, math.Sqrt(noise)
				if l.wait > 0 {
					w := l.wait * math.Exp(waits[u]*math.Sqrt(l.spread/max(1, l.waitN)))
					m := math.Exp(busy + noise/2)
					v := m*m*math.Expm1(noise) + l.spread*w*w
					s := math.Log1p(v / ((m + w) * (m + w)))
					l.mean, l.sigma = math.Log(m+w)-s/2, math.Sqrt(s)
				}
				l.quiet = math.Exp(min(quiet+noise/2, 600))
				if n := float64(sh.parts[draw]); n > 0 {
					s := math.Log1p(math.Expm1(noise) / n)
					w := n * l.quiet * math.Exp(d.random.NormFloat64()*math.Sqrt(s)-s/2)
					byKind[sh.kind] += w
					if sh.primary {
						onPrimary += w
						primaryRoom += n * sh.capacity
					}
				}
			}
		}
		for r := range runDraws {
			total := 0.0
			for _, i := range order {
				begin := 0.0
				for _, j := range stages[i].waitsFor {
					begin = max(begin, finish[j])
				}
				slowest := math.Inf(-1)
				for j := range loads[i] {
					if l := &loads[i][j]; l.z[draw] != nil {
						slowest = max(slowest, l.mean+l.sigma*l.z[draw][r])
					}
				}
				took := math.Exp(min(slowest, 600))
				if length[i] = took; r == 0 || r == runDraws/2 {
					for _, sh := range stages[i].shares {
						if !sh.primary && sh.parts[draw] > 0 {
							age = max(age, sh.maxLagMillis+took)
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
		within, _ := slices.BinarySearch(times, math.Nextafter(p.ObjectiveMillis, math.Inf(1)))
		meets = append(meets, float64(within)/runDraws)
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
				if sh := &stages[i].shares[j]; sh.parts[draw] > 0 {
					lost += float64(sh.parts[draw]) * f.displacedWeight(loads[i][j].quiet-sh.freeCapacity*window, window)
				}
			}
		}
		displaced = append(displaced, lost)
		for _, k := range e.snapshot.kinds(stages) {
			work[k] = append(work[k], byKind[k])
		}
	}
	out.medians = slices.Clone(p50)
	for _, xs := range [][]float64{all, p50, p95, p99, meets, stale, primary, displaced} {
		slices.Sort(xs)
	}
	why := hinge.forTime()
	out.Time, out.P50, out.P95, out.P99 = intervalOf(all, hinge.forRun()), intervalOf(p50, why), intervalOf(p95, why), intervalOf(p99, why)
	for k, xs := range work {
		slices.Sort(xs)
		out.Work[k] = intervalOf(xs, hinge.forKind(k))
	}
	out.Primary, out.DisplacedWeight = intervalOf(primary, hinge.forPrimary()), intervalOf(displaced, hinge.forCapacity(stages))
	out.StalenessMillis = intervalOf(stale, hinge.forStaleness(stages))
	if p.ObjectiveMillis > 0 {
		m := intervalOf(meets, why)
		out.WithinObjective = &m
	}
	return out
}

// kinds are those that stages use.
func (*Snapshot) kinds(stages []placedStep) (out []string) {
	for i := range stages {
		for j := range stages[i].shares {
			if k := stages[i].shares[j].kind; !slices.Contains(out, k) {
				out = append(out, k)
			}
		}
	}
	return out
}

// displacedWeight is the worth of what work beyond a host's room pushes out there, in a window of milliseconds: those first of
// which a second of work brings least, as held requests are served.
func (f *Fleet) displacedWeight(excess, window float64) (worth float64) {
	if excess <= 0 || len(f.Hosts) == 0 {
		return 0
	}
	classes := slices.Clone(f.Classes)
	slices.SortFunc(classes, func(a, b Class) int { return cmp.Compare(a.Weight*b.WorkMillis, b.Weight*a.WorkMillis) })
	for _, c := range classes {
		if c.WorkMillis <= 0 {
			continue
		}
		there := c.RequestsPerSecond / 1e3 * window / float64(len(f.Hosts)) // requests
		n := min(there, excess/c.WorkMillis)
		worth += n * c.Weight
		if excess -= n * c.WorkMillis; excess <= 0 {
			break
		}
	}
	return worth
}

// factor is what the width of an estimate may hinge on.
type factor struct {
	step, kind, description string
	primary                 bool
	variance, noise         float64 // variances of log work: what is not known, and from run to run
	weight                  float64 // expected time
	waitShare               float64 // share of it
	waitObservations        float64
}

type factors []factor

func (h *factors) add(d *draws, st *placedStep, sh *hostShare, k effectKey, x [4]float64, wait, waitN float64) {
	x[termSize] -= d.estimator.full.centreSize
	mean, open := d.effect(k).evaluate(x)
	pair, all := d.estimator.full.weight(k.class, k.kind, k.statement)
	name := st.step.Statement.String()[:8]
	f := factor{step: st.step.Name, kind: sh.kind, primary: sh.primary, variance: open + d.estimator.Widening(d.age), noise: d.estimator.full.noise[k.class], waitObservations: waitN}
	took := math.Exp(mean + f.noise/2)
	f.weight, f.waitShare = took+wait, wait/(took+wait)
	switch {
	case d.estimator.Widening(d.age) > open:
		f.description = fmt.Sprintf("the evidence is %.0f s old", d.age/1e3)
	case all < 0.5:
		f.description = fmt.Sprintf("no evidence of statement %s; its class %q stands for it", name, st.step.Class)
	case pair < 0.5:
		f.description = fmt.Sprintf("no evidence of statement %s on kind %q", name, sh.kind)
	default:
		f.description = fmt.Sprintf("%.0f observations of statement %s on kind %q", pair, name, sh.kind)
	}
	*h = append(*h, f)
}

// dominant returns the fact that widens most, of those that count.
func (h factors) dominant(counts func(*factor) bool) *factor {
	var out *factor
	for i := range h {
		f := &h[i]
		if counts(f) && (out == nil || f.variance*f.weight*f.weight > out.variance*out.weight*out.weight) {
			out = f
		}
	}
	return out
}

func (h factors) describe(counts func(*factor) bool) string {
	if f := h.dominant(counts); f != nil {
		if f.waitShare > 0.5 {
			return fmt.Sprintf("step %q: waiting before kind %q, from %.0f observations", f.step, f.kind, f.waitObservations)
		}
		return fmt.Sprintf("step %q: %s", f.step, f.description)
	}
	return "nothing of it is used"
}

func (h factors) forTime() string { return h.describe(func(*factor) bool { return true }) }

func (h factors) forRun() string {
	if f := h.dominant(func(*factor) bool { return true }); f != nil && f.noise > f.variance {
		return fmt.Sprintf("step %q: it varies from run to run by a factor of %.2f", f.step, math.Exp(math.Sqrt(f.noise)))
	}
	return h.forTime()
}

func (h factors) forKind(k string) string {
	return h.describe(func(f *factor) bool { return f.kind == k })
}

func (h factors) forPrimary() string {
	if h.dominant(func(f *factor) bool { return f.primary }) == nil {
		return "no step runs at a primary"
	}
	return h.describe(func(f *factor) bool { return f.primary })
}

func (h factors) forCapacity(stages []placedStep) string {
	least, kind := math.Inf(1), ""
	for i := range stages {
		for _, s := range stages[i].shares {
			if s.freeCapacity < least {
				least, kind = s.freeCapacity, s.kind
			}
		}
	}
	return fmt.Sprintf("hosts of kind %q have room for %.2f requests at once", kind, least)
}

func (h factors) forStaleness(stages []placedStep) string {
	most, kind := -1.0, ""
	for i := range stages {
		for _, s := range stages[i].shares {
			if !s.primary && s.maxLagMillis > most {
				most, kind = s.maxLagMillis, s.kind
			}
		}
	}
	if most < 0 {
		return "no step reads at a replica"
	}
	return fmt.Sprintf("a replica of kind %q is %.0f ms behind, and applies nothing while it reads", kind, most)
}
