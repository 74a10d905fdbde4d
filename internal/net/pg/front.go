package pg

import (
	"context"
	"encoding/binary"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/edge"
	"ashstand/internal/net/loop"
	"ashstand/internal/sqlcomment"
)

// Bounds of the front, in bytes and milliseconds.
const (
	maxUnreadBytes             = maxQueryBytes + 64<<10 // unread bytes of one client: a query, and what it sends ahead
	maxUnsentMillis            = 20e3                   // for which a client may leave its answer in our buffer
	maxSilentMillis            = 2200                   // for which it may keep us waiting for a whole message, or for its first request
	minIdleMillis              = 100                    // after its answer a connection may be closed to make room
	minSilentMillis            = 100                    // and one on which nothing ever came
	maxIdleUnderPressureMillis = 1000                   // while a third of the places is taken, no connection stays idle for longer
	maxIdleUsedOnceMillis      = 50                     // and none that was used once
	maxInvalidRequests         = 16                     // requests in a row that make no sense
	maxLingerMillis            = 500                    // for which a client that was sent away may go on sending
	maxLingerBytes             = 256 << 10              // and how much of that is read
	replyBatchBytes            = 16 << 10               // of what is answered at once, that is kept for one write
	sweepInterval              = 50 * time.Millisecond
)

// FrontLimits bound the front.
type FrontLimits struct {
	Clients          int     // connections; an eighth of them is kept for telling others that there is no room
	Bytes            int     // of all clients that are unread
	RetryAfterMillis float64 // what is refused here may come again after so long; 0: no advice
}

// Front serves clients. Its connections' state belongs to the event loop; requests run on goroutines.
type Front struct {
	edge           *edge.Edge
	limits         atomic.Pointer[FrontLimits]
	clients        map[*client]gnet.Conn
	cancelKeys     map[uint64]*client // by what a cancel request names
	unreadBytes    int
	draining       atomic.Bool
	terminating    atomic.Bool  // the process is about to end
	eventLoop      atomic.Value // gnet.EventLoop, once somebody came
	lastNumber     uint32
	clientLimitLog loop.ThrottledLog
	unreadLimitLog loop.ThrottledLog
	slowReaderLog  loop.ThrottledLog
}

// NewFront returns a front that brings requests to e.
func NewFront(e *edge.Edge, limits FrontLimits) *Front {
	f := &Front{edge: e, clients: map[*client]gnet.Conn{}, cancelKeys: map[uint64]*client{}}
	f.SetLimits(limits)
	return f
}

// SetLimits takes other bounds for the connections and bytes to come.
func (f *Front) SetLimits(limits FrontLimits) { f.limits.Store(&limits) }

// Accept makes the handler of a connection; it is called on the event loop.
func (f *Front) Accept(c gnet.Conn) (loop.Handler, []byte, gnet.Action) {
	f.eventLoop.CompareAndSwap(nil, c.EventLoop())
	f.lastNumber++
	h := &client{front: f, number: f.lastNumber, lastActive: f.edge.Now()}
	served := f.limits.Load().Clients * 7 / 8
	for len(f.clients) >= served && f.evictLeastUseful(h.lastActive) {
	}
	room := len(f.clients) < served
	if !room && len(f.clients) >= f.limits.Load().Clients {
		f.clientLimitLog.Printf("front: %d client connections are open, one more is closed", len(f.clients))
		return nil, nil, gnet.Close
	}
	h.ctx, h.disconnect = context.WithCancel(context.Background())
	h.cancelRequest = func() {} // until it has a request
	f.clients[h] = c
	if f.terminating.Load() {
		return h, nil, h.closeWithError(c, sqlStateCannotConnectNow, "the pooler restarts", "")
	}
	if room {
		return h, nil, gnet.None
	}
	f.clientLimitLog.Printf("front: %d client connections are open and in use, one more is sent away", len(f.clients))
	return h, nil, h.closeWithError(c, sqlStateTooManyConnections, "too many connections", f.retryAfter())
}

func (f *Front) retryAfter() string {
	after := f.limits.Load().RetryAfterMillis
	if after <= 0 {
		return ""
	}
	return strconv.Itoa(int(after))
}

// evictLeastUseful closes the connection that is missed least: one that was sent away, else one on which nothing ever
// came, else the one that was idle for longest. Connections that asked once and stayed would else fill the table
// for good, or for the 2 s that are usual: clients that open one for each request do that within a second. A client
// whose next request crosses the close sends it once more; one that finds no room has lost its request.
func (f *Front) evictLeastUseful(now float64) bool {
	var least *client
	rank := 0
	for h, c := range f.clients {
		r, age := 0, now-h.lastActive
		switch {
		case h.closingWithError:
			r = 3
		case !h.parser.started && age >= minSilentMillis && c.InboundBuffered() == 0:
			r = 2
		case !h.requestInFlight && h.parser.started && age >= minIdleMillis && c.InboundBuffered() == 0:
			r = 1
		}
		if r > rank || r > 0 && r == rank && h.lastActive < least.lastActive {
			if r < 3 && hasUnreadBytes(c) {
				continue
			}
			least, rank = h, r
		}
	}
	if least == nil {
		return false
	}
	c := f.clients[least]
	_ = c.EventLoop().Close(c)
	return true
}

// Room is loop.Scarce's.
func (f *Front) Room() bool { return f.evictLeastUseful(f.edge.Now()) }

// Reject is loop.Scarce's. What the client has sent is read first: a close over unread bytes is a reset.
func (f *Front) TurnAway(c gnet.Conn) []byte {
	b := make([]byte, 4<<10)
	_, _ = syscall.Read(c.Fd(), b)
	return appendError(nil, "FATAL", sqlStateTooManyConnections, "too many connections", f.retryAfter())
}

// hasUnreadBytes says whether the kernel holds bytes that were not read yet.
func hasUnreadBytes(c gnet.Conn) bool {
	n, err := peekSocket(c)
	return err == nil && n > 0
}

// hasUnreadEvent says whether the kernel holds bytes, or an end, that were not read yet.
func hasUnreadEvent(c gnet.Conn) bool {
	_, err := peekSocket(c)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// hasEnded says whether the client's end is the next that the kernel holds.
func hasEnded(c gnet.Conn) bool {
	n, err := peekSocket(c)
	return err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

func peekSocket(c gnet.Conn) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(c.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Drain closes client connections between requests, now and from now on. One on which nothing was asked yet stays: its
// client has nowhere else to send its first request, and a close would count as an answer to that.
func (f *Front) Drain() {
	f.draining.Store(true)
	f.forEachClient(func(h *client, c gnet.Conn) {
		if h.hasRequested && h.isBetweenRequests(c) {
			_ = c.EventLoop().Close(c)
		}
	})
}

// Idle says whether no request is under way or has begun to arrive.
func (f *Front) Idle() bool {
	l, ok := f.eventLoop.Load().(gnet.EventLoop)
	if !ok {
		return true
	}
	idle := make(chan bool, 1)
	if l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		all := true
		for h, c := range f.clients {
			all = all && (h.closingWithError || h.isBetweenRequests(c))
		}
		idle <- all
		return nil
	})) != nil {
		return true
	}
	return <-idle
}

// Cut gives every request that is open its final answer, an error, and lets no other in: the process is about to end.
// What a client sent ahead was sent on to nobody, so it is refused: without a word it would be lost.
func (f *Front) Cut() {
	f.terminating.Store(true)
	f.forEachClient(func(h *client, c gnet.Conn) {
		if h.closingWithError {
			return
		}
		codes := make([]string, h.queuedCommands(c))
		for i := range codes {
			codes[i] = sqlStateCannotConnectNow
		}
		if h.requestInFlight {
			h.requestInFlight = false
			h.disconnect() // what came of the request now is written no more
			codes = append([]string{sqlStateAdminShutdown}, codes...)
		}
		if len(codes) == 0 { // the next request may be on its way
			codes = append(codes, sqlStateCannotConnectNow)
		}
		text := map[string]string{sqlStateCannotConnectNow: "the pooler restarts", sqlStateAdminShutdown: "the pooler restarts; the request may have run"}
		last := len(codes) - 1
		for _, code := range codes[:last] {
			h.write(c, appendReady(appendError(nil, "ERROR", code, text[code], "")))
		}
		if h.closeWithError(c, codes[last], text[codes[last]], "") == gnet.Close {
			_ = c.EventLoop().Close(c)
		}
	})
}

// isBetweenRequests says whether the client's last request has its answer and nothing of another has come, to the kernel either.
func (h *client) isBetweenRequests(c gnet.Conn) bool {
	return !h.requestInFlight && c.InboundBuffered() == 0 && !hasUnreadBytes(c)
}

// queuedCommands is how many commands wait whole for an answer, behind the one under way; what only the kernel has is read.
func (h *client) queuedCommands(c gnet.Conn) (n int) {
	held, _ := c.Peek(c.InboundBuffered())
	b := append([]byte(nil), held...)
	for more := make([]byte, 16<<10); len(b) <= maxUnreadBytes; {
		n, err := syscall.Read(c.Fd(), more)
		if err != nil || n <= 0 {
			break
		}
		b = append(b, more[:n]...)
	}
	for p := h.parser; ; {
		command := p.Next(b)
		switch command.Kind {
		case Incomplete, Terminate, Cancel, Malformed:
			return n
		case Query, Sync, Function:
			n++
		}
		b = b[command.Used:]
	}
}

// forEachClient does something on the loop for every connection.
func (f *Front) forEachClient(do func(h *client, c gnet.Conn)) {
	l, ok := f.eventLoop.Load().(gnet.EventLoop)
	if !ok {
		return // nobody ever came
	}
	_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for h, c := range f.clients {
			do(h, c)
		}
		return nil
	}))
}

// Sweep sends away clients that keep us waiting; call it every SweepInterval.
func (f *Front) Sweep() {
	now := f.edge.Now()
	many := f.limits.Load().Clients / 5
	f.forEachClient(func(h *client, c gnet.Conn) {
		idle := now - h.lastActive
		switch {
		case !h.requestInFlight && h.hasRequested && len(f.clients) > many && c.InboundBuffered() == 0 &&
			(idle >= maxIdleUnderPressureMillis || h.requestCount == 1 && idle >= maxIdleUsedOnceMillis):
			if !hasUnreadBytes(c) {
				_ = c.EventLoop().Close(c)
			}
		case h.closingWithError:
			if now-h.lastActive > maxLingerMillis {
				_ = c.EventLoop().Close(c)
			}
		case h.requestInFlight:
		case !h.hasRequested && now-h.lastActive > maxSilentMillis, h.partialSince > 0 && now-h.partialSince > maxSilentMillis:
			if !hasUnreadBytes(c) && h.closeWithError(c, sqlStateProtocolViolation, "no whole message came in time", "") == gnet.Close {
				_ = c.EventLoop().Close(c)
			}
		}
	})
}

// SweepInterval is the pace of Sweep.
const SweepInterval = sweepInterval

// client is one connection. A request at a time is under way; what is sent ahead of its answer waits in the
// connection's ring buffer, so answers come in the order of the commands.
type client struct {
	front            *Front
	number           uint32
	lastActive       float64 // it was opened, answered or sent away
	partialSince     float64 // since when a message is not whole; 0: none is
	parser           Parser
	hasRequested     bool // it had a request
	requestCount     int  // how many
	requestInFlight  bool
	closingWithError bool // it was told to go: what it still sends is not read
	invalidRequests  int
	unreadBytes      int
	lingeredBytes    int
	batching         bool // answers wait in out, to go together
	batch            []byte
	ctx              context.Context // ends when the client goes away
	disconnect       context.CancelFunc
	cancelKey        uint64             // for cancel requests; 0: none was given out
	cancelRequest    context.CancelFunc // ends the request under way alone
	readAhead        readAhead          // what waits behind it
}

// Traffic is called on the loop.
func (h *client) Traffic(c gnet.Conn) gnet.Action {
	if h.closingWithError {
		if !h.parser.started { // who found no room may still cancel what is under way elsewhere
			h.handleLateCancel(c)
		}
		h.lingeredBytes += c.InboundBuffered()
		if _, _ = c.Discard(-1); h.lingeredBytes > maxLingerBytes {
			return gnet.Close
		}
		return gnet.None
	}
	action := h.readCommands(c)
	if action == gnet.None && h.requestInFlight && h.readAhead.hasTerminate(c.InboundBuffered(), c.Peek, maxQueryBytes) {
		return gnet.Close
	}
	f := h.front
	f.unreadBytes += c.InboundBuffered() - h.unreadBytes
	h.unreadBytes = c.InboundBuffered()
	if h.unreadBytes > maxUnreadBytes {
		f.unreadLimitLog.Printf("front: a client is cut off with %d bytes unread", h.unreadBytes)
		return gnet.Close
	}
	if f.unreadBytes > f.limits.Load().Bytes {
		return f.closeLargestReader(h, action)
	}
	return action
}

// closeLargestReader cuts off whoever has most unread: the client that happens to speak may have a small part in it.
func (f *Front) closeLargestReader(speaker *client, action gnet.Action) gnet.Action {
	most := speaker
	for h := range f.clients {
		if h.unreadBytes > most.unreadBytes {
			most = h
		}
	}
	f.unreadLimitLog.Printf("front: a client is cut off with %d bytes unread, %d of all clients", most.unreadBytes, f.unreadBytes)
	if most == speaker {
		return gnet.Close
	}
	c := f.clients[most]
	_ = c.EventLoop().Close(c)
	return action
}

// Closed is called on the loop.
func (h *client) Closed(gnet.Conn, error) {
	h.disconnect()
	delete(h.front.cancelKeys, h.cancelKey)
	h.front.unreadBytes -= h.unreadBytes
	h.unreadBytes = 0
	delete(h.front.clients, h)
}

// closeWithError tells a client why it has to go and ends our side. The connection stays for a moment, in which what
// the client still sends is thrown away: closed at once, it would be reset, and a reset can eat the error.
func (h *client) closeWithError(c gnet.Conn, state, text, detail string) gnet.Action {
	h.write(c, appendError(nil, "FATAL", state, text, detail))
	h.flush(c)
	if c.OutboundBuffered() > 0 || syscall.Shutdown(c.Fd(), syscall.SHUT_WR) != nil {
		return gnet.Close
	}
	h.closingWithError, h.lastActive = true, h.front.edge.Now()
	_, _ = c.Discard(-1)
	return gnet.None
}

// readCommands takes messages until one starts a request or no whole one is left. What is answered at once goes out together:
// with a system call for each, a client that sends thousands ahead would hold the loop, and every other client with it.
func (h *client) readCommands(c gnet.Conn) gnet.Action {
	all, err := c.Peek(c.InboundBuffered())
	if err != nil {
		return gnet.Close
	}
	h.batching = true
	b, action := all, gnet.None
	for action == gnet.None && !h.requestInFlight && !h.closingWithError && len(b) > 0 {
		command := h.parser.Next(b)
		if command.Kind == Incomplete {
			break
		}
		b = b[command.Used:]
		if action = h.handle(c, &command); h.invalidRequests > maxInvalidRequests && action == gnet.None && !h.closingWithError {
			action = h.closeWithError(c, sqlStateProtocolViolation, "too many requests that make no sense", "")
		}
		if len(h.batch) > replyBatchBytes {
			if h.flush(c); h.ctx.Err() != nil { // it has gone, and its buffers with it
				return gnet.None
			}
			if h.batching = true; c.OutboundBuffered() > maxUnreadBytes { // short answers to one that does not read
				action = gnet.Close
			}
		}
	}
	if h.flush(c); h.ctx.Err() != nil || h.closingWithError || action == gnet.Close {
		return action
	}
	if c.OutboundBuffered() > maxUnreadBytes {
		return gnet.Close
	}
	used := len(all) - len(b)
	if used > 0 {
		_, _ = c.Discard(used)
	}
	switch {
	case h.requestInFlight || len(b) == 0:
		h.partialSince = 0
	case h.partialSince == 0 || len(b) < len(all): // another message than the one that was not whole
		h.partialSince = h.front.edge.Now()
	}
	if used > 0 && h.front.draining.Load() && h.hasRequested && h.isBetweenRequests(c) {
		return gnet.Close
	}
	return gnet.None
}

func (h *client) write(c gnet.Conn, b []byte) {
	if h.batching {
		h.batch = append(h.batch, b...)
		return
	}
	_, _ = c.Write(b)
}

// flush ends the gathering of what is answered at once.
func (h *client) flush(c gnet.Conn) {
	out := h.batch
	h.batching, h.batch = false, nil
	if len(out) > 0 {
		_, _ = c.Write(out)
	}
}

// handle answers a command at once, or starts a request.
func (h *client) handle(c gnet.Conn, command *Command) gnet.Action {
	switch command.Kind {
	case EncryptionRequest:
		h.invalidRequests++
		h.write(c, []byte{'N'}) // as it is, in plain text
	case Startup:
		h.cancelKey = newCancelKey(h.number)
		h.front.cancelKeys[h.cancelKey] = h
		h.write(c, Greeting(h.cancelKey, command.Minor))
	case Sync:
		h.write(c, appendReady(nil))
	case Extended:
		h.invalidRequests++
		h.write(c, appendError(nil, "ERROR", sqlStateFeatureNotSupported, "simple queries only", ""))
	case Function:
		h.invalidRequests++
		h.write(c, appendReady(appendError(nil, "ERROR", sqlStateFeatureNotSupported, "simple queries only", "")))
	case Query:
		if hasEnded(c) { // it came with its client's end: nobody waits for it
			return gnet.Close
		}
		h.handleQuery(c, command.Text)
	case Terminate:
		return gnet.Close
	case Cancel:
		h.front.cancel(command.Key)
		return gnet.Close
	case Malformed:
		return h.closeWithError(c, sqlStateProtocolViolation, command.Text, "")
	}
	return gnet.None
}

// Greeting answers a startup message; key is what a cancel request has to name.
func Greeting(key uint64, minor bool) []byte {
	var out []byte
	if minor { // a later minor version: say that 3.0 is what there is
		out = appendMessage(out, 'v', func(b []byte) []byte { return append(b, 0, 3, 0, 0, 0, 0, 0, 0) })
	}
	out = appendMessage(out, 'R', func(b []byte) []byte { return append(b, 0, 0, 0, 0) })
	for _, s := range [...][2]string{
		{"server_version", "15.0 (ashstand)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		out = appendParameterStatus(out, s[0], s[1])
	}
	out = appendMessage(out, 'K', func(b []byte) []byte {
		return binary.BigEndian.AppendUint64(b, key)
	})
	return appendReady(out)
}

// handleLateCancel takes a cancel request on a connection that is served no more.
func (h *client) handleLateCancel(c gnet.Conn) {
	if b, err := c.Peek(c.InboundBuffered()); err == nil {
		if command := new(Parser).Next(b); command.Kind == Cancel {
			h.front.cancel(command.Key)
		}
	}
}

// cancel gives up the request that is under way on the connection with this key. Its client gets an error, and what it
// sent ahead is served. A key that was not given out here does nothing: it may be another pooler's.
func (f *Front) cancel(key uint64) {
	if h := f.cancelKeys[key]; h != nil && h.requestInFlight {
		h.cancelRequest()
	}
}

// handleQuery starts a request, or answers at once what is none.
func (h *client) handleQuery(c gnet.Conn, text string) {
	f := h.front
	h.hasRequested = true
	h.requestCount++
	h.lastActive = f.edge.Now()
	word, _, _ := strings.Cut(strings.Trim(text, " \t\r\n;"), " ")
	var out []byte
	switch word = strings.ToUpper(word); {
	case !f.edge.Ready():
		out = appendError(out, "ERROR", sqlStateCannotConnectNow, "no list of hosts is held yet", "")
	case word == "":
		out = appendMessage(out, 'I', func(b []byte) []byte { return b })
	case word == "SET" || word == "RESET" || word == "DISCARD":
		out = appendCommandComplete(out, word)
	default:
		s, err := sqlcomment.Parse(text)
		switch {
		case err != nil:
			h.invalidRequests++
			out = appendError(out, "ERROR", sqlStateProtocolViolation, err.Error(), "")
		default:
			refused := f.edge.Begin(&s)
			if refused == nil {
				var ctx context.Context
				ctx, h.cancelRequest = context.WithCancel(h.ctx)
				h.requestInFlight, h.readAhead = true, readAhead{}
				go h.serve(ctx, c, s, h.lastActive)
				return
			}
			out = encodeResult(refused)
		}
	}
	h.write(c, appendReady(out))
}

// serve runs on a goroutine of its own, which ends as soon as the answer is on its way to the loop: writing it and
// taking the next command are one visit there.
func (h *client) serve(ctx context.Context, c gnet.Conn, s sqlcomment.Statement, arrived float64) {
	e := h.front.edge
	result := e.Do(ctx, &s, arrived)
	if result.Verdict == edge.Disconnected {
		if h.ctx.Err() != nil {
			e.End(&s)
			return
		}
		result = edge.Result{Verdict: edge.TimedOut, Detail: "canceling statement due to user request"}
	}
	reply := EncodeResult(&result)
	if h.front.eventLoop.Load().(gnet.EventLoop).Execute(h.ctx, gnet.RunnableFunc(func(context.Context) error {
		if h.ctx.Err() != nil {
			e.End(&s)
			return nil
		}
		h.write(c, reply)
		if h.ctx.Err() != nil || c.OutboundBuffered() == 0 {
			e.End(&s)
			h.finishRequest(c, result.Verdict)
			return nil
		}
		// The next command waits until this answer is out, so a client that does not read holds up itself alone
		// and an answer is not cut by a close.
		go func() {
			defer e.End(&s)
			if !h.awaitFlush(c) {
				_ = c.Close()
				return
			}
			_ = h.runOnLoop(c, func() { h.finishRequest(c, result.Verdict) })
		}()
		return nil
	})) != nil {
		e.End(&s)
		_ = c.Close()
	}
}

// finishRequest takes the next command, once the answer to the last one is out. It runs on the loop.
func (h *client) finishRequest(c gnet.Conn, verdict edge.Verdict) {
	if h.ctx.Err() != nil {
		return
	}
	h.cancelRequest()
	h.requestInFlight, h.lastActive = false, h.front.edge.Now()
	if h.invalidRequests++; verdict != edge.Invalid {
		h.invalidRequests = 0
	}
	if h.unreadBytes > 0 { // what was sent ahead is waiting, and was taken
		_ = c.Wake(nil)
	} else if h.front.draining.Load() && !hasUnreadBytes(c) { // closed with bytes unread, it would be reset
		_ = c.Close()
	}
}

// runOnLoop does something on the loop and waits for it; nothing once the client has gone.
func (h *client) runOnLoop(c gnet.Conn, do func()) error {
	done := make(chan struct{})
	err := h.front.eventLoop.Load().(gnet.EventLoop).Execute(h.ctx, gnet.RunnableFunc(func(context.Context) error {
		defer close(done)
		if h.ctx.Err() == nil {
			do()
		}
		return nil
	}))
	if err == nil {
		<-done
	}
	return err
}

// awaitFlush waits until the client has taken its answer. false: it does not, or has gone.
func (h *client) awaitFlush(c gnet.Conn) bool {
	for t := h.front.edge.Now(); h.front.edge.Now()-t < maxUnsentMillis; {
		left := 0
		if h.ctx.Err() != nil || h.runOnLoop(c, func() { left = c.OutboundBuffered() }) != nil {
			return false
		}
		if left == 0 {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.front.slowReaderLog.Printf("front: a client that does not take its answer is cut off")
	return false
}

// EncodeResult words a final answer, up to ReadyForQuery.
func EncodeResult(r *edge.Result) []byte { return appendReady(encodeResult(r)) }

func encodeResult(r *edge.Result) []byte {
	switch r.Verdict {
	case edge.Served:
		b := appendRow(make([]byte, 0, len(r.Answer.Value)+160), &r.Answer)
		if r.Answer.Position > 0 { // for sessions that carry their last commit
			b = appendParameterStatus(b, Platform.Position, strconv.FormatFloat(r.Answer.Position, 'f', -1, 64))
		}
		return b
	case edge.Rejected:
		detail := ""
		if r.RetryAfterMillis > 0 {
			detail = strconv.Itoa(int(r.RetryAfterMillis + 0.999))
		}
		return appendError(nil, "ERROR", sqlStateTooManyConnections, r.Detail, detail)
	case edge.TimedOut:
		return appendError(nil, "ERROR", sqlStateQueryCanceled, r.Detail, "")
	case edge.Invalid:
		return appendError(nil, "ERROR", sqlStateProtocolViolation, r.Detail, "")
	}
	return appendError(nil, "ERROR", sqlStateConnectionFailure, r.Detail, "")
}
