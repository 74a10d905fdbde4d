package cost

import (
	"cmp"
	"fmt"
	"math"
)

// Demand is what a tenant asks of a statement.
type Demand struct {
	Statement         Fingerprint `json:"statement"`
	Class             string      `json:"class"`
	RequestsPerSecond float64     `json:"rate"` // requests a second
	Rows              float64     `json:"rows"`
	Bytes             float64     `json:"bytes"`
	Write             bool        `json:"write"`           // runs at the primary, and is applied by every replica
	PrimaryOnly       bool        `json:"fresh,omitempty"` // a read that the primary alone serves
	ObjectiveMillis   float64     `json:"aim"`             // milliseconds; 0: none
}

// Tenant is a tenant's load.
type Tenant struct {
	Name    string   `json:"name"`
	Demands []Demand `json:"demands"`
}

// usableCapacity is the share of a host's capacity that may be planned with: nine tenths, as with reads at the primary; the rest
// is for writes and for what varies.
const usableCapacity = 0.9

// HostFit is what a host would bear. Needed and Free are in requests worked on at once.
type HostFit struct {
	Host   string   `json:"host"`
	Kind   string   `json:"kind"`
	Needed Interval `json:"needed"`
	Free   float64  `json:"free"`
	Fits   bool     `json:"fits"`
}

// PlacementResult says whether hosts can bear a tenant.
type PlacementResult struct {
	Fits   bool      `json:"fits"`
	Reason string    `json:"reason"`
	Hosts  []HostFit `json:"hosts"`
}

// meanWork is the mean work of a statement at a kind of host, in milliseconds: it alone, and with others there.
func (d *draws) meanWork(class, kind string, s Fingerprint, rows, bytes, inflight float64) (Interval, float64, error) {
	f := d.estimator.full
	c, ok := f.classes[class]
	if !ok {
		err := &UnknownStatementError{s, class}
		return Interval{}, 0, &NoEstimateError{err.Error(), err}
	}
	k, ok := f.kinds[kind]
	if !ok {
		return Interval{}, 0, &NoEstimateError{Reason: fmt.Sprintf("no evidence of kind %q", kind)}
	}
	at := effectKey{c, k, s}
	x := [4]float64{1, logSize(rows, bytes), math.Log1p(inflight), 0}
	shift, doubt, _ := d.robustShift(at, class, kind, x)
	x[termSize] -= f.centreSize
	mean, open := d.effect(at).evaluate(x)
	mean, open = mean+shift, open+doubt*doubt+d.estimator.Widening(d.age)
	sd, half := math.Sqrt(open), f.noise[c]/2
	h := factors{}
	h.add(d, &placedStep{step: &Step{Name: class, Class: class, Statement: s}}, &hostShare{kind: kind}, at,
		[4]float64{1, logSize(rows, bytes), math.Log1p(inflight), 0}, 0, 0)
	return Interval{math.Exp(mean + half), math.Exp(mean + half - 1.96*sd), math.Exp(mean + half + 1.96*sd), h.forTime()}, math.Sqrt(f.noise[c] + open), nil
}

func (e *Estimator) newDraws(now float64) (*draws, error) {
	if e.err != nil {
		return nil, e.err
	}
	if e.full == nil {
		return nil, &NoEstimateError{Reason: "there is no evidence at all"}
	}
	return &draws{estimator: e, age: max(0, now-e.snapshot.At), effects: map[effectKey]*effect{}, blockEffects: map[effectKey][]effect{}}, nil
}

// MeanWork is the mean work of a statement at a kind of host with others there, in milliseconds, and how far one source's
// false evidence can have moved the logarithm of its median; -1: no bound.
func (e *Estimator) MeanWork(now float64, class, kind string, s Fingerprint, rows, bytes, inflight float64) (mean Interval, moved float64, err error) {
	d, err := e.newDraws(now)
	if err != nil {
		return Interval{}, 0, err
	}
	if mean, _, err = d.meanWork(class, kind, s, rows, bytes, inflight); err != nil {
		return Interval{}, 0, err
	}
	k := effectKey{e.full.classes[class], e.full.kinds[kind], s}
	_, _, moved = d.robustShift(k, class, kind, [4]float64{1, logSize(rows, bytes), math.Log1p(inflight), 0})
	return mean, moved, nil
}

// Noise is the factor by which a class's work varies from run to run, one standard deviation of its logarithm.
func (e *Estimator) Noise(class string) float64 {
	if e.full == nil {
		return math.NaN()
	}
	c, ok := e.full.classes[class]
	if !ok {
		return math.NaN()
	}
	return math.Sqrt(e.full.noise[c])
}

// Fits says whether hosts, one group's, can bear a tenant's load beside what they have: the upper end of what it needs
// must be within nine tenths of a host's capacity, less what is taken. Its reads are spread over the replicas evenly.
func (e *Estimator) Fits(now float64, t Tenant, hosts []Host) (PlacementResult, error) {
	d, err := e.newDraws(now)
	if err != nil {
		return PlacementResult{}, err
	}
	replicas, primaries := 0, 0
	for _, h := range hosts {
		if h.Primary {
			primaries++
		} else {
			replicas++
		}
	}
	if primaries == 0 {
		return PlacementResult{Reason: "no primary among the hosts"}, nil
	}
	v := PlacementResult{Fits: true}
	worst := math.Inf(-1)
	for _, h := range hosts {
		b := HostFit{Host: h.Name, Kind: h.Kind, Free: h.Capacity*usableCapacity - h.Load}
		widest := 0.0
		for _, q := range t.Demands {
			share := 1.0
			switch {
			case q.Write:
			case q.PrimaryOnly || replicas == 0:
				if !h.Primary {
					share = 0
				}
			case h.Primary:
				share = 0
			default:
				share = 1 / float64(replicas)
			}
			if share == 0 || q.RequestsPerSecond <= 0 {
				continue
			}
			w, _, err := d.meanWork(q.Class, h.Kind, q.Statement, q.Rows, q.Bytes, 0)
			if err != nil {
				return PlacementResult{}, err
			}
			by := q.RequestsPerSecond * share / 1e3
			b.Needed.Mid += w.Mid * by
			b.Needed.Low += w.Low * by // the ends add up as if all erred to the same side: not too narrow
			b.Needed.High += w.High * by
			if (w.High-w.Low)*by > widest {
				widest, b.Needed.DominantFactor = (w.High-w.Low)*by, w.DominantFactor
			}
		}
		b.Fits = b.Needed.High <= b.Free
		if over := b.Needed.High - b.Free; over > worst {
			worst = over
			v.Reason = fmt.Sprintf("host %s of kind %q needs %.2f (%.2f to %.2f) requests at once for tenant %q and has %.2f free of %.2f",
				h.Name, h.Kind, b.Needed.Mid, b.Needed.Low, b.Needed.High, t.Name, b.Free, h.Capacity)
		}
		v.Fits = v.Fits && b.Fits
		v.Hosts = append(v.Hosts, b)
	}
	return v, nil
}

// Copy is a copy of rows by a statement, so many rows at a time.
type Copy struct {
	Statement Fingerprint `json:"statement"`
	Class     string      `json:"class"`
	Batch     float64     `json:"batch"`     // rows of one request
	RowBytes  float64     `json:"row_bytes"` // bytes of a row
}

// CopyRate is how fast a copy may run.
type CopyRate struct {
	RowsPerSecond float64  `json:"rows"` // a second; 0: not now
	Concurrency   float64  `json:"extra"`
	Work          Interval `json:"work"` // of one batch at the slowest host, in milliseconds
	Reason        string   `json:"reason"`
}

// MaxCopyRate is how many rows a second a copy may bring to, or read at, hosts without taking aims of what is served there: a
// host keeps a tenth of its capacity, and 99 of 100 requests of each demand stay within their aim with the copy's
// batches as neighbours. served is what these hosts serve.
func (e *Estimator) MaxCopyRate(now float64, c Copy, served []Demand, hosts []Host) (CopyRate, error) {
	d, err := e.newDraws(now)
	if err != nil {
		return CopyRate{}, err
	}
	if len(hosts) == 0 {
		return CopyRate{}, &NoEstimateError{Reason: "no host is named"}
	}
	out := CopyRate{RowsPerSecond: math.Inf(1)}
	for _, h := range hosts {
		extra := max(0, h.Capacity*usableCapacity-h.Load)
		why := fmt.Sprintf("host %s has room for %.2f requests at once", h.Name, extra)
		for _, q := range served {
			if q.ObjectiveMillis <= 0 {
				continue
			}
			late := func(more float64) (bool, error) {
				inflight := float64(h.Inflight) + more
				w, sd, err := d.meanWork(q.Class, h.Kind, q.Statement, q.Rows, q.Bytes, inflight)
				wait, spread, _ := e.estimateWait(h.Kind, inflight)
				noise := sd * sd
				mid := math.Log(w.Mid) - e.full.noise[e.full.classes[q.Class]]/2
				return math.Exp(mid+2.33*math.Sqrt(noise))+wait*(1+2.33*math.Sqrt(spread)) > q.ObjectiveMillis, err
			}
			over, err := late(extra)
			if err != nil {
				return CopyRate{}, err
			}
			if !over {
				continue
			}
			low, high := 0.0, extra
			for range 30 {
				mid := (low + high) / 2
				if over, _ := late(mid); over {
					high = mid
				} else {
					low = mid
				}
			}
			if over, _ := late(0); over {
				low = 0
			}
			extra = low
			why = fmt.Sprintf("class %q at host %s would not keep its aim of %.0f ms beside more than %.2f of the copy's requests", q.Class, h.Name, q.ObjectiveMillis, extra)
		}
		w, _, err := d.meanWork(c.Class, h.Kind, c.Statement, c.Batch, c.Batch*c.RowBytes, float64(h.Inflight)+extra)
		if err != nil {
			return CopyRate{}, err
		}
		if rows := extra / w.High * 1e3 * c.Batch; rows < out.RowsPerSecond {
			out = CopyRate{rows, extra, w, why}
		}
	}
	return out, nil
}

// Migration is what is left of a move when writes stop at its source.
type Migration struct {
	RunningWrites []Demand `json:"longest"` // writes that may be under way there
	Copy          Copy     `json:"copy"`
	RemainingRows float64  `json:"left"`   // rows that the target lacks
	OwnerChange   Interval `json:"agree"`  // milliseconds that the change of owner takes, as was seen
	Source        Host     `json:"source"` // its primary
	Target        Host     `json:"target"` // its primary
}

// Pause forecasts for how long a tenant's writes are held: until those under way end, what is left is copied, and the
// change of owner is known. In milliseconds.
func (e *Estimator) Pause(now float64, m Migration) (Interval, error) {
	d, err := e.newDraws(now)
	if err != nil {
		return Interval{}, err
	}
	drain := Interval{}
	for _, q := range m.RunningWrites {
		w, sd, err := d.meanWork(q.Class, m.Source.Kind, q.Statement, q.Rows, q.Bytes, float64(m.Source.Inflight))
		if err != nil {
			return Interval{}, err
		}
		mid := w.Mid * math.Exp(-e.full.noise[e.full.classes[q.Class]]/2)
		if high := mid * math.Exp(1.96*sd); high > drain.High {
			drain = Interval{mid / 2, 0, high, w.DominantFactor} // it may be anywhere in its run
		}
	}
	out := Interval{drain.Mid + m.OwnerChange.Mid, drain.Low + m.OwnerChange.Low, drain.High + m.OwnerChange.High, drain.DominantFactor}
	widest := drain.High - drain.Low
	if m.RemainingRows > 0 {
		batch := max(1, min(m.Copy.Batch, m.RemainingRows))
		n := math.Ceil(m.RemainingRows / batch)
		for _, h := range []Host{m.Source, m.Target} { // read, then written: one batch after the other
			w, sd, err := d.meanWork(m.Copy.Class, h.Kind, m.Copy.Statement, batch, batch*m.Copy.RowBytes, float64(h.Inflight))
			if err != nil {
				return Interval{}, err
			}
			wait, spread, _ := e.estimateWait(h.Kind, float64(h.Inflight))
			noise := e.full.noise[e.full.classes[m.Copy.Class]]
			open := sd*sd - noise + math.Log1p(math.Expm1(noise)/n) // runs average out, what is not known does not
			high := n * (w.Mid*math.Exp(1.96*math.Sqrt(open)) + wait*(1+1.96*math.Sqrt(spread/n)))
			low := n * (w.Mid*math.Exp(-1.96*math.Sqrt(open)) + max(0, wait*(1-1.96*math.Sqrt(spread/n))))
			out.Mid, out.Low, out.High = out.Mid+n*(w.Mid+wait), out.Low+low, out.High+high
			if high-low > widest {
				widest, out.DominantFactor = high-low, w.DominantFactor
			}
		}
	}
	if m.OwnerChange.High-m.OwnerChange.Low > widest {
		out.DominantFactor = cmp.Or(m.OwnerChange.DominantFactor, "how long the change of owner takes")
	}
	return out, nil
}
