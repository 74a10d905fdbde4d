package session

import "fmt"

// Assignment is what the agreed rules say at a moment of a database as clients name it, a tenant. Its zero value says
// nothing: the pool's own group serves it.
type Assignment struct {
	Group    uint64
	HasGroup bool // the rules name the group
	// Undecided is set while two versions of the rules meet that name different groups, or without a lease.
	Undecided bool
	// Paused has new transactions wait.
	Paused bool
	// PausedSince is when this pooler received the pause, in clock milliseconds.
	PausedSince float64
}

// Equal reports whether both mean the same for a transaction.
func (a Assignment) Equal(other Assignment) bool {
	a.PausedSince, other.PausedSince = 0, 0
	return a == other
}

// GroupFor returns the group to which a transaction goes that was routed by route. A comment that names another group
// than the rules do is a *GroupMismatchError: the transaction would write where the database is not.
func (a Assignment) GroupFor(database string, route *Route) (group uint64, err error) {
	if !a.HasGroup || a.Undecided {
		return route.Group, nil
	}
	if route.HasGroup && route.Group != a.Group {
		return 0, &GroupMismatchError{Database: database, Assigned: a.Group, Requested: route.Group}
	}
	return a.Group, nil
}

// GroupMismatchError says that a comment names another group than the one that serves the database.
type GroupMismatchError struct {
	Database            string
	Assigned, Requested uint64
}

// Error names the database and both groups.
func (e *GroupMismatchError) Error() string {
	return fmt.Sprintf("the comment's cluster is %d, but database %q is at %d", e.Requested, e.Database, e.Assigned)
}

// Code is the reason.
func (e *GroupMismatchError) Code() string { return "home_contradicted" }

// Advice says what can be done.
func (e *GroupMismatchError) Advice() string {
	return "leave cluster= out of the comment: the pooler knows where the database is"
}
