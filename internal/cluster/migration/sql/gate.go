package sql

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// minLockWait is the shortest lock_timeout that is set: 0 would mean no bound.
const minLockWait = time.Millisecond

// fenceFormat is the stored form of a closed gate: operation, timeline and position.
const fenceFormat = "%s %d %d"

// isTrue says whether a boolean of PostgreSQL is true.
func isTrue(text string) bool { return text == "t" }

// Fence closes the gate at the group that serves the tenant. Where writers keep it open it returns them instead.
func (d *Databases) Fence(ctx context.Context, request migration.Request, group migration.Group) (*migration.FencePoint, []migration.BlockingSession, error) {
	o := d.operation(request)
	deadline := time.Now().Add(o.timeout())
	wait := o.timeout()
	if request.Data.EndBlockingSessions { // half of it for sessions that are about to end, half for those that are ended
		wait /= 2
	}
	fence, blocking, err := o.closeGate(ctx, group, wait)
	if sqlState(err) != codeLockNotAvailable || !request.Data.EndBlockingSessions || len(blocking) == 0 {
		return fence, blocking, ignoreLockTimeout(err)
	}
	if err = o.endSessions(ctx, group, blocking); err != nil {
		return nil, blocking, err
	}
	fence, blocking, err = o.closeGate(ctx, group, max(wait, time.Until(deadline)))
	return fence, blocking, ignoreLockTimeout(err)
}

// ignoreLockTimeout drops the error of a wait that timed out: the sessions that were found are the answer.
func ignoreLockTimeout(err error) error {
	if sqlState(err) == codeLockNotAvailable {
		return nil
	}
	return err
}

// closeGate attempts it once. With codeLockNotAvailable it returns the sessions that it waited for.
func (o *operation) closeGate(ctx context.Context, group migration.Group, wait time.Duration) (*migration.FencePoint, []migration.BlockingSession, error) {
	timeouts := o.timeouts()
	timeouts.Lock, timeouts.Statement = max(wait, minLockWait), wait+o.timeout()
	var fence *migration.FencePoint
	err := o.transactWithin(ctx, timeouts, group, "close the gate", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) (err error) {
		fence, err = o.closeGateOn(ctx, conn)
		return err
	})
	if err == nil {
		return fence, nil, nil
	}
	if sqlState(err) != codeLockNotAvailable {
		return nil, nil, err
	}
	blocking, readErr := o.readBlockingSessions(ctx, group)
	if readErr != nil {
		return nil, nil, readErr
	}
	return nil, blocking, err
}

func (o *operation) closeGateOn(ctx context.Context, conn *pgconn.PgConn) (*migration.FencePoint, error) {
	if err := setGate(ctx, conn, true); err != nil {
		return nil, err
	}
	timeline, err := readTimeline(ctx, conn)
	if err != nil {
		return nil, err
	}
	// No writer is past the gate any more: what follows in the log is this transaction's own commit.
	position, err := readPosition(ctx, conn)
	if err != nil {
		return nil, err
	}
	stored := fmt.Sprintf(fenceFormat, o.request.OperationID, timeline, uint64(position))
	return &migration.FencePoint{Timeline: timeline, LSN: position}, writeMetadata(ctx, conn, metadata{itemFence: stored})
}

// parseFence reads the stored form of a gate that this operation closed; nil where another one did, or none.
func parseFence(stored metadata, operationID string) *migration.FencePoint {
	var timeline int
	var position uint64
	if _, err := fmt.Sscanf(stored[itemFence], operationID+" %d %d", &timeline, &position); err != nil {
		return nil
	}
	return &migration.FencePoint{Timeline: timeline, LSN: migration.LSN(position)}
}

// FenceStatus says whether the gate of a group is closed under the request's token, and on which timeline.
func (d *Databases) FenceStatus(ctx context.Context, request migration.Request, group migration.Group) (closed bool, timeline int, err error) {
	err = d.operation(request).transact(ctx, group, "read the gate", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) (err error) {
		if closed, err = readGate(ctx, conn); err != nil {
			return err
		}
		timeline, err = readTimeline(ctx, conn)
		return err
	})
	return closed, timeline, err
}

// readGate says whether the gate of a group is closed.
func readGate(ctx context.Context, conn *pgconn.PgConn) (closed bool, err error) {
	text, err := fencing.QueryValue(ctx, conn, selectGateClosed)
	return isTrue(text), err
}

// Unfence opens the gate of a group, once its subscription is dropped: later changes at the other group must not arrive.
func (d *Databases) Unfence(ctx context.Context, request migration.Request, group migration.Group) error {
	o := d.operation(request)
	if err := o.transact(ctx, group, "open the gate", requireOwned, checkFence); err != nil {
		return err
	}
	if err := o.dropSubscriptionsAt(ctx, group); err != nil {
		return err
	}
	return o.transact(ctx, group, "open the gate", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
		return setGate(ctx, conn, false)
	})
}
