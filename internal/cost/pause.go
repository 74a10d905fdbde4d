package cost

import (
	"cmp"
	"math"
)

// normalQuantile975 bounds 95 of 100 values of a standard normal distribution on both sides.
const normalQuantile975 = 1.96

// Migration is what is left of a migration when writes stop at its source.
type Migration struct {
	RunningWrites []Demand `json:"longest"` // writes that may be under way at the source
	Copy          Copy     `json:"copy"`
	RemainingRows float64  `json:"left"`   // that the target lacks
	OwnerChange   Interval `json:"agree"`  // milliseconds that the change of the serving group takes, as was observed
	Source        Host     `json:"source"` // its primary
	Target        Host     `json:"target"` // its primary
}

// Pause forecasts for how long a tenant's writes are paused: until those under way end, what remains is copied, and the
// change of the serving group is known. In milliseconds.
func (e *Estimator) Pause(now float64, m Migration) (Interval, error) {
	d, err := e.newDraws(now)
	if err != nil {
		return Interval{}, err
	}
	drain, err := d.drainTime(&m)
	if err != nil {
		return Interval{}, err
	}
	out := Interval{drain.Mid + m.OwnerChange.Mid, drain.Low + m.OwnerChange.Low, drain.High + m.OwnerChange.High, drain.DominantFactor}
	widest := drain.High - drain.Low
	if m.RemainingRows > 0 {
		for _, h := range []*Host{&m.Source, &m.Target} { // read, then written: one batch after the other
			copying, err := d.copyTime(&m, h)
			if err != nil {
				return Interval{}, err
			}
			out.Mid, out.Low, out.High = out.Mid+copying.Mid, out.Low+copying.Low, out.High+copying.High
			if copying.High-copying.Low > widest {
				widest, out.DominantFactor = copying.High-copying.Low, copying.DominantFactor
			}
		}
	}
	if m.OwnerChange.High-m.OwnerChange.Low > widest {
		out.DominantFactor = cmp.Or(m.OwnerChange.DominantFactor, "how long the change of owner takes")
	}
	return out, nil
}

// drainTime is how long writes under way run on.
func (d *draws) drainTime(m *Migration) (drain Interval, err error) {
	e := d.estimator
	for i := range m.RunningWrites {
		q := &m.RunningWrites[i]
		work, sd, err := d.meanWork(q.Class, m.Source.Kind, q.Statement, q.Rows, q.Bytes, float64(m.Source.Inflight))
		if err != nil {
			return Interval{}, err
		}
		median := work.Mid * math.Exp(-e.full.noise[e.full.classes[q.Class]]/2)
		if high := median * math.Exp(normalQuantile975*sd); high > drain.High {
			drain = Interval{median / 2, 0, high, work.DominantFactor} // it may be anywhere in its run
		}
	}
	return drain, nil
}

// copyTime is how long the remaining rows take at one host.
func (d *draws) copyTime(m *Migration, h *Host) (Interval, error) {
	e := d.estimator
	batch := max(1, min(m.Copy.Batch, m.RemainingRows))
	n := math.Ceil(m.RemainingRows / batch)
	work, sd, err := d.meanWork(m.Copy.Class, h.Kind, m.Copy.Statement, batch, batch*m.Copy.RowBytes, float64(h.Inflight))
	if err != nil {
		return Interval{}, err
	}
	wait, spread, _ := e.estimateWait(h.Kind, float64(h.Inflight))
	noise := e.full.noise[e.full.classes[m.Copy.Class]]
	variance := sd*sd - noise + math.Log1p(math.Expm1(noise)/n) // runs average out, what is not known does not
	high := n * (work.Mid*math.Exp(normalQuantile975*math.Sqrt(variance)) + wait*(1+normalQuantile975*math.Sqrt(spread/n)))
	low := n * (work.Mid*math.Exp(-normalQuantile975*math.Sqrt(variance)) + max(0, wait*(1-normalQuantile975*math.Sqrt(spread/n))))
	return Interval{n * (work.Mid + wait), low, high, work.DominantFactor}, nil
}
