package edge

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
	"ashstand/internal/sqlcomment"
)

// disconnectingContext is the context of a client whose disconnect is not signalled yet: Err returns an
// error, but Done is not closed. In production this state lasts only until another goroutine is scheduled.
type disconnectingContext struct {
	context.Context
	mu   sync.Mutex
	err  error
	done chan struct{}
}

func newDisconnectingContext() *disconnectingContext {
	return &disconnectingContext{Context: context.Background(), done: make(chan struct{})}
}

func (c *disconnectingContext) Done() <-chan struct{} { return c.done }
func (c *disconnectingContext) Err() error            { c.mu.Lock(); defer c.mu.Unlock(); return c.err }

func (c *disconnectingContext) disconnect() {
	c.mu.Lock()
	c.err = context.Canceled
	c.mu.Unlock()
}

// hookedBackend is a backend that calls a hook at each step of an attempt, at which a client may disconnect.
type hookedBackend struct {
	*fakeBackend
	hook    func(step string)
	outcome dispatch.Code // code of each attempt that is written
	mu      sync.Mutex
	written int
}

func (b *hookedBackend) writtenCount() int { b.mu.Lock(); defer b.mu.Unlock(); return b.written }

func (b *hookedBackend) Acquire(context.Context, string) (Conn, error) {
	b.hook("dial")
	return b, nil
}

func (b *hookedBackend) Exchange(_ context.Context, _ *sqlcomment.Statement, gate Gate) Reply {
	b.hook("gate")
	if _, ok := gate(); !ok {
		return NotSentReply()
	}
	b.mu.Lock()
	b.written++
	b.mu.Unlock()
	b.hook("written")
	return Reply{Outcome: dispatch.Outcome{Code: b.outcome}}
}

// Guards against writes for a client that has disconnected while dispatch is not notified of it yet. Whatever
// the step at which the client disconnects, nothing is written from then on, neither the attempt that was
// chosen nor a further one.
func TestNoWriteAfterClientDisconnect(t *testing.T) {
	for _, test := range []struct {
		step    string
		outcome dispatch.Code
		written int
	}{
		{"begin", dispatch.Rejected, 0},
		{"dial", dispatch.Rejected, 0},
		{"gate", dispatch.Rejected, 0},
		{"written", dispatch.Rejected, 1}, // the attempt was already written; there is no further one
		{"written", dispatch.ConnectionLost, 1},
		{"written", dispatch.ServerError, 1},
		{"written", dispatch.NoConnection, 1},
		{"written", dispatch.NotSent, 1},
	} {
		e, s := newTestEdge(t, 0)
		client, once := newDisconnectingContext(), sync.Once{}
		b := &hookedBackend{fakeBackend: e.backend.(*fakeBackend), outcome: test.outcome}
		b.hook = func(step string) {
			if step == test.step {
				once.Do(client.disconnect)
			}
		}
		e.backend = b
		b.hook("begin")
		verdicts := make(chan Verdict, 1)
		go func() { verdicts <- e.Do(client, s, e.Now()).Verdict }()
		select {
		case verdict := <-verdicts:
			require.Equal(t, Disconnected, verdict, "%s, %d", test.step, test.outcome)
		case <-time.After(5 * time.Second):
			require.FailNow(t, "the request goes on after its client has disconnected", "%s, %d: %d written", test.step, test.outcome, b.writtenCount())
		}
		require.Equal(t, test.written, b.writtenCount(), "%s, %d", test.step, test.outcome)
		require.Empty(t, e.openIDs, "the request's id is still in use")
	}
}

// Dispatch is notified of the disconnect while the request is queued, so the request never reaches a gate. It
// must end, and must not be sent later.
func TestQueuedRequestEndsOnClientDisconnect(t *testing.T) {
	e, s := newTestEdge(t, 0)
	b := &hookedBackend{fakeBackend: e.backend.(*fakeBackend), hook: func(string) {}}
	e.backend = b
	e.dispatcher.UpdateEndpoints(true, nil) // no host is listed, so the request is queued
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan Result)
	go func() { result <- e.Do(ctx, s, e.Now()) }()
	require.Eventually(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return len(e.openIDs) == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Equal(t, Disconnected, (<-result).Verdict)
	e.dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{{Host: "p", Group: 1, Primary: true}})
	e.dispatcher.Tick()
	require.Zero(t, b.writtenCount())
}
