package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/settings"
	"ashstand/routing"
)

const start = 1767225600000.0

func testSettings() *settings.Parsed {
	return &settings.Parsed{
		Settings: routing.Settings{
			RouterCount: 1, MaxAttempts: 8, ListNamesPrimary: true,
			Probing: routing.Probing{Allowed: true, Cost: 0.001, ReportsPosition: true, ReportsRole: true}, MaxRetryAfter: 2 * time.Second, MinTickInterval: 5 * time.Millisecond,
			Classes: []routing.Class{
				{Name: "browse", Access: routing.BoundedRead, StalenessBound: 200 * time.Millisecond, LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, LateFraction: 1},
				{Name: "donate", Access: routing.Write, Idempotency: routing.AtMostOnce, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 3, LateFraction: 1},
				{Name: "library", Access: routing.SessionRead, LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 3, LateFraction: 1},
			},
		},
		Classes: map[string]int{"browse": 0, "donate": 1, "library": 2},
	}
}

func newTestDispatcher(t *testing.T) (*Dispatcher, *clock.Manual) {
	t.Helper()
	c := clock.NewManual(start)
	d, err := New(testSettings(), 1, c, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	d.UpdateEndpoints(true, []Endpoint{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}})
	return d, c
}

func beginCall(t *testing.T, d *Dispatcher, class string, minPosition float64) *Call {
	t.Helper()
	c, err := d.Begin(Request{Class: class, Group: 1, Arrived: d.clock.Now(), TimeRemaining: 900, MinPosition: minPosition})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against an attempt being written although, during the dial, the host's data became too old or the
// host began to drain.
func TestRevalidateDetectsStaleDataAndDraining(t *testing.T) {
	d, c := newTestDispatcher(t)
	report := func() {
		d.ProbeDone("a", Outcome{Code: OK, Report: Report{Role: Replica, Position: c.Now()}})
	}
	report()
	call := beginCall(t, d, "browse", 0)
	if decision := call.Pick(); decision.Verdict != Send || decision.Host != "a" {
		t.Fatalf("%+v", decision)
	}
	if !call.Revalidate() {
		t.Error("nothing changed, but the attempt may not be written")
	}
	if c.Advance(250); call.Revalidate() {
		t.Error("the attempt may be written although the data is older than its staleness bound")
	}
	report()
	call.Report(NotBegunOutcome(NotSent))
	d.Tick()
	if decision := call.Pick(); decision.Verdict != Send {
		t.Fatalf("after a failed revalidation: got %+v, want another attempt", decision)
	}
	d.UpdateEndpoints(false, []Endpoint{{Host: "a", Group: 1, Draining: true}, {Host: "p", Group: 1, Draining: true}})
	if call.Revalidate() || d.IsActive("a") {
		t.Error("a draining host may get requests")
	}
}

// Guards against a rejection or a retry of an at-most-once write that may have run.
func TestRetryOnlyAfterProofOfNonExecution(t *testing.T) {
	for outcome, want := range map[Outcome]Verdict{
		{Code: ConnectionLost}: Fail, {Code: NoAnswer}: Fail, {Code: ServerError}: Fail, {Code: Cancelled}: Fail,
		{Code: Malformed, Execution: Ran}: Fail, {Code: ServerError, Execution: Ran}: Fail,
		// Without an Execution, a code proves nothing.
		{Code: Misdirected}: Fail, {Code: NoConnection}: Fail, {Code: NotSent}: Fail, {Code: Rejected}: Fail,
		{Code: NoConnection, Execution: NotBegun}: Send, {Code: NoConnection, Execution: NotWritten}: Send,
		{Code: Misdirected, Execution: RejectedUnexecuted}: Send, {Code: NotSent, Execution: NotBegun}: Send,
	} {
		d, c := newTestDispatcher(t)
		call := beginCall(t, d, "donate", 0)
		if decision := call.Pick(); decision.Verdict != Send || decision.Host != "p" || decision.Deadline != start+900-answerMargin {
			t.Fatalf("%+v", decision)
		}
		call.Report(outcome)
		for range 60 {
			c.Advance(10)
			d.Tick()
		}
		if decision := call.Pick(); decision.Verdict != want {
			t.Errorf("after %+v: %+v, want %v", outcome, decision, want)
		}
	}
}

// Guards against rounding that makes a host's position look newer than proven: a replica must not serve a
// read whose minimum position is a fraction of a millisecond above the replica's, or lies in the future.
func TestPositionRoundingIsConservative(t *testing.T) {
	for minPosition, wantHost := range map[float64]string{start - 100.5: "a", start - 50.0001: "p", start + 5000: "p"} {
		d, c := newTestDispatcher(t)
		d.ProbeDone("a", Outcome{Code: OK, Report: Report{Role: Replica, Position: start - 50.00015}})
		d.ProbeDone("p", Outcome{Code: OK, Report: Report{Role: Primary, Position: start}})
		call := beginCall(t, d, "library", minPosition)
		for range 8 { // the read first waits for a probe that may prove a newer position
			c.Advance(10)
			d.Tick()
		}
		if decision := call.Pick(); decision.Host != wantHost {
			t.Errorf("after %v: %+v, want %s", minPosition, decision, wantHost)
		}
	}
}

func TestCallGetsOneFinalVerdict(t *testing.T) {
	d, c := newTestDispatcher(t)
	if _, err := d.Begin(Request{Class: "odd"}); err == nil {
		t.Error("an unknown class was accepted")
	}
	call := beginCall(t, d, "donate", 0)
	call.Pick()
	call.Abandon()
	call.Abandon()
	if decision := call.Pick(); decision.Verdict != ClientDisconnected {
		t.Errorf("%+v", decision)
	}
	call.Report(Outcome{Code: Cancelled}) // the attempt that was in flight
	call = beginCall(t, d, "donate", 0)
	call.Pick()
	call.Report(Outcome{Code: Rejected, Execution: RejectedUnexecuted, Role: Primary})
	for range 100 {
		c.Advance(10)
		d.Tick()
	}
	decision := call.Pick()
	for decision.Verdict == Send { // the host rejects each further attempt
		call.Report(Outcome{Code: Rejected, Execution: RejectedUnexecuted, Role: Primary})
		c.Advance(100)
		d.Tick()
		decision = call.Pick()
	}
	if decision.Verdict != Reject || decision.RetryAfter <= 0 {
		t.Errorf("%+v", decision)
	}
	if len(d.calls) != 0 {
		t.Errorf("%d calls have not been removed", len(d.calls))
	}
}

// Guards against a call that is finished while its request is queued: the router must not send the request
// later and count it as in flight forever, and a goroutine that waits for a decision must be woken.
func TestFinishRemovesQueuedRequest(t *testing.T) {
	d, c := newTestDispatcher(t)
	d.UpdateEndpoints(false, []Endpoint{{Host: "p", Group: 1, Removed: true}, {Host: "a", Group: 1, Removed: true}})
	var queued []*Call
	for range 20 {
		queued = append(queued, beginCall(t, d, "donate", 0))
	}
	woken := make(chan Decision, 1)
	go func() { woken <- queued[0].Pick() }()
	for _, call := range queued {
		if _, ok := call.TryPick(); ok {
			t.Fatal("a request was decided although there is no host")
		}
		call.Finish(Outcome{Code: Cancelled})
	}
	if decision := <-woken; decision.Verdict != ClientDisconnected {
		t.Fatalf("%+v", decision)
	}
	d.UpdateEndpoints(true, []Endpoint{{Host: "p", Group: 1, Primary: true}})
	c.Advance(50)
	d.ProbeDone("p", Outcome{Code: OK, Report: Report{Role: Primary, Position: c.Now() - 1}})
	d.Tick()
	for i := range 3 { // all of the host's initial in-flight limit is available
		if decision, ok := beginCall(t, d, "donate", 0).TryPick(); !ok || decision.Verdict != Send {
			t.Fatalf("%d: %+v", i, decision)
		}
	}
}

// Guards against a queued request that ends just when its host has capacity again. The router must not choose
// a host for it, because no outcome of that attempt would ever be reported, and the host would appear not to
// answer from then on. The same holds for a call that ended without the router being notified.
func TestFinishedQueuedCallTakesNoCapacity(t *testing.T) {
	for name, end := range map[string]func(*Dispatcher, *Call){
		"finished":      func(_ *Dispatcher, call *Call) { call.Finish(NotBegunOutcome(NotSent)) },
		"ended unheard": func(d *Dispatcher, call *Call) { call.finish(); d.Tick() },
	} {
		const limit = 3
		d, c := newTestDispatcher(t)
		var sent []*Call
		for range limit {
			call := beginCall(t, d, "donate", 0)
			decision, ok := call.TryPick()
			require.True(t, ok)
			require.Equal(t, "p", decision.Host)
			sent = append(sent, call)
		}
		waiting := beginCall(t, d, "donate", 0)
		_, ok := waiting.TryPick()
		require.False(t, ok, "the host has no capacity")
		for _, call := range sent {
			call.Report(Outcome{Code: OK, Role: Primary, Position: c.Now()})
		}
		_, ok = waiting.TryPick()
		require.False(t, ok, "the request stays queued until the next tick")
		c.Advance(20)
		end(d, waiting)
		for i := range limit + 1 { // the answers have raised the limit by a fraction of 1
			decision, ok := beginCall(t, d, "donate", 0).TryPick()
			require.True(t, ok && decision.Verdict == Send, "%s, %d: capacity is taken by a call that has ended", name, i)
		}
	}
}

// A slow dial made a light class look heavy: the cost of a class is learned from the time since the write.
func TestSlowDialDoesNotMakeAClassHeavy(t *testing.T) {
	d, c := newTestDispatcher(t)
	for range 5 {
		call := beginCall(t, d, "library", 0)
		require.Equal(t, Send, call.Pick().Verdict)
		c.Advance(500)
		require.True(t, call.Revalidate())
		c.Advance(5)
		require.Equal(t, OK, call.Report(Outcome{Code: OK, Execution: Ran, Role: Replica, Position: c.Now()}))
	}
	library := d.ClassCosts()[2]
	require.True(t, library.IsKnown)
	require.InDelta(t, 5, clock.Millis(library.AnswerTime), 0.01)
}
