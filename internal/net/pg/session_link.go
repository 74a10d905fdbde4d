package pg

import (
	"math"
	"strings"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
	"ashstand/internal/session"
)

// attach links the client to a server connection. If the routing decision or the tenant's assignment no
// longer holds, it returns the connection to its pool and routes the transaction again.
func (c *sessionClient) attach(s *serverConn) {
	if c.routing.call != nil && !c.routing.call.Revalidate() {
		s.returnToPool()
		c.retryRouting(dispatch.NotBegunOutcome(dispatch.NotSent))
		return
	}
	if c.routing.call != nil && !c.isAssignmentCurrent() {
		s.returnToPool()
		c.rerouteUnsent()
		return
	}
	c.server, s.session = s, c
	c.beginTransaction(s, false)
	c.pipeline.Link(s.prepared, c.routing.readOnly)
	if c.front.disabledGuarantee.Load() == "statements" {
		c.pipeline.AssumePrepared()
	}
	c.countRetained(s)
	if !s.settings.Equal(c.pipeline.Settings()) && c.front.disabledGuarantee.Load() != "settings" {
		c.restoreSettings(s)
		return
	}
	if c.routing.call != nil {
		c.recordWrite(s)
	}
	c.completeLink(s)
	if !c.input.routingPending {
		c.resume()
	}
}

// beginTransaction resets what is known of the transaction on the server connection. kept: the session had kept the connection.
func (c *sessionClient) beginTransaction(s *serverConn, kept bool) {
	s.requestSent, s.report.position, s.report.role = false, 0, ""
	c.routing.misdirected, c.routing.failed, c.routing.decided, c.routing.kept = false, false, true, kept
	c.front.stats.Transactions++
}

// restoreSettings applies the session's settings to the server connection, in one round trip.
func (c *sessionClient) restoreSettings(s *serverConn) {
	current := s.settings
	if c.pipeline.NeedsRestore() {
		current = c.pipeline.SettingsOnServer()
	}
	restoreQuery := session.RestoreQuery(current, c.pipeline.Settings())
	c.phase = phaseRestoring
	c.input.blocked = true
	c.front.stats.SettingsRestored++
	c.pipeline.SettingsSent()
	s.wire.Write(appendQuery(nil, func(b []byte) []byte { return append(b, restoreQuery...) }))
}

// settingsRestored handles the host's answer to restoreSettings. failed: the host rejected the settings.
func (c *sessionClient) settingsRestored(s *serverConn, failed bool) error {
	// A late cancel request for the session's previous query hit the restore.
	if failed && strings.HasPrefix(c.recovery.settingsError, sqlStateQueryCanceled) {
		c.recovery.settingsError = ""
		c.restoreSettings(s)
		return nil
	}
	if failed {
		// All other settings were accepted by a host before, so this is a startup parameter: the client gets
		// the error that a server gives at startup.
		text := c.recovery.settingsError
		if c.recovery.settingsError = ""; text == "" {
			text = "22023 the session's settings can't be restored"
		}
		c.unlinkServer(s)
		s.retired = true
		state, message, _ := strings.Cut(text, " ")
		if c.closeWithError(state, message, "") == gnet.Close {
			c.wire.Close()
		}
		return errHostClosing
	}
	s.settings = c.pipeline.Settings()
	c.pipeline.Restored()
	if c.routing.kept && c.routing.call != nil && !s.requestSent {
		c.settingsRestoredOnKept(s)
		return nil
	}
	// A cancel is handled before the cases below, which would route the transaction again.
	if c.routing.cancelRequested && c.routing.call != nil && !s.requestSent {
		c.unlinkServer(s)
		c.applyCancel()
		s.returnToPool()
		c.resume()
		return nil
	}
	if c.routing.call != nil && !s.requestSent && !c.routing.call.Revalidate() { // nothing from the client was sent
		c.unlinkServer(s)
		s.returnToPool()
		c.retryRouting(dispatch.NotBegunOutcome(dispatch.NotSent))
		return nil
	}
	if c.routing.call != nil && !s.requestSent && !c.isAssignmentCurrent() {
		c.unlinkServer(s)
		s.returnToPool()
		c.rerouteUnsent()
		return nil
	}
	c.routing.cancelRequested = false
	if c.routing.call != nil && !s.requestSent {
		c.recordWrite(s)
	}
	c.completeLink(s)
	c.resume()
	return nil
}

// recordWrite records that the transaction is written to its host now.
func (c *sessionClient) recordWrite(s *serverConn) {
	if c.routing.call.RecordWrite(c.front.clock.Now()) {
		c.front.violation(lifecycle.SlowStartOverrun, "session", c.number, "host", s.pool.host.name)
	}
}

// completeLink marks the client as linked and reports the server parameters that differ on this connection to
// it.
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

// checkDecided counts a violation if a transaction, which now has this status, runs without a routing decision of its own.
func (c *sessionClient) checkDecided(s *serverConn, status byte) {
	if !c.routing.decided {
		c.front.violation(lifecycle.TransactionUnrouted, "session", c.number, "host", s.pool.host.name)
	}
	c.routing.decided = status != statusIdle
}

// transactionReady handles a ReadyForQuery. The first one of a transaction ends its routing call with the
// outcome; one after a write raises the session's minimum position.
func (c *sessionClient) transactionReady(s *serverConn, status byte) {
	c.notifiedParameters = s.parameters
	c.retention.transactionBegun = false
	c.countSettings()
	if call := c.routing.call; call != nil {
		c.routing.call = nil
		c.checkFreshness(s, call)
		code := dispatch.OK
		if c.routing.misdirected {
			code = dispatch.Misdirected
		}
		call.Finish(s.outcome(code))
		if c.tenancy.tenant != nil {
			c.discardRecorded()
			c.finishRelease()
		}
	}
	// A read in a read class does not raise the minimum position: otherwise every read would require the next
	// replica to be up to date with the present.
	if status == statusIdle && (c.pipeline.TakeWrote() || c.routing.writeClass) && !c.routing.readOnly && c.front.disabledGuarantee.Load() != "position" {
		position := s.report.position
		if position == 0 { // the host reported none: the commit is not later than its answer
			position = c.front.clock.Now()
		}
		c.routing.minPosition = max(c.routing.minPosition, math.Ceil(position))
	}
	s.report.position, s.report.role = 0, ""
}

// checkFreshness counts a violation if the position that a replica reported with its answer is older than the transaction had to see.
func (c *sessionClient) checkFreshness(s *serverConn, call *dispatch.Call) {
	if !c.routing.failed && call.IsStale(s.outcome(dispatch.OK)) {
		c.front.violation(lifecycle.StaleRead, "session", c.number, "host", s.pool.host.name, "position", s.report.position, "required", call.RequiredPosition())
	}
}

// releaseServer returns the connection to its pool after a transaction, unless the session keeps it.
func (c *sessionClient) releaseServer(s *serverConn) {
	f := c.front
	if c.pipeline.StateUnknown() { // the settings on the connection are not known
		c.unlinkServer(s)
		c.pipeline.DiscardUncommitted()
		s.retired = true
		s.wire.Close()
		c.phase = phaseUnlinked
		c.resume()
		return
	}
	c.countRetained(s)
	isListed := c.isHostListed(s)
	isSticky := c.pipeline.StickyCause() != ""
	isMoved := c.tenancy.tenant != nil && c.retention.counted && c.isAssignmentMoved()
	switch {
	case f.draining:
		c.closeIfIdle()
		if c.disconnected {
			return
		}
	case isSticky && isMoved:
		if c.abandonMovedHost(s) == gnet.Close {
			c.wire.Close()
		}
		return
	case isSticky && !isListed:
		c.abandonDrainingHost(s)
		c.resume()
		return
	case isSticky, c.pool.Mode == SessionMode && isListed && !c.routing.misdirected && !isMoved:
		if c.input.blocked || c.wire.BufferedBytes() > 0 {
			c.resume()
		}
		return
	}
	c.unlinkServer(s)
	c.phase = phaseUnlinked
	hasInput := c.wire.BufferedBytes() > 0
	s.returnToPool()
	if hasInput || c.input.blocked {
		c.resume()
	}
}

// isHostListed reports whether new transactions may be sent to a connection's host.
func (c *sessionClient) isHostListed(s *serverConn) bool {
	return s.pool.host.address != "" && c.front.dispatcher.IsActive(s.pool.host.name)
}

// abandonDrainingHost unlinks a session between transactions from the connection that it kept, because the
// host is draining. The state of a sticky session can't be moved to another connection: the next statement
// gets an error that says so.
func (c *sessionClient) abandonDrainingHost(s *serverConn) {
	if cause := c.pipeline.StickyCause(); cause != "" {
		c.recovery.pendingError = &session.ErrorReply{SQLState: sqlStateConnectionFailure, Text: "the db host drains; the session's " + string(cause) + " is lost with its connection"}
		c.unlinkServer(s)
		c.pipeline.HandleConnectionLoss(false)
		s.retired = true
	} else {
		c.unlinkServer(s)
	}
	c.phase = phaseUnlinked
	s.returnToPool()
}

// detach releases what the client holds or waits for. A server connection with an open transaction or pending
// replies is closed, and the host rolls back what is not committed.
func (c *sessionClient) detach() {
	c.routing.waiter.Dequeue()
	c.dequeue()
	if s := c.server; s != nil {
		isReusable := c.pipeline.Idle() && c.phase == phaseLinked && c.pipeline.StickyCause() == "" && !c.pipeline.StateUnknown() && !s.handlingTraffic
		c.unlinkServer(s)
		switch {
		case isReusable:
			s.returnToPool()
		case s.handlingTraffic: // called from within the connection's own Traffic, which closes it afterwards
			s.retired = true
		default:
			s.retired = true
			s.wire.Close()
		}
	}
	if c.routing.call != nil {
		call := c.routing.call
		c.routing.call = nil
		call.Finish(dispatch.Outcome{Code: dispatch.Cancelled})
	}
}

// unlinkServer separates the client from its server connection.
func (c *sessionClient) unlinkServer(s *serverConn) {
	s.settings = c.pipeline.SettingsOnServer()
	s.session, c.server = nil, nil
	c.pipeline.Restored()
	c.pipeline.Unlink()
	c.uncountRetained(s)
}

// countRetained counts a session that keeps its connection after the transaction, in its pool and by the cause.
func (c *sessionClient) countRetained(s *serverConn) {
	cause := c.pipeline.StickyCause()
	if cause != "" && c.retention.stickyCause == "" {
		c.retention.class = c.routing.request.Class
		c.retention.stickyCause = cause
		c.front.clients.stickyCounts[cause]++
	}
	if (cause != "" || c.pool.Mode == SessionMode) && !c.retention.counted {
		c.retention.counted = true
		s.pool.stickyConns++
	}
}

// uncountRetained reverses countRetained.
func (c *sessionClient) uncountRetained(s *serverConn) {
	if c.retention.counted {
		c.retention.counted = false
		s.pool.stickyConns--
	}
	if c.retention.stickyCause != "" {
		c.front.clients.stickyCounts[c.retention.stickyCause]--
		c.retention.stickyCause = ""
	}
}
