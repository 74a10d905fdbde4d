package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"ashstand/internal/operator"
	"ashstand/internal/pcap"
)

// dial opens a client connection that has started.
func dial(t *testing.T, address string) (net.Conn, *pgproto3.Frontend) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "web"}})
	require.NoError(t, f.Flush())
	until(t, f)
	return c, f
}

// until reads up to ReadyForQuery and names what came, values included.
func until(t *testing.T, f *pgproto3.Frontend) (got []string) {
	got, err := readAnswer(f)
	require.NoError(t, err)
	return got
}

// readAnswer is until for a connection that may end.
func readAnswer(f *pgproto3.Frontend) (got []string, err error) {
	for {
		m, err := f.Receive()
		if err != nil {
			return got, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			got = append(got, string(m.Values[0]))
		case *pgproto3.ErrorResponse:
			got = append(got, m.Code)
		case *pgproto3.EmptyQueryResponse:
			got = append(got, "empty")
		case *pgproto3.ReadyForQuery:
			return got, nil
		}
	}
}

func ask(t *testing.T, f *pgproto3.Frontend, text string) []string {
	f.Send(&pgproto3.Query{String: text})
	require.NoError(t, f.Flush())
	return until(t, f)
}

// record is what a program wrote so far.
type record struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (r *record) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.b.Write(b)
}

func (r *record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.b.String()
}

var folder string // of the program, once it is built

// built is the program, built once for all tests that start it.
var built = sync.OnceValues(func() (program string, err error) {
	if folder, err = os.MkdirTemp("", "ashstand"); err != nil {
		return "", err
	}
	program = filepath.Join(folder, "ashstand")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return program, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if folder != "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// launch starts the program; configure writes its configuration file anew.
func launch(t *testing.T, discovery, known string) (listen string, cmd *exec.Cmd, logged *record, configure func(text string)) {
	return launchProgram(t, "", discovery, func(listen string) string { return fmt.Sprintf(configuration, listen, discovery, known, site) })
}

// launchProgram starts a program with the configuration that configuration makes for its address. program "": the one that all
// tests share.
func launchProgram(t *testing.T, program, discovery string, configuration func(listen string) string) (listen string, cmd *exec.Cmd, logged *record, configure func(text string)) {
	if program == "" {
		var err error
		program, err = built()
		require.NoError(t, err)
	}
	listen, file := free(t), filepath.Join(t.TempDir(), "config.json")
	configure = func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	configure(configuration(listen))
	cmd, logged = exec.Command(program), new(record)
	// The platform gives the address both ways, and a reload changes the file alone.
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file, "EDGE_DISCOVERY="+discovery)
	cmd.Stderr = logged
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			c.Close()
		}
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
	return listen, cmd, logged, configure
}

const configuration = `{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`

// Guards against a pooler that ends on SIGHUP, and one that goes on at the old service: the list held stays in
// force until the new service has sent its whole one, and a file that can't be read changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	w := &world{}
	p, q := &host{name: "p", wire: "postgresql", primary: true}, &host{name: "q", wire: "postgresql", primary: true}
	p.serve(t)
	q.serve(t)
	ended := make(chan struct{})
	old := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	}))
	defer old.Close()
	asked, tell := make(chan string, 8), make(chan struct{})
	next := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if asked <- r.URL.RequestURI(); r.URL.Query().Get("follow") == "" {
			<-tell
			io.WriteString(rw, w.list(3, true, w.entry(q, "active")))
			return
		}
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer next.Close()
	defer next.CloseClientConnections()
	listen, cmd, logged, configure := launch(t, old.Listener.Addr().String(), w.list(41, true, w.entry(p, "active")))
	_, f := dial(t, listen)
	require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 1, 9000)))
	configure(`{"listen":`)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(logged.String(), "going on with the configuration held") }, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, strings.Count(logged.String(), "reload"))
	other := strings.Replace(site, `"max_retry_after_ms":2000`, `"max_retry_after_ms":700`, 1)
	configure(fmt.Sprintf(configuration, listen, next.Listener.Addr(), "null", other))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	<-ended
	require.Equal(t, "/registry/instances", <-asked, "an index of the old service means nothing to the new one")
	require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 2, 9000)))
	require.Equal(t, [2]int{2, 0}, [2]int{p.count(), q.count()}, "the list held is in force")
	close(tell)
	require.Equal(t, "/registry/instances?follow=1&since=3", <-asked)
	require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 3, 9000)), "on the same client connection")
	require.Equal(t, [2]int{2, 1}, [2]int{p.count(), q.count()})
	f.Send(&pgproto3.Query{String: "/* id=1,c=browse,d=500,cluster=77 */ SELECT 1"})
	require.NoError(t, f.Flush())
	m, err := f.Receive()
	require.NoError(t, err)
	require.Equal(t, "700", m.(*pgproto3.ErrorResponse).Detail, "the settings are the new ones")
	require.NotContains(t, logged.String(), "only after a restart")
}

// After SIGHUP the new service's word counts 4 s later, whatever the old one does and also if the new one leaves its
// first calls without an answer: a host that drains there alone gets nothing more from then on.
func TestAMovedDiscoveryIsActedOnInTime(t *testing.T) {
	overbooked := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Retry-After", "60")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	silent := func(rw http.ResponseWriter, r *http.Request) {
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	for name, c := range map[string]struct {
		old    http.HandlerFunc
		stalls int32 // calls at the new service without an answer
	}{
		"the old one is silent":                             {silent, 0},
		"the old one is silent, the new one stalls twice":   {silent, 2},
		"the old one is overbooked":                         {overbooked, 0},
		"the old one is overbooked, the new stalls a while": {overbooked, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := &world{}
			p, q := &host{name: "p", wire: "postgresql", primary: true}, &host{name: "q", wire: "postgresql", primary: true}
			p.serve(t)
			q.serve(t)
			old := httptest.NewServer(c.old)
			t.Cleanup(old.Close)
			t.Cleanup(old.CloseClientConnections)
			var calls atomic.Int32
			next := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				switch {
				case calls.Add(1) <= c.stalls:
					<-r.Context().Done()
				case r.URL.Query().Get("follow") == "":
					io.WriteString(rw, w.list(3, true, w.entry(p, "leaving"), w.entry(q, "active")))
				default:
					silent(rw, r)
				}
			}))
			t.Cleanup(next.Close)
			t.Cleanup(next.CloseClientConnections)
			listen, cmd, logged, configure := launch(t, old.Listener.Addr().String(), w.list(41, true, w.entry(p, "active")))
			_, f := dial(t, listen)
			sent := 0
			send := func(d time.Duration) {
				for begun := time.Now(); time.Since(begun) < d; sent++ {
					require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, sent, 9000)))
					time.Sleep(5 * time.Millisecond)
				}
			}
			send(1700 * time.Millisecond) // in which an overbooked service has earned long pauses
			configure(fmt.Sprintf(configuration, listen, next.Listener.Addr(), "null", site))
			begun := time.Now()
			require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
			send(time.Until(begun.Add(4 * time.Second)))
			before := [2]int{p.count(), q.count()}
			send(time.Second)
			require.Equal(t, before[0], p.count(), "it drains, and was sent work 4 s after SIGHUP:\n%s", logged)
			require.Greater(t, q.count(), before[1]+50)
			require.Equal(t, sent, p.count()+q.count())
		})
	}
}

// What the service holds counts as told from the first moment of a new process, however old the list is that it was given.
func TestANewProcessActsOnTheListAtOnce(t *testing.T) {
	w := &world{}
	p, q := &host{name: "p", wire: "postgresql", primary: true}, &host{name: "q", wire: "postgresql", primary: true}
	p.serve(t)
	q.serve(t)
	var calls atomic.Int32
	dir := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 { // and the first call is reset
			c, _, err := rw.(http.Hijacker).Hijack()
			if err == nil {
				c.Close()
			}
			return
		}
		io.WriteString(rw, w.list(43, false, w.entry(p, "leaving"), w.entry(q, "active"))+"\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer dir.Close()
	defer dir.CloseClientConnections()
	listen, _, logged, _ := launch(t, dir.Listener.Addr().String(), w.list(41, true, w.entry(p, "active")))
	ready := time.Now()
	_, f := dial(t, listen)
	at := [2]int{}
	for i := 0; time.Since(ready) < 2*time.Second; i++ {
		require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, i, 9000)))
		if time.Since(ready) < time.Second {
			at = [2]int{p.count(), q.count()}
		}
		time.Sleep(5 * time.Millisecond)
	}
	require.Equal(t, at[0], p.count(), "it drains, and was sent work 1 s after the start:\n%s", logged)
	require.Greater(t, q.count(), at[1])
}

// The program itself: it takes work until SIGTERM and a little longer, finishes it, and ends with 0.
func TestProgramServesAndDrains(t *testing.T) {
	h := &host{name: "p", wire: "postgresql", primary: true}
	release, entered := make(chan struct{}), make(chan struct{}, 1)
	h.do = func(text string) act {
		if strings.Contains(text, "slow") {
			h.mu.Unlock() // others go on meanwhile
			entered <- struct{}{}
			<-release
			h.mu.Lock()
		}
		return serve
	}
	h.serve(t)
	w := &world{}
	dir := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer dir.CloseClientConnections()
	listen, cmd, logged, _ := launch(t, dir.Listener.Addr().String(), w.list(1, true, w.entry(h, "active")))
	idle, f := dial(t, listen)
	require.Equal(t, []string{"empty"}, ask(t, f, ""), "ready with the list that was known")
	require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(donate, 1, 9000)))
	ahead, slow := dial(t, listen)
	slow.Send(&pgproto3.Query{String: "/* id=s,c=report,d=14000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'slow'"})
	require.NoError(t, slow.Flush())
	<-entered
	b, err := (&pgproto3.Query{String: fmt.Sprintf(donate, 3, 9000)}).Encode(nil)
	require.NoError(t, err)
	_, err = ahead.Write(b[:40])
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	_, late := dial(t, listen) // in the tail connections still come
	require.Equal(t, []string{value}, ask(t, late, fmt.Sprintf(donate, 2, 9000)))
	_, err = io.ReadAll(idle)
	require.NoError(t, err, "an idle connection is closed, not reset")
	close(release)
	require.Equal(t, []string{value}, until(t, slow))
	time.Sleep(100 * time.Millisecond) // the rest takes its time
	_, err = ahead.Write(b[40:])
	require.NoError(t, err)
	require.Equal(t, []string{value}, until(t, slow), "half of it had come")
	require.NoError(t, cmd.Wait(), "%s", logged)
	require.Contains(t, logged.String(), "drained: every request has its answer")
}

// Guards against a request that SIGKILL finds without an answer, and against clients that are sent away while this
// process could still serve them.
func TestProgramServesOnAndEndsInTime(t *testing.T) {
	h := &host{name: "p", wire: "postgresql", primary: true}
	entered, end := make(chan struct{}, 1), make(chan struct{})
	h.do = func(text string) act {
		if strings.Contains(text, "stuck") {
			h.mu.Unlock()
			entered <- struct{}{}
			<-end
			h.mu.Lock()
		}
		return serve
	}
	h.serve(t)
	t.Cleanup(func() { close(end) })
	dir := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer dir.CloseClientConnections()
	w := &world{}
	listen, cmd, logged, _ := launch(t, dir.Listener.Addr().String(), w.list(1, true, w.entry(h, "active")))
	_, kept := dial(t, listen)
	_, stuck := dial(t, listen)
	stuck.Send(&pgproto3.Query{String: "/* id=s,c=report,d=14000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'stuck'"})
	require.NoError(t, stuck.Flush())
	<-entered
	begun := time.Now()
	endWithin(t, cmd.Process, killAfter)
	for i := 0; time.Since(begun) < 1500*time.Millisecond; i++ { // far past the tail, and a second before it closes
		require.Equal(t, []string{value}, ask(t, kept, fmt.Sprintf(donate, i, 9000)))
		time.Sleep(20 * time.Millisecond)
	}
	m, err := stuck.Receive()
	require.NoError(t, err)
	require.Equal(t, "57P01", m.(*pgproto3.ErrorResponse).Code)
	require.NoError(t, cmd.Wait(), "it was killed; %s", logged)
	require.Contains(t, logged.String(), "time is up")
}

func TestBadConfigurationIsOneClearLine(t *testing.T) {
	good := `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":` + site + `}`
	for want, text := range map[string]string{
		"config.json: ":    `{"listen":`,
		"listen: ":         strings.Replace(good, "127.0.0.1:1", "nowhere", 1),
		"discovery: ":      strings.Replace(good, "127.0.0.1:2", "", 1),
		"no settings":      `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"}`,
		"when_behind: ":    strings.Replace(good, `"when_behind":"off"`, `"when_behind":"maybe"`, 1),
		"class_read: 1 en": strings.Replace(good, `["bounded","session","any","write"]`, `["bounded"]`, 1),
	} {
		file := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := load(func(name string) string { return map[string]string{"EDGE_CONFIG": file}[name] }, nil)
		require.ErrorContains(t, err, want)
		require.NotContains(t, err.Error(), "\n")
	}
	_, _, err := descriptors(40, 0)
	require.ErrorContains(t, err, "too few")
	off, err := operator.Load("../../"+operatorFile, true)
	require.NoError(t, err)
	require.Empty(t, off.Flight.Listen+off.Sessions.Listen+off.Admin.Listen, "what is new is off on the platform: the second front is off on the platform")
}

// Guards against an answer that reaches another request: a client sends ahead, and one leaves early.
func TestClientsThatPipelineLeaveOrSendNonsense(t *testing.T) {
	w := build(t, "postgresql", "postgresql", "postgresql")
	listen := w.listen
	var held atomic.Int32
	gate := make(chan struct{})
	for _, h := range w.hosts {
		h.do = func(text string) act {
			if strings.Contains(text, "id=leaver") {
				h.mu.Unlock()
				held.Add(1)
				<-gate
				h.mu.Lock()
			}
			if strings.Contains(text, "INSERT") && !h.primary {
				return notPrimary
			}
			return serve
		}
	}
	_, f := dial(t, listen)
	for i := range 20 { // ahead of any answer
		f.Send(&pgproto3.Query{String: []string{"", "SELECT 1", fmt.Sprintf(donate, i, 9000), "DISCARD ALL"}[i%4]})
	}
	require.NoError(t, f.Flush())
	for i := range 20 {
		require.Equal(t, [][]string{{"empty"}, {"08P01"}, {value}, nil}[i%4], until(t, f))
	}
	leaver, g := dial(t, listen)
	g.Send(&pgproto3.Query{String: strings.Replace(fmt.Sprintf(report, 1), "id=r1", "id=leaver", 1)})
	require.NoError(t, g.Flush())
	require.Eventually(t, func() bool { return held.Load() == 1 }, 10*time.Second, time.Millisecond)
	leaver.Close()
	require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(report, 2)), "a client that left holds up nobody")
	close(gate)
	for _, junk := range [][]byte{
		{0, 0, 0, 0},
		{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0},
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		append(startupBytes(), 'Q', 0x7f, 0xff, 0xff, 0xff), append(startupBytes(), '?', 0, 0, 0, 4), append(startupBytes(), 'Q', 0, 0, 0, 6, 'a', 'b'),
	} {
		c, err := net.Dial("tcp", listen)
		require.NoError(t, err)
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = c.Write(junk)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c) // it ends: closed or answered with an error
		c.Close()
	}
	require.Equal(t, []string{value}, ask(t, f, fmt.Sprintf(report, 3)))
}

func startupBytes() []byte {
	b, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "web"}}).Encode(nil)
	return b
}

// A capture's queries go through the front's parser into the core, and what comes is written as a conversation.
func TestReplayOfACapture(t *testing.T) {
	w := build(t, "postgresql", "flightsql")
	at := time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)
	q := func(text string) []byte { b, _ := (&pgproto3.Query{String: text}).Encode(nil); return b }
	donated, odd := q(fmt.Sprintf(donate, 1, 9000)), q("SELECT 1")
	var file bytes.Buffer
	require.NoError(t, pcap.Write(&file, []*pcap.Conversation{{
		Client: netip.MustParseAddrPort("127.0.0.1:4000"),
		Server: netip.MustParseAddrPort("127.0.0.1:5433"), Segments: []pcap.Segment{
			{At: at, FromClient: true, Data: startupBytes()},
			{At: at.Add(time.Millisecond), FromClient: true, Data: donated[:9]},
			{At: at.Add(2 * time.Millisecond), FromClient: true, Data: append(donated[9:], odd...)},
		},
	}}))
	cs, err := pcap.Read(&file)
	require.NoError(t, err)
	out, sum := w.replay(context.Background(), cs)
	require.Equal(t, tally{served: 1, invalid: 1}, sum)
	require.Equal(t, 1, w.hosts[0].count())
	require.NoError(t, pcap.Write(&file, out))
	again, err := pcap.Read(&file)
	require.NoError(t, err)
	var said []byte
	for _, p := range again[0].Segments {
		if !p.FromClient {
			said = append(said, p.Data...)
		}
	}
	f := pgproto3.NewFrontend(bytes.NewReader(said), io.Discard)
	require.Empty(t, until(t, f))
	require.Equal(t, []string{value}, until(t, f))
	require.Equal(t, []string{"08P01"}, until(t, f))
	_, err = readCapture("program_test.go")
	require.ErrorContains(t, err, "no capture")
}
