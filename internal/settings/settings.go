// Package settings turns the operators' settings, as nested JSON, into the module's own Settings. The
// simulator's adapter and the pooler read them through here, so that both decide by the same figures.
package settings

import (
	"fmt"
	"math"
	"time"

	jsoniter "github.com/json-iterator/go"

	"ashstand/routing"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Parsed is the module's settings with what the program around it needs to speak the operators' names.
type Parsed struct {
	routing.Settings
	Classes                    map[string]int // place of a class in Settings.Classes
	Tenants                    map[string]int // from 1; none is 0
	PositionOrigin             time.Duration  // from when the simulator counts positions
	PositionColumn, RoleColumn int            // places of position and role in a load report; -1: none
	ConnectTimeout             time.Duration  // a connection not up by then counts as none
}

// document is the part of the settings that is used; unknown keys are ignored.
type document struct {
	Balancers int    `json:"balancers"`
	Index     int    `json:"index"`
	Discovery string `json:"discovery"`
	Domain    struct {
		CatchUp    float64   `json:"catch_up_wait_ms"`
		ClassRead  []string  `json:"class_read"`
		Zero       float64   `json:"origin_time_ms"`
		RoleInList string    `json:"role_in_list"`
		Bounds     []float64 `json:"staleness_bound_ms"`
		TokenMode  string    `json:"token_mode"`
		WhenBehind string    `json:"when_behind"`
	} `json:"domain"`
	Deductions map[string]float64 `json:"deductions"`
	Goal       struct {
		Whole      float64 `json:"whole"`
		WorstClass float64 `json:"worst_class"`
	} `json:"goal"`
	Rules struct {
		ColdFrom   float64 `json:"cold_from"`
		Ramp       float64 `json:"ramp_time_ms"`
		DrainAlone bool    `json:"drain_binds_alone"`
		FallFactor float64 `json:"overload_factor"`
		FallTime   float64 `json:"fall_ms"`
	} `json:"obligations"`
	Period float64 `json:"period_ms"`
	Limits struct {
		MaxRetryAfter float64 `json:"max_retry_after_ms"`
		Cancel        bool    `json:"may_cancel"`
		ConnIdle      float64 `json:"conn_idle_ms"`
		Connect       float64 `json:"connect_timeout_ms"`
		Tries         int     `json:"most_tries"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"policy_limits"`
	OverShare float64 `json:"over_share_worth"`
	Projects  []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"projects"`
	Report struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Classes []struct {
		Aim       float64 `json:"aim_ms"`
		Deadline  float64 `json:"deadline_ms"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		LateShare float64 `json:"late_share"`
		Name      string  `json:"name"`
		Window    float64 `json:"window_ms"`
		Worth     float64 `json:"worth"`
	} `json:"request_classes"`
}

var (
	reads = map[string]routing.Access{
		"any": routing.EventualRead, "bounded": routing.BoundedRead, "session": routing.SessionRead,
		"fresh": routing.StrongRead, "write": routing.Write,
	}
	effects = map[string]routing.Idempotency{
		"idempotent": routing.Idempotent, "deduplicated": routing.Deduplicated,
		"at_most_once": routing.AtMostOnce,
	}
	scopes = map[string]routing.DedupScope{
		"": routing.ScopeAll, "all": routing.ScopeAll, "zone": routing.ScopeZone,
		"cell": routing.ScopeCell,
	}
	checks = map[string]routing.StalenessCheck{
		"": routing.CheckNone, "off": routing.CheckNone, "refuse": routing.CheckRejects,
		"wait": routing.CheckWaits,
	}
)

// Millis converts milliseconds, whole to the microsecond.
func Millis(x float64) time.Duration {
	return time.Duration(math.Round(x*1e3)) * time.Microsecond
}

// parser keeps the first fault, with the name of its field.
type parser struct{ fault error }

func (p *parser) fail(field, format string, args ...any) {
	if p.fault == nil {
		p.fault = fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
}

func lookup[T any](p *parser, table map[string]T, field, word string) T {
	v, ok := table[word]
	if !ok {
		p.fail(field, "%q is unknown", word)
	}
	return v
}

// Parse reads the settings. Keys that it does not know are ignored.
func Parse(text []byte) (*Parsed, error) {
	var f document
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	var p parser
	in := &Parsed{
		PositionOrigin: Millis(f.Domain.Zero), PositionColumn: -1, RoleColumn: -1, ConnectTimeout: Millis(f.Limits.Connect),
		Classes: map[string]int{}, Tenants: map[string]int{"": 0, "0": 0},
	}
	in.Settings = routing.Settings{
		RouterIndex: f.Index, RouterCount: f.Balancers,
		StalenessCheck: lookup(&p, checks, "domain.when_behind", f.Domain.WhenBehind),
		CatchUpWait:    Millis(f.Domain.CatchUp), TracksCommits: f.Domain.TokenMode == "remembered",
		ListNamesPrimary: f.Domain.RoleInList == "late" || f.Domain.RoleInList == "start",
		MustSubscribe:    f.Discovery == "subscribe", ProbesAllowed: f.Limits.Probes, CancelAllowed: f.Limits.Cancel,
		MaxAttempts: f.Limits.Tries, IgnoresRemoval: f.Rules.DrainAlone, SlowStartFloor: f.Rules.ColdFrom,
		SlowStartDuration: Millis(f.Rules.Ramp), OverloadFactor: f.Rules.FallFactor, OverloadWindow: Millis(f.Rules.FallTime), ProbeCost: f.Deductions["probe"],
		ConnIdleTimeout: Millis(f.Limits.ConnIdle), MinTickInterval: Millis(f.Period), OverQuotaFraction: f.OverShare,
	}
	s := &in.Settings
	if g := f.Goal; g.Whole > 0 && g.WorstClass > 0 {
		s.WorstClassWeight = g.WorstClass / g.Whole
	}
	if f.Limits.RetryAfter {
		s.MaxRetryAfter = Millis(f.Limits.MaxRetryAfter)
	}
	if f.Report.How != "off" {
		for i, name := range f.Report.Fields {
			switch name {
			case "x0":
				in.PositionColumn, s.ReportsPosition = i, true
			case "x1":
				in.RoleColumn, s.ReportsRole = i, true
			}
		}
	}
	for i, t := range f.Projects {
		if !(t.Quota >= 0) {
			p.fail("projects.quota_per_s", "%v is below 0", t.Quota)
		}
		in.Tenants[t.Name] = i + 1
		s.Tenants = append(s.Tenants, routing.Tenant{Name: t.Name, Quota: t.Quota})
	}
	if len(f.Domain.ClassRead) != len(f.Classes) {
		p.fail("domain.class_read", "%d entries for %d classes", len(f.Domain.ClassRead), len(f.Classes))
		return nil, p.fault
	}
	for i, k := range f.Classes {
		class := routing.Class{
			Name: k.Name, Access: lookup(&p, reads, "domain.class_read", f.Domain.ClassRead[i]),
			Idempotency: lookup(&p, effects, "request_classes.effect", k.Effect),
			Scope:       lookup(&p, scopes, "request_classes.group", k.Group), DedupWindow: Millis(k.Window),
			LatencyObjective: Millis(k.Aim), Deadline: Millis(k.Deadline), PriorityWeight: k.Worth, LateFraction: k.LateShare,
		}
		if i < len(f.Domain.Bounds) {
			class.StalenessBound = Millis(f.Domain.Bounds[i])
		}
		in.Classes[k.Name] = i
		s.Classes = append(s.Classes, class)
	}
	return in, p.fault
}
