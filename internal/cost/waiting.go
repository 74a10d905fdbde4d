package cost

import "slices"

// maxWaitSpread bounds the square of the relative spread of waiting.
const maxWaitSpread = 100

// anyKind stands for all kinds of hosts together.
const anyKind = ""

// waitModel is how waiting grows with the requests at a host.
type waitModel struct {
	base, perRequest float64 // of the mean
	spread           float64 // square of the relative spread
	observations     float64
}

func (w waitModel) mean(inflight float64) float64 { return max(0, w.base+w.perRequest*inflight) }

// fitWaits fits waiting by kind, of one block or (below 0) all.
func fitWaits(waits []Wait, block int) map[string]waitModel {
	sums := map[string][6]float64{}
	for i := range waits {
		w := &waits[i]
		if block >= 0 && w.Block != block {
			continue
		}
		for _, kind := range []string{w.Kind, anyKind} {
			sum := sums[kind]
			for j := range sum {
				sum[j] += w.Sums[j]
			}
			sums[kind] = sum
		}
	}
	models := map[string]waitModel{}
	for kind, sum := range sums {
		if sum[0] > 0 {
			models[kind] = fitWait(sum)
		}
	}
	return models
}

// fitWait fits a line to the sums of a Wait.
func fitWait(sums [6]float64) waitModel {
	n, x, xx, y, xy, yy := sums[0], sums[1], sums[2], sums[3], sums[4], sums[5]
	w := waitModel{base: y / n, observations: n}
	if d := xx - x*x/n; d > 1e-9 {
		w.perRequest = max(0, (xy-x*y/n)/(d+1)) // one more observation that says nothing of growth
		w.base = (y - w.perRequest*x) / n
	}
	square := w.base*w.base*n + 2*w.base*w.perRequest*x + w.perRequest*w.perRequest*xx
	if rest := yy - 2*w.base*y - 2*w.perRequest*xy + square; square > 1e-9 {
		w.spread = max(0, rest) / square
	}
	return w
}

// waitOf returns the model of a kind, or of all kinds where it is not known.
func waitOf(models map[string]waitModel, kind string) (waitModel, bool) {
	if w, known := models[kind]; known {
		return w, true
	}
	w, known := models[anyKind]
	return w, known
}

// estimateWait returns what is known of waiting before a kind of host; from three blocks on their median, so one source
// moves it no further than to the next one's.
func (e *Estimator) estimateWait(kind string, inflight float64) (mean, spread, observations float64) {
	all, known := waitOf(e.waits[0], kind)
	if !known {
		return 0, 0, 0
	}
	mean, spread, observations = all.mean(inflight), all.spread, all.observations
	if e.robust {
		var means, spreads []float64
		for _, models := range e.waits[1:] {
			if w, known := waitOf(models, kind); known {
				means, spreads = append(means, w.mean(inflight)), append(spreads, w.spread)
			}
		}
		if len(means) > 2 {
			slices.Sort(means)
			slices.Sort(spreads)
			mean, spread = means[len(means)/2], spreads[len(spreads)/2]
		}
	}
	return mean, min(spread, maxWaitSpread), observations
}
