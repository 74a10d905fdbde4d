package fencing

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/jobs"
	"ashstand/testbed/host"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew")

func requireGolden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// reply is the answer of a recorder to one statement.
type reply struct {
	rows [][]byte
	tag  string
	code string // SQLSTATE of an error response; "": no error
}

// recorder is a fake database host that records every message that it receives.
type recorder struct {
	mu    sync.Mutex
	lines []string
	// replies are given in order, by prefix of the statement. The last one is repeated.
	replies map[string][]reply
}

func (r *recorder) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) nextReply(sql string) reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	for prefix, list := range r.replies {
		if strings.HasPrefix(sql, prefix) {
			if len(list) > 1 {
				r.replies[prefix] = list[1:]
			}
			return list[0]
		}
	}
	word, _, _ := strings.Cut(sql, " ")
	return reply{tag: word}
}

func (r *recorder) listen(t *testing.T) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var open sync.WaitGroup
	open.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			open.Go(func() { defer conn.Close(); r.serve(conn) })
		}
	})
	t.Cleanup(func() { l.Close(); open.Wait() })
	return l.Addr().String()
}

func (r *recorder) serve(conn net.Conn) {
	b := pgproto3.NewBackend(conn, conn)
	startup, err := b.ReceiveStartupMessage()
	start, ok := startup.(*pgproto3.StartupMessage)
	if err != nil || !ok {
		return
	}
	var parameters []string
	for _, k := range slices.Sorted(maps.Keys(start.Parameters)) {
		parameters = append(parameters, k+"="+start.Parameters[k])
	}
	r.record("startup %s", strings.Join(parameters, " "))
	b.Send(&pgproto3.AuthenticationOk{})
	status := byte('I')
	b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	sendReply := func(sql string) {
		response := r.nextReply(sql)
		if response.code != "" {
			b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: response.code, Message: "as the test has it"})
			return
		}
		for _, v := range response.rows {
			b.Send(&pgproto3.DataRow{Values: [][]byte{v}})
		}
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte(response.tag)})
	}
	var sql string
	var args []string
	for b.Flush() == nil {
		m, err := b.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			r.record("simple %s", m.String)
			for _, s := range strings.Split(m.String, "; ") {
				sendReply(s)
			}
			b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		case *pgproto3.Parse:
			sql = m.Query
			b.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			args = nil
			for _, p := range m.Parameters {
				args = append(args, string(p))
			}
			b.Send(&pgproto3.BindComplete{})
		case *pgproto3.Describe:
			b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}})
		case *pgproto3.Execute:
			r.record("extended %s %q", sql, args)
			sendReply(sql)
		case *pgproto3.Sync:
			b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		case *pgproto3.Terminate:
			return
		}
	}
}

func (r *recorder) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.lines, "\n") + "\n"
}

// The statements sent to a database host stay the same: for a fence row that exists, one that does not exist yet, one that
// holds a higher token, and a transaction that is rolled back.
func TestGoldenStatements(t *testing.T) {
	text := CreateFenceTable + "\n"
	primary := map[string][]reply{"SELECT pg_is_in_recovery()": {{rows: [][]byte{[]byte("f")}, tag: "SELECT 1"}}}
	for _, c := range []struct {
		name              string
		replies           map[string][]reply
		timeouts          Timeouts
		disabledGuarantee string
		transactionErr    error
		want              error
		replica           bool
	}{
		{name: "row there", replies: map[string][]reply{"UPDATE": {{tag: "UPDATE 1"}}}},
		{name: "row not there", replies: map[string][]reply{"UPDATE": {{tag: "UPDATE 0"}, {tag: "UPDATE 1"}}, "SELECT token": {{tag: "SELECT 0"}}, "INSERT": {{tag: "INSERT 0 1"}}}},
		{
			name: "higher token", replies: map[string][]reply{"UPDATE": {{tag: "UPDATE 0"}}, "SELECT token": {{rows: [][]byte{[]byte("18")}, tag: "SELECT 1"}}},
			want: &jobs.FencedError{Target: "h1", Presented: 17, Current: 18},
		},
		{
			name: "bounds", replies: map[string][]reply{"UPDATE": {{tag: "UPDATE 1"}}},
			timeouts: Timeouts{Lock: 1500 * time.Microsecond, Statement: 2 * time.Second, IdleInTransaction: 3 * time.Second},
		},
		{name: "without the fence", replies: map[string][]reply{"UPDATE": {{tag: "UPDATE 1"}}}, disabledGuarantee: "fence"},
		{name: "taken back", replies: map[string][]reply{"UPDATE": {{tag: "UPDATE 1"}}}, transactionErr: &pgconn.PgError{Code: "23505"}, want: &pgconn.PgError{Code: "23505"}},
		{name: "replica", replies: map[string][]reply{"SELECT pg_is_in_recovery()": {{rows: [][]byte{[]byte("t")}, tag: "SELECT 1"}}}, replica: true},
	} {
		r := &recorder{replies: maps.Clone(primary)}
		maps.Copy(r.replies, c.replies)
		address := r.listen(t)
		client := &Client{User: "ashstand", DisabledGuarantee: c.disabledGuarantee, Hosts: func(uint64) []Host { return []Host{{Name: "h1", Address: address, Group: 3, Primary: true}} }}
		err := client.TransactWithin(t.Context(), c.timeouts, 3, "orders", "d1", 17, "write", func(ctx context.Context, conn *pgconn.PgConn) error {
			if c.transactionErr != nil {
				return c.transactionErr
			}
			_, _, err := Exec(ctx, conn, "INSERT INTO t VALUES ($1)", "x")
			return err
		})
		var noPrimary *NoPrimaryError
		switch {
		case c.replica:
			require.ErrorAs(t, err, &noPrimary, c.name)
			require.Equal(t, []string{"h1: it is a replica"}, noPrimary.Attempts)
		case c.want != nil:
			require.Equal(t, c.want, err, c.name)
		default:
			require.NoError(t, err, c.name)
		}
		text += "-- " + c.name + "\n" + r.text()
	}
	requireGolden(t, "statements.txt", text)
}

// The contents of the fence row on a database host after several tokens were presented, one of them stale.
func TestGoldenFenceRow(t *testing.T) {
	c := host.NewCluster(1, 1)
	t.Cleanup(c.Close)
	h, err := c.Add("h1", "127.0.0.1:0")
	require.NoError(t, err)
	c.Database("orders")
	client := &Client{User: "ashstand", Hosts: func(uint64) []Host { return []Host{{Name: "h1", Address: h.Address, Group: 1, Primary: true}} }}
	conn, _, err := client.ConnectPrimary(t.Context(), 1, "orders")
	require.NoError(t, err)
	defer Close(conn)
	for _, sql := range []string{"CREATE SCHEMA IF NOT EXISTS ashstand", CreateFenceTable} {
		_, _, err = Exec(t.Context(), conn, sql)
		require.NoError(t, err)
	}
	var out bytes.Buffer
	presentToken := func(token jobs.FencingToken) {
		err := client.Transact(t.Context(), 1, "orders", "d1", token, "write", func(context.Context, *pgconn.PgConn) error { return nil })
		var fenced *jobs.FencedError
		if errors.As(err, &fenced) {
			fmt.Fprintf(&out, "token %d: fenced at %s by %d\n", fenced.Presented, fenced.Target, fenced.Current)
		} else {
			require.NoError(t, err)
			fmt.Fprintf(&out, "token %d: taken\n", token)
		}
		rows, _, err := Exec(t.Context(), conn, "SELECT work, token, closed, home FROM ashstand.fence")
		require.NoError(t, err)
		for _, r := range rows {
			fmt.Fprintf(&out, "row %q\n", r)
		}
	}
	for _, token := range []jobs.FencingToken{3, 3, 7, 5} {
		presentToken(token)
	}
	requireGolden(t, "fence-row.txt", out.String())
}
