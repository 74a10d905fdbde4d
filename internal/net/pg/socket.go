package pg

import (
	"errors"
	"syscall"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
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

// unsentBytes returns how much of what was written to a connection has not left this machine, such as before a full window: what
// lies in the event loop's buffer, and what the kernel has not sent.
func unsentBytes(g gnet.Conn) int { return g.OutboundBuffered() + socketQueue(g, unix.SIOCOUTQNSD) }

// unconfirmedBytes returns how much of it its peer has not confirmed: the kernel sends that again until it is.
func unconfirmedBytes(g gnet.Conn) int { return g.OutboundBuffered() + socketQueue(g, unix.SIOCOUTQ) }

// socketQueue asks the kernel for the size of a queue of a socket; 0 where it does not tell.
func socketQueue(g gnet.Conn, request uint) int {
	n, err := unix.IoctlGetInt(g.Fd(), request)
	if err != nil {
		return 0
	}
	return n
}

// discardUnconfirmed has nothing more go out on a connection that is about to be closed. Without it gnet writes the rest of its
// buffer as it closes, and the kernel goes on sending what it holds: a request that was given up would become whole at its host.
func discardUnconfirmed(g gnet.Conn) {
	if unconfirmedBytes(g) == 0 {
		return
	}
	_ = shutdownWrite(g) // what gnet writes from now on fails
	_ = g.SetLinger(0)   // the kernel drops what it holds, and resets the connection
}
