package loop

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// No client may be able to connect to an address while it is checked: the end of the check would reset the connection, and a
// request that the client had already sent would be lost.
func TestTheCheckOfAnAddressTakesNoConnection(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.Error(t, checkAddressFree(address), "another listens there")
	free.Close()
	var checked atomic.Bool
	var clients sync.WaitGroup
	var connected atomic.Int64
	for range 4 {
		clients.Go(func() {
			for !checked.Load() {
				if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					connected.Add(1)
					c.Close()
				}
			}
		})
	}
	failed := 0
	for range 3000 {
		if checkAddressFree(address) != nil { // a client may use the port as its local port for a moment
			failed++
		}
	}
	checked.Store(true)
	clients.Wait()
	require.Zero(t, connected.Load())
	require.Less(t, failed, 3000)
}

// Register must not return a connection whose registration the kernel rejected: its descriptor is closed, and the number may
// belong to another connection by then. The test closes the descriptor before the event loop adds it, so that epoll_ctl fails.
func TestAConnectionThatIsNotRegisteredIsNotHandedOut(t *testing.T) {
	e, address, l := listenEcho(t)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	held, release := make(chan struct{}), make(chan struct{})
	require.NoError(t, l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		close(held)
		<-release
		return nil
	})))
	<-held
	result := make(chan error, 1)
	go func() {
		_, err := e.Register(c, echoes{})
		result <- err
	}()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	own := -1
	require.NoError(t, raw.Control(func(fd uintptr) { own = int(fd) }))
	duplicate := -1
	require.Eventually(t, func() bool { duplicate = sameSocket(own); return duplicate >= 0 }, 10*time.Second, time.Millisecond)
	require.NoError(t, unix.Close(duplicate))
	close(release)
	require.ErrorIs(t, <-result, errNotRegistered)
}

// sameSocket returns another descriptor of the socket that fd refers to, or -1 if there is none.
func sameSocket(fd int) int {
	own, err := os.Readlink(fmt.Sprintf("/proc/self/fd/%d", fd))
	if err != nil {
		return -1
	}
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return -1
	}
	for _, entry := range all {
		other, err := strconv.Atoi(entry.Name())
		if link, _ := os.Readlink("/proc/self/fd/" + entry.Name()); err == nil && other != fd && link == own {
			return other
		}
	}
	return -1
}

// The engine listens on its own address last, so that a client that can connect to it can connect to the others too. All addresses
// are in use here, and the error names the one that was tried first.
func TestItsOwnAddressIsOpenedAfterTheOthers(t *testing.T) {
	occupied := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l.Addr().String()
	}
	own, other := occupied(), occupied()
	reject := func(gnet.Conn) (Handler, []byte, gnet.Action) { return nil, nil, gnet.Close }
	e := New()
	require.NoError(t, e.AddListener(other, reject))
	err := e.Start(own, reject)
	require.ErrorContains(t, err, "listen on "+other+":")
}
