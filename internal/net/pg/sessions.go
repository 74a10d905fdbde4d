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
	Name           string // for operators
	Database, User string // "*": any
	Mode           Mode
	Sizes          session.Sizes // for each host
	Reserve        int           // of Sizes.Most, kept for sessions that are pinned or in session mode
	Defaults       session.Defaults
	Patience       float64 // milliseconds that a session may wait for a server connection
	IdleInBlock    float64 // that a client may leave a transaction open without a word; 0: no bound
	ServerIdle     float64 // that a server connection may lie unused
	ServerLife     float64 // and how old it may get; 0: no bound
	Statements     int     // prepared on one server connection at the most
	Pins           int     // sessions that may be pinned; 0: a statement that pins is refused
	Held           int     // transactions of one database that may wait while it is paused
	Hold           float64 // milliseconds after a pause began from which on none waits for it
}

// SessionLimits bound the whole front.
type SessionLimits struct {
	Clients int
	Servers int // open or being opened, to all hosts together
	Bytes   int // that clients sent and that wait here; as much again for prepared statements
	Message int // one message of a client
	Held    int // transactions of paused databases that may wait, of all
	After   float64
	Connect time.Duration
	Pools   []PoolSettings // the first that fits counts
	Users   map[string]Verifier
}

// Bounds of the session front that need no setting.
const (
	mostWhole    = 64 << 10  // a server's message is gathered up to this, and streamed beyond
	highWater    = 256 << 10 // unsent to a peer, from which on its source is paused
	lowWater     = 64 << 10
	resumeEvery  = 5 * time.Millisecond
	mostReported = 256 // parameters that a host may report: one that goes on without end would fill the memory
	answerGuard  = 4.0 // what a refusal needs at the least to reach its client in time
)

// Sessions is the front of a listener in transaction or session mode. All of its state belongs to the event loop: a
// client and its server connection are served by the same one, so nothing crosses to another goroutine but decisions
// that have to wait, and dials.
type Sessions struct {
	engine *loop.Engine
	facade *dispatch.Dispatcher
	clock  clock.Clock
	names  Names
	limits atomic.Pointer[SessionLimits]
	loop   atomic.Value // gnet.EventLoop, once somebody came

	clients   map[*sclient]struct{}
	keys      map[uint64]*sclient
	hosts     map[string]*shost
	catalogue *session.Catalogue
	servers   int
	unread    int
	pinned    map[session.Cause]int
	paused    map[*loop.PausableConn]func() bool // of those that are: whether to go on
	resuming  bool
	last      uint32
	seed      maphash.Seed
	scratch   []byte   // what goes to a client
	buffers   [][]byte // what goes to servers
	welcome   *params
	drain     bool
	over      bool

	homes    Homes // nil: nothing is agreed on, and each pool's own group counts
	tenants  *session.Tenants
	roused   map[*session.Tenant]bool
	recorded int // bytes kept of first statements
	alarm    *time.Timer
	waking   float64 // when it goes off; 0: it does not

	broken    atomic.Value // string: a guarantee that is switched off
	addresses chan map[string]string
	stats     SessionStats
	full      loop.ThrottledLog
	odd       loop.ThrottledLog
}

// SessionStats count what happened since the start.
type SessionStats struct {
	Clients      int                   `json:"clients"`
	Linked       int                   `json:"linked"`
	Waiting      int                   `json:"waiting"`
	Servers      int                   `json:"servers"`
	Idle         int                   `json:"servers_idle"`
	Transactions uint64                `json:"transactions"`
	Restored     uint64                `json:"settings_restored"`
	Prepared     uint64                `json:"statements_prepared_again"`
	Refused      uint64                `json:"refused"`
	LostSafe     uint64                `json:"lost_safe"`
	LostDoubt    uint64                `json:"lost_in_doubt"`
	LostSilent   uint64                `json:"lost_unnoticed"`
	Cancels      uint64                `json:"cancels"`
	Paused       uint64                `json:"paused"`
	TimedOut     uint64                `json:"idle_in_transaction"`
	Discarded    uint64                `json:"servers_discarded"`
	Held         int                   `json:"held"`
	Turned       uint64                `json:"turned_away"`
	Pinned       map[session.Cause]int `json:"pinned"`
	Statements   int                   `json:"statements"`
	StatementMem int                   `json:"statement_bytes"`
	Hosts        []HostStats           `json:"hosts"`
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

// shost is a db host as the front knows it.
type shost struct {
	name    string
	address string
	pools   map[poolKey]*spool
}

type poolKey struct{ database, user string }

// spool is the connections to one host for one database and user.
type spool struct {
	host    *shost
	key     poolKey
	idle    []*server // the one used last is at the end
	open    int       // or being opened
	dialing int       // being opened
	kept    int       // linked to sessions that keep them: pinned, or in session mode
	queue   session.Queue
}

// NewSessions returns a front that asks facade where transactions go.
func NewSessions(e *loop.Engine, f *dispatch.Dispatcher, c clock.Clock, names Names, l SessionLimits) *Sessions {
	s := &Sessions{
		engine: e, facade: f, clock: c, names: names, clients: map[*sclient]struct{}{}, keys: map[uint64]*sclient{},
		hosts: map[string]*shost{}, pinned: map[session.Cause]int{}, paused: map[*loop.PausableConn]func() bool{}, seed: maphash.MakeSeed(),
		catalogue: session.NewCatalogue(l.Bytes), addresses: make(chan map[string]string, 1),
	}
	s.addresses <- map[string]string{}
	s.limits.Store(&l)
	return s
}

// Break switches a guarantee off: settings, statements, cancel or position. It is there so
// that what checks the guarantee can be seen to fail.
func (f *Sessions) Break(guarantee string) { f.broken.Store(guarantee) }

// SetLimits takes other bounds and pools for what comes from now on.
func (f *Sessions) SetLimits(l SessionLimits) {
	f.limits.Store(&l)
	f.onLoop(func() { f.catalogue.SetMost(l.Bytes) })
}

// SetAddress tells where a host is; "" forgets it. Connections on which nothing is due are closed.
func (f *Sessions) SetAddress(name, address string) {
	all := <-f.addresses
	changed := all[name] != address
	if all[name] = address; address == "" {
		delete(all, name)
	}
	f.addresses <- all
	if changed {
		f.onLoop(func() { f.moved(name, address) })
	}
}

// address is where a host is. It is known here before the decisions know the host.
func (f *Sessions) address(name string) string {
	all := <-f.addresses
	defer func() { f.addresses <- all }()
	return all[name]
}

// CloseIdle closes the connections to a host on which nothing is due.
func (f *Sessions) CloseIdle(name string) {
	f.onLoop(func() {
		if h := f.hosts[name]; h != nil {
			f.closeIdle(h)
		}
	})
}

func (f *Sessions) closeIdle(h *shost) {
	for _, p := range h.pools {
		for _, s := range slices.Clone(p.idle) {
			s.wire.Close()
		}
	}
}

// moved forgets what was known of a host under its old address; sessions that wait for it choose anew.
func (f *Sessions) moved(name, address string) {
	h := f.hosts[name]
	if h == nil || h.address == address {
		return
	}
	delete(f.hosts, name)
	h.address = ""
	f.closeIdle(h)
	for _, p := range h.pools {
		for w := p.queue.Next(0, nil); w != nil; w = p.queue.Next(0, nil) {
			w.Of.(*sclient).again(dispatch.Outcome{Code: dispatch.NotSent})
		}
	}
}

// onLoop does something on the loop, later.
func (f *Sessions) onLoop(do func()) {
	if l, ok := f.loop.Load().(gnet.EventLoop); ok {
		_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			do()
			return nil
		}))
	}
}

// Accept makes the handler of a connection; it is called on the event loop.
func (f *Sessions) Accept(g gnet.Conn) (loop.Handler, []byte, gnet.Action) {
	f.loop.CompareAndSwap(nil, g.EventLoop())
	f.last++
	c := &sclient{front: f, number: f.last, since: f.clock.Now()}
	c.waiter.Of = c
	c.wire = loop.NewPausableConn(f.engine, g, c)
	l := f.limits.Load()
	if len(f.clients) >= l.Clients {
		f.full.Printf("sessions: %d client connections are open, one more is sent away", len(f.clients))
		if len(f.clients) >= l.Clients+l.Clients/8+1 {
			return nil, nil, gnet.Close
		}
		f.clients[c] = struct{}{}
		return c, nil, c.farewell(stateRefused, "too many connections", f.after())
	}
	f.clients[c] = struct{}{}
	if f.over || f.drain {
		return c, nil, c.farewell(stateStarting, "the pooler restarts", "")
	}
	return c, nil, gnet.None
}

func (f *Sessions) after() string { return advice(f.limits.Load().After) }

// advice words when to come back; "" where there is none.
func advice(after float64) string {
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
func (f *Sessions) pool(name, address string, k poolKey) *spool {
	h := f.hosts[name]
	if h == nil || h.address != address {
		h = &shost{name: name, address: address, pools: map[poolKey]*spool{}}
		f.hosts[name] = h
	}
	p := h.pools[k]
	if p == nil {
		p = &spool{host: h, key: k}
		h.pools[k] = p
	}
	return p
}

// spare closes the server connection that has been unused for longest, to make room for one to another host.
func (f *Sessions) spare() bool {
	var oldest *server
	for _, h := range f.hosts {
		for _, p := range h.pools {
			if len(p.idle) > 0 && (oldest == nil || p.idle[0].since < oldest.since) {
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
func (f *Sessions) Drain() {
	f.onLoop(func() {
		f.drain = true
		for c := range f.clients {
			c.leaveIfIdle()
		}
	})
}

// Cut ends every client with an error; what it has open is rolled back with its server connection.
func (f *Sessions) Cut() {
	f.onLoop(func() {
		f.over = true
		for c := range f.clients {
			text := "the pooler restarts; what was under way may have run"
			if c.phase == phaseHeld {
				text = "the pooler restarts; what waited did not run"
			}
			if !c.gone && c.farewell(stateShutdown, text, "") == gnet.Close {
				c.wire.Close()
			}
		}
	})
}

// Sweep does what is due by time; call it every SweepEvery.
func (f *Sessions) Sweep() { f.onLoop(f.sweep) }

func (f *Sessions) sweep() {
	now := f.clock.Now()
	for _, h := range f.hosts {
		listed := true
		for _, p := range h.pools {
			if p.queue.Len() > 0 {
				p.queue.Late(now, func(w *session.Waiter) { w.Of.(*sclient).late() })
				if listed = listed && f.facade.IsActive(h.name); !listed { // it drains: who waits for it chooses anew
					for w := p.queue.Next(0, nil); w != nil; w = p.queue.Next(0, nil) {
						w.Of.(*sclient).again(dispatch.Outcome{Code: dispatch.NotSent})
					}
				}
			}
			if p.queue.Len() > 0 { // room may have come to be elsewhere
				p.serve(f)
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
		var slowest *sclient
		for c := range f.clients {
			if slowest == nil || c.wire.UnsentBytes() > slowest.wire.UnsentBytes() {
				slowest = c
			}
		}
		if slowest == nil || slowest.wire.UnsentBytes() == 0 {
			return
		}
		unsent -= slowest.wire.UnsentBytes()
		f.full.Printf("sessions: a client is cut off with %d bytes that it does not take, %d of all clients", slowest.wire.UnsentBytes(), unsent)
		slowest.gone = true
		slowest.wire.Close()
	}
}

// sweepIdle retires connections well before the host may close them: one that crosses a close loses its request.
func (f *Sessions) sweepIdle(p *spool, now float64) {
	s := f.limits.Load().poolFor(p.key.database, p.key.user)
	if s == nil {
		s = &PoolSettings{}
	}
	for _, v := range slices.Clone(p.idle) {
		if v.old(s, now) || p.host.address == "" {
			v.wire.Close()
		}
	}
	if len(p.idle) > 0 && !f.facade.IsActive(p.host.name) {
		f.closeIdle(p.host)
	}
}

// watch pauses a source until its peer has taken what waits for it.
func (f *Sessions) watch(w *loop.PausableConn, ok func() bool) {
	if _, there := f.paused[w]; there {
		return
	}
	f.onLoop(func() { // not from within the connection's own Traffic
		if _, there := f.paused[w]; there || ok() || !w.Pause() {
			return
		}
		f.stats.Paused++
		f.paused[w] = ok
		f.resume()
	})
}

func (f *Sessions) resume() {
	if f.resuming || len(f.paused) == 0 {
		return
	}
	f.resuming = true
	time.AfterFunc(resumeEvery, func() {
		f.onLoop(func() {
			f.resuming = false
			for w, ok := range f.paused {
				if ok() {
					delete(f.paused, w)
					w.Resume(f.loop.Load().(gnet.EventLoop))
				}
			}
			f.resume()
		})
	})
}

// Stats returns what the front holds and did.
func (f *Sessions) Stats() SessionStats {
	out := make(chan SessionStats, 1)
	if f.loop.Load() == nil {
		return SessionStats{Pinned: map[session.Cause]int{}}
	}
	f.onLoop(func() {
		s := f.stats
		s.Clients, s.Servers = len(f.clients), f.servers
		s.Pinned = map[session.Cause]int{}
		for k, v := range f.pinned {
			s.Pinned[k] = v
		}
		for c := range f.clients {
			if c.server != nil {
				s.Linked++
			}
		}
		for _, h := range f.hosts {
			for k, p := range h.pools {
				s.Waiting += p.queue.Len()
				s.Idle += len(p.idle)
				s.Hosts = append(s.Hosts, HostStats{h.name, k.database, k.user, p.open, len(p.idle), p.queue.Len()})
			}
		}
		slices.SortFunc(s.Hosts, func(a, b HostStats) int {
			if a.Host != b.Host {
				return slices.Compare([]byte(a.Host), []byte(b.Host))
			}
			return slices.Compare([]byte(a.Database+"\x00"+a.User), []byte(b.Database+"\x00"+b.User))
		})
		if f.homes != nil {
			s.Held = f.tenants.Held()
		}
		s.Statements, s.StatementMem = f.catalogue.Len(), f.catalogue.Bytes()
		out <- s
	})
	select {
	case s := <-out:
		return s
	case <-time.After(time.Second):
		return SessionStats{Pinned: map[session.Cause]int{}}
	}
}

// hash is of one reported parameter; the sum over all tells two sets apart.
func (f *Sessions) hash(name, value string) uint64 {
	var h maphash.Hash
	h.SetSeed(f.seed)
	h.WriteString(name)
	h.WriteByte(0)
	h.WriteString(value)
	return h.Sum64()
}

// secret draws a key for cancel requests that no client has.
func (f *Sessions) secret(c *sclient) {
	for {
		c.key = cancelKey(c.number)
		if f.keys[c.key] == nil {
			f.keys[c.key] = c
			return
		}
	}
}

// cancel carries a cancel request to the host that runs the client's query. The server connection is not given to
// another session before the host has dealt with it, so that it can't hit the next one's query.
func (f *Sessions) cancel(key uint64) {
	c := f.keys[key]
	if c == nil || c.gone {
		return
	}
	switch c.phase {
	case phaseRouting, phaseQueued: // nothing of it ran, nor will it
		c.waiter.Leave()
		call := c.call
		c.call = nil
		call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
		c.unhold()
		c.cancelled()
		c.proceed()
		return
	case phaseHeld:
		c.unhold()
		c.cancelled()
		c.proceed()
		return
	case phaseSyncing, phaseTurned: // once the connection is the session's own again, or nobody's
		c.hit = true
		return
	}
	if c.server == nil || c.pipe.Due() == 0 {
		return
	}
	s := c.server
	f.stats.Cancels++
	s.cancels++
	if f.broken.Load() == "cancel" {
		s.cancels = -1 << 30
	}
	address, connect := s.pool.host.address, f.limits.Load().Connect
	b := make([]byte, 16)
	binary.BigEndian.PutUint32(b, 16)
	binary.BigEndian.PutUint32(b[4:], codeCancel)
	binary.BigEndian.PutUint32(b[8:], s.pid)
	binary.BigEndian.PutUint32(b[12:], s.key)
	go func() {
		if f.broken.Load() == "cancel" {
			time.Sleep(10 * time.Millisecond)
		}
		err := deliver(address, b, connect)
		f.onLoop(func() {
			if s.cancels--; err != nil { // it may still arrive
				slog.Warn("sessions: a cancel request was not delivered", "host", s.pool.host.name, "error", err)
				s.worn = true
			}
			if s.cancels == 0 && s.client == nil && !s.dead {
				s.rest()
			}
		})
	}()
}
