package sql

import (
	"fmt"
	"strings"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// SQLSTATEs that operations act on.
const (
	codeUniqueViolation    = "23505"
	codeDuplicateSchema    = "42P06"
	codeDuplicateTable     = "42P07"
	codeUndefinedObject    = "42704"
	codeObjectInUse        = "55006"
	codeLockNotAvailable   = "55P03"
	codeQueryCanceled      = "57014"
	codeTenantNotWriteable = "55000" // object_not_in_prerequisite_state, raised by the gate's trigger
)

// sqlState returns the SQLSTATE that a host answered with, "" where the error is not a host's.
func sqlState(err error) string {
	if serverError, ok := fencing.ServerError(err); ok {
		return serverError.Code
	}
	return ""
}

// StatementError is a statement that the database rejected. The transaction was rolled back.
type StatementError struct {
	Group  migration.Group
	Action string
	Err    error
}

// Error describes it in one line.
func (e *StatementError) Error() string {
	return fmt.Sprintf("group %d: %s: %v", e.Group, e.Action, e.Err)
}

// Unwrap returns the database's error.
func (e *StatementError) Unwrap() error { return e.Err }

// Code is the stable name of the error.
func (e *StatementError) Code() string { return "place_refused" }

// Advice says what an operator can do.
func (e *StatementError) Advice() string {
	return "it is retried; if the database keeps rejecting it, correct what its message names, or roll the migration back"
}

// OperationSettledError is an operation that was settled before it arrived. It changed nothing.
type OperationSettledError struct {
	Target      string
	Presented   uint64 // number of the operation
	MinAccepted uint64 // lowest number that the target accepts
}

// Error describes it in one line.
func (e *OperationSettledError) Error() string {
	return fmt.Sprintf("%s: operation %d is settled, the first that is accepted is %d", e.Target, e.Presented, e.MinAccepted)
}

// Code is the stable name of the error.
func (e *OperationSettledError) Code() string { return "deed_passed" }

// Advice says what an operator can do.
func (e *OperationSettledError) Advice() string {
	return "nothing: it arrived late and changed nothing"
}

// WritersActiveError is a wait for running writers that timed out.
type WritersActiveError struct {
	Sessions []migration.BlockingSession
}

// Error describes it in one line.
func (e *WritersActiveError) Error() string {
	var text strings.Builder
	text.WriteString("writers did not end")
	for i := range e.Sessions {
		text.WriteString("; " + e.Sessions[i].Error())
	}
	return text.String()
}

// Code is the stable name of the error.
func (e *WritersActiveError) Code() string { return "writers_stay" }

// Advice says what an operator can do.
func (e *WritersActiveError) Advice() string {
	return "wait for these sessions, or end them with pg_terminate_backend"
}

// ReplicationLagError is a target that did not apply the source's log in time.
type ReplicationLagError struct {
	Required, Applied migration.LSN
}

// Error describes it in one line.
func (e *ReplicationLagError) Error() string {
	return fmt.Sprintf("the target has applied %v of %v", e.Applied, e.Required)
}

// Code is the stable name of the error.
func (e *ReplicationLagError) Code() string { return "behind" }

// Advice says what an operator can do.
func (e *ReplicationLagError) Advice() string {
	return "nothing if its load passes; otherwise look at the subscription's errors at the target (pg_stat_subscription_stats)"
}

// wrapError gives an error of a group's primary a type, unless it has one with a code.
func wrapError(err error, group migration.Group, action string) error {
	if err == nil {
		return nil
	}
	return fencing.WrapUncoded(err, func(err error) error {
		if _, rejected := fencing.ServerError(err); rejected {
			return &StatementError{Group: group, Action: action, Err: err}
		}
		return &fencing.InDoubtError{Host: groupName(group), Action: action, Err: err}
	})
}

func groupName(group migration.Group) string {
	return fmt.Sprint("group ", group)
}
