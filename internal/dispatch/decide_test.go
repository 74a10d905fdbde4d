package dispatch

import (
	"testing"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/settings"
	"ashstand/routing"
)

const start = 1767225600000.0

func site() *settings.Parsed {
	return &settings.Parsed{Settings: routing.Settings{Routers: 1, MaxAttempts: 8, ListRole: true, Probes: true,
		ReportX0: true, ReportX1: true, MaxRetryAfter: 2 * time.Second, Tick: 5 * time.Millisecond, ProbePrice: 0.001,
		Classes: []routing.Class{
			{Name: "browse", Read: routing.Bounded, Bound: 200 * time.Millisecond, Aim: time.Second, Deadline: time.Second, Worth: 1, LateShare: 1},
			{Name: "donate", Read: routing.Write, Effect: routing.Unsafe, Aim: time.Second, Deadline: 2 * time.Second, Worth: 3, LateShare: 1},
			{Name: "library", Read: routing.Session, Aim: time.Second, Deadline: time.Second, Worth: 3, LateShare: 1}}},
		Classes: map[string]int{"browse": 0, "donate": 1, "library": 2}}
}

func facade(t *testing.T) (*Facade, *clock.Manual) {
	t.Helper()
	c := clock.NewManual(start)
	f, err := New(site(), 1, c, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	f.Members(true, []Member{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}})
	return f, c
}

func begin(t *testing.T, f *Facade, class string, after float64) *Call {
	t.Helper()
	c, err := f.Begin(Request{Class: class, Group: 1, Arrived: f.clock.Now(), TimeLeft: 900, After: after})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against data that grew too old, and a drain that came, while a connection was dialled.
func TestStillCountsAtTheWrite(t *testing.T) {
	f, c := facade(t)
	report := func() {
		f.Probed("a", Outcome{Code: OK, Report: Report{Role: Replica, Position: c.Now()}})
	}
	report()
	call := begin(t, f, "browse", 0)
	if n := call.Pick(); n.Verdict != Send || n.Host != "a" {
		t.Fatalf("%+v", n)
	}
	if !call.Still() {
		t.Error("nothing changed, and it may not go out")
	}
	if c.Advance(250); call.Still() {
		t.Error("the data is older than its bound")
	}
	report()
	call.Report(Outcome{Code: NotSent})
	f.Tick()
	if n := call.Pick(); n.Verdict != Send {
		t.Fatalf("too late is not the end: %+v", n)
	}
	f.Members(false, []Member{{Host: "a", Group: 1, Draining: true}, {Host: "p", Group: 1, Draining: true}})
	if call.Still() || f.Listed("a") {
		t.Error("a draining host may get work")
	}
}

// Guards against a refusal, or a second attempt, of what may have run.
func TestOnlyWhatNeverRanIsSentAgainOrRefused(t *testing.T) {
	for code, want := range map[Code]Verdict{ConnectionLost: Fail, NoAnswer: Fail, Error: Fail, Cancelled: Fail,
		NoConnection: Send, Miss: Send, NotSent: Send} {
		f, c := facade(t)
		call := begin(t, f, "donate", 0)
		if n := call.Pick(); n.Verdict != Send || n.Host != "p" || n.Until != start+900-guard {
			t.Fatalf("%+v", n)
		}
		call.Report(Outcome{Code: code})
		for range 60 {
			c.Advance(10)
			f.Tick()
		}
		if n := call.Pick(); n.Verdict != want {
			t.Errorf("after %v: %+v, want %v", code, n, want)
		}
	}
}

// Guards against a position that is taken for newer than proven: a token a fraction of a millisecond above
// what a replica has is not met, nor is one from the future.
func TestPositionsAreRoundedToTheSafeSide(t *testing.T) {
	for after, host := range map[float64]string{start - 100.5: "a", start - 50.0001: "p", start + 5000: "p"} {
		f, c := facade(t)
		f.Probed("a", Outcome{Code: OK, Report: Report{Role: Replica, Position: start - 50.00015}})
		f.Probed("p", Outcome{Code: OK, Report: Report{Role: Primary, Position: start}})
		call := begin(t, f, "library", after)
		for range 8 { // a read waits a moment for a probe that may prove more
			c.Advance(10)
			f.Tick()
		}
		if n := call.Pick(); n.Host != host {
			t.Errorf("after %v: %+v, want %s", after, n, host)
		}
	}
}

func TestOneFinalAnswer(t *testing.T) {
	f, c := facade(t)
	if _, err := f.Begin(Request{Class: "odd"}); err == nil {
		t.Error("an unknown class was taken")
	}
	call := begin(t, f, "donate", 0)
	call.Pick()
	call.Leave()
	call.Leave()
	if n := call.Pick(); n.Verdict != Left {
		t.Errorf("%+v", n)
	}
	call.Report(Outcome{Code: Cancelled}) // the attempt that was out
	call = begin(t, f, "donate", 0)
	call.Pick()
	call.Report(Outcome{Code: Full, Role: Primary})
	for range 100 {
		c.Advance(10)
		f.Tick()
	}
	n := call.Pick()
	for n.Verdict == Send { // full again and again
		call.Report(Outcome{Code: Full, Role: Primary})
		c.Advance(100)
		f.Tick()
		n = call.Pick()
	}
	if n.Verdict != Refuse || n.After <= 0 {
		t.Errorf("%+v", n)
	}
	if len(f.calls) != 0 {
		t.Errorf("%d calls are left", len(f.calls))
	}
}

// Guards against a request that was given up while it was held: the module would send it later, for nobody, and count
// it as under way for good. And against a goroutine that waits for its decision for ever.
func TestAConcludedCallLeavesNothingBehind(t *testing.T) {
	f, c := facade(t)
	f.Members(false, []Member{{Host: "p", Group: 1, Gone: true}, {Host: "a", Group: 1, Gone: true}})
	var held []*Call
	for range 20 {
		held = append(held, begin(t, f, "donate", 0))
	}
	woken := make(chan Next, 1)
	go func() { woken <- held[0].Pick() }()
	for _, h := range held {
		if _, ok := h.TryPick(); ok {
			t.Fatal("there is nobody to send it to")
		}
		h.Conclude(Outcome{Code: Cancelled})
	}
	if n := <-woken; n.Verdict != Left {
		t.Fatalf("%+v", n)
	}
	f.Members(true, []Member{{Host: "p", Group: 1, Primary: true}})
	c.Advance(50)
	f.Probed("p", Outcome{Code: OK, Report: Report{Role: Primary, Position: c.Now() - 1}})
	f.Tick()
	for i := range 3 { // the whole of the first limit is there
		if n, ok := begin(t, f, "donate", 0).TryPick(); !ok || n.Verdict != Send {
			t.Fatalf("%d: %+v", i, n)
		}
	}
}
