package routing

import (
	"fmt"
	"testing"
	"time"
)

// fleet drives hundreds of routers before a few shared members by hand: every event is written out here, and
// answers is asked what an attempt comes to.
type fleet struct {
	t       testing.TB
	routers []*Router
	now     time.Duration
	ids     int
	sends   map[string]int // by host
	probes  int
	answers func(host string, class int) (Code, Role, time.Duration)
}

func newFleet(t testing.TB, n int, hosts []Target) *fleet {
	f := &fleet{t: t, now: startTime, sends: map[string]int{}}
	s := settings()
	s.RouterCount, s.SlowStart.OverloadFactor, s.ConnIdleTimeout = n, 2.5, 30*time.Second
	for i := range n {
		s.RouterIndex = i
		c, err := New(s, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.routers = append(f.routers, c)
	}
	f.list(hosts...)
	return f
}

func (f *fleet) list(hosts ...Target) {
	for _, c := range f.routers {
		f.carryOut(c, c.Step(f.now, []Event{{Kind: EventTargets, Targets: hosts}}), nil)
	}
}

// carryOut counts the actions and gives each send its outcome at once, each probe a report of the present.
func (f *fleet) carryOut(c *Router, as []Action, classes map[string]int) {
	var es []Event
	for _, a := range as {
		switch a.Kind {
		case ActSend:
			f.sends[a.Host]++
			if f.answers != nil {
				code, role, elapsed := f.answers(a.Host, classes[a.ID])
				es = append(es, Event{
					Kind: EventOutcome, ID: a.ID, Attempt: len(c.requests[a.ID].attempts) - 1, Host: a.Host,
					Code: code, Role: role, Final: code == OK, Elapsed: elapsed,
				})
			}
		case ActProbe:
			f.probes++
			role := Replica
			if a.Host == "p" {
				role = Primary
			}
			es = append(es, Event{Kind: EventProbeResult, Host: a.Host, Report: Report{Position: f.now, Role: role}})
		}
	}
	if len(es) > 0 {
		f.carryOut(c, append([]Action(nil), c.Step(f.now, es)...), classes)
	}
}

// play gives each router in turn a request of the class, one every step, and wakes all of them now and then.
func (f *fleet) play(requests, class int, step time.Duration) {
	for i := range requests {
		f.now += step
		f.ids++
		id := fmt.Sprint("f", f.ids)
		c := f.routers[i%len(f.routers)]
		f.carryOut(c, append([]Action(nil), c.Step(f.now, []Event{{
			Kind: EventRequest, ID: id, Class: class, Group: 1,
			TimeRemaining: c.cfg.Classes[class].Deadline,
		}})...), map[string]int{id: class})
	}
}

func answerQuickly(host string, class int) (Code, Role, time.Duration) {
	if host == "p" {
		return OK, Primary, 50 * ms
	}
	return OK, Replica, 50 * ms
}

// What all routers together send a cold member stays a part of what comes in, whether a warm one is left or not, and
// however many routers there are. With four members a warm one gets a third of the reads.
func TestFleetSlowStart(t *testing.T) {
	for _, routers := range []int{1, 300} {
		for name, cold := range map[string][]string{"one": {"a"}, "all": {"a", "b", "c"}} {
			hosts := shard()
			for i := range hosts {
				for _, h := range cold {
					if hosts[i].Host == h {
						hosts[i].StartedAt = startTime
					}
				}
			}
			f := newFleet(t, routers, hosts)
			f.answers = answerQuickly
			f.play(1000, eventualRead, ms)
			most := 1000.0 / 3 * slowStartSafety * 2.5 * 0.29 // the sure share rises to 0.28 within the second
			if got := float64(f.sends["a"]); got == 0 || got > 1.25*most {
				t.Errorf("%d routers, %s cold: %.0f sends to a in a second, want up to %.0f", routers, name, got, most)
			}
		}
	}
}

// Hosts that were replaced leave their part to those that came: members that are remembered, though gone, take none.
func TestFleetSlowStartAfterReplacement(t *testing.T) {
	for _, routers := range []int{1, 80} {
		f := newFleet(t, routers, shard())
		f.answers = answerQuickly
		f.list(Target{Host: "x", Group: 1, StartedAt: startTime}, Target{Host: "y", Group: 1, StartedAt: startTime},
			Target{Host: "z", Group: 1, StartedAt: startTime}, Target{Host: "a", Group: 1, Removed: true},
			Target{Host: "b", Group: 1, Removed: true}, Target{Host: "c", Group: 1, Removed: true})
		f.play(1000, eventualRead, ms)
		expected := 1000.0 / 3 * slowStartSafety * 2.5 * 0.24 // a third of the reads, at the sure share's mean over a second
		for _, h := range []string{"x", "y", "z"} {
			if got := float64(f.sends[h]); got < 0.6*expected || got > 1.4*expected {
				t.Errorf("%d routers: %.0f sends to cold %s in a second, want about %.0f", routers, got, h, expected)
			}
		}
	}
}

// Writes that every router held while the group was down don't reach a restarted member at a stroke, neither those
// that search for the primary nor those that know it.
func TestFleetReleasesQueuedWritesSlowly(t *testing.T) {
	hosts := shard()
	for i := range hosts {
		hosts[i].Removed = true
	}
	f := newFleet(t, 300, shard())
	f.list(hosts...)
	f.play(300, atMostOnceWrite, ms)
	for i := range hosts {
		hosts[i] = Target{Host: hosts[i].Host, Group: 1, StartedAt: f.now}
	}
	f.answers = func(host string, class int) (Code, Role, time.Duration) {
		if host == "p" {
			return OK, Primary, 50 * ms
		}
		return Misdirected, Replica, ms
	}
	f.list(hosts...)
	for range 100 {
		f.now += 10 * ms
		for _, c := range f.routers {
			f.carryOut(c, append([]Action(nil), c.Step(f.now, []Event{{Kind: EventTimer}})...), nil)
		}
	}
	for _, h := range []string{"p", "a", "b", "c"} {
		if f.sends[h] > 60 {
			t.Errorf("%d of 300 held writes went to cold %s within a second", f.sends[h], h)
		}
	}
}

// Positions are asked for only by reads that need them, two at the most, and nothing is asked at the start.
func TestFleetProbes(t *testing.T) {
	f := newFleet(t, 300, shard())
	f.answers = answerQuickly
	if f.probes > 0 {
		t.Errorf("%d probes before any request", f.probes)
	}
	f.play(600, eventualRead, ms)
	if f.probes > 0 {
		t.Errorf("%d probes for reads that any member may answer", f.probes)
	}
	f.play(600, boundedRead, ms)
	if f.probes == 0 || f.probes > 600*maxProbesPerRead || f.sends["p"] > 0 {
		t.Errorf("%d probes for 600 bounded reads, %d of them at the primary", f.probes, f.sends["p"])
	}
}

// When every attempt fails late, all routers together make few further ones.
func TestFleetRetries(t *testing.T) {
	f := newFleet(t, 300, shard())
	f.answers = func(string, int) (Code, Role, time.Duration) { return NoAnswer, Unknown, 380 * ms }
	f.play(900, eventualRead, ms)
	total := 0
	for _, n := range f.sends {
		total += n
	}
	if extra := total - 900; extra > 90+150 { // a tenth, and half an attempt saved at each router's start
		t.Errorf("%d extra attempts for 900 reads", extra)
	}
}

// A router that has few open connections goes on using them, so that a host needs few from a large fleet.
func TestFleetSparesConnections(t *testing.T) {
	hosts := []Target{{Host: "p", Group: 1, Primary: true}}
	for i := range 8 {
		hosts = append(hosts, Target{Host: fmt.Sprint("r", i), Group: 1})
	}
	f := newFleet(t, 200, hosts)
	f.answers = answerQuickly
	f.play(200*20, eventualRead, ms)
	open := 0
	for _, c := range f.routers {
		for _, m := range c.members {
			if m.connected {
				open++
			}
		}
	}
	if per := float64(open) / 200; per > 4.5 {
		t.Errorf("after 20 reads a router has connections to %.1f of 8 replicas", per)
	}
	for _, m := range hosts[1:] {
		if n := f.sends[m.Host]; n < 4000/8/2 || n > 4000/8*2 {
			t.Errorf("%s got %d of 4000 reads", m.Host, n)
		}
	}
}

// The fleet grows: new cold members get some of the reads though the routers have connections to others, and no more
// than their part.
func TestFleetGrowth(t *testing.T) {
	f := newFleet(t, 200, shard())
	f.answers = answerQuickly
	f.play(4000, eventualRead, ms)
	grown := shard()
	for i := range 4 {
		grown = append(grown, Target{Host: fmt.Sprint("new", i), Group: 1, StartedAt: f.now})
	}
	f.list(grown...)
	before := f.sends["a"] + f.sends["b"] + f.sends["c"]
	f.play(2000, eventualRead, ms)
	fresh := 0
	for i := range 4 {
		fresh += f.sends[fmt.Sprint("new", i)]
	}
	most := 2000.0 * 4 / 7 * slowStartSafety * 2.5 * 0.36 // as if all draws were open to them; the sure share rises to 0.36
	if fresh < 20 || float64(fresh) > 1.25*most {
		t.Errorf("four new members got %d of 2000 reads, want 20 to %.0f", fresh, 1.25*most)
	}
	if old := f.sends["a"] + f.sends["b"] + f.sends["c"] - before; old+fresh != 2000 {
		t.Errorf("%d reads went elsewhere", 2000-old-fresh)
	}
}

// New connections are slow, open ones are not: most reads stay on open ones.
func TestSlowHandshakes(t *testing.T) {
	hosts := []Target{{Host: "p", Group: 1, Primary: true}}
	for i := range 8 {
		hosts = append(hosts, Target{Host: fmt.Sprint("r", i), Group: 1})
	}
	f := newFleet(t, 100, hosts)
	opened := map[string]int{}
	f.answers = func(host string, class int) (Code, Role, time.Duration) { return OK, Replica, 50 * ms }
	f.play(1000, eventualRead, ms) // ten reads each
	before := map[*Router]map[string]bool{}
	for _, c := range f.routers {
		before[c] = map[string]bool{}
		for h, m := range c.members {
			before[c][h] = m.connected
		}
	}
	var current *Router
	f.answers = func(host string, class int) (Code, Role, time.Duration) {
		if before[current][host] {
			return OK, Replica, 50 * ms
		}
		before[current][host] = true
		opened[host]++
		return OK, Replica, 390 * ms
	}
	for range 10 {
		for _, c := range f.routers {
			current = c
			f.now += ms
			f.ids++
			id := fmt.Sprint("h", f.ids)
			f.carryOut(c, append([]Action(nil), c.Step(f.now, []Event{{
				Kind: EventRequest, ID: id, Class: eventualRead, Group: 1,
				TimeRemaining: c.cfg.Classes[eventualRead].Deadline,
			}})...), map[string]int{id: eventualRead})
		}
	}
	total := 0
	for _, n := range opened {
		total += n
	}
	if total > 200 { // a fifth of 1000
		t.Errorf("%d of 1000 reads opened a connection", total)
	}
}

// Where many attempts fail to connect at once, hosts are out of connections: most routers close theirs after use.
func TestIdleConnectionsCloseWhereHostsAreFull(t *testing.T) {
	for _, k := range []struct {
		routers, failing int // attempts of ten that fail to connect
		closes           bool
	}{{800, 5, true}, {800, 0, false}, {100, 5, false}} {
		s := settings()
		s.RouterCount, s.ConnIdleTimeout = k.routers, 30*time.Second
		g := startHarness(t, s, shard()...)
		closed := 0
		for i := range 200 {
			g.now += 500 * ms
			id, as := g.request(eventualRead, Event{})
			if sent, _ := actionsOf(ActSend, as); len(sent) == 0 {
				continue
			}
			e := Event{Kind: EventOutcome, ID: id, Code: OK, Role: Replica, Final: true, Elapsed: 50 * ms}
			if i%10 < k.failing {
				e = Event{Kind: EventOutcome, ID: id, Code: NoConnection, Elapsed: 2 * ms}
			}
			as = g.step(e)
			if again, _ := actionsOf(ActSend, as); len(again) > 0 {
				as = append(as, g.outcome(id, 1, OK, Replica)...)
			}
			found, _ := actionsOf(ActCloseIdle, as)
			closed += len(found)
			g.step(Event{Kind: EventClientGone, ID: id})
		}
		if (closed > 20) != k.closes {
			t.Errorf("%d routers, %d of 10 fail to connect: %d closes", k.routers, k.failing, closed)
		}
	}
}

// symptoms are the kinds of trouble as one router sees them: what an attempt at a bad host comes to. Half of the
// replicas are bad; the reads must move to the others, and come back when the trouble is over.
func TestFaultsMoveReadsToHealthyReplicas(t *testing.T) {
	turn := 0
	for _, k := range []struct {
		name  string
		bad   func() (Code, Role, time.Duration)
		probe Code
		lag   time.Duration // of the good replicas
		class int
		most  float64 // share of reads at bad hosts
	}{
		{"one-sided: no answer, probes lost", func() (Code, Role, time.Duration) { return NoAnswer, Unknown, 385 * ms }, NoAnswer, 0, boundedRead, 0.2},
		{"one-sided: no answer, probes pass", func() (Code, Role, time.Duration) { return NoAnswer, Unknown, 385 * ms }, OK, 0, boundedRead, 0.3},
		{"one-sided: refused", func() (Code, Role, time.Duration) { return NoConnection, Unknown, ms }, NoConnection, 0, boundedRead, 0.2},
		{"one-sided: reset", func() (Code, Role, time.Duration) { return ConnectionLost, Unknown, 20 * ms }, OK, 0, eventualRead, 0.3},
		{"slow path", func() (Code, Role, time.Duration) { return OK, Replica, 350 * ms }, OK, 0, eventualRead, 0.35},
		{"fast errors", func() (Code, Role, time.Duration) { return ServerError, Replica, ms }, OK, 0, eventualRead, 0.3},
		{"ageing: ever slower", func() (Code, Role, time.Duration) { turn++; return OK, Replica, time.Duration(100+10*turn) * ms }, OK, 0, eventualRead, 0.4},
		{"flapping, the list is silent", func() (Code, Role, time.Duration) {
			if turn++; turn/3%2 == 0 {
				return NoConnection, Unknown, ms
			}
			return OK, Replica, 50 * ms
		}, OK, 0, eventualRead, 0.4},
		{"refused while the others lag", func() (Code, Role, time.Duration) { return NoConnection, Unknown, ms }, NoConnection, time.Second, boundedRead, 0.2},
	} {
		turn = 0
		s := settings()
		s.RouterCount, s.ConnIdleTimeout = 300, 30*time.Second
		hosts := append(shard(), Target{Host: "d", Group: 1})
		g := startHarness(t, s, hosts...)
		count, all, failing := map[string]int{}, 0, true
		var carry func(as []Action)
		carry = func(as []Action) {
			for _, a := range as {
				bad := failing && (a.Host == "a" || a.Host == "b")
				switch a.Kind {
				case ActSend:
					count[a.Host]++
					all++
					code, role, elapsed := answerQuickly(a.Host, 0)
					if bad {
						code, role, elapsed = k.bad()
					}
					n := len(g.c.requests[a.ID].attempts) - 1
					carry(g.step(Event{Kind: EventOutcome, ID: a.ID, Attempt: n, Code: code, Role: role, Final: code == OK, Elapsed: elapsed}))
				case ActProbe:
					e := Event{Kind: EventProbeResult, Host: a.Host, Report: Report{Position: g.now - k.lag, Role: Replica}}
					if bad && k.probe != OK {
						e.Code, e.Report = k.probe, Report{}
					}
					carry(g.step(e))
				}
			}
		}
		run := func(n int) {
			count, all = map[string]int{}, 0
			for range n {
				g.now += 500 * ms
				_, as := g.request(k.class, Event{})
				carry(as)
				for range 3 {
					carry(g.advance(probeAnswerWait))
				}
			}
		}
		run(60)
		if got := float64(count["a"]+count["b"]) / float64(all); got > k.most {
			t.Errorf("%s: %.2f of the attempts went to the bad half, %v", k.name, got, count)
		}
		if k.lag > s.Classes[boundedRead].StalenessBound && count["p"] < 40 {
			t.Errorf("%s: the primary got %v", k.name, count)
		}
		failing = false
		g.now += scoreRetention * time.Second
		run(120)
		if k.lag == 0 && count["a"]+count["b"] < 12 {
			t.Errorf("%s: after the trouble the reads went %v", k.name, count)
		}
	}
}

// When every member errs at times, bounded reads still ask for positions and go on by the draw.
func TestPositionsAreProbedThoughAllAreOutliers(t *testing.T) {
	s := settings()
	s.RouterCount = 300
	g := startHarness(t, s, shard()...)
	for _, m := range g.c.members {
		g.c.recordScore(m, faultScore)
		g.c.recordScore(m, faultScore)
	}
	_, as := g.request(boundedRead, Event{})
	found, host := actionsOf(ActProbe, as)
	if len(found) == 0 {
		t.Fatalf("with all in doubt a bounded read led to %v", as)
	}
	if sent, to := actionsOf(ActSend, g.reportPositions(Replica, 0, host)); len(sent) != 1 || to != host {
		t.Errorf("after %s showed its position: %v", host, sent)
	}
}

// Repeats that clients mark go first when anything is shed.
func TestRetriesAreShedFirst(t *testing.T) {
	s := settings()
	s.RouterCount = 400
	g := startHarness(t, s, shard()...)
	g.reportPositions(Replica, 0, "a", "b", "c")
	refused := func(again bool) bool {
		id, as := g.request(eventualRead, Event{TimeRemaining: 1300 * ms, IsRetry: again})
		if r := g.c.requests[id]; r != nil && r.inFlight > 0 {
			g.step(Event{Kind: EventOutcome, ID: id, Code: OK, Role: Replica, Final: true, Elapsed: 50 * ms})
		}
		found, _ := actionsOf(ActReject, as)
		return len(found) > 0
	}
	for range 20 {
		if refused(false) {
			t.Fatal("a first try was refused")
		}
	}
	if refused(true) {
		t.Error("a repeat was refused though nothing is shed")
	}
	s.Classes[eventualRead].LateFraction = 0 // the rig shares the classes' settings, not their values: take a new one
	g = startHarness(t, s, shard()...)
	for range 20 {
		refused(false)
	}
	g.c.groups[1].admissions[0].shedFraction = 0.1
	repeats, firsts := 0, 0
	for range 30 {
		g.c.groups[1].admissions[0].shedFraction = 0.1
		if refused(true) {
			repeats++
		}
		for range 3 {
			if refused(false) {
				firsts++
			}
		}
	}
	if repeats < 28 || firsts > 25 {
		t.Errorf("of 30 repeats %d were refused, of 90 first tries %d", repeats, firsts)
	}
}

// Requests beyond their tenant's share are shed before those inside.
func TestTenantQuotas(t *testing.T) {
	s := settings()
	s.RouterCount, s.OverQuotaFraction = 100, 0.1
	s.Tenants = []Tenant{{Name: "small", Quota: 50}, {Name: "large", Quota: 1000}}
	g := startHarness(t, s, shard()...)
	refused := [3]int{}
	for range 400 {
		for tenant := 1; tenant <= 2; tenant++ { // 200 a second each, if all routers see as much
			g.now += 250 * ms
			g.c.groups[1].admissions[0].shedFraction, g.c.groups[1].admissions[0].inTimeFraction = 0.3, 1
			id, as := g.request(eventualRead, Event{Tenant: tenant})
			if found, _ := actionsOf(ActReject, as); len(found) > 0 {
				refused[tenant]++
			} else {
				g.outcome(id, 0, OK, Replica)
			}
		}
	}
	if refused[1] < 2*refused[2] || refused[2] == 0 {
		t.Errorf("refused: %d of the tenant over its share, %d of the one inside", refused[1], refused[2])
	}
}

// What has left is released with all that refers to it; a host may come back, change its group or its start.
func TestEndpointListChanges(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	gone := shard()
	for i := range gone {
		gone[i].Removed = true
	}
	g.step(Event{Kind: EventTargets, Targets: gone})
	g.step(Event{Kind: EventTargets, Targets: shard()}) // back at once: what was known still counts
	if len(g.c.members) != 4 || g.c.groups[1].primary() != nil {
		t.Errorf("%d members, primary %v: a drained one is none until it shows again", len(g.c.members), g.c.groups[1].primary())
	}
	g.step(Event{Kind: EventTargets, Targets: gone})
	g.now += memberRetention + time.Second
	g.step(Event{Kind: EventTargets, Targets: []Target{{Host: "x", Group: 2, StartedAt: g.now + time.Hour}}})
	if len(g.c.members) != 1 || len(g.c.groups) != 1 {
		t.Errorf("%d members in %d groups are left", len(g.c.members), len(g.c.groups))
	}
	x := g.c.members["x"]
	if x.startedAt > g.now || g.c.slowStartRatio(x) >= 1 {
		t.Errorf("a start in the future: %v, ration %v", x.startedAt-g.now, g.c.slowStartRatio(x))
	}
	was := x.startedAt
	g.now += time.Second
	g.step(Event{Kind: EventTargets, Targets: []Target{{Host: "x", Group: 2, StartedAt: was - time.Minute}}})
	if x.startedAt != was {
		t.Error("a start went back")
	}
	g.step(Event{Kind: EventTargets, Targets: []Target{{Host: "x", Group: 3}}})
	as := g.step(Event{Kind: EventRequest, ID: "q", Class: eventualRead, Group: 2, TimeRemaining: time.Second})
	if found, _ := actionsOf(ActSend, as); len(found) != 0 || g.c.groups[2] != nil {
		t.Errorf("after x went to group 3, group 2 led to %v", as)
	}
	as = g.step(Event{Kind: EventRequest, ID: "s", Class: eventualRead, Group: 3, TimeRemaining: time.Second})
	if _, host := actionsOf(ActSend, as); host != "x" {
		t.Errorf("group 3 led to %v", as)
	}
}
