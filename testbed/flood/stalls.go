package flood

import (
	"context"
	"sync"
	"time"
)

const (
	stallInterval = 5 * time.Millisecond  // between two looks
	minStall      = 10 * time.Millisecond // a shorter one is not noted
)

// stallWatch notes when this process was held up itself, as a busy machine and the race detector do it. Time in which a client could
// not run is not the pooler's. It is safe for concurrent use.
type stallWatch struct {
	mu     sync.Mutex
	stalls []stall
}

// stall is a span of time in which a goroutine that was due did not run.
type stall struct{ from, till time.Time }

// run watches until ctx ends.
func (w *stallWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(stallInterval)
		time.Sleep(stallInterval)
		if now := time.Now(); now.Sub(due) > minStall {
			w.mu.Lock()
			w.stalls = append(w.stalls, stall{due, now})
			w.mu.Unlock()
		}
	}
}

// within returns for how long this process was held up between two times.
func (w *stallWatch) within(from, till time.Time) (sum time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stalls {
		begin, end := s.from, s.till
		if begin.Before(from) {
			begin = from
		}
		if end.After(till) {
			end = till
		}
		sum += max(0, end.Sub(begin))
	}
	return sum
}

// longest returns the longest stall.
func (w *stallWatch) longest() (d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stalls {
		d = max(d, s.till.Sub(s.from))
	}
	return d
}
