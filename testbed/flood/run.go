package flood

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sys/unix"

	"ashstand/internal/admin"
	"ashstand/internal/metrics"
	"ashstand/testbed/fleet"
	"ashstand/testbed/host"
	"ashstand/testbed/report"
)

// What a run checks.
const (
	lost          = "lost"              // another client's answer came over lostGrace after its time, or never
	sentAfterGone = "sent_after_gone"   // a host got a request over goneGrace after its client had closed its connection
	overMemory    = "over_memory"       // the process held more than its memory limit
	crashed       = "crashed"           // the process ended
	violations    = "pooler_violation_" // and the name of a rule, by the pooler's own counters
)

const (
	lostGrace      = 550 * time.Millisecond // half a second, and 50 ms as for every time limit on sockets
	lateGrace      = 50 * time.Millisecond
	goneGrace      = 150 * time.Millisecond // 0.1 s, and 50 ms
	requestTime    = 400 * time.Millisecond // d of the requests that are judged
	interval       = 20 * time.Millisecond  // between two of them
	oldClients     = 8                      // that keep their connections
	settle         = 300 * time.Millisecond // between the start and the floods
	leaverPrefix   = "gone"
	memoryPeriod   = 20 * time.Millisecond
	largestSocket  = 1024
	sessionClients = 400
)

// Options are those of a run.
type Options struct {
	Plan   Plan
	Pooler string // the program; "": ashstand beside this one
	// Flooder is a testbed program, which plays the waves; "": this one.
	Flooder string
	Core    bool // keep the pooler on one core, as the platform does
	Log     bool
}

// rig is a run.
type rig struct {
	o      Options
	g      *report.Collector
	fleet  *fleet.Fleet
	flight string // address of the Flight SQL front
	sent   atomic.Int64
	peak   float64 // MB
	stalls stallWatch

	mu   sync.Mutex
	gone map[string]time.Time // by request id: when its client closed
	seen map[string]time.Time // by request id: when a host got it last
}

// Run plays a plan and returns what was found.
func Run(ctx context.Context, o Options) (*report.Result, error) {
	if err := o.Plan.check(); err != nil {
		return nil, err
	}
	r := &rig{
		o: o, g: report.New("flood", o.Plan.Seed, lost, sentAfterGone, overMemory, crashed),
		gone: map[string]time.Time{}, seen: map[string]time.Time{},
	}
	port, err := fleet.Hold()
	if err != nil {
		return nil, err
	}
	defer port.Release()
	r.flight = port.Address
	if r.fleet, err = fleet.Start(fleet.Options{
		Pooler: o.Pooler, Replicas: 2, Seed: o.Plan.Seed, MemoryMB: o.Plan.MemoryMB, Sockets: largestSocket, Clients: sessionClients,
		Servers: 32, Log: o.Log, Extra: func(string) string { return flightBlock(r.flight) },
	}); err != nil {
		return nil, err
	}
	defer r.fleet.Stop()
	if o.Core {
		if err := pin(r.fleet.Pooler.PID()); err != nil {
			return nil, err
		}
	}
	r.fleet.Cluster.Observe(r.sighted)
	begun := time.Now()
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	r.judge()
	return r.g.Result(time.Since(begun).Seconds()), nil
}

// pin keeps a process on the first core that this one may use.
func pin(pid int) error {
	var allowed, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return fmt.Errorf("read the cores of this process: %w", err)
	}
	for cpu := range 1024 {
		if allowed.IsSet(cpu) {
			one.Set(cpu)
			break
		}
	}
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return err
	}
	for _, t := range threads {
		id, _ := strconv.Atoi(t.Name())
		if err := unix.SchedSetaffinity(id, &one); err != nil {
			return fmt.Errorf("keep the pooler on one core: %w", err)
		}
	}
	return nil
}

// sighted notes a statement that a host received.
func (r *rig) sighted(_, text string, at time.Time) {
	if id, ok := host.StatementID(text); ok {
		r.mu.Lock()
		r.seen[id] = at
		r.mu.Unlock()
	}
}

// hasReachedHost reports whether a host received a request.
func (r *rig) hasReachedHost(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.seen[id]
	return ok
}

func (r *rig) play(ctx context.Context) error {
	program := r.o.Flooder
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return err
		}
	}
	run, stop := context.WithTimeout(ctx, settle+r.o.Plan.Length)
	defer stop()
	var judged, floods sync.WaitGroup
	judged.Go(func() { r.askFlight(run) })
	for _, front := range []Front{Statements, Sessions} {
		judged.Go(func() { r.ask(run, front, &judged) })
		for k := range oldClients {
			judged.Go(func() { r.askOnOne(run, front, k) })
		}
	}
	judged.Go(func() { r.watchMemory(run) })
	watch, stopWatch := context.WithCancel(ctx) // past the run, until all is answered
	go r.stalls.run(watch)
	defer stopWatch()
	sleep(run, settle)
	failed := make([]error, len(r.o.Plan.Waves))
	for i, w := range r.o.Plan.Waves {
		floods.Go(func() { failed[i] = r.playWave(run, program, w) })
	}
	floods.Wait()
	judged.Wait()
	return errors.Join(failed...)
}

func (r *rig) address(front Front) string {
	switch front {
	case Sessions:
		return r.fleet.Pooler.Sessions
	case Flight:
		return r.flight
	default:
		return r.fleet.Pooler.Statement
	}
}

func (r *rig) noteGone(id string, at time.Time) {
	r.mu.Lock()
	r.gone[id] = at
	r.mu.Unlock()
}

// readText is a read with a time of its own.
func readText(id string, d time.Duration) string {
	return fmt.Sprintf("/* id=%s,c=browse,d=%d,cluster=1 */ SELECT payload FROM entries WHERE ref = 'seed-1'", id, d.Milliseconds())
}

// ask sends a request on a new connection every interval, however long answers take.
func (r *rig) ask(ctx context.Context, front Front, all *sync.WaitGroup) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-new-%d", front, n)
		all.Go(func() { r.askNew(front, id) })
		sleep(ctx, interval)
	}
}

// askNew sends a request behind the startup message of a new connection.
func (r *rig) askNew(front Front, id string) {
	begun := time.Now()
	conn, err := net.DialTimeout("tcp", r.address(front), requestTime+lostGrace)
	if err != nil {
		r.answered(front, "new", begun, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(begun.Add(requestTime + lostGrace))
	_, err = conn.Write(append(startup(), query(readText(id, requestTime))...))
	f := pgproto3.NewFrontend(conn, conn)
	if err == nil {
		err = awaitReady(f)
	}
	if err == nil {
		err = awaitReady(f)
	}
	r.answered(front, "new", begun, err)
}

// askOnOne sends requests one after the other on a connection that it keeps. It makes a new one, unjudged, where the pooler has
// closed it between requests.
func (r *rig) askOnOne(ctx context.Context, front Front, k int) {
	var conn net.Conn
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			conn = r.connectOld(front)
		}
		if conn != nil && !r.askKept(conn, front, fmt.Sprintf("%s-old%d-%d", front, k, n)) {
			conn.Close()
			conn = nil
		}
		sleep(ctx, oldClients*interval)
	}
	if conn != nil {
		conn.Close()
	}
}

func (r *rig) connectOld(front Front) net.Conn {
	conn, err := net.DialTimeout("tcp", r.address(front), time.Second)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err = conn.Write(startup())
	if err != nil || awaitReady(pgproto3.NewFrontend(conn, conn)) != nil {
		conn.Close()
		return nil
	}
	return conn
}

// askKept reports whether the connection can be used again.
func (r *rig) askKept(conn net.Conn, front Front, id string) bool {
	begun := time.Now()
	_ = conn.SetDeadline(begun.Add(requestTime + lostGrace))
	if _, err := conn.Write(query(readText(id, requestTime))); err != nil {
		return false // closed between requests: the request was not taken
	}
	err := awaitReady(pgproto3.NewFrontend(conn, conn))
	var worded *pgconn.PgError
	if err != nil && !errors.As(err, &worded) && !isTimeout(err) && !r.hasReachedHost(id) {
		r.askNew(front, id) // a close crossed the request: its client sends it once more, on a new connection
		return false
	}
	r.answered(front, "old", begun, err)
	return err == nil || errors.As(err, &worded) && worded.Severity != "FATAL"
}

// awaitReady reads to the next ReadyForQuery. It returns the error that came before it.
func awaitReady(f *pgproto3.Frontend) error {
	var worded error
	for {
		m, err := f.Receive()
		if err != nil {
			return errors.Join(worded, err)
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			worded = &pgconn.PgError{Severity: m.Severity, Code: m.Code, Message: m.Message}
			if m.Severity == "FATAL" {
				return worded
			}
		case *pgproto3.ReadyForQuery:
			return worded
		}
	}
}

// answered counts the answer to a request that is judged. err is how it ended: an error of the pooler is an answer too.
func (r *rig) answered(front Front, connection string, begun time.Time, err error) {
	now := time.Now()
	took := now.Sub(begun)
	class := string(front) + " " + connection
	worded := r.g.RecordAnswer(class, took, requestTime+lateGrace, err, false)
	stalled := r.stalls.within(begun, now)
	isLate := took-stalled > requestTime+lostGrace
	if isLate || err != nil && worded == nil && !isTimeout(err) { // one in time by this is of a client that was held up
		r.g.Break(lost, "%s: %v after %v, this process held up for %v of it", class, err, took.Round(time.Millisecond), stalled.Round(time.Millisecond))
	}
}

// isTimeout reports whether a client's own time-out ended its wait.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// watchMemory notes the most memory that the pooler held.
func (r *rig) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		_, rss := r.fleet.Pooler.Usage()
		r.peak = max(r.peak, rss)
		sleep(ctx, memoryPeriod)
	}
}

// judge counts what is known after the run.
func (r *rig) judge() {
	select {
	case <-r.fleet.Pooler.Ended():
		r.g.Break(crashed, "%v", r.fleet.Pooler.EndedError())
	default:
	}
	if r.peak > float64(r.o.Plan.MemoryMB) {
		r.g.Break(overMemory, "%.0f MB of %d", r.peak, r.o.Plan.MemoryMB)
	}
	r.mu.Lock()
	begun := 0
	for id, at := range r.gone {
		seen, ok := r.seen[id]
		if ok {
			begun++
		}
		if ok && seen.Sub(at) > goneGrace {
			r.g.Break(sentAfterGone, "%s: %v after the close", id, seen.Sub(at).Round(time.Millisecond))
		}
	}
	r.mu.Unlock()
	var view struct {
		Figures []metrics.Figure `json:"figures"`
	}
	if admin.Get(r.fleet.Pooler.Admin, "stats", &view) == nil {
		for rule, n := range metrics.Violations(view.Figures) {
			r.g.Do(func(res *report.Result) { res.Broken[violations+rule] += n })
		}
	}
	r.g.Do(func(res *report.Result) {
		res.Memory.RSS = r.peak
		res.Baseline["begun_of_those_that_left"] = float64(begun)
		res.Baseline["rig_stall_max_ms"] = float64(r.stalls.longest().Milliseconds())
		res.Baseline["flooded_mb"] = float64(r.sent.Load()) / (1 << 20)
		for _, f := range view.Figures {
			if strings.HasPrefix(f.Name, "ashstand_loop_") {
				res.Baseline[strings.TrimPrefix(f.Name, "ashstand_")+f.Labels["over_ms"]] = f.Value
			}
		}
	})
}
