// Package choice makes the decisions of a gateway that spreads reads over the replicas of a database. Its
// interface is in types.go; every rule, table and tuned value is in this file. The ordinary path: writes and
// fresh reads go to the member last seen as primary; any other read goes to the one of two uniformly drawn
// qualifying replicas that has fewer of this router's requests in flight, and to the primary when none
// qualifies. All else keeps that going when something fails; docs/design.md says when.
package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	tickInterval            = 5 * time.Millisecond   // pace of held requests: far below any aim
	positionMargin          = time.Millisecond       // checking margin: positions come in whole milliseconds
	probeAnswerWait         = 25 * time.Millisecond  // a read waits so long for a probe: above a round trip
	reprobeAfter            = 60 * time.Millisecond  // before that a member's report is hardly newer
	maxProbesPerRead        = 2                      // probes that one read may wait for
	retryBackoff            = time.Second            // before a failed probe or call is tried again
	paceRetention           = 3 * time.Second        // after that a member's position tells no more of it than none
	unreachable             = 3                      // the last rank of members to probe
	probeTimeout            = 300 * time.Millisecond // a probe unanswered for so long no longer counts as under way
	probeCostFraction       = 0.016                  // share of the result that probes may cost, about what they free
	faultScore              = 3                      // what a failed attempt counts for, in aims
	transientFaultScore     = 1.5                    // one that was reset, spoilt or lost alone: any host may do that
	outlierThreshold        = 1                      // the mean, in aims, from which a member is avoided
	minSilence              = 150 * time.Millisecond // below this a quiet member is no news
	searchBackoff           = 500 * time.Millisecond // wait after a round of misses
	retryBudgetRatio        = 0.1                    // extra attempts per request, and the most that can be saved up
	retryBudgetCap          = 50                     // by all routers together, but one for each
	minRetryCost            = 0.1                    // least price of one
	probeBudgetCap          = 10                     // the same for probes, of one router
	initialLimit            = 3                      // in-flight limit per member: start
	limitIncrease           = 0.1                    // a timely answer opens the limit; a slow or lost one closes it
	limitDecrease           = 0.5
	slowStartSafety         = 0.7  // part of the overload that a cold member stands which is used
	initialWriteFraction    = 0.25 // before any request
	shedDecrease            = 0.02 // a timely answer opens a group again; late and lost ones close it
	shedIncrease            = 0.3
	initialInTimeFraction   = 0.3 // before any answer
	shedMinRouters          = 5   // up to so many routers, limits per member are fine enough
	maxShedFraction         = 0.8
	tenantRateSpan          = 8.0                   // seconds over which a tenant's requests are counted
	scoreRetention          = 10                    // seconds for which an attempt says something of its member
	initialSamples          = 10                    // first tries that all classes are taken to begin with, kept
	maxSamples              = 2048                  // first tries after which the oldest count less in that: minutes
	exploreFraction         = 0.15                  // part of the draws that is not among the known alone
	scoreMargin             = 0.1                   // in aims; known members would else crowd out the unknown
	connectFailureThreshold = 0.1                   // share of quick failures to connect that tells of full hosts
	maxListDelay            = 5 * time.Second       // a list names a new primary no later
	maxIdleConns            = 150                   // connections that all routers then keep at a host, below its limit
	primaryReadFraction     = 0.9                   // part of the primary's in-flight limit that reads may fill
	answerMargin            = 15 * time.Millisecond // a final answer leaves this long before its time, at the latest
	commitRetention         = 10 * time.Second      // commits older than this are folded into the group's floor
	maxCommits              = 20000
	memberRetention         = time.Minute           // a member that left is forgotten after so long
	minLatency              = 50 * time.Millisecond // least latency to reckon with before any was seen
)

type member struct {
	host                                string
	group                               *group
	active, namedPrimary                bool // named: as the primary, by the list
	startedAt                           time.Duration
	position                            time.Duration // proven; never goes back
	positionAt                          time.Duration // when position was last renewed
	primaryAt, notPrimaryAt             time.Duration // latest evidence of being primary, and of not being it
	reportedReplica, unconfirmedPrimary bool          // it said that it is a replica; only the list has said otherwise since
	inFlight                            int
	waitingSince                        time.Duration // since when work lies there and nothing came back
	inFlightByClass                     []int         // of that, by class
	answeredAt, sentAt                  time.Duration
	score                               float64 // what attempts took, in aims of their class
	scoredAt                            time.Duration
	backoffUntil                        time.Duration // it was full
	removedAt                           time.Duration // when the list dropped it
	limit                               float64
	connected                           bool          // a connection was made, and not lost since
	probedAt                            time.Duration // when the last probe was sent
	probePending                        bool          // it is unanswered
	restoredLimit                       float64       // kept from before the start, as are the next two: a limit,
	restoredLag                         time.Duration // how far behind it was,
	wasPrimary                          bool          // and its role; they prove nothing, see state.go
}

type group struct {
	id              uint64
	members         []*member     // by host
	searcher        *request      // the write that searches
	searchAfter     time.Duration // no search before
	searchStartedAt time.Duration // when the present round began
	commits         map[uint64]time.Duration
	commitOrder     []sessionCommit // oldest first
	commitFloor     time.Duration
	admissions      [2]admission // reads on replicas; what the primary serves
}

type admission struct {
	shedFraction   float64 // part of its requests that is refused on arrival
	inTimeFraction float64 // smoothed share of the attempts that were answered well inside their aim
}

type sessionCommit struct {
	key uint64
	at  time.Duration
}

type attempt struct {
	member  *member
	sentAt  time.Duration
	pending bool
}

type class struct {
	Class
	index          int
	latency        time.Duration // smoothed, of answers
	serviceTime    time.Duration // near the least that an answer takes: what is not waiting
	offeredWeight  float64       // worth of its first tries so far
	inTimeFraction float64       // share of them that was answered inside their aim, of the last few thousand
	samples        float64       // over which that is taken
}

type tenant struct {
	rate      float64 // of its requests at this router, a second
	updatedAt time.Duration
}

type request struct {
	id                               string
	class                            *class
	group                            *group
	sessionKey                       uint64
	hasSessionKey                    bool
	arrivedAt, objectiveAt, deadline time.Duration
	minPosition                      time.Duration // least position a member must have; 0: none
	attempts                         []attempt
	inFlight                         int
	mayHaveRun                       bool          // some attempt may have run
	dedupDeadline                    time.Duration // from the choice of the first such: when a repeat must have ended
	finished, queued, isRetry        bool          // again: its client says that it is a repeat
	weight                           float64       // expected, with what its tenant's share leaves of it
	sample                           float64       // its lot for cold members, see admits; from 1 on: used up
	probeCount                       int           // probes it has waited for
	probed                           *member       // the last member asked
	probedAt                         time.Duration
}

// Router holds the decisions of one router. It is not safe for concurrent use.
type Router struct {
	cfg             Settings
	rng             *rand.Rand
	now             time.Duration
	members         map[string]*member
	groups          map[uint64]*group
	commitFloor     time.Duration // no session of a group that was released needs more
	requests        map[string]*request
	tenants         []tenant
	queue           []*request // in the order of the last upkeep, then as they came to be held
	actions         []Action
	retryBudget     float64
	tickAt, timerAt time.Duration // next upkeep, and next timer
	meanLatency     time.Duration
	classes         []class
	tightestBound   time.Duration // the least bound of a Bounded class
	meanScore       float64
	connectFailures float64       // smoothed share of the attempts that failed to connect at once
	probeBudget     float64       // probes that the requests so far have earned
	worstClass      *class        // the one that is served worst
	offeredWeight   float64       // worth of all first tries so far
	meanWeight      [2]float64    // smoothed, of requests for replicas and for the primary
	writeFraction   float64       // smoothed share of those for the primary
	resubscribeAt   time.Duration // when to ask discovery again; 0: no need
	restored        restoredState
}

// Step takes the events of one moment and returns what to do. The actions are valid until the next call.
func (c *Router) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = max(now, c.now), c.actions[:0]
	for i := range events {
		c.handle(&events[i])
	}
	if c.now >= c.tickAt {
		c.tick()
	}
	wake := c.resubscribeAt
	if len(c.queue) > 0 {
		wake = c.tickAt
	}
	if wake > 0 && (c.timerAt <= c.now || wake < c.timerAt) { // nothing to do: no timer
		c.timerAt = wake
		c.actions = append(c.actions, Action{Kind: ActTimer, At: wake})
	}
	return c.actions
}

func (c *Router) handle(e *Event) {
	switch e.Kind {
	case EventTargets:
		c.applyTargets(e)
	case EventTargetsFailed:
		c.resubscribeAt = c.now + retryBackoff
	case EventRequest:
		c.handleRequest(e)
	case EventOutcome:
		c.handleOutcome(e)
	case EventClientGone:
		if r := c.requests[e.ID]; r != nil && !r.finished {
			for _, a := range r.attempts {
				if a.pending { // so the queue there is too long for its client
					c.adjustLimit(a.member, -limitDecrease)
					c.recordLost(r.admission(a.member))
				}
			}
			c.finish(r, false)
		}
	case EventLateAnswer:
		if m := c.members[e.Host]; m != nil {
			c.recordAnswer(m, e, e.Position)
		}
	case EventProbeResult:
		if m := c.members[e.Host]; m != nil {
			m.probePending = false
			if e.Code == OK {
				c.recordReport(m, e.Report)
			} else if e.Code != NotSent { // which says nothing of the host
				c.recordScore(m, faultScore)
			}
			for _, r := range c.queue {
				if r.group == m.group && !r.finished && r.inFlight == 0 {
					c.dispatch(r)
				}
			}
		}
	}
}

func (c *Router) applyTargets(e *Event) {
	if e.Full {
		if c.tickAt == 0 && c.cfg.MustSubscribe {
			c.actions = append(c.actions, Action{Kind: ActSubscribe})
		}
		named := make(map[string]bool, len(e.Targets))
		for _, t := range e.Targets {
			named[t.Host] = true
		}
		for host, m := range c.members {
			if !named[host] && !c.cfg.IgnoresRemoval {
				c.drain(m)
			}
		}
	}
	for _, m := range c.members { // a list may bring back at once what left
		if !m.active && m.inFlight == 0 && c.now-m.removedAt > memberRetention {
			c.removeMember(m)
		}
	}
	for _, t := range e.Targets {
		m := c.members[t.Host]
		if m != nil && m.group.id != t.Group { // it holds other data now: nothing known of it counts
			c.removeMember(m)
			m = nil
		}
		if m == nil {
			if t.Removed {
				continue
			}
			g := c.groups[t.Group]
			if g == nil {
				g = &group{
					id: t.Group, commits: map[uint64]time.Duration{}, commitFloor: c.commitFloor,
					admissions: [2]admission{{inTimeFraction: initialInTimeFraction}, {inTimeFraction: initialInTimeFraction}},
				}
				c.groups[t.Group] = g
			}
			m = &member{
				host: t.Host, group: g, limit: initialLimit, removedAt: c.now,
				inFlightByClass: make([]int, len(c.classes)),
			}
			c.members[t.Host] = m
			g.members = append(g.members, m)
			slices.SortFunc(g.members, func(a, b *member) int { return cmp.Compare(a.host, b.host) })
		}
		if t.Primary && c.cfg.ListNamesPrimary && !m.namedPrimary { // weaker than anything seen since
			m.unconfirmedPrimary = m.reportedReplica && m.primaryAt <= m.notPrimaryAt && c.cfg.ReportsRole && c.cfg.ProbesAllowed
			m.primaryAt = max(m.primaryAt, c.now-maxListDelay, 1)
		}
		m.namedPrimary = t.Primary
		if t.Draining || t.Removed && !c.cfg.IgnoresRemoval { // there a list proves nothing of what runs
			c.drain(m)
		}
		if t.Draining || t.Removed {
			continue
		}
		// Starts only go forward. What an old process did wrong still counts for a while: it may do so again.
		m.startedAt = max(m.startedAt, min(t.StartedAt, c.now))
		m.active = true
		c.restore(m)
	}
}

func (c *Router) removeMember(m *member) {
	g := m.group
	m.active = false
	delete(c.members, m.host)
	g.members = slices.DeleteFunc(g.members, func(o *member) bool { return o == m })
	if len(g.members) == 0 {
		delete(c.groups, g.id)
		c.commitFloor = c.now
	}
}

// drain stops all new work for a member at once, inside the grace.
func (c *Router) drain(m *member) {
	if m.active {
		m.removedAt = c.now
	}
	m.active, m.notPrimaryAt = false, c.now // nor is it the primary, until newer evidence comes
}

// recordEvidence keeps the highest position and the newest evidence of the role, in whatever order they come.
func (c *Router) recordEvidence(m *member, position time.Duration, role Role, at time.Duration) {
	if role == Replica { // this makes more careful, however garbled the rest is
		m.notPrimaryAt, m.reportedReplica = max(m.notPrimaryAt, min(at, c.now)), true
	}
	if position > c.now || at > c.now {
		return // no host is ahead of the clock: garbled
	}
	if position > 0 {
		m.position, m.positionAt = max(m.position, position), c.now
	}
	if role == Primary && at > m.primaryAt {
		m.primaryAt, m.unconfirmedPrimary = at, false
	}
}

// recordAnswer takes an answer's word. Answers come in any order, some late: a replica may have said so just now, but
// a primary only when its attempt was sent, or as its stamp says.
func (c *Router) recordAnswer(m *member, e *Event, position time.Duration) {
	at := c.now
	if e.Role == Primary {
		at -= e.Elapsed
		if e.Position < c.now+positionMargin { // commits are rounded up
			at = max(at, min(e.Position, c.now))
		}
	}
	c.recordEvidence(m, position, e.Role, at)
}

// recordReport takes a host's own word. It may be old: its position dates it, but a replica may stand for long.
func (c *Router) recordReport(m *member, r Report) {
	at := r.Position
	if at <= 0 || r.Role == Replica {
		at = max(at, c.now-retryBackoff) // undated: older than any report
	}
	c.recordEvidence(m, r.Position, r.Role, at)
}

// quotaFraction is what a tenant's request counts for, if all routers see as much of the tenant as this one.
func (c *Router) quotaFraction(i int) float64 {
	t := &c.tenants[i]
	t.rate = t.rate*math.Exp(-(c.now-t.updatedAt).Seconds()/tenantRateSpan) + 1.0/tenantRateSpan
	t.updatedAt = c.now
	in := min(1, c.cfg.Tenants[i].Quota/max(t.rate*float64(c.cfg.RouterCount), 1e-9))
	return in + c.cfg.OverQuotaFraction*(1-in)
}

func (g *group) primary() *member {
	var p *member
	for _, m := range g.members {
		if m.active && m.primaryAt > m.notPrimaryAt && (p == nil || m.primaryAt > p.primaryAt) {
			p = m
		}
	}
	return p
}

func (c *Router) handleRequest(e *Event) {
	if c.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(c.cfg.Classes) {
		return
	}
	k := &c.classes[e.Class]
	g := c.groups[e.Group]
	if g == nil { // no list has named this group: nothing can serve it
		c.actions = append(c.actions, Action{Kind: ActReject, ID: e.ID, RetryAfter: min(retryBackoff, c.cfg.MaxRetryAfter)})
		return
	}
	r := &request{
		id: e.ID, class: k, group: g, sessionKey: e.SessionKey, hasSessionKey: e.HasSessionKey, arrivedAt: c.now,
		objectiveAt: c.now + min(k.LatencyObjective, e.TimeRemaining), deadline: c.now + e.TimeRemaining,
		sample: c.rng.Float64(), weight: k.PriorityWeight, isRetry: e.IsRetry, dedupDeadline: math.MaxInt64,
	}
	if k.Access == SessionRead {
		if !c.cfg.TracksCommits && e.CommitAge > 0 {
			r.minPosition = c.now - e.CommitAge + positionMargin
		} else if c.cfg.TracksCommits {
			r.minPosition = max(g.commits[e.SessionKey], g.commitFloor)
		}
	}
	c.requests[r.id] = r
	if e.Tenant > 0 && e.Tenant <= len(c.tenants) {
		r.weight *= c.quotaFraction(e.Tenant - 1)
	}
	if r.isRetry { // the aim went with the try before; under overload such tries crowd out those that count
		r.weight *= k.LateFraction
	} else {
		k.offeredWeight += k.PriorityWeight
		c.offeredWeight += k.PriorityWeight
	}
	side := 0
	if k.Access >= StrongRead {
		side = 1
	}
	c.writeFraction += (float64(side) - c.writeFraction) / 64
	mean := &c.meanWeight[side]
	*mean = cmp.Or(*mean, k.PriorityWeight)
	*mean += (r.weight - *mean) / 32
	c.retryBudget = min(max(1, retryBudgetCap/float64(c.cfg.RouterCount)), c.retryBudget+retryBudgetRatio)
	c.probeBudget = min(probeBudgetCap, c.probeBudget+probeCostFraction/max(c.cfg.ProbeCost, probeCostFraction/2))
	// Shed, the cheap more than the dear: what is worth nothing goes as soon as anything does.
	if r.sample > 1-g.admissions[side].shedFraction**mean/max(r.weight, 1e-9) {
		c.giveUp(r)
		return
	} else if r.isRetry { // its first try had a lot
		r.sample++
	}
	c.dispatch(r)
}

func (c *Router) handleOutcome(e *Event) {
	r := c.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].pending {
		return
	}
	a := &r.attempts[e.Attempt]
	a.pending = false
	r.inFlight--
	m := a.member
	m.inFlight--
	m.inFlightByClass[r.class.index]--
	m.waitingSince = c.now
	if e.Role != Unknown {
		position := e.Position
		if r.class.Access == Write && e.Code == OK { // a commit, rounded up: not yet a proven position
			if c.cfg.TracksCommits && r.hasSessionKey && e.Position > 0 {
				c.recordCommit(r.group, r.sessionKey, e.Position)
			}
			position = 0
		}
		c.recordAnswer(m, e, position)
	}
	c.recordReport(m, e.Report)
	c.judgeAttempt(m, a, r, e)
	if e.Code == NoConnection || e.Code == Misdirected && r.class.Access == Write {
		m.notPrimaryAt = c.now
	}
	if !e.Code.NeverRan() && !r.mayHaveRun {
		r.mayHaveRun, r.dedupDeadline = true, a.sentAt+r.class.DedupWindow-answerMargin
	}
	if e.Final {
		c.finish(r, e.Code == OK && c.now <= r.objectiveAt)
	}
	if r.inFlight > 0 {
		return
	}
	if r.finished {
		delete(c.requests, r.id)
		return
	}
	// A further attempt costs what the last one took: quick failures are cheap, late ones add to an overload.
	price := min(1, minRetryCost+2*e.Elapsed.Seconds()/r.class.LatencyObjective.Seconds())
	if e.Code == Misdirected || e.Code == NotSent || r.class.Access == Write && e.Code.NeverRan() {
		price = 0 // it cost no host anything; what came too late to be sent is chosen for anew
	}
	if !c.canRetry(r) || c.retryBudget < price {
		c.giveUp(r)
		return
	}
	c.retryBudget -= price
	c.dispatch(r)
}

// judgeAttempt updates what a member's behaviour says of it.
func (c *Router) judgeAttempt(m *member, a *attempt, r *request, e *Event) {
	// While many attempts fail to connect at once, hosts are out of connections: most routers close theirs.
	m.connected = m.connected || e.Code == OK || e.Code == Misdirected
	c.connectFailures -= c.connectFailures / 16
	if e.Code == NoConnection && e.Elapsed < minLatency {
		c.connectFailures += 1.0 / 16
	}
	if m.connected && m.inFlight == 0 && c.connectFailures > connectFailureThreshold && c.rng.Float64() > maxIdleConns/float64(c.cfg.RouterCount) {
		m.connected = false
		c.actions = append(c.actions, Action{Kind: ActCloseIdle, Host: m.host})
	}
	aims, s := e.Elapsed.Seconds()/r.class.LatencyObjective.Seconds(), r.admission(m)
	switch e.Code {
	case OK, Misdirected:
		m.answeredAt = c.now
	case ServerError, NoConnection:
		aims, m.connected = faultScore, e.Code == ServerError
	case ConnectionLost: // if the host is dead, the next will not even connect
		aims, m.connected = transientFaultScore, false
	case Malformed:
		aims, m.answeredAt = transientFaultScore, c.now
	case NoAnswer:
		// One alone may be a costly request, at a slow host often; a dead one is silent, or refuses the next.
		if aims = max(1, aims); m.answeredAt <= a.sentAt { // else it answered others meanwhile: busy
			aims = transientFaultScore
		}
		c.adjustLimit(m, -limitDecrease)
		c.recordLost(s)
	case Rejected: // even the answer cost it something: leave it alone for about an answer's time
		m.backoffUntil = c.now + time.Duration((1+c.rng.Float64())*float64(max(c.meanLatency, minLatency)))
		c.adjustLimit(m, -limitDecrease)
		c.raiseShedding(s, 0.5)
		return
	default:
		return
	}
	if e.Code != Misdirected {
		c.recordScore(m, aims)
	}
	if e.Code == OK {
		c.meanLatency = smoothLatency(c.meanLatency, e.Elapsed)
		r.class.latency = smoothLatency(r.class.latency, e.Elapsed)
		r.class.serviceTime = min(e.Elapsed, r.class.serviceTime+max(r.class.serviceTime/64, time.Millisecond))
		quick := 0.0
		if e.Elapsed > r.class.LatencyObjective*3/4 {
			c.raiseShedding(s, 0.5)
		} else {
			quick = 1
			s.shedFraction = max(0, s.shedFraction-shedDecrease)
		}
		s.inTimeFraction += (quick - s.inTimeFraction) / 8
		if e.Elapsed > r.class.LatencyObjective/2 {
			c.adjustLimit(m, -limitDecrease)
		} else if float64(m.inFlight+1) >= m.limit/2 {
			c.adjustLimit(m, limitIncrease)
		}
	}
}

func (c *Router) hasCapacity(m *member) bool {
	return float64(m.inFlight) < m.limit && c.now >= m.backoffUntil
}

// adjustLimit moves a member's in-flight limit. It settles where a sixth of the answers take over half of their
// aim, so queues stay with the routers. Could harm a class whose work alone takes half of its aim.
func (c *Router) adjustLimit(m *member, by float64) {
	m.limit = max(1, m.limit+by, m.limit*(1+min(0, by)))
	if m.restoredLimit *= max(0, 1+min(0, 2*by)); by > 0 { // what held before the start is taken up again by proof
		m.limit = max(m.limit, min(m.restoredLimit, 2*m.limit))
	}
}

// raiseShedding moves the part of a group's requests that is shed: up when answers come late, or not at all while
// those that do are slow: an overload, not a hang. Could harm where slowness is one member's.
func (c *Router) raiseShedding(s *admission, weight float64) {
	weight *= max(0, 1-shedMinRouters/float64(c.cfg.RouterCount))
	s.shedFraction = min(maxShedFraction, s.shedFraction+weight*shedIncrease*(1-s.shedFraction))
}

// recordLost notes an attempt that brought no answer in time.
func (c *Router) recordLost(s *admission) {
	s.inTimeFraction -= s.inTimeFraction / 8
	c.raiseShedding(s, (1-s.inTimeFraction)*(1-s.inTimeFraction))
}

func (r *request) admission(m *member) *admission {
	if m == r.group.primary() || r.class.Access >= StrongRead {
		return &r.group.admissions[1]
	}
	return &r.group.admissions[0]
}

func smoothLatency(old, x time.Duration) time.Duration {
	old = cmp.Or(old, x)
	return old + (x-old)/8
}

// recordCommit keeps a session's last commit. Old ones become a floor that all sessions of the group must meet.
func (c *Router) recordCommit(g *group, key uint64, at time.Duration) {
	g.commits[key] = max(g.commits[key], at)
	g.commitOrder = append(g.commitOrder, sessionCommit{key, at})
	for len(g.commitOrder) > 0 && (len(g.commitOrder) > maxCommits || g.commitOrder[0].at <= c.now-commitRetention) {
		old := g.commitOrder[0]
		g.commitOrder = g.commitOrder[1:]
		if g.commits[old.key] <= old.at { // else a later commit of the session stands further back
			g.commitFloor = max(g.commitFloor, old.at)
			delete(g.commits, old.key)
		}
	}
}

// provesPosition is the position test: has this member proven the position that the read needs?
func (c *Router) provesPosition(m *member, r *request) bool {
	return r.class.Access < StrongRead && m.position >= c.requiredPosition(r)
}

// mayCatchUp says that a read is worth a try at a member that checks for itself: it may be there, or soon be.
func (c *Router) mayCatchUp(m *member, r *request) bool {
	if c.cfg.StalenessCheck == CheckNone {
		return false
	}
	return m.position == 0 || m.position+(c.now-m.positionAt)+c.cfg.CatchUpWait/2 >= c.requiredPosition(r)
}

// requiredPosition is the position that a read wants of a replica now; 0: any will do.
func (c *Router) requiredPosition(r *request) time.Duration {
	switch r.class.Access {
	case BoundedRead:
		return max(1, c.now-r.class.StalenessBound+positionMargin)
	case StrongRead:
		return r.arrivedAt
	}
	return r.minPosition
}

// isSilent: work lies there and nothing has come back for far longer than is usual for the shortest of it.
func (c *Router) isSilent(m *member) bool {
	if m.inFlight == 0 || c.now-m.waitingSince <= minSilence {
		return false
	}
	usual := time.Duration(math.MaxInt64) / 8
	for i, n := range m.inFlightByClass {
		if n > 0 {
			usual = min(usual, max(c.meanLatency, c.classes[i].latency, minLatency))
		}
	}
	return c.now-m.waitingSince > 4*usual
}

// isHealthy says whether a member gets work as usual: not while it is silent, nor while its last attempts failed.
// That fades, so one is tried again every few seconds, with one request at a time until it has done well.
func (c *Router) isHealthy(m *member) bool {
	return !c.isSilent(m) && c.outlierScore(m) < outlierThreshold && (m.score < outlierThreshold || m.inFlight == 0)
}

// slowStartRatio is how many times its part of what comes in a member may get: a cold one part of the multiple that
// it can stand, of the capacity that it was sure to have when a fall time that ends now began.
func (c *Router) slowStartRatio(m *member) float64 {
	age := c.now - m.startedAt
	if m.startedAt == 0 || age >= c.cfg.SlowStartDuration {
		return math.Inf(1)
	}
	share := c.cfg.SlowStartFloor + (1-c.cfg.SlowStartFloor)*float64(max(0, age-c.cfg.OverloadWindow))/float64(c.cfg.SlowStartDuration)
	return slowStartSafety * max(1, c.cfg.OverloadFactor) * share
}

// passesSlowStart is the slow start. The far digits of a request's lot name one replica, and it may go there if the
// lot is below the ration: a cold member gets no more than that of its part, whatever else qualifies, is open
// or fails. At a cold primary writes go first, each with two lots at the most, and reads have what they leave
// of its part. So all routers together stay bounded by what comes in. Harms a group that is cold as a whole.
func (c *Router) passesSlowStart(m *member, r *request) bool {
	ration, p := c.slowStartRatio(m), r.group.primary()
	if math.IsInf(ration, 1) {
		return true
	}
	ms := slices.DeleteFunc(slices.Clone(r.group.members), func(o *member) bool {
		return !o.active || o == p // those that left are kept for a while, and take no part
	})
	part := 1 / float64(max(1, len(ms)))
	if m != p {
		name := int(math.Mod(r.sample, 1) * math.MaxInt32)
		return float64((name+slices.Index(ms, m))%len(ms))+r.sample < ration
	} else if r.class.Access >= StrongRead {
		return r.sample < ration*min(1, part/2/c.writeFraction)
	}
	return r.sample < ration*(part-c.writeFraction)
}

func attempted(r *request, m *member) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.member == m })
}

// outlierScore is what an attempt at a member lately took, in aims of its class; with no recent one, the mean.
func (c *Router) outlierScore(m *member) float64 {
	return c.meanScore + (m.score-c.meanScore)*max(0, 1-(c.now-m.scoredAt).Seconds()/scoreRetention)
}

// recordScore notes it, the heavier the longer ago the last one was.
func (c *Router) recordScore(m *member, aims float64) {
	weight := min(0.5, max(0.125, (c.now-m.scoredAt).Seconds()/2))
	m.score, m.scoredAt = c.outlierScore(m)+weight*(aims-c.outlierScore(m)), c.now
	c.meanScore += (aims - c.meanScore) / 16
}

// pickOfTwo picks uniformly two of the members and takes the one with fewer of this router's requests in flight.
// Of many routers no host can afford a connection each, so most draws are among open ones.
func (c *Router) pickOfTwo(ms []*member) *member {
	if c.cfg.RouterCount > shedMinRouters && c.rng.Float64() >= exploreFraction {
		open := slices.DeleteFunc(slices.Clone(ms), func(m *member) bool {
			return c.slowStartRatio(m) >= 1 && (!m.connected || c.now-m.sentAt >= c.cfg.ConnIdleTimeout)
		})
		if len(open) > 0 {
			ms = open
		}
	}
	if len(ms) < 2 {
		return append(ms, nil)[0]
	}
	i, j := c.rng.IntN(len(ms)), c.rng.IntN(len(ms)-1)
	if k := slices.IndexFunc(ms, func(m *member) bool { return c.slowStartRatio(m) < 1 }); k >= 0 {
		i = k // the lot has named it
	}
	if j >= i {
		j++
	}
	m, o := ms[i], ms[j]
	if o.inFlight < m.inFlight || o.inFlight == m.inFlight && c.outlierScore(o) < c.outlierScore(m)-scoreMargin {
		return o
	}
	return m
}

// chooseReplica chooses for a read: qualifying replicas, those that check for themselves, one that a probe may
// prove, the primary, then members that look bad. nil: nobody now.
func (c *Router) chooseReplica(r *request) *member {
	p := r.group.primary()
	if p != nil && p.unconfirmedPrimary {
		p = nil // no read rests on that; it may be asked, and a write finds out by itself
	}
	var good, near, bad, unknown, doubtful []*member
	busy := false // some replica qualifies but has no room
	for _, m := range r.group.members {
		if !m.active || m == p || attempted(r, m) {
			continue
		}
		sound, fresh := c.isHealthy(m), c.provesPosition(m, r)
		switch {
		case !c.hasCapacity(m):
			busy = busy || sound && fresh
		case fresh && sound:
			good = append(good, m)
		case fresh:
			bad = append(bad, m)
		case sound && c.mayCatchUp(m, r) && len(r.attempts) == 0:
			near = append(near, m)
		case sound:
			unknown = append(unknown, m)
		default:
			doubtful = append(doubtful, m)
		}
	}
	if r.class.Access == EventualRead { // a long query stops the log: run it where that costs least, the furthest behind
		slices.SortStableFunc(good, func(a, b *member) int { return cmp.Compare(a.position, b.position) })
		if len(good) > 0 && good[0].positionAt-good[0].position >= c.tightestBound {
			good = good[:1]
		}
	}
	for _, ms := range []*[]*member{&good, &near, &bad, &unknown, &doubtful} {
		*ms = slices.DeleteFunc(*ms, func(m *member) bool { return !c.passesSlowStart(m, r) })
	}
	if m := cmp.Or(c.pickOfTwo(good), c.pickOfTwo(near)); m != nil {
		return m
	}
	sound := p != nil && c.isHealthy(p)
	if c.awaitProbe(r, unknown) || !sound && len(bad) == 0 && c.awaitProbe(r, doubtful) {
		return nil
	}
	m := c.pickOfTwo(bad)
	if p != nil && !c.isSilent(p) && c.passesSlowStart(p, r) && float64(p.inFlight) < primaryReadFraction*p.limit &&
		!attempted(r, p) && (sound || m == nil && !busy) { // suspect or not: there may be no other
		return p
	} else if sound || busy {
		return nil // held: going on by the draw is for when all look bad
	}
	return m
}

// dispatch sends a request on, or leaves it held for the next upkeep, or ends it.
func (c *Router) dispatch(r *request) {
	late := c.now >= r.deadline-answerMargin || // or not to be had in time, and worth nothing late:
		r.class.LateFraction == 0 && c.now+min(r.class.latency, (r.objectiveAt-r.arrivedAt)*3/4) >= r.objectiveAt
	// So is a read that never went out by half of its time: its client has the rest for elsewhere.
	half := r.arrivedAt + (r.deadline-r.arrivedAt)/2 - answerMargin
	late = late || r.class.Access != Write && len(r.attempts) == 0 && c.now >= half
	if late || len(r.attempts) >= c.cfg.MaxAttempts || !c.canRetry(r) {
		c.giveUp(r)
		return
	}
	if r.class.Access != Write && r.class.Access != StrongRead {
		if m := c.chooseReplica(r); m != nil {
			c.send(r, m)
		}
	} else if p := r.group.primary(); p == nil && r.class.Access == Write {
		c.searchPrimary(r)
	} else if p == nil || p.unconfirmedPrimary && r.class.Access == StrongRead {
		for _, m := range r.group.members { // a fresh read waits for the primary: ask who it is
			if c.cfg.ProbesAllowed && c.cfg.ReportsRole && m.active && c.now-m.probedAt >= retryBackoff/2 {
				c.probe(m)
			}
		}
	} else if !c.isSilent(p) && c.hasCapacity(p) && c.passesSlowStart(p, r) { // suspect or not: there is no other
		c.send(r, p)
	}
	if r.inFlight == 0 && !r.queued {
		r.queued = true
		c.queue = append(c.queue, r)
	}
}

// searchPrimary lets one write at a time try the members; a miss proves that nothing ran. What was proven a
// replica longest ago comes first, at par by lot, so that routers don't all begin with the same host.
func (c *Router) searchPrimary(r *request) {
	g := r.group
	s := g.searcher // it searches until its attempt is answered, or lies at a silent member
	if s != nil && s.inFlight > 0 && !c.isSilent(s.attempts[len(s.attempts)-1].member) || c.now < g.searchAfter {
		return
	}
	var next *member
	for _, i := range c.rng.Perm(len(g.members)) {
		m := g.members[i]
		if !m.active || c.isSilent(m) || !c.hasCapacity(m) || !c.passesSlowStart(m, r) {
			continue
		}
		if next == nil || m.notPrimaryAt < next.notPrimaryAt || m.notPrimaryAt == next.notPrimaryAt && m.wasPrimary {
			next = m
		}
	}
	if next != nil && next.notPrimaryAt > 0 && next.notPrimaryAt >= g.searchStartedAt { // the round is over
		g.searchStartedAt, g.searchAfter = c.now+searchBackoff, c.now+searchBackoff
	} else if next != nil {
		g.searcher = r
		c.send(r, next)
	}
}

// Revalidate says whether an attempt that was chosen a while ago may be written now. If not, it is NotSent.
func (c *Router) Revalidate(now time.Duration, id string, attempt int) bool {
	c.now = max(now, c.now)
	r := c.requests[id]
	if r == nil || r.finished || attempt < 0 || attempt >= len(r.attempts) || c.now >= r.deadline-answerMargin {
		return false
	}
	m, p := r.attempts[attempt].member, r.group.primary()
	switch {
	case !m.active || !c.canRetry(r):
		return false
	case r.class.Access == Write:
		return m == p || p == nil // it may search, a read must know
	}
	return m == p && !p.unconfirmedPrimary || r.class.Access != StrongRead && (c.provesPosition(m, r) || c.mayCatchUp(m, r))
}

// IsActive says whether new work, probes included, may go to a host.
func (c *Router) IsActive(host string) bool {
	m := c.members[host]
	return m != nil && m.active
}

func (c *Router) send(r *request, m *member) {
	var timeout time.Duration
	if r.class.LateFraction == 0 {
		timeout = max(r.objectiveAt-c.now-answerMargin, answerMargin)
	}
	if r.class.Idempotency == Deduplicated {
		timeout = min(max(8*c.meanLatency, r.class.LatencyObjective), r.dedupDeadline-c.now) // what is still queued then must not run
	}
	if m.inFlight == 0 {
		m.waitingSince = c.now
	}
	m.sentAt = c.now
	m.inFlight++
	m.inFlightByClass[r.class.index]++
	r.attempts = append(r.attempts, attempt{member: m, sentAt: c.now, pending: true})
	r.inFlight++
	c.actions = append(c.actions, Action{Kind: ActSend, ID: r.id, Host: m.host, Timeout: timeout, MinPosition: c.requiredPosition(r)})
}

func (c *Router) canRetry(r *request) bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case Deduplicated:
		return !r.mayHaveRun || r.class.Scope != ScopeZone && c.now+max(r.class.latency, minLatency) < r.dedupDeadline
	}
	return !r.mayHaveRun
}

// finish ends a request and calls off what is still out.
func (c *Router) finish(r *request, kept bool) {
	if k := r.class; !r.isRetry && !r.finished {
		k.samples = min(k.samples+1, maxSamples)
		k.inTimeFraction -= k.inTimeFraction / k.samples
		if kept {
			k.inTimeFraction += 1 / k.samples
		}
		if !kept && (c.worstClass == nil || k.inTimeFraction < c.worstClass.inTimeFraction) {
			c.worstClass = k
		}
	}
	r.finished = true
	for i, a := range r.attempts {
		if a.pending && c.cfg.CancelAllowed && r.class.Idempotency == Idempotent {
			c.actions = append(c.actions, Action{Kind: ActCancel, ID: r.id, Attempt: i})
		}
	}
	if r.inFlight == 0 {
		delete(c.requests, r.id)
	}
}

// cancelRequest gives the final answer at once: a refusal where a retry is harmless, else a failure.
func (c *Router) giveUp(r *request) {
	safe := r.class.Idempotency == Idempotent || r.class.Idempotency == Deduplicated && r.class.Scope == ScopeAll
	if safe || !r.mayHaveRun && r.inFlight == 0 { // a quick return would come to the same queue, or for nothing: say so
		after := min(2*max(c.meanLatency, minLatency), c.cfg.MaxRetryAfter)
		if r.class.LateFraction == 0 || r.class.Access >= StrongRead && r.group.primary() == nil {
			after = c.cfg.MaxRetryAfter
		}
		c.actions = append(c.actions, Action{Kind: ActReject, ID: r.id, RetryAfter: after})
	} else {
		c.actions = append(c.actions, Action{Kind: ActFail, ID: r.id})
	}
	c.finish(r, false)
}

// valuePerSecond is what a second of work on a request brings; the worst-served class counts once more by itself.
func (c *Router) valuePerSecond(r *request) float64 {
	worth := r.weight
	if r.class == c.worstClass && !r.isRetry {
		worth *= 1 + c.cfg.WorstClassWeight*c.offeredWeight/r.class.offeredWeight
	}
	if c.now+r.class.latency > r.objectiveAt {
		worth *= r.class.LateFraction
	}
	return worth / max(r.class.serviceTime, time.Millisecond).Seconds()
}

func (c *Router) tick() {
	c.tickAt = c.now + max(tickInterval, c.cfg.MinTickInterval)
	c.queue = slices.DeleteFunc(c.queue, func(r *request) bool {
		r.queued = !r.finished && r.inFlight == 0
		return !r.queued
	})
	// By value, then newest first: under overload the old ones are the least likely to be in time.
	slices.SortStableFunc(c.queue, func(a, b *request) int {
		return cmp.Or(cmp.Compare(c.valuePerSecond(b), c.valuePerSecond(a)), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	for _, r := range c.queue {
		switch at := c.rng.Float64() * float64(r.deadline-r.arrivedAt); {
		case at < float64(c.tickAt-c.now) && !r.isRetry: // one more lot in its time
			r.sample = c.rng.Float64()
		case c.now >= r.probedAt+probeAnswerWait: // one that can't be used now is lost: nothing is saved up
			r.sample = 1 + math.Mod(r.sample, 1)
		}
		c.dispatch(r)
	}
	if c.resubscribeAt > 0 && c.now >= c.resubscribeAt {
		c.resubscribeAt = 0
		c.actions = append(c.actions, Action{Kind: ActSubscribe})
	}
}

// awaitProbe lets a read for which no replica is known to qualify wait for the probe of one that may.
func (c *Router) awaitProbe(r *request, ms []*member) bool {
	if r.probed != nil && r.probed.probePending && c.now < r.probedAt+probeAnswerWait {
		return true
	}
	if !c.cfg.ProbesAllowed || !c.cfg.ReportsPosition || c.cfg.StalenessCheck != CheckNone || r.probeCount >= maxProbesPerRead {
		return false
	}
	p := r.group.primary() // with none to fall back on, a read that waits costs more than a probe
	var ranks [unreachable + 1][]*member
	for _, m := range ms {
		if m != r.probed && (m.probePending || c.now-m.probedAt >= reprobeAfter) {
			k := c.paceOf(m, r)
			ranks[k] = append(ranks[k], m)
		}
	}
	likely := ranks[0]
	if c.rng.Float64() < exploreFraction { // else those that are known would keep the others unknown
		likely = append(likely, ranks[1]...)
	}
	for k := 1; len(likely) == 0 && k <= unreachable && (k < unreachable || p == nil); k++ {
		likely = ranks[k]
	}
	m := c.pickOfTwo(likely)
	if m == nil || !m.probePending && c.probeBudget < 1 && p != nil && c.isHealthy(p) {
		return false
	}
	r.probeCount, r.probed, r.probedAt = r.probeCount+1, m, c.now
	c.probe(m)
	return true
}

// paceOf ranks members by how likely a probe shows that they qualify: lately heard of and on pace; not known;
// far behind before this start; too far to have caught up since, though it applied the log twice as fast.
func (c *Router) paceOf(m *member, r *request) int {
	since, need := c.now-m.positionAt, c.requiredPosition(r)
	switch {
	case m.position == 0 && m.restoredLag > c.tightestBound:
		return 2
	case m.position > 0 && m.position+2*since < need:
		return unreachable
	case m.position > 0 && since < paceRetention && m.position+since >= need:
		return 0
	}
	return 1
}

func (c *Router) probe(m *member) {
	if !m.probePending || c.now-m.probedAt >= probeTimeout {
		c.probeBudget = max(0, c.probeBudget-1)
		m.probedAt, m.probePending = c.now, true
		c.actions = append(c.actions, Action{Kind: ActProbe, Host: m.host})
	}
}
