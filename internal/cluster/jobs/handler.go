package jobs

import (
	"context"
	"encoding/json"
)

// Handler implements one kind of job. What comes next is decided without I/O; the operations stand beside it.
type Handler interface {
	// Next decides what comes after the last confirmed operation. It is pure: now is in milliseconds, observation is what
	// Observe returned last (nil: nothing yet).
	Next(now float64, job *Job, observation any) Decision
	// Observe looks at the database hosts concerned without changing anything, as far as the job's state calls for it. ctx
	// ends with the lease. An error means that no host answered.
	Observe(ctx context.Context, job *Job) (observation any, err error)
	// Execute executes an announced operation behind the fence of each host on which it acts, and returns what the job's
	// state is then. A *FencedError says that a host has seen a higher token.
	Execute(ctx context.Context, job *Job, operation *Operation) (Result, error)
	// Recover finds out whether an operation in doubt was executed. If it was not, what was left of it is cleaned up, so
	// that it can be announced anew.
	Recover(ctx context.Context, job *Job, operation *Operation) (executed bool, result Result, err error)
}

// Result is what an executed operation leaves.
type Result struct {
	State    json.RawMessage
	Finished bool
	Reason   string // why the job finished
}

// Decision is what a handler wants next.
type Decision struct {
	OperationName    string          // to be announced and executed; "": nothing for now
	Data             json.RawMessage // of the operation
	Approval         *Approval       // that the operation uses; nil: none
	RetryAfterMillis float64         // decide again after so long; 0: at the poll interval
	Reason           string          // what is waited for, for operators
	Options          []ApprovalOption
}

// ApprovalOption is an action that an operator could approve now, and what it would do. Its JSON form is shown to operators.
type ApprovalOption struct {
	Action     string `json:"say"`
	Effect     string `json:"does"`
	Persistent bool   `json:"lasting,omitempty"`
}
