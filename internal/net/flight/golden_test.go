package flight

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	arrowflight "github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/stretchr/testify/require"
	spb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/lifecycle"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the files of testdata/golden with what the program writes now")

// golden compares got with the committed file and returns the content of the file.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), name)
	return want
}

// statusLine formats an error as it is sent: its code and the encoded status.
func statusLine(t *testing.T, name string, err error) string {
	t.Helper()
	s, ok := status.FromError(err)
	require.True(t, ok, name)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Proto())
	require.NoError(t, err)
	return fmt.Sprintf("%s %v %s\n", name, s.Code(), hex.EncodeToString(b))
}

// readStatus decodes a committed status and checks that it encodes to the same bytes.
func readStatus(t *testing.T, encoded string) error {
	t.Helper()
	b, err := hex.DecodeString(encoded)
	require.NoError(t, err)
	var p spb.Status
	require.NoError(t, proto.Unmarshal(b, &p))
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(&p)
	require.NoError(t, err)
	require.Equal(t, encoded, hex.EncodeToString(again))
	return status.ErrorProto(&p)
}

// TestGoldenFinalStatus checks the statuses of all final answers that are errors, and how a pooler classifies each.
func TestGoldenFinalStatus(t *testing.T) {
	results := []struct {
		name   string
		result edge.Result
		read   dispatch.Code
	}{
		{"refused", edge.Result{Verdict: edge.Rejected, Permit: lifecycle.PermitUntried(), Detail: "no host", RetryAfterMillis: 250.5}, dispatch.Rejected},
		{"refused-without-advice", edge.Result{Verdict: edge.Rejected, Permit: lifecycle.PermitUntried(), Detail: "no host"}, dispatch.Rejected},
		{"timed-out", edge.Result{Verdict: edge.TimedOut, Detail: "no answer"}, dispatch.NoAnswer},
		{"invalid", edge.Result{Verdict: edge.Invalid, Detail: "no class"}, dispatch.ServerError},
		{"left", edge.Result{Verdict: edge.Disconnected, Detail: "unused"}, dispatch.Cancelled},
		{"failed", edge.Result{Verdict: edge.Failed, Detail: "it broke"}, dispatch.ServerError},
	}
	var out bytes.Buffer
	for _, r := range results {
		out.WriteString(statusLine(t, r.name, resultStatus(&r.result)))
	}
	lines := strings.Split(strings.TrimSpace(string(golden(t, "final-status.txt", out.Bytes()))), "\n")
	require.Len(t, lines, len(results))
	for i, line := range lines {
		fields := strings.Fields(line)
		require.Len(t, fields, 3, line)
		require.Equal(t, results[i].read, codeOf(readStatus(t, fields[2])), results[i].name)
	}
}

// TestGoldenHostStatus checks the statuses by which a host reports that a request did not run, and how each is classified.
func TestGoldenHostStatus(t *testing.T) {
	errs := []struct {
		name string
		err  error
		read dispatch.Code
	}{
		{"not-primary", newStatus(codes.FailedPrecondition, "a replica", reasonNotPrimary, 0), dispatch.Misdirected},
		{"behind", newStatus(codes.FailedPrecondition, "too old", reasonBehind, 0), dispatch.Misdirected},
		{"full", newStatus(codes.ResourceExhausted, "full", reasonHostRejected, 10), dispatch.Rejected},
		{"draining", newStatus(codes.Unavailable, "draining", reasonHostRejected, 0), dispatch.Rejected},
		{"bare-unavailable", newStatus(codes.Unavailable, "reset", "", 0), dispatch.ConnectionLost},
	}
	var out bytes.Buffer
	for _, e := range errs {
		out.WriteString(statusLine(t, e.name, e.err))
	}
	lines := strings.Split(strings.TrimSpace(string(golden(t, "host-status.txt", out.Bytes()))), "\n")
	require.Len(t, lines, len(errs))
	for i, line := range lines {
		fields := strings.Fields(line)
		require.Len(t, fields, 3, line)
		require.Equal(t, errs[i].read, codeOf(readStatus(t, fields[2])), errs[i].name)
	}
}

// TestGoldenTrailer checks the keys and formats of the trailing metadata, for writing and for reading.
func TestGoldenTrailer(t *testing.T) {
	answer := edge.Answer{Role: rolePrimary, Position: 1.7e12 + 0.25, LoadReport: "x0=1700000000.25,x1=1"}
	var out bytes.Buffer
	md := writeTrailer(&answer)
	md.Set(metaReturning, "four")
	var names []string
	for name := range md {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&out, "%s: %s\n", name, strings.Join(md[name], "|"))
	}
	committed := metadata.MD{}
	for _, line := range strings.Split(strings.TrimSpace(string(golden(t, "trailer.txt", out.Bytes()))), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		committed.Append(name, value)
	}
	var read edge.Answer
	o := readTrailer(committed, &read)
	require.Equal(t, answer, read)
	require.Equal(t, dispatch.Primary, o.Role)
	require.Equal(t, answer.Position, o.Position)
	require.Equal(t, edge.ParseLoadReport(answer.LoadReport), o.Report)
	committed.Delete(metaReturning)
	require.Equal(t, committed, writeTrailer(&read))
}

// TestGoldenStatementErrors checks the statuses of statements that are rejected by a front without an endpoint list.
func TestGoldenStatementErrors(t *testing.T) {
	f := &Front{}
	var out bytes.Buffer
	for _, text := range []string{"", "SELECT 1", "/* c=browse */ SELECT 1", "/* id=1,c=browse,d=x,cluster=1 */ SELECT 1"} {
		_, err := f.parse(text, nil)
		require.Error(t, err, text)
		out.WriteString(statusLine(t, fmt.Sprintf("%q", strings.ReplaceAll(text, " ", "_")), err))
	}
	_, err := f.parse("/* id=1,c=browse,d=900,cluster=1 */ SELECT 1", []byte("t"))
	out.WriteString(statusLine(t, "transaction", err))
	golden(t, "statement-errors.txt", out.Bytes())
}

// TestGoldenTicket checks the format of the ticket, which a client may present to another pooler.
func TestGoldenTicket(t *testing.T) {
	b, err := flightsql.CreateStatementQueryTicket([]byte("/* id=1,c=browse,d=900,cluster=1 */ SELECT 1"))
	require.NoError(t, err)
	committed := golden(t, "ticket.txt", []byte(hex.EncodeToString(b)+"\n"))
	decoded, err := hex.DecodeString(strings.TrimSpace(string(committed)))
	require.NoError(t, err)
	ticket, err := flightsql.GetStatementQueryTicket(&arrowflight.Ticket{Ticket: decoded})
	require.NoError(t, err)
	require.Equal(t, "/* id=1,c=browse,d=900,cluster=1 */ SELECT 1", string(ticket.GetStatementHandle()))
}

// TestGoldenRecords checks the encoding of an answer's row in the Arrow stream format.
func TestGoldenRecords(t *testing.T) {
	var out bytes.Buffer
	for _, a := range []edge.Answer{
		{Column: "payload", Type: oidBytea, Binary: true, Value: []byte{0, 1, 255}},
		{Column: "name", Type: oidText, Value: []byte("four")},
		{Column: "count", Type: 23, Value: []byte("4")},
		{Column: "payload", Type: oidBytea, Null: true},
		{Column: "name", Type: oidText, Null: true},
	} {
		schema, b := recordBatch(&a)
		var stream bytes.Buffer
		w := ipc.NewWriter(&stream, ipc.WithSchema(schema))
		require.NoError(t, w.Write(b))
		require.NoError(t, w.Close())
		b.Release()
		fmt.Fprintf(&out, "%s %d null=%t: %s\n", a.Column, a.Type, a.Null, hex.EncodeToString(stream.Bytes()))
	}
	golden(t, "records.txt", out.Bytes())
}

// codeOf returns the outcome code of an exchange that a host's error ended before any message of the result arrived.
func codeOf(err error) dispatch.Code {
	code, _ := classifyError(err, exchangeFacts{})
	return code
}
