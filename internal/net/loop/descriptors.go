package loop

import (
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
)

// ReservedDescriptors is how many descriptors are kept open only to be released when accept finds none free.
const ReservedDescriptors = 4

// acceptRetryDelay is how long the event loop waits before the next accept where nothing could be released.
const acceptRetryDelay = time.Millisecond

// neverEqualError is an error that errors.Is finds equal to none, itself included.
type neverEqualError [1]func()

func (neverEqualError) Error() string { return "accept failed" }

// gnet ends an event loop, and closes all its connections, when accept fails with ErrAcceptSocket, whatever the reason. A process
// that is out of descriptors for a moment has to keep running. gnet has no setting for this, but it compares the error with this
// exported variable: a value that equals no error keeps the event loop alive. acceptFailed handles the failure instead.
func init() { gneterrors.ErrAcceptSocket = neverEqualError{} }

// ExhaustionPolicy defines what a front does while the process has no free descriptor. Both functions are called on the event
// loop and may be nil.
type ExhaustionPolicy struct {
	// EvictClient closes the least important client connection and reports whether there was one.
	EvictClient func() bool
	// Reject returns what to write to an accepted connection before it is closed for lack of descriptors.
	Reject func(c gnet.Conn) []byte
}

// descriptorReserve keeps descriptors open so that they can be released when the process has no free one.
type descriptorReserve struct {
	mu          sync.Mutex // guards descriptors
	descriptors []int
}

// fill opens descriptors until the reserve is full and reports whether it is.
func (r *descriptorReserve) fill() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.descriptors) < ReservedDescriptors {
		fd, err := syscall.Open("/dev/null", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
		if err != nil {
			return false
		}
		r.descriptors = append(r.descriptors, fd)
	}
	return true
}

// release closes a descriptor if the reserve holds more than least, and reports whether it did.
func (r *descriptorReserve) release(least int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.descriptors) <= least {
		return false
	}
	_ = syscall.Close(r.descriptors[len(r.descriptors)-1])
	r.descriptors = r.descriptors[:len(r.descriptors)-1]
	return true
}

// releaseAll closes every descriptor of the reserve.
func (r *descriptorReserve) releaseAll() {
	for r.release(0) {
	}
}

// OutOfDescriptors reports whether an error means that this process, or the machine, has no descriptor left.
func OutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// acceptFailed is called on the event loop when accept has failed. If no descriptor was free, the connection is still in the
// listen queue and the event loop accepts again at once. acceptFailed frees a descriptor for it: it evicts a client, or else
// releases a descriptor of the reserve. If neither is possible, it sleeps for acceptRetryDelay, as the event loop would otherwise
// call accept a hundred thousand times a second. If the listening socket itself is unusable, the engine stops.
func (e *Engine) acceptFailed(err error) {
	switch {
	case errors.Is(err, syscall.EBADF), errors.Is(err, syscall.EINVAL), errors.Is(err, syscall.ENOTSOCK):
		e.listenerLost.Do(func() { go e.Stop() })
	case OutOfDescriptors(err):
		e.exhaustionLog.Warn("sockets: accept failed, evicting an idle client or rejecting the next one", "error", err)
		if e.Exhaustion.EvictClient != nil && e.Exhaustion.EvictClient() || e.reserve.release(0) {
			return
		}
	default:
		e.exhaustionLog.Warn("sockets: accept failed", "error", err)
	}
	time.Sleep(acceptRetryDelay)
}

// admit reports whether an accepted connection may stay open. It may not if the reserve can't be refilled, because the connection
// then uses a descriptor of the reserve; reply is what to write to it before it is closed.
func (e *Engine) admit(c gnet.Conn) (reply []byte, ok bool) {
	for !e.reserve.fill() {
		if e.Exhaustion.EvictClient == nil || !e.Exhaustion.EvictClient() {
			if e.Exhaustion.Reject != nil {
				reply = e.Exhaustion.Reject(c)
			}
			return reply, false
		}
	}
	return nil, true
}

// acceptLogger is gnet's logger. gnet reports a failed accept only in its log, so the engine detects it there.
type acceptLogger struct {
	errorLogger
	engine *Engine
}

// Errorf is called on the event loop when accept has failed, and for gnet's other errors.
func (l acceptLogger) Errorf(f string, a ...any) {
	if len(a) == 1 && strings.HasPrefix(f, "Accept()") {
		if err, ok := a[0].(error); ok {
			l.engine.acceptFailed(err)
			return
		}
	}
	l.errorLogger.Errorf(f, a...)
}
