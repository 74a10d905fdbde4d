package pg

import (
	"log/slog"
	"syscall"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/lifecycle"
)

// Client connections are closed here and nowhere else: the linter rejects gnet.Close and EventLoop.Close in the other files of
// this front. Each close has a reason, and a close without a word is asked for in lifecycle.MayClose.

// closeState is how a client's connection ends. The event loop owns it.
type closeState struct {
	closingWithError bool // the client was told to go: what it still sends is not read
	sendingEnded     bool // our side of the connection is shut down
	lingeredBytes    int  // that it sent since
	closeReason      lifecycle.CloseReason
	hasCloseReason   bool
}

// mayClose decides whether the client's connection may be closed without a word now.
func (h *client) mayClose(c gnet.Conn) lifecycle.Decision {
	return lifecycle.MayClose(lifecycle.CloseFacts{
		RequestInFlight: h.isBlocked(),
		CommandsWait:    !h.queue.isEmpty(),
		BufferedBytes:   c.InboundBuffered(),
		BytesUnsent:     c.OutboundBuffered() > 0,
		BytesUnread:     hasUnreadBytes(c),
	})
}

// closeIfIdle closes the connection if it is between requests, and reports whether it did.
func (h *client) closeIfIdle(c gnet.Conn, reason lifecycle.CloseReason) bool {
	if !h.mayClose(c).OK() {
		return false
	}
	h.close(c, reason)
	return true
}

// close closes the connection, from outside of its own Traffic.
func (h *client) close(c gnet.Conn, reason lifecycle.CloseReason) {
	h.noteClose(reason)
	_ = c.EventLoop().Close(c)
}

// closing has the caller's visit to the event loop end with a close.
func (h *client) closing(reason lifecycle.CloseReason) gnet.Action {
	h.noteClose(reason)
	return gnet.Close
}

// finishAction closes the connection if an action says so, from outside of its own Traffic.
func (h *client) finishAction(c gnet.Conn, action gnet.Action) {
	if isClose(action) {
		_ = c.EventLoop().Close(c)
	}
}

// isClose reports whether an action closes the connection.
func isClose(action gnet.Action) bool { return action == gnet.Close }

// noteClose notes why the connection ends; the first reason counts.
func (h *client) noteClose(reason lifecycle.CloseReason) {
	if !h.hasCloseReason {
		h.hasCloseReason, h.closeReason = true, reason
	}
}

// closeWithError tells a client why it has to go and ends our side. The connection stays for a moment, in which what
// the client still sends is thrown away: closed at once, it would be reset, and a reset can eat the error. In the same moment a
// client that has not taken its answers may still do so.
func (h *client) closeWithError(c gnet.Conn, reason lifecycle.CloseReason, state, text, detail string) gnet.Action {
	h.noteClose(reason)
	h.checkAnswered(reason)
	h.write(c, appendError(nil, severityFatal, state, text, detail))
	h.flush(c)
	h.closingWithError, h.lastActive = true, h.front.edge.Now()
	_, _ = c.Discard(-1)
	return h.endSending(c)
}

// endSending ends our side of a connection once the client has taken what was written to it; until then Sweep comes back to it.
func (h *client) endSending(c gnet.Conn) gnet.Action {
	if h.sendingEnded || c.OutboundBuffered() > 0 {
		return gnet.None
	}
	h.sendingEnded = true
	if syscall.Shutdown(c.Fd(), syscall.SHUT_WR) != nil {
		return gnet.Close
	}
	return gnet.None
}

// linger throws away what a client that was told to go still sends, up to a bound.
func (h *client) linger(c gnet.Conn) gnet.Action {
	if !h.parser.started { // who found no room may still cancel what is under way elsewhere
		h.handleLateCancel(c)
	}
	h.lingeredBytes += c.InboundBuffered()
	if _, _ = c.Discard(-1); h.lingeredBytes > maxLingerBytes {
		return gnet.Close
	}
	return gnet.None
}

// rejectConnection closes a connection that was accepted and has no handler.
func (f *Front) rejectConnection() gnet.Action {
	f.edge.Metrics().Closed(lifecycle.ClosedTableFull)
	return gnet.Close
}

// Closed is called on the loop.
func (h *client) Closed(c gnet.Conn, err error) {
	f := h.front
	switch {
	case err != nil:
		h.noteClose(lifecycle.ClosedByClient)
	default:
		h.noteClose(lifecycle.ClosedEngineFailure)
	}
	if !h.closingWithError {
		h.checkAnswered(h.closeReason)
		if h.closeReason.OwesAnswers() && hasUnreadBytes(c) {
			h.violation(lifecycle.ClosedWithUnreadBytes)
		}
	}
	f.edge.Metrics().Closed(h.closeReason)
	slog.Debug("front: a client connection has ended", "connection", h.number, "reason", h.closeReason.String(), "requests", h.requestCount)
	h.disconnect()
	delete(f.cancelKeys, h.cancelKey)
	f.unreadBytes -= h.unreadBytes
	h.unreadBytes = 0
	h.queue = commandQueue{}
	delete(f.clients, h)
}

// checkAnswered counts a connection that ends while a request of it has no answer. What its client has given up needs none.
func (h *client) checkAnswered(reason lifecycle.CloseReason) {
	if reason.OwesAnswers() && (h.requestInFlight || !h.queue.isEmpty()) {
		h.violation(lifecycle.ClosedWithoutAnswer)
	}
}

func (h *client) violation(rule lifecycle.Rule) {
	h.front.edge.Metrics().Violation(rule, "connection", h.number, "reason", h.closeReason.String())
}
