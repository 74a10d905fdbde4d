// Package transport owns the sockets between poolers. It sends and receives datagrams and streams at one
// address, and addresses members by name. It is the only cluster package that listens or dials.
//
// A pooler reaches a member at the address in its own configuration file, as it does with database hosts. It
// uses an address that gossip spreads only for members that the file does not name. Datagrams and streams
// carry the bytes that they are given and nothing else: memberlist does the encryption and framing.
package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Receiver handles the datagrams and streams that arrive. The goroutines of a Transport call its methods,
// which must not block.
type Receiver interface {
	// HandlePacket handles a datagram, or reports false if the receiver's queue is full. It must not retain b.
	HandlePacket(b []byte, from net.Addr, at time.Time) bool
	// HandleStream takes ownership of an accepted stream, or reports false and leaves it to the caller.
	HandleStream(c net.Conn) bool
}

// Transport holds the sockets of one pooler. Its methods are safe for concurrent use.
type Transport struct {
	Counters Counters

	tcp        *net.TCPListener
	udp        *net.UDPConn
	receiver   Receiver
	peers      atomic.Pointer[map[string]string] // addresses by name
	ctx        context.Context                   // canceled by Close, which also aborts dials
	cancel     context.CancelFunc
	closeOnce  sync.Once
	readers    sync.WaitGroup // the goroutines of readPackets and acceptStreams
	duplicates *duplicateFilter

	openStreams atomic.Int64 // accepted and dialed streams that are open
	mu          sync.Mutex   // guards dialed
	dialed      map[*stream]struct{}
}

// Listen opens the TCP and UDP sockets at one address. peers are the addresses of members by name, as this
// pooler reaches them. The caller must call Close. The error is a *ListenError.
func Listen(address string, peers map[string]string, receiver Receiver) (*Transport, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	tcp, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	bound := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: bound.IP, Port: bound.Port, Zone: bound.Zone})
	if err != nil {
		_ = tcp.Close()
		return nil, &ListenError{Address: address, Err: err}
	}
	t := &Transport{
		tcp:        tcp,
		udp:        udp,
		receiver:   receiver,
		duplicates: newDuplicateFilter(duplicateWindow),
		dialed:     map[*stream]struct{}{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.SetPeers(peers)
	t.readers.Go(t.readPackets)
	t.readers.Go(t.acceptStreams)
	return t, nil
}

// SetPeers replaces the configured addresses of members, by name.
func (t *Transport) SetPeers(peers map[string]string) { t.peers.Store(&peers) }

// Address returns the address of both sockets.
func (t *Transport) Address() *net.TCPAddr { return t.tcp.Addr().(*net.TCPAddr) }

// resolve returns the configured address of a member or, if there is none, the address that the member
// advertises.
func (t *Transport) resolve(name, advertised string) string {
	if configured, ok := (*t.peers.Load())[name]; ok {
		return configured
	}
	return advertised
}

// Send sends a datagram to a member. advertised is the address that the member reports about itself.
func (t *Transport) Send(name, advertised string, b []byte) error {
	to, err := net.ResolveUDPAddr("udp", t.resolve(name, advertised))
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

// Dial opens a stream to a member. advertised is the address that the member reports about itself. The caller
// closes the stream; Transport.Close closes the streams that are still open.
func (t *Transport) Dial(name, advertised string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	c, err := dialer.DialContext(t.ctx, "tcp", t.resolve(name, advertised))
	if err != nil {
		t.Counters.Unreachable.Add(1)
		return nil, err
	}
	t.Counters.Dialed.Add(1)
	s := t.newStream(c)
	t.mu.Lock()
	t.dialed[s] = struct{}{}
	t.mu.Unlock()
	if t.ctx.Err() != nil { // Close may have read the set before the stream was in it
		_ = s.Close()
		return nil, net.ErrClosed
	}
	return s, nil
}

// Close closes the sockets and the streams that were dialed, and waits for the goroutines that read the
// sockets. It does not close accepted streams, which belong to the receiver.
func (t *Transport) Close() {
	t.closeOnce.Do(func() {
		t.cancel()
		_ = t.tcp.Close()
		_ = t.udp.Close()
		for _, s := range t.openDialedStreams() {
			_ = s.Close()
		}
	})
	t.readers.Wait()
}

// openDialedStreams returns the dialed streams that are open. Closing a stream acquires the lock, so the
// caller closes them without holding it.
func (t *Transport) openDialedStreams() []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := make([]*stream, 0, len(t.dialed))
	for s := range t.dialed {
		open = append(open, s)
	}
	return open
}
