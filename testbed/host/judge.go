package host

import (
	"math"
	"slices"
)

// Version is a row of a database as a commit left it, for judges.
type Version struct {
	At      float64           // its commit's position in Unix milliseconds
	LSN     string            // the same as pg_lsn
	Values  map[string]string // by column; a NULL is left out
	Deleted bool
	Origin  string // the subscription's origin whose apply wrote it; none: an ordinary transaction
}

// Commit is a commit of a cluster, for judges.
type Commit struct {
	At       float64
	LSN      string
	Database string // none: the data without a database
	Host     string // the primary that acknowledged it
	Origin   string
	Remote   string // the position at its origin
	Rows     []Row
}

// Row is what a commit did to one row.
type Row struct {
	Table   string // with its schema
	Key     string // its key's values, joined by a zero byte
	Values  map[string]string
	Deleted bool
}

func (t *Table) named(vs []value) map[string]string {
	if vs == nil {
		return nil
	}
	out := map[string]string{}
	for i, v := range vs {
		if !v.null {
			out[t.columns[i].Name] = v.s
		}
	}
	return out
}

// rowOf is a table by its name, with its schema or in public. The cluster's lock is held.
func (db *Database) tableOf(name string) *Table {
	if t := db.tables[name]; t != nil {
		return t
	}
	return db.tables["public."+name]
}

// History is all versions of a row, by the texts of its primary key's columns.
func (db *Database) History(table string, key ...string) (out []Version) {
	db.cluster.mu.Lock()
	defer db.cluster.mu.Unlock()
	t := db.tableOf(table)
	if t == nil || len(key) != len(t.key) {
		return nil
	}
	var vs []value
	for i, k := range key {
		vs = append(vs, value{s: k, typ: t.columns[t.key[i]].Type})
	}
	r, ok := t.rows.Get(&tableRow{key: keyOf(vs...)})
	if !ok {
		return nil
	}
	return t.history(r)
}

func (t *Table) history(r *tableRow) (out []Version) {
	for _, v := range r.versions {
		out = append(out, Version{At: v.at, LSN: lsnText(lsnOf(v.at)), Values: t.named(v.values), Deleted: v.values == nil, Origin: v.origin})
	}
	return out
}

// Histories are all versions of all rows of a table, in the order of their keys.
func (db *Database) Histories(table string) (out [][]Version) {
	db.cluster.mu.Lock()
	defer db.cluster.mu.Unlock()
	if t := db.tableOf(table); t != nil {
		t.rows.Ascend(func(r *tableRow) bool {
			out = append(out, t.history(r))
			return true
		})
	}
	return out
}

// Dump is a table's rows as they stand, in the order of their keys.
func (db *Database) Dump(table string) (out []map[string]string) {
	db.cluster.mu.Lock()
	defer db.cluster.mu.Unlock()
	if t := db.tableOf(table); t != nil {
		t.rows.Ascend(func(r *tableRow) bool {
			if vs := r.as(math.Inf(1)); vs != nil {
				out = append(out, t.named(vs))
			}
			return true
		})
	}
	return out
}

// Tables are the names of the database's tables, with their schemas.
func (db *Database) Tables() []string {
	db.cluster.mu.Lock()
	defer db.cluster.mu.Unlock()
	return sortedNames(db.tables)
}

// Databases are the names of the cluster's.
func (c *Cluster) Databases() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedNames(c.databases)
}

func commitOf(r *logged) Commit {
	out := Commit{At: r.at, LSN: lsnText(lsnOf(r.at)), Host: r.host, Origin: r.origin, Remote: lsnText(r.remote)}
	if r.db != nil {
		out.Database = r.db.Name
	}
	for _, w := range r.writes {
		out.Rows = append(out.Rows, Row{Key: w.key, Values: map[string]string{"payload": w.payload}})
	}
	for _, ch := range r.changes {
		if ch.op == 'T' {
			continue
		}
		t := ch.table
		if ch.was != ch.key {
			out.Rows = append(out.Rows, Row{Table: t.Schema + "." + t.Name, Key: ch.was, Deleted: true})
		}
		out.Rows = append(out.Rows, Row{Table: t.Schema + "." + t.Name, Key: ch.key, Values: t.named(ch.new), Deleted: ch.new == nil})
	}
	return out
}

// Lost are the commits that failovers have lost.
func (c *Cluster) Lost() (out []Commit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.lost {
		out = append(out, commitOf(r))
	}
	return out
}

// Commits are the last commits that hold, at least 4096 of them where there were so many.
func (c *Cluster) Commits() (out []Commit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.recent {
		out = append(out, commitOf(r))
	}
	return out
}

// lose takes back the last n commits. The cluster's lock is held.
func (c *Cluster) lose(n int) int {
	n = min(max(0, n), len(c.recent), keptCommits)
	if n == 0 {
		return 0
	}
	gone := c.recent[len(c.recent)-n:]
	c.recent = append([]*logged(nil), c.recent[:len(c.recent)-n]...)
	from := gone[0].at
	for _, r := range gone {
		for _, w := range r.writes {
			c.rows[w.key] = slices.DeleteFunc(c.rows[w.key], func(v version) bool { return v.at >= from })
			if len(c.rows[w.key]) == 0 {
				delete(c.rows, w.key)
			}
		}
		for _, ch := range r.changes {
			for _, key := range []string{ch.key, ch.was} {
				row, ok := ch.table.rows.Get(&tableRow{key: key})
				if !ok {
					continue
				}
				row.versions = slices.DeleteFunc(row.versions, func(v tableVersion) bool { return v.at >= from })
				if len(row.versions) == 0 {
					ch.table.rows.Delete(row)
				}
			}
		}
	}
	for _, db := range c.databases {
		for _, s := range db.subscriptions {
			s.progress = slices.DeleteFunc(s.progress, func(p progress) bool { return p.at >= from })
			for _, r := range s.tables {
				if r.state != 'i' && r.at >= from { // its copy was lost
					r.state, r.lsn, r.at = 'i', 0, 0
				}
			}
		}
	}
	c.lost = append(c.lost, gone...)
	return n
}
