package executor

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/jobs"
)

const (
	// maxBackoffDoublings bounds the backoff after failed attempts.
	maxBackoffDoublings = 4
	// minWaitMillis is the interval at which the log is polled if PollMillis does not require a longer one.
	minWaitMillis = 2
	// logLagOperations limits the wait for an entry's effect, as a multiple of OperationMillis.
	logLagOperations = 2
)

// jobRun carries out one job in one goroutine. It ends when another process holds the job, or when the lease ends.
type jobRun struct {
	executor    *Executor
	name        string
	active      *activeJob
	handler     jobs.Handler
	observation any // last result of Handler.Observe; nil: none since the last operation
	failures    int // consecutive failed attempts
}

func (r *jobRun) run(ctx context.Context) {
	slog.Info("cluster: job lease acquired", "job", r.name, "token", r.active.token)
	defer slog.Info("cluster: job lease released", "job", r.name, "token", r.active.token)
	for ctx.Err() == nil {
		current, _ := r.executor.options.Log.Jobs()
		job, ok := current[r.name]
		if !ok || !r.executor.holds(&job) || job.Token != r.active.token {
			return
		}
		switch {
		case job.Operation != nil: // announced before, by this holder or another: it may have been executed
			r.finishAttempt(ctx, r.recoverOperation(ctx, &job))
		case r.executor.draining.Load():
			if r.release(ctx) {
				return
			}
		default:
			r.advance(ctx, &job)
		}
	}
}

// release gives up the job's lease, and reports whether the log has recorded or rejected that.
func (r *jobRun) release(ctx context.Context) bool {
	err := r.propose(ctx, jobs.Release{Job: r.name, Token: r.active.token})
	var rejected *jobs.RejectedError
	if err == nil || errors.As(err, &rejected) {
		return true
	}
	r.backOff(ctx, 1)
	return false
}

// advance executes the next operation. If there is none, it observes the database hosts and waits.
func (r *jobRun) advance(ctx context.Context, job *jobs.Job) {
	decision := r.handler.Next(r.executor.options.Clock.Now(), job, r.observation)
	r.executor.recordDecision(r.active, &decision)
	if decision.OperationName != "" {
		r.finishAttempt(ctx, r.execute(ctx, job, &decision))
		return
	}
	if !r.observe(ctx, job) {
		return
	}
	next := r.handler.Next(r.executor.options.Clock.Now(), job, r.observation)
	if next.OperationName != "" {
		return
	}
	wait := r.executor.options.PollMillis
	if next.RetryAfterMillis > 0 {
		wait = next.RetryAfterMillis
	}
	r.waitForChange(ctx, job.Revision, wait)
}

// finishAttempt records the outcome of an operation, and backs off if it failed. A success discards the earlier observation.
func (r *jobRun) finishAttempt(ctx context.Context, err error) {
	r.executor.recordAttempt(r.name, r.active, err)
	if err != nil {
		r.failures++
		r.backOff(ctx, r.failures)
		return
	}
	r.failures, r.observation = 0, nil
}

// observe has the handler query the database hosts, and reports whether one answered.
func (r *jobRun) observe(ctx context.Context, job *jobs.Job) bool {
	observing, cancel := r.executor.withTimeout(ctx)
	observation, err := r.handler.Observe(observing, job)
	cancel()
	r.executor.recordAttempt(r.name, r.active, err)
	if err != nil {
		r.failures++
		r.backOff(ctx, r.failures)
		return false
	}
	r.failures, r.observation = 0, observation
	return true
}

// withTimeout limits one operation, observation or proposal to OperationMillis.
func (e *Executor) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, clock.Duration(e.options.OperationMillis))
}

// backOff waits before the next attempt. The wait doubles with each consecutive failure, at most maxBackoffDoublings times.
func (r *jobRun) backOff(ctx context.Context, failures int) {
	sleep(ctx, r.executor.options.PollMillis*float64(int(1)<<min(failures-1, maxBackoffDoublings)))
}

// waitForChange waits until the job changes in the log, the wait is over, or the executor drains.
func (r *jobRun) waitForChange(ctx context.Context, revision uint64, waitMillis float64) {
	interval := min(waitMillis, max(minWaitMillis, r.executor.options.PollMillis/reconcilesPerPoll))
	for end := r.executor.options.Clock.Now() + waitMillis; ctx.Err() == nil && !r.executor.draining.Load() && r.executor.options.Clock.Now() < end; {
		current, _ := r.executor.options.Log.Jobs()
		if job, ok := current[r.name]; !ok || job.Revision != revision {
			return
		}
		sleep(ctx, interval)
	}
}

// awaitEffect waits until the effect of an entry is visible in this process's copy of the job, which may be later than
// Propose returns.
func (r *jobRun) awaitEffect(ctx context.Context, visible func(*jobs.Job) bool) {
	end := r.executor.options.Clock.Now() + logLagOperations*r.executor.options.OperationMillis
	for ctx.Err() == nil && r.executor.options.Clock.Now() < end {
		current, _ := r.executor.options.Log.Jobs()
		if job, ok := current[r.name]; !ok || visible(&job) {
			return
		}
		sleep(ctx, min(r.executor.options.PollMillis, minWaitMillis))
	}
}

func sleep(ctx context.Context, millis float64) {
	timer := time.NewTimer(clock.Duration(max(1, millis)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
