// Command databasesql shows database/sql through the pooler: a pool of the driver's own on top of ours, a prepared
// statement that moves between connections, and a transaction that is run again when its connection is lost.
//
//	go run ./examples/databasesql postgres://web@127.0.0.1:6432/orders
package main

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: databasesql postgres://USER@HOST:PORT/DATABASE")
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := run(ctx, os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "databasesql:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, url string) error {
	db, err := sql.Open("pgx", url+"?sslmode=disable")
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }()
	db.SetMaxOpenConns(8)
	read, err := db.PrepareContext(ctx, "SELECT payload FROM entries WHERE ref = $1")
	if err != nil {
		return err
	}
	defer func() { _ = read.Close() }()
	errs := make([]error, 32)
	var all sync.WaitGroup
	for i := range errs {
		all.Go(func() { errs[i] = listen(ctx, db, read, fmt.Sprint("listener-", i)) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	fmt.Println("32 listeners wrote and read their own positions")
	return nil
}

// listen saves a playback position and reads it back.
func listen(ctx context.Context, db *sql.DB, read *sql.Stmt, name string) error {
	for minute := range 5 {
		want := fmt.Sprintf("%s at minute %d", name, minute)
		if err := again(ctx, db, func(tx *sql.Tx) error {
			_, err := tx.ExecContext(ctx, "INSERT INTO entries (ref, payload) VALUES ($1, $2)", name, want)
			return err
		}); err != nil {
			return err
		}
		var got string
		if err := read.QueryRowContext(ctx, name).Scan(&got); err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("%s read %q, not %q", name, got, want)
		}
	}
	return nil
}

// again runs a transaction, and runs it again where the server says that this is safe: 40001 means that nothing of it
// was committed. 08007 would mean that nobody knows; that is the caller's to decide, so it is returned.
func again(ctx context.Context, db *sql.DB, do func(*sql.Tx) error) (err error) {
	for range 5 {
		var tx *sql.Tx
		if tx, err = db.BeginTx(ctx, nil); err != nil {
			return err
		}
		if err = do(tx); err == nil {
			err = tx.Commit()
		} else {
			_ = tx.Rollback()
		}
		var pe *pgconn.PgError
		if !errors.As(err, &pe) || pe.Code != "40001" {
			return err
		}
	}
	return err
}
