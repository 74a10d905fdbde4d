package host

import (
	"strings"
	"time"
)

// defaults are the settings that a connection starts with. Those in reported are told to the client when they change.
var defaults = map[string]string{
	"application_name": "", "client_encoding": "UTF8", "datestyle": "ISO, MDY", "timezone": "UTC", "search_path": `"$user", public`,
	"statement_timeout": "0", "lock_timeout": "0", "work_mem": "4MB", "intervalstyle": "postgres", "extra_float_digits": "1",
	"standard_conforming_strings": "on", "default_transaction_read_only": "off", "transaction_read_only": "off", "role": "none",
	"session_authorization": "default", "bytea_output": "hex", "idle_in_transaction_session_timeout": "0", "server_version": "16.0 (stand-in)",
	"transaction_isolation": "read committed", "default_transaction_isolation": "read committed", "is_superuser": "off", "jit": "off",
	"session_replication_role": "origin", "wal_level": "logical", "max_replication_slots": "10", "server_version_num": "160000",
}

var reported = map[string]string{
	"application_name": "application_name", "client_encoding": "client_encoding", "datestyle": "DateStyle",
	"timezone": "TimeZone", "intervalstyle": "IntervalStyle", "standard_conforming_strings": "standard_conforming_strings",
	"default_transaction_read_only": "default_transaction_read_only", "server_version": "server_version", "is_superuser": "is_superuser",
}

// settings are a connection's, as layers: the session's, and one for each transaction and savepoint that is open, each
// a whole copy of what held when it began.
type settings struct {
	start map[string]string // from the startup message: what RESET goes back to
	now   map[string]string // that differ from start
	local map[string]string // SET LOCAL, until the transaction ends
}

func (s *settings) get(name string) (string, bool) {
	for _, m := range []map[string]string{s.local, s.now, s.start, defaults} {
		if v, ok := m[name]; ok {
			return v, true
		}
	}
	return "", false
}

func known(name string) bool {
	_, ok := defaults[name]
	return ok || strings.Contains(name, ".")
}

func copied(m map[string]string) map[string]string {
	out := make(map[string]string, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// layer is what to go back to.
type layer struct {
	name       string
	now, local map[string]string
	writes     int
	changes    int
}

// transaction is a block, or the implicit one of a query string or a pipeline.
type transaction struct {
	explicit bool
	failed   bool
	readOnly bool
	layers   []layer // the first is its begin
	writes   []write

	// Of a database:
	db         *Database
	changes    []change
	over       map[*Table]map[string][]value // rows as it sees them; no values: deleted
	held       []lockKey
	by         *party
	epoch      int
	xid        uint32  // 0: it has written nothing
	repeatable bool    // REPEATABLE READ
	snap       float64 // what it reads then
	origin     string  // of a subscription's apply
	remote     uint64
	done       func(at float64) // runs with its commit, under the cluster's lock
	began      time.Time
}

// begin opens a transaction, unless one is open.
func (c *conn) begin(explicit bool) {
	if c.tx == nil {
		ro, _ := c.set.get("default_transaction_read_only")
		c.tx = &transaction{readOnly: ro == "on"}
		c.tx.layers = []layer{{now: copied(c.set.now), local: copied(c.set.local)}}
		if c.db != nil {
			c.join()
		}
		c.host.noteTransaction()
	}
	c.tx.explicit = c.tx.explicit || explicit
}

func (c *conn) savepoint(name string) {
	c.tx.layers = append(c.tx.layers, layer{name, copied(c.set.now), copied(c.set.local), len(c.tx.writes), len(c.tx.changes)})
}

func (c *conn) layer(name string) int {
	for i := len(c.tx.layers) - 1; i > 0; i-- {
		if c.tx.layers[i].name == name {
			return i
		}
	}
	return -1
}

func (c *conn) restore(l layer) {
	c.set.now, c.set.local = copied(l.now), copied(l.local)
	c.report()
}

// rollback ends the transaction and takes everything back.
func (c *conn) rollback() {
	if c.tx == nil {
		return
	}
	first := c.tx.layers[0]
	c.leave()
	c.tx = nil
	c.restore(first)
	c.set.local = nil
	c.portals = map[string]*portal{}
	c.report()
}

// commit ends it and makes what was written permanent. A failed one is rolled back.
func (c *conn) commit() (committed bool, err *fault) {
	if c.tx == nil {
		return true, nil
	}
	if c.tx.failed {
		c.rollback()
		return false, nil
	}
	tx := c.tx
	f := c.host.fault()
	writes := len(tx.writes)+len(tx.changes) > 0
	if writes && c.host.chance(f.CutBefore) {
		c.cut("cut_before_commit")
		return false, nil
	}
	at, ok := c.host.cluster.commit(c.host, tx.writes)
	if ok && c.db != nil {
		at, err = c.host.cluster.commitChanges(c.host, tx)
		ok = err == nil
	}
	if !ok {
		c.rollback()
		return false, &fault{"25006", "cannot commit: this server is no primary any more"}
	}
	c.tx, c.set.local = nil, nil
	c.portals = map[string]*portal{}
	c.committed = max(c.committed, at)
	c.report()
	if writes && c.host.chance(f.CutAfter) {
		c.cut("cut_after_commit")
	}
	return true, nil
}

func (c *conn) status() byte {
	switch {
	case c.tx == nil || !c.tx.explicit:
		return 'I'
	case c.tx.failed:
		return 'E'
	}
	return 'T'
}

// join makes a new transaction one of the database's.
func (c *conn) join() {
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c.tx.db, c.tx.by, c.tx.epoch, c.tx.began = c.db, c.party, cl.epoch, time.Now()
	if v, _ := c.set.get("default_transaction_isolation"); v == "repeatable read" || v == "serializable" {
		c.tx.repeatable = true
	}
}

// leave lets go what the transaction holds.
func (c *conn) leave() {
	if c.db == nil {
		return
	}
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.release(c.tx)
}
