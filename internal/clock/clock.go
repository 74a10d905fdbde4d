// Package clock gives the one time that the whole program uses: Unix milliseconds as a float64.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time. A float64 of this size is exact to a quarter of a microsecond.
type Clock interface {
	Now() float64 // Unix milliseconds; never goes back
}

// system follows the monotonic clock from one reading of the wall clock.
type system struct {
	anchor      time.Time // carries the monotonic reading
	anchorMilli float64
}

// System returns the clock of the machine. It reads the wall clock once and follows the monotonic one from there:
// positions and drains compare times, and a wall clock that is set back would make old data look new.
func System() Clock {
	now := time.Now()
	return &system{anchor: now, anchorMilli: float64(now.UnixMicro()) / 1e3}
}

func (s *system) Now() float64 { return s.anchorMilli + float64(time.Since(s.anchor))/1e6 }

// skewed is a clock that is wrong by an offset and a rate.
type skewed struct {
	base         Clock
	from         float64 // what base showed at the beginning
	offset, rate float64
}

// Skewed is a clock that stands offset milliseconds away from another and runs rate times as fast from now on: how a
// machine's clock that was set wrong looks. For the testbed.
func Skewed(base Clock, offset, rate float64) Clock {
	return &skewed{base: base, from: base.Now(), offset: offset, rate: rate}
}

func (s *skewed) Now() float64 { return s.from + s.offset + (s.base.Now()-s.from)*s.rate }

// Manual is a clock that tests set. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex // guards now
	now float64
}

// NewManual returns a clock that stands at now.
func NewManual(now float64) *Manual { return &Manual{now: now} }

// Now returns the time that was set.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock on.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += ms
}

// Duration converts milliseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * 1e6) }

// Millis converts to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / 1e6 }
