package discovery

import (
	"context"
	"time"
)

// clock is the watcher's source of time; tests replace it.
type clock interface {
	Now() time.Time
	Timer(d time.Duration) timer
	Pause(ctx context.Context, d time.Duration) // returns earlier if ctx ends
}

// timer is a time.Timer, or a test's.
type timer interface {
	C() <-chan time.Time
	Reset(d time.Duration)
	Stop()
}

// system is the system's clock.
type system struct{}

func (system) Now() time.Time              { return time.Now() }
func (system) Timer(d time.Duration) timer { return systemTimer{time.NewTimer(d)} }

func (system) Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

type systemTimer struct{ t *time.Timer }

func (t systemTimer) C() <-chan time.Time   { return t.t.C }
func (t systemTimer) Reset(d time.Duration) { t.t.Reset(d) }
func (t systemTimer) Stop()                 { t.t.Stop() }
