package pg

import (
	"context"
	"errors"
	"fmt"

	"ashstand/internal/edge"
	"ashstand/internal/net/loop"
	"ashstand/internal/panics"
)

// Acquire takes an idle connection from the pool, or dials a new one and waits until the host is ready for a
// query.
func (p *Pool) Acquire(ctx context.Context, name string) (edge.Conn, error) {
	c, err := p.acquire(ctx, name)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (p *Pool) acquire(ctx context.Context, name string) (c *conn, err error) {
	defer panics.Escalate() // it would leave the pool locked, or a connection counted as open
	// If the host's address changes during the dial, the next iteration dials the new address.
	for err = errAddressChanged; errors.Is(err, errAddressChanged); {
		c, err = p.acquireOnce(ctx, name)
	}
	return c, err
}

func (p *Pool) acquireOnce(ctx context.Context, name string) (*conn, error) {
	c, h, closers, err := p.reserve(name)
	// The closers run before the dial, because the new connection takes the place of a closed one.
	for _, closeConn := range closers {
		closeConn()
	}
	if c != nil || err != nil {
		return c, err
	}
	return p.dial(ctx, name, h)
}

// reserve takes an idle connection from the pool, or counts a new one as open. The caller must call the
// closers, which close the connections that are no longer usable or were evicted.
func (p *Pool) reserve(name string) (c *conn, h *host, closers []func(), err error) {
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
			return c, h, closers, nil
		}
		closers = append(closers, c.close)
	}
	if p.openConns >= p.limits.Connections {
		evict := p.evictOne()
		if evict == nil {
			return nil, h, closers, edge.ErrPoolExhausted
		}
		closers = append(closers, evict)
	}
	p.openConns++
	return nil, h, closers, nil
}

// evictOne makes room for a new connection. It picks an abandoned dial, or else the connection that has been
// idle for longest, and returns the function that ends it; nil if there is neither. The caller must hold
// p.mu.
func (p *Pool) evictOne() (evict func()) {
	var from *host
	for _, h := range p.hosts {
		if h.abandonedDial != nil {
			evict, h.abandonedDial = h.abandonedDial.cancel, nil
			return evict
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

// dialResult is the outcome of a dial.
type dialResult struct {
	conn *conn
	err  error
}

// dial waits for a new connection until the connect timeout, or until ctx ends because the attempt is
// abandoned. One abandoned dial per host continues until the connect timeout, and its connection goes to the
// pool: the host has already spent the work of a handshake, and the next attempt would make it spend that
// work again.
func (p *Pool) dial(ctx context.Context, name string, h *host) (*conn, error) {
	p.mu.Lock()
	timeout := p.limits.ConnectTimeout
	p.mu.Unlock()
	if timeout <= 0 {
		return p.connect(ctx, name, h)
	}
	// The dial has its own timeout. Exceeding it is evidence about the host; an abandoned attempt is not.
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	dialed := make(chan dialResult, 1)
	go func() {
		defer cancel()
		c, err := p.connect(dialCtx, name, h)
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

// abandonDial lets the dial of an abandoned attempt continue, unless another abandoned dial to the host is
// under way.
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

// connect dials a host and waits until it is ready for a query. If that fails, the connection no longer
// counts as open: immediately if it was never registered with the event loop, otherwise once it is closed.
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

// handshake sends the startup message and waits for the response.
func (p *Pool) handshake(ctx context.Context, c *conn) error {
	if err := p.checkUsable(c); err != nil { // a handshake is new work for the host
		return err
	}
	if p.OnHandshake != nil {
		p.OnHandshake(c.name)
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

// checkUsable returns an error if a connection must not be established or used any more, because its host
// takes no new work or is at another address now.
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
