package pg

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/dispatch"
	"ashstand/internal/net/loop"
	"ashstand/internal/session"
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

// serverConn is one connection of the session front to a db host. One session is linked to it, or it lies in its pool. It
// belongs to the event loop of its front, the states below included; there is no lock.
type serverConn struct {
	front      *SessionFront
	pool       *serverPool
	wire       loop.PausableConn
	session    *sessionClient    // nil: none is linked
	settings   *session.Settings // what holds on it while nobody is linked
	prepared   *session.ServerStatements
	parameters *parameterSet

	idleSince       float64 // clock milliseconds since which it is unused
	createdAt       float64 // clock milliseconds
	connecting      bool    // its host is not ready for a query yet
	handlingTraffic bool    // Traffic is under way
	retired         bool    // not to be used again
	closed          bool
	requestSent     bool // something of the linked transaction was written

	cancellation cancellationState
	stream       streamState
	report       hostReport
}

// cancellationState is what a cancel request to a connection's host has to name. The event loop owns it.
type cancellationState struct {
	pid, secret uint32
	pending     int // cancel requests that are on their way to the host
}

// hostReport is what a host said of itself since the last ReadyForQuery. The event loop owns it.
type hostReport struct {
	role     string
	position float64 // Unix milliseconds; 0: it said none
}

// defaultMaxPreparedStatements bounds the statements on a connection whose pool is set no more.
const defaultMaxPreparedStatements = 100

// openServerConn opens one more connection for a pool; whoever waits there gets it.
func (f *SessionFront) openServerConn(p *serverPool) {
	p.open++
	p.dialing++
	f.servers.count++
	s := &serverConn{
		front:      f,
		pool:       p,
		settings:   session.NoSettings,
		connecting: true,
		createdAt:  f.clock.Now(),
		parameters: &parameterSet{values: map[string]string{}},
	}
	limits := f.limits.Load()
	maxStatements := defaultMaxPreparedStatements
	if settings := limits.poolFor(p.key.database, p.key.user); settings != nil {
		maxStatements = settings.MaxPreparedStatements
	}
	s.prepared = session.NewServerStatements(maxStatements)
	address, begun := p.host.address, time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limits.ConnectTimeout)
		defer cancel()
		conn, err := f.engine.Dial(ctx, address, s)
		f.onLoop(func() { s.dialed(conn, err, address, limits.ConnectTimeout-time.Since(begun)) })
	}()
}

// dialed takes the outcome of a dial to an address. The host has to be ready for a query within what is left of the time.
func (s *serverConn) dialed(conn gnet.Conn, err error, address string, timeRemaining time.Duration) {
	f, p := s.front, s.pool
	switch {
	case err != nil:
		s.unregister()
		p.connectFailed(err)
		return
	case s.closed:
		return
	}
	s.wire = loop.NewPausableConn(f.engine, conn, s)
	if p.host.address != address || !f.dispatcher.IsActive(p.host.name) { // a handshake is work too
		s.unregister()
		s.wire.Close()
		p.connectFailed(errHostUnavailable)
		return
	}
	f.dispatcher.SlowStartHandshake(p.host.name)
	s.wire.Write(startupMessage(p.key.user, p.key.database))
	time.AfterFunc(timeRemaining, func() { // a connection not up by then counts as none
		f.onLoop(func() {
			if s.connecting && !s.closed {
				s.wire.Close()
			}
		})
	})
}

// unregister takes a connection off the books.
func (s *serverConn) unregister() {
	if s.closed {
		return
	}
	s.closed = true
	s.front.servers.count--
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
func (s *serverConn) Closed(g gnet.Conn, err error) {
	if !s.wire.ConfirmClosed() {
		return
	}
	if g != nil {
		discardUnconfirmed(g) // its session has gone, or learns that the connection was lost
	}
	started := !s.connecting || s.closed
	s.unregister()
	delete(s.front.backpressure.paused, &s.wire)
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

// isExpired reports whether the connection is to be used no more.
func (s *serverConn) isExpired(p *PoolSettings, now float64) bool {
	return s.retired || p.ServerIdleMillis > 0 && now-s.idleSince > p.ServerIdleMillis || p.ServerLifetimeMillis > 0 && now-s.createdAt > p.ServerLifetimeMillis
}

// returnToPool puts the connection into its pool, or ends it.
func (s *serverConn) returnToPool() {
	f, p := s.front, s.pool
	s.idleSince = f.clock.Now()
	ps := f.limits.Load().poolFor(p.key.database, p.key.user)
	if s.cancellation.pending > 0 { // a cancel under way may hit whatever runs next: it comes back once that is delivered
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
		if err := s.handleStartup(kind, body); err != nil {
			return err
		}
		s.wire.Discard(len(b) - len(rest))
		if kind == serverReadyForQuery {
			s.connecting = false
			s.pool.dialing--
			s.returnToPool()
			return nil
		}
	}
}

// handleStartup takes one message of the answer to the startup message.
func (s *serverConn) handleStartup(kind byte, body []byte) error {
	switch kind {
	case serverAuthentication:
		if len(body) < 4 || binary.BigEndian.Uint32(body) != authenticationOK {
			return errPasswordNeeded
		}
	case serverParameterStatus:
		if _, ok := s.recordParameter(body); !ok {
			return errUnexpectedMessage
		}
	case serverBackendKeyData:
		if len(body) >= 8 {
			s.cancellation.pid, s.cancellation.secret = binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])
		}
	case serverError:
		return s.handshakeRejected(body)
	case serverReadyForQuery, serverNotice, serverNegotiateVersion:
	default:
		return fmt.Errorf("%w: %q while starting", errUnexpectedMessage, kind)
	}
	return nil
}

// handshakeRejected takes the error by which a host ends the connection before it is ready for a query.
func (s *serverConn) handshakeRejected(body []byte) error {
	sqlState, text, _, _ := errorFields(body)
	s.retired = true
	s.front.hostLog.Printf("sessions: %s turned a connection away: %s %s", s.pool.host.name, sqlState, text)
	p := s.pool
	s.unregister()
	s.connecting = false
	if sqlState == string(stateTooManyConnections) {
		p.connectFailed(errHostRejected)
	} else {
		p.connectFailed(errHostClosing)
	}
	return errHostClosing
}

// recordParameter takes a ParameterStatus. isReport: it is of the host, not of the session.
func (s *serverConn) recordParameter(body []byte) (isReport, ok bool) {
	name, value, ok := cutParameter(body)
	if !ok {
		return false, false
	}
	switch names := &s.front.names; name {
	case names.Role:
		s.report.role = value
	case names.Position:
		if position, ok := parsePosition(value); ok {
			s.report.position = position
		}
	case names.Gauges: // load is read from probes alone
	default:
		if _, had := s.parameters.values[name]; !had && len(s.parameters.values) >= maxReportedParameters {
			return false, false
		}
		s.parameters = s.parameters.with(s.front, name, value)
		return false, true
	}
	return true, true
}

// outcome is what the answer to a transaction's first request tells the decisions.
func (s *serverConn) outcome(code dispatch.Code) dispatch.Outcome {
	o := dispatch.Outcome{Code: code, Position: s.report.position}
	switch s.report.role {
	case s.front.names.Primary:
		o.Role = dispatch.Primary
	case s.front.names.Replica:
		o.Role = dispatch.Replica
	}
	return o
}
