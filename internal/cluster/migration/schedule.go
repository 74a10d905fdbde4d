package migration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// ConcurrencyLimits bound how many migrations may run at once in the fleet and at each group, host and zone; 0 means no
// limit.
type ConcurrencyLimits struct {
	Total    int
	PerGroup int
	PerHost  int
	PerZone  int
}

// Candidate is a migration that runs or waits to start.
type Candidate struct {
	Job      string
	Tenant   string
	Groups   []Group
	Hosts    []string // of the groups' database hosts
	Zones    []string
	Priority float64
	Running  bool
}

// Schedule returns, for each migration that does not run, why it may not start yet, or an empty reason if it may start.
// Migrations are considered by descending priority, and equal priorities by name. One that has to wait reserves its
// capacity, so that a migration of lower priority can't take it in the meantime. A tenant never has two migrations.
func Schedule(candidates []Candidate, limits ConcurrencyLimits) map[string]string {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Job, b.Job))
	})
	usage := &capacityUsage{limits: limits, reserved: map[string]int{}, jobByTenant: map[string]string{}}
	for _, candidate := range ordered {
		if candidate.Running {
			usage.reserve(candidate)
		}
	}
	reasons := map[string]string{}
	for _, candidate := range ordered {
		if candidate.Running {
			continue
		}
		reasons[candidate.Job] = usage.waitReason(candidate)
		usage.reserve(candidate)
	}
	return reasons
}

// capacityUsage counts reservations against the limits.
type capacityUsage struct {
	limits      ConcurrencyLimits
	reserved    map[string]int // by the keys that limitsOf returns
	jobByTenant map[string]string
}

// limitsOf returns the limit of each resource (fleet, groups, hosts, zones) that a candidate uses. The empty key stands
// for the fleet.
func (u *capacityUsage) limitsOf(candidate Candidate) map[string]int {
	limits := map[string]int{"": u.limits.Total}
	for _, group := range candidate.Groups {
		limits[fmt.Sprintf("group %d", group)] = u.limits.PerGroup
	}
	for _, host := range candidate.Hosts {
		limits["host "+host] = u.limits.PerHost
	}
	for _, zone := range candidate.Zones {
		limits["zone "+zone] = u.limits.PerZone
	}
	return limits
}

func (u *capacityUsage) reserve(candidate Candidate) {
	for key := range u.limitsOf(candidate) {
		u.reserved[key]++
	}
	if u.jobByTenant[candidate.Tenant] == "" {
		u.jobByTenant[candidate.Tenant] = candidate.Job
	}
}

// waitReason returns why a candidate may not start, or an empty reason if it may.
func (u *capacityUsage) waitReason(candidate Candidate) string {
	if job := u.jobByTenant[candidate.Tenant]; job != "" {
		return "tenant " + candidate.Tenant + " is moved by " + job
	}
	limits := u.limitsOf(candidate)
	for _, key := range slices.Sorted(maps.Keys(limits)) {
		if limit := limits[key]; limit > 0 && u.reserved[key] >= limit {
			return fmt.Sprintf("%s has %d of %d moves", cmp.Or(key, "the fleet"), u.reserved[key], limit)
		}
	}
	return ""
}

// Topology returns the hosts and zones of a group's primary and standbys.
type Topology func(Group) (hosts, zones []string)

// Candidates returns the open migrations of the replicated log. A migration that was started counts as running, even
// while it waits for an approval.
func Candidates(log *jobs.StateMachine, kind string, topology Topology) (out []Candidate) {
	for _, name := range log.OpenJobs() {
		job := log.Jobs[name]
		plan, err := decodePlan(job.Spec)
		if job.Kind != kind || err != nil {
			continue
		}
		state, err := DecodeState(job)
		candidate := Candidate{Job: name, Tenant: plan.Tenant, Groups: []Group{plan.From, plan.To}, Priority: plan.Priority}
		candidate.Running = err != nil || state.Phase != PhasePlanned || job.Operation != nil
		for _, group := range candidate.Groups {
			hosts, zones := topology(group)
			candidate.Hosts = append(candidate.Hosts, hosts...)
			candidate.Zones = append(candidate.Zones, zones...)
		}
		out = append(out, candidate)
	}
	return out
}
