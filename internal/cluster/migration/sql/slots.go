package sql

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

const (
	// slotRetryInterval is the pause between attempts to drop a slot whose consumer is ending.
	slotRetryInterval = 10 * time.Millisecond
	// noProcess is what selectSlots returns as process id of a slot without consumer.
	noProcess = "0"
)

// slots are the replication slots of migrations at a group: process ids of their consumers by name, "" for none.
type slots map[string]string

func (s slots) has(name string) bool {
	_, exists := s[name]
	return exists
}

func readSlots(ctx context.Context, conn *pgconn.PgConn) (slots, error) {
	rows, _, err := fencing.Exec(ctx, conn, selectSlots)
	found := slots{}
	for _, row := range rows {
		name, pid := row[0], row[1]
		if !isMigrationObject(name) {
			continue
		}
		if pid == noProcess {
			pid = ""
		}
		found[name] = pid
	}
	return found, err
}

// dropSlots drops the slots of migrations at a group but the retained ones.
func (o *operation) dropSlots(ctx context.Context, group migration.Group, retained ...string) error {
	return o.connect(ctx, group, "drop slots", func(ctx context.Context, conn *pgconn.PgConn) error {
		return o.dropSlotsOn(ctx, conn, retained)
	})
}

// dropSlotsOn retries until no consumer keeps a slot in use. Consumers are ended: their subscription is dropped, or about to be.
func (o *operation) dropSlotsOn(ctx context.Context, conn *pgconn.PgConn, retained []string) error {
	for {
		found, err := readSlots(ctx, conn)
		if err != nil {
			return err
		}
		var inUse error
		for name, pid := range found {
			if slices.Contains(retained, name) || !isRemovable(name, o.request) {
				continue
			}
			err = endAndDropSlot(ctx, conn, name, pid)
			if sqlState(err) == codeObjectInUse {
				inUse = err
			} else if err != nil {
				return err
			}
		}
		if inUse == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return inUse
		case <-time.After(slotRetryInterval):
		}
	}
}

// endAndDropSlot ends the consumer of a slot and drops the slot, which may be gone already.
func endAndDropSlot(ctx context.Context, conn *pgconn.PgConn, name, pid string) error {
	if pid != "" {
		if err := execAll(ctx, conn, terminateBackend(pid)); err != nil {
			return err
		}
	}
	err := execAll(ctx, conn, dropSlot(name))
	if sqlState(err) == codeUndefinedObject {
		return nil
	}
	return err
}

// sourceSlot returns the slot by which the other group replicates from this one: that of the publication's name, or after
// a switch the one that was made for the way back. "" is none.
func sourceSlot(ctx context.Context, conn *pgconn.PgConn) (string, error) {
	publication, err := findPublication(ctx, conn)
	if err != nil || publication == "" {
		return "", err
	}
	found, err := readSlots(ctx, conn)
	if err != nil {
		return "", err
	}
	if found.has(publication) {
		return publication, nil
	}
	if !hasKind(publication, kindReverse) {
		return "", nil
	}
	stored, err := readMetadata(ctx, conn)
	if err != nil || !found.has(stored[itemReverseSlot]) {
		return "", err
	}
	return stored[itemReverseSlot], nil
}

// readConfirmedPosition returns up to where the other group has applied this one's log and flushed the result. found is
// false where there is no slot, or its log is lost.
func readConfirmedPosition(ctx context.Context, conn *pgconn.PgConn) (position migration.LSN, found bool, err error) {
	slot, err := sourceSlot(ctx, conn)
	if err != nil || slot == "" {
		return 0, false, err
	}
	text, err := fencing.QueryValue(ctx, conn, selectConfirmedPosition, slot)
	return parseLSN(text), text != "", err
}
