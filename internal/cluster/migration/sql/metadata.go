package sql

import (
	"context"
	"maps"
	"slices"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
)

// Items of ashstand.book. Their values are stored: they do not change.
const (
	itemJob             = "work"      // the migration that has the tenant, or had it last
	itemReleasedBy      = "given"     // operation that released the tenant; "": it is not released
	itemOperation       = "deed"      // lowest operation number that is accepted
	itemPublishedBy     = "published" // operation that set up the schema
	itemReplicatingBy   = "followed"  // operation that set up the present subscription
	itemTrackedBy       = "marked"    // operation since which changes are tracked
	itemFence           = "closed"    // operation that closed the gate, timeline and position
	itemSourceTimeline  = "home line"
	itemTargetTimeline  = "other line"
	itemSubscription    = "sub" // name of the subscription, noted before it is made
	itemSubscriptionSrc = "sub home line"
	itemSubscriptionTgt = "sub other line"
	itemReverseSlot     = "back"      // slot for replicating back after a switch
	itemReverseTimeline = "back line" // timeline that the slot was made on
)

// metadata are the items of ashstand.book of one group.
type metadata map[string]string

// number returns an item as a number, 0 where it is none.
func (m metadata) number(item string) uint64 {
	n, _ := strconv.ParseUint(m[item], 10, 64)
	return n
}

// released says whether no migration has the tenant.
func (m metadata) released() bool {
	return m[itemJob] == "" || m[itemReleasedBy] != ""
}

func readMetadata(ctx context.Context, conn *pgconn.PgConn) (metadata, error) {
	rows, _, err := fencing.Exec(ctx, conn, selectMetadata)
	stored := metadata{}
	for _, row := range rows {
		stored[row[0]] = row[1]
	}
	return stored, err
}

// writeMetadata stores items, in the order of their names.
func writeMetadata(ctx context.Context, conn *pgconn.PgConn, items metadata) error {
	for _, item := range slices.Sorted(maps.Keys(items)) {
		if _, _, err := fencing.Exec(ctx, conn, upsertMetadata, item, items[item]); err != nil {
			return err
		}
	}
	return nil
}
