package choice

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Many routers, each with few requests: what one learns alone must not keep it from the only member that can serve.

// One lost request leads each router of a large fleet to a suspicion that its few requests take long to clear. Reads
// that no replica can serve still go to the primary, unless it is silent, as writes do.
func TestReadsGoToASuspectPrimaryWhereNobodyElseCanServe(t *testing.T) {
	s := settings()
	s.Routers, s.Probes = 80, false
	g := start(t, s, shard()...)
	id, _ := g.request(unsafeWrite, Event{})
	g.outcome(id, 0, OK, Primary)
	for range 4 {
		g.now += second
		id, _ = g.request(unsafeWrite, Event{})
		g.outcome(id, 0, Error, Primary)
	}
	p := g.c.members["p"]
	require.False(t, g.c.sound(p))
	id, as := g.request(boundedRead, Event{})
	require.Equal(t, ActSend, as[0].Kind)
	require.Equal(t, "p", as[0].Host)
	g.now += 10 * second
	_, as = g.request(boundedRead, Event{})
	require.True(t, g.c.silent(p))
	for _, a := range as {
		require.NotEqual(t, ActSend, a.Kind, "a silent primary")
	}
	g.outcome(id, 0, OK, Primary)

	g.reports(Replica, 0, "a") // a replica that qualifies is not passed over
	id, as = g.request(boundedRead, Event{})
	require.Equal(t, "a", as[0].Host, id)
}
