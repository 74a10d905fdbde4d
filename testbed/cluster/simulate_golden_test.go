package cluster

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update-golden", false, "write testdata/golden anew from this program")

// Equal seeds give equal schedules, also with a later program: every message, its time and all that it led to.
func TestGoldenSimulationTraces(t *testing.T) {
	var text strings.Builder
	for seed := uint64(1); seed <= 24; seed++ {
		s := Simulate(seed, 3+int(seed%5), 5000, "")
		fmt.Fprintf(&text, "seed %d: trace %016x, %d messages, %d versions in force\n", seed, s.Trace, s.Messages, s.InForce)
	}
	path := filepath.Join("testdata", "golden", "traces.txt")
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), text.String())
}
