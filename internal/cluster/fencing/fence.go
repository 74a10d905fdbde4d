package fencing

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/jobs"
)

// CreateFenceTable creates the table of fence rows in the schema ashstand unless it exists. Each row holds the highest
// fencing token that the database has seen for one job.
const CreateFenceTable = "CREATE TABLE IF NOT EXISTS ashstand.fence (work text PRIMARY KEY, token bigint NOT NULL DEFAULT 0, closed boolean NOT NULL DEFAULT false, home bigint NOT NULL DEFAULT 0)"

// Statements on a job's fence row.
const (
	raiseFence         = "UPDATE ashstand.fence SET token = $2 WHERE work = $1 AND token <= $2"
	overwriteFence     = "UPDATE ashstand.fence SET token = $2 WHERE work = $1" // only to test that a checker detects the violation
	selectFenceToken   = "SELECT token FROM ashstand.fence WHERE work = $1"
	insertFence        = "INSERT INTO ashstand.fence (work, token) VALUES ($1, $2) ON CONFLICT DO NOTHING"
	raiseFenceAttempts = 2 // the second attempt updates the row that the first one or a concurrent process inserted
)

// RaiseFence raises the token in a job's fence row, inside a transaction or outside one. If the row holds a higher token it
// returns a *jobs.FencedError. The row stays locked until the transaction ends: a transaction of an earlier lease holder
// either was committed before, or finds the higher token.
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
