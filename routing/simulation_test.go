package routing

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scheduledEvent is an event that comes to a router at its time.
type scheduledEvent struct {
	at          time.Duration
	order       int // at par, in the order in which they were caused
	router      int
	incarnation int // of the router: what was meant for an earlier one is void
	event       Event
}

type eventQueue []scheduledEvent

func (d eventQueue) Len() int { return len(d) }

func (d eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].order, d[j].order)) < 0
}

func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *eventQueue) Push(x any) { *d = append(*d, x.(scheduledEvent)) }

func (d *eventQueue) Pop() any {
	x := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return x
}

const (
	simulatedRouters = 300
	simulatedGroups  = 30
	usualReplicas    = 3 // of a group
	simulatedRate    = 3000.0
	answerTime       = 20 * ms
	probeTime        = 2 * ms
	probeWork        = 0.02 // of a request's, in these tests: sites name about a hundredth
	measuredWindow   = 100 * ms
	measuredSlot     = 10 * ms
	overloadWindow   = 1500 * ms // for which a cold host stands more than it can bear, as settings name it
)

// fleetSimulation is a whole fleet on one test clock: it plays requests, hosts that answer after a while and the connections that
// sends need, and counts what all routers together do in each short while.
type fleetSimulation struct {
	t             testing.TB
	cfg           Settings
	routers       []*Router
	incarnations  []int
	shares        []float64 // of what comes in, of the routers so far
	now           time.Duration
	lastOrder     int
	queue         eventQueue
	rng           *rand.Rand
	list          map[string]Target
	down          map[string]bool          // connections to them are refused
	broken        map[string]bool          // connections to them can't be made, though they are listed and look well
	answerTimes   map[string]time.Duration // for an answer, where it is not answerTime
	lag           map[string]time.Duration // of a replica's data
	idle          map[[2]string]int
	requests      map[string]*clientRequest
	counted       map[string]map[time.Duration]float64 // what, by slot
	rejected      int
	arrived       int
	rate          float64 // requests a second
	baseRate      float64 // the rate at which a replica's part of a group's requests is what a warm host bears
	groups        int
	replicas      int                // of each group
	speeds        map[string]float64 // of hosts whose capacity is not the usual one, as a part of that
	mix           []float64          // of the classes, of ten
	clientRetries int                // times that a client comes again after a refusal
	marksRetries  bool               // it says so
}

// clientRequest is a client's request.
type clientRequest struct {
	class, group, router, attempts, retries int
	until                                   time.Duration
}

func newFleetSimulation(t testing.TB) *fleetSimulation {
	return newFleetSimulationOf(t, simulatedRouters, simulatedGroups, 9, nil)
}

// newFleetSimulationOf has routers of equal shares, unless a share is given for each. What a group is asked is the same in each crowd.
func newFleetSimulationOf(t testing.TB, routers, groups int, seed uint64, share func(router int) float64) *fleetSimulation {
	return newFleetSimulationWith(t, routers, groups, usualReplicas, seed, share)
}

// newFleetSimulationWith has groups of a primary and so many replicas.
func newFleetSimulationWith(t testing.TB, routers, groups, replicas int, seed uint64, share func(router int) float64) *fleetSimulation {
	w := &fleetSimulation{
		replicas: replicas, speeds: map[string]float64{},
		t: t, now: startTime, rate: simulatedRate / simulatedGroups * float64(groups), groups: groups, rng: rand.New(rand.NewPCG(3, seed-5)),
		list: map[string]Target{}, down: map[string]bool{}, broken: map[string]bool{}, answerTimes: map[string]time.Duration{},
		lag: map[string]time.Duration{}, idle: map[[2]string]int{}, requests: map[string]*clientRequest{},
		counted: map[string]map[time.Duration]float64{}, mix: []float64{eventualRead: 4.5, boundedRead: 4.5, atMostOnceWrite: 1, deduplicatedWrite: 0},
		incarnations: make([]int, routers),
	}
	w.baseRate = w.rate
	w.cfg = settings()
	w.cfg.RouterCount, w.cfg.SlowStart.OverloadFactor, w.cfg.SlowStart.OverloadWindow, w.cfg.ConnIdleTimeout, w.cfg.Probing.Cost = routers, 2.5, overloadWindow, 30*time.Second, 0.04
	sum := 0.0
	for i := range routers {
		w.cfg.RouterIndex = i
		c, err := New(w.cfg, seed)
		require.NoError(t, err)
		w.routers = append(w.routers, c)
		if share == nil {
			sum++
		} else {
			sum += share(i)
		}
		w.shares = append(w.shares, sum)
	}
	var all []Target
	for g := range groups {
		for i := range replicas + 1 {
			all = append(all, Target{Host: fmt.Sprintf("h%d-%d", g, i), Group: uint64(g + 1), Primary: i == 0})
		}
	}
	w.announce(all...)
	return w
}

// sample draws one of the shares that add up as given.
func (w *fleetSimulation) sample(sums []float64) int {
	x := w.rng.Float64() * sums[len(sums)-1]
	return sort.Search(len(sums)-1, func(i int) bool { return x < sums[i] })
}

// restart begins a router anew, with the list as it is now or an older one. Clients of what it had come again elsewhere.
func (w *fleetSimulation) restart(router int, known []Target) {
	w.cfg.RouterIndex = router
	c, err := New(w.cfg, uint64(w.lastOrder))
	require.NoError(w.t, err)
	w.routers[router] = c
	w.incarnations[router]++
	if known == nil {
		known = w.entries()
	}
	w.later(0, router, TargetsChanged{Full: true, Targets: known})
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		if q := w.requests[id]; q.router == router {
			delete(w.requests, id)
			if q.class != atMostOnceWrite {
				w.arrive(ms, w.sample(w.shares), q)
			}
		}
	}
}

// entries is the list as discovery has it.
func (w *fleetSimulation) entries() (all []Target) {
	for _, h := range slices.Sorted(maps.Keys(w.list)) {
		if !w.list[h].Removed {
			all = append(all, w.list[h])
		}
	}
	return all
}

// arrive is a request that arrives.
func (w *fleetSimulation) arrive(after time.Duration, router int, q *clientRequest) {
	w.arrived++
	id := fmt.Sprint("q", w.arrived)
	left := q.until - w.now - after
	if left <= 0 {
		return
	}
	next := *q
	next.router, next.attempts = router, 0
	w.requests[id] = &next
	w.later(after, router, RequestArrived{
		ID: id, Class: q.class, Group: uint64(q.group), TimeRemaining: left,
		IsRetry: q.retries > 0 && w.marksRetries,
	})
}

// announce gives all routers entries of the list.
func (w *fleetSimulation) announce(entries ...Target) {
	w.announceLate(func(int) time.Duration { return 0 }, entries...)
}

// announceLate gives entries to each router so much later; below 0: never.
func (w *fleetSimulation) announceLate(late func(router int) time.Duration, entries ...Target) {
	for _, e := range entries {
		w.list[e.Host] = e
	}
	for i := range w.routers {
		if after := late(i); after >= 0 {
			w.later(after, i, TargetsChanged{Targets: entries})
		}
	}
}

func (w *fleetSimulation) later(after time.Duration, router int, e Event) {
	w.lastOrder++
	heap.Push(&w.queue, scheduledEvent{w.now + after, w.lastOrder, router, w.incarnations[router], e})
}

func (w *fleetSimulation) count(what string, n float64) {
	if w.counted[what] == nil {
		w.counted[what] = map[time.Duration]float64{}
	}
	w.counted[what][w.now/measuredSlot] += n
}

// peak is the largest count within any window since a moment, to the slot.
func (w *fleetSimulation) peak(what string, since time.Duration) (n int) {
	for at := since / measuredSlot; at <= w.now/measuredSlot; at++ {
		sum := 0.0
		for i := range measuredWindow / measuredSlot {
			sum += w.counted[what][at+i]
		}
		n = max(n, int(sum))
	}
	return n
}

// play lets requests come, drawn over routers, groups and classes.
func (w *fleetSimulation) play(d time.Duration) {
	end := w.now + d
	var classes []float64
	sum := 0.0
	for _, part := range w.mix {
		sum += part
		classes = append(classes, sum)
	}
	for at := w.now; at < end; at += time.Duration(w.rng.ExpFloat64() / w.rate * float64(time.Second)) {
		class := w.sample(classes)
		w.arrive(at-w.now, w.sample(w.shares), &clientRequest{
			class: class, group: 1 + w.rng.IntN(w.groups),
			until: at + w.cfg.Classes[class].Deadline,
		})
	}
	for len(w.queue) > 0 && w.queue[0].at < end {
		x := heap.Pop(&w.queue).(scheduledEvent)
		w.now = x.at
		if x.incarnation != w.incarnations[x.router] {
			continue
		}
		if ended, ok := x.event.(AttemptEnded); ok && ended.Code == OK {
			w.idle[[2]string{fmt.Sprint(x.router), ended.Host}]++
			delete(w.requests, ended.ID)
		}
		for _, a := range append([]Action(nil), w.routers[x.router].Step(w.now, proven([]Event{x.event}))...) {
			w.carryOut(x.router, a)
		}
	}
	w.now = end
}

func (w *fleetSimulation) carryOut(router int, a Action) {
	switch a.Kind {
	case ActTimer:
		w.later(a.At-w.now, router, TimerFired{})
	case ActReject, ActFail:
		w.rejected++
		w.count("refused", 1)
		if q := w.requests[a.ID]; q != nil && a.Kind == ActReject && q.retries < w.clientRetries {
			q.retries++
			w.arrive(50*ms, router, q) // clients heed no word on when to come back
		}
		delete(w.requests, a.ID)
	case ActProbe:
		w.count("probes", 1)
		w.work(router, a.Host, probeWork)
		e := ProbeEnded{Host: a.Host, Report: Report{Position: w.now - w.lag[a.Host], Role: w.role(a.Host)}}
		if w.down[a.Host] || w.broken[a.Host] {
			e.Code, e.Report = NoConnection, Report{}
		}
		w.later(probeTime, router, e)
	case ActSend:
		m, q := w.list[a.Host], w.requests[a.ID]
		require.False(w.t, m.Removed || m.Draining, "work for %s, which has left", a.Host)
		w.work(router, a.Host, 1)
		if w.isWarming(router, a.Host) {
			w.count("cold", 1)
			w.count("cold "+a.Host, 1)
		}
		e := AttemptEnded{
			ID: a.ID, Attempt: q.attempts, Host: a.Host, Code: OK, Role: w.role(a.Host), Final: true,
			Elapsed: cmp.Or(w.answerTimes[a.Host], answerTime),
		}
		q.attempts++
		if link := [2]string{fmt.Sprint(router), a.Host}; w.idle[link] > 0 {
			w.idle[link]--
		} else {
			w.count("connects", 1)
			w.count("connects "+a.Host, 1)
		}
		if w.down[a.Host] || w.broken[a.Host] {
			e.Code, e.Role, e.Final, e.Elapsed = NoConnection, Unknown, false, ms
		} else if w.cfg.Classes[q.class].Access == Write && e.Role != Primary {
			e.Code, e.Final, e.Elapsed = Misdirected, false, ms
		}
		w.later(e.Elapsed, router, e)
	}
}

// isWarming says whether a router knows that a host started not long ago.
func (w *fleetSimulation) isWarming(router int, host string) bool {
	m := w.routers[router].members[host]
	return m.startedAt > 0 && w.now-m.startedAt < w.cfg.SlowStart.Duration
}

// work counts what reaches a host, and apart what comes from routers that don't know of its start.
func (w *fleetSimulation) work(router int, host string, n float64) {
	w.count("work "+host, n)
	if w.routers[router].members[host].startedAt < w.list[host].StartedAt {
		w.count("untold "+host, n)
	}
}

func (w *fleetSimulation) role(host string) Role {
	if w.list[host].Primary {
		return Primary
	}
	return Replica
}

// upperBound is what a mean count may come to: four times its deviation lies above it.
func upperBound(mean float64) int { return int(math.Ceil(mean + 4*math.Sqrt(mean))) }

// requireBounds holds all that the fleet did since a moment to what the settings and the requests allow in any 100 ms.
// started is how many hosts are cold since then. Where no primary can step in, reads ask past their ration of probes: not rationed.
func (w *fleetSimulation) requireBounds(what string, since time.Duration, started int, rationed bool) {
	w.t.Helper()
	const arrive = simulatedRate * float64(measuredWindow) / float64(time.Second)
	s := &w.routers[0].cfg
	most := upperBound(arrive * (1 + retryBudgetRatio)) // one for each attempt, where each needs a new one
	require.LessOrEqual(w.t, w.peak("connects", since), most, "%s: connects in 100 ms", what)
	for h := range w.list {
		require.LessOrEqual(w.t, w.peak("connects "+h, since), upperBound(arrive/simulatedGroups*(1+retryBudgetRatio)),
			"%s: connects at %s: its group's requests alone lead there", what, h)
	}
	probes := upperBound(2 * arrive) // two a read are enough to find one that qualifies
	if rationed {
		probes = upperBound(0.02 / s.Probing.Cost * arrive) // they cost a fiftieth of the result at the most
	}
	require.LessOrEqual(w.t, w.peak("probes", since), probes, "%s: probes in 100 ms", what)
	if started == 0 {
		return
	}
	// A warm host stands its part of its group's requests; a cold one its share of that, times the factor of the rule.
	for at := since; at < min(w.now, since+s.SlowStart.Duration/2); at += measuredWindow {
		share := s.SlowStart.Floor + (1-s.SlowStart.Floor)*float64(at+measuredWindow-since)/float64(s.SlowStart.Duration)
		stands := s.SlowStart.OverloadFactor * share * arrive / simulatedGroups / 3 * float64(started)
		n := 0.0
		for i := range measuredWindow / measuredSlot {
			n += w.counted["cold"][at/measuredSlot+i]
		}
		require.LessOrEqual(w.t, int(n), upperBound(stands), "%s: work at cold hosts, %v after the start", what, at-since)
	}
}

// worstOverload is the most that a host which started since a moment was sent, as a share of what it stands: in any fall time,
// whatever of it it turned away, N requests of mean work, twice their root for chance, and two. N is the multiple that the
// settings allow, of the capacity that it is sure to have when that time begins; a warm host's is no less than the load that
// such hosts bear, a replica's part of what a group is asked when nobody has to come again. What came to two thirds or more
// from routers that were not told is nobody's fault.
func (w *fleetSimulation) worstOverload(since time.Duration) (worst, told float64, hosts int) {
	s := &w.cfg
	for h, e := range w.list {
		if e.StartedAt < since || e.Removed {
			continue
		}
		hosts++
		sum, untold := 0.0, 0.0
		work, other := w.counted["work "+h], w.counted["untold "+h]
		for at := e.StartedAt / measuredSlot; at*measuredSlot < min(w.now, e.StartedAt+s.SlowStart.Duration+overloadWindow); at++ {
			sum += work[at]
			untold += other[at]
			from := at - overloadWindow/measuredSlot + 1
			if from*measuredSlot < e.StartedAt {
				from = e.StartedAt / measuredSlot
			} else {
				sum -= work[from-1]
				untold -= other[from-1]
			}
			share := s.SlowStart.Floor + (1-s.SlowStart.Floor)*min(1, float64(max(from*measuredSlot-e.StartedAt, 0))/float64(s.SlowStart.Duration))
			if share >= 1 {
				break
			}
			allowed := s.SlowStart.OverloadFactor * share * w.capacity(h) * overloadWindow.Seconds()
			over := sum / (allowed + 2*math.Sqrt(allowed) + 2)
			worst = max(worst, over)
			if sum-untold > sum*2/3 {
				told = max(told, over)
			}
		}
	}
	return worst, told, hosts
}

// capacity is the requests a second that a host stands once it is warm.
func (w *fleetSimulation) capacity(host string) float64 {
	return w.baseRate / float64(w.groups) / float64(w.replicas) * cmp.Or(w.speeds[host], 1)
}

// requireCapacity holds each host that started since a moment to what it stands.
func (w *fleetSimulation) requireCapacity(what string, since time.Duration) {
	w.t.Helper()
	_, worst, n := w.worstOverload(since)
	require.Positive(w.t, n, "%s: hosts started", what)
	require.Positive(w.t, worst, "%s: cold hosts take their part", what)
	w.t.Logf("%s: a cold host was sent %.0f%% of what it stands in %v, at the most; refused: %.0f%%", what, 100*worst, overloadWindow,
		100*float64(w.rejected)/float64(w.arrived))
	require.LessOrEqual(w.t, worst, 1.0, what)
}

// hosts names some members of all groups.
func (w *fleetSimulation) hosts(numbers ...int) (names []string) {
	for g := range w.groups {
		for _, i := range numbers {
			names = append(names, fmt.Sprintf("h%d-%d", g, i))
		}
	}
	return names
}

func atOnce(int) time.Duration { return 0 }

// drain lists hosts as draining.
func (w *fleetSimulation) drain(hosts ...string) {
	var entries []Target
	for _, h := range hosts {
		e := w.list[h]
		e.Draining, e.Primary = true, false
		entries = append(entries, e)
	}
	w.announce(entries...)
}

// add has hosts of other names join, each in the group of one that is there.
func (w *fleetSimulation) add(beside ...string) {
	var entries []Target
	for _, h := range beside {
		entries = append(entries, Target{Host: "new-" + h, Group: w.list[h].Group, StartedAt: w.now})
	}
	w.announce(entries...)
}

// promote makes one host of each group its primary; the one that was becomes a replica.
func (w *fleetSimulation) promote(hosts ...string) {
	var entries []Target
	for _, h := range hosts {
		for _, e := range w.entries() {
			if e.Group == w.list[h].Group && e.Primary {
				e.Primary = false
				entries = append(entries, e)
			}
		}
		next := w.list[h]
		next.Primary = true
		entries = append(entries, next)
	}
	w.announce(entries...)
}

// slow gives hosts a part of the usual capacity.
func (w *fleetSimulation) slow(speed float64, hosts ...string) {
	for _, h := range hosts {
		w.speeds[h] = speed
	}
}

// start begins hosts anew, whether or not they were down.
func (w *fleetSimulation) start(late func(router int) time.Duration, hosts ...string) {
	var entries []Target
	for _, h := range hosts {
		delete(w.down, h)
		e := w.list[h]
		e.StartedAt = w.now
		entries = append(entries, e)
	}
	w.announceLate(late, entries...)
}

// bounce takes hosts down for a while first.
func (w *fleetSimulation) bounce(d time.Duration, hosts ...string) {
	for _, h := range hosts {
		w.down[h] = true
	}
	w.play(d)
	w.start(atOnce, hosts...)
}

// lagBehind gives hosts data that is too old for bounded reads.
func (w *fleetSimulation) lagBehind(hosts ...string) {
	for _, h := range hosts {
		w.lag[h] = 20 * time.Second
	}
}
