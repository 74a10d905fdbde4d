package sql

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/move"
	"ashstand/internal/cluster/owner"
	"ashstand/internal/cluster/place"
	"ashstand/lab/host"
)

const tenant = "shop"

// rig is groups of two hosts each, a ledger with one move, and agreed rules that are in force at once.
type rig struct {
	t      testing.TB
	ctx    context.Context
	groups map[move.Group]*host.Cluster
	places *Places
	mover  *move.Mover
	ledger owner.Ledger

	mu      sync.Mutex
	rules   map[string]any
	version int
}

func newRig(t testing.TB, groups int, plan move.Plan) *rig {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	r := &rig{t: t, ctx: ctx, groups: map[move.Group]*host.Cluster{}, rules: map[string]any{"database.shop.group": float64(plan.From)}}
	for g := range move.Group(groups) {
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
	r.places = &Places{Client: &place.Client{User: "works", Hosts: r.hosts}, Idle: 300 * time.Millisecond, Rows: 100}
	costs := move.Costs{Log: 1, InForce: 1, Owner: 10, Place: 50}
	r.mover = &move.Mover{Places: r.places, Rules: r, Costs: costs}
	if plan.Checkpoints == nil {
		plan.Checkpoints = []string{move.AtAccepting}
	}
	if plan.Pause == 0 {
		plan.Pause = 3000
	}
	plan.Tenant = tenant
	spec, _ := json.Marshal(plan)
	if _, err := move.Parse(spec, costs); plan.Lock < plan.Pause {
		require.NoError(t, err)
	}
	r.enter(owner.Entry{Op: owner.Create, Work: "m1", Kind: "move", Spec: spec})
	r.owned()
	return r
}

func (r *rig) hosts(g uint64) (out []place.Host) {
	c := r.groups[g]
	for _, h := range c.Hosts() {
		out = append(out, place.Host{Name: h.Name, Address: h.Address, Group: g, Primary: h == c.Leader()})
	}
	return out
}

func (r *rig) Now() (map[string]any, int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.rules), r.version, true
}

func (r *rig) Change(_ context.Context, _ string, _ owner.Token, keys map[string]any) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.Copy(r.rules, keys)
	r.version++
	return r.version, nil
}

func (r *rig) Limited(string) bool { return true }

func (r *rig) home() move.Group {
	rules, _, _ := r.Now()
	return move.Group(rules["database.shop.group"].(float64))
}

func (r *rig) enter(e owner.Entry) {
	r.t.Helper()
	refusal := r.ledger.Apply(e)
	require.Nil(r.t, refusal, "%v", refusal)
}

func (r *rig) work() *owner.Work { return r.ledger.Works["m1"] }

func (r *rig) state() move.State {
	s, err := move.StateOf(r.work())
	require.NoError(r.t, err)
	return s
}

// owned gives the work a new owner.
func (r *rig) owned() {
	r.enter(owner.Entry{Op: owner.Assign, Work: "m1", Token: r.work().Token, To: "n", Instance: 1})
}

func (r *rig) say(word string) {
	r.enter(owner.Entry{Op: owner.Say, Work: "m1", Word: &owner.Word{Say: word, Step: r.work().Step, Lasting: word == move.Rollback}})
}

// announce logs what comes next; false: nothing does now.
func (r *rig) announce() bool {
	w := *r.work()
	seen, err := r.mover.Watch(r.ctx, &w)
	require.NoError(r.t, err)
	s := r.mover.Next(float64(time.Now().UnixMicro())/1e3, &w, seen)
	if s.Deed == "" {
		return false
	}
	r.enter(owner.Entry{Op: owner.Announce, Work: "m1", Token: w.Token, Step: w.Step, Word: s.Took,
		Deed: &owner.Deed{Number: w.Next(), Name: s.Deed, Data: s.Data}})
	return true
}

func (r *rig) do() error {
	w := *r.work()
	p, err := r.mover.Do(r.ctx, &w, w.Deed)
	if err == nil {
		r.prove(p)
	}
	return err
}

func (r *rig) prove(p owner.Proof) {
	w := r.work()
	r.enter(owner.Entry{Op: owner.Prove, Work: "m1", Token: w.Token, Deed: w.Deed, State: p.State, Ended: p.Ended, Why: p.Why})
}

// act is the deed that is announced, as its present owner would do it.
func (r *rig) act() move.Act {
	w := r.work()
	a := move.Act{Work: w.Name, Token: w.Token, State: r.state()}
	require.NoError(r.t, json.Unmarshal(w.Spec, &a.Plan))
	if d := w.Deed; d != nil {
		a.Deed, a.Name, a.Told = d.ID(w.Name), d.Name, d.Token
		require.NoError(r.t, json.Unmarshal(d.Data, &a.Data))
	}
	return a
}

// until goes on until a deed is announced, or with "" until the state is as asked for.
func (r *rig) until(deed string, is func(move.State) bool) {
	r.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		if w := r.work(); w.Ended || deed == "" && is(r.state()) {
			return
		}
		if r.work().Deed == nil && !r.announce() {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		if r.work().Deed.Name == deed {
			return
		}
		require.NoError(r.t, r.do(), r.work().Name)
	}
	require.Fail(r.t, "it does not come to that", "%s %+v", deed, r.state())
}

func (r *rig) phase(p move.Phase) {
	r.t.Helper()
	r.until("", func(s move.State) bool { return s.Phase == p })
	require.Equal(r.t, p, r.state().Phase, "%+v", r.state())
}

func (r *rig) dial(g move.Group) *pgconn.PgConn {
	c, _, err := (&place.Client{User: "web", Hosts: r.hosts}).Primary(r.ctx, g, tenant)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { place.Close(c) })
	return c
}

func (r *rig) exec(c *pgconn.PgConn, sql string) [][]string {
	r.t.Helper()
	rows, _, err := place.Exec(r.ctx, c, sql)
	require.NoError(r.t, err, sql)
	return rows
}

func (r *rig) db(g move.Group) *host.Database { return r.groups[g].Database(tenant) }

// writers insert and update rows of their own until they are stopped, each where the tenant is served: who is told that it
// is closed there tries again. They know nothing of pauses.
type writers struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	acked map[string]string
	shut  int // were refused
	doubt map[string]bool
}

func (r *rig) write(n int, perSecond float64) *writers {
	w := &writers{stop: make(chan struct{}), acked: map[string]string{}, doubt: map[string]bool{}}
	for i := range n {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			var conn *pgconn.PgConn
			at := move.Group(0)
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
					if home := r.home(); conn == nil || at != home {
						if conn != nil {
							place.Close(conn)
						}
						var err error
						if conn, _, err = (&place.Client{User: "web", Hosts: r.hosts}).Primary(r.ctx, home, tenant); err != nil {
							conn = nil
							continue
						}
						at = home
					}
					_, touched, err := place.Exec(r.ctx, conn, sql, key, value)
					w.mu.Lock()
					switch {
					case err == nil && touched == 1:
						w.acked[key], done = value, true
					case err == nil:
						done = true
						w.doubt[key] = true
					case code(err) == "55000":
						w.shut++
					default:
						w.doubt[key], done = true, true
						place.Close(conn)
						conn = nil
					}
					w.mu.Unlock()
				}
			}
		}()
	}
	r.t.Cleanup(w.end)
	return w
}

func (w *writers) end() {
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
	return len(w.acked)
}

// kept requires that a group holds what was acknowledged, each row once in its history.
func (r *rig) kept(w *writers, g move.Group) {
	r.t.Helper()
	rows := map[string]string{}
	for _, row := range r.db(g).Dump("entries") {
		rows[row["ref"]] = row["payload"]
	}
	for key, value := range w.acked {
		if !w.doubt[key] {
			require.Equal(r.t, value, rows[key], key)
		}
		seen := map[string]bool{}
		for _, v := range r.db(g).History("entries", key) {
			require.False(r.t, v.Deleted)
			require.False(r.t, seen[v.Values["payload"]], "%s was written twice: %v", key, r.db(g).History("entries", key))
			seen[v.Values["payload"]] = true
		}
	}
}

func plan() move.Plan { return move.Plan{From: 1, To: 2, Lock: 200} }

func TestAMoveUnderWrites(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(500)
	w := r.write(4, 200)
	r.phase(move.Switched)
	r.until("", func(s move.State) bool { return s.Fed && s.Compare.All })
	require.Equal(t, move.Group(2), r.home())
	at := w.count()
	require.Eventually(t, func() bool { return w.count() > at+20 }, 5*time.Second, time.Millisecond)
	r.say(move.Accept)
	r.phase(move.Done)
	w.end()
	require.Positive(t, w.shut)
	r.kept(w, 2)
	require.Len(t, r.db(2).Dump("entries"), 500+len(inserted(w)))
	// The old home stays fenced, and nothing of the move stands at either home but that.
	_, _, err := place.Exec(r.ctx, r.dial(1), "INSERT INTO entries VALUES ('late', '')")
	require.Equal(t, "55000", code(err))
	for g := range r.groups {
		c := r.dial(g)
		require.Empty(t, r.exec(c, "SELECT subname FROM pg_subscription"))
		require.Empty(t, r.exec(c, "SELECT slot_name FROM pg_replication_slots"))
		require.Empty(t, r.exec(c, "SELECT pubname FROM pg_publication"))
		require.Empty(t, r.exec(c, "SELECT tgname FROM pg_trigger WHERE tgname LIKE 'z%'"))
	}
}

func inserted(w *writers) (keys []string) {
	for k := range w.acked {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func TestTakenBackAfterTheSwitchLosesNoCommit(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(300)
	w := r.write(4, 200)
	r.phase(move.Switched)
	at := w.count()
	require.Eventually(t, func() bool { return w.count() > at+20 }, 5*time.Second, time.Millisecond)
	r.say(move.Rollback)
	r.phase(move.TakenBack)
	require.Equal(t, move.Group(1), r.home())
	at = w.count()
	require.Eventually(t, func() bool { return w.count() > at+20 }, 5*time.Second, time.Millisecond)
	w.end()
	r.kept(w, 1)
	require.Empty(t, r.db(2).Dump("entries"))
}

var errPgNone *pgconn.PgError

func fenced(err error) bool {
	var f *owner.Fenced
	return errors.As(err, &f)
}

var _ = strings.Contains
var _ = errPgNone
