package discovery

import (
	"math/rand/v2"
	"time"
)

// A change counts as told 6 s after discovery had it and could be reached, whatever the calls until then did and
// whatever word came with them. It could be reached once a call that is begun then is answered; calls begun before may
// still fail. So the worst moment for it is just behind the begin of a call that fails, or behind the last line of a watch
// that falls silent. From then on, in seconds, c being what the answer to the next call takes:
//
//	call                                       given up  pause   until acted on
//	refused, reset, ended or spoilt at once    0         2.5     2.5 + c
//	refused at once, with a word               0         3       3 + c
//	refused, reset or spoilt late              2.25      0.25    2.5 + c
//	refused late, with a word                  2.25      2.75    5 + c     (1)
//	no answer, a slow dial, a head or a list
//	  that drips                               2.25      0.25    2.5 + c
//	a watch's head, then nothing               3.5       0.25    3.75 + c
//	  the head itself late                     4.5       0.25    4.75 + c  (1)
//	the whole list, and a watch that fails     4.5       0.25    4.75 + c  (1)
//	  its head late, then nothing              4.75      0.25    5 + c     (1)
//	a watch silent, stuck or dripping          3.5       0.25    3.75 + c
//	a watch of lists faster than taken         0         0.25    0.25 + c
//
// c may be expectedAnswer, 1 s, in each of them. Where the sum is 3.75 or less it may be as long as the call is given: maxAnswerTimeout,
// 2.25 s, or behind a row of failures from minAnswerTimeout, 1.25 s, on.
//
// The next call may fail as well, though discovery could be reached. Behind each two calls in a row, of whatever kinds
// but (1), a third begins at 5 s at the latest, so that c may be expectedAnswer: age holds next and answer to that.
//
//	second: at once    with a word            no answer                        head, then nothing
//	first
//	  at once          2.5 + 2.5              2.5 + 2.25 + 0.25                (2)
//	  with a word      3 + 2                  3 + 1.75 + 0.25, or twice        (2)
//	  no answer        2.5 + 2.5              2.5 + 2.25 + 0.25                (2)
//	  silent watch     3.75 + 0.25            3.75 + 1.25, twice               (2)
//	                   3.75 + 1.25, over the word
//	  head, nothing    as a silent watch      3.75 + 1 + 0.25, or twice        (2)
//
// (2) A watch that is well may say nothing for 2 s behind its head, so no call is made beside it: counted from its own begin,
// as in the first table. Twice: the call is made a second time beside the first.
//
// At a service that is new after a move the platform grants 4 s: calls are begun there at 0, 1.25 and 2.5 at the latest,
// where nothing answers the ones before.
const (
	notifyBound = 6 * time.Second

	// silenceLimit is how long a watch may say nothing whole. An idle one sends a line every 2 s.
	silenceLimit = 3500 * time.Millisecond
	// lateHeaderSilenceLimit is how long it may say nothing behind a head that came late, and opening how long all may take from the moment
	// that the round began, or the whole list was asked for, until the watch says the first thing whole.
	lateHeaderSilenceLimit = 2250 * time.Millisecond
	openingLimit           = 4750 * time.Millisecond

	// A call has maxAnswerTimeout to answer, dial included: a service that takes long for each call of a fleet must come to an
	// end with some. Where no two in a row have failed yet, it is made a second time beside the first after expectedAnswer;
	// behind that it has a time drawn from minAnswerTimeout on.
	expectedAnswer   = 1 * time.Second
	minAnswerTimeout = 1250 * time.Millisecond
	maxAnswerTimeout = 2250 * time.Millisecond

	// A round that failed is followed by the next after initialBackoff, doubled with each further failure in a row up to
	// maxBackoff; half of that time is drawn. All poolers lose their watch at the same moment, and a service that is
	// overbooked stays so while each of them asks several times a second. What the round took is part of it, down to
	// initialBackoff: the next begins maxBackoff behind it at the latest.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2500 * time.Millisecond

	// maxRetryAfter is how far a service's own word of when to come back is followed, maxRetryAfterJitter what is drawn on top at most.
	maxRetryAfter       = 2 * time.Second
	maxRetryAfterJitter = 1 * time.Second
)

// backoff decides when a service is asked again. It has no clock; equal seeds draw equal pauses.
type backoff struct {
	random       *rand.Rand
	failedRounds int           // rounds in a row whose watch brought nothing
	changeAge    time.Duration // of a change that the round before this one may have missed
}

func newBackoff(seed uint64) backoff { return backoff{random: rand.New(rand.NewPCG(seed, 0xd15c))} }

// answerTimeout is how long the next call may take. Of a row that failed it is drawn, since all of a fleet wait for a service that
// says nothing; and where it is not made twice, a third has to begin in time.
func (p *backoff) answerTimeout() time.Duration {
	if p.failedRounds <= 1 {
		return maxAnswerTimeout
	}
	d := minAnswerTimeout + time.Duration(p.random.Float64()*float64(maxAnswerTimeout-minAnswerTimeout))
	if left := notifyBound - expectedAnswer - initialBackoff - p.changeAge; left >= expectedAnswer/2 {
		d = min(d, left)
	}
	return d
}

// hedgeDelay is when a call is made a second time beside the first that has not answered; 0: not at all.
func (p *backoff) hedgeDelay() time.Duration {
	if p.failedRounds > 1 {
		return 0
	}
	return expectedAnswer + initialBackoff/2 + time.Duration(p.random.Float64()*float64(initialBackoff/2))
}

// nextBackoff is how long to wait after a round. brought: its watch lasted, and brought something whole, if only an empty line.
// after is the service's own word of when to come back, 0 if it gave none: never sooner than that where told allows, but a
// whole fleet is told the same at the same moment, so what goes on top is drawn, as wide as the word itself or the pause
// without it. silent is for how long nothing whole had come when the round ended: that and the pause leave expectedAnswer of
// told to the next call, and so does age where it can.
func (p *backoff) nextBackoff(brought bool, after, silent time.Duration) time.Duration {
	if p.failedRounds++; brought {
		p.failedRounds = 0
	}
	most, lot := min(maxBackoff, initialBackoff<<min(max(p.failedRounds-1, 0), 10)), p.random.Float64()
	most = min(most, max(maxBackoff-silent, initialBackoff))
	least := most / 2
	if silent >= expectedAnswer { // what is drawn is what is left of maxBackoff: all of it, or a fleet keeps its step
		least = min(least, initialBackoff/2)
	}
	if after = min(after, maxRetryAfter); after > least {
		least, most = after, min(maxRetryAfter+maxRetryAfterJitter, after+max(after, least))
	}
	most = min(most, max(notifyBound-expectedAnswer-silent, initialBackoff))
	if left := notifyBound - expectedAnswer - p.changeAge; left >= initialBackoff/2 {
		most = min(most, left)
	}
	if least > most { // told goes before the word
		least = most / 2
	}
	return least + time.Duration(lot*float64(most-least))
}
