package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An answer whose own stamp is too old for its request serves nobody: its host lost the role, or fell behind, since it was
// last heard of. The request is tried elsewhere.
func TestAnAnswerThatIsTooOldByItsStampDoesNotCount(t *testing.T) {
	for _, k := range []struct {
		class string
		after float64 // of the request, back from now
		role  Role
		age   float64 // of the answer's data, back from its write; 0: not stamped
		want  Code
	}{
		{"browse", 0, Replica, 199, OK},
		{"browse", 0, Replica, 204, Misdirected},
		{"browse", 0, Primary, 9000, OK}, // it stands at the present
		{"browse", 0, Replica, 0, OK},
		{"library", 500, Replica, 499, OK},
		{"library", 500, Replica, 503, Misdirected},
		{"library", 0, Replica, 9000, OK}, // it has written nothing
	} {
		f, c := newTestDispatcher(t)
		f.ProbeDone("p", Outcome{Code: OK, Report: Report{Role: Primary, Position: c.Now()}})
		f.ProbeDone("a", Outcome{Code: OK, Report: Report{Role: Replica, Position: c.Now()}})
		after := 0.0
		if k.after > 0 {
			after = c.Now() - k.after
		}
		call := begin(t, f, k.class, after)
		first, ok := call.TryPick()
		require.True(t, ok)
		require.Equal(t, Send, first.Verdict)
		c.Advance(30) // for a dial
		require.True(t, call.Revalidate())
		o := Outcome{Code: OK, Role: k.role}
		if k.age > 0 {
			o.Position = c.Now() - k.age
			if k.class == "library" {
				o.Position -= 30 // its need counts from its arrival
			}
		}
		c.Advance(40)
		require.Equal(t, k.want, call.Report(o), "%+v", k)
		if k.want == Misdirected {
			next, ok := call.TryPick()
			require.True(t, ok, "%+v", k)
			require.Equal(t, Send, next.Verdict, "%+v", k)
		}
	}
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
