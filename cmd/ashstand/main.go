// Command ashstand is the pooler: it takes requests from clients, asks the decision module where each goes,
// and exchanges it with a db host.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/decide"
	"ashstand/internal/edge"
	"ashstand/internal/net/discovery"
	"ashstand/internal/net/loop"
	"ashstand/internal/net/pg"
)

const (
	// tail is for how long connections may still come after SIGTERM: the platform's 0.2 to 0.4 s and some slack.
	tail = 450 * time.Millisecond
	// spareDescriptors are for the listener, pollers, discovery, the log and what the runtime opens.
	spareDescriptors = 40
)

func main() {
	log.SetFlags(log.Lmicroseconds)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ashstand:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := load(os.Getenv)
	if err != nil {
		return err
	}
	// Two, though there is one core: the event loop sleeps inside a system call and keeps its place while it
	// does; with one place, timers and requests would wait until the runtime takes it away.
	runtime.GOMAXPROCS(2)
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 7 / 10)
	}
	clients, hosts, err := descriptors(cfg.Limits.Sockets)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	now := clock.System()
	engine := loop.New()
	pool := pg.NewPool(engine, now, pg.Platform, pg.Limits{Connections: hosts, Connect: cfg.site.Connect,
		Idle: cfg.site.ConnIdle})
	var facade *decide.Facade
	probe := func(host string) {
		ctx, cancel := context.WithTimeout(ctx, cfg.site.Connect)
		defer cancel()
		facade.Probed(host, pool.Probe(ctx, host, facade.Listed))
	}
	if facade, err = decide.New(cfg.site, cfg.seed, now, probe, pool.CloseIdle); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	apply := members(facade, pool)
	if cfg.Known != nil {
		cfg.Known.Snapshot = true
		apply(*cfg.Known)
	}
	core := edge.New(facade, now, pool)
	front := pg.NewFront(core, clients)
	if err := engine.Start(cfg.Listen, front.Accept); err != nil {
		return err
	}
	go facade.Run(ctx)
	go discovery.New(engine, cfg.Discovery, cfg.Known, apply).Run(ctx)
	go every(ctx, time.Second, pool.Sweep)
	log.Printf("%s listens on %s; at most %d clients and %d connections to hosts", cfg.Name, cfg.Listen, clients, hosts)

	select {
	case err := <-engine.Ended():
		return fmt.Errorf("the event loop ended: %w", errors.Join(err, errors.New("nothing is served any more")))
	case s := <-stop:
		log.Printf("%v: going on for %v, then closing client connections between requests", s, tail)
	}
	time.Sleep(tail)
	front.Drain()
	longest := 3 * time.Second
	for _, c := range cfg.site.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	select {
	case <-core.Drain():
		log.Printf("drained: every request has its answer")
	case <-time.After(longest + time.Second):
		log.Printf("drained: time is up")
	}
	engine.Stop()
	return nil
}

// members brings discovery's lists to the pool first: a host that is chosen must have its address.
func members(facade *decide.Facade, pool *pg.Pool) func(discovery.List) {
	known := map[string]bool{}
	return func(l discovery.List) {
		named := map[string]bool{}
		var ms []decide.Member
		for _, e := range l.Endpoints {
			named[e.Name] = true
			if e.Status != discovery.Left && e.Address != "" {
				known[e.Name] = true
				pool.SetAddress(e.Name, e.Address)
			}
			ms = append(ms, decide.Member{Host: e.Name, Group: e.Group, Draining: e.Status == discovery.Leaving,
				Gone: e.Status == discovery.Left, Primary: e.Part == pg.Platform.Primary, Started: e.SinceMS})
		}
		facade.Members(l.Snapshot, ms)
		for name := range known { // what left may still answer what it has; no new connection is wanted
			if l.Snapshot && !named[name] {
				pool.SetAddress(name, "")
				delete(known, name)
			}
		}
		for _, e := range l.Endpoints {
			if e.Status == discovery.Left {
				pool.SetAddress(e.Name, "")
				delete(known, e.Name)
			}
		}
	}
}

func every(ctx context.Context, d time.Duration, do func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			do()
		}
	}
}
