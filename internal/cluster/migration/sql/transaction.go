package sql

import (
	"cmp"
	"context"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
)

// ownership is which owner of the tenant a transaction accepts.
type ownership int

const (
	// requireOwned accepts a tenant that this migration has.
	requireOwned ownership = iota
	// allowAcquire accepts a tenant that no migration has, too.
	allowAcquire
	// allowReleased accepts a tenant that this migration has released already, too.
	allowReleased
)

// connFunc uses a connection to a group's primary.
type connFunc func(ctx context.Context, conn *pgconn.PgConn) error

// transactionFunc acts in a fenced transaction; stored is the metadata as the transaction found it.
type transactionFunc func(ctx context.Context, conn *pgconn.PgConn, stored metadata) error

// checkFence is a transactionFunc that does nothing: the transaction only checks and raises the token.
func checkFence(context.Context, *pgconn.PgConn, metadata) error { return nil }

// transact acts at a group's primary in one transaction under the tenant's fencing token, once the metadata shows that the
// migration has the tenant and that the operation is not settled.
func (o *operation) transact(ctx context.Context, group migration.Group, action string, accepted ownership, do transactionFunc) error {
	return o.transactWithin(ctx, o.timeouts(), group, action, accepted, do)
}

func (o *operation) transactWithin(ctx context.Context, timeouts fencing.Timeouts, group migration.Group, action string, accepted ownership, do transactionFunc) error {
	tenant := o.request.Plan.Tenant
	err := o.databases.Client.TransactWithin(ctx, timeouts, group, tenant, tenant, o.request.Token, action,
		func(ctx context.Context, conn *pgconn.PgConn) error {
			stored, err := readMetadata(ctx, conn)
			if err != nil {
				return err
			}
			if err = o.checkOwnership(stored, group, accepted); err != nil {
				return err
			}
			if err = o.checkNumber(ctx, conn, stored, group); err != nil {
				return err
			}
			return do(ctx, conn, stored)
		})
	return wrapError(err, group, action)
}

func (o *operation) checkOwnership(stored metadata, group migration.Group, accepted ownership) error {
	owned, released := stored[itemJob] == o.request.Job, stored.released()
	switch {
	case accepted == allowAcquire && released:
		return nil
	case !owned && !released:
		return &migration.TenantLockedError{Tenant: o.request.Plan.Tenant, Job: stored[itemJob]}
	case !owned, released && accepted != allowReleased:
		return &jobs.FencedError{Target: groupName(group), Presented: o.request.Token, Current: o.request.Token}
	}
	return nil
}

// checkNumber rejects an operation that is settled, and settles those before it.
func (o *operation) checkNumber(ctx context.Context, conn *pgconn.PgConn, stored metadata, group migration.Group) error {
	if stored[itemJob] != o.request.Job || o.request.OperationID == "" {
		return nil
	}
	number, least := operationNumber(o.request), stored.number(itemOperation)
	switch {
	case number < least:
		return &OperationSettledError{Target: groupName(group), Presented: number, MinAccepted: least}
	case number > least:
		return writeMetadata(ctx, conn, metadata{itemOperation: fmt.Sprint(number)})
	}
	return nil
}

// connect acts on a connection to a group's primary outside of a transaction: to read, or for statements that can't run in one.
func (o *operation) connect(ctx context.Context, group migration.Group, action string, do connFunc) error {
	conn, _, err := o.databases.Client.ConnectPrimary(ctx, group, o.request.Plan.Tenant)
	if err != nil {
		return wrapError(err, group, action)
	}
	defer fencing.Close(conn)
	timeouts := o.timeouts()
	timeouts.IdleInTransaction = timeouts.Statement
	if err = fencing.SetTimeouts(ctx, conn, timeouts); err == nil {
		err = do(ctx, conn)
	}
	return wrapError(err, group, action)
}

// concurrently calls two functions and waits for both. It returns the first one's error before the second one's.
func concurrently(first, second func() error) error {
	var wg sync.WaitGroup
	var secondErr error
	wg.Go(func() { secondErr = second() })
	firstErr := first()
	wg.Wait()
	return cmp.Or(firstErr, secondErr)
}

// execAll runs statements in their order.
func execAll(ctx context.Context, conn *pgconn.PgConn, statements ...string) error {
	for _, statement := range statements {
		if _, _, err := fencing.Exec(ctx, conn, statement); err != nil {
			return err
		}
	}
	return nil
}
