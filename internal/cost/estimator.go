package cost

import (
	"cmp"
	"math"
	"slices"
)

// Estimator estimates from one snapshot. It never changes, so it is safe for concurrent use.
type Estimator struct {
	snapshot Snapshot // without its cells and waits
	full     *fit     // nil: there is no evidence
	blocks   []*fit
	waits    []map[string]waitModel // of all, then of each block
	err      error
	robust   bool // there are blocks enough to check sources against each other
}

// minBlocks is the least number of blocks whose median one source can't move at will.
const minBlocks = 3

// NewEstimator makes an estimator of a snapshot. One of a snapshot whose digest does not match estimates nothing.
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
	if e.robust = v.Blocks >= minBlocks; e.robust {
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

// Version names the evidence that the estimator has.
func (e *Estimator) Version() (token uint64, digest [32]byte) {
	return e.snapshot.Token, e.snapshot.Digest
}

// Estimate answers from what the model has now. The fit is made anew once an eighth more was observed.
func (m *Model) Estimate(now float64, p Plan, f Fleet) (PlanComparison, error) {
	return m.Estimator(now).Estimate(now, p, f)
}

// Estimator returns one of what the model has now, at most an eighth of the evidence behind.
func (m *Model) Estimator(now float64) *Estimator {
	if m.estimator == nil || m.changes-m.estimatorChanges > max(16, m.estimatorChanges/8) || now-m.estimator.snapshot.At > m.options.Span/8 {
		m.estimator, m.estimatorChanges = NewEstimator(m.Publish(m.sequence, now), now), m.changes
	}
	return m.estimator
}

// Widening is the variance that evidence of an age, in milliseconds, adds to that of log work: the work of a statement
// wanders, so what is known of it is off by Drift (one standard deviation) after one Span, growing with the root of time.
func (e *Estimator) Widening(age float64) float64 {
	if e.snapshot.disabledGuarantee == guaranteeAge {
		return 0
	}
	return e.snapshot.Drift * e.snapshot.Drift * max(0, age) / e.snapshot.Span
}

// Estimate answers for a plan and its alternatives. The error is a *CycleError or *InvalidPlanError where a plan is
// impossible, *InvalidEvidenceError where the snapshot is, *NoEstimateError where no plan can be estimated.
func (e *Estimator) Estimate(now float64, p Plan, f Fleet) (PlanComparison, error) {
	if e.err != nil {
		return PlanComparison{}, e.err
	}
	if err := p.Validate(); err != nil {
		return PlanComparison{}, err
	}
	if e.full == nil {
		return PlanComparison{}, errNoEvidence()
	}
	if now < e.snapshot.At-1 { // its evidence is of the future
		now = e.snapshot.At
	}
	d := e.draw(now, uint64(len(f.Hosts)))
	c := PlanComparison{Token: e.snapshot.Token}
	for _, q := range append([]Plan{p}, p.Alternatives...) {
		c.Plans = append(c.Plans, d.estimatePlan(now, &q, &f))
	}
	for i := range c.Plans {
		if c.Plans[i].Unavailable == nil {
			c.Order = append(c.Order, i)
		}
	}
	if len(c.Order) == 0 {
		return c, c.Plans[0].Unavailable
	}
	slices.SortStableFunc(c.Order, func(i, j int) int { return cmp.Compare(c.Plans[i].P50.Mid, c.Plans[j].P50.Mid) })
	c.comparePlans()
	return c, nil
}

// comparePlans sets FasterProbability: the draws in which one plan's median is less than another's, ties counting half.
func (c *PlanComparison) comparePlans() {
	c.FasterProbability = make([][]float64, len(c.Plans))
	for i := range c.Plans {
		c.FasterProbability[i] = make([]float64, len(c.Plans))
		for j := range c.Plans {
			x, y := c.Plans[i].medians, c.Plans[j].medians
			if x == nil || y == nil {
				continue
			}
			for u := range x {
				if x[u] < y[u] {
					c.FasterProbability[i][j] += 1.0 / parameterDraws
				} else if x[u] == y[u] {
					c.FasterProbability[i][j] += 0.5 / parameterDraws
				}
			}
		}
	}
}

// intervalOf takes the ends of the middle 95 % of sorted draws.
func intervalOf(sorted []float64, dominant string) Interval {
	return Interval{quantile(sorted, 0.5), quantile(sorted, 0.025), quantile(sorted, 0.975), dominant}
}

// quantile interpolates between the two nearest of sorted values.
func quantile(sorted []float64, p float64) float64 {
	x := p*float64(len(sorted)) - 0.5
	i := int(math.Floor(x))
	switch {
	case i < 0:
		return sorted[0]
	case i+1 >= len(sorted):
		return sorted[len(sorted)-1]
	}
	weight := x - float64(i)
	return sorted[i]*(1-weight) + sorted[i+1]*weight
}
