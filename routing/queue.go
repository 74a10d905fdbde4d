package routing

import (
	"cmp"
	"slices"
	"time"
)

// tick dispatches the queued requests, and asks discovery again when that is due.
func (r *Router) tick() {
	r.tickAt = r.now + max(tickInterval, r.cfg.MinTickInterval)
	r.queue = slices.DeleteFunc(r.queue, func(req *request) bool {
		req.queued = !req.finished && req.inFlight == 0
		return !req.queued
	})
	// Highest value first, then newest first: under overload the oldest are the least likely to be in time.
	slices.SortStableFunc(r.queue, func(a, b *request) int {
		byValue := cmp.Compare(r.valuePerSecond(b), r.valuePerSecond(a))
		return cmp.Or(byValue, cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	for _, req := range r.queue {
		switch redrawOffset := r.rng.Float64() * float64(req.deadline-req.arrivedAt); {
		case redrawOffset < float64(r.tickAt-r.now) && !req.isRetry: // on average once before its deadline
			req.redraw(r.rng.Float64())
		case r.now >= req.probedAt+probeAnswerWait: // chances to be granted are not saved up
			req.useUpSample()
		}
		r.dispatch(req)
	}
	if r.resubscribeAt > 0 && r.now >= r.resubscribeAt {
		r.resubscribeAt = 0
		r.emit(Action{Kind: ActSubscribe})
	}
}

// valuePerSecond returns the value of a request per second of work on it. The worst-served class counts
// more, by WorstClassWeight.
func (r *Router) valuePerSecond(req *request) float64 {
	weight := req.weight
	if req.class == r.worstClass && !req.isRetry {
		weight *= 1 + r.cfg.WorstClassWeight*r.offeredWeight/req.class.offeredWeight
	}
	if r.now+req.class.latency > req.objectiveAt {
		weight *= req.class.LateFraction
	}
	return weight / max(req.class.serviceTime, time.Millisecond).Seconds()
}

// armTimer sets a timer for what is due next, if anything is.
func (r *Router) armTimer() {
	wake := r.resubscribeAt
	if len(r.queue) > 0 {
		wake = r.tickAt
	}
	if wake > 0 && (r.timerAt <= r.now || wake < r.timerAt) {
		r.timerAt = wake
		r.emit(Action{Kind: ActTimer, At: wake})
	}
}

func (r *Router) handleTargetsFailed() { r.resubscribeAt = r.now + retryBackoff }
