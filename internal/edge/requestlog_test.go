package edge

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
	"ashstand/internal/metrics"
)

// captureLog returns a buffer that receives all log output until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	out, before := new(bytes.Buffer), slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(out, nil)))
	t.Cleanup(func() { slog.SetDefault(before) })
	return out
}

// The log lines of a request that was not served must suffice to explain it: a line for each attempt, with
// its proof of execution, and one for the final answer.
func TestRequestLogRecordsAttemptsAndFinalAnswer(t *testing.T) {
	e, b, s, _ := newCheckedEdge(t, "/* id=17,c=once,d=900,cluster=1 */ INSERT")
	b.outcomes = []dispatch.Outcome{
		{Code: dispatch.Misdirected, Execution: dispatch.RejectedUnexecuted, Role: dispatch.Replica, Position: 1e12 - 500},
		{Code: dispatch.ConnectionLost},
	}
	out := captureLog(t)
	require.Equal(t, Failed, e.Do(context.Background(), s, e.Now()).Verdict)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4, "want the phase, two attempts and the final answer: %s", out)
	for i, want := range [][]string{
		1: {"request=17", "class=once", "access=write", "effect=at_most_once", "host=p", "attempt=0", "ended=misdirected", "execution=rejected_unexecuted", "position=999999999500.000", "remaining_ms=900.000"},
		2: {"request=17", "host=a", "attempt=1", "ended=connection_lost", "execution=may_have_run"},
		3: {"request=17", "verdict=failed", "decided=not_repeatable", "attempts=2", "may_have_run=true"},
	} {
		for _, part := range want {
			require.Contains(t, lines[i], part)
		}
	}
}

// Each kind of line has its own rate limit, and the next line of a kind says how many were suppressed before
// it.
func TestRequestLogIsRateLimited(t *testing.T) {
	e, _, s, manual := newCheckedEdge(t, anyRead)
	out := captureLog(t)
	reject := func(n int) {
		for i := range n {
			e.RecordRejection(metrics.RejectReadAhead, "connection", fmt.Sprint(i))
		}
	}
	reject(requestLineBurst + 50)
	require.Equal(t, requestLineBurst, strings.Count(out.String(), "rejected before any attempt"))
	e.logInvalid(s, "it makes no sense")
	require.Contains(t, out.String(), "request: invalid", "another kind of line has its own limit")
	out.Reset()
	manual.Advance(1000)
	reject(requestLinesPerSecond + 5)
	require.Equal(t, requestLinesPerSecond, strings.Count(out.String(), "rejected before any attempt"))
	require.Contains(t, out.String(), "suppressed=50")
}
