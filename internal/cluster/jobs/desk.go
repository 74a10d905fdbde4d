package jobs

import (
	"cmp"
	"math"
	"slices"
)

// Report is what a pooler says of itself with each renewal of its lease, as far as owning goes.
type Report struct {
	Kinds           []string          `json:"kinds,omitempty"` // of works that its program does; none: it takes no part
	AcceptsJobs     bool              `json:"willing,omitempty"`
	Healthy         bool              `json:"sound,omitempty"` // its folder takes what is kept, and its clock runs as the others' do
	Zone            string            `json:"zone,omitempty"`
	UptimeMillis    float64           `json:"up,omitempty"`       // milliseconds since its start
	Load            float64           `json:"load,omitempty"`     // share of what it can take, 0 to 1
	ReachableGroups []uint64          `json:"reach,omitempty"`    // groups whose primary answered it of late
	LocalGroups     []uint64          `json:"near,omitempty"`     // those of them in its own zone
	Progress        map[string]uint64 `json:"progress,omitempty"` // by work that it owns: it rises when a place answered
	HighestToken    FencingToken      `json:"seen,omitempty"`     // the highest that its folder holds
}

// Candidate is a pooler whose lease may still run.
type Candidate struct {
	Name        string
	Incarnation uint64
	LeaseUntil  float64 // of its lease, by the leader's clock, drift included
	Report      Report
}

// SchedulerConfig are the desk's times, in milliseconds.
type SchedulerConfig struct {
	StallMillis     float64 // an owner that gets nothing done for so long is replaced
	MinTenureMillis float64 // but not before it has been the owner for so long
	BackoffMillis   float64 // for how long one that was replaced for a stall is passed over, doubled at each further one
	SettledMillis   float64 // a process counts as settled once it has run for so long
	RetryMillis     float64 // a change that was asked for and did not come is asked for again
}

// backMost bounds the doubling of SchedulerConfig.Back.
const backMost = 6

// Scheduler is the log leader's: it watches owners and names the next. What it knows is not in the log, and a new leader begins
// anew. It is not safe for concurrent use.
type Scheduler struct {
	cfg          SchedulerConfig
	works        map[string]*watch
	HighestToken FencingToken // the highest that any pooler told of
}

// watch is what the desk has seen of one work.
type watch struct {
	token    FencingToken
	since    float64 // when the owner was seen first
	progress uint64
	at       float64 // when that rose last
	asked    float64
	stalls   map[string]stall // by pooler
}

type stall struct {
	times int
	until float64
}

// NewScheduler returns a desk that has seen nothing.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	return &Scheduler{cfg: cfg, works: map[string]*watch{}}
}

// Reset forgets what was seen; whoever comes to lead begins so.
func (d *Scheduler) Reset() { d.works, d.HighestToken = map[string]*watch{}, 0 }

// ObserveReport takes what a pooler said of itself.
func (d *Scheduler) ObserveReport(r Report) { d.HighestToken = max(d.HighestToken, r.HighestToken) }

// Tick returns the entries that are due. quiet: the leader does not yet know who holds leases, so nobody is taken for gone.
func (d *Scheduler) Tick(now float64, l *StateMachine, cands []Candidate, quiet bool) (out []Entry) {
	if d.HighestToken > l.HighestToken { // a cluster that was founded anew, beside places that remember the one before
		out = append(out, Entry{Type: EntryRaiseToken, Token: d.HighestToken})
	}
	held := map[string]int{}
	for _, name := range l.OpenJobs() {
		if o := l.Jobs[name].Holder; o != "" {
			held[o]++
		}
	}
	for _, name := range l.OpenJobs() {
		w := l.Jobs[name]
		s := d.works[name]
		if s == nil {
			s = &watch{asked: math.Inf(-1), stalls: map[string]stall{}}
			d.works[name] = s
		}
		if s.token != w.Token || s.since == 0 {
			s.token, s.since, s.at, s.progress = w.Token, now, now, 0
		}
		if !d.wants(now, w, s, cands, quiet) || now-s.asked < d.cfg.RetryMillis {
			continue
		}
		if next, ok := d.choose(now, w, s, cands, held); ok {
			s.asked = now
			held[next.Name]++
			out = append(out, Entry{Type: EntryAssign, Job: name, Token: w.Token, Holder: next.Name, Incarnation: next.Incarnation})
		}
	}
	for name := range d.works {
		if w := l.Jobs[name]; w == nil || w.Finished {
			delete(d.works, name)
		}
	}
	return out
}

// wants says whether a work is to have another owner.
func (d *Scheduler) wants(now float64, w *Job, s *watch, cands []Candidate, quiet bool) bool {
	if w.Holder == "" {
		return true
	}
	i := slices.IndexFunc(cands, func(c Candidate) bool {
		return c.Name == w.Holder && c.Incarnation == w.Incarnation && c.LeaseUntil > now
	})
	if i < 0 {
		return !quiet
	}
	if p := cands[i].Report.Progress[w.Name]; p != s.progress {
		if s.progress, s.at = p, now; len(s.stalls) > 0 && now-s.since > d.cfg.MinTenureMillis {
			delete(s.stalls, w.Holder) // it gets on again
		}
	}
	if now-max(s.at, s.since) <= d.cfg.StallMillis || now-s.since < d.cfg.MinTenureMillis {
		return false
	}
	was := s.stalls[w.Holder]
	if was.until <= now { // counted once for each tenure
		was.times = min(was.times+1, backMost)
		was.until = now + d.cfg.BackoffMillis*math.Pow(2, float64(was.times-1))
		s.stalls[w.Holder] = was
	}
	// Nobody to take over: the present owner may as well go on trying.
	_, ok := d.choose(now, w, s, cands, map[string]int{})
	return ok
}

// choose names the best of those that can be asked.
func (d *Scheduler) choose(now float64, w *Job, s *watch, cands []Candidate, held map[string]int) (best Candidate, ok bool) {
	for _, c := range cands {
		r := &c.Report
		if c.LeaseUntil <= now || !r.AcceptsJobs || !slices.Contains(r.Kinds, w.Kind) || s.stalls[c.Name].until > now {
			continue
		}
		if c.Incarnation == w.Incarnation && w.Incarnation != 0 { // it is, or it gave the work back
			continue
		}
		if !ok || d.before(w, s, held, c, best) {
			best, ok = c, true
		}
	}
	return best, ok
}

// before says whether a is to be asked rather than b. What can't get the work done goes last: reach, then soundness, then
// how often it failed at this work; then what is merely better.
func (d *Scheduler) before(w *Job, s *watch, held map[string]int, a, b Candidate) bool {
	of := func(groups []uint64) (n int) {
		for _, g := range w.RequiredGroups {
			if slices.Contains(groups, g) {
				n++
			}
		}
		return n
	}
	rank := func(b bool) int {
		if b {
			return 0
		}
		return 1
	}
	x, y := &a.Report, &b.Report
	return cmp.Or(
		cmp.Compare(of(y.ReachableGroups), of(x.ReachableGroups)),
		cmp.Compare(rank(x.Healthy), rank(y.Healthy)),
		cmp.Compare(s.stalls[a.Name].times, s.stalls[b.Name].times),
		cmp.Compare(rank(x.UptimeMillis >= d.cfg.SettledMillis), rank(y.UptimeMillis >= d.cfg.SettledMillis)),
		cmp.Compare(held[a.Name], held[b.Name]),
		cmp.Compare(of(y.LocalGroups), of(x.LocalGroups)),
		cmp.Compare(math.Round(x.Load*10), math.Round(y.Load*10)),
		cmp.Compare(y.UptimeMillis, x.UptimeMillis),
		cmp.Compare(a.Name, b.Name),
	) < 0
}
