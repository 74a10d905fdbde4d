package host

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// publication is which tables' changes are published.
type publication struct {
	name                             string
	oid                              uint32
	all                              bool
	tables                           []*Table
	insert, update, delete, truncate bool
}

// has says whether a table is of the publication; an unlogged one is of none. The cluster's lock is held.
func (p *publication) has(t *Table) bool {
	return !t.unlogged && (p.all || slices.Contains(p.tables, t))
}

func (p *publication) tells(op byte) bool {
	return op == 'I' && p.insert || op == 'U' && p.update || op == 'D' && p.delete || op == 'T' && p.truncate
}

// slot is a logical replication slot: of one host, gone with it.
type slot struct {
	name, plugin       string
	db                 *Database
	pid                uint32 // who streams from it; 0: nobody
	restart, confirmed uint64
	temporary          bool
	lost               bool // the log that it needs was removed
}

// maxSlots is max_replication_slots, in slots.
const maxSlots = 10

// keptChanges bounds the log that slots hold back, in changes of a database: beyond it they are lost, as with
// max_slot_wal_keep_size.
const keptChanges = 2_000_000

// Replication is how logical replication runs in time.
type Replication struct {
	Retry       time.Duration // before a worker that failed starts again: wal_retrieve_retry_interval
	Timeout     time.Duration // after so long of nothing a link is given up by either end: wal_receiver_timeout, wal_sender_timeout
	CopyRows    float64       // rows a second that an initial copy sends, each table's; 0: no bound
	ConnectTime time.Duration // a dial's bound
}

// SetReplication changes it. It begins with what PostgreSQL has: 5 s, 60 s, no bound and 10 s.
func (c *Cluster) SetReplication(r Replication) {
	c.mu.Lock()
	c.replication = r
	c.mu.Unlock()
}

func (c *Cluster) timing() Replication {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replication
}

// decode keeps a commit for the slots of its database, and wakes who waits for commits. The cluster's lock is held.
func (c *Cluster) decode(r *logged) {
	close(c.committed)
	c.committed = make(chan struct{})
	if r.db == nil || c.primary == nil || len(r.changes) == 0 {
		return
	}
	held := false
	for _, s := range c.primary.slots {
		held = held || s.db == r.db && !s.lost
	}
	if !held {
		return
	}
	r.db.wal = append(r.db.wal, r)
	if r.db.walChanges += len(r.changes); r.db.walChanges > keptChanges {
		for _, s := range c.primary.slots {
			s.lost = s.lost || s.db == r.db
		}
		r.db.wal, r.db.walChanges = nil, 0
	}
}

// trim forgets the log that no slot needs any more. The cluster's lock is held.
func (c *Cluster) trim(db *Database) {
	need := ^uint64(0)
	if c.primary != nil {
		for _, s := range c.primary.slots {
			if s.db == db && !s.lost {
				need = min(need, s.confirmed)
			}
		}
	}
	for len(db.wal) > 0 && lsnOf(db.wal[0].at) <= need {
		db.walChanges -= len(db.wal[0].changes)
		db.wal = db.wal[1:]
	}
}

// createSlot makes a slot once the transactions that write now have ended.
func (c *conn) createSlot(name, plugin string, temporary bool) (*slot, *fault) {
	cl := c.host.cluster
	if plugin != "pgoutput" {
		return nil, &fault{"58P01", fmt.Sprintf("could not access file %q: No such file or directory", plugin)}
	}
	if !slotName.MatchString(name) {
		return nil, &fault{"42602", fmt.Sprintf("replication slot name %q contains invalid character", name)}
	}
	cl.mu.Lock()
	check := func() *fault {
		switch {
		case cl.primary != c.host:
			return &fault{"55000", "logical decoding cannot be used while in recovery"}
		case c.host.slots[name] != nil:
			return &fault{"42710", fmt.Sprintf("replication slot %q already exists", name)}
		case len(c.host.slots) >= maxSlots:
			return &fault{"53400", "all replication slots are in use"}
		}
		return nil
	}
	f, stop := check(), c.actor().stop
	older := map[*transaction]bool{}
	for tx := range cl.writers {
		if tx != c.tx {
			older[tx] = true
		}
	}
	for f == nil {
		for tx := range older {
			if !cl.writers[tx] {
				delete(older, tx)
			}
		}
		if len(older) == 0 {
			break
		}
		cl.mu.Unlock()
		time.Sleep(2 * time.Millisecond) // until they have ended
		f = stop()
		cl.mu.Lock()
		if f == nil {
			f = check()
		}
	}
	defer cl.mu.Unlock()
	if f != nil {
		return nil, f
	}
	at := lsnOf(max(1, cl.last))
	s := &slot{name: name, plugin: plugin, db: c.db, restart: at, confirmed: at, temporary: temporary}
	c.host.slots[name] = s
	if temporary {
		s.pid = c.pid
		c.slots = append(c.slots, name)
	}
	return s, nil
}

var slotName = regexp.MustCompile(`^[a-z0-9_]{1,63}$`)

// dropSlot removes a slot that nobody streams from.
func (c *conn) dropSlot(name string) *fault {
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	s := c.host.slots[name]
	switch {
	case s == nil:
		return &fault{"42704", fmt.Sprintf("replication slot %q does not exist", name)}
	case s.pid != 0 && s.pid != c.pid:
		return &fault{"55006", fmt.Sprintf("replication slot %q is active for PID %d", name, s.pid)}
	}
	delete(c.host.slots, name)
	cl.trim(s.db)
	return nil
}

// streamed is one message of a stream of changes: the stand-in's own form, in JSON, where PostgreSQL has pgoutput's. A
// commit comes as rows, in parts, and its end.
type streamed struct {
	LSN    string
	Origin string        `json:",omitempty"`
	Rows   []streamedRow `json:",omitempty"`
	End    bool          `json:",omitempty"`
}

type streamedRow struct {
	Op            string // I, U, D, T
	Schema, Table string
	Columns       []string  `json:",omitempty"`
	Old, New      []*string `json:",omitempty"` // Old: the replica identity, nil for columns that are not of it
}

func pointers(vs []value, only []int) (out []*string) {
	for i, v := range vs {
		if v.null || only != nil && !slices.Contains(only, i) {
			out = append(out, nil)
		} else {
			out = append(out, &v.s)
		}
	}
	return out
}

// published gives a commit as publications tell it. The cluster's lock is held.
func (db *Database) published(r *logged, names []string) (out []streamedRow, f *fault) {
	for _, ch := range r.changes {
		t, told := ch.table, false
		for _, name := range names {
			p := db.publications[name]
			if p == nil {
				return nil, &fault{"42704", fmt.Sprintf("publication %q does not exist", name)}
			}
			told = told || p.has(t) && p.tells(ch.op)
		}
		if !told {
			continue
		}
		row := streamedRow{Op: string(ch.op), Schema: t.Schema, Table: t.Name}
		for _, col := range t.columns {
			row.Columns = append(row.Columns, col.Name)
		}
		if ch.new != nil {
			row.New = pointers(ch.new, nil)
		}
		if ch.old != nil {
			only := t.key
			if t.identity == 'f' {
				only = nil
			}
			row.Old = pointers(ch.old, only)
		}
		out = append(out, row)
	}
	return out, nil
}

// The forms of what a connection in replication mode is told beside SQL.
var (
	startForm  = regexp.MustCompile(`(?is)^\s*START_REPLICATION\s+SLOT\s+"?([a-z0-9_]+)"?\s+LOGICAL\s+([0-9a-f]+/[0-9a-f]+)\s*\((.*)\)\s*;?\s*$`)
	createForm = regexp.MustCompile(`(?is)^\s*CREATE_REPLICATION_SLOT\s+"?([a-z0-9_]+)"?\s+(TEMPORARY\s+)?LOGICAL\s+"?(\w+)"?`)
	dropForm   = regexp.MustCompile(`(?is)^\s*DROP_REPLICATION_SLOT\s+"?([a-z0-9_]+)"?`)
	optionForm = regexp.MustCompile(`(?is)(\w+)\s+'((?:[^']|'')*)'`)
)

// replicationCommand runs what is no SQL on a connection in replication mode. done is false where it is SQL.
func (c *conn) replicationCommand(text string) (done bool) {
	if m := createForm.FindStringSubmatch(text); m != nil {
		c.begin(false)
		s, f := c.createSlot(m[1], m[3], m[2] != "")
		if f == nil && c.tx.repeatable { // the snapshot is the slot's
			c.tx.snap = atOf(s.confirmed)
		}
		if f != nil {
			c.fail(f)
		} else {
			done := false
			_ = c.put(&rows{
				fields: []field{{"slot_name", typeText}, {"consistent_point", typeText}, {"snapshot_name", typeText}, {"output_plugin", typeText}},
				tag:    "CREATE_REPLICATION_SLOT", next: func() ([]any, bool) {
					if done {
						return nil, false
					}
					done = true
					return []any{s.name, lsnText(s.confirmed), nil, s.plugin}, true
				},
			}, nil, 0, nil, true)
		}
		c.sync()
		return true
	}
	if m := dropForm.FindStringSubmatch(text); m != nil {
		if f := c.dropSlot(m[1]); f != nil {
			c.fail(f)
		} else {
			c.complete("DROP_REPLICATION_SLOT")
		}
		c.sync()
		return true
	}
	m := startForm.FindStringSubmatch(text)
	if m == nil {
		return false
	}
	options := map[string]string{}
	for _, o := range optionForm.FindAllStringSubmatch(m[3], -1) {
		options[strings.ToLower(o[1])] = strings.ReplaceAll(o[2], "''", "'")
	}
	var names []string
	for _, n := range strings.Split(options["publication_names"], ",") {
		names = append(names, strings.Trim(strings.TrimSpace(n), `"`))
	}
	from, _ := ParseLSN(m[2])
	if f := c.stream(m[1], from, names, options["origin"] == "none"); f != nil && !c.dead {
		c.fail(f)
		c.flush()
	}
	c.dead = true
	return true
}

// stream sends the commits of a slot's database from a position on until the connection ends.
func (c *conn) stream(name string, from uint64, names []string, local bool) *fault {
	cl, h := c.host.cluster, c.host
	cl.mu.Lock()
	s := h.slots[name]
	var f *fault
	switch {
	case cl.primary != h:
		f = &fault{"55000", "logical decoding cannot be used while in recovery"}
	case s == nil:
		f = &fault{"42704", fmt.Sprintf("replication slot %q does not exist", name)}
	case s.pid != 0:
		f = &fault{"55006", fmt.Sprintf("replication slot %q is active for PID %d", name, s.pid)}
	case s.db != c.db:
		f = &fault{"55000", fmt.Sprintf("replication slot %q was not created in this database", name)}
	case s.lost:
		f = &fault{"55000", fmt.Sprintf("can no longer get changes from replication slot %q", name)}
	}
	if f != nil {
		cl.mu.Unlock()
		return f
	}
	s.pid = c.pid
	pos := max(from, s.confirmed)
	timeout := cl.replication.Timeout
	me := &sender{c: c, slot: s, state: "streaming", sent: pos, flushed: pos}
	h.senders[c.pid] = me
	cl.mu.Unlock()
	defer func() {
		cl.mu.Lock()
		s.pid = 0
		delete(h.senders, c.pid)
		cl.mu.Unlock()
	}()
	c.send(&pgproto3.CopyBothResponse{})
	c.flush()
	answers := make(chan uint64, 16)
	gone := make(chan struct{})
	quit := make(chan struct{})
	defer close(quit)
	go func() { // what the subscriber says
		defer close(gone)
		for {
			m, err := c.in.Receive()
			if err != nil {
				return
			}
			switch m := m.(type) {
			case *pgproto3.CopyData:
				if len(m.Data) >= 17 && m.Data[0] == 'r' {
					select {
					case answers <- binary.BigEndian.Uint64(m.Data[9:17]): // flushed
					case <-quit:
						return
					}
				}
			default:
				return
			}
		}
	}()
	heard, told := time.Now(), time.Time{}
	for {
		cl.mu.Lock()
		if f = nil; cl.primary != h || h.slots[name] != s || s.lost {
			f = &fault{"57P01", "terminating walsender: its slot or the primary's role is gone"}
		}
		wake, end := cl.committed, lsnOf(max(1, cl.last))
		var next *logged
		var rows []streamedRow
		list := s.db.wal
		list = list[sort.Search(len(list), func(i int) bool { return lsnOf(list[i].at) > pos }):]
		for i := 0; f == nil && next == nil && i < len(list); i++ {
			if local && list[i].origin != "" {
				continue
			}
			if rows, f = s.db.published(list[i], names); len(rows) > 0 {
				next = list[i]
			}
		}
		if next == nil && f == nil {
			pos = max(pos, end)
		}
		me.sent = pos
		cl.mu.Unlock()
		if f != nil {
			return f
		}
		if next != nil {
			at := lsnOf(next.at)
			for len(rows) > 0 && !c.dead {
				n := min(len(rows), 256)
				c.tell(timeout, at, streamed{LSN: lsnText(at), Origin: next.origin, Rows: rows[:n], End: n == len(rows)})
				rows = rows[n:]
			}
			pos = at
		} else if time.Since(told) > 50*time.Millisecond || told.IsZero() { // a keepalive
			told = time.Now()
			b := append([]byte{'k'}, binary.BigEndian.AppendUint64(nil, pos)...)
			b = binary.BigEndian.AppendUint64(b, uint64(time.Now().UnixMicro()-epoch2000))
			c.send(&pgproto3.CopyData{Data: append(b, 1)})
		}
		if c.before(timeout); c.dead {
			return nil
		}
		c.flush()
		for more := true; more; {
			wait := time.Duration(0)
			if next == nil {
				wait = 20 * time.Millisecond
			}
			more = false
			select {
			case n := <-answers:
				heard, more = time.Now(), true
				cl.mu.Lock()
				me.flushed = max(me.flushed, n)
				s.confirmed = max(s.confirmed, min(n, pos))
				s.restart = s.confirmed
				cl.trim(s.db)
				cl.mu.Unlock()
			case <-gone:
				return nil
			case <-wake:
			case <-time.After(wait):
			}
		}
		if timeout > 0 && time.Since(heard) > timeout {
			h.Counts.Add("sender_timeout")
			return &fault{"08006", "terminating walsender process due to replication timeout"}
		}
	}
}

// sender is a walsender as pg_stat_replication has it.
type sender struct {
	c             *conn
	slot          *slot
	state         string
	sent, flushed uint64
}

// before bounds the write to a subscriber that takes nothing.
func (c *conn) before(timeout time.Duration) {
	if timeout > 0 {
		_ = c.net.SetWriteDeadline(time.Now().Add(timeout))
	}
}

func (c *conn) tell(timeout time.Duration, at uint64, m streamed) {
	body, err := json.Marshal(m)
	if err != nil {
		c.dead = true
		return
	}
	b := []byte{'w'}
	for _, n := range []uint64{at, at, uint64(time.Now().UnixMicro() - epoch2000)} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	c.before(timeout)
	c.send(&pgproto3.CopyData{Data: append(b, body...)})
}

// pacer holds an initial copy to its pace: it is called with how many rows were sent.
func (c *conn) pacer() func(n int) {
	pace := c.host.cluster.timing().CopyRows
	if !c.replication || pace <= 0 {
		return func(int) {}
	}
	began := time.Now()
	return func(n int) {
		if ahead := time.Duration(float64(n)/pace*1e9) - time.Since(began); ahead > 5*time.Millisecond {
			c.flush()
			time.Sleep(ahead)
		}
	}
}

func (c *conn) createPublication(p *parser) *fault {
	name, ok := p.identifier()
	if !ok {
		return p.wrong()
	}
	pub := &publication{name: name, insert: true, update: true, delete: true, truncate: true}
	var f *fault
	if p.take("for", "all", "tables") {
		pub.all = true
	} else if p.take("for", "table") {
		if pub.tables, f = c.tableList(p); f != nil {
			return f
		}
	} else if p.next("for") {
		return unsupported("FOR TABLES IN SCHEMA")
	}
	if p.take("with") {
		if f = pub.with(p); f != nil {
			return f
		}
	}
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.db.publications[name] != nil {
		return &fault{"42710", fmt.Sprintf("publication %q already exists", name)}
	}
	pub.oid = cl.newOid()
	c.db.publications[name] = pub
	return nil
}

func (p *publication) with(r *parser) *fault {
	options, f := r.options()
	if f != nil {
		return f
	}
	for k, v := range options {
		if k != "publish" {
			return &fault{"42601", fmt.Sprintf("unrecognized publication parameter: %q", k)}
		}
		p.insert, p.update, p.delete, p.truncate = strings.Contains(v, "insert"), strings.Contains(v, "update"), strings.Contains(v, "delete"),
			strings.Contains(v, "truncate")
	}
	return nil
}

// options reads (name = value, ...).
func (p *parser) options() (map[string]string, *fault) {
	if f := p.need("("); f != nil {
		return nil, f
	}
	out := map[string]string{}
	for {
		name, ok := p.identifier()
		if !ok {
			return nil, p.wrong()
		}
		v := "true"
		if p.take("=") {
			l := p.peek()
			if l.kind != 'w' && l.kind != 'q' && l.kind != 's' && l.kind != 'n' {
				return nil, p.wrong()
			}
			p.at++
			if v = l.text; l.kind == 'w' && v == "none" && name == "slot_name" {
				v = ""
			}
		}
		if out[name] = v; !p.take(",") {
			return out, p.need(")")
		}
	}
}

func (c *conn) tableList(p *parser) (out []*Table, f *fault) {
	for {
		p.take("table")
		p.take("only")
		t, name, f := p.table(c)
		if f != nil {
			return nil, f
		}
		if t.unlogged {
			return nil, &fault{"22023", fmt.Sprintf("cannot add relation %q to publication: unlogged tables are not supported", name)}
		}
		if p.next("(") || p.next("where") {
			return nil, unsupported("a column list or row filter")
		}
		if out = append(out, t); !p.take(",") {
			return out, nil
		}
	}
}

func (c *conn) alterPublication(p *parser) *fault {
	name, _ := p.identifier()
	cl := c.host.cluster
	cl.mu.Lock()
	pub := c.db.publications[name]
	cl.mu.Unlock()
	if pub == nil {
		return &fault{"42704", fmt.Sprintf("publication %q does not exist", name)}
	}
	word := p.peek().text
	p.at++
	if word == "set" && p.next("(") {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		return pub.with(p)
	}
	if f := p.need("table"); f != nil {
		return f
	}
	list, f := c.tableList(p)
	if f != nil {
		return f
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if pub.all {
		return &fault{"55000", fmt.Sprintf("publication %q is defined as FOR ALL TABLES", name)}
	}
	if word == "set" {
		pub.tables = nil
	}
	for _, t := range list {
		there := slices.Contains(pub.tables, t)
		switch {
		case word == "drop" && !there:
			return &fault{"42704", fmt.Sprintf("relation %q is not part of the publication", t.Name)}
		case word == "drop":
			pub.tables = slices.DeleteFunc(pub.tables, func(x *Table) bool { return x == t })
		case there:
			return &fault{"42710", fmt.Sprintf("relation %q is already member of publication %q", t.Name, name)}
		default:
			pub.tables = append(pub.tables, t)
		}
	}
	return nil
}
