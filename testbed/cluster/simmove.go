package cluster

import (
	"container/heap"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
	"ashstand/testbed/report"
)

// MigrationChecks are the guarantees that the simulation of moves judges.
var MigrationChecks = []string{"lost_write", "duplicate_write", "two_homes", "verified_wrong", "paused_past_bound", "stepped_without_word", "rollback_lost", "stuck"}

// MigrationSimulation is what one schedule of moves came to.
type MigrationSimulation struct {
	Seed    uint64
	Broken  map[string]int
	Notes   []string
	Faults  map[string]int
	Ends    map[string]int // how moves ended, and what happened on the way
	Writes  int            // that were committed
	Lost    int            // of them by failovers, whatever the move did
	Pauses  int            // that were judged
	Excused int            // with more time, since nobody could decide, nobody could serve, or two owners were lost meanwhile
	// Undecided is for how long tenants were paused while the log took nothing, ms.
	Undecided float64
	Longest   float64 // of the judged ones, as a share of its bound
	Trace     uint64
}

const (
	mvLease  = 200.0
	mvRenew  = 30.0
	mvDetect = 100.0 // an owner that is silent for so long is replaced
	mvQuiet  = 3500.0
	mvEnd    = 20000.0
)

// mvCosts are what the simulation's times add up to: a lease with its drift, four renewals, and the log's ways.
var mvCosts = migration.Timing{LogEntryMillis: 10, RulesInForceMillis: mvLease*1.03 + 4*(mvRenew+6), FailoverMillis: mvDetect + 50, DatabaseCallMillis: 12}

type mvTenant struct {
	name    string
	n       int
	plan    migration.Plan
	work    string
	truth   []mvTrue
	rows    int // that were ever inserted
	unready bool
	backAt  float64 // when an operator's rollback was taken; 0: none
	paused  float64 // since when; -1: it isn't
	owners  int     // of the work so far
	lostOne bool    // during the pause
	allow   float64 // beyond the bound, for what nobody could help
	excuse  bool    // there was something of that
	out     bool    // there is now
	told    bool    // past its bound
	ended   bool
}

// mvTrue is a write that a client's home committed.
type mvTrue struct {
	w    mvWrite
	g    *mvGroup
	pos  int
	lost bool // by a failover of the home that had it
}

type mvPooler struct {
	asleep float64 // until then
	lease  float64
	lo, hi int // versions that it acts on, the stricter of all
	// what the log's leader knows
	known   int
	granted float64
}

type mvVersion struct {
	index int
	rules map[string]any
	force bool
}

type mvChange struct {
	work  string
	token jobs.FencingToken
	deed  *jobs.Operation
	keys  map[string]any
	done  bool
	n     int
	err   error
}

type mvSeen struct {
	index int
	w     *jobs.Job
}

type mvOwner struct {
	name     string
	instance uint64
	up       bool
	stalled  float64 // until then
	silent   float64 // since when; -1: it isn't
	applied  int     // of the log
	skew     float64 // of its clock
}

type moves struct {
	out      *MigrationSimulation
	lots     *rand.Rand
	now      float64
	turn     int
	queue    simQueue
	ledger   jobs.StateMachine
	index    int
	history  map[string][]mvSeen
	versions []mvVersion
	changes  []*mvChange
	down     int // the log has no leader
	groups   []*mvGroup
	poolers  []*mvPooler
	owners   []*mvOwner
	tenants  []*mvTenant
	broken   string
	eager    float64 // how soon operators speak
	late     float64 // and to switch
	faulty   bool
	trace    interface{ Write([]byte) (int, error) }
}

func (m *moves) note(format string, args ...any) {
	// A trace is for readers alone: what can't be written changes no result.
	_, _ = fmt.Fprintf(m.trace, "%.2f ", m.now)
	_, _ = fmt.Fprintf(m.trace, format+"\n", args...)
}

func (m *moves) breach(check, format string, args ...any) {
	m.out.Broken[check]++
	if len(m.out.Notes) < 10 {
		m.out.Notes = append(m.out.Notes, fmt.Sprintf("seed %d, %s at %.1f ms: ", m.out.Seed, check, m.now)+fmt.Sprintf(format, args...))
	}
}

func (m *moves) after(d float64, do func()) {
	m.turn++
	heap.Push(&m.queue, simEvent{m.now + d, m.turn, do})
}

func (m *moves) lasting(d float64) float64 { return min(d, max(10, mvQuiet-m.now)) }

func (m *moves) tenant(name string) int {
	return slices.IndexFunc(m.tenants, func(t *mvTenant) bool { return t.name == name })
}

// way is how long a message takes.
func (m *moves) way() float64 { return 0.5 + 2*m.lots.Float64() }

// SimulateMigrations plays one schedule of moves: one to three tenants in two or three groups, three owners, three poolers, and
// in most of the schedules faults. There are no sockets, and no clock but its own: equal seeds give equal traces. trace may
// be nil.
func SimulateMigrations(seed uint64, broken string, trace interface{ Write([]byte) (int, error) }) *MigrationSimulation {
	h := fnv.New64a()
	if trace == nil {
		trace = h
	}
	m := &moves{
		out: &MigrationSimulation{Seed: seed, Broken: map[string]int{}, Faults: map[string]int{}, Ends: map[string]int{}}, lots: rand.New(rand.NewPCG(seed, 0x3e)),
		history: map[string][]mvSeen{}, broken: broken, trace: trace,
	}
	for _, c := range MigrationChecks {
		m.out.Broken[c] = 0
	}
	shares := []float64{0.1, 0.3, 0.9}
	m.faulty, m.eager, m.late = m.lots.IntN(10) > 0, shares[m.lots.IntN(3)], []float64{0.9, 0.3, 0.01}[m.lots.IntN(3)]
	m.found()
	for _, o := range m.owners {
		m.start(o)
	}
	for i := range m.poolers {
		m.renew(m.poolers[i])
	}
	m.tick()
	m.operate()
	for _, t := range m.tenants {
		m.write(t)
	}
	if m.faulty {
		for at := 50.0; at < mvQuiet; at += 40 + m.lots.ExpFloat64()*250 {
			m.after(at, m.fault)
		}
	}
	for len(m.queue) > 0 && m.queue[0].at < mvEnd && !m.finished() {
		e := heap.Pop(&m.queue).(simEvent)
		m.now = e.at
		e.do()
	}
	m.judge()
	m.out.Trace = h.Sum64()
	return m.out
}

// found sets the world up: tenants are at their first homes with a few rows.
func (m *moves) found() {
	tenants := 1 + m.lots.IntN(3)
	for i := range 2 + m.lots.IntN(2) {
		m.groups = append(m.groups, &mvGroup{
			n: migration.Group(i + 1), line: 1, up: true, slots: map[string]*mvSlot{}, marks: map[int]*mvMark{},
			reported: map[int]int{}, durable: map[int]int{}, last: map[int]int{}, running: map[*mvTx]bool{}, tells: m.lots.IntN(2) == 0,
		})
	}
	for _, g := range m.groups {
		g.play(tenants)
	}
	rules := map[string]any{}
	for i := range tenants {
		t := &mvTenant{name: fmt.Sprint("t", i), n: i, work: fmt.Sprint("move", i), paused: -1, unready: m.lots.IntN(10) == 0}
		from := m.lots.IntN(len(m.groups))
		to := (from + 1 + m.lots.IntN(len(m.groups)-1)) % len(m.groups)
		t.plan = migration.Plan{
			Tenant: t.name, From: migration.Group(from + 1), To: migration.Group(to + 1), FenceWaitMillis: 60, MaxAbortedPauses: 3, BackoffMillis: 200, Priority: float64(m.lots.IntN(3)),
			MaxPauseMillis: mvCosts.MinPauseMillis(60) * (1.1 + m.lots.Float64()), Checkpoints: []migration.Checkpoint{migration.CheckpointAccepting}, BlockingSessions: []string{"wait", "end"}[m.lots.IntN(2)],
			OldCopy: []string{"keep", "drop"}[m.lots.IntN(2)],
		}
		for _, c := range []migration.Checkpoint{migration.CheckpointChecked, migration.CheckpointFencing, migration.CheckpointSwitching} {
			if m.lots.IntN(2) == 0 {
				t.plan.Checkpoints = append(t.plan.Checkpoints, c)
			}
		}
		m.tenants = append(m.tenants, t)
		for range 24 {
			m.commit(t, m.groups[from], mvWrite{id: t.rows, val: t.rows, insert: true})
			t.rows++
		}
		m.groups[from].standby = len(m.groups[from].wal)
		rules["database."+t.name+".group"] = float64(from + 1)
	}
	m.versions = []mvVersion{{rules: rules, force: true}}
	for range 3 {
		m.poolers = append(m.poolers, &mvPooler{lease: mvLease})
	}
	for i := range 3 {
		m.owners = append(m.owners, &mvOwner{name: fmt.Sprint("n", i), up: true, silent: -1, skew: m.lots.Float64() * 1e6})
	}
	for _, t := range m.tenants {
		spec, _ := json.Marshal(t.plan)
		_, err := migration.ParsePlan(spec, mvCosts)
		if err != nil {
			m.breach("stuck", "a good plan is refused: %v", err)
		}
		m.after(m.lots.Float64()*200, func() {
			_ = m.apply(jobs.Entry{Type: jobs.EntryCreate, Job: t.work, JobKind: migration.JobKind, Spec: spec})
		})
	}
}

// The log.

// apply puts a line into the log, and everybody hears of it in time.
func (m *moves) apply(e jobs.Entry) *jobs.RejectedError {
	var was jobs.Job
	if w := m.ledger.Jobs[e.Job]; w != nil {
		was = *w
	}
	r := m.ledger.Apply(e)
	m.index++
	deed := ""
	if e.Operation != nil {
		deed = e.Operation.Name + " " + string(e.Operation.Data)
	}
	if e.Approval != nil {
		deed += " word " + e.Approval.Action
	}
	m.note("log %d %s %s token %d to %s %s: %v", m.index, e.Type, e.Job, e.Token, e.Holder, deed, r)
	if r == nil && e.Job != "" {
		w := m.ledger.Jobs[e.Job]
		m.history[e.Job] = append(m.history[e.Job], mvSeen{m.index, w})
		m.logged(e, was, w)
	}
	m.spread()
	return r
}

// spread tells all owners of the log as it is.
func (m *moves) spread() {
	index := m.index
	for _, o := range m.owners {
		var hear func()
		hear = func() {
			if m.now < o.stalled {
				m.after(o.stalled-m.now+0.1, hear)
				return
			}
			o.applied = max(o.applied, index)
		}
		m.after(m.way(), hear)
	}
}

// logged judges a line that counted.
func (m *moves) logged(e jobs.Entry, was jobs.Job, w *jobs.Job) {
	t := m.tenants[slices.IndexFunc(m.tenants, func(t *mvTenant) bool { return t.work == e.Job })]
	s, _ := migration.DecodeState(&was)
	switch e.Type {
	case jobs.EntryAnnounce:
		at := map[migration.Operation]migration.Checkpoint{
			migration.OperationPublish: migration.CheckpointChecked, migration.OperationPause: migration.CheckpointFencing, migration.OperationSwitch: migration.CheckpointSwitching,
			migration.OperationAccept: migration.CheckpointAccepting,
		}[migration.Operation(e.Operation.Name)]
		reverse := s.Reverse || e.Operation.Name == string(migration.OperationPause) && s.Phase == migration.PhaseSwitched
		if at != "" && slices.Contains(t.plan.Checkpoints, at) && !reverse {
			want := migration.ActionGo
			if at == migration.CheckpointAccepting {
				want = migration.ActionAccept
			}
			if word := w.Operation.Approval; word == nil || word.Action != want || word.Step != was.Step {
				m.breach("stepped_without_word", "%s does %s", e.Job, e.Operation.Name)
			}
		}
	case jobs.EntryApprove:
		if e.Approval.Action == migration.ActionRollback && t.backAt == 0 && s.Phase != migration.PhaseAccepted && (was.Operation == nil || was.Operation.Name != string(migration.OperationAccept)) {
			t.backAt = m.now
		}
	case jobs.EntryConfirm:
		m.out.Ends[e.Operation.Name]++
		n, _ := migration.DecodeState(w)
		if len(n.Differences) > 0 && len(s.Differences) == 0 {
			m.out.Ends["found different"]++
		}
		if n.Copy.Restarts > s.Copy.Restarts {
			m.out.Ends["copied again"]++
		}
		if w.Finished {
			t.ended = true
			m.out.Ends["ended "+strings.SplitN(w.Reason, ":", 2)[0]]++
			if t.backAt > 0 && !strings.HasPrefix(w.Reason, "taken back") {
				m.breach("rollback_lost", "%s was told at %.1f and ended: %s", e.Job, t.backAt, w.Reason)
			}
		}
	}
}

// tick is what goes on all the time: the leader's book of leases, replication, and who owns what.
func (m *moves) tick() {
	defer m.after(2, m.tick)
	m.replicate()
	if m.down == 0 {
		m.force()
		m.desk()
	}
	for _, t := range m.tenants {
		m.pauses(t)
	}
}

// force brings the newest version in force once every pooler that may act knows of it, then logs what waits for that.
func (m *moves) force() {
	n := len(m.versions) - 1
	if v := &m.versions[n]; !v.force {
		for _, p := range m.poolers {
			if p.known < n && m.now <= p.granted+mvLease*1.03 {
				return
			}
		}
		v.force = true
		m.note("version %d in force", n)
		for _, t := range m.tenants {
			m.pauses(t) // one may end now, and the next begin
		}
	}
	if len(m.changes) == 0 {
		return
	}
	rules, n := maps.Clone(m.versions[n].rules), n+1
	counts := false
	for _, c := range m.changes {
		c.done = true
		e := jobs.Entry{Type: jobs.EntryAuthorize, Job: c.work, Token: c.token, Operation: c.deed}
		if m.broken == "number" {
			e.Operation = nil
		}
		if r := m.ledger.Apply(e); r != nil {
			c.err = r
			continue
		}
		counts, c.n = true, n
		maps.Copy(rules, c.keys)
	}
	if m.changes = nil; !counts {
		return
	}
	m.index++
	was := m.versions[n-1].rules
	m.versions = append(m.versions, mvVersion{index: m.index, rules: rules})
	m.note("log %d version %d %v", m.index, n, rules)
	m.spread()
	for _, t := range m.tenants {
		if g := rules["database."+t.name+".group"]; g != was["database."+t.name+".group"] {
			m.out.Ends["switches"]++
			to := m.groups[int(g.(float64))-1]
			if m.holds(t, to); m.faulty && m.lots.IntN(8) == 0 {
				m.out.Faults["failover right after a switch"]++
				m.after(m.lots.Float64()*60, func() { m.failover(to) })
			}
		}
		if paused := rules["database."+t.name+".paused"] == true; paused && t.paused < 0 {
			t.paused, t.excuse, t.told, t.owners, t.allow, t.out, t.lostOne = m.now, false, false, m.ledger.Jobs[t.work].HolderCount, 0, false, false
			if g := m.groups[int(rules["database."+t.name+".group"].(float64))-1]; m.faulty && m.now < mvQuiet && m.lots.IntN(8) == 0 {
				m.out.Faults["failover in a pause"]++
				m.after(m.lots.Float64()*200, func() { m.failover(g) })
			}
		}
	}
}

// desk names an owner where there is none, or where the present one is silent.
func (m *moves) desk() {
	for _, name := range m.ledger.OpenJobs() {
		w := m.ledger.Jobs[name]
		var cands []*mvOwner
		for _, o := range m.owners {
			if o.up && o.silent < 0 && o.name != w.Holder {
				cands = append(cands, o)
			}
		}
		i := slices.IndexFunc(m.owners, func(o *mvOwner) bool { return o.name == w.Holder })
		gone := i < 0 || m.owners[i].instance != w.Incarnation && m.owners[i].up || m.owners[i].silent >= 0 && m.now-m.owners[i].silent > mvDetect
		if gone && len(cands) > 0 {
			o := cands[m.lots.IntN(len(cands))]
			_ = m.apply(jobs.Entry{Type: jobs.EntryAssign, Job: name, Token: w.Token, Holder: o.name, Incarnation: o.instance})
		}
	}
}

// pauses judges how long a tenant is closed.
func (m *moves) pauses(t *mvTenant) {
	if t.paused < 0 {
		return
	}
	v := &m.versions[len(m.versions)-1]
	g := m.groups[int(v.rules["database."+t.name+".group"].(float64))-1]
	if out := m.down > 0 || !g.up; out {
		if m.down > 0 {
			m.out.Undecided += 2
		}
		if t.allow += 2; !t.out { // what it cut short begins anew
			t.allow += mvCosts.FailoverMillis + mvCosts.ReopenMillis()
		}
		t.excuse, t.out = true, true
	} else {
		t.out = false
	}
	if n := m.ledger.Jobs[t.work].HolderCount; n > t.owners { // the first is in the bound
		t.allow += float64(n-t.owners) * (mvCosts.FailoverMillis + mvCosts.ReopenMillis())
		if t.owners = n; t.lostOne {
			t.excuse = true
		} else {
			t.lostOne = true
			t.allow -= mvCosts.FailoverMillis + mvCosts.ReopenMillis()
		}
	}
	open := true
	for i := len(m.versions) - 1; i >= 0; i-- {
		open = open && m.versions[i].rules["database."+t.name+".paused"] != true
		if m.versions[i].force {
			break
		}
	}
	lasts := m.now - t.paused
	if lasts > t.plan.MaxPauseMillis+t.allow+4 && !t.told { // it is looked at each 2 ms
		t.told = true
		w := m.ledger.Jobs[t.work]
		m.breach("paused_past_bound", "%s for %.0f of %.0f ms and %.0f: %s, deed %v", t.name, lasts, t.plan.MaxPauseMillis, t.allow, w.State, w.Operation)
	}
	if open && g.up && !g.dbs[t.n].closed {
		t.paused = -1
		if t.excuse {
			m.out.Excused++
		} else {
			m.out.Pauses++
			m.out.Longest = max(m.out.Longest, lasts/t.plan.MaxPauseMillis)
		}
	}
}

// Poolers and their clients.

func (m *moves) renew(p *mvPooler) {
	m.after(mvRenew*(0.9+0.2*m.lots.Float64()), func() { m.renew(p) })
	if m.now < p.asleep {
		return
	}
	asked, hi := m.now, p.hi
	m.after(m.way(), func() {
		if m.down > 0 {
			return
		}
		p.known, p.granted = max(p.known, hi), m.now
		newest := len(m.versions) - 1
		force := newest
		for !m.versions[force].force {
			force--
		}
		d := m.way()
		if m.faulty && m.lots.IntN(100) == 0 {
			d += 150 * m.lots.Float64()
		}
		m.after(d, func() {
			get := func() {
				p.lease = max(p.lease, asked+mvLease)
				p.lo, p.hi = max(p.lo, force), max(p.hi, newest)
			}
			if m.now < p.asleep {
				m.after(p.asleep-m.now, get)
				return
			}
			get()
		})
	})
}

// acts is the group that a pooler sends a tenant's requests to; nil: it refuses, with when to come back.
func (m *moves) acts(p *mvPooler, t *mvTenant) *mvGroup {
	if m.now > p.lease { // the limits name the tenant
		return nil
	}
	group := m.versions[p.lo].rules["database."+t.name+".group"]
	for _, v := range m.versions[p.lo : p.hi+1] {
		if v.rules["database."+t.name+".paused"] == true || v.rules["database."+t.name+".group"] != group {
			return nil
		}
	}
	return m.groups[int(group.(float64))-1]
}

// write is a client's: a new row, or a new value of one.
func (m *moves) write(t *mvTenant) {
	m.after(2+m.lots.ExpFloat64()*12, func() { m.write(t) })
	p := m.poolers[m.lots.IntN(len(m.poolers))]
	if m.now < p.asleep {
		return
	}
	g := m.acts(p, t)
	if g == nil {
		return
	}
	line := g.line
	d := m.way()
	if m.faulty && m.now < mvQuiet && m.lots.IntN(60) == 0 { // the pooler is stopped between its choice and the sending
		d += 900 * m.lots.Float64()
	}
	m.after(d, func() {
		if !g.up || g.line != line || g.dbs[t.n].closed {
			return
		}
		tx := &mvTx{tenant: t.n}
		g.running[tx] = true
		d := 0.3 + 2*m.lots.Float64()
		if m.faulty && m.now < mvQuiet && m.lots.IntN(100) == 0 {
			d += 1500 * m.lots.Float64()
		}
		m.after(d, func() {
			delete(g.running, tx)
			if !g.up || g.line != line || tx.ended {
				return
			}
			w := mvWrite{id: t.rows, val: len(t.truth), insert: true}
			if m.lots.IntN(2) == 0 {
				w.id, w.insert = m.lots.IntN(t.rows), false
			} else {
				w.id = g.dbs[t.n].seq
				t.rows = max(t.rows, w.id+1)
			}
			if _, is := g.dbs[t.n].rows[w.id]; !is && !w.insert {
				return // a row that was lost, or removed by hand
			}
			newest := m.versions[len(m.versions)-1].rules
			if newest["database."+t.name+".group"] != float64(g.n) {
				m.breach("two_homes", "%s: group %d commits, %v is the home", t.name, g.n, newest["database."+t.name+".group"])
			}
			m.commit(t, g, w)
		})
	})
}

func (m *moves) commit(t *mvTenant, g *mvGroup, w mvWrite) {
	g.log(mvRec{tenant: t.n, local: true, write: &w, do: func(d *mvDB) {
		if w.on(d); w.insert {
			d.seq = max(d.seq, w.id+1)
		}
	}})
	t.truth = append(t.truth, mvTrue{w: w, g: g, pos: len(g.wal)})
	m.out.Writes++
}

// lose marks what a failover of a group loses of the tenants that have their home there.
func (m *moves) lose(g *mvGroup) {
	newest := m.versions[len(m.versions)-1].rules
	for _, t := range m.tenants {
		if newest["database."+t.name+".group"] != float64(g.n) {
			continue
		}
		for i := range t.truth {
			if x := &t.truth[i]; x.g == g && x.pos > g.standby && !x.lost {
				x.lost = true
				m.out.Lost++
			}
		}
	}
	for i := range m.tenants { // what is kept stands where it stood; what was lost before is nowhere
		for j := range m.tenants[i].truth {
			if x := &m.tenants[i].truth[j]; x.g == g && x.pos > g.standby {
				x.g = nil
			}
		}
	}
}

// holds holds a group's rows against all that was committed. A commit that a failover lost may be there or not.
func (m *moves) holds(t *mvTenant, g *mvGroup) {
	if !g.up {
		return
	}
	type want struct {
		vals map[int]bool
		must bool
	}
	all := map[int]*want{}
	for _, x := range t.truth {
		k := all[x.w.id]
		if k == nil {
			k = &want{vals: map[int]bool{}}
			all[x.w.id] = k
		}
		if !x.lost {
			clear(k.vals)
			k.must = true
		}
		k.vals[x.w.val] = true
	}
	rows := g.dbs[t.n].rows
	for _, id := range slices.Sorted(maps.Keys(all)) {
		k := all[id]
		r, is := rows[id]
		switch {
		case !is && k.must:
			m.breach("lost_write", "%s at group %d lacks row %d", t.name, g.n, id)
		case is && r.val < 0:
			m.breach("verified_wrong", "%s at group %d has row %d as somebody set it by hand", t.name, g.n, id)
		case is && !k.vals[r.val]:
			m.breach("lost_write", "%s at group %d has row %d at %d", t.name, g.n, id, r.val)
		case is && r.times > 1:
			m.breach("duplicate_write", "%s at group %d has row %d %d times", t.name, g.n, id, r.times)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		if all[id] == nil {
			m.breach("verified_wrong", "%s at group %d has row %d, which nobody wrote", t.name, g.n, id)
		}
	}
}

// Owners.

type mvGone struct{}

// start gives an owner a process, with a loop for each work.
func (m *moves) start(o *mvOwner) {
	o.instance, o.up, o.silent, o.stalled = m.lots.Uint64()|1, true, -1, 0
	instance := o.instance
	for _, t := range m.tenants {
		next, stop := iter.Pull(func(yield func(float64) bool) {
			defer func() {
				if r := recover(); r != nil && r != (mvGone{}) {
					panic(r)
				}
			}()
			l := &mvLoop{m: m, o: o, t: t, sleep: func(ms float64) {
				if !yield(ms) {
					panic(mvGone{})
				}
			}}
			l.run()
		})
		var step func()
		step = func() {
			if o.instance != instance || !o.up || t.ended && m.now > mvQuiet {
				stop()
				return
			}
			if m.now < o.stalled {
				m.after(o.stalled-m.now, step)
				return
			}
			if d, ok := next(); ok {
				m.after(d, step)
			}
		}
		m.after(m.lots.Float64()*5, step)
	}
}

// kill ends an owner's process; it comes back as another.
func (m *moves) kill(o *mvOwner) {
	m.out.Faults["owner killed"]++
	m.note("%s killed", o.name)
	o.up, o.instance = false, 0
	if o.silent < 0 {
		o.silent = m.now
	}
	m.after(m.lasting(50+m.lots.Float64()*300), func() { m.start(o) })
}

// stall stops an owner's process; it goes on later as if nothing had been.
func (m *moves) stall(o *mvOwner, d float64) {
	if !o.up || o.silent >= 0 {
		return
	}
	m.out.Faults["owner stopped"]++
	o.stalled, o.silent = m.now+m.lasting(d), m.now
	instance := o.instance
	m.after(o.stalled-m.now, func() {
		if o.instance == instance && o.up {
			o.silent = -1
		}
	})
}

// mvLoop is the part of one owner in one work.
type mvLoop struct {
	m     *moves
	o     *mvOwner
	t     *mvTenant
	sleep func(float64)
	late  float64 // a change of the rules is on its way for so much longer
}

var errLost = errors.New("no answer came")

// send has a line logged. It gets there also if whoever sent it ends meanwhile.
func (l *mvLoop) send(e jobs.Entry) (r *jobs.RejectedError, err error) {
	m, done, lost := l.m, false, l.m.faulty && l.m.now < mvQuiet && l.m.lots.IntN(50) == 0
	var arrive func()
	arrive = func() {
		if m.down > 0 {
			m.after(5, arrive)
			return
		}
		r, done = m.apply(e), true
	}
	m.after(m.way(), arrive)
	for !done {
		l.sleep(1)
	}
	index := m.index
	if l.sleep(m.way()); lost {
		m.out.Faults["answer lost"]++
		return nil, errLost
	}
	l.o.applied = max(l.o.applied, index)
	return r, nil
}

// work is as the owner knows it.
func (l *mvLoop) work() *jobs.Job {
	h := l.m.history[l.t.work]
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].index <= l.o.applied {
			return h[i].w
		}
	}
	return nil
}

// Current, Change and Limited are the agreed rules as this owner knows them.
func (l *mvLoop) Current() (map[string]any, int, bool) {
	n := len(l.m.versions) - 1
	for l.m.versions[n].index > l.o.applied {
		n--
	}
	return l.m.versions[n].rules, n, l.m.versions[n].force
}

func (l *mvLoop) Change(_ context.Context, work string, token jobs.FencingToken, deed *jobs.Operation, keys map[string]any) (int, error) {
	c := &mvChange{work: work, token: token, deed: deed, keys: keys}
	l.m.after(l.m.way()+l.late, func() { l.m.changes = append(l.m.changes, c) })
	for !c.done {
		l.sleep(1)
	}
	index := l.m.index
	l.sleep(l.m.way())
	if c.err == nil {
		l.o.applied = max(l.o.applied, index)
	}
	return c.n, c.err
}

func (l *mvLoop) HasLimit(string) bool { return true }

// MayStart, Unfit and Pace are the rest of what a move asks.
func (l *mvLoop) MayStart(work string) (bool, string) {
	all := migration.Candidates(&l.m.ledger, migration.JobKind, func(g migration.Group) ([]string, []string) { return nil, nil })
	why := migration.Schedule(all, migration.ConcurrencyLimits{PerGroup: 2})[work]
	return why == "", why
}

func (l *mvLoop) UnfitReason(to migration.Group, _ string) string        { return l.m.groups[to-1].unfit }
func (l *mvLoop) RowsPerSecond(migration.Group, migration.Group) float64 { return 200 }
func (l *mvLoop) dies(share int) bool {
	return l.m.faulty && l.m.now < mvQuiet && l.m.lots.IntN(share) == 0
}
func (l *mvLoop) clock() float64 { return l.m.now + l.o.skew }
func (l *mvLoop) own(w *jobs.Job) bool {
	return w != nil && !w.Finished && w.Holder == l.o.name && w.Incarnation == l.o.instance
}
func (l *mvLoop) killed() { l.m.kill(l.o); l.sleep(0); panic(mvGone{}) }

func (l *mvLoop) run() {
	m := l.m
	k := &migration.Migrator{Databases: &mvPlaces{m: m, o: l.o, sleep: l.sleep}, Rules: l, RateLimiter: l, Health: l, Scheduler: l, Timing: mvCosts, DisabledGuarantee: m.broken}
	ctx := context.Background()
	var seen any
	for {
		w := l.work()
		if w != nil && w.Finished {
			return
		}
		if !l.own(w) {
			l.sleep(4)
			continue
		}
		if w.Operation != nil { // in doubt
			done, proof, err := k.Recover(ctx, w, w.Operation)
			if err != nil {
				l.failed(err)
				continue
			}
			if !done {
				_, _ = l.send(jobs.Entry{Type: jobs.EntryAbort, Job: w.Name, Token: w.Token, Operation: w.Operation})
				continue
			}
			_, _ = l.send(jobs.Entry{Type: jobs.EntryConfirm, Job: w.Name, Token: w.Token, Operation: w.Operation, State: proof.State, Finished: proof.Finished, Reason: proof.Reason})
			continue
		}
		if now, err := k.Observe(ctx, w); err == nil {
			seen = now
		}
		step := k.Next(l.clock(), w, seen)
		if step.OperationName == "" {
			d := 4.0
			if step.RetryAfterMillis > 0 {
				d = min(d, step.RetryAfterMillis)
			}
			l.sleep(d)
			continue
		}
		d := &jobs.Operation{Number: w.NextOperationNumber(), Name: step.OperationName, Data: step.Data}
		if r, err := l.send(jobs.Entry{Type: jobs.EntryAnnounce, Job: w.Name, Token: w.Token, Step: w.Step, Operation: d, Approval: step.Approval}); err != nil || r != nil {
			l.sleep(2)
			continue
		}
		if w = l.work(); !l.own(w) || w.Operation == nil || w.Operation.Number != d.Number {
			continue
		}
		if l.dies(40) {
			m.out.Faults["killed before "+d.Name]++
			l.killed()
		} else if l.dies(25) { // and wakes with its old token
			m.out.Faults["stopped before "+d.Name]++
			m.stall(l.o, 100+m.lots.Float64()*1500)
			l.sleep(0)
		}
		var proof jobs.Result
		var err error
		if l.m.faulty && m.now < mvQuiet && m.lots.IntN(20) == 0 {
			proof, err = l.lateDo(k, w)
		} else {
			proof, err = k.Execute(ctx, w, w.Operation)
		}
		if l.dies(25) {
			m.out.Faults["killed after "+d.Name]++
			l.killed()
		} else if l.dies(25) {
			m.out.Faults["stopped after "+d.Name]++
			m.stall(l.o, 100+m.lots.Float64()*500)
			l.sleep(0)
		}
		if err != nil {
			l.failed(err)
			continue
		}
		_, _ = l.send(jobs.Entry{Type: jobs.EntryConfirm, Job: w.Name, Token: w.Token, Operation: w.Operation, State: proof.State, Finished: proof.Finished, Reason: proof.Reason})
	}
}

// lateDo does a deed of which one call takes long. The owner gives it up meanwhile; the call arrives all the same.
func (l *mvLoop) lateDo(k *migration.Migrator, w *jobs.Job) (proof jobs.Result, err error) {
	m, done := l.m, false
	m.out.Faults["late "+w.Operation.Name]++
	late := 30 + m.lots.Float64()*300
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.spawn(func(sleep func(float64)) {
		rules := &mvLoop{m: m, o: l.o, t: l.t, sleep: sleep, late: late}
		slow := *k
		slow.Databases, slow.Rules = &mvPlaces{m: m, o: l.o, sleep: sleep, late: late}, rules
		proof, err = slow.Execute(ctx, w, w.Operation)
		done = true
	})
	for range 25 {
		if l.sleep(1); done {
			return proof, err
		}
	}
	return jobs.Result{}, errLost
}

// spawn runs what sleeps in the schedule's own time.
func (m *moves) spawn(body func(sleep func(float64))) {
	next, _ := iter.Pull(func(yield func(float64) bool) { body(func(ms float64) { yield(ms) }) })
	var step func()
	step = func() {
		if d, ok := next(); ok {
			m.after(d, step)
		}
	}
	m.after(0, step)
}

// failed tells the log of a higher token.
func (l *mvLoop) failed(err error) {
	var f *jobs.FencedError
	if errors.As(err, &f) {
		l.m.out.Faults["token refused"]++
	}
	var r *jobs.RejectedError
	if errors.As(err, &r) {
		l.m.out.Faults["change refused"]++
	}
	l.sleep(3)
}

// Operators and faults.

func (m *moves) operate() {
	m.after(20+m.lots.Float64()*20, m.operate)
	k := &migration.Migrator{Timing: mvCosts}
	for _, name := range m.ledger.OpenJobs() {
		w := m.ledger.Jobs[name]
		if w.Operation != nil && m.now > mvQuiet {
			continue
		}
		for _, o := range k.Next(0, w, nil).Options {
			share := m.eager
			switch {
			case o.Action == migration.ActionRollback:
				share = 0.01
			case o.Action == migration.ActionPause:
				share = 0.005
			case o.Action == migration.ActionGo && strings.Contains(string(w.State), `"phase":"verifying"`) && m.now < mvQuiet+4000:
				share = m.late
			case m.now > mvQuiet:
				share = 0.9
			}
			if m.now > mvQuiet && (o.Action == migration.ActionRollback || o.Action == migration.ActionPause) || m.lots.Float64() >= share {
				continue
			}
			m.says(w, o)
			if o.Action == migration.ActionGo && m.lots.IntN(15) == 0 { // two operators at the same moment
				m.out.Faults["rollback beside go"]++
				m.says(w, jobs.ApprovalOption{Action: migration.ActionRollback, Persistent: true})
			}
		}
	}
}

func (m *moves) says(w *jobs.Job, o jobs.ApprovalOption) {
	e := jobs.Entry{Type: jobs.EntryApprove, Job: w.Name, Approval: &jobs.Approval{Action: o.Action, By: "op", Step: w.Step, Persistent: o.Persistent}}
	m.after(m.way(), func() {
		if m.down == 0 {
			_ = m.apply(e)
		}
	})
}

// fault makes one thing go wrong for a while.
func (m *moves) fault() {
	g := m.groups[m.lots.IntN(len(m.groups))]
	o := m.owners[m.lots.IntN(len(m.owners))]
	p := m.poolers[m.lots.IntN(len(m.poolers))]
	t := m.tenants[m.lots.IntN(len(m.tenants))]
	switch m.lots.IntN(13) {
	case 0, 1:
		m.failover(g)
	case 2:
		if o.up {
			m.kill(o)
		}
	case 3, 4:
		m.stall(o, 100+m.lots.Float64()*700)
	case 5:
		m.out.Faults["pooler asleep"]++
		p.asleep = max(p.asleep, m.now+m.lasting(100+m.lots.Float64()*1200))
	case 6:
		if m.lots.IntN(2) == 0 {
			m.out.Faults["log without a leader"]++
			m.down++
			m.after(m.lasting(30+m.lots.Float64()*300), func() { m.down-- })
		}
	case 7:
		m.out.Faults["standby lags"]++
		g.lagging = true
		m.after(m.lasting(30+m.lots.Float64()*200), func() { g.lagging = false })
	case 8:
		m.out.Faults["group slow"]++
		g.slow = true
		m.after(m.lasting(100+m.lots.Float64()*1500), func() { g.slow = false })
	case 9:
		m.out.Faults["group unfit"]++
		g.unfit = []string{"cold", "draining", "slow"}[m.lots.IntN(3)]
		m.after(m.lasting(100+m.lots.Float64()*400), func() { g.unfit = "" })
	case 10, 11:
		m.byHand(t)
	case 12: // replaced though it lives
		if w := m.ledger.Jobs[t.work]; w != nil && !w.Finished && m.down == 0 && o.up {
			m.out.Faults["owner replaced"]++
			_ = m.apply(jobs.Entry{Type: jobs.EntryAssign, Job: t.work, Token: w.Token, Holder: o.name, Incarnation: o.instance})
		}
	}
}

// byHand changes a row where the tenant is not at home, past the fence. What is changed between the last look and the switch
// nobody can find: none is then.
func (m *moves) byHand(t *mvTenant) {
	w := m.ledger.Jobs[t.work]
	if w == nil {
		return
	}
	s, _ := migration.DecodeState(w)
	if s.Pause != nil && s.Pause.Verified || w.Operation != nil && (w.Operation.Name == string(migration.OperationVerify) || w.Operation.Name == string(migration.OperationSwitch)) {
		return
	}
	newest := m.versions[len(m.versions)-1].rules
	for _, g := range m.groups {
		ids := slices.Sorted(maps.Keys(g.dbs[t.n].rows))
		if newest["database."+t.name+".group"] == float64(g.n) || !g.up || len(ids) == 0 {
			continue
		}
		m.out.Faults["changed by hand"]++
		w := mvWrite{id: ids[m.lots.IntN(len(ids))], val: -1 - m.lots.IntN(1000), gone: m.lots.IntN(4) == 0}
		m.note("by hand at %d: %v", g.n, w)
		g.log(mvRec{tenant: t.n, local: true, write: &w, do: w.on})
	}
}

func (m *moves) finished() bool {
	for _, t := range m.tenants {
		if !t.ended || t.paused >= 0 {
			return false
		}
	}
	return m.now > 500
}

// judge is what has to be so in the end.
func (m *moves) judge() {
	newest := m.versions[len(m.versions)-1].rules
	for _, t := range m.tenants {
		if !t.ended {
			w := m.ledger.Jobs[t.work]
			k := &migration.Migrator{Timing: mvCosts}
			check := "stuck"
			if t.backAt > 0 {
				check = "rollback_lost"
			}
			m.breach(check, "%s has not ended: %s, deed %v, %s", t.work, w.State, w.Operation, k.Next(m.now, w, nil).Reason)
		}
		m.holds(t, m.groups[int(newest["database."+t.name+".group"].(float64))-1])
	}
}

// SimulateManyMigrations plays schedules seed, seed+1 and so on, on so many cores, until ctx ends.
func SimulateManyMigrations(ctx context.Context, seed uint64, schedules int, broken string, cores int) *report.Result {
	g := report.New("cluster moves", seed, MigrationChecks...)
	begun := time.Now()
	var next atomic.Int64
	var all sync.WaitGroup
	var longest float64
	var writes, lost, pauses, excused int
	var undecided float64
	for range max(1, cores) {
		all.Go(func() {
			for ctx.Err() == nil {
				i := next.Add(1) - 1
				if i >= int64(schedules) {
					return
				}
				o := SimulateMigrations(seed+uint64(i), broken, nil)
				g.Do(func(r *report.Result) {
					for k, n := range o.Broken {
						r.Broken[k] += n
					}
					for _, from := range []map[string]int{o.Faults, o.Ends} {
						for k, n := range from {
							r.Faults[k] += n
						}
					}
					r.Notes = append(r.Notes, o.Notes...)
					r.Notes = r.Notes[:min(20, len(r.Notes))]
					r.Faults["schedules"]++
					writes, lost, pauses, excused = writes+o.Writes, lost+o.Lost, pauses+o.Pauses, excused+o.Excused
					longest, undecided = max(longest, o.Longest), undecided+o.Undecided
				})
			}
		})
	}
	all.Wait()
	g.Do(func(r *report.Result) {
		r.Baseline["writes"], r.Baseline["lost by failovers of the home"] = float64(writes), float64(lost)
		r.Baseline["pauses"], r.Baseline["pauses with more time"] = float64(pauses), float64(excused)
		r.Baseline["paused while nobody could decide, s"] = undecided / 1000
		r.Baseline["longest pause, share of its bound"] = longest
	})
	return g.Result(time.Since(begun).Seconds())
}
