package routing

import (
	"testing"
	"time"
)

// Fast errors keep few requests in flight; the draw must not take that for idleness.
func TestFastErrorsAreNotIdleness(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	late := 0
	for i := range 200 {
		g.now += 20 * ms
		id, as := g.request(eventualRead, RequestArrived{})
		for attempt := 0; ; attempt++ {
			sent, host := actionsOf(ActSend, as)
			if len(sent) == 0 {
				break
			}
			if host == "a" && i >= 50 {
				late++
			}
			code := OK
			if host == "a" {
				code = ServerError
			}
			as = g.outcome(id, attempt, code, Replica)
		}
	}
	if late > 15 {
		t.Errorf("a failing member got %d of the last 150 reads", late)
	}
}

// A member that takes work and answers nothing is left alone while others answer.
func TestSilentMember(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	late := 0
	for i := range 200 {
		g.now += 20 * ms
		id, as := g.request(eventualRead, RequestArrived{})
		_, host := actionsOf(ActSend, as)
		if host != "a" {
			g.outcome(id, 0, OK, Replica)
		} else if i >= 50 {
			late++
		}
	}
	if late > 5 {
		t.Errorf("a silent member got %d of the last 150 reads", late)
	}
}

// Guards against replicas left out for seconds since some answers of theirs were spoilt, as any host's may be; and
// against a spoilt answer taken for proof that nothing ran.
func TestOneMalformedAnswerEjectsNoHost(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	for range 4 {
		g.now += 4 * time.Second // long enough ago for the next attempt to weigh most
		g.reportPositions(Replica, 10*ms, "a", "b", "c")
		for range 8 {
			id, _ := g.request(boundedRead, RequestArrived{})
			g.outcome(id, 0, OK, Unknown)
		}
		g.now += 4 * time.Second
		g.reportPositions(Replica, 10*ms, "a", "b", "c")
		id, as := g.request(boundedRead, RequestArrived{})
		_, host := actionsOf(ActSend, as)
		as = g.outcome(id, 0, Malformed, Unknown)
		if again, other := actionsOf(ActSend, as); len(again) != 1 || other == host {
			t.Errorf("it is safe to repeat: %v", as)
		}
		g.outcome(id, 1, OK, Unknown)
		if m := g.c.members[host]; !g.c.isHealthy(m) {
			t.Errorf("%s is left out at a cost of %.2f", host, g.c.outlierScore(m))
		}
	}
	id, as := g.request(atMostOnceWrite, RequestArrived{})
	if _, host := actionsOf(ActSend, as); host != "p" {
		t.Fatal(as)
	}
	as = g.outcome(id, 0, Malformed, Unknown)
	if fails, _ := actionsOf(ActFail, as); len(fails) != 1 || len(as) != 1 {
		t.Errorf("it may have run: %v", as)
	}
}

// Guards against a replica that counts as silent while all it has is a long query: it answers others as ever.
// A costly request is lost at any host, and at a slow one often: a single one must not leave the host idle for
// seconds while others queue. Three in a row do.
func TestOneLostAnswerEjectsNoHost(t *testing.T) {
	g := startHarness(t, settings(), shard()[:2]...)
	g.reportPositions(Primary, 0, "p")
	a := g.c.members["a"]
	for lost := 1; lost <= 3; lost++ {
		g.reportPositions(Replica, 10*ms, "a")
		id, as := g.request(boundedRead, RequestArrived{})
		if _, host := actionsOf(ActSend, as); host != "a" {
			t.Fatalf("after %d lost answers a read went to %q: cost %.2f", lost-1, host, g.c.outlierScore(a))
		}
		g.now += 585 * ms
		g.step(AttemptEnded{ID: id, Code: NoAnswer, Final: true, Elapsed: 585 * ms})
		if want := lost < 3; g.c.isHealthy(a) != want {
			t.Errorf("sound after %d lost answers: %v, cost %.2f", lost, !want, g.c.outlierScore(a))
		}
	}
}

func TestLongWorkIsNoSilence(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	g.reportPositions(Replica, 10*ms, "a", "b", "c")
	for range 30 {
		id, _ := g.request(eventualRead, RequestArrived{})
		g.step(AttemptEnded{ID: id, Code: OK, Final: true, Elapsed: 350 * ms})
		id, _ = g.request(sessionRead, RequestArrived{})
		g.outcome(id, 0, OK, Unknown)
	}
	_, as := g.request(eventualRead, RequestArrived{})
	_, host := actionsOf(ActSend, as)
	m := g.c.members[host]
	if g.now += 3 * g.c.classes[eventualRead].latency; g.c.isSilent(m) {
		t.Errorf("silent after %v, while such work takes %v", g.now-m.waitingSince, g.c.classes[eventualRead].latency)
	}
	for m.inFlightByClass[sessionRead] == 0 {
		g.request(sessionRead, RequestArrived{})
	}
	if !g.c.isSilent(m) {
		t.Error("short work lies there too")
	}
	if g.now += 2 * g.c.classes[eventualRead].latency; !g.c.isSilent(m) {
		t.Error("even for long work it is too long")
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
					carry(g.step(AttemptEnded{ID: a.ID, Attempt: n, Code: code, Role: role, Final: code == OK, Elapsed: elapsed}))
				case ActProbe:
					e := ProbeEnded{Host: a.Host, Report: Report{Position: g.now - k.lag, Role: Replica}}
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
				_, as := g.request(k.class, RequestArrived{})
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
