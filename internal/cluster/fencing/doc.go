// Package fencing runs SQL transactions on database hosts on behalf of jobs (package jobs). It connects to a group's
// primary, which it identifies by SQL alone. The first statement of each transaction raises the fencing token in the job's
// fence row, so that the database rejects a lease holder that has been replaced. The package retries no transaction.
package fencing
