package pg

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// Assignments says where databases are, by the rules that count at a moment. It is asked on the event loop, where a transaction
// begins and again just before it is sent, so it must neither wait nor allocate.
type Assignments interface {
	Assignment(database string, now float64) session.Assignment
}

// What a host says where its guard refuses a write before it does anything, since the tenant is closed there.
const (
	sqlStateTenantClosed = "55000"
	tenantClosedMessage  = "tenant is closed"
)

// maxResumedPerTurn is how many held transactions go on, or are refused, in one turn of the loop: others are served between.
const maxResumedPerTurn = 256

// SetAssignments says whom to ask; it is called before the first client comes. Without it no transaction asks.
func (f *SessionFront) SetAssignments(h Assignments) {
	f.assignments, f.tenants, f.resumeQueued = h, session.NewTenants(), map[*session.Tenant]bool{}
}

// ReassignTenants says that the rules changed: what was chosen and not sent is chosen anew, what is held may go, and who is bound
// to a connection of a home that is none any more is told.
func (f *SessionFront) ReassignTenants() {
	if f.assignments != nil {
		f.onLoop(f.reassignTenants)
	}
}

func (f *SessionFront) reassignTenants() {
	var anew []*sessionClient
	for c := range f.clients {
		switch {
		case c.disconnected || c.tenant == nil:
		case (c.phase == phaseRouting || c.phase == phaseQueued) && !c.isAssignmentCurrent():
			anew = append(anew, c)
		case c.phase == phaseLinked && c.server != nil && c.countedRetained && c.call == nil && !c.transactionBegun && c.pipeline.Idle() && c.wire.BufferedBytes() == 0 && c.isAssignmentMoved():
			if c.leaveMovedHost(c.server) == gnet.Close {
				c.wire.Close()
			}
		}
	}
	slices.SortFunc(anew, func(a, b *sessionClient) int { return cmp.Compare(a.request.Arrived, b.request.Arrived) })
	for _, c := range anew {
		if !c.disconnected && (c.phase == phaseRouting || c.phase == phaseQueued) && c.call != nil {
			c.rerouteUnsent()
		}
	}
	for _, t := range f.tenants.All() {
		f.releaseQueued(t)
	}
}

// resumeQueued lets those held of a tenant go on that may.
func (f *SessionFront) releaseQueued(t *session.Tenant) {
	for range maxResumedPerTurn {
		x := f.tenants.Next(t, f.assignments.Assignment(t.Database, f.clock.Now()))
		if x == nil {
			return
		}
		x.Owner.(*sessionClient).resumeQueued()
	}
	f.scheduleRelease(t)
}

// scheduleRelease is resumeQueued in the loop's next turn: whoever calls it may be in the middle of something.
func (f *SessionFront) scheduleRelease(t *session.Tenant) {
	if f.resumeQueued[t] {
		return
	}
	f.resumeQueued[t] = true
	f.onLoop(func() {
		delete(f.resumeQueued, t)
		f.releaseQueued(t)
	})
}

// scheduleExpiry sees to it that those whose time is over are refused then: a sweep would come too late for their clients.
func (f *SessionFront) scheduleExpiry() {
	at, ok := f.tenants.NextDeadline()
	if !ok || f.nextExpiry > 0 && f.nextExpiry <= at {
		return
	}
	f.nextExpiry = at
	wait := max(time.Millisecond, clock.Duration(at-f.clock.Now()))
	if f.expiryTimer == nil {
		f.expiryTimer = time.AfterFunc(wait, func() { f.onLoop(f.expireQueued) })
	} else {
		f.expiryTimer.Reset(wait)
	}
}

func (f *SessionFront) expireQueued() {
	f.nextExpiry = 0
	now := f.clock.Now()
	for range maxResumedPerTurn {
		x, err := f.tenants.NextExpired(now)
		if x == nil {
			break
		}
		c := x.Owner.(*sessionClient)
		c.rejectRouting(err.Error(), f.limits.Load().RetryAfterMillis)
		c.resume()
	}
	f.scheduleExpiry()
}

// queueBounds are what may be held for a pool.
func (f *SessionFront) queueBounds(p *PoolSettings) session.TenantQueueLimits {
	l := f.limits.Load()
	return session.TenantQueueLimits{PerTenant: p.MaxPausedTransactions, Total: l.MaxPausedTransactions, BytesPerTenant: l.Bytes / 4, TotalBytes: l.Bytes / 2, MaxPauseMillis: p.MaxPauseMillis}
}

// isAssignmentCurrent says whether the home that the transaction was chosen for is what the rules say now.
func (c *sessionClient) isAssignmentCurrent() bool {
	f := c.front
	return f.assignments == nil || f.assignments.Assignment(c.identity.database, f.clock.Now()).Equal(c.assignment)
}

// isAssignmentMoved says whether the home is another than that of the connection which the session keeps.
func (c *sessionClient) isAssignmentMoved() bool {
	f := c.front
	if f.assignments == nil {
		return false
	}
	h := f.assignments.Assignment(c.identity.database, f.clock.Now())
	if h.Paused || h.Undecided {
		return false
	}
	group, err := h.GroupFor(c.identity.database, &c.routeDecision)
	return err != nil || group != c.request.Group
}

// leaveMovedHost parts a session from the connection that it keeps, between transactions, since the database has moved. What binds
// it to the connection can't go with it, and one that waits for a notification would never hear that it is in vain.
func (c *sessionClient) leaveMovedHost(s *serverConn) gnet.Action {
	if cause := c.pipeline.StickyCause(); cause != "" {
		return c.closeWithError(sqlStateAdminShutdown, "the database has moved to another home, and the session's "+string(cause)+" can't go with it; connect again", "")
	}
	c.leaveDrainingHost(s)
	return gnet.None
}

// checkRetainedServer takes the first message of a transaction that is to begin on the connection which the session keeps. done: it
// was answered; waits: the tenant is paused; messageLinked: it goes on, there or, where the session was parted from the
// connection, elsewhere.
func (c *sessionClient) checkRetainedServer(kind byte) (disposition, gnet.Action) {
	f := c.front
	if c.isAssignmentMoved() {
		act := c.leaveMovedHost(c.server)
		if c.disconnected {
			return messageAnswered, act
		}
		return messageLinked, gnet.None
	}
	now := f.clock.Now()
	if !c.queueEntry.IsReleased() {
		c.queueEntry.Reset()
		c.queueEntry.Deadline = now + c.pool.WaitTimeoutMillis
	}
	c.queueEntry.Bytes, c.queueEntry.MaxInFlight = c.waitingBytes(), c.pool.Sizes.MaxConnections
	held, err := f.tenants.Admit(now, c.tenant, f.assignments.Assignment(c.identity.database, now), &c.queueEntry, f.queueBounds(c.pool))
	switch {
	case held:
		c.pendingKind, c.phase = kind, phaseTenantPaused
		f.scheduleExpiry()
		return messageWaiting, gnet.None
	case err != nil:
		c.finishRelease()
		c.reject(sqlStateTooManyConnections, err.Error(), f.retryAfter())
		c.finishRejected(kind)
		return messageAnswered, gnet.None
	}
	c.finishRelease()
	return messageLinked, gnet.None
}

// waitingBytes is how many bytes of the client's wait here.
func (c *sessionClient) waitingBytes() int { return c.wire.BufferedBytes() + len(c.replay) }

// resumeQueued goes on with a transaction that was held, by what the rules say now.
func (c *sessionClient) resumeQueued() {
	if c.server != nil {
		c.phase = phaseLinked
		c.resume()
		return
	}
	c.phase = phaseRouting
	c.routeByAssignment()
	if c.phase == phaseLinked || c.phase == phaseUnlinked {
		c.resume()
	}
}

// finishRelease says that the transaction is at its host, or over.
func (c *sessionClient) finishRelease() {
	if f := c.front; f.assignments != nil && f.tenants.Complete(c.tenant, &c.queueEntry) {
		f.scheduleRelease(c.tenant)
	}
}

// dequeue takes the transaction out of what is held.
func (c *sessionClient) dequeue() {
	if f := c.front; f.assignments != nil && c.tenant != nil {
		c.finishRelease()
		f.tenants.Remove(c.tenant, &c.queueEntry)
	}
}

// routeByAssignment asks where the tenant is and goes on from there: a host is chosen, or the transaction is held or refused.
func (c *sessionClient) routeByAssignment() {
	f := c.front
	if f.assignments != nil {
		now := f.clock.Now()
		h := f.assignments.Assignment(c.identity.database, now)
		c.queueEntry.Bytes, c.queueEntry.MaxInFlight = c.waitingBytes(), c.pool.Sizes.MaxConnections
		held, refused := f.tenants.Admit(now, c.tenant, h, &c.queueEntry, f.queueBounds(c.pool))
		if held {
			c.phase = phaseTenantPaused
			f.scheduleExpiry()
			return
		}
		if refused != nil {
			c.rejectRouting(refused.Error(), f.limits.Load().RetryAfterMillis)
			return
		}
		group, err := h.GroupFor(c.identity.database, &c.routeDecision)
		if err != nil {
			c.finishRelease()
			c.reject(sqlStateProtocolViolation, err.Error(), "")
			c.consumeRejected()
			return
		}
		c.assignment, c.request.Group = h, group
		c.discardRecorded()
		c.recording = h.HasGroup && len(c.replay) == 0
	}
	call, err := f.dispatcher.Begin(c.request)
	if err != nil {
		c.finishRelease()
		c.reject(sqlStateProtocolViolation, err.Error(), "")
		c.consumeRejected()
		return
	}
	c.call = call
	c.pickHost()
}

// rerouteUnsent chooses again for a transaction of which nothing was sent, since its tenant's home is another by now.
func (c *sessionClient) rerouteUnsent() {
	c.waiter.Dequeue()
	call := c.call
	c.call = nil
	call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
	c.phase = phaseRouting
	c.routeByAssignment()
	if !c.handlingMessage && (c.phase == phaseLinked || c.phase == phaseUnlinked) {
		c.resume()
	}
}

// recordMessage keeps a copy of what is sent of a transaction's first statement, for the case that the host turns it away since the
// tenant is closed there.
func (c *sessionClient) recordMessage(kind byte, body, whole []byte) {
	f := c.front
	ok := true
	switch kind {
	case 'Q', 'E':
		c.recordedStatements++
	case 'P':
		ok = len(body) > 0 && body[0] == 0
	case 'B', 'D', 'S':
	default:
		ok = false
	}
	if !ok || c.recordedStatements > 1 || len(c.recorded)+len(whole) > maxBufferedMessageBytes || f.recordedBytes+len(whole) > f.limits.Load().Bytes/4 {
		c.discardRecorded()
		return
	}
	if len(c.recorded) == 0 {
		c.nothingAnswered = true
	}
	c.recorded = append(c.recorded, whole...)
	f.recordedBytes += len(whole)
}

// discardRecorded forgets it.
func (c *sessionClient) discardRecorded() {
	c.front.recordedBytes -= len(c.recorded)
	if c.recorded, c.recordedStatements, c.recording = c.recorded[:0], 0, false; cap(c.recorded) > 4<<10 { // most statements are shorter
		c.recorded = nil
	}
}

// isTenantClosedError says whether an error is the guard's refusal of a statement that may be run again: it raised before anything was
// written, the statement's transaction is its own, and the client has heard nothing of it.
func (c *sessionClient) isTenantClosedError(state, text string) bool {
	return c.recording && c.nothingAnswered && c.call != nil && state == sqlStateTenantClosed && text == tenantClosedMessage && c.pipeline.Status() == 'I' && !c.pipeline.InBlock() &&
		c.isReplayable()
}

// isReplayable says whether what is kept runs as a whole or not at all.
func (c *sessionClient) isReplayable() bool {
	for b := c.recorded; len(b) > 0; {
		kind, body, rest, ok, err := nextMessage(b, maxBufferedMessageBytes)
		if err != nil || !ok {
			return false
		}
		switch kind {
		case 'Q':
			s, _, ok := cutString(body)
			return ok && session.IsRetryable(s)
		case 'B':
			_, name, _, ok := cutTwoStrings(body)
			p := c.pipeline.Find(name)
			return ok && p != nil && session.IsRetryable(p.Text)
		}
		b = rest
	}
	return false
}

// replayElsewhere brings a transaction that a host turned away back to where it was before it was chosen for: it goes where the rules
// say by now, or waits until they say something else. s is nil where the connection is gone.
func (c *sessionClient) replayElsewhere(s *serverConn) {
	f := c.front
	call := c.call
	c.call = nil
	call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
	c.finishRelease()
	c.queueEntry.MarkRejected(c.assignment)
	f.stats.RejectedByHost++
	f.recordedBytes -= len(c.recorded)
	c.replay, c.recorded, c.recording, c.recordedStatements = c.recorded, nil, false, 0
	c.phase = phaseUnlinked
	if s != nil {
		c.unlinkServer(s)
		s.returnToPool()
	}
	if c.cancelRequested { // it was cancelled before its host had said all
		c.cancelRequested, c.pendingKind = false, c.replay[0]
		c.rejectCancelled()
	}
	c.resume()
}

// peekInput is what the client sent that was not taken: first what is to be sent again.
func (c *sessionClient) peekInput() []byte {
	if len(c.replay) > 0 {
		return c.replay
	}
	return c.wire.Peek()
}

// discardInput takes n bytes of what peek returned.
func (c *sessionClient) discardInput(n int) {
	c.readAhead = readAhead{}
	if len(c.replay) == 0 {
		c.wire.Discard(n)
	} else if c.replay = c.replay[n:]; len(c.replay) == 0 {
		c.replay = nil
	}
}

// TenantStats are of one database that has sessions here.
type TenantStats struct {
	Database    string        `json:"database"`
	Group       *uint64       `json:"home,omitempty"` // nil: each pool's own group, or none that is agreed on
	Fenced      bool          `json:"fenced,omitempty"`
	State       string        `json:"state"` // open, paused or fenced
	PausedSince float64       `json:"paused_since,omitempty"`
	Sessions    int           `json:"sessions"`
	Running     int           `json:"running"` // transactions
	Queued      int           `json:"held"`
	InFlight    int           `json:"going"` // let go, and not at a host yet
	Released    uint64        `json:"let_go"`
	Rejected    uint64        `json:"refused"`
	Sticky      []StickyStats `json:"bound,omitempty"`
}

// StickyStats are the sessions of a pool that are bound to connections of one host.
type StickyStats struct {
	Pool     string `json:"pool"`
	Host     string `json:"host"`
	Cause    string `json:"cause"`
	Sessions int    `json:"sessions"`
}

// Describe words a home for operators.
func (h *TenantStats) Describe(of session.Assignment) {
	if h.State = "open"; of.Paused {
		h.State, h.PausedSince = "paused", of.PausedSince
	} else if of.Undecided {
		h.State = "fenced"
	}
	if h.Fenced = of.Undecided; of.HasGroup && !of.Undecided {
		h.Group = &of.Group
	}
}

// TenantStats are the databases that have sessions here.
func (f *SessionFront) TenantStats() []TenantStats {
	if f.assignments == nil || f.eventLoop.Load() == nil {
		return nil
	}
	out := make(chan []TenantStats, 1)
	f.onLoop(func() { out <- f.collectTenantStats() })
	select {
	case all := <-out:
		return all
	case <-time.After(time.Second):
		return nil
	}
}

func (f *SessionFront) collectTenantStats() (all []TenantStats) {
	at := map[string]int{}
	now := f.clock.Now()
	for _, t := range f.tenants.All() {
		h := TenantStats{Database: t.Database, Sessions: t.Sessions(), Queued: t.Queued(), InFlight: t.InFlight(), Released: t.Released, Rejected: t.Rejected}
		h.Describe(f.assignments.Assignment(t.Database, now))
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b TenantStats) int { return strings.Compare(a.Database, b.Database) })
	for i := range all {
		at[all[i].Database] = i
	}
	for c := range f.clients {
		if c.tenant == nil || c.server == nil {
			continue
		}
		h := &all[at[c.tenant.Database]]
		if c.call != nil || !c.pipeline.Idle() {
			h.Running++
		}
		if !c.countedRetained {
			continue
		}
		b := StickyStats{Pool: c.pool.Name, Host: c.server.pool.host.name, Cause: string(c.pipeline.StickyCause())}
		if b.Cause == "" {
			b.Cause = "session mode"
		}
		if i := slices.IndexFunc(h.Sticky, func(o StickyStats) bool { o.Sessions = 0; return o == b }); i >= 0 {
			h.Sticky[i].Sessions++
		} else {
			b.Sessions = 1
			h.Sticky = append(h.Sticky, b)
		}
	}
	for i := range all {
		slices.SortFunc(all[i].Sticky, func(a, b StickyStats) int {
			return strings.Compare(a.Pool+"\x00"+a.Host+"\x00"+a.Cause, b.Pool+"\x00"+b.Host+"\x00"+b.Cause)
		})
	}
	return all
}
