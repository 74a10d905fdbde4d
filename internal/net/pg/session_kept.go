package pg

import (
	"fmt"
	"strconv"

	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// routeOnKeptServer routes a transaction that begins on the connection which the session keeps: like any other, but to that
// connection's host if it may serve the transaction. If not, a session that can be moved gives up the connection; the transaction of a
// sticky one waits for the host within its time, and is then rejected. What changes the session alone runs where the session is.
func (c *sessionClient) routeOnKeptServer(kind byte, body []byte) disposition {
	query, ok := c.parseRouted(kind, body)
	if !ok {
		return messageMalformed
	}
	if query == nil { // the message names no statement: it runs nothing by itself
		return messageLinked
	}
	route, err := c.pool.Defaults.Route(query, c.isReadOnlyByDefault())
	if err != nil {
		return c.rejectOnKeptServer(kind, sqlStateProtocolViolation, err.Error())
	}
	c.nameClassOfSticky(&route)
	deadline, ok := c.front.dispatcher.Deadline(route.Class)
	if !ok {
		return c.rejectOnKeptServer(kind, sqlStateProtocolViolation, "class "+strconv.Quote(route.Class)+": "+dispatch.ErrUnknownClass.Error())
	}
	sticky, group := c.pipeline.StickyCause(), c.routing.request.Group
	if route.HasGroup && route.Group != group {
		if sticky != "" {
			text := fmt.Sprintf("the session is bound to a connection to group %d by its %s; a transaction for group %d can't run on it", group, sticky, route.Group)
			return c.rejectOnKeptServer(kind, sqlStateFeatureNotSupported, text)
		}
		c.abandonDrainingHost(c.server)
		return messageLinked
	}
	if !route.HasClass && query.ChangesSessionAlone() || c.front.disabledGuarantee.Load() == disableKeptGuarantee {
		c.routing.readOnly, c.routing.writeClass = route.ReadOnly, c.front.dispatcher.IsWrite(route.Class)
		c.pipeline.SetReadOnly(route.ReadOnly)
		return messageLinked
	}
	c.setRoute(&route, query, kind, deadline)
	c.routing.request.Group = group
	c.routing.request.Host, c.routing.request.HostRequired = c.server.pool.host.name, sticky != ""
	return c.beginOnKept()
}

// disableKeptGuarantee has transactions begin on a connection that their session keeps whatever its host can serve; see
// SessionFront.DisableGuarantee.
const disableKeptGuarantee = "kept"

// nameClassOfSticky sets the class of a transaction that names none in a sticky session: the one by which the session's connection was
// chosen, unless the transaction is a read by the pool's defaults. The default of the others would send it to the primary, wherever the
// session is bound.
func (c *sessionClient) nameClassOfSticky(route *session.Route) {
	if c.pipeline.StickyCause() != "" && !route.HasClass && c.retention.class != "" && c.front.dispatcher.IsWrite(route.Class) {
		route.Class = c.retention.class
	}
}

// beginOnKept has the router decide on the transaction whose route was set.
func (c *sessionClient) beginOnKept() disposition {
	c.input.routingPending = true
	c.beginCall()
	c.input.routingPending = false
	switch {
	case c.routing.call == nil, c.disconnected:
		c.retention.transactionBegun = false
		return messageAnswered
	case c.phase == phaseLinked:
		return messageLinked
	}
	return messageWaiting
}

// pickedWhileKept carries out the decision to send a transaction of a session that keeps a connection. It returns false if the
// session has given up that connection and the transaction goes to another one.
func (c *sessionClient) pickedWhileKept(decision dispatch.Decision) bool {
	f, s := c.front, c.server
	if decision.Host != s.pool.host.name || s.pool.host.address == "" {
		if c.pipeline.StickyCause() != "" { // the host is listed anew, at another address
			call := c.routing.call
			c.routing.call = nil
			call.Finish(dispatch.NotBegunOutcome(dispatch.NotSent))
			c.rejectRouting(textNoHost, f.limits.Load().RetryAfterMillis)
			return true
		}
		f.keptLeft.Add(1)
		c.unlinkServer(s)
		s.returnToPool()
		return false
	}
	if !c.routing.call.Revalidate() {
		c.retryRouting(dispatch.NotBegunOutcome(dispatch.NotSent))
		return true
	}
	c.phase = phaseLinked
	c.beginTransaction(s, true)
	c.pipeline.SetReadOnly(c.routing.readOnly)
	if !c.pipeline.NeedsRestore() {
		c.recordWrite(s)
	}
	return true
}

// textNoHost is the rejection of a transaction that no host can serve.
const textNoHost = "no host can serve this now"

// rejectionText returns the text of a rejection. It tells a sticky session what it can do.
func (c *sessionClient) rejectionText(text string) string {
	cause := c.pipeline.StickyCause()
	if c.server == nil || cause == "" {
		return text
	}
	c.front.keptRejected.Add(1)
	return fmt.Sprintf("%s: the session is bound to the db host %s by its %s, and that host lags too far behind, is not the primary or takes no more; "+
		"nothing ran; retry later, or connect again without the %s", text, c.server.pool.host.name, cause, cause)
}

// settingsRestoredOnKept goes on with a transaction on a connection that the session keeps, after RESET had changed the connection's
// settings. Nothing of the transaction was sent.
func (c *sessionClient) settingsRestoredOnKept(s *serverConn) {
	c.completeLink(s)
	switch {
	case c.applyCancel():
	case !c.routing.call.Revalidate():
		c.retryRouting(dispatch.NotBegunOutcome(dispatch.NotSent))
		return
	default:
		c.recordWrite(s)
	}
	c.resume()
}

// rejectOnKeptServer rejects a transaction of which nothing was sent; the session keeps its connection.
func (c *sessionClient) rejectOnKeptServer(kind byte, sqlState, text string) disposition {
	c.retention.transactionBegun = false
	c.reject(sqlState, text, "")
	c.finishRejected(kind)
	return messageAnswered
}

// parseRouted returns the query by which a transaction that begins with this message is routed; nil if the message names
// none. ok is false if the message is malformed.
func (c *sessionClient) parseRouted(kind byte, body []byte) (query *session.Query, ok bool) {
	switch kind {
	case clientQuery:
		text, _, ok := cutString(body)
		parsed := session.ParseQuery(text)
		return &parsed, ok
	case clientParse:
		_, text, _, ok := cutTwoStrings(body)
		parsed := session.ParseQuery(text)
		return &parsed, ok
	case clientBind:
		_, name, _, ok := cutTwoStrings(body)
		if p := c.pipeline.Find(name); ok && p != nil {
			return &p.Query, true
		}
		return nil, ok
	}
	return nil, true
}
