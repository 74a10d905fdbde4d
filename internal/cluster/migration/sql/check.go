package sql

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// home is what a check reads of one.
type home struct {
	tables     []*table
	extensions map[string]string
	sequences  []string
	objects    int
	prepared   []string
	size       float64
	wal        string
	slots      int // that are left
	holds      map[string]bool
}

func readHome(ctx context.Context, conn *pgconn.PgConn, rows bool) (h home, err error) {
	if h.tables, err = tables(ctx, conn); err != nil {
		return h, err
	}
	ask := func(sql string, see func(r []string)) {
		if err == nil {
			var list [][]string
			list, _, err = fencing.Exec(ctx, conn, sql)
			for _, r := range list {
				see(r)
			}
		}
	}
	h.extensions, h.holds = map[string]string{}, map[string]bool{}
	ask("SELECT extname, extversion FROM pg_extension", func(r []string) { h.extensions[r[0]] = r[1] })
	ask("SELECT schemaname, sequencename FROM pg_sequences WHERE schemaname <> 'ashstand' ORDER BY schemaname, sequencename", func(r []string) {
		h.sequences = append(h.sequences, r[0]+"."+r[1])
	})
	ask("SELECT count(*) FROM pg_largeobject_metadata", func(r []string) { h.objects, _ = strconv.Atoi(r[0]) })
	ask("SELECT gid FROM pg_prepared_xacts WHERE database = current_database()", func(r []string) { h.prepared = append(h.prepared, r[0]) })
	ask("SELECT pg_database_size(current_database())", func(r []string) { h.size, _ = strconv.ParseFloat(r[0], 64) })
	ask("SHOW wal_level", func(r []string) { h.wal = r[0] })
	ask("SHOW max_replication_slots", func(r []string) { h.slots, _ = strconv.Atoi(r[0]) })
	ask("SELECT count(*) FROM pg_replication_slots", func(r []string) {
		n, _ := strconv.Atoi(r[0])
		h.slots -= n
	})
	for _, t := range h.tables {
		if rows {
			ask("SELECT 1 FROM "+t.quoted()+" LIMIT 1", func([]string) { h.holds[t.fullName()] = true })
		}
	}
	return h, err
}

// Check looks for all that is in the way.
func (p *Databases) Check(ctx context.Context, a migration.Request) (out migration.CheckResults, err error) {
	var from, to home
	read := func(at migration.Group, h *home, rows bool) func() error {
		return func() error {
			return p.on(ctx, a, at, "check", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
				*h, err = readHome(ctx, conn, rows)
				return err
			})
		}
	}
	if err = both(read(a.Plan.From, &from, false), read(a.Plan.To, &to, true)); err != nil {
		return nil, err
	}
	find := func(reason, name, detail string, args ...any) {
		out = append(out, migration.CheckResult{Reason: reason, Name: name, Detail: fmt.Sprintf(detail, args...)})
	}
	there := map[string]*table{}
	for _, t := range to.tables {
		there[t.fullName()] = t
	}
	for _, t := range from.tables {
		if !t.carried() {
			find(migration.CheckUnloggedTable, t.fullName(), "")
			continue
		}
		if !t.identified() {
			find(migration.CheckNoReplicaIdentity, t.fullName(), "")
		}
		if o := there[t.fullName()]; o == nil {
			find(migration.CheckSchemaDiffers, t.fullName(), "it is not there")
		} else if mine, other := shape(t), shape(o); mine != other {
			find(migration.CheckSchemaDiffers, t.fullName(), "%s here, %s there", mine, other)
		} else if to.holds[t.fullName()] {
			find(migration.CheckTargetNotEmpty, t.fullName(), "")
		}
	}
	for ext, version := range from.extensions {
		if to.extensions[ext] != version {
			find(migration.CheckExtensionMissing, ext, "%s here, %q there", version, to.extensions[ext])
		}
	}
	if from.objects > 0 {
		find(migration.CheckLargeObjects, "", "%d", from.objects)
	}
	for _, gid := range from.prepared {
		find(migration.CheckPreparedTransaction, gid, "")
	}
	for g, h := range map[migration.Group]home{a.Plan.From: from, a.Plan.To: to} {
		if h.slots < 2 { // the stream's and one that a copy has, or the way back's
			find(migration.CheckNoSlots, fmt.Sprint("group ", g), "%d left", max(0, h.slots))
		}
		if h.wal != "logical" {
			find(migration.CheckNoSlots, fmt.Sprint("group ", g), "wal_level is %s", h.wal)
		}
	}
	if p.FreeBytes != nil {
		if room, known := p.FreeBytes(a.Plan.To); known && room < from.size {
			find(migration.CheckNoCapacity, a.Plan.Tenant, "%.0f bytes, %.0f are left", from.size, room)
		}
	}
	for _, s := range from.sequences {
		if !slices.Contains(to.sequences, s) {
			find(migration.CheckSchemaDiffers, s, "the sequence is not there")
		} else {
			out = append(out, migration.CheckResult{Reason: migration.CheckSequence, Name: s, Informational: true})
		}
	}
	slices.SortStableFunc(out, func(x, y migration.CheckResult) int { return strings.Compare(x.Reason+x.Name, y.Reason+y.Name) })
	return out, nil
}

// shape is a table's columns and key in words.
func shape(t *table) string {
	var out, key []string
	for i, c := range t.columns {
		out = append(out, c+" "+t.types[i])
	}
	for _, k := range t.key {
		key = append(key, t.columns[k])
	}
	return strings.Join(out, ", ") + " (" + strings.Join(key, ", ") + ")"
}
