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
	line("balancers", s.RouterCount)
	line("index", s.RouterIndex)
	line("discovery is subscribe", s.MustSubscribe)
	line("domain.catch_up_wait_ms", s.CatchUpWait)
	line("domain.origin_time_ms", p.PositionOrigin)
	line("domain.role_in_list", s.ListNamesPrimary)
	line("domain.token_mode is remembered", s.TracksCommits)
	line("domain.when_behind", uint8(s.StalenessCheck))
	line("deductions.probe", s.Probing.Cost)
	line("goal.worst_class / goal.whole", s.WorstClassWeight)
	line("obligations.cold_from", s.SlowStart.Floor)
	line("obligations.ramp_time_ms", s.SlowStart.Duration)
	line("obligations.drain_binds_alone", s.IgnoresRemoval)
	line("obligations.overload_factor", s.SlowStart.OverloadFactor)
	line("obligations.fall_ms", s.SlowStart.OverloadWindow)
	line("period_ms", s.MinTickInterval)
	line("policy_limits.max_retry_after_ms", s.MaxRetryAfter)
	line("policy_limits.may_cancel", s.CancelAllowed)
	line("policy_limits.conn_idle_ms", s.ConnIdleTimeout)
	line("policy_limits.connect_timeout_ms", p.ConnectTimeout)
	line("policy_limits.most_tries", s.MaxAttempts)
	line("policy_limits.probes", s.Probing.Allowed)
	line("over_share_worth", s.OverQuotaFraction)
	line("report has x0", s.Probing.ReportsPosition)
	line("report has x1", s.Probing.ReportsRole)
	line("report place of x0", p.PositionColumn)
	line("report place of x1", p.RoleColumn)
	line("projects by name", p.Tenants)
	for _, tenant := range s.Tenants {
		line("projects "+tenant.Name+" quota_per_s", tenant.Quota)
	}
	line("request_classes by name", p.Classes)
	for _, class := range s.Classes {
		key := "request_classes " + class.Name
		line(key+" class_read", uint8(class.Access))
		line(key+" staleness_bound_ms", class.StalenessBound)
		line(key+" effect", uint8(class.Idempotency))
		line(key+" group", uint8(class.Scope))
		line(key+" window_ms", class.DedupWindow)
		line(key+" aim_ms", class.LatencyObjective)
		line(key+" deadline_ms", class.Deadline)
		line(key+" worth", class.PriorityWeight)
		line(key+" late_share", class.LateFraction)
	}
	return b.Bytes()
}
