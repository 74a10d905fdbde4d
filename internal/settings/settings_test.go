package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The worst-served class weighs what the site's goal says, as a share of the whole; a site without such a goal, or with a
// senseless one, is served without it.
func TestTheGoalWeighsTheWorstServedClass(t *testing.T) {
	const rest = `"balancers":1,"domain":{"class_read":["any"],"when_behind":"off"},"policy_limits":{"most_tries":1},
		"request_classes":[{"name":"browse","effect":"idempotent","group":"all","aim_ms":1,"deadline_ms":2,"worth":1}]}`
	for goal, want := range map[string]float64{
		`{"goal":{"whole":0.5,"worst_class":0.2},`: 0.4,
		`{"goal":{"whole":0.5},`:                   0,
		`{"goal":{"whole":0,"worst_class":0.2},`:   0,
		`{"goal":{"whole":1,"worst_class":-1},`:    0,
		`{`:                                        0,
	} {
		in, err := Parse([]byte(goal + rest))
		require.NoError(t, err, goal)
		require.InDelta(t, want, in.WorstClassWeight, 1e-9, goal)
	}
}

// What the ramp of a cold host rests on comes from the settings alone.
func TestSlowStartFollowsTheObligations(t *testing.T) {
	in, err := Parse([]byte(`{"balancers":1,"domain":{"class_read":["any"],"when_behind":"off"},"policy_limits":{"most_tries":1},
		"obligations":{"cold_from":0.3,"ramp_time_ms":7000,"overload_factor":2,"fall_ms":1250},
		"request_classes":[{"name":"browse","effect":"idempotent","group":"all","aim_ms":1,"deadline_ms":2,"worth":1}]}`))
	require.NoError(t, err)
	s := in.Settings
	require.Equal(t, []any{0.3, 7 * time.Second, 2.0, 1250 * time.Millisecond}, []any{s.SlowStart.Floor, s.SlowStart.Duration, s.SlowStart.OverloadFactor, s.SlowStart.OverloadWindow})
}
