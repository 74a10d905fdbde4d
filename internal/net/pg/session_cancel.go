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
	disableCancelGuarantee = "cancel" // see SessionFront.Break
	// neverDelivered is a count of cancel requests that delivering them does not bring back to 0.
	neverDelivered     = -1 << 30
	brokenCancelDelay  = 10 * time.Millisecond
	maxCancelReplyRead = 1024 // bytes that a host may answer to a cancel request
)

// assignCancelKey draws a key for cancel requests that no client has.
func (f *SessionFront) assignCancelKey(c *sessionClient) {
	for {
		c.cancelKey = newCancelKey(c.number)
		if f.clients.byCancelKey[c.cancelKey] == nil {
			f.clients.byCancelKey[c.cancelKey] = c
			return
		}
	}
}

// cancel carries a cancel request to the host that runs the client's query. A key that was not given out here does nothing.
func (f *SessionFront) cancel(key uint64) {
	c := f.clients.byCancelKey[key]
	if c == nil || c.disconnected {
		return
	}
	switch c.phase {
	case phaseRouting, phaseQueued: // nothing of it ran, nor will it
		c.routing.waiter.Dequeue()
		call := c.routing.call
		c.routing.call = nil
		call.Finish(dispatch.NeverBegun(dispatch.NotSent))
		c.dequeue()
		c.rejectCancelled()
		c.resume()
		return
	case phaseTenantPaused:
		c.dequeue()
		c.rejectCancelled()
		c.resume()
		return
	case phaseRestoring, phaseRejectedByHost: // once the connection is the session's own again, or nobody's
		c.routing.cancelRequested = true
		return
	}
	if c.server != nil && c.pipeline.Expected() > 0 {
		f.forwardCancel(c.server)
	}
}

// forwardCancel sends a cancel request to a connection's host. The connection is not given to another session before the
// host has dealt with the request, so that it can't hit the next one's query.
func (f *SessionFront) forwardCancel(s *serverConn) {
	f.stats.Cancels++
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

// cancelDelivered says that a cancel request was delivered to the connection's host, or was not.
func (s *serverConn) cancelDelivered(err error) {
	if s.cancellation.pending--; err != nil { // it may still arrive
		slog.Warn("sessions: a cancel request was not delivered", "host", s.pool.host.name, "error", err)
		s.retired = true
	}
	if s.cancellation.pending == 0 && s.session == nil && !s.closed {
		s.returnToPool()
	}
}

// deliverCancelRequest sends a cancel request and waits until the host has taken it, which it says by closing.
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

// rejectCancelled ends a transaction that has not begun yet.
func (c *sessionClient) rejectCancelled() {
	c.reject(sqlStateQueryCanceled, "canceling statement due to user request", "")
	c.consumeRejected()
}

// applyCancel ends a transaction of which nothing was sent, if it was cancelled meanwhile.
func (c *sessionClient) applyCancel() bool {
	if !c.routing.cancelRequested || c.routing.call == nil {
		return false
	}
	call := c.routing.call
	c.routing.cancelRequested, c.routing.call = false, nil
	call.Finish(dispatch.NeverBegun(dispatch.NotSent))
	c.finishRelease()
	c.rejectCancelled()
	return true
}
