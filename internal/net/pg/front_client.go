package pg

import (
	"context"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/sqlcomment"
)

// client is one connection. A request at a time is under way; what is sent ahead of its answer waits in a queue, so answers
// come in the order of the commands.
type client struct {
	front           *Front
	number          uint32
	lastActive      float64 // it was opened, answered or sent away
	partialSince    float64 // since when a message is not whole; 0: none is
	parser          Parser
	queue           commandQueue
	hasRequested    bool // it had a request
	requestCount    int  // how many
	requestInFlight bool
	answerWritten   bool // the request in flight has its answer; the client has not taken all of it
	awaitingFlush   bool // no command is taken before the client has read what was answered
	hasTerminated   bool // it sent Terminate, and closes its connection
	invalidRequests int
	unreadBytes     int
	closeState
	batching      bool // answers wait in out, to go together
	batch         []byte
	ctx           context.Context    // ends when the client goes away
	disconnect    func()             // ends ctx, with when the client's end was read
	cancelKey     uint64             // for cancel requests; 0: none was given out
	cancelRequest context.CancelFunc // ends the request under way alone
}

// Traffic is called on the loop.
func (h *client) Traffic(c gnet.Conn) gnet.Action {
	if h.closingWithError {
		return h.linger(c)
	}
	return h.advance(c)
}

// resume goes on with what the client sent, from outside of its own Traffic.
func (h *client) resume(c gnet.Conn) {
	if !h.closingWithError && h.ctx.Err() == nil {
		h.finishAction(c, h.advance(c))
	}
}

// advance takes the messages that have come, and answers or starts the commands whose turn it is.
func (h *client) advance(c gnet.Conn) gnet.Action {
	used, err := h.enqueue(c)
	if err != nil {
		return h.closing(lifecycle.ClosedEngineFailure)
	}
	if action := h.handleQueued(c); isClose(action) || h.ctx.Err() != nil || h.closingWithError {
		return action
	}
	if h.hasTerminated { // a client sends that last and closes its connection, so it waits for no answer
		return h.closing(lifecycle.ClosedTerminate)
	}
	h.notePartial(c, used)
	h.countUnread(c)
	if action := h.front.boundUnread(h); isClose(action) || h.closingWithError {
		return action
	}
	if h.front.draining.Load() && h.hasRequested && h.mayClose(c).OK() {
		return h.closing(lifecycle.ClosedDraining)
	}
	return gnet.None
}

// isBlocked reports whether the next command has to wait.
func (h *client) isBlocked() bool { return h.requestInFlight || h.awaitingFlush }

// isBusy reports whether something of the client's is under way: a request, commands that wait, a part of a message, or an
// answer that it has not taken.
func (h *client) isBusy(c gnet.Conn) bool {
	return h.isBlocked() || !h.queue.isEmpty() || c.InboundBuffered() > 0 || c.OutboundBuffered() > 0
}

// countUnread notes how much the client sent that waits here.
func (h *client) countUnread(c gnet.Conn) {
	n := h.queue.bytes + c.InboundBuffered()
	h.front.unreadBytes += n - h.unreadBytes
	h.unreadBytes = n
}

// enqueue takes the messages that are complete out of the connection's buffer, and returns how many bytes they had.
func (h *client) enqueue(c gnet.Conn) (used int, err error) {
	b, err := c.Peek(c.InboundBuffered())
	if err != nil {
		return 0, err
	}
	n := len(b)
	b = h.parse(b)
	if used = n - len(b); used > 0 {
		_, _ = c.Discard(used)
	}
	return used, nil
}

// parse queues the commands at the start of b, and returns what is no whole message yet.
func (h *client) parse(b []byte) (rest []byte) {
	for len(b) > 0 && !h.queue.ended && !h.hasTerminated {
		command := h.parser.Next(b)
		if command.Kind == Incomplete {
			return b
		}
		b = b[command.Used:]
		switch command.Kind {
		case Ignored:
		case Terminate:
			h.hasTerminated = true
		case Malformed: // where the next message begins is not known
			h.queue.end(command)
		default:
			if !h.queue.push(command, h.front.readAheadLimit()) {
				h.queue.end(Command{Kind: Overloaded, Text: "too many commands were sent ahead of their answers"})
			}
		}
	}
	return nil
}

// handleQueued takes commands until one starts a request or none waits. What is answered at once goes out together: with a
// system call for each, a client that sends thousands ahead would hold the loop, and every other client with it.
func (h *client) handleQueued(c gnet.Conn) gnet.Action {
	action := gnet.None
	h.batching = true
	for action == gnet.None && !h.isBlocked() && !h.closingWithError {
		command, ok := h.queue.pop()
		if !ok {
			break
		}
		if action = h.handleBounded(c, &command); len(h.batch) > replyBatchBytes {
			h.flush(c)
			if h.ctx.Err() != nil { // it has gone, and its buffers with it
				return gnet.None
			}
			h.batching = true
			h.awaitReader(c)
		}
	}
	h.flush(c)
	if h.ctx.Err() == nil && action == gnet.None && !h.closingWithError {
		h.awaitReader(c)
	}
	return action
}

// awaitReader takes no further command before a client that has much to read has read it.
func (h *client) awaitReader(c gnet.Conn) {
	if h.isBlocked() || c.OutboundBuffered() <= maxUnreadBytes {
		return
	}
	h.awaitingFlush = true
	h.whenFlushed(c, func() {
		h.awaitingFlush = false
		h.resume(c)
	}, func() {})
}

// handleBounded handles a command, and ends a client of which too many in a row make no sense.
func (h *client) handleBounded(c gnet.Conn, command *queuedCommand) gnet.Action {
	if command.rejected {
		h.rejectReadAhead(c)
		return gnet.None
	}
	if action := h.handle(c, &command.Command); action != gnet.None || h.closingWithError {
		return action
	}
	return h.boundInvalid(c)
}

// boundInvalid ends a client of which too many requests in a row make no sense, once none is under way.
func (h *client) boundInvalid(c gnet.Conn) gnet.Action {
	if h.invalidRequests <= maxInvalidRequests || h.isBlocked() {
		return gnet.None
	}
	h.rejectQueued(c)
	return h.closeWithError(c, lifecycle.ClosedProtocol, sqlStateProtocolViolation, "too many requests that make no sense", "")
}

// rejectReadAhead answers a query whose text was dropped.
func (h *client) rejectReadAhead(c gnet.Conn) {
	h.hasRequested = true
	h.requestCount++
	h.lastActive = h.front.edge.Now()
	h.front.edge.RecordRejection(metrics.RejectReadAhead, "connection", h.number)
	h.write(c, appendReady(encodeUntried(severityError, stateTooManyConnections, "too much was sent ahead of its answers", h.front.retryAfter())))
}

// rejectQueued rejects the requests that wait on a connection that is about to end. Of what is no request nothing is said.
func (h *client) rejectQueued(c gnet.Conn) {
	for {
		command, ok := h.queue.pop()
		if !ok {
			return
		}
		if command.rejected {
			h.rejectReadAhead(c)
		} else if _, err := sqlcomment.Parse(command.Text); command.Kind == Query && err == nil {
			h.rejectReadAhead(c)
		}
	}
}

// notePartial notes since when a message is not complete; used bytes of others were taken.
func (h *client) notePartial(c gnet.Conn, used int) {
	switch {
	case h.isBlocked() || c.InboundBuffered() == 0:
		h.partialSince = 0
	case h.partialSince == 0 || used > 0: // another message than the one that was not complete
		h.partialSince = h.front.edge.Now()
	}
}

// write writes to the client, or gathers what is answered at once.
func (h *client) write(c gnet.Conn, b []byte) {
	if h.batching {
		h.batch = append(h.batch, b...)
		return
	}
	_, _ = c.Write(b)
}

// flush ends the gathering of what is answered at once.
func (h *client) flush(c gnet.Conn) {
	out := h.batch
	h.batching, h.batch = false, nil
	if len(out) > 0 {
		_, _ = c.Write(out)
	}
}

// handle answers a command at once, or starts a request.
func (h *client) handle(c gnet.Conn, command *Command) gnet.Action {
	switch command.Kind {
	case EncryptionRequest:
		h.invalidRequests++
		h.write(c, []byte{encryptionRefused}) // as it is, in plain text
	case Startup:
		h.cancelKey = newCancelKey(h.number)
		h.front.cancelKeys[h.cancelKey] = h
		h.write(c, Greeting(h.cancelKey, command.Minor))
	case Sync:
		h.write(c, appendReady(nil))
	case Extended:
		h.invalidRequests++
		h.write(c, appendError(nil, severityError, sqlStateFeatureNotSupported, "simple queries only", ""))
	case Function:
		h.invalidRequests++
		h.write(c, appendReady(appendError(nil, severityError, sqlStateFeatureNotSupported, "simple queries only", "")))
	case Query:
		may := lifecycle.MayStart(lifecycle.StartFacts{Phase: h.front.edge.Phase(), Ready: h.front.edge.Ready(), ClientDisconnected: hasEnded(c)})
		if may.Reason == lifecycle.ClientDisconnected { // it came with its client's end: nobody waits for it
			return h.closing(lifecycle.ClosedByClient)
		}
		h.handleQuery(c, command.Text, may)
	case Cancel:
		h.front.cancel(command.Key)
		return h.closing(lifecycle.ClosedCancelRequest)
	case Malformed:
		return h.closeWithError(c, lifecycle.ClosedProtocol, sqlStateProtocolViolation, command.Text, "")
	case Overloaded:
		return h.closeWithRejection(c, lifecycle.ClosedOverloaded, stateTooManyConnections, command.Text, h.front.retryAfter())
	}
	return gnet.None
}

// statementModeParameters are the parameters that a client in statement mode is told.
var statementModeParameters = [...][2]string{
	{"server_version", "15.0 (ashstand)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// Greeting answers a startup message; key is what a cancel request has to name. newerMinor: a later minor version than 3.0
// was asked for.
func Greeting(key uint64, newerMinor bool) []byte {
	var out []byte
	if newerMinor {
		out = appendNegotiateVersion(out)
	}
	out = appendAuthenticationOK(out)
	for _, p := range statementModeParameters {
		out = appendParameterStatus(out, p[0], p[1])
	}
	return appendReady(appendBackendKeyData(out, key))
}

// handleLateCancel takes a cancel request on a connection that is served no more.
func (h *client) handleLateCancel(c gnet.Conn) {
	if b, err := c.Peek(c.InboundBuffered()); err == nil {
		if command := new(Parser).Next(b); command.Kind == Cancel {
			h.front.cancel(command.Key)
		}
	}
}
