package migration

import "fmt"

// PlanError describes one invalid value in a plan.
type PlanError struct {
	Key    string // in the plan
	Value  any    // nil if none was given
	Detail string // what is allowed
}

// Error describes the error in one sentence.
func (e *PlanError) Error() string {
	if e.Value == nil {
		return e.Key + ": " + e.Detail
	}
	return fmt.Sprintf("%s is %v: %s", e.Key, e.Value, e.Detail)
}

// Code returns the error code.
func (e *PlanError) Code() string { return "plan_malformed" }

// Advice describes what an operator can do.
func (e *PlanError) Advice() string {
	return "correct " + e.Key + " and order the move again; nothing was begun"
}

// TenantLockedError reports that another job migrates the tenant.
type TenantLockedError struct {
	Tenant string
	Job    string // the job that migrates it
}

// Error describes the error in one sentence.
func (e *TenantLockedError) Error() string {
	return "tenant " + e.Tenant + " is being moved by " + e.Job
}

// Code returns the error code.
func (e *TenantLockedError) Code() string { return "tenant_taken" }

// Advice describes what an operator can do.
func (e *TenantLockedError) Advice() string {
	return "let " + e.Job + " end, or take it back; then resume or order this one anew"
}

// UnreadableJobError reports that this version can't read a job's plan, state or operation, because a newer version wrote
// it.
type UnreadableJobError struct {
	Job string
	Err error
}

// Error describes the error in one sentence.
func (e *UnreadableJobError) Error() string {
	return "work " + e.Job + " can't be read: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnreadableJobError) Unwrap() error { return e.Err }

// Code returns the error code.
func (e *UnreadableJobError) Code() string { return "work_unreadable" }

// Advice describes what an operator can do.
func (e *UnreadableJobError) Advice() string { return "run the program that began it, or a newer one" }

// unknownOperationError names an operation that this version does not know.
type unknownOperationError Operation

func (e unknownOperationError) Error() string { return "there is no deed " + string(e) }

// cursorTooLongError reports a position in a copy or comparison that is longer than a state may hold.
type cursorTooLongError struct {
	bytes int
}

func (e *cursorTooLongError) Error() string {
	return fmt.Sprintf("a position of %d bytes to go on from, %d are the most", e.bytes, maxCursorBytes)
}
