package migration

import (
	"context"
	"encoding/json"

	"ashstand/internal/cluster/jobs"
)

// Rules gives access to the agreed rules, as far as a migration needs them.
type Rules interface {
	// Current returns the newest rules in the log, which are at least as new as those of the caller's own lease. inForce is
	// set if every pooler whose lease may still be valid acts only on these rules.
	Current() (rules map[string]any, version int, inForce bool)
	// Change sets keys in one new version of the rules and returns once that version is in the log. The log rejects it if
	// the job has a later token by then, or if the operation is no longer open because it was recovered and found not
	// executed. Change waits while another version is not in force yet. Timing counts one such wait: it assumes that waiting
	// changes are combined or that nothing else changes the rules.
	Change(ctx context.Context, job string, token jobs.FencingToken, operation *jobs.Operation, change map[string]any) (version int, err error)
	// HasLimit reports whether the limits name a key; a pooler without a lease then obeys the limit.
	HasLimit(key string) bool
}

// RateLimiter bounds the rate of the initial copy.
type RateLimiter interface {
	// RowsPerSecond returns the rate that both groups have capacity for, by their load and latency objectives; 0 if they
	// have none now.
	RowsPerSecond(from, to Group) float64
}

// TargetHealth reports whether a group can take over a tenant.
type TargetHealth interface {
	// UnfitReason returns why a group should not serve the tenant now, such as cold, draining or slow; empty if it may.
	UnfitReason(to Group, tenant string) string
}

// Scheduler bounds how many migrations run at once; see Schedule.
type Scheduler interface {
	// MayStart reports whether a planned migration may start, and why not.
	MayStart(job string) (may bool, reason string)
}

// Migrator is the jobs.Handler of migrations. Its methods may be called concurrently if those of its interfaces may.
type Migrator struct {
	Databases   Databases
	Rules       Rules
	RateLimiter RateLimiter  // nil if only the plan bounds the rate
	Health      TargetHealth // nil if any group is fit
	Scheduler   Scheduler    // nil if any migration may start
	Timing      Timing
	// DisabledGuarantee is one of Guarantees, which tests disable to show that the checker for it fails; empty if none.
	DisabledGuarantee string
}

// Guarantees that Migrator.DisabledGuarantee can disable.
const (
	// GuaranteeFence: a switch requires a fenced source.
	GuaranteeFence = "fence"
	// GuaranteeVerify: a switch requires a verification without differences.
	GuaranteeVerify = "verify"
	// GuaranteePause: a pause ends within its bound.
	GuaranteePause = "pause"
	// GuaranteeRollback: a rollback is carried out.
	GuaranteeRollback = "back"
	// GuaranteeApproval: a migration passes a checkpoint only with an approval.
	GuaranteeApproval = "word"
)

// Guarantees are the values of Migrator.DisabledGuarantee.
var Guarantees = []string{GuaranteeFence, GuaranteeVerify, GuaranteePause, GuaranteeRollback, GuaranteeApproval}

// Observation is the observed state of the database hosts and the agreed rules. It is valid only for the step at which it
// was made.
type Observation struct {
	Step uint64
	// Version is the version of the newest logged rules. InForce is set if every pooler with a lease acts only on it.
	Version int
	InForce bool
	// Paused and Group are the tenant's values in that version.
	Paused bool
	Group  Group
	// MayStart and WaitReason are the answer of the Scheduler.
	MayStart   bool
	WaitReason string
	// RowsPerSecond is the copy rate that both groups have capacity for; 0 if they have none now.
	RowsPerSecond float64
	ReplicationStatus
}

// unlimitedRowsPerSecond is the rate that applies without a RateLimiter.
const unlimitedRowsPerSecond = 1e9

// request decodes a job and, unless operation is nil, the operation.
func (m *Migrator) request(job *jobs.Job, operation *jobs.Operation) (Request, error) {
	plan, err := decodePlan(job.Spec)
	if err != nil {
		return Request{}, err
	}
	state, err := DecodeState(job)
	if err != nil {
		return Request{}, &UnreadableJobError{Job: job.Name, Err: err}
	}
	request := Request{Plan: plan, Job: job.Name, Token: job.Token, State: state}
	if operation == nil {
		return request, nil
	}
	request.OperationID = operation.ID(job.Name)
	request.Operation = Operation(operation.Name)
	request.AnnouncedToken = operation.Token
	request.Number = operation.Number
	if len(operation.Data) == 0 {
		return request, nil
	}
	if err := json.Unmarshal(operation.Data, &request.Data); err != nil {
		return request, &UnreadableJobError{Job: job.Name, Err: err}
	}
	return request, nil
}

// Observe implements jobs.Handler: it returns an *Observation of the rules and, in the phases that need it, of both groups.
func (m *Migrator) Observe(ctx context.Context, job *jobs.Job) (any, error) {
	request, err := m.request(job, nil)
	if err != nil {
		return nil, err
	}
	observed := &Observation{Step: job.Step, MayStart: true, RowsPerSecond: unlimitedRowsPerSecond}
	m.observeRules(&request.Plan, observed)
	switch request.State.Phase {
	case PhasePlanned:
		if m.Scheduler != nil {
			observed.MayStart, observed.WaitReason = m.Scheduler.MayStart(job.Name)
		}
	case PhaseCopying, PhaseCatchingUp, PhaseFencing, PhaseVerifying, PhaseSwitched:
		if err := m.observeGroups(ctx, request, observed); err != nil {
			return nil, err
		}
	}
	return observed, nil
}

func (m *Migrator) observeRules(plan *Plan, observed *Observation) {
	rules, version, inForce := m.Rules.Current()
	observed.Version, observed.InForce = version, inForce
	observed.Paused, _ = rules[plan.pausedKey()].(bool)
	if group, ok := rules[plan.groupKey()].(float64); ok {
		observed.Group = Group(group)
	}
}

func (m *Migrator) observeGroups(ctx context.Context, request Request, observed *Observation) error {
	source, target := request.State.groups(&request.Plan)
	if m.RateLimiter != nil {
		observed.RowsPerSecond = m.RateLimiter.RowsPerSecond(source, target)
	}
	unfit := ""
	if m.Health != nil && !request.State.Reverse && request.State.Phase != PhaseSwitched {
		unfit = m.Health.UnfitReason(target, request.Plan.Tenant)
	}
	observed.UnfitReason = unfit
	status, err := m.Databases.ReplicationStatus(ctx, request, source, target)
	if err != nil {
		if request.State.Phase.isPaused() {
			return nil // the rules are enough of an observation, because a pause has to end even without the hosts
		}
		return err
	}
	observed.ReplicationStatus = status
	if unfit != "" {
		observed.UnfitReason = unfit
	}
	return nil
}

// Execute implements jobs.Handler: it executes an announced operation.
func (m *Migrator) Execute(ctx context.Context, job *jobs.Job, operation *jobs.Operation) (jobs.Result, error) {
	request, err := m.request(job, operation)
	if err != nil {
		return jobs.Result{}, err
	}
	outcome, err := m.execute(ctx, request)
	if err != nil {
		return jobs.Result{}, err
	}
	return applyOutcome(request, outcome)
}

// Recover implements jobs.Handler: it determines whether an operation with an unknown outcome was executed. It completes
// what the log has already decided.
func (m *Migrator) Recover(ctx context.Context, job *jobs.Job, operation *jobs.Operation) (done bool, result jobs.Result, err error) {
	request, err := m.request(job, operation)
	if err != nil {
		return false, jobs.Result{}, err
	}
	done, outcome, err := m.recoverOutcome(ctx, request)
	if err != nil || !done {
		return false, jobs.Result{}, err
	}
	result, err = applyOutcome(request, outcome)
	return err == nil, result, err
}
