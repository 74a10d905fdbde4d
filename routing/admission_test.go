package routing

import (
	"testing"
	"time"
)

// A cold member gets far less than a warm one, however many requests come.
func TestSlowStart(t *testing.T) {
	hosts := shard()
	hosts[1].StartedAt = startTime - 100*ms
	g := startHarness(t, settings(), hosts...)
	count := map[string]int{}
	for range 300 {
		g.now += 10 * ms
		id, as := g.request(eventualRead, RequestArrived{})
		_, host := actionsOf(ActSend, as)
		count[host]++
		g.outcome(id, 0, OK, Replica)
	}
	if count["a"] == 0 || count["a"] > count["b"]/2 {
		t.Errorf("three seconds from its start the cold member a got %v", count)
	}
}

// Slow answers lower a member's in-flight limit, so that queues stay with the router.
func TestLimitFallsWithSlowAnswers(t *testing.T) {
	g := startHarness(t, settings(), shard()...)
	m := g.c.members["p"]
	for range 20 {
		g.now += 500 * ms
		id, _ := g.request(strongRead, RequestArrived{})
		g.step(AttemptEnded{ID: id, Code: OK, Role: Primary, Final: true, Elapsed: 450 * ms})
	}
	if m.limit > initialLimit/2 {
		t.Errorf("after 20 slow answers the limit is %.1f", m.limit)
	}
}

// Clients that leave early find the queues too long: what they leave behind closes the member's limit.
func TestClientsThatDisconnectCloseTheLimit(t *testing.T) {
	g := startHarness(t, settings(), shard()[:1]...)
	m := g.c.members["p"]
	for range 20 {
		id, _ := g.request(boundedRead, RequestArrived{})
		g.now += 200 * ms
		g.step(ClientGone{ID: id})
		g.step(AttemptEnded{ID: id, Code: Cancelled, Final: true})
	}
	if m.limit > 1 || m.inFlight != 0 {
		t.Errorf("limit %.1f, %d in flight", m.limit, m.inFlight)
	}
	many := settings()
	many.RouterCount = 300
	g = startHarness(t, many, shard()...)
	for range 20 { // before many routers the group is shed as well
		id, _ := g.request(atMostOnceWrite, RequestArrived{})
		g.now += 200 * ms
		g.step(ClientGone{ID: id})
		g.step(AttemptEnded{ID: id, Code: Cancelled, Final: true})
		g.now += time.Second
	}
	if shed := g.c.groups[1].admissions[1].shedFraction; shed < 0.5 {
		t.Errorf("after 20 clients left, %.2f of the writes are shed", shed)
	}
}

// A group whose answers come late is shed, the cheap classes more than the dear, and only where many routers share
// it; lost attempts beside quick answers (a host that hangs) are no reason.
func TestShedding(t *testing.T) {
	for _, k := range []struct {
		name        string
		routers     int
		code        Code
		elapsed     time.Duration
		least, most float64
	}{
		{"late answers", 400, OK, 550 * ms, 0.5, maxShedFraction},
		{"late answers, few routers", 4, OK, 550 * ms, 0, 0},
		{"answers in time", 400, OK, 200 * ms, 0, 0},
		{"no answers", 400, NoAnswer, 600 * ms, 0.5, maxShedFraction},
	} {
		s := settings()
		s.RouterCount = k.routers
		g := startHarness(t, s, shard()[:1]...)
		for range 20 {
			id, _ := g.request(atMostOnceWrite, RequestArrived{})
			g.now += k.elapsed
			g.step(AttemptEnded{ID: id, Code: k.code, Role: Primary, Final: k.code == OK, Elapsed: k.elapsed})
			g.step(ClientGone{ID: id})
			g.now += time.Second
		}
		if shed := g.c.groups[1].admissions[1].shedFraction; shed < k.least || shed > k.most {
			t.Errorf("%s: %.2f of the requests are shed, want %.2f to %.2f", k.name, shed, k.least, k.most)
		}
	}
	s := settings()
	s.RouterCount = 400
	g := startHarness(t, s, shard()...)
	for i := range 60 { // one host in six hangs
		id, _ := g.request(atMostOnceWrite, RequestArrived{})
		code, elapsed := OK, 50*ms
		if i%6 == 5 {
			code, elapsed = NoAnswer, 500*ms
		}
		g.now += elapsed
		g.step(AttemptEnded{ID: id, Code: code, Role: Primary, Final: code == OK, Elapsed: elapsed})
		g.now += time.Second
	}
	if shed := g.c.groups[1].admissions[1].shedFraction; shed > 0.1 {
		t.Errorf("one lost attempt in six sheds %.2f", shed)
	}
}

// Repeats that clients mark go first when anything is shed.
func TestRetriesAreShedFirst(t *testing.T) {
	s := settings()
	s.RouterCount = 400
	g := startHarness(t, s, shard()...)
	g.reportPositions(Replica, 0, "a", "b", "c")
	refused := func(again bool) bool {
		id, as := g.request(eventualRead, RequestArrived{TimeRemaining: 1300 * ms, IsRetry: again})
		if r := g.c.requests[id]; r != nil && r.inFlight > 0 {
			g.step(AttemptEnded{ID: id, Code: OK, Role: Replica, Final: true, Elapsed: 50 * ms})
		}
		found, _ := actionsOf(ActReject, as)
		return len(found) > 0
	}
	for range 20 {
		if refused(false) {
			t.Fatal("a first try was refused")
		}
	}
	if refused(true) {
		t.Error("a repeat was refused though nothing is shed")
	}
	s.Classes[eventualRead].LateFraction = 0 // the rig shares the classes' settings, not their values: take a new one
	g = startHarness(t, s, shard()...)
	for range 20 {
		refused(false)
	}
	g.c.groups[1].admissions[0].shedFraction = 0.1
	repeats, firsts := 0, 0
	for range 30 {
		g.c.groups[1].admissions[0].shedFraction = 0.1
		if refused(true) {
			repeats++
		}
		for range 3 {
			if refused(false) {
				firsts++
			}
		}
	}
	if repeats < 28 || firsts > 25 {
		t.Errorf("of 30 repeats %d were refused, of 90 first tries %d", repeats, firsts)
	}
}

// Requests beyond their tenant's share are shed before those inside.
func TestTenantQuotas(t *testing.T) {
	s := settings()
	s.RouterCount, s.OverQuotaFraction = 100, 0.1
	s.Tenants = []Tenant{{Name: "small", Quota: 50}, {Name: "large", Quota: 1000}}
	g := startHarness(t, s, shard()...)
	refused := [3]int{}
	for range 400 {
		for tenant := 1; tenant <= 2; tenant++ { // 200 a second each, if all routers see as much
			g.now += 250 * ms
			g.c.groups[1].admissions[0].shedFraction, g.c.groups[1].admissions[0].inTimeFraction = 0.3, 1
			id, as := g.request(eventualRead, RequestArrived{Tenant: tenant})
			if found, _ := actionsOf(ActReject, as); len(found) > 0 {
				refused[tenant]++
			} else {
				g.outcome(id, 0, OK, Replica)
			}
		}
	}
	if refused[1] < 2*refused[2] || refused[2] == 0 {
		t.Errorf("refused: %d of the tenant over its share, %d of the one inside", refused[1], refused[2])
	}
}
