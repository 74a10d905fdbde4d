package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/admin"
	"ashstand/testbed/fleet"
	"ashstand/testbed/host"
	"ashstand/testbed/report"
)

// The times of moves in a run.
const (
	moveLock   = 300 * time.Millisecond
	moveRest   = 1500 * time.Millisecond // between two pauses of a move: long enough to tell them apart in the traces
	movePlans  = 3                       // open at once: two run, one waits for its turn
	moveEvery  = 80 * time.Millisecond   // about, from one request of a session to the next
	lateEvery  = 30 * time.Millisecond   // of a writer that knows nothing of moves
	readCommit = 300 * time.Millisecond  // how often the groups' commits are noted; a group keeps 4096 at least
	registers  = 2                       // of each tenant: rows that all its sessions write and read
	// MoveRest is for how long no move is ordered at the end of a run, so that those under way end or can be judged.
	MoveRest = 8 * time.Second
)

// moveSeen is what the judge reads of a move: declared here again, so that the program's own types don't judge it.
type moveSeen struct {
	Name string
	Plan struct {
		Tenant   string
		From, To int
	}
	State struct {
		Phase        string
		Reverse, Fed bool
		Back, Held   string
		Compare      struct{ All bool }
		Pause        *struct{ Closed *struct{ Position uint64 } }
		Notes, Lost  []string
		Differ       []json.RawMessage
		Tries        int
	}
	Step, Token uint64
	Owner, Deed string
	Words       []struct{ Say string }
	Ended       bool
	Message     string
	Wait        string `json:"waits_for"`
}

func (m *moveSeen) may(say string) bool {
	return slices.ContainsFunc(m.Words, func(w struct{ Say string }) bool { return w.Say == say })
}

// order is a move that the run asked for.
type order struct {
	name, tenant string
	from, to     int
	back         string // the phase in which it is taken back; "": it isn't
	failover     bool   // of the old home while the tenant is paused
	after        bool   // of the new one once it was switched
	tamper       bool   // a row is changed by hand at the new home before the pause
	done         map[string]bool
}

// said is a word that an operator gave.
type said struct {
	work, say string
	step      uint64
	at        time.Time
	taken     bool // it came into the log; else that is not known
}

// noted is an ordinary commit to a row of a tenant.
type noted struct {
	at          float64
	group       int
	lsn         string
	tenant, ref string
}

// movers is what a run of moves has seen.
type movers struct {
	*rig
	tenants []string
	bound   float64 // of a pause, ms

	mu      sync.Mutex
	moves   map[string]moveSeen
	since   map[string]time.Time // when a move was first seen at its step
	orders  map[string]*order
	words   []said
	commits map[noted]bool
	writes  []*write
	misses  []miss
	ops     map[string][]op // of registers, by tenant and row
}

// RunMigrations plays a plan while tenants move between groups, and judges by what clients were told and what the groups hold.
func RunMigrations(ctx context.Context, o Options) (*Outcome, error) {
	o.Agree, o.Works, o.Clients = true, true, 0
	g := report.New("cluster move", o.Plan.Seed, "lost_write", "duplicate_write", "stale_read", "missed_own_write", "two_homes", "verified_wrong", "paused_past_bound",
		"stepped_without_word", "rollback_lost", "sent_to_draining", "failed_start", "bad_exit", "crashed", "too_few")
	for i, f := range o.Plan.Faults { // hosts are named with their group
		if Kinds[f.Kind] == "host" && strings.Count(f.B, "-") == 1 {
			o.Plan.Faults[i].B = fmt.Sprintf("host-%d-%s", 1+i%o.Groups, strings.TrimPrefix(f.B, "host-"))
		}
	}
	r := &movers{
		rig: &rig{o: o, g: g, begun: time.Now()}, tenants: o.tenants(), moves: map[string]moveSeen{}, since: map[string]time.Time{}, orders: map[string]*order{},
		commits: map[noted]bool{}, ops: map[string][]op{},
	}
	r.bound = 1.1 * leastPause()
	return r.whole(ctx, r.beside, r.judge)
}

// leastPause is the shortest bound of a pause that the times of a run allow, in ms, by what the program states of them: said
// here by hand.
func leastPause() float64 {
	lease, renew, election, deed := float64(runLease.Milliseconds()), float64(runRenew.Milliseconds()), float64(runElection.Milliseconds()), float64(runDeed.Milliseconds())
	stretch := (1 + runDrift) / (1 - runDrift)
	force := 2*lease*stretch + 4*renew + 2*election/10 + 2*election
	owner := 2*lease*stretch + 2*renew + 4*election/10 + 4*election
	line := election / 5
	forward := 7*line + 2*force + float64(moveLock.Milliseconds()) + 2*deed
	return forward + 2*line + 2*deed + owner + 3*line + 2*deed + 2*force
}

// beside is what goes on next to the faults.
func (r *movers) beside(ctx context.Context) {
	if !r.prepare(ctx) {
		return
	}
	var all sync.WaitGroup
	for i, n := range r.nodes {
		for j, t := range r.tenants {
			c := &client{movers: r, node: n, tenant: t, name: fmt.Sprintf("%s/%s", t, n.name), lots: rand.New(rand.NewPCG(r.o.Plan.Seed, uint64(1000+i*100+j))), known: map[string]int{}}
			all.Go(func() { c.run(ctx) })
		}
	}
	all.Go(func() { r.watchMoves(ctx) })
	all.Go(func() { r.order(ctx) })
	all.Go(func() { r.note(ctx) })
	for i := range 2 {
		all.Go(func() {
			r.operate(ctx, fmt.Sprint("operator-", i+1), rand.New(rand.NewPCG(r.o.Plan.Seed, uint64(77+i))))
		})
	}
	all.Wait()
}

// prepare has every tenant's rows and its home agreed on.
func (r *movers) prepare(ctx context.Context) bool {
	rules := map[string]any{}
	for _, t := range r.tenants {
		home := r.fleet.Options.Home(t)
		rules["database."+t+".group"] = home
		for g, c := range r.fleet.Groups {
			c.Database(t)
			if g+1 != home {
				continue
			}
			conn, err := r.primary(ctx, home, t)
			if err != nil {
				r.g.Break("failed_start", "%s: %v", t, err)
				return false
			}
			for i := range registers {
				_, err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO entries (ref, payload) VALUES ('reg-%d', '0')", i)).ReadAll()
			}
			for i := range 50 { // so that there is something to copy
				_, err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO entries (ref, payload) VALUES ('old-%04d', 'x')", i)).ReadAll()
			}
			closeConn(conn)
			if err != nil {
				r.g.Break("failed_start", "%s: %v", t, err)
				return false
			}
		}
	}
	body, _ := json.Marshal(rules)
	for i := 0; ctx.Err() == nil; i++ {
		p, paused := r.nodes[i%len(r.nodes)].process()
		var got struct{ Version int }
		if p != nil && !paused && admin.Invoke(p.Admin, "propose", body, &got) == nil {
			return true
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// primary connects to a group's primary as a client that knows it.
func (r *movers) primary(ctx context.Context, group int, tenant string) (*pgconn.PgConn, error) {
	lead := r.fleet.Groups[group-1].Leader()
	if lead == nil {
		return nil, fmt.Errorf("group %d has no primary now", group)
	}
	return dial(ctx, lead.Address, tenant)
}

func dial(ctx context.Context, address, tenant string) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	cfg, err := pgconn.ParseConfig("postgres://web@" + address + "/" + tenant + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	return pgconn.ConnectConfig(ctx, cfg)
}

func closeConn(c *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = c.Close(ctx)
}

// watchMoves reads every pooler's view of the moves at a pace.
func (r *movers) watchMoves(ctx context.Context) {
	for sleep(ctx, 60*time.Millisecond) {
		r.each(func(n *node, p *fleet.Pooler) {
			var v struct{ Moves []moveSeen }
			if admin.Get(p.Admin, "moves", &v) != nil {
				return
			}
			for _, m := range v.Moves {
				r.see(ctx, m, n.name)
			}
		})
	}
}

// see takes a view of a move, and has happen what is due at its phase.
func (r *movers) see(ctx context.Context, m moveSeen, by string) {
	r.mu.Lock()
	was, known := r.moves[m.Name]
	newer := !known || m.Token > was.Token || m.Token == was.Token && m.Step > was.Step || m.Ended && !was.Ended
	if newer {
		r.since[m.Name] = time.Now()
	}
	if newer || m.Token == was.Token && m.Step == was.Step && m.Owner == by { // its owner knows most
		r.moves[m.Name] = m
	}
	o := r.orders[m.Name]
	var due []string
	if o != nil && newer {
		first := func(what string, is bool) {
			if is && !o.done[what] {
				o.done[what] = true
				due = append(due, what)
			}
		}
		first("tamper", o.tamper && m.State.Phase == "catching up" && m.State.Compare.All)
		first("failover", o.failover && m.State.Phase == "verifying" && !m.State.Reverse)
		first("compare", m.State.Phase == "switched" && !m.State.Reverse)
		first("after", o.after && m.State.Phase == "switched")
		first("late", m.State.Phase == "closing")
	}
	r.mu.Unlock()
	if newer && (!known || was.State.Phase != m.State.Phase || was.State.Held != m.State.Held) {
		r.tell(m.Name, "%s at step %d %s %s", m.State.Phase, m.Step, m.State.Held, m.State.Back)
	}
	for _, what := range due {
		switch what {
		case "tamper":
			r.tamper(ctx, o)
		case "failover":
			r.fail(o.from, 1, o.name)
		case "after":
			r.fail(o.to, 0, o.name)
		case "compare":
			r.compare(o, m)
		case "late":
			go r.late(ctx, o)
		}
	}
}

// fail gives a group another primary, which lacks the last n commits.
func (r *movers) fail(group, n int, work string) {
	if len(r.o.Plan.Faults) == 0 && r.o.Plan.Break == "" {
		return
	}
	c := r.fleet.Groups[group-1]
	lead := c.Leader()
	for _, h := range c.Hosts() {
		if h != lead && lead != nil {
			lost := c.FailLosing(h, n, 200*time.Millisecond, true)
			r.tell(work, "group %d fails over and loses %d commits", group, lost)
			r.g.Do(func(q *report.Result) { q.Faults[fmt.Sprintf("failover of a home that loses %d", n)]++ })
			break
		}
	}
	r.fleet.Publish()
}

// tamper changes a row at the new home as nobody should.
func (r *movers) tamper(ctx context.Context, o *order) {
	conn, err := r.primary(ctx, o.to, o.tenant)
	if err == nil {
		_, err = conn.Exec(ctx, "SET session_replication_role TO replica; UPDATE entries SET payload = 'tampered' WHERE ref = 'old-0001'").ReadAll()
		closeConn(conn)
	}
	r.tell(o.name, "a row is changed by hand at group %d: %v", o.to, err)
	r.g.Do(func(q *report.Result) { q.Faults["row changed by hand"]++ })
}

// late is a writer that knows nothing of the move, as a pooler that stood still between its choice and the sending.
func (r *movers) late(ctx context.Context, o *order) {
	var conn *pgconn.PgConn
	defer func() {
		if conn != nil {
			closeConn(conn)
		}
	}()
	for i := 0; sleep(ctx, lateEvery); i++ {
		r.mu.Lock()
		over := r.moves[o.name].Ended
		r.mu.Unlock()
		if over {
			return
		}
		if conn == nil {
			var err error
			if conn, err = r.primary(ctx, o.from, o.tenant); err != nil {
				conn = nil
				continue
			}
		}
		w := &write{tenant: o.tenant, ref: fmt.Sprintf("%s/late-%s/%d", o.tenant, o.name, i), begun: time.Now()}
		_, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO entries (ref, payload) VALUES ('%s', '1')", w.ref)).ReadAll()
		w.settle(err)
		r.mu.Lock()
		r.writes = append(r.writes, w)
		r.mu.Unlock()
		if conn.IsClosed() {
			conn = nil
		}
	}
}

// order asks for moves of tenants in turn, several at once.
func (r *movers) order(ctx context.Context) {
	lots := rand.New(rand.NewPCG(r.o.Plan.Seed, 0x0de))
	phases := []string{"copying", "catching up", "closing", "verifying"}
	been := map[string][]int{}
	next := 0
	for i := 0; sleep(ctx, 100*time.Millisecond) && r.at() < r.o.Plan.Length.D()-MoveRest; {
		r.mu.Lock()
		open := map[string]bool{}
		at := map[string]int{}
		for _, t := range r.tenants {
			at[t] = r.fleet.Options.Home(t)
		}
		for _, o := range r.orders {
			m, known := r.moves[o.name]
			if !known || !m.Ended {
				open[o.tenant] = true
			}
		}
		var ended []string
		for name, m := range r.moves {
			if m.Ended && m.State.Phase == "done" {
				ended = append(ended, name)
			}
		}
		slices.SortFunc(ended, func(a, b string) int { return slices.Index(r.named(), a) - slices.Index(r.named(), b) })
		for _, name := range ended {
			if o := r.orders[name]; o != nil {
				at[o.tenant] = o.to
			}
		}
		r.mu.Unlock()
		if len(open) >= movePlans {
			continue
		}
		t := r.tenants[next%len(r.tenants)]
		next++
		if open[t] {
			continue
		}
		if !slices.Contains(been[t], at[t]) {
			been[t] = append(been[t], at[t])
		}
		to := 0
		for g := range r.o.Groups { // old copies are kept: a group that has one is not gone to again
			if !slices.Contains(been[t], g+1) {
				to = g + 1
			}
		}
		if to == 0 {
			continue
		}
		o := &order{name: fmt.Sprintf("move-%d", i+1), tenant: t, from: at[t], to: to, failover: i%3 == 0, after: i%3 == 1, tamper: i%6 == 5, done: map[string]bool{}}
		switch i % 4 {
		case 1:
			o.back = phases[lots.IntN(len(phases))]
		case 3:
			o.back = "switched"
		}
		if r.o.Plan.Break == "verify" {
			o.tamper, o.back = true, ""
		}
		if r.o.Plan.Break == "fence" {
			o.failover, o.back = true, ""
		}
		if r.start(ctx, o) {
			i++
			r.mu.Lock()
			r.orders[o.name] = o
			r.mu.Unlock()
		}
	}
}

// named are the orders in turn. The lock is held.
func (r *movers) named() (out []string) {
	for i := range len(r.orders) {
		out = append(out, fmt.Sprintf("move-%d", i+1))
	}
	return out
}

func (r *movers) start(ctx context.Context, o *order) bool {
	spec := map[string]any{
		"tenant": o.tenant, "from": o.from, "to": o.to, "pause_ms": r.bound, "lock_ms": moveLock.Milliseconds(), "tries": 9,
		"rest_ms": moveRest.Milliseconds(),
	}
	body, _ := json.Marshal(map[string]any{"op": "create", "work": o.name, "kind": "move", "spec": spec})
	for i := 0; ctx.Err() == nil; i++ {
		p, paused := r.nodes[i%len(r.nodes)].process()
		if p == nil || paused {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		var out struct{ Work string }
		err := admin.Invoke(p.Admin, "work", body, &out)
		if err == nil || strings.Contains(err.Error(), "there is a work of that name") {
			r.tell(o.name, "ordered: %s from group %d to %d, to be taken back while %q", o.tenant, o.from, o.to, o.back)
			return true
		}
		r.tell(o.name, "not ordered: %v", err)
		if strings.Contains(err.Error(), "is being moved by") {
			return false
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return false
}

// operate gives words as one operator of two, who see the same and know nothing of each other.
func (r *movers) operate(ctx context.Context, who string, lots *rand.Rand) {
	for sleep(ctx, time.Duration(60+lots.IntN(140))*time.Millisecond) {
		r.mu.Lock()
		var open []moveSeen
		for _, m := range r.moves {
			if !m.Ended && len(m.Words) > 0 && r.orders[m.Name] != nil {
				open = append(open, m)
			}
		}
		slices.SortFunc(open, func(a, b moveSeen) int { return strings.Compare(a.Name, b.Name) })
		if len(open) == 0 {
			r.mu.Unlock()
			continue
		}
		m := open[lots.IntN(len(open))]
		o, ago := r.orders[m.Name], time.Since(r.since[m.Name])
		r.mu.Unlock()
		if say := r.choose(&m, o, ago, lots); say != "" {
			r.say(who, &m, say, lots)
		}
	}
}

// choose is what an operator would say.
func (r *movers) choose(m *moveSeen, o *order, ago time.Duration, lots *rand.Rand) string {
	phase := m.State.Phase
	due := o.back != "" && (phase == o.back || o.back == "copying" && phase == "catching up" || o.back == "closing" && phase == "verifying")
	switch {
	case due && m.may("rollback") && m.State.Back == "":
		return "rollback"
	case m.may("resume") && ago > 200*time.Millisecond:
		return "resume"
	case m.may("go") && phase == "verifying" && r.o.Plan.Break == "pause" && o.name == "move-1":
		if ago < time.Duration(1.3*r.bound*1e6) {
			return ""
		}
		return "go"
	case m.may("go") && phase == "verifying" && o.failover && ago < 700*time.Millisecond:
		return "" // the failover comes first
	case m.may("go") && ago > time.Duration(50+lots.IntN(200))*time.Millisecond:
		return "go"
	case m.may("accept") && o.back != "switched" && ago > time.Duration(300+lots.IntN(500))*time.Millisecond:
		return "accept"
	case m.may("pause") && (phase == "copying" || phase == "catching up") && lots.IntN(60) == 0:
		return "pause"
	}
	return ""
}

func (r *movers) say(who string, m *moveSeen, say string, lots *rand.Rand) {
	p, paused := r.nodes[lots.IntN(len(r.nodes))].process()
	if p == nil || paused {
		return
	}
	body, _ := json.Marshal(map[string]any{"op": "say", "work": m.Name, "word": map[string]any{"say": say, "by": who, "step": m.Step, "lasting": say == "rollback"}})
	s := said{work: m.Name, say: say, step: m.Step, at: time.Now()}
	var out struct{ Work string }
	r.mu.Lock()
	r.words = append(r.words, s) // also one whose answer is lost may have come into the log
	i := len(r.words) - 1
	r.mu.Unlock()
	err := admin.Invoke(p.Admin, "work", body, &out)
	r.mu.Lock()
	r.words[i].taken = err == nil
	r.mu.Unlock()
	if err == nil {
		r.tell(m.Name, "%s says %s for step %d", who, say, m.Step)
	}
}

// note keeps what the groups have committed by ordinary transactions.
func (r *movers) note(ctx context.Context) {
	for ctx.Err() == nil {
		r.noteOnce()
		sleep(ctx, readCommit)
	}
}

func (r *movers) noteOnce() {
	for g, c := range r.fleet.Groups {
		for _, k := range c.Commits() {
			r.mu.Lock()
			r.noteRows(g+1, &k)
			r.mu.Unlock()
		}
	}
}

func (r *movers) noteRows(group int, k *host.Commit) {
	if k.Origin != "" || k.Database == "" {
		return
	}
	for _, row := range k.Rows {
		if row.Table == "public.entries" && !row.Deleted && row.Values["payload"] != "tampered" {
			r.commits[noted{k.At, group, k.LSN, k.Database, row.Key}] = true
		}
	}
}
