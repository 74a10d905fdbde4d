package main

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
	"ashstand/internal/net/pg"
)

// The files under testdata/golden/views hold what the admin socket sent before the renaming of issue 33. Whoever reads
// it has scripts on it: a key may be added beside these, none may go.
var updateGoldenViews = flag.Bool("update-golden-views", false, "write the files under testdata/golden/views anew")

// requireGoldenView compares a view's encoding with a committed file.
func requireGoldenView(t *testing.T, name string, view any) {
	t.Helper()
	got, err := json.MarshalIndent(view, "", "  ")
	require.NoError(t, err)
	got = append(got, '\n')
	path := filepath.Join("testdata", "golden", "views", name)
	if *updateGoldenViews {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	var want, have any
	require.NoError(t, json.Unmarshal(text, &want))
	require.NoError(t, json.Unmarshal(got, &have))
	requireContained(t, name, want, have)
}

// requireContained fails if a key or a value of want is missing in have.
func requireContained(t *testing.T, path string, want, have any) {
	t.Helper()
	switch want := want.(type) {
	case map[string]any:
		object, ok := have.(map[string]any)
		require.True(t, ok, path)
		for key, value := range want {
			require.Contains(t, object, key, path)
			requireContained(t, path+"."+key, value, object[key])
		}
	case []any:
		list, ok := have.([]any)
		require.True(t, ok, path)
		require.Len(t, list, len(want), path)
		for i, value := range want {
			requireContained(t, path+"[]", value, list[i])
		}
	default:
		require.Equal(t, want, have, path)
	}
}

func goldenPlan() migration.Plan {
	return migration.Plan{
		Tenant: "orders", From: 1, To: 2, Pause: 4000, Lock: 200, Tries: 3, Rest: 1000, Checkpoints: []string{"accepting"}, Stragglers: "end", Pace: 10, Reads: 7,
		Old: "drop", Need: 2,
	}
}

func TestGoldenMoveViews(t *testing.T) {
	group := uint64(2)
	requireGoldenView(t, "move-plan.json", planView{Plan: goldenPlan(), Least: 17_600, Cutoff: 2000, Found: migration.Findings{{Reason: migration.NoIdentity, Name: "public.a", Detail: "no key", Told: true}}})
	requireGoldenView(t, "moves.json", movesView{On: true, Moves: []moveView{{
		Name: "orders-to-2", Plan: goldenPlan(), State: migration.State{Phase: migration.Verifying, Held: "x"}, Step: 9, Since: 1000,
		Deed: "verify", Owner: "n1", Token: 5, Owners: 2, Wait: "waits for go, to switch", Words: []jobs.ApprovalOption{{Action: "rollback", Effect: "it is taken back", Persistent: true}},
		Given: &jobs.Approval{Action: "go", By: "op", Step: 9, Persistent: true}, Back: "the old home opens again", Ended: true, Why: "accepted", Code: "verify_differs", Message: "rows differ", Advice: "look",
	}}})
	requireGoldenView(t, "homes.json", homesView{On: true, Homes: []pg.TenantStats{{
		Database: "orders", Group: &group, Fenced: true, State: "paused", PausedSince: 1000, Sessions: 3, Running: 1, Queued: 2, InFlight: 1,
		Released: 4, Rejected: 5, Sticky: []pg.StickyStats{{Pool: "p", Host: "h", Cause: "listen", Sessions: 1}},
	}}})
}
