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

// ReservedDescriptors is how many descriptors are held open for nothing but to be given up when accept finds none free.
const ReservedDescriptors = 4

// neverEqualError is an error that errors.Is finds equal to none, itself included.
type neverEqualError [1]func()

func (neverEqualError) Error() string { return "accept failed" }

// gnet ends a loop whose accept failed with ErrAcceptSocket, whatever the reason, and all its connections with it. A
// process that is out of descriptors for a moment has to go on. The library has no setting for it, but compares with
// this variable of its own; what is done instead is in short.
func init() { gneterrors.ErrAcceptSocket = neverEqualError{} }

// ExhaustionPolicy is what a front does while the process has no descriptor left. Both are called on the loop.
type ExhaustionPolicy struct {
	EvictClient func() bool              // closes the connection that is missed least, if there is one
	Reject      func(c gnet.Conn) []byte // words for one that can't stay
}

// descriptorReserve holds descriptors back.
type descriptorReserve struct {
	mu          sync.Mutex
	descriptors []int
}

// fill says whether it is full, or is now.
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

// release gives up one, if there are more than are to be kept.
func (r *descriptorReserve) release(kept int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.descriptors) <= kept {
		return false
	}
	_ = syscall.Close(r.descriptors[len(r.descriptors)-1])
	r.descriptors = r.descriptors[:len(r.descriptors)-1]
	return true
}

// releaseAll gives up all.
func (r *descriptorReserve) releaseAll() {
	for r.release(0) {
	}
}

// OutOfDescriptors says whether an error means that this process, or the machine, has no descriptor left.
func OutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// acceptFailed is called on the loop when accept failed. The connection still waits, and the loop asks at once again: a
// descriptor is freed for it here, a client's that is missed least before one of the reserve. Where there is neither,
// the loop waits for a moment rather than ask a hundred thousand times a second. Without its listener the engine ends.
func (e *Engine) acceptFailed(err error) {
	switch {
	case errors.Is(err, syscall.EBADF), errors.Is(err, syscall.EINVAL), errors.Is(err, syscall.ENOTSOCK):
		e.listenerLost.Do(func() { go e.Stop() })
	case OutOfDescriptors(err):
		e.exhaustionLog.Printf("sockets: accept failed: %v; the client that is missed least is closed, or the next is turned away", err)
		if e.Exhaustion.EvictClient != nil && e.Exhaustion.EvictClient() || e.reserve.release(0) {
			return
		}
	default:
		e.exhaustionLog.Printf("sockets: accept failed: %v", err)
	}
	time.Sleep(time.Millisecond)
}

// admit says whether an accepted connection can stay: it can't on a descriptor of the reserve. Then words are what it is told.
func (e *Engine) admit(c gnet.Conn) (words []byte, ok bool) {
	for !e.reserve.fill() {
		if e.Exhaustion.EvictClient == nil || !e.Exhaustion.EvictClient() {
			if e.Exhaustion.Reject != nil {
				words = e.Exhaustion.Reject(c)
			}
			return words, false
		}
	}
	return nil, true
}

// acceptLogger keeps the library's chatter to what on-call staff can use, and hears of an accept that failed.
type acceptLogger struct {
	errorLogger
	engine *Engine
}

// Errorf is called on the loop where accept failed.
func (l acceptLogger) Errorf(f string, a ...any) {
	if len(a) == 1 && strings.HasPrefix(f, "Accept()") {
		if err, ok := a[0].(error); ok {
			l.engine.acceptFailed(err)
			return
		}
	}
	l.errorLogger.Errorf(f, a...)
}
