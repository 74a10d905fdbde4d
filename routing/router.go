// Package routing decides for one router of a replicated database which host serves a request, whether
// an attempt is retried and whether a request is admitted at all. It does no I/O, reads no clock and
// starts no goroutine: events go into Step, and actions come out.
//
// Writes and strong reads go to the member last seen as primary. Any other read goes to the less loaded
// of two randomly drawn replicas that qualify, and to the primary when none does. The rest of the package
// keeps this working when something fails. docs/design.md describes how, and docs/tuning.md explains the
// constants.
//
// Each concern of the decisions has its own file: members.go (host state and evidence), primary.go (the
// search for the primary), replica.go (the choice of a replica), admission.go (admission and limits),
// kept.go (connections that sessions keep), capacity.go (the load that members can take), classcost.go (the
// work of a request), slowstart.go (what warming members are sent), slowstart_status.go (status and counters
// of slow start), attempts.go (attempts and retries), health.go (what the end of an attempt shows of its
// member), execution.go (what is proven about whether a request ran), groupclock.go (the clock of a group),
// probes.go, sessions.go (read your writes), queue.go (queued requests) and constants.go. The deploy file
// lists them as the policy.
//
// This file holds the Router with its settings and the handling of events. events.go and types.go define the
// interface, and state.go the state that a router hands to its next start.
package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Router makes the routing decisions of one pooler. It is not safe for concurrent use.
type Router struct {
	cfg           Settings
	rng           *rand.Rand
	now           time.Duration
	members       map[string]*member
	groups        map[uint64]*group
	commitFloor   time.Duration // of new groups: covers the commits of groups that were removed
	requests      map[string]*request
	tenants       []tenant
	queue         []*request // in the order of the last tick, newly queued ones at the end
	actions       []Action
	classes       []class
	tightestBound time.Duration // the smallest staleness bound of a BoundedRead class
	restored      restoredState
	timers
	budgets
	traffic
}

// timers are the times at which the router acts without an event from outside.
type timers struct {
	tickAt        time.Duration // the next tick
	timerAt       time.Duration // the next timer that was requested
	resubscribeAt time.Duration // when to subscribe to discovery again; 0: no need
}

// budgets are the retries and probes that the requests so far have earned.
type budgets struct {
	retryBudget float64
	probeBudget float64
}

// traffic holds statistics of the requests and answers so far.
type traffic struct {
	meanLatency     time.Duration // smoothed, of answers
	meanScore       float64       // smoothed outlier score of all attempts
	connectFailures float64       // smoothed fraction of the attempts that failed to connect at once
	worstClass      *class        // the one with the lowest inTimeFraction
	offeredWeight   float64       // total weight of all requests except retries
	meanWeight      [2]float64    // smoothed, of requests for replicas and for the primary
	writeFraction   float64       // smoothed fraction of the requests for the primary
	recentRequests  float64       // number of recent requests of all classes
}

// class is a request class with the statistics of its requests.
type class struct {
	Class
	index          int
	servingRole    int           // forReplicas or forPrimary
	latency        time.Duration // smoothed, of answers
	serviceTime    time.Duration // estimate of the time of an answer without queueing
	offeredWeight  float64       // total weight of its requests except retries
	inTimeFraction float64       // fraction of its recent requests that were answered in time
	samples        float64       // number of requests that inTimeFraction is the mean of, at most maxSamples
	work           classWork     // that a request costs a host
}

// SettingsError reports a setting that the router can't work with.
type SettingsError struct {
	Field  string // of Settings, or of the class that Class names
	Class  string // "": none
	Reason string
}

// Error returns the reason and, if there is one, the class that it concerns.
func (e *SettingsError) Error() string {
	if e.Class != "" {
		return fmt.Sprintf("class %q: %s", e.Class, e.Reason)
	}
	return e.Reason
}

// New returns a router for the settings, or a *SettingsError. Its random choices follow from the seed and the
// router's index.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	r := &Router{
		cfg:           s,
		rng:           rand.New(rand.NewPCG(seed, uint64(s.RouterIndex))),
		members:       map[string]*member{},
		groups:        map[uint64]*group{},
		requests:      map[string]*request{},
		tenants:       make([]tenant, len(s.Tenants)),
		classes:       make([]class, len(s.Classes)),
		tightestBound: s.tightestBound(),
		budgets:       budgets{retryBudget: 0.5 * max(1, retryBudgetCap/float64(s.RouterCount)), probeBudget: maxProbesPerRead},
		traffic:       traffic{writeFraction: initialWriteFraction},
	}
	for i, k := range s.Classes {
		r.classes[i] = class{Class: k, index: i, inTimeFraction: 1, samples: initialSamples}
		if k.Access >= StrongRead {
			r.classes[i].servingRole = forPrimary
		}
	}
	return r, nil
}

// Configure replaces the settings while requests are in flight, or returns a *SettingsError and changes
// nothing. The classes must keep their order, names, accesses and idempotencies.
func (r *Router) Configure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	isSameClass := func(a, b Class) bool {
		return a.Name == b.Name && a.Access == b.Access && a.Idempotency == b.Idempotency
	}
	if !slices.EqualFunc(s.Classes, r.cfg.Classes, isSameClass) {
		return &SettingsError{Field: "Classes", Reason: "the classes are others"}
	}
	for i := range r.classes {
		r.classes[i].Class = s.Classes[i]
	}
	if len(s.Tenants) != len(r.tenants) {
		r.tenants = make([]tenant, len(s.Tenants))
	}
	r.cfg, r.tightestBound = s, s.tightestBound()
	return nil
}

func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return &SettingsError{Field: "Classes", Reason: "settings name no request class"}
	case s.RouterCount < 1 || s.RouterIndex < 0 || s.RouterIndex >= s.RouterCount:
		return &SettingsError{Field: "RouterIndex", Reason: fmt.Sprintf("router %d of %d", s.RouterIndex, s.RouterCount)}
	case s.MaxAttempts < 1:
		return &SettingsError{Field: "MaxAttempts", Reason: fmt.Sprintf("at most %d attempts a request", s.MaxAttempts)}
	}
	for _, k := range s.Classes {
		if k.LatencyObjective <= 0 || k.Deadline <= 0 || k.Access > Write || k.Idempotency > AtMostOnce {
			reason := fmt.Sprintf("aim %v, deadline %v", k.LatencyObjective, k.Deadline)
			return &SettingsError{Field: "LatencyObjective", Class: k.Name, Reason: reason}
		}
	}
	return nil
}

// defaultTightestBound is the tightest staleness bound if no class has a smaller one.
const defaultTightestBound = time.Second

func (s *Settings) tightestBound() time.Duration {
	tightest := defaultTightestBound
	for _, k := range s.Classes {
		if k.Access == BoundedRead {
			tightest = min(tightest, k.StalenessBound)
		}
	}
	return tightest
}

// Step handles the events of one moment and returns the actions to take. They are valid until the next call.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.actions = max(now, r.now), r.actions[:0]
	for _, event := range events {
		r.handle(event)
	}
	if r.now >= r.tickAt {
		r.tick()
	}
	r.armTimer()
	return r.actions
}

// handle passes an event to the code that it concerns. First bytes, timers and messages from peers need no
// handling.
func (r *Router) handle(event Event) {
	switch e := event.(type) {
	case TargetsChanged:
		r.applyTargets(&e)
	case TargetsFailed:
		r.handleTargetsFailed()
	case RequestArrived:
		r.handleRequest(&e)
	case AttemptEnded:
		r.handleOutcome(&e)
	case ClientGone:
		r.handleClientGone(e.ID)
	case LateAnswer:
		if m := r.members[e.Host]; m != nil {
			r.recordAnswer(m, &e, e.Position)
		}
	case ProbeEnded:
		if m := r.members[e.Host]; m != nil {
			r.handleProbeResult(m, &e)
		}
	}
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// InactiveSince returns since when a host gets no new work; ok is false if it may get some, or is not known.
func (r *Router) InactiveSince(host string) (at time.Duration, ok bool) {
	m := r.members[host]
	if m == nil || m.active {
		return 0, false
	}
	return m.removedAt, true
}

// IsActive reports whether new work, probes included, may go to a host.
func (r *Router) IsActive(host string) bool {
	m := r.members[host]
	return m != nil && m.active
}

// smooth adds a sample to an exponentially weighted moving average: it moves the mean by 1/span towards it.
func smooth(mean *float64, sample, span float64) { *mean += (sample - *mean) / span }

// smoothLatency returns a smoothed latency after one more sample; the first sample is taken as it is.
func smoothLatency(mean, sample time.Duration) time.Duration {
	mean = cmp.Or(mean, sample)
	return mean + (sample-mean)/latencySpan
}
