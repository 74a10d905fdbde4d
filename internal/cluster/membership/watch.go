package membership

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"ashstand/internal/clock"
)

// watch keeps the table up to date, joins missing peers, and releases a lost name. It runs until Stop.
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
		if g.releaseLostName(now) {
			continue
		}
		g.refresh(now)
		g.notifyChanges()
		g.rejoin(&schedule, now)
	}
}

// rejoinSchedule is the backoff between attempts to join missing peers.
type rejoinSchedule struct {
	next    float64 // time of the next attempt, Unix milliseconds; 0 if it is due at once
	backoff time.Duration
}

// rejoin attempts to join a missing peer, if the backoff has passed.
func (g *Gossip) rejoin(s *rejoinSchedule, now float64) {
	names := g.missingPeers()
	if len(names) == 0 {
		*s = rejoinSchedule{backoff: minRejoinBackoff}
		return
	}
	if now < s.next || g.options.DisabledGuarantee == disableRejoin {
		return
	}
	g.join(names)
	s.next = g.options.Clock.Now() + clock.Millis(s.backoff)*(1+g.random.Float64())/2
	s.backoff = min(maxRejoinBackoff, 2*s.backoff)
}

// releaseLostName closes the sockets if this incarnation lost its name, and opens them again after a backoff.
// It reports whether the name is lost.
func (g *Gossip) releaseLostName(now float64) bool {
	g.mu.Lock()
	holder, lost := g.table.NameHolder()
	lostAt, list := g.nameLostAt, g.list
	if lost && lostAt == 0 {
		g.nameLostAt, g.nameHolder, g.list = now, holder, nil
	}
	g.mu.Unlock()
	switch {
	case !lost:
		return false
	case lostAt == 0:
		slog.Error("cluster: the member name is held by an instance that started first; staying out of the cluster",
			"name", holder.Name, "instance", fmt.Sprintf(incarnationFormat, holder.Incarnation), "address", holder.Address,
			"backoff", nameConflictBackoff)
		if list != nil {
			_ = list.Shutdown() // without Leave, which would announce that the name's holder leaves
		}
	case now-lostAt > clock.Millis(nameConflictBackoff):
		g.reopen(now)
	}
	return true
}

// reopen starts memberlist again. After an error the backoff starts over.
func (g *Gossip) reopen(now float64) {
	err := g.open()
	if err == nil {
		return
	}
	slog.Error("cluster: the sockets cannot be opened again", "error", err)
	g.mu.Lock()
	g.nameLostAt = now
	g.mu.Unlock()
}

// refresh copies the members' states from memberlist, because memberlist has no callback for suspicions.
func (g *Gossip) refresh(now float64) {
	list := g.activeList()
	if list == nil {
		return
	}
	nodes := list.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range nodes {
		info, err := DecodeInfo(n.Name, n.Address(), n.Meta)
		if err != nil {
			continue // admitNode has counted it
		}
		liveness := LivenessAlive
		if n.State == memberlist.StateSuspect {
			liveness = LivenessSuspect
		}
		g.table.Observe(info, liveness, now)
	}
	g.table.RemoveExpired(now)
}

// missingPeers returns the names of the configured peers that are dead or not in the table, sorted.
func (g *Gossip) missingPeers() (names []string) {
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

// join exchanges the complete state with one of these peers, chosen at random. One is enough: a peer that
// answers knows the other members.
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
