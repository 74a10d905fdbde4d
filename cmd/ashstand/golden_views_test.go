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
		Tenant: "orders", From: 1, To: 2, MaxPauseMillis: 4000, FenceWaitMillis: 200, MaxAbortedPauses: 3, BackoffMillis: 1000, Checkpoints: []migration.Checkpoint{"accepting"}, BlockingSessions: "end", MaxRowsPerSecond: 10, SampledQueries: 7,
		OldCopy: "drop", Priority: 2,
	}
}

func TestGoldenMigrationViews(t *testing.T) {
	group := uint64(2)
	requireGoldenView(t, "move-plan.json", migrationPlanView{Plan: goldenPlan(), MinPauseMillis: 17_600, CutoffMillis: 2000, CheckResults: migration.CheckResults{{Reason: migration.CheckNoReplicaIdentity, Name: "public.a", Detail: "no key", Informational: true}}})
	requireGoldenView(t, "moves.json", migrationsView{On: true, Migrations: []migrationView{{
		Name: "orders-to-2", Plan: goldenPlan(), State: migration.State{Phase: migration.PhaseVerifying, HoldReason: "x"}, Step: 9, SinceMillis: 1000,
		Operation: "verify", Owner: "n1", Token: 5, Owners: 2, WaitsFor: "waits for go, to switch", Options: []jobs.ApprovalOption{{Action: "rollback", Effect: "it is taken back", Persistent: true}},
		Approval: &jobs.Approval{Action: "go", By: "op", Step: 9, Persistent: true}, RollbackEffect: "the old home opens again", Ended: true, EndReason: "accepted", Code: "verify_differs", Message: "rows differ", Advice: "look",
	}}})
	requireGoldenView(t, "homes.json", assignmentsView{On: true, Assignments: []pg.TenantStats{{
		Database: "orders", Group: &group, Fenced: true, State: "paused", PausedSince: 1000, Sessions: 3, Running: 1, Queued: 2, InFlight: 1,
		Released: 4, Rejected: 5, Sticky: []pg.StickyStats{{Pool: "p", Host: "h", Cause: "listen", Sessions: 1}},
	}}})
}
