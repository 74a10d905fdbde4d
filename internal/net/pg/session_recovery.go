package pg

import (
	"math"

	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// serverLost takes the loss of the server connection. The client stays.
func (c *sessionClient) serverLost(s *serverConn) {
	c.server = nil
	c.uncountRetained(s)
	if c.phase == phaseRejectedByHost { // nothing of it ran
		c.pipeline.Lose(false)
		c.replayElsewhere(nil)
		return
	}
	c.retention.transactionBegun = false
	c.dequeue()
	cutWithinMessage := s.stream.remaining > 0 && !s.stream.discarded
	sticky := c.pipeline.StickyCause()
	restoring := c.phase == phaseRestoring
	c.phase = phaseUnlinked
	if restoring && !c.pipeline.InBlock() && c.routing.call != nil { // nothing of the client's was sent
		c.rerouteRestoring()
		return
	}
	c.routing.cancelRequested = false
	loss := c.pipeline.Lose(s.requestSent)
	if call := c.routing.call; call != nil {
		c.routing.call = nil
		call.Finish(dispatch.Outcome{Code: dispatch.ConnectionLost})
	}
	c.countLoss(&loss)
	if cutWithinMessage { // the client can't be told within a value that was cut in the middle
		c.disconnected = true
		c.wire.Close()
		return
	}
	c.reportLoss(&loss, sticky)
	c.resume()
}

// rerouteRestoring routes a transaction anew whose connection was lost while it was brought to the session's settings.
func (c *sessionClient) rerouteRestoring() {
	c.pipeline.Lose(false)
	if c.applyCancel() {
		c.resume()
		return
	}
	c.routing.call.Report(dispatch.NeverBegun(dispatch.NotSent))
	c.phase = phaseRouting
	c.pickHost()
	if c.phase == phaseUnlinked || c.phase == phaseLinked {
		c.resume()
	}
}

func (c *sessionClient) countLoss(loss *session.Loss) {
	f := c.front
	switch {
	case loss.Silent:
		f.stats.LostUnnoticed++
	case loss.SQLState == session.SQLStateInDoubt:
		f.stats.LostInDoubt++
		// Whoever looks whether it happened must not be shown an older state: it is no younger than now.
		c.routing.minPosition = max(c.routing.minPosition, math.Ceil(f.clock.Now()))
	default:
		f.stats.LostSafe++
	}
}

// reportLoss tells the client of a loss, now or with its next statement. sticky is what bound the session to the connection.
func (c *sessionClient) reportLoss(loss *session.Loss, sticky session.StickyCause) {
	var out []byte
	switch {
	case loss.Cycles > 0:
		for range loss.Cycles {
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
	if !loss.Silent { // what of the settings it was told may have been rolled back: tell it all again
		c.notifiedParameters = &parameterSet{}
	}
	c.writeClient(out)
}
