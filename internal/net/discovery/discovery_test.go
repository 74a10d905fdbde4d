package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/net/loop"
)

func fresh() *stream {
	return &stream{headerDone: make(chan struct{}, 1), received: make(chan struct{}, 1), lists: make(chan EndpointList, 64), failed: make(chan error, 1)}
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

var watch = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	chunk("{\"index\":43,\"snapshot\":false,\"endpoints\":[{\"name\":\"s-1\",\"addr") + chunk("ess\":\"127.0.0.9:1\",\"group\":3,\"status\":\"leaving\"}]}\n\n") +
	chunk("\n") + chunk("{\"index\":44,\"snapshot\":true,\"endpoints\":[]}\n")

// indented is the same over many lines, with blank ones, and with braces, quotes and backslashes in a field that is not read.
var indented = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	chunk("{\r\n  \"index\": 43,\n\n  \"note\": \"}]\\\"{\\\\\",\n  \"snapshot\": false,\n  \"endpoints\": [\n    {\n      \"name\": \"s-1\",\n      \"addr") +
	chunk("ess\": \"127.0.0.9:1\",\n      \"group\": 3,\n      \"status\": \"leaving\"\n    }\n  ]\n}\n\n") +
	chunk("\n") + chunk("{\n  \"index\": 44,\n  \"snapshot\": true,\n  \"endpoints\": []\n}")

// Guards against a list that is lost or doubled where the network cuts the stream.
func TestWatchCutAnywhere(t *testing.T) {
	for _, watch := range []string{watch, indented} {
		for cut := range len(watch) {
			s := fresh()
			used, err := s.parse([]byte(watch[:cut]))
			require.NoError(t, err)
			_, err = s.parse([]byte(watch[used:]))
			require.NoError(t, err)
			require.Len(t, s.lists, 2, "cut at %d", cut)
			l := <-s.lists
			require.Equal(t, EndpointList{Index: 43, Endpoints: []Endpoint{{Name: "s-1", Address: "127.0.0.9:1", Group: 3, Status: Draining}}}, l)
			require.True(t, (<-s.lists).Snapshot)
		}
	}
}

func TestAnswersThatMakeNoSense(t *testing.T) {
	for _, text := range []string{
		"SSH-2.0\r\n\r\n", "HTTP/1.1 503 Down\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
	} {
		_, err := fresh().parse([]byte(text))
		require.Error(t, err, text)
	}
	for text, want := range map[string]error{"null\n": errMalformedList, "{\"index\":[]}\n": errMalformedList, "{\"note\":\"" + strings.Repeat("x", maxList) + "\"}": errMalformedHTTP} {
		_, err := fresh().parse([]byte(chunkedHead + chunk(text)))
		require.ErrorIs(t, err, want)
	}
	_, err := fresh().parse([]byte(chunkedHead + chunk("{\n") + "0\r\n\r\n"))
	require.ErrorIs(t, err, errMalformedList, "it ends within an object")
	s := fresh()
	_, err = s.parse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"index\":7,\n\"snapshot\":true      }"))
	require.ErrorIs(t, err, errServiceClosed)
	require.Len(t, s.lists, 1, "a list that is printed over lines")
}

// All poolers lose their watch at the same moment. A service that takes few calls a second has to come to all of them:
// they ask less often from failure to failure, not in step, and never wait longer than the platform grants.
func TestAFleetBacksOffFromAnOverbookedService(t *testing.T) {
	const poolers, step, capacity = 80, 50.0, 1 // one call in 50 ms is answered
	paces, due := make([]backoff, poolers), make([]float64, poolers)
	for i := range paces {
		paces[i] = newBackoff(uint64(i))
	}
	up, most, calls := 0, 0, 0
	for now := 0.0; now < 15000; now += step {
		asked := 0
		for i := range due {
			if due[i] < 0 || due[i] > now {
				continue
			}
			if asked++; asked <= capacity {
				due[i] = -1
				up++
				continue
			}
			wait := paces[i].nextBackoff(false, 0, 0)
			require.LessOrEqual(t, wait, maxBackoff)
			due[i] = now + float64(wait.Milliseconds())
		}
		calls += asked
		if now >= 2000 {
			most = max(most, asked)
		}
	}
	require.Equal(t, poolers, up, "poolers with a watch after 15 s")
	require.LessOrEqual(t, most, 12, "calls in 50 ms, once the first burst is over")
	require.LessOrEqual(t, calls, 8*poolers)
}

// A service that is back answers one call in 20 ms and tells all others alike when to come again. The fleet must not
// keep that step: with pauses that follow the word to the letter all 300 call within the same moment, once a second.
func TestARetryAfterToldToAllDoesNotBringAFleetIntoStep(t *testing.T) {
	const poolers, step, capacity = 300, 20.0, 1
	for _, word := range []time.Duration{time.Second, 3 * time.Second, time.Hour} {
		paces, due := make([]backoff, poolers), make([]float64, poolers)
		for i := range paces {
			paces[i] = newBackoff(uint64(i))
		}
		up, most, asked := 0, 0, make([]int, 1500)
		for i := range asked {
			now := float64(i) * step
			for j := range due {
				if due[j] < 0 || due[j] > now {
					continue
				}
				if asked[i]++; asked[i] <= capacity {
					due[j] = -1
					up++
					continue
				}
				wait := paces[j].nextBackoff(false, word, 0)
				require.GreaterOrEqual(t, wait, min(word, maxRetryAfter), "never before the service's word")
				require.LessOrEqual(t, wait, notifyBound)
				due[j] = now + float64(wait.Microseconds())/1000
			}
			if i >= 5 { // behind the first moment, at which all start
				hundred := 0
				for _, n := range asked[i-4 : i+1] {
					hundred += n
				}
				most = max(most, hundred)
			}
		}
		// 300 poolers over a second at the least are 30 in 100 ms; half as much again for chance.
		require.LessOrEqual(t, most, 45, "calls in any 100 ms, told to come back after %v", word)
		require.GreaterOrEqual(t, up, poolers*9/10, "poolers with a watch after 30 s, told %v", word)
	}
}

// Equal seeds pause alike, so that a run can be played again; others do not, so that a fleet is not in step.
func TestPausesComeFromTheSeed(t *testing.T) {
	a, b, other := newBackoff(7), newBackoff(7), newBackoff(8)
	same := 0
	for range 20 {
		wait := a.nextBackoff(false, 0, 0)
		require.Equal(t, wait, b.nextBackoff(false, 0, 0))
		if wait == other.nextBackoff(false, 0, 0) {
			same++
		}
	}
	require.Less(t, same, 3)
	a.nextBackoff(true, 0, 0)
	require.LessOrEqual(t, a.nextBackoff(true, 0, 0), initialBackoff, "a round that brought something starts anew")
}

// A service that is overbooked or down is asked for changes again, not for its whole list, which costs it more.
func TestAnOverbookedServiceIsNotAskedForTheWholeList(t *testing.T) {
	for status, whole := range map[string]bool{"503 Service Unavailable": false, "429 Too Many Requests": false, "410 Gone": true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		asked := make(chan string, 16)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				line, _ := bufio.NewReader(c).ReadString('\n')
				asked <- line
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
				_ = c.Close()
			}
		}()
		engine := loop.New()
		require.NoError(t, engine.Start("127.0.0.1:0", nil))
		ctx, cancel := context.WithCancel(context.Background())
		go New(engine, l.Addr().String(), &EndpointList{Index: 41}, 1, func(EndpointList) {}).Run(ctx)
		require.Contains(t, <-asked, "since=41", status)
		next := <-asked
		require.Equal(t, whole, !strings.Contains(next, "since=41"), "%s, then %s", status, next)
		cancel()
		_ = l.Close()
		engine.Stop()
	}
}

func TestRetryAfterOfTheServiceIsRead(t *testing.T) {
	_, err := fresh().parse([]byte("HTTP/1.1 503 Busy\r\nRetry-After: 2\r\n\r\n"))
	require.Equal(t, statusError{code: 503, text: "503 Busy", retryAfter: 2 * time.Second}, err)
	_, err = fresh().parse([]byte("HTTP/1.1 503 Busy\r\nRetry-After: 4000000\r\n\r\n"))
	var status statusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, maxRetryAfter, status.retryAfter)
}

// FuzzStream checks that no bytes of the service panic.
func FuzzStream(f *testing.F) {
	f.Add([]byte(watch))
	f.Fuzz(func(_ *testing.T, b []byte) {
		s := fresh()
		if used, err := s.parse(b); err == nil {
			_, _ = s.parse(b[used:])
		}
	})
}
