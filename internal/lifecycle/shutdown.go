package lifecycle

import "time"

// Times of a planned restart by the platform, counted from SIGTERM.
const (
	// KillSlack is the time that the platform adds to the longest deadline before it may send SIGKILL.
	KillSlack = 700 * time.Millisecond
	// MaxKillDeadline is the longest deadline for which the platform waits; a longer one counts as this.
	MaxKillDeadline = 3 * time.Second
	// newConnectionsEnd is until when new connections arrive. It includes 0.05 s for the event loop to read
	// what arrived last.
	newConnectionsEnd = 450 * time.Millisecond
)

// Times that the process needs for its shutdown.
const (
	// drainTime is the time that connections have to become idle, if the platform grants that much.
	drainTime = 750 * time.Millisecond
	// killMargin is the time from the final answers to SIGKILL.
	killMargin = 150 * time.Millisecond
	// flushTime is the time that the event loop has to write the final answers.
	flushTime = 50 * time.Millisecond
)

// ShutdownSchedule says when, after SIGTERM, the process goes from one phase to the next. It follows from the
// time that the platform grants. A request that was accepted before DrainAt can still be answered until
// TerminateAt: the time between the two is at least the longest deadline, or drainTime if that is shorter.
type ShutdownSchedule struct {
	// DrainSlowAt is when connections are closed between requests whose clients take their answers slowly: nothing that
	// is written from then on is sure to be received before the end.
	DrainSlowAt time.Duration
	DrainAt     time.Duration // client connections are closed between requests; until then they are served as usual
	TerminateAt time.Duration // each open request gets its final answer
	ExitAt      time.Duration // the process ends
	KillAt      time.Duration // the earliest SIGKILL
}

// NewShutdownSchedule returns the schedule for the longest deadline of all classes.
func NewShutdownSchedule(longestDeadline time.Duration) ShutdownSchedule {
	killAt := min(longestDeadline, MaxKillDeadline) + KillSlack
	cutAt := killAt - killMargin
	return ShutdownSchedule{
		DrainSlowAt: newConnectionsEnd,
		DrainAt:     max(newConnectionsEnd, cutAt-drainTime),
		TerminateAt: cutAt,
		ExitAt:      cutAt + flushTime,
		KillAt:      killAt,
	}
}

// Earlier returns the schedule that ends first, s or other. A configuration that arrives during a shutdown
// may thus shorten the shutdown but not lengthen it.
func (s ShutdownSchedule) Earlier(other ShutdownSchedule) ShutdownSchedule {
	if other.KillAt < s.KillAt {
		return other
	}
	return s
}
