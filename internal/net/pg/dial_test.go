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

// settled waits until the pool counts so many connections, and looks that as many lie in it: none is counted twice, and
// none is leaked.
func (r *rig) settled(t *testing.T, idle int) {
	t.Helper()
	counts := func() (open, lie int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, h := range r.hosts {
			lie += len(h.idle)
		}
		return r.openConns, lie
	}
	require.Eventually(t, func() bool { open, lie := counts(); return open == idle && lie == idle }, 20*time.Second, time.Millisecond)
	require.Zero(t, r.held(t), "bytes of answers that are counted, with none under way")
}

// held is what the pool counts as unread, read on the loop.
func (r *rig) held(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	g, err := r.engine.Dial(context.Background(), l.Addr().String(), idler{})
	require.NoError(t, err)
	defer g.Close()
	n := make(chan int, 1)
	require.NoError(t, g.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		n <- r.unreadBytes
		return nil
	})))
	return <-n
}

// idler is a connection that is there for its loop.
type idler struct{}

func (idler) Traffic(gnet.Conn) gnet.Action { return gnet.None }
func (idler) Closed(gnet.Conn, error)       {}

// slow greets a connection once it is told to, and then answers every query.
func slow(up <-chan struct{}) func(net.Conn, *pgproto3.Backend) {
	return func(c net.Conn, b *pgproto3.Backend) {
		<-up
		good(c, b)
	}
}

// given is a dial whose attempt is given up once the host has the connection; it returns once Acquire has.
func (r *rig) given(t *testing.T) {
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

// A connection that comes up after its attempt was given up is kept, and the next request uses it: its host has paid.
func TestADialThatCompletesAfterItsAttempt(t *testing.T) {
	up := make(chan struct{})
	r := start(t, slow(up))
	r.SetLimits(PoolLimits{Connections: 4, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
	r.given(t)
	r.mu.Lock()
	require.Equal(t, 1, r.openConns, "it goes on, and holds its place")
	r.mu.Unlock()
	close(up)
	r.settled(t, 1)
	require.Equal(t, dispatch.OK, r.exchange(t, open).Code)
	require.Empty(t, r.conns, "the host was not asked for another")
	r.settled(t, 1)
}

// The other order: it is up before it could be given up, and is the attempt's.
func TestADialThatCompletesBeforeItsAttemptIsGivenUp(t *testing.T) {
	up := make(chan struct{})
	close(up)
	r := start(t, slow(up))
	ctx, giveUp := context.WithCancel(context.Background())
	c, err := r.Acquire(ctx, "h")
	require.NoError(t, err)
	giveUp()
	c.(*conn).release()
	r.settled(t, 1)
}

// Of the dials to a host that are given up one goes on: a host that does not come up would else take all places.
func TestOneLateDialForEachHost(t *testing.T) {
	up := make(chan struct{})
	r := start(t, slow(up))
	r.SetLimits(PoolLimits{Connections: 4, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
	for range 3 {
		r.given(t)
	}
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.openConns == 1 }, 20*time.Second, time.Millisecond)
	// And it makes room where there is none: nobody waits for it.
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
	r.settled(t, 1)
}

// A connection that is not up after the time in the settings counts as none, whoever waits for it, and holds no place.
func TestALateDialEndsAtItsTime(t *testing.T) {
	r := start(t, func(net.Conn, *pgproto3.Backend) {})
	r.given(t)
	r.settled(t, 0)
}

// A host that moves, leaves or begins to drain while it is dialled: nothing goes to where it was, the handshake neither,
// and a connection that came up there is not used. Each at both steps of a dial: before the handshake, and during it.
func TestAHostChangesWhileItIsDialled(t *testing.T) {
	for _, k := range []struct {
		name  string
		event func(r *rig, other string, drains *atomic.Bool)
		want  error
	}{
		{"moves", func(r *rig, other string, _ *atomic.Bool) { r.SetAddress("h", other) }, nil},
		{"leaves", func(r *rig, _ string, _ *atomic.Bool) { r.SetAddress("h", "") }, errUnknownHost},
		{"drains", func(_ *rig, _ string, drains *atomic.Bool) { drains.Store(true) }, edge.ErrUnlisted},
	} {
		for _, greeted := range []bool{false, true} {
			up, asked := make(chan struct{}), make(chan struct{}, 1)
			r := start(t, func(c net.Conn, b *pgproto3.Backend) {
				if _, err := b.ReceiveStartupMessage(); err != nil {
					return
				}
				asked <- struct{}{}
				<-up
				b.Send(&pgproto3.AuthenticationOk{})
				b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				_ = b.Flush()
				_, _ = b.Receive()
			})
			r.SetLimits(PoolLimits{Connections: 4, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
			other := start(t, good)
			address := other.hosts["h"].address
			var drains atomic.Bool
			var looks atomic.Int32
			r.Listed = func(string) bool {
				if looks.Add(1) == 2 && !greeted { // the connection is there, and nothing was written to it
					k.event(r, address, &drains)
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
			if greeted {
				<-asked
				k.event(r, address, &drains)
				close(up)
			}
			g := <-got
			require.Empty(t, asked, "%s: it was greeted all the same", k.name)
			if k.want != nil {
				require.ErrorIs(t, g.err, k.want, k.name)
				r.settled(t, 0)
				continue
			}
			require.NoError(t, g.err)
			require.Len(t, other.conns, 1, "it is dialled where it is now")
			g.conn.(*conn).release()
			r.settled(t, 1)
		}
	}
}

// Room for a new connection is made before it is dialled, not once it is up.
func TestRoomIsMadeBeforeTheDial(t *testing.T) {
	closed := make(chan struct{})
	r := start(t, func(c net.Conn, b *pgproto3.Backend) {
		good(c, b)
		close(closed)
	})
	up := make(chan struct{})
	other := start(t, slow(up))
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
	r.settled(t, 1)
}

// A host that closes as soon as it has accepted: the loop hears of the end before the dialler has its connection, or
// after. It counts once, and nothing ran.
func TestAConnectionThatEndsWhileItIsEnrolled(t *testing.T) {
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
		r.settled(t, 0)
	}
}

// A dial that the loop does not take: no place is lost, and none is given back twice.
func TestADialThatIsNotEnrolled(t *testing.T) {
	r := start(t, good)
	r.engine.Stop()
	for range 8 {
		_, err := r.Acquire(context.Background(), "h")
		require.Error(t, err)
		r.mu.Lock()
		require.Zero(t, r.openConns)
		r.mu.Unlock()
	}
}

// An idle connection that its host closes in the moment it is taken: the end comes before the write, or after it. What
// was closed before says nothing of the host, and nothing ran; after it, the request may have run.
func TestAnIdleConnectionClosesAsItIsTaken(t *testing.T) {
	for _, k := range []struct {
		name  string
		first bool // the end comes before the write
		half  bool // and half a line of the host with it
		want  dispatch.Code
	}{
		{"end, write", true, false, dispatch.NotSent},
		{"half a line, end, write", true, true, dispatch.NotSent},
		{"write, end", false, false, dispatch.ConnectionLost},
		{"write, half a line, end", false, true, dispatch.ConnectionLost},
	} {
		conns := make(chan net.Conn, 4)
		r := start(t, func(c net.Conn, b *pgproto3.Backend) {
			welcome(b)
			_, _ = b.Receive()
			_, _ = c.Write(whole())
			conns <- c
			_, _ = b.Receive()
			if !k.first {
				if k.half {
					_, _ = c.Write(whole()[:9])
				}
				c.Close()
			}
		})
		require.Equal(t, dispatch.OK, r.exchange(t, open).Code)
		c := <-conns
		r.mu.Lock()
		lies := r.hosts["h"].idle[0]
		r.mu.Unlock()
		reply := r.exchange(t, func() (float64, bool) {
			if k.first {
				if k.half {
					_, _ = c.Write(whole()[:9])
				}
				c.Close()
				require.Eventually(t, func() bool { return hasUnreadEvent(lies.gnetConn) }, 20*time.Second, time.Millisecond)
			}
			return 500, true
		})
		require.Equal(t, k.want, reply.Code, k.name)
		require.Zero(t, reply.Position, k.name)
		r.settled(t, 0)
	}
}

// The session front: a host that moves, leaves or drains while a connection for its pool is dialled is not greeted, and
// one that does so while it greets is not used. Each counts once, and is off the books. The loop is held from the dial's
// begin until the event has come, so that nothing can be written before.
func TestAHostChangesWhileASessionsConnectionIsDialled(t *testing.T) {
	w := pool(t, nil)
	w.connect("")
	for _, k := range []struct {
		name  string
		event func(address string)
	}{
		{"moves", func(string) { w.front.SetAddress("a", "127.0.0.1:1") }},
		{"leaves", func(string) { w.front.SetAddress("a", "") }},
		{"drains", func(string) { w.members("a") }},
	} {
		for _, greeted := range []bool{false, true} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			w.members()
			w.front.SetAddress("a", l.Addr().String())
			conns := make(chan net.Conn, 1)
			var p *serverPool
			before := 0
			w.front.onLoop(func() {
				before = w.front.servers.count
				p = w.front.pool("a", l.Addr().String(), poolIdentity{"orders", "web"})
				w.front.openServerConn(p)
				c, err := l.Accept() // the dial is done; the loop has not heard of it
				if err == nil && !greeted {
					k.event(l.Addr().String())
				}
				conns <- c
			})
			c := <-conns
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			if greeted {
				b := pgproto3.NewBackend(c, c)
				_, err := b.ReceiveStartupMessage()
				require.NoError(t, err)
				k.event(l.Addr().String())
				b.Send(&pgproto3.AuthenticationOk{})
				b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				_ = b.Flush()
			}
			got, err := io.ReadAll(c)
			require.NoError(t, err, k.name)
			require.Empty(t, got, "%s, greeted %v", k.name, greeted)
			done := make(chan [4]int, 1)
			w.front.onLoop(func() { done <- [4]int{w.front.servers.count - before, p.open, p.dialing, len(p.idle)} })
			require.Equal(t, [4]int{}, <-done, "%s: servers, open, dialing, idle", k.name)
		}
	}
}
