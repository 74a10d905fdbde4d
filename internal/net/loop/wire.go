package loop

import (
	"context"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// Wire is a connection on the loop that can be paused: while it is, nothing is read from it, so that the kernel holds
// its peer back, and what is written to it waits. gnet reads whatever comes; the only way to make it stop is to take the
// descriptor away from it and to bring it back later. All methods are called on the loop.
type Wire struct {
	Conn   gnet.Conn // nil while it is paused
	engine *Engine
	owner  Handler
	parked net.Conn
	moving bool   // it is being brought back
	left   bool   // it is being taken away: its close is no end
	carry  []byte // what was read before the pause and is not consumed
	out    []byte // written during it
	closed bool
}

// NewWire wraps a connection that is on the loop and owned by h.
func NewWire(e *Engine, c gnet.Conn, h Handler) Wire { return Wire{Conn: c, engine: e, owner: h} }

// Paused says whether nothing is read from it.
func (w *Wire) Paused() bool { return w.Conn == nil && !w.closed }

// Ended is what Handler.Closed asks first: false says that the close is only the descriptor being taken away.
func (w *Wire) Ended() bool {
	if w.left {
		return false
	}
	w.closed = true
	return true
}

// Peek is all that was read and not consumed. It is valid until the next call.
func (w *Wire) Peek() []byte {
	if w.Conn == nil {
		return w.carry
	}
	n := w.Conn.InboundBuffered()
	if len(w.carry) > 0 {
		if n > 0 {
			b, _ := w.Conn.Next(n)
			w.carry = append(w.carry, b...)
		}
		return w.carry
	}
	if n == 0 {
		return nil
	}
	b, _ := w.Conn.Peek(n)
	return b
}

// Discard consumes n bytes of what Peek returned.
func (w *Wire) Discard(n int) {
	switch {
	case n == 0:
	case len(w.carry) > 0:
		if w.carry = w.carry[n:]; len(w.carry) == 0 {
			w.carry = nil
		}
	case w.Conn != nil:
		_, _ = w.Conn.Discard(n)
	}
}

// Buffered is how much was read and not consumed.
func (w *Wire) Buffered() int {
	n := len(w.carry)
	if w.Conn != nil {
		n += w.Conn.InboundBuffered()
	}
	return n
}

// Write sends b, or keeps it until the pause is over.
func (w *Wire) Write(b []byte) {
	switch {
	case len(b) == 0 || w.closed:
	case w.Conn == nil:
		w.out = append(w.out, b...)
	default:
		_, _ = w.Conn.Write(b)
	}
}

// Unsent is how much of what was written is not with the kernel yet.
func (w *Wire) Unsent() int {
	n := len(w.out)
	if w.Conn != nil {
		n += w.Conn.OutboundBuffered()
	}
	return n
}

// Close ends the connection.
func (w *Wire) Close() {
	if w.closed {
		return
	}
	w.closed = true
	if w.parked != nil {
		_ = w.parked.Close()
		w.parked = nil
		w.owner.Closed(nil, nil)
		return
	}
	if w.Conn != nil {
		_ = w.Conn.EventLoop().Close(w.Conn)
	}
}

// Pause stops reading. It does nothing while something written waits for the kernel, which would be lost. It must not
// be called from within the connection's own Traffic, whose caller goes on using the descriptor.
func (w *Wire) Pause() bool {
	if w.Conn == nil || w.closed || w.moving || w.Conn.OutboundBuffered() > 0 {
		return false
	}
	fd, err := w.Conn.Dup()
	if err != nil {
		return false
	}
	f := os.NewFile(uintptr(fd), "")
	c, err := net.FileConn(f)
	_ = f.Close()
	if err != nil {
		return false
	}
	if b := w.Peek(); len(w.carry) == 0 {
		w.carry = append([]byte(nil), b...)
	}
	old := w.Conn
	w.Conn, w.parked, w.left = nil, c, true
	_ = old.EventLoop().Close(old) // which calls Handler.Closed, which asks Ended
	w.left = false
	return true
}

// HungUp says whether the peer has ended or reset a connection that is paused, though what it sent before is not read.
func (w *Wire) HungUp() (yes bool) {
	if c, ok := w.parked.(*net.TCPConn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
				n, err := unix.Poll(p, 0)
				yes = err == nil && n > 0
			})
		}
	}
	return yes
}

// Resume reads again. The connection is back some time later, when Traffic is called.
func (w *Wire) Resume(on gnet.EventLoop) {
	if w.parked == nil || w.moving {
		return
	}
	w.moving = true
	c, e, owner := w.parked, w.engine, w.owner
	w.parked = nil
	r := &returning{w: w}
	go func() {
		g, err := e.Enrol(c, r)
		_ = on.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			w.moving = false
			switch {
			case err != nil:
				w.closed = true
				owner.Closed(nil, err)
			case r.gone: // it ended on its way, and its owner knows
			case w.closed: // it was closed meanwhile
				_ = g.EventLoop().Close(g)
			default:
				w.back(g)
			}
			return nil
		}))
	}()
}

// back is called on the loop once the connection is there again.
func (w *Wire) back(g gnet.Conn) {
	g.SetContext(w.owner)
	w.Conn = g
	if len(w.out) > 0 {
		_, _ = g.Write(w.out)
		w.out = nil
	}
	if w.owner.Traffic(g) == gnet.Close {
		_ = g.EventLoop().Close(g)
	}
}

// returning holds a connection for the moment between the loop having it and its owner knowing.
type returning struct {
	w    *Wire
	gone bool
}

// Traffic is called on the loop; what came waits.
func (r *returning) Traffic(gnet.Conn) gnet.Action { return gnet.None }

// Closed is called on the loop.
func (r *returning) Closed(gnet.Conn, error) {
	r.gone, r.w.closed = true, true
	r.w.owner.Closed(nil, nil)
}
