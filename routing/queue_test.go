package routing

import "testing"

// A write whose aim has passed still brings a part of its worth: less than a read that can be in time.
func TestLateRequestsGiveWayToTimelyOnes(t *testing.T) {
	s := settings()
	s.Classes[atMostOnceWrite].PriorityWeight, s.Classes[strongRead].PriorityWeight = 5, 2
	g := startHarness(t, s, Target{Host: "p", Group: 1, Primary: true})
	g.reportPositions(Primary, 0, "p")
	p := g.c.members["p"]
	p.limit = 1
	first, _ := g.request(atMostOnceWrite, RequestArrived{}) // it takes the only place
	late, _ := g.request(atMostOnceWrite, RequestArrived{})
	g.now += 700 * ms // past the aim of the second
	read, as := g.request(strongRead, RequestArrived{})
	if sent, _ := actionsOf(ActSend, as); len(sent) > 0 {
		t.Fatal("there was no room")
	}
	fresh, _ := g.request(atMostOnceWrite, RequestArrived{})
	for i, want := range []string{fresh, read, late} {
		g.step(AttemptEnded{ID: first, Code: OK, Role: Primary, Final: true, Elapsed: 400 * ms}) // no room for two
		sent, _ := actionsOf(ActSend, g.advance(10*ms))
		if len(sent) != 1 || sent[0].ID != want {
			t.Fatalf("place %d: %v, want %s", i, sent, want)
		}
		first = want
	}
}

// The class that is served worst counts once more by itself, so where there is room for one of two it goes first; its
// clients' repeats don't, and without that weight the dearer class does.
func TestTheWorstServedClassGoesFirst(t *testing.T) {
	for _, k := range []struct {
		name        string
		weight      float64
		served      int  // of ten reads of the cheap class before
		again, want bool // a repeat; whether the cheap class goes first
	}{
		{"it is served worst", 0.4, 0, false, true},
		{"it is served as well as the other", 0.4, 10, false, false},
		{"a repeat", 0.4, 0, true, false},
		{"the worst class does not count by itself", 0, 0, false, false},
	} {
		s := settings()
		s.WorstClassWeight = k.weight
		s.Classes[boundedRead].PriorityWeight, s.Classes[sessionRead].PriorityWeight, s.Classes[boundedRead].LateFraction = 1, 2, 1
		g := startHarness(t, s, Target{Host: "p", Group: 1, Primary: true})
		p := g.c.members["p"]
		for i := range 20 {
			id, _ := g.request([]int{boundedRead, sessionRead}[i%2], RequestArrived{})
			g.now += 20 * ms
			if i%2 == 1 || i/2 < k.served {
				g.outcome(id, 0, OK, Primary)
			} else {
				g.step(ClientGone{ID: id})
				g.step(AttemptEnded{ID: id, Code: Cancelled, Final: true})
			}
		}
		if got := g.c.classes[boundedRead].samples; got != initialSamples+10 {
			t.Errorf("%s: of ten first tries %.0f were counted", k.name, got-initialSamples)
		}
		p.limit = 1 // room for one read, and both are the same work
		g.c.classes[boundedRead].serviceTime, g.c.classes[sessionRead].serviceTime = 20*ms, 20*ms
		first, _ := g.request(sessionRead, RequestArrived{})
		cheap, _ := g.request(boundedRead, RequestArrived{IsRetry: k.again})
		dear, _ := g.request(sessionRead, RequestArrived{})
		g.step(AttemptEnded{ID: first, Code: OK, Role: Primary, Final: true, Elapsed: 320 * ms}) // no room for two
		sent, _ := actionsOf(ActSend, g.advance(10*ms))
		if len(sent) == 0 || (sent[0].ID == cheap) != k.want {
			t.Errorf("%s: %v was sent of the cheap %s and the dear %s", k.name, sent, cheap, dear)
		}
	}
}
