package sql

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
)

// Values of pg_class.relpersistence and relreplident.
const (
	persistenceUnlogged = "u"
	identityDefault     = "d" // the primary key, if there is one
	identityFull        = "f"
	identityIndex       = "i"
)

// table is one of a tenant's tables, as the catalogue describes it.
type table struct {
	schema, name string
	columns      []string
	types        []string // of the columns, as information_schema names them
	key          []int    // indexes of the primary key's columns
	identity     string   // relreplident
	persistence  string   // relpersistence
	rows         float64  // estimate of the planner; below 0: none
	triggers     map[string]bool
}

func (t *table) fullName() string { return t.schema + "." + t.name }

func (t *table) quoted() string { return quoteQualified(t.schema, t.name) }

// comparedColumn is a key column as it is compared and sorted: text by its bytes, since two hosts may differ in locale.
func (t *table) comparedColumn(column int) string {
	quoted := quoteIdentifier(t.columns[column])
	switch t.types[column] {
	case "text", "character varying", "character", "name":
		quoted += ` COLLATE "C"`
	}
	return quoted
}

// shape describes columns and key: two tables with the same one can be replicated into each other.
func (t *table) shape() string {
	columns := make([]string, 0, len(t.columns))
	for i, column := range t.columns {
		columns = append(columns, column+" "+t.types[i])
	}
	key := make([]string, 0, len(t.key))
	for _, column := range t.key {
		key = append(key, t.columns[column])
	}
	return strings.Join(columns, ", ") + " (" + strings.Join(key, ", ") + ")"
}

// isPublishable says whether logical replication carries the table.
func (t *table) isPublishable() bool { return t.persistence != persistenceUnlogged }

// hasReplicaIdentity says whether updates and deletes of the table can be published.
func (t *table) hasReplicaIdentity() bool {
	switch t.identity {
	case identityFull, identityIndex:
		return true
	case identityDefault:
		return len(t.key) > 0
	}
	return false
}

// catalogue collects tables while the catalogue is read.
type catalogue struct {
	tables []*table
	byOID  map[string]*table
	byName map[string]*table
}

// readTables reads the tenant's own tables, in the order of their names.
func readTables(ctx context.Context, conn *pgconn.PgConn) ([]*table, error) {
	c := &catalogue{byOID: map[string]*table{}, byName: map[string]*table{}}
	for _, read := range []connFunc{c.readTables, c.readColumns, c.readKeys, c.readTriggers} {
		if err := read(ctx, conn); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(c.tables, func(a, b *table) int { return cmp.Compare(a.fullName(), b.fullName()) })
	return c.tables, nil
}

func (c *catalogue) readTables(ctx context.Context, conn *pgconn.PgConn) error {
	rows, _, err := fencing.Exec(ctx, conn, selectTables)
	for _, row := range rows {
		t := &table{schema: row[1], name: row[2], identity: row[3], persistence: row[4], triggers: map[string]bool{}}
		t.rows, _ = strconv.ParseFloat(row[5], 64)
		c.tables = append(c.tables, t)
		c.byOID[row[0]], c.byName[t.fullName()] = t, t
	}
	return err
}

func (c *catalogue) readColumns(ctx context.Context, conn *pgconn.PgConn) error {
	rows, _, err := fencing.Exec(ctx, conn, selectColumns)
	for _, row := range rows {
		if t := c.byName[row[0]+"."+row[1]]; t != nil {
			t.columns, t.types = append(t.columns, row[2]), append(t.types, row[3])
		}
	}
	return err
}

// readKeys reads primary keys, which name columns by numbers that dropped columns keep.
func (c *catalogue) readKeys(ctx context.Context, conn *pgconn.PgConn) error {
	rows, _, err := fencing.Exec(ctx, conn, selectAttributes)
	if err != nil {
		return err
	}
	type attribute struct{ oid, number string }
	names := map[attribute]string{}
	for _, row := range rows {
		names[attribute{oid: row[0], number: row[1]}] = row[2]
	}
	if rows, _, err = fencing.Exec(ctx, conn, selectPrimaryKeys); err != nil {
		return err
	}
	for _, row := range rows {
		t := c.byOID[row[0]]
		if t == nil {
			continue
		}
		for _, number := range strings.Fields(row[1]) {
			t.key = append(t.key, slices.Index(t.columns, names[attribute{oid: row[0], number: number}]))
		}
	}
	return nil
}

func (c *catalogue) readTriggers(ctx context.Context, conn *pgconn.PgConn) error {
	rows, _, err := fencing.Exec(ctx, conn, selectTriggers)
	for _, row := range rows {
		if t := c.byOID[row[0]]; t != nil {
			t.triggers[row[1]] = true
		}
	}
	return err
}

// sequence is one of a tenant's sequences.
type sequence struct {
	schema, name string
	lastValue    string // "": it was not used yet
	startValue   string
}

func (s *sequence) fullName() string { return s.schema + "." + s.name }

func readSequences(ctx context.Context, conn *pgconn.PgConn) ([]*sequence, error) {
	rows, _, err := fencing.Exec(ctx, conn, selectSequences)
	sequences := make([]*sequence, 0, len(rows))
	for _, row := range rows {
		sequences = append(sequences, &sequence{schema: row[0], name: row[1], lastValue: row[2], startValue: row[3]})
	}
	return sequences, err
}
