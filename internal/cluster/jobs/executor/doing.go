// Package doing carries out the works that this pooler owns: it announces a deed in the log, has it done, and proves it.
// It acts only under a lease; what refuses an old owner is the token, at each place.
package executor

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/remedy"
)

// Log is the agreed one, as a pooler sees it.
type Log interface {
	// Works are those of the ledger as they are known here, and until when, by the clock, this pooler may act.
	Works() (of map[string]jobs.Work, until float64)
	// Enter brings an entry in; a *owner.Refusal changed nothing, after any other error it may still come.
	Enter(ctx context.Context, e jobs.Entry) error
	// Report is told to whoever names owners.
	Report(jobs.Report)
}

// Options are what a doer needs. Times are in milliseconds.
type Options struct {
	Name     string
	Instance uint64
	Zone     string
	Kinds    map[string]jobs.Kind
	Log      Log
	Clock    clock.Clock
	Pace     float64                         // between two looks
	Deed     float64                         // a deed that takes longer is in doubt, and looked for
	Reach    func() (reach, near []uint64)   // groups whose primary answers; nil: none
	Load     func() float64                  // nil: 0
	Sound    func() bool                     // nil: yes
	Deaf     bool                            // an act that has begun is not cut short by the end of the lease: for the laboratory, as if the process were stopped in it
	Trace    func(event string, w jobs.Work) // for the laboratory; nil: nobody
}

// Doer is running. Its methods are safe for concurrent use.
type Doer struct {
	o       Options
	begun   float64
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
	leaving atomic.Bool

	mu     sync.Mutex
	at     map[string]*at
	counts map[string]uint64 // of answers from places, by work
}

// at is a work that this process is at.
type at struct {
	token  jobs.Token
	cancel context.CancelFunc
	over   chan struct{}
	wait   string        // what it waits for, for operators
	says   []jobs.Option // the words that could be given
	err    error         // of the last try; nil: it went well
	seen   float64       // when a place answered last
}

// Start looks for works that this process owns, until Stop.
func Start(o Options) *Doer {
	d := &Doer{o: o, begun: o.Clock.Now(), at: map[string]*at{}, counts: map[string]uint64{}}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.done.Go(d.run)
	return d
}

// Leave hands every work over: deeds under way are finished, no other begins, and works are given back. It returns once
// that is done, or ctx ends: the leases see to the rest.
func (d *Doer) Leave(ctx context.Context) {
	d.leaving.Store(true)
	for {
		d.mu.Lock()
		var open []chan struct{}
		for _, a := range d.at {
			open = append(open, a.over)
		}
		d.mu.Unlock()
		if len(open) == 0 {
			return
		}
		select {
		case <-open[0]:
		case <-ctx.Done():
			return
		}
		d.turn()
	}
}

// Stop ends at once what is under way.
func (d *Doer) Stop() {
	d.stop()
	d.done.Wait()
}

func (d *Doer) run() {
	every := time.NewTicker(clock.Duration(max(1, d.o.Pace/4)))
	defer every.Stop()
	for {
		d.turn()
		d.tell()
		select {
		case <-d.ctx.Done():
			d.mu.Lock()
			var open []chan struct{}
			for _, a := range d.at {
				a.cancel()
				open = append(open, a.over)
			}
			d.mu.Unlock()
			for _, c := range open {
				<-c
			}
			return
		case <-every.C:
		}
	}
}

// mine says whether a work is this process's, under a token.
func (d *Doer) mine(w jobs.Work) bool {
	return !w.Ended && w.Owner == d.o.Name && w.Instance == d.o.Instance
}

// turn begins with works that have come, and leaves those that have gone or whose lease has run out.
func (d *Doer) turn() {
	works, until := d.o.Log.Works()
	now := d.o.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, a := range d.at {
		w, ok := works[name]
		if keep := ok && d.mine(w) && w.Token == a.token && now < until; !keep {
			a.cancel()
		}
		select {
		case <-a.over:
			delete(d.at, name)
		default:
		}
	}
	if now >= until || d.ctx.Err() != nil {
		return
	}
	for name, w := range works {
		k := d.o.Kinds[w.Kind]
		if k == nil || !d.mine(w) || d.at[name] != nil {
			continue
		}
		a := &at{token: w.Token, over: make(chan struct{})}
		var ctx context.Context
		ctx, a.cancel = context.WithCancel(d.ctx)
		d.at[name] = a
		go func() {
			defer close(a.over)
			defer a.cancel()
			d.serve(ctx, name, a, k)
		}()
	}
}

// tell says what this pooler is, for whoever names owners.
func (d *Doer) tell() {
	o := &d.o
	r := jobs.Report{Kinds: slices.Sorted(maps.Keys(o.Kinds)), Willing: !d.leaving.Load(), Sound: o.Sound == nil || o.Sound(), Zone: o.Zone, Up: o.Clock.Now() - d.begun}
	if o.Load != nil {
		r.Load = o.Load()
	}
	if o.Reach != nil {
		r.Reach, r.Near = o.Reach()
	}
	d.mu.Lock()
	r.Progress = maps.Clone(d.counts)
	d.mu.Unlock()
	o.Log.Report(r)
}

// answered counts that a place answered.
func (d *Doer) answered(name string, a *at, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.err = err; err == nil {
		d.counts[name]++
		a.seen = d.o.Clock.Now()
	}
	works, _ := d.o.Log.Works()
	for n := range d.counts { // of works that are somebody else's by now
		if w, ok := works[n]; !ok || !d.mine(w) {
			delete(d.counts, n)
		}
	}
}

func (d *Doer) trace(event string, w jobs.Work) {
	if d.o.Trace != nil {
		d.o.Trace(event, w)
	}
}

// enter brings an entry in within the time of a deed.
func (d *Doer) enter(ctx context.Context, e jobs.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(d.o.Deed))
	defer cancel()
	return d.o.Log.Enter(ctx, e)
}

// known waits until the copy of a work has got to a step beyond what was there, or ctx ends: what an entry came to may be
// known to its answer before the copy has it.
func (d *Doer) known(ctx context.Context, name string, past func(jobs.Work) bool) {
	for end := d.o.Clock.Now() + 2*d.o.Deed; ctx.Err() == nil && d.o.Clock.Now() < end; {
		works, _ := d.o.Log.Works()
		if w, ok := works[name]; !ok || past(w) {
			return
		}
		sleep(ctx, min(d.o.Pace, 2))
	}
}

// serve does one work, until it is another's or the lease ends.
func (d *Doer) serve(ctx context.Context, name string, a *at, k jobs.Kind) {
	slog.Info("cluster: this pooler owns the work "+name, "token", a.token)
	defer func() { slog.Info("cluster: this pooler lets go of the work "+name, "token", a.token) }()
	var seen any
	failures := 0
	for ctx.Err() == nil {
		works, _ := d.o.Log.Works()
		w, ok := works[name]
		if !ok || !d.mine(w) || w.Token != a.token {
			return
		}
		if w.Deed != nil { // announced before, by this owner or another: whether it was done is not known
			err := d.settle(ctx, &w, a, k)
			d.answered(name, a, err)
			if err != nil {
				failures++
				d.pause(ctx, failures)
			} else {
				failures, seen = 0, nil
			}
			continue
		}
		if d.leaving.Load() {
			err := d.enter(ctx, jobs.Entry{Op: jobs.Resign, Work: name, Token: a.token})
			var f *jobs.Refusal
			if err == nil || errors.As(err, &f) {
				return
			}
			d.pause(ctx, 1)
			continue
		}
		step := k.Next(d.o.Clock.Now(), &w, seen)
		d.mu.Lock()
		a.wait, a.says = step.Why, step.Says
		d.mu.Unlock()
		if step.Deed == "" {
			watching, cancel := context.WithTimeout(ctx, clock.Duration(d.o.Deed))
			got, err := k.Watch(watching, &w)
			cancel()
			if d.answered(name, a, err); err != nil {
				failures++
				d.pause(ctx, failures)
				continue
			}
			failures, seen = 0, got
			if next := k.Next(d.o.Clock.Now(), &w, seen); next.Deed == "" {
				wait := d.o.Pace
				if next.Wait > 0 {
					wait = next.Wait
				}
				d.rest(ctx, name, w.Changed, wait)
			}
			continue
		}
		if err := d.act(ctx, &w, step, a, k); err != nil {
			failures++
			d.answered(name, a, err)
			d.pause(ctx, failures)
		} else {
			failures, seen = 0, nil
			d.answered(name, a, nil)
		}
	}
}

// act announces a deed, does it, and proves it. An error leaves the deed to settle, if it was announced.
func (d *Doer) act(ctx context.Context, w *jobs.Work, step jobs.Step, a *at, k jobs.Kind) error {
	deed := jobs.Deed{Number: w.Next(), Name: step.Deed, Data: step.Data}
	err := d.enter(ctx, jobs.Entry{Op: jobs.Announce, Work: w.Name, Token: a.token, Step: w.Step, Deed: &deed, Word: step.Took})
	if err != nil { // unless it was refused it may yet come into the log, and is settled then
		d.known(ctx, w.Name, func(now jobs.Work) bool { return now.Changed > w.Changed })
		return err
	}
	deed.Token = a.token
	announced := *w
	announced.Deed = &deed
	d.trace("announced "+deed.ID(w.Name), announced)
	act := ctx
	if d.o.Deaf {
		act = context.WithoutCancel(ctx)
	}
	doing, cancel := context.WithTimeout(act, clock.Duration(d.o.Deed))
	p, err := k.Do(doing, &announced, &deed)
	cancel()
	if err != nil {
		d.trace("failed "+deed.ID(w.Name)+": "+err.Error(), announced)
		d.raise(ctx, w, err)
		d.known(ctx, w.Name, func(now jobs.Work) bool { return now.Deed != nil || now.Step > w.Step })
		return err
	}
	d.trace("acted "+deed.ID(w.Name), announced)
	return d.prove(ctx, &announced, &deed, a, p)
}

// settle finds out whether a deed was done.
func (d *Doer) settle(ctx context.Context, w *jobs.Work, a *at, k jobs.Kind) error {
	looking, cancel := context.WithTimeout(ctx, clock.Duration(d.o.Deed))
	done, p, err := k.Look(looking, w, w.Deed)
	cancel()
	if err != nil {
		d.raise(ctx, w, err)
		return err
	}
	if done {
		d.trace("found done "+w.Deed.ID(w.Name), *w)
		return d.prove(ctx, w, w.Deed, a, p)
	}
	d.trace("found not done "+w.Deed.ID(w.Name), *w)
	err = d.enter(ctx, jobs.Entry{Op: jobs.Void, Work: w.Name, Token: a.token, Deed: &jobs.Deed{Number: w.Deed.Number, Name: w.Deed.Name}})
	d.known(ctx, w.Name, func(now jobs.Work) bool { return now.Deed == nil || now.Deed.Number != w.Deed.Number })
	return err
}

// prove says in the log that a deed is done.
func (d *Doer) prove(ctx context.Context, w *jobs.Work, deed *jobs.Deed, a *at, p jobs.Proof) error {
	err := d.enter(ctx, jobs.Entry{Op: jobs.Prove, Work: w.Name, Token: a.token, Deed: &jobs.Deed{Number: deed.Number, Name: deed.Name}, State: p.State,
		Ended: p.Ended, Why: p.Why})
	if err == nil {
		d.trace("proved "+deed.ID(w.Name), *w)
	}
	d.known(ctx, w.Name, func(now jobs.Work) bool { return now.Step > w.Step || now.Ended })
	return err
}

// raise tells the log of a higher token that a place has seen.
func (d *Doer) raise(ctx context.Context, w *jobs.Work, err error) {
	var f *jobs.Fenced
	if errors.As(err, &f) && f.Holds > w.Token {
		d.trace("fenced at "+f.Place, *w)
		_ = d.enter(ctx, jobs.Entry{Op: jobs.Raise, Work: w.Name, Token: f.Holds})
	}
}

// pause waits before the next try, longer at each further failure.
func (d *Doer) pause(ctx context.Context, failures int) {
	sleep(ctx, d.o.Pace*float64(int(1)<<min(failures-1, 4)))
}

// rest waits, but no longer than until something changes.
func (d *Doer) rest(ctx context.Context, name string, changed uint64, wait float64) {
	for end := d.o.Clock.Now() + wait; ctx.Err() == nil && !d.leaving.Load() && d.o.Clock.Now() < end; {
		works, _ := d.o.Log.Works()
		if w, ok := works[name]; !ok || w.Changed != changed {
			return
		}
		sleep(ctx, min(wait, max(2, d.o.Pace/4)))
	}
}

func sleep(ctx context.Context, ms float64) {
	t := time.NewTimer(clock.Duration(max(1, ms)))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// View is what operators see of a work that this process is at.
type View struct {
	Wait string        `json:"waits_for,omitempty"`
	Says []jobs.Option `json:"words,omitempty"`
	Err  string        `json:"error,omitempty"`
	Code string        `json:"code,omitempty"`
	Do   string        `json:"advice,omitempty"`
	Seen float64       `json:"answered_at_ms,omitempty"`
}

// Views are of all that this process is at, by name.
func (d *Doer) Views() map[string]View {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]View{}
	for name, a := range d.at {
		v := View{Wait: a.wait, Says: a.says, Seen: a.seen}
		if a.err != nil {
			v.Err = a.err.Error()
			if known := remedy.Of(a.err); known != nil {
				v.Code, v.Do = known.Code(), known.Advice()
			}
		}
		out[name] = v
	}
	return out
}
