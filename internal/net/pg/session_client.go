package pg

import (
	"fmt"

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
	phaseLinked                      // nothing: it has a server connection
	phaseTenantPaused                // its tenant's assignment: the tenant is paused
	phaseRejectedByHost              // the end of what a host rejected, so that it can go elsewhere
)

// blocksInput reports whether no message of the client can be taken before the phase ends.
func (p phase) blocksInput() bool {
	switch p {
	case phaseRouting, phaseQueued, phaseRestoring, phaseTenantPaused, phaseRejectedByHost:
		return true
	}
	return false
}

// sessionClient is one client with its session. It belongs to the event loop of its front: nothing of it, the states below
// included, is touched by another goroutine, so there is no lock.
type sessionClient struct {
	front      *SessionFront
	wire       loop.PausableConn
	number     uint32
	cancelKey  uint64  // what a cancel request has to name
	lastActive float64 // clock milliseconds of the last message from it or to it
	phase      phase

	pool           *PoolSettings
	identity       poolIdentity
	authentication *scramExchange // nil: none is under way
	pipeline       *session.Pipeline
	// notifiedParameters are the server parameters that the client was told last.
	notifiedParameters *parameterSet

	server    *serverConn // nil: it is linked to none
	input     inputState
	routing   routingState
	retention retentionState
	tenancy   tenancyState
	record    statementRecord
	recovery  recoveryState

	disconnected bool    // it was told to go, or its connection is closed
	closedAt     float64 // clock milliseconds at which it was told to go
}

// inputState is how far what a client sent has been taken. The event loop owns it.
type inputState struct {
	unreadBytes int       // that the front counts for this client
	reading     bool      // messages are being taken
	again       bool      // and are to be once more, after what is under way
	blocked     bool      // a message waits for what is under way
	handling    bool      // the message that waits to be routed is being taken: whoever took it goes on with it
	pendingKind byte      // kind of the message that waits to be routed; 0: none does
	ahead       readAhead // what was sent behind a message that waits
}

// routingState is where a client's transaction goes, from its first message to its first ReadyForQuery. The event loop
// owns it; a decision that is waited for on another goroutine comes back over the loop.
type routingState struct {
	waiter          session.Waiter
	call            *dispatch.Call // nil: no decision is open
	query           *session.Query // what the transaction is routed by, until it is sent
	route           session.Route
	request         dispatch.Request
	readOnly        bool
	writeClass      bool    // its class is one of writes
	misplaced       bool    // a write reached a host that takes none
	cancelRequested bool    // it was cancelled while that could not be answered at once
	minPosition     float64 // that the session's reads must see
}

// retentionState is why a session does not give its server connection back. The event loop owns it.
type retentionState struct {
	counted          bool                // in its pool, as one that keeps its connection
	stickyCause      session.StickyCause // counted at the front; "": none is
	transactionBegun bool                // on the connection that it keeps, though nothing of it may be expected yet
}

// tenancyState is what a session's database means to its transaction. The event loop owns it.
type tenancyState struct {
	tenant     *session.Tenant // nil: there are no assignments
	entry      session.QueuedTransaction
	assignment session.Assignment // by which its host was chosen
}

// recoveryState is what a client has to learn of a connection that was lost or could not be set up. The event loop owns it.
type recoveryState struct {
	settingsError string              // what a host answered to the session's settings: SQLSTATE and text
	pendingError  *session.ErrorReply // to be given to the next statement
	lostPortals   map[string]bool     // portals bound in a lost block, by whether they end it; the others are empty
}

// Closed is called on the loop.
func (c *sessionClient) Closed(gnet.Conn, error) {
	if !c.wire.ConfirmClosed() {
		return
	}
	f := c.front
	delete(f.clients.all, c)
	delete(f.clients.byCancelKey, c.cancelKey)
	delete(f.backpressure.paused, &c.wire)
	f.clients.unreadBytes -= c.input.unreadBytes
	c.input.unreadBytes, c.disconnected = 0, true
	c.detach()
	if c.tenancy.tenant != nil {
		c.discardRecorded()
		f.tenancy.tenants.RemoveSession(c.tenancy.tenant)
	}
	if c.pipeline != nil {
		c.pipeline.Close()
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
	c.wire.Write(appendError(nil, severityFatal, state, text, detail))
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
	if action == gnet.None && c.isWaiting() && c.input.ahead.hasTerminate(c.wire.BufferedBytes(), func(int) ([]byte, error) { return c.wire.Peek(), nil }, c.front.limits.Load().Message) {
		return gnet.Close
	}
	f := c.front
	n := c.countUnread()
	l := f.limits.Load()
	if c.phase == phaseTenantPaused && !c.disconnected && !f.tenancy.tenants.Grow(&c.tenancy.entry, c.waitingBytes(), f.queueBounds(c.pool)) {
		f.suspendUntil(&c.wire, c.mayResume)
	}
	if n > 0 && (n > l.Message+highWaterBytes || f.clients.unreadBytes > l.Bytes) && !c.disconnected {
		if n >= l.Message+highWaterBytes || c.phase != phaseLinked && c.phase != phaseUnlinked || c.input.blocked {
			f.suspendUntil(&c.wire, c.mayResume)
		}
	}
	return action
}

// mayResume reports whether a client that was paused is to be read again. While it is paused nobody else sees its end.
func (c *sessionClient) mayResume() bool {
	if c.isWaiting() && c.wire.PeerClosed() {
		c.wire.Close()
	}
	return c.disconnected || !c.isBlocked()
}

// isWaiting reports whether a transaction of which nothing was sent waits here.
func (c *sessionClient) isWaiting() bool {
	switch c.phase {
	case phaseRouting, phaseQueued, phaseTenantPaused, phaseRejectedByHost:
		return !c.disconnected
	case phaseRestoring:
		return !c.disconnected && c.server != nil && !c.server.requestSent
	}
	return false
}

// isBlocked reports whether a message of the client's can't be taken now.
func (c *sessionClient) isBlocked() bool {
	return c.phase.blocksInput() || c.input.blocked ||
		c.server != nil && (c.server.wire.Paused() || c.server.wire.UnsentBytes() > lowWaterBytes)
}

// resume goes on with what the client sent, from outside of its own Traffic.
func (c *sessionClient) resume() {
	c.input.blocked = false
	if c.disconnected {
		return
	}
	if c.input.reading { // a write that failed led here: the loop that wrote goes on
		c.input.again = true
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
	c.front.clients.unreadBytes += n - c.input.unreadBytes
	c.input.unreadBytes = n
	return n
}

// readMessages takes messages until one has to wait or none is complete.
func (c *sessionClient) readMessages() (action gnet.Action) {
	c.input.reading = true
	for again := true; again && action == gnet.None; again = c.input.again && !c.disconnected {
		c.input.again = false
		action = c.readRound()
	}
	c.input.reading = false
	return action
}

// readRound is one round of readMessages. What goes to the server is gathered and written at once: a pipeline of five
// messages is one system call.
func (c *sessionClient) readRound() gnet.Action {
	out := c.front.buffers.takeServer()
	action, more := gnet.None, true
	for more && action == gnet.None && !c.disconnected && !c.phase.blocksInput() {
		if out, more = c.awaitServer(out); !more {
			break
		}
		if c.phase == phaseStarting {
			more, action = c.readStartup()
		} else {
			out, more, action = c.readMessage(out)
		}
	}
	c.front.buffers.putServer(c.writeServer(out))
	return action
}

// awaitServer writes what was gathered where much waits for the server. more is false if too much still does: the client
// is paused until the server has taken it.
func (c *sessionClient) awaitServer(out []byte) (_ []byte, more bool) {
	s := c.server
	if s == nil || !s.wire.Paused() && s.wire.UnsentBytes()+len(out) <= highWaterBytes {
		return out, true
	}
	out = c.writeServer(out)
	if s.wire.Paused() || s.wire.UnsentBytes() > highWaterBytes {
		c.front.suspendUntil(&c.wire, func() bool { return c.disconnected || !c.isBlocked() })
		return out, false
	}
	return out, true
}

// readStartup takes what comes before the session is open. more is false where that is not complete yet.
func (c *sessionClient) readStartup() (more bool, action gnet.Action) {
	used, action := c.handleStartup(c.peekInput())
	if used == 0 || action == gnet.Close {
		return false, action
	}
	c.wire.Discard(used)
	return true, action
}

// readMessage takes the next message of an open session and appends what goes to the server. more is false where no
// message is complete, or where it has to wait.
func (c *sessionClient) readMessage(out []byte) (_ []byte, more bool, action gnet.Action) {
	f := c.front
	b := c.peekInput()
	kind, body, rest, ok, err := nextMessage(b, f.limits.Load().Message)
	if err != nil {
		out = c.writeServer(out)
		text := fmt.Sprintf("a message's length is out of bounds; %d bytes are allowed", f.limits.Load().Message)
		return out, false, c.closeWithError(sqlStateProtocolViolation, text, "")
	}
	if !ok {
		return out, false, gnet.None
	}
	used := len(b) - len(rest)
	c.lastActive = f.clock.Now()
	out, wait, action := c.handleMessage(out, kind, body, b[:used])
	if wait {
		return out, false, action
	}
	if !c.disconnected {
		c.discardInput(used)
	}
	return out, true, action
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
		c.record.unanswered = false
		c.lastActive = c.front.clock.Now()
		c.wire.Write(b)
	}
}

// peekInput is what the client sent that was not taken: first what is to be sent again.
func (c *sessionClient) peekInput() []byte {
	if len(c.record.replay) > 0 {
		return c.record.replay
	}
	return c.wire.Peek()
}

// discardInput takes n bytes of what peek returned.
func (c *sessionClient) discardInput(n int) {
	c.input.ahead = readAhead{}
	if len(c.record.replay) == 0 {
		c.wire.Discard(n)
	} else if c.record.replay = c.record.replay[n:]; len(c.record.replay) == 0 {
		c.record.replay = nil
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
		if c.recovery.pendingError != nil {
			c.recovery.pendingError = &session.ErrorReply{SQLState: sqlStateIdleInTransaction, Text: "the transaction was idle for too long and was rolled back"}
		}
	}
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
