package warmstate

import (
	"fmt"
	"math"
	"time"

	"ashstand/routing"
)

// The time constants with which each kind of fact loses weight, in milliseconds: after one time constant a
// weight of 1/e is left. docs/learned.md gives the reasons.
const (
	limitTimeConstant      = 600e3      // the load of hosts changes within minutes
	failureTimeConstant    = 30e3       // failures are short-lived
	lagTimeConstant        = 60e3       // lag decides which host is probed first
	primaryTimeConstant    = 300e3      // the role decides which host is asked first
	classTimeConstant      = 6 * 3600e3 // usual latencies change with the time of day
	idleResetsTimeConstant = 600e3      // whatever drops idle connections on the path stays the same
)

const (
	// maxAge is the age beyond which a fact is ignored, in milliseconds.
	maxAge = 24 * 3600e3
	// clockTolerance is how far two readings of one clock may differ, in milliseconds.
	clockTolerance = 1e3
	// minWeight is the weight below which a fact is ignored.
	minWeight = 0.01
	// initialLimit is the in-flight limit of a host about which nothing is known.
	initialLimit = 3.0
)

// FactAge describes how one fact was weighted by its age, for operators and for checkers.
type FactAge struct {
	Fact   string  `json:"what"`
	Age    float64 `json:"age_ms"`
	Weight float64 `json:"weight"`        // from 0, ignored, to 1, as if new
	Reason string  `json:"why,omitempty"` // why it is ignored
}

// AgedSnapshot is what remains of a snapshot after its facts were weighted by their age.
type AgedSnapshot struct {
	State      routing.RouterState
	IdleResets *IdleResets
	Facts      []FactAge
}

// ApplyAge weights the facts of a snapshot by their age at now (Unix milliseconds), for the pooler name and
// the site with this hash. ageingDisabled switches ageing off, to show that its checker can fail.
func ApplyAge(s *Snapshot, now float64, name, siteHash string, ageingDisabled bool) AgedSnapshot {
	age := now - s.Header.WrittenAt
	a := ager{snapshotAge: max(0, age), ageingDisabled: ageingDisabled}
	if !ageingDisabled {
		a.ignoreReason = ignoreReason(s.Header, age, name, siteHash)
	}
	var out AgedSnapshot
	for _, h := range s.Hosts {
		if host, counts := a.ageHost(h); counts {
			out.State.Hosts = append(out.State.Hosts, host)
		}
	}
	for _, c := range s.Classes {
		if a.weigh("class "+c.Name, 0, classTimeConstant) > 0 {
			out.State.Classes = append(out.State.Classes,
				routing.ClassState{Name: c.Name, Latency: fromMillis(c.Latency), ServiceTime: fromMillis(c.ServiceTime)})
		}
	}
	if s.IdleResets != nil {
		if weight := a.weigh("idle connections", 0, idleResetsTimeConstant); weight > 0 {
			out.IdleResets = &IdleResets{Requests: scaled(s.IdleResets.Requests, weight), Resets: scaled(s.IdleResets.Resets, weight)}
		}
	}
	out.Facts = a.facts
	return out
}

// ignoreReason returns why a snapshot of this age in milliseconds is ignored at this pooler; "" if it is
// used.
func ignoreReason(h Header, age float64, name, siteHash string) string {
	switch {
	case h.Name != name:
		return fmt.Sprintf("it is the file of pooler %q", h.Name)
	case h.SiteHash != siteHash:
		return "it is of another site: its classes are others"
	case age < -clockTolerance:
		return fmt.Sprintf("it was written %v from now: the clock ran backwards", fromMillis(-age).Round(time.Second))
	case age > maxAge:
		return "it is older than a day"
	}
	return ""
}

// ager weights the facts of one snapshot and records the result for each.
type ager struct {
	// snapshotAge is the time since the snapshot was written, in milliseconds.
	snapshotAge float64
	// ignoreReason is why the whole snapshot is ignored; "" if it is used.
	ignoreReason   string
	ageingDisabled bool
	facts          []FactAge
}

// weigh records a fact that was ageWhenWritten milliseconds old when the snapshot was written, and returns
// its weight.
func (a *ager) weigh(fact string, ageWhenWritten, timeConstant float64) float64 {
	f := FactAge{Fact: fact, Age: a.snapshotAge + ageWhenWritten, Reason: a.ignoreReason}
	switch {
	case a.ageingDisabled:
		f.Weight = 1
	case a.ignoreReason == "" && f.Age <= maxAge:
		f.Weight = math.Exp(-f.Age / timeConstant)
	}
	if f.Weight < minWeight && f.Reason == "" {
		f.Weight, f.Reason = 0, "too old"
	}
	a.facts = append(a.facts, f)
	return f.Weight
}

// ageHost returns the state of a host with its facts weighted by their age. counts is set if any of them
// still matters.
func (a *ager) ageHost(h Host) (host routing.HostState, counts bool) {
	limitWeight := a.weigh(h.Name+" limit", 0, limitTimeConstant)
	failureWeight := a.weigh(h.Name+" failures", 0, failureTimeConstant)
	host = routing.HostState{
		Host:    h.Name,
		Group:   h.Group,
		Started: fromMillis(h.StartedAt),
		Limit:   initialLimit + (h.Limit-initialLimit)*limitWeight,
		Score:   h.FailureScore * failureWeight,
		Lag:     unknownLag,
	}
	if h.Lag >= 0 && a.weigh(h.Name+" lag", h.LagAge, lagTimeConstant) > minWeight {
		host.Lag = fromMillis(h.Lag)
	}
	if h.IsPrimary && a.weigh(h.Name+" primary", h.RoleAge, primaryTimeConstant) > minWeight {
		host.WasPrimary = true
	}
	counts = limitWeight > 0 || host.Score > 0 || host.Lag >= 0 || host.WasPrimary
	return host, counts
}

func scaled(values []float64, factor float64) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = v * factor
	}
	return out
}
