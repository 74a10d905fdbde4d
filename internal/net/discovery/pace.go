package discovery

import (
	"math/rand/v2"
	"time"
)

// The platform counts as told 6 s later what discovery has to tell, whether it arrived or not: from when a watch fell
// silent, or from when a service that was down can speak again. A list that came by then can be acted on. Worst cases:
//
//	silent watch           quiet 3.5 + pause 0.25 + answer                                  3.75 s and what the answer takes
//	and a call unanswered  quiet 3.5 + pause 0.25 + answerFirst 1 + pause 0.25 + answer     5 s and what the answer takes
//	back after an outage   a call begun just before, answerMost 2.5 + pause 2.5 + answer    5 s and what the answer takes
//	a head, then silence   quiet 3.5 + pause 1.5 (next cuts it) + answer                    5 s and what the answer takes
//
// So answerFirst, 1 s, is left for the answer in each of them. At a service that is new after a move three calls fit into
// the 4 s that the platform grants there: at 0, 1.25 and 2.75 s at the latest, where nothing answers the ones before.
const (
	told = 6 * time.Second

	// quiet is how long a watch may say nothing whole. An idle one sends a line every 2 s.
	quiet = 3500 * time.Millisecond

	// A call has answerFirst to answer, dial included; one of a row of calls that failed has more, up to answerMost: a
	// service that takes longer than that for each call of a fleet must come to an end with some.
	answerFirst = 1 * time.Second
	answerMost  = 2500 * time.Millisecond

	// A round that failed is followed by the next after retryFirst, doubled with each further failure in a row up to
	// retryMost; half of that time is drawn. All poolers lose their watch at the same moment, and a service that is
	// overbooked stays so while each of them asks several times a second.
	retryFirst = 250 * time.Millisecond
	retryMost  = 2500 * time.Millisecond

	// wordMost is how far a service's own word of when to come back is followed.
	wordMost = 4 * time.Second
)

// pace decides when a service is asked again. It has no clock; equal seeds draw equal pauses.
type pace struct {
	lots   *rand.Rand
	failed int // rounds in a row whose watch brought nothing
}

func newPace(seed uint64) pace { return pace{lots: rand.New(rand.NewPCG(seed, 0xd15c))} }

// answer is how long the next call may take.
func (p *pace) answer() time.Duration {
	return min(answerMost, answerFirst<<min(max(p.failed-1, 0), 10))
}

// next is how long to wait after a round. brought: its watch lasted, and brought something whole, if only an empty line. after is the service's
// own word of when to come back, 0 if it gave none: never sooner than that, but a whole fleet is told the same at the
// same moment, so what goes on top is drawn, as wide as the word itself or the pause without it. silent is for how long
// nothing whole had come when the round ended: that and the pause leave answerFirst of told to the next call.
func (p *pace) next(brought bool, after, silent time.Duration) time.Duration {
	if p.failed++; brought {
		p.failed = 0
	}
	most, lot := min(retryMost, retryFirst<<min(max(p.failed-1, 0), 10)), p.lots.Float64()
	most = min(most, max(told-answerFirst-silent, retryFirst))
	least := most / 2
	if after = min(after, wordMost); after > least {
		least, most = after, min(told-answerFirst, after+max(after, least))
	}
	return least + time.Duration(lot*float64(most-least))
}
