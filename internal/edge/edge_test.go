package edge

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/settings"
	"ashstand/internal/sqlcomment"
	"ashstand/routing"
)

// taking is a backend of which a connection takes 3 ms and an answer 20.
type taking struct {
	clock *clock.Manual
	fail  int // so many connections that never come up
}

func (b *taking) Acquire(context.Context, string) (Conn, error) {
	b.clock.Advance(3)
	if b.fail--; b.fail >= 0 {
		return nil, errNoBackend
	}
	return b, nil
}

func (b *taking) Exchange(_ context.Context, _ *sqlcomment.Statement, gate Gate) Reply {
	if _, ok := gate(); !ok {
		return NotSent()
	}
	b.clock.Advance(20)
	return Reply{Outcome: dispatch.Outcome{Code: dispatch.OK, Role: dispatch.Primary}, Answer: Answer{Value: []byte("four")}}
}

func (*taking) CloseIdle(string)          {}
func (*taking) SetAddress(string, string) {}
func (*taking) Probe(context.Context, string, func(string) bool) dispatch.Outcome {
	return dispatch.Outcome{}
}

// watcher notes what an observer is told.
type watcher struct {
	inside int
	seen   []Attempt
}

func (w *watcher) AttemptStarted(string) int { w.inside++; return w.inside - 1 }
func (w *watcher) AttemptFinished(s Attempt) { w.inside--; w.seen = append(w.seen, s) }

func core(t require.TestingT, fail int) (*Edge, *sqlcomment.Statement) {
	c := clock.NewManual(1e12)
	site := &settings.Parsed{
		Settings: routing.Settings{
			RouterCount: 1, MaxAttempts: 8, ListNamesPrimary: true, MinTickInterval: 5 * time.Millisecond,
			Classes: []routing.Class{{Name: "browse", Access: routing.EventualRead, Idempotency: routing.Idempotent, LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, LateFraction: 1}},
		},
		Classes: map[string]int{"browse": 0},
	}
	f, err := dispatch.New(site, 1, c, nil, nil)
	require.NoError(t, err)
	f.UpdateEndpoints(true, []dispatch.Endpoint{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}})
	s, err := sqlcomment.Parse("/* id=1,c=browse,d=900,cluster=1 */ SELECT 1")
	require.NoError(t, err)
	return New(f, c, &taking{clock: c, fail: fail}), &s
}

func TestAnObserverIsToldOfEachAttempt(t *testing.T) {
	e, s := core(t, 1)
	w := &watcher{}
	e.Observe(w)
	require.Equal(t, Served, e.Do(context.Background(), s, e.Now()).Verdict)
	require.Len(t, w.seen, 2)
	require.Zero(t, w.inside)
	require.Equal(t, dispatch.NoConnection, w.seen[0].Outcome.Code)
	require.Zero(t, w.seen[0].ExecuteMillis, "it was not written")
	require.Equal(t, dispatch.OK, w.seen[1].Outcome.Code)
	require.InDelta(t, 3, w.seen[1].AcquireMillis, 1e-3)
	require.InDelta(t, 20, w.seen[1].ExecuteMillis, 1e-3)
	require.Equal(t, 4, w.seen[1].ResponseBytes)
	require.Same(t, s, w.seen[1].Statement)
}

// BenchmarkDo shows what being observed costs: without an observer as many allocations as before there was one.
func BenchmarkDo(b *testing.B) {
	for _, name := range []string{"alone", "observed"} {
		b.Run(name, func(b *testing.B) {
			e, s := core(b, 0)
			if name == "observed" {
				e.Observe(quiet{})
			}
			b.ReportAllocs()
			for range b.N {
				e.Do(context.Background(), s, e.Now())
			}
		})
	}
}

type quiet struct{}

func (quiet) AttemptStarted(string) int { return 0 }
func (quiet) AttemptFinished(Attempt)   {}
