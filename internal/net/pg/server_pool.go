package pg

import (
	"errors"
	"slices"

	"ashstand/internal/dispatch"
	"ashstand/internal/net/loop"
	"ashstand/internal/session"
)

// sessionHost is a db host as the front knows it.
type sessionHost struct {
	name    string
	address string
	pools   map[poolIdentity]*serverPool
}

type poolIdentity struct{ database, user string }

// serverPool is the connections to one host for one database and user.
type serverPool struct {
	host     *sessionHost
	key      poolIdentity
	idle     []*serverConn // the one used last is at the end
	open     int           // or being opened
	dialing  int           // being opened
	retained int           // linked to sessions that keep them: pinned, or in session mode
	queue    session.Queue
}

// maxPoolSearch is how many of the connections used last are looked at for one that has a session's settings already.
const maxPoolSearch = 8

// pool is the connections to a host for a client's database and user.
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

// evictIdle closes the server connection that has been unused for longest, in favour of one to another host.
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

// sweepIdle retires connections well before the host may close them: one that crosses a close loses its request.
func (f *SessionFront) sweepIdle(p *serverPool, now float64) {
	s := f.limits.Load().poolFor(p.key.database, p.key.user)
	if s == nil {
		s = &PoolSettings{}
	}
	for _, v := range slices.Clone(p.idle) {
		if v.isExpired(s, now) || p.host.address == "" {
			v.wire.Close()
		}
	}
	if len(p.idle) > 0 && !f.dispatcher.IsActive(p.host.name) {
		f.closeIdle(p.host)
	}
}

// connectFailed says that a connection for the pool did not come up: who has waited longest chooses anew.
func (p *serverPool) connectFailed(err error) {
	code := dispatch.NoConnection
	switch {
	case errors.Is(err, errHostRejected), loop.OutOfDescriptors(err):
		code = dispatch.Rejected
	case errors.Is(err, errHostUnavailable):
		code = dispatch.NotSent
	}
	if w := p.queue.Next(0, nil); w != nil {
		w.Owner.(*sessionClient).retryRouting(dispatch.NeverBegun(code))
	}
}

// serveWaiters gives what lies in the pool to those who wait, first come first served, and dials for the others.
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

// takeIdle is the unused connection that has least to be changed for a session, of those used last; nil: there is none.
func (p *serverPool) takeIdle(c *sessionClient, now float64) *serverConn {
	for len(p.idle) > 0 {
		at := len(p.idle) - 1
		for i := at; i >= 0 && i > at-maxPoolSearch; i-- {
			if p.idle[i].settings.Equal(c.pipeline.Settings()) {
				at = i
				break
			}
		}
		s := p.idle[at]
		p.idle = append(p.idle[:at], p.idle[at+1:]...)
		// What came since it was used is its end, or nothing that is asked for: it says nothing of this request.
		if s.isExpired(c.pool, now) || s.wire.Conn == nil || s.wire.BufferedBytes() > 0 || hasUnreadEvent(s.wire.Conn) {
			s.retired = true
			s.wire.Close()
			continue
		}
		return s
	}
	return nil
}

// openForWaiters opens a connection for each that waits and has none coming, as far as the sizes allow.
func (p *serverPool) openForWaiters(f *SessionFront) {
	l := f.limits.Load()
	ps := l.poolFor(p.key.database, p.key.user)
	if ps == nil || p.host.address == "" || !f.dispatcher.IsActive(p.host.name) { // the sweep sends those that wait elsewhere
		return
	}
	for n := p.queue.Len() - p.dialing; n > 0 && p.open < p.capacity(ps); n-- {
		if f.servers.count >= l.Servers && !f.evictIdle() {
			return
		}
		f.openServerConn(p)
	}
}

// capacity is how many connections the pool may have; the reserve is for sessions that keep theirs.
func (p *serverPool) capacity(ps *PoolSettings) int {
	return max(1, ps.Sizes.MaxConnections-max(0, ps.ReservedForSticky-p.retained))
}
