// Package sql moves tenants between groups of PostgreSQL hosts by SQL alone: it is move.Places. A tenant is a database of
// its name in both groups.
//
// What the move keeps stands in the schema ashstand of that database, which is not published. ashstand.fence holds the
// tenant's token: each transaction of a deed takes its row first. ashstand.gate says whether writes are refused: the trigger
// on each table reads its row FOR SHARE, so who closes waits for who writes; it is apart from the token's row, so that no
// deed but the closing waits for writers or holds them up. ashstand.book holds whose the tenant is, the lowest deed that still
// counts, and the names of what was built; ashstand.touched the keys of rows that were changed.
//
// Subscriptions, their slots and publications can't stand behind the row. Their names carry kind, token and deed
// (ash_HASH_KIND_TOKEN_DEED), and a subscription names a publication that was made, under the same name, in a fenced
// transaction at the publisher: one that comes late finds no publication, follows nothing, and goes with the next deed.
package sql

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
)

// Databases are the homes of tenants.
type Databases struct {
	Client      *fencing.Client
	Timeout     time.Duration // for a deed whose data say nothing; 0: 10 s
	IdleTimeout time.Duration // a transaction whose owner says nothing is ended by the host after so long; 0: 2 s
	RangeRows   int           // of a range; 0: 1000
	// Room says how many bytes a group has left, false: nobody knows. SQL does not tell it. nil: nobody.
	FreeBytes func(group migration.Group) (bytes float64, known bool)
	// Reads gives statements of the tenant's own that change nothing, to be played at both homes. nil: none.
	SampleQueries func(tenant string, n int) []string

	mu    sync.Mutex
	paces map[string]pace // by work
}

// pace is how fast things went of late at a work.
type pace struct {
	at       time.Time
	lines    migration.Timelines
	applied  migration.LSN // what was durable then
	perMs    float64       // log bytes that the other takes in a millisecond
	verifies float64       // ms a row that is read again
}

// mostPaces bounds how many works' paces are known: as many as may be open.
const mostPaces = 64

func (p *Databases) pace(work string) pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paces[work]
}

func (p *Databases) learn(work string, do func(*pace)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paces == nil || len(p.paces) >= mostPaces && p.paces[work] == (pace{}) {
		p.paces = map[string]pace{}
	}
	x := p.paces[work]
	do(&x)
	p.paces[work] = x
}

// StatementError is an act that a home refused in its own words: it was not done.
type StatementError struct {
	Group  migration.Group
	Action string
	Err    error
}

func (r *StatementError) Error() string {
	return fmt.Sprintf("group %d: %s: %v", r.Group, r.Action, r.Err)
}
func (r *StatementError) Unwrap() error { return r.Err }

// Code is the reason in a word.
func (r *StatementError) Code() string { return "place_refused" }

// Advice says what an operator can do.
func (r *StatementError) Advice() string {
	return "it is tried again; if the database goes on saying so, put right what it names, or take the move back"
}

// OperationSettledError is an act of a deed that has been settled: it came late.
type OperationSettledError struct {
	Target      string
	Presented   uint64 // the deed's number
	MinAccepted uint64 // that still counts
}

func (e *OperationSettledError) Error() string {
	return fmt.Sprintf("%s: deed %d is settled, %d is the first that counts", e.Target, e.Presented, e.MinAccepted)
}

// Code is the reason in a word.
func (e *OperationSettledError) Code() string { return "deed_passed" }

// Advice says what an operator can do.
func (e *OperationSettledError) Advice() string { return "nothing: it came late and changed nothing" }

// within is how long a deed's acts may take.
func (p *Databases) within(a migration.Request) time.Duration {
	if a.Data.TimeoutMillis > 0 {
		return time.Duration(a.Data.TimeoutMillis * 1e6)
	}
	if p.Timeout > 0 {
		return p.Timeout
	}
	return 10 * time.Second
}

// bounds are what a host keeps to for a deed's transaction. Who waits for a lock on a table lets nobody else have it
// meanwhile, so that it is no longer than the plan has it for the closing.
func (p *Databases) bounds(a migration.Request) fencing.Timeouts {
	b := fencing.Timeouts{Lock: time.Duration(a.Plan.FenceWaitMillis * 1e6), Statement: p.within(a), IdleInTransaction: p.IdleTimeout}
	if b.Lock <= 0 || b.Lock > b.Statement {
		b.Lock = min(time.Second, b.Statement)
	}
	if b.IdleInTransaction <= 0 {
		b.IdleInTransaction = 2 * time.Second
	}
	return b
}

// What a transaction may find in the book.
type claim int

const (
	ours  claim = iota // the work has the tenant
	takes              // or it is free
	ends               // or the work has given it up already
)

// book is what is kept at a home.
type book map[string]string

func (b book) number(item string) uint64 {
	n, _ := strconv.ParseUint(b[item], 10, 64)
	return n
}

func readBook(ctx context.Context, conn *pgconn.PgConn) (book, error) {
	rows, _, err := fencing.Exec(ctx, conn, "SELECT item, value FROM ashstand.book")
	b := book{}
	for _, r := range rows {
		b[r[0]] = r[1]
	}
	return b, err
}

func write(ctx context.Context, conn *pgconn.PgConn, items book) error {
	for _, item := range slices.Sorted(maps.Keys(items)) {
		if _, _, err := fencing.Exec(ctx, conn, "INSERT INTO ashstand.book (item, value) VALUES ($1, $2) "+
			"ON CONFLICT (item) DO UPDATE SET value = excluded.value", item, items[item]); err != nil {
			return err
		}
	}
	return nil
}

func deedNumber(a migration.Request) uint64 {
	n, _ := strconv.ParseUint(a.OperationID[strings.LastIndexByte(a.OperationID, '/')+1:], 10, 64)
	return n
}

// objectName is what a deed calls what it builds.
func objectName(a migration.Request, kind string) string {
	return fmt.Sprintf("%s%s_%d_%d", prefix(a), kind, a.AnnouncedToken, deedNumber(a))
}

const anyPrefix = "ash_"

// isRemovable says whether something is a move's, and not of a later owner or deed than the one that would remove it.
func isRemovable(called string, a migration.Request) bool {
	rest, ok := strings.CutPrefix(called, anyPrefix)
	part := strings.Split(rest, "_")
	if !ok || len(part) != 4 {
		return false
	}
	token, err1 := strconv.ParseUint(part[2], 10, 64)
	deed, err2 := strconv.ParseUint(part[3], 10, 64)
	if err1 != nil || err2 != nil {
		return false
	}
	t := jobs.FencingToken(token)
	return t < a.Token || t == a.Token && deed <= deedNumber(a)
}

func prefix(a migration.Request) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.Job))
	return fmt.Sprintf("%s%08x_", anyPrefix, h.Sum32())
}

// act does something at a group's primary in one transaction behind the tenant's token, once the book says that it is the
// work's turn and the deed counts.
func (p *Databases) act(ctx context.Context, a migration.Request, at migration.Group, what string, c claim, do func(ctx context.Context, conn *pgconn.PgConn, b book) error) error {
	return p.actWithin(ctx, p.bounds(a), a, at, what, c, do)
}

func (p *Databases) actWithin(ctx context.Context, bounds fencing.Timeouts, a migration.Request, at migration.Group, what string, c claim,
	do func(ctx context.Context, conn *pgconn.PgConn, b book) error,
) error {
	err := p.Client.TransactWithin(ctx, bounds, at, a.Plan.Tenant, a.Plan.Tenant, a.Token, what, func(ctx context.Context, conn *pgconn.PgConn) error {
		b, err := readBook(ctx, conn)
		if err != nil {
			return err
		}
		free := b["work"] == "" || b["given"] != ""
		switch {
		case c == takes && free:
		case b["work"] != a.Job && !free:
			return &migration.TenantLockedError{Tenant: a.Plan.Tenant, Job: b["work"]}
		case b["work"] != a.Job, free && c != ends:
			return &jobs.FencedError{Target: fmt.Sprint("group ", at), Presented: a.Token, Current: a.Token}
		}
		if n := deedNumber(a); b["work"] == a.Job && a.OperationID != "" {
			if n < b.number("deed") {
				return &OperationSettledError{Target: fmt.Sprint("group ", at), Presented: n, MinAccepted: b.number("deed")}
			} else if n > b.number("deed") {
				if err = write(ctx, conn, book{"deed": fmt.Sprint(n)}); err != nil {
					return err
				}
			}
		}
		return do(ctx, conn, b)
	})
	return p.worded(err, at, what)
}

func (p *Databases) worded(err error, at migration.Group, what string) error {
	if err == nil {
		return nil
	}
	return fencing.WrapUncoded(err, func(err error) error {
		if _, ok := fencing.ServerError(err); ok {
			return &StatementError{Group: at, Action: what, Err: err}
		}
		return &fencing.InDoubtError{Host: fmt.Sprint("group ", at), Action: what, Err: err}
	})
}

// on does something on a connection to a group's primary that no transaction holds: to look, or what SQL allows in none.
func (p *Databases) on(ctx context.Context, a migration.Request, at migration.Group, what string, do func(ctx context.Context, conn *pgconn.PgConn) error) error {
	conn, _, err := p.Client.ConnectPrimary(ctx, at, a.Plan.Tenant)
	if err != nil {
		return p.worded(err, at, what)
	}
	defer fencing.Close(conn)
	b := p.bounds(a)
	b.IdleInTransaction = b.Statement
	if err = fencing.SetTimeouts(ctx, conn, b); err == nil {
		err = do(ctx, conn)
	}
	return p.worded(err, at, what)
}

// both does two things at once.
func both(one, other func() error) error {
	var wg sync.WaitGroup
	var second error
	wg.Go(func() { second = other() })
	first := one()
	wg.Wait()
	return cmp.Or(first, second)
}

// line is a primary's timeline.
func line(ctx context.Context, conn *pgconn.PgConn) (int, error) {
	file, err := fencing.QueryValue(ctx, conn, "SELECT pg_walfile_name(pg_current_wal_insert_lsn())")
	if err != nil || len(file) < 8 {
		return 0, err
	}
	n, err := strconv.ParseUint(file[:8], 16, 32)
	return int(n), err
}

func position(text string) migration.LSN {
	hi, lo, _ := strings.Cut(text, "/")
	h, _ := strconv.ParseUint(hi, 16, 32)
	l, _ := strconv.ParseUint(lo, 16, 32)
	return migration.LSN(h<<32 | l)
}

// standing is the position past all that a statement before has seen, also of what was not waited for.
func standing(ctx context.Context, conn *pgconn.PgConn) (migration.LSN, error) {
	text, err := fencing.QueryValue(ctx, conn, "SELECT pg_current_wal_insert_lsn()")
	return position(text), err
}

// lines are the timelines of both.
func (p *Databases) lines(ctx context.Context, a migration.Request, home, other migration.Group) (l migration.Timelines, err error) {
	one := func(at migration.Group, to *int) func() error {
		return func() error {
			return p.on(ctx, a, at, "timeline", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
				*to, err = line(ctx, conn)
				return err
			})
		}
	}
	err = both(one(home, &l.Source), one(other, &l.Target))
	return l, err
}

// reach is the connection string by which another group follows this one: all its hosts, of which one takes writes.
func (p *Databases) reach(a migration.Request, at migration.Group) string {
	var hosts, ports []string
	for _, h := range p.Client.Hosts(at) {
		if host, port, err := net.SplitHostPort(h.Address); err == nil {
			hosts, ports = append(hosts, host), append(ports, port)
		}
	}
	return fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=disable target_session_attrs=read-write",
		strings.Join(hosts, ","), strings.Join(ports, ","), p.Client.User, a.Plan.Tenant)
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }
func ident(s string) string { return `"` + strings.ReplaceAll(s, `"`, `""`) + `"` }

// sqlState is what a home's refusal has; "": it is none.
func sqlState(err error) string {
	if pe, ok := fencing.ServerError(err); ok {
		return pe.Code
	}
	return ""
}

// run runs statements in their order.
func run(ctx context.Context, conn *pgconn.PgConn, list ...string) error {
	for _, s := range list {
		if _, _, err := fencing.Exec(ctx, conn, s); err != nil {
			return err
		}
	}
	return nil
}
