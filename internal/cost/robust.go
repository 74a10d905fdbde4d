package cost

import (
	"math"
	"slices"
)

// minTolerance is how far the estimate from all evidence may be from the median of the blocks' in any case, in log work:
// what a block's own noise moves its estimate by where it knows a statement well.
const minTolerance = 0.05

// medianSpread is by how much the median of n blocks is off, in standard deviations of one block's and times the root of n.
const medianSpread = 1.2533

// robustShift says by how much the estimate from all evidence moves to stay near the median of what the blocks say, what
// that leaves open (one standard deviation: the interval then reaches back to what all evidence said, where a block alone
// may err so far), and how far any one source can have moved the result; -1: no bound. docs/cost.md derives it.
func (d *draws) robustShift(key effectKey, class, kind string, terms [4]float64) (shift, open, moved float64) {
	e := d.estimator
	if !e.robust {
		return 0, 0, -1
	}
	effects := d.effectsByBlock(key, class, kind)
	if len(effects) < len(e.blocks) {
		return 0, 0, -1
	}
	means, spreads := d.evaluateBlocks(effects, terms)
	middle := len(means) / 2
	// Twice the error of the median is room for 95 %.
	width := 2 * medianSpread / math.Sqrt(float64(len(means)))
	tolerance := func(sd float64) float64 { return max(minTolerance, width*sd) }
	moved = max(means[middle+1]-means[middle], means[middle]-means[middle-1]) + tolerance(spreads[middle]) + tolerance(spreads[middle+1])
	if e.snapshot.disabledGuarantee == guaranteeFalse {
		return 0, 0, moved
	}
	centred := terms
	centred[termSize] -= e.full.centreSize
	all, _ := d.effect(key).evaluate(centred)
	allowed := tolerance(spreads[middle])
	shift = min(max(all, means[middle]-allowed), means[middle]+allowed) - all
	return shift, min(math.Abs(shift), 2*spreads[middle]) / normalQuantile975, moved
}

// effectsByBlock returns the effects by the fits of those blocks that know the class and the kind.
func (d *draws) effectsByBlock(key effectKey, class, kind string) []effect {
	if effects, known := d.blockEffects[key]; known {
		return effects
	}
	var effects []effect
	for _, f := range d.estimator.blocks {
		if f == nil {
			continue
		}
		if c, k, observed := f.indexes(class, kind); observed {
			effects = append(effects, f.effectOf(effectKey{c, k, key.statement}))
		}
	}
	d.blockEffects[key] = effects
	return effects
}

// evaluateBlocks returns the means and standard deviations of log work by all blocks, each sorted.
func (d *draws) evaluateBlocks(effects []effect, terms [4]float64) (means, spreads []float64) {
	means, spreads = make([]float64, len(effects)), make([]float64, len(effects))
	for i, f := range d.estimator.blocks {
		centred := terms
		centred[termSize] -= f.centreSize
		var variance float64
		means[i], variance = effects[i].evaluate(centred)
		spreads[i] = math.Sqrt(max(0, variance))
	}
	slices.Sort(means)
	slices.Sort(spreads)
	return means, spreads
}
