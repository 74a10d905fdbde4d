package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Evidence from hosts and endpoint lists arrives in no particular order: connections are independent, so are
// the goroutines that report, and a connection that was silent may deliver old answers. A role is therefore
// dated with care: the role of replica counts from now on, the role of primary only as of the position in the
// host's answer.

func TestAnswerFromBeforeAFailoverMakesNoPrimary(t *testing.T) {
	for _, order := range []string{"as they were written", "the other way round"} {
		t.Run(order, func(t *testing.T) {
			g := startHarness(t, settings(), testGroup()...)
			ids := g.sentToPrimary(2)
			g.now += 100 * ms
			written := g.now
			g.now += 3 * time.Second // in this time p hung, lost its role and came back as a replica
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
			require.Nil(t, g.router.groups[1].primary(), "p said that it is a replica")
			_, actions := g.request(strongRead, RequestArrived{})
			sends, _ := actionsOf(ActSend, actions)
			require.Empty(t, sends)
		})
	}
}

func TestPrimaryWithoutPositionIsDatedByTheSendOfItsAttempt(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	ids := g.sentToPrimary(2)
	g.now += 100 * ms
	g.answer(ids[1], OK, Replica, 0)
	g.now += 10 * ms
	g.answer(ids[0], OK, Primary, 0)
	require.Nil(t, g.router.groups[1].primary())
	g.now += 10 * ms
	id, actions := g.request(atMostOnceWrite, RequestArrived{}) // it searches for the primary and finds p again
	for {
		sends, host := actionsOf(ActSend, actions)
		if len(sends) == 0 {
			actions = g.advance(searchBackoff)
			continue
		}
		if host == "p" {
			break
		}
		n := g.router.requests[id].attempts
		actions = g.step(AttemptEnded{ID: id, Attempt: len(n) - 1, Code: Misdirected, Role: Replica, Elapsed: ms})
	}
	g.step(AttemptEnded{ID: id, Attempt: len(g.router.requests[id].attempts) - 1, Code: OK, Role: Primary, Final: true, Elapsed: ms})
	require.Equal(t, "p", g.router.groups[1].primary().host)
}

// A replica's position may be much older than its report, so its role counts from when the report arrives.
func TestReplicaReportCountsFromNow(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	g.reportPositions(Primary, 0, "p")
	g.now += 3 * time.Second
	g.reportPositions(Replica, 3100*ms, "p") // its position is still that of when it lost its role
	require.Nil(t, g.router.groups[1].primary())
	g.now += 50 * ms
	g.reportPositions(Primary, 10*ms, "p")
	require.Equal(t, "p", g.router.groups[1].primary().host)
}

// A position ahead of the clock is garbled and proves nothing. The role that comes with it counts only if it
// is that of a replica, which makes the router more careful.
func TestGarbledPositionStillReportsAReplica(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	ids := g.sentToPrimary(1)
	g.answer(ids[0], OK, Replica, g.now+time.Hour)
	require.Nil(t, g.router.groups[1].primary())
	require.Zero(t, g.router.members["p"].position)
	g.reportPositions(Primary, -time.Hour, "a")
	require.Nil(t, g.router.groups[1].primary(), "nor does it make a primary")
}

// The load report that comes with an answer may be older than the answer, as its position shows; then the
// answer's role counts.
func TestRoleOfAnAnswerOverridesItsReport(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	ids := g.sentToPrimary(1)
	g.now += 50 * ms
	g.step(AttemptEnded{
		ID: ids[0], Code: OK, Role: Primary, Position: g.now, Final: true,
		Report: Report{Role: Replica, Position: g.now - 200*ms}, Elapsed: 50 * ms,
	})
	require.Equal(t, "p", g.router.groups[1].primary().host)
}

// An attempt that was given up may still be answered. The answer is of no use to the client, but its role and
// position count as evidence.
func TestLateAnswerIsEvidence(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	g.reportPositions(Primary, 0, "p")
	ids := g.sentToPrimary(1)
	g.now += 600 * ms
	g.answer(ids[0], NoAnswer, Unknown, 0)
	require.Equal(t, "p", g.router.groups[1].primary().host)
	g.step(LateAnswer{Host: "p", Role: Replica, Position: g.now - 500*ms})
	require.Nil(t, g.router.groups[1].primary())
	g.step(LateAnswer{Host: "a", Role: Replica, Position: g.now - 5*ms})
	id, actions := g.request(boundedRead, RequestArrived{})
	_, host := actionsOf(ActSend, actions)
	require.Equal(t, "a", host, "its position is known now")
	require.NotNil(t, g.router.requests[id])
	g.step(LateAnswer{Host: "nobody", Role: Replica}) // a host that is no longer known
}
