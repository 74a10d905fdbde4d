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
	"golang.org/x/sys/unix"

	"ashstand/internal/edge"
	"ashstand/internal/net/loop"
	"ashstand/internal/statement"
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
	mostBusy   = time.Second // that the loop may be with others when it is asked
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
	unread  int
	drain   atomic.Bool
	over    atomic.Bool  // the process is about to end
	loop    atomic.Value // gnet.EventLoop, once somebody came
	last    uint32
	full    loop.Rarely
	cutOff  loop.Rarely
	untaken loop.Rarely
}

// NewFront returns a front that brings requests to e.
func NewFront(e *edge.Edge, limits FrontLimits) *Front {
	f := &Front{edge: e, conns: map[*client]gnet.Conn{}}
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
			if r < 3 && !h.resting(c, age) {
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

// TurnAway is loop.Scarce's. What the client has sent is read first: a close over unread bytes is a reset.
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
		if h.asked && !h.farewelled && h.between(c) {
			h.finish(c)
		}
	})
}

// Idle says whether no request is under way or has begun to arrive.
func (f *Front) Idle() bool { return onLoop(f.loop.Load(), f.idle, time.Now().Add(mostBusy)) }

func (f *Front) idle() bool {
	for h, c := range f.conns {
		if !h.farewelled && !h.between(c) {
			return false
		}
	}
	return true
}

// Finish is Cut if no request is under way or has begun to arrive, else it does nothing: one visit to the loop, so that
// none begins in between. It says whether the front has ended.
func (f *Front) Finish() bool {
	return onLoop(f.loop.Load(), func() bool {
		if !f.idle() {
			return false
		}
		f.over.Store(true)
		for h, c := range f.conns {
			h.cut(c)
		}
		return true
	}, time.Now().Add(mostBusy))
}

// Settle waits after Cut until the loop has done it and all that was written is with the clients' machines.
func (f *Front) Settle(until time.Time) {
	settle(f.loop.Load(), func() bool {
		for h, c := range f.conns {
			if h.shut(c); c.OutboundBuffered() > 0 || unacknowledged(c) {
				return false
			}
		}
		return true
	}, until)
}

// onLoop asks on the loop; false if that has not answered at until, true where there is no loop, or no more.
func onLoop(l any, ask func() bool, until time.Time) bool {
	on, ok := l.(gnet.EventLoop)
	if !ok {
		return true // nobody ever came
	}
	said := make(chan bool, 1)
	if on.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		said <- ask()
		return nil
	})) != nil {
		return true
	}
	select {
	case yes := <-said:
		return yes
	case <-time.After(time.Until(until)):
		return false
	}
}

// settle asks on the loop until the answer is yes, or the time is over.
func settle(l any, done func() bool, until time.Time) {
	for !onLoop(l, done, until) && time.Now().Before(until) {
		time.Sleep(2 * time.Millisecond)
	}
}

// Cut gives every request that is open its final answer, an error, and lets no other in: the process is about to end.
// What a client sent ahead was sent on to nobody, so it is refused: without a word it would be lost.
func (f *Front) Cut() {
	f.over.Store(true)
	f.each(func(h *client, c gnet.Conn) { h.cut(c) })
}

func (h *client) cut(c gnet.Conn) {
	if h.farewelled {
		return
	}
	codes := make([]string, h.ahead(c))
	for i := range codes {
		codes[i] = stateStarting
	}
	if h.busy {
		h.busy = false
		h.leave()         // what came of the request now is written no more
		if !h.answering { // else its answer is written whole, though not all of it has left
			codes = append([]string{stateShutdown}, codes...)
		}
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
}

// between says whether the client's last request has its answer and nothing of another has come, to the kernel either.
func (h *client) between(c gnet.Conn) bool { return !h.busy && c.InboundBuffered() == 0 && !waiting(c) }

// resting says whether a connection that was idle for so long may be closed at once: its client's machine has all its
// answers, too. Bytes that come after a close reset the connection, and take with them what has not arrived by then.
func (h *client) resting(c gnet.Conn, idle float64) bool {
	return h.between(c) && c.OutboundBuffered() == 0 && (idle > maxSilent || !unacknowledged(c))
}

// unacknowledged says whether something that was written is not yet with the peer's machine.
func unacknowledged(c gnet.Conn) bool {
	n, err := unix.IoctlGetInt(c.Fd(), unix.SIOCOUTQ)
	return err == nil && n > 0
}

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
		case !h.busy && !h.farewelled && h.asked && len(f.conns) > many && c.InboundBuffered() == 0 &&
			(idle >= minStay || h.requests == 1 && idle >= minOnce):
			if h.resting(c, idle) {
				_ = c.EventLoop().Close(c)
			}
		case h.farewelled:
			if h.shut(c) == gnet.Close || idle > maxLinger {
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
	answering  bool // busy, and the answer is written whole; some of it has not left
	farewelled bool // it has to go: what it still sends is thrown away
	shutdown   bool // and our side has ended
	closed     bool // its descriptor may be another connection's by now
	strikes    int
	unread     int
	lingered   int
	gathers    bool // answers wait in out, to go together
	out        []byte
	ctx        context.Context // ends when the client goes away
	leave      context.CancelFunc
}

// Traffic is called on the loop.
func (h *client) Traffic(c gnet.Conn) gnet.Action {
	if h.farewelled {
		h.lingered += c.InboundBuffered()
		if _, _ = c.Discard(-1); h.lingered > lingerMost {
			return gnet.Close
		}
		return gnet.None
	}
	action := h.read(c)
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
	h.closed = true
	h.front.unread -= h.unread
	h.unread = 0
	delete(h.front.conns, h)
}

// farewell tells a client why it has to go and ends our side.
func (h *client) farewell(c gnet.Conn, state, text, detail string) gnet.Action {
	h.write(c, failure(nil, "FATAL", state, text, detail))
	h.flush(c)
	return h.finish(c)
}

// finish ends our side of a connection, once what was written has left. The connection stays for a moment, in which what
// the client still sends is thrown away: closed at once, it would be reset, and a reset can eat the last answer.
func (h *client) finish(c gnet.Conn) gnet.Action {
	if h.closed {
		return gnet.None
	}
	h.farewelled, h.since = true, h.front.edge.Now()
	_, _ = c.Discard(-1)
	return h.shut(c)
}

// shut ends our side, unless something written is still to leave: Sweep and Settle come back to it then.
func (h *client) shut(c gnet.Conn) gnet.Action {
	if h.closed || h.shutdown || !h.farewelled || c.OutboundBuffered() > 0 {
		return gnet.None
	}
	h.shutdown = true
	if syscall.Shutdown(c.Fd(), syscall.SHUT_WR) != nil {
		return gnet.Close
	}
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
	for action == gnet.None && !h.busy && !h.farewelled && !h.closed && len(b) > 0 {
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
	if used > 0 && h.front.drain.Load() && h.asked && !h.closed && h.between(c) {
		return h.finish(c)
	}
	return gnet.None
}

// write does nothing once the connection is closed: gnet closes one that can't be written to, and would write the rest to
// whatever has its descriptor by then.
func (h *client) write(c gnet.Conn, b []byte) {
	switch {
	case h.closed:
	case h.gathers:
		h.out = append(h.out, b...)
	default:
		_, _ = c.Write(b)
	}
}

// flush ends the gathering of what is answered at once.
func (h *client) flush(c gnet.Conn) {
	out := h.out
	h.gathers, h.out = false, nil
	if len(out) > 0 && !h.closed {
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
		h.write(c, Welcome(h.number, command.Minor))
	case Sync:
		h.write(c, ready(nil))
	case Extended:
		h.strikes++
		h.write(c, failure(nil, "ERROR", stateUnknown, "simple queries only", ""))
	case Function:
		h.strikes++
		h.write(c, ready(failure(nil, "ERROR", stateUnknown, "simple queries only", "")))
	case Query:
		h.query(c, command.Text)
	case End, Cancel: // a query ends when its connection does
		return gnet.Close
	case Broken:
		return h.farewell(c, stateInvalid, command.Text, "")
	}
	return gnet.None
}

// Welcome answers a startup message; number names the connection.
func Welcome(number uint32, minor bool) []byte {
	var out []byte
	if minor { // a later minor version: say that 3.0 is what there is
		out = message(out, 'v', func(b []byte) []byte { return append(b, 0, 3, 0, 0, 0, 0, 0, 0) })
	}
	out = message(out, 'R', func(b []byte) []byte { return append(b, 0, 0, 0, 0) })
	for _, s := range [...][2]string{{"server_version", "15.0 (ashstand)"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}} {
		out = status(out, s[0], s[1])
	}
	out = message(out, 'K', func(b []byte) []byte {
		return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(b, number), 0)
	})
	return ready(out)
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
		s, err := statement.Parse(text)
		switch {
		case err != nil:
			h.strikes++
			out = failure(out, "ERROR", stateInvalid, err.Error(), "")
		default:
			refused := f.edge.Begin(&s)
			if refused == nil {
				h.busy = true
				go h.serve(c, s, h.since)
				return
			}
			out = reply(refused)
		}
	}
	h.write(c, ready(out))
}

// serve runs on a goroutine of its own, which ends as soon as the answer is on its way to the loop: writing it and
// taking the next command are one visit there.
func (h *client) serve(c gnet.Conn, s statement.Statement, arrived float64) {
	e := h.front.edge
	result := e.Do(h.ctx, &s, arrived)
	if result.Verdict == edge.Left {
		e.End(&s)
		return
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
		h.answering = true
		go func() {
			defer e.End(&s)
			if !h.flushed(c) {
				if h.ctx.Err() == nil { // else it is closed, or the end of the process waits for the rest to leave
					_ = c.Close()
				}
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
	h.busy, h.answering, h.since = false, false, h.front.edge.Now()
	if h.strikes++; verdict != edge.Invalid {
		h.strikes = 0
	}
	if h.unread > 0 { // what was sent ahead is waiting, and was taken
		_ = c.Wake(nil)
	} else if h.front.drain.Load() && h.between(c) && h.finish(c) == gnet.Close { // in this visit: a later one may find a request begun
		_ = c.EventLoop().Close(c)
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
	case edge.Refused:
		detail := ""
		if r.After > 0 {
			detail = strconv.Itoa(int(r.After + 0.999))
		}
		return failure(nil, "ERROR", stateRefused, r.Detail, detail)
	case edge.TimedOut:
		return failure(nil, "ERROR", stateTimeout, r.Detail, "")
	case edge.Invalid:
		return failure(nil, "ERROR", stateInvalid, r.Detail, "")
	}
	return failure(nil, "ERROR", stateFailed, r.Detail, "")
}
