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
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// resting is discovery that says nothing beyond the list that a process starts with.
func resting(t *testing.T) string {
	dir := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(dir.Close)
	t.Cleanup(dir.CloseClientConnections)
	return dir.Listener.Addr().String()
}

// held makes a host keep the statements that hold a word until the test lets them go.
func held(t *testing.T, h *host, word string) (entered chan struct{}, let func()) {
	entered, gate := make(chan struct{}, 16), make(chan struct{})
	h.set(func() {
		h.do = func(text string) act {
			if strings.Contains(text, word) {
				h.mu.Unlock()
				entered <- struct{}{}
				<-gate
				h.mu.Lock()
			}
			return serve
		}
	})
	open := true
	let = func() {
		if open {
			open = false
			close(gate)
		}
	}
	t.Cleanup(let)
	return entered, let
}

const slowRead = "/* id=%s,c=report,d=14000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'slow'"

// What is under way when the process ends gets a final status on each front, one that says that it may have run: gRPC would
// make a bare Unavailable of a connection that just ends, which reads like a refusal.
func TestAtTheEndEachFrontGivesAFinalStatus(t *testing.T) {
	for _, wire := range []string{"postgresql", "flightsql"} {
		t.Run(wire, func(t *testing.T) {
			w := build(t, "postgresql")
			entered, _ := held(t, w.hosts[0], "slow")
			got := make(chan verdict, 1)
			go func() {
				if wire == "flightsql" {
					got <- w.ask[wire](t, fmt.Sprintf(slowRead, "f"))
					return
				}
				_, f := dial(t, w.listen)
				f.Send(&pgproto3.Query{String: fmt.Sprintf(slowRead, "p")})
				if f.Flush() != nil {
					got <- verdict{kind: "not written"}
					return
				}
				m, err := f.Receive()
				e, ok := m.(*pgproto3.ErrorResponse)
				if err != nil || !ok || e.Code != "57P01" {
					got <- verdict{kind: fmt.Sprint(m, err)}
					return
				}
				got <- verdict{kind: "failed"}
			}()
			<-entered
			end := time.Now().Add(lastWords + 200*time.Millisecond)
			w.node.drain(end)
			require.WithinDuration(t, end, time.Now(), lastWords)
			require.Equal(t, verdict{kind: "failed"}, <-got)
		})
	}
}

// What is under way when the drain begins and ends in time is answered, on each front, and the drain ends with it.
func TestTheDrainWaitsForTheAnswersOfBothFronts(t *testing.T) {
	w := build(t, "postgresql")
	entered, let := held(t, w.hosts[0], "slow")
	got := make(chan verdict, 2)
	for name, ask := range w.ask {
		go func() { got <- ask(t, fmt.Sprintf(slowRead, name)) }()
	}
	<-entered
	<-entered
	drained := make(chan struct{})
	go func() { w.node.drain(time.Now().Add(20 * time.Second)); close(drained) }()
	require.Eventually(t, func() bool { // the Flight SQL front takes nobody any more
		c, err := net.Dial("tcp", w.cfg.Load().flight.Listen)
		if err == nil {
			c.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	let()
	require.Equal(t, []verdict{{kind: "served", value: value}, {kind: "served", value: value}}, []verdict{<-got, <-got})
	<-drained
}

// Signals that follow the first one change nothing: the process serves on to its time, and ends with 0.
func TestASecondSignalChangesNothing(t *testing.T) {
	h := &host{name: "p", wire: "postgresql", primary: true}
	h.serve(t)
	w := &world{}
	listen, cmd, logged, _ := launch(t, resting(t), w.list(1, true, w.entry(h, "active")))
	_, f := dial(t, listen)
	require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 1, 9000)))
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return strings.Contains(logged.String(), "going on for") }, 10*time.Second, time.Millisecond)
	for i, again := range []os.Signal{syscall.SIGTERM, os.Interrupt, syscall.SIGTERM} {
		require.NoError(t, cmd.Process.Signal(again))
		require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 2+i, 9000)))
	}
	require.NoError(t, cmd.Wait(), "%s", logged)
	require.Equal(t, 1, strings.Count(logged.String(), "going on for"))
}

// Where deadlines are short SIGKILL comes sooner. A client that has sent half a request keeps the drain waiting to its end.
func TestTheEndIsInTimeWhereDeadlinesAreShort(t *testing.T) {
	h := &host{name: "p", wire: "postgresql", primary: true}
	h.serve(t)
	w := &world{}
	listen, cmd, logged, configure := launch(t, resting(t), w.list(1, true, w.entry(h, "active")))
	short := site
	for _, d := range []string{"10000", "7500", "15000"} {
		short = strings.ReplaceAll(short, `"deadline_ms":`+d, `"deadline_ms":300`)
	}
	for _, a := range []string{"5000", "7500"} {
		short = strings.ReplaceAll(short, `"aim_ms":`+a, `"aim_ms":200`)
	}
	configure(fmt.Sprintf(configuration, listen, resting(t), "null", short))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(logged.String(), "reload: discovery at") }, 10*time.Second, time.Millisecond)
	c, f := dial(t, listen)
	require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 1, 300)))
	b, err := (&pgproto3.Query{String: fmt.Sprintf(donate, 2, 300)}).Encode(nil)
	require.NoError(t, err)
	_, err = c.Write(b[:20])
	require.NoError(t, err)
	begun := time.Now()
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(400 * time.Millisecond) // for so long new connections come
	_, late := dial(t, listen)
	require.Equal(t, []string{value}, ask(t, late, fmt.Sprintf(donate, 3, 300)))
	m, err := f.Receive()
	require.NoError(t, err)
	require.Equal(t, "57P03", m.(*pgproto3.ErrorResponse).Code)
	require.NoError(t, cmd.Wait())
	t.Logf("ended after %v", time.Since(begun))
	require.Less(t, time.Since(begun), time.Second, "SIGKILL may come then\n%s", logged)
}

// starting starts the program with a pipe for its configuration: it stands still at its begin until the test writes there.
func starting(t *testing.T) (listen, pipe string, cmd *exec.Cmd, logged *record) {
	program, err := built()
	require.NoError(t, err)
	listen, pipe = free(t), filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	cmd, logged = exec.Command(program), new(record)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+pipe)
	cmd.Stderr = logged
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { cmd.Process.Kill() })
	return listen, pipe, cmd, logged
}

// put writes a configuration once the program reads it.
func put(t *testing.T, pipe, text string, before func()) {
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	require.NoError(t, err)
	before()
	_, err = io.WriteString(w, text)
	require.NoError(t, err)
	require.NoError(t, w.Close())
}

// A signal that comes while the program starts: SIGTERM ends it with 0, before anybody can come or as it ends
// any other time, and SIGHUP has the file read once more.
func TestSignalsWhileTheProgramStarts(t *testing.T) {
	h := &host{name: "p", wire: "postgresql", primary: true}
	h.serve(t)
	w := &world{}
	known, dir := w.list(1, true, w.entry(h, "active")), resting(t)
	t.Run("SIGTERM", func(t *testing.T) {
		listen, pipe, cmd, logged := starting(t)
		begun := time.Now()
		put(t, pipe, fmt.Sprintf(configuration, listen, dir, known, site), func() {
			require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		})
		require.NoError(t, cmd.Wait(), "%s", logged)
		require.Less(t, time.Since(begun), 3700*time.Millisecond, "SIGKILL may come then")
	})
	t.Run("SIGHUP", func(t *testing.T) {
		listen, pipe, cmd, logged := starting(t)
		text := fmt.Sprintf(configuration, listen, dir, known, site)
		put(t, pipe, text, func() { require.NoError(t, cmd.Process.Signal(syscall.SIGHUP)) })
		require.Eventually(t, func() bool { return strings.Contains(logged.String(), "listens on") }, 10*time.Second, time.Millisecond)
		put(t, pipe, text, func() {})
		require.Eventually(t, func() bool { return strings.Contains(logged.String(), "reload: discovery at") }, 10*time.Second, time.Millisecond)
		_, f := dial(t, listen)
		require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 1, 9000)))
	})
}

// A reload that is under way when SIGTERM comes, and one that is read while the process drains, hold up nothing.
func TestAReloadUnderWayDoesNotHoldUpTheEnd(t *testing.T) {
	h := &host{name: "p", wire: "postgresql", primary: true}
	h.serve(t)
	w := &world{}
	known, dir := w.list(1, true, w.entry(h, "active")), resting(t)
	listen, pipe, cmd, logged := starting(t)
	text := fmt.Sprintf(configuration, listen, dir, known, site)
	put(t, pipe, text, func() {})
	require.Eventually(t, func() bool { return strings.Contains(logged.String(), "listens on") }, 10*time.Second, time.Millisecond)
	_, f := dial(t, listen)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	var begun time.Time
	put(t, pipe, text, func() { // the program is reading
		begun = time.Now()
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		require.Eventually(t, func() bool { return strings.Contains(logged.String(), "going on for") }, 10*time.Second, time.Millisecond)
	})
	require.Eventually(t, func() bool { return strings.Contains(logged.String(), "reload: discovery at") }, 10*time.Second, time.Millisecond)
	require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 1, 9000)))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP)) // nobody writes to the pipe any more
	require.NoError(t, cmd.Wait(), "%s", logged)
	require.Less(t, time.Since(begun), 3700*time.Millisecond, "SIGKILL may come then")
}
