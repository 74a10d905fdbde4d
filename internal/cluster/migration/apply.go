package migration

import (
	"encoding/json"

	"ashstand/internal/cluster/jobs"
)

// outcomeApplier computes the state of a job after an executed operation. The only time that it writes into the state is
// that of the operation's announcement, so every process that applies the same outcome produces the same bytes.
type outcomeApplier struct {
	request Request
	outcome outcome
	state   State // changed in place; values behind its pointers are shared with the request and copied before a change
	result  jobs.Result
}

// outcomeAppliers maps each operation to the method that applies its outcome.
var outcomeAppliers = map[Operation]func(*outcomeApplier){
	OperationCheck:           (*outcomeApplier).check,
	OperationPublish:         (*outcomeApplier).publish,
	OperationSubscribe:       (*outcomeApplier).subscribe,
	OperationCopy:            (*outcomeApplier).copyTables,
	OperationTrack:           (*outcomeApplier).track,
	OperationCompare:         (*outcomeApplier).compare,
	OperationPause:           (*outcomeApplier).pause,
	OperationFence:           (*outcomeApplier).fence,
	OperationVerify:          (*outcomeApplier).verify,
	OperationSwitch:          (*outcomeApplier).switchGroups,
	OperationReplicateBack:   (*outcomeApplier).replicateBack,
	OperationReopen:          (*outcomeApplier).reopen,
	OperationAccept:          (*outcomeApplier).accept,
	OperationFinish:          (*outcomeApplier).finish,
	OperationCleanUp:         (*outcomeApplier).rolledBack,
	OperationCancel:          (*outcomeApplier).rolledBack,
	OperationHold:            (*outcomeApplier).hold,
	OperationResume:          (*outcomeApplier).resume,
	OperationRollBack:        (*outcomeApplier).rollBack,
	OperationDiscardApproval: (*outcomeApplier).discardApproval,
}

// applyOutcome returns the result of an executed operation, including the job's new state.
func applyOutcome(request Request, result outcome) (jobs.Result, error) {
	apply, known := outcomeAppliers[request.Operation]
	if !known {
		return jobs.Result{}, &UnreadableJobError{Job: request.Job, Err: unknownOperationError(request.Operation)}
	}
	a := &outcomeApplier{request: request, outcome: result, state: request.State}
	if lost := request.Data.LostCommits; lost != "" {
		a.state.LostCommits = retainLatest(append(a.state.LostCommits, sanitize(lost)))
	}
	apply(a)
	for _, cursor := range []string{a.state.Copy.LastTable, a.state.Comparison.LastRange} {
		if len(cursor) > maxCursorBytes {
			return a.result, &UnreadableJobError{Job: request.Job, Err: &cursorTooLongError{bytes: len(cursor)}}
		}
	}
	var err error
	a.result.State, err = json.Marshal(a.state)
	return a.result, err
}

// announced returns when the operation was announced, by the clock of the lease holder that announced it.
func (a *outcomeApplier) announced() LeaseTime {
	return LeaseTime{At: a.request.Data.At, Token: a.request.AnnouncedToken}
}

func (a *outcomeApplier) check() {
	a.state.CheckResults = a.outcome.checkResults.truncated()
	if len(a.state.CheckResults.Blocking()) > 0 {
		a.state.HoldReason = "the check refuses"
		return
	}
	a.state.Phase = PhaseChecked
	a.state.HoldReason = ""
}

func (a *outcomeApplier) publish() {
	a.state.Published = a.outcome.locked == nil
	if a.outcome.locked != nil {
		a.state.HoldReason = sanitize(a.outcome.locked.Error())
	}
}

func (a *outcomeApplier) subscribe() {
	restarts := a.state.Copy.Restarts
	if a.request.Data.Recopy {
		restarts++
		a.state.addNote("copied anew: the slot or what had been passed on died with a failover, or the copy differed")
	}
	a.state.Phase = PhaseCopying
	a.state.Copy = CopyCheckpoint{Restarts: restarts}
	a.state.resetComparison(a.outcome.Timelines)
}

func (a *outcomeApplier) copyTables() {
	checkpoint := &a.state.Copy
	checkpoint.LastTable = a.outcome.Copied.LastTable
	checkpoint.Complete = a.outcome.Copied.Complete
	checkpoint.BatchRows = a.outcome.Copied.Rows
	checkpoint.BatchStarted = a.announced()
}

func (a *outcomeApplier) track() {
	if a.state.Phase != PhaseSwitched {
		a.state.Phase = PhaseCatchingUp
	}
	a.state.FailedOver = a.state.FailedOver || a.request.Data.FailedOver
	a.state.Timelines = a.outcome.Timelines
	a.state.Comparison = ComparisonCheckpoint{Started: a.announced()}
}

func (a *outcomeApplier) compare() {
	checkpoint := &a.state.Comparison
	checkpoint.LastRange = a.outcome.Compared.LastRange
	checkpoint.Complete = a.outcome.Compared.Complete
	checkpoint.EqualRanges += a.outcome.Compared.EqualRanges
	checkpoint.ChangedRanges += a.outcome.Compared.ChangedRanges
	a.state.recordDifferences(a.outcome.Compared.Differences)
}

func (a *outcomeApplier) pause() {
	a.state.Phase = PhaseFencing
	a.state.Reverse = a.request.Data.Reverse
	a.state.BlockingSessions = nil
	a.state.Pause = &Pause{Started: a.announced(), RulesVersion: a.outcome.rulesVersion}
}

// copyPause replaces the state's pause with a copy and returns the copy, which the caller may change.
func (a *outcomeApplier) copyPause() *Pause {
	pause := *a.state.Pause
	a.state.Pause = &pause
	return &pause
}

func (a *outcomeApplier) fence() {
	pause := a.copyPause()
	pause.FenceAttempts++
	pause.Fence = a.outcome.Fence
	pause.Verified = false
	a.state.BlockingSessions = sanitizeSessions(a.outcome.blocking)
	if pause.Fence != nil {
		a.state.Phase = PhaseVerifying
	} else {
		a.state.Phase = PhaseFencing
	}
}

func (a *outcomeApplier) verify() {
	verification := a.outcome.verification
	pause := a.copyPause()
	pause.RangesRead = verification.RangesRead
	pause.QueriesReplayed = verification.QueriesReplayed
	switch {
	case verification.Timelines.Source != pause.Fence.Timeline:
		pause.Fence = nil
		a.state.Phase = PhaseFencing
		a.state.addNote("the home failed over while it was verified: it is closed again")
	case len(verification.Differences) > 0:
		a.state.FailedOver = a.state.FailedOver || verification.Timelines != a.state.Timelines
		a.state.Differences = sanitizeDifferences(verification.Differences)
	case !verification.TimedOut:
		pause.Verified = true
	}
}

func (a *outcomeApplier) switchGroups() {
	if a.outcome.unfenced {
		pause := a.copyPause()
		pause.Fence = nil
		pause.Verified = false
		a.state.Phase = PhaseFencing
		a.state.addNote("the home failed over before the switch: it is closed again")
		return
	}
	a.state.Pause = nil
	a.state.AbortedPauses = 0
	if a.state.Reverse {
		a.state.Phase = PhaseCleaningUp
		a.state.Reverse = false
		return
	}
	a.state.Phase = PhaseSwitched
}

// reopen records that a pause ended without a switch.
func (a *outcomeApplier) reopen() {
	data := a.request.Data
	a.state.Pause = nil
	a.state.AbortedPauses++
	a.state.LastAbort = a.announced()
	a.state.addNote("the pause was taken back: %s", data.Reason)
	if data.RollbackReason != "" {
		a.state.RollbackReason = data.RollbackReason
	}
	switch {
	case a.state.Reverse:
		a.state.Phase = PhaseSwitched
		a.state.Reverse = false
	case a.state.RollbackReason != "":
		a.state.Phase = PhaseCleaningUp
		return
	default:
		a.state.Phase = PhaseCatchingUp
	}
	a.state.recordDifferences(a.state.Differences)
	if data.HoldReason != "" {
		a.state.HoldReason = data.HoldReason
	} else if a.state.AbortedPauses >= a.request.Plan.MaxAbortedPauses && a.state.HoldReason == "" {
		a.state.HoldReason = "as many pauses were taken back as the plan allows"
	}
}

func (a *outcomeApplier) replicateBack() {
	a.state.ReverseReplicating = true
	if a.request.Data.Recopy {
		a.state.addNote("the old home is copied anew from the new one")
	}
	a.state.resetComparison(a.outcome.Timelines)
}

func (a *outcomeApplier) accept() { a.state.Phase = PhaseAccepted }

func (a *outcomeApplier) finish() {
	a.state.Phase = PhaseCompleted
	a.result.Finished = true
	a.result.Reason = "accepted"
}

func (a *outcomeApplier) rolledBack() {
	a.state.Phase = PhaseRolledBack
	a.state.RollbackReason = a.request.Data.RollbackReason
	a.result.Finished = true
	a.result.Reason = "taken back: " + a.request.Data.RollbackReason
}

func (a *outcomeApplier) hold() { a.state.HoldReason = a.request.Data.HoldReason }

func (a *outcomeApplier) resume() {
	a.state.HoldReason = ""
	a.state.AbortedPauses = 0
	a.state.RecopyRequired = a.state.RecopyRequired || len(a.state.Differences) > 0
}

func (a *outcomeApplier) rollBack() {
	a.state.RollbackReason = a.request.Data.RollbackReason
	a.state.HoldReason = ""
}

func (a *outcomeApplier) discardApproval() {
	a.state.addNote("%s means nothing while it is %s", a.request.Data.Reason, a.state.Phase)
}
