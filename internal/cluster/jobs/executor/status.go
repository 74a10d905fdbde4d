package executor

import (
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
	"ashstand/internal/remedy"
)

// Status describes to operators a job that this process carries out. Its JSON form is shown by the admin socket.
type Status struct {
	WaitingFor         string                `json:"waits_for,omitempty"`
	Options            []jobs.ApprovalOption `json:"words,omitempty"`
	Message            string                `json:"error,omitempty"` // error of the last attempt
	Code               string                `json:"code,omitempty"`
	Advice             string                `json:"advice,omitempty"`
	LastResponseMillis float64               `json:"answered_at_ms,omitempty"` // when a database host answered last
}

// Statuses returns the status of each job that this process carries out, by name.
func (e *Executor) Statuses() map[string]Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	statuses := map[string]Status{}
	for name, active := range e.active {
		status := Status{WaitingFor: active.waitingFor, Options: active.options, LastResponseMillis: active.lastResponse}
		if active.lastError != nil {
			status.Message = active.lastError.Error()
			if advised := remedy.Find(active.lastError); advised != nil {
				status.Code, status.Advice = advised.Code(), advised.Advice()
			}
		}
		statuses[name] = status
	}
	return statuses
}

// report sets this pooler's report to the scheduler.
func (e *Executor) report() {
	o := &e.options
	r := jobs.Report{
		Kinds: slices.Sorted(maps.Keys(o.Handlers)), AcceptsJobs: !e.draining.Load(), Healthy: o.Healthy == nil || o.Healthy(),
		Zone: o.Zone, UptimeMillis: o.Clock.Now() - e.startedAt,
	}
	if o.Load != nil {
		r.Load = o.Load()
	}
	if o.Reachable != nil {
		r.ReachableGroups, r.LocalGroups = o.Reachable()
	}
	e.mu.Lock()
	r.Progress = maps.Clone(e.progress)
	e.mu.Unlock()
	o.Log.SetReport(r)
}

// recordAttempt records the outcome of an attempt. A successful one counts as progress.
func (e *Executor) recordAttempt(name string, active *activeJob, err error) {
	current, _ := e.options.Log.Jobs()
	e.mu.Lock()
	defer e.mu.Unlock()
	if active.lastError = err; err == nil {
		e.progress[name]++
		active.lastResponse = e.options.Clock.Now()
	}
	for other := range e.progress { // drop jobs that this process no longer holds
		if job, ok := current[other]; !ok || !e.holds(&job) {
			delete(e.progress, other)
		}
	}
}

// recordDecision records what a job waits for and which actions can be approved.
func (e *Executor) recordDecision(active *activeJob, decision *jobs.Decision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	active.waitingFor, active.options = decision.Reason, decision.Options
}
