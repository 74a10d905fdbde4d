package pg

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/net/loop"
	"ashstand/internal/sqlcomment"
)

// Names are the operators' words on the sockets.
type Names struct {
	User, Database         string
	Role, Position, Gauges string // parameters that a db host reports
	Primary, Replica       string // values of Role
}

// Platform holds the names that the platform uses.
var Platform = Names{
	User: "web", Database: "orders", Role: "part", Position: "caught_up_to", Gauges: "gauges",
	Primary: "master", Replica: "replica",
}

// PoolLimits bound the pool.
type PoolLimits struct {
	Connections    int           // that may be open or being opened, to all hosts together
	Bytes          int           // of answers that are not whole yet, on all connections together
	ConnectTimeout time.Duration // a connection not up by then counts as none
	IdleTimeout    time.Duration // a db host closes a connection that was idle for so long
}

// Pool holds the connections to db hosts.
type Pool struct {
	// Listed says whether anything new, a handshake included, may go to a host. It is to be set before the first use;
	// nil: to every host.
	Listed func(name string) bool

	engine *loop.Engine
	clock  clock.Clock
	names  Names

	probeRejectionLog loop.ThrottledLog
	unreadBytes       int // on the loop: bytes of answers that are not whole yet

	mu               sync.Mutex
	limits           PoolLimits
	hosts            map[string]*host
	openConns        int
	staleness        staleness
	onLateAnswer     LateAnswerFunc
	lateAnswerWindow time.Duration // lateAnswerWindow, but in tests
}

// LateAnswerFunc is told of an answer whose attempt was given up in the same moment: it serves nobody, but it teaches. sent is when
// its request was written. It is called on a goroutine of its own.
type LateAnswerFunc func(host string, sent float64, write bool, o dispatch.Outcome)

// lateAnswerWindow is how long a connection whose request was given up is listened to. The platform counts as known what an answer
// tells 100 ms after it was written, also where the pooler gave it up meanwhile.
const lateAnswerWindow = 100 * time.Millisecond

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

// OnLateAnswer has late answers told to late. It is to be set before the first request.
func (p *Pool) OnLateAnswer(late LateAnswerFunc) { p.onLateAnswer = late }

// SetLimits takes other bounds for what is opened and kept from now on.
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
// dropped: a request written to it from then on may have run for all one can tell. Called with the lock held.
func (p *Pool) usable(c *conn) bool {
	idle := p.clock.Now() - c.idleSince
	return (p.limits.IdleTimeout <= 0 || idle < clock.Millis(p.limits.IdleTimeout)*0.7) && idle < p.staleness.maxIdleMillis()
}

// conn is a connection to a db host. One request owns it, or it lies in the pool.
type conn struct {
	pool     *Pool
	host     *host
	name     string
	gnetConn gnet.Conn
	reused   bool // it carried a request before
	scanFrom int  // on the loop: where to go on looking for the end of the response
	// on the loop: a request was written, so what comes is its answer. That an exchange waits is not enough: its request
	// may still be on the way to the loop, and what comes then belongs to the last one.
	awaitingReply bool
	countedBytes  int             // on the loop: what of the pool's unread bytes lies here
	onLateReply   func(*response) // on the loop: who wants to know what answers the last request, should that be given up; or nil

	mu             sync.Mutex
	pending        chan exchangeResult // of the exchange under way; nil: none
	requestWritten bool                // its last byte was handed to the kernel
	closed         bool
	idleSince      float64 // idle since
}

// exchangeResult is what an exchange waits for.
type exchangeResult struct {
	response response
	err      error // the connection broke or what came makes no sense
}

// errMalformed marks an answer that can't be read. Its request has run, and nothing else on its connection can be told
// from what is left of it.
var errMalformed = errors.New("spoilt")

var errUnsolicited = fmt.Errorf("%w: the db host spoke unasked", errMalformed)

// Traffic is called on the loop. A response stays in the connection's ring buffer until it is whole.
func (c *conn) Traffic(g gnet.Conn) gnet.Action {
	action := c.readResponse(g)
	p := c.pool
	c.countUnread(g.InboundBuffered())
	p.mu.Lock()
	most := p.limits.Bytes
	p.mu.Unlock()
	if most > 0 && p.unreadBytes > most && c.countedBytes > 0 {
		return c.failMalformed(errMessageLength)
	}
	return action
}

func (c *conn) countUnread(n int) {
	c.pool.unreadBytes += n - c.countedBytes
	c.countedBytes = n
}

func (c *conn) readResponse(g gnet.Conn) gnet.Action {
	n := g.InboundBuffered()
	b, err := g.Peek(n)
	if err != nil {
		return c.failMalformed(err)
	}
	if !c.awaitingReply { // notices and farewells come unasked; the latter end in a close
		if kind, _, rest, ok, err := nextMessage(b, maxServerMessageBytes); err == nil && (!ok || len(rest) == 0 && (kind == 'N' || kind == 'S')) {
			if ok {
				_, _ = g.Discard(n)
			}
			return gnet.None
		}
		return c.failMalformed(errUnsolicited)
	}
	end, at, err := findResponseEnd(b, c.scanFrom)
	if err == nil && end == 0 && n > maxResponseBytes {
		err = errMessageLength
	}
	if err != nil {
		return c.failMalformed(err)
	}
	if c.scanFrom = at; end == 0 {
		return gnet.None
	}
	r, err := parseResponse(b[:end], c.pool.names)
	if err != nil {
		return c.failMalformed(err)
	}
	_, _ = g.Discard(end)
	c.scanFrom, c.awaitingReply = 0, false
	if end == n {
		if c.deliver(exchangeResult{response: r}) {
			return gnet.None
		}
		if c.onLateReply != nil { // given up, but for this
			go c.onLateReply(&r)
		}
		return gnet.Close
	}
	// The answer is whole and good, but what came behind it belongs to no request: the connection ends here.
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if !c.deliver(exchangeResult{response: r}) && c.onLateReply != nil {
		go c.onLateReply(&r)
	}
	return gnet.Close
}

func (c *conn) failMalformed(err error) gnet.Action {
	if !errors.Is(err, errMalformed) {
		err = fmt.Errorf("%w: %w", errMalformed, err)
	}
	c.deliver(exchangeResult{err: err})
	return gnet.Close
}

// Closed is called on the loop.
func (c *conn) Closed(g gnet.Conn, err error) {
	c.countUnread(0)
	c.mu.Lock()
	if g.OutboundBuffered() > 0 { // it broke before the last byte was written
		c.requestWritten = false
	}
	c.closed = true
	c.mu.Unlock()
	if err == nil {
		err = errClosed
	}
	c.deliver(exchangeResult{err: err})
	p := c.pool
	p.mu.Lock()
	p.openConns--
	for i, o := range c.host.idle {
		if o == c {
			c.host.idle = append(c.host.idle[:i], c.host.idle[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
}

// deliver brings what came to the exchange that waits for it. false: none does, or no longer.
func (c *conn) deliver(e exchangeResult) bool {
	c.mu.Lock()
	due := c.pending
	c.pending = nil
	c.mu.Unlock()
	if due != nil {
		due <- e
	}
	return due != nil
}

func (c *conn) close() { _ = c.gnetConn.Close() }

// roundTrip writes once what build makes, on the loop and in the moment of the write, and waits for the response. Where build
// makes nothing, nothing is written, and the connection is as before. The second result tells whether the host may have
// got all of it; if not, nothing ran. late, unless nil, gets a response that comes as its request is given up.
func (c *conn) roundTrip(ctx context.Context, build func() []byte, late func(*response)) (e exchangeResult, wrote bool) {
	due := make(chan exchangeResult, 1)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return exchangeResult{err: errClosed}, false
	}
	c.pending, c.requestWritten = due, false
	c.mu.Unlock()
	if err := c.gnetConn.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		c.send(build, late, due)
		return nil
	})); err != nil {
		c.close()
		return exchangeResult{err: err}, false
	}
	select {
	case e = <-due:
	case <-ctx.Done():
		c.mu.Lock()
		if c.pending != due {
			c.mu.Unlock()
			e = <-due // it came at the same moment
			break
		}
		c.pending = nil
		c.mu.Unlock()
		c.abandon()
		return exchangeResult{err: ctx.Err()}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return e, c.requestWritten
}

// abandon ends a request that is given up: our sending at once, and the connection a little later. An answer that is on
// its way just now may say that its host is no longer the primary; closed over it, the pooler would never know.
func (c *conn) abandon() {
	p := c.pool
	if l := c.gnetConn.EventLoop(); l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		c.mu.Lock()
		gone := c.closed
		c.mu.Unlock()
		if gone {
			return nil
		}
		p.mu.Lock()
		full := p.openConns >= p.limits.Connections // its place is wanted
		p.mu.Unlock()
		if full || !c.awaitingReply || c.onLateReply == nil || c.gnetConn.OutboundBuffered() > 0 || syscall.Shutdown(c.gnetConn.Fd(), syscall.SHUT_WR) != nil {
			return l.Close(c.gnetConn)
		}
		time.AfterFunc(p.lateAnswerWindow, c.close)
		return nil
	})) != nil {
		c.close()
	}
}

// send runs on the loop. What was already there when the request went out can't be its answer: a second copy of the
// last one, noise, or the end of the connection, which then says nothing of the request.
func (c *conn) send(build func() []byte, late func(*response), due chan exchangeResult) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		c.deliver(exchangeResult{err: errClosed})
		return
	}
	var b []byte
	c.mu.Lock()
	if c.pending == due { // not given up meanwhile: what build asks is asked for this attempt
		b = build()
	}
	c.mu.Unlock()
	if b == nil {
		c.deliver(exchangeResult{err: errGateClosed})
		return
	}
	if c.gnetConn.InboundBuffered() > 0 || hasUnreadEvent(c.gnetConn) {
		c.deliver(exchangeResult{err: errClosed})
		_ = c.gnetConn.EventLoop().Close(c.gnetConn)
		return
	}
	c.awaitingReply, c.onLateReply = true, late
	if _, err := c.gnetConn.Write(b); err != nil {
		c.deliver(exchangeResult{err: err}) // and gnet closes the connection
		return
	}
	c.mu.Lock()
	c.requestWritten = !c.closed // what is left of it lies in the ring buffer, which Closed looks at
	c.mu.Unlock()
}

var (
	errGateClosed     = errors.New("the gate did not open")
	errClosed         = errors.New("the connection was closed")
	errUnknownHost    = errors.New("discovery has given no address for this host")
	errAddressChanged = errors.New("the host is at another address now")
)

// Acquire takes a connection from the pool, or dials one and waits until the host is ready for a query.
func (p *Pool) Acquire(ctx context.Context, name string) (edge.Conn, error) {
	c, err := p.acquire(ctx, name)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (p *Pool) acquire(ctx context.Context, name string) (c *conn, err error) {
	for err = errAddressChanged; err == errAddressChanged; { // the host moved while it was dialled: it is to be had elsewhere
		c, err = p.acquireOnce(ctx, name)
	}
	return c, err
}

func (p *Pool) acquireOnce(ctx context.Context, name string) (*conn, error) {
	c, h, old, err := p.reserve(name)
	for _, end := range old { // before the dial: it is their place that the new one has
		end()
	}
	if c != nil || err != nil {
		return c, err
	}
	return p.dial(ctx, name, h)
}

// reserve takes a connection from the pool, or a place for a new one. old ends those that are not to be used again.
func (p *Pool) reserve(name string) (c *conn, h *host, old []func(), err error) {
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
			return c, h, old, nil
		}
		old = append(old, c.close)
	}
	if p.openConns >= p.limits.Connections {
		end := p.evictOne()
		if end == nil {
			return nil, h, old, edge.ErrPoolExhausted
		}
		old = append(old, end)
	}
	p.openConns++
	return nil, h, old, nil
}

// evictOne makes room: it takes a dial that nobody waits for, else the connection that has been idle for longest, and
// returns what ends it. Called with the lock held.
func (p *Pool) evictOne() (end func()) {
	var from *host
	for _, h := range p.hosts {
		if h.abandonedDial != nil {
			end, h.abandonedDial = h.abandonedDial.cancel, nil
			return end
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

// dial waits for a new connection, up to the time in the settings and as long as the attempt is not given up. A dial
// that is given up goes on up to that time, one for each host, and its connection goes to the pool: the host has paid
// for it, and the next attempt would have it pay once more.
func (p *Pool) dial(ctx context.Context, name string, h *host) (*conn, error) {
	p.mu.Lock()
	connect := p.limits.ConnectTimeout
	p.mu.Unlock()
	if connect <= 0 {
		return p.connect(ctx, name, h)
	}
	// A time of its own: a dial that ran out of it says something of the host, an attempt that was given up nothing.
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), connect)
	type result struct {
		conn *conn
		err  error
	}
	up := make(chan result, 1)
	go func() {
		defer cancel()
		c, err := p.connect(own, name, h)
		up <- result{c, err}
	}()
	select {
	case r := <-up:
		return r.conn, r.err
	case <-ctx.Done():
	}
	this := &abandonedDial{cancel}
	p.mu.Lock()
	if h.abandonedDial == nil && p.hosts[name] == h {
		h.abandonedDial = this
	} else {
		cancel()
	}
	p.mu.Unlock()
	go func() {
		r := <-up
		p.mu.Lock()
		if h.abandonedDial == this {
			h.abandonedDial = nil
		}
		p.mu.Unlock()
		if r.err == nil {
			r.conn.release()
		}
	}()
	return nil, ctx.Err()
}

// connect dials and greets a host. Its place among the open connections is free again when it fails: at once where the
// loop never had it, else once it is closed.
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
	if err := p.checkUsable(c); err != nil { // a handshake is work too
		c.close()
		return nil, err
	}
	e, _ := c.roundTrip(ctx, func() []byte { return appendStartup(nil, p.names.User, p.names.Database) }, nil)
	if e.err == nil && e.response.sqlState == "" {
		if e.err = p.checkUsable(c); e.err == nil {
			return c, nil
		}
	}
	c.close()
	if e.err != nil {
		return nil, e.err
	}
	if e.response.sqlState == sqlStateTooManyConnections {
		return nil, fmt.Errorf("%w: %s", edge.ErrHostRejected, e.response.errorText)
	}
	return nil, fmt.Errorf("the db host turned the connection away: %s %s", e.response.sqlState, e.response.errorText)
}

// checkUsable says why a connection is not to be used, or made, any more: its host takes nothing new, or is elsewhere now.
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

// release gives the connection back.
func (c *conn) release() {
	p := c.pool
	c.mu.Lock()
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	keep := !c.closed && p.hosts[c.name] == c.host // else the host moved or is forgotten
	if keep {
		c.host.idle = append(c.host.idle, c)
	}
	p.mu.Unlock()
	c.mu.Unlock()
	if !keep {
		c.close()
	}
}

// Exchange is described at edge.Conn.
func (c *conn) Exchange(ctx context.Context, s *sqlcomment.Statement, gate edge.Gate) edge.Reply {
	begun, sent, write := c.pool.clock.Now(), 0.0, s.IsWrite
	e, wrote := c.roundTrip(ctx, func() []byte {
		wait, ok := gate()
		if !ok {
			return nil
		}
		sent = c.pool.clock.Now()
		return appendQuery(make([]byte, 0, len(s.Text)+16), func(b []byte) []byte { return s.AppendWithTimeout(b, wait) })
	}, func(r *response) {
		if late := c.pool.onLateAnswer; late != nil && outcome(r) != dispatch.Malformed {
			late(c.name, sent, write, c.pool.outcomeOf(r))
		}
	})
	if errors.Is(e.err, errGateClosed) {
		c.release()
		return edge.NotSent()
	}
	if c.reused && wrote {
		lost := e.err != nil && !errors.Is(e.err, errMalformed) && ctx.Err() == nil
		c.pool.mu.Lock()
		c.pool.staleness.record(begun, begun-c.idleSince, lost)
		c.pool.mu.Unlock()
	}
	if e.err != nil {
		code := dispatch.ConnectionLost
		switch {
		case !wrote && c.reused: // it was closed while it lay in the pool, which says nothing against the host
			code = dispatch.NotSent
		case !wrote:
			code = dispatch.NoConnection
		case errors.Is(e.err, errMalformed):
			code = dispatch.Malformed
		case errors.Is(e.err, context.DeadlineExceeded):
			code = dispatch.NoAnswer
		case errors.Is(e.err, context.Canceled):
			code = dispatch.Cancelled
		}
		return edge.Reply{Outcome: dispatch.Outcome{Code: code}, Detail: e.err.Error()}
	}
	r := &e.response
	if outcome(r) == dispatch.Malformed { // it teaches nothing, its position least of all
		c.close()
		return edge.Reply{Outcome: dispatch.Outcome{Code: dispatch.Malformed}, Detail: errUnexpectedMessage.Error()}
	}
	reply := edge.Reply{Outcome: c.pool.outcomeOf(r), Answer: r.answer}
	if reply.Code != dispatch.OK {
		reply.Detail = r.sqlState + " " + r.errorText
	}
	c.release()
	return reply
}

// outcomeOf is what a response says.
func (p *Pool) outcomeOf(r *response) dispatch.Outcome {
	return dispatch.Outcome{
		Code: outcome(r), Role: p.role(r.answer.Role), Position: r.answer.Position,
		Report: edge.ParseLoadReport(r.answer.LoadReport),
	}
}

func outcome(r *response) dispatch.Code {
	switch {
	case r.sqlState == sqlStateReadOnlyTransaction || r.sqlState == sqlStateReplicaBehind:
		return dispatch.Misdirected
	case r.sqlState == sqlStateTooManyConnections:
		return dispatch.Rejected
	case r.sqlState != "":
		return dispatch.ServerError
	case !r.completed || r.rows != 1:
		return dispatch.Malformed
	}
	return dispatch.OK
}

func (p *Pool) role(word string) dispatch.Role {
	switch word {
	case p.names.Primary:
		return dispatch.Primary
	case p.names.Replica:
		return dispatch.Replica
	}
	return dispatch.Unknown
}

// Probe asks a host for its load report and gives what came of it. listed is asked again before the write:
// nothing goes to a host that drains or is gone.
func (p *Pool) Probe(ctx context.Context, name string, listed func(name string) bool) dispatch.Outcome {
	if !listed(name) {
		return dispatch.Outcome{Code: dispatch.NotSent}
	}
	c, err := p.acquire(ctx, name)
	if errors.Is(err, edge.ErrPoolExhausted) {
		return dispatch.Outcome{Code: dispatch.NotSent}
	} else if err != nil {
		return dispatch.Outcome{Code: dispatch.NoConnection}
	}
	e, _ := c.roundTrip(ctx, func() []byte {
		if !listed(name) {
			return nil
		}
		return appendQuery(nil, func(b []byte) []byte { return append(append(b, "SHOW "...), p.names.Gauges...) })
	}, nil)
	if errors.Is(e.err, errGateClosed) {
		c.release()
		return dispatch.Outcome{Code: dispatch.NotSent}
	}
	if e.err != nil {
		return dispatch.Outcome{Code: dispatch.NoAnswer}
	}
	code := outcome(&e.response)
	if code == dispatch.Malformed {
		c.close()
		return dispatch.Outcome{Code: code}
	}
	c.release()
	if code != dispatch.OK {
		p.probeRejectionLog.Printf("probe of %s: %s %s", name, e.response.sqlState, e.response.errorText)
		return dispatch.Outcome{Code: code}
	}
	return dispatch.Outcome{Code: dispatch.OK, Report: edge.ParseLoadReport(string(e.response.answer.Value))}
}
