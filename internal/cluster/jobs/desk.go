package jobs

import (
	"cmp"
	"math"
	"slices"
)

// Report is what a pooler says of itself with each renewal of its lease, as far as owning goes.
type Report struct {
	Kinds    []string          `json:"kinds,omitempty"` // of works that its program does; none: it takes no part
	Willing  bool              `json:"willing,omitempty"`
	Sound    bool              `json:"sound,omitempty"` // its folder takes what is kept, and its clock runs as the others' do
	Zone     string            `json:"zone,omitempty"`
	Up       float64           `json:"up,omitempty"`       // milliseconds since its start
	Load     float64           `json:"load,omitempty"`     // share of what it can take, 0 to 1
	Reach    []uint64          `json:"reach,omitempty"`    // groups whose primary answered it of late
	Near     []uint64          `json:"near,omitempty"`     // those of them in its own zone
	Progress map[string]uint64 `json:"progress,omitempty"` // by work that it owns: it rises when a place answered
	Seen     Token             `json:"seen,omitempty"`     // the highest that its folder holds
}

// Candidate is a pooler whose lease may still run.
type Candidate struct {
	Name     string
	Instance uint64
	Until    float64 // of its lease, by the leader's clock, drift included
	Report   Report
}

// DeskConfig are the desk's times, in milliseconds.
type DeskConfig struct {
	Stall  float64 // an owner that gets nothing done for so long is replaced
	Tenure float64 // but not before it has been the owner for so long
	Back   float64 // for how long one that was replaced for a stall is passed over, doubled at each further one
	Young  float64 // a process counts as settled once it has run for so long
	Again  float64 // a change that was asked for and did not come is asked for again
}

// backMost bounds the doubling of DeskConfig.Back.
const backMost = 6

// Desk is the log leader's: it watches owners and names the next. What it knows is not in the log, and a new leader begins
// anew. It is not safe for concurrent use.
type Desk struct {
	cfg   DeskConfig
	works map[string]*watch
	High  Token // the highest that any pooler told of
}

// watch is what the desk has seen of one work.
type watch struct {
	token    Token
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

// NewDesk returns a desk that has seen nothing.
func NewDesk(cfg DeskConfig) *Desk { return &Desk{cfg: cfg, works: map[string]*watch{}} }

// Clear forgets what was seen; whoever comes to lead begins so.
func (d *Desk) Clear() { d.works, d.High = map[string]*watch{}, 0 }

// Heard takes what a pooler said of itself.
func (d *Desk) Heard(r Report) { d.High = max(d.High, r.Seen) }

// Tick returns the entries that are due. quiet: the leader does not yet know who holds leases, so nobody is taken for gone.
func (d *Desk) Tick(now float64, l *Ledger, cands []Candidate, quiet bool) (out []Entry) {
	if d.High > l.High { // a cluster that was founded anew, beside places that remember the one before
		out = append(out, Entry{Op: Raise, Token: d.High})
	}
	held := map[string]int{}
	for _, name := range l.Open() {
		if o := l.Works[name].Owner; o != "" {
			held[o]++
		}
	}
	for _, name := range l.Open() {
		w := l.Works[name]
		s := d.works[name]
		if s == nil {
			s = &watch{asked: math.Inf(-1), stalls: map[string]stall{}}
			d.works[name] = s
		}
		if s.token != w.Token || s.since == 0 {
			s.token, s.since, s.at, s.progress = w.Token, now, now, 0
		}
		if !d.wants(now, w, s, cands, quiet) || now-s.asked < d.cfg.Again {
			continue
		}
		if next, ok := d.choose(now, w, s, cands, held); ok {
			s.asked = now
			held[next.Name]++
			out = append(out, Entry{Op: Assign, Work: name, Token: w.Token, To: next.Name, Instance: next.Instance})
		}
	}
	for name := range d.works {
		if w := l.Works[name]; w == nil || w.Ended {
			delete(d.works, name)
		}
	}
	return out
}

// wants says whether a work is to have another owner.
func (d *Desk) wants(now float64, w *Work, s *watch, cands []Candidate, quiet bool) bool {
	if w.Owner == "" {
		return true
	}
	i := slices.IndexFunc(cands, func(c Candidate) bool { return c.Name == w.Owner && c.Instance == w.Instance && c.Until > now })
	if i < 0 {
		return !quiet
	}
	if p := cands[i].Report.Progress[w.Name]; p != s.progress {
		if s.progress, s.at = p, now; len(s.stalls) > 0 && now-s.since > d.cfg.Tenure {
			delete(s.stalls, w.Owner) // it gets on again
		}
	}
	if now-max(s.at, s.since) <= d.cfg.Stall || now-s.since < d.cfg.Tenure {
		return false
	}
	was := s.stalls[w.Owner]
	if was.until <= now { // counted once for each tenure
		was.times = min(was.times+1, backMost)
		was.until = now + d.cfg.Back*math.Pow(2, float64(was.times-1))
		s.stalls[w.Owner] = was
	}
	// Nobody to take over: the present owner may as well go on trying.
	_, ok := d.choose(now, w, s, cands, map[string]int{})
	return ok
}

// choose names the best of those that can be asked.
func (d *Desk) choose(now float64, w *Work, s *watch, cands []Candidate, held map[string]int) (best Candidate, ok bool) {
	for _, c := range cands {
		r := &c.Report
		if c.Until <= now || !r.Willing || !slices.Contains(r.Kinds, w.Kind) || s.stalls[c.Name].until > now {
			continue
		}
		if c.Instance == w.Instance && w.Instance != 0 { // it is, or it gave the work back
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
func (d *Desk) before(w *Work, s *watch, held map[string]int, a, b Candidate) bool {
	of := func(groups []uint64) (n int) {
		for _, g := range w.Needs {
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
		cmp.Compare(of(y.Reach), of(x.Reach)),
		cmp.Compare(rank(x.Sound), rank(y.Sound)),
		cmp.Compare(s.stalls[a.Name].times, s.stalls[b.Name].times),
		cmp.Compare(rank(x.Up >= d.cfg.Young), rank(y.Up >= d.cfg.Young)),
		cmp.Compare(held[a.Name], held[b.Name]),
		cmp.Compare(of(y.Near), of(x.Near)),
		cmp.Compare(math.Round(x.Load*10), math.Round(y.Load*10)),
		cmp.Compare(y.Up, x.Up),
		cmp.Compare(a.Name, b.Name),
	) < 0
}
