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

// parameterSet holds the parameters that a server reported or that a client was told. A set must not be
// modified once it is shared.
type parameterSet struct {
	values      map[string]string
	fingerprint uint64 // differs between different sets, so that the values need not be compared
}

// with returns the set with one parameter changed, or p itself if the parameter has that value already.
func (p *parameterSet) with(f *SessionFront, name, value string) *parameterSet {
	old, had := p.values[name]
	if had && old == value {
		return p
	}
	n := &parameterSet{values: maps.Clone(p.values), fingerprint: p.fingerprint + f.hashParameter(name, value)}
	if had {
		n.fingerprint -= f.hashParameter(name, old)
	}
	n.values[name] = value
	return n
}

// serverConn is a connection of the session front to a database host. It is linked to one session, or idle in
// its pool. The event loop of the front owns it and its state, so there is no lock.
type serverConn struct {
	front      *SessionFront
	pool       *serverPool
	wire       loop.PausableConn
	session    *sessionClient    // the linked session; nil if there is none
	settings   *session.Settings // the settings in effect on the connection while no session is linked
	prepared   *session.ServerStatements
	parameters *parameterSet

	idleSince       float64 // when it was last returned to the pool, in clock milliseconds
	createdAt       float64 // clock milliseconds
	connecting      bool    // the host is not ready for a query yet
	handlingTraffic bool    // Traffic is running
	retired         bool    // must not be used again
	closed          bool
	requestSent     bool // a part of the linked transaction was written

	cancellation cancellationState
	stream       streamState
	report       hostReport
}

// cancellationState holds the key that a cancel request must carry, and counts the cancel requests under way.
// The event loop owns it.
type cancellationState struct {
	pid, secret uint32
	pending     int // cancel requests being delivered to the host
}

// hostReport is what a host reported about itself since the last ReadyForQuery. The event loop owns it.
type hostReport struct {
	role     string
	position float64 // Unix milliseconds; 0 if not reported
}

// defaultMaxPreparedStatements limits the prepared statements on a connection whose pool is no longer
// configured.
const defaultMaxPreparedStatements = 100

// openServerConn opens one more connection for a pool. A session that waits in the pool's queue gets it.
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
	address, dialStart := p.host.address, time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limits.ConnectTimeout)
		defer cancel()
		conn, err := f.engine.Dial(ctx, address, s)
		f.onLoop(func() { s.dialed(conn, err, address, limits.ConnectTimeout-time.Since(dialStart)) })
	}()
}

// dialed handles the outcome of a dial to an address. The host must be ready for a query within timeRemaining.
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
	s.wire = loop.NewHostConn(conn)
	if p.host.address != address || !f.dispatcher.IsActive(p.host.name) { // a handshake is new work for the host
		s.unregister()
		s.wire.Close()
		p.connectFailed(errHostUnavailable)
		return
	}
	f.dispatcher.CountHandshake(p.host.name)
	s.wire.Write(startupMessage(p.key.user, p.key.database))
	time.AfterFunc(timeRemaining, func() { // a host that is not ready by then counts as unreachable
		f.onLoop(func() {
			if s.connecting && !s.closed {
				s.wire.Close()
			}
		})
	})
}

// unregister marks the connection as closed and removes it from its pool and from the counts.
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

// Closed is called on the event loop when the connection has ended.
func (s *serverConn) Closed(g gnet.Conn, err error) {
	s.wire.SetClosed()
	if g != nil {
		discardUnconfirmed(g) // the session has ended, or is told below that the connection was lost
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

// isExpired reports whether the connection must not be used any more: it was retired, idle for too long, or
// is too old.
func (s *serverConn) isExpired(p *PoolSettings, now float64) bool {
	return s.retired || p.ServerIdleMillis > 0 && now-s.idleSince > p.ServerIdleMillis || p.ServerLifetimeMillis > 0 && now-s.createdAt > p.ServerLifetimeMillis
}

// returnToPool puts the connection into its pool, or closes it.
func (s *serverConn) returnToPool() {
	f, p := s.front, s.pool
	s.idleSince = f.clock.Now()
	ps := f.limits.Load().poolFor(p.key.database, p.key.user)
	// A pending cancel request could cancel the next session's query. The connection returns once it is
	// delivered.
	if s.cancellation.pending > 0 {
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

// Traffic is called on the event loop when data has arrived.
func (s *serverConn) Traffic(g gnet.Conn) gnet.Action {
	if s.wire.Conn == nil { // the host sent data before the startup message
		return gnet.Close
	}
	defer s.wire.Retain()
	if s.wire.KeepPaused() {
		return gnet.None
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
	if s.retired && s.session == nil && !s.connecting { // the linked session has left in the meantime
		return gnet.Close
	}
	return gnet.None
}

// readStartup reads the response to the startup message.
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

// handleStartup handles one message of the response to the startup message.
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
		return fmt.Errorf("%w: %q during startup", errUnexpectedMessage, kind)
	}
	return nil
}

// handshakeRejected handles the error with which a host ends the connection during startup. SQLSTATE 53300 is a
// rejection for lack of capacity. connectFailed treats every other error as a failure to connect. It is logged
// here, so Traffic does not log the errHostClosing that is returned.
func (s *serverConn) handshakeRejected(body []byte) error {
	sqlState, text, _, _ := errorFields(body)
	s.retired = true
	s.front.hostLog.Printf("sessions: %s rejected a connection: %s %s", s.pool.host.name, sqlState, text)
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

// recordParameter records a ParameterStatus message. isReport tells whether the parameter is a report about
// the host rather than a setting of the session.
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
	case names.Gauges: // the load report is only read from probes
	default:
		if _, had := s.parameters.values[name]; !had && len(s.parameters.values) >= maxReportedParameters {
			return false, false
		}
		s.parameters = s.parameters.with(s.front, name, value)
		return false, true
	}
	return true, true
}

// outcome returns what the router learns from the response to a transaction's first request.
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
