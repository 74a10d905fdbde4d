package sql

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/migration"
)

// ReplicateBack subscribes From to To after a switch, so that the migration can still be rolled back.
func (d *Databases) ReplicateBack(ctx context.Context, request migration.Request) (migration.Timelines, error) {
	o := d.operation(request)
	plan := request.Plan
	timelines, err := o.readTimelines(ctx, plan.To, plan.From)
	if err != nil {
		return timelines, err
	}
	if err = o.transact(ctx, plan.From, "close the gate of the old group", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
		return setGate(ctx, conn, true)
	}); err != nil {
		return timelines, err
	}
	slot, replicating, err := o.findReverse(ctx, timelines)
	if err != nil {
		return timelines, err
	}
	// A subscription that works stays: another one would not know up to where it has applied the log.
	if !replicating {
		if err = o.subscribeBack(ctx, timelines, slot); err != nil {
			return timelines, err
		}
	}
	return timelines, o.recordDone(ctx, itemReplicatingBy, timelines)
}

// findReverse returns the slot at To that was made for the way back, "" where it is gone or was made on another timeline,
// and whether a subscription already replicates back.
func (o *operation) findReverse(ctx context.Context, timelines migration.Timelines) (slot string, replicating bool, err error) {
	plan := o.request.Plan
	var publication string
	if err = o.connect(ctx, plan.To, "look for the reverse slot", func(ctx context.Context, conn *pgconn.PgConn) error {
		stored, err := readMetadata(ctx, conn)
		if err != nil {
			return err
		}
		if publication, err = findPublication(ctx, conn); err != nil {
			return err
		}
		found, err := readSlots(ctx, conn)
		if err != nil {
			return err
		}
		if found.has(stored[itemReverseSlot]) && stored[itemReverseTimeline] == fmt.Sprint(timelines.Source) {
			slot = stored[itemReverseSlot]
		}
		return nil
	}); err != nil {
		return "", false, err
	}
	var subscribed bool
	if err = o.connect(ctx, plan.From, "look for the reverse subscription", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		subscribed, err = isSubscribed(ctx, conn, publication)
		return err
	}); err != nil {
		return "", false, err
	}
	isReverse := strings.HasPrefix(publication, jobPrefix(o.request)+string(kindReverse)+"_")
	return slot, subscribed && isReverse && slot != "" && !o.request.Data.Recopy, nil
}

// subscribeBack subscribes From to To, from the slot that was made for it, or with all tables copied anew.
func (o *operation) subscribeBack(ctx context.Context, timelines migration.Timelines, slot string) error {
	plan := o.request.Plan
	if err := o.forgetTracking(ctx); err != nil {
		return err
	}
	name := objectName(o.request, kindReverse)
	recopy := o.request.Data.Recopy || slot == ""
	if recopy {
		slot = name
		if err := o.transact(ctx, plan.To, "record the reverse slot", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
			return writeMetadata(ctx, conn, metadata{itemReverseSlot: name, itemReverseTimeline: fmt.Sprint(timelines.Source)})
		}); err != nil {
			return err
		}
	}
	return o.replicate(ctx, &subscription{
		subscriber: plan.From,
		publisher:  plan.To,
		name:       name,
		slot:       slot,
		timelines:  timelines,
		truncate:   recopy,
		copyData:   recopy,
		publishAll: true,
	})
}
