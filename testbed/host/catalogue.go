package host

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// view is a table of the catalogue, made when it is read.
type view struct {
	columns []Column
	rows    func(c *conn) [][]value
}

// shaped reads names of columns, each with a type where it is not text: b bool, i int4, o oid, l pg_lsn, t timestamptz,
// n int8, x xid, a text[].
func shaped(spec string, rows func(c *conn) [][]value) view {
	types := map[string]uint32{
		"": typeText, "b": typeBool, "i": typeInt4, "o": typeOid, "l": typeLSN, "t": typeTimestamptz, "n": typeInt8, "x": typeXid,
		"a": typeTextArray,
	}
	v := view{rows: rows}
	for _, s := range strings.Fields(spec) {
		name, t, _ := strings.Cut(s, ":")
		v.columns = append(v.columns, Column{Name: name, Type: types[t]})
	}
	return v
}

// locked gives rows under the cluster's lock.
func locked(rows func(c *conn, add func(...value))) func(c *conn) [][]value {
	return func(c *conn) (out [][]value) {
		c.host.cluster.mu.Lock()
		defer c.host.cluster.mu.Unlock()
		rows(c, func(vs ...value) { out = append(out, vs) })
		return out
	}
}

func small(n int) value { return value{s: strconv.Itoa(n), typ: typeInt4} }

func pidOf(n uint32) value { return value{s: strconv.Itoa(int(n)), typ: typeInt4, null: n == 0} }

func letterOf(b byte) value { return text(string(b)) }

func (t *Table) persistence() byte {
	if t.unlogged {
		return 'u'
	}
	return 'p'
}

// typeWords are the types as information_schema names them.
var typeWords = map[uint32]string{
	typeBool: "boolean", typeInt8: "bigint", typeInt4: "integer", typeText: "text", typeOid: "oid", typeXid: "xid",
	typeFloat8:      "double precision",
	typeTimestamptz: "timestamp with time zone", typeNumeric: "numeric", typeLSN: "pg_lsn", typeTextArray: "ARRAY", typeRegclass: "regclass",
}

// The object ids that the primary key's index and a row's constraint have are their table's and an offset beyond all
// that is counted out.
const (
	indexOids      = 1 << 30
	constraintOids = 1 << 29
)

var views map[string]view

func init() {
	views = map[string]view{
		"pg_database": shaped("oid:o datname datdba:o encoding:i datallowconn:b datconnlimit:i datistemplate:b", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.host.cluster.databases) {
				add(oid(c.host.cluster.databases[name].oid), text(name), oid(10), small(6), boolean(true), small(-1), boolean(false))
			}
		})),
		"pg_namespace": shaped("oid:o nspname nspowner:o", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.db.schemas) {
				add(oid(c.db.schemas[name]), text(name), oid(10))
			}
		})),
		"pg_class": shaped("oid:o relname relnamespace:o relowner:o relkind relpersistence relreplident relhasindex:b relhastriggers:b "+
			"reltuples:n relispartition:b relrowsecurity:b",
			locked(func(c *conn, add func(...value)) {
				for _, name := range sortedNames(c.db.tables) {
					t := c.db.tables[name]
					add(oid(t.oid), text(t.Name), oid(c.db.schemas[t.Schema]), oid(10), text("r"), letterOf(t.persistence()), letterOf(t.identity), boolean(len(t.key) > 0),
						boolean(len(t.triggers) > 0), number(int64(t.rows.Len())), boolean(false), boolean(false))
					if len(t.key) > 0 {
						add(oid(t.oid+indexOids), text(t.Name+"_pkey"), oid(c.db.schemas[t.Schema]), oid(10), text("i"), letterOf(t.persistence()), text("n"), boolean(false),
							boolean(false), number(int64(t.rows.Len())), boolean(false), boolean(false))
					}
				}
				for _, name := range sortedNames(c.db.sequences) {
					q := c.db.sequences[name]
					add(oid(q.oid), text(q.name), oid(c.db.schemas[q.schema]), oid(10), text("S"), text("p"), text("n"), boolean(false), boolean(false), number(1),
						boolean(false), boolean(false))
				}
			})),
		"pg_index": shaped("indexrelid:o indrelid:o indnatts:i indisunique:b indisprimary:b indisreplident:b indisvalid:b indimmediate:b indkey",
			locked(func(c *conn, add func(...value)) {
				for _, name := range sortedNames(c.db.tables) {
					if t := c.db.tables[name]; len(t.key) > 0 {
						var at []string
						for _, k := range t.key {
							at = append(at, strconv.Itoa(k+1))
						}
						add(oid(t.oid+indexOids), oid(t.oid), small(len(t.key)), boolean(true), boolean(true), boolean(false), boolean(true), boolean(true),
							text(strings.Join(at, " ")))
					}
				}
			})),
		"pg_constraint": shaped("oid:o conname connamespace:o contype conrelid:o conindid:o", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.db.tables) {
				if t := c.db.tables[name]; len(t.key) > 0 {
					add(oid(t.oid+constraintOids), text(t.Name+"_pkey"), oid(c.db.schemas[t.Schema]), text("p"), oid(t.oid), oid(t.oid+indexOids))
				}
			}
		})),
		"pg_attribute": shaped("attrelid:o attname atttypid:o attnum:i attnotnull:b attisdropped:b atthasdef:b", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.db.tables) {
				t := c.db.tables[name]
				for i, col := range t.columns {
					add(oid(t.oid), text(col.Name), oid(col.Type), small(i+1), boolean(col.NotNull), boolean(false), boolean(col.def != nil))
				}
			}
		})),
		"pg_trigger": shaped("oid:o tgrelid:o tgname tgenabled tgisinternal:b tgfoid:o", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.db.tables) {
				t := c.db.tables[name]
				for _, n := range sortedNames(t.triggers) {
					add(oid(t.oid+constraintOids), oid(t.oid), text(n), letterOf(t.triggers[n].enabled), boolean(false), oid(0))
				}
			}
		})),
		"pg_proc": shaped("proname pronamespace:o prosrc", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.db.functions) {
				schema, short, _ := strings.Cut(name, ".")
				add(text(short), oid(c.db.schemas[schema]), text(c.db.functions[name]))
			}
		})),
		"pg_tables": shaped("schemaname tablename tableowner hasindexes:b hastriggers:b", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.db.tables) {
				t := c.db.tables[name]
				add(text(t.Schema), text(t.Name), text("postgres"), boolean(len(t.key) > 0), boolean(len(t.triggers) > 0))
			}
		})),
		"information_schema.tables": shaped("table_catalog table_schema table_name table_type", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.db.tables) {
				t := c.db.tables[name]
				add(text(c.db.Name), text(t.Schema), text(t.Name), text("BASE TABLE"))
			}
		})),
		"information_schema.columns": shaped("table_schema table_name column_name ordinal_position:i is_nullable data_type",
			locked(func(c *conn, add func(...value)) {
				for _, name := range sortedNames(c.db.tables) {
					t := c.db.tables[name]
					for i, col := range t.columns {
						add(text(t.Schema), text(t.Name), text(col.Name), small(i+1), text(map[bool]string{true: "NO", false: "YES"}[col.NotNull]), text(typeWords[col.Type]))
					}
				}
			})),
		"pg_sequences": shaped("schemaname sequencename sequenceowner data_type start_value:n min_value:n "+
			"max_value:n increment_by:n cycle:b cache_size:n last_value:n",
			locked(func(c *conn, add func(...value)) {
				for _, name := range sortedNames(c.db.sequences) {
					q := c.db.sequences[name]
					last := number(q.last)
					last.null = !q.called
					add(text(q.schema), text(q.name), text("postgres"), text("bigint"), number(q.start), number(1), number(math.MaxInt64), number(q.step), boolean(false),
						number(1), last)
				}
			})),
		"pg_extension": shaped("oid:o extname extversion", locked(func(c *conn, add func(...value)) {
			for i, name := range append([]string{"plpgsql"}, c.db.extensions...) {
				add(oid(uint32(13000+i)), text(name), text("1.0"))
			}
		})),
		"pg_largeobject_metadata": shaped("oid:o lomowner:o", locked(func(c *conn, add func(...value)) {
			for i := range c.db.largeObjects {
				add(oid(uint32(20000+i)), oid(10))
			}
		})),
		"pg_prepared_xacts": shaped("transaction:x gid prepared:t owner database", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.host.cluster.databases) {
				for i, gid := range c.host.cluster.databases[name].preparedXacts {
					add(value{s: strconv.Itoa(700 + i), typ: typeXid}, text(gid), moment(time.Now()), text("postgres"), text(name))
				}
			}
		})),
		"pg_publication": shaped("oid:o pubname pubowner:o puballtables:b pubinsert:b pubupdate:b pubdelete:b pubtruncate:b",
			locked(func(c *conn, add func(...value)) {
				for _, name := range sortedNames(c.db.publications) {
					p := c.db.publications[name]
					add(oid(p.oid), text(name), oid(10), boolean(p.all), boolean(p.insert), boolean(p.update), boolean(p.delete), boolean(p.truncate))
				}
			})),
		"pg_publication_tables": shaped("pubname schemaname tablename", locked(func(c *conn, add func(...value)) {
			for _, name := range sortedNames(c.db.publications) {
				for _, n := range sortedNames(c.db.tables) {
					if t := c.db.tables[n]; c.db.publications[name].has(t) {
						add(text(name), text(t.Schema), text(t.Name))
					}
				}
			}
		})),
		"pg_subscription": shaped("oid:o subdbid:o subname subowner:o subenabled:b subconninfo subslotname "+
			"subpublications:a suborigin subdisableonerr:b subskiplsn:l",
			eachSubscription(func(s *subscription, add func(...value)) {
				slot := text(s.slot)
				slot.null = s.slot == ""
				add(oid(s.oid), oid(s.db.oid), text(s.name), oid(10), boolean(s.enabled), text(s.conninfo), slot, array(s.publications), text(s.origin), boolean(s.giveUp),
					value{s: lsnText(s.skipLSN), typ: typeLSN})
			})),
		"pg_subscription_rel": shaped("srsubid:o srrelid:o srsubstate srsublsn:l", eachSubscription(func(s *subscription, add func(...value)) {
			for _, name := range sortedNames(s.db.tables) {
				if r := s.tables[s.db.tables[name]]; r != nil {
					add(oid(s.oid), oid(s.db.tables[name].oid), letterOf(r.state), lsnValue(r.lsn))
				}
			}
		})),
		"pg_stat_subscription": shaped("subid:o subname worker_type pid:i leader_pid:i relid:o received_lsn:l last_msg_send_time:t "+
			"last_msg_receipt_time:t latest_end_lsn:l latest_end_time:t",
			eachSubscription(func(s *subscription, add func(...value)) {
				add(oid(s.oid), text(s.name), text("apply"), pidOf(s.pid), nothing(typeInt4), nothing(typeOid), lsnValue(s.received), moment(s.lastMessage),
					moment(s.lastReceipt),
					lsnValue(s.latestEnd), moment(s.ended))
			})),
		"pg_stat_subscription_stats": shaped("subid:o subname apply_error_count:n sync_error_count:n", eachSubscription(func(s *subscription, add func(...value)) {
			add(oid(s.oid), text(s.name), number(int64(s.applyErrors)), number(int64(s.copyErrors)))
		})),
		"pg_replication_origin_status": shaped("local_id:o external_id remote_lsn:l local_lsn:l", eachSubscription(func(s *subscription, add func(...value)) {
			if n := len(s.progress); n > 0 {
				add(oid(s.oid), text(s.originName()), lsnValue(s.progress[n-1].remote), lsnValue(lsnOf(s.progress[n-1].at)))
			}
		})),
		"pg_replication_slots": shaped("slot_name plugin slot_type datoid:o database temporary:b active:b active_pid:i restart_lsn:l "+
			"confirmed_flush_lsn:l wal_status",
			locked(func(c *conn, add func(...value)) {
				for _, name := range sortedNames(c.host.slots) {
					s := c.host.slots[name]
					add(text(name), text(s.plugin), text("logical"), oid(s.db.oid), text(s.db.Name), boolean(s.temporary), boolean(s.pid != 0), pidOf(s.pid),
						lsnValue(s.restart),
						lsnValue(s.confirmed), text(map[bool]string{true: "lost", false: "reserved"}[s.lost]))
				}
			})),
		"pg_stat_replication": shaped("pid:i usename application_name client_addr state sent_lsn:l write_lsn:l flush_lsn:l replay_lsn:l sync_state", replicationRows),
		"pg_stat_activity": shaped("datid:o datname pid:i usename application_name client_addr backend_start:t xact_start:t "+
			"query_start:t state_change:t wait_event_type state backend_xid:x query backend_type",
			activityRows),
		"pg_settings": shaped("name setting", func(c *conn) (out [][]value) {
			for _, name := range sortedNames(defaults) {
				v, _ := c.set.get(name)
				out = append(out, []value{text(name), text(v)})
			}
			return out
		}),
	}
}

// eachSubscription goes through the subscriptions of all databases, of which pg_subscription is one catalogue.
func eachSubscription(of func(s *subscription, add func(...value))) func(c *conn) [][]value {
	return locked(func(c *conn, add func(...value)) {
		for _, name := range sortedNames(c.host.cluster.databases) {
			db := c.host.cluster.databases[name]
			for _, n := range sortedNames(db.subscriptions) {
				of(db.subscriptions[n], add)
			}
		}
	})
}

func replicationRows(c *conn) [][]value {
	cl := c.host.cluster
	cl.mu.Lock()
	var out [][]value
	for _, s := range c.host.senders {
		out = append(out, []value{
			pidOf(s.c.pid), text(s.c.user), text(s.c.set.start["application_name"]), text("127.0.0.1"), text(s.state), lsnValue(s.sent),
			lsnValue(s.flushed),
			lsnValue(s.flushed), lsnValue(s.flushed), text("async"),
		})
	}
	primary, last := cl.primary == c.host, lsnOf(max(1, cl.last))
	hosts := append([]*Host(nil), cl.hosts...)
	cl.mu.Unlock()
	for i, h := range hosts {
		if !primary || h == c.host || h.isDown() {
			continue
		}
		at, _ := h.stand()
		n := min(lsnOf(at), last)
		out = append(out, []value{
			small(100000 + i), text("replicator"), text(h.Name), text("127.0.0.1"), text("streaming"), lsnValue(last), lsnValue(n),
			lsnValue(n), lsnValue(n), text("async"),
		})
	}
	return out
}

func activityRows(c *conn) (out [][]value) {
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	waits := func(p *party) value {
		v := text("Lock")
		v.null = len(p.waits) == 0
		return v
	}
	c.host.conns.Range(func(o, _ any) bool {
		s := o.(*conn)
		a := s.doing.Load()
		if a == nil {
			return true
		}
		kind := "client backend"
		if s.replication {
			kind = "walsender"
		}
		xid := value{s: strconv.Itoa(int(a.xid)), typ: typeXid, null: a.xid == 0}
		out = append(out, []value{
			oid(s.db.oid), text(s.db.Name), pidOf(s.pid), text(s.user), text(s.set.start["application_name"]), text("127.0.0.1"),
			moment(a.changed), moment(a.began),
			moment(a.changed), moment(a.changed), waits(s.party), text(a.state), xid, text(a.query), text(kind),
		})
		return true
	})
	if cl.primary != c.host {
		return out
	}
	for _, name := range sortedNames(cl.databases) {
		for _, n := range sortedNames(cl.databases[name].subscriptions) {
			if s := cl.databases[name].subscriptions[n]; s.pid != 0 {
				out = append(out, []value{
					oid(s.db.oid), text(name), pidOf(s.pid), text("postgres"), text(""), nothing(typeText), nothing(typeTimestamptz),
					nothing(typeTimestamptz),
					nothing(typeTimestamptz), nothing(typeTimestamptz), waits(s.by), nothing(typeText), nothing(typeXid), text(""), text("logical replication apply worker"),
				})
			}
		}
	}
	return out
}

// relation is the object id that a name leads to; 0: nothing.
func (c *conn) relation(name string) uint32 {
	if n, err := strconv.ParseUint(name, 10, 32); err == nil {
		return uint32(n)
	}
	list, _, f := read(name)
	if f != nil || len(list) != 1 {
		return 0
	}
	p := &parser{&words{of: list[0]}}
	schema, short, f := p.relation()
	if f != nil || p.more() {
		return 0
	}
	if t, f := c.find(schema, short); f == nil {
		return t.oid
	}
	if q := c.db.sequence(schema, short, c.path()); q != nil {
		return q.oid
	}
	return 0
}

// relationName is the name of an object id, with its schema where the path does not lead to it.
func (c *conn) relationName(id string) string {
	cl := c.host.cluster
	cl.mu.Lock()
	var schema, name string
	for _, t := range c.db.tables {
		if strconv.Itoa(int(t.oid)) == id {
			schema, name = t.Schema, t.Name
		}
	}
	for _, q := range c.db.sequences {
		if strconv.Itoa(int(q.oid)) == id {
			schema, name = q.schema, q.name
		}
	}
	cl.mu.Unlock()
	if name == "" {
		return id
	}
	if t, f := c.find("", name); f == nil && strconv.Itoa(int(t.oid)) == id {
		return quoted(name)
	}
	return quoted(schema) + "." + quoted(name)
}

// sequenceOf finds a sequence by a function's argument.
func (c *conn) sequenceOf(name string) (*sequence, *fault) {
	list, _, f := read(name)
	if f == nil && len(list) == 1 {
		p := &parser{&words{of: list[0]}}
		if schema, short, f := p.relation(); f == nil {
			if q := c.db.sequence(schema, short, c.path()); q != nil {
				return q, nil
			}
		}
	}
	return nil, &fault{"42P01", fmt.Sprintf("relation %q does not exist", name)}
}

func (c *conn) mayWrite(what string) *fault {
	if c.tx != nil && c.tx.readOnly || !c.host.Primary() {
		return &fault{"25006", fmt.Sprintf("cannot execute %s in a read-only transaction", what)}
	}
	return nil
}

// advisory takes or lets go the locks of pg_advisory_lock and its kin.
func (c *conn) advisory(name string, a []value) (value, *fault) {
	var key []string
	for _, v := range a {
		key = append(key, v.s)
	}
	k := lockKey{nil, c.db.Name + "\x00" + strings.Join(key, "\x00")}
	cl := c.host.cluster
	if strings.Contains(name, "unlock") {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		held := cl.locks[k][c.session] != 0
		if name == "pg_advisory_unlock_all" {
			cl.release(c.session)
			return nothing(typeVoid), nil
		}
		if held {
			delete(cl.locks[k], c.session)
			if len(cl.locks[k]) == 0 {
				delete(cl.locks, k)
			}
			close(cl.freed)
			cl.freed = make(chan struct{})
		}
		return boolean(held), nil
	}
	by := c.actor()
	if !strings.Contains(name, "xact") {
		by.tx = c.session
		cl.mu.Lock()
		c.session.epoch = cl.epoch
		cl.mu.Unlock()
	}
	mode := exclusive
	if strings.HasSuffix(name, "_shared") {
		mode = share
	}
	f := by.lock(k, mode, strings.HasPrefix(name, "pg_try"))
	if strings.HasPrefix(name, "pg_try") {
		if f != nil && f.state != "55P03" {
			return value{}, f
		}
		return boolean(f == nil), nil
	}
	return value{s: "", typ: typeVoid}, f
}

// catalogueFunctions are the functions that ask for or change what the server keeps beside rows.
func catalogueFunctions() map[string]function {
	txt := []uint32{typeText}
	out := map[string]function{
		"pg_current_wal_lsn": {typeLSN, nil, func(v *env, _ []value) (value, *fault) {
			if !v.c.host.Primary() {
				return value{}, &fault{"55000", "recovery is in progress"}
			}
			cl := v.c.host.cluster
			cl.mu.Lock()
			defer cl.mu.Unlock()
			return lsnValue(lsnOf(max(1, cl.last))), nil
		}},
		"pg_walfile_name": strict(typeText, []uint32{typeLSN}, func(v *env, a []value) (value, *fault) {
			if !v.c.host.Primary() {
				return value{}, &fault{"55000", "recovery is in progress"}
			}
			at, err := ParseLSN(a[0].s)
			if err != nil {
				return value{}, &fault{"22P02", err.Error()}
			}
			cl := v.c.host.cluster
			cl.mu.Lock()
			defer cl.mu.Unlock()
			return text(fmt.Sprintf("%08X%08X%08X", cl.epoch+1, at>>32, uint32(at)>>24)), nil // the timeline rises with each failover
		}),
		"pg_last_wal_replay_lsn": {typeLSN, nil, func(v *env, _ []value) (value, *fault) {
			at, primary := v.c.host.stand()
			if primary {
				return nothing(typeLSN), nil
			}
			cl := v.c.host.cluster
			cl.mu.Lock()
			defer cl.mu.Unlock()
			return lsnValue(min(lsnOf(at), lsnOf(max(1, cl.last)))), nil
		}},
		"pg_database_size": strict(typeInt8, txt, func(v *env, a []value) (value, *fault) {
			cl := v.c.host.cluster
			cl.mu.Lock()
			defer cl.mu.Unlock()
			for name, db := range cl.databases {
				if name == a[0].s || strconv.Itoa(int(db.oid)) == a[0].s {
					n := int64(0)
					for _, t := range db.tables {
						n += t.size()
					}
					return number(n), nil
				}
			}
			return value{}, &fault{"3D000", fmt.Sprintf("database %q does not exist", a[0].s)}
		}),
		"to_regclass": strict(typeRegclass, txt, func(v *env, a []value) (value, *fault) {
			id := v.c.relation(a[0].s)
			return value{s: strconv.Itoa(int(id)), typ: typeRegclass, null: id == 0}, nil
		}),
		"pg_get_serial_sequence": strict(typeText, []uint32{typeText, typeText}, func(v *env, a []value) (value, *fault) {
			q, f := v.c.sequenceOf(a[0].s + "_" + a[1].s + "_seq")
			if f != nil {
				return nothing(typeText), nil
			}
			return text(q.schema + "." + q.name), nil
		}),
		"pg_table_is_visible": strict(typeBool, []uint32{typeOid}, func(v *env, a []value) (value, *fault) {
			return boolean(!strings.Contains(v.c.relationName(a[0].s), ".")), nil
		}),
		"nextval": strict(typeInt8, txt, func(v *env, a []value) (value, *fault) {
			q, f := v.c.sequenceOf(a[0].s)
			if f == nil {
				f = v.c.mayWrite("nextval()")
			}
			if f != nil {
				return value{}, f
			}
			v.c.host.cluster.mu.Lock()
			defer v.c.host.cluster.mu.Unlock()
			if q.called {
				q.last += q.step
			}
			q.called = true
			return number(q.last), nil
		}),
		"currval": strict(typeInt8, txt, func(v *env, a []value) (value, *fault) {
			q, f := v.c.sequenceOf(a[0].s)
			if f != nil {
				return value{}, f
			}
			v.c.host.cluster.mu.Lock()
			defer v.c.host.cluster.mu.Unlock()
			return number(q.last), nil
		}),
		"setval": {typeInt8, []uint32{typeText, typeInt8, typeBool}, func(v *env, a []value) (value, *fault) {
			if len(a) < 2 || a[0].null || a[1].null {
				return nothing(typeInt8), nil
			}
			q, f := v.c.sequenceOf(a[0].s)
			if f == nil {
				f = v.c.mayWrite("setval()")
			}
			if f != nil {
				return value{}, f
			}
			v.c.host.cluster.mu.Lock()
			defer v.c.host.cluster.mu.Unlock()
			q.last, _ = strconv.ParseInt(a[1].s, 10, 64)
			q.called = len(a) < 3 || a[2].yes()
			return number(q.last), nil
		}},
		"pg_create_logical_replication_slot": strict(typeText, []uint32{typeText, typeText}, func(v *env, a []value) (value, *fault) {
			if len(v.c.tx.changes) > 0 {
				return value{}, &fault{"25001", "cannot create logical replication slot in transaction that has performed writes"}
			}
			s, f := v.c.createSlot(a[0].s, a[1].s, len(a) > 2 && a[2].yes())
			if f != nil {
				return value{}, f
			}
			return text("(" + s.name + "," + lsnText(s.confirmed) + ")"), nil
		}),
		"pg_drop_replication_slot": strict(typeVoid, txt, func(v *env, a []value) (value, *fault) {
			return value{typ: typeVoid}, v.c.dropSlot(a[0].s)
		}),
		"pg_terminate_backend": strict(typeBool, []uint32{typeInt4}, func(v *env, a []value) (value, *fault) { return v.c.signal(a[0].s, true), nil }),
		"pg_cancel_backend":    strict(typeBool, []uint32{typeInt4}, func(v *env, a []value) (value, *fault) { return v.c.signal(a[0].s, false), nil }),
		"pg_current_xact_id": {typeInt8, nil, func(v *env, _ []value) (value, *fault) {
			if f := v.c.mayWrite("pg_current_xact_id()"); f != nil {
				return value{}, f
			}
			v.c.assign()
			return number(int64(v.c.tx.xid)), nil
		}},
	}
	out["pg_current_wal_insert_lsn"] = out["pg_current_wal_lsn"]
	out["txid_current"] = out["pg_current_xact_id"]
	for _, name := range []string{"pg_advisory_lock", "pg_advisory_lock_shared", "pg_advisory_xact_lock", "pg_advisory_xact_lock_shared"} {
		out[name] = function{typeVoid, []uint32{typeInt8}, func(v *env, a []value) (value, *fault) { return v.c.advisory(name, a) }}
	}
	for _, name := range []string{
		"pg_try_advisory_lock", "pg_try_advisory_lock_shared", "pg_try_advisory_xact_lock", "pg_try_advisory_xact_lock_shared",
		"pg_advisory_unlock",
		"pg_advisory_unlock_shared",
	} {
		out[name] = function{typeBool, []uint32{typeInt8}, func(v *env, a []value) (value, *fault) { return v.c.advisory(name, a) }}
	}
	out["pg_advisory_unlock_all"] = function{typeVoid, nil, func(v *env, a []value) (value, *fault) { return v.c.advisory("pg_advisory_unlock_all", a) }}
	return out
}

// assign gives the transaction a number, as its first change does.
func (c *conn) assign() {
	if c.tx.xid != 0 {
		return
	}
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.xids++
	c.tx.xid = cl.xids
	cl.writers[c.tx] = true
}

// signal ends another session of this host, or what it does.
func (c *conn) signal(pid string, end bool) value {
	found := false
	c.host.conns.Range(func(o, _ any) bool {
		s := o.(*conn)
		if s.doing.Load() == nil || strconv.Itoa(int(s.pid)) != pid {
			return true
		}
		found = true
		if end {
			s.terminated.Store(true)
			_ = s.net.SetReadDeadline(time.Now())
		} else if s.running.Load() {
			s.cancelled.Store(true)
		}
		return false
	})
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, db := range cl.databases {
		for _, s := range db.subscriptions {
			if s.pid != 0 && strconv.Itoa(int(s.pid)) == pid {
				found = true
				s.kick()
			}
		}
	}
	return boolean(found)
}

// size is the bytes of a table's rows as they stand. The cluster's lock is held.
func (t *Table) size() (n int64) {
	n = 8192
	t.rows.Ascend(func(r *tableRow) bool {
		if vs := r.as(math.Inf(1)); vs != nil {
			n += 24 // a row's header
			for _, v := range vs {
				n += int64(len(v.s))
			}
		}
		return true
	})
	return n
}
