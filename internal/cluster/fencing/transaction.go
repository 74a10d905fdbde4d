package fencing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/jobs"
)

// inFailedTransaction is the SQLSTATE of a transaction in which a statement has failed.
const inFailedTransaction = "25P02"

// Timeouts are kept by the host itself, also where the pooler has died or can't be reached any more; 0: none.
type Timeouts struct {
	Lock              time.Duration // lock_timeout
	Statement         time.Duration // statement_timeout
	IdleInTransaction time.Duration // idle_in_transaction_session_timeout: the host then rolls back and releases the locks
}

// SetTimeouts sets them for a connection.
func SetTimeouts(ctx context.Context, conn *pgconn.PgConn, t Timeouts) error {
	_, err := conn.Exec(ctx, fmt.Sprintf("SET lock_timeout = %d; SET statement_timeout = %d; SET idle_in_transaction_session_timeout = %d",
		millisRoundedUp(t.Lock), millisRoundedUp(t.Statement), millisRoundedUp(t.IdleInTransaction))).ReadAll()
	return err
}

func millisRoundedUp(d time.Duration) int64 { return max(0, (d + time.Millisecond - 1).Milliseconds()) }

// Transact runs do at a group's primary in one transaction whose first statement raises the job's fence. An error that the
// host did not report itself is an *InDoubtError: the transaction may have been committed.
func (c *Client) Transact(ctx context.Context, group uint64, database, job string, token jobs.FencingToken, action string,
	do func(ctx context.Context, conn *pgconn.PgConn) error,
) error {
	return c.TransactWithin(ctx, Timeouts{}, group, database, job, token, action, do)
}

// TransactWithin is Transact within timeouts that the host keeps.
func (c *Client) TransactWithin(ctx context.Context, timeouts Timeouts, group uint64, database, job string, token jobs.FencingToken, action string,
	do func(ctx context.Context, conn *pgconn.PgConn) error,
) error {
	conn, host, err := c.ConnectPrimary(ctx, group, database)
	if err != nil {
		return err
	}
	defer Close(conn)
	inDoubt := func(err error) error {
		var fenced *jobs.FencedError
		if _, reported := ServerError(err); err == nil || reported || errors.As(err, &fenced) {
			return err
		}
		return &InDoubtError{Host: host.Name, Action: action, Err: err}
	}
	if timeouts != (Timeouts{}) {
		if err = SetTimeouts(ctx, conn, timeouts); err != nil {
			return inDoubt(err)
		}
	}
	if _, _, err = Exec(ctx, conn, "BEGIN"); err != nil {
		return inDoubt(err)
	}
	if err = c.RaiseFence(ctx, conn, host.Name, job, token); err == nil {
		err = do(ctx, conn)
	}
	if err == nil {
		return inDoubt(commit(ctx, conn))
	}
	if conn.IsClosed() {
		return inDoubt(err)
	}
	_, _, _ = Exec(ctx, conn, "ROLLBACK") // the host rolls back by itself once the connection closes
	return WrapUncoded(err, inDoubt)
}

// commit ends a transaction. A host answers COMMIT with ROLLBACK where a statement had failed.
func commit(ctx context.Context, conn *pgconn.PgConn) error {
	results, err := conn.Exec(ctx, "COMMIT").ReadAll()
	if err != nil {
		return err
	}
	if len(results) != 1 || results[0].CommandTag.String() != "COMMIT" {
		return &pgconn.PgError{Code: inFailedTransaction, Message: "the transaction was rolled back: a statement in it had failed"}
	}
	return nil
}

// WrapUncoded wraps the error of a transaction that was rolled back, unless something in its chain has a Code of its own.
func WrapUncoded(err error, wrap func(error) error) error {
	var coded interface{ Code() string }
	if errors.As(err, &coded) {
		return err
	}
	return wrap(err)
}
