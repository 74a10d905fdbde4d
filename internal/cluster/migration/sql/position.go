package sql

import (
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// timelineDigits are the hexadecimal digits of the timeline in the name of a WAL file.
const timelineDigits = 8

// readTimeline returns a primary's timeline.
func readTimeline(ctx context.Context, conn *pgconn.PgConn) (int, error) {
	file, err := fencing.QueryValue(ctx, conn, selectWALFile)
	if err != nil || len(file) < timelineDigits {
		return 0, err
	}
	n, err := strconv.ParseUint(file[:timelineDigits], 16, 32)
	return int(n), err
}

// readPosition returns the position past everything that an earlier statement has seen, flushed or not.
func readPosition(ctx context.Context, conn *pgconn.PgConn) (migration.LSN, error) {
	text, err := fencing.QueryValue(ctx, conn, selectInsertPosition)
	return parseLSN(text), err
}

// parseLSN reads a pg_lsn; 0 where it is none.
func parseLSN(text string) migration.LSN {
	highText, lowText, _ := strings.Cut(text, "/")
	high, _ := strconv.ParseUint(highText, 16, 32)
	low, _ := strconv.ParseUint(lowText, 16, 32)
	return migration.LSN(high<<32 | low)
}

// readTimelines returns the timelines of both groups.
func (o *operation) readTimelines(ctx context.Context, source, target migration.Group) (timelines migration.Timelines, err error) {
	read := func(group migration.Group, timeline *int) func() error {
		return func() error {
			return o.connect(ctx, group, "read timeline", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
				*timeline, err = readTimeline(ctx, conn)
				return err
			})
		}
	}
	err = concurrently(read(source, &timelines.Source), read(target, &timelines.Target))
	return timelines, err
}
