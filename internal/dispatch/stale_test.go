package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/routing"
)

// Guards against serving an answer whose stamped position is too old for its request, because its host lost
// the primary role or fell behind since its last report. The request ran all the same, so only a class that
// may be repeated is tried elsewhere.
func TestStaleAnswerIsNotServed(t *testing.T) {
	for _, test := range []struct {
		class       string
		positionAge float64 // how long before now the request's minimum position is; 0: it has none
		role        Role
		dataAge     float64 // how long before the write the position of the answer's data is; 0: not stamped
		want        Code
	}{
		{"browse", 0, Replica, 199, OK},
		{"browse", 0, Replica, 204, StaleAnswer},
		{"browse", 0, Primary, 9000, OK}, // the data of a primary is always current
		{"browse", 0, Replica, 0, OK},
		{"library", 500, Replica, 499, OK},
		{"library", 500, Replica, 503, StaleAnswer},
		{"library", 0, Replica, 9000, OK}, // the session has written nothing
		{"fresh", 0, Replica, 29, OK},     // the data is from after the request's arrival
		{"fresh", 0, Replica, 33, StaleAnswer},
	} {
		for _, idempotency := range []routing.Idempotency{routing.Idempotent, routing.Deduplicated, routing.AtMostOnce} {
			d, c, call := startWithRead(t, test.class, test.positionAge, func(class *routing.Class) {
				class.Idempotency, class.Scope, class.DedupWindow = idempotency, routing.ScopeCell, 500*time.Millisecond
			})
			first, ok := call.TryPick()
			require.True(t, ok)
			require.Equal(t, Send, first.Verdict)
			c.Advance(30) // the time of a dial
			require.True(t, call.Revalidate())
			outcome := Outcome{Code: OK, Execution: Ran, Role: test.role}
			if test.dataAge > 0 {
				outcome.Position = c.Now() - test.dataAge
				if test.class == "library" {
					outcome.Position -= 30 // the required position counts from the request's arrival
				}
			}
			c.Advance(40)
			require.Equal(t, test.want, call.Report(outcome), "%+v", test)
			if test.want != StaleAnswer {
				continue
			}
			if test.class == "fresh" { // the primary role has moved
				d.ProbeDone("a", Outcome{Code: OK, Report: Report{Role: Primary, Position: c.Now()}})
			}
			next := pickWithin(t, d, c, call, 100)
			if idempotency == routing.AtMostOnce {
				require.Equal(t, Fail, next.Verdict, "%+v", test)
				require.InDelta(t, start+70, c.Now(), 0.1, "the request does not fail at once")
			} else {
				require.Equal(t, Send, next.Verdict, "%+v", test)
			}
		}
	}
}

// A deduplicated read whose answer is too old has run: the window in which hosts discard its repeats counts
// from when it was sent.
func TestStaleAnswerStartsDedupWindow(t *testing.T) {
	const window = 300
	for _, test := range []struct {
		answeredAfter float64
		want          Verdict
	}{{100, Send}, {window - 10, Fail}, {window + 50, Fail}} {
		d, c, call := startWithRead(t, "browse", 0, func(class *routing.Class) {
			class.Idempotency, class.Scope, class.DedupWindow = routing.Deduplicated, routing.ScopeCell, window*time.Millisecond
		})
		_, ok := call.TryPick()
		require.True(t, ok)
		position := c.Now() - 900
		c.Advance(test.answeredAfter)
		require.Equal(t, StaleAnswer, call.Report(Outcome{Code: OK, Execution: Ran, Role: Replica, Position: position}))
		require.Equal(t, test.want, pickWithin(t, d, c, call, 50).Verdict, "%+v", test)
	}
}

// Guards against an at-most-once read that has run being queued until its deadline and then rejected. It must
// fail.
func TestExecutedReadFailsWithoutHost(t *testing.T) {
	d, c, call := startWithRead(t, "browse", 0, func(class *routing.Class) { class.Idempotency = routing.AtMostOnce })
	_, ok := call.TryPick()
	require.True(t, ok)
	d.UpdateEndpoints(false, []Endpoint{{Host: "p", Group: 1, Removed: true}, {Host: "a", Group: 1, Removed: true}})
	require.Equal(t, StaleAnswer, call.Report(Outcome{Code: OK, Execution: Ran, Role: Replica, Position: c.Now() - 900}))
	last := pickWithin(t, d, c, call, 1000)
	require.Equal(t, Fail, last.Verdict)
	require.Equal(t, routing.EndNotRepeatable, last.Reason)
}

// startWithRead begins a read of the named class on a dispatcher, after change has modified that class. The
// hosts have just reported. A strong read goes to the primary alone, which in these tests has lost the role
// without the dispatcher knowing.
func startWithRead(t *testing.T, name string, positionAge float64, change func(*routing.Class)) (*Dispatcher, *clock.Manual, *Call) {
	t.Helper()
	c := clock.NewManual(start)
	s := testSettings()
	s.Classes["fresh"] = len(s.Settings.Classes)
	s.Settings.Classes = append(s.Settings.Classes, routing.Class{
		Name: "fresh", Access: routing.StrongRead, LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, LateFraction: 1,
	})
	change(&s.Settings.Classes[s.Classes[name]])
	d, err := New(s, 1, c, nil, nil)
	require.NoError(t, err)
	d.UpdateEndpoints(true, []Endpoint{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}})
	d.ProbeDone("p", Outcome{Code: OK, Report: Report{Role: Primary, Position: c.Now()}})
	d.ProbeDone("a", Outcome{Code: OK, Report: Report{Role: Replica, Position: c.Now()}})
	minPosition := 0.0
	if positionAge > 0 {
		minPosition = c.Now() - positionAge
	}
	return d, c, beginCall(t, d, name, minPosition)
}

// pickWithin returns the next decision, and advances the clock by up to maxMillis until there is one.
func pickWithin(t *testing.T, d *Dispatcher, c *clock.Manual, call *Call, maxMillis int) Decision {
	t.Helper()
	for range maxMillis / 10 {
		if next, ok := call.TryPick(); ok {
			return next
		}
		c.Advance(10)
		d.Tick()
	}
	next, ok := call.TryPick()
	require.True(t, ok, "there is no decision within %d ms", maxMillis)
	return next
}

// The role and position in an answer count even if its attempt was given up. The position of a commit was
// rounded up, so it does not prove the last millisecond.
func TestLateAnswerIsRecorded(t *testing.T) {
	d, c := newTestDispatcher(t)
	call := beginCall(t, d, "donate", 0)
	decision := call.Pick()
	require.Equal(t, "p", decision.Host)
	sentAt := c.Now()
	c.Advance(100)
	call.Report(Outcome{Code: NoAnswer})
	d.LateAnswer("p", sentAt, true, Outcome{Code: Misdirected, Role: Replica, Position: c.Now() - 50})
	read := beginCall(t, d, "library", c.Now()-10)
	_, decided := read.TryPick()
	require.False(t, decided, "p is not the primary, and no other host is known to be")
	d.LateAnswer("a", sentAt, true, Outcome{Code: OK, Role: Primary, Position: c.Now()})
	for range 2 { // the read waits for probes
		c.Advance(30)
		d.Tick()
	}
	decision, ok := read.TryPick()
	require.True(t, ok)
	require.Equal(t, "a", decision.Host)
	d.LateAnswer("nobody", sentAt, false, Outcome{Code: OK, Role: Primary})
}
