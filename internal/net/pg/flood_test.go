package pg

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/sqlcomment"
)

// visits counts what one visit of a client's handler to the loop writes.
type visits struct {
	gnet.Conn
	writes, bytes int
}

func (v *visits) Write(b []byte) (int, error) {
	v.writes++
	v.bytes += len(b)
	return v.Conn.Write(b)
}

// onLoop runs something on the loop for the one client that there is.
func (d *door) onLoop(t *testing.T, do func(h *client, c gnet.Conn)) {
	done := make(chan struct{})
	d.forEachClient(func(h *client, c gnet.Conn) {
		do(h, c)
		close(done)
	})
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the loop does not come round")
	}
}

// What a client sends ahead is answered in a few writes, however many commands it holds: one for each would keep the
// loop from everybody else. The commands lie in the client's ring buffer while the loop is held; then one visit takes
// them all.
func TestCommandsSentAheadAreAnsweredTogether(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20, RetryAfterMillis: 300})
	c := d.call(t, "")
	require.Equal(t, []string{"empty"}, errorsOf(t, c, 1))
	const n = 8000
	d.onLoop(t, func(h *client, _ gnet.Conn) { h.requestInFlight = true }) // as if a request were under way
	var b []byte
	for range n {
		b = appendMessage(b, 'S', func(b []byte) []byte { return b })
	}
	_, err := c.Write(b)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.count(func(h *client) bool { return h.unreadBytes == len(b) }) == 1 }, 20*time.Second, time.Millisecond)
	var v visits
	d.onLoop(t, func(h *client, c gnet.Conn) {
		v.Conn = c
		h.requestInFlight = false
		_ = h.Traffic(&v)
	})
	require.Equal(t, 6*n, v.bytes, "a ReadyForQuery for each")
	require.LessOrEqual(t, v.writes, 6*n/replyBatchBytes+1, "system calls of one visit to the loop")
	got := make([]byte, 6*n)
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	for i := 0; i < len(got); i += 6 {
		require.Equal(t, byte('Z'), got[i])
	}
}

// A client that floods holds up itself alone: what another waits for its answers beside a flood.
func TestAFloodDelaysNobodyElse(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 1 << 20, RetryAfterMillis: 300})
	quiet := d.call(t, "")
	require.Equal(t, []string{"empty"}, errorsOf(t, quiet, 1))
	ask := appendQuery(nil, func(b []byte) []byte { return b })
	answer := make([]byte, 11)
	measure := func() (took []time.Duration) {
		for range 100 {
			at := time.Now()
			_, err := quiet.Write(ask)
			require.NoError(t, err)
			_, err = io.ReadFull(quiet, answer)
			require.NoError(t, err)
			took = append(took, time.Since(at))
		}
		slices.Sort(took)
		return took
	}
	alone := measure()
	flood := d.call(t, "")
	require.Equal(t, []string{"empty"}, errorsOf(t, flood, 1))
	var b []byte
	for len(b) < 64<<10 {
		b = appendMessage(b, 'S', func(b []byte) []byte { return b })
	}
	var all sync.WaitGroup
	all.Go(func() { _, _ = io.Copy(io.Discard, flood) })
	sent := 0
	all.Go(func() {
		for {
			n, err := flood.Write(b)
			if sent += n; err != nil {
				return
			}
		}
	})
	flooded := measure()
	flood.Close()
	all.Wait()
	t.Logf("an answer takes %v in the median and %v at the most alone, %v and %v beside %d MB sent at full speed",
		alone[50], alone[99], flooded[50], flooded[99], sent>>20)
	require.Greater(t, sent, 1<<20, "no flood")
	require.Less(t, flooded[50], 50*time.Millisecond)
}

// Clients that send as much as they may and go leave nothing behind: no bytes that are counted, no connection, no
// goroutine, and no request that waits for nobody.
func TestClientsThatSendMuchAndGo(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 200, Bytes: 1 << 20, RetryAfterMillis: 300})
	first := d.call(t, "")
	require.Equal(t, []string{"empty"}, errorsOf(t, first, 1))
	before := runtime.NumGoroutine()
	request := appendQuery(nil, func(b []byte) []byte {
		return append(b, "/* id=0,c=report,d=60000,cluster=1 */ SELECT payload"...)
	})
	for _, half := range []int{0, len(request) / 2} { // the last one is whole, or is not
		var all sync.WaitGroup
		for i := range 40 {
			all.Go(func() {
				c, err := net.Dial("tcp", d.address)
				if err != nil {
					return
				}
				defer c.Close()
				b := startupMessage("web", "orders")
				for j := range 400 {
					b = appendQuery(b, func(b []byte) []byte {
						return fmt.Appendf(b, "/* id=%d,c=report,d=60000,cluster=1 */ SELECT payload", i*1000+j+1)
					})
				}
				_, _ = c.Write(append(b, request[:half]...))
			})
		}
		all.Wait()
		require.Eventually(t, func() bool { return d.count(func(*client) bool { return true }) == 1 }, 20*time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+2 }, 20*time.Second, time.Millisecond)
		d.onLoop(t, func(*client, gnet.Conn) { require.Zero(t, d.unreadBytes) })
	}
	select {
	case <-d.edge.Drain():
	case <-time.After(20 * time.Second):
		t.Fatal("a request of a client that has gone is still open")
	}
	require.Equal(t, []string{"empty"}, errorsOf(t, d.call(t, ""), 1))
}

// What a host says that can't be right, or never ends: nothing of it is taken, it teaches nothing though its first half
// told of a role and a position, what it held of the memory is free again, and the next request is served.
func TestAnswersThatNeverEndTeachNothing(t *testing.T) {
	told := appendParameterStatus(appendParameterStatus(nil, Platform.Role, Platform.Primary), Platform.Position, "999999999000")
	described := appendRow(nil, &edge.Answer{Column: "payload", Type: 17, Binary: true, Value: []byte{1}, Tag: "SELECT 1"})
	described = described[:len(described)-len(appendCommandComplete(nil, "SELECT 1"))]
	column := described[:len(described)-len(appendMessage(nil, 'D', func(b []byte) []byte { return append(b, 0, 1, 0, 0, 0, 1, 1) }))]
	lies := func(n uint32) []byte { // a value said to be so long, in a message that is whole
		return appendMessage(append([]byte(nil), column...), 'D', func(b []byte) []byte {
			return append(binary.BigEndian.AppendUint32(append(b, 0, 1), n), 1)
		})
	}
	join := func(bs ...[]byte) []byte { return slices.Concat(bs...) }
	for _, k := range []struct {
		name  string
		first []byte
		goes  []byte // said again and again until the connection ends; nil: the connection stays silent
		code  dispatch.Code
	}{
		{"a message said to be 3 GB", join(told, column, []byte{'D', 0xb2, 0xd0, 0x5e, 0}), nil, dispatch.Malformed},
		{"a value said to be 3 GB", join(told, lies(3<<30)), appendReady(nil), dispatch.Malformed},
		{"parameters without end", told, appendParameterStatus(nil, "part", "master"), dispatch.Malformed},
		{"notices without end", told, appendMessage(nil, 'N', func(b []byte) []byte { return append(b, make([]byte, 1000)...) }), dispatch.Malformed},
		{"rows without end", join(told, described), described[len(column):], dispatch.Malformed},
		{"two answers' halves", join(told, described, told, column), appendReady(nil), dispatch.Malformed},
		{"half an answer", join(told, described), nil, dispatch.NoAnswer},
	} {
		ended := make(chan struct{}, 16)
		r := start(t, func(c net.Conn, b *pgproto3.Backend) {
			for welcome(b); ; {
				m, err := b.Receive()
				if err != nil {
					break
				}
				if q, ok := m.(*pgproto3.Query); ok && len(q.String) > 60 {
					_, _ = c.Write(whole())
					continue
				}
				_, err = c.Write(k.first)
				for err == nil && k.goes != nil {
					_, err = c.Write(k.goes)
				}
			}
			ended <- struct{}{}
		})
		reply := r.exchange(t, open)
		require.Equal(t, edge.Reply{Outcome: dispatch.Outcome{Code: k.code}, Detail: reply.Detail, WrittenAt: 1e12}, reply, k.name)
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatal(k.name + ": the connection stays")
		}
		r.settled(t, 0)
		require.Equal(t, dispatch.OK, r.send(t, "/* id=2,c=a,d=900,cluster=1 */ SELECT payload FROM entries WHERE ref = 'after'", open).Code, k.name)
	}
}

// An answer that turns out spoilt while it is being given up: whichever comes first, it is one of the two, once, and the
// connection ends.
func TestASpoiltAnswerCrossesAGiveUp(t *testing.T) {
	for _, spoiltFirst := range []bool{true, false} {
		speak, spoken := make(chan struct{}), make(chan struct{})
		r := start(t, func(c net.Conn, b *pgproto3.Backend) {
			welcome(b)
			_, _ = b.Receive()
			_, _ = c.Write(appendParameterStatus(nil, Platform.Position, "999999999000"))
			<-speak
			_, _ = c.Write([]byte("noise that is no message"))
			close(spoken)
			_, _ = b.Receive()
		})
		ctx, giveUp := context.WithCancel(context.Background())
		c, err := r.Acquire(ctx, "h")
		require.NoError(t, err)
		s, err := sqlcomment.Parse("/* id=1,c=a,d=900,cluster=1 */ SELECT payload")
		require.NoError(t, err)
		replies := make(chan edge.Reply, 2)
		go func() { replies <- c.Exchange(ctx, &s, open) }()
		want := dispatch.Malformed
		if spoiltFirst {
			close(speak)
			<-spoken
			require.Equal(t, want, (<-replies).Code)
			giveUp()
		} else {
			want = dispatch.Cancelled
			require.Eventually(t, func() bool { return r.held(t) > 0 }, 20*time.Second, time.Millisecond) // half of it is here
			giveUp()
			reply := <-replies
			require.Equal(t, edge.Reply{Outcome: dispatch.Outcome{Code: want}, Detail: reply.Detail, WrittenAt: 1e12}, reply)
			close(speak)
			<-spoken
		}
		r.settled(t, 0)
		require.Empty(t, replies)
	}
}

// A host that reports parameters without end does not fill the memory of the session front.
func TestAHostReportsParametersWithoutEnd(t *testing.T) {
	f := NewSessionFront(nil, nil, clock.NewManual(1e12), Platform, SessionLimits{})
	s := &serverConn{front: f, parameters: &parameterSet{values: map[string]string{}}}
	for i := range maxReportedParameters {
		own, ok := s.recordParameter(fmt.Appendf(nil, "name%d\x00on\x00", i))
		require.True(t, ok && !own, i)
	}
	_, ok := s.recordParameter([]byte("one more\x00on\x00"))
	require.False(t, ok)
	_, ok = s.recordParameter([]byte("name7\x00off\x00"))
	require.True(t, ok, "one that is known may change")
	own, ok := s.recordParameter([]byte(Platform.Role + "\x00" + Platform.Primary + "\x00"))
	require.True(t, own && ok)
}
