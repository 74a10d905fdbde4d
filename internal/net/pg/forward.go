package pg

import (
	"encoding/binary"
	"strconv"
	"syscall"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/session"
)

// forwardMessage takes a message of a client that is linked and appends what goes to the server. ok is false where the
// message is not in its form.
func (c *sessionClient) forwardMessage(out []byte, kind byte, body, whole []byte) (_ []byte, ok bool) {
	p := c.pipeline
	var send session.ClientAction
	if kind != 'Q' {
		c.routedQuery = nil
	}
	switch kind {
	case 'd', 'c', 'f': // of a COPY; a server passes over what comes after its error
		return append(out, whole...), true
	case 'p':
		return out, true
	case 'H':
		return append(out, whole...), true
	case 'S':
		if send = p.Sync(); send.Drop && !p.CopyIn() {
			return out, true
		}
		return append(out, whole...), true
	case 'Q':
		s, rest, ok := cutString(body)
		if !ok || len(rest) > 0 {
			return out, false
		}
		var q session.Query
		if c.routedQuery != nil { // it was read when it was routed
			q, c.routedQuery = *c.routedQuery, nil
		} else {
			q = session.Scan(s)
		}
		if r := c.checkSticky(&q); r != nil {
			if !p.Reject(true, *r) {
				out = appendQuery(out, func(b []byte) []byte { return append(b, session.FailingQuery...) })
			}
			return out, true
		}
		if send = p.Query(s, q); send.Drop {
			return out, true
		}
		out = c.appendInjections(out, send.Before)
		if len(send.Before) > 0 {
			out = append(out, 'S', 0, 0, 0, 4)
		}
		if send.Text != "" {
			return appendQuery(out, func(b []byte) []byte { return append(b, send.Text...) }), true
		}
		return append(out, whole...), true
	case 'P':
		return c.forwardParse(out, body, whole)
	case 'B':
		portal, name, tail, ok := cutTwoStrings(body)
		if !ok || !isValidBindTail(tail) {
			return out, false
		}
		if send = p.Bind(portal, name); send.Drop {
			return out, true
		}
		out = c.appendInjections(out, send.Before)
		if send.Rename == "" {
			return append(out, whole...), true
		}
		return appendMessage(out, 'B', func(b []byte) []byte { return append(appendCString(appendCString(b, portal), send.Rename), tail...) }), true
	case 'D', 'C':
		if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
			return out, false
		}
		name, rest, ok := cutString(body[1:])
		if !ok || len(rest) > 0 {
			return out, false
		}
		switch {
		case kind == 'D' && body[0] == 'S':
			send = p.DescribeStatement(name)
		case kind == 'D':
			send = p.DescribePortal(name)
		case body[0] == 'S':
			send = p.CloseStatement(name)
		default:
			send = p.ClosePortal(name)
		}
		if send.Drop {
			return out, true
		}
		out = c.appendInjections(out, send.Before)
		if send.Rename == "" {
			return append(out, whole...), true
		}
		return appendMessage(out, 'D', func(b []byte) []byte { return appendCString(append(b, 'S'), send.Rename) }), true
	case 'E':
		portal, rest, ok := cutString(body)
		if !ok || len(rest) != 4 {
			return out, false
		}
		if send = p.Execute(portal); send.Drop {
			return out, true
		}
		return append(out, whole...), true
	case 'F':
		if send = p.Function(); send.Drop {
			return out, true
		}
		return append(out, whole...), true
	}
	return out, false
}

// isValidBindTail says whether what follows the names of a Bind is in its form: a length that lies would make a server wait
// for what never comes, on a connection that others are to use.
func isValidBindTail(b []byte) bool {
	codes := func() bool {
		if len(b) < 2 {
			return false
		}
		n := int(binary.BigEndian.Uint16(b))
		if len(b) < 2+2*n {
			return false
		}
		b = b[2+2*n:]
		return true
	}
	if !codes() || len(b) < 2 {
		return false
	}
	n := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	for range n {
		if len(b) < 4 {
			return false
		}
		size := int(int32(binary.BigEndian.Uint32(b)))
		if size < -1 || size > len(b)-4 {
			return false
		}
		b = b[4+max(0, size):]
	}
	return codes() && len(b) == 0
}

func (c *sessionClient) forwardParse(out, body, whole []byte) (_ []byte, ok bool) {
	name, s, types, ok := cutTwoStrings(body)
	if !ok || len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return out, false
	}
	p := c.pipeline
	if p.Skipping() {
		return out, true
	}
	prepared := c.front.catalogue.Acquire(s, types, p.Settings())
	var refusal *session.ErrorReply
	if prepared != nil && !prepared.Query.MayFollowError() && p.Status() == 'E' && p.Expected() == 0 { // that it is prepared already must not hide that the block has failed
		refusal = &session.ErrorReply{SQLState: session.SQLStateInFailedBlock, Text: "current transaction is aborted, commands ignored until end of transaction block"}
		c.front.catalogue.Release(prepared)
	} else if name != "" && p.Find(name) != nil {
		refusal = &session.ErrorReply{SQLState: "42P05", Text: "prepared statement " + strconv.Quote(name) + " already exists"}
		c.front.catalogue.Release(prepared)
	} else if prepared == nil {
		refusal = &session.ErrorReply{SQLState: "53200", Text: "there is no memory for one more prepared statement"}
	} else if refusal = c.checkSticky(&prepared.Query); refusal != nil {
		c.front.catalogue.Release(prepared)
	}
	if refusal != nil {
		p.Reject(false, *refusal)
		return appendMessage(out, 'B', func(b []byte) []byte {
			return append(appendCString(appendCString(b, ""), session.FailingStatement), 0, 0, 0, 0, 0, 0)
		}), true
	}
	send := p.Parse(name, prepared)
	if send.Drop {
		return out, true
	}
	out = c.appendInjections(out, send.Before)
	if send.Rename == "" {
		return append(out, whole...), true
	}
	return appendParse(out, send.Rename, prepared), true
}

func appendParse(out []byte, name string, p *session.Prepared) []byte {
	return appendMessage(out, 'P', func(b []byte) []byte { return append(appendCString(appendCString(b, name), p.Text), p.Params...) })
}

// appendInjections appends the messages of ours that go first.
func (c *sessionClient) appendInjections(out []byte, list []session.Injection) []byte {
	for _, i := range list {
		switch {
		case i.Parse == nil:
			gone := session.Prepared{Key: i.Close}
			out = appendMessage(out, 'C', func(b []byte) []byte { return appendCString(append(b, 'S'), gone.Name()) })
		case i.Unnamed:
			c.front.stats.StatementsReprepared++
			out = appendParse(out, "", i.Parse)
		default:
			c.front.stats.StatementsReprepared++
			out = appendParse(out, i.Parse.Name(), i.Parse)
		}
	}
	return out
}

// checkSticky says why a query must not run: it would bind the session to its connection, and that is not allowed, or too
// many are bound.
func (c *sessionClient) checkSticky(q *session.Query) *session.ErrorReply {
	if c.pipeline.StickyCause() != "" || c.pool.Mode == Session {
		return nil
	}
	for i := range q.Statements {
		s := &q.Statements[i]
		if s.Kind != session.MakesSticky {
			continue
		}
		total := 0
		for _, n := range c.front.stickyCounts {
			total += n
		}
		switch {
		case c.pool.MaxSticky == 0:
			return &session.ErrorReply{SQLState: sqlStateFeatureNotSupported, Text: "in transaction mode no session may be bound to its server connection, which this would do: " + string(s.Cause)}
		case total >= c.pool.MaxSticky:
			return &session.ErrorReply{SQLState: sqlStateTooManyConnections, Text: "as many sessions are bound to their server connections as may be; this would bind one more: " + string(s.Cause)}
		}
	}
	return nil
}

// shutdownWrite ends our side of a connection.
func shutdownWrite(g gnet.Conn) error { return syscall.Shutdown(g.Fd(), syscall.SHUT_WR) }
