package pg

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
)

// A probe that can't get a connection because the pool is full must not count against the host.
func TestProbeWithoutFreeConnectionIsNotSent(t *testing.T) {
	p := NewPool(nil, clock.System(), Platform, PoolLimits{})
	p.SetAddress("h", "127.0.0.1:1")
	require.Equal(t, dispatch.NotSent, p.Probe(context.Background(), "h", func(string) bool { return true }).Code)
}
