// Package load plays clients against a pooler and checks what they are told.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/testbed/fleet"
	"ashstand/testbed/report"
)

// patience is when a request counts as never answered.
const patience = 30 * time.Second

// worker is one session with what it must find of itself.
type worker struct {
	name    string
	address string
	g       *report.Collector
	fleet   *fleet.Fleet
	rng     *rand.Rand
	c       *pgconn.PgConn

	setting  string            // what app.owner must be
	named    map[string]string // prepared statements: what each returns
	prepared int
	last     string // the payload of its own row, as it was committed last
	doubt    bool   // whether the last write went through, or is known to the pooler, is not known
	writes   int
	misled   bool // it asked for a cancel
	sleepy   bool // half of what it does are long queries and cancels: to see a cancel hit the wrong one
}

func (w *worker) connect(ctx context.Context) error {
	cfg, err := pgconn.ParseConfig("postgres://web@" + w.address + "/orders?sslmode=disable&application_name=" + w.name)
	if err != nil {
		return err
	}
	for {
		attempt, cancel := context.WithTimeout(ctx, 10*time.Second)
		w.c, err = pgconn.ConnectConfig(attempt, cfg)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	// A new session has nothing of the old one, and the pooler does not know what that has committed.
	w.named, w.setting, w.doubt = map[string]string{}, "", true
	return err
}

// answer is what came of one request.
type answer struct {
	rows  [][]string
	tag   string
	state string // SQLSTATE of an error; "": none
	text  string
}

func (w *worker) count(class string, begun time.Time, err error) (a answer) {
	took := time.Since(begun)
	pe := w.g.RecordAnswer(class, took, patience/3, err, false)
	if pe != nil {
		a.state, a.text = pe.Code, pe.Message
	}
	closed := w.c.IsClosed()
	if err != nil && pe == nil {
		a.state = "gone"
		if len(err.Error()) < 400 {
			a.text = err.Error()
		}
	}
	if closed {
		w.g.Break("client_ended", "%s: %s: %v", w.name, class, err)
	}
	switch a.state {
	case "26000":
		w.g.Break("missing_statement", "%s: %s", w.name, a.text)
	case "57014":
		if !w.misled {
			w.g.Break("misdirected_cancel", "%s: %s", w.name, class)
		}
	}
	return a
}

// simple runs a query string.
func (w *worker) simple(class, sql string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	begun := time.Now()
	rs, err := w.c.Exec(ctx, sql).ReadAll()
	a := w.count(class, begun, err)
	for _, r := range rs {
		a.tag = r.CommandTag.String()
		a.rows = append(a.rows, texts(r)...)
	}
	return a
}

// extended runs a statement through Parse, Bind, Execute; prepared runs one by its name.
func (w *worker) extended(class, sql string, args ...string) answer {
	return w.run(class, args, func(ctx context.Context, p [][]byte) *pgconn.ResultReader {
		return w.c.ExecParams(ctx, sql, p, nil, nil, nil)
	})
}

func (w *worker) byName(class, name string, args ...string) answer {
	return w.run(class, args, func(ctx context.Context, p [][]byte) *pgconn.ResultReader {
		return w.c.ExecPrepared(ctx, name, p, nil, nil)
	})
}

func (w *worker) run(class string, args []string, do func(context.Context, [][]byte) *pgconn.ResultReader) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var p [][]byte
	for _, s := range args {
		p = append(p, []byte(s))
	}
	begun := time.Now()
	r := do(ctx, p).Read()
	a := w.count(class, begun, r.Err)
	a.tag, a.rows = r.CommandTag.String(), texts(r)
	return a
}

func texts(r *pgconn.Result) (out [][]string) {
	for _, row := range r.Rows {
		var s []string
		for _, v := range row {
			s = append(s, string(v))
		}
		out = append(out, s)
	}
	return out
}

func (a answer) one() string {
	if len(a.rows) == 1 && len(a.rows[0]) > 0 {
		return a.rows[0][0]
	}
	return ""
}

// settle brings the session out of whatever block it is in.
func (w *worker) settle() {
	if !w.c.IsClosed() && w.c.TxStatus() != 'I' {
		w.simple("rollback", "ROLLBACK")
	}
}

// Sessions: what each operation does, and how often of a hundred.
var operations = []struct {
	name  string
	share int
	do    func(w *worker)
}{
	{"read", 20, (*worker).read},
	{"write", 14, (*worker).write},
	{"auto_write", 8, (*worker).autoWrite},
	{"prepared", 18, (*worker).statement},
	{"setting", 10, (*worker).settings},
	{"rolled_back_setting", 6, (*worker).rolledBack},
	{"check", 10, (*worker).check},
	{"copy", 3, (*worker).copy},
	{"cancel", 3, (*worker).cancel},
	{"sleep", 3, (*worker).sleep},
	{"pipeline", 1, (*worker).pipeline},
	{"ahead", 1, (*worker).ahead},
	{"pin", 1, (*worker).pin},
	{"kept", 2, (*worker).kept},
}

func (w *worker) step() {
	if w.sleepy && w.rng.IntN(2) == 0 {
		w.do(w.rng.IntN(2) == 0)
		return
	}
	n := w.rng.IntN(100)
	for _, o := range operations {
		if n -= o.share; n < 0 {
			o.do(w)
			break
		}
	}
	w.settle()
	if w.c.IsClosed() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		_ = w.connect(ctx)
		cancel()
	}
}

// settings sets what the session has of its own, in every form of quoting.
func (w *worker) settings() {
	value := w.name + ":" + []string{"plain", "it's", `back\slash`, "grüße, 東京", "two\nlines", `"quoted"`}[w.rng.IntN(6)] + fmt.Sprint(w.rng.IntN(1000))
	if a := w.simple("setting", "SET app.owner TO '"+strings.ReplaceAll(value, "'", "''")+"'"); a.state == "" {
		w.setting = value
	}
}

// rolledBack changes it where that does not last: in a transaction, behind a savepoint, behind an error.
func (w *worker) rolledBack() {
	if a := w.simple("block", "BEGIN"); a.state != "" {
		return
	}
	kept := w.setting
	if w.rng.IntN(2) == 0 {
		value := w.name + ":kept" + fmt.Sprint(w.rng.IntN(1000))
		if w.simple("setting", "SET app.owner TO '"+value+"'").state != "" {
			return
		}
		kept = value
	}
	for _, sql := range []string{"SAVEPOINT s", "SET app.owner TO 'no " + w.name + "'", "SET LOCAL work_mem TO '9MB'"} {
		if w.simple("block", sql).state != "" {
			return
		}
	}
	switch w.rng.IntN(3) {
	case 0:
		w.simple("block", "ROLLBACK")
	case 1:
		w.simple("block", "SELECT 1/0")
		w.simple("block", "COMMIT")
	default:
		if w.simple("block", "ROLLBACK TO s").state != "" {
			return
		}
		if a := w.simple("block", "COMMIT"); a.state == "" && a.tag == "COMMIT" {
			w.setting = kept
		} else if a.state == "08007" { // it may hold or not: make it known
			w.settings()
			for range 5 {
				if w.setting != kept {
					break
				}
				w.settings()
			}
		}
	}
}

// check looks whether the session finds itself as it left itself.
func (w *worker) check() {
	a := w.extended("check", "SELECT current_setting('app.owner', true), current_setting('application_name'), current_setting('work_mem')")
	if a.state != "" || len(a.rows) != 1 {
		return
	}
	if got := a.rows[0]; got[0] != w.setting || got[1] != w.name || got[2] != "4MB" {
		w.g.Break("leaked_setting", "%s has %q, it set %q", w.name, got, w.setting)
	}
}

// statement prepares under a name of its own, or runs what it prepared: every other one has the same text as those
// of other sessions.
func (w *worker) statement() {
	if len(w.named) < 4 || w.rng.IntN(8) == 0 {
		w.prepared++
		name, says := fmt.Sprintf("s%d", w.rng.IntN(8)), "shared"
		if w.rng.IntN(2) == 0 {
			says = fmt.Sprintf("%s-%d", w.name, w.prepared)
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		if _, ok := w.named[name]; ok {
			begun := time.Now()
			err := w.c.Deallocate(ctx, name)
			if a := w.count("deallocate", begun, err); a.state != "" {
				return
			}
			delete(w.named, name)
		}
		begun := time.Now()
		_, err := w.c.Prepare(ctx, name, "SELECT '"+says+"', $1", nil)
		if a := w.count("prepare", begun, err); a.state == "" {
			w.named[name] = says
		}
		return
	}
	for name, says := range w.named {
		arg := fmt.Sprint(w.rng.IntN(1e6))
		a := w.byName("prepared", name, arg)
		if a.state == "" && (len(a.rows) != 1 || a.rows[0][0] != says || a.rows[0][1] != arg) {
			w.g.Break("wrong_statement", "%s: %s gave %q, not %q", w.name, name, a.rows, says)
		}
		return
	}
}

// write commits a row of its own. What is told to be rolled back is run again with the same ref, which must then be
// there once.
func (w *worker) write() {
	w.writes++
	ref := fmt.Sprintf("%s/%d", w.name, w.writes)
	payload := fmt.Sprint(w.writes)
	for range 6 {
		ok := w.simple("block", "BEGIN").state == "" &&
			w.extended("insert", "INSERT INTO entries (ref, payload) VALUES ($1, $2)", ref, payload).state == "" &&
			w.extended("insert", "INSERT INTO entries (ref, payload) VALUES ($1, $2)", w.name, payload).state == ""
		if !ok {
			w.settle()
			continue
		}
		switch a := w.simple("commit", "COMMIT"); {
		case a.state == "" && a.tag == "COMMIT":
			w.last, w.doubt = payload, false
			w.committed(ref)
			return
		case a.state == "08007":
			w.doubt = true
			return
		case a.state == "gone":
			return
		}
		w.settle()
	}
}

func (w *worker) committed(ref string) {
	if w.fleet.Cluster.Versions("public", "entries", ref) == 0 {
		w.g.Break("lost_commit", "%s was told that %s is committed", w.name, ref)
	}
}

// autoWrite is a write without a block.
func (w *worker) autoWrite() {
	w.writes++
	ref := fmt.Sprintf("%s/%d", w.name, w.writes)
	for range 6 {
		a := w.extended("auto_write", "INSERT INTO entries (ref, payload) VALUES ($1, $2) RETURNING payload", ref, "x")
		switch a.state {
		case "":
			w.committed(ref)
			return
		case "40001", "53300", "25006":
		default:
			return
		}
	}
}

// read must see what the session has committed, on whichever host.
func (w *worker) read() {
	var a answer
	if w.rng.IntN(2) == 0 {
		a = w.extended("read", "/* c=my-library */ SELECT payload FROM entries WHERE ref = $1", w.name)
	} else {
		if w.simple("block", "BEGIN READ ONLY").state != "" {
			return
		}
		a = w.extended("read", "SELECT payload FROM entries WHERE ref = $1", w.name)
		if b := w.simple("block", "COMMIT"); a.state != "" || b.state != "" {
			return
		}
	}
	if a.state == "" && !w.doubt && a.one() != w.last {
		w.g.Break("stale_read", "%s read %q, it committed %q", w.name, a.one(), w.last)
	}
}

func (w *worker) copy() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	w.writes++
	ref := fmt.Sprintf("%s/%d", w.name, w.writes)
	var data strings.Builder
	for i := range 50 {
		fmt.Fprintf(&data, "%s-%d\t%s\n", ref, i, strings.Repeat("c", 200))
	}
	begun := time.Now()
	tag, err := w.c.CopyFrom(ctx, strings.NewReader(data.String()), "COPY entries FROM STDIN")
	if a := w.count("copy", begun, err); a.state == "" {
		if tag.RowsAffected() != 50 {
			w.g.Break("lost_commit", "%s: COPY of 50 rows says %s", w.name, tag)
		}
		w.committed(ref + "-49")
	}
}

// cancel asks for one at about the time at which its query ends.
func (w *worker) cancel() {
	w.misled = true
	defer func() { w.misled = false }()
	asked := make(chan struct{})
	wait := time.Duration(w.rng.IntN(24)) * time.Millisecond
	c := w.c
	go func() {
		defer close(asked)
		time.Sleep(wait)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = c.CancelRequest(ctx)
	}()
	a := w.simple("cancelled", "SELECT pg_sleep(0.012)")
	<-asked
	w.g.Do(func(r *report.Result) {
		if r.Faults["cancel"]++; a.state == "57014" {
			r.Faults["cancel_in_time"]++
		}
	})
	// It may still hit whatever this session runs next; after one more query it is spent.
	w.simple("cancelled", "SELECT 1")
}

// do has a query running long enough to be hit by somebody else's cancel, or asks for one.
func (w *worker) do(cancel bool) {
	if cancel {
		w.cancel()
	} else {
		w.sleep()
	}
}

func (w *worker) sleep() { w.simple("sleep", "SELECT pg_sleep(0.02)") }

// pipeline has an error in the middle, and a statement behind it that must not be there.
func (w *worker) pipeline() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	begun := time.Now()
	p := w.c.StartPipeline(ctx)
	p.SendPrepare("before", "SELECT 'before'", nil)
	p.SendQueryParams("SELECT 1/0", nil, nil, nil, nil)
	p.SendPrepare("behind", "SELECT 'behind'", nil)
	err := p.Sync()
	var first error
	for err == nil {
		var r any
		r, err = p.GetResults()
		if rr, ok := r.(*pgconn.ResultReader); ok {
			_, err = rr.Close()
		}
		if err != nil && first == nil {
			first = err
		}
		var pe *pgconn.PgError
		if errors.As(err, &pe) {
			err = nil
		}
		if _, done := r.(*pgconn.PipelineSync); done {
			break
		}
	}
	if cerr := p.Close(); first == nil {
		first = cerr
	}
	if a := w.count("pipeline", begun, first); a.state != "22012" {
		return
	}
	if a := w.simple("execute", "EXECUTE before"); a.state == "" && a.one() != "before" {
		w.g.Break("wrong_statement", "%s: before gave %q", w.name, a.rows)
	}
	_ = w.c.Deallocate(ctx, "before")
}

// pin binds the session for a moment.
func (w *worker) pin() {
	if w.simple("pin", "CREATE TEMP TABLE mine (ref text, payload text)").state != "" {
		return
	}
	if w.simple("pin", "INSERT INTO mine (ref, payload) VALUES ('k', '"+w.name+"')").state == "" {
		if a := w.simple("pin", "SELECT payload FROM mine WHERE ref = 'k'"); a.state == "" && a.one() != w.name {
			w.g.Break("wrong_statement", "%s: its temporary table holds %q", w.name, a.rows)
		}
	}
	w.release("pin")
}

// release ends what binds the session to its connection.
func (w *worker) release(class string) {
	if a := w.simple(class, "DISCARD ALL"); a.state == "" {
		w.named, w.setting = map[string]string{}, ""
	} else {
		_ = w.c.Close(context.Background())
	}
}
