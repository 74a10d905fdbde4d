package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against stale reads, and reads that wait forever, when the machine's wall clock is behind at the
// start of the process while positions come from hosts with correct clocks. A bounded read must go to the
// primary if the replica lags too far.
func TestNoStaleReadWithClockBehind(t *testing.T) {
	const replicaLag = 2100.0 // the class permits 200
	for _, behind := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, time.Hour} {
		d, manual := newTestDispatcher(t)
		hostTime := func() float64 { return manual.Now() + float64(behind.Milliseconds()) }
		for range 20 {
			d.ProbeDone("p", Outcome{Code: OK, Report: Report{Role: Primary, Position: hostTime()}})
			d.ProbeDone("a", Outcome{Code: OK, Report: Report{Role: Replica, Position: hostTime() - replicaLag}})
			manual.Advance(50)
		}
		call := beginCall(t, d, "browse", 0)
		decision, ok := call.TryPick()
		require.True(t, ok, "%v behind: the read waits although the primary can serve it", behind)
		require.Equal(t, Send, decision.Verdict, "%v behind", behind)
		require.Equal(t, "p", decision.Host, "%v behind: data that is %v ms old is served", behind, replicaLag)
	}
}
