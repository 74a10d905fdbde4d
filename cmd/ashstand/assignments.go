package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/consensus/runner"
	"ashstand/internal/net/pg"
	"ashstand/internal/session"
)

// assignments say where databases are by the rules that the poolers agreed on. What is acted on is met once for each change of
// versions or of the lease, so that a transaction costs a look into a table.
type assignments struct {
	consensus *runner.Runner
	clock     clock.Clock
	buildMu   sync.Mutex // who makes the next table
	table     atomic.Pointer[assignmentTable]
	front     atomic.Pointer[pg.SessionFront] // to be told of changes; nil: nobody
}

// assignmentTable is what the rules say under one set of versions.
type assignmentTable struct {
	key        consensus.EffectiveKey
	byDatabase map[string]session.Assignment
}

// Assignment is what the rules say of a database now.
func (h *assignments) Assignment(database string, now float64) session.Assignment {
	return h.current(now).byDatabase[database]
}

func (h *assignments) current(now float64) *assignmentTable {
	if t := h.table.Load(); t.isCurrent(h.consensus.Lease(), now) {
		return t
	}
	h.buildMu.Lock()
	defer h.buildMu.Unlock()
	g, before := h.consensus.Lease(), h.table.Load()
	if before.isCurrent(g, now) {
		return before
	}
	t := &assignmentTable{key: g.EffectiveKey(now), byDatabase: assignmentsFromRules(g.Effective(now).Rules)}
	for name, home := range t.byDatabase {
		if home.Paused {
			home.PausedSince = now
			if before != nil && before.byDatabase[name].Paused {
				home.PausedSince = before.byDatabase[name].PausedSince
			}
			t.byDatabase[name] = home
		}
	}
	h.table.Store(t)
	return t
}

// isCurrent says whether the table is of the versions and the lease that are held.
func (t *assignmentTable) isCurrent(g *consensus.Lease, now float64) bool {
	return t != nil && t.key == g.EffectiveKey(now)
}

// assignmentsFromRules are the databases that rules name.
func assignmentsFromRules(rules consensus.Rules) map[string]session.Assignment {
	of := map[string]session.Assignment{}
	for key, value := range rules {
		name, ours := strings.CutPrefix(key, "database.")
		if !ours {
			continue
		}
		if database, is := strings.CutSuffix(name, ".group"); is {
			h := of[database]
			group, known := value.(float64)
			h.HasGroup, h.Undecided, h.Group = known, rules.Fenced(key), uint64(group)
			of[database] = h
		} else if database, is := strings.CutSuffix(name, ".paused"); is {
			h := of[database]
			h.Paused, _ = value.(bool)
			of[database] = h
		}
	}
	return of
}

// changed tells the front that the rules, or the lease, are others by now. The table is made here rather than on the
// front's event loop.
func (h *assignments) changed() {
	if f := h.front.Load(); f != nil {
		h.current(h.clock.Now())
		f.ReassignTenants()
	}
}

// assignmentsView is what operators see of the homes.
type assignmentsView struct {
	On          bool             `json:"on"`
	Assignments []pg.TenantStats `json:"homes"`
}

func (n *node) assignmentsView() any {
	if n.others == nil || n.others.assignments == nil {
		return assignmentsView{}
	}
	v := assignmentsView{On: true, Assignments: []pg.TenantStats{}}
	if n.pooled != nil {
		v.Assignments = append(v.Assignments, n.pooled.TenantStats()...)
	}
	for database, h := range n.others.assignments.current(n.clock.Now()).byDatabase {
		if !slices.ContainsFunc(v.Assignments, func(s pg.TenantStats) bool { return s.Database == database }) {
			s := pg.TenantStats{Database: database}
			s.Describe(h)
			v.Assignments = append(v.Assignments, s)
		}
	}
	slices.SortFunc(v.Assignments, func(a, b pg.TenantStats) int { return strings.Compare(a.Database, b.Database) })
	return v
}

func writeAssignmentTable(w io.Writer, v *assignmentsView) {
	if !v.On {
		fmt.Fprintln(w, "the operator's file has no cluster.agreement block: each pool's own group counts")
		return
	}
	fmt.Fprintln(w, "DATABASE\tHOME\tSTATE\tPAUSED SINCE\tSESSIONS\tRUNNING\tHELD\tLET GO\tREFUSED\tBOUND")
	for _, h := range v.Assignments {
		home, since, bound := "the pool's", "-", "-"
		if h.Group != nil {
			home = fmt.Sprint(*h.Group)
		} else if h.Fenced {
			home = "not agreed"
		}
		if h.PausedSince > 0 {
			since = time.UnixMilli(int64(h.PausedSince)).UTC().Format("15:04:05.000") + " (" + clock.Duration(clock.System().Now()-h.PausedSince).Round(100*time.Millisecond).String() + ")"
		}
		var words []string
		for _, b := range h.Sticky {
			words = append(words, fmt.Sprintf("%d of pool %s at %s: %s", b.Sessions, b.Pool, b.Host, b.Cause))
		}
		if len(words) > 0 {
			bound = strings.Join(words, "; ")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", h.Database, home, h.State, since, h.Sessions, h.Running, h.Queued, h.Released, h.Rejected, bound)
	}
}
