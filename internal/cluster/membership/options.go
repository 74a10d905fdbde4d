package membership

import (
	"math"
	"time"

	"ashstand/internal/clock"
)

// Options configure a Gossip.
type Options struct {
	Self          Info
	Listen        string
	Peers         map[string]string // addresses by name, as this pooler reaches them
	Keys          [][]byte          // the first encrypts, all decrypt
	MaxMembers    int
	ProbeInterval time.Duration // how often one member is probed
	Seed          uint64
	Clock         clock.Clock    // nil: the system's
	OnChange      func([]Change) // receives every change of the view, in order; may be nil
	OnMessage     func(b []byte) // receives what another member passes to Send; it must not block; may be nil
	Break         string         // the guarantee to switch off, so that its checker is seen to fail; "": none
}

// The guarantees that Options.Break can switch off.
const (
	breakNames  = "names"  // a name belongs to one incarnation
	breakRejoin = "rejoin" // unreachable members are joined again
)

// Breakable lists the values of Options.Break.
var Breakable = []string{breakNames, breakRejoin}

const (
	// watchInterval is how often the table is compared with what memberlist knows. It is far below a probe interval.
	watchInterval = 100 * time.Millisecond
	// minRejoinBackoff and maxRejoinBackoff bound the backoff between attempts to join members that are out of sight.
	// It doubles with each attempt; half of it is jitter.
	minRejoinBackoff = 500 * time.Millisecond
	maxRejoinBackoff = 4 * time.Second
	// nameConflictBackoff is how long an incarnation stays away after it lost its name.
	nameConflictBackoff = 10 * time.Second
	// streamTimeout bounds one exchange of the complete state.
	streamTimeout = 3 * time.Second
	// leaveTimeout bounds the wait until the other members know of a graceful shutdown.
	leaveTimeout = 500 * time.Millisecond
)

// The timing of memberlist, in probe intervals.
const (
	suspicionMult    = 4
	suspicionMaxMult = 6
	probeTimeoutDiv  = 2
	gossipDiv        = 5
	pushPullMult     = 15
	gossipToDeadMult = 30
)

const (
	// maxDatagramBytes is the longest message that is sent as a datagram. With the bytes that encryption adds it stays
	// below the limit of a usual path.
	maxDatagramBytes = 1200
	// maxOutgoingStreams bounds the longer messages that are in flight to one member. A bound over all members would
	// let one stalled link use up the streams to the others.
	maxOutgoingStreams = 8
	// packetQueue and streamQueue are how many datagrams and accepted streams may wait for memberlist; more are dropped.
	packetQueue = 512
	streamQueue = 8
	// udpBufferBytes and handoffQueue configure memberlist's own buffers.
	udpBufferBytes = 1350
	handoffQueue   = 1024
)

// ConvergenceBoundMillis returns the guaranteed convergence time in milliseconds for n members. Within it, every member
// that has a two-way link to one that knows of a change knows of the change too, and a member that nobody reaches is
// dead in every table.
//
// The bound follows from memberlist's timing: one probe round over all members (n intervals, doubled while this member's
// own health is in doubt), the longest suspicion (6 times 4 times log10 of n intervals, log10 counting as at least 1),
// one exchange of the complete state, and for a partition that heals twice the longest backoff between rejoin attempts,
// since one attempt may be lost.
func ConvergenceBoundMillis(n int, probeInterval time.Duration) float64 {
	interval := clock.Millis(probeInterval)
	suspicion := suspicionMult * max(1, math.Log10(float64(max(1, n)))) * suspicionMaxMult * interval
	return 2*float64(max(2, n))*interval + suspicion + 2*clock.Millis(maxRejoinBackoff) + clock.Millis(streamTimeout)
}
