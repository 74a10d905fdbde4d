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
	Error          = routing.Error
	Full           = routing.Full
	NoAnswer       = routing.NoAnswer
	NoConnection   = routing.NoConnection
	ConnectionLost = routing.ConnectionLost
	Cancelled      = routing.Cancelled
	NotSent        = routing.NotSent
	Miss           = routing.Miss
	Spoilt         = routing.Spoilt
)

// Role is what a host said of itself.
type Role = routing.Role

// The roles.
const (
	Unknown = routing.Unknown
	Primary = routing.Primary
	Replica = routing.Replica
)

// guard is what a final answer needs at the least to reach its client before that gives up, in milliseconds.
const guard = 4.0

// ErrClass is returned for a class that the settings do not name.
var ErrClass = errors.New("the settings name no such class")

// Request is what the module has to know of a request. Times are in milliseconds.
type Request struct {
	Class    string
	Group    uint64
	Session  string // names the session; "": none
	Retry    bool   // marked as a repeat by its client
	Arrived  float64
	TimeLeft float64 // from Arrived, that the client will wait
	After    float64 // position that a read must see; 0: none
}

// Verdict is what a request has to do next.
type Verdict uint8

// The verdicts. All but Send are final.
const (
	Send   Verdict = iota
	Refuse         // trying again is harmless
	Fail           // it may have run, or can't be said not to
	Left           // the client has gone: nobody waits for an answer
)

// Next is a verdict with what it needs.
type Next struct {
	Verdict Verdict
	Host    string
	Attempt int
	Until   float64 // Send: when to stop waiting for the answer
	After   float64 // Refuse: come again after so many milliseconds; 0: no advice
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

// Member is an entry of the list of hosts.
type Member struct {
	Host     string
	Group    uint64
	Draining bool
	Gone     bool
	Primary  bool
	Started  float64 // Unix milliseconds; 0: long ago
}

// Facade holds the module. It is safe for concurrent use.
type Facade struct {
	clock   clock.Clock
	site    *settings.Parsed
	probe   func(host string)
	closing func(host string)

	mu     sync.Mutex
	module *routing.Choice
	calls  map[string]*Call
	last   uint64
	due    float64 // next timer; 0: none
	listed bool
	wake   chan struct{}
}

// New returns a facade. probe is started on a goroutine of its own for each probe that the module wants and
// must end in Probed; closing closes the idle connections to a host. Either may be nil.
func New(site *settings.Parsed, seed uint64, c clock.Clock, probe, closing func(host string)) (*Facade, error) {
	m, err := routing.New(site.Settings, seed)
	if err != nil {
		return nil, err
	}
	return &Facade{clock: c, site: site, probe: probe, closing: closing, module: m, calls: map[string]*Call{},
		wake: make(chan struct{}, 1)}, nil
}

// Configure takes other settings for what is decided from now on, or fails and changes nothing.
func (f *Facade) Configure(site *settings.Parsed) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.module.Configure(site.Settings); err != nil {
		return err
	}
	f.site = site
	return nil
}

// Call is one request from its arrival to its final answer.
type Call struct {
	f       *Facade
	id      string
	class   *routing.Class
	last    float64 // when to stop waiting for any attempt
	next    chan Next
	tries   int     // guarded by f.mu, as are the next three
	attempt int     // the one that is out
	sent    float64 // when it was chosen
	written float64 // when Still was asked last
	need    float64 // the least position that the data of its answer may have; 0: any
	over    bool    // no more attempts: the final verdict was queued or is not needed
}

// Begin takes a request. The caller owes it Pick until a final verdict, or until a Report of OK.
func (f *Facade) Begin(r Request) (*Call, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	class, ok := f.site.Classes[r.Class]
	if !ok {
		return nil, ErrClass
	}
	e := routing.Event{Kind: routing.EvRequest, Class: class, Group: r.Group, Retry: r.Retry,
		HasKey: r.Session != "", Key: key(r.Session)}
	now := f.clock.Now()
	e.TimeLeft = clock.Duration(max(0, r.Arrived+r.TimeLeft-now))
	if r.After > 0 { // a token from the present or later is no reason to take it for none
		e.Token = max(1, clock.Duration(now)-duration(r.After, math.Ceil))
	}
	f.last++
	// Ids of the program's own: two clients that send the same one must not share an answer.
	e.ID = strconv.FormatUint(f.last, 36)
	// The module has one attempt of a request out at a time, so a send and a final verdict are all that can wait.
	c := &Call{f: f, id: e.ID, class: &f.site.Settings.Classes[class], last: r.Arrived + r.TimeLeft - guard,
		next: make(chan Next, f.site.MaxAttempts+2)}
	f.calls[c.id] = c
	f.step(now, e)
	return c, nil
}

// key makes a number of a session's name.
func key(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// duration converts a position, rounded to the microsecond by round.
func duration(ms float64, round func(float64) float64) time.Duration {
	return time.Duration(round(ms*1e3)) * time.Microsecond
}

// Pick blocks until there is an attempt to make or a final verdict.
func (c *Call) Pick() Next { return <-c.next }

// TryPick is Pick without the wait. ok is false where nothing is decided yet: Pick then blocks, on a goroutine.
func (c *Call) TryPick() (n Next, ok bool) {
	select {
	case n = <-c.next:
		return n, true
	default:
		return Next{}, false
	}
}

// Conclude gives the outcome of the attempt picked last and ends the call with it: there is no further attempt,
// whatever the outcome is.
func (c *Call) Conclude(o Outcome) {
	f := c.f
	f.mu.Lock()
	if !c.over {
		c.end()
		select {
		case c.next <- Next{Verdict: Left}: // for whoever waits in Pick
		default:
		}
	}
	f.mu.Unlock()
	c.Report(o)
	// Where no attempt was out yet the module still holds the request, and would send it later for nobody.
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(f.clock.Now(), routing.Event{Kind: routing.EvLeft, ID: c.id})
}

// Deadline is how long clients of a class wait, in milliseconds; ok is false for a class that the settings do not name.
func (f *Facade) Deadline(class string) (ms float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.site.Classes[class]
	if !ok {
		return 0, false
	}
	return clock.Millis(f.site.Settings.Classes[i].Deadline), true
}

// Still asks again just before an attempt is written. If it is false, report NotSent and pick again.
func (c *Call) Still() bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	now := c.f.clock.Now()
	c.written = now
	return !c.over && c.f.module.Still(clock.Duration(now), c.id, c.attempt)
}

// Report gives the outcome of the attempt picked last and returns the code that counts. OK is the final answer; anything
// else asks for Pick.
func (c *Call) Report(o Outcome) Code {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if c.stale(o) {
		o.Code = Miss
	}
	round := math.Floor
	if c.class.Read == routing.Write && o.Code == OK {
		round = math.Ceil
	}
	e := routing.Event{Kind: routing.EvOutcome, ID: c.id, Attempt: c.attempt, Code: o.Code, Role: o.Role,
		Final: o.Code == OK || c.over, Elapsed: clock.Duration(now - c.sent)}
	if o.Position > 0 {
		e.Position = duration(o.Position, round)
	}
	e.Report = report(o.Report)
	if o.Code == OK {
		c.end()
	}
	f.step(now, e)
	return o.Code
}

// rounding is what the stamp of an answer may be below the position of its data, and the need of a read above its own.
const rounding = 2.0

// stale says whether an answer is by its own stamp too old for its request: its host may have lost the role, or its log,
// since it was last heard of.
func (c *Call) stale(o Outcome) bool {
	need := c.need
	if c.class.Read == routing.Bounded { // its bound counts from the write
		need += c.written - c.sent
	}
	return o.Code == OK && c.need > 0 && o.Role == Replica && o.Position > 0 && o.Position+rounding <= need
}

// Heard takes what a host said in an answer whose attempt, written at sent, was given up.
func (f *Facade) Heard(host string, sent float64, write bool, o Outcome) {
	if write && o.Code == OK { // a commit, rounded up
		o.Position = max(0, o.Position-1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	e := routing.Event{Kind: routing.EvHeard, Host: host, Code: o.Code, Role: o.Role, Elapsed: clock.Duration(now - sent)}
	if o.Position > 0 {
		e.Position = duration(o.Position, math.Floor)
	}
	f.step(now, e)
}

func report(r Report) routing.Report {
	if r.Position <= 0 {
		return routing.Report{Role: r.Role}
	}
	return routing.Report{Role: r.Role, Position: duration(r.Position, math.Floor)}
}

// Leave says that the client has gone. An attempt that is out must still be reported.
func (c *Call) Leave() {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.over {
		return
	}
	c.end()
	c.next <- Next{Verdict: Left}
	f.step(f.clock.Now(), routing.Event{Kind: routing.EvLeft, ID: c.id})
}

// end is called with the lock held.
func (c *Call) end() {
	c.over = true
	delete(c.f.calls, c.id)
}

// Tick runs what is due.
func (f *Facade) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(f.clock.Now(), routing.Event{Kind: routing.EvTimer})
}

// Run ticks when timers fall due, until ctx ends.
func (f *Facade) Run(ctx context.Context) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		f.mu.Lock()
		due := f.due
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

// Members takes the list of hosts, or the changes to it.
func (f *Facade) Members(full bool, ms []Member) {
	e := routing.Event{Kind: routing.EvTargets, Full: full}
	for _, m := range ms {
		e.Targets = append(e.Targets, routing.Target{Host: m.Host, Group: m.Group, Draining: m.Draining, Gone: m.Gone,
			Primary: m.Primary, Started: duration(m.Started, math.Floor)})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = f.listed || full
	f.step(f.clock.Now(), e)
}

// Ready says whether a list is held.
func (f *Facade) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Writes says whether a class is one of writes.
func (f *Facade) Writes(class string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.site.Classes[class]
	return ok && f.site.Settings.Classes[i].Read == routing.Write
}

// Listed says whether new work, probes included, may go to a host.
func (f *Facade) Listed(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.module.Listed(host)
}

// Probed gives the outcome of a probe.
func (f *Facade) Probed(host string, o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step(f.clock.Now(), routing.Event{Kind: routing.EvProbe, Host: host, Code: o.Code, Report: report(o.Report)})
}

// step is called with the lock held.
func (f *Facade) step(now float64, e routing.Event) {
	if f.due > 0 && now >= f.due {
		f.due = 0
	}
	for _, a := range f.module.Step(clock.Duration(now), []routing.Event{e}) {
		switch a.Kind {
		case routing.ActSend:
			c := f.calls[a.ID]
			if c == nil {
				continue
			}
			until := c.last
			if a.Timeout > 0 {
				until = min(until, now+clock.Millis(a.Timeout))
			}
			c.attempt, c.sent, c.written, c.need = c.tries, now, now, clock.Millis(a.Need)
			c.tries++
			c.next <- Next{Verdict: Send, Host: a.Host, Attempt: c.attempt, Until: until}
		case routing.ActRefuse, routing.ActFail:
			if c := f.calls[a.ID]; c != nil {
				n := Next{Verdict: Refuse, After: clock.Millis(a.After)}
				if a.Kind == routing.ActFail {
					n = Next{Verdict: Fail}
				}
				c.end()
				c.next <- n
			}
		case routing.ActTimer:
			if at := clock.Millis(a.At); f.due == 0 || at < f.due {
				f.due = at
				select {
				case f.wake <- struct{}{}:
				default:
				}
			}
		case routing.ActProbe:
			if f.probe != nil {
				go f.probe(a.Host)
			}
		case routing.ActClose:
			if f.closing != nil {
				go f.closing(a.Host)
			}
		}
		// ActCancel comes only with Leave here, which ends the exchange by its context; ActSubscribe and
		// ActFetch have no meaning where discovery is watched all the time.
	}
}

// Keep returns what the module has learned and is worth keeping across a restart.
func (f *Facade) Keep() routing.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.module.Export(clock.Duration(f.clock.Now()))
}

// Recall gives the module what was kept, weighed by its age. It counts for hosts as the list names them.
func (f *Facade) Recall(s routing.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.module.Import(clock.Duration(f.clock.Now()), s)
}
