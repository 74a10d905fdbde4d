package pg

import (
	"encoding/binary"
	"fmt"
	"strings"
)

const (
	maxMessageBytes          = 1 << 30 // a length beyond this is none that a host sends
	maxRetainedRelayBytes    = 1 << 20 // a larger buffer is not retained for what goes to clients
	neverStreamedServerKinds = "ECZSKRN"
)

// streamState is a message of a host that is longer than is gathered, and is passed on as it comes. The event loop owns it.
type streamState struct {
	remaining int  // bytes of it that are still to come
	discarded bool // they are not passed on
}

// relayBatch is what came from a host at once, on its way to the client. It lives for one call of relay on the event loop.
type relayBatch struct {
	server *serverConn
	client *sessionClient
	in     []byte // what was read
	at     int    // consumed of in
	from   int    // since where in is to be passed on as it is
	out    []byte // what goes to the client instead of in[:from]
	err    error  // in[at:] can't be read
	idle   bool   // the session is done with the connection: what it sent belongs to it up to here
}

// hostMessage is one message of a host.
type hostMessage struct {
	kind     byte
	size     int
	complete bool   // else it is streamed
	body     []byte // if it is complete
	detail   string // CommandComplete: its tag; ErrorResponse: its SQLSTATE; ReadyForQuery: the status
	text     string // ErrorResponse
}

// relayResult is what to do behind a message.
type relayResult uint8

const (
	relayNext     relayResult = iota // go on, unless the batch has an error
	relayRejected                    // the host has rejected the transaction: it goes elsewhere
	relayRestored                    // the host has answered to the session's settings
	relayFailed                      // so, with an error
)

// relay passes what the host says to the client that is linked. Messages up to maxBufferedMessageBytes are passed complete,
// so that a connection that breaks leaves its client between two messages; longer ones are streamed.
func (s *serverConn) relay() error {
	in := s.wire.Peek()
	if s.session == nil {
		return s.readUnsolicited(in)
	}
	r := relayBatch{server: s, client: s.session, in: in, out: s.front.buffers.client[:0]}
	for k := r.client.pipeline.NextLocalReply(); k != 0; k = r.client.pipeline.NextLocalReply() {
		r.out = appendEmpty(r.out, k)
	}
	for r.at < len(r.in) && !r.idle && r.err == nil {
		if s.stream.remaining > 0 {
			r.continueStream()
			continue
		}
		var m hostMessage
		if !r.next(&m) {
			break
		}
		switch result := r.take(&m); result {
		case relayRejected:
			s.wire.Discard(r.at + m.size)
			r.client.replayElsewhere(s)
			return s.readRemaining()
		case relayRestored, relayFailed:
			return r.finishRestoring(&m, result == relayFailed)
		}
	}
	return r.finish()
}

// continueStream takes what came of a message that is streamed.
func (r *relayBatch) continueStream() {
	stream := &r.server.stream
	n := min(stream.remaining, len(r.in)-r.at)
	if stream.discarded {
		r.pass(r.at)
		r.from = r.at + n
	}
	stream.remaining -= n
	r.at += n
}

// next reads the message that begins at r.at. false: it has to wait for the rest of it, or r.err says why it can't be read.
func (r *relayBatch) next(m *hostMessage) bool {
	in := r.in[r.at:]
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

// take passes a message on, drops it or replaces it, as the session's pipeline says.
func (r *relayBatch) take(m *hostMessage) relayResult {
	c := r.client
	tenantClosed := m.kind == serverError && c.record.active && c.isTenantClosedError(m.detail, m.text)
	action := c.pipeline.HandleServerMessage(m.kind, m.detail)
	switch {
	case tenantClosed && c.pipeline.Expected() == 1 && !action.Drop && action.Replacement == nil: // nothing ran, and the client was told nothing
		r.at += m.size
		r.out, r.from = r.out[:0], r.at
		c.phase = phaseRejectedByHost
		return relayNext
	case action.Ready && c.phase == phaseRejectedByHost:
		return relayRejected
	case action.Unexpected:
		r.err = fmt.Errorf("%w: %q", errUnexpectedMessage, m.kind)
		return relayNext
	case action.Injected && action.Failed:
		return relayFailed
	case action.Injected:
		return relayRestored
	case m.kind == serverParameterStatus && c.phase == phaseRestoring:
		action.Drop = true // what differs in the end is told once all is set
	}
	if m.kind == serverError {
		c.noteHostError(m, action.Failed)
	}
	if action.Drop || action.Replacement != nil {
		r.pass(r.at)
		r.from = r.at + min(m.size, len(r.in)-r.at)
		if reply := action.Replacement; reply != nil {
			r.out = appendError(r.out, severityError, reply.SQLState, reply.Text, "")
		}
	}
	if !m.complete {
		r.server.stream = streamState{remaining: m.size - (len(r.in) - r.at), discarded: action.Drop}
		r.at = len(r.in)
		return relayNext
	}
	r.at += m.size
	r.passLocalReplies()
	if action.Ready {
		c.transactionReady(r.server, m.detail[0])
		r.idle = c.pipeline.Idle()
	}
	return relayNext
}

// noteHostError notes what an error of the host means beside the answer that it is. ofSettings: it answers the session's
// settings.
func (c *sessionClient) noteHostError(m *hostMessage, ofSettings bool) {
	if ofSettings {
		c.recovery.settingsError = m.detail + " " + m.text
	}
	if m.detail == sqlStateReadOnlyTransaction {
		c.routing.misplaced = true
	}
}

// passLocalReplies puts the answers that are the pooler's to give next behind what was consumed.
func (r *relayBatch) passLocalReplies() {
	k := r.client.pipeline.NextLocalReply()
	if k == 0 {
		return
	}
	r.pass(r.at)
	for ; k != 0; k = r.client.pipeline.NextLocalReply() {
		r.out = appendEmpty(r.out, k)
	}
}

// pass puts in[from:to] into out as it is.
func (r *relayBatch) pass(to int) {
	if to > r.from {
		r.out = append(r.out, r.in[r.from:to]...)
	}
	r.from = to
}

// finishRestoring ends the batch behind the answer to the session's settings.
func (r *relayBatch) finishRestoring(m *hostMessage, failed bool) error {
	s, c := r.server, r.client
	r.pass(r.at)
	r.at += m.size
	c.writeClient(r.out)
	s.wire.Discard(r.at)
	if s.session != c {
		return errHostClosing
	}
	return c.settingsRestored(s, failed)
}

// finish writes what goes to the client and goes on from there.
func (r *relayBatch) finish() error {
	s, c, f := r.server, r.client, r.server.front
	if len(r.out) == 0 && r.at > r.from {
		c.writeClient(r.in[r.from:r.at])
	} else {
		r.pass(r.at)
		c.writeClient(r.out)
	}
	if cap(r.out) <= maxRetainedRelayBytes {
		f.buffers.client = r.out
	}
	s.wire.Discard(r.at)
	if r.err != nil {
		return r.err
	}
	if s.session != c { // it went while its answer was written: what is due here is nobody's
		return errHostClosing
	}
	if c.wire.UnsentBytes() > highWaterBytes {
		f.suspendUntil(&s.wire, func() bool { return c.disconnected || c.wire.UnsentBytes() < lowWaterBytes })
	}
	if r.idle {
		c.releaseServer(s)
	} else if c.input.blocked {
		c.resume()
	}
	return s.readRemaining()
}

// readRemaining reads what is left where nobody is linked any more.
func (s *serverConn) readRemaining() error {
	if s.session == nil && !s.closed && s.wire.BufferedBytes() > 0 {
		return s.readUnsolicited(s.wire.Peek())
	}
	return nil
}

// readUnsolicited takes what a host says while nobody is linked.
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
		case serverNotification: // nobody listens any more
		case serverError:
			return errHostClosing
		default:
			return fmt.Errorf("%w: %q unasked", errUnexpectedMessage, kind)
		}
		s.wire.Discard(len(b) - len(rest))
		b = rest
	}
	return nil
}
