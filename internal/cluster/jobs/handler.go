package jobs

import (
	"context"
	"encoding/json"
)

// Handler implements one kind of job. Next decides without I/O; the other methods access database hosts.
type Handler interface {
	// Next decides what to do after the last confirmed operation. It is a pure function. now is in milliseconds. observation
	// is what Observe returned last, or nil if it has not returned anything since the last operation.
	Next(now float64, job *Job, observation any) Decision
	// Observe reads from database hosts what Next needs in the job's current state. It changes nothing. ctx ends with the
	// lease. An error means that no host answered.
	Observe(ctx context.Context, job *Job) (observation any, err error)
	// Execute executes an announced operation under the fencing token of the job, which each host that it acts on checks. It
	// returns the job's state after the operation. A *FencedError means that a host has seen a higher token.
	Execute(ctx context.Context, job *Job, operation *Operation) (Result, error)
	// Recover finds out whether an operation in doubt was executed. If it was not, Recover cleans up what the attempt left
	// behind, so that the operation can be announced again.
	Recover(ctx context.Context, job *Job, operation *Operation) (executed bool, result Result, err error)
}

// Result is the outcome of an executed operation.
type Result struct {
	State    json.RawMessage
	Finished bool
	Reason   string // why the job finished
}

// Decision is what a handler decided to do next.
type Decision struct {
	OperationName    string          // operation to announce and execute; "": none for now
	Data             json.RawMessage // data of the operation
	Approval         *Approval       // approval that the operation uses; nil: none
	RetryAfterMillis float64         // delay until the next decision; 0: the poll interval
	Reason           string          // what the job waits for, shown to operators
	Options          []ApprovalOption
}

// ApprovalOption is an action that an operator could approve now, with its effect. Its JSON form is shown to operators.
type ApprovalOption struct {
	Action     string `json:"say"`
	Effect     string `json:"does"`
	Persistent bool   `json:"lasting,omitempty"`
}
