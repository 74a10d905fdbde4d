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

const (
	// minFreeSlots is what a migration needs: a slot for the stream, and one for a table's copy or the way back.
	minFreeSlots    = 2
	walLevelLogical = "logical"
)

// inventory is what a group holds and offers, as far as a check needs it.
type inventory struct {
	tables       []*table
	nonEmpty     map[string]bool   // tables that hold rows, by full name
	extensions   map[string]string // versions by name
	sequences    []string
	largeObjects int
	prepared     []string // ids of prepared transactions
	bytes        float64
	walLevel     string
	maxSlots     int
	usedSlots    int
}

// readInventory reads the inventory of a group; with rows it looks into each table, too.
func readInventory(ctx context.Context, conn *pgconn.PgConn, rows bool) (*inventory, error) {
	tables, err := readTables(ctx, conn)
	if err != nil {
		return nil, err
	}
	found := &inventory{tables: tables, nonEmpty: map[string]bool{}, extensions: map[string]string{}}
	queries := []inventoryQuery{
		{selectExtensions, func(row []string) { found.extensions[row[0]] = row[1] }},
		{selectSequenceNames, func(row []string) { found.sequences = append(found.sequences, row[0]+"."+row[1]) }},
		{countLargeObjects, func(row []string) { found.largeObjects, _ = strconv.Atoi(row[0]) }},
		{selectPrepared, func(row []string) { found.prepared = append(found.prepared, row[0]) }},
		{selectDatabaseSize, func(row []string) { found.bytes, _ = strconv.ParseFloat(row[0], 64) }},
		{showWALLevel, func(row []string) { found.walLevel = row[0] }},
		{showMaxSlots, func(row []string) { found.maxSlots, _ = strconv.Atoi(row[0]) }},
		{countSlots, func(row []string) { found.usedSlots, _ = strconv.Atoi(row[0]) }},
	}
	if rows {
		for _, t := range tables {
			queries = append(queries, inventoryQuery{selectOneRow(t), func([]string) { found.nonEmpty[t.fullName()] = true }})
		}
	}
	for _, query := range queries {
		if err := query.run(ctx, conn); err != nil {
			return nil, err
		}
	}
	return found, nil
}

// inventoryQuery is a statement with what is done with each row that it returns.
type inventoryQuery struct {
	statement string
	visit     func(row []string)
}

func (q *inventoryQuery) run(ctx context.Context, conn *pgconn.PgConn) error {
	rows, _, err := fencing.Exec(ctx, conn, q.statement)
	for _, row := range rows {
		q.visit(row)
	}
	return err
}

// Check looks for everything that prevents the migration, and changes nothing.
func (d *Databases) Check(ctx context.Context, request migration.Request) (migration.CheckResults, error) {
	o := d.operation(request)
	c := &checker{tenant: request.Plan.Tenant}
	read := func(group migration.Group, to **inventory, rows bool) func() error {
		return func() error {
			return o.connect(ctx, group, "check", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
				*to, err = readInventory(ctx, conn, rows)
				return err
			})
		}
	}
	if err := concurrently(read(request.Plan.From, &c.from, false), read(request.Plan.To, &c.to, true)); err != nil {
		return nil, err
	}
	c.checkTables()
	c.checkExtensions()
	c.checkUnpublishable()
	c.checkCapacity(request.Plan.From, c.from)
	c.checkCapacity(request.Plan.To, c.to)
	if d.FreeBytes != nil {
		if free, ok := d.FreeBytes(request.Plan.To); ok && free < c.from.bytes {
			c.add(migration.CheckNoCapacity, c.tenant, "%.0f bytes, %.0f are left", c.from.bytes, free)
		}
	}
	c.checkSequences()
	slices.SortStableFunc(c.results, func(a, b migration.CheckResult) int {
		return strings.Compare(string(a.Reason)+a.Name, string(b.Reason)+b.Name)
	})
	return c.results, nil
}

// checker collects what a check finds.
type checker struct {
	tenant   string
	from, to *inventory
	results  migration.CheckResults
}

func (c *checker) add(reason migration.CheckReason, name, detail string, args ...any) {
	c.results = append(c.results, migration.CheckResult{Reason: reason, Name: name, Detail: fmt.Sprintf(detail, args...)})
}

func (c *checker) checkTables() {
	atTarget := map[string]*table{}
	for _, t := range c.to.tables {
		atTarget[t.fullName()] = t
	}
	for _, t := range c.from.tables {
		if !t.isPublishable() {
			c.add(migration.CheckUnloggedTable, t.fullName(), "")
			continue
		}
		if !t.hasReplicaIdentity() {
			c.add(migration.CheckNoReplicaIdentity, t.fullName(), "")
		}
		c.checkTarget(t, atTarget[t.fullName()])
	}
}

// checkTarget compares a table with the target's one, which is nil where there is none.
func (c *checker) checkTarget(t, target *table) {
	switch {
	case target == nil:
		c.add(migration.CheckSchemaDiffers, t.fullName(), "it is not there")
	case t.shape() != target.shape():
		c.add(migration.CheckSchemaDiffers, t.fullName(), "%s here, %s there", t.shape(), target.shape())
	case c.to.nonEmpty[t.fullName()]:
		c.add(migration.CheckTargetNotEmpty, t.fullName(), "")
	}
}

func (c *checker) checkExtensions() {
	for name, version := range c.from.extensions {
		if c.to.extensions[name] != version {
			c.add(migration.CheckExtensionMissing, name, "%s here, %q there", version, c.to.extensions[name])
		}
	}
}

// checkUnpublishable looks for what logical replication does not carry.
func (c *checker) checkUnpublishable() {
	if c.from.largeObjects > 0 {
		c.add(migration.CheckLargeObjects, "", "%d", c.from.largeObjects)
	}
	for _, id := range c.from.prepared {
		c.add(migration.CheckPreparedTransaction, id, "")
	}
}

func (c *checker) checkCapacity(group migration.Group, at *inventory) {
	if free := at.maxSlots - at.usedSlots; free < minFreeSlots {
		c.add(migration.CheckNoSlots, groupName(group), "%d left", max(0, free))
	}
	if at.walLevel != walLevelLogical {
		c.add(migration.CheckNoSlots, groupName(group), "wal_level is %s", at.walLevel)
	}
}

// checkSequences names the sequences that Verify will set, and those that the target lacks.
func (c *checker) checkSequences() {
	for _, name := range c.from.sequences {
		if !slices.Contains(c.to.sequences, name) {
			c.add(migration.CheckSchemaDiffers, name, "the sequence is not there")
			continue
		}
		c.results = append(c.results, migration.CheckResult{Reason: migration.CheckSequence, Name: name, Informational: true})
	}
}
