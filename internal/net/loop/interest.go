package loop

import (
	"errors"
	"reflect"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// errNoPoller is returned if the epoll descriptor of a connection's event loop is not where this version of gnet has it.
var errNoPoller = errors.New("the event loop's epoll descriptor can't be found")

// pollerOf returns the epoll descriptor of a connection's event loop. gnet reads whatever arrives and has no setting for that, so
// what epoll reports of a connection is changed beside it. The descriptor is not exported; go.mod pins the version, and
// TestTheEventLoopsPollerIsFound fails if it moves.
func pollerOf(c gnet.Conn) (descriptor int, err error) {
	v := reflect.ValueOf(c)
	for _, field := range [...]string{"loop", "poller", "fd"} {
		if v.Kind() == reflect.Pointer {
			v = v.Elem()
		}
		if v.Kind() != reflect.Struct {
			return 0, errNoPoller
		}
		v = v.FieldByName(field)
	}
	if v.Kind() != reflect.Int {
		return 0, errNoPoller
	}
	return int(v.Int()), nil
}

// Events of a connection that epoll reports.
const (
	eventsReading = unix.EPOLLIN | unix.EPOLLPRI // as gnet sets them
	eventsEnd     = unix.EPOLLRDHUP              // the end alone, even if unread bytes lie before it; gnet closes the connection then
	eventsNone    = 0
)

// setEvents sets what epoll reports of a connection, and so whether gnet reads it. Bytes that gnet holds for the peer are written
// in any case.
func setEvents(c gnet.Conn, events uint32) error {
	poller, err := pollerOf(c)
	if err != nil {
		return err
	}
	if c.OutboundBuffered() > 0 {
		events |= unix.EPOLLOUT
	}
	return unix.EpollCtl(poller, unix.EPOLL_CTL_MOD, c.Fd(), &unix.EpollEvent{Fd: int32(c.Fd()), Events: events})
}

// peerClosed reports whether the peer has closed or reset a connection, even if bytes that it sent before are unread.
func peerClosed(c gnet.Conn) bool {
	fds := []unix.PollFd{{Fd: int32(c.Fd()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
