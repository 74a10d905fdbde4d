package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFinalAnswers(t *testing.T) {
	for _, k := range []struct {
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
		{"attempt never sent", eventualRead, NotSent, ActSend}, // too late after a dial: chosen for anew
	} {
		g := startHarness(t, settings(), shard()...)
		id, _ := g.request(k.class, RequestArrived{})
		as := append(g.outcome(id, 0, k.code, Unknown), g.advance(2*minLatency+tickInterval)...) // a full host rests
		if found, _ := actionsOf(k.want, as); len(found) != 1 {
			t.Errorf("%s: %v", k.name, as)
		}
	}
}

// Guards against a read that is held to the end of its time and refused then: by half of it, if it never went out
// and its aim is past, its client is told when to come back.
func TestUnsentReadsAreRejectedAtHalfTime(t *testing.T) {
	hosts := shard()
	hosts[0].Primary = false // nobody knows the primary, so fresh reads wait
	g := startHarness(t, settings(), hosts...)
	id, _ := g.request(strongRead, RequestArrived{})
	var refused []Action
	for waited := time.Duration(0); len(refused) == 0 && waited < 2*time.Second; waited += 10 * ms {
		refused, _ = actionsOf(ActReject, g.advance(10*ms))
	}
	if took := g.now - startTime; len(refused) != 1 || refused[0].ID != id || refused[0].RetryAfter == 0 || took < 950*ms || took > time.Second {
		t.Errorf("after %v: %v", took, refused)
	}
	id, _ = g.request(atMostOnceWrite, RequestArrived{}) // a write is held for as long as there is no primary
	for range 300 {
		if ends, _ := actionsOf(ActReject, g.advance(10*ms)); len(ends) > 0 {
			t.Fatalf("%s is refused at %v: %v", id, g.now-startTime, ends)
		}
		g.outcome(id, 0, Misdirected, Replica)
	}
}

// Where many attempts fail to connect at once, hosts are out of connections: most routers close theirs after use.
func TestIdleConnectionsCloseWhereHostsAreFull(t *testing.T) {
	for _, k := range []struct {
		routers, failing int // attempts of ten that fail to connect
		closes           bool
	}{{800, 5, true}, {800, 0, false}, {100, 5, false}} {
		s := settings()
		s.RouterCount, s.ConnIdleTimeout = k.routers, 30*time.Second
		g := startHarness(t, s, shard()...)
		closed := 0
		for i := range 200 {
			g.now += 500 * ms
			id, as := g.request(eventualRead, RequestArrived{})
			if sent, _ := actionsOf(ActSend, as); len(sent) == 0 {
				continue
			}
			e := AttemptEnded{ID: id, Code: OK, Role: Replica, Final: true, Elapsed: 50 * ms}
			if i%10 < k.failing {
				e = AttemptEnded{ID: id, Code: NoConnection, Elapsed: 2 * ms}
			}
			as = g.step(e)
			if again, _ := actionsOf(ActSend, as); len(again) > 0 {
				as = append(as, g.outcome(id, 1, OK, Replica)...)
			}
			found, _ := actionsOf(ActCloseIdle, as)
			closed += len(found)
			g.step(ClientGone{ID: id})
		}
		if (closed > 20) != k.closes {
			t.Errorf("%d routers, %d of 10 fail to connect: %d closes", k.routers, k.failing, closed)
		}
	}
}

// A client that leaves less than twice the aim is told at half of its time too: what is held beyond that without one
// attempt costs a part of its worth, and few are served yet.
func TestShortReadsAreRejectedAtHalfTimeBeforeTheirObjective(t *testing.T) {
	s := settings()
	s.Probing.Allowed = false
	g := startHarness(t, s, Target{Host: "p", Group: 1, Primary: true, Draining: true}, Target{Host: "a", Group: 1})
	for _, class := range []int{boundedRead, sessionRead} {
		from := g.now
		id, as := g.request(class, RequestArrived{TimeRemaining: 400 * ms, CommitAge: ms})
		as, _ = actionsOf(ActReject, as)
		for len(as) == 0 && g.now < from+400*ms {
			as, _ = actionsOf(ActReject, g.advance(5*ms))
		}
		require.Len(t, as, 1)
		require.Equal(t, id, as[0].ID)
		require.LessOrEqual(t, g.now-from, 200*ms)
	}
}

// What is chosen says how old the data of its answer may be: what was known of its host may have been overtaken.
func TestAnAttemptCarriesItsMinPosition(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	g.reportPositions(Replica, 5*ms, "a")
	need := func(class int, e RequestArrived) time.Duration {
		_, as := g.request(class, e)
		sends, _ := actionsOf(ActSend, as)
		require.Len(t, sends, 1)
		return sends[0].MinPosition
	}
	require.Equal(t, g.now-g.c.cfg.Classes[boundedRead].StalenessBound+positionMargin, need(boundedRead, RequestArrived{}))
	require.Equal(t, g.now-100*ms+positionMargin, need(sessionRead, RequestArrived{CommitAge: 100 * ms}))
	require.Zero(t, need(sessionRead, RequestArrived{}))
	require.Zero(t, need(eventualRead, RequestArrived{}))
	require.Equal(t, g.now, need(strongRead, RequestArrived{}))
	require.Zero(t, need(atMostOnceWrite, RequestArrived{}))
}
