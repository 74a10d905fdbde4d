package fleet

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

func build(t *testing.T) (program string) {
	program = filepath.Join(t.TempDir(), "ashstand")
	out, err := exec.Command("go", "build", "-o", program, "ashstand/cmd/ashstand").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

// A fleet of two groups: hosts, lists and databases of each, and sessions that reach the group that is their database's home.
func TestGroupsAndTheirDatabases(t *testing.T) {
	for _, bad := range []map[string]int{{"a": 3}, {"a": 0}, {"x": 1}} {
		_, err := Start(Options{Groups: 2, Databases: []string{"a", "b"}, Homes: bad})
		require.ErrorContains(t, err, "home of database")
	}
	f, err := Start(Options{Pooler: build(t), Groups: 2, Replicas: 1, Databases: []string{"a", "b", "c"}, Homes: map[string]int{"c": 2}, Clients: 10, Servers: 4})
	require.NoError(t, err)
	defer f.Stop()
	var names []string
	for _, h := range f.Hosts {
		names = append(names, h.Name)
	}
	require.Equal(t, []string{"host-1-0", "host-1-1", "host-2-0", "host-2-1"}, names)
	require.Equal(t, []string{"a"}, f.Groups[0].Databases())
	require.Equal(t, []string{"b", "c"}, f.Groups[1].Databases())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for db, g := range map[string]int{"a": 1, "b": 2, "c": 2} {
		c, err := pgx.Connect(ctx, "postgres://web@"+f.Pooler.Sessions+"/"+db+"?sslmode=disable")
		require.NoError(t, err)
		_, err = c.Exec(ctx, "INSERT INTO entries (ref, payload) VALUES ($1, $1)", "of-"+db)
		require.NoError(t, err, db)
		require.NoError(t, c.Close(ctx))
		require.Equal(t, []map[string]string{{"ref": "of-" + db, "payload": "of-" + db}}, f.Groups[g-1].Database(db).Dump("entries"))
	}
	require.NoError(t, func() error { f.Hosts[1].Stop(); return f.Hosts[1].Restart() }(), "at the address that it had")
}

// The program with sessions: a bad operator's file changes nothing on SIGHUP, and on SIGTERM a transaction finishes.
func TestProgramReloadsAndDrainsSessions(t *testing.T) {
	program := build(t)
	f, err := Start(Options{Pooler: program, Replicas: 1, Clients: 20, Servers: 4})
	require.NoError(t, err)
	defer f.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	connect := func() *pgx.Conn {
		c, err := pgx.Connect(ctx, "postgres://web@"+f.Pooler.Sessions+"/orders?sslmode=disable")
		require.NoError(t, err)
		return c
	}
	c, idle := connect(), connect()
	_, err = c.Exec(ctx, "SET app.a TO 'b'")
	require.NoError(t, err)
	require.NoError(t, f.Rewrite("n1", func(text string) string { return strings.Replace(text, "size ", "sise ", 1) }))
	require.NoError(t, f.Pooler.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(f.Pooler.Log(), "going on with the configuration held") }, 5*time.Second, 5*time.Millisecond)
	require.Contains(t, f.Pooler.Log(), `An argument named`)
	require.NoError(t, f.Rewrite("n1", func(text string) string {
		return strings.Replace(strings.Replace(text, "sise ", "size ", 1), "clients            = 20", "clients            = 2", 1)
	}))
	require.NoError(t, f.Pooler.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool {
		c, err := pgx.Connect(ctx, "postgres://web@"+f.Pooler.Sessions+"/orders?sslmode=disable")
		if err == nil {
			_ = c.Close(ctx)
		}
		return err != nil && strings.Contains(err.Error(), "53300")
	}, 5*time.Second, 20*time.Millisecond, "the new bound counts")
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO entries (ref, payload) VALUES ('last', '1')")
	require.NoError(t, err)
	require.NoError(t, f.Pooler.Signal(syscall.SIGTERM))
	time.Sleep(time.Second)
	require.NoError(t, tx.Commit(ctx), "it finishes what it has")
	_, err = idle.Exec(ctx, "SELECT 1")
	for err == nil && ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		_, err = idle.Exec(ctx, "SELECT 1")
	}
	require.NotNil(t, err)
	<-f.Pooler.Ended()
	require.NoError(t, f.Pooler.Err(), "%s", f.Pooler.Log())
	require.Equal(t, 1, f.Cluster.Versions("public", "entries", "last"))
}
