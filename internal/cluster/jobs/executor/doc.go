// Package executor carries out the jobs whose lease this pooler holds: it announces an operation in the log, has the job's
// handler execute it, and confirms it. It acts only while the lease runs; what rejects an earlier holder is the fencing token,
// at each database host.
//
// An Executor owns one goroutine that follows the log, and one for each job that this pooler holds. Stop waits for all of
// them.
package executor
