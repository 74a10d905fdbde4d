package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ashstand/testbed/host"
	"ashstand/testbed/report"
)

// What the clients and hosts of a run check; the poolers' own counters stand beside these under the names of their rules.
const (
	unanswered          = "unanswered"         // a request that was read has no answer
	late                = "late"               // an answer came more than half a second after its time
	duplicateWrite      = "duplicate_write"    // a row was written more than once
	lostCommit          = "lost_commit"        // a write that was acknowledged is not there
	missedOwnWrite      = "missed_own_write"   // a read of a session did not see its write
	staleRead           = "stale_read"         // a read with a bound was served from data that was older when it was sent
	sentAfterDisconnect = "sent_after_gone"    // a host got a request after its client had gone
	sentToDraining      = "sent_to_draining"   // a host that was listed as draining got a request
	rejectedAfterRun    = "rejected_after_run" // a request that ran was rejected, and its class must not be repeated
	runTwice            = "run_twice"          // a request that must run once ran at more than one host, or twice at one
	runOutsideWindow    = "run_outside_window" // a repeat ran after hosts had stopped to discard repeats
	unseenByCounters    = "unseen_by_counters" // one of these three broke, and no pooler's counter tells of it
	endedLate           = "ended_late"         // a process took longer to end than the platform waits
	crashed             = "crashed"            // a process ended that was not told to
	notReadyInTime      = "not_ready_in_time"  // a process did not serve within its time
	poolerViolations    = "pooler_violation_"  // and the name of a rule
)

const (
	lateGrace       = 500 * time.Millisecond  // past its time, an answer is worthless but not lost
	machineSlack    = 250 * time.Millisecond  // of a machine that has nothing else to do
	unreadGrace     = 300 * time.Millisecond  // a request written less than this before the close may not have been read
	disconnectGrace = 100 * time.Millisecond  // from a client's end to the last write for it
	drainGrace      = 1050 * time.Millisecond // as in the settings, and 50 ms
	machineMillis   = 50                      // from a host's look at its position to its answer
	notifiedWithin  = 6 * time.Second         // of discovery that can be reached
)

// request is one request as its client saw it.
type request struct {
	id, pooler     string
	class          *Class
	group          uint64
	ref, payload   string    // of a write
	ownRow         string    // its client's row, of a read of that
	end            int       // of its bytes in what was written with it
	sentFrom       time.Time // its last byte was sent no earlier
	writtenAt      time.Time // and no later than this: all that was sent ahead with it is written
	dueFrom        time.Time // writtenAt, or the answer before it
	answer         string    // "served", an SQLSTATE; "": none
	disconnectedAt time.Time // when its client closed or cancelled without an answer; zero: it did not
}

// interval is a span of time in which something was troubled.
type interval struct{ from, till time.Time }

// judge collects what was seen and finds what broke. It is safe for concurrent use.
type judge struct {
	g        *report.Collector
	slack    time.Duration                           // of the machine: from an event to the time that is noted for it
	payloads func(group uint64, ref string) []string // that a row had, in the order of commits

	mu       sync.Mutex
	requests map[string]*request
	seen     map[string][]sighting     // by request id
	rejected map[string]map[string]int // by request id and host: how often the host rejected it before anything ran
	killed   map[string][]time.Time
	troubles map[string][]interval // by link "pooler>host" or "pooler>discovery"
	drains   map[string][]interval // by host
	crossed  int
	cold     *coldLoad // nil: not judged
}

// sighting is a request as a host saw it.
type sighting struct {
	host string
	at   time.Time
}

func newJudge(g *report.Collector, slack time.Duration) *judge {
	return &judge{
		g: g, slack: slack, requests: map[string]*request{}, seen: map[string][]sighting{}, killed: map[string][]time.Time{},
		troubles: map[string][]interval{}, drains: map[string][]interval{}, rejected: map[string]map[string]int{},
	}
}

// sighted notes a statement that a host received.
func (j *judge) sighted(hostName, text string, at time.Time) {
	id, ok := host.StatementID(text)
	j.mu.Lock()
	defer j.mu.Unlock()
	if ok {
		j.seen[id] = append(j.seen[id], sighting{hostName, at})
	}
	if j.cold != nil {
		work := hostWork{at: at, kind: probeKind, work: j.cold.settings.probeWork()}
		if ok {
			work = j.cold.workOf(text, id, at)
		}
		j.cold.work[hostName] = append(j.cold.work[hostName], work)
	}
}

// classNameOf is the class in the comment of a statement.
func classNameOf(text string) string {
	comment, _, _ := strings.Cut(text, "*/")
	_, rest, _ := strings.Cut(comment, ",c=")
	name, _, _ := strings.Cut(rest, ",")
	return strings.TrimSpace(name)
}

// rejectedByHost notes that a host rejected a statement before anything of it ran.
func (j *judge) rejectedByHost(hostName, text string) {
	id, ok := host.StatementID(text)
	if !ok {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.rejected[id] == nil {
		j.rejected[id] = map[string]int{}
	}
	j.rejected[id][hostName]++
}

// runs are the sightings of a request that its hosts did not reject. j.mu is held.
func (j *judge) runs(id string) (ran []sighting) {
	left := map[string]int{}
	for host, n := range j.rejected[id] {
		left[host] = n
	}
	for _, s := range j.seen[id] {
		if left[s.host] > 0 {
			left[s.host]--
			continue
		}
		ran = append(ran, s)
	}
	return ran
}

func (j *judge) began(r *request) {
	j.mu.Lock()
	j.requests[r.id] = r
	j.mu.Unlock()
}

// troubled notes that a link is troubled from now on, until the returned function is called.
func (j *judge) troubled(link string) (over func()) { return j.open(j.troubles, link) }

// draining is the same for a host that is listed as draining.
func (j *judge) draining(host string) (over func()) { return j.open(j.drains, host) }

func (j *judge) open(of map[string][]interval, name string) (over func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	i := len(of[name])
	of[name] = append(of[name], interval{from: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		of[name][i].till = time.Now()
	}
}

func (j *judge) kill(pooler string) {
	j.mu.Lock()
	j.killed[pooler] = append(j.killed[pooler], time.Now())
	j.mu.Unlock()
}

// answered notes the final answer of a request.
func (j *judge) answered(r *request, answer string) {
	now := time.Now()
	j.mu.Lock()
	r.answer = answer
	j.mu.Unlock()
	if took := now.Sub(r.dueFrom); took > r.class.Deadline.Duration()+lateGrace+j.slack {
		j.g.Break(late, "%s at %s: %s after %v of %d ms", r.id, r.pooler, answer, took, r.class.Deadline)
	}
	j.g.RecordLatency(r.class.Name, now.Sub(r.dueFrom))
	j.g.Do(func(o *report.Result) {
		o.Requests.Taken++
		switch {
		case answer == served:
			o.Requests.Served++
		case isRejection(answer):
			o.Requests.Refused++
		default:
			o.Requests.Failed++
		}
		if answer != served {
			o.Errors[answer]++
		}
	})
}

// read judges a read of a client's own row, of which written is the last payload that it knows to be committed. A write that it
// gave up earlier may have been committed since, and then the row has that.
func (j *judge) read(r *request, got, written string) {
	payloads := j.payloads(r.group, r.ownRow)
	if slices.Index(payloads, got) < slices.Index(payloads, written) {
		j.g.Break(missedOwnWrite, "%s: %q, and %q was written before; the row had %v", r.id, got, written, payloads[max(0, len(payloads)-6):])
	}
}

// servedFrom judges the age of what a read with a bound was served, by the stamp of the host. The bound counts from the last byte to
// the host, so at the earliest from when the client began to write that.
func (j *judge) servedFrom(r *request, position string) {
	if r.class.Access != Bounded || position == "" {
		return
	}
	var stamp float64
	if _, err := fmt.Sscan(position, &stamp); err != nil {
		j.g.Break(staleRead, "%s: the position %q can't be read", r.id, position)
		return
	}
	sent := float64(r.sentFrom.UnixMicro()) / 1e3
	if age := sent - stamp; age > float64(r.class.Bound)+machineMillis {
		j.g.Break(staleRead, "%s at %s: data of %.0f ms before it was sent; its class permits %d", r.id, r.pooler, age, r.class.Bound)
	}
}

// closed judges requests whose connection was ended by the pooler before they had an answer.
func (j *judge) closed(open []*request, why error) {
	now := time.Now()
	time.Sleep(disconnectGrace) // a host may see one a moment later
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range open {
		lay := now.Sub(r.writtenAt)
		switch {
		case j.wasKilled(r.pooler, r.writtenAt, now):
			j.g.Do(func(o *report.Result) { o.Errors["killed"]++ })
		case len(j.seen[r.id]) > 0:
			j.g.Break(unanswered, "%s at %s: a host had it, %v after it was sent: %v", r.id, r.pooler, lay, why)
		case lay > unreadGrace+j.slack:
			j.g.Break(unanswered, "%s at %s: it lay there for %v: %v", r.id, r.pooler, lay, why)
		default:
			j.crossed++
		}
	}
}

// wasKilled reports whether a pooler was killed while a request was open there. j.mu is held.
func (j *judge) wasKilled(pooler string, from, till time.Time) bool {
	for _, at := range j.killed[pooler] {
		if at.After(from.Add(-j.slack)) && at.Before(till.Add(j.slack)) {
			return true
		}
	}
	return false
}

// wasTroubled reports whether a link was troubled at some time in a span. j.mu is held.
func (j *judge) wasTroubled(link string, from, till time.Time) bool {
	for _, t := range j.troubles[link] {
		if t.from.Before(till) && (t.till.IsZero() || t.till.After(from)) {
			return true
		}
	}
	return false
}

// served is the answer of a request that has its result.
const served = "served"

// isRejection reports whether an answer promises that nothing ran.
func isRejection(answer string) bool { return answer == "53300" || answer == "57P03" }

// finish judges what only the end of a run shows. versions is how often a row was written.
func (j *judge) finish(versions func(group uint64, ref string) int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		if r.ref != "" {
			switch n := versions(r.group, r.ref); {
			case n > 1 && r.class.Effect == AtMostOnce:
				j.g.Break(duplicateWrite, "%s wrote %s %d times: %v", r.id, r.ref, n, j.seen[r.id])
			case n == 0 && r.answer == served:
				j.g.Break(lostCommit, "%s: %s was acknowledged and is not there", r.id, r.ref)
			}
		}
		j.judgeEffect(r)
		for _, s := range j.seen[r.id] {
			j.judgeSighting(r, s)
		}
	}
	j.judgeColdLoad()
	j.g.Do(func(o *report.Result) {
		o.Notes = append(o.Notes, fmt.Sprintf("%d requests crossed a close and were not read", j.crossed))
	})
}

// judgeEffect judges a request by what its hosts ran, the answer to its client, and the effect of its class. j.mu is held.
func (j *judge) judgeEffect(r *request) {
	ran := j.runs(r.id)
	if len(ran) == 0 {
		return
	}
	if isRejection(r.answer) && !r.class.rejectionIsHarmless() {
		j.g.Break(rejectedAfterRun, "%s (%s, %s) at %s: %s, and it ran: %v", r.id, r.class.Access, r.class.Effect, r.pooler, r.answer, ran)
	}
	switch r.class.Effect {
	case AtMostOnce:
		if len(ran) > 1 {
			j.g.Break(runTwice, "%s (%s) at %s: %v", r.id, r.class.Access, r.pooler, ran)
		}
	case Deduplicated:
		const memory = 5 * time.Second // for which a troubled link may hold bytes back
		last := ran[len(ran)-1]
		isHeldBack := j.wasTroubled(r.pooler+">"+last.host, last.at.Add(-memory), last.at)
		if after := last.at.Sub(ran[0].at); after > r.class.Window.Duration()+j.slack && !isHeldBack {
			j.g.Break(runOutsideWindow, "%s at %s: %v after its first run; hosts discard repeats for %d ms: %v", r.id, r.pooler, after, r.class.Window, ran)
		}
	case Idempotent:
	}
}

// judgeSighting judges that a host got a request at a moment. j.mu is held.
func (j *judge) judgeSighting(r *request, s sighting) {
	link := r.pooler + ">" + s.host
	const memory = 5 * time.Second // for which a troubled link may hold bytes back
	if !r.disconnectedAt.IsZero() && s.at.After(r.disconnectedAt.Add(disconnectGrace+j.slack)) && !j.wasTroubled(link, s.at.Add(-memory), s.at) {
		j.g.Break(sentAfterDisconnect, "%s reached %s %v after its client had gone", r.id, s.host, s.at.Sub(r.disconnectedAt))
	}
	for _, d := range j.drains[s.host] {
		bound := d.from.Add(drainGrace + j.slack)
		for _, t := range j.troubles[r.pooler+">discovery"] {
			if end := t.till.Add(notifiedWithin + drainGrace); t.from.Before(s.at) && (t.till.IsZero() || end.After(bound)) {
				bound = end
				if t.till.IsZero() {
					bound = s.at
				}
			}
		}
		inside := s.at.After(bound) && (d.till.IsZero() || s.at.Before(d.till))
		if inside && !j.wasTroubled(link, s.at.Add(-memory), s.at) {
			j.g.Break(sentToDraining, "%s reached %s %v after it was listed as draining", r.id, s.host, s.at.Sub(d.from))
		}
	}
}
