// Package clock gives the one time that the whole program uses: milliseconds since 1970 as a float64.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time. A float64 of this size is exact to a quarter of a microsecond.
type Clock interface {
	Now() float64 // Unix milliseconds; never goes back
}

type system struct {
	anchor time.Time // carries the monotonic reading
	unix   float64
}

// System returns the clock of the machine. It reads the wall clock once and follows the monotonic one from
// there: positions and drains compare times, and a wall clock that is set back would make old data look new.
func System() Clock {
	now := time.Now()
	return &system{anchor: now, unix: float64(now.UnixMicro()) / 1e3}
}

func (s *system) Now() float64 { return s.unix + float64(time.Since(s.anchor))/1e6 }

// Skewed is a clock that stands offset milliseconds away from another and runs rate times as fast from now on: how a
// machine's clock that was set wrong looks. For the laboratory.
func Skewed(of Clock, offset, rate float64) Clock { return &skewed{of, of.Now(), offset, rate} }

type skewed struct {
	of           Clock
	from         float64
	offset, rate float64
}

func (s *skewed) Now() float64 { return s.from + s.offset + (s.of.Now()-s.from)*s.rate }

// Manual is a clock that tests set.
type Manual struct {
	mu  sync.Mutex
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
	m.now += ms
	m.mu.Unlock()
}

// Duration converts milliseconds for the standard library and the module.
func Duration(ms float64) time.Duration { return time.Duration(ms * 1e6) }

// Millis converts back.
func Millis(d time.Duration) float64 { return float64(d) / 1e6 }
