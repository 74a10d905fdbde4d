package pg

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ashstand/choice"
	"ashstand/internal/clock"
	"ashstand/internal/decide"
	"ashstand/internal/edge"
	"ashstand/internal/net/loop"
	"ashstand/internal/session"
	"ashstand/internal/settings"
	"ashstand/internal/statement"
)

// scripted is a backend whose host answers when the test says so.
type scripted struct {
	edge.Backend
	value []byte
	sent  atomic.Int32  // requests that were sent on
	gate  chan struct{} // one for each answer
}

func (s *scripted) Acquire(context.Context, string) (edge.Conn, error) { return s, nil }

func (s *scripted) Exchange(ctx context.Context, _ *statement.Statement, gate edge.Gate) edge.Reply {
	if _, ok := gate(); !ok {
		return edge.NotSent()
	}
	s.sent.Add(1)
	select {
	case <-s.gate:
		return edge.Reply{Outcome: decide.Outcome{Code: decide.OK}, Answer: edge.Answer{Column: "payload", Type: 17, Binary: true, Value: s.value, Tag: "SELECT 1"}}
	case <-ctx.Done():
		return edge.Reply{Outcome: decide.Outcome{Code: decide.Cancelled}}
	}
}

// desk is a statement front before a scripted host.
type desk struct {
	*door
	host *scripted
}

func answers(t *testing.T, clients, value int) *desk {
	class := choice.Class{Name: "report", Aim: time.Minute, Deadline: time.Minute, Worth: 1, LateShare: 1}
	d := &desk{&door{clock: clock.NewManual(1e12)}, &scripted{value: bytes.Repeat([]byte{'v'}, value), gate: make(chan struct{}, 64)}}
	f, err := decide.New(&settings.Parsed{Settings: choice.Settings{Routers: 1, MaxAttempts: 8, Classes: []choice.Class{class}},
		Classes: map[string]int{"report": 0}}, 1, d.clock, nil, nil)
	require.NoError(t, err)
	f.Members(true, []decide.Member{{Host: "h", Group: 1}})
	d.Front = NewFront(edge.New(f, d.clock, d.host), FrontLimits{Clients: clients, Bytes: 1 << 20})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.address = l.Addr().String()
	l.Close()
	e := loop.New()
	require.NoError(t, e.Start(d.address, d.Accept))
	t.Cleanup(e.Stop)
	return d
}

func asked(id string) []byte {
	return query(nil, func(b []byte) []byte { return append(b, "/* id="+id+",c=report,d=20000,cluster=1 */ SELECT 'k'"...) })
}

// narrow opens a connection of a client whose machine takes little at a time.
func narrow(t *testing.T, address string) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		_ = c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
		return err
	}}
	c, err := dialer.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// run does something on the loop and waits for it.
func run(l any, do func()) {
	if l == nil {
		return // nobody came yet
	}
	done := make(chan struct{})
	_ = l.(gnet.EventLoop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		defer close(done)
		do()
		return nil
	}))
	<-done
}

// hold keeps the loop busy until let is called, and then until ready holds.
func hold(l any, ready func() bool) (let func()) {
	held, on := make(chan struct{}), make(chan struct{})
	_ = l.(gnet.EventLoop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		close(on)
		<-held
		for begun := time.Now(); !ready() && time.Since(begun) < 10*time.Second; {
			time.Sleep(time.Millisecond)
		}
		return nil
	}))
	<-on
	return func() { close(held) }
}

func always() bool { return true }

// unreadIs says, on the loop, whether the kernel holds bytes of as many clients as that.
func (d *desk) unreadIs(n int) func() bool {
	return func() bool {
		for _, c := range d.conns {
			if waiting(c) {
				n--
			}
		}
		return n == 0
	}
}

// said reads to the end of a connection and gives the kinds of the messages, and what its errors were. whole: the end is
// none in the middle of a message, and no reset.
func said(t *testing.T, c net.Conn) (kinds string, states []string, whole bool) {
	all, err := io.ReadAll(c)
	var late net.Error
	require.False(t, errors.As(err, &late) && late.Timeout(), "it must end")
	for len(all) > 0 {
		kind, body, rest, ok, bad := next(all, 64<<20)
		if bad != nil || !ok {
			return kinds, states, false
		}
		if kinds += string(kind); kind == 'E' {
			state, _, _, _ := fields(body)
			states = append(states, state)
		}
		all = rest
	}
	return kinds, states, err == nil
}

const answer = "TDCZ"

// A request on a resting connection and the close at shutdown, in both orders: what the kernel has when the close is
// decided is served; what comes later is never sent on, and the client sees the end that lets it send once more.
func TestARequestThatCrossesTheDrain(t *testing.T) {
	d := answers(t, 16, 10)
	d.host.gate <- struct{}{}
	before, after := d.call(t, ""), d.call(t, "")
	errorsOf(t, before, 1)
	errorsOf(t, after, 1)
	discardReady(t, before, after)
	let := hold(d.loop.Load(), d.unreadIs(1))
	_, err := before.Write(asked("a"))
	require.NoError(t, err)
	d.Drain()
	let()
	kinds, _, whole := said(t, before)
	require.Equal(t, answer, kinds)
	require.True(t, whole)
	require.Eventually(t, func() bool { return d.count(func(h *client) bool { return !h.farewelled }) == 0 }, 10*time.Second, time.Millisecond)
	_, err = after.Write(asked("b"))
	require.NoError(t, err)
	kinds, _, _ = said(t, after)
	require.Empty(t, kinds)
	require.EqualValues(t, 1, d.host.sent.Load(), "what comes after the shutdown is sent on to nobody")
	require.True(t, d.Finish())
}

// discardReady reads the ReadyForQuery that errorsOf leaves unread.
func discardReady(t *testing.T, cs ...net.Conn) {
	for _, c := range cs {
		// errorsOf read through a buffer of its own, so nothing is left if it was there by then.
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, _ = io.ReadAll(c)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
	}
}

// The visit to the loop that ends a connection after its answer is the one that looked for a next request: in a later one
// that request may have been read and sent on.
func TestNoRequestBeginsBetweenTheLookAndTheClose(t *testing.T) {
	d := answers(t, 16, 10)
	c := d.call(t, "")
	errorsOf(t, c, 1)
	discardReady(t, c)
	l := d.loop.Load().(gnet.EventLoop)
	later := func(do func()) {
		require.NoError(t, l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { do(); return nil })))
	}
	d.drain.Store(true)
	let := hold(l, always)
	looked := make(chan struct{})
	later(func() {
		later(func() {}) // 1024 wait in the first queue again, so that a later visit is behind the others
		for h, c := range d.conns {
			h.next(c, edge.Served)
		}
		close(looked)
	})
	for range 2000 { // gnet does 1024 and 256 in one round, before it reads again
		later(func() {
			for begun := time.Now(); !d.unreadIs(1)() && len(d.conns) > 0 && time.Since(begun) < 10*time.Second; {
				time.Sleep(time.Millisecond)
			}
		})
	}
	let()
	<-looked
	_, err := c.Write(asked("a"))
	require.NoError(t, err)
	kinds, _, _ := said(t, c)
	require.Empty(t, kinds)
	require.Zero(t, d.host.sent.Load())
}

// A close that meets a later request while the client's machine has not taken the last answer yet: bytes that arrive after
// a close reset the connection, and the rest of the answer would go with it.
func TestAnAnswerOutlivesARequestThatCrossesTheClose(t *testing.T) {
	for name, end := range map[string]struct {
		early bool // the answer is out before
		by    func(t *testing.T, d *desk)
	}{
		"after the answer, at shutdown": {false, func(t *testing.T, d *desk) {
			d.Drain()
			d.host.gate <- struct{}{}
		}},
		"between requests, at shutdown": {true, func(t *testing.T, d *desk) { d.Drain() }},
		"used once while many are open": {true, func(t *testing.T, d *desk) {
			d.clock.Advance(minOnce)
			d.Sweep()
		}},
		"to make room": {true, func(t *testing.T, d *desk) {
			d.clock.Advance(minIdle)
			errorsOf(t, d.call(t, ""), 0)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := answers(t, 2, 60<<10)
			c := narrow(t, d.address)
			_, err := c.Write(append(startup(nil, "web", "orders"), asked("a")...))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return d.host.sent.Load() == 1 }, 10*time.Second, time.Millisecond)
			if end.early {
				d.host.gate <- struct{}{}
				require.Eventually(t, func() bool { return d.count(func(h *client) bool { return h.asked && !h.busy }) == 1 }, 10*time.Second, time.Millisecond)
			}
			end.by(t, d)
			require.Eventually(t, func() bool {
				return d.count(func(h *client) bool { return h.busy || d.drain.Load() && !h.farewelled }) == 0
			}, 10*time.Second, time.Millisecond)
			_, err = c.Write(asked("b")) // it crosses the close, if there was one
			require.NoError(t, err)
			require.Eventually(t, func() bool { // one that stays has its next request under way
				return d.host.sent.Load() == 2 || d.count(func(h *client) bool { return h.asked && !h.farewelled }) == 0
			}, 10*time.Second, time.Millisecond)
			d.host.gate <- struct{}{}
			d.Drain()
			kinds, _, _ := said(t, c)
			require.Contains(t, kinds, answer, "the answer is whole")
		})
	}
}

// At the end a client that takes its answer slowly: the answer is whole, and what is said behind it names the request that
// has none.
func TestTheEndWaitsForAnAnswerThatHasNotLeft(t *testing.T) {
	d := answers(t, 16, 8<<20)
	c := narrow(t, d.address)
	_, err := c.Write(append(append(startup(nil, "web", "orders"), asked("a")...), asked("b")...))
	require.NoError(t, err)
	d.host.gate <- struct{}{}
	require.Eventually(t, func() bool {
		n := 0
		run(d.loop.Load(), func() {
			for _, c := range d.conns {
				n = c.OutboundBuffered()
			}
		})
		return n > 0
	}, 10*time.Second, time.Millisecond)
	d.Drain()
	require.False(t, d.Finish())
	d.Cut()
	settled := make(chan struct{})
	go func() { d.Settle(time.Now().Add(15 * time.Second)); close(settled) }()
	kinds, states, whole := said(t, c)
	require.True(t, whole)
	require.Equal(t, []string{"57P03"}, states, "the second was sent on to nobody, the first has its answer")
	require.Contains(t, kinds, answer+"E")
	require.EqualValues(t, 1, d.host.sent.Load())
	<-settled
}

// The end waits for a loop that is busy, so that every client has its last words, and not for one that never comes back.
func TestTheEndWaitsForABusyLoop(t *testing.T) {
	d := answers(t, 256, 10)
	var cs []net.Conn
	for range 100 {
		c := d.call(t)
		_, err := c.Write(startup(nil, "web", "orders"))
		require.NoError(t, err)
		cs = append(cs, c)
	}
	require.Eventually(t, func() bool { return d.count(func(h *client) bool { return h.parser.started }) == len(cs) }, 10*time.Second, time.Millisecond)
	let := hold(d.loop.Load(), always)
	begun := time.Now()
	d.Cut()
	d.Settle(begun.Add(30 * time.Millisecond))
	require.Less(t, time.Since(begun), 5*time.Second, "bounded")
	time.AfterFunc(100*time.Millisecond, let)
	d.Settle(time.Now().Add(15 * time.Second))
	for _, c := range cs { // by now, not later
		raw, err := c.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		var n int
		b := make([]byte, 4096)
		require.NoError(t, raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}))
		require.Contains(t, string(b[:max(n, 0)]), "57P03")
	}
}

// A request and the decision that the front is idle, in both orders: one that has come is served first; one that comes
// later is refused, and sent on to nobody.
func TestNoRequestBeginsOnceTheFrontHasFinished(t *testing.T) {
	d := answers(t, 16, 10)
	fresh, later := d.call(t), d.call(t)
	for _, c := range []net.Conn{fresh, later} {
		_, err := c.Write(startup(nil, "web", "orders"))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return d.count(func(h *client) bool { return h.parser.started }) == 2 }, 10*time.Second, time.Millisecond)
	d.Drain()
	let := hold(d.loop.Load(), d.unreadIs(1))
	_, err := fresh.Write(asked("a"))
	require.NoError(t, err)
	finished := make(chan bool)
	go func() { finished <- d.Finish() }()
	let()
	require.False(t, <-finished)
	d.host.gate <- struct{}{}
	require.Eventually(t, d.Finish, 10*time.Second, time.Millisecond)
	kinds, _, _ := said(t, fresh)
	require.Contains(t, kinds, answer)
	_, err = later.Write(asked("b"))
	require.NoError(t, err)
	_, states, whole := said(t, later)
	require.Equal(t, []string{"57P03"}, states)
	require.True(t, whole)
	require.EqualValues(t, 1, d.host.sent.Load())
}

// gnet closes a connection that can't be written to; its descriptor may be another's by the next write.
func TestNothingIsWrittenToADescriptorThatIsAnothers(t *testing.T) {
	d := answers(t, 16, 10)
	c := d.call(t, "")
	errorsOf(t, c, 1)
	let := hold(d.loop.Load(), func() bool {
		for _, c := range d.conns {
			return pending(c)
		}
		return false
	})
	result := make(chan string, 1)
	require.NoError(t, d.loop.Load().(gnet.EventLoop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for h, c := range d.conns {
			fd := c.Fd()
			h.write(c, []byte("one"))
			if !h.closed {
				result <- "not closed"
				return nil
			}
			for range 32 { // until the number is dealt out again
				pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
				if err != nil {
					break
				}
				defer syscall.Close(pair[0])
				defer syscall.Close(pair[1])
				if pair[0] != fd && pair[1] != fd {
					continue
				}
				peer := pair[0] + pair[1] - fd
				h.cut(c)
				h.farewell(c, stateStarting, "the pooler restarts", "")
				b := make([]byte, 64)
				n, err := syscall.Read(peer, b)
				if n > 0 || err == nil { // bytes, or an end
					result <- "another connection got " + string(b[:max(n, 0)])
					return nil
				}
				result <- ""
				return nil
			}
		}
		result <- "the number was not dealt out again"
		return nil
	})))
	require.NoError(t, c.(*net.TCPConn).SetLinger(0))
	c.Close()
	let()
	require.Empty(t, <-result)
}

// Small writes are not held back by the system: a reset would take them with it.
func TestSmallWritesLeaveAtOnce(t *testing.T) {
	d := answers(t, 16, 10)
	errorsOf(t, d.call(t, ""), 1)
	on := func(c gnet.Conn) (n int) {
		n, err := unix.GetsockoptInt(c.Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		require.NoError(t, err)
		return n
	}
	run(d.loop.Load(), func() {
		for _, c := range d.conns {
			require.Equal(t, 1, on(c), "a client's")
		}
	})
	r := start(t, good)
	c, err := r.acquire(patient(t), "h")
	require.NoError(t, err)
	run(c.gnet.EventLoop(), func() { require.Equal(t, 1, on(c.gnet), "a db host's") })
	w := pool(t, nil)
	require.Equal(t, "1", w.one(w.connect(""), "SELECT $1", "1"))
	run(w.front.loop.Load(), func() {
		for c := range w.front.clients {
			require.Equal(t, 1, on(c.wire.Conn), "a session's")
		}
		for _, h := range w.front.hosts {
			for _, p := range h.pools {
				for _, s := range p.idle {
					require.Equal(t, 1, on(s.wire.Conn), "its db host's")
				}
			}
		}
	})
}

// Half a line that a db host sends in the moment in which its connection is used again: nothing is written there, and
// another connection serves the request.
func TestHalfALineFromAHostCrossesTheNextRequest(t *testing.T) {
	r := start(t, good)
	require.Equal(t, decide.OK, r.exchange(t, open).Code)
	first := <-r.conns
	c, err := r.acquire(patient(t), "h")
	require.NoError(t, err)
	let := hold(c.gnet.EventLoop(), func() bool { return waiting(c.gnet) })
	_, err = first.Write([]byte{'E', 0, 0})
	require.NoError(t, err)
	replied := make(chan edge.Reply)
	go func() {
		s, _ := statement.Parse("/* id=1,c=a,d=900,cluster=1 */ SELECT payload")
		replied <- c.Exchange(patient(t), &s, open)
	}()
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.due != nil }, 10*time.Second, time.Millisecond)
	let()
	require.Equal(t, decide.NotSent, (<-replied).Code, "no evidence against the host, and nothing ran")
	require.Equal(t, decide.OK, r.exchange(t, open).Code)
	require.Len(t, r.conns, 1, "on another connection")
}

// halting is a db host of which a test decides when it goes on, for the session front.
type halting struct {
	conns chan net.Conn
	l     net.Listener
}

func halts(t *testing.T, w *pooled) *halting {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &halting{make(chan net.Conn, 16), l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.conns <- c
		}
	}()
	t.Cleanup(func() { l.Close() })
	for _, host := range []string{w.a.Name, w.b.Name} {
		w.front.SetAddress(host, l.Addr().String())
	}
	return h
}

func (h *halting) welcome(t *testing.T) (net.Conn, *pgproto3.Backend) {
	c := <-h.conns
	t.Cleanup(func() { c.Close() })
	b := pgproto3.NewBackend(c, c)
	welcome(b)
	return c, b
}

func (w *pooled) raw(t *testing.T, open func(t *testing.T, address string) net.Conn) net.Conn {
	c := open(t, w.address)
	_, err := c.Write(startup(nil, "web", "orders"))
	require.NoError(t, err)
	upToReady(t, c)
	return c
}

// upToReady reads up to ReadyForQuery, and not a byte more.
func upToReady(t *testing.T, c net.Conn) {
	for head := make([]byte, 5); head[0] != 'Z'; {
		_, err := io.ReadFull(c, head)
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, binary.BigEndian.Uint32(head[1:])-4))
		require.NoError(t, err)
	}
}

func wide(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func simple(text string) []byte {
	return query(nil, func(b []byte) []byte { return append(b, text...) })
}

// A session's request and the farewell at shutdown, in both orders.
func TestASessionsRequestThatCrossesTheDrain(t *testing.T) {
	w := pool(t, nil)
	before, after := w.raw(t, wide), w.raw(t, wide)
	let := hold(w.front.loop.Load(), func() bool {
		for c := range w.front.clients {
			if waiting(c.wire.Conn) {
				return true
			}
		}
		return false
	})
	_, err := before.Write(simple("SELECT 7"))
	require.NoError(t, err)
	w.front.Drain()
	let()
	kinds, states, whole := said(t, before)
	require.Regexp(t, "DCS*ZE$", kinds)
	require.Equal(t, []string{"57P01"}, states, "once it has its answer")
	require.True(t, whole)
	require.Eventually(t, w.front.Idle, 10*time.Second, time.Millisecond)
	_, err = after.Write(simple("SELECT 8"))
	require.NoError(t, err)
	_, states, whole = said(t, after)
	require.Equal(t, []string{"57P01"}, states)
	require.True(t, whole)
	require.EqualValues(t, 1, w.front.Stats().Transactions, "what comes after the farewell runs nowhere")
}

// An answer that the client takes slowly is not cut by the farewell at shutdown.
func TestASessionsAnswerLeavesBeforeTheFarewell(t *testing.T) {
	w := pool(t, nil)
	c := w.raw(t, narrow)
	run(w.front.loop.Load(), func() {
		for c := range w.front.clients {
			require.NoError(t, c.wire.Conn.SetWriteBuffer(4096))
		}
	})
	_, err := c.Write(simple("SELECT generate_series(1, 1), repeat('x', 200000)"))
	require.NoError(t, err)
	require.Eventually(t, func() (left bool) {
		run(w.front.loop.Load(), func() {
			for c := range w.front.clients {
				left = c.phase == phaseFree && c.wire.Unsent() > 0
			}
		})
		return left
	}, 10*time.Second, time.Millisecond)
	w.front.Drain()
	require.False(t, w.front.Idle())
	kinds, states, whole := said(t, c)
	require.True(t, whole)
	require.Regexp(t, "DCS*ZE$", kinds)
	require.Equal(t, []string{"57P01"}, states)
	require.True(t, w.front.Idle())
}

// At the end a value of which a part was passed on stays cut: words behind it would be read as the rest of it.
func TestTheEndWritesNothingIntoAValue(t *testing.T) {
	w := pool(t, nil)
	h := halts(t, w)
	c := w.raw(t, wide)
	_, err := c.Write(simple("SELECT 1"))
	require.NoError(t, err)
	host, b := h.welcome(t)
	_, err = b.Receive()
	require.NoError(t, err)
	b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 17, Format: 1}}})
	require.NoError(t, b.Flush())
	const size = 100 << 10
	row := message(nil, 'D', func(b []byte) []byte {
		b = binary.BigEndian.AppendUint32(append(b, 0, 1), size)
		return append(b, bytes.Repeat([]byte{'x'}, size)...)
	})
	_, err = host.Write(row[:len(row)-20])
	require.NoError(t, err)
	require.Eventually(t, func() (streamed bool) {
		run(w.front.loop.Load(), func() {
			for c := range w.front.clients {
				streamed = c.server != nil && c.server.left == 20
			}
		})
		return streamed
	}, 10*time.Second, time.Millisecond)
	w.front.Cut()
	all, _ := io.ReadAll(c)
	_, _, rest, ok, err := next(all, 1<<20)
	require.True(t, ok && err == nil)
	require.Equal(t, len(row)-20, len(rest), "not whole, and the client can tell")
	require.True(t, bytes.Equal(row[:len(row)-20], rest))
}

// Shutdown in the middle of a session's dial: the transaction that waits for it is under way.
func TestShutdownInTheMiddleOfASessionsDial(t *testing.T) {
	w := pool(t, nil)
	h := halts(t, w)
	c := w.raw(t, wide)
	_, err := c.Write(simple("SELECT 1"))
	require.NoError(t, err)
	host := <-h.conns // the handshake stands still
	t.Cleanup(func() { host.Close() })
	w.front.Drain()
	require.False(t, w.front.Idle())
	b := pgproto3.NewBackend(host, host)
	welcome(b)
	_, err = b.Receive()
	require.NoError(t, err)
	answerOne(b)
	require.NoError(t, b.Flush())
	kinds, states, whole := said(t, c)
	require.Contains(t, kinds, "DCZ")
	require.Equal(t, []string{"57P01"}, states)
	require.True(t, whole)
	require.Eventually(t, w.front.Idle, 10*time.Second, time.Millisecond)
}

func answerOne(b *pgproto3.Backend) {
	b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}})
	b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("1")}})
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// A session that is bound to its connection has sent half of its next request when shutdown begins: it keeps the
// connection, and what binds it, for that request.
func TestABoundSessionKeepsItsConnectionWhileItDrains(t *testing.T) {
	w := pool(t, nil)
	h := halts(t, w)
	c := w.raw(t, wide)
	_, err := c.Write(simple("CREATE TEMP TABLE mine (a int)"))
	require.NoError(t, err)
	_, b := h.welcome(t)
	_, err = b.Receive()
	require.NoError(t, err)
	second := simple("SELECT payload FROM mine WHERE ref = 'k'")
	_, err = c.Write(second[:9])
	require.NoError(t, err)
	require.Eventually(t, func() (half bool) {
		run(w.front.loop.Load(), func() {
			for c := range w.front.clients {
				half = c.wire.Buffered() == 9
			}
		})
		return half
	}, 10*time.Second, time.Millisecond)
	w.front.Drain()
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("CREATE TABLE")})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	require.NoError(t, b.Flush())
	upToReady(t, c)
	require.Equal(t, 1, w.front.Stats().Pinned[session.CauseTemporary])
	require.False(t, w.front.Idle())
	_, err = c.Write(second[9:])
	require.NoError(t, err)
	got := make(chan string, 2)
	go func() {
		m, err := b.Receive()
		if q, ok := m.(*pgproto3.Query); ok && err == nil {
			got <- q.String
		}
		got <- ""
	}()
	require.Contains(t, <-got, "FROM mine", "on the connection that has the table")
	answerOne(b)
	require.NoError(t, b.Flush())
	kinds, _, whole := said(t, c)
	require.Contains(t, kinds, "DCZ")
	require.True(t, whole)
	require.Len(t, h.conns, 0, "and no other was dialled")
}
