package pg

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/dispatch"
)

// conn is a connection to a database host. It is owned by one request, or idle in the pool.
type conn struct {
	pool     *Pool
	host     *host
	name     string
	gnetConn gnet.Conn
	reused   bool // it carried a request before; set by the owner of the connection

	// The event loop owns the fields from here to mu.

	scanFrom int // offset in the read buffer from which the search for the end of the response continues
	// awaitingReply reports whether a request was written, so that incoming bytes are its response. A pending
	// exchange does not imply this: while its request is still on the way to the event loop, incoming bytes
	// belong to the previous request.
	awaitingReply bool
	countedBytes  int             // this connection's share of the pool's unreadBytes
	onLateReply   func(*response) // receives the response if the last request is abandoned; may be nil

	// mu guards the fields below.
	mu       sync.Mutex
	pending  chan exchangeResult // receives the result of the exchange under way; nil if there is none
	progress writeProgress       // progress of the request of that exchange
	// writtenAt is when the last byte of that request was handed to the kernel, in clock milliseconds; 0 if
	// it was not, or if the time is unknown.
	writtenAt float64
	closed    bool
	idleSince float64 // clock milliseconds
}

// writeProgress tells how much of a request was handed to the kernel.
type writeProgress uint8

const (
	requestNotBegun writeProgress = iota // nothing was handed over
	requestBegun                         // the last byte was not handed over
	requestWritten                       // all of it was handed over, or lies in the event loop's write buffer
)

// execution returns what is known about the execution of a request that got no response.
func (p writeProgress) execution() dispatch.Execution {
	switch p {
	case requestNotBegun: // the host received nothing
		return dispatch.NotBegun
	case requestBegun: // the host may have received a part; an incomplete request does not run
		return dispatch.NotWritten
	}
	return dispatch.MayHaveRun // the host may have received all of it
}

// exchangeResult is the outcome of an exchange.
type exchangeResult struct {
	response  response
	err       error              // set if the connection broke or the response is malformed
	execution dispatch.Execution // if err is set: what is known about whether the request ran
}

// Traffic is called on the event loop when data has arrived. A response stays in the connection's ring buffer
// until it is complete. The limit is on the unread bytes of all connections of the pool together: while the
// total exceeds it, a connection that has unread bytes is closed when it receives more.
func (c *conn) Traffic(g gnet.Conn) gnet.Action {
	action := c.readResponse(g)
	p := c.pool
	c.countUnread(g.InboundBuffered())
	p.mu.Lock()
	maxUnread := p.limits.Bytes
	p.mu.Unlock()
	if maxUnread > 0 && p.unreadBytes > maxUnread && c.countedBytes > 0 {
		return c.failMalformed(errMessageLength)
	}
	return action
}

// countUnread sets this connection's share of the pool's unread bytes to n.
func (c *conn) countUnread(n int) {
	c.pool.unreadBytes += n - c.countedBytes
	c.countedBytes = n
}

func (c *conn) readResponse(g gnet.Conn) gnet.Action {
	n := g.InboundBuffered()
	b, err := g.Peek(n)
	if err != nil {
		return c.failMalformed(err)
	}
	if !c.awaitingReply {
		return c.readUnsolicited(g, b)
	}
	responseEnd, scannedTo, err := findResponseEnd(b, c.scanFrom)
	if err == nil && responseEnd == 0 && n > maxResponseBytes {
		err = errMessageLength
	}
	if err != nil {
		return c.failMalformed(err)
	}
	if c.scanFrom = scannedTo; responseEnd == 0 {
		return gnet.None
	}
	r, err := parseResponse(b[:responseEnd], c.pool.names)
	if err != nil {
		return c.failMalformed(err)
	}
	_, _ = g.Discard(responseEnd)
	c.scanFrom, c.awaitingReply = 0, false
	nothingFollows := responseEnd == n
	if !nothingFollows { // the response is valid, but the bytes after it belong to no request, so the connection is closed
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
	}
	if c.deliver(exchangeResult{response: r}) {
		if nothingFollows {
			return gnet.None
		}
		return gnet.Close
	}
	if c.onLateReply != nil { // the request was abandoned
		go c.onLateReply(&r)
	}
	return gnet.Close
}

// readUnsolicited handles data that arrives while no response is expected. A single notice or
// parameter change is skipped; anything else, such as the error that precedes a close, ends the connection.
func (c *conn) readUnsolicited(g gnet.Conn, b []byte) gnet.Action {
	kind, _, rest, ok, err := nextMessage(b, maxServerMessageBytes)
	if err != nil || ok && (len(rest) > 0 || kind != serverNotice && kind != serverParameterStatus) {
		return c.failMalformed(errUnsolicited)
	}
	if ok {
		_, _ = g.Discard(len(b))
	}
	return gnet.None
}

// failMalformed closes the connection and fails the exchange under way, because the received data is invalid.
func (c *conn) failMalformed(err error) gnet.Action {
	if !errors.Is(err, errMalformed) {
		err = fmt.Errorf("%w: %w", errMalformed, err)
	}
	c.deliver(exchangeResult{err: err})
	return gnet.Close
}

// Closed is called on the event loop when the connection has ended.
func (c *conn) Closed(g gnet.Conn, err error) {
	c.countUnread(0)
	c.mu.Lock()
	if g.OutboundBuffered() > 0 { // the connection broke before the last byte was written
		c.progress = min(c.progress, requestBegun)
	}
	c.closed = true
	c.mu.Unlock()
	discardUnconfirmed(g) // otherwise bytes reported as never written would be written now
	if err == nil {
		err = errClosed
	}
	c.deliver(exchangeResult{err: err})
	p := c.pool
	p.mu.Lock()
	p.openConns--
	for i, o := range c.host.idle {
		if o == c {
			c.host.idle = append(c.host.idle[:i], c.host.idle[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
}

// deliver passes a result to the exchange under way. It returns false if no exchange is waiting.
func (c *conn) deliver(e exchangeResult) bool {
	c.mu.Lock()
	waiting := c.pending
	c.pending = nil
	c.mu.Unlock()
	if waiting != nil {
		waiting <- e
	}
	return waiting != nil
}

func (c *conn) close() { _ = c.gnetConn.Close() }

// roundTrip writes a request and waits for the response. It calls build on the event loop, right before the
// write, to get the request. If build returns nil, nothing is written and the connection stays usable.
// onLate, if not nil, receives a response that arrives after the request was abandoned.
func (c *conn) roundTrip(ctx context.Context, build func() []byte, onLate func(*response)) exchangeResult {
	results := make(chan exchangeResult, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return exchangeResult{err: errClosed, execution: dispatch.NotBegun}
	}
	c.pending, c.progress, c.writtenAt = results, requestNotBegun, 0
	c.mu.Unlock()
	if err := c.gnetConn.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		c.send(build, onLate, results)
		return nil
	})); err != nil {
		c.close()
		return exchangeResult{err: err, execution: dispatch.NotBegun}
	}
	var e exchangeResult
	select {
	case e = <-results:
	case <-ctx.Done():
		c.mu.Lock()
		if c.pending != results {
			c.mu.Unlock()
			e = <-results // the result arrived as ctx ended
			break
		}
		c.pending = nil // send checks this first, so a request that was not begun will not be begun any more
		execution := dispatch.MayHaveRun
		if c.progress == requestNotBegun {
			execution = dispatch.NotBegun
		}
		c.mu.Unlock()
		c.abandon()
		return exchangeResult{err: ctx.Err(), execution: execution}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e.execution = c.progress.execution()
	return e
}

// abandon ends a request that nobody waits for any more. It shuts down the sending side at once and closes
// the connection after the late answer window, because a response in transit may say that the host is no
// longer the primary. The pooler would miss that if it closed the connection at once.
func (c *conn) abandon() {
	p := c.pool
	if l := c.gnetConn.EventLoop(); l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if closed {
			return nil
		}
		p.mu.Lock()
		full := p.openConns >= p.limits.Connections // a new connection may need this one's place
		p.mu.Unlock()
		// If the host has not received the whole request, no response to it can be in transit.
		if full || !c.awaitingReply || c.onLateReply == nil || unsentBytes(c.gnetConn) > 0 || shutdownWrite(c.gnetConn) != nil {
			return l.Close(c.gnetConn)
		}
		time.AfterFunc(p.lateAnswerWindow, c.close)
		return nil
	})) != nil {
		c.close()
	}
}

// send writes a request. It runs on the event loop. Data or an end of the connection that arrived before the
// request was written can't be its response: it may be a second copy of the last response or garbage, and
// says nothing about this request. The request is then not written.
func (c *conn) send(build func() []byte, onLate func(*response), results chan exchangeResult) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		c.deliver(exchangeResult{err: errClosed})
		return
	}
	var b []byte
	c.mu.Lock()
	if c.pending == results { // the request was not abandoned; build is only called for a live attempt
		if b = build(); b != nil {
			c.progress = requestBegun
		}
	}
	c.mu.Unlock()
	if b == nil {
		c.deliver(exchangeResult{err: errGateClosed})
		return
	}
	if c.gnetConn.InboundBuffered() > 0 || hasUnreadEvent(c.gnetConn) {
		c.mu.Lock()
		c.progress = requestNotBegun
		c.mu.Unlock()
		c.deliver(exchangeResult{err: errClosed})
		_ = c.gnetConn.EventLoop().Close(c.gnetConn)
		return
	}
	c.awaitingReply, c.onLateReply = true, onLate
	if _, err := c.gnetConn.Write(b); err != nil {
		c.deliver(exchangeResult{err: err}) // gnet closes the connection
		return
	}
	c.mu.Lock()
	if !c.closed { // the unwritten rest lies in the outbound buffer, which Closed checks
		c.progress = requestWritten
	}
	if c.progress == requestWritten && c.gnetConn.OutboundBuffered() == 0 {
		c.writtenAt = c.pool.clock.Now()
	}
	c.mu.Unlock()
	if c.gnetConn.OutboundBuffered() > 0 {
		time.AfterFunc(maxWriteTime, func() { c.endUnwritten(results) })
	}
}

// endUnwritten closes the connection if the kernel has not accepted the whole request within maxWriteTime.
// The checks made when the write began (the deadline, whether the client is still there, how old the host's
// data is) may no longer hold when the last byte goes out. An incomplete request never ran.
func (c *conn) endUnwritten(results chan exchangeResult) {
	l := c.gnetConn.EventLoop()
	_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		c.mu.Lock()
		isPending := c.pending == results && !c.closed
		c.mu.Unlock()
		if !isPending || c.gnetConn.OutboundBuffered() == 0 {
			return nil
		}
		return l.Close(c.gnetConn) // Closed records that the last byte was not written
	}))
}

// release returns the connection to the pool, or closes it.
func (c *conn) release() {
	p := c.pool
	c.mu.Lock()
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	keep := !c.closed && p.hosts[c.name] == c.host // otherwise the host has moved or was removed
	if keep {
		c.host.idle = append(c.host.idle, c)
	}
	p.mu.Unlock()
	c.mu.Unlock()
	if !keep {
		c.close()
	}
}
