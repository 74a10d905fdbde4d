package consensus

import "ashstand/internal/cluster/jobs"

// Config is what a pooler's own file says. Times are in milliseconds.
type Config struct {
	Name                  string
	Incarnation           uint64   // tells this process from earlier ones of the same name
	Voters                []string // the names to ask for leases; who votes at present is part of the log
	LeaseMillis           float64  // duration of a lease
	ClockDrift            float64  // by how much a clock may run fast or slow, as a fraction: 0.01 is 1 %
	RenewIntervalMillis   float64  // from one lease request to the next
	ElectionTimeoutMillis float64  // a leader that is silent for so long, or up to twice as long, is replaced
	Limits                Rules    // the strictest values that any version may hold; they apply without a lease
	Format                int      // the newest format of rules that this program reads
	Seed                  uint64   // of the random source, with Incarnation
	Scheduler             jobs.SchedulerConfig
	Break                 string // a guarantee that is switched off to see a checker fail; "": none
}

// The values of Config.Break.
const (
	breakLease     = "lease"  // leases don't end
	breakStrictest = "meet"   // a pending version is acted on alone
	breakQuorum    = "quorum" // leases are granted, and versions activated, without a majority's confirmation
	breakFence     = "fence"  // rules without an order are not fenced
	breakToken     = "token"  // fencing tokens don't rise
)

// BreakableGuarantees are the values of Config.Break that the simulation of this package tries.
var BreakableGuarantees = []string{breakLease, breakStrictest, breakQuorum, breakFence}

// Raft's times, in ticks. One tick is a tenth of the election timeout.
const (
	electionTicks  = 10
	heartbeatTicks = 2
)

// ActivationBoundMillis is the time within which a version that was committed to the log is active on all poolers that can
// be reached. Leases that run out unconfirmed take the longest. steady holds while one leader stays; a change of the leader
// in between adds its election and one lease more.
func (c Config) ActivationBoundMillis() (steady, afterElection float64) {
	// Four renewals: to learn of the version, to confirm it, to learn that it is active, and one that is lost.
	steady = c.LeaseMillis*c.driftFactor() + 4*c.RenewIntervalMillis + 2*c.ElectionTimeoutMillis/electionTicks
	return steady, steady + 2*c.ElectionTimeoutMillis + c.LeaseMillis*c.driftFactor()
}

// TakeoverBoundMillis is the time from the end of a job's lease holder until another may act. Its lease has to run out, the
// leader to notice that, the log to commit the next holder, and that one to be notified, at the latest with its own next
// lease. Where the leader ended with it, an election and the first lease of all come before.
func (c Config) TakeoverBoundMillis() (steady, afterElection float64) {
	steady = c.LeaseMillis*c.driftFactor() + 2*c.RenewIntervalMillis + 2*c.ElectionTimeoutMillis/electionTicks*heartbeatTicks
	return steady, steady + 4*c.ElectionTimeoutMillis + c.LeaseMillis*c.driftFactor()
}

// driftFactor is how much longer a lease may last by the slowest clock than by the fastest one.
func (c Config) driftFactor() float64 { return (1 + c.ClockDrift) / (1 - c.ClockDrift) }
