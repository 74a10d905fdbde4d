package dispatch

import (
	"cmp"
	"math"
	"strconv"

	"ashstand/internal/clock"
	"ashstand/internal/faulthook"
	"ashstand/internal/panics"
	"ashstand/routing"
)

const (
	// answerMargin is the least time that a final answer needs to reach the client before the client gives
	// up, in milliseconds.
	answerMargin = 4.0
	// positionRounding is the rounding error of positions in milliseconds: the position stamped on an answer
	// may be lower than that of its data by this much, and the position that a read requires may be higher
	// than the one it asked for.
	positionRounding = 2.0
)

// Call is one request from its arrival to its final answer.
type Call struct {
	dispatcher *Dispatcher
	id         string
	class      *routing.Class
	classIndex int
	deadline   float64       // when to stop waiting for any attempt
	decisions  chan Decision // buffered so that queueing a decision never blocks

	// The fields below are guarded by dispatcher.mu. Times are in milliseconds.
	attempts      int
	attempt       int     // number of the attempt in flight
	host          string  // host of the attempt in flight
	chosenAt      float64 // when that host was chosen
	revalidatedAt float64 // when Revalidate was last called for the attempt in flight
	minPosition   float64 // minimum position of the data in its answer; 0: any
	finished      bool    // no more attempts: the final verdict was queued or is not needed
}

// Begin starts a call for a request. The caller must call Pick and Report in turn until Pick returns a final
// verdict or it has reported OK.
func (d *Dispatcher) Begin(r Request) (*Call, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	class, ok := d.settings.Classes[r.Class]
	if !ok {
		return nil, ErrUnknownClass
	}
	e := routing.RequestArrived{
		Class: class, Group: r.Group, IsRetry: r.IsRetry,
		HasSessionKey: r.Session != "", SessionKey: sessionKey(r.Session),
		Host: r.Host, HostRequired: r.HostRequired,
	}
	now := d.clock.Now()
	e.TimeRemaining = clock.Duration(max(0, r.Arrived+r.TimeRemaining-now))
	if r.MinPosition > 0 { // an age of 0 would mean that the request carries no position
		e.CommitAge = cmp.Or(clock.Duration(now)-roundedDuration(r.MinPosition, math.Ceil), 1)
	}
	d.lastID++
	// The router gets ids generated here: two clients that send the same id must not share an answer.
	e.ID = strconv.FormatUint(d.lastID, 36)
	c := &Call{
		dispatcher: d,
		id:         e.ID,
		class:      &d.settings.Settings.Classes[class],
		classIndex: class,
		deadline:   r.Arrived + r.TimeRemaining - answerMargin,
		// The router has one attempt of a request in flight at a time, so at most one send and one final
		// verdict are queued.
		decisions: make(chan Decision, d.settings.MaxAttempts+2),
	}
	d.calls[c.id] = c
	d.step(now, e)
	return c, nil
}

// sessionKey returns the FNV-1a hash of a session's name.
func sessionKey(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * prime
	}
	return h
}

// Pick blocks until there is an attempt to make or a final verdict.
func (c *Call) Pick() Decision { return <-c.decisions }

// TryPick is Pick without blocking. ok is false if no decision has been made yet; the caller can then call
// Pick on another goroutine.
func (c *Call) TryPick() (next Decision, ok bool) {
	select {
	case next = <-c.decisions:
		return next, true
	default:
		return Decision{}, false
	}
}

// Revalidate reports whether the attempt picked last may still be sent to its host; it is called just before
// the attempt is written. If it returns false, the caller reports NotSent and picks again.
func (c *Call) Revalidate() bool {
	defer panics.Escalate()
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	c.revalidatedAt = now
	return !c.finished && d.router.Revalidate(clock.Duration(now), c.id, c.attempt)
}

// Report records the outcome of the attempt picked last and returns the effective code, which is StaleAnswer
// for an answer whose data is too old for the request. After OK the call is finished; after any other code
// the caller calls Pick.
func (c *Call) Report(o Outcome) Code {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	e := c.attemptEnded(now, o)
	if e.Code == OK {
		c.finish()
	}
	d.step(now, e)
	return e.Code
}

// attemptEnded returns the router's event for the end of the attempt picked last. d.mu is held.
func (c *Call) attemptEnded(now float64, o Outcome) routing.AttemptEnded {
	if c.isStale(o) && !faulthook.Active(faulthook.ServeStale) {
		o.Code = StaleAnswer
	}
	if o.Code != OK && faulthook.Active(faulthook.ForgetRun) {
		o.Execution = NotBegun
	}
	round := math.Floor
	if c.class.Access == routing.Write && o.Code == OK {
		round = math.Ceil
	}
	e := routing.AttemptEnded{
		ID: c.id, Attempt: c.attempt, Code: o.Code, Execution: o.Execution, Role: o.Role,
		Final: o.Code == OK || c.finished, Elapsed: clock.Duration(now - c.chosenAt), Report: routingReport(o.Report),
		SinceWrite: clock.Duration(now - c.revalidatedAt),
	}
	if o.Position > 0 {
		e.Position = roundedDuration(o.Position, round)
	}
	return e
}

// RequiredPosition returns the minimum position of the data in an answer to the attempt picked last; 0: any.
func (c *Call) RequiredPosition() float64 {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.requiredPosition()
}

// requiredPosition implements RequiredPosition. d.mu is held.
func (c *Call) requiredPosition() float64 {
	if c.minPosition > 0 && c.class.Access == routing.BoundedRead { // its staleness bound counts from the write
		return c.minPosition + c.revalidatedAt - c.chosenAt
	}
	return c.minPosition
}

// IsStale reports whether the position stamped on the answer to the attempt picked last is too old for the request.
func (c *Call) IsStale(o Outcome) bool {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.isStale(o)
}

// isStale reports whether the position stamped on an answer is too old for the request. The host may have
// lost the primary role, or a part of its log, since its last report. d.mu is held.
func (c *Call) isStale(o Outcome) bool {
	return o.Code == OK && c.minPosition > 0 && o.Role == Replica && o.Position > 0 && o.Position+positionRounding <= c.requiredPosition()
}

// Finish records the outcome of the attempt picked last and ends the call: there is no further attempt,
// whatever the outcome is.
func (c *Call) Finish(o Outcome) {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.finished {
		c.finish()
		select {
		case c.decisions <- Decision{Verdict: ClientDisconnected}: // wakes a goroutine that is blocked in Pick
		default:
		}
	}
	now := d.clock.Now()
	// If no attempt was in flight, the router still has the request queued. Both events go into one step:
	// after the first event alone, the router might send an attempt of a request that no caller waits for.
	d.step(now, c.attemptEnded(now, o), routing.ClientGone{ID: c.id})
}

// Abandon ends the call because the client has disconnected. An attempt in flight must still be reported.
func (c *Call) Abandon() {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.finished {
		return
	}
	c.finish()
	c.decisions <- Decision{Verdict: ClientDisconnected}
	d.step(d.clock.Now(), routing.ClientGone{ID: c.id})
}

// queueSend queues the decision to send an attempt. d.mu is held.
func (c *Call) queueSend(now float64, a routing.Action) {
	deadline := c.deadline
	if a.Timeout > 0 {
		deadline = min(deadline, now+clock.Millis(a.Timeout))
	}
	c.attempt, c.chosenAt, c.revalidatedAt, c.minPosition = c.attempts, now, now, clock.Millis(a.MinPosition)
	c.host = a.Host
	c.attempts++
	c.decisions <- Decision{Verdict: Send, Host: a.Host, Attempt: c.attempt, Deadline: deadline}
}

// finish marks the call as finished and removes it. At most one more verdict is queued, the final one. d.mu
// is held.
func (c *Call) finish() {
	c.finished = true
	delete(c.dispatcher.calls, c.id)
}
