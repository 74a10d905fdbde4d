package main

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/consensus/runner"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
	migrationsql "ashstand/internal/cluster/migration/sql"
)

// maxConcurrentMigrations is how many may run in the fleet: then a change of the rules waits for one other migration's at
// the most, which is what the bound of a pause has time for (migration.Timing).
const maxConcurrentMigrations = 2

// rulesRetryInterval is short against the time in which a version comes into force, and long against an entry of the log.
const rulesRetryInterval = 20 * time.Millisecond

// migrationRules implements migration.Rules on the replicated log.
type migrationRules struct {
	consensus *runner.Runner
	clock     clock.Clock
	limits    consensus.Rules
}

// Current returns the newest logged rules.
func (r *migrationRules) Current() (rules map[string]any, version int, inForce bool) {
	lease := r.consensus.Lease()
	if pending := lease.Versions.Pending; pending != nil {
		return pending.Rules, pending.Number, false
	}
	active := lease.Versions.Active
	return active.Rules, active.Number, !lease.Expired(r.clock.Now())
}

// Change asks again while another version is not in force yet.
func (r *migrationRules) Change(ctx context.Context, job string, token jobs.FencingToken, operation *jobs.Operation, change map[string]any) (int, error) {
	entry := jobs.Entry{Type: jobs.EntryAuthorize, Job: job, Token: token, Operation: operation}
	for {
		version, err := r.consensus.ProposeJobEntry(ctx, entry, consensus.Rules(change))
		var rejected *consensus.RejectedError
		if err == nil || !errors.As(err, &rejected) {
			return version, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(rulesRetryInterval):
		}
	}
}

// HasLimit reports whether the limits name a key. A pause that the limits don't set would not hold for a pooler without a
// lease.
func (r *migrationRules) HasLimit(key string) bool {
	value, named := r.limits[key]
	return named && (!strings.HasSuffix(key, ".paused") || value == true)
}

// migrationScheduler implements migration.Scheduler by this pooler's copy of the replicated log. Two lease holders whose
// copies differ may start one migration too many; nothing but the margin of the pauses' bound rests on that.
type migrationScheduler struct{ jobs *jobService }

// MayStart reports whether a planned migration may start, and why not.
func (s migrationScheduler) MayStart(job string) (may bool, reason string) {
	noTopology := func(migration.Group) (hosts, zones []string) { return nil, nil }
	candidates := migration.Candidates(s.jobs.stateMachine(), migration.JobKind, noTopology)
	reason, waits := migration.Schedule(candidates, migration.ConcurrencyLimits{Total: maxConcurrentMigrations})[job]
	return waits && reason == "", reason
}

// newMigrator returns the handler of migrations.
func (f *fellows) newMigrator(service *jobService, cfg *config, agreed consensus.Config, now clock.Clock) *migration.Migrator {
	timeout := cfg.operator.Cluster.Agreement.Jobs.OperationTimeout
	_, inForce := agreed.ActivationBoundMillis()
	_, takeover := agreed.TakeoverBoundMillis() // whoever fails may have led the log as well
	migrator := &migration.Migrator{
		Databases: &migrationsql.Databases{Client: service.client, Timeout: timeout},
		Rules:     &migrationRules{consensus: f.agreed, clock: now, limits: agreed.Limits},
		Scheduler: migrationScheduler{jobs: service},
		Timing: migration.Timing{
			// An entry takes two round trips and two fsyncs: less than a heartbeat each, or the leader would be replaced.
			LogEntryMillis:     agreed.ElectionTimeoutMillis / 5,
			RulesInForceMillis: inForce,
			FailoverMillis:     takeover,
			DatabaseCallMillis: clock.Millis(timeout),
		},
	}
	if slices.Contains(migration.Guarantees, f.broken) {
		migrator.DisabledGuarantee = f.broken
	}
	return migrator
}

// validateMigration checks a plan completely before it goes into the log, and names the groups that its lease holder has
// to reach.
func (s *jobService) validateMigration(entry *jobs.Entry) error {
	plan, err := migration.ParsePlan(entry.Spec, s.migrator.Timing)
	if err != nil {
		return err
	}
	for _, job := range s.stateMachine().Jobs {
		if job.Kind != migration.JobKind || job.Finished || job.Name == entry.Job {
			continue
		}
		other, err := migration.ParsePlan(job.Spec, s.migrator.Timing)
		if err == nil && other.Tenant == plan.Tenant {
			return &migration.TenantLockedError{Tenant: plan.Tenant, Job: job.Name}
		}
	}
	entry.RequiredGroups = []uint64{plan.From, plan.To}
	return nil
}

// planMigration checks a plan as its first operation would, and enters nothing into the log.
func (n *node) planMigration(ctx context.Context, body []byte) (any, error) {
	if n.others == nil || n.others.jobs == nil {
		return nil, jobsDisabledError{}
	}
	migrator := n.others.jobs.migrator
	plan, err := migration.ParsePlan(body, migrator.Timing)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	check := &jobs.Operation{Number: 1, Name: string(migration.OperationCheck)}
	result, err := migrator.Execute(ctx, &jobs.Job{Spec: body}, check)
	if err != nil {
		return nil, err
	}
	state, err := migration.DecodeState(&jobs.Job{State: result.State})
	return migrationPlanView{
		Plan:           plan,
		MinPauseMillis: migrator.Timing.MinPauseMillis(plan.FenceWaitMillis),
		CutoffMillis:   migrator.Timing.CutoffMillis(plan),
		CheckResults:   state.CheckResults,
	}, err
}

// stateMachine returns this pooler's copy of the jobs in the replicated log.
func (s *jobService) stateMachine() *jobs.StateMachine {
	byName, _ := s.log.Jobs()
	log := &jobs.StateMachine{Jobs: make(map[string]*jobs.Job, len(byName))}
	for name, job := range byName {
		log.Jobs[name] = &job
	}
	return log
}

// planLegacyMigration is planMigration under the name of the first release.
func (n *node) planLegacyMigration(ctx context.Context, body []byte) (any, error) {
	warnLegacyRequest("move-plan", "migration-plan")
	return n.planMigration(ctx, body)
}
