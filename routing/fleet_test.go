package routing

import (
	"fmt"
	"testing"
	"time"
)

// fleet drives hundreds of routers that share a few members. It delivers every event itself; answers
// determines how an attempt ends.
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
		f.execute(c, c.Step(f.now, []Event{TargetsChanged{Targets: hosts}}), nil)
	}
}

// execute counts the actions. It answers each send at once, and each probe with a report of the present
// position.
func (f *fleet) execute(c *Router, actions []Action, classes map[string]int) {
	var events []Event
	for _, a := range actions {
		switch a.Kind {
		case ActSend:
			f.sends[a.Host]++
			if f.answers != nil {
				code, role, elapsed := f.answers(a.Host, classes[a.ID])
				events = append(events, AttemptEnded{
					ID: a.ID, Attempt: len(c.requests[a.ID].attempts) - 1, Host: a.Host,
					Code: code, Role: role, Final: code == OK, Elapsed: elapsed,
				})
			}
		case ActProbe:
			f.probes++
			role := Replica
			if a.Host == "p" {
				role = Primary
			}
			events = append(events, ProbeEnded{Host: a.Host, Report: Report{Position: f.now, Role: role}})
		}
	}
	if len(events) > 0 {
		f.execute(c, append([]Action(nil), c.Step(f.now, proven(events))...), classes)
	}
}

// play gives each router in turn a request of the class, one a millisecond.
func (f *fleet) play(requests, class int) {
	for i := range requests {
		f.now += ms
		f.ids++
		id := fmt.Sprint("f", f.ids)
		c := f.routers[i%len(f.routers)]
		f.execute(c, append([]Action(nil), c.Step(f.now, []Event{RequestArrived{
			ID: id, Class: class, Group: 1,
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

// All routers together send a warming member only a limited part of the reads, whether or not a warm replica
// is left and however many routers there are. With four members a warm replica gets a third of the reads.
func TestFleetSlowStart(t *testing.T) {
	for _, routers := range []int{1, 300} {
		for name, cold := range map[string][]string{"one": {"a"}, "all": {"a", "b", "c"}} {
			hosts := testGroup()
			for i := range hosts {
				for _, h := range cold {
					if hosts[i].Host == h {
						hosts[i].StartedAt = startTime
					}
				}
			}
			f := newFleet(t, routers, hosts)
			f.answers = answerQuickly
			f.play(1000, eventualRead)
			most := 1000.0 / 3 * slowStartSafety * 2.5 * 0.29 // the sure part of its capacity rises to 0.28 within the second
			if got := float64(f.sends["a"]); got == 0 || got > 1.25*most {
				t.Errorf("%d routers, %s cold: %.0f sends to a in a second, want up to %.0f", routers, name, got, most)
			}
		}
	}
}

// Replacements get the share of the hosts that they replace: removed members that the routers still remember
// don't count.
func TestFleetSlowStartAfterReplacement(t *testing.T) {
	for _, routers := range []int{1, 80} {
		f := newFleet(t, routers, testGroup())
		f.answers = answerQuickly
		f.list(Target{Host: "x", Group: 1, StartedAt: startTime}, Target{Host: "y", Group: 1, StartedAt: startTime},
			Target{Host: "z", Group: 1, StartedAt: startTime}, Target{Host: "a", Group: 1, Removed: true},
			Target{Host: "b", Group: 1, Removed: true}, Target{Host: "c", Group: 1, Removed: true})
		f.play(1000, eventualRead)
		expected := 1000.0 / 3 * slowStartSafety * 2.5 * 0.24 // a third of the reads, at the mean sure capacity of a second
		for _, h := range []string{"x", "y", "z"} {
			if got := float64(f.sends[h]); got < 0.6*expected || got > 1.4*expected {
				t.Errorf("%d routers: %.0f sends to cold %s in a second, want about %.0f", routers, got, h, expected)
			}
		}
	}
}

// Writes that were queued at every router while the group was down don't all reach a restarted member at
// once, whether they search for the primary or know it.
func TestFleetReleasesQueuedWritesSlowly(t *testing.T) {
	hosts := testGroup()
	for i := range hosts {
		hosts[i].Removed = true
	}
	f := newFleet(t, 300, testGroup())
	f.list(hosts...)
	f.play(300, atMostOnceWrite)
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
			f.execute(c, append([]Action(nil), c.Step(f.now, []Event{TimerFired{}})...), nil)
		}
	}
	for _, h := range []string{"p", "a", "b", "c"} {
		if f.sends[h] > 60 {
			t.Errorf("%d of 300 queued writes went to warming %s within a second", f.sends[h], h)
		}
	}
}

// Only reads that need a position send probes, at most maxProbesPerRead each. A router sends none when it
// starts.
func TestFleetProbes(t *testing.T) {
	f := newFleet(t, 300, testGroup())
	f.answers = answerQuickly
	if f.probes > 0 {
		t.Errorf("%d probes before any request", f.probes)
	}
	f.play(600, eventualRead)
	if f.probes > 0 {
		t.Errorf("%d probes for reads that any member may answer", f.probes)
	}
	f.play(600, boundedRead)
	if f.probes == 0 || f.probes > 600*maxProbesPerRead || f.sends["p"] > 0 {
		t.Errorf("%d probes for 600 bounded reads, %d of them at the primary", f.probes, f.sends["p"])
	}
}

// When every attempt fails late, all routers together make few retries.
func TestFleetRetries(t *testing.T) {
	f := newFleet(t, 300, testGroup())
	f.answers = func(string, int) (Code, Role, time.Duration) { return NoAnswer, Unknown, 380 * ms }
	f.play(900, eventualRead)
	total := 0
	for _, n := range f.sends {
		total += n
	}
	if extra := total - 900; extra > 90+150 { // a tenth, and half an attempt in each router's initial budget
		t.Errorf("%d extra attempts for 900 reads", extra)
	}
}

// A router goes on using the few connections that it has open, so that each host needs few for a large fleet.
func TestFleetReusesOpenConnections(t *testing.T) {
	hosts := []Target{{Host: "p", Group: 1, Primary: true}}
	for i := range 8 {
		hosts = append(hosts, Target{Host: fmt.Sprint("r", i), Group: 1})
	}
	f := newFleet(t, 200, hosts)
	f.answers = answerQuickly
	f.play(200*20, eventualRead)
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

// When members are added, they get some of the reads although the routers have connections to others, but no
// more than their share.
func TestFleetGrowth(t *testing.T) {
	f := newFleet(t, 200, testGroup())
	f.answers = answerQuickly
	f.play(4000, eventualRead)
	grown := testGroup()
	for i := range 4 {
		grown = append(grown, Target{Host: fmt.Sprint("new", i), Group: 1, StartedAt: f.now})
	}
	f.list(grown...)
	before := f.sends["a"] + f.sends["b"] + f.sends["c"]
	f.play(2000, eventualRead)
	fresh := 0
	for i := range 4 {
		fresh += f.sends[fmt.Sprint("new", i)]
	}
	most := 2000.0 * 4 / 7 * slowStartSafety * 2.5 * 0.36 // if all draws included them; the sure capacity rises to 0.36
	if fresh < 20 || float64(fresh) > 1.25*most {
		t.Errorf("four new members got %d of 2000 reads, want 20 to %.0f", fresh, 1.25*most)
	}
	if old := f.sends["a"] + f.sends["b"] + f.sends["c"] - before; old+fresh != 2000 {
		t.Errorf("%d reads went elsewhere", 2000-old-fresh)
	}
}

// When new connections are slow to open, most reads use connections that are open already.
func TestSlowHandshakes(t *testing.T) {
	hosts := []Target{{Host: "p", Group: 1, Primary: true}}
	for i := range 8 {
		hosts = append(hosts, Target{Host: fmt.Sprint("r", i), Group: 1})
	}
	f := newFleet(t, 100, hosts)
	opened := map[string]int{}
	f.answers = func(host string, class int) (Code, Role, time.Duration) { return OK, Replica, 50 * ms }
	f.play(1000, eventualRead) // ten reads each
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
			f.execute(c, append([]Action(nil), c.Step(f.now, []Event{RequestArrived{
				ID: id, Class: eventualRead, Group: 1,
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
