package pg

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/net/loop"
)

// backpressureState holds the connections whose reads are paused until their peers have taken the bytes that
// wait for them. The event loop owns it.
type backpressureState struct {
	paused          map[*loop.PausableConn]pausedConn
	resumeScheduled bool
}

// pausedConn is a connection whose reads are paused.
type pausedConn struct {
	handler   loop.Handler
	mayResume func() bool
}

// pauseReadsUntil pauses reads from a connection of a handler until mayResume reports true. That is checked every
// resumeInterval.
func (f *SessionFront) pauseReadsUntil(source *loop.PausableConn, handler loop.Handler, mayResume func() bool) {
	if _, isPaused := f.backpressure.paused[source]; isPaused {
		return
	}
	f.onLoop(func() { // by then the peer may have taken the bytes
		if _, isPaused := f.backpressure.paused[source]; isPaused || source.IsClosed() {
			return
		}
		if mayResume() {
			f.resumeReads(source, handler)
			return
		}
		source.Pause(loop.PausedForPeer)
		f.stats.ReadsPaused++
		f.backpressure.paused[source] = pausedConn{handler, mayResume}
		f.scheduleResume()
	})
}

// scheduleResume resumes, after resumeInterval, the connections that may be read again, and repeats that
// while any connection is paused.
func (f *SessionFront) scheduleResume() {
	if f.backpressure.resumeScheduled || len(f.backpressure.paused) == 0 {
		return
	}
	f.backpressure.resumeScheduled = true
	time.AfterFunc(resumeInterval, func() {
		f.onLoop(func() {
			f.backpressure.resumeScheduled = false
			for source, paused := range f.backpressure.paused {
				if paused.mayResume() {
					f.resumeReads(source, paused.handler)
				}
			}
			f.scheduleResume()
		})
	})
}

// resumeReads reads from a connection again and has its handler process the input that waits.
func (f *SessionFront) resumeReads(source *loop.PausableConn, handler loop.Handler) {
	delete(f.backpressure.paused, source)
	if !source.IsClosed() && source.Resume(loop.PausedForPeer) && handler.Traffic(source.Conn) == gnet.Close {
		source.Close()
	}
}
