package pg

import (
	"fmt"
	"strconv"

	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// routeOnKeptServer applies the route of a transaction that begins on the connection which the session keeps: to this
// transaction, not to the one by which the connection was chosen. If the transaction names another group, a session
// that can be moved gives up the connection, and its transaction is routed as any other; for a sticky one it is rejected.
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
	if _, ok := c.front.dispatcher.Deadline(route.Class); !ok {
		return c.rejectOnKeptServer(kind, sqlStateProtocolViolation, "class "+strconv.Quote(route.Class)+": "+dispatch.ErrUnknownClass.Error())
	}
	if group := c.routing.request.Group; route.HasGroup && route.Group != group {
		if cause := c.pipeline.StickyCause(); cause != "" {
			text := fmt.Sprintf("the session is bound to a connection to group %d by its %s; a transaction for group %d can't run on it", group, cause, route.Group)
			return c.rejectOnKeptServer(kind, sqlStateFeatureNotSupported, text)
		}
		c.abandonDrainingHost(c.server)
		return messageLinked
	}
	c.routing.readOnly, c.routing.writeClass = route.ReadOnly, c.front.dispatcher.IsWrite(route.Class)
	c.pipeline.SetReadOnly(route.ReadOnly)
	return messageLinked
}

// rejectOnKeptServer rejects a transaction of which nothing was sent; the session keeps its connection.
func (c *sessionClient) rejectOnKeptServer(kind byte, sqlState, text string) disposition {
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
