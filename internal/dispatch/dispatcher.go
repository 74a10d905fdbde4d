// Package dispatch is the blocking face of package routing: a request picks its next attempt or final answer and
// reports what came of an attempt, and timers tick. Network code sees nothing of routing's events and actions, and
// routing nothing of goroutines.
package dispatch

import (
	"context"
	"math"
	"sync"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/settings"
	"ashstand/routing"
)

// Dispatcher holds the router of this process. It is safe for concurrent use.
type Dispatcher struct {
	clock     clock.Clock
	probe     func(host string)
	closeIdle func(host string)
	wake      chan struct{} // tells Run that timerAt has moved

	// mu guards what follows, and the fields of every Call that say so.
	mu           sync.Mutex
	settings     *settings.Parsed
	router       *routing.Router
	calls        map[string]*Call // by request id, until their final verdict
	lastID       uint64
	timerAt      float64 // next timer; 0: none
	hasEndpoints bool
	slowStarts   map[string]*slowStartRecord // by host
}

// New returns a dispatcher. probe is started on a goroutine of its own for each probe that the router wants and must
// end in ProbeDone; closeIdle closes the idle connections to a host, on a goroutine of its own. Either may be nil.
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

// Configure takes other settings for what is decided from now on, or fails and changes nothing.
func (d *Dispatcher) Configure(parsed *settings.Parsed) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.router.Configure(parsed.Settings); err != nil {
		return err
	}
	d.settings = parsed
	return nil
}

// Deadline is how long clients of a class wait, in milliseconds; ok is false for a class that the settings do not name.
func (d *Dispatcher) Deadline(class string) (ms float64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.settings.Classes[class]
	if !ok {
		return 0, false
	}
	return clock.Millis(d.settings.Settings.Classes[i].Deadline), true
}

// IsWrite reports whether a class is one of writes.
func (d *Dispatcher) IsWrite(class string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.settings.Classes[class]
	return ok && d.settings.Settings.Classes[i].Access == routing.Write
}

// UpdateEndpoints takes the endpoint list, or the changes to it.
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

// Ready reports whether a complete endpoint list has come.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasEndpoints
}

// IsActive reports whether new work, probes included, may go to a host.
func (d *Dispatcher) IsActive(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.IsActive(host)
}

// InactiveSince returns since when a host takes nothing new, in milliseconds; 0 for one that does, or that is not known.
func (d *Dispatcher) InactiveSince(host string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, _ := d.router.InactiveSince(host)
	return clock.Millis(at)
}

// Class returns the class of a name; ok is false for one that the settings do not name.
func (d *Dispatcher) Class(name string) (class routing.Class, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i, ok := d.settings.Classes[name]
	if !ok {
		return routing.Class{}, false
	}
	return d.settings.Settings.Classes[i], true
}

// ProbeDone gives the outcome of a probe.
func (d *Dispatcher) ProbeDone(host string, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := routing.ProbeEnded{Host: host, Code: o.Code, Report: routingReport(o.Report)}
	d.step(d.clock.Now(), e)
}

// LateAnswer takes what a host said in an answer whose attempt, written at sentAt, was given up.
func (d *Dispatcher) LateAnswer(host string, sentAt float64, isWrite bool, o Outcome) {
	if isWrite && o.Code == OK { // a commit, rounded up
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

// ExportState returns what the router has learned and is worth keeping across a restart.
func (d *Dispatcher) ExportState() routing.RouterState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.ExportState(clock.Duration(d.clock.Now()))
}

// ImportState gives the router what was kept, weighed by its age. It counts for hosts as the endpoint list names them.
func (d *Dispatcher) ImportState(s routing.RouterState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ImportState(clock.Duration(d.clock.Now()), s)
}

// Tick runs what is due.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(d.clock.Now(), routing.TimerFired{})
}

// Run ticks when timers are due, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	const idle = time.Hour // without a timer; wake ends it
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

// step gives events to the router and carries out its actions; d.mu is held. An attempt of a call that has ended is reported as not
// sent: left without a word, it would count as in flight for good, and its host as silent.
//
// ActCancel comes only with Abandon and Finish here, which end the exchange by its context; ActSubscribe and ActFetch have
// no meaning where discovery is watched all the time.
func (d *Dispatcher) step(now float64, events ...routing.Event) {
	if d.timerAt > 0 && now >= d.timerAt {
		d.timerAt = 0
	}
	var unsent []routing.Event
	for _, a := range d.router.Step(clock.Duration(now), events) {
		switch a.Kind {
		case routing.ActSend:
			if c := d.calls[a.ID]; c != nil {
				c.send(now, a)
			} else {
				unsent = append(unsent, routing.AttemptEnded{ID: a.ID, Attempt: a.Attempt, Code: NotSent, Execution: NotBegun, Final: true})
			}
		case routing.ActReject:
			d.answer(a.ID, Decision{Verdict: Reject, RetryAfter: clock.Millis(a.RetryAfter), Reason: a.Reason})
		case routing.ActFail:
			d.answer(a.ID, Decision{Verdict: Fail, Reason: a.Reason})
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

// answer gives a call its final decision; d.mu is held.
func (d *Dispatcher) answer(id string, final Decision) {
	if c := d.calls[id]; c != nil {
		c.finish()
		c.decisions <- final
	}
}

// armTimer makes Run tick at a time, unless it will tick before; d.mu is held.
func (d *Dispatcher) armTimer(at float64) {
	if d.timerAt > 0 && at >= d.timerAt {
		return
	}
	d.timerAt = at
	select {
	case d.wake <- struct{}{}:
	default: // it is awake already, or will be
	}
}

// roundedDuration converts a position, rounded to the microsecond by round.
func roundedDuration(ms float64, round func(float64) float64) time.Duration {
	return time.Duration(round(ms*1e3)) * time.Microsecond
}

func routingReport(r Report) routing.Report {
	if r.Position <= 0 {
		return routing.Report{Role: r.Role}
	}
	return routing.Report{Role: r.Role, Position: roundedDuration(r.Position, math.Floor)}
}
