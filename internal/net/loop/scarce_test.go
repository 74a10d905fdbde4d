package loop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"
)

// echo answers what comes with the same.
type echo struct{ closed func() }

func (echo) Traffic(c gnet.Conn) gnet.Action {
	b, _ := c.Next(-1)
	_, _ = c.Write(b)
	return gnet.None
}

func (h echo) Closed(gnet.Conn, error) {
	if h.closed != nil {
		h.closed()
	}
}

// alone runs a test in a process of its own, whose limit of descriptors it may change.
func alone(t *testing.T) bool {
	if os.Getenv("ALONE") == t.Name() {
		return true
	}
	c := exec.Command(os.Args[0], "-test.run=^"+strings.ReplaceAll(t.Name(), "/", "$/^")+"$", "-test.v", "-test.timeout=60s")
	// With more arenas the C library opens a file under /sys for a moment when a thread allocates for the first time: one descriptor
	// more than the test reckons with, at any time.
	c.Env = append(os.Environ(), "ALONE="+t.Name(), "MALLOC_ARENA_MAX=1")
	out, err := c.CombinedOutput()
	require.NoError(t, err, "%s", out)
	require.Contains(t, string(out), "--- PASS: "+t.Name())
	for _, l := range strings.Split(string(out), "\n") {
		if strings.Contains(l, "figure:") {
			t.Log(strings.TrimSpace(l))
		}
	}
	return false
}

// open names the descriptors that this process holds.
func open(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(all) - 1 // the folder's own
}

// limit lets the process hold so many descriptors from now on.
func limit(t *testing.T, n int) {
	var r syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r))
	r.Cur = uint64(n)
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &r))
}

// fill takes every descriptor that is free, and returns one that gives them back.
func fill(t *testing.T) (back func(n int)) {
	var taken []int
	for {
		fd, err := syscall.Open("/dev/null", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
		if err != nil {
			require.ErrorIs(t, err, syscall.EMFILE)
			return func(n int) {
				for _, fd := range taken[:n] {
					_ = syscall.Close(fd)
				}
				taken = taken[n:]
			}
		}
		taken = append(taken, fd)
	}
}

// processor is the time that this process has used.
func processor(t *testing.T) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// outside are clients in another process, whose descriptors are not this one's. They connect when they are told to.
func outside(t *testing.T, address string, n int) (come func(), said io.Reader) {
	c := exec.Command(os.Args[0], "-test.run=^TestClientsOutside$", "-test.v")
	c.Env = append(os.Environ(), "CLIENTS="+address, fmt.Sprintf("COUNT=%d", n))
	in, err := c.StdinPipe()
	require.NoError(t, err)
	out, err := c.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	t.Cleanup(func() { _ = in.Close(); _ = c.Wait() })
	return func() {
		_, err := in.Write([]byte{'\n'})
		require.NoError(t, err)
	}, out
}

// TestClientsOutside is the body of outside: each client connects and says what it is told first. They stay until
// standard input ends.
func TestClientsOutside(t *testing.T) {
	address := os.Getenv("CLIENTS")
	if address == "" {
		t.Skip("is run by other tests")
	}
	n, err := strconv.Atoi(os.Getenv("COUNT"))
	require.NoError(t, err)
	_, err = os.Stdin.Read(make([]byte, 1))
	require.NoError(t, err)
	var writing sync.Mutex
	for range n {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		go func() {
			b := make([]byte, 64)
			got, err := c.Read(b)
			writing.Lock()
			defer writing.Unlock()
			fmt.Printf("client: %q %v\n", b[:got], err)
		}()
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// connect opens a connection of this process.
func connect(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

func read(t *testing.T, c net.Conn) string {
	b := make([]byte, 64)
	n, err := c.Read(b)
	require.NoError(t, err)
	return string(b[:n])
}

func say(t *testing.T, c net.Conn, text string) string {
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
	return read(t, c)
}

// port is one that nobody listens on.
func port(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	_, p, _ := net.SplitHostPort(l.Addr().String())
	return p
}

// ended says whether the loop has ended by itself.
func ended(e *Engine) bool { return len(e.stopped) > 0 }

// lines reads what clients said until so many lines hold a text.
func lines(t *testing.T, said io.Reader, text string, n int) {
	var all strings.Builder
	b := make([]byte, 4096)
	for strings.Count(all.String(), text) < n {
		got, err := said.Read(b)
		all.Write(b[:got])
		require.NoError(t, err, all.String())
	}
}

// Accept finds no descriptor free: gnet would end the loop, and every connection with it. Clients are turned away in
// words, one by one, while connections are served; when descriptors are free again, clients are accepted as before.
func TestAcceptWithoutDescriptorsTurnsClientsAway(t *testing.T) {
	if !alone(t) {
		return
	}
	e := New()
	e.Exhaustion.Reject = func(gnet.Conn) []byte { return []byte("no room") }
	address := "127.0.0.1:" + port(t)
	require.NoError(t, e.Start(address, func(gnet.Conn) (Handler, []byte, gnet.Action) { return echo{}, []byte("welcome"), gnet.None }))
	defer e.Stop()
	old := connect(t, address)
	require.Equal(t, "welcome", read(t, old))
	come, told := outside(t, address, 40)
	limit(t, open(t)+24)
	back := fill(t) // not one is free
	come()
	lines(t, told, `"no room"`, 40)
	require.Equal(t, "still", say(t, old, "still"))
	used, begun := processor(t), time.Now()
	// Nothing comes: nothing is asked. Polling a while is the measurement, not an order.
	require.Never(t, func() bool { return ended(e) }, 300*time.Millisecond, 50*time.Millisecond)
	share := float64(processor(t)-used) / float64(time.Since(begun))
	fmt.Printf("figure: 40 turned away; processor time at rest afterwards %.3f of a core\n", share)
	require.Less(t, share, 0.3)
	back(12)
	require.Equal(t, "welcome", read(t, connect(t, address)))
	require.Equal(t, "still", say(t, old, "still"))
}

// With nothing to give up, neither a connection nor a descriptor of the reserve, the loop goes on and does not spin.
func TestAcceptWithoutDescriptorsOrReserveDoesNotSpin(t *testing.T) {
	if !alone(t) {
		return
	}
	e := New()
	var asked atomic.Int64
	e.Exhaustion.EvictClient = func() bool { asked.Add(1); return false }
	address := "127.0.0.1:" + port(t)
	require.NoError(t, e.Start(address, func(gnet.Conn) (Handler, []byte, gnet.Action) { return echo{}, []byte("welcome"), gnet.None }))
	defer e.Stop()
	old := connect(t, address)
	require.Equal(t, "welcome", read(t, old))
	come, told := outside(t, address, 3)
	limit(t, open(t)+24)
	e.reserve.releaseAll()
	back := fill(t)
	come()
	require.Eventually(t, func() bool { return asked.Load() > 20 }, 10*time.Second, time.Millisecond)
	used, begun, before := processor(t), time.Now(), asked.Load()
	require.Eventually(t, func() bool { return asked.Load() > before+100 }, 10*time.Second, 5*time.Millisecond)
	share, pace := float64(processor(t)-used)/float64(time.Since(begun)), float64(asked.Load()-before)/time.Since(begun).Seconds()
	fmt.Printf("figure: accept asked %.0f times a second with nothing to give, processor time %.3f of a core\n", pace, share)
	require.Less(t, share, 0.5)
	require.Less(t, pace, 1100.)
	require.Equal(t, "still", say(t, old, "still"))
	back(12)
	lines(t, told, `"welcome"`, 3)
}

// A client that is missed least gives its place to the one that comes.
func TestAcceptWithoutDescriptorsClosesWhoIsMissedLeast(t *testing.T) {
	if !alone(t) {
		return
	}
	e := New()
	var idle []gnet.Conn // on the loop
	e.Exhaustion.EvictClient = func() bool {
		if len(idle) == 0 {
			return false
		}
		c := idle[0]
		idle = idle[1:]
		_ = c.EventLoop().Close(c)
		return true
	}
	address := "127.0.0.1:" + port(t)
	require.NoError(t, e.Start(address, func(c gnet.Conn) (Handler, []byte, gnet.Action) {
		idle = append(idle, c)
		return echo{}, []byte("welcome"), gnet.None
	}))
	defer e.Stop()
	old, told := outside(t, address, 20)
	old()
	lines(t, told, `"welcome"`, 20)
	come, said := outside(t, address, 10)
	limit(t, open(t)+24)
	fill(t)
	come()
	lines(t, said, `"welcome"`, 10)
	require.True(t, e.reserve.fill(), "the reserve is whole again")
	require.False(t, ended(e))
}

// Clients fill every descriptor: a dial takes its own from the reserve.
func TestDialWithoutDescriptorsTakesFromTheReserve(t *testing.T) {
	if !alone(t) {
		return
	}
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := New()
	require.NoError(t, e.Start("127.0.0.1:"+port(t), func(gnet.Conn) (Handler, []byte, gnet.Action) { return nil, nil, gnet.Close }))
	defer e.Stop()
	limit(t, open(t)+24)
	back := fill(t)
	c, err := e.Dial(context.Background(), peer.Addr().String(), echo{})
	require.NoError(t, err)
	require.NoError(t, c.Close())
	back(8)
	require.True(t, e.reserve.fill())
	fill(t)
	e.reserve.releaseAll()
	fill(t)
	_, err = e.Dial(context.Background(), peer.Addr().String(), echo{})
	require.True(t, OutOfDescriptors(err), "%v", err)
	require.False(t, ended(e))
}

// Enrol gives its place to the next only when the descriptor that was doubled is closed.
func TestEnrolHoldsOneDescriptorAfterwards(t *testing.T) {
	if !alone(t) {
		return
	}
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := New()
	require.NoError(t, e.Start("127.0.0.1:"+port(t), func(gnet.Conn) (Handler, []byte, gnet.Action) { return nil, nil, gnet.Close }))
	defer e.Stop()
	_, err = e.Dial(context.Background(), peer.Addr().String(), echo{}) // what is opened once only
	require.NoError(t, err)
	for range 300 {
		before := open(t)
		_, err = e.Dial(context.Background(), peer.Addr().String(), echo{})
		require.NoError(t, err)
		require.Equal(t, before+1, open(t))
	}
}

// gnet says that the loop has the connection before it closes the one that it doubled: only then is the place free.
func TestEnrolWaitsForTheSecondDescriptor(t *testing.T) {
	done := make(chan gnet.RegisteredResult) // each value is taken, or waits
	failed := errors.New("failed")
	got := make(chan error, 1)
	go func() { got <- awaitRegistration(done).Err }()
	done <- gnet.RegisteredResult{Err: failed}
	select {
	case done <- gnet.RegisteredResult{}:
	case <-time.After(10 * time.Second):
		t.Fatal("the end was not waited for")
	}
	require.Equal(t, failed, <-got)
}

func TestOutOfDescriptorsIsNothingElse(t *testing.T) {
	require.True(t, OutOfDescriptors(fmt.Errorf("dial: %w", os.NewSyscallError("socket", syscall.EMFILE))))
	require.True(t, OutOfDescriptors(syscall.ENFILE))
	require.False(t, OutOfDescriptors(nil))
	require.False(t, OutOfDescriptors(syscall.ECONNREFUSED))
	require.False(t, errors.Is(neverEqualError{}, neverEqualError{}))
}
