package cost

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// maxLogMillis bounds the logarithm of a time before it is exponentiated, so that sums of times stay finite.
const maxLogMillis = 600

// setLoad is what the parts of a step on one set of hosts cost: log work, and time as one log-normal of work and waiting.
type setLoad struct {
	key              effectKey
	terms            [4]float64
	shift, shiftOpen float64 // see robustShift
	wait, waitSpread float64
	waitObservations float64
	slowest          [replicaDraws][]float64 // by replica draw and run: the slowest of the parts, in standard deviations
	mean, sigma      float64                 // of log time, in the present parameter draw
	unloaded         float64                 // work without neighbours, in the present parameter draw
}

// simulation estimates one plan: for each draw of what is not known it plays a number of runs.
type simulation struct {
	*draws
	plan    *Plan
	fleet   *Fleet
	order   []int // of the steps
	steps   []assignedStep
	loads   [][]setLoad // by step and set
	factors factors
	finish  []float64 // by step, in the present run
	times   []float64 // of the plan, by run
	samples samples
	// What is not known of waiting and of the shifts, by parameter draw.
	waitNormals, shiftNormals *[parameterDraws]float64
}

// samples are the figures of all parameter draws.
type samples struct {
	times           []float64
	p50, p95, p99   []float64
	withinObjective []float64
	staleness       []float64
	primaryFraction []float64
	displacedWeight []float64
	workByKind      map[string][]float64
}

// estimatePlan answers for one plan, which was validated.
func (d *draws) estimatePlan(now float64, p *Plan, f *Fleet) PlanEstimate {
	out := PlanEstimate{Name: p.Name, Work: map[string]Interval{}, AgeMillis: d.age}
	order, _ := p.check()
	random := rand.New(rand.NewPCG(1, uint64(len(f.Hosts)))) // the same for all plans: what they have in common is drawn alike
	steps, err := d.estimator.assignSteps(now, p, f, random)
	var unavailable *NoEstimateError
	if errors.As(err, &unavailable) {
		copied := *unavailable
		out.Unavailable = &copied
		return out
	}
	s := &simulation{
		draws:  d,
		plan:   p,
		fleet:  f,
		order:  order,
		steps:  steps,
		loads:  make([][]setLoad, len(steps)),
		finish: make([]float64, len(steps)),
		times:  make([]float64, runDraws),
	}
	s.samples.workByKind = map[string][]float64{}
	out.MaxShift = s.prepareLoads()
	normals := d.stratifiedNormals(2)
	s.waitNormals, s.shiftNormals = &normals[0], &normals[1]
	for u := range parameterDraws {
		s.drawParameters(u)
	}
	s.summarize(&out)
	return out
}

// prepareLoads fills the loads of all sets, and returns how far one source can have moved any of them; -1: no bound.
func (s *simulation) prepareLoads() (maxShift float64) {
	e := s.estimator
	for i := range s.steps {
		step := &s.steps[i]
		for j := range step.sets {
			set := &step.sets[j]
			set.kindIndex = e.full.kinds[set.kind]
			load := setLoad{
				key:   effectKey{step.class, set.kindIndex, step.step.Statement},
				terms: [4]float64{1, step.logSize, math.Log1p(set.inflight), 0},
			}
			if set.warmingUp {
				load.terms[termWarmUp] = 1
			}
			var moved float64
			load.shift, load.shiftOpen, moved = s.robustShift(load.key, step.step.Class, set.kind, load.terms)
			if moved < 0 || maxShift < 0 {
				maxShift = -1
			} else {
				maxShift = max(maxShift, moved)
			}
			load.wait, load.waitSpread, load.waitObservations = e.estimateWait(set.kind, set.inflight)
			s.drawSlowest(set, &load)
			s.drawPair(load.key)
			s.factors.add(s.draws, step, set, load.key, load.terms, load.wait, load.waitObservations)
			s.loads[i] = append(s.loads[i], load)
		}
	}
	return maxShift
}

// drawSlowest draws, for each run, how far the slowest of a set's parts is from their mean.
func (s *simulation) drawSlowest(set *hostSet, load *setLoad) {
	for a := range replicaDraws {
		n := set.parts[a]
		if n == 0 {
			continue
		}
		load.slowest[a] = make([]float64, runDraws)
		for r := range runDraws {
			load.slowest[a][r] = distuv.UnitNormal.Quantile(math.Pow((s.random.Float64()*0.9999)+0.00005, 1/float64(n)))
		}
	}
}

// drawParameters plays all runs of one draw of what is not known, and takes in its figures.
func (s *simulation) drawParameters(u int) {
	replica := u % replicaDraws
	workByKind := map[string]float64{}
	var primaryWork, primaryCapacity float64
	for i := range s.steps {
		step := &s.steps[i]
		for j := range s.loads[i] {
			load, set := &s.loads[i][j], &step.sets[j]
			s.evaluateLoad(u, step, set, load)
			n := float64(set.parts[replica])
			if n == 0 {
				continue
			}
			work := s.drawWork(u, step, load, n)
			workByKind[set.kind] += work
			if set.primary {
				primaryWork += work
				primaryCapacity += n * set.capacity
			}
		}
	}
	staleness := s.playRuns(replica)
	s.takeTimes(staleness)
	s.takeHosts(replica, primaryWork, primaryCapacity, workByKind)
}

// evaluateLoad sets a load's mean, sigma and unloaded work for a draw.
func (s *simulation) evaluateLoad(u int, step *assignedStep, set *hostSet, load *setLoad) {
	f := s.estimator.full
	common, firstSlope := s.common[u], len(f.classes)+len(f.kinds)
	own, _ := s.drawStatement(statementKey{step.class, step.step.Statement})
	noise := s.noise[step.class][u]
	unloaded := common[step.class] + common[len(f.classes)+set.kindIndex] + own[u][0] + s.pairDraws[load.key][u] +
		(common[firstSlope]+own[u][1])*(step.logSize-f.centreSize) + load.shift + load.shiftOpen*s.shiftNormals[u]
	busy := unloaded + common[firstSlope+1]*load.terms[termConcurrency] + common[firstSlope+2]*load.terms[termWarmUp]
	load.mean, load.sigma = busy, math.Sqrt(noise)
	if load.wait > 0 {
		wait := load.wait * math.Exp(s.waitNormals[u]*math.Sqrt(load.waitSpread/max(1, load.waitObservations)))
		mean := math.Exp(busy + noise/2)
		variance := mean*mean*math.Expm1(noise) + load.waitSpread*wait*wait
		logVariance := math.Log1p(variance / ((mean + wait) * (mean + wait)))
		load.mean, load.sigma = math.Log(mean+wait)-logVariance/2, math.Sqrt(logVariance)
	}
	load.unloaded = math.Exp(min(unloaded+noise/2, maxLogMillis))
}

// drawWork draws the sum of the work of n parts.
func (s *simulation) drawWork(u int, step *assignedStep, load *setLoad, n float64) float64 {
	logVariance := math.Log1p(math.Expm1(s.noise[step.class][u]) / n)
	return n * load.unloaded * math.Exp(s.random.NormFloat64()*math.Sqrt(logVariance)-logVariance/2)
}

// playRuns sets the times of the plan in all runs, and returns how old the oldest data is that a replica serves.
func (s *simulation) playRuns(replica int) (staleness float64) {
	for r := range runDraws {
		total := 0.0
		for _, i := range s.order {
			begin := 0.0
			for _, j := range s.steps[i].waitsFor {
				begin = max(begin, s.finish[j])
			}
			took := s.slowestPart(i, replica, r)
			if r == 0 || r == runDraws/2 {
				staleness = max(staleness, s.steps[i].staleness(replica, took))
			}
			s.finish[i] = begin + took
			total = max(total, s.finish[i])
		}
		s.times[r] = total
	}
	return staleness
}

// slowestPart is how long a step takes in a run.
func (s *simulation) slowestPart(step, replica, run int) float64 {
	slowest := math.Inf(-1)
	for j := range s.loads[step] {
		if load := &s.loads[step][j]; load.slowest[replica] != nil {
			slowest = max(slowest, load.mean+load.sigma*load.slowest[replica][run])
		}
	}
	return math.Exp(min(slowest, maxLogMillis))
}

// staleness is how old the data is that replicas serve to a step that takes so long; 0 where none serves it.
func (s *assignedStep) staleness(replica int, took float64) (millis float64) {
	for _, set := range s.sets {
		if !set.primary && set.parts[replica] > 0 {
			millis = max(millis, set.maxLagMillis+took)
		}
	}
	return millis
}

// takeTimes takes in the times of a draw's runs, which it sorts.
func (s *simulation) takeTimes(staleness float64) {
	to := &s.samples
	to.times = append(to.times, s.times...)
	slices.Sort(s.times)
	to.p50 = append(to.p50, quantile(s.times, 0.5))
	to.p95 = append(to.p95, quantile(s.times, 0.95))
	to.p99 = append(to.p99, quantile(s.times, 0.99))
	within, _ := slices.BinarySearch(s.times, math.Nextafter(s.plan.ObjectiveMillis, math.Inf(1)))
	to.withinObjective = append(to.withinObjective, float64(within)/runDraws)
	to.staleness = append(to.staleness, staleness)
}

// takeHosts takes in what a draw does to the hosts. The draw's times are sorted.
func (s *simulation) takeHosts(replica int, primaryWork, primaryCapacity float64, workByKind map[string]float64) {
	to := &s.samples
	window := quantile(s.times, 0.5)
	if primaryCapacity > 0 {
		to.primaryFraction = append(to.primaryFraction, primaryWork/(primaryCapacity*window))
	} else {
		to.primaryFraction = append(to.primaryFraction, 0)
	}
	displaced := 0.0
	for i := range s.steps {
		for j := range s.loads[i] {
			if set := &s.steps[i].sets[j]; set.parts[replica] > 0 {
				displaced += float64(set.parts[replica]) * s.fleet.displacedWeight(s.loads[i][j].unloaded-set.freeCapacity*window, window)
			}
		}
	}
	to.displacedWeight = append(to.displacedWeight, displaced)
	for _, kind := range kindsOf(s.steps) {
		to.workByKind[kind] = append(to.workByKind[kind], workByKind[kind])
	}
}

// summarize makes intervals of the samples.
func (s *simulation) summarize(out *PlanEstimate) {
	from := &s.samples
	out.medians = slices.Clone(from.p50)
	for _, sample := range [][]float64{from.times, from.p50, from.p95, from.p99, from.withinObjective, from.staleness, from.primaryFraction, from.displacedWeight} {
		slices.Sort(sample)
	}
	dominant := s.factors.forTime()
	out.Time = intervalOf(from.times, s.factors.forRun())
	out.P50, out.P95, out.P99 = intervalOf(from.p50, dominant), intervalOf(from.p95, dominant), intervalOf(from.p99, dominant)
	for kind, sample := range from.workByKind {
		slices.Sort(sample)
		out.Work[kind] = intervalOf(sample, s.factors.forKind(kind))
	}
	out.Primary = intervalOf(from.primaryFraction, s.factors.forPrimary())
	out.DisplacedWeight = intervalOf(from.displacedWeight, s.factors.forCapacity(s.steps))
	out.StalenessMillis = intervalOf(from.staleness, s.factors.forStaleness(s.steps))
	if s.plan.ObjectiveMillis > 0 {
		within := intervalOf(from.withinObjective, dominant)
		out.WithinObjective = &within
	}
}

// kindsOf are the kinds of hosts that steps use, each once.
func kindsOf(steps []assignedStep) (kinds []string) {
	for i := range steps {
		for j := range steps[i].sets {
			if kind := steps[i].sets[j].kind; !slices.Contains(kinds, kind) {
				kinds = append(kinds, kind)
			}
		}
	}
	return kinds
}
