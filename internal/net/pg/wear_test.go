package pg

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests written to connections that were dropped without a word while they lay idle, and against
// dialling anew for every request where resets have nothing to do with age.
func TestWearFindsTheAgeFromWhichConnectionsAreDropped(t *testing.T) {
	var w wear
	now := 1e12
	for i := range 400 { // one in 21 is reset at any age
		now += 5
		w.note(now, float64(i%40)*20, i%21 == 7)
	}
	require.Equal(t, math.Inf(1), w.limit())
	for i := range 40 { // and one in three of those idle for 100 ms
		now += 5
		w.note(now, 20, i%21 == 7)
		w.note(now, 130, i%3 == 0)
	}
	require.Equal(t, 100.0, w.limit())
	w.note(now+5*wearForget, 20, false)
	require.Equal(t, math.Inf(1), w.limit(), "it tries again")
}
