package routing

import (
	"testing"
	"time"
)

// A keyed write that may have run goes nowhere once its window has passed, not even from being held.
func TestKeyedWindow(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	id, _ := g.request(deduplicatedWrite, RequestArrived{})
	g.now += 100 * ms
	g.step(TargetsChanged{Targets: []Target{{Host: "p", Group: 1, Removed: true}}})
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

// windowed are settings in which a keyed class has a window of one second, and a deadline far beyond it.
func windowed(scope DedupScope) Settings {
	s := settings()
	s.Classes[deduplicatedWrite].Scope, s.Classes[deduplicatedWrite].DedupWindow = scope, time.Second
	return s
}

// A repeat is begun only if it can end inside the window: as long before its end as an answer of its class takes.
func TestARetryBeginsOnlyIfItCanEndInItsWindow(t *testing.T) {
	for _, k := range []struct {
		name   string
		usual  time.Duration // what answers of the class took before; 0: none was seen
		failed time.Duration // when the first attempt fails, from its choice
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
		g := startHarness(t, windowed(ScopeCell), shard()...)
		if k.usual > 0 {
			id, _ := g.request(deduplicatedWrite, RequestArrived{})
			g.now += k.usual
			g.step(AttemptEnded{ID: id, Code: OK, Role: Primary, Final: true, Elapsed: k.usual})
		}
		id, _ := g.request(deduplicatedWrite, RequestArrived{})
		g.now += k.failed
		if found, _ := actionsOf(k.want, g.outcome(id, 0, ConnectionLost, Unknown)); len(found) != 1 {
			t.Errorf("%s: no %v", k.name, k.want)
		}
	}
}

// The window counts at the write: what was chosen inside it and dialled past its end is not sent. The same for what has
// run while it must not be sent twice; and a first attempt knows no window.
func TestTheWindowIsCheckedAtTheWrite(t *testing.T) {
	g := startHarness(t, windowed(ScopeCell), shard()...)
	first, _ := g.request(deduplicatedWrite, RequestArrived{})
	if !g.c.Revalidate(g.now+2*time.Second, first, 0) {
		t.Error("a first attempt is held to a window")
	}
	g = startHarness(t, windowed(ScopeCell), shard()...)
	id, _ := g.request(deduplicatedWrite, RequestArrived{})
	g.now += 300 * ms
	if found, _ := actionsOf(ActSend, g.outcome(id, 0, NoAnswer, Unknown)); len(found) != 1 {
		t.Fatal("no repeat inside the window")
	}
	if g.now += 500 * ms; !g.c.Revalidate(g.now, id, 1) {
		t.Error("not sent though an answer fits into the window")
	}
	if g.now += 150 * ms; g.c.Revalidate(g.now, id, 1) {
		t.Error("sent 950 ms after the first attempt, with a window of 1 s: it can't end inside")
	}
	if found, _ := actionsOf(ActFail, g.outcome(id, 1, NotSent, Unknown)); len(found) != 1 {
		t.Error("no final answer once the window does not allow a repeat")
	}
}

// What still waits in a host's queue when the window ends must not run then: the host is told to give up before.
func TestARetryTimesOutAtTheEndOfItsWindow(t *testing.T) {
	g := startHarness(t, windowed(ScopeAll), shard()...)
	_, as := g.request(deduplicatedWrite, RequestArrived{})
	if first, _ := actionsOf(ActSend, as); first[0].Timeout != time.Second {
		t.Errorf("the first attempt may take %v, its aim is 1 s", first[0].Timeout)
	}
	id, _ := g.request(deduplicatedWrite, RequestArrived{})
	g.now += 700 * ms
	again, _ := actionsOf(ActSend, g.outcome(id, 0, ConnectionLost, Unknown))
	if len(again) != 1 || again[0].Timeout != 300*ms-answerMargin {
		t.Errorf("the repeat may take %v, 300 ms are left of the window", again)
	}
}

// The window counts from the first attempt that may have run, not from one that was turned away before it; and by the
// group that discards repeats it may go on, be refused or must fail.
func TestWhatFollowsAnAttemptThatMayHaveRun(t *testing.T) {
	for _, k := range []struct {
		name  string
		class int
		scope DedupScope
		after time.Duration
		code  Code
		want  ActionKind
	}{
		{"cell, inside", deduplicatedWrite, ScopeCell, 100 * ms, ServerError, ActSend},
		{"cell, past", deduplicatedWrite, ScopeCell, 1200 * ms, ServerError, ActFail},
		{"zone, inside: whose zone it ran in is not told", deduplicatedWrite, ScopeZone, 100 * ms, ServerError, ActFail},
		{"all, inside", deduplicatedWrite, ScopeAll, 100 * ms, ServerError, ActSend},
		{"all, past: its client may repeat it", deduplicatedWrite, ScopeAll, 1200 * ms, ServerError, ActReject},
		{"at most once, spoilt", atMostOnceWrite, ScopeCell, 100 * ms, Malformed, ActFail},
		{"at most once, lost", atMostOnceWrite, ScopeCell, 100 * ms, ConnectionLost, ActFail},
		{"at most once, given up", atMostOnceWrite, ScopeCell, 100 * ms, Cancelled, ActFail},
		{"at most once, turned away", atMostOnceWrite, ScopeCell, 100 * ms, Misdirected, ActSend},
	} {
		g := startHarness(t, windowed(k.scope), shard()...)
		id, _ := g.request(k.class, RequestArrived{})
		g.now += 200 * ms // the first never came up: no window begins there
		as := append(g.outcome(id, 0, NoConnection, Unknown), g.advance(searchBackoff)...)
		if found, _ := actionsOf(ActSend, as); len(found) != 1 {
			t.Fatalf("%s: %v", k.name, as)
		}
		g.now += k.after
		as = append(g.outcome(id, 1, k.code, Unknown), g.advance(tickInterval)...)
		if found, _ := actionsOf(k.want, as); len(found) != 1 {
			t.Errorf("%s: %v", k.name, as)
		}
	}
}
