package pg

import (
	"strconv"
	"strings"

	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// reject gives an error to the message under way, where there is no server connection: nothing of it ran.
func (c *sessionClient) reject(sqlState, text, detail string) {
	if c.phase = phaseUnlinked; c.server != nil { // it keeps its connection
		c.phase = phaseLinked
	}
	c.routing.query = nil
	c.front.stats.Rejected++
	c.writeClient(appendError(nil, severityError, sqlState, text, detail))
}

// finishRejected ends a message that was rejected: a query has its ReadyForQuery, a pipeline is skipped up to Sync.
func (c *sessionClient) finishRejected(kind byte) {
	if kind == clientQuery || kind == clientFunctionCall {
		c.writeReady()
	} else {
		c.pipeline.SkipUntilSync()
	}
}

// consumeRejected takes the message that was rejected out of what the client sent.
func (c *sessionClient) consumeRejected() {
	b := c.peekInput()
	_, _, rest, ok, err := nextMessage(b, c.front.limits.Load().Message)
	if ok && err == nil && c.input.pendingKind != 0 {
		if !c.input.handling {
			c.discardInput(len(b) - len(rest))
		}
		c.finishRejected(c.input.pendingKind)
	}
	c.input.pendingKind = 0
}

// routeTransaction begins to route the transaction whose first message, of this kind, holds the query.
func (c *sessionClient) routeTransaction(query *session.Query, kind byte) {
	f := c.front
	route, err := c.pool.Defaults.Route(query, c.isReadOnlyByDefault())
	if err != nil {
		c.reject(sqlStateProtocolViolation, err.Error(), "")
		c.finishRejected(kind)
		return
	}
	now := f.clock.Now()
	deadline, ok := f.dispatcher.Deadline(route.Class)
	if !ok {
		text := "class " + strconv.Quote(route.Class) + ": " + dispatch.ErrUnknownClass.Error()
		c.reject(sqlStateProtocolViolation, text, "")
		c.finishRejected(kind)
		return
	}
	if route.WaitMillis > 0 {
		deadline = route.WaitMillis
	}
	timeout := session.WaitTimeout(route.WaitMillis, c.pool.WaitTimeoutMillis, replyMarginMillis)
	c.routing.readOnly, c.routing.writeClass = route.ReadOnly, f.dispatcher.IsWrite(route.Class)
	if len(c.record.replay) > 0 { // a host rejected it: its time goes on
		now = c.routing.request.Arrived
	} else {
		c.tenancy.entry.Reset()
	}
	c.routing.waiter.Deadline = now + timeout
	c.tenancy.entry.Deadline = c.routing.waiter.Deadline
	c.routing.query = query
	c.phase = phaseRouting
	c.input.pendingKind = kind
	c.routing.route = route
	c.routing.request = dispatch.Request{
		Class:         route.Class,
		Group:         route.Group,
		Session:       c.sessionKey(&route),
		Arrived:       now,
		TimeRemaining: max(deadline, timeout),
		MinPosition:   max(route.MinPosition, c.routing.minPosition),
	}
	c.routeByAssignment()
}

// isReadOnlyByDefault reports whether the session has default_transaction_read_only on.
func (c *sessionClient) isReadOnlyByDefault() bool {
	rendering := c.pipeline.Settings().Rendering("default_transaction_read_only")
	return strings.HasSuffix(rendering, "TO on") || strings.HasSuffix(rendering, "TO true") || strings.HasSuffix(rendering, "'on', false)")
}

// sessionKey names the session whose commits a read must see: as the client's comment does, else the connection.
func (c *sessionClient) sessionKey(route *session.Route) string {
	if route.SessionKey != "" {
		return route.SessionKey
	}
	return "#" + strconv.FormatUint(uint64(c.number), 36)
}

// pickHost takes the next decision; where there is none yet, a goroutine waits for it.
func (c *sessionClient) pickHost() {
	call := c.routing.call
	if n, ok := call.TryPick(); ok {
		c.hostPicked(n)
		return
	}
	f := c.front
	go func() {
		n := call.Pick()
		f.onLoop(func() {
			if c.routing.call == call && !c.disconnected {
				c.hostPicked(n)
				if c.phase == phaseLinked || c.phase == phaseUnlinked {
					c.resume()
				}
			}
		})
	}()
}

// hostPicked does what was decided. Where it is rejected here, the message under way has its answer.
func (c *sessionClient) hostPicked(decision dispatch.Decision) {
	f := c.front
	switch decision.Verdict {
	case dispatch.Send:
	case dispatch.Reject:
		c.rejectRouting("no host can serve this now", decision.RetryAfter)
		return
	case dispatch.Fail:
		c.failRouting("no host answered in time")
		return
	case dispatch.ClientGone:
		c.rejectRouting("no host answered in time", f.limits.Load().RetryAfterMillis)
		return
	}
	address := f.address(decision.Host)
	if address == "" {
		c.routing.call.Report(dispatch.NeverBegun(dispatch.NoConnection))
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
		c.routing.call.Finish(dispatch.NeverBegun(dispatch.Rejected))
		c.rejectRouting("all server connections are in use, and as many sessions wait as may", f.limits.Load().RetryAfterMillis)
		return
	}
	p.openForWaiters(f)
}

// endRouting gives up the transaction that is being routed.
func (c *sessionClient) endRouting() {
	if call := c.routing.call; call != nil {
		c.routing.call = nil
		call.Abandon()
	}
	c.finishRelease()
}

// failRouting ends the transaction that is being routed, of which it can't be shown that nothing ran.
func (c *sessionClient) failRouting(text string) {
	c.endRouting()
	c.reject(sqlStateConnectionFailure, text, "")
	c.consumeRejected()
}

// rejectRouting rejects the transaction that is being routed: nothing of it ran.
func (c *sessionClient) rejectRouting(text string, after float64) {
	c.endRouting()
	c.rejectUntried(stateTooManyConnections, text, formatRetryAfter(after))
	c.consumeRejected()
}

// waitExpired rejects a transaction that has waited for a server connection for as long as it may.
func (c *sessionClient) waitExpired() {
	if c.disconnected || c.routing.call == nil {
		return
	}
	call := c.routing.call
	c.routing.call = nil
	call.Finish(dispatch.NeverBegun(dispatch.NotSent))
	c.rejectRouting("no server connection was free in time", c.front.limits.Load().RetryAfterMillis)
	c.resume()
}

// retryRouting reports what came of an attempt that never ran and chooses anew.
func (c *sessionClient) retryRouting(o dispatch.Outcome) {
	c.routing.waiter.Dequeue()
	if c.disconnected || c.routing.call == nil {
		return
	}
	c.phase = phaseRouting
	c.routing.call.Report(o)
	c.pickHost()
	if !c.input.handling && (c.phase == phaseLinked || c.phase == phaseUnlinked) {
		c.resume()
	}
}
