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
	maxAhead   = maxQuery + 64<<10 // unread bytes of one client: a query, and what it sends ahead
	maxUntaken = 20e3              // for which a client may leave its answer in our buffer
	maxSilent  = 2200              // for which it may keep us waiting for a whole message, or for its first request
	minIdle    = 100               // after its answer a connection may be closed to make room
	minSilent  = 100               // and one on which nothing ever came
	minStay    = 1000              // while a third of the places is taken, no connection stays idle for longer
	minOnce    = 50                // and none that was used once
	maxStrikes = 16                // requests in a row that make no sense
	maxLinger  = 500               // for which a client that was sent away may go on sending
	lingerMost = 256 << 10         // and how much of that is read
	gathered   = 16 << 10          // of what is answered at once, that is kept for one write
	sweepEvery = 50 * time.Millisecond
)

// FrontLimits bound the front.
type FrontLimits struct {
	Clients int     // connections; an eighth of them is kept for telling others that there is no room
	Bytes   int     // of all clients that are unread
	After   float64 // what is refused here may come again after so long; 0: no advice
}

// Front serves clients. Its connections' state belongs to the event loop; requests run on goroutines.
type Front struct {
	edge    *edge.Edge
	limits  atomic.Pointer[FrontLimits]
	conns   map[*client]gnet.Conn
	keys    map[uint64]*client // by what a cancel request names
	unread  int
	drain   atomic.Bool
	over    atomic.Bool  // the process is about to end
	loop    atomic.Value // gnet.EventLoop, once somebody came
	last    uint32
	full    loop.ThrottledLog
	cutOff  loop.ThrottledLog
	untaken loop.ThrottledLog
}

// NewFront returns a front that brings requests to e.
func NewFront(e *edge.Edge, limits FrontLimits) *Front {
	f := &Front{edge: e, conns: map[*client]gnet.Conn{}, keys: map[uint64]*client{}}
	f.SetLimits(limits)
	return f
}

// SetLimits takes other bounds for the connections and bytes to come.
func (f *Front) SetLimits(limits FrontLimits) { f.limits.Store(&limits) }

// Accept makes the handler of a connection; it is called on the event loop.
func (f *Front) Accept(c gnet.Conn) (loop.Handler, []byte, gnet.Action) {
	f.loop.CompareAndSwap(nil, c.EventLoop())
	f.last++
	h := &client{front: f, number: f.last, since: f.edge.Now()}
	served := f.limits.Load().Clients * 7 / 8
	for len(f.conns) >= served && f.makeRoom(h.since) {
	}
	room := len(f.conns) < served
	if !room && len(f.conns) >= f.limits.Load().Clients {
		f.full.Printf("front: %d client connections are open, one more is closed", len(f.conns))
		return nil, nil, gnet.Close
	}
	h.ctx, h.leave = context.WithCancel(context.Background())
	h.giveUp = func() {} // until it has a request
	f.conns[h] = c
	if f.over.Load() {
		return h, nil, h.farewell(c, stateStarting, "the pooler restarts", "")
	}
	if room {
		return h, nil, gnet.None
	}
	f.full.Printf("front: %d client connections are open and in use, one more is sent away", len(f.conns))
	return h, nil, h.farewell(c, stateRefused, "too many connections", f.after())
}

func (f *Front) after() string {
	after := f.limits.Load().After
	if after <= 0 {
		return ""
	}
	return strconv.Itoa(int(after))
}

// makeRoom closes the connection that is missed least: one that was sent away, else one on which nothing ever
// came, else the one that was idle for longest. Connections that asked once and stayed would else fill the table
// for good, or for the 2 s that are usual: clients that open one for each request do that within a second. A client
// whose next request crosses the close sends it once more; one that finds no room has lost its request.
func (f *Front) makeRoom(now float64) bool {
	var least *client
	rank := 0
	for h, c := range f.conns {
		r, age := 0, now-h.since
		switch {
		case h.farewelled:
			r = 3
		case !h.parser.started && age >= minSilent && c.InboundBuffered() == 0:
			r = 2
		case !h.busy && h.parser.started && age >= minIdle && c.InboundBuffered() == 0:
			r = 1
		}
		if r > rank || r > 0 && r == rank && h.since < least.since {
			if r < 3 && waiting(c) {
				continue
			}
			least, rank = h, r
		}
	}
	if least == nil {
		return false
	}
	c := f.conns[least]
	_ = c.EventLoop().Close(c)
	return true
}

// Room is loop.Scarce's.
func (f *Front) Room() bool { return f.makeRoom(f.edge.Now()) }

// Reject is loop.Scarce's. What the client has sent is read first: a close over unread bytes is a reset.
func (f *Front) TurnAway(c gnet.Conn) []byte {
	b := make([]byte, 4<<10)
	_, _ = syscall.Read(c.Fd(), b)
	return failure(nil, "FATAL", stateRefused, "too many connections", f.after())
}

// waiting says whether the kernel holds bytes that were not read yet.
func waiting(c gnet.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// pending says whether the kernel holds bytes, or an end, that were not read yet.
func pending(c gnet.Conn) bool {
	_, err := peek(c)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// ended says whether the client's end is the next that the kernel holds.
func ended(c gnet.Conn) bool {
	n, err := peek(c)
	return err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

func peek(c gnet.Conn) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(c.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Drain closes client connections between requests, now and from now on. One on which nothing was asked yet stays: its
// client has nowhere else to send its first request, and a close would count as an answer to that.
func (f *Front) Drain() {
	f.drain.Store(true)
	f.each(func(h *client, c gnet.Conn) {
		if h.asked && h.between(c) {
			_ = c.EventLoop().Close(c)
		}
	})
}

// Idle says whether no request is under way or has begun to arrive.
func (f *Front) Idle() bool {
	l, ok := f.loop.Load().(gnet.EventLoop)
	if !ok {
		return true
	}
	idle := make(chan bool, 1)
	if l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		all := true
		for h, c := range f.conns {
			all = all && (h.farewelled || h.between(c))
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
	f.over.Store(true)
	f.each(func(h *client, c gnet.Conn) {
		if h.farewelled {
			return
		}
		codes := make([]string, h.ahead(c))
		for i := range codes {
			codes[i] = stateStarting
		}
		if h.busy {
			h.busy = false
			h.leave() // what came of the request now is written no more
			codes = append([]string{stateShutdown}, codes...)
		}
		if len(codes) == 0 { // the next request may be on its way
			codes = append(codes, stateStarting)
		}
		text := map[string]string{stateStarting: "the pooler restarts", stateShutdown: "the pooler restarts; the request may have run"}
		last := len(codes) - 1
		for _, code := range codes[:last] {
			h.write(c, ready(failure(nil, "ERROR", code, text[code], "")))
		}
		if h.farewell(c, codes[last], text[codes[last]], "") == gnet.Close {
			_ = c.EventLoop().Close(c)
		}
	})
}

// between says whether the client's last request has its answer and nothing of another has come, to the kernel either.
func (h *client) between(c gnet.Conn) bool { return !h.busy && c.InboundBuffered() == 0 && !waiting(c) }

// ahead is how many commands wait whole for an answer, behind the one under way; what only the kernel has is read.
func (h *client) ahead(c gnet.Conn) (n int) {
	held, _ := c.Peek(c.InboundBuffered())
	b := append([]byte(nil), held...)
	for more := make([]byte, 16<<10); len(b) <= maxAhead; {
		n, err := syscall.Read(c.Fd(), more)
		if err != nil || n <= 0 {
			break
		}
		b = append(b, more[:n]...)
	}
	for p := h.parser; ; {
		command := p.Next(b)
		switch command.Kind {
		case Incomplete, End, Cancel, Broken:
			return n
		case Query, Sync, Function:
			n++
		}
		b = b[command.Used:]
	}
}

// each does something on the loop for every connection.
func (f *Front) each(do func(h *client, c gnet.Conn)) {
	l, ok := f.loop.Load().(gnet.EventLoop)
	if !ok {
		return // nobody ever came
	}
	_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for h, c := range f.conns {
			do(h, c)
		}
		return nil
	}))
}

// Sweep sends away clients that keep us waiting; call it every SweepEvery.
func (f *Front) Sweep() {
	now := f.edge.Now()
	many := f.limits.Load().Clients / 5
	f.each(func(h *client, c gnet.Conn) {
		idle := now - h.since
		switch {
		case !h.busy && h.asked && len(f.conns) > many && c.InboundBuffered() == 0 &&
			(idle >= minStay || h.requests == 1 && idle >= minOnce):
			if !waiting(c) {
				_ = c.EventLoop().Close(c)
			}
		case h.farewelled:
			if now-h.since > maxLinger {
				_ = c.EventLoop().Close(c)
			}
		case h.busy:
		case !h.asked && now-h.since > maxSilent, h.partial > 0 && now-h.partial > maxSilent:
			if !waiting(c) && h.farewell(c, stateInvalid, "no whole message came in time", "") == gnet.Close {
				_ = c.EventLoop().Close(c)
			}
		}
	})
}

// SweepEvery is the pace of Sweep.
const SweepEvery = sweepEvery

// client is one connection. A request at a time is under way; what is sent ahead of its answer waits in the
// connection's ring buffer, so answers come in the order of the commands.
type client struct {
	front      *Front
	number     uint32
	since      float64 // it was opened, answered or sent away
	partial    float64 // since when a message is not whole; 0: none is
	parser     Parser
	asked      bool // it had a request
	requests   int  // how many
	busy       bool
	farewelled bool // it was told to go: what it still sends is not read
	strikes    int
	unread     int
	lingered   int
	gathers    bool // answers wait in out, to go together
	out        []byte
	ctx        context.Context // ends when the client goes away
	leave      context.CancelFunc
	key        uint64             // for cancel requests; 0: none was given out
	giveUp     context.CancelFunc // ends the request under way alone
	behind     behind             // what waits behind it
}

// Traffic is called on the loop.
func (h *client) Traffic(c gnet.Conn) gnet.Action {
	if h.farewelled {
		if !h.parser.started { // who found no room may still cancel what is under way elsewhere
			h.cancel(c)
		}
		h.lingered += c.InboundBuffered()
		if _, _ = c.Discard(-1); h.lingered > lingerMost {
			return gnet.Close
		}
		return gnet.None
	}
	action := h.read(c)
	if action == gnet.None && h.busy && h.behind.goodbye(c.InboundBuffered(), c.Peek, maxQuery) {
		return gnet.Close
	}
	f := h.front
	f.unread += c.InboundBuffered() - h.unread
	h.unread = c.InboundBuffered()
	if h.unread > maxAhead {
		f.cutOff.Printf("front: a client is cut off with %d bytes unread", h.unread)
		return gnet.Close
	}
	if f.unread > f.limits.Load().Bytes {
		return f.cutLongest(h, action)
	}
	return action
}

// cutLongest cuts off whoever has most unread: the client that happens to speak may have a small part in it.
func (f *Front) cutLongest(speaker *client, action gnet.Action) gnet.Action {
	most := speaker
	for h := range f.conns {
		if h.unread > most.unread {
			most = h
		}
	}
	f.cutOff.Printf("front: a client is cut off with %d bytes unread, %d of all clients", most.unread, f.unread)
	if most == speaker {
		return gnet.Close
	}
	c := f.conns[most]
	_ = c.EventLoop().Close(c)
	return action
}

// Closed is called on the loop.
func (h *client) Closed(gnet.Conn, error) {
	h.leave()
	delete(h.front.keys, h.key)
	h.front.unread -= h.unread
	h.unread = 0
	delete(h.front.conns, h)
}

// farewell tells a client why it has to go and ends our side. The connection stays for a moment, in which what
// the client still sends is thrown away: closed at once, it would be reset, and a reset can eat the error.
func (h *client) farewell(c gnet.Conn, state, text, detail string) gnet.Action {
	h.write(c, failure(nil, "FATAL", state, text, detail))
	h.flush(c)
	if c.OutboundBuffered() > 0 || syscall.Shutdown(c.Fd(), syscall.SHUT_WR) != nil {
		return gnet.Close
	}
	h.farewelled, h.since = true, h.front.edge.Now()
	_, _ = c.Discard(-1)
	return gnet.None
}

// read takes messages until one starts a request or no whole one is left. What is answered at once goes out together:
// with a system call for each, a client that sends thousands ahead would hold the loop, and every other client with it.
func (h *client) read(c gnet.Conn) gnet.Action {
	all, err := c.Peek(c.InboundBuffered())
	if err != nil {
		return gnet.Close
	}
	h.gathers = true
	b, action := all, gnet.None
	for action == gnet.None && !h.busy && !h.farewelled && len(b) > 0 {
		command := h.parser.Next(b)
		if command.Kind == Incomplete {
			break
		}
		b = b[command.Used:]
		if action = h.handle(c, &command); h.strikes > maxStrikes && action == gnet.None && !h.farewelled {
			action = h.farewell(c, stateInvalid, "too many requests that make no sense", "")
		}
		if len(h.out) > gathered {
			if h.flush(c); h.ctx.Err() != nil { // it has gone, and its buffers with it
				return gnet.None
			}
			if h.gathers = true; c.OutboundBuffered() > maxAhead { // short answers to one that does not read
				action = gnet.Close
			}
		}
	}
	if h.flush(c); h.ctx.Err() != nil || h.farewelled || action == gnet.Close {
		return action
	}
	if c.OutboundBuffered() > maxAhead {
		return gnet.Close
	}
	used := len(all) - len(b)
	if used > 0 {
		_, _ = c.Discard(used)
	}
	switch {
	case h.busy || len(b) == 0:
		h.partial = 0
	case h.partial == 0 || len(b) < len(all): // another message than the one that was not whole
		h.partial = h.front.edge.Now()
	}
	if used > 0 && h.front.drain.Load() && h.asked && h.between(c) {
		return gnet.Close
	}
	return gnet.None
}

func (h *client) write(c gnet.Conn, b []byte) {
	if h.gathers {
		h.out = append(h.out, b...)
		return
	}
	_, _ = c.Write(b)
}

// flush ends the gathering of what is answered at once.
func (h *client) flush(c gnet.Conn) {
	out := h.out
	h.gathers, h.out = false, nil
	if len(out) > 0 {
		_, _ = c.Write(out)
	}
}

// handle answers a command at once, or starts a request.
func (h *client) handle(c gnet.Conn, command *Command) gnet.Action {
	switch command.Kind {
	case Encrypt:
		h.strikes++
		h.write(c, []byte{'N'}) // as it is, in plain text
	case Startup:
		h.key = cancelKey(h.number)
		h.front.keys[h.key] = h
		h.write(c, Welcome(h.key, command.Minor))
	case Sync:
		h.write(c, ready(nil))
	case Extended:
		h.strikes++
		h.write(c, failure(nil, "ERROR", stateUnknown, "simple queries only", ""))
	case Function:
		h.strikes++
		h.write(c, ready(failure(nil, "ERROR", stateUnknown, "simple queries only", "")))
	case Query:
		if ended(c) { // it came with its client's end: nobody waits for it
			return gnet.Close
		}
		h.query(c, command.Text)
	case End:
		return gnet.Close
	case Cancel:
		h.front.cancel(command.Key)
		return gnet.Close
	case Broken:
		return h.farewell(c, stateInvalid, command.Text, "")
	}
	return gnet.None
}

// Welcome answers a startup message; key is what a cancel request has to name.
func Welcome(key uint64, minor bool) []byte {
	var out []byte
	if minor { // a later minor version: say that 3.0 is what there is
		out = message(out, 'v', func(b []byte) []byte { return append(b, 0, 3, 0, 0, 0, 0, 0, 0) })
	}
	out = message(out, 'R', func(b []byte) []byte { return append(b, 0, 0, 0, 0) })
	for _, s := range [...][2]string{
		{"server_version", "15.0 (ashstand)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		out = status(out, s[0], s[1])
	}
	out = message(out, 'K', func(b []byte) []byte {
		return binary.BigEndian.AppendUint64(b, key)
	})
	return ready(out)
}

// cancel takes a cancel request on a connection that is served no more.
func (h *client) cancel(c gnet.Conn) {
	if b, err := c.Peek(c.InboundBuffered()); err == nil {
		if command := new(Parser).Next(b); command.Kind == Cancel {
			h.front.cancel(command.Key)
		}
	}
}

// cancel gives up the request that is under way on the connection with this key. Its client gets an error, and what it
// sent ahead is served. A key that was not given out here does nothing: it may be another pooler's.
func (f *Front) cancel(key uint64) {
	if h := f.keys[key]; h != nil && h.busy {
		h.giveUp()
	}
}

// query starts a request, or answers at once what is none.
func (h *client) query(c gnet.Conn, text string) {
	f := h.front
	h.asked = true
	h.requests++
	h.since = f.edge.Now()
	word, _, _ := strings.Cut(strings.Trim(text, " \t\r\n;"), " ")
	var out []byte
	switch word = strings.ToUpper(word); {
	case !f.edge.Ready():
		out = failure(out, "ERROR", stateStarting, "no list of hosts is held yet", "")
	case word == "":
		out = message(out, 'I', func(b []byte) []byte { return b })
	case word == "SET" || word == "RESET" || word == "DISCARD":
		out = complete(out, word)
	default:
		s, err := sqlcomment.Parse(text)
		switch {
		case err != nil:
			h.strikes++
			out = failure(out, "ERROR", stateInvalid, err.Error(), "")
		default:
			refused := f.edge.Begin(&s)
			if refused == nil {
				var ctx context.Context
				ctx, h.giveUp = context.WithCancel(h.ctx)
				h.busy, h.behind = true, behind{}
				go h.serve(ctx, c, s, h.since)
				return
			}
			out = reply(refused)
		}
	}
	h.write(c, ready(out))
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
	reply := Reply(&result)
	if h.front.loop.Load().(gnet.EventLoop).Execute(h.ctx, gnet.RunnableFunc(func(context.Context) error {
		if h.ctx.Err() != nil {
			e.End(&s)
			return nil
		}
		h.write(c, reply)
		if h.ctx.Err() != nil || c.OutboundBuffered() == 0 {
			e.End(&s)
			h.next(c, result.Verdict)
			return nil
		}
		// The next command waits until this answer is out, so a client that does not read holds up itself alone
		// and an answer is not cut by a close.
		go func() {
			defer e.End(&s)
			if !h.flushed(c) {
				_ = c.Close()
				return
			}
			_ = h.run(c, func() { h.next(c, result.Verdict) })
		}()
		return nil
	})) != nil {
		e.End(&s)
		_ = c.Close()
	}
}

// next takes the next command, once the answer to the last one is out. It runs on the loop.
func (h *client) next(c gnet.Conn, verdict edge.Verdict) {
	if h.ctx.Err() != nil {
		return
	}
	h.giveUp()
	h.busy, h.since = false, h.front.edge.Now()
	if h.strikes++; verdict != edge.Invalid {
		h.strikes = 0
	}
	if h.unread > 0 { // what was sent ahead is waiting, and was taken
		_ = c.Wake(nil)
	} else if h.front.drain.Load() && !waiting(c) { // closed with bytes unread, it would be reset
		_ = c.Close()
	}
}

// run does something on the loop and waits for it; nothing once the client has gone.
func (h *client) run(c gnet.Conn, do func()) error {
	done := make(chan struct{})
	err := h.front.loop.Load().(gnet.EventLoop).Execute(h.ctx, gnet.RunnableFunc(func(context.Context) error {
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

// flushed waits until the client has taken its answer. false: it does not, or has gone.
func (h *client) flushed(c gnet.Conn) bool {
	for t := h.front.edge.Now(); h.front.edge.Now()-t < maxUntaken; {
		left := 0
		if h.ctx.Err() != nil || h.run(c, func() { left = c.OutboundBuffered() }) != nil {
			return false
		}
		if left == 0 {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.front.untaken.Printf("front: a client that does not take its answer is cut off")
	return false
}

// Reply words a final answer, up to ReadyForQuery.
func Reply(r *edge.Result) []byte { return ready(reply(r)) }

func reply(r *edge.Result) []byte {
	switch r.Verdict {
	case edge.Served:
		b := row(make([]byte, 0, len(r.Answer.Value)+160), &r.Answer)
		if r.Answer.Position > 0 { // for sessions that carry their last commit
			b = status(b, Platform.Position, strconv.FormatFloat(r.Answer.Position, 'f', -1, 64))
		}
		return b
	case edge.Rejected:
		detail := ""
		if r.RetryAfterMillis > 0 {
			detail = strconv.Itoa(int(r.RetryAfterMillis + 0.999))
		}
		return failure(nil, "ERROR", stateRefused, r.Detail, detail)
	case edge.TimedOut:
		return failure(nil, "ERROR", stateTimeout, r.Detail, "")
	case edge.Invalid:
		return failure(nil, "ERROR", stateInvalid, r.Detail, "")
	}
	return failure(nil, "ERROR", stateFailed, r.Detail, "")
}
