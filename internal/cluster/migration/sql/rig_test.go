package sql

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
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
		plan.Checkpoints = []migration.Checkpoint{migration.CheckpointAccepting}
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
		a.OperationID, a.Operation, a.AnnouncedToken = d.ID(w.Name), migration.Operation(d.Name), d.Token
		require.NoError(r.t, json.Unmarshal(d.Data, &a.Data))
	}
	return a
}

// runUntil goes on until a deed is announced, or with "" until the state is as asked for.
func (r *rig) runUntil(operation migration.Operation, is func(migration.State) bool) {
	r.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		if w := r.job(); w.Finished || operation == "" && is(r.state()) {
			return
		}
		if r.job().Operation == nil && !r.announce() {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		if r.job().Operation.Name == string(operation) {
			return
		}
		require.NoError(r.t, r.execute(), r.job().Name)
	}
	require.Fail(r.t, "it does not come to that", "%s %+v", operation, r.state())
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

func plan() migration.Plan { return migration.Plan{From: 1, To: 2, FenceWaitMillis: 200} }

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

// awaitCopies waits until the initial copies of all subscriptions are complete: until then, what a group stores changes by itself.
func (r *rig) awaitCopies() {
	r.t.Helper()
	for g := range r.groups {
		conn := r.dial(g)
		isComplete := func() bool {
			return !slices.ContainsFunc(r.exec(conn, "SELECT srsubstate FROM pg_subscription_rel"), func(row []string) bool { return row[0] != tableReady })
		}
		require.Eventually(r.t, isComplete, 20*time.Second, time.Millisecond)
		fencing.Close(conn)
	}
}

// requireEqualRows waits until both homes hold the same rows.
func (r *rig) requireEqualRows(a, b migration.Group) {
	r.t.Helper()
	rows := func(g migration.Group) []map[string]string { return r.db(g).Dump("entries") }
	require.Eventually(r.t, func() bool { return fmt.Sprint(rows(a)) == fmt.Sprint(rows(b)) }, 5*time.Second, 5*time.Millisecond)
}
