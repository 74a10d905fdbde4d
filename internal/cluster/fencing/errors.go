package fencing

import (
	"errors"
	"fmt"
)

// ErrReplica reports that a host answered but is in recovery, and therefore accepts no writes.
var ErrReplica = errors.New("it is a replica")

// ErrNoHosts reports that discovery lists no host of a group.
var ErrNoHosts = errors.New("no host is listed")

// NoPrimaryError reports that no host of a group accepts writes.
type NoPrimaryError struct {
	Group    uint64
	Attempts []string // one per host tried: its name and error
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

// Advice tells operators what they can do.
func (e *NoPrimaryError) Advice() string {
	return "ashstand hosts shows the group; if other poolers reach its primary, the job goes to another lease holder by itself"
}

// InDoubtError reports an action whose connection failed, so that it is unknown whether the action was executed.
type InDoubtError struct {
	Host   string
	Action string
	Err    error
}

// Error implements error.
func (e *InDoubtError) Error() string { return e.Host + ": " + e.Action + ": " + e.Err.Error() }

// Unwrap returns the error of the connection.
func (e *InDoubtError) Unwrap() error { return e.Err }

// Code returns the stable code that operators see.
func (e *InDoubtError) Code() string { return "in_doubt" }

// Advice tells operators what they can do.
func (e *InDoubtError) Advice() string {
	return "nothing: the lease holder finds out whether it was executed before it goes on; if that lasts, look at the link to the host"
}
