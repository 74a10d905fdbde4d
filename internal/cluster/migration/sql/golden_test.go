package sql

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
	"ashstand/testbed/host"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew")

// requireGolden compares text with a committed file, byte for byte.
func requireGolden(t *testing.T, file, text string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", file)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), text)
}

// goldenRun plays deeds with fixed inputs against two groups and writes down what was sent and what is stored then.
type goldenRun struct {
	*rig
	log    *statementLog
	out    strings.Builder
	plan   migration.Plan
	state  migration.State
	token  jobs.FencingToken
	number uint64
}

func newGoldenRun(t *testing.T, plan migration.Plan) *goldenRun {
	g := &goldenRun{rig: newRig(t, 2, plan), log: &statementLog{lines: map[migration.Group][]string{}}, plan: plan, token: 5, number: 10}
	g.plan.Tenant = tenant
	g.state.Phase = migration.PhasePlanned
	addresses := map[string]string{}
	for group := range g.groups {
		for _, h := range g.hosts(group) {
			addresses[h.Name] = g.log.listen(t, group, h.Address)
		}
	}
	g.databases = &Databases{RangeRows: 10, Client: &fencing.Client{User: "works", Hosts: func(group uint64) []fencing.Host {
		list := g.hosts(group)
		for i := range list {
			list[i].Address = addresses[list[i].Name]
		}
		return list
	}}, SampleQueries: func(string, int) []string { return []string{"SELECT count(*) FROM entries"} }}
	return g
}

// next is the next deed.
func (g *goldenRun) next(name migration.Operation) migration.Request {
	g.number++
	return g.present(name)
}

// present is the deed that was announced last, under another name.
func (g *goldenRun) present(name migration.Operation) migration.Request {
	return migration.Request{
		Plan: g.plan, Job: "m1", Token: g.token, AnnouncedToken: g.token, Number: g.number, OperationID: fmt.Sprintf("m1/%d", g.number), Operation: name,
		State: g.state, Data: migration.OperationData{TimeoutMillis: 20000},
	}
}

// step does something and writes down what it sent.
func (g *goldenRun) step(title string, do func() (any, error)) {
	g.t.Helper()
	for group := range g.groups {
		g.log.take(group)
	}
	result, err := do()
	require.NoError(g.t, err, title)
	fmt.Fprintf(&g.out, "== %s\n", title)
	if result != nil {
		text, err := json.Marshal(result)
		require.NoError(g.t, err)
		fmt.Fprintf(&g.out, "-- result: %s\n", regexp.MustCompile(`"(pid|position)":[0-9]+|"age":"[^"]*"`).ReplaceAllString(string(text), `"VARIES"`))
	}
	for _, group := range []migration.Group{1, 2} {
		fmt.Fprintf(&g.out, "-- sent to group %d\n", group)
		for _, line := range steady(g.log.take(group), strings.HasPrefix(title, "close")) {
			fmt.Fprintln(&g.out, line)
		}
	}
	for _, group := range []migration.Group{1, 2} {
		g.writeStored(group)
	}
}

// writeStored writes down what a migration keeps in a group.
func (g *goldenRun) writeStored(group migration.Group) {
	fmt.Fprintf(&g.out, "-- stored in group %d\n", group)
	for _, row := range g.db(group).Dump("ashstand.book") {
		fmt.Fprintln(&g.out, masked("book: "+row["item"]+" = "+row["value"]))
	}
	for _, row := range g.db(group).Dump("ashstand.gate") {
		fmt.Fprintln(&g.out, "gate: id", row["id"], "closed", row["closed"])
	}
	for _, row := range g.db(group).Dump("ashstand.fence") {
		fmt.Fprintln(&g.out, "fence:", row["work"], "token", row["token"])
	}
	for _, row := range g.db(group).Dump("ashstand.touched") {
		fmt.Fprintln(&g.out, "touched:", row["tab"], row["key"])
	}
}

// recover plays a new owner that finds out about a deed.
func (g *goldenRun) recover(a migration.Request) {
	g.t.Helper()
	g.token++
	a.Token = g.token
	g.step("look for "+string(a.Operation), func() (any, error) {
		f, err := g.databases.Recover(g.ctx, a)
		return []any{f.Done, f.Timelines, f.Fence}, err
	})
}

// awaitReplication waits until the copy of all tables has come to its end.
func (g *goldenRun) awaitReplication(home, other migration.Group) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		p, err := g.databases.ReplicationStatus(g.ctx, g.present(""), home, other)
		return err == nil && p.TablesCopied && !p.SlotLost && p.AppliedLSN >= p.SourceLSN
	}, 20*time.Second, 20*time.Millisecond)
}

func (g *goldenRun) progress(home, other migration.Group) {
	g.t.Helper()
	a := g.present("")
	a.OperationID = ""
	g.step("progress, "+string(g.state.Phase), func() (any, error) {
		p, err := g.databases.ReplicationStatus(g.ctx, a, home, other)
		return []bool{p.Reachable, p.TablesCopied, p.SlotLost, p.TargetUnfenced, p.TrackingLost, p.TargetAhead}, err
	})
}

func (g *goldenRun) publish() migration.Request {
	a := g.next(migration.OperationPublish)
	g.step("publish", func() (any, error) { return nil, g.databases.Publish(g.ctx, a) })
	return a
}

func (g *goldenRun) subscribe() migration.Request {
	a := g.next(migration.OperationSubscribe)
	g.step("subscribe", func() (any, error) { return g.databases.Subscribe(g.ctx, a) })
	g.state.Phase = migration.PhaseCopying
	return a
}

// copyTables hands over one table, and then the others.
func (g *goldenRun) copyTables() {
	for _, rows := range []float64{0, 1e6} {
		a := g.next(migration.OperationCopy)
		a.Data.Rows = rows
		g.step(fmt.Sprintf("copy, %v rows", rows), func() (any, error) {
			out, err := g.databases.Copy(g.ctx, a)
			g.state.Copy.LastTable, g.state.Copy.Complete = out.LastTable, out.Complete
			return out, err
		})
	}
	g.awaitReplication(1, 2)
}

func (g *goldenRun) track(home, other migration.Group) migration.Request {
	a := g.next(migration.OperationTrack)
	g.step("mark", func() (any, error) {
		lines, err := g.databases.Track(g.ctx, a, home, other)
		g.state.Timelines = lines
		return lines, err
	})
	return a
}

func (g *goldenRun) compare(title string, home, other migration.Group) {
	a := g.next(migration.OperationCompare)
	g.step(title, func() (any, error) {
		out, err := g.databases.Compare(g.ctx, a, home, other)
		g.state.Comparison = migration.ComparisonCheckpoint{LastRange: out.LastRange, Complete: out.Complete}
		return out, err
	})
}

func (g *goldenRun) seed() {
	for group := range g.groups {
		c := g.dial(group)
		g.exec(c, "CREATE TABLE pairs (a bigint, b text, v text, PRIMARY KEY (a, b))")
		g.exec(c, "CREATE TABLE bare (v text)")
		g.exec(c, "ALTER TABLE bare REPLICA IDENTITY FULL")
		g.exec(c, "CREATE SEQUENCE numbers")
	}
	g.db(1).Table("entries", host.Traits{}).Seed(25)
	c := g.dial(1)
	for i := range 13 {
		g.exec(c, fmt.Sprintf("INSERT INTO pairs VALUES (%d, 'k''%d', '')", i%3, i))
	}
	g.exec(c, "INSERT INTO bare VALUES ('x'), ('x'), (NULL)")
	g.exec(c, "SELECT setval('numbers', 41)")
}

// The statements of each deed, what it returns and what it leaves stored, of a migration that is accepted.
func TestGoldenStatementsOfAnAcceptedMigration(t *testing.T) {
	g := newGoldenRun(t, migration.Plan{From: 1, To: 2, FenceWaitMillis: 1000, OldCopy: "drop", SampledQueries: 1, MaxPauseMillis: 5000})
	g.seed()
	g.step("check", func() (any, error) { return g.databases.Check(g.ctx, g.next(migration.OperationCheck)) })
	g.recover(g.next(migration.OperationPublish))
	g.recover(g.publish())
	g.recover(g.next(migration.OperationSubscribe))
	g.recover(g.subscribe())
	g.copyTables()
	g.progress(1, 2)
	g.state.Phase = migration.PhaseCatchingUp
	g.recover(g.next(migration.OperationTrack))
	g.recover(g.track(1, 2))
	g.progress(1, 2)
	g.compare("compare", 1, 2)
	g.exec(g.dial(1), "UPDATE entries SET payload = 'touched' WHERE ref = 'seed-0000014'")
	g.compare("compare, to the end already", 1, 2)
	g.state.Comparison = migration.ComparisonCheckpoint{LastRange: `["public.entries","seed-0000009"]`}
	byHand := g.dial(2)
	g.exec(byHand, "SET session_replication_role = replica")
	g.exec(byHand, "UPDATE entries SET payload = 'by hand' WHERE ref = 'seed-0000022'")
	g.compare("compare, one row differs", 1, 2)
	g.exec(byHand, "DELETE FROM entries WHERE ref = 'seed-0000022'")
	values := g.exec(g.dial(1), "SELECT payload FROM entries WHERE ref = 'seed-0000022'")
	g.exec(byHand, "INSERT INTO entries (ref, payload) VALUES ('seed-0000022', '"+values[0][0]+"')")
	g.fence()
	g.verify()
	a := g.next(migration.OperationSwitch)
	g.step("fenced", func() (any, error) {
		closed, line, err := g.databases.FenceStatus(g.ctx, a, 1)
		return []any{closed, line}, err
	})
	g.step("open", func() (any, error) { return nil, g.databases.Unfence(g.ctx, a, 2) })
	g.state.Phase = migration.PhaseSwitched
	g.replicateBack()
	a = g.next(migration.OperationFinish)
	g.step("finish", func() (any, error) { return nil, g.databases.Finish(g.ctx, a) })
	g.state.Phase = migration.PhaseAccepted
	g.recover(a)
	requireGolden(t, "statements-accepted.txt", g.out.String())
}

// fence plays a closing that has to end a session, and finds out about it.
func (g *goldenRun) fence() {
	straggler := g.dial(1)
	g.exec(straggler, "BEGIN")
	g.exec(straggler, "INSERT INTO entries (ref, payload) VALUES ('straggler', '')")
	a := g.next(migration.OperationFence)
	a.Data.TimeoutMillis, a.Data.EndBlockingSessions = 1000, true
	g.state.Phase = migration.PhaseFencing
	a.State.Phase = migration.PhaseFencing
	g.recover(g.next(migration.OperationFence))
	a.Token, a.AnnouncedToken, a.OperationID = g.token, g.token, fmt.Sprintf("m1/%d", g.number+1)
	g.number++
	g.step("close, and end a session", func() (any, error) {
		closed, held, err := g.databases.Fence(g.ctx, a, 1)
		return []any{closed, held}, err
	})
	g.recover(a)
}

func (g *goldenRun) verify() {
	g.state.Phase = migration.PhaseVerifying
	require.Eventually(g.t, func() bool {
		p, err := g.databases.ReplicationStatus(g.ctx, g.present(""), 1, 2)
		return err == nil && p.AppliedLSN >= p.SourceLSN
	}, 20*time.Second, 20*time.Millisecond)
	a := g.next(migration.OperationVerify)
	g.step("verify what was touched", func() (any, error) { return g.databases.Verify(g.ctx, a, 1, 2) })
	a = g.next(migration.OperationVerify)
	a.State.Timelines = migration.Timelines{}
	g.step("verify everything", func() (any, error) { return g.databases.Verify(g.ctx, a, 1, 2) })
}

// replicateBack plays the way back: the old home follows the new one, by the slot that was made for it and then by another.
func (g *goldenRun) replicateBack() {
	g.recover(g.next(migration.OperationReplicateBack))
	a := g.next(migration.OperationReplicateBack)
	g.step("feed", func() (any, error) { return g.databases.ReplicateBack(g.ctx, a) })
	g.recover(a)
	a = g.next(migration.OperationReplicateBack)
	g.step("feed, it follows already", func() (any, error) { return g.databases.ReplicateBack(g.ctx, a) })
	g.track(2, 1)
	g.state.Comparison = migration.ComparisonCheckpoint{}
	g.awaitReplication(2, 1)
	g.progress(2, 1)
	g.compare("compare on the way back", 2, 1)
	a = g.next(migration.OperationReplicateBack)
	a.Data.Recopy = true
	g.step("feed, anew", func() (any, error) { return g.databases.ReplicateBack(g.ctx, a) })
	g.awaitReplication(2, 1)
}

// The statements of each deed of a migration that is rolled back before its switch.
func TestGoldenStatementsOfAMigrationRolledBack(t *testing.T) {
	g := newGoldenRun(t, migration.Plan{From: 1, To: 2, FenceWaitMillis: 1000, MaxPauseMillis: 5000})
	g.seed()
	g.publish()
	g.subscribe()
	g.copyTables()
	a := g.next(migration.OperationSubscribe)
	a.Data.Recopy = true
	g.step("subscribe anew", func() (any, error) { return g.databases.Subscribe(g.ctx, a) })
	g.state.Copy = migration.CopyCheckpoint{}
	g.copyTables()
	g.track(1, 2)
	g.recover(g.next(migration.OperationCleanUp))
	a = g.next(migration.OperationCleanUp)
	g.step("clear", func() (any, error) { return nil, g.databases.CleanUp(g.ctx, a) })
	g.recover(a)
	requireGolden(t, "statements-rolled-back.txt", g.out.String())
}

// The digests of rows, the cursors and the names that are stored or compared between two programs.
func TestGoldenDigestsAndNames(t *testing.T) {
	var out strings.Builder
	shop := &table{schema: "public", name: "pa\"irs", columns: []string{"a", "b", "v"}, types: []string{"bigint", "text", "bytea"}, key: []int{0, 1}}
	bare := &table{schema: "public", name: "bare", columns: []string{"v"}, types: []string{"text"}}
	rows := [][][]byte{{[]byte("1"), []byte("k'1\"<&>é"), nil}, {[]byte("2"), []byte(""), []byte(`\x00ff`)}, {[]byte("-3"), []byte("a,b"), []byte{}}}
	var all rowSet
	for _, values := range rows {
		all.add(shop, values)
	}
	for _, r := range all.rows {
		fmt.Fprintf(&out, "row %s: %d %016x\n", r.key, r.digest.Rows, r.digest.Sum)
		list := decodeKey(r.key)
		require.Equal(t, r.key, encodeKey(list))
		text := cursor{table: shop.fullName(), after: list}.encode()
		fmt.Fprintf(&out, "cursor %s\n", text)
		require.Equal(t, text, encodeKey(decodeKey(text)))
	}
	fmt.Fprintf(&out, "range: %d %016x, shown as %s\n", all.digest.Rows, all.digest.Sum, all.digest)
	var keyless rowSet
	keyless.add(bare, [][]byte{nil})
	keyless.add(bare, [][]byte{[]byte("x")})
	fmt.Fprintf(&out, "no key: %d rows listed, %d %016x\n", len(keyless.rows), keyless.digest.Rows, keyless.digest.Sum)
	fmt.Fprintf(&out, "cursor past a table: %s\n", cursor{table: bare.fullName()}.encode())
	for _, tab := range []*table{shop, bare} {
		fmt.Fprintf(&out, "table %s, shape %s\n", tab.quoted(), tab.shape())
		for _, statement := range append(tab.createGuards(), tab.createTracking()...) {
			fmt.Fprintln(&out, statement)
		}
	}
	a := migration.Request{Job: "shop-to-2", Token: 9, AnnouncedToken: 7, OperationID: "shop-to-2/31"}
	for _, kind := range []objectKind{kindForward, kindReverseSlot, kindReverse} {
		fmt.Fprintf(&out, "name of kind %s: %s\n", kind, objectName(a, kind))
	}
	for _, text := range []string{objectName(a, kindForward), "ash_01234567_f_9_31", "ash_01234567_f_9_32", "ash_01234567_f_10_1", "ash_01234567_f_x_1", "other", "ash_a_b"} {
		fmt.Fprintf(&out, "removable %s: %v\n", text, isRemovable(text, a))
	}
	fmt.Fprintln(&out, "codes:", (&StatementError{}).Code(), (&OperationSettledError{}).Code(), (&WritersActiveError{}).Code(), (&ReplicationLagError{}).Code())
	requireGolden(t, "digests.txt", out.String())
}
