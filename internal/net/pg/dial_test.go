package pg

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
)

// requireIdle waits until the pool has exactly the given number of connections, all idle, and checks that no
// unread bytes are counted. It finds connections that are counted twice or leaked.
func (r *poolFixture) requireIdle(t *testing.T, idle int) {
	t.Helper()
	counts := func() (open, idleCount int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, h := range r.hosts {
			idleCount += len(h.idle)
		}
		return r.openConns, idleCount
	}
	require.Eventually(t, func() bool { open, lie := counts(); return open == idle && lie == idle }, 20*time.Second, time.Millisecond)
	require.Zero(t, r.countUnread(t), "bytes of answers that are counted, with none under way")
}

// countUnread returns the pool's unreadBytes, read on the event loop.
func (r *poolFixture) countUnread(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	g, err := r.engine.Dial(context.Background(), l.Addr().String(), noopHandler{})
	require.NoError(t, err)
	defer g.Close()
	n := make(chan int, 1)
	require.NoError(t, g.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		n <- r.unreadBytes
		return nil
	})))
	return <-n
}

// noopHandler handles a connection that is only used to reach its event loop.
type noopHandler struct{}

func (noopHandler) Traffic(gnet.Conn) gnet.Action { return gnet.None }
func (noopHandler) Closed(gnet.Conn, error)       {}

// answerAfter waits until up is closed, and then completes the handshake and answers every query.
func answerAfter(up <-chan struct{}) func(net.Conn, *pgproto3.Backend) {
	return func(c net.Conn, b *pgproto3.Backend) {
		<-up
		answerQueries(c, b)
	}
}

// dialAndAbandon starts a dial, abandons its attempt once the host has accepted the connection, and waits for
// Acquire to return.
func (r *poolFixture) dialAndAbandon(t *testing.T) {
	ctx, giveUp := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := r.Acquire(ctx, "h")
		done <- err
	}()
	<-r.conns
	giveUp()
	require.ErrorIs(t, <-done, context.Canceled)
}

// A connection that is ready after its attempt was abandoned is kept, and the next request uses it: the host
// has already spent the work of the handshake.
func TestDialCompletesAfterAttemptIsAbandoned(t *testing.T) {
	up := make(chan struct{})
	r := start(t, answerAfter(up))
	r.SetLimits(PoolLimits{Connections: 4, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
	r.dialAndAbandon(t)
	r.mu.Lock()
	require.Equal(t, 1, r.openConns, "it goes on, and holds its place")
	r.mu.Unlock()
	close(up)
	r.requireIdle(t, 1)
	require.Equal(t, dispatch.OK, r.exchange(t, open).Code)
	require.Empty(t, r.conns, "the host was not asked for another")
	r.requireIdle(t, 1)
}

// The other order: the connection is ready before the attempt is abandoned, and the attempt gets it.
func TestDialCompletesBeforeAttemptIsAbandoned(t *testing.T) {
	up := make(chan struct{})
	close(up)
	r := start(t, answerAfter(up))
	ctx, giveUp := context.WithCancel(context.Background())
	c, err := r.Acquire(ctx, "h")
	require.NoError(t, err)
	giveUp()
	c.(*conn).release()
	r.requireIdle(t, 1)
}

// Only one abandoned dial per host continues. Otherwise a host that never gets ready would use up the
// connection limit.
func TestOneAbandonedDialPerHost(t *testing.T) {
	up := make(chan struct{})
	r := start(t, answerAfter(up))
	r.SetLimits(PoolLimits{Connections: 4, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
	for range 3 {
		r.dialAndAbandon(t)
	}
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.openConns == 1 }, 20*time.Second, time.Millisecond)
	// At the connection limit, the abandoned dial is evicted, because no attempt waits for it.
	r.SetLimits(PoolLimits{Connections: 1, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
	got := make(chan edge.Conn, 1)
	go func() {
		c, err := r.Acquire(context.Background(), "h")
		if err == nil {
			got <- c
		}
	}()
	<-r.conns
	close(up)
	c := <-got
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.openConns == 1 }, 20*time.Second, time.Millisecond)
	c.(*conn).release()
	r.requireIdle(t, 1)
}

// A connection that is not ready within the connect timeout is dropped, even if its attempt was abandoned,
// and no longer counts as open.
func TestAbandonedDialTimesOut(t *testing.T) {
	r := start(t, func(net.Conn, *pgproto3.Backend) {})
	r.dialAndAbandon(t)
	r.requireIdle(t, 0)
}

// A host changes its address, is removed or begins to drain while it is dialled. Nothing more is sent to the
// old address, not even a handshake, and a connection that becomes ready there is not used. Each event comes
// at both steps of a dial: before the handshake, and during it.
func TestHostChangesDuringDial(t *testing.T) {
	for _, test := range []struct {
		name  string
		event func(r *poolFixture, other string, drains *atomic.Bool)
		want  error
	}{
		{"moves", func(r *poolFixture, other string, _ *atomic.Bool) { r.SetAddress("h", other) }, nil},
		{"leaves", func(r *poolFixture, _ string, _ *atomic.Bool) { r.SetAddress("h", "") }, errUnknownHost},
		{"drains", func(_ *poolFixture, _ string, drains *atomic.Bool) { drains.Store(true) }, edge.ErrUnlisted},
	} {
		for _, duringHandshake := range []bool{false, true} {
			up, startups := make(chan struct{}), make(chan struct{}, 1)
			r := start(t, func(c net.Conn, b *pgproto3.Backend) {
				if _, err := b.ReceiveStartupMessage(); err != nil {
					return
				}
				startups <- struct{}{}
				<-up
				b.Send(&pgproto3.AuthenticationOk{})
				b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				_ = b.Flush()
				_, _ = b.Receive()
			})
			r.SetLimits(PoolLimits{Connections: 4, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
			other := start(t, answerQueries)
			address := other.hosts["h"].address
			var drains atomic.Bool
			var listedCalls atomic.Int32
			r.Listed = func(string) bool {
				if listedCalls.Add(1) == 2 && !duringHandshake { // the connection is established, and nothing was written to it
					test.event(r, address, &drains)
				}
				return !drains.Load()
			}
			type result struct {
				conn edge.Conn
				err  error
			}
			got := make(chan result, 1)
			go func() {
				c, err := r.Acquire(context.Background(), "h")
				got <- result{c, err}
			}()
			if duringHandshake {
				<-startups
				test.event(r, address, &drains)
				close(up)
			}
			g := <-got
			require.Empty(t, startups, "%s: it was greeted all the same", test.name)
			if test.want != nil {
				require.ErrorIs(t, g.err, test.want, test.name)
				r.requireIdle(t, 0)
				continue
			}
			require.NoError(t, g.err)
			require.Len(t, other.conns, 1, "it is dialled where it is now")
			g.conn.(*conn).release()
			r.requireIdle(t, 1)
		}
	}
}

// At the connection limit, an idle connection is closed before the new one is dialled, not once the new one
// is ready.
func TestIdleConnectionIsEvictedBeforeDial(t *testing.T) {
	closed := make(chan struct{})
	r := start(t, func(c net.Conn, b *pgproto3.Backend) {
		answerQueries(c, b)
		close(closed)
	})
	up := make(chan struct{})
	other := start(t, answerAfter(up))
	r.SetLimits(PoolLimits{Connections: 1, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
	r.SetAddress("o", other.hosts["h"].address)
	require.Equal(t, dispatch.OK, r.exchange(t, open).Code)
	got := make(chan edge.Conn, 1)
	go func() {
		c, _ := r.Acquire(context.Background(), "o")
		got <- c
	}()
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Fatal("the idle connection stays while the other host is dialled")
	}
	close(up)
	(<-got).(*conn).release()
	r.requireIdle(t, 1)
}

// A host closes each connection as soon as it has accepted it. The event loop may see the end before the
// dialling goroutine has its connection, or after. The connection is counted once, and nothing ran.
func TestConnectionEndsDuringRegistration(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := start(t, func(c net.Conn, _ *pgproto3.Backend) {
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		})
		for range 20 {
			_, err := r.Acquire(context.Background(), "h")
			require.Error(t, err)
			require.NotErrorIs(t, err, edge.ErrPoolExhausted, "a place was not given back")
		}
		r.requireIdle(t, 0)
	}
}

// The event loop has stopped and does not register the dialled connection: the count of open connections
// returns to zero, and is not decremented twice.
func TestDialNotRegisteredByEventLoop(t *testing.T) {
	r := start(t, answerQueries)
	r.engine.Stop()
	for range 8 {
		_, err := r.Acquire(context.Background(), "h")
		require.Error(t, err)
		r.mu.Lock()
		require.Zero(t, r.openConns)
		r.mu.Unlock()
	}
}

// A host closes an idle connection just as a request takes it. If the end comes before the write, nothing
// ran, and it says nothing about the host. If it comes after the write, the request may have run.
func TestIdleConnectionClosesWhenAcquired(t *testing.T) {
	for _, test := range []struct {
		name           string
		endBeforeWrite bool // the host closes the connection before the request is written
		partialMessage bool // the host sends a part of a message before it closes
		want           dispatch.Code
	}{
		{"end, write", true, false, dispatch.NotSent},
		{"half a line, end, write", true, true, dispatch.NotSent},
		{"write, end", false, false, dispatch.ConnectionLost},
		{"write, half a line, end", false, true, dispatch.ConnectionLost},
	} {
		conns := make(chan net.Conn, 4)
		r := start(t, func(c net.Conn, b *pgproto3.Backend) {
			completeHandshake(b)
			_, _ = b.Receive()
			_, _ = c.Write(completeResponse())
			conns <- c
			_, _ = b.Receive()
			if !test.endBeforeWrite {
				if test.partialMessage {
					_, _ = c.Write(completeResponse()[:9])
				}
				c.Close()
			}
		})
		require.Equal(t, dispatch.OK, r.exchange(t, open).Code)
		c := <-conns
		r.mu.Lock()
		idleConn := r.hosts["h"].idle[0]
		r.mu.Unlock()
		reply := r.exchange(t, func() (float64, bool) {
			if test.endBeforeWrite {
				if test.partialMessage {
					_, _ = c.Write(completeResponse()[:9])
				}
				c.Close()
				require.Eventually(t, func() bool { return hasUnreadEvent(idleConn.gnetConn) }, 20*time.Second, time.Millisecond)
			}
			return 500, true
		})
		require.Equal(t, test.want, reply.Code, test.name)
		require.Zero(t, reply.Position, test.name)
		r.requireIdle(t, 0)
	}
}

// The same in the session front: a host changes its address, is removed or begins to drain while a connection
// for its pool is dialled. Before the handshake, no startup message is sent; during the handshake, the
// connection is not used. Each connection is counted once, and not at all in the end. The event loop is
// blocked from the start of the dial until the event has come, so that nothing can be written before.
func TestHostChangesDuringSessionDial(t *testing.T) {
	w := startPooler(t, nil)
	w.connect("")
	for _, test := range []struct {
		name  string
		event func(address string)
	}{
		{"moves", func(string) { w.front.SetAddress("a", "127.0.0.1:1") }},
		{"leaves", func(string) { w.front.SetAddress("a", "") }},
		{"drains", func(string) { w.updateEndpoints("a") }},
	} {
		for _, duringHandshake := range []bool{false, true} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			w.updateEndpoints()
			w.front.SetAddress("a", l.Addr().String())
			conns := make(chan net.Conn, 1)
			var p *serverPool
			before := 0
			w.front.onLoop(func() {
				before = w.front.servers.count
				p = w.front.pool("a", l.Addr().String(), poolIdentity{"orders", "web"})
				w.front.openServerConn(p)
				c, err := l.Accept() // the dial is complete; the event loop does not know yet
				if err == nil && !duringHandshake {
					test.event(l.Addr().String())
				}
				conns <- c
			})
			c := <-conns
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			if duringHandshake {
				b := pgproto3.NewBackend(c, c)
				_, err := b.ReceiveStartupMessage()
				require.NoError(t, err)
				test.event(l.Addr().String())
				b.Send(&pgproto3.AuthenticationOk{})
				b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				_ = b.Flush()
			}
			got, err := io.ReadAll(c)
			require.NoError(t, err, test.name)
			require.Empty(t, got, "%s, greeted %v", test.name, duringHandshake)
			done := make(chan [4]int, 1)
			w.front.onLoop(func() { done <- [4]int{w.front.servers.count - before, p.open, p.dialing, len(p.idle)} })
			require.Equal(t, [4]int{}, <-done, "%s: servers, open, dialing, idle", test.name)
		}
	}
}
