package routing

import (
	"testing"
	"time"
)

// A remembered commit is the minimum position of the session's later reads. When it is forgotten, it becomes part of a
// floor that holds for all sessions.
func TestSessionsReadTheirWrites(t *testing.T) {
	s := settings()
	s.TracksCommits = true
	g := startHarness(t, s, testGroup()...)
	g.now += time.Second
	id, _ := g.request(atMostOnceWrite, RequestArrived{SessionKey: 7, HasSessionKey: true})
	g.step(AttemptEnded{ID: id, Code: OK, Role: Primary, Final: true, Position: g.now, Elapsed: 50 * ms})
	g.reportPositions(Replica, ms, "a", "b", "c")
	_, actions := g.request(sessionRead, RequestArrived{SessionKey: 7, HasSessionKey: true})
	if _, host := actionsOf(ActSend, append(actions, g.reportPositions(Replica, ms, "a", "b", "c")...)); host == "a" || host == "b" || host == "c" {
		t.Errorf("a replica behind the session's commit got its read: %v", actions)
	}
	if _, actions := g.request(sessionRead, RequestArrived{SessionKey: 8, HasSessionKey: true}); actions[0].Host == "p" {
		t.Errorf("a session without writes was sent to the primary: %v", actions)
	}
	g = startHarness(t, s, testGroup()...)
	commit := func(key uint64) {
		id, _ := g.request(atMostOnceWrite, RequestArrived{SessionKey: key, HasSessionKey: true})
		g.step(AttemptEnded{ID: id, Code: OK, Role: Primary, Final: true, Position: g.now, Elapsed: 50 * ms})
	}
	commit(7)
	g.advance(commitRetention / 2)
	commit(9)
	g.advance(commitRetention/2 + time.Second)
	commit(9) // a session that goes on writing does not keep the others in memory
	if gr := g.router.groups[1]; len(gr.commits) != 1 || len(gr.commitOrder) != 2 || gr.commitFloor == 0 || gr.commitFloor > gr.commits[9] {
		t.Errorf("after %v: %d commits, %d kept, floor %v", commitRetention, len(gr.commits), len(gr.commitOrder), gr.commitFloor)
	}
}
