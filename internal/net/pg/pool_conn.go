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

// conn is a connection to a db host. One request owns it, or it lies in the pool.
type conn struct {
	pool     *Pool
	host     *host
	name     string
	gnetConn gnet.Conn
	reused   bool // it carried a request before; who owns the connection sets it

	// The event loop owns what follows.

	scanFrom int // where to go on looking for the end of the response
	// awaitingReply: a request was written, so what comes is its answer. That an exchange waits is not enough: its request
	// may still be on the way to the loop, and what comes then belongs to the last one.
	awaitingReply bool
	countedBytes  int             // what of the pool's unread bytes lies here
	onLateReply   func(*response) // who wants to know what answers the last request, should that be given up; or nil

	// mu guards what follows.
	mu        sync.Mutex
	pending   chan exchangeResult // of the exchange under way; nil: none
	progress  writeProgress       // of its request
	writtenAt float64             // when its last byte was handed to the kernel, in clock milliseconds; 0: it was not, or that is not known
	closed    bool
	idleSince float64 // clock milliseconds
}

// writeProgress is how much of a request was handed to the kernel.
type writeProgress uint8

const (
	requestNotBegun writeProgress = iota // nothing
	requestBegun                         // its last byte was not
	requestWritten                       // all of it, or the event loop is about to
)

// execution is what is proven of a request whose exchange brought no answer.
func (p writeProgress) execution() dispatch.Execution {
	switch p {
	case requestNotBegun:
		return dispatch.NotBegun
	case requestBegun:
		return dispatch.NotWritten
	}
	return dispatch.MayHaveRun
}

// exchangeResult is what an exchange waits for.
type exchangeResult struct {
	response  response
	err       error              // the connection broke or what came makes no sense
	execution dispatch.Execution // with err: what is proven of whether the request ran
}

// Traffic is called on the loop. A response stays in the connection's ring buffer until it is complete.
func (c *conn) Traffic(g gnet.Conn) gnet.Action {
	action := c.readResponse(g)
	p := c.pool
	c.countUnread(g.InboundBuffered())
	p.mu.Lock()
	most := p.limits.Bytes
	p.mu.Unlock()
	if most > 0 && p.unreadBytes > most && c.countedBytes > 0 {
		return c.failMalformed(errMessageLength)
	}
	return action
}

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
	end, at, err := findResponseEnd(b, c.scanFrom)
	if err == nil && end == 0 && n > maxResponseBytes {
		err = errMessageLength
	}
	if err != nil {
		return c.failMalformed(err)
	}
	if c.scanFrom = at; end == 0 {
		return gnet.None
	}
	r, err := parseResponse(b[:end], c.pool.names)
	if err != nil {
		return c.failMalformed(err)
	}
	_, _ = g.Discard(end)
	c.scanFrom, c.awaitingReply = 0, false
	isAlone := end == n
	if !isAlone { // the answer is complete and good, but what came behind it belongs to no request: the connection ends here
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
	}
	if c.deliver(exchangeResult{response: r}) {
		if isAlone {
			return gnet.None
		}
		return gnet.Close
	}
	if c.onLateReply != nil { // given up, but for this
		go c.onLateReply(&r)
	}
	return gnet.Close
}

// readUnsolicited takes what comes while no answer is due: notices, parameters and a last error, which ends in a close.
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

// failMalformed ends the connection, and with it the exchange under way, for what came.
func (c *conn) failMalformed(err error) gnet.Action {
	if !errors.Is(err, errMalformed) {
		err = fmt.Errorf("%w: %w", errMalformed, err)
	}
	c.deliver(exchangeResult{err: err})
	return gnet.Close
}

// Closed is called on the loop.
func (c *conn) Closed(g gnet.Conn, err error) {
	c.countUnread(0)
	c.mu.Lock()
	if g.OutboundBuffered() > 0 { // it broke before the last byte was written
		c.progress = min(c.progress, requestBegun)
	}
	c.closed = true
	c.mu.Unlock()
	discardUnconfirmed(g) // else what counts as never written is written now
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

// deliver brings what came to the exchange that waits for it. false: none does, or no longer.
func (c *conn) deliver(e exchangeResult) bool {
	c.mu.Lock()
	due := c.pending
	c.pending = nil
	c.mu.Unlock()
	if due != nil {
		due <- e
	}
	return due != nil
}

func (c *conn) close() { _ = c.gnetConn.Close() }

// roundTrip writes once what build makes, on the loop and in the moment of the write, and waits for the response. Where build
// makes nothing, nothing is written, and the connection is as before. late, unless nil, gets a response that comes as its
// request is given up.
func (c *conn) roundTrip(ctx context.Context, build func() []byte, late func(*response)) exchangeResult {
	due := make(chan exchangeResult, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return exchangeResult{err: errClosed, execution: dispatch.NotBegun}
	}
	c.pending, c.progress, c.writtenAt = due, requestNotBegun, 0
	c.mu.Unlock()
	if err := c.gnetConn.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		c.send(build, late, due)
		return nil
	})); err != nil {
		c.close()
		return exchangeResult{err: err, execution: dispatch.NotBegun}
	}
	var e exchangeResult
	select {
	case e = <-due:
	case <-ctx.Done():
		c.mu.Lock()
		if c.pending != due {
			c.mu.Unlock()
			e = <-due // it came at the same moment
			break
		}
		c.pending = nil // a request that was not begun is not begun any more: send looks at this first
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

// abandon ends a request that is given up: our sending at once, and the connection a little later. An answer that is on
// its way just now may say that its host is no longer the primary; closed over it, the pooler would never know.
func (c *conn) abandon() {
	p := c.pool
	if l := c.gnetConn.EventLoop(); l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		c.mu.Lock()
		gone := c.closed
		c.mu.Unlock()
		if gone {
			return nil
		}
		p.mu.Lock()
		full := p.openConns >= p.limits.Connections // its place is wanted
		p.mu.Unlock()
		// Where the host has not got all of the request, no answer to it can be on its way.
		if full || !c.awaitingReply || c.onLateReply == nil || unsentBytes(c.gnetConn) > 0 || shutdownWrite(c.gnetConn) != nil {
			return l.Close(c.gnetConn)
		}
		time.AfterFunc(p.lateAnswerWindow, c.close)
		return nil
	})) != nil {
		c.close()
	}
}

// send runs on the loop. What was already there when the request went out can't be its answer: a second copy of the
// last one, noise, or the end of the connection, which then says nothing of the request.
func (c *conn) send(build func() []byte, late func(*response), due chan exchangeResult) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		c.deliver(exchangeResult{err: errClosed})
		return
	}
	var b []byte
	c.mu.Lock()
	if c.pending == due { // not given up meanwhile: what build asks is asked for this attempt
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
	c.awaitingReply, c.onLateReply = true, late
	if _, err := c.gnetConn.Write(b); err != nil {
		c.deliver(exchangeResult{err: err}) // and gnet closes the connection
		return
	}
	c.mu.Lock()
	if !c.closed { // what is left of it lies in the ring buffer, which Closed looks at
		c.progress = requestWritten
	}
	if c.progress == requestWritten && c.gnetConn.OutboundBuffered() == 0 {
		c.writtenAt = c.pool.clock.Now()
	}
	c.mu.Unlock()
	if c.gnetConn.OutboundBuffered() > 0 {
		time.AfterFunc(maxWriteTime, func() { c.endUnwritten(due) })
	}
}

// endUnwritten ends an attempt whose request the kernel has not taken whole in time: what was true of its deadline, its client
// and the age of its host's data when it was begun may not be when its last byte goes out. Nothing ran.
func (c *conn) endUnwritten(due chan exchangeResult) {
	l := c.gnetConn.EventLoop()
	_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		c.mu.Lock()
		isDue := c.pending == due && !c.closed
		c.mu.Unlock()
		if !isDue || c.gnetConn.OutboundBuffered() == 0 {
			return nil
		}
		return l.Close(c.gnetConn) // Closed reports that the last byte was not written
	}))
}

// release gives the connection back.
func (c *conn) release() {
	p := c.pool
	c.mu.Lock()
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	keep := !c.closed && p.hosts[c.name] == c.host // else the host moved or is forgotten
	if keep {
		c.host.idle = append(c.host.idle, c)
	}
	p.mu.Unlock()
	c.mu.Unlock()
	if !keep {
		c.close()
	}
}
