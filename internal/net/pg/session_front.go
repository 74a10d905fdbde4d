package pg

import (
	"context"
	"hash/maphash"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/net/loop"
	"ashstand/internal/session"
)

// SessionFront is the front of a listener in transaction or session mode. Its methods may be called from any goroutine.
// All that is not atomic belongs to the event loop: a client and its server connection are served by the same one, so nothing
// crosses to another goroutine but decisions that have to wait, and dials.
type SessionFront struct {
	engine     *loop.Engine
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	names      Names
	limits     atomic.Pointer[SessionLimits]
	eventLoop  atomic.Value // gnet.EventLoop, once somebody came
	// addresses holds one map of hosts to addresses: who takes it out has it to itself.
	addresses         chan map[string]string
	disabledGuarantee atomic.Value // string: see Break

	clients      clientRegistry
	servers      serverRegistry
	catalogue    *session.Catalogue
	parameters   parameterRegistry
	buffers      relayBuffers
	backpressure backpressureState
	tenancy      tenantQueues
	stats        SessionStats
	draining     bool // clients go between transactions
	terminating  bool // every client was ended
	clientLog    loop.ThrottledLog
	hostLog      loop.ThrottledLog
}

// clientRegistry is the clients of a front. The event loop owns it.
type clientRegistry struct {
	all          map[*sessionClient]struct{}
	byCancelKey  map[uint64]*sessionClient
	lastNumber   uint32
	unreadBytes  int                         // that they sent and that wait
	stickyCounts map[session.StickyCause]int // sessions that can't leave their connections
}

// serverRegistry is the connections of a front to db hosts. The event loop owns it.
type serverRegistry struct {
	hosts map[string]*sessionHost
	count int // connections that are open or being opened
}

// parameterRegistry makes sets of parameters that are compared by their fingerprints. The event loop owns it.
type parameterRegistry struct {
	seed    maphash.Seed
	initial *parameterSet // what a client is told first; nil: none came yet
}

const (
	maxRetainedBufferBytes = 256 << 10 // a larger buffer is not retained for what goes to servers
	maxRetainedBuffers     = 8
)

// relayBuffers are retained between calls, so that relaying allocates nothing. The event loop owns them.
type relayBuffers struct {
	client  []byte   // for what goes to a client
	servers [][]byte // for what goes to servers: one for each client that is being read, which may nest
}

// takeServer returns an empty buffer for what goes to a server.
func (b *relayBuffers) takeServer() []byte {
	n := len(b.servers)
	if n == 0 {
		return nil
	}
	buffer := b.servers[n-1][:0]
	b.servers = b.servers[:n-1]
	return buffer
}

// putServer gives a buffer back.
func (b *relayBuffers) putServer(buffer []byte) {
	if cap(buffer) > 0 && cap(buffer) <= maxRetainedBufferBytes && len(b.servers) < maxRetainedBuffers {
		b.servers = append(b.servers, buffer)
	}
}

// NewSessionFront returns a front that asks dispatcher where transactions go.
func NewSessionFront(e *loop.Engine, dispatcher *dispatch.Dispatcher, c clock.Clock, names Names, limits SessionLimits) *SessionFront {
	f := &SessionFront{
		engine:     e,
		dispatcher: dispatcher,
		clock:      c,
		names:      names,
		addresses:  make(chan map[string]string, 1),
		clients: clientRegistry{
			all:          map[*sessionClient]struct{}{},
			byCancelKey:  map[uint64]*sessionClient{},
			stickyCounts: map[session.StickyCause]int{},
		},
		servers:      serverRegistry{hosts: map[string]*sessionHost{}},
		catalogue:    session.NewCatalogue(limits.Bytes),
		parameters:   parameterRegistry{seed: maphash.MakeSeed()},
		backpressure: backpressureState{paused: map[*loop.PausableConn]func() bool{}},
	}
	f.addresses <- map[string]string{}
	f.limits.Store(&limits)
	return f
}

// Break switches a guarantee off: settings, statements, cancel or position. It is there so
// that what checks the guarantee can be seen to fail.
func (f *SessionFront) Break(guarantee string) { f.disabledGuarantee.Store(guarantee) }

// SetLimits takes other bounds and pools for what comes from now on.
func (f *SessionFront) SetLimits(l SessionLimits) {
	f.limits.Store(&l)
	f.onLoop(func() { f.catalogue.SetMaxBytes(l.Bytes) })
}

// SetAddress tells where a host is; "" forgets it. Connections on which nothing is due are closed.
func (f *SessionFront) SetAddress(name, address string) {
	all := <-f.addresses
	changed := all[name] != address
	if all[name] = address; address == "" {
		delete(all, name)
	}
	f.addresses <- all
	if changed {
		f.onLoop(func() { f.addressChanged(name, address) })
	}
}

// address is where a host is. It is known here before the decisions know the host.
func (f *SessionFront) address(name string) string {
	all := <-f.addresses
	defer func() { f.addresses <- all }()
	return all[name]
}

// CloseIdle closes the connections to a host on which nothing is due.
func (f *SessionFront) CloseIdle(name string) {
	f.onLoop(func() {
		if h := f.servers.hosts[name]; h != nil {
			f.closeIdle(h)
		}
	})
}

func (f *SessionFront) closeIdle(h *sessionHost) {
	for _, p := range h.pools {
		for _, s := range slices.Clone(p.idle) {
			s.wire.Close()
		}
	}
}

// addressChanged forgets what was known of a host under its old address; sessions that wait for it choose anew.
func (f *SessionFront) addressChanged(name, address string) {
	h := f.servers.hosts[name]
	if h == nil || h.address == address {
		return
	}
	delete(f.servers.hosts, name)
	h.address = ""
	f.closeIdle(h)
	for _, p := range h.pools {
		p.rerouteWaiters()
	}
}

// onLoop does something on the loop, later.
func (f *SessionFront) onLoop(do func()) {
	if l, ok := f.eventLoop.Load().(gnet.EventLoop); ok {
		_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			do()
			return nil
		}))
	}
}

// Accept makes the handler of a connection; it is called on the event loop.
func (f *SessionFront) Accept(g gnet.Conn) (loop.Handler, []byte, gnet.Action) {
	f.eventLoop.CompareAndSwap(nil, g.EventLoop())
	f.clients.lastNumber++
	c := &sessionClient{front: f, number: f.clients.lastNumber, lastActive: f.clock.Now()}
	c.routing.waiter.Owner = c
	c.wire = loop.NewPausableConn(f.engine, g, c)
	l := f.limits.Load()
	if len(f.clients.all) >= l.Clients {
		f.clientLog.Printf("sessions: %d client connections are open, one more is sent away", len(f.clients.all))
		if len(f.clients.all) >= l.Clients+l.Clients/8+1 {
			return nil, nil, gnet.Close
		}
		f.clients.all[c] = struct{}{}
		return c, nil, c.closeWithRejection(stateTooManyConnections, "too many connections", f.retryAfter())
	}
	f.clients.all[c] = struct{}{}
	if f.terminating || f.draining {
		return c, nil, c.closeWithRejection(stateCannotConnectNow, "the pooler restarts", "")
	}
	return c, nil, gnet.None
}

func (f *SessionFront) retryAfter() string { return formatRetryAfter(f.limits.Load().RetryAfterMillis) }

// formatRetryAfter is the detail that says when to come back, in milliseconds; "" where there is none.
func formatRetryAfter(after float64) string {
	if after <= 0 {
		return ""
	}
	return strconv.Itoa(int(after + 0.999))
}

// Drain says that the process is to end: clients go between transactions.
func (f *SessionFront) Drain() {
	f.onLoop(func() {
		f.draining = true
		for c := range f.clients.all {
			c.closeIfIdle()
		}
	})
}

// Cut ends every client with an error; what it has open is rolled back with its server connection.
func (f *SessionFront) Cut() {
	f.onLoop(func() {
		f.terminating = true
		for c := range f.clients.all {
			text := "the pooler restarts; what was under way may have run"
			if c.phase == phaseTenantPaused {
				text = "the pooler restarts; what waited did not run"
			}
			if !c.disconnected && c.closeWithError(sqlStateAdminShutdown, text, "") == gnet.Close {
				c.wire.Close()
			}
		}
	})
}

// Sweep does what is due by time; call it every SweepInterval.
func (f *SessionFront) Sweep() { f.onLoop(f.sweep) }

func (f *SessionFront) sweep() {
	now := f.clock.Now()
	for _, h := range f.servers.hosts {
		f.sweepHost(h, now)
	}
	unsent := 0
	for c := range f.clients.all {
		c.sweep(now)
		unsent += c.wire.UnsentBytes()
	}
	f.boundUnsent(unsent)
}

// sweepHost sends sessions that have waited for too long for a host's connections, or in vain, elsewhere, and retires
// connections that are not used.
func (f *SessionFront) sweepHost(h *sessionHost, now float64) {
	isActive := true
	for _, p := range h.pools {
		if p.queue.Len() > 0 {
			p.queue.Expire(now, func(w *session.Waiter) { w.Owner.(*sessionClient).waitExpired() })
			if isActive = isActive && f.dispatcher.IsActive(h.name); !isActive { // it drains: who waits for it chooses anew
				p.rerouteWaiters()
			}
		}
		if p.queue.Len() > 0 { // capacity may have come to be elsewhere
			p.serveWaiters(f)
		}
		f.sweepIdle(p, now)
	}
}

// rerouteWaiters has all sessions that wait for the pool's connections choose anew.
func (p *serverPool) rerouteWaiters() {
	for w := p.queue.Next(0, nil); w != nil; w = p.queue.Next(0, nil) {
		w.Owner.(*sessionClient).retryRouting(dispatch.NeverBegun(dispatch.NotSent))
	}
}

// boundUnsent cuts off the clients that take their answers slowest, until the bytes that are unsent to all are within their
// bound: a source is paused for each, but one whose transaction has ended retains what it has not read.
func (f *SessionFront) boundUnsent(unsent int) {
	for limit := f.limits.Load().Bytes; limit > 0 && unsent > limit; {
		var slowest *sessionClient
		for c := range f.clients.all {
			if slowest == nil || c.wire.UnsentBytes() > slowest.wire.UnsentBytes() {
				slowest = c
			}
		}
		if slowest == nil || slowest.wire.UnsentBytes() == 0 {
			return
		}
		unsent -= slowest.wire.UnsentBytes()
		f.clientLog.Printf("sessions: a client is cut off with %d bytes that it does not take, %d of all clients", slowest.wire.UnsentBytes(), unsent)
		slowest.disconnected = true
		slowest.wire.Close()
	}
}

// hash is of one reported parameter; the sum over all tells two sets apart.
func (f *SessionFront) hash(name, value string) uint64 {
	var h maphash.Hash
	h.SetSeed(f.parameters.seed)
	h.WriteString(name)
	h.WriteByte(0)
	h.WriteString(value)
	return h.Sum64()
}
