package executor

import (
	"context"
	"errors"

	"ashstand/internal/cluster/jobs"
)

// Prefixes of the events passed to Options.Trace. The operation's ID follows, or the host's name after traceFenced. Checkers
// match them.
const (
	traceAnnounced   = "announced "
	traceExecuted    = "acted "
	traceFailed      = "failed "
	traceRecovered   = "found done "
	traceNotExecuted = "found not done "
	traceConfirmed   = "proved "
	traceFenced      = "fenced at "
)

func (r *jobRun) trace(event string, job *jobs.Job) {
	if r.executor.options.Trace != nil {
		r.executor.options.Trace(event, *job)
	}
}

// propose appends a command to the log.
func (r *jobRun) propose(ctx context.Context, command jobs.Command) error {
	proposing, cancel := r.executor.withTimeout(ctx)
	defer cancel()
	return r.executor.options.Log.Propose(proposing, command.Entry())
}

// execute announces an operation, executes it, and confirms it. An error leaves the operation in doubt if it was announced.
func (r *jobRun) execute(ctx context.Context, job *jobs.Job, decision *jobs.Decision) error {
	operation := jobs.Operation{Number: job.NextOperationNumber(), Name: decision.OperationName, Data: decision.Data}
	err := r.propose(ctx, jobs.Announce{Job: r.name, Token: r.active.token, Step: job.Step, Operation: operation, Approval: decision.Approval})
	if err != nil { // unless rejected, the entry may still reach the log; then the operation is recovered
		r.awaitEffect(ctx, func(now *jobs.Job) bool { return now.Revision > job.Revision })
		return err
	}
	operation.Token = r.active.token
	announced := *job
	announced.Operation = &operation
	r.trace(traceAnnounced+operation.ID(r.name), &announced)
	result, err := r.callHandler(ctx, &announced)
	if err != nil {
		r.trace(traceFailed+operation.ID(r.name)+": "+err.Error(), &announced)
		r.raiseToken(ctx, job, err)
		r.awaitEffect(ctx, func(now *jobs.Job) bool { return now.Operation != nil || now.Step > job.Step })
		return err
	}
	r.trace(traceExecuted+operation.ID(r.name), &announced)
	return r.confirm(ctx, &announced, result)
}

// callHandler has the handler execute the announced operation, within the timeout.
func (r *jobRun) callHandler(ctx context.Context, job *jobs.Job) (jobs.Result, error) {
	if r.executor.options.IgnoreLeaseEnd {
		ctx = context.WithoutCancel(ctx)
	}
	executing, cancel := r.executor.withTimeout(ctx)
	defer cancel()
	return r.handler.Execute(executing, job, job.Operation)
}

// recoverOperation finds out whether the announced operation was executed, and confirms or aborts it.
func (r *jobRun) recoverOperation(ctx context.Context, job *jobs.Job) error {
	operation := job.Operation
	recovering, cancel := r.executor.withTimeout(ctx)
	executed, result, err := r.handler.Recover(recovering, job, operation)
	cancel()
	if err != nil {
		r.raiseToken(ctx, job, err)
		return err
	}
	if executed {
		r.trace(traceRecovered+operation.ID(r.name), job)
		return r.confirm(ctx, job, result)
	}
	r.trace(traceNotExecuted+operation.ID(r.name), job)
	err = r.propose(ctx, jobs.Abort{Job: r.name, Token: r.active.token, Operation: operationReference(operation)})
	r.awaitEffect(ctx, func(now *jobs.Job) bool { return now.Operation == nil || now.Operation.Number != operation.Number })
	return err
}

// confirm records in the log that the announced operation was executed.
func (r *jobRun) confirm(ctx context.Context, job *jobs.Job, result jobs.Result) error {
	operation := job.Operation
	err := r.propose(ctx, jobs.Confirm{Job: r.name, Token: r.active.token, Operation: operationReference(operation), Result: result})
	if err == nil {
		r.trace(traceConfirmed+operation.ID(r.name), job)
	}
	r.awaitEffect(ctx, func(now *jobs.Job) bool { return now.Step > job.Step || now.Finished })
	return err
}

// operationReference returns the fields that identify an operation within its job.
func operationReference(operation *jobs.Operation) jobs.Operation {
	return jobs.Operation{Number: operation.Number, Name: operation.Name}
}

// raiseToken records in the log a higher token that a database host has seen.
func (r *jobRun) raiseToken(ctx context.Context, job *jobs.Job, err error) {
	var fenced *jobs.FencedError
	if !errors.As(err, &fenced) || fenced.Current <= job.Token {
		return
	}
	r.trace(traceFenced+fenced.Target, job)
	// If the proposal fails, the next attempt is rejected with the same token and proposes it again.
	_ = r.propose(ctx, jobs.RaiseToken{Job: r.name, Token: fenced.Current})
}
