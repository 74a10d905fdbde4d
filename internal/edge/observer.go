package edge

import (
	"ashstand/internal/dispatch"
	"ashstand/internal/sqlcomment"
)

// Observer is notified of every attempt at a host, once before and once after it. Its methods must not block.
type Observer interface {
	// AttemptStarted returns how many other attempts of this pooler are at the host.
	AttemptStarted(host string) (others int)
	AttemptFinished(Attempt)
}

// Attempt is what an observer learns of an attempt. Times are in milliseconds.
type Attempt struct {
	Statement          *sqlcomment.Statement // not to be retained
	Host               string
	ConcurrentAttempts int // at the host when this one started
	Outcome            dispatch.Outcome
	ResponseBytes      int     // length of the answer's value
	AcquireMillis      float64 // from the start until the request was written, or until the end
	ExecuteMillis      float64 // from the write until the answer; 0 if nothing was written
	FinishedAtMillis   float64
}
