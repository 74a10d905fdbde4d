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

// table is one of a tenant's.
type table struct {
	schema, name string
	columns      []string
	types        []string // as information_schema has them
	key          []int    // the columns of the primary key
	identity     string
	persistence  string
	rows         float64 // as the planner believes
	triggers     map[string]bool
}

func (t *table) fullName() string { return t.schema + "." + t.name }

func (t *table) quoted() string { return ident(t.schema) + "." + ident(t.name) }

// keyed is a key column as it is compared: texts by their bytes, since two hosts may have other locales.
func (t *table) keyed(i int) string {
	c := ident(t.columns[i])
	switch t.types[i] {
	case "text", "character varying", "character", "name":
		c += ` COLLATE "C"`
	}
	return c
}

func (t *table) list() string {
	var out []string
	for _, c := range t.columns {
		out = append(out, ident(c))
	}
	return strings.Join(out, ", ")
}

// tables are the tenant's own, in the order of their names.
func tables(ctx context.Context, conn *pgconn.PgConn) ([]*table, error) {
	const of = "n.nspname NOT IN ('pg_catalog', 'information_schema', 'pg_toast', 'ashstand')"
	rows, _, err := fencing.Exec(ctx, conn, "SELECT c.oid, n.nspname, c.relname, c.relreplident, c.relpersistence, c.reltuples FROM pg_class c "+
		"JOIN pg_namespace n ON n.oid = c.relnamespace WHERE c.relkind = 'r' AND "+of)
	if err != nil {
		return nil, err
	}
	var out []*table
	byOid, byName := map[string]*table{}, map[string]*table{}
	for _, r := range rows {
		t := &table{schema: r[1], name: r[2], identity: r[3], persistence: r[4], triggers: map[string]bool{}}
		t.rows, _ = strconv.ParseFloat(r[5], 64)
		out = append(out, t)
		byOid[r[0]], byName[t.fullName()] = t, t
	}
	if rows, _, err = fencing.Exec(ctx, conn, "SELECT table_schema, table_name, column_name, data_type FROM information_schema.columns "+
		"WHERE table_schema NOT IN ('pg_catalog', 'information_schema', 'ashstand') ORDER BY table_schema, table_name, ordinal_position"); err != nil {
		return nil, err
	}
	for _, r := range rows {
		if t := byName[r[0]+"."+r[1]]; t != nil {
			t.columns, t.types = append(t.columns, r[2]), append(t.types, r[3])
		}
	}
	if rows, _, err = fencing.Exec(ctx, conn, "SELECT attrelid, attnum, attname FROM pg_attribute WHERE attnum > 0 AND NOT attisdropped"); err != nil {
		return nil, err
	}
	names := map[string]map[string]string{}
	for _, r := range rows {
		if names[r[0]] == nil {
			names[r[0]] = map[string]string{}
		}
		names[r[0]][r[1]] = r[2]
	}
	if rows, _, err = fencing.Exec(ctx, conn, "SELECT indrelid, indkey FROM pg_index WHERE indisprimary"); err != nil {
		return nil, err
	}
	for _, r := range rows {
		if t := byOid[r[0]]; t != nil {
			for _, n := range strings.Fields(r[1]) {
				t.key = append(t.key, slices.Index(t.columns, names[r[0]][n]))
			}
		}
	}
	if rows, _, err = fencing.Exec(ctx, conn, "SELECT tgrelid, tgname FROM pg_trigger WHERE NOT tgisinternal"); err != nil {
		return nil, err
	}
	for _, r := range rows {
		if t := byOid[r[0]]; t != nil {
			t.triggers[r[1]] = true
		}
	}
	slices.SortFunc(out, func(a, b *table) int { return cmp.Compare(a.fullName(), b.fullName()) })
	return out, nil
}

// carried says whether replication carries a table.
func (t *table) carried() bool { return t.persistence != "u" }

// identified says whether its updates and deletes can be published.
func (t *table) identified() bool {
	return t.identity == "f" || t.identity == "i" || t.identity == "d" && len(t.key) > 0
}
