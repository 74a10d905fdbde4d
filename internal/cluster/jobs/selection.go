package jobs

import (
	"cmp"
	"math"
	"slices"
)

// loadSteps is the number of steps to which the load of candidates is rounded for comparison.
const loadSteps = 10

// selection chooses job holders from the candidates of one tick.
type selection struct {
	now           float64
	candidates    []Candidate
	settledMillis float64
	assignedJobs  map[string]int // by pooler, including assignments proposed in this tick
}

// leaseOf returns the holder of a job, or nil if the holder's lease has expired.
func (s *selection) leaseOf(job *Job) *Candidate {
	i := slices.IndexFunc(s.candidates, func(c Candidate) bool {
		return c.Name == job.Holder && c.Incarnation == job.Incarnation && c.LeaseUntil > s.now
	})
	if i < 0 {
		return nil
	}
	return &s.candidates[i]
}

// best returns the best eligible candidate. ok is false if there is none.
func (s *selection) best(job *Job, watch *holderWatch) (best Candidate, ok bool) {
	for _, candidate := range s.candidates {
		if s.isEligible(job, watch, &candidate) && (!ok || s.compare(job, watch, &candidate, &best) < 0) {
			best, ok = candidate, true
		}
	}
	return best, ok
}

func (s *selection) isEligible(job *Job, watch *holderWatch, c *Candidate) bool {
	if c.LeaseUntil <= s.now || !c.Report.AcceptsJobs || !slices.Contains(c.Report.Kinds, job.Kind) {
		return false
	}
	if watch.stalls[c.Name].backoffUntil > s.now {
		return false
	}
	holdsOrReleased := c.Incarnation == job.Incarnation && job.Incarnation != 0
	return !holdsOrReleased
}

// compare orders candidates, the better one first. Obstacles to completing the job come first: groups that the candidate
// can't reach, storage that is not writable, earlier stalls on this job. The other criteria are preferences.
func (s *selection) compare(job *Job, watch *holderWatch, a, b *Candidate) int {
	x, y := &a.Report, &b.Report
	return cmp.Or(
		cmp.Compare(countRequired(job, y.ReachableGroups), countRequired(job, x.ReachableGroups)),
		compareBool(x.Healthy, y.Healthy),
		cmp.Compare(watch.stalls[a.Name].count, watch.stalls[b.Name].count),
		compareBool(x.UptimeMillis >= s.settledMillis, y.UptimeMillis >= s.settledMillis),
		cmp.Compare(s.assignedJobs[a.Name], s.assignedJobs[b.Name]),
		cmp.Compare(countRequired(job, y.LocalGroups), countRequired(job, x.LocalGroups)),
		cmp.Compare(math.Round(x.Load*loadSteps), math.Round(y.Load*loadSteps)),
		cmp.Compare(y.UptimeMillis, x.UptimeMillis),
		cmp.Compare(a.Name, b.Name),
	)
}

// countRequired counts how many of the groups that a job requires are in groups.
func countRequired(job *Job, groups []uint64) (count int) {
	for _, required := range job.RequiredGroups {
		if slices.Contains(groups, required) {
			count++
		}
	}
	return count
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
