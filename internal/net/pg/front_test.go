package pg

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/net/loop"
	"ashstand/internal/settings"
	"ashstand/internal/sqlcomment"
	"ashstand/routing"
)

// nowhere is a backend that reaches no host.
type nowhere struct{ edge.Backend }

func (nowhere) Acquire(ctx context.Context, _ string) (edge.Conn, error) {
	<-ctx.Done()
	return nil, errors.New("nowhere")
}

type door struct {
	*Front
	facade  *dispatch.Dispatcher
	clock   *clock.Manual
	address string
}

func listen(t *testing.T, limits FrontLimits) *door {
	class := routing.Class{Name: "report", LatencyObjective: time.Minute, Deadline: time.Minute, PriorityWeight: 1, LateFraction: 1}
	d := &door{clock: clock.NewManual(1e12)}
	f, err := dispatch.New(&settings.Parsed{
		Settings: routing.Settings{RouterCount: 1, MaxAttempts: 8, Classes: []routing.Class{class}},
		Classes:  map[string]int{"report": 0},
	}, 1, d.clock, nil, nil)
	require.NoError(t, err)
	f.UpdateEndpoints(true, []dispatch.Endpoint{{Host: "h", Group: 1}})
	d.facade = f
	core := edge.New(f, d.clock, nowhere{})
	core.SetLimits(edge.Limits{StatementBytes: limits.Bytes, RetryAfterMillis: limits.RetryAfterMillis})
	d.Front = NewFront(core, limits)
	l, err := net.Listen("tcp", "127.0.0.1:0") // a port that was free a moment ago
	require.NoError(t, err)
	d.address = l.Addr().String()
	l.Close()
	e := loop.New()
	require.NoError(t, e.Start(d.address, d.Accept))
	t.Cleanup(e.Stop)
	return d
}

// count counts clients on the loop.
func (d *door) count(which func(*client) bool) int {
	n := make(chan int, 1)
	if d.eventLoop.Load() == nil {
		return 0
	}
	_ = d.eventLoop.Load().(gnet.EventLoop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		sum := 0
		for h := range d.clients {
			if which(h) {
				sum++
			}
		}
		n <- sum
		return nil
	}))
	return <-n
}

// call opens a connection, starts it and sends queries, all at once; nothing else if there are none.
func (d *door) call(t *testing.T, queries ...string) net.Conn {
	c, err := net.Dial("tcp", d.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if len(queries) == 0 {
		return c
	}
	b := startupMessage("web", "orders")
	for _, q := range queries {
		b = appendQuery(b, func(b []byte) []byte { return append(b, q...) })
	}
	_, err = c.Write(b)
	require.NoError(t, err)
	return c
}

// errorsOf reads errors up to n of them, or up to the end of the connection if n is 0.
func errorsOf(t *testing.T, c net.Conn, n int) (got []string) {
	f := pgproto3.NewFrontend(c, io.Discard)
	for n == 0 || len(got) < n {
		m, err := f.Receive()
		if n == 0 && errors.Is(err, io.ErrUnexpectedEOF) {
			return got
		}
		require.NoError(t, err)
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			got = append(got, m.Severity+" "+m.Code+" "+m.Detail)
		case *pgproto3.EmptyQueryResponse:
			got = append(got, "empty")
		}
	}
	return got
}

// Guards against a table that clients fill which asked once and stayed, or which never say a word.
func TestConnectionsInNoUseMakeRoom(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20, RetryAfterMillis: 300})
	var stayed []net.Conn
	for i := range 14 {
		c := d.call(t, "")
		require.Equal(t, []string{"empty"}, errorsOf(t, c, 1), i)
		d.clock.Advance(1)
		stayed = append(stayed, c)
	}
	require.Equal(t, []string{"FATAL 53300 300"}, errorsOf(t, d.call(t, ""), 0), "none may be closed yet: told, and when to come back")
	d.clock.Advance(minIdleMillis)
	require.Equal(t, []string{"empty"}, errorsOf(t, d.call(t, ""), 1))
	_, err := io.ReadAll(stayed[0])
	require.NoError(t, err, "the one idle for longest has gone")
	silent := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20})
	for range 14 {
		silent.call(t)
	}
	require.Equal(t, []string{"FATAL 53300 "}, errorsOf(t, silent.call(t, ""), 0))
	silent.clock.Advance(minSilentMillis)
	require.Equal(t, []string{"empty"}, errorsOf(t, silent.call(t, ""), 1))
}

// Guards against clients that keep us waiting: an error and a close are due 3 s after they connected.
func TestWhoKeepsUsWaitingIsSentAway(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 32, Bytes: 1 << 20})
	good := d.call(t, "")
	errorsOf(t, good, 1)
	silent, half, dumb := d.call(t), d.call(t, ""), d.call(t, "")
	errorsOf(t, dumb, 1)
	errorsOf(t, half, 1)
	_, _ = half.Write([]byte{'Q', 0, 0, 1, 0, 'S'})
	_, _ = half.Write(nil)
	require.Eventually(t, func() bool {
		return d.count(func(h *client) bool { return h.partialSince > 0 }) == 1 && d.count(func(*client) bool { return true }) == 4
	}, 10*time.Second, time.Millisecond)
	d.Sweep()
	d.clock.Advance(maxSilentMillis + 1)
	d.Sweep()
	require.Equal(t, []string{"FATAL 08P01 "}, errorsOf(t, silent, 0))
	require.Equal(t, []string{"FATAL 08P01 "}, errorsOf(t, half, 0))
	_, err := good.Write(appendQuery(nil, func(b []byte) []byte { return b }))
	require.NoError(t, err)
	require.Equal(t, []string{"empty"}, errorsOf(t, good, 1), "who asked and is idle keeps its connection while there is room")
}

// Guards against clients that open a connection for each request and keep it: they run out of what they may hold long
// before the table is full, and then none comes whose accept would make room.
func TestConnectionsUsedOnceGoWhileManyAreOpen(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 20, Bytes: 1 << 20})
	used := d.call(t, "", "")
	errorsOf(t, used, 2)
	for range 9 {
		errorsOf(t, d.call(t, ""), 1)
	}
	d.clock.Advance(maxIdleUsedOnceMillis)
	d.Sweep()
	require.Equal(t, 4, d.count(func(*client) bool { return true }), "down to a fifth of the places")
	_, err := used.Write(appendQuery(nil, func(b []byte) []byte { return b }))
	require.NoError(t, err)
	require.Equal(t, []string{"empty"}, errorsOf(t, used, 1), "who used it again keeps it")
	d.clock.Advance(10 * maxIdleUnderPressureMillis)
	d.Sweep()
	require.Equal(t, 4, d.count(func(*client) bool { return true }), "few are open, so they stay")
}

// Guards against a reset that eats the error written just before it, and against rubbish without end.
func TestRubbishGetsItsErrorAndAnEnd(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20})
	huge := d.call(t, "")
	_, err := huge.Write(append([]byte{'Q', 3, 0x93, 0x87, 0}, make([]byte, 100<<10)...)) // 60 MB are announced
	require.NoError(t, err)
	require.Equal(t, []string{"empty", "FATAL 08P01 "}, errorsOf(t, huge, 0), "read to its end, without a reset")
	again := make([]string, 3*maxInvalidRequests)
	for i := range again {
		again[i] = "SELECT 1"
	}
	got := errorsOf(t, d.call(t, again...), 0)
	require.Len(t, got, maxInvalidRequests+2)
	require.Equal(t, "FATAL 08P01 ", got[len(got)-1])
}

// Guards against clients that together hold more than the process has; who holds most goes.
func TestMemoryOfAllClientsIsBounded(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 100 << 10, RetryAfterMillis: 300})
	long := func(id byte) string {
		return "/* id=" + string(id) + ",c=report,d=20000,cluster=1 */ SELECT '" + string(bytes.Repeat([]byte{'x'}, 60<<10))
	}
	d.call(t, long('a'))
	require.Eventually(t, func() bool { return d.count(func(h *client) bool { return h.requestInFlight }) == 1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, []string{"ERROR 53300 300"}, errorsOf(t, d.call(t, long('b')), 1))
	hog, small := d.call(t, ""), d.call(t, "")
	errorsOf(t, hog, 1)
	errorsOf(t, small, 1)
	part := func(n int) []byte { return append([]byte{'Q', 0, 2, 0, 0}, make([]byte, n)...) }
	_, _ = hog.Write(part(90 << 10))
	_, _ = small.Write(append([]byte{'Q', 0, 1, 0, 0}, make([]byte, 30<<10)...))
	_, err := io.ReadAll(hog)
	require.True(t, err == nil || !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err), "%v", err)
	_, _ = small.Write(make([]byte, 64<<10-4-30<<10))
	require.Equal(t, []string{"ERROR 08P01 "}, errorsOf(t, small, 1)[:1])
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Guards against requests that are lost at the end of the process: one is under way, two were sent ahead of its answer and
// half of one more, another client has sent half a request, a third has asked nothing yet.
func TestAtTheEndEachRequestGetsAnAnswer(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20})
	text := func(id string) string { return "/* id=" + id + ",c=report,d=20000,cluster=1 */ SELECT 'k'" }
	asked, fresh, half, busy := d.call(t, ""), d.call(t), d.call(t, ""), d.call(t, text("a"), text("b"), text("c"))
	_, err := fresh.Write(startupMessage("web", "orders"))
	require.NoError(t, err)
	errorsOf(t, asked, 1)
	errorsOf(t, half, 1)
	part := []byte{'Q', 0, 0, 1, 0, 'S'}
	for _, c := range []net.Conn{half, busy} {
		_, err := c.Write(part)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		return d.count(func(h *client) bool {
			return h.parser.started && (h.partialSince > 0 || h.requestInFlight && h.unreadBytes > len(part) || !h.hasRequested)
		}) == 3
	}, 10*time.Second, time.Millisecond)
	d.Drain()
	_, err = io.ReadAll(asked)
	require.NoError(t, err, "closed between requests")
	require.False(t, d.Idle(), "half a request is one that comes")
	_, err = fresh.Write(appendQuery(nil, func(b []byte) []byte { return b }))
	require.NoError(t, err)
	require.Equal(t, []string{"empty"}, errorsOf(t, fresh, 0), "its first request is answered, then it is closed")
	d.Cut()
	require.Equal(t, []string{"FATAL 57P03 "}, errorsOf(t, half, 0))
	require.Equal(t, []string{"ERROR 57P01 ", "ERROR 57P03 ", "FATAL 57P03 "}, errorsOf(t, busy, 0))
	require.True(t, d.Idle())
}

// violations returns the rules that the front broke.
func (d *door) violations(t *testing.T) map[string]int {
	figures, err := d.edge.Metrics().Snapshot()
	require.NoError(t, err)
	return metrics.Violations(figures)
}

// figure returns a counter of the front by its name and reason.
func (d *door) figure(t *testing.T, name, reason string) float64 {
	figures, err := d.edge.Metrics().Snapshot()
	require.NoError(t, err)
	for _, f := range figures {
		if f.Name == name && f.Labels["reason"] == reason {
			return f.Value
		}
	}
	require.FailNow(t, "no such figure", "%s %s", name, reason)
	return 0
}

// Each rule on a client's connection, broken on purpose, is counted under its name and no other.
func TestBrokenRulesOfConnectionsAreCounted(t *testing.T) {
	for _, k := range []struct {
		rule   lifecycle.Rule
		breaks func(d *door, h *client, c gnet.Conn)
	}{
		{lifecycle.ClosedWithoutAnswer, func(_ *door, h *client, c gnet.Conn) {
			h.requestInFlight = true
			h.close(c, lifecycle.ClosedIdle)
		}},
		{lifecycle.AnsweredTwice, func(d *door, h *client, c gnet.Conn) {
			d.answerNow(h, c, 0)
		}},
		{lifecycle.AnswerLate, func(d *door, h *client, c gnet.Conn) {
			h.requestInFlight = true
			d.answerNow(h, c, lifecycle.LateGraceMillis+1)
		}},
		{lifecycle.BoundExceeded, func(d *door, h *client, _ gnet.Conn) {
			d.unreadBytes += 2 << 20 // that no client has
			d.boundUnread(h)
		}},
	} {
		t.Run(k.rule.String(), func(t *testing.T) {
			d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20})
			require.Equal(t, []string{"empty"}, errorsOf(t, d.call(t, ""), 1))
			d.onLoop(t, func(h *client, c gnet.Conn) { k.breaks(d, h, c) })
			require.Equal(t, map[string]int{k.rule.String(): 1}, d.violations(t))
		})
	}
}

// answerNow writes an answer so long after its request's time.
func (d *door) answerNow(h *client, c gnet.Conn, late float64) {
	h.cancelRequest = func() {}
	s := sqlcomment.Statement{ID: "1", TimeoutMillis: 10}
	_ = d.edge.Begin(&s)
	result := edge.Result{Verdict: edge.Failed}
	h.answer(c, &s, &result, EncodeResult(&result), d.clock.Now()-s.TimeoutMillis-late)
}

// A close over bytes that lie in the kernel is counted, and closeIfIdle does not make one.
func TestAClientWithUnreadBytesIsNotClosed(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20})
	caller := d.call(t, "")
	require.Equal(t, []string{"empty"}, errorsOf(t, caller, 1))
	d.onLoop(t, func(h *client, c gnet.Conn) {
		_, err := caller.Write(appendQuery(nil, func(b []byte) []byte { return b }))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return hasUnreadBytes(c) }, 10*time.Second, time.Millisecond)
		require.False(t, h.closeIfIdle(c, lifecycle.ClosedIdle))
		require.Equal(t, lifecycle.BytesUnread, h.mayClose(c).Reason)
	})
	require.Equal(t, []string{"empty"}, errorsOf(t, caller, 1))
	require.Empty(t, d.violations(t))
	d.onLoop(t, func(h *client, c gnet.Conn) {
		_, err := caller.Write(appendQuery(nil, func(b []byte) []byte { return b }))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return hasUnreadBytes(c) }, 10*time.Second, time.Millisecond)
		h.close(c, lifecycle.ClosedIdle)
	})
	require.Equal(t, map[string]int{"closed_with_unread_bytes": 1}, d.violations(t))
}

// Requests behind too many that make no sense are answered before the connection ends, and every end has its reason.
func TestRequestsBehindRubbishAreAnswered(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20, RetryAfterMillis: 300})
	texts := make([]string, maxInvalidRequests+1, maxInvalidRequests+3)
	for i := range texts {
		texts[i] = "SELECT 1"
	}
	c := d.call(t, append(texts, report("a"), report("b"))...)
	got := errorsOf(t, c, 0)
	c.Close()
	require.Equal(t, []string{"ERROR 53300 300", "ERROR 53300 300", "FATAL 08P01 "}, got[len(got)-3:])
	require.Eventually(t, func() bool { return d.figure(t, "ashstand_client_connections_closed_total", "protocol") == 1 }, 10*time.Second, time.Millisecond)
	require.InDelta(t, 2, d.figure(t, "ashstand_requests_rejected_total", "read_ahead"), 0)
	require.Empty(t, d.violations(t))
}

// A process that is told to end before it holds a list starts nothing: 57P03, and a request is answered at its end.
func TestADrainBeforeTheListStartsNothing(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20})
	require.Equal(t, []string{"empty"}, errorsOf(t, d.call(t, ""), 1))
	class := routing.Class{Name: "report", LatencyObjective: time.Minute, Deadline: time.Minute, PriorityWeight: 1, LateFraction: 1}
	unready, err := dispatch.New(&settings.Parsed{
		Settings: routing.Settings{RouterCount: 1, MaxAttempts: 8, Classes: []routing.Class{class}},
		Classes:  map[string]int{"report": 0},
	}, 1, d.clock, nil, nil)
	require.NoError(t, err)
	d.on(func() { d.edge = edge.New(unready, d.clock, nowhere{}) })
	d.edge.Advance(lifecycle.DrainStarted)
	require.Equal(t, []string{"ERROR 57P03 "}, errorsOf(t, d.call(t, report("a")), 1))
	require.Empty(t, d.violations(t))
	require.InDelta(t, 1, d.figure(t, "ashstand_requests_rejected_total", "not_ready"), 0)
}

// The request that comes after as many as may be that the core finds invalid is answered before the connection ends.
func TestARequestBehindInvalidOnesIsAnswered(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20, RetryAfterMillis: 300})
	var texts []string
	for i := range maxInvalidRequests + 1 {
		texts = append(texts, fmt.Sprintf("/* id=i%d,c=unknown,d=20000,cluster=1 */ SELECT 'k'", i))
	}
	c := d.call(t, append(texts, report("a"))...)
	got := errorsOf(t, c, 0)
	c.Close()
	require.Len(t, got, maxInvalidRequests+3)
	require.Equal(t, []string{"ERROR 08P01 ", "ERROR 53300 300", "FATAL 08P01 "}, got[len(got)-3:])
	require.Empty(t, d.violations(t))
}
