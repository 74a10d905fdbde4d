package lifecycle

import "math"

// SlowStartAccount compares what one process wrote to a warming host with the rate at which it might. It knows nothing of how the
// writes were decided. The zero value, with its window, is the account of a host that has just started.
type SlowStartAccount struct {
	WindowMillis float64 // in which a host must not be sent too much

	allowed       float64 // by the rates so far
	ratePerSecond float64
	ratedAt       float64
	peakRate      float64 // the highest lately: a host that lost the primary's role got its writes before
	peakAt        float64
	written       float64
	recent        []slowStartWrite // of the last window
}

type slowStartWrite struct{ at, cost float64 }

// The bounds of an account, beside what the rates allow.
const (
	savedWindows      = 2 // that a process may have saved up, or have had waiting for their connections
	chanceDeviations  = 4 // by which requests that are drawn may exceed their mean
	chanceOfSmallSums = 4
)

// Allow notes the rate at which requests might be sent from now on. Between two rates the greater one counts.
func (a *SlowStartAccount) Allow(now, ratePerSecond float64) {
	if a.ratedAt > 0 && now > a.ratedAt {
		a.allowed += max(a.ratePerSecond, ratePerSecond) * (now - a.ratedAt) / 1e3
	}
	a.ratePerSecond, a.ratedAt = ratePerSecond, max(now, a.ratedAt)
	if ratePerSecond >= a.peakRate || now-a.peakAt > (1+savedWindows)*a.WindowMillis {
		a.peakRate, a.peakAt = ratePerSecond, now
	}
}

// Write notes a request that was written, at what it takes of the host's budget, and reports whether that was more than allowed:
// since the start, or within the last window.
func (a *SlowStartAccount) Write(at, cost float64) (isOverrun bool) {
	a.written += cost
	a.recent = append(a.recent, slowStartWrite{at, cost})
	inWindow, kept := 0.0, a.recent[:0]
	for _, w := range a.recent {
		if w.at > at-a.WindowMillis {
			inWindow += w.cost
			kept = append(kept, w)
		}
	}
	a.recent = kept
	perWindow := a.peakRate * a.WindowMillis / 1e3
	return a.written > withChance(a.allowed+savedWindows*perWindow) || inWindow > withChance((1+savedWindows)*perWindow)
}

// withChance is what a mean may come to.
func withChance(mean float64) float64 {
	return mean + chanceDeviations*math.Sqrt(mean) + chanceOfSmallSums
}
