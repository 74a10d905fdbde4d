package migration

import (
	"encoding/json"
	"fmt"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Next implements jobs.Handler: it decides, without I/O, which operation follows the recorded state.
func (m *Migrator) Next(now float64, job *jobs.Job, observation any) jobs.Decision {
	plan, err := decodePlan(job.Spec)
	if err != nil {
		return jobs.Decision{Reason: "the plan can't be read: " + err.Error()}
	}
	state, err := DecodeState(job)
	if err != nil {
		return jobs.Decision{Reason: "the state can't be read: " + err.Error()}
	}
	observed, _ := observation.(*Observation)
	if observed != nil && observed.Step != job.Step {
		observed = nil // it was made before the last operation was executed
	}
	d := &decider{plan: plan, timing: m.Timing, state: state, job: job, now: now, observed: observed, disabledGuarantee: m.DisabledGuarantee}
	decision := d.decide()
	decision.Options = d.options()
	if decision.OperationName == "" && d.hasUselessApproval(decision.Options) {
		d.approval = job.Approval // no other approval can be given until this one is consumed
		return d.announce(OperationDiscardApproval, OperationData{Reason: job.Approval.Action})
	}
	return decision
}

// decider holds the input of one decision.
type decider struct {
	plan              Plan
	timing            Timing
	state             State
	job               *jobs.Job
	now               float64        // milliseconds
	observed          *Observation   // nil if nothing was observed at this step
	approval          *jobs.Approval // that the operation consumes; nil if none
	disabledGuarantee string         // see Migrator.DisabledGuarantee
}

// isApprovalCurrent reports whether an approval exists that was given for this step or is valid at any step (persistent).
func (d *decider) isApprovalCurrent() bool {
	approval := d.job.Approval
	return approval != nil && (approval.Step == d.job.Step || approval.Persistent)
}

// takeApproval consumes the current approval and returns true if it approves the action.
func (d *decider) takeApproval(action string) bool {
	if !d.isApprovalCurrent() || d.job.Approval.Action != action {
		return false
	}
	d.approval = d.job.Approval
	return true
}

// hasUselessApproval reports whether the current approval matches none of the options.
func (d *decider) hasUselessApproval(options []jobs.ApprovalOption) bool {
	return d.isApprovalCurrent() && !slices.ContainsFunc(options, func(option jobs.ApprovalOption) bool {
		return option.Action == d.job.Approval.Action
	})
}

// passes reports whether the migration may pass a checkpoint: the plan does not wait there, or an operator approved it.
func (d *decider) passes(checkpoint Checkpoint) bool {
	return !d.plan.waitsAt(checkpoint) || d.disabledGuarantee == GuaranteeApproval || d.takeApproval(ActionGo)
}

// announce returns the decision to execute an operation, with the consumed approval.
func (d *decider) announce(operation Operation, data OperationData) jobs.Decision {
	data.At = d.now
	encoded, _ := json.Marshal(data) // can't fail: the data holds only numbers, strings and booleans
	return jobs.Decision{OperationName: string(operation), Data: encoded, Approval: d.approval}
}

// waitFor returns the decision to wait, with the reason.
func waitFor(reason string, args ...any) jobs.Decision {
	return jobs.Decision{Reason: fmt.Sprintf(reason, args...)}
}

// decide tries the possible decisions in the order of their urgency: an operator's rollback, a pause that is under way, a
// hold, and then the next operation of the phase.
func (d *decider) decide() jobs.Decision {
	if decision, decided := d.rollBack(); decided {
		return decision
	}
	if d.state.Phase.isPaused() { // a pause has a time bound, so no wait in it may be unbounded
		return d.continuePause()
	}
	if decision, decided := d.hold(); decided {
		return decision
	}
	switch d.state.Phase {
	case PhasePlanned:
		return d.start()
	case PhaseChecked:
		return d.buildCopy()
	case PhaseCopying:
		return d.copyTables()
	case PhaseCatchingUp:
		return d.beginPause()
	case PhaseSwitched:
		return d.finishOrRollBack()
	case PhaseAccepted:
		return d.announce(OperationFinish, OperationData{})
	case PhaseCleaningUp:
		return d.announce(OperationCleanUp, OperationData{RollbackReason: d.state.RollbackReason})
	}
	return waitFor("it has ended")
}

// Reasons that are stored in the log when an operator's action is the cause.
const (
	reasonOperatorPause    = "an operator said pause"
	reasonOperatorRollback = "an operator said rollback"
)

// rollBack starts the rollback that an operator approved. It takes precedence over every other decision.
func (d *decider) rollBack() (jobs.Decision, bool) {
	if d.disabledGuarantee == GuaranteeRollback || d.state.RollbackReason != "" || !d.state.Phase.canRollBack() || !d.takeApproval(ActionRollback) {
		return jobs.Decision{}, false
	}
	data := OperationData{RollbackReason: reasonOperatorRollback}
	switch {
	case d.state.Phase.isPaused():
		data.Reason = data.RollbackReason
		return d.announce(OperationReopen, data), true
	case d.state.Phase == PhaseSwitched:
		return d.announce(OperationRollBack, data), true
	case OperationCancel.AllowedIn(d.state.Phase) && !d.state.Published:
		return d.announce(OperationCancel, data), true
	}
	return d.announce(OperationCleanUp, data), true
}

// hold starts or ends a hold when an operator approved it, and waits during a hold.
func (d *decider) hold() (jobs.Decision, bool) {
	isHeld := d.state.HoldReason != ""
	if !isHeld && d.state.RollbackReason == "" && OperationHold.AllowedIn(d.state.Phase) && d.takeApproval(ActionPause) {
		return d.announce(OperationHold, OperationData{HoldReason: reasonOperatorPause}), true
	}
	if !isHeld || d.state.Phase == PhaseCleaningUp {
		return jobs.Decision{}, false
	}
	if d.takeApproval(ActionResume) {
		return d.announce(OperationResume, OperationData{}), true
	}
	if d.state.Phase == PhaseSwitched && !d.state.ReverseReplicating {
		return jobs.Decision{}, false // the replication back is set up during the hold
	}
	return waitFor("held: %s", d.state.HoldReason), true
}

func (d *decider) start() jobs.Decision {
	if d.observed != nil && d.observed.MayStart {
		return d.announce(OperationCheck, OperationData{})
	}
	if d.observed == nil || d.observed.WaitReason == "" {
		return waitFor("it is another move's turn")
	}
	return waitFor("it is another move's turn: %s", d.observed.WaitReason)
}

func (d *decider) buildCopy() jobs.Decision {
	if d.state.Published {
		return d.announce(OperationSubscribe, OperationData{})
	}
	if !d.passes(CheckpointChecked) {
		return waitFor("waits for go, to build the copy at the new home")
	}
	return d.announce(OperationPublish, OperationData{})
}

// copyBatchSeconds is how many seconds' worth of rows one copy operation adds. It is short compared with the time over
// which load changes, and long compared with the time that an operation in the log takes.
const copyBatchSeconds = 10

const millisPerSecond = 1000

// copyTables adds tables to the copy at the rate that both groups have capacity for.
func (d *decider) copyTables() jobs.Decision {
	if decision, decided := d.ensureReplication(); decided {
		return decision
	}
	if d.observed.UnfitReason == "draining" {
		return waitFor("the new home is draining")
	}
	if d.state.Copy.Complete {
		return d.track()
	}
	rate := d.observed.RowsPerSecond
	if d.plan.MaxRowsPerSecond > 0 {
		rate = min(rate, d.plan.MaxRowsPerSecond)
	}
	if rate <= 0 {
		return waitFor("neither side may be loaded further now")
	}
	batchMillis := d.state.Copy.BatchRows / rate * millisPerSecond
	if elapsed, known := d.state.Copy.BatchStarted.elapsed(d.now, d.job.Token); known && elapsed < batchMillis {
		decision := waitFor("paced at %.0f rows/s", rate)
		decision.RetryAfterMillis = batchMillis - elapsed
		return decision
	}
	return d.announce(OperationCopy, OperationData{Rows: rate * copyBatchSeconds})
}

// track restarts the record of changed ranges, and notes whether a failover is the cause.
func (d *decider) track() jobs.Decision {
	return d.announce(OperationTrack, OperationData{LostCommits: d.describeFailover(), FailedOver: d.observed.Timelines != d.state.Timelines})
}

// describeFailover describes a failover of the source and the commits that it lost. It returns an empty string if there
// was no failover.
func (d *decider) describeFailover() string {
	is, was := d.observed.Timelines.Source, d.state.Timelines.Source
	if is == was || was == 0 {
		return ""
	}
	source, _ := d.state.groups(&d.plan)
	return fmt.Sprintf("group %d failed over from timeline %d to %d: what was acknowledged there and not passed on is lost", source, was, is)
}

// ensureReplication waits or starts a new copy until the target can follow the source. It returns false once nothing is
// left to do.
func (d *decider) ensureReplication() (jobs.Decision, bool) {
	if d.observed == nil || !d.observed.Reachable {
		return waitFor("the homes can't be reached"), true
	}
	if d.state.RecopyRequired || d.observed.SlotLost || d.observed.TargetAhead {
		data := OperationData{Recopy: true, LostCommits: d.describeFailover()}
		if d.state.Phase == PhaseSwitched {
			return d.announce(OperationReplicateBack, data), true
		}
		return d.announce(OperationSubscribe, data), true
	}
	if !d.observed.TablesCopied {
		return waitFor("tables are being copied"), true
	}
	return jobs.Decision{}, false
}

// ensureComparison restarts tracking or continues the comparison until all ranges were compared since the last failover
// of either side. A failover of the source may lose writes that the target has applied, and a failover of the target may
// lose writes that the source's slot counts as delivered. It returns false once nothing is left to do.
func (d *decider) ensureComparison() (jobs.Decision, bool) {
	if d.observed.TrackingLost || d.observed.Timelines != d.state.Timelines {
		return d.track(), true
	}
	if !d.state.Comparison.Complete {
		return d.announce(OperationCompare, OperationData{}), true
	}
	return jobs.Decision{}, false
}

// finishOrRollBack sets up the replication back to the previous group, then waits until an operator accepts the migration
// or rolls it back.
func (d *decider) finishOrRollBack() jobs.Decision {
	if !d.state.ReverseReplicating || d.observed != nil && d.observed.Reachable && d.observed.TargetUnfenced {
		return d.announce(OperationReplicateBack, OperationData{})
	}
	for _, ensure := range []func() (jobs.Decision, bool){d.ensureReplication, d.ensureComparison} {
		if decision, decided := ensure(); decided {
			return decision
		}
	}
	if d.state.RollbackReason != "" {
		if decision, decided := d.ensurePauseFits(); decided {
			return decision
		}
		return d.announce(OperationPause, OperationData{Reverse: true})
	}
	if d.takeApproval(ActionAccept) {
		return d.announce(OperationAccept, OperationData{})
	}
	return waitFor("waits for accept or rollback; the old home is fed")
}
