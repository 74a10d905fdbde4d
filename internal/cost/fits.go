package cost

import (
	"fmt"
	"math"
)

// usableCapacity is the share of a host's capacity that may be planned with: nine tenths, as with reads at the primary; the
// rest is for writes and for variation.
const usableCapacity = 0.9

// Demand is the load of one statement of a tenant.
type Demand struct {
	Statement         Fingerprint `json:"statement"`
	Class             string      `json:"class"`
	RequestsPerSecond float64     `json:"rate"`
	Rows              float64     `json:"rows"`
	Bytes             float64     `json:"bytes"`
	Write             bool        `json:"write"`           // runs at the primary, and is applied by every replica
	PrimaryOnly       bool        `json:"fresh,omitempty"` // a read that the primary alone serves
	ObjectiveMillis   float64     `json:"aim"`             // 0: none
}

// Tenant is a tenant's load.
type Tenant struct {
	Name    string   `json:"name"`
	Demands []Demand `json:"demands"`
}

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

// Fits says whether hosts, one group's, can bear a tenant's load beside what they have: the upper end of what it needs
// must be within nine tenths of a host's capacity, less what is taken. Its reads are spread over the replicas evenly.
func (e *Estimator) Fits(now float64, t Tenant, hosts []Host) (PlacementResult, error) {
	d, err := e.newDraws(now)
	if err != nil {
		return PlacementResult{}, err
	}
	replicas, primaries := 0, 0
	for i := range hosts {
		if hosts[i].Primary {
			primaries++
		} else {
			replicas++
		}
	}
	if primaries == 0 {
		return PlacementResult{Reason: "no primary among the hosts"}, nil
	}
	result := PlacementResult{Fits: true}
	worst := math.Inf(-1)
	for i := range hosts {
		h := &hosts[i]
		fit, err := d.fitHost(&t, h, replicas)
		if err != nil {
			return PlacementResult{}, err
		}
		if over := fit.Needed.High - fit.Free; over > worst {
			worst = over
			result.Reason = fmt.Sprintf("host %s of kind %q needs %.2f (%.2f to %.2f) requests at once for tenant %q and has %.2f free of %.2f",
				h.Name, h.Kind, fit.Needed.Mid, fit.Needed.Low, fit.Needed.High, t.Name, fit.Free, h.Capacity)
		}
		result.Fits = result.Fits && fit.Fits
		result.Hosts = append(result.Hosts, fit)
	}
	return result, nil
}

// fitHost is what one host of a group with so many replicas would bear.
func (d *draws) fitHost(t *Tenant, h *Host, replicas int) (HostFit, error) {
	fit := HostFit{Host: h.Name, Kind: h.Kind, Free: h.Capacity*usableCapacity - h.Load}
	widest := 0.0
	for i := range t.Demands {
		q := &t.Demands[i]
		fraction := q.fractionAt(h, replicas)
		if fraction == 0 || q.RequestsPerSecond <= 0 {
			continue
		}
		work, _, err := d.meanWork(q.Class, h.Kind, q.Statement, q.Rows, q.Bytes, 0)
		if err != nil {
			return HostFit{}, err
		}
		perMilli := q.RequestsPerSecond * fraction / 1e3
		fit.Needed.Mid += work.Mid * perMilli
		fit.Needed.Low += work.Low * perMilli // the ends add up as if all erred to the same side: not too narrow
		fit.Needed.High += work.High * perMilli
		if width := (work.High - work.Low) * perMilli; width > widest {
			widest, fit.Needed.DominantFactor = width, work.DominantFactor
		}
	}
	fit.Fits = fit.Needed.High <= fit.Free
	return fit, nil
}

// fractionAt is the part of a demand that a host of a group with so many replicas serves.
func (q *Demand) fractionAt(h *Host, replicas int) float64 {
	switch {
	case q.Write:
		return 1
	case q.PrimaryOnly || replicas == 0:
		if h.Primary {
			return 1
		}
		return 0
	case h.Primary:
		return 0
	}
	return 1 / float64(replicas)
}
