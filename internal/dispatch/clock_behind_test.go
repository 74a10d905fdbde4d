package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The machine's wall clock is behind when the process starts, and positions come from clocks that are right. A read with a
// bound must not be served from data that is older, and must not wait for ever either: the primary can serve it.
func TestAClockThatIsBehindServesNoStaleRead(t *testing.T) {
	const replicaLag = 2100.0 // the class permits 200
	for _, behind := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, time.Hour} {
		f, c := newTestDispatcher(t)
		present := func() float64 { return c.Now() + float64(behind.Milliseconds()) }
		for range 20 {
			f.ProbeDone("p", Outcome{Code: OK, Report: Report{Role: Primary, Position: present()}})
			f.ProbeDone("a", Outcome{Code: OK, Report: Report{Role: Replica, Position: present() - replicaLag}})
			c.Advance(50)
		}
		call := begin(t, f, "browse", 0)
		decision, ok := call.TryPick()
		require.True(t, ok, "%v behind: a read waits though its primary is there", behind)
		require.Equal(t, Send, decision.Verdict, "%v behind", behind)
		require.Equal(t, "p", decision.Host, "%v behind: data of %v ago is served", behind, replicaLag)
	}
}
