package pg

import (
	"context"
	"syscall"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/lifecycle"
)

// Error messages that clients get when the process exits, and the buffer size for reading their remaining
// input.
const (
	textRestarting       = "the pooler restarts"
	textRestartingMayRun = "the pooler restarts; the request may have run"
	readAheadBufferBytes = 16 << 10
)

// Drain closes client connections that are between requests, at once and from then on. A connection without a
// request yet stays open: its client has no other connection for its first request, and would take a close as
// the answer to it.
func (f *Front) Drain() {
	f.draining.Store(true)
	f.forEachClient(func(h *client, c gnet.Conn) {
		if h.hasRequested && !h.closingWithError {
			h.closeIfIdle(c, lifecycle.ClosedDraining)
		}
	})
}

// WatchReaders begins to look which clients take their answers slowly. Sweep does so from then on.
func (f *Front) WatchReaders() { f.watching.Store(true) }

// DrainSlowReaders closes connections that are between requests and whose clients take their answers slowly, at once
// and from then on. No further request of such a client is started: its answer might be cut by the end of the process.
func (f *Front) DrainSlowReaders() { f.slowDrain.Store(true) }

// isSlowReaderDrained reports whether no further request of the client may start because it is a slow reader.
func (f *Front) isSlowReaderDrained(h *client) bool {
	return f.slowDrain.Load() && h.readerWatch.isSlow
}

// readerWatch tells whether a client takes its answers slowly: what was written before the last look is not confirmed
// at the next one. A look each SweepInterval leaves a client's kernel the time to confirm. It is confined to the event
// loop.
type readerWatch struct {
	written           int // bytes written to the client
	writtenAtLastLook int
	isSlow            bool
}

// observe looks at the client, which has not confirmed the last unconfirmed bytes written to it.
func (w *readerWatch) observe(unconfirmed int) {
	w.isSlow = w.written-unconfirmed < w.writtenAtLastLook
	w.writtenAtLastLook = w.written
}

// Idle reports whether no request is in flight or has begun to arrive, and clients have confirmed all answers.
func (f *Front) Idle() bool {
	l, ok := f.eventLoop.Load().(gnet.EventLoop)
	if !ok {
		return true
	}
	if f.closer.Pending() > 0 {
		return false
	}
	idle := make(chan bool, 1)
	if l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		allIdle := true
		for h, c := range f.clients {
			allIdle = allIdle && (h.closingWithError || h.mayClose(c).OK()) && h.unconfirmedBytes(c) == 0
		}
		idle <- allIdle
		return nil
	})) != nil {
		return true
	}
	return <-idle
}

// CloseClients answers every open request with a final error and admits no further ones, because the process is about to
// exit. Commands that a client sent ahead did not reach a host, so they are rejected; without an answer they
// would be lost.
func (f *Front) CloseClients() {
	f.terminating.Store(true)
	f.forEachClient(func(h *client, c gnet.Conn) {
		if !h.closingWithError {
			h.finishAction(c, h.closeAtShutdown(c))
		}
	})
}

// closeAtShutdown answers each request of the client with an error; the error for the last one is fatal and ends the
// connection. Commands that the client sent ahead did not reach a host, so they are rejected.
func (h *client) closeAtShutdown(c gnet.Conn) gnet.Action {
	h.parse(h.readRemaining(c))
	h.batching = true // until the final error is written
	if h.requestInFlight {
		isOwedAnswer := !h.answerWritten
		h.requestInFlight, h.answerWritten = false, false
		h.disconnect() // a later result of the request is not written
		if isOwedAnswer && h.queue.isEmpty() {
			return h.closeWithError(c, lifecycle.ClosedByShutdown, sqlStateAdminShutdown, textRestartingMayRun, "")
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
		h.answerAtShutdown(c, command.Kind)
	}
	return h.closeWithRejection(c, lifecycle.ClosedByShutdown, stateCannotConnectNow, textRestarting, "") // this also answers a request that may still be arriving
}

// answerAtShutdown answers a queued command that will not be handled because the process exits.
func (h *client) answerAtShutdown(c gnet.Conn, kind CommandKind) {
	switch kind {
	case Query, FunctionCall:
		h.write(c, appendReady(encodeUntried(severityError, stateCannotConnectNow, textRestarting, "")))
	case Extended:
		h.write(c, encodeUntried(severityError, stateCannotConnectNow, textRestarting, ""))
	case Sync:
		h.write(c, appendReady(nil))
	}
}

// readRemaining returns the input that was read but not parsed, followed by the bytes in the kernel's receive
// buffer.
func (h *client) readRemaining(c gnet.Conn) []byte {
	b := append([]byte(nil), h.wire.Peek()...)
	for chunk := make([]byte, readAheadBufferBytes); len(b) <= maxUnreadBytes; {
		n, err := syscall.Read(c.Fd(), chunk)
		if err != nil || n <= 0 {
			break
		}
		b = append(b, chunk[:n]...)
	}
	return b
}
