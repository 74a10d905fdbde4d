package noop

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
	"ashstand/testbed/host"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew")

func golden(t *testing.T, name, got string) string {
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(want)
}

// The encodings of the kind, the spec and the state in the log stay the same.
func TestGoldenEncodings(t *testing.T) {
	spec := Spec{Database: "orders", Groups: []uint64{1, 2}, Operations: 20, IntervalMillis: 500.5}
	st := state{PreparedGroups: 2, Written: 7, WrittenAtMillis: 1234.5}
	encodedSpec, err := json.Marshal(spec)
	require.NoError(t, err)
	encodedState, err := json.Marshal(st)
	require.NoError(t, err)
	text := KindName + "\n" + string(encodedSpec) + "\n" + string(encodedState) + "\n"
	want := golden(t, "encodings.txt", text)
	require.Equal(t, want, text)
	lines := strings.Split(want, "\n")
	decodedSpec, decodedState, err := decode(&jobs.Job{Spec: []byte(lines[1]), State: []byte(lines[2])})
	require.NoError(t, err)
	require.Equal(t, spec, decodedSpec)
	require.Equal(t, st, decodedState)
}

// A whole run: the announced operations, the confirmed states, and the rows on the database host afterwards. The random part of
// each row's key, which follows the operation's ID, is left out.
func TestGoldenRun(t *testing.T) {
	c := host.NewCluster(1, 1)
	t.Cleanup(c.Close)
	h, err := c.Add("h1", "127.0.0.1:0")
	require.NoError(t, err)
	c.Database("orders")
	client := &fencing.Client{User: "ashstand", Hosts: func(uint64) []fencing.Host {
		return []fencing.Host{{Name: "h1", Address: h.Address, Group: 1, Primary: true}}
	}}
	handler := &Handler{Client: client, Now: func() float64 { return 1000 }}
	spec, err := json.Marshal(Spec{Database: "orders", Groups: []uint64{1}, Operations: 3, IntervalMillis: 10})
	require.NoError(t, err)
	job := &jobs.Job{Name: "d1", Kind: KindName, Spec: spec, Token: 17}
	var out bytes.Buffer
	for !job.Finished {
		if job.Step == 3 {
			job.Approval = &jobs.Approval{Action: "stop", Step: 3, Persistent: true}
		}
		decision := handler.Next(1000, job, nil)
		fmt.Fprintf(&out, "next %q wait %v word %v", decision.OperationName, decision.RetryAfterMillis, decision.Approval)
		for _, o := range decision.Options {
			fmt.Fprintf(&out, " option %q lasting %v", o.Action, o.Persistent)
		}
		fmt.Fprintln(&out)
		if decision.OperationName == "" {
			decision = handler.Next(1000+decision.RetryAfterMillis, job, nil)
		}
		operation := &jobs.Operation{Number: job.NextOperationNumber(), Name: decision.OperationName, Token: 17}
		result, err := handler.Execute(t.Context(), job, operation)
		require.NoError(t, err)
		done, found, err := handler.Recover(t.Context(), job, operation)
		require.NoError(t, err)
		fmt.Fprintf(&out, "%s: state %s ended %v %q; found %v %s\n", operation.ID(job.Name), result.State, result.Finished, result.Reason, done, found.State)
		job.State, job.Finished, job.Step = result.State, result.Finished, job.Step+1
	}
	conn, _, err := client.ConnectPrimary(t.Context(), 1, "orders")
	require.NoError(t, err)
	defer fencing.Close(conn)
	rows, _, err := fencing.Exec(t.Context(), conn, "SELECT ref, payload FROM ashstand.acts ORDER BY ref")
	require.NoError(t, err)
	for _, r := range rows {
		id, suffix, _ := strings.Cut(r[0], "#")
		require.Len(t, suffix, 16)
		fmt.Fprintf(&out, "row %q by token %s\n", id, r[1])
	}
	rows, _, err = fencing.Exec(t.Context(), conn, "SELECT work, token, closed, home FROM ashstand.fence")
	require.NoError(t, err)
	fmt.Fprintf(&out, "fence %q\n", rows)
	require.Equal(t, golden(t, "run.txt", out.String()), out.String())
}
