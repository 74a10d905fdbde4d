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

// echo sends back what it receives.
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

// runInSubprocess runs the calling test in a process of its own, whose descriptor limit the test may change. It returns true in
// that process, where the test has to continue.
func runInSubprocess(t *testing.T) bool {
	if os.Getenv("ALONE") == t.Name() {
		return true
	}
	c := exec.Command(os.Args[0], "-test.run=^"+strings.ReplaceAll(t.Name(), "/", "$/^")+"$", "-test.v", "-test.timeout=60s")
	// With more than one arena, the C library briefly opens a file under /sys when a thread allocates for the first time. That
	// would use one more descriptor than the test expects, at an unpredictable time.
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

// openDescriptors returns the number of descriptors that this process holds.
func openDescriptors(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(all) - 1 // without the descriptor of the directory that is being read
}

// setDescriptorLimit limits the process to n descriptors.
func setDescriptorLimit(t *testing.T, n int) {
	var r syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r))
	r.Cur = uint64(n)
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &r))
}

// exhaustDescriptors opens every free descriptor, and returns a function that closes n of them.
func exhaustDescriptors(t *testing.T) (back func(n int)) {
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

// cpuTime returns the CPU time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startClients starts another process that connects n clients to address once start is called; their descriptors don't count
// against this process. What the clients receive is written to output.
func startClients(t *testing.T, address string, n int) (start func(), output io.Reader) {
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

// TestClientsOutside is the body of the process that startClients starts. Each client connects and prints the first data that it
// receives. The connections stay open until standard input ends.
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

func exchange(t *testing.T, c net.Conn, text string) string {
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
	return read(t, c)
}

// freePort returns a port that nobody listens on.
func freePort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	_, p, _ := net.SplitHostPort(l.Addr().String())
	return p
}

// ended reports whether the event loop has ended by itself.
func ended(e *Engine) bool { return len(e.stopped) > 0 }

// waitForText reads the output of startClients until text has occurred n times.
func waitForText(t *testing.T, said io.Reader, text string, n int) {
	var all strings.Builder
	b := make([]byte, 4096)
	for strings.Count(all.String(), text) < n {
		got, err := said.Read(b)
		all.Write(b[:got])
		require.NoError(t, err, all.String())
	}
}

// When accept finds no free descriptor, gnet would end the event loop and close every connection. Instead, new clients must be
// rejected with a message while existing connections are served, and accepted again once descriptors are free.
func TestAcceptWithoutDescriptorsTurnsClientsAway(t *testing.T) {
	if !runInSubprocess(t) {
		return
	}
	e := New()
	e.Exhaustion.Reject = func(gnet.Conn) []byte { return []byte("no room") }
	address := "127.0.0.1:" + freePort(t)
	require.NoError(t, e.Start(address, func(gnet.Conn) (Handler, []byte, gnet.Action) { return echo{}, []byte("welcome"), gnet.None }))
	defer e.Stop()
	old := connect(t, address)
	require.Equal(t, "welcome", read(t, old))
	come, told := startClients(t, address, 40)
	setDescriptorLimit(t, openDescriptors(t)+24)
	back := exhaustDescriptors(t) // no descriptor is free
	come()
	waitForText(t, told, `"no room"`, 40)
	require.Equal(t, "still", exchange(t, old, "still"))
	used, begun := cpuTime(t), time.Now()
	// No client is connecting, so the event loop must be idle. The duration of Never is the interval over which the CPU time is
	// measured.
	require.Never(t, func() bool { return ended(e) }, 300*time.Millisecond, 50*time.Millisecond)
	share := float64(cpuTime(t)-used) / float64(time.Since(begun))
	fmt.Printf("figure: 40 turned away; processor time at rest afterwards %.3f of a core\n", share)
	require.Less(t, share, 0.3)
	back(12)
	require.Equal(t, "welcome", read(t, connect(t, address)))
	require.Equal(t, "still", exchange(t, old, "still"))
}

// If there is neither a client to evict nor a descriptor in the reserve, the event loop must keep running without a busy loop.
func TestAcceptWithoutDescriptorsOrReserveDoesNotSpin(t *testing.T) {
	if !runInSubprocess(t) {
		return
	}
	e := New()
	var asked atomic.Int64
	e.Exhaustion.EvictClient = func() bool { asked.Add(1); return false }
	address := "127.0.0.1:" + freePort(t)
	require.NoError(t, e.Start(address, func(gnet.Conn) (Handler, []byte, gnet.Action) { return echo{}, []byte("welcome"), gnet.None }))
	defer e.Stop()
	old := connect(t, address)
	require.Equal(t, "welcome", read(t, old))
	come, told := startClients(t, address, 3)
	setDescriptorLimit(t, openDescriptors(t)+24)
	e.reserve.releaseAll()
	back := exhaustDescriptors(t)
	come()
	require.Eventually(t, func() bool { return asked.Load() > 20 }, 10*time.Second, time.Millisecond)
	used, begun, before := cpuTime(t), time.Now(), asked.Load()
	require.Eventually(t, func() bool { return asked.Load() > before+100 }, 10*time.Second, 5*time.Millisecond)
	share, pace := float64(cpuTime(t)-used)/float64(time.Since(begun)), float64(asked.Load()-before)/time.Since(begun).Seconds()
	fmt.Printf("figure: accept asked %.0f times a second with nothing to give, processor time %.3f of a core\n", pace, share)
	require.Less(t, share, 0.5)
	require.Less(t, pace, 1100.)
	require.Equal(t, "still", exchange(t, old, "still"))
	back(12)
	waitForText(t, told, `"welcome"`, 3)
}

// When no descriptor is free, the client that EvictClient selects is closed so that a new client can be accepted.
func TestAcceptWithoutDescriptorsClosesWhoIsMissedLeast(t *testing.T) {
	if !runInSubprocess(t) {
		return
	}
	e := New()
	var idle []gnet.Conn // used only on the event loop
	e.Exhaustion.EvictClient = func() bool {
		if len(idle) == 0 {
			return false
		}
		c := idle[0]
		idle = idle[1:]
		_ = c.EventLoop().Close(c)
		return true
	}
	address := "127.0.0.1:" + freePort(t)
	require.NoError(t, e.Start(address, func(c gnet.Conn) (Handler, []byte, gnet.Action) {
		idle = append(idle, c)
		return echo{}, []byte("welcome"), gnet.None
	}))
	defer e.Stop()
	old, told := startClients(t, address, 20)
	old()
	waitForText(t, told, `"welcome"`, 20)
	come, said := startClients(t, address, 10)
	setDescriptorLimit(t, openDescriptors(t)+24)
	exhaustDescriptors(t)
	come()
	waitForText(t, said, `"welcome"`, 10)
	require.True(t, e.reserve.fill(), "the reserve is whole again")
	require.False(t, ended(e))
}

// When clients use every descriptor, a dial uses one of the reserve.
func TestDialWithoutDescriptorsTakesFromTheReserve(t *testing.T) {
	if !runInSubprocess(t) {
		return
	}
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := New()
	require.NoError(t, e.Start("127.0.0.1:"+freePort(t), func(gnet.Conn) (Handler, []byte, gnet.Action) { return nil, nil, gnet.Close }))
	defer e.Stop()
	setDescriptorLimit(t, openDescriptors(t)+24)
	back := exhaustDescriptors(t)
	c, err := e.Dial(context.Background(), peer.Addr().String(), echo{})
	require.NoError(t, err)
	require.NoError(t, c.Close())
	back(8)
	require.True(t, e.reserve.fill())
	exhaustDescriptors(t)
	e.reserve.releaseAll()
	exhaustDescriptors(t)
	_, err = e.Dial(context.Background(), peer.Addr().String(), echo{})
	require.True(t, OutOfDescriptors(err), "%v", err)
	require.False(t, ended(e))
}

// Register allows the next registration only once the duplicated descriptor is closed, so that a dial holds one descriptor after
// it has returned.
func TestRegisterHoldsOneDescriptorAfterwards(t *testing.T) {
	if !runInSubprocess(t) {
		return
	}
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := New()
	require.NoError(t, e.Start("127.0.0.1:"+freePort(t), func(gnet.Conn) (Handler, []byte, gnet.Action) { return nil, nil, gnet.Close }))
	defer e.Stop()
	_, err = e.Dial(context.Background(), peer.Addr().String(), echo{}) // the first dial opens descriptors that later ones share
	require.NoError(t, err)
	for range 300 {
		before := openDescriptors(t)
		_, err = e.Dial(context.Background(), peer.Addr().String(), echo{})
		require.NoError(t, err)
		require.Equal(t, before+1, openDescriptors(t))
	}
}

// gnet reports the result before it closes the descriptor that it duplicated. awaitRegistration must wait for both.
func TestRegisterWaitsForTheSecondDescriptor(t *testing.T) {
	done := make(chan gnet.RegisteredResult) // unbuffered, so that each send waits for a receive
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
