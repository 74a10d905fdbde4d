package migration

import (
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Operation is a transition of the state machine. Its values are stored in the replicated log. Each operation can be
// executed again by the next lease holder after it was executed in part or completely, with the same outcome.
type Operation string

// The operations. Those marked "log" act on the agreed rules or on nothing but the recorded state; the others act on the
// database hosts.
const (
	// OperationCheck looks for all that stands in the way, at both groups.
	OperationCheck Operation = "check"
	// OperationPublish makes the fences and a publication without tables.
	OperationPublish Operation = "publish"
	// OperationSubscribe makes the target's subscription; it begins an earlier copy anew.
	OperationSubscribe Operation = "subscribe"
	// OperationCopy hands further tables over to the subscription.
	OperationCopy Operation = "copy"
	// OperationTrack begins to track which ranges of keys change, and forgets what was tracked before.
	OperationTrack Operation = "mark"
	// OperationCompare compares some ranges of keys while the tenant is in use.
	OperationCompare Operation = "compare"
	// OperationPause pauses the tenant's writes in the rules (log).
	OperationPause Operation = "pause"
	// OperationFence fences the group that serves the tenant, once running writers have ended.
	OperationFence Operation = "close"
	// OperationVerify compares all that changed since it was found equal, while nobody writes.
	OperationVerify Operation = "verify"
	// OperationSwitch names the target in the rules (log) and then removes its fence.
	OperationSwitch Operation = "switch"
	// OperationReplicateBack makes a subscription of the previous group to the one that serves now.
	OperationReplicateBack Operation = "feed"
	// OperationReopen ends a pause without a switch: the rules name the source (log), then its fence is removed.
	OperationReopen Operation = "reopen"
	// OperationAccept records that an operator ended the way back (log).
	OperationAccept Operation = "accept"
	// OperationFinish removes what the migration built, the tables excepted.
	OperationFinish Operation = "finish"
	// OperationCleanUp removes what the migration built and empties the copy.
	OperationCleanUp Operation = "clear"
	// OperationCancel ends a migration that has built nothing (log).
	OperationCancel Operation = "end"
	// OperationHold records that nothing further is begun until an operator resumes (log).
	OperationHold Operation = "hold"
	// OperationResume ends a hold (log).
	OperationResume Operation = "resume"
	// OperationRollBack records that a switched migration is to be rolled back (log).
	OperationRollBack Operation = "back"
	// OperationDiscardApproval drops an approval that means nothing at this step, so that another can be given (log).
	OperationDiscardApproval Operation = "drop"
)

// transition is what an operation may do to the phase.
type transition struct {
	from []Phase // in which it is announced
	to   []Phase // that it may lead to
}

// unpausedPhases are those in which a migration can be held for as long as operators like.
var unpausedPhases = []Phase{PhasePlanned, PhaseChecked, PhaseCopying, PhaseCatchingUp, PhaseSwitched}

// transitions is the table of the state machine. An operation that may leave the phase as it is has that phase in both
// columns.
var transitions = map[Operation]transition{
	OperationCheck:           {from: []Phase{PhasePlanned}, to: []Phase{PhasePlanned, PhaseChecked}},
	OperationPublish:         {from: []Phase{PhaseChecked}, to: []Phase{PhaseChecked}},
	OperationSubscribe:       {from: []Phase{PhaseChecked, PhaseCopying, PhaseCatchingUp}, to: []Phase{PhaseCopying}},
	OperationCopy:            {from: []Phase{PhaseCopying}, to: []Phase{PhaseCopying}},
	OperationTrack:           {from: []Phase{PhaseCopying, PhaseCatchingUp, PhaseSwitched}, to: []Phase{PhaseCatchingUp, PhaseSwitched}},
	OperationCompare:         {from: []Phase{PhaseCatchingUp, PhaseSwitched}, to: []Phase{PhaseCatchingUp, PhaseSwitched}},
	OperationPause:           {from: []Phase{PhaseCatchingUp, PhaseSwitched}, to: []Phase{PhaseFencing}},
	OperationFence:           {from: []Phase{PhaseFencing, PhaseVerifying}, to: []Phase{PhaseFencing, PhaseVerifying}},
	OperationVerify:          {from: []Phase{PhaseVerifying}, to: []Phase{PhaseVerifying, PhaseFencing}},
	OperationSwitch:          {from: []Phase{PhaseVerifying}, to: []Phase{PhaseSwitched, PhaseCleaningUp, PhaseFencing}},
	OperationReplicateBack:   {from: []Phase{PhaseSwitched}, to: []Phase{PhaseSwitched}},
	OperationReopen:          {from: []Phase{PhaseFencing, PhaseVerifying}, to: []Phase{PhaseCatchingUp, PhaseSwitched, PhaseCleaningUp}},
	OperationAccept:          {from: []Phase{PhaseSwitched}, to: []Phase{PhaseAccepted}},
	OperationFinish:          {from: []Phase{PhaseAccepted}, to: []Phase{PhaseCompleted}},
	OperationCleanUp:         {from: []Phase{PhaseChecked, PhaseCopying, PhaseCatchingUp, PhaseCleaningUp}, to: []Phase{PhaseRolledBack}},
	OperationCancel:          {from: []Phase{PhasePlanned, PhaseChecked}, to: []Phase{PhaseRolledBack}},
	OperationHold:            {from: unpausedPhases, to: unpausedPhases},
	OperationResume:          {from: unpausedPhases, to: unpausedPhases},
	OperationRollBack:        {from: []Phase{PhaseSwitched}, to: []Phase{PhaseSwitched}},
	OperationDiscardApproval: {from: Phases, to: Phases},
}

// AllowedIn reports whether the operation may be announced in a phase.
func (o Operation) AllowedIn(phase Phase) bool { return slices.Contains(transitions[o].from, phase) }

// LeadsTo reports whether the operation may leave a migration in a phase.
func (o Operation) LeadsTo(phase Phase) bool { return slices.Contains(transitions[o].to, phase) }

// OperationData is what an operation is announced with. A field that an operation does not use is left out.
type OperationData struct {
	// At is when it was announced, in milliseconds by the clock of the lease holder whose token the operation carries.
	At float64 `json:"at"`
	// TimeoutMillis bounds how long the database hosts may take.
	TimeoutMillis float64 `json:"within,omitempty"`
	// Rows is about how many rows a copy hands over.
	Rows float64 `json:"rows,omitempty"`
	// EndBlockingSessions has a fence terminate the sessions that hold it up.
	EndBlockingSessions bool `json:"end,omitempty"`
	// Recopy has a subscribe or replicate-back drop what is there and begin anew.
	Recopy bool `json:"again,omitempty"`
	// Reverse is of a pause on the way back to the plan's From.
	Reverse bool `json:"reverse,omitempty"`
	// RollbackReason is why the migration is rolled back, of a reopen, clean-up, cancel, pause or roll-back.
	RollbackReason string `json:"back,omitempty"`
	// HoldReason is why the migration waits for an operator afterwards, of a hold or reopen.
	HoldReason string `json:"held,omitempty"`
	// Reason is why a pause is aborted, of a reopen; of a discard, the action of the approval.
	Reason string `json:"why,omitempty"`
	// FailedOver is of a track: either side failed over since the last one.
	FailedOver bool `json:"doubt,omitempty"`
	// LostCommits describes what a failover left behind.
	LostCommits string `json:"lost,omitempty"`
}

// Request is what an operation at the database hosts is executed under. Token and Number only rise: in the transaction
// that executes the operation, each host rejects a token lower than one it has seen for the job with a *jobs.FencedError,
// and under an equal token a lower number. The number fences off what the lease holder itself has given up and what
// arrives all the same.
type Request struct {
	Plan  Plan
	Job   string
	Token jobs.FencingToken
	// Number is the operation's.
	Number uint64
	// OperationID identifies the operation; see jobs.Operation.ID.
	OperationID string
	Operation   Operation
	// AnnouncedToken is the one under which the operation was announced.
	AnnouncedToken jobs.FencingToken
	// State is the state before the operation.
	State State
	Data  OperationData
}
