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
	upkeep       = 5 * time.Millisecond   // pace of held requests: far below any aim
	margin       = time.Millisecond       // checking margin: positions come in whole milliseconds
	askWait      = 25 * time.Millisecond  // a read waits so long for a probe: above a round trip
	askAgain     = 60 * time.Millisecond  // before that a member's report is hardly newer
	askMost      = 2                      // probes that one read may wait for
	pause        = time.Second            // before a failed probe or call is tried again
	paceKnown    = 3 * time.Second        // after that a member's position tells no more of it than none
	hopeless     = 3                      // the last rank of members to probe
	probeWait    = 300 * time.Millisecond // a probe unanswered for so long no longer counts as under way
	probeSpend   = 0.016                  // share of the result that probes may cost, about what they free
	failure      = 3                      // what a failed attempt counts for, in aims
	mishap       = 1.5                    // one that was reset, spoilt or lost alone: any host may do that
	avoidAt      = 1                      // the mean, in aims, from which a member is avoided
	silentFloor  = 150 * time.Millisecond // below this a quiet member is no news
	searchPause  = 500 * time.Millisecond // wait after a round of misses
	budgetShare  = 0.1                    // extra attempts per request, and the most that can be saved up
	budgetCap    = 50                     // by all routers together, but one for each
	extraLeast   = 0.1                    // least price of one
	probesCap    = 10                     // the same for probes, of one router
	limitStart   = 3                      // in-flight limit per member: start
	limitStep    = 0.1                    // a timely answer opens the limit; a slow or lost one closes it
	limitCut     = 0.5
	coldShare    = 0.7  // part of the overload that a cold member stands which is used
	writesStart  = 0.25 // before any request
	shedStep     = 0.02 // a timely answer opens a group again; late and lost ones close it
	shedCut      = 0.3
	quickStart   = 0.3 // before any answer
	shedFrom     = 5   // up to so many routers, limits per member are fine enough
	shedMost     = 0.8
	tenantSpan   = 8.0                   // seconds over which a tenant's requests are counted
	tookKeep     = 10                    // seconds for which an attempt says something of its member
	keptStart    = 10                    // first tries that all classes are taken to begin with, kept
	keptSpan     = 2048                  // first tries after which the oldest count less in that: minutes
	explore      = 0.15                  // part of the draws that is not among the known alone
	farLess      = 0.1                   // in aims; known members would else crowd out the unknown
	crowdAt      = 0.1                   // share of quick failures to connect that tells of full hosts
	listLate     = 5 * time.Second       // a list names a new primary no later
	keepMost     = 150                   // connections that all routers then keep at a host, below its limit
	primaryShare = 0.9                   // part of the primary's in-flight limit that reads may fill
	endGuard     = 15 * time.Millisecond // a final answer leaves this long before its time, at the latest
	sessionKeep  = 10 * time.Second      // commits older than this are folded into the group's floor
	sessionMax   = 20000
	memberKeep   = time.Minute           // a member that left is forgotten after so long
	lateFloor    = 50 * time.Millisecond // least latency to reckon with before any was seen
)

type member struct {
	host                 string
	group                *group
	listed, named        bool // named: as the primary, by the list
	started              time.Duration
	position             time.Duration // proven; never goes back
	heard                time.Duration // when position was last renewed
	primaryAt, otherAt   time.Duration // latest evidence of being primary, and of not being it
	told, hearsay        bool          // it said that it is a replica; only the list has said otherwise since
	inflight             int
	quiet                time.Duration // since when work lies there and nothing came back
	out                  []int         // of that, by class
	lastAnswer, lastSent time.Duration
	took                 float64 // what attempts took, in aims of their class
	tookAt               time.Duration
	restTill             time.Duration // it was full
	left                 time.Duration // when the list dropped it
	limit                float64
	open                 bool          // a connection was made, and not lost since
	probed               time.Duration // when the last probe was sent
	probing              bool          // it is unanswered
	hope                 float64       // kept from before the start, as are the next two: a limit,
	lagged               time.Duration // how far behind it was,
	wasPrimary           bool          // and its role; they prove nothing, see state.go
}

type group struct {
	id         uint64
	members    []*member     // by host
	scout      *request      // the write that searches
	searchAt   time.Duration // no search before
	searchFrom time.Duration // when the present round began
	commits    map[uint64]time.Duration
	order      []commit // oldest first
	floor      time.Duration
	sides      [2]side // reads on replicas; what the primary serves
}

type side struct {
	shed  float64 // part of its requests that is refused on arrival
	quick float64 // smoothed share of the attempts that were answered well inside their aim
}

type commit struct {
	key uint64
	at  time.Duration
}

type attempt struct {
	to   *member
	sent time.Duration
	live bool
}

type class struct {
	Class
	index   int
	latency time.Duration // smoothed, of answers
	work    time.Duration // near the least that an answer takes: what is not waiting
	asked   float64       // worth of its first tries so far
	kept    float64       // share of them that was answered inside their aim, of the last few thousand
	tries   float64       // over which that is taken
}

type tenant struct {
	rate float64 // of its requests at this router, a second
	at   time.Duration
}

type request struct {
	id                     string
	class                  *class
	group                  *group
	key                    uint64
	hasKey                 bool
	arrived, aim, deadline time.Duration
	need                   time.Duration // least position a member must have; 0: none
	attempts               []attempt
	live                   int
	ran                    bool          // some attempt may have run
	window                 time.Duration // from the choice of the first such: when a repeat must have ended
	over, held, again      bool          // again: its client says that it is a repeat
	worth                  float64       // expected, with what its tenant's share leaves of it
	luck                   float64       // its lot for cold members, see admits; from 1 on: used up
	asks                   int           // probes it has waited for
	asked                  *member       // the last member asked
	askedAt                time.Duration
}

// Choice holds the decisions of one router. It is not safe for concurrent use.
type Choice struct {
	cfg             Settings
	rng             *rand.Rand
	now             time.Duration
	members         map[string]*member
	groups          map[uint64]*group
	floor           time.Duration // no session of a group that was released needs more
	reqs            map[string]*request
	tenants         []tenant
	held            []*request // in the order of the last upkeep, then as they came to be held
	out             []Action
	budget          float64
	tickAt, timerAt time.Duration // next upkeep, and next timer
	latency         time.Duration
	classes         []class
	tightest        time.Duration // the least bound of a Bounded class
	meanTook        float64
	crowded         float64       // smoothed share of the attempts that failed to connect at once
	probes          float64       // probes that the requests so far have earned
	worst           *class        // the one that is served worst
	asked           float64       // worth of all first tries so far
	worth           [2]float64    // smoothed, of requests for replicas and for the primary
	writes          float64       // smoothed share of those for the primary
	retryAt         time.Duration // when to ask discovery again; 0: no need
	past            recall
}

// Step takes the events of one moment and returns what to do. The actions are valid until the next call.
func (c *Choice) Step(now time.Duration, events []Event) []Action {
	c.now, c.out = max(now, c.now), c.out[:0]
	for i := range events {
		c.observe(&events[i])
	}
	if c.now >= c.tickAt {
		c.upkeep()
	}
	wake := c.retryAt
	if len(c.held) > 0 {
		wake = c.tickAt
	}
	if wake > 0 && (c.timerAt <= c.now || wake < c.timerAt) { // nothing to do: no timer
		c.timerAt = wake
		c.out = append(c.out, Action{Kind: ActTimer, At: wake})
	}
	return c.out
}

func (c *Choice) observe(e *Event) {
	switch e.Kind {
	case EvTargets:
		c.targets(e)
	case EvTargetsFailed:
		c.retryAt = c.now + pause
	case EvRequest:
		c.request(e)
	case EvOutcome:
		c.outcome(e)
	case EvLeft:
		if r := c.reqs[e.ID]; r != nil && !r.over {
			for _, a := range r.attempts {
				if a.live { // so the queue there is too long for its client
					c.adjust(a.to, -limitCut)
					c.lost(r.side(a.to))
				}
			}
			c.close(r, false)
		}
	case EvHeard:
		if m := c.members[e.Host]; m != nil {
			c.says(m, e, e.Position)
		}
	case EvProbe:
		if m := c.members[e.Host]; m != nil {
			m.probing = false
			if e.Code == OK {
				c.report(m, e.Report)
			} else if e.Code != NotSent { // which says nothing of the host
				c.took(m, failure)
			}
			for _, r := range c.held {
				if r.group == m.group && !r.over && r.live == 0 {
					c.dispatch(r)
				}
			}
		}
	}
}

func (c *Choice) targets(e *Event) {
	if e.Full {
		if c.tickAt == 0 && c.cfg.Subscribe {
			c.out = append(c.out, Action{Kind: ActSubscribe})
		}
		named := make(map[string]bool, len(e.Targets))
		for _, t := range e.Targets {
			named[t.Host] = true
		}
		for host, m := range c.members {
			if !named[host] && !c.cfg.DrainBindsAlone {
				c.drain(m)
			}
		}
	}
	for _, m := range c.members { // a list may bring back at once what left
		if !m.listed && m.inflight == 0 && c.now-m.left > memberKeep {
			c.release(m)
		}
	}
	for _, t := range e.Targets {
		m := c.members[t.Host]
		if m != nil && m.group.id != t.Group { // it holds other data now: nothing known of it counts
			c.release(m)
			m = nil
		}
		if m == nil {
			if t.Gone {
				continue
			}
			g := c.groups[t.Group]
			if g == nil {
				g = &group{id: t.Group, commits: map[uint64]time.Duration{}, floor: c.floor,
					sides: [2]side{{quick: quickStart}, {quick: quickStart}}}
				c.groups[t.Group] = g
			}
			m = &member{host: t.Host, group: g, limit: limitStart, left: c.now,
				out: make([]int, len(c.classes))}
			c.members[t.Host] = m
			g.members = append(g.members, m)
			slices.SortFunc(g.members, func(a, b *member) int { return cmp.Compare(a.host, b.host) })
		}
		if t.Primary && c.cfg.ListRole && !m.named { // weaker than anything seen since
			m.hearsay = m.told && m.primaryAt <= m.otherAt && c.cfg.ReportX1 && c.cfg.Probes
			m.primaryAt = max(m.primaryAt, c.now-listLate, 1)
		}
		m.named = t.Primary
		if t.Draining || t.Gone && !c.cfg.DrainBindsAlone { // there a list proves nothing of what runs
			c.drain(m)
		}
		if t.Draining || t.Gone {
			continue
		}
		// Starts only go forward. What an old process did wrong still counts for a while: it may do so again.
		m.started = max(m.started, min(t.Started, c.now))
		m.listed = true
		c.recall(m)
	}
}

func (c *Choice) release(m *member) {
	g := m.group
	m.listed = false
	delete(c.members, m.host)
	g.members = slices.DeleteFunc(g.members, func(o *member) bool { return o == m })
	if len(g.members) == 0 {
		delete(c.groups, g.id)
		c.floor = c.now
	}
}

// drain stops all new work for a member at once, inside the grace.
func (c *Choice) drain(m *member) {
	if m.listed {
		m.left = c.now
	}
	m.listed, m.otherAt = false, c.now // nor is it the primary, until newer evidence comes
}

// learn keeps the highest position and the newest evidence of the role, in whatever order they come.
func (c *Choice) learn(m *member, position time.Duration, role Role, at time.Duration) {
	if role == Replica { // this makes more careful, however garbled the rest is
		m.otherAt, m.told = max(m.otherAt, min(at, c.now)), true
	}
	if position > c.now || at > c.now {
		return // no host is ahead of the clock: garbled
	}
	if position > 0 {
		m.position, m.heard = max(m.position, position), c.now
	}
	if role == Primary && at > m.primaryAt {
		m.primaryAt, m.hearsay = at, false
	}
}

// says takes an answer's word. Answers come in any order, some late: a replica may have said so just now, but
// a primary only when its attempt was sent, or as its stamp says.
func (c *Choice) says(m *member, e *Event, position time.Duration) {
	at := c.now
	if e.Role == Primary {
		at -= e.Elapsed
		if e.Position < c.now+margin { // commits are rounded up
			at = max(at, min(e.Position, c.now))
		}
	}
	c.learn(m, position, e.Role, at)
}

// report takes a host's own word. It may be old: its position dates it, but a replica may stand for long.
func (c *Choice) report(m *member, r Report) {
	at := r.Position
	if at <= 0 || r.Role == Replica {
		at = max(at, c.now-pause) // undated: older than any report
	}
	c.learn(m, r.Position, r.Role, at)
}

// inShare is what a tenant's request counts for, if all routers see as much of the tenant as this one.
func (c *Choice) inShare(i int) float64 {
	t := &c.tenants[i]
	t.rate = t.rate*math.Exp(-(c.now-t.at).Seconds()/tenantSpan) + 1.0/tenantSpan
	t.at = c.now
	in := min(1, c.cfg.Tenants[i].Quota/max(t.rate*float64(c.cfg.Routers), 1e-9))
	return in + c.cfg.OverShare*(1-in)
}

func (g *group) primary() *member {
	var p *member
	for _, m := range g.members {
		if m.listed && m.primaryAt > m.otherAt && (p == nil || m.primaryAt > p.primaryAt) {
			p = m
		}
	}
	return p
}

func (c *Choice) request(e *Event) {
	if c.reqs[e.ID] != nil || e.Class < 0 || e.Class >= len(c.cfg.Classes) {
		return
	}
	k := &c.classes[e.Class]
	g := c.groups[e.Group]
	if g == nil { // no list has named this group: nothing can serve it
		c.out = append(c.out, Action{Kind: ActRefuse, ID: e.ID, After: min(pause, c.cfg.MaxRetryAfter)})
		return
	}
	r := &request{id: e.ID, class: k, group: g, key: e.Key, hasKey: e.HasKey, arrived: c.now,
		aim: c.now + min(k.Aim, e.TimeLeft), deadline: c.now + e.TimeLeft,
		luck: c.rng.Float64(), worth: k.Worth, again: e.Retry, window: math.MaxInt64}
	if k.Read == Session {
		if !c.cfg.Remembered && e.Token > 0 {
			r.need = c.now - e.Token + margin
		} else if c.cfg.Remembered {
			r.need = max(g.commits[e.Key], g.floor)
		}
	}
	c.reqs[r.id] = r
	if e.Tenant > 0 && e.Tenant <= len(c.tenants) {
		r.worth *= c.inShare(e.Tenant - 1)
	}
	if r.again { // the aim went with the try before; under overload such tries crowd out those that count
		r.worth *= k.LateShare
	} else {
		k.asked += k.Worth
		c.asked += k.Worth
	}
	side := 0
	if k.Read >= Fresh {
		side = 1
	}
	c.writes += (float64(side) - c.writes) / 64
	mean := &c.worth[side]
	*mean = cmp.Or(*mean, k.Worth)
	*mean += (r.worth - *mean) / 32
	c.budget = min(max(1, budgetCap/float64(c.cfg.Routers)), c.budget+budgetShare)
	c.probes = min(probesCap, c.probes+probeSpend/max(c.cfg.ProbePrice, probeSpend/2))
	// Shed, the cheap more than the dear: what is worth nothing goes as soon as anything does.
	if r.luck > 1-g.sides[side].shed**mean/max(r.worth, 1e-9) {
		c.end(r)
		return
	} else if r.again { // its first try had a lot
		r.luck++
	}
	c.dispatch(r)
}

func (c *Choice) outcome(e *Event) {
	r := c.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].live {
		return
	}
	a := &r.attempts[e.Attempt]
	a.live = false
	r.live--
	m := a.to
	m.inflight--
	m.out[r.class.index]--
	m.quiet = c.now
	if e.Role != Unknown {
		position := e.Position
		if r.class.Read == Write && e.Code == OK { // a commit, rounded up: not yet a proven position
			if c.cfg.Remembered && r.hasKey && e.Position > 0 {
				c.remember(r.group, r.key, e.Position)
			}
			position = 0
		}
		c.says(m, e, position)
	}
	c.report(m, e.Report)
	c.judge(m, a, r, e)
	if e.Code == NoConnection || e.Code == Miss && r.class.Read == Write {
		m.otherAt = c.now
	}
	if !e.Code.NeverRan() && !r.ran {
		r.ran, r.window = true, a.sent+r.class.Window-endGuard
	}
	if e.Final {
		c.close(r, e.Code == OK && c.now <= r.aim)
	}
	if r.live > 0 {
		return
	}
	if r.over {
		delete(c.reqs, r.id)
		return
	}
	// A further attempt costs what the last one took: quick failures are cheap, late ones add to an overload.
	price := min(1, extraLeast+2*e.Elapsed.Seconds()/r.class.Aim.Seconds())
	if e.Code == Miss || e.Code == NotSent || r.class.Read == Write && e.Code.NeverRan() {
		price = 0 // it cost no host anything; what came too late to be sent is chosen for anew
	}
	if !c.repeatable(r) || c.budget < price {
		c.end(r)
		return
	}
	c.budget -= price
	c.dispatch(r)
}

// judge updates what a member's behaviour says of it.
func (c *Choice) judge(m *member, a *attempt, r *request, e *Event) {
	// While many attempts fail to connect at once, hosts are out of connections: most routers close theirs.
	m.open = m.open || e.Code == OK || e.Code == Miss
	c.crowded -= c.crowded / 16
	if e.Code == NoConnection && e.Elapsed < lateFloor {
		c.crowded += 1.0 / 16
	}
	if m.open && m.inflight == 0 && c.crowded > crowdAt && c.rng.Float64() > keepMost/float64(c.cfg.Routers) {
		m.open = false
		c.out = append(c.out, Action{Kind: ActClose, Host: m.host})
	}
	aims, s := e.Elapsed.Seconds()/r.class.Aim.Seconds(), r.side(m)
	switch e.Code {
	case OK, Miss:
		m.lastAnswer = c.now
	case Error, NoConnection:
		aims, m.open = failure, e.Code == Error
	case ConnectionLost: // if the host is dead, the next will not even connect
		aims, m.open = mishap, false
	case Spoilt:
		aims, m.lastAnswer = mishap, c.now
	case NoAnswer:
		// One alone may be a costly request, at a slow host often; a dead one is silent, or refuses the next.
		if aims = max(1, aims); m.lastAnswer <= a.sent { // else it answered others meanwhile: busy
			aims = mishap
		}
		c.adjust(m, -limitCut)
		c.lost(s)
	case Full: // even the answer cost it something: leave it alone for about an answer's time
		m.restTill = c.now + time.Duration((1+c.rng.Float64())*float64(max(c.latency, lateFloor)))
		c.adjust(m, -limitCut)
		c.press(s, 0.5)
		return
	default:
		return
	}
	if e.Code != Miss {
		c.took(m, aims)
	}
	if e.Code == OK {
		c.latency = smooth(c.latency, e.Elapsed)
		r.class.latency = smooth(r.class.latency, e.Elapsed)
		r.class.work = min(e.Elapsed, r.class.work+max(r.class.work/64, time.Millisecond))
		quick := 0.0
		if e.Elapsed > r.class.Aim*3/4 {
			c.press(s, 0.5)
		} else {
			quick = 1
			s.shed = max(0, s.shed-shedStep)
		}
		s.quick += (quick - s.quick) / 8
		if e.Elapsed > r.class.Aim/2 {
			c.adjust(m, -limitCut)
		} else if float64(m.inflight+1) >= m.limit/2 {
			c.adjust(m, limitStep)
		}
	}
}

func (c *Choice) room(m *member) bool {
	return float64(m.inflight) < m.limit && c.now >= m.restTill
}

// adjust moves a member's in-flight limit. It settles where a sixth of the answers take over half of their
// aim, so queues stay with the routers. Could harm a class whose work alone takes half of its aim.
func (c *Choice) adjust(m *member, by float64) {
	m.limit = max(1, m.limit+by, m.limit*(1+min(0, by)))
	if m.hope *= max(0, 1+min(0, 2*by)); by > 0 { // what held before the start is taken up again by proof
		m.limit = max(m.limit, min(m.hope, 2*m.limit))
	}
}

// press moves the part of a group's requests that is shed: up when answers come late, or not at all while
// those that do are slow: an overload, not a hang. Could harm where slowness is one member's.
func (c *Choice) press(s *side, weight float64) {
	weight *= max(0, 1-shedFrom/float64(c.cfg.Routers))
	s.shed = min(shedMost, s.shed+weight*shedCut*(1-s.shed))
}

// lost notes an attempt that brought no answer in time.
func (c *Choice) lost(s *side) {
	s.quick -= s.quick / 8
	c.press(s, (1-s.quick)*(1-s.quick))
}

func (r *request) side(m *member) *side {
	if m == r.group.primary() || r.class.Read >= Fresh {
		return &r.group.sides[1]
	}
	return &r.group.sides[0]
}

func smooth(old, x time.Duration) time.Duration {
	old = cmp.Or(old, x)
	return old + (x-old)/8
}

// remember keeps a session's last commit. Old ones become a floor that all sessions of the group must meet.
func (c *Choice) remember(g *group, key uint64, at time.Duration) {
	g.commits[key] = max(g.commits[key], at)
	g.order = append(g.order, commit{key, at})
	for len(g.order) > 0 && (len(g.order) > sessionMax || g.order[0].at <= c.now-sessionKeep) {
		old := g.order[0]
		g.order = g.order[1:]
		if g.commits[old.key] <= old.at { // else a later commit of the session stands further back
			g.floor = max(g.floor, old.at)
			delete(g.commits, old.key)
		}
	}
}

// fresh is the position test: has this member proven the position that the read needs?
func (c *Choice) fresh(m *member, r *request) bool {
	return r.class.Read < Fresh && m.position >= c.need(r)
}

// nearly says that a read is worth a try at a member that checks for itself: it may be there, or soon be.
func (c *Choice) nearly(m *member, r *request) bool {
	if c.cfg.Checks == NoChecks {
		return false
	}
	return m.position == 0 || m.position+(c.now-m.heard)+c.cfg.CatchUp/2 >= c.need(r)
}

// need is the position that a read wants of a replica now; 0: any will do.
func (c *Choice) need(r *request) time.Duration {
	switch r.class.Read {
	case Bounded:
		return max(1, c.now-r.class.Bound+margin)
	case Fresh:
		return r.arrived
	}
	return r.need
}

// silent: work lies there and nothing has come back for far longer than is usual for the shortest of it.
func (c *Choice) silent(m *member) bool {
	if m.inflight == 0 || c.now-m.quiet <= silentFloor {
		return false
	}
	usual := time.Duration(math.MaxInt64) / 8
	for i, n := range m.out {
		if n > 0 {
			usual = min(usual, max(c.latency, c.classes[i].latency, lateFloor))
		}
	}
	return c.now-m.quiet > 4*usual
}

// sound says whether a member gets work as usual: not while it is silent, nor while its last attempts failed.
// That fades, so one is tried again every few seconds, with one request at a time until it has done well.
func (c *Choice) sound(m *member) bool {
	return !c.silent(m) && c.cost(m) < avoidAt && (m.took < avoidAt || m.inflight == 0)
}

// ration is how many times its part of what comes in a member may get: a cold one part of the multiple that
// it can stand, of the capacity that it was sure to have when a fall time that ends now began.
func (c *Choice) ration(m *member) float64 {
	age := c.now - m.started
	if m.started == 0 || age >= c.cfg.ColdRamp {
		return math.Inf(1)
	}
	share := c.cfg.ColdFrom + (1-c.cfg.ColdFrom)*float64(max(0, age-c.cfg.FallTime))/float64(c.cfg.ColdRamp)
	return coldShare * max(1, c.cfg.FallFactor) * share
}

// admits is the slow start. The far digits of a request's lot name one replica, and it may go there if the
// lot is below the ration: a cold member gets no more than that of its part, whatever else qualifies, is open
// or fails. At a cold primary writes go first, each with two lots at the most, and reads have what they leave
// of its part. So all routers together stay bounded by what comes in. Harms a group that is cold as a whole.
func (c *Choice) admits(m *member, r *request) bool {
	ration, p := c.ration(m), r.group.primary()
	if math.IsInf(ration, 1) {
		return true
	}
	ms := slices.DeleteFunc(slices.Clone(r.group.members), func(o *member) bool {
		return !o.listed || o == p // those that left are kept for a while, and take no part
	})
	part := 1 / float64(max(1, len(ms)))
	if m != p {
		name := int(math.Mod(r.luck, 1) * math.MaxInt32)
		return float64((name+slices.Index(ms, m))%len(ms))+r.luck < ration
	} else if r.class.Read >= Fresh {
		return r.luck < ration*min(1, part/2/c.writes)
	}
	return r.luck < ration*(part-c.writes)
}

func tried(r *request, m *member) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == m })
}

// cost is what an attempt at a member lately took, in aims of its class; with no recent one, the mean.
func (c *Choice) cost(m *member) float64 {
	return c.meanTook + (m.took-c.meanTook)*max(0, 1-(c.now-m.tookAt).Seconds()/tookKeep)
}

// took notes it, the heavier the longer ago the last one was.
func (c *Choice) took(m *member, aims float64) {
	weight := min(0.5, max(0.125, (c.now-m.tookAt).Seconds()/2))
	m.took, m.tookAt = c.cost(m)+weight*(aims-c.cost(m)), c.now
	c.meanTook += (aims - c.meanTook) / 16
}

// draw picks uniformly two of the members and takes the one with fewer of this router's requests in flight.
// Of many routers no host can afford a connection each, so most draws are among open ones.
func (c *Choice) draw(ms []*member) *member {
	if c.cfg.Routers > shedFrom && c.rng.Float64() >= explore {
		open := slices.DeleteFunc(slices.Clone(ms), func(m *member) bool {
			return c.ration(m) >= 1 && (!m.open || c.now-m.lastSent >= c.cfg.ConnIdle)
		})
		if len(open) > 0 {
			ms = open
		}
	}
	if len(ms) < 2 {
		return append(ms, nil)[0]
	}
	i, j := c.rng.IntN(len(ms)), c.rng.IntN(len(ms)-1)
	if k := slices.IndexFunc(ms, func(m *member) bool { return c.ration(m) < 1 }); k >= 0 {
		i = k // the lot has named it
	}
	if j >= i {
		j++
	}
	m, o := ms[i], ms[j]
	if o.inflight < m.inflight || o.inflight == m.inflight && c.cost(o) < c.cost(m)-farLess {
		return o
	}
	return m
}

// replica chooses for a read: qualifying replicas, those that check for themselves, one that a probe may
// prove, the primary, then members that look bad. nil: nobody now.
func (c *Choice) replica(r *request) *member {
	p := r.group.primary()
	if p != nil && p.hearsay {
		p = nil // no read rests on that; it may be asked, and a write finds out by itself
	}
	var good, near, bad, unknown, doubtful []*member
	busy := false // some replica qualifies but has no room
	for _, m := range r.group.members {
		if !m.listed || m == p || tried(r, m) {
			continue
		}
		sound, fresh := c.sound(m), c.fresh(m, r)
		switch {
		case !c.room(m):
			busy = busy || sound && fresh
		case fresh && sound:
			good = append(good, m)
		case fresh:
			bad = append(bad, m)
		case sound && c.nearly(m, r) && len(r.attempts) == 0:
			near = append(near, m)
		case sound:
			unknown = append(unknown, m)
		default:
			doubtful = append(doubtful, m)
		}
	}
	if r.class.Read == Any { // a long query stops the log: run it where that costs least, the furthest behind
		slices.SortStableFunc(good, func(a, b *member) int { return cmp.Compare(a.position, b.position) })
		if len(good) > 0 && good[0].heard-good[0].position >= c.tightest {
			good = good[:1]
		}
	}
	for _, ms := range []*[]*member{&good, &near, &bad, &unknown, &doubtful} {
		*ms = slices.DeleteFunc(*ms, func(m *member) bool { return !c.admits(m, r) })
	}
	if m := cmp.Or(c.draw(good), c.draw(near)); m != nil {
		return m
	}
	sound := p != nil && c.sound(p)
	if c.ask(r, unknown) || !sound && len(bad) == 0 && c.ask(r, doubtful) {
		return nil
	}
	m := c.draw(bad)
	if p != nil && !c.silent(p) && c.admits(p, r) && float64(p.inflight) < primaryShare*p.limit &&
		!tried(r, p) && (sound || m == nil && !busy) { // suspect or not: there may be no other
		return p
	} else if sound || busy {
		return nil // held: going on by the draw is for when all look bad
	}
	return m
}

// dispatch sends a request on, or leaves it held for the next upkeep, or ends it.
func (c *Choice) dispatch(r *request) {
	late := c.now >= r.deadline-endGuard || // or not to be had in time, and worth nothing late:
		r.class.LateShare == 0 && c.now+min(r.class.latency, (r.aim-r.arrived)*3/4) >= r.aim
	// So is a read that never went out by half of its time: its client has the rest for elsewhere.
	half := r.arrived + (r.deadline-r.arrived)/2 - endGuard
	late = late || r.class.Read != Write && len(r.attempts) == 0 && c.now >= half
	if late || len(r.attempts) >= c.cfg.MaxAttempts || !c.repeatable(r) {
		c.end(r)
		return
	}
	if r.class.Read != Write && r.class.Read != Fresh {
		if m := c.replica(r); m != nil {
			c.send(r, m)
		}
	} else if p := r.group.primary(); p == nil && r.class.Read == Write {
		c.search(r)
	} else if p == nil || p.hearsay && r.class.Read == Fresh {
		for _, m := range r.group.members { // a fresh read waits for the primary: ask who it is
			if c.cfg.Probes && c.cfg.ReportX1 && m.listed && c.now-m.probed >= pause/2 {
				c.ping(m)
			}
		}
	} else if !c.silent(p) && c.room(p) && c.admits(p, r) { // suspect or not: there is no other
		c.send(r, p)
	}
	if r.live == 0 && !r.held {
		r.held = true
		c.held = append(c.held, r)
	}
}

// search lets one write at a time try the members; a miss proves that nothing ran. What was proven a
// replica longest ago comes first, at par by lot, so that routers don't all begin with the same host.
func (c *Choice) search(r *request) {
	g := r.group
	s := g.scout // it searches until its attempt is answered, or lies at a silent member
	if s != nil && s.live > 0 && !c.silent(s.attempts[len(s.attempts)-1].to) || c.now < g.searchAt {
		return
	}
	var next *member
	for _, i := range c.rng.Perm(len(g.members)) {
		m := g.members[i]
		if !m.listed || c.silent(m) || !c.room(m) || !c.admits(m, r) {
			continue
		}
		if next == nil || m.otherAt < next.otherAt || m.otherAt == next.otherAt && m.wasPrimary {
			next = m
		}
	}
	if next != nil && next.otherAt > 0 && next.otherAt >= g.searchFrom { // the round is over
		g.searchFrom, g.searchAt = c.now+searchPause, c.now+searchPause
	} else if next != nil {
		g.scout = r
		c.send(r, next)
	}
}

// Still says whether an attempt that was chosen a while ago may be written now. If not, it is NotSent.
func (c *Choice) Still(now time.Duration, id string, attempt int) bool {
	c.now = max(now, c.now)
	r := c.reqs[id]
	if r == nil || r.over || attempt < 0 || attempt >= len(r.attempts) || c.now >= r.deadline-endGuard {
		return false
	}
	m, p := r.attempts[attempt].to, r.group.primary()
	switch {
	case !m.listed || !c.repeatable(r):
		return false
	case r.class.Read == Write:
		return m == p || p == nil // it may search, a read must know
	}
	return m == p && !p.hearsay || r.class.Read != Fresh && (c.fresh(m, r) || c.nearly(m, r))
}

// Listed says whether new work, probes included, may go to a host.
func (c *Choice) Listed(host string) bool {
	m := c.members[host]
	return m != nil && m.listed
}

func (c *Choice) send(r *request, m *member) {
	var timeout time.Duration
	if r.class.LateShare == 0 {
		timeout = max(r.aim-c.now-endGuard, endGuard)
	}
	if r.class.Effect == Keyed {
		timeout = min(max(8*c.latency, r.class.Aim), r.window-c.now) // what is still queued then must not run
	}
	if m.inflight == 0 {
		m.quiet = c.now
	}
	m.lastSent = c.now
	m.inflight++
	m.out[r.class.index]++
	r.attempts = append(r.attempts, attempt{to: m, sent: c.now, live: true})
	r.live++
	c.out = append(c.out, Action{Kind: ActSend, ID: r.id, Host: m.host, Timeout: timeout, Need: c.need(r)})
}

func (c *Choice) repeatable(r *request) bool {
	switch r.class.Effect {
	case Safe:
		return true
	case Keyed:
		return !r.ran || r.class.Scope != ScopeZone && c.now+max(r.class.latency, lateFloor) < r.window
	}
	return !r.ran
}

// close ends a request and calls off what is still out.
func (c *Choice) close(r *request, kept bool) {
	if k := r.class; !r.again && !r.over {
		k.tries = min(k.tries+1, keptSpan)
		k.kept -= k.kept / k.tries
		if kept {
			k.kept += 1 / k.tries
		}
		if !kept && (c.worst == nil || k.kept < c.worst.kept) {
			c.worst = k
		}
	}
	r.over = true
	for i, a := range r.attempts {
		if a.live && c.cfg.Cancel && r.class.Effect == Safe {
			c.out = append(c.out, Action{Kind: ActCancel, ID: r.id, Attempt: i})
		}
	}
	if r.live == 0 {
		delete(c.reqs, r.id)
	}
}

// end gives the final answer at once: a refusal where a retry is harmless, else a failure.
func (c *Choice) end(r *request) {
	safe := r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Scope == ScopeAll
	if safe || !r.ran && r.live == 0 { // a quick return would come to the same queue, or for nothing: say so
		after := min(2*max(c.latency, lateFloor), c.cfg.MaxRetryAfter)
		if r.class.LateShare == 0 || r.class.Read >= Fresh && r.group.primary() == nil {
			after = c.cfg.MaxRetryAfter
		}
		c.out = append(c.out, Action{Kind: ActRefuse, ID: r.id, After: after})
	} else {
		c.out = append(c.out, Action{Kind: ActFail, ID: r.id})
	}
	c.close(r, false)
}

// value is what a second of work on a request brings; the worst-served class counts once more by itself.
func (c *Choice) value(r *request) float64 {
	worth := r.worth
	if r.class == c.worst && !r.again {
		worth *= 1 + c.cfg.WorstClass*c.asked/r.class.asked
	}
	if c.now+r.class.latency > r.aim {
		worth *= r.class.LateShare
	}
	return worth / max(r.class.work, time.Millisecond).Seconds()
}

func (c *Choice) upkeep() {
	c.tickAt = c.now + max(upkeep, c.cfg.Tick)
	c.held = slices.DeleteFunc(c.held, func(r *request) bool {
		r.held = !r.over && r.live == 0
		return !r.held
	})
	// By value, then newest first: under overload the old ones are the least likely to be in time.
	slices.SortStableFunc(c.held, func(a, b *request) int {
		return cmp.Or(cmp.Compare(c.value(b), c.value(a)), cmp.Compare(b.arrived, a.arrived))
	})
	for _, r := range c.held {
		switch at := c.rng.Float64() * float64(r.deadline-r.arrived); {
		case at < float64(c.tickAt-c.now) && !r.again: // one more lot in its time
			r.luck = c.rng.Float64()
		case c.now >= r.askedAt+askWait: // one that can't be used now is lost: nothing is saved up
			r.luck = 1 + math.Mod(r.luck, 1)
		}
		c.dispatch(r)
	}
	if c.retryAt > 0 && c.now >= c.retryAt {
		c.retryAt = 0
		c.out = append(c.out, Action{Kind: ActSubscribe})
	}
}

// ask lets a read for which no replica is known to qualify wait for the probe of one that may.
func (c *Choice) ask(r *request, ms []*member) bool {
	if r.asked != nil && r.asked.probing && c.now < r.askedAt+askWait {
		return true
	}
	if !c.cfg.Probes || !c.cfg.ReportX0 || c.cfg.Checks != NoChecks || r.asks >= askMost {
		return false
	}
	p := r.group.primary() // with none to fall back on, a read that waits costs more than a probe
	var ranks [hopeless + 1][]*member
	for _, m := range ms {
		if m != r.asked && (m.probing || c.now-m.probed >= askAgain) {
			k := c.behind(m, r)
			ranks[k] = append(ranks[k], m)
		}
	}
	likely := ranks[0]
	if c.rng.Float64() < explore { // else those that are known would keep the others unknown
		likely = append(likely, ranks[1]...)
	}
	for k := 1; len(likely) == 0 && k <= hopeless && (k < hopeless || p == nil); k++ {
		likely = ranks[k]
	}
	m := c.draw(likely)
	if m == nil || !m.probing && c.probes < 1 && p != nil && c.sound(p) {
		return false
	}
	r.asks, r.asked, r.askedAt = r.asks+1, m, c.now
	c.ping(m)
	return true
}

// behind ranks members by how likely a probe shows that they qualify: lately heard of and on pace; not known;
// far behind before this start; too far to have caught up since, though it applied the log twice as fast.
func (c *Choice) behind(m *member, r *request) int {
	since, need := c.now-m.heard, c.need(r)
	switch {
	case m.position == 0 && m.lagged > c.tightest:
		return 2
	case m.position > 0 && m.position+2*since < need:
		return hopeless
	case m.position > 0 && since < paceKnown && m.position+since >= need:
		return 0
	}
	return 1
}

func (c *Choice) ping(m *member) {
	if !m.probing || c.now-m.probed >= probeWait {
		c.probes = max(0, c.probes-1)
		m.probed, m.probing = c.now, true
		c.out = append(c.out, Action{Kind: ActProbe, Host: m.host})
	}
}
