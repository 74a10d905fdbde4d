package jobs

import (
	"context"
	"encoding/json"
)

// Handler is what works of one kind are: what comes next is decided without I/O, and what acts on places stands beside it.
type Handler interface {
	// Next says what comes after what is proven. It is pure: now is in milliseconds, seen is what Watch returned last
	// (nil: nothing yet).
	Next(now float64, w *Job, seen any) Decision
	// Watch looks at the places concerned without changing anything, as far as the work's state calls for it. ctx ends
	// with the lease. An error means that nothing was reached.
	Observe(ctx context.Context, w *Job) (seen any, err error)
	// Do does a deed that was announced, behind the fence of each place that it acts on, and returns the proof: what the
	// work's state is now. A *Fenced error says that a place knows a higher token.
	Execute(ctx context.Context, w *Job, d *Operation) (Result, error)
	// Look finds out whether a deed that is in doubt was done. Where it was not, what was left of it is cleared, so that
	// it can be announced anew.
	Recover(ctx context.Context, w *Job, d *Operation) (done bool, p Result, err error)
}

// Result is what a deed that was done leaves.
type Result struct {
	State    json.RawMessage
	Finished bool
	Reason   string // it ended so
}

// Decision is what a kind wants next.
type Decision struct {
	OperationName    string           // to be announced and done; "": nothing for now
	Data             json.RawMessage  // of the deed
	Approval         *Approval        // the operator's word that the deed takes up; nil: none
	RetryAfterMillis float64          // look again after so many milliseconds; 0: at the pace
	Reason           string           // what is waited for, for operators
	Options          []ApprovalOption // the words that could be given now
}

// ApprovalOption is a word that an operator could give, and what it would do.
type ApprovalOption struct {
	Action     string `json:"say"`
	Effect     string `json:"does"`
	Persistent bool   `json:"lasting,omitempty"`
}

// FencedError is a place that refuses a token, since it has seen a higher one.
type FencedError struct {
	Target    string
	Presented FencingToken
	Current   FencingToken
}

func (f *FencedError) Error() string {
	return "fenced: " + f.Target + " has seen a later owner's token"
}

// Code is the reason in a word.
func (f *FencedError) Code() string { return "fenced" }

// Advice says what an operator can do.
func (f *FencedError) Advice() string {
	return "nothing, unless the cluster was newly founded: then its owner gets a higher token by itself; the place holds " + f.Target
}
