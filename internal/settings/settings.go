// Package settings turns the operators' settings, as nested JSON, into the Settings of package routing. The simulator's
// adapter and the pooler read them through here, so that both decide by the same figures.
package settings

import (
	"fmt"
	"math"
	"time"

	jsoniter "github.com/json-iterator/go"

	"ashstand/routing"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Parsed is routing's settings with what the program around it needs to speak the operators' names.
type Parsed struct {
	routing.Settings
	Classes        map[string]int // place of a class in Settings.Classes
	Tenants        map[string]int // from 1; none is 0
	PositionOrigin time.Duration  // from when the simulator counts positions
	PositionColumn int            // place of the position in a load report; -1: none
	RoleColumn     int            // place of the role; -1: none
	ConnectTimeout time.Duration  // a connection not up by then counts as none
}

// FieldError says which key of the settings has a value that can't be served.
type FieldError struct {
	Field  string // with the keys around it, such as domain.when_behind
	Reason string
}

// Error returns the key and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

var (
	accesses = map[string]routing.Access{
		"any":     routing.EventualRead,
		"bounded": routing.BoundedRead,
		"session": routing.SessionRead,
		"fresh":   routing.StrongRead,
		"write":   routing.Write,
	}
	idempotencies = map[string]routing.Idempotency{
		"idempotent":   routing.Idempotent,
		"deduplicated": routing.Deduplicated,
		"at_most_once": routing.AtMostOnce,
	}
	scopes = map[string]routing.DedupScope{
		"":     routing.ScopeAll,
		"all":  routing.ScopeAll,
		"zone": routing.ScopeZone,
		"cell": routing.ScopeCell,
	}
	stalenessChecks = map[string]routing.StalenessCheck{
		"":       routing.CheckNone,
		"off":    routing.CheckNone,
		"refuse": routing.CheckRejects,
		"wait":   routing.CheckWaits,
	}
)

// Millis converts milliseconds, rounded to the microsecond.
func Millis(x float64) time.Duration {
	return time.Duration(math.Round(x*1e3)) * time.Microsecond
}

// Parse reads the settings. Keys that it does not know are ignored. Its errors are those of the JSON decoder, or the first
// *FieldError.
func Parse(text []byte) (*Parsed, error) {
	p := parser{
		out: &Parsed{Classes: map[string]int{}, Tenants: map[string]int{"": 0, "0": 0}, PositionColumn: -1, RoleColumn: -1},
	}
	if err := json.Unmarshal(text, &p.in); err != nil {
		return nil, err
	}
	p.general()
	p.slowStart()
	p.report()
	p.tenants()
	if !p.classes() {
		return nil, p.fault
	}
	return p.out, p.fault
}

// parser converts a document and keeps the first fault, with the name of its field.
type parser struct {
	in    document
	out   *Parsed
	fault error
}

func (p *parser) fail(field, format string, args ...any) {
	if p.fault == nil {
		p.fault = &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
	}
}

func lookup[T any](p *parser, table map[string]T, field, word string) T {
	value, ok := table[word]
	if !ok {
		p.fail(field, "%q is unknown", word)
	}
	return value
}

func (p *parser) general() {
	in, s := &p.in, &p.out.Settings
	p.out.PositionOrigin = Millis(in.Domain.OriginTime)
	p.out.ConnectTimeout = Millis(in.Limits.ConnectTimeout)
	s.RouterIndex, s.RouterCount = in.Index, in.Balancers
	s.StalenessCheck = lookup(p, stalenessChecks, "domain.when_behind", in.Domain.WhenBehind)
	s.CatchUpWait = Millis(in.Domain.CatchUpWait)
	s.TracksCommits = in.Domain.TokenMode == "remembered"
	s.ListNamesPrimary = in.Domain.RoleInList == "late" || in.Domain.RoleInList == "start"
	s.MustSubscribe = in.Discovery == "subscribe"
	s.CancelAllowed = in.Limits.CancelAllowed
	s.MaxAttempts = in.Limits.MaxAttempts
	s.ConnIdleTimeout = Millis(in.Limits.ConnIdleTimeout)
	if in.Limits.GivesRetryAfter {
		s.MaxRetryAfter = Millis(in.Limits.MaxRetryAfter)
	}
	s.MinTickInterval = Millis(in.Period)
	s.OverQuotaFraction = in.OverQuotaFraction
	if in.Goal.Total > 0 && in.Goal.WorstClass > 0 {
		s.WorstClassWeight = in.Goal.WorstClass / in.Goal.Total
	}
}

func (p *parser) slowStart() {
	rules := &p.in.Rules
	p.out.IgnoresRemoval = rules.OnlyDrainBinds
	p.out.SlowStart = routing.SlowStart{
		Floor:          rules.InitialCapacity,
		Duration:       Millis(rules.WarmUpTime),
		OverloadFactor: rules.OverloadFactor,
		OverloadWindow: Millis(rules.OverloadWindow),
	}
}

func (p *parser) report() {
	probing := &p.out.Probing
	probing.Allowed, probing.Cost = p.in.Limits.ProbesAllowed, p.in.Deductions["probe"]
	if p.in.Report.How == "off" {
		return
	}
	for i, name := range p.in.Report.Fields {
		switch name {
		case "x0":
			p.out.PositionColumn, probing.ReportsPosition = i, true
		case "x1":
			p.out.RoleColumn, probing.ReportsRole = i, true
		}
	}
}

func (p *parser) tenants() {
	for i, project := range p.in.Projects {
		if !(project.Quota >= 0) { // nor NaN
			p.fail("projects.quota_per_s", "%v is below 0", project.Quota)
		}
		p.out.Tenants[project.Name] = i + 1
		p.out.Settings.Tenants = append(p.out.Settings.Tenants, routing.Tenant{Name: project.Name, Quota: project.Quota})
	}
}

// classes reports whether there is one kind of access for each class; without that nothing can be served.
func (p *parser) classes() bool {
	domain := &p.in.Domain
	if len(domain.ClassRead) != len(p.in.Classes) {
		p.fail("domain.class_read", "%d entries for %d classes", len(domain.ClassRead), len(p.in.Classes))
		return false
	}
	for i, in := range p.in.Classes {
		class := routing.Class{
			Name:             in.Name,
			Access:           lookup(p, accesses, "domain.class_read", domain.ClassRead[i]),
			Idempotency:      lookup(p, idempotencies, "request_classes.effect", in.Effect),
			Scope:            lookup(p, scopes, "request_classes.group", in.Group),
			DedupWindow:      Millis(in.Window),
			LatencyObjective: Millis(in.LatencyObjective),
			Deadline:         Millis(in.Deadline),
			PriorityWeight:   in.PriorityWeight,
			LateFraction:     in.LateFraction,
		}
		if i < len(domain.StalenessBounds) {
			class.StalenessBound = Millis(domain.StalenessBounds[i])
		}
		p.out.Classes[in.Name] = i
		p.out.Settings.Classes = append(p.out.Settings.Classes, class)
	}
	return true
}
