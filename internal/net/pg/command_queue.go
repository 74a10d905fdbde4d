package pg

import "unsafe"

// maxQueuedRuns limits the runs of commands that one client may have queued. Runs are short only where commands
// of different kinds alternate; queries reach the limit in bytes first.
const maxQueuedRuns = 4096

// queuedCommand is a command that waits until the commands before it are answered, or a run of commands without
// text that are of the same kind and were rejected or accepted alike.
type queuedCommand struct {
	Command
	rejected bool // a query whose text was dropped because the client sent too much ahead of its answers
	count    int  // number of commands in the run
	bytes    int  // bytes that count towards the read-ahead limit
}

// commandQueue holds the commands of one client that wait until the commands before them are answered, in order
// of arrival. Its memory is bounded whatever the client sends: beyond the limit, the text of a query is dropped
// and the query is rejected when its turn comes. This allows the front to read the connection without pausing,
// so that it detects the client's disconnect, and every command still gets an answer. The queue is confined to
// the event loop.
type commandQueue struct {
	runs  []queuedCommand
	bytes int
	ended bool // later input is not read, since nothing after the last command can be answered
}

// runBytes is the memory that a run takes beside its text.
const runBytes = int(unsafe.Sizeof(queuedCommand{}))

// heldBytes returns the memory that the queue holds.
func (q *commandQueue) heldBytes() int { return q.bytes + cap(q.runs)*runBytes }

// isEmpty reports whether no command is queued.
func (q *commandQueue) isEmpty() bool { return len(q.runs) == 0 }

// push appends a command. If its bytes exceed limit, they are not retained. It returns false if the queue has
// no room for another run.
func (q *commandQueue) push(c Command, limit int) bool {
	next := queuedCommand{Command: c, count: 1}
	if q.bytes+c.Size <= limit {
		next.bytes = c.Size
	} else if c.Kind == Query {
		next.rejected, next.Text = true, ""
	}
	q.bytes += next.bytes
	if q.extendLast(&next) {
		return true
	}
	if len(q.runs) >= maxQueuedRuns {
		q.bytes -= next.bytes
		return false
	}
	q.runs = append(q.runs, next)
	return true
}

// extendLast adds a command to the last run if both are alike, and reports whether it did.
func (q *commandQueue) extendLast(next *queuedCommand) bool {
	if len(q.runs) == 0 || next.Text != "" {
		return false
	}
	last := &q.runs[len(q.runs)-1]
	if last.Kind != next.Kind || last.Text != "" || last.rejected != next.rejected {
		return false
	}
	last.count += next.count
	last.bytes += next.bytes
	return true
}

// end appends the final command regardless of the limits; no input after it is read.
func (q *commandQueue) end(c Command) {
	q.runs = append(q.runs, queuedCommand{Command: c, count: 1})
	q.ended = true
}

// pop removes and returns the first command. ok is false if the queue is empty.
func (q *commandQueue) pop() (c queuedCommand, ok bool) {
	if len(q.runs) == 0 {
		return queuedCommand{}, false
	}
	first := &q.runs[0]
	c = *first
	c.count = 1
	if first.count > 1 {
		first.count--
		c.bytes = min(first.bytes, first.Size)
		first.bytes -= c.bytes
		q.bytes -= c.bytes
		return c, true
	}
	q.bytes -= first.bytes
	q.runs[0] = queuedCommand{}
	if q.runs = q.runs[1:]; len(q.runs) == 0 {
		q.runs = nil
	}
	return c, true
}

// rejectNewest drops the text of the newest queries until n bytes are freed, and returns the number of bytes
// freed. Rejected queries that follow each other become one run.
func (q *commandQueue) rejectNewest(n int) (freed int) {
	first := len(q.runs)
	for ; first > 0 && freed < n; first-- {
		r := &q.runs[first-1]
		if r.bytes == 0 {
			continue
		}
		freed += r.bytes
		q.bytes -= r.bytes
		r.bytes = 0
		if r.Kind == Query {
			r.rejected, r.Text = true, ""
		}
	}
	if freed > 0 {
		q.mergeFrom(first)
	}
	return freed
}

// mergeFrom merges runs from an index on that are alike, and frees the memory of those that are gone.
func (q *commandQueue) mergeFrom(first int) {
	rest := q.runs[first:]
	q.runs = append(make([]queuedCommand, 0, first+1), q.runs[:first]...)
	for i := range rest {
		if !q.extendLast(&rest[i]) {
			q.runs = append(q.runs, rest[i])
		}
	}
}
