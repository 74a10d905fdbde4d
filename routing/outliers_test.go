package routing

import (
	"testing"
	"time"
)

// A member that fails fast has few requests in flight. The power of two choices must not prefer it for that.
func TestFastErrorsAreNotIdleness(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	late := 0
	for i := range 200 {
		g.now += 20 * ms
		id, actions := g.request(eventualRead, RequestArrived{})
		for attempt := 0; ; attempt++ {
			sent, host := actionsOf(ActSend, actions)
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
			actions = g.outcome(id, attempt, code, Replica)
		}
	}
	if late > 15 {
		t.Errorf("a failing member got %d of the last 150 reads", late)
	}
}

// A member that takes work and answers nothing is left alone while others answer.
func TestSilentMember(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	late := 0
	for i := range 200 {
		g.now += 20 * ms
		id, actions := g.request(eventualRead, RequestArrived{})
		_, host := actionsOf(ActSend, actions)
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

// Guards against ejecting a replica for seconds because of single malformed answers, which any host may give, and
// against taking a malformed answer for proof that nothing ran.
func TestOneMalformedAnswerEjectsNoHost(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	for range 4 {
		g.now += 4 * time.Second // so long after the last score that the next has the most weight
		g.reportPositions(Replica, 10*ms, "a", "b", "c")
		for range 8 {
			id, _ := g.request(boundedRead, RequestArrived{})
			g.outcome(id, 0, OK, Unknown)
		}
		g.now += 4 * time.Second
		g.reportPositions(Replica, 10*ms, "a", "b", "c")
		id, actions := g.request(boundedRead, RequestArrived{})
		_, host := actionsOf(ActSend, actions)
		actions = g.outcome(id, 0, Malformed, Unknown)
		if again, other := actionsOf(ActSend, actions); len(again) != 1 || other == host {
			t.Errorf("a read that got a malformed answer is not retried elsewhere: %v", actions)
		}
		g.outcome(id, 1, OK, Unknown)
		if m := g.router.members[host]; !g.router.isHealthy(m) {
			t.Errorf("%s is ejected at a score of %.2f", host, g.router.outlierScore(m))
		}
	}
	id, actions := g.request(atMostOnceWrite, RequestArrived{})
	if _, host := actionsOf(ActSend, actions); host != "p" {
		t.Fatal(actions)
	}
	actions = g.outcome(id, 0, Malformed, Unknown)
	if fails, _ := actionsOf(ActFail, actions); len(fails) != 1 || len(actions) != 1 {
		t.Errorf("a write that got a malformed answer may have run, and must only fail: %v", actions)
	}
}

// A costly request may get no answer at any host, and at a slow one often. A single one must not eject the host for
// seconds while requests queue for others. Three in a row do.
func TestOneLostAnswerEjectsNoHost(t *testing.T) {
	g := startHarness(t, settings(), testGroup()[:2]...)
	g.reportPositions(Primary, 0, "p")
	a := g.router.members["a"]
	for lost := 1; lost <= 3; lost++ {
		g.reportPositions(Replica, 10*ms, "a")
		id, actions := g.request(boundedRead, RequestArrived{})
		if _, host := actionsOf(ActSend, actions); host != "a" {
			t.Fatalf("after %d lost answers a read went to %q: score %.2f", lost-1, host, g.router.outlierScore(a))
		}
		g.now += 585 * ms
		g.step(AttemptEnded{ID: id, Code: NoAnswer, Final: true, Elapsed: 585 * ms})
		if want := lost < 3; g.router.isHealthy(a) != want {
			t.Errorf("healthy after %d lost answers: %v, score %.2f", lost, !want, g.router.outlierScore(a))
		}
	}
}

// Guards against a replica that counts as silent although all it has in flight is a long query: it answers other requests
// as usual.
func TestLongQueryDoesNotMakeAMemberSilent(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	g.reportPositions(Replica, 10*ms, "a", "b", "c")
	for range 30 {
		id, _ := g.request(eventualRead, RequestArrived{})
		g.step(AttemptEnded{ID: id, Code: OK, Final: true, Elapsed: 350 * ms})
		id, _ = g.request(sessionRead, RequestArrived{})
		g.outcome(id, 0, OK, Unknown)
	}
	_, actions := g.request(eventualRead, RequestArrived{})
	_, host := actionsOf(ActSend, actions)
	m := g.router.members[host]
	if g.now += 3 * g.router.classes[eventualRead].latency; g.router.isSilent(m) {
		t.Errorf("silent after %v, while such work takes %v", g.now-m.waitingSince, g.router.classes[eventualRead].latency)
	}
	for m.inFlightByClass[sessionRead] == 0 {
		g.request(sessionRead, RequestArrived{})
	}
	if !g.router.isSilent(m) {
		t.Error("with a short request in flight too, the member must count as silent")
	}
	if g.now += 2 * g.router.classes[eventualRead].latency; !g.router.isSilent(m) {
		t.Error("after so long, the member must count as silent even with a long query")
	}
}

// Each case is a fault as one router sees it: how an attempt at a faulty host ends. Half of the replicas are faulty.
// Reads must move to the others, and come back when the fault is over.
func TestFaultsMoveReadsToHealthyReplicas(t *testing.T) {
	calls := 0
	for _, tc := range []struct {
		name          string
		faultyOutcome func() (Code, Role, time.Duration)
		probe         Code
		lag           time.Duration // of the healthy replicas
		class         int
		maxFraction   float64 // greatest fraction of the attempts at faulty hosts
	}{
		{"one-sided: no answer, probes lost", func() (Code, Role, time.Duration) { return NoAnswer, Unknown, 385 * ms }, NoAnswer, 0, boundedRead, 0.2},
		{"one-sided: no answer, probes pass", func() (Code, Role, time.Duration) { return NoAnswer, Unknown, 385 * ms }, OK, 0, boundedRead, 0.3},
		{"one-sided: refused", func() (Code, Role, time.Duration) { return NoConnection, Unknown, ms }, NoConnection, 0, boundedRead, 0.2},
		{"one-sided: reset", func() (Code, Role, time.Duration) { return ConnectionLost, Unknown, 20 * ms }, OK, 0, eventualRead, 0.3},
		{"slow path", func() (Code, Role, time.Duration) { return OK, Replica, 350 * ms }, OK, 0, eventualRead, 0.35},
		{"fast errors", func() (Code, Role, time.Duration) { return ServerError, Replica, ms }, OK, 0, eventualRead, 0.3},
		{"ageing: ever slower", func() (Code, Role, time.Duration) { calls++; return OK, Replica, time.Duration(100+10*calls) * ms }, OK, 0, eventualRead, 0.4},
		{"flapping, the list is silent", func() (Code, Role, time.Duration) {
			if calls++; calls/3%2 == 0 {
				return NoConnection, Unknown, ms
			}
			return OK, Replica, 50 * ms
		}, OK, 0, eventualRead, 0.4},
		{"refused while the others lag", func() (Code, Role, time.Duration) { return NoConnection, Unknown, ms }, NoConnection, time.Second, boundedRead, 0.2},
	} {
		calls = 0
		s := settings()
		s.RouterCount, s.ConnIdleTimeout = 300, 30*time.Second
		hosts := append(testGroup(), Target{Host: "d", Group: 1})
		g := startHarness(t, s, hosts...)
		count, all, failing := map[string]int{}, 0, true
		var execute func(actions []Action)
		execute = func(actions []Action) {
			for _, a := range actions {
				bad := failing && (a.Host == "a" || a.Host == "b")
				switch a.Kind {
				case ActSend:
					count[a.Host]++
					all++
					code, role, elapsed := answerQuickly(a.Host, 0)
					if bad {
						code, role, elapsed = tc.faultyOutcome()
					}
					n := len(g.router.requests[a.ID].attempts) - 1
					execute(g.step(AttemptEnded{ID: a.ID, Attempt: n, Code: code, Role: role, Final: code == OK, Elapsed: elapsed}))
				case ActProbe:
					e := ProbeEnded{Host: a.Host, Report: Report{Position: g.now - tc.lag, Role: Replica}}
					if bad && tc.probe != OK {
						e.Code, e.Report = tc.probe, Report{}
					}
					execute(g.step(e))
				}
			}
		}
		run := func(n int) {
			count, all = map[string]int{}, 0
			for range n {
				g.now += 500 * ms
				_, actions := g.request(tc.class, RequestArrived{})
				execute(actions)
				for range 3 {
					execute(g.advance(probeAnswerWait))
				}
			}
		}
		run(60)
		if got := float64(count["a"]+count["b"]) / float64(all); got > tc.maxFraction {
			t.Errorf("%s: %.2f of the attempts went to the faulty half, %v", tc.name, got, count)
		}
		if tc.lag > s.Classes[boundedRead].StalenessBound && count["p"] < 40 {
			t.Errorf("%s: the primary got %v", tc.name, count)
		}
		failing = false
		g.now += scoreRetention * time.Second
		run(120)
		if tc.lag == 0 && count["a"]+count["b"] < 12 {
			t.Errorf("%s: after the fault the reads went to %v", tc.name, count)
		}
	}
}
