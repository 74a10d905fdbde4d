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
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/net/loop"
	"ashstand/internal/session"
)

// SessionFront is the front of a listener in transaction or session mode. Its methods may be called from any
// goroutine. The event loop owns every field that is neither atomic nor a channel. A client and its server
// connection are served by the same event loop; only dials and routing decisions that have to wait run on
// other goroutines.
type SessionFront struct {
	engine     *loop.Engine
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	names      WireNames
	limits     atomic.Pointer[SessionLimits]
	eventLoop  atomic.Value // gnet.EventLoop; unset until the first client connects
	// addresses holds a single map of host names to addresses and serves as its lock: whoever receives the map
	// has exclusive access until it is sent back.
	addresses         chan map[string]string
	disabledGuarantee atomic.Value // string, set by DisableGuarantee

	clients      clientRegistry
	servers      serverRegistry
	catalogue    *session.Catalogue
	parameters   parameterRegistry
	buffers      relayBuffers
	backpressure backpressureState
	closer       loop.ConfirmedCloser // keeps closed connections until their clients have confirmed what was written
	metrics      *metrics.Metrics     // nil: violations of rules are not counted
	keptLeft     atomic.Int64         // transactions that left the connection that their session kept, for another host
	keptRejected atomic.Int64         // transactions of sticky sessions that were rejected, as their host could not serve them
	tenancy      tenantQueues
	stats        SessionStats
	draining     bool // clients are disconnected between transactions
	terminating  bool // CloseClients has disconnected every client
	clientLog    loop.ThrottledLog
	hostLog      loop.ThrottledLog
}

// clientRegistry holds the clients of a front. The event loop owns it.
type clientRegistry struct {
	all           map[*sessionClient]struct{}
	byCancelKey   map[uint64]*sessionClient
	lastNumber    uint32
	unreadBytes   int                         // memory of what all clients sent and waits here
	settingsBytes int                         // memory of all sessions' settings
	ahead         heldBytes                   // for replies that sessions wait for
	retained      heldBytes                   // for portals and savepoints
	stickyCounts  map[session.StickyCause]int // sticky sessions by cause
}

// serverRegistry holds the connections of a front to database hosts. The event loop owns it.
type serverRegistry struct {
	hosts map[string]*sessionHost
	count int // connections that are open or being opened, to all hosts
}

// parameterRegistry holds what parameter sets are made from. Sets are compared by their fingerprints. The
// event loop owns it.
type parameterRegistry struct {
	seed    maphash.Seed
	initial *parameterSet // the set reported to a new client; nil until the first client has started
}

const (
	maxRetainedBufferBytes = 256 << 10 // larger buffers for data to servers are not retained
	maxRetainedBuffers     = 8
)

// relayBuffers are retained between calls so that relaying doesn't allocate. The event loop owns them.
type relayBuffers struct {
	client  []byte   // for data to a client
	servers [][]byte // for data to servers: one for each client being read, since reads of clients may nest
}

// takeServerBuffer returns an empty buffer for data to a server.
func (b *relayBuffers) takeServerBuffer() []byte {
	n := len(b.servers)
	if n == 0 {
		return nil
	}
	buffer := b.servers[n-1][:0]
	b.servers = b.servers[:n-1]
	return buffer
}

// putServerBuffer returns a buffer for reuse.
func (b *relayBuffers) putServerBuffer(buffer []byte) {
	if cap(buffer) > 0 && cap(buffer) <= maxRetainedBufferBytes && len(b.servers) < maxRetainedBuffers {
		b.servers = append(b.servers, buffer)
	}
}

// NewSessionFront returns a front whose transactions are routed by dispatcher.
func NewSessionFront(engine *loop.Engine, dispatcher *dispatch.Dispatcher, clk clock.Clock, names WireNames, limits SessionLimits) *SessionFront {
	f := &SessionFront{
		engine:     engine,
		dispatcher: dispatcher,
		clock:      clk,
		names:      names,
		addresses:  make(chan map[string]string, 1),
		clients: clientRegistry{
			all:          map[*sessionClient]struct{}{},
			byCancelKey:  map[uint64]*sessionClient{},
			stickyCounts: map[session.StickyCause]int{},
		},
		servers:      serverRegistry{hosts: map[string]*sessionHost{}},
		catalogue:    session.NewCatalogue(limits.MaxBytes),
		parameters:   parameterRegistry{seed: maphash.MakeSeed()},
		backpressure: backpressureState{paused: map[*loop.PausableConn]pausedConn{}},
	}
	f.addresses <- map[string]string{} // makes the map available; see the field
	f.limits.Store(&limits)
	return f
}

// DisableGuarantee disables a guarantee: settings, statements, cancel, position, ahead or kept. It lets a test show that the checker
// of the guarantee detects the violation.
func (f *SessionFront) DisableGuarantee(guarantee string) { f.disabledGuarantee.Store(guarantee) }

// CountViolations sets where violations of rules are counted. It must be called before the first client connects.
func (f *SessionFront) CountViolations(m *metrics.Metrics) {
	f.metrics = m
	f.clients.ahead.addGauges(m, "ahead")
	f.clients.retained.addGauges(m, "retained")
	m.AddGauge("sessions_kept_left_total", "Transactions that left the connection that their session kept, for another host.", func() float64 { return float64(f.keptLeft.Load()) })
	m.AddGauge("sessions_kept_rejected_total", "Transactions of sticky sessions that their host could not serve.", func() float64 { return float64(f.keptRejected.Load()) })
}

// violation counts a rule that did not hold.
func (f *SessionFront) violation(rule lifecycle.Rule, attributes ...any) {
	if f.metrics != nil {
		f.metrics.Violation(rule, attributes...)
	}
}

// HasUnconfirmed reports whether a connection that was closed waits for its client to confirm what was written to it.
func (f *SessionFront) HasUnconfirmed() bool { return f.closer.Pending() > 0 }

// SetLimits replaces the limits and pools from now on.
func (f *SessionFront) SetLimits(limits SessionLimits) {
	f.limits.Store(&limits)
	f.onLoop(func() { f.catalogue.SetMaxBytes(limits.MaxBytes) })
}

// SetAddress sets the address of a host; "" removes it. Idle connections to the old address are closed.
func (f *SessionFront) SetAddress(name, address string) {
	addresses := <-f.addresses
	changed := addresses[name] != address
	if addresses[name] = address; address == "" {
		delete(addresses, name)
	}
	f.addresses <- addresses
	if changed {
		f.onLoop(func() { f.addressChanged(name, address) })
	}
}

// address returns the address of a host. Addresses are set here before the dispatcher learns of the host.
func (f *SessionFront) address(name string) string {
	addresses := <-f.addresses
	defer func() { f.addresses <- addresses }()
	return addresses[name]
}

// CloseIdle closes the idle connections to a host.
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

// addressChanged drops the pools of a host's old address. Sessions that wait for a connection to it are
// routed again.
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

// onLoop schedules a task on the event loop. Before the first client has connected there is no loop, and the
// task is dropped.
func (f *SessionFront) onLoop(task func()) {
	if eventLoop, ok := f.eventLoop.Load().(gnet.EventLoop); ok {
		_ = eventLoop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			task()
			return nil
		}))
	}
}

// Accept returns the handler of a new connection. It is called on the event loop.
func (f *SessionFront) Accept(g gnet.Conn) (loop.Handler, []byte, gnet.Action) {
	f.eventLoop.CompareAndSwap(nil, g.EventLoop())
	f.clients.lastNumber++
	c := &sessionClient{front: f, number: f.clients.lastNumber, lastActive: f.clock.Now()}
	c.routing.waiter.Owner = c
	c.wire = loop.NewClientConn(g)
	limits := f.limits.Load()
	if len(f.clients.all) >= limits.MaxClients {
		f.clientLog.Printf("sessions: %d client connections are open, rejecting one more", len(f.clients.all))
		if len(f.clients.all) >= limits.MaxClients+limits.MaxClients/8+1 {
			return nil, rejectAccepted(g, f.retryAfter()), gnet.Close
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

// retryAfter returns the configured retry delay as the detail of a rejection.
func (f *SessionFront) retryAfter() string { return formatRetryAfter(f.limits.Load().RetryAfterMillis) }

// formatRetryAfter returns the detail of a rejection: after how many milliseconds to retry, or "" for no such
// advice.
func formatRetryAfter(after float64) string {
	if after <= 0 {
		return ""
	}
	return strconv.Itoa(int(after + 0.999))
}

// Drain begins the shutdown: clients are disconnected between transactions.
func (f *SessionFront) Drain() {
	f.onLoop(func() {
		f.draining = true
		for c := range f.clients.all {
			c.closeIfIdle()
		}
	})
}

// CloseClients disconnects every client with an error. Closing its server connection rolls back an open transaction.
func (f *SessionFront) CloseClients() {
	f.onLoop(func() {
		f.terminating = true
		for c := range f.clients.all {
			text := "the pooler restarts; what was under way may have run"
			if c.phase == phaseTenantPaused {
				text = "the pooler restarts; what waited did not run"
			}
			if c.disconnected {
				continue
			}
			var action gnet.Action
			if c.isHeld() && c.server.stream.remaining == 0 {
				action = c.closeHeldAtShutdown()
			} else {
				action = c.closeWithError(sqlStateAdminShutdown, text, "")
			}
			if action == gnet.Close {
				c.wire.Close()
			}
		}
	})
}

// Sweep enforces timeouts and limits; it has to be called every SweepInterval.
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

// sweepHost rejects sessions that have waited for too long for a connection to the host, routes waiting
// sessions again if the host is draining, and closes connections that have been idle for too long.
func (f *SessionFront) sweepHost(h *sessionHost, now float64) {
	isActive := true
	for _, p := range h.pools {
		if p.queue.Len() > 0 {
			p.queue.Expire(now, func(w *session.Waiter) { w.Owner.(*sessionClient).waitExpired() })
			// The sessions that wait for a draining host are routed again.
			if isActive = isActive && f.dispatcher.IsActive(h.name); !isActive {
				p.rerouteWaiters()
			}
		}
		// Another pool may have released connections that count towards the shared limit.
		if p.queue.Len() > 0 {
			p.serveWaiters(f)
		}
		f.sweepIdle(p, now)
	}
}

// rerouteWaiters routes all sessions again that wait for a connection of the pool.
func (p *serverPool) rerouteWaiters() {
	for w := p.queue.Next(0, nil); w != nil; w = p.queue.Next(0, nil) {
		w.Owner.(*sessionClient).retryRouting(dispatch.NotBegunOutcome(dispatch.NotSent))
	}
}

// boundUnsent disconnects the clients with the most unsent bytes until the total is within
// SessionLimits.MaxUnsentBytes. Pausing the server connection bounds the unsent bytes of one client while its
// transaction runs; after the transaction the client still holds what it has not read, so the total needs a
// bound of its own.
func (f *SessionFront) boundUnsent(unsent int) {
	for limit := f.limits.Load().MaxUnsentBytes; limit > 0 && unsent > limit; {
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
		f.clientLog.Printf("sessions: disconnecting a slow client with %d unsent bytes, %d remain for the other clients", slowest.wire.UnsentBytes(), unsent)
		slowest.disconnected = true
		slowest.wire.Close()
	}
}

// hashParameter returns the hash of one reported parameter. The fingerprint of a set is the sum of its parameters'
// hashes.
func (f *SessionFront) hashParameter(name, value string) uint64 {
	var h maphash.Hash
	h.SetSeed(f.parameters.seed)
	h.WriteString(name)
	h.WriteByte(0)
	h.WriteString(value)
	return h.Sum64()
}
