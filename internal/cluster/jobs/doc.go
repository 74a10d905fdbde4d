// Package jobs is the replicated state machine of jobs that one pooler at a time carries out on behalf of all. It has no
// I/O, clock, logger or goroutine; whoever calls it passes the time in.
//
// Three parts use each other:
//
//   - StateMachine is the state that the log's entries lead to. It is the same on every replica that applied the same entries.
//   - Scheduler runs beside the log's leader. It watches lease holders and proposes the next one.
//   - Handler is what each kind of job implements: a pure decision what comes next, and the operations that act on database
//     hosts.
//
// Safety never rests on a clock. A lease says when to stop trying. The FencingToken is what rejects the operations of an
// earlier holder, in the log and at each database host (package fencing). An operation is announced in the log, executed, and
// confirmed. The next holder finds out whether an announced operation was executed before it goes on. docs/owner.md derives
// the times.
package jobs
