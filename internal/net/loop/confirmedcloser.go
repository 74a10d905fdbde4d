package loop

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// confirmPollInterval is how often a ConfirmedCloser looks whether peers have confirmed what was sent to them. Nothing announces
// that.
const confirmPollInterval = 2 * time.Millisecond

// endOfStreamBytes is what the end of the stream counts for in the send queue until the peer has confirmed it.
const endOfStreamBytes = 1

// ConfirmedCloser closes connections without cutting what was written to them. A closed socket is reset by the next bytes of its
// peer, and the reset throws away what the peer's kernel has not confirmed yet. So the sending direction is shut down at once,
// nothing more is read, and the descriptor is closed when the peer has confirmed everything. What the peer sends meanwhile stays
// unread, and the close then resets the connection, which tells the peer so. It is safe for concurrent use.
type ConfirmedCloser struct {
	mu      sync.Mutex
	pending []unconfirmedConn
	running bool
}

// unconfirmedConn is a connection whose sending direction is shut down.
type unconfirmedConn struct {
	descriptor int
	until      time.Time
}

// Close ends a connection whose handler's Closed method is running, which is before its descriptor is closed. It reports whether
// the connection is closed without loss: either all of it is confirmed, or the closer waits for that, at most for maxWait.
func (cc *ConfirmedCloser) Close(c gnet.Conn, maxWait time.Duration) bool {
	if c.OutboundBuffered() > 0 {
		return false // gnet holds bytes that the kernel has not taken
	}
	if UnconfirmedBytes(c.Fd()) == 0 {
		return true
	}
	if unix.Shutdown(c.Fd(), unix.SHUT_WR) != nil {
		return true // the connection is reset already
	}
	descriptor, err := unix.FcntlInt(uintptr(c.Fd()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return false
	}
	cc.add(unconfirmedConn{descriptor: descriptor, until: time.Now().Add(maxWait)})
	return true
}

// Pending returns how many connections still wait for their peers.
func (cc *ConfirmedCloser) Pending() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.closeConfirmed()
	return len(cc.pending)
}

func (cc *ConfirmedCloser) add(c unconfirmedConn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.pending = append(cc.pending, c)
	if !cc.running {
		cc.running = true
		go cc.run()
	}
}

// run closes connections until none is pending.
func (cc *ConfirmedCloser) run() {
	for {
		time.Sleep(confirmPollInterval)
		cc.mu.Lock()
		cc.closeConfirmed()
		cc.running = len(cc.pending) > 0
		isRunning := cc.running
		cc.mu.Unlock()
		if !isRunning {
			return
		}
	}
}

// closeConfirmed closes the connections that are confirmed, broken or too late. cc.mu is held.
func (cc *ConfirmedCloser) closeConfirmed() {
	now := time.Now()
	remaining := cc.pending[:0]
	for _, c := range cc.pending {
		if UnconfirmedBytesBeforeEnd(c.descriptor) > 0 && now.Before(c.until) && !hasError(c.descriptor) {
			remaining = append(remaining, c)
			continue
		}
		_ = unix.Close(c.descriptor)
	}
	cc.pending = remaining
}

// UnconfirmedBytes returns how many bytes in the kernel's send queue the peer has not confirmed. It returns 0 if the kernel
// reports an error.
func UnconfirmedBytes(descriptor int) int {
	n, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// UnconfirmedBytesBeforeEnd is UnconfirmedBytes after the sending direction was shut down, without the end of the stream.
func UnconfirmedBytesBeforeEnd(descriptor int) int {
	return max(0, UnconfirmedBytes(descriptor)-endOfStreamBytes)
}

// hasError reports whether a connection was reset.
func hasError(descriptor int) bool {
	fds := []unix.PollFd{{Fd: int32(descriptor)}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLERR|unix.POLLNVAL) != 0
}
