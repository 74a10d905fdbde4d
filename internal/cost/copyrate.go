package cost

import (
	"fmt"
	"math"
)

const (
	// normalQuantile99 bounds 99 of 100 values of a standard normal distribution from above.
	normalQuantile99 = 2.33
	// searchSteps is how often the search for the greatest concurrency halves its interval.
	searchSteps = 30
)

// Copy is a copy of rows by a statement, so many rows at a time.
type Copy struct {
	Statement Fingerprint `json:"statement"`
	Class     string      `json:"class"`
	Batch     float64     `json:"batch"`     // rows of one request
	RowBytes  float64     `json:"row_bytes"` // bytes of a row
}

// CopyRate is how fast a copy may run.
type CopyRate struct {
	RowsPerSecond float64  `json:"rows"`  // 0: not now
	Concurrency   float64  `json:"extra"` // requests of the copy at once
	Work          Interval `json:"work"`  // of one batch at the slowest host, in milliseconds
	Reason        string   `json:"reason"`
}

// MaxCopyRate is how many rows a second a copy may bring to, or read at, hosts without missing objectives of what is
// served there: a host keeps a tenth of its capacity, and 99 of 100 requests of each demand stay within their objective
// with the copy's batches as neighbours. served is what these hosts serve.
func (e *Estimator) MaxCopyRate(now float64, c Copy, served []Demand, hosts []Host) (CopyRate, error) {
	d, err := e.newDraws(now)
	if err != nil {
		return CopyRate{}, err
	}
	if len(hosts) == 0 {
		return CopyRate{}, &NoEstimateError{Reason: "no host is named"}
	}
	out := CopyRate{RowsPerSecond: math.Inf(1)}
	for i := range hosts {
		h := &hosts[i]
		concurrency, reason, err := d.maxConcurrency(h, served)
		if err != nil {
			return CopyRate{}, err
		}
		work, _, err := d.meanWork(c.Class, h.Kind, c.Statement, c.Batch, c.Batch*c.RowBytes, float64(h.Inflight)+concurrency)
		if err != nil {
			return CopyRate{}, err
		}
		if rows := concurrency / work.High * 1e3 * c.Batch; rows < out.RowsPerSecond {
			out = CopyRate{rows, concurrency, work, reason}
		}
	}
	return out, nil
}

// maxConcurrency is how many requests of a copy a host may have at once, and why no more.
func (d *draws) maxConcurrency(h *Host, served []Demand) (concurrency float64, reason string, err error) {
	concurrency = max(0, h.Capacity*usableCapacity-h.Load)
	reason = fmt.Sprintf("host %s has room for %.2f requests at once", h.Name, concurrency)
	for i := range served {
		q := &served[i]
		if q.ObjectiveMillis <= 0 {
			continue
		}
		late, err := d.missesObjective(h, q, concurrency)
		if err != nil {
			return 0, "", err
		}
		if !late {
			continue
		}
		concurrency = d.searchConcurrency(h, q, concurrency)
		reason = fmt.Sprintf("class %q at host %s would not keep its aim of %.0f ms beside more than %.2f of the copy's requests",
			q.Class, h.Name, q.ObjectiveMillis, concurrency)
	}
	return concurrency, reason, nil
}

// searchConcurrency returns the greatest concurrency below one that is too high at which a demand keeps its objective.
func (d *draws) searchConcurrency(h *Host, q *Demand, tooHigh float64) float64 {
	low, high := 0.0, tooHigh
	for range searchSteps {
		middle := (low + high) / 2
		if late, _ := d.missesObjective(h, q, middle); late {
			high = middle
		} else {
			low = middle
		}
	}
	if late, _ := d.missesObjective(h, q, 0); late {
		return 0
	}
	return low
}

// missesObjective says whether more than one of 100 requests of a demand is late with so many more requests at the host.
func (d *draws) missesObjective(h *Host, q *Demand, more float64) (bool, error) {
	e := d.estimator
	inflight := float64(h.Inflight) + more
	work, sd, err := d.meanWork(q.Class, h.Kind, q.Statement, q.Rows, q.Bytes, inflight)
	wait, spread, _ := e.estimateWait(h.Kind, inflight)
	noise := sd * sd
	middle := math.Log(work.Mid) - e.full.noise[e.full.classes[q.Class]]/2
	return math.Exp(middle+normalQuantile99*math.Sqrt(noise))+wait*(1+normalQuantile99*math.Sqrt(spread)) > q.ObjectiveMillis, err
}
