package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ashstand/internal/net/loop"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// line is a list as a followed stream has it; indented, over many lines.
func line(index int, indented bool) string {
	l := fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[{"name":"s-%d","address":"127.0.0.9:1","group":3,"status":"active"}]}`, index, index)
	if indented {
		l = strings.NewReplacer("{", "{\n  ", "[", "[\n    ", ",", ",\n  ", "}", "\n}", "]", "\n]").Replace(l)
	}
	return l + "\n"
}

// peer is the service's side of one call.
type peer struct {
	t     *testing.T
	c     net.Conn
	since string // asked for with follow; empty: the whole list was
	quit  <-chan struct{}
}

func (p *peer) write(s string) { _, _ = p.c.Write([]byte(s)) }

// silent keeps the connection open, as a machine that vanished leaves it.
func (p *peer) silent() { <-p.quit }

// drip sends s a byte at a time, over and over.
func (p *peer) drip(s string) {
	for i := 0; ; i++ {
		select {
		case <-p.quit:
			return
		case <-time.After(250 * time.Millisecond):
			p.write(s[i%len(s) : i%len(s)+1])
		}
	}
}

// well answers as a service does that has the list of index 50, and goes on.
func (p *peer) well() {
	if p.since == "" {
		p.write("HTTP/1.1 200 OK\r\nContent-Length: " + fmt.Sprint(len(line(50, true))) + "\r\n\r\n" + line(50, true))
		return
	}
	p.write(chunkedHead)
	if p.since != "50" {
		p.write(chunk(line(50, true)))
	}
	for {
		p.write(chunk("\n"))
		select {
		case <-p.quit:
			return
		case <-time.After(2 * time.Second):
		}
	}
}

type arrival struct {
	EndpointList
	at time.Time
}

// follow runs a watcher at a service that serves its calls, counted from 0, as told, and gives the lists that came.
func follow(t *testing.T, known *EndpointList, serve func(call int, p *peer)) (w *Watcher, lists chan arrival, calls chan time.Time) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	quit := make(chan struct{})
	lists, calls = make(chan arrival, 64), make(chan time.Time, 64)
	go func() {
		for call := 0; ; call++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			calls <- time.Now()
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				serve(call, &peer{t: t, c: c, since: r.URL.Query().Get("since"), quit: quit})
			}()
		}
	}()
	engine := loop.New()
	require.NoError(t, engine.Start("127.0.0.1:0", nil))
	ctx, cancel := context.WithCancel(context.Background())
	w = New(engine, l.Addr().String(), known, 1, func(l EndpointList) { lists <- arrival{l, time.Now()} })
	go w.Run(ctx)
	t.Cleanup(func() { cancel(); close(quit); l.Close(); engine.Stop() })
	return w, lists, calls
}

// arrives waits for the list of index 50 and says when it came.
func arrives(t *testing.T, lists <-chan arrival) time.Time {
	for {
		select {
		case l := <-lists:
			if l.Index == 50 {
				require.Len(t, l.Endpoints, 1)
				return l.at
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the list never came")
		}
	}
}

// However a watch or a call falls silent, what the service holds by then can be acted on before it counts as told.
func TestWhatASilentWatchMissedIsThereInTime(t *testing.T) {
	t.Parallel()
	opening := chunkedHead + chunk("\n")
	half := line(49, false)[:40]
	var checks []func()
	for name, first := range map[string]func(p *peer){
		"the machine vanished":                   func(p *peer) { p.write(opening); p.silent() },
		"accepted, never answered":               func(p *peer) { p.silent() },
		"stalls within the head":                 func(p *peer) { p.write(opening[:30]); p.silent() },
		"stalls behind the head":                 func(p *peer) { p.write(chunkedHead); p.silent() },
		"stalls within a list":                   func(p *peer) { p.write(opening + chunk(half)); p.silent() },
		"stalls within a chunk":                  func(p *peer) { p.write(opening + chunk(half)[:20]); p.silent() },
		"stalls within a chunk's size":           func(p *peer) { p.write(opening + "2"); p.silent() },
		"a byte in a quarter second, in a list":  func(p *peer) { p.write(opening + fmt.Sprintf("%x\r\n", 1<<20) + half); p.drip("0") },
		"line ends within a list":                func(p *peer) { p.write(opening + fmt.Sprintf("%x\r\n", 1<<20) + "{"); p.drip("\n") },
		"a byte in a quarter second, in a head":  func(p *peer) { p.write(opening[:30]); p.drip("x") },
		"a byte in a quarter second, in a chunk": func(p *peer) { p.write(opening); p.drip("0") },
	} {
		for _, known := range []*EndpointList{{Index: 41}, nil} {
			fell := make(chan time.Time, 1)
			_, lists, _ := follow(t, known, func(call int, p *peer) {
				switch call {
				case 0:
					fell <- time.Now()
					first(p)
				case 1: // and the one behind it gets no answer
					p.silent()
				default:
					p.well()
				}
			})
			checks = append(checks, func() {
				took := arrives(t, lists).Sub(<-fell)
				assert.Less(t, took, notifyBound-expectedAnswer/2, "%s, list known: %t: from the silence's begin until the list can be acted on", name, known != nil)
			})
		}
	}
	for _, check := range checks { // all wait at the same time
		check()
	}
}

// A list that drips in after a good one is given up as well: nothing whole comes.
func TestAWatchThatDripsLaterIsOpenedAnew(t *testing.T) {
	t.Parallel()
	fell := make(chan time.Time, 1)
	_, lists, _ := follow(t, &EndpointList{Index: 41}, func(call int, p *peer) {
		if call > 0 {
			p.well()
			return
		}
		p.write(chunkedHead + chunk(line(49, true)))
		time.Sleep(2 * time.Second)
		p.write(chunk("\n") + fmt.Sprintf("%x\r\n", 1<<20))
		fell <- time.Now()
		p.drip(" ")
	})
	require.Less(t, arrives(t, lists).Sub(<-fell), notifyBound-expectedAnswer/2)
}

// After an outage in which calls hang in one way or another pauses have grown. What the service holds at its end, just
// behind the fourth call, counts as told 6 s later at the latest.
func TestAfterAnOutageTheListIsThereInTime(t *testing.T) {
	t.Parallel()
	for name, during := range map[string]func(p *peer){
		"never answered": func(p *peer) { p.silent() },
		"a head alone":   func(p *peer) { p.write(chunkedHead); p.silent() },
		"reset":          func(p *peer) { _ = p.c.(*net.TCPConn).SetLinger(0) },
		"overbooked":     func(p *peer) { p.write("HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan time.Time, 1)
			_, lists, _ := follow(t, &EndpointList{Index: 41}, func(call int, p *peer) {
				if call > 3 {
					p.well()
					return
				}
				if call == 3 {
					ended <- time.Now()
				}
				during(p)
			})
			at := <-ended
			require.Less(t, arrives(t, lists).Sub(at), notifyBound-expectedAnswer/2, "from the outage's end")
		})
	}
}

// Guards against a watch that is dropped though nothing is wrong with it: an idle one sends a line every 2 s, and lists
// come in pieces.
func TestAWatchThatSpeaksIsKept(t *testing.T) {
	t.Parallel()
	_, lists, calls := follow(t, &EndpointList{Index: 41}, func(_ int, p *peer) {
		p.write(chunkedHead)
		for i := 42; i < 46; i++ {
			time.Sleep(1500 * time.Millisecond)
			l := line(i, i%2 == 0)
			p.write(chunk(l[:30]))
			time.Sleep(500 * time.Millisecond)
			p.write(chunk(l[30:]))
		}
		p.write(chunk(line(50, true)))
		p.silent()
	})
	arrives(t, lists)
	require.Len(t, calls, 1)
}

// A service may answer a watch with lists that have an end, and keep the connection: it wants to be asked again at once, not
// when the watch would count as silent.
func TestAnAnswerThatIsWholeIsNoSilence(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{
		"of a length":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line(49, true)), line(49, true)),
		"empty":            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"of chunks, ended": chunkedHead + chunk(line(49, true)) + "0\r\n\r\n",
	} {
		_, lists, calls := follow(t, &EndpointList{Index: 41}, func(call int, p *peer) {
			if call > 0 {
				p.well()
				return
			}
			p.write(answer)
			p.silent()
		})
		at := arrives(t, lists)
		require.Less(t, at.Sub(<-calls), silenceLimit-time.Second, name)
	}
}

// A service that ends each watch with its list must not be asked several times a second by each of a fleet.
func TestAServiceThatEndsEachWatchIsAskedLessOften(t *testing.T) {
	t.Parallel()
	at := time.Now()
	_, lists, calls := follow(t, &EndpointList{Index: 41}, func(call int, p *peer) {
		l := line(42+call, false) // the ninth call brings 50
		p.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(l), l))
	})
	require.Greater(t, arrives(t, lists).Sub(at), 6*time.Second)
	require.Len(t, calls, 9)
}

// A move must not wait for the pause that the old service's failures have earned, nor for calls that nobody answers.
func TestAMoveIsFollowedInTime(t *testing.T) {
	t.Parallel()
	for name, old := range map[string]func(p *peer){
		"old one is overbooked": func(p *peer) { p.write("HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n") },
		"old one is silent":     func(p *peer) { p.write(chunkedHead + chunk("\n")); p.silent() },
		"old one resets":        func(p *peer) { _ = p.c.(*net.TCPConn).SetLinger(0) },
	} {
		for _, stalls := range []int{0, 2} { // calls at the new service without an answer
			t.Run(fmt.Sprintf("%s, new one stalls %d times", name, stalls), func(t *testing.T) {
				t.Parallel()
				w, lists, calls := follow(t, &EndpointList{Index: 41}, func(_ int, p *peer) { old(p) })
				next, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer next.Close()
				go func() {
					for call := 0; ; call++ {
						c, err := next.Accept()
						if err != nil {
							return
						}
						r, err := http.ReadRequest(bufio.NewReader(c))
						if err == nil && call >= stalls {
							(&peer{t: t, c: c, since: r.URL.Query().Get("since"), quit: t.Context().Done()}).well()
						}
					}
				}()
				<-calls
				time.Sleep(1700 * time.Millisecond) // pauses have grown, and a new one has begun
				begun := time.Now()
				w.SetServiceAddress(next.Addr().String())
				require.Less(t, arrives(t, lists).Sub(begun), 3500*time.Millisecond, "the new service's word counts 4 s later")
			})
		}
	}
}

// Whatever a row of rounds was like, a silence, the pause behind it and the time that is left for the next answer are
// over when what was missed counts as told.
func TestPausesLeaveTimeToAct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newBackoff(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			require.LessOrEqual(t, p.answerTimeout(), maxAnswerTimeout)
			brought := rapid.Bool().Draw(t, "brought")
			most := silenceLimit
			if !brought {
				most = max(silenceLimit, p.answerTimeout())
			}
			silent := time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, "silent"))
			after := time.Duration(0)
			if silent < maxAnswerTimeout && rapid.Bool().Draw(t, "word") {
				after = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "after"))
			}
			wait := p.nextBackoff(brought, after, silent)
			require.GreaterOrEqual(t, wait, initialBackoff/2)
			require.GreaterOrEqual(t, wait, min(after, maxRetryAfter))
			if after > 0 { // it spoke
				silent = 0
			}
			require.LessOrEqual(t, silent+wait+expectedAnswer, notifyBound)
		}
	})
}
