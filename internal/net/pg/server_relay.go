package pg

import (
	"encoding/binary"
	"fmt"
	"strings"
)

const (
	maxMessageBytes          = 1 << 30 // a host never sends a longer message
	maxRetainedRelayBytes    = 1 << 20 // a larger buffer for data to clients is not kept for reuse
	neverStreamedServerKinds = "ECZSKRN"
)

// streamState tracks a host's message that is too long to be buffered and is forwarded piece by piece. The
// event loop owns it.
type streamState struct {
	remaining int  // bytes of the message still to come
	discarded bool // the remaining bytes are not forwarded
}

// relayBatch is the data read from a host at once, on its way to the client. It is used for one call of relay
// on the event loop.
type relayBatch struct {
	server      *serverConn
	client      *sessionClient
	in          []byte // the data that was read
	consumed    int    // how many bytes of in were handled
	forwardFrom int    // in[forwardFrom:consumed] is still to be forwarded unchanged
	out         []byte // sent to the client in place of in[:forwardFrom]
	err         error  // set if in[consumed:] can't be processed
	idle        bool   // the session needs the connection no longer; data after in[:consumed] is not its own
}

// hostMessage is a message from a host.
type hostMessage struct {
	kind     byte
	size     int
	complete bool   // the whole message was read; otherwise it is streamed
	body     []byte // only set if the message is complete
	detail   string // CommandComplete: the tag; ErrorResponse: the SQLSTATE; ReadyForQuery: the transaction status
	text     string // ErrorResponse: the message text
}

// relayResult tells relay how to go on after a message.
type relayResult uint8

const (
	relayContinue         relayResult = iota // go on with the next message, unless the batch has an error
	relayRejected                            // the host rejected the transaction, which is replayed elsewhere
	relaySettingsRestored                    // the host accepted the session's settings
	relaySettingsFailed                      // the host answered the session's settings with an error
)

// relay forwards the host's messages to the linked client. Messages up to maxBufferedMessageBytes are
// forwarded whole, so that the client is left between two messages if the connection breaks. Longer messages
// are streamed.
func (s *serverConn) relay() error {
	in := s.wire.Peek()
	if s.session == nil {
		return s.readUnsolicited(in)
	}
	r := relayBatch{server: s, client: s.session, in: in, out: s.front.buffers.client[:0]}
	for k := r.client.pipeline.NextLocalReply(); k != 0; k = r.client.pipeline.NextLocalReply() {
		r.out = appendEmpty(r.out, k)
	}
	for r.consumed < len(r.in) && !r.idle && r.err == nil {
		if s.stream.remaining > 0 {
			r.continueStream()
			continue
		}
		var m hostMessage
		if !r.readMessage(&m) {
			break
		}
		switch result := r.handleMessage(&m); result {
		case relayRejected:
			s.wire.Discard(r.consumed + m.size)
			r.client.replayElsewhere(s)
			return s.readRemaining()
		case relaySettingsRestored, relaySettingsFailed:
			return r.finishRestoring(&m, result == relaySettingsFailed)
		}
	}
	return r.finish()
}

// continueStream handles the next bytes of a streamed message.
func (r *relayBatch) continueStream() {
	stream := &r.server.stream
	n := min(stream.remaining, len(r.in)-r.consumed)
	if stream.discarded {
		r.forward(r.consumed)
		r.forwardFrom = r.consumed + n
	}
	stream.remaining -= n
	r.consumed += n
}

// readMessage reads the message that begins at in[consumed]. It returns false if the rest of the message has
// not arrived, or if the message is invalid; in that case r.err is set.
func (r *relayBatch) readMessage(m *hostMessage) bool {
	in := r.in[r.consumed:]
	if len(in) < messageHeaderBytes {
		return false
	}
	m.kind = in[0]
	m.size = int(binary.BigEndian.Uint32(in[1:])) + 1
	if m.size < messageHeaderBytes || m.size > maxMessageBytes {
		r.err = errMessageLength
		return false
	}
	m.complete = len(in) >= m.size
	if !m.complete && (m.size <= maxBufferedMessageBytes || strings.IndexByte(neverStreamedServerKinds, m.kind) >= 0) {
		if m.size > maxBufferedMessageBytes {
			r.err = errMessageLength
		}
		return false
	}
	if m.complete {
		m.body = in[messageHeaderBytes:m.size]
	}
	switch m.kind {
	case serverError:
		if m.detail, m.text, _, _ = errorFields(m.body); m.detail == "" {
			m.detail = sqlStateInternalError
		}
	case serverCommandComplete:
		m.detail = strings.TrimSuffix(string(m.body), "\x00")
	case serverReadyForQuery:
		if len(m.body) == 1 {
			m.detail = string(m.body)
		}
	case serverParameterStatus:
		if _, ok := r.server.recordParameter(m.body); !ok {
			r.err = errUnexpectedMessage
			return false
		}
	}
	return true
}

// handleMessage forwards, drops or replaces a message, as the session's pipeline decides.
func (r *relayBatch) handleMessage(m *hostMessage) relayResult {
	c := r.client
	tenantClosed := m.kind == serverError && c.record.active && c.isTenantClosedError(m.detail, m.text)
	action := c.pipeline.HandleServerMessage(m.kind, m.detail)
	switch {
	case tenantClosed && c.pipeline.ExpectedReplies() == 1 && !action.Drop && action.Replacement == nil: // nothing ran, and nothing of this response was sent to the client
		r.consumed += m.size
		r.out, r.forwardFrom = r.out[:0], r.consumed
		c.phase = phaseRejectedByHost
		return relayContinue
	case action.Ready && c.phase == phaseRejectedByHost:
		return relayRejected
	case action.Unexpected:
		r.err = fmt.Errorf("%w: %q", errUnexpectedMessage, m.kind)
		return relayContinue
	case action.SettingsApplied && action.Failed:
		return relaySettingsFailed
	case action.SettingsApplied:
		return relaySettingsRestored
	case m.kind == serverParameterStatus && c.phase == phaseRestoring:
		action.Drop = true // changed parameters are sent to the client once all settings are restored
	}
	if m.kind == serverError {
		c.recordHostError(m, action.Failed)
	}
	if action.Drop || action.Replacement != nil {
		r.forward(r.consumed)
		r.forwardFrom = r.consumed + min(m.size, len(r.in)-r.consumed)
		if reply := action.Replacement; reply != nil {
			r.out = appendError(r.out, severityError, reply.SQLState, reply.Text, "")
		}
	}
	if !m.complete {
		r.server.stream = streamState{remaining: m.size - (len(r.in) - r.consumed), discarded: action.Drop}
		r.consumed = len(r.in)
		return relayContinue
	}
	r.consumed += m.size
	r.passLocalReplies()
	if action.Ready {
		if !action.Empty {
			c.checkDecided(r.server, m.detail[0])
		}
		c.transactionReady(r.server, m.detail[0])
		r.idle = c.pipeline.Idle()
	}
	return relayContinue
}

// recordHostError records what else an error from the host means, besides being a response. ofSettings tells
// whether it is the response to the session's settings.
func (c *sessionClient) recordHostError(m *hostMessage, ofSettings bool) {
	c.routing.failed = true
	if ofSettings {
		c.recovery.settingsError = m.detail + " " + m.text
	}
	if m.detail == sqlStateReadOnlyTransaction {
		c.routing.misdirected = true
	}
}

// passLocalReplies adds the responses that the pooler itself gives next, after the data consumed so far.
func (r *relayBatch) passLocalReplies() {
	k := r.client.pipeline.NextLocalReply()
	if k == 0 {
		return
	}
	r.forward(r.consumed)
	for ; k != 0; k = r.client.pipeline.NextLocalReply() {
		r.out = appendEmpty(r.out, k)
	}
}

// forward appends in[forwardFrom:to] to out unchanged.
func (r *relayBatch) forward(to int) {
	if to > r.forwardFrom {
		r.out = append(r.out, r.in[r.forwardFrom:to]...)
	}
	r.forwardFrom = to
}

// finishRestoring ends the batch after the response to the session's settings.
func (r *relayBatch) finishRestoring(m *hostMessage, failed bool) error {
	s, c := r.server, r.client
	r.forward(r.consumed)
	r.consumed += m.size
	c.writeClient(r.out)
	s.wire.Discard(r.consumed)
	if s.session != c {
		return errHostClosing
	}
	return c.settingsRestored(s, failed)
}

// finish writes the batch to the client, applies back pressure, and releases the connection or resumes the
// client's input.
func (r *relayBatch) finish() error {
	s, c, f := r.server, r.client, r.server.front
	if len(r.out) == 0 && r.consumed > r.forwardFrom {
		c.writeClient(r.in[r.forwardFrom:r.consumed])
	} else {
		r.forward(r.consumed)
		c.writeClient(r.out)
	}
	if cap(r.out) <= maxRetainedRelayBytes {
		f.buffers.client = r.out
	}
	s.wire.Discard(r.consumed)
	if r.err != nil {
		return r.err
	}
	if s.session != c { // the session left during the write; no one needs the rest of the response
		return errHostClosing
	}
	if c.wire.UnsentBytes() > highWaterBytes {
		f.pauseReadsUntil(&s.wire, s, func() bool { return c.disconnected || c.wire.UnsentBytes() < lowWaterBytes })
	}
	c.countHeld()
	if r.idle {
		c.releaseServer(s)
	} else if c.input.blocked {
		c.resume()
	}
	c.readOn()
	return s.readRemaining()
}

// readRemaining reads the buffered data of a connection to which no session is linked any more.
func (s *serverConn) readRemaining() error {
	if s.session == nil && !s.closed && s.wire.BufferedBytes() > 0 {
		return s.readUnsolicited(s.wire.Peek())
	}
	return nil
}

// readUnsolicited handles a host's messages while no session is linked.
func (s *serverConn) readUnsolicited(b []byte) error {
	for len(b) > 0 {
		kind, body, rest, ok, err := nextMessage(b, maxBufferedMessageBytes)
		if err != nil || !ok {
			return err
		}
		switch kind {
		case serverParameterStatus:
			if _, ok := s.recordParameter(body); !ok {
				return errUnexpectedMessage
			}
		case serverNotice:
		case serverNotification: // no session is linked that could have subscribed
		case serverError:
			return errHostClosing
		default:
			return fmt.Errorf("%w: %q while no session is linked", errUnexpectedMessage, kind)
		}
		s.wire.Discard(len(b) - len(rest))
		b = rest
	}
	return nil
}
