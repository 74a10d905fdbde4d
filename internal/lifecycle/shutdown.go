package lifecycle

import "time"

// What the platform does at a planned restart, from SIGTERM on.
const (
	// KillSlack is what the platform adds to the longest deadline before it may send SIGKILL.
	KillSlack = 700 * time.Millisecond
	// MaxKillDeadline is what counts as the longest deadline where that is longer.
	MaxKillDeadline = 3 * time.Second
	// newConnectionsEnd is until when new connections come, with 0.05 s for the event loop to read what came last.
	newConnectionsEnd = 450 * time.Millisecond
)

// What the process needs at its end.
const (
	// drainTime is what connections are given to become idle, where there is so much time.
	drainTime = 750 * time.Millisecond
	// cutMargin is from the final answers to SIGKILL.
	cutMargin = 150 * time.Millisecond
	// flushTime is what the event loop has to write the final answers.
	flushTime = 50 * time.Millisecond
)

// ShutdownSchedule says when, after SIGTERM, a process goes from one phase to the next. All of it follows from the time that the
// platform grants. A request that was taken before DrainAt has its own deadline before CutAt: the longest one fits between the two,
// or is longer than the platform waits for.
type ShutdownSchedule struct {
	DrainAt time.Duration // client connections are closed between requests; until then they are served as ever
	CutAt   time.Duration // what is open gets its final answer
	ExitAt  time.Duration // the process ends
	KillAt  time.Duration // the earliest SIGKILL
}

// NewShutdownSchedule returns the schedule for the longest deadline of all classes.
func NewShutdownSchedule(longestDeadline time.Duration) ShutdownSchedule {
	killAt := min(longestDeadline, MaxKillDeadline) + KillSlack
	cutAt := killAt - cutMargin
	return ShutdownSchedule{
		DrainAt: max(newConnectionsEnd, cutAt-drainTime),
		CutAt:   cutAt,
		ExitAt:  cutAt + flushTime,
		KillAt:  killAt,
	}
}

// Earlier returns the schedule that ends first: a configuration that comes in the middle of a shutdown may shorten it, but not
// lengthen it.
func (s ShutdownSchedule) Earlier(o ShutdownSchedule) ShutdownSchedule {
	if o.KillAt < s.KillAt {
		return o
	}
	return s
}
