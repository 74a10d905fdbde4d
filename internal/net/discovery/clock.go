package discovery

import (
	"context"
	"time"
)

// clock is the time that the watcher goes by; tests set it.
type clock interface {
	Now() time.Time
	Timer(d time.Duration) timer
	Pause(ctx context.Context, d time.Duration) // or until ctx ends
}

// timer is a time.Timer, or a test's.
type timer interface {
	C() <-chan time.Time
	Reset(d time.Duration)
	Stop()
}

type system struct{}

func (system) Now() time.Time              { return time.Now() }
func (system) Timer(d time.Duration) timer { return systemTimer{time.NewTimer(d)} }

type systemTimer struct{ t *time.Timer }

func (t systemTimer) C() <-chan time.Time   { return t.t.C }
func (t systemTimer) Reset(d time.Duration) { t.t.Reset(d) }
func (t systemTimer) Stop()                 { t.t.Stop() }

func (system) Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
