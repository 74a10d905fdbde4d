package loop

import (
	"context"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// PausableConn is a connection on the event loop that can be paused. While it is paused, nothing is read from it, so that the
// kernel applies back pressure to the peer; writes go on, and Flush has to be called for what the kernel did not take. gnet always reads what arrives; the only way to stop it is to
// take the descriptor away from it and to register it again later. All methods must be called on the event loop.
type PausableConn struct {
	// Conn is nil while the connection is paused.
	Conn    gnet.Conn
	engine  *Engine
	handler Handler
	// parked is the connection while it is paused.
	parked net.Conn
	// resuming is true while the connection is being registered again.
	resuming bool
	// detaching is true while gnet closes its own descriptor of the connection, which does not end the connection.
	detaching bool
	// unread holds bytes that were read before the pause and are not consumed yet.
	unread []byte
	// pendingWrites holds bytes that were written during the pause and that the kernel has not taken.
	pendingWrites []byte
	closed        bool
}

// NewPausableConn wraps a connection that is on the event loop and owned by h.
func NewPausableConn(e *Engine, c gnet.Conn, h Handler) PausableConn {
	return PausableConn{Conn: c, engine: e, handler: h}
}

// Paused reports whether nothing is read from the connection.
func (p *PausableConn) Paused() bool { return p.Conn == nil && !p.closed }

// ConfirmClosed marks the connection as closed and reports whether it is closed. Handler.Closed must call it first: false means
// that gnet has closed only its own descriptor because the connection is being paused.
func (p *PausableConn) ConfirmClosed() bool {
	if p.detaching {
		return false
	}
	p.closed = true
	return true
}

// Peek returns all bytes that were read and not consumed. The slice is valid until the next call of a method.
func (p *PausableConn) Peek() []byte {
	if p.Conn == nil {
		return p.unread
	}
	n := p.Conn.InboundBuffered()
	if len(p.unread) > 0 {
		if n > 0 {
			b, _ := p.Conn.Next(n)
			p.unread = append(p.unread, b...)
		}
		return p.unread
	}
	if n == 0 {
		return nil
	}
	b, _ := p.Conn.Peek(n)
	return b
}

// Discard consumes n bytes of what Peek returned.
func (p *PausableConn) Discard(n int) {
	switch {
	case n == 0:
	case len(p.unread) > 0:
		if p.unread = p.unread[n:]; len(p.unread) == 0 {
			p.unread = nil
		}
	case p.Conn != nil:
		_, _ = p.Conn.Discard(n)
	}
}

// BufferedBytes returns the number of bytes that were read and not consumed.
func (p *PausableConn) BufferedBytes() int {
	n := len(p.unread)
	if p.Conn != nil {
		n += p.Conn.InboundBuffered()
	}
	return n
}

// Write sends b, and buffers what the kernel does not take.
func (p *PausableConn) Write(b []byte) {
	switch {
	case len(b) == 0 || p.closed:
	case p.Conn == nil:
		p.pendingWrites = append(p.pendingWrites, b...)
		p.Flush()
	default:
		_, _ = p.Conn.Write(b)
	}
}

// Flush sends what was written during a pause, as far as the kernel takes it. An error is left to the end of the pause, which
// finds the connection broken.
func (p *PausableConn) Flush() {
	c, ok := p.parked.(*net.TCPConn)
	if !ok || len(p.pendingWrites) == 0 {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		for len(p.pendingWrites) > 0 {
			n, err := unix.SendmsgN(int(fd), p.pendingWrites, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
			if n <= 0 || err != nil {
				return
			}
			p.pendingWrites = p.pendingWrites[n:]
		}
		p.pendingWrites = nil
	})
}

// UnsentBytes returns the number of written bytes that the kernel has not accepted yet.
func (p *PausableConn) UnsentBytes() int {
	n := len(p.pendingWrites)
	if p.Conn != nil {
		n += p.Conn.OutboundBuffered()
	}
	return n
}

// Close ends the connection.
func (p *PausableConn) Close() {
	if p.closed {
		return
	}
	p.closed = true
	if p.parked != nil {
		_ = p.parked.Close()
		p.parked = nil
		p.handler.Closed(nil, nil)
		return
	}
	if p.Conn != nil {
		_ = p.Conn.EventLoop().Close(p.Conn)
	}
}

// Pause stops reading and reports whether it did. It does nothing while written bytes wait to be sent, because they would be
// lost. It must not be called from within the connection's own Traffic method, whose caller continues to use the descriptor.
func (p *PausableConn) Pause() bool {
	if p.Conn == nil || p.closed || p.resuming || p.Conn.OutboundBuffered() > 0 {
		return false
	}
	fd, err := p.Conn.Dup()
	if err != nil {
		return false
	}
	f := os.NewFile(uintptr(fd), "")
	c, err := net.FileConn(f)
	_ = f.Close()
	if err != nil {
		return false
	}
	if b := p.Peek(); len(p.unread) == 0 {
		p.unread = append([]byte(nil), b...)
	}
	old := p.Conn
	p.Conn, p.parked, p.detaching = nil, c, true
	_ = old.EventLoop().Close(old) // calls Handler.Closed, which calls ConfirmClosed
	p.detaching = false
	return true
}

// PeerClosed reports whether the peer has closed or reset a paused connection, even if bytes that it sent before are unread.
func (p *PausableConn) PeerClosed() (closed bool) {
	c, ok := p.parked.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0
	})
	return closed
}

// Resume starts reading again. It returns at once; the connection is registered again in the background, and then the handler's
// Traffic is called.
func (p *PausableConn) Resume(on gnet.EventLoop) {
	if p.parked == nil || p.resuming {
		return
	}
	p.resuming = true
	parked, engine := p.parked, p.engine
	p.parked = nil
	r := &resumeHandler{conn: p}
	go func() {
		c, err := engine.Register(parked, r)
		_ = on.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			p.resumeDone(c, r, err)
			return nil
		}))
	}()
}

// resumeDone is called on the event loop with the result of the registration.
func (p *PausableConn) resumeDone(c gnet.Conn, r *resumeHandler, err error) {
	p.resuming = false
	switch {
	case err != nil:
		p.closed = true
		p.handler.Closed(nil, err)
	case r.closed: // the peer closed it meanwhile, and its handler was notified
	case p.closed: // Close was called meanwhile
		_ = c.EventLoop().Close(c)
	default:
		p.resumed(c)
	}
}

// resumed is called on the event loop once the connection is registered again.
func (p *PausableConn) resumed(c gnet.Conn) {
	c.SetContext(p.handler)
	p.Conn = c
	if len(p.pendingWrites) > 0 {
		_, _ = c.Write(p.pendingWrites)
		p.pendingWrites = nil
	}
	if p.handler.Traffic(c) == gnet.Close {
		_ = c.EventLoop().Close(c)
	}
}

// resumeHandler owns a resumed connection from its registration until resumed restores the original handler.
type resumeHandler struct {
	conn   *PausableConn
	closed bool
}

// Traffic implements Handler. It leaves the data in the buffer for the original handler.
func (r *resumeHandler) Traffic(gnet.Conn) gnet.Action { return gnet.None }

// Closed implements Handler.
func (r *resumeHandler) Closed(gnet.Conn, error) {
	r.closed, r.conn.closed = true, true
	r.conn.handler.Closed(nil, nil)
}
