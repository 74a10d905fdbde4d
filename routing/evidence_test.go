package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is read from hosts and lists arrives in no particular order: each connection has its own, the goroutines that
// report are not ordered, and a connection that was silent brings old news. So a role is dated by when the host can have
// said it at the latest: a replica is one as of now, a primary was one as of its own stamp.

func TestAnAnswerFromBeforeAHandOverMakesNoPrimary(t *testing.T) {
	for _, order := range []string{"as they were written", "the other way round"} {
		t.Run(order, func(t *testing.T) {
			g := startHarness(t, settings(), shard()...)
			ids := g.sentToPrimary(2)
			g.now += 100 * ms
			written := g.now
			g.now += 3 * time.Second // in which p hung, was given up, and came back as a replica
			old := func() { g.answer(ids[0], OK, Primary, written) }
			now := func() { g.answer(ids[1], OK, Replica, written+ms) }
			if order == "as they were written" {
				old()
				g.now += ms
				now()
			} else {
				now()
				g.now += ms
				old()
			}
			require.Nil(t, g.c.groups[1].primary(), "p said that it is a replica")
			_, as := g.request(strongRead, RequestArrived{})
			sends, _ := actionsOf(ActSend, as)
			require.Empty(t, sends)
		})
	}
}

func TestAPrimaryWithoutAStampIsDatedByTheSendOfItsAttempt(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	ids := g.sentToPrimary(2)
	g.now += 100 * ms
	g.answer(ids[1], OK, Replica, 0)
	g.now += 10 * ms
	g.answer(ids[0], OK, Primary, 0)
	require.Nil(t, g.c.groups[1].primary())
	g.now += 10 * ms
	id, as := g.request(atMostOnceWrite, RequestArrived{}) // it searches, and finds p to be the primary again
	for {
		sends, host := actionsOf(ActSend, as)
		if len(sends) == 0 {
			as = g.advance(searchBackoff)
			continue
		}
		if host == "p" {
			break
		}
		n := g.c.requests[id].attempts
		as = g.step(AttemptEnded{ID: id, Attempt: len(n) - 1, Code: Misdirected, Role: Replica, Elapsed: ms})
	}
	g.step(AttemptEnded{ID: id, Attempt: len(g.c.requests[id].attempts) - 1, Code: OK, Role: Primary, Final: true, Elapsed: ms})
	require.Equal(t, "p", g.c.groups[1].primary().host)
}

// A replica's report stands at its position, which may be from long before it said so.
func TestAReplicasReportCountsFromNow(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	g.reportPositions(Primary, 0, "p")
	g.now += 3 * time.Second
	g.reportPositions(Replica, 3100*ms, "p") // it stands where it stood when it lost its role
	require.Nil(t, g.c.groups[1].primary())
	g.now += 50 * ms
	g.reportPositions(Primary, 10*ms, "p")
	require.Equal(t, "p", g.c.groups[1].primary().host)
}

// A position ahead of the clock is garbled and proves nothing; the word beside it may still only make more careful.
func TestAGarbledPositionHidesNoReplica(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	ids := g.sentToPrimary(1)
	g.answer(ids[0], OK, Replica, g.now+time.Hour)
	require.Nil(t, g.c.groups[1].primary())
	require.Zero(t, g.c.members["p"].position)
	g.reportPositions(Primary, -time.Hour, "a")
	require.Nil(t, g.c.groups[1].primary(), "nor does it make a primary")
}

// The report beside an answer is older than the answer: its date says so.
func TestAnAnswersRoleGoesBeforeTheReportBesideIt(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	ids := g.sentToPrimary(1)
	g.now += 50 * ms
	g.step(AttemptEnded{
		ID: ids[0], Code: OK, Role: Primary, Position: g.now, Final: true,
		Report: Report{Role: Replica, Position: g.now - 200*ms}, Elapsed: 50 * ms,
	})
	require.Equal(t, "p", g.c.groups[1].primary().host)
}

// An attempt that was given up may still be answered in the same moment: that answer serves nobody, but it teaches.
func TestALateAnswerIsEvidence(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	g.reportPositions(Primary, 0, "p")
	ids := g.sentToPrimary(1)
	g.now += 600 * ms
	g.answer(ids[0], NoAnswer, Unknown, 0)
	require.Equal(t, "p", g.c.groups[1].primary().host)
	g.step(LateAnswer{Host: "p", Role: Replica, Position: g.now - 500*ms})
	require.Nil(t, g.c.groups[1].primary())
	g.step(LateAnswer{Host: "a", Role: Replica, Position: g.now - 5*ms})
	id, as := g.request(boundedRead, RequestArrived{})
	_, host := actionsOf(ActSend, as)
	require.Equal(t, "a", host, "its position is known now")
	require.NotNil(t, g.c.requests[id])
	g.step(LateAnswer{Host: "nobody", Role: Replica}) // a host that is forgotten
}
