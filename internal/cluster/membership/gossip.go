package membership

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/transport"
)

// Options are what the operator's file says.
type Options struct {
	Self          Info
	Listen        string
	Peers         map[string]string // address by name, in this pooler's own view
	Keys          [][]byte          // the first encrypts, all decrypt
	MaxMembers    int               // members
	ProbeInterval time.Duration     // how often one member is asked whether it is there
	Seed          uint64
	Clock         clock.Clock
	OnChange      func([]Change) // told of each change of view, in order; nil: nobody
	OnMessage     func(b []byte) // takes what another member sends by Send; it must not wait; nil: nobody
	Break         string         // what is switched off to see a checker fail; "": nothing
}

// Breakable are the words of Options.Break.
var Breakable = []string{"names", "rejoin"}

const (
	// watchPace is how often the table is brought up to what the gossip knows, in milliseconds: far below a probe.
	watchPace = 100 * time.Millisecond
	// joinFirst and joinMost pace the calls to members of the file that are not in sight: doubled, half of it drawn.
	joinFirst = 500 * time.Millisecond
	joinMost  = 4 * time.Second
	// refusedPause is how long an instance whose name is held stays away.
	refusedPause = 10 * time.Second
	// streamTimeout bounds one exchange of the whole state.
	streamTimeout = 3 * time.Second
	// datagramMost is the longest message that goes as a datagram, in bytes: with what encryption adds it stays under the
	// usual path's limit. streamsOut is how many longer ones may be on their way to one member at once: with a
	// bound over all, a member whose link stalls would use up the streams to the others.
	datagramMost = 1200
	streamsOut   = 8
	// waiting is how many datagrams may wait to be read; more are dropped, as a socket would.
	waiting = 512
)

// ConvergenceBoundMillis is the stated time, in milliseconds: within it every member that is reached both ways by one that knows of a
// change knows of it too, and a member that is not reached by anybody is gone at all. It follows from the library's own
// timing: a probe round over all members (n probes, an interval each, and as much again while this member doubts itself),
// the longest suspicion (6 times 4 times log10 of n, at least 1, intervals), then gossip, and for the healing of a
// partition the longest pause between calls to a member out of sight, twice, since one call may be lost.
func ConvergenceBoundMillis(n int, probe time.Duration) float64 {
	interval := clock.Millis(probe)
	suspicion := suspicionMult * max(1, math.Log10(float64(max(1, n)))) * suspicionMax * interval
	return 2*float64(max(2, n))*interval + suspicion + 2*clock.Millis(joinMost) + clock.Millis(streamTimeout)
}

const (
	suspicionMult = 4
	suspicionMax  = 6
)

// Gossip keeps a Table up to date with the other members. All of its methods are safe for concurrent use.
type Gossip struct {
	options Options
	lots    *rand.Rand // of the watcher alone
	keyring *memberlist.Keyring
	mu      sync.Mutex // of table, list and below
	table   *Table
	list    *memberlist.Memberlist // nil: the name is refused
	wire    *wire
	refused float64 // since when; 0: it is not
	holder  Info
	closing chan struct{}
	done    sync.WaitGroup

	garbage           atomic.Int64 // messages that could not be read
	malformedMessages atomic.Int64 // words of members that make no sense
	joins             atomic.Int64
	streams           sync.Map // by name, *atomic.Int64: those that bring messages of ours out now; names are the file's
	heal              atomic.Int64
}

// Start opens the sockets and begins to look for members. It never waits for them.
func Start(o Options) (*Gossip, error) {
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	g := &Gossip{options: o, lots: rand.New(rand.NewPCG(o.Seed, 0x6d656d)), closing: make(chan struct{})}
	var err error
	if g.keyring, err = memberlist.NewKeyring(o.Keys, o.Keys[0]); err != nil {
		return nil, fmt.Errorf("cluster: keys: %w", err)
	}
	if err := g.open(); err != nil {
		return nil, err
	}
	g.done.Go(g.watch)
	return g, nil
}

// open starts the library with a fresh table.
func (g *Gossip) open() error {
	w := &wire{packets: make(chan *memberlist.Packet, waiting), streams: make(chan net.Conn, 8)}
	var err error
	if w.Transport, err = transport.Listen(g.options.Listen, g.options.Peers, w); err != nil {
		return err
	}
	g.mu.Lock()
	g.options.Self.Address = w.Address().String()
	table := NewTable(g.options.Self, g.options.MaxMembers, g.options.Clock.Now())
	table.loose = g.options.Break == "names"
	g.table, g.wire, g.refused = table, w, 0
	g.mu.Unlock()
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Keyring = g.options.Self.Name, w, g.keyring
	c.BindAddr, c.BindPort = w.Address().IP.String(), w.Address().Port
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	c.ProbeInterval, c.ProbeTimeout = g.options.ProbeInterval, g.options.ProbeInterval/2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMult, suspicionMax
	c.GossipInterval = g.options.ProbeInterval / 5
	c.PushPullInterval = 15 * g.options.ProbeInterval
	c.TCPTimeout = streamTimeout
	c.GossipToTheDeadTime = 30 * g.options.ProbeInterval
	c.DeadNodeReclaimTime = time.Millisecond // Claim has decided by then
	c.UDPBufferSize, c.HandoffQueueDepth = 1350, 1024
	c.EnableCompression = false // what is said is short, and encrypted bytes don't shrink
	c.DelegateProtocolMin, c.DelegateProtocolMax, c.DelegateProtocolVersion = 1, 1, 1
	c.Delegate, c.Alive, c.Merge, c.Events, c.Conflict = (*delegate)(g), (*delegate)(g), (*delegate)(g), (*delegate)(g), (*delegate)(g)
	c.Logger = log.New(logger{g}, "", 0)
	list, err := memberlist.Create(c)
	if err != nil {
		w.Transport.Close()
		return fmt.Errorf("cluster: %w", err)
	}
	g.mu.Lock()
	g.list = list
	g.mu.Unlock()
	return nil
}

// SetState changes what this member says of itself.
func (g *Gossip) SetState(s State) {
	g.mu.Lock()
	if g.options.Self.State == s {
		g.mu.Unlock()
		return
	}
	g.options.Self.State = s
	g.table.SetState(s, g.options.Clock.Now())
	list := g.list
	g.mu.Unlock()
	if list != nil {
		go func() { _ = list.UpdateNode(g.options.ProbeInterval) }() // it waits until that is sent on; whoever calls need not
	}
	g.tell()
}

// RotateKeys takes other keys: the first encrypts from now on, and only those given decrypt.
func (g *Gossip) RotateKeys(keys [][]byte) error {
	for _, k := range keys {
		if err := g.keyring.AddKey(k); err != nil {
			return err
		}
	}
	if err := g.keyring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range g.keyring.GetKeys() {
		if !slices.ContainsFunc(keys, func(k []byte) bool { return bytes.Equal(k, old) }) {
			if err := g.keyring.RemoveKey(old); err != nil {
				return err
			}
		}
	}
	return nil
}

// SetPeers takes other addresses of members.
func (g *Gossip) SetPeers(peers map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.options.Peers = peers
	g.wire.SetPeers(peers)
}

// Stop leaves, so that the others need not find out, and closes the sockets.
func (g *Gossip) Stop() {
	close(g.closing)
	g.done.Wait()
	g.mu.Lock()
	list := g.list
	g.list = nil
	g.mu.Unlock()
	if list != nil {
		_ = list.Leave(500 * time.Millisecond)
		_ = list.Shutdown()
	}
}

// Send brings bytes to a member at its address in the file, whether it is believed to be there or not. Short ones go as
// datagrams and may get lost, come twice or late; longer ones by a stream of their own. It does not wait.
func (g *Gossip) Send(name string, b []byte) {
	g.mu.Lock()
	list, address := g.list, g.options.Peers[name]
	g.mu.Unlock()
	if list == nil || address == "" {
		return
	}
	text := append([]byte{kindPayload}, b...)
	if len(text) <= datagramMost {
		_ = list.SendToAddress(memberlist.Address{Addr: address, Name: name}, text)
		return
	}
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return
	}
	held, _ := g.streams.LoadOrStore(name, new(atomic.Int64))
	out := held.(*atomic.Int64)
	if out.Add(1) > streamsOut {
		out.Add(-1)
		return
	}
	go func() {
		defer out.Add(-1)
		_ = list.SendReliable(&memberlist.Node{Name: name, Addr: at.IP, Port: uint16(at.Port)}, text)
	}()
}

// View is what operators see.
type View struct {
	Self              Info             `json:"self"`
	NameHolder        *Info            `json:"refused,omitempty"` // who holds this instance's name
	Members           []Member         `json:"members"`
	NameConflicts     []NameConflict   `json:"twins"`
	ConvergenceMillis float64          `json:"bound_ms"`
	Formats           [2]int           `json:"formats"` // that all read
	Incompatible      []string         `json:"apart,omitempty"`
	Counters          map[string]int64 `json:"counters"`
}

// View returns it.
func (g *Gossip) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := View{
		Self: g.options.Self, Members: g.table.Members(), NameConflicts: g.table.NameConflicts(), ConvergenceMillis: ConvergenceBoundMillis(len(g.options.Peers)+1, g.options.ProbeInterval),
		Counters: g.wire.Counters.Snapshot(),
	}
	if g.refused > 0 {
		v.NameHolder = &g.holder
	}
	v.Formats[0], v.Formats[1], v.Incompatible = g.table.CommonFormats()
	for name, n := range map[string]*atomic.Int64{"garbage": &g.garbage, "foreign": &g.malformedMessages, "joins": &g.joins, "calls": &g.heal} {
		v.Counters[name] = n.Load()
	}
	return v
}

// tell passes changes of view on.
func (g *Gossip) tell() {
	g.mu.Lock()
	changes := g.table.TakeChanges()
	g.mu.Unlock()
	if g.options.OnChange != nil && len(changes) > 0 {
		g.options.OnChange(changes)
	}
}

// watch brings the table up to date, calls members that are out of sight, and gives a name up that is held.
func (g *Gossip) watch() {
	pace := time.NewTicker(watchPace)
	defer pace.Stop()
	next, wait := 0.0, joinFirst
	for {
		select {
		case <-g.closing:
			return
		case <-pace.C:
		}
		now := g.options.Clock.Now()
		if g.away(now) {
			continue
		}
		g.refresh(now)
		g.tell()
		missing := g.missing()
		switch {
		case len(missing) == 0:
			next, wait = 0, joinFirst
		case now >= next && g.options.Break != "rejoin":
			g.call(missing)
			next = g.options.Clock.Now() + clock.Millis(wait)*(1+g.lots.Float64())/2
			wait = min(joinMost, 2*wait)
		}
	}
}

// away deals with a name that another instance holds: this one closes its sockets and comes back after a while.
func (g *Gossip) away(now float64) bool {
	g.mu.Lock()
	holder, refused := g.table.NameHolder()
	since, list := g.refused, g.list
	if refused && since == 0 {
		g.refused, g.holder, g.list = now, holder, nil
	}
	g.mu.Unlock()
	switch {
	case !refused:
		return false
	case since == 0:
		slog.Error(fmt.Sprintf("cluster: the name %q is held by instance %016x at %s, which started first; this one stays out of the cluster for %v",
			holder.Name, holder.Incarnation, holder.Address, refusedPause))
		if list != nil {
			_ = list.Shutdown() // without a word: to leave would be said of the name
		}
	case now-since > clock.Millis(refusedPause):
		if err := g.open(); err != nil {
			slog.Error(err.Error())
			g.mu.Lock()
			g.refused = now
			g.mu.Unlock()
		}
	}
	return true
}

// refresh takes suspicions over, which the library does not announce.
func (g *Gossip) refresh(now float64) {
	g.mu.Lock()
	list := g.list
	g.mu.Unlock()
	if list == nil {
		return
	}
	nodes := list.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range nodes {
		if i, err := DecodeInfo(n.Name, n.Address(), n.Meta); err == nil {
			g.table.Observe(i, true, n.State == memberlist.StateSuspect, now)
		}
	}
	g.table.Tick(now)
}

// missing are members of the file that are not in sight.
func (g *Gossip) missing() (names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	there := map[string]bool{g.options.Self.Name: true}
	for _, m := range g.table.Members() {
		there[m.Name] = there[m.Name] || m.State != Dead
	}
	for name := range g.options.Peers {
		if !there[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// call exchanges the whole state with one member that is out of sight, drawn: who answers knows the others.
func (g *Gossip) call(names []string) {
	name := names[g.lots.IntN(len(names))]
	g.mu.Lock()
	list, address := g.list, g.options.Peers[name]
	g.mu.Unlock()
	if list == nil {
		return
	}
	g.heal.Add(1)
	if n, _ := list.Join([]string{name + "/" + address}); n > 0 {
		g.joins.Add(1)
	}
}

// wire is the transport as the library has it.
type wire struct {
	*transport.Transport
	packets chan *memberlist.Packet
	streams chan net.Conn
}

var _ memberlist.NodeAwareTransport = (*wire)(nil)

func (w *wire) HandlePacket(b []byte, from net.Addr, at time.Time) bool {
	select {
	case w.packets <- &memberlist.Packet{Buf: bytes.Clone(b), From: from, Timestamp: at}:
		return true
	default:
		return false
	}
}

func (w *wire) HandleStream(c net.Conn) bool {
	select {
	case w.streams <- c:
		return true
	default:
		return false
	}
}

func (w *wire) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return w.Address().IP, w.Address().Port, nil
}

func (w *wire) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (w *wire) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return time.Now(), w.Send(a.Name, a.Addr, b)
}

func (w *wire) PacketCh() <-chan *memberlist.Packet { return w.packets }

func (w *wire) StreamCh() <-chan net.Conn { return w.streams }

func (w *wire) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (w *wire) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return w.Dial(a.Name, a.Addr, timeout)
}

func (w *wire) Shutdown() error {
	w.Transport.Close()
	return nil
}

// delegate is the side of Gossip that the library calls.
type delegate Gossip

// The kinds of messages of our own between members: the first byte.
const (
	kindNameConflict = 1
	kindPayload      = 2
)

// NodeMeta is what this member says of itself.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, err := d.options.Self.Encode(limit)
	if err != nil { // the bounds of its parts leave room for all
		slog.Error("cluster: " + err.Error())
	}
	return b
}

// claim checks a word of any origin against the table.
func (d *delegate) claim(n *memberlist.Node) error {
	i, err := DecodeInfo(n.Name, n.Address(), n.Meta)
	if err != nil {
		d.malformedMessages.Add(1)
		return err
	}
	held, due, err := d.check(i)
	if due && i.Name != d.options.Self.Name { // tell both: each may have heard nothing of the other
		d.mu.Lock()
		list := d.list
		d.mu.Unlock()
		if list != nil {
			go sendNameConflict(list, held, i)
			go sendNameConflict(list, i, held)
		}
	}
	return err
}

// check holds an instance against the table and logs what is new of a name that comes twice. due: the two have to be told.
func (d *delegate) check(i Info) (held Info, due bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	if err = d.table.Admit(i, now); !errors.Is(err, ErrNameConflict) {
		return held, false, err
	}
	due, first := d.table.ShouldNotify(i.Name, now)
	if first {
		slog.Warn("cluster: " + err.Error())
	}
	if m := d.table.members[i.Name]; m != nil {
		held = m.Info
	}
	return held, due, err
}

// sendNameConflict tells an instance of another one of its name. It goes to where that instance says that it listens, since the
// name leads to one of the two alone.
func sendNameConflict(list *memberlist.Memberlist, to, twin Info) {
	b, err := twin.Encode(math.MaxInt)
	if err != nil {
		return
	}
	at, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return
	}
	text := append([]byte{kindNameConflict}, strconv.Quote(twin.Name)+" "+strconv.Quote(twin.Address)+" "...)
	_ = list.SendToAddress(memberlist.Address{Addr: at.String()}, append(text, b...))
}

// NotifyMsg takes a message of our own.
func (d *delegate) NotifyMsg(b []byte) {
	if len(b) > 1 && b[0] == kindPayload && d.options.OnMessage != nil {
		d.options.OnMessage(bytes.Clone(b[1:]))
		return
	}
	if len(b) < 2 || b[0] != kindNameConflict {
		d.malformedMessages.Add(1)
		return
	}
	rest := string(b[1:])
	var words [2]string
	for i := range words {
		q, err := strconv.QuotedPrefix(rest)
		if err != nil {
			d.malformedMessages.Add(1)
			return
		}
		words[i], _ = strconv.Unquote(q)
		rest = strings.TrimPrefix(rest[len(q):], " ")
	}
	twin, err := DecodeInfo(words[0], words[1], []byte(rest))
	if err != nil || twin.Name != d.options.Self.Name {
		d.malformedMessages.Add(1)
		return
	}
	_, _, _ = d.check(twin)
}

func (d *delegate) GetBroadcasts(int, int) [][]byte      { return nil }
func (d *delegate) LocalState(bool) []byte               { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)        {}
func (d *delegate) NotifyAlive(n *memberlist.Node) error { return d.claim(n) }

// NotifyMerge is asked before a first exchange of the whole state counts.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if n.State == memberlist.StateDead || n.State == memberlist.StateLeft {
			continue
		}
		if err := d.claim(n); errors.Is(err, ErrNameConflict) && n.Name == d.options.Self.Name {
			return err
		}
	}
	return nil
}

// NotifyConflict is the library's own word for what Claim has refused before.
func (d *delegate) NotifyConflict(_, other *memberlist.Node) { _ = d.claim(other) }

func (d *delegate) hear(n *memberlist.Node, alive bool) {
	i, err := DecodeInfo(n.Name, n.Address(), n.Meta)
	if err != nil {
		return
	}
	d.mu.Lock()
	d.table.Observe(i, alive, false, d.options.Clock.Now())
	d.mu.Unlock()
}

func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.hear(n, true) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.hear(n, true) }
func (d *delegate) NotifyLeave(n *memberlist.Node)  { d.hear(n, false) }

// logger takes the library's lines: what could not be read is counted, the rest is for debugging.
type logger struct{ g *Gossip }

func (l logger) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if strings.Contains(line, "ecrypt") || strings.Contains(line, "msg type") || strings.Contains(line, "ecode") {
		l.g.garbage.Add(1)
	}
	slog.Debug("cluster: " + line)
	return len(b), nil
}

// ReadKeys reads a key file: a key a line, base64 of 16, 24 or 32 bytes; empty lines and those that begin with # don't
// count. Errors name file and line.
func ReadKeys(path string) (keys [][]byte, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, 64<<10))
	if err != nil {
		return nil, err
	}
	for n, line := range strings.Split(string(b), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		k, err := base64.StdEncoding.DecodeString(line)
		if err == nil {
			err = memberlist.ValidateKey(k)
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: no key: a line is the base64 of 16, 24 or 32 bytes", path, n+1)
		}
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: it holds no key", path)
	}
	return keys, nil
}
