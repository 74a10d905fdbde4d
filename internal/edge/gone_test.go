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

// leaving is the context of a client that has gone, of which nobody was told yet: Err says it, Done does not. It holds the
// moment between the two, which else is a goroutine's turn.
type leaving struct {
	context.Context
	mu   sync.Mutex
	gone error
	told chan struct{}
}

func newLeaving() *leaving {
	return &leaving{Context: context.Background(), told: make(chan struct{})}
}

func (l *leaving) Done() <-chan struct{} { return l.told }
func (l *leaving) Err() error            { l.mu.Lock(); defer l.mu.Unlock(); return l.gone }
func (l *leaving) leave() {
	l.mu.Lock()
	l.gone = context.Canceled
	l.mu.Unlock()
}

// steps is a backend on which a client may go at each step of an attempt.
type steps struct {
	*taking
	at      func(step string)
	outcome dispatch.Code // of what is written
	mu      sync.Mutex
	written int
}

func (b *steps) count() int { b.mu.Lock(); defer b.mu.Unlock(); return b.written }

func (b *steps) Acquire(context.Context, string) (Conn, error) {
	b.at("dial")
	return b, nil
}

func (b *steps) Exchange(_ context.Context, _ *sqlcomment.Statement, gate Gate) Reply {
	b.at("gate")
	if _, ok := gate(); !ok {
		return NotSent()
	}
	b.mu.Lock()
	b.written++
	b.mu.Unlock()
	b.at("written")
	return Reply{Outcome: dispatch.Outcome{Code: b.outcome}}
}

// The client goes at each step of its request, and the decisions hear of it only at the very end: from then on nothing is
// written, neither the attempt that was chosen nor a further one.
func TestNothingIsWrittenForAClientThatHasGone(t *testing.T) {
	for _, c := range []struct {
		step    string
		outcome dispatch.Code
		written int
	}{
		{"begin", dispatch.Rejected, 0},
		{"dial", dispatch.Rejected, 0},
		{"gate", dispatch.Rejected, 0},
		{"written", dispatch.Rejected, 1}, // what has begun has begun, and is not begun again
		{"written", dispatch.ConnectionLost, 1},
		{"written", dispatch.ServerError, 1},
		{"written", dispatch.NoConnection, 1},
		{"written", dispatch.NotSent, 1},
	} {
		e, s := core(t, 0)
		client, once := newLeaving(), sync.Once{}
		b := &steps{taking: e.backend.(*taking), outcome: c.outcome}
		b.at = func(step string) {
			if step == c.step {
				once.Do(client.leave)
			}
		}
		e.backend = b
		b.at("begin")
		end := make(chan Verdict, 1)
		go func() { end <- e.Do(client, s, e.Now()).Verdict }()
		select {
		case verdict := <-end:
			require.Equal(t, Disconnected, verdict, "%s, %d", c.step, c.outcome)
		case <-time.After(5 * time.Second):
			require.FailNow(t, "it goes on for nobody", "%s, %d: %d written", c.step, c.outcome, b.count())
		}
		require.Equal(t, c.written, b.count(), "%s, %d", c.step, c.outcome)
		require.Empty(t, e.openIDs, "its id is free")
	}
}

// In the other order: the decisions hear of the end while the request is held, so nobody asks it at a gate.
func TestAHeldRequestOfAClientThatHasGoneIsGivenUp(t *testing.T) {
	e, s := core(t, 0)
	b := &steps{taking: e.backend.(*taking), at: func(string) {}}
	e.backend = b
	e.dispatcher.UpdateEndpoints(true, nil) // nobody is listed: it is held
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan Result)
	go func() { result <- e.Do(ctx, s, e.Now()) }()
	require.Eventually(t, func() bool { e.mu.Lock(); defer e.mu.Unlock(); return len(e.openIDs) == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Equal(t, Disconnected, (<-result).Verdict)
	e.dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{{Host: "p", Group: 1, Primary: true}})
	e.dispatcher.Tick()
	require.Zero(t, b.count())
}
