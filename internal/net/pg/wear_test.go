package pg

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests written to connections that were dropped without a word while they lay idle, and against
// dialling anew for every request where resets have nothing to do with age.
func TestWearFindsTheAgeFromWhichConnectionsAreDropped(t *testing.T) {
	var w staleness
	now := 1e12
	for i := range 400 { // one in 21 is reset at any age
		now += 5
		w.record(now, float64(i%40)*20, i%21 == 7)
	}
	require.Equal(t, math.Inf(1), w.maxIdleMillis())
	for i := range 40 { // and one in three of those idle for 100 ms
		now += 5
		w.record(now, 20, i%21 == 7)
		w.record(now, 130, i%3 == 0)
	}
	require.Equal(t, 100.0, w.maxIdleMillis())
	w.record(now+5*bucketDecayMillis, 20, false)
	require.Equal(t, math.Inf(1), w.maxIdleMillis(), "it tries again")
}
