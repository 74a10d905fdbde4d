package main

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
)

// A rule that did not hold stands in front of everything else, and each figure has its line.
func TestStatsTable(t *testing.T) {
	m := metrics.New()
	m.Closed(lifecycle.ClosedIdle)
	m.Violation(lifecycle.StaleRead)
	figures, err := m.Snapshot()
	require.NoError(t, err)
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	statsTable(w, &statsView{Phase: "ready", Figures: figures, Error: "one figure is missing"})
	require.NoError(t, w.Flush())
	require.Regexp(t, `^phase\tready\nRULE BROKEN: stale_read\t1\n`, out.String())
	require.Contains(t, out.String(), "client_connections_closed_total reason=idle\t1\n")
	require.Contains(t, out.String(), "client_connections_closed_total reason=draining\t0\n")
	require.Contains(t, out.String(), "error\tone figure is missing\n")
}
