package sql

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// Publish makes the schema ashstand and its triggers in both groups, and a publication without tables at From.
func (d *Databases) Publish(ctx context.Context, request migration.Request) error {
	o := d.operation(request)
	for _, group := range o.planGroups() {
		if err := o.ensureBase(ctx, group); err != nil {
			return err
		}
		if err := o.acquire(ctx, group); err != nil {
			return err
		}
		if err := o.createTriggers(ctx, group, (*table).createGuards); err != nil {
			return err
		}
	}
	// It is noted last, when all of it is there in both groups.
	return o.writeBoth(ctx, "publish", metadata{itemPublishedBy: request.OperationID})
}

// acquire gives the tenant to this migration in one group, with the gate closed at the plan's target alone.
func (o *operation) acquire(ctx context.Context, group migration.Group) error {
	plan := o.request.Plan
	return o.transact(ctx, group, "publish", allowAcquire, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
		if err := execAll(ctx, conn, createFunctions...); err != nil {
			return err
		}
		if err := setGate(ctx, conn, group == plan.To); err != nil {
			return err
		}
		if group == plan.From {
			if err := replacePublication(ctx, conn, objectName(o.request, kindForward), nil); err != nil {
				return err
			}
		}
		return writeMetadata(ctx, conn, metadata{
			itemJob:          o.request.Job,
			itemReleasedBy:   "",
			itemOperation:    fmt.Sprint(operationNumber(o.request)),
			itemTrackedBy:    "",
			itemSubscription: "",
			itemReverseSlot:  "",
		})
	})
}

// writeBoth stores the same metadata in both groups.
func (o *operation) writeBoth(ctx context.Context, action string, items metadata) error {
	for _, group := range o.planGroups() {
		if err := o.transact(ctx, group, action, requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
			return writeMetadata(ctx, conn, items)
		}); err != nil {
			return err
		}
	}
	return nil
}

// forgetTracking stores in both groups that changes are not tracked and that no subscription is in place: replication begins anew.
func (o *operation) forgetTracking(ctx context.Context) error {
	return o.writeBoth(ctx, "forget tracked changes", metadata{itemTrackedBy: "", itemReplicatingBy: ""})
}

// recordDone stores in both groups that the operation is done there, and at which timelines.
func (o *operation) recordDone(ctx context.Context, item string, timelines migration.Timelines) error {
	return o.writeBoth(ctx, "record "+item, metadata{
		item:               o.request.OperationID,
		itemSourceTimeline: fmt.Sprint(timelines.Source),
		itemTargetTimeline: fmt.Sprint(timelines.Target),
	})
}

// setGate closes or opens the gate of a group.
func setGate(ctx context.Context, conn *pgconn.PgConn, closed bool) error {
	_, changed, err := fencing.Exec(ctx, conn, fmt.Sprintf(updateGate, closed, closed))
	if err != nil || changed == 1 {
		return err
	}
	return execAll(ctx, conn, fmt.Sprintf(insertGate, closed))
}
