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
	Jobs() (of map[string]jobs.Job, until float64)
	// Enter brings an entry in; a *owner.Refusal changed nothing, after any other error it may still come.
	Propose(ctx context.Context, e jobs.Entry) error
	// Report is told to whoever names owners.
	SetReport(jobs.Report)
}

// Options are what a doer needs. Times are in milliseconds.
type Options struct {
	Name            string
	Incarnation     uint64
	Zone            string
	Handlers        map[string]jobs.Handler
	Log             Log
	Clock           clock.Clock
	PollMillis      float64                        // between two looks
	OperationMillis float64                        // a deed that takes longer is in doubt, and looked for
	Reachable       func() (reach, near []uint64)  // groups whose primary answers; nil: none
	Load            func() float64                 // nil: 0
	Healthy         func() bool                    // nil: yes
	IgnoreLeaseEnd  bool                           // an act that has begun is not cut short by the end of the lease: for the laboratory, as if the process were stopped in it
	Trace           func(event string, w jobs.Job) // for the laboratory; nil: nobody
}

// Executor is running. Its methods are safe for concurrent use.
type Executor struct {
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
	token  jobs.FencingToken
	cancel context.CancelFunc
	over   chan struct{}
	wait   string                // what it waits for, for operators
	says   []jobs.ApprovalOption // the words that could be given
	err    error                 // of the last try; nil: it went well
	seen   float64               // when a place answered last
}

// Start looks for works that this process owns, until Stop.
func Start(o Options) *Executor {
	d := &Executor{o: o, begun: o.Clock.Now(), at: map[string]*at{}, counts: map[string]uint64{}}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.done.Go(d.run)
	return d
}

// Drain hands every work over: deeds under way are finished, no other begins, and works are given back. It returns once
// that is done, or ctx ends: the leases see to the rest.
func (d *Executor) Drain(ctx context.Context) {
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
func (d *Executor) Stop() {
	d.stop()
	d.done.Wait()
}

func (d *Executor) run() {
	every := time.NewTicker(clock.Duration(max(1, d.o.PollMillis/4)))
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
func (d *Executor) mine(w jobs.Job) bool {
	return !w.Finished && w.Holder == d.o.Name && w.Incarnation == d.o.Incarnation
}

// turn begins with works that have come, and leaves those that have gone or whose lease has run out.
func (d *Executor) turn() {
	works, until := d.o.Log.Jobs()
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
		k := d.o.Handlers[w.Kind]
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
func (d *Executor) tell() {
	o := &d.o
	r := jobs.Report{Kinds: slices.Sorted(maps.Keys(o.Handlers)), AcceptsJobs: !d.leaving.Load(), Healthy: o.Healthy == nil || o.Healthy(), Zone: o.Zone, UptimeMillis: o.Clock.Now() - d.begun}
	if o.Load != nil {
		r.Load = o.Load()
	}
	if o.Reachable != nil {
		r.ReachableGroups, r.LocalGroups = o.Reachable()
	}
	d.mu.Lock()
	r.Progress = maps.Clone(d.counts)
	d.mu.Unlock()
	o.Log.SetReport(r)
}

// answered counts that a place answered.
func (d *Executor) answered(name string, a *at, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.err = err; err == nil {
		d.counts[name]++
		a.seen = d.o.Clock.Now()
	}
	works, _ := d.o.Log.Jobs()
	for n := range d.counts { // of works that are somebody else's by now
		if w, ok := works[n]; !ok || !d.mine(w) {
			delete(d.counts, n)
		}
	}
}

func (d *Executor) trace(event string, w jobs.Job) {
	if d.o.Trace != nil {
		d.o.Trace(event, w)
	}
}

// enter brings an entry in within the time of a deed.
func (d *Executor) enter(ctx context.Context, e jobs.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(d.o.OperationMillis))
	defer cancel()
	return d.o.Log.Propose(ctx, e)
}

// known waits until the copy of a work has got to a step beyond what was there, or ctx ends: what an entry came to may be
// known to its answer before the copy has it.
func (d *Executor) known(ctx context.Context, name string, past func(jobs.Job) bool) {
	for end := d.o.Clock.Now() + 2*d.o.OperationMillis; ctx.Err() == nil && d.o.Clock.Now() < end; {
		works, _ := d.o.Log.Jobs()
		if w, ok := works[name]; !ok || past(w) {
			return
		}
		sleep(ctx, min(d.o.PollMillis, 2))
	}
}

// serve does one work, until it is another's or the lease ends.
func (d *Executor) serve(ctx context.Context, name string, a *at, k jobs.Handler) {
	slog.Info("cluster: this pooler owns the work "+name, "token", a.token)
	defer func() { slog.Info("cluster: this pooler lets go of the work "+name, "token", a.token) }()
	var seen any
	failures := 0
	for ctx.Err() == nil {
		works, _ := d.o.Log.Jobs()
		w, ok := works[name]
		if !ok || !d.mine(w) || w.Token != a.token {
			return
		}
		if w.Operation != nil { // announced before, by this owner or another: whether it was done is not known
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
			err := d.enter(ctx, jobs.Entry{Type: jobs.EntryRelease, Job: name, Token: a.token})
			var f *jobs.RejectedError
			if err == nil || errors.As(err, &f) {
				return
			}
			d.pause(ctx, 1)
			continue
		}
		step := k.Next(d.o.Clock.Now(), &w, seen)
		d.mu.Lock()
		a.wait, a.says = step.Reason, step.Options
		d.mu.Unlock()
		if step.OperationName == "" {
			watching, cancel := context.WithTimeout(ctx, clock.Duration(d.o.OperationMillis))
			got, err := k.Observe(watching, &w)
			cancel()
			if d.answered(name, a, err); err != nil {
				failures++
				d.pause(ctx, failures)
				continue
			}
			failures, seen = 0, got
			if next := k.Next(d.o.Clock.Now(), &w, seen); next.OperationName == "" {
				wait := d.o.PollMillis
				if next.RetryAfterMillis > 0 {
					wait = next.RetryAfterMillis
				}
				d.rest(ctx, name, w.Revision, wait)
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
func (d *Executor) act(ctx context.Context, w *jobs.Job, step jobs.Decision, a *at, k jobs.Handler) error {
	deed := jobs.Operation{Number: w.NextOperationNumber(), Name: step.OperationName, Data: step.Data}
	err := d.enter(ctx, jobs.Entry{Type: jobs.EntryAnnounce, Job: w.Name, Token: a.token, Step: w.Step, Operation: &deed, Approval: step.Approval})
	if err != nil { // unless it was refused it may yet come into the log, and is settled then
		d.known(ctx, w.Name, func(now jobs.Job) bool { return now.Revision > w.Revision })
		return err
	}
	deed.Token = a.token
	announced := *w
	announced.Operation = &deed
	d.trace("announced "+deed.ID(w.Name), announced)
	act := ctx
	if d.o.IgnoreLeaseEnd {
		act = context.WithoutCancel(ctx)
	}
	doing, cancel := context.WithTimeout(act, clock.Duration(d.o.OperationMillis))
	p, err := k.Execute(doing, &announced, &deed)
	cancel()
	if err != nil {
		d.trace("failed "+deed.ID(w.Name)+": "+err.Error(), announced)
		d.raise(ctx, w, err)
		d.known(ctx, w.Name, func(now jobs.Job) bool { return now.Operation != nil || now.Step > w.Step })
		return err
	}
	d.trace("acted "+deed.ID(w.Name), announced)
	return d.prove(ctx, &announced, &deed, a, p)
}

// settle finds out whether a deed was done.
func (d *Executor) settle(ctx context.Context, w *jobs.Job, a *at, k jobs.Handler) error {
	looking, cancel := context.WithTimeout(ctx, clock.Duration(d.o.OperationMillis))
	done, p, err := k.Recover(looking, w, w.Operation)
	cancel()
	if err != nil {
		d.raise(ctx, w, err)
		return err
	}
	if done {
		d.trace("found done "+w.Operation.ID(w.Name), *w)
		return d.prove(ctx, w, w.Operation, a, p)
	}
	d.trace("found not done "+w.Operation.ID(w.Name), *w)
	err = d.enter(ctx, jobs.Entry{Type: jobs.EntryAbort, Job: w.Name, Token: a.token, Operation: &jobs.Operation{Number: w.Operation.Number, Name: w.Operation.Name}})
	d.known(ctx, w.Name, func(now jobs.Job) bool { return now.Operation == nil || now.Operation.Number != w.Operation.Number })
	return err
}

// prove says in the log that a deed is done.
func (d *Executor) prove(ctx context.Context, w *jobs.Job, deed *jobs.Operation, a *at, p jobs.Result) error {
	err := d.enter(ctx, jobs.Entry{
		Type: jobs.EntryConfirm, Job: w.Name, Token: a.token, Operation: &jobs.Operation{Number: deed.Number, Name: deed.Name}, State: p.State,
		Finished: p.Finished, Reason: p.Reason,
	})
	if err == nil {
		d.trace("proved "+deed.ID(w.Name), *w)
	}
	d.known(ctx, w.Name, func(now jobs.Job) bool { return now.Step > w.Step || now.Finished })
	return err
}

// raise tells the log of a higher token that a place has seen.
func (d *Executor) raise(ctx context.Context, w *jobs.Job, err error) {
	var f *jobs.FencedError
	if errors.As(err, &f) && f.Current > w.Token {
		d.trace("fenced at "+f.Target, *w)
		_ = d.enter(ctx, jobs.Entry{Type: jobs.EntryRaiseToken, Job: w.Name, Token: f.Current})
	}
}

// pause waits before the next try, longer at each further failure.
func (d *Executor) pause(ctx context.Context, failures int) {
	sleep(ctx, d.o.PollMillis*float64(int(1)<<min(failures-1, 4)))
}

// rest waits, but no longer than until something changes.
func (d *Executor) rest(ctx context.Context, name string, changed uint64, wait float64) {
	for end := d.o.Clock.Now() + wait; ctx.Err() == nil && !d.leaving.Load() && d.o.Clock.Now() < end; {
		works, _ := d.o.Log.Jobs()
		if w, ok := works[name]; !ok || w.Revision != changed {
			return
		}
		sleep(ctx, min(wait, max(2, d.o.PollMillis/4)))
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

// Status is what operators see of a work that this process is at.
type Status struct {
	WaitingFor         string                `json:"waits_for,omitempty"`
	Options            []jobs.ApprovalOption `json:"words,omitempty"`
	Message            string                `json:"error,omitempty"`
	Code               string                `json:"code,omitempty"`
	Advice             string                `json:"advice,omitempty"`
	LastResponseMillis float64               `json:"answered_at_ms,omitempty"`
}

// Statuses are of all that this process is at, by name.
func (d *Executor) Statuses() map[string]Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]Status{}
	for name, a := range d.at {
		v := Status{WaitingFor: a.wait, Options: a.says, LastResponseMillis: a.seen}
		if a.err != nil {
			v.Message = a.err.Error()
			if known := remedy.Find(a.err); known != nil {
				v.Code, v.Advice = known.Code(), known.Advice()
			}
		}
		out[name] = v
	}
	return out
}
