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
	listed, probePending bool          // listed: the endpoint list contains it
	active               bool          // it may get new work, probes included: it is not draining
	startedAt, removedAt time.Duration // when its process started; when it last stopped being active
	startLearnedAt       time.Duration // when the router learned of startedAt
	budget               slowStartBudget
	position, positionAt time.Duration // proven until an answer disproves it; when it was last confirmed
	roleEvidence
	workload
	score              float64       // smoothed outlier score as of scoredAt
	scoredAt, probedAt time.Duration // time of the last score; of the last probe
	restoredFacts
}

// roleEvidence is the evidence about a member's role.
type roleEvidence struct {
	primaryAt, notPrimaryAt time.Duration // latest evidence that it is the primary, and that it is not
	// listedAsPrimary: the endpoint list names it as the primary. reportedReplica: it has reported itself a
	// replica at least once.
	listedAsPrimary, reportedReplica bool
	// unconfirmedPrimary: since it was last known not to be the primary, only the endpoint list has named it.
	unconfirmedPrimary bool
}

// workload is what this router has in flight at a member, and how the member copes with it.
type workload struct {
	inFlight           int
	inFlightByClass    []int         // by the index of the class
	waitingSince       time.Duration // since when requests are in flight and nothing has come back
	answeredAt, sentAt time.Duration // the last answer and the last attempt
	backoffUntil       time.Duration // it rejected a request: no attempts until then
	limit              float64       // of requests in flight
	connected          bool          // a connection was established, and none was lost since
}

// group is a primary and its replicas.
type group struct {
	id                           uint64
	members                      []*member                // sorted by host
	searcher                     *request                 // the write that searches for the primary
	searchAfter, searchStartedAt time.Duration            // no search before; the start of the current round
	commits                      map[uint64]time.Duration // last commit by session
	commitOrder                  []sessionCommit          // oldest first
	commitFloor                  time.Duration            // for sessions without a remembered commit
	admissions                   [2]admission             // of reads at replicas, and at the primary
	clock                        groupClock
	history                      loadHistory
}

// applyTargets applies the endpoint list, or changes to it.
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
	// A removed member is kept for a while, since a list may soon name it again.
	for _, m := range r.members {
		if !m.active && m.inFlight == 0 && r.now-m.removedAt > memberRetention {
			r.removeMember(m)
		}
	}
	for i := range e.Targets {
		r.applyTarget(&e.Targets[i])
	}
}

// applyTarget applies one entry of the endpoint list.
func (r *Router) applyTarget(t *Target) {
	m := r.members[t.Host]
	if m != nil && m.group.id != t.Group { // the host holds other data now: discard what is known of it
		r.removeMember(m)
		m = nil
	}
	if m == nil && t.Removed {
		return
	} else if m == nil {
		m = r.addMember(t)
	}
	r.advanceHistory(m.group)
	// The entry may be up to maxListDelay old, so it is weaker than any evidence seen since then.
	if t.Primary && r.cfg.ListNamesPrimary && !m.listedAsPrimary {
		isContested := m.reportedReplica && m.primaryAt <= m.notPrimaryAt
		m.unconfirmedPrimary = isContested && r.cfg.Probing.findsRole()
		m.primaryAt = max(m.primaryAt, r.now-maxListDelay, 1)
	}
	m.listedAsPrimary = t.Primary
	// With IgnoresRemoval, an entry's removal says nothing about whether the host still runs.
	if t.Draining || t.Removed && !r.cfg.IgnoresRemoval {
		r.drain(m)
	}
	m.listed = !t.Removed
	if t.Draining || t.Removed {
		return
	}
	// Failures of the host's previous process still count for a while: the new one may fail in the same way.
	m.setStart(min(t.StartedAt, r.now), r.now)
	m.active = true
	r.restore(m)
}

// setStart records the start time of a member's process, which was learned now. It never moves back.
func (m *member) setStart(at, now time.Duration) {
	if at > m.startedAt {
		m.startedAt, m.startLearnedAt = at, now
		m.budget = slowStartBudget{refilledAt: now}
	}
}

// addMember adds a member for an entry of the endpoint list, and its group if that is new.
func (r *Router) addMember(t *Target) *member {
	g := r.groups[t.Group]
	if g == nil {
		g = &group{id: t.Group, commits: map[uint64]time.Duration{}, commitFloor: r.commitFloor}
		g.history.init(len(r.classes))
		g.admissions[forReplicas].inTimeFraction = initialInTimeFraction
		g.admissions[forPrimary].inTimeFraction = initialInTimeFraction
		r.groups[t.Group] = g
	}
	// The member is inactive until the caller activates it. If its entry says that it is draining, it stays
	// inactive, and memberRetention counts from now.
	m := &member{host: t.Host, group: g, removedAt: r.now}
	m.limit, m.inFlightByClass = initialLimit, make([]int, len(r.classes))
	r.members[t.Host] = m
	g.members = append(g.members, m)
	slices.SortFunc(g.members, func(a, b *member) int { return cmp.Compare(a.host, b.host) })
	return m
}

// removeMember forgets a member, and its group if it was the last one.
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

// drain stops all new work for a member immediately, within the host's grace period.
func (r *Router) drain(m *member) {
	r.advanceHistory(m.group)
	if m.active {
		m.removedAt = r.now
	}
	m.active, m.notPrimaryAt = false, r.now // it is not the primary either, until newer evidence comes
}

// recordEvidence keeps a member's highest position and the newest evidence of its role, in whatever order
// they arrive.
func (r *Router) recordEvidence(m *member, position time.Duration, role Role, at time.Duration) {
	// To take a member for a replica is the careful choice, so this is believed even if the rest is garbled.
	if role == Replica {
		m.notPrimaryAt, m.reportedReplica = max(m.notPrimaryAt, min(at, r.now)), true
	}
	if role == Primary && position > 0 {
		r.observeClock(m, position)
	}
	if r.isAheadOfGroupClock(m.group, position) {
		return // no host is ahead of its group's clock: the report is garbled
	}
	at = min(at, r.now)
	if position > 0 {
		m.position, m.positionAt = max(m.position, position), r.now
	}
	if role == Primary && at > m.primaryAt {
		m.primaryAt, m.unconfirmedPrimary = at, false
	}
}

// recordAnswer records an answer, which may arrive late, with the time at which its role held. A replica's
// role counts as of now. A primary's counts as of when the attempt was sent, or as of the answer's position
// if that is later.
func (r *Router) recordAnswer(m *member, e *LateAnswer, position time.Duration) {
	at := r.now
	if e.Role == Primary {
		at -= e.Elapsed
		lead := m.group.clock.provenLead
		if e.Position < r.now+lead+positionMargin { // a commit's position is rounded up
			at = max(at, min(e.Position-lead, r.now))
		}
	}
	r.recordEvidence(m, position, e.Role, at)
}

// recordReport records a load report, which may be old. Its position tells when it was made, except for a
// replica, whose position may stand still for long.
func (r *Router) recordReport(m *member, report Report) {
	at := report.Position - m.group.clock.provenLead
	if at <= 0 || report.Role == Replica {
		at = max(at, r.now-retryBackoff) // no usable time: count it as older than any report
	}
	r.recordEvidence(m, report.Position, report.Role, at)
}

// outlierScore returns a member's smoothed score. While no attempt is scored, it decays to the mean of all
// members over scoreRetention.
func (r *Router) outlierScore(m *member) float64 {
	return r.meanScore + (m.score-r.meanScore)*max(0, 1-(r.now-m.scoredAt).Seconds()/scoreRetention)
}

// recordScore adds the score of an attempt to a member's smoothed score. Its weight grows with the time since
// the last one.
func (r *Router) recordScore(m *member, score float64) {
	weight := min(0.5, max(0.125, (r.now-m.scoredAt).Seconds()/2))
	m.score, m.scoredAt = r.outlierScore(m)+weight*(score-r.outlierScore(m)), r.now
	smooth(&r.meanScore, score, scoreSpan)
}

// isSilent reports whether requests are in flight at a member and nothing has come back for more than four
// times the usual latency of the fastest class among them.
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

// isHealthy reports whether a member is neither silent nor an outlier. An outlier is tried again after some
// seconds, with one request at a time.
func (r *Router) isHealthy(m *member) bool {
	return !r.isSilent(m) && r.outlierScore(m) < outlierThreshold &&
		(m.score < outlierThreshold || m.inFlight == 0)
}
