package dispatch

import (
	"cmp"
	"math"
	"strconv"

	"ashstand/internal/clock"
	"ashstand/internal/faulthook"
	"ashstand/routing"
)

const (
	// answerMargin is what a final answer needs at the least to reach its client before that gives up, in milliseconds.
	answerMargin = 4.0
	// positionRounding is what the stamp of an answer may be below the position of its data, and the need of a read above
	// its own, in milliseconds.
	positionRounding = 2.0
)

// Call is one request from its arrival to its final answer.
type Call struct {
	dispatcher *Dispatcher
	id         string
	class      *routing.Class
	classIndex int
	deadline   float64       // when to stop waiting for any attempt
	decisions  chan Decision // has a place for every decision that can be due

	// What follows is guarded by dispatcher.mu. Times are in milliseconds.
	attempts      int
	attempt       int     // the one in flight
	host          string  // that it goes to
	chosenAt      float64 // when that was chosen
	revalidatedAt float64 // when Revalidate was last called for it
	minPosition   float64 // that the data of its answer must have; 0: any
	finished      bool    // no more attempts: the final verdict was queued or is not needed
}

// Begin takes a request. The caller owes it Pick until a final verdict, or until a Report of OK.
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
	}
	now := d.clock.Now()
	e.TimeRemaining = clock.Duration(max(0, r.Arrived+r.TimeRemaining-now))
	if r.MinPosition > 0 { // a token from just now is no reason to take it for none
		e.CommitAge = cmp.Or(clock.Duration(now)-roundedDuration(r.MinPosition, math.Ceil), 1)
	}
	d.lastID++
	// Ids of the program's own: two clients that send the same one must not share an answer.
	e.ID = strconv.FormatUint(d.lastID, 36)
	c := &Call{
		dispatcher: d,
		id:         e.ID,
		class:      &d.settings.Settings.Classes[class],
		classIndex: class,
		deadline:   r.Arrived + r.TimeRemaining - answerMargin,
		// The router has one attempt of a request in flight at a time, so a send and a final verdict are all that can wait.
		decisions: make(chan Decision, d.settings.MaxAttempts+2),
	}
	d.calls[c.id] = c
	d.step(now, e)
	return c, nil
}

// sessionKey makes a number of a session's name: its FNV-1a hash.
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

// TryPick is Pick without the wait. ok is false where nothing is decided yet: Pick then blocks, on a goroutine.
func (c *Call) TryPick() (next Decision, ok bool) {
	select {
	case next = <-c.decisions:
		return next, true
	default:
		return Decision{}, false
	}
}

// Revalidate asks again just before an attempt is written. If it is false, report NotSent and pick again.
func (c *Call) Revalidate() bool {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	c.revalidatedAt = now
	return !c.finished && d.router.Revalidate(clock.Duration(now), c.id, c.attempt)
}

// Report gives the outcome of the attempt picked last and returns the code that counts: StaleAnswer for an answer that is too
// old for the request. OK is the final answer; anything else asks for Pick.
func (c *Call) Report(o Outcome) Code {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	e := c.ended(now, o)
	if e.Code == OK {
		c.finish()
	}
	d.step(now, e)
	return e.Code
}

// ended is the end of the attempt picked last, as the router is told of it; d.mu is held.
func (c *Call) ended(now float64, o Outcome) routing.AttemptEnded {
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
	}
	if o.Position > 0 {
		e.Position = roundedDuration(o.Position, round)
	}
	return e
}

// RequiredPosition returns the position that the data of an answer to the attempt picked last must have; 0: any.
func (c *Call) RequiredPosition() float64 {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.requiredPosition()
}

// requiredPosition is RequiredPosition. d.mu is held.
func (c *Call) requiredPosition() float64 {
	if c.minPosition > 0 && c.class.Access == routing.BoundedRead { // its bound counts from the write
		return c.minPosition + c.revalidatedAt - c.chosenAt
	}
	return c.minPosition
}

// isStale reports whether an answer is by its own stamp too old for its request: its host may have lost the role, or its
// log, since its last report. d.mu is held.
func (c *Call) isStale(o Outcome) bool {
	return o.Code == OK && c.minPosition > 0 && o.Role == Replica && o.Position > 0 && o.Position+positionRounding <= c.requiredPosition()
}

// Finish gives the outcome of the attempt picked last and ends the call with it: there is no further attempt, whatever the
// outcome is.
func (c *Call) Finish(o Outcome) {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.finished {
		c.finish()
		select {
		case c.decisions <- Decision{Verdict: ClientGone}: // for whoever waits in Pick
		default:
		}
	}
	now := d.clock.Now()
	// Where no attempt was in flight the router still queues the request. Both events are one step: behind the first alone, the
	// router's tick might send the request for nobody.
	d.step(now, c.ended(now, o), routing.ClientGone{ID: c.id})
}

// Abandon says that the client has gone. An attempt in flight must still be reported.
func (c *Call) Abandon() {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.finished {
		return
	}
	c.finish()
	c.decisions <- Decision{Verdict: ClientGone}
	d.step(d.clock.Now(), routing.ClientGone{ID: c.id})
}

// send queues the decision to send an attempt; d.mu is held.
func (c *Call) send(now float64, a routing.Action) {
	deadline := c.deadline
	if a.Timeout > 0 {
		deadline = min(deadline, now+clock.Millis(a.Timeout))
	}
	c.attempt, c.chosenAt, c.revalidatedAt, c.minPosition = c.attempts, now, now, clock.Millis(a.MinPosition)
	c.host = a.Host
	c.attempts++
	c.decisions <- Decision{Verdict: Send, Host: a.Host, Attempt: c.attempt, Deadline: deadline}
}

// finish makes the next verdict, if any, the last one; d.mu is held.
func (c *Call) finish() {
	c.finished = true
	delete(c.dispatcher.calls, c.id)
}
