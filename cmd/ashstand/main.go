// Command ashstand is the pooler: it takes requests from clients, asks the decision module where each goes,
// and exchanges it with a db host.
package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/decide"
	"ashstand/internal/edge"
	"ashstand/internal/net/discovery"
	"ashstand/internal/net/flight"
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
	second, err := loadFlight(flightFile)
	if err != nil {
		return err
	}
	clients, hosts, err := descriptors(cfg.Limits.Sockets, second)
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
	flights := flight.NewHosts(cfg.site.Connect)
	defer flights.Close()
	backend := new(edge.Split)
	var facade *decide.Facade
	probe := func(host string) {
		ctx, cancel := context.WithTimeout(ctx, cfg.site.Connect)
		defer cancel()
		facade.Probed(host, backend.Probe(ctx, host, facade.Listed))
	}
	if facade, err = decide.New(cfg.site, cfg.seed, now, probe, backend.CloseIdle); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	apply := discovery.Apply(facade.Members, backend, func(e discovery.Entry) edge.Backend {
		if slices.Contains(second.HostTypes, e.Type) {
			return flights
		}
		return pool
	}, pg.Platform.Primary)
	if cfg.Known != nil {
		cfg.Known.Snapshot = true
		apply(*cfg.Known)
	}
	core := edge.New(facade, now, backend)
	front := pg.NewFront(core, clients)
	ended := make(chan error, 1)
	var flightFront *flight.Front
	if second.Listen != "" {
		l, err := net.Listen("tcp", second.Listen)
		if err != nil {
			return fmt.Errorf("%s: %w", flightFile, err)
		}
		flightFront = flight.NewFront(core)
		defer flightFront.Stop()
		go func() { ended <- flightFront.Serve(l, second.Connections) }()
		log.Printf("%s listens for Flight SQL on %s; at most %d connections", cfg.Name, l.Addr(), second.Connections)
	}
	if err := engine.Start(cfg.Listen, front.Accept); err != nil {
		return err
	}
	go facade.Run(ctx)
	go discovery.New(engine, cfg.Discovery, cfg.Known, apply).Run(ctx)
	go every(ctx, time.Second, pool.Sweep)
	log.Printf("%s listens on %s; at most %d clients and %d connections to hosts", cfg.Name, cfg.Listen, clients, hosts)

	select {
	case err := <-engine.Ended():
		return fmt.Errorf("the event loop ended by itself: %v", err)
	case err := <-ended:
		return fmt.Errorf("the Flight SQL front ended by itself: %v", err)
	case s := <-stop:
		log.Printf("%v: going on for %v, then closing client connections between requests", s, tail)
	}
	time.Sleep(tail)
	front.Drain()
	if flightFront != nil {
		go flightFront.Drain()
	}
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
