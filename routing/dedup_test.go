package routing

import (
	"testing"
	"time"
)

// A deduplicated write that may have run is not sent again after its dedup window, not even from the queue.
func TestDedupWindow(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	id, _ := g.request(deduplicatedWrite, RequestArrived{})
	g.now += 100 * ms
	g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Removed: true}}})
	actions, attempt := g.outcome(id, 0, ConnectionLost, Unknown), 0
	for range 40 {
		for i := 0; i < len(actions); i++ {
			a := actions[i]
			if a.Kind == ActSend && g.now >= startTime+3*time.Second {
				t.Fatalf("sent %v after its send, the window is 3 s", g.now-startTime)
			}
			if a.Kind == ActSend {
				attempt++
				actions = append(actions, g.outcome(id, attempt, ConnectionLost, Unknown)...)
			}
			if a.Kind == ActFail {
				return
			}
			if a.Kind == ActReject {
				t.Fatal("rejected, though it may have run")
			}
		}
		actions = g.advance(100 * ms)
	}
	t.Error("no final answer")
}

// windowed returns settings in which the deduplicated class has a dedup window of one second, and a deadline
// far beyond it.
func windowed(scope DedupScope) Settings {
	s := settings()
	s.Classes[deduplicatedWrite].Scope, s.Classes[deduplicatedWrite].DedupWindow = scope, time.Second
	return s
}

// A retry starts only if it can end within the dedup window: at least the latency of its class before the
// window ends.
func TestRetryStartsOnlyIfItCanEndInItsDedupWindow(t *testing.T) {
	for _, tc := range []struct {
		name   string
		usual  time.Duration // latency of earlier answers of the class; 0: none was seen
		failed time.Duration // when the first attempt fails, from when it was chosen
		want   ActionKind
	}{
		{"early", 0, 300 * ms, ActSend},
		{"an answer before the end", 0, 934 * ms, ActSend},
		{"less than an answer before the end", 0, 936 * ms, ActFail},
		{"answers take long, early", 400 * ms, 580 * ms, ActSend},
		{"answers take long, late", 400 * ms, 590 * ms, ActFail},
		{"answers take as long as the window", time.Second, 100 * ms, ActFail},
		{"past the window", 0, 1100 * ms, ActFail},
	} {
		g := startHarness(t, windowed(ScopeCell), testGroup()...)
		if tc.usual > 0 {
			id, _ := g.request(deduplicatedWrite, RequestArrived{})
			g.now += tc.usual
			g.step(AttemptEnded{ID: id, Code: OK, Role: Primary, Final: true, Elapsed: tc.usual})
		}
		id, _ := g.request(deduplicatedWrite, RequestArrived{})
		g.now += tc.failed
		if found, _ := actionsOf(tc.want, g.outcome(id, 0, ConnectionLost, Unknown)); len(found) != 1 {
			t.Errorf("%s: no %v", tc.name, tc.want)
		}
	}
}

// The dedup window is checked again when an attempt is about to be written: a retry that was chosen within
// the window but whose connection came up too late is not sent. A first attempt has no window.
func TestDedupWindowIsCheckedAtTheWrite(t *testing.T) {
	g := startHarness(t, windowed(ScopeCell), testGroup()...)
	first, _ := g.request(deduplicatedWrite, RequestArrived{})
	if !g.router.Revalidate(g.now+2*time.Second, first, 0) {
		t.Error("a first attempt is limited by a dedup window")
	}
	g = startHarness(t, windowed(ScopeCell), testGroup()...)
	id, _ := g.request(deduplicatedWrite, RequestArrived{})
	g.now += 300 * ms
	if found, _ := actionsOf(ActSend, g.outcome(id, 0, NoAnswer, Unknown)); len(found) != 1 {
		t.Fatal("no retry within the dedup window")
	}
	if g.now += 500 * ms; !g.router.Revalidate(g.now, id, 1) {
		t.Error("not sent though an answer fits into the window")
	}
	if g.now += 150 * ms; g.router.Revalidate(g.now, id, 1) {
		t.Error("sent 950 ms after the first attempt, with a window of 1 s: it can't end inside")
	}
	if found, _ := actionsOf(ActFail, g.outcome(id, 1, NotSent, Unknown)); len(found) != 1 {
		t.Error("no final answer once the dedup window does not allow a retry")
	}
}

// A retry that still waits in the host's queue when the dedup window ends must not run, so its timeout ends
// before that.
func TestRetryTimesOutAtTheEndOfItsDedupWindow(t *testing.T) {
	g := startHarness(t, windowed(ScopeAll), testGroup()...)
	_, actions := g.request(deduplicatedWrite, RequestArrived{})
	if first, _ := actionsOf(ActSend, actions); first[0].Timeout != time.Second {
		t.Errorf("the timeout of the first attempt is %v, its latency objective is 1 s", first[0].Timeout)
	}
	id, _ := g.request(deduplicatedWrite, RequestArrived{})
	g.now += 700 * ms
	again, _ := actionsOf(ActSend, g.outcome(id, 0, ConnectionLost, Unknown))
	if len(again) != 1 || again[0].Timeout != 300*ms-answerMargin {
		t.Errorf("retry %v, want a timeout below the 300 ms that are left of the dedup window", again)
	}
}

// The dedup window starts with the first attempt that may have run, not with an earlier one that certainly
// didn't run. By the scope in which repeats are discarded, the request is then retried, rejected or failed.
func TestFinalAnswerAfterAnAttemptThatMayHaveRun(t *testing.T) {
	for _, tc := range []struct {
		name  string
		class int
		scope DedupScope
		after time.Duration
		code  Code
		want  ActionKind
	}{
		{"cell, inside", deduplicatedWrite, ScopeCell, 100 * ms, ServerError, ActSend},
		{"cell, past", deduplicatedWrite, ScopeCell, 1200 * ms, ServerError, ActFail},
		{"zone, inside: the zone in which it ran is not known", deduplicatedWrite, ScopeZone, 100 * ms, ServerError, ActFail},
		{"all, inside", deduplicatedWrite, ScopeAll, 100 * ms, ServerError, ActSend},
		{"all, past: its client may retry it", deduplicatedWrite, ScopeAll, 1200 * ms, ServerError, ActReject},
		{"at most once, malformed answer", atMostOnceWrite, ScopeCell, 100 * ms, Malformed, ActFail},
		{"at most once, connection lost", atMostOnceWrite, ScopeCell, 100 * ms, ConnectionLost, ActFail},
		{"at most once, cancelled", atMostOnceWrite, ScopeCell, 100 * ms, Cancelled, ActFail},
		{"at most once, misdirected", atMostOnceWrite, ScopeCell, 100 * ms, Misdirected, ActSend},
	} {
		g := startHarness(t, windowed(tc.scope), testGroup()...)
		id, _ := g.request(tc.class, RequestArrived{})
		g.now += 200 * ms // the first attempt does not connect: the window does not start there
		actions := append(g.outcome(id, 0, NoConnection, Unknown), g.advance(searchBackoff)...)
		if found, _ := actionsOf(ActSend, actions); len(found) != 1 {
			t.Fatalf("%s: %v", tc.name, actions)
		}
		g.now += tc.after
		actions = append(g.outcome(id, 1, tc.code, Unknown), g.advance(tickInterval)...)
		if found, _ := actionsOf(tc.want, actions); len(found) != 1 {
			t.Errorf("%s: %v", tc.name, actions)
		}
	}
}
