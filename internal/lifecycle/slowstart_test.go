package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A process that keeps to its rate is within its account; one that takes the host for warm is not, and neither is one whose
// requests come all at one time.
func TestASlowStartAccountTellsWhoOverruns(t *testing.T) {
	const window, second = 1500.0, 1000.0
	play := func(perSecond float64, burst int) (overruns int) {
		a := SlowStartAccount{WindowMillis: window}
		rate := 4.0
		a.Allow(1, rate)
		for at := 1 + second/perSecond; at < 8*second; at += second / perSecond {
			a.Allow(at, rate)
			if a.Write(at, 1) {
				overruns++
			}
		}
		for range burst {
			if a.Write(8*second, 1) {
				overruns++
			}
		}
		return overruns
	}
	require.Zero(t, play(4, 0))
	require.Positive(t, play(12, 0))
	require.Zero(t, play(4, 15))
	require.Positive(t, play(4, 50))
}

// A host loses the primary's role, and with it the rate at which it got writes a moment ago: what was written then was allowed.
func TestARateThatDropsBlamesNothingOfBefore(t *testing.T) {
	a := SlowStartAccount{WindowMillis: 1500}
	a.Allow(1, 40)
	for at := 25.0; at < 6000; at += 25 {
		a.Allow(at, 40)
		require.False(t, a.Write(at, 1))
	}
	a.Allow(6000, 0)
	require.False(t, a.Write(6000, 1))
	for range 400 {
		a.Allow(6001, 0)
		a.Write(6001, 1)
	}
	require.True(t, a.Write(6001, 1))
}
