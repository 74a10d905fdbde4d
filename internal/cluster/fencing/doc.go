// Package fencing acts on database hosts on behalf of jobs (package jobs): it connects to a group's primary, by SQL alone,
// and puts each transaction behind the fence row of the job, which rejects a lease holder that has been replaced. It retries
// nothing by itself.
package fencing
