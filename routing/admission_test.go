package routing

import (
	"testing"
	"time"
)

// A warming member gets far fewer requests than a warm one, however many arrive.
func TestSlowStart(t *testing.T) {
	hosts := testGroup()
	hosts[1].StartedAt = startTime - 100*ms
	g := startHarness(t, settings(), hosts...)
	count := map[string]int{}
	for range 300 {
		g.now += 10 * ms
		id, actions := g.request(eventualRead, RequestArrived{})
		_, host := actionsOf(ActSend, actions)
		count[host]++
		g.outcome(id, 0, OK, Replica)
	}
	if count["a"] == 0 || count["a"] > count["b"]/2 {
		t.Errorf("three seconds from its start the cold member a got %v", count)
	}
}

// Slow answers lower a member's in-flight limit, so that requests queue at the router.
func TestLimitFallsWithSlowAnswers(t *testing.T) {
	g := startHarness(t, settings(), testGroup()...)
	m := g.router.members["p"]
	for range 20 {
		g.now += 500 * ms
		id, _ := g.request(strongRead, RequestArrived{})
		g.step(AttemptEnded{ID: id, Code: OK, Role: Primary, Final: true, Elapsed: 450 * ms})
	}
	if m.limit > initialLimit/2 {
		t.Errorf("after 20 slow answers the limit is %.1f", m.limit)
	}
}

// A client that disconnects early has waited too long, so its pending attempt lowers the member's in-flight
// limit.
func TestDisconnectingClientsLowerTheLimit(t *testing.T) {
	g := startHarness(t, settings(), testGroup()[:1]...)
	m := g.router.members["p"]
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
	g = startHarness(t, many, testGroup()...)
	for range 20 { // with many routers the group is shed as well
		id, _ := g.request(atMostOnceWrite, RequestArrived{})
		g.now += 200 * ms
		g.step(ClientGone{ID: id})
		g.step(AttemptEnded{ID: id, Code: Cancelled, Final: true})
		g.now += time.Second
	}
	if shed := g.router.groups[1].admissions[1].shedFraction; shed < 0.5 {
		t.Errorf("after 20 clients left, %.2f of the writes are shed", shed)
	}
}

// A group whose answers are late is shed, but only if many routers share it. Lost attempts along with quick
// answers, as when one host hangs, don't cause shedding.
func TestShedding(t *testing.T) {
	for _, tc := range []struct {
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
		s.RouterCount = tc.routers
		g := startHarness(t, s, testGroup()[:1]...)
		for range 20 {
			id, _ := g.request(atMostOnceWrite, RequestArrived{})
			g.now += tc.elapsed
			g.step(AttemptEnded{ID: id, Code: tc.code, Role: Primary, Final: tc.code == OK, Elapsed: tc.elapsed})
			g.step(ClientGone{ID: id})
			g.now += time.Second
		}
		if shed := g.router.groups[1].admissions[1].shedFraction; shed < tc.least || shed > tc.most {
			t.Errorf("%s: %.2f of the requests are shed, want %.2f to %.2f", tc.name, shed, tc.least, tc.most)
		}
	}
	s := settings()
	s.RouterCount = 400
	g := startHarness(t, s, testGroup()...)
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
	if shed := g.router.groups[1].admissions[1].shedFraction; shed > 0.1 {
		t.Errorf("one lost attempt in six sheds %.2f", shed)
	}
}

// Retries that are marked by clients are shed before first attempts.
func TestRetriesAreShedFirst(t *testing.T) {
	s := settings()
	s.RouterCount = 400
	g := startHarness(t, s, testGroup()...)
	g.reportPositions(Replica, 0, "a", "b", "c")
	isRejected := func(isRetry bool) bool {
		id, actions := g.request(eventualRead, RequestArrived{TimeRemaining: 1300 * ms, IsRetry: isRetry})
		if r := g.router.requests[id]; r != nil && r.inFlight > 0 {
			g.step(AttemptEnded{ID: id, Code: OK, Role: Replica, Final: true, Elapsed: 50 * ms})
		}
		found, _ := actionsOf(ActReject, actions)
		return len(found) > 0
	}
	for range 20 {
		if isRejected(false) {
			t.Fatal("a first attempt was rejected")
		}
	}
	if isRejected(true) {
		t.Error("a retry was rejected though nothing is shed")
	}
	s.Classes[eventualRead].LateFraction = 0 // a router copies the classes' settings, so this needs a new one
	g = startHarness(t, s, testGroup()...)
	for range 20 {
		isRejected(false)
	}
	g.router.groups[1].admissions[0].shedFraction = 0.1
	rejectedRetries, rejectedFirstAttempts := 0, 0
	for range 30 {
		g.router.groups[1].admissions[0].shedFraction = 0.1
		if isRejected(true) {
			rejectedRetries++
		}
		for range 3 {
			if isRejected(false) {
				rejectedFirstAttempts++
			}
		}
	}
	if rejectedRetries < 28 || rejectedFirstAttempts > 25 {
		t.Errorf("of 30 retries %d were rejected, of 90 first attempts %d", rejectedRetries, rejectedFirstAttempts)
	}
}

// Requests of a tenant that exceeds its quota are shed before those of a tenant within its quota.
func TestTenantQuotas(t *testing.T) {
	s := settings()
	s.RouterCount, s.OverQuotaFraction = 100, 0.1
	s.Tenants = []Tenant{{Name: "small", Quota: 50}, {Name: "large", Quota: 1000}}
	g := startHarness(t, s, testGroup()...)
	rejected := [3]int{}
	for range 400 {
		for tenant := 1; tenant <= 2; tenant++ { // 200 a second each, if all routers see as much
			g.now += 250 * ms
			g.router.groups[1].admissions[0].shedFraction, g.router.groups[1].admissions[0].inTimeFraction = 0.3, 1
			id, actions := g.request(eventualRead, RequestArrived{Tenant: tenant})
			if found, _ := actionsOf(ActReject, actions); len(found) > 0 {
				rejected[tenant]++
			} else {
				g.outcome(id, 0, OK, Replica)
			}
		}
	}
	if rejected[1] < 2*rejected[2] || rejected[2] == 0 {
		t.Errorf("rejected: %d of the tenant over its quota, %d of the one within", rejected[1], rejected[2])
	}
}
