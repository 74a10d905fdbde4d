package migration

import (
	"fmt"

	"ashstand/internal/cluster/jobs"
)

// options returns the actions that operators can approve at this step, each with its effect.
func (d *decider) options() (out []jobs.ApprovalOption) {
	add := func(action, effect string) {
		out = append(out, jobs.ApprovalOption{Action: action, Effect: effect, Persistent: action == ActionRollback})
	}
	if action, effect := d.advanceOption(); action != "" {
		add(action, effect)
	}
	if d.state.HoldReason == "" && d.state.RollbackReason == "" {
		if OperationHold.AllowedIn(d.state.Phase) {
			add(ActionPause, "nothing further is begun until resume; what runs at the homes goes on")
		} else if d.state.Phase.isPaused() {
			add(ActionPause, "the tenant opens again where it was, and nothing further is begun until resume")
		}
	}
	if d.state.RollbackReason == "" && d.state.Phase.canRollBack() {
		add(ActionRollback, d.state.Phase.RollbackEffect())
	}
	return out
}

// advanceOption returns the action that lets the migration continue, if it waits for one.
func (d *decider) advanceOption() (action, effect string) {
	state, plan := &d.state, &d.plan
	isRollingBack := state.RollbackReason != ""
	switch {
	case state.HoldReason != "" && state.Phase != PhaseCleaningUp:
		return ActionResume, state.resumeEffect()
	case state.Phase == PhaseChecked && plan.waitsAt(CheckpointChecked) && !state.Published:
		return ActionGo, "the copy at the new home is built"
	case state.Phase == PhaseCatchingUp && state.Comparison.Complete && plan.waitsAt(CheckpointFencing):
		return ActionGo, fmt.Sprintf("the tenant is paused, for %.0f ms at most", plan.MaxPauseMillis)
	case state.Phase == PhaseVerifying && plan.waitsAt(CheckpointSwitching) && state.Pause.Verified && !isRollingBack:
		return ActionGo, "the tenant is served by the new home"
	case state.Phase == PhaseSwitched && !isRollingBack && state.ReverseReplicating && state.Comparison.Complete:
		return ActionAccept, "the old home is fed no longer and there is no way back by this move"
	}
	return "", ""
}

// resumeEffect describes, for operators, what a resume does.
func (s *State) resumeEffect() string {
	switch {
	case len(s.Differences) > 0 && s.Phase == PhaseSwitched:
		return "the old home's copy is emptied and copied anew from the new one"
	case len(s.Differences) > 0:
		return "the copy at the new home is emptied and copied anew"
	case s.Phase == PhasePlanned:
		return "the check is done again"
	}
	return "the move goes on"
}
