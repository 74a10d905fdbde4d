// Package consensus decides which version of the agreed configuration a pooler acts on, so that no two
// poolers act on rules that contradict each other.
//
// Versions are entries of a log that is replicated among a few named voters; etcd's raft library keeps its
// order. All poolers, voters or not, act on versions under leases that the log's leader grants. A version
// that was committed to the log is pending: whoever holds a lease acts on the stricter of the active and the
// pending version. Once every pooler whose lease may still be running has confirmed it, the leader commits
// its activation. Without a lease a pooler falls back to its configured limits, than which no version may be
// stricter. The log also orders the entries about jobs, whose state machine and scheduler are those of
// package jobs.
//
// The package has no I/O, clock, logger or goroutine: its caller passes messages and the time to a Node, and
// the Node's Output says what to save and what to send. Package runner drives a Node in a process; the
// testbed drives many of them under a simulated clock. A Node is deterministic: equal seeds, times and
// messages give equal outputs.
//
// The files by concern: node.go is the Node and its interface, client.go its requests to the leader, raft.go
// the replica of the log, state.go the state machine that applies the log's entries. leader.go, grants.go,
// voters.go and scheduling.go are the leader's part. message.go and codec.go define the messages between
// poolers, command.go the content of log entries, persist.go the state that a voter saves. lease.go,
// version.go and rules.go define the rules that a pooler acts on. docs/agreement.md derives the time bounds.
package consensus
