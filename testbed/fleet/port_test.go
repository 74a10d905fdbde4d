package fleet

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Processes that draw side by side never name the same port, also while nobody listens at any of them.
func TestDrawsOfSeveralProcessesDiffer(t *testing.T) {
	const each, processes = 300, 4
	if os.Getenv("ASHLAB_DRAW") != "" {
		for range each {
			a, err := Free()
			require.NoError(t, err)
			_, _ = os.Stdout.WriteString(a + "\n")
		}
		_, _ = io.Copy(io.Discard, os.Stdin) // until all have drawn
		return
	}
	var outs []*bufio.Scanner
	for range processes {
		c := exec.Command(os.Args[0], "-test.run=^TestDrawsOfSeveralProcessesDiffer$")
		c.Env = append(os.Environ(), "ASHLAB_DRAW=1")
		in, err := c.StdinPipe()
		require.NoError(t, err)
		out, err := c.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		t.Cleanup(func() { _ = in.Close(); _ = c.Wait() })
		outs = append(outs, bufio.NewScanner(out))
	}
	seen := map[string]bool{}
	for _, out := range outs {
		for range each {
			require.True(t, out.Scan())
			require.False(t, seen[out.Text()], "%s twice", out.Text())
			seen[out.Text()] = true
		}
	}
}

// Whoever a port is for can listen there, again and again, while nobody else is given it.
func TestAPortIsHeldAndCanBeListenedAt(t *testing.T) {
	p, err := Hold()
	require.NoError(t, err)
	at, err := net.ResolveTCPAddr("tcp", p.Address)
	require.NoError(t, err)
	for range 3 {
		l, err := net.Listen("tcp", p.Address)
		require.NoError(t, err)
		u, err := net.ListenPacket("udp", p.Address)
		require.NoError(t, err)
		c, err := net.Dial("tcp", p.Address)
		require.NoError(t, err)
		s, err := l.Accept()
		require.NoError(t, err)
		require.NoError(t, s.Close()) // this side first: its end of the stream stays for a while
		require.NoError(t, c.Close())
		require.NoError(t, l.Close())
		require.NoError(t, u.Close())
		_, err = hold(at.Port)
		require.Error(t, err, "it is held while nobody listens")
	}
	p.Release()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	_, err = hold(l.Addr().(*net.TCPAddr).Port)
	require.Error(t, err, "somebody listens there")
}

// Draws keep clear of the ports that the system gives to outgoing connections.
func TestDrawnBesideOutgoing(t *testing.T) {
	for _, c := range []struct{ first, last, low, high int }{
		{32768, 60999, 12000, 32000},
		{15000, 60999, 12000, 15000},
		{10000, 50000, 50001, 65536},
		{1024, 65535, 12000, 65536},
		{49152, 65535, 12000, 32000},
	} {
		low, high := drawn(c.first, c.last)
		require.Equal(t, []int{c.low, c.high}, []int{low, high}, "%v", c)
	}
}

// A file that is written anew is read whole at any moment.
func TestFilesAreWrittenWhole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.json")
	long, short := bytes.Repeat([]byte("long"), 50000), []byte("short")
	require.NoError(t, write(path, long))
	done := make(chan error, 1)
	go func() {
		for i := range 100 {
			if err := write(path, [][]byte{short, long}[i%2]); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	for {
		b, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Contains(t, []int{len(long), len(short)}, len(b))
		select {
		case err := <-done:
			require.NoError(t, err)
			left, err := os.ReadDir(filepath.Dir(path))
			require.NoError(t, err)
			require.Len(t, left, 1)
			return
		default:
		}
	}
}
