// Package jobs implements the replicated state machine of jobs. Each job is carried out by one pooler at a time on behalf of
// the cluster. The package performs no I/O, reads no clock, logs nothing and starts no goroutine; callers pass the time in.
//
// It has three parts:
//
//   - StateMachine is the state that results from the log's entries. Replicas that applied the same entries hold the same
//     state.
//   - Scheduler runs beside the log's leader. It watches lease holders and proposes the next one.
//   - Handler is the interface that each kind of job implements: a pure function that decides what comes next, and the
//     operations that act on database hosts.
//
// Safety does not depend on clocks. A lease only tells its holder when to stop starting operations. Operations of an earlier
// holder are rejected by their FencingToken, in the log and at each database host (package fencing). An operation is announced
// in the log, then executed, then confirmed. Before a new holder continues, it finds out whether an announced operation was
// executed. docs/owner.md derives the lease times.
package jobs
