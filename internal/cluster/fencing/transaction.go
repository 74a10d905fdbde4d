package fencing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/jobs"
)

// inFailedTransaction is the SQLSTATE in_failed_sql_transaction: an earlier statement of the transaction has failed.
const inFailedTransaction = "25P02"

// Timeouts are enforced by the database host itself, even if the pooler has died or is unreachable. A value of 0 means no
// timeout.
type Timeouts struct {
	Lock      time.Duration // lock_timeout
	Statement time.Duration // statement_timeout
	// IdleInTransaction is idle_in_transaction_session_timeout. When it expires the host rolls back and releases the locks.
	IdleInTransaction time.Duration
}

// SetTimeouts sets the timeouts for a connection.
func SetTimeouts(ctx context.Context, conn *pgconn.PgConn, t Timeouts) error {
	_, err := conn.Exec(ctx, fmt.Sprintf("SET lock_timeout = %d; SET statement_timeout = %d; SET idle_in_transaction_session_timeout = %d",
		millisRoundedUp(t.Lock), millisRoundedUp(t.Statement), millisRoundedUp(t.IdleInTransaction))).ReadAll()
	return err
}

func millisRoundedUp(d time.Duration) int64 { return max(0, (d + time.Millisecond - 1).Milliseconds()) }

// Transact runs do on a group's primary, in one transaction whose first statement raises the token in the job's fence row.
// An error that the host did not report itself is returned as an *InDoubtError, because the transaction may have been
// committed. If no host accepts writes, it returns a *NoPrimaryError.
func (c *Client) Transact(ctx context.Context, group uint64, database, job string, token jobs.FencingToken, action string,
	do func(ctx context.Context, conn *pgconn.PgConn) error,
) error {
	return c.TransactWithin(ctx, Timeouts{}, group, database, job, token, action, do)
}

// TransactWithin is like Transact, with timeouts that the host enforces.
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
	_, _, _ = Exec(ctx, conn, "ROLLBACK") // if it fails, the host rolls back once the connection closes
	return WrapUncoded(err, inDoubt)
}

// commit commits a transaction. A host answers COMMIT with ROLLBACK if a statement of the transaction has failed.
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

// WrapUncoded wraps the error of a transaction that was rolled back, unless an error in its chain has a Code method.
func WrapUncoded(err error, wrap func(error) error) error {
	var coded interface{ Code() string }
	if errors.As(err, &coded) {
		return err
	}
	return wrap(err)
}
