package loop

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"
)

// echoes answers what it reads.
type echoes struct{}

func (echoes) Traffic(c gnet.Conn) gnet.Action {
	b, _ := c.Next(-1)
	_, _ = c.Write(b)
	return gnet.None
}

func (echoes) Closed(gnet.Conn, error) {}

// listenEcho starts an engine that echoes, and returns it with its address and event loop.
func listenEcho(t *testing.T) (e *Engine, address string, l gnet.EventLoop) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address = free.Addr().String()
	free.Close()
	loops := make(chan gnet.EventLoop, 16)
	e = New()
	require.NoError(t, e.Start(address, func(c gnet.Conn) (Handler, []byte, gnet.Action) {
		loops <- c.EventLoop()
		return echoes{}, nil, gnet.None
	}))
	t.Cleanup(e.Stop)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return e, address, <-loops
}

// Tasks that post further tasks without end must not keep the event loop from polling its sockets.
func TestEndlessTasksLeaveTheSocketsTheirTurn(t *testing.T) {
	_, address, l := listenEcho(t)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	q := NewTaskQueue(l)
	var stopped atomic.Bool
	var ran atomic.Int64
	var task func()
	task = func() {
		ran.Add(1)
		if !stopped.Load() {
			_ = q.Post(task)
		}
	}
	require.NoError(t, q.Post(task))
	defer stopped.Store(true)
	for i := range 20 {
		_, err = c.Write([]byte{byte(i)})
		require.NoError(t, err)
		got := make([]byte, 1)
		_, err = io.ReadFull(c, got)
		require.NoError(t, err)
		require.Equal(t, byte(i), got[0])
	}
	require.Greater(t, ran.Load(), int64(20))
}

// Tasks run once each, in the order in which they were posted, however many there are.
func TestTasksRunInOrder(t *testing.T) {
	_, _, l := listenEcho(t)
	q := NewTaskQueue(l)
	const n = 1000
	got := make(chan int, n)
	for i := range n {
		require.NoError(t, q.Post(func() { got <- i }))
	}
	for i := range n {
		require.Equal(t, i, <-got)
	}
	require.Empty(t, got)
}
