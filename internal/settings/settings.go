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
	Classes map[string]int // place of a class in Settings.Classes
	Tenants map[string]int // from 1; none is 0
	Zero    time.Duration  // from when the simulator counts positions
	X0, X1  int            // places of position and role in a load report; -1: none
	Connect time.Duration  // a connection not up by then counts as none
}

// info is the part of the settings that is used; unknown keys are ignored.
type info struct {
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
	reads = map[string]routing.ReadKind{"any": routing.Any, "bounded": routing.Bounded, "session": routing.Session,
		"fresh": routing.Fresh, "write": routing.Write}
	effects = map[string]routing.Effect{"idempotent": routing.Safe, "deduplicated": routing.Keyed,
		"at_most_once": routing.Unsafe}
	scopes = map[string]routing.Scope{"": routing.ScopeAll, "all": routing.ScopeAll, "zone": routing.ScopeZone,
		"cell": routing.ScopeCell}
	checks = map[string]routing.Checks{"": routing.NoChecks, "off": routing.NoChecks, "refuse": routing.Refuses,
		"wait": routing.Waits}
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
	var f info
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	var p parser
	in := &Parsed{Zero: Millis(f.Domain.Zero), X0: -1, X1: -1, Connect: Millis(f.Limits.Connect),
		Classes: map[string]int{}, Tenants: map[string]int{"": 0, "0": 0}}
	in.Settings = routing.Settings{Index: f.Index, Routers: f.Balancers,
		Checks:  lookup(&p, checks, "domain.when_behind", f.Domain.WhenBehind),
		CatchUp: Millis(f.Domain.CatchUp), Remembered: f.Domain.TokenMode == "remembered",
		ListRole:  f.Domain.RoleInList == "late" || f.Domain.RoleInList == "start",
		Subscribe: f.Discovery == "subscribe", Probes: f.Limits.Probes, Cancel: f.Limits.Cancel,
		MaxAttempts: f.Limits.Tries, DrainBindsAlone: f.Rules.DrainAlone, ColdFrom: f.Rules.ColdFrom,
		ColdRamp: Millis(f.Rules.Ramp), FallFactor: f.Rules.FallFactor, FallTime: Millis(f.Rules.FallTime), ProbePrice: f.Deductions["probe"],
		ConnIdle: Millis(f.Limits.ConnIdle), Tick: Millis(f.Period), OverShare: f.OverShare}
	s := &in.Settings
	if g := f.Goal; g.Whole > 0 && g.WorstClass > 0 {
		s.WorstClass = g.WorstClass / g.Whole
	}
	if f.Limits.RetryAfter {
		s.MaxRetryAfter = Millis(f.Limits.MaxRetryAfter)
	}
	if f.Report.How != "off" {
		for i, name := range f.Report.Fields {
			switch name {
			case "x0":
				in.X0, s.ReportX0 = i, true
			case "x1":
				in.X1, s.ReportX1 = i, true
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
		class := routing.Class{Name: k.Name, Read: lookup(&p, reads, "domain.class_read", f.Domain.ClassRead[i]),
			Effect: lookup(&p, effects, "request_classes.effect", k.Effect),
			Scope:  lookup(&p, scopes, "request_classes.group", k.Group), Window: Millis(k.Window),
			Aim: Millis(k.Aim), Deadline: Millis(k.Deadline), Worth: k.Worth, LateShare: k.LateShare}
		if i < len(f.Domain.Bounds) {
			class.Bound = Millis(f.Domain.Bounds[i])
		}
		in.Classes[k.Name] = i
		s.Classes = append(s.Classes, class)
	}
	return in, p.fault
}
