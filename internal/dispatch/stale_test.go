package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/routing"
)

// An answer whose own stamp is too old for its request serves nobody: its host lost the role, or fell behind, since it was
// last heard of. It ran all the same: only what may be repeated is tried elsewhere.
func TestAnAnswerThatIsTooOldByItsStampDoesNotCount(t *testing.T) {
	for _, k := range []struct {
		class string
		after float64 // of the request, back from now
		role  Role
		age   float64 // of the answer's data, back from its write; 0: not stamped
		want  Code
	}{
		{"browse", 0, Replica, 199, OK},
		{"browse", 0, Replica, 204, StaleAnswer},
		{"browse", 0, Primary, 9000, OK}, // it stands at the present
		{"browse", 0, Replica, 0, OK},
		{"library", 500, Replica, 499, OK},
		{"library", 500, Replica, 503, StaleAnswer},
		{"library", 0, Replica, 9000, OK}, // it has written nothing
		{"fresh", 0, Replica, 29, OK},     // from after its arrival
		{"fresh", 0, Replica, 33, StaleAnswer},
	} {
		for _, idempotency := range []routing.Idempotency{routing.Idempotent, routing.Deduplicated, routing.AtMostOnce} {
			f, c, call := startWithRead(t, k.class, k.after, func(class *routing.Class) {
				class.Idempotency, class.Scope, class.DedupWindow = idempotency, routing.ScopeCell, 500*time.Millisecond
			})
			first, ok := call.TryPick()
			require.True(t, ok)
			require.Equal(t, Send, first.Verdict)
			c.Advance(30) // for a dial
			require.True(t, call.Revalidate())
			o := Outcome{Code: OK, Execution: Ran, Role: k.role}
			if k.age > 0 {
				o.Position = c.Now() - k.age
				if k.class == "library" {
					o.Position -= 30 // its need counts from its arrival
				}
			}
			c.Advance(40)
			require.Equal(t, k.want, call.Report(o), "%+v", k)
			if k.want != StaleAnswer {
				continue
			}
			if k.class == "fresh" { // the role has moved
				f.ProbeDone("a", Outcome{Code: OK, Report: Report{Role: Primary, Position: c.Now()}})
			}
			next := pickWithin(t, f, c, call, 100)
			if idempotency == routing.AtMostOnce {
				require.Equal(t, Fail, next.Verdict, "%+v", k)
				require.InDelta(t, start+70, c.Now(), 0.1, "at once: nothing is waited for")
			} else {
				require.Equal(t, Send, next.Verdict, "%+v", k)
			}
		}
	}
}

// A read that is deduplicated ran when its answer turns out too old: the window in which hosts discard repeats counts from its
// send.
func TestAStaleAnswerOpensTheWindowOfRepeats(t *testing.T) {
	const window = 300
	for _, k := range []struct {
		answeredAfter float64
		want          Verdict
	}{{100, Send}, {window - 10, Fail}, {window + 50, Fail}} {
		f, c, call := startWithRead(t, "browse", 0, func(class *routing.Class) {
			class.Idempotency, class.Scope, class.DedupWindow = routing.Deduplicated, routing.ScopeCell, window*time.Millisecond
		})
		_, ok := call.TryPick()
		require.True(t, ok)
		position := c.Now() - 900
		c.Advance(k.answeredAfter)
		require.Equal(t, StaleAnswer, call.Report(Outcome{Code: OK, Execution: Ran, Role: Replica, Position: position}))
		require.Equal(t, k.want, pickWithin(t, f, c, call, 50).Verdict, "%+v", k)
	}
}

// Nobody else can serve a read that ran: it is not kept until its time runs out, to be rejected then.
func TestAReadThatRanIsNotRejectedForWantOfAHost(t *testing.T) {
	f, c, call := startWithRead(t, "browse", 0, func(class *routing.Class) { class.Idempotency = routing.AtMostOnce })
	_, ok := call.TryPick()
	require.True(t, ok)
	f.UpdateEndpoints(false, []Endpoint{{Host: "p", Group: 1, Removed: true}, {Host: "a", Group: 1, Removed: true}})
	require.Equal(t, StaleAnswer, call.Report(Outcome{Code: OK, Execution: Ran, Role: Replica, Position: c.Now() - 900}))
	last := pickWithin(t, f, c, call, 1000)
	require.Equal(t, Fail, last.Verdict)
	require.Equal(t, routing.EndNotRepeatable, last.Reason)
}

// startWithRead begins a read on a dispatcher whose class of the name was changed first. Its hosts have just reported; a strong
// read has the primary alone, which lost the role unnoticed.
func startWithRead(t *testing.T, name string, after float64, change func(*routing.Class)) (*Dispatcher, *clock.Manual, *Call) {
	t.Helper()
	c := clock.NewManual(start)
	s := testSettings()
	s.Classes["fresh"] = len(s.Settings.Classes)
	s.Settings.Classes = append(s.Settings.Classes, routing.Class{
		Name: "fresh", Access: routing.StrongRead, LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, LateFraction: 1,
	})
	change(&s.Settings.Classes[s.Classes[name]])
	f, err := New(s, 1, c, nil, nil)
	require.NoError(t, err)
	f.UpdateEndpoints(true, []Endpoint{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}})
	f.ProbeDone("p", Outcome{Code: OK, Report: Report{Role: Primary, Position: c.Now()}})
	f.ProbeDone("a", Outcome{Code: OK, Report: Report{Role: Replica, Position: c.Now()}})
	minPosition := 0.0
	if after > 0 {
		minPosition = c.Now() - after
	}
	return f, c, begin(t, f, name, minPosition)
}

// pickWithin returns the next decision, for which it lets up to so many milliseconds pass.
func pickWithin(t *testing.T, f *Dispatcher, c *clock.Manual, call *Call, most int) Decision {
	t.Helper()
	for range most / 10 {
		if next, ok := call.TryPick(); ok {
			return next
		}
		c.Advance(10)
		f.Tick()
	}
	next, ok := call.TryPick()
	require.True(t, ok, "nothing is decided within %d ms", most)
	return next
}

// What an answer says counts, though its attempt was given up; and a commit, rounded up, proves no position.
func TestALateAnswerCounts(t *testing.T) {
	f, c := newTestDispatcher(t)
	call := begin(t, f, "donate", 0)
	n := call.Pick()
	require.Equal(t, "p", n.Host)
	sent := c.Now()
	c.Advance(100)
	call.Report(Outcome{Code: NoAnswer})
	f.LateAnswer("p", sent, true, Outcome{Code: Misdirected, Role: Replica, Position: c.Now() - 50})
	read := begin(t, f, "library", c.Now()-10)
	_, at := read.TryPick()
	require.False(t, at, "p is no primary, and nobody else is known to be so far")
	f.LateAnswer("a", sent, true, Outcome{Code: OK, Role: Primary, Position: c.Now()})
	for range 2 { // for the probes that it waits for
		c.Advance(30)
		f.Tick()
	}
	n, ok := read.TryPick()
	require.True(t, ok)
	require.Equal(t, "a", n.Host)
	f.LateAnswer("nobody", sent, false, Outcome{Code: OK, Role: Primary})
}
