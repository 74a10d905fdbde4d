package main

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"ashstand/internal/admin"
	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/net/discovery"
	"ashstand/internal/net/flight"
	"ashstand/internal/net/loop"
	"ashstand/internal/net/pg"
	"ashstand/internal/panics"
	"ashstand/internal/warmuplog"
)

const (
	// spareDescriptors are for the listener, pollers, discovery, the log, the loop's reserve and what the runtime opens.
	spareDescriptors = 28
	// busyAfter is when, in milliseconds, a client may come again that found the table or the memory full.
	busyAfter = 300
)

// runPooler runs the pooler until a signal ends it. file is the operator's.
func runPooler(file string, must bool) error {
	// From the first moment: unhandled, SIGHUP ends the process.
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	cfg, err := prepare(file, must)
	if err != nil {
		return err
	}
	// Two, though there is one core: the event loop sleeps inside a system call and keeps its place while it
	// does. Measured on a calm day, medians: from the answer to the client 152 us with one place, 107 us with two.
	runtime.GOMAXPROCS(2)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	n, err := start(cfg)
	if err != nil {
		return err
	}
	go func() { // while it drains, too: what it still sends needs the list
		for range again {
			next, err := load(os.Getenv, cfg)
			if err == nil {
				err = next.operate(file, must)
			}
			if err != nil {
				slog.Error(fmt.Sprintf("reload: %s; going on with the configuration held", strings.ReplaceAll(err.Error(), "\n", "; ")))
				continue
			}
			n.reload(cfg, next)
			cfg = next
		}
	}()
	select {
	case err := <-n.ended:
		return err
	case s := <-stop:
		n.shutDown(s)
	}
	return nil
}

// node is a pooler that runs.
type node struct {
	facade *dispatch.Dispatcher
	core   *edge.Edge
	engine *loop.Engine
	front  *pg.Front
	flight *flight.Front // nil: off
	hosts  *flight.Hosts
	watch  *discovery.Watcher
	pooled *pg.SessionFront // nil: off
	admin  *admin.Server    // nil: off
	keeper *keeper          // nil: nothing is kept
	others *fellows         // nil: it knows of no other poolers
	costs  *costCollector   // nil: nothing is observed
	clock  clock.Clock
	cfg    atomic.Pointer[config]
	list   atomic.Pointer[map[string]discovery.Endpoint]
	pool   *pg.Pool
	bounds atomic.Pointer[bounds]
	memory *memoryGuard
	cancel context.CancelFunc
	ended  chan error // something ended by itself
}

// bounds are what follows from a configuration for the parts around the decisions; a reload may change them.
type bounds struct {
	core    edge.Limits
	front   pg.FrontLimits
	pool    pg.PoolLimits
	connect time.Duration // for a probe
	end     lifecycle.ShutdownSchedule
	pooled  pg.SessionLimits
}

func derive(cfg *config) (*bounds, error) {
	clients, connections, err := descriptors(cfg.Limits.Sockets, cfg.reserved())
	if err != nil {
		return nil, err
	}
	share, after := memoryShare(cfg.memoryLimit()), min(clock.Millis(cfg.site.MaxRetryAfter), busyAfter)
	b := &bounds{
		connect: cfg.site.ConnectTimeout,
		core:    edge.Limits{StatementBytes: share, RetryAfterMillis: after},
		front:   pg.FrontLimits{MaxClients: clients, MaxUnreadBytes: share, RetryAfterMillis: after},
		pool:    pg.PoolLimits{Connections: connections, Bytes: share, ConnectTimeout: cfg.site.ConnectTimeout, IdleTimeout: cfg.site.ConnIdleTimeout},
	}
	longest := time.Duration(0)
	for _, c := range cfg.site.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	b.end = lifecycle.NewShutdownSchedule(longest)
	if b.pooled, err = cfg.sessionLimits(share, after); err != nil {
		return nil, err
	}
	return b, nil
}

// start wires the parts together and opens the fronts.
func start(cfg *config) (*node, error) {
	b, err := derive(cfg)
	if err != nil {
		return nil, err
	}
	memory := new(memoryGuard)
	memory.setLimit(cfg.memoryLimit())
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{engine: loop.New(), memory: memory, hosts: flight.NewHosts(cfg.site.ConnectTimeout), cancel: cancel, ended: make(chan error, 2)}
	n.bounds.Store(b)
	now := clock.System()
	if l := cfg.operator.Testbed; l != nil {
		now = clock.Skewed(now, clock.Millis(l.Offset), l.Rate)
	}
	n.clock = now
	n.pool = pg.NewPool(n.engine, now, pg.Platform, b.pool)
	n.pool.OnLateAnswer(func(host string, sent float64, write bool, o dispatch.Outcome) {
		n.facade.LateAnswer(host, sent, write, o)
	})
	backend := new(edge.BackendMux)
	registry := metrics.New()
	probe := func(host string) { n.facade.ProbeDone(host, n.probe(ctx, registry, backend, host)) }
	if n.facade, err = dispatch.New(cfg.site, cfg.seed, now, probe, backend.CloseIdle); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	n.pool.Listed, n.hosts.IsListed = n.facade.IsActive, n.facade.IsActive
	n.pool.OnHandshake = n.facade.CountHandshake
	apply := discovery.NewApplier(n.facade.UpdateEndpoints, backend, func(e discovery.Endpoint) edge.Backend {
		if slices.Contains(cfg.flight.HostTypes, e.Type) {
			return n.hosts
		}
		return n.pool
	}, pg.Platform.Primary)
	if s := cfg.operator.Sessions; s != nil && s.Listen != "" {
		n.pooled = pg.NewSessionFront(n.engine, n.facade, now, pg.Platform, b.pooled)
		if what := os.Getenv("ASHSTAND_BREAK"); what != "" {
			slog.Error("a guarantee is switched off, to see its checker fail: " + what)
			n.pooled.DisableGuarantee(what)
		}
		if err := n.engine.AddListener(s.Listen, n.pooled.Accept); err != nil {
			return nil, fmt.Errorf("sessions: listen on %s: %w", s.Listen, err)
		}
	}
	n.cfg.Store(cfg)
	n.list.Store(&map[string]discovery.Endpoint{})
	told := apply
	apply = func(l discovery.EndpointList) {
		n.listed(l, told)
		n.others.holds(l)
	}
	if n.keeper, err = keep(cfg, n); err != nil {
		return nil, err
	}
	if n.others, err = meet(cfg, now); err != nil {
		return nil, err
	}
	if n.pooled != nil && n.others != nil && n.others.assignments != nil {
		n.pooled.SetAssignments(n.others.assignments)
		n.others.assignments.front.Store(n.pooled)
	}
	if cfg.Known != nil {
		cfg.Known.Snapshot = true
		apply(*cfg.Known)
	}
	n.others.startJobs(n, cfg, now)
	n.core = edge.New(n.facade, now, backend)
	n.core.SetMetrics(registry)
	if n.costs = newCostCollector(cfg, n, now); n.costs != nil {
		n.core.Observe(n.costs)
	}
	n.core.SetLimits(b.core)
	if n.pooled != nil {
		n.pooled.CountViolations(n.core.Metrics())
	}
	n.core.Metrics().AddGauge("requests_open", "Requests that have begun and have no answer yet.", func() float64 { return float64(n.core.OpenRequests()) })
	n.front = pg.NewFront(n.engine, n.core, b.front)
	n.front.DisableGuarantee(os.Getenv("ASHSTAND_BREAK"))
	n.engine.OnPanic = n.core.Metrics().PanicRecovered
	n.engine.Exhaustion = loop.ExhaustionPolicy{EvictClient: n.front.EvictClient, Reject: n.front.Reject}
	opened, err := openListeners(cfg)
	if err != nil {
		n.stop()
		return nil, err
	}
	if err := n.engine.Start(cfg.Listen, n.front.Accept); err != nil {
		opened.close()
		n.stop()
		return nil, err
	}
	go func() { n.ended <- endedError("the event loop", <-n.engine.Ended()) }()
	n.engine.Monitor(ctx, newLoopMonitor(n.core.Metrics()).observe)
	n.serve(opened, cfg)
	if n.pooled != nil {
		go every(ctx, pg.SweepInterval, n.pooled.Sweep)
		log.Printf("%s pools sessions on %s; at most %d clients and %d server connections", cfg.Name, cfg.operator.Sessions.Listen,
			b.pooled.MaxClients, b.pooled.MaxServerConnections)
	}
	if n.keeper != nil {
		go n.keeper.run(ctx)
	}
	go n.facade.Run(ctx)
	n.watch = discovery.New(n.engine, cfg.Discovery, cfg.Known, cfg.seed, apply)
	go n.watch.Run(ctx)
	go every(ctx, time.Second, n.pool.Sweep)
	go every(ctx, memoryInterval, n.memory.adjust)
	go every(ctx, pg.SweepInterval, n.front.Sweep)
	warming := warmuplog.New()
	go every(ctx, warmuplog.Interval, func() { warming.Report(n.clock.Now(), n.facade.WarmingHosts(), n.facade.ClassCosts()) })
	log.Printf("%s listens on %s; at most %d clients and %d connections to hosts, idle for %v at most", cfg.Name, cfg.Listen,
		b.front.MaxClients, b.pool.Connections, b.pool.IdleTimeout)
	return n, nil
}

// probe requests a load report from a host. A panic at what the host sent ends the probe alone.
func (n *node) probe(ctx context.Context, registry *metrics.Metrics, backend edge.Backend, host string) (outcome dispatch.Outcome) {
	defer func() {
		if value := recover(); value != nil {
			panics.Check(value)
			registry.PanicRecovered("probe", value)
			outcome = dispatch.Outcome{Code: dispatch.Malformed}
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, n.bounds.Load().connect)
	defer cancel()
	return backend.Probe(ctx, host, n.facade.IsActive)
}

// reload takes from a new configuration what can change while requests are under way, and names what can't.
func (n *node) reload(old, next *config) {
	var wait []string
	if next.Name != old.Name {
		wait = append(wait, "name")
	}
	if next.Listen != old.Listen {
		wait = append(wait, "listen")
	}
	wait = append(wait, next.moved(old)...)
	wait = append(wait, n.others.reload(old, next)...)
	if b, err := derive(next); err != nil {
		wait = append(wait, err.Error())
	} else if err := n.facade.Configure(next.site); err != nil {
		wait = append(wait, "settings: "+err.Error())
	} else {
		n.bounds.Store(b)
		n.core.SetLimits(b.core)
		n.front.SetLimits(b.front)
		n.pool.SetLimits(b.pool)
		if n.pooled != nil {
			n.pooled.SetLimits(b.pooled)
		}
		n.cfg.Store(next)
		logTo(os.Stderr, next.operator.Log)
		next.logDeprecations()
	}
	n.memory.setLimit(next.memoryLimit())
	n.watch.SetServiceAddress(next.Discovery)
	log.Printf("reload: discovery at %s, memory %d MB", next.Discovery, next.Limits.MemoryMB)
	if len(wait) > 0 {
		log.Printf("reload: changed, but in force only after a restart: %s", strings.Join(wait, ", "))
	}
}

func (n *node) stop() {
	n.cancel()
	n.others.stop()
	if n.admin != nil {
		n.admin.Stop()
	}
	if n.flight != nil {
		n.flight.Stop()
	}
	if n.keeper != nil {
		n.keeper.store.Close()
	}
	n.engine.Stop()
	n.hosts.Close()
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

// partEndedError is returned where a part of the pooler ended by itself.
type partEndedError struct {
	part string
	err  error // nil: it gave no reason
}

func (e *partEndedError) Error() string { return fmt.Sprintf("%s ended: %v", e.part, e.err) }

// Unwrap returns the reason.
func (e *partEndedError) Unwrap() error { return e.err }

func endedError(part string, err error) error { return &partEndedError{part: part, err: err} }
