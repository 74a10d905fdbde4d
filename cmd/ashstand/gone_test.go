package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ashstand/internal/edge"
	"ashstand/internal/net/discovery"
	"ashstand/internal/operator"
	"ashstand/internal/sqlcomment"
)

// asking is a client with a request under way. leave ends it in one of the ways that its front knows and returns once the
// front has been told.
type asking struct{ leave func(way string) }

var pgWays = []string{"closes", "resets", "shuts its sending", "says goodbye", "cancels"}

var ways = map[string][]string{"postgresql": pgWays, "sessions": pgWays, "flightsql": {"cancels", "loses its connection"}}

// left waits until the core has let go of a request, which is when its id is free, and long before its time is over.
func left(t *testing.T, w *world, id string) {
	t.Helper()
	require.Eventually(t, func() bool {
		r := w.core.Do(context.Background(), &sqlcomment.Statement{ID: id, Class: "none"}, w.core.Now())
		return r.Verdict == edge.Invalid && strings.HasPrefix(r.Detail, "class")
	}, 3*time.Second, time.Millisecond)
}

// open starts a request on a front; more are sent behind it where the wire lets a client do so.
func open(t *testing.T, w *world, front, id, text string, more ...string) *asking {
	if front == "flightsql" {
		return openFlight(t, w, id, text)
	}
	address := w.listen
	if front == "sessions" {
		address = w.sessions
	}
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "web", "database": "orders"}})
	require.NoError(t, f.Flush())
	var key *pgproto3.BackendKeyData
	for {
		m, err := f.Receive()
		require.NoError(t, err)
		if k, ok := m.(*pgproto3.BackendKeyData); ok {
			key = &pgproto3.BackendKeyData{ProcessID: k.ProcessID, SecretKey: append([]byte(nil), k.SecretKey...)}
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			break
		}
	}
	for _, q := range append([]string{text}, more...) {
		f.Send(&pgproto3.Query{String: q})
	}
	require.NoError(t, f.Flush())
	clients := func() int { return w.pooled.Stats().Clients }
	return &asking{func(way string) {
		before := 0
		if front == "sessions" {
			before = clients()
		}
		switch way {
		case "closes":
			c.Close()
		case "resets":
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		case "shuts its sending":
			_ = c.(*net.TCPConn).CloseWrite()
		case "says goodbye":
			f.Send(&pgproto3.Terminate{})
			require.NoError(t, f.Flush())
		case "cancels":
			cancel(t, address, key.ProcessID, key.SecretKey)
			for {
				m, err := f.Receive()
				require.NoError(t, err)
				if e, ok := m.(*pgproto3.ErrorResponse); ok {
					require.Equal(t, "57014", e.Code)
				}
				if _, ok := m.(*pgproto3.ReadyForQuery); ok {
					return
				}
			}
		}
		if front == "sessions" {
			require.Eventually(t, func() bool { return clients() < before }, 3*time.Second, time.Millisecond)
		} else {
			left(t, w, id)
		}
	}}
}

func cancel(t *testing.T, address string, process uint32, secret []byte) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	b := binary.BigEndian.AppendUint32(nil, 16)
	b = binary.BigEndian.AppendUint32(b, 80877102)
	_, err = c.Write(append(binary.BigEndian.AppendUint32(b, process), secret...))
	require.NoError(t, err)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.Copy(io.Discard, c) // it is closed once it was dealt with
}

func openFlight(t *testing.T, w *world, id, text string) *asking {
	var conn net.Conn
	cc, err := grpc.NewClient("passthrough:///"+w.flight, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, address string) (c net.Conn, err error) {
			c, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
			conn = c
			return c, err
		}))
	require.NoError(t, err)
	t.Cleanup(func() { _ = cc.Close() })
	c := &flightsql.Client{Client: flight.NewClientFromConn(cc, nil)}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for {
			_, err := update(ctx, c, text)
			if status.Code(err) != codes.InvalidArgument { // else the look below had its id just then
				return
			}
		}
	}()
	open := func() bool { // the front has it
		r := w.core.Do(context.Background(), &sqlcomment.Statement{ID: id, Class: "none"}, w.core.Now())
		return strings.HasPrefix(r.Detail, "id")
	}
	require.Eventually(t, open, 10*time.Second, time.Millisecond)
	return &asking{func(way string) {
		if way == "cancels" {
			stop()
		} else {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		left(t, w, id)
	}}
}

// TestAClientThatHasGoneIsServedNoMore: its request waits, it leaves, and then what it waited for is there. The same
// stories on all fronts, with each way in which a client can leave, and with a request that it sent ahead.
func TestAClientThatHasGoneIsServedNoMore(t *testing.T) {
	for _, front := range []string{"postgresql", "sessions", "flightsql"} {
		for _, hosts := range []string{"postgresql", "flightsql"} {
			if front == "sessions" && hosts == "flightsql" {
				continue // they speak PostgreSQL alone
			}
			for _, s := range []struct {
				name string
				tell func(t *testing.T, w *world, front string)
			}{
				{"held, as no host may take it", goneHeld},
				{"while its connection is dialled", goneDialled},
				{"behind others at the host", goneQueued},
				{"between two attempts", goneBetween},
			} {
				if front == "sessions" && s.name == "between two attempts" {
					continue // what a host said goes to the client: there is no second attempt of what was sent
				}
				t.Run(front+" to "+hosts+": "+s.name, func(t *testing.T) {
					t.Parallel()
					s.tell(t, world3(t, hosts), front)
				})
			}
		}
	}
}

// world3 is a primary and a replica, and a pooler with all three fronts.
func world3(t *testing.T, wire string) *world {
	sessions := free(t)
	w := buildWith(t, func(c *config) {
		c.operator.Sessions = &operator.Sessions{
			Listen: sessions, Clients: 50, ServerConnections: 16, MaxMessage: 1 << 20,
			Pools: []operator.Pool{{
				Name: "main", Database: "*", User: "*", Mode: "transaction", Size: 1, Waiting: 20, Patience: 9 * time.Second,
				Statements: 10, ReadOnly: "report", ReadWrite: "donate", Group: 1,
			}},
		}
	}, wire, wire)
	w.sessions, w.flight = sessions, w.cfg.Load().flight.Listen
	return w
}

const goneText = "/* id=gone%d%s,c=donate,d=9000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('gone', '\\x9f') RETURNING payload"

// leaves has a client ask for each way to leave, each with one more request sent ahead, something wait for them, and then
// each leave in its way. Who only cancels stays, and is told so.
func leaves(t *testing.T, w *world, front string, waits func()) {
	var all []*asking
	for i, way := range ways[front] {
		var more []string
		if way != "cancels" {
			more = []string{fmt.Sprintf(goneText, i, "-behind")}
		}
		all = append(all, open(t, w, front, fmt.Sprint("gone", i), fmt.Sprintf(goneText, i, ""), more...))
	}
	waits()
	for i, way := range ways[front] {
		all[i].leave(way)
	}
}

// spared says that a host which is free now serves others, and was never sent what is nobody's any more.
func spared(t *testing.T, w *world, most int) {
	t.Helper()
	for i := range 3 {
		require.Equal(t, served, w.ask["postgresql"](t, fmt.Sprintf(donate, 100+i, 9000)))
	}
	for i := range pgWays {
		for _, which := range []string{"", "-behind"} {
			n, id := 0, fmt.Sprintf("id=gone%d%s,", i, which)
			for _, h := range w.hosts {
				h.set(func() {
					for _, text := range h.seen {
						if strings.Contains(text, id) {
							n++
						}
					}
				})
			}
			require.LessOrEqual(t, n, most, "%s was sent on for nobody", id)
			if which != "" {
				require.Zero(t, n, id)
			}
		}
	}
}

func (w *world) status(status string) {
	var entries []string
	for _, h := range w.hosts {
		entries = append(entries, w.entry(h, status))
	}
	w.index++
	w.change <- w.list(w.index+1, false, entries...)
}

func (w *world) listed(t *testing.T, is bool) {
	t.Helper()
	require.Eventually(t, func() bool { return w.facade.IsActive("p") == is && w.facade.IsActive("q") == is }, 10*time.Second, time.Millisecond)
}

func goneHeld(t *testing.T, w *world, front string) {
	w.status(discovery.Draining)
	w.listed(t, false)
	leaves(t, w, front, func() {})
	w.status(discovery.Active)
	w.listed(t, true)
	spared(t, w, 0)
}

func goneDialled(t *testing.T, w *world, front string) {
	shut := make(chan struct{})
	for _, h := range w.hosts {
		h.door.shut.Store(&shut)
		h.kill() // what probes opened
	}
	leaves(t, w, front, func() {})
	for _, h := range w.hosts {
		h.door.shut.Store(nil)
	}
	close(shut)
	spared(t, w, 0)
}

func goneQueued(t *testing.T, w *world, front string) {
	p := w.hosts[0]
	entered, release := make(chan struct{}, 8), make(chan struct{})
	p.set(func() {
		p.do = func(string) act {
			p.mu.Unlock()
			entered <- struct{}{}
			<-release
			p.mu.Lock()
			return serve
		}
	})
	before := 3 // as many as a host is given at first
	if front == "sessions" {
		before = 1 // as many connections as there may be
	}
	answers := make(chan struct{}, before)
	for i := range before {
		text := fmt.Sprintf(donate, i, 9000)
		open(t, w, front, fmt.Sprint("d", i), text)
		go func() { <-entered; answers <- struct{}{} }()
	}
	for range before {
		<-answers
	}
	leaves(t, w, front, func() {
		if front == "sessions" {
			require.Eventually(t, func() bool { return w.pooled.Stats().Waiting > 0 }, 10*time.Second, time.Millisecond)
		}
	})
	p.set(func() { p.do = nil })
	close(release)
	spared(t, w, 0)
}

// The first attempt is turned away by a host that drains just then, so that the next waits for one that may take it.
func goneBetween(t *testing.T, w *world, front string) {
	p := w.hosts[0]
	turned, drain := make(chan struct{}, 8), sync.Once{}
	p.set(func() {
		p.do = func(string) act {
			p.mu.Unlock()
			drain.Do(func() {
				w.status(discovery.Draining)
				w.listed(t, false)
			})
			turned <- struct{}{}
			p.mu.Lock()
			return turnAway
		}
	})
	leaves(t, w, front, func() { <-turned })
	p.set(func() { p.do = nil })
	w.status(discovery.Active)
	w.listed(t, true)
	spared(t, w, 1)
}
