package discovery

import (
	"math/rand/v2"
	"time"
)

// A pooler has to act on a change within notifyBound, 6 s, of the moment from which discovery had it and could be reached,
// whatever the calls until then did and whatever Retry-After came with them. Discovery could be reached once a call that is
// begun then is answered; calls begun before may still fail. So the worst moment for it is just after the begin of a call that
// fails, or after the last line of a watch that falls silent. From then on, in seconds, with c for the time until the next call
// is answered:
//
//	call                                       given up  backoff  until acted on
//	refused, reset, ended or malformed at once 0         2.5      2.5 + c
//	refused at once, with Retry-After          0         3        3 + c
//	refused, reset or malformed late           2.25      0.25     2.5 + c
//	refused late, with Retry-After             2.25      2.75     5 + c     (1)
//	no answer, a slow dial, a header or a list
//	  that trickles in                         2.25      0.25     2.5 + c
//	a watch's header, then nothing             3.5       0.25     3.75 + c
//	  the header itself late                   4.5       0.25     4.75 + c  (1)
//	the complete list, and a watch that fails  4.5       0.25     4.75 + c  (1)
//	  its header late, then nothing            4.75      0.25     5 + c     (1)
//	a watch silent, stuck or trickling         3.5       0.25     3.75 + c
//	a watch of lists faster than applied       0         0.25     0.25 + c
//
// c may be expectedAnswer, 1 s, in each of them. Where the sum is 3.75 or less it may be as long as the timeout of the call:
// maxAnswerTimeout, 2.25 s, or after consecutive failures from minAnswerTimeout, 1.25 s, on.
//
// The next call may fail as well, though discovery could be reached. After each two consecutive calls, of whatever kinds but
// (1), a third begins at 5 s at the latest, so that c may be expectedAnswer: changeAge limits nextBackoff and answerTimeout to
// that.
//
//	second: at once    with Retry-After       no answer                        header, then nothing
//	first
//	  at once          2.5 + 2.5              2.5 + 2.25 + 0.25                (2)
//	  Retry-After      3 + 2                  3 + 1.75 + 0.25, or hedged       (2)
//	  no answer        2.5 + 2.5              2.5 + 2.25 + 0.25                (2)
//	  silent watch     3.75 + 0.25            3.75 + 1.25, hedged              (2)
//	                   3.75 + 1.25, against Retry-After
//	  header, nothing  as a silent watch      3.75 + 1 + 0.25, or hedged       (2)
//
// (2) A healthy watch may send nothing for 2 s after its header, so no call is made beside it: counted from its own begin, as
// in the first table. Hedged: a second call is made beside the first.
//
// At a service that is new after a change of address the platform grants 4 s: calls are begun there at 0, 1.25 and 2.5 at the
// latest, where nothing answers the ones before.
const (
	notifyBound = 6 * time.Second

	// silenceLimit is how long a watch may send nothing complete. An idle one sends a line every 2 s.
	silenceLimit = 3500 * time.Millisecond
	// lateHeaderSilenceLimit is how long it may send nothing after a header that came late, and openingLimit how long all may
	// take from the moment at which the round began, or the complete list was requested, until the watch sends the first
	// complete line.
	lateHeaderSilenceLimit = 2250 * time.Millisecond
	openingLimit           = 4750 * time.Millisecond

	// A call is answered within maxAnswerTimeout, dial included: a service that takes long for each call of a fleet must
	// come to an end with some. Where no two consecutive calls have failed yet, a hedged call is made after expectedAnswer;
	// later the timeout is drawn from minAnswerTimeout on.
	expectedAnswer   = 1 * time.Second
	minAnswerTimeout = 1250 * time.Millisecond
	maxAnswerTimeout = 2250 * time.Millisecond

	// A round that failed is followed by the next after initialBackoff, doubled with each further consecutive failure up to
	// maxBackoff; half of that time is drawn. All poolers lose their watch at the same moment, and a service that is
	// overloaded stays so while each of them calls several times a second. What the round took is part of it, down to
	// initialBackoff: the next begins maxBackoff after it at the latest.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2500 * time.Millisecond

	// maxRetryAfter is how far a service's Retry-After is followed, maxRetryAfterJitter what is drawn on top at most.
	maxRetryAfter       = 2 * time.Second
	maxRetryAfterJitter = 1 * time.Second
)

// backoffStream selects the sequence of random numbers beside the seed.
const backoffStream = 0xd15c

// backoff decides when a service is called again. It has no clock; equal seeds draw equal times.
type backoff struct {
	random       *rand.Rand
	failedRounds int           // consecutive rounds whose watch received nothing
	changeAge    time.Duration // of a change that the previous round may have missed
}

func newBackoff(seed uint64) backoff {
	return backoff{random: rand.New(rand.NewPCG(seed, backoffStream))}
}

// answerTimeout is how long the next call may take. After consecutive failures it is drawn, since all of a fleet wait for a
// service that sends nothing; and where the call is not hedged, a third has to begin in time.
func (b *backoff) answerTimeout() time.Duration {
	if b.failedRounds <= 1 {
		return maxAnswerTimeout
	}
	d := minAnswerTimeout + b.drawUpTo(maxAnswerTimeout-minAnswerTimeout)
	if left := notifyBound - expectedAnswer - initialBackoff - b.changeAge; left >= expectedAnswer/2 {
		d = min(d, left)
	}
	return d
}

// hedgeDelay is when a hedged call is made beside a first one that has not been answered; 0: not at all.
func (b *backoff) hedgeDelay() time.Duration {
	if b.failedRounds > 1 {
		return 0
	}
	return expectedAnswer + initialBackoff/2 + b.drawUpTo(initialBackoff/2)
}

// nextBackoff is how long to wait after a round. received says that its watch lasted, and received something complete, if only
// an empty line. retryAfter is the service's own, 0 if it gave none: it is called no sooner where notifyBound allows it, but a
// whole fleet gets the same value at the same moment, so what is added is drawn, as wide as retryAfter itself or the backoff
// without it. silent is for how long nothing complete had come when the round ended: silent and the backoff leave
// expectedAnswer of notifyBound to the next call, and so does changeAge where it can.
func (b *backoff) nextBackoff(received bool, retryAfter, silent time.Duration) time.Duration {
	if b.failedRounds++; received {
		b.failedRounds = 0
	}
	most, draw := min(maxBackoff, initialBackoff<<min(max(b.failedRounds-1, 0), 10)), b.random.Float64()
	most = min(most, max(maxBackoff-silent, initialBackoff))
	least := most / 2
	if silent >= expectedAnswer { // what is left of maxBackoff is drawn entirely, or a fleet stays in step
		least = min(least, initialBackoff/2)
	}
	if retryAfter = min(retryAfter, maxRetryAfter); retryAfter > least {
		least, most = retryAfter, min(maxRetryAfter+maxRetryAfterJitter, retryAfter+max(retryAfter, least))
	}
	most = min(most, max(notifyBound-expectedAnswer-silent, initialBackoff))
	if left := notifyBound - expectedAnswer - b.changeAge; left >= initialBackoff/2 {
		most = min(most, left)
	}
	if least > most { // notifyBound takes precedence over retryAfter
		least = most / 2
	}
	return least + time.Duration(draw*float64(most-least))
}

// drawUpTo draws a duration of at most d.
func (b *backoff) drawUpTo(d time.Duration) time.Duration {
	return time.Duration(b.random.Float64() * float64(d))
}
