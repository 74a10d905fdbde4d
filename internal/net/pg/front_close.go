package pg

import (
	"log/slog"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/lifecycle"
	"ashstand/internal/net/loop"
)

// Only this file closes client connections: the linter rejects gnet.Close and EventLoop.Close in the other
// files of this front. Each close has a reason, and lifecycle.MayClose decides whether a connection may be
// closed without an error message.

// closeState is the state of closing a client's connection. It is confined to the event loop.
type closeState struct {
	closingWithError bool // the final error was written: further input is discarded
	sendingEnded     bool // the sending direction of the connection is shut down
	lingeredBytes    int  // bytes received since then
	closeReason      lifecycle.CloseReason
	hasCloseReason   bool
}

// disableConfirmGuarantee closes connections over answers that their clients have not confirmed; see
// Front.DisableGuarantee.
const disableConfirmGuarantee = "confirm"

// unconfirmedBytes returns how many bytes of answers the client has not confirmed.
func (h *client) unconfirmedBytes(c gnet.Conn) int {
	if h.sendingEnded {
		return loop.UnconfirmedBytesBeforeEnd(c.Fd())
	}
	return unconfirmedBytes(c)
}

// hasLingered reports whether a client that got its final error has had the time to receive it.
func (h *client) hasLingered(c gnet.Conn, now float64) bool {
	lingered := now - h.lastActive
	return lingered > maxLingerMillis && h.unconfirmedBytes(c) == 0 || lingered > maxUnsentMillis
}

// mayClose decides whether the client's connection may be closed now without an error message. The close itself waits
// until the client has confirmed its answers; see closeUnconfirmed.
func (h *client) mayClose(c gnet.Conn) lifecycle.Decision {
	return lifecycle.MayClose(lifecycle.CloseFacts{
		RequestInFlight: h.isBlocked(),
		CommandsWait:    !h.queue.isEmpty(),
		BufferedBytes:   h.wire.BufferedBytes(),
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

// close closes the connection. It is called outside Traffic.
func (h *client) close(c gnet.Conn, reason lifecycle.CloseReason) {
	h.recordClose(reason)
	_ = c.EventLoop().Close(c)
}

// closeAction returns the action by which the calling event handler closes the connection.
func (h *client) closeAction(reason lifecycle.CloseReason) gnet.Action {
	h.recordClose(reason)
	return gnet.Close
}

// finishAction closes the connection if action says so. It is called outside Traffic.
func (h *client) finishAction(c gnet.Conn, action gnet.Action) {
	if isClose(action) {
		_ = c.EventLoop().Close(c)
	}
}

// isClose reports whether an action closes the connection.
func isClose(action gnet.Action) bool { return action == gnet.Close }

// recordClose records why the connection is closed; the first reason counts.
func (h *client) recordClose(reason lifecycle.CloseReason) {
	if !h.hasCloseReason {
		h.hasCloseReason, h.closeReason = true, reason
	}
}

// closeWithError writes a final error and shuts down the sending direction. The connection stays open until the client
// has confirmed everything and for maxLingerMillis, for up to maxUnsentMillis in all, and the client's further input is discarded: closing it at once could reset it, and the
// client's kernel may drop a received error on a reset. During this time the client can also receive answers
// that are still unsent.
func (h *client) closeWithError(c gnet.Conn, reason lifecycle.CloseReason, state, text, detail string) gnet.Action {
	h.recordClose(reason)
	h.checkAnswered(reason)
	h.write(c, appendError(nil, severityFatal, state, text, detail))
	h.flush(c)
	h.closingWithError, h.lastActive = true, h.front.edge.Now()
	h.wire.DiscardAll()
	h.settleShare()
	h.wire.Resume(loop.PausedForPeer)
	return h.endSending(c)
}

// endSending shuts down the sending direction once the kernel has taken everything written to the client. Until then,
// Sweep calls it again.
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

// linger discards what a client sends after the final error, up to a limit.
func (h *client) linger(c gnet.Conn) gnet.Action {
	if !h.parser.started { // a client rejected for lack of room can still cancel a request of another connection
		h.handleLateCancel()
	}
	h.lingeredBytes += h.wire.BufferedBytes()
	if h.wire.DiscardAll(); h.lingeredBytes > maxLingerBytes && h.unconfirmedBytes(c) == 0 {
		return gnet.Close
	}
	return gnet.None
}

// rejectConnection closes an accepted connection that has no handler.
func (f *Front) rejectConnection() gnet.Action {
	f.edge.Metrics().Closed(lifecycle.ClosedTableFull)
	return gnet.Close
}

// closeUnconfirmed keeps the connection, which is being closed, until the client has confirmed its answers, and reports
// whether none of them can be cut.
func (h *client) closeUnconfirmed(c gnet.Conn) bool {
	if h.front.disabledGuarantee == disableConfirmGuarantee {
		return h.unconfirmedBytes(c) == 0
	}
	return h.sendingEnded && h.unconfirmedBytes(c) == 0 || h.front.closer.Close(c, maxUnsentMillis*time.Millisecond)
}

// Closed implements loop.Handler. It is called on the event loop. err is what gnet met while it read or wrote,
// including the end of the client's stream; it is nil if this process closed the connection. A reason recorded
// before the close stays; one is only derived from err if none was recorded.
func (h *client) Closed(c gnet.Conn, err error) {
	f := h.front
	switch {
	case err != nil:
		h.recordClose(lifecycle.ClosedByClient)
	default:
		h.recordClose(lifecycle.ClosedEngineFailure)
	}
	if !h.closingWithError {
		h.checkAnswered(h.closeReason)
		if h.closeReason.RequiresAnswers() && hasUnreadBytes(c) {
			h.violation(lifecycle.ClosedWithUnreadBytes)
		}
	}
	if h.closeReason.RequiresAnswers() && !h.closeUnconfirmed(c) {
		h.violation(lifecycle.ClosedUnconfirmed)
	}
	f.edge.Metrics().Closed(h.closeReason)
	slog.Debug("front: a client connection has ended", "connection", h.number, "reason", h.closeReason.String(), "requests", h.requestCount)
	h.disconnect()
	delete(f.cancelKeys, h.cancelKey)
	f.engine.Shares().Remove(h)
	h.wire.SetClosed()
	f.heldBytes -= h.heldBytes
	h.unreadBytes, h.heldBytes = 0, 0
	h.queue = commandQueue{}
	delete(f.clients, h)
}

// checkAnswered counts a violation if the connection is closed while one of its requests has no answer. No
// answer is owed if the client has disconnected or does not read its answers.
func (h *client) checkAnswered(reason lifecycle.CloseReason) {
	if reason.RequiresAnswers() && (h.requestInFlight || !h.queue.isEmpty()) {
		h.violation(lifecycle.ClosedWithoutAnswer)
	}
}

func (h *client) violation(rule lifecycle.Rule) {
	h.front.edge.Metrics().Violation(rule, "connection", h.number, "reason", h.closeReason.String())
}
