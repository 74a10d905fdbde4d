package transport

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// maxStreamBytes is the most that one stream may deliver. The complete state of 1,000 members takes 300 KB.
	maxStreamBytes = 2 << 20
	// streamLifetime ends a stream whatever happens on it.
	streamLifetime = 30 * time.Second
)

// StreamTooLongError reports a stream that delivers more bytes than any member sends.
type StreamTooLongError struct {
	Limit int // in bytes
}

// Error names the limit.
func (e *StreamTooLongError) Error() string {
	return fmt.Sprintf("cluster: a stream delivers more than %d bytes", e.Limit)
}

// stream is a connection that is bounded in bytes and time.
type stream struct {
	net.Conn
	owner     *Transport
	remaining int       // bytes that may still be read
	deadline  time.Time // the end of its lifetime
	closeOnce sync.Once
}

func (t *Transport) newStream(c net.Conn) *stream {
	t.openStreams.Add(1)
	s := &stream{Conn: c, owner: t, remaining: maxStreamBytes, deadline: time.Now().Add(streamLifetime)}
	_ = c.SetDeadline(s.deadline) // fails on a closed connection only, which the next call reports
	return s
}

// Read reads within the limit of bytes; beyond it the stream is closed.
func (s *stream) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		s.owner.Counters.Oversized.Add(1)
		_ = s.Close()
		return 0, &StreamTooLongError{Limit: maxStreamBytes}
	}
	n, err := s.Conn.Read(b[:min(len(b), s.remaining)])
	s.remaining -= n
	s.owner.Counters.StreamBytes.Add(int64(n))
	return n, err
}

// SetDeadline sets a deadline within the stream's lifetime.
func (s *stream) SetDeadline(at time.Time) error { return s.Conn.SetDeadline(s.clamp(at)) }

// SetReadDeadline sets a deadline within the stream's lifetime.
func (s *stream) SetReadDeadline(at time.Time) error { return s.Conn.SetReadDeadline(s.clamp(at)) }

// SetWriteDeadline sets a deadline within the stream's lifetime.
func (s *stream) SetWriteDeadline(at time.Time) error { return s.Conn.SetWriteDeadline(s.clamp(at)) }

func (s *stream) clamp(at time.Time) time.Time {
	if at.IsZero() || at.After(s.deadline) {
		return s.deadline
	}
	return at
}

// Close closes the connection and gives its place back.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		s.owner.openStreams.Add(-1)
		s.owner.mu.Lock()
		delete(s.owner.dialed, s)
		s.owner.mu.Unlock()
	})
	return s.Conn.Close()
}
