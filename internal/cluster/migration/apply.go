package migration

import (
	"encoding/json"

	"ashstand/internal/cluster/jobs"
)

// operationResult is what a deed returned.
type operationResult struct {
	Recovery
	checkResults CheckResults
	blocking     []BlockingSession
	verified     VerificationResult
	version      int
	locked       *TenantLockedError
	unfenced     bool // the home had failed over since it was fenced
}

// after is what a deed that was done leaves. The state holds no clock but that of the announcement.
func after(a Request, r operationResult) (jobs.Result, error) {
	s, d := a.State, a.Data
	begun := LeaseTime{At: d.At, Token: a.AnnouncedToken}
	p := jobs.Result{}
	if d.LostCommits != "" {
		s.LostCommits = retainLatest(append(s.LostCommits, sanitize(d.LostCommits)))
	}
	switch a.Operation {
	case OperationCheck:
		if s.CheckResults = r.checkResults.truncated(); len(s.CheckResults.Blocking()) > 0 {
			s.HoldReason = "the check refuses"
		} else {
			s.Phase, s.HoldReason = PhaseChecked, ""
		}
	case OperationPublish:
		if s.Published = r.locked == nil; r.locked != nil {
			s.HoldReason = sanitize(r.locked.Error())
		}
	case OperationSubscribe:
		again := s.Copy.Restarts
		if d.Recopy {
			again++
			s.addNote("copied anew: the slot or what had been passed on died with a failover, or the copy differed")
		}
		s.Phase, s.Copy = PhaseCopying, CopyCheckpoint{Restarts: again}
		s.resetComparison(r.Timelines)
	case OperationCopy:
		s.Copy.LastTable, s.Copy.Complete, s.Copy.BatchRows, s.Copy.BatchStarted = r.Copied.LastTable, r.Copied.Complete, r.Copied.Rows, begun
	case OperationTrack:
		if s.Phase != PhaseSwitched {
			s.Phase = PhaseCatchingUp
		}
		s.FailedOver = s.FailedOver || d.FailedOver
		s.Timelines, s.Comparison = r.Timelines, ComparisonCheckpoint{Started: begun}
	case OperationCompare:
		c := &s.Comparison
		c.LastRange, c.Complete, c.EqualRanges, c.ChangedRanges = r.Compared.LastRange, r.Compared.Complete, c.EqualRanges+r.Compared.EqualRanges, c.ChangedRanges+r.Compared.ChangedRanges
		s.recordDifferences(r.Compared.Differences)
	case OperationPause:
		s.Phase, s.Reverse, s.BlockingSessions = PhaseFencing, d.Reverse, nil
		s.Pause = &Pause{Started: begun, RulesVersion: r.version}
	case OperationFence:
		pause := *s.Pause
		pause.FenceAttempts++
		pause.Fence, pause.Verified = r.Fence, false
		if s.Pause, s.BlockingSessions = &pause, sanitizeSessions(r.blocking); r.Fence != nil {
			s.Phase = PhaseVerifying
		} else {
			s.Phase = PhaseFencing
		}
	case OperationVerify:
		pause := *s.Pause
		pause.RangesRead, pause.QueriesReplayed = r.verified.RangesRead, r.verified.QueriesReplayed
		switch {
		case r.verified.Timelines.Source != pause.Fence.Timeline:
			pause.Fence, s.Phase = nil, PhaseFencing
			s.addNote("the home failed over while it was verified: it is closed again")
		case len(r.verified.Differences) > 0:
			s.FailedOver = s.FailedOver || r.verified.Timelines != s.Timelines
			s.Differences = sanitizeDifferences(r.verified.Differences)
		case !r.verified.TimedOut:
			pause.Verified = true
		}
		s.Pause = &pause
	case OperationSwitch:
		if r.unfenced {
			pause := *s.Pause
			pause.Fence, pause.Verified = nil, false
			s.Pause, s.Phase = &pause, PhaseFencing
			s.addNote("the home failed over before the switch: it is closed again")
			break
		}
		s.Pause, s.AbortedPauses = nil, 0
		if s.Reverse {
			s.Phase, s.Reverse = PhaseCleaningUp, false
		} else {
			s.Phase = PhaseSwitched
		}
	case OperationReopen:
		s.Pause = nil
		s.AbortedPauses++
		s.LastAbort = begun
		s.addNote("the pause was taken back: %s", d.Reason)
		if d.RollbackReason != "" {
			s.RollbackReason = d.RollbackReason
		}
		switch {
		case s.Reverse:
			s.Phase, s.Reverse = PhaseSwitched, false
		case s.RollbackReason != "":
			s.Phase = PhaseCleaningUp
		default:
			s.Phase = PhaseCatchingUp
		}
		if s.Phase == PhaseCleaningUp {
			break
		}
		if s.recordDifferences(s.Differences); d.HoldReason != "" {
			s.HoldReason = d.HoldReason
		} else if s.AbortedPauses >= a.Plan.MaxAbortedPauses && s.HoldReason == "" {
			s.HoldReason = "as many pauses were taken back as the plan allows"
		}
	case OperationReplicateBack:
		if s.ReverseReplicating = true; d.Recopy {
			s.addNote("the old home is copied anew from the new one")
		}
		s.resetComparison(r.Timelines)
	case OperationAccept:
		s.Phase = PhaseAccepted
	case OperationFinish:
		s.Phase = PhaseCompleted
		p.Finished, p.Reason = true, "accepted"
	case OperationCleanUp:
		s.Phase, s.RollbackReason = PhaseRolledBack, d.RollbackReason
		p.Finished, p.Reason = true, "taken back: "+d.RollbackReason
	case OperationCancel:
		s.Phase, s.RollbackReason = PhaseRolledBack, d.RollbackReason
		p.Finished, p.Reason = true, "taken back: "+d.RollbackReason
	case OperationHold:
		s.HoldReason = d.HoldReason
	case OperationRollBack:
		s.RollbackReason, s.HoldReason = d.RollbackReason, ""
	case OperationDiscardApproval:
		s.addNote("%s means nothing while it is %s", d.Reason, s.Phase)
	case OperationResume:
		s.HoldReason, s.AbortedPauses = "", 0
		s.RecopyRequired = s.RecopyRequired || len(s.Differences) > 0
	default:
		return p, &UnreadableJobError{Job: a.Job, Err: unknownOperationError(a.Operation)}
	}
	if len(s.Copy.LastTable) > maxCursorBytes || len(s.Comparison.LastRange) > maxCursorBytes {
		return p, &UnreadableJobError{Job: a.Job, Err: unknownOperationError("with a place to go on from of that length")}
	}
	var err error
	p.State, err = json.Marshal(s)
	return p, err
}

// resetComparison is what a copy that begins, or a feeding back, makes of what rested on the one before.
func (s *State) resetComparison(lines Timelines) {
	s.Timelines, s.FailedOver, s.RecopyRequired, s.Differences, s.Comparison = lines, false, false, nil, ComparisonCheckpoint{}
}

// recordDifferences takes what was found. After a failover the copy is begun anew; otherwise an operator has to say so.
func (s *State) recordDifferences(found []Difference) {
	if len(found) == 0 {
		return
	}
	if s.Differences = sanitizeDifferences(found); s.FailedOver {
		s.RecopyRequired = true
	} else {
		s.HoldReason = "the copy differs: " + sanitize(found[0].Error())
	}
}

// retainFirst leaves what a state has room for.
func retainFirst[T any](all []T) []T { return all[:min(len(all), maxListed)] }

func sanitizeDifferences(all []Difference) (out []Difference) {
	for _, d := range retainFirst(all) {
		out = append(out, Difference{sanitize(d.Kind), sanitize(d.Table), sanitize(d.Range), sanitize(d.Source), sanitize(d.Target)})
	}
	return out
}

func sanitizeSessions(all []BlockingSession) (out []BlockingSession) {
	for _, g := range retainFirst(all) {
		out = append(out, BlockingSession{g.PID, sanitize(g.User), sanitize(g.Kind), sanitize(g.Age)})
	}
	return out
}

type unknownOperationError string

func (e unknownOperationError) Error() string { return "there is no deed " + string(e) }
