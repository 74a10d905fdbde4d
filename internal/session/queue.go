package session

import "container/list"

// HostPoolLimits limits the connections and waiting sessions for one host, database and user.
type HostPoolLimits struct {
	// MaxConnections is the maximum number of server connections.
	MaxConnections int
	// MaxWaiting is the maximum number of sessions that wait for a server connection.
	MaxWaiting int
}

// Waiter is a session that waits for a server connection. A session has at most one Waiter, so that first
// come, first served is fair between sessions.
type Waiter struct {
	// Deadline is the time, in clock milliseconds, at which the session is rejected and told to retry.
	Deadline float64
	// Owner identifies the session to the caller.
	Owner   any
	element *list.Element
	queue   *Queue
}

// Queue holds the sessions that wait for a connection to one host, database and user. Its zero value is ready
// to use.
type Queue struct{ waiters list.List }

// Len returns the number of waiting sessions.
func (q *Queue) Len() int { return q.waiters.Len() }

// Add appends a session to the queue. It returns false if maxWaiting sessions are already waiting.
func (q *Queue) Add(w *Waiter, maxWaiting int) bool {
	if q.waiters.Len() >= maxWaiting {
		return false
	}
	w.element, w.queue = q.waiters.PushBack(w), q
	return true
}

// Next removes and returns the session that has waited longest and whose deadline has not passed; nil if
// there is none. Expired sessions before it are removed and passed to onExpired.
func (q *Queue) Next(now float64, onExpired func(*Waiter)) *Waiter {
	for e := q.waiters.Front(); e != nil; e = q.waiters.Front() {
		w := e.Value.(*Waiter)
		w.Dequeue()
		if w.Deadline > now {
			return w
		}
		onExpired(w)
	}
	return nil
}

// Expire removes from the queue all waiters whose deadline has passed, at any place in it, and passes them to
// onExpired.
func (q *Queue) Expire(now float64, onExpired func(*Waiter)) {
	for e := q.waiters.Front(); e != nil; {
		w, next := e.Value.(*Waiter), e.Next()
		if w.Deadline <= now {
			w.Dequeue()
			onExpired(w)
		}
		e = next
	}
}

// Dequeue removes the session from its queue, if it is in one.
func (w *Waiter) Dequeue() {
	if w.queue != nil {
		w.queue.waiters.Remove(w.element)
		w.queue, w.element = nil, nil
	}
}

// IsQueued reports whether the session is in a queue.
func (w *Waiter) IsQueued() bool { return w.queue != nil }

// WaitTimeout returns how long a session may wait for a connection, in milliseconds. It is the time that the
// client requested, less replyMargin, so that the reply still reaches the client in time; it is 0 if nothing
// is left. If the client requested no time, or more than a limit above 0, it is the limit.
func WaitTimeout(requested, limit, replyMargin float64) float64 {
	if requested <= 0 || limit > 0 && requested > limit {
		return limit
	}
	return max(0, requested-replyMargin)
}
