package membership

import (
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/transport"
)

// randomStream selects this package's own stream of random numbers, so that they are independent of those
// that other packages draw with the same seed.
const randomStream = 0x6d656d

// Gossip keeps a Table up to date with the other members. Its methods are safe for concurrent use.
type Gossip struct {
	random  *rand.Rand // used by the watcher only
	keyring *memberlist.Keyring
	closing chan struct{}  // closed by Stop
	watcher sync.WaitGroup // the goroutine of watch
	senders sync.WaitGroup // goroutines started by startSender

	// mu guards the fields from here to nameHolder. Of options, only Self.Address, Self.State and Peers change.
	mu         sync.Mutex
	options    Options
	table      *Table
	list       *memberlist.Memberlist // nil if it is closed or the name is lost
	transport  *transportAdapter
	nameLostAt float64 // when the name was lost, Unix milliseconds; 0 if it is held
	nameHolder Info    // the incarnation that holds the lost name

	undecodable       atomic.Int64 // messages that memberlist could not read
	malformedMessages atomic.Int64 // messages and member information that this package could not read
	joins             atomic.Int64
	joinAttempts      atomic.Int64
	outgoingStreams   sync.Map // maps a peer's name to the *atomic.Int64 count of messages in flight to it
}

// Start opens the sockets and begins to join the configured peers, without waiting for any. The caller must
// call Stop.
func Start(o Options) (*Gossip, error) {
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	keyring, err := memberlist.NewKeyring(o.Keys, o.Keys[0])
	if err != nil {
		return nil, fmt.Errorf("cluster: keys: %w", err)
	}
	g := &Gossip{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, randomStream)),
		keyring: keyring,
		closing: make(chan struct{}),
	}
	if err := g.open(); err != nil {
		return nil, err
	}
	g.watcher.Go(g.watch)
	return g, nil
}

// open starts memberlist with a new table.
func (g *Gossip) open() error {
	adapter := &transportAdapter{
		packets: make(chan *memberlist.Packet, packetQueueCapacity),
		streams: make(chan net.Conn, streamQueueCapacity),
	}
	var err error
	if adapter.Transport, err = transport.Listen(g.options.Listen, g.options.Peers, adapter); err != nil {
		return err
	}
	g.mu.Lock()
	g.options.Self.Address = adapter.Address().String()
	g.table = NewTable(g.options.Self, g.options.MaxMembers, g.options.Clock.Now())
	g.table.allowNameConflicts = g.options.DisabledGuarantee == disableNameOwnership
	g.transport, g.nameLostAt = adapter, 0
	g.mu.Unlock()
	list, err := memberlist.Create(g.memberlistConfig(adapter))
	if err != nil {
		adapter.Close()
		return fmt.Errorf("cluster: %w", err)
	}
	g.mu.Lock()
	g.list = list
	g.mu.Unlock()
	return nil
}

func (g *Gossip) memberlistConfig(adapter *transportAdapter) *memberlist.Config {
	probe := g.options.ProbeInterval
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Keyring = g.options.Self.Name, adapter, g.keyring
	c.BindAddr, c.BindPort = adapter.Address().IP.String(), adapter.Address().Port
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	c.ProbeInterval, c.ProbeTimeout = probe, probe/probeTimeoutDivisor
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxMult
	c.GossipInterval = probe / gossipDivisor
	c.PushPullInterval = pushPullMult * probe
	c.TCPTimeout = streamTimeout
	c.GossipToTheDeadTime = gossipToDeadMult * probe
	c.DeadNodeReclaimTime = time.Millisecond // short: Table.Admit has decided already who may reuse a name
	c.UDPBufferSize, c.HandoffQueueDepth = udpBufferBytes, handoffQueueDepth
	c.EnableCompression = false // messages are short, and encrypted bytes do not compress
	c.DelegateProtocolMin, c.DelegateProtocolMax, c.DelegateProtocolVersion = 1, 1, 1
	d := (*delegate)(g)
	c.Delegate, c.Alive, c.Merge, c.Events, c.Conflict = d, d, d, d, d
	c.Logger = log.New(&memberlistLogWriter{undecodable: &g.undecodable}, "", 0)
	return c
}

// SetState changes the state that this member reports about itself. It does not wait until the other members
// know it.
func (g *Gossip) SetState(s State) {
	if !g.setOwnState(s) {
		return
	}
	g.startSender(func(list *memberlist.Memberlist) {
		_ = list.UpdateNode(g.options.ProbeInterval) // after a timeout, the next state exchange still spreads the update
	})
	g.notifyChanges()
}

func (g *Gossip) setOwnState(s State) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.options.Self.State == s {
		return false
	}
	g.options.Self.State = s
	g.table.SetState(s, g.options.Clock.Now())
	return true
}

// SetPeers replaces the configured addresses of the other members, by name.
func (g *Gossip) SetPeers(peers map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.options.Peers = peers
	g.transport.SetPeers(peers)
}

// Stop announces that this member leaves, so that the others need not detect a failure, closes the sockets
// and waits for all goroutines.
func (g *Gossip) Stop() {
	close(g.closing)
	g.watcher.Wait()
	g.mu.Lock()
	list := g.list
	g.list = nil
	g.mu.Unlock()
	if list != nil {
		_ = list.Leave(leaveTimeout) // members that the announcement does not reach detect a failure instead
		_ = list.Shutdown()
	}
	g.senders.Wait()
}

// activeList returns the running memberlist, or nil if it is closed.
func (g *Gossip) activeList() *memberlist.Memberlist {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list
}

// startSender runs send in a goroutine that Stop waits for. It reports false if memberlist is closed.
func (g *Gossip) startSender(send func(*memberlist.Memberlist)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.list
	if list == nil {
		return false
	}
	g.senders.Go(func() { send(list) })
	return true
}

// notifyChanges passes the pending changes of the table to Options.OnChange.
func (g *Gossip) notifyChanges() {
	g.mu.Lock()
	changes := g.table.TakeChanges()
	g.mu.Unlock()
	if g.options.OnChange != nil && len(changes) > 0 {
		g.options.OnChange(changes)
	}
}
