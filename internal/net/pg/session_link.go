package pg

import (
	"math"
	"strings"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// attach links the client to a server connection, unless the reasons for which its host was chosen are no longer true.
func (c *sessionClient) attach(s *serverConn) {
	if c.routing.call != nil && !c.routing.call.Revalidate() {
		s.returnToPool()
		c.retryRouting(dispatch.NeverBegun(dispatch.NotSent))
		return
	}
	if c.routing.call != nil && !c.isAssignmentCurrent() {
		s.returnToPool()
		c.rerouteUnsent()
		return
	}
	c.server, s.session = s, c
	s.requestSent, s.report.position, s.report.role = false, 0, ""
	c.routing.misplaced = false
	c.pipeline.Link(s.prepared, c.routing.readOnly)
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
	if !c.input.handling {
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
	c.input.blocked = true
	c.front.stats.SettingsRestored++
	c.pipeline.SettingsSent()
	s.wire.Write(appendQuery(nil, func(b []byte) []byte { return append(b, changes...) }))
}

// settingsRestored says that the settings hold on the connection, or that a host would not have them.
func (c *sessionClient) settingsRestored(s *serverConn, failed bool) error {
	if failed && strings.HasPrefix(c.recovery.settingsError, sqlStateQueryCanceled) { // a cancel of the session's last query
		c.recovery.settingsError = ""
		c.restoreSettings(s)
		return nil
	}
	if failed {
		// Of a startup parameter the client learns as from a server; all others a host took once.
		text := c.recovery.settingsError
		if c.recovery.settingsError = ""; text == "" {
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
	if c.routing.cancelRequested && c.routing.call != nil && !s.requestSent { // before anything that would choose again
		c.unlinkServer(s)
		c.applyCancel()
		s.returnToPool()
		c.resume()
		return nil
	}
	if c.routing.call != nil && !s.requestSent && !c.routing.call.Revalidate() { // nothing of the client's was sent
		c.unlinkServer(s)
		s.returnToPool()
		c.retryRouting(dispatch.NeverBegun(dispatch.NotSent))
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
		c.routing.call.Written(c.front.clock.Now())
	}
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
	c.retention.transactionBegun = false
	if call := c.routing.call; call != nil {
		c.routing.call = nil
		code := dispatch.OK
		if c.routing.misplaced {
			code = dispatch.Misdirected
		}
		call.Finish(s.outcome(code))
		if c.tenancy.tenant != nil {
			c.discardRecorded()
			c.finishRelease()
		}
	}
	// A read by a class of reads moves nothing: else each would ask the next one's replica for the present.
	if status == statusIdle && (c.pipeline.TakeWrote() || c.routing.writeClass) && !c.routing.readOnly && c.front.disabledGuarantee.Load() != "position" {
		at := s.report.position
		if at == 0 { // the host does not say: a commit is no younger than its answer
			at = c.front.clock.Now()
		}
		c.routing.minPosition = max(c.routing.minPosition, math.Ceil(at))
	}
	s.report.position, s.report.role = 0, ""
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
	moved := c.tenancy.tenant != nil && c.retention.counted && c.isAssignmentMoved()
	switch {
	case f.draining:
		c.closeIfIdle()
		if c.disconnected {
			return
		}
	case pinned && moved:
		if c.abandonMovedHost(s) == gnet.Close {
			c.wire.Close()
		}
		return
	case pinned && !listed:
		c.abandonDrainingHost(s)
		c.resume()
		return
	case pinned, c.pool.Mode == Session && listed && !c.routing.misplaced && !moved:
		if c.input.blocked || c.wire.BufferedBytes() > 0 {
			c.resume()
		}
		return
	}
	c.unlinkServer(s)
	c.phase = phaseUnlinked
	more := c.wire.BufferedBytes() > 0
	s.returnToPool()
	if more || c.input.blocked {
		c.resume()
	}
}

// isHostListed reports whether new work may go to a connection's host.
func (c *sessionClient) isHostListed(s *serverConn) bool {
	return s.pool.host.address != "" && c.front.dispatcher.IsActive(s.pool.host.name)
}

// abandonDrainingHost gives up a connection that the session kept, between transactions, since its host drains. What
// binds the session to it can't be carried; the next statement gets an error that says so.
func (c *sessionClient) abandonDrainingHost(s *serverConn) {
	if cause := c.pipeline.StickyCause(); cause != "" {
		c.recovery.pendingError = &session.ErrorReply{SQLState: sqlStateConnectionFailure, Text: "the db host drains; the session's " + string(cause) + " is lost with its connection"}
		c.unlinkServer(s)
		c.pipeline.Lose(false)
		s.retired = true
	} else {
		c.unlinkServer(s)
	}
	c.phase = phaseUnlinked
	s.returnToPool()
}

// detach releases whatever the client has or waits for. A connection on which something is open or due ends, and the
// host rolls back what is not committed.
func (c *sessionClient) detach() {
	c.routing.waiter.Dequeue()
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
	if c.routing.call != nil {
		call := c.routing.call
		c.routing.call = nil
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
	if cause != "" && c.retention.stickyCause == "" {
		c.retention.stickyCause = cause
		c.front.clients.stickyCounts[cause]++
	}
	if (cause != "" || c.pool.Mode == Session) && !c.retention.counted {
		c.retention.counted = true
		s.pool.retained++
	}
}

// uncountRetained takes back what countRetained counted.
func (c *sessionClient) uncountRetained(s *serverConn) {
	if c.retention.counted {
		c.retention.counted = false
		s.pool.retained--
	}
	if c.retention.stickyCause != "" {
		c.front.clients.stickyCounts[c.retention.stickyCause]--
		c.retention.stickyCause = ""
	}
}
