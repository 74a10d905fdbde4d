package main

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus/runner"
	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/jobs/executor"
	"ashstand/internal/cluster/jobs/noop"
	"ashstand/internal/cluster/migration"
	"ashstand/internal/net/discovery"
	"ashstand/internal/net/pg"
)

// jobService is this pooler's part in the jobs of the fleet. It runs between startJobs and stop, which waits for its
// goroutines.
type jobService struct {
	log        *jobLog
	executor   *executor.Executor
	client     *fencing.Client
	handlers   map[string]jobs.Handler // by kind
	clock      clock.Clock
	cancel     context.CancelFunc // of background
	background sync.WaitGroup
	migrator   *migration.Migrator

	// mu guards reachedAt and phaseTimes.
	mu         sync.Mutex
	reachedAt  map[uint64]float64 // when a group's primary answered last
	phaseTimes phaseTimes
}

// jobLog implements executor.Log on the replicated log.
type jobLog struct{ *runner.Runner }

// Jobs implements executor.Log.
func (l jobLog) Jobs() (map[string]jobs.Job, float64) {
	lease := l.Lease()
	return lease.Jobs, lease.ExpiresAt
}

// Propose implements executor.Log.
func (l jobLog) Propose(ctx context.Context, entry jobs.Entry) error {
	_, err := l.ProposeJobEntry(ctx, entry, nil)
	return err
}

const (
	probeInterval   = time.Second     // between two probes of a group's primary
	reachableMillis = 3000.0          // for how long an answered probe counts
	commitTimeout   = 8 * time.Second // that an operator's entry may take to come into the log
	settledLeases   = 10              // leases after which a process counts as settled
)

// startJobs starts the service; without a jobs block nothing of it is opened, started or allocated.
func (f *fellows) startJobs(n *node, cfg *config, now clock.Clock) {
	if f == nil || f.agreed == nil || cfg.operator.Cluster.Agreement.Jobs == nil {
		return
	}
	settings := cfg.operator.Cluster.Agreement.Jobs
	s := &jobService{log: &jobLog{f.agreed}, clock: now, reachedAt: map[uint64]float64{}, phaseTimes: phaseTimes{}}
	s.client = &fencing.Client{User: settings.User, DisabledGuarantee: f.broken, Hosts: n.activeHosts}
	s.migrator = f.newMigrator(s, cfg, f.config, now)
	s.handlers = map[string]jobs.Handler{noop.KindName: &noop.Handler{Client: s.client, Now: now.Now, DisabledGuarantee: f.broken}}
	options := executor.Options{
		Name: f.name, Incarnation: f.instance, Zone: cfg.operator.Cluster.Zone, Handlers: s.handlers, Log: s.log, Clock: now,
		PollMillis: clock.Millis(settings.PollInterval), OperationMillis: clock.Millis(settings.OperationTimeout),
		Reachable: s.reachable, Healthy: f.agreed.IsStorageHealthy,
	}
	if f.trace != nil { // in the testbed alone; migrations on real processes were tried too little for service: see docs/moves.md
		s.handlers[migration.JobKind] = s.migrator
		options.IgnoreLeaseEnd = true
		options.Trace = f.trace.operation
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.background.Go(func() { every(ctx, probeInterval, func() { s.probeGroups(ctx) }) })
	s.executor = executor.Start(options)
	f.jobs = s
}

// activeHosts lists the hosts of a group that jobs may act on, sorted by name.
func (n *node) activeHosts(group uint64) (hosts []fencing.Host) {
	for _, e := range *n.list.Load() {
		if e.Group == group && e.Status == discovery.Active {
			hosts = append(hosts, fencing.Host{Name: e.Name, Address: e.Address, Group: e.Group, Primary: e.Role == pg.Platform.Primary})
		}
	}
	slices.SortFunc(hosts, func(a, b fencing.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// operation traces an event of an operation, for the testbed's checkers.
func (t *trace) operation(event string, job jobs.Job) {
	name := ""
	if job.Operation != nil {
		name = job.Operation.Name
	}
	t.line(map[string]any{"event": "work", "work": job.Name, "token": job.Token, "text": event, "deed": name, "step": job.Step})
	t.trap(event, name)
}

// probeGroups probes the primaries of the groups that open jobs require.
func (s *jobService) probeGroups(ctx context.Context) {
	s.mu.Lock()
	s.phaseTimes.update(s.stateMachine(), s.clock.Now())
	s.mu.Unlock()
	var probes sync.WaitGroup
	for group, database := range s.requiredGroups() {
		probes.Go(func() { s.probeGroup(ctx, group, database) })
	}
	probes.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.reachedAt, func(_ uint64, at float64) bool { return s.clock.Now()-at > reachableMillis })
}

// requiredGroups are the groups that open jobs require, each with a database to connect to.
func (s *jobService) requiredGroups() map[uint64]string {
	current, _ := s.log.Jobs()
	groups := map[uint64]string{}
	for _, job := range current {
		if job.Finished {
			continue
		}
		var spec struct{ Database, Tenant string }
		_ = json.Unmarshal(job.Spec, &spec) // it was checked before it came into the log
		for _, group := range job.RequiredGroups {
			groups[group] = cmp.Or(spec.Database, spec.Tenant)
		}
	}
	return groups
}

func (s *jobService) probeGroup(ctx context.Context, group uint64, database string) {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	conn, _, err := s.client.ConnectPrimary(ctx, group, database)
	if err != nil {
		return
	}
	fencing.Close(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachedAt[group] = s.clock.Now()
}

// reachable returns the groups whose primary answered of late. Which of them are local is not known.
func (s *jobService) reachable() (groups, local []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for group, at := range s.reachedAt {
		if s.clock.Now()-at <= reachableMillis {
			groups = append(groups, group)
		}
	}
	slices.Sort(groups)
	return groups, nil
}

// drain releases every job, so that another pooler goes on without waiting for a lease to expire.
func (s *jobService) drain(within time.Duration) {
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	s.executor.Drain(ctx)
}

// stop ends the service and waits for its goroutines.
func (s *jobService) stop() {
	if s == nil {
		return
	}
	s.cancel()
	s.executor.Stop()
	s.background.Wait()
}

// schedulerConfig returns the times by which lease holders are watched.
func schedulerConfig(cfg *config) jobs.SchedulerConfig {
	agreement := cfg.operator.Cluster.Agreement
	settings := agreement.Jobs
	if settings == nil {
		return jobs.SchedulerConfig{}
	}
	return jobs.SchedulerConfig{
		StallMillis: clock.Millis(settings.StallTimeout), MinTenureMillis: clock.Millis(settings.MinTenure),
		BackoffMillis: clock.Millis(settings.Backoff), SettledMillis: settledLeases * clock.Millis(agreement.Lease),
		RetryMillis: clock.Millis(agreement.Election),
	}
}
