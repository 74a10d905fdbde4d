package consensus

import (
	"fmt"
	"time"
)

// RejectedError reports a proposal that the leader rejected, or that was rejected when its log entry was
// applied.
type RejectedError struct{ Reason string }

// Error returns the message for operators.
func (e *RejectedError) Error() string { return "refused: " + e.Reason }

// Code returns a short, stable identifier of the error.
func (e *RejectedError) Code() string { return "proposal_refused" }

// Advice returns what an operator can do.
func (e *RejectedError) Advice() string {
	return "change the rules, or the limits of all poolers first; one that is not in force yet takes the stated time (ashstand cluster versions)"
}

// NoLeaderError reports a proposal that had no result in time. It may still be committed.
type NoLeaderError struct {
	Waited time.Duration
	Err    error // why the wait ended
}

// Error returns the message for operators.
func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("no leader took it within %v; it may still come into the log: %v", e.Waited.Round(time.Millisecond), e.Err)
}

// Unwrap returns the cause.
func (e *NoLeaderError) Unwrap() error { return e.Err }

// Code returns a short, stable identifier of the error.
func (e *NoLeaderError) Code() string { return "no_leader" }

// Advice returns what an operator can do.
func (e *NoLeaderError) Advice() string {
	return "ashstand cluster versions at each voter: a majority must run and reach each other; look at what stands now before you try again"
}

// ShutdownError reports a proposal at a pooler that shuts down.
type ShutdownError struct {
	MayHaveCommitted bool // the proposal was sent
}

// Error returns the message for operators.
func (e *ShutdownError) Error() string {
	if e.MayHaveCommitted {
		return "the pooler ends; what was asked for may still come into the log"
	}
	return "the pooler ends"
}

// Code returns a short, stable identifier of the error.
func (e *ShutdownError) Code() string { return "pooler_ends" }

// Advice returns what an operator can do.
func (e *ShutdownError) Advice() string { return "ask another pooler; look at what stands now first" }

// NoStorageError reports a voter that has no directory to persist its state in, or whose directory can't be
// written at present.
type NoStorageError struct{ Pooler string }

// Error returns the message for operators.
func (e *NoStorageError) Error() string {
	return "pooler " + e.Pooler + " has no folder that outlives its process and takes what is to be kept"
}

// Code returns a short, stable identifier of the error.
func (e *NoStorageError) Code() string { return "no_folder" }

// Advice returns what an operator can do.
func (e *NoStorageError) Advice() string {
	return "name one in cluster.agreement.folder; where there is one, its disk is full or fails: see the log"
}

// LimitsError reports a version that is stricter than the limits, or has a rule that the limits lack. A
// pooler without a lease, which acts on its limits, would violate such a version.
type LimitsError struct{ Rule string }

// Error returns the message for operators.
func (e *LimitsError) Error() string {
	return e.Rule + " is stricter than the limits, which count without a lease, or stands in none"
}

// FormatError reports a version in a format that the programs of some lease holders can't read.
type FormatError struct {
	Poolers []string // the lease holders that can't read the format
	Format  int
}

// Error returns the message for operators.
func (e *FormatError) Error() string {
	return fmt.Sprintf("the programs of %v can't read format %d", e.Poolers, e.Format)
}

// PendingError reports a version that was proposed while another one is pending.
type PendingError struct{ Pending int }

// Error returns the message for operators.
func (e *PendingError) Error() string {
	return fmt.Sprintf("version %d is not in force yet", e.Pending)
}

// RuleChangeError reports a job entry with a change of the rules, of a type other than jobs.EntryAuthorize.
// Only that type may change rules.
type RuleChangeError struct{}

// Error returns the message for operators.
func (*RuleChangeError) Error() string { return "a change of rules by a work is its act" }

// StateError reports persisted or received state that can't be read.
type StateError struct{ Err error }

// Error returns the message for operators.
func (e *StateError) Error() string { return "the kept state can't be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Err }
