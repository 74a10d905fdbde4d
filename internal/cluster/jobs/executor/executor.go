package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/jobs"
)

// reconcilesPerPoll is how often the log is looked at within Options.PollMillis.
const reconcilesPerPoll = 4

// Log is the replicated log, as a pooler sees it. Its methods are safe for concurrent use.
type Log interface {
	// Jobs are those of the state machine as far as they are current here, not to be changed, and until when, by the clock,
	// this pooler may act.
	Jobs() (current map[string]jobs.Job, leaseUntil float64)
	// Propose brings an entry in. A *jobs.RejectedError changed nothing; after any other error it may still come in.
	Propose(ctx context.Context, e jobs.Entry) error
	// SetReport takes what this pooler reports of itself to the scheduler.
	SetReport(jobs.Report)
}

// Options are what an executor needs.
type Options struct {
	Name            string
	Incarnation     uint64
	Zone            string
	Handlers        map[string]jobs.Handler // by kind of job
	Log             Log
	Clock           clock.Clock
	PollMillis      float64                            // between two observations of database hosts
	OperationMillis float64                            // an operation that takes longer is in doubt
	Reachable       func() (reachable, local []uint64) // groups whose primary answers; nil: none
	Load            func() float64                     // nil: 0
	Healthy         func() bool                        // nil: always
	// IgnoreLeaseEnd keeps the end of the lease from cutting an operation short, as if the process were stopped in it. It is
	// for tests with several processes.
	IgnoreLeaseEnd bool
	// Trace gets each event of an operation, for checkers; nil: none.
	Trace func(event string, job jobs.Job)
}

// Executor is running between Start and Stop. Its methods are safe for concurrent use.
type Executor struct {
	options    Options
	startedAt  float64
	ctx        context.Context // ends with Stop
	cancel     context.CancelFunc
	background sync.WaitGroup
	draining   atomic.Bool

	// mu guards active with the statuses in it, progress, and the start of goroutines against Stop.
	mu       sync.Mutex
	active   map[string]*activeJob // by name
	progress map[string]uint64     // answers of database hosts, by job
}

// activeJob is a job that this process holds and carries out.
type activeJob struct {
	token    jobs.FencingToken
	cancel   context.CancelFunc
	finished chan struct{} // closed once its goroutine has ended

	// Executor.mu guards what follows.
	waitingFor   string
	options      []jobs.ApprovalOption
	lastError    error // of the last attempt; nil: it went well
	lastResponse float64
}

// Start follows the log and carries out the jobs that this process holds, until Stop.
func Start(o Options) *Executor {
	e := &Executor{options: o, startedAt: o.Clock.Now(), active: map[string]*activeJob{}, progress: map[string]uint64{}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.background.Go(e.run)
	return e
}

// Drain releases every job: open operations are completed, no other is begun, and the leases are given back. It returns once
// that is done, or when ctx ends: then the leases expire by themselves.
func (e *Executor) Drain(ctx context.Context) {
	e.draining.Store(true)
	for {
		finished := e.anyActive()
		if finished == nil {
			return
		}
		select {
		case <-finished:
		case <-ctx.Done():
			return
		}
		e.reconcile()
	}
}

// anyActive returns the channel that the end of some active job closes; nil: there is none.
func (e *Executor) anyActive() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, active := range e.active {
		return active.finished
	}
	return nil
}

// Stop cancels what is under way and waits for all goroutines.
func (e *Executor) Stop() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.background.Wait()
}

// run follows the log.
func (e *Executor) run() {
	ticker := time.NewTicker(clock.Duration(max(1, e.options.PollMillis/reconcilesPerPoll)))
	defer ticker.Stop()
	for {
		e.reconcile()
		e.report()
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// holds reports whether a job is this process's.
func (e *Executor) holds(job *jobs.Job) bool {
	return !job.Finished && job.Holder == e.options.Name && job.Incarnation == e.options.Incarnation
}

// reconcile starts the jobs that were assigned to this process, and cancels those that were assigned to another one or whose
// lease has expired.
func (e *Executor) reconcile() {
	current, leaseUntil := e.options.Log.Jobs()
	now := e.options.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, active := range e.active {
		job, ok := current[name]
		if !ok || !e.holds(&job) || job.Token != active.token || now >= leaseUntil {
			active.cancel()
		}
		select {
		case <-active.finished:
			delete(e.active, name)
		default:
		}
	}
	if now >= leaseUntil || e.ctx.Err() != nil {
		return
	}
	for name, job := range current {
		handler := e.options.Handlers[job.Kind]
		if handler != nil && e.holds(&job) && e.active[name] == nil {
			e.start(&job, handler)
		}
	}
}

// start carries a job out in a goroutine of its own. The caller holds mu and has seen that ctx has not ended.
func (e *Executor) start(job *jobs.Job, handler jobs.Handler) {
	ctx, cancel := context.WithCancel(e.ctx)
	active := &activeJob{token: job.Token, cancel: cancel, finished: make(chan struct{})}
	e.active[job.Name] = active
	r := &jobRun{executor: e, name: job.Name, active: active, handler: handler}
	e.background.Go(func() {
		defer close(active.finished)
		defer cancel()
		r.run(ctx)
	})
}
