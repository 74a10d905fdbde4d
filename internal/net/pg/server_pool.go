package pg

import (
	"errors"
	"slices"

	"ashstand/internal/dispatch"
	"ashstand/internal/net/loop"
	"ashstand/internal/session"
)

// sessionHost is a database host at one address, with the session front's pools for it.
type sessionHost struct {
	name    string
	address string
	pools   map[poolIdentity]*serverPool
}

// poolIdentity identifies a pool within a host.
type poolIdentity struct{ database, user string }

// serverPool holds the connections to one host for one database and user.
type serverPool struct {
	host        *sessionHost
	key         poolIdentity
	idle        []*serverConn // the most recently used connection is last
	open        int           // connections that are open or being opened
	dialing     int           // connections being opened
	stickyConns int           // connections of sessions that keep theirs: pinned sessions, and those in session mode
	queue       session.Queue // sessions that wait for a connection
}

// maxPoolSearch is how many of the most recently used connections are searched for one that already has a
// session's settings.
const maxPoolSearch = 8

// pool returns the pool for a host, database and user. It creates the pool if there is none for the host at
// this address.
func (f *SessionFront) pool(name, address string, k poolIdentity) *serverPool {
	h := f.servers.hosts[name]
	if h == nil || h.address != address {
		h = &sessionHost{name: name, address: address, pools: map[poolIdentity]*serverPool{}}
		f.servers.hosts[name] = h
	}
	p := h.pools[k]
	if p == nil {
		p = &serverPool{host: h, key: k}
		h.pools[k] = p
	}
	return p
}

// evictIdle closes the server connection that has been idle for longest, to make room for another one. It
// returns false if no connection is idle.
func (f *SessionFront) evictIdle() bool {
	var oldest *serverConn
	for _, h := range f.servers.hosts {
		for _, p := range h.pools {
			if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleSince < oldest.idleSince) {
				oldest = p.idle[0]
			}
		}
	}
	if oldest == nil {
		return false
	}
	oldest.wire.Close()
	return true
}

// sweepIdle closes idle connections that have expired. They expire well before the host may close them,
// because a request that is sent while the host closes the connection is lost. If the host takes no new work,
// all its idle connections are closed.
func (f *SessionFront) sweepIdle(p *serverPool, now float64) {
	settings := f.limits.Load().poolFor(p.key.database, p.key.user)
	if settings == nil {
		settings = &PoolSettings{}
	}
	for _, server := range slices.Clone(p.idle) {
		if server.isExpired(settings, now) || p.host.address == "" {
			server.wire.Close()
		}
	}
	if len(p.idle) > 0 && !f.dispatcher.IsActive(p.host.name) {
		f.closeIdle(p.host)
	}
}

// connectFailed handles a connection attempt of the pool that failed. The session that has waited longest is
// routed again.
func (p *serverPool) connectFailed(err error) {
	code := dispatch.NoConnection
	switch {
	case errors.Is(err, errHostRejected), loop.OutOfDescriptors(err):
		code = dispatch.Rejected
	case errors.Is(err, errHostUnavailable):
		code = dispatch.NotSent
	}
	if w := p.queue.Next(0, nil); w != nil {
		w.Owner.(*sessionClient).retryRouting(dispatch.NotBegunOutcome(code))
	}
}

// serveWaiters gives idle connections to the waiting sessions in order of arrival, and opens connections for
// the others.
func (p *serverPool) serveWaiters(f *SessionFront) {
	now := f.clock.Now()
	for p.queue.Len() > 0 {
		if len(p.idle) == 0 {
			p.openForWaiters(f)
			return
		}
		w := p.queue.Next(now, func(w *session.Waiter) { w.Owner.(*sessionClient).waitExpired() })
		if w == nil {
			return
		}
		c := w.Owner.(*sessionClient)
		if s := p.takeIdle(c, now); s != nil {
			c.attach(s)
		} else if !p.queue.Add(w, p.queue.Len()+1) {
			return
		}
	}
}

// takeIdle takes an idle connection for a session, or returns nil if there is none. It prefers, among the
// most recently used ones, a connection that already has the session's settings.
func (p *serverPool) takeIdle(c *sessionClient, now float64) *serverConn {
	for len(p.idle) > 0 {
		index := len(p.idle) - 1
		for i := index; i >= 0 && i > index-maxPoolSearch; i-- {
			if p.idle[i].settings.Equal(c.pipeline.Settings()) {
				index = i
				break
			}
		}
		s := p.idle[index]
		p.idle = append(p.idle[:index], p.idle[index+1:]...)
		// Data that has arrived since the last use is the end of the connection or unsolicited. It says
		// nothing about the session's request, so the connection is discarded.
		if s.isExpired(c.pool, now) || s.wire.Paused() || s.wire.BufferedBytes() > 0 || hasUnreadEvent(s.wire.Conn) {
			s.retired = true
			s.wire.Close()
			continue
		}
		return s
	}
	return nil
}

// openForWaiters opens a connection for each waiting session that no dial under way will serve, within the
// pool's and the front's limits.
func (p *serverPool) openForWaiters(f *SessionFront) {
	l := f.limits.Load()
	ps := l.poolFor(p.key.database, p.key.user)
	if ps == nil || p.host.address == "" || !f.dispatcher.IsActive(p.host.name) { // sweepHost routes the waiting sessions elsewhere
		return
	}
	for n := p.queue.Len() - p.dialing; n > 0 && p.open < p.capacity(ps); n-- {
		if f.servers.count >= l.MaxServerConnections && !f.evictIdle() {
			return
		}
		f.openServerConn(p)
	}
}

// capacity is the maximum number of connections of the pool. The part of the reserve for sticky sessions that
// they do not use is left out.
func (p *serverPool) capacity(ps *PoolSettings) int {
	return max(1, ps.Sizes.MaxConnections-max(0, ps.ReservedForSticky-p.stickyConns))
}
