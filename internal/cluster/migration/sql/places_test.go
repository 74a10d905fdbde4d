package sql

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
	"ashstand/testbed/host"
)

const tenant = "shop"

// rig is groups of two hosts each, a ledger with one move, and agreed rules that are in force at once.
type rig struct {
	t            testing.TB
	ctx          context.Context
	groups       map[migration.Group]*host.Cluster
	databases    *Databases
	migrator     *migration.Migrator
	stateMachine jobs.StateMachine
	// instead, if it is set, does the deed that is announced.
	override func() error

	mu      sync.Mutex
	rules   map[string]any
	version int
}

func newRig(t testing.TB, groups int, plan migration.Plan) *rig {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	r := &rig{t: t, ctx: ctx, groups: map[migration.Group]*host.Cluster{}, rules: map[string]any{"database.shop.group": float64(plan.From)}}
	for g := range migration.Group(groups) {
		c := host.NewCluster(g+1, 1)
		c.SetReplication(host.Replication{Retry: 20 * time.Millisecond, Timeout: 2 * time.Second, ConnectTime: 2 * time.Second})
		c.Strict(true)
		for i := range 2 {
			_, err := c.Add(fmt.Sprintf("h%d-%d", g+1, i), "127.0.0.1:0")
			require.NoError(t, err)
		}
		c.Database(tenant)
		t.Cleanup(c.Close)
		r.groups[g+1] = c
	}
	r.databases = &Databases{Client: &fencing.Client{User: "works", Hosts: r.hosts}, IdleTimeout: 300 * time.Millisecond, RangeRows: 100}
	costs := migration.Timing{LogEntryMillis: 1, RulesInForceMillis: 1, FailoverMillis: 10, DatabaseCallMillis: 50}
	r.migrator = &migration.Migrator{Databases: r.databases, Rules: r, Timing: costs}
	if plan.Checkpoints == nil {
		plan.Checkpoints = []string{migration.CheckpointAccepting}
	}
	if plan.MaxPauseMillis == 0 {
		plan.MaxPauseMillis = 3000
	}
	plan.Tenant = tenant
	spec, _ := json.Marshal(plan)
	if _, err := migration.ParsePlan(spec, costs); plan.FenceWaitMillis < plan.MaxPauseMillis {
		require.NoError(t, err)
	}
	r.apply(jobs.Entry{Type: jobs.EntryCreate, Job: "m1", JobKind: "move", Spec: spec})
	r.assign()
	return r
}

func (r *rig) hosts(g uint64) (out []fencing.Host) {
	c := r.groups[g]
	for _, h := range c.Hosts() {
		out = append(out, fencing.Host{Name: h.Name, Address: h.Address, Group: g, Primary: h == c.Leader()})
	}
	return out
}

func (r *rig) Current() (map[string]any, int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.rules), r.version, true
}

func (r *rig) Change(_ context.Context, _ string, _ jobs.FencingToken, _ *jobs.Operation, keys map[string]any) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(r.rules, keys)
	r.version++
	return r.version, nil
}

func (r *rig) HasLimit(string) bool { return true }

func (r *rig) servingGroup() migration.Group {
	rules, _, _ := r.Current()
	return migration.Group(rules["database.shop.group"].(float64))
}

func (r *rig) apply(e jobs.Entry) {
	r.t.Helper()
	refusal := r.stateMachine.Apply(e)
	require.Nil(r.t, refusal, "%v", refusal)
}

func (r *rig) job() *jobs.Job { return r.stateMachine.Jobs["m1"] }

func (r *rig) state() migration.State {
	s, err := migration.DecodeState(r.job())
	require.NoError(r.t, err)
	return s
}

// assign gives the work a new owner.
func (r *rig) assign() {
	r.apply(jobs.Entry{Type: jobs.EntryAssign, Job: "m1", Token: r.job().Token, Holder: "n", Incarnation: 1})
}

func (r *rig) approve(word string) {
	r.apply(jobs.Entry{Type: jobs.EntryApprove, Job: "m1", Approval: &jobs.Approval{Action: word, Step: r.job().Step, Persistent: word == migration.ActionRollback}})
}

// announce logs what comes next; false: nothing does now.
func (r *rig) announce() bool {
	w := *r.job()
	seen, err := r.migrator.Observe(r.ctx, &w)
	if err != nil && r.override != nil {
		return false
	}
	require.NoError(r.t, err)
	s := r.migrator.Next(float64(time.Now().UnixMicro())/1e3, &w, seen)
	if s.OperationName == "" {
		return false
	}
	r.apply(jobs.Entry{
		Type: jobs.EntryAnnounce, Job: "m1", Token: w.Token, Step: w.Step, Approval: s.Approval,
		Operation: &jobs.Operation{Number: w.NextOperationNumber(), Name: s.OperationName, Data: s.Data},
	})
	return true
}

func (r *rig) execute() error {
	if r.override != nil {
		return r.override()
	}
	w := *r.job()
	p, err := r.migrator.Execute(r.ctx, &w, w.Operation)
	if err == nil {
		r.confirm(p)
	}
	return err
}

// recoverOpen has a new owner look for the deed that is open.
func (r *rig) recoverOpen() (done bool) {
	r.t.Helper()
	r.assign()
	w := *r.job()
	var p jobs.Result
	var err error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done, p, err = r.migrator.Recover(r.ctx, &w, w.Operation); err == nil {
			break
		}
	}
	require.NoError(r.t, err, w.Operation.Name)
	if done {
		r.confirm(p)
	} else {
		r.apply(jobs.Entry{Type: jobs.EntryAbort, Job: "m1", Token: w.Token, Operation: w.Operation})
	}
	return done
}

func (r *rig) confirm(p jobs.Result) {
	w := r.job()
	r.apply(jobs.Entry{Type: jobs.EntryConfirm, Job: "m1", Token: w.Token, Operation: w.Operation, State: p.State, Finished: p.Finished, Reason: p.Reason})
}

// request is the deed that is announced, as its present owner would do it.
func (r *rig) request() migration.Request {
	w := r.job()
	a := migration.Request{Job: w.Name, Token: w.Token, State: r.state()}
	require.NoError(r.t, json.Unmarshal(w.Spec, &a.Plan))
	if d := w.Operation; d != nil {
		a.OperationID, a.Operation, a.AnnouncedToken = d.ID(w.Name), d.Name, d.Token
		require.NoError(r.t, json.Unmarshal(d.Data, &a.Data))
	}
	return a
}

// runUntil goes on until a deed is announced, or with "" until the state is as asked for.
func (r *rig) runUntil(deed string, is func(migration.State) bool) {
	r.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		if w := r.job(); w.Finished || deed == "" && is(r.state()) {
			return
		}
		if r.job().Operation == nil && !r.announce() {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		if r.job().Operation.Name == deed {
			return
		}
		require.NoError(r.t, r.execute(), r.job().Name)
	}
	require.Fail(r.t, "it does not come to that", "%s %+v", deed, r.state())
}

func (r *rig) runToPhase(p migration.Phase) {
	r.t.Helper()
	r.runUntil("", func(s migration.State) bool { return s.Phase == p })
	require.Equal(r.t, p, r.state().Phase, "%+v", r.state())
}

func (r *rig) dial(g migration.Group) *pgconn.PgConn {
	c, _, err := (&fencing.Client{User: "web", Hosts: r.hosts}).ConnectPrimary(r.ctx, g, tenant)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { fencing.Close(c) })
	return c
}

func (r *rig) exec(c *pgconn.PgConn, sql string) [][]string {
	r.t.Helper()
	rows, _, err := fencing.Exec(r.ctx, c, sql)
	require.NoError(r.t, err, sql)
	return rows
}

func (r *rig) db(g migration.Group) *host.Database { return r.groups[g].Database(tenant) }

// writers insert and update rows of their own until they are stopped, each where the tenant is served: who is told that it
// is closed there tries again. They know nothing of pauses.
type writers struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu           sync.Mutex
	acknowledged map[string]string
	rejected     int // were refused
	inDoubt      map[string]bool
}

func (r *rig) startWriters(n int, perSecond float64) *writers {
	w := &writers{stop: make(chan struct{}), acknowledged: map[string]string{}, inDoubt: map[string]bool{}}
	for i := range n {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			var conn *pgconn.PgConn
			at := migration.Group(0)
			for k := 0; ; k++ {
				key, value := fmt.Sprintf("w%d-%06d", i, k), fmt.Sprint(k)
				sql := "INSERT INTO entries (ref, payload) VALUES ($1, $2)"
				if k%3 == 2 {
					sql = "UPDATE entries SET payload = $2 WHERE ref = $1"
				}
				if k%3 == 2 {
					key = fmt.Sprintf("w%d-%06d", i, k-1)
				}
				for done := false; !done; {
					select {
					case <-w.stop:
						return
					case <-time.After(time.Duration(float64(n) / perSecond * 1e9)):
					}
					if home := r.servingGroup(); conn == nil || at != home {
						if conn != nil {
							fencing.Close(conn)
						}
						var err error
						if conn, _, err = (&fencing.Client{User: "web", Hosts: r.hosts}).ConnectPrimary(r.ctx, home, tenant); err != nil {
							conn = nil
							continue
						}
						at = home
					}
					_, touched, err := fencing.Exec(r.ctx, conn, sql, key, value)
					w.mu.Lock()
					switch {
					case err == nil && touched == 1:
						w.acknowledged[key], done = value, true
					case err == nil:
						done = true
						w.inDoubt[key] = true
					case sqlState(err) == "55000":
						w.rejected++
					default:
						w.inDoubt[key], done = true, true
						fencing.Close(conn)
						conn = nil
					}
					w.mu.Unlock()
				}
			}
		}()
	}
	r.t.Cleanup(w.stopAll)
	return w
}

func (w *writers) stopAll() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.wg.Wait()
}

func (w *writers) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acknowledged)
}

// requireAcknowledged requires that a group holds what was acknowledged, each version once since it was copied.
func (r *rig) requireAcknowledged(w *writers, g migration.Group) {
	r.t.Helper()
	rows := map[string]string{}
	for _, row := range r.db(g).Dump("entries") {
		rows[row["ref"]] = row["payload"]
	}
	for key, value := range w.acknowledged {
		if !w.inDoubt[key] {
			require.Equal(r.t, value, rows[key], key)
		}
		seen := map[string]bool{}
		for _, v := range r.db(g).History("entries", key) {
			if v.Deleted { // it was emptied, and copied anew
				clear(seen)
				continue
			}
			require.False(r.t, seen[v.Values["payload"]], "%s was written twice: %v", key, r.db(g).History("entries", key))
			seen[v.Values["payload"]] = true
		}
	}
}

func plan() migration.Plan { return migration.Plan{From: 1, To: 2, FenceWaitMillis: 200} }

func TestMigrationUnderWrites(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(500)
	w := r.startWriters(4, 200)
	r.runToPhase(migration.PhaseSwitched)
	r.runUntil("", func(s migration.State) bool { return s.ReverseReplicating && s.Comparison.Complete })
	require.Equal(t, migration.Group(2), r.servingGroup())
	at := w.count()
	require.Eventually(t, func() bool { return w.count() > at+20 }, 5*time.Second, time.Millisecond)
	r.approve(migration.ActionAccept)
	r.runToPhase(migration.PhaseCompleted)
	w.stopAll()
	require.Positive(t, w.rejected)
	r.requireAcknowledged(w, 2)
	require.Len(t, r.db(2).Dump("entries"), 500+len(insertedKeys(w)))
	// The old home stays fenced, and nothing of the move stands at either home but that.
	_, _, err := fencing.Exec(r.ctx, r.dial(1), "INSERT INTO entries VALUES ('late', '')")
	require.Equal(t, "55000", sqlState(err))
	for g := range r.groups {
		c := r.dial(g)
		require.Empty(t, r.exec(c, "SELECT subname FROM pg_subscription"))
		require.Empty(t, r.exec(c, "SELECT slot_name FROM pg_replication_slots"))
		require.Empty(t, r.exec(c, "SELECT pubname FROM pg_publication"))
		require.Empty(t, r.exec(c, "SELECT tgname FROM pg_trigger WHERE tgname LIKE 'z%'"))
	}
}

func insertedKeys(w *writers) (keys []string) {
	for k := range w.acknowledged {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func TestRollbackAfterSwitchLosesNoCommit(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(300)
	w := r.startWriters(4, 200)
	r.runToPhase(migration.PhaseSwitched)
	at := w.count()
	require.Eventually(t, func() bool { return w.count() > at+20 }, 5*time.Second, time.Millisecond)
	r.approve(migration.ActionRollback)
	r.runToPhase(migration.PhaseRolledBack)
	require.Equal(t, migration.Group(1), r.servingGroup())
	at = w.count()
	require.Eventually(t, func() bool { return w.count() > at+20 }, 5*time.Second, time.Millisecond)
	w.stopAll()
	r.requireAcknowledged(w, 1)
	require.Empty(t, r.db(2).Dump("entries"))
}

// stored is all that the homes hold beside what replication brings: to be compared.
func (r *rig) stored() map[string]any {
	out := map[string]any{}
	for g, c := range r.groups {
		for _, table := range []string{"ashstand.fence", "ashstand.gate", "ashstand.book", "ashstand.touched", "entries"} {
			out[fmt.Sprint(g, table)] = c.Database(tenant).Dump(table)
		}
		conn := r.dial(g)
		for _, sql := range []string{
			"SELECT subname, subenabled, subslotname FROM pg_subscription", "SELECT slot_name FROM pg_replication_slots",
			"SELECT pubname, tablename FROM pg_publication_tables", "SELECT pubname FROM pg_publication", "SELECT tgrelid, tgname FROM pg_trigger",
		} {
			out[fmt.Sprint(g, sql)] = r.exec(conn, sql)
		}
		fencing.Close(conn)
	}
	return out
}

// call calls the place's method of a deed.
func (r *rig) call(a migration.Request) (err error) {
	home, other := homes(a)
	switch a.Operation {
	case migration.OperationPublish:
		err = r.databases.Publish(r.ctx, a)
	case migration.OperationSubscribe:
		_, err = r.databases.Subscribe(r.ctx, a)
	case migration.OperationCopy:
		_, err = r.databases.Copy(r.ctx, a)
	case migration.OperationTrack:
		_, err = r.databases.Track(r.ctx, a, home, other)
	case migration.OperationCompare:
		_, err = r.databases.Compare(r.ctx, a, home, other)
	case migration.OperationFence:
		_, _, err = r.databases.Fence(r.ctx, a, home)
	case migration.OperationVerify:
		_, err = r.databases.Verify(r.ctx, a, home, other)
	case migration.OperationSwitch:
		err = r.databases.Unfence(r.ctx, a, other)
	case migration.OperationReplicateBack:
		_, err = r.databases.ReplicateBack(r.ctx, a)
	case migration.OperationCleanUp:
		err = r.databases.CleanUp(r.ctx, a)
	case migration.OperationFinish:
		err = r.databases.Finish(r.ctx, a)
	}
	return err
}

var operations = []string{
	migration.OperationPublish, migration.OperationSubscribe, migration.OperationCopy, migration.OperationTrack, migration.OperationCompare, migration.OperationFence, migration.OperationVerify,
	migration.OperationSwitch, migration.OperationReplicateBack, migration.OperationFinish, migration.OperationCleanUp,
}

// Each deed is done by an owner; a later one looks for it; then the first one comes late with it, and with all others.
func TestStaleTokenChangesNothing(t *testing.T) {
	for _, end := range []string{migration.ActionAccept, migration.ActionRollback} {
		r := newRig(t, 2, migration.Plan{From: 1, To: 2, FenceWaitMillis: 200, BackoffMillis: 1, MaxAbortedPauses: 10})
		r.db(1).Table("entries", host.Traits{}).Seed(30)
		seen := map[string]bool{}
		r.override = r.executeLate(seen)
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		r.approve(end)
		r.runUntil("", func(s migration.State) bool { return false })
		require.Equal(t, map[string]migration.Phase{migration.ActionAccept: migration.PhaseCompleted, migration.ActionRollback: migration.PhaseRolledBack}[end], r.state().Phase)
		for _, name := range operations {
			if name != map[string]string{migration.ActionAccept: migration.OperationCleanUp, migration.ActionRollback: migration.OperationFinish}[end] {
				require.True(t, seen[name], name)
			}
		}
	}
}

// executeLate does a deed, has a new owner look for it, and lets the one before do it and all others.
func (r *rig) executeLate(seen map[string]bool) func() error {
	return func() error {
		a := r.request()
		w := *r.job()
		if !slices.Contains(operations, a.Operation) {
			p, err := r.migrator.Execute(r.ctx, &w, w.Operation)
			if err == nil {
				r.confirm(p)
			}
			return err
		}
		first := !seen[a.Operation]
		if seen[a.Operation] = true; !first {
			p, err := r.migrator.Execute(r.ctx, &w, w.Operation)
			if err == nil {
				r.confirm(p)
			}
			return err
		}
		if _, err := r.migrator.Execute(r.ctx, &w, w.Operation); err != nil { // proven by nobody
			return err
		}
		done := r.recoverOpen()
		can := slices.Contains([]string{migration.OperationCopy, migration.OperationCompare, migration.OperationVerify}, a.Operation)
		require.True(r.t, done || can, "%s was done", a.Operation)
		if a.Operation == migration.OperationSwitch || a.Operation == migration.OperationVerify { // the switch raised one place's token, the verification none yet
			return nil
		}
		before := r.stored()
		for _, name := range operations {
			if a.Operation == migration.OperationFence && name != a.Operation { // it was looked for at the home alone
				continue
			}
			b := a
			b.Operation = name
			err := r.call(b)
			require.True(r.t, isFenced(err), "%s after %s: %v", name, a.Operation, err)
			require.Equal(r.t, before, r.stored(), "%s after %s", name, a.Operation)
		}
		return nil
	}
}

func isFenced(err error) bool {
	var f *jobs.FencedError
	return errors.As(err, &f)
}

func TestOperationsAreIdempotent(t *testing.T) {
	for _, end := range []string{migration.ActionAccept, migration.ActionRollback} {
		r := newRig(t, 2, plan())
		r.db(1).Table("entries", host.Traits{}).Seed(250)
		w := r.startWriters(3, 100)
		r.override = func() error {
			work := *r.job()
			if _, err := r.migrator.Execute(r.ctx, &work, work.Operation); err != nil {
				return err
			}
			p, err := r.migrator.Execute(r.ctx, &work, work.Operation)
			if err == nil {
				r.confirm(p)
			}
			return err
		}
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		r.approve(end)
		r.runUntil("", func(s migration.State) bool { return false })
		w.stopAll()
		require.Empty(t, r.state().Differences)
		r.requireAcknowledged(w, map[string]migration.Group{migration.ActionAccept: 2, migration.ActionRollback: 1}[end])
	}
}

// Whatever breaks in the middle of whatever deed, the next owner finds out, and the move comes to its end.
func TestInterruptedOperationsRecover(t *testing.T) {
	for seed := range int64(4) {
		r := newRig(t, 2, migration.Plan{From: 1, To: 2, FenceWaitMillis: 200, MaxPauseMillis: 60000, MaxAbortedPauses: 100, BackoffMillis: 1})
		r.db(1).Table("entries", host.Traits{}).Seed(250)
		lots := rand.New(rand.NewPCG(uint64(seed), 7))
		w := r.startWriters(3, 60)
		faults := func(on float64) {
			for _, c := range r.groups {
				for _, h := range c.Hosts() {
					h.SetFaults(host.Faults{CutBefore: 0.01 * on, CutAfter: 0.02 * on, CutAnswer: 0.005 * on})
				}
			}
		}
		cuts, did := 0, 0
		r.override = func() error {
			work := *r.job()
			ctx, cancel := context.WithTimeout(r.ctx, 20*time.Second)
			if lots.IntN(3) == 0 {
				cancel()
				ctx, cancel = context.WithTimeout(r.ctx, time.Duration(lots.IntN(60))*time.Millisecond)
			}
			defer cancel()
			p, err := r.migrator.Execute(ctx, &work, work.Operation)
			if err == nil {
				r.confirm(p)
				return nil
			}
			if cuts++; r.recoverOpen() {
				did++
			}
			return nil
		}
		faults(1)
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		require.Empty(t, r.state().Differences)
		r.approve([]string{migration.ActionAccept, migration.ActionRollback}[seed%2])
		r.runUntil("", func(s migration.State) bool { return false })
		faults(0)
		w.stopAll()
		t.Logf("%d deeds cut, %d of them were done; %d rows written, %d refused, %v", cuts, did, len(w.acknowledged), w.rejected, r.state().Notes)
		require.Positive(t, cuts)
		r.requireAcknowledged(w, r.servingGroup())
	}
}

func TestSourceFailover(t *testing.T) {
	for lost := range 2 {
		r := newRig(t, 2, plan())
		r.db(1).Table("entries", host.Traits{}).Seed(300)
		w := r.startWriters(3, 100)
		r.runUntil("", func(s migration.State) bool { return s.Phase == migration.PhaseCatchingUp && s.Comparison.Complete })
		c := r.groups[1]
		c.FailLosing(c.Hosts()[1], 5*lost, 20*time.Millisecond, true)
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		require.Equal(t, 1, r.state().Copy.Restarts, "its slot died with the old primary")
		w.stopAll()
		r.requireEqualRows(1, 2)
		if lost == 0 {
			r.requireAcknowledged(w, 2)
		}
	}
}

func TestTargetFailover(t *testing.T) {
	for lost := range 2 {
		r := newRig(t, 2, plan())
		r.db(1).Table("entries", host.Traits{}).Seed(300)
		w := r.startWriters(3, 100)
		r.runUntil("", func(s migration.State) bool { return s.Phase == migration.PhaseCatchingUp && s.Comparison.Complete })
		c := r.groups[2]
		c.FailLosing(c.Hosts()[1], 5*lost, 20*time.Millisecond, true)
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		require.Empty(t, r.state().Differences)
		if lost == 1 {
			require.Equal(t, 1, r.state().Copy.Restarts, "what it lost had been passed on")
		}
		w.stopAll()
		r.requireAcknowledged(w, 2)
		r.requireEqualRows(1, 2)
	}
}

// requireEqualRows waits until both homes hold the same rows.
func (r *rig) requireEqualRows(a, b migration.Group) {
	r.t.Helper()
	rows := func(g migration.Group) []map[string]string { return r.db(g).Dump("entries") }
	require.Eventually(r.t, func() bool { return fmt.Sprint(rows(a)) == fmt.Sprint(rows(b)) }, 5*time.Second, 5*time.Millisecond)
}

// A row that was changed by hand at the new home is found, and named by its table and range.
func TestCompareFindsDifferingRow(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(300)
	r.runUntil(migration.OperationCompare, nil)
	r.exec(r.dial(2), "SET session_replication_role = replica")
	c := r.dial(2)
	r.exec(c, "SET session_replication_role = replica")
	r.exec(c, "UPDATE entries SET payload = 'by hand' WHERE ref = 'seed-0000142'")
	require.NoError(t, r.execute())
	s := r.state()
	require.Len(t, s.Differences, 1)
	require.Equal(t, "public.entries", s.Differences[0].Table)
	require.Equal(t, "seed-0000099 to seed-0000199", s.Differences[0].Range)
	require.Contains(t, s.HoldReason, "differs")
	r.approve(migration.ActionResume)
	r.runToPhase(migration.PhaseSwitched)
	require.Equal(t, 1, r.state().Copy.Restarts)
	r.requireEqualRows(1, 2)
}

// A key that was touched is read again in the pause: what differs there is found then.
func TestVerifyReadsTouchedRows(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(300)
	r.runUntil(migration.OperationPause, nil)
	r.exec(r.dial(1), "UPDATE entries SET payload = 'touched' WHERE ref = 'seed-0000142'")
	r.runUntil(migration.OperationVerify, nil)
	c := r.dial(2)
	r.exec(c, "SET session_replication_role = replica")
	r.exec(c, "UPDATE entries SET payload = 'by hand' WHERE ref = 'seed-0000142'")
	require.NoError(t, r.execute())
	s := r.state()
	require.Len(t, s.Differences, 1)
	require.Equal(t, "seed-0000142 to seed-0000142", s.Differences[0].Range)
	require.False(t, s.Pause.Verified)
}

func TestBlockingSessionIsNamedAndEnded(t *testing.T) {
	p := plan()
	p.BlockingSessions, p.FenceWaitMillis = "end", 100
	r := newRig(t, 2, p)
	r.db(1).Table("entries", host.Traits{}).Seed(30)
	r.runUntil(migration.OperationFence, nil)
	c := r.dial(1)
	r.exec(c, "BEGIN")
	r.exec(c, "INSERT INTO entries VALUES ('straggler', '')")
	pid := int(c.PID())
	require.NoError(t, r.execute())
	s := r.state()
	require.Equal(t, migration.PhaseFencing, s.Phase)
	require.Len(t, s.BlockingSessions, 1)
	require.Equal(t, pid, s.BlockingSessions[0].PID)
	require.Equal(t, "web", s.BlockingSessions[0].User)
	r.runToPhase(migration.PhaseSwitched)
	_, _, err := fencing.Exec(r.ctx, c, "COMMIT")
	require.Error(t, err)
	require.Empty(t, r.db(2).History("entries", "straggler"))
}

// A deed whose owner died in its transaction holds the token's row: the host lets it go.
func TestLockOfDeadHolderIsReleased(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(30)
	r.runUntil(migration.OperationFence, nil)
	a := r.request()
	c := r.dial(1)
	require.NoError(t, fencing.SetTimeouts(r.ctx, c, r.databases.bounds(a)))
	r.exec(c, "BEGIN")
	require.NoError(t, r.databases.Client.RaiseFence(r.ctx, c, "1", tenant, a.Token))
	r.assign()
	b := r.request()
	b.Data.TimeoutMillis = 5000
	began := time.Now()
	closed, _, err := r.databases.Fence(r.ctx, b, 1)
	took := time.Since(began)
	require.NoError(t, err)
	require.NotNil(t, closed)
	require.Greater(t, took, 200*time.Millisecond)
	require.Less(t, took, 300*time.Millisecond+500*time.Millisecond)
}

func TestTenantOfOtherMigrationIsLocked(t *testing.T) {
	r := newRig(t, 3, plan())
	r.runToPhase(migration.PhaseCatchingUp)
	before := r.stored()
	a := r.request()
	a.Job, a.OperationID, a.Operation, a.Token, a.AnnouncedToken, a.Plan.To = "m2", "m2/2", migration.OperationPublish, 100, 100, 3
	var by *migration.TenantLockedError
	require.ErrorAs(t, r.databases.Publish(r.ctx, a), &by)
	require.Equal(t, "m1", by.Job)
	f, err := r.databases.Recover(r.ctx, a)
	require.NoError(t, err)
	require.False(t, f.Done)
	require.Equal(t, before[fmt.Sprint(1, "ashstand.fence")], r.stored()[fmt.Sprint(1, "ashstand.fence")], "the first work's token counts on")
	r.runToPhase(migration.PhaseSwitched)
	r.runUntil("", func(s migration.State) bool { return s.ReverseReplicating && s.Comparison.Complete })
	r.approve(migration.ActionAccept)
	r.runToPhase(migration.PhaseCompleted)
	a.Plan.From = 2
	require.NoError(t, r.databases.Publish(r.ctx, a), "it was given up")
}

func TestCheckReportsObstacles(t *testing.T) {
	r := newRig(t, 2, plan())
	c := r.dial(1)
	a := r.request()
	clean, err := r.databases.Check(r.ctx, a)
	require.NoError(t, err)
	require.Empty(t, clean)
	db := r.db(1)
	db.Table("bare", host.Traits{NoKey: true})
	db.Table("quiet", host.Traits{Unlogged: true})
	db.AddExtension("postgis")
	db.AddLargeObject()
	db.AddPrepared("p1")
	r.exec(c, "CREATE SEQUENCE numbers")
	r.exec(r.dial(2), "CREATE SEQUENCE numbers")
	r.exec(c, "CREATE TABLE wider (id bigint PRIMARY KEY, more text)")
	r.exec(r.dial(2), "CREATE TABLE wider (id bigint PRIMARY KEY)")
	r.exec(r.dial(2), "INSERT INTO entries VALUES ('there', '')")
	r.databases.FreeBytes = func(migration.Group) (float64, bool) { return 1, true }
	found, err := r.databases.Check(r.ctx, a)
	require.NoError(t, err)
	var names []string
	for _, f := range found {
		names = append(names, f.Reason+" "+f.Name)
	}
	require.Equal(t, []string{
		"extension_missing postgis", "large_objects ", "no_replica_identity public.bare", "no_room shop", "prepared_transaction p1",
		"schema_differs public.bare", "schema_differs public.wider", "sequence public.numbers", "target_not_empty public.entries",
		"unlogged_table public.quiet",
	}, names)
}

// Sequences stand at the new home where they stood, keys of several columns and tables without any come along.
func TestAllKindsOfTables(t *testing.T) {
	r := newRig(t, 2, plan())
	for g := range r.groups {
		c := r.dial(g)
		r.exec(c, "CREATE TABLE pairs (a bigint, b text, v text, PRIMARY KEY (a, b))")
		r.exec(c, "CREATE TABLE bare (v text)")
		r.exec(c, "ALTER TABLE bare REPLICA IDENTITY FULL")
		r.exec(c, "CREATE SEQUENCE used")
		r.exec(c, "CREATE SEQUENCE fresh START WITH 7")
	}
	c := r.dial(1)
	for i := range 250 {
		r.exec(c, fmt.Sprintf("INSERT INTO pairs VALUES (%d, 'k%d', '')", i%7, i))
	}
	r.exec(c, "INSERT INTO bare VALUES ('x'), ('x'), (NULL)")
	r.exec(c, "SELECT setval('used', 41)")
	r.runUntil(migration.OperationPause, nil)
	require.Equal(t, 5, r.state().Comparison.EqualRanges, "three of pairs, one of bare, one of entries")
	r.exec(c, "DELETE FROM pairs WHERE b = 'k9'")
	r.exec(c, "UPDATE bare SET v = 'y' WHERE v IS NULL")
	r.exec(c, "SELECT nextval('used')")
	r.runToPhase(migration.PhaseSwitched)
	to := r.dial(2)
	require.Equal(t, "43", r.exec(to, "SELECT nextval('used')")[0][0])
	require.Equal(t, "7", r.exec(to, "SELECT nextval('fresh')")[0][0])
	require.Equal(t, "249", r.exec(to, "SELECT count(*) FROM pairs")[0][0])
	require.Equal(t, [][]string{{"x"}, {"x"}, {"y"}}, r.exec(to, "SELECT v FROM bare ORDER BY v"))
}
