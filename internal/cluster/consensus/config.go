package consensus

import "ashstand/internal/cluster/jobs"

// Config is the consensus configuration of one pooler, from its own configuration file. Times are in
// milliseconds.
type Config struct {
	Name string
	// Incarnation distinguishes this process from earlier ones of the same name.
	Incarnation uint64
	// Voters are the names of the poolers to request leases from. The log holds the current set of voters.
	Voters      []string
	LeaseMillis float64 // duration of a lease
	// ClockDrift is the maximum relative error of a clock's rate, fast or slow: 0.01 is 1 %.
	ClockDrift float64
	// RenewIntervalMillis is the time from one lease request to the next.
	RenewIntervalMillis float64
	// ElectionTimeoutMillis is the time without messages after which a leader is replaced. A random part of
	// up to the same duration is added.
	ElectionTimeoutMillis float64
	// Limits are the strictest values that any version may hold. They apply while the pooler has no lease.
	Limits Rules
	// Format is the newest format of rules that this program reads.
	Format int
	// Seed seeds the random source, together with Incarnation.
	Seed      uint64
	Scheduler jobs.SchedulerConfig
	// DisabledGuarantee names a guarantee that is switched off to show that its checker fails; "": none.
	DisabledGuarantee string
}

// The values of Config.DisabledGuarantee.
const (
	breakLease     = "lease"  // leases don't expire
	breakStrictest = "meet"   // a node acts on a pending version alone
	breakQuorum    = "quorum" // the leader grants leases and activates versions without a majority's confirmation
	breakFence     = "fence"  // unordered rules are not fenced
	breakToken     = "token"  // fencing tokens don't rise
)

// BreakableGuarantees are the values of Config.DisabledGuarantee that the simulation of this package tries.
var BreakableGuarantees = []string{breakLease, breakStrictest, breakQuorum, breakFence}

// Raft's timeouts, in ticks. One tick is a tenth of the election timeout.
const (
	electionTicks  = 10
	heartbeatTicks = 2
)

// ActivationBoundMillis returns the time within which a version that was committed to the log is active on
// all reachable poolers. The worst case is a lease whose holder never confirms the version, so that it has to
// expire. steady applies while the leader stays the same; a change of the leader adds the election and the
// duration of one more lease.
func (c Config) ActivationBoundMillis() (steady, afterElection float64) {
	// Four renewals: to learn of the version, to confirm it, to learn that it is active, and one that is lost.
	steady = c.LeaseMillis*c.driftFactor() + 4*c.RenewIntervalMillis + 2*c.ElectionTimeoutMillis/electionTicks
	return steady, steady + 2*c.ElectionTimeoutMillis + c.LeaseMillis*c.driftFactor()
}

// TakeoverBoundMillis returns the time from the end of a job's lease holder until another pooler may act. The
// holder's lease has to expire, the leader has to notice that, the log has to commit the next holder, and
// that holder has to be notified, at the latest with its own next lease. If the leader ended together with
// the holder, an election and the first lease of every pooler come before that.
func (c Config) TakeoverBoundMillis() (steady, afterElection float64) {
	steady = c.LeaseMillis*c.driftFactor() + 2*c.RenewIntervalMillis + 2*c.ElectionTimeoutMillis/electionTicks*heartbeatTicks
	return steady, steady + 4*c.ElectionTimeoutMillis + c.LeaseMillis*c.driftFactor()
}

// driftFactor returns the maximum ratio between the durations that two clocks measure for the same lease: one
// that runs fast by ClockDrift and one that runs slow by it.
func (c Config) driftFactor() float64 { return (1 + c.ClockDrift) / (1 - c.ClockDrift) }
