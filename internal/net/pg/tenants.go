package pg

import (
	"cmp"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// Assignments looks up the group to which a database is assigned, by the rules in force at a given time. It is
// called on the event loop when a transaction begins and again just before it is sent, so it must neither block
// nor allocate.
type Assignments interface {
	Assignment(database string, now float64) session.Assignment
}

// The error of a host whose guard rejects a write before executing it, because the tenant is closed on this
// host.
const (
	sqlStateTenantClosed = "55000"
	tenantClosedMessage  = "tenant is closed"
)

// maxResumedPerTurn is how many queued transactions are resumed or rejected in one task of the event loop, so
// that other clients are served in between.
const maxResumedPerTurn = 256

// tenantQueues holds the queued transactions of the databases that the front's sessions use. It is confined to
// the event loop.
type tenantQueues struct {
	assignments      Assignments // nil if there are none: each pool's own group applies
	tenants          *session.Tenants
	releaseScheduled map[*session.Tenant]bool
	recordedBytes    int // size of the first statements that are recorded for replay
	expiryTimer      *time.Timer
	nextExpiry       float64 // clock milliseconds at which expiryTimer fires; 0 if it is not set
}

// SetAssignments sets the source of assignments. It must be called before the first client connects. Without
// it, each pool's own group applies.
func (f *SessionFront) SetAssignments(assignments Assignments) {
	f.tenancy.assignments, f.tenancy.tenants, f.tenancy.releaseScheduled = assignments, session.NewTenants(), map[*session.Tenant]bool{}
}

// ReassignTenants applies changed assignments: transactions of which nothing was sent are routed again, queued
// transactions may be released, and sticky sessions on connections to a group that their database has left are
// closed.
func (f *SessionFront) ReassignTenants() {
	if f.tenancy.assignments != nil {
		f.onLoop(f.reassignTenants)
	}
}

// reassignTenants runs ReassignTenants on the event loop. Transactions that wait for a host to be chosen or for a
// server connection, and whose assignment is no longer in force, are routed again in their order of arrival.
// Sessions that keep an idle connection to a group which their database has left give it up, or are closed if
// they are sticky. Then the queued transactions that may proceed now are released.
func (f *SessionFront) reassignTenants() {
	var stale []*sessionClient
	for c := range f.clients.all {
		switch {
		case c.disconnected || c.tenancy.tenant == nil:
		case (c.phase == phaseRouting || c.phase == phaseQueued) && !c.isAssignmentCurrent():
			stale = append(stale, c)
		case c.retainsIdleServer() && c.isAssignmentMoved():
			if c.abandonMovedHost(c.server) == gnet.Close {
				c.wire.Close()
			}
		}
	}
	slices.SortFunc(stale, func(a, b *sessionClient) int {
		return cmp.Compare(a.routing.request.Arrived, b.routing.request.Arrived)
	})
	for _, c := range stale {
		if !c.disconnected && (c.phase == phaseRouting || c.phase == phaseQueued) && c.routing.call != nil {
			c.rerouteUnsent()
		}
	}
	for _, t := range f.tenancy.tenants.All() {
		f.releaseQueued(t)
	}
}

// retainsIdleServer reports whether the client keeps its server connection between transactions and no
// transaction is running.
func (c *sessionClient) retainsIdleServer() bool {
	return c.phase == phaseLinked && c.server != nil && c.retention.counted && c.routing.call == nil &&
		!c.retention.transactionBegun && c.pipeline.Idle() && c.wire.BufferedBytes() == 0
}

// releaseQueued resumes the queued transactions of a tenant that may proceed.
func (f *SessionFront) releaseQueued(t *session.Tenant) {
	for range maxResumedPerTurn {
		queued := f.tenancy.tenants.Next(t, f.tenancy.assignments.Assignment(t.Database, f.clock.Now()))
		if queued == nil {
			return
		}
		queued.Owner.(*sessionClient).resumeQueued()
	}
	f.scheduleRelease(t)
}

// scheduleRelease calls releaseQueued in a later task of the event loop, because the caller may be in the
// middle of another operation.
func (f *SessionFront) scheduleRelease(t *session.Tenant) {
	if f.tenancy.releaseScheduled[t] {
		return
	}
	f.tenancy.releaseScheduled[t] = true
	f.onLoop(func() {
		delete(f.tenancy.releaseScheduled, t)
		f.releaseQueued(t)
	})
}

// scheduleExpiry sets the timer that rejects queued transactions at their deadline. A periodic sweep would be
// too late for their clients.
func (f *SessionFront) scheduleExpiry() {
	deadline, ok := f.tenancy.tenants.NextDeadline()
	if !ok || f.tenancy.nextExpiry > 0 && f.tenancy.nextExpiry <= deadline {
		return
	}
	f.tenancy.nextExpiry = deadline
	wait := max(time.Millisecond, clock.Duration(deadline-f.clock.Now()))
	if f.tenancy.expiryTimer == nil {
		f.tenancy.expiryTimer = time.AfterFunc(wait, func() { f.onLoop(f.expireQueued) })
	} else {
		f.tenancy.expiryTimer.Reset(wait)
	}
}

// expireQueued rejects the queued transactions whose wait is over, and then continues with the input of their
// clients. err is the reason that the client of the transaction gets. At most maxResumedPerTurn transactions are
// rejected at once; the timer is set again for the rest.
func (f *SessionFront) expireQueued() {
	f.tenancy.nextExpiry = 0
	now := f.clock.Now()
	for range maxResumedPerTurn {
		expired, err := f.tenancy.tenants.NextExpired(now)
		if expired == nil {
			break
		}
		c := expired.Owner.(*sessionClient)
		c.rejectRouting(err.Error(), f.limits.Load().RetryAfterMillis)
		c.resume()
	}
	f.scheduleExpiry()
}

// queueLimits returns the limits on the transactions that may be queued for a pool.
func (f *SessionFront) queueLimits(p *PoolSettings) session.TenantQueueLimits {
	l := f.limits.Load()
	return session.TenantQueueLimits{PerTenant: p.MaxPausedTransactions, Total: l.MaxPausedTransactions, BytesPerTenant: l.MaxBytes / 4, TotalBytes: l.MaxBytes / 2, MaxPauseMillis: p.MaxPauseMillis}
}

// isAssignmentCurrent reports whether the assignment by which the transaction was routed is still in force. It is
// for a transaction of which nothing was sent: any change that Assignment.Equal detects, also a pause, makes it
// false. For a connection that the session keeps between transactions see isAssignmentMoved.
func (c *sessionClient) isAssignmentCurrent() bool {
	f := c.front
	return f.tenancy.assignments == nil || f.tenancy.assignments.Assignment(c.identity.database, f.clock.Now()).Equal(c.tenancy.assignment)
}

// isAssignmentMoved reports whether the database is now assigned to another group than that of the connection
// which the session keeps. Unlike isAssignmentCurrent, it compares the groups alone, and it returns false while
// the tenant is paused or its group is undecided. An error of GroupFor counts as moved.
func (c *sessionClient) isAssignmentMoved() bool {
	f := c.front
	if f.tenancy.assignments == nil {
		return false
	}
	assignment := f.tenancy.assignments.Assignment(c.identity.database, f.clock.Now())
	if assignment.Paused || assignment.Undecided {
		return false
	}
	group, err := assignment.GroupFor(c.identity.database, &c.routing.route)
	return err != nil || group != c.routing.request.Group
}

// abandonMovedHost releases the connection that a session keeps between transactions, because the database has
// moved to another group. A sticky session is closed instead: its state on the connection can't be moved, and a
// session that waits for a notification would otherwise wait forever without an error.
func (c *sessionClient) abandonMovedHost(s *serverConn) gnet.Action {
	if cause := c.pipeline.StickyCause(); cause != "" {
		return c.closeWithError(sqlStateAdminShutdown, "the database has moved to another home, and the session's "+string(cause)+" can't go with it; connect again", "")
	}
	c.abandonDrainingHost(s)
	return gnet.None
}

// checkRetainedServer handles the first message of a transaction that would begin on the connection which the
// session keeps. It returns messageAnswered if the message was answered, and messageWaiting if the transaction
// is queued because the tenant is paused. It returns messageLinked if the transaction proceeds, on this
// connection or, if the session had to release it, on another one.
func (c *sessionClient) checkRetainedServer(kind byte) (disposition, gnet.Action) {
	f := c.front
	if c.isAssignmentMoved() {
		action := c.abandonMovedHost(c.server)
		if c.disconnected {
			return messageAnswered, action
		}
		return messageLinked, gnet.None
	}
	now := f.clock.Now()
	if !c.tenancy.entry.IsReleased() {
		c.tenancy.entry.Reset()
		c.tenancy.entry.Deadline = now + c.pool.WaitTimeoutMillis
	}
	c.tenancy.entry.Bytes, c.tenancy.entry.MaxInFlight = c.waitingBytes(), c.pool.Sizes.MaxConnections
	queued, err := f.tenancy.tenants.Admit(now, c.tenancy.tenant, f.tenancy.assignments.Assignment(c.identity.database, now), &c.tenancy.entry, f.queueLimits(c.pool))
	switch {
	case queued:
		c.input.pendingKind, c.phase = kind, phaseTenantPaused
		f.scheduleExpiry()
		return messageWaiting, gnet.None
	case err != nil:
		c.finishRelease()
		c.rejectUntried(stateTooManyConnections, err.Error(), f.retryAfter())
		c.finishRejected(kind)
		return messageAnswered, gnet.None
	}
	c.finishRelease()
	return messageLinked, gnet.None
}

// waitingBytes returns the size of the client's buffered input and of its statements recorded for replay.
func (c *sessionClient) waitingBytes() int { return c.wire.BufferedBytes() + len(c.record.replay) }

// resumeQueued resumes a queued transaction by the assignment now in force.
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

// finishRelease records that a released transaction has reached its host or has ended.
func (c *sessionClient) finishRelease() {
	if f := c.front; f.tenancy.assignments != nil && f.tenancy.tenants.Complete(c.tenancy.tenant, &c.tenancy.entry) {
		f.scheduleRelease(c.tenancy.tenant)
	}
}

// dequeue removes the transaction from its tenant's queue.
func (c *sessionClient) dequeue() {
	if f := c.front; f.tenancy.assignments != nil && c.tenancy.tenant != nil {
		c.finishRelease()
		f.tenancy.tenants.Remove(c.tenancy.tenant, &c.tenancy.entry)
	}
}

// routeByAssignment looks up the tenant's group and, depending on its state, picks a host in it, or queues or
// rejects the transaction.
func (c *sessionClient) routeByAssignment() {
	f := c.front
	if f.tenancy.assignments != nil {
		now := f.clock.Now()
		assignment := f.tenancy.assignments.Assignment(c.identity.database, now)
		c.tenancy.entry.Bytes, c.tenancy.entry.MaxInFlight = c.waitingBytes(), c.pool.Sizes.MaxConnections
		queued, rejection := f.tenancy.tenants.Admit(now, c.tenancy.tenant, assignment, &c.tenancy.entry, f.queueLimits(c.pool))
		if queued {
			c.phase = phaseTenantPaused
			f.scheduleExpiry()
			return
		}
		if rejection != nil {
			c.rejectRouting(rejection.Error(), f.limits.Load().RetryAfterMillis)
			return
		}
		group, err := assignment.GroupFor(c.identity.database, &c.routing.route)
		if err != nil {
			c.finishRelease()
			c.reject(sqlStateProtocolViolation, err.Error(), "")
			c.consumeRejected()
			return
		}
		c.tenancy.assignment, c.routing.request.Group = assignment, group
		c.discardRecorded()
		c.record.active = assignment.HasGroup && len(c.record.replay) == 0
	}
	c.beginCall()
}

// beginCall asks the router for a decision on the transaction whose request was set, and carries it out.
func (c *sessionClient) beginCall() {
	call, err := c.front.dispatcher.Begin(c.routing.request)
	if err != nil {
		c.finishRelease()
		c.reject(sqlStateProtocolViolation, err.Error(), "")
		c.consumeRejected()
		return
	}
	c.routing.call = call
	c.pickHost()
}

// rerouteUnsent routes a transaction again of which nothing was sent, because its tenant is now assigned to
// another group.
func (c *sessionClient) rerouteUnsent() {
	c.routing.waiter.Dequeue()
	call := c.routing.call
	c.routing.call = nil
	call.Finish(dispatch.NotBegunOutcome(dispatch.NotSent))
	c.phase = phaseRouting
	c.routeByAssignment()
	if !c.input.routingPending && (c.phase == phaseLinked || c.phase == phaseUnlinked) {
		c.resume()
	}
}
