package loop

import (
	"container/list"
	"context"

	"github.com/panjf2000/gnet/v2"
)

// Shares of the event loop, in units of work. A message of a client is one unit, and one more for each unitBytes of its length.
const (
	// ShareUnits is how much of one client's input is handled before others have their turn.
	ShareUnits = 64
	// turnUnits is how much of the input that waited for its turn is handled before the sockets are polled again.
	turnUnits = 4 * ShareUnits
	unitBytes = 1 << 10
)

// Units returns the units of work of a message of this many bytes.
func Units(messageBytes int) int { return 1 + messageBytes/unitBytes }

// MaxMessagesWhileWaiting returns how many messages of clients the event loop may handle at most while a task waits: in the turn
// in which it was posted and in the next one, a share of each of so many connections and what waited for its turn.
func MaxMessagesWhileWaiting(connections int) int {
	return 2 * (turnUnits + connections*ShareUnits)
}

// Worker is a connection with input that takes more than one share of the event loop.
type Worker interface {
	// Work handles a share of the input, settles with the queue, and returns the units that it took.
	Work() (units int)
	// Abort closes the connection, whose input led to a panic.
	Abort()
}

// FairQueue holds the connections whose input waits for its turn, in a cycle: each has a share of the event loop, and after
// turnUnits the event loop polls its sockets, accepts a connection and reads answers before the next have theirs. Its zero value is
// ready to use. The event loop owns it.
type FairQueue struct {
	waiting   list.List
	elements  map[Worker]*list.Element
	scheduled bool
	panicked  func(in string, value any) // nil: a panic is not recovered
}

// Len returns how many connections wait.
func (q *FairQueue) Len() int { return q.waiting.Len() }

// Add has a connection wait for its turn, if it does not already.
func (q *FairQueue) Add(w Worker, on gnet.EventLoop) {
	if q.elements[w] != nil {
		return
	}
	if q.elements == nil {
		q.elements = map[Worker]*list.Element{}
	}
	q.elements[w] = q.waiting.PushBack(w)
	q.schedule(on)
}

// Settle has a connection wait for its next turn, unread, if its share is used up before its input; otherwise it is read again.
func (q *FairQueue) Settle(w Worker, wire *PausableConn, hasMore bool) {
	if !hasMore {
		q.Remove(w)
		wire.Resume(PausedForShare)
		return
	}
	wire.Pause(PausedForShare)
	q.Add(w, wire.Conn.EventLoop())
}

// Remove takes a connection out of the queue.
func (q *FairQueue) Remove(w Worker) {
	if e := q.elements[w]; e != nil {
		q.waiting.Remove(e)
		delete(q.elements, w)
	}
}

// schedule has a turn run after the event loop has polled its sockets. It posts the turn from another goroutine: a task that is
// posted by a task runs before the sockets are polled.
func (q *FairQueue) schedule(on gnet.EventLoop) {
	if q.scheduled || q.waiting.Len() == 0 {
		return
	}
	q.scheduled = true
	go func() {
		_ = on.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			q.runTurn()
			q.scheduled = false
			q.schedule(on)
			return nil
		}))
	}()
}

// runTurn gives shares until a turn is used up, or each connection that waits had one.
func (q *FairQueue) runTurn() {
	units := 0
	for range q.waiting.Len() {
		e := q.waiting.Front()
		if e == nil || units >= turnUnits {
			return
		}
		w := q.waiting.Remove(e).(Worker)
		delete(q.elements, w)
		units += q.work(w)
	}
}

// work gives a connection its share. A panic closes that connection.
func (q *FairQueue) work(w Worker) (units int) {
	defer func() {
		if q.panicked == nil {
			return
		}
		if value := recover(); value != nil {
			q.panicked("loop.FairQueue", value)
			w.Abort()
		}
	}()
	return w.Work()
}
