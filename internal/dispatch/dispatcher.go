// Package dispatch is the blocking, concurrency-safe interface to package routing. A caller picks the next
// attempt or the final answer of a request and reports the outcome of each attempt, and the package runs the
// router's timers. Network code does not deal with the router's events and actions, and the router does not
// deal with goroutines.
package dispatch

import (
	"context"
	"math"
	"sync"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/panics"
	"ashstand/internal/settings"
	"ashstand/routing"
)

// Dispatcher holds the router of this process. It is safe for concurrent use.
type Dispatcher struct {
	clock     clock.Clock
	probe     func(host string)
	closeIdle func(host string)
	wake      chan struct{} // signals to Run that timerAt has changed

	// mu guards the fields below, and those fields of every Call that are marked as guarded by it.
	mu           sync.Mutex
	settings     *settings.Parsed
	router       *routing.Router
	calls        map[string]*Call // unfinished calls by request id
	lastID       uint64
	timerAt      float64 // when the next timer is due; 0: none is set
	hasEndpoints bool
	slowStarts   map[string]*slowStartRecord // by host
}

// New returns a dispatcher. probe runs on its own goroutine for each probe that the router requests, and must
// call ProbeDone at its end; closeIdle closes the idle connections to a host, also on its own goroutine.
// Either may be nil.
func New(parsed *settings.Parsed, seed uint64, c clock.Clock, probe, closeIdle func(host string)) (*Dispatcher, error) {
	router, err := routing.New(parsed.Settings, seed)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		clock:     c,
		probe:     probe,
		closeIdle: closeIdle,
		wake:      make(chan struct{}, 1),
		settings:  parsed,
		router:    router,
		calls:     map[string]*Call{},

		slowStarts: map[string]*slowStartRecord{},
	}, nil
}

// Configure replaces the settings for all further decisions. If it fails, the settings stay unchanged.
func (d *Dispatcher) Configure(parsed *settings.Parsed) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.router.Configure(parsed.Settings); err != nil {
		return err
	}
	d.settings = parsed
	return nil
}

// Deadline returns how long clients of a class wait for an answer, in milliseconds; ok is false for a class
// that the settings do not name.
func (d *Dispatcher) Deadline(class string) (ms float64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.settings.Classes[class]
	if !ok {
		return 0, false
	}
	return clock.Millis(d.settings.Settings.Classes[i].Deadline), true
}

// IsWrite reports whether the requests of a class are writes.
func (d *Dispatcher) IsWrite(class string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.settings.Classes[class]
	return ok && d.settings.Settings.Classes[i].Access == routing.Write
}

// UpdateEndpoints passes the complete endpoint list, or changes to it, to the router.
func (d *Dispatcher) UpdateEndpoints(full bool, endpoints []Endpoint) {
	e := routing.TargetsChanged{Full: full}
	for _, p := range endpoints {
		e.Targets = append(e.Targets, routing.Target{
			Host: p.Host, Group: p.Group, Draining: p.Draining, Removed: p.Removed,
			Primary: p.Primary, StartedAt: roundedDuration(p.StartedAt, math.Floor),
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasEndpoints = d.hasEndpoints || full
	d.step(d.clock.Now(), e)
}

// Ready reports whether a complete endpoint list has been received.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasEndpoints
}

// IsActive reports whether new requests and probes may be sent to a host.
func (d *Dispatcher) IsActive(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.IsActive(host)
}

// InactiveSince returns since when a host has been draining or removed, in Unix milliseconds; 0 for an active
// or an unknown host.
func (d *Dispatcher) InactiveSince(host string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, _ := d.router.InactiveSince(host)
	return clock.Millis(at)
}

// Class returns the class with the given name; ok is false if the settings have no such class.
func (d *Dispatcher) Class(name string) (class routing.Class, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.settings.Classes[name]
	if !ok {
		return routing.Class{}, false
	}
	return d.settings.Settings.Classes[i], true
}

// ProbeDone records the outcome of a probe.
func (d *Dispatcher) ProbeDone(host string, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := routing.ProbeEnded{Host: host, Code: o.Code, Report: routingReport(o.Report)}
	d.step(d.clock.Now(), e)
}

// LateAnswer records the role and position from an answer that arrived after its attempt, written at sentAt,
// was given up.
func (d *Dispatcher) LateAnswer(host string, sentAt float64, isWrite bool, o Outcome) {
	if isWrite && o.Code == OK { // the position of a commit may have been rounded up by up to 1 ms
		o.Position = max(0, o.Position-1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	e := routing.LateAnswer{
		Host: host, Role: o.Role,
		Elapsed: clock.Duration(now - sentAt),
	}
	if o.Position > 0 {
		e.Position = roundedDuration(o.Position, math.Floor)
	}
	d.step(now, e)
}

// ExportState returns the part of the router's learned state that is kept across a restart.
func (d *Dispatcher) ExportState() routing.RouterState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.ExportState(clock.Duration(d.clock.Now()))
}

// ImportState restores learned state that was kept, weighted by its age. It applies to hosts once the
// endpoint list names them.
func (d *Dispatcher) ImportState(s routing.RouterState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ImportState(clock.Duration(d.clock.Now()), s)
}

// Tick lets the router do what is due now.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(d.clock.Now(), routing.TimerFired{})
}

// Run calls Tick whenever the router's timer is due, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	const idle = time.Hour // wait while no timer is set; wake ends it early
	t := time.NewTimer(idle)
	defer t.Stop()
	for {
		d.mu.Lock()
		timerAt := d.timerAt
		d.mu.Unlock()
		wait := idle
		if timerAt > 0 {
			wait = clock.Duration(max(0, timerAt-d.clock.Now()))
		}
		t.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-t.C:
			if timerAt > 0 {
				d.Tick()
			}
		}
	}
}

// step passes events to the router and carries out the actions that it returns. d.mu is held. An attempt of a
// call that has already finished is reported as not sent: without a report, the router would count it as in
// flight forever and take its host for one that does not answer.
//
// ActCancel needs no handling: it occurs only after Abandon and Finish, whose callers end the exchange
// through its context. ActSubscribe and ActFetch are ignored because discovery is watched continuously.
//
// A panic in the router ends the process: its state may be half changed.
func (d *Dispatcher) step(now float64, events ...routing.Event) {
	defer panics.Escalate()
	if d.timerAt > 0 && now >= d.timerAt {
		d.timerAt = 0
	}
	var unsent []routing.Event
	for _, a := range d.router.Step(clock.Duration(now), events) {
		switch a.Kind {
		case routing.ActSend:
			if c := d.calls[a.ID]; c != nil {
				c.queueSend(now, a)
			} else {
				unsent = append(unsent, routing.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: NotSent, Execution: NotBegun, Final: true})
			}
		case routing.ActReject:
			d.queueFinal(a.ID, Decision{Verdict: Reject, RetryAfter: clock.Millis(a.RetryAfter), Reason: a.Reason})
		case routing.ActFail:
			d.queueFinal(a.ID, Decision{Verdict: Fail, Reason: a.Reason})
		case routing.ActTimer:
			d.armTimer(clock.Millis(a.At))
		case routing.ActProbe:
			d.countSlowStart(a.Host, routing.PathProbe)
			if d.probe != nil {
				go d.probe(a.Host)
			}
		case routing.ActCloseIdle:
			if d.closeIdle != nil {
				go d.closeIdle(a.Host)
			}
		}
	}
	if len(unsent) > 0 {
		d.step(now, unsent...)
	}
}

// queueFinal finishes a call and queues its final decision. d.mu is held.
func (d *Dispatcher) queueFinal(id string, final Decision) {
	if c := d.calls[id]; c != nil {
		c.finish()
		c.decisions <- final
	}
}

// armTimer makes Run tick at the given time, unless an earlier tick is already set. d.mu is held.
func (d *Dispatcher) armTimer(at float64) {
	if d.timerAt > 0 && at >= d.timerAt {
		return
	}
	d.timerAt = at
	select {
	case d.wake <- struct{}{}:
	default: // Run has an unread signal already
	}
}

// roundedDuration converts a position in milliseconds to a duration that round has rounded to whole
// microseconds.
func roundedDuration(ms float64, round func(float64) float64) time.Duration {
	return time.Duration(round(ms*1e3)) * time.Microsecond
}

func routingReport(r Report) routing.Report {
	if r.Position <= 0 {
		return routing.Report{Role: r.Role}
	}
	return routing.Report{Role: r.Role, Position: roundedDuration(r.Position, math.Floor)}
}
