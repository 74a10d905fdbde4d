package pg

import (
	"context"
	"syscall"

	"github.com/panjf2000/gnet/v2"
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
		if h.hasRequested && h.isBetweenRequests(c) {
			_ = c.EventLoop().Close(c)
		}
	})
}

// Idle reports whether no request is under way or has begun to arrive.
func (f *Front) Idle() bool {
	l, ok := f.eventLoop.Load().(gnet.EventLoop)
	if !ok {
		return true
	}
	idle := make(chan bool, 1)
	if l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		all := true
		for h, c := range f.clients {
			all = all && (h.closingWithError || h.isBetweenRequests(c))
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
		if !h.closingWithError && h.cut(c) == gnet.Close {
			_ = c.EventLoop().Close(c)
		}
	})
}

// cut answers each request of the client's with an error, the last of them with the end of the connection.
func (h *client) cut(c gnet.Conn) gnet.Action {
	queued := h.queuedCommands(c)
	if h.requestInFlight {
		h.requestInFlight = false
		h.disconnect() // what came of the request now is written no more
		if queued == 0 {
			return h.closeWithError(c, sqlStateAdminShutdown, textRestartingMayRun, "")
		}
		h.write(c, appendReady(appendError(nil, severityError, sqlStateAdminShutdown, textRestartingMayRun, "")))
	}
	for range queued - 1 {
		h.write(c, appendReady(appendError(nil, severityError, sqlStateCannotConnectNow, textRestarting, "")))
	}
	return h.closeWithError(c, sqlStateCannotConnectNow, textRestarting, "") // also for a request that may be on its way
}

// isBetweenRequests reports whether the client's last request has its answer and nothing of another has come, to the kernel either.
func (h *client) isBetweenRequests(c gnet.Conn) bool {
	return !h.requestInFlight && c.InboundBuffered() == 0 && !hasUnreadBytes(c)
}

// queuedCommands is how many complete commands wait for an answer, behind the one under way; what only the kernel has is read.
func (h *client) queuedCommands(c gnet.Conn) (n int) {
	held, _ := c.Peek(c.InboundBuffered())
	b := append([]byte(nil), held...)
	for more := make([]byte, readAheadBufferBytes); len(b) <= maxUnreadBytes; {
		n, err := syscall.Read(c.Fd(), more)
		if err != nil || n <= 0 {
			break
		}
		b = append(b, more[:n]...)
	}
	for p := h.parser; ; {
		command := p.Next(b)
		switch command.Kind {
		case Incomplete, Terminate, Cancel, Malformed:
			return n
		case Query, Sync, Function:
			n++
		}
		b = b[command.Used:]
	}
}
