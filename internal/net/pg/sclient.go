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
	phaseStarting       phase = iota // its startup message, or its proof of a password
	phaseUnlinked                    // nothing: it has no server connection
	phaseRouting                     // a decision where its transaction goes
	phaseQueued                      // a server connection
	phaseRestoring                   // the server connection to have the session's settings
	phaseLinked                      // nothing: it has one
	phaseTenantPaused                // its tenant's home: it is paused
	phaseRejectedByHost              // the end of what a host turned away, so that it can go elsewhere
)

// sessionClient is one client with its session.
type sessionClient struct {
	front              *SessionFront
	wire               loop.PausableConn
	number             uint32
	cancelKey          uint64
	lastActive         float64 // last heard, or told something
	phase              phase
	pool               *PoolSettings
	identity           poolIdentity
	authentication     *scramExchange // of a password, while it is under way
	pipeline           *session.Pipeline
	notifiedParameters *parameterSet

	server          *serverConn
	waiter          session.Waiter
	call            *dispatch.Call
	routedQuery     *session.Query // what the transaction is routed by, until it is sent
	readOnly        bool
	writeClass      bool    // by a class of writes
	minPosition     float64 // position that the session's reads must see
	readingMessages bool    // messages are being taken
	readAgain       bool    // and are to be once more
	messageBlocked  bool    // a message waits for what is under way
	misplaced       bool    // a write reached a host that takes none
	countedRetained bool    // counted as one that keeps its connection
	countedCause    session.StickyCause
	settingsError   string              // what a host said to the session's settings
	pendingError    *session.ErrorReply // to be given to the next statement
	lostPortals     map[string]bool     // a portal of a lost block: whether it ends it; else it is empty
	unreadBytes     int
	disconnected    bool      // told to go, or closed
	cancelRequested bool      // it was cancelled where that can't be answered at once
	readAhead       readAhead // what it sent that waits
	pendingKind     byte      // the kind of the message that waits to be routed
	handlingMessage bool      // that message is being taken: whoever took it goes on with it
	closedAt        float64   // when it was told to go

	tenant             *session.Tenant // nil: nothing is agreed on
	queueEntry         session.QueuedTransaction
	transactionBegun   bool // a transaction on the connection that it keeps, though nothing of it may be due yet
	routeDecision      session.Route
	request            dispatch.Request
	assignment         session.Assignment // by which its host was chosen
	recording          bool               // the first statement is being kept, in record
	nothingAnswered    bool               // and the client was told nothing of it
	recorded           []byte
	recordedStatements int    // statements in it
	replay             []byte // what a host turned away, to be taken before anything else
}

// initialParameters are the parameters that a client is told before it has a server connection.
var initialParameters = [...][2]string{
	{"server_version", "16.0 (ashstand)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// Closed is called on the loop.
func (c *sessionClient) Closed(gnet.Conn, error) {
	if !c.wire.ConfirmClosed() {
		return
	}
	f := c.front
	delete(f.clients, c)
	delete(f.cancelKeys, c.cancelKey)
	delete(f.pausedWires, &c.wire)
	f.unreadBytes -= c.unreadBytes
	c.unreadBytes, c.disconnected = 0, true
	c.detach()
	if c.tenant != nil {
		c.discardRecorded()
		f.tenants.RemoveSession(c.tenant)
	}
	if c.pipeline != nil {
		c.pipeline.Close()
	}
}

// detach lets go of whatever the client has or waits for. A connection on which something is open or due ends, and the
// host rolls back what is not committed.
func (c *sessionClient) detach() {
	c.waiter.Dequeue()
	c.dequeue()
	if s := c.server; s != nil {
		clean := c.pipeline.Idle() && c.phase == phaseLinked && c.pipeline.StickyCause() == "" && !c.pipeline.StateUnknown() && !s.handlingTraffic
		c.unlinkServer(s)
		switch {
		case clean:
			s.returnToPool()
		case s.handlingTraffic: // from within the connection's own Traffic, which ends it
			s.retired = true
		default:
			s.retired = true
			s.wire.Close()
		}
	}
	if c.call != nil {
		call := c.call
		c.call = nil
		call.Finish(dispatch.Outcome{Code: dispatch.Cancelled})
	}
}

// unlinkServer parts the client from its server connection.
func (c *sessionClient) unlinkServer(s *serverConn) {
	s.settings = c.pipeline.SettingsOnServer()
	s.session, c.server = nil, nil
	c.pipeline.Restored()
	c.pipeline.Unlink()
	c.uncountRetained(s)
}

// countRetained counts a session that does not give its connection back.
func (c *sessionClient) countRetained(s *serverConn) {
	cause := c.pipeline.StickyCause()
	if cause != "" && c.countedCause == "" {
		c.countedCause = cause
		c.front.stickyCounts[cause]++
	}
	if (cause != "" || c.pool.Mode == Session) && !c.countedRetained {
		c.countedRetained = true
		s.pool.retained++
	}
}

func (c *sessionClient) uncountRetained(s *serverConn) {
	if c.countedRetained {
		c.countedRetained = false
		s.pool.retained--
	}
	if c.countedCause != "" {
		c.front.stickyCounts[c.countedCause]--
		c.countedCause = ""
	}
}

// closeWithError tells the client why it has to go and ends our side; it is closed a moment later.
func (c *sessionClient) closeWithError(state, text, detail string) gnet.Action {
	if c.disconnected {
		return gnet.None
	}
	c.disconnected = true
	c.detach()
	if c.wire.Conn == nil {
		return gnet.Close
	}
	c.wire.Write(appendError(nil, "FATAL", state, text, detail))
	if c.wire.UnsentBytes() > 0 || shutdownWrite(c.wire.Conn) != nil {
		return gnet.Close
	}
	c.closedAt = c.front.clock.Now()
	c.wire.Discard(c.wire.BufferedBytes())
	return gnet.None
}

// Traffic is called on the loop.
func (c *sessionClient) Traffic(g gnet.Conn) gnet.Action {
	if c.disconnected {
		c.wire.Discard(c.wire.BufferedBytes())
		return gnet.None
	}
	action := c.readMessages()
	if action == gnet.None && c.isWaiting() && c.readAhead.hasTerminate(c.wire.BufferedBytes(), func(int) ([]byte, error) { return c.wire.Peek(), nil }, c.front.limits.Load().Message) {
		return gnet.Close
	}
	f := c.front
	n := c.countUnread()
	l := f.limits.Load()
	if c.phase == phaseTenantPaused && !c.disconnected && !f.tenants.Grow(&c.queueEntry, c.waitingBytes(), f.queueBounds(c.pool)) {
		f.pauseUntil(&c.wire, c.mayResume)
	}
	if n > 0 && (n > l.Message+highWaterBytes || f.unreadBytes > l.Bytes) && !c.disconnected {
		if n >= l.Message+highWaterBytes || c.phase != phaseLinked && c.phase != phaseUnlinked || c.messageBlocked {
			f.pauseUntil(&c.wire, c.mayResume)
		}
	}
	return action
}

// mayResume says whether a client that was paused is to be read again. While it is paused nobody else sees its end.
func (c *sessionClient) mayResume() bool {
	if c.isWaiting() && c.wire.PeerClosed() {
		c.wire.Close()
	}
	return c.disconnected || !c.isBlocked()
}

// isWaiting says whether a transaction of which nothing was sent waits here.
func (c *sessionClient) isWaiting() bool {
	switch c.phase {
	case phaseRouting, phaseQueued, phaseTenantPaused, phaseRejectedByHost:
		return !c.disconnected
	case phaseRestoring:
		return !c.disconnected && c.server != nil && !c.server.requestSent
	}
	return false
}

// isBlocked says whether a message of the client's can't be taken now.
func (c *sessionClient) isBlocked() bool {
	switch c.phase {
	case phaseRouting, phaseQueued, phaseRestoring, phaseTenantPaused, phaseRejectedByHost:
		return true
	}
	return c.messageBlocked || c.server != nil && (c.server.wire.Paused() || c.server.wire.UnsentBytes() > lowWaterBytes)
}

// resume goes on with what the client sent, from outside of its own Traffic.
func (c *sessionClient) resume() {
	c.messageBlocked = false
	if c.disconnected {
		return
	}
	if c.readingMessages { // a write that failed led here: the loop that wrote goes on
		c.readAgain = true
		return
	}
	if c.readMessages() == gnet.Close {
		c.wire.Close()
		return
	}
	c.countUnread()
}

// countUnread notes how much the client sent that waits here.
func (c *sessionClient) countUnread() int {
	n := c.wire.BufferedBytes()
	c.front.unreadBytes += n - c.unreadBytes
	c.unreadBytes = n
	return n
}

// readMessages takes messages until one has to wait or no whole one is left.
func (c *sessionClient) readMessages() (action gnet.Action) {
	c.readingMessages = true
	for again := true; again && action == gnet.None; again = c.readAgain && !c.disconnected {
		c.readAgain = false
		action = c.readRound()
	}
	c.readingMessages = false
	return action
}

// readRound is one round of read. What goes to the server is gathered and written at once: a pipeline of five messages is
// one system call.
func (c *sessionClient) readRound() gnet.Action {
	f := c.front
	var out []byte
	if n := len(f.serverBuffers); n > 0 {
		out, f.serverBuffers = f.serverBuffers[n-1][:0], f.serverBuffers[:n-1]
	}
	action := gnet.None
	for !c.disconnected && action == gnet.None {
		switch c.phase {
		case phaseRouting, phaseQueued, phaseRestoring, phaseTenantPaused, phaseRejectedByHost:
			action = gnet.Shutdown // only out of the loop
			continue
		}
		if s := c.server; s != nil && (s.wire.Paused() || s.wire.UnsentBytes()+len(out) > highWaterBytes) {
			out = c.writeServer(out)
			if s.wire.Paused() || s.wire.UnsentBytes() > highWaterBytes {
				f.pauseUntil(&c.wire, func() bool { return c.disconnected || !c.isBlocked() })
				break
			}
		}
		b := c.peekInput()
		if c.phase == phaseStarting {
			used, act := c.readStartup(b)
			if used == 0 || act == gnet.Close {
				action = act
				break
			}
			c.wire.Discard(used)
			continue
		}
		kind, body, rest, ok, err := nextMessage(b, f.limits.Load().Message)
		if err != nil {
			out = c.writeServer(out)
			action = c.closeWithError(sqlStateProtocolViolation, fmt.Sprintf("a message's length is out of bounds; %d bytes are allowed", f.limits.Load().Message), "")
			break
		}
		if !ok {
			break
		}
		used := len(b) - len(rest)
		c.lastActive = f.clock.Now()
		var wait bool
		if out, wait, action = c.handleMessage(out, kind, body, b[:used]); wait {
			break
		}
		if !c.disconnected {
			c.discardInput(used)
		}
	}
	out = c.writeServer(out)
	if cap(out) > 0 && cap(out) <= 256<<10 && len(f.serverBuffers) < 8 {
		f.serverBuffers = append(f.serverBuffers, out)
	}
	if action == gnet.Shutdown {
		action = gnet.None
	}
	return action
}

// writeServer writes what was gathered to the server.
func (c *sessionClient) writeServer(out []byte) []byte {
	if len(out) > 0 && c.server != nil {
		c.server.requestSent = true
		c.server.wire.Write(out)
	}
	return out[:0]
}

// writeClient writes to the client.
func (c *sessionClient) writeClient(b []byte) {
	if len(b) > 0 && !c.disconnected {
		c.nothingAnswered = false
		c.lastActive = c.front.clock.Now()
		c.wire.Write(b)
	}
}

// readStartup takes the startup message and what belongs to it.
func (c *sessionClient) readStartup(b []byte) (used int, action gnet.Action) {
	if c.authentication != nil {
		return c.authenticate(b)
	}
	if len(b) < 8 {
		return 0, gnet.None
	}
	n, code := int(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint32(b[4:])
	switch {
	case n < 8 || n > maxStartupBytes:
		return 0, c.closeWithError(sqlStateProtocolViolation, errMessageLength.Error(), "")
	case len(b) < n:
		return 0, gnet.None
	case code == codeSSL || code == codeGSS:
		c.writeClient([]byte{'N'})
		return n, gnet.None
	case code == codeCancel:
		if n == 16 {
			c.front.cancel(binary.BigEndian.Uint64(b[8:]))
		}
		return 0, gnet.Close
	case code>>16 != 3:
		return 0, c.closeWithError(sqlStateProtocolViolation, "protocol version 3 is spoken here", "")
	}
	ps := map[string]string{}
	words := strings.Split(string(b[8:n]), "\x00")
	for i := 0; i+1 < len(words) && words[i] != ""; i += 2 {
		ps[words[i]] = words[i+1]
	}
	if act := c.openSession(ps, code != protocolVersion3); act == gnet.Close || c.disconnected {
		return 0, act
	}
	return n, gnet.None
}

// openSession opens the session.
func (c *sessionClient) openSession(ps map[string]string, minor bool) gnet.Action {
	f := c.front
	user, database := ps["user"], ps["database"]
	if database == "" {
		database = user
	}
	l := f.limits.Load()
	switch {
	case user == "":
		return c.closeWithError("28000", "the startup message names no user", "")
	case ps["replication"] != "" && ps["replication"] != "false" && ps["replication"] != "off":
		return c.closeWithError(sqlStateFeatureNotSupported, "replication connections are not pooled", "")
	case !f.dispatcher.Ready():
		return c.closeWithError(sqlStateCannotConnectNow, "no list of hosts is held yet", f.retryAfter())
	}
	c.identity = poolIdentity{database, user}
	if c.pool = l.poolFor(database, user); c.pool == nil {
		return c.closeWithError("3D000", fmt.Sprintf("no pool is set for database %q and user %q", database, user), "")
	}
	values, err := startupValues(ps)
	if err != nil {
		return c.closeWithError("22023", err.Error(), "")
	}
	c.pipeline = session.NewPipeline(values, f.catalogue)
	if f.assignments != nil {
		c.tenant = f.tenants.AddSession(database)
		c.queueEntry.Owner = c
	}
	var out []byte
	if minor {
		out = appendMessage(out, 'v', func(b []byte) []byte { return append(b, 0, 3, 0, 0, 0, 0, 0, 0) })
	}
	if len(l.Users) > 0 {
		v, ok := l.Users[user]
		if c.authentication = newScramExchange(user, v, ok); c.authentication == nil {
			return c.closeWithError("28P01", "password authentication failed for user "+strconv.Quote(user), "")
		}
		c.writeClient(append(out, saslOffer...))
		return gnet.None
	}
	c.writeClient(out)
	c.completeStartup()
	return gnet.None
}

// startupValues are the settings that a startup message asks for.
func startupValues(ps map[string]string) (*session.Settings, error) {
	v := session.NoSettings
	set := func(name, value string) {
		if name = strings.ToLower(name); name != "" {
			v = v.With(name, session.StartupRendering(name, value))
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

// completeStartup welcomes a client that may come in.
func (c *sessionClient) completeStartup() {
	f := c.front
	f.assignCancelKey(c)
	out := appendMessage(nil, 'R', func(b []byte) []byte { return append(b, 0, 0, 0, 0) })
	if f.initialParameters == nil {
		f.initialParameters = &parameterSet{values: map[string]string{}}
		for _, p := range initialParameters {
			f.initialParameters = f.initialParameters.with(f, p[0], p[1])
		}
	}
	c.notifiedParameters = f.initialParameters
	for _, p := range initialParameters {
		out = appendParameterStatus(out, p[0], p[1])
	}
	out = appendMessage(out, 'K', func(b []byte) []byte { return binary.BigEndian.AppendUint64(b, c.cancelKey) })
	c.phase = phaseUnlinked
	c.writeClient(appendReady(out))
}

// handleMessage takes one message. wait: it stays where it is until something that is under way is done.
func (c *sessionClient) handleMessage(out []byte, kind byte, body, whole []byte) (_ []byte, wait bool, _ gnet.Action) {
	if strings.IndexByte("XQPBDECSHFdcfp", kind) < 0 {
		out = c.writeServer(out)
		return out, false, c.closeWithError(sqlStateProtocolViolation, fmt.Sprintf("message %q is unknown", kind), "")
	}
	if kind == 'X' {
		c.writeServer(out)
		return out[:0], false, gnet.Close
	}
	if s := c.server; s != nil && c.call == nil && c.pipeline.Idle() && kind != 'S' && kind != 'H' && !c.isHostListed(s) {
		out = c.writeServer(out)
		c.leaveDrainingHost(s) // a new transaction does not begin on a host that drains
	}
	if c.tenant != nil && c.server != nil && c.call == nil && !c.transactionBegun && c.pipeline.Idle() && kind != 'S' && kind != 'H' {
		out = c.writeServer(out)
		switch fate, action := c.checkRetainedServer(kind); fate {
		case messageAnswered:
			return out, false, action
		case messageWaiting:
			return out, true, gnet.None
		}
		c.transactionBegun = c.server != nil
	}
	if c.server == nil {
		switch c.handleUnlinked(kind, body) {
		case messageAnswered:
			return out, false, gnet.None
		case messageMalformed:
			return out, false, c.closeWithError(sqlStateProtocolViolation, fmt.Sprintf("message %q is not in its form", kind), "")
		case messageWaiting:
			return out, true, gnet.None
		}
	}
	// The settings that RESET took from the session are put right before anything else runs.
	if c.pipeline.NeedsRestore() && kind != 'S' && kind != 'H' && c.pipeline.Expected() == 0 && !c.pipeline.CopyIn() {
		if out = c.writeServer(out); c.server != nil { // else the write has failed, and what that means was said
			c.restoreSettings(c.server)
		}
		return out, true, gnet.None
	}
	if c.recording {
		c.recordMessage(kind, body, whole)
	}
	before := len(out)
	out, ok := c.forwardMessage(out, kind, body, whole)
	if !ok {
		out = c.writeServer(out[:before])
		return out, false, c.closeWithError(sqlStateProtocolViolation, fmt.Sprintf("message %q is not in its form", kind), "")
	}
	for k := c.pipeline.NextLocalReply(); k != 0; k = c.pipeline.NextLocalReply() {
		c.writeClient([]byte{k, 0, 0, 0, 4})
	}
	return out, false, gnet.None
}

// what became of a message where there is no server connection.
type disposition uint8

const (
	messageAnswered  disposition = iota // it was answered here
	messageWaiting                      // it waits for a connection
	messageMalformed                    // it can't be read
	messageLinked                       // the connection is there by now
)

// cutString is the first string of a body, and what follows.
func cutString(body []byte) (s string, rest []byte, ok bool) {
	for i, b := range body {
		if b == 0 {
			return string(body[:i]), body[i+1:], true
		}
	}
	return "", nil, false
}

// cutTwoStrings are the strings that a Parse (its name, its text) and a Bind (its portal, its statement) begin with.
func cutTwoStrings(body []byte) (first, second string, rest []byte, ok bool) {
	first, rest, ok = cutString(body)
	if ok {
		second, rest, ok = cutString(rest)
	}
	return first, second, rest, ok
}

// handleUnlinked takes a message of a client that has no server connection.
func (c *sessionClient) handleUnlinked(kind byte, body []byte) disposition {
	switch kind {
	case 'S':
		c.pipeline.SyncLocally()
		c.writeClient([]byte{'Z', 0, 0, 0, 5, c.pipeline.Status()})
		return messageAnswered
	case 'H', 'd', 'c', 'f', 'p':
		return messageAnswered
	}
	if c.pipeline.Skipping() {
		return messageAnswered
	}
	if c.pipeline.BlockLost() || c.pendingError != nil {
		return c.handleLostBlock(kind, body)
	}
	q := &session.Query{}
	switch kind {
	case 'Q':
		s, rest, ok := cutString(body)
		if !ok || len(rest) > 0 {
			return messageMalformed
		}
		*q = session.Scan(s)
		if c.answerLocally(q) {
			return messageAnswered
		}
	case 'P':
		_, s, _, ok := cutTwoStrings(body)
		if !ok {
			return messageMalformed
		}
		*q = session.Scan(s)
	case 'B':
		_, name, _, ok := cutTwoStrings(body)
		if !ok {
			return messageMalformed
		}
		if p := c.pipeline.Find(name); p != nil {
			q = &p.Query
		}
	case 'D':
		if len(body) < 2 {
			return messageMalformed
		}
		if name, _, ok := cutString(body[1:]); ok && body[0] == 'S' {
			if p := c.pipeline.Find(name); p != nil {
				q = &p.Query
			}
		}
	case 'C':
		if len(body) < 2 {
			return messageMalformed
		}
		if name, _, ok := cutString(body[1:]); ok && body[0] == 'S' {
			c.pipeline.Request(name, nil)
			c.pipeline.Confirm()
		}
		c.writeClient([]byte{'3', 0, 0, 0, 4})
		return messageAnswered
	}
	c.handlingMessage = true
	c.routeTransaction(q, kind)
	c.handlingMessage = false
	switch {
	case c.server != nil && c.phase == phaseLinked:
		return messageLinked
	case c.disconnected || c.phase == phaseUnlinked: // it was refused at once
		return messageAnswered
	}
	return messageWaiting
}

// answerLocally answers a query that needs no server.
func (c *sessionClient) answerLocally(q *session.Query) bool {
	var out []byte
	switch {
	case len(q.Statements) == 0:
		out = appendMessage(out, 'I', func(b []byte) []byte { return b })
	case len(q.Statements) > 1:
		return false
	default:
		switch s := &q.Statements[0]; {
		case s.Kind == session.Deallocate && c.pipeline.Find(s.Name) != nil:
			c.pipeline.Deallocate(s.Name, false)
			out = appendCommandComplete(out, "DEALLOCATE")
		case s.Kind == session.DeallocateAll:
			c.pipeline.Deallocate("", true)
			out = appendCommandComplete(out, "DEALLOCATE ALL")
		case s.Kind == session.DiscardAll:
			c.pipeline.DiscardAll()
			out = appendCommandComplete(out, "DISCARD ALL")
		default:
			return false
		}
	}
	c.writeClient(appendReady(out))
	return true
}

// handleLostBlock takes a message where the connection was lost in a block, or with state that can't be carried: the first
// statement learns of it, and a block has failed until its end.
func (c *sessionClient) handleLostBlock(kind byte, body []byte) disposition {
	fail := func() {
		r := c.pendingError
		if c.pendingError = nil; r == nil {
			r = &session.ErrorReply{SQLState: session.SQLStateInFailedBlock, Text: "current transaction is aborted, commands ignored until end of transaction block"}
		}
		c.writeClient(appendError(nil, "ERROR", r.SQLState, r.Text, ""))
	}
	switch kind {
	case 'Q':
		s, _, ok := cutString(body)
		if !ok {
			return messageMalformed
		}
		q := session.Scan(s)
		if len(q.Statements) == 0 {
			c.writeClient([]byte{'I', 0, 0, 0, 4, 'Z', 0, 0, 0, 5, c.pipeline.Status()})
			return messageAnswered
		}
		if c.pipeline.BlockLost() && q.EndsBlock() {
			c.pendingError = nil
			c.pipeline.EndLostBlock()
			c.writeClient(appendReady(appendCommandComplete(nil, "ROLLBACK")))
			return messageAnswered
		}
		fail()
		c.writeClient([]byte{'Z', 0, 0, 0, 5, c.pipeline.Status()})
		return messageAnswered
	case 'P':
		name, s, types, ok := cutTwoStrings(body)
		if !ok {
			return messageMalformed
		}
		if q := session.Scan(s); c.pipeline.BlockLost() && (q.EndsBlock() || len(q.Statements) == 0) {
			if p := c.front.catalogue.Acquire(s, types, c.pipeline.Settings()); p != nil {
				c.pipeline.Request(name, p)
				c.pipeline.Confirm()
				c.writeClient([]byte{'1', 0, 0, 0, 4})
				return messageAnswered
			}
		}
	case 'B':
		portal, name, _, ok := cutTwoStrings(body)
		if !ok {
			return messageMalformed
		}
		p := c.pipeline.Find(name)
		if p == nil {
			c.writeClient(appendError(nil, "ERROR", "26000", "prepared statement "+strconv.Quote(name)+" does not exist", ""))
			c.pipeline.SkipUntilSync()
			return messageAnswered
		}
		if c.pipeline.BlockLost() && (p.Query.EndsBlock() || len(p.Query.Statements) == 0) {
			c.lostPortals = map[string]bool{portal: p.Query.EndsBlock()}
			c.writeClient([]byte{'2', 0, 0, 0, 4})
			return messageAnswered
		}
	case 'D':
		if len(body) > 1 && body[0] == 'S' {
			c.writeClient(appendMessage(nil, 't', func(b []byte) []byte { return append(b, 0, 0) }))
		}
		c.writeClient([]byte{'n', 0, 0, 0, 4})
		return messageAnswered
	case 'E':
		portal, _, ok := cutString(body)
		end, bound := c.lostPortals[portal]
		if ok && bound && !end {
			c.writeClient([]byte{'I', 0, 0, 0, 4})
			return messageAnswered
		}
		if ok && end {
			c.lostPortals, c.pendingError = nil, nil
			c.pipeline.EndLostBlock()
			c.writeClient(appendCommandComplete(nil, "ROLLBACK"))
			return messageAnswered
		}
	case 'C':
		c.writeClient([]byte{'3', 0, 0, 0, 4})
		return messageAnswered
	}
	fail()
	if kind != 'F' {
		c.pipeline.SkipUntilSync()
	} else {
		c.writeClient([]byte{'Z', 0, 0, 0, 5, c.pipeline.Status()})
	}
	return messageAnswered
}

// reject gives an error to the message under way, where there is no server connection: nothing of it ran.
func (c *sessionClient) reject(state, text, detail string) {
	if c.phase = phaseUnlinked; c.server != nil { // it keeps its connection
		c.phase = phaseLinked
	}
	c.routedQuery = nil
	c.front.stats.Rejected++
	c.writeClient(appendError(nil, "ERROR", state, text, detail))
}

// finishRejected ends a message that was refused: a query has its ReadyForQuery, a pipeline is skipped up to Sync.
func (c *sessionClient) finishRejected(kind byte) {
	if kind == 'Q' || kind == 'F' {
		c.writeClient([]byte{'Z', 0, 0, 0, 5, c.pipeline.Status()})
	} else {
		c.pipeline.SkipUntilSync()
	}
}

// routeTransaction asks where a transaction goes.
func (c *sessionClient) routeTransaction(q *session.Query, kind byte) {
	f := c.front
	ro := c.pipeline.Settings().Rendering("default_transaction_read_only")
	r, err := c.pool.Defaults.Route(q, strings.HasSuffix(ro, "TO on") || strings.HasSuffix(ro, "TO true") || strings.HasSuffix(ro, "'on', false)"))
	if err != nil {
		c.reject(sqlStateProtocolViolation, err.Error(), "")
		c.finishRejected(kind)
		return
	}
	now := f.clock.Now()
	deadline, ok := f.dispatcher.Deadline(r.Class)
	if !ok {
		c.reject(sqlStateProtocolViolation, "class "+strconv.Quote(r.Class)+": "+dispatch.ErrUnknownClass.Error(), "")
		c.finishRejected(kind)
		return
	}
	if r.WaitMillis > 0 {
		deadline = r.WaitMillis
	}
	patience := session.WaitTimeout(r.WaitMillis, c.pool.WaitTimeoutMillis, replyMarginMillis)
	key := r.SessionKey
	if key == "" {
		key = "#" + strconv.FormatUint(uint64(c.number), 36)
	}
	c.readOnly, c.writeClass = r.ReadOnly, f.dispatcher.IsWrite(r.Class)
	if len(c.replay) > 0 { // a host turned it away: its time goes on
		now = c.request.Arrived
	} else {
		c.queueEntry.Reset()
	}
	c.waiter.Deadline = now + patience
	c.queueEntry.Deadline = c.waiter.Deadline
	c.routedQuery = q
	c.phase = phaseRouting
	c.pendingKind = kind
	c.routeDecision = r
	c.request = dispatch.Request{Class: r.Class, Group: r.Group, Session: key, Arrived: now, TimeRemaining: max(deadline, patience), MinPosition: max(r.MinPosition, c.minPosition)}
	c.routeByAssignment()
}

// pickHost takes the next decision; where there is none yet, a goroutine waits for it.
func (c *sessionClient) pickHost() {
	call := c.call
	if n, ok := call.TryPick(); ok {
		c.hostPicked(n)
		return
	}
	f := c.front
	go func() {
		n := call.Pick()
		f.onLoop(func() {
			if c.call == call && !c.disconnected {
				c.hostPicked(n)
				if c.phase == phaseLinked || c.phase == phaseUnlinked {
					c.resume()
				}
			}
		})
	}()
}

// hostPicked does what was decided. Where it is refused here, the message under way has its answer.
func (c *sessionClient) hostPicked(n dispatch.Decision) {
	f := c.front
	switch n.Verdict {
	case dispatch.Send:
	case dispatch.Reject:
		c.rejectRouting("no host can serve this now", n.RetryAfter)
		return
	default:
		c.rejectRouting("no host answered in time", f.limits.Load().RetryAfterMillis)
		return
	}
	address := f.address(n.Host)
	if address == "" {
		c.call.Report(dispatch.Outcome{Code: dispatch.NoConnection})
		c.pickHost()
		return
	}
	p := f.pool(n.Host, address, c.identity)
	now := f.clock.Now()
	c.phase = phaseQueued
	if p.queue.Len() == 0 {
		if s := p.takeIdle(c, now); s != nil {
			c.attach(s)
			return
		}
	}
	if !p.queue.Add(&c.waiter, c.pool.Sizes.MaxWaiting) {
		c.call.Finish(dispatch.Outcome{Code: dispatch.Rejected})
		c.rejectRouting("all server connections are in use, and as many sessions wait as may", f.limits.Load().RetryAfterMillis)
		return
	}
	p.openForWaiters(f)
}

// rejectRouting refuses the transaction that is being routed: nothing of it ran.
func (c *sessionClient) rejectRouting(text string, after float64) {
	if call := c.call; call != nil {
		c.call = nil
		call.Abandon()
	}
	c.finishRelease()
	c.reject(sqlStateTooManyConnections, text, formatRetryAfter(after))
	c.consumeRejected()
}

// rejectCancelled ends a transaction that has not begun yet.
func (c *sessionClient) rejectCancelled() {
	c.reject(sqlStateQueryCanceled, "canceling statement due to user request", "")
	c.consumeRejected()
}

// applyCancel ends a transaction of which nothing was sent, if it was cancelled meanwhile.
func (c *sessionClient) applyCancel() bool {
	if !c.cancelRequested || c.call == nil {
		return false
	}
	call := c.call
	c.cancelRequested, c.call = false, nil
	call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
	c.finishRelease()
	c.rejectCancelled()
	return true
}

// consumeRejected consumes the message that was refused.
func (c *sessionClient) consumeRejected() {
	b := c.peekInput()
	if _, _, rest, ok, err := nextMessage(b, c.front.limits.Load().Message); ok && err == nil && c.pendingKind != 0 {
		if !c.handlingMessage {
			c.discardInput(len(b) - len(rest))
		}
		c.finishRejected(c.pendingKind)
	}
	c.pendingKind = 0
}

// waitExpired says that the client's patience is over while it waits for a server connection.
func (c *sessionClient) waitExpired() {
	if c.disconnected || c.call == nil {
		return
	}
	call := c.call
	c.call = nil
	call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
	c.rejectRouting("no server connection was free in time", c.front.limits.Load().RetryAfterMillis)
	c.resume()
}

// retryRouting reports what came of an attempt that never ran and chooses anew.
func (c *sessionClient) retryRouting(o dispatch.Outcome) {
	c.waiter.Dequeue()
	if c.disconnected || c.call == nil {
		return
	}
	c.phase = phaseRouting
	c.call.Report(o)
	c.pickHost()
	if !c.handlingMessage && (c.phase == phaseLinked || c.phase == phaseUnlinked) {
		c.resume()
	}
}

// attach links the client to a server connection, unless what held when its host was chosen holds no more.
func (c *sessionClient) attach(s *serverConn) {
	if c.call != nil && !c.call.Revalidate() {
		s.returnToPool()
		c.retryRouting(dispatch.Outcome{Code: dispatch.NotSent})
		return
	}
	if c.call != nil && !c.isAssignmentCurrent() {
		s.returnToPool()
		c.rerouteUnsent()
		return
	}
	c.server, s.session = s, c
	s.requestSent, s.reportedPosition, s.reportedRole = false, 0, ""
	c.misplaced = false
	c.pipeline.Link(s.prepared, c.readOnly)
	if c.front.disabledGuarantee.Load() == "statements" {
		c.pipeline.AssumePrepared()
	}
	c.front.stats.Transactions++
	c.countRetained(s)
	if !s.settings.Equal(c.pipeline.Settings()) && c.front.disabledGuarantee.Load() != "settings" {
		c.restoreSettings(s)
		return
	}
	c.completeLink(s)
	if !c.handlingMessage {
		c.resume()
	}
}

// restoreSettings brings the connection to the session's settings, in one round trip.
func (c *sessionClient) restoreSettings(s *serverConn) {
	have := s.settings
	if c.pipeline.NeedsRestore() {
		have = c.pipeline.SettingsOnServer()
	}
	changes := session.RestoreQuery(have, c.pipeline.Settings())
	c.phase = phaseRestoring
	c.messageBlocked = true
	c.front.stats.SettingsRestored++
	c.pipeline.SettingsSent()
	s.wire.Write(appendQuery(nil, func(b []byte) []byte { return append(b, changes...) }))
}

// settingsRestored says that the settings hold on the connection, or that a host would not have them.
func (c *sessionClient) settingsRestored(s *serverConn, failed bool) error {
	if failed && strings.HasPrefix(c.settingsError, sqlStateQueryCanceled) { // a cancel of the session's last query
		c.settingsError = ""
		c.restoreSettings(s)
		return nil
	}
	if failed {
		// Of a startup parameter the client learns as from a server; all others a host took once.
		text := c.settingsError
		if c.settingsError = ""; text == "" {
			text = "22023 the session's settings can't be restored"
		}
		c.unlinkServer(s)
		s.retired = true
		state, words, _ := strings.Cut(text, " ")
		if c.closeWithError(state, words, "") == gnet.Close {
			c.wire.Close()
		}
		return errHostClosing
	}
	s.settings = c.pipeline.Settings()
	c.pipeline.Restored()
	if c.cancelRequested && c.call != nil && !s.requestSent { // before anything that would choose again
		c.unlinkServer(s)
		c.applyCancel()
		s.returnToPool()
		c.resume()
		return nil
	}
	if c.call != nil && !s.requestSent && !c.call.Revalidate() { // nothing of the client's was sent
		c.unlinkServer(s)
		s.returnToPool()
		c.retryRouting(dispatch.Outcome{Code: dispatch.NotSent})
		return nil
	}
	if c.call != nil && !s.requestSent && !c.isAssignmentCurrent() {
		c.unlinkServer(s)
		s.returnToPool()
		c.rerouteUnsent()
		return nil
	}
	c.cancelRequested = false
	c.completeLink(s)
	c.resume()
	return nil
}

// completeLink tells the client what is reported otherwise on this connection.
func (c *sessionClient) completeLink(s *serverConn) {
	c.phase = phaseLinked
	if c.notifiedParameters == s.parameters || c.notifiedParameters.fingerprint == s.parameters.fingerprint {
		c.notifiedParameters = s.parameters
		return
	}
	var out []byte
	for name, value := range s.parameters.values {
		if c.notifiedParameters.values[name] != value {
			out = appendParameterStatus(out, name, value)
		}
	}
	c.notifiedParameters = s.parameters
	c.writeClient(out)
}

// transactionReady takes a ReadyForQuery: what the first of a transaction tells the decisions, and how far a commit has come.
func (c *sessionClient) transactionReady(s *serverConn, status byte) {
	c.notifiedParameters = s.parameters
	c.transactionBegun = false
	if call := c.call; call != nil {
		c.call = nil
		code := dispatch.OK
		if c.misplaced {
			code = dispatch.Misdirected
		}
		call.Finish(s.outcome(code))
		if c.tenant != nil {
			c.discardRecorded()
			c.finishRelease()
		}
	}
	// A read by a class of reads moves nothing: else each would ask the next one's replica for the present.
	if status == 'I' && (c.pipeline.TakeWrote() || c.writeClass) && !c.readOnly && c.front.disabledGuarantee.Load() != "position" {
		at := s.reportedPosition
		if at == 0 { // the host does not say: a commit is no younger than its answer
			at = c.front.clock.Now()
		}
		c.minPosition = max(c.minPosition, math.Ceil(at))
	}
	s.reportedPosition, s.reportedRole = 0, ""
}

// releaseServer gives the connection back after a transaction, unless the session keeps it.
func (c *sessionClient) releaseServer(s *serverConn) {
	f := c.front
	if c.pipeline.StateUnknown() { // nobody knows what holds there
		c.unlinkServer(s)
		c.pipeline.Lost()
		s.retired = true
		s.wire.Close()
		c.phase = phaseUnlinked
		c.resume()
		return
	}
	c.countRetained(s)
	listed := c.isHostListed(s)
	pinned := c.pipeline.StickyCause() != ""
	moved := c.tenant != nil && c.countedRetained && c.isAssignmentMoved()
	switch {
	case f.draining:
		c.closeIfIdle()
		if c.disconnected {
			return
		}
	case pinned && moved:
		if c.leaveMovedHost(s) == gnet.Close {
			c.wire.Close()
		}
		return
	case pinned && !listed:
		c.leaveDrainingHost(s)
		c.resume()
		return
	case pinned, c.pool.Mode == Session && listed && !c.misplaced && !moved:
		if c.messageBlocked || c.wire.BufferedBytes() > 0 {
			c.resume()
		}
		return
	}
	c.unlinkServer(s)
	c.phase = phaseUnlinked
	more := c.wire.BufferedBytes() > 0
	s.returnToPool()
	if more || c.messageBlocked {
		c.resume()
	}
}

// isHostListed says whether new work may go to a connection's host.
func (c *sessionClient) isHostListed(s *serverConn) bool {
	return s.pool.host.address != "" && c.front.dispatcher.IsActive(s.pool.host.name)
}

// leaveDrainingHost leaves a connection that was kept, between transactions, since its host drains. What binds the session to it
// can't be carried; the next statement is told so.
func (c *sessionClient) leaveDrainingHost(s *serverConn) {
	if cause := c.pipeline.StickyCause(); cause != "" {
		c.pendingError = &session.ErrorReply{SQLState: sqlStateConnectionFailure, Text: "the db host drains; the session's " + string(cause) + " is lost with its connection"}
		c.unlinkServer(s)
		c.pipeline.Lose(false)
		s.retired = true
	} else {
		c.unlinkServer(s)
	}
	c.phase = phaseUnlinked
	s.returnToPool()
}

// serverLost says that the server connection is gone. The client stays.
func (c *sessionClient) serverLost(s *serverConn) {
	f := c.front
	c.server = nil
	c.uncountRetained(s)
	if c.phase == phaseRejectedByHost { // nothing of it ran
		c.pipeline.Lose(false)
		c.replayElsewhere(nil)
		return
	}
	c.transactionBegun = false
	c.dequeue()
	partly := s.streamRemaining > 0 && !s.streamDiscarded
	pin := c.pipeline.StickyCause()
	syncing := c.phase == phaseRestoring
	c.phase = phaseUnlinked
	if syncing && !c.pipeline.InBlock() && c.call != nil { // nothing of the client's was sent: choose anew
		c.pipeline.Lose(false)
		if c.applyCancel() {
			c.resume()
			return
		}
		c.call.Report(dispatch.Outcome{Code: dispatch.NotSent})
		c.phase = phaseRouting
		c.pickHost()
		if c.phase == phaseUnlinked || c.phase == phaseLinked {
			c.resume()
		}
		return
	}
	c.cancelRequested = false
	l := c.pipeline.Lose(s.requestSent)
	if call := c.call; call != nil {
		c.call = nil
		call.Finish(dispatch.Outcome{Code: dispatch.ConnectionLost})
	}
	switch {
	case l.Silent:
		f.stats.LostUnnoticed++
	case l.SQLState == session.SQLStateInDoubt:
		f.stats.LostInDoubt++
		// Whoever looks whether it happened must not be shown an older state: it is no younger than now.
		c.minPosition = max(c.minPosition, math.Ceil(f.clock.Now()))
	default:
		f.stats.LostSafe++
	}
	if partly { // a value was cut in the middle: the client can't be told within it
		c.disconnected = true
		c.wire.Close()
		return
	}
	var out []byte
	switch {
	case l.Cycles > 0:
		for range l.Cycles {
			out = appendError(out, "ERROR", l.SQLState, l.Text, "")
			out = append(out, 'Z', 0, 0, 0, 5, c.pipeline.Status())
		}
	case c.pipeline.Skipping():
		out = appendError(out, "ERROR", l.SQLState, l.Text, "")
	case c.pipeline.BlockLost():
		c.pendingError = &session.ErrorReply{SQLState: l.SQLState, Text: l.Text}
	case pin != "":
		c.pendingError = &session.ErrorReply{SQLState: sqlStateConnectionFailure, Text: "the connection to the db host was lost, and with it the session's " + string(pin)}
	}
	if !l.Silent { // what of the settings it was told may have been rolled back: tell it all again
		c.notifiedParameters = &parameterSet{}
	}
	c.writeClient(out)
	c.resume()
}

// closeIfIdle sends the client away if nothing of it is open: the process is to end.
func (c *sessionClient) closeIfIdle() {
	if c.disconnected || c.phase != phaseUnlinked && c.phase != phaseLinked && c.phase != phaseStarting || c.wire.BufferedBytes() > 0 ||
		c.phase != phaseStarting && (!c.pipeline.Idle() || c.pipeline.BlockLost()) {
		return
	}
	if c.closeWithError(sqlStateAdminShutdown, "the pooler restarts", "") == gnet.Close {
		c.wire.Close()
	}
}

// sweep does what is due by time.
func (c *sessionClient) sweep(now float64) {
	switch {
	case c.disconnected:
		if now-c.closedAt > maxLingerMillis {
			c.wire.Close()
		}
	case c.phase == phaseStarting && now-c.lastActive > maxSilentMillis:
		if c.closeWithError(sqlStateProtocolViolation, "no whole message came in time", "") == gnet.Close {
			c.wire.Close()
		}
	case c.wire.UnsentBytes() > 0 && now-c.lastActive > maxUnsentMillis:
		c.wire.Close()
	case c.phase == phaseLinked && c.server != nil && c.pipeline.Expected() == 0 && c.pipeline.Status() != 'I' && c.pool.IdleInTransactionMillis > 0 && now-c.lastActive > c.pool.IdleInTransactionMillis:
		c.front.stats.IdleInTransaction++
		s := c.server
		s.retired = true
		s.wire.Close() // the host rolls back; the session goes on
		if c.pendingError != nil {
			c.pendingError = &session.ErrorReply{SQLState: "25P03", Text: "the transaction was idle for too long and was rolled back"}
		}
	}
}
