package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Many routers, each with few requests: what one learns alone must not keep it from the only member that can serve.

// One lost request leads each router of a large fleet to a suspicion that its few requests take long to clear. Reads
// that no replica can serve still go to the primary, unless it is silent, as writes do.
func TestReadsGoToAnOutlierPrimaryWhereNobodyElseCanServe(t *testing.T) {
	s := settings()
	s.RouterCount, s.Probing.Allowed = 80, false
	g := startHarness(t, s, shard()...)
	id, _ := g.request(atMostOnceWrite, Event{})
	g.outcome(id, 0, OK, Primary)
	for range 4 {
		g.now += second
		id, _ = g.request(atMostOnceWrite, Event{})
		g.outcome(id, 0, ServerError, Primary)
	}
	p := g.c.members["p"]
	require.False(t, g.c.isHealthy(p))
	id, as := g.request(boundedRead, Event{})
	require.Equal(t, ActSend, as[0].Kind)
	require.Equal(t, "p", as[0].Host)
	g.now += 10 * second
	_, as = g.request(boundedRead, Event{})
	require.True(t, g.c.isSilent(p))
	for _, a := range as {
		require.NotEqual(t, ActSend, a.Kind, "a silent primary")
	}
	g.outcome(id, 0, OK, Primary)

	g.reportPositions(Replica, 0, "a") // a replica that qualifies is not passed over
	id, as = g.request(boundedRead, Event{})
	require.Equal(t, "a", as[0].Host, id)
}

// A router that sees a write of a group every few seconds would search for its new primary for as long. The list's
// word is older than it comes: it goes before nothing that was seen in the meantime.
func TestTheListNamesANewPrimary(t *testing.T) {
	named := []Target{{Host: "a", Group: 1, Primary: true}}
	g := startHarness(t, settings(), shard()...)
	id, _ := g.request(atMostOnceWrite, Event{})
	g.outcome(id, 0, OK, Primary)
	g.now += 20 * second
	g.step(Event{Kind: EventTargets, Targets: []Target{{Host: "p", Group: 1, Primary: true, Draining: true}}})
	require.Nil(t, g.c.groups[1].primary())
	g.step(Event{Kind: EventTargets, Targets: named})
	_, as := g.request(atMostOnceWrite, Event{})
	require.Equal(t, "a", as[0].Host)

	g = startHarness(t, settings(), shard()...)
	g.now += 20 * second
	g.reportPositions(Replica, 0, "a")
	g.now += maxListDelay - second
	g.step(Event{Kind: EventTargets, Targets: named})
	require.Equal(t, "p", g.c.groups[1].primary().host, "a was seen as a replica since")
	g.now += 20 * second // nor does the same word count as new when the entry changes for another reason
	g.reportPositions(Replica, 0, "a")
	g.now += 20 * second
	g.step(Event{Kind: EventTargets, Targets: named})
	require.Equal(t, "p", g.c.groups[1].primary().host)
}

// Probes are rationed by what they cost where the primary can step in. Where it is unknown or suspect a read that
// waits in vain costs more, and the answers find the new primary.
func TestReadsProbePastTheBudgetWithoutAPrimary(t *testing.T) {
	s := settings()
	s.RouterCount, s.Probing.Cost = 80, 0.04
	g := startHarness(t, s, shard()...)
	g.c.probeBudget = 0
	_, as := g.request(boundedRead, Event{})
	require.Equal(t, ActSend, as[0].Kind, "the primary steps in")
	g.step(Event{Kind: EventTargets, Targets: []Target{{Host: "p", Group: 1, Draining: true}}})
	g.c.probeBudget = 0
	id, as := g.request(boundedRead, Event{})
	require.Equal(t, ActProbe, as[0].Kind)
	as = g.reportPositions(Primary, 0, as[0].Host)
	sends, host := actionsOf(ActSend, as)
	require.Len(t, sends, 1)
	require.Equal(t, id, sends[0].ID)
	require.Equal(t, g.c.groups[1].primary().host, host)
}

// A probe of a replica that was seconds behind a moment ago buys nothing: it goes to one that kept pace, or the primary
// serves at once. One that may have caught up is asked again, and so are all where there is no primary to fall back on.
func TestReplicasThatCannotHaveCaughtUpAreNotProbed(t *testing.T) {
	s := settings()
	s.RouterCount = 80
	probed := func(g *harness) (hosts []string) {
		g.c.probeBudget = 10
		_, as := g.request(boundedRead, Event{})
		for _, a := range as {
			if a.Kind == ActProbe {
				hosts = append(hosts, a.Host)
			}
		}
		return hosts
	}
	g := startHarness(t, s, shard()...)
	g.reportPositions(Replica, 5*second, "a", "b", "c")
	g.now += second
	require.Empty(t, probed(g), "all were 5 s behind a second ago")
	g.now += 5 * second
	require.Len(t, probed(g), 1, "at twice the pace they may have caught up")

	g = startHarness(t, s, shard()...)
	asked := map[string]int{}
	for range 200 {
		g.now += 10 * second
		g.reportPositions(Replica, 5*second, "a")
		g.reportPositions(Replica, 0, "b")
		g.c.members["c"].position = 0
		g.now += second
		for _, h := range probed(g) {
			asked[h]++
		}
	}
	require.Zero(t, asked["a"], "it was 5 s behind")
	require.Greater(t, asked["b"], 160, "it kept pace")
	require.Greater(t, asked["c"], 5, "nothing is known of it; asked now and then, or it would stay so")
	g = startHarness(t, s, shard()...)
	g.reportPositions(Replica, 5*second, "a", "b", "c")
	g.step(Event{Kind: EventTargets, Targets: []Target{{Host: "p", Group: 1, Draining: true}}})
	g.now += second
	require.Len(t, probed(g), 1, "no primary: whoever answers may name it")
}

// A client that leaves less than twice the aim is told at half of its time too: what is held beyond that without one
// attempt costs a part of its worth, and few are served yet.
func TestShortReadsAreRejectedAtHalfTimeBeforeTheirObjective(t *testing.T) {
	s := settings()
	s.Probing.Allowed = false
	g := startHarness(t, s, Target{Host: "p", Group: 1, Primary: true, Draining: true}, Target{Host: "a", Group: 1})
	for _, class := range []int{boundedRead, sessionRead} {
		from := g.now
		id, as := g.request(class, Event{TimeRemaining: 400 * ms, CommitAge: ms})
		as, _ = actionsOf(ActReject, as)
		for len(as) == 0 && g.now < from+400*ms {
			as, _ = actionsOf(ActReject, g.advance(5*ms))
		}
		require.Len(t, as, 1)
		require.Equal(t, id, as[0].ID)
		require.LessOrEqual(t, g.now-from, 200*ms)
	}
}

// largeHarness is a router that knows so many hosts, in groups of four, with all positions known.
func largeHarness(b testing.TB, hosts int) (*harness, []Target) {
	s := settings()
	s.RouterCount = 80
	var list []Target
	for i := range hosts {
		list = append(list, Target{Host: fmt.Sprint("h", i), Group: uint64(i / 4), Primary: i%4 == 0})
	}
	return startHarness(b, s, list...), list
}

// One read from its arrival to its answer costs the same however many hosts there are beside its group.
func BenchmarkDecision(b *testing.B) {
	for _, hosts := range []int{12, 120, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g, _ := largeHarness(b, hosts)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				g.now += 400 * ms
				id := fmt.Sprint(i)
				g.step(Event{Kind: EventRequest, ID: id, Class: eventualRead, Group: uint64(i % (hosts / 4)), TimeRemaining: second})
				g.step(Event{Kind: EventOutcome, ID: id, Code: OK, Role: Replica, Final: true, Elapsed: 50 * ms})
			}
		})
	}
}

// One round of upkeep with ten requests held, for want of anybody to serve them.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{12, 120, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g, list := largeHarness(b, hosts)
			for i := 4; i < 8; i++ { // group 1
				list[i].Draining = true
			}
			g.step(Event{Kind: EventTargets, Targets: list[4:8]})
			for range 10 {
				g.request(atMostOnceWrite, Event{TimeRemaining: 10000 * time.Hour})
			}
			for b.Loop() {
				g.advance(5 * ms)
			}
		})
	}
}

// One update of the list that changes one host.
func BenchmarkListUpdate(b *testing.B) {
	for _, hosts := range []int{12, 120, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g, list := largeHarness(b, hosts)
			for b.Loop() {
				g.now += ms
				list[1].Draining = !list[1].Draining
				g.step(Event{Kind: EventTargets, Targets: list[1:2]})
			}
		})
	}
}
