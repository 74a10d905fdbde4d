package pg

import (
	"context"
	"errors"
	"fmt"

	"ashstand/internal/edge"
	"ashstand/internal/net/loop"
)

// Acquire takes a connection from the pool, or dials one and waits until the host is ready for a query.
func (p *Pool) Acquire(ctx context.Context, name string) (edge.Conn, error) {
	c, err := p.acquire(ctx, name)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (p *Pool) acquire(ctx context.Context, name string) (c *conn, err error) {
	for err = errAddressChanged; errors.Is(err, errAddressChanged); { // the host moved while it was dialled: it is to be had elsewhere
		c, err = p.acquireOnce(ctx, name)
	}
	return c, err
}

func (p *Pool) acquireOnce(ctx context.Context, name string) (*conn, error) {
	c, h, old, err := p.reserve(name)
	for _, end := range old { // before the dial: it is their place that the new one has
		end()
	}
	if c != nil || err != nil {
		return c, err
	}
	return p.dial(ctx, name, h)
}

// reserve takes a connection from the pool, or a place for a new one. old ends those that are not to be used again.
func (p *Pool) reserve(name string) (c *conn, h *host, old []func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h = p.hosts[name]; h == nil {
		return nil, nil, nil, errUnknownHost
	}
	for len(h.idle) > 0 {
		c = h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if p.usable(c) {
			c.reused = true
			return c, h, old, nil
		}
		old = append(old, c.close)
	}
	if p.openConns >= p.limits.Connections {
		end := p.evictOne()
		if end == nil {
			return nil, h, old, edge.ErrPoolExhausted
		}
		old = append(old, end)
	}
	p.openConns++
	return nil, h, old, nil
}

// evictOne frees a place: it takes a dial that nobody waits for, else the connection that has been idle for longest, and
// returns what ends it. p.mu is locked by the caller.
func (p *Pool) evictOne() (end func()) {
	var from *host
	for _, h := range p.hosts {
		if h.abandonedDial != nil {
			end, h.abandonedDial = h.abandonedDial.cancel, nil
			return end
		}
		if len(h.idle) > 0 && (from == nil || h.idle[0].idleSince < from.idle[0].idleSince) {
			from = h
		}
	}
	if from == nil {
		return nil
	}
	c := from.idle[0]
	from.idle = from.idle[1:]
	return c.close
}

// dialResult is what came of a dial.
type dialResult struct {
	conn *conn
	err  error
}

// dial waits for a new connection, up to the time in the settings and as long as the attempt is not given up. A dial
// that is given up goes on up to that time, one for each host, and its connection goes to the pool: the host has paid
// for it, and the next attempt would have it pay once more.
func (p *Pool) dial(ctx context.Context, name string, h *host) (*conn, error) {
	p.mu.Lock()
	timeout := p.limits.ConnectTimeout
	p.mu.Unlock()
	if timeout <= 0 {
		return p.connect(ctx, name, h)
	}
	// A time of its own: a dial that ran out of it says something of the host, an attempt that was given up nothing.
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	dialed := make(chan dialResult, 1)
	go func() {
		defer cancel()
		c, err := p.connect(own, name, h)
		dialed <- dialResult{c, err}
	}()
	select {
	case r := <-dialed:
		return r.conn, r.err
	case <-ctx.Done():
	}
	p.abandonDial(name, h, cancel, dialed)
	return nil, ctx.Err()
}

// abandonDial lets a dial go on whose attempt was given up, unless another of the host's does.
func (p *Pool) abandonDial(name string, h *host, cancel func(), dialed <-chan dialResult) {
	abandoned := &abandonedDial{cancel}
	p.mu.Lock()
	if h.abandonedDial == nil && p.hosts[name] == h {
		h.abandonedDial = abandoned
	} else {
		cancel()
	}
	p.mu.Unlock()
	go func() {
		r := <-dialed
		p.mu.Lock()
		if h.abandonedDial == abandoned {
			h.abandonedDial = nil
		}
		p.mu.Unlock()
		if r.err == nil {
			r.conn.release()
		}
	}()
}

// connect dials a host and waits until it is ready for a query. Its place among the open connections is free again when that
// fails: at once where the loop never had it, else once it is closed.
func (p *Pool) connect(ctx context.Context, name string, h *host) (*conn, error) {
	c := &conn{pool: p, host: h, name: name}
	err := p.checkUsable(c)
	if err == nil {
		c.gnetConn, err = p.engine.Dial(ctx, h.address, c)
	}
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		if loop.OutOfDescriptors(err) {
			err = fmt.Errorf("%w: %w", edge.ErrPoolExhausted, err)
		}
		return nil, err
	}
	if err := p.handshake(ctx, c); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// handshake sends the startup message and waits for its answer.
func (p *Pool) handshake(ctx context.Context, c *conn) error {
	if err := p.checkUsable(c); err != nil { // a handshake is work too
		return err
	}
	if p.Handshaking != nil {
		p.Handshaking(c.name)
	}
	result := c.roundTrip(ctx, func() []byte { return startupMessage(p.names.User, p.names.Database) }, nil)
	switch {
	case result.err != nil:
		return result.err
	case result.response.sqlState != "":
		return &HandshakeError{SQLState: result.response.sqlState, Text: result.response.errorText}
	}
	return p.checkUsable(c)
}

// checkUsable says why a connection is not to be used, or made, any more: its host takes nothing new, or is elsewhere now.
func (p *Pool) checkUsable(c *conn) error {
	if p.Listed != nil && !p.Listed(c.name) {
		return edge.ErrUnlisted
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts[c.name] != c.host {
		return errAddressChanged
	}
	return nil
}
