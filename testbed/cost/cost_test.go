package cost

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"ashstand/internal/cost"
	"ashstand/testbed/fleet"
)

func TestTheMeasurementHoldsAndGoesRed(t *testing.T) {
	run := func(broken string, seeds int) map[string]int {
		r, err := Run(context.Background(), Options{Seed: 1, Seeds: seeds, Break: broken, Cores: runtime.NumCPU()})
		require.NoError(t, err)
		return r.Broken
	}
	require.Equal(t, map[string]int{"coverage": 0, "ranked_wrong": 0, "false_evidence": 0, "merge_differs": 0}, run("", 10))
	require.Positive(t, run("shrink", 10)["coverage"])
	require.Positive(t, run("age", 7)["coverage"])
	require.Positive(t, run("false", 1)["false_evidence"])
	require.Positive(t, run("merge", 1)["merge_differs"])
}

// Guards against a pooler that observes what it was not asked to, counts what is not there, or holds what it can't tell.
func TestARunningPoolerTellsWhatPlansCost(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "ashstand")
	out, err := exec.Command("go", "build", "-o", program, "ashstand/cmd/ashstand").CombinedOutput()
	require.NoError(t, err, "%s", out)
	block := "cost {\n  capacity = 8\n  kind \"flash\" { hosts = [\"host-0\", \"host-1\", \"host-2\"] }\n}\n"
	f, err := fleet.Start(fleet.Options{Pooler: program, Replicas: 2, Clients: 20, Servers: 8, Extra: func(string) string { return block }})
	require.NoError(t, err)
	defer f.Stop()
	c, err := pgconn.Connect(context.Background(), "postgres://web@"+f.Pooler.Statement+"/orders?sslmode=disable&default_query_exec_mode=simple_protocol")
	require.NoError(t, err)
	defer func() { _ = c.Close(context.Background()) }()
	for i := range 40 {
		_, err := c.Exec(context.Background(), fmt.Sprintf("/* id=x%d,c=report,d=5000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'seed-1'", i)).ReadAll()
		require.NoError(t, err, f.Pooler.Log())
	}
	plan := filepath.Join(dir, "plan.json")
	write := func(text string) { require.NoError(t, os.WriteFile(plan, []byte(text), 0o600)) }
	ask := func(args ...string) (string, error) {
		out, err := exec.Command(program, append([]string{"cost"}, args...)...).CombinedOutput()
		return string(out), err
	}
	write(`{"name":"one","aim":1000,"steps":[{"name":"a","sql":"select payload from entries where ref = 'other'","class":"report","group":1,"rows":1,"bytes":64}]}`)
	text, err := ask(plan, "--admin", f.Pooler.Admin, "--json")
	require.NoError(t, err, text)
	var a cost.PlanComparison
	require.NoError(t, json.Unmarshal([]byte(text), &a))
	require.Nil(t, a.Plans[0].Unavailable)
	require.Contains(t, a.Plans[0].P50.DominantFactor, `40 observations`)
	require.Contains(t, a.Plans[0].P50.DominantFactor, `kind "flash"`)
	require.Positive(t, a.Plans[0].Time.Low)
	require.Greater(t, a.Plans[0].Time.High, a.Plans[0].Time.Low)
	require.Equal(t, -1.0, a.Plans[0].MaxShift, "one source can't be checked")
	text, err = ask(plan, "--admin", f.Pooler.Admin)
	require.NoError(t, err, text)
	require.Contains(t, text, "work on flash, ms")

	saved := filepath.Join(dir, "evidence.json")
	text, err = ask("evidence", "--admin", f.Pooler.Admin)
	require.NoError(t, err, text)
	require.NoError(t, os.WriteFile(saved, []byte(text), 0o600))
	text, err = ask(plan, "--evidence", saved, "--json")
	require.NoError(t, err, text)
	var b cost.PlanComparison
	require.NoError(t, json.Unmarshal([]byte(text), &b))
	require.InDelta(t, a.Plans[0].P50.Mid, b.Plans[0].P50.Mid, a.Plans[0].P50.Mid*0.5)

	write("{\"steps\":[\n {\"name\":\"a\",\"sql\":\"select 1\",\"class\":\"report\",\n  \"fresh\":\"soon\"}]}")
	text, err = ask(plan, "--admin", f.Pooler.Admin)
	require.Error(t, err)
	require.Contains(t, text, `plan.json:3: steps[0].fresh: it is "soon"; allowed is write, fresh, session, bounded, any`)
	write(`{"steps":[{"name":"a","sql":"select 1","class":"donate","group":1}]}`)
	text, err = ask(plan, "--admin", f.Pooler.Admin)
	require.Error(t, err)
	require.Contains(t, text, `can't tell: no evidence of statement`)
}

func TestAPoolerWithoutACostBlockObservesNothing(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "ashstand")
	out, err := exec.Command("go", "build", "-o", program, "ashstand/cmd/ashstand").CombinedOutput()
	require.NoError(t, err, "%s", out)
	f, err := fleet.Start(fleet.Options{Pooler: program, Clients: 20, Servers: 8})
	require.NoError(t, err)
	defer f.Stop()
	plan := filepath.Join(dir, "plan.json")
	require.NoError(t, os.WriteFile(plan, []byte(`{"steps":[{"name":"a","sql":"select 1","class":"report"}]}`), 0o600))
	for _, args := range [][]string{{"cost", plan}, {"cost", "evidence"}} {
		text, err := exec.Command(program, append(args, "--admin", f.Pooler.Admin)...).CombinedOutput()
		require.Error(t, err)
		require.Contains(t, string(text), "has no cost block")
	}
}
