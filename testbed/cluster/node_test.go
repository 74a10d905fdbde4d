package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/consensus/runner"
	"ashstand/internal/vfs"
	"ashstand/testbed/report"
)

// TestMain lets this program stand in for the pooler: it reads its file, listens, answers an empty query and ends when it is
// told to. A second process of its place can't listen.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		if err := standIn(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func standIn() error {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM)
	b, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	var c struct{ Listen string }
	if err := json.Unmarshal(b, &c); err != nil {
		return err
	}
	time.Sleep(20 * time.Millisecond) // as a start takes
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 100))
				_, _ = c.Write([]byte("I\x00\x00\x00\x04"))
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}()
		}
	}()
	<-told
	time.Sleep(10 * time.Millisecond)
	return nil
}

// standIns is a rig whose poolers are stand-ins.
func standIns(t *testing.T, poolers int) *rig {
	program, err := filepath.Abs(os.Args[0])
	require.NoError(t, err)
	r := &rig{o: Options{Pooler: program, Plan: Plan{Seed: 1, Poolers: poolers, Probe: 100, Names: names(poolers)}}, g: report.New("test", 1), begun: time.Now()}
	t.Cleanup(r.close)
	require.NoError(t, r.setup())
	return r
}

// Faults that end and start one process, however they overlap, leave one process there: none starts a second one, whose
// port or file would be the first one's, and none takes what another did for a crash or a bad exit.
func TestFaultsThatOverlapOnAProcessStartOne(t *testing.T) {
	r := standIns(t, 2)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	var watch sync.WaitGroup
	watch.Go(func() { r.watch(ctx) })
	kinds := []string{"kill", "kill", "restart", "clock ahead", "clock fast", "clock ahead", "pause"}
	for round := range 8 {
		var all sync.WaitGroup
		for i, k := range kinds {
			all.Go(func() {
				sleep(ctx, time.Duration((round*7+i*11)%40)*time.Millisecond)
				end, err := r.begin(ctx, Fault{Kind: k, A: "n1"})
				if err != nil {
					return // there was nothing to restart or to stop
				}
				sleep(ctx, 50*time.Millisecond)
				end()
			})
		}
		all.Wait()
		n := r.node("n1")
		p, paused := n.process()
		require.NotNil(t, p)
		require.False(t, paused)
		require.Zero(t, n.held)
		require.Zero(t, n.ahead+n.fast)
		_, err := r.fleet.Launch("n1")
		require.ErrorContains(t, err, "runs already")
		for _, c := range []string{"failed_start", "bad_exit", "crashed"} {
			require.Zero(t, r.g.Result(1).Broken[c], "%s: %v", c, r.g.Result(1).Notes)
		}
	}
	stop()
	watch.Wait()
	p, _ := r.node("n1").process()
	require.NotNil(t, p, "it did not crash")
}

// A process that ends by itself is a crash, once, and the place can be taken by faults as before. One that was told to end
// is none.
func TestACrashIsSeen(t *testing.T) {
	r := standIns(t, 2)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	n := r.node("n2")
	p, _ := n.process()
	require.NoError(t, p.Signal(syscall.SIGTERM)) // nobody whom the rig knows of
	<-p.Ended()
	require.True(t, n.crashed(p))
	require.False(t, n.crashed(p))
	p, _ = n.process()
	require.Nil(t, p)
	end, err := r.begin(ctx, Fault{Kind: "kill", A: "n2"})
	require.NoError(t, err)
	end()
	p, _ = n.process()
	require.NotNil(t, p)
	n.mu.Lock()
	n.drains = true // as a restart has it until it takes the process away
	n.mu.Unlock()
	require.NoError(t, p.Signal(syscall.SIGTERM))
	<-p.Ended()
	require.False(t, n.crashed(p))
	require.Empty(t, r.g.Result(1).Notes)
}

// A process that is gone for good stays away whatever other faults do, and of the voters a minority goes.
func TestGoneForGood(t *testing.T) {
	r := standIns(t, 4)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	begin := func(kind, a string) (end func(), err error) { return r.begin(ctx, Fault{Kind: kind, A: a}) }
	end, err := begin("kill", "n2")
	require.NoError(t, err)
	r.play(ctx, Fault{Kind: "gone", A: "n2", For: 60000})
	require.Equal(t, 1, r.g.Result(1).Faults["gone"])
	require.False(t, r.spans[0].till.IsZero(), "from then on it is to be seen as it is")
	end()
	for _, k := range []string{"kill", "restart", "clock ahead", "pause", "gone"} {
		_, err := begin(k, "n2")
		require.Error(t, err, k)
	}
	_, err = begin("gone", "n1")
	require.ErrorContains(t, err, "a majority of the voters")
	end, err = begin("all killed", "")
	require.NoError(t, err, "the one voter that may lose its folder is gone")
	end()
	_, err = begin("gone", "n4")
	require.NoError(t, err, "that one has no vote")
	for name, there := range map[string]bool{"n1": true, "n2": false, "n3": true, "n4": false} {
		p, _ := r.node(name).process()
		require.Equal(t, there, p != nil, name)
	}
	require.Empty(t, r.g.Result(1).Notes)
}

// A voter's identity is read from the folder that the program keeps.
func TestAVotersIdentityIsRead(t *testing.T) {
	r := &rig{dir: t.TempDir()}
	n := &node{name: "n1"}
	require.Zero(t, r.identity(n))
	kept := consensus.InitialState("n1", []string{"n1", "n2", "n3"})
	f, err := runner.OpenStorage(vfs.OS{}, r.folder("n1"))
	require.NoError(t, err)
	defer f.Close()
	require.NoError(t, f.Save(kept))
	require.NotZero(t, kept.ID)
	require.Equal(t, kept.ID, r.identity(n))
}

// A second process of a name that comes back after its pause is not in yet for long; one that is never refused is.
func TestTheStayOfASecondProcess(t *testing.T) {
	begun := time.Unix(0, 0)
	refused, in := seen{}, seen{}
	refused.Refused = &struct {
		Instance uint64 `json:"instance"`
	}{1}
	for _, c := range []struct {
		out  func(second int) bool
		long time.Duration
	}{
		{func(int) bool { return false }, 16 * time.Second},
		{func(s int) bool { return s%12 >= 1 && s%12 < 11 }, 2 * time.Second},
		{func(s int) bool { return s >= 9 }, 9 * time.Second},
	} {
		d := &double{in: begun}
		for s := range 17 {
			v := in
			if c.out(s) {
				v = refused
			}
			d.hear(v, begun.Add(time.Duration(s)*time.Second))
		}
		require.InDelta(t, c.long.Seconds(), d.long.Seconds(), 1)
	}
}
