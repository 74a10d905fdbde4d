package main

import (
	stdjson "encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/jobs/executor"
)

var updateWorksGolden = flag.Bool("update-golden-jobs", false, "write the golden files of the admin socket's views of jobs anew")

// requireSuperset requires that all which an older reader finds at a path is there still, with the same value.
func requireSuperset(t *testing.T, path string, old, now any) {
	switch old := old.(type) {
	case map[string]any:
		is, ok := now.(map[string]any)
		require.True(t, ok, path)
		for k, v := range old {
			require.Contains(t, is, k, path)
			requireSuperset(t, path+"."+k, v, is[k])
		}
	case []any:
		is, ok := now.([]any)
		require.True(t, ok, path)
		require.Len(t, is, len(old), path)
		for i := range old {
			requireSuperset(t, path, old[i], is[i])
		}
	default:
		require.Equal(t, old, now, path)
	}
}

// Whoever reads the admin socket's JSON finds each key that was there before, with its value; new ones may stand beside.
func TestGoldenAdminViewOfJobs(t *testing.T) {
	word := &jobs.Word{Say: "stop", By: "ann", Step: 4, Lasting: true}
	deed := &jobs.Deed{Number: 6, Name: "write", Token: 17, Data: stdjson.RawMessage(`{"n":1}`), Word: word}
	x := jobs.Work{Name: "d1", Kind: "drill", Spec: stdjson.RawMessage(`{"database":"orders"}`), Needs: []uint64{1}, Owner: "n1", Instance: 9007199254740993, Token: 17,
		Step: 4, State: stdjson.RawMessage(`{"done":3}`), Deed: deed, Word: word, Owners: 5, Voided: 1, Ended: true, Why: "stopped", Changed: 41}
	v := worksView{On: true, Works: []workView{{Work: x, Here: &executor.View{Wait: "the pace", Says: []jobs.Option{{Say: "stop", Does: "it ends", Lasting: true}},
		Err: "broken", Code: "in_doubt", Do: "nothing", Seen: 12.5}}, {Work: jobs.Work{Name: "d2", Kind: "drill"}}}}
	got, err := json.MarshalIndent(v, "", "  ")
	require.NoError(t, err)
	path := filepath.Join("testdata", "golden", "admin-works.json")
	if *updateWorksGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, append(got, '\n'), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	var old, now any
	require.NoError(t, stdjson.Unmarshal(want, &old))
	require.NoError(t, stdjson.Unmarshal(got, &now))
	requireSuperset(t, "", old, now)
	var read worksView
	require.NoError(t, json.Unmarshal(want, &read))
	require.Equal(t, v, read)
}
