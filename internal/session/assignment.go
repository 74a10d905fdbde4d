package session

import "fmt"

// Assignment is what the agreed rules currently say about a tenant, that is, a database by the name that
// clients use. The zero value means that the rules do not mention the tenant, and the pool's own group serves
// it.
type Assignment struct {
	Group uint64
	// HasGroup is set if the rules name a group; Group is valid only then.
	HasGroup bool
	// Undecided is set while two versions of the rules that name different groups are both in use, or while
	// this pooler has no lease. Tenants.Admit then rejects the tenant's transactions, or queues them if the
	// tenant is paused. Statistics show the state as fenced.
	Undecided bool
	// Paused is set if new transactions have to wait.
	Paused bool
	// PausedSince is the time at which this pooler learned of the pause, in clock milliseconds.
	PausedSince float64
}

// Equal reports whether both assignments have the same effect on a transaction. It ignores PausedSince.
func (a Assignment) Equal(other Assignment) bool {
	a.PausedSince, other.PausedSince = 0, 0
	return a == other
}

// GroupFor returns the group that runs a transaction with the given route. If the rules name no group, or the
// assignment is Undecided, it is the route's group; else it is the group that the rules name. If the query's
// comment names another group than the rules do, GroupFor returns a *GroupMismatchError, because the transaction
// would write to a group that does not serve the database.
func (a Assignment) GroupFor(database string, route *Route) (group uint64, err error) {
	if !a.HasGroup || a.Undecided {
		return route.Group, nil
	}
	if route.HasGroup && route.Group != a.Group {
		return 0, &GroupMismatchError{Database: database, Assigned: a.Group, Requested: route.Group}
	}
	return a.Group, nil
}

// GroupMismatchError reports that a query's comment names another group than the one that serves the
// database.
type GroupMismatchError struct {
	Database            string
	Assigned, Requested uint64
}

// Error returns a message that names the database and both groups.
func (e *GroupMismatchError) Error() string {
	return fmt.Sprintf("the comment's cluster is %d, but database %q is at %d", e.Requested, e.Database, e.Assigned)
}

// Code returns the stable identifier of the error.
func (e *GroupMismatchError) Code() string { return "home_contradicted" }

// Advice tells the user how to resolve the error.
func (e *GroupMismatchError) Advice() string {
	return "leave cluster= out of the comment: the pooler knows where the database is"
}
