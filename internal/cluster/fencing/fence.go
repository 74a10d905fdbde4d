package fencing

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/jobs"
)

// CreateFenceTable creates the table of fence rows where it is missing, in the schema ashstand. A row holds the highest token
// that the database has seen for a job.
const CreateFenceTable = "CREATE TABLE IF NOT EXISTS ashstand.fence (work text PRIMARY KEY, token bigint NOT NULL DEFAULT 0, closed boolean NOT NULL DEFAULT false, home bigint NOT NULL DEFAULT 0)"

// Statements on a job's fence row.
const (
	raiseFence         = "UPDATE ashstand.fence SET token = $2 WHERE work = $1 AND token <= $2"
	overwriteFence     = "UPDATE ashstand.fence SET token = $2 WHERE work = $1" // only to see that a checker notices
	selectFenceToken   = "SELECT token FROM ashstand.fence WHERE work = $1"
	insertFence        = "INSERT INTO ashstand.fence (work, token) VALUES ($1, $2) ON CONFLICT DO NOTHING"
	raiseFenceAttempts = 2 // the second one finds the row that the first has inserted, or that somebody else has
)

// RaiseFence makes a job's fence row hold a token, inside a transaction or by itself. A row with a higher one is a
// *jobs.FencedError. The row is locked until the transaction ends: a transaction of an earlier lease holder either was
// committed before, or finds the higher token.
func (c *Client) RaiseFence(ctx context.Context, conn *pgconn.PgConn, target, job string, token jobs.FencingToken) error {
	presented := strconv.FormatUint(uint64(token), 10)
	raise := raiseFence
	if c.DisabledGuarantee == "fence" {
		raise = overwriteFence
	}
	for range raiseFenceAttempts {
		_, affected, err := Exec(ctx, conn, raise, job, presented)
		if err != nil || affected == 1 {
			return err
		}
		current, err := QueryValue(ctx, conn, selectFenceToken, job)
		if err != nil {
			return err
		}
		if stored, err := strconv.ParseUint(current, 10, 64); err == nil && jobs.FencingToken(stored) > token {
			return &jobs.FencedError{Target: target, Presented: token, Current: jobs.FencingToken(stored)}
		}
		if _, _, err = Exec(ctx, conn, insertFence, job, presented); err != nil {
			return err
		}
	}
	return &jobs.FencedError{Target: target, Presented: token}
}
