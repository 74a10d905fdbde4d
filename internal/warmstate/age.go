package warmstate

import (
	"fmt"
	"math"
	"time"

	"ashstand/routing"
)

// How fast each kind of fact loses weight, in milliseconds: 1/e of it is left after the span. docs/learned.md gives the
// reasons.
const (
	limitSpan      = 600e3      // the load of hosts changes within minutes
	failureSpan    = 30e3       // failures are short
	lagSpan        = 60e3       // lag decides which host is probed first
	primarySpan    = 300e3      // the role decides which host is asked first
	classSpan      = 6 * 3600e3 // usual latencies change with the time of day
	idleResetsSpan = 600e3      // what drops idle connections on the way stays
)

const (
	maxAge       = 24 * 3600e3 // in milliseconds; an older fact counts for nothing
	clockSlack   = 1e3         // in milliseconds; how far two readings of one clock may differ
	minWeight    = 0.01        // a fact that weighs less counts for nothing
	initialLimit = 3.0         // the in-flight limit that a host without facts starts with
)

// FactAge is what became of one fact, for operators and for checkers.
type FactAge struct {
	Fact   string  `json:"what"`
	Age    float64 `json:"age_ms"`
	Weight float64 `json:"weight"`        // from 0, void, to 1, as good as new
	Reason string  `json:"why,omitempty"` // why it is void
}

// Aged is what a snapshot still counts for.
type Aged struct {
	State      routing.RouterState
	IdleResets *IdleResets
	Facts      []FactAge
}

// ApplyAge returns what a snapshot counts for now (Unix milliseconds) at this pooler and site. unaged switches ageing
// off, so that its checker is seen to fail.
func ApplyAge(s *Snapshot, now float64, name, siteHash string, unaged bool) Aged {
	age := now - s.Header.WrittenAt
	a := ager{writtenAge: max(0, age), unaged: unaged}
	if !unaged {
		a.voidReason = voidReason(s.Header, age, name, siteHash)
	}
	var out Aged
	for _, h := range s.Hosts {
		if host, counts := a.ageHost(h); counts {
			out.State.Hosts = append(out.State.Hosts, host)
		}
	}
	for _, c := range s.Classes {
		if a.weigh("class "+c.Name, 0, classSpan) > 0 {
			out.State.Classes = append(out.State.Classes,
				routing.ClassState{Name: c.Name, Latency: fromMillis(c.Latency), ServiceTime: fromMillis(c.ServiceTime)})
		}
	}
	if s.IdleResets != nil {
		if weight := a.weigh("idle connections", 0, idleResetsSpan); weight > 0 {
			out.IdleResets = &IdleResets{Requests: scaled(s.IdleResets.Requests, weight), Resets: scaled(s.IdleResets.Resets, weight)}
		}
	}
	out.Facts = a.facts
	return out
}

// voidReason says why a snapshot of this age in milliseconds counts for nothing here; "": it counts.
func voidReason(h Header, age float64, name, siteHash string) string {
	switch {
	case h.Name != name:
		return fmt.Sprintf("it is the file of pooler %q", h.Name)
	case h.SiteHash != siteHash:
		return "it is of another site: its classes are others"
	case age < -clockSlack:
		return fmt.Sprintf("it was written %v from now: the clock ran backwards", fromMillis(-age).Round(time.Second))
	case age > maxAge:
		return "it is older than a day"
	}
	return ""
}

// ager weighs the facts of one snapshot and records what became of each.
type ager struct {
	writtenAge float64 // of the snapshot, in milliseconds
	voidReason string  // why no fact counts; "": they do
	unaged     bool
	facts      []FactAge
}

// weigh records a fact that was ageBefore milliseconds old when the snapshot was written, and returns its weight.
func (a *ager) weigh(fact string, ageBefore, span float64) float64 {
	f := FactAge{Fact: fact, Age: a.writtenAge + ageBefore, Reason: a.voidReason}
	switch {
	case a.unaged:
		f.Weight = 1
	case a.voidReason == "" && f.Age <= maxAge:
		f.Weight = math.Exp(-f.Age / span)
	}
	if f.Weight < minWeight && f.Reason == "" {
		f.Weight, f.Reason = 0, "too old"
	}
	a.facts = append(a.facts, f)
	return f.Weight
}

// ageHost returns what the facts about a host count for, and whether any of them does.
func (a *ager) ageHost(h Host) (host routing.HostState, counts bool) {
	limitWeight := a.weigh(h.Name+" limit", 0, limitSpan)
	failureWeight := a.weigh(h.Name+" failures", 0, failureSpan)
	host = routing.HostState{
		Host:    h.Name,
		Group:   h.Group,
		Started: fromMillis(h.StartedAt),
		Limit:   initialLimit + (h.Limit-initialLimit)*limitWeight,
		Score:   h.FailureScore * failureWeight,
		Lag:     unknownLag,
	}
	if h.Lag >= 0 && a.weigh(h.Name+" lag", h.LagAge, lagSpan) > minWeight {
		host.Lag = fromMillis(h.Lag)
	}
	if h.IsPrimary && a.weigh(h.Name+" primary", h.RoleAge, primarySpan) > minWeight {
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
