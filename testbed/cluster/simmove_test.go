package cluster

import (
	"context"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMovesKeepWhatTheyPromise(t *testing.T) {
	r := SimulateManyMigrations(context.Background(), 1, 100, "", runtime.NumCPU())
	for check, n := range r.Broken {
		require.Zero(t, n, "%s: %v", check, r.Notes)
	}
	require.Equal(t, 100, r.Faults["schedules"])
	for _, what := range []string{"ended accepted", "ended taken back", "back", "copied again", "found different", "failover", "token refused", "reopen", "changed by hand"} {
		require.NotZero(t, r.Faults[what], what)
	}
	for _, at := range []string{"check", "publish", "subscribe", "copy", "mark", "compare", "pause", "close", "verify", "switch", "feed", "finish", "clear", "reopen"} {
		require.NotZero(t, r.Faults["killed before "+at]+r.Faults["killed after "+at]+r.Faults["stopped after "+at], at)
	}
	require.Greater(t, r.Baseline["pauses"], 100.0)
	require.Less(t, r.Baseline["longest pause, share of its bound"], 1.0)
}

// Each guarantee that is switched off is seen.
func TestMovesThatBreakAreSeen(t *testing.T) {
	for broken, what := range map[string]struct {
		schedules int
		red       string
	}{
		"fence": {40, "lost_write"}, "verify": {40, "verified_wrong"}, "pause": {80, "paused_past_bound"}, "back": {10, "rollback_lost"}, "word": {10, "stepped_without_word"},
		"token":    {120, "lost_write"},        // an owner that wakes late empties what has become the home
		"number":   {100, "paused_past_bound"}, // what its owner has given up arrives all the same
		"sequence": {10, "duplicate_write"},
	} {
		r := SimulateManyMigrations(context.Background(), 1, what.schedules, broken, runtime.NumCPU())
		require.NotZero(t, r.Broken[what.red], "%s: %v", broken, r.Broken)
	}
}

func TestSchedulesOfMovesCanBePlayedAgain(t *testing.T) {
	var a, b strings.Builder
	SimulateMigrations(7, "", &a)
	SimulateMigrations(7, "", &b)
	require.NotEmpty(t, a.String())
	require.Equal(t, a.String(), b.String())
	require.Equal(t, SimulateMigrations(8, "", nil).Trace, SimulateMigrations(8, "", nil).Trace)
	require.NotEqual(t, SimulateMigrations(8, "", nil).Trace, SimulateMigrations(7, "", nil).Trace)
}
