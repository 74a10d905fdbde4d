package session

import "container/list"

// Sizes bound what is open to one host for one database and user.
type Sizes struct {
	MaxConnections int // server connections
	MaxWaiting     int // sessions that wait for one
}

// Waiter is a session that waits for a server connection. A session has one at the most, so who came first being
// served first is fair between sessions.
type Waiter struct {
	Deadline float64 // clock milliseconds; then it is told to come again
	Owner    any     // whose it is
	element  *list.Element
	queue    *Queue
}

// Queue is the sessions that wait for a connection to one host, database and user. Its zero value is ready.
type Queue struct{ waiters list.List }

// Len is how many wait.
func (q *Queue) Len() int { return q.waiters.Len() }

// Add puts a session at the end. false: most are waiting already.
func (q *Queue) Add(w *Waiter, most int) bool {
	if q.waiters.Len() >= most {
		return false
	}
	w.element, w.queue = q.waiters.PushBack(w), q
	return true
}

// Next takes the session that has waited for longest and still has time; those that have none are given to late.
func (q *Queue) Next(now float64, late func(*Waiter)) *Waiter {
	for e := q.waiters.Front(); e != nil; e = q.waiters.Front() {
		w := e.Value.(*Waiter)
		w.Dequeue()
		if w.Deadline > now {
			return w
		}
		late(w)
	}
	return nil
}

// Expire takes out all whose time is over, wherever they stand.
func (q *Queue) Expire(now float64, late func(*Waiter)) {
	for e := q.waiters.Front(); e != nil; {
		w, next := e.Value.(*Waiter), e.Next()
		if w.Deadline <= now {
			w.Dequeue()
			late(w)
		}
		e = next
	}
}

// Dequeue takes a session out of its queue, if it is in one.
func (w *Waiter) Dequeue() {
	if w.queue != nil {
		w.queue.waiters.Remove(w.element)
		w.queue, w.element = nil, nil
	}
}

// IsQueued reports whether it is in one.
func (w *Waiter) IsQueued() bool { return w.queue != nil }

// WaitTimeout is how long a session may wait: as long as its client says, but no longer than the limit, and 0 where the
// answer could not reach it in time.
func WaitTimeout(requested, limit, guard float64) float64 {
	if requested <= 0 || limit > 0 && requested > limit {
		return limit
	}
	return max(0, requested-guard)
}
