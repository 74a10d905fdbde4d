package migration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// ConcurrencyLimits are how many moves may run at once where they meet; 0: any number.
type ConcurrencyLimits struct {
	Total    int
	PerGroup int
	PerHost  int
	PerZone  int
}

// Candidate is a move that runs or would.
type Candidate struct {
	Job      string
	Tenant   string
	Groups   []Group
	Hosts    []string // the primaries'
	Zones    []string
	Priority float64
	Running  bool
}

// Schedule says for each move that does not run why it may not start yet; "": it may. Those that are needed most come first, by
// name where the need is equal. One that has to wait keeps its places: nobody that is needed less takes them meanwhile. No
// tenant has two.
func Schedule(all []Candidate, l ConcurrencyLimits) map[string]string {
	taken := map[string]int{}
	tenants := map[string]string{}
	places := func(c Candidate) map[string]int {
		out := map[string]int{"": l.Total}
		for _, g := range c.Groups {
			out[fmt.Sprintf("group %d", g)] = l.PerGroup
		}
		for _, h := range c.Hosts {
			out["host "+h] = l.PerHost
		}
		for _, z := range c.Zones {
			out["zone "+z] = l.PerZone
		}
		return out
	}
	take := func(c Candidate) {
		for p := range places(c) {
			taken[p]++
		}
		if tenants[c.Tenant] == "" {
			tenants[c.Tenant] = c.Job
		}
	}
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Job, b.Job))
	})
	for _, c := range all {
		if c.Running {
			take(c)
		}
	}
	out := map[string]string{}
	for _, c := range all {
		if c.Running {
			continue
		}
		why := ""
		if by := tenants[c.Tenant]; by != "" {
			why = "tenant " + c.Tenant + " is moved by " + by
		}
		of := places(c)
		for _, p := range slices.Sorted(maps.Keys(of)) {
			if most := of[p]; why == "" && most > 0 && taken[p] >= most {
				why = fmt.Sprintf("%s has %d of %d moves", cmp.Or(p, "the fleet"), taken[p], most)
			}
		}
		out[c.Job] = why
		take(c)
	}
	return out
}

// Topology says on which hosts and in which zones a group has its primary and standbys.
type Topology func(Group) (hosts, zones []string)

// Candidates are the open moves of a ledger. Whatever was begun runs, also while it waits for a word.
func Candidates(l *jobs.StateMachine, kind string, where Topology) (out []Candidate) {
	for _, name := range l.OpenJobs() {
		w := l.Jobs[name]
		p, err := decodePlan(w.Spec)
		if w.Kind != kind || err != nil {
			continue
		}
		s, err := decodeState(w)
		c := Candidate{Job: name, Tenant: p.Tenant, Groups: []Group{p.From, p.To}, Priority: p.Priority}
		c.Running = err != nil || s.Phase != PhasePlanned || w.Operation != nil
		for _, g := range c.Groups {
			h, z := where(g)
			c.Hosts, c.Zones = append(c.Hosts, h...), append(c.Zones, z...)
		}
		out = append(out, c)
	}
	return out
}
