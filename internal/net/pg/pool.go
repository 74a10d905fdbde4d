package pg

import (
	"sync"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/net/loop"
)

// Names are the user, database, parameters and values that the operators chose for the wire.
type Names struct {
	User, Database         string
	Role, Position, Gauges string // parameters that a db host reports
	Primary, Replica       string // values of Role
}

// Platform holds the names that the platform uses.
var Platform = Names{
	User:     "web",
	Database: "orders",
	Role:     "part",
	Position: "caught_up_to",
	Gauges:   "gauges",
	Primary:  "master",
	Replica:  "replica",
}

// PoolLimits bound the pool.
type PoolLimits struct {
	Connections    int           // that may be open or being opened, to all hosts together
	Bytes          int           // of answers that are not whole yet, on all connections together
	ConnectTimeout time.Duration // a connection not up by then counts as none
	IdleTimeout    time.Duration // a db host closes a connection that was idle for so long
}

// Pool holds the connections to db hosts for requests in statement mode. Its methods may be called from any goroutine.
type Pool struct {
	// Listed says whether anything new, a handshake included, may go to a host. It is to be set before the first use;
	// nil: to every host.
	Listed func(name string) bool
	// Handshaking is called before each handshake with a host. It is to be set before the first use; nil: nobody is told.
	Handshaking func(name string)

	engine *loop.Engine
	clock  clock.Clock
	names  Names

	onLateAnswer      LateAnswerFunc // nil: nobody
	lateAnswerWindow  time.Duration  // the constant, but in tests
	probeRejectionLog loop.ThrottledLog
	unreadBytes       int // of answers that are not complete yet; the event loop owns it

	// mu guards what follows, and the idle connections and abandoned dials of all hosts. It may be taken while a
	// connection's mutex is held, not the other way round.
	mu        sync.Mutex
	limits    PoolLimits
	hosts     map[string]*host
	openConns int // that are open or being opened
	staleness staleness
}

// LateAnswerFunc takes an answer whose attempt was given up in the same moment: it serves nobody, but it teaches. sent is when
// its request was written. It is called on a goroutine of its own.
type LateAnswerFunc func(host string, sent float64, write bool, o dispatch.Outcome)

// lateAnswerWindow is how long a connection whose request was given up is listened to. The platform counts as known what an answer
// tells 100 ms after it was written, also where the pooler gave it up meanwhile.
const lateAnswerWindow = 100 * time.Millisecond

// maxWriteTime is how long a request may take from its first byte to its last, less than the 150 ms by which a host may be told
// of more time than its client has left.
const maxWriteTime = 120 * time.Millisecond

// host is a db host at one address: another address is another host.
type host struct {
	address       string
	idle          []*conn        // the one used last is at the end
	abandonedDial *abandonedDial // nil: there is none
}

// abandonedDial is one that goes on though its attempt was given up.
type abandonedDial struct{ cancel func() }

// NewPool returns a pool whose connections are served by engine.
func NewPool(engine *loop.Engine, c clock.Clock, names Names, limits PoolLimits) *Pool {
	return &Pool{
		engine: engine, clock: c, names: names, limits: limits, hosts: map[string]*host{},
		lateAnswerWindow: lateAnswerWindow,
	}
}

// OnLateAnswer has late answers given to late. It is to be set before the first request.
func (p *Pool) OnLateAnswer(late LateAnswerFunc) { p.onLateAnswer = late }

// SetLimits takes other bounds for what is opened and retained from now on.
func (p *Pool) SetLimits(limits PoolLimits) {
	p.mu.Lock()
	p.limits = limits
	p.mu.Unlock()
}

// SetAddress tells where a host is. "" forgets it. Connections to an old address are closed.
func (p *Pool) SetAddress(name, address string) {
	p.mu.Lock()
	h := p.hosts[name]
	if h != nil && h.address == address {
		p.mu.Unlock()
		return
	}
	if address == "" {
		delete(p.hosts, name)
	} else {
		p.hosts[name] = &host{address: address}
	}
	p.mu.Unlock()
	if h != nil {
		p.closeAll(h)
	}
}

// CloseIdle closes the connections to a host on which nothing is due.
func (p *Pool) CloseIdle(name string) {
	p.mu.Lock()
	h := p.hosts[name]
	p.mu.Unlock()
	if h != nil {
		p.closeAll(h)
	}
}

func (p *Pool) closeAll(h *host) {
	p.mu.Lock()
	idle := h.idle
	h.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Sweep closes what has been idle for too long; call it every second or so.
func (p *Pool) Sweep() {
	var old []*conn
	p.mu.Lock()
	for _, h := range p.hosts {
		n := 0
		for n < len(h.idle) && !p.usable(h.idle[n]) { // the oldest come first
			n++
		}
		old = append(old, h.idle[:n]...)
		h.idle = append([]*conn(nil), h.idle[n:]...)
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// usable keeps a good distance from the moment at which the host closes a connection, or from which it was seen to be
// dropped: a request written to it from then on may have run for all one can tell. p.mu is locked by the caller.
func (p *Pool) usable(c *conn) bool {
	idle := p.clock.Now() - c.idleSince
	return (p.limits.IdleTimeout <= 0 || idle < clock.Millis(p.limits.IdleTimeout)*0.7) && idle < p.staleness.maxIdleMillis()
}
