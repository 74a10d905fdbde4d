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

// Whoever reads the admin socket's JSON finds each key that was there before, with its value; new ones may stand beside.
func TestGoldenAdminViewOfJobs(t *testing.T) {
	word := &jobs.Approval{Action: "stop", By: "ann", Step: 4, Persistent: true}
	deed := &jobs.Operation{Number: 6, Name: "write", Token: 17, Data: stdjson.RawMessage(`{"n":1}`), Approval: word}
	x := jobs.Job{
		Name: "d1", Kind: "drill", Spec: stdjson.RawMessage(`{"database":"orders"}`), RequiredGroups: []uint64{1}, Holder: "n1", Incarnation: 9007199254740993, Token: 17,
		Step: 4, State: stdjson.RawMessage(`{"done":3}`), Operation: deed, Approval: word, HolderCount: 5, AbortedOperations: 1, Finished: true, Reason: "stopped", Revision: 41,
	}
	v := legacyJobsView{On: true, Works: []legacyJobView{{Job: x, Here: &executor.Status{
		WaitingFor: "the pace", Options: []jobs.ApprovalOption{{Action: "stop", Effect: "it ends", Persistent: true}},
		Message: "broken", Code: "in_doubt", Advice: "nothing", LastResponseMillis: 12.5,
	}}, {Job: jobs.Job{Name: "d2", Kind: "drill"}}}}
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
	requireContained(t, "", old, now)
	require.Equal(t, string(want), string(got)+"\n", "the deprecated view does not grow")
	var read legacyJobsView
	require.NoError(t, json.Unmarshal(want, &read))
	require.Equal(t, v, read)
}
