package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Access is what a class does with the data, in the word of the platform's settings.
type Access string

// The kinds of access.
const (
	Write   Access = "write"
	Strong  Access = "fresh"
	Session Access = "session"
	Bounded Access = "bounded"
	Any     Access = "any"
)

// Effect says whether a request of a class may be repeated once it may have run, in the word of the platform's settings.
type Effect string

// The effects.
const (
	Idempotent   Effect = "idempotent"
	Deduplicated Effect = "deduplicated"
	AtMostOnce   Effect = "at_most_once"
)

// Scope is the set of hosts that discard repeats of a deduplicated request.
type Scope string

// The scopes.
const (
	ScopeAll  Scope = "all"
	ScopeCell Scope = "cell" // the hosts of its group
)

// StalenessCheck is what hosts do with a read for which they lag too far, in the word of the platform's settings.
type StalenessCheck string

// The checks.
const (
	CheckOff    StalenessCheck = "off"    // they answer from what they have
	CheckRefuse StalenessCheck = "refuse" // they reject it
	CheckWait   StalenessCheck = "wait"   // they wait for their log, and reject it after that
)

// Class is a class of requests. What it does and whether it may be repeated have nothing to do with each other.
type Class struct {
	Name      string `json:"name"`
	Access    Access `json:"access"`
	Effect    Effect `json:"effect"`
	Scope     Scope  `json:"scope,omitempty"` // of a deduplicated class
	Objective Millis `json:"objective_ms"`
	Deadline  Millis `json:"deadline_ms"`
	Window    Millis `json:"window_ms"` // in which hosts discard repeats
	Bound     Millis `json:"bound_ms"`  // of a bounded read
	// Share and Work are relative to those of the other classes, and 1 where they are 0. Where no class has work, hosts answer at once.
	Share  float64 `json:"share,omitempty"`
	Work   float64 `json:"work,omitempty"` // mean work of a request
	Spread Spread  `json:"spread,omitempty"`
}

// rejectionIsHarmless reports whether the class may be rejected though a request of it may have run.
func (c *Class) rejectionIsHarmless() bool {
	return c.Effect == Idempotent || c.Effect == Deduplicated && c.Scope == ScopeAll
}

// Deployment is what the poolers of a run serve, and for whom.
type Deployment struct {
	Classes        []Class        `json:"classes"`
	Groups         int            `json:"groups"`
	Replicas       int            `json:"replicas"` // of each group
	StalenessCheck StalenessCheck `json:"staleness_check"`
	CatchUpWait    Millis         `json:"catch_up_wait_ms"`
	IdleClients    int            `json:"idle_clients"` // connections of each pooler that ask nothing and stay
	SlowStart      *SlowStart     `json:"slow_start,omitempty"`
}

// hosts is how many there are.
func (d *Deployment) hosts() int { return d.Groups * (d.Replicas + 1) }

// killAfter is the earliest SIGKILL after SIGTERM: the longest deadline, 3 s at the most, and 0.7 s.
func (d *Deployment) killAfter() time.Duration {
	longest := Millis(0)
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest.Duration(), 3*time.Second) + 700*time.Millisecond
}

// usual is the deployment of schedules that name none.
func usual() Deployment {
	return Deployment{
		Classes: []Class{
			{Name: "read", Access: Bounded, Effect: Idempotent, Objective: 300, Deadline: 1000, Bound: 200},
			{Name: "own", Access: Session, Effect: Idempotent, Objective: 300, Deadline: 2000},
			{Name: "insert", Access: Write, Effect: AtMostOnce, Objective: 1000, Deadline: 3000},
		},
		Groups: 1, Replicas: 3, StalenessCheck: CheckOff,
	}
}

// Bounds of what is drawn, in milliseconds.
const (
	shortestDeadline, longestDeadline = 200, 15000
	shortestWindow, longestWindow     = 100, 5000
	shortestBound, longestBound       = 80, 1000
	idleClientsOfACrowd               = 140
)

// drawDeployment makes a deployment: access and effect of each class are drawn apart, and all times over their whole range.
func drawDeployment(seed uint64) Deployment {
	rng := rand.New(rand.NewPCG(seed, 0xdeb1))
	logUniform := func(low, high float64) Millis {
		return Millis(low * math.Pow(high/low, rng.Float64()))
	}
	d := Deployment{
		Groups: 1 + rng.IntN(3), Replicas: rng.IntN(4), CatchUpWait: logUniform(20, 500),
		StalenessCheck: []StalenessCheck{CheckOff, CheckOff, CheckRefuse, CheckWait}[rng.IntN(4)],
	}
	if rng.IntN(5) == 0 {
		d.IdleClients = idleClientsOfACrowd
	}
	longest := logUniform(shortestDeadline, longestDeadline)
	accesses := []Access{Write, Strong, Session, Bounded, Any}
	for i := range 4 + rng.IntN(4) {
		access := accesses[rng.IntN(len(accesses))]
		if i == 0 {
			access = Write // without writes there is little to judge
		}
		c := Class{
			Name: drawName(rng), Access: access, Effect: []Effect{Idempotent, Deduplicated, AtMostOnce, AtMostOnce}[rng.IntN(4)],
			Scope:    []Scope{ScopeAll, ScopeCell}[rng.IntN(2)],
			Deadline: logUniform(shortestDeadline, max(shortestDeadline+1, float64(longest))),
			Window:   logUniform(shortestWindow, longestWindow), Bound: logUniform(shortestBound, longestBound),
		}
		c.Objective = Millis(float64(c.Deadline) * (0.3 + 0.6*rng.Float64()))
		d.Classes = append(d.Classes, c)
	}
	d.SlowStart = drawSlowStart(seed, d.hosts())
	d.drawWork(seed)
	return d
}

// drawName makes a name that means nothing.
func drawName(rng *rand.Rand) string {
	var b strings.Builder
	for range 4 + rng.IntN(6) {
		b.WriteByte(byte('a' + rng.IntN(26)))
	}
	fmt.Fprintf(&b, "-%x", rng.Uint32()&0xffff)
	return b.String()
}

// check says what of a deployment can't be played.
func (d *Deployment) check() error {
	if len(d.Classes) == 0 || d.Groups < 1 || d.Groups > 8 || d.Replicas < 0 || d.Replicas > 8 {
		return fmt.Errorf("%d classes, %d groups of %d replicas; allowed are a class or more, 1 to 8 groups and 0 to 8 replicas", len(d.Classes), d.Groups, d.Replicas)
	}
	if s := d.slowStart(); s.Floor <= 0 || s.Floor > 1 || s.Ramp < 1 || s.Multiple < 1 || s.Window < 1 || s.Load <= 0 || len(s.Speeds) == 0 || slices.Min(s.Speeds) <= 0 {
		return fmt.Errorf("slow start: %+v; floor and load are fractions above 0, multiple is 1 at the least, times and speeds are above 0", s)
	}
	for _, c := range d.Classes {
		if !slices.Contains([]Access{Write, Strong, Session, Bounded, Any}, c.Access) ||
			!slices.Contains([]Effect{Idempotent, Deduplicated, AtMostOnce}, c.Effect) || c.Deadline <= 0 || c.Objective <= 0 {
			return fmt.Errorf("class %q: access %q, effect %q, objective %d, deadline %d", c.Name, c.Access, c.Effect, c.Objective, c.Deadline)
		}
		if c.Share < 0 || c.Work < 0 || !slices.Contains([]Spread{"", SpreadConstant, SpreadLognormal, SpreadExponential}, c.Spread) {
			return fmt.Errorf("class %q: share %v, work %v, spread %q", c.Name, c.Share, c.Work, c.Spread)
		}
	}
	return nil
}

// settings are the platform's for one of so many poolers, with all deadlines longer by a factor.
func (d *Deployment) settings(poolers, index int, factor float64) map[string]any {
	s := d.slowStart()
	var classes, reads, bounds []any
	for _, c := range d.Classes {
		reads, bounds = append(reads, c.Access), append(bounds, c.Bound)
		classes = append(classes, map[string]any{
			"name": c.Name, "aim_ms": float64(c.Objective) * factor, "deadline_ms": float64(c.Deadline) * factor, "worth": 1, "late_share": 0.3,
			"effect": c.Effect, "group": c.Scope, "window_ms": c.Window,
		})
	}
	return map[string]any{
		"balancers": poolers, "index": index, "period_ms": 5, "deductions": map[string]any{"probe": 0.04},
		"domain": map[string]any{
			"class_read": reads, "role_in_list": "late", "staleness_bound_ms": bounds, "token_mode": "carried",
			"when_behind": d.StalenessCheck, "catch_up_wait_ms": d.CatchUpWait, "answers_stamped": true,
		},
		"obligations": map[string]any{
			"cold_from": s.Floor, "ramp_time_ms": s.Ramp, "overload_factor": s.Multiple, "fall_ms": s.Window, "stop_sending_within_ms": 1000,
		},
		"policy_limits": map[string]any{
			"conn_idle_ms": 15000, "connect_timeout_ms": 1000, "max_retry_after_ms": 2000, "may_cancel": true,
			"most_tries": 8, "probes": true, "retry_after": true, "max_open": 10000,
		},
		"report":          map[string]any{"fields": []string{"x0", "x1", "inflight", "util"}, "how": "on_probe"},
		"request_classes": classes,
	}
}
