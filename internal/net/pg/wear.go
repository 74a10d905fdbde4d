package pg

import "math"

// wear learns how long a connection may lie in the pool before something on the way has dropped it without a word:
// the next request on it is reset, and may have run for all one can tell. It compares how often requests are reset by
// how long their connection had been idle, and forgets in minutes.
type wear struct {
	ages [9]age
	at   float64 // of the last note
}

// age counts requests on connections that were idle for at least first<<i, and less than twice that; the youngest
// are in age 0.
type age struct{ requests, resets float64 }

const (
	wearFirst  = 25.0 // milliseconds
	wearForget = 60e3 // in which a count falls to 1/e
	wearLeast  = 4    // resets that are no chance
	wearMore   = 0.12 // and how much more often than on younger connections they come
)

// note counts one request on a connection that had been idle for so long.
func (w *wear) note(now, idle float64, reset bool) {
	fade := math.Exp(-(now - w.at) / wearForget)
	w.at = now
	for i := range w.ages {
		w.ages[i].requests *= fade
		w.ages[i].resets *= fade
	}
	i := 0
	for i < len(w.ages)-1 && idle >= wearFirst*float64(int(1)<<i) {
		i++
	}
	w.ages[i].requests++
	if reset {
		w.ages[i].resets++
	}
}

// limit is how long a connection may be idle and still be used.
func (w *wear) limit() float64 {
	younger := w.ages[0]
	for i := 1; i < len(w.ages); i++ {
		a := w.ages[i]
		if a.resets >= wearLeast && a.resets/a.requests > younger.resets/max(1, younger.requests)+wearMore {
			return wearFirst * float64(int(1)<<(i-1))
		}
		younger.requests += a.requests
		younger.resets += a.resets
	}
	return math.Inf(1)
}

// Wear is what the pool has learned of idle connections: requests and resets by how long the connection had been idle.
func (p *Pool) Wear() (requests, resets []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.wear.ages {
		requests, resets = append(requests, a.requests), append(resets, a.resets)
	}
	return requests, resets
}

// SetWear takes what an earlier process learned. More resets retire connections sooner, which is the careful side.
func (p *Pool) SetWear(requests, resets []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wear.at = p.clock.Now()
	for i := range p.wear.ages {
		if i < len(requests) && i < len(resets) {
			p.wear.ages[i] = age{requests[i], resets[i]}
		}
	}
}
