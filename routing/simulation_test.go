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

// scheduledEvent is an event that is delivered to a router at a set time.
type scheduledEvent struct {
	at          time.Duration
	order       int // events of the same time are delivered in the order in which they were scheduled
	router      int
	incarnation int // of the router: events for an earlier one are dropped
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
	probeWork        = 0.02 // the work of a probe, as a fraction of a request's; sites state about a hundredth
	measuredWindow   = 100 * ms
	measuredSlot     = 10 * ms
	overloadWindow   = 1500 * ms // how long a warming host withstands an overload, as in the settings
)

// fleetSimulation simulates a whole fleet on one test clock: client requests, hosts that answer after some
// time and the connections that sends need. It counts what all routers together do in each measuredSlot.
type fleetSimulation struct {
	t             testing.TB
	cfg           Settings
	routers       []*Router
	incarnations  []int
	shares        []float64 // cumulative shares of the routers in the requests
	now           time.Duration
	lastOrder     int
	queue         eventQueue
	rng           *rand.Rand
	list          map[string]Target
	down          map[string]bool          // connections to them are refused
	broken        map[string]bool          // connections to them can't be made, though they are listed as usual
	answerTimes   map[string]time.Duration // of hosts whose answers do not take answerTime
	lag           map[string]time.Duration // how far a replica's data is behind
	idle          map[[2]string]int
	requests      map[string]*clientRequest
	counted       map[string]map[time.Duration]float64 // counts by name and time slot
	rejected      int
	arrived       int
	rate          float64 // requests a second
	baseRate      float64 // the rate at which a replica's share of a group's requests is what a warm host bears
	groups        int
	replicas      int                // of each group
	speeds        map[string]float64 // of hosts whose capacity is not the usual one, as a fraction of that
	mix           []float64          // weight of each class among the requests
	clientRetries int                // how often a client retries after a rejection
	marksRetries  bool               // clients mark their retries as such
	turnovers     int
	turnover      time.Duration                 // each tenth of the routers restarts once in ten such times; 0: none does
	heavyWork     float64                       // work of a class that becomes heavy
	oneGroupClass int                           // a class, counted from 1, whose requests are all for the first group; 0: none
	work          *fleetWork                    // nil: each request is one request of mean work
	withstands    func(allowed float64) float64 // the work that a host withstands in a window, of which so much is allowed
}

// clientRequest is a client's request, with its attempts and the client's retries so far.
type clientRequest struct {
	class, group, router, attempts, retries int
	deadline                                time.Duration
	work                                    float64 // in requests of mean work
}

func newFleetSimulation(t testing.TB) *fleetSimulation {
	return newFleetSimulationOf(t, simulatedRouters, simulatedGroups, 9, nil)
}

// newFleetSimulationOf simulates routers with equal shares of the requests, unless share gives the share of
// each. The request rate of a group does not depend on the number of routers.
func newFleetSimulationOf(t testing.TB, routers, groups int, seed uint64, share func(router int) float64) *fleetSimulation {
	return newFleetSimulationWith(t, routers, groups, usualReplicas, seed, share)
}

// newFleetSimulationWith simulates groups of a primary and the given number of replicas.
func newFleetSimulationWith(t testing.TB, routers, groups, replicas int, seed uint64, share func(router int) float64) *fleetSimulation {
	w := &fleetSimulation{
		replicas: replicas, speeds: map[string]float64{},
		t: t, now: startTime, rate: simulatedRate / simulatedGroups * float64(groups), groups: groups, rng: rand.New(rand.NewPCG(3, seed-5)),
		list: map[string]Target{}, down: map[string]bool{}, broken: map[string]bool{}, answerTimes: map[string]time.Duration{},
		lag: map[string]time.Duration{}, idle: map[[2]string]int{}, requests: map[string]*clientRequest{},
		counted: map[string]map[time.Duration]float64{}, mix: []float64{eventualRead: 4.5, boundedRead: 4.5, atMostOnceWrite: 1, deduplicatedWrite: 0},
		incarnations: make([]int, routers), withstands: func(allowed float64) float64 { return allowed + 2*math.Sqrt(allowed) + 2 },
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

// draw returns a random index, weighted by shares that are given as cumulative sums.
func (w *fleetSimulation) draw(sums []float64) int {
	x := w.rng.Float64() * sums[len(sums)-1]
	return sort.Search(len(sums)-1, func(i int) bool { return x < sums[i] })
}

// restartRouter replaces a router by a new one, which gets the present endpoint list or an older one. The
// clients of its pending requests retry at random routers, except for at-most-once writes.
func (w *fleetSimulation) restartRouter(router int, known []Target) {
	w.cfg.RouterIndex = router
	c, err := New(w.cfg, uint64(w.lastOrder))
	require.NoError(w.t, err)
	w.routers[router] = c
	w.incarnations[router]++
	if known == nil {
		known = w.entries()
	}
	w.schedule(0, router, TargetsChanged{Full: true, Targets: known})
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		if q := w.requests[id]; q.router == router {
			delete(w.requests, id)
			if q.class != atMostOnceWrite {
				w.arrive(ms, w.draw(w.shares), q)
			}
		}
	}
}

// entries returns the endpoint list as discovery has it.
func (w *fleetSimulation) entries() (all []Target) {
	for _, h := range slices.Sorted(maps.Keys(w.list)) {
		if !w.list[h].Removed {
			all = append(all, w.list[h])
		}
	}
	return all
}

// arrive schedules the arrival of a request at a router.
func (w *fleetSimulation) arrive(after time.Duration, router int, q *clientRequest) {
	w.arrived++
	id := fmt.Sprint("q", w.arrived)
	left := q.deadline - w.now - after
	if left <= 0 {
		return
	}
	next := *q
	next.router, next.attempts = router, 0
	w.requests[id] = &next
	w.schedule(after, router, RequestArrived{
		ID: id, Class: q.class, Group: uint64(q.group), TimeRemaining: left,
		IsRetry: q.retries > 0 && w.marksRetries,
	})
}

// announce sends entries of the endpoint list to all routers.
func (w *fleetSimulation) announce(entries ...Target) {
	w.announceLate(func(int) time.Duration { return 0 }, entries...)
}

// announceLate sends entries of the endpoint list to each router after the delay that late returns; below 0:
// never.
func (w *fleetSimulation) announceLate(late func(router int) time.Duration, entries ...Target) {
	for _, e := range entries {
		w.list[e.Host] = e
	}
	for i := range w.routers {
		if after := late(i); after >= 0 {
			w.schedule(after, i, TargetsChanged{Targets: entries})
		}
	}
}

func (w *fleetSimulation) schedule(after time.Duration, router int, e Event) {
	w.lastOrder++
	heap.Push(&w.queue, scheduledEvent{w.now + after, w.lastOrder, router, w.incarnations[router], e})
}

func (w *fleetSimulation) count(what string, n float64) {
	if w.counted[what] == nil {
		w.counted[what] = map[time.Duration]float64{}
	}
	w.counted[what][w.now/measuredSlot] += n
}

// peak returns the largest count in any measuredWindow since a time.
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

// play runs the simulation for a time. With a turnover, one tenth of the routers after the other restarts.
func (w *fleetSimulation) play(d time.Duration) {
	for w.turnover > 0 && d > w.turnover {
		w.playWithoutTurnover(w.turnover)
		d -= w.turnover
		w.turnovers++
		for i := range w.routers {
			if i%10 == w.turnovers%10 {
				w.restartRouter(i, nil)
			}
		}
	}
	w.playWithoutTurnover(d)
}

// playWithoutTurnover runs the simulation for a time, with requests drawn at random over routers, groups and
// classes.
func (w *fleetSimulation) playWithoutTurnover(d time.Duration) {
	end := w.now + d
	var classes []float64
	sum := 0.0
	for _, part := range w.mix {
		sum += part
		classes = append(classes, sum)
	}
	for at := w.now; at < end; at += time.Duration(w.rng.ExpFloat64() / w.rate * float64(time.Second)) {
		class := w.draw(classes)
		q := &clientRequest{
			class: class, group: 1 + w.rng.IntN(w.groups),
			deadline: at + w.cfg.Classes[class].Deadline,
		}
		if class+1 == w.oneGroupClass {
			q.group = 1
		}
		q.work = w.work.draw(class)
		w.arrive(at-w.now, w.draw(w.shares), q)
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
			w.execute(x.router, a)
		}
	}
	w.now = end
}

func (w *fleetSimulation) execute(router int, a Action) {
	switch a.Kind {
	case ActTimer:
		w.schedule(a.At-w.now, router, TimerFired{})
	case ActReject, ActFail:
		w.rejected++
		w.count("refused", 1)
		if q := w.requests[a.ID]; q != nil && a.Kind == ActReject && q.retries < w.clientRetries {
			q.retries++
			w.arrive(50*ms, router, q) // clients ignore the Retry-After
		}
		delete(w.requests, a.ID)
	case ActProbe:
		w.count("probes", 1)
		w.countWork(router, a.Host, probeWork)
		e := ProbeEnded{Host: a.Host, Report: Report{Position: w.now - w.lag[a.Host], Role: w.role(a.Host)}}
		if w.down[a.Host] || w.broken[a.Host] {
			e.Code, e.Report = NoConnection, Report{}
		}
		w.schedule(probeTime, router, e)
	case ActSend:
		m, q := w.list[a.Host], w.requests[a.ID]
		require.False(w.t, m.Removed || m.Draining, "work for %s, which was removed or is draining", a.Host)
		w.countWork(router, a.Host, q.work)
		if w.isWarming(router, a.Host) {
			w.count("cold", 1)
			w.count("cold "+a.Host, 1)
		}
		e := AttemptEnded{
			ID: a.ID, Attempt: q.attempts, Host: a.Host, Code: OK, Role: w.role(a.Host), Final: true,
			Elapsed: cmp.Or(w.answerTimes[a.Host], w.work.answerTime(q.work, cmp.Or(w.speeds[a.Host], 1))),
		}
		q.attempts++
		if link := [2]string{fmt.Sprint(router), a.Host}; w.idle[link] > 0 {
			w.idle[link]--
		} else {
			w.count("connects", 1)
			w.count("connects "+a.Host, 1)
			w.countWork(router, a.Host, w.work.handshake())
		}
		if w.down[a.Host] || w.broken[a.Host] {
			e.Code, e.Role, e.Final, e.Elapsed = NoConnection, Unknown, false, ms
		} else if w.cfg.Classes[q.class].Access == Write && e.Role != Primary {
			e.Code, e.Final, e.Elapsed = Misdirected, false, ms
		}
		w.schedule(e.Elapsed, router, e)
	}
}

// isWarming reports whether a router knows that a host is in slow start.
func (w *fleetSimulation) isWarming(router int, host string) bool {
	m := w.routers[router].members[host]
	return m.startedAt > 0 && w.now-m.startedAt < w.cfg.SlowStart.Duration
}

// countWork counts the work that reaches a host, and separately the part from routers that don't know of its
// start.
func (w *fleetSimulation) countWork(router int, host string, n float64) {
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

// upperBound returns the limit for a count of a given mean: four standard deviations above it.
func upperBound(mean float64) int { return int(math.Ceil(mean + 4*math.Sqrt(mean))) }

// requireBounds requires that what the fleet did since a time stays within what the settings and the requests
// allow in any 100 ms. started is the number of hosts that started at that time. rationed tells whether the
// probe budget limits probes: it does not where no primary can serve the reads instead.
func (w *fleetSimulation) requireBounds(what string, since time.Duration, started int, rationed bool) {
	w.t.Helper()
	const arrive = simulatedRate * float64(measuredWindow) / float64(time.Second)
	s := &w.routers[0].cfg
	most := upperBound(arrive * (1 + retryBudgetRatio)) // one for each attempt, if each needs a new connection
	require.LessOrEqual(w.t, w.peak("connects", since), most, "%s: connects in 100 ms", what)
	for h := range w.list {
		require.LessOrEqual(w.t, w.peak("connects "+h, since), upperBound(arrive/simulatedGroups*(1+retryBudgetRatio)),
			"%s: connects at %s: only its group's requests need them", what, h)
	}
	probes := upperBound(2 * arrive) // two per read are enough to find a replica that qualifies
	if rationed {
		probes = upperBound(0.02 / s.Probing.Cost * arrive) // they cost at most a fiftieth of the result
	}
	require.LessOrEqual(w.t, w.peak("probes", since), probes, "%s: probes in 100 ms", what)
	if started == 0 {
		return
	}
	// A warm host bears its share of its group's requests; a warming one a fraction of that, times the
	// overload factor.
	for at := since; at < min(w.now, since+s.SlowStart.Duration/2); at += measuredWindow {
		share := s.SlowStart.Floor + (1-s.SlowStart.Floor)*float64(at+measuredWindow-since)/float64(s.SlowStart.Duration)
		stands := s.SlowStart.OverloadFactor * share * arrive / simulatedGroups / 3 * float64(started)
		n := 0.0
		for i := range measuredWindow / measuredSlot {
			n += w.counted["cold"][at/measuredSlot+i]
		}
		require.LessOrEqual(w.t, int(n), upperBound(stands), "%s: work at warming hosts, %v after the start", what, at-since)
	}
}

// worstOverload returns the largest load of any host that started since a time, as a fraction of what the
// host withstands. The load is what the host was sent in any overload window, including what it rejected. It
// withstands N requests of mean work and, unless w.withstands is set otherwise, twice the root of N for chance
// and two. N is the multiple that the settings allow of the capacity that the host surely has when that window
// begins. The capacity of a warm host is a replica's share of the requests for its group while no client has
// to retry. It counts only the windows in which more than two thirds of the work came from routers that had
// been told of the host's start.
func (w *fleetSimulation) worstOverload(since time.Duration) (worst float64, hosts int) {
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
			if sum-untold > sum*2/3 {
				worst = max(worst, sum/w.withstands(allowed))
			}
		}
	}
	return worst, hosts
}

// capacity returns the requests a second that a host bears once it is warm.
func (w *fleetSimulation) capacity(host string) float64 {
	return w.baseRate / float64(w.groups) / float64(w.replicas) * cmp.Or(w.speeds[host], 1)
}

// requireCapacity requires that no host that started since a time was sent more than it withstands.
func (w *fleetSimulation) requireCapacity(what string, since time.Duration) {
	w.t.Helper()
	worst, n := w.worstOverload(since)
	require.Positive(w.t, n, "%s: hosts started", what)
	require.Positive(w.t, worst, "%s: warming hosts get some of the work", what)
	w.t.Logf("%s: a warming host was sent at most %.0f%% of what it withstands in %v; rejected: %.0f%%", what, 100*worst, overloadWindow,
		100*float64(w.rejected)/float64(w.arrived))
	require.LessOrEqual(w.t, worst, 1.0, what)
}

// hosts returns the names of the members with these numbers in all groups; number 0 is the initial primary.
func (w *fleetSimulation) hosts(numbers ...int) (names []string) {
	for g := range w.groups {
		for _, i := range numbers {
			names = append(names, fmt.Sprintf("h%d-%d", g, i))
		}
	}
	return names
}

func withoutDelay(int) time.Duration { return 0 }

// drain announces hosts as draining.
func (w *fleetSimulation) drain(hosts ...string) {
	var entries []Target
	for _, h := range hosts {
		e := w.list[h]
		e.Draining, e.Primary = true, false
		entries = append(entries, e)
	}
	w.announce(entries...)
}

// add announces a new host for each given host, in the same group.
func (w *fleetSimulation) add(beside ...string) {
	var entries []Target
	for _, h := range beside {
		entries = append(entries, Target{Host: "new-" + h, Group: w.list[h].Group, StartedAt: w.now})
	}
	w.announce(entries...)
}

// promote makes each host the primary of its group; the previous primary becomes a replica.
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

// setSpeed gives hosts a fraction of the usual capacity.
func (w *fleetSimulation) setSpeed(speed float64, hosts ...string) {
	for _, h := range hosts {
		w.speeds[h] = speed
	}
}

// startHosts announces a new start of hosts, whether or not they were down.
func (w *fleetSimulation) startHosts(late func(router int) time.Duration, hosts ...string) {
	var entries []Target
	for _, h := range hosts {
		delete(w.down, h)
		e := w.list[h]
		e.StartedAt = w.now
		entries = append(entries, e)
	}
	w.announceLate(late, entries...)
}

// restartHosts takes hosts down for a time and then starts them.
func (w *fleetSimulation) restartHosts(d time.Duration, hosts ...string) {
	for _, h := range hosts {
		w.down[h] = true
		maps.DeleteFunc(w.idle, func(link [2]string, _ int) bool { return link[1] == h })
	}
	w.play(d)
	w.startHosts(withoutDelay, hosts...)
}

// lagBehind makes the data of hosts too old for bounded reads.
func (w *fleetSimulation) lagBehind(hosts ...string) {
	for _, h := range hosts {
		w.lag[h] = 20 * time.Second
	}
}
