package session

import "container/list"

// Sizes bound what is open to one host for one database and user.
type Sizes struct {
	Most    int // server connections
	Waiting int // sessions that wait for one
}

// Waiter is a session that waits for a server connection. A session has one at the most, so who came first being
// served first is fair between sessions.
type Waiter struct {
	Deadline float64 // clock milliseconds; then it is told to come again
	Of       any     // whose it is
	place    *list.Element
	in       *Queue
}

// Queue is the sessions that wait for a connection to one host, database and user. Its zero value is ready.
type Queue struct{ of list.List }

// Len is how many wait.
func (q *Queue) Len() int { return q.of.Len() }

// Add puts a session at the end. false: most are waiting already.
func (q *Queue) Add(w *Waiter, most int) bool {
	if q.of.Len() >= most {
		return false
	}
	w.place, w.in = q.of.PushBack(w), q
	return true
}

// Next takes the session that has waited for longest and still has time; those that have none are given to late.
func (q *Queue) Next(now float64, late func(*Waiter)) *Waiter {
	for e := q.of.Front(); e != nil; e = q.of.Front() {
		w := e.Value.(*Waiter)
		w.Leave()
		if w.Deadline > now {
			return w
		}
		late(w)
	}
	return nil
}

// Late takes out all whose time is over, wherever they stand.
func (q *Queue) Late(now float64, late func(*Waiter)) {
	for e := q.of.Front(); e != nil; {
		w, next := e.Value.(*Waiter), e.Next()
		if w.Deadline <= now {
			w.Leave()
			late(w)
		}
		e = next
	}
}

// Leave takes a session out of its queue, if it is in one.
func (w *Waiter) Leave() {
	if w.in != nil {
		w.in.of.Remove(w.place)
		w.in, w.place = nil, nil
	}
}

// Waiting says whether it is in one.
func (w *Waiter) Waiting() bool { return w.in != nil }

// Patience is how long a session may wait: as long as its client says, but no longer than the limit, and 0 where the
// answer could not reach it in time.
func Patience(said, limit, guard float64) float64 {
	if said <= 0 || limit > 0 && said > limit {
		return limit
	}
	return max(0, said-guard)
}
