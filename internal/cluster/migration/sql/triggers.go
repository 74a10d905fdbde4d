package sql

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/migration"
)

// Names of the triggers. PostgreSQL runs triggers in the order of their names: one that rejects a write is the first, one
// that tracks it the last.
const (
	triggerGuard         = "a_ashstand_guard"
	triggerGuardTruncate = "a_ashstand_truncate"
	triggerTrack         = "z_ashstand_mark"
	triggerTrackTruncate = "z_ashstand_emptied"
)

var (
	guardTriggers = []string{triggerGuard, triggerGuardTruncate}
	trackTriggers = []string{triggerTrack, triggerTrackTruncate}
)

// createGuards returns the statements for triggers that reject writes while the gate is closed, as far as they are missing.
func (t *table) createGuards() []string {
	return t.createMissing(map[string]string{
		triggerGuard:         "BEFORE INSERT OR UPDATE OR DELETE ON " + t.quoted() + " FOR EACH STATEMENT EXECUTE FUNCTION ashstand.guard()",
		triggerGuardTruncate: "BEFORE TRUNCATE ON " + t.quoted() + " FOR EACH STATEMENT EXECUTE FUNCTION ashstand.guard()",
	}, guardTriggers)
}

// createTracking returns the statements for triggers that note the keys of rows that are written, as far as they are missing.
func (t *table) createTracking() []string {
	columns := make([]string, 0, len(t.key))
	for _, column := range t.key {
		columns = append(columns, quoteLiteral(t.columns[column]))
	}
	return t.createMissing(map[string]string{
		triggerTrack: "AFTER INSERT OR UPDATE OR DELETE ON " + t.quoted() + " FOR EACH ROW EXECUTE FUNCTION ashstand.mark(" +
			strings.Join(columns, ", ") + ")",
		triggerTrackTruncate: "AFTER TRUNCATE ON " + t.quoted() + " FOR EACH STATEMENT EXECUTE FUNCTION ashstand.mark()",
	}, trackTriggers)
}

func (t *table) createGuardsAndTracking() []string {
	return append(t.createGuards(), t.createTracking()...)
}

func (t *table) createMissing(definitions map[string]string, names []string) (statements []string) {
	for _, name := range names {
		if !t.triggers[name] {
			statements = append(statements, createTrigger(name, definitions[name]))
		}
	}
	return statements
}

// createTriggers runs the statements that each table lacks, each table's in a transaction of its own: a wait for one
// table's writers delays no other table's.
func (o *operation) createTriggers(ctx context.Context, group migration.Group, missing func(*table) []string) error {
	var tables []*table
	if err := o.connect(ctx, group, "read tables", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		tables, err = readTables(ctx, conn)
		return err
	}); err != nil {
		return err
	}
	for _, t := range tables {
		statements := missing(t)
		if !t.isPublishable() {
			continue
		}
		if err := o.changeTriggers(ctx, group, t, statements, requireOwned); err != nil {
			return err
		}
	}
	return nil
}

// dropTriggers drops those of the named triggers that tables have.
func (o *operation) dropTriggers(ctx context.Context, group migration.Group, tables []*table, names []string) error {
	for _, t := range tables {
		var statements []string
		for _, name := range names {
			if t.triggers[name] {
				statements = append(statements, dropTrigger(name, t))
			}
		}
		if err := o.changeTriggers(ctx, group, t, statements, allowReleased); err != nil {
			return err
		}
	}
	return nil
}

func (o *operation) changeTriggers(ctx context.Context, group migration.Group, t *table, statements []string, accepted ownership) error {
	if len(statements) == 0 {
		return nil
	}
	return o.transact(ctx, group, "change triggers of "+t.fullName(), accepted, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
		return execAll(ctx, conn, statements...)
	})
}
