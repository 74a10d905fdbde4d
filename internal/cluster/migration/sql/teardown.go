package sql

import (
	"context"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// oldCopyDrop is the value of a plan's OldCopy for which Finish drops the tenant's tables at From.
const oldCopyDrop = "drop"

// CleanUp removes what the migration made in both groups and empties To's tables. From's gate stays open, To's closed.
func (d *Databases) CleanUp(ctx context.Context, request migration.Request) error {
	o := d.operation(request)
	plan := request.Plan
	for _, group := range o.planGroups() {
		if err := o.ensureBase(ctx, group); err != nil {
			return err
		}
	}
	// To ends its subscription first, and is emptied behind its closed gate.
	for _, group := range []migration.Group{plan.To, plan.From} {
		if err := o.acquireUnowned(ctx, group); err != nil {
			return err
		}
		if err := o.removeReplication(ctx, group, group == plan.From); err != nil {
			return err
		}
	}
	if err := o.dropAllSlots(ctx); err != nil {
		return err
	}
	if err := o.transact(ctx, plan.To, "empty tables", allowReleased, unlessReleased(truncateAll)); err != nil {
		return err
	}
	if err := o.removeReplication(ctx, plan.To, true); err != nil {
		return err
	}
	return o.release(ctx, plan.To)
}

// Finish removes what the migration made in both groups but for the tables. From's gate stays closed, To's open.
func (d *Databases) Finish(ctx context.Context, request migration.Request) error {
	o := d.operation(request)
	plan := request.Plan
	closeGate := func(ctx context.Context, conn *pgconn.PgConn) error { return setGate(ctx, conn, true) }
	if err := o.transact(ctx, plan.From, "close the gate of the old group", allowReleased, unlessReleased(closeGate)); err != nil {
		return err
	}
	for _, group := range o.planGroups() {
		if err := o.removeReplication(ctx, group, group == plan.To); err != nil {
			return err
		}
	}
	if err := o.dropAllSlots(ctx); err != nil {
		return err
	}
	if plan.OldCopy == oldCopyDrop {
		if err := o.dropOldCopy(ctx); err != nil {
			return err
		}
	}
	return o.release(ctx, plan.From)
}

// unlessReleased does nothing where the tenant is released already: another migration may acquire it next.
func unlessReleased(do connFunc) transactionFunc {
	return func(ctx context.Context, conn *pgconn.PgConn, stored metadata) error {
		if stored[itemReleasedBy] != "" {
			return nil
		}
		return do(ctx, conn)
	}
}

// dropOldCopy drops the tenant's tables at From.
func (o *operation) dropOldCopy(ctx context.Context) error {
	return o.transact(ctx, o.request.Plan.From, "drop tables", allowReleased, func(ctx context.Context, conn *pgconn.PgConn, stored metadata) error {
		tables, err := readTables(ctx, conn)
		if err != nil || stored[itemReleasedBy] != "" {
			return err
		}
		for _, t := range tables {
			if err = execAll(ctx, conn, dropTable(t)); err != nil {
				return err
			}
		}
		return nil
	})
}

// removeReplication drops subscriptions, publications and triggers of migrations at a group; the guards only if asked for.
func (o *operation) removeReplication(ctx context.Context, group migration.Group, guards bool) error {
	if err := o.dropSubscriptionsAt(ctx, group); err != nil {
		return err
	}
	var tables []*table
	if err := o.transact(ctx, group, "drop publications", allowReleased, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) (err error) {
		if tables, err = readTables(ctx, conn); err != nil {
			return err
		}
		_, err = dropPublicationsExcept(ctx, conn, "")
		return err
	}); err != nil {
		return err
	}
	triggers := trackTriggers
	if guards {
		triggers = slices.Concat(trackTriggers, guardTriggers)
	}
	return o.dropTriggers(ctx, group, tables, triggers)
}

func (o *operation) dropAllSlots(ctx context.Context) error {
	for _, group := range o.planGroups() {
		if err := o.dropSlots(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

// acquireUnowned gives the tenant to this migration in a group where no migration had it yet: what is to be removed may
// never have been made there.
func (o *operation) acquireUnowned(ctx context.Context, group migration.Group) error {
	return o.transact(ctx, group, "clean up", allowAcquire, func(ctx context.Context, conn *pgconn.PgConn, stored metadata) error {
		if stored[itemJob] != "" {
			return nil
		}
		return writeMetadata(ctx, conn, metadata{itemJob: o.request.Job, itemOperation: fmt.Sprint(operationNumber(o.request))})
	})
}

// release gives the tenant up in both groups, with the gate of one of them closed.
func (o *operation) release(ctx context.Context, closedGroup migration.Group) error {
	for _, group := range o.planGroups() {
		if err := o.transact(ctx, group, "release the tenant", allowReleased, unlessReleased(func(ctx context.Context, conn *pgconn.PgConn) error {
			if err := setGate(ctx, conn, group == closedGroup); err != nil {
				return err
			}
			if _, _, err := fencing.Exec(ctx, conn, deleteTouched); err != nil {
				return err
			}
			return writeMetadata(ctx, conn, metadata{
				itemReleasedBy:    o.request.OperationID,
				itemSubscription:  "",
				itemReverseSlot:   "",
				itemTrackedBy:     "",
				itemReplicatingBy: "",
				itemPublishedBy:   "",
			})
		})); err != nil {
			return err
		}
	}
	return nil
}
