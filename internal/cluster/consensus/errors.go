package consensus

import (
	"fmt"
	"time"
)

// Refused is a proposal that the log's leader, or the log, did not take.
type Refused struct{ Why string }

func (e *Refused) Error() string { return "refused: " + e.Why }

// Code is the reason in a word.
func (e *Refused) Code() string { return "proposal_refused" }

// Advice says what an operator can do.
func (e *Refused) Advice() string {
	return "change the rules, or the limits of all poolers first; one that is not in force yet takes the stated time (ashstand cluster versions)"
}

// NoLeader is a proposal that nobody took in time.
type NoLeader struct {
	Waited time.Duration
	Err    error
}

func (e *NoLeader) Error() string {
	return fmt.Sprintf("no leader took it within %v; it may still come into the log: %v", e.Waited.Round(time.Millisecond), e.Err)
}

func (e *NoLeader) Unwrap() error { return e.Err }

// Code is the reason in a word.
func (e *NoLeader) Code() string { return "no_leader" }

// Advice says what an operator can do.
func (e *NoLeader) Advice() string {
	return "ashstand cluster versions at each voter: a majority must run and reach each other; look at what stands now before you try again"
}

// Ending is a pooler that stops.
type Ending struct{ Doubt bool }

func (e *Ending) Error() string {
	if e.Doubt {
		return "the pooler ends; what was asked for may still come into the log"
	}
	return "the pooler ends"
}

// Code is the reason in a word.
func (e *Ending) Code() string { return "pooler_ends" }

// Advice says what an operator can do.
func (e *Ending) Advice() string { return "ask another pooler; look at what stands now first" }

// NoFolder is a voter that was given nowhere to keep what it must not forget, or whose folder takes nothing now.
type NoFolder struct{ Name string }

func (e *NoFolder) Error() string {
	return "pooler " + e.Name + " has no folder that outlives its process and takes what is to be kept"
}

// Code is the reason in a word.
func (e *NoFolder) Code() string { return "no_folder" }

// Advice says what an operator can do.
func (e *NoFolder) Advice() string {
	return "name one in cluster.agreement.folder; where there is one, its disk is full or fails: see the log"
}
