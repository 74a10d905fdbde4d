package jobs

import "math"

// Report is what a pooler reports of itself with each renewal of its lease. Its JSON form is sent: keys never change.
type Report struct {
	Kinds           []string          `json:"kinds,omitempty"`   // of jobs that its program implements; none: it takes no part
	AcceptsJobs     bool              `json:"willing,omitempty"` // false: it is shutting down
	Healthy         bool              `json:"sound,omitempty"`   // its storage can be written
	Zone            string            `json:"zone,omitempty"`
	UptimeMillis    float64           `json:"up,omitempty"`
	Load            float64           `json:"load,omitempty"`     // fraction of its capacity, 0 to 1
	ReachableGroups []uint64          `json:"reach,omitempty"`    // groups whose primary answered it of late
	LocalGroups     []uint64          `json:"near,omitempty"`     // those of them in its own zone
	Progress        map[string]uint64 `json:"progress,omitempty"` // by job that it holds: rises whenever a database host answered
	HighestToken    FencingToken      `json:"seen,omitempty"`     // the highest that its storage holds
}

// Candidate is a pooler whose lease may still run.
type Candidate struct {
	Name        string
	Incarnation uint64
	LeaseUntil  float64 // by the leader's clock, drift included
	Report      Report
}

// SchedulerConfig holds the scheduler's times.
type SchedulerConfig struct {
	StallMillis     float64 // a holder without progress for so long is replaced
	MinTenureMillis float64 // but not before it has been the holder for so long
	BackoffMillis   float64 // for how long a holder that stalled is passed over, doubled each further time
	SettledMillis   float64 // uptime from which a process counts as settled
	RetryMillis     float64 // a proposed assignment that did not reach the log is proposed again after so long
}

// maxStalls bounds the doubling of SchedulerConfig.BackoffMillis.
const maxStalls = 6

// Scheduler runs beside the log's leader: it watches lease holders and proposes the next one. What it has observed is not in
// the log, and a new leader begins without. It is not safe for concurrent use.
type Scheduler struct {
	// HighestToken is the highest token that any pooler reported.
	HighestToken FencingToken

	config   SchedulerConfig
	watching map[string]*holderWatch // by job
}

// holderWatch is what the scheduler has observed of one job's holder.
type holderWatch struct {
	token      FencingToken
	assignedAt float64 // when the holder was observed first
	progress   uint64
	progressAt float64 // when progress rose last
	proposedAt float64
	stalls     map[string]stall // by pooler
}

// stall counts how often a pooler made no progress with a job, and until when it is passed over.
type stall struct {
	count        int
	backoffUntil float64
}

// NewScheduler returns a scheduler that has observed nothing.
func NewScheduler(config SchedulerConfig) *Scheduler {
	return &Scheduler{config: config, watching: map[string]*holderWatch{}}
}

// Reset forgets what was observed. Whoever becomes the leader calls it first.
func (s *Scheduler) Reset() { s.watching, s.HighestToken = map[string]*holderWatch{}, 0 }

// ObserveReport takes in what a pooler reports of itself.
func (s *Scheduler) ObserveReport(r Report) { s.HighestToken = max(s.HighestToken, r.HighestToken) }

// Tick returns the entries that are due. While leasesUnknown is set the leader does not know yet who holds a lease, and takes
// no holder for dead.
func (s *Scheduler) Tick(now float64, m *StateMachine, candidates []Candidate, leasesUnknown bool) (due []Entry) {
	if s.HighestToken > m.HighestToken { // the cluster was bootstrapped anew, beside hosts that have seen the one before
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
	for name := range s.watching {
		if job := m.Jobs[name]; job == nil || job.Finished {
			delete(s.watching, name)
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

// watch returns what was observed of a job; it begins anew with each holder.
func (s *Scheduler) watch(now float64, job *Job) *holderWatch {
	watch := s.watching[job.Name]
	if watch == nil {
		watch = &holderWatch{proposedAt: math.Inf(-1), stalls: map[string]stall{}}
		s.watching[job.Name] = watch
	}
	if watch.token != job.Token || watch.assignedAt == 0 {
		watch.token, watch.assignedAt, watch.progressAt, watch.progress = job.Token, now, now, 0
	}
	return watch
}

// needsHolder reports whether a job is to get another holder: it has none, the holder's lease has expired, or the holder
// stalled and somebody can take over.
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
	// If nobody can take over, the present holder may as well go on.
	_, ok := selection.best(job, watch)
	return ok
}

// recordProgress notes a holder's progress; one that makes progress beyond its tenure is forgiven its stalls.
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

// backOff has a stalled holder passed over, longer each further time. It counts once for each tenure.
func (s *Scheduler) backOff(now float64, watch *holderWatch, holder string) {
	stalled := watch.stalls[holder]
	if stalled.backoffUntil > now {
		return
	}
	stalled.count = min(stalled.count+1, maxStalls)
	stalled.backoffUntil = now + s.config.BackoffMillis*math.Pow(2, float64(stalled.count-1))
	watch.stalls[holder] = stalled
}
