package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFinalAnswers(t *testing.T) {
	for _, tc := range []struct {
		name  string
		class int
		code  Code
		want  ActionKind
	}{
		{"unsafe write that may have run", atMostOnceWrite, NoAnswer, ActFail},
		{"unsafe write with an error", atMostOnceWrite, ServerError, ActFail},
		{"unsafe write that lost its connection", atMostOnceWrite, ConnectionLost, ActFail},
		{"unsafe write turned away", atMostOnceWrite, Rejected, ActSend},
		{"keyed write inside its window", deduplicatedWrite, ServerError, ActSend},
		{"read with an error", eventualRead, ServerError, ActSend},
		{"attempt never sent", eventualRead, NotSent, ActSend}, // not written in time: another member is chosen
	} {
		g := startHarness(t, settings(), testGroup()...)
		id, _ := g.request(tc.class, RequestArrived{})
		actions := append(g.outcome(id, 0, tc.code, Unknown), g.advance(2*minLatency+tickInterval)...) // a host that rejected gets no attempt for a while
		if found, _ := actionsOf(tc.want, actions); len(found) != 1 {
			t.Errorf("%s: %v", tc.name, actions)
		}
	}
}

// Guards against a read that stays queued to the end of its time and is rejected only then. A read that was never
// sent is rejected by half of its time, with a Retry-After.
func TestUnsentReadsAreRejectedAtHalfTime(t *testing.T) {
	hosts := testGroup()
	hosts[0].Primary = false // no primary is known, so strong reads wait
	g := startHarness(t, settings(), hosts...)
	id, _ := g.request(strongRead, RequestArrived{})
	var refused []Action
	for waited := time.Duration(0); len(refused) == 0 && waited < 2*time.Second; waited += 10 * ms {
		refused, _ = actionsOf(ActReject, g.advance(10*ms))
	}
	if took := g.now - startTime; len(refused) != 1 || refused[0].ID != id || refused[0].RetryAfter == 0 || took < 950*ms || took > time.Second {
		t.Errorf("after %v: %v", took, refused)
	}
	id, _ = g.request(atMostOnceWrite, RequestArrived{}) // a write stays queued while there is no primary
	for range 300 {
		if ends, _ := actionsOf(ActReject, g.advance(10*ms)); len(ends) > 0 {
			t.Fatalf("%s is rejected at %v: %v", id, g.now-startTime, ends)
		}
		g.outcome(id, 0, Misdirected, Replica)
	}
}

// If many attempts fail to connect immediately, hosts are out of connections: most routers close their idle ones.
func TestIdleConnectionsCloseWhereHostsAreFull(t *testing.T) {
	for _, tc := range []struct {
		routers, failing int // attempts of ten that fail to connect
		closes           bool
	}{{800, 5, true}, {800, 0, false}, {100, 5, false}} {
		s := settings()
		s.RouterCount, s.ConnIdleTimeout = tc.routers, 30*time.Second
		g := startHarness(t, s, testGroup()...)
		closed := 0
		for i := range 200 {
			g.now += 500 * ms
			id, actions := g.request(eventualRead, RequestArrived{})
			if sent, _ := actionsOf(ActSend, actions); len(sent) == 0 {
				continue
			}
			e := AttemptEnded{ID: id, Code: OK, Role: Replica, Final: true, Elapsed: 50 * ms}
			if i%10 < tc.failing {
				e = AttemptEnded{ID: id, Code: NoConnection, Elapsed: 2 * ms}
			}
			actions = g.step(e)
			if again, _ := actionsOf(ActSend, actions); len(again) > 0 {
				actions = append(actions, g.outcome(id, 1, OK, Replica)...)
			}
			found, _ := actionsOf(ActCloseIdle, actions)
			closed += len(found)
			g.step(ClientGone{ID: id})
		}
		if (closed > 20) != tc.closes {
			t.Errorf("%d routers, %d of 10 fail to connect: %d closes", tc.routers, tc.failing, closed)
		}
	}
}

// A read whose client waits for less than twice the latency objective is rejected at half of its time too: holding it
// for longer without an attempt loses a part of its value, and few such reads are still served.
func TestShortReadsAreRejectedAtHalfTimeBeforeTheirObjective(t *testing.T) {
	s := settings()
	s.Probing.Allowed = false
	g := startHarness(t, s, Target{Host: "p", Group: 1, Primary: true, Draining: true}, Target{Host: "a", Group: 1})
	for _, class := range []int{boundedRead, sessionRead} {
		from := g.now
		id, actions := g.request(class, RequestArrived{TimeRemaining: 400 * ms, CommitAge: ms})
		actions, _ = actionsOf(ActReject, actions)
		for len(actions) == 0 && g.now < from+400*ms {
			actions, _ = actionsOf(ActReject, g.advance(5*ms))
		}
		require.Len(t, actions, 1)
		require.Equal(t, id, actions[0].ID)
		require.LessOrEqual(t, g.now-from, 200*ms)
	}
}

// An attempt carries the position that the data of its answer must have, since what the router knew about the host
// may no longer hold when the host answers.
func TestAnAttemptCarriesItsMinPosition(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	g.reportPositions(Replica, 5*ms, "a")
	need := func(class int, e RequestArrived) time.Duration {
		_, actions := g.request(class, e)
		sends, _ := actionsOf(ActSend, actions)
		require.Len(t, sends, 1)
		return sends[0].MinPosition
	}
	require.Equal(t, g.now-g.router.cfg.Classes[boundedRead].StalenessBound+positionMargin, need(boundedRead, RequestArrived{}))
	require.Equal(t, g.now-100*ms+positionMargin, need(sessionRead, RequestArrived{CommitAge: 100 * ms}))
	require.Zero(t, need(sessionRead, RequestArrived{}))
	require.Zero(t, need(eventualRead, RequestArrived{}))
	require.Equal(t, g.now, need(strongRead, RequestArrived{}))
	require.Zero(t, need(atMostOnceWrite, RequestArrived{}))
}
