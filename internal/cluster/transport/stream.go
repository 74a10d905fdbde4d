package transport

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// maxStreamBytes is how much may be read from one stream. The complete state of 1,000 members takes 300 KB.
	maxStreamBytes = 2 << 20
	// maxStreamLifetime is how long after its start a stream reaches its final deadline, whatever deadlines
	// its user sets.
	maxStreamLifetime = 30 * time.Second
)

// StreamTooLongError reports a stream that delivers more bytes than the limit, which no member exceeds.
type StreamTooLongError struct {
	Limit int // in bytes
}

// Error names the limit.
func (e *StreamTooLongError) Error() string {
	return fmt.Sprintf("cluster: a stream delivers more than %d bytes", e.Limit)
}

// stream is a connection that limits the bytes read from it and its lifetime.
type stream struct {
	net.Conn
	transport *Transport
	remaining int       // bytes that may still be read
	deadline  time.Time // the end of its lifetime
	closeOnce sync.Once
}

func (t *Transport) newStream(c net.Conn) *stream {
	t.openStreams.Add(1)
	s := &stream{Conn: c, transport: t, remaining: maxStreamBytes, deadline: time.Now().Add(maxStreamLifetime)}
	_ = c.SetDeadline(s.deadline) // fails only on a closed connection, which the next call reports
	return s
}

// Read reads up to the remaining limit of bytes. Once the limit is used up, it closes the stream and returns a
// *StreamTooLongError.
func (s *stream) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		s.transport.Counters.Oversized.Add(1)
		_ = s.Close()
		return 0, &StreamTooLongError{Limit: maxStreamBytes}
	}
	n, err := s.Conn.Read(b[:min(len(b), s.remaining)])
	s.remaining -= n
	s.transport.Counters.StreamBytes.Add(int64(n))
	return n, err
}

// SetDeadline sets the read and write deadlines, at most to the end of the stream's lifetime.
func (s *stream) SetDeadline(at time.Time) error { return s.Conn.SetDeadline(s.clamp(at)) }

// SetReadDeadline sets the read deadline, at most to the end of the stream's lifetime.
func (s *stream) SetReadDeadline(at time.Time) error { return s.Conn.SetReadDeadline(s.clamp(at)) }

// SetWriteDeadline sets the write deadline, at most to the end of the stream's lifetime.
func (s *stream) SetWriteDeadline(at time.Time) error { return s.Conn.SetWriteDeadline(s.clamp(at)) }

// clamp returns the given deadline, or the end of the stream's lifetime if that is earlier or no deadline is
// given.
func (s *stream) clamp(at time.Time) time.Time {
	if at.IsZero() || at.After(s.deadline) {
		return s.deadline
	}
	return at
}

// Close closes the connection. The stream no longer counts as open.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		s.transport.openStreams.Add(-1)
		s.transport.mu.Lock()
		delete(s.transport.dialed, s)
		s.transport.mu.Unlock()
	})
	return s.Conn.Close()
}
