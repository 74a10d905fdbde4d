package migration

import (
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Operation is a transition of the state machine. Its values are stored in the replicated log. Operations are idempotent:
// the next lease holder can execute one again after it was executed in part or completely, with the same outcome.
type Operation string

// Operations marked "log" act on the agreed rules or only on the recorded state. The others act on the database hosts.
const (
	// OperationCheck looks at both groups for everything that prevents the migration.
	OperationCheck Operation = "check"
	// OperationPublish creates the fences and a publication without tables.
	OperationPublish Operation = "publish"
	// OperationSubscribe creates the target's subscription. It restarts an earlier copy.
	OperationSubscribe Operation = "subscribe"
	// OperationCopy adds more tables to the subscription.
	OperationCopy Operation = "copy"
	// OperationTrack starts to record which ranges of keys change, and discards earlier records.
	OperationTrack Operation = "mark"
	// OperationCompare compares some ranges of keys while the tenant is in use.
	OperationCompare Operation = "compare"
	// OperationPause pauses the tenant's writes in the rules (log).
	OperationPause Operation = "pause"
	// OperationFence fences the group that serves the tenant, once running writers have ended.
	OperationFence Operation = "close"
	// OperationVerify compares all ranges that changed since they were found equal, while nobody writes.
	OperationVerify Operation = "verify"
	// OperationSwitch assigns the tenant to the target in the rules (log), then removes the target's fence.
	OperationSwitch Operation = "switch"
	// OperationReplicateBack subscribes the group that served the tenant before to the one that serves it now.
	OperationReplicateBack Operation = "feed"
	// OperationReopen ends a pause without a switch: it assigns the tenant to the source in the rules (log), then removes
	// the source's fence.
	OperationReopen Operation = "reopen"
	// OperationAccept records that an operator accepted the migration, which ends the replication back (log).
	OperationAccept Operation = "accept"
	// OperationFinish removes what the migration created, except the tables.
	OperationFinish Operation = "finish"
	// OperationCleanUp removes what the migration created and empties the copy.
	OperationCleanUp Operation = "clear"
	// OperationCancel ends a migration that has created nothing (log).
	OperationCancel Operation = "end"
	// OperationHold records that the migration starts nothing further until an operator resumes it (log).
	OperationHold Operation = "hold"
	// OperationResume ends a hold (log).
	OperationResume Operation = "resume"
	// OperationRollBack records that a switched migration is to be rolled back (log).
	OperationRollBack Operation = "back"
	// OperationDiscardApproval discards an approval that has no effect at this step, so that another can be given (log).
	OperationDiscardApproval Operation = "drop"
)

// transition describes how an operation may change the phase.
type transition struct {
	from []Phase // phases in which the operation may be announced
	to   []Phase // phases that it may lead to
}

// unpausedPhases are the phases in which a migration can be held without a time limit.
var unpausedPhases = []Phase{PhasePlanned, PhaseChecked, PhaseCopying, PhaseCatchingUp, PhaseSwitched}

// transitions is the transition table of the state machine. An operation that may keep the phase has that phase in both
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

// LeadsTo reports whether a migration may be in a phase after the operation.
func (o Operation) LeadsTo(phase Phase) bool { return slices.Contains(transitions[o].to, phase) }

// OperationData holds the parameters with which an operation is announced. Fields that an operation does not use are empty.
type OperationData struct {
	// At is when the operation was announced, in milliseconds by the clock of the lease holder whose token it carries.
	At float64 `json:"at"`
	// TimeoutMillis bounds how long the database hosts may take.
	TimeoutMillis float64 `json:"within,omitempty"`
	// Rows is the approximate number of rows that a copy adds.
	Rows float64 `json:"rows,omitempty"`
	// EndBlockingSessions makes a fence terminate the sessions that block it.
	EndBlockingSessions bool `json:"end,omitempty"`
	// Recopy makes a subscribe or replicate-back drop the existing subscription and copy and start again.
	Recopy bool `json:"again,omitempty"`
	// Reverse is set for a pause that moves the tenant back to the plan's From.
	Reverse bool `json:"reverse,omitempty"`
	// RollbackReason is why the migration is rolled back. A reopen, clean-up, cancel, pause or roll-back may set it.
	RollbackReason string `json:"back,omitempty"`
	// HoldReason is why the migration waits for an operator afterwards. A hold or reopen may set it.
	HoldReason string `json:"held,omitempty"`
	// Reason is why a reopen aborts the pause, or the action of the approval that a discard removes.
	Reason string `json:"why,omitempty"`
	// FailedOver is set for a track if either group failed over since the previous track.
	FailedOver bool `json:"doubt,omitempty"`
	// LostCommits describes the commits that a failover lost.
	LostCommits string `json:"lost,omitempty"`
}

// Request is the context in which an operation is executed at the database hosts. Token and Number never decrease: in the
// transaction that executes the operation, each host rejects a token lower than one it has seen for the job, and under an
// equal token a lower number, with a *jobs.FencedError. The number fences off late requests of an operation that the lease
// holder itself has given up.
type Request struct {
	Plan  Plan
	Job   string
	Token jobs.FencingToken
	// Number is the operation's number.
	Number uint64
	// OperationID identifies the operation; see jobs.Operation.ID.
	OperationID string
	Operation   Operation
	// AnnouncedToken is the token under which the operation was announced.
	AnnouncedToken jobs.FencingToken
	// State is the state before the operation.
	State State
	Data  OperationData
}
