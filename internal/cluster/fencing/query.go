package fencing

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
)

// Exec runs one statement and returns its rows as text, and how many rows it affected.
func Exec(ctx context.Context, conn *pgconn.PgConn, sql string, args ...string) (rows [][]string, affected int64, err error) {
	values := make([][]byte, len(args))
	for i, arg := range args {
		values[i] = []byte(arg)
	}
	reader := conn.ExecParams(ctx, sql, values, nil, nil, nil)
	for reader.NextRow() {
		row := make([]string, 0, len(reader.Values()))
		for _, value := range reader.Values() {
			row = append(row, string(value))
		}
		rows = append(rows, row)
	}
	tag, err := reader.Close()
	return rows, tag.RowsAffected(), err
}

// QueryValue returns the first value of a statement's first row, or "" if there is no row or the value is NULL.
func QueryValue(ctx context.Context, conn *pgconn.PgConn, sql string, args ...string) (string, error) {
	rows, _, err := Exec(ctx, conn, sql, args...)
	if err != nil || len(rows) == 0 || len(rows[0]) == 0 {
		return "", err
	}
	return rows[0][0], nil
}

// ServerError returns the error that the database host itself reported, if err's chain contains one. In that case the
// statement was not executed or was rolled back. After any other error it is unknown whether it was executed.
func ServerError(err error) (*pgconn.PgError, bool) {
	var reported *pgconn.PgError
	ok := errors.As(err, &reported)
	return reported, ok
}
