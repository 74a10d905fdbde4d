package migration

// Phase is a state of a migration. Its values are stored in the replicated log and shown to operators.
type Phase string

// The phases, in order. The last two belong to a migration that is rolled back.
const (
	// PhasePlanned: the plan is valid, and the migration waits until the scheduler lets it start.
	PhasePlanned Phase = "planned"
	// PhaseChecked: the check found no obstacle at either group. At most the fences and the publication were created.
	PhaseChecked Phase = "checked"
	// PhaseCopying: the target is subscribed to the source, and tables are added to the subscription in batches.
	PhaseCopying Phase = "copying"
	// PhaseCatchingUp: all tables are copied; changes are replicated and ranges of keys compared.
	PhaseCatchingUp Phase = "catching up"
	// PhaseFencing: the rules pause the tenant, running writers end, and the source is then fenced.
	PhaseFencing Phase = "closing"
	// PhaseVerifying: the source is fenced. The target applies the remaining writes and is compared with the source.
	PhaseVerifying Phase = "verifying"
	// PhaseSwitched: the target serves the tenant and is replicated back to the group that served it before.
	PhaseSwitched Phase = "switched"
	// PhaseAccepted: an operator accepted the migration; it can no longer be rolled back.
	PhaseAccepted Phase = "accepted"
	// PhaseCompleted: what the migration created is removed. This phase is final.
	PhaseCompleted Phase = "done"
	// PhaseCleaningUp: the migration is rolled back, and what it created is being removed.
	PhaseCleaningUp Phase = "clearing"
	// PhaseRolledBack: the plan's From serves the tenant as before. This phase is final.
	PhaseRolledBack Phase = "taken back"
)

// Phases are all phases, in order.
var Phases = []Phase{
	PhasePlanned, PhaseChecked, PhaseCopying, PhaseCatchingUp, PhaseFencing, PhaseVerifying, PhaseSwitched,
	PhaseAccepted, PhaseCompleted, PhaseCleaningUp, PhaseRolledBack,
}

// rollbackEffects describe the effect of a rollback in each phase. docs/moves.md repeats these texts.
var rollbackEffects = map[Phase]string{
	PhasePlanned:    "nothing was begun: the move ends",
	PhaseChecked:    "nothing was changed: the move ends",
	PhaseCopying:    "the subscription, its slot and the publication are dropped and the copy at the new home is emptied; clients notice nothing",
	PhaseCatchingUp: "the subscription, its slots and the publications are dropped and the copy at the new home is emptied; clients notice nothing",
	PhaseFencing:    "the old home opens again and the pause ends; then as from catching up",
	PhaseVerifying:  "the old home opens again and the pause ends; then as from catching up",
	PhaseSwitched: "the tenant is paused once more, the old home takes in the new one's last write, both are held against each other, and the old " +
		"home opens: no commit is lost",
	PhaseAccepted:   "there is no way back by this move: the old home is fed no longer; order a move the other way",
	PhaseCompleted:  "there is no way back by this move: order a move the other way",
	PhaseCleaningUp: "it is being taken back already",
	PhaseRolledBack: "it was taken back",
}

// RollbackEffect describes, for operators, the effect of a rollback in a phase.
func (p Phase) RollbackEffect() string { return rollbackEffects[p] }

// isPaused reports whether the tenant's writes are paused in a phase.
func (p Phase) isPaused() bool { return p == PhaseFencing || p == PhaseVerifying }

// canRollBack reports whether a rollback changes anything in a phase.
func (p Phase) canRollBack() bool {
	switch p {
	case PhaseAccepted, PhaseCompleted, PhaseCleaningUp, PhaseRolledBack:
		return false
	}
	return true
}
