package sql

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// Track begins to note the keys of rows that are written, and makes the slot for the way back at the target.
func (d *Databases) Track(ctx context.Context, request migration.Request, source, target migration.Group) (migration.Timelines, error) {
	o := d.operation(request)
	timelines, err := o.readTimelines(ctx, source, target)
	if err != nil {
		return timelines, err
	}
	slot := objectName(request, kindReverseSlot)
	if err = o.trackChanges(ctx, source, nil); err != nil {
		return timelines, err
	}
	if err = o.trackChanges(ctx, target, func(ctx context.Context, conn *pgconn.PgConn) error {
		if err := setGate(ctx, conn, true); err != nil {
			return err
		}
		return writeMetadata(ctx, conn, metadata{itemReverseSlot: slot, itemReverseTimeline: fmt.Sprint(timelines.Target)})
	}); err != nil {
		return timelines, err
	}
	if err = o.connect(ctx, target, "create slot "+slot, func(ctx context.Context, conn *pgconn.PgConn) error {
		return o.createReverseSlot(ctx, conn, slot)
	}); err != nil {
		return timelines, err
	}
	return timelines, o.recordDone(ctx, itemTrackedBy, timelines)
}

// trackChanges makes the triggers of a group and forgets what they noted before. prepare, which may be nil, runs first, in
// the transaction that voids the earlier tracking.
func (o *operation) trackChanges(ctx context.Context, group migration.Group, prepare connFunc) error {
	if err := o.transact(ctx, group, "track changes", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
		if prepare != nil {
			if err := prepare(ctx, conn); err != nil {
				return err
			}
		}
		return writeMetadata(ctx, conn, metadata{itemTrackedBy: ""})
	}); err != nil {
		return err
	}
	if err := o.createTriggers(ctx, group, (*table).createGuardsAndTracking); err != nil {
		return err
	}
	if err := o.transact(ctx, group, "track changes", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
		_, _, err := fencing.Exec(ctx, conn, deleteTouched)
		return err
	}); err != nil {
		return err
	}
	// A writer whose key was noted before the deletion, and is noted no more, has to commit before anything is compared.
	return o.awaitWriters(ctx, group)
}

// createReverseSlot makes the slot for the way back where it is missing, and drops those that nothing needs.
func (o *operation) createReverseSlot(ctx context.Context, conn *pgconn.PgConn, name string) error {
	_, subscriptionSlot, err := activeSubscription(ctx, conn)
	if err != nil {
		return err
	}
	publication, err := findPublication(ctx, conn)
	if err != nil {
		return err
	}
	retained := []string{name}
	if publication != "" {
		retained = append(retained, publication, subscriptionSlot)
	}
	if err = o.dropSlotsOn(ctx, conn, retained); err != nil {
		return err
	}
	found, err := readSlots(ctx, conn)
	if err != nil || found.has(name) {
		return err
	}
	return execAll(ctx, conn, createSlot(name))
}
