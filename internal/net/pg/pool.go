package pg

import (
	"sync"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/net/loop"
)

// WireNames are the configurable names that the pooler uses when it talks to database hosts.
type WireNames struct {
	// User and Database go into the startup message.
	User, Database string
	// Role, Position and Gauges are the parameters in which a host reports its role, its log position and its
	// load.
	Role, Position, Gauges string
	// Primary and Replica are the values of the Role parameter.
	Primary, Replica string
}

// Platform holds the names that the database platform uses.
var Platform = WireNames{
	User:     "web",
	Database: "orders",
	Role:     "part",
	Position: "caught_up_to",
	Gauges:   "gauges",
	Primary:  "master",
	Replica:  "replica",
}

// PoolLimits are the limits of a Pool.
type PoolLimits struct {
	// Connections is the maximum number of connections to all hosts together, including those being opened.
	Connections int
	// Bytes is the maximum size of incomplete responses on all connections together.
	Bytes int
	// ConnectTimeout is the time within which a new connection must be ready for a query; otherwise the dial
	// fails.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which a database host closes an idle connection.
	IdleTimeout time.Duration
}

// Pool holds the connections to database hosts for requests in statement mode. Its methods may be called from
// any goroutine.
type Pool struct {
	// Listed reports whether new work, handshakes included, may be sent to a host. It must be set before the
	// pool is first used; nil permits every host.
	Listed func(name string) bool
	// OnHandshake, if not nil, is called before each handshake with a host. It must be set before the pool is
	// first used.
	OnHandshake func(name string)

	engine *loop.Engine
	clock  clock.Clock
	names  WireNames

	onLateAnswer      LateAnswerFunc // may be nil
	lateAnswerWindow  time.Duration  // the constant of that name, unless a test overrides it
	probeRejectionLog loop.ThrottledLog
	unreadBytes       int // total size of incomplete responses; owned by the event loop

	// mu guards the fields below, and the idle connections and abandoned dials of all hosts. It may be locked
	// while a connection's mutex is held, but not the other way round.
	mu        sync.Mutex
	limits    PoolLimits
	hosts     map[string]*host
	openConns int // includes connections being opened
	staleness staleness
}

// LateAnswerFunc receives an answer that arrived after its attempt was abandoned. No client gets this answer,
// but the outcome o still tells something about the host. sent is when the request was written. The function
// is called on a goroutine of its own.
type LateAnswerFunc func(host string, sent float64, write bool, o dispatch.Outcome)

// lateAnswerWindow is how long the pooler keeps reading from a connection after abandoning its request. The
// platform expects the pooler to know what an answer says 100 ms after the host wrote it, even if the request
// was abandoned in the meantime.
const lateAnswerWindow = 100 * time.Millisecond

// maxWriteTime is the time limit from writing the first byte of a request to writing its last. It is below
// 150 ms, by which the time limit that a host is told may exceed the time that its client has left.
const maxWriteTime = 120 * time.Millisecond

// host is a database host at one address. A host that moves to another address gets a new value.
type host struct {
	address       string
	idle          []*conn        // the most recently used connection is last
	abandonedDial *abandonedDial // nil if there is none
}

// abandonedDial is a dial that continues although its attempt was abandoned.
type abandonedDial struct{ cancel func() }

// NewPool returns a pool whose connections are served by engine.
func NewPool(engine *loop.Engine, c clock.Clock, names WireNames, limits PoolLimits) *Pool {
	return &Pool{
		engine: engine, clock: c, names: names, limits: limits, hosts: map[string]*host{},
		lateAnswerWindow: lateAnswerWindow,
	}
}

// OnLateAnswer sets the function that receives late answers. It must be called before the first request.
func (p *Pool) OnLateAnswer(onLate LateAnswerFunc) { p.onLateAnswer = onLate }

// SetLimits replaces the limits. They apply to connections opened or kept idle from now on.
func (p *Pool) SetLimits(limits PoolLimits) {
	p.mu.Lock()
	p.limits = limits
	p.mu.Unlock()
}

// SetAddress sets the address of a host; "" removes the host. Idle connections to the previous address are
// closed.
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

// CloseIdle closes the idle connections to a host.
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

// Sweep closes the connections that have been idle for too long. It should be called about once a second.
func (p *Pool) Sweep() {
	var expired []*conn
	p.mu.Lock()
	for _, h := range p.hosts {
		n := 0
		for n < len(h.idle) && !p.usable(h.idle[n]) { // the connections idle for longest come first
			n++
		}
		expired = append(expired, h.idle[:n]...)
		h.idle = append([]*conn(nil), h.idle[n:]...)
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// usable reports whether an idle connection may carry another request. It stops well before the host's idle
// timeout, and before the idle time from which connections were found to be dropped: a request written to a
// closed connection fails without proof that it did not run. The caller must hold p.mu.
func (p *Pool) usable(c *conn) bool {
	idle := p.clock.Now() - c.idleSince
	return (p.limits.IdleTimeout <= 0 || idle < clock.Millis(p.limits.IdleTimeout)*0.7) && idle < p.staleness.maxIdleMillis()
}
