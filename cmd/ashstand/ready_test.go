package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// empty asks an empty query, as a platform's front does before it sends clients, and says what came.
func empty(address string) (code string, ok bool) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "not reached", false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: 196608, Parameters: map[string]string{"user": "web", "database": "orders"}})
	f.Send(&pgproto3.Query{String: ""})
	if f.Flush() != nil {
		return "not written", false
	}
	for {
		m, err := f.Receive()
		if err != nil {
			return err.Error(), false
		}
		switch m := m.(type) {
		case *pgproto3.EmptyQueryResponse:
			return "", true
		case *pgproto3.ErrorResponse:
			return m.Code, false
		}
	}
}

// readyIn waits until the pooler answers an empty query.
func readyIn(t *testing.T, listen string, logged *record) {
	require.Eventually(t, func() bool { _, ok := empty(listen); return ok }, 20*time.Second, 5*time.Millisecond, "never ready:\n%s", logged)
}

// With a list in its configuration a pooler is ready at once, whatever discovery does, and serves from that list.
func TestWithAKnownListAPoolerIsReadyAtOnce(t *testing.T) {
	for name, discovery := range map[string]func(t *testing.T) string{
		"refused": func(t *testing.T) string { return free(t) },
		"silent": func(t *testing.T) string {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { l.Close() }) // the kernel accepts, nobody answers
			return l.Addr().String()
		},
		"overbooked": func(t *testing.T) string {
			s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set("Retry-After", "60")
				rw.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(s.Close)
			return s.Listener.Addr().String()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, p := &world{}, &host{name: "p", wire: "postgresql", primary: true}
			p.serve(t)
			_, err := built()
			require.NoError(t, err)
			begun := time.Now()
			listen, _, logged, _ := launch(t, discovery(t), w.list(41, true, w.entry(p, "active")))
			readyIn(t, listen, logged)
			took := time.Since(begun)
			require.Less(t, took, 3*time.Second, "from its start")
			t.Logf("discovery %s: ready %v behind the start", name, took)
			_, f := dial(t, listen)
			require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 1, 9000)))
		})
	}
}

// Without one it is ready as soon as discovery answers. While that is down the pooler says in words that it is not: at
// no moment does an empty query get its answer before a list is held.
func TestWithoutAKnownListAPoolerIsReadyOnceDiscoveryAnswers(t *testing.T) {
	for name, down := range map[string]http.HandlerFunc{
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"overbooked": func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Retry-After", "60")
			rw.WriteHeader(http.StatusServiceUnavailable)
		},
		"a head and no more": func(rw http.ResponseWriter, r *http.Request) {
			rw.(http.Flusher).Flush()
			<-r.Context().Done()
		},
		"resets": func(rw http.ResponseWriter, _ *http.Request) {
			if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, p := &world{}, &host{name: "p", wire: "postgresql", primary: true}
			p.serve(t)
			var calls atomic.Int32
			fifth := make(chan time.Time, 1) // the last that fails; so pauses have grown
			dir := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				switch n := calls.Add(1); {
				case n < 5:
					down(rw, r)
				case n == 5:
					fifth <- time.Now()
					down(rw, r)
				case r.URL.Query().Get("follow") == "":
					io.WriteString(rw, w.list(1, true, w.entry(p, "active")))
				default:
					rw.(http.Flusher).Flush()
					<-r.Context().Done()
				}
			}))
			t.Cleanup(dir.Close)
			t.Cleanup(dir.CloseClientConnections)
			listen, _, logged, _ := launch(t, dir.Listener.Addr().String(), "null")
			code, ok := empty(listen)
			require.False(t, ok)
			require.Equal(t, "57P03", code, "it says that it is starting")
			var back time.Time
			for back.IsZero() {
				select {
				case back = <-fifth:
				default:
					_, ok := empty(listen)
					require.False(t, ok && calls.Load() < 5, "ready without a list")
				}
			}
			readyIn(t, listen, logged)
			took := time.Since(back)
			require.Less(t, took, 4*time.Second, "behind the moment from which discovery answered")
			t.Logf("%s: ready %v behind the return of discovery", name, took)
			_, f := dial(t, listen)
			require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 1, 9000)))
		})
	}
}

// startAt starts the built program on an address of the test's.
func startAt(t *testing.T, listen, discovery, known string) (*exec.Cmd, *record) {
	program, err := built()
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf(configuration, listen, discovery, known, site)), 0o600))
	cmd, logged := exec.Command(program), new(record)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file, "EDGE_DISCOVERY="+discovery)
	cmd.Stderr = logged
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, logged
}

// The next process starts once the last one ended. What that one leaves behind holds nothing up: connections that it
// closed first and that are in TIME_WAIT, or that were reset when it was killed.
func TestARestartFindsConnectionsOfTheLastProcess(t *testing.T) {
	for name, end := range map[string]func(*exec.Cmd) error{
		"killed":     func(c *exec.Cmd) error { return c.Process.Kill() },
		"terminated": func(c *exec.Cmd) error { return c.Process.Signal(syscall.SIGTERM) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, p, listen := &world{}, &host{name: "p", wire: "postgresql", primary: true}, free(t)
			p.serve(t)
			known, nobody := w.list(41, true, w.entry(p, "active")), free(t)
			first, logged := startAt(t, listen, nobody, known)
			readyIn(t, listen, logged)
			for range 20 { // some that are open at the end
				_, f := dial(t, listen)
				require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 1, 9000)))
			}
			require.NoError(t, end(first))
			_ = first.Wait()
			begun := time.Now()
			_, logged = startAt(t, listen, nobody, known)
			readyIn(t, listen, logged)
			took := time.Since(begun)
			require.Less(t, took, 5*time.Second, "%s", logged)
			t.Logf("%s: ready %v behind the start of the next", name, took)
		})
	}
}
