package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/testbed/fleet"
	"ashstand/testbed/report"
)

// TryOptions are those of the first look.
type TryOptions struct {
	Duration time.Duration
	Seed     uint64
	Pooler   string
	Log      bool
	Progress io.Writer // nil: none
}

// listener is one client of the platform's front: it reads and writes what is its own.
type listener struct {
	name  string
	g     *report.Collector
	fleet *fleet.Fleet
	rng   *rand.Rand
	c     *pgconn.PgConn
	last  string
	after string // position of its last commit
	n     int
	done  *atomic.Int64

	killed   func(since time.Time) bool                      // the pooler may have been killed: a request that it took along is no breach
	observed func(class string, took time.Duration, ok bool) // told of each request; nil: nobody
}

// classes of the mixed load: deadline in milliseconds, and how many of a hundred.
var classes = []struct {
	name  string
	d     int
	share int
}{{"browse", 1000, 44}, {"my-library", 2000, 41}, {"report", 15000, 2}, {"donate", 3000, 13}}

// Try plays mixed load over one failover and checks every answer.
func Try(ctx context.Context, o TryOptions) (*report.Result, error) {
	g := report.New("try", o.Seed, "duplicate_write", "lost_commit", "missed_own_write", "sent_to_draining", "leaked_setting", "missing_statement",
		"wrong_statement", "stale_read", "client_ended", "misdirected_cancel")
	f, err := fleet.Start(fleet.Options{Pooler: o.Pooler, Replicas: 2, Lag: 30 * time.Millisecond, Seed: o.Seed, Clients: 60, Servers: 24, Log: o.Log})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	run, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	begun := time.Now()
	var all sync.WaitGroup
	var done atomic.Int64
	for i := range 40 {
		l := &listener{name: fmt.Sprintf("l%d", i), g: g, fleet: f, rng: rand.New(rand.NewPCG(o.Seed, uint64(i))), done: &done}
		all.Go(func() {
			defer l.close()
			for run.Err() == nil {
				l.step(f.Pooler.Statement)
				sleep(run, time.Duration(l.rng.ExpFloat64()*60)*time.Millisecond)
			}
		})
	}
	for i := range 40 {
		w := &worker{name: fmt.Sprintf("w%d", i), address: f.Pooler.Sessions, g: g, fleet: f, rng: rand.New(rand.NewPCG(o.Seed, uint64(1000+i)))}
		all.Go(func() {
			if w.connect(run) != nil {
				return
			}
			for run.Err() == nil {
				w.step()
				done.Add(1)
				sleep(run, time.Duration(w.rng.ExpFloat64()*80)*time.Millisecond)
			}
			_ = w.c.Conn().Close()
		})
	}
	all.Go(func() {
		if sleep(run, o.Duration/2) {
			g.Do(func(r *report.Result) { r.Faults["failover"]++ })
			f.Cluster.Fail(f.Hosts[1], 400*time.Millisecond, true)
			f.Publish()
		}
	})
	if o.Progress != nil {
		all.Go(func() { progress(run, o, begun, &done) })
	}
	all.Wait()
	select {
	case <-f.Pooler.Ended():
		return nil, f.Pooler.EndedError()
	default:
	}
	_, rss := f.Pooler.Usage()
	g.Do(func(r *report.Result) {
		r.Broken["duplicate_write"] += f.Cluster.Duplicates(func(ref string) bool { return contains(ref, '/') })
		for _, h := range f.Hosts {
			r.Broken["sent_to_draining"] += h.Counts.All()["sent_to_draining"]
		}
		r.Memory.RSS = rss
	})
	return g.Result(time.Since(begun).Seconds()), nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// progress draws a line that grows, and marks the failover.
func progress(ctx context.Context, o TryOptions, begun time.Time, done *atomic.Int64) {
	const width = 40
	for {
		part := min(1, float64(time.Since(begun))/float64(o.Duration))
		bar := strings.Repeat("=", int(part*width)) + strings.Repeat(".", width-int(part*width))
		bar = bar[:width/2] + "|" + bar[width/2:]
		_, _ = fmt.Fprintf(o.Progress, "\r[%s] %6d operations; the primary fails at the mark", bar, done.Load())
		if !sleep(ctx, 200*time.Millisecond) {
			_, _ = fmt.Fprintf(o.Progress, "\r%s\r", strings.Repeat(" ", width+60))
			return
		}
	}
}

func (l *listener) close() {
	if l.c != nil {
		_ = l.c.Conn().Close()
	}
}

func (l *listener) step(address string) {
	if l.c == nil || l.c.IsClosed() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		c, err := pgconn.Connect(ctx, "postgres://web@"+address+"/orders?sslmode=disable")
		if err != nil {
			return
		}
		l.c = c
	}
	n := l.rng.IntN(100)
	class := classes[0]
	for _, c := range classes {
		if n -= c.share; n < 0 {
			class = c
			break
		}
	}
	l.n++
	id := fmt.Sprintf("%s%06d%06x", l.name, l.n, l.rng.IntN(1<<24))
	comment := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=1 */ ", id, class.name, class.d)
	sql := fmt.Sprintf("%sSELECT payload FROM entries WHERE ref = 'seed-%d'", comment, l.rng.IntN(1000))
	ref := fmt.Sprintf("%s/%d", l.name, l.n)
	switch class.name {
	case "my-library":
		if l.last == "" {
			break
		}
		comment = fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=1,after=%s */ ", id, class.name, class.d, l.after)
		sql = comment + "SELECT payload FROM entries WHERE ref = '" + l.name + "'"
	case "donate":
		sql = comment + "INSERT INTO entries (ref, payload) VALUES ('" + ref + "', '1') RETURNING payload"
		if l.rng.IntN(2) == 0 {
			ref = l.name
			sql = comment + fmt.Sprintf("INSERT INTO entries (ref, payload) VALUES ('%s', '%d') RETURNING payload", l.name, l.n)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(class.d)*time.Millisecond+2*time.Second)
	defer cancel()
	begun := time.Now()
	rs, err := l.c.Exec(ctx, sql).ReadAll()
	took := time.Since(begun)
	l.done.Add(1)
	pe := l.g.RecordAnswer(class.name, took, time.Duration(class.d)*time.Millisecond+50*time.Millisecond, err, l.killed != nil && l.killed(begun))
	if l.observed != nil {
		l.observed(class.name, took, err == nil)
	}
	if class.name == "donate" && ref == l.name {
		if err == nil {
			l.last, l.after = fmt.Sprint(l.n), l.c.ParameterStatus("caught_up_to")
		} else if pe == nil || pe.Code != "53300" {
			l.last = "" // in doubt: nothing is expected until the next one that is known
		}
		return
	}
	if err != nil || len(rs) != 1 || len(rs[0].Rows) != 1 {
		return
	}
	switch got := string(rs[0].Rows[0][0]); {
	case class.name == "donate":
		if l.fleet.Cluster.Versions("public", "entries", ref) == 0 {
			l.g.Break("lost_commit", "%s was told that %s is committed", l.name, ref)
		}
	case class.name == "my-library" && l.last != "" && got != l.last:
		l.g.Break("missed_own_write", "%s read %q, it committed %q", l.name, got, l.last)
	}
}
