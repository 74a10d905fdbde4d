package host

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// link is a proxy between two groups that tests cut, stall and resume.
type link struct {
	listen net.Listener
	to     string

	mu      sync.Mutex
	conns   []net.Conn
	refuse  bool
	stalled atomic.Bool
	deaf    atomic.Bool  // what the subscriber says does not arrive
	mute    atomic.Bool  // nor what the publisher says
	bytes   atomic.Int64 // from the publisher
	dials   atomic.Int64
}

func newLink(t *testing.T, to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{listen: l, to: to}
	t.Cleanup(func() {
		l.Close()
		k.cut(true)
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			k.dials.Add(1)
			k.mu.Lock()
			up, err := net.Dial("tcp", k.to)
			if err != nil || k.refuse {
				c.Close()
				if err == nil {
					up.Close()
				}
				k.mu.Unlock()
				continue
			}
			k.conns = append(k.conns, c, up)
			k.mu.Unlock()
			go k.pass(c, up, nil)
			go k.pass(up, c, &k.bytes)
		}
	}()
	return k
}

func (k *link) pass(from, to net.Conn, count *atomic.Int64) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		for k.stalled.Load() || k.deaf.Load() && count == nil || k.mute.Load() && count != nil {
			time.Sleep(time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
			if count != nil {
				count.Add(int64(n))
			}
		}
		if err != nil {
			return
		}
	}
}

// cut breaks all connections, and with refuse those to come.
func (k *link) cut(refuse bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refuse = refuse
	for _, c := range k.conns {
		c.Close()
	}
	k.conns = nil
}

func (k *link) info() string {
	_, port, _ := strings.Cut(k.listen.Addr().String(), ":")
	return "host=127.0.0.1 port=" + port + " user=mover sslmode=disable dbname=shop"
}

// pair is two groups with a database each and a link from the first to the second.
type pair struct {
	from, to *rig
	link     *link
	a, b     *client
}

func newPair(t *testing.T) *pair {
	p := &pair{from: newRig(t, 1, 2), to: newRig(t, 2, 2)}
	p.link = newLink(t, p.from.hosts[0].Address)
	p.a, p.b = p.from.dial(p.from.hosts[0]), p.to.dial(p.to.hosts[0])
	return p
}

func (p *pair) subscribe(with string) {
	if with != "" {
		with = " WITH (" + with + ")"
	}
	p.b.do("CREATE SUBSCRIPTION move CONNECTION '" + p.link.info() + "' PUBLICATION all_tables" + with)
}

func TestSubscriptionCopiesAndFollows(t *testing.T) {
	p := newPair(t)
	p.from.db.Table("entries", Traits{}).Seed(500)
	p.from.db.Table("quiet", Traits{Unlogged: true}).Seed(3)
	p.from.db.Table("bare", Traits{NoKey: true, Identity: 'n'})
	p.from.db.Table("full", Traits{NoKey: true, Identity: 'f'})
	for _, n := range []string{"bare", "full"} {
		p.to.db.Table(n, Traits{NoKey: true, Identity: 'f'})
	}
	a, b := p.a, p.b
	a.do("UPDATE bare SET payload = ''") // nothing is published yet
	a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
	require.Equal(t, "bare;entries;full", a.text("SELECT tablename FROM pg_publication_tables WHERE pubname = 'all_tables' ORDER BY 1"))
	require.Equal(t, "55000", a.code("UPDATE bare SET payload = 'x'"))
	require.Equal(t, "55000", a.code("DELETE FROM bare"))
	b.do("BEGIN")
	require.Equal(t, "25001", b.code("CREATE SUBSCRIPTION move CONNECTION '"+p.link.info()+"' PUBLICATION all_tables"))
	b.do("ROLLBACK")
	require.Equal(t, "08006", b.code("CREATE SUBSCRIPTION move CONNECTION 'host=127.0.0.1 port=1 user=x dbname=shop sslmode=disable' PUBLICATION all_tables"))
	p.subscribe("origin = none")
	require.Equal(t, "42710", b.code("CREATE SUBSCRIPTION move CONNECTION '"+p.link.info()+"' PUBLICATION all_tables"))
	b.becomes("r;r;r", "SELECT srsubstate FROM pg_subscription_rel")
	require.Equal(t, "500", b.text("SELECT count(*) FROM entries"))
	// Changes of all kinds, in the order of their commits.
	a.do("INSERT INTO bare VALUES ('1', 'x')")
	a.do("INSERT INTO full VALUES ('1', 'x'), ('1', 'y')")
	a.do("UPDATE full SET payload = 'z' WHERE payload = 'x'")
	a.do("BEGIN")
	a.do("INSERT INTO entries VALUES ('new', NULL)")
	a.do("UPDATE entries SET ref = 'newer', payload = 'q' WHERE ref = 'new'")
	a.do("DELETE FROM entries WHERE ref = 'seed-0000001'")
	a.do("COMMIT")
	a.do("UPDATE entries SET payload = 'changed' WHERE ref = 'seed-0000002'")
	at := a.text("SELECT pg_current_wal_lsn()")
	b.becomes("t", "SELECT latest_end_lsn >= '"+at+"' FROM pg_stat_subscription WHERE subname = 'move'")
	a.becomes("t", "SELECT confirmed_flush_lsn >= '"+at+"' AND active FROM pg_replication_slots WHERE slot_name = 'move'")
	require.Equal(t, p.from.db.Dump("entries"), p.to.db.Dump("entries"))
	require.Equal(t, "1,y;1,z", b.text("SELECT ref, payload FROM full ORDER BY payload"))
	require.Equal(t, "500", b.text("SELECT count(*) FROM entries"))
	require.Equal(t, "changed", b.text("SELECT payload FROM entries WHERE ref = 'seed-0000002'"))
	require.Equal(t, "move,streaming", a.text("SELECT application_name, state FROM pg_stat_replication WHERE application_name = 'move'"))
	// What the subscriber lacks is passed over.
	b.do("DELETE FROM entries WHERE ref = 'seed-0000003'")
	a.do("UPDATE entries SET payload = 'again' WHERE ref = 'seed-0000003'")
	a.do("DELETE FROM entries WHERE ref = 'seed-0000003'")
	a.do("INSERT INTO entries VALUES ('after', '')")
	b.becomes("1", "SELECT count(*) FROM entries WHERE ref = 'after'")
	require.Equal(t, 2, p.to.hosts[0].Counts.All()["apply_missing"])
	// A new table is followed only after REFRESH; DDL does not come by itself.
	a.do("CREATE TABLE late (ref text PRIMARY KEY, payload text)")
	a.do("INSERT INTO late VALUES ('1', '')")
	require.Equal(t, "42P01", b.code("ALTER SUBSCRIPTION move REFRESH PUBLICATION"))
	b.do("CREATE TABLE late (ref text PRIMARY KEY, payload text)")
	b.becomes("0", "SELECT count(*) FROM pg_subscription_rel WHERE srrelid = 'late'::regclass")
	b.do("ALTER SUBSCRIPTION move REFRESH PUBLICATION")
	b.becomes("r", "SELECT srsubstate FROM pg_subscription_rel WHERE srrelid = 'late'::regclass")
	a.do("INSERT INTO late VALUES ('2', '')")
	b.becomes("2", "SELECT count(*) FROM late")
	a.do("TRUNCATE late")
	b.becomes("0", "SELECT count(*) FROM late")
	// Disabled it stays where it is, enabled it goes on.
	b.do("ALTER SUBSCRIPTION move DISABLE")
	a.becomes("f", "SELECT active FROM pg_replication_slots WHERE slot_name = 'move'")
	a.do("INSERT INTO late VALUES ('3', '')")
	require.Equal(t, "55000", b.code("ALTER SUBSCRIPTION move REFRESH PUBLICATION"))
	require.Equal(t, "0", b.text("SELECT count(*) FROM late"))
	b.do("ALTER SUBSCRIPTION move ENABLE")
	b.becomes("1", "SELECT count(*) FROM late")
	// It is dropped with its slot, or, once it has none, without.
	b.do("BEGIN")
	require.Equal(t, "25001", b.code("DROP SUBSCRIPTION move"))
	b.do("ROLLBACK")
	require.Equal(t, "55000", b.code("ALTER SUBSCRIPTION move SET (slot_name = NONE)"))
	b.do("DROP SUBSCRIPTION move")
	require.Empty(t, a.text("SELECT slot_name FROM pg_replication_slots"))
	require.Empty(t, b.text("SELECT subname FROM pg_subscription"))
	a.do("DROP PUBLICATION all_tables")
	require.Equal(t, "42704", a.code("DROP PUBLICATION all_tables"))
}

func TestCopyBeginsAgainAfterACut(t *testing.T) {
	p := newPair(t)
	p.from.db.Table("entries", Traits{}).Seed(5000)
	p.from.SetReplication(Replication{Retry: 20 * time.Millisecond, Timeout: time.Second, ConnectTime: time.Second, CopyRows: 20000})
	p.a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
	p.subscribe("")
	require.Eventually(t, func() bool { return p.link.bytes.Load() > 30000 }, 5*time.Second, time.Millisecond) // of about 200,000
	require.Equal(t, "d", p.b.text("SELECT srsubstate FROM pg_subscription_rel"))
	p.a.do("UPDATE entries SET payload = 'in the middle' WHERE ref = 'seed-0000000'")
	p.link.cut(true)
	require.Equal(t, "0", p.b.text("SELECT count(*) FROM entries"), "a copy is one transaction")
	p.b.becomes("t", "SELECT sync_error_count > 1 FROM pg_stat_subscription_stats")
	require.Equal(t, "d", p.b.text("SELECT srsubstate FROM pg_subscription_rel"))
	p.a.do("DELETE FROM entries WHERE ref = 'seed-0000001'")
	p.a.do("INSERT INTO entries VALUES ('middle', '')") // the slot has it, and the copy to come
	p.a.becomes("move", "SELECT slot_name FROM pg_replication_slots")
	p.link.cut(false)
	p.b.becomes("r", "SELECT srsubstate FROM pg_subscription_rel")
	p.a.do("INSERT INTO entries VALUES ('after', '')")
	p.b.becomes("1", "SELECT count(*) FROM entries WHERE ref = 'after'")
	require.Equal(t, p.from.db.Dump("entries"), p.to.db.Dump("entries"))
	// The stream, too, survives a cut, and a link that is stalled for longer than either end stands.
	for i := range 20 {
		if i == 10 {
			p.link.cut(false)
		}
		p.a.do(fmt.Sprintf("INSERT INTO entries VALUES ('n%d', '')", i))
	}
	p.b.becomes("20", "SELECT count(*) FROM entries WHERE ref LIKE 'n%'")
	p.link.stalled.Store(true)
	p.a.do("INSERT INTO entries VALUES ('stalled', '')")
	p.a.becomes("f", "SELECT active FROM pg_replication_slots")
	require.Equal(t, "0", p.b.text("SELECT count(*) FROM entries WHERE ref = 'stalled'"))
	p.link.stalled.Store(false)
	p.b.becomes("1", "SELECT count(*) FROM entries WHERE ref = 'stalled'")
	// What was applied and not confirmed when the link broke does not come again.
	p.a.becomes("t", "SELECT active FROM pg_replication_slots")
	p.link.deaf.Store(true)
	p.a.do("INSERT INTO entries VALUES ('unconfirmed', '')")
	at := p.a.text("SELECT pg_current_wal_lsn()")
	p.b.becomes("1", "SELECT count(*) FROM entries WHERE ref = 'unconfirmed'")
	require.Equal(t, "t", p.a.text("SELECT confirmed_flush_lsn < '"+at+"' FROM pg_replication_slots"))
	p.link.cut(false)
	p.link.deaf.Store(false)
	p.a.do("INSERT INTO entries VALUES ('last', '')")
	p.b.becomes("1", "SELECT count(*) FROM entries WHERE ref = 'last'")
	require.Equal(t, "0", p.b.text("SELECT apply_error_count FROM pg_stat_subscription_stats"))
	require.Equal(t, p.from.db.Dump("entries"), p.to.db.Dump("entries"))
}

// A primary that starts again has its slots and what they hold back.
func TestSlotSurvivesARestart(t *testing.T) {
	p := newPair(t)
	p.a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
	p.subscribe("copy_data = false")
	p.b.do("ALTER SUBSCRIPTION move DISABLE")
	p.a.becomes("f", "SELECT active FROM pg_replication_slots")
	p.a.do("INSERT INTO entries VALUES ('1', '')")
	p.from.hosts[0].Stop()
	p.b.do("ALTER SUBSCRIPTION move ENABLE")
	p.b.becomes("t", "SELECT pid IS NULL FROM pg_stat_subscription")
	require.NoError(t, p.from.hosts[0].Restart())
	p.b.becomes("1", "SELECT ref FROM entries")
	p.to.hosts[0].Stop() // the worker ends with its host
	a := p.from.dial(p.from.hosts[0])
	a.becomes("f", "SELECT active FROM pg_replication_slots")
	a.do("INSERT INTO entries VALUES ('2', '')")
	require.NoError(t, p.to.hosts[0].Restart())
	p.to.dial(p.to.hosts[0]).becomes("1;2", "SELECT ref FROM entries ORDER BY ref")
}

// Whatever breaks on the way, the subscriber has every version of every row, once and in order.
func TestStreamIsExactlyOnceThroughFaults(t *testing.T) {
	for seed := range uint64(3) {
		p := newPair(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		p.from.SetReplication(Replication{Retry: 5 * time.Millisecond, Timeout: 300 * time.Millisecond, ConnectTime: time.Second})
		p.to.SetReplication(Replication{Retry: 5 * time.Millisecond, Timeout: 300 * time.Millisecond, ConnectTime: time.Second})
		p.a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
		p.subscribe("copy_data = false, origin = none")
		for i := range 400 {
			key := fmt.Sprint("k", rng.IntN(20))
			switch rng.IntN(3) {
			case 0:
				p.a.do("DELETE FROM entries WHERE ref = $1", key)
			case 1:
				p.a.do("INSERT INTO entries VALUES ($1, $2) ON CONFLICT (ref) DO UPDATE SET payload = excluded.payload", key, fmt.Sprint(i))
			default:
				p.a.do("BEGIN")
				p.a.do("UPDATE entries SET payload = $2 WHERE ref <> $1", key, fmt.Sprint(i))
				p.a.do("INSERT INTO entries VALUES ($1, $2) ON CONFLICT DO NOTHING", key, fmt.Sprint(i))
				p.a.do("COMMIT")
			}
			switch {
			case i%20 == 7:
				p.link.cut(false)
			case i%50 == 11:
				p.link.deaf.Store(!p.link.deaf.Load())
			case i%100 == 33:
				p.to.hosts[0].Stop()
			case i%100 == 66:
				require.NoError(t, p.to.hosts[0].Restart())
			}
		}
		p.link.deaf.Store(false)
		b := p.to.dial(p.to.hosts[0])
		at := p.a.text("SELECT pg_current_wal_lsn()")
		b.becomes("t", "SELECT coalesce(latest_end_lsn >= '"+at+"', false) FROM pg_stat_subscription")
		plain := func(all [][]Version) (out [][]string) {
			for _, versions := range all {
				var row []string
				for _, v := range versions {
					row = append(row, fmt.Sprint(v.Values, v.Deleted))
				}
				out = append(out, row)
			}
			return out
		}
		require.Equal(t, plain(p.from.db.Histories("entries")), plain(p.to.db.Histories("entries")))
		require.Equal(t, "0", b.text("SELECT apply_error_count FROM pg_stat_subscription_stats"))
	}
}

// What was sent and did not arrive is not confirmed by the answer to what came before it.
func TestSlotMovesByWhatWasApplied(t *testing.T) {
	p := newPair(t)
	p.a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
	p.subscribe("copy_data = false")
	insert := func(ref string) (lsn string) {
		p.a.do("INSERT INTO entries VALUES ($1, '')", ref)
		return p.a.text("SELECT pg_current_wal_lsn()")
	}
	insert("1")
	p.b.becomes("1", "SELECT count(*) FROM entries")
	p.link.deaf.Store(true)
	second := insert("2")
	p.b.becomes("2", "SELECT count(*) FROM entries")
	p.link.mute.Store(true)
	third := insert("3")
	p.a.becomes("t", "SELECT sent_lsn >= '"+third+"' FROM pg_stat_replication WHERE application_name = 'move'")
	p.link.deaf.Store(false)
	p.a.becomes("t,t", "SELECT confirmed_flush_lsn >= '"+second+"', confirmed_flush_lsn < '"+third+"' FROM pg_replication_slots")
	p.link.cut(false)
	p.link.mute.Store(false)
	p.b.becomes("1;2;3", "SELECT ref FROM entries ORDER BY ref")
}

func TestDuplicateKeyStopsApply(t *testing.T) {
	p := newPair(t)
	p.a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
	p.subscribe("copy_data = false")
	p.b.do("INSERT INTO entries VALUES ('1', 'of the subscriber')")
	p.a.do("INSERT INTO entries VALUES ('1', 'of the publisher')")
	p.a.do("INSERT INTO entries VALUES ('2', 'behind it')")
	p.b.becomes("t", "SELECT apply_error_count > 2 FROM pg_stat_subscription_stats")
	require.Equal(t, "1", p.b.text("SELECT ref FROM entries"))
	at := p.from.Commits()[0].LSN
	require.Equal(t, "t", p.a.text("SELECT confirmed_flush_lsn < '"+at+"' FROM pg_replication_slots"))
	p.b.do("DELETE FROM entries WHERE ref = '1'")
	p.b.becomes("of the publisher;behind it", "SELECT payload FROM entries ORDER BY ref")
	// With disable_on_error it stays stopped, and may be told to skip.
	p.b.do("ALTER SUBSCRIPTION move SET (disable_on_error = true)")
	p.b.do("INSERT INTO entries VALUES ('3', 'of the subscriber')")
	p.a.do("INSERT INTO entries VALUES ('3', 'of the publisher')")
	p.b.becomes("f", "SELECT subenabled FROM pg_subscription")
	list := p.from.Commits()
	p.b.do("ALTER SUBSCRIPTION move SKIP (lsn = '" + list[len(list)-1].LSN + "')")
	p.b.do("ALTER SUBSCRIPTION move ENABLE")
	p.a.do("INSERT INTO entries VALUES ('4', '')")
	p.b.becomes("1", "SELECT count(*) FROM entries WHERE ref = '4'")
	require.Equal(t, "of the subscriber", p.b.text("SELECT payload FROM entries WHERE ref = '3'"))
}

// A publisher whose slot is still held by an earlier connection rejects the stream before anything is applied: the worker tries again.
// disable_on_error is for what fails in the stream. ENABLE runs into this where it ends a session that has just begun.
func TestASlotThatIsHeldDoesNotDisable(t *testing.T) {
	p := newPair(t)
	p.a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
	p.subscribe("copy_data = false, disable_on_error = true")
	p.a.do("INSERT INTO entries VALUES ('1', '')")
	p.b.becomes("1", "SELECT count(*) FROM entries")
	p.b.do("ALTER SUBSCRIPTION move DISABLE")
	p.a.becomes("f", "SELECT active FROM pg_replication_slots")
	holder, err := p.to.Cluster.dial(t.Context(), p.link.info(), "holder")
	require.NoError(t, err)
	t.Cleanup(func() { closeNow(holder) })
	holder.Frontend().Send(&pgproto3.Query{String: `START_REPLICATION SLOT "move" LOGICAL 0/0 (proto_version '4', publication_names '"all_tables"')`})
	require.NoError(t, holder.Frontend().Flush())
	p.a.becomes("t", "SELECT active FROM pg_replication_slots")
	failures := func() int { return p.to.hosts[0].Counts.All()["subscription_error"] }
	before := failures()
	p.b.do("ALTER SUBSCRIPTION move ENABLE")
	p.a.do("INSERT INTO entries VALUES ('2', '')")
	require.Eventually(t, func() bool { return failures() > before+1 }, 10*time.Second, time.Millisecond, "it tries again")
	require.Equal(t, "t", p.b.text("SELECT subenabled FROM pg_subscription"))
	closeNow(holder)
	p.b.becomes("2", "SELECT count(*) FROM entries")
}

func TestFeedBackDoesNotEcho(t *testing.T) {
	for _, origin := range []string{"none", "any"} {
		p := newPair(t)
		back := newLink(t, p.to.hosts[0].Address)
		p.a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
		p.b.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
		p.subscribe("copy_data = false, origin = " + origin)
		p.a.do("CREATE SUBSCRIPTION feed_back CONNECTION '" + back.info() + "' PUBLICATION all_tables WITH (copy_data = false, origin = " + origin + ")")
		p.a.do("INSERT INTO entries VALUES ('1', 'a')")
		p.b.becomes("1", "SELECT count(*) FROM entries")
		if origin == "any" { // the row comes back to where it is
			p.a.becomes("t", "SELECT apply_error_count > 0 FROM pg_stat_subscription_stats")
			continue
		}
		p.b.do("INSERT INTO entries VALUES ('2', 'b')")
		p.b.do("UPDATE entries SET payload = 'of b' WHERE ref = '1'")
		p.a.becomes("of b;b", "SELECT payload FROM entries ORDER BY ref")
		at := p.a.text("SELECT pg_current_wal_lsn()")
		p.a.becomes("t", "SELECT confirmed_flush_lsn >= '"+at+"' FROM pg_replication_slots")
		require.Len(t, p.to.db.History("entries", "1"), 2)
		require.Len(t, p.from.db.History("entries", "1"), 2)
		require.NotEmpty(t, p.from.db.History("entries", "1")[1].Origin)
		require.Equal(t, "0", p.a.text("SELECT apply_error_count FROM pg_stat_subscription_stats"))
	}
}

func TestGuardLetsApplyThrough(t *testing.T) {
	p := newPair(t)
	p.b.script(fenceTable)
	p.b.do("UPDATE ashstand.fence SET closed = true")
	p.from.db.Table("entries", Traits{}).Seed(10)
	p.a.do("CREATE PUBLICATION all_tables FOR TABLE entries")
	p.subscribe("")
	p.b.becomes("r", "SELECT srsubstate FROM pg_subscription_rel")
	p.a.do("UPDATE entries SET payload = 'new'")
	p.a.do("DELETE FROM entries WHERE ref = 'seed-0000000'")
	p.b.becomes("9", "SELECT count(*) FROM entries WHERE payload = 'new'")
	require.Equal(t, "55000", p.b.code("INSERT INTO entries VALUES ('x', '')"))
	// Apply waits for a row that a session holds.
	p.b.do("BEGIN")
	p.b.do("SELECT 1 FROM entries WHERE ref = 'seed-0000001' FOR UPDATE")
	p.a.do("UPDATE entries SET payload = 'newer' WHERE ref = 'seed-0000001'")
	p.b.becomes("logical replication apply worker", "SELECT backend_type FROM pg_stat_activity WHERE wait_event_type = 'Lock'")
	require.Equal(t, "new", p.b.text("SELECT payload FROM entries WHERE ref = 'seed-0000001'"))
	p.b.do("COMMIT")
	p.b.becomes("newer", "SELECT payload FROM entries WHERE ref = 'seed-0000001'")
}

func TestSlotDiesWithItsPrimary(t *testing.T) {
	p := newPair(t)
	p.a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
	p.subscribe("")
	p.a.do("INSERT INTO entries VALUES ('1', '')")
	p.b.becomes("1", "SELECT count(*) FROM entries")
	p.from.Fail(p.from.hosts[1], 0, true)
	p.link.mu.Lock()
	p.link.to = p.from.hosts[1].Address
	p.link.mu.Unlock()
	a := p.from.dial(p.from.hosts[1])
	require.Empty(t, a.text("SELECT slot_name FROM pg_replication_slots"))
	require.Equal(t, "all_tables", a.text("SELECT pubname FROM pg_publication"), "the catalogue is replicated, slots are not")
	a.do("INSERT INTO entries VALUES ('2', '')")
	errors := func() int { return p.to.hosts[0].Counts.All()["subscription_error"] }
	was := errors()
	require.Eventually(t, func() bool { return errors() > was+2 }, 5*time.Second, time.Millisecond)
	require.Contains(t, p.to.db.subscriptions["move"].lastError, `replication slot "move" does not exist`)
	require.Equal(t, "1", p.b.text("SELECT count(*) FROM entries"))
	require.Equal(t, "42704", p.b.code("DROP SUBSCRIPTION move"))
	// Made again it follows from there on: what was committed between is missing.
	a.do("SELECT pg_create_logical_replication_slot('move', 'pgoutput')")
	a.do("INSERT INTO entries VALUES ('3', '')")
	p.b.becomes("1;3", "SELECT ref FROM entries ORDER BY ref")
	p.b.do("ALTER SUBSCRIPTION move DISABLE")
	p.b.do("ALTER SUBSCRIPTION move SET (slot_name = NONE)")
	require.Equal(t, "55000", p.b.code("ALTER SUBSCRIPTION move ENABLE"))
	p.b.do("BEGIN")
	p.b.do("DROP SUBSCRIPTION move")
	p.b.do("COMMIT")
	a.becomes("f", "SELECT active FROM pg_replication_slots")
	a.do("SELECT pg_drop_replication_slot('move')")
	require.Equal(t, "42704", a.code("SELECT pg_drop_replication_slot('move')"))
	// Nor does the old primary have it when it is one again.
	p.from.Fail(p.from.hosts[0], 0, true)
	require.Empty(t, p.from.dial(p.from.hosts[0]).text("SELECT slot_name FROM pg_replication_slots"))
}

func TestSlotWaitsForOlderWriters(t *testing.T) {
	r := newRig(t, 1, 2)
	a, b := r.dial(r.hosts[0]), r.dial(r.hosts[0])
	a.do("BEGIN")
	a.do("INSERT INTO entries VALUES ('1', '')")
	require.Equal(t, "25001", a.code("SELECT pg_create_logical_replication_slot('s', 'pgoutput')"))
	a.do("ROLLBACK")
	a.do("BEGIN")
	a.do("INSERT INTO entries VALUES ('1', '')")
	b.do("SET statement_timeout TO '60ms'")
	require.Equal(t, "57014", b.code("SELECT pg_create_logical_replication_slot('s', 'pgoutput')"))
	a.do("COMMIT")
	require.Equal(t, "s", b.text("SELECT slot_name FROM pg_create_logical_replication_slot('s', 'pgoutput')"))
	require.Equal(t, "42710", b.code("SELECT pg_create_logical_replication_slot('s', 'pgoutput')"))
	require.Equal(t, "55000", r.dial(r.hosts[1]).code("SELECT pg_create_logical_replication_slot('s2', 'pgoutput')"))
	for i := range maxSlots - 1 {
		b.do("SELECT pg_create_logical_replication_slot($1, 'pgoutput')", fmt.Sprintf("n%d", i))
	}
	require.Equal(t, "53400", b.code("SELECT pg_create_logical_replication_slot('more', 'pgoutput')"))
}

func TestCatalogueForACheckBeforeAMove(t *testing.T) {
	r := newRig(t, 1, 2)
	r.db.Table("quiet", Traits{Unlogged: true})
	r.db.Table("bare", Traits{NoKey: true, Identity: 'n'})
	r.db.AddExtension("hstore")
	r.db.AddLargeObject()
	r.db.AddPrepared("gid-1")
	c := r.dial(r.hosts[0])
	c.do("CREATE TABLE numbered (id bigserial PRIMARY KEY, note text)")
	c.do("INSERT INTO numbered (note) VALUES ('a'), ('b')")
	require.Equal(t, "public,bare,n,p,f;public,entries,d,p,t;public,numbered,d,p,t;public,quiet,d,u,t", c.text(`
		SELECT n.nspname, c.relname, c.relreplident, c.relpersistence,
		EXISTS (SELECT 1 FROM pg_index i WHERE i.indrelid = c.oid AND i.indisprimary)
		FROM pg_class c JOIN pg_namespace n ON n.oid = c.relnamespace
		WHERE c.relkind = 'r' AND n.nspname NOT IN ('pg_catalog', 'information_schema') ORDER BY 1, 2`))
	require.Equal(t, "bare", c.text(`SELECT c.relname FROM pg_catalog.pg_class c
		LEFT JOIN pg_index i ON i.indrelid = c.oid AND i.indisprimary WHERE c.relkind = 'r' AND i.indrelid IS NULL`))
	require.Equal(t, "numbered_id_seq,2", c.text("SELECT sequencename, last_value FROM pg_sequences"))
	require.Equal(t, "100", c.text("SELECT setval('numbered_id_seq', 100)"))
	require.Equal(t, "101", c.text("INSERT INTO numbered (note) VALUES ('c') RETURNING id"))
	require.Equal(t, "1,gid-1,shop", c.text("SELECT (SELECT count(*) FROM pg_largeobject_metadata), gid, database FROM pg_prepared_xacts"))
	require.Equal(t, "hstore", c.text("SELECT extname FROM pg_extension WHERE extname <> 'plpgsql'"))
	require.Equal(t, "55000", c.code("PREPARE TRANSACTION 'x'"))
	require.Equal(t, "t", c.text("SELECT pg_database_size(current_database()) > 0"))
	require.Equal(t, "id,bigint,NO;note,text,YES",
		c.text("SELECT column_name, data_type, is_nullable FROM information_schema.columns WHERE table_name = 'numbered' ORDER BY ordinal_position"))
	// Positions.
	at := c.text("SELECT pg_current_wal_lsn()")
	c.do("INSERT INTO entries VALUES ('1', '')")
	var ahead int64
	var later bool
	require.NoError(t, c.QueryRow(c.ctx, "SELECT pg_current_wal_lsn() - $1::pg_lsn, pg_current_wal_lsn() > $1::pg_lsn", at).Scan(&ahead, &later))
	require.Positive(t, ahead)
	require.True(t, later)
	r.hosts[1].SetLag(time.Hour)
	replica := r.dial(r.hosts[1])
	require.Empty(t, replica.text("SELECT ref FROM entries"))
	require.Equal(t, "f", replica.text("SELECT pg_last_wal_replay_lsn() > '"+at+"'"))
	r.hosts[1].SetLag(0)
	require.Equal(t, "t", replica.text("SELECT pg_is_in_recovery()"))
	replica.becomes("t", "SELECT pg_last_wal_replay_lsn() > '"+at+"'")
	require.Equal(t, "25006", replica.code("INSERT INTO entries VALUES ('2', '')"))
	require.Equal(t, "25006", replica.code("CREATE SCHEMA x"))
	require.Equal(t, "h1-1", c.text("SELECT application_name FROM pg_stat_replication"))
	// Sessions, and their end.
	other := r.dial(r.hosts[0])
	other.do("BEGIN")
	other.do("INSERT INTO entries VALUES ('3', '')")
	pid := other.PgConn().PID()
	require.Equal(t, fmt.Sprintf("%d,idle in transaction,t,t,t", pid), c.text(`SELECT pid, state, backend_xid IS NOT NULL, now() - xact_start < interval '1 min',
		extract(epoch FROM now() - xact_start) BETWEEN 0 AND 60 FROM pg_stat_activity WHERE datname = current_database() AND pid <> pg_backend_pid()`))
	require.Equal(t, "t", c.text(fmt.Sprintf("SELECT pg_terminate_backend(%d)", pid)))
	_, err := other.Exec(other.ctx, "SELECT 1")
	require.ErrorContains(t, err, "57P01")
	c.becomes("0", "SELECT count(*) FROM pg_stat_activity WHERE pid <> pg_backend_pid()")
	require.Empty(t, c.text("SELECT 1 FROM entries WHERE ref = '3'"))
	require.Equal(t, "f", c.text(fmt.Sprintf("SELECT pg_terminate_backend(%d)", pid)))
}

func TestFailoverLosesWhatItIsAskedTo(t *testing.T) {
	p := newPair(t)
	a := p.a
	a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
	p.subscribe("")
	p.b.becomes("r", "SELECT srsubstate FROM pg_subscription_rel")
	p.from.db.Table("quiet", Traits{Unlogged: true})
	a.do("INSERT INTO quiet VALUES ('1', '')")
	a.do("INSERT INTO entries VALUES ('1', 'kept')")
	a.do("UPDATE entries SET payload = 'lost' WHERE ref = '1'")
	a.do("INSERT INTO entries VALUES ('2', 'lost')")
	p.b.becomes("lost;lost", "SELECT payload FROM entries")
	open := p.from.dial(p.from.hosts[0])
	open.do("BEGIN")
	open.do("INSERT INTO entries VALUES ('open', '')")
	require.Equal(t, 2, p.from.FailLosing(p.from.hosts[1], 2, 0, false))
	require.Equal(t, "25006", open.code("COMMIT"))
	now := p.from.dial(p.from.hosts[1])
	require.Equal(t, "1,kept", now.text("SELECT ref, payload FROM entries"))
	require.Empty(t, now.text("SELECT ref FROM quiet"))
	lost := p.from.Lost()
	require.Len(t, lost, 2)
	require.Equal(t, Row{Table: "public.entries", Key: "2", Values: map[string]string{"ref": "2", "payload": "lost"}}, lost[1].Rows[0])
	require.Equal(t, "shop", lost[1].Database)
	require.Len(t, p.from.db.History("entries", "1"), 1)
	now.do("UPDATE entries SET payload = 'after' WHERE ref = '1'") // the locks of the old primary are gone
	// The subscriber has what its publisher lost: it applied it before.
	require.Equal(t, "lost;lost", p.b.text("SELECT payload FROM entries"))
	// A subscriber that loses what it applied goes back to where it stands then, but its publisher's slot does not.
	p.b.do("CREATE PUBLICATION other FOR ALL TABLES")
	require.Equal(t, 1, p.to.FailLosing(p.to.hosts[1], 1, 0, true))
	b := p.to.dial(p.to.hosts[1])
	require.Equal(t, "lost", b.text("SELECT payload FROM entries"))
	require.Len(t, p.to.Lost(), 1)
	require.NotEmpty(t, p.to.Lost()[0].Origin)
	// The data without a database, too.
	plain := dialTo(t, p.from.hosts[1].Address, "orders")
	plain.do("INSERT INTO entries (ref, payload) VALUES ('1', '')")
	p.from.FailLosing(p.from.hosts[0], 1, 0, true)
	require.Zero(t, p.from.Versions("public", "entries", "1"))
}

func TestLostCopyIsMadeAgain(t *testing.T) {
	p := newPair(t)
	p.from.db.Table("entries", Traits{}).Seed(10)
	p.a.do("CREATE PUBLICATION all_tables FOR ALL TABLES")
	p.subscribe("")
	p.b.becomes("r", "SELECT srsubstate FROM pg_subscription_rel")
	require.Equal(t, 1, p.to.FailLosing(p.to.hosts[1], 1, 0, true))
	b := p.to.dial(p.to.hosts[1])
	b.becomes("r", "SELECT srsubstate FROM pg_subscription_rel")
	require.Equal(t, "10", b.text("SELECT count(*) FROM entries"))
	p.a.do("INSERT INTO entries VALUES ('after', '')")
	b.becomes("11", "SELECT count(*) FROM entries")
}
