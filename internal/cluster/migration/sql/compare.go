package sql

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/migration"
)

const (
	// maxComparedRows is how many rows one Compare reads: a few seconds' worth, and what may be held in memory as digests.
	maxComparedRows = 20000
	// maxCursorBytes bounds a cursor that is stored; see migration.State.
	maxCursorBytes = 600
)

// cursor is the last range that was compared: a table and the last key, no key where the table's end was reached. The
// table is "" before the first range.
type cursor struct {
	table string
	after []string
}

// encode is the stored form.
func (c cursor) encode() string {
	if c.table == "" {
		return ""
	}
	return encodeKey(append([]string{c.table}, c.after...))
}

func decodeCursor(text string) cursor {
	values := decodeKey(text)
	if len(values) == 0 {
		return cursor{}
	}
	return cursor{table: values[0], after: values[1:]}
}

// startOf returns after which key a table is read, and whether there is anything left of it to read.
func (c cursor) startOf(t *table) (after []string, remains bool) {
	switch name := t.fullName(); {
	case c.table == "" || name > c.table:
		return nil, true
	case name < c.table || len(c.after) == 0:
		return nil, false
	}
	return c.after, true
}

// comparedRange is a range that was read at the source.
type comparedRange struct {
	table *table
	keyBounds
	*rowSet
}

// scan is what one Compare reads at the source.
type scan struct {
	ranges   []comparedRange
	last     string // cursor past the ranges
	complete bool   // nothing follows
	rows     int
	position migration.LSN // up to where the target has to have applied the log
}

// Compare compares the ranges that follow State.Comparison.LastRange, each at a position that the target has applied.
func (d *Databases) Compare(ctx context.Context, request migration.Request, source, target migration.Group) (migration.ComparisonResult, error) {
	o := d.operation(request)
	began := time.Now()
	if err := o.transact(ctx, source, "compare", requireOwned, checkFence); err != nil {
		return migration.ComparisonResult{}, err
	}
	scanned, err := o.scanSource(ctx, source)
	if err != nil {
		return migration.ComparisonResult{}, err
	}
	result := migration.ComparisonResult{LastRange: scanned.last, Complete: scanned.complete}
	if err = o.awaitApplied(ctx, source, scanned.position); err != nil {
		return result, err
	}
	atTarget, err := o.readAgain(ctx, target, scanned.ranges)
	if err != nil {
		return result, err
	}
	if err = o.evaluate(ctx, source, target, scanned.ranges, atTarget, &result); err != nil {
		return result, err
	}
	if scanned.rows > 0 {
		d.throughputs.update(request.Job, func(t *throughput) {
			if t.millisPerRead == 0 {
				t.millisPerRead = toMillis(time.Since(began)) / float64(scanned.rows)
			}
		})
	}
	return result, nil
}

// scanSource reads the next ranges in one snapshot.
func (o *operation) scanSource(ctx context.Context, group migration.Group) (*scan, error) {
	s := &scan{}
	return s, o.connect(ctx, group, "compare", func(ctx context.Context, conn *pgconn.PgConn) error {
		if _, err := conn.Exec(ctx, setOutputFormats+"; "+beginSnapshot).ReadAll(); err != nil {
			return err
		}
		tables, err := readTables(ctx, conn)
		if err != nil {
			return err
		}
		if err = o.scanTables(ctx, conn, tables, s); err != nil {
			return err
		}
		s.position, err = readPosition(ctx, conn)
		return err
	})
}

func (o *operation) scanTables(ctx context.Context, conn *pgconn.PgConn, tables []*table, s *scan) error {
	start := decodeCursor(o.request.State.Comparison.LastRange)
	s.last = start.encode()
	for _, t := range tables {
		after, remains := start.startOf(t)
		if !t.isPublishable() || !remains {
			continue
		}
		done, err := o.scanTable(ctx, conn, t, after, s)
		if err != nil || !done {
			return err
		}
	}
	s.complete = true
	return nil
}

// scanTable reads a table range by range; done is false where the scan has enough rows before the table ends.
func (o *operation) scanTable(ctx context.Context, conn *pgconn.PgConn, t *table, after []string, s *scan) (done bool, err error) {
	for {
		if s.rows >= maxComparedRows && len(s.last) <= maxCursorBytes {
			return false, nil
		}
		read := comparedRange{table: t, keyBounds: keyBounds{after: after}}
		if read.rowSet, err = readRange(ctx, conn, t, read.keyBounds, o.rangeRows()); err != nil {
			return false, err
		}
		s.rows += int(read.digest.Rows)
		full := len(read.rows) >= o.rangeRows()
		if full {
			read.upTo = read.lastKey()
			after = read.upTo
		}
		s.last = cursor{table: t.fullName(), after: read.upTo}.encode()
		s.ranges = append(s.ranges, read)
		if !full {
			return true, nil
		}
	}
}

// readAgain reads the same ranges in another group.
func (o *operation) readAgain(ctx context.Context, group migration.Group, ranges []comparedRange) ([]*rowSet, error) {
	sets := make([]*rowSet, len(ranges))
	err := o.connect(ctx, group, "compare", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		if err = setFormats(ctx, conn); err != nil {
			return err
		}
		for i := range ranges {
			if sets[i], err = readRange(ctx, conn, ranges[i].table, ranges[i].keyBounds, 0); err != nil {
				return err
			}
		}
		return nil
	})
	return sets, err
}

// evaluate counts equal ranges, and those whose differences are in rows that were written meanwhile; it names the others.
func (o *operation) evaluate(ctx context.Context, source, target migration.Group, ranges []comparedRange, atTarget []*rowSet, result *migration.ComparisonResult) error {
	var unequal []int
	for i := range ranges {
		if ranges[i].digest == atTarget[i].digest {
			result.EqualRanges++
		} else {
			unequal = append(unequal, i)
		}
	}
	if len(unequal) == 0 {
		return nil
	}
	touched, err := o.readTouched(ctx, source, target)
	if err != nil {
		return err
	}
	for _, i := range unequal {
		if ranges[i].isExplained(atTarget[i], touched[ranges[i].table.fullName()]) {
			result.ChangedRanges++
		} else {
			result.Differences = append(result.Differences, ranges[i].difference(atTarget[i]))
		}
	}
	return nil
}

// isExplained says whether all rows that differ were written since changes are tracked.
func (r *comparedRange) isExplained(target *rowSet, touched map[string]bool) bool {
	if touched[everyKey] {
		return true
	}
	if len(r.table.key) == 0 {
		return false
	}
	atSource := map[string]migration.RangeDigest{}
	for _, row := range r.rows {
		atSource[row.key] = row.digest
	}
	for _, row := range target.rows {
		digest, exists := atSource[row.key]
		if (!exists || digest != row.digest) && !touched[row.key] {
			return false
		}
		delete(atSource, row.key)
	}
	for key := range atSource {
		if !touched[key] {
			return false
		}
	}
	return true
}

func (r *comparedRange) difference(target *rowSet) migration.Difference {
	compared := migration.Range{Table: r.table.fullName(), From: displayKey(r.after), To: displayKey(r.upTo)}
	return migration.Difference{
		Kind:   differenceRows,
		Table:  compared.Table,
		Range:  compared.String(),
		Source: r.digest.String(),
		Target: target.digest.String(),
	}
}

// awaitApplied waits until the target has applied and flushed the source's log up to a position.
func (o *operation) awaitApplied(ctx context.Context, source migration.Group, required migration.LSN) error {
	return o.connect(ctx, source, "wait for the target", func(ctx context.Context, conn *pgconn.PgConn) error {
		deadline := time.Now().Add(o.timeout())
		for {
			applied, found, err := readConfirmedPosition(ctx, conn)
			if err != nil {
				return err
			}
			if found && applied >= required {
				return nil
			}
			if !found || time.Now().After(deadline) {
				return &ReplicationLagError{Required: required, Applied: applied}
			}
			if err = sleep(ctx, pollInterval); err != nil {
				return err
			}
		}
	})
}
