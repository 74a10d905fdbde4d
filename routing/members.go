package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// member is one host of a group, with all that is known of it.
type member struct {
	host                 string
	group                *group
	listed, probePending bool // listed: the endpoint list names it
	active               bool // and it is not draining
	startedAt, removedAt time.Duration
	startToldAt          time.Duration // when it was told
	budget               slowStartBudget
	position, positionAt time.Duration // proven, until an answer disproves it; when it was last confirmed
	roleEvidence
	workload
	score              float64 // smoothed outlier score
	scoredAt, probedAt time.Duration
	restoredFacts
}

// roleEvidence is what a member's role rests on.
type roleEvidence struct {
	primaryAt, notPrimaryAt       time.Duration // latest evidence of being primary, and of not being it
	namedPrimary, reportedReplica bool          // by the endpoint list; by itself, once
	unconfirmedPrimary            bool          // only the list has said otherwise since
}

// workload is what this router has in flight at a member, and how the member copes with it.
type workload struct {
	inFlight           int
	inFlightByClass    []int
	waitingSince       time.Duration // since then work is in flight and nothing came back
	answeredAt, sentAt time.Duration // the last answer and the last attempt
	backoffUntil       time.Duration // it rejected a request
	limit              float64       // of requests in flight
	connected          bool          // a connection was made, and not lost since
}

// group is a primary and its replicas.
type group struct {
	id                           uint64
	members                      []*member                // by host
	searcher                     *request                 // the write that searches for the primary
	searchAfter, searchStartedAt time.Duration            // no search before; the beginning of this round
	commits                      map[uint64]time.Duration // by session
	commitOrder                  []sessionCommit          // oldest first
	commitFloor                  time.Duration            // for sessions without a remembered commit
	admissions                   [2]admission             // of reads at replicas, and at the primary
	clock                        groupClock
	history                      loadHistory
}

func (r *Router) applyTargets(e *TargetsChanged) {
	if e.Full {
		if r.tickAt == 0 && r.cfg.MustSubscribe {
			r.emit(Action{Kind: ActSubscribe})
		}
		listed := make(map[string]bool, len(e.Targets))
		for _, t := range e.Targets {
			listed[t.Host] = true
		}
		for host, m := range r.members {
			if !listed[host] && !r.cfg.IgnoresRemoval {
				r.drain(m)
				m.listed = false
			}
		}
	}
	for _, m := range r.members { // a list may bring back at once what it removed
		if !m.active && m.inFlight == 0 && r.now-m.removedAt > memberRetention {
			r.removeMember(m)
		}
	}
	for i := range e.Targets {
		r.applyTarget(&e.Targets[i])
	}
}

func (r *Router) applyTarget(t *Target) {
	m := r.members[t.Host]
	if m != nil && m.group.id != t.Group { // it holds other data now: nothing known of it counts
		r.removeMember(m)
		m = nil
	}
	if m == nil && t.Removed {
		return
	} else if m == nil {
		m = r.addMember(t)
	}
	r.advanceHistory(m.group)
	if t.Primary && r.cfg.ListNamesPrimary && !m.namedPrimary { // weaker than anything seen since
		isContested := m.reportedReplica && m.primaryAt <= m.notPrimaryAt
		m.unconfirmedPrimary = isContested && r.cfg.Probing.findsRole()
		m.primaryAt = max(m.primaryAt, r.now-maxListDelay, 1)
	}
	m.namedPrimary = t.Primary
	if t.Draining || t.Removed && !r.cfg.IgnoresRemoval { // there a list proves nothing of what runs
		r.drain(m)
	}
	m.listed = !t.Removed
	if t.Draining || t.Removed {
		return
	}
	// What an old process did wrong still counts for a while: it may do so again.
	m.setStart(min(t.StartedAt, r.now), r.now)
	m.active = true
	r.restore(m)
}

// setStart takes the start of a member's process that was told now. Starts only go forward.
func (m *member) setStart(at, now time.Duration) {
	if at > m.startedAt {
		m.startedAt, m.startToldAt = at, now
		m.budget = slowStartBudget{earnedAt: now}
	}
}

func (r *Router) addMember(t *Target) *member {
	g := r.groups[t.Group]
	if g == nil {
		g = &group{id: t.Group, commits: map[uint64]time.Duration{}, commitFloor: r.commitFloor}
		g.admissions[forReplicas].inTimeFraction = initialInTimeFraction
		g.admissions[forPrimary].inTimeFraction = initialInTimeFraction
		r.groups[t.Group] = g
	}
	m := &member{host: t.Host, group: g, removedAt: r.now}
	m.limit, m.inFlightByClass = initialLimit, make([]int, len(r.classes))
	r.members[t.Host] = m
	g.members = append(g.members, m)
	slices.SortFunc(g.members, func(a, b *member) int { return cmp.Compare(a.host, b.host) })
	return m
}

func (r *Router) removeMember(m *member) {
	g := m.group
	m.active = false
	delete(r.members, m.host)
	g.members = slices.DeleteFunc(g.members, func(o *member) bool { return o == m })
	if len(g.members) == 0 {
		delete(r.groups, g.id)
		r.commitFloor = r.now
	}
}

// drain stops all new work for a member at once, inside the grace period.
func (r *Router) drain(m *member) {
	r.advanceHistory(m.group)
	if m.active {
		m.removedAt = r.now
	}
	m.active, m.notPrimaryAt = false, r.now // nor is it the primary, until newer evidence comes
}

// recordEvidence keeps the highest position and the newest evidence of the role, in whatever order they come.
func (r *Router) recordEvidence(m *member, position time.Duration, role Role, at time.Duration) {
	if role == Replica { // this makes more careful, however garbled the rest is
		m.notPrimaryAt, m.reportedReplica = max(m.notPrimaryAt, min(at, r.now)), true
	}
	if role == Primary && position > 0 {
		r.observeClock(m, position)
	}
	if r.isFromTheFuture(m.group, position) {
		return // no host is ahead of its group's clock: garbled
	}
	at = min(at, r.now)
	if position > 0 {
		m.position, m.positionAt = max(m.position, position), r.now
	}
	if role == Primary && at > m.primaryAt {
		m.primaryAt, m.unconfirmedPrimary = at, false
	}
}

// recordAnswer dates an answer, which may be late: a replica may have sent it just now, a primary only since
// the request went out, or as its stamp says.
func (r *Router) recordAnswer(m *member, e *LateAnswer, position time.Duration) {
	at := r.now
	if e.Role == Primary {
		at -= e.Elapsed
		lead := m.group.clock.proven
		if e.Position < r.now+lead+positionMargin { // commits are rounded up
			at = max(at, min(e.Position-lead, r.now))
		}
	}
	r.recordEvidence(m, position, e.Role, at)
}

// recordReport takes a load report. It may be old: its position dates it, but a replica's may stand for long.
func (r *Router) recordReport(m *member, report Report) {
	at := report.Position - m.group.clock.proven
	if at <= 0 || report.Role == Replica {
		at = max(at, r.now-retryBackoff) // undated: older than any report
	}
	r.recordEvidence(m, report.Position, report.Role, at)
}

// outlierScore is what an attempt at a member lately scored; with no recent one, the mean of all members.
func (r *Router) outlierScore(m *member) float64 {
	return r.meanScore + (m.score-r.meanScore)*max(0, 1-(r.now-m.scoredAt).Seconds()/scoreRetention)
}

// recordScore notes the score of an attempt, with the more weight the longer ago the last one was.
func (r *Router) recordScore(m *member, score float64) {
	weight := min(0.5, max(0.125, (r.now-m.scoredAt).Seconds()/2))
	m.score, m.scoredAt = r.outlierScore(m)+weight*(score-r.outlierScore(m)), r.now
	smooth(&r.meanScore, score, scoreSpan)
}

// isSilent: work is in flight and nothing has come back for far longer than is usual for the shortest of it.
func (r *Router) isSilent(m *member) bool {
	if m.inFlight == 0 || r.now-m.waitingSince <= minSilence {
		return false
	}
	usual := time.Duration(math.MaxInt64) / 8
	for i, n := range m.inFlightByClass {
		if n > 0 {
			usual = min(usual, max(r.meanLatency, r.classes[i].latency, minLatency))
		}
	}
	return r.now-m.waitingSince > 4*usual
}

// isHealthy: not silent, no outlier. An outlier is tried again after seconds, with one request at a time.
func (r *Router) isHealthy(m *member) bool {
	return !r.isSilent(m) && r.outlierScore(m) < outlierThreshold &&
		(m.score < outlierThreshold || m.inFlight == 0)
}
