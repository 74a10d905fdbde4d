package sql

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// pollInterval is the pause between two looks at sessions or positions that are waited for.
const pollInterval = 5 * time.Millisecond

// sessionIdle is pg_stat_activity.state of a session without transaction.
const sessionIdle = "idle"

// writer is a transaction that has written, by its process and transaction id.
type writer struct{ pid, xid string }

func readWriters(ctx context.Context, conn *pgconn.PgConn) (map[writer]bool, error) {
	rows, _, err := fencing.Exec(ctx, conn, selectWriters)
	writers := map[writer]bool{}
	for _, row := range rows {
		writers[writer{pid: row[0], xid: row[1]}] = true
	}
	return writers, err
}

// awaitWriters waits until all transactions that had written when it began have ended.
func (o *operation) awaitWriters(ctx context.Context, group migration.Group) error {
	return o.connect(ctx, group, "wait for writers", func(ctx context.Context, conn *pgconn.PgConn) error {
		remaining, err := readWriters(ctx, conn)
		if err != nil {
			return err
		}
		deadline := time.Now().Add(o.timeout())
		for len(remaining) > 0 {
			if time.Now().After(deadline) {
				blocking, err := readOpenTransactions(ctx, conn)
				if err != nil {
					return err
				}
				return &WritersActiveError{Sessions: blocking}
			}
			if err = sleep(ctx, pollInterval); err != nil {
				return err
			}
			running, err := readWriters(ctx, conn)
			if err != nil {
				return err
			}
			for w := range remaining {
				if !running[w] {
					delete(remaining, w)
				}
			}
		}
		return nil
	})
}

// sleep waits, or returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (o *operation) readBlockingSessions(ctx context.Context, group migration.Group) (sessions []migration.BlockingSession, err error) {
	err = o.connect(ctx, group, "read open transactions", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		sessions, err = readOpenTransactions(ctx, conn)
		return err
	})
	return sessions, err
}

// readOpenTransactions returns the sessions whose open transaction has written, or, where there is none, those whose
// transaction is open.
func readOpenTransactions(ctx context.Context, conn *pgconn.PgConn) ([]migration.BlockingSession, error) {
	rows, _, err := fencing.Exec(ctx, conn, selectOpenTransactions)
	if err != nil {
		return nil, err
	}
	var writing, open []migration.BlockingSession
	for _, row := range rows {
		pid, _ := strconv.Atoi(row[0])
		user, state, xid := row[1], row[2], row[3]
		age, _ := strconv.ParseFloat(row[4], 64)
		session := migration.BlockingSession{PID: pid, User: user, Age: fmt.Sprintf("%.3f s", age)}
		switch {
		case xid != "":
			session.Kind = "writing, " + state
			writing = append(writing, session)
		case state != sessionIdle:
			session.Kind = "in a transaction, " + state
			open = append(open, session)
		}
	}
	if len(writing) > 0 {
		return writing, nil
	}
	return open, nil
}

// endSessions ends sessions by force.
func (o *operation) endSessions(ctx context.Context, group migration.Group, sessions []migration.BlockingSession) error {
	return o.transact(ctx, group, "end blocking sessions", requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
		for i := range sessions {
			if err := execAll(ctx, conn, terminateBackend(strconv.Itoa(sessions[i].PID))); err != nil {
				return err
			}
		}
		return nil
	})
}
