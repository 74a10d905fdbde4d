package pg

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/net/loop"
)

// backpressureState is the connections that are not read until their peers have taken what waits. The event loop owns it.
type backpressureState struct {
	paused          map[*loop.PausableConn]func() bool // and whether to go on
	resumeScheduled bool
}

// suspendUntil pauses a source until its peer has taken what waits for it.
func (f *SessionFront) suspendUntil(w *loop.PausableConn, ok func() bool) {
	if _, there := f.backpressure.paused[w]; there {
		return
	}
	f.onLoop(func() { // not from within the connection's own Traffic
		if _, there := f.backpressure.paused[w]; there || ok() || !w.Pause() {
			return
		}
		f.stats.ReadsPaused++
		f.backpressure.paused[w] = ok
		f.scheduleResume()
	})
}

func (f *SessionFront) scheduleResume() {
	if f.backpressure.resumeScheduled || len(f.backpressure.paused) == 0 {
		return
	}
	f.backpressure.resumeScheduled = true
	time.AfterFunc(resumeInterval, func() {
		f.onLoop(func() {
			f.backpressure.resumeScheduled = false
			for w, ok := range f.backpressure.paused {
				if ok() {
					delete(f.backpressure.paused, w)
					w.Resume(f.eventLoop.Load().(gnet.EventLoop))
				}
			}
			f.scheduleResume()
		})
	})
}
