package routing

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// startTime is where the tests' clock starts; well past 0, as on a real router.
const startTime = time.Hour

func settings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "any", Access: EventualRead, LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, LateFraction: 0.2},
			{Name: "bounded", Access: BoundedRead, StalenessBound: 300 * ms, LatencyObjective: 600 * ms, Deadline: 2 * time.Second, PriorityWeight: 2},
			{Name: "session", Access: SessionRead, LatencyObjective: 600 * ms, Deadline: 2 * time.Second, PriorityWeight: 2},
			{Name: "fresh", Access: StrongRead, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, LateFraction: 0.2},
			{Name: "unsafe", Access: Write, Idempotency: AtMostOnce, LatencyObjective: 600 * ms, Deadline: 5 * time.Second, PriorityWeight: 4, LateFraction: 0.3},
			{
				Name: "keyed", Access: Write, Idempotency: Deduplicated, Scope: ScopeCell, DedupWindow: 3 * time.Second, LatencyObjective: time.Second,
				Deadline: 5 * time.Second, PriorityWeight: 3, LateFraction: 0.5,
			},
		},
		RouterCount: 2, ListNamesPrimary: true, Probing: Probing{Allowed: true, ReportsPosition: true, ReportsRole: true}, CancelAllowed: true,
		MaxRetryAfter: time.Second, MaxAttempts: 6,
		SlowStart: SlowStart{Floor: 0.2, Duration: 10 * time.Second}, MinTickInterval: 5 * ms,
	}
}

const (
	eventualRead = iota
	boundedRead
	sessionRead
	strongRead
	atMostOnceWrite
	deduplicatedWrite
)

// harness drives one Choice by hand.
type harness struct {
	t   testing.TB
	c   *Router
	now time.Duration
	ids int
}

func startHarness(t testing.TB, s Settings, hosts ...Target) *harness {
	t.Helper()
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{t: t, c: c, now: startTime}
	g.step(Event{Kind: EventTargets, Full: true, Targets: hosts})
	return g
}

// group is a primary p and the replicas a, b and c, as the list names them.
func shard() []Target {
	return []Target{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}, {Host: "b", Group: 1}, {Host: "c", Group: 1}}
}

func (g *harness) step(events ...Event) []Action {
	return append([]Action(nil), g.c.Step(g.now, events)...)
}

func (g *harness) advance(d time.Duration) []Action {
	g.now += d
	return g.step(Event{Kind: EventTimer})
}

// reportPositions makes hosts answer a probe with their position, given as an age.
func (g *harness) reportPositions(role Role, age time.Duration, hosts ...string) []Action {
	var es []Event
	for _, h := range hosts {
		es = append(es, Event{Kind: EventProbeResult, Host: h, Report: Report{Position: g.now - age, Role: role}})
	}
	return g.step(es...)
}

func (g *harness) request(class int, e Event) (string, []Action) {
	g.ids++
	e.Kind, e.ID, e.Class, e.Group = EventRequest, fmt.Sprint("r", g.ids), class, 1
	if e.TimeRemaining == 0 {
		e.TimeRemaining = g.c.cfg.Classes[class].Deadline
	}
	return e.ID, g.step(e)
}

func (g *harness) outcome(id string, attempt int, code Code, role Role) []Action {
	final := code == OK
	return g.step(Event{Kind: EventOutcome, ID: id, Attempt: attempt, Code: code, Role: role, Final: final, Elapsed: 50 * ms})
}

// actionsOf returns the actions of a kind, and the host of the first.
func actionsOf(kind ActionKind, as []Action) (found []Action, host string) {
	for _, a := range as {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	if len(found) > 0 {
		host = found[0].Host
	}
	return found, host
}

func TestNewRejects(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no class":    func(s *Settings) { s.Classes = nil },
		"no router":   func(s *Settings) { s.RouterCount = 0 },
		"bad index":   func(s *Settings) { s.RouterIndex = 2 },
		"no attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"no aim":      func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// The ordinary path: where does a first attempt go?
func TestOrdinaryPath(t *testing.T) {
	for _, k := range []struct {
		name  string
		class int
		token time.Duration
		age   time.Duration // of the replicas' positions; 0: never heard
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
		g := startHarness(t, settings(), shard()...)
		if k.age > 0 {
			g.reportPositions(Replica, k.age, "a", "b", "c")
		}
		_, as := g.request(k.class, Event{CommitAge: k.token})
		for range 2 * maxProbesPerRead { // probes of replicas that might qualify stay unanswered
			as = append(as, g.advance(probeAnswerWait)...)
		}
		sent, host := actionsOf(ActSend, as)
		if len(sent) != 1 || (host == "p") != (k.want == "primary") {
			t.Errorf("%s: sent %v, want one to a %s", k.name, sent, k.want)
		}
	}
}

// The draw of two prefers the replica with fewer of this router's requests in flight.
func TestDrawPrefersLessBusy(t *testing.T) {
	g := startHarness(t, settings(), shard()[:3]...)
	count := map[string]int{}
	for range 2 * initialLimit {
		_, as := g.request(eventualRead, Event{})
		_, host := actionsOf(ActSend, as)
		count[host]++
	}
	if count["a"] != initialLimit || count["b"] != initialLimit {
		t.Errorf("%d reads were spread %v", 2*initialLimit, count)
	}
}

// Without a list that names the primary one write at a time searches; fresh reads wait for what it finds.
func TestSearchAndHold(t *testing.T) {
	s := settings()
	s.ListNamesPrimary = false
	g := startHarness(t, s, shard()...)
	_, as := g.request(strongRead, Event{})
	if sent, _ := actionsOf(ActSend, as); len(sent) != 0 {
		t.Fatalf("fresh read with no primary known: %v", as)
	}
	id, as := g.request(atMostOnceWrite, Event{})
	_, first := actionsOf(ActSend, as)
	_, as = g.request(atMostOnceWrite, Event{})
	if sent, _ := actionsOf(ActSend, as); len(sent) != 0 {
		t.Errorf("a second write searched too: %v", as)
	}
	seen := map[string]bool{first: true}
	for i := range 3 {
		_, host := actionsOf(ActSend, g.outcome(id, i, Misdirected, Replica))
		seen[host] = true
	}
	if len(seen) != 4 {
		t.Errorf("a round of misses went to %v", seen)
	}
	if sent, _ := actionsOf(ActSend, g.outcome(id, 3, Misdirected, Replica)); len(sent) != 0 {
		t.Errorf("after a round of misses the write was sent on: %v", sent)
	}
	g.now += 20 * ms
	sent, host := actionsOf(ActSend, g.reportPositions(Primary, 0, "b"))
	if len(sent) != 3 || host != "b" {
		t.Errorf("the primary was named, sent %v", sent)
	}
}

// An old report must not undo what an answer has shown since.
func TestOldReportDoesNotDemote(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	g.now += time.Second
	id, _ := g.request(atMostOnceWrite, Event{})
	g.outcome(id, 0, OK, Primary)
	g.reportPositions(Replica, 200*ms, "p")
	if _, as := g.request(atMostOnceWrite, Event{}); len(as) != 1 || as[0].Host != "p" {
		t.Errorf("after an old report a write led to %v", as)
	}
}

func TestFinalAnswers(t *testing.T) {
	for _, k := range []struct {
		name  string
		class int
		code  Code
		want  ActionKind
	}{
		{"unsafe write that may have run", atMostOnceWrite, NoAnswer, ActFail},
		{"unsafe write with an error", atMostOnceWrite, ServerError, ActFail},
		{"unsafe write that lost its connection", atMostOnceWrite, ConnectionLost, ActFail},
		{"unsafe write turned away", atMostOnceWrite, Rejected, ActSend},
		{"keyed write inside its window", deduplicatedWrite, ServerError, ActSend},
		{"read with an error", eventualRead, ServerError, ActSend},
		{"attempt never sent", eventualRead, NotSent, ActSend}, // too late after a dial: chosen for anew
	} {
		g := startHarness(t, settings(), shard()...)
		id, _ := g.request(k.class, Event{})
		as := append(g.outcome(id, 0, k.code, Unknown), g.advance(2*minLatency+tickInterval)...) // a full host rests
		if found, _ := actionsOf(k.want, as); len(found) != 1 {
			t.Errorf("%s: %v", k.name, as)
		}
	}
}

// A keyed write that may have run goes nowhere once its window has passed, not even from being held.
func TestKeyedWindow(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	id, _ := g.request(deduplicatedWrite, Event{})
	g.now += 100 * ms
	g.step(Event{Kind: EventTargets, Targets: []Target{{Host: "p", Group: 1, Removed: true}}})
	as, attempt := g.outcome(id, 0, ConnectionLost, Unknown), 0
	for range 40 {
		for i := 0; i < len(as); i++ {
			a := as[i]
			if a.Kind == ActSend && g.now >= startTime+3*time.Second {
				t.Fatalf("sent %v after its send, the window is 3 s", g.now-startTime)
			}
			if a.Kind == ActSend {
				attempt++
				as = append(as, g.outcome(id, attempt, ConnectionLost, Unknown)...)
			}
			if a.Kind == ActFail {
				return
			}
			if a.Kind == ActReject {
				t.Fatal("refused, though it may have run")
			}
		}
		as = g.advance(100 * ms)
	}
	t.Error("no final answer")
}

func TestDrainingHostsGetNothing(t *testing.T) {
	for _, k := range []Event{
		{Kind: EventTargets, Targets: []Target{{Host: "a", Group: 1, Draining: true}}},
		{Kind: EventTargets, Targets: []Target{{Host: "a", Group: 1, Removed: true}}},
		{Kind: EventTargets, Full: true, Targets: append(shard()[:1:1], shard()[2:]...)},
	} {
		g := startHarness(t, settings(), shard()...)
		g.step(k)
		for range 20 {
			_, as := g.request(eventualRead, Event{})
			if _, host := actionsOf(ActSend, as); host == "a" {
				t.Errorf("after %+v a read went to a", k)
			}
		}
	}
}

// A cold member gets far less than a warm one, however many requests come.
func TestSlowStart(t *testing.T) {
	hosts := shard()
	hosts[1].StartedAt = startTime - 100*ms
	g := startHarness(t, settings(), hosts...)
	count := map[string]int{}
	for range 300 {
		g.now += 10 * ms
		id, as := g.request(eventualRead, Event{})
		_, host := actionsOf(ActSend, as)
		count[host]++
		g.outcome(id, 0, OK, Replica)
	}
	if count["a"] == 0 || count["a"] > count["b"]/2 {
		t.Errorf("three seconds from its start the cold member a got %v", count)
	}
}

// Fast errors keep few requests in flight; the draw must not take that for idleness.
func TestFastErrorsAreNotIdleness(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	late := 0
	for i := range 200 {
		g.now += 20 * ms
		id, as := g.request(eventualRead, Event{})
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
		id, as := g.request(eventualRead, Event{})
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

// Held requests must not be sprayed at a member that refuses connects while good ones have no room.
func TestQueuedReadsAvoidOutliers(t *testing.T) {
	g := startHarness(t, settings(), shard()[:3]...)
	for { // a refuses until it is a suspect
		id, as := g.request(eventualRead, Event{})
		if _, host := actionsOf(ActSend, as); host == "a" {
			g.outcome(id, 0, NoConnection, Unknown)
			break
		}
		g.outcome(id, 0, OK, Replica)
	}
	sends := 0
	for range 14 { // less than it takes for the other to look silent
		_, as := g.request(eventualRead, Event{})
		for _, a := range append(as, g.advance(10*ms)...) {
			if a.Kind == ActSend && a.Host == "a" {
				sends++
			}
		}
	}
	if sends > 0 {
		t.Errorf("a suspect got %d of 14 reads", sends)
	}
}

// Slow answers lower a member's in-flight limit, so that queues stay with the router.
func TestLimitFallsWithSlowAnswers(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	m := g.c.members["p"]
	for range 20 {
		g.now += 500 * ms
		id, _ := g.request(strongRead, Event{})
		g.step(Event{Kind: EventOutcome, ID: id, Code: OK, Role: Primary, Final: true, Elapsed: 450 * ms})
	}
	if m.limit > initialLimit/2 {
		t.Errorf("after 20 slow answers the limit is %.1f", m.limit)
	}
}

// Remembered sessions: the commit binds later reads, and forgetting it leaves a floor that binds all.
func TestSessionsReadTheirWrites(t *testing.T) {
	s := settings()
	s.TracksCommits = true
	g := startHarness(t, s, shard()...)
	g.now += time.Second
	id, _ := g.request(atMostOnceWrite, Event{SessionKey: 7, HasSessionKey: true})
	g.step(Event{Kind: EventOutcome, ID: id, Code: OK, Role: Primary, Final: true, Position: g.now, Elapsed: 50 * ms})
	g.reportPositions(Replica, ms, "a", "b", "c")
	_, as := g.request(sessionRead, Event{SessionKey: 7, HasSessionKey: true})
	if _, host := actionsOf(ActSend, append(as, g.reportPositions(Replica, ms, "a", "b", "c")...)); host == "a" || host == "b" || host == "c" {
		t.Errorf("a replica behind the session's commit got its read: %v", as)
	}
	if _, as := g.request(sessionRead, Event{SessionKey: 8, HasSessionKey: true}); as[0].Host == "p" {
		t.Errorf("a session without writes was sent to the primary: %v", as)
	}
	g = startHarness(t, s, shard()...)
	commit := func(key uint64) {
		id, _ := g.request(atMostOnceWrite, Event{SessionKey: key, HasSessionKey: true})
		g.step(Event{Kind: EventOutcome, ID: id, Code: OK, Role: Primary, Final: true, Position: g.now, Elapsed: 50 * ms})
	}
	commit(7)
	g.advance(commitRetention / 2)
	commit(9)
	g.advance(commitRetention/2 + time.Second)
	commit(9) // a session that goes on writing does not keep the others in memory
	if gr := g.c.groups[1]; len(gr.commits) != 1 || len(gr.commitOrder) != 2 || gr.commitFloor == 0 || gr.commitFloor > gr.commits[9] {
		t.Errorf("after %v: %d commits, %d kept, floor %v", commitRetention, len(gr.commits), len(gr.commitOrder), gr.commitFloor)
	}
}

// Odd but legal events change nothing.
func TestOddEvents(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	id, _ := g.request(atMostOnceWrite, Event{})
	g.outcome(id, 0, OK, Primary)
	for _, e := range []Event{
		{Kind: EventOutcome, ID: id, Code: OK, Final: true},
		{Kind: EventOutcome, ID: "never", Attempt: -1},
		{Kind: EventClientGone, ID: id},
		{Kind: EventClientGone, ID: "never"},
		{Kind: EventProbeResult, Host: "never"},
		{Kind: EventTimer},
		{Kind: EventFirstByte, ID: id},
		{Kind: EventTargets, Targets: []Target{{Host: "never", Group: 3, Removed: true}}},
		{Kind: EventPeerMessage},
	} {
		if as := g.step(e); len(as) != 0 {
			t.Errorf("%+v led to %v", e, as)
		}
	}
	if len(g.c.requests) != 0 {
		t.Errorf("%d requests are still held", len(g.c.requests))
	}
	as := g.step(Event{Kind: EventRequest, ID: "x", Group: 99, TimeRemaining: time.Second})
	if found, _ := actionsOf(ActReject, as); len(found) != 1 {
		t.Errorf("a group that no list names led to %v", as)
	}
}

// play runs a fixed, mixed stretch and checks the invariants on the way.
func play(t testing.TB, script []byte) []Action {
	g := startHarness(t, settings(), shard()...)
	type state struct {
		class                     int
		live                      map[int]string
		sent                      int
		answered, mayRun, refused bool
	}
	reqs, order := map[string]*state{}, []string{}
	drained := map[string]bool{}
	var all []Action
	run := func(as []Action) {
		all = append(all, as...)
		for _, a := range as {
			r := reqs[a.ID]
			switch a.Kind {
			case ActSend:
				if r.answered {
					t.Fatalf("%s: sent after its final answer", a.ID)
				}
				if r.class == atMostOnceWrite && (r.mayRun || len(r.live) > 0) {
					t.Fatalf("%s: an unsafe write was sent twice", a.ID)
				}
				if drained[a.Host] {
					t.Fatalf("%s: sent to %s, which drains", a.ID, a.Host)
				}
				if m := g.c.members[a.Host]; r.class == boundedRead && m.primaryAt == 0 && m.position < g.now-300*ms {
					t.Fatalf("%s: an unproven read at %s", a.ID, a.Host)
				}
				r.live[r.sent] = a.Host
				r.sent++
			case ActReject, ActFail:
				if r.answered {
					t.Fatalf("%s: two final answers", a.ID)
				}
				if a.Kind == ActReject && r.class >= atMostOnceWrite && r.mayRun {
					t.Fatalf("%s: a write that may have run was refused", a.ID)
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
			reqs[id] = &state{class: x % 6, live: map[int]string{}}
			order = append(order, id)
			run(g.step(Event{Kind: EventRequest, ID: id, Class: x % 6, Group: 1, CommitAge: time.Duration(x) * ms, TimeRemaining: time.Second}))
		case 3, 4, 5:
			if len(order) == 0 {
				continue
			}
			id := order[x%len(order)]
			r := reqs[id]
			for n := range r.sent {
				if _, ok := r.live[n]; ok {
					code := Code(int(op+script[i+1]/8) % 9)
					delete(r.live, n)
					r.mayRun = r.mayRun || !code.NeverRan()
					final := code == OK || r.answered
					if code == OK {
						r.answered = true
					}
					run(g.step(Event{Kind: EventOutcome, ID: id, Attempt: n, Code: code, Final: final, Role: Role(x % 3), Elapsed: 40 * ms}))
					break
				}
			}
		case 6:
			h := shard()[x%4]
			run(g.reportPositions(Role(x%3), time.Duration(x)*ms, h.Host))
		case 7:
			h := shard()[x%4]
			switch x / 4 % 8 { // lists turn quickly, starts lie ahead or go back, hosts leave, change group and return
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
			run(g.step(Event{Kind: EventTargets, Targets: []Target{h}}))
		}
		run(g.advance(5 * ms))
	}
	for range 120 { // all that is held ends in time
		run(g.advance(10 * ms))
	}
	for _, id := range order {
		if r := reqs[id]; !r.answered && len(r.live) == 0 {
			t.Fatalf("%s (class %d) was never answered", id, r.class)
		}
	}
	return all
}

func script(n int) []byte {
	b, x := make([]byte, n), uint32(12345)
	for i := range b {
		x = x*1664525 + 1013904223
		b[i] = byte(x >> 24)
	}
	return b
}

// Identical events give identical actions.
func TestDeterminism(t *testing.T) {
	if a, b := play(t, script(4000)), play(t, script(4000)); !reflect.DeepEqual(a, b) {
		t.Error("two runs over the same events differ")
	}
}

// FuzzStep checks: one final answer, no send after it, no second effect, none to a drained member, no unproven read.
func FuzzStep(f *testing.F) {
	f.Add(script(200))
	f.Add(script(1000))
	f.Fuzz(func(t *testing.T, b []byte) { play(t, b[:min(len(b), 4000)]) })
}

// Clients that leave early find the queues too long: what they leave behind closes the member's limit.
func TestClientsThatDisconnectCloseTheLimit(t *testing.T) {
	g := startHarness(t, settings(), shard()[:1]...)
	m := g.c.members["p"]
	for range 20 {
		id, _ := g.request(boundedRead, Event{})
		g.now += 200 * ms
		g.step(Event{Kind: EventClientGone, ID: id})
		g.step(Event{Kind: EventOutcome, ID: id, Code: Cancelled, Final: true})
	}
	if m.limit > 1 || m.inFlight != 0 {
		t.Errorf("limit %.1f, %d in flight", m.limit, m.inFlight)
	}
	many := settings()
	many.RouterCount = 300
	g = startHarness(t, many, shard()...)
	for range 20 { // before many routers the group is shed as well
		id, _ := g.request(atMostOnceWrite, Event{})
		g.now += 200 * ms
		g.step(Event{Kind: EventClientGone, ID: id})
		g.step(Event{Kind: EventOutcome, ID: id, Code: Cancelled, Final: true})
		g.now += time.Second
	}
	if shed := g.c.groups[1].admissions[1].shedFraction; shed < 0.5 {
		t.Errorf("after 20 clients left, %.2f of the writes are shed", shed)
	}
}

// A group whose answers come late is shed, the cheap classes more than the dear, and only where many routers share
// it; lost attempts beside quick answers (a host that hangs) are no reason.
func TestShedding(t *testing.T) {
	for _, k := range []struct {
		name        string
		routers     int
		code        Code
		elapsed     time.Duration
		least, most float64
	}{
		{"late answers", 400, OK, 550 * ms, 0.5, maxShedFraction},
		{"late answers, few routers", 4, OK, 550 * ms, 0, 0},
		{"answers in time", 400, OK, 200 * ms, 0, 0},
		{"no answers", 400, NoAnswer, 600 * ms, 0.5, maxShedFraction},
	} {
		s := settings()
		s.RouterCount = k.routers
		g := startHarness(t, s, shard()[:1]...)
		for range 20 {
			id, _ := g.request(atMostOnceWrite, Event{})
			g.now += k.elapsed
			g.step(Event{Kind: EventOutcome, ID: id, Code: k.code, Role: Primary, Final: k.code == OK, Elapsed: k.elapsed})
			g.step(Event{Kind: EventClientGone, ID: id})
			g.now += time.Second
		}
		if shed := g.c.groups[1].admissions[1].shedFraction; shed < k.least || shed > k.most {
			t.Errorf("%s: %.2f of the requests are shed, want %.2f to %.2f", k.name, shed, k.least, k.most)
		}
	}
	s := settings()
	s.RouterCount = 400
	g := startHarness(t, s, shard()...)
	for i := range 60 { // one host in six hangs
		id, _ := g.request(atMostOnceWrite, Event{})
		code, elapsed := OK, 50*ms
		if i%6 == 5 {
			code, elapsed = NoAnswer, 500*ms
		}
		g.now += elapsed
		g.step(Event{Kind: EventOutcome, ID: id, Code: code, Role: Primary, Final: code == OK, Elapsed: elapsed})
		g.now += time.Second
	}
	if shed := g.c.groups[1].admissions[1].shedFraction; shed > 0.1 {
		t.Errorf("one lost attempt in six sheds %.2f", shed)
	}
}

// A primary that errs often is still the only one to take writes; it is not starved to rare trials.
func TestOutlierPrimaryGetsWrites(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	for range 10 {
		g.now += 100 * ms
		id, _ := g.request(atMostOnceWrite, Event{})
		g.outcome(id, 0, ServerError, Primary)
	}
	if g.c.isHealthy(g.c.members["p"]) {
		t.Fatal("ten errors in a row leave no suspicion")
	}
	_, as := g.request(atMostOnceWrite, Event{})
	if _, host := actionsOf(ActSend, as); host != "p" {
		t.Errorf("a write led to %v", as)
	}
}

// Where only a Terminating listing binds, a host that merely vanishes from the list goes on being used.
func TestRemovedHostStaysInUseWhereRemovalIsIgnored(t *testing.T) {
	s := settings()
	s.IgnoresRemoval = true
	g := startHarness(t, s, shard()[:2]...)
	g.step(Event{Kind: EventTargets, Full: true, Targets: shard()[:1]})
	g.step(Event{Kind: EventTargets, Targets: []Target{{Host: "a", Group: 1, Removed: true}}})
	if _, as := g.request(eventualRead, Event{}); as[0].Host != "a" {
		t.Errorf("a read led to %v", as)
	}
	g.step(Event{Kind: EventTargets, Targets: []Target{{Host: "a", Group: 1, Draining: true}}})
	if _, as := g.request(eventualRead, Event{}); as[0].Host != "p" {
		t.Errorf("after the draining listing a read led to %v", as)
	}
}

// Where replicas check reads an unproven one is tried once; its refusal sends the read to the primary.
func TestReplicasThatCheck(t *testing.T) {
	for _, checks := range []StalenessCheck{CheckRejects, CheckWaits} {
		s := settings()
		s.StalenessCheck = checks
		g := startHarness(t, s, shard()...)
		id, as := g.request(boundedRead, Event{})
		if _, host := actionsOf(ActSend, as); host == "p" || host == "" {
			t.Errorf("checks %d: a read with no position known led to %v", checks, as)
		}
		if _, host := actionsOf(ActSend, g.outcome(id, 0, Misdirected, Replica)); host != "p" {
			t.Errorf("checks %d: a refused read went to %q", checks, host)
		}
	}
}

// Discovery that has to be asked is asked at the start and again after a failure.
func TestSubscribes(t *testing.T) {
	s := settings()
	s.MustSubscribe = true
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{t: t, c: c, now: startTime}
	if asked, _ := actionsOf(ActSubscribe, g.step(Event{Kind: EventTargets, Full: true, Targets: shard()})); len(asked) != 1 {
		t.Errorf("asked %d times at the start", len(asked))
	}
	g.step(Event{Kind: EventTargetsFailed})
	if asked, _ := actionsOf(ActSubscribe, g.advance(2*retryBackoff)); len(asked) != 1 {
		t.Errorf("asked %d times after a failure", len(asked))
	}
}

// Guards against long queries that stop the log on every replica: they go to the one that is furthest behind, so that
// others catch up, and to all while no replica lags.
func TestEventualReadsSpareCurrentReplicas(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	went := func() map[string]int {
		hosts := map[string]int{}
		for range 40 {
			id, as := g.request(eventualRead, Event{})
			_, host := actionsOf(ActSend, as)
			hosts[host]++
			g.outcome(id, 0, OK, Unknown)
		}
		return hosts
	}
	g.reportPositions(Replica, 10*ms, "a", "b", "c")
	if hosts := went(); len(hosts) != 3 || hosts["p"] > 0 {
		t.Errorf("none lags: %v", hosts)
	}
	g.now += time.Second
	g.reportPositions(Replica, 10*ms, "a")
	g.reportPositions(Replica, 500*ms, "b")
	g.reportPositions(Replica, 900*ms, "c")
	if hosts := went(); hosts["c"] != 40 {
		t.Errorf("c is furthest behind: %v", hosts)
	}
	for range initialLimit { // it has no room: the others serve
		g.request(eventualRead, Event{})
	}
	if _, as := g.request(eventualRead, Event{}); len(as) == 0 || as[0].Kind != ActSend || as[0].Host == "c" {
		t.Errorf("c is full: %v", as)
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
			id, _ := g.request(boundedRead, Event{})
			g.outcome(id, 0, OK, Unknown)
		}
		g.now += 4 * time.Second
		g.reportPositions(Replica, 10*ms, "a", "b", "c")
		id, as := g.request(boundedRead, Event{})
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
	id, as := g.request(atMostOnceWrite, Event{})
	if _, host := actionsOf(ActSend, as); host != "p" {
		t.Fatal(as)
	}
	as = g.outcome(id, 0, Malformed, Unknown)
	if fails, _ := actionsOf(ActFail, as); len(fails) != 1 || len(as) != 1 {
		t.Errorf("it may have run: %v", as)
	}
}

// Guards against a read that is held to the end of its time and refused then: by half of it, if it never went out
// and its aim is past, its client is told when to come back.
func TestUnsentReadsAreRejectedAtHalfTime(t *testing.T) {
	hosts := shard()
	hosts[0].Primary = false // nobody knows the primary, so fresh reads wait
	g := startHarness(t, settings(), hosts...)
	id, _ := g.request(strongRead, Event{})
	var refused []Action
	for waited := time.Duration(0); len(refused) == 0 && waited < 2*time.Second; waited += 10 * ms {
		refused, _ = actionsOf(ActReject, g.advance(10*ms))
	}
	if took := g.now - startTime; len(refused) != 1 || refused[0].ID != id || refused[0].RetryAfter == 0 || took < 950*ms || took > time.Second {
		t.Errorf("after %v: %v", took, refused)
	}
	id, _ = g.request(atMostOnceWrite, Event{}) // a write is held for as long as there is no primary
	for range 300 {
		if ends, _ := actionsOf(ActReject, g.advance(10*ms)); len(ends) > 0 {
			t.Fatalf("%s is refused at %v: %v", id, g.now-startTime, ends)
		}
		g.outcome(id, 0, Misdirected, Replica)
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
		id, as := g.request(boundedRead, Event{})
		if _, host := actionsOf(ActSend, as); host != "a" {
			t.Fatalf("after %d lost answers a read went to %q: cost %.2f", lost-1, host, g.c.outlierScore(a))
		}
		g.now += 585 * ms
		g.step(Event{Kind: EventOutcome, ID: id, Code: NoAnswer, Final: true, Elapsed: 585 * ms})
		if want := lost < 3; g.c.isHealthy(a) != want {
			t.Errorf("sound after %d lost answers: %v, cost %.2f", lost, !want, g.c.outlierScore(a))
		}
	}
}

// A write whose aim has passed still brings a part of its worth: less than a read that can be in time.
func TestLateRequestsGiveWayToTimelyOnes(t *testing.T) {
	s := settings()
	s.Classes[atMostOnceWrite].PriorityWeight, s.Classes[strongRead].PriorityWeight = 5, 2
	g := startHarness(t, s, Target{Host: "p", Group: 1, Primary: true})
	g.reportPositions(Primary, 0, "p")
	p := g.c.members["p"]
	p.limit = 1
	first, _ := g.request(atMostOnceWrite, Event{}) // it takes the only place
	late, _ := g.request(atMostOnceWrite, Event{})
	g.now += 700 * ms // past the aim of the second
	read, as := g.request(strongRead, Event{})
	if sent, _ := actionsOf(ActSend, as); len(sent) > 0 {
		t.Fatal("there was no room")
	}
	fresh, _ := g.request(atMostOnceWrite, Event{})
	for i, want := range []string{fresh, read, late} {
		g.step(Event{Kind: EventOutcome, ID: first, Code: OK, Role: Primary, Final: true, Elapsed: 400 * ms}) // no room for two
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
			id, _ := g.request([]int{boundedRead, sessionRead}[i%2], Event{})
			g.now += 20 * ms
			if i%2 == 1 || i/2 < k.served {
				g.outcome(id, 0, OK, Primary)
			} else {
				g.step(Event{Kind: EventClientGone, ID: id})
				g.step(Event{Kind: EventOutcome, ID: id, Code: Cancelled, Final: true})
			}
		}
		if got := g.c.classes[boundedRead].samples; got != initialSamples+10 {
			t.Errorf("%s: of ten first tries %.0f were counted", k.name, got-initialSamples)
		}
		p.limit = 1 // room for one read, and both are the same work
		g.c.classes[boundedRead].serviceTime, g.c.classes[sessionRead].serviceTime = 20*ms, 20*ms
		first, _ := g.request(sessionRead, Event{})
		cheap, _ := g.request(boundedRead, Event{IsRetry: k.again})
		dear, _ := g.request(sessionRead, Event{})
		g.step(Event{Kind: EventOutcome, ID: first, Code: OK, Role: Primary, Final: true, Elapsed: 320 * ms}) // no room for two
		sent, _ := actionsOf(ActSend, g.advance(10*ms))
		if len(sent) == 0 || (sent[0].ID == cheap) != k.want {
			t.Errorf("%s: %v was sent of the cheap %s and the dear %s", k.name, sent, cheap, dear)
		}
	}
}

func TestLongWorkIsNoSilence(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	g.reportPositions(Replica, 10*ms, "a", "b", "c")
	for range 30 {
		id, _ := g.request(eventualRead, Event{})
		g.step(Event{Kind: EventOutcome, ID: id, Code: OK, Final: true, Elapsed: 350 * ms})
		id, _ = g.request(sessionRead, Event{})
		g.outcome(id, 0, OK, Unknown)
	}
	_, as := g.request(eventualRead, Event{})
	_, host := actionsOf(ActSend, as)
	m := g.c.members[host]
	if g.now += 3 * g.c.classes[eventualRead].latency; g.c.isSilent(m) {
		t.Errorf("silent after %v, while such work takes %v", g.now-m.waitingSince, g.c.classes[eventualRead].latency)
	}
	for m.inFlightByClass[sessionRead] == 0 {
		g.request(sessionRead, Event{})
	}
	if !g.c.isSilent(m) {
		t.Error("short work lies there too")
	}
	if g.now += 2 * g.c.classes[eventualRead].latency; !g.c.isSilent(m) {
		t.Error("even for long work it is too long")
	}
}

// Guards against reads that are refused beside a primary with room: they may take most of it, not all.
func TestReadsMayTakeMostOfThePrimary(t *testing.T) {
	g := startHarness(t, settings(), Target{Host: "p", Group: 1, Primary: true})
	g.c.members["p"].limit = 20
	for range 30 {
		g.request(sessionRead, Event{CommitAge: ms})
	}
	if n := g.c.members["p"].inFlight; n != 18 {
		t.Errorf("%d reads are there, 18 of 20 may be", n)
	}
	if _, as := g.request(atMostOnceWrite, Event{}); len(as) == 0 || as[0].Kind != ActSend {
		t.Errorf("a write finds no room: %v", as)
	}
}

// Guards against other settings that pull the classes from under the requests that are under way.
func TestConfigure(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	id, _ := g.request(atMostOnceWrite, Event{})
	s := settings()
	s.Classes[atMostOnceWrite].LatencyObjective, s.MaxRetryAfter = 300*ms, 70*ms
	if err := g.c.Configure(s); err != nil {
		t.Fatal(err)
	}
	g.outcome(id, 0, OK, Primary)
	g.ids++
	as := g.step(Event{Kind: EventRequest, ID: "odd", Class: atMostOnceWrite, Group: 9, TimeRemaining: time.Second})
	if refused, _ := actionsOf(ActReject, as); len(refused) != 1 || refused[0].RetryAfter != 70*ms || g.c.classes[atMostOnceWrite].LatencyObjective != 300*ms {
		t.Errorf("%v", as)
	}
	s.Classes = s.Classes[1:]
	if err := g.c.Configure(s); err == nil {
		t.Error("other classes were taken")
	}
}
