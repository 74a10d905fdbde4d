package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host whose data went back behind the position that it had reported answers a read with data that is too old. It gets
// no further read that needs a later position until it reports one: a read that must run only once would fail there
// each time.
func TestPositionThatWentBackIsNotTrusted(t *testing.T) {
	s := settings()
	s.Classes[sessionRead].Idempotency = AtMostOnce
	g := startHarness(t, s, testGroup()...)
	g.reportPositions(Primary, 0, "p")
	g.reportPositions(Replica, 10*ms, "a")
	g.reportPositions(Replica, time.Minute, "b", "c")
	read := func(code Code, role Role, position time.Duration) (to string) {
		id, actions := g.request(sessionRead, RequestArrived{CommitAge: 20 * ms})
		_, to = actionsOf(ActSend, actions)
		g.answer(id, code, role, position)
		return to
	}
	require.Equal(t, "a", read(StaleAnswer, Replica, g.now-5*second), "it alone has proven the commit")
	for range 20 {
		require.Equal(t, "p", read(OK, Primary, g.now), "the replica lacks the commit")
	}
	g.reportPositions(Replica, 0, "a")
	require.Equal(t, "a", read(OK, Replica, g.now))
}
