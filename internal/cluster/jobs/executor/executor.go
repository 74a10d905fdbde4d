package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/jobs"
)

// reconcilesPerPoll is how many times per Options.PollMillis the executor reads the jobs from the log.
const reconcilesPerPoll = 4

// Log is the replicated log as seen by one pooler. Its methods are safe for concurrent use.
type Log interface {
	// Jobs returns this pooler's copy of the state machine's jobs, which the caller must not modify, and the time of
	// Options.Clock until which this pooler's lease is valid.
	Jobs() (current map[string]jobs.Job, leaseUntil float64)
	// Propose appends an entry to the log. On a *jobs.RejectedError the entry changed nothing; after any other error it may
	// still be appended later.
	Propose(ctx context.Context, e jobs.Entry) error
	// SetReport sets the report that this pooler sends to the scheduler.
	SetReport(jobs.Report)
}

// Options configures an executor.
type Options struct {
	Name            string
	Incarnation     uint64
	Zone            string
	Handlers        map[string]jobs.Handler // by kind of job
	Log             Log
	Clock           clock.Clock
	PollMillis      float64                            // interval between observations of database hosts
	OperationMillis float64                            // timeout of an operation, which is in doubt afterwards
	Reachable       func() (reachable, local []uint64) // groups whose primary answers, and those in this zone; nil: none
	Load            func() float64                     // nil: 0
	Healthy         func() bool                        // nil: always
	// IgnoreLeaseEnd lets an operation continue after the lease has ended, as if the process had been paused during the
	// operation. It is for tests with several processes.
	IgnoreLeaseEnd bool
	// Trace receives each event of an operation, for checkers. It may be nil.
	Trace func(event string, job jobs.Job)
}

// Executor carries out jobs from Start until Stop. Its methods are safe for concurrent use.
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
	progress map[string]uint64     // number of successful attempts, by job
}

// activeJob is a job that this process holds and carries out.
type activeJob struct {
	token    jobs.FencingToken
	cancel   context.CancelFunc
	finished chan struct{} // closed once its goroutine has ended

	// Executor.mu guards the fields below.
	waitingFor   string
	options      []jobs.ApprovalOption
	lastError    error // error of the last attempt; nil: it succeeded
	lastResponse float64
}

// Start starts an executor, which carries out the jobs that this process holds until Stop.
func Start(o Options) *Executor {
	e := &Executor{options: o, startedAt: o.Clock.Now(), active: map[string]*activeJob{}, progress: map[string]uint64{}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.background.Go(e.run)
	return e
}

// Drain releases every job: it completes open operations, starts no others and gives up the leases. It returns when that is
// done, or when ctx ends; in that case the leases that remain expire.
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

// anyActive returns the finished channel of any one active job, or nil if there is none.
func (e *Executor) anyActive() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, active := range e.active {
		return active.finished
	}
	return nil
}

// Stop cancels the operations in progress and waits for all goroutines to end.
func (e *Executor) Stop() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.background.Wait()
}

// run reconciles the active jobs with the log and reports to the scheduler, periodically until Stop.
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

// holds reports whether this process holds a job.
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

// start carries out a job in its own goroutine. The caller holds mu and has checked that ctx has not ended.
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
