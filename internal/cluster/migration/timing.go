package migration

// Timing is how long the steps of a pause take at most, as an installation's own settings bound them, in milliseconds.
// docs/moves.md derives the bound of a pause from it.
type Timing struct {
	// LogEntryMillis is for an entry of the replicated log, from when it is sent until its sender has it back.
	LogEntryMillis float64
	// RulesInForceMillis is for a version of the rules, from the log until every pooler with a lease acts on it alone.
	RulesInForceMillis float64
	// FailoverMillis is for a change of lease holder, from the failure of one until the next one looks at the job.
	FailoverMillis float64
	// DatabaseCallMillis is for one operation at a database host that answers.
	DatabaseCallMillis float64
}

// ReopenMillis is how long it takes to serve a paused tenant again. An open operation is recovered and aborted, the
// reopening announced and logged, the fence removed, and the version of the rules has to be in force; before it is
// logged, another migration's version may have to be.
func (t Timing) ReopenMillis() float64 {
	return 3*t.LogEntryMillis + 2*t.DatabaseCallMillis + 2*t.RulesInForceMillis
}

// ForwardMillis is the least that a pause takes until the switch can be announced: the pause is announced, logged once
// another migration's version is in force, confirmed and in force; the fence is announced, executed and confirmed; the
// same for the verification.
func (t Timing) ForwardMillis(fenceWaitMillis float64) float64 {
	return 7*t.LogEntryMillis + 2*t.RulesInForceMillis + fenceWaitMillis + 2*t.DatabaseCallMillis
}

// settleMillis is the longest that an operation which was announced in time delays a reopening: it is logged, ends where
// it is executed, its result is logged, and the groups are observed once more.
func (t Timing) settleMillis() float64 { return 2*t.LogEntryMillis + 2*t.DatabaseCallMillis }

// MinPauseMillis is the shortest bound that can be kept whatever moment a lease holder fails at, and that leaves time to
// switch.
func (t Timing) MinPauseMillis(fenceWaitMillis float64) float64 {
	return t.ForwardMillis(fenceWaitMillis) + t.settleMillis() + t.FailoverMillis + t.ReopenMillis()
}

// CutoffMillis is how long after its start a pause may still go on. If the lease holder fails at that moment, the next
// one has opened the tenant by the plan's bound.
func (t Timing) CutoffMillis(plan Plan) float64 {
	return plan.MaxPauseMillis - t.settleMillis() - t.FailoverMillis - t.ReopenMillis()
}
