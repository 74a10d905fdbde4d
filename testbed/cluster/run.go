package cluster

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"ashstand/internal/admin"
	"ashstand/testbed/discovery"
	"ashstand/testbed/fleet"
	"ashstand/testbed/load"
	"ashstand/testbed/report"
)

// Options are those of a run.
type Options struct {
	Plan    Plan
	Pooler  string // the program; "": ashstand beside this one
	Clients int    // of each pooler
	Log     bool
	Agree   bool // on versions of rules, which are proposed all along
	Works   bool // are done by one owner at a time

	Groups  int // of hosts; 0: one
	Tenants int // databases that move between them
}

// tenants are the names of the databases.
func (o Options) tenants() (out []string) {
	for i := range o.Tenants {
		out = append(out, fmt.Sprint("t", i+1))
	}
	return out
}

// rig is a run.
type rig struct {
	o     Options
	g     *report.Collector
	mesh  *Mesh
	fleet *fleet.Fleet
	dir   string
	keys  string
	nodes []*node
	begun time.Time

	mu     sync.Mutex
	spans  []*span // what went wrong, as it did
	polls  []poll
	told   []Line
	agents map[string]string
	ports  []*fleet.Port // of the members, held to the end

	losing sync.Mutex        // of who takes a folder, or a voter for good
	spent  map[string]uint64 // voters that lost their folder and were not seen to be taken in since, with the identity that is lost
}

// span is a fault as it came about; till is zero while it lasts.
type span struct {
	Fault
	from, till time.Time
}

// lasts says whether it goes on beyond a moment.
func (s *span) lasts(beyond time.Time) bool { return s.till.IsZero() || s.till.After(beyond) }

// Line is a line of the timeline.
type Line struct {
	At    time.Duration
	Who   string
	Text  string
	Until time.Duration // of a fault; 0: a moment
}

func (r *rig) at() time.Duration { return time.Since(r.begun) }

func (r *rig) tell(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, Line{At: r.at(), Who: who, Text: fmt.Sprintf(format, args...)})
}

// setup starts all; whatever was started ends with Close, also after an error.
func (r *rig) setup() error {
	p := r.o.Plan
	var err error
	// In memory where there is such a place: a disk that takes a second for each save is a fault of its own, to be asked for.
	under := ""
	if info, err := os.Stat("/dev/shm"); err == nil && info.IsDir() {
		under = "/dev/shm"
	}
	if r.dir, err = os.MkdirTemp(under, "testbed-cluster-"); err != nil {
		return err
	}
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return err
	}
	r.keys = filepath.Join(r.dir, "keys")
	if err := os.WriteFile(r.keys, []byte("# of this run alone\n"+base64.StdEncoding.EncodeToString(key)+"\n"), 0o600); err != nil {
		return err
	}
	r.mesh, r.agents = NewMesh(), map[string]string{}
	for _, name := range p.Names {
		n := &node{name: name, trace: filepath.Join(r.dir, name+".trace"), held: 1}
		if n.listen, err = r.port(); err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	if r.o.Agree {
		if err := r.found(); err != nil {
			return err
		}
	}
	r.spent = map[string]uint64{}
	for _, a := range r.nodes {
		for _, b := range r.nodes {
			if a == b {
				continue
			}
			l, err := NewLink(a.name, b.name, func() string { return b.listen }, true, p.Seed)
			if err != nil {
				return err
			}
			r.mesh.Add(l)
		}
	}
	env := []string{"ASHSTAND_LAB=1"}
	if p.Break != "" {
		env = append(env, "ASHSTAND_BREAK=cluster-"+p.Break)
	}
	opts := fleet.Options{
		Pooler: r.o.Pooler, Replicas: 2, Lag: 20 * time.Millisecond, Seed: p.Seed, Clients: 10, Servers: 8, Log: r.o.Log,
		Names: p.Names, Extra: r.extra, Agent: r.agent, Env: env,
	}
	if r.o.Tenants > 0 {
		opts.Groups, opts.Databases, opts.Clients, opts.Servers = r.o.Groups, r.o.tenants(), 4*r.o.Tenants, 8*r.o.Tenants
	}
	r.fleet, err = fleet.Start(opts)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	failed := make([]error, len(r.nodes))
	for i, n := range r.nodes {
		all.Go(func() { failed[i] = r.let(n) })
	}
	all.Wait()
	return errors.Join(failed...)
}

// port is an address that this run holds to its end.
func (r *rig) port() (string, error) {
	p, err := fleet.Hold()
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	r.ports = append(r.ports, p)
	r.mu.Unlock()
	return p.Address, nil
}

// extra is what a pooler's file says of the others. A twin is named like a node of which it is the second process.
func (r *rig) extra(name string) string {
	own, twin := strings.CutSuffix(name, "-twin")
	n := r.node(own)
	n.mu.Lock()
	listen, trace, ahead, fast := n.listen, n.trace, n.ahead > 0, n.fast > 0
	if twin {
		listen, trace = n.twin, trace+"-twin"
	}
	n.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "cluster {\n  name = %q\n  listen = %q\n  keys = %q\n  probe = \"%dms\"\n  zone = \"hall-%c\"\n", own, listen, r.keys, r.o.Plan.Probe, 'a'+len(own)%3)
	for _, o := range r.nodes {
		if o != n {
			fmt.Fprintf(&b, "  peer %q {\n    address = %q\n  }\n", o.name, r.mesh.Link(own, o.name).Address)
		}
	}
	if r.o.Agree && !twin {
		b.WriteString(r.agreement(n))
	}
	b.WriteString("}\nlab {\n")
	fmt.Fprintf(&b, "  trace = %q\n", trace)
	if ahead {
		b.WriteString("  clock_offset = \"2s\"\n")
	}
	if fast {
		b.WriteString("  clock_rate = 1.01\n")
	}
	b.WriteString("}\n")
	return b.String()
}

// agent is where a pooler asks for the list: its own agent, behind a link, with the hosts behind links too.
func (r *rig) agent(name string, of *discovery.Registry) (string, error) {
	name, _ = strings.CutSuffix(name, "-twin")
	r.mu.Lock()
	defer r.mu.Unlock()
	if a, ok := r.agents[name]; ok {
		return a, nil
	}
	address, err := r.mesh.Agent(name, r.fleet.Hosts, of, r.o.Plan.Seed)
	if err != nil {
		return "", err
	}
	r.agents[name] = address
	return address, nil
}

func (r *rig) node(name string) *node {
	for _, n := range r.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (r *rig) close() {
	if r.fleet != nil {
		r.fleet.Stop()
	}
	for _, p := range r.ports {
		p.Release()
	}
	if r.mesh != nil {
		r.mesh.Close()
	}
	_ = os.RemoveAll(r.dir)
}

// play carries one fault out, begin to end.
func (r *rig) play(ctx context.Context, f Fault) {
	if !sleep(ctx, time.Until(r.begun.Add(f.At.D()))) {
		return
	}
	r.mu.Lock()
	s := &span{Fault: f, from: time.Now()} // from here on: a process that is told to end is touched at once
	r.spans = append(r.spans, s)
	r.mu.Unlock()
	end, err := r.begin(ctx, f)
	if err != nil {
		r.tell(f.A, "%s could not be done: %v", f.Kind, err)
		r.mu.Lock()
		r.spans = slices.DeleteFunc(r.spans, func(o *span) bool { return o == s })
		r.mu.Unlock()
		return
	}
	r.g.Do(func(q *report.Result) { q.Faults[f.Kind]++ })
	if f.Kind == "gone" { // from now on it is to be seen as it is
		r.mu.Lock()
		s.till = time.Now()
		r.mu.Unlock()
		return
	}
	sleep(ctx, f.For.D())
	if end != nil {
		end()
	}
	r.mu.Lock()
	s.till = time.Now()
	r.mu.Unlock()
}

// begin makes a fault come about and returns what ends it.
func (r *rig) begin(ctx context.Context, f Fault) (end func(), err error) {
	if t, ok := troubles[f.Kind]; ok {
		to := f.B
		if Kinds[f.Kind] == "discovery" {
			to = "discovery"
		}
		if t.oneWay {
			return r.mesh.Impair(f.A, to, t.LinkFault), nil
		}
		return r.mesh.ImpairBoth(f.A, to, t.LinkFault), nil
	}
	n := r.node(f.A)
	switch f.Kind {
	case "reset":
		r.mesh.Reset(f.A, f.B)
		return nil, nil
	case "flap":
		stop := make(chan struct{})
		var done sync.WaitGroup
		done.Go(func() {
			for {
				lift := r.mesh.ImpairBoth(f.A, f.B, LinkFault{Drop: true})
				for range 2 { // as long without as with
					select {
					case <-stop:
						lift()
						return
					case <-time.After(flapEach):
						lift()
					}
				}
			}
		})
		return func() { close(stop); done.Wait() }, nil
	case "partition", "three parts", "overlap":
		var lifts []func()
		for i, a := range r.nodes {
			for _, b := range r.nodes[:i] {
				if apart(f.Parts, a.name, b.name) {
					lifts = append(lifts, r.mesh.ImpairBoth(a.name, b.name, LinkFault{Drop: true}))
				}
			}
		}
		return together(lifts), nil
	case "failover":
		lead := r.fleet.Cluster.Leader()
		for _, h := range r.fleet.Hosts {
			if h != lead {
				r.fleet.Cluster.Fail(h, 300*time.Millisecond, true)
				break
			}
		}
		r.fleet.Publish()
		return nil, nil
	case "kill":
		return r.away(n, nil)
	case "restart":
		return r.restart(n)
	case "pause", "long pause":
		return n.pause()
	case "clock ahead", "clock fast":
		of := &n.ahead
		if f.Kind == "clock fast" {
			of = &n.fast
		}
		return r.clock(n, of)
	case "twin":
		return r.twin(ctx, n)
	case "garbage":
		return nil, spill(n.listen)
	case "lost folder", "old folder":
		r.losing.Lock()
		defer r.losing.Unlock()
		if took := r.lose(ctx, 1, n); len(took) == 0 {
			return nil, errors.New("a majority of the voters' folders could be lost")
		}
		return r.away(n, func() error { return r.spoil(n, f.Kind == "old folder") })
	case "all killed":
		// Of the voters, fewer than half lose what they had, those that are gone among them.
		r.losing.Lock()
		defer r.losing.Unlock()
		took := r.lose(ctx, Minority(len(r.nodes)), r.nodes[:Voters(len(r.nodes))]...)
		var ends []func()
		for _, n := range r.nodes {
			var spoil func() error
			if slices.Contains(took, n) {
				spoil = func() error { return r.spoil(n, false) }
			}
			if end, err := r.away(n, spoil); err == nil {
				ends = append(ends, end)
			} else if !errors.Is(err, errGone) {
				together(ends)()
				return nil, err
			}
		}
		return func() {
			var all sync.WaitGroup
			for _, end := range ends {
				all.Go(end)
			}
			all.Wait()
		}, nil
	case "gone":
		return nil, r.leave(ctx, n)
	}
	return nil, fmt.Errorf("there is no kind %q", f.Kind)
}

// spill sends what no member would: noise, long datagrams, streams of noise and one that never ends.
func spill(to string) error {
	u, err := net.Dial("udp", to)
	if err != nil {
		return err
	}
	defer u.Close()
	b := make([]byte, 9000)
	for i := range 200 {
		_, _ = rand.Read(b)
		_, _ = u.Write(b[:1+(i*37)%1400])
		_, _ = u.Write(b)
	}
	for i := range 8 {
		c, err := net.DialTimeout("tcp", to, time.Second)
		if err != nil {
			return err
		}
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		for range 1 + 300*(i%2) {
			if _, err := c.Write(b); err != nil {
				break
			}
		}
		c.Close()
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// disturbed says whether a process fault touched a pooler since a moment: then a request of it may go unanswered.
func (r *rig) disturbed(name string) func(since time.Time) bool {
	return func(since time.Time) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, s := range r.spans {
			if s.ends(name) && s.lasts(since.Add(-time.Second)) {
				return true
			}
		}
		p, paused := r.node(name).process()
		return p == nil || paused
	}
}

// Outcome is what a run came to.
type Outcome struct {
	Result *report.Result
	Lines  []Line
	Plan   Plan
	Bound  time.Duration
}

// service are the guarantees towards clients, which hold whatever the poolers make of each other.
var service = []string{"failed_start", "bad_exit", "crashed", "duplicate_write", "lost_commit", "missed_own_write", "sent_to_draining"}

// RunMembership plays a plan and judges what the poolers believe of each other, and what clients get meanwhile.
func RunMembership(ctx context.Context, o Options) (*Outcome, error) {
	g := report.New("cluster members", o.Plan.Seed, append([]string{"wrong_view", "false_doubt", "name_twice", "twin_untold", "garbage_uncounted"}, service...)...)
	r := &rig{o: o, g: g, begun: time.Now()}
	return r.whole(ctx, func(context.Context) {}, r.judge)
}

// whole sets the rig up, plays the plan with clients and beside it what else there is to do, and judges.
func (r *rig) whole(ctx context.Context, beside func(context.Context), judge func()) (*Outcome, error) {
	defer r.close()
	if err := r.setup(); err != nil {
		return nil, err
	}
	o, g := r.o, r.g
	r.begun = time.Now()
	run, stop := context.WithTimeout(ctx, o.Plan.Length.D())
	defer stop()
	var all sync.WaitGroup
	for i, n := range r.nodes {
		l := load.StartListeners(run, r.fleet, g, load.ListenerOptions{
			Name: "c" + n.name, Seed: o.Plan.Seed + uint64(i), Count: o.Clients, Mean: 80 * time.Millisecond, Open: true,
			Address: func() string {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.address
			}, Killed: r.disturbed(n.name),
		})
		all.Go(l.Wait)
	}
	all.Go(func() { r.watch(run) })
	all.Go(func() { beside(run) })
	for _, f := range o.Plan.Faults {
		all.Go(func() { r.play(run, f) })
	}
	all.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	judge()
	g.Do(func(q *report.Result) {
		q.Broken["duplicate_write"] += r.fleet.Cluster.Duplicates(func(ref string) bool { return strings.Contains(ref, "/") })
		for _, h := range r.fleet.Hosts {
			q.Broken["sent_to_draining"] += h.Counts.All()["sent_to_draining"]
		}
		for _, n := range r.nodes {
			if p, _ := n.process(); p != nil {
				_, rss := p.Usage()
				q.Memory.RSS = max(q.Memory.RSS, rss)
			}
		}
	})
	return &Outcome{Result: g.Result(time.Since(r.begun).Seconds()), Plan: o.Plan, Bound: r.bound(), Lines: r.timeline()}, nil
}

// each does something with every process that runs and does not stand still, side by side, and waits for all.
func (r *rig) each(do func(n *node, p *fleet.Pooler)) {
	var all sync.WaitGroup
	for _, n := range r.nodes {
		if p, paused := n.process(); p != nil && !paused {
			all.Go(func() { do(n, p) })
		}
	}
	all.Wait()
}

// watch reads every pooler's view at a pace.
func (r *rig) watch(ctx context.Context) {
	for sleep(ctx, 200*time.Millisecond) {
		r.each(func(n *node, p *fleet.Pooler) {
			select {
			case <-p.Ended():
				if n.crashed(p) {
					r.g.Break("crashed", "%s: %v\n%s", n.name, p.Err(), last(p.Log(), 2000))
				}
				return
			default:
			}
			at := time.Now()
			v, err := look(p.Admin)
			if err != nil || time.Since(at) > 500*time.Millisecond {
				return // it is being stopped or was paused; what it believes now can't be dated
			}
			n.mu.Lock()
			if n.pooler == p {
				n.instance = v.Self.Instance
				n.started = n.started || v.Self.State == "serving"
			}
			n.mu.Unlock()
			r.mu.Lock()
			r.polls = append(r.polls, poll{at: at, of: n.name, view: v, truth: nil})
			r.mu.Unlock()
		})
		r.stamp()
	}
}

func last(s string, n int) string { return s[max(0, len(s)-n):] }

// seen is what the judge reads of a pooler's view: declared here again, so that the pooler's own types don't judge it.
type seen struct {
	On   bool `json:"on"`
	Self struct {
		Name     string `json:"name"`
		Instance uint64 `json:"instance"`
		State    string `json:"state"`
	} `json:"self"`
	Refused *struct {
		Instance uint64 `json:"instance"`
	} `json:"refused"`
	Members []struct {
		Name     string `json:"name"`
		Instance uint64 `json:"instance"`
		State    string `json:"state"`
	} `json:"members"`
	Twins []struct {
		Name string `json:"name"`
	} `json:"twins"`
	Bound    float64          `json:"bound_ms"`
	Counters map[string]int64 `json:"counters"`
}

func look(address string) (v seen, err error) {
	var raw []byte
	if err := admin.Get(address, "cluster", &raw); err != nil {
		return v, err
	}
	err = json.Unmarshal(raw, &v)
	if err == nil && !v.On {
		err = errors.New("the pooler knows of no cluster")
	}
	return v, err
}

// event is a line of a process's trace.
type event struct {
	At, Left            float64
	Event, Of, From, To string
	Work, Text, Deed    string
	Token, Step         uint64
	Versions            []int
	Rules               map[string]any
	Lapsed              bool
}

// events are those of all the processes that ran at a place. What can't be read was cut off by the end of one.
func (n *node) events() (out []event) {
	b, err := os.ReadFile(n.trace)
	if err != nil {
		return nil
	}
	for _, text := range strings.Split(string(b), "\n") {
		var e event
		if json.Unmarshal([]byte(text), &e) == nil {
			out = append(out, e)
		}
	}
	return out
}

// timeline is what happened, in order: faults with their length, and each process's own changes of view.
func (r *rig) timeline() []Line {
	r.mu.Lock()
	lines := slices.Clone(r.told)
	for _, s := range r.spans {
		who := s.A
		if who == "" {
			who = "all"
		}
		text := s.Kind
		if s.B != "" {
			text += " " + s.A + "-" + s.B
		}
		for _, p := range s.Parts {
			text += " [" + strings.Join(p, " ") + "]"
		}
		l := Line{At: s.from.Sub(r.begun), Who: who, Text: text}
		if !s.till.IsZero() {
			l.Until = s.till.Sub(r.begun)
		}
		lines = append(lines, l)
	}
	r.mu.Unlock()
	for _, n := range r.nodes {
		for _, e := range n.events() {
			if e.Event == "lease" || e.Event == "work" && e.Deed == "write" && !strings.HasPrefix(e.Text, "f") {
				continue
			}
			l := Line{At: time.UnixMicro(int64(e.At * 1e3)).Sub(r.begun), Who: n.name, Text: e.Event}
			if e.Event == "view" {
				l.Text = "sees " + e.Of + " " + cmp.Or(e.To, "forgotten") + ", it was " + cmp.Or(e.From, "unknown")
			}
			if e.Event == "work" {
				l.Text = e.Text
			}
			if e.Event == "acts" {
				l.Text = fmt.Sprintf("acts on %v", e.Versions)
				if e.Lapsed {
					l.Text += " within the limits, without a lease"
				}
			}
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return int(a.At - b.At) })
	return lines
}

func (r *rig) bound() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.polls) == 0 {
		return 0
	}
	return time.Duration(r.polls[0].view.Bound * 1e6)
}
