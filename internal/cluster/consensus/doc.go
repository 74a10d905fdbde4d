// Package consensus decides which version of the agreed configuration a pooler acts on, so that no two poolers act on
// rules that contradict each other.
//
// Versions are entries of a log that is replicated among a few named voters; etcd's raft library keeps its order. All
// poolers, voters or not, act on versions under leases that the log's leader grants. A version that was committed to the
// log is pending: whoever holds a lease acts on the stricter of the active and the pending version. Once every pooler
// whose lease may still be running has confirmed it, the leader commits its activation. Without a lease a pooler falls
// back to its configured limits, than which no version may be stricter. The log also orders the entries about jobs, whose
// state machine and scheduler are those of package jobs.
//
// The package has no I/O, clock, logger or goroutine: a Node is given messages and the time, and its Output says what to
// save and what to send. Package runner drives a Node in a process; the testbed drives many of them under a simulated
// clock. Equal seeds, times and messages give equal outputs.
//
// The files by concern: node.go is the Node and its interface, client.go its requests to the leader, raft.go the replica of
// the log, state.go what the log's entries amount to, leader.go, grants.go, voters.go and scheduling.go the leader's part.
// message.go and codec.go are what poolers send each other, command.go what the log holds, persist.go what a voter saves.
// lease.go, version.go and rules.go are what a pooler acts on. docs/agreement.md derives the times.
package consensus
