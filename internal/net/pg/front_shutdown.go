package pg

import (
	"context"
	"syscall"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/lifecycle"
)

// What clients are told at the end of the process.
const (
	textRestarting       = "the pooler restarts"
	textRestartingMayRun = "the pooler restarts; the request may have run"
	readAheadBufferBytes = 16 << 10
)

// Drain closes client connections between requests, now and from now on. One on which nothing was asked yet stays: its
// client has nowhere else to send its first request, and a close would count as an answer to that.
func (f *Front) Drain() {
	f.draining.Store(true)
	f.forEachClient(func(h *client, c gnet.Conn) {
		if h.hasRequested && !h.closingWithError {
			h.closeIfIdle(c, lifecycle.ClosedDraining)
		}
	})
}

// Idle reports whether no request is under way or has begun to arrive, and every answer was taken.
func (f *Front) Idle() bool {
	l, ok := f.eventLoop.Load().(gnet.EventLoop)
	if !ok {
		return true
	}
	idle := make(chan bool, 1)
	if l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		all := true
		for h, c := range f.clients {
			all = all && (h.closingWithError && c.OutboundBuffered() == 0 || h.mayClose(c).OK())
		}
		idle <- all
		return nil
	})) != nil {
		return true
	}
	return <-idle
}

// Cut gives every request that is open its final answer, an error, and lets no other in: the process is about to end.
// What a client sent ahead was sent on to nobody, so it is rejected: without an answer it would be lost.
func (f *Front) Cut() {
	f.terminating.Store(true)
	f.forEachClient(func(h *client, c gnet.Conn) {
		if !h.closingWithError {
			h.finishAction(c, h.cut(c))
		}
	})
}

// cut answers each request of the client's with an error, the last of them with the end of the connection. What it sent ahead
// was sent on to nobody, so it is rejected.
func (h *client) cut(c gnet.Conn) gnet.Action {
	h.parse(readRemaining(c))
	if h.requestInFlight {
		isOwedAnswer := !h.answerWritten
		h.requestInFlight, h.answerWritten = false, false
		h.disconnect() // what came of the request now is written no more
		if isOwedAnswer && h.queue.isEmpty() {
			return h.closeWithError(c, lifecycle.ClosedCutting, sqlStateAdminShutdown, textRestartingMayRun, "")
		}
		if isOwedAnswer {
			h.write(c, appendReady(appendError(nil, severityError, sqlStateAdminShutdown, textRestartingMayRun, "")))
		}
	}
	for {
		command, ok := h.queue.pop()
		if !ok || command.Kind == Query && h.queue.isEmpty() {
			break // the error that ends the connection is the last query's answer
		}
		h.answerAtEnd(c, command.Kind)
	}
	return h.closeWithRejection(c, lifecycle.ClosedCutting, stateCannotConnectNow, textRestarting, "") // also for a request that may be on its way
}

// answerAtEnd answers a command that will not be handled any more.
func (h *client) answerAtEnd(c gnet.Conn, kind CommandKind) {
	switch kind {
	case Query, Function:
		h.write(c, appendReady(encodeUntried(severityError, stateCannotConnectNow, textRestarting, "")))
	case Extended:
		h.write(c, encodeUntried(severityError, stateCannotConnectNow, textRestarting, ""))
	case Sync:
		h.write(c, appendReady(nil))
	}
}

// readRemaining returns what was read and not parsed, and what only the kernel has.
func readRemaining(c gnet.Conn) []byte {
	held, _ := c.Peek(c.InboundBuffered())
	b := append([]byte(nil), held...)
	for more := make([]byte, readAheadBufferBytes); len(b) <= maxUnreadBytes; {
		n, err := syscall.Read(c.Fd(), more)
		if err != nil || n <= 0 {
			break
		}
		b = append(b, more[:n]...)
	}
	return b
}
