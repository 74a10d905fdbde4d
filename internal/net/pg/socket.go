package pg

import (
	"errors"
	"syscall"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"ashstand/internal/net/loop"
)

// hasUnreadBytes reports whether the kernel's receive buffer holds unread bytes.
func hasUnreadBytes(c gnet.Conn) bool {
	n, err := peekSocket(c)
	return err == nil && n > 0
}

// hasUnreadEvent reports whether unread bytes, the end of the stream or a socket error are waiting in the
// kernel.
func hasUnreadEvent(c gnet.Conn) bool {
	_, err := peekSocket(c)
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// peekSocket returns 1 if the kernel holds an unread byte, and 0 at the end of the stream. It consumes nothing.
func peekSocket(c gnet.Conn) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(c.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// shutdownWrite closes the sending side of a connection.
func shutdownWrite(g gnet.Conn) error { return syscall.Shutdown(g.Fd(), syscall.SHUT_WR) }

// unsentBytes returns how many written bytes have not left this machine, for example because the peer's
// receive window is full. It adds up the event loop's buffer and what the kernel has not sent.
func unsentBytes(g gnet.Conn) int { return g.OutboundBuffered() + socketQueue(g, unix.SIOCOUTQNSD) }

// unconfirmedBytes returns how many written bytes the peer has not acknowledged. The kernel retransmits them
// until it has.
func unconfirmedBytes(g gnet.Conn) int { return g.OutboundBuffered() + loop.UnconfirmedBytes(g.Fd()) }

// socketQueue asks the kernel for the length of a socket's queue. It returns 0 if the kernel reports an error.
func socketQueue(g gnet.Conn, request uint) int {
	n, err := unix.IoctlGetInt(g.Fd(), request)
	if err != nil {
		return 0
	}
	return n
}

// discardUnconfirmed drops the unsent data of a connection that is about to be closed. Otherwise gnet would
// write the rest of its buffer when it closes the connection, and the kernel would keep sending its own: an
// abandoned request could then reach the host in full, and run.
func discardUnconfirmed(g gnet.Conn) {
	if unconfirmedBytes(g) == 0 {
		return
	}
	_ = shutdownWrite(g) // makes further writes by gnet fail
	_ = g.SetLinger(0)   // makes the kernel drop its send buffer and reset the connection on close
}
