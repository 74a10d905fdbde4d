package pg

import (
	"encoding/binary"
	"strconv"
	"syscall"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/session"
)

// forward takes a message of a client that is linked and appends what goes to the server. ok is false where the
// message is not in its form.
func (c *sclient) forward(out []byte, kind byte, body, whole []byte) (_ []byte, ok bool) {
	p := c.pipe
	var send session.Send
	if kind != 'Q' {
		c.query = nil
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
		s, rest, ok := text(body)
		if !ok || len(rest) > 0 {
			return out, false
		}
		var q session.Query
		if c.query != nil { // it was read when it was routed
			q, c.query = *c.query, nil
		} else {
			q = session.Scan(s)
		}
		if r := c.pins(&q); r != nil {
			if !p.Refuse(true, *r) {
				out = query(out, func(b []byte) []byte { return append(b, session.RefusedQuery...) })
			}
			return out, true
		}
		if send = p.Query(s, q); send.Drop {
			return out, true
		}
		out = c.before(out, send.Before)
		if len(send.Before) > 0 {
			out = append(out, 'S', 0, 0, 0, 4)
		}
		if send.Text != "" {
			return query(out, func(b []byte) []byte { return append(b, send.Text...) }), true
		}
		return append(out, whole...), true
	case 'P':
		return c.parse(out, body, whole)
	case 'B':
		portal, name, tail, ok := two(body)
		if !ok || !bindForm(tail) {
			return out, false
		}
		if send = p.Bind(portal, name); send.Drop {
			return out, true
		}
		out = c.before(out, send.Before)
		if send.Rename == "" {
			return append(out, whole...), true
		}
		return message(out, 'B', func(b []byte) []byte { return append(cstring(cstring(b, portal), send.Rename), tail...) }), true
	case 'D', 'C':
		if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
			return out, false
		}
		name, rest, ok := text(body[1:])
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
		out = c.before(out, send.Before)
		if send.Rename == "" {
			return append(out, whole...), true
		}
		return message(out, 'D', func(b []byte) []byte { return cstring(append(b, 'S'), send.Rename) }), true
	case 'E':
		portal, rest, ok := text(body)
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

// bindForm says whether what follows the names of a Bind is in its form: a length that lies would make a server wait
// for what never comes, on a connection that others are to use.
func bindForm(b []byte) bool {
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

func (c *sclient) parse(out, body, whole []byte) (_ []byte, ok bool) {
	name, s, types, ok := two(body)
	if !ok || len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return out, false
	}
	p := c.pipe
	if p.Skipping() {
		return out, true
	}
	prepared := c.front.catalogue.Take(s, types, p.Now())
	var refusal *session.Refusal
	if prepared != nil && !prepared.Query.MayFollowError() && p.Status() == 'E' && p.Due() == 0 { // that it is prepared already must not hide that the block has failed
		refusal = &session.Refusal{State: session.StateInBlock, Text: "current transaction is aborted, commands ignored until end of transaction block"}
		c.front.catalogue.Drop(prepared)
	} else if name != "" && p.Find(name) != nil {
		refusal = &session.Refusal{State: "42P05", Text: "prepared statement " + strconv.Quote(name) + " already exists"}
		c.front.catalogue.Drop(prepared)
	} else if prepared == nil {
		refusal = &session.Refusal{State: "53200", Text: "there is no memory for one more prepared statement"}
	} else if refusal = c.pins(&prepared.Query); refusal != nil {
		c.front.catalogue.Drop(prepared)
	}
	if refusal != nil {
		p.Refuse(false, *refusal)
		return message(out, 'B', func(b []byte) []byte {
			return append(cstring(cstring(b, ""), session.RefusedStatement), 0, 0, 0, 0, 0, 0)
		}), true
	}
	send := p.Parse(name, prepared)
	if send.Drop {
		return out, true
	}
	out = c.before(out, send.Before)
	if send.Rename == "" {
		return append(out, whole...), true
	}
	return parseMessage(out, send.Rename, prepared), true
}

func parseMessage(out []byte, name string, p *session.Prepared) []byte {
	return message(out, 'P', func(b []byte) []byte { return append(cstring(cstring(b, name), p.Text), p.Params...) })
}

// before appends the messages of ours that go first.
func (c *sclient) before(out []byte, list []session.Inject) []byte {
	for _, i := range list {
		switch {
		case i.Parse == nil:
			gone := session.Prepared{Key: i.Close}
			out = message(out, 'C', func(b []byte) []byte { return cstring(append(b, 'S'), gone.Name()) })
		case i.Unnamed:
			c.front.stats.Prepared++
			out = parseMessage(out, "", i.Parse)
		default:
			c.front.stats.Prepared++
			out = parseMessage(out, i.Parse.Name(), i.Parse)
		}
	}
	return out
}

// pins says why a query must not run: it would bind the session to its connection, and that is not allowed, or too
// many are bound.
func (c *sclient) pins(q *session.Query) *session.Refusal {
	if c.pipe.Pinned() != "" || c.pool.Mode == Session {
		return nil
	}
	for i := range q.Statements {
		s := &q.Statements[i]
		if s.Kind != session.Pins {
			continue
		}
		total := 0
		for _, n := range c.front.pinned {
			total += n
		}
		switch {
		case c.pool.Pins == 0:
			return &session.Refusal{State: stateUnknown, Text: "in transaction mode no session may be bound to its server connection, which this would do: " + string(s.Cause)}
		case total >= c.pool.Pins:
			return &session.Refusal{State: stateRefused, Text: "as many sessions are bound to their server connections as may be; this would bind one more: " + string(s.Cause)}
		}
	}
	return nil
}

// shutdown ends our side of a connection.
func shutdown(g gnet.Conn) error { return syscall.Shutdown(g.Fd(), syscall.SHUT_WR) }
