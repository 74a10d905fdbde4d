package main

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/admin"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/jobs/executor"
)

// runCommand runs the program's command line and returns what it printed.
func runCommand(t *testing.T, args ...string) (stdout, stderr string, err error) {
	t.Helper()
	var out, errOut bytes.Buffer
	c := command()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&errOut)
	err = c.Execute()
	return out.String(), errOut.String(), err
}

// The jobs commands bring their requests in; those by the names of earlier versions do the same, and say so on standard error.
func TestJobCommandsAndTheirDeprecatedNames(t *testing.T) {
	t.Setenv("USER", "ann")
	var got string
	address := serveAdmin(t, nil, map[string]admin.Command{"jobs": func(_ context.Context, body []byte) (any, error) {
		got = string(body)
		return jobResponse{"d1"}, nil
	}})
	const noopBody = `{"create":{"name":"d1","kind":"noop","spec":{"database":"orders","groups":[1,2],"deeds":7,"every_ms":60}}}`
	const approveBody = `{"approve":{"name":"d1","action":"stop","by":"ann","step":4,"persistent":true}}`
	for _, c := range []struct {
		args   []string
		body   string
		stderr string
	}{
		{[]string{"jobs", "noop", "d1", "--database", "orders", "--groups", "1,2", "--operations", "7", "--interval-ms", "60"}, noopBody, ""},
		{[]string{"jobs", "approve", "d1", "stop", "--step", "4"}, approveBody, ""},
		{
			[]string{"works", "drill", "d1", "--database", "orders", "--groups", "1,2", "--operations", "7", "--interval-ms", "60"},
			noopBody,
			"ashstand: command works drill is deprecated: use jobs noop\n",
		},
		{[]string{"works", "say", "d1", "stop", "--step", "4"}, approveBody, "ashstand: command works say is deprecated: use jobs approve\n"},
	} {
		got = ""
		_, stderr, err := runCommand(t, append(c.args, "--admin", address)...)
		require.NoError(t, err, "%v", c.args)
		require.Equal(t, c.body, got, "%v", c.args)
		require.Equal(t, c.stderr, stderr, "%v", c.args)
	}
	stdout, stderr, err := runCommand(t, "works", "drill", "d1", "--database", "orders", "--groups", "1,2", "--deeds", "7", "--every-ms", "60", "--admin", address)
	require.NoError(t, err)
	require.Equal(t, noopBody, got)
	printed := stdout + stderr // without an output of its own the command prints these on standard error
	require.Contains(t, printed, "use --operations")
	require.Contains(t, printed, "use --interval-ms")
	_, _, err = runCommand(t, "jobs", "approve", "d1", "stop", "--admin", address)
	require.ErrorIs(t, err, errStepMissing)
}

// jobs list and works list print the same table; their JSON has the keys of their versions.
func TestJobListAndItsDeprecatedName(t *testing.T) {
	status := &executor.Status{WaitingFor: "the interval", Options: []jobs.ApprovalOption{{Action: "stop", Effect: "it finishes", Persistent: true}}}
	job := jobs.Job{
		Name: "d1", Kind: "drill", Holder: "n1", Token: 17, Step: 4, HolderCount: 5, Operation: &jobs.Operation{Number: 6, Name: "write", Token: 17},
		Approval: &jobs.Approval{Action: "stop", By: "ann", Step: 4, Persistent: true},
	}
	legacy := legacyJobsView{On: true, Works: []legacyJobView{{Job: job, Here: status}}}
	address := serveAdmin(t, map[string]func() any{"works": func() any { return legacy }, "jobs": func() any { return legacy.standard() }}, nil)
	table, stderr, err := runCommand(t, "jobs", "list", "--admin", address)
	require.NoError(t, err)
	require.Empty(t, stderr)
	require.Contains(t, table, "d1    noop  n1      17     4     write      5        the interval [stop: it finishes]")
	legacyTable, stderr, err := runCommand(t, "works", "list", "--admin", address)
	require.NoError(t, err)
	require.Equal(t, "ashstand: command works list is deprecated: use jobs list\n", stderr)
	require.Equal(t, table, legacyTable)
	text, _, err := runCommand(t, "jobs", "list", "--json", "--admin", address)
	require.NoError(t, err)
	var standard jobsView
	require.NoError(t, json.Unmarshal([]byte(text), &standard))
	require.Equal(t, legacy.standard(), standard)
	for _, key := range []string{`"holder": "n1"`, `"operation": {`, `"action": "stop"`, `"waiting_for": "the interval"`, `"effect": "it finishes"`} {
		require.Contains(t, text, key)
	}
	text, _, err = runCommand(t, "works", "list", "--json", "--admin", address)
	require.NoError(t, err)
	var read legacyJobsView
	require.NoError(t, json.Unmarshal([]byte(text), &read))
	require.Equal(t, legacy, read)
}

// A voter's folder is written by cluster bootstrap, and by its name in earlier versions.
func TestBootstrapAndItsDeprecatedName(t *testing.T) {
	for name, stderr := range map[string]string{"bootstrap": "", "found": "ashstand: command cluster found is deprecated: use cluster bootstrap\n"} {
		folder := t.TempDir()
		_, printed, err := runCommand(t, "cluster", name, "n1", "--folder", folder, "--voters", "n1,n2,n3")
		require.NoError(t, err, name)
		require.Equal(t, stderr, printed, name)
		written, err := filepath.Glob(filepath.Join(folder, "*"))
		require.NoError(t, err)
		require.NotEmpty(t, written, name)
	}
}

// Requests in the form of earlier versions reach the same checks as those in the present one; a noop job is stored under the
// kind's name of earlier versions.
func TestJobRequestsInBothForms(t *testing.T) {
	service := &jobService{handlers: map[string]jobs.Handler{"drill": nil}}
	service.handlers["drill"] = handlerStub{}
	n := idleNode()
	n.others = &fellows{jobs: service}
	ctx := t.Context()
	for body, code := range map[string]jobs.RejectCode{
		`{`:  jobs.RejectMalformed,
		`{}`: jobs.RejectMalformed,
		`{"create":{"name":"d1","kind":"none"},"approve":{"name":"d1"}}`: jobs.RejectMalformed,
		`{"create":{"name":"d1","kind":"none"}}`:                         jobs.RejectMalformed,
		`{"create":{"name":"d1","kind":"noop","spec":{}}}`:               "bad_spec",
	} {
		_, err := n.requestJob(ctx, []byte(body))
		require.Equal(t, string(code), admin.NewRemoteError(err).Code(), body)
	}
	_, err := n.requestLegacyJob(ctx, []byte(`{"op":"create","work":"d1","kind":"noop","spec":{}}`))
	require.Equal(t, "bad_spec", admin.NewRemoteError(err).Code())
	for _, kind := range []string{"noop", "drill"} {
		entry := jobs.Create{Job: "d1", Kind: kind, Spec: []byte(`{"database":"orders","groups":[3],"deeds":1}`)}.Entry()
		require.NoError(t, service.prepareCreate(&entry))
		require.Equal(t, "drill", entry.JobKind)
		require.Equal(t, []uint64{3}, entry.RequiredGroups)
	}
	_, err = idleNode().requestJob(ctx, []byte(`{`))
	require.Equal(t, "works_off", admin.NewRemoteError(err).Code())
}

// handlerStub is a handler that is never called.
type handlerStub struct{ jobs.Handler }
