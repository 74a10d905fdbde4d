// Package transport holds the sockets between poolers: datagrams and streams at one address, to members by name. It is
// the only cluster package that listens or dials. Each pooler reaches a member where its own file says, as it does with
// db hosts, so the addresses that gossip spreads count only for members that the file does not name.
package transport

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPacket is the most of a datagram, in bytes. What members send stays under 1,400, the usual path's limit.
	maxPacket = 2048
	// maxStream is the most that one stream may bring, in bytes: the state of 1,000 members takes 300 KB.
	maxStream = 2 << 20
	// maxStreams is how many streams may be open at once, accepted ones. Each brings one message or one exchange.
	maxStreams = 64
	// streamLife ends a stream whatever happens on it.
	streamLife = 30 * time.Second
	// seenKept is how many datagrams are remembered to tell those that come twice. Each is encrypted with a nonce of its
	// own, so equal bytes are a copy. At 1,000 datagrams a second that is four seconds; later copies are stale by what
	// they hold.
	seenKept = 4096
)

// Counters are what came and what was dropped.
type Counters struct {
	Packets, PacketBytes                              atomic.Int64 // received
	Sent, SentBytes                                   atomic.Int64
	Streams, StreamBytes, Dialed                      atomic.Int64
	Oversized, Duplicates, QueueFull, StreamsRejected atomic.Int64 // dropped: too long, a copy, not read in time, too many streams
	Unreachable                                       atomic.Int64 // sends and dials that failed at once
}

// Snapshot is a reading of the counters by name.
func (c *Counters) Snapshot() map[string]int64 {
	return map[string]int64{
		"packets": c.Packets.Load(), "packet_bytes": c.PacketBytes.Load(), "sent": c.Sent.Load(),
		"sent_bytes": c.SentBytes.Load(), "streams": c.Streams.Load(), "stream_bytes": c.StreamBytes.Load(), "dialed": c.Dialed.Load(),
		"huge": c.Oversized.Load(), "twice": c.Duplicates.Load(), "overrun": c.QueueFull.Load(), "busy": c.StreamsRejected.Load(), "unreached": c.Unreachable.Load(),
	}
}

// Receiver takes what comes. Packet says whether there was room for it, and may keep neither b nor the caller. Stream owns
// its connection from then on, or says that it takes none.
type Receiver interface {
	HandlePacket(b []byte, from net.Addr, at time.Time) bool
	HandleStream(c net.Conn) bool
}

// Transport is one pooler's sockets.
type Transport struct {
	Counters Counters

	tcp     *net.TCPListener
	udp     *net.UDPConn
	peers   atomic.Pointer[map[string]string]
	to      Receiver
	open    atomic.Int64 // streams, both ways
	ended   chan struct{}
	once    sync.Once
	readers sync.WaitGroup

	mu   sync.Mutex
	seen map[uint64]struct{}
	ring []uint64
	next int
}

// Listen opens the sockets at one address; peers are the members' addresses in this pooler's view, by name.
func Listen(address string, peers map[string]string, to Receiver) (*Transport, error) {
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("cluster: listen on %s: %w", address, err)
	}
	t := &Transport{to: to, ended: make(chan struct{}), seen: make(map[uint64]struct{}, seenKept), ring: make([]uint64, seenKept)}
	t.SetPeers(peers)
	if t.tcp, err = net.ListenTCP("tcp", at); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	bound := t.tcp.Addr().(*net.TCPAddr)
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: bound.IP, Port: bound.Port, Zone: bound.Zone}); err != nil {
		t.tcp.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	t.readers.Go(t.readPackets)
	t.readers.Go(t.accept)
	return t, nil
}

// SetPeers changes where members are reached.
func (t *Transport) SetPeers(peers map[string]string) { t.peers.Store(&peers) }

// Address is where it listens.
func (t *Transport) Address() *net.TCPAddr { return t.tcp.Addr().(*net.TCPAddr) }

// resolve is where a member is reached: as the file says, or else as it says itself.
func (t *Transport) resolve(name, told string) string {
	if own, ok := (*t.peers.Load())[name]; ok {
		return own
	}
	return told
}

// Send sends a datagram to a member; told is where the member says that it listens.
func (t *Transport) Send(name, told string, b []byte) error {
	to, err := net.ResolveUDPAddr("udp", t.resolve(name, told))
	if err == nil {
		_, err = t.udp.WriteTo(b, to)
	}
	if err != nil {
		t.Counters.Unreachable.Add(1)
		return err
	}
	t.Counters.Sent.Add(1)
	t.Counters.SentBytes.Add(int64(len(b)))
	return nil
}

// Dial opens a stream to a member.
func (t *Transport) Dial(name, told string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", t.resolve(name, told), timeout)
	if err != nil {
		t.Counters.Unreachable.Add(1)
		return nil, err
	}
	t.Counters.Dialed.Add(1)
	return t.bounded(c), nil
}

// Close closes the sockets and waits for what reads them.
func (t *Transport) Close() {
	t.once.Do(func() {
		close(t.ended)
		t.tcp.Close()
		t.udp.Close()
	})
	t.readers.Wait()
}

func (t *Transport) readPackets() {
	b := make([]byte, maxPacket+1)
	for {
		n, from, err := t.udp.ReadFrom(b)
		if err != nil {
			if t.over(err) {
				return
			}
			continue
		}
		t.Counters.Packets.Add(1)
		t.Counters.PacketBytes.Add(int64(n))
		switch {
		case n > maxPacket:
			t.Counters.Oversized.Add(1)
			continue
		case n == 0:
			continue
		case t.copied(b[:n]):
			t.Counters.Duplicates.Add(1)
			continue
		}
		if !t.to.HandlePacket(b[:n], from, time.Now()) {
			t.Counters.QueueFull.Add(1)
		}
	}
}

// copied says whether the same bytes came before, of those that are remembered.
func (t *Transport) copied(b []byte) bool {
	h := xxhash.Sum64(b)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.seen[h]; ok {
		return true
	}
	delete(t.seen, t.ring[t.next])
	t.ring[t.next] = h
	t.seen[h] = struct{}{}
	t.next = (t.next + 1) % len(t.ring)
	return false
}

// over says whether a reader has to end; anything else passes, after a moment, so that it can't spin.
func (t *Transport) over(err error) bool {
	select {
	case <-t.ended:
		return true
	case <-time.After(5 * time.Millisecond):
		return errors.Is(err, net.ErrClosed)
	}
}

func (t *Transport) accept() {
	for {
		c, err := t.tcp.AcceptTCP()
		if err != nil {
			if t.over(err) {
				return
			}
			continue
		}
		if t.open.Load() >= maxStreams {
			t.Counters.StreamsRejected.Add(1)
			c.Close()
			continue
		}
		t.Counters.Streams.Add(1)
		if s := t.bounded(c); !t.to.HandleStream(s) {
			t.Counters.StreamsRejected.Add(1)
			s.Close()
		}
	}
}

// stream is bounded in bytes and time.
type stream struct {
	net.Conn
	of   *Transport
	left int
	end  time.Time
	once sync.Once
}

func (t *Transport) bounded(c net.Conn) *stream {
	t.open.Add(1)
	s := &stream{Conn: c, of: t, left: maxStream, end: time.Now().Add(streamLife)}
	_ = c.SetDeadline(s.end)
	return s
}

// errHuge is a stream that brings more than any member has to say.
var errHuge = errors.New("cluster: a stream brings more than " + strconv.Itoa(maxStream) + " bytes")

func (s *stream) Read(b []byte) (int, error) {
	if s.left <= 0 {
		s.of.Counters.Oversized.Add(1)
		s.Close()
		return 0, errHuge
	}
	n, err := s.Conn.Read(b[:min(len(b), s.left)])
	s.left -= n
	s.of.Counters.StreamBytes.Add(int64(n))
	return n, err
}

// SetDeadline is what the library asks for, within the stream's life.
func (s *stream) SetDeadline(at time.Time) error { return s.Conn.SetDeadline(s.within(at)) }

// SetReadDeadline is the same for one direction.
func (s *stream) SetReadDeadline(at time.Time) error { return s.Conn.SetReadDeadline(s.within(at)) }

// SetWriteDeadline is the same for the other.
func (s *stream) SetWriteDeadline(at time.Time) error { return s.Conn.SetWriteDeadline(s.within(at)) }

func (s *stream) within(at time.Time) time.Time {
	if at.IsZero() || at.After(s.end) {
		return s.end
	}
	return at
}

func (s *stream) Close() error {
	s.once.Do(func() { s.of.open.Add(-1) })
	return s.Conn.Close()
}
