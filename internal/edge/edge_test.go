package edge

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/panics"
	"ashstand/internal/settings"
	"ashstand/internal/sqlcomment"
	"ashstand/routing"
)

// fakeBackend is a backend that takes 3 ms to acquire a connection and 20 ms to answer.
type fakeBackend struct {
	clock          *clock.Manual
	failedAcquires int // number of calls of Acquire that fail first
}

func (b *fakeBackend) Acquire(context.Context, string) (Conn, error) {
	b.clock.Advance(3)
	if b.failedAcquires--; b.failedAcquires >= 0 {
		return nil, errNoBackend
	}
	return b, nil
}

func (b *fakeBackend) Exchange(_ context.Context, _ *sqlcomment.Statement, gate Gate) Reply {
	if _, ok := gate(); !ok {
		return NotSentReply()
	}
	b.clock.Advance(20)
	return Reply{Outcome: dispatch.Outcome{Code: dispatch.OK, Role: dispatch.Primary}, Answer: Answer{Value: []byte("four")}}
}

func (*fakeBackend) CloseIdle(string)          {}
func (*fakeBackend) SetAddress(string, string) {}
func (*fakeBackend) Probe(context.Context, string, func(string) bool) dispatch.Outcome {
	return dispatch.Outcome{}
}

// recordingObserver records what it is notified of.
type recordingObserver struct {
	inFlight int
	finished []Attempt
}

func (o *recordingObserver) AttemptStarted(string) int { o.inFlight++; return o.inFlight - 1 }
func (o *recordingObserver) AttemptFinished(s Attempt) {
	o.inFlight--
	o.finished = append(o.finished, s)
}

func newTestEdge(t require.TestingT, failedAcquires int) (*Edge, *sqlcomment.Statement) {
	c := clock.NewManual(1e12)
	parsed := &settings.Parsed{
		Settings: routing.Settings{
			RouterCount: 1, MaxAttempts: 8, ListNamesPrimary: true, MinTickInterval: 5 * time.Millisecond,
			Classes: []routing.Class{{Name: "browse", Access: routing.EventualRead, Idempotency: routing.Idempotent, LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, LateFraction: 1}},
		},
		Classes: map[string]int{"browse": 0},
	}
	d, err := dispatch.New(parsed, 1, c, nil, nil)
	require.NoError(t, err)
	d.UpdateEndpoints(true, []dispatch.Endpoint{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}})
	s, err := sqlcomment.Parse("/* id=1,c=browse,d=900,cluster=1 */ SELECT 1")
	require.NoError(t, err)
	return New(d, c, &fakeBackend{clock: c, failedAcquires: failedAcquires}), &s
}

func TestObserverIsNotifiedOfEachAttempt(t *testing.T) {
	e, s := newTestEdge(t, 1)
	observer := &recordingObserver{}
	e.Observe(observer)
	require.Equal(t, Served, e.Do(context.Background(), s, e.Now()).Verdict)
	require.Len(t, observer.finished, 2)
	require.Zero(t, observer.inFlight)
	require.Equal(t, dispatch.NoConnection, observer.finished[0].Outcome.Code)
	require.Zero(t, observer.finished[0].ExecuteMillis, "the attempt was not written")
	require.Equal(t, dispatch.OK, observer.finished[1].Outcome.Code)
	require.InDelta(t, 3, observer.finished[1].AcquireMillis, 1e-3)
	require.InDelta(t, 20, observer.finished[1].ExecuteMillis, 1e-3)
	require.Equal(t, 4, observer.finished[1].ResponseBytes)
	require.Same(t, s, observer.finished[1].Statement)
}

// BenchmarkDo shows the cost of an observer. Without one, no allocations are made for it.
func BenchmarkDo(b *testing.B) {
	for _, name := range []string{"alone", "observed"} {
		b.Run(name, func(b *testing.B) {
			e, s := newTestEdge(b, 0)
			if name == "observed" {
				e.Observe(noopObserver{})
			}
			b.ReportAllocs()
			for range b.N {
				e.Do(context.Background(), s, e.Now())
			}
		})
	}
}

type noopObserver struct{}

func (noopObserver) AttemptStarted(string) int { return 0 }
func (noopObserver) AttemptFinished(Attempt)   {}

// panickingBackend panics at one point of an attempt. Its zero value answers each request.
type panickingBackend struct {
	fakeBackend
	at string
}

func (b *panickingBackend) Acquire(ctx context.Context, host string) (Conn, error) {
	if b.at == "acquire" {
		panic("in Acquire")
	}
	_, err := b.fakeBackend.Acquire(ctx, host)
	return b, err
}

func (b *panickingBackend) Exchange(ctx context.Context, s *sqlcomment.Statement, gate Gate) Reply {
	if b.at == "before the write" {
		panic("before the gate")
	}
	reply := b.fakeBackend.Exchange(ctx, s, gate)
	if b.at == "after the write" {
		panic("after the exchange")
	}
	return reply
}

// Guards against a panic that ends the process, and with it the requests of all clients: it ends its own request, which is never
// told that nothing ran, and gives back its id, its place at the host and what observers count.
func TestPanicInAnAttemptEndsItsRequestAlone(t *testing.T) {
	const moreThanAHostTakes = 200
	for _, at := range []string{"acquire", "before the write", "after the write"} {
		e, s := newTestEdge(t, 0)
		backend := &panickingBackend{fakeBackend: fakeBackend{clock: e.clock.(*clock.Manual)}, at: at}
		e.backend = backend
		observer := &recordingObserver{}
		e.Observe(observer)
		for range moreThanAHostTakes {
			require.Nil(t, e.Begin(s))
			result := e.Do(context.Background(), s, e.Now())
			e.End(s)
			require.Equal(t, Failed, result.Verdict, at)
			require.False(t, result.IsRejection(), at)
		}
		require.Zero(t, observer.inFlight, at)
		require.Empty(t, e.openIDs, at)
		broken, err := e.Metrics().Snapshot()
		require.NoError(t, err)
		require.Equal(t, moreThanAHostTakes, metrics.Violations(broken)[lifecycle.PanicRecovered.String()], at)
		backend.at = ""
		require.Equal(t, Served, e.Do(context.Background(), s, e.Now()).Verdict, "%s: the hosts' places were not given back", at)
		select {
		case <-e.Drain():
		default:
			require.Fail(t, "the drain does not end", at)
		}
	}
}

// Guards against going on with a router that a panic left half changed.
func TestPanicInDecidingCodeIsNotRecovered(t *testing.T) {
	e, s := newTestEdge(t, 0)
	backend := &panickingBackend{fakeBackend: fakeBackend{clock: e.clock.(*clock.Manual)}}
	e.backend = decisionPanic{backend}
	require.Panics(t, func() { e.Do(context.Background(), s, e.Now()) })
}

// decisionPanic is a backend whose gate fails as the deciding code would.
type decisionPanic struct{ *panickingBackend }

func (d decisionPanic) Acquire(context.Context, string) (Conn, error) {
	defer panics.Escalate()
	panic("in the router")
}
