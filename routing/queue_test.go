package routing

import "testing"

// A write whose latency objective has passed keeps a part of its value, less than that of a read that can be
// in time.
func TestLateRequestsGiveWayToTimelyOnes(t *testing.T) {
	s := settings()
	s.Classes[atMostOnceWrite].PriorityWeight, s.Classes[strongRead].PriorityWeight = 5, 2
	g := startHarness(t, s, Target{Host: "p", Group: 1, Primary: true})
	g.reportPositions(Primary, 0, "p")
	p := g.router.members["p"]
	p.limit = 1
	first, _ := g.request(atMostOnceWrite, RequestArrived{}) // it uses up the in-flight limit
	late, _ := g.request(atMostOnceWrite, RequestArrived{})
	g.now += 700 * ms // past the latency objective of the second
	read, actions := g.request(strongRead, RequestArrived{})
	if sent, _ := actionsOf(ActSend, actions); len(sent) > 0 {
		t.Fatal("the in-flight limit was reached")
	}
	fresh, _ := g.request(atMostOnceWrite, RequestArrived{})
	for i, want := range []string{fresh, read, late} {
		g.step(AttemptEnded{ID: first, Code: OK, Role: Primary, Final: true, Elapsed: 400 * ms}) // slow: the limit stays at one
		sent, _ := actionsOf(ActSend, g.advance(10*ms))
		if len(sent) != 1 || sent[0].ID != want {
			t.Fatalf("request %d sent: %v, want %s", i, sent, want)
		}
		first = want
	}
}

// The worst-served class has additional weight, so of two queued requests it is sent first. Retries of its
// clients don't have that weight, and without it the class of the higher priority is sent first.
func TestTheWorstServedClassGoesFirst(t *testing.T) {
	for _, tc := range []struct {
		name          string
		weight        float64
		served        int  // of ten earlier reads of the low-priority class
		isRetry, want bool // want: whether the low-priority class is sent first
	}{
		{"it is served worst", 0.4, 0, false, true},
		{"it is served as well as the other", 0.4, 10, false, false},
		{"a retry", 0.4, 0, true, false},
		{"the worst-served class has no additional weight", 0, 0, false, false},
	} {
		s := settings()
		s.WorstClassWeight = tc.weight
		s.Classes[boundedRead].PriorityWeight, s.Classes[sessionRead].PriorityWeight, s.Classes[boundedRead].LateFraction = 1, 2, 1
		g := startHarness(t, s, Target{Host: "p", Group: 1, Primary: true})
		p := g.router.members["p"]
		for i := range 20 {
			id, _ := g.request([]int{boundedRead, sessionRead}[i%2], RequestArrived{})
			g.now += 20 * ms
			if i%2 == 1 || i/2 < tc.served {
				g.outcome(id, 0, OK, Primary)
			} else {
				g.step(ClientGone{ID: id})
				g.step(AttemptEnded{ID: id, Code: Cancelled, Final: true})
			}
		}
		if got := g.router.classes[boundedRead].samples; got != initialSamples+10 {
			t.Errorf("%s: of ten first attempts %.0f were counted", tc.name, got-initialSamples)
		}
		p.limit = 1 // one read at a time, and both take the same work
		g.router.classes[boundedRead].serviceTime, g.router.classes[sessionRead].serviceTime = 20*ms, 20*ms
		first, _ := g.request(sessionRead, RequestArrived{})
		cheap, _ := g.request(boundedRead, RequestArrived{IsRetry: tc.isRetry})
		dear, _ := g.request(sessionRead, RequestArrived{})
		g.step(AttemptEnded{ID: first, Code: OK, Role: Primary, Final: true, Elapsed: 320 * ms}) // slow: the limit stays at one
		sent, _ := actionsOf(ActSend, g.advance(10*ms))
		if len(sent) == 0 || (sent[0].ID == cheap) != tc.want {
			t.Errorf("%s: %v was sent of the low-priority %s and the high-priority %s", tc.name, sent, cheap, dear)
		}
	}
}
