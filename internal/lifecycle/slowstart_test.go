package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A process that keeps to its rate causes no overrun. A process that treats the host as warm does, and so
// does one that sends its requests in one burst.
func TestSlowStartAuditDetectsOverruns(t *testing.T) {
	const window, second = 1500.0, 1000.0
	countOverruns := func(perSecond float64, burst int) (overruns int) {
		a := SlowStartAudit{WindowMillis: window}
		rate := 4.0
		a.SetRate(1, rate)
		for at := 1 + second/perSecond; at < 8*second; at += second / perSecond {
			a.SetRate(at, rate)
			if a.RecordWrite(at, 1) {
				overruns++
			}
		}
		for range burst {
			if a.RecordWrite(8*second, 1) {
				overruns++
			}
		}
		return overruns
	}
	require.Zero(t, countOverruns(4, 0))
	require.Positive(t, countOverruns(12, 0))
	require.Zero(t, countOverruns(4, 15))
	require.Positive(t, countOverruns(4, 50))
}

// Heavy requests as far apart as the rate permits are no overrun; two a second go far beyond it.
func TestSlowStartAuditAcceptsAHeavyRequest(t *testing.T) {
	const window, second, heavy = 1500.0, 1000.0, 13.0
	a := SlowStartAudit{WindowMillis: window}
	a.SetRate(1, 1)
	for at := second; at < 40*second; at += heavy * second {
		a.SetRate(at, 1)
		require.False(t, a.RecordWrite(at, heavy))
	}
	overruns := 0
	for at := 40 * second; at < 50*second; at += second / 2 {
		a.SetRate(at, 1)
		if a.RecordWrite(at, heavy) {
			overruns++
		}
	}
	require.Positive(t, overruns)
}

// Guards against a false overrun when a host loses the primary role and with it the rate for writes: the
// writes of a moment before were permitted.
func TestSlowStartAuditAcceptsWritesBeforeRateDrop(t *testing.T) {
	a := SlowStartAudit{WindowMillis: 1500}
	a.SetRate(1, 40)
	for at := 25.0; at < 6000; at += 25 {
		a.SetRate(at, 40)
		require.False(t, a.RecordWrite(at, 1))
	}
	a.SetRate(6000, 0)
	require.False(t, a.RecordWrite(6000, 1))
	for range 400 {
		a.SetRate(6001, 0)
		a.RecordWrite(6001, 1)
	}
	require.True(t, a.RecordWrite(6001, 1))
}
