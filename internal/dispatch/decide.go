// Package decide is the blocking face of the decision module: a request picks its next attempt or final
// answer, reports what came of an attempt, and timers tick. Network code sees nothing of the module's events
// and actions, and the module nothing of goroutines.
package dispatch

import (
	"context"
	"errors"
	"math"
	"strconv"
	"sync"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/settings"
	"ashstand/routing"
)

// Code is how an attempt or a probe ended; the names are the module's.
type Code = routing.Code

// The endings that a network can tell apart.
const (
	OK             = routing.OK
	ServerError    = routing.ServerError
	Rejected       = routing.Rejected
	NoAnswer       = routing.NoAnswer
	NoConnection   = routing.NoConnection
	ConnectionLost = routing.ConnectionLost
	Cancelled      = routing.Cancelled
	NotSent        = routing.NotSent
	Misdirected    = routing.Misdirected
	Malformed      = routing.Malformed
)

// Role is what a host said of itself.
type Role = routing.Role

// The roles.
const (
	Unknown = routing.Unknown
	Primary = routing.Primary
	Replica = routing.Replica
)

// answerMargin is what a final answer needs at the least to reach its client before that gives up, in milliseconds.
const answerMargin = 4.0

// ErrUnknownClass is returned for a class that the settings do not name.
var ErrUnknownClass = errors.New("the settings name no such class")

// Request is what the module has to know of a request. Times are in milliseconds.
type Request struct {
	Class         string
	Group         uint64
	Session       string // names the session; "": none
	IsRetry       bool   // marked as a repeat by its client
	Arrived       float64
	TimeRemaining float64 // from Arrived, that the client will wait
	MinPosition   float64 // position that a read must see; 0: none
}

// Verdict is what a request has to do next.
type Verdict uint8

// The verdicts. All but Send are final.
const (
	Send       Verdict = iota
	Reject             // trying again is harmless
	Fail               // it may have run, or can't be said not to
	ClientGone         // the client has gone: nobody waits for an answer
)

// Decision is a verdict with what it needs.
type Decision struct {
	Verdict    Verdict
	Host       string
	Attempt    int
	Deadline   float64 // Send: when to stop waiting for the answer
	RetryAfter float64 // Refuse: come again after so many milliseconds; 0: no advice
}

// Outcome is what came of an attempt or a probe. Positions are Unix milliseconds, 0 where none was given.
type Outcome struct {
	Code     Code
	Role     Role
	Position float64 // of the data or, for a write that went through, its commit
	Report   Report
}

// Report is what a load report says of role and position.
type Report struct {
	Role     Role
	Position float64
}

// Endpoint is an entry of the list of hosts.
type Endpoint struct {
	Host      string
	Group     uint64
	Draining  bool
	Removed   bool
	Primary   bool
	StartedAt float64 // Unix milliseconds; 0: long ago
}

// Dispatcher holds the module. It is safe for concurrent use.
type Dispatcher struct {
	clock     clock.Clock
	settings  *settings.Parsed
	probe     func(host string)
	closeIdle func(host string)

	mu           sync.Mutex
	router       *routing.Router
	calls        map[string]*Call
	lastID       uint64
	timerAt      float64 // next timer; 0: none
	hasEndpoints bool
	wake         chan struct{}
}

// New returns a facade. probe is started on a goroutine of its own for each probe that the module wants and
// must end in Probed; closing closes the idle connections to a host. Either may be nil.
func New(site *settings.Parsed, seed uint64, c clock.Clock, probe, closing func(host string)) (*Dispatcher, error) {
	m, err := routing.New(site.Settings, seed)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		clock: c, settings: site, probe: probe, closeIdle: closing, router: m, calls: map[string]*Call{},
		wake: make(chan struct{}, 1),
	}, nil
}

// Configure takes other settings for what is decided from now on, or fails and changes nothing.
func (f *Dispatcher) Configure(site *settings.Parsed) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.router.Configure(site.Settings); err != nil {
		return err
	}
	f.settings = site
	return nil
}

// Call is one request from its arrival to its final answer.
type Call struct {
	dispatcher    *Dispatcher
	id            string
	class         *routing.Class
	deadline      float64 // when to stop waiting for any attempt
	decisions     chan Decision
	attempts      int     // guarded by f.mu, as are the next three
	attempt       int     // the one that is out
	chosenAt      float64 // when it was chosen
	revalidatedAt float64 // when Still was asked last
	minPosition   float64 // the least position that the data of its answer may have; 0: any
	finished      bool    // no more attempts: the final verdict was queued or is not needed
}

// Begin takes a request. The caller owes it Pick until a final verdict, or until a Report of OK.
func (f *Dispatcher) Begin(r Request) (*Call, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	class, ok := f.settings.Classes[r.Class]
	if !ok {
		return nil, ErrUnknownClass
	}
	e := routing.Event{
		Kind: routing.EventRequest, Class: class, Group: r.Group, IsRetry: r.IsRetry,
		HasSessionKey: r.Session != "", SessionKey: sessionKey(r.Session),
	}
	now := f.clock.Now()
	e.TimeRemaining = clock.Duration(max(0, r.Arrived+r.TimeRemaining-now))
	if r.MinPosition > 0 { // a token from the present or later is no reason to take it for none
		e.CommitAge = max(1, clock.Duration(now)-roundedDuration(r.MinPosition, math.Ceil))
	}
	f.lastID++
	// Ids of the program's own: two clients that send the same one must not share an answer.
	e.ID = strconv.FormatUint(f.lastID, 36)
	// The module has one attempt of a request out at a time, so a send and a final verdict are all that can wait.
	c := &Call{
		dispatcher: f, id: e.ID, class: &f.settings.Settings.Classes[class], deadline: r.Arrived + r.TimeRemaining - answerMargin,
		decisions: make(chan Decision, f.settings.MaxAttempts+2),
	}
	f.calls[c.id] = c
	f.step(now, e)
	return c, nil
}

// sessionKey makes a number of a session's name.
func sessionKey(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// roundedDuration converts a position, rounded to the microsecond by round.
func roundedDuration(ms float64, round func(float64) float64) time.Duration {
	return time.Duration(round(ms*1e3)) * time.Microsecond
}

// Pick blocks until there is an attempt to make or a final verdict.
func (c *Call) Pick() Decision { return <-c.decisions }

// TryPick is Pick without the wait. ok is false where nothing is decided yet: Pick then blocks, on a goroutine.
func (c *Call) TryPick() (n Decision, ok bool) {
	select {
	case n = <-c.decisions:
		return n, true
	default:
		return Decision{}, false
	}
}

// Finish gives the outcome of the attempt picked last and ends the call with it: there is no further attempt,
// whatever the outcome is.
func (c *Call) Finish(o Outcome) {
	f := c.dispatcher
	f.mu.Lock()
	if !c.finished {
		c.finish()
		select {
		case c.decisions <- Decision{Verdict: ClientGone}: // for whoever waits in Pick
		default:
		}
	}
	f.mu.Unlock()
	c.Report(o)
	// Where no attempt was out yet the module still holds the request, and would send it later for nobody.
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(f.clock.Now(), routing.Event{Kind: routing.EventClientGone, ID: c.id})
}

// Deadline is how long clients of a class wait, in milliseconds; ok is false for a class that the settings do not name.
func (f *Dispatcher) Deadline(class string) (ms float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.settings.Classes[class]
	if !ok {
		return 0, false
	}
	return clock.Millis(f.settings.Settings.Classes[i].Deadline), true
}

// Revalidate asks again just before an attempt is written. If it is false, report NotSent and pick again.
func (c *Call) Revalidate() bool {
	c.dispatcher.mu.Lock()
	defer c.dispatcher.mu.Unlock()
	now := c.dispatcher.clock.Now()
	c.revalidatedAt = now
	return !c.finished && c.dispatcher.router.Revalidate(clock.Duration(now), c.id, c.attempt)
}

// Report gives the outcome of the attempt picked last and returns the code that counts. OK is the final answer; anything
// else asks for Pick.
func (c *Call) Report(o Outcome) Code {
	f := c.dispatcher
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if c.isStale(o) {
		o.Code = Misdirected
	}
	round := math.Floor
	if c.class.Access == routing.Write && o.Code == OK {
		round = math.Ceil
	}
	e := routing.Event{
		Kind: routing.EventOutcome, ID: c.id, Attempt: c.attempt, Code: o.Code, Role: o.Role,
		Final: o.Code == OK || c.finished, Elapsed: clock.Duration(now - c.chosenAt),
	}
	if o.Position > 0 {
		e.Position = roundedDuration(o.Position, round)
	}
	e.Report = routingReport(o.Report)
	if o.Code == OK {
		c.finish()
	}
	f.step(now, e)
	return o.Code
}

// positionRounding is what the stamp of an answer may be below the position of its data, and the need of a read above its own.
const positionRounding = 2.0

// isStale says whether an answer is by its own stamp too old for its request: its host may have lost the role, or its log,
// since it was last heard of.
func (c *Call) isStale(o Outcome) bool {
	need := c.minPosition
	if c.class.Access == routing.BoundedRead { // its bound counts from the write
		need += c.revalidatedAt - c.chosenAt
	}
	return o.Code == OK && c.minPosition > 0 && o.Role == Replica && o.Position > 0 && o.Position+positionRounding <= need
}

// LateAnswer takes what a host said in an answer whose attempt, written at sent, was given up.
func (f *Dispatcher) LateAnswer(host string, sent float64, write bool, o Outcome) {
	if write && o.Code == OK { // a commit, rounded up
		o.Position = max(0, o.Position-1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	e := routing.Event{Kind: routing.EventLateAnswer, Host: host, Code: o.Code, Role: o.Role, Elapsed: clock.Duration(now - sent)}
	if o.Position > 0 {
		e.Position = roundedDuration(o.Position, math.Floor)
	}
	f.step(now, e)
}

func routingReport(r Report) routing.Report {
	if r.Position <= 0 {
		return routing.Report{Role: r.Role}
	}
	return routing.Report{Role: r.Role, Position: roundedDuration(r.Position, math.Floor)}
}

// Abandon says that the client has gone. An attempt that is out must still be reported.
func (c *Call) Abandon() {
	f := c.dispatcher
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.finished {
		return
	}
	c.finish()
	c.decisions <- Decision{Verdict: ClientGone}
	f.step(f.clock.Now(), routing.Event{Kind: routing.EventClientGone, ID: c.id})
}

// finish is called with the lock held.
func (c *Call) finish() {
	c.finished = true
	delete(c.dispatcher.calls, c.id)
}

// Tick runs what is due.
func (f *Dispatcher) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(f.clock.Now(), routing.Event{Kind: routing.EventTimer})
}

// Run ticks when timers fall due, until ctx ends.
func (f *Dispatcher) Run(ctx context.Context) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		f.mu.Lock()
		due := f.timerAt
		f.mu.Unlock()
		wait := time.Hour
		if due > 0 {
			wait = clock.Duration(max(0, due-f.clock.Now()))
		}
		t.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-t.C:
			if due > 0 {
				f.Tick()
			}
		}
	}
}

// UpdateEndpoints takes the list of hosts, or the changes to it.
func (f *Dispatcher) UpdateEndpoints(full bool, ms []Endpoint) {
	e := routing.Event{Kind: routing.EventTargets, Full: full}
	for _, m := range ms {
		e.Targets = append(e.Targets, routing.Target{
			Host: m.Host, Group: m.Group, Draining: m.Draining, Removed: m.Removed,
			Primary: m.Primary, StartedAt: roundedDuration(m.StartedAt, math.Floor),
		})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasEndpoints = f.hasEndpoints || full
	f.step(f.clock.Now(), e)
}

// Ready says whether a list is held.
func (f *Dispatcher) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasEndpoints
}

// IsWrite says whether a class is one of writes.
func (f *Dispatcher) IsWrite(class string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.settings.Classes[class]
	return ok && f.settings.Settings.Classes[i].Access == routing.Write
}

// IsActive says whether new work, probes included, may go to a host.
func (f *Dispatcher) IsActive(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.IsActive(host)
}

// ProbeDone gives the outcome of a probe.
func (f *Dispatcher) ProbeDone(host string, o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(f.clock.Now(), routing.Event{Kind: routing.EventProbeResult, Host: host, Code: o.Code, Report: routingReport(o.Report)})
}

// step is called with the lock held.
func (f *Dispatcher) step(now float64, e routing.Event) {
	if f.timerAt > 0 && now >= f.timerAt {
		f.timerAt = 0
	}
	for _, a := range f.router.Step(clock.Duration(now), []routing.Event{e}) {
		switch a.Kind {
		case routing.ActSend:
			c := f.calls[a.ID]
			if c == nil {
				continue
			}
			until := c.deadline
			if a.Timeout > 0 {
				until = min(until, now+clock.Millis(a.Timeout))
			}
			c.attempt, c.chosenAt, c.revalidatedAt, c.minPosition = c.attempts, now, now, clock.Millis(a.MinPosition)
			c.attempts++
			c.decisions <- Decision{Verdict: Send, Host: a.Host, Attempt: c.attempt, Deadline: until}
		case routing.ActReject, routing.ActFail:
			if c := f.calls[a.ID]; c != nil {
				n := Decision{Verdict: Reject, RetryAfter: clock.Millis(a.RetryAfter)}
				if a.Kind == routing.ActFail {
					n = Decision{Verdict: Fail}
				}
				c.finish()
				c.decisions <- n
			}
		case routing.ActTimer:
			if at := clock.Millis(a.At); f.timerAt == 0 || at < f.timerAt {
				f.timerAt = at
				select {
				case f.wake <- struct{}{}:
				default:
				}
			}
		case routing.ActProbe:
			if f.probe != nil {
				go f.probe(a.Host)
			}
		case routing.ActCloseIdle:
			if f.closeIdle != nil {
				go f.closeIdle(a.Host)
			}
		}
		// ActCancel comes only with Leave here, which ends the exchange by its context; ActSubscribe and
		// ActFetch have no meaning where discovery is watched all the time.
	}
}

// ExportState returns what the module has learned and is worth keeping across a restart.
func (f *Dispatcher) ExportState() routing.RouterState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.ExportState(clock.Duration(f.clock.Now()))
}

// ImportState gives the module what was kept, weighed by its age. It counts for hosts as the list names them.
func (f *Dispatcher) ImportState(s routing.RouterState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.ImportState(clock.Duration(f.clock.Now()), s)
}
