package cluster

import (
	"container/heap"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ashstand/internal/cluster/consensus"
	"ashstand/testbed/report"
)

// Simulated is what one schedule of the simulation came to. There are no sockets, and no clock but its own: equal seeds
// give equal traces.
type Simulated struct {
	Seed     uint64
	Broken   map[string]int
	Notes    []string
	Faults   map[string]int
	InForce  int     // versions
	Longest  float64 // from the log to in force, ms
	Bound    float64
	Trace    uint64 // a hash of all that happened
	Messages int
}

// SimulatedChecks are the guarantees that the simulation judges.
var SimulatedChecks = []string{"contradiction", "version_went_back", "two_values_one_version", "acted_without_lease", "order", "stuck"}

const (
	simLease    = 200.0
	simElection = 50.0
	simPace     = 30.0
	simDrift    = 0.01
	simTick     = 5.0
	simRest     = 1500.0 // without faults, at the end
)

// simNode is a pooler of the simulation.
type simNode struct {
	cfg      consensus.Config
	node     *consensus.Node
	disk     *consensus.PersistentState
	offset   float64 // of its clock, and how fast that runs
	rate     float64
	stopped  bool
	gone     bool                // for good
	backlog  []consensus.Message // that came while it was stopped
	instance uint64
	sent     map[uint64]float64        // when each renewal was sent, in true time
	lease    float64                   // the latest of those that were answered
	least    int                       // the lowest version that it has acted on with a lease
	acts     *consensus.EffectiveRules // what it acted on when something happened to it last
	read     int                       // versions of its log that were looked at
}

func (n *simNode) clock(t float64) float64 { return n.offset + t*n.rate }

type simEvent struct {
	at   float64
	turn int
	do   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].turn < q[j].turn
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

type simulation struct {
	out     *Simulated
	lots    *rand.Rand
	now     float64
	turn    int
	queue   simQueue
	nodes   []*simNode
	names   []string
	voters  int
	cut     map[[2]string]int
	loss    float64
	quiet   float64 // from then on nothing goes wrong
	values  map[int]string
	loose   int // voters without their folder, not yet taken in
	calls   map[uint64]float64
	ends    []simEnd
	touched []*simNode      // by what happens now
	logged  map[int]float64 // when a version was seen first, by whomever
	trace   interface{ Write([]byte) (int, error) }
}

type simEnd struct {
	begun, ended float64
	n            int
}

// Simulate plays one schedule: so many poolers, three or five of them voters, for length milliseconds.
func Simulate(seed uint64, poolers int, length float64, broken string) *Simulated {
	h := fnv.New64a()
	s := &simulation{
		out: &Simulated{Seed: seed, Broken: map[string]int{}, Faults: map[string]int{}}, lots: rand.New(rand.NewPCG(seed, 0x51)),
		cut: map[[2]string]int{}, values: map[int]string{}, calls: map[uint64]float64{}, logged: map[int]float64{}, trace: h,
	}
	for _, c := range SimulatedChecks {
		s.out.Broken[c] = 0
	}
	s.names = names(poolers)
	if s.voters = 3; poolers >= 5 && seed%2 == 0 {
		s.voters = 5
	}
	for i, name := range s.names {
		cfg := consensus.Config{
			Name: name, Voters: s.names[:s.voters], LeaseMillis: simLease, ClockDrift: simDrift, RenewIntervalMillis: simPace, ElectionTimeoutMillis: simElection, Format: 1,
			Limits: consensus.Rules{"class.a.bound_ms": 100.0, "class.a.repeat": false, "tries": 1.0, "database.d.group": 0.0}, Seed: seed, DisabledGuarantee: broken,
		}
		n := &simNode{cfg: cfg, offset: s.lots.Float64() * 1e6, rate: 1 + simDrift*(2*s.lots.Float64()-1)}
		if i < s.voters {
			n.disk = consensus.InitialState(name, s.names[:s.voters])
		}
		s.nodes = append(s.nodes, n)
		s.start(n)
		s.tick(n)
	}
	_, change := s.nodes[0].cfg.ActivationBoundMillis()
	s.out.Bound = change
	s.quiet = length - simRest
	for at := 100.0; at < s.quiet; at += 60 + s.lots.Float64()*300 {
		s.after(at, s.fault)
	}
	s.leavers(seed)
	for at := 150.0; at < length-2*change; at += 100 + s.lots.Float64()*400 {
		s.after(at, s.propose)
	}
	for len(s.queue) > 0 && s.queue[0].at < length {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
		s.judge()
	}
	s.now = length
	s.end()
	s.out.Trace = h.Sum64()
	return s.out
}

func (s *simulation) after(d float64, do func()) {
	s.turn++
	heap.Push(&s.queue, simEvent{s.now + d, s.turn, do})
}

func (s *simulation) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.trace, "%.6f "+format+"\n", append([]any{s.now}, args...)...)
}

func (s *simulation) breach(what, format string, args ...any) {
	if s.out.Broken[what]++; len(s.out.Notes) < 8 {
		s.out.Notes = append(s.out.Notes, fmt.Sprintf("seed %d at %.1f ms: %s: ", s.out.Seed, s.now, what)+fmt.Sprintf(format, args...))
	}
}

// start gives a node a process, on the folder that it has.
func (s *simulation) start(n *simNode) {
	n.instance = s.lots.Uint64()
	n.cfg.Incarnation, n.sent, n.lease, n.stopped, n.backlog = n.instance, map[uint64]float64{}, -1e9, false, nil
	n.acts, n.read = nil, 0
	node, err := consensus.New(n.cfg, n.disk, n.clock(s.now))
	if err != nil {
		s.breach("stuck", "%s does not start: %v", n.cfg.Name, err)
		return
	}
	n.node = node
	s.carry(n)
}

func (s *simulation) tick(n *simNode) {
	if n.node != nil && !n.stopped {
		n.node.Tick(n.clock(s.now))
		s.carry(n)
	}
	s.after(simTick*(0.9+0.2*s.lots.Float64()), func() { s.tick(n) })
}

// carry does what a node wants done. Now and then its process ends before what it wants saved is, or with that saved and
// a part of the messages sent.
func (s *simulation) carry(n *simNode) {
	s.touched = append(s.touched, n)
	out := n.node.Output()
	crash := out.Save != nil && s.now < s.quiet && s.lots.IntN(200) == 0
	if crash && s.lots.IntN(2) == 0 {
		s.crash(n, "killed before a save")
		return
	}
	if out.Save != nil {
		n.disk = out.Save
	}
	if crash {
		out.Messages, out.Results = out.Messages[:s.lots.IntN(len(out.Messages)+1)], nil
		defer s.crash(n, "killed after a save")
	}
	for _, m := range out.Messages {
		s.out.Messages++
		s.noteMessage(m)
		if request, ok := m.Payload.(consensus.LeaseRequest); ok {
			n.sent[request.Nonce] = s.now
		}
		s.pass(m)
	}
	for _, a := range out.Results {
		if begun, ok := s.calls[a.ID]; ok && a.Accepted {
			s.ends = append(s.ends, simEnd{begun, s.now, a.VersionNumber})
			delete(s.calls, a.ID)
		}
	}
}

// noteMessage writes a message to the trace.
func (s *simulation) noteMessage(m consensus.Message) {
	var nonce uint64
	var known int
	switch p := m.Payload.(type) {
	case consensus.LeaseRequest:
		nonce, known = p.Nonce, p.NewestVersion
	case consensus.LeaseGrant:
		nonce = p.Nonce
	}
	s.note("%s>%s %d %d %d", m.From, m.To, m.Payload.Kind(), nonce, known)
}

// crash ends a node's process; it starts again on what was saved.
func (s *simulation) crash(n *simNode, what string) {
	s.out.Faults[what]++
	s.note("%s %s", n.cfg.Name, what)
	n.node = nil
	s.after(s.lasting(min(20+s.lots.ExpFloat64()*150, 4*simLease)), func() {
		if n.node == nil && !n.gone {
			s.start(n)
		}
	})
}

func (s *simulation) pass(m consensus.Message) {
	if m.From == m.To {
		s.after(0, func() { s.deliver(m) })
		return
	}
	if s.cut[[2]string{m.From, m.To}] > 0 || s.lots.Float64() < s.loss {
		return
	}
	copies := 1
	if s.lots.Float64() < 0.02 {
		copies = 2
	}
	for range copies {
		c := m
		if raft, ok := c.Payload.(consensus.RaftMessage); ok {
			c.Payload = consensus.RaftMessage{Raft: proto.CloneOf(raft.Raft)}
		}
		d := 0.5 + s.lots.Float64()*4
		if s.lots.Float64() < 0.01 {
			d += s.lots.Float64() * 2 * simLease // very late: what it says may no longer hold
		}
		s.after(d, func() { s.deliver(c) })
	}
}

func (s *simulation) deliver(m consensus.Message) {
	i := slices.Index(s.names, m.To)
	if i < 0 || s.nodes[i].node == nil {
		return
	}
	n := s.nodes[i]
	if n.stopped {
		if len(n.backlog) < 200 {
			n.backlog = append(n.backlog, m)
		}
		return
	}
	if grant, ok := m.Payload.(consensus.LeaseGrant); ok {
		if at, ok := n.sent[grant.Nonce]; ok {
			n.lease = max(n.lease, at)
		}
	}
	n.node.Receive(n.clock(s.now), m)
	s.carry(n)
}

// propose brings new rules in somewhere.
func (s *simulation) propose() {
	n := s.nodes[s.lots.IntN(len(s.nodes))]
	r := consensus.Rules{}
	if s.lots.IntN(4) > 0 {
		r["class.a.bound_ms"] = float64(100 * (1 + s.lots.IntN(5)))
	}
	if s.lots.IntN(2) > 0 {
		r["class.a.repeat"] = s.lots.IntN(2) == 0
	}
	if s.lots.IntN(2) > 0 {
		r["tries"] = float64(1 + s.lots.IntN(4))
	}
	if s.lots.IntN(4) > 0 {
		r["database.d.group"] = float64(1 + s.lots.IntN(3))
	}
	id := s.lots.Uint64()
	if n.node == nil || n.stopped {
		return
	}
	s.calls[id] = s.now
	if err := n.node.Propose(n.clock(s.now), id, r); err != nil {
		s.breach("order", "good rules are refused: %v", err)
	}
	s.carry(n)
}

// leavers has processes go for good in every third schedule, one or as many as are a minority of the voters. What else
// befalls a schedule is drawn as if they stayed, so that the other schedules are what they were.
func (s *simulation) leavers(seed uint64) {
	lots := rand.New(rand.NewPCG(seed, 0x60))
	if lots.IntN(3) > 0 {
		return
	}
	for range 1 + lots.IntN(s.minority()) {
		n := s.nodes[lots.IntN(len(s.nodes))]
		s.after(100+lots.Float64()*(s.quiet-100), func() { s.leave(n) })
	}
}

// minority is how many voters may be gone, or without their folder, at once.
func (s *simulation) minority() int { return (s.voters - 1) / 2 }

// left is how many voters are gone for good.
func (s *simulation) left() (n int) {
	for _, v := range s.nodes[:s.voters] {
		if v.gone {
			n++
		}
	}
	return n
}

// leave ends a node's process for good, as soon as no voter is without its folder: with that one it could be a majority.
func (s *simulation) leave(n *simNode) {
	voter := slices.Contains(n.cfg.Voters, n.cfg.Name)
	switch {
	case n.gone || s.now >= s.quiet || voter && s.left() == s.minority():
		return
	case voter && s.loose > 0:
		s.after(10*simTick, func() { s.leave(n) })
		return
	}
	s.out.Faults["gone for good"]++
	s.note("%s gone", n.cfg.Name)
	n.gone, n.node, n.stopped, n.backlog = true, nil, false, nil
}

// fault makes one thing go wrong for a while.
func (s *simulation) fault() {
	n := s.nodes[s.lots.IntN(len(s.nodes))]
	voter := slices.Contains(n.cfg.Voters, n.cfg.Name)
	d := 20 + s.lots.ExpFloat64()*150
	d = min(d, 4*simLease)
	switch k := s.lots.IntN(8); k {
	case 0, 1, 2: // killed; it comes back with its folder, without it, or with an old copy that it must not use
		if n.node == nil {
			return
		}
		what := []string{"killed", "killed", "killed, folder lost"}[k]
		if k == 2 && voter {
			if s.loose > 0 || s.left() == s.minority() || !s.whole() {
				what = "killed" // a second one at once would be a majority that is lost, or near it
			} else {
				n.disk = nil
				s.loose++
			}
		}
		s.crash(n, what)
	case 3, 4:
		if n.node == nil || n.stopped {
			return
		}
		s.out.Faults["stopped"]++
		n.stopped = true
		s.after(s.lasting(d+float64(k-3)*3*simLease), func() {
			if n.node == nil || !n.stopped {
				return
			}
			n.stopped = false
			late := n.backlog
			n.backlog = nil
			for _, m := range late {
				s.deliver(m)
			}
		})
	case 5:
		s.out.Faults["partition"]++
		var pairs [][2]string
		side := map[string]bool{}
		for _, x := range s.names {
			side[x] = s.lots.IntN(2) == 0
		}
		both := s.names[s.lots.IntN(len(s.names))] // seen by either side, every other time
		overlap := s.lots.IntN(2) == 0
		for _, a := range s.names {
			for _, b := range s.names {
				if side[a] != side[b] && (!overlap || a != both && b != both) {
					pairs = append(pairs, [2]string{a, b})
				}
			}
		}
		s.sever(pairs, 2*d)
	case 6:
		s.out.Faults["cut one way"]++
		s.sever([][2]string{{n.cfg.Name, s.names[s.lots.IntN(len(s.names))]}}, 2*d)
	case 7:
		s.out.Faults["loss"]++
		s.loss = 0.3
		s.after(d, func() { s.loss = 0 })
	}
}

// lasting is how long a fault lasts: none reaches into the quiet end, by which all has to be well.
func (s *simulation) lasting(d float64) float64 { return min(d, max(10, s.quiet-s.now)) }

func (s *simulation) sever(pairs [][2]string, d float64) {
	for _, p := range pairs {
		s.cut[p]++
	}
	s.after(s.lasting(min(d, 4*simLease)), func() {
		for _, p := range pairs {
			s.cut[p]--
		}
	})
}

// whole says whether every voter that is not gone runs, and counts the present identity of each of these, and no more
// than there are voters.
func (s *simulation) whole() bool {
	for _, n := range s.nodes[:s.voters] {
		switch {
		case n.gone:
			continue
		case n.node == nil || n.disk == nil || len(n.node.Voters()) != s.voters:
			return false
		}
		for _, o := range s.nodes[:s.voters] {
			if o.gone {
				continue
			}
			if o.disk == nil || n.node.Voters()[o.disk.ID] == "" {
				return false
			}
		}
	}
	return true
}

// judge holds what all act on at this moment against each other. What is stricter is said here again, by hand, so that
// the program's own table does not judge it. What nothing happened to acts as before, until its lease runs out.
func (s *simulation) judge() {
	if s.loose > 0 && s.whole() {
		s.loose = 0
	}
	changed := s.touched
	s.touched = nil
	for _, n := range s.nodes {
		if n.node == nil || n.stopped {
			continue
		}
		if !n.node.LeaseExpired(n.clock(s.now)) && s.now > n.lease+simLease*(1+2*simDrift) {
			s.breach("acted_without_lease", "%s asked for the last one that it got %.1f ms ago", n.cfg.Name, s.now-n.lease)
		}
	}
	for _, n := range changed {
		if n.node == nil || n.stopped {
			continue
		}
		s.versions(n)
		a := n.node.Effective(n.clock(s.now))
		same := n.acts != nil && n.acts.LeaseExpired == a.LeaseExpired && slices.Equal(n.acts.Versions, a.Versions)
		n.acts = &a
		if same {
			continue
		}
		if !a.LeaseExpired {
			low := slices.Min(a.Versions)
			if low < n.least {
				s.breach("version_went_back", "%s acts on %v, it was at %d", n.cfg.Name, a.Versions, n.least)
			}
			if len(a.Versions) == 1 && low > s.out.InForce {
				s.out.InForce = low
				s.out.Longest = max(s.out.Longest, s.now-s.logged[low])
			}
			n.least = max(n.least, low)
		}
		for _, o := range s.nodes {
			if o != n && o.node != nil && !o.stopped && o.acts != nil {
				b := o.node.Effective(o.clock(s.now))
				s.compare(n, o, a, b)
				s.compare(o, n, b, a)
			}
		}
	}
}

// versions looks at what is new in a node's log.
func (s *simulation) versions(n *simNode) {
	for _, v := range n.node.Versions() {
		if v.Number <= n.read {
			continue
		}
		n.read = v.Number
		if _, ok := s.logged[v.Number]; !ok {
			s.logged[v.Number] = s.now
		}
		text := fmt.Sprint(v.Rules)
		if was, ok := s.values[v.Number]; ok && was != text {
			s.breach("two_values_one_version", "version %d is %s and %s", v.Number, was, text)
		}
		s.values[v.Number] = text
	}
}

// simKeys are those of the simulation.
var simKeys = proposed{[]string{"class.a.bound_ms", "tries"}, "class.a.repeat", "database.d.group"}

// compare holds what x permits itself against what y's version in force forbids.
func (s *simulation) compare(x, y *simNode, a, b consensus.EffectiveRules) {
	for _, k := range simKeys.contradicts(acted{a.Versions, a.Rules, a.LeaseExpired}, acted{b.Versions, b.Rules, b.LeaseExpired}) {
		s.breach("contradiction", "%s %v has %s %v, %s %v has %v", x.cfg.Name, a.Versions, k, a.Rules[k], y.cfg.Name, b.Versions, b.Rules[k])
	}
}

// end holds the order of answers against that of calls, and what all act on after the quiet end.
func (s *simulation) end() {
	for _, a := range s.ends {
		for _, b := range s.ends {
			if a.ended < b.begun && a.n >= b.n {
				s.breach("order", "version %d was told before %d was proposed", a.n, b.n)
			}
		}
	}
	want := 0
	for _, n := range s.nodes {
		want = max(want, n.least)
	}
	for _, n := range s.nodes {
		if n.gone {
			continue
		}
		if n.node == nil || n.stopped {
			s.breach("stuck", "%s does not run", n.cfg.Name)
			continue
		}
		if a := n.node.Effective(n.clock(s.now)); a.LeaseExpired || len(a.Versions) != 1 || a.Versions[0] != want {
			s.breach("stuck", "%s acts on %v, lapsed %v; %d is in force", n.cfg.Name, a.Versions, a.LeaseExpired, want)
		}
	}
}

// SimulateMany plays schedules seed, seed+1 and so on, on so many cores, until ctx ends. Schedule i has 3 to 7 poolers.
func SimulateMany(ctx context.Context, seed uint64, schedules int, length float64, broken string, cores int) *report.Result {
	g := report.New("cluster simulate", seed, SimulatedChecks...)
	begun := time.Now()
	var next atomic.Int64
	var all sync.WaitGroup
	var longest, over float64
	var versions, messages int
	for range max(1, cores) {
		all.Go(func() {
			for ctx.Err() == nil {
				i := next.Add(1) - 1
				if i >= int64(schedules) {
					return
				}
				o := Simulate(seed+uint64(i), 3+int((seed+uint64(i))%5), length, broken)
				g.Do(func(r *report.Result) {
					for k, n := range o.Broken {
						r.Broken[k] += n
					}
					for k, n := range o.Faults {
						r.Faults[k] += n
					}
					r.Notes = append(r.Notes, o.Notes...)
					r.Notes = r.Notes[:min(20, len(r.Notes))]
					r.Faults["schedules"]++
					versions, messages = versions+o.InForce, messages+o.Messages
					if longest = max(longest, o.Longest); o.Longest > o.Bound {
						over++
					}
				})
			}
		})
	}
	all.Wait()
	g.Do(func(r *report.Result) {
		r.Baseline["versions in force"], r.Baseline["messages"] = float64(versions), float64(messages)
		r.Baseline["longest from log to force, ms"], r.Baseline["schedules over the stated time"] = longest, over
	})
	return g.Result(time.Since(begun).Seconds())
}
