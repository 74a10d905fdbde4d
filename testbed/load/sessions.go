package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"ashstand/testbed/fleet"
	"ashstand/testbed/host"
	"ashstand/testbed/report"
)

// SessionOptions are those of the measurement of sessions.
type SessionOptions struct {
	Sessions, Servers int
	Duration          time.Duration
	Rate              float64 // requests a second, all sessions together; about
	Faults            bool
	Seed              uint64
	Break             string
	Pooler            string
	Log               bool
}

// Breakable are the guarantees that the pooler can be told to break.
var Breakable = []string{"settings", "statements", "cancel", "position", "ahead", "kept"}

// Sessions plays many sessions over few server connections, with failures, and checks what each finds.
func Sessions(ctx context.Context, o SessionOptions) (*report.Result, error) {
	g := report.New("sessions", o.Seed, "missing_statement", "wrong_statement", "leaked_setting", "duplicate_write", "lost_commit", "stale_read",
		"sent_to_draining", "misdirected_cancel", "client_ended", wrongGroup, unroutedTransaction)
	var env []string
	if o.Break != "" {
		env = append(env, "ASHSTAND_BREAK="+o.Break)
	}
	f, err := fleet.Start(fleet.Options{
		Pooler: o.Pooler, Replicas: 2, Groups: 2, Lag: 150 * time.Millisecond, Seed: o.Seed, MemoryMB: 192,
		Sockets: o.Sessions + o.Sessions/8 + o.Servers + 200, Clients: o.Sessions, Servers: o.Servers, Env: env, Log: o.Log,
	})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	run, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	begun := time.Now()
	var all sync.WaitGroup
	for i := range o.Sessions {
		w := &worker{
			name: fmt.Sprintf("w%d", i), address: f.Pooler.Sessions, g: g, fleet: f, rng: rand.New(rand.NewPCG(o.Seed, uint64(i))),
			sleepy: o.Break == "cancel",
		}
		all.Go(func() {
			time.Sleep(time.Duration(w.rng.Int64N(int64(min(o.Duration/4, 5*time.Second)))))
			if w.connect(run) != nil {
				return
			}
			mean := float64(o.Sessions) / o.Rate * 2.2 // an operation is about so many requests
			for run.Err() == nil {
				w.step()
				if w.rng.IntN(400) == 0 && o.Faults {
					w.vanish(run)
				}
				select {
				case <-run.Done():
				case <-time.After(time.Duration(w.rng.ExpFloat64() * mean * 1e9)):
				}
			}
			if w.c != nil {
				_ = w.c.Conn().Close()
			}
		})
	}
	if o.Faults {
		all.Go(func() { trouble(run, f, g, o.Seed) })
	}
	finished := make(chan struct{})
	go func() {
		all.Wait()
		close(finished)
	}()
	var died error
	select {
	case <-finished:
	case <-f.Pooler.Ended():
		died = f.Pooler.EndedError()
	}
	if died != nil {
		return nil, died
	}
	seconds := time.Since(begun).Seconds()
	countUnrouted(f, g)
	cpu, rss := f.Pooler.Usage()
	g.Do(func(r *report.Result) {
		for _, h := range f.Hosts {
			for name, n := range h.Counts.All() {
				switch name {
				case "transactions", "reads":
				case "sent_to_draining":
					r.Broken[name] += n
				default:
					r.Faults[name] += n
				}
			}
		}
		r.Broken["duplicate_write"] += f.Cluster.Duplicates(func(ref string) bool { return contains(ref, '/') })
		r.Memory.RSS = rss
		r.Baseline["pooler_cpu_seconds"] = cpu
	})
	return g.Result(seconds), nil
}

func contains(s string, c byte) bool {
	for i := range len(s) {
		if s[i] == c {
			return true
		}
	}
	return false
}

// vanish leaves in the middle of a transaction, without a word, and comes back.
func (w *worker) vanish(ctx context.Context) {
	if w.c == nil || w.c.IsClosed() || w.simple("block", "BEGIN").state != "" {
		return
	}
	w.writes++
	w.extended("insert", "INSERT INTO entries (ref, payload) VALUES ($1, 'vanished')", fmt.Sprintf("%s/%d", w.name, w.writes))
	if t, ok := w.c.Conn().(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = w.c.Conn().Close()
	w.g.Do(func(r *report.Result) { r.Faults["client_vanished"]++ })
	_ = w.connect(ctx)
}

// trouble makes each kind of failure happen, over and over.
func trouble(ctx context.Context, f *fleet.Fleet, g *report.Collector, seed uint64) {
	usual := host.Faults{
		CutBefore: 0.002, CutAfter: 0.002, CutAnswer: 0.0004, CutIdle: 0.0004, CutCopy: 0.004, Stall: 0.0002,
		StallFor: 400 * time.Millisecond, Slow: 0.002, SlowFor: 40 * time.Millisecond, Refuse: 0.05,
	}
	for _, h := range f.Hosts {
		h.SetFaults(usual)
	}
	rng := rand.New(rand.NewPCG(seed, 1<<40))
	note := func(name string) { g.Do(func(r *report.Result) { r.Faults[name]++ }) }
	sleep := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	hosts := f.Cluster.Hosts()
	other := func() *host.Host {
		for {
			if h := hosts[rng.IntN(len(hosts))]; h != f.Cluster.Leader() {
				return h
			}
		}
	}
	for turn := 0; sleep(time.Second); turn++ {
		switch turn % 5 {
		case 0: // the primary dies, and comes back as a replica
			note("failover")
			old := f.Cluster.Leader()
			f.Cluster.Fail(other(), 150*time.Millisecond, true)
			if rng.IntN(2) == 0 && old != nil {
				note("host_restart")
				old.Stop()
				sleep(200 * time.Millisecond)
				_ = old.Restart()
			}
			f.Publish()
		case 1: // a replica drains
			note("drain")
			h := other()
			f.Drain(h, true)
			sleep(1500 * time.Millisecond)
			f.Drain(h, false)
		case 2: // the primary drains, hands over, and comes back
			note("handover")
			h := f.Cluster.Leader()
			f.Drain(h, true)
			sleep(300 * time.Millisecond)
			f.Cluster.Fail(other(), 50*time.Millisecond, false)
			f.Publish()
			sleep(1300 * time.Millisecond)
			f.Drain(h, false)
		case 3: // a replica restarts
			note("host_restart")
			h := other()
			h.Stop()
			sleep(200 * time.Millisecond)
			_ = h.Restart()
			f.Publish()
		case 4:
			note("sighup")
			_ = f.Pooler.Signal(syscall.SIGHUP)
		}
	}
}
