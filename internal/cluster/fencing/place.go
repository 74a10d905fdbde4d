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

// HostLister are those that may be asked now: listed, and not leaving.
type HostLister func(group uint64) []Host

// NoPrimaryError is a group none of whose hosts takes writes.
type NoPrimaryError struct {
	Group    uint64
	Attempts []string // hosts, with what each said
	Err      error    // the last that went wrong; nil: nobody is listed
}

func (e *NoPrimaryError) Error() string {
	return fmt.Sprintf("group %d: no host takes writes (%d asked): %v", e.Group, len(e.Attempts), e.Err)
}

func (e *NoPrimaryError) Unwrap() error { return e.Err }

// Code is the reason in a word.
func (e *NoPrimaryError) Code() string { return "no_primary" }

// Advice says what an operator can do.
func (e *NoPrimaryError) Advice() string {
	return "ashstand hosts shows the group; if others reach its primary, the work goes to another owner by itself"
}

// InDoubtError is an act whose connection broke: whether it ran is not known.
type InDoubtError struct {
	Host   string
	Action string
	Err    error
}

func (e *InDoubtError) Error() string { return e.Host + ": " + e.Action + ": " + e.Err.Error() }

func (e *InDoubtError) Unwrap() error { return e.Err }

// Code is the reason in a word.
func (e *InDoubtError) Code() string { return "in_doubt" }

// Advice says what an operator can do.
func (e *InDoubtError) Advice() string {
	return "nothing: the owner looks whether it was done before it goes on; if that lasts, look at the link to the host"
}

// Client asks db hosts.
type Client struct {
	Hosts             HostLister
	User              string
	ConnectTimeout    time.Duration // for one connection; 0: 2 s
	DisabledGuarantee string        // a guarantee that is switched off, to see its checker fail: "fence"
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
	cfg.ConnectTimeout = c.ConnectTimeout
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = 2 * time.Second
	}
	cfg.RuntimeParams = map[string]string{"application_name": "ashstand works"}
	return pgconn.ConnectConfig(ctx, cfg)
}

// ConnectPrimary connects to the host of a group that takes writes: the listed one first.
func (c *Client) ConnectPrimary(ctx context.Context, group uint64, database string) (*pgconn.PgConn, Host, error) {
	hosts := c.Hosts(group)
	no := &NoPrimaryError{Group: group}
	for _, listed := range []bool{true, false} {
		for _, h := range hosts {
			if h.Primary != listed || ctx.Err() != nil {
				continue
			}
			conn, err := c.Dial(ctx, h.Address, database)
			if err == nil {
				var in string
				if in, err = QueryValue(ctx, conn, "SELECT pg_is_in_recovery()"); err == nil && (in == "f" || in == "false") {
					return conn, h, nil
				} else if err == nil {
					err = errors.New("it is a replica")
				}
				Close(conn)
			}
			no.Attempts = append(no.Attempts, h.Name+": "+err.Error())
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

// QueryValue asks for one value; "" where there is no row, or NULL.
func QueryValue(ctx context.Context, c *pgconn.PgConn, sql string, args ...string) (string, error) {
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

// ServerError says whether an error is what the host itself said: then the statement did not run, or was rolled back.
func ServerError(err error) (*pgconn.PgError, bool) {
	var pe *pgconn.PgError
	ok := errors.As(err, &pe)
	return pe, ok
}

// RaiseFence makes a work's fence row hold a token, inside a transaction or by itself. A row with a higher one is a
// *owner.Fenced. The row is locked until the transaction ends: an act of an older owner either was committed before, or
// finds the higher token.
func (c *Client) RaiseFence(ctx context.Context, conn *pgconn.PgConn, at, work string, token jobs.FencingToken) error {
	t := strconv.FormatUint(uint64(token), 10)
	for range 2 {
		sql := "UPDATE ashstand.fence SET token = $2 WHERE work = $1 AND token <= $2"
		if c.DisabledGuarantee == "fence" {
			sql = "UPDATE ashstand.fence SET token = $2 WHERE work = $1"
		}
		_, n, err := Exec(ctx, conn, sql, work, t)
		if err != nil || n == 1 {
			return err
		}
		holds, err := QueryValue(ctx, conn, "SELECT token FROM ashstand.fence WHERE work = $1", work)
		if err != nil {
			return err
		}
		if h, err := strconv.ParseUint(holds, 10, 64); err == nil && jobs.FencingToken(h) > token {
			return &jobs.FencedError{Target: at, Presented: token, Current: jobs.FencingToken(h)}
		}
		_, _, err = Exec(ctx, conn, "INSERT INTO ashstand.fence (work, token) VALUES ($1, $2) ON CONFLICT DO NOTHING", work, t)
		if err != nil {
			return err
		}
	}
	return &jobs.FencedError{Target: at, Presented: token}
}

// Timeouts are how long a host lets a connection wait or hold on; 0: as long as it takes.
type Timeouts struct {
	Lock              time.Duration // lock_timeout
	Statement         time.Duration // statement_timeout
	IdleInTransaction time.Duration // idle_in_transaction_session_timeout: then the host takes the transaction back and lets go its locks
}

// SetTimeouts sets them for a connection.
func SetTimeouts(ctx context.Context, conn *pgconn.PgConn, b Timeouts) error {
	ms := func(d time.Duration) int64 { return max(0, (d + time.Millisecond - 1).Milliseconds()) }
	_, err := conn.Exec(ctx, fmt.Sprintf("SET lock_timeout = %d; SET statement_timeout = %d; SET idle_in_transaction_session_timeout = %d",
		ms(b.Lock), ms(b.Statement), ms(b.IdleInTransaction))).ReadAll()
	return err
}

// Transact does something at a group's primary in one transaction whose first act takes the fence. An error that the host did
// not word is an *Unreached: the transaction may have been committed.
func (c *Client) Transact(ctx context.Context, group uint64, database, work string, token jobs.FencingToken, what string, do func(ctx context.Context, conn *pgconn.PgConn) error) error {
	return c.TransactWithin(ctx, Timeouts{}, group, database, work, token, what, do)
}

// TransactWithin is Act within bounds that the host keeps, also where who acts has died or can't be reached any more.
func (c *Client) TransactWithin(ctx context.Context, b Timeouts, group uint64, database, work string, token jobs.FencingToken, what string, do func(ctx context.Context, conn *pgconn.PgConn) error) error {
	conn, h, err := c.ConnectPrimary(ctx, group, database)
	if err != nil {
		return err
	}
	defer Close(conn)
	step := func(err error) error {
		var fenced *jobs.FencedError
		if _, worded := ServerError(err); err == nil || worded || errors.As(err, &fenced) {
			return err
		}
		return &InDoubtError{Host: h.Name, Action: what, Err: err}
	}
	if b != (Timeouts{}) {
		if err = SetTimeouts(ctx, conn, b); err != nil {
			return step(err)
		}
	}
	if _, _, err = Exec(ctx, conn, "BEGIN"); err != nil {
		return step(err)
	}
	if err = c.RaiseFence(ctx, conn, h.Name, work, token); err == nil {
		err = do(ctx, conn)
	}
	if err != nil {
		if conn.IsClosed() {
			return step(err)
		}
		_, _, _ = Exec(ctx, conn, "ROLLBACK")
		return WrapUncoded(err, step)
	}
	out, err := conn.Exec(ctx, "COMMIT").ReadAll()
	if err == nil && (len(out) != 1 || out[0].CommandTag.String() != "COMMIT") {
		err = &pgconn.PgError{Code: "25P02", Message: "the transaction was taken back: a statement in it had failed"}
	}
	return step(err)
}

// WrapUncoded words an error of what was done in a transaction that was rolled back: one that has a Code of its own stays as it
// is, another is as step has it.
func WrapUncoded(err error, step func(error) error) error {
	var own interface{ Code() string }
	if errors.As(err, &own) {
		return err
	}
	return step(err)
}

// CreateFenceTable makes the table of fence rows where it is missing.
const CreateFenceTable = "CREATE TABLE IF NOT EXISTS ashstand.fence (work text PRIMARY KEY, token bigint NOT NULL DEFAULT 0, closed boolean NOT NULL DEFAULT false, home bigint NOT NULL DEFAULT 0)"
