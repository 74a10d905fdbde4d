// Package examples runs the example programs through the real pooler.
package examples

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/testbed/fleet"
)

func TestExamplesRunThroughThePooler(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "ashstand/cmd/ashstand", "ashstand/examples/pgx", "ashstand/examples/databasesql").CombinedOutput()
	require.NoError(t, err, "%s", out)
	f, err := fleet.Start(fleet.Options{Pooler: filepath.Join(dir, "ashstand"), Replicas: 2, Lag: 10 * time.Millisecond, Clients: 50, Servers: 8})
	require.NoError(t, err)
	defer f.Stop()
	for _, name := range []string{"pgx", "databasesql"} {
		out, err := exec.Command(filepath.Join(dir, name), "postgres://web@"+f.Pooler.Sessions+"/orders").CombinedOutput()
		require.NoError(t, err, "%s: %s\n%s", name, out, f.Pooler.Log())
	}
	for view, want := range map[string]string{"sessions": "transactions", "hosts": "host-0"} {
		out, err = exec.Command(filepath.Join(dir, "ashstand"), view, "--admin", f.Pooler.Admin).CombinedOutput()
		require.NoError(t, err, "%s", out)
		require.Contains(t, string(out), want)
	}
}
