package pg

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests written to idle connections that were silently dropped, and against dialling a new
// connection for every request where resets do not depend on the idle time.
func TestStalenessFindsIdleTimeOfDroppedConnections(t *testing.T) {
	var w staleness
	now := 1e12
	for i := range 400 { // one in 21 is reset at any idle time
		now += 5
		w.record(now, float64(i%40)*20, i%21 == 7)
	}
	require.Equal(t, math.Inf(1), w.maxIdleMillis())
	for i := range 40 { // in addition, one in three of those idle for 130 ms is reset
		now += 5
		w.record(now, 20, i%21 == 7)
		w.record(now, 130, i%3 == 0)
	}
	require.Equal(t, 100.0, w.maxIdleMillis())
	w.record(now+5*bucketDecayMillis, 20, false)
	require.Equal(t, math.Inf(1), w.maxIdleMillis(), "it tries again")
}
