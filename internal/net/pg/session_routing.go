package pg

import (
	"strconv"
	"strings"

	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// reject answers the message being processed with an error before any part of it was sent to a host.
func (c *sessionClient) reject(sqlState, text, detail string) {
	if c.phase = phaseUnlinked; c.server != nil { // the session keeps its connection
		c.phase = phaseLinked
	}
	c.routing.query = nil
	c.front.stats.Rejected++
	c.writeClient(appendError(nil, severityError, sqlState, text, detail))
}

// finishRejected ends a message that was rejected: a query gets its ReadyForQuery, a pipeline is skipped up
// to Sync.
func (c *sessionClient) finishRejected(kind byte) {
	if kind == clientQuery || kind == clientFunctionCall {
		c.writeReady()
	} else {
		c.pipeline.SkipUntilSync()
	}
}

// consumeRejected removes the rejected message from the client's input and ends it.
func (c *sessionClient) consumeRejected() {
	b := c.peekInput()
	_, _, rest, ok, err := nextMessage(b, c.front.limits.Load().MaxMessageBytes)
	if ok && err == nil && c.input.pendingKind != 0 {
		if !c.input.routingPending {
			c.discardInput(len(b) - len(rest))
		}
		c.finishRejected(c.input.pendingKind)
	}
	c.input.pendingKind = 0
}

// routeTransaction starts routing a transaction. query comes from its first message, which is of this kind.
func (c *sessionClient) routeTransaction(query *session.Query, kind byte) {
	f := c.front
	route, err := c.pool.Defaults.Route(query, c.isReadOnlyByDefault())
	if err != nil {
		c.reject(sqlStateProtocolViolation, err.Error(), "")
		c.finishRejected(kind)
		return
	}
	deadline, ok := f.dispatcher.Deadline(route.Class)
	if !ok {
		text := "class " + strconv.Quote(route.Class) + ": " + dispatch.ErrUnknownClass.Error()
		c.reject(sqlStateProtocolViolation, text, "")
		c.finishRejected(kind)
		return
	}
	if len(c.record.replay) == 0 {
		c.tenancy.entry.Reset()
	}
	c.setRoute(&route, query, kind, deadline)
	c.tenancy.entry.Deadline = c.routing.waiter.Deadline
	c.routeByAssignment()
}

// setRoute sets the request by which a transaction is routed. deadline is that of its class.
func (c *sessionClient) setRoute(route *session.Route, query *session.Query, kind byte, deadline float64) {
	f := c.front
	if route.WaitMillis > 0 {
		deadline = route.WaitMillis
	}
	timeout := session.WaitTimeout(route.WaitMillis, c.pool.WaitTimeoutMillis, replyMarginMillis)
	c.routing.readOnly, c.routing.writeClass = route.ReadOnly, f.dispatcher.IsWrite(route.Class)
	arrived := f.clock.Now()
	if len(c.record.replay) > 0 { // a host rejected it before: its deadlines still count from its first arrival
		arrived = c.routing.request.Arrived
	}
	c.routing.waiter.Deadline = arrived + timeout
	c.routing.query = query
	c.phase = phaseRouting
	c.input.pendingKind = kind
	c.routing.route = *route
	c.routing.request = dispatch.Request{
		Class:         route.Class,
		Group:         route.Group,
		Session:       c.sessionKey(route),
		Arrived:       arrived,
		TimeRemaining: max(deadline, timeout),
		MinPosition:   max(route.MinPosition, c.routing.minPosition),
	}
}

// isReadOnlyByDefault reports whether default_transaction_read_only is on in the session.
func (c *sessionClient) isReadOnlyByDefault() bool {
	rendering := c.pipeline.Settings().Rendering("default_transaction_read_only")
	return strings.HasSuffix(rendering, "TO on") || strings.HasSuffix(rendering, "TO true") || strings.HasSuffix(rendering, "'on', false)")
}

// sessionKey returns the key of the session whose commits a read must see: the one in the client's comment,
// or else one for the connection.
func (c *sessionClient) sessionKey(route *session.Route) string {
	if route.SessionKey != "" {
		return route.SessionKey
	}
	return "#" + strconv.FormatUint(uint64(c.number), 36)
}

// pickHost acts on the next routing decision. If there is none yet, a goroutine waits for it.
func (c *sessionClient) pickHost() {
	call := c.routing.call
	if decision, ok := call.TryPick(); ok {
		c.hostPicked(decision)
		return
	}
	f := c.front
	go func() {
		decision := call.Pick()
		f.onLoop(func() {
			if c.routing.call == call && !c.disconnected {
				c.hostPicked(decision)
				if c.phase == phaseLinked || c.phase == phaseUnlinked {
					c.resume()
				}
			}
		})
	}()
}

// hostPicked carries out a routing decision: it takes a server connection, waits for one, rejects the
// transaction, or fails it.
func (c *sessionClient) hostPicked(decision dispatch.Decision) {
	f := c.front
	switch decision.Verdict {
	case dispatch.Send:
	case dispatch.Reject:
		c.rejectRouting(c.rejectionText(textNoHost), decision.RetryAfter)
		return
	case dispatch.Fail:
		c.failRouting("no host answered in time")
		return
	case dispatch.ClientDisconnected:
		c.rejectRouting("no host answered in time", f.limits.Load().RetryAfterMillis)
		return
	}
	if c.server != nil && c.pickedWhileKept(decision) {
		return
	}
	address := f.address(decision.Host)
	if address == "" {
		c.routing.call.Report(dispatch.NotBegunOutcome(dispatch.NoConnection))
		c.pickHost()
		return
	}
	p := f.pool(decision.Host, address, c.identity)
	now := f.clock.Now()
	c.phase = phaseQueued
	if p.queue.Len() == 0 {
		if s := p.takeIdle(c, now); s != nil {
			c.attach(s)
			return
		}
	}
	if !p.queue.Add(&c.routing.waiter, c.pool.Sizes.MaxWaiting) {
		c.routing.call.Finish(dispatch.NotBegunOutcome(dispatch.Rejected))
		c.rejectRouting("all server connections are in use, and as many sessions wait as may", f.limits.Load().RetryAfterMillis)
		return
	}
	p.openForWaiters(f)
}

// endRouting abandons the routing of the transaction.
func (c *sessionClient) endRouting() {
	if call := c.routing.call; call != nil {
		c.routing.call = nil
		call.Abandon()
	}
	c.finishRelease()
}

// failRouting fails the transaction that is being routed and that may have run.
func (c *sessionClient) failRouting(text string) {
	c.endRouting()
	c.reject(sqlStateConnectionFailure, text, "")
	c.consumeRejected()
}

// rejectRouting rejects the transaction that is being routed and of which nothing ran.
func (c *sessionClient) rejectRouting(text string, after float64) {
	c.endRouting()
	c.rejectUntried(stateTooManyConnections, text, formatRetryAfter(after))
	c.consumeRejected()
}

// waitExpired rejects a transaction whose wait for a server connection has reached its deadline.
func (c *sessionClient) waitExpired() {
	if c.disconnected || c.routing.call == nil {
		return
	}
	call := c.routing.call
	c.routing.call = nil
	call.Finish(dispatch.NotBegunOutcome(dispatch.NotSent))
	c.rejectRouting("no server connection was free in time", c.front.limits.Load().RetryAfterMillis)
	c.resume()
}

// retryRouting reports the outcome of an attempt that never ran and asks for another routing decision.
func (c *sessionClient) retryRouting(o dispatch.Outcome) {
	c.routing.waiter.Dequeue()
	if c.disconnected || c.routing.call == nil {
		return
	}
	c.phase = phaseRouting
	c.routing.call.Report(o)
	c.pickHost()
	if !c.input.routingPending && (c.phase == phaseLinked || c.phase == phaseUnlinked) {
		c.resume()
	}
}
