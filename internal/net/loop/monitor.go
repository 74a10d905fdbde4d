package loop

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// probeInterval is the time between two probes of the event loop.
const probeInterval = 100 * time.Millisecond

// Report tells how a probe fared: a task that was posted to the event loop and had to wait for its turn, as an answer does.
type Report struct {
	// Lag is how long the probe waited.
	Lag time.Duration
	// Messages is how many messages of clients the event loop handled meanwhile, and Connections how many clients were open.
	Messages, Connections int
	// BusiestClient is the name of the client of which most of these messages came, and BusiestMessages how many.
	BusiestClient   string
	BusiestMessages int
	// AcceptQueue is how many connections waited to be accepted.
	AcceptQueue int
}

// messageCounter counts messages of clients since the last probe. The event loop owns all but total.
type messageCounter struct {
	total           atomic.Int64
	busiestFront    string
	busiestNumber   uint32
	busiestMessages int
}

// CountMessages counts messages of a client that its front has handled in one go. number identifies the client among those of the
// front. It is called on the event loop.
func (e *Engine) CountMessages(front string, number uint32, n int) {
	e.messages.total.Add(int64(n))
	if n > e.messages.busiestMessages {
		e.messages.busiestFront, e.messages.busiestNumber, e.messages.busiestMessages = front, number, n
	}
}

// Monitor begins to probe the event loop every probeInterval until ctx ends, and to pass what it found to observe, which is called
// on the event loop. It must be called before Stop: the end of the engine writes to the listeners that it reads here.
func (e *Engine) Monitor(ctx context.Context, observe func(Report)) {
	go e.monitor(ctx, newAcceptQueue(e.engine, e.addresses), observe)
}

func (e *Engine) monitor(ctx context.Context, queue acceptQueue, observe func(Report)) {
	defer queue.close()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !e.probe(ctx, queue, observe) {
			return
		}
	}
}

// probeStart is what was known when a probe had been posted.
type probeStart struct {
	at          time.Time
	messages    int64
	acceptQueue int
}

// report returns how a probe fared that the event loop runs now.
func (e *Engine) report(start *probeStart) Report {
	m := &e.messages
	r := Report{
		Lag: time.Since(start.at), Messages: int(m.total.Load() - start.messages), Connections: e.engine.CountConnections(),
		BusiestMessages: m.busiestMessages, AcceptQueue: start.acceptQueue,
	}
	if m.busiestMessages > 0 {
		r.BusiestClient = fmt.Sprint(m.busiestFront, " ", m.busiestNumber)
	}
	m.busiestMessages = 0
	return r
}

// probe posts one probe and waits for it. It reports whether the event loop still runs.
func (e *Engine) probe(ctx context.Context, queue acceptQueue, observe func(Report)) bool {
	l, ok := e.eventLoop.Load().(gnet.EventLoop)
	if !ok {
		return true // nothing has connected yet
	}
	done := make(chan struct{})
	var posted atomic.Pointer[probeStart]
	err := l.Execute(ctx, gnet.RunnableFunc(func(context.Context) error {
		defer close(done)
		if start := posted.Load(); start != nil { // otherwise it did not wait at all
			observe(e.report(start))
		}
		return nil
	}))
	// Read after the post: this goroutine may not run for a while before it.
	posted.Store(&probeStart{at: time.Now(), messages: e.messages.total.Load(), acceptQueue: queue.length()})
	if err != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-e.loopEnded:
		return false
	}
}

// acceptQueue reads the length of the listening sockets' accept queues.
type acceptQueue struct{ descriptors []int }

// newAcceptQueue returns the accept queues of an engine's addresses, without those whose descriptors can't be had.
func newAcceptQueue(engine gnet.Engine, addresses []string) (q acceptQueue) {
	for _, address := range addresses {
		if fd, err := engine.DupListener("tcp", address); err == nil {
			q.descriptors = append(q.descriptors, fd)
		}
	}
	return q
}

// length returns how many connections wait to be accepted; 0 if the kernel does not tell.
func (q acceptQueue) length() (n int) {
	for _, fd := range q.descriptors {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n += int(info.Unacked) // of a listening socket: connections that are established and not accepted
		}
	}
	return n
}

func (q acceptQueue) close() {
	for _, fd := range q.descriptors {
		_ = unix.Close(fd)
	}
}
