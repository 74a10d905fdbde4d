package migration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Limits are how many moves may run at once where they meet; 0: any number.
type Limits struct {
	All   int
	Group int
	Host  int
	Zone  int
}

// Candidate is a move that runs or would.
type Candidate struct {
	Work    string
	Tenant  string
	Groups  []Group
	Hosts   []string // the primaries'
	Zones   []string
	Need    float64
	Running bool
}

// May says for each move that does not run why it may not start yet; "": it may. Those that are needed most come first, by
// name where the need is equal. One that has to wait keeps its places: nobody that is needed less takes them meanwhile. No
// tenant has two.
func May(all []Candidate, l Limits) map[string]string {
	taken := map[string]int{}
	tenants := map[string]string{}
	places := func(c Candidate) map[string]int {
		out := map[string]int{"": l.All}
		for _, g := range c.Groups {
			out[fmt.Sprintf("group %d", g)] = l.Group
		}
		for _, h := range c.Hosts {
			out["host "+h] = l.Host
		}
		for _, z := range c.Zones {
			out["zone "+z] = l.Zone
		}
		return out
	}
	take := func(c Candidate) {
		for p := range places(c) {
			taken[p]++
		}
		if tenants[c.Tenant] == "" {
			tenants[c.Tenant] = c.Work
		}
	}
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Candidate) int { return cmp.Or(cmp.Compare(b.Need, a.Need), cmp.Compare(a.Work, b.Work)) })
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
		out[c.Work] = why
		take(c)
	}
	return out
}

// Where says on which hosts and in which zones a group has its primary and standbys.
type Where func(Group) (hosts, zones []string)

// Candidates are the open moves of a ledger. Whatever was begun runs, also while it waits for a word.
func Candidates(l *jobs.StateMachine, kind string, where Where) (out []Candidate) {
	for _, name := range l.OpenJobs() {
		w := l.Jobs[name]
		p, err := read(w.Spec)
		if w.Kind != kind || err != nil {
			continue
		}
		s, err := stateOf(w)
		c := Candidate{Work: name, Tenant: p.Tenant, Groups: []Group{p.From, p.To}, Need: p.Need}
		c.Running = err != nil || s.Phase != Planned || w.Operation != nil
		for _, g := range c.Groups {
			h, z := where(g)
			c.Hosts, c.Zones = append(c.Hosts, h...), append(c.Zones, z...)
		}
		out = append(out, c)
	}
	return out
}
