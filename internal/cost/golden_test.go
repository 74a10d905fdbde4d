package cost

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew")

// requireGolden compares bytes with a committed file and returns the committed ones.
func requireGolden(t *testing.T, file string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", file)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
	return want
}

// goldenModel has observed statements of two classes on two kinds of hosts, some of them folded into their class.
func goldenModel(source string) *Model {
	m := NewModel(Options{Source: source, Incarnation: 1700000000123, Bytes: 2 * 7 * cellBytes})
	for i := range 12 {
		at := 1000 + 250*float64(i)
		m.Observe(Observation{
			Statement: NewFingerprint(fmt.Sprintf("select a%d from t where k = 1", i%5)), Class: []string{"browse", "report"}[i%2], Tenant: "shop",
			Host: "h1", Kind: []string{"old", "new"}[i/2%2], Group: 3, Rows: float64(2 + i), Bytes: float64(100 * i), Work: 1.25 + float64(i)/8,
			Wait: 0.5 * float64(i), Inflight: i % 4, Primary: true, WarmingUp: i%3 == 0, At: at,
		})
	}
	return m
}

// A summary and a version are stored and sent as JSON: old ones stay readable, and come out the same again.
func TestGoldenEvidence(t *testing.T) {
	m := goldenModel("pooler-a")
	summary, err := json.MarshalIndent(m.Evidence(), "", " ")
	require.NoError(t, err)
	committed := requireGolden(t, "summary.json", append(summary, '\n'))
	var decoded Summary
	require.NoError(t, json.Unmarshal(committed, &decoded))
	require.NotEmpty(t, decoded.Cells)
	require.NotEmpty(t, decoded.Waits)
	again, err := json.MarshalIndent(decoded, "", " ")
	require.NoError(t, err)
	require.Equal(t, string(committed), string(append(again, '\n')))

	for _, source := range []string{"pooler-b", "pooler-c"} {
		require.NoError(t, m.Merge(goldenModel(source).Evidence()))
	}
	version, err := json.MarshalIndent(m.Publish(7, 9000), "", " ")
	require.NoError(t, err)
	committed = requireGolden(t, "version.json", append(version, '\n'))
	var published Snapshot
	require.NoError(t, json.Unmarshal(committed, &published))
	require.NoError(t, published.Validate())
	require.Equal(t, 3, published.Blocks)
	again, err = json.MarshalIndent(published, "", " ")
	require.NoError(t, err)
	require.Equal(t, string(committed), string(append(again, '\n')))
}

// An answer is shown to operators and to programs as JSON.
func TestGoldenAnswer(t *testing.T) {
	m := goldenModel("pooler-a")
	for _, source := range []string{"pooler-b", "pooler-c"} {
		require.NoError(t, m.Merge(goldenModel(source).Evidence()))
	}
	plan := Plan{
		Name: "two", ObjectiveMillis: 40, Steps: []Step{
			{Name: "a", Statement: NewFingerprint("select a1 from t where k = 7"), Class: "report", Tenant: "shop", Group: 3, AllGroups: true, Rows: 20, Bytes: 900, Freshness: "fresh"},
			{Name: "b", Statement: NewFingerprint("select a2 from t where k = 7"), Class: "browse", Group: 3, Rows: 3, Freshness: "bounded", MaxStalenessMillis: 80, After: []string{"a"}},
		},
		Alternatives: []Plan{
			{Name: "other", Steps: []Step{{Name: "a", Statement: NewFingerprint("select 1"), Class: "browse", Group: 4, Rows: 2, Freshness: "write"}}},
			{Name: "unknown", Steps: []Step{{Name: "a", Statement: NewFingerprint("select 1"), Class: "nobody's", Group: 3, Freshness: "any"}}},
		},
	}
	fleet := Fleet{WarmUpMillis: 30000, Classes: []Class{{Name: "report", ObjectiveMillis: 100, Weight: 2, RequestsPerSecond: 5, WorkMillis: 3}, {Name: "browse", ObjectiveMillis: 30, Weight: 1, RequestsPerSecond: 50, WorkMillis: 2}}, Hosts: []Host{
		{Name: "h1", Kind: "old", Group: 3, Primary: true, Capacity: 8, Inflight: 3, Load: 2.5, StartedAt: 1000, LagMillis: 0},
		{Name: "h2", Kind: "new", Group: 3, Capacity: 8, Inflight: 1, Load: 1, StartedAt: 8000, LagMillis: 20},
		{Name: "h3", Kind: "new", Group: 4, Primary: true, Capacity: 16, Inflight: 2, Load: 2, StartedAt: 500, LagMillis: 5},
	}}
	estimator := NewEstimator(m.Publish(7, 9000), 9500)
	answer, err := estimator.Estimate(9500, plan, fleet)
	require.NoError(t, err)
	text, err := json.MarshalIndent(answer, "", " ")
	require.NoError(t, err)
	requireGolden(t, "answer.json", append(text, '\n'))
	plan.Alternatives = plan.Alternatives[:1] // what can't be told is written for readers alone: its cause has no type
	answer, err = estimator.Estimate(9500, plan, fleet)
	require.NoError(t, err)
	text, err = json.MarshalIndent(answer, "", " ")
	require.NoError(t, err)
	committed := requireGolden(t, "answer-told.json", append(text, '\n'))
	var decoded PlanComparison
	require.NoError(t, json.Unmarshal(committed, &decoded))
	text, err = json.MarshalIndent(decoded, "", " ")
	require.NoError(t, err)
	require.Equal(t, string(committed), string(append(text, '\n')))
	planned, err := json.MarshalIndent(struct {
		Plan  Plan
		Fleet Fleet
	}{plan, fleet}, "", " ")
	require.NoError(t, err)
	requireGolden(t, "plan-and-fleet.json", append(planned, '\n'))
}

// A fingerprint is the same in every program: evidence is told apart by it.
func TestGoldenFingerprints(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"", "SELECT 1", "select  a, \"B c\" FROM T where k IN (1, 2.5e-3, 'x''y', -7) -- end", "/* a /* nested */ b */ UPDATE t SET v = $1, w = E'\\'' WHERE k = $$x$$;",
		"INSERT INTO t VALUES (1,'a'),(2,'b')", "select $tag$ a $$ b $tag$, B'01', .5, é from t",
	} {
		f := NewFingerprint(text)
		fmt.Fprintf(&out, "%q\n  %s\n  %x %v\n", text, Normalize(text), f[:], f)
		marshalled, err := f.MarshalText()
		require.NoError(t, err)
		var again Fingerprint
		require.NoError(t, again.UnmarshalText(marshalled))
		require.Equal(t, f, again)
	}
	requireGolden(t, "fingerprints.txt", []byte(out.String()))
}
