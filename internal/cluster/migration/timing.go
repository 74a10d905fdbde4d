package migration

// Timing holds the maximum durations of the steps of a pause in milliseconds, as the settings of an installation bound
// them. docs/moves.md derives the bound of a pause from them.
type Timing struct {
	// LogEntryMillis is the time of an entry of the replicated log, from when it is sent until its sender receives it back
	// from the log.
	LogEntryMillis float64
	// RulesInForceMillis is the time from when a version of the rules is in the log until every pooler with a lease acts
	// only on it.
	RulesInForceMillis float64
	// FailoverMillis is the time from the failure of a lease holder until the next one looks at the job.
	FailoverMillis float64
	// DatabaseCallMillis is the time of one operation at a database host that answers.
	DatabaseCallMillis float64
}

// ReopenMillis is the maximum time until a paused tenant is served again. An open operation is recovered and aborted, the
// reopening is announced and logged, the fence is removed, and the new version of the rules has to be in force. Before
// that version is logged, another migration's version may have to be in force.
func (t Timing) ReopenMillis() float64 {
	return 3*t.LogEntryMillis + 2*t.DatabaseCallMillis + 2*t.RulesInForceMillis
}

// ForwardMillis is the time that a pause needs until the switch can be announced. The pause is announced, logged once
// another migration's version is in force, confirmed and in force. Then the fence is announced, executed and confirmed,
// and so is the verification.
func (t Timing) ForwardMillis(fenceWaitMillis float64) float64 {
	return 7*t.LogEntryMillis + 2*t.RulesInForceMillis + fenceWaitMillis + 2*t.DatabaseCallMillis
}

// settleMillis is the longest time for which an operation that was announced before the cutoff can delay a reopening: it
// is logged and executed at the hosts, its result is logged, and the groups are observed once more.
func (t Timing) settleMillis() float64 { return 2*t.LogEntryMillis + 2*t.DatabaseCallMillis }

// MinPauseMillis is the shortest bound of a pause that leaves time to switch and that can be kept at whatever moment a
// lease holder fails.
func (t Timing) MinPauseMillis(fenceWaitMillis float64) float64 {
	return t.ForwardMillis(fenceWaitMillis) + t.settleMillis() + t.FailoverMillis + t.ReopenMillis()
}

// CutoffMillis is the time after the start of a pause at which it has to be ended. If the lease holder fails at that
// moment, the next one still reopens the tenant within the plan's bound.
func (t Timing) CutoffMillis(plan Plan) float64 {
	return plan.MaxPauseMillis - t.settleMillis() - t.FailoverMillis - t.ReopenMillis()
}
