package sql

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// Kinds of migration.Difference.
const (
	differenceRows     = "rows"
	differenceCount    = "count"
	differenceSequence = "sequence"
	differenceQuery    = "read"
)

// Verify compares what was written since it was compared, counts, sequences and sampled queries, while neither group is written.
func (d *Databases) Verify(ctx context.Context, request migration.Request, source, target migration.Group) (result migration.VerificationResult, err error) {
	o := d.operation(request)
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	var after migration.Timelines
	before, err := o.readTimelines(ctx, source, target)
	if err == nil {
		v := &verification{operation: o, source: source, target: target, timelines: before}
		err = v.run(ctx)
		result = v.result
	}
	if err == nil {
		after, err = o.readTimelines(ctx, source, target)
	}
	if err != nil && (ctx.Err() != nil || sqlState(err) == codeQueryCanceled) {
		return migration.VerificationResult{TimedOut: true, Timelines: before}, nil
	}
	result.Timelines = unchangedTimelines(before, after)
	if err == nil && result.RangesRead > 0 {
		d.throughputs.update(request.Job, func(t *throughput) {
			t.millisPerRead = toMillis(time.Since(began)) / float64(result.RangesRead)
		})
	}
	return result, err
}

// unchangedTimelines returns the timelines that are the same before and after, 0 for those that changed.
func unchangedTimelines(before, after migration.Timelines) migration.Timelines {
	if before.Source != after.Source {
		before.Source = 0
	}
	if before.Target != after.Target {
		before.Target = 0
	}
	return before
}

// verification is one run of Verify.
type verification struct {
	*operation
	source, target migration.Group
	timelines      migration.Timelines
	sourceCatalog  verifiedCatalog
	targetCatalog  verifiedCatalog
	result         migration.VerificationResult
}

// verifiedCatalog is what a verification reads first in a group.
type verifiedCatalog struct {
	tables    []*table
	sequences []*sequence // of the source alone
	trackedBy string
}

func (v *verification) run(ctx context.Context) error {
	if err := concurrently(
		func() error { return v.readSourceCatalog(ctx) },
		func() error { return v.readTargetCatalog(ctx) },
	); err != nil {
		return err
	}
	if err := v.setSequences(ctx); err != nil {
		return err
	}
	touched, err := v.readTouched(ctx, v.source, v.target)
	if err != nil {
		return err
	}
	v.compareShapes()
	if len(v.result.Differences) > 0 {
		return nil
	}
	return v.compareContents(ctx, touched)
}

func (v *verification) readSourceCatalog(ctx context.Context) error {
	return v.transact(ctx, v.source, "verify", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, stored metadata) (err error) {
		v.sourceCatalog.trackedBy = stored[itemTrackedBy]
		if v.sourceCatalog.tables, err = readTables(ctx, conn); err != nil {
			return err
		}
		v.sourceCatalog.sequences, err = readSequences(ctx, conn)
		return err
	})
}

func (v *verification) readTargetCatalog(ctx context.Context) error {
	return v.connect(ctx, v.target, "verify", func(ctx context.Context, conn *pgconn.PgConn) error {
		stored, err := readMetadata(ctx, conn)
		if err != nil {
			return err
		}
		v.targetCatalog.trackedBy = stored[itemTrackedBy]
		v.targetCatalog.tables, err = readTables(ctx, conn)
		return err
	})
}

// setSequences sets the target's sequences, which nothing publishes, as the source's stand, and compares them.
func (v *verification) setSequences(ctx context.Context) error {
	return v.transact(ctx, v.target, "set sequences", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
		for _, s := range v.sourceCatalog.sequences {
			if err := execAll(ctx, conn, setSequence(s)); err != nil {
				return err
			}
		}
		atTarget, err := readSequences(ctx, conn)
		lastValues := map[string]string{}
		for _, s := range atTarget {
			lastValues[s.fullName()] = s.lastValue
		}
		for _, s := range v.sourceCatalog.sequences {
			if target := lastValues[s.fullName()]; target != s.lastValue {
				v.add(migration.Difference{Kind: differenceSequence, Table: s.fullName(), Source: s.lastValue, Target: target})
			}
		}
		return err
	})
}

func (v *verification) add(difference migration.Difference) {
	v.result.Differences = append(v.result.Differences, difference)
}

// compareShapes compares the definitions of the tables.
func (v *verification) compareShapes() {
	shapes := map[string]string{}
	for _, t := range v.targetCatalog.tables {
		shapes[t.fullName()] = t.shape()
	}
	for _, t := range v.sourceCatalog.tables {
		if target := shapes[t.fullName()]; t.isPublishable() && target != t.shape() {
			v.add(migration.Difference{Kind: differenceCount, Table: t.fullName(), Source: t.shape(), Target: target})
		}
	}
}

// trackingIsComplete says whether all that was written since it was compared is tracked, in both groups and by the same operation.
func (v *verification) trackingIsComplete() bool {
	state, trackedBy := v.request.State, v.sourceCatalog.trackedBy
	return trackedBy != "" && trackedBy == v.targetCatalog.trackedBy && v.timelines == state.Timelines && state.Comparison.Complete
}

func (v *verification) compareContents(ctx context.Context, touched touchedKeys) error {
	reader := &contentReader{
		tables:    v.sourceCatalog.tables,
		touched:   touched,
		readAll:   !v.trackingIsComplete(),
		queries:   v.sampledQueries(),
		rangeRows: v.rangeRows(),
	}
	var atSource, atTarget *contents
	read := func(group migration.Group, to **contents) func() error {
		return func() error {
			return v.connect(ctx, group, "verify", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
				*to, err = reader.read(ctx, conn)
				return err
			})
		}
	}
	if err := concurrently(read(v.source, &atSource), read(v.target, &atTarget)); err != nil {
		return err
	}
	v.result.RangesRead, v.result.QueriesReplayed = atSource.rangesRead, len(atSource.queries)
	v.result.Differences = append(v.result.Differences, atSource.differences(atTarget)...)
	return nil
}

// sampledQueries are the tenant's own statements that are replayed in both groups.
func (v *verification) sampledQueries() []string {
	sample, plan := v.databases.SampleQueries, v.request.Plan
	if sample == nil || plan.SampledQueries == 0 {
		return nil
	}
	return sample(plan.Tenant, plan.SampledQueries)
}

// contents are what a group holds of what is verified.
type contents struct {
	rowCounts  map[string]string // by table
	digests    map[migration.Range]migration.RangeDigest
	queries    map[string]migration.RangeDigest // by statement
	rangesRead int
}

// contentReader reads contents, the same in both groups. It is not changed while it is used.
type contentReader struct {
	tables    []*table
	touched   touchedKeys
	readAll   bool // and not the touched rows alone
	queries   []string
	rangeRows int
}

func (r *contentReader) read(ctx context.Context, conn *pgconn.PgConn) (*contents, error) {
	found := &contents{
		rowCounts: map[string]string{},
		digests:   map[migration.Range]migration.RangeDigest{},
		queries:   map[string]migration.RangeDigest{},
	}
	if err := setFormats(ctx, conn); err != nil {
		return nil, err
	}
	for _, t := range r.tables {
		if !t.isPublishable() {
			continue
		}
		if err := r.readTable(ctx, conn, t, found); err != nil {
			return nil, err
		}
	}
	for _, query := range r.queries {
		digest, err := readDigest(ctx, conn, query)
		if err != nil {
			return nil, err
		}
		found.queries[query] = digest
	}
	return found, nil
}

func (r *contentReader) readTable(ctx context.Context, conn *pgconn.PgConn, t *table, found *contents) error {
	count, err := fencing.QueryValue(ctx, conn, countRows(t))
	if err != nil {
		return err
	}
	found.rowCounts[t.fullName()] = count
	touched := r.touched[t.fullName()]
	switch {
	case r.readAll || touched[everyKey]:
		return r.readAllRows(ctx, conn, t, found)
	case len(touched) > 0:
		return r.readTouched(ctx, conn, t, touched, found)
	}
	return nil
}

// readAllRows reads a table range by range. Both groups have the same ranges where they hold the same keys; otherwise the
// first ones that differ are named.
func (r *contentReader) readAllRows(ctx context.Context, conn *pgconn.PgConn, t *table, found *contents) error {
	var after []string
	for {
		set, err := readRange(ctx, conn, t, keyBounds{after: after}, r.rangeRows)
		if err != nil {
			return err
		}
		read := migration.Range{Table: t.fullName(), From: displayKey(after)}
		full := len(set.rows) >= r.rangeRows
		if full {
			after = set.lastKey()
			read.To = displayKey(after)
		}
		found.digests[read] = set.digest
		found.rangesRead++
		if !full {
			return nil
		}
	}
}

// readTouched reads the rows of touched keys, each as a range of its own.
func (r *contentReader) readTouched(ctx context.Context, conn *pgconn.PgConn, t *table, touched map[string]bool, found *contents) error {
	keys := make([]string, 0, len(touched))
	for key := range touched {
		keys = append(keys, key)
	}
	set, err := readKeys(ctx, conn, t, keys)
	if err != nil {
		return err
	}
	for _, row := range set.rows {
		key := displayKey(decodeKey(row.key))
		found.digests[migration.Range{Table: t.fullName(), From: key, To: key}] = row.digest
	}
	found.rangesRead += len(keys)
	return nil
}

// differences names what differs between the source's contents and the target's.
func (c *contents) differences(target *contents) (found []migration.Difference) {
	for table, count := range c.rowCounts {
		if target.rowCounts[table] != count {
			found = append(found, migration.Difference{Kind: differenceCount, Table: table, Source: count, Target: target.rowCounts[table]})
		}
	}
	found = append(found, migration.CompareRanges(c.digests, target.digests)...)
	for query, digest := range c.queries {
		if other := target.queries[query]; other != digest {
			found = append(found, migration.Difference{Kind: differenceQuery, Range: query, Source: digest.String(), Target: other.String()})
		}
	}
	slices.SortStableFunc(found, func(a, b migration.Difference) int {
		return cmp.Compare(a.Kind+a.Table+a.Range, b.Kind+b.Table+b.Range)
	})
	return found
}
