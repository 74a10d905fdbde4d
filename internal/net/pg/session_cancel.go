package pg

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"ashstand/internal/dispatch"
)

const (
	disableCancelGuarantee = "cancel" // see SessionFront.DisableGuarantee
	// neverDelivered replaces the count of pending cancel requests while the cancel guarantee is disabled. It
	// is negative, so that returnToPool does not wait for the requests, and no number of deliveries changes
	// it to 0, so that cancelDelivered does not return the connection a second time.
	neverDelivered     = -1 << 30
	brokenCancelDelay  = 10 * time.Millisecond
	maxCancelReplyRead = 1024 // bytes that a host may answer to a cancel request
	maxPendingCancels  = 8    // cancel requests under way for one server connection
)

// assignCancelKey gives the client a random cancel key that no other client has.
func (f *SessionFront) assignCancelKey(c *sessionClient) {
	for {
		c.cancelKey = newCancelKey(c.number)
		if f.clients.byCancelKey[c.cancelKey] == nil {
			f.clients.byCancelKey[c.cancelKey] = c
			return
		}
	}
}

// cancel handles a cancel request: it rejects the client's transaction if nothing of it was sent, and
// otherwise forwards the request to the host that runs the query. An unknown key is ignored.
func (f *SessionFront) cancel(key uint64) {
	c := f.clients.byCancelKey[key]
	if c == nil || c.disconnected {
		return
	}
	switch c.phase {
	case phaseRouting, phaseQueued: // nothing of the transaction was sent, and nothing will be
		c.routing.waiter.Dequeue()
		call := c.routing.call
		c.routing.call = nil
		call.Finish(dispatch.NotBegunOutcome(dispatch.NotSent))
		c.dequeue()
		c.rejectCancelled()
		c.resume()
		return
	case phaseTenantPaused:
		c.dequeue()
		c.rejectCancelled()
		c.resume()
		return
	case phaseRestoring, phaseRejectedByHost: // applied once the host has answered what is under way on the connection
		c.routing.cancelRequested = true
		return
	}
	if c.server != nil && c.pipeline.ExpectedReplies() > 0 {
		f.forwardCancel(c.server)
	}
}

// forwardCancel sends a cancel request to a connection's host. The connection is not given to another session
// before the host has handled the request, so that the request can't cancel that session's query.
func (f *SessionFront) forwardCancel(s *serverConn) {
	f.stats.Cancels++
	if s.cancellation.pending >= maxPendingCancels {
		return // one of those that are under way cancels the query too
	}
	s.cancellation.pending++
	if f.disabledGuarantee.Load() == disableCancelGuarantee {
		s.cancellation.pending = neverDelivered
	}
	address, timeout := s.pool.host.address, f.limits.Load().ConnectTimeout
	request := appendCancelRequest(make([]byte, 0, cancelRequestBytes), s.cancellation.pid, s.cancellation.secret)
	go func() {
		if f.disabledGuarantee.Load() == disableCancelGuarantee {
			time.Sleep(brokenCancelDelay)
		}
		err := deliverCancelRequest(address, request, timeout)
		f.onLoop(func() { s.cancelDelivered(err) })
	}()
}

// cancelDelivered handles the outcome of an attempt to deliver a cancel request; err is not nil if the delivery
// failed. The connection is then retired. Once no cancel request is pending, a connection without a session
// returns to its pool, which closes a retired one.
func (s *serverConn) cancelDelivered(err error) {
	if s.cancellation.pending--; err != nil { // the request may still arrive and cancel a later query
		slog.Warn("sessions: cancel request not delivered", "host", s.pool.host.name, "error", err)
		s.retired = true
	}
	if s.cancellation.pending == 0 && s.session == nil && !s.closed {
		s.returnToPool()
	}
}

// deliverCancelRequest sends a cancel request and waits until the host has handled it, which the host signals
// by closing the connection.
func deliverCancelRequest(address string, request []byte, timeout time.Duration) error {
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err = c.Write(request); err != nil {
		return err
	}
	if _, err = io.Copy(io.Discard, io.LimitReader(c, maxCancelReplyRead)); errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// rejectCancelled answers the first message of a transaction that was cancelled before anything of it was sent.
func (c *sessionClient) rejectCancelled() {
	c.reject(sqlStateQueryCanceled, "canceling statement due to user request", "")
	c.consumeRejected()
}

// applyCancel rejects a transaction of which nothing was sent if it was cancelled in the meantime, and
// reports whether it did.
func (c *sessionClient) applyCancel() bool {
	if !c.routing.cancelRequested || c.routing.call == nil {
		return false
	}
	call := c.routing.call
	c.routing.cancelRequested, c.routing.call = false, nil
	call.Finish(dispatch.NotBegunOutcome(dispatch.NotSent))
	c.finishRelease()
	c.rejectCancelled()
	return true
}
