package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"ashstand/testbed/cluster"
	"ashstand/testbed/host"
	"ashstand/testbed/report"
)

// restart starts the next process of a name. p.mu is held.
func (r *rig) restart(p *pooler) {
	p.ending.Store(false)
	p.counted = map[string]int{}
	begun := time.Now()
	process, err := r.fleet.StartPooler(p.name)
	if process != nil {
		p.process = process
	}
	switch took := time.Since(begun); {
	case err != nil:
		r.g.Break(notReadyInTime, "%s: %s", p.name, lastLines(err.Error()))
	case took > readyWithin:
		r.g.Break(notReadyInTime, "%s took %v", p.name, took)
	}
}

// end tells a process to end, as the platform does, and starts the next one.
func (r *rig) end(ctx context.Context, p *pooler, twice bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	r.count(p)
	p.ending.Store(true)
	begun := time.Now()
	_ = p.process.Signal(syscall.SIGTERM)
	if twice {
		time.Sleep(haltFor)
		_ = p.process.Signal(syscall.SIGHUP)
		_ = p.process.Signal(syscall.SIGTERM)
	}
	for ended := false; !ended; {
		select {
		case <-p.process.Ended():
			ended = true
		case <-time.After(statsInterval):
			r.count(p)
			if time.Since(begun) > killAfter+r.o.Slack {
				r.g.Break(endedLate, "%s runs %v after SIGTERM", p.name, time.Since(begun))
				p.process.Stop()
			}
		}
	}
	if err := p.process.Err(); err != nil && time.Since(begun) < killAfter+r.o.Slack {
		r.g.Break(crashed, "%s after SIGTERM: %v\n%s", p.name, err, lastLines(p.process.Log()))
	}
	r.restart(p)
}

// kill ends a process at once.
func (r *rig) kill(ctx context.Context, p *pooler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	r.count(p)
	p.ending.Store(true)
	r.judge.kill(p.name)
	p.process.Stop()
	r.judge.kill(p.name)
	r.restart(p)
}

// halt stops a process for a moment, over and over.
func (r *rig) halt(p *pooler, d time.Duration) {
	for till := time.Now().Add(d); time.Now().Before(till); time.Sleep(haltFor) {
		if !p.mu.TryLock() {
			return // it ends or starts
		}
		_ = p.process.Signal(syscall.SIGSTOP)
		time.Sleep(haltFor)
		_ = p.process.Signal(syscall.SIGCONT)
		p.mu.Unlock()
	}
}

// reload has a process read its files again.
func (r *rig) reload(p *pooler) {
	_ = r.fleet.Rewrite(p.name, func(text string) string { return text + "# again\n" })
	if p.mu.TryLock() {
		_ = p.process.Signal(syscall.SIGHUP)
		p.mu.Unlock()
	}
}

// apply makes one fault happen and takes it away again.
func (r *rig) apply(ctx context.Context, f Fault) {
	p, h := r.poolers[f.Pooler], r.fleet.Hosts[f.Host]
	d := f.For.Duration()
	link := r.mesh.Link(p.name, h.Name)
	switch f.Kind {
	case Terminate, TerminateTwice:
		r.end(ctx, p, f.Kind == TerminateTwice)
	case Reload:
		r.reload(p)
	case Kill:
		r.kill(ctx, p)
	case Halt:
		r.halt(p, d)
	case HostHang:
		r.withHost(h, host.Faults{Stall: 1, StallFor: d}, d)
	case HostSlow:
		r.withHost(h, host.Faults{Slow: 0.7, SlowFor: 300 * time.Millisecond}, d)
	case HostCutAnswers:
		r.withHost(h, host.Faults{CutBefore: 0.1, CutAfter: 0.1, CutAnswer: 0.1, CutIdle: 0.2}, d)
	case HostRefuse:
		r.withHost(h, host.Faults{Refuse: 1, CutIdle: 0.3}, d)
	case HostReset:
		for till := time.Now().Add(d); time.Now().Before(till); time.Sleep(haltFor) {
			h.Cut()
		}
	case HostRestart:
		r.restartHost(h)
	case HostDrain:
		r.drain(h, d)
	case Failover:
		r.fleet.Cluster.Fail(h, haltFor, f.For%2 == 0)
		r.fleet.Publish()
	case DiscoverySilent:
		r.impair(p.name, "discovery", cluster.LinkFault{Drop: true}, d)
	case DiscoveryReset:
		over := r.judge.troubled(p.name + ">discovery")
		r.mesh.Link(p.name, "discovery").Reset()
		over()
	case LinkSilent:
		r.impair(p.name, h.Name, cluster.LinkFault{Stall: true}, d)
	case LinkDribble:
		r.impair(p.name, h.Name, cluster.LinkFault{Rate: dribbleRate, Jitter: 20 * time.Millisecond}, d)
	case LinkReset:
		over := r.judge.troubled(p.name + ">" + h.Name)
		link.Reset()
		over()
	case ClientsFlood, ClientsDisconnect, ClientsHalf, ClientsBurst:
		r.crowd(ctx, p, f)
	}
}

// lock takes a host's mutex of a map of them; the returned function gives it back.
func lock(of *sync.Map, h *host.Host) (unlock func()) {
	held, _ := of.LoadOrStore(h.Name, new(sync.Mutex))
	mu := held.(*sync.Mutex)
	mu.Lock()
	return mu.Unlock
}

// withHost lays faults on a host for a while; one such fault a host at a time.
func (r *rig) withHost(h *host.Host, faults host.Faults, d time.Duration) {
	defer lock(&r.hostFault, h)()
	h.SetFaults(faults)
	time.Sleep(d)
	h.SetFaults(host.Faults{})
}

// restartHost has a host come back under its name with a new start time. The primary's role goes to another first.
func (r *rig) restartHost(h *host.Host) {
	defer lock(&r.hostFault, h)()
	if h.Primary() {
		others := r.fleet.Hosts
		r.fleet.Cluster.Fail(others[(slices.Index(others, h)+1)%len(others)], haltFor, true)
	}
	h.Stop()
	time.Sleep(haltFor)
	if err := h.Restart(); err != nil {
		r.g.Do(func(res *report.Result) { res.Notes = append(res.Notes, "the rig: "+err.Error()) })
	}
	r.fleet.Publish()
}

// drain lists a host as draining for a while; one drain a host at a time.
func (r *rig) drain(h *host.Host, d time.Duration) {
	defer lock(&r.hostDrain, h)()
	over := r.judge.draining(h.Name)
	r.fleet.Drain(h, true)
	time.Sleep(d + drainGrace)
	over()
	r.fleet.Drain(h, false)
}

func (r *rig) impair(from, to string, fault cluster.LinkFault, d time.Duration) {
	over := r.judge.troubled(from + ">" + to)
	lift := r.mesh.Impair(from, to, fault)
	time.Sleep(d)
	lift()
	over()
}

// crowd plays clients that come for one fault.
func (r *rig) crowd(ctx context.Context, p *pooler, f Fault) {
	const crowd = 30
	run, stop := context.WithTimeout(ctx, f.For.Duration())
	defer stop()
	var all sync.WaitGroup
	for i := range crowd {
		c := r.newClient(p, fmt.Sprintf("x%d-%d-%d", f.At, f.Pooler, i), oneByOne, uint64(f.At)<<8|uint64(i))
		all.Go(func() {
			switch f.Kind {
			case ClientsFlood:
				c.habit = pipelines
				c.flood(run)
			case ClientsDisconnect:
				c.habit = leaves
				c.run(run)
			case ClientsHalf:
				c.stopHalfway(run)
			default:
				c.run(run)
			}
		})
	}
	all.Wait()
}
