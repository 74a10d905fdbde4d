package host

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// The stand-in is judged by a client of other people's, which expects a real server.
func TestStandInKeepsSessionState(t *testing.T) {
	c := NewCluster(1, 1)
	h, err := c.Add("a", "127.0.0.1:0")
	require.NoError(t, err)
	defer h.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	p, err := pgx.Connect(ctx, "postgres://web@"+h.Address+"/orders?sslmode=disable&application_name=x")
	require.NoError(t, err)
	defer func() { _ = p.Close(ctx) }()
	show := func(name string) (v string) {
		require.NoError(t, p.QueryRow(ctx, "SHOW "+name).Scan(&v))
		return v
	}
	exec := func(text string, args ...any) string {
		tag, err := p.Exec(ctx, text, args...)
		require.NoError(t, err, text)
		return tag.String()
	}
	require.Equal(t, "x", show("application_name"))
	exec("SET app.a TO 'it''s'")
	exec("BEGIN")
	exec("SET app.a TO 1")
	exec("SAVEPOINT s")
	exec("SET app.a TO 2")
	exec("SET LOCAL work_mem TO '9MB'")
	require.Equal(t, "9MB", show("work_mem"))
	exec("ROLLBACK TO s")
	require.Equal(t, "1", show("app.a"))
	require.Equal(t, "4MB", show("work_mem"))
	require.Equal(t, "INSERT 0 1", exec("INSERT INTO entries (ref, payload) VALUES ($1, $2)", "k", "v"))
	_, err = p.Exec(ctx, "SELECT 1/0")
	require.ErrorContains(t, err, "22012")
	_, err = p.Exec(ctx, "SELECT 1")
	require.ErrorContains(t, err, "25P02")
	exec("COMMIT") // of a failed block
	require.Equal(t, "it's", show("app.a"))
	require.Zero(t, c.Versions("public", "entries", "k"))
	exec("INSERT INTO entries (ref, payload) VALUES ($1, $2)", "k", "v")
	exec("SET search_path TO other")
	var v string
	require.ErrorIs(t, p.QueryRow(ctx, "SELECT payload FROM entries WHERE ref = $1", "k").Scan(&v), pgx.ErrNoRows)
	exec("RESET search_path")
	require.NoError(t, p.QueryRow(ctx, "SELECT payload FROM entries WHERE ref = $1", "k").Scan(&v))
	require.Equal(t, "v", v)
	n, err := p.CopyFrom(ctx, pgx.Identifier{"entries"}, []string{"ref", "payload"}, pgx.CopyFromRows([][]any{{"a", "1"}, {"b", "2"}}))
	require.NoError(t, err)
	require.EqualValues(t, 2, n)
	require.Equal(t, 1, c.Versions("public", "entries", "b"))
	_, err = p.PgConn().Exec(ctx, "SET app.a TO 5; SELECT 1/0").ReadAll()
	require.Error(t, err)
	require.Equal(t, "it's", show("app.a"), "one query string is one transaction")
	// A cancel, and a commit of which the answer is lost.
	time.AfterFunc(30*time.Millisecond, func() { _ = p.PgConn().CancelRequest(ctx) })
	_, err = p.Exec(ctx, "SELECT pg_sleep(10)")
	var pe *pgconn.PgError
	require.ErrorAs(t, err, &pe)
	require.Equal(t, "57014", pe.Code)
	h.SetFaults(Faults{CutAfter: 1})
	_, err = p.Exec(ctx, "INSERT INTO entries (ref, payload) VALUES ('z', '1')")
	require.Error(t, err)
	require.Equal(t, 1, c.Versions("public", "entries", "z"))
	require.Equal(t, 1, h.Counts.All()["cut_after_commit"])
	h.SetFaults(Faults{})
	// A replica lags, and takes no writes.
	r, err := c.Add("b", "127.0.0.1:0")
	require.NoError(t, err)
	defer r.Stop()
	r.SetLag(time.Hour)
	q, err := pgx.Connect(ctx, "postgres://web@"+r.Address+"/orders?sslmode=disable")
	require.NoError(t, err)
	defer func() { _ = q.Close(ctx) }()
	require.ErrorIs(t, q.QueryRow(ctx, "SELECT payload FROM entries WHERE ref = 'k'").Scan(&v), pgx.ErrNoRows)
	_, err = q.Exec(ctx, "INSERT INTO entries (ref, payload) VALUES ('y', '1')")
	require.ErrorContains(t, err, "25006")
	c.Fail(r, 0, true)
	require.NoError(t, q.QueryRow(ctx, "SELECT payload FROM entries WHERE ref = 'k'").Scan(&v))
}
