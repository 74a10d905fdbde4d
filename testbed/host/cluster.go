// Package host is a stand-in for a group of PostgreSQL db hosts: a primary and its replicas with a log, positions and
// lag, and on each connection true session state. It speaks the protocol through pgproto3, not through the pooler's
// parsers, and reads SQL with a small reader of its own, so that a fault there is not tested against itself.
//
// A client that names no database of the cluster has the data that all such clients share: tables of a ref and a payload, in
// which a second INSERT of a ref is one more version. Cluster.Database makes a database; who names it at startup has what
// follows, and with Cluster.Strict who names another is refused with 3D000.
//
// # As PostgreSQL
//
// Tables have typed columns (text, bigint, integer, boolean, timestamptz, pg_lsn, numeric and a few more), a primary key of any
// columns or none, defaults, NOT NULL, a replica identity, and may be unlogged. SELECT has joins, subqueries, aggregates, ORDER BY
// and LIMIT; INSERT has ON CONFLICT, and all three that write have RETURNING. Types of parameters are inferred, results come in
// either form. Transactions read what is committed, or with REPEATABLE READ a snapshot. A row that is written, or read FOR UPDATE
// or FOR SHARE, is locked until the transaction ends; who waits is ended by lock_timeout (55P03), statement_timeout and a cancel
// (57014), pg_terminate_backend (57P01) or as a deadlock (40P01). Those who hold a row to read let others in that read, past one who
// waits to write. pg_advisory_lock and its kin lock numbers.
//
// Logical replication dials the publisher by the connection string, with replication=database, and so passes through any proxy.
// A subscription copies each table in one transaction with a temporary slot, again from nothing where the link broke, then
// follows the slot's commits in their order, each in one transaction that notes the origin's position. A duplicate key stops it
// and it tries again after Replication.Retry, or disables itself with disable_on_error; an UPDATE or DELETE of a row that is
// missing is passed over. origin = none leaves out what the publisher itself has from another. Ordinary triggers do not fire in
// apply or copy. DDL, sequences and large objects do not come along; new tables only after REFRESH PUBLICATION, and only if they
// are there. UPDATE and DELETE of a published table without a replica identity are refused (55000). A slot waits at its making for
// the transactions that write, belongs to one primary and dies with its role; a restart of the host it survives. Publications,
// subscriptions and how far these are are data of the group and go on at the new primary. A link of which nothing is heard is
// given up by each end after Replication.Timeout; until then the publisher calls the slot active (55006).
//
// A failover may lose the last commits (Cluster.FailLosing): also of a subscription's apply, which goes back with them, whereas
// the publisher's slot has moved on and does not send them again. Whoever had them already keeps them. Cluster.Lost tells them.
//
// # Refusing the writes of a closed tenant
//
// ALTER DATABASE ... SET default_transaction_read_only holds for new sessions only, and any client may set it back; REVOKE CONNECT
// holds for new sessions only, and not for owners; neither lets a transaction that is open end before the close is told, and a
// session that a pooler keeps never sees them. A trigger on each table that reads the fence's row in every writing transaction
// has none of this, and does not fire in apply; so it alone is here: CREATE FUNCTION ashstand.guard() and CREATE TRIGGER ... EXECUTE
// FUNCTION ashstand.guard(). The body is not run: the stand-in does what it has to say, that is to fail with 55000 "tenant is closed"
// where a row of ashstand.fence is closed, and to lock these rows where the body has FOR SHARE or FOR KEY SHARE. Without that lock a
// transaction that passed the guard can commit after the close; so it can in PostgreSQL. TRUNCATE wants a trigger of its own.
//
// # Not as PostgreSQL
//
// Positions of the log are microseconds of the clock, the same for all databases of a group, and never go back, not even by a
// failover that loses commits. DDL takes effect at once on all hosts, is not taken back by ROLLBACK, and is never lost; the
// same holds for publications, subscriptions and sequences. Locks taken after a savepoint are held to the transaction's end.
// Text is sorted by its bytes. An advisory lock counts once however often it is taken, and none is taken on a replica. TRUNCATE locks
// row by row. ashstand.mark() is, as ashstand.guard(), not run but done: AFTER INSERT OR UPDATE OR DELETE ... FOR EACH ROW it notes
// changed keys in ashstand.touched. The stream's messages are JSON in place of pgoutput, the copies of a subscription's tables run one by one before its
// stream, in the same worker. There are no roles, no column lists, row filters, FOR TABLES IN SCHEMA, two-phase commits, UNIQUE,
// CHECK or foreign keys, no LOCK TABLE, WITH, GRANT or REVOKE (0A000); statement_timeout ends waits for locks only. What a table's
// versions were is kept for judges and never vacuumed; an unlogged table is empty after a failover.
package host

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Cluster is one group: its data and its members.
type Cluster struct {
	Group uint64

	mu      sync.Mutex
	rows    map[string][]version // by schema and ref, in the order of commits
	last    float64              // position of the last commit
	hosts   []*Host
	primary *Host
	tables  map[string]bool
	commits int
	rng     *rand.Rand

	observer    atomic.Pointer[Observer]      // nil: nobody
	rejected    atomic.Pointer[RejectionSeen] // nil: nobody
	handshakes  atomic.Pointer[HandshakeSeen] // nil: nobody
	serviceTime atomic.Pointer[ServiceTime]   // nil: none
	readCheck   atomic.Pointer[ReadCheck]     // nil: reads are answered from what there is
	databases   map[string]*Database
	strict      bool
	oids        uint32
	xids        uint32
	epoch       int // counts the primaries
	locks       map[lockKey]map[*transaction]lockMode
	freed       chan struct{}         // closed when locks are let go
	committed   chan struct{}         // closed when there is a commit
	writers     map[*transaction]bool // of databases, that have written and not ended
	recent      []*logged             // the last commits
	lost        []*logged
	replication Replication
}

// Observer is told of each query string that a host gets whole. It must not block.
type Observer func(host, text string, at time.Time)

// Observe sets who is told.
func (c *Cluster) Observe(o Observer) { c.observer.Store(&o) }

func (c *Cluster) observe(host, text string) {
	if o := c.observer.Load(); o != nil {
		(*o)(host, text, time.Now())
	}
}

// HandshakeSeen is told of each connection whose first message a host gets. It must not block.
type HandshakeSeen func(host string, at time.Time)

// ObserveHandshakes sets who is told.
func (c *Cluster) ObserveHandshakes(o HandshakeSeen) { c.handshakes.Store(&o) }

func (c *Cluster) observeHandshake(host string) {
	if o := c.handshakes.Load(); o != nil {
		(*o)(host, time.Now())
	}
}

// RejectionSeen is told of each query string that a host rejected before anything of it ran. It must not block.
type RejectionSeen func(host, text string)

// ObserveRejections sets who is told.
func (c *Cluster) ObserveRejections(o RejectionSeen) { c.rejected.Store(&o) }

// ServiceTime is how long a host works on a query string.
type ServiceTime func(host, text string) time.Duration

// SetServiceTimes has hosts take their time for each query string. A write at a replica is rejected at once.
func (c *Cluster) SetServiceTimes(of ServiceTime) { c.serviceTime.Store(&of) }

// ReadCheck says which position a statement needs of a replica, and for how long the replica waits for it before it rejects the
// statement with 72000. ok is false where any position will do.
type ReadCheck func(text string) (position float64, wait time.Duration, ok bool)

// CheckReads has replicas check by themselves whether they have what a read needs.
func (c *Cluster) CheckReads(check ReadCheck) { c.readCheck.Store(&check) }

// Write commits a row at the primary, as no client's.
func (c *Cluster) Write(ref, payload string) {
	c.mu.Lock()
	primary := c.primary
	c.mu.Unlock()
	c.commit(primary, []write{{rowKey("public", "entries", ref), payload}})
}

// version is a row as of a commit.
type version struct {
	at      float64 // Unix milliseconds
	payload string
}

// NewCluster returns an empty group.
func NewCluster(group, seed uint64) *Cluster {
	return &Cluster{
		Group: group, rows: map[string][]version{}, tables: map[string]bool{"entries": true},
		rng: rand.New(rand.NewPCG(seed, group)), databases: map[string]*Database{}, locks: map[lockKey]map[*transaction]lockMode{},
		freed: make(chan struct{}), committed: make(chan struct{}), writers: map[*transaction]bool{},
		replication: Replication{Retry: 5 * time.Second, Timeout: time.Minute, ConnectTime: 10 * time.Second},
	}
}

// Faults is what goes wrong on a host: each a chance by statement or connection, from 0 to 1.
type Faults struct {
	CutBefore     float64       // the connection breaks before a commit takes effect
	CutAfter      float64       // and after it did, before the answer
	CutAnswer     float64       // in the middle of an answer, at any byte
	CutIdle       float64       // between two requests
	CutCopy       float64       // in the middle of COPY data
	AfterRow      float64       // an error follows the whole result: the statement ran all the same
	AfterRowState string        // its SQLSTATE
	Stall         float64       // nothing is said for StallFor
	StallFor      time.Duration //
	Slow          float64       // an answer takes SlowFor
	SlowFor       time.Duration //
	Refuse        float64       // a new connection is closed at once
}

// Counts says how often each thing occurred.
type Counts struct {
	mu sync.Mutex
	of map[string]int
}

// Add counts one.
func (c *Counts) Add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.of == nil {
		c.of = map[string]int{}
	}
	c.of[name]++
}

// All returns a copy.
func (c *Counts) All() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for k, v := range c.of {
		out[k] = v
	}
	return out
}

// Host is one member.
type Host struct {
	Name    string
	Address string
	Counts  Counts

	cluster *Cluster
	listen  net.Listener
	conns   sync.Map // *conn to nothing
	open    atomic.Int64
	cancels sync.Map // key data to *conn
	pid     atomic.Uint32
	off     atomic.Bool        // as down
	slots   map[string]*slot   // under the cluster's lock
	senders map[uint32]*sender // by pid, under the cluster's lock

	mu       sync.Mutex
	lag      time.Duration
	position float64 // of a replica: never goes back
	faults   Faults
	draining time.Time // since when; zero: it is not
	down     bool
	since    float64 // Unix milliseconds of its last start
	most     int
	capacity float64 // statements a second when warm; 0: no bound
	free     time.Time
	coldest  float64     // the most of what it stands that was sent to it
	recent   []time.Time // of what was sent to it while it was cold
}

// Cold is how a host starts: from this share of its capacity, warm after so long, and overloaded by so many times what
// it stands over such a span, as the rules have it.
const (
	coldFrom   = 0.24
	coldFor    = 15 * time.Second
	coldFactor = 3
	coldSpan   = 1500 * time.Millisecond
)

// SetCapacity bounds what the host can do in a second; what comes beyond waits.
func (h *Host) SetCapacity(perSecond float64) {
	h.mu.Lock()
	h.capacity = perSecond
	h.mu.Unlock()
}

// WarmupShare is the part of its capacity that a host which started a while ago has.
func WarmupShare(age time.Duration) float64 {
	return coldFrom + (1-coldFrom)*min(1, max(0, float64(age)/float64(coldFor)))
}

// work takes a statement's turn on the host: how long it waits, and whether the host takes it at all.
func (h *Host) work() (wait time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.capacity <= 0 {
		return 0, true
	}
	now := time.Now()
	able := h.capacity
	if h.since > 0 {
		if age := time.Duration((Now() - h.since) * 1e6); age < coldFor {
			able *= WarmupShare(age)
			h.recent = append(h.recent, now)
			for len(h.recent) > 0 && now.Sub(h.recent[0]) > coldSpan {
				h.recent = h.recent[1:]
			}
			used := float64(len(h.recent)) / (coldFactor * able * coldSpan.Seconds())
			h.coldest = max(h.coldest, used)
			if used > 1 {
				h.Counts.Add("cold_overload")
			}
		}
	}
	if h.free.Before(now) {
		h.free = now
	}
	if wait = h.free.Sub(now); wait > time.Second {
		return 0, false
	}
	h.free = h.free.Add(time.Duration(1e9 / able))
	return h.free.Sub(now), true
}

// WarmupLoad is the most work sent to the host while it was cold, as a share of what it stands, since it was asked last.
func (h *Host) WarmupLoad() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.coldest
	h.coldest = 0
	return c
}

// Now is the time by which positions are told, in Unix milliseconds.
func Now() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

// Add starts a member that listens at address ("127.0.0.1:0" for any port). The first one is the primary.
func (c *Cluster) Add(name, address string) (*Host, error) {
	h := &Host{Name: name, cluster: c, most: 20000, slots: map[string]*slot{}, senders: map[uint32]*sender{}}
	if err := h.start(address); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
	if c.primary == nil {
		c.primary = h
	}
	return h, nil
}

func (h *Host) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.Name, err)
	}
	h.mu.Lock()
	h.listen = l
	h.mu.Unlock()
	if h.Address == "" { // a host that starts again has the address that others read
		h.Address = l.Addr().String()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.accept(c)
		}
	}()
	return nil
}

func (h *Host) accept(c net.Conn) {
	h.mu.Lock()
	refuse := h.down || h.chance(h.faults.Refuse)
	h.mu.Unlock()
	if refuse {
		h.Counts.Add("refused_dial")
		abort(c)
		return
	}
	s := newConn(h, c)
	h.conns.Store(s, nil)
	h.open.Add(1)
	go func() {
		defer func() {
			h.conns.Delete(s)
			h.open.Add(-1)
		}()
		s.serve()
	}()
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// chance is called with no lock on the cluster held.
func (h *Host) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.cluster.rng.Float64() < p
}

func (h *Host) fault() Faults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

// SetFaults changes what goes wrong from now on.
func (h *Host) SetFaults(f Faults) {
	h.mu.Lock()
	h.faults = f
	h.mu.Unlock()
}

// SetLag says how far behind the host is as a replica.
func (h *Host) SetLag(d time.Duration) {
	h.mu.Lock()
	h.lag = d
	h.mu.Unlock()
}

// FallBack has the host lose what it applied in the last span, as one that comes back from an old copy: its position goes back, which a
// position never should, and it lags by so much until SetLag says otherwise. It means nothing while the host is the primary.
func (h *Host) FallBack(by time.Duration) {
	h.mu.Lock()
	h.lag = by
	h.position = min(h.position, Now()-float64(by)/1e6)
	h.mu.Unlock()
}

// Drain says that the host was told to finish what it has, or, with false, that it serves again.
func (h *Host) Drain(on bool) {
	h.mu.Lock()
	if h.draining = (time.Time{}); on {
		h.draining = time.Now()
	}
	h.mu.Unlock()
}

// Primary says whether the host takes writes.
func (h *Host) Primary() bool {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.cluster.primary == h
}

// Open is how many connections it has.
func (h *Host) Open() int { return int(h.open.Load()) }

// Cut resets every connection.
func (h *Host) Cut() {
	h.conns.Range(func(s, _ any) bool {
		abort(s.(*conn).net)
		return true
	})
}

// Stop ends the host: connections are reset, new ones refused.
func (h *Host) Stop() {
	h.mu.Lock()
	h.down = true
	listen := h.listen
	h.mu.Unlock()
	h.off.Store(true)
	_ = listen.Close()
	h.Cut()
}

// Restart starts a host that was stopped, at the same address.
func (h *Host) Restart() error {
	h.mu.Lock()
	h.down, h.since, h.draining = false, math.Floor(Now()), time.Time{}
	h.mu.Unlock()
	h.off.Store(false)
	return h.start(h.Address)
}

func (h *Host) isDown() bool { return h.off.Load() }

// Since is its last start in Unix milliseconds; 0: with the group.
func (h *Host) Since() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since
}

// Fail takes the primary's role from its holder; its connections are reset where cut is set. After gap the member to
// takes it with all that was committed. The slots of the old primary die with its role, unlogged tables are empty on the
// new one, and transactions that are open on the old one can not commit.
func (c *Cluster) Fail(to *Host, gap time.Duration, cut bool) { c.FailLosing(to, 0, gap, cut) }

// FailLosing is Fail where the new primary lacks the last n commits that the old one had acknowledged, of at most
// 4096. It gives how many were lost; Lost has them.
func (c *Cluster) FailLosing(to *Host, n int, gap time.Duration, cut bool) (lost int) {
	c.mu.Lock()
	old := c.primary
	c.primary = nil
	c.epoch++
	c.locks = map[lockKey]map[*transaction]lockMode{}
	c.writers = map[*transaction]bool{}
	close(c.freed)
	c.freed = make(chan struct{})
	for _, db := range c.databases {
		for _, s := range db.subscriptions {
			s.kick()
		}
		db.wal, db.walChanges = nil, 0
	}
	if old != nil {
		old.slots = map[string]*slot{}
	}
	c.mu.Unlock()
	if cut && old != nil {
		old.Cut()
	}
	time.Sleep(gap)
	c.mu.Lock()
	defer c.mu.Unlock()
	lost = c.lose(n)
	for _, db := range c.databases {
		for _, t := range db.tables {
			if t.unlogged {
				t.rows = newRows()
			}
		}
		for _, s := range db.subscriptions {
			s.kick()
		}
	}
	c.primary = to
	return lost
}

// Close ends all hosts and subscriptions.
func (c *Cluster) Close() {
	c.mu.Lock()
	hosts := append([]*Host(nil), c.hosts...)
	var subs []*subscription
	for _, db := range c.databases {
		for _, s := range db.subscriptions {
			subs = append(subs, s)
		}
	}
	c.mu.Unlock()
	for _, s := range subs {
		s.end()
	}
	for _, h := range hosts {
		h.Stop()
	}
}

// Hosts are the members.
func (c *Cluster) Hosts() []*Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Host(nil), c.hosts...)
}

// Leader is the primary; nil: there is none.
func (c *Cluster) Leader() *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.primary
}

// stand is the host's position: what it has applied.
func (h *Host) stand() (position float64, primary bool) {
	h.cluster.mu.Lock()
	primary = h.cluster.primary == h
	none := h.cluster.primary == nil
	last := h.cluster.last
	h.cluster.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := Now()
	at := now - float64(h.lag)/1e6
	switch {
	case primary:
		at = max(now, last)
	case none: // positions stand still
		at = min(at, max(h.position, last))
	}
	h.position = max(h.position, at)
	return h.position, primary
}

// tells is what the host says beside an answer.
func (h *Host) tells() (part string, position int64, gauges string) {
	at, primary := h.stand()
	part, x1 := "replica", 0
	if primary {
		part, x1 = "master", 1
	}
	return part, int64(at), fmt.Sprintf("x0=%.3f,x1=%d,inflight=%d,util=0.1", math.Floor(at)/1e3, x1, h.Open())
}

// write is one row that a transaction has written.
type write struct{ key, payload string }

// commit makes writes permanent and returns their position. ok is false where the host may not write any more.
func (c *Cluster) commit(h *Host, ws []write) (at float64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(ws) == 0 {
		return 0, true
	}
	if c.primary != h {
		return 0, false
	}
	at = c.advance()
	for _, w := range ws {
		c.rows[w.key] = append(c.rows[w.key], version{at, w.payload})
	}
	r := &logged{at: at, writes: ws, host: h.Name}
	c.remember(r)
	c.decode(r)
	return at, true
}

// read returns a row as of a position.
func (c *Cluster) read(key string, at float64) (payload string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	vs := c.rows[key]
	i := sort.Search(len(vs), func(i int) bool { return vs[i].at > at })
	if i == 0 {
		return "", false
	}
	return vs[i-1].payload, true
}

// Versions is how often a row was written: more than once for one request is a duplicate.
func (c *Cluster) Versions(schema, table, ref string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rows[rowKey(schema, table, ref)])
}

// Payloads are those that a row had, in the order of their commits.
func (c *Cluster) Payloads(schema, table, ref string) (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.rows[rowKey(schema, table, ref)] {
		out = append(out, v.payload)
	}
	return out
}

// Rows is how many rows there are.
func (c *Cluster) Rows() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rows)
}

func rowKey(schema, table, ref string) string { return schema + "\x00" + table + "\x00" + ref }

// Seed puts so many rows there from the beginning, with the refs seed-0, seed-1 and so on.
func (c *Cluster) Seed(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range n {
		c.rows[rowKey("public", "entries", fmt.Sprint("seed-", i))] = []version{{1, fmt.Sprint("payload of ", i)}}
	}
}

// Duplicates is how many of the rows whose ref fits were written more than once.
func (c *Cluster) Duplicates(fits func(ref string) bool) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, vs := range c.rows {
		if len(vs) > 1 && fits(key) {
			n++
		}
	}
	return n
}
