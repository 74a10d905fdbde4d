package routing

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// startTime is the initial time of the tests' clock: well past 0, as on a real router.
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

// harness drives one Router, event by event.
type harness struct {
	t      testing.TB
	router *Router
	now    time.Duration
	ids    int
}

func startHarness(t testing.TB, s Settings, hosts ...Target) *harness {
	t.Helper()
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{t: t, router: c, now: startTime}
	g.step(TargetsChanged{Full: true, Targets: hosts})
	return g
}

// testGroup returns an endpoint list of one group: the primary p and the replicas a, b and c.
func testGroup() []Target {
	return []Target{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}, {Host: "b", Group: 1}, {Host: "c", Group: 1}}
}

// executionOf returns what an attempt's code proves about its execution, for a host that behaves as specified.
func executionOf(code Code) Execution {
	switch code {
	case OK, StaleAnswer:
		return Ran
	case Rejected, Misdirected:
		return RejectedUnexecuted
	case NoConnection, NotSent:
		return NotBegun
	}
	return MayHaveRun
}

// proven fills in the execution of ended attempts by their code, where a test does not set it.
func proven(events []Event) []Event {
	for i, event := range events {
		if e, ok := event.(AttemptEnded); ok && e.Execution == MayHaveRun {
			e.Execution = executionOf(e.Code)
			events[i] = e
		}
	}
	return events
}

func (g *harness) step(events ...Event) []Action {
	events = proven(events)
	return append([]Action(nil), g.router.Step(g.now, events)...)
}

func (g *harness) advance(d time.Duration) []Action {
	g.now += d
	return g.step(TimerFired{})
}

// reportPositions makes hosts answer a probe with a position of the given age.
func (g *harness) reportPositions(role Role, age time.Duration, hosts ...string) []Action {
	var events []Event
	for _, h := range hosts {
		events = append(events, ProbeEnded{Host: h, Report: Report{Position: g.now - age, Role: role}})
	}
	return g.step(events...)
}

func (g *harness) request(class int, e RequestArrived) (string, []Action) {
	g.ids++
	e.ID, e.Class, e.Group = fmt.Sprint("r", g.ids), class, 1
	if e.TimeRemaining == 0 {
		e.TimeRemaining = g.router.cfg.Classes[class].Deadline
	}
	return e.ID, g.step(e)
}

func (g *harness) outcome(id string, attempt int, code Code, role Role) []Action {
	final := code == OK
	return g.step(AttemptEnded{ID: id, Attempt: attempt, Code: code, Role: role, Final: final, Elapsed: 50 * ms})
}

// actionsOf returns the actions of a kind, and the host of the first.
func actionsOf(kind ActionKind, actions []Action) (found []Action, host string) {
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	if len(found) > 0 {
		host = found[0].Host
	}
	return found, host
}

// answer ends an attempt with the role and position that the host gave.
func (g *harness) answer(id string, code Code, role Role, position time.Duration) {
	g.step(AttemptEnded{ID: id, Code: code, Role: role, Position: position, Final: code == OK, Elapsed: 50 * ms})
}

// sentToPrimary sends strong reads until n of them are in flight at p, and returns their IDs.
func (g *harness) sentToPrimary(n int) (ids []string) {
	g.t.Helper()
	for range 40 {
		id, actions := g.request(strongRead, RequestArrived{})
		if _, to := actionsOf(ActSend, actions); to == "p" {
			if ids = append(ids, id); len(ids) == n {
				return ids
			}
		}
	}
	g.t.Fatalf("no %d reads went to p", n)
	return nil
}

const second = time.Second
