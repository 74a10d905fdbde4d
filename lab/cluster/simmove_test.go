package cluster

import (
	"context"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/move"
)

func TestMovesKeepWhatTheyPromise(t *testing.T) {
	r := SimulateManyMoves(context.Background(), 1, 100, "", runtime.NumCPU())
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
	red := map[string]string{"fence": "lost_write", "verify": "verified_wrong", "pause": "paused_past_bound", "back": "rollback_lost", "word": "stepped_without_word"}
	schedules := map[string]int{"fence": 40, "verify": 40, "pause": 80, "back": 10, "word": 10}
	for _, broken := range move.Breakable {
		r := SimulateManyMoves(context.Background(), 1, schedules[broken], broken, runtime.NumCPU())
		require.NotZero(t, r.Broken[red[broken]], "%s: %v", broken, r.Broken)
	}
	r := SimulateManyMoves(context.Background(), 120, 20, "token", runtime.NumCPU()) // places that look at no token: an owner wakes late and empties the home
	require.NotZero(t, r.Broken["lost_write"])
}

func TestSchedulesOfMovesCanBePlayedAgain(t *testing.T) {
	var a, b strings.Builder
	SimulateMoves(7, "", &a)
	SimulateMoves(7, "", &b)
	require.NotEmpty(t, a.String())
	require.Equal(t, a.String(), b.String())
	require.Equal(t, SimulateMoves(8, "", nil).Trace, SimulateMoves(8, "", nil).Trace)
	require.NotEqual(t, SimulateMoves(8, "", nil).Trace, SimulateMoves(7, "", nil).Trace)
}
