package main

import (
	"time"

	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/net/loop"
)

// lateLoop is the wait from which a line is logged: what every time limit on sockets allows.
const lateLoop = 50 * time.Millisecond

// loopMonitor counts and logs what probes of the event loop find.
type loopMonitor struct {
	metrics *metrics.Metrics
	stats   *metrics.LoopStats
	lateLog loop.ThrottledLog
}

func newLoopMonitor(m *metrics.Metrics) *loopMonitor {
	return &loopMonitor{metrics: m, stats: m.AddLoopStats()}
}

// observe is called on the event loop.
func (m *loopMonitor) observe(r loop.Report) {
	m.stats.Observe(r.Lag, r.Messages, r.AcceptQueue)
	attributes := []any{
		"lag_ms", float64(r.Lag.Microseconds()) / 1e3, "messages", r.Messages, "connections", r.Connections,
		"busiest", r.BusiestClient, "busiest_messages", r.BusiestMessages, "accept_queue", r.AcceptQueue,
	}
	if r.Messages > loop.MaxMessagesWhileWaiting(r.Connections) {
		m.metrics.Violation(lifecycle.TurnExceeded, attributes...)
	}
	if r.Lag > lateLoop {
		m.lateLog.Warn("sockets: the event loop was late", attributes...)
	}
}
