package consensus

import (
	"fmt"
	"time"
)

// RejectedError is a proposal that the leader, or the log, rejected.
type RejectedError struct{ Reason string }

// Error is the message for operators.
func (e *RejectedError) Error() string { return "refused: " + e.Reason }

// Code is a short, stable identifier of the error.
func (e *RejectedError) Code() string { return "proposal_refused" }

// Advice says what an operator can do.
func (e *RejectedError) Advice() string {
	return "change the rules, or the limits of all poolers first; one that is not in force yet takes the stated time (ashstand cluster versions)"
}

// NoLeaderError is a proposal that no leader took in time. It may still be committed.
type NoLeaderError struct {
	Waited time.Duration
	Err    error // why the wait ended
}

// Error is the message for operators.
func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("no leader took it within %v; it may still come into the log: %v", e.Waited.Round(time.Millisecond), e.Err)
}

// Unwrap is the cause.
func (e *NoLeaderError) Unwrap() error { return e.Err }

// Code is a short, stable identifier of the error.
func (e *NoLeaderError) Code() string { return "no_leader" }

// Advice says what an operator can do.
func (e *NoLeaderError) Advice() string {
	return "ashstand cluster versions at each voter: a majority must run and reach each other; look at what stands now before you try again"
}

// ShutdownError is a proposal at a pooler that shuts down.
type ShutdownError struct {
	MayHaveCommitted bool // the proposal was sent
}

// Error is the message for operators.
func (e *ShutdownError) Error() string {
	if e.MayHaveCommitted {
		return "the pooler ends; what was asked for may still come into the log"
	}
	return "the pooler ends"
}

// Code is a short, stable identifier of the error.
func (e *ShutdownError) Code() string { return "pooler_ends" }

// Advice says what an operator can do.
func (e *ShutdownError) Advice() string { return "ask another pooler; look at what stands now first" }

// NoStorageError is a voter that has no directory to persist its state in, or whose directory can't be written now.
type NoStorageError struct{ Pooler string }

// Error is the message for operators.
func (e *NoStorageError) Error() string {
	return "pooler " + e.Pooler + " has no folder that outlives its process and takes what is to be kept"
}

// Code is a short, stable identifier of the error.
func (e *NoStorageError) Code() string { return "no_folder" }

// Advice says what an operator can do.
func (e *NoStorageError) Advice() string {
	return "name one in cluster.agreement.folder; where there is one, its disk is full or fails: see the log"
}

// LimitsError is a version that is stricter than the limits, or has a rule that the limits lack: a pooler without a lease
// would break it.
type LimitsError struct{ Rule string }

// Error is the message for operators.
func (e *LimitsError) Error() string {
	return e.Rule + " is stricter than the limits, which count without a lease, or stands in none"
}

// FormatError is a version in a format that programs under lease can't read.
type FormatError struct {
	Poolers []string // that can't read it
	Format  int
}

// Error is the message for operators.
func (e *FormatError) Error() string {
	return fmt.Sprintf("the programs of %v can't read format %d", e.Poolers, e.Format)
}

// PendingError is a version that was proposed while another one is pending.
type PendingError struct{ Pending int }

// Error is the message for operators.
func (e *PendingError) Error() string {
	return fmt.Sprintf("version %d is not in force yet", e.Pending)
}

// RuleChangeError is a change of the rules that comes with an entry that may not make one.
type RuleChangeError struct{}

// Error is the message for operators.
func (*RuleChangeError) Error() string { return "a change of rules by a work is its act" }

// StateError is persisted or received state that can't be read.
type StateError struct{ Err error }

// Error is the message for operators.
func (e *StateError) Error() string { return "the kept state can't be read: " + e.Err.Error() }

// Unwrap is the cause.
func (e *StateError) Unwrap() error { return e.Err }
