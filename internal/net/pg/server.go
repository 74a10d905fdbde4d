package pg

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/dispatch"
	"ashstand/internal/session"

	"ashstand/internal/net/loop"
)

// parameterSet are the parameters that a server reported or a client was told. A set is never changed once it is shared.
type parameterSet struct {
	values      map[string]string
	fingerprint uint64 // tells two sets apart without comparing them
}

func (p *parameterSet) with(f *SessionFront, name, value string) *parameterSet {
	old, had := p.values[name]
	if had && old == value {
		return p
	}
	n := &parameterSet{values: maps.Clone(p.values), fingerprint: p.fingerprint + f.hash(name, value)}
	if had {
		n.fingerprint -= f.hash(name, old)
	}
	n.values[name] = value
	return n
}

// serverConn is one connection to a db host. One session is linked to it, or it lies in its pool.
type serverConn struct {
	front                     *SessionFront
	pool                      *serverPool
	wire                      loop.PausableConn
	session                   *sessionClient
	settings                  *session.Settings // what holds on it while nobody is linked
	prepared                  *session.ServerStatements
	parameters                *parameterSet
	backendPID, backendSecret uint32
	idleSince                 float64 // unused since
	createdAt                 float64
	connecting                bool
	handlingTraffic           bool // Traffic is under way
	retired                   bool // not to be used again
	closed                    bool
	pendingCancels            int // cancel requests on their way to it
	requestSent               bool
	streamRemaining           int  // bytes of a message whose begin was passed on
	streamDiscarded           bool // or dropped

	reportedRole     string // said since the last ReadyForQuery
	reportedPosition float64
	reportedGauges   string
}

// openServerConn opens one more connection for a pool; whoever waits there gets it.
func (f *SessionFront) openServerConn(p *serverPool) {
	p.open++
	p.dialing++
	f.serverCount++
	s := &serverConn{front: f, pool: p, settings: session.NoSettings, connecting: true, createdAt: f.clock.Now(), parameters: &parameterSet{values: map[string]string{}}}
	l := f.limits.Load()
	most := 100
	if ps := l.poolFor(p.key.database, p.key.user); ps != nil {
		most = ps.MaxPreparedStatements
	}
	s.prepared = session.NewServerStatements(most)
	address, begun := p.host.address, time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.ConnectTimeout)
		defer cancel()
		g, err := f.engine.Dial(ctx, address, s)
		f.onLoop(func() {
			switch {
			case err != nil:
				s.unregister()
				p.connectFailed(err)
			case s.closed:
			default:
				s.wire = loop.NewPausableConn(f.engine, g, s)
				if p.host.address != address || !f.dispatcher.IsActive(p.host.name) { // a handshake is work too
					s.unregister()
					s.wire.Close()
					p.connectFailed(errHostUnavailable)
					return
				}
				s.wire.Write(appendStartup(nil, p.key.user, p.key.database))
				time.AfterFunc(l.ConnectTimeout-time.Since(begun), func() { // a connection not up by then counts as none
					f.onLoop(func() {
						if s.connecting && !s.closed {
							s.wire.Close()
						}
					})
				})
			}
		})
	}()
}

// deliverCancelRequest sends a cancel request and waits until the host has taken it, which it says by closing.
func deliverCancelRequest(address string, b []byte, limit time.Duration) error {
	c, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err = c.Write(b); err != nil {
		return err
	}
	if _, err = io.Copy(io.Discard, io.LimitReader(c, 1024)); errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// connectFailed says that a connection for the pool did not come up: who has waited longest chooses anew.
func (p *serverPool) connectFailed(err error) {
	code := dispatch.NoConnection
	switch {
	case errors.Is(err, errHostRejected), loop.OutOfDescriptors(err):
		code = dispatch.Rejected
	case errors.Is(err, errHostUnavailable):
		code = dispatch.NotSent
	}
	if w := p.queue.Next(0, nil); w != nil {
		w.Owner.(*sessionClient).retryRouting(dispatch.Outcome{Code: code})
	}
}

var (
	errHostRejected    = errors.New("the db host turns connections away")
	errHostUnavailable = errors.New("the db host takes nothing new, or is elsewhere now")
)

// unregister takes a connection off the books.
func (s *serverConn) unregister() {
	if s.closed {
		return
	}
	s.closed = true
	s.front.serverCount--
	s.pool.open--
	if s.connecting {
		s.pool.dialing--
	}
	for i, o := range s.pool.idle {
		if o == s {
			s.pool.idle = append(s.pool.idle[:i], s.pool.idle[i+1:]...)
			break
		}
	}
}

// Closed is called on the loop.
func (s *serverConn) Closed(_ gnet.Conn, err error) {
	if !s.wire.ConfirmClosed() {
		return
	}
	started := !s.connecting || s.closed
	s.unregister()
	delete(s.front.pausedWires, &s.wire)
	if c := s.session; c != nil {
		s.session = nil
		c.serverLost(s)
	}
	if !started {
		if err == nil {
			err = errClosed
		}
		s.pool.connectFailed(err)
	} else {
		s.pool.serveWaiters(s.front)
	}
}

// isExpired says whether the connection is to be used no more.
func (s *serverConn) isExpired(p *PoolSettings, now float64) bool {
	return s.retired || p.ServerIdleMillis > 0 && now-s.idleSince > p.ServerIdleMillis || p.ServerLifetimeMillis > 0 && now-s.createdAt > p.ServerLifetimeMillis
}

// returnToPool puts the connection into its pool, or ends it.
func (s *serverConn) returnToPool() {
	f, p := s.front, s.pool
	s.idleSince = f.clock.Now()
	ps := f.limits.Load().poolFor(p.key.database, p.key.user)
	if s.pendingCancels > 0 { // a cancel under way may hit whatever runs next: it comes back once that is delivered
		return
	}
	if ps == nil || s.retired || p.host.address == "" || f.draining && p.queue.Len() == 0 || ps.ServerLifetimeMillis > 0 && s.idleSince-s.createdAt > ps.ServerLifetimeMillis ||
		!f.dispatcher.IsActive(p.host.name) {
		f.stats.ServersDiscarded++
		s.wire.Close()
		return
	}
	p.idle = append(p.idle, s)
	p.serveWaiters(f)
}

// serveWaiters gives what lies in the pool to those who wait, first come first served, and dials for the others.
func (p *serverPool) serveWaiters(f *SessionFront) {
	now := f.clock.Now()
	for p.queue.Len() > 0 {
		if len(p.idle) == 0 {
			p.openForWaiters(f)
			return
		}
		w := p.queue.Next(now, func(w *session.Waiter) { w.Owner.(*sessionClient).waitExpired() })
		if w == nil {
			return
		}
		c := w.Owner.(*sessionClient)
		if s := p.takeIdle(c, now); s != nil {
			c.attach(s)
		} else if !p.queue.Add(w, p.queue.Len()+1) {
			return
		}
	}
}

// takeIdle is the unused connection that has least to be changed for a session, of those used last; nil: there is none.
func (p *serverPool) takeIdle(c *sessionClient, now float64) *serverConn {
	for len(p.idle) > 0 {
		at := len(p.idle) - 1
		for i := at; i >= 0 && i > at-8; i-- {
			if p.idle[i].settings.Equal(c.pipeline.Settings()) {
				at = i
				break
			}
		}
		s := p.idle[at]
		p.idle = append(p.idle[:at], p.idle[at+1:]...)
		// What came since it was used is its end, or nothing that is asked for: it says nothing of this request.
		if s.isExpired(c.pool, now) || s.wire.Conn == nil || s.wire.BufferedBytes() > 0 || hasUnreadEvent(s.wire.Conn) {
			s.retired = true
			s.wire.Close()
			continue
		}
		return s
	}
	return nil
}

// openForWaiters opens a connection for each that waits and has none coming, as far as the sizes allow.
func (p *serverPool) openForWaiters(f *SessionFront) {
	l := f.limits.Load()
	ps := l.poolFor(p.key.database, p.key.user)
	if ps == nil || p.host.address == "" || !f.dispatcher.IsActive(p.host.name) { // the sweep sends those that wait elsewhere
		return
	}
	for n := p.queue.Len() - p.dialing; n > 0 && p.open < p.capacity(ps); n-- {
		if f.serverCount >= l.Servers && !f.evictIdle() {
			return
		}
		f.openServerConn(p)
	}
}

// capacity is how many connections the pool may have; the reserve is for sessions that keep theirs.
func (p *serverPool) capacity(ps *PoolSettings) int {
	return max(1, ps.Sizes.MaxConnections-max(0, ps.ReservedForSticky-p.retained))
}

// Traffic is called on the loop.
func (s *serverConn) Traffic(g gnet.Conn) gnet.Action {
	if s.wire.Conn == nil { // it spoke before it was spoken to
		return gnet.Close
	}
	s.handlingTraffic = true
	defer func() { s.handlingTraffic = false }()
	var err error
	switch {
	case s.connecting:
		err = s.readStartup()
	default:
		err = s.relay()
	}
	if err != nil {
		if !errors.Is(err, errHostClosing) {
			s.front.hostLog.Printf("sessions: %s: %v", s.pool.host.name, err)
		}
		return gnet.Close
	}
	if s.retired && s.session == nil && !s.connecting { // whoever had it went meanwhile
		return gnet.Close
	}
	return gnet.None
}

var errHostClosing = errors.New("the db host ends the connection")

// readStartup reads the answer to the startup message.
func (s *serverConn) readStartup() error {
	for {
		b := s.wire.Peek()
		kind, body, rest, ok, err := nextMessage(b, maxBufferedMessageBytes)
		if err != nil {
			return err
		}
		if !ok {
			return nil
		}
		used := len(b) - len(rest)
		switch kind {
		case 'R':
			if len(body) < 4 || binary.BigEndian.Uint32(body) != 0 {
				return errors.New("the db host asks for a password, which is not supported")
			}
		case 'S':
			if _, ok := s.recordParameter(body); !ok {
				return errUnexpectedMessage
			}
		case 'K':
			if len(body) >= 8 {
				s.backendPID, s.backendSecret = binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])
			}
		case 'E':
			state, text, _, _ := errorFields(body)
			s.retired = true
			s.front.hostLog.Printf("sessions: %s turned a connection away: %s %s", s.pool.host.name, state, text)
			p := s.pool
			s.unregister()
			s.connecting = false
			if state == sqlStateTooManyConnections {
				p.connectFailed(errHostRejected)
			} else {
				p.connectFailed(errHostClosing)
			}
			return errHostClosing
		case 'Z':
			s.wire.Discard(used)
			s.connecting = false
			s.pool.dialing--
			s.returnToPool()
			return nil
		case 'N', 'v':
		default:
			return fmt.Errorf("%w: %q while starting", errUnexpectedMessage, kind)
		}
		s.wire.Discard(used)
	}
}

// recordParameter takes a ParameterStatus. own: it is of the host, not of the session.
func (s *serverConn) recordParameter(body []byte) (own, ok bool) {
	name, value, ok := strings.Cut(string(body), "\x00")
	value, rest, end := strings.Cut(value, "\x00")
	if !ok || !end || rest != "" {
		return false, false
	}
	switch n := &s.front.names; name {
	case n.Role:
		s.reportedRole = value
	case n.Position:
		if x, err := strconv.ParseFloat(value, 64); err == nil && x > 0 && x < 1<<52 {
			s.reportedPosition = x
		}
	case n.Gauges:
		s.reportedGauges = value
	default:
		if _, had := s.parameters.values[name]; !had && len(s.parameters.values) >= maxReportedParameters {
			return false, false
		}
		s.parameters = s.parameters.with(s.front, name, value)
		return false, true
	}
	return true, true
}

// relay passes what the host says to the client that is linked. Messages up to maxBufferedMessageBytes are passed whole, so that a
// connection that breaks leaves its client between two messages; longer ones are streamed.
func (s *serverConn) relay() error {
	b := s.wire.Peek()
	c := s.session
	if c == nil {
		return s.readUnsolicited(b)
	}
	f := s.front
	out := f.clientBuffer[:0]
	at, from := 0, 0 // consumed, and since where it is to be passed as it is
	var err error
	ready := false
	pass := func(to int) { // passes b[from:to]
		if to > from {
			out = append(out, b[from:to]...)
		}
		from = to
	}
	for k := c.pipeline.NextLocalReply(); k != 0; k = c.pipeline.NextLocalReply() {
		out = append(out, k, 0, 0, 0, 4)
	}
	for at < len(b) && !ready {
		if s.streamRemaining > 0 {
			n := min(s.streamRemaining, len(b)-at)
			if s.streamDiscarded {
				pass(at)
				from = at + n
			}
			s.streamRemaining -= n
			at += n
			continue
		}
		if len(b)-at < 5 {
			break
		}
		kind := b[at]
		total := int(binary.BigEndian.Uint32(b[at+1:])) + 1
		if total < 5 || total > 1<<30 {
			err = errMessageLength
			break
		}
		word, whole := "", len(b)-at >= total
		if !whole && (total <= maxBufferedMessageBytes || strings.IndexByte("ECZSKRN", kind) >= 0) {
			if total > maxBufferedMessageBytes {
				err = errMessageLength
			}
			break
		}
		var body []byte
		if whole {
			body = b[at+5 : at+total]
		}
		var state, text string
		switch kind {
		case 'E':
			if state, text, _, _ = errorFields(body); state == "" {
				state = sqlStateInternalError
			}
			word = state
		case 'C':
			word = strings.TrimSuffix(string(body), "\x00")
		case 'Z':
			if len(body) == 1 {
				word = string(body)
			}
		case 'S':
			if _, ok := s.recordParameter(body); !ok {
				err = errUnexpectedMessage
			}
		}
		if err != nil {
			break
		}
		guarded := kind == 'E' && c.recording && c.isTenantClosedError(state, text)
		p := c.pipeline.HandleServerMessage(kind, word)
		switch {
		case guarded && c.pipeline.Expected() == 1 && !p.Drop && p.Replacement == nil: // nothing ran, and nobody was told anything
			at += total
			out, from = out[:0], at
			c.phase = phaseRejectedByHost
			continue
		case p.Ready && c.phase == phaseRejectedByHost:
			s.wire.Discard(at + total)
			c.replayElsewhere(s)
			if s.session == nil && !s.closed && s.wire.BufferedBytes() > 0 {
				return s.readUnsolicited(s.wire.Peek())
			}
			return nil
		case p.Unexpected:
			err = fmt.Errorf("%w: %q", errUnexpectedMessage, kind)
		case p.Injected:
			pass(at)
			at += total
			from = at
			c.writeClient(out)
			s.wire.Discard(at)
			if s.session != c {
				return errHostClosing
			}
			return c.settingsRestored(s, p.Failed)
		case kind == 'S' && c.phase == phaseRestoring:
			p.Drop = true // what differs in the end is told once all is set
		}
		if err != nil {
			break
		}
		if kind == 'E' && p.Failed {
			c.settingsError = state + " " + text
		}
		if kind == 'E' && state == sqlStateReadOnlyTransaction {
			c.misplaced = true
		}
		if p.Drop || p.Replacement != nil {
			pass(at)
			from = at + min(total, len(b)-at)
			if r := p.Replacement; r != nil {
				out = appendError(out, "ERROR", r.SQLState, r.Text, "")
			}
		}
		if !whole {
			s.streamRemaining, s.streamDiscarded = total-(len(b)-at), p.Drop
			at = len(b)
			continue
		}
		at += total
		if k := c.pipeline.NextLocalReply(); k != 0 {
			pass(at)
			for ; k != 0; k = c.pipeline.NextLocalReply() {
				out = append(out, k, 0, 0, 0, 4)
			}
		}
		if p.Ready {
			c.transactionReady(s, word[0])
			// The session may be done with this connection: what it sent belongs to it up to here.
			ready = c.pipeline.Idle()
		}
	}
	switch {
	case len(out) == 0 && at > from:
		c.writeClient(b[from:at])
	default:
		pass(at)
		c.writeClient(out)
	}
	if cap(out) <= 1<<20 {
		f.clientBuffer = out
	}
	s.wire.Discard(at)
	if err != nil {
		return err
	}
	if s.session != c { // it went while its answer was written: what is due here is nobody's
		return errHostClosing
	}
	if c.wire.UnsentBytes() > highWaterBytes {
		f.pauseUntil(&s.wire, func() bool { return c.disconnected || c.wire.UnsentBytes() < lowWaterBytes })
	}
	if ready {
		c.releaseServer(s)
	} else if c.messageBlocked {
		c.resume()
	}
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
		case 'S':
			if _, ok := s.recordParameter(body); !ok {
				return errUnexpectedMessage
			}
		case 'N':
		case 'A': // nobody listens any more
		case 'E':
			return errHostClosing
		default:
			return fmt.Errorf("%w: %q unasked", errUnexpectedMessage, kind)
		}
		s.wire.Discard(len(b) - len(rest))
		b = rest
	}
	return nil
}

// outcome is what the answer to a transaction's first request tells the decisions.
func (s *serverConn) outcome(code dispatch.Code) dispatch.Outcome {
	o := dispatch.Outcome{Code: code, Position: s.reportedPosition}
	switch s.reportedRole {
	case s.front.names.Primary:
		o.Role = dispatch.Primary
	case s.front.names.Replica:
		o.Role = dispatch.Replica
	}
	return o
}
