package pg

import "math"

// staleness learns how long a connection may be idle before something on the network path silently drops it.
// The next request on a dropped connection is reset, without proof that it did not run. staleness counts
// requests and resets by how long their connection had been idle, and compares the reset rates. The counts
// decay within minutes.
type staleness struct {
	buckets   [9]idleBucket
	updatedAt float64 // when the last request was recorded, in clock milliseconds
}

// idleBucket counts requests by the idle time of their connection. Bucket 0 covers idle times below
// firstBucketMillis; bucket i covers firstBucketMillis<<(i-1) up to twice that; the last bucket has no upper
// limit.
type idleBucket struct{ requests, resets float64 }

const (
	firstBucketMillis = 25.0 // upper limit of the idle time in the first bucket
	bucketDecayMillis = 60e3 // time in which a count decays to 1/e
	minBucketResets   = 4    // fewer resets may be due to chance
	minResetExcess    = 0.12 // by how much a bucket's reset rate must exceed that of all shorter idle times
)

// record counts one request on a connection that had been idle for the given time in milliseconds.
func (s *staleness) record(now, idle float64, reset bool) {
	decay := math.Exp(-(now - s.updatedAt) / bucketDecayMillis)
	s.updatedAt = now
	for i := range s.buckets {
		s.buckets[i].requests *= decay
		s.buckets[i].resets *= decay
	}
	i := 0
	for i < len(s.buckets)-1 && idle >= firstBucketMillis*float64(int(1)<<i) {
		i++
	}
	s.buckets[i].requests++
	if reset {
		s.buckets[i].resets++
	}
}

// maxIdleMillis returns how long a connection may be idle and still be used.
func (s *staleness) maxIdleMillis() float64 {
	younger := s.buckets[0]
	for i := 1; i < len(s.buckets); i++ {
		bucket := s.buckets[i]
		if bucket.resets >= minBucketResets && bucket.resets/bucket.requests > younger.resets/max(1, younger.requests)+minResetExcess {
			return firstBucketMillis * float64(int(1)<<(i-1))
		}
		younger.requests += bucket.requests
		younger.resets += bucket.resets
	}
	return math.Inf(1)
}

// Staleness returns what the pool has learned about idle connections: requests and resets, by how long the
// connection had been idle.
func (p *Pool) Staleness() (requests, resets []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, bucket := range p.staleness.buckets {
		requests, resets = append(requests, bucket.requests), append(resets, bucket.resets)
	}
	return requests, resets
}

// SetStaleness restores what an earlier process learned. Additional resets only make the pool close idle
// connections sooner, which is the safe side.
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
