// Package metrics counts what the process does, each thing where it arises: connections closed, requests rejected and retried,
// by reason; phases of the process; and violations of the rules of package lifecycle. The registry has no listener: the admin
// socket shows it.
package metrics

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"ashstand/internal/faulthook"
	"ashstand/internal/lifecycle"
)

// violationLogInterval is the least time between two log lines on one rule; its first cases are always logged.
const (
	violationLogInterval = time.Second
	violationsLogged     = 5
)

// RejectReason is why a request was rejected with the promise that nothing ran.
type RejectReason uint8

// The reasons.
const (
	RejectNoHost          RejectReason = iota // routing found no host that can serve it now
	RejectStatementMemory                     // the statements under way leave no memory for one more
	RejectReadAhead                           // too much was sent ahead of its answers
	RejectTableFull                           // no place was free for its connection
	RejectNotReady                            // no list of hosts is held yet
	RejectCutting                             // the process ends
	rejectReasonCount
)

var rejectReasonNames = [rejectReasonCount]string{"no_host", "statement_memory", "read_ahead", "table_full", "not_ready", "cutting"}

// String names the reason as logs and counters do.
func (r RejectReason) String() string {
	if r < rejectReasonCount {
		return rejectReasonNames[r]
	}
	return "unknown"
}

// Metrics is the registry of one process. It is safe for concurrent use.
type Metrics struct {
	registry    *prometheus.Registry
	closes      []prometheus.Counter // by lifecycle.CloseReason
	rejections  []prometheus.Counter // by RejectReason
	retries     *prometheus.CounterVec
	transitions *prometheus.CounterVec
	violations  []prometheus.Counter // by lifecycle.Rule
	violationAt []rate.Sometimes     // when a rule's violation may be logged
	panics      *prometheus.CounterVec
}

// New returns a registry on which nothing was counted.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	closes := m.addCounters("client_connections_closed_total", "Client connections that ended, by reason.", "reason")
	for _, r := range lifecycle.CloseReasons() {
		m.closes = append(m.closes, closes.WithLabelValues(r.String()))
	}
	rejections := m.addCounters("requests_rejected_total", "Requests rejected with the promise that nothing ran, by reason.", "reason")
	for r := range rejectReasonCount {
		m.rejections = append(m.rejections, rejections.WithLabelValues(r.String()))
	}
	m.retries = m.addCounters("request_retries_total", "Attempts after the first, by the end of the attempt before.", "reason")
	m.transitions = m.addCounters("process_transitions_total", "Phases that the process went through.", "from", "to")
	m.panics = m.addCounters("panics_recovered_total", "Panics that ended a request, a call or a connection, by where they were recovered.", "in")
	violations := m.addCounters("rule_violations_total", "Rules that did not hold, by rule. Each is a fault.", "rule")
	for _, r := range lifecycle.Rules() {
		m.violations = append(m.violations, violations.WithLabelValues(r.String()))
		m.violationAt = append(m.violationAt, rate.Sometimes{First: violationsLogged, Interval: violationLogInterval})
	}
	return m
}

// addCounters registers counters of one name, one for each combination of labels.
func (m *Metrics) addCounters(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "ashstand", Name: name, Help: help}, labels)
	m.registry.MustRegister(c)
	return c
}

// AddGauge shows a figure that its owner holds; value is called from any goroutine.
func (m *Metrics) AddGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "ashstand", Name: name, Help: help}, value))
}

// Closed counts a client connection that ended.
func (m *Metrics) Closed(reason lifecycle.CloseReason) { m.closes[reason].Inc() }

// Rejected counts a request that was rejected.
func (m *Metrics) Rejected(reason RejectReason) { m.rejections[reason].Inc() }

// Retried counts a further attempt; reason is how the one before it ended.
func (m *Metrics) Retried(reason string) { m.retries.WithLabelValues(reason).Inc() }

// Transition counts and logs that the process went from one phase to another.
func (m *Metrics) Transition(from, to lifecycle.Phase) {
	m.transitions.WithLabelValues(from.String(), to.String()).Inc()
	slog.Info("process: the phase has changed", "from", from.String(), "to", to.String())
}

// Violation counts a rule that did not hold, and logs it with attributes that tell the case: request, connection, host, attempt.
// The process goes on.
func (m *Metrics) Violation(rule lifecycle.Rule, attributes ...any) {
	if faulthook.Active(faulthook.SuppressViolations) {
		return
	}
	m.violations[rule].Inc()
	m.violationAt[rule].Do(func() {
		slog.Error("a rule did not hold", append([]any{"rule", rule.String()}, attributes...)...)
	})
}

// maxLoggedStackBytes bounds the stack that a log line on a panic holds.
const maxLoggedStackBytes = 4 << 10

// PanicRecovered counts a panic that ended a request, a call or a connection, and logs it with its stack. It has to be called by
// the deferred function that recovered the panic, as the stack is read here. in is the name of the function that recovered it: one
// of a fixed set.
func (m *Metrics) PanicRecovered(in string, value any) {
	m.panics.WithLabelValues(in).Inc()
	stack := debug.Stack()
	m.Violation(lifecycle.PanicRecovered, "in", in, "panic", fmt.Sprint(value), "stack", string(stack[:min(len(stack), maxLoggedStackBytes)]))
}

// Figure is one counter or gauge.
type Figure struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	Value  float64           `json:"value"`
}

// Snapshot returns all figures, in the order of their names and labels.
func (m *Metrics) Snapshot() ([]Figure, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	var all []Figure
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			f := Figure{Name: family.GetName(), Value: metric.GetCounter().GetValue() + metric.GetGauge().GetValue()}
			for _, label := range metric.GetLabel() {
				if f.Labels == nil {
					f.Labels = map[string]string{}
				}
				f.Labels[label.GetName()] = label.GetValue()
			}
			all = append(all, f)
		}
	}
	slices.SortStableFunc(all, func(a, b Figure) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// Violations returns how often each rule did not hold, without those that always held.
func Violations(figures []Figure) map[string]int {
	broken := map[string]int{}
	for _, f := range figures {
		if f.Name == "ashstand_rule_violations_total" && f.Value > 0 {
			broken[f.Labels["rule"]] = int(f.Value)
		}
	}
	return broken
}
