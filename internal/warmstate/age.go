package warmstate

import (
	"fmt"
	"math"
	"time"

	"ashstand/routing"
)

// How fast each kind of fact grows old, in milliseconds; docs/learned.md gives the reasons.
const (
	maxAge         = 24 * 3600e3 // nothing older counts for anything
	failureSpan    = 30e3        // failures: 1/e of them is left after this
	limitSpan      = 600e3       // an in-flight limit nears the start's as a host's load changes
	lagSpan        = 60e3        // a lag says whom to probe first for so long
	primarySpan    = 300e3       // a role says whom to ask first
	classSpan      = 6 * 3600e3  // what is usual for a class changes with the day
	idleResetsSpan = 600e3       // what drops idle connections on the way stays
	clockSlack     = 1e3         // two readings of one clock may differ by so much
	limitAnew      = 3.0         // the limit that a member starts with
)

// FactAge says what became of one fact, for operators and for checkers.
type FactAge struct {
	Fact   string  `json:"what"`
	Age    float64 `json:"age_ms"`
	Weight float64 `json:"weight"` // from 0, void, to 1, as good as new
	Reason string  `json:"why,omitempty"`
}

// Aged is what a snapshot still counts for.
type Aged struct {
	State      routing.RouterState
	IdleResets *IdleResets
	Facts      []FactAge
}

// ApplyAge says what a snapshot counts for now (Unix milliseconds) at this pooler and site. unaged switches ageing off, so
// that what checks it is seen to fail.
func ApplyAge(s *Snapshot, now float64, name, site string, unaged bool) (w Aged) {
	written := now - s.Header.WrittenAt
	void := ""
	switch {
	case s.Header.Name != name:
		void = fmt.Sprintf("it is the file of pooler %q", s.Header.Name)
	case s.Header.SiteHash != site:
		void = "it is of another site: its classes are others"
	case written < -clockSlack:
		void = fmt.Sprintf("it was written %v from now: the clock ran backwards", time.Duration(-written*1e6).Round(time.Second))
	case written > maxAge:
		void = "it is older than a day"
	}
	if unaged {
		void = ""
	}
	written = max(0, written)
	weigh := func(what string, age, span float64) float64 {
		v := FactAge{Fact: what, Age: written + age, Reason: void}
		if void == "" && (v.Age <= maxAge || unaged) {
			if v.Weight = math.Exp(-v.Age / span); unaged {
				v.Weight = 1
			}
		}
		if v.Weight < 0.01 && v.Reason == "" {
			v.Weight, v.Reason = 0, "too old"
		}
		w.Facts = append(w.Facts, v)
		return v.Weight
	}
	ms := func(x float64) time.Duration { return time.Duration(x * 1e6) }
	for _, h := range s.Hosts {
		limit, failing := weigh(h.Name+" limit", 0, limitSpan), weigh(h.Name+" failures", 0, failureSpan)
		k := routing.HostState{Host: h.Name, Group: h.Group, Started: ms(h.StartedAt), Limit: limitAnew + (h.Limit-limitAnew)*limit, Score: h.FailureScore * failing, Lag: -1}
		if h.Lag >= 0 && weigh(h.Name+" lag", h.LagAge, lagSpan) > 0.01 {
			k.Lag = ms(h.Lag)
		}
		if h.IsPrimary && weigh(h.Name+" primary", h.RoleAge, primarySpan) > 0.01 {
			k.WasPrimary = true
		}
		if limit > 0 || k.Score > 0 || k.Lag >= 0 || k.WasPrimary {
			w.State.Hosts = append(w.State.Hosts, k)
		}
	}
	for _, c := range s.Classes {
		if x := weigh("class "+c.Name, 0, classSpan); x > 0 {
			w.State.Classes = append(w.State.Classes, routing.ClassState{Name: c.Name, Latency: ms(c.Latency), ServiceTime: ms(c.ServiceTime)})
		}
	}
	if s.IdleResets != nil {
		if x := weigh("idle connections", 0, idleResetsSpan); x > 0 {
			w.IdleResets = &IdleResets{Requests: scaled(s.IdleResets.Requests, x), Resets: scaled(s.IdleResets.Resets, x)}
		}
	}
	return w
}

func scaled(xs []float64, by float64) []float64 {
	out := make([]float64, len(xs))
	for i, x := range xs {
		out[i] = x * by
	}
	return out
}

// NewSnapshot makes a snapshot of what the decisions hold.
func NewSnapshot(head Header, s routing.RouterState, wear *IdleResets, list *EndpointList) *Snapshot {
	ms := func(d time.Duration) float64 { return math.Round(float64(d)/1e3) / 1e3 }
	out := &Snapshot{Header: head, IdleResets: wear, Endpoints: list, Hosts: []Host{}, Classes: []Class{}}
	for _, m := range s.Hosts {
		out.Hosts = append(out.Hosts, Host{
			Name: m.Host, Group: m.Group, StartedAt: ms(m.Started), Limit: math.Round(m.Limit*100) / 100,
			FailureScore: math.Round(m.Score*1000) / 1000, Lag: max(-1, ms(m.Lag)), LagAge: ms(m.LagAge), IsPrimary: m.WasPrimary, RoleAge: min(ms(m.RoleAge), maxAge),
		})
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, Class{c.Name, ms(c.Latency), ms(c.ServiceTime)})
	}
	return out
}
