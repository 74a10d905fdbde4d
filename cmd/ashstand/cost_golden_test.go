package main

import (
	stdjson "encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cost"
)

const updateGoldenFlag = "update-golden"

func init() {
	if flag.Lookup(updateGoldenFlag) == nil { // another golden test may have made it
		flag.Bool(updateGoldenFlag, false, "write the golden files anew")
	}
}

// goldenEvidence is evidence with every kind of part, all of them set.
func goldenEvidence() costEvidence {
	cell := func(class, kind, text string) cost.Cell {
		c := cost.Cell{Block: 2, Class: class, Kind: kind, Statement: cost.NewFingerprint(text), At: 1700000000250.5}
		for i := range c.Moments {
			c.Moments[i] = 1 + float64(i)/8
		}
		return c
	}
	folded := cell("report", "old", "")
	folded.Statement = cost.Fingerprint{}
	return costEvidence{
		At: 1700000000500.25, Span: 21600000, Drift: 0.2,
		Summary: cost.Summary{
			Source: "pooler-1", Incarnation: 1700000000000, Sequence: 4, At: 1700000000400, Cells: []cost.Cell{
				folded,
				cell("browse", "new", "select 1"), cell("<&>\"é", "new", "update t set v = 1"),
			},
			Waits: []cost.Wait{{Block: 1, Kind: "new", At: 1700000000300, Sums: [6]float64{3, 4.5, 9, 1e-7, 2e21, 0.1}}},
		},
		Fleet: cost.Fleet{
			WarmUpMillis: 30000, Classes: []cost.Class{{Name: "browse", ObjectiveMillis: 30, Weight: 2, RequestsPerSecond: 12.5, WorkMillis: 1.5}},
			Hosts: []cost.Host{{Name: "h1", Kind: "new", Group: 3, Primary: true, Capacity: 8, Inflight: 2, Load: 1.5, StartedAt: 1700000000100, LagMillis: 7}},
		},
	}
}

// Saved evidence of an older program stays readable and comes out the same again, by both encoders that handle it.
func TestGoldenSavedEvidence(t *testing.T) {
	path := filepath.Join("testdata", "golden", "cost-evidence.json")
	text, err := json.MarshalIndent(goldenEvidence(), "", "  ")
	require.NoError(t, err)
	if flag.Lookup(updateGoldenFlag).Value.String() == "true" {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, text, 0o644))
	}
	committed, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(committed), string(text))
	var decoded costEvidence
	require.NoError(t, stdjson.Unmarshal(committed, &decoded))
	require.Equal(t, goldenEvidence(), decoded)
	text, err = json.MarshalIndent(decoded, "", "  ")
	require.NoError(t, err)
	require.Equal(t, string(committed), string(text))
}
