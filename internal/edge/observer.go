package edge

import (
	"ashstand/internal/dispatch"
	"ashstand/internal/sqlcomment"
)

// Observer is notified of every attempt at a host, once before and once after it. Its methods must not block.
type Observer interface {
	// AttemptStarted returns how many other attempts of this pooler are in flight at the host.
	AttemptStarted(host string) (others int)
	AttemptFinished(Attempt)
}

// Attempt describes a finished attempt to an observer. Times are in milliseconds.
type Attempt struct {
	Statement          *sqlcomment.Statement // must not be retained
	Host               string
	ConcurrentAttempts int // other attempts in flight at the host when this one started
	Outcome            dispatch.Outcome
	ResponseBytes      int     // length of the answer's value
	AcquireMillis      float64 // from the start until the request was written, or until the end
	ExecuteMillis      float64 // from the write until the answer; 0 if nothing was written
	FinishedAtMillis   float64
}
