package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/vfs"
	"ashstand/internal/warmstate"
)

// stuck is a disk whose writes hang until it is let go.
type stuck struct {
	vfs.OS
	release chan struct{}
	mu      sync.Mutex
	creates int
	full    bool
}

func (d *stuck) Create(path string) (vfs.File, error) {
	d.mu.Lock()
	d.creates++
	full := d.full
	d.mu.Unlock()
	if full {
		return nil, os.ErrPermission
	}
	<-d.release
	return d.OS.Create(path)
}

func (d *stuck) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.creates
}

// Guards against a disk that holds up the pooler, or its end.
func TestADiskThatHangsHoldsUpNothing(t *testing.T) {
	w := build(t, "postgresql")
	d := &stuck{release: make(chan struct{}), full: true}
	k := &keeper{node: w.node, store: warmstate.NewUnlockedStore(d, t.TempDir()), head: warmstate.Header{Name: "n1", SiteHash: "s"}, clock: clock.System()}
	<-k.save()
	<-k.save()
	require.Equal(t, keeperView{File: k.store.Path(), Failures: 2, Failing: true, TookMS: k.view().TookMS}, k.view())
	d.full = false
	hung := k.save()
	require.Eventually(t, func() bool { return d.count() == 3 }, 5*time.Second, time.Millisecond)
	for range 10 {
		<-k.save() // not begun: the last one still hangs
	}
	begun := time.Now()
	k.last()
	require.Less(t, time.Since(begun), lastSave)
	require.Equal(t, 3, d.count())
	_, f := dial(t, w.listen)
	require.Equal(t, []string{value}, ask(t, f, "/* id=s1,c=donate,d=9000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('a', '1') RETURNING payload"))
	close(d.release)
	<-hung
	require.Equal(t, 1, k.view().Saves)
	require.False(t, k.view().Failing)

	// What was written is what the commands show.
	out, err := run("state", "show", k.store.Path())
	require.NoError(t, err)
	require.Contains(t, out, "p limit")
	out, err = run("state", "verify", k.store.Path())
	require.NoError(t, err)
	require.Contains(t, out, "good: 1 hosts, 4 classes")
	out, err = run("state", "export", k.store.Path())
	require.NoError(t, err)
	require.Contains(t, out, `"name": "p"`)
	b, err := os.ReadFile(k.store.Path())
	require.NoError(t, err)
	b[bytes.Index(b, []byte(`"limit"`))] ^= 1
	bad := filepath.Join(t.TempDir(), "bad")
	require.NoError(t, os.WriteFile(bad, b, 0o600))
	_, err = run("state", "verify", bad)
	require.ErrorContains(t, err, "these parts can't be read: host")
	_, err = run("state", "show", bad+"-none")
	require.ErrorIs(t, err, os.ErrNotExist)
}

// run runs a command of the program.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	c := command()
	c.SetArgs(args)
	c.SetOut(&out)
	err := c.Execute()
	return out.String(), err
}

func TestCommands(t *testing.T) {
	t.Setenv("EDGE_CONFIG", "")
	out, err := run("check", "../../"+operatorFile)
	require.NoError(t, err)
	require.Contains(t, out, "good")
	file := filepath.Join(t.TempDir(), "x.hcl")
	require.NoError(t, os.WriteFile(file, []byte("sessions {\n  listen = \"127.0.0.1:1\"\n  pool \"a\" {\n    read_only = \"browse\"\n    read_write = \"browse\"\n  }\n}\n"), 0o600))
	_, err = run("check", file)
	require.NoError(t, err)
	config := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(config, []byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":`+site+`}`), 0o600))
	t.Setenv("EDGE_CONFIG", config)
	_, err = run("check", file)
	require.ErrorContains(t, err, `read_write = "browse": it takes a class of writes`)
	_, err = run("sessions", "--file", "../../"+operatorFile)
	require.ErrorContains(t, err, "no admin.listen")
	_, err = run("hosts", "--admin", "unix:"+filepath.Join(t.TempDir(), "none.sock"))
	require.ErrorContains(t, err, "no pooler answers")
	_, err = run("nonsense")
	require.ErrorContains(t, err, "unknown command")
	out, err = run("version")
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(out, "ashstand"))
}
