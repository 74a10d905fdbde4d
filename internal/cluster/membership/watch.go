package membership

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"ashstand/internal/clock"
)

// watch keeps the table up to date, joins members that are out of sight, and gives up a name that is lost.
func (g *Gossip) watch() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	schedule := rejoinSchedule{backoff: minRejoinBackoff}
	for {
		select {
		case <-g.closing:
			return
		case <-ticker.C:
		}
		now := g.options.Clock.Now()
		if g.yieldLostName(now) {
			continue
		}
		g.refresh(now)
		g.notifyChanges()
		g.rejoin(&schedule, now)
	}
}

// rejoinSchedule paces the attempts to join members that are out of sight.
type rejoinSchedule struct {
	next    float64 // Unix milliseconds; 0: at once
	backoff time.Duration
}

// rejoin attempts to join a member that is out of sight, if one is due.
func (g *Gossip) rejoin(s *rejoinSchedule, now float64) {
	missing := g.missing()
	if len(missing) == 0 {
		*s = rejoinSchedule{backoff: minRejoinBackoff}
		return
	}
	if now < s.next || g.options.Break == breakRejoin {
		return
	}
	g.join(missing)
	s.next = g.options.Clock.Now() + clock.Millis(s.backoff)*(1+g.random.Float64())/2
	s.backoff = min(maxRejoinBackoff, 2*s.backoff)
}

// yieldLostName closes the sockets of an incarnation that lost its name, and opens them again after a backoff. It reports
// whether the name is lost.
func (g *Gossip) yieldLostName(now float64) bool {
	g.mu.Lock()
	holder, lost := g.table.NameHolder()
	since, list := g.lostSince, g.list
	if lost && since == 0 {
		g.lostSince, g.holder, g.list = now, holder, nil
	}
	g.mu.Unlock()
	switch {
	case !lost:
		return false
	case since == 0:
		slog.Error("cluster: the member name is held by an instance that started first; staying out of the cluster",
			"name", holder.Name, "instance", fmt.Sprintf(incarnationFormat, holder.Incarnation), "address", holder.Address,
			"backoff", nameConflictBackoff)
		if list != nil {
			_ = list.Shutdown() // without Leave, which would announce the end of the name's holder
		}
	case now-since > clock.Millis(nameConflictBackoff):
		g.reopen(now)
	}
	return true
}

// reopen starts memberlist again; after an error the backoff begins anew.
func (g *Gossip) reopen(now float64) {
	err := g.open()
	if err == nil {
		return
	}
	slog.Error("cluster: the sockets cannot be opened again", "error", err)
	g.mu.Lock()
	g.lostSince = now
	g.mu.Unlock()
}

// refresh copies states from memberlist, which does not announce suspicions.
func (g *Gossip) refresh(now float64) {
	list := g.current()
	if list == nil {
		return
	}
	nodes := list.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range nodes {
		info, err := DecodeInfo(n.Name, n.Address(), n.Meta)
		if err != nil {
			continue // the delegate has counted it
		}
		liveness := LivenessAlive
		if n.State == memberlist.StateSuspect {
			liveness = LivenessSuspect
		}
		g.table.Observe(info, liveness, now)
	}
	g.table.Tick(now)
}

// missing returns the configured peers that are out of sight, sorted.
func (g *Gossip) missing() (names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	present := map[string]bool{g.options.Self.Name: true}
	for _, m := range g.table.Members() {
		present[m.Name] = present[m.Name] || m.State != Dead
	}
	for name := range g.options.Peers {
		if !present[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// join exchanges the complete state with one of these members, chosen at random: one that answers knows the others.
func (g *Gossip) join(names []string) {
	name := names[g.random.IntN(len(names))]
	g.mu.Lock()
	list, address := g.list, g.options.Peers[name]
	g.mu.Unlock()
	if list == nil {
		return
	}
	g.joinAttempts.Add(1)
	if n, _ := list.Join([]string{name + "/" + address}); n > 0 {
		g.joins.Add(1)
	}
}
