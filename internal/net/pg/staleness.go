package pg

import "math"

// staleness learns how long a connection may lie in the pool before something on the way has dropped it silently:
// the next request on it is reset, and may have run for all one can tell. It compares how often requests are reset by
// how long their connection had been idle, and forgets in minutes.
type staleness struct {
	buckets   [9]idleBucket
	updatedAt float64 // of the last note
}

// idleBucket counts requests on connections that were idle for at least first<<i, and less than twice that; the youngest
// are in age 0.
type idleBucket struct{ requests, resets float64 }

const (
	firstBucketMillis = 25.0 // idle time up to which a connection is in the first bucket
	bucketDecayMillis = 60e3 // in which a count falls to 1/e
	minBucketResets   = 4    // resets that are no chance
	minResetExcess    = 0.12 // how much more often than on younger connections resets have to come
)

// record counts one request on a connection that had been idle for so long.
func (w *staleness) record(now, idle float64, reset bool) {
	fade := math.Exp(-(now - w.updatedAt) / bucketDecayMillis)
	w.updatedAt = now
	for i := range w.buckets {
		w.buckets[i].requests *= fade
		w.buckets[i].resets *= fade
	}
	i := 0
	for i < len(w.buckets)-1 && idle >= firstBucketMillis*float64(int(1)<<i) {
		i++
	}
	w.buckets[i].requests++
	if reset {
		w.buckets[i].resets++
	}
}

// maxIdleMillis is how long a connection may be idle and still be used.
func (w *staleness) maxIdleMillis() float64 {
	younger := w.buckets[0]
	for i := 1; i < len(w.buckets); i++ {
		a := w.buckets[i]
		if a.resets >= minBucketResets && a.resets/a.requests > younger.resets/max(1, younger.requests)+minResetExcess {
			return firstBucketMillis * float64(int(1)<<(i-1))
		}
		younger.requests += a.requests
		younger.resets += a.resets
	}
	return math.Inf(1)
}

// Staleness is what the pool has learned of idle connections: requests and resets by how long the connection had been idle.
func (p *Pool) Staleness() (requests, resets []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.staleness.buckets {
		requests, resets = append(requests, a.requests), append(resets, a.resets)
	}
	return requests, resets
}

// SetStaleness takes what an earlier process learned. More resets retire connections sooner, which is the careful side.
func (p *Pool) SetStaleness(requests, resets []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleness.updatedAt = p.clock.Now()
	for i := range p.staleness.buckets {
		if i < len(requests) && i < len(resets) {
			p.staleness.buckets[i] = idleBucket{requests[i], resets[i]}
		}
	}
}
