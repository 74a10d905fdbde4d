package pg

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/sqlcomment"
)

// slowReader is a host that reads a request only after read is closed, and counts its bytes.
type slowReader struct {
	read     chan struct{} // the test closes it to let the host read
	received atomic.Int64  // bytes received after the handshake
	size     atomic.Int64  // size of the request according to its header; 0 until the header arrives
	ended    chan struct{} // closed at the end of the connection
}

func (s *slowReader) serve(c net.Conn, b *pgproto3.Backend) {
	defer close(s.ended)
	completeHandshake(b)
	<-s.read
	header := make([]byte, 5)
	n, err := io.ReadFull(c, header)
	s.received.Add(int64(n))
	if err != nil {
		return
	}
	s.size.Store(1 + int64(binary.BigEndian.Uint32(header[1:])))
	for buffer := make([]byte, 16<<10); err == nil; {
		n, err = c.Read(buffer)
		s.received.Add(int64(n))
	}
}

// isWhole reports whether the host received the whole request, and would run it.
func (s *slowReader) isWhole() bool { return s.size.Load() > 0 && s.received.Load() >= s.size.Load() }

// An attempt ends while a part of its request has not reached the host, because the host hangs or reads
// slowly. The rest must not be sent. Otherwise the request would run after its client has left, or in
// addition to the attempt that replaced it.
func TestRestOfEndedAttemptIsNotSent(t *testing.T) {
	const size = 150 << 10
	for _, test := range []struct {
		name        string
		writeBuffer int // size of the pooler's socket buffer; decides whether the rest lies in the kernel or the event loop
		end         func(l gnet.EventLoop, c *conn, giveUp func())
		code        dispatch.Code
	}{
		{"given up, the rest in the kernel", 4 << 20, func(_ gnet.EventLoop, _ *conn, giveUp func()) { giveUp() }, dispatch.Cancelled},
		{"given up, the rest in the event loop's buffer", 48 << 10, func(_ gnet.EventLoop, _ *conn, giveUp func()) { giveUp() }, dispatch.Cancelled},
		{"closed as at the host's half-close", 48 << 10, func(l gnet.EventLoop, c *conn, _ func()) { _ = l.Close(c.gnetConn) }, dispatch.NoConnection},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &slowReader{read: make(chan struct{}), ended: make(chan struct{})}
			r := start(t, s.serve)
			r.SetLimits(PoolLimits{Connections: 4, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
			r.recordLateAnswers()
			c := r.mustAcquire(t)
			host := <-r.conns
			_ = host.(*net.TCPConn).SetReadBuffer(16 << 10)
			require.NoError(t, c.gnetConn.SetWriteBuffer(test.writeBuffer))
			statement, err := sqlcomment.Parse(plainQuery + " -- " + strings.Repeat("x", size))
			require.NoError(t, err)
			ctx, giveUp := context.WithCancel(context.Background())
			defer giveUp()
			replies := make(chan edge.Reply, 1)
			go func() { replies <- c.Exchange(ctx, &statement, open) }()
			l, left := c.gnetConn.EventLoop(), 0
			require.Eventually(t, func() bool {
				written := make(chan bool, 1)
				_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
					left = c.gnetConn.OutboundBuffered()
					written <- c.awaitingReply
					return nil
				}))
				return <-written
			}, 10*time.Second, time.Millisecond)

			held, release := make(chan struct{}), make(chan struct{})
			require.NoError(t, l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
				close(held)
				<-release
				test.end(l, c, giveUp)
				return nil
			})))
			<-held
			if left > 0 { // the host reads what the kernel holds while the event loop is blocked, so the rest could be written now
				close(s.read)
				require.Eventually(t, func() bool {
					return s.size.Load() > 0 && s.received.Load() == s.size.Load()-int64(left)
				}, 10*time.Second, time.Millisecond)
			}
			if test.code == dispatch.Cancelled { // before the event loop continues, so that it finds the attempt abandoned
				giveUp()
				require.Equal(t, test.code, (<-replies).Code)
			}
			close(release)
			if test.code != dispatch.Cancelled {
				require.Equal(t, test.code, (<-replies).Code, "the last byte was never written: it did not run")
			}
			r.blockLoop(t, l)() // the function that ends the attempt was queued before this one
			if left == 0 {
				close(s.read)
			}
			select {
			case <-s.ended:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection stays")
			}
			require.False(t, s.isWhole(), "the host got %d of %d bytes", s.received.Load(), s.size.Load())
		})
	}
}

// A host reads only a part of a request. The attempt ends within the time limit as one that never ran, and
// the rest of the request is not sent.
func TestRequestNotWrittenInTimeNeverRan(t *testing.T) {
	s := &slowReader{read: make(chan struct{}), ended: make(chan struct{})}
	r := start(t, s.serve)
	r.SetLimits(PoolLimits{Connections: 4, ConnectTimeout: 20 * time.Second, IdleTimeout: 15 * time.Second})
	c := r.mustAcquire(t)
	_ = (<-r.conns).(*net.TCPConn).SetReadBuffer(16 << 10)
	require.NoError(t, c.gnetConn.SetWriteBuffer(16<<10))
	statement, err := sqlcomment.Parse(plainQuery + " -- " + strings.Repeat("x", 150<<10))
	require.NoError(t, err)
	begun := time.Now()
	reply := c.Exchange(context.Background(), &statement, open)
	require.Equal(t, dispatch.NoConnection, reply.Code)
	require.Greater(t, time.Since(begun), maxWriteTime-time.Millisecond)
	close(s.read)
	<-s.ended
	require.False(t, s.isWhole(), "the host got %d of %d bytes", s.received.Load(), s.size.Load())
}
