package jobs

import "math"

// Report is what a pooler reports about itself with each renewal of its lease. Its JSON form is sent: keys never change.
type Report struct {
	Kinds           []string          `json:"kinds,omitempty"`   // kinds of jobs that it implements; none: it is assigned no jobs
	AcceptsJobs     bool              `json:"willing,omitempty"` // false: it is shutting down
	Healthy         bool              `json:"sound,omitempty"`   // its storage is writable
	Zone            string            `json:"zone,omitempty"`
	UptimeMillis    float64           `json:"up,omitempty"`
	Load            float64           `json:"load,omitempty"`     // fraction of its capacity, 0 to 1
	ReachableGroups []uint64          `json:"reach,omitempty"`    // groups whose primary answered it recently
	LocalGroups     []uint64          `json:"near,omitempty"`     // reachable groups in its own zone
	Progress        map[string]uint64 `json:"progress,omitempty"` // by job that it holds; rises with each answer of a database host
	HighestToken    FencingToken      `json:"seen,omitempty"`     // highest token in its storage
}

// Candidate is a pooler whose lease may still be valid.
type Candidate struct {
	Name        string
	Incarnation uint64
	LeaseUntil  float64 // by the leader's clock, with an allowance for clock drift
	Report      Report
}

// SchedulerConfig holds the scheduler's time limits.
type SchedulerConfig struct {
	StallMillis     float64 // a holder that makes no progress for this long is replaced
	MinTenureMillis float64 // a holder is not replaced for a stall before it has held the job for this long
	BackoffMillis   float64 // a holder that stalled is not eligible for this long; doubled with each further stall
	SettledMillis   float64 // uptime from which a process is preferred to recently started ones
	RetryMillis     float64 // delay until an assignment that did not reach the log is proposed again
}

// maxStalls bounds the doubling of SchedulerConfig.BackoffMillis.
const maxStalls = 6

// Scheduler runs on the log's leader. It monitors lease holders and proposes their replacements. Its observations are not in
// the log, so a new leader starts without any. It is not safe for concurrent use.
type Scheduler struct {
	// HighestToken is the highest token that any pooler reported.
	HighestToken FencingToken

	config  SchedulerConfig
	watches map[string]*holderWatch // by job
}

// holderWatch records what the scheduler has observed of one job's holder.
type holderWatch struct {
	token      FencingToken
	assignedAt float64 // when the scheduler first saw the holder
	progress   uint64
	progressAt float64 // when progress last changed
	proposedAt float64
	stalls     map[string]stall // by pooler
}

// stall counts how often a pooler stalled on a job, and says until when the pooler is not eligible for it.
type stall struct {
	count        int
	backoffUntil float64
}

// NewScheduler returns a scheduler without observations.
func NewScheduler(config SchedulerConfig) *Scheduler {
	return &Scheduler{config: config, watches: map[string]*holderWatch{}}
}

// Reset discards all observations. A new leader calls it before the first Tick.
func (s *Scheduler) Reset() { s.watches, s.HighestToken = map[string]*holderWatch{}, 0 }

// ObserveReport processes the report of a pooler.
func (s *Scheduler) ObserveReport(r Report) { s.HighestToken = max(s.HighestToken, r.HighestToken) }

// Tick returns the entries to propose now. While leasesUnknown is set, the leader does not know yet which leases are valid, and
// treats no lease as expired.
func (s *Scheduler) Tick(now float64, m *StateMachine, candidates []Candidate, leasesUnknown bool) (due []Entry) {
	if s.HighestToken > m.HighestToken { // the cluster was bootstrapped again, and database hosts have seen tokens of the previous one
		due = append(due, RaiseToken{Token: s.HighestToken}.Entry())
	}
	open := m.OpenJobs()
	selection := selection{now: now, candidates: candidates, settledMillis: s.config.SettledMillis, assignedJobs: countAssignments(m, open)}
	for _, name := range open {
		job := m.Jobs[name]
		watch := s.watch(now, job)
		if !s.needsHolder(job, watch, &selection, leasesUnknown) || now-watch.proposedAt < s.config.RetryMillis {
			continue
		}
		if next, ok := selection.best(job, watch); ok {
			watch.proposedAt = now
			selection.assignedJobs[next.Name]++
			due = append(due, Assign{Job: name, Replaces: job.Token, Holder: next.Name, Incarnation: next.Incarnation}.Entry())
		}
	}
	for name := range s.watches {
		if job := m.Jobs[name]; job == nil || job.Finished {
			delete(s.watches, name)
		}
	}
	return due
}

func countAssignments(m *StateMachine, open []string) map[string]int {
	counts := map[string]int{}
	for _, name := range open {
		if holder := m.Jobs[name].Holder; holder != "" {
			counts[holder]++
		}
	}
	return counts
}

// watch returns the observations of a job's holder. Progress and tenure start afresh with each holder; stalls are kept.
func (s *Scheduler) watch(now float64, job *Job) *holderWatch {
	watch := s.watches[job.Name]
	if watch == nil {
		watch = &holderWatch{proposedAt: math.Inf(-1), stalls: map[string]stall{}}
		s.watches[job.Name] = watch
	}
	if watch.token != job.Token || watch.assignedAt == 0 {
		watch.token, watch.assignedAt, watch.progressAt, watch.progress = job.Token, now, now, 0
	}
	return watch
}

// needsHolder reports whether a job needs a new holder: it has none, the holder's lease has expired, or the holder has stalled
// and another candidate is eligible.
func (s *Scheduler) needsHolder(job *Job, watch *holderWatch, selection *selection, leasesUnknown bool) bool {
	if job.Holder == "" {
		return true
	}
	holder := selection.leaseOf(job)
	if holder == nil {
		return !leasesUnknown
	}
	s.recordProgress(selection.now, job, watch, holder.Report.Progress[job.Name])
	if !s.hasStalled(selection.now, watch) {
		return false
	}
	s.backOff(selection.now, watch, job.Holder)
	// Without an eligible candidate the current holder keeps the job.
	_, ok := selection.best(job, watch)
	return ok
}

// recordProgress records a holder's progress. Progress after the minimum tenure clears the holder's stalls.
func (s *Scheduler) recordProgress(now float64, job *Job, watch *holderWatch, progress uint64) {
	if progress == watch.progress {
		return
	}
	watch.progress, watch.progressAt = progress, now
	if now-watch.assignedAt > s.config.MinTenureMillis {
		delete(watch.stalls, job.Holder)
	}
}

func (s *Scheduler) hasStalled(now float64, watch *holderWatch) bool {
	return now-max(watch.progressAt, watch.assignedAt) > s.config.StallMillis && now-watch.assignedAt >= s.config.MinTenureMillis
}

// backOff makes a stalled holder ineligible, for twice as long with each further stall. It counts no further stall while the
// backoff lasts.
func (s *Scheduler) backOff(now float64, watch *holderWatch, holder string) {
	stalled := watch.stalls[holder]
	if stalled.backoffUntil > now {
		return
	}
	stalled.count = min(stalled.count+1, maxStalls)
	stalled.backoffUntil = now + s.config.BackoffMillis*math.Pow(2, float64(stalled.count-1))
	watch.stalls[holder] = stalled
}
