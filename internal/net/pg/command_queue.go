package pg

// maxQueuedRuns bounds the runs of commands that one client may have waiting. Runs are short only where commands of different
// kinds alternate; queries reach the bound in bytes first.
const maxQueuedRuns = 4096

// queuedCommand is a command that waits for the answers before it, or a run of commands without text that are alike.
type queuedCommand struct {
	Command
	rejected bool // a query whose text was dropped, since too much was sent ahead
	count    int
	bytes    int // that count towards the bounds of what was read ahead
}

// commandQueue is the commands of one client that wait for the answers before them, in the order in which they came. Its memory
// is bounded whatever the client sends: past the bound the text of a query is dropped, and the query is rejected when its turn
// comes. So the connection is read without a pause, which is how its end is heard, and no command is left without an answer.
// The event loop owns it.
type commandQueue struct {
	runs  []queuedCommand
	bytes int
	ended bool // what the client sends from now on is not read: nothing behind the last command can be answered
}

// isEmpty reports whether no command waits.
func (q *commandQueue) isEmpty() bool { return len(q.runs) == 0 }

// push appends a command; bytes past limit are not retained. false: there is no room for another run.
func (q *commandQueue) push(c Command, limit int) bool {
	next := queuedCommand{Command: c, count: 1}
	if q.bytes+c.Used <= limit {
		next.bytes = c.Used
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

// extendLast adds a command to the last run, if they are alike.
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

// end appends a last command, whether there is room or not; nothing that comes behind it is read.
func (q *commandQueue) end(c Command) {
	q.runs = append(q.runs, queuedCommand{Command: c, count: 1})
	q.ended = true
}

// pop takes the first command. ok is false where none waits.
func (q *commandQueue) pop() (c queuedCommand, ok bool) {
	if len(q.runs) == 0 {
		return queuedCommand{}, false
	}
	first := &q.runs[0]
	c = *first
	c.count = 1
	if first.count > 1 {
		first.count--
		c.bytes = min(first.bytes, first.Used)
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

// rejectNewest drops the text of the newest queries until n bytes are free, and returns how many are.
func (q *commandQueue) rejectNewest(n int) (freed int) {
	for i := len(q.runs) - 1; i >= 0 && freed < n; i-- {
		r := &q.runs[i]
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
	return freed
}
