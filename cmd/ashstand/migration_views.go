package main

import (
	"cmp"
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
)

// migrationPlanView is what a plan comes to where it would run.
type migrationPlanView struct {
	Plan migration.Plan `json:"plan"`
	// MinPauseMillis is the least MaxPauseMillis that could be asked for.
	MinPauseMillis float64 `json:"least_pause_ms"`
	// CutoffMillis is after how long a pause without its switch is aborted.
	CutoffMillis float64 `json:"cutoff_ms"`
	// CheckResults are of the agreed rules and of both groups.
	CheckResults migration.CheckResults `json:"found,omitempty"`
}

// migrationView is what operators see of one migration. It has the keys of the first release; see presentMigrationKeys.
type migrationView struct {
	Name           string                `json:"name"`
	Plan           migration.Plan        `json:"plan"`
	State          migration.State       `json:"state"`
	Step           uint64                `json:"step"` // what an approval is given for
	SinceMillis    float64               `json:"since_ms"`
	Operation      string                `json:"deed,omitempty"` // announced and not settled
	Owner          string                `json:"owner,omitempty"`
	Token          jobs.FencingToken     `json:"token"`
	Owners         int                   `json:"owners"`
	WaitsFor       string                `json:"waits_for,omitempty"`
	Options        []jobs.ApprovalOption `json:"words,omitempty"`
	Approval       *jobs.Approval        `json:"word,omitempty"` // given and not taken up
	RollbackEffect string                `json:"back"`           // of a rollback now
	Ended          bool                  `json:"ended,omitempty"`
	EndReason      string                `json:"why,omitempty"`
	Code           string                `json:"code,omitempty"` // of a fault
	Message        string                `json:"message,omitempty"`
	Advice         string                `json:"advice,omitempty"`
	presentMigrationKeys
}

// presentMigrationKeys repeat those whose name has changed since the first release, under their present names.
type presentMigrationKeys struct {
	PresentOperation      string                `json:"operation,omitempty"`
	PresentOptions        []jobs.ApprovalOption `json:"options,omitempty"`
	PresentApproval       *jobs.Approval        `json:"approval,omitempty"`
	PresentRollbackEffect string                `json:"rollback_effect,omitempty"`
}

// addPresentKeys fills presentMigrationKeys.
func (v *migrationView) addPresentKeys() {
	v.presentMigrationKeys = presentMigrationKeys{
		PresentOperation:      v.Operation,
		PresentOptions:        v.Options,
		PresentApproval:       v.Approval,
		PresentRollbackEffect: v.RollbackEffect,
	}
}

// setFault takes up an error that operators should see, unless there is one already.
func (v *migrationView) setFault(fault remedyError) {
	if v.Code == "" {
		v.Code, v.Message, v.Advice = fault.Code(), fault.Error(), fault.Advice()
	}
}

// remedyError is an error with a code and advice.
type remedyError interface {
	error
	Code() string
	Advice() string
}

// migrationsView is what operators see of all migrations, under the key of the first release and under the present one.
type migrationsView struct {
	On         bool            `json:"on"`
	Migrations []migrationView `json:"moves"`
	Present    []migrationView `json:"migrations"`
}

// phaseTimes are since when this pooler has seen each migration in its phase, by job.
type phaseTimes map[string]phaseTime

type phaseTime struct {
	phase migration.Phase
	at    float64 // clock milliseconds
}

// update takes up the phases that the replicated log has now.
func (p phaseTimes) update(log *jobs.StateMachine, now float64) {
	for name, job := range log.Jobs {
		state, err := migration.DecodeState(job)
		if err != nil || job.Kind != migration.JobKind {
			continue
		}
		if last, known := p[name]; !known || last.phase != state.Phase {
			p[name] = phaseTime{phase: state.Phase, at: now}
		}
	}
	maps.DeleteFunc(p, func(name string, _ phaseTime) bool { return log.Jobs[name] == nil })
}

// migrationViews returns what operators see of all migrations.
func (f *fellows) migrationViews() any {
	if f == nil || f.jobs == nil {
		return migrationsView{}
	}
	service := f.jobs
	log, now, statuses := service.stateMachine(), service.clock.Now(), service.executor.Statuses()
	service.mu.Lock()
	service.phaseTimes.update(log, now)
	since := maps.Clone(service.phaseTimes)
	service.mu.Unlock()
	views := []migrationView{}
	for _, name := range slices.Sorted(maps.Keys(log.Jobs)) {
		job := log.Jobs[name]
		if job.Kind != migration.JobKind {
			continue
		}
		view := service.migrationView(job, now)
		view.SinceMillis = since[name].at
		if status, isHolder := statuses[name]; isHolder {
			view.WaitsFor, view.Options = status.WaitingFor, status.Options
			view.Code, view.Message, view.Advice = status.Code, status.Message, status.Advice
		}
		for _, result := range view.State.CheckResults.Blocking() {
			view.setFault(result)
		}
		if len(view.State.Differences) > 0 {
			view.setFault(&view.State.Differences[0])
		}
		view.addPresentKeys()
		views = append(views, view)
	}
	return migrationsView{On: true, Migrations: views, Present: views}
}

// migrationView returns what the replicated log says of one migration. What it waits for only its lease holder knows.
func (s *jobService) migrationView(job *jobs.Job, now float64) migrationView {
	view := migrationView{
		Name: job.Name, Step: job.Step, Owner: job.Holder, Token: job.Token, Owners: job.HolderCount,
		Approval: job.Approval, Ended: job.Finished, EndReason: job.Reason,
	}
	view.Plan, _ = migration.ParsePlan(job.Spec, s.migrator.Timing) // it was validated when it came in
	var err error
	if view.State, err = migration.DecodeState(job); err != nil {
		unreadable := &migration.UnreadableJobError{Job: job.Name, Err: err}
		view.Code, view.Message, view.Advice = unreadable.Code(), err.Error(), unreadable.Advice()
	}
	view.RollbackEffect = view.State.Phase.RollbackEffect()
	if job.Operation != nil {
		view.Operation = job.Operation.Name
	}
	if !job.Finished { // the options depend on the log alone
		view.Options = s.migrator.Next(now, job, nil).Options
		view.WaitsFor = "ask " + cmp.Or(job.Holder, "again: it has no owner yet")
	}
	return view
}
