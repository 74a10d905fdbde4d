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
	"ashstand/internal/settings"
	"ashstand/internal/sqlcomment"
	"ashstand/routing"
)

// misbehavingBackend is a backend that breaks rules: it calls beforeWrite between the gate and the write, may
// ignore the gate, and reports when it wrote.
type misbehavingBackend struct {
	*fakeBackend
	beforeWrite func() // called between the gate and the write; may be nil
	outcomes    []dispatch.Outcome
	position    float64
	ignoreGate  bool // write even if the gate does not permit it
}

func (b *misbehavingBackend) Acquire(context.Context, string) (Conn, error) { return b, nil }

func (b *misbehavingBackend) Exchange(_ context.Context, _ *sqlcomment.Statement, gate Gate) Reply {
	if _, ok := gate(); !ok && !b.ignoreGate {
		return NotSentReply()
	}
	if b.beforeWrite != nil {
		b.beforeWrite()
	}
	outcome := b.outcomes[0]
	if len(b.outcomes) > 1 {
		b.outcomes = b.outcomes[1:]
	}
	return Reply{Outcome: outcome, Answer: Answer{Value: []byte("v"), Position: b.position}, WrittenAt: b.clock.Now()}
}

// newCheckedEdge returns a core with classes of several kinds and a misbehavingBackend, and the parsed
// statement.
func newCheckedEdge(t *testing.T, statement string) (e *Edge, b *misbehavingBackend, s *sqlcomment.Statement, manual *clock.Manual) {
	manual = clock.NewManual(1e12)
	class := func(name string, access routing.Access, idempotency routing.Idempotency) routing.Class {
		return routing.Class{
			Name: name, Access: access, Idempotency: idempotency, StalenessBound: 200 * time.Millisecond, DedupWindow: 300 * time.Millisecond,
			LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, LateFraction: 1,
		}
	}
	config := &settings.Parsed{
		Settings: routing.Settings{
			RouterCount: 1, MaxAttempts: 8, ListNamesPrimary: true, MinTickInterval: 5 * time.Millisecond,
			Classes: []routing.Class{
				class("any", routing.EventualRead, routing.Idempotent), class("bounded", routing.BoundedRead, routing.Idempotent),
				class("session", routing.SessionRead, routing.Idempotent), class("once", routing.Write, routing.AtMostOnce),
				class("keyed", routing.Write, routing.Deduplicated),
			},
		},
		Classes: map[string]int{"any": 0, "bounded": 1, "session": 2, "once": 3, "keyed": 4},
	}
	d, err := dispatch.New(config, 1, manual, nil, nil)
	require.NoError(t, err)
	d.UpdateEndpoints(true, []dispatch.Endpoint{{Host: "p", Group: 1, Primary: true}, {Host: "a", Group: 1}})
	parsed, err := sqlcomment.Parse(statement)
	require.NoError(t, err)
	b = &misbehavingBackend{fakeBackend: &fakeBackend{clock: manual}, outcomes: []dispatch.Outcome{{Code: dispatch.OK, Role: dispatch.Primary}}}
	return New(d, manual, b), b, &parsed, manual
}

func violations(t *testing.T, e *Edge) map[string]int {
	figures, err := e.Metrics().Snapshot()
	require.NoError(t, err)
	return metrics.Violations(figures)
}

const anyRead = "/* id=1,c=any,d=900,cluster=1 */ SELECT 1"

// A backend that does not misbehave breaks no rule.
func TestNoViolationInNormalOperation(t *testing.T) {
	e, _, s, _ := newCheckedEdge(t, anyRead)
	require.Equal(t, Served, e.Do(context.Background(), s, e.Now()).Verdict)
	require.Empty(t, violations(t, e))
}

// Each case breaks one rule once: the counter of that rule must be 1, and no other rule may be counted.
func TestRuleViolationsAreCounted(t *testing.T) {
	type setup struct {
		e      *Edge
		b      *misbehavingBackend
		clock  *clock.Manual
		cancel context.CancelCauseFunc
	}
	for _, test := range []struct {
		rule      lifecycle.Rule
		statement string
		prepare   func(s *setup)
	}{
		{lifecycle.AttemptAfterDisconnect, anyRead, func(s *setup) {
			s.b.beforeWrite = func() {
				s.cancel(&DisconnectedError{AtMillis: s.clock.Now()})
				s.clock.Advance(lifecycle.DisconnectGraceMillis + 1)
			}
		}},
		{lifecycle.AttemptAfterTermination, anyRead, func(s *setup) {
			s.e.Advance(lifecycle.TerminationStarted)
			s.clock.Advance(lifecycle.StallGraceMillis + 1)
			s.b.ignoreGate = true
		}},
		{lifecycle.AttemptToDraining, anyRead, func(s *setup) {
			s.b.beforeWrite = func() {
				s.e.dispatcher.UpdateEndpoints(false, []dispatch.Endpoint{{Host: "a", Group: 1, Draining: true}, {Host: "p", Group: 1, Draining: true}})
				s.clock.Advance(lifecycle.StallGraceMillis + 1)
			}
		}},
		{lifecycle.DeadlineExceeded, anyRead, func(s *setup) {
			s.b.beforeWrite = func() { s.clock.Advance(lifecycle.StallGraceMillis + 10) }
		}},
		{lifecycle.StaleRead, "/* id=1,c=session,d=900,cluster=1,after=1000000000000 */ SELECT 1", func(s *setup) {
			s.b.outcomes = []dispatch.Outcome{{Code: dispatch.OK, Role: dispatch.Replica}} // the outcome has no position
			s.b.position = 1e12 - 3
		}},
	} {
		t.Run(test.rule.String(), func(t *testing.T) {
			e, b, s, manual := newCheckedEdge(t, test.statement)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			test.prepare(&setup{e, b, manual, cancel})
			e.Do(ctx, s, e.Now())
			require.Equal(t, map[string]int{test.rule.String(): 1}, violations(t, e))
		})
	}
}

// Routing never decides these repeats, so the test passes them to the history directly.
func TestForbiddenRepeatsAreCounted(t *testing.T) {
	for _, test := range []struct {
		rule      lifecycle.Rule
		statement string
		pause     float64
	}{
		{lifecycle.RetryNotIdempotent, "/* id=1,c=once,d=900,cluster=1 */ INSERT", 0},
		{lifecycle.RetryOutsideWindow, "/* id=1,c=keyed,d=900,cluster=1,k=5 */ INSERT", 300 + lifecycle.StallGraceMillis + 1},
	} {
		e, _, s, manual := newCheckedEdge(t, test.statement)
		h := attemptHistory{edge: e, statement: s}
		a := &attempt{edge: e, statement: s, client: context.Background()}
		h.add(a, &Reply{Outcome: dispatch.Outcome{Code: dispatch.Misdirected, Execution: dispatch.RejectedUnexecuted}, WrittenAt: manual.Now()})
		h.add(a, &Reply{Outcome: dispatch.Outcome{Code: dispatch.ConnectionLost}, WrittenAt: manual.Now()})
		require.Empty(t, violations(t, e), "nothing ran before this attempt")
		notSent := NotSentReply()
		h.add(a, &notSent)
		require.Empty(t, violations(t, e), "the attempt was not written")
		manual.Advance(test.pause)
		h.add(a, &Reply{Outcome: dispatch.Outcome{Code: dispatch.OK}, WrittenAt: manual.Now()})
		require.Equal(t, map[string]int{test.rule.String(): 1}, violations(t, e))
	}
}

// A request that begins before an endpoint list was received breaks a rule.
func TestStartedUnreadyIsCounted(t *testing.T) {
	d, err := dispatch.New(&settings.Parsed{Settings: routing.Settings{RouterCount: 1, MaxAttempts: 1, Classes: []routing.Class{{Name: "any", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1}}}, Classes: map[string]int{"any": 0}}, 1, clock.NewManual(1e12), nil, nil)
	require.NoError(t, err)
	e := New(d, clock.NewManual(1e12), nil)
	s, err := sqlcomment.Parse(anyRead)
	require.NoError(t, err)
	require.Equal(t, lifecycle.Starting, e.Phase())
	require.Nil(t, e.Begin(&s))
	require.Equal(t, map[string]int{"started_unready": 1}, violations(t, e))
	d.UpdateEndpoints(true, []dispatch.Endpoint{{Host: "p", Group: 1}})
	require.Equal(t, lifecycle.Ready, e.Phase())
}

// After the phase Terminating has begun, a request whose attempt fails is rejected if it did not run and
// otherwise fails. No further attempt is made.
func TestNoAttemptAfterCut(t *testing.T) {
	for outcome, want := range map[dispatch.Outcome]Verdict{
		dispatch.NotBegunOutcome(dispatch.NoConnection): Rejected, {Code: dispatch.ConnectionLost}: Failed, {Code: dispatch.ServerError}: Failed,
		{Code: dispatch.NoConnection}: Failed, {Code: dispatch.Rejected, Execution: dispatch.Ran}: Failed,
	} {
		e, b, s, _ := newCheckedEdge(t, "/* id=1,c=once,d=900,cluster=1 */ INSERT")
		b.outcomes = []dispatch.Outcome{outcome}
		written := 0
		b.beforeWrite = func() {
			written++
			e.Advance(lifecycle.TerminationStarted)
		}
		require.Equal(t, want, e.Do(context.Background(), s, e.Now()).Verdict, "%+v", outcome)
		require.Equal(t, 1, written)
		require.Empty(t, violations(t, e))
	}
}

// Guards against a rejection or a repeat of a request that may have run: it must not be carried out and must
// be counted as a rule violation. Routing never makes such decisions, so the test passes them to the history
// directly.
func TestInvalidDecisionsAreNotCarriedOut(t *testing.T) {
	const once, keyed = "/* id=1,c=once,d=900,cluster=1 */ INSERT", "/* id=1,c=keyed,d=900,cluster=1,k=5 */ INSERT"
	for _, test := range []struct {
		name      string
		statement string
		outcome   dispatch.Outcome
		permitted bool // the request may be rejected
		repeated  bool // the request may be repeated
		broken    map[string]int
	}{
		{"it never ran", once, dispatch.Outcome{Code: dispatch.Rejected, Execution: dispatch.RejectedUnexecuted}, true, true, map[string]int{}},
		{"its code alone says so", once, dispatch.Outcome{Code: dispatch.Rejected}, false, false, map[string]int{"rejected_after_run": 1, "repeat_after_run": 1}},
		{"its answer was too old", once, dispatch.Outcome{Code: dispatch.OK, Execution: dispatch.Ran}, false, false, map[string]int{"rejected_after_run": 1, "repeat_after_run": 1}},
		{"idempotent", anyRead, dispatch.Outcome{Code: dispatch.ConnectionLost}, true, true, map[string]int{}},
		{"deduplicated by all", keyed, dispatch.Outcome{Code: dispatch.ConnectionLost}, true, true, map[string]int{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			e, _, s, _ := newCheckedEdge(t, test.statement)
			call, err := e.dispatcher.Begin(dispatch.Request{Class: s.Class, Group: 1, Arrived: e.Now(), TimeRemaining: 900})
			require.NoError(t, err)
			h := newHistory(e, s, e.Now()+900)
			a := &attempt{edge: e, call: call, statement: s, client: context.Background()}
			reply := &Reply{Outcome: test.outcome, WrittenAt: e.Now()}
			h.add(a, reply)
			h.addUnserved(a, reply, test.outcome.Code)
			result := h.reject(metrics.RejectNoHost, 10, "no host can serve this now", routing.EndTooLate)
			require.Equal(t, test.permitted, result.IsRejection())
			require.Equal(t, test.permitted, result.Verdict == Rejected)
			require.Equal(t, test.repeated, h.mayRepeat("a"))
			require.Equal(t, test.broken, violations(t, e))
		})
	}
}
