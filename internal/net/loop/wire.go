package loop

import (
	"context"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// PausableConn is a connection on the loop that can be paused: while it is, nothing is read from it, so that the kernel holds
// its peer back, and what is written to it waits. gnet reads whatever comes; the only way to make it stop is to take the
// descriptor away from it and to bring it back later. All methods are called on the loop.
type PausableConn struct {
	Conn          gnet.Conn // nil while it is paused
	engine        *Engine
	handler       Handler
	parked        net.Conn
	resuming      bool   // it is being brought back
	detaching     bool   // it is being taken away: its close is no end
	unread        []byte // what was read before the pause and is not consumed
	pendingWrites []byte // written during it
	closed        bool
}

// NewPausableConn wraps a connection that is on the loop and owned by h.
func NewPausableConn(e *Engine, c gnet.Conn, h Handler) PausableConn {
	return PausableConn{Conn: c, engine: e, handler: h}
}

// Paused says whether nothing is read from it.
func (w *PausableConn) Paused() bool { return w.Conn == nil && !w.closed }

// ConfirmClosed is what Handler.Closed asks first: false says that the close is only the descriptor being taken away.
func (w *PausableConn) ConfirmClosed() bool {
	if w.detaching {
		return false
	}
	w.closed = true
	return true
}

// Peek is all that was read and not consumed. It is valid until the next call.
func (w *PausableConn) Peek() []byte {
	if w.Conn == nil {
		return w.unread
	}
	n := w.Conn.InboundBuffered()
	if len(w.unread) > 0 {
		if n > 0 {
			b, _ := w.Conn.Next(n)
			w.unread = append(w.unread, b...)
		}
		return w.unread
	}
	if n == 0 {
		return nil
	}
	b, _ := w.Conn.Peek(n)
	return b
}

// Discard consumes n bytes of what Peek returned.
func (w *PausableConn) Discard(n int) {
	switch {
	case n == 0:
	case len(w.unread) > 0:
		if w.unread = w.unread[n:]; len(w.unread) == 0 {
			w.unread = nil
		}
	case w.Conn != nil:
		_, _ = w.Conn.Discard(n)
	}
}

// BufferedBytes is how much was read and not consumed.
func (w *PausableConn) BufferedBytes() int {
	n := len(w.unread)
	if w.Conn != nil {
		n += w.Conn.InboundBuffered()
	}
	return n
}

// Write sends b, or keeps it until the pause is over.
func (w *PausableConn) Write(b []byte) {
	switch {
	case len(b) == 0 || w.closed:
	case w.Conn == nil:
		w.pendingWrites = append(w.pendingWrites, b...)
	default:
		_, _ = w.Conn.Write(b)
	}
}

// UnsentBytes is how much of what was written is not with the kernel yet.
func (w *PausableConn) UnsentBytes() int {
	n := len(w.pendingWrites)
	if w.Conn != nil {
		n += w.Conn.OutboundBuffered()
	}
	return n
}

// Close ends the connection.
func (w *PausableConn) Close() {
	if w.closed {
		return
	}
	w.closed = true
	if w.parked != nil {
		_ = w.parked.Close()
		w.parked = nil
		w.handler.Closed(nil, nil)
		return
	}
	if w.Conn != nil {
		_ = w.Conn.EventLoop().Close(w.Conn)
	}
}

// Pause stops reading. It does nothing while something written waits for the kernel, which would be lost. It must not
// be called from within the connection's own Traffic, whose caller goes on using the descriptor.
func (w *PausableConn) Pause() bool {
	if w.Conn == nil || w.closed || w.resuming || w.Conn.OutboundBuffered() > 0 {
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
	if b := w.Peek(); len(w.unread) == 0 {
		w.unread = append([]byte(nil), b...)
	}
	old := w.Conn
	w.Conn, w.parked, w.detaching = nil, c, true
	_ = old.EventLoop().Close(old) // which calls Handler.Closed, which asks Ended
	w.detaching = false
	return true
}

// PeerClosed says whether the peer has ended or reset a connection that is paused, though what it sent before is not read.
func (w *PausableConn) PeerClosed() (yes bool) {
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
func (w *PausableConn) Resume(on gnet.EventLoop) {
	if w.parked == nil || w.resuming {
		return
	}
	w.resuming = true
	c, e, owner := w.parked, w.engine, w.handler
	w.parked = nil
	r := &resumeHandler{w: w}
	go func() {
		g, err := e.Register(c, r)
		_ = on.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			w.resuming = false
			switch {
			case err != nil:
				w.closed = true
				owner.Closed(nil, err)
			case r.closed: // it ended on its way, and its owner knows
			case w.closed: // it was closed meanwhile
				_ = g.EventLoop().Close(g)
			default:
				w.resumed(g)
			}
			return nil
		}))
	}()
}

// resumed is called on the loop once the connection is there again.
func (w *PausableConn) resumed(g gnet.Conn) {
	g.SetContext(w.handler)
	w.Conn = g
	if len(w.pendingWrites) > 0 {
		_, _ = g.Write(w.pendingWrites)
		w.pendingWrites = nil
	}
	if w.handler.Traffic(g) == gnet.Close {
		_ = g.EventLoop().Close(g)
	}
}

// resumeHandler holds a connection for the moment between the loop having it and its owner knowing.
type resumeHandler struct {
	w      *PausableConn
	closed bool
}

// Traffic is called on the loop; what came waits.
func (r *resumeHandler) Traffic(gnet.Conn) gnet.Action { return gnet.None }

// Closed is called on the loop.
func (r *resumeHandler) Closed(gnet.Conn, error) {
	r.closed, r.w.closed = true, true
	r.w.handler.Closed(nil, nil)
}
