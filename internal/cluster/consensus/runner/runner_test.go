package runner

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus"
	"ashstand/internal/vfs"
)

func TestStorage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a")
	require.NoError(t, Bootstrap(vfs.OS{}, path, "n1", []string{"n1", "n2", "n3"}))
	require.ErrorContains(t, Bootstrap(vfs.OS{}, path, "n1", []string{"n1"}), "something is kept there already")
	f, err := OpenStorage(vfs.OS{}, path)
	require.NoError(t, err)
	_, err = OpenStorage(vfs.OS{}, path)
	require.ErrorIs(t, err, ErrInUse)
	d, err := f.Load()
	require.NoError(t, err)
	require.Equal(t, consensus.InitialState("n1", []string{"n1", "n2", "n3"}).ID, d.ID)
	d.Versions.Active = consensus.Version{Number: 3, Rules: consensus.Rules{"tries": 2.0}}
	require.NoError(t, f.Save(d))
	again, err := f.Load()
	require.NoError(t, err)
	require.Equal(t, 3, again.Versions.Active.Number)
	require.Equal(t, d.Snapshot.GetData(), again.Snapshot.GetData())

	name := filepath.Join(path, stateFileName)
	b, err := os.ReadFile(name)
	require.NoError(t, err)
	require.NoError(t, f.Save(d))
	require.NoError(t, f.Save(d))
	for _, put := range []func() error{
		func() error { return os.WriteFile(name, b, 0o600) }, // overwrites the existing file
		func() error { return errors.Join(os.WriteFile(name+".copy", b, 0o600), os.Rename(name+".copy", name)) },
	} {
		require.NoError(t, put())
		d, err = f.Load()
		require.ErrorIs(t, err, ErrCopy, "restored from a backup")
		require.Equal(t, []any{uint64(0), 3}, []any{d.ID, d.Versions.Active.Number}, "the versions are kept, the identity is not")
	}

	for cut := range len(b) {
		if cut%37 > 0 {
			continue
		}
		require.NoError(t, os.WriteFile(name, b[:cut], 0o600))
		_, err = f.Load()
		require.ErrorIs(t, err, ErrMalformed)
	}
	d, err = f.Load()
	require.Nil(t, d)
	require.NoError(t, err, "it was moved aside")
	f.Close()
	f, err = OpenStorage(vfs.OS{}, path)
	require.NoError(t, err)
	f.Close()
}

// memoryDir returns a temporary directory, in memory if /dev/shm exists, so that tests don't depend on the
// speed of a disk.
func memoryDir(t *testing.T) string {
	path, err := os.MkdirTemp("/dev/shm", "ashstand-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(path) })
	return path
}

// testNetwork delivers messages between the runners of one test.
type testNetwork struct {
	mu          sync.Mutex
	runners     map[string]*Runner
	partitioned map[string]bool
}

func (n *testNetwork) send(from string) func(string, []byte) {
	return func(to string, b []byte) {
		n.mu.Lock()
		r := n.runners[to]
		if n.partitioned[from] || n.partitioned[to] {
			r = nil
		}
		n.mu.Unlock()
		if r != nil {
			r.Receive(b)
		}
	}
}

func (n *testNetwork) cut(name string, down bool) {
	n.mu.Lock()
	n.partitioned[name] = down
	n.mu.Unlock()
}

func TestRunnersReachConsensus(t *testing.T) {
	voters := []string{"n1", "n2", "n3"}
	network := &testNetwork{runners: map[string]*Runner{}, partitioned: map[string]bool{}}
	directories := map[string]string{}
	start := func(name string, instance uint64) {
		r, err := Start(Options{Directory: directories[name], Clock: clock.System(), Send: network.send(name), Config: consensus.Config{
			Name: name, Incarnation: instance, Voters: voters,
			LeaseMillis: 600, ClockDrift: 0.05, RenewIntervalMillis: 60, ElectionTimeoutMillis: 150, Format: 1, Limits: consensus.Rules{"tries": 1.0}, Seed: instance,
		}})
		require.NoError(t, err)
		network.mu.Lock()
		network.runners[name] = r
		network.mu.Unlock()
	}
	for i, name := range []string{"n1", "n2", "n3", "n4"} {
		directories[name] = filepath.Join(memoryDir(t), name)
		if name != "n4" {
			require.NoError(t, Bootstrap(vfs.OS{}, directories[name], name, voters))
		}
		start(name, uint64(i+1))
	}
	defer func() {
		for _, r := range network.runners {
			r.Stop()
		}
	}()
	requireActive := func(v int, names ...string) {
		t.Helper()
		for _, name := range names {
			require.Eventually(t, func() bool {
				a := network.runners[name].Effective()
				return !a.LeaseExpired && len(a.Versions) == 1 && a.Versions[0] == v
			}, 10*time.Second, 5*time.Millisecond, "%s: version %d", name, v)
		}
	}
	propose := func(at string, tries float64) (int, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		return network.runners[at].Propose(ctx, consensus.Rules{"tries": tries})
	}
	requireActive(0, "n1", "n2", "n3", "n4")
	v, err := propose("n4", 5)
	require.NoError(t, err)
	require.Equal(t, 1, v)
	requireActive(1, "n1", "n2", "n3", "n4")
	require.Equal(t, 5.0, network.runners["n2"].Effective().Rules["tries"])
	_, err = network.runners["n1"].Propose(context.Background(), consensus.Rules{"tries": 0.0})
	require.ErrorContains(t, err, "allowed is 1 to 16")
	_, err = network.runners["n1"].Propose(context.Background(), consensus.Rules{"class.a.bound_ms": 5.0})
	require.ErrorContains(t, err, "stands in none", "a pooler without a lease would violate it")

	// A partitioned pooler acts on its limits once its lease has expired, and the others continue without it.
	network.cut("n4", true)
	require.Eventually(t, func() bool { a := network.runners["n4"].Effective(); return a.LeaseExpired && a.Rules["tries"] == 1.0 }, 5*time.Second, 5*time.Millisecond)
	v, err = propose("n1", 7)
	require.NoError(t, err)
	requireActive(v, "n1", "n2", "n3")
	network.cut("n4", false)
	requireActive(v, "n4")

	// A voter that restarts without its state is admitted under a new identity.
	network.runners["n3"].Stop()
	require.NoError(t, os.RemoveAll(directories["n3"]))
	start("n3", 30)
	requireActive(v, "n3")
	require.Eventually(t, func() bool {
		x := network.runners["n1"].View()
		return len(x.Voters) == 3 && x.Voters[consensus.InitialState("n3", voters).ID] == ""
	}, 10*time.Second, 10*time.Millisecond, "the new identity replaces the old one")

	// Without a majority no version can be committed, and the remaining voter acts on its limits.
	network.cut("n1", true)
	network.cut("n2", true)
	require.Eventually(t, func() bool { return network.runners["n3"].Effective().LeaseExpired }, 10*time.Second, 5*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err = network.runners["n3"].Propose(ctx, consensus.Rules{"tries": 2.0})
	var none *consensus.NoLeaderError
	require.ErrorAs(t, err, &none)
	require.NotEmpty(t, none.Advice())
	network.cut("n1", false)
	network.cut("n2", false)
	require.Eventually(t, func() bool { return !network.runners["n3"].Effective().LeaseExpired }, 10*time.Second, 5*time.Millisecond)
}

// A node whose directory can't be written is suspended, as if its process had ended: it neither sends
// messages nor acts on state that is not persisted.
func TestFullDisk(t *testing.T) {
	path := filepath.Join(memoryDir(t), "a")
	require.NoError(t, Bootstrap(vfs.OS{}, path, "n1", []string{"n1"}))
	r, err := Start(Options{Directory: path, Clock: clock.System(), Send: func(string, []byte) {}, Config: consensus.Config{
		Name: "n1", Voters: []string{"n1"}, LeaseMillis: 300,
		RenewIntervalMillis: 30, ElectionTimeoutMillis: 60, Format: 1, Limits: consensus.Rules{"tries": 1.0},
	}})
	require.NoError(t, err)
	defer r.Stop()
	require.Eventually(t, func() bool { return !r.Effective().LeaseExpired }, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, os.MkdirAll(filepath.Join(path, stateFileName+".new", "x"), 0o700)) // a directory of this name prevents the creation of the file
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = r.Propose(ctx, consensus.Rules{"tries": 2.0})
	require.Error(t, err)
	require.Eventually(t, func() bool { return r.Effective().LeaseExpired && r.View().SavesFailed > 0 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, []int{0}, r.Effective().Versions)
	require.NoError(t, os.RemoveAll(filepath.Join(path, stateFileName+".new")))
	require.Eventually(t, func() bool { return !r.Effective().LeaseExpired }, 10*time.Second, 10*time.Millisecond)
}

// unsyncedFS fails to sync while fails is set. Written data can be read then, but may be lost later.
type unsyncedFS struct {
	vfs.OS
	fails atomic.Bool
}

type unsyncedFile struct {
	vfs.File
	fsys *unsyncedFS
}

func (d *unsyncedFS) Create(path string) (vfs.File, error) {
	f, err := d.OS.Create(path)
	return unsyncedFile{f, d}, err
}

func (f unsyncedFile) Sync() error {
	if f.fsys.fails.Load() {
		return &vfs.Error{Op: "sync", Path: "f", Err: syscall.EIO}
	}
	return f.File.Sync()
}

// The previous process may have failed to sync its last save, so loaded state is written again before it is
// used. If that fails, the state is not used.
func TestLoadedStateIsRewrittenOrNotUsed(t *testing.T) {
	fsys, path := &unsyncedFS{}, filepath.Join(memoryDir(t), "a")
	require.NoError(t, Bootstrap(fsys, path, "n1", []string{"n1"}))
	identity := func() string {
		_, identity, err := fsys.ReadFile(filepath.Join(path, stateFileName), maxStateBytes)
		require.NoError(t, err)
		return identity
	}
	f, err := OpenStorage(fsys, path)
	require.NoError(t, err)
	before := identity()
	fsys.fails.Store(true)
	_, err = f.Load()
	require.ErrorIs(t, err, ErrNotDurable)
	fsys.fails.Store(false)
	d, err := f.Load()
	require.NoError(t, err)
	after := identity()
	require.NotEqual(t, before, after, "the file was replaced")
	_, err = f.Load()
	require.NoError(t, err)
	require.Equal(t, after, identity(), "this process wrote the file, so it is not rewritten")
	fsys.fails.Store(true)
	require.Error(t, f.Save(d))
	_, err = f.Load()
	require.ErrorIs(t, err, ErrNotDurable, "a later save failed")
	f.Close()

	r, err := Start(Options{Directory: path, FS: fsys, Clock: clock.System(), Send: func(string, []byte) {}, Config: consensus.Config{
		Name: "n1", Voters: []string{"n1"}, LeaseMillis: 300,
		RenewIntervalMillis: 30, ElectionTimeoutMillis: 60, Format: 1, Limits: consensus.Rules{"tries": 1.0},
	}})
	require.NoError(t, err, "the pooler starts with its voter suspended")
	defer r.Stop()
	v := r.View()
	require.Equal(t, []any{false, true, false, true}, []any{v.IsLeader, v.SavesFailed > 0, r.IsStorageHealthy(), r.Effective().LeaseExpired})
	fsys.fails.Store(false)
	require.Eventually(t, func() bool { return r.IsStorageHealthy() && !r.Effective().LeaseExpired }, 10*time.Second, 10*time.Millisecond)
}

// A voter sends nothing while it saves. If leaders were replaced for that, elections would fail as long as a
// disk is slow.
func TestSlowDiskDelaysElections(t *testing.T) {
	at := 1000.0
	n, err := consensus.New(consensus.Config{Name: "n1", Voters: []string{"n1", "n2", "n3"}, LeaseMillis: 600, RenewIntervalMillis: 60, ElectionTimeoutMillis: 100, Seed: 1}, consensus.InitialState("n1", []string{"n1", "n2", "n3"}), at)
	require.NoError(t, err)
	campaigns := func(within float64) bool {
		for end := at + within; at < end; at += 10 {
			n.Tick(at)
			for _, m := range n.Output().Messages {
				if m.Payload.Kind() == consensus.KindRaft {
					return true
				}
			}
		}
		return false
	}
	require.True(t, campaigns(250), "with a fast disk, it campaigns within twice the election timeout")
	n.RecordSaveDuration(500)
	campaigns(250) // the delay that was drawn before the slow save
	require.False(t, campaigns(1900), "with a save of 500 ms, it does not campaign within 2 s")
	require.True(t, campaigns(4100))
}
