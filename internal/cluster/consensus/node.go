package consensus

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ashstand/internal/cluster/jobs"
)

// Config is what a pooler's own file says. Times are in milliseconds.
type Config struct {
	Name                  string
	Incarnation           uint64   // of the process
	Voters                []string // whom to ask; the log says who votes now
	LeaseMillis           float64  // for so long a pooler acts on what it was told
	ClockDrift            float64  // by how much a clock may run fast or slow, 0.01 for 1 %
	RenewIntervalMillis   float64  // how often a lease is renewed
	ElectionTimeoutMillis float64  // a leader that is silent for so long, or up to twice as long, is replaced
	Limits                Rules    // the strictest that any version may hold: what counts without a lease
	Format                int      // of rules that this program reads
	Seed                  uint64
	Scheduler             jobs.SchedulerConfig // how owners of works are watched
	Break                 string               // what is switched off to see a checker fail; "": nothing
}

// BreakableGuarantees are the words of Config.Break.
var BreakableGuarantees = []string{"lease", "meet", "quorum", "fence"}

// Version is one version of the rules.
type Version struct {
	Number     int    `json:"n"`
	Rules      Rules  `json:"rules"`
	ProposedBy string `json:"by"`
	Format     int    `json:"format"` // the least that reads it
}

// VersionState is what a pooler itself acts on, kept over its restarts so that it never goes back.
type VersionState struct {
	Active  Version  `json:"force"`
	Pending *Version `json:"pending,omitempty"`
	// Seen is the highest token of a work's owner that this pooler was told of.
	HighestToken jobs.FencingToken `json:"seen,omitempty"`
}

// PersistentState is what a node keeps. Whoever runs the node writes it whole, and synced, before any message of the same Output
// goes out or what it holds is acted on. A copy of it must never be given to New: two processes that vote by one
// identity, or one that has forgotten how it voted, can undo what was agreed. Without the true one, New takes nil.
type PersistentState struct {
	ID        uint64 // 0: the node never voted
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // behind it
	Versions  VersionState
}

// MessageKind tells messages apart.
type MessageKind uint8

// The messages.
const (
	KindRaft           MessageKind = iota // between voters
	KindVoterHello                        // a voter by name that the log does not know under its identity
	KindLeaseRequest                      // a pooler asks for its lease
	KindLeaseGrant                        // and gets it
	KindProposal                          // an operator's proposal, by way of any pooler
	KindProposalResult                    // what came of it
	KindLeaderRedirect
	KindJobUpdate // the leader tells what became of works, unasked
)

// Message goes from one pooler to another, by name.
type Message struct {
	From, To string
	Kind     MessageKind
	ID       uint64 // KindVoterHello: the identity; KindProposal, KindProposalResult: the proposal
	Raft     *pb.Message
	Nonce    uint64
	Instance uint64 // of the sender's process
	Known    int    // KindLeaseRequest: the highest version that it acts on, met or alone
	Format   int    // KindLeaseRequest: that its program reads
	For      float64
	Held     VersionState // KindLeaseGrant, and whatever else brings works: in force, and pending
	Version  Version
	OK       bool
	Why      string
	Leader   string // KindLeaderRedirect: who it may be

	Entry   *jobs.Entry         // KindProposal: about a work, instead of a version
	Change  Rules               // KindProposal: of the rules in force, by the work that Entry names; nil values take a key away
	Refused *jobs.RejectedError // KindProposalResult: why an entry changed nothing
	Report  *jobs.Report        // KindLeaseRequest
	Epoch   uint64              // KindLeaseRequest, KindLeaseGrant, KindJobUpdate: which ledger; one that is founded anew has another
	Count   uint64              // KindLeaseRequest: up to which change of the ledger its works are known; KindLeaseGrant, KindJobUpdate: up to which they come
	Works   []jobs.Job          // KindLeaseGrant, KindJobUpdate: those that changed since
}

// Output is what a node wants done, in this order: save, then the rest.
type Output struct {
	Save     *PersistentState // nil: nothing changed
	Messages []Message
	Results  []Message // to proposals that were made here
}

// replicatedState is what the log comes to.
type replicatedState struct {
	Last     int               `json:"last"` // version
	Held     VersionState      `json:"held"`
	Versions []Version         `json:"versions"` // the last few, for operators
	Names    map[uint64]string `json:"names"`    // of voters and learners
	Done     []proposalOutcome `json:"done"`     // proposals, so that one that is sent again counts once
	Epoch    uint64            `json:"epoch,omitempty"`
	Ledger   jobs.StateMachine `json:"ledger"`
}

type proposalOutcome struct {
	ID      uint64              `json:"id"`
	N       int                 `json:"n,omitempty"` // 0: refused, or about a work
	Why     string              `json:"why,omitempty"`
	Work    bool                `json:"work,omitempty"`
	Name    string              `json:"name,omitempty"` // of the work
	Refused *jobs.RejectedError `json:"refused,omitempty"`
}

// logEntry is one line of the log.
type logEntry struct {
	Propose *Version    `json:"propose,omitempty"`
	ID      uint64      `json:"id,omitempty"`
	Force   int         `json:"force,omitempty"`
	Work    *jobs.Entry `json:"work,omitempty"`
	Change  Rules       `json:"change,omitempty"`
}

const (
	versionsKept = 32
	doneKept     = 256
	logKept      = 256 // entries before they are folded into a snapshot
	noncesKept   = 32
	holdersKept  = 4096
	tickShare    = 10 // ticks in an election's time
	heartbeat    = 2  // ticks
)

// Node is one pooler's part in the agreement. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	now  float64
	lots *rand.Rand
	out  Output

	disk  PersistentState
	dirty bool
	store *raft.MemoryStorage // nil: it does not vote
	rn    *raft.RawNode
	st    replicatedState
	done  uint64 // applied
	conf  *pb.ConfState
	ticks float64 // when the next tick is due
	heard float64 // from a leader
	dare  float64 // how long it waits for one
	slow  float64 // how long a save takes, the slowest of late

	leading  bool
	safe     float64                 // from then on no lease of an earlier leader runs
	holders  map[string]*leaseHolder // by name and instance
	waiting  []Message               // renewals that wait for word from a majority
	batch    uint64
	asked    []Message
	askedAt  float64
	ready    uint64 // the batch that may be answered, once the log is applied up to
	readyAt  uint64 // here
	proposed float64
	hellos   map[string]uint64
	seen     map[uint64]string // names of identities that have spoken: one that learns the log knows none

	held    VersionState
	until   float64            // of the own lease
	nonces  map[uint64]float64 // when the last few renewals were sent
	nonce   uint64             // of the last one; each has the next number
	renewAt float64
	leader  string
	turn    int
	mine    map[uint64]Message // proposals without an answer

	desk    *jobs.Scheduler
	askers  map[uint64]string // who waits for what became of an entry
	looked  float64           // when the desk was asked last, and at which count of the ledger
	counted uint64
	report  jobs.Report // of this pooler, as it was told last
	works   works       // as far as they are known here
}

// leaseHolder is a pooler whose lease may still run.
type leaseHolder struct {
	until  float64 // by the leader's clock, the other's drift included
	known  int
	format int
	name   string

	instance uint64
	report   jobs.Report
	told     float64 // when it was told of all works
}

// InitialState is what a voter's folder holds before the first start of a cluster. All voters get the same names, once.
func InitialState(name string, names []string) *PersistentState {
	st := replicatedState{Names: map[uint64]string{}}
	conf := &pb.ConfState{}
	for _, n := range slices.Sorted(slices.Values(names)) {
		st.Names[first(n)] = n
		conf.Voters = append(conf.Voters, first(n))
	}
	data, err := json.Marshal(st)
	if err != nil {
		panic(err) // it holds nothing that could fail
	}
	one := uint64(1)
	return &PersistentState{
		ID: first(name), HardState: &pb.HardState{Term: &one, Commit: &one, Vote: new(uint64)},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: &one, Term: &one}},
	}
}

// first is the identity of a name at the founding.
func first(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() | 1
}

// ActivationBoundMillis is the stated time, in milliseconds: a version that was put into the log is in force on all poolers that can be
// reached, and nobody acts against it, within it, while one leader stays. Leases that run out unconfirmed take the
// longest; a change of the leader in between adds its election and one lease more.
func (c Config) ActivationBoundMillis() (steady, change float64) {
	steady = c.LeaseMillis*c.driftFactor() + 4*c.RenewIntervalMillis + 2*c.ElectionTimeoutMillis/tickShare
	return steady, steady + 2*c.ElectionTimeoutMillis + c.LeaseMillis*c.driftFactor()
}

// driftFactor is how much longer a lease may last by another's slow clock than by one's own fast one.
func (c Config) driftFactor() float64 { return (1 + c.ClockDrift) / (1 - c.ClockDrift) }

// New returns a pooler's node. disk is what it kept; nil: nothing, or nothing that is surely its own.
func New(cfg Config, disk *PersistentState, now float64) (*Node, error) {
	n := &Node{
		cfg: cfg, now: now, lots: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), holders: map[string]*leaseHolder{}, hellos: map[string]uint64{}, seen: map[uint64]string{},
		nonces: map[uint64]float64{}, mine: map[uint64]Message{}, desk: jobs.NewScheduler(cfg.Scheduler), askers: map[uint64]string{}, until: math.Inf(-1), ticks: now, heard: now, renewAt: now,
	}
	if disk != nil {
		n.disk = *disk
		n.held = disk.Versions
	}
	n.nonce = n.lots.Uint64()
	if !slices.Contains(cfg.Voters, cfg.Name) {
		return n, nil
	}
	if n.disk.ID == 0 {
		n.disk.ID = n.lots.Uint64() | 1 // a new identity: this name may have voted before
		n.disk.HardState, n.disk.Snapshot, n.disk.Entries = nil, nil, nil
		n.dirty = true
	}
	n.store = raft.NewMemoryStorage()
	if n.disk.Snapshot != nil {
		if err := n.store.ApplySnapshot(n.disk.Snapshot); err != nil {
			return nil, err
		}
		if err := n.load(n.disk.Snapshot); err != nil {
			return nil, err
		}
	}
	if n.disk.HardState != nil {
		if err := n.store.SetHardState(n.disk.HardState); err != nil {
			return nil, err
		}
	}
	if err := n.store.Append(n.disk.Entries); err != nil {
		return nil, err
	}
	var err error
	n.rn, err = raft.NewRawNode(&raft.Config{
		ID: n.disk.ID, ElectionTick: tickShare, HeartbeatTick: heartbeat, Storage: n.store, Applied: n.done,
		MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, CheckQuorum: true, PreVote: true,
		StepDownOnRemoval: true, Logger: raftLogger{},
	})
	if err != nil {
		return nil, err
	}
	n.daring()
	n.drain()
	return n, nil
}

func (n *Node) load(s *pb.Snapshot) error {
	n.st = replicatedState{}
	if err := json.Unmarshal(s.GetData(), &n.st); err != nil {
		return fmt.Errorf("the kept state can't be read: %w", err)
	}
	n.done, n.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// daring draws how long a silent leader is waited for. The library's own draw can't be played again from a seed, so it
// is never asked to stand by itself.
func (n *Node) daring() { n.dare = n.election() * (1 + n.lots.Float64()) }

// RecordSaveDuration tells how long it took to keep what an Output wanted kept. A voter says nothing meanwhile, so nobody may be
// replaced for being silent for as long as that.
func (n *Node) RecordSaveDuration(took float64) { n.slow = max(took, n.slow-n.slow/8) }

// election is how long a leader may be silent, as the file has it, or four of the slowest saves of late.
func (n *Node) election() float64 { return max(n.cfg.ElectionTimeoutMillis, 4*n.slow) }

// EffectiveRules is what a pooler goes by at a moment.
type EffectiveRules struct {
	Versions     []int `json:"versions"` // one, or the two that meet; without a lease those that it knows of
	Rules        Rules `json:"rules"`
	LeaseExpired bool  `json:"lapsed"` // without a lease
}

// Lease is what a pooler holds on to: a value, so that decisions can ask it without waiting for the node. Its zero value
// holds nothing.
type Lease struct {
	Versions  VersionState
	ExpiresAt float64             // of the lease, by the node's clock
	Jobs      map[string]jobs.Job // as far as they are known here; not to be changed
	limits    Rules
	broken    string
}

// Lease returns what is held now. It may be acted on once what Output wanted saved is.
func (n *Node) Lease() Lease { return Lease{n.held, n.until, n.works.of, n.cfg.Limits, n.cfg.Break} }

// EffectiveKey is what a Grip's rules rest on at a moment: as long as it stays, so do they.
type EffectiveKey struct {
	Active, Pending int // Pending 0: none
	LeaseExpired    bool
}

// EffectiveKey returns it, without meeting any rules.
func (g *Lease) EffectiveKey(now float64) EffectiveKey {
	b := EffectiveKey{Active: g.Versions.Active.Number, LeaseExpired: g.Expired(now)}
	if p := g.Versions.Pending; p != nil {
		b.Pending = p.Number
	}
	return b
}

// Expired says whether a pooler is without a lease.
func (g *Lease) Expired(now float64) bool { return now >= g.ExpiresAt && g.broken != "lease" }

// Effective returns what to go by. Whoever takes a decision asks at that moment: a process that was stopped may have lost
// its lease since it asked last.
func (g *Lease) Effective(now float64) EffectiveRules {
	a := EffectiveRules{Versions: []int{g.Versions.Active.Number}, Rules: g.Versions.Active.Rules}
	if p := g.Versions.Pending; p != nil {
		if a.Versions = append(a.Versions, p.Number); g.broken == "meet" {
			a.Versions, a.Rules = a.Versions[1:], p.Rules
		} else {
			a.Rules = g.meet(a.Rules, p.Rules)
		}
	}
	if g.Expired(now) {
		a.LeaseExpired, a.Rules = true, Strictest(a.Rules, g.limits)
		for name := range g.limits { // what has no order may by now be anything
			if k, ok := findRuleKey(name); ok && k.order == unordered && g.broken != "fence" {
				a.Rules[name] = fencedValue{}
			}
		}
	}
	return a
}

func (g *Lease) meet(a, b Rules) Rules {
	m := Strictest(a, b)
	for name := range m {
		if g.broken == "fence" && m.Fenced(name) { // the newer, though there is no order
			if m[name] = b[name]; b[name] == nil {
				delete(m, name)
			}
		}
	}
	return m
}

// Effective is Grip's at a moment.
func (n *Node) Effective(now float64) EffectiveRules { g := n.Lease(); return g.Effective(now) }

// LeaseExpired is Grip's at a moment.
func (n *Node) LeaseExpired(now float64) bool { g := n.Lease(); return g.Expired(now) }

// IsLeader says whether this node believes to lead.
func (n *Node) IsLeader() bool { return n.leading }

// Voters are the names in the log, with their identities.
func (n *Node) Voters() map[uint64]string { return n.st.Names }

// Versions are the last ones of the log, as far as this node has it.
func (n *Node) Versions() []Version { return n.st.Versions }

// Propose brings rules in; the answer comes in some Output. The identity of a proposal makes it count once.
func (n *Node) Propose(now float64, id uint64, rules Rules) error {
	n.now = max(n.now, now)
	if err := rules.Validate(); err != nil {
		return err
	}
	m := Message{Kind: KindProposal, From: n.cfg.Name, ID: id, Version: Version{Rules: rules, ProposedBy: n.cfg.Name, Format: 1}}
	n.mine[id] = m
	n.ask(m)
	n.drain()
	return nil
}

// ask sends a message to whoever leads, as far as that is known, else to each voter in turn.
func (n *Node) ask(m Message) {
	if m.To = n.leader; m.To == "" && len(n.cfg.Voters) > 0 {
		m.To = n.cfg.Voters[n.turn%len(n.cfg.Voters)]
		n.turn++
	}
	n.send(m)
}

func (n *Node) send(m Message) {
	if m.From, m.Instance = n.cfg.Name, n.cfg.Incarnation; m.To != "" { // to itself as well: whoever carries messages brings it back
		n.out.Messages = append(n.out.Messages, m)
	}
}

// Receive takes a message.
func (n *Node) Receive(now float64, m Message) {
	n.now = max(n.now, now)
	n.take(m)
	n.drain()
}

func (n *Node) take(m Message) {
	switch m.Kind {
	case KindRaft:
		if n.rn == nil || m.Raft == nil || m.Raft.GetTo() != n.disk.ID {
			return // for an earlier identity
		}
		switch m.Raft.GetType() {
		case pb.MessageType_MsgApp, pb.MessageType_MsgHeartbeat, pb.MessageType_MsgSnap:
			n.heard = n.now
		case pb.MessageType_MsgProp, pb.MessageType_MsgReadIndex, pb.MessageType_MsgTransferLeader:
			return // nothing of the kind is passed on between voters
		}
		if len(n.seen) < holdersKept {
			n.seen[m.Raft.GetFrom()] = m.From
		}
		_ = n.rn.Step(m.Raft)
	case KindVoterHello:
		if n.leading && slices.Contains(n.cfg.Voters, m.From) && len(n.hellos) < 64 {
			n.hellos[m.From] = m.ID
		}
	case KindLeaseRequest:
		if !n.leading {
			n.send(Message{To: m.From, Kind: KindLeaderRedirect, Leader: n.lead()})
		} else if len(n.waiting) < holdersKept {
			n.waiting = append(n.waiting, m)
		}
	case KindLeaseGrant:
		n.granted(m)
	case KindJobUpdate:
		n.hear(m)
		n.works.take(m)
	case KindLeaderRedirect:
		if n.leader == m.From || n.leader == "" {
			if n.leader = m.Leader; n.leader == m.From {
				n.leader = ""
			}
		}
	case KindProposal:
		if !n.leading {
			n.send(Message{To: m.From, Kind: KindLeaderRedirect, Leader: n.lead()})
		} else if a, over := n.propose(m); over {
			n.send(a)
		}
	case KindProposalResult:
		if _, ok := n.mine[m.ID]; ok {
			delete(n.mine, m.ID)
			n.hear(m)
			n.works.take(m)
			n.out.Results = append(n.out.Results, m)
		}
	}
}

// lead is the name of the leader that this voter follows; "": none.
func (n *Node) lead() string {
	if n.rn == nil {
		return n.leader
	}
	return n.st.Names[n.rn.BasicStatus().Lead]
}

// propose puts a proposal into the log, or answers it: it was decided, or it can't be taken now.
func (n *Node) propose(m Message) (answer Message, over bool) {
	a := Message{To: m.From, Kind: KindProposalResult, ID: m.ID}
	for _, d := range n.st.Done {
		if d.ID == m.ID {
			return n.answer(m.From, d), true
		}
	}
	if m.Entry != nil && m.Change == nil {
		return n.enter(m)
	}
	if m.Change != nil && (m.Entry == nil || m.Entry.Type != jobs.EntryAuthorize) {
		a.Why = "a change of rules by a work is its act"
		return a, true
	}
	if n.st.Held.Pending != nil {
		a.Why = fmt.Sprintf("version %d is not in force yet", n.st.Held.Pending.Number)
		return a, true
	}
	x := logEntry{Propose: &m.Version, ID: m.ID, Work: m.Entry, Change: m.Change}
	if m.Change != nil {
		m.Version.Rules, m.Version.ProposedBy = m.Change.appliedTo(nil), m.From
		x.Propose = nil
	}
	if a.Why = n.refuse(m.Version); a.Why != "" {
		return a, true
	}
	b, err := json.Marshal(x)
	if err == nil {
		err = n.rn.Propose(b)
	}
	if err != nil {
		a.Why = err.Error()
		return a, true
	}
	n.waits(m)
	return a, false // the proposer is told once it stands in the log, or when it asks again
}

// refuse says why a version can't come into force on this fleet; "": it can.
func (n *Node) refuse(v Version) string {
	if err := v.Rules.Validate(); err != nil {
		return err.Error()
	}
	// Without a lease a pooler goes by the limits; a version that is stricter than these would be broken by it.
	for _, name := range slices.Sorted(maps.Keys(v.Rules)) {
		k, _ := findRuleKey(name)
		if limit, ok := n.cfg.Limits[name]; !ok || k.order != unordered && k.stricter(limit, v.Rules[name]) != limit {
			return name + " is stricter than the limits, which count without a lease, or stands in none"
		}
	}
	var unread []string
	for _, h := range n.holders {
		if h.until > n.now && h.format < v.Format {
			unread = append(unread, h.name)
		}
	}
	if len(unread) > 0 {
		slices.Sort(unread)
		return fmt.Sprintf("the programs of %v can't read format %d", slices.Compact(unread), v.Format)
	}
	return ""
}

// Tick does what is due.
func (n *Node) Tick(now float64) {
	n.now = max(n.now, now)
	if n.rn != nil {
		step := n.election() / tickShare
		if n.now-n.ticks > n.election() { // it was stopped: those ticks did not happen
			n.ticks = n.now - step
		}
		for ; n.ticks+step <= n.now; n.ticks += step {
			if n.leading {
				n.rn.Tick()
			} else {
				n.rn.TickQuiesced()
			}
		}
		if !n.leading && n.now-n.heard > n.dare && n.member() {
			n.heard = n.now
			n.daring()
			_ = n.rn.Campaign()
		}
	}
	if n.now >= n.renewAt {
		n.renewAt = n.now + n.cfg.RenewIntervalMillis*(0.9+0.2*n.lots.Float64())
		n.renew()
		for _, id := range slices.Sorted(maps.Keys(n.mine)) {
			n.ask(n.mine[id])
		}
		if n.rn != nil && !n.member() {
			for _, v := range n.cfg.Voters {
				if v != n.cfg.Name {
					n.send(Message{To: v, Kind: KindVoterHello, ID: n.disk.ID})
				}
			}
		}
	}
	n.drain()
}

// member says whether the log counts this identity among the voters.
func (n *Node) member() bool {
	return n.conf != nil && (slices.Contains(n.conf.GetVoters(), n.disk.ID) || slices.Contains(n.conf.GetVotersOutgoing(), n.disk.ID))
}

func (n *Node) renew() {
	n.nonce++
	n.nonces[n.nonce] = n.now
	delete(n.nonces, n.nonce-noncesKept)
	known := n.held.Active.Number
	if p := n.held.Pending; p != nil {
		known = p.Number
	}
	if n.now >= n.until && n.nonce%3 == 0 {
		n.leader = "" // whoever was thought to lead does not answer
	}
	report := n.report
	report.HighestToken = n.seenToken()
	n.ask(Message{Kind: KindLeaseRequest, Nonce: n.nonce, Known: known, Format: n.cfg.Format, Report: &report, Epoch: n.works.epoch, Count: n.works.count})
}

// granted takes a lease. It runs from when it was asked for, by this node's clock, and brings what there is to act on;
// what was acted on before is never taken back.
func (n *Node) granted(m Message) {
	sent, ok := n.nonces[m.Nonce]
	if !ok {
		return
	}
	n.leader = m.From
	n.hear(m)
	n.until = max(n.until, sent+m.For)
	n.works.take(m)
}

// hear takes the versions that a message brings. What it says of works is no newer than these.
func (n *Node) hear(m Message) {
	h := n.held
	if m.Held.Active.Number > h.Active.Number {
		h.Active = m.Held.Active
	}
	if p := m.Held.Pending; p != nil && (h.Pending == nil || p.Number > h.Pending.Number) {
		h.Pending = p
	}
	if h.Pending != nil && h.Pending.Number <= h.Active.Number {
		h.Pending = nil
	}
	for _, w := range m.Works {
		h.HighestToken = max(h.HighestToken, w.Token)
	}
	if h.HighestToken != n.held.HighestToken {
		n.held.HighestToken, n.dirty = h.HighestToken, true
	}
	if changed := h.Active.Number != n.held.Active.Number || (h.Pending == nil) != (n.held.Pending == nil) ||
		h.Pending != nil && h.Pending.Number != n.held.Pending.Number; changed {
		n.held, n.dirty = h, true
		n.renewAt = n.now // confirm at once
	}
}

// drain does what the library asks for until it asks for no more.
func (n *Node) drain() {
	if n.rn == nil {
		return
	}
	for {
		n.work()
		if !n.rn.HasReady() {
			return
		}
		rd := n.rn.Ready()
		if rd.SoftState != nil {
			n.turned(rd.SoftState.RaftState == raft.StateLeader)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			_ = n.store.ApplySnapshot(rd.Snapshot)
			_ = n.load(rd.Snapshot)
			n.disk.Snapshot, n.disk.Entries, n.dirty = rd.Snapshot, nil, true
		}
		if len(rd.Entries) > 0 {
			_ = n.store.Append(rd.Entries)
			n.dirty = true
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			_ = n.store.SetHardState(rd.HardState)
			n.disk.HardState = rd.HardState
			n.dirty = n.dirty || rd.MustSync // how far the log is decided need not be kept: it is told again
		}
		for _, m := range rd.Messages {
			n.send(Message{To: n.nameOf(m.GetTo()), Kind: KindRaft, Raft: m})
			if m.GetType() == pb.MessageType_MsgSnap {
				n.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
		for _, s := range rd.ReadStates {
			if len(s.RequestCtx) == 8 {
				n.ready, n.readyAt = binary.BigEndian.Uint64(s.RequestCtx), s.Index
			}
		}
		for _, e := range rd.CommittedEntries {
			n.apply(e)
		}
		n.rn.Advance(rd)
	}
}

func (n *Node) nameOf(id uint64) string {
	if name, ok := n.st.Names[id]; ok {
		return name
	}
	return n.seen[id]
}

// turned notes that this node leads, or no longer does.
func (n *Node) turned(leads bool) {
	if leads && !n.leading {
		// Leases of earlier leaders were asked for before this one was chosen, so after one length none runs any more.
		n.safe = n.now + n.cfg.LeaseMillis*n.cfg.driftFactor()
		n.proposed = math.Inf(-1)
	}
	if leads != n.leading {
		clear(n.holders)
		clear(n.hellos)
		clear(n.askers)
		n.desk.Reset()
		n.looked = math.Inf(-1)
		n.waiting, n.asked, n.batch = nil, nil, n.batch+1
	}
	if n.leading = leads; leads {
		n.leader = n.cfg.Name
	}
}

func (n *Node) apply(e *pb.Entry) {
	n.done = e.GetIndex()
	switch e.GetType() {
	case pb.EntryType_EntryNormal:
		var x logEntry
		if len(e.GetData()) > 0 && json.Unmarshal(e.GetData(), &x) == nil {
			n.decide(x)
		}
	case pb.EntryType_EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err == nil {
			n.conf = n.rn.ApplyConfChange(cc)
			var who struct {
				Name string
				ID   uint64
			}
			if json.Unmarshal(cc.GetContext(), &who) == nil && who.ID != 0 {
				n.st.Names[who.ID] = who.Name
			}
			in := slices.Concat(n.conf.GetVoters(), n.conf.GetVotersOutgoing(), n.conf.GetLearners(), n.conf.GetLearnersNext())
			maps.DeleteFunc(n.st.Names, func(id uint64, _ string) bool { return !slices.Contains(in, id) })
			n.fold() // the library takes no snapshot from before it was in, so one that learns needs this one
		}
	}
}

// decide is what each line of the log means; it must come out alike everywhere.
func (n *Node) decide(x logEntry) {
	switch p := n.st.Held.Pending; {
	case x.Propose != nil:
		if slices.ContainsFunc(n.st.Done, func(d proposalOutcome) bool { return d.ID == x.ID }) {
			return // it was sent twice
		}
		d := proposalOutcome{ID: x.ID}
		if p != nil {
			d.Why = fmt.Sprintf("version %d came first and is not in force yet", p.Number)
		} else {
			d.N = n.version(*x.Propose)
		}
		n.finish(d)
	case x.Work != nil:
		if !slices.ContainsFunc(n.st.Done, func(d proposalOutcome) bool { return d.ID == x.ID }) {
			n.finish(n.settle(x))
		}
	case x.Force > 0:
		if p != nil && p.Number == x.Force {
			n.st.Held = VersionState{Active: *p}
		}
	}
}

// work is the leader's: leases, versions into force, voters that come under a new identity.
func (n *Node) work() {
	if !n.leading {
		return
	}
	n.lend()
	for k, h := range n.holders {
		if h.until <= n.now {
			delete(n.holders, k)
		}
	}
	if p := n.st.Held.Pending; p != nil && n.now-n.proposed > n.election() && n.confirmed(p.Number) {
		if b, err := json.Marshal(logEntry{Force: p.Number}); err == nil && n.rn.Propose(b) == nil {
			n.proposed = n.now
		}
	}
	n.adopt()
	n.appoint()
}

// confirmed says whether every pooler whose lease may still run acts on a version already, met with the one before.
func (n *Node) confirmed(v int) bool {
	if n.cfg.Break == "quorum" {
		return true
	}
	if n.now < n.safe {
		return false
	}
	for _, h := range n.holders {
		if h.known < v {
			return false
		}
	}
	return true
}

// lend answers renewals: a batch at a time, once a majority has said, after they came, that this node still leads.
func (n *Node) lend() {
	if n.asked != nil && n.ready == n.batch && n.done >= n.readyAt {
		for _, m := range n.asked {
			n.grant(m)
		}
		n.asked = nil
	}
	if n.asked != nil && n.now-n.askedAt > n.election() {
		n.asked = nil // the word got lost; who waited asks again
	}
	if n.asked == nil && len(n.waiting) > 0 {
		n.asked, n.waiting, n.askedAt = n.waiting, nil, n.now
		n.batch++
		if n.cfg.Break == "quorum" {
			n.ready, n.readyAt = n.batch, 0
			for _, m := range n.asked {
				n.grant(m)
			}
			n.asked = nil
			return
		}
		n.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, n.batch))
	}
}

func (n *Node) grant(m Message) {
	k := fmt.Sprintf("%s/%x", m.From, m.Instance)
	h := n.holders[k]
	if h == nil {
		if len(n.holders) >= holdersKept {
			return
		}
		h = &leaseHolder{name: m.From, until: math.Inf(-1), told: math.Inf(-1)}
		n.holders[k] = h
	}
	h.known, h.format = max(h.known, m.Known), m.Format
	if h.instance = m.Instance; m.Report != nil {
		h.report = *m.Report
		n.desk.ObserveReport(h.report)
	}
	h.until = max(h.until, n.now+n.cfg.LeaseMillis*n.cfg.driftFactor())
	g := Message{To: m.From, Kind: KindLeaseGrant, Nonce: m.Nonce, For: n.cfg.LeaseMillis, Held: n.st.Held}
	n.tell(&g, m, h)
	n.send(g)
}

// adopt takes a voter that lost its folder in under its new identity: first it learns the log, then it replaces the old
// identity in one step that both majorities agree to.
func (n *Node) adopt() {
	if n.conf == nil || len(n.conf.GetVotersOutgoing()) > 0 {
		return // a change is under way
	}
	for _, name := range slices.Sorted(maps.Keys(n.hellos)) {
		id := n.hellos[name]
		if slices.Contains(n.conf.GetVoters(), id) {
			delete(n.hellos, name)
			continue
		}
		typ := func(t pb.ConfChangeType) *pb.ConfChangeType { return &t }
		cc := &pb.ConfChangeV2{}
		if !slices.Contains(n.conf.GetLearners(), id) {
			cc.Changes = []*pb.ConfChangeSingle{{Type: typ(pb.ConfChangeType_ConfChangeAddLearnerNode), NodeId: &id}}
		} else if pr, ok := n.rn.Status().Progress[id]; ok && pr.Match+2 >= n.done {
			cc.Changes = []*pb.ConfChangeSingle{{Type: typ(pb.ConfChangeType_ConfChangeAddNode), NodeId: &id}}
			for old, of := range n.st.Names {
				if of == name && old != id {
					cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: typ(pb.ConfChangeType_ConfChangeRemoveNode), NodeId: &old})
				}
			}
			slices.SortFunc(cc.Changes, func(a, b *pb.ConfChangeSingle) int { return cmp.Compare(a.GetNodeId(), b.GetNodeId()) })
		} else {
			continue
		}
		cc.Context, _ = json.Marshal(map[string]any{"Name": name, "ID": id})
		_ = n.rn.ProposeConfChange(cc) // one that is refused is made again at the next hello
		delete(n.hellos, name)
		return
	}
}

// Output hands over what is to be done.
func (n *Node) Output() Output {
	if n.dirty {
		n.keep()
		n.dirty = false
		d := n.disk
		n.out.Save = &d
	}
	out := n.out
	n.out = Output{}
	return out
}

// keep brings the disk up to date, with old entries folded into a snapshot.
func (n *Node) keep() {
	n.disk.Versions = n.held
	if n.store == nil {
		return
	}
	from, _ := n.store.FirstIndex()
	to, _ := n.store.LastIndex()
	if n.done >= from+logKept {
		n.fold()
		from = n.done + 1
	}
	n.disk.Entries = nil
	if to >= from {
		n.disk.Entries, _ = n.store.Entries(from, to+1, math.MaxUint64)
	}
}

// fold makes a snapshot of what the log has come to; older entries go.
func (n *Node) fold() {
	data, err := json.Marshal(n.st)
	if err != nil || n.conf == nil {
		return
	}
	if s, err := n.store.CreateSnapshot(n.done, n.conf, data); err == nil {
		n.disk.Snapshot, n.dirty = s, true // who starts again must not fall back to voters that are gone by now
		_ = n.store.Compact(n.done)
	}
}
