package consensus

import (
	"maps"

	"ashstand/internal/cluster/jobs"
)

// maxCachedJobs is greater than the number of jobs that the state machine holds.
const maxCachedJobs = 160

// jobCache holds the jobs of the replicated state as far as this pooler knows them. They may be out of date.
// They are shown to operators, and used for the jobs whose lease this pooler holds. A decision that is based
// on them is safe only together with the job's fencing token.
type jobCache struct {
	epoch    uint64
	revision uint64 // all changes up to this revision are known
	// byName is replaced as a whole and never modified, since a Lease refers to it.
	byName map[string]jobs.Job
}

// merge adds jobs that changed. With them, all changes up to revision are known; 0: the list says nothing of
// other jobs.
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
		delete(next, oldestJob(next)) // the state machine has dropped this job, too
	}
	c.revision = max(c.revision, revision)
	c.byName = next
}

// oldestJob returns the name of the job whose last change is the oldest.
func oldestJob(byName map[string]jobs.Job) (oldest string) {
	for name, job := range byName {
		if oldest == "" || job.Revision < byName[oldest].Revision {
			oldest = name
		}
	}
	return oldest
}
