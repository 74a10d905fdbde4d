package fencing

import (
	"errors"
	"fmt"
)

// ErrReplica says that a host answered but is in recovery, and so takes no writes.
var ErrReplica = errors.New("it is a replica")

// ErrNoHosts says that discovery lists no host of a group.
var ErrNoHosts = errors.New("no host is listed")

// NoPrimaryError is a group none of whose hosts takes writes.
type NoPrimaryError struct {
	Group    uint64
	Attempts []string // hosts, each with its error
	Err      error    // of the last attempt
}

// Error implements error.
func (e *NoPrimaryError) Error() string {
	return fmt.Sprintf("group %d: no host takes writes (%d attempts): %v", e.Group, len(e.Attempts), e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *NoPrimaryError) Unwrap() error { return e.Err }

// Code returns the stable code that operators see.
func (e *NoPrimaryError) Code() string { return "no_primary" }

// Advice says what an operator can do.
func (e *NoPrimaryError) Advice() string {
	return "ashstand hosts shows the group; if other poolers reach its primary, the job goes to another lease holder by itself"
}

// InDoubtError is an action whose connection broke: whether it was executed is unknown.
type InDoubtError struct {
	Host   string
	Action string
	Err    error
}

// Error implements error.
func (e *InDoubtError) Error() string { return e.Host + ": " + e.Action + ": " + e.Err.Error() }

// Unwrap returns what broke the connection.
func (e *InDoubtError) Unwrap() error { return e.Err }

// Code returns the stable code that operators see.
func (e *InDoubtError) Code() string { return "in_doubt" }

// Advice says what an operator can do.
func (e *InDoubtError) Advice() string {
	return "nothing: the lease holder finds out whether it was executed before it goes on; if that lasts, look at the link to the host"
}
