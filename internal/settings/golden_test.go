package settings

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew")

// Every key of the settings is in the golden file, and each has to come out as it did: the keys are the operators', and the
// same figures decide in the simulator and in service.
func TestGoldenSettings(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "golden", "settings.json"))
	require.NoError(t, err)
	p, err := Parse(text)
	require.NoError(t, err)
	golden := filepath.Join("testdata", "golden", "settings.parsed")
	if *updateGolden {
		require.NoError(t, os.WriteFile(golden, listing(p), 0o644))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), string(listing(p)))
}

// listing writes what was parsed under the operators' keys, one a line.
func listing(p *Parsed) []byte {
	var b bytes.Buffer
	line := func(key string, value any) { fmt.Fprintf(&b, "%s = %v\n", key, value) }
	s := &p.Settings
	line("balancers", s.Routers)
	line("index", s.Index)
	line("discovery is subscribe", s.Subscribe)
	line("domain.catch_up_wait_ms", s.CatchUp)
	line("domain.origin_time_ms", p.Zero)
	line("domain.role_in_list", s.ListRole)
	line("domain.token_mode is remembered", s.Remembered)
	line("domain.when_behind", uint8(s.Checks))
	line("deductions.probe", s.ProbePrice)
	line("goal.worst_class / goal.whole", s.WorstClass)
	line("obligations.cold_from", s.ColdFrom)
	line("obligations.ramp_time_ms", s.ColdRamp)
	line("obligations.drain_binds_alone", s.DrainBindsAlone)
	line("obligations.overload_factor", s.FallFactor)
	line("obligations.fall_ms", s.FallTime)
	line("period_ms", s.Tick)
	line("policy_limits.max_retry_after_ms", s.MaxRetryAfter)
	line("policy_limits.may_cancel", s.Cancel)
	line("policy_limits.conn_idle_ms", s.ConnIdle)
	line("policy_limits.connect_timeout_ms", p.Connect)
	line("policy_limits.most_tries", s.MaxAttempts)
	line("policy_limits.probes", s.Probes)
	line("over_share_worth", s.OverShare)
	line("report has x0", s.ReportX0)
	line("report has x1", s.ReportX1)
	line("report place of x0", p.X0)
	line("report place of x1", p.X1)
	line("projects by name", p.Tenants)
	for _, tenant := range s.Tenants {
		line("projects "+tenant.Name+" quota_per_s", tenant.Quota)
	}
	line("request_classes by name", p.Classes)
	for _, class := range s.Classes {
		key := "request_classes " + class.Name
		line(key+" class_read", uint8(class.Read))
		line(key+" staleness_bound_ms", class.Bound)
		line(key+" effect", uint8(class.Effect))
		line(key+" group", uint8(class.Scope))
		line(key+" window_ms", class.Window)
		line(key+" aim_ms", class.Aim)
		line(key+" deadline_ms", class.Deadline)
		line(key+" worth", class.Worth)
		line(key+" late_share", class.LateShare)
	}
	return b.Bytes()
}
