package cost

import (
	"cmp"
	"fmt"
	"math"
)

// Demand is what a tenant asks of a statement.
type Demand struct {
	Statement Fingerprint `json:"statement"`
	Class     string      `json:"class"`
	Rate      float64     `json:"rate"` // requests a second
	Rows      float64     `json:"rows"`
	Bytes     float64     `json:"bytes"`
	Write     bool        `json:"write"`           // runs at the primary, and is applied by every replica
	Fresh     bool        `json:"fresh,omitempty"` // a read that the primary alone serves
	Aim       float64     `json:"aim"`             // milliseconds; 0: none
}

// Tenant is a tenant's load.
type Tenant struct {
	Name    string   `json:"name"`
	Demands []Demand `json:"demands"`
}

// room is the share of a host's capacity that may be planned with: nine tenths, as with reads at the primary; the rest
// is for writes and for what varies.
const room = 0.9

// Bearing is what a host would bear. Needed and Free are in requests worked on at once.
type Bearing struct {
	Host   string  `json:"host"`
	Kind   string  `json:"kind"`
	Needed Figure  `json:"needed"`
	Free   float64 `json:"free"`
	Fits   bool    `json:"fits"`
}

// Verdict says whether hosts can bear a tenant.
type Verdict struct {
	Fits   bool      `json:"fits"`
	Reason string    `json:"reason"`
	Hosts  []Bearing `json:"hosts"`
}

// expect is the mean work of a statement at a kind of host, in milliseconds: it alone, and with others there.
func (d *drawn) expect(class, kind string, s Fingerprint, rows, bytes, inflight float64) (Figure, float64, error) {
	f := d.e.full
	c, ok := f.classes[class]
	if !ok {
		err := &UnknownStatement{s, class}
		return Figure{}, 0, &CantTell{err.Error(), err}
	}
	k, ok := f.kinds[kind]
	if !ok {
		return Figure{}, 0, &CantTell{Reason: fmt.Sprintf("no evidence of kind %q", kind)}
	}
	at := pairKey{c, k, s}
	x := [4]float64{1, sizeOf(rows, bytes), math.Log1p(inflight), 0}
	shift, doubt, _ := d.hold(at, class, kind, x)
	x[size] -= f.centre
	mean, open := d.effect(at).at(x)
	mean, open = mean+shift, open+doubt*doubt+d.e.Widening(d.age)
	sd, half := math.Sqrt(open), f.noise[c]/2
	h := hinges{}
	h.add(d, &stage{step: &Step{Name: class, Class: class, Statement: s}}, &share{kind: kind}, at,
		[4]float64{1, sizeOf(rows, bytes), math.Log1p(inflight), 0}, 0, 0)
	return Figure{math.Exp(mean + half), math.Exp(mean + half - 1.96*sd), math.Exp(mean + half + 1.96*sd), h.time()}, math.Sqrt(f.noise[c] + open), nil
}

func (e *Estimator) ready(now float64) (*drawn, error) {
	if e.err != nil {
		return nil, e.err
	}
	if e.full == nil {
		return nil, &CantTell{Reason: "there is no evidence at all"}
	}
	return &drawn{e: e, age: max(0, now-e.v.At), effects: map[pairKey]*effect{}, byBlock: map[pairKey][]effect{}}, nil
}

// Work is the mean work of a statement at a kind of host with others there, in milliseconds, and how far one source's
// false evidence can have moved the logarithm of its median; -1: no bound.
func (e *Estimator) Work(now float64, class, kind string, s Fingerprint, rows, bytes, inflight float64) (mean Figure, moved float64, err error) {
	d, err := e.ready(now)
	if err != nil {
		return Figure{}, 0, err
	}
	if mean, _, err = d.expect(class, kind, s, rows, bytes, inflight); err != nil {
		return Figure{}, 0, err
	}
	k := pairKey{e.full.classes[class], e.full.kinds[kind], s}
	_, _, moved = d.hold(k, class, kind, [4]float64{1, sizeOf(rows, bytes), math.Log1p(inflight), 0})
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
func (e *Estimator) Fits(now float64, t Tenant, hosts []Host) (Verdict, error) {
	d, err := e.ready(now)
	if err != nil {
		return Verdict{}, err
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
		return Verdict{Reason: "no primary among the hosts"}, nil
	}
	v := Verdict{Fits: true}
	worst := math.Inf(-1)
	for _, h := range hosts {
		b := Bearing{Host: h.Name, Kind: h.Kind, Free: h.Capacity*room - h.Load}
		widest := 0.0
		for _, q := range t.Demands {
			share := 1.0
			switch {
			case q.Write:
			case q.Fresh || replicas == 0:
				if !h.Primary {
					share = 0
				}
			case h.Primary:
				share = 0
			default:
				share = 1 / float64(replicas)
			}
			if share == 0 || q.Rate <= 0 {
				continue
			}
			w, _, err := d.expect(q.Class, h.Kind, q.Statement, q.Rows, q.Bytes, 0)
			if err != nil {
				return Verdict{}, err
			}
			by := q.Rate * share / 1e3
			b.Needed.Mid += w.Mid * by
			b.Needed.Low += w.Low * by // the ends add up as if all erred to the same side: not too narrow
			b.Needed.High += w.High * by
			if (w.High-w.Low)*by > widest {
				widest, b.Needed.Hinge = (w.High-w.Low)*by, w.Hinge
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

// PaceAnswer is how fast a copy may run.
type PaceAnswer struct {
	Rows   float64 `json:"rows"` // a second; 0: not now
	Extra  float64 `json:"extra"`
	Work   Figure  `json:"work"` // of one batch at the slowest host, in milliseconds
	Reason string  `json:"reason"`
}

// Pace is how many rows a second a copy may bring to, or read at, hosts without taking aims of what is served there: a
// host keeps a tenth of its capacity, and 99 of 100 requests of each demand stay within their aim with the copy's
// batches as neighbours. served is what these hosts serve.
func (e *Estimator) Pace(now float64, c Copy, served []Demand, hosts []Host) (PaceAnswer, error) {
	d, err := e.ready(now)
	if err != nil {
		return PaceAnswer{}, err
	}
	if len(hosts) == 0 {
		return PaceAnswer{}, &CantTell{Reason: "no host is named"}
	}
	out := PaceAnswer{Rows: math.Inf(1)}
	for _, h := range hosts {
		extra := max(0, h.Capacity*room-h.Load)
		why := fmt.Sprintf("host %s has room for %.2f requests at once", h.Name, extra)
		for _, q := range served {
			if q.Aim <= 0 {
				continue
			}
			late := func(more float64) (bool, error) {
				inflight := float64(h.Inflight) + more
				w, sd, err := d.expect(q.Class, h.Kind, q.Statement, q.Rows, q.Bytes, inflight)
				wait, spread, _ := e.wait(h.Kind, inflight)
				noise := sd * sd
				mid := math.Log(w.Mid) - e.full.noise[e.full.classes[q.Class]]/2
				return math.Exp(mid+2.33*math.Sqrt(noise))+wait*(1+2.33*math.Sqrt(spread)) > q.Aim, err
			}
			over, err := late(extra)
			if err != nil {
				return PaceAnswer{}, err
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
			why = fmt.Sprintf("class %q at host %s would not keep its aim of %.0f ms beside more than %.2f of the copy's requests", q.Class, h.Name, q.Aim, extra)
		}
		w, _, err := d.expect(c.Class, h.Kind, c.Statement, c.Batch, c.Batch*c.RowBytes, float64(h.Inflight)+extra)
		if err != nil {
			return PaceAnswer{}, err
		}
		if rows := extra / w.High * 1e3 * c.Batch; rows < out.Rows {
			out = PaceAnswer{rows, extra, w, why}
		}
	}
	return out, nil
}

// Move is what is left of a move when writes stop at its source.
type Move struct {
	Longest []Demand `json:"longest"` // writes that may be under way there
	Copy    Copy     `json:"copy"`
	Left    float64  `json:"left"`   // rows that the target lacks
	Agree   Figure   `json:"agree"`  // milliseconds that the change of owner takes, as was seen
	Source  Host     `json:"source"` // its primary
	Target  Host     `json:"target"` // its primary
}

// Pause forecasts for how long a tenant's writes are held: until those under way end, what is left is copied, and the
// change of owner is known. In milliseconds.
func (e *Estimator) Pause(now float64, m Move) (Figure, error) {
	d, err := e.ready(now)
	if err != nil {
		return Figure{}, err
	}
	drain := Figure{}
	for _, q := range m.Longest {
		w, sd, err := d.expect(q.Class, m.Source.Kind, q.Statement, q.Rows, q.Bytes, float64(m.Source.Inflight))
		if err != nil {
			return Figure{}, err
		}
		mid := w.Mid * math.Exp(-e.full.noise[e.full.classes[q.Class]]/2)
		if high := mid * math.Exp(1.96*sd); high > drain.High {
			drain = Figure{mid / 2, 0, high, w.Hinge} // it may be anywhere in its run
		}
	}
	out := Figure{drain.Mid + m.Agree.Mid, drain.Low + m.Agree.Low, drain.High + m.Agree.High, drain.Hinge}
	widest := drain.High - drain.Low
	if m.Left > 0 {
		batch := max(1, min(m.Copy.Batch, m.Left))
		n := math.Ceil(m.Left / batch)
		for _, h := range []Host{m.Source, m.Target} { // read, then written: one batch after the other
			w, sd, err := d.expect(m.Copy.Class, h.Kind, m.Copy.Statement, batch, batch*m.Copy.RowBytes, float64(h.Inflight))
			if err != nil {
				return Figure{}, err
			}
			wait, spread, _ := e.wait(h.Kind, float64(h.Inflight))
			noise := e.full.noise[e.full.classes[m.Copy.Class]]
			open := sd*sd - noise + math.Log1p(math.Expm1(noise)/n) // runs average out, what is not known does not
			high := n * (w.Mid*math.Exp(1.96*math.Sqrt(open)) + wait*(1+1.96*math.Sqrt(spread/n)))
			low := n * (w.Mid*math.Exp(-1.96*math.Sqrt(open)) + max(0, wait*(1-1.96*math.Sqrt(spread/n))))
			out.Mid, out.Low, out.High = out.Mid+n*(w.Mid+wait), out.Low+low, out.High+high
			if high-low > widest {
				widest, out.Hinge = high-low, w.Hinge
			}
		}
	}
	if m.Agree.High-m.Agree.Low > widest {
		out.Hinge = cmp.Or(m.Agree.Hinge, "how long the change of owner takes")
	}
	return out, nil
}
