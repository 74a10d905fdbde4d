package choice

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// due is an event that comes to a router at its time.
type due struct {
	at     time.Duration
	turn   int // at par, in the order in which they were caused
	router int
	event  Event
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].turn, d[j].turn)) < 0
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	x := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return x
}

const (
	crowdRouters = 300
	crowdGroups  = 30 // of four hosts
	crowdRate    = 3000.0
	answerTime   = 20 * ms
	probeTime    = 2 * ms
	window       = 100 * ms
	slot         = 10 * ms
	fall         = 1500 * ms // for which a cold host stands more than it can bear, as settings name it
)

// crowd is a whole fleet on one test clock: it plays requests, hosts that answer after a while and the connections that
// sends need, and counts what all routers together do in each short while.
type crowd struct {
	t       testing.TB
	routers []*Choice
	now     time.Duration
	turn    int
	queue   dues
	lots    *rand.Rand
	list    map[string]Target
	down    map[string]bool // connections to them are refused
	idle    map[[2]string]int
	tries   map[string]int // attempts of each request so far
	group   map[string]uint64
	counted map[string]map[time.Duration]int // what, by slot
	refused int
	taken   int
	rate    float64 // requests a second
}

func newCrowd(t testing.TB) *crowd {
	w := &crowd{t: t, now: zero, rate: crowdRate, lots: rand.New(rand.NewPCG(3, 4)), list: map[string]Target{}, down: map[string]bool{},
		idle: map[[2]string]int{}, tries: map[string]int{}, counted: map[string]map[time.Duration]int{}}
	s := settings()
	s.Routers, s.FallFactor, s.ConnIdle, s.ProbePrice = crowdRouters, 2.5, 30*time.Second, 0.04
	for i := range crowdRouters {
		s.Index = i
		c, err := New(s, 9)
		require.NoError(t, err)
		w.routers = append(w.routers, c)
	}
	var all []Target
	for g := range crowdGroups {
		for i := range 4 {
			all = append(all, Target{Host: fmt.Sprintf("h%d-%d", g, i), Group: uint64(g + 1), Primary: i == 0})
		}
	}
	w.told(all...)
	return w
}

// told gives all routers entries of the list.
func (w *crowd) told(entries ...Target) {
	for _, e := range entries {
		w.list[e.Host] = e
	}
	for i := range w.routers {
		w.later(0, i, Event{Kind: EvTargets, Targets: entries})
	}
}

func (w *crowd) later(after time.Duration, router int, e Event) {
	w.turn++
	heap.Push(&w.queue, due{w.now + after, w.turn, router, e})
}

func (w *crowd) count(what string, n int) {
	if w.counted[what] == nil {
		w.counted[what] = map[time.Duration]int{}
	}
	w.counted[what][w.now/slot] += n
}

// most is the largest count within any window since a moment, to the slot.
func (w *crowd) most(what string, since time.Duration) (n int) {
	for at := since / slot; at <= w.now/slot; at++ {
		sum := 0
		for i := range window / slot {
			sum += w.counted[what][at+i]
		}
		n = max(n, sum)
	}
	return n
}

// play lets requests come, drawn over routers, groups and two classes of reads, with one write in ten.
func (w *crowd) play(d time.Duration) {
	end := w.now + d
	for at := w.now; at < end; at += time.Duration(w.lots.ExpFloat64() / w.rate * float64(time.Second)) {
		class := []int{anyRead, boundedRead}[w.lots.IntN(2)]
		if w.lots.IntN(10) == 0 {
			class = unsafeWrite
		}
		w.taken++
		e := Event{Kind: EvRequest, ID: fmt.Sprint("q", w.taken), Class: class, Group: 1 + uint64(w.lots.IntN(crowdGroups)),
			TimeLeft: settings().Classes[class].Deadline}
		w.later(at-w.now, w.lots.IntN(crowdRouters), e)
	}
	for len(w.queue) > 0 && w.queue[0].at < end {
		x := heap.Pop(&w.queue).(due)
		w.now = x.at
		if x.event.Kind == EvOutcome && x.event.Code == OK {
			w.idle[[2]string{fmt.Sprint(x.router), x.event.Host}]++
		}
		for _, a := range append([]Action(nil), w.routers[x.router].Step(w.now, []Event{x.event})...) {
			w.carryOut(x.router, a)
		}
	}
	w.now = end
}

func (w *crowd) carryOut(router int, a Action) {
	switch a.Kind {
	case ActTimer:
		w.later(a.At-w.now, router, Event{Kind: EvTimer})
	case ActRefuse:
		w.refused++
		w.count("refused", 1)
	case ActProbe:
		w.count("probes", 1)
		e := Event{Kind: EvProbe, Host: a.Host, Report: Report{Position: w.now, Role: w.role(a.Host)}}
		if w.down[a.Host] {
			e.Code, e.Report = NoConnection, Report{}
		}
		w.later(probeTime, router, e)
	case ActSend:
		m := w.list[a.Host]
		require.False(w.t, m.Gone || m.Draining, "work for %s, which has left", a.Host)
		w.count("work "+a.Host, 1)
		if cold := w.routers[router].cold(w.routers[router].members[a.Host]); cold < 1 {
			w.count("cold", 1)
			w.count("cold "+a.Host, 1)
		}
		e := Event{Kind: EvOutcome, ID: a.ID, Attempt: w.tries[a.ID], Host: a.Host, Code: OK, Role: w.role(a.Host), Final: true,
			Elapsed: answerTime}
		w.tries[a.ID]++
		if link := [2]string{fmt.Sprint(router), a.Host}; w.idle[link] > 0 {
			w.idle[link]--
		} else {
			w.count("connects", 1)
			w.count("connects "+a.Host, 1)
		}
		if w.down[a.Host] {
			e.Code, e.Role, e.Final, e.Elapsed = NoConnection, Unknown, false, ms
		} else if a.ID != "" && w.routers[router].reqs[a.ID].class.Read == Write && e.Role != Primary {
			e.Code, e.Final, e.Elapsed = Miss, false, ms
		}
		w.later(e.Elapsed, router, e)
	}
}

func (w *crowd) role(host string) Role {
	if w.list[host].Primary {
		return Primary
	}
	return Replica
}

// chance is what a mean count may come to: four times its deviation lies above it.
func chance(mean float64) int { return int(math.Ceil(mean + 4*math.Sqrt(mean))) }

// within holds all that the fleet did since a moment to what the settings and the requests allow in any 100 ms.
// started is how many hosts are cold since then. Where no primary can step in, reads ask past their ration of probes: not rationed.
func (w *crowd) within(what string, since time.Duration, started int, rationed bool) {
	w.t.Helper()
	const arrive = crowdRate * float64(window) / float64(time.Second)
	s := &w.routers[0].cfg
	most := chance(arrive * (1 + budgetShare)) // one for each attempt, where each needs a new one
	require.LessOrEqual(w.t, w.most("connects", since), most, "%s: connects in 100 ms", what)
	for h := range w.list {
		require.LessOrEqual(w.t, w.most("connects "+h, since), chance(arrive/crowdGroups*(1+budgetShare)),
			"%s: connects at %s: its group's requests alone lead there", what, h)
	}
	probes := chance(2 * arrive) // two a read are enough to find one that qualifies
	if rationed {
		probes = chance(0.02 / s.ProbePrice * arrive) // they cost a fiftieth of the result at the most
	}
	require.LessOrEqual(w.t, w.most("probes", since), probes, "%s: probes in 100 ms", what)
	if started == 0 {
		return
	}
	// A warm host stands its part of its group's requests; a cold one its share of that, times the factor of the rule.
	for at := since; at < min(w.now, since+s.ColdRamp/2); at += window {
		share := s.ColdFrom + (1-s.ColdFrom)*float64(at+window-since)/float64(s.ColdRamp)
		stands := s.FallFactor * share * arrive / crowdGroups / 3 * float64(started)
		n := 0
		for i := range window / slot {
			n += w.counted["cold"][at/slot+i]
		}
		require.LessOrEqual(w.t, n, chance(stands), "%s: work at cold hosts, %v after the start", what, at-since)
	}
}

// stands holds what each host that started since a moment was sent to what it stands: in any fall time, whatever of it it
// turned away, N requests of mean work, three times their root for chance, and three. N is the multiple that the settings
// allow, of the capacity that it is sure to have when that time begins; a warm host's is no less than the load that such
// hosts bear at that time, a third of a group's requests.
func (w *crowd) stands(what string, since time.Duration) {
	w.t.Helper()
	s, worst, n := &w.routers[0].cfg, 0.0, 0
	for h, e := range w.list {
		if e.Started < since || e.Gone {
			continue
		}
		for at := e.Started / slot; at*slot < min(w.now, e.Started+s.ColdRamp); at++ {
			sum := 0
			for i := range fall / slot {
				sum += w.counted["work "+h][at+i]
			}
			share := s.ColdFrom + (1-s.ColdFrom)*float64(max(at*slot-e.Started, 0))/float64(s.ColdRamp)
			allowed := s.FallFactor * share * w.rate / crowdGroups / 3 * fall.Seconds()
			most := allowed + 3*math.Sqrt(allowed) + 3
			worst, n = max(worst, float64(sum)/most), n+1
			require.LessOrEqual(w.t, float64(sum), most, "%s: work at %s in %v, %v after its start", what, h, fall, at*slot-e.Started)
		}
	}
	require.Positive(w.t, n, "%s: hosts started", what)
	require.Positive(w.t, worst, "%s: cold hosts take their part", what)
	w.t.Logf("%s: a cold host was sent %.0f%% of what it stands in %v, at the most", what, 100*worst, fall)
}

// What each of 300 poolers does is harmless; what all do at once has to be, too. 120 hosts, a start of all poolers, six
// in ten hosts replaced, a third of the groups lost and back cold, lists that come to each pooler at another time.
func TestBoundsOfAWholeFleet(t *testing.T) {
	w := newCrowd(t)
	from := w.now
	w.play(6 * time.Second)
	w.within("all start at once", from, 0, true)

	var change []Target
	for g := range crowdGroups {
		for i := 1; i < 4; i++ {
			if (g*3+i)%10 < 8 { // of the replicas, six of ten hosts in all
				change = append(change, Target{Host: fmt.Sprintf("h%d-%d", g, i), Group: uint64(g + 1), Gone: true},
					Target{Host: fmt.Sprintf("n%d-%d", g, i), Group: uint64(g + 1), Started: w.now})
			}
		}
	}
	from = w.now
	w.told(change...)
	w.play(6 * time.Second)
	w.within("six in ten replaced", from, len(change)/2, false)
	require.Positive(t, w.most("cold", from), "cold hosts take their part")

	w.play(6 * time.Second) // they are warm
	w.stands("six in ten replaced", from)
	lose := func(third uint64) (back []Target) {
		for h, e := range w.list {
			if e.Group%3 == third && !e.Gone {
				w.down[h] = true
				back = append(back, e)
			}
		}
		slices.SortFunc(back, func(a, b Target) int { return cmp.Compare(a.Host, b.Host) })
		w.play(5 * time.Second)
		return back
	}
	comes := func(back []Target) {
		clear(w.down)
		for i := range back {
			back[i].Started = w.now
		}
		from = w.now
		w.told(back...)
		w.play(6 * time.Second)
	}
	from = w.now
	back := lose(0)
	w.within("a third is lost", from, 0, false)
	comes(back)
	w.within("it is back", from, len(back), false)
	w.stands("it is back", from)
	require.Less(t, w.refused, w.taken/10)

	back = lose(1)
	w.rate *= 1.5
	comes(back)
	w.stands("another is back in a burst", from)
}
