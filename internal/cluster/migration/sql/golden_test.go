package sql

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
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

// statementLog holds, by group, what migrations sent to the database hosts of the group.
type statementLog struct {
	mu    sync.Mutex
	lines map[migration.Group][]string
}

func (l *statementLog) add(group migration.Group, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines[group] = append(l.lines[group], line)
}

// take returns the lines of a group and forgets them.
func (l *statementLog) take(group migration.Group) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.lines[group]
	delete(l.lines, group)
	return lines
}

// listen starts a proxy in front of a host, which logs the statements of each connection that a migration opens itself.
func (l *statementLog) listen(t *testing.T, group migration.Group, host string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { l.proxy(group, client, host) })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); wg.Wait() })
	return listener.Addr().String()
}

func (l *statementLog) proxy(group migration.Group, client net.Conn, address string) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	})
	defer func() { _ = server.Close() }()
	start := make([]byte, 4)
	if _, err = io.ReadFull(client, start); err != nil {
		return
	}
	start = append(start, make([]byte, binary.BigEndian.Uint32(start)-4)...)
	if _, err = io.ReadFull(client, start[4:]); err != nil {
		return
	}
	if _, err = server.Write(start); err != nil {
		return
	}
	var startup pgproto3.StartupMessage
	logged := startup.Decode(start[4:]) == nil && startup.Parameters["application_name"] == "ashstand works"
	if logged {
		l.add(group, fmt.Sprintf("connect: user=%s database=%s", startup.Parameters["user"], startup.Parameters["database"]))
	}
	for {
		message := make([]byte, 5)
		if _, err = io.ReadFull(client, message); err != nil {
			return
		}
		message = append(message, make([]byte, binary.BigEndian.Uint32(message[1:])-4)...)
		if _, err = io.ReadFull(client, message[5:]); err != nil {
			return
		}
		if line := frontendLine(message[0], message[5:]); logged && line != "" {
			l.add(group, line)
		}
		if _, err = server.Write(message); err != nil {
			return
		}
	}
}

// frontendLine is a message that carries a statement or its arguments as a line of text; "": another one.
func frontendLine(kind byte, body []byte) string {
	switch kind {
	case 'Q':
		var query pgproto3.Query
		if query.Decode(body) == nil {
			return "query: " + oneLine(query.String)
		}
	case 'P':
		var parse pgproto3.Parse
		if parse.Decode(body) == nil {
			return strings.TrimSpace("parse "+parse.Name) + ": " + oneLine(parse.Query)
		}
	case 'B':
		var bind pgproto3.Bind
		if bind.Decode(body) == nil && len(bind.Parameters) > 0 {
			line := strings.TrimSpace("bind "+bind.PreparedStatement) + ":"
			for _, value := range bind.Parameters {
				line += fmt.Sprintf(" %q", value)
			}
			return line
		}
	}
	return ""
}

func oneLine(text string) string {
	if strings.ContainsAny(text, "\n\t") {
		return strconv.Quote(text)
	}
	return text
}

// What differs from run to run: ports, process ids and positions in a log.
var masks = []struct {
	found *regexp.Regexp
	shown string
}{
	{regexp.MustCompile(`port=[0-9,]+`), "port=PORTS"},
	{regexp.MustCompile(`pg_terminate_backend\([0-9]+\)`), "pg_terminate_backend(PID)"},
	{regexp.MustCompile(`("closed" "m[0-9]+/[0-9]+ [0-9]+) [0-9]+"`), `$1 POSITION"`},
	{regexp.MustCompile(`(closed = m[0-9]+/[0-9]+ [0-9]+) [0-9]+`), `$1 POSITION`},
}

func masked(line string) string {
	for _, m := range masks {
		line = m.found.ReplaceAllString(line, m.shown)
	}
	return line
}

const terminate = "parse: SELECT pg_terminate_backend(PID)"

// steady makes lines the same from run to run: how often a wait asked, and the order of what a map held, does not count.
func steady(lines []string, keepTerminate bool) (out []string) {
	for _, line := range lines {
		if line = masked(line); keepTerminate || line != terminate {
			out = append(out, line)
		}
	}
	for from := 0; from < len(out); from++ {
		to := from
		for to < len(out) && (strings.HasPrefix(out[to], "bind ashstand_key:") || strings.HasPrefix(out[to], "parse: SELECT pg_drop_replication_slot(")) {
			to++
		}
		slices.Sort(out[from:to])
		from = max(from, to-1)
	}
	for again := true; again; {
		again = false
		for length := 1; length <= 6; length++ {
			for i := 0; i+2*length <= len(out); i++ {
				block := out[i : i+length]
				if slices.Equal(block, out[i+length:i+2*length]) && slices.ContainsFunc(block, polled) && !slices.ContainsFunc(block, writes) {
					out, again = slices.Delete(out, i, i+length), true
				}
			}
		}
	}
	return out
}

func polled(line string) bool {
	return strings.HasPrefix(line, "parse: SELECT pid, ") || strings.HasPrefix(line, "parse: SELECT slot_name, ") || strings.HasPrefix(line, "parse: SELECT pubname ")
}

func writes(line string) bool {
	return !strings.HasPrefix(line, "parse: SELECT ") && !strings.HasPrefix(line, "bind: ")
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
	g.state.Phase = migration.Planned
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
func (g *goldenRun) next(name string) migration.Act {
	g.number++
	return g.present(name)
}

// present is the deed that was announced last, under another name.
func (g *goldenRun) present(name string) migration.Act {
	return migration.Act{
		Plan: g.plan, Work: "m1", Token: g.token, Told: g.token, Number: g.number, Deed: fmt.Sprintf("m1/%d", g.number), Name: name,
		State: g.state, Data: migration.Data{Within: 20000},
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
func (g *goldenRun) recover(a migration.Act) {
	g.t.Helper()
	g.token++
	a.Token = g.token
	g.step("look for "+a.Name, func() (any, error) {
		f, err := g.databases.Look(g.ctx, a)
		return []any{f.Done, f.Lines, f.Closed}, err
	})
}

// awaitReplication waits until the copy of all tables has come to its end.
func (g *goldenRun) awaitReplication(home, other migration.Group) {
	g.t.Helper()
	require.Eventually(g.t, func() bool {
		p, err := g.databases.Progress(g.ctx, g.present(""), home, other)
		return err == nil && p.Ready && !p.SlotLost && p.Applied >= p.HomePos
	}, 20*time.Second, 20*time.Millisecond)
}

func (g *goldenRun) progress(home, other migration.Group) {
	g.t.Helper()
	a := g.present("")
	a.Deed = ""
	g.step("progress, "+string(g.state.Phase), func() (any, error) {
		p, err := g.databases.Progress(g.ctx, a, home, other)
		return []bool{p.Reached, p.Ready, p.SlotLost, p.FenceOff, p.Unmarked, p.Ahead}, err
	})
}

func (g *goldenRun) publish() migration.Act {
	a := g.next(migration.DeedPublish)
	g.step("publish", func() (any, error) { return nil, g.databases.Publish(g.ctx, a) })
	return a
}

func (g *goldenRun) subscribe() migration.Act {
	a := g.next(migration.DeedSubscribe)
	g.step("subscribe", func() (any, error) { return g.databases.Subscribe(g.ctx, a) })
	g.state.Phase = migration.Copying
	return a
}

// copyTables hands over one table, and then the others.
func (g *goldenRun) copyTables() {
	for _, rows := range []float64{0, 1e6} {
		a := g.next(migration.DeedCopy)
		a.Data.Rows = rows
		g.step(fmt.Sprintf("copy, %v rows", rows), func() (any, error) {
			out, err := g.databases.Copy(g.ctx, a)
			g.state.Copy.After, g.state.Copy.All = out.After, out.All
			return out, err
		})
	}
	g.awaitReplication(1, 2)
}

func (g *goldenRun) track(home, other migration.Group) migration.Act {
	a := g.next(migration.DeedMark)
	g.step("mark", func() (any, error) {
		lines, err := g.databases.Mark(g.ctx, a, home, other)
		g.state.Lines = lines
		return lines, err
	})
	return a
}

func (g *goldenRun) compare(title string, home, other migration.Group) {
	a := g.next(migration.DeedCompare)
	g.step(title, func() (any, error) {
		out, err := g.databases.Compare(g.ctx, a, home, other)
		g.state.Compare = migration.Compare{After: out.After, All: out.All}
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
	g := newGoldenRun(t, migration.Plan{From: 1, To: 2, Lock: 1000, Old: "drop", Reads: 1, Pause: 5000})
	g.seed()
	g.step("check", func() (any, error) { return g.databases.Check(g.ctx, g.next(migration.DeedCheck)) })
	g.recover(g.next(migration.DeedPublish))
	g.recover(g.publish())
	g.recover(g.next(migration.DeedSubscribe))
	g.recover(g.subscribe())
	g.copyTables()
	g.progress(1, 2)
	g.state.Phase = migration.CatchingUp
	g.recover(g.next(migration.DeedMark))
	g.recover(g.track(1, 2))
	g.progress(1, 2)
	g.compare("compare", 1, 2)
	g.exec(g.dial(1), "UPDATE entries SET payload = 'touched' WHERE ref = 'seed-0000014'")
	g.compare("compare, to the end already", 1, 2)
	g.state.Compare = migration.Compare{After: `["public.entries","seed-0000009"]`}
	byHand := g.dial(2)
	g.exec(byHand, "SET session_replication_role = replica")
	g.exec(byHand, "UPDATE entries SET payload = 'by hand' WHERE ref = 'seed-0000022'")
	g.compare("compare, one row differs", 1, 2)
	g.exec(byHand, "DELETE FROM entries WHERE ref = 'seed-0000022'")
	values := g.exec(g.dial(1), "SELECT payload FROM entries WHERE ref = 'seed-0000022'")
	g.exec(byHand, "INSERT INTO entries (ref, payload) VALUES ('seed-0000022', '"+values[0][0]+"')")
	g.fence()
	g.verify()
	a := g.next(migration.DeedSwitch)
	g.step("fenced", func() (any, error) {
		closed, line, err := g.databases.Fenced(g.ctx, a, 1)
		return []any{closed, line}, err
	})
	g.step("open", func() (any, error) { return nil, g.databases.Open(g.ctx, a, 2) })
	g.state.Phase = migration.Switched
	g.replicateBack()
	a = g.next(migration.DeedFinish)
	g.step("finish", func() (any, error) { return nil, g.databases.Finish(g.ctx, a) })
	g.state.Phase = migration.Accepted
	g.recover(a)
	requireGolden(t, "statements-accepted.txt", g.out.String())
}

// fence plays a closing that has to end a session, and finds out about it.
func (g *goldenRun) fence() {
	straggler := g.dial(1)
	g.exec(straggler, "BEGIN")
	g.exec(straggler, "INSERT INTO entries (ref, payload) VALUES ('straggler', '')")
	a := g.next(migration.DeedClose)
	a.Data.Within, a.Data.End = 1000, true
	g.state.Phase = migration.Closing
	a.State.Phase = migration.Closing
	g.recover(g.next(migration.DeedClose))
	a.Token, a.Told, a.Deed = g.token, g.token, fmt.Sprintf("m1/%d", g.number+1)
	g.number++
	g.step("close, and end a session", func() (any, error) {
		closed, held, err := g.databases.Close(g.ctx, a, 1)
		return []any{closed, held}, err
	})
	g.recover(a)
}

func (g *goldenRun) verify() {
	g.state.Phase = migration.Verifying
	require.Eventually(g.t, func() bool {
		p, err := g.databases.Progress(g.ctx, g.present(""), 1, 2)
		return err == nil && p.Applied >= p.HomePos
	}, 20*time.Second, 20*time.Millisecond)
	a := g.next(migration.DeedVerify)
	g.step("verify what was touched", func() (any, error) { return g.databases.Verify(g.ctx, a, 1, 2) })
	a = g.next(migration.DeedVerify)
	a.State.Lines = migration.Lines{}
	g.step("verify everything", func() (any, error) { return g.databases.Verify(g.ctx, a, 1, 2) })
}

// replicateBack plays the way back: the old home follows the new one, by the slot that was made for it and then by another.
func (g *goldenRun) replicateBack() {
	g.recover(g.next(migration.DeedFeed))
	a := g.next(migration.DeedFeed)
	g.step("feed", func() (any, error) { return g.databases.Feed(g.ctx, a) })
	g.recover(a)
	a = g.next(migration.DeedFeed)
	g.step("feed, it follows already", func() (any, error) { return g.databases.Feed(g.ctx, a) })
	g.track(2, 1)
	g.state.Compare = migration.Compare{}
	g.awaitReplication(2, 1)
	g.progress(2, 1)
	g.compare("compare on the way back", 2, 1)
	a = g.next(migration.DeedFeed)
	a.Data.Again = true
	g.step("feed, anew", func() (any, error) { return g.databases.Feed(g.ctx, a) })
	g.awaitReplication(2, 1)
}

// The statements of each deed of a migration that is rolled back before its switch.
func TestGoldenStatementsOfAMigrationRolledBack(t *testing.T) {
	g := newGoldenRun(t, migration.Plan{From: 1, To: 2, Lock: 1000, Pause: 5000})
	g.seed()
	g.publish()
	g.subscribe()
	g.copyTables()
	a := g.next(migration.DeedSubscribe)
	a.Data.Again = true
	g.step("subscribe anew", func() (any, error) { return g.databases.Subscribe(g.ctx, a) })
	g.state.Copy = migration.Copy{}
	g.copyTables()
	g.track(1, 2)
	g.recover(g.next(migration.DeedClear))
	a = g.next(migration.DeedClear)
	g.step("clear", func() (any, error) { return nil, g.databases.Clear(g.ctx, a) })
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
		fmt.Fprintf(&out, "row %s: %d %016x\n", r.key, r.digest.Rows, r.digest.Digest)
		list := decodeKey(r.key)
		require.Equal(t, r.key, encodeKey(list))
		text := cursor(shop, list)
		fmt.Fprintf(&out, "cursor %s\n", text)
		require.Equal(t, text, encodeKey(decodeKey(text)))
	}
	fmt.Fprintf(&out, "range: %d %016x, shown as %s\n", all.digest.Rows, all.digest.Digest, all.digest)
	var keyless rowSet
	keyless.add(bare, [][]byte{nil})
	keyless.add(bare, [][]byte{[]byte("x")})
	fmt.Fprintf(&out, "no key: %d rows listed, %d %016x\n", len(keyless.rows), keyless.digest.Rows, keyless.digest.Digest)
	fmt.Fprintf(&out, "cursor past a table: %s\n", cursor(bare, nil))
	for _, tab := range []*table{shop, bare} {
		fmt.Fprintf(&out, "table %s, shape %s\n", tab.quoted(), shape(tab))
		for _, statement := range append(tab.createGuards(), tab.createTracking()...) {
			fmt.Fprintln(&out, statement)
		}
	}
	a := migration.Act{Work: "shop-to-2", Token: 9, Told: 7, Deed: "shop-to-2/31"}
	for _, kind := range []string{"f", "b", "r"} {
		fmt.Fprintf(&out, "name of kind %s: %s\n", kind, objectName(a, kind))
	}
	for _, text := range []string{objectName(a, "f"), "ash_01234567_f_9_31", "ash_01234567_f_9_32", "ash_01234567_f_10_1", "ash_01234567_f_x_1", "other", "ash_a_b"} {
		fmt.Fprintf(&out, "removable %s: %v\n", text, isRemovable(text, a))
	}
	fmt.Fprintln(&out, "codes:", (&StatementError{}).Code(), (&OperationSettledError{}).Code(), (&WritersActiveError{}).Code(), (&ReplicationLagError{}).Code())
	requireGolden(t, "digests.txt", out.String())
}
