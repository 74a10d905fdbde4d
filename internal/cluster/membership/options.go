package membership

import (
	"math"
	"time"

	"ashstand/internal/clock"
)

// Options configure a Gossip.
type Options struct {
	Self Info
	// Listen is the address of the sockets, for TCP and UDP alike.
	Listen string
	// Peers holds the addresses of the other members by name, as this pooler reaches them.
	Peers map[string]string
	// Keys are the encryption keys. The first one encrypts; all of them decrypt.
	Keys       [][]byte
	MaxMembers int
	// ProbeInterval is the time between two probes. Each of them probes one member.
	ProbeInterval time.Duration
	Seed          uint64
	// Clock defaults to the system clock.
	Clock clock.Clock
	// OnChange receives every change of the member table, in order. It may be nil.
	OnChange func([]Change)
	// OnMessage receives the bytes that another member passes to Send. It must not block. It may be nil.
	OnMessage func(b []byte)
	// DisabledGuarantee names a guarantee to disable, so that a test can see its checker fail. Empty disables none.
	DisabledGuarantee string
}

// The guarantees that Options.DisabledGuarantee can disable.
const (
	disableNameOwnership = "names"  // a name belongs to only one incarnation
	disableRejoin        = "rejoin" // missing peers are joined again
)

// BreakableGuarantees lists the guarantees that Options.DisabledGuarantee can name.
var BreakableGuarantees = []string{disableNameOwnership, disableRejoin}

const (
	// watchInterval is the time between two updates of the table from memberlist. It is far below a probe
	// interval.
	watchInterval = 100 * time.Millisecond
	// minRejoinBackoff and maxRejoinBackoff bound the backoff between attempts to join missing peers. The
	// backoff doubles with each attempt; half of it is jitter.
	minRejoinBackoff = 500 * time.Millisecond
	maxRejoinBackoff = 4 * time.Second
	// nameConflictBackoff is how long an incarnation that lost its name keeps its sockets closed.
	nameConflictBackoff = 10 * time.Second
	// streamTimeout bounds one exchange of the complete state.
	streamTimeout = 3 * time.Second
	// leaveTimeout bounds how long a graceful shutdown waits until the other members are notified.
	leaveTimeout = 500 * time.Millisecond
)

// Multiples (Mult) and fractions (Divisor) of the probe interval that configure memberlist's timing.
const (
	suspicionMult       = 4
	suspicionMaxMult    = 6
	probeTimeoutDivisor = 2
	gossipDivisor       = 5
	pushPullMult        = 15
	gossipToDeadMult    = 30
)

const (
	// maxDatagramBytes is the longest message that is sent as a datagram. With the bytes that encryption
	// adds, it stays below the usual path MTU.
	maxDatagramBytes = 1200
	// maxOutgoingStreams bounds the streams that are in flight to one member. With a bound over all members,
	// one stalled link could use up the streams to the others.
	maxOutgoingStreams = 8
	// packetQueueCapacity and streamQueueCapacity are how many datagrams and accepted streams may wait for
	// memberlist. Any more are dropped.
	packetQueueCapacity = 512
	streamQueueCapacity = 8
	// udpBufferBytes and handoffQueueDepth configure memberlist's own buffers.
	udpBufferBytes    = 1350
	handoffQueueDepth = 1024
)

// ConvergenceBoundMillis returns the guaranteed convergence time in milliseconds for n members. Within that
// time, a change reaches every member that has a two-way link to a member which knows of the change, and a
// member that no other member reaches is dead in every table.
//
// The bound follows from memberlist's timing. It is the sum of one probe round over all members (n intervals,
// doubled because memberlist probes more slowly while it doubts this member's own health), the longest
// suspicion (6 times 4 times log10 of n intervals, log10 counting as at least 1), one exchange of the
// complete state, and, for a partition that heals, twice the longest backoff between rejoin attempts, since
// one attempt may be lost.
func ConvergenceBoundMillis(n int, probeInterval time.Duration) float64 {
	interval := clock.Millis(probeInterval)
	suspicion := suspicionMult * max(1, math.Log10(float64(max(1, n)))) * suspicionMaxMult * interval
	return 2*float64(max(2, n))*interval + suspicion + 2*clock.Millis(maxRejoinBackoff) + clock.Millis(streamTimeout)
}
