package consensus

import (
	"maps"

	"ashstand/internal/cluster/jobs"
)

// maxCachedJobs is more than the state machine holds.
const maxCachedJobs = 160

// jobCache holds the jobs of the replicated state as a pooler learned of them. They may be out of date: they are for
// operators, and for the jobs whose lease this pooler holds. Nothing that is decided by them is safe without the fencing
// token.
type jobCache struct {
	epoch    uint64
	revision uint64              // up to which all changes are known
	byName   map[string]jobs.Job // replaced as a whole, never changed: a Lease refers to it
}

// merge takes jobs that changed. revision is up to which all changes are known with them; 0: they are known by themselves.
func (c *jobCache) merge(epoch uint64, list []jobs.Job, revision uint64) {
	if epoch == 0 || len(list) == 0 && epoch == c.epoch {
		return
	}
	next := map[string]jobs.Job{}
	if epoch == c.epoch {
		maps.Copy(next, c.byName)
	} else {
		c.epoch, c.revision = epoch, 0
	}
	for _, job := range list {
		if known, ok := next[job.Name]; !ok || job.Revision > known.Revision {
			next[job.Name] = job
		}
	}
	for len(next) > maxCachedJobs {
		delete(next, oldestJob(next)) // the state machine has dropped it, too
	}
	c.revision = max(c.revision, revision)
	c.byName = next
}

// oldestJob is the name of the job that changed first.
func oldestJob(byName map[string]jobs.Job) (oldest string) {
	for name, job := range byName {
		if oldest == "" || job.Revision < byName[oldest].Revision {
			oldest = name
		}
	}
	return oldest
}
