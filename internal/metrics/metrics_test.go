package metrics

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/lifecycle"
)

func TestEachCountHasItsFigure(t *testing.T) {
	m := New()
	before, err := m.Snapshot()
	require.NoError(t, err)
	require.Empty(t, Violations(before))
	m.Closed(lifecycle.ClosedIdle)
	m.Rejected(RejectReadAhead)
	m.Rejected(RejectReadAhead)
	m.Retried("no_connection")
	m.Transition(lifecycle.Ready, lifecycle.Draining)
	m.AddGauge("clients", "Client connections.", func() float64 { return 7 })
	for range violationsLogged + 2 {
		m.Violation(lifecycle.StaleRead, "request", "r1")
	}
	after, err := m.Snapshot()
	require.NoError(t, err)
	value := func(name string, labels ...string) float64 {
		for _, f := range after {
			same := f.Name == "ashstand_"+name
			for i := 0; i < len(labels); i += 2 {
				same = same && f.Labels[labels[i]] == labels[i+1]
			}
			if same {
				return f.Value
			}
		}
		return -1
	}
	require.InDelta(t, 1, value("client_connections_closed_total", "reason", "idle"), 0)
	require.InDelta(t, 0, value("client_connections_closed_total", "reason", "draining"), 0)
	require.InDelta(t, 2, value("requests_rejected_total", "reason", "read_ahead"), 0)
	require.InDelta(t, 1, value("request_retries_total", "reason", "no_connection"), 0)
	require.InDelta(t, 1, value("process_transitions_total", "from", "ready", "to", "draining"), 0)
	require.InDelta(t, 7, value("clients"), 0)
	require.Equal(t, map[string]int{"stale_read": violationsLogged + 2}, Violations(after))
}
