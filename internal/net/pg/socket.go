package pg

import (
	"errors"
	"syscall"

	"github.com/panjf2000/gnet/v2"
)

// hasUnreadBytes reports whether the kernel holds bytes that were not read yet.
func hasUnreadBytes(c gnet.Conn) bool {
	n, err := peekSocket(c)
	return err == nil && n > 0
}

// hasUnreadEvent reports whether the kernel holds bytes, or an end, that were not read yet.
func hasUnreadEvent(c gnet.Conn) bool {
	_, err := peekSocket(c)
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// hasEnded reports whether the client's end is the next that the kernel holds.
func hasEnded(c gnet.Conn) bool {
	n, err := peekSocket(c)
	return err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// peekSocket looks how many bytes the kernel holds, up to one, without taking them.
func peekSocket(c gnet.Conn) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(c.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// shutdownWrite ends our side of a connection.
func shutdownWrite(g gnet.Conn) error { return syscall.Shutdown(g.Fd(), syscall.SHUT_WR) }
