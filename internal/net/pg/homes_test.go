package pg

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/session"
	lab "ashstand/testbed/host"
)

// fakeAssignments is an Assignments whose assignments are set by a test.
type fakeAssignments struct {
	of    atomic.Pointer[map[string]session.Assignment]
	front *SessionFront
}

func (h *fakeAssignments) Assignment(database string, _ float64) session.Assignment {
	if m := h.of.Load(); m != nil {
		return (*m)[database]
	}
	return session.Assignment{}
}

// set changes the assignment of the database orders and notifies the front.
func (h *fakeAssignments) set(to session.Assignment) {
	m := map[string]session.Assignment{}
	if old := h.of.Load(); old != nil {
		for k, v := range *old {
			m[k] = v
		}
	}
	if to.Paused && to.PausedSince == 0 {
		to.PausedSince = clock.System().Now()
	}
	m["orders"] = to
	h.of.Store(&m)
	if h.front != nil {
		h.front.ReassignTenants()
	}
}

// assignedTo is an assignment to a group.
func assignedTo(group uint64) session.Assignment {
	return session.Assignment{HasGroup: true, Group: group}
}

// pausedAt is an assignment to a group with the tenant paused.
func pausedAt(group uint64) session.Assignment {
	return session.Assignment{HasGroup: true, Group: group, Paused: true}
}

// tenantFixture is a front with two groups; the database orders is assigned to the first.
type tenantFixture struct {
	*poolerFixture
	assignments *fakeAssignments
	other       *lab.Cluster
	c           *lab.Host     // the primary of group 2
	proxy       *fencingProxy // in front of a, the primary of group 1
}

// startTenantFixture starts a front with two groups. change, unless nil, modifies the limits.
func startTenantFixture(t testing.TB, change func(l *SessionLimits)) *tenantFixture {
	h := &fakeAssignments{}
	h.set(assignedTo(1))
	w := &tenantFixture{assignments: h, other: lab.NewCluster(2, 2)}
	w.poolerFixture = startPooler(t, func(l *SessionLimits) {
		l.MaxPausedTransactions = 5000
		l.Pools[0].MaxPausedTransactions, l.Pools[0].MaxPauseMillis, l.Pools[0].WaitTimeoutMillis = 1000, 60000, 30000
		if change != nil {
			change(l)
		}
	}, h)
	h.front = w.front
	var err error
	w.c, err = w.other.Add("c", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(w.c.Stop)
	w.proxy = newFencingProxy(t, w.a.Address)
	w.front.SetAddress("a", w.proxy.address)
	w.front.SetAddress("c", w.c.Address)
	w.dispatcher.UpdateEndpoints(false, []dispatch.Endpoint{{Host: "c", Group: 2, Primary: true}})
	return w
}

// tenantStats returns the statistics of the tenant orders.
func (w *tenantFixture) tenantStats() TenantStats {
	for _, h := range w.front.TenantStats() {
		if h.Database == "orders" {
			return h
		}
	}
	return TenantStats{}
}

// requireQueued waits until n transactions of the tenant are queued.
func (w *tenantFixture) requireQueued(n int) {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return w.tenantStats().Queued == n }, 10*time.Second, time.Millisecond, "%d transactions are queued, not %d", w.tenantStats().Queued, n)
}

// execAsync runs a statement on a goroutine and sends its error.
func execAsync(c *pgx.Conn, text string, args ...any) chan error {
	out := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), text, args...)
		out <- err
	}()
	return out
}

// insert returns a statement that inserts an entry.
func (w *tenantFixture) insert(ref string) string {
	return "INSERT INTO entries (ref, payload) VALUES ('" + ref + "', '1')"
}

// fencingProxy is a proxy in front of a host. While shut is set it rejects writes as the fencing trigger of a
// closed tenant does.
type fencingProxy struct {
	address             string
	rejectWrites        atomic.Bool
	noticeFirst         atomic.Pointer[chan struct{}] // a notice precedes the rejection, which waits until the channel is closed
	closeAfterRejection atomic.Bool                   // the connection is closed after the rejection
	holdSlowQueries     atomic.Pointer[chan struct{}] // queries that contain "slow" wait until the channel is closed
	heldQueries         atomic.Int64
	rejections          atomic.Int64
	holdReadyForQuery   atomic.Pointer[chan struct{}] // ReadyForQuery follows the next rejection once the channel is closed
}

// newFencingProxy starts a proxy to the host at an address.
func newFencingProxy(t testing.TB, host string) *fencingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := &fencingProxy{address: l.Addr().String()}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c, host)
		}
	}()
	return g
}

// serve relays one connection.
func (g *fencingProxy) serve(c net.Conn, host string) {
	defer c.Close()
	s, err := net.Dial("tcp", host)
	if err != nil {
		return
	}
	defer s.Close()
	status := atomic.Int32{}
	status.Store('I')
	go func() { // relays the host's messages and records the transaction status
		defer c.Close()
		head, from := make([]byte, 5), bufio.NewReader(s)
		var out []byte // messages that were read at once are written at once
		for {
			if _, err := io.ReadFull(from, head); err != nil {
				return
			}
			body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
			if _, err := io.ReadFull(from, body); err != nil {
				return
			}
			if head[0] == 'Z' {
				status.Store(int32(body[0]))
			}
			if out = append(append(out, head...), body...); from.Buffered() > 0 {
				continue
			}
			if _, err := c.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
	}()
	first := make([]byte, 4)
	if _, err := io.ReadFull(c, first); err != nil {
		return
	}
	if _, err := io.CopyN(io.MultiWriter(s), io.MultiReader(strings.NewReader(string(first)), c), int64(binary.BigEndian.Uint32(first))); err != nil {
		return
	}
	var batch []byte // the messages of an extended query
	inserts, writes := map[string]bool{}, false
	for {
		head := make([]byte, 5)
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		whole := append(head, body...)
		switch head[0] {
		case 'Q':
			writes = strings.Contains(string(body), "INSERT") || strings.Contains(string(body), "CALL")
		case 'P':
			name, text, _, _ := cutTwoStrings(body)
			inserts[name] = strings.Contains(text, "INSERT")
		case 'B':
			_, name, _, _ := cutTwoStrings(body)
			writes = inserts[name]
		}
		if batch = append(batch, whole...); head[0] != 'Q' && head[0] != 'S' && head[0] != 'X' {
			continue
		}
		if g.rejectWrites.Load() && writes {
			g.rejections.Add(1)
			if received := g.noticeFirst.Load(); received != nil {
				_, _ = c.Write(appendMessage(nil, 'N', func(b []byte) []byte { return append(b, "SNOTICE\x00VNOTICE\x00C00000\x00Msoon\x00\x00"...) }))
				<-*received
			}
			out := appendError(nil, "ERROR", "55000", "tenant is closed", "")
			if g.closeAfterRejection.Load() {
				_, _ = c.Write(out)
				return
			}
			st := byte('I')
			if status.Load() != 'I' {
				st = 'E'
			}
			if wait := g.holdReadyForQuery.Swap(nil); wait != nil {
				_, _ = c.Write(out)
				out = nil
				<-*wait
			}
			_, err = c.Write(append(out, 'Z', 0, 0, 0, 5, st))
		} else {
			if wait := g.holdSlowQueries.Load(); wait != nil && head[0] == 'Q' && strings.Contains(string(body), "slow") {
				g.heldQueries.Add(1)
				<-*wait
			}
			_, err = s.Write(batch)
		}
		if batch, writes = nil, false; err != nil {
			return
		}
	}
}

func TestPausedTenantQueuesAndReleasesInOrder(t *testing.T) {
	w := startTenantFixture(t, func(l *SessionLimits) { l.Pools[0].Sizes.MaxConnections = 1 })
	first := w.connect("")
	w.exec(first, w.insert("before"))
	require.Equal(t, 1, w.cluster.Versions("public", "entries", "before"))
	running := w.connect("")
	w.exec(running, "BEGIN")
	w.exec(running, w.insert("running"))
	w.assignments.set(pausedAt(1))
	var waits []chan error
	for i := range 6 {
		c := w.connect("")
		if i == 3 { // one uses the extended protocol
			waits = append(waits, execAsync(c, "INSERT INTO entries (ref, payload) VALUES ($1, $2)", pgx.QueryExecModeExec, "held", fmt.Sprint(i)))
		} else {
			waits = append(waits, execAsync(c, fmt.Sprintf("INSERT INTO entries (ref, payload) VALUES ('held', '%d')", i)))
		}
		w.requireQueued(i + 1)
	}
	require.Equal(t, "paused", w.tenantStats().State)
	require.NotZero(t, w.tenantStats().PausedSince)
	w.exec(running, w.insert("running2")) // a running transaction continues to its end
	w.exec(running, "COMMIT")
	require.Equal(t, 1, w.cluster.Versions("public", "entries", "running2"))
	w.assignments.set(session.Assignment{HasGroup: true, Paused: true, Undecided: true, PausedSince: w.tenantStats().PausedSince}) // while two versions of the rules disagree
	require.Equal(t, 6, w.tenantStats().Queued)
	w.assignments.set(pausedAt(2))
	require.Equal(t, 6, w.tenantStats().Queued)
	w.assignments.set(assignedTo(2))
	for i, wait := range waits {
		require.NoError(t, <-wait, i)
	}
	require.Zero(t, w.cluster.Versions("public", "entries", "held"))
	require.Equal(t, 6, w.other.Versions("public", "entries", "held"))
	require.Equal(t, "5", w.queryValue(first, "SELECT payload FROM entries WHERE ref = 'held'"), "the last to arrive is the last to be released")
	require.EqualValues(t, 6, w.tenantStats().Released)
	require.EqualValues(t, 2, *w.tenantStats().Group)
	require.Zero(t, w.tenantStats().Queued+w.tenantStats().Running)
}

func TestTenantQueueRejections(t *testing.T) {
	w := startTenantFixture(t, func(l *SessionLimits) {
		l.Pools[0].MaxPausedTransactions, l.Pools[0].MaxPauseMillis, l.Pools[0].WaitTimeoutMillis = 2, 60000, 30000
		l.MaxBytes = 1 << 20
	})
	c, d, e, g := w.connect(""), w.connect(""), w.connect(""), w.connect("")
	requireRejected := func(err error, text string) {
		t.Helper()
		var pe *pgconn.PgError
		require.ErrorAs(t, err, &pe)
		require.Equal(t, "53300", pe.Code)
		require.Equal(t, "50", pe.Detail, "milliseconds after which to retry")
		require.Contains(t, err.Error(), text)
	}
	// The client's own deadline: the rejection comes in time for it.
	w.assignments.set(pausedAt(1))
	begun := time.Now()
	_, err := c.Exec(testContext(t), "/* d=200 */ SELECT 1")
	requireRejected(err, "paused for longer")
	require.Greater(t, time.Since(begun), 190*time.Millisecond)
	require.Less(t, time.Since(begun), 10*time.Second, "at its own deadline, not at the pause's or the pool's")
	// The queue is full.
	x, y := execAsync(c, "SELECT 1"), execAsync(d, w.insert("y"))
	w.requireQueued(2)
	_, err = e.Exec(testContext(t), "SELECT 1")
	requireRejected(err, "as many transactions wait as may")
	// A client that disconnects makes room.
	d.PgConn().Conn().Close()
	w.requireQueued(1)
	require.Error(t, <-y)
	// The longest pause, for a transaction that waits and for one that arrives later.
	w.assignments.set(assignedTo(1))
	require.NoError(t, <-x)
	longPause := pausedAt(1)
	longPause.PausedSince = clock.System().Now() - 60000 + 300
	w.assignments.set(longPause)
	begun = time.Now()
	for range 2 {
		_, err = c.Exec(testContext(t), "SELECT 1")
		requireRejected(err, "paused for longer")
	}
	require.Less(t, time.Since(begun), 10*time.Second)
	// Bytes: a tenant may queue a quarter of SessionLimits.MaxBytes.
	w.assignments.set(pausedAt(1))
	z := execAsync(c, "SELECT '"+strings.Repeat("x", 200<<10)+"'")
	w.requireQueued(1)
	_, err = e.Exec(testContext(t), "SELECT '"+strings.Repeat("x", 100<<10)+"'")
	requireRejected(err, "memory")
	// Reads from a queued client that goes on sending are paused once that is used up.
	more, err := net.Dial("tcp", w.address)
	require.NoError(t, err)
	t.Cleanup(func() { more.Close() })
	small := appendQuery(nil, func(b []byte) []byte { return append(b, "SELECT 1"...) })
	_, err = more.Write(append(startupMessage("web", "orders"), small...))
	require.NoError(t, err)
	w.requireQueued(2)
	pausesBefore := w.front.Stats().ReadsPaused
	const queries = 5000
	go func() { _, _ = more.Write([]byte(strings.Repeat(string(small), queries))) }()
	require.Eventually(t, func() bool { return w.front.Stats().ReadsPaused > pausesBefore }, 5*time.Second, time.Millisecond)
	w.assignments.set(assignedTo(1))
	require.NoError(t, <-z)
	require.NoError(t, more.SetReadDeadline(time.Now().Add(20*time.Second)))
	var got []byte
	for buf := make([]byte, 64<<10); bytes.Count(got, []byte("SELECT 1")) < queries+1; {
		n, err := more.Read(buf)
		require.NoError(t, err)
		got = append(got, buf[:n]...)
	}
	// Fenced: new transactions are rejected at once, and an open block continues.
	w.exec(g, "BEGIN")
	w.assignments.set(session.Assignment{HasGroup: true, Undecided: true})
	begun = time.Now()
	_, err = c.Exec(testContext(t), "SELECT $1", "1")
	requireRejected(err, "no home that is agreed on")
	require.Less(t, time.Since(begun), 10*time.Second)
	w.exec(g, w.insert("in a block"))
	w.exec(g, "COMMIT")
	require.Zero(t, w.cluster.Versions("public", "entries", "y"), "its client disconnected")
	require.EqualValues(t, 6, w.tenantStats().Rejected)
	// A comment that names another group than the assignment.
	w.assignments.set(assignedTo(2))
	w.requireSQLState(c, "08P01", "/* cluster=1 */ "+w.insert("astray"))
	w.exec(c, "/* cluster=2 */ "+w.insert("home"))
	require.Zero(t, w.cluster.Versions("public", "entries", "astray"))
	require.Equal(t, 1, w.other.Versions("public", "entries", "home"))
	// A cancel request for a queued transaction.
	w.assignments.set(pausedAt(2))
	z = execAsync(c, "SELECT 1")
	w.requireQueued(1)
	require.NoError(t, c.PgConn().CancelRequest(testContext(t)))
	require.Equal(t, "57014", sqlStateOf(<-z))
	w.assignments.set(assignedTo(2))
	require.Equal(t, "1", w.queryValue(c, "SELECT $1", "1"))
}

// Guards against a transaction that is sent to the former group: it was routed there and then waited for a
// connection, or for the restoring of its settings, while the tenant moved.
func TestAssignmentIsCheckedAgainBeforeSending(t *testing.T) {
	for _, silent := range []bool{false, true} { // whether the front is not notified that the rules changed
		w := startTenantFixture(t, func(l *SessionLimits) { l.Pools[0].Sizes.MaxConnections = 1 })
		c, d := w.connect(""), w.connect("")
		w.exec(c, "BEGIN")
		w.exec(c, w.insert("c"))
		wait := execAsync(d, w.insert("d"))
		require.Eventually(t, func() bool { return w.front.Stats().Waiting == 1 }, 5*time.Second, time.Millisecond)
		if silent {
			w.assignments.front = nil
		}
		w.assignments.set(assignedTo(2))
		if !silent {
			require.NoError(t, <-wait, "it does not wait for a connection to the former group")
		}
		w.exec(c, "COMMIT")
		if silent {
			require.NoError(t, <-wait)
		}
		require.Equal(t, 1, w.cluster.Versions("public", "entries", "c"))
		require.Zero(t, w.cluster.Versions("public", "entries", "d"))
		require.Equal(t, 1, w.other.Versions("public", "entries", "d"))
	}
	// The tenant moves while the session's settings are being restored.
	w := startTenantFixture(t, func(l *SessionLimits) { l.Pools[0].Sizes.MaxConnections = 1 })
	c, d := w.connect(""), w.connect("")
	w.exec(c, "SET app.slow TO 1")
	w.exec(d, "SET app.quick TO 1")
	wait := make(chan struct{})
	w.proxy.holdSlowQueries.Store(&wait)
	done := execAsync(c, w.insert("c"))
	require.Eventually(t, func() bool { return w.proxy.heldQueries.Load() == 1 }, 5*time.Second, time.Millisecond)
	w.assignments.set(assignedTo(2))
	close(wait)
	require.NoError(t, <-done)
	require.Zero(t, w.cluster.Versions("public", "entries", "c"))
	require.Equal(t, "1", w.queryValue(c, "SHOW app.slow"))
}

func TestStatementsRejectedByFencingAreReplayed(t *testing.T) {
	w := startTenantFixture(t, nil)
	c, d := w.connect(""), w.connect("")
	_, err := c.Prepare(testContext(t), "mine", "INSERT INTO entries (ref, payload) VALUES ($1, $2)")
	require.NoError(t, err)
	w.proxy.rejectWrites.Store(true)
	// The tenant is closed at its host before the rules say so: in both forms of the protocol the statement
	// is sent once, and then waits for the rules to change.
	waits := []chan error{execAsync(c, "mine", "turned", "1"), execAsync(d, w.insert("turned"))}
	w.requireQueued(2)
	require.EqualValues(t, 2, w.proxy.rejections.Load())
	e := w.connect("")
	require.Equal(t, "1", w.queryValue(e, "SELECT $1", "1"), "reads continue meanwhile")
	w.assignments.set(pausedAt(1))
	w.assignments.set(assignedTo(2))
	for _, wait := range waits {
		require.NoError(t, <-wait)
	}
	require.EqualValues(t, 2, w.proxy.rejections.Load())
	require.Equal(t, 2, w.other.Versions("public", "entries", "turned"))
	require.Zero(t, w.cluster.Versions("public", "entries", "turned"))
	require.EqualValues(t, 2, w.front.Stats().RejectedByHost)
	// A pause ends with the same assignment and the tenant still closed: the second rejection goes to the
	// client.
	w.assignments.set(assignedTo(1))
	x := execAsync(d, w.insert("twice"))
	w.requireQueued(1)
	w.assignments.set(pausedAt(1))
	require.Equal(t, 1, w.tenantStats().Queued) // read on the event loop, so the front has processed the pause
	w.assignments.set(assignedTo(1))
	require.Equal(t, "55000", sqlStateOf(<-x))
	// The rejection goes to the client unchanged in a block, for several statements, for one that may commit
	// a part, and where the client has already received something.
	w.exec(d, "BEGIN")
	w.requireSQLState(d, "55000", w.insert("block"))
	w.exec(d, "ROLLBACK")
	w.requireSQLState(d, "55000", w.insert("two")+"; "+w.insert("two"))
	w.requireSQLState(d, "55000", "CALL what_commits_a_part()")
	received := make(chan struct{})
	w.proxy.noticeFirst.Store(&received)
	config, err := pgx.ParseConfig("postgres://web@" + w.address + "/orders?sslmode=disable")
	require.NoError(t, err)
	config.OnNotice = func(*pgconn.PgConn, *pgconn.Notice) { close(received) }
	notified, err := pgx.ConnectConfig(testContext(t), config)
	require.NoError(t, err)
	w.requireSQLState(notified, "55000", w.insert("early"))
	notified.PgConn().Conn().Close()
	w.proxy.noticeFirst.Store(nil)
	// A client whose deadline passes while it waits, and one that disconnects.
	x = execAsync(c, "/* d=150 */ "+w.insert("late"))
	err = <-x
	require.Equal(t, "53300", sqlStateOf(err))
	require.Contains(t, err.Error(), "closed at its host")
	_ = execAsync(d, w.insert("left"))
	w.requireQueued(1)
	d.PgConn().Conn().Close()
	w.requireQueued(0)
	w.assignments.set(assignedTo(2))
	require.Equal(t, "1", w.queryValue(c, "SELECT $1", "1"))
	// The connection is closed right after the rejection: the outcome is not in doubt.
	w.assignments.set(assignedTo(1))
	w.proxy.closeAfterRejection.Store(true)
	x = execAsync(c, w.insert("cut"))
	w.requireQueued(1)
	w.assignments.set(assignedTo(2))
	require.NoError(t, <-x)
	require.Equal(t, 1, w.other.Versions("public", "entries", "cut"))
	for _, ref := range []string{"twice", "block", "two", "early", "late", "left"} {
		require.Zero(t, w.cluster.Versions("public", "entries", ref)+w.other.Versions("public", "entries", ref), ref)
	}
	require.Eventually(t, func() bool { s := w.front.Stats(); return s.Linked == 0 && s.Servers == s.ServersIdle }, 5*time.Second, 5*time.Millisecond)
}

// The fencing trigger as it is installed in a database, with each form of statement that drivers send:
// simple, prepared, and an extended query in one round trip.
func TestStatementsRejectedByFencingTriggerAreReplayed(t *testing.T) {
	w := startTenantFixture(t, nil)
	for _, c := range []*lab.Cluster{w.cluster, w.other} {
		c.Database("orders")
	}
	direct, err := pgx.Connect(testContext(t), "postgres://web@"+w.a.Address+"/orders?sslmode=disable")
	require.NoError(t, err)
	t.Cleanup(func() { direct.PgConn().Conn().Close() })
	_, err = direct.PgConn().Exec(testContext(t), `CREATE SCHEMA ashstand;
CREATE TABLE ashstand.fence (work text PRIMARY KEY, token bigint NOT NULL, closed boolean NOT NULL, home bigint);
INSERT INTO ashstand.fence VALUES ('orders', 1, false, 1);
CREATE FUNCTION ashstand.guard() RETURNS trigger LANGUAGE plpgsql AS $$
BEGIN
  IF (SELECT closed FROM ashstand.fence WHERE work = current_database() FOR SHARE) THEN
    RAISE EXCEPTION 'tenant is closed' USING ERRCODE = '55000';
  END IF;
  RETURN CASE TG_OP WHEN 'DELETE' THEN OLD ELSE NEW END;
END $$;
CREATE TRIGGER fence BEFORE INSERT OR UPDATE OR DELETE ON entries FOR EACH ROW EXECUTE FUNCTION ashstand.guard();`).ReadAll()
	require.NoError(t, err)
	a, b, c := w.connect(""), w.connect(""), w.connect("")
	_, err = b.Prepare(testContext(t), "mine", "INSERT INTO entries VALUES ($1, $2)")
	require.NoError(t, err)
	w.exec(a, "INSERT INTO entries VALUES ('before', 'x')")
	w.exec(direct, "UPDATE ashstand.fence SET closed = true, token = token + 1")
	w.requireSQLState(c, "55000", "BEGIN; DELETE FROM entries; COMMIT")
	w.exec(c, "ROLLBACK")
	waits := []chan error{
		execAsync(a, "INSERT INTO entries VALUES ('a', 'x')"), execAsync(b, "mine", "b", "x"),
		execAsync(c, "INSERT INTO entries VALUES ($1, $2)", pgx.QueryExecModeExec, "c", "x"),
	}
	w.requireQueued(3)
	w.assignments.set(pausedAt(2))
	w.assignments.set(assignedTo(2))
	for i, wait := range waits {
		require.NoError(t, <-wait, i)
	}
	require.EqualValues(t, 3, w.front.Stats().RejectedByHost)
	require.Equal(t, "3", w.queryValue(a, "SELECT count(*) FROM entries"), "all three are in the new group")
	var left string
	require.NoError(t, direct.QueryRow(testContext(t), "SELECT count(*) FROM entries").Scan(&left))
	require.Equal(t, "1", left)
}

func TestMovedTenantLeavesRetainedConnections(t *testing.T) {
	w := startTenantFixture(t, func(l *SessionLimits) {
		p := l.Pools[0]
		p.Name, p.User, p.Mode = "keepers", "keeper", SessionMode
		l.Pools[0].Name, l.Pools[0].MaxSticky = "webs", 3
		l.Pools = append([]PoolSettings{p}, l.Pools...)
	})
	c := w.connect("")
	w.exec(c, "CREATE TEMP TABLE mine (a int)")
	busy := w.connect("")
	w.exec(busy, "LISTEN x")
	w.exec(busy, "BEGIN")
	idle := w.connect("")
	w.exec(idle, "LISTEN x")
	k, err := pgx.Connect(testContext(t), "postgres://keeper@"+w.address+"/orders?sslmode=disable")
	require.NoError(t, err)
	t.Cleanup(func() { k.PgConn().Conn().Close() })
	w.exec(k, "SET app.who TO me")
	require.Equal(t, []StickyStats{{"keepers", "a", "session mode", 1}, {"webs", "a", string(session.CauseListen), 2}, {"webs", "a", string(session.CauseTemporary), 1}}, w.tenantStats().Sticky)
	w.assignments.set(pausedAt(1))
	wait := execAsync(k, w.insert("k")) // on a connection that the session keeps
	w.requireQueued(1)
	w.assignments.set(assignedTo(1)) // the tenant has not moved
	require.NoError(t, <-wait)
	require.Equal(t, 1, w.cluster.Versions("public", "entries", "k"))
	// A pipeline of which the pooler has answered a part continues, whatever the rules become meanwhile.
	_, err = k.Prepare(testContext(t), "both", "SELECT 'both'")
	require.NoError(t, err)
	p := k.PgConn().Frontend()
	p.SendParse(&pgproto3.Parse{Name: "other", Query: "SELECT 'both'"})
	require.NoError(t, p.Flush())
	m, err := p.Receive()
	require.NoError(t, err)
	require.IsType(t, &pgproto3.ParseComplete{}, m)
	w.assignments.set(session.Assignment{Undecided: true})
	p.SendDescribe(&pgproto3.Describe{ObjectType: 'S', Name: "other"})
	p.SendSync(&pgproto3.Sync{})
	require.NoError(t, p.Flush())
	for done := false; !done; {
		m, err := p.Receive()
		require.NoError(t, err)
		_, failed := m.(*pgproto3.ErrorResponse)
		require.False(t, failed, "%+v", m)
		_, done = m.(*pgproto3.ReadyForQuery)
	}
	w.assignments.set(pausedAt(1))
	wait, waitC := execAsync(k, w.insert("k")), execAsync(c, "SELECT 1")
	w.requireQueued(2)
	w.assignments.set(assignedTo(2))
	require.NoError(t, <-wait, "a session without sticky state moves along")
	require.Equal(t, 1, w.other.Versions("public", "entries", "k"))
	require.Equal(t, "me", w.queryValue(k, "SHOW app.who"))
	err = <-waitC
	require.Equal(t, "57P01", sqlStateOf(err))
	require.Contains(t, err.Error(), string(session.CauseTemporary))
	require.Eventually(t, func() bool { return w.front.Stats().Clients == 2 }, 5*time.Second, time.Millisecond, "an idle session that listens is disconnected without sending anything")
	w.exec(busy, w.insert("busy"))
	w.exec(busy, "COMMIT")
	require.Equal(t, 1, w.cluster.Versions("public", "entries", "busy"))
	require.Eventually(t, func() bool { return w.front.Stats().Clients == 1 }, 5*time.Second, time.Millisecond, "a session in a transaction is disconnected at its end")
	require.Equal(t, []StickyStats{{"keepers", "c", "session mode", 1}}, w.tenantStats().Sticky)
}

// outcomeOf reads the outcome of a statement: its command tag, the SQLSTATE and message of its error, or the
// read error.
func outcomeOf(f *pgproto3.Frontend) string {
	for {
		m, err := f.Receive()
		if err != nil {
			return err.Error()
		}
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			return string(m.CommandTag)
		case *pgproto3.ErrorResponse:
			return m.Code + " " + m.Message
		}
	}
}

// Guards against a paused tenant whose queued transactions, or their release, delay or reject other tenants'
// transactions.
func TestPausedTenantDoesNotStarveOthers(t *testing.T) {
	const many = 2000
	w := startTenantFixture(t, func(l *SessionLimits) {
		l.MaxClients, l.MaxBytes = many+100, 16<<20
		l.Pools[0].MaxPausedTransactions, l.Pools[0].MaxPauseMillis, l.Pools[0].WaitTimeoutMillis = many, 60000, 60000
		l.Pools[0].Sizes.MaxWaiting = 10
	})
	other, err := pgx.Connect(testContext(t), "postgres://web@"+w.address+"/stock?sslmode=disable")
	require.NoError(t, err)
	t.Cleanup(func() { other.PgConn().Conn().Close() })
	w.assignments.set(pausedAt(1))
	query := appendQuery(startupMessage("web", "orders"), func(b []byte) []byte { return append(b, w.insert("many")...) })
	conns := make([]net.Conn, many)
	for i := range conns {
		conns[i], err = net.Dial("tcp", w.address)
		require.NoError(t, err)
		t.Cleanup(func() { conns[i].Close() })
		_, err = conns[i].Write(query)
		require.NoError(t, err)
	}
	w.requireQueued(many)
	slowest := time.Duration(0)
	queryOther := func(duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); {
			begun := time.Now()
			require.Equal(t, "1", w.queryValue(other, "SELECT $1", "1"))
			slowest = max(slowest, time.Since(begun))
		}
	}
	queryOther(300 * time.Millisecond)
	w.assignments.set(assignedTo(2))
	var all sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]int{} // by outcome
	for _, c := range conns {
		all.Go(func() {
			_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
			if outcome := outcomeOf(pgproto3.NewFrontend(c, io.Discard)); outcome != "INSERT 0 1" {
				mu.Lock()
				failed[outcome]++
				mu.Unlock()
			}
		})
	}
	queryOther(300 * time.Millisecond)
	all.Wait()
	require.Empty(t, failed, "none is rejected: no more are released at once than there are connections")
	require.Equal(t, many, w.other.Versions("public", "entries", "many"))
	require.Less(t, slowest, time.Second)
	t.Logf("the slowest answer to the other tenant took %v", slowest)
}

// Changes the assignment and the fencing at random under clients that write, use transactions, become sticky
// and disconnect. Every write that was acknowledged exists once, no write exists twice, and the front's
// counts end at zero.
func TestTenantsUnderRandomReassignment(t *testing.T) {
	w := startTenantFixture(t, func(l *SessionLimits) {
		p := l.Pools[0]
		p.User, p.Mode, p.Name = "keeper", SessionMode, "keepers"
		l.Pools[0].MaxSticky, l.Pools[0].Sizes.MaxConnections, p.Sizes.MaxConnections = 4, 3, 3
		l.Pools = []PoolSettings{p, l.Pools[0]}
		for i := range l.Pools {
			l.Pools[i].WaitTimeoutMillis, l.Pools[i].MaxPausedTransactions = 300, 6
		}
	})
	const writers = 10
	end := time.Now().Add(2500 * time.Millisecond)
	var all sync.WaitGroup
	var mu sync.Mutex
	written := map[string]bool{} // whether the write was acknowledged
	codes := map[string]int{}
	for i := range writers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(i)))
			var c *pgx.Conn
			defer func() {
				if c != nil {
					c.PgConn().Conn().Close()
				}
			}()
			for n := 0; time.Now().Before(end); n++ {
				if c == nil || c.IsClosed() {
					user := []string{"web", "web", "keeper"}[rng.IntN(3)]
					var err error
					if c, err = pgx.Connect(context.Background(), "postgres://"+user+"@"+w.address+"/orders?sslmode=disable"); err != nil {
						c = nil
						continue
					}
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				ref := fmt.Sprintf("w%d-%d", i, n)
				var err error
				switch rng.IntN(8) {
				case 0:
					_, err = c.Exec(ctx, "INSERT INTO entries (ref, payload) VALUES ($1, $2)", ref, "1")
				case 1:
					var tx pgx.Tx
					if tx, err = c.Begin(ctx); err == nil {
						if _, err = tx.Exec(ctx, w.insert(ref)); err == nil {
							err = tx.Commit(ctx)
						} else {
							_ = tx.Rollback(ctx)
						}
					}
				case 2:
					_, err = c.Exec(ctx, "LISTEN x")
					ref = ""
				case 3:
					time.AfterFunc(time.Duration(rng.IntN(3000))*time.Microsecond, cancel) // the client disconnects
					_, err = c.Exec(ctx, w.insert(ref))
				default:
					_, err = c.Exec(ctx, w.insert(ref))
				}
				cancel()
				code := sqlStateOf(err)
				if len(code) > 5 {
					code = "left"
				}
				mu.Lock()
				if codes[code]++; ref != "" {
					written[ref] = code == ""
				}
				mu.Unlock()
			}
		})
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for time.Now().Before(end) {
		h := assignedTo(uint64(1 + rng.IntN(2)))
		h.Paused, h.Undecided = rng.IntN(2) == 0, rng.IntN(5) == 0
		w.assignments.set(h)
		w.proxy.rejectWrites.Store(rng.IntN(3) == 0)
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
	w.proxy.rejectWrites.Store(false)
	w.assignments.set(assignedTo(2))
	all.Wait()
	require.Eventually(t, func() bool {
		s, h := w.front.Stats(), w.tenantStats()
		return s.Clients == 0 && s.PausedTransactions == 0 && s.Linked == 0 && s.Servers == s.ServersIdle && s.Sticky[session.CauseListen] == 0 && h.Sessions == 0
	}, 10*time.Second, 10*time.Millisecond, "all counts are back at zero")
	for ref, answered := range written {
		n := w.cluster.Versions("public", "entries", ref) + w.other.Versions("public", "entries", ref)
		require.LessOrEqual(t, n, 1, ref)
		if answered {
			require.Equal(t, 1, n, ref)
		}
	}
	for code := range codes {
		require.Contains(t, []string{"", "53300", "55000", "57P01", "left"}, code)
	}
	require.NotZero(t, codes[""])
	t.Log(codes, w.front.Stats().RejectedByHost)
	// A later transaction is queued and released as usual.
	c := w.connect("")
	w.assignments.set(pausedAt(2))
	wait := execAsync(c, w.insert("last"))
	w.requireQueued(1)
	require.Zero(t, w.tenantStats().InFlight)
	w.assignments.set(assignedTo(2))
	require.NoError(t, <-wait)
}

// Measures what assignments cost a transaction: without them, with a database that no rule names, and with
// one that a rule names, whose first statement is recorded.
func BenchmarkSessionsTransaction(b *testing.B) {
	for _, c := range []struct {
		name        string
		assignments []Assignments
		isNamed     bool
	}{{name: "without"}, {"unnamed", []Assignments{&fakeAssignments{}}, false}, {"named", []Assignments{&fakeAssignments{}}, true}} {
		b.Run(c.name, func(b *testing.B) {
			if c.isNamed {
				c.assignments[0].(*fakeAssignments).set(assignedTo(1))
			}
			w := startPooler(b, nil, c.assignments...)
			conn, err := net.Dial("tcp", w.address)
			require.NoError(b, err)
			defer conn.Close()
			_, err = conn.Write(startupMessage("web", "orders"))
			require.NoError(b, err)
			buffer := make([]byte, 4096)
			query := appendQuery(nil, func(b []byte) []byte { return append(b, "SELECT 'a statement of the usual length, so to say'"...) })
			readUntilReady := func() {
				for got := []byte{}; !bytes.HasSuffix(got, []byte{'Z', 0, 0, 0, 5, 'I'}); {
					n, err := conn.Read(buffer)
					if err != nil {
						b.Fatal(err)
					}
					got = append(got, buffer[:n]...)
				}
			}
			readUntilReady()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(query); err != nil {
					b.Fatal(err)
				}
				readUntilReady()
			}
		})
	}
}

// Measures only the work that assignments add to a transaction: two lookups, the admission, and the copy of
// the statement.
func BenchmarkHomesOfATransaction(b *testing.B) {
	h := &fakeAssignments{}
	h.set(assignedTo(1))
	f := &SessionFront{clock: clock.System()}
	f.limits.Store(&SessionLimits{MaxPausedTransactions: 10, MaxBytes: 1 << 20})
	f.SetAssignments(h)
	p := PoolSettings{MaxPausedTransactions: 10, MaxPauseMillis: 1000}
	c := &sessionClient{
		front:    f,
		identity: poolIdentity{"orders", "web"},
		pool:     &p,
		tenancy:  tenancyState{tenant: f.tenancy.tenants.AddSession("orders")},
		routing: routingState{
			route: session.Route{Group: 1},
			query: &session.Query{Statements: make([]session.Statement, 1)},
		},
	}
	query := appendQuery(nil, func(b []byte) []byte { return append(b, "SELECT 'a statement of the usual length, so to say'"...) })
	b.ReportAllocs()
	for b.Loop() {
		now := f.clock.Now()
		assignment := h.Assignment("orders", now)
		if held, err := f.tenancy.tenants.Admit(now, c.tenancy.tenant, assignment, &c.tenancy.entry, f.queueLimits(c.pool)); held || err != nil {
			b.Fatal(err)
		}
		group, _ := assignment.GroupFor("orders", &c.routing.route)
		c.tenancy.assignment, c.routing.request.Group = assignment, group
		c.discardRecorded()
		c.record.active = true
		if !c.isAssignmentCurrent() {
			b.Fatal("the assignment has not changed")
		}
		c.recordMessage('Q', query[5:], query)
		c.discardRecorded()
		c.finishRelease()
	}
}
