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

// homes say where databases are by the rules that the poolers agreed on. What is acted on is met once for each change of
// versions or of the lease, so that a transaction costs a look into a table.
type homes struct {
	agreed *runner.Runner
	clock  clock.Clock
	mu     sync.Mutex // who makes the next table
	table  atomic.Pointer[homeTable]
	front  atomic.Pointer[pg.SessionFront] // to be told of changes; nil: nobody
}

// homeTable is what the rules say under one set of versions.
type homeTable struct {
	basis consensus.EffectiveKey
	of    map[string]session.Home
}

// Assignment is what the rules say of a database now.
func (h *homes) Assignment(database string, now float64) session.Home { return h.at(now).of[database] }

func (h *homes) at(now float64) *homeTable {
	if t := h.table.Load(); t.fits(h.agreed.Lease(), now) {
		return t
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	g, before := h.agreed.Lease(), h.table.Load()
	if before.fits(g, now) {
		return before
	}
	t := &homeTable{basis: g.EffectiveKey(now), of: homesOf(g.Effective(now).Rules)}
	for name, home := range t.of {
		if home.Paused {
			home.Since = now
			if before != nil && before.of[name].Paused {
				home.Since = before.of[name].Since
			}
			t.of[name] = home
		}
	}
	h.table.Store(t)
	return t
}

// fits says whether the table is of the versions and the lease that are held.
func (t *homeTable) fits(g *consensus.Lease, now float64) bool {
	return t != nil && t.basis == g.EffectiveKey(now)
}

// homesOf are the databases that rules name.
func homesOf(rules consensus.Rules) map[string]session.Home {
	of := map[string]session.Home{}
	for key, value := range rules {
		name, ours := strings.CutPrefix(key, "database.")
		if !ours {
			continue
		}
		if database, is := strings.CutSuffix(name, ".group"); is {
			h := of[database]
			group, known := value.(float64)
			h.Named, h.Fenced, h.Group = known, rules.Fenced(key), uint64(group)
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
func (h *homes) changed() {
	if f := h.front.Load(); f != nil {
		h.at(h.clock.Now())
		f.ReassignTenants()
	}
}

// homesView is what operators see of the homes.
type homesView struct {
	On    bool             `json:"on"`
	Homes []pg.TenantStats `json:"homes"`
}

func (n *node) homesView() any {
	if n.others == nil || n.others.homes == nil {
		return homesView{}
	}
	v := homesView{On: true, Homes: []pg.TenantStats{}}
	if n.pooled != nil {
		v.Homes = append(v.Homes, n.pooled.TenantStats()...)
	}
	for database, h := range n.others.homes.at(n.clock.Now()).of {
		if !slices.ContainsFunc(v.Homes, func(s pg.TenantStats) bool { return s.Database == database }) {
			s := pg.TenantStats{Database: database}
			s.Describe(h)
			v.Homes = append(v.Homes, s)
		}
	}
	slices.SortFunc(v.Homes, func(a, b pg.TenantStats) int { return strings.Compare(a.Database, b.Database) })
	return v
}

func homesTable(w io.Writer, v *homesView) {
	if !v.On {
		fmt.Fprintln(w, "the operator's file has no cluster.agreement block: each pool's own group counts")
		return
	}
	fmt.Fprintln(w, "DATABASE\tHOME\tSTATE\tPAUSED SINCE\tSESSIONS\tRUNNING\tHELD\tLET GO\tREFUSED\tBOUND")
	for _, h := range v.Homes {
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
