package host

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/btree"
)

// Database is what clients that name it at startup see: its own tables, sequences, publications and subscriptions. All
// that it keeps stands under its cluster's lock.
type Database struct {
	Name string

	cluster       *Cluster
	oid           uint32
	schemas       map[string]uint32
	tables        map[string]*Table // by schema and name, with a dot
	sequences     map[string]*sequence
	functions     map[string]string // their bodies
	publications  map[string]*publication
	subscriptions map[string]*subscription
	extensions    []string
	largeObjects  int
	preparedXacts []string
	wal           []*logged // what a slot of the primary's still needs
	walChanges    int
}

// Column is one of a table's.
type Column struct {
	Name    string
	Type    uint32 // OID
	NotNull bool
	def     *expr
}

// Table is one of a database's. Its rows are sorted by their primary key, bytes of text by their value.
type Table struct {
	Schema, Name string

	db        *Database
	oid       uint32
	columns   []Column
	key       []int // the columns of its primary key
	identity  byte  // REPLICA IDENTITY: d default, f full, n nothing
	unlogged  bool
	overwrite bool
	rows      *btree.BTreeG[*tableRow]
	triggers  map[string]*trigger
	serial    uint64 // of a table without a key
}

type tableRow struct {
	key      string
	versions []tableVersion
}

// tableVersion is a row as of a commit; no values: it was deleted.
type tableVersion struct {
	at     float64
	values []value
	origin string // of which subscription's apply; none: an ordinary transaction
}

// trigger runs before INSERT, UPDATE, DELETE or TRUNCATE, or, that of ashstand.mark(), after it.
type trigger struct {
	events   string // of i, u, d, t
	function string
	enabled  byte // as pg_trigger.tgenabled: O, D, R, A
	once     bool // FOR EACH STATEMENT
	after    bool
	args     []string // TG_ARGV
}

type sequence struct {
	schema, name string
	oid          uint32
	last         int64
	called       bool
	start, step  int64
}

// Database makes a database, or gives the one of that name. It has the table public.entries (ref text primary key,
// payload text).
func (c *Cluster) Database(name string) *Database {
	c.mu.Lock()
	defer c.mu.Unlock()
	if db := c.databases[name]; db != nil {
		return db
	}
	db := &Database{
		Name: name, cluster: c, schemas: map[string]uint32{"public": 2200, "pg_catalog": 11}, tables: map[string]*Table{},
		sequences: map[string]*sequence{},
		functions: map[string]string{}, publications: map[string]*publication{}, subscriptions: map[string]*subscription{},
	}
	db.oid = c.newOid()
	c.databases[name] = db
	db.add("public", "entries")
	return db
}

// Strict says whether a client that names a database which the cluster lacks is refused with 3D000.
func (c *Cluster) Strict(on bool) {
	c.mu.Lock()
	c.strict = on
	c.mu.Unlock()
}

func (c *Cluster) newOid() uint32 {
	c.oids++
	return 16384 + c.oids
}

// add makes a table of a ref and a payload. The cluster's lock is held.
func (db *Database) add(schema, name string) *Table {
	t := db.cluster.newTable(db, schema, name)
	t.columns = []Column{{Name: "ref", Type: typeText, NotNull: true}, {Name: "payload", Type: typeText}}
	t.key = []int{0}
	db.tables[schema+"."+name] = t
	return t
}

func (c *Cluster) newTable(db *Database, schema, name string) *Table {
	if _, ok := db.schemas[schema]; !ok {
		db.schemas[schema] = c.newOid()
	}
	return &Table{Schema: schema, Name: name, db: db, oid: c.newOid(), identity: 'd', triggers: map[string]*trigger{}, rows: newRows()}
}

func newRows() *btree.BTreeG[*tableRow] {
	return btree.NewG(32, func(a, b *tableRow) bool { return a.key < b.key })
}

// Traits are what a table has beside its columns.
type Traits struct {
	Identity   byte // REPLICA IDENTITY: d (by its primary key), f (full), n (nothing); 0: d
	Unlogged   bool
	NoKey      bool // it has no primary key
	Overwrites bool // an ordinary INSERT of a key that is there makes a new version, as in the data without a database
}

// Table makes a table of a ref and a payload, or gives the one of that name; a schema may stand before it.
func (db *Database) Table(name string, of Traits) *Table {
	c := db.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	schema, short, ok := strings.Cut(name, ".")
	if !ok {
		schema, short = "public", name
	}
	t := db.tables[schema+"."+short]
	if t == nil {
		t = db.add(schema, short)
	}
	if of.Identity != 0 {
		t.identity = of.Identity
	}
	t.unlogged, t.overwrite = of.Unlogged, of.Overwrites
	if of.NoKey {
		t.key = nil
	}
	return t
}

// Seed puts so many rows into a table of a ref and a payload from the beginning, with the refs seed-0000000 and so on.
func (t *Table) Seed(n int) {
	c := t.db.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range n {
		vs := []value{text(fmt.Sprintf("seed-%07d", i)), text(fmt.Sprint("payload of ", i))}
		t.version(t.keyFor(vs), tableVersion{at: 1, values: vs})
	}
}

// AddExtension records an extension in the catalogue.
func (db *Database) AddExtension(name string) {
	db.cluster.mu.Lock()
	db.extensions = append(db.extensions, name)
	db.cluster.mu.Unlock()
}

// AddLargeObject records a large object.
func (db *Database) AddLargeObject() {
	db.cluster.mu.Lock()
	db.largeObjects++
	db.cluster.mu.Unlock()
}

// AddPrepared records a prepared transaction, which stays open.
func (db *Database) AddPrepared(gid string) {
	db.cluster.mu.Lock()
	db.preparedXacts = append(db.preparedXacts, gid)
	db.cluster.mu.Unlock()
}

// keyFor is the key of a row; a table without one counts them.
func (t *Table) keyFor(vs []value) string {
	if len(t.key) == 0 {
		t.serial++
		return fmt.Sprintf("%016x", t.serial)
	}
	if len(t.key) == 1 {
		return keyOf(vs[t.key[0]])
	}
	var k []value
	for _, i := range t.key {
		k = append(k, vs[i])
	}
	return keyOf(k...)
}

func (t *Table) column(name string) int {
	return slices.IndexFunc(t.columns, func(c Column) bool { return c.Name == name })
}

func (t *Table) version(key string, v tableVersion) {
	r, ok := t.rows.Get(&tableRow{key: key})
	if !ok {
		r = &tableRow{key: key}
		t.rows.ReplaceOrInsert(r)
	}
	r.versions = append(r.versions, v)
}

// as is the row as of a position; none: it was not there.
func (r *tableRow) as(at float64) []value {
	i := len(r.versions)
	if i > 0 && r.versions[i-1].at > at {
		i = sort.Search(i, func(i int) bool { return r.versions[i].at > at })
	}
	if i == 0 {
		return nil
	}
	return r.versions[i-1].values
}

// get is a row as of a position. The cluster's lock is held, as for all here.
func (t *Table) get(key string, at float64) []value {
	if r, ok := t.rows.Get(&tableRow{key: key}); ok {
		vs := r.as(at)
		return vs
	}
	return nil
}

// hit is a row that a scan found.
type hit struct {
	key    string
	values []value
}

// span is a range of keys, both ends within.
type span struct{ from, to string }

const (
	lowest  = ""
	highest = "\xff\xff\xff\xff"
)

// chunk reads up to n rows as of a position in a span of keys.
func (t *Table) chunk(s span, at float64, down bool, n int) (out []hit, next string, more bool) {
	t.db.cluster.mu.Lock()
	defer t.db.cluster.mu.Unlock()
	seen := 0
	visit := func(r *tableRow) bool {
		if !down && r.key > s.to || down && r.key < s.from {
			return false
		}
		if seen++; seen > n {
			next, more = r.key, true
			return false
		}
		if vs := r.as(at); vs != nil {
			out = append(out, hit{r.key, vs})
		}
		return true
	}
	if down {
		t.rows.DescendLessOrEqual(&tableRow{key: s.to}, visit)
	} else {
		t.rows.AscendGreaterOrEqual(&tableRow{key: s.from}, visit)
	}
	return out, next, more
}

// scan gives the rows of a span in the order of their keys, with what a transaction has written over them, until see
// says no.
func (t *Table) scan(s span, at float64, down bool, tx *transaction, see func(hit) (bool, *fault)) *fault {
	over := tx.over[t]
	var mine []string
	for k := range over {
		if k >= s.from && k <= s.to {
			mine = append(mine, k)
		}
	}
	sort.Strings(mine)
	if down {
		slices.Reverse(mine)
	}
	before := func(a, b string) bool { return a < b && !down || a > b && down }
	own := func() (bool, *fault) {
		k := mine[0]
		mine = mine[1:]
		if vs := over[k]; vs != nil {
			return see(hit{k, vs})
		}
		return true, nil
	}
	for n := 64; ; n = min(2*n, 2048) {
		list, next, more := t.chunk(s, at, down, n)
		for _, h := range list {
			for len(mine) > 0 && before(mine[0], h.key) {
				if on, f := own(); f != nil || !on {
					return f
				}
			}
			if len(mine) > 0 && mine[0] == h.key {
				if on, f := own(); f != nil || !on {
					return f
				}
				continue
			}
			if on, f := see(h); f != nil || !on {
				return f
			}
		}
		if !more {
			break
		}
		if down {
			s.to = next
		} else {
			s.from = next
		}
	}
	for len(mine) > 0 {
		if on, f := own(); f != nil || !on {
			return f
		}
	}
	return nil
}

// change is one row's, by a transaction.
type change struct {
	op       byte // I, U, D; TRUNCATE is an X for each row, which no publication tells, and a T
	table    *Table
	key, was string // was: the key before an UPDATE of it
	old, new []value
}

// put notes a change in the transaction's own view.
func (tx *transaction) put(ch change) {
	tx.changes = append(tx.changes, ch)
	tx.see(ch)
}

func (tx *transaction) see(ch change) {
	if ch.op == 'T' {
		return
	}
	if tx.over == nil {
		tx.over = map[*Table]map[string][]value{}
	}
	m := tx.over[ch.table]
	if m == nil {
		m = map[string][]value{}
		tx.over[ch.table] = m
	}
	if ch.op == 'U' && ch.was != ch.key {
		m[ch.was] = nil
	}
	m[ch.key] = ch.new
}

// backTo forgets the changes from the nth on.
func (tx *transaction) backTo(n int) {
	if n == len(tx.changes) {
		return
	}
	tx.changes, tx.over = tx.changes[:n], nil
	for _, ch := range tx.changes {
		tx.see(ch)
	}
}

// lockMode says how a row, or a number of pg_advisory_lock, is held.
type lockMode int

const (
	share lockMode = iota + 1
	exclusive
)

// lockKey names what is locked: a row, or with no table an advisory number.
type lockKey struct {
	table *Table
	key   string
}

// actor is who changes rows: a session or a subscription's apply.
type actor struct {
	cluster *Cluster
	host    *Host
	tx      *transaction
	timeout time.Duration // of waiting for a lock; 0: as long as it takes
	stop    func() *fault // why to wait no longer
	role    string        // session_replication_role
}

// demoted is why a transaction of a host that has lost its role can not go on.
func demoted() *fault {
	return &fault{"25006", "cannot write: this server is no primary any more"}
}

// lock takes a lock until the transaction ends, and waits for those who hold it. Who holds it to read lets others read:
// one that wants to write may be passed by them for long, as in PostgreSQL.
func (a *actor) lock(k lockKey, mode lockMode, noWait bool) *fault {
	c, tx := a.cluster, a.tx
	began := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { tx.by.waits = nil }()
	for {
		if c.primary != a.host || tx.epoch != c.epoch {
			return demoted()
		}
		held := c.locks[k]
		var others []*party
		for o, m := range held {
			if o.by != tx.by && (m == exclusive || mode == exclusive) {
				others = append(others, o.by)
			}
		}
		if len(others) == 0 {
			if held == nil {
				held = map[*transaction]lockMode{}
				c.locks[k] = held
			}
			if held[tx] == 0 {
				tx.held = append(tx.held, k)
			}
			held[tx] = max(held[tx], mode)
			return nil
		}
		if noWait {
			return &fault{"55P03", "could not obtain lock on row"}
		}
		if tx.by.waits = others; tx.by.waitsFor(tx.by, map[*party]bool{}) {
			return &fault{"40P01", "deadlock detected"}
		}
		if a.timeout > 0 && time.Since(began) >= a.timeout {
			return &fault{"55P03", "canceling statement due to lock timeout"}
		}
		freed := c.freed
		c.mu.Unlock()
		wait := 10 * time.Millisecond // how soon a cancel and the timeout are seen
		if a.timeout > 0 {
			wait = min(wait, a.timeout-time.Since(began))
		}
		select {
		case <-freed:
		case <-time.After(wait):
		}
		f := a.stop()
		c.mu.Lock()
		if f != nil {
			return f
		}
	}
}

// party is who holds locks in its transaction or, those of pg_advisory_lock, beyond it.
type party struct{ waits []*party }

func (p *party) waitsFor(who *party, seen map[*party]bool) bool {
	for _, o := range p.waits {
		if o == who {
			return true
		}
		if !seen[o] {
			seen[o] = true
			if o.waitsFor(who, seen) {
				return true
			}
		}
	}
	return false
}

// release lets go what a transaction holds. The cluster's lock is held.
func (c *Cluster) release(tx *transaction) {
	delete(c.writers, tx)
	if len(tx.held) == 0 {
		return
	}
	for _, k := range tx.held {
		if m := c.locks[k]; m != nil {
			if delete(m, tx); len(m) == 0 {
				delete(c.locks, k)
			}
		}
	}
	tx.held = nil
	close(c.freed)
	c.freed = make(chan struct{})
}

// current is a row as the transaction would change it: its own version, else the last that is committed.
func (a *actor) current(t *Table, key string) []value {
	if vs, ok := a.tx.over[t][key]; ok {
		return vs
	}
	a.cluster.mu.Lock()
	defer a.cluster.mu.Unlock()
	return t.get(key, math.Inf(1))
}

// write notes a change and makes the transaction one that writes; then triggers that run after it do.
func (a *actor) write(ch change) *fault {
	a.tx.put(ch)
	if a.tx.xid == 0 {
		a.cluster.mu.Lock()
		a.cluster.xids++
		a.tx.xid = a.cluster.xids
		a.cluster.writers[a.tx] = true
		a.cluster.mu.Unlock()
	}
	return a.mark(ch)
}

// on says whether a trigger runs for this actor.
func (tr *trigger) on(role string) bool {
	return tr.enabled == 'A' || tr.enabled == 'O' && role != "replica" || tr.enabled == 'R' && role == "replica"
}

// mark is the function ashstand.mark(): it notes in ashstand.touched (tab, key) which row was changed, once each. The key is
// that of the columns which the trigger names, as a JSON array of their texts; without columns, and of a TRUNCATE, it is empty.
func (a *actor) mark(ch change) *fault {
	db, event := ch.table.db, strings.ToLower(string(ch.op))
	a.cluster.mu.Lock()
	touched := db.tables["ashstand.touched"]
	var keys []string
	for _, tr := range ch.table.triggers {
		if tr.function != "ashstand.mark" || !tr.on(a.role) || !strings.Contains(tr.events, event) {
			continue
		}
		if ch.op == 'T' {
			keys = append(keys, "")
			continue
		}
		for _, vs := range [][]value{ch.old, ch.new} {
			if vs != nil {
				keys = append(keys, ch.table.jsonKey(vs, tr.args))
			}
		}
	}
	a.cluster.mu.Unlock()
	for _, k := range keys {
		if touched == nil {
			return &fault{"42P01", `relation "ashstand.touched" does not exist`}
		}
		if _, _, f := a.insert(touched, []value{text(ch.table.Schema + "." + ch.table.Name), text(k)}); f != nil {
			return f
		}
	}
	return nil
}

func (t *Table) jsonKey(vs []value, columns []string) string {
	var key []string
	for _, c := range columns {
		if i := t.column(c); i >= 0 {
			key = append(key, vs[i].s)
		}
	}
	if key == nil {
		return ""
	}
	b, _ := json.Marshal(key)
	return string(b)
}

// insert adds a row. taken: one of that key is there.
func (a *actor) insert(t *Table, vs []value) (taken bool, key string, f *fault) {
	for i, col := range t.columns {
		if vs[i], f = vs[i].as(col.Type); f != nil {
			return false, "", f
		}
		if col.NotNull && vs[i].null {
			return false, "", &fault{"23502", fmt.Sprintf("null value in column %q of relation %q violates not-null constraint", col.Name, t.Name)}
		}
	}
	if len(t.key) == 0 {
		a.cluster.mu.Lock()
		key = t.keyFor(vs)
		a.cluster.mu.Unlock()
	} else {
		key = t.keyFor(vs)
	}
	if f = a.lock(lockKey{t, key}, exclusive, false); f != nil {
		return false, key, f
	}
	if old := a.current(t, key); old != nil {
		if !t.overwrite {
			return true, key, nil
		}
		return false, key, a.write(change{op: 'U', table: t, key: key, was: key, old: old, new: vs})
	}
	return false, key, a.write(change{op: 'I', table: t, key: key, was: key, new: vs})
}

func (t *Table) duplicate(vs []value) *fault {
	var names, words []string
	for _, i := range t.key {
		names, words = append(names, t.columns[i].Name), append(words, vs[i].s)
	}
	return &fault{"23505", fmt.Sprintf("duplicate key value violates unique constraint %q: Key (%s)=(%s) already exists.",
		t.Name+"_pkey", strings.Join(names, ", "), strings.Join(words, ", "))}
}

// update changes a row whose lock is held.
func (a *actor) update(t *Table, key string, old, vs []value) (f *fault) {
	for i, col := range t.columns {
		if vs[i], f = vs[i].as(col.Type); f != nil {
			return f
		}
		if col.NotNull && vs[i].null {
			return &fault{"23502", fmt.Sprintf("null value in column %q of relation %q violates not-null constraint", col.Name, t.Name)}
		}
	}
	to := key
	if len(t.key) > 0 {
		to = t.keyFor(vs)
	}
	if to != key {
		if f = a.lock(lockKey{t, to}, exclusive, false); f != nil {
			return f
		}
		if a.current(t, to) != nil {
			return t.duplicate(vs)
		}
	}
	return a.write(change{op: 'U', table: t, key: to, was: key, old: old, new: vs})
}

// fires runs the triggers before a change of a table: those for each statement (once) or for each row.
func (a *actor) fires(t *Table, event string, once bool) *fault {
	a.cluster.mu.Lock()
	var run []string
	for _, tr := range t.triggers {
		if !tr.after && tr.on(a.role) && tr.once == once && strings.Contains(tr.events, event) {
			run = append(run, tr.function)
		}
	}
	a.cluster.mu.Unlock()
	for _, name := range run {
		if name == "ashstand.guard" {
			if f := a.guard(t.db); f != nil {
				return f
			}
		}
	}
	return nil
}

// guardReads finds the table that the body of ashstand.guard() reads; ashstand.fence where it names none.
var guardReads = regexp.MustCompile(`from\s+(ashstand\.\w+)`)

// guard is the function ashstand.guard(): it refuses while a row of the fence says that the tenant is closed. Where its
// body has FOR SHARE or FOR KEY SHARE it locks these rows, so that who closes waits for who writes; without it a
// transaction that was past the guard may commit after the tenant was closed.
func (a *actor) guard(db *Database) *fault {
	a.cluster.mu.Lock()
	body := strings.ToLower(db.functions["ashstand.guard"])
	name := "ashstand.fence"
	if m := guardReads.FindStringSubmatch(body); m != nil {
		name = m[1]
	}
	fence := db.tables[name]
	a.cluster.mu.Unlock()
	if fence == nil {
		return &fault{"42P01", fmt.Sprintf("relation %q does not exist", name)}
	}
	closed := fence.column("closed")
	locks := strings.Contains(body, "for share") || strings.Contains(body, "for key share")
	var keys []string
	a.cluster.mu.Lock()
	fence.rows.Ascend(func(r *tableRow) bool {
		if vs := r.as(math.Inf(1)); vs != nil {
			keys = append(keys, r.key)
		}
		return true
	})
	a.cluster.mu.Unlock()
	for _, k := range keys {
		if locks {
			if f := a.lock(lockKey{fence, k}, share, false); f != nil {
				return f
			}
		}
		if vs := a.current(fence, k); vs != nil && closed >= 0 && vs[closed].yes() {
			return &fault{"55000", "tenant is closed"}
		}
	}
	return nil
}

// logged is a commit as the log has it: what logical decoding reads, and what a failover may lose.
type logged struct {
	at      float64
	db      *Database // none: the data without a database
	writes  []write
	changes []change
	origin  string
	remote  uint64 // the position at the origin that the commit applied
	host    string
}

// keptCommits bounds how many commits a failover can lose, in commits.
const keptCommits = 4096

// commitChanges makes what a transaction changed in databases permanent.
func (c *Cluster) commitChanges(h *Host, tx *transaction) (at float64, f *fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.release(tx)
	if len(tx.changes) == 0 && tx.origin == "" {
		return 0, nil
	}
	if c.primary != h || tx.epoch != c.epoch {
		return 0, demoted()
	}
	if len(tx.changes) == 0 { // an apply of nothing: no commit of its own
		if tx.done != nil {
			tx.done(c.last)
		}
		return c.last, nil
	}
	at = c.advance()
	for _, ch := range tx.changes {
		if ch.op == 'T' {
			continue
		}
		if ch.was != ch.key {
			ch.table.version(ch.was, tableVersion{at: at, origin: tx.origin})
		}
		ch.table.version(ch.key, tableVersion{at, ch.new, tx.origin})
	}
	r := &logged{at: at, db: tx.db, changes: tx.changes, origin: tx.origin, remote: tx.remote, host: h.Name}
	c.remember(r)
	c.decode(r)
	if tx.done != nil {
		tx.done(at)
	}
	return at, nil
}

// advance gives the position of a new commit, in whole microseconds. The cluster's lock is held.
func (c *Cluster) advance() float64 {
	c.last = atOf(max(lsnOf(Now()), lsnOf(c.last)+1))
	c.commits++
	return c.last
}

func (c *Cluster) remember(r *logged) {
	c.recent = append(c.recent, r)
	if len(c.recent) >= 2*keptCommits {
		c.recent = append([]*logged(nil), c.recent[len(c.recent)-keptCommits:]...)
	}
}
