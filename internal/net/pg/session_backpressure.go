package pg

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/net/loop"
)

// backpressureState holds the connections whose reads are paused until their peers have taken the bytes that
// wait for them. The event loop owns it.
type backpressureState struct {
	// paused maps each paused connection to a function that reports whether its reads may be resumed.
	paused          map[*loop.PausableConn]func() bool
	resumeScheduled bool
}

// pauseReadsUntil pauses reads from a connection until mayResume reports true. That is checked every
// resumeInterval.
func (f *SessionFront) pauseReadsUntil(source *loop.PausableConn, mayResume func() bool) {
	if _, isPaused := f.backpressure.paused[source]; isPaused {
		return
	}
	f.onLoop(func() { // Pause must not be called from within the connection's own Traffic
		if _, isPaused := f.backpressure.paused[source]; isPaused || mayResume() || !source.Pause() {
			return
		}
		f.stats.ReadsPaused++
		f.backpressure.paused[source] = mayResume
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
			for source, mayResume := range f.backpressure.paused {
				if mayResume() {
					delete(f.backpressure.paused, source)
					source.Resume(f.eventLoop.Load().(gnet.EventLoop))
				}
			}
			f.scheduleResume()
		})
	})
}
