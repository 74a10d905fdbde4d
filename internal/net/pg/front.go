package pg

import (
	"context"
	"encoding/binary"
	"log"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/edge"
	"ashstand/internal/net/loop"
	"ashstand/internal/statement"
)

// Bounds of the front.
const (
	maxAhead   = maxQuery + 64<<10 // unread bytes of one client: a query, and what it sends ahead
	maxUnread  = 32 << 20          // unread bytes of all clients
	maxSilent  = 10 * time.Second  // that a client may take for its startup message
	maxUntaken = 20 * time.Second  // for which a client may leave its answer in our buffer
)

// Front serves clients. Its connections' state belongs to the event loop; requests run on goroutines.
type Front struct {
	edge    *edge.Edge
	clients int // most connections
	conns   map[*client]gnet.Conn
	unread  int
	drain   atomic.Bool
	loop    atomic.Value // gnet.EventLoop, once somebody came
	last    uint32
}

// NewFront returns a front that brings requests to e and holds up to so many connections.
func NewFront(e *edge.Edge, clients int) *Front {
	return &Front{edge: e, clients: clients, conns: map[*client]gnet.Conn{}}
}

// Accept makes the handler of a connection; it is called on the event loop.
func (f *Front) Accept(c gnet.Conn) (loop.Handler, []byte, gnet.Action) {
	if len(f.conns) >= f.clients {
		log.Printf("front: %d client connections are open, one more is closed", len(f.conns))
		return nil, nil, gnet.Close
	}
	f.loop.CompareAndSwap(nil, c.EventLoop())
	f.last++
	h := &client{front: f, number: f.last, opened: time.Now()}
	h.ctx, h.leave = context.WithCancel(context.Background())
	f.conns[h] = c
	return h, nil, gnet.None
}

// Drain closes client connections between requests, now and from now on.
func (f *Front) Drain() {
	f.drain.Store(true)
	l, ok := f.loop.Load().(gnet.EventLoop)
	if !ok {
		return // nobody ever came
	}
	_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for h, c := range f.conns {
			if !h.busy && c.InboundBuffered() == 0 {
				_ = c.Close()
			}
		}
		return nil
	}))
}

// Sweep closes connections that did not say a whole startup message in time; call it every second or so.
func (f *Front) Sweep() {
	l, ok := f.loop.Load().(gnet.EventLoop)
	if !ok {
		return
	}
	_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for h, c := range f.conns {
			if !h.parser.started && time.Since(h.opened) > maxSilent {
				_ = c.Close()
			}
		}
		return nil
	}))
}

// client is one connection. A request at a time is under way; what is sent ahead of its answer waits in the
// connection's ring buffer, so answers come in the order of the commands.
type client struct {
	front  *Front
	number uint32
	opened time.Time
	parser Parser
	busy   bool
	unread int
	ctx    context.Context // ends when the client goes away
	leave  context.CancelFunc
}

// Traffic is called on the loop.
func (h *client) Traffic(c gnet.Conn) gnet.Action {
	action := h.read(c)
	f := h.front
	f.unread += c.InboundBuffered() - h.unread
	h.unread = c.InboundBuffered()
	if h.unread > maxAhead || f.unread > maxUnread && h.unread > 0 {
		log.Printf("front: a client is cut off with %d bytes unread, %d of all clients", h.unread, f.unread)
		return gnet.Close
	}
	return action
}

// Closed is called on the loop.
func (h *client) Closed(gnet.Conn, error) {
	h.leave()
	h.front.unread -= h.unread
	h.unread = 0
	delete(h.front.conns, h)
}

// read takes messages until one starts a request or no whole one is left.
func (h *client) read(c gnet.Conn) gnet.Action {
	for !h.busy {
		n := c.InboundBuffered()
		if n == 0 {
			return gnet.None
		}
		b, err := c.Peek(n)
		if err != nil {
			return gnet.Close
		}
		command := h.parser.Next(b)
		if command.Kind == Incomplete {
			return gnet.None
		}
		action := h.handle(c, &command)
		if action == gnet.Close || c.OutboundBuffered() > maxAhead { // or short errors to one that does not read
			return gnet.Close
		}
		_, _ = c.Discard(command.Used)
		if !h.busy && h.front.drain.Load() && c.InboundBuffered() == 0 {
			return gnet.Close
		}
	}
	return gnet.None
}

func (h *client) write(c gnet.Conn, b []byte) { _, _ = c.Write(b) }

// handle answers a command at once, or starts a request.
func (h *client) handle(c gnet.Conn, command *Command) gnet.Action {
	switch command.Kind {
	case Encrypt:
		h.write(c, []byte{'N'}) // as it is, in plain text
	case Startup:
		h.write(c, Welcome(h.number, command.Minor))
	case Sync:
		h.write(c, ready(nil))
	case Extended:
		h.write(c, failure(nil, "ERROR", stateUnknown, "simple queries only", ""))
	case Function:
		h.write(c, ready(failure(nil, "ERROR", stateUnknown, "simple queries only", "")))
	case Query:
		h.query(c, command.Text)
	case End, Cancel: // a query ends when its connection does
		return gnet.Close
	case Broken:
		h.write(c, failure(nil, "FATAL", stateInvalid, command.Text, ""))
		return gnet.Close
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
		if err == nil {
			h.busy = true
			f.edge.Begin()
			go h.serve(c, s, f.edge.Now())
			return
		}
		out = failure(out, "ERROR", stateInvalid, err.Error(), "")
	}
	h.write(c, ready(out))
}

// serve runs on a goroutine of its own.
func (h *client) serve(c gnet.Conn, s statement.Statement, arrived float64) {
	defer h.front.edge.End()
	result := h.front.edge.Do(h.ctx, &s, arrived)
	if result.Verdict == edge.Left {
		return
	}
	// The next command waits until this answer is out, so a client that does not read holds up itself alone
	// and an answer is not cut by a close.
	if left, err := h.put(c, Reply(&result)); err != nil || left > 0 && !h.flushed(c) {
		_ = c.Close()
		return
	}
	_ = h.run(c, func() {
		h.busy = false
		if h.unread > 0 { // what was sent ahead is waiting, and was taken
			_ = c.Wake(nil)
		} else if h.front.drain.Load() {
			_ = c.Close()
		}
	})
}

// put writes b and returns how much of it is not with the kernel yet.
func (h *client) put(c gnet.Conn, b []byte) (left int, err error) {
	done := make(chan error, 1)
	if err = c.AsyncWrite(b, func(c gnet.Conn, err error) error {
		if err == nil && h.ctx.Err() == nil {
			left = c.OutboundBuffered()
		}
		done <- err
		return nil
	}); err == nil {
		err = <-done
	}
	return left, err
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
	for t := time.Now(); time.Since(t) < maxUntaken; {
		left := 0
		if h.ctx.Err() != nil || h.run(c, func() { left = c.OutboundBuffered() }) != nil {
			return false
		}
		if left == 0 {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	log.Printf("front: a client that does not take its answer is cut off")
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
