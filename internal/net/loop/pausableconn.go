package loop

import (
	"github.com/panjf2000/gnet/v2"
)

// PauseReason is why nothing is read from a connection. There may be several reasons at once.
type PauseReason uint8

// The reasons.
const (
	// PausedForPeer: the peer of the other side has not taken what it was sent.
	PausedForPeer PauseReason = 1 << iota
	// PausedForShare: what was read has not had its turn yet; see FairQueue.
	PausedForShare
)

const inputStepBytes = 16 << 10 // by which the buffer for input grows

// PausableConn is a connection on the event loop that can be paused. While it is paused, nothing is read from it, so that the
// kernel applies back pressure to the peer; writes go on. The end of a client is seen at once meanwhile, wherever its bytes are;
// that of a host comes behind them, since they belong to answers. It holds the input that its handler has not consumed. All methods
// must be called on the event loop.
type PausableConn struct {
	Conn         gnet.Conn
	pausedEvents uint32 // what epoll reports while it is paused
	paused       PauseReason
	// input holds the bytes that were read in an earlier call of Traffic and are not consumed yet.
	input  []byte
	closed bool
}

// NewClientConn wraps the connection of a client that is on the event loop.
func NewClientConn(c gnet.Conn) PausableConn { return PausableConn{Conn: c, pausedEvents: eventsEnd} }

// NewHostConn wraps a connection to a database host that is on the event loop.
func NewHostConn(c gnet.Conn) PausableConn { return PausableConn{Conn: c, pausedEvents: eventsNone} }

// Paused reports whether nothing is read from the connection.
func (p *PausableConn) Paused() bool { return p.paused != 0 && !p.closed }

// IsClosed reports whether the connection is closed.
func (p *PausableConn) IsClosed() bool { return p.closed }

// SetClosed notes that the connection is closed. The handler's Closed method calls it.
func (p *PausableConn) SetClosed() { p.closed, p.input = true, nil }

// Peek returns all bytes that were read and not consumed. The slice is valid until the next call of a method.
func (p *PausableConn) Peek() []byte {
	if p.Conn == nil || p.closed {
		return p.input
	}
	if len(p.input) > 0 {
		p.Retain()
		return p.input
	}
	n := p.Conn.InboundBuffered()
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
	case len(p.input) > 0:
		if p.input = p.input[n:]; len(p.input) == 0 {
			p.input = nil
		}
	case p.Conn != nil && !p.closed:
		_, _ = p.Conn.Discard(n)
	}
}

// DiscardAll consumes everything that was read.
func (p *PausableConn) DiscardAll() { p.Discard(len(p.Peek())) }

// Retain takes over the bytes that were read and not consumed. A handler calls it at the end of Traffic: gnet would keep them in a
// buffer of twice their size, and copy them each time they are looked at.
func (p *PausableConn) Retain() {
	if p.Conn == nil || p.closed {
		return
	}
	n := p.Conn.InboundBuffered()
	if n == 0 {
		return
	}
	b, _ := p.Conn.Peek(n)
	if free := cap(p.input) - len(p.input); free < n {
		size := (len(p.input) + n + inputStepBytes - 1) / inputStepBytes * inputStepBytes
		if len(p.input) == 0 && n < inputStepBytes {
			size = n
		}
		p.input = append(make([]byte, 0, size), p.input...)
	}
	p.input = append(p.input, b...)
	_, _ = p.Conn.Discard(n)
}

// BufferedBytes returns the number of bytes that were read and not consumed.
func (p *PausableConn) BufferedBytes() int {
	n := len(p.input)
	if p.Conn != nil && !p.closed {
		n += p.Conn.InboundBuffered()
	}
	return n
}

// HeldBytes returns the memory that holds the bytes that were read and not consumed.
func (p *PausableConn) HeldBytes() int { return max(cap(p.input), p.BufferedBytes()) }

// Write sends b, and buffers what the kernel does not take.
func (p *PausableConn) Write(b []byte) {
	if len(b) == 0 || p.closed || p.Conn == nil {
		return
	}
	if _, _ = p.Conn.Write(b); !p.closed && p.Conn.OutboundBuffered() > 0 {
		p.KeepPaused()
	}
}

// UnsentBytes returns the number of written bytes that the kernel has not accepted yet.
func (p *PausableConn) UnsentBytes() int {
	if p.Conn == nil || p.closed {
		return 0
	}
	return p.Conn.OutboundBuffered()
}

// Close ends the connection.
func (p *PausableConn) Close() {
	if p.closed || p.Conn == nil {
		return
	}
	_ = p.Conn.EventLoop().Close(p.Conn)
}

// Pause stops reading for a reason.
func (p *PausableConn) Pause(reason PauseReason) {
	wasPaused := p.paused != 0
	p.paused |= reason
	if !wasPaused {
		p.KeepPaused()
	}
}

// Resume ends a reason and reports whether the connection is read again.
func (p *PausableConn) Resume(reason PauseReason) bool {
	if p.paused&reason == 0 {
		return p.paused == 0
	}
	if p.paused &^= reason; p.paused != 0 {
		return false
	}
	if p.Conn != nil && !p.closed {
		_ = setEvents(p.Conn, eventsReading)
	}
	return true
}

// KeepPaused keeps a paused connection from being read, and reports whether it is paused. gnet begins to read again when it has
// written what the kernel did not take at first. A handler calls it at the start of Traffic and consumes nothing then.
func (p *PausableConn) KeepPaused() bool {
	if p.paused == 0 || p.closed || p.Conn == nil {
		return false
	}
	_ = setEvents(p.Conn, p.pausedEvents)
	return true
}

// EndsBehindInput reports whether the peer has closed or reset the connection, although more of its bytes may be unread. It asks the
// kernel only if the last read left some. A handler calls it at the start of Traffic.
func (p *PausableConn) EndsBehindInput() bool {
	return p.Conn != nil && !p.closed && p.Conn.InboundBuffered() >= readBufferSize && peerClosed(p.Conn)
}

// PeerClosed reports whether the peer has closed or reset the connection, even if bytes that it sent before are unread.
func (p *PausableConn) PeerClosed() bool { return p.Conn != nil && !p.closed && peerClosed(p.Conn) }
