package pg

import (
	"context"
	"encoding/binary"
	"hash/maphash"
	"log/slog"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/net/loop"
	"ashstand/internal/session"
)

// Mode is for how long a session keeps a server connection.
type Mode string

// The modes. Statement is the platform's front, which is another listener.
const (
	Transaction Mode = "transaction"
	Session     Mode = "session"
)

// PoolSettings are what the operator's file says of the sessions of a database and user.
type PoolSettings struct {
	Name                    string // for operators
	Database, User          string // "*": any
	Mode                    Mode
	Sizes                   session.Sizes // for each host
	ReservedForSticky       int           // of Sizes.Most, kept for sessions that are pinned or in session mode
	Defaults                session.Defaults
	WaitTimeoutMillis       float64 // milliseconds that a session may wait for a server connection
	IdleInTransactionMillis float64 // that a client may leave a transaction open without a word; 0: no bound
	ServerIdleMillis        float64 // that a server connection may lie unused
	ServerLifetimeMillis    float64 // and how old it may get; 0: no bound
	MaxPreparedStatements   int     // prepared on one server connection at the most
	MaxSticky               int     // sessions that may be pinned; 0: a statement that pins is refused
	MaxPausedTransactions   int     // transactions of one database that may wait while it is paused
	MaxPauseMillis          float64 // milliseconds after a pause began from which on none waits for it
}

// SessionLimits bound the whole front.
type SessionLimits struct {
	Clients               int
	Servers               int // open or being opened, to all hosts together
	Bytes                 int // that clients sent and that wait here; as much again for prepared statements
	Message               int // one message of a client
	MaxPausedTransactions int // transactions of paused databases that may wait, of all
	RetryAfterMillis      float64
	ConnectTimeout        time.Duration
	Pools                 []PoolSettings // the first that fits counts
	Users                 map[string]Verifier
}

// Bounds of the session front that need no setting.
const (
	maxBufferedMessageBytes = 64 << 10  // a server's message is gathered up to this, and streamed beyond
	highWaterBytes          = 256 << 10 // unsent to a peer, from which on its source is paused
	lowWaterBytes           = 64 << 10
	resumeInterval          = 5 * time.Millisecond
	maxReportedParameters   = 256 // parameters that a host may report: one that goes on without end would fill the memory
	replyMarginMillis       = 4.0 // what a refusal needs at the least to reach its client in time
)

// SessionFront is the front of a listener in transaction or session mode. All of its state belongs to the event loop: a
// client and its server connection are served by the same one, so nothing crosses to another goroutine but decisions
// that have to wait, and dials.
type SessionFront struct {
	engine     *loop.Engine
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	names      Names
	limits     atomic.Pointer[SessionLimits]
	eventLoop  atomic.Value // gnet.EventLoop, once somebody came

	clients           map[*sessionClient]struct{}
	cancelKeys        map[uint64]*sessionClient
	hosts             map[string]*sessionHost
	catalogue         *session.Catalogue
	serverCount       int
	unreadBytes       int
	stickyCounts      map[session.StickyCause]int
	pausedWires       map[*loop.PausableConn]func() bool // of those that are: whether to go on
	resumeScheduled   bool
	lastNumber        uint32
	hashSeed          maphash.Seed
	clientBuffer      []byte   // what goes to a client
	serverBuffers     [][]byte // what goes to servers
	initialParameters *parameterSet
	draining          bool
	terminating       bool

	assignments   Assignments // nil: nothing is agreed on, and each pool's own group counts
	tenants       *session.Tenants
	resumeQueued  map[*session.Tenant]bool
	recordedBytes int // bytes kept of first statements
	expiryTimer   *time.Timer
	nextExpiry    float64 // when it goes off; 0: it does not

	disabledGuarantee atomic.Value // string: a guarantee that is switched off
	addresses         chan map[string]string
	stats             SessionStats
	limitLog          loop.ThrottledLog
	hostLog           loop.ThrottledLog
}

// SessionStats count what happened since the start.
type SessionStats struct {
	Clients              int                         `json:"clients"`
	Linked               int                         `json:"linked"`
	Waiting              int                         `json:"waiting"`
	Servers              int                         `json:"servers"`
	ServersIdle          int                         `json:"servers_idle"`
	Transactions         uint64                      `json:"transactions"`
	SettingsRestored     uint64                      `json:"settings_restored"`
	StatementsReprepared uint64                      `json:"statements_prepared_again"`
	Rejected             uint64                      `json:"refused"`
	LostSafe             uint64                      `json:"lost_safe"`
	LostInDoubt          uint64                      `json:"lost_in_doubt"`
	LostUnnoticed        uint64                      `json:"lost_unnoticed"`
	Cancels              uint64                      `json:"cancels"`
	ReadsPaused          uint64                      `json:"paused"`
	IdleInTransaction    uint64                      `json:"idle_in_transaction"`
	ServersDiscarded     uint64                      `json:"servers_discarded"`
	PausedTransactions   int                         `json:"held"`
	RejectedByHost       uint64                      `json:"turned_away"`
	Sticky               map[session.StickyCause]int `json:"pinned"`
	Statements           int                         `json:"statements"`
	StatementBytes       int                         `json:"statement_bytes"`
	Hosts                []HostStats                 `json:"hosts"`
}

// HostStats are of one host, database and user.
type HostStats struct {
	Host     string `json:"host"`
	Database string `json:"database"`
	User     string `json:"user"`
	Open     int    `json:"open"`
	Idle     int    `json:"idle"`
	Waiting  int    `json:"waiting"`
}

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

// NewSessionFront returns a front that asks facade where transactions go.
func NewSessionFront(e *loop.Engine, f *dispatch.Dispatcher, c clock.Clock, names Names, l SessionLimits) *SessionFront {
	s := &SessionFront{
		engine: e, dispatcher: f, clock: c, names: names, clients: map[*sessionClient]struct{}{}, cancelKeys: map[uint64]*sessionClient{},
		hosts: map[string]*sessionHost{}, stickyCounts: map[session.StickyCause]int{}, pausedWires: map[*loop.PausableConn]func() bool{}, hashSeed: maphash.MakeSeed(),
		catalogue: session.NewCatalogue(l.Bytes), addresses: make(chan map[string]string, 1),
	}
	s.addresses <- map[string]string{}
	s.limits.Store(&l)
	return s
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
		if h := f.hosts[name]; h != nil {
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
	h := f.hosts[name]
	if h == nil || h.address == address {
		return
	}
	delete(f.hosts, name)
	h.address = ""
	f.closeIdle(h)
	for _, p := range h.pools {
		for w := p.queue.Next(0, nil); w != nil; w = p.queue.Next(0, nil) {
			w.Owner.(*sessionClient).retryRouting(dispatch.Outcome{Code: dispatch.NotSent})
		}
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
	f.lastNumber++
	c := &sessionClient{front: f, number: f.lastNumber, lastActive: f.clock.Now()}
	c.waiter.Owner = c
	c.wire = loop.NewPausableConn(f.engine, g, c)
	l := f.limits.Load()
	if len(f.clients) >= l.Clients {
		f.limitLog.Printf("sessions: %d client connections are open, one more is sent away", len(f.clients))
		if len(f.clients) >= l.Clients+l.Clients/8+1 {
			return nil, nil, gnet.Close
		}
		f.clients[c] = struct{}{}
		return c, nil, c.closeWithError(sqlStateTooManyConnections, "too many connections", f.retryAfter())
	}
	f.clients[c] = struct{}{}
	if f.terminating || f.draining {
		return c, nil, c.closeWithError(sqlStateCannotConnectNow, "the pooler restarts", "")
	}
	return c, nil, gnet.None
}

func (f *SessionFront) retryAfter() string { return formatRetryAfter(f.limits.Load().RetryAfterMillis) }

// formatRetryAfter words when to come back; "" where there is none.
func formatRetryAfter(after float64) string {
	if after <= 0 {
		return ""
	}
	return strconv.Itoa(int(after + 0.999))
}

// poolFor is the first that fits.
func (l *SessionLimits) poolFor(database, user string) *PoolSettings {
	for i := range l.Pools {
		p := &l.Pools[i]
		if (p.Database == "*" || p.Database == database) && (p.User == "*" || p.User == user) {
			return p
		}
	}
	return nil
}

// pool is the connections to a host for a client's database and user.
func (f *SessionFront) pool(name, address string, k poolIdentity) *serverPool {
	h := f.hosts[name]
	if h == nil || h.address != address {
		h = &sessionHost{name: name, address: address, pools: map[poolIdentity]*serverPool{}}
		f.hosts[name] = h
	}
	p := h.pools[k]
	if p == nil {
		p = &serverPool{host: h, key: k}
		h.pools[k] = p
	}
	return p
}

// evictIdle closes the server connection that has been unused for longest, to make room for one to another host.
func (f *SessionFront) evictIdle() bool {
	var oldest *serverConn
	for _, h := range f.hosts {
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

// Drain says that the process is to end: clients go between transactions.
func (f *SessionFront) Drain() {
	f.onLoop(func() {
		f.draining = true
		for c := range f.clients {
			c.closeIfIdle()
		}
	})
}

// Cut ends every client with an error; what it has open is rolled back with its server connection.
func (f *SessionFront) Cut() {
	f.onLoop(func() {
		f.terminating = true
		for c := range f.clients {
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
	for _, h := range f.hosts {
		listed := true
		for _, p := range h.pools {
			if p.queue.Len() > 0 {
				p.queue.Expire(now, func(w *session.Waiter) { w.Owner.(*sessionClient).waitExpired() })
				if listed = listed && f.dispatcher.IsActive(h.name); !listed { // it drains: who waits for it chooses anew
					for w := p.queue.Next(0, nil); w != nil; w = p.queue.Next(0, nil) {
						w.Owner.(*sessionClient).retryRouting(dispatch.Outcome{Code: dispatch.NotSent})
					}
				}
			}
			if p.queue.Len() > 0 { // room may have come to be elsewhere
				p.serveWaiters(f)
			}
			f.sweepIdle(p, now)
		}
	}
	unsent := 0
	for c := range f.clients {
		c.sweep(now)
		unsent += c.wire.UnsentBytes()
	}
	// Answers that clients do not take are bounded together: a source is paused for each, but one whose transaction has
	// ended keeps what it has not read.
	for most := f.limits.Load().Bytes; most > 0 && unsent > most; {
		var slowest *sessionClient
		for c := range f.clients {
			if slowest == nil || c.wire.UnsentBytes() > slowest.wire.UnsentBytes() {
				slowest = c
			}
		}
		if slowest == nil || slowest.wire.UnsentBytes() == 0 {
			return
		}
		unsent -= slowest.wire.UnsentBytes()
		f.limitLog.Printf("sessions: a client is cut off with %d bytes that it does not take, %d of all clients", slowest.wire.UnsentBytes(), unsent)
		slowest.disconnected = true
		slowest.wire.Close()
	}
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

// pauseUntil pauses a source until its peer has taken what waits for it.
func (f *SessionFront) pauseUntil(w *loop.PausableConn, ok func() bool) {
	if _, there := f.pausedWires[w]; there {
		return
	}
	f.onLoop(func() { // not from within the connection's own Traffic
		if _, there := f.pausedWires[w]; there || ok() || !w.Pause() {
			return
		}
		f.stats.ReadsPaused++
		f.pausedWires[w] = ok
		f.scheduleResume()
	})
}

func (f *SessionFront) scheduleResume() {
	if f.resumeScheduled || len(f.pausedWires) == 0 {
		return
	}
	f.resumeScheduled = true
	time.AfterFunc(resumeInterval, func() {
		f.onLoop(func() {
			f.resumeScheduled = false
			for w, ok := range f.pausedWires {
				if ok() {
					delete(f.pausedWires, w)
					w.Resume(f.eventLoop.Load().(gnet.EventLoop))
				}
			}
			f.scheduleResume()
		})
	})
}

// Stats returns what the front holds and did.
func (f *SessionFront) Stats() SessionStats {
	out := make(chan SessionStats, 1)
	if f.eventLoop.Load() == nil {
		return SessionStats{Sticky: map[session.StickyCause]int{}}
	}
	f.onLoop(func() {
		s := f.stats
		s.Clients, s.Servers = len(f.clients), f.serverCount
		s.Sticky = map[session.StickyCause]int{}
		for k, v := range f.stickyCounts {
			s.Sticky[k] = v
		}
		for c := range f.clients {
			if c.server != nil {
				s.Linked++
			}
		}
		for _, h := range f.hosts {
			for k, p := range h.pools {
				s.Waiting += p.queue.Len()
				s.ServersIdle += len(p.idle)
				s.Hosts = append(s.Hosts, HostStats{h.name, k.database, k.user, p.open, len(p.idle), p.queue.Len()})
			}
		}
		slices.SortFunc(s.Hosts, func(a, b HostStats) int {
			if a.Host != b.Host {
				return slices.Compare([]byte(a.Host), []byte(b.Host))
			}
			return slices.Compare([]byte(a.Database+"\x00"+a.User), []byte(b.Database+"\x00"+b.User))
		})
		if f.assignments != nil {
			s.PausedTransactions = f.tenants.Queued()
		}
		s.Statements, s.StatementBytes = f.catalogue.Len(), f.catalogue.Bytes()
		out <- s
	})
	select {
	case s := <-out:
		return s
	case <-time.After(time.Second):
		return SessionStats{Sticky: map[session.StickyCause]int{}}
	}
}

// hash is of one reported parameter; the sum over all tells two sets apart.
func (f *SessionFront) hash(name, value string) uint64 {
	var h maphash.Hash
	h.SetSeed(f.hashSeed)
	h.WriteString(name)
	h.WriteByte(0)
	h.WriteString(value)
	return h.Sum64()
}

// assignCancelKey draws a key for cancel requests that no client has.
func (f *SessionFront) assignCancelKey(c *sessionClient) {
	for {
		c.cancelKey = newCancelKey(c.number)
		if f.cancelKeys[c.cancelKey] == nil {
			f.cancelKeys[c.cancelKey] = c
			return
		}
	}
}

// cancel carries a cancel request to the host that runs the client's query. The server connection is not given to
// another session before the host has dealt with it, so that it can't hit the next one's query.
func (f *SessionFront) cancel(key uint64) {
	c := f.cancelKeys[key]
	if c == nil || c.disconnected {
		return
	}
	switch c.phase {
	case phaseRouting, phaseQueued: // nothing of it ran, nor will it
		c.waiter.Dequeue()
		call := c.call
		c.call = nil
		call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
		c.dequeue()
		c.rejectCancelled()
		c.resume()
		return
	case phaseTenantPaused:
		c.dequeue()
		c.rejectCancelled()
		c.resume()
		return
	case phaseRestoring, phaseRejectedByHost: // once the connection is the session's own again, or nobody's
		c.cancelRequested = true
		return
	}
	if c.server == nil || c.pipeline.Expected() == 0 {
		return
	}
	s := c.server
	f.stats.Cancels++
	s.pendingCancels++
	if f.disabledGuarantee.Load() == "cancel" {
		s.pendingCancels = -1 << 30
	}
	address, connect := s.pool.host.address, f.limits.Load().ConnectTimeout
	b := make([]byte, 16)
	binary.BigEndian.PutUint32(b, 16)
	binary.BigEndian.PutUint32(b[4:], codeCancel)
	binary.BigEndian.PutUint32(b[8:], s.backendPID)
	binary.BigEndian.PutUint32(b[12:], s.backendSecret)
	go func() {
		if f.disabledGuarantee.Load() == "cancel" {
			time.Sleep(10 * time.Millisecond)
		}
		err := deliverCancelRequest(address, b, connect)
		f.onLoop(func() {
			if s.pendingCancels--; err != nil { // it may still arrive
				slog.Warn("sessions: a cancel request was not delivered", "host", s.pool.host.name, "error", err)
				s.retired = true
			}
			if s.pendingCancels == 0 && s.session == nil && !s.closed {
				s.returnToPool()
			}
		})
	}()
}
