package admin

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// listenAndServe opens an address and serves it.
func listenAndServe(address string, views map[string]func() any, commands map[string]Command) (*Server, error) {
	l, err := Listen(address)
	if err != nil {
		return nil, err
	}
	return Serve(l, views, commands), nil
}

func TestAdminAnswersOnASocketOfItsOwn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.sock")
	left, err := net.Listen("unix", path) // what a process that was killed leaves behind
	require.NoError(t, err)
	left.(*net.UnixListener).SetUnlinkOnClose(false)
	left.Close()
	views := map[string]func() any{"sessions": func() any { return map[string]int{"clients": 3} }, "bad": func() any { return make(chan int) }}
	s, err := listenAndServe("unix:"+path, views, nil)
	require.NoError(t, err)
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "nobody else reads it")
	_, err = listenAndServe("unix:"+path, views, nil)
	require.ErrorContains(t, err, "another process answers")
	var got map[string]int
	require.NoError(t, Get("unix:"+path, "sessions", &got))
	require.Equal(t, map[string]int{"clients": 3}, got)
	var raw []byte
	require.NoError(t, Get("unix:"+path, "sessions", &raw))
	require.Contains(t, string(raw), `"clients": 3`)
	require.ErrorContains(t, Get("unix:"+path, "none", &got), "404")
	require.ErrorContains(t, Get("unix:"+path, "bad", &got), "500")
	s.Stop()
	require.NoFileExists(t, path)
	require.ErrorContains(t, Get("unix:"+path, "sessions", &got), "no pooler answers")
	tcp, err := listenAndServe("127.0.0.1:0", views, nil)
	require.NoError(t, err)
	tcp.Stop()
	require.NoError(t, os.WriteFile(path, []byte("a file of somebody's"), 0o600))
	_, err = listenAndServe("unix:"+path, views, nil)
	require.Error(t, err)
	require.FileExists(t, path, "which is no socket, and stays")
}

// What changes something is done on a Unix socket alone, and what is wrong with it reaches whoever asked.
func TestDeeds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.sock")
	deeds := map[string]Command{"add": func(_ context.Context, body []byte) (any, error) {
		if len(body) == 0 {
			return nil, errors.New("nothing was sent")
		}
		return map[string]int{"n": len(body)}, nil
	}}
	s, err := listenAndServe("unix:"+path, nil, deeds)
	require.NoError(t, err)
	defer s.Stop()
	var out struct{ N int }
	require.NoError(t, Invoke("unix:"+path, "add", []byte("abc"), &out))
	require.Equal(t, 3, out.N)
	require.EqualError(t, Invoke("unix:"+path, "add", nil, &out), "nothing was sent")
	require.ErrorContains(t, Invoke("unix:"+path, "other", nil, &out), "404")
	require.Error(t, Invoke("unix:"+path, "add", make([]byte, maxBody+1), &out))
	require.ErrorContains(t, Invoke("127.0.0.1:1", "add", nil, &out), "a Unix socket alone")
}
