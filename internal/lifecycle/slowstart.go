package lifecycle

import "math"

// SlowStartAudit compares what one process wrote to a warming host with the rate at which the process may
// send to that host. It does not depend on how the writes were decided. The zero value with its WindowMillis
// set is the audit of a host that has just started.
type SlowStartAudit struct {
	WindowMillis float64 // length of the overload window, within which a host must not be sent too much

	allowance     float64 // cost that was permitted by the rates so far
	ratePerSecond float64 // the current rate
	rateSetAt     float64 // when the current rate was set
	// peakRate is the highest rate of the last windows. It counts because a host that has just lost the
	// primary role was sent writes at its earlier, higher rate.
	peakRate     float64
	peakAt       float64          // when peakRate was set
	writtenCost  float64          // cost of all writes
	largestCost  float64          // of a single write
	recentWrites []slowStartWrite // the writes of the last window
}

type slowStartWrite struct{ at, cost float64 }

// Tolerances of an audit, in addition to what the rates permit.
const (
	// burstWindows is the number of windows whose budget a process may have saved up, or whose requests may
	// have waited for their connections.
	burstWindows = 2
	// toleratedDeviations is the number of standard deviations by which randomly drawn requests may exceed
	// their mean.
	toleratedDeviations = 4
	// smallSumTolerance is the number of writes whose cost is tolerated in addition. It matters for small sums.
	smallSumTolerance = 4
)

// SetRate records the rate at which requests may be sent from now on. For the time since the previous call,
// the greater of the two rates counts.
func (a *SlowStartAudit) SetRate(now, ratePerSecond float64) {
	if a.rateSetAt > 0 && now > a.rateSetAt {
		a.allowance += max(a.ratePerSecond, ratePerSecond) * (now - a.rateSetAt) / 1e3
	}
	a.ratePerSecond, a.rateSetAt = ratePerSecond, max(now, a.rateSetAt)
	if ratePerSecond >= a.peakRate || now-a.peakAt > (1+burstWindows)*a.WindowMillis {
		a.peakRate, a.peakAt = ratePerSecond, now
	}
}

// RecordWrite records a request that was written, with its cost to the host's budget. It reports whether the
// writes since the start of the audit, or those within the last window, now exceed what is permitted.
func (a *SlowStartAudit) RecordWrite(at, cost float64) (isOverrun bool) {
	a.writtenCost += cost
	a.largestCost = max(a.largestCost, cost, 1)
	a.recentWrites = append(a.recentWrites, slowStartWrite{at, cost})
	inWindow, kept := 0.0, a.recentWrites[:0]
	for _, w := range a.recentWrites {
		if w.at > at-a.WindowMillis {
			inWindow += w.cost
			kept = append(kept, w)
		}
	}
	a.recentWrites = kept
	perWindow := a.peakRate * a.WindowMillis / 1e3
	return a.writtenCost > a.toleratedSum(a.allowance+burstWindows*perWindow) || inWindow > a.toleratedSum((1+burstWindows)*perWindow)
}

// toleratedSum returns the greatest sum of randomly drawn costs that is accepted for a given mean. The variance
// of such a sum is at most its mean times the largest cost.
func (a *SlowStartAudit) toleratedSum(mean float64) float64 {
	return mean + toleratedDeviations*math.Sqrt(mean*a.largestCost) + smallSumTolerance*a.largestCost
}
