package consensus

import (
	"fmt"
	"time"
)

// RejectedError is a proposal that the log's leader, or the log, did not take.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return "refused: " + e.Reason }

// Code is the reason in a word.
func (e *RejectedError) Code() string { return "proposal_refused" }

// Advice says what an operator can do.
func (e *RejectedError) Advice() string {
	return "change the rules, or the limits of all poolers first; one that is not in force yet takes the stated time (ashstand cluster versions)"
}

// NoLeaderError is a proposal that nobody took in time.
type NoLeaderError struct {
	Waited time.Duration
	Err    error
}

func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("no leader took it within %v; it may still come into the log: %v", e.Waited.Round(time.Millisecond), e.Err)
}

func (e *NoLeaderError) Unwrap() error { return e.Err }

// Code is the reason in a word.
func (e *NoLeaderError) Code() string { return "no_leader" }

// Advice says what an operator can do.
func (e *NoLeaderError) Advice() string {
	return "ashstand cluster versions at each voter: a majority must run and reach each other; look at what stands now before you try again"
}

// ShutdownError is a pooler that stops.
type ShutdownError struct{ MayHaveCommitted bool }

func (e *ShutdownError) Error() string {
	if e.MayHaveCommitted {
		return "the pooler ends; what was asked for may still come into the log"
	}
	return "the pooler ends"
}

// Code is the reason in a word.
func (e *ShutdownError) Code() string { return "pooler_ends" }

// Advice says what an operator can do.
func (e *ShutdownError) Advice() string { return "ask another pooler; look at what stands now first" }

// NoStorageError is a voter that was given nowhere to keep what it must not forget, or whose folder takes nothing now.
type NoStorageError struct{ Pooler string }

func (e *NoStorageError) Error() string {
	return "pooler " + e.Pooler + " has no folder that outlives its process and takes what is to be kept"
}

// Code is the reason in a word.
func (e *NoStorageError) Code() string { return "no_folder" }

// Advice says what an operator can do.
func (e *NoStorageError) Advice() string {
	return "name one in cluster.agreement.folder; where there is one, its disk is full or fails: see the log"
}
