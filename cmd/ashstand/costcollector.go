package main

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math"
	"strings"
	"sync"

	"ashstand/internal/clock"
	"ashstand/internal/cost"
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/net/discovery"
)

const (
	// rateSpanMillis is over how long requests are counted for their rate: a minute, in which load changes little.
	rateSpanMillis = 60e3
	// defaultCostSource names a pooler without a name among the sources of evidence.
	defaultCostSource = "pooler"
	// unknownHostKind is the kind of a host whose hardware nobody names.
	unknownHostKind = "any"
)

// errNoCostBlock says that nothing is observed.
var errNoCostBlock = errors.New("this pooler's file has no cost block, so it observes nothing")

// costCollector observes what statements cost. It is an edge.Observer.
type costCollector struct {
	node  *node
	clock clock.Clock
	span  float64
	drift float64

	// mu guards what follows.
	mu       sync.Mutex
	model    *cost.Model
	inflight map[string]int         // requests of this pooler, by host; without those that have none
	rates    map[string]*classRates // by class; the settings bound them
}

// classRates are the requests of a class that were served lately, and their work: both fade over rateSpanMillis.
type classRates struct{ requests, workMillis, at float64 }

// add adds one request.
func (r *classRates) add(workMillis, at float64) {
	fade := math.Exp(-max(0, at-r.at) / rateSpanMillis)
	r.requests, r.workMillis, r.at = r.requests*fade+1, r.workMillis*fade+workMillis, max(r.at, at)
}

// newCostCollector starts to observe; nil where the operator's file has no cost block: then nothing of it is allocated.
func newCostCollector(cfg *config, n *node, now clock.Clock) *costCollector {
	o := cfg.operator.Cost
	if o == nil {
		return nil
	}
	options := cost.Options{
		Bytes:       o.Memory,
		Source:      cmp.Or(cfg.Name, defaultCostSource),
		Incarnation: uint64(now.Now()),
		Span:        clock.Millis(o.Span),
		Drift:       o.Drift,
	}
	return &costCollector{
		node:     n,
		clock:    now,
		span:     options.Span,
		drift:    options.Drift,
		model:    cost.NewModel(options),
		inflight: map[string]int{},
		rates:    map[string]*classRates{},
	}
}

// AttemptStarted counts an attempt, and returns how many others are at the host.
func (c *costCollector) AttemptStarted(host string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight[host]++
	return c.inflight[host] - 1
}

// AttemptFinished takes in what a served attempt cost.
func (c *costCollector) AttemptFinished(attempt edge.Attempt) {
	endpoint := (*c.node.list.Load())[attempt.Host]
	observation := cost.Observation{
		Class:     attempt.Statement.Class,
		Host:      attempt.Host,
		Kind:      c.hostKind(&endpoint, attempt.Host),
		Group:     endpoint.Group,
		Rows:      1,
		Bytes:     float64(attempt.ResponseBytes),
		Work:      attempt.ExecuteMillis,
		Wait:      attempt.AcquireMillis,
		Inflight:  attempt.ConcurrentAttempts,
		Primary:   attempt.Outcome.Role == dispatch.Primary,
		WarmingUp: c.isWarmingUp(&endpoint, attempt.FinishedAtMillis),
		At:        attempt.FinishedAtMillis,
	}
	served := attempt.Outcome.Code == dispatch.OK && attempt.ExecuteMillis > 0
	if served {
		observation.Statement = cost.NewFingerprint(attempt.Statement.Text)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inflight[attempt.Host]--; c.inflight[attempt.Host] <= 0 {
		delete(c.inflight, attempt.Host)
	}
	if !served {
		return
	}
	c.model.Observe(observation)
	rates := c.rates[observation.Class]
	if rates == nil {
		rates = &classRates{at: observation.At}
		c.rates[strings.Clone(observation.Class)] = rates
	}
	rates.add(observation.Work, observation.At)
}

// hostKind is a host's hardware: as the operator's file says, else its type in the endpoint list.
func (c *costCollector) hostKind(endpoint *discovery.Endpoint, host string) string {
	if o := c.node.cfg.Load().operator.Cost; o != nil && o.Kinds[host] != "" {
		return o.Kinds[host]
	}
	return cmp.Or(endpoint.Type, unknownHostKind)
}

func (c *costCollector) isWarmingUp(endpoint *discovery.Endpoint, now float64) bool {
	return endpoint.SinceMS > 0 && now-endpoint.SinceMS < clock.Millis(c.node.cfg.Load().site.SlowStart.Duration)
}

// fleet is how the hosts stand, as this pooler sees it.
func (c *costCollector) fleet(now float64) cost.Fleet {
	cfg, state := c.node.cfg.Load(), c.node.facade.ExportState()
	fleet := cost.Fleet{WarmUpMillis: clock.Millis(cfg.site.SlowStart.Duration)}
	endpoints := *c.node.list.Load()
	var inflight map[string]int
	inflight, fleet.Classes = c.load(cfg, now)
	for _, m := range state.Hosts {
		endpoint, listed := endpoints[m.Host]
		if !listed || endpoint.Status != discovery.Active {
			continue
		}
		h := cost.Host{
			Name:      m.Host,
			Kind:      c.hostKind(&endpoint, m.Host),
			Group:     m.Group,
			Primary:   m.WasPrimary,
			Capacity:  m.Limit,
			Inflight:  inflight[m.Host],
			Load:      float64(inflight[m.Host]),
			StartedAt: endpoint.SinceMS,
			LagMillis: max(0, clock.Millis(m.Lag)),
		}
		if o := cfg.operator.Cost; o != nil && o.Capacity > 0 {
			h.Capacity = float64(o.Capacity)
		}
		fleet.Hosts = append(fleet.Hosts, h)
	}
	return fleet
}

// load is what this pooler serves: the requests in flight by host, and the rates of all classes.
func (c *costCollector) load(cfg *config, now float64) (inflight map[string]int, classes []cost.Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range cfg.site.Settings.Classes {
		class := cost.Class{Name: k.Name, ObjectiveMillis: clock.Millis(k.LatencyObjective), Weight: k.PriorityWeight}
		if r := c.rates[k.Name]; r != nil && r.requests > 0 {
			class.RequestsPerSecond = r.requests * math.Exp(-max(0, now-r.at)/rateSpanMillis) / rateSpanMillis * 1e3
			class.WorkMillis = r.workMillis / r.requests
		}
		classes = append(classes, class)
	}
	return maps.Clone(c.inflight), classes
}

// costEvidence is what a pooler has observed and how it sees the hosts: all that an estimate needs.
type costEvidence struct {
	At      float64      `json:"at"`
	Span    float64      `json:"span"`
	Drift   float64      `json:"drift"`
	Summary cost.Summary `json:"summary"`
	Fleet   cost.Fleet   `json:"fleet"`
}

func (c *costCollector) evidence() costEvidence {
	now := c.clock.Now()
	out := costEvidence{At: now, Span: c.span, Drift: c.drift, Fleet: c.fleet(now)}
	c.mu.Lock()
	defer c.mu.Unlock()
	out.Summary = c.model.Evidence()
	return out
}

// estimate answers for a plan that came as JSON. The fit is made beside the requests: only the copy of the sums delays them.
func (c *costCollector) estimate(_ context.Context, body []byte) (any, error) {
	if c == nil {
		return nil, errNoCostBlock
	}
	plan, err := cost.ParsePlan("plan", body)
	if err != nil {
		return nil, err
	}
	now := c.clock.Now()
	fleet := c.fleet(now)
	c.mu.Lock()
	snapshot := c.model.Publish(0, now)
	c.mu.Unlock()
	return cost.NewEstimator(snapshot, now).Estimate(now, plan, fleet) // the admin socket adds the advice of an error
}
