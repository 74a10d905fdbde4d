package discovery

import (
	"context"
	"time"
)

// clock is the watcher's source of time; tests replace it.
type clock interface {
	Now() time.Time
	Timer(at time.Time) timer
	Pause(ctx context.Context, d time.Duration) // returns earlier if ctx ends
}

// timer is a time.Timer, or a test's. It is set to a moment, not to a span from now: the clock may advance between the
// caller's look at it and the call.
type timer interface {
	C() <-chan time.Time
	Reset(at time.Time)
	Stop()
}

// system is the system's clock.
type system struct{}

func (system) Now() time.Time           { return time.Now() }
func (system) Timer(at time.Time) timer { return systemTimer{time.NewTimer(time.Until(at))} }

func (system) Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

type systemTimer struct{ t *time.Timer }

func (t systemTimer) C() <-chan time.Time { return t.t.C }
func (t systemTimer) Reset(at time.Time)  { t.t.Reset(time.Until(at)) }
func (t systemTimer) Stop()               { t.t.Stop() }
