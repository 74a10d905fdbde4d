package sql

import (
	"context"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/migration"
)

// Subscribe makes the subscription at To. Its publication has no tables yet: Copy adds them.
func (d *Databases) Subscribe(ctx context.Context, request migration.Request) (migration.Timelines, error) {
	o := d.operation(request)
	timelines, err := o.readTimelines(ctx, request.Plan.From, request.Plan.To)
	if err != nil {
		return timelines, err
	}
	if err = o.forgetTracking(ctx); err != nil {
		return timelines, err
	}
	name := objectName(request, kindForward)
	if err = o.replicate(ctx, &subscription{
		subscriber: request.Plan.To,
		publisher:  request.Plan.From,
		name:       name,
		slot:       name,
		timelines:  timelines,
		truncate:   request.Data.Recopy,
		copyData:   true,
	}); err != nil {
		return timelines, err
	}
	return timelines, o.recordDone(ctx, itemReplicatingBy, timelines)
}

// Copy adds the next tables to the publication and has the subscription begin their initial copy.
func (d *Databases) Copy(ctx context.Context, request migration.Request) (migration.CopyResult, error) {
	o := d.operation(request)
	result := migration.CopyResult{LastTable: request.State.Copy.LastTable, Complete: true}
	var publication string
	err := o.transact(ctx, request.Plan.From, "add tables to the publication", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) (err error) {
		publication, result, err = o.publishNext(ctx, conn)
		return err
	})
	if err != nil {
		return result, err
	}
	if err = o.transact(ctx, request.Plan.To, "refresh the subscription", requireOwned, checkFence); err != nil {
		return result, err
	}
	err = o.connect(ctx, request.Plan.To, "refresh the subscription", func(ctx context.Context, conn *pgconn.PgConn) error {
		return execAll(ctx, conn, refreshSubscription(publication))
	})
	return result, err
}

// publishNext adds tables to the publication: one at least, and more until they have about as many rows as were asked for.
func (o *operation) publishNext(ctx context.Context, conn *pgconn.PgConn) (publication string, result migration.CopyResult, err error) {
	last := o.request.State.Copy.LastTable
	result = migration.CopyResult{LastTable: last, Complete: true}
	tables, err := readTables(ctx, conn)
	if err != nil {
		return "", result, err
	}
	if publication, err = findPublication(ctx, conn); err != nil {
		return "", result, err
	}
	published, err := publishedTables(ctx, conn, publication)
	if err != nil {
		return publication, result, err
	}
	for _, t := range tables {
		if t.fullName() <= last || !t.isPublishable() {
			continue
		}
		rows := result.Rows + max(0, t.rows)
		if result.LastTable != last && rows > o.request.Data.Rows {
			result.Complete = false
			return publication, result, nil
		}
		result.LastTable, result.Rows = t.fullName(), rows
		if published[t.fullName()] {
			continue
		}
		if err = execAll(ctx, conn, addPublicationTable(publication, t)); err != nil {
			return publication, result, err
		}
	}
	return publication, result, nil
}
