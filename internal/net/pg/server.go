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

// params are the parameters that a server reported or a client was told. A set is never changed once it is shared.
type params struct {
	of  map[string]string
	sum uint64 // tells two sets apart without comparing them
}

func (p *params) with(f *Sessions, name, value string) *params {
	old, had := p.of[name]
	if had && old == value {
		return p
	}
	n := &params{of: maps.Clone(p.of), sum: p.sum + f.hash(name, value)}
	if had {
		n.sum -= f.hash(name, old)
	}
	n.of[name] = value
	return n
}

// server is one connection to a db host. One session is linked to it, or it lies in its pool.
type server struct {
	front    *Sessions
	pool     *spool
	wire     loop.PausableConn
	client   *sclient
	have     *session.Values // what holds on it while nobody is linked
	prepared *session.Server
	reported *params
	pid, key uint32
	since    float64 // unused since
	born     float64
	starting bool
	reading  bool // Traffic is under way
	worn     bool // not to be used again
	dead     bool
	cancels  int // cancel requests on their way to it
	sent     bool
	left     int  // bytes of a message whose begin was passed on
	dropping bool // or dropped

	role     string // said since the last ReadyForQuery
	position float64
	gauges   string
}

// dial opens one more connection for a pool; whoever waits there gets it.
func (f *Sessions) dial(p *spool) {
	p.open++
	p.dialing++
	f.servers++
	s := &server{front: f, pool: p, have: session.None, starting: true, born: f.clock.Now(), reported: &params{of: map[string]string{}}}
	l := f.limits.Load()
	most := 100
	if ps := l.poolFor(p.key.database, p.key.user); ps != nil {
		most = ps.Statements
	}
	s.prepared = session.NewServer(most)
	address, begun := p.host.address, time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.Connect)
		defer cancel()
		g, err := f.engine.Dial(ctx, address, s)
		f.onLoop(func() {
			switch {
			case err != nil:
				s.ended()
				p.failed(err)
			case s.dead:
			default:
				s.wire = loop.NewPausableConn(f.engine, g, s)
				if p.host.address != address || !f.facade.IsActive(p.host.name) { // a handshake is work too
					s.ended()
					s.wire.Close()
					p.failed(errUnlisted)
					return
				}
				s.wire.Write(startup(nil, p.key.user, p.key.database))
				time.AfterFunc(l.Connect-time.Since(begun), func() { // a connection not up by then counts as none
					f.onLoop(func() {
						if s.starting && !s.dead {
							s.wire.Close()
						}
					})
				})
			}
		})
	}()
}

// deliver sends a cancel request and waits until the host has taken it, which it says by closing.
func deliver(address string, b []byte, limit time.Duration) error {
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

// failed says that a connection for the pool did not come up: who has waited longest chooses anew.
func (p *spool) failed(err error) {
	code := dispatch.NoConnection
	switch {
	case errors.Is(err, errTurnedAway), loop.OutOfDescriptors(err):
		code = dispatch.Rejected
	case errors.Is(err, errUnlisted):
		code = dispatch.NotSent
	}
	if w := p.queue.Next(0, nil); w != nil {
		w.Of.(*sclient).again(dispatch.Outcome{Code: code})
	}
}

var (
	errTurnedAway = errors.New("the db host turns connections away")
	errUnlisted   = errors.New("the db host takes nothing new, or is elsewhere now")
)

// ended takes a connection off the books.
func (s *server) ended() {
	if s.dead {
		return
	}
	s.dead = true
	s.front.servers--
	s.pool.open--
	if s.starting {
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
func (s *server) Closed(_ gnet.Conn, err error) {
	if !s.wire.ConfirmClosed() {
		return
	}
	started := !s.starting || s.dead
	s.ended()
	delete(s.front.paused, &s.wire)
	if c := s.client; c != nil {
		s.client = nil
		c.lost(s)
	}
	if !started {
		if err == nil {
			err = errClosed
		}
		s.pool.failed(err)
	} else {
		s.pool.serve(s.front)
	}
}

// old says whether the connection is to be used no more.
func (s *server) old(p *PoolSettings, now float64) bool {
	return s.worn || p.ServerIdle > 0 && now-s.since > p.ServerIdle || p.ServerLife > 0 && now-s.born > p.ServerLife
}

// rest puts the connection into its pool, or ends it.
func (s *server) rest() {
	f, p := s.front, s.pool
	s.since = f.clock.Now()
	ps := f.limits.Load().poolFor(p.key.database, p.key.user)
	if s.cancels > 0 { // a cancel under way may hit whatever runs next: it comes back once that is delivered
		return
	}
	if ps == nil || s.worn || p.host.address == "" || f.drain && p.queue.Len() == 0 || ps.ServerLife > 0 && s.since-s.born > ps.ServerLife ||
		!f.facade.IsActive(p.host.name) {
		f.stats.Discarded++
		s.wire.Close()
		return
	}
	p.idle = append(p.idle, s)
	p.serve(f)
}

// serve gives what lies in the pool to those who wait, first come first served, and dials for the others.
func (p *spool) serve(f *Sessions) {
	now := f.clock.Now()
	for p.queue.Len() > 0 {
		if len(p.idle) == 0 {
			p.grow(f)
			return
		}
		w := p.queue.Next(now, func(w *session.Waiter) { w.Of.(*sclient).late() })
		if w == nil {
			return
		}
		c := w.Of.(*sclient)
		if s := p.take(c, now); s != nil {
			c.attach(s)
		} else if !p.queue.Add(w, p.queue.Len()+1) {
			return
		}
	}
}

// take is the unused connection that has least to be changed for a session, of those used last; nil: there is none.
func (p *spool) take(c *sclient, now float64) *server {
	for len(p.idle) > 0 {
		at := len(p.idle) - 1
		for i := at; i >= 0 && i > at-8; i-- {
			if p.idle[i].have.Same(c.pipe.Now()) {
				at = i
				break
			}
		}
		s := p.idle[at]
		p.idle = append(p.idle[:at], p.idle[at+1:]...)
		// What came since it was used is its end, or nothing that is asked for: it says nothing of this request.
		if s.old(c.pool, now) || s.wire.Conn == nil || s.wire.BufferedBytes() > 0 || pending(s.wire.Conn) {
			s.worn = true
			s.wire.Close()
			continue
		}
		return s
	}
	return nil
}

// grow opens a connection for each that waits and has none coming, as far as the sizes allow.
func (p *spool) grow(f *Sessions) {
	l := f.limits.Load()
	ps := l.poolFor(p.key.database, p.key.user)
	if ps == nil || p.host.address == "" || !f.facade.IsActive(p.host.name) { // the sweep sends those that wait elsewhere
		return
	}
	for n := p.queue.Len() - p.dialing; n > 0 && p.open < p.room(ps); n-- {
		if f.servers >= l.Servers && !f.spare() {
			return
		}
		f.dial(p)
	}
}

// room is how many connections the pool may have; the reserve is for sessions that keep theirs.
func (p *spool) room(ps *PoolSettings) int {
	return max(1, ps.Sizes.Most-max(0, ps.Reserve-p.kept))
}

// Traffic is called on the loop.
func (s *server) Traffic(g gnet.Conn) gnet.Action {
	if s.wire.Conn == nil { // it spoke before it was spoken to
		return gnet.Close
	}
	s.reading = true
	defer func() { s.reading = false }()
	var err error
	switch {
	case s.starting:
		err = s.start()
	default:
		err = s.read()
	}
	if err != nil {
		if !errors.Is(err, errFarewell) {
			s.front.odd.Printf("sessions: %s: %v", s.pool.host.name, err)
		}
		return gnet.Close
	}
	if s.worn && s.client == nil && !s.starting { // whoever had it went meanwhile
		return gnet.Close
	}
	return gnet.None
}

var errFarewell = errors.New("the db host ends the connection")

// start reads the answer to the startup message.
func (s *server) start() error {
	for {
		b := s.wire.Peek()
		kind, body, rest, ok, err := next(b, mostWhole)
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
			if _, ok := s.status(body); !ok {
				return errShape
			}
		case 'K':
			if len(body) >= 8 {
				s.pid, s.key = binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])
			}
		case 'E':
			state, text, _, _ := fields(body)
			s.worn = true
			s.front.odd.Printf("sessions: %s turned a connection away: %s %s", s.pool.host.name, state, text)
			p := s.pool
			s.ended()
			s.starting = false
			if state == stateRefused {
				p.failed(errTurnedAway)
			} else {
				p.failed(errFarewell)
			}
			return errFarewell
		case 'Z':
			s.wire.Discard(used)
			s.starting = false
			s.pool.dialing--
			s.rest()
			return nil
		case 'N', 'v':
		default:
			return fmt.Errorf("%w: %q while starting", errShape, kind)
		}
		s.wire.Discard(used)
	}
}

// status takes a ParameterStatus. own: it is of the host, not of the session.
func (s *server) status(body []byte) (own, ok bool) {
	name, value, ok := strings.Cut(string(body), "\x00")
	value, rest, end := strings.Cut(value, "\x00")
	if !ok || !end || rest != "" {
		return false, false
	}
	switch n := &s.front.names; name {
	case n.Role:
		s.role = value
	case n.Position:
		if x, err := strconv.ParseFloat(value, 64); err == nil && x > 0 && x < 1<<52 {
			s.position = x
		}
	case n.Gauges:
		s.gauges = value
	default:
		if _, had := s.reported.of[name]; !had && len(s.reported.of) >= mostReported {
			return false, false
		}
		s.reported = s.reported.with(s.front, name, value)
		return false, true
	}
	return true, true
}

// read passes what the host says to the client that is linked. Messages up to mostWhole are passed whole, so that a
// connection that breaks leaves its client between two messages; longer ones are streamed.
func (s *server) read() error {
	b := s.wire.Peek()
	c := s.client
	if c == nil {
		return s.unasked(b)
	}
	f := s.front
	out := f.scratch[:0]
	at, from := 0, 0 // consumed, and since where it is to be passed as it is
	var err error
	ready := false
	pass := func(to int) { // passes b[from:to]
		if to > from {
			out = append(out, b[from:to]...)
		}
		from = to
	}
	for k := c.pipe.Local(); k != 0; k = c.pipe.Local() {
		out = append(out, k, 0, 0, 0, 4)
	}
	for at < len(b) && !ready {
		if s.left > 0 {
			n := min(s.left, len(b)-at)
			if s.dropping {
				pass(at)
				from = at + n
			}
			s.left -= n
			at += n
			continue
		}
		if len(b)-at < 5 {
			break
		}
		kind := b[at]
		total := int(binary.BigEndian.Uint32(b[at+1:])) + 1
		if total < 5 || total > 1<<30 {
			err = errLength
			break
		}
		word, whole := "", len(b)-at >= total
		if !whole && (total <= mostWhole || strings.IndexByte("ECZSKRN", kind) >= 0) {
			if total > mostWhole {
				err = errLength
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
			if state, text, _, _ = fields(body); state == "" {
				state = stateInternal
			}
			word = state
		case 'C':
			word = strings.TrimSuffix(string(body), "\x00")
		case 'Z':
			if len(body) == 1 {
				word = string(body)
			}
		case 'S':
			if _, ok := s.status(body); !ok {
				err = errShape
			}
		}
		if err != nil {
			break
		}
		guarded := kind == 'E' && c.recording && c.guarded(state, text)
		p := c.pipe.Answer(kind, word)
		switch {
		case guarded && c.pipe.Due() == 1 && !p.Drop && p.Refusal == nil: // nothing ran, and nobody was told anything
			at += total
			out, from = out[:0], at
			c.phase = phaseTurned
			continue
		case p.Ready && c.phase == phaseTurned:
			s.wire.Discard(at + total)
			c.rerun(s)
			if s.client == nil && !s.dead && s.wire.BufferedBytes() > 0 {
				return s.unasked(s.wire.Peek())
			}
			return nil
		case p.Bad:
			err = fmt.Errorf("%w: %q", errShape, kind)
		case p.Injected:
			pass(at)
			at += total
			from = at
			c.answer(out)
			s.wire.Discard(at)
			if s.client != c {
				return errFarewell
			}
			return c.restored(s, p.Failed)
		case kind == 'S' && c.phase == phaseSyncing:
			p.Drop = true // what differs in the end is told once all is set
		}
		if err != nil {
			break
		}
		if kind == 'E' && p.Failed {
			c.trouble = state + " " + text
		}
		if kind == 'E' && state == stateReplica {
			c.misplaced = true
		}
		if p.Drop || p.Refusal != nil {
			pass(at)
			from = at + min(total, len(b)-at)
			if r := p.Refusal; r != nil {
				out = failure(out, "ERROR", r.State, r.Text, "")
			}
		}
		if !whole {
			s.left, s.dropping = total-(len(b)-at), p.Drop
			at = len(b)
			continue
		}
		at += total
		if k := c.pipe.Local(); k != 0 {
			pass(at)
			for ; k != 0; k = c.pipe.Local() {
				out = append(out, k, 0, 0, 0, 4)
			}
		}
		if p.Ready {
			c.turn(s, word[0])
			// The session may be done with this connection: what it sent belongs to it up to here.
			ready = c.pipe.Idle()
		}
	}
	switch {
	case len(out) == 0 && at > from:
		c.answer(b[from:at])
	default:
		pass(at)
		c.answer(out)
	}
	if cap(out) <= 1<<20 {
		f.scratch = out
	}
	s.wire.Discard(at)
	if err != nil {
		return err
	}
	if s.client != c { // it went while its answer was written: what is due here is nobody's
		return errFarewell
	}
	if c.wire.UnsentBytes() > highWater {
		f.watch(&s.wire, func() bool { return c.gone || c.wire.UnsentBytes() < lowWater })
	}
	if ready {
		c.release(s)
	} else if c.blocked {
		c.proceed()
	}
	if s.client == nil && !s.dead && s.wire.BufferedBytes() > 0 {
		return s.unasked(s.wire.Peek())
	}
	return nil
}

// unasked takes what a host says while nobody is linked.
func (s *server) unasked(b []byte) error {
	for len(b) > 0 {
		kind, body, rest, ok, err := next(b, mostWhole)
		if err != nil || !ok {
			return err
		}
		switch kind {
		case 'S':
			if _, ok := s.status(body); !ok {
				return errShape
			}
		case 'N':
		case 'A': // nobody listens any more
		case 'E':
			return errFarewell
		default:
			return fmt.Errorf("%w: %q unasked", errShape, kind)
		}
		s.wire.Discard(len(b) - len(rest))
		b = rest
	}
	return nil
}

// outcome is what the answer to a transaction's first request tells the decisions.
func (s *server) outcome(code dispatch.Code) dispatch.Outcome {
	o := dispatch.Outcome{Code: code, Position: s.position}
	switch s.role {
	case s.front.names.Primary:
		o.Role = dispatch.Primary
	case s.front.names.Replica:
		o.Role = dispatch.Replica
	}
	return o
}
