package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// For every longest deadline: the phases are in order, the process has ended before SIGKILL may be sent, no
// connection is closed while new ones arrive, and the time from DrainAt to TerminateAt is at least the
// longest deadline, or 750 ms if that is shorter.
func TestShutdownScheduleEndsBeforeKill(t *testing.T) {
	for deadline := 50 * time.Millisecond; deadline <= 20*time.Second; deadline += time.Millisecond {
		s := NewShutdownSchedule(deadline)
		grantedDeadline := min(deadline, 3*time.Second)
		require.Equal(t, grantedDeadline+700*time.Millisecond, s.KillAt)
		require.GreaterOrEqual(t, s.DrainAt, 450*time.Millisecond, deadline.String())
		require.Less(t, s.DrainAt, s.TerminateAt, deadline.String())
		require.Less(t, s.TerminateAt, s.ExitAt, deadline.String())
		require.LessOrEqual(t, s.ExitAt, s.KillAt-100*time.Millisecond, deadline.String())
		require.GreaterOrEqual(t, s.TerminateAt-s.DrainAt, min(deadline, 750*time.Millisecond), deadline.String())
	}
}

// A new configuration may shorten a shutdown, but never lengthen it.
func TestEarlierOnlyShortensShutdown(t *testing.T) {
	short, long := NewShutdownSchedule(200*time.Millisecond), NewShutdownSchedule(2*time.Second)
	require.Equal(t, short, long.Earlier(short))
	require.Equal(t, short, short.Earlier(long))
}
