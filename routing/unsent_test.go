package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A probe that never left for want of a connection here counts for nothing; one that the host failed counts against it.
func TestUnsentProbeIsNoEvidence(t *testing.T) {
	for code, counts := range map[Code]bool{NotSent: false, NoConnection: true, NoAnswer: true, ServerError: true} {
		g := startHarness(t, settings(), shard()...)
		m := g.c.members["a"]
		before := g.c.outlierScore(m)
		g.step(Event{Kind: EventProbeResult, Host: "a", Code: code})
		require.Equal(t, counts, g.c.outlierScore(m) > before, "%v", code)
	}
}
