package loop

import (
	"context"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

// maxTasksInARow is how many tasks run in a row before the event loop polls its sockets again. A time limit would need to read
// the clock for each task, and on a slow core the event loop would poll after every task.
const maxTasksInARow = 32

// TaskQueue runs functions on an event loop, in order. gnet runs the functions given to EventLoop.Execute until none is left, and
// only then polls its sockets: tasks that post further tasks would keep it from reading. A TaskQueue lets the event loop poll its
// sockets after every maxTasksInARow tasks. It is safe for concurrent use.
type TaskQueue struct {
	loop gnet.EventLoop

	mu        sync.Mutex // guards tasks and scheduled
	tasks     []func()
	scheduled bool // run is queued, or is running
}

// NewTaskQueue returns a queue for an event loop.
func NewTaskQueue(l gnet.EventLoop) *TaskQueue { return &TaskQueue{loop: l} }

// Post queues a task to run on the event loop. It returns an error if the event loop has ended.
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
	// Schedule from another goroutine: if it were scheduled here, run would be called again before the event loop polls its
	// sockets.
	go func() { _ = q.schedule() }()
}
