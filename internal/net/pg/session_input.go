package pg

import (
	"fmt"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/net/loop"
)

// inputState is the progress of processing a client's input. The event loop owns it.
type inputState struct {
	unreadBytes int  // bytes that clientRegistry.unreadBytes includes for this client
	reading     bool // readMessages is running
	readAgain   bool // readMessages has to make another round
	blocked     bool // the next message waits until an operation under way is done
	// behindReplies is set, with blocked, if the next message waits because of the memory of the replies that are outstanding;
	// flushed is set if a Flush was sent for them.
	behindReplies, flushed bool
	units                  int  // what is left of the client's share of the event loop
	yielded                bool // the share was used up before the input was
	// routingPending is set while handleUnlinked routes the pending message. Its caller continues with the input
	// afterwards, so resume is not called meanwhile.
	routingPending bool
	pendingKind    byte      // kind of the message that waits to be routed; 0: none
	ahead          readAhead // scan position in the input behind a message that waits
}

// Traffic processes what the client sent, and pauses its reads at the bounds on unread bytes. It is called on
// the event loop.
func (c *sessionClient) Traffic(g gnet.Conn) gnet.Action {
	if c.disconnected {
		c.wire.DiscardAll()
		return gnet.None
	}
	if c.wire.EndsBehindInput() {
		return gnet.Close
	}
	if c.wire.KeepPaused() {
		c.wire.Retain()
		c.countUnread()
		return gnet.None
	}
	action := c.readMessages()
	c.wire.Retain()
	if action == gnet.None && c.isWaiting() && c.input.ahead.hasTerminate(c.wire.BufferedBytes(), func(int) ([]byte, error) { return c.wire.Peek(), nil }, c.front.limits.Load().MaxMessageBytes) {
		return gnet.Close
	}
	f := c.front
	unreadBytes := c.countUnread()
	limits := f.limits.Load()
	if action == gnet.None {
		action = f.enforceUnreadLimit(c)
	}
	if c.phase == phaseTenantPaused && !c.disconnected && !f.tenancy.tenants.Grow(&c.tenancy.entry, c.waitingBytes(), f.queueLimits(c.pool)) {
		f.pauseReadsUntil(&c.wire, c, c.mayResume)
	}
	if unreadBytes > 0 && (unreadBytes > limits.MaxMessageBytes+highWaterBytes || f.clients.unreadBytes > limits.MaxBytes) && !c.disconnected {
		if unreadBytes >= limits.MaxMessageBytes+highWaterBytes || c.phase != phaseLinked && c.phase != phaseUnlinked || c.input.blocked {
			f.pauseReadsUntil(&c.wire, c, c.mayResume)
		}
	}
	return action
}

// enforceUnreadLimit disconnects the clients that hold the most input while all clients together hold more than
// SessionLimits.MaxBytes, among those whose input can't be processed before more of it is read. The others are not read meanwhile.
// current is the client whose input is being processed, and action applies to it.
func (f *SessionFront) enforceUnreadLimit(current *sessionClient) (action gnet.Action) {
	for limit := f.limits.Load().MaxBytes; limit > 0 && f.clients.unreadBytes > limit; {
		var largest *sessionClient
		for c := range f.clients.all {
			if c.input.unreadBytes > 0 && c.needsMoreInput() && (largest == nil || c.input.unreadBytes > largest.input.unreadBytes) {
				largest = c
			}
		}
		if largest == nil {
			return action
		}
		f.clientLog.Printf("sessions: a client holds %d bytes of input, all clients together %d: disconnecting it", largest.input.unreadBytes, f.clients.unreadBytes)
		ended := largest.endOverloaded()
		largest.countUnread()
		if largest == current {
			action = ended
		} else if ended == gnet.Close {
			largest.wire.Close()
		}
	}
	return action
}

// needsMoreInput reports whether the client's input is a part of a message, so that only more of it can be processed.
func (c *sessionClient) needsMoreInput() bool {
	return !c.disconnected && !c.wire.Paused() && !c.input.blocked && !c.phase.blocksInput() && len(c.record.replay) == 0
}

// endOverloaded disconnects a client for which there is no memory. Nothing of the message that it was sending has run.
func (c *sessionClient) endOverloaded() gnet.Action {
	const text = "the messages under way leave no memory for one more"
	if c.pipeline == nil || c.pipeline.Idle() {
		return c.closeWithRejection(stateTooManyConnections, text, c.front.retryAfter())
	}
	return c.closeWithError(sqlStateOutOfMemory, text, "")
}

// mayResume reports whether reads from a paused client may be resumed. Its end needs no look: the event loop reports it.
func (c *sessionClient) mayResume() bool { return c.disconnected || !c.isBlocked() }

// isBlocked reports whether the client's next message can't be processed now.
func (c *sessionClient) isBlocked() bool {
	return c.phase.blocksInput() || c.input.blocked ||
		c.server != nil && (c.server.wire.Paused() || c.server.wire.UnsentBytes() > lowWaterBytes)
}

// resume continues with the client's input. It is called from outside of the client's own Traffic.
func (c *sessionClient) resume() {
	c.input.blocked, c.input.behindReplies = false, false
	if c.disconnected {
		return
	}
	if c.input.reading { // a failed write led here: readMessages is running and makes another round
		c.input.readAgain = true
		return
	}
	if c.readMessages() == gnet.Close {
		c.wire.Close()
		return
	}
	c.countUnread()
}

// countUnread updates the memory of the client's input that was not processed in the front's total, and returns
// the client's.
func (c *sessionClient) countUnread() int {
	n := c.wire.HeldBytes() + cap(c.record.replay)
	if c.routing.query != nil {
		n += c.routing.query.Bytes()
	}
	c.front.clients.unreadBytes += n - c.input.unreadBytes
	c.input.unreadBytes = n
	return n
}

// readMessages processes messages until one has to wait or none is complete.
func (c *sessionClient) readMessages() (action gnet.Action) {
	c.input.reading = true
	c.input.units = loop.ShareUnits
	for again := true; again && action == gnet.None; again = c.input.readAgain && !c.disconnected {
		c.input.readAgain = false
		action = c.readRound()
	}
	c.input.reading = false
	c.flush()
	c.settleShare(action)
	return action
}

// settleShare has the client wait for its next turn if its share is used up and more of its input can be processed.
func (c *sessionClient) settleShare(action gnet.Action) {
	hasMore := c.input.yielded && action == gnet.None && !c.disconnected && !c.wire.IsClosed()
	c.front.engine.Shares().Settle(c, &c.wire, hasMore)
}

// Work implements loop.Worker.
func (c *sessionClient) Work() (units int) {
	if c.disconnected {
		return 0
	}
	if c.readMessages() == gnet.Close {
		c.wire.Close()
	}
	c.countUnread()
	return loop.ShareUnits - c.input.units
}

// Abort implements loop.Worker.
func (c *sessionClient) Abort() { c.wire.Close() }

// readRound is one round of readMessages. It collects what goes to the server and writes it at once, so that
// a pipeline of five messages takes one system call.
func (c *sessionClient) readRound() gnet.Action {
	out := c.front.buffers.takeServerBuffer()
	action, more, handled := gnet.None, true, 0
	c.input.yielded = false
	for more && action == gnet.None && !c.disconnected && !c.phase.blocksInput() {
		if out, more = c.awaitServer(out); !more {
			break
		}
		var holds bool
		if out, holds, action = c.holdBehindReplies(out); holds {
			break
		}
		if c.wire.UnsentBytes() > maxUnsentReplyBytes {
			c.front.pauseReadsUntil(&c.wire, c, func() bool { return c.disconnected || c.wire.UnsentBytes() == 0 })
			break
		}
		if c.input.units <= 0 {
			c.input.yielded = true
			break
		}
		handled++
		if c.phase == phaseStarting {
			more, action = c.readStartup()
		} else {
			out, more, action = c.readMessage(out)
		}
	}
	c.front.buffers.putServerBuffer(c.writeServer(out))
	c.front.engine.CountMessages("sessions", c.number, handled)
	return action
}

// awaitServer writes the buffer out to the server if more than highWaterBytes are unsent or reads from the
// server are paused. more is false if that is still so afterwards: reads from the client are then paused
// until the server has taken the bytes.
func (c *sessionClient) awaitServer(out []byte) (_ []byte, more bool) {
	s := c.server
	if s == nil || !s.wire.Paused() && s.wire.UnsentBytes()+len(out) <= highWaterBytes {
		return out, true
	}
	out = c.writeServer(out)
	if s.wire.Paused() || s.wire.UnsentBytes() > highWaterBytes {
		c.front.pauseReadsUntil(&c.wire, c, c.mayResume)
		return out, false
	}
	return out, true
}

// readStartup processes a message that comes before the session is open. more is false if the message is not
// complete yet.
func (c *sessionClient) readStartup() (more bool, action gnet.Action) {
	c.input.units--
	used, action := c.handleStartup(c.peekInput())
	if used == 0 || action == gnet.Close {
		return false, action
	}
	c.wire.Discard(used)
	return true, action
}

// readMessage processes the next message of an open session and appends to out what goes to the server. more
// is false if no message is complete, or if the message has to wait.
func (c *sessionClient) readMessage(out []byte) (_ []byte, more bool, action gnet.Action) {
	f := c.front
	b := c.peekInput()
	kind, body, rest, ok, err := nextMessage(b, f.limits.Load().MaxMessageBytes)
	if err != nil {
		out = c.writeServer(out)
		text := fmt.Sprintf("a message's length is out of bounds; %d bytes are allowed", f.limits.Load().MaxMessageBytes)
		return out, false, c.closeWithError(sqlStateProtocolViolation, text, "")
	}
	if !ok {
		return out, false, gnet.None
	}
	used := len(b) - len(rest)
	c.input.units -= loop.Units(used)
	c.lastActive = f.clock.Now()
	out, wait, action := c.handleMessage(out, kind, body, b[:used])
	c.countHeld()
	if wait {
		return out, false, action
	}
	if !c.disconnected {
		c.discardInput(used)
	}
	return out, true, action
}

// peekInput returns the client's input that was not consumed. A recorded statement that is replayed comes
// first.
func (c *sessionClient) peekInput() []byte {
	if len(c.record.replay) > 0 {
		return c.record.replay
	}
	return c.wire.Peek()
}

// discardInput consumes n bytes of what peekInput returned.
func (c *sessionClient) discardInput(n int) {
	c.input.ahead = readAhead{}
	if len(c.record.replay) == 0 {
		c.wire.Discard(n)
	} else if c.record.replay = c.record.replay[n:]; len(c.record.replay) == 0 {
		c.record.replay = nil
	}
}
