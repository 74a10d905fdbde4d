package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ashstand/internal/admin"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/operator"
	"ashstand/testbed/cluster"
	"ashstand/testbed/discovery"
	"ashstand/testbed/fleet"
	"ashstand/testbed/host"
	"ashstand/testbed/report"
)

// Options are those of a run.
type Options struct {
	Plan    Plan
	Clients int    // of each pooler
	Pooler  string // the program; "": ashstand beside this one
	Break   string // a rule that the run breaks by itself, so that its checker is seen to fail
	// Env is what the poolers' environment has besides. Breaks of the pooler itself need a program that was built with the tag
	// faulthooks, and name their faults here.
	Env []string
	Log bool
	// LogFolder is where the logs of the poolers' last processes go; "": nowhere.
	LogFolder string
	// Slack is what is allowed for a machine that does other work beside the run. Where it is more than the usual, rules that a
	// pooler breaks by being held up are not judged; all others are.
	Slack time.Duration
}

// timingRules are the rules that a pooler breaks where the machine holds it up for longer than their graces.
var timingRules = []string{
	lifecycle.AttemptAfterDisconnect.String(), lifecycle.AttemptAfterTermination.String(), lifecycle.AttemptToDraining.String(),
	lifecycle.DeadlineExceeded.String(), lifecycle.RetryOutsideWindow.String(), lifecycle.AnswerLate.String(),
}

// Breakable are the rules that a run can break by itself.
func Breakable() []string {
	return []string{
		unanswered, duplicateWrite, lostCommit, sentAfterDisconnect, sentToDraining, rejectedAfterRun, runTwice, unseenByCounters, crashed, endedLate,
		coldOverload,
	}
}

const (
	readyWithin    = 10 * time.Second
	clientsEnd     = 3 * time.Second // for what is under way at the end
	crowdedPoolers = 3               // that have a deployment's idle clients
	haltFor        = 150 * time.Millisecond
	hostLag        = 30 * time.Millisecond
	dribbleRate    = 4000 // bytes a second
	statsInterval  = 100 * time.Millisecond
)

// rig is a run.
type rig struct {
	o       Options
	g       *report.Collector
	judge   *judge
	fleet   *fleet.Fleet
	mesh    *cluster.Mesh
	names   []string
	serves  Deployment
	poolers []*pooler
	faults  sync.WaitGroup

	mu        sync.Mutex // guards agents
	agents    map[string]string
	hostFault sync.Map // by host name: *sync.Mutex, one fault of its own at a time
	hostDrain sync.Map // the same for drains
	clocks    sync.Map // by pooler name: the offset of a clock that is wrong, as the operator's file words it
}

// pooler is one name with its present process. Faults that end the process take turns.
type pooler struct {
	name    string
	address string     // where it takes statements, the same for each process
	mu      sync.Mutex // held while a process ends and the next starts
	process *fleet.Pooler
	ending  atomic.Bool // it was told to end
	factor  float64     // by which the deadlines of its settings are longer than the deployment's; guarded by mu

	counted map[string]int // rule violations of this process, as they were read last; guarded by mu
}

// Run plays a plan and returns what was found.
func Run(ctx context.Context, o Options) (*report.Result, error) {
	g := report.New("soak", o.Plan.Seed, unanswered, late, duplicateWrite, lostCommit, missedOwnWrite, staleRead, sentAfterDisconnect, sentToDraining,
		rejectedAfterRun, runTwice, runOutsideWindow, unseenByCounters, endedLate, crashed, notReadyInTime,
		coldOverload)
	r := &rig{o: o, g: g, serves: o.Plan.deployment(), judge: newJudge(g, max(machineSlack, o.Slack)), mesh: cluster.NewMesh(), agents: map[string]string{}}
	for i := range o.Plan.Poolers {
		r.names = append(r.names, fmt.Sprint("n", i+1))
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	begun := time.Now()
	r.play(ctx)
	r.g.Do(func(res *report.Result) {
		for _, p := range r.poolers {
			_, rss := p.process.Usage()
			res.Memory.RSS = max(res.Memory.RSS, rss)
		}
	})
	if err := r.writeLogs(); err != nil {
		return nil, err
	}
	r.breakRule()
	r.judge.finish(func(group uint64, ref string) int { return r.groupOf(group).Versions("public", "entries", ref) })
	r.compareCounters()
	return g.Result(time.Since(begun).Seconds()), nil
}

// start brings up hosts, discovery and poolers; whatever was started ends with close, also after an error.
func (r *rig) start() error {
	var err error
	r.fleet, err = fleet.Start(fleet.Options{
		Pooler: r.o.Pooler, Replicas: r.serves.Replicas, Groups: r.serves.Groups, Lag: hostLag, Seed: r.o.Plan.Seed, Log: r.o.Log,
		Names: r.names, Agent: r.agent, Sockets: 256, MemoryMB: 96, Sessions: noSessions, Extra: r.operatorBlock,
		Env:      append(slices.Clone(r.o.Env), operator.TestbedEnv+"=1"), // ClockWrong needs it
		Settings: func(poolers, index int) map[string]any { return r.serves.settings(poolers, index, 1) },
	})
	if err != nil {
		return err
	}
	var hosts []string
	for _, h := range r.fleet.Hosts {
		hosts = append(hosts, h.Name)
	}
	r.judge.cold = newColdLoad(&r.serves, hosts)
	for _, group := range r.fleet.Groups {
		group.Observe(r.judge.sighted)
		group.ObserveHandshakes(r.judge.handshaken)
		group.ObserveRejections(r.judge.rejectedByHost)
		if r.serves.hasWork() {
			group.SetServiceTimes(r.serviceTime)
		}
		if r.serves.StalenessCheck != CheckOff {
			group.CheckReads(r.positionNeeded)
		}
	}
	r.judge.payloads = func(group uint64, ref string) []string { return r.groupOf(group).Payloads("public", "entries", ref) }
	failed := make([]error, len(r.names))
	var all sync.WaitGroup
	for i, name := range r.names {
		p := &pooler{name: name, counted: map[string]int{}, factor: 1}
		r.poolers = append(r.poolers, p)
		all.Go(func() { p.process, failed[i] = r.fleet.StartPooler(name) })
	}
	all.Wait()
	if err := errors.Join(failed...); err != nil {
		return err
	}
	for _, p := range r.poolers {
		p.address = p.process.Statement
	}
	return nil
}

// writeLogs writes the logs of the processes that run.
func (r *rig) writeLogs() error {
	if r.o.LogFolder == "" {
		return nil
	}
	if err := os.MkdirAll(r.o.LogFolder, 0o755); err != nil {
		return err
	}
	for _, p := range r.poolers {
		if err := os.WriteFile(filepath.Join(r.o.LogFolder, p.name+".log"), []byte(p.process.Log()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// noSessions is an operator's block that opens no session front.
const noSessions = "\n"

// groupOf is the data of a group, by its number from 1.
func (r *rig) groupOf(number uint64) *host.Cluster { return r.fleet.Groups[number-1] }

// positionNeeded is what a host that checks reads by itself wants of its position for one.
func (r *rig) positionNeeded(text string) (position float64, wait time.Duration, ok bool) {
	class, after := r.classOf(text)
	if class == nil {
		return 0, 0, false
	}
	if r.serves.StalenessCheck == CheckWait {
		wait = r.serves.CatchUpWait.Duration()
	}
	switch class.Access {
	case Bounded:
		return host.Now() - float64(class.Bound), wait, true
	case Session:
		return after, wait, after > 0
	case Strong:
		return host.Now(), wait, true
	case Any, Write:
	}
	return 0, 0, false
}

// classOf is the class of a statement, and the position that its comment asks for.
func (r *rig) classOf(text string) (class *Class, after float64) {
	comment, _, _ := strings.Cut(text, "*/")
	for _, field := range strings.Split(strings.TrimPrefix(strings.TrimSpace(comment), "/*"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case "c":
			if i := slices.IndexFunc(r.serves.Classes, func(c Class) bool { return c.Name == value }); i >= 0 {
				class = &r.serves.Classes[i]
			}
		case "after":
			after, _ = strconv.ParseFloat(value, 64)
		}
	}
	return class, after
}

// compareCounters breaks where hosts and clients saw what no pooler's counter tells of.
func (r *rig) compareCounters() {
	seen, counted := 0, 0
	r.g.Do(func(res *report.Result) {
		seen = res.Broken[rejectedAfterRun] + res.Broken[runTwice] + res.Broken[runOutsideWindow]
		for _, rule := range []lifecycle.Rule{lifecycle.RejectedAfterRun, lifecycle.RepeatAfterRun, lifecycle.RetryNotIdempotent, lifecycle.RetryOutsideWindow} {
			counted += res.Broken[poolerViolations+rule.String()]
		}
	})
	if seen > 0 && counted == 0 {
		r.g.Break(unseenByCounters, "%d requests were rejected or repeated though they had run, and no counter moved", seen)
	}
}

// agent is where a pooler asks for the list: behind a link of its own, with each host behind a link too.
func (r *rig) agent(name string, of *discovery.Registry) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address, ok := r.agents[name]; ok {
		return address, nil
	}
	address, err := r.mesh.Agent(name, r.fleet.Hosts, of, r.o.Plan.Seed)
	if err != nil {
		return "", err
	}
	r.agents[name] = address
	return address, nil
}

// play runs clients and faults, and then waits for what is under way.
func (r *rig) play(ctx context.Context) {
	run, stop := context.WithTimeout(ctx, r.o.Plan.Length.Duration())
	defer stop()
	var clients sync.WaitGroup
	for i, p := range r.poolers {
		for k := range r.o.Clients {
			c := r.newClient(p, fmt.Sprintf("c%d-%d", i, k), r.usualHabit(k), uint64(i)<<16|uint64(k))
			clients.Go(func() { c.run(run) })
		}
	}
	for i, p := range r.poolers {
		for k := range r.serves.IdleClients {
			if i >= crowdedPoolers {
				break
			}
			c := r.newClient(p, fmt.Sprintf("i%d-%d", i, k), oneByOne, uint64(i)<<32|uint64(k))
			clients.Go(func() { c.rest(run) })
		}
	}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for run.Err() == nil {
			sleep(run, statsInterval)
			r.watch()
		}
	}()
	begun := time.Now()
	for _, f := range r.o.Plan.Faults {
		sleep(run, time.Until(begun.Add(f.At.Duration())))
		if run.Err() != nil {
			break
		}
		r.g.Do(func(res *report.Result) { res.Faults[string(f.Kind)]++ })
		r.faults.Go(func() { r.apply(run, f) })
	}
	<-run.Done()
	clients.Wait()
	r.faults.Wait()
	<-watched
	time.Sleep(clientsEnd)
	r.watch()
}

// usualHabit is what the k-th client of a pooler does.
func (r *rig) usualHabit(k int) habit {
	if r.o.Plan.OneByOne {
		return oneByOne
	}
	return habit(k) % habits
}

func (r *rig) newClient(p *pooler, name string, h habit, seed uint64) *client {
	return &client{
		name: name, pooler: p.name, address: p.address, classes: r.serves.Classes, group: 1 + seed%uint64(r.serves.Groups), habit: h, judge: r.judge,
		rng: rand.New(rand.NewPCG(r.o.Plan.Seed, seed)),
	}
}

// watch reads the poolers' counters, and looks whether each that should run does.
func (r *rig) watch() {
	for _, p := range r.poolers {
		if !p.mu.TryLock() {
			continue // it ends or starts
		}
		r.count(p)
		select {
		case <-p.process.Ended():
			if !p.ending.Load() {
				r.g.Break(crashed, "%s: %v", p.name, lastLines(p.process.EndedError().Error()))
				r.restart(p)
			}
		default:
		}
		p.mu.Unlock()
	}
}

func lastLines(text string) string {
	const lines = 12
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// count takes what a process says of its rules. p.mu is held.
func (r *rig) count(p *pooler) {
	var view struct {
		Figures []metrics.Figure `json:"figures"`
	}
	if admin.Get(p.process.Admin, "stats", &view) != nil {
		return
	}
	for rule, n := range metrics.Violations(view.Figures) {
		if r.o.Slack > machineSlack && slices.Contains(timingRules, rule) {
			continue
		}
		if more := n - p.counted[rule]; more > 0 {
			r.g.Break(poolerViolations+rule, "%s counts %d: %s", p.name, n, violationLines(p.process.Log(), rule))
			p.counted[rule] = n
		}
	}
	r.g.Do(func(res *report.Result) {
		for _, f := range view.Figures {
			if reason := f.Labels["reason"]; reason != "" && f.Value > 0 {
				key := strings.TrimPrefix(f.Name, "ashstand_") + " " + reason
				res.Baseline[key] = max(res.Baseline[key], f.Value)
			}
		}
	})
}

// violationLines are the log's lines on a rule.
func violationLines(log, rule string) string {
	var found []string
	for _, line := range strings.Split(log, "\n") {
		if strings.Contains(line, "rule="+rule) {
			found = append(found, line)
		}
	}
	return strings.Join(found[max(0, len(found)-3):], "; ")
}

// breakRule breaks a rule by itself, so that its checker is seen to fail.
func (r *rig) breakRule() {
	now := time.Now()
	class := &Class{Name: "broken", Access: Write, Effect: AtMostOnce, Deadline: 1000}
	q := &request{id: "broken-1", class: class, group: 1, pooler: r.names[0], ref: "seed-1", writtenAt: now, dueFrom: now}
	switch r.o.Break {
	case unanswered:
		r.judge.began(q)
		r.judge.sighted(r.fleet.Hosts[0].Name, "/* id=broken-1,c=broken */", now)
		r.judge.closed([]*request{q}, errors.New("--break"))
	case duplicateWrite:
		r.insert("twice/1")
		r.insert("twice/1")
		q.ref = "twice/1"
		r.judge.began(q)
	case lostCommit:
		q.ref = "never/1"
		r.judge.began(q)
		r.judge.answered(q, "served")
	case rejectedAfterRun, unseenByCounters:
		r.judge.sighted(r.fleet.Hosts[0].Name, "/* id=broken-1,c=broken */", now)
		r.judge.began(q)
		r.judge.answered(q, "53300")
	case runTwice:
		q.ref = ""
		r.judge.began(q)
		r.judge.sighted(r.fleet.Hosts[0].Name, "/* id=broken-1,c=broken */", now)
		r.judge.sighted(r.fleet.Hosts[0].Name, "/* id=broken-1,c=broken */", now)
	case sentAfterDisconnect:
		q.disconnectedAt = now.Add(-time.Second)
		r.judge.began(q)
		r.judge.sighted("elsewhere", "/* id=broken-1,c=broken */", now)
	case sentToDraining:
		r.judge.drains["elsewhere"] = []interval{{from: now.Add(-time.Hour)}}
		r.judge.began(q)
		r.judge.sighted("elsewhere", "/* id=broken-1,c=broken */", now)
	case coldOverload:
		r.judge.breakColdLoad(r.fleet.Hosts[0].Name)
	case crashed:
		p := r.poolers[0]
		_ = p.process.Signal(syscall.SIGKILL)
		<-p.process.Ended()
		r.watch()
	case endedLate:
		p := r.poolers[0]
		time.AfterFunc(haltFor, func() { _ = p.process.Signal(syscall.SIGSTOP) })
		r.end(context.Background(), p, false)
	}
}

// insert writes a row past all poolers.
func (r *rig) insert(ref string) { r.fleet.Cluster.Write(ref, "1") }

func (r *rig) close() {
	r.mesh.Close()
	if r.fleet != nil {
		r.fleet.Stop()
	}
}

// WriteSchedule writes a plan to a file, for --plan.
func WriteSchedule(p Plan, path string) error {
	b, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Clean(path), append(b, '\n'), 0o644)
}
