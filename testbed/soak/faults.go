package soak

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"syscall"
	"time"

	"ashstand/testbed/cluster"
	"ashstand/testbed/flood"
	"ashstand/testbed/host"
	"ashstand/testbed/report"
)

// restart starts the next process of a name. p.mu is held.
func (r *rig) restart(p *pooler) {
	p.ending.Store(false)
	p.counted, p.factor = map[string]int{}, 1 // each process starts with the deployment's settings
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
	killAfter := r.killAfter(p.factor)
	begun := time.Now()
	_ = p.process.Signal(syscall.SIGTERM)
	if twice {
		time.Sleep(haltFor)
		_ = p.process.Signal(syscall.SIGHUP)
		_ = p.process.Signal(syscall.SIGTERM)
		r.changeDeadlines(p)
		killAfter = min(killAfter, r.killAfter(p.factor))
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

// killAfter is the earliest SIGKILL after SIGTERM where the deadlines are longer than the deployment's by a factor.
func (r *rig) killAfter(factor float64) time.Duration {
	serves := r.serves
	serves.Classes = slices.Clone(serves.Classes)
	for i := range serves.Classes {
		serves.Classes[i].Deadline = Millis(float64(serves.Classes[i].Deadline) * factor)
	}
	return serves.killAfter()
}

// changeDeadlines has a process take settings whose deadlines are half or twice as long, or as they were. p.mu is held.
func (r *rig) changeDeadlines(p *pooler) {
	next := map[float64]float64{1: 0.5, 0.5: 2, 2: 1}[p.factor]
	if err := r.fleet.RewriteSettings(p.name, r.serves.settings(len(r.names), slices.Index(r.names, p.name), next)); err != nil {
		r.noteRig(err)
		return
	}
	p.factor = next
	_ = p.process.Signal(syscall.SIGHUP)
}

// noteRig notes that the rig itself could not do something.
func (r *rig) noteRig(err error) {
	r.g.Do(func(res *report.Result) { res.Notes = append(res.Notes, "the rig: "+err.Error()) })
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

// clockOffsets are how wrong a process's clock is: from less than a usual bound on the age of data to far more than any.
var clockOffsets = []string{"-300ms", "300ms", "-2s", "2s", "-1h", "1h"}

// changeClock ends a process, as the platform does, and starts the next one with a clock that is wrong, or with the right one where
// that of the last was wrong. drawn selects the offset.
func (r *rig) changeClock(ctx context.Context, p *pooler, drawn Millis) {
	if _, wasWrong := r.clocks.LoadAndDelete(p.name); !wasWrong {
		r.clocks.Store(p.name, clockOffsets[int(drawn)%len(clockOffsets)])
	}
	r.end(ctx, p, false)
}

// operatorBlock is what a pooler's operator's file has besides: the offset of a clock that is wrong.
func (r *rig) operatorBlock(name string) string {
	offset, isWrong := r.clocks.Load(name)
	if !isWrong {
		return ""
	}
	return fmt.Sprintf("lab {\n  clock_offset = %q\n}\n", offset)
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
	switch f.Kind {
	case Terminate, TerminateTwice, Reload, ReloadDeadlines, Kill, ClockWrong, Halt:
		r.applyToProcess(ctx, p, f)
	case HostHang, HostSlow, HostReset, HostCutAnswers, HostRefuse, HostAfterRow:
		r.applyToAnswers(h, f)
	case HostRestart, HostDrain, HostReplace, HostBehind, Failover:
		r.applyToRole(h, f)
	case DiscoverySilent, DiscoveryReset, LinkSilent, LinkDribble, LinkReset:
		r.applyToLink(p, h, f)
	case ClientsFlood, ClientsDisconnect, ClientsHalf, ClientsBurst:
		r.crowd(ctx, p, f)
	case ClientsFullSpeed, ClientsSlow:
		r.flood(ctx, p, f)
	case ClientsSurge:
		r.surge(ctx, h, f)
	}
}

// applyToProcess makes a fault of a pooler's process happen.
func (r *rig) applyToProcess(ctx context.Context, p *pooler, f Fault) {
	switch f.Kind {
	case Terminate, TerminateTwice:
		r.end(ctx, p, f.Kind == TerminateTwice)
	case Reload:
		r.reload(p)
	case ReloadDeadlines:
		if p.mu.TryLock() {
			r.changeDeadlines(p)
			p.mu.Unlock()
		}
	case Kill:
		r.kill(ctx, p)
	case ClockWrong:
		r.changeClock(ctx, p, f.For)
	case Halt:
		r.halt(p, f.For.Duration())
	default:
	}
}

// applyToAnswers makes a fault happen of how a host takes connections and answers.
func (r *rig) applyToAnswers(h *host.Host, f Fault) {
	d := f.For.Duration()
	switch f.Kind {
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
	case HostAfterRow:
		state := []string{"53300", "25006", "72000"}[int(f.For)%3]
		r.withHost(h, host.Faults{AfterRow: 0.3, AfterRowState: state}, d)
	default:
	}
}

// applyToRole makes a fault happen of what a host is: its process, its part in the list and in its group, its data.
func (r *rig) applyToRole(h *host.Host, f Fault) {
	d := f.For.Duration()
	switch f.Kind {
	case HostRestart:
		r.restartHost(h)
	case HostDrain:
		r.drain(h, d)
	case HostReplace:
		r.replace(h, d)
	case HostBehind:
		defer lock(&r.hostFault, h)()
		h.FallBack(d)
		time.Sleep(d)
		h.SetLag(hostLag)
	case Failover:
		r.clusterOf(h).Fail(h, haltFor, f.For%2 == 0)
		r.fleet.Publish()
	default:
	}
}

// applyToLink makes a fault happen of a pooler's link to a host or to discovery.
func (r *rig) applyToLink(p *pooler, h *host.Host, f Fault) {
	d := f.For.Duration()
	switch f.Kind {
	case DiscoverySilent:
		r.impair(p.name, "discovery", cluster.LinkFault{Drop: true}, d)
	case DiscoveryReset:
		r.reset(p.name, "discovery")
	case LinkSilent:
		r.impair(p.name, h.Name, cluster.LinkFault{Stall: true}, d)
	case LinkDribble:
		r.impair(p.name, h.Name, cluster.LinkFault{Rate: dribbleRate, Jitter: 20 * time.Millisecond}, d)
	case LinkReset:
		r.reset(p.name, h.Name)
	default:
	}
}

// reset resets the connections of a link.
func (r *rig) reset(from, to string) {
	over := r.judge.troubled(from + ">" + to)
	r.mesh.Link(from, to).Reset()
	over()
}

// clusterOf is the group of a host.
func (r *rig) clusterOf(h *host.Host) *host.Cluster {
	return r.fleet.Groups[slices.Index(r.fleet.Hosts, h)/(r.serves.Replicas+1)]
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
	r.stopAndStart(h)
	r.fleet.Publish()
	r.judge.hostStarted(h.Name)
}

func (r *rig) stopAndStart(h *host.Host) {
	defer lock(&r.hostFault, h)()
	if h.Primary() {
		others := r.clusterOf(h).Hosts()
		r.clusterOf(h).Fail(others[(slices.Index(others, h)+1)%len(others)], haltFor, true)
	}
	h.Stop()
	time.Sleep(haltFor)
	if err := h.Restart(); err != nil {
		r.noteRig(err)
	}
}

// replace drains a host, as a release does, and has it come back with a new start time.
func (r *rig) replace(h *host.Host, d time.Duration) {
	defer lock(&r.hostDrain, h)()
	over := r.judge.draining(h.Name)
	r.fleet.Drain(h, true)
	time.Sleep(d + drainGrace)
	over()
	r.stopAndStart(h)
	r.fleet.Drain(h, false)
	r.judge.hostStarted(h.Name)
}

// surge has more clients ask the group of a host for a while, at all poolers.
func (r *rig) surge(ctx context.Context, h *host.Host, f Fault) {
	const factor = 1.5 // more than what the usual clients ask
	group := uint64(slices.Index(r.fleet.Groups, r.clusterOf(h)) + 1)
	run, stop := context.WithTimeout(ctx, f.For.Duration()+r.serves.slowStart().Window.Duration())
	defer stop()
	var all sync.WaitGroup
	for i, p := range r.poolers {
		for k := range int(math.Ceil(factor * float64(r.o.Clients) / float64(r.serves.Groups))) {
			c := r.newClient(p, fmt.Sprintf("s%d-%d-%d", f.At, i, k), r.usualHabit(k), uint64(f.At)<<16|uint64(i)<<8|uint64(k))
			c.group = group
			all.Go(func() { c.run(run) })
		}
	}
	all.Wait()
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

// flood plays clients that send at full speed, or many that write slowly.
func (r *rig) flood(ctx context.Context, p *pooler, f Fault) {
	const floodFor = 2 * time.Second // longer than most faults, so that queues have the time to grow
	run, stop := context.WithTimeout(ctx, floodFor+f.For.Duration())
	defer stop()
	wave := flood.Wave{Kind: flood.HalfRequests, Front: flood.Statements, Connections: 60}
	if f.Kind == ClientsFullSpeed {
		kinds := []flood.Kind{flood.EmptyQueries, flood.Syncs, flood.NewSettings, flood.Unread, flood.Reconnects, flood.Unsound}
		wave.Kind, wave.Connections = kinds[int(f.For)%len(kinds)], 6
	}
	flood.Play(run, wave, p.address, nil)
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
