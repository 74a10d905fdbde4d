// Package place is where works act on db hosts: a connection to a group's primary by SQL alone, and the fence row that
// refuses the acts of an owner which has been replaced. It resends nothing by itself.
package fencing

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/jobs"
)

// Host is a db host as discovery lists it.
type Host struct {
	Name    string
	Address string
	Group   uint64
	Primary bool // as the list has it, which may be late
	Zone    string
}

// Hosts are those that may be asked now: listed, and not leaving.
type Hosts func(group uint64) []Host

// NoPrimary is a group none of whose hosts takes writes.
type NoPrimary struct {
	Group uint64
	Asked []string // hosts, with what each said
	Err   error    // the last that went wrong; nil: nobody is listed
}

func (e *NoPrimary) Error() string {
	return fmt.Sprintf("group %d: no host takes writes (%d asked): %v", e.Group, len(e.Asked), e.Err)
}

func (e *NoPrimary) Unwrap() error { return e.Err }

// Code is the reason in a word.
func (e *NoPrimary) Code() string { return "no_primary" }

// Advice says what an operator can do.
func (e *NoPrimary) Advice() string {
	return "ashstand hosts shows the group; if others reach its primary, the work goes to another owner by itself"
}

// Unreached is an act whose connection broke: whether it ran is not known.
type Unreached struct {
	Host string
	What string
	Err  error
}

func (e *Unreached) Error() string { return e.Host + ": " + e.What + ": " + e.Err.Error() }

func (e *Unreached) Unwrap() error { return e.Err }

// Code is the reason in a word.
func (e *Unreached) Code() string { return "in_doubt" }

// Advice says what an operator can do.
func (e *Unreached) Advice() string {
	return "nothing: the owner looks whether it was done before it goes on; if that lasts, look at the link to the host"
}

// Client asks db hosts.
type Client struct {
	Hosts   Hosts
	User    string
	Connect time.Duration // for one connection; 0: 2 s
	Unsafe  string        // a guarantee that is switched off, to see its checker fail: "fence"
}

// Dial connects to one host's database.
func (c *Client) Dial(ctx context.Context, address, database string) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, err
	}
	cfg, err := pgconn.ParseConfig("host=" + host + " sslmode=disable") // nothing of the environment's counts but what is set here
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port, cfg.Database, cfg.User, cfg.Password, cfg.TLSConfig, cfg.Fallbacks = host, uint16(n), database, c.User, "", nil, nil
	cfg.ConnectTimeout = c.Connect
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = 2 * time.Second
	}
	cfg.RuntimeParams = map[string]string{"application_name": "ashstand works"}
	return pgconn.ConnectConfig(ctx, cfg)
}

// Primary connects to the host of a group that takes writes: the listed one first.
func (c *Client) Primary(ctx context.Context, group uint64, database string) (*pgconn.PgConn, Host, error) {
	hosts := c.Hosts(group)
	no := &NoPrimary{Group: group}
	for _, listed := range []bool{true, false} {
		for _, h := range hosts {
			if h.Primary != listed || ctx.Err() != nil {
				continue
			}
			conn, err := c.Dial(ctx, h.Address, database)
			if err == nil {
				var in string
				if in, err = One(ctx, conn, "SELECT pg_is_in_recovery()"); err == nil && (in == "f" || in == "false") {
					return conn, h, nil
				} else if err == nil {
					err = errors.New("it is a replica")
				}
				Close(conn)
			}
			no.Asked = append(no.Asked, h.Name+": "+err.Error())
			no.Err = err
		}
	}
	if no.Err == nil {
		if no.Err = ctx.Err(); no.Err == nil {
			no.Err = errors.New("no host is listed")
		}
	}
	return nil, Host{}, no
}

// Close ends a connection without waiting long for a host that is silent.
func Close(c *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = c.Close(ctx)
}

// One asks for one value; "" where there is no row, or NULL.
func One(ctx context.Context, c *pgconn.PgConn, sql string, args ...string) (string, error) {
	rows, _, err := Exec(ctx, c, sql, args...)
	if err != nil || len(rows) == 0 || len(rows[0]) == 0 {
		return "", err
	}
	return rows[0][0], nil
}

// Exec runs one statement and returns its rows as text, and how many rows it touched.
func Exec(ctx context.Context, c *pgconn.PgConn, sql string, args ...string) (rows [][]string, touched int64, err error) {
	values := make([][]byte, len(args))
	for i, a := range args {
		values[i] = []byte(a)
	}
	r := c.ExecParams(ctx, sql, values, nil, nil, nil)
	for r.NextRow() {
		row := make([]string, 0, 4)
		for _, v := range r.Values() {
			row = append(row, string(v))
		}
		rows = append(rows, row)
	}
	tag, err := r.Close()
	return rows, tag.RowsAffected(), err
}

// Worded says whether an error is what the host itself said: then the statement did not run, or was rolled back.
func Worded(err error) (*pgconn.PgError, bool) {
	var pe *pgconn.PgError
	ok := errors.As(err, &pe)
	return pe, ok
}

// Take makes a work's fence row hold a token, inside a transaction or by itself. A row with a higher one is a
// *owner.Fenced. The row is locked until the transaction ends: an act of an older owner either was committed before, or
// finds the higher token.
func (c *Client) Take(ctx context.Context, conn *pgconn.PgConn, at, work string, token jobs.Token) error {
	t := strconv.FormatUint(uint64(token), 10)
	for range 2 {
		sql := "UPDATE ashstand.fence SET token = $2 WHERE work = $1 AND token <= $2"
		if c.Unsafe == "fence" {
			sql = "UPDATE ashstand.fence SET token = $2 WHERE work = $1"
		}
		_, n, err := Exec(ctx, conn, sql, work, t)
		if err != nil || n == 1 {
			return err
		}
		holds, err := One(ctx, conn, "SELECT token FROM ashstand.fence WHERE work = $1", work)
		if err != nil {
			return err
		}
		if h, err := strconv.ParseUint(holds, 10, 64); err == nil && jobs.Token(h) > token {
			return &jobs.Fenced{Place: at, Given: token, Holds: jobs.Token(h)}
		}
		_, _, err = Exec(ctx, conn, "INSERT INTO ashstand.fence (work, token) VALUES ($1, $2) ON CONFLICT DO NOTHING", work, t)
		if err != nil {
			return err
		}
	}
	return &jobs.Fenced{Place: at, Given: token}
}

// Bounds are how long a host lets a connection wait or hold on; 0: as long as it takes.
type Bounds struct {
	Lock      time.Duration // lock_timeout
	Statement time.Duration // statement_timeout
	Idle      time.Duration // idle_in_transaction_session_timeout: then the host takes the transaction back and lets go its locks
}

// Bound sets them for a connection.
func Bound(ctx context.Context, conn *pgconn.PgConn, b Bounds) error {
	ms := func(d time.Duration) int64 { return max(0, (d + time.Millisecond - 1).Milliseconds()) }
	_, err := conn.Exec(ctx, fmt.Sprintf("SET lock_timeout = %d; SET statement_timeout = %d; SET idle_in_transaction_session_timeout = %d",
		ms(b.Lock), ms(b.Statement), ms(b.Idle))).ReadAll()
	return err
}

// Act does something at a group's primary in one transaction whose first act takes the fence. An error that the host did
// not word is an *Unreached: the transaction may have been committed.
func (c *Client) Act(ctx context.Context, group uint64, database, work string, token jobs.Token, what string, do func(ctx context.Context, conn *pgconn.PgConn) error) error {
	return c.ActWithin(ctx, Bounds{}, group, database, work, token, what, do)
}

// ActWithin is Act within bounds that the host keeps, also where who acts has died or can't be reached any more.
func (c *Client) ActWithin(ctx context.Context, b Bounds, group uint64, database, work string, token jobs.Token, what string, do func(ctx context.Context, conn *pgconn.PgConn) error) error {
	conn, h, err := c.Primary(ctx, group, database)
	if err != nil {
		return err
	}
	defer Close(conn)
	step := func(err error) error {
		var fenced *jobs.Fenced
		if _, worded := Worded(err); err == nil || worded || errors.As(err, &fenced) {
			return err
		}
		return &Unreached{Host: h.Name, What: what, Err: err}
	}
	if b != (Bounds{}) {
		if err = Bound(ctx, conn, b); err != nil {
			return step(err)
		}
	}
	if _, _, err = Exec(ctx, conn, "BEGIN"); err != nil {
		return step(err)
	}
	if err = c.Take(ctx, conn, h.Name, work, token); err == nil {
		err = do(ctx, conn)
	}
	if err != nil {
		if conn.IsClosed() {
			return step(err)
		}
		_, _, _ = Exec(ctx, conn, "ROLLBACK")
		return Decided(err, step)
	}
	out, err := conn.Exec(ctx, "COMMIT").ReadAll()
	if err == nil && (len(out) != 1 || out[0].CommandTag.String() != "COMMIT") {
		err = &pgconn.PgError{Code: "25P02", Message: "the transaction was taken back: a statement in it had failed"}
	}
	return step(err)
}

// Decided words an error of what was done in a transaction that was rolled back: one that has a Code of its own stays as it
// is, another is as step has it.
func Decided(err error, step func(error) error) error {
	var own interface{ Code() string }
	if errors.As(err, &own) {
		return err
	}
	return step(err)
}

// FenceTable makes the table of fence rows where it is missing.
const FenceTable = "CREATE TABLE IF NOT EXISTS ashstand.fence (work text PRIMARY KEY, token bigint NOT NULL DEFAULT 0, closed boolean NOT NULL DEFAULT false, home bigint NOT NULL DEFAULT 0)"
