package pg

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
	"ashstand/internal/net/loop"
	"ashstand/internal/session"
)

// phase is the state of a client, named after what it waits for.
type phase uint8

const (
	phaseStarting       phase = iota // waits for its startup message or its password proof
	phaseUnlinked                    // waits for nothing, and has no server connection
	phaseRouting                     // waits for a routing decision for its transaction
	phaseQueued                      // waits for a server connection
	phaseRestoring                   // waits until the session's settings are restored on the server connection
	phaseLinked                      // waits for nothing, and has a server connection
	phaseTenantPaused                // waits in its tenant's queue: the tenant is paused, or its assignment has to change
	phaseRejectedByHost              // waits for the ReadyForQuery after a host's rejection, to route the transaction again
)

// blocksInput reports whether no message of the client can be processed before the phase ends.
func (p phase) blocksInput() bool {
	switch p {
	case phaseRouting, phaseQueued, phaseRestoring, phaseTenantPaused, phaseRejectedByHost:
		return true
	}
	return false
}

// sessionClient is one client with its session. It is owned by the event loop of its front: no other
// goroutine accesses it or the states below, so there is no lock.
type sessionClient struct {
	front      *SessionFront
	wire       loop.PausableConn
	number     uint32
	cancelKey  uint64  // identifies the client in a cancel request
	lastActive float64 // clock milliseconds of the last message from or to the client
	phase      phase

	pool           *PoolSettings
	identity       poolIdentity
	authentication *scramExchange // nil: no exchange is under way
	pipeline       *session.Pipeline
	// notifiedParameters are the server parameters as they were last reported to the client.
	notifiedParameters *parameterSet

	server        *serverConn // nil: the client is linked to no server connection
	settingsBytes int         // that clientRegistry.settingsBytes includes for this client
	held          heldBySession
	batch         []byte // replies that are gathered while input is processed
	input         inputState
	routing       routingState
	retention     retentionState
	tenancy       tenancyState
	record        statementRecord
	recovery      recoveryState

	// disconnected is set once the session has ended: an error that ends it was sent, or the connection is closed
	// or being closed. After such an error the client may stay connected for up to maxLingerMillis; its further
	// input is discarded.
	disconnected bool
	closedAt     float64 // clock milliseconds at which the final error was written
	sendingEnded bool    // our side of the connection was shut down
}

// routingState is the routing of a client's transaction, from its first message to its first ReadyForQuery.
// The event loop owns it; a goroutine that waits for a decision hands the decision back to the loop.
type routingState struct {
	waiter          session.Waiter
	call            *dispatch.Call // nil: no transaction is being routed
	query           *session.Query // the query by which the transaction is routed, until it is sent
	route           session.Route
	request         dispatch.Request
	readOnly        bool
	writeClass      bool    // the request class is one of writes
	failed          bool    // the host answered a statement of the transaction with an error
	misdirected     bool    // the host rejected a write because it is read-only
	decided         bool    // the transaction on the server connection has a decision of its own, or none has begun there
	kept            bool    // the transaction was sent to a connection that the session had kept
	cancelRequested bool    // a cancel request came when it could not be handled at once
	minPosition     float64 // minimum position for the session's reads
}

// retentionState records why a session keeps its server connection between transactions. The event loop owns
// it.
type retentionState struct {
	counted          bool                // the session is included in its pool's stickyConns
	stickyCause      session.StickyCause // the cause under which clientRegistry.stickyCounts counts the session; "": none
	class            string              // the class by which a sticky session's connection was chosen
	transactionBegun bool                // a transaction has begun on the retained connection, perhaps with no reply due yet
}

// tenancyState is the tenant of a session, its database, and how that tenant is assigned. The event loop owns
// it.
type tenancyState struct {
	tenant     *session.Tenant // nil: there are no assignments
	entry      session.QueuedTransaction
	assignment session.Assignment // the assignment under which the host was chosen
}

// recoveryState is what remains to be reported to a client about a server connection that was lost or could
// not be set up. The event loop owns it.
type recoveryState struct {
	settingsError string              // SQLSTATE and text of a host's error when the settings were restored
	pendingError  *session.ErrorReply // the error with which the next statement is answered
	// lostPortals are the portals bound in a lost block. The value says whether the portal ends the block;
	// the others are empty queries.
	lostPortals map[string]bool
}

// Closed releases everything that the client holds once its connection is closed. It is called on the event
// loop.
func (c *sessionClient) Closed(g gnet.Conn, err error) {
	c.wire.SetClosed()
	f := c.front
	f.engine.Shares().Remove(c)
	if g != nil && err == nil && c.closedAt > 0 && !c.closeUnconfirmed(g) && f.clock.Now()-c.closedAt < maxUnsentMillis {
		f.violation(lifecycle.ClosedUnconfirmed, "session", c.number)
	}
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
	f.clients.settingsBytes -= c.settingsBytes
	c.settingsBytes = 0
	if c.pipeline != nil {
		c.pipeline.Close()
		c.forgetHeld()
	}
}

// closeUnconfirmed keeps the connection, which is being closed, until the client has confirmed what was written to it,
// and reports whether none of that can be cut.
func (c *sessionClient) closeUnconfirmed(g gnet.Conn) bool {
	if c.sendingEnded && loop.UnconfirmedBytesBeforeEnd(g.Fd()) == 0 {
		return true
	}
	return c.front.closer.Close(g, maxUnsentMillis*time.Millisecond)
}

// closeWithError sends the client a fatal error and shuts down our side of the connection. The periodic
// sweep (see sessionClient.sweep) closes the connection after maxLingerMillis unless the client does so first, and
// gives the client up to maxUnsentMillis to take what was written to it before.
func (c *sessionClient) closeWithError(state, text, detail string) gnet.Action {
	if c.disconnected {
		return gnet.None
	}
	c.disconnected = true
	c.detach()
	c.flush()
	c.wire.Write(appendError(nil, severityFatal, state, text, detail))
	c.closedAt = c.front.clock.Now()
	c.wire.DiscardAll()
	c.settleShare(gnet.None)
	return c.endSending()
}

// endSending shuts down our side of the connection once the kernel has taken everything written to the client. Until
// then, sweep calls it again. A paused connection is resumed first, since its client is disconnected (see mayResume).
func (c *sessionClient) endSending() gnet.Action {
	if c.sendingEnded || c.wire.Conn == nil || c.wire.UnsentBytes() > 0 {
		return gnet.None
	}
	c.sendingEnded = true
	if shutdownWrite(c.wire.Conn) != nil {
		return gnet.Close
	}
	return gnet.None
}

// hasLingered reports whether a client that got its final error has had the time to receive it.
func (c *sessionClient) hasLingered(now float64) bool {
	lingered := now - c.closedAt
	return lingered > maxLingerMillis && c.wire.UnsentBytes() == 0 || lingered > maxUnsentMillis
}

// isWaiting reports whether the client has a transaction that waits here and of which nothing was sent to a
// host: for its own server connection, or for the replies to the transaction before it.
func (c *sessionClient) isWaiting() bool {
	switch c.phase {
	case phaseRouting, phaseQueued, phaseTenantPaused, phaseRejectedByHost:
		return !c.disconnected
	case phaseRestoring:
		return !c.disconnected && c.server != nil && !c.server.requestSent
	}
	return c.isHeld()
}

// isHeld reports whether the next transaction of the client waits for the replies to the one before it.
func (c *sessionClient) isHeld() bool {
	return c.phase == phaseLinked && c.server != nil && c.input.blocked && !c.input.behindReplies && !c.disconnected
}

// closeHeldAtShutdown ends a session that waits with a transaction behind a running one: the running one may have run,
// and what waits has not.
func (c *sessionClient) closeHeldAtShutdown() gnet.Action {
	var out []byte
	for range c.pipeline.PendingCycles() {
		out = appendError(out, severityError, sqlStateAdminShutdown, "the pooler restarts; what was under way may have run", "")
		out = appendReadyForQuery(out, statusIdle)
	}
	c.writeClient(out)
	return c.closeWithRejection(stateCannotConnectNow, "the pooler restarts; what waited did not run", "")
}

// writeServer writes the buffer out to the server, if the client is linked to one, and returns it emptied.
func (c *sessionClient) writeServer(out []byte) []byte {
	if len(out) > 0 && c.server != nil {
		c.server.requestSent = true
		c.server.wire.Write(out)
	}
	return out[:0]
}

// writeClient writes to the client, unless it is disconnected.
func (c *sessionClient) writeClient(b []byte) {
	if len(b) > 0 && !c.disconnected {
		c.record.unanswered = false
		c.lastActive = c.front.clock.Now()
		if c.input.reading && len(c.batch)+len(b) <= replyBatchBytes {
			c.batch = append(c.batch, b...)
			return
		}
		c.flush()
		c.wire.Write(b)
	}
}

// flush writes what was gathered for the client while its input was processed: a system call for each reply would take most of the
// event loop's time.
func (c *sessionClient) flush() {
	if len(c.batch) > 0 {
		batch := c.batch
		c.batch = nil
		c.wire.Write(batch)
	}
}

// sweep enforces the client's timeouts.
func (c *sessionClient) sweep(now float64) {
	switch {
	case c.disconnected:
		if c.hasLingered(now) || c.endSending() == gnet.Close {
			c.wire.Close()
		}
	case c.phase == phaseStarting && now-c.lastActive > maxSilentMillis:
		if c.closeWithError(sqlStateProtocolViolation, "no whole message came in time", "") == gnet.Close {
			c.wire.Close()
		}
	case c.wire.UnsentBytes() > 0 && now-c.lastActive > maxUnsentMillis:
		c.wire.Close()
	case c.phase == phaseLinked && c.server != nil && c.pipeline.ExpectedReplies() == 0 && c.pipeline.Status() != 'I' && c.pool.IdleInTransactionMillis > 0 && now-c.lastActive > c.pool.IdleInTransactionMillis:
		c.front.stats.IdleInTransaction++
		s := c.server
		s.retired = true
		s.wire.Close() // the host rolls the transaction back; the session continues
		if c.recovery.pendingError != nil {
			c.recovery.pendingError = &session.ErrorReply{SQLState: sqlStateIdleInTransaction, Text: "the transaction was idle for too long and was rolled back"}
		}
	}
}

// closeIfIdle disconnects the client, because the process shuts down, unless it has input or a transaction
// under way.
func (c *sessionClient) closeIfIdle() {
	if c.disconnected || c.phase != phaseUnlinked && c.phase != phaseLinked && c.phase != phaseStarting || c.wire.BufferedBytes() > 0 ||
		c.phase != phaseStarting && (!c.pipeline.Idle() || c.pipeline.BlockLost()) {
		return
	}
	if c.closeWithError(sqlStateAdminShutdown, "the pooler restarts", "") == gnet.Close {
		c.wire.Close()
	}
}
