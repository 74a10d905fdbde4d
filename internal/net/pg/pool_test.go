package pg

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/net/loop"
	"ashstand/internal/sqlcomment"
)

// poolFixture is a pool with one fake host, whose accepted connections are sent to conns.
type poolFixture struct {
	*Pool
	clock *clock.Manual
	conns chan net.Conn
}

// start starts a pool and a fake host "h" that runs serve for each connection.
func start(t *testing.T, serve func(c net.Conn, b *pgproto3.Backend)) *poolFixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	e := loop.New()
	require.NoError(t, e.Start("127.0.0.1:0", func(gnet.Conn) (loop.Handler, []byte, gnet.Action) { return nil, nil, gnet.Close }))
	t.Cleanup(e.Stop)
	r := &poolFixture{clock: clock.NewManual(1e12), conns: make(chan net.Conn, 16)}
	r.Pool = NewPool(e, r.clock, Platform, PoolLimits{Connections: 4, ConnectTimeout: 300 * time.Millisecond, IdleTimeout: 15 * time.Second})
	r.SetAddress("h", l.Addr().String())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.conns <- c
			go serve(c, pgproto3.NewBackend(c, c))
		}
	}()
	return r
}

// completeHandshake completes the handshake.
func completeHandshake(b *pgproto3.Backend) {
	_, _ = b.ReceiveStartupMessage()
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = b.Flush()
}

// answerQueries completes the handshake and answers every query.
func answerQueries(_ net.Conn, b *pgproto3.Backend) {
	for completeHandshake(b); ; _ = b.Flush() {
		if _, err := b.Receive(); err != nil {
			return
		}
		b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("payload"), DataTypeOID: 17, Format: 1}}})
		b.Send(&pgproto3.DataRow{Values: [][]byte{{1}}})
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
}

func open() (float64, bool) { return 500, true }

func (r *poolFixture) exchange(t *testing.T, gate edge.Gate) edge.Reply {
	return r.send(t, "/* id=1,c=a,d=900,cluster=1 */ SELECT payload", gate)
}

func (r *poolFixture) send(t *testing.T, text string, gate edge.Gate) edge.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	c, err := r.Acquire(ctx, "h")
	require.NoError(t, err)
	s, err := sqlcomment.Parse(text)
	require.NoError(t, err)
	return c.Exchange(ctx, &s, gate)
}

// Guards against a request written to an idle connection that its host is about to close: the request ends in
// a reset, and a write is lost.
func TestIdleConnectionsExpireBeforeHostTimeout(t *testing.T) {
	r := start(t, answerQueries)
	require.Equal(t, dispatch.OK, r.exchange(t, open).Code)
	r.clock.Advance(9000)
	require.Equal(t, dispatch.OK, r.exchange(t, open).Code)
	require.Len(t, r.conns, 1, "still good")
	r.clock.Advance(12000)
	require.Equal(t, dispatch.OK, r.exchange(t, open).Code)
	require.Len(t, r.conns, 2, "retired")
	r.clock.Advance(12000)
	r.Sweep()
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.openConns == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a late answer that is given to the next request on the same connection.
func TestConnectionAwaitingResponseIsNotReused(t *testing.T) {
	r := start(t, func(c net.Conn, b *pgproto3.Backend) { completeHandshake(b) }) // answers nothing
	require.Equal(t, dispatch.NoAnswer, r.exchange(t, open).Code)
	require.Equal(t, dispatch.NoAnswer, r.exchange(t, open).Code)
	require.Len(t, r.conns, 2)
}

// Guards against a valid answer that is discarded because of bytes after it, and above all against a second
// copy of an answer that is given to the next request.
func TestBytesAfterResponseCloseConnection(t *testing.T) {
	second := make(chan struct{})
	r := start(t, func(c net.Conn, b *pgproto3.Backend) {
		for completeHandshake(b); ; {
			m, err := b.Receive()
			if err != nil {
				return
			}
			var out []byte
			copies := 1
			if strings.Contains(m.(*pgproto3.Query).String, "twice") {
				copies = 2
			}
			for range copies {
				out = append(out, completeResponse()...)
			}
			_, _ = c.Write(out)
			if strings.Contains(m.(*pgproto3.Query).String, "later") {
				_, _ = c.Write(completeResponse())
				close(second)
			}
		}
	})
	text := func(word string) string { return "/* id=1,c=a,d=900,cluster=1 */ SELECT '" + word + "'" }
	require.Equal(t, dispatch.OK, r.send(t, text("twice"), open).Code)
	require.Equal(t, dispatch.OK, r.send(t, text("once"), open).Code)
	require.Len(t, r.conns, 2, "the first is not used again")
	require.Equal(t, dispatch.OK, r.send(t, text("later"), open).Code)
	<-second
	require.Equal(t, dispatch.NotSent, func() dispatch.Code { // the second copy may arrive before the connection is returned, or after it
		if code := r.send(t, text("once"), open).Code; code != dispatch.OK {
			return code
		}
		require.Len(t, r.conns, 3)
		return dispatch.NotSent
	}())
}

// A host answers with garbage: the request may have run, nothing is learned from the answer, and the
// connection is not used again.
func TestMalformedResponseClosesConnection(t *testing.T) {
	malformed := [][]byte{
		{'D', 0xb2, 0xd0, 0x5e, 0, 0},
		[]byte("noise that is no message"), appendReady(appendCommandComplete(nil, "SELECT 0")),
		appendMessage(nil, 'S', func(b []byte) []byte { return append(b, make([]byte, 70<<10)...) }),
	}
	for i, noise := range malformed {
		r := start(t, func(c net.Conn, b *pgproto3.Backend) {
			completeHandshake(b)
			_, _ = b.Receive()
			_, _ = c.Write(noise)
			_, _ = b.Receive()
		})
		execution := dispatch.MayHaveRun
		if i == 2 { // a command that completed, without its row
			execution = dispatch.Ran
		}
		reply := r.exchange(t, open)
		require.Equal(t, edge.Reply{Outcome: dispatch.Outcome{Code: dispatch.Malformed, Execution: execution}, Detail: reply.Detail, WrittenAt: 1e12}, reply, i)
		require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.openConns == 0 }, 10*time.Second, time.Millisecond)
	}
}

// Guards against hosts that together fill the memory with answers that never end, and against the pool's own
// limits being reported as a fault of the host.
func TestPoolLimits(t *testing.T) {
	r := start(t, func(c net.Conn, b *pgproto3.Backend) {
		completeHandshake(b)
		_, _ = b.Receive()
		_, _ = c.Write(append([]byte{'D', 0, 0, 0xff, 0}, make([]byte, 30<<10)...)) // and the rest never comes
		_, _ = b.Receive()
	})
	r.SetLimits(PoolLimits{Connections: 3, Bytes: 50 << 10, ConnectTimeout: 300 * time.Millisecond, IdleTimeout: 15 * time.Second})
	codes := make(chan dispatch.Code, 3)
	for range 2 {
		go func() { codes <- r.exchange(t, open).Code }()
	}
	require.Equal(t, dispatch.Malformed, <-codes, "what passes the bound goes at once")
	require.Equal(t, dispatch.NoAnswer, <-codes, "the other is waited for")
	r.SetLimits(PoolLimits{})
	_, err := r.Acquire(context.Background(), "h")
	require.ErrorIs(t, err, edge.ErrPoolExhausted)
}

// If the gate does not open, nothing is written, and the next request uses the connection.
func TestClosedGateWritesNothing(t *testing.T) {
	r := start(t, answerQueries)
	require.Equal(t, dispatch.NotSent, r.exchange(t, func() (float64, bool) { return 0, false }).Code)
	require.Equal(t, dispatch.OK, r.exchange(t, open).Code)
	require.Len(t, r.conns, 1)
	require.Equal(t, dispatch.NotSent, r.Probe(context.Background(), "h", func(string) bool { return false }).Code)
}

// A host that rejects connections is at capacity. A host that never responds makes the dial time out.
func TestFailedDials(t *testing.T) {
	fullHost := start(t, func(c net.Conn, b *pgproto3.Backend) {
		_, _ = b.ReceiveStartupMessage()
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = b.Flush()
		c.Close()
	})
	_, err := fullHost.Acquire(context.Background(), "h")
	require.ErrorIs(t, err, edge.ErrHostRejected)
	silentHost := start(t, func(net.Conn, *pgproto3.Backend) {})
	_, err = silentHost.Acquire(context.Background(), "h")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotErrorIs(t, err, edge.ErrHostRejected)
	_, err = silentHost.Acquire(context.Background(), "nobody")
	require.Error(t, err)
}
