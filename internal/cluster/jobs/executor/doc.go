// Package executor carries out the jobs whose lease this pooler holds. It announces an operation in the log, has the job's
// handler execute it, and confirms it. It starts operations only while the lease is valid. Operations of an earlier holder
// are rejected by their fencing token at each database host.
//
// An Executor owns one goroutine that follows the log, and one for each job that this pooler holds. Stop waits for all of
// them.
package executor
