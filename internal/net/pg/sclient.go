package pg

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/dispatch"
	"ashstand/internal/net/loop"
	"ashstand/internal/session"
)

// phase is what a client waits for.
type phase uint8

const (
	phaseStarting phase = iota // its startup message, or its proof of a password
	phaseFree                  // nothing: it has no server connection
	phaseRouting               // a decision where its transaction goes
	phaseQueued                // a server connection
	phaseSyncing               // the server connection to have the session's settings
	phaseLinked                // nothing: it has one
	phaseHeld                  // its tenant's home: it is paused
	phaseTurned                // the end of what a host turned away, so that it can go elsewhere
)

// sclient is one client with its session.
type sclient struct {
	front  *Sessions
	wire   loop.PausableConn
	number uint32
	key    uint64
	since  float64 // last heard, or told something
	phase  phase
	pool   *PoolSettings
	names  poolKey
	proof  *proof // of a password, while it is under way
	pipe   *session.Pipeline
	told   *params

	server    *server
	waiter    session.Waiter
	call      *dispatch.Call
	query     *session.Query // what the transaction is routed by, until it is sent
	readOnly  bool
	writes    bool    // by a class of writes
	after     float64 // position that the session's reads must see
	reading   bool    // messages are being taken
	renew     bool    // and are to be once more
	blocked   bool    // a message waits for what is under way
	misplaced bool    // a write reached a host that takes none
	kept      bool    // counted as one that keeps its connection
	pin       session.Cause
	trouble   string           // what a host said to the session's settings
	pending   *session.Refusal // to be given to the next statement
	endBlock  map[string]bool  // a portal of a lost block: whether it ends it; else it is empty
	unread    int
	gone      bool    // told to go, or closed
	hit       bool    // it was cancelled where that can't be answered at once
	behind    behind  // what it sent that waits
	asked     byte    // the kind of the message that waits to be routed
	inMessage bool    // that message is being taken: whoever took it goes on with it
	left      float64 // when it was told to go

	tenant    *session.Tenant // nil: nothing is agreed on
	held      session.Held
	begun     bool // a transaction on the connection that it keeps, though nothing of it may be due yet
	routed    session.Route
	request   dispatch.Request
	home      session.Home // by which its host was chosen
	recording bool         // the first statement is being kept, in record
	quiet     bool         // and the client was told nothing of it
	record    []byte
	runs      int    // statements in it
	resend    []byte // what a host turned away, to be taken before anything else
}

// greeting are the parameters that a client is told before it has a server connection.
var greeting = [...][2]string{
	{"server_version", "16.0 (ashstand)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// Closed is called on the loop.
func (c *sclient) Closed(gnet.Conn, error) {
	if !c.wire.ConfirmClosed() {
		return
	}
	f := c.front
	delete(f.clients, c)
	delete(f.keys, c.key)
	delete(f.paused, &c.wire)
	f.unread -= c.unread
	c.unread, c.gone = 0, true
	c.abandon()
	if c.tenant != nil {
		c.unrecord()
		f.tenants.Gone(c.tenant)
	}
	if c.pipe != nil {
		c.pipe.Close()
	}
}

// abandon lets go of whatever the client has or waits for. A connection on which something is open or due ends, and the
// host rolls back what is not committed.
func (c *sclient) abandon() {
	c.waiter.Leave()
	c.unhold()
	if s := c.server; s != nil {
		clean := c.pipe.Idle() && c.phase == phaseLinked && c.pipe.Pinned() == "" && !c.pipe.Strange() && !s.reading
		c.unlink(s)
		switch {
		case clean:
			s.rest()
		case s.reading: // from within the connection's own Traffic, which ends it
			s.worn = true
		default:
			s.worn = true
			s.wire.Close()
		}
	}
	if c.call != nil {
		call := c.call
		c.call = nil
		call.Finish(dispatch.Outcome{Code: dispatch.Cancelled})
	}
}

// unlink parts the client from its server connection.
func (c *sclient) unlink(s *server) {
	s.have = c.pipe.OnServer()
	s.client, c.server = nil, nil
	c.pipe.Restored()
	c.pipe.Unlink()
	c.unkeep(s)
}

// keep counts a session that does not give its connection back.
func (c *sclient) keep(s *server) {
	cause := c.pipe.Pinned()
	if cause != "" && c.pin == "" {
		c.pin = cause
		c.front.pinned[cause]++
	}
	if (cause != "" || c.pool.Mode == Session) && !c.kept {
		c.kept = true
		s.pool.kept++
	}
}

func (c *sclient) unkeep(s *server) {
	if c.kept {
		c.kept = false
		s.pool.kept--
	}
	if c.pin != "" {
		c.front.pinned[c.pin]--
		c.pin = ""
	}
}

// farewell tells the client why it has to go and ends our side; it is closed a moment later.
func (c *sclient) farewell(state, text, detail string) gnet.Action {
	if c.gone {
		return gnet.None
	}
	c.gone = true
	c.abandon()
	if c.wire.Conn == nil {
		return gnet.Close
	}
	c.wire.Write(failure(nil, "FATAL", state, text, detail))
	if c.wire.UnsentBytes() > 0 || shutdown(c.wire.Conn) != nil {
		return gnet.Close
	}
	c.left = c.front.clock.Now()
	c.wire.Discard(c.wire.BufferedBytes())
	return gnet.None
}

// Traffic is called on the loop.
func (c *sclient) Traffic(g gnet.Conn) gnet.Action {
	if c.gone {
		c.wire.Discard(c.wire.BufferedBytes())
		return gnet.None
	}
	action := c.read()
	if action == gnet.None && c.waits() && c.behind.goodbye(c.wire.BufferedBytes(), func(int) ([]byte, error) { return c.wire.Peek(), nil }, c.front.limits.Load().Message) {
		return gnet.Close
	}
	f := c.front
	n := c.account()
	l := f.limits.Load()
	if c.phase == phaseHeld && !c.gone && !f.tenants.Grow(&c.held, c.waiting(), f.holdBounds(c.pool)) {
		f.watch(&c.wire, c.goesOn)
	}
	if n > 0 && (n > l.Message+highWater || f.unread > l.Bytes) && !c.gone {
		if n >= l.Message+highWater || c.phase != phaseLinked && c.phase != phaseFree || c.blocked {
			f.watch(&c.wire, c.goesOn)
		}
	}
	return action
}

// goesOn says whether a client that was paused is to be read again. While it is paused nobody else sees its end.
func (c *sclient) goesOn() bool {
	if c.waits() && c.wire.PeerClosed() {
		c.wire.Close()
	}
	return c.gone || !c.busy()
}

// waits says whether a transaction of which nothing was sent waits here.
func (c *sclient) waits() bool {
	switch c.phase {
	case phaseRouting, phaseQueued, phaseHeld, phaseTurned:
		return !c.gone
	case phaseSyncing:
		return !c.gone && c.server != nil && !c.server.sent
	}
	return false
}

// busy says whether a message of the client's can't be taken now.
func (c *sclient) busy() bool {
	switch c.phase {
	case phaseRouting, phaseQueued, phaseSyncing, phaseHeld, phaseTurned:
		return true
	}
	return c.blocked || c.server != nil && (c.server.wire.Paused() || c.server.wire.UnsentBytes() > lowWater)
}

// proceed goes on with what the client sent, from outside of its own Traffic.
func (c *sclient) proceed() {
	c.blocked = false
	if c.gone {
		return
	}
	if c.reading { // a write that failed led here: the loop that wrote goes on
		c.renew = true
		return
	}
	if c.read() == gnet.Close {
		c.wire.Close()
		return
	}
	c.account()
}

// account notes how much the client sent that waits here.
func (c *sclient) account() int {
	n := c.wire.BufferedBytes()
	c.front.unread += n - c.unread
	c.unread = n
	return n
}

// read takes messages until one has to wait or no whole one is left.
func (c *sclient) read() (action gnet.Action) {
	c.reading = true
	for again := true; again && action == gnet.None; again = c.renew && !c.gone {
		c.renew = false
		action = c.take()
	}
	c.reading = false
	return action
}

// take is one round of read. What goes to the server is gathered and written at once: a pipeline of five messages is
// one system call.
func (c *sclient) take() gnet.Action {
	f := c.front
	var out []byte
	if n := len(f.buffers); n > 0 {
		out, f.buffers = f.buffers[n-1][:0], f.buffers[:n-1]
	}
	action := gnet.None
	for !c.gone && action == gnet.None {
		switch c.phase {
		case phaseRouting, phaseQueued, phaseSyncing, phaseHeld, phaseTurned:
			action = gnet.Shutdown // only out of the loop
			continue
		}
		if s := c.server; s != nil && (s.wire.Paused() || s.wire.UnsentBytes()+len(out) > highWater) {
			out = c.send(out)
			if s.wire.Paused() || s.wire.UnsentBytes() > highWater {
				f.watch(&c.wire, func() bool { return c.gone || !c.busy() })
				break
			}
		}
		b := c.peek()
		if c.phase == phaseStarting {
			used, act := c.start(b)
			if used == 0 || act == gnet.Close {
				action = act
				break
			}
			c.wire.Discard(used)
			continue
		}
		kind, body, rest, ok, err := next(b, f.limits.Load().Message)
		if err != nil {
			out = c.send(out)
			action = c.farewell(stateInvalid, fmt.Sprintf("a message's length is out of bounds; %d bytes are allowed", f.limits.Load().Message), "")
			break
		}
		if !ok {
			break
		}
		used := len(b) - len(rest)
		c.since = f.clock.Now()
		var wait bool
		if out, wait, action = c.message(out, kind, body, b[:used]); wait {
			break
		}
		if !c.gone {
			c.discard(used)
		}
	}
	out = c.send(out)
	if cap(out) > 0 && cap(out) <= 256<<10 && len(f.buffers) < 8 {
		f.buffers = append(f.buffers, out)
	}
	if action == gnet.Shutdown {
		action = gnet.None
	}
	return action
}

// send writes what was gathered to the server.
func (c *sclient) send(out []byte) []byte {
	if len(out) > 0 && c.server != nil {
		c.server.sent = true
		c.server.wire.Write(out)
	}
	return out[:0]
}

// answer writes to the client.
func (c *sclient) answer(b []byte) {
	if len(b) > 0 && !c.gone {
		c.quiet = false
		c.since = c.front.clock.Now()
		c.wire.Write(b)
	}
}

// start takes the startup message and what belongs to it.
func (c *sclient) start(b []byte) (used int, action gnet.Action) {
	if c.proof != nil {
		return c.prove(b)
	}
	if len(b) < 8 {
		return 0, gnet.None
	}
	n, code := int(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint32(b[4:])
	switch {
	case n < 8 || n > maxStartup:
		return 0, c.farewell(stateInvalid, errLength.Error(), "")
	case len(b) < n:
		return 0, gnet.None
	case code == codeSSL || code == codeGSS:
		c.answer([]byte{'N'})
		return n, gnet.None
	case code == codeCancel:
		if n == 16 {
			c.front.cancel(binary.BigEndian.Uint64(b[8:]))
		}
		return 0, gnet.Close
	case code>>16 != 3:
		return 0, c.farewell(stateInvalid, "protocol version 3 is spoken here", "")
	}
	ps := map[string]string{}
	words := strings.Split(string(b[8:n]), "\x00")
	for i := 0; i+1 < len(words) && words[i] != ""; i += 2 {
		ps[words[i]] = words[i+1]
	}
	if act := c.begin(ps, code != protocol3); act == gnet.Close || c.gone {
		return 0, act
	}
	return n, gnet.None
}

// begin opens the session.
func (c *sclient) begin(ps map[string]string, minor bool) gnet.Action {
	f := c.front
	user, database := ps["user"], ps["database"]
	if database == "" {
		database = user
	}
	l := f.limits.Load()
	switch {
	case user == "":
		return c.farewell("28000", "the startup message names no user", "")
	case ps["replication"] != "" && ps["replication"] != "false" && ps["replication"] != "off":
		return c.farewell(stateUnknown, "replication connections are not pooled", "")
	case !f.facade.Ready():
		return c.farewell(stateStarting, "no list of hosts is held yet", f.after())
	}
	c.names = poolKey{database, user}
	if c.pool = l.poolFor(database, user); c.pool == nil {
		return c.farewell("3D000", fmt.Sprintf("no pool is set for database %q and user %q", database, user), "")
	}
	values, err := startupValues(ps)
	if err != nil {
		return c.farewell("22023", err.Error(), "")
	}
	c.pipe = session.NewPipeline(values, f.catalogue)
	if f.homes != nil {
		c.tenant = f.tenants.Come(database)
		c.held.Of = c
	}
	var out []byte
	if minor {
		out = message(out, 'v', func(b []byte) []byte { return append(b, 0, 3, 0, 0, 0, 0, 0, 0) })
	}
	if len(l.Users) > 0 {
		v, ok := l.Users[user]
		if c.proof = newProof(user, v, ok); c.proof == nil {
			return c.farewell("28P01", "password authentication failed for user "+strconv.Quote(user), "")
		}
		c.answer(append(out, saslOffer...))
		return gnet.None
	}
	c.answer(out)
	c.open()
	return gnet.None
}

// startupValues are the settings that a startup message asks for.
func startupValues(ps map[string]string) (*session.Values, error) {
	v := session.None
	set := func(name, value string) {
		if name = strings.ToLower(name); name != "" {
			v = v.With(name, session.Startup(name, value))
		}
	}
	for name, value := range ps {
		switch name {
		case "user", "database", "replication", "options":
		default:
			if !strings.HasPrefix(name, "_pq_.") {
				set(name, value)
			}
		}
	}
	words := strings.Fields(strings.ReplaceAll(ps["options"], `\ `, "\x00"))
	for i := 0; i < len(words); i++ {
		w := words[i]
		switch {
		case w == "-c" && i+1 < len(words):
			i++
			w = words[i]
		case strings.HasPrefix(w, "--"):
			w = strings.ReplaceAll(w[2:], "-", "_")
		case strings.HasPrefix(w, "-c"):
			w = w[2:]
		default:
			return nil, fmt.Errorf("the startup message's options hold %q, which is no -c name=value", w)
		}
		name, value, ok := strings.Cut(strings.ReplaceAll(w, "\x00", " "), "=")
		if !ok {
			return nil, fmt.Errorf("the startup message's options hold %q, which is no name=value", w)
		}
		set(name, value)
	}
	return v, nil
}

// open welcomes a client that may come in.
func (c *sclient) open() {
	f := c.front
	f.secret(c)
	out := message(nil, 'R', func(b []byte) []byte { return append(b, 0, 0, 0, 0) })
	if f.welcome == nil {
		f.welcome = &params{of: map[string]string{}}
		for _, p := range greeting {
			f.welcome = f.welcome.with(f, p[0], p[1])
		}
	}
	c.told = f.welcome
	for _, p := range greeting {
		out = status(out, p[0], p[1])
	}
	out = message(out, 'K', func(b []byte) []byte { return binary.BigEndian.AppendUint64(b, c.key) })
	c.phase = phaseFree
	c.answer(ready(out))
}

// message takes one message. wait: it stays where it is until something that is under way is done.
func (c *sclient) message(out []byte, kind byte, body, whole []byte) (_ []byte, wait bool, _ gnet.Action) {
	if strings.IndexByte("XQPBDECSHFdcfp", kind) < 0 {
		out = c.send(out)
		return out, false, c.farewell(stateInvalid, fmt.Sprintf("message %q is unknown", kind), "")
	}
	if kind == 'X' {
		c.send(out)
		return out[:0], false, gnet.Close
	}
	if s := c.server; s != nil && c.call == nil && c.pipe.Idle() && kind != 'S' && kind != 'H' && !c.listed(s) {
		out = c.send(out)
		c.forsake(s) // a new transaction does not begin on a host that drains
	}
	if c.tenant != nil && c.server != nil && c.call == nil && !c.begun && c.pipe.Idle() && kind != 'S' && kind != 'H' {
		out = c.send(out)
		switch fate, action := c.stays(kind); fate {
		case done:
			return out, false, action
		case waits:
			return out, true, gnet.None
		}
		c.begun = c.server != nil
	}
	if c.server == nil {
		switch c.unlinked(kind, body) {
		case done:
			return out, false, gnet.None
		case broken:
			return out, false, c.farewell(stateInvalid, fmt.Sprintf("message %q is not in its form", kind), "")
		case waits:
			return out, true, gnet.None
		}
	}
	// The settings that RESET took from the session are put right before anything else runs.
	if c.pipe.Behind() && kind != 'S' && kind != 'H' && c.pipe.Due() == 0 && !c.pipe.CopyIn() {
		if out = c.send(out); c.server != nil { // else the write has failed, and what that means was said
			c.sync(c.server)
		}
		return out, true, gnet.None
	}
	if c.recording {
		c.note(kind, body, whole)
	}
	before := len(out)
	out, ok := c.forward(out, kind, body, whole)
	if !ok {
		out = c.send(out[:before])
		return out, false, c.farewell(stateInvalid, fmt.Sprintf("message %q is not in its form", kind), "")
	}
	for k := c.pipe.Local(); k != 0; k = c.pipe.Local() {
		c.answer([]byte{k, 0, 0, 0, 4})
	}
	return out, false, gnet.None
}

// what became of a message where there is no server connection.
type fate uint8

const (
	done      fate = iota // it was answered here
	waits                 // it waits for a connection
	broken                // it can't be read
	linkedNow             // the connection is there by now
)

// text is the first string of a body, and what follows.
func text(body []byte) (s string, rest []byte, ok bool) {
	for i, b := range body {
		if b == 0 {
			return string(body[:i]), body[i+1:], true
		}
	}
	return "", nil, false
}

// two are the strings that a Parse (its name, its text) and a Bind (its portal, its statement) begin with.
func two(body []byte) (first, second string, rest []byte, ok bool) {
	first, rest, ok = text(body)
	if ok {
		second, rest, ok = text(rest)
	}
	return first, second, rest, ok
}

// unlinked takes a message of a client that has no server connection.
func (c *sclient) unlinked(kind byte, body []byte) fate {
	switch kind {
	case 'S':
		c.pipe.LocalSync()
		c.answer([]byte{'Z', 0, 0, 0, 5, c.pipe.Status()})
		return done
	case 'H', 'd', 'c', 'f', 'p':
		return done
	}
	if c.pipe.Skipping() {
		return done
	}
	if c.pipe.LostBlock() || c.pending != nil {
		return c.inLostBlock(kind, body)
	}
	q := &session.Query{}
	switch kind {
	case 'Q':
		s, rest, ok := text(body)
		if !ok || len(rest) > 0 {
			return broken
		}
		*q = session.Scan(s)
		if c.local(q) {
			return done
		}
	case 'P':
		_, s, _, ok := two(body)
		if !ok {
			return broken
		}
		*q = session.Scan(s)
	case 'B':
		_, name, _, ok := two(body)
		if !ok {
			return broken
		}
		if p := c.pipe.Find(name); p != nil {
			q = &p.Query
		}
	case 'D':
		if len(body) < 2 {
			return broken
		}
		if name, _, ok := text(body[1:]); ok && body[0] == 'S' {
			if p := c.pipe.Find(name); p != nil {
				q = &p.Query
			}
		}
	case 'C':
		if len(body) < 2 {
			return broken
		}
		if name, _, ok := text(body[1:]); ok && body[0] == 'S' {
			c.pipe.Ask(name, nil)
			c.pipe.Made()
		}
		c.answer([]byte{'3', 0, 0, 0, 4})
		return done
	}
	c.inMessage = true
	c.route(q, kind)
	c.inMessage = false
	switch {
	case c.server != nil && c.phase == phaseLinked:
		return linkedNow
	case c.gone || c.phase == phaseFree: // it was refused at once
		return done
	}
	return waits
}

// local answers a query that needs no server.
func (c *sclient) local(q *session.Query) bool {
	var out []byte
	switch {
	case len(q.Statements) == 0:
		out = message(out, 'I', func(b []byte) []byte { return b })
	case len(q.Statements) > 1:
		return false
	default:
		switch s := &q.Statements[0]; {
		case s.Kind == session.Deallocate && c.pipe.Find(s.Name) != nil:
			c.pipe.Forget(s.Name, false)
			out = complete(out, "DEALLOCATE")
		case s.Kind == session.DeallocateAll:
			c.pipe.Forget("", true)
			out = complete(out, "DEALLOCATE ALL")
		case s.Kind == session.DiscardAll:
			c.pipe.DiscardAll()
			out = complete(out, "DISCARD ALL")
		default:
			return false
		}
	}
	c.answer(ready(out))
	return true
}

// inLostBlock takes a message where the connection was lost in a block, or with state that can't be carried: the first
// statement learns of it, and a block has failed until its end.
func (c *sclient) inLostBlock(kind byte, body []byte) fate {
	fail := func() {
		r := c.pending
		if c.pending = nil; r == nil {
			r = &session.Refusal{State: session.StateInBlock, Text: "current transaction is aborted, commands ignored until end of transaction block"}
		}
		c.answer(failure(nil, "ERROR", r.State, r.Text, ""))
	}
	switch kind {
	case 'Q':
		s, _, ok := text(body)
		if !ok {
			return broken
		}
		q := session.Scan(s)
		if len(q.Statements) == 0 {
			c.answer([]byte{'I', 0, 0, 0, 4, 'Z', 0, 0, 0, 5, c.pipe.Status()})
			return done
		}
		if c.pipe.LostBlock() && q.EndsBlock() {
			c.pending = nil
			c.pipe.LocalEnd()
			c.answer(ready(complete(nil, "ROLLBACK")))
			return done
		}
		fail()
		c.answer([]byte{'Z', 0, 0, 0, 5, c.pipe.Status()})
		return done
	case 'P':
		name, s, types, ok := two(body)
		if !ok {
			return broken
		}
		if q := session.Scan(s); c.pipe.LostBlock() && (q.EndsBlock() || len(q.Statements) == 0) {
			if p := c.front.catalogue.Take(s, types, c.pipe.Now()); p != nil {
				c.pipe.Ask(name, p)
				c.pipe.Made()
				c.answer([]byte{'1', 0, 0, 0, 4})
				return done
			}
		}
	case 'B':
		portal, name, _, ok := two(body)
		if !ok {
			return broken
		}
		p := c.pipe.Find(name)
		if p == nil {
			c.answer(failure(nil, "ERROR", "26000", "prepared statement "+strconv.Quote(name)+" does not exist", ""))
			c.pipe.Skip()
			return done
		}
		if c.pipe.LostBlock() && (p.Query.EndsBlock() || len(p.Query.Statements) == 0) {
			c.endBlock = map[string]bool{portal: p.Query.EndsBlock()}
			c.answer([]byte{'2', 0, 0, 0, 4})
			return done
		}
	case 'D':
		if len(body) > 1 && body[0] == 'S' {
			c.answer(message(nil, 't', func(b []byte) []byte { return append(b, 0, 0) }))
		}
		c.answer([]byte{'n', 0, 0, 0, 4})
		return done
	case 'E':
		portal, _, ok := text(body)
		end, bound := c.endBlock[portal]
		if ok && bound && !end {
			c.answer([]byte{'I', 0, 0, 0, 4})
			return done
		}
		if ok && end {
			c.endBlock, c.pending = nil, nil
			c.pipe.LocalEnd()
			c.answer(complete(nil, "ROLLBACK"))
			return done
		}
	case 'C':
		c.answer([]byte{'3', 0, 0, 0, 4})
		return done
	}
	fail()
	if kind != 'F' {
		c.pipe.Skip()
	} else {
		c.answer([]byte{'Z', 0, 0, 0, 5, c.pipe.Status()})
	}
	return done
}

// refuse gives an error to the message under way, where there is no server connection: nothing of it ran.
func (c *sclient) refuse(state, text, detail string) {
	if c.phase = phaseFree; c.server != nil { // it keeps its connection
		c.phase = phaseLinked
	}
	c.query = nil
	c.front.stats.Refused++
	c.answer(failure(nil, "ERROR", state, text, detail))
}

// consumed ends a message that was refused: a query has its ReadyForQuery, a pipeline is skipped up to Sync.
func (c *sclient) consumed(kind byte) {
	if kind == 'Q' || kind == 'F' {
		c.answer([]byte{'Z', 0, 0, 0, 5, c.pipe.Status()})
	} else {
		c.pipe.Skip()
	}
}

// route asks where a transaction goes.
func (c *sclient) route(q *session.Query, kind byte) {
	f := c.front
	ro := c.pipe.Now().Of("default_transaction_read_only")
	r, err := c.pool.Defaults.Decide(q, strings.HasSuffix(ro, "TO on") || strings.HasSuffix(ro, "TO true") || strings.HasSuffix(ro, "'on', false)"))
	if err != nil {
		c.refuse(stateInvalid, err.Error(), "")
		c.consumed(kind)
		return
	}
	now := f.clock.Now()
	deadline, ok := f.facade.Deadline(r.Class)
	if !ok {
		c.refuse(stateInvalid, "class "+strconv.Quote(r.Class)+": "+dispatch.ErrUnknownClass.Error(), "")
		c.consumed(kind)
		return
	}
	if r.Wait > 0 {
		deadline = r.Wait
	}
	patience := session.Patience(r.Wait, c.pool.Patience, answerGuard)
	key := r.Session
	if key == "" {
		key = "#" + strconv.FormatUint(uint64(c.number), 36)
	}
	c.readOnly, c.writes = r.ReadOnly, f.facade.IsWrite(r.Class)
	if len(c.resend) > 0 { // a host turned it away: its time goes on
		now = c.request.Arrived
	} else {
		c.held.Fresh()
	}
	c.waiter.Deadline = now + patience
	c.held.Deadline = c.waiter.Deadline
	c.query = q
	c.phase = phaseRouting
	c.asked = kind
	c.routed = r
	c.request = dispatch.Request{Class: r.Class, Group: r.Group, Session: key, Arrived: now, TimeRemaining: max(deadline, patience), MinPosition: max(r.After, c.after)}
	c.settle()
}

// pick takes the next decision; where there is none yet, a goroutine waits for it.
func (c *sclient) pick() {
	call := c.call
	if n, ok := call.TryPick(); ok {
		c.picked(n)
		return
	}
	f := c.front
	go func() {
		n := call.Pick()
		f.onLoop(func() {
			if c.call == call && !c.gone {
				c.picked(n)
				if c.phase == phaseLinked || c.phase == phaseFree {
					c.proceed()
				}
			}
		})
	}()
}

// picked does what was decided. Where it is refused here, the message under way has its answer.
func (c *sclient) picked(n dispatch.Decision) {
	f := c.front
	switch n.Verdict {
	case dispatch.Send:
	case dispatch.Reject:
		c.over("no host can serve this now", n.RetryAfter)
		return
	default:
		c.over("no host answered in time", f.limits.Load().After)
		return
	}
	address := f.address(n.Host)
	if address == "" {
		c.call.Report(dispatch.Outcome{Code: dispatch.NoConnection})
		c.pick()
		return
	}
	p := f.pool(n.Host, address, c.names)
	now := f.clock.Now()
	c.phase = phaseQueued
	if p.queue.Len() == 0 {
		if s := p.take(c, now); s != nil {
			c.attach(s)
			return
		}
	}
	if !p.queue.Add(&c.waiter, c.pool.Sizes.Waiting) {
		c.call.Finish(dispatch.Outcome{Code: dispatch.Rejected})
		c.over("all server connections are in use, and as many sessions wait as may", f.limits.Load().After)
		return
	}
	p.grow(f)
}

// over refuses the transaction that is being routed: nothing of it ran.
func (c *sclient) over(text string, after float64) {
	if call := c.call; call != nil {
		c.call = nil
		call.Abandon()
	}
	c.land()
	c.refuse(stateRefused, text, advice(after))
	c.drop()
}

// cancelled ends a transaction that has not begun yet.
func (c *sclient) cancelled() {
	c.refuse(stateTimeout, "canceling statement due to user request", "")
	c.drop()
}

// struck ends a transaction of which nothing was sent, if it was cancelled meanwhile.
func (c *sclient) struck() bool {
	if !c.hit || c.call == nil {
		return false
	}
	call := c.call
	c.hit, c.call = false, nil
	call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
	c.land()
	c.cancelled()
	return true
}

// drop consumes the message that was refused.
func (c *sclient) drop() {
	b := c.peek()
	if _, _, rest, ok, err := next(b, c.front.limits.Load().Message); ok && err == nil && c.asked != 0 {
		if !c.inMessage {
			c.discard(len(b) - len(rest))
		}
		c.consumed(c.asked)
	}
	c.asked = 0
}

// late says that the client's patience is over while it waits for a server connection.
func (c *sclient) late() {
	if c.gone || c.call == nil {
		return
	}
	call := c.call
	c.call = nil
	call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
	c.over("no server connection was free in time", c.front.limits.Load().After)
	c.proceed()
}

// again reports what came of an attempt that never ran and chooses anew.
func (c *sclient) again(o dispatch.Outcome) {
	c.waiter.Leave()
	if c.gone || c.call == nil {
		return
	}
	c.phase = phaseRouting
	c.call.Report(o)
	c.pick()
	if !c.inMessage && (c.phase == phaseLinked || c.phase == phaseFree) {
		c.proceed()
	}
}

// attach links the client to a server connection, unless what held when its host was chosen holds no more.
func (c *sclient) attach(s *server) {
	if c.call != nil && !c.call.Revalidate() {
		s.rest()
		c.again(dispatch.Outcome{Code: dispatch.NotSent})
		return
	}
	if c.call != nil && !c.atHome() {
		s.rest()
		c.anew()
		return
	}
	c.server, s.client = s, c
	s.sent, s.position, s.role = false, 0, ""
	c.misplaced = false
	c.pipe.Link(s.prepared, c.readOnly)
	if c.front.broken.Load() == "statements" {
		c.pipe.Assume()
	}
	c.front.stats.Transactions++
	c.keep(s)
	if !s.have.Same(c.pipe.Now()) && c.front.broken.Load() != "settings" {
		c.sync(s)
		return
	}
	c.linked(s)
	if !c.inMessage {
		c.proceed()
	}
}

// sync brings the connection to the session's settings, in one round trip.
func (c *sclient) sync(s *server) {
	have := s.have
	if c.pipe.Behind() {
		have = c.pipe.OnServer()
	}
	changes := session.Changes(have, c.pipe.Now())
	c.phase = phaseSyncing
	c.blocked = true
	c.front.stats.Restored++
	c.pipe.Settings()
	s.wire.Write(query(nil, func(b []byte) []byte { return append(b, changes...) }))
}

// restored says that the settings hold on the connection, or that a host would not have them.
func (c *sclient) restored(s *server, failed bool) error {
	if failed && strings.HasPrefix(c.trouble, stateTimeout) { // a cancel of the session's last query
		c.trouble = ""
		c.sync(s)
		return nil
	}
	if failed {
		// Of a startup parameter the client learns as from a server; all others a host took once.
		text := c.trouble
		if c.trouble = ""; text == "" {
			text = "22023 the session's settings can't be restored"
		}
		c.unlink(s)
		s.worn = true
		state, words, _ := strings.Cut(text, " ")
		if c.farewell(state, words, "") == gnet.Close {
			c.wire.Close()
		}
		return errFarewell
	}
	s.have = c.pipe.Now()
	c.pipe.Restored()
	if c.hit && c.call != nil && !s.sent { // before anything that would choose again
		c.unlink(s)
		c.struck()
		s.rest()
		c.proceed()
		return nil
	}
	if c.call != nil && !s.sent && !c.call.Revalidate() { // nothing of the client's was sent
		c.unlink(s)
		s.rest()
		c.again(dispatch.Outcome{Code: dispatch.NotSent})
		return nil
	}
	if c.call != nil && !s.sent && !c.atHome() {
		c.unlink(s)
		s.rest()
		c.anew()
		return nil
	}
	c.hit = false
	c.linked(s)
	c.proceed()
	return nil
}

// linked tells the client what is reported otherwise on this connection.
func (c *sclient) linked(s *server) {
	c.phase = phaseLinked
	if c.told == s.reported || c.told.sum == s.reported.sum {
		c.told = s.reported
		return
	}
	var out []byte
	for name, value := range s.reported.of {
		if c.told.of[name] != value {
			out = status(out, name, value)
		}
	}
	c.told = s.reported
	c.answer(out)
}

// turn takes a ReadyForQuery: what the first of a transaction tells the decisions, and how far a commit has come.
func (c *sclient) turn(s *server, status byte) {
	c.told = s.reported
	c.begun = false
	if call := c.call; call != nil {
		c.call = nil
		code := dispatch.OK
		if c.misplaced {
			code = dispatch.Misdirected
		}
		call.Finish(s.outcome(code))
		if c.tenant != nil {
			c.unrecord()
			c.land()
		}
	}
	// A read by a class of reads moves nothing: else each would ask the next one's replica for the present.
	if status == 'I' && (c.pipe.Wrote() || c.writes) && !c.readOnly && c.front.broken.Load() != "position" {
		at := s.position
		if at == 0 { // the host does not say: a commit is no younger than its answer
			at = c.front.clock.Now()
		}
		c.after = max(c.after, math.Ceil(at))
	}
	s.position, s.role = 0, ""
}

// release gives the connection back after a transaction, unless the session keeps it.
func (c *sclient) release(s *server) {
	f := c.front
	if c.pipe.Strange() { // nobody knows what holds there
		c.unlink(s)
		c.pipe.Lost()
		s.worn = true
		s.wire.Close()
		c.phase = phaseFree
		c.proceed()
		return
	}
	c.keep(s)
	listed := c.listed(s)
	pinned := c.pipe.Pinned() != ""
	moved := c.tenant != nil && c.kept && c.moved()
	switch {
	case f.drain:
		c.leaveIfIdle()
		if c.gone {
			return
		}
	case pinned && moved:
		if c.part(s) == gnet.Close {
			c.wire.Close()
		}
		return
	case pinned && !listed:
		c.forsake(s)
		c.proceed()
		return
	case pinned, c.pool.Mode == Session && listed && !c.misplaced && !moved:
		if c.blocked || c.wire.BufferedBytes() > 0 {
			c.proceed()
		}
		return
	}
	c.unlink(s)
	c.phase = phaseFree
	more := c.wire.BufferedBytes() > 0
	s.rest()
	if more || c.blocked {
		c.proceed()
	}
}

// listed says whether new work may go to a connection's host.
func (c *sclient) listed(s *server) bool {
	return s.pool.host.address != "" && c.front.facade.IsActive(s.pool.host.name)
}

// forsake leaves a connection that was kept, between transactions, since its host drains. What binds the session to it
// can't be carried; the next statement is told so.
func (c *sclient) forsake(s *server) {
	if cause := c.pipe.Pinned(); cause != "" {
		c.pending = &session.Refusal{State: stateFailed, Text: "the db host drains; the session's " + string(cause) + " is lost with its connection"}
		c.unlink(s)
		c.pipe.Lose(false)
		s.worn = true
	} else {
		c.unlink(s)
	}
	c.phase = phaseFree
	s.rest()
}

// lost says that the server connection is gone. The client stays.
func (c *sclient) lost(s *server) {
	f := c.front
	c.server = nil
	c.unkeep(s)
	if c.phase == phaseTurned { // nothing of it ran
		c.pipe.Lose(false)
		c.rerun(nil)
		return
	}
	c.begun = false
	c.unhold()
	partly := s.left > 0 && !s.dropping
	pin := c.pipe.Pinned()
	syncing := c.phase == phaseSyncing
	c.phase = phaseFree
	if syncing && !c.pipe.Explicit() && c.call != nil { // nothing of the client's was sent: choose anew
		c.pipe.Lose(false)
		if c.struck() {
			c.proceed()
			return
		}
		c.call.Report(dispatch.Outcome{Code: dispatch.NotSent})
		c.phase = phaseRouting
		c.pick()
		if c.phase == phaseFree || c.phase == phaseLinked {
			c.proceed()
		}
		return
	}
	c.hit = false
	l := c.pipe.Lose(s.sent)
	if call := c.call; call != nil {
		c.call = nil
		call.Finish(dispatch.Outcome{Code: dispatch.ConnectionLost})
	}
	switch {
	case l.Silent:
		f.stats.LostSilent++
	case l.State == session.StateDoubt:
		f.stats.LostDoubt++
		// Whoever looks whether it happened must not be shown an older state: it is no younger than now.
		c.after = max(c.after, math.Ceil(f.clock.Now()))
	default:
		f.stats.LostSafe++
	}
	if partly { // a value was cut in the middle: the client can't be told within it
		c.gone = true
		c.wire.Close()
		return
	}
	var out []byte
	switch {
	case l.Cycles > 0:
		for range l.Cycles {
			out = failure(out, "ERROR", l.State, l.Text, "")
			out = append(out, 'Z', 0, 0, 0, 5, c.pipe.Status())
		}
	case c.pipe.Skipping():
		out = failure(out, "ERROR", l.State, l.Text, "")
	case c.pipe.LostBlock():
		c.pending = &session.Refusal{State: l.State, Text: l.Text}
	case pin != "":
		c.pending = &session.Refusal{State: stateFailed, Text: "the connection to the db host was lost, and with it the session's " + string(pin)}
	}
	if !l.Silent { // what of the settings it was told may have been rolled back: tell it all again
		c.told = &params{}
	}
	c.answer(out)
	c.proceed()
}

// leaveIfIdle sends the client away if nothing of it is open: the process is to end.
func (c *sclient) leaveIfIdle() {
	if c.gone || c.phase != phaseFree && c.phase != phaseLinked && c.phase != phaseStarting || c.wire.BufferedBytes() > 0 ||
		c.phase != phaseStarting && (!c.pipe.Idle() || c.pipe.LostBlock()) {
		return
	}
	if c.farewell(stateShutdown, "the pooler restarts", "") == gnet.Close {
		c.wire.Close()
	}
}

// sweep does what is due by time.
func (c *sclient) sweep(now float64) {
	switch {
	case c.gone:
		if now-c.left > maxLinger {
			c.wire.Close()
		}
	case c.phase == phaseStarting && now-c.since > maxSilent:
		if c.farewell(stateInvalid, "no whole message came in time", "") == gnet.Close {
			c.wire.Close()
		}
	case c.wire.UnsentBytes() > 0 && now-c.since > maxUntaken:
		c.wire.Close()
	case c.phase == phaseLinked && c.server != nil && c.pipe.Due() == 0 && c.pipe.Status() != 'I' && c.pool.IdleInBlock > 0 && now-c.since > c.pool.IdleInBlock:
		c.front.stats.TimedOut++
		s := c.server
		s.worn = true
		s.wire.Close() // the host rolls back; the session goes on
		if c.pending != nil {
			c.pending = &session.Refusal{State: "25P03", Text: "the transaction was idle for too long and was rolled back"}
		}
	}
}
