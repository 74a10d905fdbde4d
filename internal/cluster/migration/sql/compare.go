package sql

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// Track begins to note which rows are touched, and makes the slot for the way back.
func (p *Databases) Track(ctx context.Context, a migration.Request, home, other migration.Group) (migration.Timelines, error) {
	l, err := p.lines(ctx, a, home, other)
	if err != nil {
		return l, err
	}
	back := objectName(a, "b")
	for _, at := range []migration.Group{home, other} {
		if err = p.act(ctx, a, at, "mark", ours, func(ctx context.Context, conn *pgconn.PgConn, b book) error {
			if at == other {
				if err := shut(ctx, conn, true); err != nil {
					return err
				}
				if err := write(ctx, conn, book{"back": back, "back line": fmt.Sprint(l.Target)}); err != nil {
					return err
				}
			}
			return write(ctx, conn, book{"marked": ""})
		}); err != nil {
			return l, err
		}
		if err = p.dressed(ctx, a, at, func(t *table) []string { return append(t.createGuards(), t.createTracking()...) }); err != nil {
			return l, err
		}
		if err = p.act(ctx, a, at, "mark", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
			_, _, err := fencing.Exec(ctx, conn, "DELETE FROM ashstand.touched")
			return err
		}); err != nil {
			return l, err
		}
		// A writer that found its key noted just before has it noted no more: what it writes has to be there before
		// anything is compared.
		if err = p.quiet(ctx, a, at); err != nil {
			return l, err
		}
	}
	if err = p.on(ctx, a, other, "slot "+back, func(ctx context.Context, conn *pgconn.PgConn) error {
		_, sub, err := followed(ctx, conn, a)
		if err != nil {
			return err
		}
		stay := []string{back}
		if pub, err := published(ctx, conn); err != nil {
			return err
		} else if pub != "" {
			stay = append(stay, pub, sub)
		}
		if err = freed(ctx, conn, a, stay); err != nil {
			return err
		}
		have, err := slotsOf(ctx, conn)
		if _, there := have[back]; err != nil || there {
			return err
		}
		_, _, err = fencing.Exec(ctx, conn, "SELECT pg_create_logical_replication_slot("+quote(back)+", 'pgoutput')")
		return err
	}); err != nil {
		return l, err
	}
	return l, p.settled(ctx, a, "marked", l)
}

// quiet waits until all who were writing when it began have ended.
func (p *Databases) quiet(ctx context.Context, a migration.Request, at migration.Group) error {
	return p.on(ctx, a, at, "wait for writers", func(ctx context.Context, conn *pgconn.PgConn) error {
		const of = "FROM pg_stat_activity WHERE datname = current_database() AND pid <> pg_backend_pid() AND backend_xid IS NOT NULL"
		rows, _, err := fencing.Exec(ctx, conn, "SELECT pid, backend_xid "+of)
		if err != nil {
			return err
		}
		left := map[string]bool{}
		for _, r := range rows {
			left[r[0]+" "+r[1]] = true
		}
		for until := time.Now().Add(p.within(a)); len(left) > 0; {
			if time.Now().After(until) {
				held, err := stragglers(ctx, conn)
				if err != nil {
					return err
				}
				return &WritersActiveError{Sessions: held}
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
			if rows, _, err = fencing.Exec(ctx, conn, "SELECT pid, backend_xid "+of); err != nil {
				return err
			}
			still := map[string]bool{}
			for _, r := range rows {
				if k := r[0] + " " + r[1]; left[k] {
					still[k] = true
				}
			}
			left = still
		}
		return nil
	})
}

// WritersActiveError is a wait for writers that took too long.
type WritersActiveError struct{ Sessions []migration.BlockingSession }

func (w *WritersActiveError) Error() string {
	out := "writers did not end"
	for i := range w.Sessions {
		out += "; " + w.Sessions[i].Error()
	}
	return out
}

// Code is the reason in a word.
func (w *WritersActiveError) Code() string { return "writers_stay" }

// Advice says what an operator can do.
func (w *WritersActiveError) Advice() string {
	return "wait for these sessions, or end them with pg_terminate_backend"
}

// rowDigest is one as it was read.
type rowDigest struct {
	key    string // as JSON of its key columns' texts; "": the table has no key
	digest migration.RangeDigest
}

// rowSet is what a read of a range gave.
type rowSet struct {
	rows   []rowDigest
	digest migration.RangeDigest
	full   bool // as many rows as were asked for
}

func (s *rowSet) add(t *table, values [][]byte) {
	var one migration.RangeDigest
	one.AddRow(values...)
	s.digest = plus(s.digest, values)
	key := ""
	if len(t.key) > 0 {
		k := make([]string, len(t.key))
		for i, c := range t.key {
			k[i] = string(values[c])
		}
		key = encodeKey(k)
		s.rows = append(s.rows, rowDigest{key, one})
	}
}

func plus(s migration.RangeDigest, values [][]byte) migration.RangeDigest {
	s.AddRow(values...)
	return s
}

func encodeKey(list []string) string {
	b, _ := json.Marshal(list)
	return string(b)
}

func decodeKey(text string) (list []string) {
	_ = json.Unmarshal([]byte(text), &list)
	return list
}

// forms makes values come as texts that do not depend on a role's settings.
const forms = "SET datestyle = 'ISO, MDY'; SET timezone = 'UTC'; SET intervalstyle = 'postgres'; SET extra_float_digits = 1; SET bytea_output = 'hex'"

// read reads rows of a table that follow a key (nil: from the first), up to another one (nil: to the last), most at a time (0: all).
func read(ctx context.Context, conn *pgconn.PgConn, t *table, after, upTo []string, most int) (s rowSet, err error) {
	var where, order, args []string
	if len(t.key) > 0 {
		var cols []string
		for _, k := range t.key {
			cols = append(cols, t.keyed(k))
		}
		bound := func(key []string, sign, first string) {
			var marks []string
			for _, v := range key {
				args = append(args, v)
				marks = append(marks, fmt.Sprintf("$%d", len(args)))
			}
			if len(cols) == 1 {
				where = append(where, cols[0]+" "+sign+" "+marks[0])
				return
			}
			where = append(where, cols[0]+" "+first+" "+marks[0], "("+strings.Join(cols, ", ")+") "+sign+" ("+strings.Join(marks, ", ")+")")
		}
		if after != nil {
			bound(after, ">", ">=")
		}
		if upTo != nil {
			bound(upTo, "<=", "<=")
		}
		order = cols
	}
	sql := "SELECT " + t.list() + " FROM " + t.quoted()
	if len(where) > 0 {
		sql += " WHERE " + strings.Join(where, " AND ")
	}
	if len(order) > 0 {
		sql += " ORDER BY " + strings.Join(order, ", ")
	}
	if most > 0 && len(t.key) > 0 {
		sql += fmt.Sprintf(" LIMIT %d", most)
	}
	values := make([][]byte, len(args))
	for i, v := range args {
		values[i] = []byte(v)
	}
	r := conn.ExecParams(ctx, sql, values, nil, nil, nil)
	for r.NextRow() {
		s.add(t, r.Values())
	}
	_, err = r.Close()
	s.full = most > 0 && len(s.rows) >= most
	return s, err
}

// one reads the rows of some keys, in a pipeline.
func one(ctx context.Context, conn *pgconn.PgConn, t *table, keys []string) (s rowSet, err error) {
	var where []string
	for i, k := range t.key {
		where = append(where, fmt.Sprintf("%s = $%d", ident(t.columns[k]), i+1))
	}
	sql := "SELECT " + t.list() + " FROM " + t.quoted() + " WHERE " + strings.Join(where, " AND ")
	const stmt = "ashstand_key"
	if _, err = conn.Prepare(ctx, stmt, sql, nil); err != nil {
		return s, err
	}
	defer func() { err = errors.Join(err, conn.Deallocate(ctx, stmt)) }()
	for keys := range slices.Chunk(keys, 256) { // at once: what waits for answers stays below what a socket holds
		b := &pgconn.Batch{}
		for _, k := range keys {
			var args [][]byte
			for _, v := range decodeKey(k) {
				args = append(args, []byte(v))
			}
			b.ExecPrepared(stmt, args, nil, nil)
		}
		r := conn.ExecBatch(ctx, b)
		for r.NextResult() {
			for rows := r.ResultReader(); rows.NextRow(); {
				s.add(t, rows.Values())
			}
		}
		if err = r.Close(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// rows is how many a range has.
func (p *Databases) rows() int { return cmp.Or(p.RangeRows, 1000) }

// cursor is the last range that was compared.
func cursor(t *table, key []string) string { return encodeKey(append([]string{t.fullName()}, key...)) }

// maxCursorBytes is what a cursor may have, in bytes; see move.State.
const mostCursor = 600

// piece is a range that was read at home.
type piece struct {
	t           *table
	after, upTo []string
	rowSet
}

// Compare holds the ranges that follow against each other.
func (p *Databases) Compare(ctx context.Context, a migration.Request, home, other migration.Group) (out migration.ComparisonResult, err error) {
	began := time.Now()
	var pieces []piece
	var pos migration.LSN
	read := 0
	from := decodeKey(a.State.Comparison.LastRange)
	if err = p.act(ctx, a, home, "compare", ours, func(context.Context, *pgconn.PgConn, book) error { return nil }); err != nil {
		return out, err
	}
	if err = p.on(ctx, a, home, "compare", func(ctx context.Context, conn *pgconn.PgConn) error {
		if _, err := conn.Exec(ctx, forms+"; BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY").ReadAll(); err != nil {
			return err
		}
		all, err := tables(ctx, conn)
		if err != nil {
			return err
		}
		var pages int
		if pieces, out.LastRange, out.Complete, pages, err = p.pages(ctx, conn, all, from); err != nil {
			return err
		}
		read = pages
		pos, err = standing(ctx, conn)
		return err
	}); err != nil {
		return out, err
	}
	if err = p.reached(ctx, a, home, other, pos); err != nil {
		return out, err
	}
	seen := make([]rowSet, len(pieces))
	if err = p.on(ctx, a, other, "compare", func(ctx context.Context, conn *pgconn.PgConn) error {
		if _, err := conn.Exec(ctx, forms).ReadAll(); err != nil {
			return err
		}
		for i, x := range pieces {
			if seen[i], err = readAgain(ctx, conn, x); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return out, err
	}
	var unlike []int
	for i, x := range pieces {
		if x.digest == seen[i].digest {
			out.EqualRanges++
		} else {
			unlike = append(unlike, i)
		}
	}
	if len(unlike) > 0 {
		noted, err := p.noted(ctx, a, home, other)
		if err != nil {
			return out, err
		}
		for _, i := range unlike {
			if explained(pieces[i], seen[i], noted[pieces[i].t.fullName()]) {
				out.ChangedRanges++
			} else {
				out.Differences = append(out.Differences, unequal(pieces[i], seen[i]))
			}
		}
	}
	if read > 0 {
		p.learn(a.Job, func(x *pace) {
			if x.verifies == 0 {
				x.verifies = float64(time.Since(began).Microseconds()) / 1e3 / float64(read)
			}
		})
	}
	return out, nil
}

// most is how many rows one deed of comparing reads: a few seconds' worth, and what may stand in memory as digests.
const most = 20000

// pages reads what follows a cursor at home.
func (p *Databases) pages(ctx context.Context, conn *pgconn.PgConn, all []*table, from []string) (out []piece, last string, done bool, n int, err error) {
	if len(from) > 0 {
		last = encodeKey(from)
	}
	for _, t := range all {
		if !t.carried() || len(from) > 0 && t.fullName() < from[0] {
			continue
		}
		var after []string
		if len(from) > 0 && t.fullName() == from[0] {
			if len(from) == 1 { // it was compared to its end
				continue
			}
			after = from[1:]
		}
		for {
			if n >= most && len(last) <= mostCursor {
				return out, last, false, n, nil
			}
			x := piece{t: t, after: after}
			if x.rowSet, err = read(ctx, conn, t, after, nil, p.rows()); err != nil {
				return out, last, false, n, err
			}
			n += int(x.digest.Rows)
			if x.full {
				x.upTo = decodeKey(x.rows[len(x.rows)-1].key)
				after = x.upTo
				last = cursor(t, after)
			} else {
				last = cursor(t, nil)
			}
			if out = append(out, x); !x.full {
				break
			}
		}
	}
	return out, last, true, n, nil
}

func readAgain(ctx context.Context, conn *pgconn.PgConn, x piece) (rowSet, error) {
	return read(ctx, conn, x.t, x.after, x.upTo, 0)
}

// explained says whether a difference may be of rows that were touched alone.
func explained(x piece, o rowSet, noted map[string]bool) bool {
	if noted[""] {
		return true
	}
	if len(x.t.key) == 0 {
		return false
	}
	have := map[string]migration.RangeDigest{}
	for _, r := range x.rows {
		have[r.key] = r.digest
	}
	for _, r := range o.rows {
		if s, ok := have[r.key]; (!ok || s != r.digest) && !noted[r.key] {
			return false
		}
		delete(have, r.key)
	}
	for k := range have {
		if !noted[k] {
			return false
		}
	}
	return true
}

func unequal(x piece, o rowSet) migration.Difference {
	r := migration.Range{Table: x.t.fullName(), From: strings.Join(x.after, ","), To: strings.Join(x.upTo, ",")}
	return migration.Difference{Kind: "rows", Table: r.Table, Range: r.String(), Source: x.digest.String(), Target: o.digest.String()}
}

// noted are the keys that were touched at either home since the marks were made, by table.
func (p *Databases) noted(ctx context.Context, a migration.Request, home, other migration.Group) (map[string]map[string]bool, error) {
	var of [2][][]string
	get := func(at migration.Group, i int) func() error {
		return func() error {
			return p.on(ctx, a, at, "touched rows", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
				of[i], _, err = fencing.Exec(ctx, conn, "SELECT tab, key FROM ashstand.touched")
				return err
			})
		}
	}
	if err := both(get(home, 0), get(other, 1)); err != nil {
		return nil, err
	}
	out := map[string]map[string]bool{}
	for _, rows := range of {
		for _, r := range rows {
			if out[r[0]] == nil {
				out[r[0]] = map[string]bool{}
			}
			k := r[1]
			if k != "" {
				k = encodeKey(decodeKey(k)) // PostgreSQL writes JSON with blanks
			}
			out[r[0]][k] = true
		}
	}
	return out, nil
}

// ReplicationLagError is a home that did not take in in time what the other one holds.
type ReplicationLagError struct {
	Required, Applied migration.LSN
}

func (b *ReplicationLagError) Error() string {
	return fmt.Sprintf("the other home has taken in %v of %v", b.Applied, b.Required)
}

// Code is the reason in a word.
func (b *ReplicationLagError) Code() string { return "behind" }

// Advice says what an operator can do.
func (b *ReplicationLagError) Advice() string {
	return "nothing if its load passes; otherwise look into the subscription's errors at the other home (pg_stat_subscription_stats)"
}

// reached waits until the other home has taken in all up to a position.
func (p *Databases) reached(ctx context.Context, a migration.Request, home, other migration.Group, want migration.LSN) error {
	return p.on(ctx, a, home, "wait for the other home", func(ctx context.Context, conn *pgconn.PgConn) error {
		until := time.Now().Add(p.within(a))
		for {
			has, found, err := confirmed(ctx, conn)
			if err != nil {
				return err
			}
			if found && has >= want {
				return nil
			}
			if !found || time.Now().After(until) {
				return &ReplicationLagError{Required: want, Applied: has}
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
}

// confirmed is what the one who follows this home has taken in and holds for good.
func confirmed(ctx context.Context, conn *pgconn.PgConn) (pos migration.LSN, found bool, err error) {
	slot, err := followedBy(ctx, conn)
	if err != nil || slot == "" {
		return 0, false, err
	}
	text, err := fencing.QueryValue(ctx, conn, "SELECT confirmed_flush_lsn FROM pg_replication_slots WHERE slot_name = $1 AND coalesce(wal_status, '') <> 'lost'", slot)
	return position(text), text != "", err
}

// followedBy is the slot by which this home is followed: that of its publication's name, or the way back's.
func followedBy(ctx context.Context, conn *pgconn.PgConn) (string, error) {
	pub, err := published(ctx, conn)
	if err != nil || pub == "" {
		return "", err
	}
	have, err := slotsOf(ctx, conn)
	if err != nil {
		return "", err
	}
	if _, ok := have[pub]; ok {
		return pub, nil
	}
	if !strings.HasPrefix(strings.TrimPrefix(pub, anyPrefix)[min(9, len(pub)-len(anyPrefix)):], "r_") {
		return "", nil
	}
	b, err := readBook(ctx, conn)
	if _, ok := have[b["back"]]; ok && err == nil {
		return b["back"], nil
	}
	return "", err
}

// followed is the move's subscription at a group and its slot; "": none.
func followed(ctx context.Context, conn *pgconn.PgConn, a migration.Request) (sub, slot string, err error) {
	rows, _, err := fencing.Exec(ctx, conn, "SELECT subname, subslotname FROM pg_subscription "+
		"WHERE subdbid = (SELECT oid FROM pg_database WHERE datname = current_database()) AND subenabled")
	b, err2 := readBook(ctx, conn)
	for _, r := range rows {
		if r[0] == b["sub"] && strings.HasPrefix(r[0], anyPrefix) {
			sub, slot = r[0], r[1]
		}
	}
	return sub, slot, errors.Join(err, err2)
}

// Verify holds all that was touched, counts, sequences and reads against each other while both are still.
func (p *Databases) Verify(ctx context.Context, a migration.Request, home, other migration.Group) (out migration.VerificationResult, err error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.within(a))
	defer cancel()
	before, err := p.lines(ctx, a, home, other)
	if err == nil {
		err = p.verify(ctx, a, home, other, before, &out)
	}
	var after migration.Timelines
	if err == nil {
		after, err = p.lines(ctx, a, home, other)
	}
	if ctx.Err() != nil && err != nil || sqlState(err) == "57014" {
		return migration.VerificationResult{TimedOut: true, Timelines: before}, nil
	}
	if out.Timelines = before; before.Source != after.Source {
		out.Timelines.Source = 0
	}
	if before.Target != after.Target {
		out.Timelines.Target = 0
	}
	if err == nil && out.RangesRead > 0 {
		p.learn(a.Job, func(x *pace) { x.verifies = float64(time.Since(began).Microseconds()) / 1e3 / float64(out.RangesRead) })
	}
	return out, err
}

func (p *Databases) verify(ctx context.Context, a migration.Request, home, other migration.Group, l migration.Timelines, out *migration.VerificationResult) error {
	var own, its []*table
	var seqs [][]string
	marks := [2]string{}
	if err := both(func() error {
		return p.act(ctx, a, home, "verify", ours, func(ctx context.Context, conn *pgconn.PgConn, b book) (err error) {
			if own, err = tables(ctx, conn); err != nil {
				return err
			}
			marks[0] = b["marked"]
			seqs, _, err = fencing.Exec(ctx, conn, "SELECT schemaname, sequencename, last_value, start_value FROM pg_sequences WHERE schemaname <> 'ashstand'")
			return err
		})
	}, func() error {
		return p.on(ctx, a, other, "verify", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
			b, err := readBook(ctx, conn)
			if err != nil {
				return err
			}
			marks[1] = b["marked"]
			its, err = tables(ctx, conn)
			return err
		})
	}); err != nil {
		return err
	}
	if err := p.act(ctx, a, other, "set sequences", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
		for _, s := range seqs {
			to, called := s[2], "true"
			if to == "" {
				to, called = s[3], "false"
			}
			if err := run(ctx, conn, "SELECT setval("+quote(ident(s[0])+"."+ident(s[1]))+", "+to+", "+called+")"); err != nil {
				return err
			}
		}
		is, _, err := fencing.Exec(ctx, conn, "SELECT schemaname, sequencename, last_value, start_value FROM pg_sequences WHERE schemaname <> 'ashstand'")
		have := map[string]string{}
		for _, s := range is {
			have[s[0]+"."+s[1]] = s[2]
		}
		for _, s := range seqs {
			if n := s[0] + "." + s[1]; have[n] != s[2] {
				out.Differences = append(out.Differences, migration.Difference{Kind: "sequence", Table: n, Source: s[2], Target: have[n]})
			}
		}
		return err
	}); err != nil {
		return err
	}
	noted, err := p.noted(ctx, a, home, other)
	if err != nil {
		return err
	}
	every := marks[0] == "" || marks[0] != marks[1] || l != a.State.Timelines || !a.State.Comparison.Complete
	shapes := map[string]string{}
	for _, t := range its {
		shapes[t.fullName()] = shape(t)
	}
	for _, t := range own {
		if t.carried() && shapes[t.fullName()] != shape(t) {
			out.Differences = append(out.Differences, migration.Difference{Kind: "count", Table: t.fullName(), Source: shape(t), Target: shapes[t.fullName()]})
		}
	}
	if len(out.Differences) > 0 {
		return nil
	}
	var got [2]*held
	get := func(at migration.Group, i int) func() error {
		return func() error {
			return p.on(ctx, a, at, "verify", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
				got[i], err = p.held(ctx, conn, own, noted, every, p.played(a))
				return err
			})
		}
	}
	if err = both(get(home, 0), get(other, 1)); err != nil {
		return err
	}
	got[0].against(got[1], out)
	return nil
}

func (p *Databases) played(a migration.Request) []string {
	if p.SampleQueries == nil || a.Plan.SampledQueries == 0 {
		return nil
	}
	return p.SampleQueries(a.Plan.Tenant, a.Plan.SampledQueries)
}

// held is what a home holds of what is verified.
type held struct {
	counts map[string]string
	sums   map[migration.Range]migration.RangeDigest
	reads  map[string]migration.RangeDigest
	ranges int
}

func (p *Databases) held(ctx context.Context, conn *pgconn.PgConn, all []*table, noted map[string]map[string]bool, every bool, reads []string) (*held, error) {
	h := &held{counts: map[string]string{}, sums: map[migration.Range]migration.RangeDigest{}, reads: map[string]migration.RangeDigest{}}
	if _, err := conn.Exec(ctx, forms).ReadAll(); err != nil {
		return nil, err
	}
	for _, t := range all {
		if !t.carried() {
			continue
		}
		n, err := fencing.QueryValue(ctx, conn, "SELECT count(*) FROM "+t.quoted())
		if err != nil {
			return nil, err
		}
		h.counts[t.fullName()] = n
		touched := noted[t.fullName()]
		switch {
		case every || touched[""]:
			if err = p.whole(ctx, conn, t, h); err != nil {
				return nil, err
			}
		case len(touched) > 0:
			var keys []string
			for k := range touched {
				keys = append(keys, k)
			}
			s, err := one(ctx, conn, t, keys)
			if err != nil {
				return nil, err
			}
			for _, r := range s.rows {
				k := strings.Join(decodeKey(r.key), ",")
				h.sums[migration.Range{Table: t.fullName(), From: k, To: k}] = r.digest
			}
			h.ranges += len(keys)
		}
	}
	for _, q := range reads {
		var s migration.RangeDigest
		r := conn.ExecParams(ctx, q, nil, nil, nil, nil)
		for r.NextRow() {
			s.AddRow(r.Values()...)
		}
		if _, err := r.Close(); err != nil {
			return nil, err
		}
		h.reads[q] = s
	}
	return h, nil
}

// whole reads all of a table, range by range. Both homes have the same ranges where they hold the same keys; otherwise the
// first that differ are named.
func (p *Databases) whole(ctx context.Context, conn *pgconn.PgConn, t *table, h *held) error {
	var after []string
	for {
		s, err := read(ctx, conn, t, after, nil, p.rows())
		if err != nil {
			return err
		}
		r := migration.Range{Table: t.fullName(), From: strings.Join(after, ",")}
		if s.full {
			after = decodeKey(s.rows[len(s.rows)-1].key)
			r.To = strings.Join(after, ",")
		}
		h.sums[r] = s.digest
		if h.ranges++; !s.full {
			return nil
		}
	}
}

// against names what differs.
func (h *held) against(o *held, out *migration.VerificationResult) {
	out.RangesRead, out.QueriesReplayed = h.ranges, len(h.reads)
	for t, n := range h.counts {
		if o.counts[t] != n {
			out.Differences = append(out.Differences, migration.Difference{Kind: "count", Table: t, Source: n, Target: o.counts[t]})
		}
	}
	out.Differences = append(out.Differences, migration.CompareRanges(h.sums, o.sums)...)
	for q, s := range h.reads {
		if o.reads[q] != s {
			out.Differences = append(out.Differences, migration.Difference{Kind: "read", Range: q, Source: s.String(), Target: o.reads[q].String()})
		}
	}
	slices.SortStableFunc(out.Differences, func(a, b migration.Difference) int {
		return cmp.Compare(a.Kind+a.Table+a.Range, b.Kind+b.Table+b.Range)
	})
}
