package pg

import (
	"context"
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

// client is one connection. A request at a time is under way; what is sent ahead of its answer waits in the
// connection's ring buffer, so answers come in the order of the commands.
type client struct {
	front            *Front
	number           uint32
	lastActive       float64 // it was opened, answered or sent away
	partialSince     float64 // since when a message is not whole; 0: none is
	parser           Parser
	hasRequested     bool // it had a request
	requestCount     int  // how many
	requestInFlight  bool
	closingWithError bool // it was told to go: what it still sends is not read
	invalidRequests  int
	unreadBytes      int
	lingeredBytes    int
	batching         bool // answers wait in out, to go together
	batch            []byte
	ctx              context.Context // ends when the client goes away
	disconnect       context.CancelFunc
	cancelKey        uint64             // for cancel requests; 0: none was given out
	cancelRequest    context.CancelFunc // ends the request under way alone
	readAhead        readAhead          // what waits behind it
}

// Traffic is called on the loop.
func (h *client) Traffic(c gnet.Conn) gnet.Action {
	if h.closingWithError {
		if !h.parser.started { // who found no room may still cancel what is under way elsewhere
			h.handleLateCancel(c)
		}
		h.lingeredBytes += c.InboundBuffered()
		if _, _ = c.Discard(-1); h.lingeredBytes > maxLingerBytes {
			return gnet.Close
		}
		return gnet.None
	}
	action := h.readCommands(c)
	if action == gnet.None && h.requestInFlight && h.readAhead.hasTerminate(c.InboundBuffered(), c.Peek, maxQueryBytes) {
		return gnet.Close
	}
	f := h.front
	f.unreadBytes += c.InboundBuffered() - h.unreadBytes
	h.unreadBytes = c.InboundBuffered()
	if h.unreadBytes > maxUnreadBytes {
		f.unreadLimitLog.Printf("front: a client is cut off with %d bytes unread", h.unreadBytes)
		return gnet.Close
	}
	if f.unreadBytes > f.limits.Load().Bytes {
		return f.closeLargestReader(h, action)
	}
	return action
}

// Closed is called on the loop.
func (h *client) Closed(gnet.Conn, error) {
	h.disconnect()
	delete(h.front.cancelKeys, h.cancelKey)
	h.front.unreadBytes -= h.unreadBytes
	h.unreadBytes = 0
	delete(h.front.clients, h)
}

// closeWithError tells a client why it has to go and ends our side. The connection stays for a moment, in which what
// the client still sends is thrown away: closed at once, it would be reset, and a reset can eat the error.
func (h *client) closeWithError(c gnet.Conn, state, text, detail string) gnet.Action {
	h.write(c, appendError(nil, severityFatal, state, text, detail))
	h.flush(c)
	if c.OutboundBuffered() > 0 || syscall.Shutdown(c.Fd(), syscall.SHUT_WR) != nil {
		return gnet.Close
	}
	h.closingWithError, h.lastActive = true, h.front.edge.Now()
	_, _ = c.Discard(-1)
	return gnet.None
}

// readCommands takes messages until one starts a request or none is complete. What is answered at once goes out together:
// with a system call for each, a client that sends thousands ahead would hold the loop, and every other client with it.
func (h *client) readCommands(c gnet.Conn) gnet.Action {
	all, err := c.Peek(c.InboundBuffered())
	if err != nil {
		return gnet.Close
	}
	h.batching = true
	b, action := all, gnet.None
	for action == gnet.None && !h.requestInFlight && !h.closingWithError && len(b) > 0 {
		command := h.parser.Next(b)
		if command.Kind == Incomplete {
			break
		}
		b = b[command.Used:]
		if action = h.handleBounded(c, &command); len(h.batch) > replyBatchBytes {
			if h.flush(c); h.ctx.Err() != nil { // it has gone, and its buffers with it
				return gnet.None
			}
			if h.batching = true; c.OutboundBuffered() > maxUnreadBytes { // short answers to one that does not read
				action = gnet.Close
			}
		}
	}
	if h.flush(c); h.ctx.Err() != nil || h.closingWithError || action == gnet.Close {
		return action
	}
	if c.OutboundBuffered() > maxUnreadBytes {
		return gnet.Close
	}
	return h.consume(c, len(all)-len(b), len(b))
}

// handleBounded handles a command, and ends a client of which too many in a row make no sense.
func (h *client) handleBounded(c gnet.Conn, command *Command) gnet.Action {
	action := h.handle(c, command)
	if h.invalidRequests > maxInvalidRequests && action == gnet.None && !h.closingWithError {
		return h.closeWithError(c, sqlStateProtocolViolation, "too many requests that make no sense", "")
	}
	return action
}

// consume takes what was read out of the connection's buffer, and notes since when a message that remains is not complete.
func (h *client) consume(c gnet.Conn, used, remaining int) gnet.Action {
	if used > 0 {
		_, _ = c.Discard(used)
	}
	switch {
	case h.requestInFlight || remaining == 0:
		h.partialSince = 0
	case h.partialSince == 0 || used > 0: // another message than the one that was not complete
		h.partialSince = h.front.edge.Now()
	}
	if used > 0 && h.front.draining.Load() && h.hasRequested && h.isBetweenRequests(c) {
		return gnet.Close
	}
	return gnet.None
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
		if hasEnded(c) { // it came with its client's end: nobody waits for it
			return gnet.Close
		}
		h.handleQuery(c, command.Text)
	case Terminate:
		return gnet.Close
	case Cancel:
		h.front.cancel(command.Key)
		return gnet.Close
	case Malformed:
		return h.closeWithError(c, sqlStateProtocolViolation, command.Text, "")
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
