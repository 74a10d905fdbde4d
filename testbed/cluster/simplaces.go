package cluster

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
)

// Ranges and tables of a tenant in the simulation of moves: rows are told apart by their number.
const (
	mvTables = 3
	mvRanges = 8
)

// mvWrite is one change of one row.
type mvWrite struct {
	id, val int
	insert  bool
	gone    bool // deleted by hand
}

type mvRow struct{ val, times int }

// mvRec is a line of a group's write-ahead log. do makes of a database what the line says; it is done again after a failover.
type mvRec struct {
	tenant int
	local  bool     // not by replication
	write  *mvWrite // nil: nothing that is published
	do     func(*mvDB)
}

// mvDB is a tenant's database in a group, as its present primary has it.
type mvDB struct {
	rows   map[int]mvRow
	seq    int  // the next row's number; nothing publishes it
	there  bool // the fence is
	closed bool
	token  jobs.FencingToken
	number uint64 // of the deed that acted last, or was looked for
	work   string // whose the fence is, or was
	given  bool   // up
	deed   string // done last under it
	found  migration.Recovery
	sub    mvSub
}

// mvSub is a subscription.
type mvSub struct {
	there  bool
	from   *mvGroup
	slot   string
	origin int              // all of the publisher's log before is applied
	synced [mvTables]int    // where each table's copy was taken
	tables [mvTables]mvSync // 0: not handed over
}

type mvSync uint8

const (
	mvNot mvSync = iota
	mvPending
	mvSynced
)

// mvMark notes what is touched from a position on, beside the ranges that were not found equal.
type mvMark struct {
	pos   int
	hot   [mvRanges]bool
	lasts bool // over a failover
}

type mvSlot struct {
	pos   int
	lasts bool
}

// mvGroup is a group of a primary and a standby.
type mvGroup struct {
	n        migration.Group
	line     int
	up       bool
	wal      []mvRec
	standby  int // it holds so much of the log
	lagging  bool
	slow     bool // it applies little at a time
	unfit    string
	dbs      []*mvDB
	slots    map[string]*mvSlot
	marks    map[int]*mvMark
	reported map[int]int // by tenant: what its subscription has taken in of the publisher's log
	durable  map[int]int // the standby too
	last     map[int]int // length of the log after that
	running  map[*mvTx]bool
	tells    bool // it can be told whether somebody holds what it has lost
}

// mvTx is a client's transaction that runs.
type mvTx struct {
	tenant int
	ended  bool // by pg_terminate_backend
}

func (g *mvGroup) log(r mvRec) {
	g.wal = append(g.wal, r)
	r.do(g.dbs[r.tenant])
}

// play makes the databases of the log.
func (g *mvGroup) play(tenants int) {
	g.dbs = nil
	for range tenants {
		g.dbs = append(g.dbs, &mvDB{rows: map[int]mvRow{}})
	}
	for _, r := range g.wal {
		r.do(g.dbs[r.tenant])
	}
}

func (w *mvWrite) on(d *mvDB) {
	r, is := d.rows[w.id]
	switch {
	case w.gone:
		delete(d.rows, w.id)
	case w.insert:
		d.rows[w.id] = mvRow{w.val, r.times + 1}
	case is:
		r.val = w.val
		d.rows[w.id] = r
	}
}

// touched are the ranges with lines of a tenant that came from a position on, other than by replication.
func (g *mvGroup) touched(tenant, from int) (out [mvRanges]bool) {
	for _, r := range g.wal[min(from, len(g.wal)):] {
		if r.tenant == tenant && r.local && r.write != nil {
			out[r.write.id%mvRanges] = true
		}
	}
	return out
}

// sum is the digest of one of a tenant's ranges.
func (d *mvDB) sum(i int) (s migration.RangeDigest) {
	for id, row := range d.rows {
		if id%mvRanges != i {
			continue
		}
		for range row.times {
			s.AddRow([]byte(strconv.Itoa(id)), []byte(strconv.Itoa(row.val)))
		}
	}
	return s
}

func mvRange(i int) migration.Range {
	return migration.Range{Table: "t", From: strconv.Itoa(i), To: strconv.Itoa(i + 1)}
}

// replicate has subscriptions take in what they can.
func (m *moves) replicate() {
	for _, g := range m.groups {
		if !g.up {
			continue
		}
		if !g.lagging && m.lots.IntN(10) > 0 {
			g.standby = len(g.wal)
		}
		for t, d := range g.dbs {
			if !d.sub.there {
				continue
			}
			from := d.sub.from
			slot := from.slots[d.sub.slot]
			if !from.up || slot == nil {
				continue
			}
			for k, is := range d.sub.tables {
				if is == mvPending && m.lots.IntN(10) == 0 && !g.slow {
					m.sync(g, t, k)
				}
			}
			at := max(g.reported[t], d.sub.origin, slot.pos) // a slot does not go back, whatever the other lost
			most := 20
			if g.slow {
				most = m.lots.IntN(2)
			}
			for ; at < len(from.wal) && most > 0; at++ {
				r := from.wal[at]
				if r.tenant != t || !r.local || r.write == nil {
					continue
				}
				k, i, w := r.write.id%mvTables, at, *r.write
				if d.sub.tables[k] != mvSynced || i < d.sub.synced[k] {
					continue
				}
				most--
				g.log(mvRec{tenant: t, write: &w, do: func(d *mvDB) { w.on(d); d.sub.origin = i + 1 }})
				g.last[t] = len(g.wal)
			}
			g.reported[t] = max(g.reported[t], at)
			if slot.pos = max(slot.pos, at); g.standby >= g.last[t] {
				g.durable[t] = g.reported[t]
			}
		}
	}
}

// sync copies a table that was handed over.
func (m *moves) sync(g *mvGroup, tenant, table int) {
	from := g.dbs[tenant].sub.from
	rows, at := map[int]mvRow{}, len(from.wal)
	for id, r := range from.dbs[tenant].rows {
		if id%mvTables == table {
			rows[id] = r
		}
	}
	g.log(mvRec{tenant: tenant, do: func(d *mvDB) {
		for id, r := range rows {
			d.rows[id] = mvRow{r.val, d.rows[id].times + r.times}
		}
		d.sub.synced[table], d.sub.tables[table] = at, mvSynced
	}})
	g.last[tenant] = len(g.wal)
}

// failover has a group's standby take over with what it holds.
func (m *moves) failover(g *mvGroup) {
	if !g.up {
		return
	}
	m.out.Faults["failover"]++
	g.up = false
	m.after(m.lasting(20+m.lots.Float64()*120), func() {
		m.lose(g)
		g.wal = g.wal[:g.standby:g.standby]
		g.line++
		g.up, g.lagging = true, false
		g.play(len(m.tenants))
		clear(g.running)
		for _, name := range slices.Sorted(maps.Keys(g.slots)) {
			if s := g.slots[name]; !s.lasts {
				delete(g.slots, name)
			} else {
				s.pos = min(s.pos, len(g.wal))
			}
		}
		for t := range m.tenants {
			if k := g.marks[t]; k != nil && (!k.lasts || k.pos > len(g.wal)) {
				delete(g.marks, t)
			}
			g.reported[t], g.durable[t], g.last[t] = g.dbs[t].sub.origin, g.dbs[t].sub.origin, 0
		}
		m.note("group %d is on line %d with %d", g.n, g.line, len(g.wal))
	})
}

var errLate = errors.New("the deed was looked for meanwhile")

var errDown = errors.New("no primary answers")

// mvPlaces are the homes as one owner's process reaches them.
type mvPlaces struct {
	m     *moves
	o     *mvOwner
	sleep func(ms float64)
	late  float64 // one call takes so much longer, and whoever made it may have given up by then
}

// at reaches a group's primary and shows it the token.
func (p *mvPlaces) at(ctx context.Context, a migration.Request, n migration.Group) (*mvGroup, *mvDB, int, error) {
	m := p.m
	if ctx.Err() != nil {
		return nil, nil, 0, ctx.Err()
	}
	if p.late > 0 && m.lots.IntN(2) == 0 {
		d := p.late
		p.late = 0
		p.sleep(d)
	}
	p.sleep(0.3 + 2*m.lots.Float64())
	g, t := m.groups[n-1], m.tenant(a.Plan.Tenant)
	if !g.up {
		p.sleep(5)
		return nil, nil, t, errDown
	}
	d := g.dbs[t]
	if d.token > a.Token && m.broken != "token" {
		return nil, nil, t, &jobs.FencedError{Target: fmt.Sprint("group ", n), Presented: a.Token, Current: d.token}
	}
	if d.there && d.work == a.Job && d.token == a.Token && d.number > a.Number && m.broken != "number" {
		return nil, nil, t, errLate
	}
	if d.there && d.work == a.Job && (d.token < a.Token || d.token == a.Token && d.number < a.Number) {
		g.log(mvRec{tenant: t, local: true, do: func(d *mvDB) { d.token, d.number = a.Token, a.Number }})
	}
	return g, g.dbs[t], t, nil
}

// deed writes what a deed does, and that it was done, in one transaction.
func (g *mvGroup) deed(t int, a migration.Request, f migration.Recovery, do func(*mvDB)) {
	g.log(mvRec{tenant: t, local: true, do: func(d *mvDB) {
		if do != nil {
			do(d)
		}
		d.deed, d.found = a.OperationID, f
	}})
}

func mvSlotName(kind string, t int) string { return kind + strconv.Itoa(t) }

func (p *mvPlaces) Check(_ context.Context, a migration.Request) (migration.CheckResults, error) {
	p.sleep(1)
	t := p.m.tenants[p.m.tenant(a.Plan.Tenant)]
	if t.unready {
		t.unready = false // an operator sees to it
		return migration.CheckResults{{Reason: migration.CheckNoReplicaIdentity, Name: "t"}}, nil
	}
	return nil, nil
}

func (p *mvPlaces) Publish(ctx context.Context, a migration.Request) error {
	for _, n := range []migration.Group{a.Plan.From, a.Plan.To} {
		g, d, t, err := p.at(ctx, a, n)
		if err != nil {
			return err
		}
		if d.there && !d.given && d.work != a.Job {
			return &migration.TenantLockedError{Tenant: a.Plan.Tenant, Job: d.work}
		}
		shut := n == a.Plan.To
		g.deed(t, a, migration.Recovery{Done: true}, func(d *mvDB) {
			d.there, d.closed, d.token, d.number, d.work, d.given = true, shut, a.Token, a.Number, a.Job, false
		})
	}
	return nil
}

func (p *mvPlaces) lines(home, other migration.Group) migration.Timelines {
	return migration.Timelines{Source: p.m.groups[home-1].line, Target: p.m.groups[other-1].line}
}

func (p *mvPlaces) Subscribe(ctx context.Context, a migration.Request) (migration.Timelines, error) {
	g, _, t, err := p.at(ctx, a, a.Plan.To)
	if err != nil {
		return migration.Timelines{}, err
	}
	g.deed(t, a, migration.Recovery{}, func(d *mvDB) { d.sub, d.rows = mvSub{}, map[int]mvRow{} })
	from, _, _, err := p.at(ctx, a, a.Plan.From)
	if err != nil {
		return migration.Timelines{}, err
	}
	slot := mvSlotName("move", t)
	from.slots[slot] = &mvSlot{pos: len(from.wal), lasts: p.m.lots.IntN(2) == 0}
	origin, line := len(from.wal), from.line
	if g, _, _, err = p.at(ctx, a, a.Plan.To); err != nil {
		return migration.Timelines{}, err
	}
	lines := migration.Timelines{Source: line, Target: g.line}
	g.deed(t, a, migration.Recovery{Done: true, Timelines: lines}, func(d *mvDB) { d.sub = mvSub{there: true, from: from, slot: slot, origin: origin} })
	g.reported[t], g.durable[t], g.last[t] = origin, origin, len(g.wal)
	return lines, nil
}

func (p *mvPlaces) Copy(ctx context.Context, a migration.Request) (migration.CopyResult, error) {
	g, _, t, err := p.at(ctx, a, a.Plan.To)
	if err != nil {
		return migration.CopyResult{}, err
	}
	k := 0
	if a.State.Copy.LastTable != "" {
		k, _ = strconv.Atoi(a.State.Copy.LastTable)
		k++
	}
	c := migration.CopyResult{LastTable: strconv.Itoa(k), Rows: 1, Complete: k == mvTables-1}
	g.deed(t, a, migration.Recovery{Done: true, Copied: c}, func(d *mvDB) {
		if d.sub.tables[k] == mvNot {
			d.sub.tables[k] = mvPending
		}
	})
	return c, nil
}

func (p *mvPlaces) Track(ctx context.Context, a migration.Request, home, other migration.Group) (migration.Timelines, error) {
	g, _, t, err := p.at(ctx, a, home)
	if err != nil {
		return migration.Timelines{}, err
	}
	g.marks[t] = &mvMark{pos: len(g.wal), lasts: p.m.lots.IntN(2) == 0}
	line := g.line
	o, _, _, err := p.at(ctx, a, other)
	if err != nil {
		return migration.Timelines{}, err
	}
	o.deed(t, a, migration.Recovery{}, func(d *mvDB) { d.closed = true })
	k := &mvMark{pos: len(o.wal), lasts: p.m.lots.IntN(2) == 0}
	for i := range k.hot {
		k.hot[i] = true
	}
	if o.marks[t] = k; home == a.Plan.From {
		o.slots[mvSlotName("feed", t)] = &mvSlot{pos: len(o.wal), lasts: p.m.lots.IntN(2) == 0}
	}
	return migration.Timelines{Source: line, Target: o.line}, nil
}

func (p *mvPlaces) Compare(ctx context.Context, a migration.Request, home, other migration.Group) (c migration.ComparisonResult, err error) {
	i := 0
	if a.State.Comparison.LastRange != "" {
		i, _ = strconv.Atoi(a.State.Comparison.LastRange)
		i++
	}
	for n := 0; n < 3 && i < mvRanges; n, i = n+1, i+1 {
		g, d, t, err := p.at(ctx, a, home)
		if err != nil {
			return c, err
		}
		r, at, line := mvRange(i), len(g.wal), g.line
		was := d.sum(i)
		o, _, _, err := p.at(ctx, a, other)
		for tries := 0; err == nil && o.reported[t] < at && tries < 8; tries++ {
			p.sleep(2)
		}
		if err != nil {
			return c, err
		}
		o, od, _, err := p.at(ctx, a, other)
		if err != nil {
			return c, err
		}
		reached, there, k, oline := o.reported[t] >= at, od.sum(i), o.marks[t], o.line
		if g, _, _, err = p.at(ctx, a, home); err != nil {
			return c, err
		}
		if g.line != line || o.line != oline || k == nil {
			return c, errDown // a failover between: begun anew
		}
		c.LastRange, c.Complete = strconv.Itoa(i), i == mvRanges-1
		switch touched := g.touched(t, at); {
		case !reached || touched[i]:
			c.ChangedRanges++
		case was != there:
			c.Differences = append(c.Differences, migration.CompareRanges(map[migration.Range]migration.RangeDigest{r: was}, map[migration.Range]migration.RangeDigest{r: there})...)
		default:
			c.EqualRanges++
			k.hot[i] = false
		}
	}
	return c, nil
}

func (p *mvPlaces) Fence(ctx context.Context, a migration.Request, at migration.Group) (*migration.FencePoint, []migration.BlockingSession, error) {
	g, _, t, err := p.at(ctx, a, at)
	if err != nil {
		return nil, nil, err
	}
	begun, line := p.m.now, g.line
	for p.m.broken != "fence" {
		var held []migration.BlockingSession
		for tx := range g.running {
			if tx.tenant != t || tx.ended {
				continue
			}
			if a.Data.EndBlockingSessions {
				tx.ended = true
				continue
			}
			held = append(held, migration.BlockingSession{PID: 1, Kind: "writing"})
		}
		if len(held) == 0 {
			break
		}
		if p.m.now-begun > a.Data.TimeoutMillis {
			return nil, held[:1], nil
		}
		if p.sleep(1); !g.up || g.line != line {
			return nil, nil, errDown
		}
		if d := g.dbs[t]; d.token == a.Token && d.number > a.Number && p.m.broken != "number" {
			return nil, nil, errLate
		} else if d.token > a.Token && p.m.broken != "token" {
			return nil, nil, &jobs.FencedError{Target: fmt.Sprint("group ", at), Presented: a.Token, Current: d.token}
		}
	}
	c := migration.FencePoint{Timeline: g.line, LSN: migration.LSN(len(g.wal))}
	shut := p.m.broken != "fence"
	g.deed(t, a, migration.Recovery{Done: true, Fence: &c}, func(d *mvDB) { d.closed = shut })
	p.sleep(0.5)
	return &c, nil, nil
}

func (p *mvPlaces) FenceStatus(ctx context.Context, a migration.Request, at migration.Group) (bool, int, error) {
	g, d, _, err := p.at(ctx, a, at)
	if err != nil {
		return false, 0, err
	}
	return d.closed, g.line, nil
}

func (p *mvPlaces) Verify(ctx context.Context, a migration.Request, home, other migration.Group) (v migration.VerificationResult, err error) {
	begun := p.m.now
	g, _, t, err := p.at(ctx, a, home)
	if err != nil {
		return v, err
	}
	o, _, _, err := p.at(ctx, a, other)
	if err != nil {
		return v, err
	}
	lines := p.lines(home, other)
	var read [mvRanges]bool
	if x, y := g.marks[t], o.marks[t]; x == nil || y == nil || lines != a.State.Timelines {
		for i := range read {
			read[i] = true
		}
	} else {
		here, there := g.touched(t, x.pos), o.touched(t, y.pos)
		for i := range read {
			read[i] = here[i] || there[i] || y.hot[i]
		}
	}
	if seq := g.dbs[t].seq; p.m.broken != "sequence" {
		o.log(mvRec{tenant: t, do: func(d *mvDB) { d.seq = max(d.seq, seq) }})
	}
	set := len(o.wal)
	x, y := map[migration.Range]migration.RangeDigest{}, map[migration.Range]migration.RangeDigest{}
	for i, is := range read {
		if !is {
			continue
		}
		v.RangesRead++
		r := mvRange(i)
		x[r] = g.dbs[t].sum(i)
		p.sleep(0.3)
		if !g.up || !o.up || lines != p.lines(home, other) {
			return v, errDown
		}
		y[r] = o.dbs[t].sum(i)
	}
	for o.standby < set && p.m.now-begun <= a.Data.TimeoutMillis {
		if p.sleep(2); !g.up || !o.up || lines != p.lines(home, other) {
			return v, errDown
		}
	}
	v.Timelines, v.TimedOut, v.Differences = lines, o.standby < set || p.m.now-begun > a.Data.TimeoutMillis, migration.CompareRanges(x, y)
	return v, nil
}

func (p *mvPlaces) Unfence(ctx context.Context, a migration.Request, at migration.Group) error {
	g, _, t, err := p.at(ctx, a, at)
	if err == nil {
		g.deed(t, a, migration.Recovery{Done: true}, func(d *mvDB) { d.closed, d.sub = false, mvSub{} })
		p.sleep(0.5)
	}
	return err
}

func (p *mvPlaces) ReplicateBack(ctx context.Context, a migration.Request) (migration.Timelines, error) {
	from, d, t, err := p.at(ctx, a, a.Plan.From)
	if err != nil {
		return migration.Timelines{}, err
	}
	from.deed(t, a, migration.Recovery{}, func(d *mvDB) { d.closed = true })
	there := d.sub.there
	delete(from.slots, mvSlotName("move", t))
	to, _, _, err := p.at(ctx, a, a.Plan.To)
	if err != nil {
		return migration.Timelines{}, err
	}
	to.deed(t, a, migration.Recovery{}, func(d *mvDB) { d.sub = mvSub{} })
	name := mvSlotName("feed", t)
	slot := to.slots[name]
	anew := a.Data.Recopy || slot == nil
	if anew {
		slot = &mvSlot{pos: len(to.wal), lasts: p.m.lots.IntN(2) == 0}
		to.slots[name] = slot
	}
	origin, line := slot.pos, to.line
	if from, d, _, err = p.at(ctx, a, a.Plan.From); err != nil {
		return migration.Timelines{}, err
	}
	lines := migration.Timelines{Source: line, Target: from.line}
	if there && d.sub.there && !anew {
		from.deed(t, a, migration.Recovery{Done: true, Timelines: lines}, nil)
		return lines, nil
	}
	delete(to.marks, t)
	delete(from.marks, t)
	from.deed(t, a, migration.Recovery{Done: true, Timelines: lines}, func(d *mvDB) {
		d.sub = mvSub{there: true, from: to, slot: name, origin: origin}
		if anew {
			d.rows = map[int]mvRow{}
		}
		for k := range d.sub.tables {
			if d.sub.tables[k], d.sub.synced[k] = mvSynced, origin; anew {
				d.sub.tables[k] = mvPending
			}
		}
	})
	from.reported[t], from.durable[t], from.last[t] = origin, origin, len(from.wal)
	return lines, nil
}

func (p *mvPlaces) CleanUp(ctx context.Context, a migration.Request) error {
	to, _, t, err := p.at(ctx, a, a.Plan.To)
	if err != nil {
		return err
	}
	to.deed(t, a, migration.Recovery{Done: true}, func(d *mvDB) { d.sub, d.rows, d.closed, d.given = mvSub{}, map[int]mvRow{}, true, true })
	delete(to.slots, mvSlotName("feed", t))
	delete(to.marks, t)
	from, _, _, err := p.at(ctx, a, a.Plan.From)
	if err != nil {
		return err
	}
	from.deed(t, a, migration.Recovery{Done: true}, func(d *mvDB) { d.sub, d.closed, d.given = mvSub{}, false, true })
	delete(from.slots, mvSlotName("move", t))
	delete(from.marks, t)
	return nil
}

func (p *mvPlaces) Finish(ctx context.Context, a migration.Request) error {
	from, _, t, err := p.at(ctx, a, a.Plan.From)
	if err != nil {
		return err
	}
	from.deed(t, a, migration.Recovery{Done: true}, func(d *mvDB) {
		if d.sub, d.closed, d.given = (mvSub{}), true, true; a.Plan.OldCopy == "drop" {
			d.rows = map[int]mvRow{}
		}
	})
	delete(from.marks, t)
	to, _, _, err := p.at(ctx, a, a.Plan.To)
	if err != nil {
		return err
	}
	to.deed(t, a, migration.Recovery{Done: true}, func(d *mvDB) { d.closed, d.given = false, true })
	delete(to.slots, mvSlotName("feed", t))
	delete(to.marks, t)
	return nil
}

// Recover: what can be done again is, unless one transaction holds all of it.
func (p *mvPlaces) Recover(ctx context.Context, a migration.Request) (migration.Recovery, error) {
	home := a.Plan.From
	if a.State.Reverse {
		home = a.Plan.To
	}
	of := map[migration.Operation][]migration.Group{migration.OperationCopy: {a.Plan.To}, migration.OperationFence: {home}}[a.Operation]
	if of == nil {
		of = []migration.Group{a.Plan.From, a.Plan.To}
	}
	var f migration.Recovery
	a.Number++ // what is still on its way comes too late from here on
	for i, n := range of {
		_, d, _, err := p.at(ctx, a, n)
		if err != nil {
			return migration.Recovery{}, err
		}
		switch is := d.deed == a.OperationID && d.found.Done; {
		case !is:
			f.Done = false
		case i == 0 || f.Done:
			f = d.found
		}
	}
	switch a.Operation {
	case migration.OperationSubscribe, migration.OperationReplicateBack, migration.OperationTrack, migration.OperationCompare:
		f.Done = false
	}
	return f, nil
}

func (p *mvPlaces) ReplicationStatus(_ context.Context, a migration.Request, home, other migration.Group) (s migration.ReplicationStatus, err error) {
	p.sleep(0.3 + 2*p.m.lots.Float64())
	g, o, t := p.m.groups[home-1], p.m.groups[other-1], p.m.tenant(a.Plan.Tenant)
	if !g.up || !o.up {
		p.sleep(5)
		return s, errDown
	}
	d := o.dbs[t]
	slot := g.slots[d.sub.slot]
	s = migration.ReplicationStatus{Reachable: true, Timelines: p.lines(home, other), SourceLSN: migration.LSN(len(g.wal)), AppliedLSN: migration.LSN(o.durable[t]), TablesCopied: true}
	for _, is := range d.sub.tables {
		s.TablesCopied = s.TablesCopied && is != mvPending
	}
	s.LagMillis = float64(len(g.wal)-o.durable[t]) * 0.2
	if o.slow {
		s.LagMillis *= 10
	}
	s.SlotLost = !d.sub.there || slot == nil
	s.TargetAhead = g.tells && d.sub.origin > len(g.wal)
	touched := 0
	x, y := g.marks[t], o.marks[t]
	if s.TrackingLost = x == nil || y == nil || home == a.Plan.From && o.slots[mvSlotName("feed", t)] == nil; x != nil && y != nil {
		here, there := g.touched(t, x.pos), o.touched(t, y.pos)
		for i := range here {
			if here[i] || there[i] || y.hot[i] {
				touched++
			}
		}
	}
	s.VerifyMillis = float64(touched) * 0.3
	s.TargetUnfenced = !d.closed
	return s, nil
}
