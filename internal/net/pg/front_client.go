package pg

import (
	"context"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/net/loop"
	"ashstand/internal/sqlcomment"
)

// client is one client connection. It has at most one request in flight. Commands that the client sends ahead
// of the answer wait in a queue, so that answers are sent in the order of the commands.
type client struct {
	front           *Front
	wire            loop.PausableConn // for its input; it is written to by the parameter of the methods
	number          uint32
	lastActive      float64 // clock milliseconds at which it was opened, or last started, answered or rejected a request
	openedAt        float64 // clock milliseconds
	readAt          float64 // clock milliseconds at which input was last read
	partialSince    float64 // clock milliseconds since which a message has been incomplete; 0 if none is
	parser          Parser
	queue           commandQueue
	hasRequested    bool // the client has sent at least one request
	requestCount    int  // number of requests so far
	requestInFlight bool
	answerWritten   bool // the answer to the request in flight is written, but the client has not received all of it
	awaitingFlush   bool // no further command is processed until the client has received the replies written so far
	hasTerminated   bool // the client sent Terminate
	invalidRequests int
	rejectsRest     bool // the client is disconnected once the commands that wait are rejected
	unreadBytes     int  // of input that is queued or buffered
	heldBytes       int  // memory that holds it
	units           int  // what is left of the client's share of the event loop
	yielded         bool // the share was used up before the queue was
	readerWatch     readerWatch
	closeState
	batching      bool // replies are gathered in batch, for one write
	batch         []byte
	ctx           context.Context    // canceled when the client disconnects
	disconnect    func()             // cancels ctx, with the time of the disconnect as the cause
	cancelKey     uint64             // key for cancel requests; 0 before the startup message
	cancelRequest context.CancelFunc // cancels only the request in flight
}

// Traffic implements loop.Handler. It is called on the event loop.
func (h *client) Traffic(c gnet.Conn) gnet.Action {
	h.readAt = h.front.edge.Now()
	if h.closingWithError {
		return h.linger(c)
	}
	if h.wire.EndsBehindInput() {
		return h.closeAction(lifecycle.ClosedByClient)
	}
	defer h.wire.Retain()
	if h.wire.KeepPaused() {
		return gnet.None
	}
	return h.advance(c)
}

// Work implements loop.Worker.
func (h *client) Work() (units int) {
	c := h.wire.Conn
	if h.closingWithError || h.ctx.Err() != nil {
		return 0
	}
	h.finishAction(c, h.advance(c))
	return loop.ShareUnits - h.units
}

// Abort implements loop.Worker.
func (h *client) Abort() { h.close(h.wire.Conn, lifecycle.ClosedEngineFailure) }

// settleShare has the client wait for its next turn if its share is used up and more commands can be handled.
func (h *client) settleShare() {
	h.front.engine.Shares().Settle(h, &h.wire, h.yielded && h.ctx.Err() == nil && !h.closingWithError)
}

// resume processes the client's pending input. It is called on the event loop, outside Traffic.
func (h *client) resume(c gnet.Conn) {
	if !h.closingWithError && h.ctx.Err() == nil {
		h.finishAction(c, h.advance(c))
	}
}

// advance queues the messages that have arrived, and answers or starts the commands that are due.
func (h *client) advance(c gnet.Conn) gnet.Action {
	used := h.enqueue()
	action := h.handleQueued(c)
	if !isClose(action) {
		h.settleShare()
	}
	if isClose(action) || h.ctx.Err() != nil || h.closingWithError {
		return action
	}
	if h.hasTerminated && !h.yielded { // Terminate is a client's last message: it waits for no answer
		return h.closeAction(lifecycle.ClosedTerminate)
	}
	h.trackPartialMessage(used)
	h.countUnread()
	if action := h.front.enforceUnreadLimit(h); isClose(action) || h.closingWithError {
		return action
	}
	if h.front.draining.Load() && h.hasRequested && h.mayClose(c).OK() {
		return h.closeAction(lifecycle.ClosedDraining)
	}
	return gnet.None
}

// isBlocked reports whether the next command has to wait for a request in flight or for a flush.
func (h *client) isBlocked() bool { return h.requestInFlight || h.awaitingFlush }

// isBusy reports whether the client has a request in flight, queued commands, a partial message, or an answer
// that it has not received completely.
func (h *client) isBusy(c gnet.Conn) bool {
	return h.isBlocked() || !h.queue.isEmpty() || h.wire.BufferedBytes() > 0 || c.OutboundBuffered() > 0
}

// countUnread updates the number of bytes of the client's input that are queued or buffered, and of the memory that holds them.
func (h *client) countUnread() {
	h.unreadBytes = h.queue.bytes + h.wire.BufferedBytes()
	held := h.queue.heldBytes() + h.wire.HeldBytes()
	h.front.heldBytes += held - h.heldBytes
	h.heldBytes = held
}

// enqueue moves the complete messages from the input to the queue, and returns their size in bytes.
func (h *client) enqueue() (used int) {
	b := h.wire.Peek()
	used = len(b) - len(h.parse(b))
	h.wire.Discard(used)
	return used
}

// parse queues the commands at the start of b, and returns the incomplete message that remains.
func (h *client) parse(b []byte) (rest []byte) {
	for len(b) > 0 && !h.queue.ended && !h.hasTerminated {
		command := h.parser.Next(b)
		if command.Kind == Incomplete {
			return b
		}
		b = b[command.Size:]
		switch command.Kind {
		case Ignored:
		case Terminate:
			h.hasTerminated = true
		case Malformed: // the start of the next message is unknown
			h.queue.end(command)
		default:
			if !h.queue.push(command, h.front.readAheadLimit()) {
				h.queue.end(Command{Kind: Overloaded, Text: "too many commands were sent ahead of their answers"})
			}
		}
	}
	return nil
}

// handleQueued handles queued commands until one starts a request, the queue is empty or the client's share of the event loop is
// used up. Immediate replies are
// written together: with a system call for each, a client that sends thousands of commands ahead would block
// the event loop, and with it all other clients.
func (h *client) handleQueued(c gnet.Conn) gnet.Action {
	action, handled := gnet.None, 0
	defer func() { h.countMessages(handled) }()
	h.batching, h.yielded, h.units = true, false, loop.ShareUnits
	for action == gnet.None && !h.isBlocked() && !h.closingWithError && !h.queue.isEmpty() {
		if h.yielded = h.units <= 0; h.yielded {
			break
		}
		command, _ := h.queue.pop()
		h.units -= loop.Units(command.Size)
		handled++
		if action = h.handleCommand(c, &command); len(h.batch) > replyBatchBytes {
			h.flush(c)
			if h.ctx.Err() != nil { // the client has disconnected, and its buffers are released
				return gnet.None
			}
			h.batching = true
			h.awaitSlowReader(c)
		}
	}
	h.flush(c)
	if h.ctx.Err() == nil && action == gnet.None && !h.closingWithError {
		h.awaitSlowReader(c)
	}
	return action
}

// countMessages reports how many messages of the client were handled in one go.
func (h *client) countMessages(n int) {
	if n > 0 {
		h.front.engine.CountMessages("statements", h.number, n)
	}
}

// awaitSlowReader stops processing commands and reading from the client while it has more than maxUnsentReplyBytes of replies to
// receive.
func (h *client) awaitSlowReader(c gnet.Conn) {
	if h.isBlocked() || c.OutboundBuffered() <= maxUnsentReplyBytes {
		return
	}
	h.awaitingFlush, h.yielded = true, false
	h.wire.Pause(loop.PausedForPeer)
	h.whenFlushed(c, func() {
		h.awaitingFlush = false
		h.wire.Resume(loop.PausedForPeer)
		h.resume(c)
	}, func() {})
}

// handleCommand handles a command, and disconnects a client that has sent too many invalid requests in a row.
func (h *client) handleCommand(c gnet.Conn, command *queuedCommand) gnet.Action {
	if command.rejected || h.rejectsRest && command.isRequest() {
		h.rejectReadAhead(c)
		return gnet.None
	}
	if h.rejectsRest && command.Kind != Malformed && command.Kind != Overloaded {
		return gnet.None // commands that are not valid requests get no answer any more
	}
	if action := h.handle(c, &command.Command); action != gnet.None || h.closingWithError {
		return action
	}
	h.enforceInvalidLimit()
	return gnet.None
}

// isRequest reports whether a command is a valid request.
func (c *queuedCommand) isRequest() bool {
	if c.Kind != Query {
		return false
	}
	_, err := sqlcomment.Parse(c.Text)
	return err == nil
}

// enforceInvalidLimit has a client that has sent too many invalid requests in a row disconnected, once no request is in flight and
// the requests that it sent ahead are rejected.
func (h *client) enforceInvalidLimit() {
	if h.invalidRequests > maxInvalidRequests && !h.isBlocked() && !h.rejectsRest {
		h.rejectsRest = true
		if !h.queue.ended { // otherwise the connection ends with the command that ended the queue
			h.queue.end(Command{Kind: Malformed, Text: "too many requests that make no sense"})
		}
	}
}

// rejectReadAhead rejects a query because the client sent too much ahead of its answers.
func (h *client) rejectReadAhead(c gnet.Conn) {
	h.hasRequested = true
	h.requestCount++
	h.lastActive = h.front.edge.Now()
	h.front.edge.RecordRejection(metrics.RejectReadAhead, "connection", h.number)
	h.write(c, appendReady(encodeUntried(severityError, stateTooManyConnections, "too much was sent ahead of its answers", h.front.retryAfter())))
}

// trackPartialMessage records since when the message at the start of the input has been incomplete. used is the
// size of the messages that were just queued.
func (h *client) trackPartialMessage(used int) {
	switch {
	case h.isBlocked() || h.yielded || h.wire.BufferedBytes() == 0:
		h.partialSince = 0
	case h.partialSince == 0 || used > 0: // a new incomplete message
		h.partialSince = h.front.edge.Now()
	}
}

// write writes to the client, or appends to the current batch.
func (h *client) write(c gnet.Conn, b []byte) {
	if h.batching {
		h.batch = append(h.batch, b...)
		return
	}
	_, _ = c.Write(b)
	h.readerWatch.written += len(b)
}

// flush ends the current batch and writes it.
func (h *client) flush(c gnet.Conn) {
	out := h.batch
	h.batching, h.batch = false, nil
	if len(out) > 0 {
		_, _ = c.Write(out)
		h.readerWatch.written += len(out)
	}
}

// handle answers a command at once, or starts a request.
func (h *client) handle(c gnet.Conn, command *Command) gnet.Action {
	switch command.Kind {
	case EncryptionRequest:
		h.invalidRequests++
		h.write(c, []byte{encryptionRefused}) // one byte, not a message; the connection stays unencrypted
	case Startup:
		h.cancelKey = newCancelKey(h.number)
		h.front.cancelKeys[h.cancelKey] = h
		h.write(c, Greeting(h.cancelKey, command.NewerMinor))
	case Sync:
		h.write(c, appendReady(nil))
	case Extended:
		h.invalidRequests++
		h.write(c, appendError(nil, severityError, sqlStateFeatureNotSupported, "simple queries only", ""))
	case FunctionCall:
		h.invalidRequests++
		h.write(c, appendReady(appendError(nil, severityError, sqlStateFeatureNotSupported, "simple queries only", "")))
	case Query:
		return h.handleQuery(c, command.Text)
	case Cancel:
		h.front.cancel(command.Key)
		return h.closeAction(lifecycle.ClosedCancelRequest)
	case Malformed:
		return h.closeWithError(c, lifecycle.ClosedProtocol, sqlStateProtocolViolation, command.Text, "")
	case Overloaded:
		return h.closeWithRejection(c, lifecycle.ClosedOverloaded, stateTooManyConnections, command.Text, h.front.retryAfter())
	}
	return gnet.None
}

// statementModeParameters are the ParameterStatus messages that a client in statement mode gets at startup.
var statementModeParameters = [...][2]string{
	{"server_version", "15.0 (ashstand)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// Greeting encodes the answer to a startup message. key is the key that a cancel request has to contain.
// newerMinor says that the client asked for a newer minor version than 3.0.
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

// handleLateCancel handles a cancel request on a connection that has already got its final error.
func (h *client) handleLateCancel() {
	if command := new(Parser).Next(h.wire.Peek()); command.Kind == Cancel {
		h.front.cancel(command.Key)
	}
}
