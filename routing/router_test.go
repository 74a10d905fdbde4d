package routing

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestNewRejects(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no class":    func(s *Settings) { s.Classes = nil },
		"no router":   func(s *Settings) { s.RouterCount = 0 },
		"bad index":   func(s *Settings) { s.RouterIndex = 2 },
		"no attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"no aim":      func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
	} {
		s := settings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Where the first attempt of a request goes if nothing has failed.
func TestFirstAttemptWithoutFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		class int
		token time.Duration
		age   time.Duration // of the replicas' positions; 0: none reported
		want  string        // "replica", "primary"
	}{
		{"write", atMostOnceWrite, 0, ms, "primary"},
		{"fresh read", strongRead, 0, ms, "primary"},
		{"any read needs no position", eventualRead, 0, 0, "replica"},
		{"bounded read inside the bound", boundedRead, 0, 200 * ms, "replica"},
		{"bounded read beyond the bound", boundedRead, 0, 301 * ms, "primary"},
		{"bounded read, position unknown", boundedRead, 0, 0, "primary"},
		{"session read, replicas past the commit", sessionRead, 100 * ms, 50 * ms, "replica"},
		{"session read, replicas behind the commit", sessionRead, 100 * ms, 150 * ms, "primary"},
		{"session read inside the margin", sessionRead, 100 * ms, 100 * ms, "primary"},
		{"session without a write", sessionRead, 0, 0, "replica"},
	} {
		g := startHarness(t, settings(), testGroup()...)
		if tc.age > 0 {
			g.reportPositions(Replica, tc.age, "a", "b", "c")
		}
		_, actions := g.request(tc.class, RequestArrived{CommitAge: tc.token})
		for range 2 * maxProbesPerRead { // probes of replicas that may qualify get no answer
			actions = append(actions, g.advance(probeAnswerWait)...)
		}
		sent, host := actionsOf(ActSend, actions)
		if len(sent) != 1 || (host == "p") != (tc.want == "primary") {
			t.Errorf("%s: sent %v, want one to a %s", tc.name, sent, tc.want)
		}
	}
}

// Valid events that refer to nothing known, or need no handling, lead to no action.
func TestUnexpectedEventsChangeNothing(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	id, _ := g.request(atMostOnceWrite, RequestArrived{})
	g.outcome(id, 0, OK, Primary)
	for _, e := range []Event{
		AttemptEnded{ID: id, Code: OK, Final: true},
		AttemptEnded{ID: "never", Attempt: -1},
		ClientGone{ID: id},
		ClientGone{ID: "never"},
		ProbeEnded{Host: "never"},
		TimerFired{},
		FirstByte{ID: id},
		TargetsChanged{Targets: []Target{{Host: "never", Group: 3, Removed: true}}},
		PeerMessage{},
	} {
		if actions := g.step(e); len(actions) != 0 {
			t.Errorf("%+v led to %v", e, actions)
		}
	}
	if len(g.router.requests) != 0 {
		t.Errorf("%d requests are still held", len(g.router.requests))
	}
	actions := g.step(RequestArrived{ID: "x", Group: 99, TimeRemaining: time.Second})
	if found, _ := actionsOf(ActReject, actions); len(found) != 1 {
		t.Errorf("a group that no list names led to %v", actions)
	}
}

// runScript turns the script into events, two bytes for each, and checks the invariants that FuzzStep lists.
func runScript(t testing.TB, script []byte) []Action {
	g := startHarness(t, settings(), testGroup()...)
	type state struct {
		class            int
		live             map[int]string
		sent             int
		answered, mayRun bool
	}
	requests, order := map[string]*state{}, []string{}
	drained := map[string]bool{}
	var all []Action
	run := func(actions []Action) {
		all = append(all, actions...)
		for _, a := range actions {
			r := requests[a.ID]
			switch a.Kind {
			case ActSend:
				if r.answered {
					t.Fatalf("%s: sent after its final answer", a.ID)
				}
				if r.class == atMostOnceWrite && (r.mayRun || len(r.live) > 0) {
					t.Fatalf("%s: an unsafe write was sent twice", a.ID)
				}
				if drained[a.Host] {
					t.Fatalf("%s: sent to %s, which is draining", a.ID, a.Host)
				}
				if m := g.router.members[a.Host]; r.class == boundedRead && m.primaryAt == 0 && m.position < g.now-300*ms {
					t.Fatalf("%s: a bounded read went to %s, whose position is not proven", a.ID, a.Host)
				}
				r.live[r.sent] = a.Host
				r.sent++
			case ActReject, ActFail:
				if r.answered {
					t.Fatalf("%s: two final answers", a.ID)
				}
				if a.Kind == ActReject && r.class >= atMostOnceWrite && r.mayRun {
					t.Fatalf("%s: a write that may have run was rejected", a.ID)
				}
				r.answered = true
			}
		}
	}
	for i := 0; i+1 < len(script); i += 2 {
		op, x := script[i]%8, int(script[i+1])
		g.now += time.Duration(x%32) * ms
		switch op {
		case 0, 1, 2:
			g.ids++
			id := fmt.Sprint("r", g.ids)
			requests[id] = &state{class: x % 6, live: map[int]string{}}
			order = append(order, id)
			run(g.step(RequestArrived{ID: id, Class: x % 6, Group: 1, CommitAge: time.Duration(x) * ms, TimeRemaining: time.Second}))
		case 3, 4, 5:
			if len(order) == 0 {
				continue
			}
			id := order[x%len(order)]
			r := requests[id]
			for n := range r.sent {
				if _, ok := r.live[n]; ok {
					code := Code(int(op+script[i+1]/8) % len(codeNames))
					delete(r.live, n)
					r.mayRun = r.mayRun || !executionOf(code).NeverRan()
					final := code == OK || r.answered
					if code == OK {
						r.answered = true
					}
					run(g.step(AttemptEnded{ID: id, Attempt: n, Code: code, Final: final, Role: Role(x % 3), Elapsed: 40 * ms}))
					break
				}
			}
		case 6:
			h := testGroup()[x%4]
			run(g.reportPositions(Role(x%3), time.Duration(x)*ms, h.Host))
		case 7:
			h := testGroup()[x%4]
			switch x / 4 % 8 { // entries change often: starts in the future or earlier than before, hosts that leave, change group or return
			case 0, 1:
				h.Draining = true
			case 2:
				h.Removed = true
			case 3:
				h.Group = 2
			case 4:
				h.StartedAt = g.now + time.Duration(x-128)*time.Second
			case 5:
				g.now += memberRetention
			}
			drained[h.Host] = h.Draining || h.Removed || h.Group != 1
			run(g.step(TargetsChanged{Targets: []Target{h}}))
		}
		run(g.advance(5 * ms))
	}
	for range 120 { // every queued request ends in time
		run(g.advance(10 * ms))
	}
	for _, id := range order {
		if r := requests[id]; !r.answered && len(r.live) == 0 {
			t.Fatalf("%s (class %d) was never answered", id, r.class)
		}
	}
	return all
}

// randomScript returns n pseudo-random bytes, the same in each call.
func randomScript(n int) []byte {
	b, x := make([]byte, n), uint32(12345)
	for i := range b {
		x = x*1664525 + 1013904223
		b[i] = byte(x >> 24)
	}
	return b
}

// The same events give the same actions.
func TestDeterminism(t *testing.T) {
	if a, b := runScript(t, randomScript(4000)), runScript(t, randomScript(4000)); !reflect.DeepEqual(a, b) {
		t.Error("two runs over the same events differ")
	}
}

// FuzzStep checks that each request has one final answer and no attempt after it, that an unsafe write is not sent
// twice, that nothing goes to a drained member, and that no bounded read goes to a replica whose position is unproven.
func FuzzStep(f *testing.F) {
	f.Add(randomScript(200))
	f.Add(randomScript(1000))
	f.Fuzz(func(t *testing.T, b []byte) { runScript(t, b[:min(len(b), 4000)]) })
}

// Where discovery has to be asked, the router subscribes at the start, and again after a failure.
func TestSubscribes(t *testing.T) {
	s := settings()
	s.MustSubscribe = true
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{t: t, router: c, now: startTime}
	if asked, _ := actionsOf(ActSubscribe, g.step(TargetsChanged{Full: true, Targets: testGroup()})); len(asked) != 1 {
		t.Errorf("asked %d times at the start", len(asked))
	}
	g.step(TargetsFailed{})
	if asked, _ := actionsOf(ActSubscribe, g.advance(2*retryBackoff)); len(asked) != 1 {
		t.Errorf("asked %d times after a failure", len(asked))
	}
}

// Guards against new settings that remove the classes of requests in flight.
func TestConfigure(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	id, _ := g.request(atMostOnceWrite, RequestArrived{})
	s := settings()
	s.Classes[atMostOnceWrite].LatencyObjective, s.MaxRetryAfter = 300*ms, 70*ms
	if err := g.router.Configure(s); err != nil {
		t.Fatal(err)
	}
	g.outcome(id, 0, OK, Primary)
	g.ids++
	actions := g.step(RequestArrived{ID: "odd", Class: atMostOnceWrite, Group: 9, TimeRemaining: time.Second})
	if refused, _ := actionsOf(ActReject, actions); len(refused) != 1 || refused[0].RetryAfter != 70*ms || g.router.classes[atMostOnceWrite].LatencyObjective != 300*ms {
		t.Errorf("%v", actions)
	}
	s.Classes = s.Classes[1:]
	if err := g.router.Configure(s); err == nil {
		t.Error("settings with other classes were accepted")
	}
}
