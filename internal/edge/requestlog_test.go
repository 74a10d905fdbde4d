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

// captureLog returns what is logged from now on, until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	out, before := new(bytes.Buffer), slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(out, nil)))
	t.Cleanup(func() { slog.SetDefault(before) })
	return out
}

// What came of a request that was not served is told by its lines alone: each attempt with what it proves, and the final answer.
func TestTheLogTellsWhatCameOfARequest(t *testing.T) {
	e, b, s, _ := checked(t, "/* id=17,c=once,d=900,cluster=1 */ INSERT")
	b.outcomes = []dispatch.Outcome{
		{Code: dispatch.Misdirected, Execution: dispatch.RejectedUnexecuted, Role: dispatch.Replica, Position: 1e12 - 500},
		{Code: dispatch.ConnectionLost},
	}
	out := captureLog(t)
	require.Equal(t, Failed, e.Do(context.Background(), s, e.Now()).Verdict)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4, "the phase, two attempts, the answer: %s", out)
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

// Lines are bounded in rate, for each kind apart, and what was left out is counted in the next line of its kind.
func TestLinesOnRequestsAreBounded(t *testing.T) {
	e, _, s, manual := checked(t, anyRead)
	out := captureLog(t)
	reject := func(n int) {
		for i := range n {
			e.RecordRejection(metrics.RejectReadAhead, "connection", fmt.Sprint(i))
		}
	}
	reject(requestLinesAtOnce + 50)
	require.Equal(t, requestLinesAtOnce, strings.Count(out.String(), "rejected before any attempt"))
	e.logInvalid(s, "it makes no sense")
	require.Contains(t, out.String(), "request: invalid", "another kind has its own bound")
	out.Reset()
	manual.Advance(1000)
	reject(requestLinesPerSecond + 5)
	require.Equal(t, requestLinesPerSecond, strings.Count(out.String(), "rejected before any attempt"))
	require.Contains(t, out.String(), "suppressed=50")
}
