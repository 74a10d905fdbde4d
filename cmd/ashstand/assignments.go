package main

import (
	"bufio"
	"fmt"
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

// assignments implement pg.Assignments by the agreed rules. They are computed once for each change of the versions or of
// the lease, so that a transaction costs a lookup.
type assignments struct {
	consensus *runner.Runner
	clock     clock.Clock
	table     atomic.Pointer[assignmentTable]
	front     atomic.Pointer[pg.SessionFront] // notified of changes; nil: nobody
	buildMu   sync.Mutex                      // buildMu guards the replacement of table
}

// assignmentTable is what the rules say under one set of versions.
type assignmentTable struct {
	key        consensus.EffectiveKey
	byDatabase map[string]session.Assignment
}

// Assignment returns what the rules say of a database now.
func (a *assignments) Assignment(database string, now float64) session.Assignment {
	return a.current(now).byDatabase[database]
}

// current returns the table of the versions and the lease that this pooler has now.
func (a *assignments) current(now float64) *assignmentTable {
	if table := a.table.Load(); table.isCurrent(a.consensus.Lease(), now) {
		return table
	}
	a.buildMu.Lock()
	defer a.buildMu.Unlock()
	lease, previous := a.consensus.Lease(), a.table.Load()
	if previous.isCurrent(lease, now) {
		return previous
	}
	table := &assignmentTable{key: lease.EffectiveKey(now), byDatabase: assignmentsFromRules(lease.Effective(now).Rules)}
	table.setPauseTimes(previous, now)
	a.table.Store(table)
	return table
}

// isCurrent reports whether the table is of the versions and the lease.
func (t *assignmentTable) isCurrent(lease *consensus.Lease, now float64) bool {
	return t != nil && t.key == lease.EffectiveKey(now)
}

// setPauseTimes keeps when a pause began that the previous table has as well.
func (t *assignmentTable) setPauseTimes(previous *assignmentTable, now float64) {
	for database, assignment := range t.byDatabase {
		if !assignment.Paused {
			continue
		}
		assignment.PausedSince = now
		if previous != nil && previous.byDatabase[database].Paused {
			assignment.PausedSince = previous.byDatabase[database].PausedSince
		}
		t.byDatabase[database] = assignment
	}
}

// Keys of the agreed rules that assign a database: prefix, name of the database, suffix.
const (
	databaseKeyPrefix = "database."
	groupKeySuffix    = ".group"
	pausedKeySuffix   = ".paused"
)

// assignmentsFromRules returns the assignments of the databases that rules name.
func assignmentsFromRules(rules consensus.Rules) map[string]session.Assignment {
	byDatabase := map[string]session.Assignment{}
	for key, value := range rules {
		name, isDatabase := strings.CutPrefix(key, databaseKeyPrefix)
		if !isDatabase {
			continue
		}
		if database, found := strings.CutSuffix(name, groupKeySuffix); found {
			assignment := byDatabase[database]
			group, isNumber := value.(float64)
			assignment.HasGroup = isNumber
			assignment.Group = uint64(group)
			assignment.Undecided = rules.Fenced(key)
			byDatabase[database] = assignment
		} else if database, found := strings.CutSuffix(name, pausedKeySuffix); found {
			assignment := byDatabase[database]
			assignment.Paused, _ = value.(bool)
			byDatabase[database] = assignment
		}
	}
	return byDatabase
}

// changed notifies the front of other rules or another lease. The table is computed here rather than on the front's event
// loop.
func (a *assignments) changed() {
	if front := a.front.Load(); front != nil {
		a.current(a.clock.Now())
		front.ReassignTenants()
	}
}

// assignmentsView is what operators see of the assignments, under the key of the first release and under the present one.
type assignmentsView struct {
	On          bool             `json:"on"`
	Assignments []pg.TenantStats `json:"homes"`
	Present     []pg.TenantStats `json:"assignments"`
}

func (n *node) assignmentsView() any {
	if n.others == nil || n.others.assignments == nil {
		return assignmentsView{}
	}
	stats := []pg.TenantStats{}
	if n.pooled != nil {
		stats = append(stats, n.pooled.TenantStats()...)
	}
	for database, assignment := range n.others.assignments.current(n.clock.Now()).byDatabase {
		if slices.ContainsFunc(stats, func(s pg.TenantStats) bool { return s.Database == database }) {
			continue
		}
		idle := pg.TenantStats{Database: database}
		idle.Describe(assignment)
		stats = append(stats, idle)
	}
	slices.SortFunc(stats, func(a, b pg.TenantStats) int { return strings.Compare(a.Database, b.Database) })
	return assignmentsView{On: true, Assignments: stats, Present: stats}
}

func writeAssignmentTable(w *bufio.Writer, view *assignmentsView) {
	if !view.On {
		fmt.Fprintln(w, "the operator's file has no cluster.agreement block: each pool's own group counts")
		return
	}
	fmt.Fprintln(w, "DATABASE\tHOME\tSTATE\tPAUSED SINCE\tSESSIONS\tRUNNING\tHELD\tLET GO\tREFUSED\tBOUND")
	for _, s := range view.Assignments {
		group, since, sticky := "the pool's", "-", "-"
		if s.Group != nil {
			group = fmt.Sprint(*s.Group)
		} else if s.Fenced {
			group = "not agreed"
		}
		if s.PausedSince > 0 {
			elapsed := clock.Duration(clock.System().Now() - s.PausedSince).Round(100 * time.Millisecond)
			since = fmt.Sprintf("%s (%s)", time.UnixMilli(int64(s.PausedSince)).UTC().Format("15:04:05.000"), elapsed)
		}
		var causes []string
		for _, b := range s.Sticky {
			causes = append(causes, fmt.Sprintf("%d of pool %s at %s: %s", b.Sessions, b.Pool, b.Host, b.Cause))
		}
		if len(causes) > 0 {
			sticky = strings.Join(causes, "; ")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Database, group, s.State, since, s.Sessions, s.Running, s.Queued, s.Released, s.Rejected, sticky)
	}
}
