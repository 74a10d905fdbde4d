package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"ashstand/testbed/report"
)

// coldOverload is a host that got more than it stands while it warmed up, most of it from poolers that knew of its start.
const coldOverload = "cold_overload"

// SlowStart is what the settings say of hosts that warm up, and how large hosts are beside what they are asked.
type SlowStart struct {
	Floor    float64   `json:"floor"` // capacity at the start, as a fraction
	Ramp     Millis    `json:"ramp_ms"`
	Multiple float64   `json:"multiple"`
	Window   Millis    `json:"window_ms"`
	Load     float64   `json:"load"`   // of a replica of the mean capacity, as a fraction
	Speeds   []float64 `json:"speeds"` // of the hosts in turn, as fractions of the mean capacity
	// Probe and Handshake are the work of each, in requests of mean work; 0: the usual one.
	Probe     float64 `json:"probe,omitempty"`
	Handshake float64 `json:"handshake,omitempty"`
}

// usualSlowStart is that of schedules that name none.
func usualSlowStart() SlowStart {
	return SlowStart{Floor: 0.24, Ramp: 15000, Multiple: 3, Window: 1500, Load: 0.5, Speeds: []float64{1}}
}

// Bounds of what is drawn.
const (
	leastSpeed, mostSpeed = 0.57, 1.1
	leastLoad, mostLoad   = 0.45, 0.6 // a host of the least speed bears an even part of the most
)

// drawSlowStart draws from a sequence of its own, so that what else a seed draws stays.
func drawSlowStart(seed uint64, hosts int) *SlowStart {
	rng := rand.New(rand.NewPCG(seed, 0xc01d))
	between := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	s := SlowStart{
		Floor: between(0.1, 0.5), Ramp: Millis(between(5000, 30000)), Multiple: between(2, 4), Window: Millis(between(500, 3000)),
		Load: between(leastLoad, mostLoad),
	}
	for range hosts {
		s.Speeds = append(s.Speeds, between(leastSpeed, mostSpeed))
	}
	return &s
}

// slowStart is that of a deployment.
func (d *Deployment) slowStart() SlowStart {
	if d.SlowStart == nil {
		return usualSlowStart()
	}
	return *d.SlowStart
}

// The usual work at a host in requests of mean work, beside requests.
const (
	usualProbeWork     = 0.01
	usualHandshakeWork = 0.05
)

func (s *SlowStart) probeWork() float64     { return cmp.Or(s.Probe, usualProbeWork) }
func (s *SlowStart) handshakeWork() float64 { return cmp.Or(s.Handshake, usualHandshakeWork) }

// hostWork is something that a host had to do.
type hostWork struct {
	at   time.Time
	id   string  // of the request; "": none
	kind string  // the name of its class, or what else it is
	work float64 // in requests of mean work
}

// What else a host has to do, beside requests.
const (
	probeKind     = "probe"
	handshakeKind = "handshake"
)

// coldLoad collects what hosts got, and judges at the end of a run what they got while they warmed up. It is guarded by judge.mu.
type coldLoad struct {
	serves   *Deployment
	settings SlowStart
	replicas int // of a group
	hosts    []string
	groupOf  map[string]int
	work     map[string][]hostWork
	starts   map[string][]time.Time
}

func newColdLoad(d *Deployment, hosts []string) *coldLoad {
	c := &coldLoad{serves: d, settings: d.slowStart(), replicas: d.Replicas, hosts: hosts, groupOf: map[string]int{}, work: map[string][]hostWork{}, starts: map[string][]time.Time{}}
	for i, h := range hosts {
		c.groupOf[h] = i / (d.Replicas + 1)
	}
	return c
}

// hostStarted notes that a host has started, and that the list says so.
func (j *judge) hostStarted(host string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cold != nil {
		j.cold.starts[host] = append(j.cold.starts[host], time.Now())
	}
}

// handshaken notes that a host was sent the first message of a connection.
func (j *judge) handshaken(host string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cold != nil {
		j.cold.work[host] = append(j.cold.work[host], hostWork{at: at, kind: handshakeKind, work: j.cold.settings.handshakeWork()})
	}
}

// usualSecond is which second of a run, by what a group's hosts got in it, counts as usual: in half of them something is wrong.
const usualSecond = 0.75

// groupRate is what a group's hosts got in a usual second of a run, in requests. What they got while one of them warmed up may show what
// slow start let through and not what they bear, and in the rest of a short run there may be next to nothing: the greater one counts.
func (c *coldLoad) groupRate(group int) float64 {
	bySecond, warming := map[int64]int{}, map[int64]bool{}
	first, last := int64(math.MaxInt64), int64(0)
	for _, h := range c.hosts {
		if c.groupOf[h] != group {
			continue
		}
		for _, started := range c.starts[h] {
			for second := started.Unix(); second <= started.Add(c.settings.Ramp.Duration()).Unix(); second++ {
				warming[second] = true
			}
		}
		for _, w := range c.work[h] {
			if w.id != "" {
				second := w.at.Unix()
				bySecond[second]++
				first, last = min(first, second), max(last, second)
			}
		}
	}
	if first > last { // nothing was asked of it
		return 0
	}
	var all, undisturbed []int
	for second := first + 1; second < last; second++ { // the first and the last are not whole
		all = append(all, bySecond[second])
		if !warming[second] {
			undisturbed = append(undisturbed, bySecond[second])
		}
	}
	return max(usualOf(all), usualOf(undisturbed))
}

// usualOf is the usual one of some counts; 0 where there are none.
func usualOf(counts []int) float64 {
	if len(counts) == 0 {
		return 0
	}
	slices.Sort(counts)
	return float64(counts[int(float64(len(counts))*usualSecond)])
}

// speed is the capacity of a host as a fraction of the mean capacity.
func (c *coldLoad) speed(host string) float64 {
	return c.settings.Speeds[slices.Index(c.hosts, host)%len(c.settings.Speeds)]
}

// capacity is the requests of mean work a second that a host stands once it is warm.
func (c *coldLoad) capacity(host string) float64 {
	return c.groupRate(c.groupOf[host]) / float64(max(1, c.replicas)) / c.settings.Load * c.speed(host)
}

// workOf is what a statement is to a host.
func (c *coldLoad) workOf(text, id string, at time.Time) hostWork {
	name := classNameOf(text)
	work := 1.0
	if i := slices.IndexFunc(c.serves.Classes, func(k Class) bool { return k.Name == name }); i >= 0 {
		work = c.serves.workOf(&c.serves.Classes[i], id)
	}
	return hostWork{at: at, id: id, kind: name, work: work}
}

// byKind is a part of a host's work, added up by what it was.
func byKind(work []hostWork) string {
	count, sum := map[string]int{}, map[string]float64{}
	for _, w := range work {
		count[w.kind]++
		sum[w.kind] += w.work
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%d %s of %.1f", count[kind], kind, sum[kind]))
	}
	return strings.Join(parts, ", ")
}

// allowed is what a host stands in a window that begins so long after its start, with the slack for chance.
func (c *coldLoad) allowed(capacity float64, age time.Duration) float64 {
	s := &c.settings
	share := s.Floor + (1-s.Floor)*min(1, float64(max(0, age))/float64(s.Ramp.Duration()))
	n := s.Multiple * share * capacity * s.Window.Duration().Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// judgeColdLoad judges every start. j.mu is held.
func (j *judge) judgeColdLoad() {
	if j.cold == nil {
		return
	}
	worst, starts := 0.0, 0
	for _, host := range j.cold.hosts {
		slices.SortFunc(j.cold.work[host], func(a, b hostWork) int { return a.at.Compare(b.at) })
		for _, started := range j.cold.starts[host] {
			starts++
			worst = max(worst, j.judgeStart(host, started))
		}
	}
	j.g.Do(func(o *report.Result) {
		o.Notes = append(o.Notes, fmt.Sprintf("%d starts of hosts; the most that one was sent: %.2f of what it stands", starts, worst))
	})
}

// judgeStart returns the most that a host was sent after a start, as a share of what it stood. j.mu is held.
func (j *judge) judgeStart(host string, started time.Time) (worst float64) {
	s, capacity := &j.cold.settings, j.cold.capacity(host)
	work := j.cold.work[host]
	begin, _ := slices.BinarySearchFunc(work, started, func(w hostWork, at time.Time) int { return w.at.Compare(at) })
	sum, informed := 0.0, 0.0
	from := begin
	for i := begin; i < len(work) && work[i].at.Sub(started) < s.Ramp.Duration(); i++ {
		sum += work[i].work
		informed += j.informedWork(host, started, &work[i])
		for ; work[i].at.Sub(work[from].at) >= s.Window.Duration(); from++ {
			sum -= work[from].work
			informed -= j.informedWork(host, started, &work[from])
		}
		age := max(0, work[i].at.Sub(started)-s.Window.Duration())
		share := sum / j.cold.allowed(capacity, age)
		if informed <= sum*2/3 || share <= worst {
			continue
		}
		if worst <= 1 && share > 1 {
			j.g.Break(coldOverload, "%s, %v after its start: %.1f of work in %v, more than the %.1f that it stands; %.1f of it from poolers that knew; %s",
				host, work[i].at.Sub(started), sum, s.Window.Duration(), j.cold.allowed(capacity, age), informed, byKind(work[from:i+1]))
		}
		worst = share
	}
	return worst
}

// informedWork is the work of a request whose pooler knew of a start, and had not sent it long before. j.mu is held.
func (j *judge) informedWork(host string, started time.Time, w *hostWork) float64 {
	const memory = 5 * time.Second // for which a troubled link may hold bytes back
	r := j.requests[w.id]
	if r == nil { // a probe, a handshake
		return w.work
	}
	link := r.pooler + ">discovery"
	isInformed := w.at.Sub(started) > j.slack && !j.wasTroubled(link, started, started.Add(j.slack)) && !j.wasTroubled(link, w.at.Add(-notifiedWithin), w.at)
	if !isInformed || j.wasTroubled(r.pooler+">"+host, w.at.Add(-memory), w.at) {
		return 0
	}
	return w.work
}

// breakColdLoad makes up a start, and work right after it that no host stands.
func (j *judge) breakColdLoad(host string) {
	j.hostStarted(host)
	j.mu.Lock()
	defer j.mu.Unlock()
	bearable := j.cold.allowed(j.cold.capacity(host), 0)
	at := time.Now()
	for n := 0.0; n <= bearable+1; n++ {
		at = at.Add(time.Microsecond)
		j.cold.work[host] = append(j.cold.work[host], hostWork{at: at, work: 1})
	}
}
