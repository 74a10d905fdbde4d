package host

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// rig is a group with a database and as many hosts as a test asks for.
type rig struct {
	*Cluster
	t     *testing.T
	hosts []*Host
	db    *Database
}

func newRig(t *testing.T, group uint64, hosts int) *rig {
	r := &rig{Cluster: NewCluster(group, 1), t: t}
	t.Cleanup(r.Close)
	r.SetReplication(Replication{Retry: 30 * time.Millisecond, Timeout: 2 * time.Second, ConnectTime: 2 * time.Second})
	for i := range hosts {
		h, err := r.Add(fmt.Sprintf("h%d-%d", group, i), "127.0.0.1:0")
		require.NoError(t, err)
		r.hosts = append(r.hosts, h)
	}
	r.db = r.Database("shop")
	return r
}

type client struct {
	*pgx.Conn
	t   *testing.T
	ctx context.Context
}

func (r *rig) dial(h *Host) *client { return dialTo(r.t, h.Address, "shop") }

func dialTo(t *testing.T, address, database string) *client {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	c, err := pgx.Connect(ctx, "postgres://web@"+address+"/"+database+"?sslmode=disable")
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return &client{c, t, ctx}
}

func (c *client) do(sql string, args ...any) string {
	c.t.Helper()
	tag, err := c.Exec(c.ctx, sql, args...)
	require.NoError(c.t, err, sql)
	return tag.String()
}

// code is the SQLSTATE that a statement fails with; none: it does not.
func (c *client) code(sql string, args ...any) string {
	c.t.Helper()
	_, err := c.Exec(c.ctx, sql, args...)
	return stateOf(c.t, err)
}

func stateOf(t *testing.T, err error) string {
	t.Helper()
	if err == nil {
		return ""
	}
	var pe *pgconn.PgError
	require.True(t, errors.As(err, &pe), "%v", err)
	return pe.Code
}

// text is a query's result, its columns with commas and its rows with semicolons, by the simple protocol.
func (c *client) text(sql string) string {
	c.t.Helper()
	all, err := c.PgConn().Exec(c.ctx, sql).ReadAll()
	require.NoError(c.t, err, sql)
	var rows []string
	for _, r := range all[len(all)-1].Rows {
		var row []string
		for _, v := range r {
			if v == nil {
				row = append(row, "NULL")
			} else {
				row = append(row, string(v))
			}
		}
		rows = append(rows, strings.Join(row, ","))
	}
	return strings.Join(rows, ";")
}

// becomes waits until a query gives what is wanted.
func (c *client) becomes(want, sql string) {
	c.t.Helper()
	got := ""
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = c.text(sql); got == want {
			return
		}
	}
	require.Equal(c.t, want, got, sql)
}

func TestDatabasesAreApart(t *testing.T) {
	r := newRig(t, 1, 1)
	r.Database("other")
	shop, other, plain := r.dial(r.hosts[0]), dialTo(t, r.hosts[0].Address, "other"), dialTo(t, r.hosts[0].Address, "orders")
	shop.do("INSERT INTO entries (ref, payload) VALUES ($1, $2)", "k", "of shop")
	plain.do("INSERT INTO entries (ref, payload) VALUES ('k', 'of none')")
	require.Equal(t, "of shop", shop.text("SELECT payload FROM entries WHERE ref = 'k'"))
	require.Equal(t, "of none", plain.text("SELECT payload FROM entries WHERE ref = 'k'"))
	require.Empty(t, other.text("SELECT payload FROM entries WHERE ref = 'k'"))
	require.Equal(t, 1, r.Versions("public", "entries", "k"))
	require.Len(t, r.db.History("entries", "k"), 1)
	require.Equal(t, "other", other.text("SELECT current_database()"))
	r.Strict(true)
	_, err := pgx.Connect(context.Background(), "postgres://web@"+r.hosts[0].Address+"/orders?sslmode=disable")
	require.Equal(t, "3D000", stateOf(t, err))
}

func TestRowsAreChangedAndRead(t *testing.T) {
	r := newRig(t, 1, 1)
	c := r.dial(r.hosts[0])
	c.do("CREATE SCHEMA app")
	c.do("CREATE TABLE app.lines (shop text, n bigint, note text DEFAULT 'none', open boolean NOT NULL DEFAULT true, at timestamptz, PRIMARY KEY (shop, n))")
	require.Equal(t, "42P07", c.code("CREATE TABLE app.lines (n bigint)"))
	c.do("CREATE TABLE IF NOT EXISTS app.lines (n bigint)")
	require.Equal(t, "INSERT 0 3", c.do("INSERT INTO app.lines (shop, n, note) VALUES ('a', 2, 'x'), ('a', 10, NULL), ('b', 1, 'z')"))
	require.Equal(t, "23505", c.code("INSERT INTO app.lines (shop, n) VALUES ($1, $2)", "a", 10))
	require.Equal(t, "23502", c.code("INSERT INTO app.lines (shop, n, open) VALUES ('c', 1, NULL)"))
	require.Equal(t, "42703", c.code("SELECT missing FROM app.lines"))
	require.Equal(t, "42P01", c.code("SELECT * FROM lines"))
	require.Equal(t, "22P02", c.code("INSERT INTO app.lines (shop, n) VALUES ('a', 'ten')"))
	require.Equal(t, "a,2,x,t;a,10,NULL,t;b,1,z,t", c.text("SELECT shop, n, note, open FROM app.lines ORDER BY shop, n"))
	require.Equal(t, "b,1;a,10", c.text("SELECT shop, n FROM app.lines ORDER BY shop DESC, n DESC LIMIT 2"))
	require.Equal(t, "10", c.text("SELECT n FROM app.lines WHERE (shop, n) > ('a', 2) AND shop = 'a'"))
	require.Equal(t, "2,12,10,x", c.text("SELECT count(*), sum(n), max(n), string_agg(note, '|' ORDER BY n) FROM app.lines WHERE shop = 'a'"))
	require.Equal(t, "a;b", c.text(`SELECT DISTINCT shop::text AS shop FROM app.lines WHERE shop COLLATE "C" >= 'a' ORDER BY shop COLLATE "C"`))
	require.Equal(t, "a,2;b,1", c.text("SELECT shop, count(*) FROM app.lines GROUP BY shop ORDER BY 1"))
	require.Equal(t, "a/10", c.text("UPDATE app.lines SET note = 'y', n = n WHERE note IS NULL RETURNING shop || '/' || n"))
	require.Equal(t, "n", c.text(`INSERT INTO app.lines AS l (shop, n, note) VALUES ('a', 2, 'n')
		ON CONFLICT (shop, n) DO UPDATE SET note = excluded.note WHERE l.note = 'x' RETURNING note`))
	require.Equal(t, "INSERT 0 0", c.do("INSERT INTO app.lines (shop, n) VALUES ('a', 2) ON CONFLICT DO NOTHING"))
	require.Equal(t, "DELETE 1", c.do("DELETE FROM app.lines WHERE shop = $1 AND n BETWEEN $2 AND $3", "b", 0, 5))
	require.Empty(t, c.text("SELECT 1 FROM app.lines WHERE shop = 'b'"))
	require.True(t, r.db.History("app.lines", "b", "1")[1].Deleted)
	// Types, by the binary form of the extended protocol.
	var n int64
	var open bool
	var at time.Time
	now := time.Now().Truncate(time.Microsecond)
	c.do("UPDATE app.lines SET at = $1 WHERE shop = $2 AND n = $3", now, "a", 2)
	require.NoError(t, c.QueryRow(c.ctx, "SELECT n, open, at FROM app.lines WHERE note = $1", "n").Scan(&n, &open, &at))
	require.EqualValues(t, 2, n)
	require.True(t, open)
	require.True(t, now.Equal(at))
	require.NoError(t, c.QueryRow(c.ctx, "SELECT count(*) FROM app.lines WHERE shop = ANY($1)", []string{"a", "q"}).Scan(&n))
	require.EqualValues(t, 2, n)
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec,
	} {
		require.NoError(t, c.QueryRow(c.ctx, "UPDATE app.lines SET open = $1, at = $2 WHERE shop = $3 AND n = $4 RETURNING n", mode, false, now, "a",
			int64(2)).Scan(&n))
		require.EqualValues(t, 2, n)
		require.NoError(t, c.QueryRow(c.ctx, "SELECT n FROM app.lines WHERE n > $1 ORDER BY n LIMIT $2", mode, 2, 1).Scan(&n))
		require.EqualValues(t, 10, n)
	}
	// A transaction sees what it has written, others do not; savepoints take back.
	other := r.dial(r.hosts[0])
	c.do("BEGIN")
	c.do("INSERT INTO entries VALUES ('t', '1')")
	c.do("SAVEPOINT s")
	c.do("UPDATE entries SET payload = '2' WHERE ref = 't'")
	require.Equal(t, "2", c.text("SELECT payload FROM entries WHERE ref = 't'"))
	c.do("ROLLBACK TO s")
	require.Equal(t, "1", c.text("SELECT payload FROM entries WHERE ref = 't'"))
	require.Empty(t, other.text("SELECT payload FROM entries WHERE ref = 't'"))
	c.do("COMMIT")
	require.Equal(t, "1", other.text("SELECT payload FROM entries WHERE ref = 't'"))
	// A snapshot that holds.
	other.do("BEGIN ISOLATION LEVEL REPEATABLE READ")
	require.Equal(t, "1", other.text("SELECT payload FROM entries"))
	c.do("UPDATE entries SET payload = '9'")
	require.Equal(t, "1", other.text("SELECT payload FROM entries"))
	require.Equal(t, "40001", other.code("UPDATE entries SET payload = '8' WHERE ref = 't'"))
	other.do("ROLLBACK")
	// COPY, both ways, and a temporary table beside.
	k, err := c.CopyFrom(c.ctx, pgx.Identifier{"app", "lines"}, []string{"shop", "n", "note"}, pgx.CopyFromRows([][]any{{"z", 1, "tab\tand\nline"}, {
		"z", 2,
		nil,
	}}))
	require.NoError(t, err)
	require.EqualValues(t, 2, k)
	var out strings.Builder
	_, err = c.PgConn().CopyTo(c.ctx, &out, "COPY (SELECT n, note FROM app.lines WHERE shop = 'z') TO STDOUT")
	require.NoError(t, err)
	require.Equal(t, "1\ttab\\tand\\nline\n2\t\\N\n", out.String())
	c.do("CREATE TEMP TABLE mine (ref text, payload text)")
	c.do("INSERT INTO mine (ref, payload) VALUES ('k', 'own')")
	require.Equal(t, "own", c.text("SELECT payload FROM mine WHERE ref = 'k'"))
	require.Equal(t, "42P01", other.code("SELECT payload FROM mine"))
}

func TestRangesOfManyRowsAreCheap(t *testing.T) {
	r := newRig(t, 1, 1)
	r.db.Table("entries", Traits{}).Seed(100000)
	c := r.dial(r.hosts[0])
	began, from, seen := time.Now(), "", 0
	for {
		rows, err := c.Query(c.ctx, "SELECT ref, payload FROM entries WHERE ref > $1 ORDER BY ref LIMIT 1000", from)
		require.NoError(t, err)
		n := 0
		for rows.Next() {
			var ref, payload string
			require.NoError(t, rows.Scan(&ref, &payload))
			require.Greater(t, ref, from)
			from = ref
			n++
		}
		require.NoError(t, rows.Err())
		if n == 0 {
			break
		}
		seen += n
	}
	require.Equal(t, 100000, seen)
	t.Logf("100,000 rows by ranges of 1,000: %v", time.Since(began))
	s := &source{table: r.db.tables["public.entries"], columns: r.db.tables["public.entries"].columns}
	p := &parser{&words{of: lexemes(t, "ref > 'seed-0050000' AND 'seed-0050010' >= ref")}}
	where, f := p.expr()
	require.Nil(t, f)
	require.Nil(t, (&scope{sources: []*source{s}}).resolve(where))
	within, f := (&env{}).span(s, conjuncts(where), []*source{s})
	require.Nil(t, f)
	require.Equal(t, span{"seed-0050000", "seed-0050010"}, within)
}

func lexemes(t *testing.T, s string) []lexeme {
	list, _, f := read(s)
	require.Nil(t, f)
	return list[0]
}

const fenceTable = `CREATE SCHEMA ashstand;
CREATE TABLE ashstand.fence (work text PRIMARY KEY, token bigint NOT NULL, closed boolean NOT NULL, home bigint);
INSERT INTO ashstand.fence VALUES ('shop', 1, false, 1);
CREATE FUNCTION ashstand.guard() RETURNS trigger LANGUAGE plpgsql AS $$
BEGIN
  IF (SELECT closed FROM ashstand.fence WHERE work = current_database() FOR SHARE) THEN
    RAISE EXCEPTION 'tenant is closed' USING ERRCODE = '55000';
  END IF;
  RETURN CASE TG_OP WHEN 'DELETE' THEN OLD ELSE NEW END;
END $$;
CREATE TRIGGER fence BEFORE INSERT OR UPDATE OR DELETE ON entries FOR EACH ROW EXECUTE FUNCTION ashstand.guard();`

func (c *client) script(sql string) {
	c.t.Helper()
	_, err := c.PgConn().Exec(c.ctx, sql).ReadAll()
	require.NoError(c.t, err)
}

func TestRowLocksWait(t *testing.T) {
	r := newRig(t, 1, 1)
	a, b, eye := r.dial(r.hosts[0]), r.dial(r.hosts[0]), r.dial(r.hosts[0])
	waits := func() { eye.becomes("1", "SELECT count(*) FROM pg_stat_activity WHERE wait_event_type = 'Lock'") }
	a.script(fenceTable)
	a.do("BEGIN")
	a.do("SELECT token FROM ashstand.fence WHERE work = 'shop' FOR SHARE")
	b.do("SELECT token FROM ashstand.fence WHERE work = 'shop' FOR SHARE") // those who read let others read
	b.do("SET lock_timeout TO '50ms'")
	began := time.Now()
	require.Equal(t, "55P03", b.code("UPDATE ashstand.fence SET token = 2 WHERE work = 'shop'"))
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond)
	require.Equal(t, "55P03", b.code("SELECT token FROM ashstand.fence FOR UPDATE NOWAIT"))
	b.do("SET lock_timeout TO 0")
	done := make(chan string, 1)
	go func() { // it waits, and reads the row as it is then
		done <- b.text("UPDATE ashstand.fence SET token = token + 10 WHERE work = 'shop' RETURNING token")
	}()
	waits()
	a.do("UPDATE ashstand.fence SET token = 5 WHERE work = 'shop'")
	a.do("COMMIT")
	require.Equal(t, "15", <-done)
	// A deadlock is found, and one of the two goes on.
	a.do("INSERT INTO entries VALUES ('1', ''), ('2', '')")
	a.do("BEGIN")
	b.do("BEGIN")
	a.do("UPDATE entries SET payload = 'a' WHERE ref = '1'")
	b.do("UPDATE entries SET payload = 'b' WHERE ref = '2'")
	failed := make(chan string, 1)
	go func() { failed <- a.code("UPDATE entries SET payload = 'a' WHERE ref = '2'") }()
	waits()
	second := b.code("UPDATE entries SET payload = 'b' WHERE ref = '1'")
	b.do("ROLLBACK")
	require.Equal(t, "40P01", second)
	require.Empty(t, <-failed)
	a.do("COMMIT")
	require.Equal(t, "a;a", b.text("SELECT payload FROM entries ORDER BY ref"))
	// Two that insert the same key: the second waits for the first.
	a.do("BEGIN")
	a.do("INSERT INTO entries VALUES ('new', '')")
	go func() { failed <- b.code("INSERT INTO entries VALUES ('new', '')") }()
	waits()
	a.do("COMMIT")
	require.Equal(t, "23505", <-failed)
	// The locks of a connection that breaks are free.
	a.do("BEGIN")
	a.do("SELECT 1 FROM ashstand.fence FOR UPDATE")
	require.NoError(t, a.Close(a.ctx))
	b.do("SET lock_timeout TO '5s'")
	b.do("UPDATE ashstand.fence SET token = 1")
	// Advisory locks: of the session, and of a transaction.
	a = r.dial(r.hosts[0])
	a.do("SELECT pg_advisory_lock(7)")
	require.Equal(t, "f", b.text("SELECT pg_try_advisory_xact_lock(7)"))
	require.Equal(t, "t", a.text("SELECT pg_advisory_unlock(7)"))
	require.Equal(t, "t", b.text("SELECT pg_try_advisory_lock(7)"))
}

func TestGuardRefusesWritesOfAClosedTenant(t *testing.T) {
	r := newRig(t, 1, 1)
	a, b := r.dial(r.hosts[0]), r.dial(r.hosts[0])
	a.script(fenceTable)
	a.do("INSERT INTO entries VALUES ('1', 'x')")
	// Who closes waits for who writes: no write comes after the close.
	a.do("BEGIN")
	a.do("INSERT INTO entries VALUES ('2', 'x')")
	b.do("SET lock_timeout TO '30ms'")
	require.Equal(t, "55P03", b.code("UPDATE ashstand.fence SET closed = true"))
	a.do("COMMIT")
	b.do("UPDATE ashstand.fence SET closed = true, token = token + 1 WHERE work = 'shop' AND token = $1", 1)
	for _, sql := range []string{
		"INSERT INTO entries VALUES ('3', 'x')", "UPDATE entries SET payload = 'y' WHERE ref = '1'", "DELETE FROM entries",
		"COPY entries FROM STDIN",
	} {
		var err error
		if strings.HasPrefix(sql, "COPY") {
			_, err = a.PgConn().CopyFrom(a.ctx, strings.NewReader("4\tx\n"), sql)
		} else {
			_, err = a.Exec(a.ctx, sql)
		}
		var pe *pgconn.PgError
		require.ErrorAs(t, err, &pe, sql)
		require.Equal(t, "55000", pe.Code)
		require.Equal(t, "tenant is closed", pe.Message)
	}
	require.Equal(t, "x;x", a.text("SELECT payload FROM entries"))
	a.do("SET session_replication_role TO replica")
	a.do("INSERT INTO entries VALUES ('3', 'as apply does')")
	a.do("ALTER TABLE entries ENABLE ALWAYS TRIGGER fence")
	require.Equal(t, "55000", a.code("INSERT INTO entries VALUES ('4', '')"))
	a.do("DROP TRIGGER fence ON entries")
	a.do("INSERT INTO entries VALUES ('4', '')")
}
