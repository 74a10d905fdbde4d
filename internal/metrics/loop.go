package metrics

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// lagBoundsMillis are the waits, in milliseconds, above which probes of the event loop are counted.
var lagBoundsMillis = []int{1, 5, 20, 50, 150, 500}

// LoopStats are figures of the event loop. They are safe for concurrent use.
type LoopStats struct {
	probes         prometheus.Counter
	late           []prometheus.Counter // by lagBoundsMillis
	maxLag         maximum              // in microseconds
	maxMessages    maximum
	maxAcceptQueue maximum
}

// maximum is the largest figure so far.
type maximum struct{ atomic.Int64 }

func (m *maximum) observe(n int64) {
	for {
		old := m.Load()
		if n <= old || m.CompareAndSwap(old, n) {
			return
		}
	}
}

func (m *maximum) value() float64 { return float64(m.Load()) }

// AddLoopStats shows the figures of the event loop.
func (m *Metrics) AddLoopStats() *LoopStats {
	s := &LoopStats{}
	s.probes = m.addCounters("loop_probes_total", "Tasks posted to the event loop to see how long an answer waits for it.").WithLabelValues()
	late := m.addCounters("loop_late_total", "Probes of the event loop that waited longer than so many milliseconds.", "over_ms")
	for _, bound := range lagBoundsMillis {
		s.late = append(s.late, late.WithLabelValues(strconv.Itoa(bound)))
	}
	m.AddGauge("loop_lag_max_ms", "Longest wait of a probe of the event loop.", func() float64 { return s.maxLag.value() / 1e3 })
	m.AddGauge("loop_messages_max", "Most messages of clients that were handled while a probe waited.", s.maxMessages.value)
	m.AddGauge("loop_accept_queue_max", "Most connections seen waiting to be accepted.", s.maxAcceptQueue.value)
	return s
}

// Observe counts one probe.
func (s *LoopStats) Observe(lag time.Duration, messages, acceptQueue int) {
	s.probes.Inc()
	for i, bound := range lagBoundsMillis {
		if lag > time.Duration(bound)*time.Millisecond {
			s.late[i].Inc()
		}
	}
	s.maxLag.observe(lag.Microseconds())
	s.maxMessages.observe(int64(messages))
	s.maxAcceptQueue.observe(int64(acceptQueue))
}
