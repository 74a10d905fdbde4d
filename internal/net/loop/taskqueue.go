package loop

import (
	"context"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

// maxTasksInARow is how many tasks run in a row before the event loop looks at its sockets again. A bound in time would need the
// clock for each task, and on a slow core have the loop look after every one.
const maxTasksInARow = 32

// TaskQueue runs functions on an event loop, in order. gnet runs what is given to EventLoop.Execute until nothing is left, and
// only then looks at its sockets: tasks that bring about further ones keep it from reading for as long as they last. A TaskQueue
// has it look in between. It is safe for concurrent use.
type TaskQueue struct {
	loop gnet.EventLoop

	mu        sync.Mutex // guards what follows
	tasks     []func()
	scheduled bool // run is queued, or is running
}

// NewTaskQueue returns a queue for an event loop.
func NewTaskQueue(l gnet.EventLoop) *TaskQueue { return &TaskQueue{loop: l} }

// Post has a task run on the event loop, later. It fails where the event loop has ended.
func (q *TaskQueue) Post(task func()) error {
	q.mu.Lock()
	q.tasks = append(q.tasks, task)
	schedule := !q.scheduled
	q.scheduled = true
	q.mu.Unlock()
	if schedule {
		return q.schedule()
	}
	return nil
}

func (q *TaskQueue) schedule() error {
	return q.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		q.run()
		return nil
	}))
}

// run runs tasks until none is left or enough have run in a row.
func (q *TaskQueue) run() {
	for range maxTasksInARow {
		q.mu.Lock()
		if len(q.tasks) == 0 {
			q.tasks, q.scheduled = nil, false
			q.mu.Unlock()
			return
		}
		task := q.tasks[0]
		q.tasks[0] = nil
		q.tasks = q.tasks[1:]
		q.mu.Unlock()
		task()
	}
	// From another goroutine: queued here, it would run before the event loop looks at its sockets.
	go func() { _ = q.schedule() }()
}
