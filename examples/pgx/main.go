// Command pgx shows pgx in its default mode through the pooler: prepared statements behind the scenes, a transaction
// with savepoints, COPY and a query that is cancelled. It needs nothing but the address of a pooler's session front,
// such as the one that "testbed up" prints:
//
//	go run ./examples/pgx postgres://web@127.0.0.1:6432/orders
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: pgx postgres://USER@HOST:PORT/DATABASE")
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := run(ctx, os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "pgx:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, url string) error {
	c, err := pgx.Connect(ctx, url+"?sslmode=disable&application_name=example")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()

	// Each of these is prepared once and run by its name, on whichever server connection is free.
	for i := range 10 {
		if _, err := c.Exec(ctx, "INSERT INTO entries (ref, payload) VALUES ($1, $2)", fmt.Sprint("episode-", i), fmt.Sprint("at minute ", i)); err != nil {
			return fmt.Errorf("insert: %w", err)
		}
		var payload string
		if err := c.QueryRow(ctx, "SELECT payload FROM entries WHERE ref = $1", fmt.Sprint("episode-", i)).Scan(&payload); err != nil {
			return fmt.Errorf("select: %w", err)
		}
		if payload != fmt.Sprint("at minute ", i) {
			return fmt.Errorf("episode %d: read %q", i, payload)
		}
	}
	fmt.Println("ten rows written and read by prepared statements")

	// What is behind the savepoint is taken back, the rest stays.
	tx, err := c.Begin(ctx)
	if err != nil {
		return err
	}
	if _, err := tx.Exec(ctx, "INSERT INTO entries (ref, payload) VALUES ('kept', 'yes')"); err != nil {
		return err
	}
	inner, err := tx.Begin(ctx) // SAVEPOINT
	if err != nil {
		return err
	}
	if _, err := inner.Exec(ctx, "INSERT INTO entries (ref, payload) VALUES ('kept', 'no')"); err != nil {
		return err
	}
	if err := errors.Join(inner.Rollback(ctx), tx.Commit(ctx)); err != nil {
		return err
	}
	var kept string
	if err := c.QueryRow(ctx, "SELECT payload FROM entries WHERE ref = $1", "kept").Scan(&kept); err != nil || kept != "yes" {
		return fmt.Errorf("kept is %q: %w", kept, err)
	}
	fmt.Println("a transaction with a savepoint that was rolled back to")

	rows := make([][]any, 1000)
	for i := range rows {
		rows[i] = []any{fmt.Sprint("copied-", i), "by COPY"}
	}
	n, err := c.CopyFrom(ctx, pgx.Identifier{"entries"}, []string{"ref", "payload"}, pgx.CopyFromRows(rows))
	if err != nil || n != 1000 {
		return fmt.Errorf("COPY of %d rows: %w", n, err)
	}
	fmt.Println("1000 rows by COPY")

	go func() {
		time.Sleep(100 * time.Millisecond)
		_ = c.PgConn().CancelRequest(ctx)
	}()
	var pe *pgconn.PgError
	if _, err := c.Exec(ctx, "SELECT pg_sleep(20)"); !errors.As(err, &pe) || pe.Code != "57014" {
		return fmt.Errorf("the query was not cancelled: %w", err)
	}
	var name string
	if err := c.QueryRow(ctx, "SHOW application_name").Scan(&name); err != nil || name != "example" {
		return fmt.Errorf("application_name is %q: %w", name, err)
	}
	fmt.Println("a query cancelled, and the session goes on")
	return nil
}
