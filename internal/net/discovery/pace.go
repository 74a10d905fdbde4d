package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// A round that failed is followed by the next after retryFirst, doubled with each failure in a row up to retryMost;
	// half of that time is drawn. All poolers lose their watch at the same moment, and a service that is overbooked
	// stays so while each of them asks several times a second.
	retryFirst = 250 * time.Millisecond
	retryMost  = 4 * time.Second

	// told is when the platform counts as told what discovery has to tell, whether it arrived or not: no pause is longer.
	told = 6 * time.Second
)

// pace decides when a service is asked again. It has no clock; equal seeds draw equal pauses.
type pace struct {
	lots   *rand.Rand
	failed int // rounds in a row that brought nothing
}

func newPace(seed uint64) pace { return pace{lots: rand.New(rand.NewPCG(seed, 0xd15c))} }

// next is how long to wait after a round. brought: something of an answer came, if only an empty line. after is the
// service's own word of when to come back, 0 if it gave none: never sooner than that, but a whole fleet is told the same
// at the same moment, so what goes on top is drawn, as wide as the word itself or the pause without it.
func (p *pace) next(brought bool, after time.Duration) time.Duration {
	if p.failed++; brought {
		p.failed = 0
	}
	most := min(retryMost, retryFirst<<min(p.failed, 10))
	least, lot := most/2, p.lots.Float64()
	if after = min(after, retryMost); after > least {
		least, most = after, min(told, after+max(after, most/2))
	}
	return least + time.Duration(lot*float64(most-least))
}
