package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// tail is what becomes of requests that are sent after SIGTERM.
type tail struct {
	timeoutMillis int // that clients wait

	mu    sync.Mutex
	sent  int            // last bytes written to a connection that was open
	ends  map[string]int // how they ended
	lost  []string       // the requests that got no answer although the program had them, with the reason
	hadBy map[string]time.Time
}

func (w *tail) end(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[how]++
}

func (w *tail) written(ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.sent++
		w.hadBy[id] = time.Now()
	}
}

// readAhead is how long before the end of its connection a request must have been written to have reached the program
// for certain, on a machine that has other work as well.
const readAhead = 500 * time.Millisecond

// closed sorts the requests that were written whole and not answered when their connection ended. One that crossed the
// close was not read and can be repeated; one that a host saw, or that lay there for a while, was taken and is lost.
func (w *tail) closed(ids []string, seen func(id string) bool) (repeat []string) {
	at := time.Now()
	for _, id := range ids {
		w.mu.Lock()
		lay := at.Sub(w.hadBy[id])
		w.mu.Unlock()
		switch {
		case seen(id):
			w.mu.Lock()
			w.lost = append(w.lost, id+": a host had it")
			w.mu.Unlock()
		case lay > readAhead:
			w.mu.Lock()
			w.lost = append(w.lost, fmt.Sprintf("%s: it lay there for %v", id, lay))
			w.mu.Unlock()
		default:
			repeat = append(repeat, id)
			w.end("crossed a close")
		}
	}
	return repeat
}

func (w *tail) text(id string) string {
	return fmt.Sprintf("/* id=%s,c=report,d=%d,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'", id, w.timeoutMillis)
}

// slowHost is a primary of which one answer in twenty takes long, and one in a hundred longer than a process that was told to end.
// seen reports whether it took a request.
func slowHost(t *testing.T) (h *host, seen func(id string) bool) {
	h = &host{name: "p", wire: "postgresql", primary: true}
	var mu sync.Mutex
	lots, had := rand.New(rand.NewPCG(1, 2)), map[string]bool{}
	h.do = func(text string) act {
		_, id, _ := strings.Cut(text, "id=")
		id, _, _ = strings.Cut(id, ",")
		mu.Lock()
		had[id] = true
		takes := time.Duration(lots.IntN(25)) * time.Millisecond
		switch lots.IntN(100) {
		case 0, 1, 2, 3, 4:
			takes = time.Duration(200+lots.IntN(400)) * time.Millisecond
		case 5: // longer than the end of the tail
			takes = 2 * time.Second
		}
		mu.Unlock()
		h.mu.Unlock()
		time.Sleep(takes)
		h.mu.Lock()
		return serve
	}
	h.serve(t)
	return h, func(id string) bool { mu.Lock(); defer mu.Unlock(); return had[id] }
}

// After SIGTERM clients send on every connection that stays open, up to SIGKILL: one after the other, ahead of answers,
// and in two halves. Each request must get its answer, or a close that shows that it was never read.
func TestThroughTheTailNoRequestIsLost(t *testing.T) {
	h, seen := slowHost(t)
	dir := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer dir.Close()
	defer dir.CloseClientConnections()
	listen, cmd, logged, _ := launch(t, dir.Listener.Addr().String(), (&world{}).list(1, true, (&world{}).entry(h, "active")))

	w := &tail{timeoutMillis: 14000, ends: map[string]int{}, hadBy: map[string]time.Time{}}
	const each = 25 // connections of a kind
	var clients, going sync.WaitGroup
	term := make(chan struct{})
	for kind := range 3 {
		for i := range each {
			clients.Add(1)
			going.Add(1)
			go func() {
				defer clients.Done()
				w.client(t, listen, kind, fmt.Sprintf("%d-%d", kind, i), rand.New(rand.NewPCG(uint64(kind), uint64(i))), seen, going.Done, term)
			}()
		}
	}
	going.Wait() // each has had an answer
	endWithin(t, cmd.Process, killAfter)
	close(term)
	require.NoError(t, cmd.Wait(), "it was killed; %s", logged)
	clients.Wait()
	t.Logf("%d sent after SIGTERM: %v, %d lost", w.sent, w.ends, len(w.lost))
	require.Greater(t, w.sent, 1000)
	require.Empty(t, w.lost)
}

// client sends until its connection ends: kind 0 one after the other, 1 three ahead, 2 in two halves.
func (w *tail) client(t *testing.T, address string, kind int, name string, lots *rand.Rand, seen func(string) bool, going func(), term <-chan struct{}) {
	c, f, err := tailDial(address)
	if err != nil {
		t.Errorf("a client: %v", err)
		going()
		return
	}
	defer func() { c.Close() }()
	var open []string // written whole, not answered
	started := false
	for n := 0; ; n++ {
		if ended(c) {
			w.end("connection closed between requests")
			return
		}
		many := 1
		if kind == 1 {
			many = 3
		}
		var b []byte
		var ids []string
		for range many {
			id := fmt.Sprintf("%s-%d", name, len(ids)+n*many)
			ids = append(ids, id)
			b, _ = (&pgproto3.Query{String: w.text(id)}).Encode(b)
		}
		if kind == 2 { // cut anywhere
			cut := 1 + lots.IntN(len(b)-1)
			_, err = c.Write(b[:cut])
			time.Sleep(time.Duration(lots.IntN(40)) * time.Millisecond)
			if lots.IntN(30) == 0 {
				time.Sleep(time.Second)
			}
			b = b[cut:]
		}
		if err == nil {
			_, err = c.Write(b)
		}
		if err == nil {
			if open = append(open, ids...); started {
				w.written(ids...)
			}
		} else if started {
			w.end("could not be written")
		}
		for err == nil && len(open) > 0 {
			var how string
			if how, err = tailAnswer(f); err == nil || how != "" {
				if started {
					w.end(how)
				}
				open = open[1:]
			}
		}
		if err != nil {
			if !started {
				t.Errorf("a client before SIGTERM: %v", err)
				going()
				return
			}
			for _, id := range w.closed(open, seen) {
				w.end("again: " + w.again(address, id+"again"))
			}
			return
		}
		if n == 0 {
			going()
			<-term
			started = true
		}
		time.Sleep(time.Duration(lots.IntN(60)) * time.Millisecond)
	}
}

// ended says whether the connection is known to have ended, on which nothing is due.
func ended(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	restored := time.Now().Add(20 * time.Second)
	defer func() { _ = c.SetReadDeadline(restored) }()
	_, err := c.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// again repeats a request on a new connection, as a client may once.
func (w *tail) again(address, id string) string {
	c, f, err := tailDial(address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "the program has ended"
	}
	if err != nil {
		return "closed"
	}
	defer c.Close()
	b, _ := (&pgproto3.Query{String: w.text(id)}).Encode(nil)
	if _, err = c.Write(b); err != nil {
		return "closed"
	}
	how, err := tailAnswer(f)
	if how == "" && err != nil {
		return "closed"
	}
	return how
}

func tailDial(address string) (net.Conn, *pgproto3.Frontend, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "web"}})
	if err = f.Flush(); err == nil {
		_, err = tailAnswer(f)
	}
	return c, f, err
}

// tailAnswer reads up to ReadyForQuery, or up to a fatal error, which needs none.
func tailAnswer(f *pgproto3.Frontend) (how string, err error) {
	for {
		m, err := f.Receive()
		if err != nil {
			return how, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			how = "answered"
		case *pgproto3.ErrorResponse:
			how = m.Severity + " " + m.Code
			if m.Severity == "FATAL" {
				return how, errors.New("the program ends the connection")
			}
		case *pgproto3.ReadyForQuery:
			return how, nil
		}
	}
}
