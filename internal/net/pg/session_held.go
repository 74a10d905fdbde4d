package pg

import (
	"fmt"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/session"
)

// What sessions make the pooler hold beside bytes of the wire, in bytes of memory.
const (
	maxAheadBytes    = 256 << 10 // for the replies that one session waits for
	minAheadBytes    = 1 << 10   // that one session may hold for them, however many sessions there are
	maxRetainedBytes = 512 << 10 // for the portals and savepoints of one session
)

// heldBytes is what all sessions hold for one purpose. The event loop changes it.
type heldBytes struct {
	now, highest atomic.Int64
}

func (h *heldBytes) add(bytes int) {
	if bytes == 0 {
		return
	}
	if now := h.now.Add(int64(bytes)); now > h.highest.Load() {
		h.highest.Store(now)
	}
}

func (h *heldBytes) bytes() int { return int(h.now.Load()) }

// addGauges shows what is held for a purpose, and the most that ever was.
func (h *heldBytes) addGauges(m *metrics.Metrics, purpose string) {
	m.AddGauge("sessions_"+purpose+"_bytes", "Memory that sessions hold: "+purpose+".", func() float64 { return float64(h.now.Load()) })
	m.AddGauge("sessions_"+purpose+"_max_bytes", "The most memory that sessions ever held: "+purpose+".", func() float64 { return float64(h.highest.Load()) })
}

// heldBySession is what the totals of a front include for one session.
type heldBySession struct{ ahead, retained int }

// countHeld updates what the session holds in the front's totals, and counts a violation where a bound is exceeded.
func (c *sessionClient) countHeld() {
	if c.pipeline == nil {
		return
	}
	now := heldBySession{ahead: c.pipeline.AheadBytes(), retained: c.pipeline.RetainedBytes()}
	if now == c.held {
		return
	}
	f := c.front
	f.clients.ahead.add(now.ahead - c.held.ahead)
	f.clients.retained.add(now.retained - c.held.retained)
	hasGrown := now.ahead > c.held.ahead || now.retained > c.held.retained
	if c.held = now; !hasGrown {
		return
	}
	if limit := f.limits.Load().MaxBytes; limit > 0 && (f.clients.ahead.bytes() > limit+len(f.clients.all)*minAheadBytes || f.clients.retained.bytes() > limit) {
		f.violation(lifecycle.BoundExceeded, "session", c.number, "ahead_bytes", f.clients.ahead.bytes(), "retained_bytes", f.clients.retained.bytes())
	}
}

// forgetHeld takes the session out of the front's totals.
func (c *sessionClient) forgetHeld() {
	c.front.clients.ahead.add(-c.held.ahead)
	c.front.clients.retained.add(-c.held.retained)
	c.held = heldBySession{}
}

// aheadAllowance returns how much one session may hold for replies that it waits for. It is a dynamic threshold: no session may hold
// more than what is free of the bound of all, so that N sessions that send much leave an (N+1)th as much as each of them has.
func (f *SessionFront) aheadAllowance() int {
	limit := f.limits.Load().MaxBytes
	if limit <= 0 {
		return maxAheadBytes
	}
	return min(maxAheadBytes, max(minAheadBytes, limit-f.clients.ahead.bytes()))
}

// holdBehindReplies has the client's next message wait, unread, while the replies that the session waits for hold as much as it is
// allowed. It appends a Flush to out where the host might keep those replies in its buffer until the client's next Sync, which waits
// here. Messages of a COPY never wait: the host sends nothing before they come.
func (c *sessionClient) holdBehindReplies(out []byte) (_ []byte, holds bool, action gnet.Action) {
	if c.phase != phaseLinked || c.server == nil {
		return out, false, gnet.None
	}
	ahead := c.pipeline.AheadBytes()
	if ahead < c.front.aheadAllowance() {
		return out, false, gnet.None
	}
	if c.pipeline.SkipBehindRejection() {
		return out, false, gnet.None
	}
	willCome, needsFlush := c.pipeline.RepliesWillCome()
	if !willCome {
		if ahead >= 2*maxAheadBytes {
			return c.writeServer(out), true, c.closeWithError(sqlStateProtocolViolation, "too many messages came in a COPY that are none of it", "")
		}
		return out, false, gnet.None
	}
	if needsFlush && !c.input.flushed {
		c.input.flushed = true
		out = appendEmpty(out, clientFlush)
	}
	c.input.blocked, c.input.behindReplies = true, true
	c.front.pauseReadsUntil(&c.wire, c, c.mayResume)
	return out, true, gnet.None
}

// readOn reads from a client again that waited behind its replies, without the delay of scheduleResume.
func (c *sessionClient) readOn() {
	if _, isPaused := c.front.backpressure.paused[&c.wire]; isPaused && c.mayResume() {
		c.front.resumeReads(&c.wire, c)
	}
}

// checkRetained returns the error with which statements are rejected whose settings or savepoints, or whose parsed form, there is no
// memory for, or nil.
func (c *sessionClient) checkRetained(q *session.Query) *session.ErrorReply {
	if q.TooMany {
		return &session.ErrorReply{SQLState: sqlStateProgramLimit, Text: fmt.Sprintf("a query string may have %d statements", session.MaxStatements)}
	}
	f := c.front
	limit := f.limits.Load().MaxBytes
	if size := q.Bytes(); size > f.aheadAllowance() && limit > 0 && f.clients.ahead.bytes()+size > limit {
		return outOfMemory("the statements under way leave no memory for one more")
	}
	if reply := c.checkSettings(q, limit); reply != nil {
		return reply
	}
	return c.checkSavepoints(q.Statements)
}

// checkSettings returns the error with which a query is rejected whose settings there is no memory for, or nil. limit is that of all
// sessions.
func (c *sessionClient) checkSettings(q *session.Query, limit int) *session.ErrorReply {
	settings := 0
	for i := range q.Statements {
		if s := &q.Statements[i]; s.Kind == session.Set {
			settings += len(s.Name) + len(s.Rendering)
		}
	}
	if settings == 0 {
		return nil
	}
	settings += c.pipeline.PendingSettingBytes()
	if c.pipeline.Settings().Bytes()+settings > maxSettingsBytes || limit > 0 && c.front.clients.settingsBytes+settings > limit {
		return outOfMemory("there is no memory for one more setting of the session")
	}
	return nil
}

// checkSavepoints returns the error with which statements are rejected whose savepoints there is no memory for, or nil.
func (c *sessionClient) checkSavepoints(statements []session.Statement) *session.ErrorReply {
	count := 0
	for i := range statements {
		if statements[i].Kind == session.Savepoint {
			count++
		}
	}
	switch {
	case count == 0:
		return nil
	case c.pipeline.Savepoints()+count > maxSavepoints:
		return outOfMemory(fmt.Sprintf("the transaction has %d savepoints; there is no memory for %d more", c.pipeline.Savepoints(), count))
	}
	return c.checkRoom(c.pipeline.SavepointBytes(statements), "there is no memory for one more savepoint")
}

// checkPortal returns the error with which a Bind is rejected whose portal there is no memory for, or nil.
func (c *sessionClient) checkPortal(name string) *session.ErrorReply {
	return c.checkRoom(c.pipeline.PortalBytes(name), "there is no memory for one more portal")
}

// checkRoom returns an error with this text if there is no memory for so many more bytes of portals and savepoints, or nil.
func (c *sessionClient) checkRoom(bytes int, text string) *session.ErrorReply {
	limit := c.front.limits.Load().MaxBytes
	if bytes > 0 && (c.pipeline.RetainedBytes()+bytes > maxRetainedBytes || limit > 0 && c.front.clients.retained.bytes()+bytes > limit) {
		return outOfMemory(text)
	}
	return nil
}

func outOfMemory(text string) *session.ErrorReply {
	return &session.ErrorReply{SQLState: sqlStateOutOfMemory, Text: text}
}
