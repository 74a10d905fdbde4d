package pg

import (
	"math"

	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// serverLost handles the loss of the server connection. The client stays connected, except where the
// connection broke within a message that is being streamed to it.
func (c *sessionClient) serverLost(s *serverConn) {
	c.server = nil
	c.uncountRetained(s)
	if c.phase == phaseRejectedByHost { // nothing of the transaction ran
		c.pipeline.HandleConnectionLoss(false)
		c.replayElsewhere(nil)
		return
	}
	c.retention.transactionBegun = false
	c.dequeue()
	cutWithinMessage := s.stream.remaining > 0 && !s.stream.discarded
	sticky := c.pipeline.StickyCause()
	restoring := c.phase == phaseRestoring
	c.phase = phaseUnlinked
	if restoring && !c.pipeline.InBlock() && c.routing.call != nil && sticky == "" { // nothing from the client was sent
		c.rerouteRestoring()
		return
	}
	c.routing.cancelRequested = false
	loss := c.pipeline.HandleConnectionLoss(s.requestSent)
	if call := c.routing.call; call != nil {
		c.routing.call = nil
		call.Finish(dispatch.Outcome{Code: dispatch.ConnectionLost})
	}
	c.countHeld()
	c.countLoss(&loss)
	if cutWithinMessage { // no error can be sent in the middle of a message
		c.disconnected = true
		c.wire.Close()
		return
	}
	c.reportLoss(&loss, sticky)
	c.resume()
}

// rerouteRestoring routes a transaction again whose connection was lost while the session's settings were
// being restored.
func (c *sessionClient) rerouteRestoring() {
	c.pipeline.HandleConnectionLoss(false)
	if c.applyCancel() {
		c.resume()
		return
	}
	c.routing.call.Report(dispatch.NotBegunOutcome(dispatch.NotSent))
	c.phase = phaseRouting
	c.pickHost()
	if c.phase == phaseUnlinked || c.phase == phaseLinked {
		c.resume()
	}
}

// countLoss counts a loss by what it means to the client.
func (c *sessionClient) countLoss(loss *session.Loss) {
	f := c.front
	switch {
	case loss.Silent:
		f.stats.LostUnnoticed++
	case loss.SQLState == session.SQLStateInDoubt:
		f.stats.LostInDoubt++
		// The commit may have happened, at the latest now. A client that checks for it must not read an older
		// state.
		c.routing.minPosition = max(c.routing.minPosition, math.Ceil(f.clock.Now()))
	default:
		f.stats.LostSafe++
	}
}

// reportLoss reports a loss to the client, now or with its next statement. sticky is why the session was
// bound to the connection; empty: it was not.
func (c *sessionClient) reportLoss(loss *session.Loss, sticky session.StickyCause) {
	var out []byte
	switch {
	case loss.PendingReadyForQuery > 0:
		for range loss.PendingReadyForQuery {
			out = appendError(out, severityError, loss.SQLState, loss.Text, "")
			out = appendReadyForQuery(out, c.pipeline.Status())
		}
	case c.pipeline.Skipping():
		out = appendError(out, severityError, loss.SQLState, loss.Text, "")
	case c.pipeline.BlockLost():
		c.recovery.pendingError = &session.ErrorReply{SQLState: loss.SQLState, Text: loss.Text}
	case sticky != "":
		c.recovery.pendingError = &session.ErrorReply{
			SQLState: sqlStateConnectionFailure,
			Text:     "the connection to the db host was lost, and with it the session's " + string(sticky),
		}
	}
	if !loss.Silent { // reported settings may have been rolled back: report all of them again
		c.notifiedParameters = &parameterSet{}
	}
	c.writeClient(out)
}
