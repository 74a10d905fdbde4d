package cluster

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Tenants move between groups on real processes while sessions use them and one pooler is killed.
func TestTenantsMoveOnRealProcesses(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ashstand")
	out, err := exec.Command("go", "build", "-o", program, "ashstand/cmd/ashstand").CombinedOutput()
	require.NoError(t, err, string(out))
	p := Draw(7, 3, 14*time.Second, 100*time.Millisecond, 0, nil)
	p.Faults = []Fault{{Kind: "kill", A: "n2", At: 2500, For: 500}}
	o, err := RunMigrations(context.Background(), Options{Plan: p, Pooler: program, Groups: 2, Tenants: 2})
	require.NoError(t, err)
	require.True(t, o.Result.Passed(), "%v %v", o.Result.Broken, o.Result.Notes)
	require.Positive(t, o.Result.Baseline["moves ended"]+o.Result.Baseline["moves taken back"])
	require.Positive(t, o.Result.Baseline["writes done"])
}
