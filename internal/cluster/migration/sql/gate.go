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

// Fence closes the gate at the group that serves the tenant.
func (p *Databases) Fence(ctx context.Context, a migration.Request, at migration.Group) (*migration.FencePoint, []migration.BlockingSession, error) {
	until := time.Now().Add(p.within(a))
	wait := p.within(a)
	if a.Data.EndBlockingSessions { // once for those who are about to end, once for those who were ended
		wait /= 2
	}
	closed, held, err := p.close(ctx, a, at, wait)
	if sqlState(err) != "55P03" || !a.Data.EndBlockingSessions || len(held) == 0 {
		return closed, held, late(err)
	}
	if err = p.act(ctx, a, at, "end stragglers", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
		for _, s := range held {
			if _, err := fencing.QueryValue(ctx, conn, "SELECT pg_terminate_backend("+strconv.Itoa(s.PID)+")"); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return nil, held, err
	}
	closed, held, err = p.close(ctx, a, at, max(wait, time.Until(until)))
	return closed, held, late(err)
}

// late passes over a wait that came to its end: that is an answer.
func late(err error) error {
	if sqlState(err) == "55P03" {
		return nil
	}
	return err
}

// close tries once.
func (p *Databases) close(ctx context.Context, a migration.Request, at migration.Group, wait time.Duration) (*migration.FencePoint, []migration.BlockingSession, error) {
	bounds := p.bounds(a)
	bounds.Lock, bounds.Statement = max(wait, time.Millisecond), wait+p.within(a)
	var closed *migration.FencePoint
	err := p.actWithin(ctx, bounds, a, at, "close", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
		if err := shut(ctx, conn, true); err != nil {
			return err
		}
		n, err := line(ctx, conn)
		if err != nil {
			return err
		}
		// Nobody who writes is past the gate any more: what is to come in the log is this transaction's own commit.
		pos, err := standing(ctx, conn)
		if err != nil {
			return err
		}
		closed = &migration.FencePoint{Timeline: n, LSN: pos}
		return write(ctx, conn, book{"closed": fmt.Sprintf("%s %d %d", a.OperationID, n, uint64(pos))})
	})
	if err == nil {
		return closed, nil, nil
	}
	if sqlState(err) != "55P03" {
		return nil, nil, err
	}
	var held []migration.BlockingSession
	if look := p.on(ctx, a, at, "stragglers", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		held, err = stragglers(ctx, conn)
		return err
	}); look != nil {
		return nil, nil, look
	}
	return nil, held, err
}

// stragglers are the sessions that have written in a transaction which is open; or, where there is none, those whose
// transaction is.
func stragglers(ctx context.Context, conn *pgconn.PgConn) ([]migration.BlockingSession, error) {
	rows, _, err := fencing.Exec(ctx, conn, "SELECT pid, usename, state, backend_xid, extract(epoch FROM clock_timestamp() - xact_start) FROM pg_stat_activity "+
		"WHERE datname = current_database() AND pid <> pg_backend_pid() AND backend_type = 'client backend' AND xact_start IS NOT NULL "+
		"ORDER BY xact_start")
	if err != nil {
		return nil, err
	}
	var writing, open []migration.BlockingSession
	for _, r := range rows {
		pid, _ := strconv.Atoi(r[0])
		age, _ := strconv.ParseFloat(r[4], 64)
		s := migration.BlockingSession{PID: pid, User: r[1], Age: fmt.Sprintf("%.3f s", age)}
		if r[3] != "" {
			s.Kind = "writing, " + r[2]
			writing = append(writing, s)
		} else if r[2] != "idle" {
			s.Kind = "in a transaction, " + r[2]
			open = append(open, s)
		}
	}
	if len(writing) > 0 {
		return writing, nil
	}
	return open, nil
}

// FenceStatus says whether the gate is closed, under this token.
func (p *Databases) FenceStatus(ctx context.Context, a migration.Request, at migration.Group) (closed bool, n int, err error) {
	err = p.act(ctx, a, at, "fenced", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
		shut, err := fencing.QueryValue(ctx, conn, "SELECT closed FROM ashstand.gate WHERE id = 1")
		if err != nil {
			return err
		}
		closed = shut == "t"
		n, err = line(ctx, conn)
		return err
	})
	return closed, n, err
}

// Unfence opens the gate of a group, once it follows nobody.
func (p *Databases) Unfence(ctx context.Context, a migration.Request, at migration.Group) error {
	if err := p.act(ctx, a, at, "open", ours, func(context.Context, *pgconn.PgConn, book) error { return nil }); err != nil {
		return err
	}
	if err := p.on(ctx, a, at, "drop subscriptions", func(ctx context.Context, conn *pgconn.PgConn) error {
		return dropSubscriptions(ctx, conn, a, "")
	}); err != nil {
		return err
	}
	return p.act(ctx, a, at, "open", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
		return shut(ctx, conn, false)
	})
}
