package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A probe that never left for want of a connection here counts for nothing; one that the host failed counts against it.
func TestUnsentProbeSaysNothingOfTheHost(t *testing.T) {
	for code, counts := range map[Code]bool{NotSent: false, NoConnection: true, NoAnswer: true, Error: true} {
		g := start(t, settings(), shard()...)
		m := g.c.members["a"]
		before := g.c.cost(m)
		g.step(Event{Kind: EvProbe, Host: "a", Code: code})
		require.Equal(t, counts, g.c.cost(m) > before, "%v", code)
	}
}
